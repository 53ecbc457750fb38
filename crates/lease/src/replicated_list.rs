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
const ASKS: u64 = 6;
/// Whoever has heard nothing for this part of it asks by itself; and the step between the turns of those who do.
const SILENT: u64 = 3;
const TURN: u64 = 40;
/// After the turns of so many all may ask: their order is no more than a guess then.
const TURNS: u64 = 12;
/// Calls in vain in a row after which an owner hands the job over.
const VAIN: u32 = 2;
/// Bytes of entries in one piece, and pieces of one telling at the most.
const MOST_PIECE: usize = 32 * 1024;
const MOST_PIECES: usize = 256;
/// Gateways that are told the whole list between two calls, which is long.
const WHOLE_AT_ONCE: usize = 8;

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
struct Gathered {
    by: Option<FencingToken>,
    from: Name,
    version: Version,
    since: Option<u64>,
    parts: BTreeMap<u16, Vec<Entry>>,
    of: u16,
}

#[derive(Clone, Debug)]
pub struct ReplicatedList {
    job: Name,
    within: Micros,
    entries: BTreeMap<String, Entry>,
    /// Those are the whole list: what was known before the start is known to others than this.
    whole: bool,
    version: Option<Version>,
    guard: FencingGuard,
    /// When the source was asked for what is known here, at the latest.
    asked: Micros,
    /// The source could not be asked since then.
    failed: bool,
    /// Calls in vain in a row, while it owns the job.
    vain: u32,
    calling: Option<Micros>,
    next_call: Micros,
    gathered: Option<Gathered>,
    /// Whom the whole list was told since the last call.
    told_whole: usize,
    out: VecDeque<Output>,
}

