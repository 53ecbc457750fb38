//! How long single turns of the event loop take. All of a gateway runs on one thread: while one turn runs, no answer is
//! written, no deadline is seen and no client is heard.

use std::time::{Duration, Instant};

use slog::{warn, Logger};

use crate::transport::clock::micros;

/// A turn that takes longer is told: ten of them in a row would be later than answers may be given before their deadline.
const LONG: Duration = Duration::from_millis(20);

/// One turn, from its beginning.
pub struct LoopIteration {
    name: &'static str,
    began: Instant,
}

impl LoopIteration {
    pub fn begin(name: &'static str) -> Self {
        LoopIteration { name, began: Instant::now() }
    }

    /// Ends the turn. One that held the loop for long is told with its name.
    pub fn end(self, log: &Logger) {
        let took = self.began.elapsed();
        if took >= LONG {
            warn!(log, #"loop.held", "the event loop was held"; "by" => self.name, "took_us" => micros(took));
        }
    }
}
