//! What the errors of single calls to the system mean: some say only that the call is to be made again.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;

use async_io::Timer;

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
pub enum AcceptFailure {
    /// That one had ended, or its network had a fault: the next may well be there.
    ThisConnection,
    /// The machine lacks descriptors or memory: the next would fare no better at once.
    NoResources,
}

impl AcceptFailure {
    /// By the errors that accept(2) documents.
    pub fn classify(error: &io::Error) -> Self {
        // ENOMEM, ENFILE, EMFILE, ENOBUFS.
        match error.raw_os_error() {
            Some(12 | 23 | 24 | 105) => AcceptFailure::NoResources,
            _ => AcceptFailure::ThisConnection,
        }
    }

    /// How long to wait before the next is accepted. Neither may spin while an error lasts.
    pub fn backoff(self) -> Duration {
        match self {
            AcceptFailure::ThisConnection => AFTER_THIS_ONE,
            AcceptFailure::NoResources => WITHOUT_RESOURCES,
        }
    }
}

/// Pause before a connection is tried again for which this machine lacked something: short beside any client's time, and
/// long enough not to spin.
const BEFORE_ANOTHER_DIAL: Duration = Duration::from_millis(5);
const MOST_DIALS: usize = 10;

/// What the error of a dial says: of the other side, or of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing yet: a signal came, or this machine lacked memory, buffers or a free port for a moment.
    TryAgain,
    /// No descriptor is left here: something has to end first.
    NoDescriptor,
    /// Nobody is there, or no way leads there.
    Unreachable,
}

impl ConnectFailure {
    /// By the errors that socket(2) and connect(2) document.
    pub fn classify(error: &io::Error) -> Self {
        match error.raw_os_error() {
            // EINTR, EAGAIN, ENOMEM, EADDRNOTAVAIL, ENOBUFS.
            Some(4 | 11 | 12 | 99 | 105) => ConnectFailure::TryAgain,
            // ENFILE, EMFILE.
            Some(23 | 24) => ConnectFailure::NoDescriptor,
            _ => ConnectFailure::Unreachable,
        }
    }
}

/// Dials again, after a pause each time, where the error says nothing of the other side. What this machine lacks for longer is
/// told: another attempt is the decision module's matter.
pub async fn connect_with_retries<T, D: Future<Output = io::Result<T>>>(
    mut dial: impl FnMut() -> D,
) -> io::Result<T> {
    for _ in 1..MOST_DIALS {
        match dial().await {
            Err(error) if ConnectFailure::classify(&error) == ConnectFailure::TryAgain => {
                Timer::after(BEFORE_ANOTHER_DIAL).await;
            }
            other => return other,
        }
    }
    dial().await
}
