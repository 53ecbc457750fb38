//! Dissemination of small reports to all gateways by gossip. In each round a gateway sends the reports that it has sent least
//! often to a few other gateways. A report has a key and a version, and the highest version of a key wins, so loss, duplication
//! and reordering do no harm. The caller interprets the reports and transports the messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// Number of random gateways that receive each round of gossip.
pub const FANOUT: usize = 3;
/// Transmissions of a report by each gateway that has it, for each doubling of the number of gateways.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;
/// Number of initial rounds in which a new gateway requests all reports from another one.
const INITIAL_REQUESTS: u32 = 3;

/// A report that one process of a gateway publishes.
pub trait Report: Clone {
    /// Identifies the subject and the origin of a report.
    type Key: Clone + Ord;

    /// The subject and the origin of the report.
    fn key(&self) -> Self::Key;
    /// The version. The higher one of two reports with the same key wins.
    fn version(&self) -> u64;
    /// The only instance that publishes this report.
    fn origin(&self) -> u64;
    /// Whether the report's values are in range. Implausible reports are ignored.
    fn is_plausible(&self) -> bool;
}

/// A message between two gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage<R> {
    /// Reports, as many as fit into one datagram.
    Reports(Vec<R>),
    /// A request for all reports.
    RequestAll,
}

/// A process of a gateway that is a live member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LivePeer {
    /// The gateway's configured name.
    pub name: String,
    /// The process.
    pub instance: u64,
}

/// Settings for the dissemination of one kind of report.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Time between two rounds.
    pub interval: Micros,
    /// Mean time between two transmissions of all reports to a random gateway. They repair losses that gossip did not.
    pub full_sync_interval: Micros,
    /// Maximum number of reports in a message, as many as fit into a datagram.
    pub reports_per_message: usize,
    /// Maximum number of messages to one gateway in a round.
    pub messages_per_peer: usize,
    /// Maximum number of retained reports. At the limit, received reports with a new key are ignored.
    pub max_reports: usize,
    /// How long a report is retained after its origin was last a live member, since the origin may return.
    pub retention: Micros,
}

struct Entry<R> {
    report: R,
    /// When the report's origin was last a live member.
    last_live: Micros,
    remaining_transmissions: u32,
}

impl<R> Entry<R> {
    /// Creates an entry for a report that this gateway has not sent. Each round caps its remaining transmissions.
    fn new(now: Micros, report: R) -> Self {
        Entry { report, last_live: now, remaining_transmissions: u32::MAX }
    }
}

/// The state of gossip at one gateway, for one kind of report.
pub struct Gossip<R: Report> {
    instance: u64,
    config: GossipConfig,
    reports: BTreeMap<R::Key, Entry<R>>,
    rng: ChaCha8Rng,
    next_round: Micros,
    next_full_sync: Micros,
    remaining_requests: u32,
    outbox: VecDeque<(String, GossipMessage<R>)>,
}

impl<R: Report> Gossip<R> {
    /// Creates a state without reports. All random choices come from the seed.
    pub fn new(instance: u64, config: GossipConfig, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Random offsets keep gateways that start together from sending at the same instants.
        let next_round = now + rng.gen_range(1..=config.interval);
        let next_full_sync = now + rng.gen_range(1..=config.full_sync_interval);
        Gossip {
            instance,
            config,
            reports: BTreeMap::new(),
            rng,
            next_round,
            next_full_sync,
            remaining_requests: INITIAL_REQUESTS,
            outbox: VecDeque::new(),
        }
    }

    /// Publishes a report of this gateway.
    pub fn publish(&mut self, now: Micros, report: R) {
        self.reports.insert(report.key(), Entry::new(now, report));
    }

    /// Handles a message from the gateway with the name `from`. Returns the keys of new or updated reports.
    pub fn handle_message(&mut self, now: Micros, from: &str, message: GossipMessage<R>) -> Vec<R::Key> {
        match message {
            GossipMessage::RequestAll => {
                self.send_all(from);
                Vec::new()
            }
            GossipMessage::Reports(reports) => {
                reports.into_iter().filter_map(|report| self.accept(now, report)).collect()
            }
        }
    }

    /// Stores another gateway's report, and returns its key if the report is new or has a higher version.
    fn accept(&mut self, now: Micros, report: R) -> Option<R::Key> {
        if !report.is_plausible() || report.origin() == self.instance {
            return None;
        }
        let key = report.key();
        if let Some(entry) = self.reports.get_mut(&key) {
            if entry.report.version() >= report.version() {
                return None;
            }
            entry.report = report;
            entry.remaining_transmissions = u32::MAX;
            return Some(key);
        }
        if self.reports.len() >= self.config.max_reports {
            return None;
        }
        self.reports.insert(key.clone(), Entry::new(now, report));
        Some(key)
    }

