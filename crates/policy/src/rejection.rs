//! Why the decision module rejects or fails a request: for the records of operators, never for clients.

use std::fmt;

/// The reason of a final answer that is not a server's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The tenant's quota is used up, and what is beyond it does not pay or finds no spare capacity.
    OverQuota,
    /// This gateway's part of the plan's hard ceiling is used up.
    Ceiling,
    /// So little of the client's time is left that no server would answer within it.
    DeadlineTooClose,
    /// More requests wait for a server than can be served in time, and this one has the least priority.
    QueueFull,
    /// No server had capacity in the time that the request may wait here.
    NoServer,
    /// The shared counter was queried first, and has not replied in time.
    CounterTimeout,
    /// An attempt was made and has not ended by the client's deadline.
    AttemptUnfinished,
    /// An attempt failed that may have had an effect, and the class allows no second one.
    NotIdempotent,
    /// An attempt failed, and the retry budget is exhausted.
    RetryBudgetExhausted,
    /// An attempt failed, and it was the last that one request may have.
    AttemptsExhausted,
}

impl RejectReason {
    /// The name of the reason in operators' records; it never changes.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::OverQuota => "over-quota",
            RejectReason::Ceiling => "ceiling",
            RejectReason::DeadlineTooClose => "no-time",
            RejectReason::QueueFull => "queue-full",
            RejectReason::NoServer => "no-server",
            RejectReason::CounterTimeout => "counter-silent",
            RejectReason::AttemptUnfinished => "attempt-unfinished",
            RejectReason::NotIdempotent => "not-repeatable",
            RejectReason::RetryBudgetExhausted => "retry-budget",
            RejectReason::AttemptsExhausted => "attempts-used",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
