//! Streams between gateways: sealed bytes with their length before them.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use fernscale_membership::packet::MAX_STREAM_BYTES;
use futures_lite::future;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};

use crate::transport::stream::{read_exact, write_all};
use crate::transport::syscall::dialled;

/// Bytes that tell a stream's length.
const LENGTH_BYTES: usize = 4;
/// In which an exchange must be over.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn read(stream: &Async<TcpStream>) -> io::Result<Vec<u8>> {
    let prefix = read_exact(stream, LENGTH_BYTES).await?;
    let length = prefix.iter().fold(0, |length, byte| length << u8::BITS | usize::from(*byte));
    if length > MAX_STREAM_BYTES {
        return Err(io::Error::other("too long"));
    }
    read_exact(stream, length).await
}

pub(super) async fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    write_all(stream, &(bytes.len() as u32).to_be_bytes()).await?;
    write_all(stream, bytes).await
}

/// A connection from this address, where it leads there.
pub(super) async fn connect(local_ip: Option<IpAddr>, to: SocketAddr) -> io::Result<Async<TcpStream>> {
    let can_reach = |local_ip: &IpAddr| {
        !local_ip.is_unspecified()
            && local_ip.is_ipv4() == to.is_ipv4()
            && local_ip.is_loopback() == to.ip().is_loopback()
    };
    let Some(local_ip) = local_ip.filter(can_reach) else {
        return dialled(|| Async::<TcpStream>::connect(to)).await;
    };
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    rustix::net::bind(&socket, &SocketAddr::new(local_ip, 0))?;
    match rustix::net::connect(&socket, &to) {
        // One that a signal interrupts goes on all the same.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Sends sealed bytes to a gateway, from an address of this machine if one is given, and gives its sealed answer.
pub async fn dial_and_exchange(
    local_ip: Option<IpAddr>,
    to: SocketAddr,
    sealed: Vec<u8>,
) -> io::Result<Vec<u8>> {
    let work = async {
        let stream = connect(local_ip, to).await?;
        write(&stream, &sealed).await?;
        read(&stream).await
    };
    let late = async {
        Timer::at(Instant::now() + EXCHANGE_TIMEOUT).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    future::or(work, late).await
}
