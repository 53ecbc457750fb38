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
const MOST_CALLS: usize = 4_096;
/// Bytes of answers that are not read yet at most: each is a short line or number, and one without an end must not
/// be waited for long.
const MOST_ANSWERS: usize = 4 * 1024;
/// A call's answer is waited for so much longer than the site says. What is asked more than it can do answers each call
/// when it has had its turn, and turns away what its line has no room for: given up before that, every call would be
/// served for nobody. And a call given up may have been added or not, which puts a shared count out for a minute.
const SLACK: Duration = Duration::from_millis(150);
/// A connection on which nothing has come for so long, with calls out, is taken to be dead: a machine that
/// vanished says nothing. An answer that has begun comes in one piece, or its end never will: were it waited for, all
/// calls behind it would go without word.
const DEAD: Duration = Duration::from_secs(2);
const PIECE: Duration = Duration::from_millis(50);
/// Connections at once, silent ones too: they stand for seconds each, and fit in with the gateway's own descriptors.
const MOST_LINES: usize = 8;

pub struct Add {
    pub count: Box<str>,
    pub amount: f64,
    pub life: Micros,
    pub made: Instant,
}

struct Out {
    count: Box<str>,
    made: Instant,
}

enum Line {
    Down,
    Dialled(BoxedLocal<Result<Connection, ConnectionEnd>>),
    Up(Connection),
}

pub struct Counter {
    shared: Rc<Shared>,
    events: Sender<Event>,
    address: SocketAddr,
    wait: Duration,
    line: Line,
    /// Calls that wait for the connection to come up.
    waiting: VecDeque<Add>,
    /// Calls written on this connection; the first `late` of them have been told of as timed out.
    out: VecDeque<Out>,
    late: usize,
    heard: Instant,
    /// When the last answer came here.
    answered: Option<Instant>,
    /// One for each actor that still runs.
    lines: Rc<()>,
}

enum Step {
    Order(Option<Add>),
    Dialled(Result<Connection, ConnectionEnd>),
    Heard(Result<(), ConnectionEnd>),
    Late,
}

impl Counter {
    fn new(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr, lines: Rc<()>) -> Self {
        Counter {
            shared: shared.clone(),
            events: events.clone(),
            address,
            wait: Duration::from_micros(shared.platform.counter_timeout) + SLACK,
            line: Line::Down,
            waiting: VecDeque::new(),
            out: VecDeque::new(),
            late: 0,
            heard: Instant::now(),
            answered: None,
            lines,
        }
    }

    /// Starts the actor; it ends with its last call, once nobody can order any more.
    pub fn start(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr) -> Sender<Add> {
        let (calls, mailbox) = async_channel::bounded(MAX_QUEUED_EVENTS);
        shared.executor.spawn(Counter::new(shared, events, address, Rc::default()).run(mailbox)).detach();
        calls
    }

    async fn run(mut self, mailbox: Receiver<Add>) {
        let (mut alarm, mut left) = (DeadlineTimer::new(), false);
        while !(left && self.waiting.is_empty() && self.out.is_empty()) {
            let next = match self.out.get(self.late) {
                Some(next) => Some(next.made + self.wait),
                None if self.out.is_empty() => None,
                None if self.may_leave(left) => Some(self.heard + self.wait),
                None => Some(self.heard + DEAD),
            };
            let waiting = self.waiting.front().map(|add| add.made + self.wait);
            let torn = self.begun().map(|since| since + PIECE);
            let next = next.into_iter().chain(waiting).chain(torn).min();
            let line = &mut self.line;
            let order = async {
                match left {
                    true => future::pending().await,
                    false => Step::Order(mailbox.recv().await.ok()),
                }
            };
            let heard = async {
                match line {
                    Line::Down => future::pending().await,
                    Line::Dialled(dial) => Step::Dialled(dial.await),
                    Line::Up(connection) => Step::Heard(connection.read().await),
                }
            };
            let late = async {
                alarm.wait(next).await;
                Step::Late
            };
            match future::or(heard, future::or(late, order)).await {
                Step::Order(Some(add)) => self.add(add).await,
                Step::Order(None) => left = true,
                Step::Dialled(Ok(connection)) => {
                    self.line = Line::Up(connection);
                    for add in std::mem::take(&mut self.waiting) {
                        self.add(add).await;
                    }
                }
                Step::Dialled(Err(how)) => {
                    self.line = Line::Down;
                    for add in std::mem::take(&mut self.waiting) {
                        self.tell(add.count, Err(AttemptFailure::unsent(how)), add.made).await;
                    }
                }
                Step::Heard(Ok(())) => self.answers().await,
                Step::Heard(Err(how)) => self.ended(how).await,
                Step::Late => {
                    self.late().await;
                    // A connection can fall silent while others would not: until it is dead, all calls would be lost.
                    let silent = self.late > 0 && self.heard.elapsed() >= self.wait;
                    if silent && self.may_leave(left) {
                        left = true;
                        let next = Counter::new(&self.shared, &self.events, self.address, self.lines.clone());
                        self.shared.executor.spawn(next.run(mailbox.clone())).detach();
                    }
                }
            }
        }
    }

