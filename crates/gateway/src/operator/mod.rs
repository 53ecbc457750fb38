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
use crate::protocol::operator::{self, Call, Refused};
use crate::shared::Shared;
use crate::transport::buffer::Buffer;
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;
use crate::transport::limits::OPERATORS;
use crate::transport::syscall::AcceptFailure;

/// How long a caller may take to its call's end, and to read the answer: longer than any that means well.
const WHOLE: Duration = Duration::from_secs(5);
/// How long a caller that is done may take to close: closed here with something unread, it would lose its answer.
const LINGER: Duration = Duration::from_millis(500);

/// Orders that wait at the module's actor.
pub const MOST_ORDERS: usize = 2 * OPERATORS;

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
type Stalled = Rc<RefCell<VecDeque<(u64, Sender<()>)>>>;

pub struct Desk {
    shared: Rc<Shared>,
    orders: Sender<Order>,
    stalled: Stalled,
    let_in: u64,
}

impl Desk {
    pub fn new(shared: &Rc<Shared>, orders: Sender<Order>) -> Self {
        Desk { shared: shared.clone(), orders, stalled: Stalled::default(), let_in: 0 }
    }

    pub async fn run(mut self, listener: Async<TcpListener>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        while let Some(stream) = incoming.next().await {
            match stream {
                Ok(stream) => self.let_in(stream),
                Err(error) => {
                    warn!(self.shared.log, #"operator.not-accepted", "an operator's call could not be accepted"; "why" => error.to_string());
                    Timer::after(AcceptFailure::classify(&error).backoff()).await;
                }
            }
        }
    }

    /// Danger: callers that say nothing take all places, and whoever means well waits. The one that has said nothing
    /// whole for longest makes room; those whose call has come are answered within a moment, and keep theirs.
    fn let_in(&mut self, stream: Async<TcpStream>) {
        self.let_in += 1;
        let number = self.let_in;
        let (stays, evicted) = async_channel::bounded(1);
        let mut stalled = self.stalled.borrow_mut();
        stalled.push_back((number, stays));
        if stalled.len() > OPERATORS {
            stalled.pop_front();
        }
        let connection = Connection::new(stream, Buffer::new(operator::MOST_MESSAGE, None), None);
        let caller = Caller { connection, shared: self.shared.clone(), orders: self.orders.clone() };
        let stalled = self.stalled.clone();
        let serve = async move {
            let until = Instant::now() + WHOLE;
            let mut caller = caller;
            let gone = async {
                let _ = evicted.recv().await;
                Err(ConnectionEnd::Idle)
            };
            let call = future::or(caller.call(until), gone).await;
            stalled.borrow_mut().retain(|(other, _)| *other != number);
            caller.finish(call, until).await;
        };
        self.shared.executor.spawn(serve).detach();
    }
}

struct Caller {
    connection: Connection,
    shared: Rc<Shared>,
    orders: Sender<Order>,
}

impl Caller {
    /// Reads the call, or why there is none.
    async fn call(&mut self, until: Instant) -> Result<Result<Call, Refused>, ConnectionEnd> {
        loop {
            match operator::call(self.connection.buffer.filled()) {
                Ok(Some(call)) => return Ok(Ok(call)),
                Err(why) => return Ok(Err(why)),
                Ok(None) => {}
            }
            match within(until, ConnectionEnd::Silent, self.connection.read()).await {
                Ok(()) => {}
                Err(ConnectionEnd::Silent) if !self.connection.buffer.is_empty() => {
                    return Ok(Err(Refused { status: 408, why: "no whole call has come in time".into() }));
                }
                Err(how) => return Err(how),
            }
        }
    }

    async fn finish(mut self, call: Result<Result<Call, Refused>, ConnectionEnd>, until: Instant) {
        let Ok(call) = call else { return };
        let (status, text) = match call {
            Ok(call) => self.act(call).await,
            Err(Refused { status, why }) => (status, why + "\n"),
        };
        let answer = operator::answer(status, &text);
        if within(until, ConnectionEnd::Silent, self.connection.write(&answer)).await.is_err() {
            return;
        }
        self.connection.finish();
        let linger = Instant::now() + LINGER;
        while within(linger, ConnectionEnd::Silent, self.connection.read()).await.is_ok() {
            let count = self.connection.buffer.filled().len();
            self.connection.buffer.consume(count);
        }
    }

    async fn act(&mut self, call: Call) -> (u16, String) {
        match call {
            Call::Health => match self.shared.is_serving() {
                true => (200, "ready\n".into()),
                false => (503, "not ready to serve\n".into()),
            },
            Call::Stats => {
                let (tell, told) = async_channel::bounded(1);
                let _ = self.orders.send(Order::Pool(tell)).await;
                let pool = told.recv().await.unwrap_or_default();
                let active = self.shared.limits.open.used();
                (200, self.shared.metrics.write(active, pool))
            }
            Call::Cordon(server) => self.cordon(server, true).await,
            Call::Uncordon(server) => self.cordon(server, false).await,
        }
    }

    async fn cordon(&mut self, server: Id, on: bool) -> (u16, String) {
        let (done, told) = async_channel::bounded(1);
        let _ = self.orders.send(Order::Cordon { server: server.clone(), on, done }).await;
        let known = told.recv().await.unwrap_or(false);
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
