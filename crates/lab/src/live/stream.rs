//! One connection of a stand-in.

use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::sleep;
use crate::wire::Scanned;
use crate::Micros;

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
