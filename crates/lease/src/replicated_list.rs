//! A list that one gateway polls from its source and replicates to all others, for sources that bear few polls. It owns one
//! gateway's copy of the list and decides when to poll and what to send; it never performs I/O and does not decide who
//! holds the lease for it.
//!
//! The lease holder polls often and broadcasts what is new, or that nothing is. A gateway that has heard nothing for a third
//! of the maximum age polls by itself, in the order of the ranks, and broadcasts likewise. So the list reaches all gateways
//! whatever becomes of the holder, and in a partitioned fleet one gateway polls on each side.
//!
//! No copy goes back to an earlier version. Versions are the source's; where the source counts from below again, as another
//! instance has replaced it, only a lease holder starts a new epoch, by its term. A holder's broadcast carries its fencing
//! token and is rejected where a higher one is known. The sender states the age of what it sends, by its own even clock, so
//! that a gateway that was suspended between a poll and a broadcast does not make the list look fresh.

mod fragment;
mod message;

use std::collections::{BTreeMap, VecDeque};

use fragment::{fragments, PartialList, Transmission, MAX_FRAGMENTS};
pub use message::{Entry, Fragment, ListMessage, SourceReply, Version};

use crate::fencing::{FencingDecision, FencingGuard};
use crate::{FencingToken, Micros, Name};

/// Polls of a lease holder within the maximum age.
const POLLS_PER_MAX_AGE: u64 = 6;
/// A gateway that has heard nothing for this fraction of the maximum age polls by itself: one in so many.
const SILENCE_DIVISOR: u64 = 3;
/// The delay from one rank to the next of gateways that poll by themselves, as a fraction of the maximum age: one in so many.
const TURN_DIVISOR: u64 = 40;
/// Beyond this rank all gateways poll at the same time, as the ranking is only a guess then.
const MAX_TURNS: u64 = 12;
/// Failed polls in a row after which a holder hands the lease over.
const MAX_FAILED_POLLS: u32 = 2;
/// Gateways that are sent the complete list between two polls.
const MAX_COMPLETE_SENDS: usize = 8;
/// A source that counts from below is accepted without a lease holder once the list is so many times the maximum age old.
const REPLACED_SOURCE_AGES: u64 = 4;

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Poll the source, and call `poll_completed` with its answer.
    Poll {
        /// Ask for what is newer than this index; for the complete list, if none.
        since: Option<u64>,
    },
    /// Send a fragment to all others, with the fencing token if the lease is held here.
    Broadcast(Fragment),
    /// Send a fragment to one gateway, likewise.
    SendFragment(Name, Fragment),
    /// Send a message to one gateway.
    SendMessage(Name, ListMessage),
    /// The copy has changed, or is known for the first time: the complete list, or the changes.
    Updated(SourceReply),
    /// This gateway holds the lease but can't reach the source: another should take it over.
    HandOver,
    /// A broadcast of this gateway was rejected, as another holds the lease by this token.
    Rejected(FencingToken),
}

/// One gateway's copy of the list. Times are of one even clock that nobody sets.
#[derive(Clone, Debug)]
pub struct ReplicatedList {
    lease: Name,
    max_age: Micros,
    entries: BTreeMap<String, Entry>,
    /// The entries are the complete list. They are not where only the version was known before the start.
    is_complete: bool,
    version: Option<Version>,
    guard: FencingGuard,
    /// The latest time at which the source was asked for what is known here.
    polled_at: Micros,
    /// A later poll than that has failed.
    poll_failed: bool,
    /// Failed polls in a row, while the lease is held here.
    failed_polls: u32,
    polling_since: Option<Micros>,
    next_poll: Micros,
    partial: Option<PartialList>,
    /// Gateways that were sent the complete list since the last poll.
    complete_sends: usize,
    outputs: VecDeque<Output>,
}

