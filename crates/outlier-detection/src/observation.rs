//! What one gateway has met at one server of late: counts that fade.

use crate::{HealthLevel, Micros, SECOND};

/// Time in which a trip counts half. Danger: what was met before a server went bad speaks for it; in a large fleet each gateway has met
/// it some times, and all together would outvote what is so now.
const HALF: Micros = SECOND;
/// More trips than these count as these: how a busy gateway was served a second ago must not hide how it is now.
const MOST: f64 = 4.0;
/// What is left of a trip that long ago is nothing.
const NOTHING: f64 = 0.3;
/// Weight of the newest in the usual time of a lane.
const NEWEST: f64 = 0.02;
/// A time beyond so many usual ones counts as that: one monster does not make a slow server.
const MONSTER: f64 = 32.0;

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
    bad: f64,
    /// Doublings of the usual time, summed over what was answered.
    slow: f64,
    at: Micros,
}

impl Observation {
    fn fade(&mut self, now: Micros) {
        let kept = 0.5f64.powf(now.saturating_sub(self.at) as f64 / HALF as f64);
        (self.answered, self.bad, self.slow, self.at) =
            (self.answered * kept, self.bad * kept, self.slow * kept, now);
    }

    pub fn record(&mut self, now: Micros, end: AttemptEnd) {
        self.fade(now);
        let over = (self.answered + self.bad) / MOST;
        if over > 1.0 {
            (self.answered, self.bad, self.slow) = (self.answered / over, self.bad / over, self.slow / over);
        }
        match end {
            AttemptEnd::Answered { times } => {
                self.answered += 1.0;
                self.slow += times.clamp(1.0, MONSTER).log2();
            }
            AttemptEnd::Failed => self.bad += 1.0,
        }
    }

    /// As it is told; nothing where too little is left of it.
    pub fn health(&self, now: Micros) -> Option<HealthLevel> {
        let mut own = *self;
        own.fade(now);
        let seen = own.answered + own.bad;
        if seen < NOTHING {
            return None;
        }
        let bad = (8.0 * own.bad / seen).round() as u8;
        let slow = if own.answered > 0.0 { (own.slow / own.answered).floor() as u8 } else { 0 };
        let seen = (1.0 + seen.max(1.0).log2()).floor().min(f64::from(HealthLevel::MOST_SEEN)) as u8;
        Some(HealthLevel {
            failures: bad.min(HealthLevel::WORST),
            slowness: slow.min(HealthLevel::WORST),
            samples: seen,
        })
    }
}

/// What lanes usually take here, over all servers.
#[derive(Clone, Debug, Default)]
pub struct UsualTimes(Vec<f64>);

impl UsualTimes {
    /// How many times the usual an answer took; and it is learnt from.
    pub fn slowdown(&mut self, lane: usize, took: Micros) -> f64 {
        let took = took.max(1) as f64;
        if self.0.len() <= lane {
            self.0.resize(lane + 1, 0.0);
        }
        let usual = &mut self.0[lane];
        if *usual == 0.0 {
            *usual = took;
        }
        let times = took / *usual;
        // By ratios, so that few slow ones don't make the usual slow.
        *usual *= times.clamp(1.0 / MONSTER, MONSTER).powf(NEWEST);
        times
    }
}
