//! The state of one process beside the others of its gateway: cordons merged from all records, and the share of the
//! gateway's limits that is this process's. Inputs are the records, outputs are changes; it never reads or writes a file.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Microseconds since 1970 by the clock that all processes share.
pub type Micros = u64;

/// Identifies a process: one that started later has a greater number.
pub type Generation = u64;

/// Cordons that are kept: many more than operators set by hand.
pub const MAX_CORDONS: usize = 4_096;
/// How long an uncordoned server is remembered, in microseconds: longer than a slow start, as a process that starts
/// meanwhile must know of it.
const UNCORDON_RETENTION: Micros = 60_000_000;
/// Descriptors that a process in shutdown keeps beyond those it holds, for the attempts of requests that are open.
const SHUTDOWN_DESCRIPTORS: usize = 16;
/// Divisor of the gateway's descriptors for the least share of a process: without any descriptor it could not even reply
/// that it is not ready.
const MIN_SHARE_DIVISOR: usize = 8;

/// The last change of a server's cordon. Of two records the greater one holds, in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CordonRecord {
    /// Greater than that of any record of this server that the writer knew.
    pub stamp: u64,
    /// The process that the operator called.
    pub by: Generation,
    /// When the operator called.
    pub at: Micros,
    /// Whether the server is cordoned, or was uncordoned.
    #[serde(rename = "out")]
    pub cordoned: bool,
}

/// What one process lets the others know. The names in JSON are an encoding that processes of other versions read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// Grows with each cordon record that is new in this process.
    pub version: u64,
    /// The last cordon record of each server, by its name.
    #[serde(rename = "words")]
    pub cordons: BTreeMap<String, CordonRecord>,
    /// The version that this process has merged of each live process.
    #[serde(rename = "heard")]
    pub acknowledged: BTreeMap<Generation, u64>,
    /// Descriptors that this process may come to hold.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
}

/// Another process as it was read. A live one without a readable record counts in the shares, and has acknowledged
/// nothing.
#[derive(Clone, Debug)]
pub struct OtherProcess {
    /// Its number.
    pub generation: Generation,
    /// Whether it runs.
    pub is_alive: bool,
    /// Its last record, if there is a readable one.
    pub record: Option<ProcessRecord>,
}

/// A process's share of its gateway's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessShare {
    /// Fraction of ceilings and slow-start budgets. Those of all processes never add up to more than 1.
    pub fraction: f64,
    /// Live processes including this one, among which memory is divided evenly.
    pub processes: usize,
    /// File descriptors.
    pub descriptors: usize,
}

/// A change that an update brings for this process.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A server is cordoned.
    Cordoned(String),
    /// A server was uncordoned at that time, and is in slow start from then on.
    Uncordoned(String, Micros),
    /// This process has another share.
    Share(ProcessShare),
}

/// One process of a gateway, with what it knows of the others.
#[derive(Debug)]
pub struct HotRestart {
    generation: Generation,
    /// Descriptors of the whole gateway.
    descriptors: usize,
    version: u64,
    cordons: BTreeMap<String, CordonRecord>,
    /// The other live processes at the last update.
    live_processes: BTreeMap<Generation, LiveProcess>,
    /// Whether all processes that were live at one update have acknowledged this one.
    is_settled: bool,
    is_shutting_down: bool,
    held_descriptors: usize,
    share: Option<ProcessShare>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LiveProcess {
    /// The version of its record that this process has merged.
    merged_version: u64,
    /// The version of this process's record that it has merged; nothing where it does not know of this process.
    acknowledged_version: Option<u64>,
    descriptors: usize,
}

impl HotRestart {
    /// A process that has seen no other yet. `descriptors` are those of the whole gateway.
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

    /// Records that an operator has cordoned or uncordoned a server at a time. False where nothing changes by it: the server
    /// is in that state, or the bound on cordons is reached.
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

    /// Merges the records of the other processes and divides the limits again. `held_descriptors` are those that this
    /// process has open.
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

    /// Takes over the cordon records that are newer than those known here.
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
        // Danger: two processes that each use the whole of a limit admit twice the ceilings and overload servers in slow
        // start. A new process has nothing until the others have acknowledged it.
        let fraction = if self.is_settled { 1.0 / processes as f64 } else { 0.0 };
        let older_descriptors: usize =
            self.live_processes.range(..self.generation).map(|(_, process)| process.descriptors).sum();
        let younger_processes = self.live_processes.range(self.generation..).count();
        let even_share = self.descriptors.saturating_sub(older_descriptors) / (1 + younger_processes);
        let share_wanted = if self.is_shutting_down && self.has_successor() {
            even_share.min(self.held_descriptors + SHUTDOWN_DESCRIPTORS)
        } else {
            even_share
        };
        ProcessShare {
            fraction,
            processes,
            descriptors: share_wanted.max(self.descriptors / MIN_SHARE_DIVISOR),
        }
    }

    /// Lowers this process's share to what it holds, as it accepts no more clients where it has a successor.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Whether the other processes have acknowledged this one, so that it has a share.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether a process is live that started after this one.
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

    /// Whether all live processes have merged this process's record of a version; false before the first update.
    pub fn is_acknowledged(&self, version: u64) -> bool {
        self.share.is_some()
            && self.live_processes.values().all(|process| {
                process
                    .acknowledged_version
                    .is_some_and(|acknowledged_version| acknowledged_version >= version)
            })
    }

    /// The record for the other processes.
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
