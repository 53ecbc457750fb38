//! Measures how long single iterations of the event loop take. A gateway runs on one thread: during a long iteration it writes
//! no reply, checks no deadline and reads from no client.

use std::time::{Duration, Instant};

use slog::{warn, Logger};

use crate::transport::clock::micros;

/// Iterations that take at least this long are logged. Ten of them in a row delay a reply by more than
/// the margin that replies keep before their deadline.
const LONG_ITERATION: Duration = Duration::from_millis(20);

/// A running iteration of the event loop.
pub struct LoopIteration {
    name: &'static str,
    began: Instant,
}

impl LoopIteration {
    /// Begins an iteration. The name says what it handles.
    pub fn begin(name: &'static str) -> Self {
        LoopIteration { name, began: Instant::now() }
    }

    /// Ends the iteration, and logs its name if it was long.
    pub fn end(self, log: &Logger) {
        let took = self.began.elapsed();
        if took >= LONG_ITERATION {
            warn!(log, #"loop.held", "an iteration of the event loop took too long"; "by" => self.name, "took_us" => micros(took));
        }
    }
}
