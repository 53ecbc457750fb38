//! Maps the end of a connection to the outcome of the attempt, health check or counter call on it. Only this module decides
//! that.

use fernscale_outlier_detection::detector::AttemptResult;
use fernscale_policy::{Micros, Outcome};

use crate::protocol::reply::ServerReply;
use crate::transport::ending::ConnectionEnd;

/// The counter's answer to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterAnswer {
    /// The update was applied. The value is the counter's new total.
    Total(f64),
    /// The counter is overloaded and applied nothing.
    Overloaded,
    /// The counter rejected the call and applied nothing.
    Error,
}

/// The connection ended before a complete reply was received. Log records print this struct with its field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    pub how: ConnectionEnd,
    /// Whether the last byte of the command was written, so that the server may have executed it.
    pub written: bool,
}

impl AttemptFailure {
    /// The last byte of the command was not written, so the server can't have executed it.
    pub fn unsent(how: ConnectionEnd) -> Self {
        AttemptFailure { how, written: false }
    }

    /// The whole command was written, and no reply was received.
    pub fn unanswered(how: ConnectionEnd) -> Self {
        AttemptFailure { how, written: true }
    }

    fn outcome(self) -> Outcome {
        match (self.how, self.written) {
            (ConnectionEnd::NoDescriptor | ConnectionEnd::Cordoned | ConnectionEnd::StaleEndpoints, _)
            | (
                ConnectionEnd::KeyExpired
                | ConnectionEnd::OutOfMemory
                | ConnectionEnd::EndpointChanged
                | ConnectionEnd::NotNeeded,
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
            // These ends come before the first byte is written, so `written: true` does not occur with them.
            (
                ConnectionEnd::Refused
                | ConnectionEnd::ConnectTimeout
                | ConnectionEnd::EndpointChanged
                | ConnectionEnd::NotNeeded
                | ConnectionEnd::KeyExpired,
                true,
            ) => Outcome::NotConnected,
        }
    }
}

/// The outcome of an attempt, as the engine is notified of it.
pub fn attempt_outcome<T>(end: &Result<(ServerReply, T), AttemptFailure>) -> Outcome {
    match end {
        Ok((ServerReply::Completed { .. } | ServerReply::Streamed { .. }, _)) => Outcome::Ok,
        Ok((ServerReply::Failed, _)) => Outcome::Error,
        Ok((ServerReply::Overloaded, _)) => Outcome::Overloaded,
        Err(failure) => failure.outcome(),
    }
}

/// The result of an attempt that outlier detection records for the server.
///
/// None where the server did not cause the end, or overload may be the cause. Where the reply waited unread in this process
/// (`read_delay`), or the value was streamed, the result carries no latency.
pub fn observed_result<T>(
    elapsed: Micros,
    read_delay: Micros,
    end: &Result<(ServerReply, T), AttemptFailure>,
) -> Option<AttemptResult> {
    match (attempt_outcome(end), end) {
        (Outcome::Ok, Ok((ServerReply::Streamed { .. }, _))) => Some(AttemptResult::Forwarded),
        (Outcome::Ok, _) if read_delay > 0 => Some(AttemptResult::Forwarded),
        (Outcome::Ok, _) => Some(AttemptResult::Answered(elapsed)),
        (Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::NotConnected, _) => {
            Some(AttemptResult::Failed)
        }
        (Outcome::Overloaded | Outcome::Cancelled | Outcome::NeverSent, _) => None,
    }
}

/// The outcome of a health check, as the engine is notified of it.
pub fn health_check_outcome<T>(end: &Result<T, AttemptFailure>) -> Outcome {
    end.as_ref().map_or_else(|failure| failure.outcome(), |_| Outcome::Ok)
}

/// The result of a call to the shared counter, as the engine is notified of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCallEnd {
    pub outcome: Outcome,
    /// The counter's total if the outcome is [`Outcome::Ok`], else 0.
    pub total: f64,
}

/// Maps the end of a call to the shared counter to one of four cases:
///
/// - the counter replied with a total ([`Outcome::Ok`]);
/// - nothing was added;
/// - the amount may have been added, and the counter was too slow ([`Outcome::TimedOut`]);
/// - the amount may have been added, and the answer was malformed or lost with the connection ([`Outcome::Error`]).
pub fn counter_call_end(end: &Result<CounterAnswer, AttemptFailure>) -> CounterCallEnd {
    let failed = |outcome| CounterCallEnd { outcome, total: 0.0 };
    match end {
        Ok(CounterAnswer::Total(total)) => CounterCallEnd { outcome: Outcome::Ok, total: *total },
        Ok(CounterAnswer::Overloaded | CounterAnswer::Error) => failed(Outcome::Overloaded),
        Err(AttemptFailure { how: ConnectionEnd::TimedOut, written: true }) => failed(Outcome::TimedOut),
        Err(failure) if failure.written => failed(Outcome::Error),
        Err(failure) => failed(failure.outcome()),
    }
}
