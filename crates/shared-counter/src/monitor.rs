//! Stands between the decision module and the shared counter. It hears of every call and every answer, knows for each count
//! what of this gateway's own must be in the counter, and so tells a good counter from one that is lost, emptied or apart.
//!
//! What it gives the module is one total. Where the counter has an answer, that, or more if more is known to have been
//! added; where it has none, what the mesh of gateways knows, if all of them are in it. What a counter lacks is told anew
//! with the next call, unless it may have been added: nothing is added twice.
//!
//! Callers: `add` before each call, `counted` with its end, each with what the mesh knows of that count, this gateway's
//! amount included. Amounts are weighed as the module weighs them, and a count's name lives as long as the module says.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::{Micros, MILLISECOND, SECOND};

/// Calls in vain in a row, and the time without an answer, after which the counter is taken for lost: one bad connection
/// loses some calls at once and is replaced within a tenth of a second.
const VAIN: u32 = 3;
const WITHOUT: Micros = 200 * MILLISECOND;
/// How often a lost counter is asked all the same: its return is noticed within this.
const ASK: Micros = 200 * MILLISECOND;
/// Totals are exact to seven digits; parts of a sum that is off by less are there.
const EXACT: f64 = 1e-6;
/// What one count seems to lack, settled units of others may have taken off: they are some of what was offered. Only a
/// total below this part of what was told before is taken for a loss.
const LOST_PART: f64 = 0.5;
/// And only if another answer within this time says the same: what one answer says may be an old one overtaken.
const CONFIRMED: Micros = 2 * SECOND;
/// A counter that knows less than this part of what the mesh knows, for so long, is another than the others'.
const APART_PART: f64 = 0.7;
const APART: Micros = 2 * SECOND;
/// An answer that takes so many times what the quickest took, and so long at the least, is slow; a mean over some answers
/// says so, as one may be late by chance.
const SLOW: f64 = 5.0;
const LEAST_SLOW: Micros = 10 * MILLISECOND;
const NEWEST: f64 = 0.125;
/// Answers in a row that lack their own amount, after which totals are taken for old.
const OLD: u32 = 3;
/// Counts that are followed. Beyond it a new one goes to the counter and back as though there were no tally.
const MOST_COUNTS: usize = 65_536;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Total(f64),
    /// Surely not added.
    NotApplied,
    /// Perhaps added, or yet to be.
    Unknown,
}

/// What to do with an amount.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddStep {
    /// Ask the counter to add this much: the amount, and what it lacks of earlier ones.
    Forward(f64),
    /// The counter is lost; this is the total.
    Reply(f64),
}

/// What the module is to hear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    Total(f64),
    /// Not added, and not kept: so much is to be taken back wherever else it was told.
    NotApplied(f64),
    Unknown,
}

/// What the mesh knows of a count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipTotal {
    pub total: f64,
    /// All configured gateways are in it. Those that were seen once are not enough: a partition would double a quota.
    pub is_complete: bool,
}

/// How the counter stands, as far as the answers tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterHealth {
    Healthy,
    /// Answers take several times what the quickest took.
    Slow,
    /// No answer comes.
    Lost,
    /// It has lost what was added, or is another that starts empty.
    Reset,
    /// Its totals lack even what it has just been told: they are from some time ago.
    Stale,
    /// It knows much less than all gateways together have added: others use another one.
    Partitioned,
}

impl CounterHealth {
    /// The word by which logs and operators are told.
    pub fn name(self) -> &'static str {
        match self {
            CounterHealth::Healthy => "good",
            CounterHealth::Slow => "slow",
            CounterHealth::Lost => "lost",
            CounterHealth::Reset => "emptied",
            CounterHealth::Stale => "old",
            CounterHealth::Partitioned => "apart",
        }
    }
}

#[derive(Debug)]
struct Count {
    ends: Micros,
    /// What this gateway has added and the module takes for added.
    kept: f64,
    /// Of it, what is surely in the counter that answers now, and what is perhaps.
    inside: f64,
    perhaps: f64,
    /// Amounts of the calls that are out, in their order, and of each the part that the module knows of.
    out: VecDeque<(f64, f64)>,
    /// The largest total that was told.
    highest: f64,
    /// What was surely in it, and perhaps, by the last answer that lacked nothing.
    sound: (f64, f64),
    doubt: Option<Doubt>,
}

impl Count {
    /// What is surely not in the counter, and not on its way either.
    fn lacking(&self) -> f64 {
        let out: f64 = self.out.iter().map(|(amount, _)| amount).sum();
        let lacking = self.kept - self.inside - self.perhaps - out;
        if lacking.abs() <= EXACT * (self.kept.abs() + self.inside.abs()) {
            0.0
        } else {
            lacking
        }
    }
}

