//! The signals that a gateway follows. None is lost, whatever a single system call reports, and none waits behind others.
//!
//! A handler sets a flag, which can't fail, and then wakes the event loop by a byte, which can: the call may be interrupted, or
//! find the buffer full. So the flags are also looked at now and then. Signals of a kind that come before the first is taken
//! are one.

use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level::pipe};

/// How often the flags are looked at without a wakeup: a request that came this long after SIGTERM is still served.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a wakeup that could not be read. Danger: an error that lasts would hold the event loop.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Wakeups that are read at once.
const MAX_WAKEUPS: usize = 64;

/// A signal that a gateway follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: it is to shut down.
    Terminate,
    /// SIGHUP: it is to read its configuration again.
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

/// The signals of this process from its installation on.
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
    /// What the system reports where there is no descriptor for the wakeups, or a handler can't be installed.
    pub(super) fn install() -> io::Result<Self> {
        let (wakeups, waker) = UnixStream::pair()?;
        let signals =
            Signals { terminate: Arc::default(), reload: Arc::default(), wakeups: Async::new(wakeups)? };
        for (signal, flag) in [(SIGTERM, &signals.terminate), (SIGHUP, &signals.reload)] {
            // In this order, so that a wakeup finds the flag set.
            flag::register(signal, flag.clone())?;
            pipe::register(signal, waker.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Waits for the next signal; a shutdown goes first.
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
