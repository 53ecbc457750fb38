//! How a connection is ended by the gateway without a reset.
//!
//! A connection that is closed with bytes unread is reset, and the client loses what was written to it. So it is shut down for
//! writing, and read until the client closes it.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::connection_task::ConnectionTask;
use super::idle::IdleState;
use crate::transport::connection::with_deadline;
use crate::transport::ending::ConnectionEnd;

/// How long a client may take to close its connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are still read, and the first pause between two reads, which doubles. Danger: a client that writes at full speed
/// would cost the loop too much.
const MAX_LINGER_BYTES: usize = 64 * 1024;
const FIRST_LINGER_PAUSE: Duration = Duration::from_millis(1);

impl ConnectionTask {
    /// Gives up its slot to another connection, and lingers in one of those of rejected clients: a request that crosses the end
    /// meets a clean end, and nothing was done with it. The one that has lingered for longest makes room; where none lingers, this
    /// connection ends at once.
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
        // The new channel ends the former one, and so notifies whoever waits for the slot.
        let (evict, evicted) = async_channel::bounded(1);
        self.evicted = evicted.clone();
        let entry = self.context.idle.enter(IdleState::Lingering, Instant::now(), self.number, evict);
        let notified = async {
            let _ = evicted.recv().await;
        };
        future::or(self.linger(), notified).await;
        drop(entry);
    }

    /// Shuts the connection down for writing, and reads until the client closes it or has had its time.
    pub(super) async fn linger(&mut self) {
        let until = Instant::now() + LINGER_TIMEOUT;
        let mut received = 0;
        let mut pause = FIRST_LINGER_PAUSE;
        self.connection.finish();
        while received < MAX_LINGER_BYTES
            && with_deadline(until, ConnectionEnd::TimedOut, self.connection.read()).await.is_ok()
        {
            let count = self.connection.buffer.filled().len();
            self.connection.buffer.consume(count);
            received += count;
            Timer::after(pause).await;
            pause *= 2;
        }
    }
}
