//! Distinguishes the reply to a call from a duplicate of the previous reply on the same connection.
//!
//! Replies carry no id; they are assigned to commands by their order alone. A server may write a reply twice, and the duplicate
//! may arrive after the connection was reused for the next call, however long the connection was idle. So if a value equals the
//! previous value on its connection, it is not passed on at once. First the server must answer a fence: a command without effect
//! that is written after the call, so that the reply to the call arrives before the reply to the fence. Duplicates are skipped.
//! No decision depends on timing. If a server's recent values were equal, the fence is written together with the call and
//! adds no delay.
//!
//! Duplicates of error lines, and of values that are too long to be buffered whole, are not recognized.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fernscale_policy::Id;
use slog::{debug, warn};

use super::exchange::CompletedExchange;
use super::{AttemptBounds, Upstream};
use crate::outcome::AttemptFailure;
use crate::protocol::reply::{self, ReceiveStage, ReceivedReply, ServerReply, ValueFingerprint};
use crate::protocol::resp::{self, Reply};
use crate::protocol::Scanned;
use crate::transport::connection::{with_deadline, Connection, MessageLimits};
use crate::transport::ending::ConnectionEnd;

/// A command without effect. Servers answer it with a simple string, and answer no call with a simple string.
const FENCE: &[&[u8]] = &[b"SELECT", b"0"];

/// How long an idle connection waits for the reply to its fence.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A message received after a value that may be a duplicate.
enum NextMessage {
    /// The reply to the fence. All replies to earlier commands have been received.
    Fence,
    /// Another reply.
    Reply(ReceivedReply),
}

impl Upstream {
    /// Whether the next value on this connection is likely to equal the previous one.
    pub(super) fn expects_equal_value(&self, connection: &Connection) -> bool {
        connection.last_value.is_some() && self.last_value_repeated.get()
    }

    /// Returns the reply to a call: `received`, or a later reply if `received` is a duplicate. Returns at once unless `received`
    /// equals the previous value on its connection.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure::unanswered`] if the connection ends or the deadline passes before a possible duplicate is distinguished
    /// from the reply, or if an error line follows it. The server may have executed the call.
    pub(super) async fn skip_duplicates(
        &self,
        received: CompletedExchange<ReceivedReply>,
        bounds: &AttemptBounds,
        request: &Id,
    ) -> Result<CompletedExchange<ReceivedReply>, AttemptFailure> {
        let Some(last_value) = received.connection.last_value else { return Ok(received) };
        if is_error(&received.reply) {
            return Ok(received);
        }
        if !is_value(&received.reply, last_value) {
            self.last_value_repeated.set(false);
            return Ok(received);
        }
        let result = self.resolve_duplicate(received, last_value, bounds).await;
        let is_equal = result.as_ref().is_ok_and(|completed| is_value(&completed.reply, last_value));
        self.last_value_repeated.set(is_equal);
        if is_equal {
            debug!(self.shared.log, #"reply.equal", "reply equals the previous reply on its connection";
                "id" => &**request, "server" => &*self.server);
        } else {
            let end = result.as_ref().map_or_else(|failure| failure.how.name(), |_| "Answered");
            warn!(self.shared.log, #"reply.duplicate", "server wrote, or may have written, a reply twice";
                "id" => &**request, "server" => &*self.server, "end" => end);
        }
        result
    }

    /// Reads the messages after a value that equals the previous one, until it is certain which reply belongs to the call.
    async fn resolve_duplicate(
        &self,
        candidate: CompletedExchange<ReceivedReply>,
        last_value: ValueFingerprint,
        bounds: &AttemptBounds,
    ) -> Result<CompletedExchange<ReceivedReply>, AttemptFailure> {
        let CompletedExchange { reply: equal_value, mut connection, mut read_delay } = candidate;
        if !connection.fence_pending {
            write_fence(&mut connection, bounds.deadline).await;
        }
        loop {
            if connection.desynchronized {
                return Err(AttemptFailure::unanswered(ConnectionEnd::Malformed));
            }
            connection.acknowledge();
            let scan = |bytes: &[u8], stage: ReceiveStage| self.scan_next_message(bytes, stage);
            let next = self.receive(connection, Instant::now(), bounds, scan).await?;
            connection = next.connection;
            read_delay += next.read_delay;
            match next.reply {
                NextMessage::Fence => {
                    connection.fence_pending = false;
                    return Ok(CompletedExchange { reply: equal_value, connection, read_delay });
                }
                NextMessage::Reply(reply) if is_value(&reply, last_value) => {}
                NextMessage::Reply(reply) if is_error(&reply) => {
                    // The error may answer the fence. As the call's reply, `-BUSY` would mean that the call was not executed.
                    return Err(AttemptFailure::unanswered(ConnectionEnd::Malformed));
                }
                NextMessage::Reply(reply) => return Ok(CompletedExchange { reply, connection, read_delay }),
            }
        }
    }

    fn scan_next_message(&self, bytes: &[u8], stage: ReceiveStage) -> Scanned<NextMessage> {
        if let Some(length) = fence_reply(bytes) {
            return Ok(Some((NextMessage::Fence, length)));
        }
        let reply = reply::scan_reply(bytes, stage, self.load_fields())?;
        Ok(reply.map(|(reply, length)| (NextMessage::Reply(reply), length)))
    }

    /// Returns a connection to the pool. If its fence is unanswered, first waits for that reply in the background.
    pub(super) fn release(self: &Rc<Self>, connection: Connection) {
        if connection.fence_pending {
            let upstream = self.clone();
            let release = async move { upstream.release_after_fence(connection).await };
            self.shared.executor.spawn(release).detach();
        } else {
            self.pool.release(connection);
        }
    }

    /// Waits for the reply to the fence. Closes the connection if anything else is received.
    async fn release_after_fence(&self, mut connection: Connection) {
        let limits = MessageLimits::new(Instant::now() + FENCE_TIMEOUT, FENCE_TIMEOUT);
        let scan = |bytes: &[u8]| match resp::reply(bytes)? {
            Some(_) => {
                fence_reply(bytes).map(|length| Some(((), length))).ok_or("unexpected reply to the fence")
            }
            None => Ok(None),
        };
        if connection.message(scan, limits).await.is_ok() {
            connection.fence_pending = false;
            self.pool.release(connection);
        }
    }
}

/// Writes the fence. An error is ignored: data received before it can still be read, and the reader then sees the connection's
/// end.
pub(super) async fn write_fence(connection: &mut Connection, deadline: Instant) {
    let fence = resp::write_command(FENCE);
    let _ = with_deadline(deadline, ConnectionEnd::TimedOut, connection.write(&fence)).await;
    connection.fence_pending = true;
}

/// The length of the reply to a fence, if `bytes` begins with one.
fn fence_reply(bytes: &[u8]) -> Option<usize> {
    match resp::reply(bytes) {
        Ok(Some((Reply::Simple(_), length))) => Some(length),
        _ => None,
    }
}

fn is_value(reply: &ReceivedReply, value: ValueFingerprint) -> bool {
    matches!(reply, ReceivedReply::Complete((reply, _)) if reply.fingerprint() == Some(value))
}

fn is_error(reply: &ReceivedReply) -> bool {
    matches!(reply, ReceivedReply::Complete((ServerReply::Failed | ServerReply::Overloaded, _)))
}
