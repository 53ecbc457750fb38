//! What the end of a connection means for the attempt, health check or counter call on it. Nowhere else is this decided.

use fernscale_outlier_detection::detector::AttemptResult;
use fernscale_policy::{Micros, Outcome};

use crate::protocol::call::ServerReply;
use crate::transport::ending::ConnectionEnd;

/// The counter's answer to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterTotal {
    /// The update was applied, and this is the total.
    Total(f64),
    /// The counter is overloaded, and nothing was applied.
    Full,
    /// The counter rejected the call, and nothing was applied.
    Error,
}

/// The connection ended before the reply had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    pub how: ConnectionEnd,
    /// The last byte of the command had been written: the server may have executed it.
    pub written: bool,
}

impl AttemptFailure {
    /// The command had not been written to its last byte: the server can't have executed it.
    pub fn unsent(how: ConnectionEnd) -> Self {
        AttemptFailure { how, written: false }
    }

    /// The command had been written to its last byte.
    pub fn unanswered(how: ConnectionEnd) -> Self {
        AttemptFailure { how, written: true }
    }

    fn outcome(self) -> Outcome {
        match (self.how, self.written) {
            (ConnectionEnd::NoDescriptor | ConnectionEnd::Cordoned | ConnectionEnd::StaleEndpoints, _)
            | (
                ConnectionEnd::OutOfMemory | ConnectionEnd::EndpointChanged | ConnectionEnd::NotNeeded,
                false,
            ) => Outcome::NeverSent,
            (ConnectionEnd::Cancelled, _) => Outcome::Cancelled,
            (_, false) => Outcome::NotConnected,
            (ConnectionEnd::TimedOut | ConnectionEnd::Stalled, true) => Outcome::TimedOut,
            (ConnectionEnd::Malformed | ConnectionEnd::OutOfMemory, true) => Outcome::Error,
            (
                ConnectionEnd::Closed
                | ConnectionEnd::IoError
                | ConnectionEnd::Idle
                | ConnectionEnd::ShuttingDown,
                true,
            ) => Outcome::Reset,
            // Nothing can have been written on a connection that was never made, or on which nothing was to begin.
            (
                ConnectionEnd::Refused
                | ConnectionEnd::ConnectTimeout
                | ConnectionEnd::EndpointChanged
                | ConnectionEnd::NotNeeded,
                true,
            ) => Outcome::NotConnected,
        }
    }
}

/// The outcome of an attempt, for the engine.
pub fn of_attempt<T>(end: &Result<(ServerReply, T), AttemptFailure>) -> Outcome {
    match end {
        Ok((ServerReply::Completed { .. } | ServerReply::Streamed { .. }, _)) => Outcome::Ok,
        Ok((ServerReply::Failed, _)) => Outcome::Error,
        Ok((ServerReply::Overloaded, _)) => Outcome::Overloaded,
        Err(failure) => failure.outcome(),
    }
}

/// What an attempt that took so long tells outlier detection of its server: nothing where its end is not the server's doing, or may
/// come from overload; and nothing of its latency where the answer lay here unread for some of that time.
pub fn observed_result<T>(
    elapsed: Micros,
    read_delay: Micros,
    end: &Result<(ServerReply, T), AttemptFailure>,
) -> Option<AttemptResult> {
    match (of_attempt(end), end) {
        (Outcome::Ok, Ok((ServerReply::Streamed { .. }, _))) => Some(AttemptResult::Forwarded),
        (Outcome::Ok, _) if read_delay > 0 => Some(AttemptResult::Forwarded),
        (Outcome::Ok, _) => Some(AttemptResult::Answered(elapsed)),
        (Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::NotConnected, _) => {
            Some(AttemptResult::Failed)
        }
        (Outcome::Overloaded | Outcome::Cancelled | Outcome::NeverSent, _) => None,
    }
}

/// The outcome of a health check, for the engine.
pub fn of_health_check<T>(end: &Result<T, AttemptFailure>) -> Outcome {
    end.as_ref().map_or_else(|failure| failure.outcome(), |_| Outcome::Ok)
}

/// The end of a call to the counter, as the engine distinguishes ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCallEnd {
    pub outcome: Outcome,
    /// The counter's total where the outcome is [`Outcome::Ok`], else 0.
    pub total: f64,
}

/// Four cases of a call to the counter matter: it has a total, nothing was added, something may have been added and the
/// counter was too slow, or something may have been added and the answer was malformed or lost with its connection.
pub fn of_counter_call(end: &Result<CounterTotal, AttemptFailure>) -> CounterCallEnd {
    let failed = |outcome| CounterCallEnd { outcome, total: 0.0 };
    match end {
        Ok(CounterTotal::Total(total)) => CounterCallEnd { outcome: Outcome::Ok, total: *total },
        Ok(CounterTotal::Full | CounterTotal::Error) => failed(Outcome::Overloaded),
        Err(AttemptFailure { how: ConnectionEnd::TimedOut, written: true }) => failed(Outcome::TimedOut),
        Err(failure) if failure.written => failed(Outcome::Error),
        Err(failure) => failed(failure.outcome()),
    }
}
