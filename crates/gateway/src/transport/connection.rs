//! A TCP connection, outgoing or accepted, with its read buffer.

use std::future::Future;
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::task::Poll;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, ready};
use rustix::event::{self, PollFd, PollFlags, Timespec};
use rustix::net::sockopt;

use super::arrival::{time_since_arrival, MIN_READ_DELAY};
use super::buffer::Buffer;
use super::clock::yield_to_arrivals;
use super::ending::ConnectionEnd;
use super::limits::Reservation;
use super::stream::{write_all, write_some};
use super::syscall::{connect_with_retries, uninterrupted};
use crate::protocol::reply::ValueFingerprint;
use crate::protocol::Scanned;

/// Size in bytes of the chunks in which a long value is forwarded. A value occupies up to three chunks: one on each side and one
/// in between. All connections to servers together then use less than a tenth of the smallest memory that can be configured.
const CHUNK_SIZE: usize = 16 * 1024;

/// Bytes of a long value that this process holds at most, while it forwards the value.
pub const MAX_STREAMED_BYTES: usize = 3 * CHUNK_SIZE;

/// Bytes that are read ahead while a reply is awaited, if memory allows it. The end of the connection can't be detected behind
/// unread bytes that the peer's kernel still holds.
pub const MAX_READ_AHEAD: usize = 4 * 1024 * 1024;

/// How often a connection is checked for its end once its peer has sent [`MAX_READ_AHEAD`] bytes.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// How long a message is waited for.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// When its first byte must have been received.
    pub begin_by: Instant,
    /// When its last byte must have been received; `None` if only a pause ends the wait.
    pub deadline: Option<Instant>,
    /// How long the peer may pause in the middle of it. A slow message goes on as long as its bytes come.
    pub max_pause: Duration,
}

impl MessageLimits {
    /// A wait until `deadline` in which the peer may pause for `max_pause`.
    pub fn new(deadline: Instant, max_pause: Duration) -> Self {
        MessageLimits { begin_by: deadline, deadline: Some(deadline), max_pause }
    }

    /// When the wait ends, and how, if the last bytes of the message were received at `last_received_at`.
    fn expiry(&self, last_received_at: Option<Instant>) -> (Instant, ConnectionEnd) {
        let Some(last_received_at) = last_received_at else {
            return (self.begin_by, ConnectionEnd::TimedOut);
        };
        let pause_ends_at = last_received_at + self.max_pause;
        match self.deadline {
            Some(deadline) if deadline <= pause_ends_at => (deadline, ConnectionEnd::TimedOut),
            _ => (pause_ends_at, ConnectionEnd::Stalled),
        }
    }
}

/// A TCP connection to a client, a server or the counter.
pub struct Connection {
    stream: Async<TcpStream>,
    /// The bytes that have been received and not consumed.
    pub buffer: Buffer,
    /// When a message was last written to the connection, or when it became idle.
    pub last_used: Instant,
    /// Whether received replies can no longer be matched to requests.
    pub desynchronized: bool,
    /// The value of the last reply on this connection. `None` if there was no reply, or if its value was not kept in full.
    pub last_value: Option<ValueFingerprint>,
    /// Whether the reply to a fence command is awaited. A fence is written only so that all earlier replies arrive before its
    /// reply.
    pub fence_pending: bool,
    slot: Option<Reservation>,
    /// The address that the connection was opened to. `None` if it was accepted.
    remote_address: Option<SocketAddr>,
}

