//! A list that one gateway polls from its source and replicates to all others, for sources that can serve only few
//! polls. This module keeps one gateway's copy of the list and decides when to poll and what to send. It performs no
//! I/O and does not decide which gateway holds the lease for the list.
//!
//! The lease holder polls often and broadcasts the changes, or that there are no changes. A gateway that has received
//! no broadcast for a third of the maximum age polls the source itself and broadcasts the result; the ranks determine
//! which gateway polls first. So the list reaches all gateways even if the holder fails, and in a partitioned fleet one
//! gateway polls on each side.
//!
//! No copy returns to an earlier version. The source assigns the versions. If the index of the source falls, because
//! another instance has replaced the source, only a lease holder starts a new epoch, with its term. A holder's
//! broadcast carries its fencing token and is rejected by receivers that know a higher token. The sender states the age
//! of the list by its own monotonic clock, so a gateway that was suspended between a poll and a broadcast does not make
//! an old list look fresh.

mod fragment;
mod message;

use std::collections::{BTreeMap, VecDeque};

use fragment::{fragments, PartialList, Transmission, MAX_FRAGMENTS};
pub use message::{Entry, Fragment, ListMessage, SourceReply, Version};

use crate::fencing::{FencingDecision, FencingGuard};
use crate::{FencingToken, Micros, Name};

/// Number of polls of a lease holder per maximum age.
const POLLS_PER_MAX_AGE: u64 = 6;
/// A gateway that has received no broadcast for the maximum age divided by this polls the source itself.
const SILENCE_DIVISOR: u64 = 3;
/// Without broadcasts from a holder, the poll of each rank is delayed after the poll of the previous rank by the
/// maximum age divided by this.
const RANK_DELAY_DIVISOR: u64 = 40;
/// From this rank on all gateways poll at the same time, as the ranking is only a guess at that point.
const MAX_DELAYED_RANKS: u64 = 12;
/// Consecutive failed polls after which a holder hands the lease over.
const MAX_FAILED_POLLS: u32 = 2;
/// Maximum number of gateways that are sent the complete list between two polls.
const MAX_COMPLETE_SENDS: usize = 8;
/// Age of the list, in maximum ages, from which a lower index of the source is accepted without a lease holder.
const REPLACED_SOURCE_MAX_AGES: u64 = 4;

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Poll the source, and call `poll_completed` with the reply.
    Poll {
        /// Request the changes after this index; `None` requests the complete list.
        since: Option<u64>,
    },
    /// Send a fragment to all other gateways, with the fencing token if this gateway holds the lease.
    Broadcast(Fragment),
    /// Send a fragment to one gateway, with the fencing token if this gateway holds the lease.
    SendFragment(Name, Fragment),
    /// Send a message to one gateway.
    SendMessage(Name, ListMessage),
    /// The copy has changed or is known for the first time. Contains the complete list or the changes.
    Updated(SourceReply),
    /// This gateway holds the lease but cannot reach the source: another gateway should take the lease over.
    HandOver,
    /// A broadcast of this gateway was rejected, as another gateway holds the lease with this token.
    Rejected(FencingToken),
}

/// One gateway's copy of the list. All times are of one monotonic clock.
#[derive(Clone, Debug)]
pub struct ReplicatedList {
    lease: Name,
    max_age: Micros,
    entries: BTreeMap<String, Entry>,
    /// Whether the entries are the complete list. They are incomplete if only the version was known before the start.
    is_complete: bool,
    version: Option<Version>,
    guard: FencingGuard,
    /// When the poll started whose result is the current copy.
    polled_at: Micros,
    /// Whether a poll after `polled_at` has failed.
    poll_failed: bool,
    /// Consecutive failed polls while this gateway holds the lease.
    failed_polls: u32,
    /// When the pending poll started.
    poll_started_at: Option<Micros>,
    next_poll: Micros,
    partial: Option<PartialList>,
    /// Number of times the complete list was sent to one gateway since the last poll.
    complete_sends: usize,
    outputs: VecDeque<Output>,
}

