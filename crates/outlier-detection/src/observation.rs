//! What one gateway observed at one server: decaying sums of attempts, failures and slowdowns. It knows nothing of other
//! gateways.

use crate::{HealthLevel, Micros, SECOND};

/// The time in which an attempt loses half of its weight.
///
/// Danger: what was observed before a server failed speaks for it; in a large fleet each gateway has some such attempts, and
/// together they would outvote what is true now.
const HALF_LIFE: Micros = SECOND;
/// The greatest weight of all attempts: how a busy gateway was served a second ago must not hide how it is served now.
const MAX_WEIGHT: f64 = 4.0;
/// With less weight there is no observation.
const MIN_WEIGHT: f64 = 0.3;
/// The weight of the newest latency in the usual one.
const LATENCY_SMOOTHING: f64 = 0.02;
/// Slowdowns are capped here, so that a single extreme one does not make a server slow.
const MAX_SLOWDOWN: f64 = 32.0;

/// How an attempt ended, as far as the server had a part in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptEnd {
    /// Answered, in so many times the usual latency of its class.
    Answered { slowdown: f64 },
    /// Lost or failed.
    Failed,
}

/// Decaying sums over the attempts at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Observation {
    answered: f64,
    failed: f64,
    /// Binary logarithms of the slowdowns of answered attempts, summed.
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

    /// The level of health that is reported; nothing if too little weight is left.
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

/// The usual latency of each request class at this gateway, over all servers, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsualLatencies(Vec<f64>);

impl UsualLatencies {
    /// How many times the usual latency an answer took. The usual latency follows the answers by ratios, so that a few slow
    /// ones hardly raise it.
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
