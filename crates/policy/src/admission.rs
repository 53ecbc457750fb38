//! Admit, wait or shed: the decision on one request by quota, deadline and ceiling, and who waits for the counter.

use crate::concurrency_limit::Utilization;
use crate::deadline::DEADLINE_MARGIN;
use crate::event::{Id, Micros};
use crate::rejection::RejectReason;
use crate::settings::Plan;

/// Utilization up to which a request beyond its quota may be forwarded, where the plan pays for it.
const MAX_EXCESS_UTILIZATION: f64 = 0.7;

/// What the decision on one request goes by.
pub struct AdmissionCheck<'a> {
    /// The tenant's plan.
    pub plan: &'a Plan,
    /// The request is within its quota.
    pub within_quota: bool,
    /// This gateway's part of the ceiling holds its units.
    pub within_ceiling: bool,
    /// The utilization of the servers in use.
    pub utilization: Utilization,
    /// Other requests wait for a server.
    pub queue_waits: bool,
    /// The usual latency of its class, in microseconds.
    pub usual_latency: f64,
    /// The client's deadline.
    pub deadline: Micros,
    /// The time.
    pub now: Micros,
}

impl AdmissionCheck<'_> {
    /// Whether the request may wait for a server.
    ///
    /// # Errors
    ///
    /// The reason of its rejection, where it may not.
    pub fn decide(&self) -> Result<(), RejectReason> {
        if !self.within_quota && !self.admits_excess() {
            return Err(RejectReason::OverQuota);
        }
        if self.now + DEADLINE_MARGIN + self.usual_latency as Micros / 2 >= self.deadline {
            return Err(RejectReason::DeadlineTooClose);
        }
        if !self.within_ceiling {
            return Err(RejectReason::Ceiling);
        }
        Ok(())
    }

    /// Whether requests beyond the quota are forwarded: it pays, and no other request has to wait for it.
    fn admits_excess(&self) -> bool {
        let pays = self.plan.excess_value > self.plan.excess_cost;
        let is_full = self.utilization.in_flight > MAX_EXCESS_UTILIZATION * self.utilization.limit;
        pays && !is_full && !self.queue_waits
    }
}

/// The requests of a tenant that wait for a reply of the shared counter.
#[derive(Default)]
pub struct AwaitingReply {
    requests: Vec<Id>,
    /// How many of them, from the first, the update under way reports.
    covered: usize,
}

impl AwaitingReply {
    /// No request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request, which the update under way does not report.
    pub fn push(&mut self, request: Id) {
        self.requests.push(request);
    }

    /// Removes the request that was added last.
    pub fn pop(&mut self) {
        self.requests.pop();
    }

    /// All that wait are reported by the update that is made now, or go without a reply.
    pub fn cover_all(&mut self) {
        self.covered = self.requests.len();
    }

    /// Removes the requests that the last update reported.
    pub fn take_covered(&mut self) -> Vec<Id> {
        let covered = self.requests.len().min(self.covered);
        self.requests.drain(..covered).collect()
    }
}
