//! A list that one gateway asks for and tells all others, where whoever has it bears few calls: the first job of the fleet.
//!
//! The owner of the job asks often and tells all what is new, or that nothing is. Whoever has heard nothing for a third of
//! the time in which it must know asks by itself, by turns in the job's order, and tells the others likewise: so the list
//! reaches all whatever happens to the owner, and the one that asks is one on each side of a parted fleet.
//!
//! Nobody's list goes back. A version is that of the list's source; where the source counts anew from below (another one
//! has taken its place), only an owner begins a new numbering, by its term. What an owner tells carries its fence, and is
//! refused where a higher one has been seen. How old a word is its sender says, by its own even clock, so that one that was
//! stopped between asking and telling flatters nobody.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fencing::{FencingDecision, FencingGuard};
use crate::{FencingToken, Micros, Name};

/// An owner asks so many times in the time within which all must know.
const POLLS_PER_MAX_AGE: u64 = 6;
/// Whoever has heard nothing for this part of it asks by itself; and the step between the turns of those who do.
const SILENCE_DIVISOR: u64 = 3;
const TURN_DIVISOR: u64 = 40;
/// After the turns of so many all may ask: their order is no more than a guess then.
const MAX_TURNS: u64 = 12;
/// Calls in vain in a row after which an owner hands the job over.
const MAX_FAILED_POLLS: u32 = 2;
/// Bytes of entries in one piece, and pieces of one telling at the most.
const MAX_FRAGMENT_BYTES: usize = 32 * 1024;
const MAX_FRAGMENTS: usize = 256;
/// Gateways that are told the whole list between two calls, which is long.
const MAX_COMPLETE_SENDS: usize = 8;

/// One thing on the list, in the source's own words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub name: String,
    /// It is on the list no more.
    pub removed: bool,
    pub body: String,
}

/// What the source has answered: the whole list, or what is newer than the version asked from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceReply {
    pub index: u64,
    pub is_complete: bool,
    pub entries: Vec<Entry>,
}

/// Which list, and how new. The order is that of the numberings, and within one that of the source's versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The term of the owner that began it; 0 at first.
    pub epoch: u64,
    pub index: u64,
}

/// A bounded part of what is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    pub version: Version,
    /// What is newer than this, of the same numbering; the whole list, if none.
    pub since: Option<u64>,
    /// How long ago the source was asked, in milliseconds.
    pub age_ms: u32,
    pub number: u16,
    pub count: u16,
    pub entries: Vec<Entry>,
}

/// What gateways say to each other of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// With the fence of the owner that tells it; without, whoever tells it has asked in its turn.
    Fragment(Option<FencingToken>, Fragment),
    /// I lack what came before: tell me the whole.
    RequestComplete,
    /// Another owns the job.
    Rejected(FencingToken),
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask the source for what is newer than this, or for all, and say how that ended.
    Poll { since: Option<u64> },
    /// Tell all others, as the owner if this gateway is it.
    Broadcast(Fragment),
    /// Tell one, likewise.
    SendFragment(Name, Fragment),
    /// Say this to one.
    SendMessage(Name, ListMessage),
    /// The list has changed, or is there: all of it, or what is new.
    Updated(SourceReply),
    /// This gateway can't ask the source, though it owns the job: another had better.
    HandOver,
    /// An effect of this gateway was refused, as another owns the job by this fence.
    Rejected(FencingToken),
}

#[derive(Clone, Debug)]
struct PartialList {
    token: Option<FencingToken>,
    from: Name,
    version: Version,
    since: Option<u64>,
    received: BTreeMap<u16, Vec<Entry>>,
    count: u16,
}

#[derive(Clone, Debug)]
pub struct ReplicatedList {
    lease: Name,
    max_age: Micros,
    entries: BTreeMap<String, Entry>,
    /// Those are the whole list: what was known before the start is known to others than this.
    is_complete: bool,
    version: Option<Version>,
    guard: FencingGuard,
    /// When the source was asked for what is known here, at the latest.
    polled_at: Micros,
    /// The source could not be asked since then.
    poll_failed: bool,
    /// Calls in vain in a row, while it owns the job.
    failed_polls: u32,
    polling_since: Option<Micros>,
    next_poll: Micros,
    partial: Option<PartialList>,
    /// Whom the whole list was told since the last call.
    complete_sends: usize,
    outputs: VecDeque<Output>,
}

