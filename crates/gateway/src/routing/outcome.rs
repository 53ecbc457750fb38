//! What the end of a connection means for what was asked on it. Nowhere else is this decided.

use fernscale_outlier_detection::detector::AttemptResult;
use fernscale_policy::{Micros, Outcome};

use crate::protocol::call::Said;
use crate::transport::ending::Ending;

/// What the counter says to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Total(f64),
    Full,
    Error,
}

/// The connection ended before the answer had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    pub how: Ending,
    /// The last byte had been written: what was asked may have run.
    pub written: bool,
}

impl Lost {
    pub fn unsent(how: Ending) -> Self {
        Lost { how, written: false }
    }

    pub fn unanswered(how: Ending) -> Self {
        Lost { how, written: true }
    }

    fn outcome(self) -> Outcome {
        match (self.how, self.written) {
            (Ending::NoSocket | Ending::Cordoned | Ending::OldList, _)
            | (Ending::NoMemory | Ending::Left | Ending::Unwanted, false) => Outcome::NeverSent,
            (Ending::GivenUp, _) => Outcome::Cancelled,
            (_, false) => Outcome::NotConnected,
            (Ending::Silent | Ending::Stalled, true) => Outcome::TimedOut,
            (Ending::Garbled | Ending::NoMemory, true) => Outcome::Error,
            (Ending::Closed | Ending::Broken | Ending::Idle | Ending::Stopping, true) => Outcome::Reset,
            // A connection that was never there has nothing written to it, nor has one that nothing was to begin on.
            (Ending::Refused | Ending::NeverUp | Ending::Left | Ending::Unwanted, true) => {
                Outcome::NotConnected
            }
        }
    }
}

pub fn of_trip<T>(end: &Result<(Said, T), Lost>) -> Outcome {
    match end {
        Ok((Said::Settled { .. } | Said::Passed { .. }, _)) => Outcome::Ok,
        Ok((Said::Failed, _)) => Outcome::Error,
        Ok((Said::Full, _)) => Outcome::Overloaded,
        Err(lost) => lost.outcome(),
    }
}

/// What a trip that took so long says of its server to other gateways; nothing where it is not the server's doing, or all may have
/// too much to do.
pub fn met<T>(took: Micros, end: &Result<(Said, T), Lost>) -> Option<AttemptResult> {
    match (of_trip(end), end) {
        (Outcome::Ok, Ok((Said::Passed { .. }, _))) => Some(AttemptResult::Forwarded),
        (Outcome::Ok, _) => Some(AttemptResult::Answered(took)),
        (Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::NotConnected, _) => {
            Some(AttemptResult::Failed)
        }
        (Outcome::Overloaded | Outcome::Cancelled | Outcome::NeverSent, _) => None,
    }
}

pub fn of_probe<T>(end: &Result<T, Lost>) -> Outcome {
    end.as_ref().map_or_else(|lost| lost.outcome(), |_| Outcome::Ok)
}

/// Of a call to the counter four things matter: its total, that nothing was added, that some may be, and then whether
/// the counter had no time for an answer, or spoilt it or lost it with its connection.
pub fn of_call(end: &Result<Told, Lost>) -> (Outcome, f64) {
    match end {
        Ok(Told::Total(total)) => (Outcome::Ok, *total),
        Ok(Told::Full | Told::Error) => (Outcome::Overloaded, 0.0),
        Err(Lost { how: Ending::Silent, written: true }) => (Outcome::TimedOut, 0.0),
        Err(lost) if lost.written => (Outcome::Error, 0.0),
        Err(lost) => (lost.outcome(), 0.0),
    }
}