/// Answers lack some of what must be in the counter.
#[derive(Debug)]
struct Doubt {
    began: Micros,
    /// What was missing at first, and what was perhaps in the counter then.
    missing: f64,
    perhaps: f64,
    /// It was much less than was told before.
    much: bool,
}

pub struct CounterMonitor {
    counts: BTreeMap<Arc<str>, Count>,
    ends: BTreeMap<(Micros, Arc<str>), ()>,
    health: CounterHealth,
    /// Calls in vain since the last answer, when that came, and when the counter was last asked while lost.
    vain: u32,
    answered: Micros,
    asked: Micros,
    /// The quickest answer, and a mean of the last ones, in microseconds; and answers in a row that were old.
    quickest: Micros,
    mean: f64,
    old: u32,
    /// Since when it knows much less than the mesh.
    less: Option<Micros>,
    /// Answers that lacked something, lately: by when, and in which count.
    doubts: VecDeque<(Micros, Arc<str>)>,
}

impl CounterMonitor {
    pub fn new(now: Micros) -> Self {
        CounterMonitor {
            counts: BTreeMap::new(),
            ends: BTreeMap::new(),
            health: CounterHealth::Healthy,
            vain: 0,
            answered: now,
            asked: 0,
            quickest: Micros::MAX,
            mean: 0.0,
            old: 0,
            less: None,
            doubts: VecDeque::new(),
        }
    }

    pub fn health(&self) -> CounterHealth {
        self.health
    }

