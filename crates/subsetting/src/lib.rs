//! Which servers each gateway uses, and which share of its traffic each of them is to get, such that the sum over the fleet is
//! even though nobody is asked.
//!
//! Two steps. *Who uses whom* is drawn by names: each gateway takes the servers that come first in an order of its own, and
//! each server is taken by the gateways that come first in its own, so that nobody is left without; such an order moves
//! few pairs when one gateway or server more or less is there (rendezvous hashing, Thaler and Ravishankar, 1998). *How much* is
//! fitted: shares are scaled by turns until each gateway's come to its load and each server's to its part of all
//! (iterative proportional fitting, Deming and Stephan, 1940). What a draw leaves uneven the shares make up for.
//!
//! Zones come first: what a zone's servers can bear of its own gateways' load stays there, the rest goes over in proportion to
//! the room of the others. All of it follows from names, loads and weights alone, in any order in which they are given,
//! so that gateways with one view come to one deal.

pub mod assigner;
pub mod baselines;
mod fitting;
pub mod load_reports;
pub mod status;
pub mod subset;
pub mod zones;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Whole microseconds, of a clock that only rises.
pub type Micros = u64;
pub(crate) const SECOND: Micros = 1_000_000;

/// A gateway, and what it carries beside the others. A load of 0 is one that is there and has nothing to carry: it is given
/// servers, and counts for nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    pub name: String,
    pub load: f64,
    pub zone: u32,
}

/// A server that takes traffic, and its size beside the others'.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub name: String,
    pub weight: f64,
    pub zone: u32,
}

/// What an installation says of its subsets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Servers of a gateway, and gateways of a server, at the least, or all where there are fewer.
    pub min_servers: usize,
    /// The own zone first.
    pub prefers_own_zone: bool,
}

/// Below this a gateway could not lose two of its servers.
pub const MIN_SUBSET_SIZE: usize = 3;

impl Default for Settings {
    fn default() -> Self {
        Settings { min_servers: 12, prefers_own_zone: true }
    }
}

/// One server of a gateway's, by its place in what was given, and its share of the gateway's traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    pub server: usize,
    pub weight: f64,
}

/// Who uses whom, and how much.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Assignments {
    /// For each gateway as given, its servers in their order; the shares of each come to 1.
    pub by_gateway: Vec<Vec<Assignment>>,
}

/// Deals the servers to the gateways, as if for the first time.
pub fn assign(gateways: &[Gateway], servers: &[Server], settings: Settings) -> Assignments {
    assigner::Assigner::default().assign(gateways, servers, settings)
}

/// What a gateway counts for where shares are fitted: one without any load is dealt servers by a trace of it.
fn effective_load(gateway: &Gateway) -> f64 {
    const MIN_LOAD: f64 = 1e-6;
    if gateway.load.is_finite() {
        gateway.load.max(MIN_LOAD)
    } else {
        MIN_LOAD
    }
}

/// Servers in the order of a gateway's own, by which it takes them beside what it is dealt.
fn preference_order<'n>(gateway: &str, servers: impl Iterator<Item = &'n str>) -> Vec<&'n str> {
    let own = name_hash(gateway);
    let mut all: Vec<(u64, &str)> =
        servers.map(|server| (pair_hash(own, name_hash(server)), server)).collect();
    all.sort_unstable();
    all.into_iter().map(|(_, server)| server).collect()
}

/// What the draw of a name's rounding is mixed with, so that it has nothing to do with that of its pairs.
const ROUNDING_SALT: u64 = 0x6e65_6564_7321_7321;

fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7375_6273, 0x6574);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A number for a pair of keys that are spread already, as good as a hash of both names and much quicker (the finalizer of
/// splitmix64, Steele, Lea and Flood, 2014).
fn pair_hash(one: u64, other: u64) -> u64 {
    let mut number = one ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// How even a deal is, and what it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evenness {
    /// What the server with the most and the one with the least get, beside their parts by weight; and the mean of how far off.
    pub max_load: f64,
    pub min_load: f64,
    pub mean_deviation: f64,
    /// Pairs, and servers without any gateway.
    pub pairs: usize,
    pub uncovered: usize,
    pub max_servers_of_gateway: usize,
    pub max_gateways_of_server: usize,
}

/// Looks at a deal from the servers' side.
pub fn evenness(gateways: &[Gateway], servers: &[Server], assignments: &Assignments) -> Evenness {
    let mut got = vec![0.0; servers.len()];
    let mut users = vec![0usize; servers.len()];
    for (gateway, parts) in gateways.iter().zip(&assignments.by_gateway) {
        for part in parts {
            got[part.server] += gateway.load.max(0.0) * part.weight;
            users[part.server] += 1;
        }
    }
    let usable = |at: &usize| servers[*at].weight > 0.0 && servers[*at].weight.is_finite();
    let there: Vec<usize> = (0..servers.len()).filter(usable).collect();
    let weights: f64 = there.iter().map(|at| servers[*at].weight).sum();
    let loads: f64 = got.iter().sum();
    let beside: Vec<f64> = there
        .iter()
        .map(|at| if loads > 0.0 { got[*at] / loads * weights / servers[*at].weight } else { 1.0 })
        .collect();
    let count = beside.len().max(1) as f64;
    Evenness {
        max_load: beside.iter().copied().fold(0.0, f64::max),
        min_load: beside.iter().copied().fold(f64::INFINITY, f64::min),
        mean_deviation: beside.iter().map(|one| (one - 1.0).abs()).sum::<f64>() / count,
        pairs: assignments.by_gateway.iter().map(Vec::len).sum(),
        uncovered: there.iter().filter(|at| users[**at] == 0).count(),
        max_servers_of_gateway: assignments.by_gateway.iter().map(Vec::len).max().unwrap_or(0),
        max_gateways_of_server: users.iter().copied().max().unwrap_or(0),
    }
}

/// The pairs of one deal that are not in another, as a part of all of both, by names.
pub fn moved_share(
    before: (&[Gateway], &[Server], &Assignments),
    after: (&[Gateway], &[Server], &Assignments),
) -> f64 {
    fn named<'n>(
        (gateways, servers, assignments): (&'n [Gateway], &'n [Server], &Assignments),
    ) -> BTreeSet<(&'n str, &'n str)> {
        let of = |(gateway, parts): (&'n Gateway, &Vec<Assignment>)| -> Vec<(&'n str, &'n str)> {
            parts.iter().map(|part| (&*gateway.name, &*servers[part.server].name)).collect()
        };
        gateways.iter().zip(&assignments.by_gateway).flat_map(of).collect()
    }
    let (before, after) = (named(before), named(after));
    let either = before.union(&after).count().max(1);
    before.symmetric_difference(&after).count() as f64 / either as f64
}

/// What each server gets where gateways deal by views that differ: each gateway's own parts by its own view, of what is really
/// there. A server that a gateway sees and that is gone gets nothing, and its share goes to the others.
pub fn together<'v>(
    gateways: &[Gateway],
    servers: &[Server],
    view: impl Fn(usize) -> (&'v [Gateway], &'v [Server], &'v Assignments),
) -> Vec<f64> {
    let place: BTreeMap<&str, usize> =
        servers.iter().enumerate().map(|(at, server)| (&*server.name, at)).collect();
    let mut got = vec![0.0; servers.len()];
    for (at, gateway) in gateways.iter().enumerate() {
        let (all, seen, assignments) = view(at);
        let Some(own) = all.iter().position(|one| one.name == gateway.name) else { continue };
        let there: Vec<(usize, f64)> = assignments.by_gateway[own]
            .iter()
            .filter_map(|part| Some((*place.get(&*seen[part.server].name)?, part.weight)))
            .collect();
        let sum: f64 = there.iter().map(|(_, share)| share).sum();
        for (server, share) in there.into_iter().filter(|_| sum > 0.0) {
            got[server] += gateway.load.max(0.0) * share / sum;
        }
    }
    got
}
