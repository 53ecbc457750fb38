//! When bytes came to this machine, by the system's own record of their connection.
//!
//! A process that was suspended, or whose event loop was held, reads an answer long after it came. The system notes the arrival
//! by a clock that nobody can set, and this module asks it. It decides nothing.

use std::mem;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Delays below this are taken for none: the system notes arrivals in steps of 1 to 10 ms.
pub const MIN_READ_DELAY: Duration = Duration::from_millis(20);

/// How long ago something last came on this connection, a byte or its being established, as `TCP_INFO` of tcp(7) gives it; none
/// where the system does not say.
pub fn time_since_arrival(stream: &TcpStream) -> Option<Duration> {
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
    (result == 0).then(|| Duration::from_millis(info.tcpi_last_data_recv.into()))
}
