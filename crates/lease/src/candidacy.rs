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
const RUNNERS: usize = 3;
/// Between the claims of those, so that the first has it before the next asks.
const STEP: Micros = 100 * MILLISECOND;
/// For how long a gateway must have come first before it offers itself: members come and go in crowds.
const SETTLED: Micros = 2 * SECOND;
/// An owner keeps a job for so many leases at the least: a change costs what it has learnt.
const STAY: u64 = 10;

#[derive(Clone, Debug, Default)]
struct Wish {
    /// The gateways in this job's order, this one's place, and since when it comes first.
    order: Vec<Name>,
    place: usize,
    first_since: Option<Micros>,
    offers: Micros,
}

#[derive(Clone, Debug)]
pub struct Candidacy {
    me: Name,
    terms: LeaseTerms,
    candidates: Vec<Participant>,
    wishes: BTreeMap<Name, Wish>,
    willing: bool,
    ended: bool,
}

impl Candidacy {
    pub fn new(me: &Name, terms: LeaseTerms) -> Self {
        let (me, wishes) = (me.clone(), BTreeMap::new());
        Candidacy { me, terms, candidates: Vec::new(), wishes, willing: true, ended: false }
    }

    /// This gateway can do a job. False: something else here does one of that name already, and two must not.
    pub fn add(&mut self, job: &Name) -> bool {
        let fresh = !self.wishes.contains_key(job);
        if fresh {
            let wish = self.ordered(job, None);
            self.wishes.insert(job.clone(), wish);
        }
        fresh
    }

    fn ordered(&self, job: &Name, since: Option<Micros>) -> Wish {
        let order = ranked(job, &self.candidates);
        let place = order.iter().position(|name| *name == self.me).unwrap_or(usize::MAX);
        let order = order.into_iter().filter(|name| *name != self.me).take(RUNNERS).collect();
        Wish { order, place, first_since: since, offers: 0 }
    }

    /// Who is there now, this gateway too; to be called when that changes, and some times a second.
    pub fn update(&mut self, now: Micros, candidates: &[Participant], claimer: &mut Candidate) {
        if self.ended {
            return;
        }
        if self.candidates != candidates {
            self.candidates = candidates.to_vec();
            let jobs: Vec<Name> = self.wishes.keys().cloned().collect();
            for job in jobs {
                let since = self.wishes.get(&job).and_then(|wish| wish.first_since);
                let wish = self.ordered(&job, since);
                self.wishes.insert(job, wish);
            }
        }
        let willing = candidates.iter().any(|own| own.name == self.me && !own.unwilling);
        let lately_unwilling = std::mem::replace(&mut self.willing, willing) && !willing;
        for (job, wish) in &mut self.wishes {
            if lately_unwilling {
                claimer.hand_over(now, job, &wish.order);
            }
            if wish.place < RUNNERS || claimer.held_since(now, job).is_some() {
                claimer.pursue(now, job, wish.place.min(RUNNERS) as Micros * STEP);
            } else {
                claimer.release(job);
            }
            wish.first_since = match wish.first_since {
                _ if wish.place > 0 || !willing => None,
                since => since.or(Some(now)),
            };
            if wish.first_since.is_some_and(|since| now >= since + SETTLED) && now >= wish.offers {
                wish.offers = now + self.terms.duration;
                claimer.offer(job);
            }
        }
    }

    /// Another says that it comes first for a job that this gateway owns.
    pub fn offer_received(&mut self, now: Micros, job: &Name, by: &Name, claimer: &mut Candidate) {
        let Some(wish) = self.wishes.get(job) else { return };
        let stayed =
            claimer.held_since(now, job).is_some_and(|since| now >= since + STAY * self.terms.duration);
        // Who is not first here as well would be asked to hand it over again at once.
        if stayed && wish.place > 0 && wish.order.first() == Some(by) {
            claimer.hand_over(now, job, std::slice::from_ref(by));
        }
    }

    /// Its operators want this job to be another's. False where it is not owned here.
    pub fn release(&mut self, now: Micros, job: &Name, claimer: &mut Candidate) -> bool {
        let owned = claimer.held_since(now, job).is_some();
        if let Some(wish) = self.wishes.get(job).filter(|_| owned) {
            claimer.hand_over(now, job, &wish.order);
        }
        owned
    }

    /// This gateway ends: what it owns goes to the next ones, and it wants nothing more.
    pub fn shut_down(&mut self, now: Micros, claimer: &mut Candidate) {
        self.ended = true;
        for (job, wish) in &self.wishes {
            claimer.hand_over(now, job, &wish.order);
        }
        claimer.release_all();
    }

    /// This gateway's place in a job's order, from 0; the last where it does not do it.
    pub fn rank(&self, job: &str) -> usize {
        self.wishes.get(job).map_or(usize::MAX, |wish| wish.place)
    }
}
