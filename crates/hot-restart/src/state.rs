//! The state of one process of a gateway: the cordons merged from the records of all its processes, and this process's share of
//! the gateway's limits. Its inputs are records and its outputs are changes. It does no I/O.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Unix time in microseconds by the wall clock, which all processes of a gateway share.
pub type Micros = u64;

/// Identifies a process. A process that started later has a greater generation.
pub type Generation = u64;

/// Maximum number of cordon records that are kept: many more than operators set by hand.
pub const MAX_CORDONS: usize = 4_096;
/// How long the record of an uncordoned server is kept, in microseconds. This is longer than a slow start, as a process that
/// starts meanwhile must know about the slow start.
const UNCORDON_RETENTION: Micros = 60_000_000;
/// Descriptors that a process in shutdown keeps in addition to those it holds, for the attempts of open requests.
const SHUTDOWN_DESCRIPTORS: usize = 16;
/// Divisor of the gateway's descriptors for the minimum share of a process. A process without descriptors could not even reply
/// that it is not ready.
const MIN_SHARE_DIVISOR: usize = 8;

/// The last change of a server's cordon. Of two records the greater one takes precedence, comparing the fields in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CordonRecord {
    /// A Lamport timestamp: greater than the stamp of any record for this server that the writer knew.
    pub stamp: u64,
    /// The process that the operator called.
    pub by: Generation,
    /// The time of the operator's call.
    pub at: Micros,
    /// True if the server was cordoned, false if it was uncordoned.
    #[serde(rename = "out")]
    pub cordoned: bool,
}

/// The state that one process publishes to the others. Processes of other versions read it, so the names in JSON must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// Increases by one with each cordon record that is new to this process.
    pub version: u64,
    /// The last cordon record of each server, by the server's name.
    #[serde(rename = "words")]
    pub cordons: BTreeMap<String, CordonRecord>,
    /// For each other live process, the version of its record that this process has merged.
    #[serde(rename = "heard")]
    pub acknowledged: BTreeMap<Generation, u64>,
    /// The maximum number of descriptors that this process may hold.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
}

/// Another process as its files show it. A live process without a readable record counts when limits are divided, and has
/// acknowledged nothing.
#[derive(Clone, Debug)]
pub struct OtherProcess {
    /// Identifies the process.
    pub generation: Generation,
    /// Whether the process is running.
    pub is_alive: bool,
    /// The last record of the process, if it is readable.
    pub record: Option<ProcessRecord>,
}

/// A process's share of its gateway's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessShare {
    /// Fraction of ceilings and slow-start budgets. The fractions of all processes never add up to more than 1.
    pub fraction: f64,
    /// Number of live processes including this one. Memory is divided evenly among them.
    pub processes: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

/// A change that this process has to apply after an update.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A server is cordoned.
    Cordoned(String),
    /// A server was uncordoned at the given time, when its slow start began.
    Uncordoned(String, Micros),
    /// This process has another share.
    Share(ProcessShare),
}

/// One process of a gateway, and its knowledge about the other processes.
#[derive(Debug)]
pub struct HotRestart {
    generation: Generation,
    /// Descriptors of the whole gateway.
    descriptors: usize,
    version: u64,
    cordons: BTreeMap<String, CordonRecord>,
    /// The other live processes at the last update.
    live_processes: BTreeMap<Generation, LiveProcess>,
    /// Whether all other processes that were live at some update had acknowledged this process.
    is_settled: bool,
    is_shutting_down: bool,
    held_descriptors: usize,
    share: Option<ProcessShare>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LiveProcess {
    /// The version of the other process's record that this process has merged.
    merged_version: u64,
    /// The version of this process's record that the other process has merged. `None` if the other does not know this process.
    acknowledged_version: Option<u64>,
    descriptors: usize,
}

impl HotRestart {
    /// Creates the state of a process that has seen no other process yet. `descriptors` is the number for the whole gateway.
    pub fn new(generation: Generation, descriptors: usize) -> Self {
        HotRestart {
            generation,
            descriptors,
            version: 0,
            cordons: BTreeMap::new(),
            live_processes: BTreeMap::new(),
            is_settled: false,
            is_shutting_down: false,
            held_descriptors: 0,
            share: None,
        }
    }

    /// Records that an operator has cordoned or uncordoned a server at the given time. Returns false if nothing changes: the
    /// server is already in that state, or [`MAX_CORDONS`] is reached.
    pub fn set_cordon(&mut self, server: &str, cordoned: bool, at: Micros) -> bool {
        let known = self.cordons.get(server);
        if known.is_some_and(|cordon| cordon.cordoned == cordoned)
            || known.is_none() && self.cordons.len() >= MAX_CORDONS
        {
            return false;
        }
        let stamp = known.map_or(1, |cordon| cordon.stamp + 1);
        self.cordons.insert(server.into(), CordonRecord { stamp, by: self.generation, at, cordoned });
        self.version += 1;
        true
    }

