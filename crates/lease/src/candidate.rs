//! The lease candidate of one gateway. It claims, renews and releases leases, and knows at any time under which leases
//! the gateway may act. [`crate::candidacy`] decides which leases to pursue. The candidate performs no I/O: the caller
//! sends its [`Output`]s.

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

/// The candidate of one gateway. All times are of one monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    process: ProcessId,
    acceptors: Vec<Name>,
    acceptor_set: AcceptorSetId,
    settings: LeaseSettings,
    /// Seed of the random backoff, mixed with the process and the number of draws so far.
    seed: u64,
    backoff_draws: u64,
    last_round: u64,
    pursuits: BTreeMap<Name, Pursuit>,
    outputs: VecDeque<Output>,
}

impl Candidate {
    /// A candidate that pursues no lease yet. `process` must differ between any two starts of any gateways.
    pub fn new(process: ProcessId, acceptors: &AcceptorSet, settings: LeaseSettings, seed: u64) -> Self {
        Candidate {
            process,
            acceptors: acceptors.names.clone(),
            acceptor_set: acceptors.id(),
            settings,
            seed,
            backoff_draws: 0,
            last_round: 0,
            pursuits: BTreeMap::new(),
            outputs: VecDeque::new(),
        }
    }

    /// The process that claims leases.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Returns the next action for the caller.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Pursues a lease from now on. Before each claim of a free lease the candidate waits for `start_delay`
    /// microseconds, in which candidates with a better rank claim it.
    pub fn pursue(&mut self, now: Micros, lease: &Name, start_delay: Micros) {
        let pursuit = self.pursuits.entry(lease.clone()).or_insert_with(|| Pursuit::new(now, start_delay));
        pursuit.start_delay = start_delay;
    }

    /// Stops pursuing a lease, and releases it if it is held.
    pub fn release(&mut self, lease: &Name) {
        let Some(pursuit) = self.pursuits.remove(lease) else { return };
        let token = match pursuit.state {
            State::Waiting { .. } => return,
            // Some acceptors may have granted the claim.
            State::Claiming(claim) => claim.token,
            State::Holding(held) => {
                let released = Event::Released { lease: lease.clone(), token: held.token };
                self.outputs.push_back(Output::Event(released));
                held.token
            }
        };
        self.send_release(lease, token);
    }

    /// Releases all held leases and stops pursuing any.
    pub fn release_all(&mut self) {
        let leases: Vec<Name> = self.pursuits.keys().cloned().collect();
        leases.iter().for_each(|lease| self.release(lease));
    }

    /// Releases a held lease and notifies `successors`. The candidate still pursues the lease, but waits for at least
    /// one lease duration before its next claim.
    pub fn hand_over(&mut self, now: Micros, lease: &Name, successors: &[Name]) {
        let duration = self.settings.duration;
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

    /// Handles a holder's notification that it has released its lease. The candidate need not wait for the lease to
    /// expire.
    pub fn lease_released(&mut self, now: Micros, lease: &Name, token: FencingToken) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        pursuit.observe_term(token.term);
        pursuit.released = pursuit.released.max(Some(token));
        if matches!(pursuit.state, State::Waiting { .. }) {
            pursuit.wait(now);
            pursuit.failed_claims = 0;
            // The holder's own release request to an acceptor may have been lost.
            self.send_release(lease, token);
        }
    }

    /// Offers the holder of a lease to take the lease over, as this gateway has a better rank.
    pub fn offer(&mut self, lease: &Name) {
        let Some(pursuit) = self.pursuits.get(lease) else { return };
        let State::Waiting { .. } = &pursuit.state else { return };
        if let Some(token) = pursuit.holder.filter(|token| token.process != self.process) {
            self.outputs.push_back(Output::Offer { to: token.process, lease: lease.clone() });
        }
    }

    /// Since when this candidate has held a lease; `None` if it does not hold the lease.
    pub fn held_since(&self, now: Micros, lease: &str) -> Option<Micros> {
        Some(self.pursuits.get(lease)?.holding(now)?.since)
    }

