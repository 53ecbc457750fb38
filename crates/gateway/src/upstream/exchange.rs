//! One exchange with a server: writes a command on a connection that no other exchange uses, and reads the reply.
//!
//! This module also makes the last check whether an attempt may still begin. [`streaming`](super::streaming) forwards values that
//! are too long to be buffered whole, and [`duplicate`](super::duplicate) decides whether a reply belongs to the command.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fernscale_policy::{LoadReport, Micros};
use slog::info;

use super::duplicate::write_fence;
use super::pool::Checkout;
use super::{AttemptBounds, AttemptOrder, Upstream};
use crate::outcome::AttemptFailure;
use crate::protocol::reply::{self, ReceiveStage, ReceivedReply, ServerReply};
use crate::protocol::resp::{self, Reply};
use crate::protocol::Scanned;
use crate::transport::clock::{boottime, micros};
use crate::transport::connection::{with_deadline, Connection};
use crate::transport::ending::ConnectionEnd;

/// A reply, and the connection that it was received on.
pub(super) struct CompletedExchange<T> {
    pub(super) reply: T,
    pub(super) connection: Connection,
    /// For how long this process did not notice the established connection and the received reply.
    pub(super) read_delay: Duration,
}

/// A server's reply to an attempt.
pub(super) struct AttemptReply {
    pub(super) reply: ServerReply,
    pub(super) load: LoadReport,
    /// For how long data from the server waited unread in this process.
    pub(super) read_delay: Duration,
}

impl Upstream {
    /// Forwards a call, and returns the server's reply once it is complete. A long value has been streamed to the client by then.
    pub(super) async fn forward(
        self: &Rc<Self>,
        order: &AttemptOrder,
    ) -> Result<AttemptReply, AttemptFailure> {
        let AttemptOrder { call, attempt, bounds, .. } = order;
        // The server is told the time that is left after the order has waited and the connection has been established.
        let command = || call.command(micros(bounds.announced_time()));
        let scan = |bytes: &[u8], stage: ReceiveStage| reply::scan_reply(bytes, stage, self.load_fields());
        let received = self.exchange(command, bounds, Some(order), scan).await?;
        let CompletedExchange { reply, mut connection, read_delay } =
            self.skip_duplicates(received, bounds, &call.request.id).await?;
        let (reply, load) = match reply {
            ReceivedReply::Complete((reply, load)) => {
                connection.last_value = reply.fingerprint();
                self.release(connection);
                (reply, load)
            }
            ReceivedReply::LongValue(head) => {
                connection.last_value = None;
                self.stream_value(head, connection, call.request.id.clone(), *attempt).await?
            }
        };
        Ok(AttemptReply { reply, load, read_delay })
    }

    /// Sends a health check.
    pub(super) async fn check_health(&self) -> Result<LoadReport, AttemptFailure> {
        let bounds = AttemptBounds::until(Instant::now() + self.connect_timeout());
        let command = || resp::write_command(&[b"PING"]);
        let scan = |bytes: &[u8], _: ReceiveStage| match resp::reply(bytes)? {
            Some((Reply::Simple(_), length)) => Ok(Some((LoadReport::default(), length))),
            Some(_) => Err("the reply to a health check is not a simple string"),
            None => Ok(None),
        };
        let CompletedExchange { reply, connection, .. } = self.exchange(command, &bounds, None, scan).await?;
        self.pool.release(connection);
        Ok(reply)
    }

