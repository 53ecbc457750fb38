//! One connection: dialled or accepted, read into its buffer, written to.

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
use super::syscall::{dialled, uninterrupted};
use crate::protocol::call::ValueFingerprint;
use crate::protocol::Scanned;

/// Bytes of a long value that are passed on at a time. A value takes three such pieces, one on each side and one between
/// them; all connections to servers together then take less than a tenth of the least memory.
const PIECE: usize = 16 * 1024;

/// Bytes that are read ahead of their turn: behind them the end of a connection could not be seen; and how often it is looked at
/// whether one has ended that has written more than that.
const AHEAD: usize = 64 * 1024;
const LOOK: Duration = Duration::from_millis(100);

pub struct Connection {
    stream: Async<TcpStream>,
    pub buffer: Buffer,
    /// When it was last used.
    pub used: Instant,
    /// What comes on it can't be told apart any more.
    pub spoilt: bool,
    /// The value of the last call that was answered on it; none where there was none, or it was not kept complete.
    pub last_value: Option<ValueFingerprint>,
    /// The reply to a command is still to come that was written only to have all replies before it.
    pub fence_pending: bool,
    place: Option<Reservation>,
    /// Where it was dialled to.
    to: Option<SocketAddr>,
}

impl Connection {
    pub fn new(stream: Async<TcpStream>, buffer: Buffer, place: Option<Reservation>) -> Self {
        // Messages are small and each is waited for.
        let _ = stream.get_ref().set_nodelay(true);
        Connection {
            stream,
            buffer,
            used: Instant::now(),
            spoilt: false,
            last_value: None,
            fence_pending: false,
            place,
            to: None,
        }
    }

    pub async fn connect(
        to: SocketAddr,
        limit: Duration,
        buffer: Buffer,
        place: Option<Reservation>,
    ) -> Result<Self, ConnectionEnd> {
        let dial = async {
            dialled(|| Async::<TcpStream>::connect(to)).await.map_err(|error| ConnectionEnd::of_dial(&error))
        };
        let stream = within(Instant::now() + limit, ConnectionEnd::NeverUp, dial).await?;
        Ok(Connection { to: Some(to), ..Connection::new(stream, buffer, place) })
    }

    /// Waits for more bytes. May be dropped at any time without losing any.
    pub async fn read(&mut self) -> Result<(), ConnectionEnd> {
        read(&self.stream, &mut self.buffer).await
    }

    /// Waits for the other side to end. What comes meanwhile is kept as far as there is room, and what is more stays unread.
    pub async fn closed(&mut self) -> ConnectionEnd {
        ended(&self.stream, &mut self.buffer).await
    }

    /// Writes all, as [`Connection::write`] does, and gives up as soon as the other side has ended.
    pub async fn write_unless_closed(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        self.used = Instant::now();
        let Connection { stream, buffer, .. } = self;
        let write = async { write_all(stream, bytes).await.map_err(|_| ConnectionEnd::Broken) };
        future::or(write, async { Err(ended(stream, buffer).await) }).await
    }

    /// The next bytes of a long value, `most` of them at most and as many as a piece has.
    pub async fn read_chunk(&mut self, most: usize) -> Result<Vec<u8>, ConnectionEnd> {
        let most = most.min(PIECE);
        if !self.buffer.is_empty() {
            let filled = self.buffer.filled();
            let piece = filled[..most.min(filled.len())].to_vec();
            self.buffer.consume(piece.len());
            return Ok(piece);
        }
        let mut piece = vec![0; most];
        match self.stream.read_with(|mut stream| uninterrupted(|| stream.read(&mut piece))).await {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(count) => {
                piece.truncate(count);
                Ok(piece)
            }
            Err(_) => Err(ConnectionEnd::Broken),
        }
    }

