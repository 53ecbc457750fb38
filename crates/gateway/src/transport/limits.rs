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
pub struct Slots {
    used: Rc<Cell<usize>>,
    capacity: Rc<Cell<usize>>,
}

impl Slots {
    pub fn new(most: usize) -> Self {
        Slots { used: Rc::default(), capacity: Rc::new(Cell::new(most)) }
    }

    pub fn reserve(&self, count: usize) -> Option<Reservation> {
        let taken = self.used.get() + count;
        if taken > self.capacity.get() {
            return None;
        }
        self.used.set(taken);
        Some(Reservation { taken: self.used.clone(), count })
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Makes a place larger or smaller; false, and as it was, where there is no room for that.
    pub fn resize(&self, place: &mut Reservation, count: usize) -> bool {
        let taken = self.used.get() - place.count + count;
        if taken > self.capacity.get() && count > place.count {
            return false;
        }
        self.used.set(taken);
        place.count = count;
        true
    }

    pub fn capacity(&self) -> usize {
        self.capacity.get()
    }

    /// At least a third is free.
    pub fn has_spare(&self) -> bool {
        3 * self.used.get() <= 2 * self.capacity.get()
    }

    /// At least a quarter is free.
    pub fn is_mostly_free(&self) -> bool {
        4 * self.used.get() <= 3 * self.capacity.get()
    }
}

pub struct Reservation {
    taken: Rc<Cell<usize>>,
    count: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.taken.set(self.taken.get() - self.count);
    }
}

#[derive(Clone)]
pub struct Limits {
    /// Connections of clients that are served, and of those that are only turned away.
    pub clients: Slots,
    pub rejected: Slots,
    pub servers: Slots,
    /// Transactions, and bytes of them.
    pub open: Slots,
    pub bytes: Slots,
    /// Bytes of messages that have begun.
    pub from_clients: Slots,
    pub from_servers: Slots,
    reserved: usize,
    memory_mb: usize,
}

impl Limits {
    /// `reserved`: descriptors for what else this gateway has been told to have.
    pub fn new(sockets: usize, memory_mb: usize, reserved: usize) -> Self {
        let limits = Limits {
            clients: Slots::new(0),
            rejected: Slots::new(0),
            servers: Slots::new(0),
            open: Slots::new(0),
            bytes: Slots::new(0),
            from_clients: Slots::new(0),
            from_servers: Slots::new(0),
            reserved,
            memory_mb,
        };
        limits.set_process_share(sockets, 1);
        limits
    }

    /// Goes by other limits from now on: so many descriptors, and memory shared by so many processes. What is out
    /// beyond them stays until it is given back.
    pub fn set_process_share(&self, sockets: usize, processes: usize) {
        let (reserved, memory_mb) = (self.reserved, self.memory_mb / processes.max(1));
        let rest = sockets.saturating_sub(OWN + reserved);
        let servers = rest * SERVERS_TENTHS / 10;
        let turned_away = (rest - servers) * TURNED_AWAY_TENTHS / 10;
        let part = (memory_mb.saturating_sub(PROGRAM_MIB) * 1024 * 1024 / PARTS).max(MOST_MESSAGE);
        self.clients.capacity.set(rest - servers - turned_away);
        self.rejected.capacity.set(turned_away);
        self.servers.capacity.set(servers);
        self.open.capacity.set(part / RECORDS);
        for places in [&self.bytes, &self.from_clients, &self.from_servers] {
            places.capacity.set(part);
        }
    }

    /// Descriptors that are taken, with those that this gateway has for itself.
    pub fn used_descriptors(&self) -> usize {
        OWN + self.reserved + self.clients.used() + self.rejected.used() + self.servers.used()
    }
}
