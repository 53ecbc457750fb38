//! The units of one tenant that are reported to the shared counter, and the interpretation of its totals.

use crate::event::Micros;
use crate::numeric::{NEGLIGIBLE, SECOND};
use crate::settings::Plan;

/// The longest window of a counter key, and the lifetime that the counter gives a key.
pub const MAX_WINDOW: Micros = 60 * SECOND;

/// Maximum number of decay times in a window. At the window's end a unit weighs e to this power, and the
/// counter accepts and reports at most 1e9.
const MAX_DECAYS_PER_WINDOW: f64 = 16.0;

/// The decay time as a share of the time in which the bucket fills.
const DECAY_TIME_IN_FILLS: f64 = 0.25;

/// The minimum decay time, in microseconds.
const MIN_DECAY_TIME: f64 = 1e6;

/// Updates of all gateways that a total needs in a decay time when calls are scarce.
const SAMPLES_PER_DECAY_TIME: f64 = 6.0;

/// How units of a plan lose weight over time: after one decay time a unit weighs 1/e of a new one.
#[derive(Clone, Copy)]
pub struct Decay {
    /// The decay time, in microseconds.
    pub time: f64,
}

impl Decay {
    /// The decay of a plan's units.
    pub fn for_plan(plan: &Plan) -> Self {
        let fill_time = DECAY_TIME_IN_FILLS * plan.burst / plan.rate.max(NEGLIGIBLE) * SECOND as f64;
        Decay { time: fill_time.max(MIN_DECAY_TIME) }
    }

    /// The weight of a unit offered now, relative to a unit offered at the window's start.
    pub fn weight(self, window_start: Micros, now: Micros) -> f64 {
        (now.saturating_sub(window_start) as f64 / self.time).exp()
    }

    /// The share of a weight that remains after `elapsed`.
    pub fn remaining(self, elapsed: Micros) -> f64 {
        (-(elapsed as f64) / self.time).exp()
    }

    /// The start of the current window.
    pub fn window_start(self, now: Micros) -> Micros {
        let length = MAX_WINDOW.min((MAX_DECAYS_PER_WINDOW * self.time) as Micros);
        now - now % length
    }
}

/// A pending update.
#[derive(Clone, Copy)]
pub struct UnitsUpdate {
    /// The amount added to the counter.
    pub amount: f64,
    /// The units offered here that the update reports for the first time.
    pub pending: f64,
}

/// The figures of all gateways that a total yields.
pub struct UnitsReading {
    /// Units offered to all gateways within the last decay time.
    pub offered: f64,
    /// Units that other gateways added since the last total.
    pub others: f64,
    /// The share of a decay time that the window covers, from 0 to 1: a window that has just begun has not
    /// counted everything.
    pub coverage: f64,
    /// The start of the time that `others` covers.
    pub since: Micros,
}

/// One tenant's units, pending and counted.
#[derive(Default)]
pub struct UnitsCounter {
    /// Units offered here that no update has reported.
    pending: f64,
    /// Units of earlier updates that the counter certainly did not add, reduced by decay.
    undelivered: f64,
    update: Option<UnitsUpdate>,
    updated_at: Micros,
    window: u64,
    last_total: f64,
    last_total_at: Option<Micros>,
}

impl UnitsCounter {
    /// Counts units offered here; negative units correct an estimate.
    pub fn add(&mut self, units: f64) {
        self.pending += units;
    }

    /// When the last total was received.
    pub fn last_total_at(&self) -> Option<Micros> {
        self.last_total_at
    }

    /// Whether an update is pending.
    pub fn is_update_pending(&self) -> bool {
        self.update.is_some()
    }

    /// Whether the last total reached `limit`.
    pub fn has_reached(&self, limit: f64) -> bool {
        self.last_total + NEGLIGIBLE >= limit
    }

    /// When the last update of decaying units was made or skipped.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// Enters a window; totals of the previous window don't count in it.
    pub fn enter_window(&mut self, window: u64) {
        if self.window != window {
            self.window = window;
            self.last_total = 0.0;
        }
    }

    /// Takes the pending units for an update that is made or skipped now.
    pub fn take_pending(&mut self) -> f64 {
        std::mem::take(&mut self.pending)
    }

    /// Records the time of an update of decaying units that is made or skipped.
    pub fn record_update_time(&mut self, now: Micros) {
        self.updated_at = now;
    }

    /// Begins an update of a sparse tenant's units.
    pub fn begin_sparse_update(&mut self, pending: f64) -> UnitsUpdate {
        *self.update.insert(UnitsUpdate { amount: pending, pending })
    }

    /// Begins an update of decaying units that is made with `probability` and is scaled up by its inverse.
    pub fn begin_update(&mut self, pending: f64, probability: f64, decay: Decay, now: Micros) -> UnitsUpdate {
        let amount = (pending + self.undelivered) / probability * decay.weight(self.window, now);
        *self.update.insert(UnitsUpdate { amount, pending })
    }

    /// Ends the pending update and returns it.
    pub fn take_update(&mut self) -> Option<UnitsUpdate> {
        self.update.take()
    }

    /// Records a total of a sparse tenant's window.
    pub fn record_total(&mut self, total: f64, now: Micros) {
        self.last_total = total;
        self.last_total_at = Some(now);
    }

    /// After an update, keeps its units for the next one if the counter did not add them, and else drops them.
    ///
    /// If units that were not added were dropped, each gateway would take its own traffic for that of all
    /// gateways. The units kept decay like the others.
    pub fn settle_update(&mut self, may_have_counted: bool, pending: f64, remaining: f64) {
        self.undelivered = if may_have_counted { 0.0 } else { self.undelivered * remaining + pending };
    }

    /// Assumes that the counter has added an update without a reply.
    pub fn assume_counted(&mut self, amount: f64) {
        self.last_total += amount;
    }

    /// Computes the figures of all gateways from a total of decaying units, after an update of `amount`.
    pub fn read_total(&mut self, total: f64, amount: f64, decay: Decay, now: Micros) -> UnitsReading {
        let weight = decay.weight(self.window, now);
        let others = (total - self.last_total - amount).max(0.0) / weight;
        let coverage = (1.0 - decay.remaining(now - self.window)).max(NEGLIGIBLE);
        let offered = total / weight / coverage;
        let since = self.last_total_at.unwrap_or(0).max(self.window);
        self.record_total(total, now);
        UnitsReading { offered, others, coverage, since }
    }
}

/// The probability of an update when calls are scarce: no more updates than a total needs, and few for tenants
/// whose decisions need no new total.
pub fn update_probability(
    call_probability: f64,
    pending: f64,
    demand: f64,
    decay: Decay,
    needs_total: bool,
) -> f64 {
    if call_probability >= 1.0 {
        return 1.0;
    }
    let needed = (SAMPLES_PER_DECAY_TIME * pending.abs() / (demand * decay.time).max(NEGLIGIBLE)).min(1.0);
    needed * if needs_total { call_probability } else { call_probability * call_probability }
}
