//! The mesh in virtual time: many nodes, a network that loses, delays, doubles, overtakes and parts, processes that end
//! and start again. One seed gives one run, to the byte.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use fernscale_membership::node::{Config, Event, Node, Output};
use fernscale_membership::packet::{FullState, MemberState, Packet, Peer};
use fernscale_shared_counter::pn_counter::Instance;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use crate::history::LinkTraffic;
use crate::live::route::Route;
use crate::{Micros, MILLISECOND, SECOND};

/// What the network does to datagrams; streams only fail where it is parted.
#[derive(Clone, Copy, Debug)]
pub struct LinkFaults {
    pub loss: f64,
    pub doubled: f64,
    /// One way, least and most.
    pub delay: (Micros, Micros),
}

impl LinkFaults {
    pub const FAIR: LinkFaults = LinkFaults { loss: 0.0, doubled: 0.0, delay: (200, 800) };
}

enum Come {
    Packet(Packet),
    Full(FullState, bool),
    Tick,
}

/// Gateways that a customer comes through.
const SPREAD: usize = 4;
/// Packets that a paused process's socket holds, as systems commonly have it.
const HELD: usize = 160;
/// Bytes that a seal adds to a packet.
const SEAL: usize = 45;

pub struct SimulatedFleet {
    pub now: Micros,
    nodes: Vec<Option<Node>>,
    /// What each instance has truly added, and whether it still runs.
    pub truth: BTreeMap<(String, Instance), f64>,
    pub weather: LinkFaults,
    /// Pairs of which the first can't reach the second.
    cut: BTreeSet<(usize, usize)>,
    /// Pairs between which no stream comes up.
    streams: BTreeSet<(usize, usize)>,
    /// What else is broken from one to another, by the same rules as between processes.
    ways: BTreeMap<(usize, usize), [Route; 2]>,
    /// What came to those who are paused.
    paused: BTreeMap<usize, Vec<(SocketAddr, Come)>>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, (usize, SocketAddr, Come)>,
    ticks: Vec<Micros>,
    order: u64,
    chance: ChaCha8Rng,
    starts: u64,
    pub datagrams: u64,
    pub bytes: u64,
    pub largest: usize,
    pub events: Vec<(Micros, usize, Event)>,
}

/// Where a node is, as others are told.
pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8 + 1], 7946))
}

fn place(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => v4.ip().octets()[2] as usize * 250 + v4.ip().octets()[3] as usize - 1,
        SocketAddr::V6(_) => 0,
    }
}

