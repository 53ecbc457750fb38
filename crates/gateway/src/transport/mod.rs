//! Connections and their buffers, why connections end, resource limits, and the clocks.

pub mod arrival;
pub mod buffer;
pub mod clock;
pub mod connection;
pub mod ending;
pub mod limits;
pub mod loop_timer;
pub mod reply_memory;
pub mod stream;
pub mod syscall;
pub mod wall_clock;
