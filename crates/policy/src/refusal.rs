//! Why the decision module gives a transaction up: for the records of operators, never for clients.

use std::fmt;

/// The reason of a final answer that is not the service's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The customer's quota has no room, and what is beyond it does not pay or finds no spare room.
    OverQuota,
    /// The plan's hard ceiling has no room at this gateway.
    Ceiling,
    /// So little of the client's time is left that no server would answer within it.
    NoTime,
    /// More waits for a server than can be served in time, and this earns the least of it.
    QueueFull,
    /// No server had room in the time that it may wait here.
    NoServer,
    /// The shared count was asked first, and has not answered in time.
    CounterSilent,
    /// An attempt was made and has not ended by the end of the client's time.
    AttemptUnfinished,
    /// An attempt failed that may have had an effect, and the lane allows no second one.
    NotRepeatable,
    /// An attempt failed, and too few further ones have been earned.
    RetryBudget,
    /// An attempt failed, and it was the last that one transaction may have.
    AttemptsUsed,
}

impl Refusal {
    /// The name by which records tell it.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::OverQuota => "over-quota",
            Refusal::Ceiling => "ceiling",
            Refusal::NoTime => "no-time",
            Refusal::QueueFull => "queue-full",
            Refusal::NoServer => "no-server",
            Refusal::CounterSilent => "counter-silent",
            Refusal::AttemptUnfinished => "attempt-unfinished",
            Refusal::NotRepeatable => "not-repeatable",
            Refusal::RetryBudget => "retry-budget",
            Refusal::AttemptsUsed => "attempts-used",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(self.name())
    }
}
