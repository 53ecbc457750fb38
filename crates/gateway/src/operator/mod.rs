//! The second address, for operators: one call to a connection.
//!
//! It owns which calls are served, and answers them. Cordons are carried out by the dispatcher, and figures counted where their facts
//! become true: nothing here changes what clients get.

mod call_task;
pub mod metrics;
pub mod unserved;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use fernscale_policy::{Id, Micros};
use futures_lite::StreamExt;
use slog::warn;

use self::call_task::CallTask;
use crate::operator::metrics::PoolGauges;
use crate::shared::Shared;
use crate::transport::limits::MAX_OPERATOR_CONNECTIONS;
use crate::transport::syscall::AcceptFailure;

/// Orders that wait at the dispatcher: those of the calls that are served at once, and of other processes.
pub const MAX_QUEUED_ORDERS: usize = 2 * MAX_OPERATOR_CONNECTIONS;

/// An order to the dispatcher, which handles it before all events.
pub enum Order {
    /// Cordon a server, or lift its cordon; `done` gets whether there is such a server.
    Cordon { server: Id, on: bool, done: Sender<bool> },
    /// The same from another process of this gateway: cordoned, or lifted at that time of the gateway's clock.
    CordonFromProcess { server: Id, lifted_at: Option<Micros> },
    /// The fraction of its gateway's ceilings and slow-start budgets that this process has.
    ProcessShare(f64),
    /// Report the gauges of the server pool.
    QueryPool(Sender<PoolGauges>),
}

/// Accepts operators' calls.
pub struct OperatorListener {
    shared: Rc<Shared>,
    orders: Sender<Order>,
    incomplete: IncompleteCalls,
    /// Calls accepted so far, which numbers them.
    accepted: u64,
}

impl OperatorListener {
    /// `orders` is the dispatcher's mailbox for operators.
    pub fn new(shared: &Rc<Shared>, orders: Sender<Order>) -> Self {
        OperatorListener {
            shared: shared.clone(),
            orders,
            incomplete: IncompleteCalls::default(),
            accepted: 0,
        }
    }

    /// Accepts calls until the listener is closed.
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

    fn accept(&mut self, stream: Async<TcpStream>) {
        self.accepted += 1;
        let call = self.incomplete.enter(self.accepted);
        let task = CallTask::new(stream, self.shared.clone(), self.orders.clone());
        self.shared.executor.spawn(task.run(call)).detach();
    }
}

/// The number of a call, and the sender whose end evicts it.
type NumberedCall = (u64, Sender<()>);

/// The calls that have not come complete, the oldest first. Each is evicted by dropping its sender. Danger: callers that send nothing would
/// keep others out. The one that has been incomplete for longest makes room, while complete calls are answered within a moment.
#[derive(Clone, Default)]
struct IncompleteCalls(Rc<RefCell<VecDeque<NumberedCall>>>);

impl IncompleteCalls {
    fn enter(&self, number: u64) -> IncompleteCall {
        let (sender, evicted) = async_channel::bounded(1);
        let mut calls = self.0.borrow_mut();
        calls.push_back((number, sender));
        if calls.len() > MAX_OPERATOR_CONNECTIONS {
            calls.pop_front();
        }
        IncompleteCall { calls: self.clone(), number, evicted }
    }
}

/// The presence of a call in the table; dropped, it takes the call out.
struct IncompleteCall {
    calls: IncompleteCalls,
    number: u64,
    evicted: Receiver<()>,
}

impl IncompleteCall {
    /// Waits until the call is evicted.
    async fn evicted(&self) {
        let _ = self.evicted.recv().await;
    }
}

impl Drop for IncompleteCall {
    fn drop(&mut self) {
        self.calls.0.borrow_mut().retain(|(number, _)| *number != self.number);
    }
}
