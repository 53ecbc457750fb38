//! The offsets between the wall clock and a monotonic clock, now and before the wall clock was set.
//!
//! Other machines report times of the wall clock. While this process runs, the wall clock may be set to another time on this
//! machine or on all of them. The same Unix time then has a different age before and after.

use fernscale_policy::Micros;

/// The wall clock has been set if its offset changes by at least this many microseconds. Smaller changes are drift.
const MIN_STEP: i64 = 100_000;
/// Clocks of different machines differ by some tenths of a second. A time that is at most this many microseconds in the future
/// counts as now.
const MAX_SKEW: i64 = 1_000_000;
/// Number of offsets that are remembered. Other machines may go on reporting times by any of them.
const MAX_OFFSETS: usize = 16;

/// How far the wall clock was ahead of the monotonic clock, in microseconds: at least one offset, the latest first.
#[derive(Clone, Debug)]
pub struct WallClock {
    offsets: Vec<i64>,
}

impl WallClock {
    /// Starts with the current offset between the two clocks.
    pub fn new(monotonic: Micros, wall: i64) -> Self {
        WallClock { offsets: vec![wall - monotonic as i64] }
    }

    /// Updates the current offset, and adds a new one if the wall clock has been set.
    pub fn observe(&mut self, monotonic: Micros, wall: i64) {
        let offset = wall - monotonic as i64;
        let same = |known: &i64| (offset - known).abs() < MIN_STEP;
        if same(&self.offsets[0]) {
            self.offsets[0] = offset;
            return;
        }
        self.offsets.retain(|known| !same(known));
        self.offsets.insert(0, offset);
        self.offsets.truncate(MAX_OFFSETS);
    }

    /// The minimum age of a Unix time by all remembered offsets, in microseconds. It is 0 if the time is in the future by
    /// all of them.
    pub fn min_age(&self, monotonic: Micros, unix: Micros) -> Micros {
        let age = |ahead: &i64| monotonic as i64 + ahead - unix as i64;
        let ages = self.offsets.iter().map(age).filter(|age| *age >= -MAX_SKEW);
        ages.min().map_or(0, |age| age.max(0) as Micros)
    }
}
