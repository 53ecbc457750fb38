//! Records of the requests in flight at this gateway and of their attempts. They decide nothing.

use crate::event::{Id, Micros, Outcome, Request};
use crate::queue::QueueRank;
use crate::rejection::RejectReason;

/// One forwarding of a request to a server.
#[derive(Clone)]
pub struct Attempt {
    /// The server that it was sent to.
    pub server: Id,
    /// When it was sent.
    pub sent_at: Micros,
    /// The attempt has not ended yet.
    pub running: bool,
    /// The attempt may have had an effect; true until its outcome excludes an effect.
    pub may_have_run: bool,
}

impl Attempt {
    /// Creates an attempt that is sent now.
    pub fn start(server: Id, now: Micros) -> Self {
        Attempt { server, sent_at: now, running: true, may_have_run: true }
    }
}

/// A request, from its arrival until it has its final answer and no attempt is running.
pub struct InFlight {
    /// The request as received.
    pub request: Request,
    /// Whether the request is within its tenant's quota; `None` while it waits for a reply of the shared
    /// counter.
    pub within_quota: Option<bool>,
    /// The request's rank in the queue; `None` until it is admitted.
    pub rank: Option<QueueRank>,
    /// The client's deadline.
    pub deadline: Micros,
    /// When this gateway answers the request, if no server has answered before.
    pub expires_at: Micros,
    /// The request's attempts, by number.
    pub attempts: Vec<Attempt>,
    /// The request has its final answer.
    pub answered: bool,
}

impl InFlight {
    /// Creates the record of a request that has just arrived.
    pub fn new(request: Request, deadline: Micros, expires_at: Micros) -> Self {
        InFlight {
            request,
            within_quota: None,
            rank: None,
            deadline,
            expires_at,
            attempts: Vec::new(),
            answered: false,
        }
    }

    /// Ends a running attempt. Returns false if the attempt is unknown or has already ended.
    pub fn end_attempt(&mut self, number: usize, outcome: Outcome) -> bool {
        let Some(attempt) = self.attempts.get_mut(number).filter(|attempt| attempt.running) else {
            return false;
        };
        attempt.running = false;
        attempt.may_have_run = !outcome.never_ran();
        true
    }

    /// The number of the attempt that is running.
    pub fn running_attempt(&self) -> Option<usize> {
        self.attempts.iter().rposition(|attempt| attempt.running)
    }

    /// Whether an attempt may have had an effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// The reason for answering the request at its expiry: what it was waiting for.
    pub fn expiry_reason(&self) -> RejectReason {
        if self.within_quota.is_none() {
            RejectReason::CounterTimeout
        } else if !self.attempts.is_empty() {
            RejectReason::AttemptUnfinished
        } else {
            RejectReason::NoServer
        }
    }
}