impl ReplicatedList {
    /// With the version of the list that was known before the start, if there was one, though nobody can say how old it is.
    /// `drawn`, from 0 to 1, is how long it then waits for others to tell it, beside the longest: those that start together
    /// must not ask together.
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

    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// What is known here may be older than it must be: nothing is to be done by it until the source has answered, or could
    /// not. Danger: a process that was stopped goes on by a list of long ago, in its first moment.
    pub fn is_stale(&self, now: Micros) -> bool {
        now >= self.polled_at + self.max_age && !self.poll_failed
    }

    /// How long what is known here may still be used.
    pub fn fresh_until(&self) -> Micros {
        if self.poll_failed {
            Micros::MAX
        } else {
            self.polled_at + self.max_age
        }
    }

    /// When `tick` is to be called; `place` is this gateway's in the job's order.
    pub fn next_deadline(&self, is_holder: bool, rank: usize) -> Micros {
        match (self.polling_since, is_holder) {
            (Some(_), _) => Micros::MAX,
            (None, true) => self.next_poll,
            (None, false) => {
                let turn_delay = (rank as u64).min(MAX_TURNS) * (self.max_age / TURN_DIVISOR);
                self.next_poll.max(self.polled_at + self.max_age / SILENCE_DIVISOR + turn_delay)
            }
        }
    }

    pub fn handle_timeout(&mut self, now: Micros, is_holder: bool, rank: usize) {
        if now < self.next_deadline(is_holder, rank) {
            return;
        }
        self.polling_since = Some(now);
        // Who tells others needs all of it.
        let since = self.version.filter(|_| self.is_complete).map(|version| version.index);
        self.outputs.push_back(Output::Poll { since });
    }

    /// The call that is under way has ended. `term`: this gateway's as the owner, if it is.
    pub fn poll_completed(&mut self, now: Micros, reply: Option<SourceReply>, term: Option<u64>) {
        let Some(started_at) = self.polling_since.take() else { return };
        self.next_poll = now.max(started_at + self.max_age / POLLS_PER_MAX_AGE);
        self.complete_sends = 0;
        let Some(reply) = reply else {
            self.poll_failed = true;
            match term {
                None => self.next_poll = now + self.max_age / SILENCE_DIVISOR,
                Some(_) => {
                    self.failed_polls += 1;
                    if self.failed_polls.is_multiple_of(MAX_FAILED_POLLS) {
                        self.outputs.push_back(Output::HandOver);
                    }
                }
            }
            return;
        };
        self.failed_polls = 0;
        let went_back = self.version.is_some_and(|version| reply.index < version.index);
        let epoch = match (self.version, term) {
            (None, _) => 0,
            (Some(version), _) if !went_back => version.epoch,
            // The source counts anew: another has taken its place. An owner may say so; and whoever has heard nobody for long
            // goes by what it hears itself.
            (Some(version), Some(term)) if term > version.epoch => term,
            (Some(version), None) if now >= self.polled_at + 4 * self.max_age => version.epoch,
            _ => {
                self.poll_failed = true;
                return;
            }
        };
        if went_back && !reply.is_complete {
            // What is new since a version that this source has never had is nothing to go by.
            self.is_complete = false;
            self.next_poll = now;
            return;
        }
        let version = Version { epoch, index: reply.index };
        let since = self.version.filter(|_| !reply.is_complete && !went_back).map(|version| version.index);
        self.apply(version, reply.is_complete, reply.entries.clone());
        (self.polled_at, self.poll_failed) = (self.polled_at.max(started_at), false);
        let complete: Vec<Entry>;
        let (since, entries) = match since {
            Some(since) => (Some(since), reply.entries),
            None => {
                complete = self.entries.values().cloned().collect();
                (None, complete)
            }
        };
        for fragment in fragments(version, since, now - started_at, entries) {
            self.outputs.push_back(Output::Broadcast(fragment));
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
            self.outputs.push_back(Output::Updated(SourceReply {
                index: version.index,
                is_complete,
                entries,
            }));
        }
        self.version = Some(version);
    }

