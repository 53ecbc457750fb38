//! The actor of the shared counter: calls pipelined on one connection, answered in their order.
//!
//! It owns the connection and the calls that have no answer yet. Where its connection falls silent, another actor with a connection of
//! its own takes over the mailbox, and this one waits for the answers that it is owed. What an answer means for a quota is not decided
//! here, nor is any call repeated.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use fernscale_policy::Micros;
use futures_lite::future::{self, BoxedLocal};
use slog::{info, warn};

use crate::outcome::{AttemptFailure, CounterAnswer};
use crate::protocol::resp::{self, Reply};
use crate::shared::{Event, Shared, MAX_QUEUED_EVENTS};
use crate::transport::buffer::Buffer;
use crate::transport::clock::{micros, DeadlineTimer};
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;

/// Calls without an answer, expired ones too.
const MAX_UNANSWERED: usize = 4_096;
/// Bytes of answers that are not read yet: each answer is a short line or number.
const MAX_ANSWER_BYTES: usize = 4 * 1024;
/// How much longer than the platform's timeout an answer is waited for. Danger: an overloaded counter answers each call in its
/// turn. Given up before that, every call would be answered in vain; and since a call given up may have been applied or not, the
/// shared total would be uncertain for its whole window.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// How long nothing may be received while calls are unanswered before the connection is taken for dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that an answer may take from its first byte to its end. Danger: one that never ends would keep the answers behind it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Actors of one counter at once, the silent ones included: each has a descriptor among those that the gateway reserves for itself.
const MAX_ACTORS: usize = 8;

/// An amount to be added to a counter.
pub struct CounterUpdate {
    pub key: Box<str>,
    pub amount: f64,
    /// How long the counter keeps the key after this.
    pub lifetime: Micros,
    /// When the engine ordered it, from which its timeout counts.
    pub created_at: Instant,
}

/// A call that has been written.
struct SentCall {
    key: Box<str>,
    created_at: Instant,
}

/// The state of the connection.
enum Link {
    Down,
    /// In the background: a slow dial must not keep updates, or the end of the mailbox, from being received.
    Dialing(BoxedLocal<Result<Connection, ConnectionEnd>>),
    Up(Connection),
}

/// The actor.
pub struct Counter {
    shared: Rc<Shared>,
    events: Sender<Event>,
    address: SocketAddr,
    /// How long the answer to a call is waited for.
    timeout: Duration,
    link: Link,
    /// No more updates are taken: the mailbox is closed, or another actor has taken it over.
    is_closed: bool,
    /// Updates that wait for the connection to come up.
    unsent: VecDeque<CounterUpdate>,
    /// Calls written on this connection; the first `expired` of them have been reported as timed out.
    unanswered: VecDeque<SentCall>,
    expired: usize,
    last_received_at: Instant,
    last_answered_at: Option<Instant>,
    /// One handle for each actor of this counter that runs.
    actors: Rc<()>,
}

/// What the actor handles next.
enum Input {
    Update(CounterUpdate),
    /// The mailbox is closed.
    Closed,
    Dialed(Result<Connection, ConnectionEnd>),
    Received(Result<(), ConnectionEnd>),
    Deadline,
}

impl Link {
    async fn next_input(&mut self) -> Input {
        match self {
            Link::Down => future::pending().await,
            Link::Dialing(dial) => Input::Dialed(dial.await),
            Link::Up(connection) => Input::Received(connection.read().await),
        }
    }

    /// Since when an answer has been coming that is not complete.
    fn answer_begun_at(&self) -> Option<Instant> {
        match self {
            Link::Up(connection) => connection.buffer.message_began_at(),
            Link::Down | Link::Dialing(_) => None,
        }
    }
}

impl Counter {
    fn new(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr, actors: Rc<()>) -> Self {
        Counter {
            shared: shared.clone(),
            events: events.clone(),
            address,
            timeout: Duration::from_micros(shared.platform.counter_timeout) + ANSWER_GRACE,
            link: Link::Down,
            is_closed: false,
            unsent: VecDeque::new(),
            unanswered: VecDeque::new(),
            expired: 0,
            last_received_at: Instant::now(),
            last_answered_at: None,
            actors,
        }
    }

