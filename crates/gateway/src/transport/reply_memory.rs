//! The memory of replies that wait for their clients to read them.
//!
//! How long a reply is, is known only when it comes, and it can't be refused any more then. So a request reserves what its
//! connection's replies have needed lately. Once half of the memory is in use, a connection takes no further request while its
//! replies fill its share: its client has to read first.

use std::cell::Cell;
use std::rc::Rc;

/// Divisor of an expected length for what is taken off it when a shorter reply comes.
const DECAY_DIVISOR: usize = 8;
/// Divisor of the longest reply of late, for the first request on a connection.
const FIRST_REQUEST_DIVISOR: usize = 2;
/// How many times the capacity may be used for connections that hold nothing yet, so that each can have one reply.
const OVERCOMMIT: usize = 2;
/// Bytes of a reply that says that there is no value.
const SHORT_REPLY_BYTES: usize = 64;

/// The memory of all connections. Clones share it.
#[derive(Clone, Default)]
pub struct ReplyMemory(Rc<Pool>);

#[derive(Default)]
struct Pool {
    used: Cell<usize>,
    capacity: Cell<usize>,
    /// Number of connections that hold some of it.
    holders: Cell<usize>,
    /// The longest reply of late, of any connection.
    expected: Cell<usize>,
}

impl ReplyMemory {
    /// Sets how many bytes there are.
    pub fn set_capacity(&self, bytes: usize) {
        self.0.capacity.set(bytes);
    }

    /// The bytes that are held or reserved.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }
}

/// What one connection holds.
#[derive(Default)]
struct Holding {
    held: Cell<usize>,
    /// The longest reply of late on this connection; none before the first.
    expected: Cell<Option<usize>>,
}

/// One connection's share of the memory.
pub struct ReplyShare {
    memory: ReplyMemory,
    holding: Rc<Holding>,
}

impl ReplyShare {
    /// The share of a new connection.
    pub fn new(memory: &ReplyMemory) -> Self {
        ReplyShare { memory: memory.clone(), holding: Rc::default() }
    }

    /// Whether the replies of this connection leave room for another request. It has room when nothing is in flight on it, and as
    /// long as the memory is half free; then it has its share.
    pub fn has_room(&self) -> bool {
        let Pool { used, capacity, holders, .. } = &*self.memory.0;
        let (held, expected) = (self.holding.held.get(), self.expected());
        let is_half_free = 2 * (used.get() + expected) <= capacity.get();
        let share = capacity.get() / (holders.get() + 1);
        held == 0 || is_half_free || held + expected <= share
    }

    /// Reserves memory for the reply to a request. `None` if there is none for a connection that holds nothing.
    pub fn reserve(&self) -> Option<ReplyReservation> {
        let expected = self.expected();
        let Pool { used, capacity, .. } = &*self.memory.0;
        let is_first = self.holding.held.get() == 0;
        if is_first && used.get() + expected > OVERCOMMIT * capacity.get() {
            return None;
        }
        let reservation = ReplyReservation {
            memory: self.memory.clone(),
            holding: self.holding.clone(),
            bytes: Cell::new(0),
        };
        reservation.resize(expected);
        Some(reservation)
    }

    fn expected(&self) -> usize {
        let of_pool = || self.memory.0.expected.get() / FIRST_REQUEST_DIVISOR;
        self.holding.expected.get().unwrap_or_else(of_pool).max(SHORT_REPLY_BYTES)
    }
}

/// Memory that is reserved for a reply, and freed when it has been written.
pub struct ReplyReservation {
    memory: ReplyMemory,
    holding: Rc<Holding>,
    bytes: Cell<usize>,
}

impl ReplyReservation {
    /// Changes the reservation to what a value needs, which has come. The next requests reserve as much.
    pub fn settle(&self, bytes: usize) {
        let decayed = |expected: usize| bytes.max(expected - expected / DECAY_DIVISOR);
        self.holding.expected.set(Some(decayed(self.holding.expected.get().unwrap_or_default())));
        self.memory.0.expected.set(decayed(self.memory.0.expected.get()));
        self.resize(bytes.max(SHORT_REPLY_BYTES));
    }

    /// Changes the reservation to what an answer without a value needs.
    pub fn settle_without_value(&self) {
        self.resize(SHORT_REPLY_BYTES);
    }

    fn resize(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        let Pool { used, holders, .. } = &*self.memory.0;
        used.set(used.get() - before + bytes);
        let held_before = self.holding.held.get();
        let held = held_before - before + bytes;
        self.holding.held.set(held);
        match (held_before, held) {
            (0, 1..) => holders.set(holders.get() + 1),
            (1.., 0) => holders.set(holders.get() - 1),
            _ => {}
        }
    }
}

impl Drop for ReplyReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
