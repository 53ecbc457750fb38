//! Decides which leases a gateway claims and when it hands a lease over, by the ranks of the live gateways for each
//! lease. The acceptors decide which gateway holds a lease, so differing views of the fleet cost only one more change
//! of the holder.
//!
//! Only the gateways with the best ranks for a lease claim it; a large fleet would otherwise send the acceptors many
//! claims that cannot succeed. The gateway of the first rank offers to take the lease over, and the holder hands the
//! lease over after its minimum tenure. An unwilling gateway sends no offers, so the other gateways need not know that
//! it is unwilling.

use std::collections::BTreeMap;

use crate::candidate::Candidate;
use crate::ranking::{ranked, Participant};
use crate::{LeaseSettings, Micros, Name, MILLISECOND, SECOND};

/// Number of gateways that claim one lease. If the holder and its successor fail together, a third claimant remains.
const MAX_CLAIMANTS: usize = 3;
/// Delay between the claims of two successive ranks, in which the better rank receives its replies.
const CLAIM_STAGGER: Micros = 100 * MILLISECOND;
/// How long a gateway must have the first rank before it sends an offer, as members join and leave in groups.
const OFFER_DELAY: Micros = 2 * SECOND;
/// Minimum tenure of a holder, in lease durations. A change of the holder loses the state that the holder has built up.
const MIN_TENURE: u64 = 10;

/// The candidacy of one gateway for all leases that it can hold.
#[derive(Clone, Debug)]
pub struct Candidacy {
    name: Name,
    settings: LeaseSettings,
    participants: Vec<Participant>,
    rankings: BTreeMap<Name, LeaseRanking>,
    is_willing: bool,
    is_shut_down: bool,
}

/// The rank of this gateway for one lease.
#[derive(Clone, Debug)]
struct LeaseRanking {
    /// Counted from 0; `usize::MAX` if this gateway is not a participant.
    rank: usize,
    /// The other gateways with the best ranks, in the order of their ranks.
    successors: Vec<Name>,
    /// Since when this gateway has had the first rank.
    first_rank_since: Option<Micros>,
    next_offer_at: Micros,
}

impl LeaseRanking {
    fn new(
        name: &Name,
        lease: &Name,
        participants: &[Participant],
        first_rank_since: Option<Micros>,
    ) -> Self {
        let order = ranked(lease, participants);
        let rank = order.iter().position(|other| other == name).unwrap_or(usize::MAX);
        let others = order.into_iter().filter(|other| other != name);
        LeaseRanking {
            rank,
            successors: others.take(MAX_CLAIMANTS).collect(),
            first_rank_since,
            next_offer_at: 0,
        }
    }

    fn is_claimant(&self) -> bool {
        self.rank < MAX_CLAIMANTS
    }

    fn start_delay(&self) -> Micros {
        self.rank.min(MAX_CLAIMANTS) as Micros * CLAIM_STAGGER
    }

    fn observe_rank(&mut self, now: Micros, is_willing: bool) {
        if self.rank > 0 || !is_willing {
            self.first_rank_since = None;
        } else {
            self.first_rank_since = self.first_rank_since.or(Some(now));
        }
    }

    fn is_offer_due(&self, now: Micros) -> bool {
        self.first_rank_since.is_some_and(|since| now >= since + OFFER_DELAY) && now >= self.next_offer_at
    }
}

impl Candidacy {
    /// A candidacy without any leases.
    pub fn new(name: &Name, settings: LeaseSettings) -> Self {
        Candidacy {
            name: name.clone(),
            settings,
            participants: Vec::new(),
            rankings: BTreeMap::new(),
            is_willing: true,
            is_shut_down: false,
        }
    }

    /// Registers a lease that this gateway can hold. Returns false if another part of the gateway has already
    /// registered a lease of this name, as two parts must not act under one lease.
    pub fn add(&mut self, lease: &Name) -> bool {
        if self.rankings.contains_key(lease) {
            return false;
        }
        let ranking = LeaseRanking::new(&self.name, lease, &self.participants, None);
        self.rankings.insert(lease.clone(), ranking);
        true
    }

    /// Updates the live gateways, including this gateway. Call this when they change and several times a second.
    pub fn update(&mut self, now: Micros, participants: &[Participant], candidate: &mut Candidate) {
        if self.is_shut_down {
            return;
        }
        if self.participants != participants {
            self.update_rankings(participants);
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
                ranking.next_offer_at = now + self.settings.duration;
                candidate.offer(lease);
            }
        }
    }

    fn update_rankings(&mut self, participants: &[Participant]) {
        self.participants = participants.to_vec();
        for (lease, ranking) in &mut self.rankings {
            *ranking = LeaseRanking::new(&self.name, lease, &self.participants, ranking.first_rank_since);
        }
    }

    /// Handles an offer: the gateway `from` reports that it has the first rank for a lease that this gateway holds.
    pub fn offer_received(&mut self, now: Micros, lease: &Name, from: &Name, candidate: &mut Candidate) {
        let Some(ranking) = self.rankings.get(lease) else { return };
        let min_tenure = MIN_TENURE * self.settings.duration;
        let has_served = candidate.held_since(now, lease).is_some_and(|since| now >= since + min_tenure);
        // A gateway that lacks the first rank in this view would receive an offer itself at once, and hand the lease
        // back.
        if has_served && ranking.rank > 0 && ranking.successors.first() == Some(from) {
            candidate.hand_over(now, lease, std::slice::from_ref(from));
        }
    }

    /// Hands a lease over to its successors at an operator's request. Returns false if this gateway does not hold the
    /// lease.
    pub fn release(&mut self, now: Micros, lease: &Name, candidate: &mut Candidate) -> bool {
        let is_held = candidate.held_since(now, lease).is_some();
        if let Some(ranking) = self.rankings.get(lease).filter(|_| is_held) {
            candidate.hand_over(now, lease, &ranking.successors);
        }
        is_held
    }

    /// Hands all leases over to their successors and claims none from now on.
    pub fn shut_down(&mut self, now: Micros, candidate: &mut Candidate) {
        self.is_shut_down = true;
        for (lease, ranking) in &self.rankings {
            candidate.hand_over(now, lease, &ranking.successors);
        }
        candidate.release_all();
    }

    /// The rank of this gateway for a lease, from 0; `usize::MAX` if this gateway cannot hold the lease.
    pub fn rank(&self, lease: &str) -> usize {
        self.rankings.get(lease).map_or(usize::MAX, |ranking| ranking.rank)
    }
}
