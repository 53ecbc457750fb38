//! How a connection task writes replies in the order of the commands.

use std::time::Duration;

use futures_lite::future;

use super::connection_task::ConnectionTask;
use super::pipeline::{MetricLabels, ReadyReply, Response};
use super::unwritten::ReplyProgress;
use crate::operator::metrics::ResponseResult;
use crate::shared::{Piece, ResponseStream};
use crate::transport::ending::ConnectionEnd;

/// How long writing a reply may be blocked because the client does not read. Danger: the replies of such a client would be kept
/// in memory forever.
const MAX_CLIENT_PAUSE: Duration = Duration::from_secs(10);

impl ConnectionTask {
    /// Writes replies in order until the first command without a reply.
    pub(super) async fn write_replies(&mut self) -> Result<(), ConnectionEnd> {
        while let Some(ReadyReply { response, metric_labels, reservations }) = self.pipeline.pop_ready() {
            let progress = self.context.shared.unwritten_replies.enter(self.number);
            let written = match response {
                Response::Complete(bytes) => self.write_bytes(&bytes, &progress).await,
                Response::Streamed(stream) => self.write_stream(stream, &progress).await,
            };
            if let Some(MetricLabels { class, result }) = metric_labels {
                let result = if written.is_ok() { result } else { ResponseResult::Failed };
                self.context.shared.metrics.request_answered(class, result);
            }
            written?;
            drop(reservations);
        }
        Ok(())
    }

    async fn write_bytes(&mut self, bytes: &[u8], progress: &ReplyProgress) -> Result<(), ConnectionEnd> {
        let on_progress = || progress.client_read();
        self.connection.write_unless_closed(bytes, MAX_CLIENT_PAUSE, on_progress).await
    }

    /// Writes a long value piece by piece as its pieces arrive. If they stop before the end, the connection ends, so that the
    /// client notices the truncation.
    async fn write_stream(
        &mut self,
        stream: ResponseStream,
        progress: &ReplyProgress,
    ) -> Result<(), ConnectionEnd> {
        self.write_bytes(format!("${}\r\n", stream.length).as_bytes(), progress).await?;
        loop {
            progress.awaits_server();
            let piece = async { stream.pieces.recv().await.map_err(|_| ConnectionEnd::IoError) };
            let disconnected = async { Err(self.connection.closed().await) };
            let piece = future::or(piece, disconnected).await?;
            progress.client_read();
            match piece {
                Piece::Bytes(bytes) => self.write_bytes(&bytes, progress).await?,
                Piece::End => return self.write_bytes(b"\r\n", progress).await,
            }
        }
    }
}
