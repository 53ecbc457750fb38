//! Expirations of requests and the timer that serves them; what happens at an expiry is decided elsewhere.

use std::collections::BTreeSet;

use crate::event::{Id, Micros};

/// Interval at which the queue is served again while something waits in it.
pub const QUEUE_POLL_INTERVAL: Micros = 10_000;

/// Answers of this gateway are given so long before the client's deadline: two polls of the queue, so that one that
/// comes late is still in time.
pub const DEADLINE_MARGIN: Micros = 2 * QUEUE_POLL_INTERVAL;

// The tokens of timers as hosts carry them: part of the simulator's protocol.
const WAKEUP_TOKEN: &str = "look";
const WATCH_TOKEN: &str = "follow";
const CONCURRENCY_TOKEN_PREFIX: &str = "out:";

/// What a timer is set for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TimerToken {
    /// Serve the queue and the expirations.
    Wakeup,
    /// Open the watch on the endpoint list again.
    Watch,
    /// Carry a tenant's attempts in flight over to the next window of their counter.
    ConcurrencyWindow(Id),
}

impl TimerToken {
    /// The timer of a token. One that is not known is taken for a wakeup, which never does harm.
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

/// When requests expire, and when the next wakeup comes.
pub struct Expirations {
    by_time: BTreeSet<(Micros, Id)>,
    next_wakeup: Micros,
}

impl Expirations {
    /// No expirations, with a wakeup already set.
    pub fn new(next_wakeup: Micros) -> Self {
        Expirations { by_time: BTreeSet::new(), next_wakeup }
    }

    /// Adds a request's expiry.
    pub fn insert(&mut self, at: Micros, request: &Id) {
        self.by_time.insert((at, request.clone()));
    }

    /// Removes a request's expiry.
    pub fn remove(&mut self, at: Micros, request: &Id) {
        self.by_time.remove(&(at, request.clone()));
    }

    /// Moves a request's expiry, and the record of it.
    pub fn reschedule(&mut self, at: &mut Micros, new: Micros, request: &Id) {
        self.remove(*at, request);
        *at = new;
        self.insert(new, request);
    }

    /// Removes the earliest request that has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Id> {
        let (at, _) = self.by_time.first()?;
        if *at > now {
            return None;
        }
        self.by_time.pop_first().map(|(_, request)| request)
    }

    /// Notes that a wakeup has fired; one that came early leaves the one that is still set.
    pub fn wakeup_fired(&mut self, now: Micros) {
        if now >= self.next_wakeup {
            self.next_wakeup = Micros::MAX;
        }
    }

    /// The delay of a wakeup to be set, if none is set that comes as early.
    pub fn schedule_wakeup(
        &mut self,
        measurement_at: Micros,
        queue_waits: bool,
        now: Micros,
    ) -> Option<Micros> {
        let earliest = self.by_time.first().map_or(Micros::MAX, |(at, _)| *at).min(measurement_at);
        let at = if queue_waits { now + QUEUE_POLL_INTERVAL } else { earliest.max(now) };
        if at >= self.next_wakeup {
            return None;
        }
        self.next_wakeup = at;
        Some(at - now)
    }
}

/// When a request that arrives now expires, unless something ends it before.
pub fn initial_expiry(deadline: Micros, now: Micros) -> Micros {
    deadline.saturating_sub(DEADLINE_MARGIN).max(now)
}

/// When a request with an attempt expires.
pub fn attempt_expiry(deadline: Micros) -> Micros {
    deadline - DEADLINE_MARGIN
}

/// Whether it is too late for an attempt: the request has expired, though its timer may not have fired yet.
pub fn is_too_late_for_attempt(deadline: Micros, now: Micros) -> bool {
    now + DEADLINE_MARGIN >= deadline
}

/// The time limit of an attempt that is sent now.
pub fn attempt_time_limit(deadline: Micros, now: Micros) -> Micros {
    (deadline - DEADLINE_MARGIN / 2).saturating_sub(now)
}
