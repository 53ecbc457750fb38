//! One node of the membership protocol, without I/O. Its caller hands it authenticated messages, calls `handle_timeout` at
//! `next_deadline`, and carries out what `poll_output` returns. No call takes longer than the members are many.
//!
//! This module joins the parts and applies claims about members. Each part has a file and private state: the member table,
//! the failure detector, dissemination of membership and of counters, anti-entropy, and payloads of other subsystems.

mod anti_entropy;
mod counter_gossip;
mod datagram_batch;
mod failure_detector;
mod member_updates;
mod members;
mod payloads;
mod scaling;

use std::collections::VecDeque;
use std::net::SocketAddr;

use fernscale_shared_counter::gossip::FANOUT;
use fernscale_shared_counter::pn_counter::PnCounters;
use fernscale_shared_counter::{Micros, MILLISECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::anti_entropy::{AntiEntropy, ANTI_ENTROPY_INTERVAL};
use self::counter_gossip::CounterGossip;
use self::datagram_batch::{DatagramBatch, DATAGRAM_OVERHEAD_BYTES};
use self::failure_detector::FailureDetector;
use self::member_updates::MemberUpdateQueue;
use self::members::{Addition, Applied, MemberTable, StateChange};
pub use self::members::{Member, MAX_MEMBERS};
use self::scaling::{MIN_REFUTATION_TIME, PROBE_PERIOD};
use crate::packet::{
    CounterEntry, CounterTotal, MemberState, MemberUpdate, Packet, PacketBody, MAX_DATAGRAM_BYTES,
};
use crate::payload::{Payload, ReceivedPayload};
use crate::peer::Peer;

/// How often counter contributions are sent while there are any to send.
const GOSSIP_INTERVAL: Micros = 50 * MILLISECOND;
/// Members that learn of it directly when this node leaves.
const LEAVE_FANOUT: usize = 2 * FANOUT;
/// Members with which a leaving node exchanges its complete state: datagrams may be lost, and nobody could repeat them.
const LEAVE_EXCHANGES: usize = 2;

/// Who a node is, and whom it contacts first.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node itself.
    pub local: Peer,
    /// Addresses of other nodes. Those that are no live members are pinged as long as the node runs.
    pub seeds: Vec<SocketAddr>,
}

/// What the caller is to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Seal this packet and send it as one datagram.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// At most `MAX_DATAGRAM_BYTES` when sealed.
        packet: Packet,
    },
    /// Exchange complete states with this address, over a stream.
    ExchangeState {
        /// Where to.
        to: SocketAddr,
    },
    /// Send this payload over a stream.
    SendStream {
        /// Where to.
        to: SocketAddr,
        /// The payload.
        payload: Payload,
    },
    /// A payload for another subsystem has arrived.
    Received(ReceivedPayload),
    /// A change that operators are shown.
    Event(Event),
}

/// A change of membership that operators are shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member that was unknown or dead is there.
    Joined(Peer),
    /// A member did not acknowledge a probe, or another node says so.
    Suspected(Peer),
    /// A suspected member answered after all.
    Refuted(Peer),
    /// A suspicion was not refuted in time.
    Died(Peer),
    /// A member has shut down.
    Left(Peer),
    /// Two live gateways have one name: the one that was known, and the one that joined.
    DuplicateName(Peer, Peer),
}

/// A node of the membership protocol.
pub struct Node {
    incarnation: u32,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    members: MemberTable,
    failure_detector: FailureDetector,
    member_updates: MemberUpdateQueue,
    counter_gossip: CounterGossip,
    next_gossip: Micros,
    anti_entropy: AntiEntropy,
    has_left: bool,
    outputs: VecDeque<Output>,
}

