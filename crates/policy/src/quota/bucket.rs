//! A tenant's token bucket: the units that may pass at once, refilled at the plan's rate; it admits nobody by itself.

use crate::event::Micros;
use crate::numeric::seconds;
use crate::settings::Plan;

/// The bucket, as far as this gateway knows what others took from it.
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket with so many tokens.
    pub fn new(tokens: f64, now: Micros) -> Self {
        TokenBucket { tokens, refilled_at: now }
    }

    /// The tokens as of the last refill; below zero after units were corrected upwards.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// When it was last refilled.
    pub fn refilled_at(&self) -> Micros {
        self.refilled_at
    }

    /// Refills it up to now with this share of the plan's rate.
    pub fn refill(&mut self, plan: &Plan, share: f64, now: Micros) {
        let elapsed = seconds(now - self.refilled_at);
        self.tokens = (self.tokens + plan.rate * share * elapsed).min(plan.burst);
        self.refilled_at = now;
    }

    /// Takes what was admitted here; negative units go back.
    pub fn take(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Takes what was admitted elsewhere, as far as there is any.
    pub fn take_for_others(&mut self, units: f64) {
        self.tokens = (self.tokens - units).max(0.0);
    }

    /// Sets the tokens to what a total of all gateways leaves.
    pub fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}
