//! When bytes arrived at this machine, by the kernel's record of their connection.
//!
//! A process that was suspended, or whose event loop was blocked, reads a reply long after it arrived. The kernel records the
//! arrival by a clock that can't be set. This module reads that record and decides nothing.

use std::mem;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Shorter delays count as zero: the kernel records arrivals in steps of 1 to 10 ms.
pub const MIN_READ_DELAY: Duration = Duration::from_millis(20);

/// Time since the last byte arrived on the connection, or since it was established if no byte has arrived, as `TCP_INFO` of
/// tcp(7) reports it. `None` if the kernel does not report it.
pub fn time_since_arrival(stream: &TcpStream) -> Option<Duration> {
    // SAFETY: all fields are numbers, for which zero is a valid value.
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
    (result == 0).then(|| Duration::from_millis(info.tcpi_last_data_recv.into()))
}
