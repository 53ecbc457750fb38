//! How a connection task writes replies, in the order of the commands.

use std::time::{Duration, Instant};

use futures_lite::future;

use super::connection_task::ConnectionTask;
use super::pipeline::{Counted, ReadyReply, Response};
use crate::operator::metrics::ResponseResult;
use crate::shared::{Piece, ResponseStream};
use crate::transport::connection::with_deadline;
use crate::transport::ending::ConnectionEnd;

/// How long a client may read nothing while a reply is written. Danger: its replies would be retained for ever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

impl ConnectionTask {
    /// Writes the replies that are ready and next in order.
    pub(super) async fn write_replies(&mut self) -> Result<(), ConnectionEnd> {
        while let Some(ReadyReply { response, counted, reservations }) = self.pipeline.pop_ready() {
            let written = match response {
                Response::Complete(bytes) => self.write_bytes(&bytes).await,
                Response::Streamed(stream) => self.write_stream(stream).await,
            };
            if let Some(Counted { class, result }) = counted {
                let result = if written.is_ok() { result } else { ResponseResult::Failed };
                self.context.shared.metrics.request_answered(class, result);
            }
            written?;
            drop(reservations);
        }
        Ok(())
    }

    async fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        let until = Instant::now() + WRITE_TIMEOUT;
        with_deadline(until, ConnectionEnd::TimedOut, self.connection.write_unless_closed(bytes)).await
    }

    /// Writes a long value as its pieces come. Where they break off the connection ends, so that the client can tell.
    async fn write_stream(&mut self, stream: ResponseStream) -> Result<(), ConnectionEnd> {
        self.write_bytes(format!("${}\r\n", stream.length).as_bytes()).await?;
        loop {
            let piece = async { stream.pieces.recv().await.map_err(|_| ConnectionEnd::IoError) };
            let disconnected = async { Err(self.connection.closed().await) };
            match future::or(piece, disconnected).await? {
                Piece::Bytes(bytes) => self.write_bytes(&bytes).await?,
                Piece::End => return self.write_bytes(b"\r\n").await,
            }
        }
    }
}
