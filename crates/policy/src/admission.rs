//! Decides whether one request is admitted, by quota, deadline and hard ceiling, and keeps the requests that
//! wait for a reply of the shared counter.

use crate::concurrency_limit::Utilization;
use crate::deadline::DEADLINE_MARGIN;
use crate::event::{Id, Micros};
use crate::rejection::RejectReason;
use crate::settings::Plan;

/// Highest utilization at which a request beyond its quota may be forwarded, if the plan makes that profitable.
const MAX_EXCESS_UTILIZATION: f64 = 0.7;

/// The inputs of the decision on one request.
pub struct AdmissionCheck<'a> {
    /// The tenant's plan.
    pub plan: &'a Plan,
    /// The request is within its quota.
    pub within_quota: bool,
    /// This gateway's share of the hard ceiling has enough tokens for the request's units.
    pub within_ceiling: bool,
    /// The utilization of the servers in use.
    pub utilization: Utilization,
    /// Other requests are queued.
    pub has_queued_requests: bool,
    /// The usual latency of the request's class, in microseconds.
    pub usual_latency: f64,
    /// The client's deadline.
    pub deadline: Micros,
    /// The current time.
    pub now: Micros,
}

impl AdmissionCheck<'_> {
    /// Checks whether the request may be queued for a server.
    ///
    /// # Errors
    ///
    /// The reason for rejecting the request.
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

    /// Whether requests beyond the quota are forwarded: only if the plan makes that profitable, and no other
    /// request has to wait for it.
    fn admits_excess(&self) -> bool {
        let is_profitable = self.plan.excess_value > self.plan.excess_cost;
        let is_full = self.utilization.in_flight > MAX_EXCESS_UTILIZATION * self.utilization.limit;
        is_profitable && !is_full && !self.has_queued_requests
    }
}

/// The requests of a tenant that wait for a reply of the shared counter.
#[derive(Default)]
pub struct AwaitingReply {
    requests: Vec<Id>,
    /// How many of the requests, from the first, the pending update reports.
    reported: usize,
}

impl AwaitingReply {
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request that the pending update does not report.
    pub fn push(&mut self, request: Id) {
        self.requests.push(request);
    }

    /// Removes the request that was added last.
    pub fn pop(&mut self) {
        self.requests.pop();
    }

    /// Marks all waiting requests as reported, either because the update sent now includes them or because they
    /// are decided without a reply.
    pub fn mark_all_reported(&mut self) {
        self.reported = self.requests.len();
    }

    /// Removes and returns the requests that the last update reported.
    pub fn take_reported(&mut self) -> Vec<Id> {
        let reported = self.requests.len().min(self.reported);
        self.requests.drain(..reported).collect()
    }
}
