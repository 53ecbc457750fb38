//! Which jobs a gateway wants, and when it hands one over: by each job's order of those who are there now.
//!
//! Only the first few of a job's order want it, so that a large fleet does not ask voters for what it will not get. Whoever
//! comes first by now offers itself to the owner, which hands over once it has had the job for its least stay: a gateway
//! that had better not offers nothing, so that nobody need be told of that. Views that differ cost a move more; who owns
//! is agreed by the voters.

use std::collections::BTreeMap;

use crate::candidate::Candidate;
use crate::ranking::{ranked, Participant};
use crate::{LeaseTerms, Micros, Name, MILLISECOND, SECOND};

/// So many of a job's order want it: when the owner and one more end at once, there is still one that has waited.
const MAX_CLAIMANTS: usize = 3;
/// Between the claims of those, so that the first has it before the next asks.
const CLAIM_STAGGER: Micros = 100 * MILLISECOND;
/// For how long a gateway must have come first before it offers itself: members come and go in crowds.
const OFFER_DELAY: Micros = 2 * SECOND;
/// An owner keeps a job for so many leases at the least: a change costs what it has learnt.
const MIN_TENURE: u64 = 10;

#[derive(Clone, Debug, Default)]
struct LeaseRanking {
    /// The gateways in this job's order, this one's place, and since when it comes first.
    order: Vec<Name>,
    rank: usize,
    ranked_first_since: Option<Micros>,
    next_offer: Micros,
}

#[derive(Clone, Debug)]
pub struct Candidacy {
    name: Name,
    terms: LeaseTerms,
    participants: Vec<Participant>,
    rankings: BTreeMap<Name, LeaseRanking>,
    willing: bool,
    shut_down: bool,
}

impl Candidacy {
    pub fn new(name: &Name, terms: LeaseTerms) -> Self {
        let (name, rankings) = (name.clone(), BTreeMap::new());
        Candidacy { name, terms, participants: Vec::new(), rankings, willing: true, shut_down: false }
    }

    /// This gateway can do a job. False: something else here does one of that name already, and two must not.
    pub fn add(&mut self, lease: &Name) -> bool {
        let fresh = !self.rankings.contains_key(lease);
        if fresh {
            let ranking = self.rank_lease(lease, None);
            self.rankings.insert(lease.clone(), ranking);
        }
        fresh
    }

    fn rank_lease(&self, lease: &Name, since: Option<Micros>) -> LeaseRanking {
        let order = ranked(lease, &self.participants);
        let rank = order.iter().position(|name| *name == self.name).unwrap_or(usize::MAX);
        let successors = order.into_iter().filter(|name| *name != self.name).take(MAX_CLAIMANTS).collect();
        LeaseRanking { order: successors, rank, ranked_first_since: since, next_offer: 0 }
    }

    /// Who is there now, this gateway too; to be called when that changes, and some times a second.
    pub fn update(&mut self, now: Micros, participants: &[Participant], candidate: &mut Candidate) {
        if self.shut_down {
            return;
        }
        if self.participants != participants {
            self.participants = participants.to_vec();
            let leases: Vec<Name> = self.rankings.keys().cloned().collect();
            for lease in leases {
                let since = self.rankings.get(&lease).and_then(|ranking| ranking.ranked_first_since);
                let ranking = self.rank_lease(&lease, since);
                self.rankings.insert(lease, ranking);
            }
        }
        let willing =
            participants.iter().any(|participant| participant.name == self.name && !participant.unwilling);
        let became_unwilling = std::mem::replace(&mut self.willing, willing) && !willing;
        for (lease, ranking) in &mut self.rankings {
            if became_unwilling {
                candidate.hand_over(now, lease, &ranking.order);
            }
            if ranking.rank < MAX_CLAIMANTS || candidate.held_since(now, lease).is_some() {
                candidate.pursue(now, lease, ranking.rank.min(MAX_CLAIMANTS) as Micros * CLAIM_STAGGER);
            } else {
                candidate.release(lease);
            }
            ranking.ranked_first_since = match ranking.ranked_first_since {
                _ if ranking.rank > 0 || !willing => None,
                since => since.or(Some(now)),
            };
            if ranking.ranked_first_since.is_some_and(|since| now >= since + OFFER_DELAY)
                && now >= ranking.next_offer
            {
                ranking.next_offer = now + self.terms.duration;
                candidate.offer(lease);
            }
        }
    }

    /// Another says that it comes first for a job that this gateway owns.
    pub fn offer_received(&mut self, now: Micros, lease: &Name, by: &Name, candidate: &mut Candidate) {
        let Some(ranking) = self.rankings.get(lease) else { return };
        let tenure_over = candidate
            .held_since(now, lease)
            .is_some_and(|since| now >= since + MIN_TENURE * self.terms.duration);
        // Who is not first here as well would be asked to hand it over again at once.
        if tenure_over && ranking.rank > 0 && ranking.order.first() == Some(by) {
            candidate.hand_over(now, lease, std::slice::from_ref(by));
        }
    }

    /// Its operators want this job to be another's. False where it is not owned here.
    pub fn release(&mut self, now: Micros, lease: &Name, candidate: &mut Candidate) -> bool {
        let held = candidate.held_since(now, lease).is_some();
        if let Some(ranking) = self.rankings.get(lease).filter(|_| held) {
            candidate.hand_over(now, lease, &ranking.order);
        }
        held
    }

    /// This gateway ends: what it owns goes to the next ones, and it wants nothing more.
    pub fn shut_down(&mut self, now: Micros, candidate: &mut Candidate) {
        self.shut_down = true;
        for (lease, ranking) in &self.rankings {
            candidate.hand_over(now, lease, &ranking.order);
        }
        candidate.release_all();
    }

    /// This gateway's place in a job's order, from 0; the last where it does not do it.
    pub fn rank(&self, lease: &str) -> usize {
        self.rankings.get(lease).map_or(usize::MAX, |ranking| ranking.rank)
    }
}
