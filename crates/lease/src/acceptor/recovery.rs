//! Recovery at the start of an acceptor. The acceptor asks its peers whether its store is complete, is readmitted if
//! the store lacks promises, and adopts the promises of a previous acceptor set. This module grants no claims.

use std::collections::{BTreeMap, BTreeSet};

use super::{Acceptor, DeferredAction, Event, Output, PreviousEpoch, State};
use crate::message::{AcceptorReply, AcceptorRequest, RecoveryReply, RecoveryRequest};
use crate::{majority, Micros, Name, MILLISECOND};

/// Interval between the recovery requests of a starting acceptor.
const RECOVERY_INTERVAL: Micros = 100 * MILLISECOND;

impl Acceptor {
    /// Sends recovery requests to the peers while recovery is not complete. Call this at `next_deadline`.
    pub fn handle_timeout(&mut self, now: Micros) {
        let State::Recovering { lost_promises, .. } = &self.state else { return };
        if now < self.next_recovery_request {
            return;
        }
        self.next_recovery_request = now + RECOVERY_INTERVAL;
        let is_empty = !self.durable.is_initialized;
        let request = RecoveryRequest {
            acceptor: self.name.clone(),
            start: self.start,
            write_count: self.durable.write_count,
            incarnation: self.durable.incarnation,
            lost_promises: *lost_promises && !is_empty,
            is_empty,
        };
        for to in self.peers() {
            let request = AcceptorRequest::Recover(request.clone());
            self.outputs.push_back(Output::Request { to, request });
        }
        // The only member of a set has no peers to wait for.
        self.try_end_recovery();
    }

    /// All other members of the current and the previous set.
    fn peers(&self) -> Vec<Name> {
        let mut peers: Vec<Name> = self.current_peers.iter().chain(&self.previous_peers).cloned().collect();
        peers.sort();
        peers.dedup();
        peers
    }

    fn is_peer(&self, name: &Name) -> bool {
        self.current_peers.contains(name) || self.previous_peers.contains(name)
    }

    /// Handles the request of a starting acceptor, which asks what this acceptor knows about it.
    pub(super) fn handle_recovery_request(&mut self, request: RecoveryRequest) {
        if !self.is_peer(&request.acceptor) || self.state == State::Failed {
            return;
        }
        let known = self.durable.peers.get(&request.acceptor).cloned().unwrap_or_default();
        let is_behind = known.write_count > request.write_count;
        let lost_promises =
            (request.lost_promises || request.is_empty || is_behind) && self.durable.is_initialized;
        // A readmitted acceptor gets a new incarnation, which has not been used before. Its earlier incarnations no
        // longer count here. Repeated requests of one start get the same incarnation.
        let is_new_start = known.start != Some(request.start);
        let mut record = known.clone();
        record.write_count = known.write_count.max(request.write_count);
        record.incarnation = known.incarnation.max(request.incarnation);
        if lost_promises && is_new_start {
            record.incarnation += 1;
            record.start = Some(request.start);
        }
        let reply =
            RecoveryReply { incarnation: record.incarnation, ..self.recovery_reply(&request.acceptor) };
        let reply = AcceptorReply::Recovery(reply);
        if lost_promises && is_new_start {
            // The new incarnation must be durable before the reply is sent.
            self.durable.peers.insert(request.acceptor.clone(), record);
            let deferred_action = DeferredAction::SendPeerReply { to: request.acceptor, reply };
            self.persist(Vec::new(), Some(deferred_action));
        } else if !self.has_pending_reply_to(&request.acceptor) {
            self.outputs.push_back(Output::PeerReply { to: request.acceptor, reply });
        }
    }

    fn has_pending_reply_to(&self, peer: &Name) -> bool {
        self.pending_writes
            .iter()
            .any(|write| matches!(&write.deferred_action, Some(DeferredAction::SendPeerReply { to, .. }) if to == peer))
    }

    fn is_ending_recovery(&self) -> bool {
        self.pending_writes
            .iter()
            .any(|write| write.deferred_action.as_ref().is_some_and(DeferredAction::ends_recovery))
    }

