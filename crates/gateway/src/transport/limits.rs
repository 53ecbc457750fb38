//! How many sockets, transactions and bytes this gateway may hold: all of it follows from the configuration's limits.

use std::cell::Cell;
use std::rc::Rc;

use crate::protocol::resp::MOST_MESSAGE;

/// Descriptors that are neither clients' nor servers': three standard streams, three of the reactor, two for signals,
/// the listener, a connection of the list and of the counter, those of counters that were left and still owe answers,
/// one that was accepted and has no place yet, and as many again for what closes late.
const OWN: usize = 24;
/// Callers at the second address that may be in the middle of a call: a few operators and what scrapes the figures,
/// with as many that stall.
pub const OPERATORS: usize = 16;
/// Share of the rest that servers' connections may take, in tenths: one for each trip, and clients wait more than they
/// are served. What clients then have is more than half of all: they use a third, and that of a gateway that restarts
/// comes on top.
const SERVERS_TENTHS: usize = 3;
/// Of the clients' share, what is kept for telling those beyond it that they can't be served, in tenths.
const TURNED_AWAY_TENTHS: usize = 1;
/// Memory of the program itself and of what the module keeps, MiB: it takes two at rest, five with all the customers
/// that it remembers.
const PROGRAM_MIB: usize = 8;
/// The rest goes in equal parts to the records of open transactions, their bytes, messages of clients and of servers
/// that have begun and are not there whole, and values on their way to clients with what is lost in between.
const PARTS: usize = 5;
/// Bytes that the records of an open transaction take here and in the module, beside its own, generously.
const RECORDS: usize = 4 * 1024;

/// Counts what is out; each takes one place and gives it back when dropped.
#[derive(Clone)]
pub struct Places {
    taken: Rc<Cell<usize>>,
    most: Rc<Cell<usize>>,
}

impl Places {
    pub fn new(most: usize) -> Self {
        Places { taken: Rc::default(), most: Rc::new(Cell::new(most)) }
    }

    pub fn take(&self, count: usize) -> Option<Place> {
        let taken = self.taken.get() + count;
        if taken > self.most.get() {
            return None;
        }
        self.taken.set(taken);
        Some(Place { taken: self.taken.clone(), count })
    }

    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Makes a place larger or smaller; false, and as it was, where there is no room for that.
    pub fn resize(&self, place: &mut Place, count: usize) -> bool {
        let taken = self.taken.get() - place.count + count;
        if taken > self.most.get() && count > place.count {
            return false;
        }
        self.taken.set(taken);
        place.count = count;
        true
    }

    pub fn most(&self) -> usize {
        self.most.get()
    }

    /// At least a third is free.
    pub fn spare(&self) -> bool {
        3 * self.taken.get() <= 2 * self.most.get()
    }

    /// At least a quarter is free.
    pub fn roomy(&self) -> bool {
        4 * self.taken.get() <= 3 * self.most.get()
    }
}

pub struct Place {
    taken: Rc<Cell<usize>>,
    count: usize,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.taken.set(self.taken.get() - self.count);
    }
}

#[derive(Clone)]
pub struct Limits {
    /// Connections of clients that are served, and of those that are only turned away.
    pub clients: Places,
    pub turned_away: Places,
    pub servers: Places,
    /// Transactions, and bytes of them.
    pub open: Places,
    pub bytes: Places,
    /// Bytes of messages that have begun.
    pub from_clients: Places,
    pub from_servers: Places,
    reserved: usize,
    memory_mb: usize,
}

impl Limits {
    /// `reserved`: descriptors for what else this gateway has been told to have.
    pub fn new(sockets: usize, memory_mb: usize, reserved: usize) -> Self {
        let limits = Limits {
            clients: Places::new(0),
            turned_away: Places::new(0),
            servers: Places::new(0),
            open: Places::new(0),
            bytes: Places::new(0),
            from_clients: Places::new(0),
            from_servers: Places::new(0),
            reserved,
            memory_mb,
        };
        limits.part(sockets, 1);
        limits
    }

    /// Goes by other limits from now on: so many descriptors, and memory shared by so many processes. What is out
    /// beyond them stays until it is given back.
    pub fn part(&self, sockets: usize, processes: usize) {
        let (reserved, memory_mb) = (self.reserved, self.memory_mb / processes.max(1));
        let rest = sockets.saturating_sub(OWN + reserved);
        let servers = rest * SERVERS_TENTHS / 10;
        let turned_away = (rest - servers) * TURNED_AWAY_TENTHS / 10;
        let part = (memory_mb.saturating_sub(PROGRAM_MIB) * 1024 * 1024 / PARTS).max(MOST_MESSAGE);
        self.clients.most.set(rest - servers - turned_away);
        self.turned_away.most.set(turned_away);
        self.servers.most.set(servers);
        self.open.most.set(part / RECORDS);
        for places in [&self.bytes, &self.from_clients, &self.from_servers] {
            places.most.set(part);
        }
    }

    /// Descriptors that are taken, with those that this gateway has for itself.
    pub fn held(&self) -> usize {
        OWN + self.reserved + self.clients.taken() + self.turned_away.taken() + self.servers.taken()
    }
}
