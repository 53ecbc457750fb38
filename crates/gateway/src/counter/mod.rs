//! The actor of the counter: calls written one behind another on one connection, answers in their order. Where that
//! falls silent another actor with a connection of its own takes the calls, and this one hears out what it is owed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use fernscale_policy::Micros;
use futures_lite::future::{self, BoxedLocal};
use slog::{info, warn};

use crate::outcome::{AttemptFailure, CounterTotal};
use crate::protocol::resp::{self, Reply};
use crate::shared::{Event, Shared, MAX_QUEUED_EVENTS};
use crate::transport::buffer::Buffer;
use crate::transport::clock::{micros, DeadlineTimer};
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;

/// Calls that wait for their answers at most, late ones too: some seconds of all that a counter can do.
const MAX_UNANSWERED: usize = 4_096;
/// Bytes of answers that are not read yet at most: each is a short line or number, and one without an end must not
/// be waited for long.
const MAX_ANSWER_BYTES: usize = 4 * 1024;
/// A call's answer is waited for so much longer than the site says. What is asked more than it can do answers each call
/// when it has had its turn, and turns away what its line has no room for: given up before that, every call would be
/// served for nobody. And a call given up may have been added or not, which puts a shared count out for a minute.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// A connection on which nothing has come for so long, with calls out, is taken to be dead: a machine that
/// vanished says nothing. An answer that has begun comes in one piece, or its end never will: were it waited for, all
/// calls behind it would go without word.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Connections at once, silent ones too: they stand for seconds each, and fit in with the gateway's own descriptors.
const MAX_ACTORS: usize = 8;

pub use self::CounterUpdate as Add;

pub struct CounterUpdate {
    pub key: Box<str>,
    pub amount: f64,
    pub lifetime: Micros,
    pub created_at: Instant,
}

struct SentCall {
    key: Box<str>,
    created_at: Instant,
}

enum Link {
    Down,
    Dialing(BoxedLocal<Result<Connection, ConnectionEnd>>),
    Up(Connection),
}

pub struct Counter {
    shared: Rc<Shared>,
    events: Sender<Event>,
    address: SocketAddr,
    timeout: Duration,
    link: Link,
    /// Calls that wait for the connection to come up.
    unsent: VecDeque<CounterUpdate>,
    /// Calls written on this connection; the first `expired` of them have been told of as timed out.
    unanswered: VecDeque<SentCall>,
    expired: usize,
    last_received_at: Instant,
    /// When the last answer came here.
    last_answered_at: Option<Instant>,
    /// One for each actor that still runs.
    actors: Rc<()>,
}

enum Input {
    Update(Option<CounterUpdate>),
    Dialed(Result<Connection, ConnectionEnd>),
    Received(Result<(), ConnectionEnd>),
    Deadline,
}

impl Counter {
    fn new(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr, actors: Rc<()>) -> Self {
        Counter {
            shared: shared.clone(),
            events: events.clone(),
            address,
            timeout: Duration::from_micros(shared.platform.counter_timeout) + ANSWER_GRACE,
            link: Link::Down,
            unsent: VecDeque::new(),
            unanswered: VecDeque::new(),
            expired: 0,
            last_received_at: Instant::now(),
            last_answered_at: None,
            actors,
        }
    }

    /// Starts the actor; it ends with its last call, once nobody can order any more.
    pub fn start(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr) -> Sender<CounterUpdate> {
        let (calls, mailbox) = async_channel::bounded(MAX_QUEUED_EVENTS);
        shared.executor.spawn(Counter::new(shared, events, address, Rc::default()).run(mailbox)).detach();
        calls
    }

    async fn run(mut self, mailbox: Receiver<CounterUpdate>) {
        let (mut alarm, mut is_closed) = (DeadlineTimer::new(), false);
        while !(is_closed && self.unsent.is_empty() && self.unanswered.is_empty()) {
            let next = match self.unanswered.get(self.expired) {
                Some(next) => Some(next.created_at + self.timeout),
                None if self.unanswered.is_empty() => None,
                None if self.may_hand_over(is_closed) => Some(self.last_received_at + self.timeout),
                None => Some(self.last_received_at + SILENCE_TIMEOUT),
            };
            let waiting = self.unsent.front().map(|update| update.created_at + self.timeout);
            let torn = self.answer_begun_at().map(|since| since + ANSWER_TIMEOUT);
            let next = next.into_iter().chain(waiting).chain(torn).min();
            let link = &mut self.link;
            let order = async {
                match is_closed {
                    true => future::pending().await,
                    false => Input::Update(mailbox.recv().await.ok()),
                }
            };
            let heard = async {
                match link {
                    Link::Down => future::pending().await,
                    Link::Dialing(dial) => Input::Dialed(dial.await),
                    Link::Up(connection) => Input::Received(connection.read().await),
                }
            };
            let late = async {
                alarm.wait(next).await;
                Input::Deadline
            };
            match future::or(heard, future::or(late, order)).await {
                Input::Update(Some(update)) => self.send(update).await,
                Input::Update(None) => is_closed = true,
                Input::Dialed(Ok(connection)) => {
                    self.link = Link::Up(connection);
                    for update in std::mem::take(&mut self.unsent) {
                        self.send(update).await;
                    }
                }
                Input::Dialed(Err(how)) => {
                    self.link = Link::Down;
                    for update in std::mem::take(&mut self.unsent) {
                        self.report(update.key, Err(AttemptFailure::unsent(how)), update.created_at).await;
                    }
                }
                Input::Received(Ok(())) => self.handle_answers().await,
                Input::Received(Err(how)) => self.connection_ended(how).await,
                Input::Deadline => {
                    self.expire_calls().await;
                    // A connection can fall silent while others would not: until it is dead, all calls would be lost.
                    let silent = self.expired > 0 && self.last_received_at.elapsed() >= self.timeout;
                    if silent && self.may_hand_over(is_closed) {
                        is_closed = true;
                        let next =
                            Counter::new(&self.shared, &self.events, self.address, self.actors.clone());
                        self.shared.executor.spawn(next.run(mailbox.clone())).detach();
                    }
                }
            }
        }
    }

