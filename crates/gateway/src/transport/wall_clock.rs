//! Where the wall clock stands beside a clock that goes on evenly, and where it stood before it was set.
//!
//! Other machines tell times by the wall clock. It may be set to another time, here or on all of them, while this process
//! runs: the same Unix time then says another age before and after.

use fernscale_policy::Micros;

/// A wall clock that is further from where it stood has been set; less is the clocks' own unevenness.
const STEP: i64 = 100_000;
/// Machines' clocks differ by some tenths of a second, µs: a time that is no further in the future is now.
const UNEVEN: i64 = 1_000_000;
/// Settings of the wall clock that are remembered. Others may go on telling times by any of them.
const MOST_SETTINGS: usize = 16;

/// How far the wall clock was ahead of the even one, µs, the latest setting first; at least one.
#[derive(Clone, Debug)]
pub struct WallClock {
    settings: Vec<i64>,
}

impl WallClock {
    /// With both clocks as they are now.
    pub fn new(even: Micros, wall: i64) -> Self {
        WallClock { settings: vec![wall - even as i64] }
    }

    /// Looks at both clocks, and notes it if the wall clock has been set.
    pub fn look(&mut self, even: Micros, wall: i64) {
        let stands = wall - even as i64;
        let same = |known: &i64| (stands - known).abs() < STEP;
        if same(&self.settings[0]) {
            self.settings[0] = stands;
            return;
        }
        self.settings.retain(|known| !same(known));
        self.settings.insert(0, stands);
        self.settings.truncate(MOST_SETTINGS);
    }

    /// How long ago a Unix time was, µs: the least that it may be, and 0 where it would be in the future by all settings.
    pub fn min_age(&self, even: Micros, unix: Micros) -> Micros {
        let age = |ahead: &i64| even as i64 + ahead - unix as i64;
        let ages = self.settings.iter().map(age).filter(|age| *age >= -UNEVEN);
        ages.min().map_or(0, |age| age.max(0) as Micros)
    }
}
