//! The actor of the shared counter: it pipelines calls on one connection; the counter answers them in order.
//!
//! The actor owns the connection and the unanswered calls. If the connection falls silent, another actor with its own connection
//! takes over the mailbox, and the first actor only waits for its unanswered calls. The actor neither decides what an answer
//! means for a quota, nor retries calls.

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
use crate::transport::connection::{with_deadline, Connection};
use crate::transport::ending::ConnectionEnd;

/// The maximum number of unanswered calls, including expired calls.
const MAX_UNANSWERED: usize = 4_096;
/// The maximum size of buffered answers, in bytes: each answer is a short line or number.
const MAX_ANSWER_BYTES: usize = 4 * 1024;
/// How much longer than the platform's timeout the actor waits for an answer. An overloaded counter answers calls late, one after
/// another. With an earlier timeout, the counter would do all its work in vain; and because a call that timed out may have been
/// applied or not, the shared total would be uncertain for its whole window.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// A connection with unanswered calls is considered dead after nothing has been received for this time.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum time from the first byte of an answer to its end: an answer that never ends would block the answers behind it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// The maximum number of concurrent actors of one counter, including actors with a silent connection: each needs one of the file
/// descriptors that the gateway reserves for itself.
const MAX_ACTORS: usize = 8;

/// An order to add an amount to the counter of a key.
pub struct CounterUpdate {
    pub key: Box<str>,
    pub amount: f64,
    /// How long the counter keeps the key after this update.
    pub lifetime: Micros,
    /// When the engine ordered the update. The timeout of the call starts at this time.
    pub created_at: Instant,
}

/// A call that has been sent.
struct SentCall {
    key: Box<str>,
    created_at: Instant,
}

/// The state of the connection.
enum Link {
    Down,
    /// The dial runs in the background: a slow dial must not delay the receipt of updates or of the end of the mailbox.
    Dialing(BoxedLocal<Result<Connection, ConnectionEnd>>),
    Up(Connection),
}

/// The actor of the shared counter.
pub struct Counter {
    shared: Rc<Shared>,
    events: Sender<Event>,
    address: SocketAddr,
    /// The timeout of a call.
    timeout: Duration,
    link: Link,
    /// Whether the actor no longer receives updates: the mailbox is closed, or another actor has taken it over.
    is_closed: bool,
    /// Updates that wait until the connection is up.
    unsent: VecDeque<CounterUpdate>,
    /// Calls sent on this connection; the first `expired` of them have been reported as timed out.
    unanswered: VecDeque<SentCall>,
    expired: usize,
    last_received_at: Instant,
    last_answered_at: Option<Instant>,
    /// Counts the running actors of this counter: each holds one reference.
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
    /// Waits for the next input from the connection or its dial.
    async fn next_input(&mut self) -> Input {
        match self {
            Link::Down => future::pending().await,
            Link::Dialing(dial) => Input::Dialed(dial.await),
            Link::Up(connection) => Input::Received(connection.read().await),
        }
    }