    /// Starts the actor of the counter at this address. It ends once its mailbox is closed and its last call has ended.
    pub fn start(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr) -> Sender<CounterUpdate> {
        let (updates, mailbox) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let counter = Counter::new(shared, events, address, Rc::default());
        shared.executor.spawn(counter.run(mailbox)).detach();
        updates
    }

    async fn run(mut self, mailbox: Receiver<CounterUpdate>) {
        let mut timer = DeadlineTimer::new();
        while !self.has_ended() {
            let deadline = self.next_deadline();
            let is_closed = self.is_closed;
            let update = async {
                if is_closed {
                    future::pending::<()>().await;
                }
                mailbox.recv().await.map_or(Input::Closed, Input::Update)
            };
            let expiry = async {
                timer.wait(deadline).await;
                Input::Deadline
            };
            match future::or(self.link.next_input(), future::or(expiry, update)).await {
                Input::Update(update) => self.send(update).await,
                Input::Closed => self.is_closed = true,
                Input::Dialed(result) => self.dialed(result).await,
                Input::Received(Ok(())) => self.handle_answers().await,
                Input::Received(Err(end)) => self.connection_ended(end).await,
                Input::Deadline => {
                    self.expire_calls().await;
                    self.hand_over_if_silent(&mailbox);
                }
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.is_closed && self.unsent.is_empty() && self.unanswered.is_empty()
    }

    /// When a call expires next, or the connection is too long silent or in the middle of an answer.
    fn next_deadline(&self) -> Option<Instant> {
        let sent = match self.unanswered.get(self.expired) {
            Some(call) => Some(call.created_at + self.timeout),
            None if self.unanswered.is_empty() => None,
            None if self.may_hand_over() => Some(self.last_received_at + self.timeout),
            None => Some(self.last_received_at + SILENCE_TIMEOUT),
        };
        let unsent = self.unsent.front().map(|update| update.created_at + self.timeout);
        let answer = self.link.answer_begun_at().map(|begun_at| begun_at + ANSWER_TIMEOUT);
        [sent, unsent, answer].into_iter().flatten().min()
    }

    /// Whether another actor may take over the mailbox.
    fn may_hand_over(&self) -> bool {
        !self.is_closed && Rc::strong_count(&self.actors) < MAX_ACTORS
    }

    /// Has another actor take over where this connection is silent. Danger: until a silent connection is known to be dead, all calls on
    /// it would be lost, while another connection may be answered.
    fn hand_over_if_silent(&mut self, mailbox: &Receiver<CounterUpdate>) {
        let is_silent = self.expired > 0 && self.last_received_at.elapsed() >= self.timeout;
        if is_silent && self.may_hand_over() {
            self.is_closed = true;
            let successor = Counter::new(&self.shared, &self.events, self.address, self.actors.clone());
            self.shared.executor.spawn(successor.run(mailbox.clone())).detach();
        }
    }

    async fn dialed(&mut self, result: Result<Connection, ConnectionEnd>) {
        match result {
            Ok(connection) => {
                self.link = Link::Up(connection);
                for update in std::mem::take(&mut self.unsent) {
                    self.send(update).await;
                }
            }
            Err(end) => {
                self.link = Link::Down;
                for update in std::mem::take(&mut self.unsent) {
                    self.report_unsent(update, end).await;
                }
            }
        }
    }

    /// Writes a call, or dials where there is no connection.
    async fn send(&mut self, update: CounterUpdate) {
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.connection_ended(ConnectionEnd::TimedOut).await;
        }
        let Link::Up(connection) = &mut self.link else {
            self.dial_if_down();
            return self.unsent.push_back(update);
        };
        if self.unanswered.is_empty() {
            self.last_received_at = Instant::now();
        }
        let lifetime_ms = update.lifetime.div_ceil(1000).max(1).to_string();
        let amount = update.amount.to_string();
        let words = [b"ADDGET", update.key.as_bytes(), amount.as_bytes(), lifetime_ms.as_bytes()];
        let command = resp::write_command(&words);
        let until = update.created_at + self.timeout;
        match within(until, ConnectionEnd::TimedOut, connection.write(&command)).await {
            Ok(()) => {
                let CounterUpdate { key, created_at, .. } = update;
                self.unanswered.push_back(SentCall { key, created_at });
            }
            Err(end) => {
                self.report_unsent(update, end).await;
                // Danger: a call that is cut off in the middle would spoil those behind it.
                self.connection_ended(end).await;
            }
        }
    }

    fn dial_if_down(&mut self) {
        if matches!(self.link, Link::Down) {
            let buffer = Buffer::new(MAX_ANSWER_BYTES, None);
            let dial = Connection::connect(self.address, self.timeout, buffer, None);
            self.link = Link::Dialing(Box::pin(dial));
        }
    }

    /// Reports the answers that have come complete.
    async fn handle_answers(&mut self) {
        self.last_received_at = Instant::now();
        while let Link::Up(connection) = &mut self.link {
            let total = match resp::reply(connection.buffer.filled()) {
                Ok(None) => return,
                Ok(Some((reply, length))) => {
                    let total = total_of(&reply);
                    connection.buffer.consume(length);
                    total
                }
                Err(_) => None,
            };
            // What is malformed answers no call: that call is reported with the rest.
            let answered = total.and_then(|total| Some((total, self.unanswered.pop_front()?)));
            let Some((total, call)) = answered else {
                return self.connection_ended(ConnectionEnd::Malformed).await;
            };
            self.last_answered_at = Some(self.last_received_at);
            if self.expired > 0 {
                // Its call has been reported as timed out.
                self.expired -= 1;
            } else {
                self.report(call.key, Ok(total), call.created_at).await;
            }
        }
    }

    /// Reports the calls that have expired, and gives up a connection that is dead.
    async fn expire_calls(&mut self) {
        while let Some(update) =
            self.unsent.pop_front_if(|update| update.created_at.elapsed() >= self.timeout)
        {
            self.report_unsent(update, ConnectionEnd::ConnectTimeout).await;
        }
        while let Some(call) = self.unanswered.get(self.expired) {
            if call.created_at.elapsed() < self.timeout {
                break;
            }
            // Where answers came before but none since, the connection has stalled; else the counter may be overloaded.
            let has_stalled = self.last_answered_at.is_some_and(|answered_at| answered_at <= call.created_at);
            let end = if has_stalled { ConnectionEnd::Stalled } else { ConnectionEnd::TimedOut };
            let key = call.key.clone();
            let created_at = call.created_at;
            self.expired += 1;
            self.report(key, Err(AttemptFailure::unanswered(end)), created_at).await;
        }
        if self.link.answer_begun_at().is_some_and(|begun_at| begun_at.elapsed() >= ANSWER_TIMEOUT) {
            self.connection_ended(ConnectionEnd::Malformed).await;
        }
        if !self.unanswered.is_empty() && self.last_received_at.elapsed() >= SILENCE_TIMEOUT {
            warn!(self.shared.log, #"counter.silent", "the counter is silent"; "calls" => self.unanswered.len());
            self.connection_ended(ConnectionEnd::TimedOut).await;
        }
    }

    /// Closes the connection, and reports the calls on it that have not been reported.
    async fn connection_ended(&mut self, end: ConnectionEnd) {
        self.link = Link::Down;
        if !self.unanswered.is_empty() {
            info!(self.shared.log, #"counter.ended", "the counter's connection ended"; "how" => ?end, "calls" => self.unanswered.len());
        }
        let reported = std::mem::take(&mut self.expired);
        for call in std::mem::take(&mut self.unanswered).into_iter().skip(reported) {
            self.report(call.key, Err(AttemptFailure::unanswered(end)), call.created_at).await;
        }
    }

    async fn report_unsent(&self, update: CounterUpdate, end: ConnectionEnd) {
        self.report(update.key, Err(AttemptFailure::unsent(end)), update.created_at).await;
    }

    async fn report(&self, key: Box<str>, end: Result<CounterAnswer, AttemptFailure>, created_at: Instant) {
        let elapsed = micros(created_at.elapsed());
        drop(self.events.send(Event::CounterReplied { key, end, elapsed }).await);
    }
}

/// What an answer says; none where it is malformed.
fn total_of(reply: &Reply) -> Option<CounterAnswer> {
    match reply {
        Reply::Bulk(Some(total)) => {
            let total: f64 = std::str::from_utf8(total).ok()?.parse().ok()?;
            total.is_finite().then_some(CounterAnswer::Total(total))
        }
        Reply::Error(line) if line.starts_with(b"BUSY") => Some(CounterAnswer::Overloaded),
        Reply::Error(_) => Some(CounterAnswer::Error),
        _ => None,
    }
}
