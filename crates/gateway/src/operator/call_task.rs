//! The task of one operator's call: it reads, performs and answers the call, then closes the connection.

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Async;
use fernscale_policy::Id;
use futures_lite::future;
use slog::{info, warn};

use super::{IncompleteCall, Order};
use crate::protocol::operator::{self, OperatorCall, Rejection};
use crate::shared::Shared;
use crate::transport::buffer::Buffer;
use crate::transport::connection::{with_deadline, Connection};
use crate::transport::ending::ConnectionEnd;

/// The maximum time until the call is complete and its response is written.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the task waits for the caller to close the connection. If the gateway closed it with unread bytes, the connection would
/// be reset, and the caller would lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call is not performed.
enum CallFailure {
    /// The connection ended, or the call was evicted: no response is sent.
    NoResponse,
    Rejected(Rejection),
}

impl From<ConnectionEnd> for CallFailure {
    fn from(_: ConnectionEnd) -> Self {
        CallFailure::NoResponse
    }
}

impl From<Rejection> for CallFailure {
    fn from(rejection: Rejection) -> Self {
        CallFailure::Rejected(rejection)
    }
}

/// The status and body of a response.
struct Response {
    status: u16,
    body: String,
}

impl Response {
    fn new(status: u16, body: impl Into<String>) -> Self {
        Response { status, body: body.into() }
    }
}

/// The task of one call.
pub(super) struct CallTask {
    connection: Connection,
    shared: Rc<Shared>,
    orders: Sender<Order>,
}

impl CallTask {
    pub(super) fn new(stream: Async<TcpStream>, shared: Rc<Shared>, orders: Sender<Order>) -> Self {
        let connection = Connection::new(stream, Buffer::new(operator::MAX_MESSAGE_BYTES, None), None);
        CallTask { connection, shared, orders }
    }

    /// Serves the call. The call can be evicted while it is incomplete.
    pub(super) async fn run(mut self, incomplete: IncompleteCall) {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let evicted = async {
            incomplete.evicted().await;
            Err(CallFailure::NoResponse)
        };
        let call = future::or(self.read_call(deadline), evicted).await;
        drop(incomplete);
        let response = match call {
            Ok(call) => self.perform(call).await,
            Err(CallFailure::Rejected(Rejection { status, reason })) => Response::new(status, reason + "\n"),
            Err(CallFailure::NoResponse) => return,
        };
        self.respond(response, deadline).await;
    }

    async fn read_call(&mut self, deadline: Instant) -> Result<OperatorCall, CallFailure> {
        loop {
            if let Some(call) = operator::parse_call(self.connection.buffer.filled())? {
                return Ok(call);
            }
            match with_deadline(deadline, ConnectionEnd::TimedOut, self.connection.read()).await {
                Err(ConnectionEnd::TimedOut) if !self.connection.buffer.is_empty() => {
                    let reason = "no whole call has come in time".into();
                    return Err(CallFailure::Rejected(Rejection { status: 408, reason }));
                }
                other => other?,
            }
        }
    }

    async fn respond(mut self, response: Response, deadline: Instant) {
        let bytes = operator::write_response(response.status, &response.body);
        if with_deadline(deadline, ConnectionEnd::TimedOut, self.connection.write(&bytes)).await.is_err() {
            return;
        }
        self.connection.finish();
        let deadline = Instant::now() + LINGER_TIMEOUT;
        while with_deadline(deadline, ConnectionEnd::TimedOut, self.connection.read()).await.is_ok() {
            let count = self.connection.buffer.filled().len();
            self.connection.buffer.consume(count);
        }
    }

    async fn perform(&mut self, call: OperatorCall) -> Response {
        match call {
            OperatorCall::Health if self.shared.is_serving() => Response::new(200, "ready\n"),
            OperatorCall::Health => Response::new(503, "not ready to serve\n"),
            OperatorCall::Stats => self.stats().await,
            OperatorCall::Cordon(server) => self.set_cordon(server, true).await,
            OperatorCall::Uncordon(server) => self.set_cordon(server, false).await,
        }
    }

    async fn stats(&self) -> Response {
        let (reply, gauges) = async_channel::bounded(1);
        let _ = self.orders.send(Order::QueryPool(reply)).await;
        let pool = gauges.recv().await.unwrap_or_default();
        let active = self.shared.limits.open.used();
        Response::new(200, self.shared.metrics.write(active, pool))
    }

    /// Lets the dispatcher, and the other processes of this gateway if there are any, set or lift a cordon.
    async fn set_cordon(&self, server: Id, on: bool) -> Response {
        let (done, is_known) = async_channel::bounded(1);
        let _ = self.orders.send(Order::Cordon { server: server.clone(), on, done }).await;
        let known = is_known.recv().await.unwrap_or(false);
        if let Some(link) = self.shared.hot_restart.get().filter(|_| known) {
            if !link.set_cordon(&server, on).await {
                warn!(self.shared.log, #"handover.unheard", "another process of this gateway did not receive an operator's cordon order"; "server" => &*server);
            }
        }
        info!(self.shared.log, #"operator.cordon", "an operator ordered to set or lift a cordon"; "server" => &*server, "out" => on, "known" => known);
        if !known {
            Response::new(404, format!("no server '{server}' is known\n"))
        } else if on {
            Response::new(200, format!("'{server}' is left out\n"))
        } else {
            Response::new(200, format!("'{server}' is used again\n"))
        }
    }
}
