//! One node of the membership protocol, without I/O. The caller passes in authenticated messages, calls `handle_timeout` at
//! `next_deadline`, and executes the outputs of `poll_output`. The cost of a call is at most linear in the number of
//! members.
//!
//! This module connects the submodules and applies membership updates. Each submodule has its own private state: the member
//! table, the failure detector, dissemination of membership and of counters, anti-entropy, and payloads of other subsystems.

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

/// Interval between rounds of counter gossip. A round without pending contributions sends nothing.
const GOSSIP_INTERVAL: Micros = 50 * MILLISECOND;
/// Number of members that a leaving node notifies directly.
const LEAVE_FANOUT: usize = 2 * FANOUT;
/// Number of members with which a leaving node exchanges its complete state. Datagrams may be lost, and no other node could
/// resend them.
const LEAVE_EXCHANGES: usize = 2;

/// The identity of a node and the addresses that it contacts first.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node itself.
    pub local: Peer,
    /// Addresses of other nodes. The node keeps pinging every seed that is not a live member.
    pub seeds: Vec<SocketAddr>,
}

/// An action for the caller to execute.
#[derive(Clone, Debug)]
pub enum Output {
    /// Seal this packet and send it as one datagram.
    SendDatagram {
        /// The receiver's address.
        to: SocketAddr,
        /// At most `MAX_DATAGRAM_BYTES` when sealed.
        packet: Packet,
    },
    /// Exchange complete states with this address, over a stream.
    ExchangeState {
        /// The receiver's address.
        to: SocketAddr,
    },
    /// Send this payload over a stream.
    SendStream {
        /// The receiver's address.
        to: SocketAddr,
        /// The payload.
        payload: Payload,
    },
    /// A payload for another subsystem has arrived.
    Received(ReceivedPayload),
    /// A membership change to report to operators.
    Event(Event),
}

/// A membership change that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member that was unknown or dead is live.
    Joined(Peer),
    /// A member did not acknowledge a probe of this node or of another one.
    Suspected(Peer),
    /// A suspected member refuted the suspicion.
    Refuted(Peer),
    /// A suspected member did not refute the suspicion in time.
    Died(Peer),
    /// A member shut down and announced it.
    Left(Peer),
    /// Two live gateways have the same name: the known gateway comes first, the one that joined second.
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
    /// Creates a node without members. All of its random choices come from the seed.
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Random offsets keep nodes that start together from sending at the same instants.
        let mut random_start = |interval: Micros| now + rng.gen_range(1..=interval);
        let first_period = random_start(PROBE_PERIOD);
        let next_gossip = random_start(GOSSIP_INTERVAL);
        let first_reconnect = random_start(MILLISECOND);
        let first_exchange = random_start(ANTI_ENTROPY_INTERVAL);
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

    /// All other known nodes in any state, ordered by instance.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// The other nodes that are alive or suspected.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.live()
    }

    /// When the caller must call `handle_timeout` next.
    pub fn next_deadline(&self) -> Micros {
        let periodic = self.next_gossip.min(self.anti_entropy.next_deadline());
        periodic.min(self.failure_detector.next_deadline())
    }

    /// The next output. The caller executes outputs in this order.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Adds an amount of this gateway to a counter. A new counter expires after `lifetime`.
    pub fn add_to_counter(&mut self, now: Micros, key: &str, amount: f64, lifetime: Micros) {
        self.counter_gossip.add(now, key, amount, lifetime, &self.members);
    }

    /// The sum of all contributions to a counter that this node knows.
    pub fn counter_total(&self, now: Micros, key: &str) -> Option<f64> {
        self.counters().total(now, key)
    }

    /// The contributions to all counters that this node knows.
    pub fn counters(&self) -> &PnCounters {
        self.counter_gossip.counters()
    }

    /// The totals of the counters, ordered by key, as many as fit into one stream message.
    pub fn counter_totals(&self, now: Micros) -> Vec<CounterTotal> {
        self.counter_gossip.totals(now)
    }

    /// Number of counter updates since the start that were not counted or not sent because a limit was reached.
    pub fn dropped_updates(&self) -> u64 {
        self.counter_gossip.dropped_updates()
    }

    /// Runs all timers that have expired.
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

    /// Handles an authenticated packet that arrived from an address.
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
            // The new member may have state that this node never received.
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

    /// Shuts this node down: it sends pending contributions, notifies some members, and exchanges its state with two of
    /// them. Afterwards the node neither sends nor accepts messages.
    pub fn leave(&mut self, now: Micros) {
        self.send_counters(now);
        self.send_own_state(MemberState::Left, LEAVE_FANOUT);
        self.exchange_with_random_members(LEAVE_EXCHANGES);
        self.has_left = true;
    }

    /// Whether this node processes messages of a sender.
    fn accepts(&self, sender: &Peer) -> bool {
        !self.has_left && sender.instance != self.local().instance
    }

    /// Sends a message with the membership updates that were sent least often.
    fn send(&mut self, to: SocketAddr, body: PacketBody) {
        let free_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES;
        let mut updates = self.member_updates.take(&self.members, free_bytes);
        // Only a suspected member itself can refute the suspicion. So a packet to that member, and a request to ping that
        // member, always carries the suspicion.
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

    /// Sends this node's own state to some random members.
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

    /// Applies a membership update from another node. A claim that a member is dead is downgraded to a suspicion until this
    /// node has suspected the member long enough for a refutation to arrive.
    ///
    /// Otherwise a node whose messages reach no other node would declare all others dead, and every node would accept those
    /// claims as soon as its messages arrive again.
    fn apply_gossip(&mut self, now: Micros, mut update: MemberUpdate) {
        if update.state == MemberState::Dead && self.may_refute(now, &update.peer) {
            update.state = MemberState::Suspect;
        }
        self.apply_update(now, update);
    }

    /// Whether a member still has time to refute a claim that it is dead. This node refutes claims about itself at once.
    fn may_refute(&self, now: Micros, peer: &Peer) -> bool {
        self.members.get(peer.instance).is_some_and(|member| match member.state {
            MemberState::Alive => true,
            MemberState::Suspect => now < member.state_since + MIN_REFUTATION_TIME,
            MemberState::Dead | MemberState::Left => false,
        })
    }

    /// Applies an update about a member or about this node, and reacts to the resulting change.
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

    /// Refutes a claim that this node is not alive by raising its incarnation.
    ///
    /// Without the refutation, this node would stay dead for the others after a partition or a pause.
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
            // For example, a partition has healed: each side has state that the other did not receive.
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
            // A new process listens at this address, so the previous process has ended.
            self.apply_update(now, member.update_to(MemberState::Dead));
        }
    }
}
