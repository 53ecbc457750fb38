//! Runs of gateways in virtual time, compared with recorded hashes over every message, ejection and status. A refactoring must
//! keep the order of floating-point operations, of random draws and of messages.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use fernscale_outlier_detection::detector::{AttemptResult, LocalGateway, OutlierDetector, Server};
use fernscale_outlier_detection::status::ServerStatus;
use fernscale_outlier_detection::{HealthLevel, Message};
use fernscale_shared_counter::gossip::{GossipMessage, LivePeer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

type Micros = u64;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const STEP: Micros = 20 * MILLISECOND;
const GATEWAYS: usize = 9;
const SERVERS: usize = 12;

fn write_health(hash: &mut SipHasher13, health: HealthLevel) {
    hash.write(&[health.failures, health.slowness, health.samples]);
}

struct Run {
    zones: usize,
    rng: ChaCha8Rng,
    detectors: Vec<OutlierDetector>,
    peers: Vec<LivePeer>,
    servers: Vec<Server>,
    ejected: Vec<BTreeSet<String>>,
    messages: BTreeMap<(Micros, u64), (usize, usize, Message)>,
    sent: u64,
    hash: SipHasher13,
    statuses: BTreeSet<&'static str>,
    ejections: u64,
}

impl Run {
    fn new(seed: u64, zones: usize) -> Run {
        let zone = |number: usize| if zones < 2 { String::new() } else { format!("zone-{}", number % zones) };
        let peer =
            |number: usize| LivePeer { name: format!("gateway-{number}"), instance: 1 + number as u64 };
        let detector = |number: usize| {
            let LivePeer { name, instance } = peer(number);
            OutlierDetector::new(LocalGateway { name, instance, zone: zone(number) }, number as u64, SECOND)
        };
        let server = |number: usize| Server {
            name: format!("server-{number}"),
            weight: 1.0 + number as f64 / 8.0,
            zone: zone(number),
            started: 0,
        };
        Run {
            zones,
            rng: ChaCha8Rng::seed_from_u64(seed),
            detectors: (0..GATEWAYS).map(detector).collect(),
            peers: (0..GATEWAYS).map(peer).collect(),
            servers: (0..SERVERS).map(server).collect(),
            ejected: vec![BTreeSet::new(); GATEWAYS],
            messages: BTreeMap::new(),
            sent: 0,
            hash: SipHasher13::new(),
            statuses: BTreeSet::new(),
            ejections: 0,
        }
    }

    /// The result of an attempt. At times some servers fail for all gateways, for one zone or for one gateway, or are slow.
    fn attempt(&mut self, now: Micros, gateway: usize, server: usize) -> AttemptResult {
        let phase = now / (5 * SECOND) % 8;
        let failure_probability: f64 = match (server, phase) {
            (1, 1) | (2, 1..=2) | (3..=6, 3) => 0.7,
            (7, 2..=3) if gateway.is_multiple_of(self.zones) => 0.9,
            (8, 5) if gateway == 4 => 1.0,
            (9, 1 | 3 | 5 | 7) => 0.5,
            _ => 0.002,
        };
        if self.rng.gen_bool(failure_probability) {
            return AttemptResult::Failed;
        }
        let latency = self.rng.gen_range(10..40) * MILLISECOND;
        match (server, phase) {
            (0, 4..=5) => AttemptResult::Answered(6 * latency),
            (_, 6) if self.rng.gen_bool(0.1) => AttemptResult::Forwarded,
            _ => AttemptResult::Answered(latency),
        }
    }

    fn deliver(&mut self, now: Micros) {
        while let Some(first) = self.messages.first_entry().filter(|first| first.key().0 <= now) {
            let (from, to, message) = first.remove();
            let name = self.peers[from].name.clone();
            self.detectors[to].handle_message(now, &name, message, 0.7 * GATEWAYS as f64);
        }
    }

    fn write_message(&mut self, to: &str, message: &Message) {
        self.hash.write(to.as_bytes());
        let GossipMessage::Reports(reports) = message else { return };
        for report in reports {
            self.hash.write(report.server.as_bytes());
            self.hash.write(report.zone.as_bytes());
            for number in
                [report.instance, report.started_at, report.version.into(), report.represents.into()]
            {
                self.hash.write_u64(number);
            }
            write_health(&mut self.hash, report.health);
        }
    }

    fn write_status(&mut self, now: Micros, shared_time: Micros, gateway: usize) {
        let view = self.detectors[gateway].status(now, shared_time);
        self.hash.write_u64(view.ejected_share.to_bits());
        for server in view.servers {
            self.hash.write(server.server.as_bytes());
            self.hash.write(server.status.description().as_bytes());
            if let Some(health) = server.observed {
                write_health(&mut self.hash, health);
            }
            self.hash.write_u64(server.against.to_bits());
            self.hash.write_u64(server.in_favor.to_bits());
            self.hash.write_u64(server.ejected_ms.unwrap_or(u64::MAX) ^ u64::from(server.reporters));
            self.hash.write(server.next_trial.unwrap_or_default().as_bytes());
            self.statuses.insert(server.status.description());
        }
    }

    fn advance_gateway(&mut self, now: Micros, gateway: usize) {
        let shared_time = 1_000_000 * SECOND + now;
        for server in 0..SERVERS {
            let name = self.servers[server].name.clone();
            if self.ejected[gateway].contains(&name) || !self.rng.gen_bool(0.12) {
                continue;
            }
            let is_trial = self.detectors[gateway].use_trial_permit(shared_time, &name);
            self.hash.write_u8(is_trial.into());
            if is_trial {
                self.ejected[gateway].insert(name.clone());
            }
            let result = self.attempt(now, gateway, server);
            self.detectors[gateway].attempt_completed(now, &name, server % 2, result);
        }
        let live: Vec<LivePeer> = (0..GATEWAYS)
            .filter(|other| *other != gateway && (*other != 8 || now < 25 * SECOND))
            .map(|other| self.peers[other].clone())
            .collect();
        let changes = self.detectors[gateway].handle_timeout(now, shared_time, &live, self.servers.clone());
        for change in changes {
            self.hash.write(change.server.as_bytes());
            self.hash.write_u8(change.ejected.into());
            if change.ejected {
                self.ejections += 1;
                self.ejected[gateway].insert(change.server);
            } else {
                self.ejected[gateway].remove(&change.server);
            }
        }
        self.hash.write_u64(self.detectors[gateway].next_deadline());
        while let Some((to, message)) = self.detectors[gateway].poll_message() {
            self.write_message(&to, &message);
            let receiver =
                self.peers.iter().position(|peer| peer.name == to).expect("the receiver is a known gateway");
            if self.rng.gen_bool(0.9) {
                self.sent += 1;
                let at = now + self.rng.gen_range(1..60) * MILLISECOND;
                self.messages.insert((at, self.sent), (gateway, receiver, message));
            }
        }
        if now.is_multiple_of(25 * STEP) {
            self.write_status(now, shared_time, gateway);
        }
    }

    fn run(mut self) -> (u64, BTreeSet<&'static str>) {
        for step in 1..=40 * SECOND / STEP {
            let now = SECOND + step * STEP;
            self.deliver(now);
            if step == 700 {
                // Two servers restart.
                self.servers[2].started = now;
                self.servers[11].started = now;
            }
            if step == 900 {
                self.servers[10].weight = 0.0;
            }
            for gateway in 0..GATEWAYS {
                self.advance_gateway(now, gateway);
            }
        }
        assert!(self.ejections > 100, "the run has only {} ejections", self.ejections);
        (self.hash.finish(), self.statuses)
    }
}

#[test]
fn every_message_ejection_and_status_of_a_run_with_outliers_stays_as_recorded() {
    let mut statuses = BTreeSet::new();
    let mut hashes = Vec::new();
    for (seed, zones) in [(1, 1), (2, 3)] {
        let (hash, seen) = Run::new(seed, zones).run();
        hashes.push(hash);
        statuses.extend(seen);
    }
    let all = [
        ServerStatus::Healthy,
        ServerStatus::OutlierHere,
        ServerStatus::EjectedForZone,
        ServerStatus::EjectedForAll,
        ServerStatus::Spared,
        ServerStatus::Returning,
    ];
    assert_eq!(statuses, all.iter().map(|status| status.description()).collect());
    assert_eq!(hashes, [10_148_187_988_632_981_954, 7_186_488_692_114_690_183]);
}
