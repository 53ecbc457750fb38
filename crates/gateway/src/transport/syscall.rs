//! Classifies the errors of single system calls, and retries the calls whose errors are temporary.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;

use async_io::Timer;

/// Pause after a single connection could not be accepted. It is short, as other connections wait behind the failed one.
const CONNECTION_FAILURE_PAUSE: Duration = Duration::from_micros(100);
/// Pause while descriptors or memory are exhausted. They are freed when connections or requests end, and the deadlines of the
/// waiting clients go on meanwhile.
const NO_RESOURCES_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of calls in a row that a signal interrupts. Danger: an endless series of signals would block the event loop.
const MAX_INTERRUPTED_CALLS: usize = 16;

/// Makes a system call, and repeats it if a signal interrupts it: an interrupted call has read, written or accepted nothing.
/// After `MAX_INTERRUPTED_CALLS` calls it reports `WouldBlock`, so that the caller waits for the reactor before the next call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTED_CALLS {
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
    /// The connection has already ended, or its network failed. The next connection can probably be accepted.
    ThisConnection,
    /// The machine lacks descriptors or memory. An immediate attempt to accept the next connection would fail too.
    NoResources,
}

impl AcceptFailure {
    /// Classifies the errors that accept(2) documents.
    pub fn classify(error: &io::Error) -> Self {
        // ENOMEM, ENFILE, EMFILE, ENOBUFS.
        match error.raw_os_error() {
            Some(12 | 23 | 24 | 105) => AcceptFailure::NoResources,
            _ => AcceptFailure::ThisConnection,
        }
    }

    /// Pause before the next connection is accepted. It is never zero, as the loop must not spin while an error lasts.
    pub fn backoff(self) -> Duration {
        match self {
            AcceptFailure::ThisConnection => CONNECTION_FAILURE_PAUSE,
            AcceptFailure::NoResources => NO_RESOURCES_PAUSE,
        }
    }
}

/// Pause before connecting is retried after a temporary error of this machine. It is short compared with clients' deadlines, and
/// long enough not to spin.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(5);
const MAX_CONNECT_CALLS: usize = 10;

/// Why connecting failed: because of the peer, or because of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// A signal interrupted the call, or this machine lacked memory, buffers or a free port for a moment. This says nothing about
    /// the peer.
    Temporary,
    /// This machine or process has no free descriptor. One must be closed first.
    NoDescriptor,
    /// Nothing listens at the address, or there is no route to it.
    Unreachable,
}

impl ConnectFailure {
    /// Classifies the errors that socket(2) and connect(2) document.
    pub fn classify(error: &io::Error) -> Self {
        match error.raw_os_error() {
            // EINTR, EAGAIN, ENOMEM, EADDRNOTAVAIL, ENOBUFS.
            Some(4 | 11 | 12 | 99 | 105) => ConnectFailure::Temporary,
            // ENFILE, EMFILE.
            Some(23 | 24) => ConnectFailure::NoDescriptor,
            _ => ConnectFailure::Unreachable,
        }
    }
}

/// Connects, and retries with a pause after errors that say nothing about the peer. If they last, the last error is returned: the
/// decision module decides about another attempt.
pub async fn connect_with_retries<T, D: Future<Output = io::Result<T>>>(
    mut connect: impl FnMut() -> D,
) -> io::Result<T> {
    for _ in 1..MAX_CONNECT_CALLS {
        match connect().await {
            Err(error) if ConnectFailure::classify(&error) == ConnectFailure::Temporary => {
                Timer::after(CONNECT_RETRY_PAUSE).await;
            }
            other => return other,
        }
    }
    connect().await
}
