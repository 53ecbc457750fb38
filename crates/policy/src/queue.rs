//! The requests that wait for a server, by priority; who may wait at all is decided in `admission`.

use std::collections::BTreeMap;

use crate::event::{Id, Micros};
use crate::settings::{Plan, RequestClass};

/// Length of the queue that is always allowed, as a share of the concurrency limit of all assigned servers.
const QUEUE_SHARE: f64 = 0.5;

/// Length of the queue that is allowed whatever the limit.
const MIN_QUEUE_LENGTH: f64 = 2.0;

/// The longest wait in the queue, as a share of the latency objective.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Ranks are whole numbers of this fraction of a priority weight per microsecond.
const RANK_SCALE: f64 = 1e9;

/// A request's place in the queue: priority first, then order of arrival.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// Lower is served earlier.
    negated_priority: i64,
    queued_at: Micros,
    request: Id,
}

impl QueueRank {
    /// The rank of a request: its priority weight for the time that it keeps a server busy.
    pub fn new(request: &Id, plan: &Plan, class: &RequestClass, usual_latency: f64, now: Micros) -> Self {
        let priority = plan.priority_factor * class.priority_weight / usual_latency;
        QueueRank {
            negated_priority: -(priority * RANK_SCALE) as i64,
            queued_at: now,
            request: request.clone(),
        }
    }
}

/// What the bound of the queue goes by, of one waiting request.
#[derive(Clone, Copy)]
struct WaitingRequest {
    /// The time for which it will keep a server busy.
    service_time: Micros,
    /// The longest time that it may wait.
    max_wait: Micros,
}

/// The waiting requests, highest priority first.
#[derive(Default)]
pub struct Queue {
    waiting: BTreeMap<QueueRank, WaitingRequest>,
    /// The sum of their service times.
    total_service_time: Micros,
}

impl Queue {
    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request of this class, which usually takes so many microseconds at a server.
    pub fn insert(&mut self, rank: QueueRank, class: &RequestClass, usual_latency: f64) {
        let waiting = WaitingRequest { service_time: usual_latency as Micros, max_wait: max_wait(class) };
        self.total_service_time += waiting.service_time;
        self.waiting.insert(rank, waiting);
    }

    /// Removes a request, if it waits.
    pub fn remove(&mut self, rank: &QueueRank) {
        if let Some(removed) = self.waiting.remove(rank) {
            self.total_service_time -= removed.service_time;
        }
    }

    /// The request to be served next.
    pub fn first(&self) -> Option<&Id> {
        self.waiting.first_key_value().map(|(rank, _)| &rank.request)
    }

    /// Removes the request to be served next.
    pub fn pop_first(&mut self) {
        if let Some((_, removed)) = self.waiting.pop_first() {
            self.total_service_time -= removed.service_time;
        }
    }

    /// Removes the request of the lowest priority if those that wait keep so many attempts in flight busy for longer than it
    /// may wait. `slowdown` is the servers' present latency as a ratio to what it is when they are idle.
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

/// The longest time that a request of this class waits for a server.
pub fn max_wait(class: &RequestClass) -> Micros {
    (MAX_WAIT_SHARE * class.latency_objective as f64) as Micros
}
