//! Runs of seven nodes in virtual time, compared with recorded hashes over every output. A refactoring must keep the order of
//! random draws, the order of outputs and the bytes on the wire.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fernscale_membership::node::{Config, Event, Node, Output};
use fernscale_membership::packet::{Packet, Peer};
use fernscale_membership::payload::{Channel, Payload};
use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::{Micros, MILLISECOND, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NODES: u16 = 7;
const RECORDED_HASHES: [(u64, u64); 2] = [(1, 6_198_774_587_300_007_317), (2, 9_585_180_491_430_092_631)];

struct Fnv(u64);

impl Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn write_value(&mut self, value: &impl serde::Serialize) {
        self.write(&postcard::to_stdvec(value).expect("plain data can be encoded"));
    }
}

enum Delivery {
    Datagram { from: SocketAddr, to: SocketAddr, packet: Packet },
    Exchange { from: SocketAddr, to: SocketAddr },
    Stream { sender: Peer, to: SocketAddr, payload: Payload },
}

struct Run {
    now: Micros,
    rng: ChaCha8Rng,
    nodes: BTreeMap<SocketAddr, Node>,
    deliveries: BTreeMap<(Micros, u64), Delivery>,
    scheduled: u64,
    partitioned: BTreeSet<SocketAddr>,
    hash: Fnv,
    outputs: u64,
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut run = Run {
            now: SECOND,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            scheduled: 0,
            partitioned: BTreeSet::new(),
            hash: Fnv(0xcbf2_9ce4_8422_2325),
            outputs: 0,
        };
        for number in 0..NODES {
            run.start(number, 100 + u64::from(number));
        }
        run
    }

    fn start(&mut self, number: u16, instance: u64) {
        // Two of the nodes have the same name.
        let name = format!("gateway-{}", number.min(NODES - 2));
        let local = Peer { name, instance: Instance(instance), address: address(number) };
        let config = Config { local, seeds: vec![address(0), address(1)] };
        self.nodes.insert(address(number), Node::new(config, instance, self.now));
    }

    fn schedule(&mut self, delivery: Delivery) {
        let at = self.now + self.rng.gen_range(200..30 * MILLISECOND);
        self.scheduled += 1;
        self.deliveries.insert((at, self.scheduled), delivery);
    }

    fn is_partitioned(&self, one: SocketAddr, other: SocketAddr) -> bool {
        self.partitioned.contains(&one) != self.partitioned.contains(&other)
    }

    fn execute_outputs(&mut self) {
        let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        for from in addresses {
            while let Some(output) = self.nodes.get_mut(&from).and_then(Node::poll_output) {
                self.outputs += 1;
                self.hash.write_value(&(self.now, from));
                self.execute(from, output);
            }
        }
    }

    fn execute(&mut self, from: SocketAddr, output: Output) {
        match output {
            Output::SendDatagram { to, packet } => {
                self.hash.write_value(&(0u8, to, &packet));
                if !self.rng.gen_bool(0.15) && !self.is_partitioned(from, to) {
                    self.schedule(Delivery::Datagram { from, to, packet });
                }
            }
            Output::ExchangeState { to } => {
                self.hash.write_value(&(1u8, to));
                self.schedule(Delivery::Exchange { from, to });
            }
            Output::SendStream { to, payload } => {
                self.hash.write_value(&(2u8, to, &payload));
                let sender = self.nodes[&from].local().clone();
                self.schedule(Delivery::Stream { sender, to, payload });
            }
            Output::Received(received) => {
                self.hash.write_value(&(3u8, &received.sender, received.channel, &received.body));
            }
            Output::Event(event) => {
                let (number, peer, other) = match event {
                    Event::Joined(peer) => (0u8, peer, None),
                    Event::Suspected(peer) => (1, peer, None),
                    Event::Refuted(peer) => (2, peer, None),
                    Event::Died(peer) => (3, peer, None),
                    Event::Left(peer) => (4, peer, None),
                    Event::DuplicateName(peer, other) => (5, peer, Some(other)),
                };
                self.hash.write_value(&(4u8, number, peer, other));
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Datagram { from, to, packet } => {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.handle_packet(self.now, from, packet);
                }
            }
            Delivery::Exchange { from, to } => {
                if self.is_partitioned(from, to)
                    || !self.nodes.contains_key(&from)
                    || !self.nodes.contains_key(&to)
                {
                    return;
                }
                let from_state = self.nodes[&from].full_state(self.now);
                let to_state = self.nodes[&to].full_state(self.now);
                self.hash.write_value(&(&from_state, &to_state));
                self.nodes.get_mut(&to).expect("the node is running").handle_full_state(self.now, from_state);
                self.nodes.get_mut(&from).expect("the node is running").handle_full_state(self.now, to_state);
            }
            Delivery::Stream { sender, to, payload } => {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.handle_payload(self.now, sender, payload);
                }
            }
        }
    }

    /// Runs until a time, with random additions to counters and random payloads.
    fn run_until(&mut self, end: Micros) {
        while self.now < end {
            let next_timeout = self.nodes.values().map(Node::next_deadline).min().unwrap_or(end);
            let next_delivery = self.deliveries.keys().next().map_or(end, |(at, _)| *at);
            self.now = next_timeout.min(next_delivery).clamp(self.now, end);
            while self.deliveries.keys().next().is_some_and(|(at, _)| *at <= self.now) {
                let (_, delivery) = self.deliveries.pop_first().expect("a delivery is due");
                self.deliver(delivery);
                self.execute_outputs();
            }
            for node in self.nodes.values_mut() {
                if node.next_deadline() <= self.now {
                    node.handle_timeout(self.now);
                }
            }
            self.call_random_node();
            self.execute_outputs();
        }
    }

    fn call_random_node(&mut self) {
        let number = self.rng.gen_range(0..NODES);
        let key = format!("tenant-{}", self.rng.gen_range(0..40));
        let amount = f64::from(self.rng.gen_range(-5..20)) / 4.0;
        let length = self.rng.gen_range(0..2_000);
        let choice = self.rng.gen_range(0..40);
        let Some(node) = self.nodes.get_mut(&address(number)) else { return };
        match choice {
            0..=9 => node.add_to_counter(self.now, &key, amount, 20 * SECOND),
            10 => drop(node.send_to("gateway-2", Channel::Subsetting, vec![7; length])),
            11 => drop(node.send_to_instance(Instance(101), Channel::Lease, vec![9; length])),
            _ => {}
        }
    }

    fn finish(mut self) -> u64 {
        for node in self.nodes.values() {
            self.hash.write_value(&node.full_state(self.now));
            self.hash.write_value(&node.counter_totals(self.now));
        }
        assert!(self.outputs > 10_000, "the run has only {} outputs", self.outputs);
        self.hash.0
    }
}

#[test]
fn every_output_of_a_run_with_loss_partition_crash_restart_and_leave_stays_as_recorded() {
    let mut hashes = Vec::new();
    for (seed, _) in RECORDED_HASHES {
        let mut run = Run::new(seed);
        run.run_until(8 * SECOND);
        run.partitioned = [address(1), address(4)].into();
        run.run_until(16 * SECOND);
        run.partitioned.clear();
        run.run_until(22 * SECOND);
        run.nodes.remove(&address(3));
        run.run_until(24 * SECOND);
        run.start(3, 203);
        run.run_until(30 * SECOND);
        if let Some(node) = run.nodes.get_mut(&address(2)) {
            node.leave(run.now);
        }
        run.execute_outputs();
        run.run_until(32 * SECOND);
        run.nodes.remove(&address(2));
        run.run_until(50 * SECOND);
        hashes.push((seed, run.finish()));
    }
    assert_eq!(hashes, RECORDED_HASHES);
}
