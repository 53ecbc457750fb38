//! The lease candidate of one gateway: it claims the leases that the gateway wants, renews and releases them, and knows at
//! any moment for which of them the gateway may act. It never decides which leases are wanted (see [`crate::candidacy`])
//! and performs no I/O: the caller sends its [`Output`]s.

mod authorization;
mod claim;
mod output;
mod pursuit;

use std::collections::{BTreeMap, VecDeque};

pub use authorization::{Authorization, AuthorizedEffect};
pub use output::{Event, LeaseStatus, Output};

use crate::message::{AcceptorReply, AcceptorRequest, Rejection};
use crate::{seeded_hash, AcceptorSet, AcceptorSetId, FencingToken, LeaseSettings, Micros, Name, ProcessId};
use pursuit::{Due, Pursuit, State};

/// The candidate of one gateway. Times are of one even clock that nobody sets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    process: ProcessId,
    acceptors: Vec<Name>,
    acceptor_set: AcceptorSetId,
    terms: LeaseSettings,
    /// Seeds the backoff, together with the process and the number of draws so far.
    seed: u64,
    backoff_draws: u64,
    last_round: u64,
    pursuits: BTreeMap<Name, Pursuit>,
    outputs: VecDeque<Output>,
}

impl Candidate {
    /// A candidate that wants nothing yet. `process` must differ between any two starts of any gateways.
    pub fn new(process: ProcessId, acceptors: &AcceptorSet, terms: LeaseSettings, seed: u64) -> Self {
        Candidate {
            process,
            acceptors: acceptors.names.clone(),
            acceptor_set: acceptors.id(),
            terms,
            seed,
            backoff_draws: 0,
            last_round: 0,
            pursuits: BTreeMap::new(),
            outputs: VecDeque::new(),
        }
    }

    /// The process in whose name it claims.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// The next thing for the caller to do.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Wants a lease from now on. Before each claim of a free lease it waits for `start_delay` microseconds, in which
    /// candidates of a better rank claim.
    pub fn pursue(&mut self, now: Micros, lease: &Name, start_delay: Micros) {
        let pursuit = self.pursuits.entry(lease.clone()).or_insert_with(|| Pursuit::new(now, start_delay));
        pursuit.start_delay = start_delay;
    }

    /// Releases a lease if it is held, and does not claim it any more.
    pub fn release(&mut self, lease: &Name) {
        let Some(pursuit) = self.pursuits.remove(lease) else { return };
        let token = match pursuit.state {
            State::Waiting { .. } => return,
            // Some acceptors may have granted it.
            State::Claiming(claim) => claim.token,
            State::Holding(held) => {
                let released = Event::Released { lease: lease.clone(), token: held.token };
                self.outputs.push_back(Output::Event(released));
                held.token
            }
        };
        self.send_release(lease, token);
    }

    /// Releases all leases and wants none any more.
    pub fn release_all(&mut self) {
        let leases: Vec<Name> = self.pursuits.keys().cloned().collect();
        leases.iter().for_each(|lease| self.release(lease));
    }

    /// Releases a held lease in favour of `successors`, who are notified. It is still wanted, after them.
    pub fn hand_over(&mut self, now: Micros, lease: &Name, successors: &[Name]) {
        let duration = self.terms.duration;
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let State::Holding(held) = &pursuit.state else { return };
        let token = held.token;
        pursuit.wait(now + duration);
        self.send_release(lease, token);
        for to in successors {
            self.outputs.push_back(Output::Released { to: to.clone(), lease: lease.clone(), token });
        }
        self.outputs.push_back(Output::Event(Event::Released { lease: lease.clone(), token }));
    }

