//! Runs of the counter monitor and of gossip, compared with recorded hashes over every reply and message. A refactoring must
//! keep the order of floating-point operations, of random draws and of messages.

use std::collections::BTreeSet;

use fernscale_shared_counter::gossip::{Gossip, GossipConfig, GossipMessage, LivePeer, Report};
use fernscale_shared_counter::monitor::{AddStep, CallOutcome, CounterMonitor, CounterReply, GossipTotal};
use fernscale_shared_counter::pn_counter::{Contribution, Instance, PnCounters};
use fernscale_shared_counter::{Micros, MILLISECOND, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

struct Fnv(u64);

impl Fnv {
    fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn write(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn write_float(&mut self, number: f64) {
        self.write(number.to_bits());
    }
}

/// A counter that randomly loses connections, content and replies.
struct FaultyCounter {
    totals: [f64; 4],
    connected: bool,
    stale: bool,
}

impl FaultyCounter {
    fn call(&mut self, rng: &mut ChaCha8Rng, key: usize, amount: f64) -> CallOutcome {
        let before = self.totals[key];
        if !self.connected {
            return if rng.gen_bool(0.5) { CallOutcome::NotApplied } else { CallOutcome::Unknown };
        }
        match rng.gen_range(0..40) {
            0 => CallOutcome::NotApplied,
            1 => {
                self.totals[key] += amount;
                CallOutcome::Unknown
            }
            _ => {
                self.totals[key] += amount;
                CallOutcome::Total(if self.stale { before } else { self.totals[key] })
            }
        }
    }

    fn inject_fault(&mut self, rng: &mut ChaCha8Rng) {
        match rng.gen_range(0..400) {
            0 => self.totals = [0.0; 4],
            1 | 2 => self.connected = false,
            3..=12 => self.connected = true,
            13 => self.stale = true,
            14..=20 => self.stale = false,
            21..=40 => {
                // Another gateway adds or subtracts an amount.
                let key = rng.gen_range(0..4);
                self.totals[key] = (self.totals[key] + rng.gen_range(-3.0..9.0)).max(0.0);
            }
            _ => {}
        }
    }
}

fn monitored_run(seed: u64, states: &mut BTreeSet<&'static str>) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut monitor = CounterMonitor::new(0);
    let mut counter = FaultyCounter { totals: [0.0; 4], connected: true, stale: false };
    let mut known = [0.0; 4];
    let mut in_flight: Vec<(Micros, usize, f64)> = Vec::new();
    let mut hash = Fnv::new();
    let mut now: Micros = 0;
    for _ in 0..20_000 {
        now += rng.gen_range(0..20 * MILLISECOND);
        counter.inject_fault(&mut rng);
        let key = rng.gen_range(0..4);
        let name = format!("tenant-{key}");
        let gossip = match rng.gen_range(0..10) {
            0 => None,
            1 => Some(GossipTotal { total: known[key], is_complete: false }),
            _ => Some(GossipTotal { total: known[key], is_complete: true }),
        };
        let oldest = in_flight.iter().position(|(_, call_key, _)| *call_key == key);
        match oldest.filter(|_| rng.gen_bool(0.55)) {
            None => {
                let amount = rng.gen_range(-1.0..3.0);
                known[key] += amount;
                match monitor.add(now, &name, amount, 60 * SECOND, gossip) {
                    AddStep::Forward(amount) => {
                        hash.write(1);
                        hash.write_float(amount);
                        in_flight.push((now, key, amount));
                    }
                    AddStep::Reply(total) => {
                        hash.write(2);
                        hash.write_float(total);
                    }
                }
            }
            Some(index) => {
                let (started_at, _, amount) = in_flight.remove(index);
                let outcome = counter.call(&mut rng, key, amount);
                match monitor.call_completed(now, &name, outcome, now - started_at, gossip) {
                    CounterReply::Total(total) => {
                        hash.write(3);
                        hash.write_float(total);
                    }
                    CounterReply::NotApplied(amount) => {
                        known[key] -= amount;
                        hash.write(4);
                        hash.write_float(amount);
                    }
                    CounterReply::Unknown => hash.write(5),
                }
            }
        }
        hash.write(monitor.health() as u64);
        states.insert(monitor.health().name());
        hash.write(monitor.len() as u64);
    }
    hash.0
}

#[test]
fn every_reply_of_the_monitor_to_a_faulty_counter_stays_as_recorded() {
    let mut states = BTreeSet::new();
    let hashes: Vec<u64> = (1..=4).map(|seed| monitored_run(seed, &mut states)).collect();
    assert_eq!(
        hashes,
        [
            7_916_239_682_497_271_465,
            17_363_786_142_780_805_790,
            15_934_837_554_931_933_888,
            9_609_294_657_224_610_831,
        ]
    );
    assert_eq!(states.into_iter().collect::<Vec<_>>(), ["apart", "emptied", "good", "lost", "old", "slow"]);
}

#[derive(Clone)]
struct Observation {
    key: u64,
    version: u64,
    origin: u64,
}

impl Report for Observation {
    type Key = (u64, u64);

    fn key(&self) -> (u64, u64) {
        (self.origin, self.key)
    }

    fn version(&self) -> u64 {
        self.version
    }

    fn origin(&self) -> u64 {
        self.origin
    }

    fn is_plausible(&self) -> bool {
        self.version != 13
    }
}

fn gossip_run(seed: u64) -> u64 {
    let config = GossipConfig {
        interval: 100 * MILLISECOND,
        full_sync_interval: 2 * SECOND,
        reports_per_message: 3,
        messages_per_peer: 2,
        max_reports: 30,
        retention: 3 * SECOND,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut hash = Fnv::new();
    let mut gateways: Vec<Gossip<Observation>> =
        (0..6).map(|origin| Gossip::new(origin, config, seed + origin, 0)).collect();
    for step in 0..1_500u64 {
        let now = step * 10 * MILLISECOND;
        let writer = rng.gen_range(0..6usize);
        if rng.gen_bool(0.1) {
            let key = rng.gen_range(0..8);
            gateways[writer].publish(now, Observation { key, version: step, origin: writer as u64 });
            if rng.gen_bool(0.2) {
                gateways[writer].schedule_round(now);
            }
        }
        for origin in 0..6u64 {
            let live: Vec<LivePeer> = (0..6)
                .filter(|other| *other != origin && (*other != 5 || step < 600))
                .map(|other| LivePeer { name: format!("gateway-{other}"), instance: other })
                .collect();
            let gateway = &mut gateways[origin as usize];
            if gateway.next_deadline() <= now {
                gateway.handle_timeout(now, &live);
            }
            while let Some((to, message)) = gateways[origin as usize].poll_message() {
                hash.write(now);
                hash.write(origin);
                hash.write(u64::from(*to.as_bytes().last().unwrap_or(&0)));
                if let GossipMessage::Reports(reports) = &message {
                    for report in reports {
                        hash.write(report.version << 8 | report.key << 4 | report.origin);
                    }
                }
                let receiver = to.trim_start_matches("gateway-").parse::<usize>().expect("a number");
                if rng.gen_bool(0.8) {
                    let from = format!("gateway-{origin}");
                    let new = gateways[receiver].handle_message(now, &from, message);
                    hash.write(new.len() as u64);
                }
            }
        }
    }
    for gateway in &gateways {
        hash.write(gateway.reports().map(|report| report.version).sum());
    }
    hash.0
}

#[test]
fn every_message_of_gossip_with_loss_stays_as_recorded() {
    let hashes: Vec<u64> = (1..=3).map(gossip_run).collect();
    assert_eq!(hashes, [5_780_959_656_495_955_679, 11_714_052_094_270_069_030, 11_343_774_039_326_311_963]);
}

#[test]
fn every_change_of_the_merged_counters_stays_as_recorded() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut counters = PnCounters::new(6);
    let mut hash = Fnv::new();
    for step in 0..5_000u64 {
        let now = step * 3 * MILLISECOND;
        let name = ["", "a", "b", "c", "d", "e", "f", "g"][rng.gen_range(0..8)];
        let instance = Instance(rng.gen_range(0..4));
        let lifetime = rng.gen_range(0..3) * SECOND / 2;
        let change = if rng.gen_bool(0.5) {
            counters.add(now, instance, name, rng.gen_range(-2.0..4.0), lifetime)
        } else {
            let increments = rng.gen_range(-0.1..6.0);
            let decrements = rng.gen_range(-0.1..3.0);
            counters.merge(now, name, instance, Contribution { increments, decrements }, lifetime)
        };
        hash.write(change.map_or(2, |change| u64::from(change.is_new)));
        hash.write_float(counters.total(now, name).unwrap_or(-1.0));
        hash.write(counters.expires_in(now, name).unwrap_or(0));
        hash.write(counters.len() as u64);
        hash.write(counters.contributors(name).map(|instance| instance.0 + 1).sum());
        hash.write(counters.keys_of_instance(instance).count() as u64);
        hash.write_float(counters.contribution(name, instance).map_or(-1.0, |part| part.net()));
    }
    assert_eq!(hash.0, 5_247_414_556_932_025_641);
}
