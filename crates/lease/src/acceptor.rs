//! The acceptor of the Paxos register behind each lease. It keeps the promises of one gateway and decides which claims
//! to grant. It performs no I/O: the caller makes [`Output::Persist`] durable and sends the other outputs, in order.
//!
//! An acceptor promises each term at most once and replies only after the promise is durable. An acceptor whose store
//! has lost promises must not vote based on that store. To detect a loss, the acceptor counts its durable writes and
//! announces the count to its peers, which remember the count; a starting acceptor first asks its peers (see the module
//! `recovery`). A majority of the other acceptors readmits an acceptor that has lost promises. The readmitted acceptor
//! adopts the highest term that these peers have promised for each lease, which is at least the term of every holder
//! that it helped to elect, and continues under a new *incarnation*. The peers announce the new incarnation with each
//! of their own grants, so that candidates ignore grants of an earlier incarnation.

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

/// Maximum number of pending writes. A claim that waited behind more writes would time out before the reply.
const MAX_PENDING_WRITES: usize = 1_024;

/// Whether an acceptor votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The acceptor has started and asks its peers whether its store is complete.
    Recovering { lost_promises: bool, replies: BTreeMap<Name, RecoveryReply> },
    /// The acceptor decides on claims.
    Voting,
    /// The acceptor is not a member of the current acceptor set.
    Retired,
    /// A write could not be made durable, or the store belongs to another acceptor set.
    Failed,
}

/// The progress of an acceptor in leaving the previous acceptor set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PreviousEpoch {
    /// There was no previous set, or its promises are adopted.
    Settled,
    /// The record that the acceptor no longer grants under the previous set is not durable yet.
    Stopping,
    /// The record is durable. The promises of the previous set are not adopted yet.
    Stopped,
}

/// A granted claim. It blocks claims of other processes until it expires by the acceptor's clock. Ordered by expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct GrantedLease {
    expires_at: Micros,
    token: FencingToken,
}

/// The fields of a candidate's claim that the reply needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Claim {
    from: ProcessId,
    lease: Name,
    token: FencingToken,
    round: u64,
}

/// A write that the caller has not reported as durable yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    number: u64,
    deferred_action: Option<DeferredAction>,
}

/// An action that must wait until a write is durable.
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
    /// Ask the peers once more before voting, after the first initialization of the store.
    RestartRecovery,
    StopPreviousEpoch,
}

impl DeferredAction {
    fn ends_recovery(&self) -> bool {
        matches!(self, DeferredAction::StartVoting { .. } | DeferredAction::RestartRecovery)
    }
}

/// The acceptor of one gateway. All times are of one monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    name: Name,
    /// Identifies this start of the acceptor.
    start: ProcessId,
    acceptors: AcceptorSet,
    acceptor_set: AcceptorSetId,
    /// The other members of the current set.
    current_peers: Vec<Name>,
    /// The other members of the previous set.
    previous_peers: Vec<Name>,
    settings: LeaseSettings,
    durable: DurableState,
    state: State,
    previous_epoch: PreviousEpoch,
    leases: BTreeMap<Name, GrantedLease>,
    /// Until this time the acceptor does not know the holders of leases that it promised before this start.
    uncertain_until: Micros,
    /// The leases whose holders are unknown; `None` stands for all leases with a promise.
    uncertain_leases: Option<BTreeSet<Name>>,
    next_recovery_request: Micros,
    last_write: u64,
    pending_writes: VecDeque<PendingWrite>,
    outputs: VecDeque<Output>,
}

