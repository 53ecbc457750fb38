//! Requests in flight at this gateway and the attempts made for them; records without any decision.

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
    /// It has not ended yet.
    pub running: bool,
    /// It may have had an effect; true until its outcome excludes that.
    pub may_have_run: bool,
}

impl Attempt {
    /// An attempt that is sent now.
    pub fn start(server: Id, now: Micros) -> Self {
        Attempt { server, sent_at: now, running: true, may_have_run: true }
    }
}

/// A request from its arrival until it has its answer and no attempt is running.
pub struct InFlight {
    /// The request as it came.
    pub request: Request,
    /// Whether it is within its tenant's quota; unknown while the shared counter is queried.
    pub within_quota: Option<bool>,
    /// Its place in the queue; absent until it was admitted.
    pub rank: Option<QueueRank>,
    /// The client's deadline.
    pub deadline: Micros,
    /// When this gateway answers it, if no server has by then.
    pub expires_at: Micros,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
    /// It has its final answer.
    pub answered: bool,
}

impl InFlight {
    /// A request that has just arrived.
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

    /// Ends a running attempt. False where no such attempt is running.
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

    /// What the request was waiting for, as the reason of an answer at its expiry.
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
