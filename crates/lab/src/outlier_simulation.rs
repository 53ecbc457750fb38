//! Signals in virtual time: gateways that send to servers they are not barred from, and tell each other what those are like over a way
//! that takes its time and loses some. Servers do as they are told to, whatever the load.

use std::collections::{BTreeMap, BTreeSet};

use fernscale_outlier_detection::detector::{AttemptResult, LocalGateway, OutlierDetector, Server};
use fernscale_outlier_detection::{HealthLevel, Message, ServerReport};
use fernscale_shared_counter::gossip::LivePeer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use crate::{Micros, MILLISECOND as MS, SECOND};

const TURN: Micros = 20 * MS;
/// The clock that all share, at the start.
const SHARED: Micros = 1_000_000 * SECOND;
const USUAL: Micros = 20 * MS;

/// How a server does, as one gateway meets it.
#[derive(Clone, Copy, PartialEq)]
pub enum Does {
    Well,
    /// Loses this share.
    Fails(f64),
    Slow(u64),
}

pub struct Fleet {
    pub now: Micros,
    pub signals: Vec<OutlierDetector>,
    pub names: Vec<LivePeer>,
    pub servers: Vec<Server>,
    /// How each gateway meets each server.
    pub does: Box<dyn Fn(Micros, usize, usize) -> Does>,
    /// Trips a second of each gateway.
    pub rate: f64,
    /// Gateways that tell random things, and those that stand still.
    pub liars: BTreeSet<usize>,
    pub paused: BTreeSet<usize>,
    /// Those who can't reach each other.
    pub parted: Box<dyn Fn(usize, usize) -> bool>,
    pub loss: f64,
    barred: Vec<BTreeSet<String>>,
    way: BTreeMap<(Micros, u64), (usize, usize, Message)>,
    order: u64,
    chance: ChaCha8Rng,
    versions: u32,
    pub sent: u64,
    pub hurt: BTreeMap<usize, u64>,
    pub tries: BTreeMap<usize, u64>,
    pub notes: u64,
    pub bytes: u64,
    /// How often a server was barred or let in again, at any gateway.
    pub changes: u64,
}

impl Fleet {
    pub fn of(gateways: usize, servers: usize, zones: usize) -> Fleet {
        let zone = |at: usize| if zones < 2 { String::new() } else { format!("zone-{}", at % zones) };
        let me = |at: usize| LocalGateway {
            name: format!("gateway-{at}"),
            instance: 1 + at as u64,
            zone: zone(at),
        };
        let server =
            |at: usize| Server { name: format!("box-{at}"), weight: 1.0, zone: zone(at), started: 0 };
        Fleet {
            now: SECOND,
            signals: (0..gateways).map(|at| OutlierDetector::new(me(at), at as u64, SECOND)).collect(),
            names: (0..gateways)
                .map(|at| LivePeer { name: me(at).name, instance: me(at).instance })
                .collect(),
            servers: (0..servers).map(server).collect(),
            does: Box::new(|_, _, _| Does::Well),
            rate: 30.0,
            liars: BTreeSet::new(),
            paused: BTreeSet::new(),
            parted: Box::new(|_, _| false),
            loss: 0.1,
            barred: vec![BTreeSet::new(); gateways],
            way: BTreeMap::new(),
            order: 0,
            chance: ChaCha8Rng::seed_from_u64(7),
            versions: 0,
            sent: 0,
            hurt: BTreeMap::new(),
            tries: BTreeMap::new(),
            notes: 0,
            bytes: 0,
            changes: 0,
        }
    }

