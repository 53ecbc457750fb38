//! The actor of one server: the attempts and health checks there, each on a connection of its own.
//!
//! An attempt is cancelled by closing its connection, so that no other exchange is disturbed. The actor carries out orders of
//! the dispatcher; it never chooses a server, and never retries.

mod duplicate;
mod exchange;
mod pool;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use fernscale_policy::{Id, Micros};
use futures_lite::{future, StreamExt};

use self::pool::ConnectionPool;
use crate::outcome::AttemptFailure;
use crate::protocol::call::Call;
use crate::shared::{CompletedAttempt, Event, Shared, MAX_QUEUED_ORDERS};
use crate::transport::clock::{micros, DeadlineTimer};
use crate::transport::ending::ConnectionEnd;

/// How often idle connections that can't be used again are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An order of the dispatcher.
pub enum Order {
    /// Forward a call. It ends with an [`Event::AttemptCompleted`].
    Attempt {
        call: Rc<Call>,
        /// The attempt's number within its request, from 0.
        attempt: usize,
        /// From `created_at` on, in microseconds.
        limit: Micros,
        created_at: Instant,
    },
    /// Cancel an attempt; does nothing where it has ended.
    Cancel { request: Id, attempt: usize },
    /// Ask the server whether it is there. It ends with an [`Event::HealthCheckCompleted`].
    CheckHealth,
    /// Close the connections that are idle.
    CloseIdle,
    /// The server has another address from now on.
    ChangeAddress(SocketAddr),
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
    /// Whether the last value that was compared with the one before it on its connection equalled that.
    values_repeat: Cell<bool>,
    shared: Rc<Shared>,
    events: Sender<Event>,
}

/// What the actor handles next.
enum Input {
    Order(Order),
    /// Idle connections are to be looked at.
    Sweep,
    /// No more orders will come.
    Closed,
}

/// Starts the actor of a server. It ends once its mailbox is closed; attempts in flight then end on their own.
pub fn start(shared: &Rc<Shared>, events: &Sender<Event>, server: &Id, address: SocketAddr) -> Sender<Order> {
    let (orders, mailbox) = async_channel::bounded(MAX_QUEUED_ORDERS);
    let upstream = Rc::new(Upstream {
        server: server.clone(),
        pool: ConnectionPool::new(shared.clone(), address),
        attempts: RefCell::default(),
        values_repeat: Cell::default(),
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
            Order::Attempt { call, attempt, limit, created_at } => {
                self.start_attempt(call, attempt, limit, created_at);
            }
            Order::Cancel { request, attempt } => self.cancel_attempt(request, attempt).await,
            Order::CheckHealth => self.start_health_check(),
            Order::CloseIdle => self.pool.close_idle(),
            Order::ChangeAddress(address) => self.pool.change_address(address),
        }
    }

    fn start_attempt(self: &Rc<Self>, call: Rc<Call>, attempt: usize, limit: Micros, created_at: Instant) {
        let key = (call.request.id.clone(), attempt);
        let upstream = self.clone();
        // What the order waited for this process is not the server's time.
        let began_at = Instant::now();
        let task =
            self.shared.executor.spawn(upstream.run_attempt(call, attempt, limit, created_at, began_at));
        self.attempts.borrow_mut().insert(key, RunningAttempt { task, began_at });
    }

    async fn run_attempt(
        self: Rc<Self>,
        call: Rc<Call>,
        attempt: usize,
        limit: Micros,
        created_at: Instant,
        began_at: Instant,
    ) {
        let served = self.forward(&call, attempt, limit, created_at).await;
        let request = call.request.id.clone();
        // Danger: an attempt that were still listed here could be cancelled now, and would be completed twice.
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

    /// Closes the attempt's connection, and only then reports its end.
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
        // Danger: the dispatcher waits for this actor's mailbox at times, so this actor must never wait for the dispatcher's.
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
