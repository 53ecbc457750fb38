//! The HTTP connection to discovery: one request after another, with the times that each may take.
//!
//! It owns the connections and decides when a request has failed. What a body means is the business of
//! [`catalog`](crate::protocol::catalog).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future;
use thiserror::Error;

use crate::protocol::catalog;
use crate::protocol::http;
use crate::shared::Shared;
use crate::transport::buffer::Buffer;
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;

/// The time that a response may take from its first byte to its end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection on which an agent's response is late is listened to.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The times of requests to one kind of discovery.
struct Timing {
    /// A watch waits for something new for a random time between these.
    min_watch: Duration,
    max_watch: Duration,
    /// How much later than its watch, or than it was dialled, a response or a connection is given up.
    grace: Duration,
    /// How long the response to a poll is waited for.
    poll_timeout: Duration,
}

/// A service whose list all gateways poll. A watch costs it work, and a poll may wait in turn behind those of all the others: given
/// up early, it would be served for nobody and repeated. Danger: all watches of a fleet end together. Each is opened again at once,
/// and the service answers one after another, so the durations are spread.
const SERVICE: Timing = Timing {
    min_watch: Duration::from_secs(10),
    max_watch: Duration::from_secs(20),
    grace: Duration::from_secs(1),
    poll_timeout: Duration::from_secs(5),
};

/// An agent of this gateway's own, whose responses are cheap and come at once. Danger: a watch that falls silent while servers begin to
/// drain, and the agent counts as having notified this gateway. A late poll is repeated on another connection.
const AGENT: Timing = Timing {
    min_watch: Duration::from_secs(2),
    max_watch: Duration::from_secs(2),
    grace: Duration::from_millis(250),
    poll_timeout: Duration::from_millis(250),
};

/// Why a request to discovery has no usable response.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// The connection could not be made, or ended first.
    #[error("{0}")]
    Connection(ConnectionEnd),
    /// The status was not 200.
    #[error("status {0}")]
    Status(u16),
    /// The body is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// A connection on which an agent has not responded in time, and may yet.
struct LateConnection {
    connection: Connection,
    /// How long it is listened to.
    until: Instant,
}

impl LateConnection {
    fn has_expired(&self) -> bool {
        Instant::now() >= self.until
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

    /// Goes on at another address, on new connections.
    pub(super) fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.connection = None;
        self.late = None;
    }

    /// Sends the next request on a new connection.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }

    /// How long the next watch is to wait for something new.
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

    /// Requests what is newer than a version, or the complete list, and gives the body of the response. The response may take
    /// `watch` for something new; where that is zero, the request is a poll.
    pub(super) async fn request(
        &mut self,
        since: Option<u64>,
        watch: Duration,
    ) -> Result<Vec<u8>, RequestError> {
        let path = catalog::request_path(since.map(|since| (since, watch.as_millis() as u64)));
        let request = http::get(&self.address.to_string(), &path);
        let timing = self.timing();
        let timeout = if watch.is_zero() { timing.poll_timeout } else { watch + timing.grace };
        let until = Instant::now() + timeout;
        let is_reused = self.connection.is_some();
        let mut response = self.exchange(&request, until).await;
        if is_reused && response.is_err() && Instant::now() < until {
            // The idle connection may have ended before the request came; requests are idempotent.
            response = self.exchange(&request, until).await;
        }
        let response = response.map_err(RequestError::Connection)?;
        if response.status != 200 {
            return Err(RequestError::Status(response.status));
        }
        Ok(response.body)
    }

    /// The response to a request, or to an earlier one that an agent has been late with: nothing has come since.
    async fn exchange(&mut self, request: &[u8], until: Instant) -> Result<http::Response, ConnectionEnd> {
        let mut late = self.late.take();
        let late_response = async {
            if let Some(LateConnection { connection, until }) = &mut late {
                if let Ok(response) = read_response(connection, *until).await {
                    return Ok(response);
                }
                late = None;
            }
            future::pending().await
        };
        let response = future::or(self.exchange_on_connection(request, until), late_response).await;
        self.late = match response {
            Ok(_) => None,
            Err(_) => late.filter(|late| !late.has_expired()).or(self.late.take()),
        };
        response
    }

    async fn exchange_on_connection(
        &mut self,
        request: &[u8],
        until: Instant,
    ) -> Result<http::Response, ConnectionEnd> {
        let mut connection = match self.connection.take().filter(Connection::has_no_input) {
            Some(connection) => connection,
            None => self.dial().await?,
        };
        within(until, ConnectionEnd::TimedOut, connection.write(request)).await?;
        let response = read_response(&mut connection, until).await;
        match &response {
            Ok(response) if response.keep_alive => self.connection = Some(connection),
            Err(ConnectionEnd::TimedOut) if self.shared.platform.list_is_pushed => {
                let until = Instant::now() + LATE_RESPONSE_TIMEOUT;
                self.late = Some(LateConnection { connection, until });
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

/// Reads a response; where the connection is closed, one whose end is the end of the connection.
async fn read_response(connection: &mut Connection, until: Instant) -> Result<http::Response, ConnectionEnd> {
    let mut reader = http::Reader::default();
    match connection.message(|bytes| reader.read(bytes, false), until, RESPONSE_TIMEOUT).await {
        Err(ConnectionEnd::Closed) => match reader.read(connection.buffer.filled(), true) {
            Ok(Some((response, _))) => Ok(response),
            _ => Err(ConnectionEnd::Closed),
        },
        other => other,
    }
}
