//! One exchange with a server: a command is written on a connection of its own, and its reply read.
//!
//! It owns the last look at whether an attempt may still begin, and the passing on of values too long to be kept complete.
//! Whether a reply belongs to the command at all is the business of [`duplicate`](super::duplicate).

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use fernscale_policy::{Id, LoadReport, Micros};

use super::duplicate::write_fence;
use super::pool::Checkout;
use super::Upstream;
use crate::outcome::AttemptFailure;
use crate::protocol::call::{self, Call, ReceivedReply, ServerReply};
use crate::protocol::resp::{self, LongValueHead, Reply};
use crate::protocol::Scanned;
use crate::shared::{Event, Piece, ResponseStream};
use crate::transport::clock::{boottime, micros};
use crate::transport::connection::{with_deadline, Connection};
use crate::transport::ending::ConnectionEnd;

/// How long a server may send no byte of a long value. As long as some come it is not cut off, since its client has begun
/// to get the value and can't be given another server's.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A reply that has been read, and the connection it came on.
pub(super) struct Exchanged<T> {
    pub(super) reply: T,
    pub(super) connection: Connection,
    /// For how long the connection's establishing and the reply had waited for this process.
    pub(super) read_delay: Duration,
}

/// A server's answer to an attempt.
pub(super) struct ServedAttempt {
    pub(super) reply: ServerReply,
    pub(super) load: LoadReport,
    /// For how long what had come from the server lay here unread.
    pub(super) read_delay: Duration,
}

impl Upstream {
    /// Forwards a call, and gives the server's reply once it is complete. A long value has been passed on by then.
    pub(super) async fn forward(
        self: &Rc<Self>,
        call: &Call,
        attempt: usize,
        limit: Micros,
        created_at: Instant,
    ) -> Result<ServedAttempt, AttemptFailure> {
        let until = created_at + Duration::from_micros(limit);
        // What the order waited, and its connection took to come up, its client does not have any more.
        let command = || call.command(micros(until.saturating_duration_since(Instant::now())).min(limit));
        let scan = |bytes: &[u8], ended: bool| call::scan_reply(bytes, ended, self.load_fields());
        let received = self.exchange(command, until, Some(call), scan).await?;
        let Exchanged { reply, mut connection, read_delay } =
            self.skip_duplicates(received, until, &call.request.id).await?;
        let (reply, load) = match reply {
            ReceivedReply::Complete((reply, load)) => {
                connection.last_value = reply.fingerprint();
                self.release(connection);
                (reply, load)
            }
            ReceivedReply::LongValue(head) => {
                connection.last_value = None;
                self.stream_value(head, connection, call.request.id.clone(), attempt).await?
            }
        };
        Ok(ServedAttempt { reply, load, read_delay })
    }

    /// Asks the server whether it is there.
    pub(super) async fn check_health(&self) -> Result<LoadReport, AttemptFailure> {
        let until = Instant::now() + self.message_timeout();
        let command = || resp::write_command(&[b"PING"]);
        let scan = |bytes: &[u8], _ended: bool| match resp::reply(bytes)? {
            Some((Reply::Simple(_), length)) => Ok(Some((LoadReport::default(), length))),
            Some(_) => Err("no good word"),
            None => Ok(None),
        };
        let Exchanged { reply, connection, .. } = self.exchange(command, until, None, scan).await?;
        self.pool.release(connection);
        Ok(reply)
    }

    pub(super) fn load_fields(&self) -> &[String] {
        &self.shared.platform.load_fields
    }

    /// How long a message may take from its first byte to its end: a reply that has begun comes in one piece, and needs no
    /// longer than a connection does.
    pub(super) fn message_timeout(&self) -> Duration {
        Duration::from_micros(self.shared.platform.connect_timeout)
    }

