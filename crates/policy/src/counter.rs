//! The shared counter as this gateway uses it: keys, pacing of calls, and updates of offered units.

mod key;
mod pacer;
mod units;

pub use key::{CounterKey, CounterTarget, KeyedCounter};
pub use pacer::{CounterPacer, MAX_TOTAL_AGE, MIN_UPDATE_INTERVAL};
pub use units::{update_probability, Decay, UnitsCounter, UnitsReading, UnitsUpdate, MAX_WINDOW};

use crate::event::{Micros, Outcome};

/// The result of one call to the shared counter.
pub struct CounterReply {
    /// How the call ended.
    pub outcome: Outcome,
    /// The total; valid only if the call succeeded.
    pub total: f64,
    /// The time from the call to the reply.
    pub elapsed: Micros,
}

impl CounterReply {
    /// Whether the counter may have added the amount of the call.
    pub fn may_have_counted(&self) -> bool {
        matches!(self.outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Error)
    }
}
