//! Deterministic subsetting: which servers each gateway uses, and with which weights. It loads all servers of the fleet
//! evenly without any coordination between gateways.
//!
//! An assignment has two steps. The first step chooses the *pairs* by rendezvous hashing (Thaler and Ravishankar,
//! 1998): each gateway chooses the servers with the lowest hashes of both names, and each server chooses the gateways
//! with the lowest of the same hashes, so that every gateway and every server has pairs. Few pairs change when a
//! gateway or server is added or removed. The second step fits the *weights* by iterative proportional fitting (Deming
//! and Stephan, 1940) until the amounts of each gateway sum to its load, and the amounts of each server to its share of
//! the total load. The fitting evens out the uneven numbers of pairs.
//!
//! Zones are considered before servers: a zone's load stays in the zone up to the capacity of its own servers, and the
//! rest goes to the other zones in proportion to their remaining capacity. The result depends only on names, loads and
//! weights, not on their order, so gateways with the same view agree.
//!
//! [`subset`] tracks one gateway's subset through time, and [`load_reports`] disseminates the loads.

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

pub use evenness::{evenness, loads_with_differing_views, moved_share, Evenness};

/// Microseconds of a monotonic clock.
pub type Micros = u64;
pub(crate) const SECOND: Micros = 1_000_000;

/// A gateway and its load. A gateway with load 0 is assigned servers but adds almost nothing to their loads.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// The gateway's configured name.
    pub name: String,
    /// The gateway's traffic relative to the other gateways' traffic.
    pub load: f64,
    /// The number of the gateway's zone.
    pub zone: u32,
}

/// A server and its capacity. A server is used only if its weight is positive and finite.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's name in the endpoint list.
    pub name: String,
    /// The server's capacity relative to the other servers' capacity.
    pub weight: f64,
    /// The number of the server's zone.
    pub zone: u32,
}

impl Server {
    pub(crate) fn is_usable(&self) -> bool {
        self.weight > 0.0 && self.weight.is_finite()
    }
}

/// The subsetting settings of an installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Minimum number of servers of a gateway, and of gateways of a server. If there are fewer, all are used.
    pub min_servers: usize,
    /// Whether traffic stays in its zone up to the zone's capacity.
    pub prefers_own_zone: bool,
}

/// Minimum size of a subset, such that a gateway can lose two servers.
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
    /// The share of the gateway's traffic that goes to the server; 0 for a spare server.
    pub weight: f64,
}

/// Which gateway uses which servers.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Assignments {
    /// The servers of each gateway, in the order of the given gateways and servers. The weights of each gateway sum to
    /// 1.
    pub by_gateway: Vec<Vec<Assignment>>,
}

/// Assigns the servers to the gateways, without a previous assignment.
pub fn assign(gateways: &[Gateway], servers: &[Server], settings: Settings) -> Assignments {
    assigner::Assigner::default().assign(gateways, servers, settings)
}

/// The load for which weights are fitted. A gateway without load gets a minimal load, so that it is assigned servers.
fn effective_load(gateway: &Gateway) -> f64 {
    const MIN_LOAD: f64 = 1e-6;
    if gateway.load.is_finite() {
        gateway.load.max(MIN_LOAD)
    } else {
        MIN_LOAD
    }
}
