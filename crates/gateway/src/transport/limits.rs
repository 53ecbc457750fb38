//! How many descriptors, requests and bytes this gateway may hold: all of it follows from the configuration's limits.

use std::cell::Cell;
use std::rc::Rc;

use crate::protocol::resp::MAX_MESSAGE_BYTES;

/// Descriptors that are neither clients' nor servers': three standard streams, three of the reactor, two for signals, the listener,
/// a connection to discovery and to the counter, those to earlier counters that still owe replies, one that was accepted and has no
/// slot yet, and as many again for what closes late.
const OWN_DESCRIPTORS: usize = 24;

/// Operators' connections with a call in progress: a few operators and the scrape of metrics, with as many that stall.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;

/// Tenths of the remaining descriptors that connections to servers may take, one for each attempt. Clients use a third of all,
/// and those of a gateway that restarts are added to it.
const SERVERS_TENTHS: usize = 3;

/// Tenths of the clients' descriptors that are kept for telling clients beyond the limit that they can't be served.
const REJECTED_TENTHS: usize = 1;

/// Memory in MiB of the program itself and of what the decision module retains.
const PROGRAM_MIB: usize = 8;

/// The remaining memory has equal parts: records of open requests, their bytes, incomplete messages of clients, those of servers,
/// and values on their way to clients with the allocator's overhead.
const MEMORY_PARTS: usize = 5;

/// Bytes that the records of an open request take at most, here and in the decision module, beside its own bytes.
const REQUEST_RECORD_SIZE: usize = 4 * 1024;

/// Counts reservations against a capacity. A reservation frees its slots when it is dropped.
#[derive(Clone)]
pub struct Slots {
    used: Rc<Cell<usize>>,
    capacity: Rc<Cell<usize>>,
}

impl Slots {
    /// So many slots, all free.
    pub fn new(capacity: usize) -> Self {
        Slots { used: Rc::default(), capacity: Rc::new(Cell::new(capacity)) }
    }

    /// Takes so many slots; none where fewer are free.
    pub fn reserve(&self, count: usize) -> Option<Reservation> {
        let used = self.used.get() + count;
        if used > self.capacity.get() {
            return None;
        }
        self.used.set(used);
        Some(Reservation { used: self.used.clone(), count })
    }

    /// How many are taken.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Makes a reservation larger or smaller; false, and unchanged, where too few slots are free.
    pub fn resize(&self, reservation: &mut Reservation, count: usize) -> bool {
        let used = self.used.get() - reservation.count + count;
        if used > self.capacity.get() && count > reservation.count {
            return false;
        }
        self.used.set(used);
        reservation.count = count;
        true
    }

    /// How many there are.
    pub fn capacity(&self) -> usize {
        self.capacity.get()
    }

    /// Whether at least a third is free.
    pub fn has_spare(&self) -> bool {
        3 * self.used.get() <= 2 * self.capacity.get()
    }

    /// Whether at least a quarter is free.
    pub fn is_mostly_free(&self) -> bool {
        4 * self.used.get() <= 3 * self.capacity.get()
    }
}

/// Slots that are taken until this is dropped.
pub struct Reservation {
    used: Rc<Cell<usize>>,
    count: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.count);
    }
}

/// What this process may hold of each kind.
#[derive(Clone)]
pub struct Limits {
    /// Connections of clients that are served.
    pub clients: Slots,
    /// Connections of clients that are only told that they can't be served.
    pub rejected: Slots,
    /// Connections to servers.
    pub servers: Slots,
    /// Open requests.
    pub open: Slots,
    /// Bytes of open requests.
    pub bytes: Slots,
    /// Bytes of clients' messages that are not complete yet.
    pub from_clients: Slots,
    /// Bytes of servers' messages that are not complete yet.
    pub from_servers: Slots,
    /// Descriptors of the configured parts beyond the gateway's own.
    reserved: usize,
    memory_mb: usize,
}

impl Limits {
    /// The limits of a gateway with so many descriptors, of which `reserved` are for the parts that are configured.
    pub fn new(descriptors: usize, memory_mb: usize, reserved: usize) -> Self {
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
        limits.set_process_share(descriptors, 1);
        limits
    }

    /// Changes the limits to so many descriptors, and memory shared by so many processes. Reservations beyond them stay until
    /// they are dropped.
    pub fn set_process_share(&self, descriptors: usize, processes: usize) {
        let memory_mb = self.memory_mb / processes.max(1);
        let remaining = descriptors.saturating_sub(OWN_DESCRIPTORS + self.reserved);
        let servers = remaining * SERVERS_TENTHS / 10;
        let rejected = (remaining - servers) * REJECTED_TENTHS / 10;
        let part =
            (memory_mb.saturating_sub(PROGRAM_MIB) * 1024 * 1024 / MEMORY_PARTS).max(MAX_MESSAGE_BYTES);
        self.clients.capacity.set(remaining - servers - rejected);
        self.rejected.capacity.set(rejected);
        self.servers.capacity.set(servers);
        self.open.capacity.set(part / REQUEST_RECORD_SIZE);
        for slots in [&self.bytes, &self.from_clients, &self.from_servers] {
            slots.capacity.set(part);
        }
    }

    /// Descriptors in use, with those that are kept for the gateway itself.
    pub fn used_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.reserved + self.clients.used() + self.rejected.used() + self.servers.used()
    }
}