impl Acceptor {
    /// Starts an acceptor from its durable state. `acceptors` is the current acceptor set; this acceptor may be a
    /// member of the previous set only. `start` must differ between any two starts.
    pub fn new(
        name: &Name,
        start: ProcessId,
        acceptors: &AcceptorSet,
        settings: LeaseSettings,
        durable: DurableState,
        now: Micros,
    ) -> Self {
        let without_self = |names: &[Name]| names.iter().filter(|other| *other != name).cloned().collect();
        let acceptor_set = acceptors.id();
        let stored_epoch = durable.acceptors.epoch;
        // A member that was absent for a whole epoch lacks the promises of that epoch.
        let lost_promises = !durable.is_initialized || stored_epoch + 1 < acceptor_set.epoch;
        let follows_previous = durable.is_initialized && stored_epoch + 1 == acceptor_set.epoch;
        let previous_epoch = if follows_previous { PreviousEpoch::Stopping } else { PreviousEpoch::Settled };
        // A complete store lists every lease that this acceptor may have granted.
        let is_complete = !lost_promises && !follows_previous;
        let uncertain_leases = is_complete.then(|| durable.promises.keys().cloned().collect());
        let mut acceptor = Acceptor {
            name: name.clone(),
            start,
            acceptors: acceptors.clone(),
            acceptor_set,
            current_peers: without_self(&acceptors.names),
            previous_peers: without_self(&acceptors.previous_names),
            settings,
            durable,
            state: State::Recovering { lost_promises, replies: BTreeMap::new() },
            previous_epoch,
            leases: BTreeMap::new(),
            uncertain_until: now + settings.duration,
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

    /// Whether the acceptor decides on claims.
    pub fn is_voting(&self) -> bool {
        self.state == State::Voting
    }

    /// Whether the acceptor grants nothing until its next start, because it cannot make promises durable or its store
    /// belongs to another acceptor set.
    pub fn has_failed(&self) -> bool {
        self.state == State::Failed
    }

    /// The acceptor's state with all writes applied, including writes that are not durable yet.
    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// The holder of a lease that this acceptor knows, with the microseconds until its grant expires.
    pub fn holder(&self, now: Micros, lease: &str) -> Option<(FencingToken, Micros)> {
        let granted = self.leases.get(lease).filter(|granted| granted.expires_at > now)?;
        Some((granted.token, granted.expires_at - now))
    }

    /// All leases with a holder that this acceptor knows, each with the holder and the microseconds until its grant
    /// expires.
    pub fn held_leases(&self, now: Micros) -> impl Iterator<Item = (&Name, FencingToken, Micros)> {
        let held = self.leases.iter().filter(move |(_, granted)| granted.expires_at > now);
        held.map(move |(lease, granted)| (lease, granted.token, granted.expires_at - now))
    }

    /// When to call `handle_timeout` next.
    pub fn next_deadline(&self) -> Option<Micros> {
        matches!(self.state, State::Recovering { .. }).then_some(self.next_recovery_request)
    }

    /// Returns the next action for the caller.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles a request of a candidate or of another acceptor. `from` is the candidate's process.
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
        // Prevents two holders of one term with majorities of two acceptor sets that share no member.
        if acceptors != self.acceptor_set {
            return Err(Rejection::DifferentAcceptors(self.acceptor_set));
        }
        let promised = self.durable.promises.get(&claim.lease).copied();
        if promised == Some(claim.token) {
            self.grant(now, claim);
            return Ok(());
        }
        match promised {
            // A promised term is promised to no other process.
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

    /// The lease of another process that blocks a claim.
    fn blocking_lease(&self, now: Micros, claim: &Claim) -> Option<GrantedLease> {
        let granted = self.leases.get(&claim.lease).copied();
        let granted = granted
            .filter(|granted| granted.token.process != claim.token.process && granted.expires_at > now);
        granted.max(self.uncertain_lease(now, &claim.lease))
    }

    /// After a start the holder of a promised lease is unknown: the promise may come from a peer that made it to a
    /// candidate that never won. The lease counts as held until every lease granted before the start has expired.
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

    /// Grants a promised claim if the promise is durable. The lease starts now.
    fn grant(&mut self, now: Micros, claim: &Claim) {
        let is_pending = self.pending_writes.iter().any(|write| {
            matches!(&write.deferred_action, Some(DeferredAction::Grant(pending))
                if pending.lease == claim.lease && pending.token == claim.token)
        });
        if is_pending {
            return;
        }
        let granted = GrantedLease { token: claim.token, expires_at: now + self.settings.duration };
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

    /// Handles a holder's release of its lease. A release of an earlier term has no effect.
    fn handle_release(&mut self, lease: &Name, token: FencingToken) {
        if self.leases.get(lease).is_some_and(|granted| granted.token == token) {
            self.leases.remove(lease);
        }
    }

    fn persist(&mut self, promises: Vec<(Name, FencingToken)>, deferred_action: Option<DeferredAction>) {
        self.last_write += 1;
        self.pending_writes.push_back(PendingWrite { number: self.last_write, deferred_action });
        let change = StateChange { head: self.durable.head(), promises };
        self.outputs.push_back(Output::Persist { number: self.last_write, change });
    }

    /// Records that all writes up to `number` are durable, or that a write failed.
    pub fn write_completed(&mut self, now: Micros, number: u64, durable: bool) {
        if !durable {
            self.fail();
            return;
        }
        while let Some(write) = self.pending_writes.pop_front_if(|write| write.number <= number) {
            if let Some(action) = write.deferred_action {
                self.execute(now, action);
            }
        }
    }

    /// Stops voting. Promises since the last durable write were granted to no candidate but may be on the disk. Only
    /// the next start can read them from there.
    fn fail(&mut self) {
        self.state = State::Failed;
        self.pending_writes.clear();
        self.outputs.push_back(Output::Event(Event::StorageFailed));
    }

    fn execute(&mut self, now: Micros, action: DeferredAction) {
        match action {
            DeferredAction::Grant(claim) => {
                // A later promise may have replaced this promise. The replaced promise is not granted.
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

    /// Sends the number of durable writes to the peers, which use it to detect an outdated copy of this acceptor's
    /// store.
    fn announce_write_count(&mut self) {
        for to in &self.current_peers {
            let request = AcceptorRequest::WriteCount {
                acceptor: self.name.clone(),
                write_count: self.durable.write_count,
                incarnation: self.durable.incarnation,
            };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }
}