impl Node {
    /// A node that knows nobody yet. All of its random choices come from the seed.
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Nodes that start together must not all send at the same instants.
        let mut first_within = |interval: Micros| now + rng.gen_range(1..=interval);
        let first_period = first_within(PROBE_PERIOD);
        let next_gossip = first_within(GOSSIP_INTERVAL);
        let first_reconnect = first_within(MILLISECOND);
        let first_exchange = first_within(ANTI_ENTROPY_INTERVAL);
        Node {
            incarnation: 1,
            seeds: config.seeds,
            rng,
            counter_gossip: CounterGossip::new(config.local.instance),
            members: MemberTable::new(config.local),
            failure_detector: FailureDetector::new(first_period),
            member_updates: MemberUpdateQueue::default(),
            next_gossip,
            anti_entropy: AntiEntropy::new(first_reconnect, first_exchange),
            has_left: false,
            outputs: VecDeque::new(),
        }
    }

    /// This node.
    pub fn local(&self) -> &Peer {
        self.members.local()
    }

    /// The other nodes that are known, in whatever state, in the order of their instances.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// The other nodes that are alive or only suspected.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.live()
    }

    /// When `handle_timeout` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        let periodic = self.next_gossip.min(self.anti_entropy.next_deadline());
        periodic.min(self.failure_detector.next_deadline())
    }

    /// What the caller is to do next, in order.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// This gateway adds an amount to a counter that expires after the lifetime, if it is new.
    pub fn add_to_counter(&mut self, now: Micros, key: &str, amount: f64, lifetime: Micros) {
        self.counter_gossip.add(now, key, amount, lifetime, &self.members);
    }

    /// What all gateways have added to a counter, as far as this node knows.
    pub fn counter_total(&self, now: Micros, key: &str) -> Option<f64> {
        self.counters().total(now, key)
    }

    /// What each gateway has added to each counter, as far as this node knows.
    pub fn counters(&self) -> &PnCounters {
        self.counter_gossip.counters()
    }

    /// The totals of the counters in the order of their keys; as many as fit into one message over a stream.
    pub fn counter_totals(&self, now: Micros) -> Vec<CounterTotal> {
        self.counter_gossip.totals(now)
    }

    /// Counter updates that could not be counted or sent because a bound was reached, since the start.
    pub fn dropped_updates(&self) -> u64 {
        self.counter_gossip.dropped_updates()
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.has_left {
            self.failure_detector.stop();
            self.anti_entropy.stop();
            self.next_gossip = Micros::MAX;
            return;
        }
        self.handle_probe_timeouts(now);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.counter_gossip.enqueue_quiet(now);
            self.send_counters(now);
        }
        self.handle_anti_entropy_timeouts(now);
    }

    /// An authenticated packet has arrived from an address.
    pub fn handle_packet(&mut self, now: Micros, from: SocketAddr, packet: Packet) {
        let Packet { sender, incarnation, body, updates, counters } = packet;
        if !self.accepts(&sender) {
            return;
        }
        let was_known = self.members.contains(sender.instance);
        let alive = MemberUpdate { peer: sender.clone(), incarnation, state: MemberState::Alive };
        self.apply_update(now, alive);
        self.members.heard_from(now, sender.instance);
        if !was_known && self.members.contains(sender.instance) {
            // It may know much that this node was never sent.
            self.outputs.push_back(Output::ExchangeState { to: sender.address });
        }
        for update in updates {
            self.apply_gossip(now, update);
        }
        self.counter_gossip.merge(now, counters, &self.members);
        match body {
            PacketBody::Ping(sequence_number) => self.send(from, PacketBody::Ack(sequence_number)),
            PacketBody::Ack(sequence_number) => self.handle_ack(now, &sender, sequence_number),
            PacketBody::PingRequest(sequence_number, target) => {
                self.handle_ping_request(now, from, sequence_number, &target);
            }
            PacketBody::Empty => {}
            PacketBody::Payload(payload) => self.receive_payload(sender, payload),
        }
    }

    /// This node shuts down: it sends what is pending, notifies some members, and exchanges its state with two of them.
    /// Afterwards it sends and accepts nothing.
    pub fn leave(&mut self, now: Micros) {
        self.send_counters(now);
        self.send_own_state(MemberState::Left, LEAVE_FANOUT);
        self.exchange_with_random(LEAVE_EXCHANGES);
        self.has_left = true;
    }

    /// Whether messages of a sender are taken in at all.
    fn accepts(&self, sender: &Peer) -> bool {
        !self.has_left && sender.instance != self.local().instance
    }

    /// Sends a message with the claims about members that were sent least.
    fn send(&mut self, to: SocketAddr, body: PacketBody) {
        let free_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES;
        let mut updates = self.member_updates.take(&self.members, free_bytes);
        // Only a suspected member can refute that, so it learns of it whatever else the packet carries; and so does the
        // member that is to ping it.
        let is_subject = |member: &&Member| match &body {
            PacketBody::PingRequest(_, target) => member.peer.instance == target.instance,
            _ => member.peer.address == to,
        };
        let not_alive = |member: &&Member| member.state != MemberState::Alive;
        let subject = self.members.iter().filter(is_subject).find(not_alive);
        if let Some(member) = subject.filter(|member| !updates.iter().any(|own| own.peer == member.peer)) {
            updates.push(member.update());
        }
        self.send_packet(to, body, updates, Vec::new());
    }

    fn send_packet(
        &mut self,
        to: SocketAddr,
        body: PacketBody,
        updates: Vec<MemberUpdate>,
        counters: Vec<CounterEntry>,
    ) {
        let sender = self.local().clone();
        let packet = Packet { sender, incarnation: self.incarnation, body, updates, counters };
        self.outputs.push_back(Output::SendDatagram { to, packet });
    }

    /// Sends the state of this node itself to some random members.
    fn send_own_state(&mut self, state: MemberState, count: usize) {
        let own = MemberUpdate { peer: self.local().clone(), incarnation: self.incarnation, state };
        for to in self.members.sample_live(&mut self.rng, count, None) {
            self.send_packet(to, PacketBody::Empty, vec![own.clone()], Vec::new());
        }
    }

    fn send_counters(&mut self, now: Micros) {
        let Some(round) = self.counter_gossip.take_round(now, &self.members) else { return };
        for (to, batch) in round.direct {
            self.send_batch(to, batch);
        }
        for to in self.members.sample_live(&mut self.rng, FANOUT, None) {
            self.send_batch(to, round.random.clone());
        }
    }

    fn send_batch(&mut self, to: SocketAddr, batch: DatagramBatch) {
        for counters in batch.into_datagrams() {
            self.send_packet(to, PacketBody::Empty, Vec::new(), counters);
        }
    }

    /// Applies what another node claims of a member. That one is dead counts as a suspicion until a suspicion has stood
    /// here long enough to be refuted.
    ///
    /// Danger: a node whose messages reach nobody takes all others for dead, and once they arrive all would believe it.
    fn apply_gossip(&mut self, now: Micros, mut update: MemberUpdate) {
        if update.state == MemberState::Dead && self.may_refute(now, &update.peer) {
            update.state = MemberState::Suspect;
        }
        self.apply_update(now, update);
    }

    /// Whether a member may still refute that it is dead. A claim about this node itself is refuted at once.
    fn may_refute(&self, now: Micros, peer: &Peer) -> bool {
        self.members.get(peer.instance).is_some_and(|member| match member.state {
            MemberState::Alive => true,
            MemberState::Suspect => now < member.state_since + MIN_REFUTATION_TIME,
            MemberState::Dead | MemberState::Left => false,
        })
    }

    /// Applies a claim about a member or about this node, and does what follows from it.
    fn apply_update(&mut self, now: Micros, update: MemberUpdate) {
        if update.peer.instance == self.local().instance {
            self.refute(now, &update);
            return;
        }
        match self.members.apply(now, update) {
            Applied::Ignored => {}
            Applied::Changed(change) => self.after_change(now, change),
            Applied::Added(addition) => self.after_addition(now, addition),
        }
    }

    /// Refutes a claim that this node is not alive, by a higher incarnation.
    ///
    /// Danger: without it a partition or a pause would have this node dead for good.
    fn refute(&mut self, now: Micros, claim: &MemberUpdate) {
        if self.has_left || claim.state == MemberState::Alive || claim.incarnation < self.incarnation {
            return;
        }
        self.incarnation = claim.incarnation.saturating_add(1);
        self.counter_gossip.resend_all(now.saturating_sub(self.members.detection_delay()));
        self.send_own_state(MemberState::Alive, FANOUT);
    }

    fn after_change(&mut self, now: Micros, change: StateChange) {
        let instance = change.peer.instance;
        self.member_updates.enqueue(instance, self.members.transmission_limit());
        if change.before == MemberState::Dead {
            // As when a partition heals: each side has what the other was not sent.
            self.outputs.push_back(Output::ExchangeState { to: change.peer.address });
        }
        if change.before != MemberState::Alive && change.after == MemberState::Alive {
            let unreachable_since = change.before_since.saturating_sub(self.members.detection_delay());
            self.counter_gossip.resend_to_returned(instance, unreachable_since);
        }
        if !change.after.is_live() {
            self.counter_gossip.enqueue_contributions_of(now, instance);
        }
        self.outputs.extend(change.event().map(Output::Event));
    }

    fn after_addition(&mut self, now: Micros, addition: Addition) {
        let Addition { peer, duplicate_name, replaced } = addition;
        if let Some(other) = duplicate_name {
            self.outputs.push_back(Output::Event(Event::DuplicateName(other, peer.clone())));
        }
        self.member_updates.enqueue(peer.instance, self.members.transmission_limit());
        self.outputs.push_back(Output::Event(Event::Joined(peer)));
        for member in replaced {
            // Otherwise the new process could not listen at that address.
            self.apply_update(now, member.update_to(MemberState::Dead));
        }
    }
}