    /// Writes all; the last byte is written only if this succeeds.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionEnd> {
        self.used = Instant::now();
        write_all(&self.stream, bytes).await.map_err(|_| ConnectionEnd::Broken)
    }

    pub fn is_connected_to(&self, address: SocketAddr) -> bool {
        self.to == Some(address)
    }

    /// Stands in another place from now on; the one that it had is free.
    pub fn move_reservation(&mut self, place: Reservation) {
        self.place = Some(place);
    }

    /// Says that nothing more will be written.
    pub fn finish(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Reads until a whole message has come, and hands it on. One that has begun must end within `piece`.
    pub async fn message<T>(
        &mut self,
        mut scan: impl FnMut(&[u8]) -> Scanned<T>,
        until: Instant,
        piece: Duration,
    ) -> Result<T, ConnectionEnd> {
        let mut takes_rest = false;
        loop {
            if let Some((message, length)) = scan(self.buffer.filled()).map_err(|_| ConnectionEnd::Garbled)? {
                self.buffer.consume(length);
                return Ok(message);
            }
            if takes_rest && self.read_available()? {
                continue;
            }
            let read = match self.buffer.since().map(|since| since + piece).filter(|torn| *torn < until) {
                Some(torn) => within(torn, ConnectionEnd::Garbled, self.read()).await,
                None => within(until, ConnectionEnd::Silent, self.read()).await,
            };
            // What has filled the room, or is read late, may have its rest in the system already. It came in time.
            takes_rest = self.buffer.is_full();
            match read {
                Err(ConnectionEnd::Garbled | ConnectionEnd::Silent) if self.read_available()? => {
                    takes_rest = true;
                }
                other => other?,
            }
        }
    }

    /// Reads what has come, without waiting. False where nothing has.
    fn read_available(&mut self) -> Result<bool, ConnectionEnd> {
        let room = self.buffer.spare()?;
        match uninterrupted(|| (&mut self.stream.get_ref()).read(room)) {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(count) => {
                self.buffer.advance(count);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(ConnectionEnd::Broken),
        }
    }

    /// Acknowledges at once what has been read: a server that gathers small writes holds the next one back until then.
    pub fn acknowledge(&self) {
        // Where the system refuses, the acknowledgement comes by itself, some 40 ms later.
        let _ = sockopt::set_tcp_quickack(&self.stream, true);
    }

    /// For how long what has just been read, or the establishing of this connection, had waited for this process, of the time
    /// since it has been waited for. Zero where the system does not say, or hardly any.
    pub fn read_delay(&self, waited_since: Instant) -> Duration {
        let waited = waited_since.elapsed();
        if waited < MIN_READ_DELAY {
            return Duration::ZERO;
        }
        self.unread_time().min(waited)
    }

    /// For how long what has just been read had lain in the system. Zero where the system does not say, or hardly any.
    pub fn unread_time(&self) -> Duration {
        let time = time_since_arrival(self.stream.get_ref()).unwrap_or_default();
        if time < MIN_READ_DELAY {
            Duration::ZERO
        } else {
            time
        }
    }

    /// Nothing has come that is not in the buffer; false, too, once the other side has closed it.
    pub fn is_open_and_idle(&self) -> bool {
        let looked = uninterrupted(|| self.stream.get_ref().peek(&mut [0]));
        matches!(looked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether it is open with nothing left to read: an idle one may have ended, and a write would be lost.
    pub fn has_no_input(&self) -> bool {
        self.buffer.is_empty() && self.is_open_and_idle()
    }
}

async fn read(stream: &Async<TcpStream>, buffer: &mut Buffer) -> Result<(), ConnectionEnd> {
    let room = buffer.spare()?;
    // To try a read first would be in vain nearly always, and again with each wake of a task that waits for
    // several things.
    let read = future::poll_fn(|context| loop {
        if let Err(error) = ready!(stream.poll_readable(context)) {
            return Poll::Ready(Err(error));
        }
        match uninterrupted(|| (&mut stream.get_ref()).read(room)) {
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
        Err(_) => Err(ConnectionEnd::Broken),
    }
}

async fn ended(stream: &Async<TcpStream>, buffer: &mut Buffer) -> ConnectionEnd {
    loop {
        if buffer.filled().len() < AHEAD {
            match read(stream, buffer).await {
                Ok(()) => continue,
                Err(how @ (ConnectionEnd::Closed | ConnectionEnd::Broken)) => return how,
                // There is no room: only whether it has ended is looked at.
                Err(_) => {}
            }
        }
        let mut looked = [PollFd::new(stream, PollFlags::RDHUP)];
        if event::poll(&mut looked, Some(&Timespec::default())).is_ok() && !looked[0].revents().is_empty() {
            return ConnectionEnd::Closed;
        }
        Timer::after(LOOK).await;
    }
}

/// The outcome of some work, or an ending once the time has come.
///
/// A process that stood still may be woken by the timer before it has looked at its sockets: the work then goes on first with
/// what has come to them.
pub async fn within<T>(
    until: Instant,
    ending: ConnectionEnd,
    work: impl Future<Output = Result<T, ConnectionEnd>>,
) -> Result<T, ConnectionEnd> {
    let late = async {
        Timer::at(until).await;
        yield_to_arrivals().await;
        Err(ending)
    };
    future::or(work, late).await
}
