//! SWIM's failure detector: direct and indirect probes, and suspicions that time out. It decides which members are suspect or
//! dead; `member_updates` disseminates the decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::{Micros, MILLISECOND};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::members::{Member, MemberTable};
use super::scaling::PROBE_PERIOD;
use super::Node;
use crate::packet::{MemberState, MemberUpdate, PacketBody};
use crate::peer::Peer;

/// How long a node waits for an acknowledgement before it asks other members to ping.
const ACK_TIMEOUT: Micros = 80 * MILLISECOND;
/// Number of members that are asked to ping a member that did not acknowledge. A live member is missed only if all of their
/// links are faulty.
const INDIRECT_PROBES: usize = 3;
/// Number of suspects that are pinged in each period, in addition to the probed member.
const SUSPECTS_PER_PERIOD: usize = 3;
/// Number of members that are asked to ping each of those suspects.
const INDIRECT_PROBES_OF_SUSPECT: usize = 2;
/// Maximum number of pings in flight on behalf of other nodes. At the limit, ping requests are ignored.
const MAX_FORWARDED_PINGS: usize = 256;

struct Probe {
    instance: Instance,
    sequence_number: u64,
    /// Whether other members have been asked to ping the probed member.
    indirect: bool,
    started_at: Micros,
}

/// A ping on behalf of another node. The acknowledgement is forwarded to the requester.
struct ForwardedPing {
    requester: SocketAddr,
    sequence_number: u64,
    expires_at: Micros,
}

pub(super) struct FailureDetector {
    /// Members that are still to be probed in the current round, in reverse order. Each round has a random order.
    probe_order: Vec<Instance>,
    probe: Option<Probe>,
    forwarded_pings: BTreeMap<u64, ForwardedPing>,
    last_sequence_number: u64,
    next_period: Micros,
}

impl FailureDetector {
    pub fn new(first_period: Micros) -> Self {
        FailureDetector {
            probe_order: Vec::new(),
            probe: None,
            forwarded_pings: BTreeMap::new(),
            last_sequence_number: 0,
            next_period: first_period,
        }
    }

    /// Stops all probing. Afterwards there is no deadline.
    pub fn stop(&mut self) {
        self.probe = None;
        self.next_period = Micros::MAX;
    }

    /// When the next timer of the failure detector expires.
    pub fn next_deadline(&self) -> Micros {
        let direct = self.probe.as_ref().filter(|probe| !probe.indirect);
        direct.map_or(self.next_period, |probe| self.next_period.min(probe.started_at + ACK_TIMEOUT))
    }

    pub fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Starts a new period if the current one has ended, and returns whether it did.
    fn start_period(&mut self, now: Micros) -> bool {
        if now < self.next_period {
            return false;
        }
        self.next_period = now + PROBE_PERIOD;
        true
    }

    /// The probed member and the sequence number of the probe, if the acknowledgement is late. Each probe is returned once.
    fn take_unacknowledged(&mut self, now: Micros) -> Option<(Instance, u64)> {
        let probe = self.probe.as_mut()?;
        if probe.indirect || now < probe.started_at + ACK_TIMEOUT {
            return None;
        }
        probe.indirect = true;
        Some((probe.instance, probe.sequence_number))
    }

    /// The next live member of the round. Starts a new round if the current one has ended.
    fn next_target<'a>(&mut self, members: &'a MemberTable, rng: &mut ChaCha8Rng) -> Option<&'a Member> {
        for _ in 0..=members.iter().count() {
            if self.probe_order.is_empty() {
                self.probe_order = members.live().map(|member| member.peer.instance).collect();
                self.probe_order.shuffle(rng);
            }
            let instance = self.probe_order.pop()?;
            let target = members.get_live(instance);
            if target.is_some() {
                return target;
            }
        }
        None
    }

    /// Records that a member is being probed, and returns the sequence number of the ping.
    fn start_probe(&mut self, now: Micros, instance: Instance) -> u64 {
        let sequence_number = self.next_sequence_number();
        self.probe = Some(Probe { instance, sequence_number, indirect: false, started_at: now });
        sequence_number
    }

    /// Records a ping on behalf of another node and returns the sequence number of the forwarded ping, or `None` at the limit.
    fn forward_ping(&mut self, now: Micros, requester: SocketAddr, sequence_number: u64) -> Option<u64> {
        if self.forwarded_pings.len() >= MAX_FORWARDED_PINGS {
            return None;
        }
        let forwarded = self.next_sequence_number();
        let ping = ForwardedPing { requester, sequence_number, expires_at: now + PROBE_PERIOD };
        self.forwarded_pings.insert(forwarded, ping);
        Some(forwarded)
    }

    fn remove_expired_pings(&mut self, now: Micros) {
        self.forwarded_pings.retain(|_, ping| ping.expires_at > now);
    }
}

