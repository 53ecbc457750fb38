//! The actor of the counter: calls written one behind another on one connection, answers in their order.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use fernscale::interface::Micros;
use futures_lite::{future, StreamExt};
use slog::{info, warn};

use super::outcome::Lost;
use super::{Event, Shared};
use crate::protocol::resp::{self, Reply};
use crate::transport::clock::{micros, Alarm};
use crate::transport::connection::{within, Connection};
use crate::transport::ending::Ending;

/// Calls that wait for their answers at most, late ones too: some seconds of all that a counter can do.
const MOST_CALLS: usize = 4_096;
/// On sockets every time limit of a site is longer by this, as messages take time to arrive. A call whose answer
/// is given up may have been added or turned away: each one not known puts a shared count out for a minute.
const SLACK: Duration = Duration::from_millis(50);
/// A connection on which nothing has come for so long, with calls out, is taken to be dead: a machine that
/// vanished says nothing.
const DEAD: Duration = Duration::from_secs(2);

pub struct Add {
    pub count: Box<str>,
    pub amount: f64,
    pub life: Micros,
    pub made: Instant,
}

/// What the counter says to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Total(f64),
    Full,
    Error,
}

struct Out {
    count: Box<str>,
    made: Instant,
}

pub struct Counter {
    shared: Rc<Shared>,
    events: Sender<Event>,
    address: SocketAddr,
    wait: Duration,
    connection: Option<Connection>,
    /// Calls written on this connection; the first `late` of them have been told of as timed out.
    out: VecDeque<Out>,
    late: usize,
    heard: Instant,
}

enum Step {
    Order(Option<Add>),
    Heard(Result<(), Ending>),
    Late,
}

impl Counter {
    pub fn new(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr) -> Self {
        Counter {
            shared: shared.clone(),
            events: events.clone(),
            address,
            wait: Duration::from_micros(shared.outside.call) + SLACK,
            connection: None,
            out: VecDeque::new(),
            late: 0,
            heard: Instant::now(),
        }
    }

    pub async fn run(mut self, mailbox: Receiver<Add>) {
        let mut mailbox = std::pin::pin!(mailbox);
        let mut alarm = Alarm::new();
        loop {
            let next = match self.out.get(self.late) {
                Some(next) => Some(next.made + self.wait),
                None if self.out.is_empty() => None,
                None => Some(self.heard + DEAD),
            };
            let connection = &mut self.connection;
            let order = async { Step::Order(mailbox.next().await) };
            let heard = async {
                match connection {
                    Some(connection) => Step::Heard(connection.read().await),
                    None => future::pending().await,
                }
            };
            let late = async {
                alarm.ring(next).await;
                Step::Late
            };
            match future::or(heard, future::or(late, order)).await {
                Step::Order(Some(add)) => self.add(add).await,
                Step::Order(None) => return,
                Step::Heard(Ok(())) => self.answers().await,
                Step::Heard(Err(how)) => self.ended(how).await,
                Step::Late => self.late().await,
            }
        }
    }

    async fn add(&mut self, add: Add) {
        let until = add.made + self.wait;
        let result = self.write(&add, until).await;
        match result {
            Ok(()) => self.out.push_back(Out { count: add.count, made: add.made }),
            Err(how) => {
                self.tell(add.count, Err(Lost::unsent(how)), add.made).await;
                if self.connection.is_some() {
                    // A call cut off in its middle would spoil those behind it.
                    self.ended(how).await;
                }
            }
        }
    }

    async fn write(&mut self, add: &Add, until: Instant) -> Result<(), Ending> {
        if self.connection.is_none() {
            let dial = Connection::dial(self.address, self.wait, resp::MOST_MESSAGE, None);
            self.connection = Some(within(until, Ending::NeverUp, dial).await?);
            self.heard = Instant::now();
        }
        if self.out.is_empty() {
            self.heard = Instant::now();
        }
        if self.out.len() >= MOST_CALLS {
            self.ended(Ending::Silent).await;
            return Err(Ending::Silent);
        }
        let life = add.life.div_ceil(1000).max(1).to_string();
        let amount = add.amount.to_string();
        let command =
            resp::write_command(&[b"ADDGET", add.count.as_bytes(), amount.as_bytes(), life.as_bytes()]);
        let connection = self.connection.as_mut().expect("dialled above");
        within(until, Ending::Silent, connection.write(&command)).await
    }

    /// Hands on the answers that have come whole.
    async fn answers(&mut self) {
        self.heard = Instant::now();
        while let Some(connection) = &mut self.connection {
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
                return self.ended(Ending::Garbled).await;
            };
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
        while let Some(out) = self.out.get(self.late).filter(|out| out.made.elapsed() >= self.wait) {
            let (count, made) = (out.count.clone(), out.made);
            self.late += 1;
            self.tell(count, Err(Lost::unanswered(Ending::Silent)), made).await;
        }
        if !self.out.is_empty() && self.heard.elapsed() >= DEAD {
            warn!(self.shared.log, "the counter is silent"; "calls" => self.out.len());
            self.ended(Ending::Silent).await;
        }
    }

    async fn ended(&mut self, how: Ending) {
        if self.connection.take().is_some() && !self.out.is_empty() {
            info!(self.shared.log, "the counter's connection ended"; "how" => ?how, "calls" => self.out.len());
        }
        let told = std::mem::take(&mut self.late);
        for out in std::mem::take(&mut self.out).into_iter().skip(told) {
            self.tell(out.count, Err(Lost::unanswered(how)), out.made).await;
        }
    }

    async fn tell(&self, count: Box<str>, end: Result<Told, Lost>, made: Instant) {
        drop(self.events.send(Event::Counted { count, end, took: micros(made.elapsed()) }).await);
    }
}

fn told(reply: &Reply) -> Option<Told> {
    match reply {
        Reply::Bulk(Some(total)) => {
            let total: f64 = std::str::from_utf8(total).ok()?.parse().ok()?;
            total.is_finite().then_some(Told::Total(total))
        }
        Reply::Error(line) if line.starts_with(b"BUSY") => Some(Told::Full),
        Reply::Error(_) => Some(Told::Error),
        _ => None,
    }
}
