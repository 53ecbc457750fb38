//! What one gateway has met at one server of late: counts that fade.

use crate::{HealthLevel, Micros, SECOND};

/// Time in which a trip counts half. Danger: what was met before a server went bad speaks for it; in a large fleet each gateway has met
/// it some times, and all together would outvote what is so now.
const HALF_LIFE: Micros = SECOND;
/// More trips than these count as these: how a busy gateway was served a second ago must not hide how it is now.
const MAX_WEIGHT: f64 = 4.0;
/// What is left of a trip that long ago is nothing.
const MIN_WEIGHT: f64 = 0.3;
/// Weight of the newest in the usual time of a lane.
const LATENCY_SMOOTHING: f64 = 0.02;
/// A time beyond so many usual ones counts as that: one monster does not make a slow server.
const MAX_SLOWDOWN: f64 = 32.0;

/// How a trip ended, as its server had a part in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// Answered after so many times the lane's usual time.
    Answered { times: f64 },
    /// Lost on the way, failed, or turned away.
    Failed,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    answered: f64,
    failed: f64,
    /// Doublings of the usual time, summed over what was answered.
    log_slowdown: f64,
    updated_at: Micros,
}

impl Observation {
    fn decay(&mut self, now: Micros) {
        let factor = 0.5f64.powf(now.saturating_sub(self.updated_at) as f64 / HALF_LIFE as f64);
        (self.answered, self.failed, self.log_slowdown, self.updated_at) =
            (self.answered * factor, self.failed * factor, self.log_slowdown * factor, now);
    }

    pub fn record(&mut self, now: Micros, end: AttemptEnd) {
        self.decay(now);
        let over = (self.answered + self.failed) / MAX_WEIGHT;
        if over > 1.0 {
            (self.answered, self.failed, self.log_slowdown) =
                (self.answered / over, self.failed / over, self.log_slowdown / over);
        }
        match end {
            AttemptEnd::Answered { times } => {
                self.answered += 1.0;
                self.log_slowdown += times.clamp(1.0, MAX_SLOWDOWN).log2();
            }
            AttemptEnd::Failed => self.failed += 1.0,
        }
    }

    /// As it is told; nothing where too little is left of it.
    pub fn health(&self, now: Micros) -> Option<HealthLevel> {
        let mut own = *self;
        own.decay(now);
        let seen = own.answered + own.failed;
        if seen < MIN_WEIGHT {
            return None;
        }
        let failed = (8.0 * own.failed / seen).round() as u8;
        let log_slowdown =
            if own.answered > 0.0 { (own.log_slowdown / own.answered).floor() as u8 } else { 0 };
        let seen = (1.0 + seen.max(1.0).log2()).floor().min(f64::from(HealthLevel::MAX_SAMPLES)) as u8;
        Some(HealthLevel {
            failures: failed.min(HealthLevel::MAX_LEVEL),
            slowness: log_slowdown.min(HealthLevel::MAX_LEVEL),
            samples: seen,
        })
    }
}

/// What lanes usually take here, over all servers.
#[derive(Clone, Debug, Default)]
pub struct UsualLatencies(Vec<f64>);

impl UsualLatencies {
    /// How many times the usual an answer took; and it is learnt from.
    pub fn slowdown(&mut self, request_class: usize, latency: Micros) -> f64 {
        let latency = latency.max(1) as f64;
        if self.0.len() <= request_class {
            self.0.resize(request_class + 1, 0.0);
        }
        let usual = &mut self.0[request_class];
        if *usual == 0.0 {
            *usual = latency;
        }
        let times = latency / *usual;
        // By ratios, so that few slow ones don't make the usual slow.
        *usual *= times.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN).powf(LATENCY_SMOOTHING);
        times
    }
}