    /// When the first byte of an incomplete answer was received.
    fn answer_began_at(&self) -> Option<Instant> {
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

    /// Starts the actor of the counter at this address. The actor ends when its mailbox is closed and its last call has ended.
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
                Input::Dialed(result) => self.handle_dialed(result).await,
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

    /// The next time at which a call expires, or the connection has been silent or an answer incomplete for too long.
    fn next_deadline(&self) -> Option<Instant> {
        let sent = match self.unanswered.get(self.expired) {
            Some(call) => Some(call.created_at + self.timeout),
            None if self.unanswered.is_empty() => None,
            None if self.may_hand_over() => Some(self.last_received_at + self.timeout),
            None => Some(self.last_received_at + SILENCE_TIMEOUT),
        };
        let unsent = self.unsent.front().map(|update| update.created_at + self.timeout);
        let answer = self.link.answer_began_at().map(|began_at| began_at + ANSWER_TIMEOUT);
        [sent, unsent, answer].into_iter().flatten().min()
    }

    /// Whether another actor may take over the mailbox.
    fn may_hand_over(&self) -> bool {
        !self.is_closed && Rc::strong_count(&self.actors) < MAX_ACTORS
    }

    /// Lets another actor take over the mailbox if this connection is silent. Until a silent connection is known to be dead, all
    /// calls on it would be lost, while calls on another connection may be answered.
    fn hand_over_if_silent(&mut self, mailbox: &Receiver<CounterUpdate>) {
        let is_silent = self.expired > 0 && self.last_received_at.elapsed() >= self.timeout;
        if is_silent && self.may_hand_over() {
            self.is_closed = true;
            let successor = Counter::new(&self.shared, &self.events, self.address, self.actors.clone());
            self.shared.executor.spawn(successor.run(mailbox.clone())).detach();
        }
    }

    async fn handle_dialed(&mut self, result: Result<Connection, ConnectionEnd>) {
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

    /// Sends a call, or dials if there is no connection.
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
        let arguments = [b"ADDGET", update.key.as_bytes(), amount.as_bytes(), lifetime_ms.as_bytes()];
        let command = resp::write_command(&arguments);
        let deadline = update.created_at + self.timeout;
        match with_deadline(deadline, ConnectionEnd::TimedOut, connection.write(&command)).await {
            Ok(()) => {
                let CounterUpdate { key, created_at, .. } = update;
                self.unanswered.push_back(SentCall { key, created_at });
            }
            Err(end) => {
                self.report_unsent(update, end).await;
                // A call that is cut off in the middle would corrupt the calls behind it.
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

    /// Reports the complete answers.
    async fn handle_answers(&mut self) {
        self.last_received_at = Instant::now();
        while let Link::Up(connection) = &mut self.link {
            let total = match resp::reply(connection.buffer.filled()) {
                Ok(None) => return,
                Ok(Some((reply, length))) => {
                    let total = parse_total(&reply);
                    connection.buffer.consume(length);
                    total
                }
                Err(_) => None,
            };
            // A malformed answer answers no call: its call is reported with the other unanswered calls.
            let answered = total.and_then(|total| Some((total, self.unanswered.pop_front()?)));
            let Some((total, call)) = answered else {
                return self.connection_ended(ConnectionEnd::Malformed).await;
            };
            self.last_answered_at = Some(self.last_received_at);
            if self.expired > 0 {
                // The call has already been reported as timed out.
                self.expired -= 1;
            } else {
                self.report(call.key, Ok(total), call.created_at).await;
            }
        }
    }

    /// Reports the calls that have expired, and closes a dead connection.
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
            // If the counter answered earlier calls but none since this call, the connection has stalled; otherwise the counter
            // may be overloaded.
            let has_stalled = self.last_answered_at.is_some_and(|answered_at| answered_at <= call.created_at);
            let end = if has_stalled { ConnectionEnd::Stalled } else { ConnectionEnd::TimedOut };
            let key = call.key.clone();
            let created_at = call.created_at;
            self.expired += 1;
            self.report(key, Err(AttemptFailure::unanswered(end)), created_at).await;
        }
        if self.link.answer_began_at().is_some_and(|began_at| began_at.elapsed() >= ANSWER_TIMEOUT) {
            self.connection_ended(ConnectionEnd::Malformed).await;
        }
        if !self.unanswered.is_empty() && self.last_received_at.elapsed() >= SILENCE_TIMEOUT {
            warn!(self.shared.log, #"counter.silent", "no answer from the shared counter; closing the connection"; "calls" => self.unanswered.len());
            self.connection_ended(ConnectionEnd::TimedOut).await;
        }
    }

    /// Closes the connection, and reports the calls on it that have not been reported yet.
    async fn connection_ended(&mut self, end: ConnectionEnd) {
        self.link = Link::Down;
        if !self.unanswered.is_empty() {
            info!(self.shared.log, #"counter.ended", "the connection to the shared counter ended"; "how" => ?end, "calls" => self.unanswered.len());
        }
        let reported = std::mem::take(&mut self.expired);
        for call in std::mem::take(&mut self.unanswered).into_iter().skip(reported) {
            self.report(call.key, Err(AttemptFailure::unanswered(end)), call.created_at).await;
        }
    }

    /// Reports an update that was not sent completely.
    async fn report_unsent(&self, update: CounterUpdate, end: ConnectionEnd) {
        self.report(update.key, Err(AttemptFailure::unsent(end)), update.created_at).await;
    }

    /// Reports the end of a call to the dispatcher.
    async fn report(&self, key: Box<str>, end: Result<CounterAnswer, AttemptFailure>, created_at: Instant) {
        let elapsed = micros(created_at.elapsed());
        drop(self.events.send(Event::CounterReplied { key, end, elapsed }).await);
    }
}

/// The total in an answer; `None` if the answer is malformed.
fn parse_total(reply: &Reply) -> Option<CounterAnswer> {
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
