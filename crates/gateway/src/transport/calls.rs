//! What the errors of single calls to the system mean: some say only that the call is to be made again.

use std::io::{self, ErrorKind};
use std::time::Duration;

/// Others wait to be accepted behind one that failed.
const AFTER_THIS_ONE: Duration = Duration::from_micros(100);
/// Descriptors and memory come back when something ends, and clients have their deadlines meanwhile.
const WITHOUT_RESOURCES: Duration = Duration::from_millis(20);

/// How often a call is made again at once. Danger: signals without end would hold the event loop.
const MOST_INTERRUPTED: usize = 16;

/// Makes a call again that a signal interrupts: nothing was read, written or accepted by it. One that is interrupted on and on is
/// as one that is not ready, and comes round by the reactor.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MOST_INTERRUPTED {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => return other,
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

/// Why a connection could not be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepted {
    /// That one had ended, or its network had a fault: the next may well be there.
    ThisOne,
    /// The machine lacks descriptors or memory: the next would fare no better at once.
    NoResources,
}

impl NotAccepted {
    /// By the errors that accept(2) documents.
    pub fn of(error: &io::Error) -> Self {
        // ENOMEM, ENFILE, EMFILE, ENOBUFS.
        match error.raw_os_error() {
            Some(12 | 23 | 24 | 105) => NotAccepted::NoResources,
            _ => NotAccepted::ThisOne,
        }
    }

    /// How long to wait before the next is accepted. Neither may spin while an error lasts.
    pub fn pause(self) -> Duration {
        match self {
            NotAccepted::ThisOne => AFTER_THIS_ONE,
            NotAccepted::NoResources => WITHOUT_RESOURCES,
        }
    }
}
