//! Counts the requests that no server answered by reason, and writes a log record of the counts. There is at most one record per
//! second, so that operators learn the reasons without a record for each request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fernscale_policy::Micros;
use slog::{info, Logger};

use crate::transport::clock::micros;

/// The time that one record covers.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The counts since the last record.
#[derive(Default)]
pub struct UnservedRequests {
    /// The number of requests by the name of the reason.
    counts: RefCell<BTreeMap<&'static str, u64>>,
    /// When the first of these requests was answered.
    first_at: Cell<Option<Instant>>,
    /// The longest time that a received reply of a server waited in this process before it was read, in microseconds.
    longest_read_delay: Cell<Micros>,
}

impl UnservedRequests {
    /// Counts a request that this gateway rejected or failed for this reason.
    pub fn count(&self, reason: &'static str) {
        *self.counts.borrow_mut().entry(reason).or_default() += 1;
        self.first_at.set(self.first_at.get().or_else(|| Some(Instant::now())));
    }

    /// Records how long a received reply waited before it was read, in microseconds: the delay of this process itself.
    pub fn observe_read_delay(&self, delay: Micros) {
        self.longest_read_delay.set(self.longest_read_delay.get().max(delay));
    }

    /// Writes the record if the time that it covers has passed.
    pub fn write_if_due(&self, log: &Logger) {
        if self.first_at.get().is_some_and(|first| first.elapsed() >= RECORD_INTERVAL) {
            self.write(log);
        }
    }

    /// Writes the record if any requests have been counted, and resets the counts.
    pub fn write(&self, log: &Logger) {
        let Some(first_at) = self.first_at.take() else { return };
        let counts = self.counts.take();
        let reasons: Vec<String> = counts.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
        info!(log, #"requests.unserved", "requests that no server answered"; "requests" => counts.values().sum::<u64>(),
            "reasons" => reasons.join(" "), "within_us" => micros(first_at.elapsed()),
            "read_late_us" => self.longest_read_delay.take());
    }
}
