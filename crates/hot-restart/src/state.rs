//! The state of one process beside the others of its gateway. Inputs are what is read of them; outputs are changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whole microseconds since 1970.
pub type Micros = u64;

/// A process: one that started later has a greater number.
pub type Generation = u64;

/// Words on servers that are kept: many more than anybody takes out by hand.
pub const MAX_CORDONS: usize = 4_096;
/// Time for which it is remembered that a server was called back, µs: it may be cold so long, and a process that starts
/// meanwhile has to know. Servers are warm long before.
const COLD: Micros = 60_000_000;
/// Descriptors that a process which ends keeps beside those it holds, for the trips of what is still open.
const TO_END: usize = 16;
/// Part of the descriptors, as its divisor, that a process has even where the others leave less: without any it could
/// not even say that it is not ready.
const LEAST_PART: usize = 8;

/// What the operators last said of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CordonRecord {
    /// Greater than any that the speaker knew of this server.
    pub stamp: u64,
    /// Who heard it: of two with one stamp the later process's holds, everywhere.
    pub by: Generation,
    /// When, by the clock that all processes share.
    pub at: Micros,
    #[serde(rename = "out")]
    pub cordoned: bool,
}

/// What one process lets the others know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// Grows with each word that is new here.
    pub version: u64,
    #[serde(rename = "words")]
    pub cordons: BTreeMap<String, CordonRecord>,
    /// The processes that it knows of, and the version of each that it has heard.
    #[serde(rename = "heard")]
    pub acknowledged: BTreeMap<Generation, u64>,
    /// Descriptors that it may come to hold.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
}

/// Another process, as it was read. One that lives and has no readable record counts, and has heard nothing.
#[derive(Clone, Debug)]
pub struct OtherProcess {
    pub generation: Generation,
    pub is_alive: bool,
    pub record: Option<ProcessRecord>,
}

/// What this process has of its gateway's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessShare {
    /// Of ceilings and cold budgets: never more than one in all processes together.
    pub fraction: f64,
    /// Processes that live, this one included: memory is parted evenly.
    pub processes: usize,
    pub descriptors: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Cordoned(String),
    /// Called back at that time: cold from then on.
    Uncordoned(String, Micros),
    Share(ProcessShare),
}

#[derive(Debug)]
pub struct HotRestart {
    me: Generation,
    /// Descriptors of the whole gateway.
    sockets: usize,
    version: u64,
    words: BTreeMap<String, CordonRecord>,
    /// The others that live: the version heard of each, whether it has heard of this one, and what it claims.
    live: BTreeMap<Generation, Live>,
    /// All that lived when this one came have said that they know of it.
    settled: bool,
    ending: bool,
    held: usize,
    part: Option<ProcessShare>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Live {
    heard: u64,
    knows: Option<u64>,
    sockets: usize,
}

impl HotRestart {
    pub fn new(me: Generation, sockets: usize) -> Self {
        HotRestart {
            me,
            sockets,
            version: 0,
            words: BTreeMap::new(),
            live: BTreeMap::new(),
            settled: false,
            ending: false,
            held: 0,
            part: None,
        }
    }

    /// The operators' word, heard here. True if it is to be told; what is said already is not new.
    pub fn set_cordon(&mut self, server: &str, out: bool, at: Micros) -> bool {
        let known = self.words.get(server);
        if known.is_some_and(|word| word.cordoned == out)
            || known.is_none() && self.words.len() >= MAX_CORDONS
        {
            return false;
        }
        let stamp = known.map_or(1, |word| word.stamp + 1);
        self.words.insert(server.into(), CordonRecord { stamp, by: self.me, at, cordoned: out });
        self.version += 1;
        true
    }

    /// The others as they are now, and the descriptors held here; says what changes.
    pub fn update(&mut self, others: &[OtherProcess], held: usize, now: Micros) -> Vec<Change> {
        let mut changes = Vec::new();
        self.held = held;
        self.live.clear();
        let me = self.me;
        for other in others.iter().filter(|other| other.generation != me) {
            if let Some(record) = &other.record {
                self.hear(record, &mut changes);
            }
            if other.is_alive {
                let record = other.record.as_ref();
                let live = Live {
                    heard: record.map_or(0, |record| record.version),
                    knows: record.and_then(|record| record.acknowledged.get(&self.me).copied()),
                    sockets: record.map_or(self.sockets, |record| record.descriptors),
                };
                self.live.insert(other.generation, live);
            }
        }
        if self.live.is_empty() {
            self.words.retain(|_, word| word.cordoned || now < word.at.saturating_add(COLD));
        }
        self.settled |= self.live.values().all(|live| live.knows.is_some());
        let part = self.divide();
        if self.part != Some(part) {
            self.part = Some(part);
            changes.push(Change::Share(part));
        }
        changes
    }

    fn hear(&mut self, record: &ProcessRecord, changes: &mut Vec<Change>) {
        for (server, word) in &record.cordons {
            let known = self.words.get(server);
            if known.is_some_and(|known| *known >= *word)
                || known.is_none() && self.words.len() >= MAX_CORDONS
            {
                continue;
            }
            changes.push(if word.cordoned {
                Change::Cordoned(server.clone())
            } else {
                Change::Uncordoned(server.clone(), word.at)
            });
            self.words.insert(server.clone(), *word);
            self.version += 1;
        }
    }

    fn divide(&self) -> ProcessShare {
        let processes = self.live.len() + 1;
        // Danger: two that each take themselves for the gateway admit twice its ceilings, and push a cold server
        // twice. Who comes waits until the others have said that they take less.
        let of_all = if self.settled { 1.0 / processes as f64 } else { 0.0 };
        let older: usize = self.live.range(..self.me).map(|(_, live)| live.sockets).sum();
        let younger = self.live.range(self.me..).count();
        let even = self.sockets.saturating_sub(older) / (1 + younger);
        let wanted = if self.ending { even.min(self.held + TO_END) } else { even };
        ProcessShare { fraction: of_all, processes, descriptors: wanted.max(self.sockets / LEAST_PART) }
    }

    /// No more clients come here.
    pub fn begin_shutdown(&mut self) {
        self.ending = true;
    }

    /// All that live know of this process.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    pub fn is_alone(&self) -> bool {
        self.live.is_empty()
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether all that live have heard the words up to this version; not known before the first look.
    pub fn is_acknowledged(&self, version: u64) -> bool {
        self.part.is_some() && self.live.values().all(|live| live.knows.is_some_and(|knows| knows >= version))
    }

    /// What the others are to know.
    pub fn record(&self) -> ProcessRecord {
        let sockets = self.part.map_or(self.sockets, |part| part.descriptors);
        ProcessRecord {
            version: self.version,
            cordons: self.words.clone(),
            acknowledged: self.live.iter().map(|(generation, live)| (*generation, live.heard)).collect(),
            descriptors: sockets.max(self.held),
        }
    }
}