    /// What this acceptor knows about the acceptor `peer`, with its own state and promises.
    fn recovery_reply(&self, peer: &Name) -> RecoveryReply {
        let known = self.durable.peers.get(peer).cloned().unwrap_or_default();
        let frozen_epoch = match self.previous_epoch {
            PreviousEpoch::Stopping => 0,
            PreviousEpoch::Settled | PreviousEpoch::Stopped => self.durable.frozen_epoch,
        };
        RecoveryReply {
            acceptor: peer.clone(),
            write_count: known.write_count,
            incarnation: known.incarnation,
            is_initialized: self.durable.is_initialized && !self.is_ending_recovery(),
            lost_promises: matches!(self.state, State::Recovering { lost_promises: true, .. }),
            never_promised: self.durable.promises.is_empty(),
            acceptors: self.durable.acceptors,
            frozen_epoch,
            promises: self.durable.promises.clone(),
        }
    }

    /// Handles the reply of another acceptor.
    pub fn handle_peer_reply(&mut self, from: &Name, reply: AcceptorReply) {
        let AcceptorReply::Recovery(reply) = reply else { return };
        if reply.acceptor != self.name || !self.is_peer(from) {
            return;
        }
        let State::Recovering { lost_promises, replies } = &mut self.state else {
            return self.raise_incarnation(reply.incarnation);
        };
        let is_behind = reply.write_count > self.durable.write_count;
        if self.durable.is_initialized && is_behind && !*lost_promises {
            *lost_promises = true;
            self.outputs.push_back(Output::Event(Event::LostPromises));
        }
        replies.insert(from.clone(), reply);
        self.try_end_recovery();
    }

    /// Adopts a later incarnation while voting. Some peers may have given this acceptor a new incarnation because they
    /// still took its store for empty, while other peers admitted it. The store is complete, so the acceptor may
    /// continue under any incarnation, and only promises of the latest incarnation count.
    fn raise_incarnation(&mut self, incarnation: u64) {
        if self.is_voting() && incarnation > self.durable.incarnation {
            self.durable.incarnation = incarnation;
            self.durable.write_count += 1;
            self.persist(Vec::new(), None);
        }
    }

    /// Records the write count that another acceptor announces. Notifies the acceptor if it does not know its latest
    /// incarnation.
    pub(super) fn handle_write_count(&mut self, from: &Name, write_count: u64, incarnation: u64) {
        if !self.current_peers.contains(from) {
            return;
        }
        let record = self.durable.peers.entry(from.clone()).or_default();
        record.write_count = record.write_count.max(write_count);
        if incarnation < record.incarnation {
            let reply = AcceptorReply::Recovery(self.recovery_reply(from));
            self.outputs.push_back(Output::PeerReply { to: from.clone(), reply });
        }
    }

    /// Adopts the peers' promises if the replies suffice. Recovery ends once the adopted promises are durable.
    fn try_end_recovery(&mut self) {
        let State::Recovering { lost_promises, replies } = &self.state else { return };
        let recovered = *lost_promises;
        let is_first_start = self.is_first_start(replies);
        let is_complete = !recovered && self.is_store_complete(replies);
        if !(is_first_start || is_complete || self.is_readmitted(replies)) || self.is_ending_recovery() {
            return;
        }
        if recovered {
            self.uncertain_leases = None;
        }
        self.previous_epoch = PreviousEpoch::Settled;
        self.durable.acceptors = self.acceptor_set;
        self.durable.frozen_epoch = self.acceptor_set.epoch;
        for reply in replies.values() {
            self.durable.adopt(reply, recovered);
        }
        self.durable.is_initialized = true;
        self.durable.write_count += 1;
        let promises = self.durable.promises.clone().into_iter().collect();
        // If an acceptor promised at the first start while too few others were initialized, the remaining acceptors
        // could never be admitted. So it promises nothing until a majority has reported that it is initialized.
        let deferred_action = if is_first_start {
            DeferredAction::RestartRecovery
        } else {
            DeferredAction::StartVoting { recovered }
        };
        self.persist(promises, Some(deferred_action));
    }

