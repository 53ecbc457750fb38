//! A gateway that wants jobs: it claims, renews, gives back, and knows at any moment which it may act for.

use std::collections::{BTreeMap, VecDeque};

use crate::message::{AcceptorReply, AcceptorRequest, Rejection};
use crate::{
    drawn, majority, AcceptorSet, AcceptorSetId, FencingToken, LeaseTerms, Micros, Name, ProcessId,
    MILLISECOND,
};

/// How often those who have not answered are asked again.
const AGAIN: Micros = 100 * MILLISECOND;
/// How long a claim is tried, as a part of the lease; then it waits and begins anew.
const TRIES: u64 = 3;
/// The first pause after a claim in vain, and the longest; each is drawn between one and two times that, and doubles.
const PAUSE: Micros = 40 * MILLISECOND;
const LONGEST_PAUSE: Micros = 320 * MILLISECOND;
/// A renewal begins after this part of the lease.
const RENEWS: u64 = 3;

/// The right to act for the fleet at this moment. What acts for the fleet takes one, and passes its fence on with the effect;
/// only a [`Claimer`] that owns the job can make one.
#[derive(Debug, PartialEq, Eq)]
pub struct Authorization<'c> {
    lease: &'c Name,
    token: FencingToken,
}

impl Authorization<'_> {
    pub fn lease(&self) -> &Name {
        self.lease
    }

    /// What the effect carries, and whoever takes it in judges by.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Something that is done for the fleet, by this right.
    pub fn authorize<T>(self, what: T) -> AuthorizedEffect<T> {
        AuthorizedEffect { lease: self.lease.clone(), token: self.token, content: what }
    }
}

/// Something that is done for the fleet, with the fence of the owner that does it. Only a [`Warrant`] makes one: what sends
/// effects out takes this, so that nothing goes out without a fence. It may come as late as it likes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorizedEffect<T> {
    lease: Name,
    token: FencingToken,
    content: T,
}

impl<T> AuthorizedEffect<T> {
    pub fn lease(&self) -> &Name {
        &self.lease
    }

    pub fn token(&self) -> FencingToken {
        self.token
    }

    pub fn content(&self) -> &T {
        &self.content
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    Request {
        to: Name,
        request: AcceptorRequest,
    },
    /// Tell this gateway that the job is free, as it comes next for it.
    Released {
        to: Name,
        lease: Name,
        token: FencingToken,
    },
    /// Tell the run that owns the job that this gateway comes before it.
    Offer {
        to: ProcessId,
        lease: Name,
    },
    Event(Event),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This gateway owns the job from now on.
    Acquired { lease: Name, token: FencingToken },
    /// And no more: its lease could not be renewed, or an effect was refused.
    Lost { lease: Name, token: FencingToken },
    /// It has given the job back.
    Released { lease: Name, token: FencingToken },
}

/// A claim or a renewal under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Try {
    fence: FencingToken,
    /// Answers that name another say nothing of this one's time.
    number: u64,
    /// The owner counts from before it asked.
    asked: Micros,
    next: Micros,
    until: Micros,
    /// Who has granted it, in which life, and what they say of each other's.
    grants: BTreeMap<Name, u64>,
    lives: BTreeMap<Name, u64>,
    refused: BTreeMap<Name, Rejection>,
    /// Who had the job by what was heard before.
    holder: Option<FencingToken>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// From then on it may be claimed.
    Waits(Micros),
    Claims(Try),
    Owns {
        fence: FencingToken,
        since: Micros,
        until: Micros,
        renews: Micros,
        renewal: Option<Try>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Job {
    state: State,
    /// Claims in vain in a row.
    vain: u32,
    /// The highest term that was heard of.
    seen: u64,
    /// How long it waits before it claims what nobody has: others come before it.
    place: Micros,
    /// Who had it when a voter last said so, and who has given it back since, by its own word.
    holder: Option<FencingToken>,
    freed: Option<FencingToken>,
    /// The term that an owner asks for in place of its own, as some voter has promised a higher one than that.
    lifts: Option<u64>,
    /// Refusals since it was wanted, and why the last.
    refusals: u64,
    last: Option<Rejection>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    process: ProcessId,
    voters: Vec<Name>,
    set: AcceptorSetId,
    terms: LeaseTerms,
    seed: u64,
    draws: u64,
    numbers: u64,
    jobs: BTreeMap<Name, Job>,
    out: VecDeque<Output>,
}

/// How a job stands, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    pub lease: Name,
    /// The fence, since when, and how long it holds still, where this gateway owns it.
    pub held: Option<(FencingToken, Micros, Micros)>,
    /// Else who had it when a voter last said so.
    pub holder: Option<FencingToken>,
    pub highest_term: u64,
    pub rejections: u64,
    pub last_rejection: Option<Rejection>,
}

impl Candidate {
    pub fn new(run: ProcessId, voters: &AcceptorSet, terms: LeaseTerms, seed: u64) -> Self {
        let (set, jobs, out) = (voters.id(), BTreeMap::new(), VecDeque::new());
        let voters = voters.names.clone();
        Candidate { process: run, voters, set, terms, seed, draws: 0, numbers: 0, jobs, out }
    }