impl ReplicatedList {
    /// A copy that must not be older than `max_age`. `known_index` is the index that was known before the start, if
    /// any; the age of that version is unknown. `jitter`, from 0 to 1, spreads the first polls of gateways that start
    /// together.
    pub fn new(lease: &Name, max_age: Micros, known_index: Option<u64>, now: Micros, jitter: f64) -> Self {
        let silence = max_age / SILENCE_DIVISOR;
        let delay =
            if known_index.is_some() { (silence as f64 * jitter.clamp(0.0, 1.0)) as Micros } else { 0 };
        ReplicatedList {
            lease: lease.clone(),
            max_age,
            entries: BTreeMap::new(),
            is_complete: false,
            version: known_index.map(|index| Version { epoch: 0, index }),
            guard: FencingGuard::default(),
            polled_at: (now + delay).saturating_sub(silence),
            poll_failed: false,
            failed_polls: 0,
            poll_started_at: None,
            next_poll: now,
            partial: None,
            complete_sends: 0,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the next action for the caller.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The version of the copy, if there is one.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Whether the copy may be older than the maximum age. A stale copy must not be used until a poll has succeeded or
    /// failed.
    ///
    /// Without this check a process that was suspended would use an outdated list right after it resumes.
    pub fn is_stale(&self, now: Micros) -> bool {
        now >= self.polled_at + self.max_age && !self.poll_failed
    }

    /// Until when the copy may be used.
    pub fn fresh_until(&self) -> Micros {
        if self.poll_failed {
            Micros::MAX
        } else {
            self.polled_at + self.max_age
        }
    }

    /// When to call `handle_timeout` next. `rank` is this gateway's rank for the lease.
    pub fn next_deadline(&self, is_holder: bool, rank: usize) -> Micros {
        if self.poll_started_at.is_some() {
            return Micros::MAX;
        }
        if is_holder {
            return self.next_poll;
        }
        let rank_delay = (rank as u64).min(MAX_DELAYED_RANKS) * (self.max_age / RANK_DELAY_DIVISOR);
        self.next_poll.max(self.polled_at + self.max_age / SILENCE_DIVISOR + rank_delay)
    }

    /// Starts a poll if one is due.
    pub fn handle_timeout(&mut self, now: Micros, is_holder: bool, rank: usize) {
        if now < self.next_deadline(is_holder, rank) {
            return;
        }
        self.poll_started_at = Some(now);
        // A gateway needs the complete list to send it to others.
        let since = self.version.filter(|_| self.is_complete).map(|version| version.index);
        self.outputs.push_back(Output::Poll { since });
    }

    /// Handles the end of the pending poll; `reply` is `None` if the poll failed. `term` is the term of the lease if
    /// this gateway holds it.
    pub fn poll_completed(&mut self, now: Micros, reply: Option<SourceReply>, term: Option<u64>) {
        let Some(started_at) = self.poll_started_at.take() else { return };
        self.next_poll = now.max(started_at + self.max_age / POLLS_PER_MAX_AGE);
        self.complete_sends = 0;
        match reply {
            Some(reply) => self.handle_source_reply(now, started_at, reply, term),
            None => self.handle_failed_poll(now, term.is_some()),
        }
    }

    fn handle_failed_poll(&mut self, now: Micros, is_holder: bool) {
        self.poll_failed = true;
        if !is_holder {
            self.next_poll = now + self.max_age / SILENCE_DIVISOR;
            return;
        }
        self.failed_polls += 1;
        if self.failed_polls.is_multiple_of(MAX_FAILED_POLLS) {
            self.outputs.push_back(Output::HandOver);
        }
    }

    fn handle_source_reply(
        &mut self,
        now: Micros,
        started_at: Micros,
        reply: SourceReply,
        term: Option<u64>,
    ) {
        self.failed_polls = 0;
        let index_decreased = self.version.is_some_and(|version| reply.index < version.index);
        let Some(epoch) = self.epoch_for_reply(now, index_decreased, term) else {
            self.poll_failed = true;
            return;
        };
        if index_decreased && !reply.is_complete {
            // The changes are relative to a version that the replacing source has never had, so they are useless.
            self.is_complete = false;
            self.next_poll = now;
            return;
        }
        let version = Version { epoch, index: reply.index };
        let is_change = !reply.is_complete && !index_decreased;
        let since = self.version.filter(|_| is_change).map(|version| version.index);
        self.apply(version, reply.is_complete, reply.entries.clone());
        self.polled_at = self.polled_at.max(started_at);
        self.poll_failed = false;
        let entries = match since {
            Some(_) => reply.entries,
            None => self.entries.values().cloned().collect(),
        };
        for fragment in fragments(version, since, now - started_at, entries) {
            self.outputs.push_back(Output::Broadcast(fragment));
        }
    }

    /// The epoch of a reply; `None` if a reply with a lower index cannot be accepted yet. For a lower index a lease
    /// holder starts a new epoch. A gateway that has received no broadcast for a long time continues the old epoch.
    fn epoch_for_reply(&self, now: Micros, index_decreased: bool, term: Option<u64>) -> Option<u64> {
        let Some(version) = self.version else { return Some(0) };
        if !index_decreased {
            return Some(version.epoch);
        }
        match term {
            Some(term) => (term > version.epoch).then_some(term),
            None => {
                (now >= self.polled_at + REPLACED_SOURCE_MAX_AGES * self.max_age).then_some(version.epoch)
            }
        }
    }

    fn apply(&mut self, version: Version, is_complete: bool, entries: Vec<Entry>) {
        if is_complete {
            self.entries.clear();
            self.is_complete = true;
        }
        for entry in &entries {
            if entry.removed {
                self.entries.remove(&entry.name);
            } else {
                self.entries.insert(entry.name.clone(), entry.clone());
            }
        }
        if is_complete || !entries.is_empty() {
            let update = SourceReply { index: version.index, is_complete, entries };
            self.outputs.push_back(Output::Updated(update));
        }
        self.version = Some(version);
    }

    /// Handles a message from another gateway.
    pub fn handle_message(&mut self, now: Micros, from: &Name, message: ListMessage) {
        match message {
            ListMessage::Fragment(token, fragment) => self.handle_fragment(now, from, token, fragment),
            ListMessage::RequestComplete => self.send_complete(now, from),
            ListMessage::Rejected(highest) => self.outputs.push_back(Output::Rejected(highest)),
        }
    }

    fn send_complete(&mut self, now: Micros, to: &Name) {
        if self.complete_sends >= MAX_COMPLETE_SENDS || !self.is_complete {
            return;
        }
        self.complete_sends += 1;
        let Some(version) = self.version else { return };
        let entries = self.entries.values().cloned().collect();
        for fragment in fragments(version, None, now.saturating_sub(self.polled_at), entries) {
            self.outputs.push_back(Output::SendFragment(to.clone(), fragment));
        }
    }

    fn handle_fragment(&mut self, now: Micros, from: &Name, token: Option<FencingToken>, fragment: Fragment) {
        if let Some(highest) = self.higher_token(token) {
            let rejection = ListMessage::Rejected(highest);
            self.outputs.push_back(Output::SendMessage(from.clone(), rejection));
            return;
        }
        if !self.is_acceptable(&fragment, token.is_some()) {
            return;
        }
        if !self.has_base_for(&fragment) {
            let request = ListMessage::RequestComplete;
            self.outputs.push_back(Output::SendMessage(from.clone(), request));
            return;
        }
        let Fragment { version, since, age_ms, number, count, entries } = fragment;
        let transmission = Transmission { from: from.clone(), token, version, since, count };
        let Some(entries) = self.collect(transmission, number, entries) else { return };
        // A complete list of the known version changes nothing; it only confirms the version.
        if since.is_some() || self.version != Some(version) || !self.is_complete {
            self.apply(version, since.is_none(), entries);
        }
        let polled_at = now.saturating_sub(Micros::from(age_ms) * 1_000);
        if polled_at > self.polled_at {
            self.polled_at = polled_at;
            self.poll_failed = false;
        }
    }

    /// The highest known token, if the sender's token is lower.
    fn higher_token(&mut self, token: Option<FencingToken>) -> Option<FencingToken> {
        match self.guard.check(&self.lease, token?) {
            FencingDecision::Stale(highest) => Some(highest),
            _ => None,
        }
    }

    /// Whether a fragment is well formed and not of an earlier version. Only a lease holder may start an epoch.
    fn is_acceptable(&self, fragment: &Fragment, is_from_holder: bool) -> bool {
        let is_current = self.version.is_none_or(|version| fragment.version >= version);
        let is_same_epoch = self.version.is_none_or(|version| version.epoch == fragment.version.epoch);
        let is_well_formed = fragment.number < fragment.count && usize::from(fragment.count) <= MAX_FRAGMENTS;
        is_current && (is_from_holder || is_same_epoch) && is_well_formed
    }

    /// Whether the copy includes all changes before the changes in a fragment.
    fn has_base_for(&self, fragment: &Fragment) -> bool {
        let Some(since) = fragment.since else { return true };
        self.version.is_some_and(|version| version.epoch == fragment.version.epoch && version.index >= since)
    }

    /// Adds a received fragment. Returns all entries once the transmission is complete.
    fn collect(
        &mut self,
        transmission: Transmission,
        number: u16,
        entries: Vec<Entry>,
    ) -> Option<Vec<Entry>> {
        let mut partial = match self.partial.take() {
            Some(partial) if partial.belongs_to(&transmission) => partial,
            _ => PartialList::new(transmission),
        };
        partial.insert(number, entries);
        if !partial.is_complete() {
            self.partial = Some(partial);
            return None;
        }
        Some(partial.into_entries())
    }
}
