//! Sockets and what they need: connections, their buffers, how they end, how many there may be.

pub mod buffer;
pub mod calls;
pub mod clock;
pub mod connection;
pub mod ending;
pub mod limits;
pub mod stream;
pub mod wall;
