//! Reads and writes of a given length on a stream, in spite of partial transfers and of signals that interrupt system calls.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

use async_io::Async;

use super::syscall::uninterrupted;

/// Bytes by which the buffer grows at a time, so that memory grows with the received bytes and not with the announced length.
const READ_STEP: usize = 16 * 1024;

/// Writes all bytes.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = write_some(stream, bytes).await?;
        bytes = &bytes[count..];
    }
    Ok(())
}

/// Writes at least one byte, as many as the stream takes now, and gives their number. `bytes` must not be empty.
pub async fn write_some(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    match stream.write_with(|mut stream| uninterrupted(|| stream.write(bytes))).await? {
        0 => Err(ErrorKind::WriteZero.into()),
        count => Ok(count),
    }
}

/// Reads `count` bytes. Fails with `UnexpectedEof` if the stream ends earlier.
pub async fn read_exact(stream: &Async<TcpStream>, count: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while bytes.len() < count {
        let filled = bytes.len();
        bytes.resize(count.min(filled + READ_STEP), 0);
        match stream.read_with(|mut stream| uninterrupted(|| stream.read(&mut bytes[filled..]))).await? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            received => bytes.truncate(filled + received),
        }
    }
    Ok(bytes)
}