impl ReplicatedList {
    /// With the version of the list that was known before the start, if there was one, though nobody can say how old it is.
    /// `drawn`, from 0 to 1, is how long it then waits for others to tell it, beside the longest: those that start together
    /// must not ask together.
    pub fn new(job: &Name, within: Micros, known: Option<u64>, now: Micros, drawn: f64) -> Self {
        let silent = within / SILENT;
        let waits = if known.is_some() { (silent as f64 * drawn.clamp(0.0, 1.0)) as Micros } else { 0 };
        ReplicatedList {
            job: job.clone(),
            within,
            entries: BTreeMap::new(),
            whole: false,
            version: known.map(|index| Version { epoch: 0, index }),
            guard: FencingGuard::default(),
            asked: (now + waits).saturating_sub(silent),
            failed: false,
            vain: 0,
            calling: None,
            next_call: now,
            gathered: None,
            told_whole: 0,
            out: VecDeque::new(),
        }
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// What is known here may be older than it must be: nothing is to be done by it until the source has answered, or could
    /// not. Danger: a process that was stopped goes on by a list of long ago, in its first moment.
    pub fn is_stale(&self, now: Micros) -> bool {
        now >= self.asked + self.within && !self.failed
    }

    /// How long what is known here may still be used.
    pub fn fresh_until(&self) -> Micros {
        if self.failed {
            Micros::MAX
        } else {
            self.asked + self.within
        }
    }

    /// When `tick` is to be called; `place` is this gateway's in the job's order.
    pub fn next_deadline(&self, owns: bool, place: usize) -> Micros {
        match (self.calling, owns) {
            (Some(_), _) => Micros::MAX,
            (None, true) => self.next_call,
            (None, false) => {
                let turn = (place as u64).min(TURNS) * (self.within / TURN);
                self.next_call.max(self.asked + self.within / SILENT + turn)
            }
        }
    }

    pub fn handle_timeout(&mut self, now: Micros, owns: bool, place: usize) {
        if now < self.next_deadline(owns, place) {
            return;
        }
        self.calling = Some(now);
        // Who tells others needs all of it.
        let since = self.version.filter(|_| self.whole).map(|version| version.index);
        self.out.push_back(Output::Poll { since });
    }

    /// The call that is under way has ended. `term`: this gateway's as the owner, if it is.
    pub fn poll_completed(&mut self, now: Micros, answer: Option<SourceReply>, term: Option<u64>) {
        let Some(began) = self.calling.take() else { return };
        self.next_call = now.max(began + self.within / ASKS);
        self.told_whole = 0;
        let Some(answer) = answer else {
            self.failed = true;
            match term {
                None => self.next_call = now + self.within / SILENT,
                Some(_) => {
                    self.vain += 1;
                    if self.vain.is_multiple_of(VAIN) {
                        self.out.push_back(Output::HandOver);
                    }
                }
            }
            return;
        };
        self.vain = 0;
        let back = self.version.is_some_and(|version| answer.index < version.index);
        let numbering = match (self.version, term) {
            (None, _) => 0,
            (Some(version), _) if !back => version.epoch,
            // The source counts anew: another has taken its place. An owner may say so; and whoever has heard nobody for long
            // goes by what it hears itself.
            (Some(version), Some(term)) if term > version.epoch => term,
            (Some(version), None) if now >= self.asked + 4 * self.within => version.epoch,
            _ => {
                self.failed = true;
                return;
            }
        };
        if back && !answer.is_complete {
            // What is new since a version that this source has never had is nothing to go by.
            self.whole = false;
            self.next_call = now;
            return;
        }
        let version = Version { epoch: numbering, index: answer.index };
        let since = self.version.filter(|_| !answer.is_complete && !back).map(|version| version.index);
        self.learn(version, answer.is_complete, answer.entries.clone());
        (self.asked, self.failed) = (self.asked.max(began), false);
        let whole;
        let (since, entries) = match since {
            Some(since) => (Some(since), answer.entries),
            None => {
                whole = self.entries.values().cloned().collect();
                (None, whole)
            }
        };
        for piece in pieces(version, since, now - began, entries) {
            self.out.push_back(Output::Broadcast(piece));
        }
    }

    fn learn(&mut self, version: Version, full: bool, entries: Vec<Entry>) {
        if full {
            self.entries.clear();
            self.whole = true;
        }
        for entry in &entries {
            if entry.removed {
                self.entries.remove(&entry.name);
            } else {
                self.entries.insert(entry.name.clone(), entry.clone());
            }
        }
        if full || !entries.is_empty() {
            self.out.push_back(Output::Updated(SourceReply {
                index: version.index,
                is_complete: full,
                entries,
            }));
        }
        self.version = Some(version);
    }

    /// Another gateway says something of the list.
    pub fn handle_message(&mut self, now: Micros, from: &Name, note: ListMessage) {
        match note {
            ListMessage::Fragment(by, piece) => self.piece_came(now, from, by, piece),
            ListMessage::RequestComplete if self.told_whole < WHOLE_AT_ONCE && self.whole => {
                self.told_whole += 1;
                let Some(version) = self.version else { return };
                let entries = self.entries.values().cloned().collect();
                for piece in pieces(version, None, now.saturating_sub(self.asked), entries) {
                    self.out.push_back(Output::SendFragment(from.clone(), piece));
                }
            }
            ListMessage::RequestComplete => {}
            ListMessage::Rejected(highest) => self.out.push_back(Output::Rejected(highest)),
        }
    }

    fn piece_came(&mut self, now: Micros, from: &Name, by: Option<FencingToken>, piece: Fragment) {
        if let Some(fence) = by {
            if let FencingDecision::Stale(highest) = self.guard.check(&self.job, fence) {
                self.out.push_back(Output::SendMessage(from.clone(), ListMessage::Rejected(highest)));
                return;
            }
        }
        let Fragment { version, since, age_ms, number: part, count: parts, entries } = piece;
        let newer = self.version.is_none_or(|own| version >= own);
        // Only an owner begins another numbering.
        let allowed = by.is_some() || self.version.is_none_or(|own| own.epoch == version.epoch);
        if !newer || !allowed || part >= parts || usize::from(parts) > MOST_PIECES {
            return;
        }
        let fits = since.is_none_or(|since| {
            self.version.is_some_and(|own| own.epoch == version.epoch && own.index >= since)
        });
        if !fits {
            return self.out.push_back(Output::SendMessage(from.clone(), ListMessage::RequestComplete));
        }
        let same = |own: &Gathered| {
            own.version == version
                && own.since == since
                && own.by == by
                && own.from == *from
                && own.of == parts
        };
        if !self.gathered.as_ref().is_some_and(same) {
            let from = from.clone();
            self.gathered = Some(Gathered { by, from, version, since, parts: BTreeMap::new(), of: parts });
        }
        let Some(gathered) = &mut self.gathered else { return };
        gathered.parts.insert(part, entries);
        if gathered.parts.len() < usize::from(parts) {
            return;
        }
        let entries = gathered.parts.values().flatten().cloned().collect();
        self.gathered = None;
        // A whole list that is known already tells only that it is still so.
        if since.is_some() || self.version != Some(version) || !self.whole {
            self.learn(version, since.is_none(), entries);
        }
        let asked = now.saturating_sub(Micros::from(age_ms) * 1_000);
        if asked > self.asked {
            (self.asked, self.failed) = (asked, false);
        }
    }
}

/// What is told, in pieces that are not too long; one at the least, which says that nothing is new.
fn pieces(version: Version, since: Option<u64>, age: Micros, entries: Vec<Entry>) -> Vec<Fragment> {
    let mut all: Vec<Vec<Entry>> = vec![Vec::new()];
    let mut room = MOST_PIECE;
    for entry in entries {
        let size = entry.name.len() + entry.body.len() + 16;
        if size > room {
            all.push(Vec::new());
            room = MOST_PIECE;
        }
        room = room.saturating_sub(size);
        if let Some(last) = all.last_mut() {
            last.push(entry);
        }
    }
    let parts = all.len().min(MOST_PIECES) as u16;
    let age_ms = (age / 1_000).min(u64::from(u32::MAX)) as u32;
    let piece =
        |(part, entries)| Fragment { version, since, age_ms, number: part as u16, count: parts, entries };
    all.into_iter().enumerate().map(piece).collect()
}
