//! How the gateway closes a connection without a reset.
//!
//! The kernel resets a connection that is closed with unread bytes, and the client loses the replies that were written to it.
//! Therefore the gateway shuts the connection down for writing, and reads until the client closes it.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::connection_task::ConnectionTask;
use super::idle::IdleState;
use crate::transport::connection::with_deadline;
use crate::transport::ending::ConnectionEnd;

/// How long the gateway waits for the client to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read while lingering, and the first pause between two reads, which doubles each time. Danger:
/// a client that writes at full speed would take too much time of the event loop.
const MAX_LINGER_BYTES: usize = 64 * 1024;
const FIRST_LINGER_PAUSE: Duration = Duration::from_millis(1);

impl ConnectionTask {
    /// Frees its slot for another connection, and lingers in a slot for rejected clients. A client whose request is on its way
    /// then sees a clean close and no reset; the request is not forwarded. If no slot is free, the connection that has lingered
    /// longest ends. If none lingers, this connection ends at once.
    pub(super) async fn yield_slot(&mut self) {
        let reservation = loop {
            if let Some(reservation) = self.context.shared.limits.rejected.reserve(1) {
                break reservation;
            }
            let Some(lingering) = self.context.idle.take_longest_lingering() else { return };
            lingering.request();
            lingering.completed().await;
        };
        self.connection.move_reservation(reservation);
        // Replacing the channel closes the former one, which notifies the task that waits for the slot.
        let (evict, evicted) = async_channel::bounded(1);
        self.evicted = evicted.clone();
        let entry = self.context.idle.enter(IdleState::Lingering, Instant::now(), self.number, evict);
        let notified = async {
            let _ = evicted.recv().await;
        };
        future::or(self.linger(), notified).await;
        drop(entry);
    }

    /// Shuts the connection down for writing, and reads until the client closes it or a limit is reached.
    pub(super) async fn linger(&mut self) {
        let deadline = Instant::now() + LINGER_TIMEOUT;
        let mut received = 0;
        let mut pause = FIRST_LINGER_PAUSE;
        self.connection.finish();
        while received < MAX_LINGER_BYTES
            && with_deadline(deadline, ConnectionEnd::TimedOut, self.connection.read()).await.is_ok()
        {
            let count = self.connection.buffer.filled().len();
            self.connection.buffer.consume(count);
            received += count;
            Timer::after(pause).await;
            pause *= 2;
        }
    }
}
