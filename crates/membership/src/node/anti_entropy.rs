//! Anti-entropy, which repairs what gossip missed: complete state exchanges with a random member, and pings to nodes that are
//! not live members, so that partitions heal. This module decides when and with which nodes; the caller owns the streams.

use std::net::SocketAddr;

use fernscale_shared_counter::{Micros, SECOND};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Node, Output};
use crate::packet::{FullState, MemberState, MemberUpdate};

/// Interval between pings to a dead member or a seed.
const RECONNECT_INTERVAL: Micros = SECOND;
/// Mean time between two complete state exchanges that this node starts.
pub(super) const ANTI_ENTROPY_INTERVAL: Micros = 10 * SECOND;

pub(super) struct AntiEntropy {
    next_reconnect: Micros,
    next_exchange: Micros,
}

impl AntiEntropy {
    pub fn new(first_reconnect: Micros, first_exchange: Micros) -> Self {
        AntiEntropy { next_reconnect: first_reconnect, next_exchange: first_exchange }
    }

    /// Stops anti-entropy. Afterwards there is no deadline.
    pub fn stop(&mut self) {
        self.next_reconnect = Micros::MAX;
        self.next_exchange = Micros::MAX;
    }

    pub fn next_deadline(&self) -> Micros {
        self.next_reconnect.min(self.next_exchange)
    }

    fn start_reconnect(&mut self, now: Micros) -> bool {
        if now < self.next_reconnect {
            return false;
        }
        self.next_reconnect = now + RECONNECT_INTERVAL;
        true
    }

    fn start_exchange(&mut self, now: Micros, rng: &mut ChaCha8Rng) -> bool {
        if now < self.next_exchange {
            return false;
        }
        self.next_exchange = now + ANTI_ENTROPY_INTERVAL / 2 + rng.gen_range(0..ANTI_ENTROPY_INTERVAL);
        true
    }
}

impl Node {
    pub(super) fn handle_anti_entropy_timeouts(&mut self, now: Micros) {
        if self.anti_entropy.start_reconnect(now) {
            self.reconnect();
        }
        if self.anti_entropy.start_exchange(now, &mut self.rng) {
            self.exchange_with_random_members(1);
        }
    }

    pub(super) fn exchange_with_random_members(&mut self, count: usize) {
        for to in self.members.sample_live(&mut self.rng, count, None) {
            self.outputs.push_back(Output::ExchangeState { to });
        }
    }

    /// Pings one random address among the dead members and the seeds that are not live members. A node without live members
    /// pings all of these addresses, since a single seed may be down.
    fn reconnect(&mut self) {
        let live: Vec<SocketAddr> = self.members.live().map(|member| member.peer.address).collect();
        let dead = self.members.in_state(MemberState::Dead).map(|member| member.peer.address);
        let local = self.members.local().address;
        let mut candidates: Vec<SocketAddr> = dead.chain(self.seeds.iter().copied()).collect();
        candidates.retain(|address| *address != local && !live.contains(address));
        candidates.sort();
        candidates.dedup();
        if !live.is_empty() {
            candidates = candidates.choose(&mut self.rng).copied().into_iter().collect();
        }
        for to in candidates {
            self.ping(to);
        }
    }

    /// The complete state of this node, for an exchange over a stream.
    pub fn full_state(&self, now: Micros) -> FullState {
        let present = self.members.iter().filter(|member| member.state != MemberState::Left);
        FullState {
            sender: self.members.local().clone(),
            incarnation: self.incarnation,
            updates: present.map(super::members::Member::update).collect(),
            counters: self.counter_gossip.entries(now),
        }
    }

    /// Handles the complete state of another node. The caller has authenticated the sender.
    pub fn handle_full_state(&mut self, now: Micros, state: FullState) {
        let FullState { sender, incarnation, updates, counters } = state;
        if !self.accepts(&sender) {
            return;
        }
        self.apply_update(now, MemberUpdate { peer: sender, incarnation, state: MemberState::Alive });
        for update in updates {
            self.apply_gossip(now, update);
        }
        self.counter_gossip.merge(now, counters, &self.members);
    }
}
