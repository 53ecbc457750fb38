//! One connection of a stand-in.

use std::io::{self, ErrorKind};
use std::mem;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::sleep;
use crate::wire::Scanned;
use crate::{Micros, MILLISECOND};

/// How long ago the system received something on a connection, to a millisecond, however late the lab reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiveTimes {
    /// The last bytes.
    pub data: Micros,
    /// The other side's end; none where it has not come, or was a reset, whose time the system does not keep.
    pub end: Option<Micros>,
}

#[derive(Clone)]
pub struct Stream {
    io: Rc<Async<TcpStream>>,
    pub bytes: Vec<u8>,
}

impl Stream {
    pub fn new(io: Async<TcpStream>) -> Self {
        let _ = io.get_ref().set_nodelay(true);
        Stream { io: Rc::new(io), bytes: Vec::new() }
    }

    pub async fn dial(to: SocketAddr, limit: Micros) -> io::Result<Stream> {
        let late = async {
            sleep(limit).await;
            Err(io::Error::from(ErrorKind::TimedOut))
        };
        let io = future::or(Async::<TcpStream>::connect(to), late).await?;
        // A port of this range that nobody listens on may connect with itself.
        if io.get_ref().local_addr()? == to {
            return Err(io::Error::from(ErrorKind::ConnectionRefused));
        }
        Ok(Stream::new(io))
    }

    /// Another handle on the connection, without what has come on this one.
    pub fn other(&self) -> Stream {
        Stream { io: self.io.clone(), bytes: Vec::new() }
    }

    /// Waits for more bytes, and says how many came; an error at the end. May be dropped without losing any.
    pub async fn more(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        match (&*self.io).read(&mut part).await? {
            0 => Err(io::Error::from(ErrorKind::UnexpectedEof)),
            count => {
                self.bytes.extend_from_slice(&part[..count]);
                Ok(count)
            }
        }
    }

    /// The next whole thing, taken off the front.
    pub async fn next<T>(&mut self, scan: impl Fn(&[u8]) -> Scanned<T>) -> io::Result<T> {
        loop {
            if let Some((thing, used)) = scan(&self.bytes).map_err(io::Error::other)? {
                self.bytes.drain(..used);
                return Ok(thing);
            }
            self.more().await?;
        }
    }

    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.io).write_all(bytes).await
    }

    /// What has come and was not taken, and whether the connection is still open.
    pub fn look(&self) -> (usize, bool) {
        match self.io.get_ref().peek(&mut [0; 256]) {
            Ok(0) => (self.bytes.len(), false),
            Ok(count) => (self.bytes.len() + count, true),
            Err(error) => (self.bytes.len(), error.kind() == ErrorKind::WouldBlock),
        }
    }

    /// How long ago the system last received on this connection; none where it does not say.
    pub fn receive_times(&self) -> Option<ReceiveTimes> {
        tcp_info(self.io.get_ref()).map(|info| ReceiveTimes::of(&info))
    }

    /// Where this side is.
    pub fn local(&self) -> Option<SocketAddr> {
        self.io.get_ref().local_addr().ok()
    }

    /// Where the other side is.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.io.get_ref().peer_addr().ok()
    }

    pub fn finish(&self) {
        let _ = self.io.get_ref().shutdown(Shutdown::Write);
    }

    /// From now on its end is a reset, at once, whatever is still on its way.
    pub fn reset(&self) {
        let _ = rustix::net::sockopt::set_socket_linger(&*self.io, Some(Duration::ZERO));
    }
}

impl ReceiveTimes {
    fn of(info: &libc::tcp_info) -> Self {
        let ago = |milliseconds: u32| Micros::from(milliseconds) * MILLISECOND;
        // The other side's end is an acknowledgement too, and nothing comes behind it.
        let end = (info.tcpi_state == CLOSE_WAIT).then(|| ago(info.tcpi_last_ack_recv));
        ReceiveTimes { data: ago(info.tcpi_last_data_recv), end }
    }
}

/// The state of a connection that the other side alone has ended, as `TCP_INFO` gives it.
const CLOSE_WAIT: u8 = 8;

/// What the system knows of a connection, by `TCP_INFO` of tcp(7).
fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    // SAFETY: all fields are numbers, for which zero is a value.
    let mut info: libc::tcp_info = unsafe { mem::zeroed() };
    let mut length = mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `stream` is borrowed, and at most `length` bytes are written to `info`.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    (result == 0).then_some(info)
}
