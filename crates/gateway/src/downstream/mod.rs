//! Client connections: the listening socket, and a task for each connection.
//!
//! This module owns the open connections and the commands pipelined on each. It sends requests to the dispatcher as events, and
//! receives final replies. It neither chooses servers nor decides whether a request is admitted.

mod commands;
mod connection_task;
mod ending;
mod idle;
mod listener;
mod pipeline;
mod unwritten;
mod writing;

use std::time::Duration;

pub use self::listener::Listener;
pub use self::unwritten::UnwrittenReplies;

/// How long new connections and requests are served after the beginning of a shutdown. Load balancers take some tenths of a
/// second to send them to other gateways.
pub const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Time between two error replies to invalid commands, for all clients together. It also passes before the slot of a connection
/// that was evicted while it awaited an error permit is used again. Danger: clients that repeat an invalid command as soon as
/// they get the error would use a whole core.
const PROTOCOL_ERROR_INTERVAL: Duration = Duration::from_millis(2);
