//! The actor of one server. It runs the attempts and health checks there, each on its own connection.
//!
//! An attempt is cancelled by closing its connection, so that no other exchange is affected. The actor performs the orders of the
//! dispatcher. It never chooses a server and never retries.

mod bounds;
mod duplicate;
mod exchange;
mod pool;
mod streaming;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use fernscale_policy::{Id, Micros};
use futures_lite::{future, StreamExt};

pub use self::bounds::AttemptBounds;
use self::pool::ConnectionPool;
use crate::outcome::AttemptFailure;
use crate::protocol::call::Call;
use crate::shared::{CompletedAttempt, Event, Shared, MAX_QUEUED_ORDERS};
use crate::transport::clock::{micros, DeadlineTimer};
use crate::transport::ending::ConnectionEnd;

/// How often idle connections that can't be reused are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An order of the dispatcher.
pub enum Order {
    /// Forward a call. The attempt ends with an [`Event::AttemptCompleted`].
    Attempt(AttemptOrder),
    /// Cancel an attempt. Has no effect if the attempt has ended.
    Cancel { request: Id, attempt: usize },
    /// Send a health check. It ends with an [`Event::HealthCheckCompleted`].
    CheckHealth,
    /// Close the idle connections.
    CloseIdle,
    /// Use another address of the server from now on.
    ChangeAddress(SocketAddr),
}

/// An attempt to be made.
pub struct AttemptOrder {
    /// The client's call.
    pub call: Rc<Call>,
    /// The attempt's number within its request, from 0.
    pub attempt: usize,
    /// Until when the attempt may go on.
    pub bounds: AttemptBounds,
    /// The listed start of the server's process that the attempt was meant for.
    pub listed_start: Option<Micros>,
}

/// A request's id, and the number of the attempt.
type AttemptKey = (Id, usize);

/// An attempt in flight.
struct RunningAttempt {
    task: Task<()>,
    began_at: Instant,
}

/// The actor's state, shared with the tasks of its attempts.
struct Upstream {
    server: Id,
    pool: ConnectionPool,
    attempts: RefCell<HashMap<AttemptKey, RunningAttempt>>,
    /// Whether the last value that was compared with the previous value on its connection was equal to it.
    last_value_repeated: Cell<bool>,
    shared: Rc<Shared>,
    events: Sender<Event>,
}

/// The next input of the actor.
enum Input {
    Order(Order),
    /// It is time to close the idle connections that can't be reused.
    Sweep,
    /// The mailbox is closed.
    Closed,
}

/// Starts the actor of a server. The actor ends once its mailbox is closed. Attempts in flight then go on until they end.
pub fn start(shared: &Rc<Shared>, events: &Sender<Event>, server: &Id, address: SocketAddr) -> Sender<Order> {
    let (orders, mailbox) = async_channel::bounded(MAX_QUEUED_ORDERS);
    let upstream = Rc::new(Upstream {
        server: server.clone(),
        pool: ConnectionPool::new(shared.clone(), address),
        attempts: RefCell::default(),
        last_value_repeated: Cell::default(),
        shared: shared.clone(),
        events: events.clone(),
    });
    shared.executor.spawn(upstream.run(mailbox)).detach();
    orders
}

impl Upstream {
    async fn run(self: Rc<Self>, mailbox: Receiver<Order>) {
        let mut mailbox = std::pin::pin!(mailbox);
        let mut timer = DeadlineTimer::new();
        let mut last_sweep = Instant::now();
        loop {
            let next_sweep = last_sweep + SWEEP_INTERVAL;
            let deadline = self.pool.has_idle().then_some(next_sweep);
            let sweep = async {
                timer.wait(deadline).await;
                Input::Sweep
            };
            let order = async { mailbox.next().await.map_or(Input::Closed, Input::Order) };
            match future::or(order, sweep).await {
                Input::Order(order) => self.handle_order(order).await,
                Input::Sweep => {}
                Input::Closed => break,
            }
            if Instant::now() >= next_sweep {
                last_sweep = Instant::now();
                self.pool.sweep();
            }
        }
        for attempt in self.attempts.take().into_values() {
            attempt.task.detach();
        }
    }

    async fn handle_order(self: &Rc<Self>, order: Order) {
        match order {
            Order::Attempt(attempt) => self.start_attempt(attempt),
            Order::Cancel { request, attempt } => self.cancel_attempt(request, attempt).await,
            Order::CheckHealth => self.start_health_check(),
            Order::CloseIdle => self.pool.close_idle(),
            Order::ChangeAddress(address) => self.pool.change_address(address),
        }
    }

    fn start_attempt(self: &Rc<Self>, order: AttemptOrder) {
        let key = (order.call.request.id.clone(), order.attempt);
        let upstream = self.clone();
        // The time that the order waited in the mailbox is not attributed to the server.
        let began_at = Instant::now();
        let task = self.shared.executor.spawn(upstream.run_attempt(order, began_at));
        self.attempts.borrow_mut().insert(key, RunningAttempt { task, began_at });
    }

    async fn run_attempt(self: Rc<Self>, order: AttemptOrder, began_at: Instant) {
        let served = self.forward(&order).await;
        let (request, attempt) = (order.call.request.id.clone(), order.attempt);
        // Removes the attempt first, so that it can't be cancelled any more and be reported twice.
        if let Some(attempt) = self.attempts.borrow_mut().remove(&(request.clone(), attempt)) {
            attempt.task.detach();
        }
        let server = self.server.clone();
        let elapsed = micros(began_at.elapsed());
        let read_delay = served.as_ref().map_or(0, |served| micros(served.read_delay));
        let end = served.map(|served| (served.reply, served.load));
        let completed = CompletedAttempt { request, attempt, server, end, elapsed, read_delay };
        drop(self.events.send(Event::AttemptCompleted(completed)).await);
    }

    /// Closes the attempt's connection, and then reports the end of the attempt.
    async fn cancel_attempt(&self, request: Id, attempt: usize) {
        let running = self.attempts.borrow_mut().remove(&(request.clone(), attempt));
        let Some(RunningAttempt { task, began_at }) = running else { return };
        task.cancel().await;
        let completed = CompletedAttempt {
            request,
            attempt,
            server: self.server.clone(),
            end: Err(AttemptFailure::unsent(ConnectionEnd::Cancelled)),
            elapsed: micros(began_at.elapsed()),
            read_delay: 0,
        };
        // The dispatcher sometimes waits for this actor's mailbox. Waiting for the dispatcher's mailbox here could deadlock.
        let events = self.events.clone();
        let report = async move { drop(events.send(Event::AttemptCompleted(completed)).await) };
        self.shared.executor.spawn(report).detach();
    }

    fn start_health_check(self: &Rc<Self>) {
        let upstream = self.clone();
        let health_check = async move {
            let end = upstream.check_health().await;
            let completed = Event::HealthCheckCompleted { server: upstream.server.clone(), end };
            drop(upstream.events.send(completed).await);
        };
        self.shared.executor.spawn(health_check).detach();
    }
}
