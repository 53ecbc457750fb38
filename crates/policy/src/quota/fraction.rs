//! The admission fraction of a tenant: the part of its offered units that all gateways admit alike.
//!
//! Source: Tesco's write-up "Beyond Quotas: How Tesco Mastered Dynamic Rate Limiting with Envoy", as adapted in
//! `docs/design.md`: a central service sums the reported use, and every instance admits the same percentage of its own
//! current traffic. Here each gateway computes the percentage from the total of a shared counter.

use super::bucket::TokenBucket;
use crate::counter::{Decay, UnitsReading, MIN_UPDATE_INTERVAL};
use crate::event::Micros;
use crate::numeric::{NEGLIGIBLE, SECOND};
use crate::settings::Plan;

/// Units that the last estimate counts as, beside the units seen since. Danger: a few requests would overturn it.
const PRIOR_UNITS: f64 = 6.0;

/// Decay times between two totals up to which the bucket is followed by their difference; beyond, most has decayed.
const MAX_DECAYS_BETWEEN_TOTALS: f64 = 2.0;

/// What a tenant may have been offered within a decay time, in refills of that time, before its bucket is empty: it may
/// use its burst on top of the refill.
const CAPACITY_IN_REFILLS: f64 = 2.2;

/// The fraction and what it is computed from.
pub struct AdmissionFraction {
    fraction: f64,
    /// Units that the quota gains in a period of the last fraction; none where all is admitted.
    period_refill: f64,
    /// Fractions of admitted requests added up; a whole one admits the next request.
    credit: f64,
    /// Units offered to all gateways in a microsecond.
    demand: f64,
    computed_at: Micros,
    /// Units decided on here, and those of them admitted; both halved with each update of the counter.
    recent_offered: f64,
    recent_admitted: f64,
}

impl AdmissionFraction {
    /// All is admitted. The credit starts at random, so that gateways don't admit in step.
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

    /// Computes the fraction from what all gateways were offered in a period.
    ///
    /// fraction = min(1, (rate × period + tokens) / offered), the formula of the source.
    fn compute(&mut self, offered: f64, period: f64, plan: &Plan, tokens: f64, now: Micros) {
        self.demand = offered / period;
        let refill = plan.rate * period / SECOND as f64;
        self.fraction = ((refill + tokens) / offered.max(NEGLIGIBLE)).min(1.0);
        self.period_refill = if self.fraction < 1.0 { refill } else { 0.0 };
        self.computed_at = now;
    }

    /// Whether a request is admitted: the bucket and its refill hold its units, and the credit has become whole.
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

    /// Takes in a total of all gateways: the bucket follows it, and the fraction follows both.
    ///
    /// `pending` are the units that were offered here and are in the total for the first time.
    pub fn apply_reading(
        &mut self,
        reading: &UnitsReading,
        pending: f64,
        bucket: &mut TokenBucket,
        plan: &Plan,
        now: Micros,
    ) {
        let decay_time = Decay::of(plan).time;
        let since = reading.since;
        let gap = (now - since) as f64 / decay_time;
        if gap < MAX_DECAYS_BETWEEN_TOTALS {
            // What was extrapolated since the last total is taken already.
            let not_taken = (now - self.computed_at.max(since)) as f64 / (now - since).max(1) as f64;
            let others = reading.others * gap / (1.0 - (-gap).exp()).max(NEGLIGIBLE);
            bucket.take_for_others(others * not_taken * self.recently_admitted_share());
            let period = (now - since).max(MIN_UPDATE_INTERVAL) as f64;
            self.compute(reading.offered * period / decay_time, period, plan, bucket.tokens(), now);
            self.period_refill = 0.0;
        } else {
            let capacity = CAPACITY_IN_REFILLS * plan.rate * decay_time / SECOND as f64 - reading.offered;
            bucket.set((reading.coverage * capacity + pending).clamp(0.0, plan.burst));
            self.compute(reading.offered, decay_time, plan, bucket.tokens(), now);
        }
    }

    /// Without a total: all gateways are taken to be offered what they were, as far as what came here bears that out.
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
            let usual = self.demand * period;
            let offered = usual * (pending + PRIOR_UNITS) / (usual / gateway_spread + PRIOR_UNITS);
            bucket.take_for_others((offered - pending).max(0.0) * self.fraction);
            self.compute(offered, period, plan, bucket.tokens(), now);
        }
    }

    /// The part of what was offered here that was admitted recently; others are taken to admit as much.
    fn recently_admitted_share(&self) -> f64 {
        ((self.recent_admitted + self.fraction) / (self.recent_offered + 1.0)).clamp(0.0, 1.0)
    }

    /// Counts units that are decided on here.
    pub fn count_offered(&mut self, units: f64) {
        self.recent_offered += units;
    }

    /// Counts units that are admitted here; negative units were given up.
    pub fn count_admitted(&mut self, units: f64) {
        self.recent_admitted += units;
    }

    /// Halves the recent counts.
    pub fn age_recent(&mut self) {
        self.recent_admitted /= 2.0;
        self.recent_offered /= 2.0;
    }

    /// Whether these units are all that was offered here recently.
    pub fn is_first_offer(&self, units: f64) -> bool {
        self.recent_offered <= units
    }

    /// Units offered to all gateways in a microsecond, as last computed.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// When the fraction was last computed.
    pub fn computed_at(&self) -> Micros {
        self.computed_at
    }
}
