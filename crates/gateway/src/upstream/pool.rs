//! The connection pool of one server.
//!
//! The pool opens connections, and decides which idle connection can be reused and how long idle connections are kept.
//! [`exchange`](super::exchange) writes to and reads from them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fernscale_policy::Micros;

use crate::outcome::AttemptFailure;
use crate::protocol::resp;
use crate::shared::Shared;
use crate::transport::buffer::Buffer;
use crate::transport::connection::Connection;
use crate::transport::ending::ConnectionEnd;

/// How long a connection stays idle after a reply before it is reused. If a duplicate of the reply arrives in this time, the idle
/// connection is closed. A later duplicate is recognized by [`duplicate`](super::duplicate).
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);
/// The fraction of the platform's idle timeout for which an idle connection is kept at most. Later the server may close the
/// connection while an attempt is being sent.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// If a connection that was idle breaks during an attempt, something on the path drops idle connections earlier than the
/// platform's timeout. The idle limit is then set to the connection's idle time, divided by this.
const EARLY_CLOSE_DIVISOR: u32 = 2;
/// How much the idle limit grows again with each reply.
const IDLE_LIMIT_RECOVERY: Duration = Duration::from_millis(2);

/// A connection that was taken from the pool for one exchange.
pub(super) struct Checkout {
    pub(super) connection: Connection,
    /// How long the connection was idle; none if it is new.
    pub(super) idle_for: Option<Duration>,
}

/// The idle connections to one server, and the address for new ones.
pub(super) struct ConnectionPool {
    shared: Rc<Shared>,
    address: Cell<SocketAddr>,
    /// The idle connections, least recently used first.
    idle: RefCell<Vec<Connection>>,
    /// How long a connection may be idle and still be reused.
    idle_limit: Cell<Duration>,
}

impl ConnectionPool {
    pub(super) fn new(shared: Rc<Shared>, address: SocketAddr) -> Self {
        let idle_limit = Cell::new(max_idle(&shared));
        ConnectionPool { shared, address: Cell::new(address), idle: RefCell::default(), idle_limit }
    }

    /// Uses another address from now on. Connections to the previous address are not reused.
    pub(super) fn change_address(&self, address: SocketAddr) {
        self.address.set(address);
        self.close_idle();
    }

    /// Whether a connection was opened to the current address.
    pub(super) fn is_connected(&self, connection: &Connection) -> bool {
        connection.is_connected_to(self.address.get())
    }

    pub(super) fn has_idle(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that can't be reused.
    pub(super) fn sweep(&self) {
        self.idle.borrow_mut().retain(|connection| self.is_reusable(connection));
    }

    /// Takes an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::NoDescriptor`] if no descriptor is left, else why the connection was not established.
    pub(super) async fn acquire(&self) -> Result<Checkout, ConnectionEnd> {
        match self.take_reusable() {
            Some(connection) => {
                let idle_for = Some(connection.last_used.elapsed());
                Ok(Checkout { connection, idle_for })
            }
            None => Ok(Checkout { connection: self.dial().await?, idle_for: None }),
        }
    }

    /// Returns a connection to the pool. Closes the connection unless it can be reused and enough descriptors are left for other
    /// servers.
    pub(super) fn release(&self, mut connection: Connection) {
        let is_drained = connection.buffer.is_empty() && !connection.fence_pending;
        let is_reusable = is_drained && !connection.desynchronized && self.is_connected(&connection);
        if is_reusable && self.shared.limits.servers.has_quarter_free() {
            connection.last_used = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }

    /// Adjusts the idle limit after an exchange on a connection that had been idle for `idle_for`.
    pub(super) fn adjust_idle_limit<T>(&self, idle_for: Option<Duration>, end: &Result<T, AttemptFailure>) {
        match (idle_for, end) {
            (_, Ok(_)) => {
                let recovered = self.idle_limit.get() + IDLE_LIMIT_RECOVERY;
                self.idle_limit.set(recovered.min(max_idle(&self.shared)));
            }
            (
                Some(idle_for),
                Err(AttemptFailure { how: ConnectionEnd::IoError | ConnectionEnd::Closed, .. }),
            ) => self.idle_limit.set(idle_for / EARLY_CLOSE_DIVISOR),
            _ => {}
        }
    }

    /// Whether an idle connection is open and has not been idle for so long that the server may close it during an attempt.
    fn is_reusable(&self, connection: &Connection) -> bool {
        connection.last_used.elapsed() < self.idle_limit.get() && connection.has_no_input()
    }

    /// Takes the most recently used connection that can be reused, so that surplus connections reach the idle limit.
    fn take_reusable(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        // The clock is read once: a reading for each connection would cost more than the search.
        let now = Instant::now();
        let mut candidates = idle
            .partition_point(|connection| now.duration_since(connection.last_used) >= MIN_IDLE_BEFORE_REUSE);
        while candidates > 0 {
            candidates -= 1;
            let connection = idle.remove(candidates);
            if self.is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    async fn dial(&self) -> Result<Connection, ConnectionEnd> {
        let slot = self.shared.limits.servers.reserve(1).ok_or(ConnectionEnd::NoDescriptor)?;
        let limit = Duration::from_micros(self.shared.platform.connect_timeout);
        let buffer = Buffer::new(resp::MAX_MESSAGE_BYTES, Some(self.shared.limits.from_servers.clone()));
        Connection::connect(self.address.get(), limit, buffer, Some(slot)).await
    }
}

fn max_idle(shared: &Shared) -> Duration {
    Duration::from_micros((IDLE_TIMEOUT_FRACTION * shared.platform.idle_timeout as f64) as Micros)
}
