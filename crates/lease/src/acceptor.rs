//! The acceptor of the Paxos register behind each lease: it owns the promises of one gateway and decides which claims to
//! grant. It never performs I/O: the caller makes [`Output::Persist`] durable and sends the other outputs, in their order.
//!
//! An acceptor promises each term at most once, and answers only after the promise is durable. An acceptor whose store has
//! lost promises must not vote by that store. To detect this, every durable write is counted, the peers remember the counts
//! that they were sent, and an acceptor that starts asks them first (see the module `recovery`). An acceptor that has lost
//! promises is readmitted by a majority of the others: it adopts the highest term of each lease that they have promised,
//! which is at least the term of every holder that it helped to elect, and continues under a new *incarnation*. Those who
//! readmitted it announce that incarnation with each of their own grants, so that a candidate does not count a promise of an
//! earlier one.

mod durable_state;
mod output;
mod recovery;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use durable_state::{DurableHead, DurableState, PeerRecord, StateChange};
pub use output::{Event, Output};

use crate::message::{AcceptorReply, AcceptorRequest, RecoveryReply, Rejection};
use crate::{
    AcceptorSet, AcceptorSetId, FencingToken, LeaseSettings, Micros, Name, ProcessId, MAX_LEASES,
    MAX_NAME_BYTES,
};

/// Promises that may wait for the disk at a time. A claim beyond that would time out before it is answered.
const MAX_PENDING_WRITES: usize = 1_024;

/// The voting rights of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// It has started, and learns from its peers whether its store is complete.
    Recovering { lost_promises: bool, replies: BTreeMap<Name, RecoveryReply> },
    /// It answers claims.
    Voting,
    /// It is no member of the current acceptor set.
    Retired,
    /// A write could not be made durable, or the store belongs to another acceptor set.
    Failed,
}

/// What an acceptor still owes to a change of the acceptor set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PreviousEpoch {
    /// The promises of the previous set, if there was one, are adopted.
    Settled,
    /// The note that it grants nothing under the previous set any more is not durable yet.
    Stopping,
    /// That note is durable; the promises of the previous set remain to be adopted.
    Stopped,
}

/// A claim that may not be overridden before a time by the acceptor's clock. The order is that of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct GrantedLease {
    expires_at: Micros,
    token: FencingToken,
}

/// A claim of a candidate, as far as the answer needs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Claim {
    from: ProcessId,
    lease: Name,
    token: FencingToken,
    round: u64,
}

/// A write that is not known to be durable yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    number: u64,
    then: Option<DeferredAction>,
}

/// An action that is permitted only once a write is durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum DeferredAction {
    Grant(Claim),
    SendPeerReply {
        to: Name,
        reply: AcceptorReply,
    },
    StartVoting {
        recovered: bool,
    },
    /// The store is initialized for the first time; the acceptor asks its peers once more before it votes.
    RestartRecovery,
    StopPreviousEpoch,
}

impl DeferredAction {
    fn ends_recovery(&self) -> bool {
        matches!(self, DeferredAction::StartVoting { .. } | DeferredAction::RestartRecovery)
    }
}

/// The acceptor of one gateway. Times are of one even clock that nobody sets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    name: Name,
    /// Distinguishes this start of the acceptor from all others.
    start: ProcessId,
    acceptors: AcceptorSet,
    acceptor_set: AcceptorSetId,
    /// The other members of the current set, and of the previous one.
    others: Vec<Name>,
    previous: Vec<Name>,
    terms: LeaseSettings,
    durable: DurableState,
    state: State,
    previous_epoch: PreviousEpoch,
    leases: BTreeMap<Name, GrantedLease>,
    /// Until then the holders of leases that were promised before this start are not known.
    uncertain_until: Micros,
    /// The leases that this concerns; all that were ever promised, if none.
    uncertain_leases: Option<BTreeSet<Name>>,
    next_recovery_request: Micros,
    last_write: u64,
    pending_writes: VecDeque<PendingWrite>,
    outputs: VecDeque<Output>,
}

