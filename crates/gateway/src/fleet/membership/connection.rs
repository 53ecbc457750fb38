//! Streams between gateways: connecting, and reading and writing length-prefixed messages. The messages are sealed; this
//! module does not open them.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use fernscale_membership::packet::MAX_STREAM_BYTES;
use futures_lite::future;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};

use crate::transport::stream::{read_exact, write_all};
use crate::transport::syscall::connect_with_retries;

/// Size of a message's length prefix, which is an unsigned integer in big-endian byte order.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Time limit of an exchange, from connecting to the last byte.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads one message. Fails if the length exceeds [`MAX_STREAM_BYTES`].
pub(super) async fn read_message(stream: &Async<TcpStream>) -> io::Result<Vec<u8>> {
    let prefix = read_exact(stream, LENGTH_PREFIX_BYTES).await?;
    let length = prefix.iter().fold(0, |length, byte| length << u8::BITS | usize::from(*byte));
    if length > MAX_STREAM_BYTES {
        return Err(io::Error::other("the message is too long"));
    }
    read_exact(stream, length).await
}

/// Writes one message.
pub(super) async fn write_message(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    write_all(stream, &(bytes.len() as u32).to_be_bytes()).await?;
    write_all(stream, bytes).await
}

/// Connects to a gateway. The source address is `local_ip` if the gateway can be reached from it; otherwise the operating
/// system chooses the source address.
pub(super) async fn connect(local_ip: Option<IpAddr>, to: SocketAddr) -> io::Result<Async<TcpStream>> {
    let can_reach = |local_ip: &IpAddr| {
        !local_ip.is_unspecified()
            && local_ip.is_ipv4() == to.is_ipv4()
            && local_ip.is_loopback() == to.ip().is_loopback()
    };
    let Some(local_ip) = local_ip.filter(can_reach) else {
        return connect_with_retries(|| Async::<TcpStream>::connect(to)).await;
    };
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    rustix::net::bind(&socket, &SocketAddr::new(local_ip, 0))?;
    match rustix::net::connect(&socket, &to) {
        // After an interruption by a signal, the connect continues in the background.
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

/// Sends a sealed message to a gateway and returns the sealed reply. `local_ip` is the source address if the gateway can be
/// reached from it.
///
/// # Errors
/// The errors of the connection, and `TimedOut` if there is no reply within two seconds.
pub async fn dial_and_exchange(
    local_ip: Option<IpAddr>,
    to: SocketAddr,
    sealed: Vec<u8>,
) -> io::Result<Vec<u8>> {
    let exchange = async {
        let stream = connect(local_ip, to).await?;
        write_message(&stream, &sealed).await?;
        read_message(&stream).await
    };
    let timeout = async {
        Timer::at(Instant::now() + EXCHANGE_TIMEOUT).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    future::or(exchange, timeout).await
}
