//! The HTTP client of discovery: sends one request after another, each with a timeout.
//!
//! The client owns the connections and decides when a request has failed. [`catalog`](crate::protocol::catalog) parses the
//! bodies of responses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future;
use thiserror::Error;

use crate::protocol::catalog;
use crate::protocol::http;
use crate::shared::Shared;
use crate::transport::buffer::Buffer;
use crate::transport::connection::{with_deadline, Connection, MessageLimits};
use crate::transport::ending::ConnectionEnd;

/// How long discovery may pause in the middle of a response. A response that has begun has no other limit: the next request would
/// get one that comes as slowly.
const MAX_RESPONSE_PAUSE: Duration = Duration::from_secs(1);
/// How long the client waits for a late response of an agent.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeouts of requests to one kind of discovery.
struct Timing {
    /// A watch waits for a change for a random time between `min_watch` and `max_watch`.
    min_watch: Duration,
    max_watch: Duration,
    /// How long after the end of its watch a response times out, and the timeout of a dial.
    grace: Duration,
    /// The timeout of a poll.
    poll_timeout: Duration,
}

/// A service whose list all gateways poll. A watch costs the service work, and a poll may wait behind the polls of all other
/// gateways: with a short timeout, the service would answer a poll that the gateway had already given up and repeated. The
/// durations of watches are spread so that the watches of a fleet don't end together: each is opened again at once, and the
/// service answers one after another.
const SERVICE: Timing = Timing {
    min_watch: Duration::from_secs(10),
    max_watch: Duration::from_secs(20),
    grace: Duration::from_secs(1),
    poll_timeout: Duration::from_secs(5),
};

/// An agent that serves only this gateway. Its responses are cheap and arrive at once, so the timeouts are short. With long timeouts,
/// the gateway would miss servers that begin to drain while a watch is silent, although the agent assumes that the gateway was
/// notified.
/// A late poll is repeated on another connection.
const AGENT: Timing = Timing {
    min_watch: Duration::from_secs(2),
    max_watch: Duration::from_secs(2),
    grace: Duration::from_millis(250),
    poll_timeout: Duration::from_millis(250),
};

/// Why a request to discovery has no usable response.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// The connection could not be opened, or ended before the response.
    #[error("{0}")]
    Connection(ConnectionEnd),
    /// The status was not 200.
    #[error("status {0}")]
    Status(u16),
    /// The body is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// A connection on which the response of an agent is late, but may still arrive.
struct LateConnection {
    connection: Connection,
    /// When the client stops waiting for the late response.
    deadline: Instant,
}

impl LateConnection {
    fn has_expired(&self) -> bool {
        Instant::now() >= self.deadline
    }
}

/// The client of one discovery address.
pub(super) struct Client {
    shared: Rc<Shared>,
    address: SocketAddr,
    connection: Option<Connection>,
    late: Option<LateConnection>,
}

impl Client {
    pub(super) fn new(shared: Rc<Shared>, address: SocketAddr) -> Self {
        Client { shared, address, connection: None, late: None }
    }

    /// Switches to another address and new connections.
    pub(super) fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.connection = None;
        self.late = None;
    }

    /// Sends the next request on a new connection.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }

    /// How long the next watch waits for a change.
    pub(super) fn watch_duration(&self) -> Duration {
        let timing = self.timing();
        let spread = timing.max_watch - timing.min_watch;
        timing.min_watch + spread.mul_f64(rand::random())
    }

    /// The shortest duration of a watch.
    pub(super) fn min_watch(&self) -> Duration {
        self.timing().min_watch
    }

    fn timing(&self) -> &'static Timing {
        if self.shared.platform.list_is_pushed {
            &AGENT
        } else {
            &SERVICE
        }
    }

    /// Requests the changes since a version, or the complete list; gives the body of the response. The response may wait for a
    /// change as long as `watch`; if `watch` is zero, the request is a poll.
    pub(super) async fn request(
        &mut self,
        since: Option<u64>,
        watch: Duration,
    ) -> Result<Vec<u8>, RequestError> {
        let path = catalog::request_path(since.map(|since| (since, watch.as_millis() as u64)));
        let request = http::get(&self.address.to_string(), &path);
        let timing = self.timing();
        let timeout = if watch.is_zero() { timing.poll_timeout } else { watch + timing.grace };
        let deadline = Instant::now() + timeout;
        let is_reused = self.connection.is_some();
        let mut response = self.exchange(&request, deadline).await;
        if is_reused && watch.is_zero() && response.is_err() && Instant::now() < deadline {
            // The idle connection may have been closed before the request arrived; polls are idempotent. A watch is not sent again:
            // another process may listen at the address, whose versions are lower, and which would wait for one that never comes.
            response = self.exchange(&request, deadline).await;
        }
        let response = response.map_err(RequestError::Connection)?;
        if response.status != 200 {
            return Err(RequestError::Status(response.status));
        }
        Ok(response.body)
    }

    /// The response to a request, or the late response of an agent to the request before, which is as new.
    async fn exchange(&mut self, request: &[u8], deadline: Instant) -> Result<http::Response, ConnectionEnd> {
        let mut late = self.late.take();
        let late_response = async {
            if let Some(LateConnection { connection, deadline }) = &mut late {
                if let Ok(response) = read_response(connection, *deadline).await {
                    return Ok(response);
                }
                late = None;
            }
            future::pending().await
        };
        let response = future::or(self.exchange_on_connection(request, deadline), late_response).await;
        self.late = match response {
            Ok(_) => None,
            Err(_) => late.filter(|late| !late.has_expired()).or(self.late.take()),
        };
        response
    }

    async fn exchange_on_connection(
        &mut self,
        request: &[u8],
        deadline: Instant,
    ) -> Result<http::Response, ConnectionEnd> {
        let mut connection = match self.connection.take().filter(Connection::has_no_input) {
            Some(connection) => connection,
            None => self.dial().await?,
        };
        with_deadline(deadline, ConnectionEnd::TimedOut, connection.write(request)).await?;
        let response = read_response(&mut connection, deadline).await;
        match &response {
            Ok(response) if response.keep_alive => self.connection = Some(connection),
            Err(ConnectionEnd::TimedOut) if self.shared.platform.list_is_pushed => {
                let deadline = Instant::now() + LATE_RESPONSE_TIMEOUT;
                self.late = Some(LateConnection { connection, deadline });
            }
            _ => {}
        }
        response
    }

    async fn dial(&self) -> Result<Connection, ConnectionEnd> {
        let buffer = Buffer::new(http::MAX_MESSAGE_BYTES, None);
        Connection::connect(self.address, self.timing().grace, buffer, None).await
    }
}

/// Reads a response that begins by the deadline. If the connection is closed, a response that ends with the connection is complete.
async fn read_response(
    connection: &mut Connection,
    deadline: Instant,
) -> Result<http::Response, ConnectionEnd> {
    let mut reader = http::Reader::default();
    let limits = MessageLimits { begin_by: deadline, deadline: None, max_pause: MAX_RESPONSE_PAUSE };
    match connection.message(|bytes| reader.read(bytes, false), limits).await {
        Err(ConnectionEnd::Closed) => match reader.read(connection.buffer.filled(), true) {
            Ok(Some((response, _))) => Ok(response),
            _ => Err(ConnectionEnd::Closed),
        },
        other => other,
    }
}
