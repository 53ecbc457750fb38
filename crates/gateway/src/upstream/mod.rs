//! The actor of one server: its connections, and the trips and probes on them.
//!
//! Each trip has a connection to itself. To give a trip up is to close its connection, and no other may suffer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use fernscale_policy::{Id, LoadReport, Micros};
use futures_lite::{future, StreamExt};

use crate::outcome::AttemptFailure;
use crate::protocol::call::{self, Call, Came, ServerReply};
use crate::protocol::resp::{self, Opening, Reply};
use crate::protocol::Scanned;
use crate::shared::{CompletedAttempt, Event, Piece, ResponseStream, Shared, MAX_QUEUED_ORDERS};
use crate::transport::buffer::Buffer;
use crate::transport::clock::{boottime, micros, DeadlineTimer};
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;

/// How often idle connections are looked at: those that have ended or stood too long give their sockets back.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Rest of a connection after each answer: a second copy that follows it would be taken for the next one's answer,
/// and comes some thousandths of a second later at most.
const REST_AFTER_REPLY: Duration = Duration::from_millis(20);
/// Part of the site's idle time after which a connection is closed from here: later the server may do so while a
/// trip is on its way.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// Where a connection that was kept breaks under its next attempt, others that were kept as long would too, as something
/// on the way forgets them sooner than the site says: from then on they are kept for this part of that time at most,
/// and for so much longer with each answer. Then new ones are dialled more often, which costs the server a little.
const EARLY_CLOSE_DIVISOR: u32 = 2;
/// How long a server that gives a long value may give no byte of it: it has its client with it, and is not cut off while
/// anything comes.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_LIMIT_RECOVERY: Duration = Duration::from_millis(2);

pub enum Order {
    Attempt { call: Rc<Call>, attempt: usize, limit: Micros, created_at: Instant },
    Cancel { request: Id, attempt: usize },
    CheckHealth,
    CloseIdle,
    ChangeAddress(SocketAddr),
}

/// A transaction, and the number of the trip.
type AttemptKey = (Id, usize);

struct Upstream {
    server: Id,
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<Connection>>,
    last_sweep: Cell<Instant>,
    /// How long a connection may be kept idle.
    idle_limit: Cell<Duration>,
    /// The trips that are out, and when each was made.
    attempts: RefCell<HashMap<AttemptKey, (Task<()>, Instant)>>,
    shared: Rc<Shared>,
    events: Sender<Event>,
}

/// Starts the actor; it ends, and its trips with their answers, once nobody can order anything any more.
pub fn start(shared: &Rc<Shared>, events: &Sender<Event>, server: &Id, address: SocketAddr) -> Sender<Order> {
    let (orders, mailbox) = async_channel::bounded(MAX_QUEUED_ORDERS);
    let upstream = Rc::new(Upstream {
        server: server.clone(),
        address: Cell::new(address),
        idle: RefCell::default(),
        last_sweep: Cell::new(Instant::now()),
        idle_limit: Cell::new(max_idle(shared)),
        attempts: RefCell::default(),
        shared: shared.clone(),
        events: events.clone(),
    });
    shared.executor.spawn(upstream.run(mailbox)).detach();
    orders
}

/// How long a connection is kept idle where nothing speaks against it.
fn max_idle(shared: &Shared) -> Duration {
    Duration::from_micros((IDLE_TIMEOUT_FRACTION * shared.platform.idle_timeout as f64) as Micros)
}

impl Upstream {
    async fn run(self: Rc<Self>, mailbox: Receiver<Order>) {
        let mut mailbox = std::pin::pin!(mailbox);
        let mut alarm = DeadlineTimer::new();
        loop {
            let next = self.last_sweep.get() + SWEEP_INTERVAL;
            let any = !self.idle.borrow().is_empty();
            let sweep = async {
                alarm.wait(any.then_some(next)).await;
                Some(None)
            };
            match future::or(async { mailbox.next().await.map(Some) }, sweep).await {
                Some(Some(order)) => self.handle_order(order).await,
                Some(None) => {}
                None => break,
            }
            if Instant::now() >= next {
                self.last_sweep.set(Instant::now());
                self.idle.borrow_mut().retain(|connection| self.is_reusable(connection));
            }
        }
        for (task, _) in self.attempts.take().into_values() {
            task.detach();
        }
    }

