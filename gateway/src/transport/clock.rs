//! The time that the module is told.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fernscale::interface::Micros;

/// Reads as the clock that all machines share did at the start, and goes on evenly from there: a shared clock
/// that is set back or forth must not stretch or end what is measured in between.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    shared: Micros,
}

impl Clock {
    pub fn start() -> Self {
        let shared = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), shared: micros(shared) }
    }

    pub fn now(&self) -> Micros {
        self.shared + micros(self.start.elapsed())
    }

    /// The instant of a time told by this clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.shared))
    }
}

pub fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
