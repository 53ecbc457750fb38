//! The reasons for which the decision module rejects or fails a request. Operators see them in records; clients
//! never do.

use std::fmt;

/// The reason for a final answer that this gateway gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The tenant's quota is used up, and excess requests are unprofitable or there is no spare capacity for
    /// them.
    OverQuota,
    /// This gateway's share of the plan's hard ceiling is used up.
    Ceiling,
    /// The client's deadline is too close for any server to answer in time.
    DeadlineTooClose,
    /// More requests are queued than can be served in time, and this request has the lowest priority.
    QueueFull,
    /// No server had capacity within the time that the request may be queued.
    NoServer,
    /// The decision needed a reply of the shared counter, and the reply did not arrive in time.
    CounterTimeout,
    /// An attempt was made and did not end by the client's deadline.
    AttemptUnfinished,
    /// An attempt that may have had an effect failed, and the class allows no second one.
    NotIdempotent,
    /// An attempt failed, and the retry budget is exhausted.
    RetryBudgetExhausted,
    /// An attempt failed, and the request has had the maximum number of attempts.
    AttemptsExhausted,
    /// A request with this id may have had an effect, and the class allows no second one.
    RepeatedId,
    /// The gateway remembers as many tenants as it may, and this one is not among them.
    TooManyTenants,
}

impl RejectReason {
    /// The name of the reason in operators' records. Names never change.
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
            RejectReason::RepeatedId => "id-repeated",
            RejectReason::TooManyTenants => "tenants-full",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