    pub fn len(&self) -> usize {
        self.counts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn sweep(&mut self, now: Micros) {
        while self.ends.first_key_value().is_some_and(|((ends, _), ())| *ends <= now) {
            if let Some(((_, name), ())) = self.ends.pop_first() {
                self.counts.remove(&name);
            }
        }
    }

    /// The module adds an amount to a count.
    pub fn add(
        &mut self,
        now: Micros,
        name: &str,
        amount: f64,
        life: Micros,
        mesh: Option<GossipTotal>,
    ) -> AddStep {
        self.sweep(now);
        let (standing, asked) = (self.health, self.asked);
        let Some(count) = self.count(now, name, life) else { return AddStep::Forward(amount) };
        if let Some(mesh) = mesh.filter(|mesh| mesh.is_complete && standing == CounterHealth::Lost) {
            if now < asked + ASK {
                // It is kept here and told to the others; the counter hears of it when it is back.
                count.kept += amount;
                return AddStep::Reply(mesh.total);
            }
            self.asked = now;
        }
        let Some(count) = self.counts.get_mut(name) else { return AddStep::Forward(amount) };
        // While a doubt stands nothing is told anew on the strength of it.
        let anew = if count.doubt.is_none() { count.lacking() } else { 0.0 };
        count.kept += amount;
        count.out.push_back((amount + anew, amount));
        AddStep::Forward(amount + anew)
    }

    fn count(&mut self, now: Micros, name: &str, life: Micros) -> Option<&mut Count> {
        if !self.counts.contains_key(name) {
            if self.counts.len() >= MOST_COUNTS {
                return None;
            }
            let (name, ends): (Arc<str>, _) = (name.into(), now.saturating_add(life));
            self.ends.insert((ends, name.clone()), ());
            let count = Count {
                ends,
                kept: 0.0,
                inside: 0.0,
                perhaps: 0.0,
                out: VecDeque::new(),
                highest: 0.0,
                sound: (0.0, 0.0),
                doubt: None,
            };
            self.counts.insert(name, count);
        }
        self.counts.get_mut(name).filter(|count| count.ends > now)
    }

    /// A call has ended, so long after it was made. Calls of one count end in their order.
    pub fn call_completed(
        &mut self,
        now: Micros,
        name: &str,
        end: CallOutcome,
        took: Micros,
        mesh: Option<GossipTotal>,
    ) -> CounterReply {
        let amount =
            self.counts.get(name).and_then(|count| count.out.front()).map_or(0.0, |(amount, _)| *amount);
        self.heard(now, end, took, amount, mesh);
        let whole = mesh.filter(|mesh| mesh.is_complete);
        let known = self.counts.get_mut(name).and_then(|count| count.out.pop_front().map(|out| (count, out)));
        let Some((count, (amount, own))) = known else {
            return match (end, whole) {
                (CallOutcome::Total(total), _) => {
                    CounterReply::Total(total.max(mesh.map_or(total, |mesh| mesh.total)))
                }
                (_, Some(mesh)) => CounterReply::Total(mesh.total),
                (CallOutcome::NotApplied, None) => CounterReply::NotApplied(0.0),
                (CallOutcome::Unknown, None) => CounterReply::Unknown,
            };
        };
        match (end, whole) {
            (CallOutcome::Total(total), _) => {
                count.inside += amount;
                let total = self.lost_some(now, name, total, amount);
                CounterReply::Total(mesh.map_or(total, |mesh| total.max(mesh.total)))
            }
            (CallOutcome::NotApplied, Some(mesh)) => CounterReply::Total(mesh.total),
            (CallOutcome::NotApplied, None) => {
                // The module takes it for not added, and will add it again.
                count.kept -= own;
                CounterReply::NotApplied(own)
            }
            (CallOutcome::Unknown, whole) => {
                count.perhaps += amount;
                whole.map_or(CounterReply::Unknown, |mesh| CounterReply::Total(mesh.total))
            }
        }
    }

    /// What the end of a call says of the counter.
    fn heard(&mut self, now: Micros, end: CallOutcome, took: Micros, amount: f64, mesh: Option<GossipTotal>) {
        let CallOutcome::Total(total) = end else {
            self.vain += 1;
            if self.vain >= VAIN && now >= self.answered + WITHOUT && self.health != CounterHealth::Lost {
                (self.health, self.asked) = (CounterHealth::Lost, now);
            }
            return;
        };
        if self.health == CounterHealth::Lost {
            self.health = CounterHealth::Healthy;
        }
        (self.vain, self.answered) = (0, now);
        self.quickest = self.quickest.min(took.max(1));
        self.mean += NEWEST * (took as f64 - self.mean);
        self.old = if total + EXACT * amount.abs() < amount { self.old + 1 } else { 0 };
        let slow = self.mean > SLOW * self.quickest as f64 && self.mean > LEAST_SLOW as f64;
        match self.health {
            CounterHealth::Healthy | CounterHealth::Slow if self.old >= OLD => {
                self.health = CounterHealth::Stale
            }
            CounterHealth::Stale if self.old == 0 => self.health = CounterHealth::Healthy,
            CounterHealth::Healthy if slow => self.health = CounterHealth::Slow,
            CounterHealth::Slow if !slow => self.health = CounterHealth::Healthy,
            // What came after it was emptied has been answered: it is as good as any.
            CounterHealth::Reset if self.counts.values().all(|count| count.doubt.is_none()) => {
                self.health = CounterHealth::Healthy
            }
            _ => {}
        }
        let less =
            mesh.is_some_and(|mesh| mesh.is_complete && mesh.total > 0.0 && total < APART_PART * mesh.total);
        if !less {
            self.less = None;
            if self.health == CounterHealth::Partitioned {
                self.health = CounterHealth::Healthy;
            }
        } else if now >= *self.less.get_or_insert(now) + APART {
            self.health = CounterHealth::Partitioned;
        }
    }

    /// Looks whether a total lacks what must be in it. Gives the total with what is known to be missing.
    fn lost_some(&mut self, now: Micros, name: &str, total: f64, amount: f64) -> f64 {
        let Some((name, count)) =
            self.counts.get_key_value(name).map(|(name, _)| name.clone()).and_then(|name| {
                let count = self.counts.get_mut(&name)?;
                Some((name, count))
            })
        else {
            return total;
        };
        let exact = EXACT * (total.abs() + count.inside.abs());
        let missing = count.inside - total;
        if missing <= exact {
            (count.doubt, count.sound) = (None, (count.inside, count.perhaps));
            count.highest = count.highest.max(total);
            return total + count.lacking().max(0.0);
        }
        // A total without even what this call has added is an old one, whatever it lacks.
        if total + exact < amount {
            return count.inside.max(total);
        }
        // One that is no less than any before: nothing has gone since, whatever others have taken off.
        if total >= count.highest {
            (count.highest, count.sound) = (total, (count.inside, count.perhaps));
            return count.inside.max(total);
        }
        let (perhaps, much) = (count.perhaps, total < LOST_PART * count.highest);
        let doubt = count.doubt.get_or_insert(Doubt { began: now, missing, perhaps, much });
        doubt.much |= much;
        while self.doubts.front().is_some_and(|(at, _)| at + CONFIRMED < now) {
            self.doubts.pop_front();
        }
        // What may have come in since explains that less is missing.
        let still = missing + (perhaps - doubt.perhaps) + exact >= doubt.missing;
        let again = doubt.began < now || self.doubts.iter().any(|(_, other)| *other != name);
        let much = doubt.much;
        if much {
            self.doubts.push_back((now, name));
        }
        if !(much && still && again) {
            return count.inside.max(total);
        }
        // All that was in it is gone but what was added, or perhaps was, since the last answer that had it; calls still
        // out have yet to be.
        let (inside, perhaps) = count.sound;
        (count.inside, count.perhaps) = (count.inside - inside, count.perhaps - perhaps);
        (count.sound, count.doubt, count.highest) = ((count.inside, count.perhaps), None, total);
        self.health = CounterHealth::Reset;
        total + count.lacking().max(0.0)
    }
}
