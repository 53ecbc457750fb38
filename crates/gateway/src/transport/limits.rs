//! How many descriptors, requests and bytes this gateway may hold. All limits are derived from those in the configuration.

use std::cell::Cell;
use std::rc::Rc;

use super::reply_memory::ReplyMemory;
use crate::protocol::resp::MAX_MESSAGE_BYTES;

/// Descriptors that are used neither for clients nor for servers: three standard streams, three of the reactor, two for signals,
/// the listener, one connection to discovery and one to the counter, connections to earlier counters that still owe replies, one
/// accepted connection without a slot, and as many again for connections that close late.
const OWN_DESCRIPTORS: usize = 24;

/// Maximum number of operators' connections with a call in progress: a few operators and the metrics scraper, and as many that
/// stall.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;

/// Tenths of the remaining descriptors that connections to servers may use, one for each attempt. Clients use a third of all
/// descriptors, and the clients of a restarting gateway are added to them.
const SERVERS_TENTHS: usize = 3;

/// Tenths of the clients' descriptors that are reserved for rejecting clients beyond the limit.
const REJECTED_TENTHS: usize = 1;

/// Memory in MiB that the program itself and the state of the decision module use.
const PROGRAM_MIB: usize = 8;

/// The remaining memory is divided into equal parts: records of open requests, bytes of open requests, incomplete messages from
/// clients, incomplete messages from servers, replies that are being written to clients, and tenants, with the allocator's
/// overhead.
const MEMORY_PARTS: usize = 6;

/// Maximum size in bytes of the records of an open request, here and in the decision module, without the request's own bytes.
const REQUEST_RECORD_SIZE: usize = 4 * 1024;

/// Maximum size in bytes of the state of a tenant in the decision module, with the allocator's overhead.
const TENANT_RECORD_SIZE: usize = 768;

/// Counts reservations against a capacity. A reservation frees its slots when it is dropped. Clones share the same slots.
#[derive(Clone)]
pub struct Slots {
    used: Rc<Cell<usize>>,
    capacity: Rc<Cell<usize>>,
}

impl Slots {
    /// Creates `capacity` free slots.
    pub fn new(capacity: usize) -> Self {
        Slots { used: Rc::default(), capacity: Rc::new(Cell::new(capacity)) }
    }

    /// Reserves `count` slots. `None` if fewer are free.
    pub fn reserve(&self, count: usize) -> Option<Reservation> {
        let used = self.used.get() + count;
        if used > self.capacity.get() {
            return None;
        }
        self.used.set(used);
        Some(Reservation { used: self.used.clone(), count })
    }

    /// The number of reserved slots. It may exceed the capacity after the capacity was lowered.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Changes the size of a reservation to `count` slots. Returns false, and changes nothing, if too few slots are free.
    pub fn resize(&self, reservation: &mut Reservation, count: usize) -> bool {
        let used = self.used.get() - reservation.count + count;
        if used > self.capacity.get() && count > reservation.count {
            return false;
        }
        self.used.set(used);
        reservation.count = count;
        true
    }

    /// The number of slots, free or reserved.
    pub fn capacity(&self) -> usize {
        self.capacity.get()
    }

    /// Whether at least a third of the slots is free.
    pub fn has_third_free(&self) -> bool {
        3 * self.used.get() <= 2 * self.capacity.get()
    }

    /// Whether at least a quarter of the slots is free.
    pub fn has_quarter_free(&self) -> bool {
        4 * self.used.get() <= 3 * self.capacity.get()
    }
}

/// Slots that are reserved until this value is dropped.
pub struct Reservation {
    used: Rc<Cell<usize>>,
    count: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.count);
    }
}

/// How much this process may hold of each resource.
#[derive(Clone)]
pub struct Limits {
    /// Connections of clients that are served.
    pub clients: Slots,
    /// Connections of clients whose commands are only rejected.
    pub rejected: Slots,
    /// Connections to servers.
    pub servers: Slots,
    /// Open requests.
    pub open: Slots,
    /// Bytes of open requests.
    pub bytes: Slots,
    /// Bytes of incomplete messages from clients.
    pub from_clients: Slots,
    /// Bytes of incomplete messages from servers.
    pub from_servers: Slots,
    /// Bytes of replies that wait for their clients.
    pub replies: ReplyMemory,
    /// How many tenants the decision module may remember.
    pub max_tenants: Rc<Cell<usize>>,
    /// Descriptors for optional features that are configured, in addition to [`OWN_DESCRIPTORS`].
    reserved: usize,
    memory_mb: usize,
}

impl Limits {
    /// The limits of a gateway with the given number of `descriptors`, of which `reserved` are for optional features that are
    /// configured.
    pub fn new(descriptors: usize, memory_mb: usize, reserved: usize) -> Self {
        let limits = Limits {
            clients: Slots::new(0),
            rejected: Slots::new(0),
            servers: Slots::new(0),
            open: Slots::new(0),
            bytes: Slots::new(0),
            from_clients: Slots::new(0),
            from_servers: Slots::new(0),
            replies: ReplyMemory::default(),
            max_tenants: Rc::default(),
            reserved,
            memory_mb,
        };
        limits.set_process_share(descriptors, 1);
        limits
    }

    /// Changes the limits to this process's `descriptors`, and to its part of the memory, which is divided evenly among
    /// `processes`. Reservations beyond the new limits stay until they are dropped.
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
        self.replies.set_capacity(part);
        self.max_tenants.set(part / TENANT_RECORD_SIZE);
        for slots in [&self.bytes, &self.from_clients, &self.from_servers] {
            slots.capacity.set(part);
        }
    }

    /// Descriptors in use, including those that are reserved for the gateway itself.
    pub fn used_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.reserved + self.clients.used() + self.rejected.used() + self.servers.used()
    }
}
