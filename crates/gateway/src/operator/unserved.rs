//! The requests that no server answered, counted by reason, and the record that operators get of them: one a second at the most,
//! so that the reasons are known without a record for each request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fernscale_policy::Micros;
use slog::{info, Logger};

use crate::transport::clock::micros;

/// Time over which requests are counted for one record.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// What has been counted since the last record.
#[derive(Default)]
pub struct UnservedRequests {
    /// Requests by the name of the reason.
    counts: RefCell<BTreeMap<&'static str, u64>>,
    /// When the first of them was answered.
    first_at: Cell<Option<Instant>>,
    /// The longest time for which a server's answer lay here before it was read, in microseconds.
    longest_read_delay: Cell<Micros>,
}

impl UnservedRequests {
    /// Counts a request that this gateway rejected or failed for this reason.
    pub fn count(&self, reason: &'static str) {
        *self.counts.borrow_mut().entry(reason).or_default() += 1;
        self.first_at.set(self.first_at.get().or_else(|| Some(Instant::now())));
    }

    /// Notes for how long an answer lay unread, in microseconds: how late this process itself is.
    pub fn observe_read_delay(&self, delay: Micros) {
        self.longest_read_delay.set(self.longest_read_delay.get().max(delay));
    }

    /// Writes the record if requests have been counted for as long as one covers.
    pub fn write_if_due(&self, log: &Logger) {
        if self.first_at.get().is_some_and(|first| first.elapsed() >= RECORD_INTERVAL) {
            self.write(log);
        }
    }

    /// Writes the record of what has been counted, if anything, and begins anew.
    pub fn write(&self, log: &Logger) {
        let Some(first_at) = self.first_at.take() else { return };
        let counts = self.counts.take();
        let reasons: Vec<String> = counts.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
        info!(log, #"requests.unserved", "requests that no server answered"; "requests" => counts.values().sum::<u64>(),
            "reasons" => reasons.join(" "), "within_us" => micros(first_at.elapsed()),
            "read_late_us" => self.longest_read_delay.take());
    }
}
