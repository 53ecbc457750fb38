//! An order box on sockets: a door for each gateway, so that it is known whose a trip is, and one model behind all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use event_listener::Event;
use futures_lite::future;

use super::listener::Listener;
use super::stream::Stream;
use super::{sleep, World};
use crate::history::Event as Happens;
use crate::model::clients::{Idempotency, RequestClass};
use crate::model::server::{AnswerFault, Attempt, AttemptEnd, Server, ServerState};
use crate::request_ledger::Arrival;
use crate::wire::{self, Call};
use crate::Micros;

pub struct Host {
    world: Rc<World>,
    pub name: String,
    lanes: Rc<Vec<RequestClass>>,
    model: RefCell<Server>,
    settles: bool,
    /// Who waits for the end of which trip.
    waiting: RefCell<HashMap<u64, Sender<(AttemptEnd, bool)>>>,
    more: Event,
    doors: RefCell<Vec<Rc<Listener>>>,
    connections: Cell<usize>,
    /// Commands in a form that no client sent.
    pub misworded: Cell<u64>,
    /// Most connections open at once, and all that were opened.
    pub most_open: Cell<usize>,
    /// Whose a trip is is told by its transaction.
    pub by_client: Cell<bool>,
    pub opened: Cell<u64>,
}

impl Host {
    pub fn start(
        world: &Rc<World>,
        name: &str,
        model: Server,
        lanes: &Rc<Vec<RequestClass>>,
        settles: bool,
        doors: &[SocketAddr],
    ) -> io::Result<Rc<Host>> {
        let host = Rc::new(Host {
            world: world.clone(),
            name: name.into(),
            lanes: lanes.clone(),
            model: RefCell::new(model),
            settles,
            waiting: RefCell::default(),
            more: Event::new(),
            doors: RefCell::default(),
            connections: Cell::new(0),
            misworded: Cell::new(0),
            most_open: Cell::new(0),
            by_client: Cell::new(false),
            opened: Cell::new(0),
        });
        for (gateway, address) in doors.iter().enumerate() {
            let own = host.clone();
            let serve = move |stream| own.clone().serve(gateway as u32, stream);
            host.doors.borrow_mut().push(Listener::open(world, *address, usize::MAX, serve)?);
        }
        world.spawn(host.clone().work());
        Ok(host)
    }