impl SimulatedFleet {
    /// So many nodes that start at once, each with the first two as seeds.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut mesh = SimulatedFleet {
            now: 0,
            nodes: (0..count).map(|_| None).collect(),
            truth: BTreeMap::new(),
            weather: LinkFaults::FAIR,
            cut: BTreeSet::new(),
            streams: BTreeSet::new(),
            ways: BTreeMap::new(),
            paused: BTreeMap::new(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            ticks: vec![Micros::MAX; count],
            order: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            starts: 0,
            datagrams: 0,
            bytes: 0,
            largest: 0,
            events: Vec::new(),
        };
        (0..count).for_each(|at| mesh.start(at));
        mesh
    }

    /// It runs, and is not paused.
    pub fn runs(&self, at: usize) -> bool {
        self.nodes[at].is_some() && !self.paused.contains_key(&at)
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    pub fn node(&self, at: usize) -> Option<&Node> {
        self.nodes[at].as_ref()
    }

    /// A process starts at a place, and knows nothing of an earlier one.
    pub fn start(&mut self, at: usize) {
        self.starts += 1;
        let instance = Instance(self.chance.gen());
        let me = Peer { name: format!("gateway-{at}"), instance, address: address(at) };
        let seeds = vec![address(0), address(1)];
        self.nodes[at] = Some(Node::new(Config { local: me, seeds }, self.chance.gen(), self.now));
        self.plan(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
        self.paused.remove(&at);
    }

    pub fn leave(&mut self, at: usize) {
        let now = self.now;
        if let Some(node) = &mut self.nodes[at] {
            node.leave(now);
        }
        self.carry(at);
        self.nodes[at] = None;
    }

    /// From now on nothing of the first's reaches the second.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// From now on no stream comes up between the two, whoever opens it.
    pub fn streams_fail(&mut self, one: usize, other: usize) {
        self.streams.extend([(one, other), (other, one)]);
    }

    /// What is broken from the first to the second: on datagrams, and on streams.
    pub fn way(&mut self, from: usize, to: usize, goods: LinkTraffic) -> &Route {
        &self.ways.entry((from, to)).or_default()[goods as usize]
    }

    fn stream_up(&self, from: usize, to: usize) -> bool {
        let way = |one, other| {
            let way = self.ways.get(&(one, other)).map(|ways| &ways[LinkTraffic::Streams as usize]);
            way.is_none_or(|way| !way.held() && !way.cut())
        };
        to < self.count()
            && !self.cut.contains(&(from, to))
            && !self.cut.contains(&(to, from))
            && !self.streams.contains(&(from, to))
            && way(from, to)
            && way(to, from)
    }

    /// A process stands still: what comes to it waits, as much as its sockets hold.
    pub fn pause(&mut self, at: usize) {
        self.paused.entry(at).or_default();
    }

    pub fn resume(&mut self, at: usize) {
        for (from, come) in self.paused.remove(&at).unwrap_or_default() {
            self.push(self.now, at, from, come);
        }
        // It has not looked at the time for as long.
        self.ticks[at] = Micros::MAX;
        self.plan(at);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.streams.clear();
    }

    pub fn add(&mut self, at: usize, count: &str, amount: f64, life: Micros) {
        let now = self.now;
        if let Some(node) = &mut self.nodes[at] {
            node.add_to_counter(now, count, amount, life);
            *self.truth.entry((count.into(), node.local().instance)).or_default() += amount;
        }
    }

    fn plan(&mut self, at: usize) {
        let Some(due) = self.nodes[at].as_ref().map(Node::next_deadline) else { return };
        let due = due.max(self.now);
        if due < self.ticks[at] || self.ticks[at] <= self.now {
            self.ticks[at] = due;
            self.push(due, at, address(at), Come::Tick);
        }
    }

    fn push(&mut self, at: Micros, to: usize, from: SocketAddr, come: Come) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.due.insert(self.order, (to, from, come));
    }

    fn delay(&mut self) -> Micros {
        let (least, most) = self.weather.delay;
        self.chance.gen_range(least..=most)
    }

    /// Carries out what a node wants.
    fn carry(&mut self, at: usize) {
        while let Some(output) = self.nodes[at].as_mut().and_then(Node::poll_output) {
            match output {
                Output::Event(event) => self.events.push((self.now, at, event)),
                Output::SendDatagram { to, packet } => {
                    let size = postcard::to_stdvec(&packet).map_or(0, |bytes| bytes.len()) + SEAL;
                    self.datagrams += 1;
                    self.bytes += size as u64;
                    self.largest = self.largest.max(size);
                    if place(to) >= self.count() || self.cut.contains(&(at, place(to))) {
                        continue;
                    }
                    if let Some(ways) = self.ways.get(&(at, place(to))) {
                        let way = &ways[LinkTraffic::Datagrams as usize];
                        // Where a byte was changed the seal does not hold, and it is as good as lost.
                        let come = way.datagram(self.now, vec![0; size], &mut self.chance);
                        let whole = come.into_iter().filter(|(_, bytes)| bytes.iter().all(|byte| *byte == 0));
                        for (due, _) in whole.collect::<Vec<_>>() {
                            let due = due + self.delay();
                            self.push(due, place(to), address(at), Come::Packet(packet.clone()));
                        }
                        continue;
                    }
                    let copies = 1 + u32::from(self.chance.gen_bool(self.weather.doubled));
                    for _ in 0..copies {
                        if !self.chance.gen_bool(self.weather.loss) {
                            let due = self.now + self.delay();
                            self.push(due, place(to), address(at), Come::Packet(packet.clone()));
                        }
                    }
                }
                // Here nothing is carried for others.
                Output::SendStream { .. } | Output::Received(_) => {}
                Output::ExchangeState { to } => {
                    let (to, now) = (place(to), self.now);
                    let parted = !self.stream_up(at, to) || self.paused.contains_key(&to);
                    let Some(node) = self.nodes[at].as_ref().filter(|_| !parted) else { continue };
                    let full = node.full_state(now);
                    self.bytes += postcard::to_stdvec(&full).map_or(0, |bytes| bytes.len() + SEAL) as u64;
                    let due = now + self.delay();
                    self.push(due, to, address(at), Come::Full(full, true));
                }
            }
        }
        self.plan(at);
    }

    /// Goes on until this time.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((due, order))) =
            self.queue.peek().copied().filter(|Reverse((due, _))| *due <= until)
        {
            self.queue.pop();
            self.now = due;
            let Some((at, from, come)) = self.due.remove(&order) else { continue };
            if let Some(held) = self.paused.get_mut(&at) {
                if held.len() < HELD && !matches!(come, Come::Tick) {
                    held.push((from, come));
                }
                continue;
            }
            let now = self.now;
            let Some(node) = &mut self.nodes[at] else { continue };
            match come {
                Come::Packet(packet) => node.handle_packet(now, from, packet),
                Come::Tick if self.ticks[at] == due => {
                    self.ticks[at] = Micros::MAX;
                    node.handle_timeout(now);
                }
                Come::Tick => continue,
                Come::Full(full, answer) => {
                    node.handle_full_state(now, full);
                    if answer {
                        let full = node.full_state(now);
                        self.bytes += postcard::to_stdvec(&full).map_or(0, |bytes| bytes.len() + SEAL) as u64;
                        let back = now + self.delay();
                        self.push(back, place(from), address(at), Come::Full(full, false));
                    }
                }
            }
            self.carry(at);
        }
        self.now = until;
    }

    fn running(&self) -> BTreeSet<Instance> {
        self.nodes.iter().flatten().map(|node| node.local().instance).collect()
    }

    /// Whether every node's view is what is true: who runs, and nobody else.
    pub fn converged(&self) -> bool {
        let all = self.running();
        self.nodes.iter().flatten().all(|node| {
            let mut seen: BTreeSet<_> = node.live_members().map(|member| member.peer.instance).collect();
            seen.insert(node.local().instance);
            let alive = node.live_members().all(|member| member.state == MemberState::Alive);
            alive && seen == all
        })
    }

    /// Nodes that know so many of the others.
    pub fn knowing(&self, others: usize) -> usize {
        self.nodes.iter().flatten().filter(|node| node.live_members().count() >= others).count()
    }

    /// What all that ran have truly added.
    pub fn true_total(&self, count: &str) -> f64 {
        self.truth.iter().filter(|((name, _), _)| name == count).map(|(_, amount)| amount).sum()
    }

    /// The largest part that any node's total is off by.
    pub fn error(&self, count: &str) -> f64 {
        let total = self.true_total(count);
        let off = |node: &Node| {
            (node.counter_total(self.now, count).unwrap_or(0.0) - total).abs() / total.abs().max(1.0)
        };
        self.nodes.iter().flatten().map(off).fold(0.0, f64::max)
    }
}

