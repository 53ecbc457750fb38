//! A relay on one link: it passes bytes on, unless something is broken on the way there or back.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::listener::Listener;
use super::route::Route;
pub use super::route::RouteFault;
use super::stream::Stream;
use super::{sleep, World};
use crate::{Micros, SECOND};

/// Parts that may be under way in one direction: a link holds only so much.
const UNDER_WAY: usize = 256;
const DIAL: Micros = SECOND;

pub struct Relay {
    world: Rc<World>,
    to: Cell<SocketAddr>,
    way: Rc<Route>,
    /// How many faults keep it shut.
    cuts: Cell<u32>,
    door: RefCell<Option<Rc<Listener>>>,
}

/// A fault that stands on a relay.
#[derive(Clone, Copy, Debug)]
pub enum Token {
    Cut,
    Ill(u64),
}

impl Relay {
    pub fn start(world: &Rc<World>, to: SocketAddr, seed: u64) -> io::Result<Rc<Relay>> {
        let relay = Rc::new(Relay {
            world: world.clone(),
            to: Cell::new(to),
            way: Rc::default(),
            cuts: Cell::new(0),
            door: RefCell::default(),
        });
        let own = Rc::downgrade(&relay);
        let chance = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
        let door = Listener::open(world, SocketAddr::new(world.host(), 0), usize::MAX, move |stream| {
            let (relay, chance) = (own.upgrade(), chance.clone());
            async move {
                if let Some(relay) = relay {
                    let passing = Passing {
                        world: relay.world.clone(),
                        there: relay.way.clone(),
                        back: relay.way.clone(),
                        chance,
                    };
                    passing.pass(stream, relay.to.get()).await;
                }
            }
        })?;
        relay.door.replace(Some(door));
        Ok(relay)
    }

    fn door(&self) -> Rc<Listener> {
        self.door.borrow().clone().expect("a relay has its door from the start")
    }

    pub fn address(&self) -> SocketAddr {
        self.door().address()
    }

    /// Something is broken from now on, both ways.
    pub fn begin(&self, ill: RouteFault) -> Token {
        if ill == RouteFault::Cut {
            self.cuts.set(self.cuts.get() + 1);
            self.door().shut();
            return Token::Cut;
        }
        Token::Ill(self.way.begin(ill))
    }

    /// It is mended; others that overlap it stand. Gives how often something met it, which is not known of a cut.
    pub async fn end(&self, token: Token) -> io::Result<u64> {
        match token {
            Token::Ill(token) => Ok(self.way.end(token)),
            Token::Cut => {
                self.cuts.set(self.cuts.get().saturating_sub(1));
                if self.cuts.get() == 0 {
                    self.door().reopen().await?;
                }
                Ok(1)
            }
        }
    }
}

/// One connection through a relay.
pub struct Passing {
    pub world: Rc<World>,
    pub there: Rc<Route>,
    pub back: Rc<Route>,
    pub chance: Rc<RefCell<ChaCha8Rng>>,
}

impl Passing {
    /// Passes on what comes, from the one that connected to `to` and back, until either ends.
    pub async fn pass(self, near: Stream, to: SocketAddr) {
        let Ok(far) = Stream::dial(to, DIAL).await else {
            return near.reset();
        };
        let there = self.one_way(&self.there, near.other(), far.other());
        let back = self.one_way(&self.back, far.other(), near.other());
        let connection = far.local().map(|address| self.world.attempts.relay_opened(address, &near));
        // One way may end while the other goes on, but not after a reset.
        let both = future::try_zip(there, back).await;
        drop(connection);
        if both.is_err() {
            near.reset();
            far.reset();
        }
    }

    async fn one_way(&self, way: &Route, mut from: Stream, to: Stream) -> Result<(), ()> {
        let (parts, queue) = async_channel::bounded(UNDER_WAY);
        let read = self.read(way, &mut from, parts);
        let write = self.write(way, to, queue);
        future::try_zip(read, write).await.map(|_| ())
    }

    async fn read(&self, way: &Route, from: &mut Stream, parts: Sender<(Micros, Vec<u8>)>) -> Result<(), ()> {
        loop {
            match from.more().await {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                Err(_) => return Err(()),
            }
            let mut part = std::mem::take(&mut from.bytes);
            let due = {
                let mut chance = self.chance.borrow_mut();
                way.spoil(&mut part, &mut chance);
                self.world.now() + way.stream_delay(&mut chance)
            };
            parts.send((due, part)).await.map_err(drop)?;
        }
    }

    async fn write(&self, way: &Route, to: Stream, queue: Receiver<(Micros, Vec<u8>)>) -> Result<(), ()> {
        while let Ok((due, part)) = queue.recv().await {
            if due > self.world.now() {
                self.world.until(due).await;
            }
            way.until_open().await;
            if way.resets() {
                let _ = to.write(&part[..part.len() / 2]).await;
                return Err(());
            }
            if let Some(takes) = way.takes(part.len()) {
                sleep(takes).await;
            }
            to.write(&part).await.map_err(drop)?;
        }
        to.finish();
        Ok(())
    }
}
