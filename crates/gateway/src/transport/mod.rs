//! Sockets and what they need: connections, their buffers, how they end, how many there may be.

pub mod arrival;
pub mod buffer;
pub mod clock;
pub mod connection;
pub mod ending;
pub mod limits;
pub mod loop_timer;
pub mod stream;
pub mod syscall;
pub mod wall_clock;
