//! The timers that the engine has set, in the order in which they expire.

use std::collections::BTreeMap;

use fernscale_policy::Micros;

/// Timers by deadline. Timers with the same deadline expire in the order in which they were set.
#[derive(Default)]
pub(super) struct Timers {
    by_deadline: BTreeMap<(Micros, u64), Box<str>>,
    /// The number of timers that have been set. Makes the keys unique, as their second part.
    count: u64,
}

impl Timers {
    /// Sets a timer that expires at this time of the gateway's clock.
    pub(super) fn set(&mut self, at: Micros, token: Box<str>) {
        self.count += 1;
        self.by_deadline.insert((at, self.count), token);
    }

    /// The deadline of the next timer.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.by_deadline.first_key_value().map(|((at, _), _)| *at)
    }

    /// By how much the next timer is overdue at `now`; 0 if it is not overdue.
    pub(super) fn lateness(&self, now: Micros) -> Micros {
        self.next_deadline().map_or(0, |deadline| now.saturating_sub(deadline))
    }

    /// Removes the first timer that has expired by `now`, and returns its token.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<Box<str>> {
        let next = self.by_deadline.first_entry().filter(|timer| timer.key().0 <= now)?;
        Some(next.remove())
    }
}