    /// The holder of a lease has notified this candidate that it has released it: there is no need to wait for the lease to
    /// expire.
    pub fn lease_released(&mut self, now: Micros, lease: &Name, token: FencingToken) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        pursuit.observe_term(token.term);
        pursuit.released = pursuit.released.max(Some(token));
        if matches!(pursuit.state, State::Waiting { .. }) {
            pursuit.wait(now);
            pursuit.failed_claims = 0;
            // The holder's own release may have been lost on its way to an acceptor.
            self.send_release(lease, token);
        }
    }

    /// Offers the holder of a lease to take it over, as this gateway has a better rank.
    pub fn offer(&mut self, lease: &Name) {
        let Some(pursuit) = self.pursuits.get(lease) else { return };
        let State::Waiting { .. } = &pursuit.state else { return };
        if let Some(token) = pursuit.holder.filter(|token| token.process != self.process) {
            self.outputs.push_back(Output::Offer { to: token.process, lease: lease.clone() });
        }
    }

    /// Since when a lease is held here, if it is.
    pub fn held_since(&self, now: Micros, lease: &str) -> Option<Micros> {
        Some(self.pursuits.get(lease)?.holding(now)?.since)
    }

    /// The right to act for the fleet now; none where the lease is not held here, or has expired.
    pub fn authorization(&self, now: Micros, lease: &str) -> Option<Authorization<'_>> {
        let (lease, pursuit) = self.pursuits.get_key_value(lease)?;
        Some(Authorization { lease, token: pursuit.holding(now)?.token })
    }

    /// The status of each lease that is wanted.
    pub fn lease_status(&self, now: Micros) -> impl Iterator<Item = LeaseStatus> + '_ {
        self.pursuits.iter().map(move |(lease, pursuit)| LeaseStatus {
            lease: lease.clone(),
            held: pursuit.holding(now).map(|held| (held.token, held.since, held.until - now)),
            holder: pursuit.holder,
            highest_term: pursuit.highest_term,
            rejections: pursuit.rejections,
            last_rejection: pursuit.last_rejection.clone(),
        })
    }

    /// The time at which `handle_timeout` is to be called.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.pursuits.values().map(Pursuit::next_deadline).min()
    }

    /// An effect with the token of this candidate was rejected, as the lease belongs to the higher token `highest`.
    pub fn effect_rejected(&mut self, now: Micros, lease: &Name, highest: FencingToken) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        pursuit.observe_rejection(Rejection::HigherPromise(highest));
        if matches!(&pursuit.state, State::Holding(held) if held.token < highest) {
            self.lose(now, lease);
        }
    }

    /// Claims, asks again, renews and gives up what is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        let leases: Vec<Name> = self.pursuits.keys().cloned().collect();
        for lease in leases {
            self.handle_lease_timeout(now, &lease);
        }
    }

    fn handle_lease_timeout(&mut self, now: Micros, lease: &Name) {
        let round = self.last_round + 1;
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        match pursuit.due(now) {
            Due::Nothing => {}
            Due::Claim => {
                self.last_round = round;
                pursuit.start_claim(now, self.process, round, self.terms);
                self.send_claims(now, lease);
            }
            Due::Resend => self.send_claims(now, lease),
            Due::GiveUp => self.back_off(now, lease, 0),
            Due::Renew => {
                self.last_round = round;
                pursuit.start_renewal(now, self.process, round, self.terms);
                self.send_claims(now, lease);
            }
            Due::Expire => self.lose(now, lease),
        }
    }

    /// Sends the claim under way to those who have not granted it yet.
    fn send_claims(&mut self, now: Micros, lease: &Name) {
        let Some(claim) = self.pursuits.get_mut(lease).and_then(Pursuit::claim_mut) else { return };
        claim.sent(now);
        for to in self.acceptors.iter().filter(|name| !claim.is_granted_by(name)) {
            let request = AcceptorRequest::Claim {
                lease: lease.clone(),
                token: claim.token,
                round: claim.round,
                acceptors: self.acceptor_set,
            };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }

    fn send_release(&mut self, lease: &Name, token: FencingToken) {
        for to in &self.acceptors {
            let request = AcceptorRequest::Release { lease: lease.clone(), token };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }

    /// Tells those who have granted a claim under way that it is given up.
    ///
    /// Danger: of several candidates that claim at once each holds the grants of some acceptors, and nobody gets the lease
    /// until all those grants have expired, again and again.
    fn withdraw_claim(&mut self, lease: &Name) {
        let Some(pursuit) = self.pursuits.get(lease) else { return };
        if let State::Claiming(claim) = &pursuit.state {
            let token = claim.token;
            self.send_release(lease, token);
        }
    }

    /// Gives a claim up and waits, for at least `remaining` microseconds, in which another holds the lease.
    fn back_off(&mut self, now: Micros, lease: &Name, remaining: Micros) {
        self.withdraw_claim(lease);
        self.backoff_draws += 1;
        let random = seeded_hash(self.seed ^ self.process.0, &[lease], self.backoff_draws);
        if let Some(pursuit) = self.pursuits.get_mut(lease) {
            pursuit.back_off(now, remaining, random);
        }
    }

    fn lose(&mut self, now: Micros, lease: &Name) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let State::Holding(held) = &pursuit.state else { return };
        let token = held.token;
        pursuit.wait(now);
        self.outputs.push_back(Output::Event(Event::Lost { lease: lease.clone(), token }));
    }

    /// Handles the answer of an acceptor.
    pub fn handle_reply(&mut self, now: Micros, from: &Name, reply: AcceptorReply) {
        if !self.acceptors.contains(from) {
            return;
        }
        match reply {
            AcceptorReply::Granted { lease, token, round, incarnation, incarnations } => {
                let Some(pursuit) = self.pursuits.get_mut(&lease) else { return };
                let Some(claim) = pursuit.answered_claim(token, round) else { return };
                claim.record_grant(from, incarnation, incarnations);
                self.try_acquire(now, &lease);
            }
            AcceptorReply::Rejected { lease, token, round, reason } => {
                let Some(pursuit) = self.pursuits.get_mut(&lease) else { return };
                let Some(claim) = pursuit.answered_claim(token, round) else { return };
                if claim.is_granted_by(from) {
                    return;
                }
                claim.record_rejection(from, reason.clone());
                pursuit.observe_rejection(reason);
                self.try_give_up(now, &lease);
            }
            AcceptorReply::Recovery(_) => {}
        }
    }

    /// Holds the lease from now on if a majority has granted the claim under way.
    fn try_acquire(&mut self, now: Micros, lease: &Name) {
        let terms = self.terms;
        let acceptors = self.acceptors.len();
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let Some(claim) = pursuit.claim_mut().filter(|claim| claim.has_majority(acceptors)) else { return };
        let token = claim.token;
        let requested_at = claim.requested_at;
        let is_expired = now >= requested_at + terms.holder_duration();
        if is_expired && matches!(pursuit.state, State::Claiming(_)) {
            return self.back_off(now, lease, 0);
        }
        if pursuit.hold(now, token, requested_at, terms) {
            self.outputs.push_back(Output::Event(Event::Acquired { lease: lease.clone(), token }));
        }
    }

    /// Gives the claim under way up if so many have rejected it that no majority is left.
    fn try_give_up(&mut self, now: Micros, lease: &Name) {
        let acceptors = self.acceptors.len();
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let released = pursuit.released;
        let Some(claim) = pursuit.claim_mut().filter(|claim| !claim.can_win(acceptors)) else { return };
        let remaining = claim.remaining_until_free(acceptors, released);
        let is_outbid = claim.is_outbid();
        match &pursuit.state {
            // The term was too low; the next one is known to be higher.
            State::Claiming(_) if remaining == 0 && is_outbid && pursuit.failed_claims == 0 => {
                self.withdraw_claim(lease);
                if let Some(pursuit) = self.pursuits.get_mut(lease) {
                    pursuit.claim_again(now);
                }
            }
            State::Claiming(_) => self.back_off(now, lease, remaining),
            State::Holding(_) if is_outbid => self.lose(now, lease),
            State::Holding(_) | State::Waiting { .. } => {}
        }
    }
}
