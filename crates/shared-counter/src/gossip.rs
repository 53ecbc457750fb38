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
const TELLINGS: u32 = 2;
/// A newcomer asks for all words at its first so many turns.
const ASKS: u32 = 3;

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
pub enum GossipMessage<W> {
    Reports(Vec<W>),
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

struct Heard<W> {
    word: W,
    /// When its run was last among the live.
    live: Micros,
    /// How often it is still to be told.
    left: u32,
}

pub struct Gossip<W: Report> {
    instance: u64,
    config: GossipConfig,
    reports: BTreeMap<W::Key, Heard<W>>,
    chance: ChaCha8Rng,
    next_turn: Micros,
    next_all: Micros,
    asks: u32,
    out: VecDeque<(String, GossipMessage<W>)>,
}

impl<W: Report> Gossip<W> {
    pub fn new(run: u64, manner: GossipConfig, seed: u64, now: Micros) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        // Those that start together must not all speak in the same instants.
        let next_turn = now + chance.gen_range(1..=manner.interval);
        let next_all = now + chance.gen_range(1..=manner.full_sync_interval);
        let (words, out) = (BTreeMap::new(), VecDeque::new());
        Gossip { instance: run, config: manner, reports: words, chance, next_turn, next_all, asks: ASKS, out }
    }

    /// This gateway says something.
    pub fn publish(&mut self, now: Micros, word: W) {
        self.reports.insert(word.key(), Heard { word, live: now, left: u32::MAX });
    }

    /// A note has come from the gateway of a name. Gives the keys of what is new by it.
    pub fn handle_message(&mut self, now: Micros, from: &str, note: GossipMessage<W>) -> Vec<W::Key> {
        match note {
            GossipMessage::RequestAll => {
                self.tell_all(from);
                Vec::new()
            }
            GossipMessage::Reports(words) => {
                words.into_iter().filter_map(|word| self.hears(now, word)).collect()
            }
        }
    }

    fn hears(&mut self, now: Micros, word: W) -> Option<W::Key> {
        // Nobody knows better what this gateway says.
        if !word.is_plausible() || word.origin() == self.instance {
            return None;
        }
        let (key, full) = (word.key(), self.reports.len() >= self.config.max_reports);
        match self.reports.get_mut(&key) {
            Some(heard) if heard.word.version() < word.version() => {
                (heard.word, heard.left) = (word, u32::MAX);
            }
            Some(_) => return None,
            None if full => return None,
            None => drop(self.reports.insert(key.clone(), Heard { word, live: now, left: u32::MAX })),
        }
        Some(key)
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.next_turn.min(self.next_all)
    }

    /// What is new is told at the next call of `tick`.
    pub fn hurry(&mut self, now: Micros) {
        self.next_turn = now;
    }

    /// `live`: the others that the mesh takes for live.
    pub fn handle_timeout(&mut self, now: Micros, live: &[LivePeer]) {
        let runs: std::collections::BTreeSet<u64> =
            live.iter().map(|one| one.instance).chain([self.instance]).collect();
        for heard in self.reports.values_mut().filter(|heard| runs.contains(&heard.word.origin())) {
            heard.live = now;
        }
        let kept = self.config.retention;
        self.reports.retain(|_, heard| now < heard.live + kept);
        if now >= self.next_turn {
            self.next_turn = now + self.config.interval;
            self.tell(live);
        }
        if now >= self.next_all {
            self.next_all = now
                + self.config.full_sync_interval / 2
                + self.chance.gen_range(0..self.config.full_sync_interval);
            if let Some(to) = live.choose(&mut self.chance) {
                self.tell_all(&to.name);
            }
        }
    }

    fn tell(&mut self, live: &[LivePeer]) {
        if let Some(to) = live.choose(&mut self.chance).filter(|_| self.asks > 0) {
            self.asks -= 1;
            self.out.push_back((to.name.clone(), GossipMessage::RequestAll));
        }
        let all = live.len() as u32 + 2;
        let most = (TELLINGS * (u32::BITS - all.leading_zeros())).div_ceil(FANOUT as u32) + 1;
        let left = self.reports.iter().map(|(key, heard)| (heard.left.min(most), key.clone()));
        let mut told: Vec<(u32, W::Key)> = left.filter(|(left, _)| *left > 0).collect();
        told.sort_unstable_by(|one, other| other.cmp(one));
        told.truncate(self.config.messages_per_peer * self.config.reports_per_message);
        if told.is_empty() || live.is_empty() {
            return;
        }
        let mut words = Vec::new();
        for (left, key) in told {
            if let Some(heard) = self.reports.get_mut(&key) {
                heard.left = left - 1;
                words.push(heard.word.clone());
            }
        }
        for to in live.choose_multiple(&mut self.chance, FANOUT) {
            let notes = words
                .chunks(self.config.reports_per_message)
                .map(|some| (to.name.clone(), GossipMessage::Reports(some.to_vec())));
            self.out.extend(notes);
        }
    }

    fn tell_all(&mut self, to: &str) {
        let all: Vec<W> = self.reports.values().map(|heard| heard.word.clone()).collect();
        let notes = all
            .chunks(self.config.reports_per_message)
            .map(|some| (to.to_string(), GossipMessage::Reports(some.to_vec())));
        self.out.extend(notes);
    }

    /// The next note that is to be sent, and to whom.
    pub fn poll_message(&mut self) -> Option<(String, GossipMessage<W>)> {
        self.out.pop_front()
    }

    pub fn report(&self, key: &W::Key) -> Option<&W> {
        self.reports.get(key).map(|heard| &heard.word)
    }

    pub fn reports(&self) -> impl Iterator<Item = &W> {
        self.reports.values().map(|heard| &heard.word)
    }
}