    async fn handle_order(self: &Rc<Self>, order: Order) {
        match order {
            Order::Attempt { call, attempt, limit, created_at } => {
                let key = (call.request.id.clone(), attempt);
                let upstream = self.clone();
                let task = self.shared.executor.spawn(upstream.attempt(call, attempt, limit, created_at));
                self.attempts.borrow_mut().insert(key, (task, created_at));
            }
            Order::Cancel { request, attempt } => {
                let task = self.attempts.borrow_mut().remove(&(request.clone(), attempt));
                if let Some((task, created_at)) = task {
                    // Its connection is closed before its end is told.
                    task.cancel().await;
                    let end = Err(AttemptFailure::unsent(ConnectionEnd::GivenUp));
                    let (server, elapsed) = (self.server.clone(), micros(created_at.elapsed()));
                    let returned =
                        Event::AttemptCompleted(CompletedAttempt { request, attempt, server, end, elapsed });
                    // The module waits for this mailbox at times, so this actor never waits for the module's.
                    let events = self.events.clone();
                    let tell = async move { drop(events.send(returned).await) };
                    self.shared.executor.spawn(tell).detach();
                }
            }
            Order::CheckHealth => {
                let upstream = self.clone();
                let health_check = async move {
                    let end = upstream.check_health().await;
                    let probed = Event::HealthCheckCompleted { server: upstream.server.clone(), end };
                    drop(upstream.events.send(probed).await);
                };
                self.shared.executor.spawn(health_check).detach();
            }
            Order::CloseIdle => self.idle.borrow_mut().clear(),
            Order::ChangeAddress(address) => {
                self.address.set(address);
                self.idle.borrow_mut().clear();
            }
        }
    }

    /// Whether an idle connection may be used: it is open, and the server won't close it under a trip.
    fn is_reusable(&self, connection: &Connection) -> bool {
        connection.used.elapsed() < self.idle_limit.get() && connection.has_no_input()
    }

    /// Learns from what became of a connection that had been idle for so long.
    fn adjust_idle_limit<T>(&self, idle: Option<Duration>, end: &Result<T, AttemptFailure>) {
        match (idle, end) {
            (_, Ok(_)) => {
                self.idle_limit.set((self.idle_limit.get() + IDLE_LIMIT_RECOVERY).min(max_idle(&self.shared)))
            }
            (Some(idle), Err(AttemptFailure { how: ConnectionEnd::Broken | ConnectionEnd::Closed, .. })) => {
                self.idle_limit.set(idle / EARLY_CLOSE_DIVISOR)
            }
            _ => {}
        }
    }

    async fn attempt(self: Rc<Self>, call: Rc<Call>, attempt: usize, limit: Micros, created_at: Instant) {
        let until = created_at + Duration::from_micros(limit);
        let command = call.command(limit);
        let request = call.request.id.clone();
        // Danger: a client that leaves while its trip waits here or dials. To begin nothing is no cancelling, and always allowed.
        let is_wanted = || !call.client_gone.get();
        let on_written = || self.shared.metrics.tried();
        let scan = |bytes: &[u8], ended: bool| call::came(bytes, ended, self.load());
        let came = self.exchange(&command, until, is_wanted, on_written, scan);
        let end = match came.await {
            Ok((Came::Whole(reply), connection)) => {
                self.release(connection);
                Ok(reply)
            }
            Ok((Came::Opens(value_head), connection)) => {
                self.stream_value(value_head, connection, request.clone(), attempt).await
            }
            Err(failure) => Err(failure),
        };
        if let Some((task, _)) = self.attempts.borrow_mut().remove(&(request.clone(), attempt)) {
            task.detach();
        }
        let (server, elapsed) = (self.server.clone(), micros(created_at.elapsed()));
        let returned = CompletedAttempt { request, attempt, server, end, elapsed };
        drop(self.events.send(Event::AttemptCompleted(returned)).await);
    }

    async fn check_health(&self) -> Result<LoadReport, AttemptFailure> {
        let until = Instant::now() + Duration::from_micros(self.shared.platform.connect_timeout);
        let command = resp::write_command(&[b"PING"]);
        let reply = |bytes: &[u8], _: bool| match resp::reply(bytes)? {
            Some((Reply::Simple(_), length)) => Ok(Some((LoadReport::default(), length))),
            Some(_) => Err("no good word"),
            None => Ok(None),
        };
        let (load, connection) = self.exchange(&command, until, || true, || {}, reply).await?;
        self.release(connection);
        Ok(load)
    }

    fn load(&self) -> &[String] {
        &self.shared.platform.load_fields
    }

    /// Passes a long value on as it comes, and reads what stands behind it.
    async fn stream_value(
        &self,
        value_head: Opening,
        mut connection: Connection,
        request: Id,
        attempt: usize,
    ) -> Result<(ServerReply, LoadReport), AttemptFailure> {
        let (pass, pieces) = async_channel::bounded(1);
        let flow = ResponseStream { length: value_head.length, pieces };
        drop(self.events.send(Event::ResponseStarted { request, attempt, flow }).await);
        let given_up = |_| AttemptFailure::unanswered(ConnectionEnd::GivenUp);
        let mut left = value_head.length;
        while left > 0 {
            let until = Instant::now() + STREAM_STALL_TIMEOUT;
            let piece = within(until, ConnectionEnd::Stalled, connection.read_chunk(left))
                .await
                .map_err(AttemptFailure::unanswered)?;
            left -= piece.len();
            // The client's task takes it when it has written the last: so a slow client holds the server back.
            pass.send(Piece::Bytes(piece)).await.map_err(given_up)?;
        }
        let (rest, until) = (value_head.items - 1, Instant::now() + STREAM_STALL_TIMEOUT);
        let message_timeout = Duration::from_micros(self.shared.platform.connect_timeout);
        // The value is whole as soon as its line end is there, and its client does not wait for what is behind that.
        let line_end = |bytes: &[u8]| match bytes {
            [b'\r', b'\n', ..] => Ok(Some(((), 0))),
            [] | [b'\r'] => Ok(None),
            _ => Err("a value does not end where it should"),
        };
        connection
            .message(line_end, until, STREAM_STALL_TIMEOUT)
            .await
            .map_err(AttemptFailure::unanswered)?;
        pass.send(Piece::End).await.map_err(given_up)?;
        drop(pass);
        let scan = |bytes: &[u8]| call::behind(bytes, rest, false, self.load());
        match connection.message(scan, Instant::now() + message_timeout, message_timeout).await {
            Ok(reply) => {
                self.release(connection);
                Ok(reply)
            }
            Err(how) => match call::behind(connection.buffer.filled(), rest, true, self.load()) {
                Ok(Some((reply, _))) => Ok(reply),
                _ => Err(AttemptFailure::unanswered(how)),
            },
        }
    }

