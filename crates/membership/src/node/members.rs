//! The members that this node knows, and the rule by which a newer update about a member replaces an older one. The table
//! sends nothing: `Node` reacts to the changes.

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

/// How long a dead member stays in the table. A partition has healed by then, or operators know about it.
const DEAD_MEMBER_RETENTION: Micros = 600 * SECOND;
/// Maximum number of members in the table, including dead ones. A full table accepts no unknown members.
pub const MAX_MEMBERS: usize = 4_096;

/// What this node knows about another node.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member's identity.
    pub peer: Peer,
    /// The highest known incarnation.
    pub incarnation: u32,
    /// The member's state according to this node.
    pub state: MemberState,
    /// When the state last changed, in microseconds of the caller's clock.
    pub state_since: Micros,
    /// When this node last received a message from the member, on the same clock.
    pub last_heard: Micros,
}

impl Member {
    /// The update about this member that gossip sends, with the state that this node has recorded.
    pub(super) fn update(&self) -> MemberUpdate {
        self.update_to(self.state)
    }

    /// An update that moves this member, in its current incarnation, to another state.
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

/// The effect of an update on the table.
pub(super) enum Applied {
    /// The update was not newer than the known state, or the table is full.
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

    /// Addresses of random live members, sampled without replacement. The excluded instance is never sampled.
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

    /// Removes members that have been dead or gone for `DEAD_MEMBER_RETENTION`.
    pub fn remove_expired(&mut self, now: Micros) {
        self.members
            .retain(|_, member| member.state.is_live() || now < member.state_since + DEAD_MEMBER_RETENTION);
    }

    /// Applies an update about another member if it is newer than the known state.
    ///
    /// The higher incarnation wins. Within one incarnation the worse state wins, since only the member itself raises its
    /// incarnation. The state `Left` is final.
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
            duplicate_name: self.find_duplicate_name(&peer).cloned(),
            replaced: self.live().filter(|member| member.peer.address == peer.address).cloned().collect(),
            peer: peer.clone(),
        };
        let instance = peer.instance;
        let member = Member { peer, incarnation, state, state_since: now, last_heard: now };
        self.members.insert(instance, member);
        addition
    }

    /// Finds a live node that has the peer's name and another address.
    fn find_duplicate_name(&self, peer: &Peer) -> Option<&Peer> {
        let nodes = self.live().map(|member| &member.peer).chain(std::iter::once(&self.local));
        nodes.into_iter().find(|node| node.name == peer.name && node.address != peer.address)
    }
}