    pub fn process(&self) -> ProcessId {
        self.process
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// From now on this job is wanted, after so long in which others come before this gateway.
    pub fn pursue(&mut self, now: Micros, job: &Name, place: Micros) {
        let state = State::Waits(now + place);
        let fresh = Job {
            state,
            vain: 0,
            seen: 0,
            place,
            holder: None,
            freed: None,
            lifts: None,
            refusals: 0,
            last: None,
        };
        self.jobs.entry(job.clone()).or_insert(fresh).place = place;
    }

    /// It is given back if it is owned, and not claimed any more.
    pub fn release(&mut self, job: &Name) {
        let Some(Job { state, .. }) = self.jobs.remove(job) else { return };
        let fence = match state {
            State::Waits(_) => return,
            // Some voters may have promised it.
            State::Claims(claim) => claim.fence,
            State::Owns { fence, .. } => {
                self.out.push_back(Output::Event(Event::Released { lease: job.clone(), token: fence }));
                fence
            }
        };
        for to in &self.voters {
            let ask = AcceptorRequest::Release { lease: job.clone(), token: fence };
            self.out.push_back(Output::Request { to: to.clone(), request: ask });
        }
    }

    /// All is given back, as this gateway ends.
    pub fn release_all(&mut self) {
        let jobs: Vec<Name> = self.jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.release(job));
    }

    /// The job is given back for those who come next for it, who are told so. This one wants it still, after them.
    pub fn hand_over(&mut self, now: Micros, job: &Name, to: &[Name]) {
        let terms = self.terms;
        let Some(own) = self.jobs.get_mut(job) else { return };
        let State::Owns { fence, .. } = own.state else { return };
        own.state = State::Waits(now + terms.duration + own.place);
        for voter in &self.voters {
            let ask = AcceptorRequest::Release { lease: job.clone(), token: fence };
            self.out.push_back(Output::Request { to: voter.clone(), request: ask });
        }
        for next in to {
            self.out.push_back(Output::Released { to: next.clone(), lease: job.clone(), token: fence });
        }
        self.out.push_back(Output::Event(Event::Released { lease: job.clone(), token: fence }));
    }

    /// Its owner has given it back, as it says itself: whoever waits for the end of its lease need not.
    pub fn lease_released(&mut self, now: Micros, job: &Name, fence: FencingToken) {
        let Some(own) = self.jobs.get_mut(job) else { return };
        own.seen = own.seen.max(fence.term);
        own.freed = own.freed.max(Some(fence));
        if matches!(own.state, State::Waits(_)) {
            (own.state, own.vain) = (State::Waits(now + own.place), 0);
            // Its own word to a voter may have been lost.
            for to in &self.voters {
                let ask = AcceptorRequest::Release { lease: job.clone(), token: fence };
                self.out.push_back(Output::Request { to: to.clone(), request: ask });
            }
        }
    }

