//! The links between gateways: each gateway tells the others a place of the lab's as its own, and what is sent there is
//! passed on to it. Who sends is known by the address that it sends from, so that each ordered pair has its own fate.
//!
//! A datagram from one gateway to another comes in at the other's place, and goes out from the one's: so whoever gets it
//! answers to the place that it was told, and the answer goes through the lab as well. Each is passed on by itself, when it
//! is due: the relay keeps nothing in order that a network would not.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::clients::histogram;
use super::listener::Listener;
use super::relay::Passing;
use super::route::Route;
use super::stream::Stream;
use super::World;
use crate::history::LinkTraffic;
use crate::{Micros, MILLISECOND};

/// The largest datagram there is.
const LARGEST: usize = 65_536;
/// Datagrams taken in a row: others have their turn in between.
const IN_A_ROW: usize = 64;
/// How often a connection that waits for its way to open is looked at.
const LOOK: Micros = 20 * MILLISECOND;

struct Place {
    /// Where the gateway listens, and where it says that it does.
    real: SocketAddr,
    told: SocketAddr,
    socket: Async<UdpSocket>,
    door: RefCell<Option<Rc<Listener>>>,
}

pub struct InterGatewayLinks {
    world: Rc<World>,
    places: Vec<Place>,
    ways: BTreeMap<(u32, u32, LinkTraffic), Rc<Route>>,
    chance: Rc<RefCell<ChaCha8Rng>>,
    pub passed: Cell<u64>,
    pub bytes: Cell<u64>,
    /// Datagrams that did not come from any gateway.
    pub strangers: Cell<u64>,
    /// How much later than due datagrams were passed on.
    pub late: RefCell<Histogram<u64>>,
}

impl InterGatewayLinks {
    /// Opens a place for each gateway, by where they listen.
    pub fn start(world: &Rc<World>, listen: &[SocketAddr], seed: u64) -> io::Result<Rc<InterGatewayLinks>> {
        let mut places = Vec::new();
        for real in listen {
            let socket = Async::<UdpSocket>::bind((world.host(), 0))?;
            let told = socket.get_ref().local_addr()?;
            places.push(Place { real: *real, told, socket, door: RefCell::default() });
        }
        let all = 0..listen.len() as u32;
        let pairs = all.clone().flat_map(|from| all.clone().map(move |to| (from, to)));
        let ways = pairs.flat_map(|(from, to)| {
            [LinkTraffic::Datagrams, LinkTraffic::Streams].map(|goods| ((from, to, goods), Rc::default()))
        });
        let between = Rc::new(InterGatewayLinks {
            world: world.clone(),
            ways: ways.collect(),
            places,
            chance: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
            passed: Cell::new(0),
            bytes: Cell::new(0),
            strangers: Cell::new(0),
            late: RefCell::new(histogram()),
        });
        for (at, place) in between.places.iter().enumerate() {
            let own = between.clone();
            let serve = move |stream| own.clone().stream(at as u32, stream);
            place.door.replace(Some(Listener::open(world, place.told, usize::MAX, serve)?));
            world.spawn(between.clone().datagrams(at as u32));
        }
        Ok(between)
    }

    /// What a gateway is to tell the others as its own.
    pub fn advertised(&self, gateway: u32) -> SocketAddr {
        self.places[gateway as usize].told
    }

    pub fn route(&self, from: u32, to: u32, goods: LinkTraffic) -> Rc<Route> {
        self.ways[&(from, to, goods)].clone()
    }

    fn sender(&self, is: impl Fn(&SocketAddr) -> bool) -> Option<u32> {
        self.places.iter().position(|place| is(&place.real)).map(|at| at as u32)
    }

    async fn datagrams(self: Rc<Self>, to: u32) {
        let place = &self.places[to as usize];
        let mut bytes = vec![0; LARGEST];
        loop {
            for _ in 0..IN_A_ROW {
                let Ok((length, source)) = place.socket.recv_from(&mut bytes).await else { break };
                match self.sender(|real| *real == source) {
                    Some(from) => self.clone().datagram(from, to, bytes[..length].to_vec()),
                    None => self.strangers.set(self.strangers.get() + 1),
                }
            }
            future::yield_now().await;
        }
    }

    fn datagram(self: Rc<Self>, from: u32, to: u32, bytes: Vec<u8>) {
        let now = self.world.now();
        let way = &self.ways[&(from, to, LinkTraffic::Datagrams)];
        let due = way.datagram(now, bytes, &mut self.chance.borrow_mut());
        for (at, bytes) in due {
            if at <= now {
                self.send(from, to, at, &bytes);
                continue;
            }
            let own = self.clone();
            self.world.spawn(async move {
                own.world.until(at).await;
                own.send(from, to, at, &bytes);
            });
        }
    }

    fn send(&self, from: u32, to: u32, due: Micros, bytes: &[u8]) {
        self.passed.set(self.passed.get() + 1);
        self.bytes.set(self.bytes.get() + bytes.len() as u64);
        let _ = self.late.borrow_mut().record((self.world.now().saturating_sub(due)).max(1));
        // One that can't be sent now is as good as lost on the way.
        let socket = self.places[from as usize].socket.get_ref();
        let _ = socket.send_to(bytes, self.places[to as usize].real);
    }

    async fn stream(self: Rc<Self>, to: u32, near: Stream) {
        let Some(from) = near.peer().and_then(|peer| self.sender(|real| real.ip() == peer.ip())) else {
            self.strangers.set(self.strangers.get() + 1);
            return near.reset();
        };
        let (there, back) =
            (self.route(from, to, LinkTraffic::Streams), self.route(to, from, LinkTraffic::Streams));
        // A connection needs both ways to come up. Its first word would else reach a gateway that its caller can't.
        while there.held() || back.held() {
            super::sleep(LOOK).await;
            if !near.look().1 {
                return;
            }
        }
        if there.cut() || back.cut() {
            return near.reset();
        }
        let real = self.places[to as usize].real;
        let passing = Passing {
            world: self.world.clone(),
            there: there.clone(),
            back: back.clone(),
            chance: self.chance.clone(),
        };
        let end = near.other();
        let cut = async {
            future::or(there.until_cut(), back.until_cut()).await;
            end.reset();
        };
        future::or(passing.pass(near, real), cut).await;
    }
}
