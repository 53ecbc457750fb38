//! Deterministic subsetting: which servers each gateway uses, and with which weights, so that the load over the fleet is even
//! without any coordination.
//!
//! There are two steps. *Which pairs*: each gateway takes the servers that come first by a hash of both names, and each server
//! the gateways that come first by the same hash, so that nobody is left out; few pairs change when a gateway or server
//! is added or removed (rendezvous hashing, Thaler and Ravishankar, 1998). *How much*: weights are fitted until each
//! gateway's amount to its load and each server's to its part of all (iterative proportional fitting, Deming and Stephan,
//! 1940), which evens out what the choice of pairs left uneven.
//!
//! Zones come first: as much of a zone's load as its own servers have capacity for stays there, and the rest goes to the other
//! zones in proportion to their remaining capacity. All of it follows from names, loads and weights alone, in whatever
//! order they are given, so that gateways with one view agree.
//!
//! [`subset`] follows one gateway's subset through time, [`load_reports`] disseminates the loads.

#![warn(missing_docs)]

pub mod assigner;
pub mod baselines;
mod evenness;
mod fitting;
mod hashing;
pub mod load_reports;
pub mod status;
pub mod subset;
pub mod zones;

pub use evenness::{evenness, moved_share, together, Evenness};

/// Whole microseconds of a monotonic clock.
pub type Micros = u64;
pub(crate) const SECOND: Micros = 1_000_000;

/// A gateway and its load. One with a load of 0 is assigned servers and counts for nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Its configured name.
    pub name: String,
    /// Its traffic relative to the other gateways'.
    pub load: f64,
    /// The number of its zone.
    pub zone: u32,
}

/// A server and its capacity. One whose weight is not positive and finite is not used.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name in the endpoint list.
    pub name: String,
    /// Its capacity relative to the other servers'.
    pub weight: f64,
    /// The number of its zone.
    pub zone: u32,
}

impl Server {
    pub(crate) fn is_usable(&self) -> bool {
        self.weight > 0.0 && self.weight.is_finite()
    }
}

/// The settings of an installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Servers of a gateway, and gateways of a server, at the least, or all where there are fewer.
    pub min_servers: usize,
    /// Whether traffic stays in its zone as far as that has capacity.
    pub prefers_own_zone: bool,
}

/// The smallest subset, of which a gateway can lose two servers.
pub const MIN_SUBSET_SIZE: usize = 3;

impl Default for Settings {
    fn default() -> Self {
        Settings { min_servers: 12, prefers_own_zone: true }
    }
}

/// A server that a gateway uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// The server's position in the given list.
    pub server: usize,
    /// The share of the gateway's traffic that goes there; 0 for a spare one.
    pub weight: f64,
}

/// Which gateway uses which servers.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Assignments {
    /// For each gateway as given, its servers in their order. The weights of each gateway sum to 1.
    pub by_gateway: Vec<Vec<Assignment>>,
}

/// Assigns the servers to the gateways, without a previous assignment.
pub fn assign(gateways: &[Gateway], servers: &[Server], settings: Settings) -> Assignments {
    assigner::Assigner::default().assign(gateways, servers, settings)
}

/// The load with which weights are fitted: a gateway without any is assigned servers for a trace of it.
fn effective_load(gateway: &Gateway) -> f64 {
    const MIN_LOAD: f64 = 1e-6;
    if gateway.load.is_finite() {
        gateway.load.max(MIN_LOAD)
    } else {
        MIN_LOAD
    }
}