    /// The right to act for the fleet now; `None` if this candidate does not hold the lease or the lease has expired.
    pub fn authorization(&self, now: Micros, lease: &str) -> Option<Authorization<'_>> {
        let (lease, pursuit) = self.pursuits.get_key_value(lease)?;
        Some(Authorization { lease, token: pursuit.holding(now)?.token })
    }

    /// The status of each pursued lease.
    pub fn lease_status(&self, now: Micros) -> impl Iterator<Item = LeaseStatus> + '_ {
        self.pursuits.iter().map(move |(lease, pursuit)| LeaseStatus {
            lease: lease.clone(),
            held: pursuit.holding(now).map(|held| (held.token, held.since, held.expires_at - now)),
            holder: pursuit.holder,
            highest_term: pursuit.highest_term,
            rejections: pursuit.rejections,
            last_rejection: pursuit.last_rejection.clone(),
        })
    }

    /// When to call `handle_timeout` next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.pursuits.values().map(Pursuit::next_deadline).min()
    }

    /// Handles the rejection of an effect with this candidate's token: the receiver knows the higher token `highest`.
    pub fn effect_rejected(&mut self, now: Micros, lease: &Name, highest: FencingToken) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        pursuit.observe_rejection(Rejection::HigherPromise(highest));
        if matches!(&pursuit.state, State::Holding(held) if held.token < highest) {
            self.lose_lease(now, lease);
        }
    }

    /// Starts, resends, renews and abandons claims that are due, and drops expired leases.
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
                pursuit.start_claim(now, self.process, round, self.settings);
                self.send_claims(now, lease);
            }
            Due::Resend => self.send_claims(now, lease),
            Due::Abandon => self.back_off(now, lease, 0),
            Due::Renew => {
                self.last_round = round;
                pursuit.start_renewal(now, self.process, round, self.settings);
                self.send_claims(now, lease);
            }
            Due::Expire => self.lose_lease(now, lease),
        }
    }

    /// Sends the pending claim to the acceptors that have not granted it yet.
    fn send_claims(&mut self, now: Micros, lease: &Name) {
        let Some(claim) = self.pursuits.get_mut(lease).and_then(Pursuit::claim_mut) else { return };
        claim.record_send(now);
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

    /// Releases the grants of an abandoned claim.
    ///
    /// If several candidates claim at once, each of them may hold the grants of some acceptors. Without this release,
    /// no candidate could get the lease until all those grants have expired, and the same split could follow
    /// repeatedly.
    fn withdraw_claim(&mut self, lease: &Name) {
        let Some(pursuit) = self.pursuits.get(lease) else { return };
        if let State::Claiming(claim) = &pursuit.state {
            let token = claim.token;
            self.send_release(lease, token);
        }
    }

    /// Abandons a claim and backs off, for at least the `remaining` microseconds of another holder's lease.
    fn back_off(&mut self, now: Micros, lease: &Name, remaining: Micros) {
        self.withdraw_claim(lease);
        self.backoff_draws += 1;
        let random = seeded_hash(self.seed ^ self.process.0, &[lease], self.backoff_draws);
        if let Some(pursuit) = self.pursuits.get_mut(lease) {
            pursuit.back_off(now, remaining, random);
        }
    }

    fn lose_lease(&mut self, now: Micros, lease: &Name) {
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let State::Holding(held) = &pursuit.state else { return };
        let token = held.token;
        pursuit.wait(now);
        self.outputs.push_back(Output::Event(Event::Lost { lease: lease.clone(), token }));
    }

    /// Handles the reply of an acceptor.
    pub fn handle_reply(&mut self, now: Micros, from: &Name, reply: AcceptorReply) {
        if !self.acceptors.contains(from) {
            return;
        }
        match reply {
            AcceptorReply::Granted { lease, token, round, incarnation, incarnations } => {
                let Some(pursuit) = self.pursuits.get_mut(&lease) else { return };
                let Some(claim) = pursuit.claim_for_reply(token, round) else { return };
                claim.record_grant(from, incarnation, incarnations);
                self.try_acquire(now, &lease);
            }
            AcceptorReply::Rejected { lease, token, round, reason } => {
                let Some(pursuit) = self.pursuits.get_mut(&lease) else { return };
                let Some(claim) = pursuit.claim_for_reply(token, round) else { return };
                if claim.is_granted_by(from) {
                    return;
                }
                claim.record_rejection(from, reason.clone());
                pursuit.observe_rejection(reason);
                self.try_abandon(now, &lease);
            }
            AcceptorReply::Recovery(_) => {}
        }
    }

    /// Acquires or renews the lease if a majority has granted the pending claim.
    fn try_acquire(&mut self, now: Micros, lease: &Name) {
        let settings = self.settings;
        let acceptors = self.acceptors.len();
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let Some(claim) = pursuit.claim_mut().filter(|claim| claim.has_majority(acceptors)) else { return };
        let token = claim.token;
        let requested_at = claim.requested_at;
        let is_expired = now >= requested_at + settings.holder_duration();
        if is_expired && matches!(pursuit.state, State::Claiming(_)) {
            return self.back_off(now, lease, 0);
        }
        if pursuit.hold(now, token, requested_at, settings) {
            self.outputs.push_back(Output::Event(Event::Acquired { lease: lease.clone(), token }));
        }
    }

    /// Abandons the pending claim if too many acceptors have rejected it for a majority to grant it.
    fn try_abandon(&mut self, now: Micros, lease: &Name) {
        let acceptors = self.acceptors.len();
        let Some(pursuit) = self.pursuits.get_mut(lease) else { return };
        let released = pursuit.released;
        let Some(claim) = pursuit.claim_mut().filter(|claim| !claim.can_win(acceptors)) else { return };
        let remaining = claim.remaining_until_free(acceptors, released);
        let is_outbid = claim.is_outbid();
        match &pursuit.state {
            // The term was too low. The rejections have raised the highest known term, so the next claim uses a higher
            // term.
            State::Claiming(_) if remaining == 0 && is_outbid && pursuit.failed_claims == 0 => {
                self.withdraw_claim(lease);
                if let Some(pursuit) = self.pursuits.get_mut(lease) {
                    pursuit.claim_again(now);
                }
            }
            State::Claiming(_) => self.back_off(now, lease, remaining),
            State::Holding(_) if is_outbid => self.lose_lease(now, lease),
            State::Holding(_) | State::Waiting { .. } => {}
        }
    }
}