    pub fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += TURN;
            self.deliver();
            for at in 0..self.signals.len() {
                if !self.paused.contains(&at) {
                    self.turn(at);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.way.first_entry().filter(|first| first.key().0 <= self.now) {
            let (from, to, note) = first.remove();
            if !self.paused.contains(&to) {
                let (name, observers) = (self.names[from].name.clone(), self.signals.len() as f64);
                self.signals[to].handle_message(self.now, &name, note, observers);
            }
        }
    }

    fn turn(&mut self, at: usize) {
        let shared = SHARED + self.now;
        let trips = self.rate * TURN as f64 / SECOND as f64;
        let trips = trips.floor() as usize + usize::from(self.chance.gen_bool(trips.fract()));
        for _ in 0..trips {
            let open: Vec<usize> = (0..self.servers.len())
                .filter(|server| !self.barred[at].contains(&self.servers[*server].name))
                .collect();
            let Some(server) = open.get(self.chance.gen_range(0..open.len().max(1))).copied() else {
                continue;
            };
            let name = self.servers[server].name.clone();
            self.sent += 1;
            if self.signals[at].use_trial_permit(shared, &name) {
                *self.tries.entry(server).or_default() += 1;
                self.barred[at].insert(name.clone());
            }
            let end = match (self.does)(self.now, at, server) {
                Does::Fails(share) if self.chance.gen_bool(share) => AttemptResult::Failed,
                Does::Slow(times) => AttemptResult::Answered(times * USUAL),
                _ => AttemptResult::Answered(self.chance.gen_range(USUAL / 2..2 * USUAL)),
            };
            if end == AttemptResult::Failed
                || matches!(end, AttemptResult::Answered(took) if took > 3 * USUAL)
            {
                *self.hurt.entry(server).or_default() += 1;
            }
            self.signals[at].attempt_completed(self.now, &name, 0, end);
        }
        let live: Vec<LivePeer> = (0..self.names.len())
            .filter(|other| *other != at)
            .map(|other| self.names[other].clone())
            .collect();
        let changes = self.signals[at].handle_timeout(self.now, shared, &live, self.servers.clone());
        self.changes += changes.len() as u64;
        for change in changes {
            if change.ejected {
                self.barred[at].insert(change.server);
            } else {
                self.barred[at].remove(&change.server);
            }
        }
        let mut notes = Vec::new();
        while let Some(note) = self.signals[at].poll_message() {
            notes.push(note);
        }
        if self.liars.contains(&at) {
            self.versions += 1;
            let word = ServerReport {
                instance: self.names[at].instance,
                server: format!("box-{}", self.chance.gen_range(0..self.servers.len())),
                started_at: 0,
                version: self.versions,
                zone: String::new(),
                health: HealthLevel { failures: self.chance.gen_range(0..=8), slowness: 0, samples: 9 },
                represents: 40,
            };
            let to = self.names[self.chance.gen_range(0..self.names.len())].name.clone();
            notes = vec![(to, Message::Reports(vec![word]))];
        }
        for (to, note) in notes {
            let to = to.trim_start_matches("gateway-").parse().unwrap_or(0);
            self.notes += 1;
            self.bytes += postcard::to_stdvec(&note).map_or(0, |bytes| bytes.len() as u64);
            if !self.chance.gen_bool(self.loss) && !(self.parted)(at, to) {
                self.order += 1;
                let due = self.now + self.chance.gen_range(MS..40 * MS);
                self.way.insert((due, self.order), (at, to, note));
            }
        }
    }

    /// Gateways that leave a server out of use.
    pub fn leave_out(&self, server: usize) -> usize {
        let name = &self.servers[server].name;
        self.barred.iter().filter(|barred| barred.contains(name)).count()
    }

    /// The largest share of the servers that any gateway leaves out.
    pub fn most_out(&self) -> f64 {
        self.barred.iter().map(BTreeSet::len).max().unwrap_or(0) as f64 / self.servers.len() as f64
    }
}

/// What a server that loses half of its trips for ten seconds costs a fleet of this size, with some 100 trips a second there; `alone`:
/// nobody hears anybody.
pub fn measure(gateways: usize, alone: bool) -> Value {
    const BAD: usize = 3;
    const SERVERS: usize = 40;
    let mut fleet = Fleet::of(gateways, SERVERS, 1);
    fleet.rate = 100.0 * SERVERS as f64 / gateways as f64;
    fleet.does = Box::new(|now, _, server| match server {
        BAD if (5 * SECOND..15 * SECOND).contains(&now) => Does::Fails(0.5),
        _ => Does::Well,
    });
    if alone {
        fleet.parted = Box::new(|_, _| true);
    }
    fleet.pass(4 * SECOND);
    let (mut known, mut tries_from) = (None, 0);
    let before = (fleet.notes, fleet.bytes);
    while fleet.now < 15 * SECOND {
        fleet.pass(SECOND / 10);
        if known.is_none() && fleet.leave_out(BAD) + 1 >= gateways {
            known = Some(fleet.now - 5 * SECOND);
            tries_from = fleet.tries.get(&BAD).copied().unwrap_or(0);
        }
    }
    let tries = fleet.tries.get(&BAD).copied().unwrap_or(0) - tries_from;
    let out = known.map_or(0, |known| 10 * SECOND - known) as f64 / SECOND as f64;
    let (notes, bytes) = (fleet.notes - before.0, fleet.bytes - before.1);
    fleet.pass(20 * SECOND);
    let each = |count: u64| count as f64 / 10.0 / gateways as f64;
    json!({ "gateways": gateways, "alone": alone, "hurt": fleet.hurt.get(&BAD).copied().unwrap_or(0),
        "all_know_ms": known.map(|known| known / MS), "tries_a_second": if out > 0.0 { tries as f64 / out } else { 0.0 },
        "notes_a_second_each": each(notes), "bytes_a_second_each": each(bytes), "still_out": fleet.leave_out(BAD) })
}
