//! Compares assignments, subsets through time and load reports of seeded runs with recorded hashes. A refactoring must
//! keep the order of floating-point operations and random draws, as it determines the results.

use std::collections::BTreeSet;

use fernscale_shared_counter::gossip::GossipMessage;
use fernscale_subsetting::assigner::Assigner;
use fernscale_subsetting::load_reports::{LivePeer, LoadReports};
use fernscale_subsetting::subset::{FleetView, SubsetTracker};
use fernscale_subsetting::zones::zone_flows;
use fernscale_subsetting::{baselines, evenness, Assignments, Gateway, Server, Settings};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: u64 = 1_000_000;

struct Fnv(u64);

impl Fnv {
    fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn write_float(&mut self, number: f64) {
        self.write(&number.to_bits().to_le_bytes());
    }

    fn write_assignments(&mut self, assignments: &Assignments) {
        for assigned in &assignments.by_gateway {
            self.write(&[255]);
            for assignment in assigned {
                self.write(&(assignment.server as u64).to_le_bytes());
                self.write_float(assignment.weight);
            }
        }
    }
}

fn random_view(rng: &mut ChaCha8Rng, max_gateways: u32, max_servers: u32, zones: u32) -> FleetView {
    let mut gateways: Vec<Gateway> = (0..rng.gen_range(1..=max_gateways))
        .filter(|number| *number == 0 || rng.gen_bool(0.9))
        .map(|number| {
            let load = if number % 7 == 3 { 0.0 } else { f64::from(number % 5) + 0.5 };
            Gateway { name: format!("gateway-{number}"), load, zone: number % zones }
        })
        .collect();
    let mut servers: Vec<Server> = (0..rng.gen_range(1..=max_servers))
        .filter(|_| rng.gen_bool(0.9))
        .map(|number| {
            let weight = if number % 11 == 5 { 0.0 } else { f64::from(number % 4) + 0.25 };
            Server { name: format!("server-{number}"), weight, zone: number % zones }
        })
        .collect();
    if rng.gen_bool(0.3) {
        gateways.shuffle(rng);
        servers.shuffle(rng);
    }
    FleetView { gateways, servers }
}

#[test]
fn assignments_of_a_fleet_that_changes_stay_as_recorded() {
    let mut hash = Fnv::new();
    for seed in 1..=3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut assigner = Assigner::default();
        for step in 0..60 {
            let FleetView { gateways, servers } = random_view(&mut rng, 30, 60, seed as u32);
            let settings = Settings { min_servers: 3 + step % 9, prefers_own_zone: step % 4 != 0 };
            let assignments = assigner.assign(&gateways, &servers, settings);
            hash.write_assignments(&assignments);
            let measured = evenness(&gateways, &servers, &assignments);
            for number in [measured.max_load, measured.min_load, measured.mean_deviation] {
                hash.write_float(number);
            }
            hash.write(&[
                measured.pairs as u8,
                measured.uncovered as u8,
                measured.max_gateways_of_server as u8,
            ]);
            for flow in zone_flows(&gateways, &servers, settings.prefers_own_zone) {
                hash.write(&[flow.from as u8, flow.to as u8]);
                hash.write_float(flow.share);
            }
            hash.write_assignments(&baselines::all_servers(&gateways, &servers));
            if !servers.is_empty() {
                hash.write_assignments(&baselines::contiguous(&gateways, &servers, 5));
                hash.write_assignments(&baselines::round_robin(&gateways, &servers, 5));
            }
        }
    }
    assert_eq!(hash.0, 7_839_127_086_716_564_173);
}

#[test]
fn subsets_through_time_stay_as_recorded() {
    let mut hash = Fnv::new();
    for seed in 1..=4 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut tracker = SubsetTracker::new("gateway-0", Settings::default(), seed);
        let mut view = random_view(&mut rng, 12, 40, 2);
        for step in 0..2_000u64 {
            let now = SECOND + step * SECOND / 20;
            if rng.gen_bool(if step % 400 < 100 { 0.1 } else { 0.005 }) {
                view = random_view(&mut rng, 12, 40, 2);
            }
            tracker.fleet_changed(now, view.clone(), rng.gen_bool(0.5));
            if rng.gen_bool(0.03) {
                let share = [0.0, 0.3, 0.9][rng.gen_range(0..3)];
                let avoided: BTreeSet<String> = view
                    .servers
                    .iter()
                    .filter(|_| rng.gen_bool(share))
                    .map(|server| server.name.clone())
                    .collect();
                tracker.set_avoided(avoided);
            }
            hash.write(&[tracker.handle_timeout(now).into()]);
            hash.write(&tracker.next_deadline().to_le_bytes());
            for (server, weight) in &tracker.current().weights {
                hash.write(server.as_bytes());
                hash.write_float(*weight);
            }
            hash.write_float(tracker.current().gateways_per_server);
            hash.write(tracker.take_preconnects(now).concat().as_bytes());
            hash.write(&[tracker.settled_view().servers.len() as u8]);
        }
    }
    assert_eq!(hash.0, 10_209_525_211_416_758_439);
}

#[test]
fn load_reports_with_loss_stay_as_recorded() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let peer = |number: u64| LivePeer { name: format!("gateway-{}", number.min(4)), instance: number };
    let mut reports: Vec<LoadReports> = (0..6)
        .map(|number| LoadReports::new(peer(number), ["", "a", "b"][number as usize % 3], number, SECOND))
        .collect();
    let mut hash = Fnv::new();
    for step in 0..1_200u64 {
        let now = SECOND + step * SECOND / 20;
        for number in 0..6u64 {
            let live: Vec<LivePeer> = (0..6).filter(|other| *other != number).map(peer).collect();
            let local_reports = &mut reports[number as usize];
            if rng.gen_bool(0.4) {
                local_reports.record_attempts(now, rng.gen_range(0..=(number * (step / 200))));
            }
            if step == 900 && number == 2 {
                local_reports.leave(now, &live);
            }
            if local_reports.next_deadline() <= now {
                local_reports.handle_timeout(now, &live);
            }
            for gateway in local_reports.gateway_loads(&live) {
                hash.write(gateway.name.as_bytes());
                hash.write_float(gateway.load.unwrap_or(-1.0));
                hash.write(gateway.zone.as_bytes());
                hash.write(&[gateway.is_leaving.into()]);
            }
            while let Some((to, message)) = reports[number as usize].poll_message() {
                if let GossipMessage::Reports(reports) = &message {
                    for report in reports {
                        hash.write(&report.version.to_le_bytes());
                        hash.write(&[report.step, report.instance as u8]);
                    }
                }
                let receiver = to.trim_start_matches("gateway-").parse::<usize>().expect("a number");
                if rng.gen_bool(0.8) {
                    reports[receiver].handle_message(now, &peer(number).name, message);
                }
            }
        }
    }
    assert_eq!(hash.0, 13_008_998_002_668_670_614);
}
