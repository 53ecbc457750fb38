//! The connections to one server that are idle, and new ones.
//!
//! The pool decides which connection is safe to use again and for how long one is retained. It neither writes nor reads on
//! them: that is the business of [`exchange`](super::exchange).

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

/// How long a connection rests after each reply. A duplicate of the reply that comes meanwhile is seen on the idle connection,
/// which is then closed; one that comes later is recognised by [`duplicate`](super::duplicate).
const REST_AFTER_REPLY: Duration = Duration::from_millis(20);
/// Part of the platform's idle timeout for which a connection is retained at most: later the server may close it while an
/// attempt is on its way.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// Where a connection breaks under an attempt after it was idle, something on the path drops idle connections earlier than the
/// platform's timeout. The limit falls to the time that this one was idle, divided by this.
const EARLY_CLOSE_DIVISOR: u32 = 2;
/// What the limit regains with each reply.
const IDLE_LIMIT_RECOVERY: Duration = Duration::from_millis(2);

/// A connection for one exchange.
pub(super) struct Checkout {
    pub(super) connection: Connection,
    /// How long it was idle; none where it is new.
    pub(super) idle_for: Option<Duration>,
}

pub(super) struct ConnectionPool {
    shared: Rc<Shared>,
    address: Cell<SocketAddr>,
    /// In the order of their last use.
    idle: RefCell<Vec<Connection>>,
    /// How long a connection may be idle and still be used.
    idle_limit: Cell<Duration>,
}

impl ConnectionPool {
    pub(super) fn new(shared: Rc<Shared>, address: SocketAddr) -> Self {
        let idle_limit = Cell::new(max_idle(&shared));
        ConnectionPool { shared, address: Cell::new(address), idle: RefCell::default(), idle_limit }
    }

    /// Uses another address from now on; connections to the former one are not used again.
    pub(super) fn change_address(&self, address: SocketAddr) {
        self.address.set(address);
        self.close_idle();
    }

    pub(super) fn is_connected(&self, connection: &Connection) -> bool {
        connection.is_connected_to(self.address.get())
    }

    pub(super) fn has_idle(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that can't be used again.
    pub(super) fn sweep(&self) {
        self.idle.borrow_mut().retain(|connection| self.is_reusable(connection));
    }

    /// An idle connection, or else a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::NoDescriptor`] where no descriptor is left, else the way in which the dial failed.
    pub(super) async fn acquire(&self) -> Result<Checkout, ConnectionEnd> {
        match self.take_rested() {
            Some(connection) => {
                let idle_for = Some(connection.last_used.elapsed());
                Ok(Checkout { connection, idle_for })
            }
            None => Ok(Checkout { connection: self.dial().await?, idle_for: None }),
        }
    }

    /// Takes a connection back, and closes it unless it can be used again and descriptors are left for other servers.
    pub(super) fn release(&self, mut connection: Connection) {
        let owes_nothing = connection.buffer.is_empty() && !connection.fence_pending;
        let is_reusable = owes_nothing && !connection.desynchronized && self.is_connected(&connection);
        if is_reusable && self.shared.limits.servers.has_quarter_free() {
            connection.last_used = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }

    /// Adjusts the idle limit by the end of an exchange, on a connection that had been idle for so long.
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

    /// Whether an idle connection is open, and young enough that the server won't close it under an attempt.
    fn is_reusable(&self, connection: &Connection) -> bool {
        connection.last_used.elapsed() < self.idle_limit.get() && connection.has_no_input()
    }

    /// The reusable connection used last, so that those not needed any more grow old.
    fn take_rested(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        // One reading of the clock for all: a reading for each connection would cost more than the search.
        let now = Instant::now();
        let mut rested =
            idle.partition_point(|connection| now.duration_since(connection.last_used) >= REST_AFTER_REPLY);
        while rested > 0 {
            rested -= 1;
            let connection = idle.remove(rested);
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
