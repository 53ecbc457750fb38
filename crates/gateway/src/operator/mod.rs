//! The second address, for operators: who is let in, and each call.

pub mod metrics;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use fernscale_policy::{Id, Micros};
use futures_lite::{future, StreamExt};
use slog::{info, warn};

use crate::operator::metrics::PoolGauges;
use crate::protocol::operator::{self, OperatorCall, Rejection};
use crate::shared::Shared;
use crate::transport::buffer::Buffer;
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;
use crate::transport::limits::OPERATORS;
use crate::transport::syscall::AcceptFailure;

/// How long a caller may take to its call's end, and to read the answer: longer than any that means well.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller that is done may take to close: closed here with something unread, it would lose its answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Orders that wait at the module's actor.
pub use self::MAX_QUEUED_ORDERS as MOST_ORDERS;
/// Orders that wait at the dispatcher.
pub const MAX_QUEUED_ORDERS: usize = 2 * OPERATORS;

/// What operators want of the module's actor.
pub enum Order {
    /// Takes a server out of use, or back into it; told is whether there is such a server.
    Cordon {
        server: Id,
        on: bool,
        done: Sender<bool>,
    },
    /// The same, as another process of this gateway heard it: out of use, or called back at that time.
    Heard {
        server: Id,
        back: Option<Micros>,
    },
    /// This process has so much of its gateway's ceilings and cold budgets.
    Part(f64),
    Pool(Sender<PoolGauges>),
}

/// Calls that are not whole yet, the oldest first: each ends when its other end is dropped.
type IncompleteCalls = Rc<RefCell<VecDeque<(u64, Sender<()>)>>>;

pub use self::OperatorListener as Desk;

pub struct OperatorListener {
    shared: Rc<Shared>,
    orders: Sender<Order>,
    incomplete: IncompleteCalls,
    accepted: u64,
}

impl OperatorListener {
    pub fn new(shared: &Rc<Shared>, orders: Sender<Order>) -> Self {
        OperatorListener {
            shared: shared.clone(),
            orders,
            incomplete: IncompleteCalls::default(),
            accepted: 0,
        }
    }

    pub async fn run(mut self, listener: Async<TcpListener>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        while let Some(stream) = incoming.next().await {
            match stream {
                Ok(stream) => self.accept(stream),
                Err(error) => {
                    warn!(self.shared.log, #"operator.not-accepted", "an operator's call could not be accepted"; "why" => error.to_string());
                    Timer::after(AcceptFailure::classify(&error).backoff()).await;
                }
            }
        }
    }

    /// Danger: callers that say nothing take all places, and whoever means well waits. The one that has said nothing
    /// whole for longest makes room; those whose call has come are answered within a moment, and keep theirs.
    fn accept(&mut self, stream: Async<TcpStream>) {
        self.accepted += 1;
        let number = self.accepted;
        let (stays, evicted) = async_channel::bounded(1);
        let mut incomplete = self.incomplete.borrow_mut();
        incomplete.push_back((number, stays));
        if incomplete.len() > OPERATORS {
            incomplete.pop_front();
        }
        let connection = Connection::new(stream, Buffer::new(operator::MAX_MESSAGE, None), None);
        let task = CallTask { connection, shared: self.shared.clone(), orders: self.orders.clone() };
        let incomplete = self.incomplete.clone();
        let serve = async move {
            let until = Instant::now() + CALL_TIMEOUT;
            let mut task = task;
            let evicted_first = async {
                let _ = evicted.recv().await;
                Err(ConnectionEnd::Idle)
            };
            let call = future::or(task.read_call(until), evicted_first).await;
            incomplete.borrow_mut().retain(|(other, _)| *other != number);
            task.answer(call, until).await;
        };
        self.shared.executor.spawn(serve).detach();
    }
}

struct CallTask {
    connection: Connection,
    shared: Rc<Shared>,
    orders: Sender<Order>,
}

impl CallTask {
    /// Reads the call, or why there is none.
    async fn read_call(&mut self, until: Instant) -> Result<Result<OperatorCall, Rejection>, ConnectionEnd> {
        loop {
            match operator::parse_call(self.connection.buffer.filled()) {
                Ok(Some(call)) => return Ok(Ok(call)),
                Err(rejection) => return Ok(Err(rejection)),
                Ok(None) => {}
            }
            match within(until, ConnectionEnd::Silent, self.connection.read()).await {
                Ok(()) => {}
                Err(ConnectionEnd::Silent) if !self.connection.buffer.is_empty() => {
                    return Ok(Err(Rejection {
                        status: 408,
                        reason: "no whole call has come in time".into(),
                    }));
                }
                Err(how) => return Err(how),
            }
        }
    }

    async fn answer(mut self, call: Result<Result<OperatorCall, Rejection>, ConnectionEnd>, until: Instant) {
        let Ok(call) = call else { return };
        let (status, text) = match call {
            Ok(call) => self.perform(call).await,
            Err(Rejection { status, reason }) => (status, reason + "\n"),
        };
        let response = operator::write_response(status, &text);
        if within(until, ConnectionEnd::Silent, self.connection.write(&response)).await.is_err() {
            return;
        }
        self.connection.finish();
        let linger = Instant::now() + LINGER_TIMEOUT;
        while within(linger, ConnectionEnd::Silent, self.connection.read()).await.is_ok() {
            let count = self.connection.buffer.filled().len();
            self.connection.buffer.consume(count);
        }
    }

    async fn perform(&mut self, call: OperatorCall) -> (u16, String) {
        match call {
            OperatorCall::Health => match self.shared.is_serving() {
                true => (200, "ready\n".into()),
                false => (503, "not ready to serve\n".into()),
            },
            OperatorCall::Stats => {
                let (reply, replied) = async_channel::bounded(1);
                let _ = self.orders.send(Order::Pool(reply)).await;
                let pool = replied.recv().await.unwrap_or_default();
                let active = self.shared.limits.open.used();
                (200, self.shared.metrics.write(active, pool))
            }
            OperatorCall::Cordon(server) => self.set_cordon(server, true).await,
            OperatorCall::Uncordon(server) => self.set_cordon(server, false).await,
        }
    }

    async fn set_cordon(&mut self, server: Id, on: bool) -> (u16, String) {
        let (done, replied) = async_channel::bounded(1);
        let _ = self.orders.send(Order::Cordon { server: server.clone(), on, done }).await;
        let known = replied.recv().await.unwrap_or(false);
        if let Some(link) = self.shared.hot_restart.get().filter(|_| known) {
            if !link.word(&server, on).await {
                warn!(self.shared.log, #"handover.unheard", "another process has not heard an operator's word"; "server" => &*server);
            }
        }
        info!(self.shared.log, #"operator.cordon", "an operator's word on a server"; "server" => &*server, "out" => on, "known" => known);
        match (known, on) {
            (false, _) => (404, format!("no server '{server}' is known\n")),
            (true, true) => (200, format!("'{server}' is left out\n")),
            (true, false) => (200, format!("'{server}' is used again\n")),
        }
    }
}
