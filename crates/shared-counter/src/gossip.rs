//! Dissemination of small reports to all gateways by gossip: in each round a gateway sends the reports that it has sent least
//! to a few others. A report has a key and a version, and the later version of a key wins, so that loss, duplication and
//! reordering do no harm. What a report means, and how messages travel, is the callers'.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// Random gateways that each round of gossip goes to.
pub const FANOUT: usize = 3;
/// Transmissions of each report by each gateway that has it, for each doubling of the gateways.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;
/// Rounds in which a new gateway requests all reports of another.
const INITIAL_REQUESTS: u32 = 3;

/// Something that one process of a gateway publishes.
pub trait Report: Clone {
    /// What the report is about, and whose it is.
    type Key: Clone + Ord;

    /// What the report is about, and whose it is.
    fn key(&self) -> Self::Key;
    /// Of two reports with one key the higher version wins.
    fn version(&self) -> u64;
    /// The instance that publishes it; no other does.
    fn origin(&self) -> u64;
    /// Whether its values are possible. Reports that are not plausible are ignored.
    fn is_plausible(&self) -> bool;
}

/// A message between two gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage<R> {
    /// Reports, as many as fit into one datagram.
    Reports(Vec<R>),
    /// Request for all reports.
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

/// How reports of one kind are disseminated.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Time between two rounds.
    pub interval: Micros,
    /// Mean time between two transmissions of all reports to one gateway, which repair what was lost for good.
    pub full_sync_interval: Micros,
    /// Reports of one message, as many as fit into a datagram.
    pub reports_per_message: usize,
    /// Messages to one gateway in each round.
    pub messages_per_peer: usize,
    /// Reports that are retained; beyond it a report with a new key is ignored.
    pub max_reports: usize,
    /// How long a report is retained after its origin was last a live member, as it may become one again.
    pub retention: Micros,
}

struct Entry<R> {
    report: R,
    /// When its origin was last a live member.
    last_live: Micros,
    remaining_transmissions: u32,
}

impl<R> Entry<R> {
    /// A report that has not been sent from here. The round's limit applies to its transmissions.
    fn new(now: Micros, report: R) -> Self {
        Entry { report, last_live: now, remaining_transmissions: u32::MAX }
    }
}

/// The reports of one kind that one gateway has.
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
    /// No reports yet. All random choices come from the seed.
    pub fn new(instance: u64, config: GossipConfig, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Gateways that start together must not all send at the same instants.
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

    /// A message has arrived from the gateway of a name. Returns the keys of the reports that were new.
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

    /// Takes in another gateway's report, and returns its key if it is new.
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

    /// When `handle_timeout` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.next_round.min(self.next_full_sync)
    }

    /// Brings the next round forward to the next call of `handle_timeout`.
    pub fn schedule_round(&mut self, now: Micros) {
        self.next_round = now;
    }

    /// Does what is due. `live` are the other gateways that are live members.
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

    /// Removes the reports of processes that have been gone for long.
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

    /// The reports that go into one round, those that were sent least first; one transmission of each is used up.
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

    /// The next message that is to be sent, with the name of the gateway that it goes to.
    pub fn poll_message(&mut self) -> Option<(String, GossipMessage<R>)> {
        self.outbox.pop_front()
    }

    /// The report of a key.
    pub fn report(&self, key: &R::Key) -> Option<&R> {
        self.reports.get(key).map(|entry| &entry.report)
    }

    /// All reports, in the order of their keys.
    pub fn reports(&self) -> impl Iterator<Item = &R> {
        self.reports.values().map(|entry| &entry.report)
    }
}

/// How often each gateway sends an item of gossip so that it reaches nearly every other, in rounds to [`FANOUT`] of them. It
/// grows with the logarithm of their number, as in SWIM (Das, Gupta, Motivala, 2002); complete exchanges reach the rest.
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
