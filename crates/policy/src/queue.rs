//! The requests that wait for a server, by priority; who may wait at all is decided in `admission`.

use std::collections::BTreeSet;

use crate::event::{Id, Micros};
use crate::settings::{Plan, RequestClass};

/// Length of the queue, as a share of the concurrency limit of all assigned servers.
const MAX_QUEUE_SHARE: f64 = 0.5;

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

/// The waiting requests, highest priority first.
#[derive(Default)]
pub struct Queue {
    waiting: BTreeSet<QueueRank>,
}

impl Queue {
    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    pub fn insert(&mut self, rank: QueueRank) {
        self.waiting.insert(rank);
    }

    /// Removes a request, if it waits.
    pub fn remove(&mut self, rank: &QueueRank) {
        self.waiting.remove(rank);
    }

    /// The request to be served next.
    pub fn first(&self) -> Option<&Id> {
        self.waiting.first().map(|rank| &rank.request)
    }

    /// Removes the request to be served next.
    pub fn pop_first(&mut self) {
        self.waiting.pop_first();
    }

    /// Removes the request of the lowest priority if more wait than can be served in time.
    pub fn pop_excess(&mut self, concurrency_limit: f64) -> Option<Id> {
        let capacity = (MAX_QUEUE_SHARE * concurrency_limit).max(MIN_QUEUE_LENGTH);
        if self.waiting.len() as f64 <= capacity {
            return None;
        }
        self.waiting.pop_last().map(|rank| rank.request)
    }
}

/// The longest time that a request of this class waits for a server.
pub fn max_wait(class: &RequestClass) -> Micros {
    (MAX_WAIT_SHARE * class.latency_objective as f64) as Micros
}