impl Connection {
    /// Wraps an established connection, which occupies `slot`.
    pub fn new(stream: Async<TcpStream>, buffer: Buffer, slot: Option<Reservation>) -> Self {
        // Messages are small, and the peer waits for each of them.
        let _ = stream.get_ref().set_nodelay(true);
        Connection {
            stream,
            buffer,
            last_used: Instant::now(),
            desynchronized: false,
            last_value: None,
            fence_pending: false,
            slot,
            remote_address: None,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::ConnectTimeout`] after the timeout, or the result of [`ConnectionEnd::from_connect_error`].
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
        buffer: Buffer,
        slot: Option<Reservation>,
    ) -> Result<Self, ConnectionEnd> {
        let connect = async {
            let connected = connect_with_retries(|| Async::<TcpStream>::connect(address)).await;
            connected.map_err(|error| ConnectionEnd::from_connect_error(&error))
        };
        let deadline = Instant::now() + timeout;
        let stream = with_deadline_after_arrivals(deadline, ConnectionEnd::ConnectTimeout, connect).await?;
        Ok(Connection { remote_address: Some(address), ..Connection::new(stream, buffer, slot) })
    }

    /// Receives more bytes into the buffer. The future may be dropped at any time without losing bytes.
    pub async fn read(&mut self) -> Result<(), ConnectionEnd> {
        read(&self.stream, &mut self.buffer).await
    }

    /// Whether the peer has closed the connection for writing, or reset it, as far as the kernel knows: bytes that it sent before may be
    /// unread.
    pub fn is_closed_by_peer(&self) -> bool {
        is_closed_by_peer(&self.stream)
    }

    /// Waits until the peer closes the connection. Bytes received meanwhile are buffered up to `MAX_READ_AHEAD`; the rest stays
    /// unread.
    pub async fn closed(&mut self) -> ConnectionEnd {
        wait_for_close(&self.stream, &mut self.buffer).await
    }

    /// Writes all bytes, as [`Connection::write`] does, and stops as soon as the peer closes the connection. Calls `on_progress`
    /// whenever the peer takes bytes.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::TimedOut`] if the peer takes nothing for `max_pause`, or the end of the connection.
    pub async fn write_unless_closed(
        &mut self,
        mut bytes: &[u8],
        max_pause: Duration,
        on_progress: impl Fn(),
    ) -> Result<(), ConnectionEnd> {
        self.last_used = Instant::now();
        let Connection { stream, buffer, .. } = self;
        while !bytes.is_empty() {
            let write = async { write_some(stream, bytes).await.map_err(|_| ConnectionEnd::IoError) };
            let closed = async { Err(wait_for_close(stream, buffer).await) };
            let deadline = Instant::now() + max_pause;
            let count = with_deadline(deadline, ConnectionEnd::TimedOut, future::or(write, closed)).await?;
            bytes = &bytes[count..];
            on_progress();
        }
        Ok(())
    }

    /// Reads the next chunk of a long value, of `max_length` bytes at most.
    pub async fn read_chunk(&mut self, max_length: usize) -> Result<Vec<u8>, ConnectionEnd> {
        let max_length = max_length.min(CHUNK_SIZE);
        if !self.buffer.is_empty() {
            let filled = self.buffer.filled();
            let chunk = filled[..max_length.min(filled.len())].to_vec();
            self.buffer.consume(chunk.len());
            return Ok(chunk);
        }
        let mut chunk = vec![0; max_length];
        match self.stream.read_with(|mut stream| uninterrupted(|| stream.read(&mut chunk))).await {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(count) => {
                chunk.truncate(count);
                Ok(chunk)
            }
            Err(_) => Err(ConnectionEnd::IoError),
        }
    }

    /// Writes all bytes. The last byte is written only if this succeeds.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        self.last_used = Instant::now();
        write_all(&self.stream, bytes).await.map_err(|_| ConnectionEnd::IoError)
    }

    /// Whether the connection was opened to this address.
    pub fn is_connected_to(&self, address: SocketAddr) -> bool {
        self.remote_address == Some(address)
    }

    /// Moves the connection to another slot, and frees the slot that it had.
    pub fn move_reservation(&mut self, slot: Reservation) {
        self.slot = Some(slot);
    }

