//! Statistics of the shared counter's replies: consecutive failures, latency and stale totals. They do not depend on the values
//! of counters.

use crate::{Micros, MILLISECOND};

/// The counter is lost after this number of consecutive failures and this time without a reply. A single faulty connection fails
/// several calls at once, but is replaced sooner than that.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
const MAX_SILENCE: Micros = 200 * MILLISECOND;
/// Replies are slow if their mean latency is above this multiple of the lowest latency and above `MIN_SLOW_LATENCY`.
const SLOW_FACTOR: f64 = 5.0;
const MIN_SLOW_LATENCY: Micros = 10 * MILLISECOND;
/// The weight of the newest reply in the mean latency.
const LATENCY_SMOOTHING: f64 = 0.125;
/// Totals are stale after this number of consecutive replies that lack the amount of their own call.
const STALE_REPLIES: u32 = 3;

#[derive(Debug)]
pub(super) struct ReplyStatistics {
    consecutive_failures: u32,
    last_reply: Micros,
    min_latency: Micros,
    /// In microseconds.
    mean_latency: f64,
    consecutive_stale: u32,
}

impl ReplyStatistics {
    pub fn new(now: Micros) -> Self {
        ReplyStatistics {
            consecutive_failures: 0,
            last_reply: now,
            min_latency: Micros::MAX,
            mean_latency: 0.0,
            consecutive_stale: 0,
        }
    }

    pub fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Records a reply and its latency. A reply is stale if its total lacks the amount of its own call.
    pub fn record_reply(&mut self, now: Micros, latency: Micros, is_stale: bool) {
        self.consecutive_failures = 0;
        self.last_reply = now;
        self.min_latency = self.min_latency.min(latency.max(1));
        self.mean_latency += LATENCY_SMOOTHING * (latency as f64 - self.mean_latency);
        self.consecutive_stale = if is_stale { self.consecutive_stale + 1 } else { 0 };
    }

    pub fn is_lost(&self, now: Micros) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && now >= self.last_reply + MAX_SILENCE
    }

    pub fn is_slow(&self) -> bool {
        self.mean_latency > SLOW_FACTOR * self.min_latency as f64
            && self.mean_latency > MIN_SLOW_LATENCY as f64
    }

    pub fn is_stale(&self) -> bool {
        self.consecutive_stale >= STALE_REPLIES
    }

    pub fn last_was_current(&self) -> bool {
        self.consecutive_stale == 0
    }
}
