//! The clients on sockets: each transaction is asked when it is due, whatever else is open, and its answer is waited for
//! until well after its hard stop. Times count from when it was due, so that a late load flatters nobody.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_lite::future;
use hdrhistogram::Histogram;

use super::stream::Stream;
use super::{sleep, World};
use crate::history::Event;
use crate::model::clients::{ClientModel, ClientRequest, Idempotency};
use crate::request_ledger::RequestOutcome;
use crate::wire::{self, Answer, Call, Value};
use crate::{Micros, MILLISECOND, SECOND};

/// How long a client tries to connect.
const DIAL: Micros = SECOND;
/// How often a gateway that is out is asked whether it is able to serve.
const PROBE: Micros = 20 * MILLISECOND;
/// What an answer may take beyond its hard stop before nobody waits for it any more, beside the scenario's slack: so
/// that one that is only late is seen as late.
const PATIENCE: Micros = 300 * MILLISECOND;

/// The way to one gateway.
struct Gate {
    address: SocketAddr,
    idle: RefCell<Vec<(Stream, Micros)>>,
    /// It has said that it is able to serve, and was not known to have gone since.
    serves: Cell<bool>,
    /// It was told to end: only connections that stay open are used.
    retires: Cell<bool>,
    probed: Cell<bool>,
}

pub struct Host {
    world: Rc<World>,
    front: RefCell<ClientModel>,
    gates: Vec<Gate>,
    slack: Micros,
    /// How late transactions were written, and how long settled ones of each lane took, in microseconds.
    pub behind: RefCell<Histogram<u64>>,
    pub took: RefCell<Vec<Histogram<u64>>>,
    pub open: Cell<u64>,
    pub asked: Cell<u64>,
    /// Group of each transaction's customers by its id, for the report.
    pub late: RefCell<HashMap<u64, bool>>,
}

/// A histogram of microseconds up to five minutes.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 300 * SECOND, 3).expect("bounds that a histogram takes")
}

enum Got {
    Whole(Value),
    /// The connection ended; whether anything had come on it for this transaction.
    Closed(bool),
    /// The client has had enough.
    Left,
    Nothing,
}

