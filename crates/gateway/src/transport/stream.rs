//! Whole pieces on a stream, however little of them the system takes or gives at a time, and whatever signals interrupt it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

use async_io::Async;

use super::syscall::uninterrupted;

/// Bytes that are made room for at a time: memory grows with what comes, not with what was announced.
const PIECE: usize = 16 * 1024;

/// Writes all.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.write_with(|mut stream| uninterrupted(|| stream.write(bytes))).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

/// Reads so many bytes; an error where the stream ends before.
pub async fn read_exact(stream: &Async<TcpStream>, count: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while bytes.len() < count {
        let filled = bytes.len();
        bytes.resize(count.min(filled + PIECE), 0);
        match stream.read_with(|mut stream| uninterrupted(|| stream.read(&mut bytes[filled..]))).await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            came => bytes.truncate(filled + came),
        }
    }
    Ok(bytes)
}
