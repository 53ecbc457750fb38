//! One exchange with a server: writes a command on a connection that no other exchange uses, and reads the reply.
//!
//! This module also makes the last check whether an attempt may still begin, and streams values that are too long to be buffered
//! whole. [`duplicate`](super::duplicate) decides whether a reply belongs to the command.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{SendError, Sender};
use fernscale_policy::{Id, LoadReport, Micros};
use slog::info;

use super::duplicate::write_fence;
use super::pool::Checkout;
use super::{AttemptOrder, Upstream};
use crate::outcome::AttemptFailure;
use crate::protocol::call::Call;
use crate::protocol::reply::{self, ReceivedReply, ServerReply, ValueEnd};
use crate::protocol::resp::{self, LongValueHead, Reply};
use crate::protocol::Scanned;
use crate::shared::{Event, Piece, ResponseStream};
use crate::transport::clock::{boottime, micros};
use crate::transport::connection::{with_deadline, Connection};
use crate::transport::ending::ConnectionEnd;

/// How long a server may pause in the middle of a long value. There is no limit on the whole value: its client has received a
/// part of it, so no other server could serve the request.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the line end of a forwarded value is held back for what confirms the value's length.
const LENGTH_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Until when an exchange may go on.
#[derive(Clone, Copy)]
struct SendBounds {
    /// When the exchange ends without a reply.
    deadline: Instant,
    /// When the whole command must have been written, if that is bounded apart from the deadline.
    send_before: Option<Instant>,
}

