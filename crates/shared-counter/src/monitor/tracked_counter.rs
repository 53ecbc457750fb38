//! What the counter must hold of this gateway's own in one key, and whether a total agrees with that. It judges one counter by
//! itself; whether other counters confirm a suspicion, the monitor knows.

use std::collections::VecDeque;

use crate::Micros;

/// Totals are exact to seven digits: what is missing by less than this part of a sum is there.
pub(super) const RELATIVE_TOLERANCE: f64 = 1e-6;
/// Others may have taken off units that this gateway offered. A total is evidence of a reset only below this part of the
/// largest total before.
const RESET_FRACTION: f64 = 0.5;

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    /// What the counter was asked to add.
    pub amount: f64,
    /// The part of it that the decision module asked for; the rest was owed from before.
    pub requested: f64,
}

/// What the counter holds of this gateway's additions.
#[derive(Clone, Copy, Debug, Default)]
struct Content {
    confirmed: f64,
    /// Of calls whose outcome is unknown.
    possible: f64,
}

/// Totals lack some of what the counter must hold.
#[derive(Debug)]
struct Suspicion {
    started_at: Micros,
    /// What was missing at the start.
    missing: f64,
    /// What was possibly in the counter at the start.
    possible: f64,
    /// Whether a total was far below the largest one.
    is_large: bool,
}

/// How a total compares with what the counter must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Comparison {
    /// Nothing is missing.
    Complete,
    /// What is missing is no sign of a reset: the total is an old one, or others took units off.
    Explained,
    /// The counter may have been reset.
    Suspicious {
        is_large: bool,
        /// No unknown outcome explains that less is missing than at first.
        persists: bool,
        /// An earlier total of this counter was suspicious, too.
        is_repeated: bool,
    },
}

#[derive(Debug, Default)]
pub(super) struct TrackedCounter {
    /// What this gateway has added, and the decision module takes for added.
    added: f64,
    content: Content,
    /// In the order in which they were made.
    in_flight: VecDeque<Call>,
    highest_total: f64,
    /// The content when a total last lacked nothing.
    last_complete: Content,
    suspicion: Option<Suspicion>,
}

impl TrackedCounter {
    /// What is certainly neither in the counter nor in flight.
    pub fn missing(&self) -> f64 {
        let in_flight: f64 = self.in_flight.iter().map(|call| call.amount).sum();
        let missing = self.added - self.content.confirmed - self.content.possible - in_flight;
        let tolerance = RELATIVE_TOLERANCE * (self.added.abs() + self.content.confirmed.abs());
        if missing.abs() <= tolerance {
            0.0
        } else {
            missing
        }
    }

    pub fn is_suspicious(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Adds an amount that the counter is not asked for, as it is lost.
    pub fn add_locally(&mut self, amount: f64) {
        self.added += amount;
    }

    /// Begins a call for an amount and for what is missing, and returns the sum. Nothing that is missing is added while a
    /// suspicion stands.
    pub fn begin_call(&mut self, requested: f64) -> f64 {
        let missing = if self.is_suspicious() { 0.0 } else { self.missing() };
        let amount = requested + missing;
        self.added += requested;
        self.in_flight.push_back(Call { amount, requested });
        amount
    }

    /// Ends the oldest call.
    pub fn end_call(&mut self) -> Option<Call> {
        self.in_flight.pop_front()
    }

    pub fn confirm(&mut self, call: Call) {
        self.content.confirmed += call.amount;
    }

    pub fn outcome_unknown(&mut self, call: Call) {
        self.content.possible += call.amount;
    }

    /// The decision module takes a call's amount for not added, and will add it again.
    pub fn take_back(&mut self, call: Call) {
        self.added -= call.requested;
    }

    /// The total with what is certainly missing in it.
    pub fn completed(&self, total: f64) -> f64 {
        total + self.missing().max(0.0)
    }

    /// The total, or what the counter must hold at the least.
    pub fn at_least_confirmed(&self, total: f64) -> f64 {
        self.content.confirmed.max(total)
    }

    /// Compares a total with what the counter must hold, given the amount that the replied call has added.
    pub fn compare(&mut self, now: Micros, total: f64, amount: f64) -> Comparison {
        let tolerance = RELATIVE_TOLERANCE * (total.abs() + self.content.confirmed.abs());
        let missing = self.content.confirmed - total;
        if missing <= tolerance {
            self.suspicion = None;
            self.last_complete = self.content;
            self.highest_total = self.highest_total.max(total);
            return Comparison::Complete;
        }
        // A total without even what this call has added is a stale one, whatever it lacks.
        if total + tolerance < amount {
            return Comparison::Explained;
        }
        // No total was larger: nothing was lost since, whatever others have taken off.
        if total >= self.highest_total {
            self.highest_total = total;
            self.last_complete = self.content;
            return Comparison::Explained;
        }
        self.suspect(now, total, missing, tolerance)
    }

    fn suspect(&mut self, now: Micros, total: f64, missing: f64, tolerance: f64) -> Comparison {
        let is_large = total < RESET_FRACTION * self.highest_total;
        let possible = self.content.possible;
        let suspicion =
            self.suspicion.get_or_insert(Suspicion { started_at: now, missing, possible, is_large });
        suspicion.is_large |= is_large;
        Comparison::Suspicious {
            is_large: suspicion.is_large,
            persists: missing + (possible - suspicion.possible) + tolerance >= suspicion.missing,
            is_repeated: suspicion.started_at < now,
        }
    }

    /// The counter has lost all but what was added, or possibly was, since it was last complete. Calls in flight are yet to
    /// be added.
    pub fn reset(&mut self, total: f64) {
        self.content.confirmed -= self.last_complete.confirmed;
        self.content.possible -= self.last_complete.possible;
        self.last_complete = self.content;
        self.suspicion = None;
        self.highest_total = total;
    }
}
