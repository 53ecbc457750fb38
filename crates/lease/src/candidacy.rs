//! Which leases a gateway wants, and when it hands one over: by the rank of the gateways that are present, for each lease.
//! It never decides who holds a lease: the acceptors do, so that views that differ cost one more change of the holder.
//!
//! Only gateways of the best ranks for a lease claim it, so that a large fleet does not ask acceptors in vain. The gateway of
//! the first rank offers itself to the holder, which hands the lease over once it has held it for its minimum tenure. An
//! unwilling gateway offers nothing, so that nobody needs to be notified that it is unwilling.

use std::collections::BTreeMap;

use crate::candidate::Candidate;
use crate::ranking::{ranked, Participant};
use crate::{LeaseSettings, Micros, Name, MILLISECOND, SECOND};

/// Gateways that claim one lease: if the holder and the next one end together, one is left that has waited.
const MAX_CLAIMANTS: usize = 3;
/// Delay from the claim of one rank to that of the next, in which the first has its answers.
const CLAIM_STAGGER: Micros = 100 * MILLISECOND;
/// A gateway offers itself once it has had the first rank for this long, as members join and leave in groups.
const OFFER_DELAY: Micros = 2 * SECOND;
/// A holder keeps a lease for at least so many times its duration: a change of the holder loses what it has learnt.
const MIN_TENURE: u64 = 10;

/// The candidacy of one gateway for all leases that it can hold.
#[derive(Clone, Debug)]
pub struct Candidacy {
    name: Name,
    terms: LeaseSettings,
    participants: Vec<Participant>,
    rankings: BTreeMap<Name, LeaseRanking>,
    is_willing: bool,
    is_shut_down: bool,
}

/// The rank of this gateway for one lease.
#[derive(Clone, Debug)]
struct LeaseRanking {
    /// Counted from 0; `usize::MAX` where this gateway is no participant.
    rank: usize,
    /// The other gateways of the best ranks, in their order.
    successors: Vec<Name>,
    first_since: Option<Micros>,
    next_offer: Micros,
}

impl LeaseRanking {
    fn new(name: &Name, lease: &Name, participants: &[Participant], first_since: Option<Micros>) -> Self {
        let order = ranked(lease, participants);
        let rank = order.iter().position(|other| other == name).unwrap_or(usize::MAX);
        let others = order.into_iter().filter(|other| other != name);
        LeaseRanking { rank, successors: others.take(MAX_CLAIMANTS).collect(), first_since, next_offer: 0 }
    }

    fn is_claimant(&self) -> bool {
        self.rank < MAX_CLAIMANTS
    }

    fn start_delay(&self) -> Micros {
        self.rank.min(MAX_CLAIMANTS) as Micros * CLAIM_STAGGER
    }

    fn observe_rank(&mut self, now: Micros, is_willing: bool) {
        if self.rank > 0 || !is_willing {
            self.first_since = None;
        } else {
            self.first_since = self.first_since.or(Some(now));
        }
    }

    fn is_offer_due(&self, now: Micros) -> bool {
        self.first_since.is_some_and(|since| now >= since + OFFER_DELAY) && now >= self.next_offer
    }
}

impl Candidacy {
    /// A gateway that can hold no lease yet.
    pub fn new(name: &Name, terms: LeaseSettings) -> Self {
        Candidacy {
            name: name.clone(),
            terms,
            participants: Vec::new(),
            rankings: BTreeMap::new(),
            is_willing: true,
            is_shut_down: false,
        }
    }

    /// Registers a lease that this gateway can hold. Returns false where another part of the gateway has registered one of
    /// this name, as two must not act by one lease.
    pub fn add(&mut self, lease: &Name) -> bool {
        if self.rankings.contains_key(lease) {
            return false;
        }
        let ranking = LeaseRanking::new(&self.name, lease, &self.participants, None);
        self.rankings.insert(lease.clone(), ranking);
        true
    }

    /// Takes the gateways that are present, with this one. To be called when they change, and several times a second.
    pub fn update(&mut self, now: Micros, participants: &[Participant], candidate: &mut Candidate) {
        if self.is_shut_down {
            return;
        }
        if self.participants != participants {
            self.rank_again(participants);
        }
        let is_self = |participant: &&Participant| participant.name == self.name;
        let is_willing = participants.iter().filter(is_self).any(|participant| !participant.unwilling);
        let became_unwilling = self.is_willing && !is_willing;
        self.is_willing = is_willing;
        for (lease, ranking) in &mut self.rankings {
            if became_unwilling {
                candidate.hand_over(now, lease, &ranking.successors);
            }
            if ranking.is_claimant() || candidate.held_since(now, lease).is_some() {
                candidate.pursue(now, lease, ranking.start_delay());
            } else {
                candidate.release(lease);
            }
            ranking.observe_rank(now, is_willing);
            if ranking.is_offer_due(now) {
                ranking.next_offer = now + self.terms.duration;
                candidate.offer(lease);
            }
        }
    }

    fn rank_again(&mut self, participants: &[Participant]) {
        self.participants = participants.to_vec();
        for (lease, ranking) in &mut self.rankings {
            *ranking = LeaseRanking::new(&self.name, lease, &self.participants, ranking.first_since);
        }
    }

    /// The gateway `from` claims to have the first rank for a lease that is held here.
    pub fn offer_received(&mut self, now: Micros, lease: &Name, from: &Name, candidate: &mut Candidate) {
        let Some(ranking) = self.rankings.get(lease) else { return };
        let min_tenure = MIN_TENURE * self.terms.duration;
        let has_served = candidate.held_since(now, lease).is_some_and(|since| now >= since + min_tenure);
        // A gateway without the first rank by this view would be asked to hand it over again at once.
        if has_served && ranking.rank > 0 && ranking.successors.first() == Some(from) {
            candidate.hand_over(now, lease, std::slice::from_ref(from));
        }
    }

    /// Hands a lease over to the next ones, as operators want. Returns false where it is not held here.
    pub fn release(&mut self, now: Micros, lease: &Name, candidate: &mut Candidate) -> bool {
        let is_held = candidate.held_since(now, lease).is_some();
        if let Some(ranking) = self.rankings.get(lease).filter(|_| is_held) {
            candidate.hand_over(now, lease, &ranking.successors);
        }
        is_held
    }

    /// Hands all leases over to the next ones, and wants none any more.
    pub fn shut_down(&mut self, now: Micros, candidate: &mut Candidate) {
        self.is_shut_down = true;
        for (lease, ranking) in &self.rankings {
            candidate.hand_over(now, lease, &ranking.successors);
        }
        candidate.release_all();
    }

    /// The rank of this gateway for a lease, from 0; `usize::MAX` where it can't hold it.
    pub fn rank(&self, lease: &str) -> usize {
        self.rankings.get(lease).map_or(usize::MAX, |ranking| ranking.rank)
    }
}