    pub fn address(&self, gateway: u32) -> SocketAddr {
        self.doors.borrow()[gateway as usize].address()
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut Server) -> T) -> T {
        act(&mut self.model.borrow_mut())
    }

    /// Gone at once, with all it had.
    pub fn kill(&self) {
        self.model.borrow_mut().take_down();
        self.waiting.borrow_mut().clear();
        self.doors.borrow().iter().for_each(|door| door.shut());
    }

    /// Ends trips when they are due.
    async fn work(self: Rc<Self>) {
        loop {
            let more = self.more.listen();
            let due = self.model.borrow().due();
            let wait = async {
                match due {
                    Some(at) => self.world.until(at).await,
                    None => future::pending().await,
                }
            };
            future::or(wait, more).await;
            let ended = self.model.borrow_mut().take_ended(self.world.now());
            for (ticket, end, wanted) in ended {
                self.world.happens(Happens::AttemptEnded { attempt: ticket as usize, end });
                if let Some(waiter) = self.waiting.borrow_mut().remove(&ticket) {
                    let _ = waiter.try_send((end, wanted));
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, gateway: u32, mut stream: Stream) {
        let (most, idle) = {
            let model = self.model.borrow();
            (model.spec().connections, model.spec().idle)
        };
        if self.connections.get() >= most {
            return stream.reset();
        }
        let open = Open::one(&self.connections);
        self.opened.set(self.opened.get() + 1);
        self.most_open.set(self.most_open.get().max(self.connections.get()));
        let mut fresh = true;
        loop {
            // The first byte of a command counts as when it was sent.
            let mut began = self.world.now();
            let next = async {
                loop {
                    if let Some((words, used)) = wire::command(&stream.bytes).map_err(io::Error::other)? {
                        stream.bytes.drain(..used);
                        return Ok((words, began));
                    }
                    let empty = stream.bytes.is_empty();
                    stream.more().await?;
                    if empty {
                        began = self.world.now();
                    }
                }
            };
            let late = async {
                sleep(idle).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            let Ok((words, began)) = future::or(next, late).await else { break };
            if self.command(gateway, &mut stream, &words, began, fresh).await.is_err() {
                break;
            }
            fresh &= !words[0].starts_with(b"CALL.");
        }
        drop(open);
    }

    async fn command(
        &self,
        gateway: u32,
        stream: &mut Stream,
        words: &[Vec<u8>],
        began: Micros,
        fresh: bool,
    ) -> io::Result<()> {
        match &*words[0] {
            b"PING" if self.model.borrow().state() == ServerState::Serving => {
                return stream.write(b"+PONG\r\n").await
            }
            b"PING" => return stream.write(b"-ERR draining\r\n").await,
            b"CLIENT" | b"SELECT" => return stream.write(b"+OK\r\n").await,
            b"INFO" => return stream.write(b"-NOPERM\r\n").await,
            _ => {}
        }
        let known = Call::read(words)
            .and_then(|call| Some((self.lanes.iter().find(|lane| lane.name == call.class)?.clone(), call)));
        let Some((lane, call)) = known else {
            self.misworded.set(self.misworded.get() + 1);
            return stream.write(b"-SYNTAX\r\n").await;
        };
        let id = u64::from_str_radix(&call.id, 16).unwrap_or(u64::MAX);
        let work = self.world.works.borrow().get(&id).copied();
        let work = work.unwrap_or((lane.work as f64 * call.units) as Micros);
        let now = self.world.now();
        // At an address that all gateways have, it is known by whose client the transaction is.
        let of_client = self.by_client.get().then(|| self.world.ledger().gateway_of(id)).flatten();
        let gateway = of_client.unwrap_or(gateway);
        let connection = self.world.attempts.gateway_side(stream);
        for other in self.world.attempts.apart_from(id, &connection) {
            let server = self.name.clone();
            self.world.happened(now, Happens::AttemptsApart { id, server, other });
        }
        let arrival = Arrival { at: now, began, server: self.name.clone(), gateway, id, work };
        let number = self.world.happened(now, Happens::AttemptArrived { arrival });
        let _in_flight = InFlight::begin(&self.world, id, number, connection);
        let key = call
            .key
            .clone()
            .filter(|_| lane.idempotency == Idempotency::Keyed)
            .map(|key| (key, lane.scope, lane.retention));
        let trip = Attempt {
            ticket: number as u64,
            tenant: call.tenant.clone(),
            key,
            work,
            is_first_on_connection: fresh,
        };
        let (done, ends) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(number as u64, done);
        let arrived = self.model.borrow_mut().arrive(now, trip);
        if self.model.borrow().collapsed() {
            // It takes down with it whatever it had, this trip as well.
            self.world.happened(now, Happens::ServerCollapsed { name: self.name.clone() });
            self.kill();
            return Err(io::Error::other("fell"));
        }
        let end = match arrived {
            Some(end) => {
                self.waiting.borrow_mut().remove(&(number as u64));
                self.world.happens(Happens::AttemptEnded { attempt: number, end });
                end
            }
            None => {
                self.more.notify(usize::MAX);
                let ended = async { ends.recv().await.ok().map(|(end, _)| end) };
                let left = async {
                    while stream.more().await.is_ok() {}
                    None
                };
                match future::or(ended, left).await {
                    Some(end) => end,
                    None => {
                        let dropped = self.model.borrow_mut().cancel(number as u64);
                        if let Some(end) = dropped {
                            self.world.happens(Happens::AttemptEnded { attempt: number, end });
                        }
                        return Err(io::Error::other("the trip was given up"));
                    }
                }
            }
        };
        self.answer(stream, end, &call, id).await
    }

    async fn answer(&self, stream: &mut Stream, end: AttemptEnd, call: &Call, id: u64) -> io::Result<()> {
        let report = {
            let model = self.model.borrow();
            let (running, waiting, busy) = model.load();
            model.spec().reports.then(|| format!("busy_reqs={running},pending={waiting},cpu_share={busy:.2}"))
        };
        let line = |word: &str| match &report {
            Some(report) => format!("-{word} {report}\r\n").into_bytes(),
            None => format!("-{word}\r\n").into_bytes(),
        };
        match end {
            AttemptEnd::Rejected | AttemptEnd::Dropped => return stream.write(&line("BUSY")).await,
            AttemptEnd::Failed => return stream.write(&line("ERR failed")).await,
            AttemptEnd::Ran { .. } => {}
        }
        let reply = ServedReply {
            value: format!("{}:{}", call.id, self.name).into_bytes(),
            units: optional_bulk(self.settles.then(|| {
                // From half to one and a half of the guess, the same for each transaction wherever it runs.
                let drawn = (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / (1u64 << 24) as f64;
                format!("cost={:.3}", call.units * (0.5 + drawn))
            })),
            report: optional_bulk(report),
        };
        let fault = self.model.borrow_mut().answer();
        match fault {
            AnswerFault::Intact => stream.write(&reply.bytes(reply.value.len())).await,
            AnswerFault::Nothing => Ok(()),
            AnswerFault::Malformed(way) => stream.write(&reply.malformed(way)).await,
        }
    }
}

/// The reply to a call that ran.
struct ServedReply {
    value: Vec<u8>,
    /// The item with the units that the call took.
    units: Vec<u8>,
    /// The item with the load report.
    report: Vec<u8>,
}

impl ServedReply {
    /// The reply, with this length before its value.
    fn bytes(&self, length: usize) -> Vec<u8> {
        let head = format!("*3\r\n${length}\r\n");
        [head.as_bytes(), &self.value, b"\r\n", &self.units, &self.report].concat()
    }

    /// What is sent instead of the reply, in one of [`MALFORMED_REPLIES`] ways.
    fn malformed(&self, way: u8) -> Vec<u8> {
        let length = self.value.len();
        match way {
            0 => b"?what is this\r\n".to_vec(),
            1 => b"*3\r\n$3000000000\r\nand it comes".to_vec(),
            2 => b"*3\r\n$-7\r\n".to_vec(),
            // The length covers the item behind the value as well, then both items.
            3 => self.bytes(length + self.units.len()),
            4 => self.bytes(length + self.units.len() + self.report.len()),
            _ => {
                let mut bytes = self.bytes(length);
                bytes.truncate(bytes.len() / 2);
                bytes
            }
        }
    }
}

/// A bulk string with this text, or a null.
fn optional_bulk(text: Option<String>) -> Vec<u8> {
    let Some(text) = text else { return b"$-1\r\n".to_vec() };
    let mut bytes = Vec::new();
    wire::bulk(&mut bytes, text.as_bytes());
    bytes
}

/// An attempt that is in flight until its answer is written or its connection ends, however that comes about.
struct InFlight<'w> {
    world: &'w World,
    request: u64,
    attempt: usize,
}

impl<'w> InFlight<'w> {
    fn begin(world: &'w World, request: u64, attempt: usize, connection: Stream) -> Self {
        world.attempts.begin(request, attempt, connection);
        InFlight { world, request, attempt }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.world.attempts.end(self.request, self.attempt);
        self.world.happens(Happens::AttemptClosed { attempt: self.attempt });
    }
}

/// Counts a connection for as long as it is there, however it ends.
struct Open<'c>(&'c Cell<usize>);

impl<'c> Open<'c> {
    fn one(count: &'c Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Open(count)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
