//! Measures deals of servers to gateways beside the other ways: how even, how many connections, what moves, how long it takes.

use std::time::Instant;

use fernscale_subsetting::assigner::Assigner;
use fernscale_subsetting::{
    assign, baselines, evenness, moved_share, Assignments, Gateway, Server, Settings,
};
use serde_json::{json, Value};

/// Loads as they are seen: a quarter of the gateways carries most.
fn gateways(count: usize, uneven: bool) -> Vec<Gateway> {
    let load = |at: usize| if uneven { [0.3, 0.5, 0.7, 2.5][at % 4] } else { 1.0 };
    (0..count).map(|at| Gateway { name: format!("gateway-{at}"), load: load(at), zone: 0 }).collect()
}

fn servers(count: usize) -> Vec<Server> {
    (0..count)
        .map(|at| Server { name: format!("box-{at}"), weight: 1.0 + (at % 3) as f64, zone: 0 })
        .collect()
}

/// One way to deal, at this size.
fn one(way: &str, of: &dyn Fn(&[Gateway], &[Server]) -> Assignments, many: usize, few: usize) -> Value {
    let (all, taken) = (gateways(many, false), servers(few));
    let began = Instant::now();
    let own = of(&all, &taken);
    let took = began.elapsed().as_secs_f64() * 1e3;
    let even = evenness(&all, &taken, &own);
    let uneven = gateways(many, true);
    let other = evenness(&uneven, &taken, &of(&uneven, &taken));
    let fewer = &all[..many.saturating_sub(1).max(1)];
    let by_gateway = moved_share((&all, &taken, &own), (fewer, &taken, &of(fewer, &taken)));
    let left = &taken[..few.saturating_sub(1).max(1)];
    let by_server = moved_share((&all, &taken, &own), (&all, left, &of(&all, left)));
    json!({
        "way": way, "gateways": many, "servers": few, "pairs": even.pairs, "busiest": even.max_load, "idlest": even.min_load,
        "busiest_uneven": other.max_load, "uncovered": even.uncovered, "most_of_gateway": even.max_servers_of_gateway,
        "most_of_server": even.max_gateways_of_server, "moved_by_a_gateway": by_gateway, "moved_by_a_server": by_server,
        "took_ms": took,
    })
}

/// How long a dealer takes that goes on from the deal before: at first, with one gateway less, with one server less.
fn one_change(many: usize, few: usize, settings: Settings) -> Value {
    let (all, taken) = (gateways(many, false), servers(few));
    let mut dealer = Assigner::default();
    let mut took = |all: &[Gateway], taken: &[Server]| {
        let began = Instant::now();
        let pairs: usize = dealer.assign(all, taken, settings).by_gateway.iter().map(Vec::len).sum();
        (began.elapsed().as_secs_f64() * 1e3, pairs)
    };
    let first = took(&all, &taken).0;
    let by_gateway = took(&all[..many.saturating_sub(1).max(1)], &taken).0;
    let back = took(&all, &taken).0;
    let by_server = took(&all, &taken[..few.saturating_sub(1).max(1)]).0;
    json!({ "way": "drawn and fitted, one change", "gateways": many, "servers": few, "first_ms": first,
        "gateway_less_ms": by_gateway, "gateway_more_ms": back, "server_less_ms": by_server })
}

/// All ways at this size, with so many servers for each gateway at the least.
pub fn measure(many: usize, few: usize, least: usize) -> Vec<Value> {
    let settings = Settings { min_servers: least, prefers_own_zone: true };
    let fitted = |all: &[Gateway], taken: &[Server]| assign(all, taken, settings);
    let rows = |all: &[Gateway], taken: &[Server]| baselines::contiguous(all, taken, least);
    let rounds = |all: &[Gateway], taken: &[Server]| baselines::round_robin(all, taken, least);
    vec![
        one("everybody", &baselines::all_servers, many, few),
        one("rows by hash", &rows, many, few),
        one("rounds", &rounds, many, few),
        one("drawn and fitted", &fitted, many, few),
        one_change(many, few, settings),
    ]
}
