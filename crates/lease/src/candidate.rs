//! A gateway that wants jobs: it claims, renews, gives back, and knows at any moment which it may act for.

use std::collections::{BTreeMap, VecDeque};

use crate::message::{AcceptorReply, AcceptorRequest, Rejection};
use crate::{
    majority, seeded_hash, AcceptorSet, AcceptorSetId, FencingToken, LeaseTerms, Micros, Name, ProcessId,
    MILLISECOND,
};

/// How often those who have not answered are asked again.
const RESEND_INTERVAL: Micros = 100 * MILLISECOND;
/// How long a claim is tried, as a part of the lease; then it waits and begins anew.
const CLAIM_TIMEOUT_DIVISOR: u64 = 3;
/// The first pause after a claim in vain, and the longest; each is drawn between one and two times that, and doubles.
const MIN_BACKOFF: Micros = 40 * MILLISECOND;
const MAX_BACKOFF: Micros = 320 * MILLISECOND;
/// A renewal begins after this part of the lease.
const RENEWAL_DIVISOR: u64 = 3;

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
    pub fn authorize<T>(self, content: T) -> AuthorizedEffect<T> {
        AuthorizedEffect { lease: self.lease.clone(), token: self.token, content }
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
struct Claim {
    token: FencingToken,
    /// Answers that name another say nothing of this one's time.
    round: u64,
    /// The owner counts from before it asked.
    requested_at: Micros,
    next_send: Micros,
    until: Micros,
    /// Who has granted it, in which life, and what they say of each other's.
    grants: BTreeMap<Name, u64>,
    incarnations: BTreeMap<Name, u64>,
    rejections: BTreeMap<Name, Rejection>,
    /// Who had the job by what was heard before.
    holder: Option<FencingToken>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// From then on it may be claimed.
    Waiting(Micros),
    Claiming(Claim),
    Holding {
        token: FencingToken,
        since: Micros,
        until: Micros,
        renew_at: Micros,
        renewal: Option<Claim>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pursuit {
    state: State,
    /// Claims in vain in a row.
    failed_claims: u32,
    /// The highest term that was heard of.
    highest_term: u64,
    /// How long it waits before it claims what nobody has: others come before it.
    start_delay: Micros,
    /// Who had it when a voter last said so, and who has given it back since, by its own word.
    holder: Option<FencingToken>,
    released: Option<FencingToken>,
    /// The term that an owner asks for in place of its own, as some voter has promised a higher one than that.
    raised_term: Option<u64>,
    /// Refusals since it was wanted, and why the last.
    rejections: u64,
    last_rejection: Option<Rejection>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    process: ProcessId,
    acceptors: Vec<Name>,
    acceptor_set: AcceptorSetId,
    terms: LeaseTerms,
    seed: u64,
    backoff_draws: u64,
    last_round: u64,
    pursuits: BTreeMap<Name, Pursuit>,
    outputs: VecDeque<Output>,
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
    pub fn new(process: ProcessId, acceptors: &AcceptorSet, terms: LeaseTerms, seed: u64) -> Self {
        let (acceptor_set, pursuits, outputs) = (acceptors.id(), BTreeMap::new(), VecDeque::new());
        let acceptors = acceptors.names.clone();
        Candidate {
            process,
            acceptors,
            acceptor_set,
            terms,
            seed,
            backoff_draws: 0,
            last_round: 0,
            pursuits,
            outputs,
        }
    }

    pub fn process(&self) -> ProcessId {
        self.process
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// From now on this job is wanted, after so long in which others come before this gateway.
    pub fn pursue(&mut self, now: Micros, lease: &Name, start_delay: Micros) {
        let state = State::Waiting(now + start_delay);
        let fresh = Pursuit {
            state,
            failed_claims: 0,
            highest_term: 0,
            start_delay,
            holder: None,
            released: None,
            raised_term: None,
            rejections: 0,
            last_rejection: None,
        };
        self.pursuits.entry(lease.clone()).or_insert(fresh).start_delay = start_delay;
    }

    /// It is given back if it is owned, and not claimed any more.
    pub fn release(&mut self, lease: &Name) {
        let Some(Pursuit { state, .. }) = self.pursuits.remove(lease) else { return };
        let token = match state {
            State::Waiting(_) => return,
            // Some voters may have promised it.
            State::Claiming(claim) => claim.token,
            State::Holding { token, .. } => {
                self.outputs.push_back(Output::Event(Event::Released { lease: lease.clone(), token }));
                token
            }
        };
        for to in &self.acceptors {
            let request = AcceptorRequest::Release { lease: lease.clone(), token };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }

    /// All is given back, as this gateway ends.
    pub fn release_all(&mut self) {
        let pursuits: Vec<Name> = self.pursuits.keys().cloned().collect();
        pursuits.iter().for_each(|lease| self.release(lease));
    }

    /// The job is given back for those who come next for it, who are told so. This one wants it still, after them.
    pub fn hand_over(&mut self, now: Micros, lease: &Name, to: &[Name]) {
        let terms = self.terms;
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let State::Holding { token, .. } = pursuit.state else { return };
        pursuit.state = State::Waiting(now + terms.duration + pursuit.start_delay);
        for acceptor in &self.acceptors {
            let request = AcceptorRequest::Release { lease: lease.clone(), token };
            self.outputs.push_back(Output::Request { to: acceptor.clone(), request });
        }
        for successor in to {
            self.outputs.push_back(Output::Released { to: successor.clone(), lease: lease.clone(), token });
        }
        self.outputs.push_back(Output::Event(Event::Released { lease: lease.clone(), token }));
    }

    /// Its owner has given it back, as it says itself: whoever waits for the end of its lease need not.
    pub fn lease_released(&mut self, now: Micros, lease: &Name, token: FencingToken) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        pursuit.highest_term = pursuit.highest_term.max(token.term);
        pursuit.released = pursuit.released.max(Some(token));
        if matches!(pursuit.state, State::Waiting(_)) {
            (pursuit.state, pursuit.failed_claims) = (State::Waiting(now + pursuit.start_delay), 0);
            // Its own word to a voter may have been lost.
            for to in &self.acceptors {
                let request = AcceptorRequest::Release { lease: lease.clone(), token };
                self.outputs.push_back(Output::Request { to: to.clone(), request });
            }
        }
    }

    /// This gateway comes first for a job that another has: that one is told so.
    pub fn offer(&mut self, lease: &Name) {
        let Some(pursuit) = self.pursuits.get(lease) else { return };
        let other = pursuit.holder.filter(|token| token.process != self.process);
        if let (State::Waiting(_), Some(token)) = (&pursuit.state, other) {
            self.outputs.push_back(Output::Offer { to: token.process, lease: lease.clone() });
        }
    }

    /// Since when it owns a job, if it does.
    pub fn held_since(&self, now: Micros, lease: &str) -> Option<Micros> {
        match self.pursuits.get(lease)?.state {
            State::Holding { since, until, .. } if now < until => Some(since),
            _ => None,
        }
    }

    /// The right to act for the fleet now; none where this gateway does not own the job, or its lease is over.
    pub fn authorization(&self, now: Micros, lease: &str) -> Option<Authorization<'_>> {
        let (lease, pursuit) = self.pursuits.get_key_value(lease)?;
        match pursuit.state {
            State::Holding { token, until, .. } if now < until => Some(Authorization { lease, token }),
            _ => None,
        }
    }

    pub fn lease_status(&self, now: Micros) -> impl Iterator<Item = LeaseStatus> + '_ {
        self.pursuits.iter().map(move |(lease, pursuit)| LeaseStatus {
            lease: lease.clone(),
            held: match pursuit.state {
                State::Holding { token, since, until, .. } if now < until => {
                    Some((token, since, until - now))
                }
                _ => None,
            },
            holder: pursuit.holder,
            highest_term: pursuit.highest_term,
            rejections: pursuit.rejections,
            last_rejection: pursuit.last_rejection.clone(),
        })
    }

    pub fn next_deadline(&self) -> Option<Micros> {
        let deadline = |pursuit: &Pursuit| match &pursuit.state {
            State::Waiting(at) => *at,
            State::Claiming(claim) => claim.next_send.min(claim.until),
            State::Holding { until, renew_at, renewal, .. } => match renewal {
                Some(renewal) => renewal.next_send.min(*until),
                None => (*renew_at).min(*until),
            },
        };
        self.pursuits.values().map(deadline).min()
    }

    /// An effect by this fence was refused, as another owns the job by the one given.
    pub fn effect_rejected(&mut self, now: Micros, lease: &Name, highest: FencingToken) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        pursuit.highest_term = pursuit.highest_term.max(highest.term);
        pursuit.rejections += 1;
        pursuit.last_rejection = Some(Rejection::HigherPromise(highest));
        if let State::Holding { token, .. } = pursuit.state {
            if token < highest {
                pursuit.state = State::Waiting(now + pursuit.start_delay);
                self.outputs.push_back(Output::Event(Event::Lost { lease: lease.clone(), token }));
            }
        }
    }

    pub fn handle_timeout(&mut self, now: Micros) {
        let pursuits: Vec<Name> = self.pursuits.keys().cloned().collect();
        for lease in pursuits {
            self.handle_lease_timeout(now, &lease);
        }
    }

    fn handle_lease_timeout(&mut self, now: Micros, lease: &Name) {
        let (process, terms) = (self.process, self.terms);
        let round = self.last_round + 1;
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        match &mut pursuit.state {
            State::Waiting(at) if now >= *at => {
                // A term that was never heard of, and no other run has.
                pursuit.highest_term += 1;
                let token = FencingToken { term: pursuit.highest_term, process };
                pursuit.state =
                    State::Claiming(Claim { holder: pursuit.holder, ..Claim::new(now, token, round, terms) });
                self.last_round = round;
                self.send_claims(now, lease);
            }
            State::Claiming(claim) if now >= claim.until => self.back_off(now, lease, 0),
            State::Claiming(claim) if now >= claim.next_send => self.send_claims(now, lease),
            State::Holding { token, until, .. } if now >= *until => {
                let token = *token;
                pursuit.state = State::Waiting(now + pursuit.start_delay);
                self.outputs.push_back(Output::Event(Event::Lost { lease: lease.clone(), token }));
            }
            State::Holding { token, renew_at, renewal, .. } => match renewal {
                Some(claim) if now < claim.until && now >= claim.next_send => self.send_claims(now, lease),
                Some(claim) if now < claim.until => {}
                // Asked anew, it counts from anew: an answer to the first may have been lost on its way.
                Some(_) | None if now >= *renew_at => {
                    // Danger: a voter that has promised a loser more than the owner's term renews nothing, and one more that is
                    // lost ends a lease that nobody wants. So the owner goes above it, by a claim like any other.
                    if pursuit.highest_term > token.term && pursuit.raised_term != Some(pursuit.highest_term)
                    {
                        pursuit.highest_term += 1;
                        pursuit.raised_term = Some(pursuit.highest_term);
                    }
                    let token = FencingToken { term: token.term.max(pursuit.highest_term), process };
                    *renewal = Some(Claim::new(now, token, round, terms));
                    self.last_round = round;
                    self.send_claims(now, lease);
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// Asks those who have not granted it yet.
    fn send_claims(&mut self, now: Micros, lease: &Name) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let (State::Claiming(claim) | State::Holding { renewal: Some(claim), .. }) = &mut pursuit.state
        else {
            return;
        };
        claim.next_send = now + RESEND_INTERVAL;
        let (token, round) = (claim.token, claim.round);
        for to in self.acceptors.iter().filter(|name| !claim.grants.contains_key(*name)) {
            let request =
                AcceptorRequest::Claim { lease: lease.clone(), token, round, acceptors: self.acceptor_set };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }

    /// What was claimed is given up: whoever has granted it need not hold it for a lease. Danger: some who claim at once hold
    /// parts of a job each, and nobody has it until all those leases are over, again and again.
    fn withdraw_claim(&mut self, lease: &Name) {
        let Some(Pursuit { state: State::Claiming(claim), .. }) = self.pursuits.get(lease) else { return };
        let token = claim.token;
        for to in &self.acceptors {
            let request = AcceptorRequest::Release { lease: lease.clone(), token };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }

    /// A pause, longer each time, and at least as long as the job is held.
    fn back_off(&mut self, now: Micros, lease: &Name, remaining: Micros) {
        self.withdraw_claim(lease);
        self.backoff_draws += 1;
        let (seed, backoff_draws) = (self.seed ^ self.process.0, self.backoff_draws);
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        // Whoever waits for an owner has not been in vain: once that is gone it must not begin with the longest pause.
        pursuit.failed_claims = if remaining > 0 { 0 } else { pursuit.failed_claims + 1 };
        let backoff = (MIN_BACKOFF << pursuit.failed_claims.saturating_sub(1).min(16)).min(MAX_BACKOFF);
        let backoff = backoff + seeded_hash(seed, &[lease], backoff_draws) % backoff;
        pursuit.state = State::Waiting(
            now + if remaining > 0 { remaining + pursuit.start_delay + backoff } else { backoff },
        );
    }

    /// A voter has answered.
    pub fn handle_reply(&mut self, now: Micros, from: &Name, reply: AcceptorReply) {
        if !self.acceptors.contains(from) {
            return;
        }
        match reply {
            AcceptorReply::Granted { lease, token, round, incarnation, incarnations } => {
                self.handle_grant(now, from, &lease, (token, round), incarnation, incarnations);
            }
            AcceptorReply::Rejected { lease, token, round, reason } => {
                self.handle_rejection(now, from, &lease, (token, round), reason);
            }
            AcceptorReply::Recovery(_) => {}
        }
    }

    fn handle_grant(
        &mut self,
        now: Micros,
        from: &Name,
        lease: &Name,
        answered: (FencingToken, u64),
        incarnation: u64,
        incarnations: BTreeMap<Name, u64>,
    ) {
        let (acceptors, terms) = (self.acceptors.len(), self.terms);
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let (State::Claiming(claim) | State::Holding { renewal: Some(claim), .. }) = &mut pursuit.state
        else {
            return;
        };
        // Danger: an answer to an earlier time of asking that comes late. The voter's lease counts from then.
        if (claim.token, claim.round) != answered {
            return;
        }
        let (token, _) = answered;
        claim.rejections.remove(from);
        claim.grants.insert(from.clone(), incarnation);
        for (name, least) in incarnations {
            let known = claim.incarnations.entry(name).or_default();
            *known = (*known).max(least);
        }
        let counts = |(name, incarnation): &(&Name, &u64)| {
            claim.incarnations.get(*name).is_none_or(|least| **incarnation >= *least)
        };
        if claim.grants.iter().filter(counts).count() < majority(acceptors) {
            return;
        }
        let (requested_at, fresh) = (claim.requested_at, matches!(pursuit.state, State::Claiming(_)));
        let until = requested_at + terms.holder_duration();
        if fresh && now >= until {
            // It took so long that nothing is left of it.
            return self.back_off(now, lease, 0);
        }
        let (since, raised) = match pursuit.state {
            State::Holding { since, token: previous, .. } => (since, previous != token),
            _ => (now, false),
        };
        pursuit.failed_claims = 0;
        pursuit.holder = Some(token);
        let renew_at = requested_at + terms.duration / RENEWAL_DIVISOR;
        pursuit.state = State::Holding { token, since, until, renew_at, renewal: None };
        if fresh || raised {
            self.outputs.push_back(Output::Event(Event::Acquired { lease: lease.clone(), token }));
        }
    }

    fn handle_rejection(
        &mut self,
        now: Micros,
        from: &Name,
        lease: &Name,
        answered: (FencingToken, u64),
        reason: Rejection,
    ) {
        let acceptors = self.acceptors.len();
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let (State::Claiming(claim) | State::Holding { renewal: Some(claim), .. }) = &mut pursuit.state
        else {
            return;
        };
        if (claim.token, claim.round) != answered || claim.grants.contains_key(from) {
            return;
        }
        if let Rejection::HigherPromise(higher) = &reason {
            pursuit.highest_term = pursuit.highest_term.max(higher.term);
        }
        if let Rejection::HeldByOther { holder, .. } = &reason {
            pursuit.holder = pursuit.holder.max(Some(*holder));
        }
        pursuit.rejections += 1;
        pursuit.last_rejection = Some(reason.clone());
        claim.rejections.insert(from.clone(), reason);
        // So many have refused that no majority is left.
        if acceptors - claim.rejections.len() >= majority(acceptors) {
            return;
        }
        // Danger: the word that a job is free comes while a claim is under way, whose refusals are from before it.
        let released = pursuit.released;
        let mut votes_per_holder: BTreeMap<FencingToken, usize> = BTreeMap::new();
        for reason in claim.rejections.values() {
            if let Rejection::HeldByOther { holder, .. } = reason {
                *votes_per_holder.entry(*holder).or_default() += 1;
            }
        }
        // Who is held for by fewer than a majority, and was not the last time, is perhaps no owner but one that claims as well,
        // and gives up as this one does: to wait for the end of its lease would leave the job to nobody for as long.
        let known_holder = claim.holder;
        let is_holder = |holder: &FencingToken| {
            votes_per_holder[holder] >= majority(acceptors) || Some(*holder) == known_holder
        };
        let mut remaining_times: Vec<Micros> = (claim.rejections.values())
            .filter_map(|reason| match reason {
                Rejection::HeldByOther { remaining, holder }
                    if Some(*holder) != released && is_holder(holder) =>
                {
                    Some(*remaining)
                }
                _ => None,
            })
            .collect();
        // The first moment at which a majority can be free. Danger: one voter that has started lately, and holds for a lease what
        // it had promised to whoever is gone, would leave the job to nobody for a second lease.
        remaining_times.sort_unstable_by(|one, other| other.cmp(one));
        let remaining = remaining_times.get(acceptors - majority(acceptors)).copied().unwrap_or(0);
        let higher = claim.rejections.values().any(|reason| matches!(reason, Rejection::HigherPromise(_)));
        match &pursuit.state {
            State::Claiming(_) if remaining == 0 && higher && pursuit.failed_claims == 0 => {
                // The term was too low: the next one is known to be higher.
                pursuit.failed_claims = 1;
                self.withdraw_claim(lease);
                if let Some(pursuit) = self.pursuits.get_mut(lease) {
                    pursuit.state = State::Waiting(now);
                }
            }
            State::Claiming(_) => self.back_off(now, lease, remaining),
            State::Holding { token, .. } if higher => {
                let token = *token;
                pursuit.state = State::Waiting(now + pursuit.start_delay);
                self.outputs.push_back(Output::Event(Event::Lost { lease: lease.clone(), token }));
            }
            _ => {}
        }
    }
}

impl Claim {
    fn new(now: Micros, token: FencingToken, round: u64, terms: LeaseTerms) -> Self {
        Claim {
            token,
            round,
            requested_at: now,
            next_send: now,
            until: now + terms.duration / CLAIM_TIMEOUT_DIVISOR,
            grants: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            rejections: BTreeMap::new(),
            holder: None,
        }
    }
}
