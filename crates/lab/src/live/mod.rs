//! Drives the models on loopback, in one thread: whatever happens in a run has one order, which the ledger sees.

pub mod attempts;
pub mod clients;
pub mod counter;
pub mod discovery;
pub mod effects;
pub mod faults;
pub mod gateway;
pub mod inter_gateway_links;
pub mod listener;
pub mod load;
pub mod misbehaving_client;
pub mod misbehaving_gateway;
pub mod play;
pub mod queries;
pub mod records;
pub mod relay;
pub mod route;
pub mod servers;
pub mod stream;

use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::Timer;

use self::attempts::AttemptConnections;
use crate::history::{Event, Recorder};
use crate::request_ledger::RequestLedger;
use crate::Micros;

/// What all parties of a run share.
pub struct World {
    pub executor: Rc<LocalExecutor<'static>>,
    pub court: RefCell<Recorder>,
    /// The work of each transaction, for the boxes that do it.
    pub works: RefCell<HashMap<u64, Micros>>,
    /// The gateways' side of attempts in flight.
    pub attempts: AttemptConnections,
    start: Instant,
    /// The shared clock at the start, in microseconds of Unix time.
    pub start_unix: Micros,
}

impl World {
    pub fn new(executor: Rc<LocalExecutor<'static>>, court: Recorder) -> Rc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(World {
            executor,
            court: RefCell::new(court),
            works: RefCell::default(),
            attempts: AttemptConnections::default(),
            start: Instant::now(),
            start_unix: unix.as_micros() as Micros,
        })
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// One whose court keeps and judges nothing.
    pub fn blind(executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        World::new(executor, Recorder::with_ledger(RequestLedger::recording_nothing()))
    }

    /// Something happens now. Gives the number of a trip that arrived.
    pub fn happens(&self, event: Event) -> usize {
        self.happened(self.now(), event)
    }

    /// Something happened at this time, no earlier than what was told of before but for a few milliseconds.
    pub fn happened(&self, at: Micros, event: Event) -> usize {
        self.court.borrow_mut().record(at, event)
    }

    pub fn ledger(&self) -> Ref<'_, RequestLedger> {
        Ref::map(self.court.borrow(), |court| &court.ledger)
    }

    pub async fn until(&self, at: Micros) {
        Timer::at(self.start + Duration::from_micros(at)).await;
    }

    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.executor.spawn(work).detach();
    }

    /// A loopback host that no other party of this run has, nor any of another run at the same time.
    pub fn host(&self) -> IpAddr {
        static GIVEN: AtomicU32 = AtomicU32::new(0);
        let given = GIVEN.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let low = given % 250 + 1;
        // 127.0.0.x is what others on this machine use.
        let (second, third) = (process % 240 + 10, process / 240 % 8 * 32 + given / 250 % 32);
        IpAddr::V4(Ipv4Addr::new(127, second as u8, third as u8, low as u8))
    }

    /// An address for a party that binds it itself. Let go at once, it stays free: nobody else uses its host.
    pub fn reserve(&self) -> std::io::Result<SocketAddr> {
        TcpListener::bind((self.host(), 0))?.local_addr()
    }
}

pub async fn sleep(time: Micros) {
    Timer::after(Duration::from_micros(time)).await;
}