/// Measures a mesh of so many gateways: seconds until all know all, bytes a second for each, and how far totals are off
/// while each gateway adds to shared counts all the time, with one datagram in a hundred lost.
pub fn measure(count: usize, customers: usize, adds_a_second: f64, seed: u64) -> Value {
    let mut mesh = SimulatedFleet::new(count, seed);
    mesh.weather = LinkFaults { loss: 0.01, doubled: 0.0, delay: (200, 2_000) };
    let mut joined = None;
    while joined.is_none() && mesh.now < 120 * SECOND {
        mesh.run(mesh.now + 50 * MILLISECOND);
        joined = mesh.converged().then_some(mesh.now);
    }
    let mut chance = ChaCha8Rng::seed_from_u64(seed ^ 1);
    // Some seconds for the news to be told, so that what is measured is the steady state.
    mesh.run(mesh.now + 3 * SECOND);
    let (from, bytes, datagrams) = (mesh.now, mesh.bytes, mesh.datagrams);
    let step = 10 * MILLISECOND;
    let lasts = 6 * SECOND;
    let adds = adds_a_second * step as f64 / SECOND as f64;
    let (mut owed, mut errors) = (0.0, Vec::new());
    while mesh.now < from + lasts {
        for at in 0..count {
            owed += adds;
            while owed >= 1.0 {
                owed -= 1.0;
                // A customer comes through some gateways in a row, as the fronts deal them.
                let customer = loop {
                    let customer = chance.gen_range(0..customers);
                    if (at + count - customer % count) % count < SPREAD.min(count) {
                        break customer;
                    }
                };
                mesh.add(at, &format!("q7:{customer:016x}"), 1.0, 60 * SECOND);
            }
        }
        mesh.run(mesh.now + step);
        if mesh.now > from + SECOND && mesh.now % (100 * MILLISECOND) < step {
            // Beside what was added in the last second, as that is what a fraction is judged by.
            let customer = chance.gen_range(0..customers);
            let name = format!("q7:{customer:016x}");
            let lately = adds_a_second * count as f64 / customers as f64;
            let total = mesh.true_total(&name);
            let its = (0..SPREAD.min(count)).map(|step| (customer + step) % count);
            let off: Vec<_> = its
                .filter_map(|at| mesh.node(at))
                .map(|node| (total - node.counter_total(mesh.now, &name).unwrap_or(0.0)) / lately)
                .collect();
            errors.push(off.iter().sum::<f64>() / off.len() as f64);
        }
    }
    let seconds = (mesh.now - from) as f64 / SECOND as f64;
    let each = |sum: u64| sum as f64 / seconds / count as f64;
    let (bytes, datagrams) = (each(mesh.bytes - bytes), each(mesh.datagrams - datagrams));
    mesh.run(mesh.now + 3 * SECOND);
    let settled = |customer: usize| {
        let name = format!("q7:{customer:016x}");
        let total = mesh.true_total(&name);
        if total == 0.0 {
            return 0.0;
        }
        let its = (0..SPREAD.min(count)).filter_map(|step| mesh.node((customer + step) % count));
        its.map(|node| (total - node.counter_total(mesh.now, &name).unwrap_or(0.0)) / total)
            .fold(0.0, f64::max)
    };
    let settled = (0..customers).map(settled).fold(0.0, f64::max);
    // One is killed: how long until nobody counts on it.
    mesh.kill(count - 1);
    let killed = mesh.now;
    let mut gone = None;
    while gone.is_none() && mesh.now < killed + 120 * SECOND {
        mesh.run(mesh.now + 50 * MILLISECOND);
        gone = mesh.converged().then_some(mesh.now - killed);
    }
    let seconds = |time: Option<Micros>| time.map(|time| time as f64 / SECOND as f64);
    json!({
        "gateways": count, "customers": customers, "adds_a_second_each": adds_a_second,
        "all_know_all_s": seconds(joined), "bytes_a_second_each": bytes, "datagrams_a_second_each": datagrams,
        "largest_datagram": mesh.largest,
        "missing_seconds_of_adds": errors.iter().sum::<f64>() / errors.len().max(1) as f64,
        "error_3s_after": settled, "gone_known_s": seconds(gone),
    })
}
