//! The amounts that the shared counter must contain for one key of this gateway, and the comparison of totals with them. Each
//! key is compared separately; the monitor combines the suspicions of all keys.

use std::collections::VecDeque;

use crate::Micros;

/// Totals are exact to seven digits. A difference below this fraction of a sum does not count as missing.
pub(super) const RELATIVE_TOLERANCE: f64 = 1e-6;
/// A total is evidence of a reset only below this fraction of the highest previous total, since other gateways may have
/// subtracted units that this gateway added.
const RESET_FRACTION: f64 = 0.5;

/// A call in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    /// The amount that the counter was asked to add.
    pub amount: f64,
    /// The part of the amount that the decision module requested. The rest was missing from the counter before.
    pub requested: f64,
}

/// This gateway's additions that the counter contains.
#[derive(Clone, Copy, Debug, Default)]
struct Content {
    confirmed: f64,
    /// The sum of calls whose outcome is unknown.
    possible: f64,
}

/// Totals lack a part of the amounts that the counter must contain.
#[derive(Debug)]
struct Suspicion {
    started_at: Micros,
    /// The missing amount at the start.
    missing: f64,
    /// The amount that was possibly in the counter at the start.
    possible: f64,
    /// Whether a total was far below the highest total.
    is_large: bool,
}

/// The result of comparing a total with the amounts that the counter must contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Comparison {
    /// Nothing is missing.
    Complete,
    /// An amount is missing, but not because of a reset: the total is stale, or other gateways subtracted units.
    Explained,
    /// The counter may have been reset.
    Suspicious {
        is_large: bool,
        /// Unknown outcomes aside, no less is missing than at first.
        persists: bool,
        /// An earlier total of this counter was suspicious as well.
        is_repeated: bool,
    },
}

#[derive(Debug, Default)]
pub(super) struct TrackedCounter {
    /// The sum that this gateway has added, according to the decision module.
    added: f64,
    content: Content,
    /// Calls in flight, ordered by start.
    in_flight: VecDeque<Call>,
    highest_total: f64,
    /// The content when a total was last complete.
    last_complete: Content,
    suspicion: Option<Suspicion>,
}

impl TrackedCounter {
    /// The amount that is certainly neither in the counter nor in flight.
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

    /// Adds an amount without a call, since the counter is lost.
    pub fn add_locally(&mut self, amount: f64) {
        self.added += amount;
    }

    /// Begins a call for the requested and the missing amount, and returns their sum. The missing amount is left out while there
    /// is a suspicion.
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

    /// Reverts the addition of a call that was not applied. The decision module will add the amount again.
    pub fn revert_addition(&mut self, call: Call) {
        self.added -= call.requested;
    }

    /// The total plus the amount that is certainly missing from it.
    pub fn total_with_missing(&self, total: f64) -> f64 {
        total + self.missing().max(0.0)
    }

    /// The total, or the confirmed amount if that is larger.
    pub fn at_least_confirmed(&self, total: f64) -> f64 {
        self.content.confirmed.max(total)
    }

    /// Compares a total with the amounts that the counter must contain. `amount` is the amount of the call that returned it.
    pub fn compare(&mut self, now: Micros, total: f64, amount: f64) -> Comparison {
        let tolerance = RELATIVE_TOLERANCE * (total.abs() + self.content.confirmed.abs());
        let missing = self.content.confirmed - total;
        if missing <= tolerance {
            self.suspicion = None;
            self.last_complete = self.content;
            self.highest_total = self.highest_total.max(total);
            return Comparison::Complete;
        }
        // A total that lacks even the amount of its own call is stale.
        if total + tolerance < amount {
            return Comparison::Explained;
        }
        // No earlier total was higher, so the counter has lost nothing since. Other gateways subtracted units.
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

    /// Records a reset: the counter contains only the amounts that were added, or possibly added, since its last complete total.
    /// Calls in flight will still be added.
    pub fn reset(&mut self, total: f64) {
        self.content.confirmed -= self.last_complete.confirmed;
        self.content.possible -= self.last_complete.possible;
        self.last_complete = self.content;
        self.suspicion = None;
        self.highest_total = total;
    }
}