impl SendBounds {
    /// When the whole command must have been written, and the end of an exchange that misses it: `late` after the deadline.
    fn send_deadline(self, late: ConnectionEnd) -> (Instant, ConnectionEnd) {
        match self.send_before {
            Some(send_before) if send_before < self.deadline => (send_before, ConnectionEnd::KeyExpired),
            _ => (self.deadline, late),
        }
    }
}

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
        let (call, deadline) = (&order.call, order.deadline());
        let bounds = SendBounds { deadline, send_before: order.send_before };
        // The server is told the time that is left after the order has waited and the connection has been established.
        let time_left = || micros(deadline.saturating_duration_since(Instant::now())).min(order.limit);
        let command = || call.command(time_left());
        let scan = |bytes: &[u8], ended: bool| reply::scan_reply(bytes, ended, self.load_fields());
        let received = self.exchange(command, bounds, Some(call), scan).await?;
        let CompletedExchange { reply, mut connection, read_delay } =
            self.skip_duplicates(received, deadline, &call.request.id).await?;
        let (reply, load) = match reply {
            ReceivedReply::Complete((reply, load)) => {
                connection.last_value = reply.fingerprint();
                self.release(connection);
                (reply, load)
            }
            ReceivedReply::LongValue(head) => {
                connection.last_value = None;
                self.stream_value(head, connection, call.request.id.clone(), order.attempt).await?
            }
        };
        Ok(AttemptReply { reply, load, read_delay })
    }

    /// Sends a health check.
    pub(super) async fn check_health(&self) -> Result<LoadReport, AttemptFailure> {
        let deadline = Instant::now() + self.message_timeout();
        let command = || resp::write_command(&[b"PING"]);
        let scan = |bytes: &[u8], _ended: bool| match resp::reply(bytes)? {
            Some((Reply::Simple(_), length)) => Ok(Some((LoadReport::default(), length))),
            Some(_) => Err("the reply to a health check is not a simple string"),
            None => Ok(None),
        };
        let CompletedExchange { reply, connection, .. } =
            self.exchange(command, SendBounds { deadline, send_before: None }, None, scan).await?;
        self.pool.release(connection);
        Ok(reply)
    }

    pub(super) fn load_fields(&self) -> &[String] {
        &self.shared.platform.load_fields
    }

    /// How long a message may take from its first byte to its last. Servers write a reply in one piece, so it needs no longer
    /// than establishing a connection.
    pub(super) fn message_timeout(&self) -> Duration {
        Duration::from_micros(self.shared.platform.connect_timeout)
    }

    /// Writes a command on a connection and reads its reply. `call` is the client's call that the command forwards; none for a
    /// health check. `scan` parses the received bytes, and is told whether no further bytes are waited for.
    async fn exchange<T>(
        &self,
        command: impl FnOnce() -> Vec<u8>,
        bounds: SendBounds,
        call: Option<&Call>,
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<CompletedExchange<T>, AttemptFailure> {
        let began_at = Instant::now();
        let (send_deadline, expiry) = bounds.send_deadline(ConnectionEnd::ConnectTimeout);
        let checkout = with_deadline(send_deadline, expiry, self.pool.acquire());
        let Checkout { connection, idle_for } = checkout.await.map_err(AttemptFailure::unsent)?;
        let connect_delay = if idle_for.is_none() { connection.read_delay(began_at) } else { Duration::ZERO };
        // There must be no await between this check and the first write.
        if let Err(how) = self.check_may_begin(&connection, bounds, call) {
            if matches!(how, ConnectionEnd::NotNeeded | ConnectionEnd::KeyExpired) {
                self.pool.release(connection);
            }
            return Err(AttemptFailure::unsent(how));
        }
        let end = self.write_and_receive(connection, &command(), bounds, call, scan).await;
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
        bounds: SendBounds,
        call: Option<&Call>,
    ) -> Result<(), ConnectionEnd> {
        // The time has passed while the connection was established, or because this process was suspended.
        let (send_deadline, expiry) = bounds.send_deadline(ConnectionEnd::NotNeeded);
        if Instant::now() >= send_deadline {
            return Err(expiry);
        }
        // The client has disconnected. Not beginning an attempt is no cancellation, so it is always allowed.
        if call.is_some_and(|call| call.client_gone.get()) {
            return Err(ConnectionEnd::NotNeeded);
        }
        // The server was cordoned, drains, was removed or has another address.
        if self.shared.cordoned.borrow().contains(&self.server) {
            return Err(ConnectionEnd::Cordoned);
        }
        if self.shared.draining.borrow().contains(&self.server) || !self.pool.is_connected(connection) {
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
        bounds: SendBounds,
        call: Option<&Call>,
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<CompletedExchange<T>, AttemptFailure> {
        let (written_at, deadline) = (Instant::now(), bounds.deadline);
        let (send_deadline, expiry) = bounds.send_deadline(ConnectionEnd::TimedOut);
        with_deadline(send_deadline, expiry, connection.write(command))
            .await
            .map_err(AttemptFailure::unsent)?;
        if call.is_some() {
            self.shared.metrics.attempt_forwarded();
            if self.expects_equal_value(&connection) {
                write_fence(&mut connection, deadline).await;
            }
        }
        self.receive(connection, written_at, deadline, scan).await
    }

    /// Reads the next reply. `waited_since` is when the wait for it began.
    pub(super) async fn receive<T>(
        &self,
        mut connection: Connection,
        waited_since: Instant,
        deadline: Instant,
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<CompletedExchange<T>, AttemptFailure> {
        let received = connection.message(|bytes| scan(bytes, false), deadline, self.message_timeout()).await;
        match received {
            Ok(reply) => {
                let read_delay = connection.read_delay(waited_since);
                Ok(CompletedExchange { reply, connection, read_delay })
            }
            Err(how) => match scan(connection.buffer.filled(), true) {
                // Everything that matters was received, but the connection can't be reused.
                Ok(Some((reply, _))) => {
                    self.log_incomplete_reply(how);
                    connection.desynchronized = true;
                    // The server caused the wait for the missing bytes.
                    Ok(CompletedExchange { reply, connection, read_delay: Duration::ZERO })
                }
                _ => Err(AttemptFailure::unanswered(how)),
            },
        }
    }

    /// Streams a long value to the client, and reads the items that follow it.
    async fn stream_value(
        self: &Rc<Self>,
        head: LongValueHead,
        mut connection: Connection,
        request: Id,
        attempt: usize,
    ) -> Result<(ServerReply, LoadReport), AttemptFailure> {
        let (sender, pieces) = async_channel::bounded(1);
        let response = ResponseStream { length: head.length, pieces };
        drop(self.events.send(Event::ResponseStarted { request, attempt, response }).await);
        let value_end = forward_value(&mut connection, head.length, &sender).await?;
        let following_items = head.items - 1;
        confirm_length(&mut connection, &value_end, following_items).await?;
        // The client does not wait for the other items.
        sender.send(Piece::End).await.map_err(client_gone)?;
        drop(sender);
        let timeout = self.message_timeout();
        let scan = |bytes: &[u8]| reply::scan_after_value(bytes, following_items, false, self.load_fields());
        match connection.message(scan, Instant::now() + timeout, timeout).await {
            Ok(reply) => {
                self.release(connection);
                Ok(reply)
            }
            Err(how) => {
                let received = connection.buffer.filled();
                match reply::scan_after_value(received, following_items, true, self.load_fields()) {
                    Ok(Some((reply, _))) => {
                        self.log_incomplete_reply(how);
                        Ok(reply)
                    }
                    _ => Err(AttemptFailure::unanswered(how)),
                }
            }
        }
    }

    /// Logs that a value was forwarded although `how` ended the connection, or the wait for the rest of its reply.
    fn log_incomplete_reply(&self, how: ConnectionEnd) {
        info!(self.shared.log, #"reply.incomplete", "value forwarded without the rest of its reply";
            "server" => &*self.server, "end" => how.name());
    }
}

/// Streams a value of `length` bytes to the client's connection task. The line end after the value is not read. Returns the
/// end of the value.
async fn forward_value(
    connection: &mut Connection,
    length: usize,
    pieces: &Sender<Piece>,
) -> Result<ValueEnd, AttemptFailure> {
    let mut value_end = ValueEnd::default();
    let mut remaining = length;
    while remaining > 0 {
        let deadline = Instant::now() + STREAM_STALL_TIMEOUT;
        let piece = with_deadline(deadline, ConnectionEnd::Stalled, connection.read_chunk(remaining))
            .await
            .map_err(AttemptFailure::unanswered)?;
        remaining -= piece.len();
        value_end.add(&piece);
        // The client's task takes a piece after it has written the previous one, so a slow client slows the server down.
        pieces.send(Piece::Bytes(piece)).await.map_err(client_gone)?;
    }
    Ok(value_end)
}

/// Waits for the bytes that confirm the length of a forwarded value. Without them the client must not get the value's line end, as
/// it could not tell a value of a wrong length from a whole one.
async fn confirm_length(
    connection: &mut Connection,
    value_end: &ValueEnd,
    following_items: usize,
) -> Result<(), AttemptFailure> {
    let deadline = Instant::now() + STREAM_STALL_TIMEOUT;
    let line_end = connection.message(reply::scan_line_end, deadline, STREAM_STALL_TIMEOUT);
    line_end.await.map_err(AttemptFailure::unanswered)?;
    let scan =
        |bytes: &[u8], ended: bool| reply::scan_length_confirmation(bytes, value_end, following_items, ended);
    let deadline = Instant::now() + LENGTH_CONFIRMATION_TIMEOUT;
    match connection.message(|bytes| scan(bytes, false), deadline, LENGTH_CONFIRMATION_TIMEOUT).await {
        Ok(()) => Ok(()),
        Err(how) => match scan(connection.buffer.filled(), true) {
            Ok(Some(_)) => Ok(()),
            _ => Err(AttemptFailure::unanswered(how)),
        },
    }
}

/// The failure of an attempt whose client has disconnected.
fn client_gone<T>(_: SendError<T>) -> AttemptFailure {
    AttemptFailure::unanswered(ConnectionEnd::Cancelled)
}
