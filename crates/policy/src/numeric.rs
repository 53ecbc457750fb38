//! Units of time, running means and the smallest amount that counts, as several rules share them.

use crate::event::Micros;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Amounts below this, in units or any other measure, count as none; the shared counter rounds by less.
pub const NEGLIGIBLE: f64 = 0.01;

/// Weight of the newest sample in means that have to follow a change within some ten samples.
pub const FAST_MEAN_WEIGHT: f64 = 0.1;

/// Weight of the newest sample in means over many servers or tenants, some fifty samples deep.
pub const SLOW_MEAN_WEIGHT: f64 = 0.02;

/// A span of time in seconds.
pub fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// Moves an exponentially weighted mean towards a sample.
pub fn update_mean(mean: &mut f64, weight: f64, sample: f64) {
    *mean += weight * (sample - *mean);
}