    /// When the caller must call `handle_timeout` next.
    pub fn next_deadline(&self) -> Micros {
        self.next_round.min(self.next_full_sync)
    }

    /// Starts the next round at the next call of `handle_timeout`.
    pub fn schedule_round(&mut self, now: Micros) {
        self.next_round = now;
    }

    /// Runs all timers that have expired. `live` contains the other gateways that are live members.
    pub fn handle_timeout(&mut self, now: Micros, live: &[LivePeer]) {
        self.remove_expired(now, live);
        if now >= self.next_round {
            self.next_round = now + self.config.interval;
            self.send_round(live);
        }
        if now >= self.next_full_sync {
            let interval = self.config.full_sync_interval;
            self.next_full_sync = now + interval / 2 + self.rng.gen_range(0..interval);
            if let Some(to) = live.choose(&mut self.rng) {
                self.send_all(&to.name);
            }
        }
    }

    /// Removes the reports of processes that have not been live members for the retention time.
    fn remove_expired(&mut self, now: Micros, live: &[LivePeer]) {
        let live: BTreeSet<u64> = live.iter().map(|peer| peer.instance).chain([self.instance]).collect();
        let retention = self.config.retention;
        self.reports.retain(|_, entry| {
            if live.contains(&entry.report.origin()) {
                entry.last_live = now;
            }
            now < entry.last_live + retention
        });
    }

    fn send_round(&mut self, live: &[LivePeer]) {
        if let Some(to) = live.choose(&mut self.rng).filter(|_| self.remaining_requests > 0) {
            self.remaining_requests -= 1;
            self.outbox.push_back((to.name.clone(), GossipMessage::RequestAll));
        }
        if live.is_empty() {
            return;
        }
        let reports = self.take_least_sent(live.len());
        if reports.is_empty() {
            return;
        }
        for to in live.choose_multiple(&mut self.rng, FANOUT) {
            enqueue(&mut self.outbox, &to.name, &reports, self.config.reports_per_message);
        }
    }

    /// Takes the reports for one round, the least often sent first, and uses up one transmission of each.
    fn take_least_sent(&mut self, other_gateways: usize) -> Vec<R> {
        let limit = transmission_limit(other_gateways);
        let pending = self.reports.iter().filter(|(_, entry)| entry.remaining_transmissions > 0);
        let mut selected: Vec<(u32, R::Key)> =
            pending.map(|(key, entry)| (entry.remaining_transmissions.min(limit), key.clone())).collect();
        selected.sort_unstable_by(|one, other| other.cmp(one));
        selected.truncate(self.config.messages_per_peer * self.config.reports_per_message);
        let mut reports = Vec::new();
        for (remaining, key) in selected {
            if let Some(entry) = self.reports.get_mut(&key) {
                entry.remaining_transmissions = remaining - 1;
                reports.push(entry.report.clone());
            }
        }
        reports
    }

    fn send_all(&mut self, to: &str) {
        let all: Vec<R> = self.reports.values().map(|entry| entry.report.clone()).collect();
        enqueue(&mut self.outbox, to, &all, self.config.reports_per_message);
    }

    /// The next message to send, with the name of the receiving gateway.
    pub fn poll_message(&mut self) -> Option<(String, GossipMessage<R>)> {
        self.outbox.pop_front()
    }

    /// The report with this key.
    pub fn report(&self, key: &R::Key) -> Option<&R> {
        self.reports.get(key).map(|entry| &entry.report)
    }

    /// All reports, ordered by key.
    pub fn reports(&self) -> impl Iterator<Item = &R> {
        self.reports.values().map(|entry| &entry.report)
    }
}

/// How often each gateway sends a gossiped item to [`FANOUT`] others, so that it reaches nearly every gateway. The limit grows
/// with the logarithm of the number of gateways, as in SWIM (Das, Gupta, Motivala, 2002). Complete exchanges reach the rest.
pub fn transmission_limit(other_gateways: usize) -> u32 {
    let gateways = other_gateways as u32 + 2;
    (TRANSMISSIONS_PER_DOUBLING * (u32::BITS - gateways.leading_zeros())).div_ceil(FANOUT as u32) + 1
}

fn enqueue<R: Clone>(
    outbox: &mut VecDeque<(String, GossipMessage<R>)>,
    to: &str,
    reports: &[R],
    reports_per_message: usize,
) {
    for chunk in reports.chunks(reports_per_message) {
        outbox.push_back((to.to_string(), GossipMessage::Reports(chunk.to_vec())));
    }
}
