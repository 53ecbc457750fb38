//! The gateway process.
//!
//! - `transport` and `protocol` handle sockets, buffers and message formats.
//! - `downstream` serves client connections, `upstream` forwards attempts to servers.
//! - `dispatcher` runs the decision engine between `downstream` and `upstream`.
//! - `discovery` and `counter` are the clients of those services; `operator` serves operators.
//! - `fleet` works with the other gateways, `hot_restart` with other processes of this gateway.
//! - `program` reads the configuration, and starts and stops all of these.
//! - `shared` holds the state that the actors share, `outcome` interprets how connections end, and `rejection` records
//!   requests that are rejected before the engine gets them.

pub mod counter;
pub mod discovery;
pub mod dispatcher;
pub mod downstream;
pub mod fleet;
pub mod hot_restart;
pub mod operator;
pub mod outcome;
pub mod program;
pub mod protocol;
mod rejection;
pub mod shared;
pub mod transport;
pub mod upstream;
