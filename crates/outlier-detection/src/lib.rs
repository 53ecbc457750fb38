//! Outlier detection that gateways share: what one learns of a server serves all, and together they never eject too much.
//!
//! Each gateway observes its own attempts at each server and reports changes by gossip; while all servers are healthy nothing
//! is reported. From the reports of all, each gateway determines whether a server is an outlier for all zones, for its own
//! zone, or for nobody else: one gateway's report decides nothing, and a gateway that the others mostly contradict loses its
//! weight. Outliers are ejected, never more of them than a share of the capacity, and tried again by one gateway at a time,
//! whose report serves all.
//!
//! [`detector`] is the state machine, without clock, socket or thread: the caller passes the time, the messages and the live
//! members.

#![warn(missing_docs)]

pub mod detector;
mod evidence;
mod observation;
pub mod status;
mod trial_permit;

use std::hash::Hasher;

use fernscale_shared_counter::gossip;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Whole microseconds of a monotonic clock, or of the clock that all gateways share where that is said.
pub type Micros = u64;
pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

/// Bytes of the name of a server, and of a zone, at the most.
pub const MAX_NAME_BYTES: usize = 128;

/// The health of a server at one gateway, as it is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthLevel {
    /// Attempts that failed, in eighths of all.
    pub failures: u8,
    /// Doublings of the usual latency.
    pub slowness: u8,
    /// Attempts that this rests on: 0 none, 1 one, 2 two or three, and so on by doublings.
    pub samples: u8,
}

impl HealthLevel {
    const MAX_LEVEL: u8 = 8;
    const MAX_SAMPLES: u8 = 16;

    /// Whether a quarter of the attempts failed, or they took four times the usual latency.
    pub fn is_outlier(self) -> bool {
        self.failures >= 2 || self.slowness >= 2
    }

    /// The share of the attempts that counts against the server, from 0 to 1.
    pub fn severity(self) -> f64 {
        if self.slowness >= 2 {
            1.0
        } else {
            f64::from(self.failures.min(HealthLevel::MAX_LEVEL)) / f64::from(HealthLevel::MAX_LEVEL)
        }
    }

    /// The weight of the attempts that it rests on, as far as more of them make it surer.
    pub fn confidence(self) -> f64 {
        [0.0, 0.5, 1.0, 2.0][usize::from(self.samples.min(3))]
    }

    /// Whether it rests on enough attempts to hold where it was observed.
    pub fn is_confident(self) -> bool {
        self.samples >= 3
    }
}

/// What one process of a gateway reports on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The reporting process.
    pub instance: u64,
    /// The server's name in the endpoint list.
    pub server: String,
    /// When the server started, in microseconds of the shared clock, as far as the list says; 0 where that is long past.
    pub started_at: u64,
    /// Rises with each report of the process.
    pub version: u32,
    /// The zone of the gateway; empty if unknown.
    pub zone: String,
    /// What was observed.
    pub health: HealthLevel,
    /// Number of gateways that it stands for, with this one: of those that observe the like only few report.
    pub represents: u16,
}

impl gossip::Report for ServerReport {
    type Key = (String, u64);

    fn key(&self) -> (String, u64) {
        (self.server.clone(), self.instance)
    }

    fn version(&self) -> u64 {
        self.version.into()
    }

    fn origin(&self) -> u64 {
        self.instance
    }

    fn is_plausible(&self) -> bool {
        self.health.failures <= HealthLevel::MAX_LEVEL
            && self.health.slowness <= HealthLevel::MAX_LEVEL
            && self.health.samples <= HealthLevel::MAX_SAMPLES
            && (1..=MAX_NAME_BYTES).contains(&self.server.len())
            && self.zone.len() <= MAX_NAME_BYTES
            && self.represents >= 1
    }
}

/// A message between two gateways.
pub type Message = gossip::GossipMessage<ServerReport>;

/// [`stable_hash`] as a fraction of 1.
pub(crate) fn stable_fraction(one: &str, other: &str, interval: u64) -> f64 {
    (stable_hash(one, other, interval) >> 11) as f64 / (1u64 << 53) as f64
}

/// A hash of two names and the number of an interval that is the same at every gateway.
pub(crate) fn stable_hash(one: &str, other: &str, interval: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7369_676e, interval);
    hasher.write(one.as_bytes());
    hasher.write_u8(0);
    hasher.write(other.as_bytes());
    hasher.finish()
}
