//! The members that this node knows and the rule by which a newer claim about one replaces an older. It sends nothing:
//! what follows from a change is the node's.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::{gossip, Micros, SECOND};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::scaling;
use super::Event;
use crate::packet::{MemberState, MemberUpdate};
use crate::peer::Peer;

/// How long a member that is gone stays in the table: by then a partition has healed, or operators know of it.
const DEAD_MEMBER_RETENTION: Micros = 600 * SECOND;
/// Members in the table, dead ones included. At the bound no unknown member is added.
pub const MAX_MEMBERS: usize = 4_096;

/// Another node, as this one knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who it is.
    pub peer: Peer,
    /// The highest incarnation that is known.
    pub incarnation: u32,
    /// What it is taken for.
    pub state: MemberState,
    /// When it came to that state, in microseconds of the caller's clock.
    pub state_since: Micros,
    /// When a message of its own last arrived, on the same clock.
    pub last_heard: Micros,
}

impl Member {
    /// The claim about this member that gossip carries, with the state as it is here.
    pub(super) fn update(&self) -> MemberUpdate {
        self.update_to(self.state)
    }

    /// A claim that this member, in its present incarnation, is in another state.
    pub(super) fn update_to(&self, state: MemberState) -> MemberUpdate {
        MemberUpdate { peer: self.peer.clone(), incarnation: self.incarnation, state }
    }
}

/// A member's change of state.
pub(super) struct StateChange {
    pub peer: Peer,
    pub before: MemberState,
    pub before_since: Micros,
    pub after: MemberState,
}

impl StateChange {
    pub fn event(self) -> Option<Event> {
        match (self.before, self.after) {
            (MemberState::Dead, MemberState::Alive | MemberState::Suspect) => Some(Event::Joined(self.peer)),
            (MemberState::Suspect, MemberState::Alive) => Some(Event::Refuted(self.peer)),
            (MemberState::Alive, MemberState::Suspect) => Some(Event::Suspected(self.peer)),
            (MemberState::Alive | MemberState::Suspect, MemberState::Dead) => Some(Event::Died(self.peer)),
            (_, MemberState::Left) => Some(Event::Left(self.peer)),
            _ => None,
        }
    }
}

/// A member that was unknown.
pub(super) struct Addition {
    pub peer: Peer,
    /// Another live node with its name at another address.
    pub duplicate_name: Option<Peer>,
    /// Live members at its address, whose processes must have ended.
    pub replaced: Vec<Member>,
}

/// What a claim about another member did to the table.
pub(super) enum Applied {
    /// It was no newer than what is known, or the table is full.
    Ignored,
    Changed(StateChange),
    Added(Addition),
}

pub(super) struct MemberTable {
    local: Peer,
    members: BTreeMap<Instance, Member>,
}

impl MemberTable {
    pub fn new(local: Peer) -> Self {
        MemberTable { local, members: BTreeMap::new() }
    }

    pub fn local(&self) -> &Peer {
        &self.local
    }

    pub fn get(&self, instance: Instance) -> Option<&Member> {
        self.members.get(&instance)
    }

    pub fn get_live(&self, instance: Instance) -> Option<&Member> {
        self.get(instance).filter(|member| member.state.is_live())
    }

    pub fn contains(&self, instance: Instance) -> bool {
        self.members.contains_key(&instance)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state.is_live())
    }

    pub fn in_state(&self, state: MemberState) -> impl Iterator<Item = &Member> {
        self.iter().filter(move |member| member.state == state)
    }

    /// Addresses of live members, sampled without replacement, without the excluded instance.
    pub fn sample_live(
        &self,
        rng: &mut ChaCha8Rng,
        count: usize,
        excluded: Option<Instance>,
    ) -> Vec<SocketAddr> {
        let others = self.live().filter(|member| Some(member.peer.instance) != excluded);
        let addresses: Vec<SocketAddr> = others.map(|member| member.peer.address).collect();
        addresses.choose_multiple(rng, count).copied().collect()
    }

    pub fn suspicion_timeout(&self) -> Micros {
        scaling::suspicion_timeout(self.members.len())
    }

    pub fn detection_delay(&self) -> Micros {
        scaling::detection_delay(self.members.len())
    }

    pub fn transmission_limit(&self) -> u32 {
        gossip::transmission_limit(self.members.len())
    }

    pub fn heard_from(&mut self, now: Micros, instance: Instance) {
        if let Some(member) = self.members.get_mut(&instance) {
            member.last_heard = now;
        }
    }

    /// Removes members that have been gone for long.
    pub fn remove_expired(&mut self, now: Micros) {
        self.members
            .retain(|_, member| member.state.is_live() || now < member.state_since + DEAD_MEMBER_RETENTION);
    }

    /// Applies a claim about another member if it is newer than what is known.
    ///
    /// The higher incarnation wins, and within one the worse state, since only the member itself raises its incarnation. A
    /// member that left stays so.
    pub fn apply(&mut self, now: Micros, update: MemberUpdate) -> Applied {
        let Some(known) = self.members.get_mut(&update.peer.instance) else {
            if !update.state.is_live() || self.members.len() >= MAX_MEMBERS {
                return Applied::Ignored;
            }
            return Applied::Added(self.add(now, update));
        };
        if known.state == MemberState::Left
            || (update.incarnation, update.state) <= (known.incarnation, known.state)
        {
            return Applied::Ignored;
        }
        let change = StateChange {
            peer: update.peer.clone(),
            before: known.state,
            before_since: known.state_since,
            after: update.state,
        };
        known.peer = update.peer;
        known.incarnation = update.incarnation;
        known.state = update.state;
        known.state_since = now;
        Applied::Changed(change)
    }

    fn add(&mut self, now: Micros, update: MemberUpdate) -> Addition {
        let MemberUpdate { peer, incarnation, state } = update;
        let addition = Addition {
            duplicate_name: self.other_of_name(&peer).cloned(),
            replaced: self.live().filter(|member| member.peer.address == peer.address).cloned().collect(),
            peer: peer.clone(),
        };
        let instance = peer.instance;
        let member = Member { peer, incarnation, state, state_since: now, last_heard: now };
        self.members.insert(instance, member);
        addition
    }

    /// A live node that has this one's name and another address.
    fn other_of_name(&self, peer: &Peer) -> Option<&Peer> {
        let nodes = self.live().map(|member| &member.peer).chain(std::iter::once(&self.local));
        nodes.into_iter().find(|node| node.name == peer.name && node.address != peer.address)
    }
}