impl Node {
    pub(super) fn handle_probe_timeouts(&mut self, now: Micros) {
        self.probe_indirectly(now);
        if self.failure_detector.start_period(now) {
            self.end_period(now);
            self.probe_next(now);
            self.probe_suspects();
        }
    }

    fn probe_indirectly(&mut self, now: Micros) {
        let Some((instance, sequence_number)) = self.failure_detector.take_unacknowledged(now) else {
            return;
        };
        let Some(peer) = self.members.get(instance).map(|member| member.peer.clone()) else { return };
        self.request_pings(&peer, sequence_number, INDIRECT_PROBES);
    }

    fn request_pings(&mut self, peer: &Peer, sequence_number: u64, count: usize) {
        for to in self.members.sample_live(&mut self.rng, count, Some(peer.instance)) {
            self.send(to, PacketBody::PingRequest(sequence_number, peer.clone()));
        }
    }

    pub(super) fn ping(&mut self, to: SocketAddr) -> u64 {
        let sequence_number = self.failure_detector.next_sequence_number();
        self.send(to, PacketBody::Ping(sequence_number));
        sequence_number
    }

    /// Suspects the member that did not acknowledge the probe, and removes expired state.
    fn end_period(&mut self, now: Micros) {
        if let Some(probe) = self.failure_detector.probe.take() {
            self.suspect(now, probe.instance);
        }
        self.failure_detector.remove_expired_pings(now);
        self.counter_gossip.remove_expired(now);
        self.declare_dead(now);
        self.members.remove_expired(now);
    }

    fn suspect(&mut self, now: Micros, instance: Instance) {
        let alive = self.members.get(instance).filter(|member| member.state == MemberState::Alive);
        if let Some(update) = alive.map(|member| member.update_to(MemberState::Suspect)) {
            self.apply_update(now, update);
        }
    }

    /// Declares members dead whose suspicion was not refuted in time.
    fn declare_dead(&mut self, now: Micros) {
        let timeout = self.members.suspicion_timeout();
        let suspects = self.members.in_state(MemberState::Suspect);
        let dead: Vec<MemberUpdate> = suspects
            .filter(|member| now >= member.state_since + timeout)
            .map(|member| member.update_to(MemberState::Dead))
            .collect();
        for update in dead {
            self.apply_update(now, update);
        }
    }

    fn probe_next(&mut self, now: Micros) {
        let Some(target) = self.failure_detector.next_target(&self.members, &mut self.rng) else { return };
        let to = target.peer.address;
        let sequence_number = self.failure_detector.start_probe(now, target.peer.instance);
        self.send(to, PacketBody::Ping(sequence_number));
    }

    /// Pings some suspects and asks other members to ping them. The pings tell the suspects about the suspicion.
    ///
    /// Refutations travel only by gossip. If datagrams are lost, a member may miss a refutation and declare a live gateway
    /// dead. The members that are asked to ping are sampled in each period, since in a partitioned fleet perhaps only one
    /// member reaches both sides.
    fn probe_suspects(&mut self) {
        let suspects: Vec<Peer> =
            self.members.in_state(MemberState::Suspect).map(|member| member.peer.clone()).collect();
        let sampled: Vec<Peer> =
            suspects.choose_multiple(&mut self.rng, SUSPECTS_PER_PERIOD).cloned().collect();
        for peer in sampled {
            let sequence_number = self.ping(peer.address);
            self.request_pings(&peer, sequence_number, INDIRECT_PROBES_OF_SUSPECT);
        }
    }

    pub(super) fn handle_ping_request(
        &mut self,
        now: Micros,
        requester: SocketAddr,
        sequence_number: u64,
        target: &Peer,
    ) {
        if let Some(forwarded) = self.failure_detector.forward_ping(now, requester, sequence_number) {
            self.send(target.address, PacketBody::Ping(forwarded));
        }
    }

    pub(super) fn handle_ack(&mut self, now: Micros, sender: &Peer, sequence_number: u64) {
        if let Some(ping) = self.failure_detector.forwarded_pings.remove(&sequence_number) {
            self.forward_ack(ping, sender);
            return;
        }
        let acknowledged = |probe: &mut Probe| probe.sequence_number == sequence_number;
        let Some(probe) = self.failure_detector.probe.take_if(acknowledged) else { return };
        let Some(member) = self.members.get(probe.instance) else { return };
        if member.peer.address == sender.address && member.peer.instance != sender.instance {
            // Another process answers at the member's address, so the probed process has ended.
            let update = member.update_to(MemberState::Dead);
            self.apply_update(now, update);
        }
    }

    /// Forwards an acknowledgement. It includes the sender, since the requester must know which instance answered.
    fn forward_ack(&mut self, ping: ForwardedPing, sender: &Peer) {
        let incarnation = self.members.get(sender.instance).map_or(0, |member| member.incarnation);
        let alive = MemberUpdate { peer: sender.clone(), incarnation, state: MemberState::Alive };
        self.send_packet(ping.requester, PacketBody::Ack(ping.sequence_number), vec![alive], Vec::new());
    }
}
