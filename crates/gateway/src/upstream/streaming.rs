//! Forwards values that are too long to be buffered whole, while they are being received.
//!
//! Nothing bounds the whole value: its client has received a part of it, so no other server could serve the request. Only a server
//! that stops ends it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{SendError, Sender};
use fernscale_policy::{Id, LoadReport};

use super::Upstream;
use crate::outcome::AttemptFailure;
use crate::protocol::reply::{self, ServerReply, ValueEnd};
use crate::protocol::resp::LongValueHead;
use crate::shared::{Event, Piece, ResponseStream};
use crate::transport::connection::{with_deadline, Connection, MessageLimits};
use crate::transport::ending::ConnectionEnd;

/// How long a server may pause in the middle of a long value.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the line end of a forwarded value whose length can't be too large is held back for what follows it.
const LENGTH_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a server may pause in the middle of the items behind a value, for which no client waits.
const REPORT_STALL_TIMEOUT: Duration = Duration::from_secs(2);

impl Upstream {
    /// Streams a long value to the client, and reads the items that follow it.
    pub(super) async fn stream_value(
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
        let scan = |bytes: &[u8]| reply::scan_after_value(bytes, following_items, false, self.load_fields());
        let limits = MessageLimits::new(Instant::now() + STREAM_STALL_TIMEOUT, REPORT_STALL_TIMEOUT);
        match connection.message(scan, limits).await {
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
    let limits = |max_pause| MessageLimits::new(Instant::now() + STREAM_STALL_TIMEOUT, max_pause);
    let line_end = connection.message(reply::scan_line_end, limits(STREAM_STALL_TIMEOUT));
    line_end.await.map_err(AttemptFailure::unanswered)?;
    let scan =
        |bytes: &[u8], ended: bool| reply::scan_length_confirmation(bytes, value_end, following_items, ended);
    let mut how = ConnectionEnd::Stalled;
    for max_pause in [LENGTH_CONFIRMATION_TIMEOUT, STREAM_STALL_TIMEOUT] {
        how = match connection.message(|bytes| scan(bytes, false), limits(max_pause)).await {
            Ok(()) => return Ok(()),
            Err(how) => how,
        };
        if let Ok(Some(_)) = scan(connection.buffer.filled(), true) {
            return Ok(());
        }
        if how != ConnectionEnd::Stalled {
            break;
        }
    }
    Err(AttemptFailure::unanswered(how))
}

/// The failure of an attempt whose client has disconnected.
fn client_gone<T>(_: SendError<T>) -> AttemptFailure {
    AttemptFailure::unanswered(ConnectionEnd::Cancelled)
}
