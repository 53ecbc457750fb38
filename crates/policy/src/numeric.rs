//! Units of time, moving averages and the smallest amount that counts, shared by several modules.

use crate::event::Micros;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Amounts below this value, in any measure, count as zero. The shared counter's rounding error is smaller.
pub const NEGLIGIBLE: f64 = 0.01;

/// Weight of the newest sample in averages that have to follow a change within about ten samples.
pub const FAST_MEAN_WEIGHT: f64 = 0.1;

/// Weight of the newest sample in averages over many servers or tenants, which span about fifty samples.
pub const SLOW_MEAN_WEIGHT: f64 = 0.02;

/// Converts a duration to seconds.
pub fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// Updates an exponentially weighted moving average with a sample.
pub fn update_mean(mean: &mut f64, weight: f64, sample: f64) {
    *mean += weight * (sample - *mean);
}
