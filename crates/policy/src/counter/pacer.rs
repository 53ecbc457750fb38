//! Limits the rate of calls to the shared counter. The rate grows while replies are fast and falls while
//! replies are slow or missing.

use super::CounterReply;
use crate::event::{Micros, Outcome};
use crate::numeric::{seconds, update_mean, SECOND, SLOW_MEAN_WEIGHT};

/// The minimum time between two updates for one tenant, and between two cuts of the rate.
pub const MIN_UPDATE_INTERVAL: Micros = 200_000;

/// Age of a total beyond which a decision needs a new reply of the counter.
pub const MAX_TOTAL_AGE: Micros = 2 * SECOND;

/// Initial calls per second of all gateways together.
const INITIAL_CALLS_PER_SECOND: f64 = 400.0;

/// Minimum calls per second of all gateways together.
const MIN_CALLS_PER_SECOND: f64 = 250.0;

/// Relative growth of the rate in a second of fast replies.
const RATE_GROWTH_PER_SECOND: f64 = 0.4;

/// The longest time between two fast replies for which the rate grows, in seconds.
const MAX_GROWTH_SECONDS: f64 = 2.0;

/// Factor on the rate after a failed call.
const FAILED_CALL_FACTOR: f64 = 0.7;

/// Factor on the rate after a slow reply.
const SLOW_REPLY_FACTOR: f64 = 0.9;

/// A reply that takes more than this multiple of the fastest reply is slow.
const SLOW_REPLY_RATIO: f64 = 2.5;

/// Time over which unused calls accumulate.
const MAX_SAVED_TIME: Micros = 2 * SECOND;

/// If at least this share of the decisions on sparse tenants has a total, a decision without a total is a
/// rejection.
const MIN_INFORMED_SHARE: f64 = 0.1;

/// The share of decisions with a total that is assumed before the first decision.
const INITIAL_INFORMED_SHARE: f64 = 0.5;

/// The calls that this gateway may make, and the recent behaviour of the counter.
pub struct CounterPacer {
    /// Calls per second.
    rate: f64,
    min_rate: f64,
    saved_calls: f64,
    saved_at: Micros,
    rate_cut_at: Micros,
    fast_reply_at: Micros,
    replied_at: Micros,
    fastest_reply: Micros,
    /// Share of decisions on sparse tenants that had a total.
    informed_share: f64,
}

impl CounterPacer {
    /// Creates the pacer of one of `gateway_count` gateways.
    pub fn new(gateway_count: u32, now: Micros) -> Self {
        let gateways = f64::from(gateway_count.max(1));
        let rate = INITIAL_CALLS_PER_SECOND / gateways;
        CounterPacer {
            rate,
            min_rate: MIN_CALLS_PER_SECOND / gateways,
            saved_calls: rate * seconds(MAX_SAVED_TIME),
            saved_at: now,
            rate_cut_at: now,
            fast_reply_at: now,
            replied_at: 0,
            fastest_reply: Micros::MAX,
            informed_share: INITIAL_INFORMED_SHARE,
        }
    }

    /// Accumulates unused calls up to now. Returns the probability with which a call should be made: 1 while
    /// enough calls are saved, less as they run out.
    pub fn call_probability(&mut self, now: Micros) -> f64 {
        let elapsed = seconds(now - self.saved_at);
        let max_saved = (self.rate * seconds(MAX_SAVED_TIME)).max(1.0);
        self.saved_calls = (self.saved_calls + self.rate * elapsed).min(max_saved);
        self.saved_at = now;
        (2.0 * self.saved_calls / max_saved).clamp(0.0, 1.0)
    }

    /// Takes one saved call.
    pub fn spend(&mut self) {
        self.saved_calls -= 1.0;
    }

    /// Adjusts the rate to the result of a call. An error reply says nothing about the counter's capacity.
    pub fn record(&mut self, reply: &CounterReply, now: Micros) {
        let succeeded = reply.outcome == Outcome::Ok;
        if succeeded {
            self.replied_at = now;
            self.fastest_reply = self.fastest_reply.min(reply.elapsed);
        }
        if succeeded && reply.elapsed as f64 <= SLOW_REPLY_RATIO * self.fastest_reply as f64 {
            self.grow(now);
            self.fast_reply_at = now;
        } else if reply.outcome != Outcome::Error && now >= self.rate_cut_at + MIN_UPDATE_INTERVAL {
            let factor = if succeeded { SLOW_REPLY_FACTOR } else { FAILED_CALL_FACTOR };
            self.rate = (self.rate * factor).max(self.min_rate);
            self.rate_cut_at = now;
        }
    }

    /// Raises the rate, if most of it is used. A rate that is not used would grow without evidence that the
    /// counter can bear it, and could later flood the counter.
    fn grow(&mut self, now: Micros) {
        if 2.0 * self.saved_calls < self.rate * seconds(MAX_SAVED_TIME) {
            let elapsed = seconds(now - self.fast_reply_at).min(MAX_GROWTH_SECONDS);
            self.rate *= 1.0 + RATE_GROWTH_PER_SECOND * elapsed;
        }
    }

    /// Whether the counter has replied recently.
    pub fn is_responding(&self, now: Micros) -> bool {
        now < self.replied_at + MAX_TOTAL_AGE
    }

    /// Records whether a decision on a sparse tenant had a total.
    pub fn count_decision(&mut self, informed: bool) {
        update_mean(&mut self.informed_share, SLOW_MEAN_WEIGHT, f64::from(u8::from(informed)));
    }

    /// Whether so few decisions on sparse tenants have a total that rejecting the others would reject most
    /// requests.
    pub fn is_starved(&self) -> bool {
        self.informed_share < MIN_INFORMED_SHARE
    }
}
