//! What one gateway learns of a server serves all, and all together never do too much.
//!
//! Each gateway keeps what it has met at each server of late (`observation`), and says so when that changes: a word, told by rumour.
//! While all is well nobody says anything. From the words of all it is judged whether a server is bad for all, for the own
//! zone, or for nobody else (`evidence`): one gateway's word moves nobody, and whoever is mostly contradicted loses its weight. Those
//! that are bad are left out of use, never more of them than a share of the capacity (`detector`), and tried again by turns, one
//! gateway at a time, whose word serves all (`trial_permit`).
//!
//! No clock, socket or thread: the caller hands in the time, what came and who is there.

pub mod detector;
pub mod evidence;
pub mod observation;
pub mod status;
pub mod trial_permit;

use std::hash::Hasher;

use fernscale_shared_counter::gossip;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Whole microseconds, of a clock that only rises; where it is said, of the clock that all gateways share.
pub type Micros = u64;
pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

/// The longest name of a server, and of a zone.
pub const MAX_NAME_BYTES: usize = 128;

/// How a server has done at one gateway, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthLevel {
    /// Trips lost or turned away, in eighths of all.
    pub failures: u8,
    /// Doublings of the usual time.
    pub slowness: u8,
    /// Trips that this rests on: 0 none, 1 one, 2 two or three, and so on by doublings.
    pub samples: u8,
}

impl HealthLevel {
    const MAX_LEVEL: u8 = 8;
    const MAX_SAMPLES: u8 = 16;

    /// A quarter of the trips lost, or four times as slow as usual: nobody would send there by choice.
    pub fn is_outlier(self) -> bool {
        self.failures >= 2 || self.slowness >= 2
    }

    /// The part of what it rests on that speaks against the server.
    pub fn severity(self) -> f64 {
        if self.slowness >= 2 {
            1.0
        } else {
            f64::from(self.failures.min(HealthLevel::MAX_LEVEL)) / f64::from(HealthLevel::MAX_LEVEL)
        }
    }

    /// The trips that it rests on, as far as more of them make it surer.
    pub fn confidence(self) -> f64 {
        [0.0, 0.5, 1.0, 2.0][usize::from(self.samples.min(3))]
    }

    /// It rests on enough to be surely so where it was met.
    pub fn is_confident(self) -> bool {
        self.samples >= 3
    }
}

/// What a run of a gateway says of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    pub instance: u64,
    pub server: String,
    /// When the server started, as far as the list says; 0 where that is long past.
    pub started_at: u64,
    pub version: u32,
    /// Where the gateway stands; empty, nobody says.
    pub zone: String,
    pub health: HealthLevel,
    /// So many others have met the like and say nothing, as few of those who know better need to speak.
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
        let HealthLevel { failures: bad, slowness: slow, samples: seen } = self.health;
        bad <= HealthLevel::MAX_LEVEL
            && slow <= HealthLevel::MAX_LEVEL
            && seen <= HealthLevel::MAX_SAMPLES
            && (1..=MAX_NAME_BYTES).contains(&self.server.len())
            && self.zone.len() <= MAX_NAME_BYTES
            && self.represents >= 1
    }
}

pub type Message = gossip::GossipMessage<ServerReport>;

/// The same as a fraction.
pub(crate) fn stable_fraction(one: &str, other: &str, interval: u64) -> f64 {
    (stable_hash(one, other, interval) >> 11) as f64 / (1u64 << 53) as f64
}

/// A number drawn by names and a turn, the same at every gateway.
pub(crate) fn stable_hash(one: &str, other: &str, interval: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7369_676e, interval);
    hasher.write(one.as_bytes());
    hasher.write_u8(0);
    hasher.write(other.as_bytes());
    hasher.finish()
}
