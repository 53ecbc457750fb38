//! The listener for operators, on an address of its own: one call per connection.
//!
//! The module decides which calls are served, and answers them. The dispatcher carries out cordons, and metrics are counted where
//! the counted events happen: nothing in this module changes the answers to clients.

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

/// The maximum number of orders queued for the dispatcher: those of concurrent calls, and those of other processes.
pub const MAX_QUEUED_ORDERS: usize = 2 * MAX_OPERATOR_CONNECTIONS;

/// An order to the dispatcher, which handles it before all events.
pub enum Order {
    /// Cordon a server, or lift its cordon; `done` receives whether the server is known.
    Cordon { server: Id, on: bool, done: Sender<bool> },
    /// The cordon of a server as another process of this gateway reports it. `lifted_at` is when the cordon was lifted, by the
    /// gateway's clock; `None` while the server is cordoned.
    CordonFromProcess { server: Id, lifted_at: Option<Micros> },
    /// Set this process's fraction of its gateway's ceilings and slow-start budgets.
    ProcessShare(f64),
    /// Report the gauges of the server pool.
    QueryPool(Sender<PoolGauges>),
}

/// Accepts operators' calls.
pub struct OperatorListener {
    shared: Rc<Shared>,
    orders: Sender<Order>,
    incomplete: IncompleteCalls,
    /// The number of calls accepted so far; it is also the number of the last call.
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
                    warn!(self.shared.log, #"operator.not-accepted", "could not accept an operator's connection"; "why" => error.to_string());
                    Timer::after(AcceptFailure::classify(&error).backoff()).await;
                }
            }
        }
    }

    fn accept(&mut self, stream: Async<TcpStream>) {
        self.accepted += 1;
        let call = self.incomplete.add(self.accepted);
        let task = CallTask::new(stream, self.shared.clone(), self.orders.clone());
        self.shared.executor.spawn(task.run(call)).detach();
    }
}

/// The number of a call, and a sender; dropping the sender evicts the call.
type NumberedCall = (u64, Sender<()>);

/// The incomplete calls, the oldest first. Callers that send nothing would keep others out, so the call that has been incomplete for
/// longest is evicted if there are too many. Complete calls are not evicted: they are answered
/// at once.
#[derive(Clone, Default)]
struct IncompleteCalls(Rc<RefCell<VecDeque<NumberedCall>>>);

impl IncompleteCalls {
    /// Adds a call, and evicts the oldest call if there are too many.
    fn add(&self, number: u64) -> IncompleteCall {
        let (sender, evicted) = async_channel::bounded(1);
        let mut calls = self.0.borrow_mut();
        calls.push_back((number, sender));
        if calls.len() > MAX_OPERATOR_CONNECTIONS {
            calls.pop_front();
        }
        IncompleteCall { calls: self.clone(), number, evicted }
    }
}

/// A call's entry in [`IncompleteCalls`]; dropping it removes the entry.
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