    pub(super) fn load_fields(&self) -> &[String] {
        &self.shared.platform.load_fields
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.shared.platform.connect_timeout)
    }

    /// How long the rest of a reply is waited for once its value is complete. Servers mostly write a reply in one piece.
    fn report_timeout(&self) -> Duration {
        self.connect_timeout()
    }

    /// Writes a command on a connection and reads its reply. `order` is the attempt that the command belongs to; none for a
    /// health check. `scan` parses the received bytes, and knows whether more of them are waited for.
    async fn exchange<T>(
        &self,
        command: impl FnOnce() -> Vec<u8>,
        bounds: &AttemptBounds,
        order: Option<&AttemptOrder>,
        scan: impl Fn(&[u8], ReceiveStage) -> Scanned<T>,
    ) -> Result<CompletedExchange<T>, AttemptFailure> {
        let began_at = Instant::now();
        let (send_deadline, expiry) = bounds.send_deadline(ConnectionEnd::ConnectTimeout);
        let checkout = with_deadline(send_deadline, expiry, self.pool.acquire());
        let Checkout { connection, idle_for } = checkout.await.map_err(AttemptFailure::unsent)?;
        let connect_delay = if idle_for.is_none() { connection.read_delay(began_at) } else { Duration::ZERO };
        // There must be no await between this check and the first write.
        if let Err(how) = self.check_may_begin(&connection, bounds, order) {
            if matches!(how, ConnectionEnd::NotNeeded | ConnectionEnd::KeyExpired) {
                self.pool.release(connection);
            }
            return Err(AttemptFailure::unsent(how));
        }
        let end = self.write_and_receive(connection, &command(), bounds, order, scan).await;
        self.pool.adjust_idle_limit(idle_for, &end);
        end.map(|completed| CompletedExchange {
            read_delay: connect_delay + completed.read_delay,
            ..completed
        })
    }

    /// Checks whether the first byte may still be written. Conditions that held when the attempt was created may have changed
    /// while it waited for this actor or for its connection.
    fn check_may_begin(
        &self,
        connection: &Connection,
        bounds: &AttemptBounds,
        order: Option<&AttemptOrder>,
    ) -> Result<(), ConnectionEnd> {
        // The time has passed while the connection was established, or because this process was suspended.
        let (send_deadline, expiry) = bounds.send_deadline(ConnectionEnd::NotNeeded);
        if Instant::now() >= send_deadline {
            return Err(expiry);
        }
        // The client has disconnected. Not beginning an attempt is no cancellation, so it is always allowed.
        if order.is_some_and(|order| order.call.client_gone.get()) {
            return Err(ConnectionEnd::NotNeeded);
        }
        // The server was cordoned, drains, was removed or has another address.
        if self.shared.cordoned.borrow().contains(&self.server) {
            return Err(ConnectionEnd::Cordoned);
        }
        if self.shared.draining.borrow().contains(&self.server) || !self.pool.is_connected(connection) {
            return Err(ConnectionEnd::EndpointChanged);
        }
        // Another process has come up under the server's name. The attempt was chosen for what was known of the process before.
        let listed_start = || self.shared.start_times.borrow().listed(&self.server);
        if order.is_some_and(|order| order.listed_start != listed_start()) {
            return Err(ConnectionEnd::EndpointChanged);
        }
        // The endpoint list has expired, for instance because this process was suspended.
        let fresh_until = self.shared.endpoints_fresh_until.get();
        if fresh_until < Micros::MAX && boottime() >= fresh_until {
            return Err(ConnectionEnd::StaleEndpoints);
        }
        Ok(())
    }

    /// Writes the command, and the fence if it is likely to be needed, and reads the reply.
    async fn write_and_receive<T>(
        &self,
        mut connection: Connection,
        command: &[u8],
        bounds: &AttemptBounds,
        order: Option<&AttemptOrder>,
        scan: impl Fn(&[u8], ReceiveStage) -> Scanned<T>,
    ) -> Result<CompletedExchange<T>, AttemptFailure> {
        let written_at = Instant::now();
        let (send_deadline, expiry) = bounds.send_deadline(ConnectionEnd::TimedOut);
        with_deadline(send_deadline, expiry, connection.write(command))
            .await
            .map_err(AttemptFailure::unsent)?;
        if order.is_some() {
            self.shared.metrics.attempt_forwarded();
            if self.expects_equal_value(&connection) {
                write_fence(&mut connection, bounds.deadline).await;
            }
        }
        self.receive(connection, written_at, bounds, scan).await
    }

    /// Reads the next reply. `waited_since` is when the wait for it began. A reply that comes slowly is waited for as long as the
    /// client waits; a server that pauses in the middle of it is given up by [`AttemptBounds::give_up_at`].
    pub(super) async fn receive<T>(
        &self,
        mut connection: Connection,
        waited_since: Instant,
        bounds: &AttemptBounds,
        scan: impl Fn(&[u8], ReceiveStage) -> Scanned<T>,
    ) -> Result<CompletedExchange<T>, AttemptFailure> {
        let mut deadline = bounds.stream_at();
        loop {
            let limits = bounds.message_limits(deadline, self.report_timeout());
            let received = connection.message(|bytes| scan(bytes, ReceiveStage::Open), limits).await;
            let how = match received {
                Ok(reply) => {
                    let read_delay = connection.read_delay(waited_since);
                    return Ok(CompletedExchange { reply, connection, read_delay });
                }
                Err(how) => how,
            };
            let is_waiting = matches!(how, ConnectionEnd::TimedOut | ConnectionEnd::Stalled);
            if is_waiting && Instant::now() >= deadline && deadline < bounds.deadline {
                deadline = bounds.deadline;
                if let Ok(Some((reply, length))) = scan(connection.buffer.filled(), ReceiveStage::Expiring) {
                    connection.buffer.consume(length);
                    return Ok(CompletedExchange { reply, connection, read_delay: Duration::ZERO });
                }
                continue;
            }
            // Everything that matters was received, but the connection can't be reused.
            if let Ok(Some((reply, _))) = scan(connection.buffer.filled(), ReceiveStage::Ended) {
                self.log_incomplete_reply(how);
                connection.desynchronized = true;
                // The server caused the wait for the missing bytes.
                return Ok(CompletedExchange { reply, connection, read_delay: Duration::ZERO });
            }
            if how != ConnectionEnd::Stalled || !wait_for_more(&mut connection, bounds, deadline).await? {
                return Err(AttemptFailure::unanswered(how));
            }
        }
    }

    /// Logs that a value was forwarded although `how` ended the connection, or the wait for the rest of its reply.
    pub(super) fn log_incomplete_reply(&self, how: ConnectionEnd) {
        info!(self.shared.log, #"reply.incomplete", "value forwarded without the rest of its reply";
            "server" => &*self.server, "end" => how.name());
    }
}

/// Waits until a server that pauses in the middle of its reply goes on, or until `deadline`. Returns false if the server is to
/// be given up.
async fn wait_for_more(
    connection: &mut Connection,
    bounds: &AttemptBounds,
    deadline: Instant,
) -> Result<bool, AttemptFailure> {
    let paused_since = connection.buffer.last_received_at().unwrap_or_else(Instant::now);
    let give_up_at = bounds.give_up_at(paused_since);
    let now = Instant::now();
    if now >= give_up_at || now >= deadline {
        return Ok(false);
    }
    match with_deadline(give_up_at.min(deadline), ConnectionEnd::Stalled, connection.read()).await {
        // After a pause the limits are looked at again.
        Ok(()) | Err(ConnectionEnd::Stalled) => Ok(true),
        // What was received before this end may still be a reply.
        Err(ConnectionEnd::Closed | ConnectionEnd::IoError) => Ok(true),
        Err(end) => Err(AttemptFailure::unanswered(end)),
    }
}