    async fn send(&mut self, update: CounterUpdate) {
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.connection_ended(ConnectionEnd::Silent).await;
        }
        let Link::Up(connection) = &mut self.link else {
            if matches!(self.link, Link::Down) {
                // A slow dial must not keep what is said here, or to whom it belongs, from being heard.
                let dial = Connection::connect(
                    self.address,
                    self.timeout,
                    Buffer::new(MAX_ANSWER_BYTES, None),
                    None,
                );
                self.link = Link::Dialing(Box::pin(dial));
            }
            return self.unsent.push_back(update);
        };
        if self.unanswered.is_empty() {
            self.last_received_at = Instant::now();
        }
        let life = update.lifetime.div_ceil(1000).max(1).to_string();
        let amount = update.amount.to_string();
        let command =
            resp::write_command(&[b"ADDGET", update.key.as_bytes(), amount.as_bytes(), life.as_bytes()]);
        match within(update.created_at + self.timeout, ConnectionEnd::Silent, connection.write(&command))
            .await
        {
            Ok(()) => self.unanswered.push_back(SentCall { key: update.key, created_at: update.created_at }),
            Err(how) => {
                self.report(update.key, Err(AttemptFailure::unsent(how)), update.created_at).await;
                // A call cut off in its middle would spoil those behind it.
                self.connection_ended(how).await;
            }
        }
    }

    /// Hands on the answers that have come whole.
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
            // What can't be understood answers no call: that one is told of with the rest.
            let Some((total, call)) = total.and_then(|total| Some((total, self.unanswered.pop_front()?)))
            else {
                return self.connection_ended(ConnectionEnd::Garbled).await;
            };
            self.last_answered_at = Some(self.last_received_at);
            if self.expired > 0 {
                // An answer that comes late has been told of as none.
                self.expired -= 1;
            } else {
                self.report(call.key, Ok(total), call.created_at).await;
            }
        }
    }

    /// Tells of calls that have had their time; gives up a connection that is dead.
    async fn expire_calls(&mut self) {
        while self.unsent.front().is_some_and(|update| update.created_at.elapsed() >= self.timeout) {
            let Some(update) = self.unsent.pop_front() else { break };
            self.report(update.key, Err(AttemptFailure::unsent(ConnectionEnd::NeverUp)), update.created_at)
                .await;
        }
        while let Some(call) =
            self.unanswered.get(self.expired).filter(|call| call.created_at.elapsed() >= self.timeout)
        {
            let (key, created_at) = (call.key.clone(), call.created_at);
            self.expired += 1;
            // Nothing since, where answers came before: this is no counter that has more to do than it can.
            let stalled = self.last_answered_at.is_some_and(|answered| answered <= created_at);
            let how = if stalled { ConnectionEnd::Stalled } else { ConnectionEnd::Silent };
            self.report(key, Err(AttemptFailure::unanswered(how)), created_at).await;
        }
        if self.answer_begun_at().is_some_and(|since| since.elapsed() >= ANSWER_TIMEOUT) {
            self.connection_ended(ConnectionEnd::Garbled).await;
        }
        if !self.unanswered.is_empty() && self.last_received_at.elapsed() >= SILENCE_TIMEOUT {
            warn!(self.shared.log, #"counter.silent", "the counter is silent"; "calls" => self.unanswered.len());
            self.connection_ended(ConnectionEnd::Silent).await;
        }
    }

    /// Whether another actor may take the calls from this one.
    fn may_hand_over(&self, is_closed: bool) -> bool {
        !is_closed && Rc::strong_count(&self.actors) < MAX_ACTORS
    }

    /// Since when an answer has been coming that is not there whole.
    fn answer_begun_at(&self) -> Option<Instant> {
        match &self.link {
            Link::Up(connection) => connection.buffer.since(),
            _ => None,
        }
    }

    async fn connection_ended(&mut self, how: ConnectionEnd) {
        self.link = Link::Down;
        if !self.unanswered.is_empty() {
            info!(self.shared.log, #"counter.ended", "the counter's connection ended"; "how" => ?how, "calls" => self.unanswered.len());
        }
        let reported = std::mem::take(&mut self.expired);
        for call in std::mem::take(&mut self.unanswered).into_iter().skip(reported) {
            self.report(call.key, Err(AttemptFailure::unanswered(how)), call.created_at).await;
        }
    }

    async fn report(&self, key: Box<str>, end: Result<CounterTotal, AttemptFailure>, created_at: Instant) {
        drop(
            self.events.send(Event::CounterReplied { key, end, elapsed: micros(created_at.elapsed()) }).await,
        );
    }
}

fn total_of(reply: &Reply) -> Option<CounterTotal> {
    match reply {
        Reply::Bulk(Some(total)) => {
            let total: f64 = std::str::from_utf8(total).ok()?.parse().ok()?;
            total.is_finite().then_some(CounterTotal::Total(total))
        }
        Reply::Error(line) if line.starts_with(b"BUSY") => Some(CounterTotal::Full),
        Reply::Error(_) => Some(CounterTotal::Error),
        _ => None,
    }
}