impl Acceptor {
    /// Starts an acceptor from its durable state. `acceptors` are all members of the current set, with this one unless it
    /// was a member of the previous set only; `start` must differ between any two starts.
    pub fn new(
        name: &Name,
        start: ProcessId,
        acceptors: &AcceptorSet,
        terms: LeaseSettings,
        durable: DurableState,
        now: Micros,
    ) -> Self {
        let without_self = |names: &[Name]| names.iter().filter(|other| *other != name).cloned().collect();
        let acceptor_set = acceptors.id();
        let stored_epoch = durable.acceptors.epoch;
        // A member that was absent during a whole epoch took no part in the promises of it.
        let lost_promises = !durable.is_initialized || stored_epoch + 1 < acceptor_set.epoch;
        let follows_previous = durable.is_initialized && stored_epoch + 1 == acceptor_set.epoch;
        let previous_epoch = if follows_previous { PreviousEpoch::Stopping } else { PreviousEpoch::Settled };
        // A complete store lists all leases that this acceptor can have granted.
        let is_complete = !lost_promises && !follows_previous;
        let uncertain_leases = is_complete.then(|| durable.promises.keys().cloned().collect());
        let mut acceptor = Acceptor {
            name: name.clone(),
            start,
            acceptors: acceptors.clone(),
            acceptor_set,
            others: without_self(&acceptors.names),
            previous: without_self(&acceptors.previous_names),
            terms,
            durable,
            state: State::Recovering { lost_promises, replies: BTreeMap::new() },
            previous_epoch,
            leases: BTreeMap::new(),
            uncertain_until: now + terms.duration,
            uncertain_leases,
            next_recovery_request: now,
            last_write: 0,
            pending_writes: VecDeque::new(),
            outputs: VecDeque::new(),
        };
        if acceptor.durable.conflicts_with(acceptor_set) {
            acceptor.state = State::Failed;
            let stored = acceptor.durable.acceptors;
            acceptor.outputs.push_back(Output::Event(Event::DifferentAcceptors(stored)));
        } else if follows_previous {
            acceptor.stop_previous_epoch();
        }
        acceptor
    }

    /// Whether it answers claims.
    pub fn is_voting(&self) -> bool {
        self.state == State::Voting
    }

    /// Whether it grants nothing until it is started again, as it can't make promises durable or its store belongs to other
    /// acceptors.
    pub fn has_failed(&self) -> bool {
        self.state == State::Failed
    }

    /// Its state with all writes applied, durable or not.
    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// The holder of a lease as far as this acceptor knows, and for how many microseconds more.
    pub fn holder(&self, now: Micros, lease: &str) -> Option<(FencingToken, Micros)> {
        let granted = self.leases.get(lease).filter(|granted| granted.expires_at > now)?;
        Some((granted.token, granted.expires_at - now))
    }

    /// All leases that this acceptor knows to be held, by whom, and for how many microseconds more.
    pub fn held_leases(&self, now: Micros) -> impl Iterator<Item = (&Name, FencingToken, Micros)> {
        let held = self.leases.iter().filter(move |(_, granted)| granted.expires_at > now);
        held.map(move |(lease, granted)| (lease, granted.token, granted.expires_at - now))
    }

    /// The time at which `handle_timeout` is to be called.
    pub fn next_deadline(&self) -> Option<Micros> {
        matches!(self.state, State::Recovering { .. }).then_some(self.next_recovery_request)
    }

    /// The next thing for the caller to do.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles a request of a candidate, which is the process `from`, or of another acceptor.
    pub fn handle_request(&mut self, now: Micros, from: ProcessId, request: AcceptorRequest) {
        match request {
            AcceptorRequest::Claim { lease, token, round, acceptors } => {
                let claim = Claim { from, lease, token, round };
                if let Err(reason) = self.handle_claim(now, &claim, acceptors) {
                    let Claim { lease, token, round, .. } = claim;
                    let reply = AcceptorReply::Rejected { lease, token, round, reason };
                    self.outputs.push_back(Output::Reply { to: from, reply });
                }
            }
            AcceptorRequest::Release { lease, token } => self.handle_release(&lease, token),
            AcceptorRequest::Recover(request) => self.handle_recovery_request(request),
            AcceptorRequest::WriteCount { acceptor, write_count, incarnation } => {
                self.handle_write_count(&acceptor, write_count, incarnation);
            }
        }
    }

