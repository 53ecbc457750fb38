//! Expiry times of requests and the timer for them. Other modules handle the expiry itself.

use std::collections::BTreeSet;

use crate::event::{Id, Micros};

/// Interval at which the queue is served while requests wait in it.
pub const QUEUE_POLL_INTERVAL: Micros = 10_000;

/// Time before the client's deadline at which this gateway answers: two intervals of the queue timer, so that a
/// timer that fires late is still in time.
pub const DEADLINE_MARGIN: Micros = 2 * QUEUE_POLL_INTERVAL;

// Timer tokens as hosts carry them. They are part of the simulator's protocol.
const WAKEUP_TOKEN: &str = "look";
const WATCH_TOKEN: &str = "follow";
const CONCURRENCY_TOKEN_PREFIX: &str = "out:";

/// What a timer is set for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TimerToken {
    /// Serve the queue and the expired requests.
    Wakeup,
    /// Open the watch on the endpoint list again.
    Watch,
    /// Carry a tenant's requests in flight over to the next window of their counter.
    ConcurrencyWindow(Id),
}

impl TimerToken {
    /// Parses a token. An unknown token counts as a wakeup, which is always harmless.
    pub fn parse(token: &str) -> Self {
        if token == WATCH_TOKEN {
            return TimerToken::Watch;
        }
        match token.strip_prefix(CONCURRENCY_TOKEN_PREFIX) {
            Some(tenant) => TimerToken::ConcurrencyWindow(Id::from(tenant)),
            None => TimerToken::Wakeup,
        }
    }
}

impl std::fmt::Display for TimerToken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            TimerToken::Wakeup => formatter.write_str(WAKEUP_TOKEN),
            TimerToken::Watch => formatter.write_str(WATCH_TOKEN),
            TimerToken::ConcurrencyWindow(tenant) => write!(formatter, "{CONCURRENCY_TOKEN_PREFIX}{tenant}"),
        }
    }
}

/// The expiry times of all requests, and the time of the next wakeup.
pub struct Expirations {
    by_time: BTreeSet<(Micros, Id)>,
    next_wakeup: Micros,
}

impl Expirations {
    /// Creates an empty set of expiry times, with a wakeup already scheduled.
    pub fn new(next_wakeup: Micros) -> Self {
        Expirations { by_time: BTreeSet::new(), next_wakeup }
    }

    /// Adds a request's expiry time.
    pub fn insert(&mut self, at: Micros, request: &Id) {
        self.by_time.insert((at, request.clone()));
    }

    /// Removes a request's expiry time.
    pub fn remove(&mut self, at: Micros, request: &Id) {
        self.by_time.remove(&(at, request.clone()));
    }

    /// Changes a request's expiry time from `at` to `new`, and sets `at`.
    pub fn reschedule(&mut self, at: &mut Micros, new: Micros, request: &Id) {
        self.remove(*at, request);
        *at = new;
        self.insert(new, request);
    }

    /// Removes and returns the request that expired first, if any has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Id> {
        let (at, _) = self.by_time.first()?;
        if *at > now {
            return None;
        }
        self.by_time.pop_first().map(|(_, request)| request)
    }

    /// Records that a wakeup has fired. A wakeup that fired early leaves the scheduled one in place.
    pub fn wakeup_fired(&mut self, now: Micros) {
        if now >= self.next_wakeup {
            self.next_wakeup = Micros::MAX;
        }
    }

    /// Returns the delay of a wakeup that has to be set, or `None` if one is already scheduled at that time or
    /// earlier.
    pub fn schedule_wakeup(
        &mut self,
        measurement_at: Micros,
        has_queued_requests: bool,
        now: Micros,
    ) -> Option<Micros> {
        let earliest = self.by_time.first().map_or(Micros::MAX, |(at, _)| *at).min(measurement_at);
        let at = if has_queued_requests { now + QUEUE_POLL_INTERVAL } else { earliest.max(now) };
        if at >= self.next_wakeup {
            return None;
        }
        self.next_wakeup = at;
        Some(at - now)
    }
}

/// When a request that arrives now expires, unless it ends before.
pub fn initial_expiry(deadline: Micros, now: Micros) -> Micros {
    deadline.saturating_sub(DEADLINE_MARGIN).max(now)
}

/// When a request that has an attempt expires.
pub fn attempt_expiry(deadline: Micros) -> Micros {
    deadline - DEADLINE_MARGIN
}

/// Whether it is too late to start an attempt: the request has expired, although its timer may not have fired
/// yet.
pub fn is_too_late_for_attempt(deadline: Micros, now: Micros) -> bool {
    now + DEADLINE_MARGIN >= deadline
}

/// The time limit of an attempt that is sent now.
pub fn attempt_time_limit(deadline: Micros, now: Micros) -> Micros {
    (deadline - DEADLINE_MARGIN / 2).saturating_sub(now)
}