    /// This gateway comes first for a job that another has: that one is told so.
    pub fn offer(&mut self, job: &Name) {
        let Some(own) = self.jobs.get(job) else { return };
        let other = own.holder.filter(|fence| fence.process != self.process);
        if let (State::Waits(_), Some(fence)) = (&own.state, other) {
            self.out.push_back(Output::Offer { to: fence.process, lease: job.clone() });
        }
    }

    /// Since when it owns a job, if it does.
    pub fn held_since(&self, now: Micros, job: &str) -> Option<Micros> {
        match self.jobs.get(job)?.state {
            State::Owns { since, until, .. } if now < until => Some(since),
            _ => None,
        }
    }

    /// The right to act for the fleet now; none where this gateway does not own the job, or its lease is over.
    pub fn authorization(&self, now: Micros, job: &str) -> Option<Authorization<'_>> {
        let (job, own) = self.jobs.get_key_value(job)?;
        match own.state {
            State::Owns { fence, until, .. } if now < until => {
                Some(Authorization { lease: job, token: fence })
            }
            _ => None,
        }
    }

    pub fn lease_status(&self, now: Micros) -> impl Iterator<Item = LeaseStatus> + '_ {
        self.jobs.iter().map(move |(job, own)| LeaseStatus {
            lease: job.clone(),
            held: match own.state {
                State::Owns { fence, since, until, .. } if now < until => Some((fence, since, until - now)),
                _ => None,
            },
            holder: own.holder,
            highest_term: own.seen,
            rejections: own.refusals,
            last_rejection: own.last.clone(),
        })
    }

    pub fn next_deadline(&self) -> Option<Micros> {
        let due = |job: &Job| match &job.state {
            State::Waits(at) => *at,
            State::Claims(claim) => claim.next.min(claim.until),
            State::Owns { until, renews, renewal, .. } => match renewal {
                Some(renewal) => renewal.next.min(*until),
                None => (*renews).min(*until),
            },
        };
        self.jobs.values().map(due).min()
    }

    /// An effect by this fence was refused, as another owns the job by the one given.
    pub fn effect_rejected(&mut self, now: Micros, job: &Name, highest: FencingToken) {
        let Some(own) = self.jobs.get_mut(job) else { return };
        own.seen = own.seen.max(highest.term);
        own.refusals += 1;
        own.last = Some(Rejection::HigherPromise(highest));
        if let State::Owns { fence, .. } = own.state {
            if fence < highest {
                own.state = State::Waits(now + own.place);
                self.out.push_back(Output::Event(Event::Lost { lease: job.clone(), token: fence }));
            }
        }
    }

    pub fn handle_timeout(&mut self, now: Micros) {
        let jobs: Vec<Name> = self.jobs.keys().cloned().collect();
        for job in jobs {
            self.tick_one(now, &job);
        }
    }

    fn tick_one(&mut self, now: Micros, job: &Name) {
        let (run, terms) = (self.process, self.terms);
        let number = self.numbers + 1;
        let Some(own) = self.jobs.get_mut(job) else { return };
        match &mut own.state {
            State::Waits(at) if now >= *at => {
                // A term that was never heard of, and no other run has.
                own.seen += 1;
                let fence = FencingToken { term: own.seen, process: run };
                own.state = State::Claims(Try { holder: own.holder, ..Try::new(now, fence, number, terms) });
                self.numbers = number;
                self.ask(now, job);
            }
            State::Claims(claim) if now >= claim.until => self.in_vain(now, job, 0),
            State::Claims(claim) if now >= claim.next => self.ask(now, job),
            State::Owns { fence, until, .. } if now >= *until => {
                let fence = *fence;
                own.state = State::Waits(now + own.place);
                self.out.push_back(Output::Event(Event::Lost { lease: job.clone(), token: fence }));
            }
            State::Owns { fence, renews, renewal, .. } => match renewal {
                Some(own) if now < own.until && now >= own.next => self.ask(now, job),
                Some(own) if now < own.until => {}
                // Asked anew, it counts from anew: an answer to the first may have been lost on its way.
                Some(_) | None if now >= *renews => {
                    // Danger: a voter that has promised a loser more than the owner's term renews nothing, and one more that is
                    // lost ends a lease that nobody wants. So the owner goes above it, by a claim like any other.
                    if own.seen > fence.term && own.lifts != Some(own.seen) {
                        own.seen += 1;
                        own.lifts = Some(own.seen);
                    }
                    let asked = FencingToken { term: fence.term.max(own.seen), process: run };
                    *renewal = Some(Try::new(now, asked, number, terms));
                    self.numbers = number;
                    self.ask(now, job);
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// Asks those who have not granted it yet.
    fn ask(&mut self, now: Micros, job: &Name) {
        let Some(own) = self.jobs.get_mut(job) else { return };
        let (State::Claims(claim) | State::Owns { renewal: Some(claim), .. }) = &mut own.state else {
            return;
        };
        claim.next = now + AGAIN;
        let (fence, number) = (claim.fence, claim.number);
        for to in self.voters.iter().filter(|name| !claim.grants.contains_key(*name)) {
            let ask = AcceptorRequest::Claim {
                lease: job.clone(),
                token: fence,
                round: number,
                acceptors: self.set,
            };
            self.out.push_back(Output::Request { to: to.clone(), request: ask });
        }
    }

    /// What was claimed is given up: whoever has granted it need not hold it for a lease. Danger: some who claim at once hold
    /// parts of a job each, and nobody has it until all those leases are over, again and again.
    fn gives_up(&mut self, job: &Name) {
        let Some(Job { state: State::Claims(claim), .. }) = self.jobs.get(job) else { return };
        let fence = claim.fence;
        for to in &self.voters {
            let ask = AcceptorRequest::Release { lease: job.clone(), token: fence };
            self.out.push_back(Output::Request { to: to.clone(), request: ask });
        }
    }

    /// A pause, longer each time, and at least as long as the job is held.
    fn in_vain(&mut self, now: Micros, job: &Name, held: Micros) {
        self.gives_up(job);
        self.draws += 1;
        let (seed, draws) = (self.seed ^ self.process.0, self.draws);
        let Some(own) = self.jobs.get_mut(job) else { return };
        // Whoever waits for an owner has not been in vain: once that is gone it must not begin with the longest pause.
        own.vain = if held > 0 { 0 } else { own.vain + 1 };
        let pause = (PAUSE << own.vain.saturating_sub(1).min(16)).min(LONGEST_PAUSE);
        let pause = pause + drawn(seed, &[job], draws) % pause;
        own.state = State::Waits(now + if held > 0 { held + own.place + pause } else { pause });
    }

    /// A voter has answered.
    pub fn handle_reply(&mut self, now: Micros, from: &Name, say: AcceptorReply) {
        if !self.voters.contains(from) {
            return;
        }
        match say {
            AcceptorReply::Granted {
                lease: job,
                token: fence,
                round: number,
                incarnation: life,
                incarnations: lives,
            } => {
                self.granted(now, from, &job, (fence, number), life, lives);
            }
            AcceptorReply::Rejected { lease: job, token: fence, round: number, reason: why } => {
                self.not_granted(now, from, &job, (fence, number), why);
            }
            AcceptorReply::Recovery(_) => {}
        }
    }

    fn granted(
        &mut self,
        now: Micros,
        from: &Name,
        job: &Name,
        of: (FencingToken, u64),
        life: u64,
        lives: BTreeMap<Name, u64>,
    ) {
        let (voters, terms) = (self.voters.len(), self.terms);
        let Some(own) = self.jobs.get_mut(job) else { return };
        let (State::Claims(claim) | State::Owns { renewal: Some(claim), .. }) = &mut own.state else {
            return;
        };
        // Danger: an answer to an earlier time of asking that comes late. The voter's lease counts from then.
        if (claim.fence, claim.number) != of {
            return;
        }
        let (fence, _) = of;
        claim.refused.remove(from);
        claim.grants.insert(from.clone(), life);
        for (name, least) in lives {
            let own = claim.lives.entry(name).or_default();
            *own = (*own).max(least);
        }
        let counts =
            |(name, life): &(&Name, &u64)| claim.lives.get(*name).is_none_or(|least| **life >= *least);
        if claim.grants.iter().filter(counts).count() < majority(voters) {
            return;
        }
        let (asked, fresh) = (claim.asked, matches!(own.state, State::Claims(_)));
        let until = asked + terms.holder_duration();
        if fresh && now >= until {
            // It took so long that nothing is left of it.
            return self.in_vain(now, job, 0);
        }
        let (since, lifted) = match own.state {
            State::Owns { since, fence: before, .. } => (since, before != fence),
            _ => (now, false),
        };
        own.vain = 0;
        own.holder = Some(fence);
        let renews = asked + terms.duration / RENEWS;
        own.state = State::Owns { fence, since, until, renews, renewal: None };
        if fresh || lifted {
            self.out.push_back(Output::Event(Event::Acquired { lease: job.clone(), token: fence }));
        }
    }

    fn not_granted(&mut self, now: Micros, from: &Name, job: &Name, of: (FencingToken, u64), why: Rejection) {
        let voters = self.voters.len();
        let Some(own) = self.jobs.get_mut(job) else { return };
        let (State::Claims(claim) | State::Owns { renewal: Some(claim), .. }) = &mut own.state else {
            return;
        };
        if (claim.fence, claim.number) != of || claim.grants.contains_key(from) {
            return;
        }
        if let Rejection::HigherPromise(higher) = &why {
            own.seen = own.seen.max(higher.term);
        }
        if let Rejection::HeldByOther { holder: by, .. } = &why {
            own.holder = own.holder.max(Some(*by));
        }
        own.refusals += 1;
        own.last = Some(why.clone());
        claim.refused.insert(from.clone(), why);
        // So many have refused that no majority is left.
        if voters - claim.refused.len() >= majority(voters) {
            return;
        }
        // Danger: the word that a job is free comes while a claim is under way, whose refusals are from before it.
        let freed = own.freed;
        let mut held: BTreeMap<FencingToken, usize> = BTreeMap::new();
        for why in claim.refused.values() {
            if let Rejection::HeldByOther { holder: by, .. } = why {
                *held.entry(*by).or_default() += 1;
            }
        }
        // Who is held for by fewer than a majority, and was not the last time, is perhaps no owner but one that claims as well,
        // and gives up as this one does: to wait for the end of its lease would leave the job to nobody for as long.
        let known = claim.holder;
        let owns = |by: &FencingToken| held[by] >= majority(voters) || Some(*by) == known;
        let mut holds: Vec<Micros> = (claim.refused.values())
            .filter_map(|why| match why {
                Rejection::HeldByOther { remaining: left, holder: by } if Some(*by) != freed && owns(by) => {
                    Some(*left)
                }
                _ => None,
            })
            .collect();
        // The first moment at which a majority can be free. Danger: one voter that has started lately, and holds for a lease what
        // it had promised to whoever is gone, would leave the job to nobody for a second lease.
        holds.sort_unstable_by(|one, other| other.cmp(one));
        let held = holds.get(voters - majority(voters)).copied().unwrap_or(0);
        let higher = claim.refused.values().any(|why| matches!(why, Rejection::HigherPromise(_)));
        match &own.state {
            State::Claims(_) if held == 0 && higher && own.vain == 0 => {
                // The term was too low: the next one is known to be higher.
                own.vain = 1;
                self.gives_up(job);
                if let Some(own) = self.jobs.get_mut(job) {
                    own.state = State::Waits(now);
                }
            }
            State::Claims(_) => self.in_vain(now, job, held),
            State::Owns { fence, .. } if higher => {
                let fence = *fence;
                own.state = State::Waits(now + own.place);
                self.out.push_back(Output::Event(Event::Lost { lease: job.clone(), token: fence }));
            }
            _ => {}
        }
    }
}

impl Try {
    fn new(now: Micros, fence: FencingToken, number: u64, terms: LeaseTerms) -> Self {
        Try {
            fence,
            number,
            asked: now,
            next: now,
            until: now + terms.duration / TRIES,
            grants: BTreeMap::new(),
            lives: BTreeMap::new(),
            refused: BTreeMap::new(),
            holder: None,
        }
    }
}
