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

pub mod baselines;
pub mod dealer;
mod fit;
pub mod loads;
pub mod own;
pub mod view;
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
    pub least: usize,
    /// The own zone first.
    pub zones: bool,
}

/// Below this a gateway could not lose two of its servers.
pub const FLOOR: usize = 3;

impl Default for Settings {
    fn default() -> Self {
        Settings { least: 12, zones: true }
    }
}

/// One server of a gateway's, by its place in what was given, and its share of the gateway's traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub server: usize,
    pub share: f64,
}

/// Who uses whom, and how much.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Deal {
    /// For each gateway as given, its servers in their order; the shares of each come to 1.
    pub parts: Vec<Vec<Part>>,
}

/// Deals the servers to the gateways, as if for the first time.
pub fn deal(gateways: &[Gateway], servers: &[Server], settings: Settings) -> Deal {
    dealer::Dealer::default().deal(gateways, servers, settings)
}

/// What a gateway counts for where shares are fitted: one without any load is dealt servers by a trace of it.
fn load(gateway: &Gateway) -> f64 {
    const TRACE: f64 = 1e-6;
    if gateway.load.is_finite() {
        gateway.load.max(TRACE)
    } else {
        TRACE
    }
}

/// Servers in the order of a gateway's own, by which it takes them beside what it is dealt.
fn order_of<'n>(gateway: &str, servers: impl Iterator<Item = &'n str>) -> Vec<&'n str> {
    let own = key(gateway);
    let mut all: Vec<(u64, &str)> = servers.map(|server| (mixed(own, key(server)), server)).collect();
    all.sort_unstable();
    all.into_iter().map(|(_, server)| server).collect()
}

/// What the draw of a name's rounding is mixed with, so that it has nothing to do with that of its pairs.
const NEEDS: u64 = 0x6e65_6564_7321_7321;

fn key(name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7375_6273, 0x6574);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A number for a pair of keys that are spread already, as good as a hash of both names and much quicker (the finalizer of
/// splitmix64, Steele, Lea and Flood, 2014).
fn mixed(one: u64, other: u64) -> u64 {
    let mut number = one ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// How even a deal is, and what it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Picture {
    /// What the server with the most and the one with the least get, beside their parts by weight; and the mean of how far off.
    pub most: f64,
    pub least: f64,
    pub off: f64,
    /// Pairs, and servers without any gateway.
    pub pairs: usize,
    pub uncovered: usize,
    pub most_of_gateway: usize,
    pub most_of_server: usize,
}

/// Looks at a deal from the servers' side.
pub fn picture(gateways: &[Gateway], servers: &[Server], deal: &Deal) -> Picture {
    let mut got = vec![0.0; servers.len()];
    let mut users = vec![0usize; servers.len()];
    for (gateway, parts) in gateways.iter().zip(&deal.parts) {
        for part in parts {
            got[part.server] += gateway.load.max(0.0) * part.share;
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
    Picture {
        most: beside.iter().copied().fold(0.0, f64::max),
        least: beside.iter().copied().fold(f64::INFINITY, f64::min),
        off: beside.iter().map(|one| (one - 1.0).abs()).sum::<f64>() / count,
        pairs: deal.parts.iter().map(Vec::len).sum(),
        uncovered: there.iter().filter(|at| users[**at] == 0).count(),
        most_of_gateway: deal.parts.iter().map(Vec::len).max().unwrap_or(0),
        most_of_server: users.iter().copied().max().unwrap_or(0),
    }
}

/// The pairs of one deal that are not in another, as a part of all of both, by names.
pub fn moved(before: (&[Gateway], &[Server], &Deal), after: (&[Gateway], &[Server], &Deal)) -> f64 {
    fn named<'n>(
        (gateways, servers, deal): (&'n [Gateway], &'n [Server], &Deal),
    ) -> BTreeSet<(&'n str, &'n str)> {
        let of = |(gateway, parts): (&'n Gateway, &Vec<Part>)| -> Vec<(&'n str, &'n str)> {
            parts.iter().map(|part| (&*gateway.name, &*servers[part.server].name)).collect()
        };
        gateways.iter().zip(&deal.parts).flat_map(of).collect()
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
    view: impl Fn(usize) -> (&'v [Gateway], &'v [Server], &'v Deal),
) -> Vec<f64> {
    let place: BTreeMap<&str, usize> =
        servers.iter().enumerate().map(|(at, server)| (&*server.name, at)).collect();
    let mut got = vec![0.0; servers.len()];
    for (at, gateway) in gateways.iter().enumerate() {
        let (all, seen, deal) = view(at);
        let Some(own) = all.iter().position(|one| one.name == gateway.name) else { continue };
        let there: Vec<(usize, f64)> = deal.parts[own]
            .iter()
            .filter_map(|part| Some((*place.get(&*seen[part.server].name)?, part.share)))
            .collect();
        let sum: f64 = there.iter().map(|(_, share)| share).sum();
        for (server, share) in there.into_iter().filter(|_| sum > 0.0) {
            got[server] += gateway.load.max(0.0) * share / sum;
        }
    }
    got
}
