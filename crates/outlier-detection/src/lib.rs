//! Outlier detection that gateways share. Every gateway uses the observations of all, and the ejected capacity is limited.
//!
//! Each gateway observes its own attempts at each server and reports changes by gossip. While all servers are healthy, it
//! reports nothing. From the reports of all gateways, each gateway determines whether a server is an outlier for all zones, for
//! its own zone, or for a single gateway only. The report of a single gateway ejects no server, and a gateway that the others
//! mostly contradict loses weight. Outliers are ejected up to a share of the capacity. One gateway at a time tries an ejected
//! server again, and all gateways use its report.
//!
//! [`detector`] is the state machine. It has no clock, socket or thread: the caller passes the time, the messages and the live
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

/// Whole microseconds of a monotonic clock, or of the clock that all gateways share if the documentation says so.
pub type Micros = u64;
pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

/// Maximum size of the name of a server or zone.
pub const MAX_NAME_BYTES: usize = 128;

/// The health of a server that one gateway observes and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthLevel {
    /// The share of attempts that failed, in eighths.
    pub failures: u8,
    /// The mean slowdown, as the number of doublings of the usual latency.
    pub slowness: u8,
    /// The number of observed attempts on a logarithmic scale: 0 for none, 1 for one, 2 for two or three, and so on by doublings.
    pub samples: u8,
}

impl HealthLevel {
    const MAX_LEVEL: u8 = 8;
    const MAX_SAMPLES: u8 = 16;

    /// Whether at least a quarter of the attempts failed, or the latency was at least four times the usual one.
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

    /// The weight of the observation, which grows with the number of attempts up to a limit.
    pub fn confidence(self) -> f64 {
        [0.0, 0.5, 1.0, 2.0][usize::from(self.samples.min(3))]
    }

    /// Whether there are enough attempts for the observation to be valid at the observing gateway.
    pub fn is_confident(self) -> bool {
        self.samples >= 3
    }
}

/// The report of one process of a gateway on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The reporting process.
    pub instance: u64,
    /// The server's name in the endpoint list.
    pub server: String,
    /// When the server started according to the endpoint list, in microseconds of the shared clock; 0 if that is long past.
    pub started_at: u64,
    /// The version, which increases with each report of the process.
    pub version: u32,
    /// The zone of the gateway; empty if unknown.
    pub zone: String,
    /// The observed health.
    pub health: HealthLevel,
    /// Number of gateways that the report represents, including the reporting one. Only a few of the gateways with the same
    /// observation report it.
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

/// [`stable_hash`] as a fraction between 0 and 1.
pub(crate) fn stable_fraction(first: &str, second: &str, interval: u64) -> f64 {
    (stable_hash(first, second, interval) >> 11) as f64 / (1u64 << 53) as f64
}

/// A hash of two names and the number of an interval. It is the same at every gateway.
pub(crate) fn stable_hash(first: &str, second: &str, interval: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7369_676e, interval);
    hasher.write(first.as_bytes());
    hasher.write_u8(0);
    hasher.write(second.as_bytes());
    hasher.finish()
}