    fn handle_claim(
        &mut self,
        now: Micros,
        claim: &Claim,
        acceptors: AcceptorSetId,
    ) -> Result<(), Rejection> {
        if !self.is_voting() || claim.token.process != claim.from {
            return Err(Rejection::NotVoting);
        }
        // Danger: two holders of one term, by majorities of two acceptor sets without a common member.
        if acceptors != self.acceptor_set {
            return Err(Rejection::DifferentAcceptors(self.acceptor_set));
        }
        let promised = self.durable.promises.get(&claim.lease).copied();
        if promised == Some(claim.token) {
            self.grant(now, claim);
            return Ok(());
        }
        match promised {
            // A term is promised once, whoever asks for it later.
            Some(promise) if promise.term >= claim.token.term => {
                return Err(Rejection::HigherPromise(promise))
            }
            None if !self.accepts_new_lease(&claim.lease) => return Err(Rejection::CapacityExceeded),
            _ => {}
        }
        if let Some(blocking) = self.blocking_lease(now, claim) {
            let remaining = blocking.expires_at - now;
            return Err(Rejection::HeldByOther { remaining, holder: blocking.token });
        }
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            return Err(Rejection::Overloaded);
        }
        self.promise(claim);
        Ok(())
    }

    fn accepts_new_lease(&self, lease: &Name) -> bool {
        self.durable.promises.len() < MAX_LEASES && !lease.is_empty() && lease.len() <= MAX_NAME_BYTES
    }

    /// The lease of another process that a claim would have to wait for.
    fn blocking_lease(&self, now: Micros, claim: &Claim) -> Option<GrantedLease> {
        let granted = self.leases.get(&claim.lease).copied();
        let granted = granted
            .filter(|granted| granted.token.process != claim.token.process && granted.expires_at > now);
        granted.max(self.uncertain_lease(now, &claim.lease))
    }

    /// After a start the holder of a promised lease is not known: the promise may have been adopted from a peer that made it
    /// to a candidate that never won. The lease counts as held until the longest one of before the start has expired.
    fn uncertain_lease(&self, now: Micros, lease: &Name) -> Option<GrantedLease> {
        let is_uncertain = self.uncertain_until > now
            && self.uncertain_leases.as_ref().is_none_or(|leases| leases.contains(lease));
        let promised = self.durable.promises.get(lease).filter(|_| is_uncertain)?;
        Some(GrantedLease { expires_at: self.uncertain_until, token: *promised })
    }

    fn promise(&mut self, claim: &Claim) {
        let promise = (claim.lease.clone(), claim.token);
        self.durable.promises.insert(claim.lease.clone(), claim.token);
        self.durable.write_count += 1;
        self.persist(vec![promise], Some(DeferredAction::Grant(claim.clone())));
    }

    /// Grants a promised claim, unless the promise is not durable yet; the lease counts from now.
    fn grant(&mut self, now: Micros, claim: &Claim) {
        let is_pending = self.pending_writes.iter().any(|write| {
            matches!(&write.then, Some(DeferredAction::Grant(pending))
                if pending.lease == claim.lease && pending.token == claim.token)
        });
        if is_pending {
            return;
        }
        let granted = GrantedLease { token: claim.token, expires_at: now + self.terms.duration };
        self.leases.insert(claim.lease.clone(), granted);
        let peers = self.durable.peers.iter();
        let reply = AcceptorReply::Granted {
            lease: claim.lease.clone(),
            token: claim.token,
            round: claim.round,
            incarnation: self.durable.incarnation,
            incarnations: peers.map(|(name, peer)| (name.clone(), peer.incarnation)).collect(),
        };
        self.outputs.push_back(Output::Reply { to: claim.from, reply });
    }

    /// A holder has released its lease. The release of an earlier term has no effect.
    fn handle_release(&mut self, lease: &Name, token: FencingToken) {
        if self.leases.get(lease).is_some_and(|granted| granted.token == token) {
            self.leases.remove(lease);
        }
    }

    fn persist(&mut self, promises: Vec<(Name, FencingToken)>, then: Option<DeferredAction>) {
        self.last_write += 1;
        self.pending_writes.push_back(PendingWrite { number: self.last_write, then });
        let change = StateChange { head: self.durable.head(), promises };
        self.outputs.push_back(Output::Persist { number: self.last_write, change });
    }

    /// All writes up to `number` are durable, or can't be made so.
    pub fn write_completed(&mut self, now: Micros, number: u64, durable: bool) {
        if !durable {
            self.fail();
            return;
        }
        while let Some(write) = self.pending_writes.pop_front_if(|write| write.number <= number) {
            if let Some(action) = write.then {
                self.execute(now, action);
            }
        }
    }

    /// What was promised since the last durable write was granted to nobody, but may be on the disk: only another start can
    /// tell.
    fn fail(&mut self) {
        self.state = State::Failed;
        self.pending_writes.clear();
        self.outputs.push_back(Output::Event(Event::StorageFailed));
    }

    fn execute(&mut self, now: Micros, action: DeferredAction) {
        match action {
            DeferredAction::Grant(claim) => {
                // A later promise may have replaced this one, which is then granted to nobody.
                if self.durable.promises.get(&claim.lease) == Some(&claim.token) {
                    self.grant(now, &claim);
                    self.announce_write_count();
                }
            }
            DeferredAction::SendPeerReply { to, reply } => {
                self.outputs.push_back(Output::PeerReply { to, reply });
            }
            DeferredAction::StopPreviousEpoch => self.previous_epoch_stopped(),
            DeferredAction::RestartRecovery => self.restart_recovery(now),
            DeferredAction::StartVoting { recovered } => self.start_voting(now, recovered),
        }
    }

    /// Lets the peers remember how often this acceptor has written, so that an older copy of its store is detected.
    fn announce_write_count(&mut self) {
        for to in &self.others {
            let request = AcceptorRequest::WriteCount {
                acceptor: self.name.clone(),
                write_count: self.durable.write_count,
                incarnation: self.durable.incarnation,
            };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }
}
