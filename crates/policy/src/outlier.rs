//! Detects servers that fail more often than the others (outliers) and ejects them for a while. Load is no
//! reason for an ejection.

use crate::event::{Micros, Outcome};
use crate::numeric::{update_mean, FAST_MEAN_WEIGHT};
use crate::settings::{Idempotency, RequestClass};

/// Ejection time after a failure; it is multiplied by the amount by which the server's share of failures
/// exceeds the fleet's mean. Without ejections, a server that fails fast looks idle and attracts all traffic.
const EJECTION_TIME: Micros = 2_000_000;

/// A cancelled attempt that ran for less than this multiple of the usual latency says nothing about its server.
const CONCLUSIVE_LATENCY_RATIO: f64 = 10.0;

/// Share of failures above which attempts at a server get a time limit derived from the usual latency.
const LOSSY_SERVER_SHARE: f64 = 0.08;

/// The time limit, as a multiple of the usual latency.
const LOSSY_SERVER_TIMEOUT_RATIO: f64 = 7.0;

/// A server's share of failures and its ejection.
#[derive(Default)]
pub struct FailureRecord {
    share: f64,
    ejected_until: Micros,
}

impl FailureRecord {
    /// The share of attempts that fail, as a moving average.
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

    /// Records the end of one attempt. Returns by how much the share of failures has changed.
    ///
    /// Only the share of failures beyond `fleet_mean` counts: if all servers fail alike, the fault lies
    /// elsewhere.
    pub fn record(&mut self, failed: bool, fleet_mean: f64, now: Micros) -> f64 {
        let previous_share = self.share;
        let failure = if failed { 1.0 } else { 0.0 };
        update_mean(&mut self.share, FAST_MEAN_WEIGHT, failure);
        let excess = (self.share - fleet_mean).max(0.0);
        self.ejected_until = now + (EJECTION_TIME as f64 * failure * excess) as Micros;
        self.share - previous_share
    }

    /// The time within which a reply must begin, if its server fails often. Without the limit, a lost answer would
    /// hold its slot and its client until the deadline.
    pub fn first_byte_limit(&self, class: &RequestClass, usual_latency: f64) -> Option<Micros> {
        let is_lossy = self.share > LOSSY_SERVER_SHARE;
        let may_retry = class.idempotency != Idempotency::NonIdempotent;
        (is_lossy && may_retry).then_some((LOSSY_SERVER_TIMEOUT_RATIO * usual_latency) as Micros)
    }
}

/// Whether an outcome says anything about the server.
pub fn is_conclusive(outcome: Outcome, elapsed: f64, usual_latency: f64) -> bool {
    match outcome {
        Outcome::NeverSent => false,
        Outcome::Cancelled => elapsed > CONCLUSIVE_LATENCY_RATIO * usual_latency,
        _ => true,
    }
}
