//! Clients: the listening socket, and the task of each connection.
//!
//! It owns which connections are open and what is pipelined on each. Requests go to the dispatcher as events and come back as
//! final replies; nothing here chooses a server or judges a request.

mod commands;
mod connection_task;
mod ending;
mod idle;
mod listener;
mod pipeline;
mod writing;

use std::time::Duration;

pub use self::listener::Listener;

/// How long after the beginning of a shutdown new connections and requests are still served: load balancers take some tenths
/// of a second to send them elsewhere.
pub const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Time between two errors about commands, for all clients together, and before the slot of a connection that was evicted
/// from waiting for one is used again. Danger: clients that repeat an invalid command as soon as they get the error
/// would take all of a core.
const PROTOCOL_ERROR_INTERVAL: Duration = Duration::from_millis(2);