impl ReplicatedList {
    /// A copy that must not be older than `max_age`. `known_index` is the version that was known before the start, if one
    /// was; its age is unknown then. `jitter`, from 0 to 1, spreads the first polls of gateways that start together.
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
            polling_since: None,
            next_poll: now,
            partial: None,
            complete_sends: 0,
            outputs: VecDeque::new(),
        }
    }

    /// The next thing for the caller to do.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The version of the copy, if there is one.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Whether the copy may be older than the maximum age, so that it must not be used before a poll has succeeded or failed.
    ///
    /// Danger: a process that was suspended uses a list of long ago in its first moment.
    pub fn is_stale(&self, now: Micros) -> bool {
        now >= self.polled_at + self.max_age && !self.poll_failed
    }

    /// The time until which the copy may be used.
    pub fn fresh_until(&self) -> Micros {
        if self.poll_failed {
            Micros::MAX
        } else {
            self.polled_at + self.max_age
        }
    }

    /// The time at which `handle_timeout` is to be called. `rank` is this gateway's for the lease.
    pub fn next_deadline(&self, is_holder: bool, rank: usize) -> Micros {
        if self.polling_since.is_some() {
            return Micros::MAX;
        }
        if is_holder {
            return self.next_poll;
        }
        let turn_delay = (rank as u64).min(MAX_TURNS) * (self.max_age / TURN_DIVISOR);
        self.next_poll.max(self.polled_at + self.max_age / SILENCE_DIVISOR + turn_delay)
    }

    /// Starts a poll if one is due.
    pub fn handle_timeout(&mut self, now: Micros, is_holder: bool, rank: usize) {
        if now < self.next_deadline(is_holder, rank) {
            return;
        }
        self.polling_since = Some(now);
        // A gateway that sends the list to others needs all of it.
        let since = self.version.filter(|_| self.is_complete).map(|version| version.index);
        self.outputs.push_back(Output::Poll { since });
    }

    /// The poll under way has ended, without an answer if it failed. `term` is that of the lease, where it is held here.
    pub fn poll_completed(&mut self, now: Micros, reply: Option<SourceReply>, term: Option<u64>) {
        let Some(started_at) = self.polling_since.take() else { return };
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
        let went_back = self.version.is_some_and(|version| reply.index < version.index);
        let Some(epoch) = self.epoch_of_reply(now, went_back, term) else {
            self.poll_failed = true;
            return;
        };
        if went_back && !reply.is_complete {
            // Changes since a version that this source has never had are of no use.
            self.is_complete = false;
            self.next_poll = now;
            return;
        }
        let version = Version { epoch, index: reply.index };
        let is_change = !reply.is_complete && !went_back;
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

    /// The epoch of an answer; none where a source that counts from below can't be accepted yet. A lease holder starts a new
    /// epoch for it; a gateway that has heard nobody for long continues the old one.
    fn epoch_of_reply(&self, now: Micros, went_back: bool, term: Option<u64>) -> Option<u64> {
        let Some(version) = self.version else { return Some(0) };
        if !went_back {
            return Some(version.epoch);
        }
        match term {
            Some(term) => (term > version.epoch).then_some(term),
            None => (now >= self.polled_at + REPLACED_SOURCE_AGES * self.max_age).then_some(version.epoch),
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

    /// Handles a message of another gateway.
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
        if !self.has_base_of(&fragment) {
            let request = ListMessage::RequestComplete;
            self.outputs.push_back(Output::SendMessage(from.clone(), request));
            return;
        }
        let Fragment { version, since, age_ms, number, count, entries } = fragment;
        let transmission = Transmission { from: from.clone(), token, version, since, count };
        let Some(entries) = self.collect(transmission, number, entries) else { return };
        // The complete list of a version that is known already only confirms it.
        if since.is_some() || self.version != Some(version) || !self.is_complete {
            self.apply(version, since.is_none(), entries);
        }
        let polled_at = now.saturating_sub(Micros::from(age_ms) * 1_000);
        if polled_at > self.polled_at {
            self.polled_at = polled_at;
            self.poll_failed = false;
        }
    }

    /// The highest token known, where the sender's is lower.
    fn higher_token(&mut self, token: Option<FencingToken>) -> Option<FencingToken> {
        match self.guard.check(&self.lease, token?) {
            FencingDecision::Stale(highest) => Some(highest),
            _ => None,
        }
    }

    /// A fragment must not be of an earlier version, and only a lease holder starts an epoch.
    fn is_acceptable(&self, fragment: &Fragment, is_from_holder: bool) -> bool {
        let is_current = self.version.is_none_or(|version| fragment.version >= version);
        let is_same_epoch = self.version.is_none_or(|version| version.epoch == fragment.version.epoch);
        let is_well_formed = fragment.number < fragment.count && usize::from(fragment.count) <= MAX_FRAGMENTS;
        is_current && (is_from_holder || is_same_epoch) && is_well_formed
    }

    /// Whether the copy has everything that precedes the changes in a fragment.
    fn has_base_of(&self, fragment: &Fragment) -> bool {
        let Some(since) = fragment.since else { return true };
        self.version.is_some_and(|version| version.epoch == fragment.version.epoch && version.index >= since)
    }

    /// Adds a fragment to those that have arrived, and returns all entries once none is missing.
    fn collect(
        &mut self,
        transmission: Transmission,
        number: u16,
        entries: Vec<Entry>,
    ) -> Option<Vec<Entry>> {
        let mut partial = match self.partial.take() {
            Some(partial) if partial.is_of(&transmission) => partial,
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