    /// Has a command answered on a connection of its own, which is handed back. `is_wanted` is asked before its first byte is
    /// written, `on_written` is called once its last one is; `scan` is told whether no more will come.
    async fn exchange<T>(
        &self,
        command: &[u8],
        until: Instant,
        is_wanted: impl Fn() -> bool,
        on_written: impl Fn(),
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<(T, Connection), AttemptFailure> {
        let (connection, idle) = match self.take_rested() {
            Some(connection) => {
                let idle = connection.used.elapsed();
                (connection, Some(idle))
            }
            None => (
                within(until, ConnectionEnd::NeverUp, self.dial()).await.map_err(AttemptFailure::unsent)?,
                None,
            ),
        };
        // Nothing is waited for between this look and the first byte.
        if let Err(how) = self.check_still_allowed(&connection, is_wanted()) {
            if how == ConnectionEnd::Unwanted {
                self.release(connection);
            }
            return Err(AttemptFailure::unsent(how));
        }
        let end = self.exchange_on(connection, command, until, on_written, scan).await;
        self.adjust_idle_limit(idle, &end);
        end
    }

    /// What was right when an attempt was created may not be once it has waited for this actor, or dialled: whether its first byte
    /// may still go out on this connection.
    fn check_still_allowed(&self, connection: &Connection, is_wanted: bool) -> Result<(), ConnectionEnd> {
        if !is_wanted {
            return Err(ConnectionEnd::Unwanted);
        }
        // Danger: the server was taken out of use meanwhile, drains, has left, or has another address.
        if self.shared.cordoned.borrow().contains(&self.server) {
            return Err(ConnectionEnd::Cordoned);
        }
        if self.shared.draining.borrow().contains(&self.server)
            || !connection.is_connected_to(self.address.get())
        {
            return Err(ConnectionEnd::Left);
        }
        // Danger: this process was stopped, and goes on by a list of long ago.
        let fresh = self.shared.endpoints_fresh_until.get();
        if fresh < Micros::MAX && boottime() >= fresh {
            return Err(ConnectionEnd::OldList);
        }
        Ok(())
    }

    /// Writes the command and reads the reply.
    async fn exchange_on<T>(
        &self,
        mut connection: Connection,
        command: &[u8],
        until: Instant,
        on_written: impl Fn(),
        scan: impl Fn(&[u8], bool) -> Scanned<T>,
    ) -> Result<(T, Connection), AttemptFailure> {
        within(until, ConnectionEnd::Silent, connection.write(command))
            .await
            .map_err(AttemptFailure::unsent)?;
        on_written();
        // An answer that has begun comes in one piece: its end is not longer in coming than a connection is.
        let message_timeout = Duration::from_micros(self.shared.platform.connect_timeout);
        let reply = match connection.message(|bytes| scan(bytes, false), until, message_timeout).await {
            Ok(reply) => reply,
            Err(how) => match scan(connection.buffer.filled(), true) {
                // All that matters has come, and the rest of the connection is of no use.
                Ok(Some((reply, _))) => {
                    connection.spoilt = true;
                    reply
                }
                _ => return Err(AttemptFailure::unanswered(how)),
            },
        };
        Ok((reply, connection))
    }

    /// Keeps a connection for the next attempt, if it is good for one.
    fn release(&self, mut connection: Connection) {
        // Idle connections must leave sockets for those to other servers.
        let reusable = connection.buffer.is_empty()
            && !connection.spoilt
            && connection.is_connected_to(self.address.get());
        if reusable && self.shared.limits.servers.is_mostly_free() {
            connection.used = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }

    /// The good idle connection used last, so that those not needed any more grow old.
    fn take_rested(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        // They stand in the order of their last use; a look at the clock for each that rests would cost more than all.
        let now = Instant::now();
        let mut rested =
            idle.partition_point(|connection| now.duration_since(connection.used) >= REST_AFTER_REPLY);
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
        let place = self.shared.limits.servers.reserve(1).ok_or(ConnectionEnd::NoSocket)?;
        let limit = Duration::from_micros(self.shared.platform.connect_timeout);
        let buffer = Buffer::new(resp::MOST_MESSAGE, Some(self.shared.limits.from_servers.clone()));
        Connection::connect(self.address.get(), limit, buffer, Some(place)).await
    }
}