    /// Merges the records of the other processes, and computes this process's share of the limits again. `held_descriptors` is
    /// the number of descriptors that this process has open.
    pub fn update(&mut self, others: &[OtherProcess], held_descriptors: usize, now: Micros) -> Vec<Change> {
        let mut changes = Vec::new();
        self.held_descriptors = held_descriptors;
        self.live_processes.clear();
        let generation = self.generation;
        for other in others.iter().filter(|other| other.generation != generation) {
            if let Some(record) = &other.record {
                self.merge(record, &mut changes);
            }
            if other.is_alive {
                let record = other.record.as_ref();
                let process = LiveProcess {
                    merged_version: record.map_or(0, |record| record.version),
                    acknowledged_version: record
                        .and_then(|record| record.acknowledged.get(&self.generation).copied()),
                    descriptors: record.map_or(self.descriptors, |record| record.descriptors),
                };
                self.live_processes.insert(other.generation, process);
            }
        }
        if self.live_processes.is_empty() {
            self.cordons
                .retain(|_, cordon| cordon.cordoned || now < cordon.at.saturating_add(UNCORDON_RETENTION));
        }
        self.is_settled |= self.live_processes.values().all(|process| process.acknowledged_version.is_some());
        let share = self.compute_share();
        if self.share != Some(share) {
            self.share = Some(share);
            changes.push(Change::Share(share));
        }
        changes
    }

    /// Merges the cordon records that are newer than those known to this process.
    fn merge(&mut self, record: &ProcessRecord, changes: &mut Vec<Change>) {
        for (server, cordon) in &record.cordons {
            let known = self.cordons.get(server);
            if known.is_some_and(|known| *known >= *cordon)
                || known.is_none() && self.cordons.len() >= MAX_CORDONS
            {
                continue;
            }
            changes.push(if cordon.cordoned {
                Change::Cordoned(server.clone())
            } else {
                Change::Uncordoned(server.clone(), cordon.at)
            });
            self.cordons.insert(server.clone(), *cordon);
            self.version += 1;
        }
    }

    fn compute_share(&self) -> ProcessShare {
        let processes = self.live_processes.len() + 1;
        // Danger: two processes that each use the whole of a limit would admit twice the ceilings, and overload servers in slow
        // start. A new process has a fraction of 0 until the others have acknowledged it.
        let fraction = if self.is_settled { 1.0 / processes as f64 } else { 0.0 };
        let older_descriptors: usize =
            self.live_processes.range(..self.generation).map(|(_, process)| process.descriptors).sum();
        let younger_processes = self.live_processes.range(self.generation..).count();
        let even_share = self.descriptors.saturating_sub(older_descriptors) / (1 + younger_processes);
        let descriptor_share = if self.is_shutting_down && self.has_successor() {
            even_share.min(self.held_descriptors + SHUTDOWN_DESCRIPTORS)
        } else {
            even_share
        };
        ProcessShare {
            fraction,
            processes,
            descriptors: descriptor_share.max(self.descriptors / MIN_SHARE_DIVISOR),
        }
    }

    /// Begins the shutdown of this process. If it has a successor it accepts no more clients, and its share of descriptors is
    /// lowered to little more than those it holds.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Whether the other processes have acknowledged this one, so that it has a share.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether a process that started after this one is live.
    pub fn has_successor(&self) -> bool {
        self.live_processes.range(self.generation..).next().is_some()
    }

    /// Whether no other process is live.
    pub fn is_alone(&self) -> bool {
        self.live_processes.is_empty()
    }

    /// The version of this process's record.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether all other live processes have merged the given version of this process's record. False before the first update.
    pub fn is_acknowledged(&self, version: u64) -> bool {
        self.share.is_some()
            && self.live_processes.values().all(|process| {
                process
                    .acknowledged_version
                    .is_some_and(|acknowledged_version| acknowledged_version >= version)
            })
    }

    /// The record that this process publishes to the others.
    pub fn record(&self) -> ProcessRecord {
        let descriptors = self.share.map_or(self.descriptors, |share| share.descriptors);
        ProcessRecord {
            version: self.version,
            cordons: self.cordons.clone(),
            acknowledged: self
                .live_processes
                .iter()
                .map(|(generation, process)| (*generation, process.merged_version))
                .collect(),
            descriptors: descriptors.max(self.held_descriptors),
        }
    }
}
