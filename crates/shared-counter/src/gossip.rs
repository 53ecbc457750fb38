//! Words that everybody is to hear, told by rumour: at each turn each tells a few others what it has told least. A word has a key
//! and a version, and of one key the later version holds, so that loss, doubling and overtaking do no harm, and a word that
//! comes back to who said it says nothing new.

use std::collections::{BTreeMap, VecDeque};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::Micros;

/// Others that each turn's words go to.
const FANOUT: usize = 3;
/// How often each word is told, for each doubling of the gateways, by each who has heard it.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;
/// A newcomer asks for all words at its first so many turns.
const INITIAL_REQUESTS: u32 = 3;

/// Something that one run of a gateway says.
pub trait Report: Clone {
    type Key: Clone + Ord;

    fn key(&self) -> Self::Key;
    fn version(&self) -> u64;
    /// Whose it is: nobody else makes one.
    fn origin(&self) -> u64;
    /// It says something that could be so.
    fn is_plausible(&self) -> bool;
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage<R> {
    Reports(Vec<R>),
    /// All words, please.
    RequestAll,
}

/// One run of a gateway that the mesh takes for live.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LivePeer {
    pub name: String,
    pub instance: u64,
}

/// How words of one kind are told.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// How often.
    pub interval: Micros,
    /// How often all words are told to one other: what was lost for good is mended so.
    pub full_sync_interval: Micros,
    /// Words of a note, as many as go on one datagram, and notes to one other at each turn.
    pub reports_per_message: usize,
    pub messages_per_peer: usize,
    /// Words that are kept; beyond it a new one is not heard.
    pub max_reports: usize,
    /// How long a word is kept after its run was last among the live, as the mesh may see it again.
    pub retention: Micros,
}

struct Entry<R> {
    report: R,
    /// When its run was last among the live.
    last_live: Micros,
    /// How often it is still to be told.
    remaining: u32,
}

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
    pub fn new(instance: u64, config: GossipConfig, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Those that start together must not all speak in the same instants.
        let next_round = now + rng.gen_range(1..=config.interval);
        let next_full_sync = now + rng.gen_range(1..=config.full_sync_interval);
        let (reports, outbox) = (BTreeMap::new(), VecDeque::new());
        Gossip {
            instance,
            config,
            reports,
            rng,
            next_round,
            next_full_sync,
            remaining_requests: INITIAL_REQUESTS,
            outbox,
        }
    }

    /// This gateway says something.
    pub fn publish(&mut self, now: Micros, report: R) {
        self.reports.insert(report.key(), Entry { report, last_live: now, remaining: u32::MAX });
    }

    /// A note has come from the gateway of a name. Gives the keys of what is new by it.
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

    fn accept(&mut self, now: Micros, report: R) -> Option<R::Key> {
        // Nobody knows better what this gateway says.
        if !report.is_plausible() || report.origin() == self.instance {
            return None;
        }
        let (key, full) = (report.key(), self.reports.len() >= self.config.max_reports);
        match self.reports.get_mut(&key) {
            Some(entry) if entry.report.version() < report.version() => {
                (entry.report, entry.remaining) = (report, u32::MAX);
            }
            Some(_) => return None,
            None if full => return None,
            None => {
                drop(self.reports.insert(key.clone(), Entry { report, last_live: now, remaining: u32::MAX }))
            }
        }
        Some(key)
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.next_round.min(self.next_full_sync)
    }

    /// What is new is told at the next call of `tick`.
    pub fn schedule_round(&mut self, now: Micros) {
        self.next_round = now;
    }

    /// `live`: the others that the mesh takes for live.
    pub fn handle_timeout(&mut self, now: Micros, live: &[LivePeer]) {
        let live_instances: std::collections::BTreeSet<u64> =
            live.iter().map(|one| one.instance).chain([self.instance]).collect();
        for entry in self.reports.values_mut().filter(|entry| live_instances.contains(&entry.report.origin()))
        {
            entry.last_live = now;
        }
        let retention = self.config.retention;
        self.reports.retain(|_, entry| now < entry.last_live + retention);
        if now >= self.next_round {
            self.next_round = now + self.config.interval;
            self.send_round(live);
        }
        if now >= self.next_full_sync {
            self.next_full_sync = now
                + self.config.full_sync_interval / 2
                + self.rng.gen_range(0..self.config.full_sync_interval);
            if let Some(to) = live.choose(&mut self.rng) {
                self.send_all(&to.name);
            }
        }
    }

    fn send_round(&mut self, live: &[LivePeer]) {
        if let Some(to) = live.choose(&mut self.rng).filter(|_| self.remaining_requests > 0) {
            self.remaining_requests -= 1;
            self.outbox.push_back((to.name.clone(), GossipMessage::RequestAll));
        }
        let all = live.len() as u32 + 2;
        let transmission_limit =
            (TRANSMISSIONS_PER_DOUBLING * (u32::BITS - all.leading_zeros())).div_ceil(FANOUT as u32) + 1;
        let remaining =
            self.reports.iter().map(|(key, entry)| (entry.remaining.min(transmission_limit), key.clone()));
        let mut selected: Vec<(u32, R::Key)> = remaining.filter(|(remaining, _)| *remaining > 0).collect();
        selected.sort_unstable_by(|one, other| other.cmp(one));
        selected.truncate(self.config.messages_per_peer * self.config.reports_per_message);
        if selected.is_empty() || live.is_empty() {
            return;
        }
        let mut reports = Vec::new();
        for (remaining, key) in selected {
            if let Some(entry) = self.reports.get_mut(&key) {
                entry.remaining = remaining - 1;
                reports.push(entry.report.clone());
            }
        }
        for to in live.choose_multiple(&mut self.rng, FANOUT) {
            let messages = reports
                .chunks(self.config.reports_per_message)
                .map(|some| (to.name.clone(), GossipMessage::Reports(some.to_vec())));
            self.outbox.extend(messages);
        }
    }

    fn send_all(&mut self, to: &str) {
        let all: Vec<R> = self.reports.values().map(|entry| entry.report.clone()).collect();
        let messages = all
            .chunks(self.config.reports_per_message)
            .map(|some| (to.to_string(), GossipMessage::Reports(some.to_vec())));
        self.outbox.extend(messages);
    }

    /// The next note that is to be sent, and to whom.
    pub fn poll_message(&mut self) -> Option<(String, GossipMessage<R>)> {
        self.outbox.pop_front()
    }

    pub fn report(&self, key: &R::Key) -> Option<&R> {
        self.reports.get(key).map(|entry| &entry.report)
    }

    pub fn reports(&self) -> impl Iterator<Item = &R> {
        self.reports.values().map(|entry| &entry.report)
    }
}