    /// Another gateway says something of the list.
    pub fn handle_message(&mut self, now: Micros, from: &Name, message: ListMessage) {
        match message {
            ListMessage::Fragment(token, fragment) => self.handle_fragment(now, from, token, fragment),
            ListMessage::RequestComplete if self.complete_sends < MAX_COMPLETE_SENDS && self.is_complete => {
                self.complete_sends += 1;
                let Some(version) = self.version else { return };
                let entries = self.entries.values().cloned().collect();
                for fragment in fragments(version, None, now.saturating_sub(self.polled_at), entries) {
                    self.outputs.push_back(Output::SendFragment(from.clone(), fragment));
                }
            }
            ListMessage::RequestComplete => {}
            ListMessage::Rejected(highest) => self.outputs.push_back(Output::Rejected(highest)),
        }
    }

    fn handle_fragment(&mut self, now: Micros, from: &Name, token: Option<FencingToken>, fragment: Fragment) {
        if let Some(token) = token {
            if let FencingDecision::Stale(highest) = self.guard.check(&self.lease, token) {
                self.outputs.push_back(Output::SendMessage(from.clone(), ListMessage::Rejected(highest)));
                return;
            }
        }
        let Fragment { version, since, age_ms, number, count, entries } = fragment;
        let newer = self.version.is_none_or(|known| version >= known);
        // Only an owner begins another numbering.
        let may_start_epoch =
            token.is_some() || self.version.is_none_or(|known| known.epoch == version.epoch);
        if !newer || !may_start_epoch || number >= count || usize::from(count) > MAX_FRAGMENTS {
            return;
        }
        let continues = since.is_none_or(|since| {
            self.version.is_some_and(|known| known.epoch == version.epoch && known.index >= since)
        });
        if !continues {
            return self.outputs.push_back(Output::SendMessage(from.clone(), ListMessage::RequestComplete));
        }
        let is_same_list = |partial: &PartialList| {
            partial.version == version
                && partial.since == since
                && partial.token == token
                && partial.from == *from
                && partial.count == count
        };
        if !self.partial.as_ref().is_some_and(is_same_list) {
            let from = from.clone();
            self.partial =
                Some(PartialList { token, from, version, since, received: BTreeMap::new(), count });
        }
        let Some(partial) = &mut self.partial else { return };
        partial.received.insert(number, entries);
        if partial.received.len() < usize::from(count) {
            return;
        }
        let entries = partial.received.values().flatten().cloned().collect();
        self.partial = None;
        // A whole list that is known already tells only that it is still so.
        if since.is_some() || self.version != Some(version) || !self.is_complete {
            self.apply(version, since.is_none(), entries);
        }
        let polled_at = now.saturating_sub(Micros::from(age_ms) * 1_000);
        if polled_at > self.polled_at {
            (self.polled_at, self.poll_failed) = (polled_at, false);
        }
    }
}

/// What is told, in pieces that are not too long; one at the least, which says that nothing is new.
fn fragments(version: Version, since: Option<u64>, age: Micros, entries: Vec<Entry>) -> Vec<Fragment> {
    let mut all: Vec<Vec<Entry>> = vec![Vec::new()];
    let mut capacity = MAX_FRAGMENT_BYTES;
    for entry in entries {
        let size = entry.name.len() + entry.body.len() + 16;
        if size > capacity {
            all.push(Vec::new());
            capacity = MAX_FRAGMENT_BYTES;
        }
        capacity = capacity.saturating_sub(size);
        if let Some(last) = all.last_mut() {
            last.push(entry);
        }
    }
    let count = all.len().min(MAX_FRAGMENTS) as u16;
    let age_ms = (age / 1_000).min(u64::from(u32::MAX)) as u32;
    let fragment =
        |(number, entries)| Fragment { version, since, age_ms, number: number as u16, count, entries };
    all.into_iter().enumerate().map(fragment).collect()
}
