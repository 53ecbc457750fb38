//! A connection, outgoing or accepted, with its read buffer.

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
use super::stream::write_all;
use super::syscall::{connect_with_retries, uninterrupted};
use crate::protocol::call::ValueFingerprint;
use crate::protocol::Scanned;

/// Size in bytes of the chunks in which a long value is passed on. A value takes three of them, one on each side and one in
/// between; all connections to servers together then take less than a tenth of the least memory.
const CHUNK_SIZE: usize = 16 * 1024;

/// Bytes that are read ahead while a reply is awaited: behind unread bytes the end of the connection could not be seen.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// How often a connection whose other side has sent more than that is checked for its end.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A TCP connection to a client, a server or the counter.
pub struct Connection {
    stream: Async<TcpStream>,
    /// What has been received and not consumed.
    pub buffer: Buffer,
    /// When a message was last written to it, or it became idle.
    pub last_used: Instant,
    /// What is received on it can't be assigned to requests any more.
    pub desynchronized: bool,
    /// The value of the last call that was answered on it; none where there was none, or it was not kept complete.
    pub last_value: Option<ValueFingerprint>,
    /// The reply to a command is still to come that was written only to have all replies before it.
    pub fence_pending: bool,
    slot: Option<Reservation>,
    /// The address that it was opened to; none where it was accepted.
    remote_address: Option<SocketAddr>,
}

impl Connection {
    /// An established connection that takes this slot.
    pub fn new(stream: Async<TcpStream>, buffer: Buffer, slot: Option<Reservation>) -> Self {
        // Messages are small and each is waited for.
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
    /// [`ConnectionEnd::ConnectTimeout`] after the timeout, else as [`ConnectionEnd::from_connect_error`] has it.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
        buffer: Buffer,
        slot: Option<Reservation>,
    ) -> Result<Self, ConnectionEnd> {
        let dial = async {
            let connected = connect_with_retries(|| Async::<TcpStream>::connect(address)).await;
            connected.map_err(|error| ConnectionEnd::from_connect_error(&error))
        };
        let deadline = Instant::now() + timeout;
        let stream = with_deadline_and_arrivals(deadline, ConnectionEnd::ConnectTimeout, dial).await?;
        Ok(Connection { remote_address: Some(address), ..Connection::new(stream, buffer, slot) })
    }

    /// Receives more bytes into the buffer. May be dropped at any time without losing any.
    pub async fn read(&mut self) -> Result<(), ConnectionEnd> {
        read(&self.stream, &mut self.buffer).await
    }

    /// Waits until the other side closes. What is received meanwhile is buffered as far as there is space, the rest stays unread.
    pub async fn closed(&mut self) -> ConnectionEnd {
        wait_for_close(&self.stream, &mut self.buffer).await
    }

    /// Writes all, as [`Connection::write`] does, and stops as soon as the other side closes.
    pub async fn write_unless_closed(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        self.last_used = Instant::now();
        let Connection { stream, buffer, .. } = self;
        let write = async { write_all(stream, bytes).await.map_err(|_| ConnectionEnd::IoError) };
        future::or(write, async { Err(wait_for_close(stream, buffer).await) }).await
    }

    /// The next chunk of a long value, of `max_length` bytes at most.
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

    /// Writes all; the last byte is written only if this succeeds.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        self.last_used = Instant::now();
        write_all(&self.stream, bytes).await.map_err(|_| ConnectionEnd::IoError)
    }

    /// Whether it was opened to this address.
    pub fn is_connected_to(&self, address: SocketAddr) -> bool {
        self.remote_address == Some(address)
    }

    /// Takes another slot; the one that it had is free.
    pub fn move_reservation(&mut self, slot: Reservation) {
        self.slot = Some(slot);
    }

    /// Closes the direction to the other side: nothing more will be written.
    pub fn finish(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Reads until a complete message has been received, and consumes it. One that has begun must be complete within
    /// `message_timeout`.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::TimedOut`] after the deadline, [`ConnectionEnd::Malformed`] where the message is not valid or
    /// took too long, or the way in which the connection ended.
    pub async fn message<T>(
        &mut self,
        mut scan: impl FnMut(&[u8]) -> Scanned<T>,
        deadline: Instant,
        message_timeout: Duration,
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
            let message_deadline = self.buffer.message_began_at().map(|began_at| began_at + message_timeout);
            let read = match message_deadline.filter(|message_deadline| *message_deadline < deadline) {
                Some(earlier) => with_deadline(earlier, ConnectionEnd::Malformed, self.read()).await,
                None => with_deadline(deadline, ConnectionEnd::TimedOut, self.read()).await,
            };
            // A read that filled the buffer, or came late, may have left bytes in the socket that were there in time.
            may_have_more = self.buffer.is_full();
            match read {
                Err(ConnectionEnd::Malformed | ConnectionEnd::TimedOut) if self.read_available()? => {
                    may_have_more = true;
                }
                other => other?,
            }
        }
    }

    /// Reads what the system has received, without waiting. False where that is nothing.
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

    /// Acknowledges at once what has been read: a server with Nagle's algorithm holds the next small write back until then.
    pub fn acknowledge(&self) {
        // Where the system refuses, the acknowledgement comes by itself, some 40 ms later.
        let _ = sockopt::set_tcp_quickack(&self.stream, true);
    }

    /// How late this process read what it has just read, or noticed that the connection was established, of the time that it has
    /// waited for that. Zero where the system does not say, or below [`MIN_READ_DELAY`].
    pub fn read_delay(&self, waited_since: Instant) -> Duration {
        let waited = waited_since.elapsed();
        if waited < MIN_READ_DELAY {
            return Duration::ZERO;
        }
        self.unread_time().min(waited)
    }

    /// How long ago the system received what has just been read. Zero where it does not say, or below [`MIN_READ_DELAY`].
    pub fn unread_time(&self) -> Duration {
        let time = time_since_arrival(self.stream.get_ref()).unwrap_or_default();
        if time < MIN_READ_DELAY {
            Duration::ZERO
        } else {
            time
        }
    }

    /// Whether it is open and the system has received nothing that is not in the buffer.
    pub fn is_open_and_idle(&self) -> bool {
        let peeked = uninterrupted(|| self.stream.get_ref().peek(&mut [0]));
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether it is open with nothing left to read: an idle one may have been closed, and a write would be lost.
    pub fn has_no_input(&self) -> bool {
        self.buffer.is_empty() && self.is_open_and_idle()
    }
}

async fn read(stream: &Async<TcpStream>, buffer: &mut Buffer) -> Result<(), ConnectionEnd> {
    let spare = buffer.spare()?;
    // Nearly always nothing is there yet: a read before readiness would be a system call for nothing at each wakeup.
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
        let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
        if event::poll(&mut polled, Some(&Timespec::default())).is_ok() && !polled[0].revents().is_empty() {
            return ConnectionEnd::Closed;
        }
        Timer::after(CLOSE_POLL_INTERVAL).await;
    }
}

/// The result of some work, or an end once the deadline has passed.
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

/// As [`with_deadline`], and once the deadline has passed the work goes on first with what sockets have received by then.
///
/// A process that stood still may be woken by the timer before it has looked at its sockets.
async fn with_deadline_and_arrivals<T>(
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
