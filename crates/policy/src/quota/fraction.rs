//! The admission fraction of a tenant: the share of its offered units that all gateways admit alike.
//!
//! Source: Tesco's write-up "Beyond Quotas: How Tesco Mastered Dynamic Rate Limiting with Envoy", as adapted in
//! `docs/design.md`: a central service sums the reported use, and every instance admits the same percentage of
//! its own current traffic. Here each gateway computes the percentage from the total of a shared counter.

use super::bucket::TokenBucket;
use crate::counter::{Decay, UnitsReading, MIN_UPDATE_INTERVAL};
use crate::event::Micros;
use crate::numeric::{NEGLIGIBLE, SECOND};
use crate::settings::Plan;

/// Weight of the previous estimate in units, added to the units seen since. Without it a few requests would
/// overturn the estimate.
const PRIOR_UNITS: f64 = 6.0;

/// Longest time between two totals, in decay times, for which the bucket is adjusted by their difference. After
/// a longer time most of the difference has decayed.
const MAX_DECAYS_BETWEEN_TOTALS: f64 = 2.0;

/// The units that a tenant may have offered within a decay time before its bucket is empty, as a multiple of
/// the refill in that time. The burst is available on top of the refill.
const CAPACITY_IN_REFILLS: f64 = 2.2;

/// The fraction and the figures that it is computed from.
pub struct AdmissionFraction {
    fraction: f64,
    /// Units refilled in the period of the last fraction; 0 if everything is admitted.
    period_refill: f64,
    /// The sum of the fractions of the requests decided; at 1 the next request is admitted.
    credit: f64,
    /// Units offered to all gateways per microsecond.
    demand: f64,
    computed_at: Micros,
    /// Units decided at this gateway, and those of them admitted. Each update of the counter halves both.
    recent_offered: f64,
    recent_admitted: f64,
}

impl AdmissionFraction {
    /// Creates a fraction that admits everything. The initial credit is random, so that gateways don't admit in
    /// step.
    pub fn new(credit: f64, now: Micros) -> Self {
        AdmissionFraction {
            fraction: 1.0,
            period_refill: 0.0,
            credit,
            demand: 0.0,
            computed_at: now,
            recent_offered: 0.0,
            recent_admitted: 0.0,
        }
    }

    /// Computes the fraction from the units offered to all gateways in a period.
    ///
    /// fraction = min(1, (rate × period + tokens) / offered), the formula of the source.
    fn compute(&mut self, offered: f64, period: f64, plan: &Plan, tokens: f64, now: Micros) {
        self.demand = offered / period;
        let refill = plan.rate * period / SECOND as f64;
        self.fraction = ((refill + tokens) / offered.max(NEGLIGIBLE)).min(1.0);
        self.period_refill = if self.fraction < 1.0 { refill } else { 0.0 };
        self.computed_at = now;
    }

    /// Whether a request is admitted: the bucket and its refill hold its units, and the credit has reached 1.
    pub fn admit(&mut self, units: f64, bucket: &TokenBucket) -> bool {
        let has_tokens = units <= bucket.tokens() + self.period_refill + NEGLIGIBLE;
        let is_partial = self.fraction < 1.0;
        if !has_tokens || !is_partial {
            return has_tokens;
        }
        self.credit += self.fraction;
        let is_whole = self.credit >= 1.0;
        if is_whole {
            self.credit -= 1.0;
        }
        is_whole
    }

    /// Applies a total of all gateways: adjusts the bucket to it and computes the fraction from both.
    ///
    /// `pending` are the units that were offered here and that the total includes for the first time.
    pub fn apply_reading(
        &mut self,
        reading: &UnitsReading,
        pending: f64,
        bucket: &mut TokenBucket,
        plan: &Plan,
        now: Micros,
    ) {
        let decay_time = Decay::for_plan(plan).time;
        let since = reading.since;
        let gap = (now - since) as f64 / decay_time;
        if gap < MAX_DECAYS_BETWEEN_TOTALS {
            // Units extrapolated since the last total are already taken.
            let untaken_share = (now - self.computed_at.max(since)) as f64 / (now - since).max(1) as f64;
            let others = reading.others * gap / (1.0 - (-gap).exp()).max(NEGLIGIBLE);
            bucket.take_for_others(others * untaken_share * self.recently_admitted_share());
            let period = (now - since).max(MIN_UPDATE_INTERVAL) as f64;
            self.compute(reading.offered * period / decay_time, period, plan, bucket.tokens(), now);
            self.period_refill = 0.0;
        } else {
            let capacity = CAPACITY_IN_REFILLS * plan.rate * decay_time / SECOND as f64 - reading.offered;
            bucket.set((reading.coverage * capacity + pending).clamp(0.0, plan.burst));
            self.compute(reading.offered, decay_time, plan, bucket.tokens(), now);
        }
    }

    /// Computes the fraction without a new total. It assumes that all gateways are offered as much as before,
    /// corrected by the units offered here.
    pub fn extrapolate(
        &mut self,
        pending: f64,
        gateway_spread: f64,
        bucket: &mut TokenBucket,
        plan: &Plan,
        now: Micros,
    ) {
        let period = (now - self.computed_at) as f64;
        if period > 0.0 {
            let expected = self.demand * period;
            let offered = expected * (pending + PRIOR_UNITS) / (expected / gateway_spread + PRIOR_UNITS);
            bucket.take_for_others((offered - pending).max(0.0) * self.fraction);
            self.compute(offered, period, plan, bucket.tokens(), now);
        }
    }

    /// The share of the recently offered units that this gateway admitted. Other gateways are assumed to admit
    /// the same share.
    fn recently_admitted_share(&self) -> f64 {
        ((self.recent_admitted + self.fraction) / (self.recent_offered + 1.0)).clamp(0.0, 1.0)
    }

    /// Counts units that this gateway decides on.
    pub fn count_offered(&mut self, units: f64) {
        self.recent_offered += units;
    }

    /// Counts units that this gateway admits; negative units belong to requests that were given up.
    pub fn count_admitted(&mut self, units: f64) {
        self.recent_admitted += units;
    }

    /// Halves the recent counts.
    pub fn age_recent(&mut self) {
        self.recent_admitted /= 2.0;
        self.recent_offered /= 2.0;
    }

    /// Whether `units` are all that was offered here recently.
    pub fn is_first_offer(&self, units: f64) -> bool {
        self.recent_offered <= units
    }

    /// Units offered to all gateways per microsecond, as last computed.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// When the fraction was last computed.
    pub fn computed_at(&self) -> Micros {
        self.computed_at
    }
}
