//! The start of an acceptor: how it learns whether its store is complete, how it is readmitted where it is not, and how the
//! promises of a previous acceptor set are adopted. An acceptor never grants a claim from here.

use std::collections::{BTreeMap, BTreeSet};

use super::{Acceptor, DeferredAction, Event, Output, PreviousEpoch, State};
use crate::message::{AcceptorReply, AcceptorRequest, RecoveryReply, RecoveryRequest};
use crate::{majority, Micros, Name, MILLISECOND};

/// Interval between the recovery requests of an acceptor that starts.
const RECOVERY_INTERVAL: Micros = 100 * MILLISECOND;

impl Acceptor {
    /// Asks the peers again where recovery is not complete; to be called when `next_deadline` has come.
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
        // The only member of a set has nobody to wait for.
        self.try_end_recovery();
    }

    /// All other members of the current and of the previous set.
    fn peers(&self) -> Vec<Name> {
        let mut peers: Vec<Name> = self.others.iter().chain(&self.previous).cloned().collect();
        peers.sort();
        peers.dedup();
        peers
    }

    fn is_peer(&self, name: &Name) -> bool {
        self.others.contains(name) || self.previous.contains(name)
    }

    /// Another acceptor starts, and asks what is known of it here.
    pub(super) fn handle_recovery_request(&mut self, request: RecoveryRequest) {
        if !self.is_peer(&request.acceptor) || self.state == State::Failed {
            return;
        }
        let known = self.durable.peers.get(&request.acceptor).cloned().unwrap_or_default();
        let is_behind = known.write_count > request.write_count;
        let lost_promises =
            (request.lost_promises || request.is_empty || is_behind) && self.durable.is_initialized;
        // An acceptor that is readmitted gets an incarnation that nobody has counted yet, and no earlier one counts here from
        // then on. A start gets one incarnation, however often it asks.
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
            // The incarnation that it is given must outlast this process.
            self.durable.peers.insert(request.acceptor.clone(), record);
            let then = DeferredAction::SendPeerReply { to: request.acceptor, reply };
            self.persist(Vec::new(), Some(then));
        } else if !self.has_pending_reply_to(&request.acceptor) {
            self.outputs.push_back(Output::PeerReply { to: request.acceptor, reply });
        }
    }

    fn has_pending_reply_to(&self, peer: &Name) -> bool {
        self.pending_writes
            .iter()
            .any(|write| matches!(&write.then, Some(DeferredAction::SendPeerReply { to, .. }) if to == peer))
    }

    fn is_ending_recovery(&self) -> bool {
        self.pending_writes.iter().any(|write| write.then.as_ref().is_some_and(DeferredAction::ends_recovery))
    }

    /// What is known here of another acceptor, and promised.
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

    /// Handles the answer of another acceptor.
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

    /// Peers that still counted its store as empty gave it another incarnation while others admitted it. As its store lacks
    /// nothing it may continue in any incarnation; only promises of the latest count.
    fn raise_incarnation(&mut self, incarnation: u64) {
        if self.is_voting() && incarnation > self.durable.incarnation {
            self.durable.incarnation = incarnation;
            self.durable.write_count += 1;
            self.persist(Vec::new(), None);
        }
    }

    /// Another acceptor announces how often it has written. One that does not know its latest incarnation is notified.
    pub(super) fn handle_write_count(&mut self, from: &Name, write_count: u64, incarnation: u64) {
        if !self.others.contains(from) {
            return;
        }
        let record = self.durable.peers.entry(from.clone()).or_default();
        record.write_count = record.write_count.max(write_count);
        if incarnation < record.incarnation {
            let reply = AcceptorReply::Recovery(self.recovery_reply(from));
            self.outputs.push_back(Output::PeerReply { to: from.clone(), reply });
        }
    }

    /// Ends recovery where the replies suffice, once what was adopted is durable.
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
        // Danger: an acceptor that promises while too few others are initialized to admit the rest. At the first start it
        // promises nothing before it has heard that a majority is initialized.
        let then = if is_first_start {
            DeferredAction::RestartRecovery
        } else {
            DeferredAction::StartVoting { recovered }
        };
        self.persist(promises, Some(then));
    }

    /// Nobody has ever promised anything. All others must say so, as any that is not heard might have.
    fn is_first_start(&self, replies: &BTreeMap<Name, RecoveryReply>) -> bool {
        let never_promised =
            replies.iter().filter(|(name, reply)| self.others.contains(name) && reply.never_promised).count();
        !self.durable.is_initialized && self.acceptors.epoch == 0 && never_promised == self.others.len()
    }

    /// Every promise that this acceptor took part in is known to a majority of the others.
    fn is_readmitted(&self, replies: &BTreeMap<Name, RecoveryReply>) -> bool {
        let others = self.others.len();
        others > 0 && self.count_intact_others(replies) >= majority(others)
    }

    /// The store of an acceptor that has lost nothing is complete once enough others are intact; after a change of the set,
    /// once a majority of the previous set has stopped: whatever that set has promised to a holder is among its promises.
    fn is_store_complete(&self, replies: &BTreeMap<Name, RecoveryReply>) -> bool {
        match self.previous_epoch {
            PreviousEpoch::Settled => {
                self.count_intact_others(replies) + 1 >= majority(self.others.len() + 1)
            }
            PreviousEpoch::Stopping => false,
            PreviousEpoch::Stopped => {
                let previous_names = &self.acceptors.previous_names;
                let own = usize::from(previous_names.contains(&self.name));
                self.count_stopped_previous(replies) + own >= majority(previous_names.len())
            }
        }
    }

    /// Others of the current set that have lost nothing and promise under it.
    fn count_intact_others(&self, replies: &BTreeMap<Name, RecoveryReply>) -> usize {
        let is_intact = |(name, reply): &(&Name, &RecoveryReply)| {
            self.others.contains(name) && is_intact(reply) && reply.acceptors == self.acceptor_set
        };
        replies.iter().filter(is_intact).count()
    }

    /// Others of the previous set that have lost nothing and grant nothing under it any more.
    fn count_stopped_previous(&self, replies: &BTreeMap<Name, RecoveryReply>) -> usize {
        let has_stopped = |(name, reply): &(&Name, &RecoveryReply)| {
            self.previous.contains(name) && is_intact(reply) && reply.frozen_epoch >= self.acceptor_set.epoch
        };
        replies.iter().filter(has_stopped).count()
    }

    /// From now on it grants nothing under the previous acceptor set, whatever becomes of the change.
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
        self.uncertain_until = now + self.terms.duration;
        self.outputs.push_back(Output::Event(Event::StartedVoting { recovered }));
    }
}

fn is_intact(reply: &RecoveryReply) -> bool {
    !reply.lost_promises && reply.is_initialized
}
