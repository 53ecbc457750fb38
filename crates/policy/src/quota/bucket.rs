//! A tenant's token bucket: the units that may pass at once, refilled at the plan's rate. It only keeps the
//! count; other modules decide what is admitted.

use crate::event::Micros;
use crate::numeric::seconds;
use crate::settings::Plan;

/// The token bucket, including what this gateway knows of the tokens taken at other gateways.
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`.
    pub fn new(tokens: f64, now: Micros) -> Self {
        TokenBucket { tokens, refilled_at: now }
    }

    /// The tokens as of the last refill; negative after units were corrected upwards.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// When the bucket was last refilled.
    pub fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    /// Refills the bucket up to now with `share` of the plan's rate.
    pub fn refill(&mut self, plan: &Plan, share: f64, now: Micros) {
        self.tokens = self.tokens_at(plan, share, now);
        self.refilled_at = now;
    }

    /// The tokens that a refill with `share` of the plan's rate would leave now.
    pub fn tokens_at(&self, plan: &Plan, share: f64, now: Micros) -> f64 {
        let elapsed = seconds(now - self.refilled_at);
        (self.tokens + plan.rate * share * elapsed).min(plan.burst)
    }

    /// Takes units that were admitted here; negative units are returned.
    pub fn take(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Takes units that were admitted at other gateways, down to an empty bucket.
    pub fn take_for_others(&mut self, units: f64) {
        self.tokens = (self.tokens - units).max(0.0);
    }

    /// Sets the tokens to the number computed from a total of all gateways.
    pub fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}