    /// Shuts the connection down for writing.
    pub fn finish(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Reads until a complete message has been received, and consumes it. It may be called again after a limit was reached.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::TimedOut`] after a deadline, [`ConnectionEnd::Stalled`] if the peer pauses for too long in the middle of
    /// the message, [`ConnectionEnd::Malformed`] if the message is invalid, or the end of the connection.
    pub async fn message<T>(
        &mut self,
        mut scan: impl FnMut(&[u8]) -> Scanned<T>,
        limits: MessageLimits,
    ) -> Result<T, ConnectionEnd> {
        let mut may_have_more = false;
        loop {
            if let Some((message, length)) =
                scan(self.buffer.filled()).map_err(|_| ConnectionEnd::Malformed)?
            {
                self.buffer.consume(length);
                return Ok(message);
            }
            if may_have_more && self.read_available()? {
                continue;
            }
            let (expires_at, expiry) = limits.expiry(self.buffer.last_received_at());
            let read = with_deadline(expires_at, expiry, self.read()).await;
            // A read that filled the buffer, or ran late, may have left bytes in the socket that arrived in time.
            may_have_more = self.buffer.is_full();
            match read {
                Err(ConnectionEnd::Stalled | ConnectionEnd::TimedOut) if self.read_available()? => {
                    may_have_more = true;
                }
                other => other?,
            }
        }
    }

    /// Reads the bytes that the kernel has received, without waiting. Returns false if there are none.
    fn read_available(&mut self) -> Result<bool, ConnectionEnd> {
        let spare = self.buffer.spare()?;
        match uninterrupted(|| (&mut self.stream.get_ref()).read(spare)) {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(count) => {
                self.buffer.advance(count);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(ConnectionEnd::IoError),
        }
    }

    /// Sends a TCP acknowledgement of the read bytes at once. A server with Nagle's algorithm delays its next small write until
    /// then.
    pub fn acknowledge(&self) {
        // If the option can't be set, the kernel sends the acknowledgement some 40 ms later.
        let _ = sockopt::set_tcp_quickack(&self.stream, true);
    }

    /// How late this process read the bytes that it has just read, or noticed that the connection was established. The delay is at
    /// most the time since `waited_since`. It is zero if the kernel does not report it, or if it is below [`MIN_READ_DELAY`].
    pub fn read_delay(&self, waited_since: Instant) -> Duration {
        let waited = waited_since.elapsed();
        if waited < MIN_READ_DELAY {
            return Duration::ZERO;
        }
        self.unread_time().min(waited)
    }

    /// How long ago the kernel received the bytes that were just read. Zero if the kernel does not report it, or below
    /// [`MIN_READ_DELAY`].
    pub fn unread_time(&self) -> Duration {
        let time = time_since_arrival(self.stream.get_ref()).unwrap_or_default();
        if time < MIN_READ_DELAY {
            Duration::ZERO
        } else {
            time
        }
    }

    /// Whether the connection is open and the kernel holds no unread bytes. The buffer may hold bytes.
    pub fn is_open_and_idle(&self) -> bool {
        let peeked = uninterrupted(|| self.stream.get_ref().peek(&mut [0]));
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the connection is open, with no unread bytes in the kernel or the buffer. An idle connection may have been closed
    /// by the peer, and a write to it would be lost.
    pub fn has_no_input(&self) -> bool {
        self.buffer.is_empty() && self.is_open_and_idle()
    }
}

async fn read(stream: &Async<TcpStream>, buffer: &mut Buffer) -> Result<(), ConnectionEnd> {
    let spare = buffer.spare()?;
    // Mostly no bytes have arrived yet: a read before the socket is ready would waste a system call at each wakeup.
    let read = future::poll_fn(|context| loop {
        if let Err(error) = ready!(stream.poll_readable(context)) {
            return Poll::Ready(Err(error));
        }
        match uninterrupted(|| (&mut stream.get_ref()).read(spare)) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    });
    match read.await {
        Ok(0) => Err(ConnectionEnd::Closed),
        Ok(count) => {
            buffer.advance(count);
            Ok(())
        }
        Err(_) => Err(ConnectionEnd::IoError),
    }
}

async fn wait_for_close(stream: &Async<TcpStream>, buffer: &mut Buffer) -> ConnectionEnd {
    loop {
        if buffer.filled().len() < MAX_READ_AHEAD {
            match read(stream, buffer).await {
                Ok(()) => continue,
                Err(end @ (ConnectionEnd::Closed | ConnectionEnd::IoError)) => return end,
                // The buffer is full.
                Err(_) => {}
            }
        }
        if is_closed_by_peer(stream) {
            return ConnectionEnd::Closed;
        }
        Timer::after(CLOSE_POLL_INTERVAL).await;
    }
}

fn is_closed_by_peer(stream: &Async<TcpStream>) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    event::poll(&mut polled, Some(&Timespec::default())).is_ok() && !polled[0].revents().is_empty()
}

/// Runs `work` until the deadline, and fails with `end` once the deadline has passed.
pub async fn with_deadline<T>(
    deadline: Instant,
    end: ConnectionEnd,
    work: impl Future<Output = Result<T, ConnectionEnd>>,
) -> Result<T, ConnectionEnd> {
    let timeout = async {
        Timer::at(deadline).await;
        Err(end)
    };
    future::or(work, timeout).await
}

/// Like [`with_deadline`], but lets `work` handle what its sockets have received by the deadline before it fails.
///
/// In a process that was suspended, the timer may fire before the reactor has polled the sockets.
async fn with_deadline_after_arrivals<T>(
    deadline: Instant,
    end: ConnectionEnd,
    work: impl Future<Output = Result<T, ConnectionEnd>>,
) -> Result<T, ConnectionEnd> {
    let timeout = async {
        Timer::at(deadline).await;
        yield_to_arrivals().await;
        Err(end)
    };
    future::or(work, timeout).await
}
