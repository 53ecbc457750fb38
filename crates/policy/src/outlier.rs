//! Detects servers that fail more than the others (outliers) and ejects them for a while; load is no reason here.

use crate::event::{Micros, Outcome};
use crate::numeric::{update_mean, FAST_MEAN_WEIGHT};
use crate::settings::{Idempotency, RequestClass};

/// Ejection of a server after a failure, times the share of failures by which it exceeds the fleet's mean. Danger: a
/// server that fails at once looks idle and would draw in all traffic.
const EJECTION_TIME: Micros = 2_000_000;

/// An attempt cancelled before this many usual latencies tells nothing of its server.
const CONCLUSIVE_LATENCY_RATIO: f64 = 10.0;

/// Share of failures from which attempts at a server have a time limit by the usual latency.
const LOSSY_SERVER_SHARE: f64 = 0.08;

/// That time limit, in usual latencies.
const LOSSY_SERVER_TIMEOUT_RATIO: f64 = 7.0;

/// A server's failures and its ejection.
#[derive(Default)]
pub struct FailureRecord {
    share: f64,
    ejected_until: Micros,
}

impl FailureRecord {
    /// The mean share of attempts that fail, recent ones first.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether the server is ejected now.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Ends the ejection.
    pub fn readmit(&mut self, now: Micros) {
        self.ejected_until = now;
    }

    /// Takes in the end of one attempt, and returns by how much the share of failures has changed.
    ///
    /// Only what a server fails beyond `fleet_mean` counts: where all fail alike the fault lies elsewhere.
    pub fn record(&mut self, failed: bool, fleet_mean: f64, now: Micros) -> f64 {
        let before = self.share;
        let failure = if failed { 1.0 } else { 0.0 };
        update_mean(&mut self.share, FAST_MEAN_WEIGHT, failure);
        let excess = (self.share - fleet_mean).max(0.0);
        self.ejected_until = now + (EJECTION_TIME as f64 * failure * excess) as Micros;
        self.share - before
    }

    /// The time limit of an attempt by its server's failures. Danger: a lost answer would hold its slot, and its
    /// client, until the deadline.
    pub fn time_limit(&self, class: &RequestClass, usual_latency: f64) -> Option<Micros> {
        let is_lossy = self.share > LOSSY_SERVER_SHARE;
        let may_repeat = class.idempotency != Idempotency::NonIdempotent;
        (is_lossy && may_repeat).then_some((LOSSY_SERVER_TIMEOUT_RATIO * usual_latency) as Micros)
    }
}

/// Whether an outcome tells of its server at all.
pub fn is_conclusive(outcome: Outcome, elapsed: f64, usual_latency: f64) -> bool {
    match outcome {
        Outcome::NeverSent => false,
        Outcome::Cancelled => elapsed > CONCLUSIVE_LATENCY_RATIO * usual_latency,
        _ => true,
    }
}
