//! The queue of admitted requests that wait for a server, by priority. `admission` decides which requests may
//! wait.

use std::collections::BTreeMap;

use crate::event::{Id, Micros};
use crate::settings::{Plan, RequestClass};

/// Queue length that is always allowed, as a share of the concurrency limit of all assigned servers.
const QUEUE_SHARE: f64 = 0.5;

/// Queue length that is always allowed, even if the concurrency limit is small.
const MIN_QUEUE_LENGTH: f64 = 2.0;

/// The longest wait in the queue, as a share of the latency objective.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Scale from a priority (priority weight per microsecond) to the integer that ranks compare.
const RANK_SCALE: f64 = 1e9;

/// A request's position in the queue: by priority, then by order of arrival.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// Requests with a lower value are served first.
    negated_priority: i64,
    queued_at: Micros,
    request: Id,
}

impl QueueRank {
    /// Computes the rank of a request: its priority weight per microsecond for which it keeps a server busy.
    pub fn new(request: &Id, plan: &Plan, class: &RequestClass, usual_latency: f64, now: Micros) -> Self {
        let priority = plan.priority_factor * class.priority_weight / usual_latency;
        QueueRank {
            negated_priority: -(priority * RANK_SCALE) as i64,
            queued_at: now,
            request: request.clone(),
        }
    }
}

/// The figures of one queued request from which the queue's bound is computed.
#[derive(Clone, Copy)]
struct WaitingRequest {
    /// The expected time for which the request keeps a server busy.
    service_time: Micros,
    /// The longest time that the request may wait.
    max_wait: Micros,
}

/// The queued requests, highest priority first.
#[derive(Default)]
pub struct Queue {
    waiting: BTreeMap<QueueRank, WaitingRequest>,
    /// The sum of the queued requests' service times.
    total_service_time: Micros,
}

impl Queue {
    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request of `class`, whose usual latency is in microseconds.
    pub fn insert(&mut self, rank: QueueRank, class: &RequestClass, usual_latency: f64) {
        let waiting = WaitingRequest { service_time: usual_latency as Micros, max_wait: max_wait(class) };
        self.total_service_time += waiting.service_time;
        self.waiting.insert(rank, waiting);
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, rank: &QueueRank) {
        if let Some(removed) = self.waiting.remove(rank) {
            self.total_service_time -= removed.service_time;
        }
    }

    /// The request that is served next.
    pub fn first(&self) -> Option<&Id> {
        self.waiting.first_key_value().map(|(rank, _)| &rank.request)
    }

    /// Removes the request that is served next.
    pub fn pop_first(&mut self) {
        if let Some((_, removed)) = self.waiting.pop_first() {
            self.total_service_time -= removed.service_time;
        }
    }

    /// Removes and returns the request with the lowest priority if the expected wait in the queue exceeds the
    /// longest time that this request may wait. `slowdown` is the servers' current latency as a ratio to their
    /// latency when idle.
    pub fn pop_excess(&mut self, concurrency_limit: f64, slowdown: f64) -> Option<Id> {
        let (rank, last) = self.waiting.last_key_value()?;
        let always_allowed = (QUEUE_SHARE * concurrency_limit).max(MIN_QUEUE_LENGTH);
        let expected_wait = slowdown * self.total_service_time as f64 / concurrency_limit;
        if self.waiting.len() as f64 <= always_allowed || expected_wait <= last.max_wait as f64 {
            return None;
        }
        let rank = rank.clone();
        self.remove(&rank);
        Some(rank.request)
    }
}

/// The longest time that a request of this class may wait for a server.
pub fn max_wait(class: &RequestClass) -> Micros {
    (MAX_WAIT_SHARE * class.latency_objective as f64) as Micros
}