    /// Whether no acceptor has ever promised anything. All others must report this, as a silent acceptor may have
    /// promised.
    fn is_first_start(&self, replies: &BTreeMap<Name, RecoveryReply>) -> bool {
        let never_promised = replies
            .iter()
            .filter(|(name, reply)| self.current_peers.contains(name) && reply.never_promised)
            .count();
        !self.durable.is_initialized
            && self.acceptors.epoch == 0
            && never_promised == self.current_peers.len()
    }

    /// Whether a majority of the others is intact. This majority knows every promise that this acceptor contributed to.
    fn is_readmitted(&self, replies: &BTreeMap<Name, RecoveryReply>) -> bool {
        let peer_count = self.current_peers.len();
        peer_count > 0 && self.count_intact_peers(replies) >= majority(peer_count)
    }

    /// Whether the store of an acceptor that has lost no promises is complete. Without a change of the set, enough
    /// others must be intact. After a change, a majority of the previous set must have stopped: this majority knows
    /// every promise that the previous set has made to a holder.
    fn is_store_complete(&self, replies: &BTreeMap<Name, RecoveryReply>) -> bool {
        match self.previous_epoch {
            PreviousEpoch::Settled => {
                self.count_intact_peers(replies) + 1 >= majority(self.current_peers.len() + 1)
            }
            PreviousEpoch::Stopping => false,
            PreviousEpoch::Stopped => {
                let previous_names = &self.acceptors.previous_names;
                let own = usize::from(previous_names.contains(&self.name));
                self.count_stopped_previous_peers(replies) + own >= majority(previous_names.len())
            }
        }
    }

    /// Counts the other members of the current set that have lost no promises and promise under this set.
    fn count_intact_peers(&self, replies: &BTreeMap<Name, RecoveryReply>) -> usize {
        let is_intact = |(name, reply): &(&Name, &RecoveryReply)| {
            self.current_peers.contains(name) && is_intact(reply) && reply.acceptors == self.acceptor_set
        };
        replies.iter().filter(is_intact).count()
    }

    /// Counts the other members of the previous set that have lost no promises and no longer grant under that set.
    fn count_stopped_previous_peers(&self, replies: &BTreeMap<Name, RecoveryReply>) -> usize {
        let has_stopped = |(name, reply): &(&Name, &RecoveryReply)| {
            self.previous_peers.contains(name)
                && is_intact(reply)
                && reply.frozen_epoch >= self.acceptor_set.epoch
        };
        replies.iter().filter(has_stopped).count()
    }

    /// Stops granting under the previous acceptor set, even if the change of the set is never completed.
    pub(super) fn stop_previous_epoch(&mut self) {
        self.durable.frozen_epoch = self.acceptor_set.epoch;
        self.durable.write_count += 1;
        self.persist(Vec::new(), Some(DeferredAction::StopPreviousEpoch));
    }

    pub(super) fn previous_epoch_stopped(&mut self) {
        if self.previous_epoch == PreviousEpoch::Stopping {
            self.previous_epoch = PreviousEpoch::Stopped;
        }
    }

    pub(super) fn restart_recovery(&mut self, now: Micros) {
        self.uncertain_leases = Some(BTreeSet::new());
        self.state = State::Recovering { lost_promises: false, replies: BTreeMap::new() };
        self.next_recovery_request = now;
    }

    pub(super) fn start_voting(&mut self, now: Micros, recovered: bool) {
        if !self.acceptors.names.contains(&self.name) {
            self.state = State::Retired;
            self.outputs.push_back(Output::Event(Event::Retired));
            return;
        }
        self.state = State::Voting;
        self.uncertain_until = now + self.settings.duration;
        self.outputs.push_back(Output::Event(Event::StartedVoting { recovered }));
    }
}

fn is_intact(reply: &RecoveryReply) -> bool {
    !reply.lost_promises && reply.is_initialized
}
