//! The signals that a gateway handles. A failed system call loses no signal, and no signal is queued behind others.
//!
//! A handler sets a flag, which can't fail, and then writes a byte to wake the event loop, which can fail: the call may
//! be interrupted, or the buffer may be full. The flags are therefore also checked at an interval. Signals of the same
//! kind that arrive before the first of them is handled count as one.

use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level::pipe};

/// Interval at which the flags are checked without a wakeup. Requests that arrive up to this long after SIGTERM are still
/// served.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed read of a wakeup. Danger: without the pause, a permanent error would block the event loop.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of wakeups read at a time.
const MAX_WAKEUPS: usize = 64;

/// A signal that a gateway handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down.
    Terminate,
    /// SIGHUP: reload the configuration.
    Reload,
}

impl Signal {
    /// The name in log records.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "SIGTERM",
            Signal::Reload => "SIGHUP",
        }
    }
}

/// The signals that this process has received since the handlers were installed.
pub(super) struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wakeups: Async<UnixStream>,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The operating system's error if no descriptor is available for the wakeups, or a handler can't be installed.
    pub(super) fn install() -> io::Result<Self> {
        let (wakeups, waker) = UnixStream::pair()?;
        let signals =
            Signals { terminate: Arc::default(), reload: Arc::default(), wakeups: Async::new(wakeups)? };
        for (signal, flag) in [(SIGTERM, &signals.terminate), (SIGHUP, &signals.reload)] {
            // The flag is registered first, so that it is set when the wakeup arrives.
            flag::register(signal, flag.clone())?;
            pipe::register(signal, waker.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Waits for the next signal. SIGTERM takes precedence.
    pub(super) async fn next(&mut self) -> Signal {
        loop {
            if self.terminate.swap(false, Ordering::SeqCst) {
                return Signal::Terminate;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
            let check = async {
                Timer::after(CHECK_INTERVAL).await;
            };
            future::or(self.wakeup(), check).await;
        }
    }

    async fn wakeup(&mut self) {
        if self.wakeups.read(&mut [0; MAX_WAKEUPS]).await.is_err() {
            Timer::after(ERROR_PAUSE).await;
        }
    }
}
