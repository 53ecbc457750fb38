//! How many calls the shared counter stands: a rate that grows while replies are quick and falls while they are not.

use super::CounterReply;
use crate::event::{Micros, Outcome};
use crate::numeric::{seconds, update_mean, SECOND, SLOW_MEAN_WEIGHT};

/// The least time between two updates for one tenant, and between two cuts of the rate.
pub const MIN_UPDATE_INTERVAL: Micros = 200_000;

/// Age of a total beyond which the counter is queried before a decision.
pub const MAX_TOTAL_AGE: Micros = 2 * SECOND;

/// Calls per second of all gateways together, at first.
const INITIAL_CALLS_PER_SECOND: f64 = 400.0;

/// Calls per second of all gateways together, at the least.
const MIN_CALLS_PER_SECOND: f64 = 250.0;

/// Growth of the rate in a second of quick replies, as a share of it.
const RATE_GROWTH_PER_SECOND: f64 = 0.4;

/// The longest time between two quick replies that the rate grows for, in seconds.
const MAX_GROWTH_SECONDS: f64 = 2.0;

/// What a call without a reply leaves of the rate.
const FAILED_CALL_FACTOR: f64 = 0.7;

/// What a slow reply leaves of the rate.
const SLOW_REPLY_FACTOR: f64 = 0.9;

/// A reply is slow beyond so many times the quickest one.
const SLOW_REPLY_RATIO: f64 = 2.5;

/// Time for which unused calls are saved up.
const MAX_SAVED_TIME: Micros = 2 * SECOND;

/// Share of decisions on sparse tenants by a total, from which a decision without one is a rejection.
const MIN_INFORMED_SHARE: f64 = 0.1;

/// The share assumed before the first decision.
const INITIAL_INFORMED_SHARE: f64 = 0.5;

/// The calls that this gateway may make, and how well the counter replies.
pub struct CounterPacer {
    /// Calls per second.
    rate: f64,
    min_rate: f64,
    saved_calls: f64,
    saved_at: Micros,
    rate_cut_at: Micros,
    quick_reply_at: Micros,
    replied_at: Micros,
    quickest_reply: Micros,
    /// Share of decisions on sparse tenants that a total was known for.
    informed_share: f64,
}

impl CounterPacer {
    /// The pacer of one of so many gateways.
    pub fn new(gateway_count: u32, now: Micros) -> Self {
        let gateways = f64::from(gateway_count.max(1));
        let rate = INITIAL_CALLS_PER_SECOND / gateways;
        CounterPacer {
            rate,
            min_rate: MIN_CALLS_PER_SECOND / gateways,
            saved_calls: rate * seconds(MAX_SAVED_TIME),
            saved_at: now,
            rate_cut_at: now,
            quick_reply_at: now,
            replied_at: 0,
            quickest_reply: Micros::MAX,
            informed_share: INITIAL_INFORMED_SHARE,
        }
    }

    /// Saves up calls until now, and returns the probability with which a call should be made: one while enough are
    /// saved up, less as they run out.
    pub fn call_probability(&mut self, now: Micros) -> f64 {
        let elapsed = seconds(now - self.saved_at);
        let max_saved = (self.rate * seconds(MAX_SAVED_TIME)).max(1.0);
        self.saved_calls = (self.saved_calls + self.rate * elapsed).min(max_saved);
        self.saved_at = now;
        (2.0 * self.saved_calls / max_saved).clamp(0.0, 1.0)
    }

    /// Takes one call.
    pub fn spend(&mut self) {
        self.saved_calls -= 1.0;
    }

    /// Takes in how a call ended. An error reply tells nothing of the counter's capacity.
    pub fn record(&mut self, reply: &CounterReply, now: Micros) {
        let succeeded = reply.outcome == Outcome::Ok;
        if succeeded {
            self.replied_at = now;
            self.quickest_reply = self.quickest_reply.min(reply.elapsed);
        }
        if succeeded && reply.elapsed as f64 <= SLOW_REPLY_RATIO * self.quickest_reply as f64 {
            self.grow(now);
            self.quick_reply_at = now;
        } else if reply.outcome != Outcome::Error && now >= self.rate_cut_at + MIN_UPDATE_INTERVAL {
            let factor = if succeeded { SLOW_REPLY_FACTOR } else { FAILED_CALL_FACTOR };
            self.rate = (self.rate * factor).max(self.min_rate);
            self.rate_cut_at = now;
        }
    }

    /// Raises the rate, if it is used up. Danger: one that is not would grow without a proof, to a flood.
    fn grow(&mut self, now: Micros) {
        if 2.0 * self.saved_calls < self.rate * seconds(MAX_SAVED_TIME) {
            let elapsed = seconds(now - self.quick_reply_at).min(MAX_GROWTH_SECONDS);
            self.rate *= 1.0 + RATE_GROWTH_PER_SECOND * elapsed;
        }
    }

    /// Whether the counter has replied recently.
    pub fn is_responding(&self, now: Micros) -> bool {
        now < self.replied_at + MAX_TOTAL_AGE
    }

    /// Counts a decision on a sparse tenant.
    pub fn count_decision(&mut self, informed: bool) {
        update_mean(&mut self.informed_share, SLOW_MEAN_WEIGHT, f64::from(u8::from(informed)));
    }

    /// Whether so few decisions on sparse tenants are by a total that rejecting the others would be most of them.
    pub fn is_starved(&self) -> bool {
        self.informed_share < MIN_INFORMED_SHARE
    }
}
