//! Tells the reply to a call from a duplicate of the reply before it on the same connection.
//!
//! Replies carry no id: they belong to commands by their order alone. A server may write a reply twice, and the second one may
//! come when the connection has been taken for the next call, however long it was idle. So a value that equals the one before it
//! on its connection is not passed on until the server has answered a fence, a command without effect that is written behind the
//! call: the reply to the call comes before that to the fence. A duplicate is skipped; nothing is decided by how long anything
//! takes. Where a server's values have been equal, the fence is written together with the call, and costs no time.
//!
//! A duplicate of an error line, or of a value too long to be kept complete, is not recognised.

use std::rc::Rc;
use std::time::Instant;

use fernscale_policy::Id;
use slog::{debug, warn};

use super::exchange::Exchanged;
use super::Upstream;
use crate::outcome::AttemptFailure;
use crate::protocol::call::{self, ReceivedReply, ServerReply, ValueFingerprint};
use crate::protocol::resp::{self, Reply};
use crate::protocol::Scanned;
use crate::transport::connection::{with_deadline, Connection};
use crate::transport::ending::ConnectionEnd;

/// A command that servers answer with a simple string, which no call is answered with.
const FENCE: &[&[u8]] = &[b"SELECT", b"0"];

/// What comes behind a value that may be a duplicate.
enum Following {
    /// The fence's reply: all replies to what was written before it have come.
    Fence,
    Reply(ReceivedReply),
}

impl Upstream {
    /// Whether the value of the next call on this connection is likely to equal the last one.
    pub(super) fn expects_equal_value(&self, connection: &Connection) -> bool {
        connection.last_value.is_some() && self.values_repeat.get()
    }

    /// Gives the reply to the call of this id, the first that came for it or one behind that. At once, unless the first one
    /// equals the value before it on its connection.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure::unanswered`] where the connection ends, or the time is over, before a possible duplicate is told from
    /// the reply, and where an error line comes behind it: the call may have been executed.
    pub(super) async fn skip_duplicates(
        &self,
        received: Exchanged<ReceivedReply>,
        until: Instant,
        request: &Id,
    ) -> Result<Exchanged<ReceivedReply>, AttemptFailure> {
        let Some(last_value) = received.connection.last_value else { return Ok(received) };
        if is_error(&received.reply) {
            return Ok(received);
        }
        if !is_value(&received.reply, last_value) {
            self.values_repeat.set(false);
            return Ok(received);
        }
        let resolved = self.resolve(received, last_value, until).await;
        let is_equal = resolved.as_ref().is_ok_and(|exchanged| is_value(&exchanged.reply, last_value));
        self.values_repeat.set(is_equal);
        if is_equal {
            debug!(self.shared.log, #"reply.equal", "a call has the value of the call before it on its connection";
                "id" => &**request, "server" => &*self.server);
        } else {
            let end = resolved.as_ref().map_or_else(|failure| failure.how.name(), |_| "Answered");
            warn!(self.shared.log, #"reply.duplicate", "a server wrote a reply twice, or may have";
                "id" => &**request, "server" => &*self.server, "end" => end);
        }
        resolved
    }

    /// Reads on behind a value that equals the last one, until it is certain which reply is the call's.
    async fn resolve(
        &self,
        candidate: Exchanged<ReceivedReply>,
        last_value: ValueFingerprint,
        until: Instant,
    ) -> Result<Exchanged<ReceivedReply>, AttemptFailure> {
        let Exchanged { reply: equal_value, mut connection, mut read_delay } = candidate;
        if !connection.fence_pending {
            write_fence(&mut connection, until).await;
        }
        loop {
            if connection.desynchronized {
                return Err(AttemptFailure::unanswered(ConnectionEnd::Malformed));
            }
            connection.acknowledge();
            let scan = |bytes: &[u8], ended: bool| self.scan_following(bytes, ended);
            let next = self.receive(connection, Instant::now(), until, scan).await?;
            connection = next.connection;
            read_delay += next.read_delay;
            match next.reply {
                Following::Fence => {
                    connection.fence_pending = false;
                    return Ok(Exchanged { reply: equal_value, connection, read_delay });
                }
                Following::Reply(reply) if is_value(&reply, last_value) => {}
                Following::Reply(reply) if is_error(&reply) => {
                    // Danger: it may be the fence's, and `-BUSY` would be taken for a call that was never executed.
                    return Err(AttemptFailure::unanswered(ConnectionEnd::Malformed));
                }
                Following::Reply(reply) => return Ok(Exchanged { reply, connection, read_delay }),
            }
        }
    }

    fn scan_following(&self, bytes: &[u8], ended: bool) -> Scanned<Following> {
        if let Some(length) = fence_reply(bytes) {
            return Ok(Some((Following::Fence, length)));
        }
        let reply = call::scan_reply(bytes, ended, self.load_fields())?;
        Ok(reply.map(|(reply, length)| (Following::Reply(reply), length)))
    }

    /// Gives a connection back to the pool, once the reply to its fence has come.
    pub(super) fn release(self: &Rc<Self>, connection: Connection) {
        if connection.fence_pending {
            let upstream = self.clone();
            let release = async move { upstream.release_after_fence(connection).await };
            self.shared.executor.spawn(release).detach();
        } else {
            self.pool.release(connection);
        }
    }

    /// Waits for the fence's reply, and closes the connection where something else comes.
    async fn release_after_fence(&self, mut connection: Connection) {
        let timeout = self.message_timeout();
        let scan = |bytes: &[u8]| match resp::reply(bytes)? {
            Some(_) => {
                fence_reply(bytes).map(|length| Some(((), length))).ok_or("a reply that nobody waits for")
            }
            None => Ok(None),
        };
        if connection.message(scan, Instant::now() + timeout, timeout).await.is_ok() {
            connection.fence_pending = false;
            self.pool.release(connection);
        }
    }
}

/// Writes the fence. Where that fails, what has come already may still be read, and the connection's end after it.
pub(super) async fn write_fence(connection: &mut Connection, until: Instant) {
    let fence = resp::write_command(FENCE);
    let _ = with_deadline(until, ConnectionEnd::TimedOut, connection.write(&fence)).await;
    connection.fence_pending = true;
}

/// The length of a fence's reply, if one is at the front.
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