    async fn add(&mut self, add: Add) {
        if self.out.len() >= MOST_CALLS {
            self.ended(ConnectionEnd::Silent).await;
        }
        let Line::Up(connection) = &mut self.line else {
            if matches!(self.line, Line::Down) {
                // A slow dial must not keep what is said here, or to whom it belongs, from being heard.
                let dial =
                    Connection::connect(self.address, self.wait, Buffer::new(MOST_ANSWERS, None), None);
                self.line = Line::Dialled(Box::pin(dial));
            }
            return self.waiting.push_back(add);
        };
        if self.out.is_empty() {
            self.heard = Instant::now();
        }
        let life = add.life.div_ceil(1000).max(1).to_string();
        let amount = add.amount.to_string();
        let command =
            resp::write_command(&[b"ADDGET", add.count.as_bytes(), amount.as_bytes(), life.as_bytes()]);
        match within(add.made + self.wait, ConnectionEnd::Silent, connection.write(&command)).await {
            Ok(()) => self.out.push_back(Out { count: add.count, made: add.made }),
            Err(how) => {
                self.tell(add.count, Err(AttemptFailure::unsent(how)), add.made).await;
                // A call cut off in its middle would spoil those behind it.
                self.ended(how).await;
            }
        }
    }

    /// Hands on the answers that have come whole.
    async fn answers(&mut self) {
        self.heard = Instant::now();
        while let Line::Up(connection) = &mut self.line {
            let told = match resp::reply(connection.buffer.filled()) {
                Ok(None) => return,
                Ok(Some((reply, length))) => {
                    let told = told(&reply);
                    connection.buffer.consume(length);
                    told
                }
                Err(_) => None,
            };
            // What can't be understood answers no call: that one is told of with the rest.
            let Some((told, out)) = told.and_then(|told| Some((told, self.out.pop_front()?))) else {
                return self.ended(ConnectionEnd::Garbled).await;
            };
            self.answered = Some(self.heard);
            if self.late > 0 {
                // An answer that comes late has been told of as none.
                self.late -= 1;
            } else {
                self.tell(out.count, Ok(told), out.made).await;
            }
        }
    }

    /// Tells of calls that have had their time; gives up a connection that is dead.
    async fn late(&mut self) {
        while self.waiting.front().is_some_and(|add| add.made.elapsed() >= self.wait) {
            let Some(add) = self.waiting.pop_front() else { break };
            self.tell(add.count, Err(AttemptFailure::unsent(ConnectionEnd::NeverUp)), add.made).await;
        }
        while let Some(out) = self.out.get(self.late).filter(|out| out.made.elapsed() >= self.wait) {
            let (count, made) = (out.count.clone(), out.made);
            self.late += 1;
            // Nothing since, where answers came before: this is no counter that has more to do than it can.
            let stalled = self.answered.is_some_and(|answered| answered <= made);
            let how = if stalled { ConnectionEnd::Stalled } else { ConnectionEnd::Silent };
            self.tell(count, Err(AttemptFailure::unanswered(how)), made).await;
        }
        if self.begun().is_some_and(|since| since.elapsed() >= PIECE) {
            self.ended(ConnectionEnd::Garbled).await;
        }
        if !self.out.is_empty() && self.heard.elapsed() >= DEAD {
            warn!(self.shared.log, #"counter.silent", "the counter is silent"; "calls" => self.out.len());
            self.ended(ConnectionEnd::Silent).await;
        }
    }

    /// Whether another actor may take the calls from this one.
    fn may_leave(&self, left: bool) -> bool {
        !left && Rc::strong_count(&self.lines) < MOST_LINES
    }

    /// Since when an answer has been coming that is not there whole.
    fn begun(&self) -> Option<Instant> {
        match &self.line {
            Line::Up(connection) => connection.buffer.since(),
            _ => None,
        }
    }

    async fn ended(&mut self, how: ConnectionEnd) {
        self.line = Line::Down;
        if !self.out.is_empty() {
            info!(self.shared.log, #"counter.ended", "the counter's connection ended"; "how" => ?how, "calls" => self.out.len());
        }
        let told = std::mem::take(&mut self.late);
        for out in std::mem::take(&mut self.out).into_iter().skip(told) {
            self.tell(out.count, Err(AttemptFailure::unanswered(how)), out.made).await;
        }
    }

    async fn tell(&self, count: Box<str>, end: Result<CounterTotal, AttemptFailure>, made: Instant) {
        drop(
            self.events
                .send(Event::CounterReplied { key: count, end, elapsed: micros(made.elapsed()) })
                .await,
        );
    }
}

fn told(reply: &Reply) -> Option<CounterTotal> {
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
