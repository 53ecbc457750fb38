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
const UNCORDON_RETENTION: Micros = 60_000_000;
/// Descriptors that a process which ends keeps beside those it holds, for the trips of what is still open.
const SHUTDOWN_DESCRIPTORS: usize = 16;
/// Part of the descriptors, as its divisor, that a process has even where the others leave less: without any it could
/// not even say that it is not ready.
const MIN_SHARE_DIVISOR: usize = 8;

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
    generation: Generation,
    /// Descriptors of the whole gateway.
    descriptors: usize,
    version: u64,
    cordons: BTreeMap<String, CordonRecord>,
    /// The others that live: the version heard of each, whether it has heard of this one, and what it claims.
    live_processes: BTreeMap<Generation, LiveProcess>,
    /// All that lived when this one came have said that they know of it.
    is_settled: bool,
    is_shutting_down: bool,
    held_descriptors: usize,
    share: Option<ProcessShare>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LiveProcess {
    merged_version: u64,
    acknowledged_version: Option<u64>,
    descriptors: usize,
}

impl HotRestart {
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

    /// The operators' word, heard here. True if it is to be told; what is said already is not new.
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

    /// The others as they are now, and the descriptors held here; says what changes.
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
        // Danger: two that each take themselves for the gateway admit twice its ceilings, and push a cold server
        // twice. Who comes waits until the others have said that they take less.
        let fraction = if self.is_settled { 1.0 / processes as f64 } else { 0.0 };
        let older_descriptors: usize =
            self.live_processes.range(..self.generation).map(|(_, process)| process.descriptors).sum();
        let younger_processes = self.live_processes.range(self.generation..).count();
        let even_share = self.descriptors.saturating_sub(older_descriptors) / (1 + younger_processes);
        let share_wanted = if self.is_shutting_down {
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

    /// No more clients come here.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// All that live know of this process.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    pub fn is_alone(&self) -> bool {
        self.live_processes.is_empty()
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether all that live have heard the words up to this version; not known before the first look.
    pub fn is_acknowledged(&self, version: u64) -> bool {
        self.share.is_some()
            && self.live_processes.values().all(|process| {
                process
                    .acknowledged_version
                    .is_some_and(|acknowledged_version| acknowledged_version >= version)
            })
    }

    /// What the others are to know.
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