impl Host {
    pub fn new(world: &Rc<World>, front: ClientModel, gateways: &[SocketAddr], slack: Micros) -> Rc<Host> {
        let gate = |address: &SocketAddr| Gate {
            address: *address,
            idle: RefCell::default(),
            serves: Cell::new(false),
            retires: Cell::new(false),
            probed: Cell::new(false),
        };
        let lanes = front.classes().len();
        Rc::new(Host {
            world: world.clone(),
            front: RefCell::new(front),
            gates: gateways.iter().map(gate).collect(),
            slack,
            behind: RefCell::new(histogram()),
            took: RefCell::new((0..lanes).map(|_| histogram()).collect()),
            open: Cell::new(0),
            asked: Cell::new(0),
            late: RefCell::default(),
        })
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut ClientModel) -> T) -> T {
        act(&mut self.front.borrow_mut())
    }

    pub fn all_serve(&self, which: &[u32]) -> bool {
        which.iter().all(|gateway| self.gates[*gateway as usize].serves.get())
    }

    /// Takes a gateway out, and brings it in again once it says that it is able to serve.
    pub fn leave(self: &Rc<Self>, gateway: u32) {
        let gate = &self.gates[gateway as usize];
        gate.serves.set(false);
        gate.retires.set(false);
        gate.idle.borrow_mut().clear();
        if gate.probed.replace(true) {
            return;
        }
        let host = self.clone();
        self.world.spawn(async move {
            let gate = &host.gates[gateway as usize];
            while !host.ready(gate).await {
                sleep(PROBE).await;
            }
            gate.probed.set(false);
            gate.serves.set(true);
        });
    }

    /// Opens no more connections to a gateway, and goes on with those that it leaves open.
    pub fn retire(&self, gateway: u32) {
        self.gates[gateway as usize].retires.set(true);
    }

    /// Whether a request can be sent to a gateway now.
    fn takes_requests(&self, number: u32) -> bool {
        let gate = &self.gates[number as usize];
        if !gate.serves.get() || !gate.retires.get() {
            return gate.serves.get();
        }
        let idle = gate.idle.take().into_iter();
        let open = idle.filter_map(|(stream, since)| Some((self.still(number, stream, since)?, since)));
        let open: Vec<_> = open.collect();
        *gate.idle.borrow_mut() = open;
        let has_open = !gate.idle.borrow().is_empty();
        has_open
    }

    async fn ready(&self, gate: &Gate) -> bool {
        let asked = async {
            let mut stream = Stream::dial(gate.address, DIAL).await?;
            stream.write(&wire::write_command(&[b"PING"])).await?;
            stream.next(wire::value).await
        };
        let late = async {
            sleep(DIAL).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        matches!(future::or(asked, late).await, Ok(Value::Simple(word)) if word == "PONG")
    }

    /// Asks all that is due, from `from` until `until`.
    pub async fn run(self: Rc<Self>, until: Micros) {
        loop {
            let at = self.front.borrow().next_at();
            if at >= until {
                // Clients that try again may yet come in earlier than the next new one.
                if self.world.now() >= until {
                    return;
                }
                self.world.until((self.world.now() + PROBE).min(until)).await;
                continue;
            }
            if at > self.world.now() {
                // One that tries again may be due before.
                self.world.until(at.min(self.world.now() + PROBE)).await;
                continue;
            }
            let Some(ask) = self.front.borrow_mut().next_request() else { return };
            let host = self.clone();
            self.open.set(self.open.get() + 1);
            self.asked.set(self.asked.get() + 1);
            self.world.works.borrow_mut().insert(ask.id, ask.work);
            self.world.happens(Event::RequestCreated { request: ask.clone() });
            self.world.spawn(async move {
                host.one(ask).await;
                host.open.set(host.open.get() - 1);
            });
        }
    }

    /// Waits until all that was asked has ended.
    pub async fn finish(&self) {
        while self.open.get() > 0 {
            sleep(PROBE).await;
        }
        for (number, gate) in self.gates.iter().enumerate() {
            gate.idle
                .take()
                .into_iter()
                .for_each(|(stream, since)| drop(self.still(number as u32, stream, since)));
        }
    }

    /// An idle connection, if it is still open with nothing on it. Whatever came there was owed to nobody.
    fn still(&self, gateway: u32, mut stream: Stream, since: Micros) -> Option<Stream> {
        let (count, open) = stream.look();
        if count > 0 {
            let now = self.world.now();
            // It has come, so that it is there at once.
            let _ = future::block_on(future::poll_once(stream.more()));
            let bytes = stream.bytes.clone();
            self.world.happened(now, Event::Stray { gateway, since, bytes });
            return None;
        }
        open.then_some(stream)
    }

    async fn connection(&self, number: u32) -> io::Result<(Stream, bool)> {
        let gate = &self.gates[number as usize];
        loop {
            let idle = gate.idle.borrow_mut().pop();
            let Some((stream, since)) = idle else { break };
            if let Some(stream) = self.still(number, stream, since) {
                return Ok((stream, true));
            }
        }
        Ok((Stream::dial(gate.address, DIAL).await?, false))
    }

    async fn one(self: &Rc<Self>, ask: ClientRequest) {
        let (lane, plan) = {
            let front = self.front.borrow();
            (front.classes()[ask.class].clone(), front.plans()[ask.plan].name.clone())
        };
        let gateways = self.gates.len() as u32;
        // Those of its set, from the one it was dealt to.
        let step = (ask.gateway + gateways - ask.first_gateway) % gateways;
        let set = (0..ask.gateway_spread)
            .map(|more| (ask.first_gateway + (step + more) % ask.gateway_spread) % gateways);
        let set: Vec<u32> = set.collect();
        let pick = || set.iter().copied().find(|gateway| self.takes_requests(*gateway));
        let Some(mut gateway) = pick() else {
            return self.unsent(&ask);
        };
        let call = Call {
            tenant: format!("{:016x}", ask.tenant),
            id: format!("{:016x}", ask.id),
            class: lane.name.clone(),
            plan,
            wait_ms: lane.deadline as f64 / MILLISECOND as f64,
            key: ask.key.map(|key| format!("{key:016x}")),
            units: f64::from(ask.units),
            spread: ask.gateway_spread,
            first: ask.first_gateway,
            repeat: ask.attempt > 0,
            body: (lane.idempotency != Idempotency::Idempotent).then(|| b"{}".to_vec()),
        };
        let command = call.write(lane.idempotency == Idempotency::Idempotent);
        let mut written_once = false;
        loop {
            let connected = self.connection(gateway).await;
            let (mut stream, used) = match connected {
                Ok(connected) => connected,
                Err(_) => {
                    self.leave(gateway);
                    if written_once {
                        self.ended(&ask, None, true);
                    } else {
                        self.unsent(&ask);
                    }
                    return;
                }
            };
            if stream.write(&command).await.is_err() {
                if used && !written_once {
                    // Closed between two commands, which a gateway may do: asked once more on a new one.
                    written_once = true;
                    continue;
                }
                self.leave(gateway);
                return self.unsent(&ask);
            }
            let now = self.world.now();
            if !written_once {
                let _ = self.behind.borrow_mut().record((now - ask.at).max(1));
            }
            self.world.happened(now, Event::RequestWritten { id: ask.id, gateway });
            let limit = now + lane.deadline + self.slack + PATIENCE;
            let leaves = self.front.borrow().leaves_after(&ask).map(|after| now + after);
            let got = self.answer(&mut stream, limit, leaves).await;
            match got {
                Got::Left => {
                    drop(stream);
                    self.world.happens(Event::ClientDisconnected { id: ask.id });
                    return;
                }
                Got::Whole(value) => {
                    let now = self.world.now();
                    self.gates[gateway as usize].idle.borrow_mut().push((stream, now));
                    return self.ended(&ask, Some(Answer::from_value(value)), false);
                }
                Got::Closed(false) if used && !written_once && !self.world.ledger().has_attempt(ask.id) => {
                    // The close crossed the command, and nobody read it.
                    written_once = true;
                    if self.gates[gateway as usize].retires.get() {
                        let Some(other) = pick() else { return self.unsent(&ask) };
                        gateway = other;
                    }
                }
                Got::Closed(_) => {
                    self.ended(&ask, None, true);
                    return;
                }
                Got::Nothing => {
                    // It says nothing at all any more: others are dealt its clients until it says that it serves.
                    self.leave(gateway);
                    return self.ended(&ask, None, false);
                }
            }
        }
    }

    async fn answer(&self, stream: &mut Stream, limit: Micros, leaves: Option<Micros>) -> Got {
        let read = async {
            match stream.next(wire::value).await {
                Ok(value) => Got::Whole(value),
                Err(_) => Got::Closed(!stream.bytes.is_empty()),
            }
        };
        let late = async {
            self.world.until(leaves.unwrap_or(limit)).await;
            if leaves.is_some() {
                Got::Left
            } else {
                Got::Nothing
            }
        };
        future::or(read, late).await
    }

    fn unsent(self: &Rc<Self>, ask: &ClientRequest) {
        self.world.happens(Event::RequestUnsent { id: ask.id });
        self.front.borrow_mut().request_unserved(self.world.now(), ask, true, 0);
    }

    fn ended(self: &Rc<Self>, ask: &ClientRequest, answer: Option<Answer>, closed: bool) {
        let now = self.world.now();
        let Some(answer) = answer else {
            self.world.happened(now, Event::Unanswered { id: ask.id, closed });
            return self.front.borrow_mut().request_unserved(now, ask, false, 0);
        };
        self.world.happened(now, Event::Answered { id: ask.id, answer: answer.clone() });
        match answer {
            Answer::Completed(_) => {
                let took = (now - ask.at).max(1);
                let _ = self.took.borrow_mut()[ask.class].record(took);
                let agreed = self.front.borrow().classes()[ask.class].latency_objective;
                self.late.borrow_mut().insert(ask.id, took > agreed);
            }
            Answer::Rejected { wait_ms } => {
                let wait = wait_ms.unwrap_or(0) * MILLISECOND;
                self.front.borrow_mut().request_unserved(now, ask, true, wait);
            }
            Answer::Failed => self.front.borrow_mut().request_unserved(now, ask, false, 0),
        }
    }

    /// How the transactions stand, for a line on a terminal: asked, open, settled, nacked.
    pub fn standing(&self) -> (u64, u64, u64, u64) {
        let ledger = self.world.ledger();
        let count =
            |fate: RequestOutcome| ledger.outcomes().filter(|(_, _, own, _)| *own == fate).count() as u64;
        (self.asked.get(), self.open.get(), count(RequestOutcome::Completed), count(RequestOutcome::Rejected))
    }
}
