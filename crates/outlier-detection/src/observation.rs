//! One gateway's observations of one server: decaying sums of attempts, failures and slowdowns. This module does not use the
//! reports of other gateways.

use crate::{HealthLevel, Micros, SECOND};

/// The time in which an attempt loses half of its weight.
///
/// Attempts from before a server failed count in its favor. In a large fleet each gateway has a few such attempts, and with a
/// longer half-life they would together outvote the current observations.
const HALF_LIFE: Micros = SECOND;
/// Maximum weight of all attempts, so that at a busy gateway the attempts of a second ago do not hide the current state.
const MAX_WEIGHT: f64 = 4.0;
/// Minimum weight of an observation. Below it the health is unknown.
const MIN_WEIGHT: f64 = 0.3;
/// The weight of the newest latency in the usual one.
const LATENCY_SMOOTHING: f64 = 0.02;
/// Maximum slowdown that is recorded, so that a single extreme one does not make a server slow.
const MAX_SLOWDOWN: f64 = 32.0;

/// The outcome of an attempt, as far as the server is responsible for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptEnd {
    /// Answered. The slowdown is the latency as a multiple of the usual latency of the request class.
    Answered { slowdown: f64 },
    /// Lost or failed.
    Failed,
}

/// Decaying sums over the attempts at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Observation {
    answered: f64,
    failed: f64,
    /// The sum of the binary logarithms of the slowdowns of answered attempts.
    log_slowdown: f64,
    updated_at: Micros,
}

impl Observation {
    pub fn record(&mut self, now: Micros, end: AttemptEnd) {
        self.decay(now);
        let excess = (self.answered + self.failed) / MAX_WEIGHT;
        if excess > 1.0 {
            self.answered /= excess;
            self.failed /= excess;
            self.log_slowdown /= excess;
        }
        match end {
            AttemptEnd::Answered { slowdown } => {
                self.answered += 1.0;
                self.log_slowdown += slowdown.clamp(1.0, MAX_SLOWDOWN).log2();
            }
            AttemptEnd::Failed => self.failed += 1.0,
        }
    }

    /// The observed health, or `None` if the remaining weight is too low.
    pub fn health(&self, now: Micros) -> Option<HealthLevel> {
        let mut current = *self;
        current.decay(now);
        let weight = current.answered + current.failed;
        if weight < MIN_WEIGHT {
            return None;
        }
        let failures = (8.0 * current.failed / weight).round() as u8;
        let has_answers = current.answered > 0.0;
        let slowness = if has_answers { (current.log_slowdown / current.answered).floor() as u8 } else { 0 };
        let samples = (1.0 + weight.max(1.0).log2()).floor();
        Some(HealthLevel {
            failures: failures.min(HealthLevel::MAX_LEVEL),
            slowness: slowness.min(HealthLevel::MAX_LEVEL),
            samples: samples.min(f64::from(HealthLevel::MAX_SAMPLES)) as u8,
        })
    }

    fn decay(&mut self, now: Micros) {
        let age = now.saturating_sub(self.updated_at);
        let factor = 0.5f64.powf(age as f64 / HALF_LIFE as f64);
        self.answered *= factor;
        self.failed *= factor;
        self.log_slowdown *= factor;
        self.updated_at = now;
    }
}

/// The usual latency of each request class at this gateway over all servers, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsualLatencies(Vec<f64>);

impl UsualLatencies {
    /// Returns the latency of an answer as a multiple of the usual latency, and updates the usual latency. The update is
    /// multiplicative, so that a few slow answers hardly raise it.
    pub fn slowdown(&mut self, request_class: usize, latency: Micros) -> f64 {
        let latency = latency.max(1) as f64;
        if self.0.len() <= request_class {
            self.0.resize(request_class + 1, 0.0);
        }
        let usual = &mut self.0[request_class];
        if *usual == 0.0 {
            *usual = latency;
        }
        let slowdown = latency / *usual;
        *usual *= slowdown.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN).powf(LATENCY_SMOOTHING);
        slowdown
    }
}