    /// Has a command answered on a connection of its own. `call` is the client's call that the command is for, if it is for one;
    /// `scan` is given what has come, and whether no more will.
    async fn exchange<T>(
        &self,
        command: impl FnOnce() -> Vec<u8>,
        until: Instant,
        call: Option<&Call>,
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<Exchanged<T>, AttemptFailure> {
        let began_at = Instant::now();
        let checkout = with_deadline(until, ConnectionEnd::ConnectTimeout, self.pool.acquire());
        let Checkout { connection, idle_for } = checkout.await.map_err(AttemptFailure::unsent)?;
        let dial_delay = if idle_for.is_none() { connection.read_delay(began_at) } else { Duration::ZERO };
        // There must be no await between this check and the first byte.
        if let Err(how) = self.check_may_begin(&connection, until, call) {
            if how == ConnectionEnd::NotNeeded {
                self.pool.release(connection);
            }
            return Err(AttemptFailure::unsent(how));
        }
        let end = self.exchange_on(connection, &command(), until, call, scan).await;
        self.pool.adjust_idle_limit(idle_for, &end);
        end.map(|exchanged| Exchanged { read_delay: dial_delay + exchanged.read_delay, ..exchanged })
    }

    /// Whether the first byte may still be written on this connection. What held when an attempt was created may not hold once
    /// it has waited for this actor, or for its connection.
    fn check_may_begin(
        &self,
        connection: &Connection,
        until: Instant,
        call: Option<&Call>,
    ) -> Result<(), ConnectionEnd> {
        // Danger: this process was suspended, and nobody waits for what the server would do.
        if Instant::now() >= until {
            return Err(ConnectionEnd::NotNeeded);
        }
        // Danger: the client has disconnected meanwhile. To begin nothing is not a cancellation, and always allowed.
        if call.is_some_and(|call| call.client_gone.get()) {
            return Err(ConnectionEnd::NotNeeded);
        }
        // Danger: the server has been cordoned meanwhile, drains, was removed, or has another address.
        if self.shared.cordoned.borrow().contains(&self.server) {
            return Err(ConnectionEnd::Cordoned);
        }
        if self.shared.draining.borrow().contains(&self.server) || !self.pool.is_connected(connection) {
            return Err(ConnectionEnd::EndpointChanged);
        }
        // Danger: this process was suspended, and resumes with an endpoint list that has expired.
        let fresh_until = self.shared.endpoints_fresh_until.get();
        if fresh_until < Micros::MAX && boottime() >= fresh_until {
            return Err(ConnectionEnd::StaleEndpoints);
        }
        Ok(())
    }

    /// Writes the command and reads the reply.
    async fn exchange_on<T>(
        &self,
        mut connection: Connection,
        command: &[u8],
        until: Instant,
        call: Option<&Call>,
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<Exchanged<T>, AttemptFailure> {
        let written_at = Instant::now();
        with_deadline(until, ConnectionEnd::TimedOut, connection.write(command))
            .await
            .map_err(AttemptFailure::unsent)?;
        if call.is_some() {
            self.shared.metrics.attempt_forwarded();
            if self.expects_equal_value(&connection) {
                write_fence(&mut connection, until).await;
            }
        }
        self.receive(connection, written_at, until, scan).await
    }

    /// Reads the next reply on a connection that has been waited on from `since` on.
    pub(super) async fn receive<T>(
        &self,
        mut connection: Connection,
        since: Instant,
        until: Instant,
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<Exchanged<T>, AttemptFailure> {
        let received = connection.message(|bytes| scan(bytes, false), until, self.message_timeout()).await;
        match received {
            Ok(reply) => {
                let read_delay = connection.read_delay(since);
                Ok(Exchanged { reply, connection, read_delay })
            }
            Err(how) => match scan(connection.buffer.filled(), true) {
                // All that matters has come, and the connection can't be used again.
                Ok(Some((reply, _))) => {
                    connection.desynchronized = true;
                    // The wait for what was missing is the server's.
                    Ok(Exchanged { reply, connection, read_delay: Duration::ZERO })
                }
                _ => Err(AttemptFailure::unanswered(how)),
            },
        }
    }

    /// Passes a long value on as it comes, and reads what follows it.
    async fn stream_value(
        self: &Rc<Self>,
        head: LongValueHead,
        mut connection: Connection,
        request: Id,
        attempt: usize,
    ) -> Result<(ServerReply, LoadReport), AttemptFailure> {
        let (sender, pieces) = async_channel::bounded(1);
        let flow = ResponseStream { length: head.length, pieces };
        drop(self.events.send(Event::ResponseStarted { request, attempt, flow }).await);
        pass_on(&mut connection, head.length, &sender).await?;
        drop(sender);
        let following_items = head.items - 1;
        let timeout = self.message_timeout();
        let scan = |bytes: &[u8]| call::scan_after_value(bytes, following_items, false, self.load_fields());
        match connection.message(scan, Instant::now() + timeout, timeout).await {
            Ok(reply) => {
                self.release(connection);
                Ok(reply)
            }
            Err(how) => {
                let received = connection.buffer.filled();
                match call::scan_after_value(received, following_items, true, self.load_fields()) {
                    Ok(Some((reply, _))) => Ok(reply),
                    _ => Err(AttemptFailure::unanswered(how)),
                }
            }
        }
    }
}

/// Passes a value of so many bytes on to the client's connection task, up to the line end behind it, which stays unread.
async fn pass_on(
    connection: &mut Connection,
    length: usize,
    pieces: &Sender<Piece>,
) -> Result<(), AttemptFailure> {
    let client_gone = |_| AttemptFailure::unanswered(ConnectionEnd::Cancelled);
    let mut remaining = length;
    while remaining > 0 {
        let until = Instant::now() + STREAM_STALL_TIMEOUT;
        let piece = with_deadline(until, ConnectionEnd::Stalled, connection.read_chunk(remaining))
            .await
            .map_err(AttemptFailure::unanswered)?;
        remaining -= piece.len();
        // The client's task takes a piece once it has written the one before: a slow client slows the server down.
        pieces.send(Piece::Bytes(piece)).await.map_err(client_gone)?;
    }
    // The value is complete as soon as its line end has come; its client does not wait for what follows.
    let line_end = |bytes: &[u8]| match bytes {
        [b'\r', b'\n', ..] => Ok(Some(((), 0))),
        [] | [b'\r'] => Ok(None),
        _ => Err("a value does not end where it should"),
    };
    let until = Instant::now() + STREAM_STALL_TIMEOUT;
    connection.message(line_end, until, STREAM_STALL_TIMEOUT).await.map_err(AttemptFailure::unanswered)?;
    pieces.send(Piece::End).await.map_err(client_gone)
}
