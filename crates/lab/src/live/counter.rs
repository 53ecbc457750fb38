//! The counter on sockets: a door for each gateway, and one model behind all, or two in a split.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Receiver;
use futures_lite::future;

use super::listener::Listener;
use super::stream::Stream;
use super::World;
use crate::history::Event;
use crate::model::counter::{Counter, Reply, ReplyFault, Spec};
use crate::wire;
use crate::{seed_of, Micros};

/// Calls of one connection that wait for their answers.
const UNDER_WAY: usize = 4_096;

pub struct Host {
    world: Rc<World>,
    seed: u64,
    spec: Spec,
    models: RefCell<Vec<Counter>>,
    /// Which model each gateway sees.
    sees: Vec<Cell<usize>>,
    doors: RefCell<Vec<Rc<Listener>>>,
    swaps: Cell<u64>,
}

impl Host {
    /// One door for each gateway, each at an address of its own.
    pub fn start(world: &Rc<World>, spec: Spec, gateways: u32, seed: u64) -> io::Result<Rc<Host>> {
        let doors: Vec<_> = (0..gateways).map(|_| SocketAddr::new(world.host(), 0)).collect();
        Host::start_at(world, spec, &doors, seed)
    }

    pub fn start_at(world: &Rc<World>, spec: Spec, doors: &[SocketAddr], seed: u64) -> io::Result<Rc<Host>> {
        let connections = spec.connections;
        let host = Rc::new(Host {
            world: world.clone(),
            seed,
            models: RefCell::new(vec![Counter::new(spec.clone(), seed)]),
            spec,
            sees: doors.iter().map(|_| Cell::new(0)).collect(),
            doors: RefCell::default(),
            swaps: Cell::new(0),
        });
        for (gateway, address) in doors.iter().enumerate() {
            let own = host.clone();
            let serve = move |stream| own.clone().serve(gateway, stream);
            let door = Listener::open(world, *address, connections, serve)?;
            host.doors.borrow_mut().push(door);
        }
        Ok(host)
    }

    pub fn address(&self, gateway: u32) -> SocketAddr {
        self.doors.borrow()[gateway as usize].address()
    }

    /// Acts on every model there is.
    pub fn each(&self, act: impl Fn(&mut Counter)) {
        self.models.borrow_mut().iter_mut().for_each(act);
    }

    pub fn shut(&self) {
        self.doors.borrow().iter().for_each(|door| door.shut());
    }

    pub async fn reopen(&self) -> io::Result<()> {
        let doors = self.doors.borrow().clone();
        for door in doors {
            door.reopen().await?;
        }
        Ok(())
    }

    /// Some gateways see a copy from now on.
    pub fn split(&self, which: &[u32]) {
        let mut models = self.models.borrow_mut();
        let copy = models[0].split(seed_of(self.seed, "split"));
        models.push(copy);
        which.iter().for_each(|gateway| self.sees[*gateway as usize].set(models.len() - 1));
    }

    pub fn heal(&self) {
        self.sees.iter().for_each(|sees| sees.set(0));
    }

    /// Another one, with nothing in it, answers from now on.
    pub fn swap(&self) {
        self.swaps.set(self.swaps.get() + 1);
        let seed = seed_of(self.seed.wrapping_add(self.swaps.get()), "swap");
        let mut models = self.models.borrow_mut();
        let mut other = Counter::new(self.spec.clone(), seed);
        (other.calls, other.turned_away) = (models[0].calls, models[0].turned_away);
        models[0] = other;
        self.doors.borrow().iter().for_each(|door| door.clear());
    }

    /// Calls that came, and those turned away.
    pub fn calls(&self) -> (u64, u64) {
        let models = self.models.borrow();
        (models.iter().map(|model| model.calls).sum(), models.iter().map(|model| model.turned_away).sum())
    }

    async fn serve(self: Rc<Self>, gateway: usize, mut stream: Stream) {
        let (said, queue) = async_channel::bounded(UNDER_WAY);
        let write = self.answer(stream.other(), queue);
        let read = async {
            while let Ok(words) = stream.next(wire::command).await {
                let answer = self.call(gateway, &words);
                if said.send(answer).await.is_err() {
                    break;
                }
            }
        };
        future::or(read, write).await;
    }

    fn call(&self, gateway: usize, words: &[Vec<u8>]) -> (Option<Vec<u8>>, Micros) {
        let now = self.world.now();
        let text =
            |at: usize| words.get(at).and_then(|word| std::str::from_utf8(word).ok()).unwrap_or_default();
        match text(0) {
            "PING" => return (Some(b"+PONG\r\n".to_vec()), now),
            "CLIENT" | "SELECT" => return (Some(b"+OK\r\n".to_vec()), now),
            _ => {}
        }
        let amount = text(2).parse::<f64>().ok().filter(|amount| amount.is_finite() && amount.abs() <= 1e9);
        let life = text(3).parse::<u64>().ok().filter(|life| *life >= 1);
        let named = (1..=64).contains(&text(1).len());
        let (("ADDGET", 4), Some(amount), Some(life), true) = ((text(0), words.len()), amount, life, named)
        else {
            return (Some(b"-ERR no such call\r\n".to_vec()), now);
        };
        let mut models = self.models.borrow_mut();
        let model = &mut models[self.sees[gateway].get()];
        let life = life.saturating_mul(1000);
        let (said, at) = model.add(now, text(1), amount, life);
        if said != Reply::Busy && model.fault != ReplyFault::Deaf {
            let (gateway, count) = (gateway as u32, text(1).to_string());
            self.world.happened(now, Event::CounterAdded { gateway, key: count, amount, lifetime: life });
        }
        let bytes = match said {
            Reply::Total(total) => {
                let mut bytes = Vec::new();
                wire::bulk(&mut bytes, total.to_string().as_bytes());
                Some(bytes)
            }
            Reply::Busy => Some(b"-BUSY\r\n".to_vec()),
            Reply::Malformed => Some(b"$3\r\n?a!\r\n".to_vec()),
            Reply::Nothing => None,
        };
        (bytes, at)
    }

    /// Answers in the order of the calls, each when it is due. Where one is never said, none after it is.
    async fn answer(&self, stream: Stream, queue: Receiver<(Option<Vec<u8>>, Micros)>) {
        while let Ok((bytes, at)) = queue.recv().await {
            if at > self.world.now() {
                self.world.until(at).await;
            }
            let Some(bytes) = bytes else { return future::pending().await };
            if stream.write(&bytes).await.is_err() {
                return;
            }
        }
    }
}
