//! How many sockets, transactions and bytes this gateway may hold.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are neither clients' nor servers': standard streams, the reactor's, the signals', the
/// listener, the list's and the counter's connections and their successors.
const OWN: usize = 48;
/// Share of the rest that servers' connections may take, in tenths: one for each trip, and clients wait more
/// than they are served.
const SERVERS_TENTHS: usize = 4;
/// Of the clients' share, what is kept for telling those beyond it that they can't be served, in tenths.
const TURNED_AWAY_TENTHS: usize = 2;
/// Transactions held at once: with a body and a value of full size each they stay within the memory.
const MOST_OPEN: usize = 1_000;
/// Bytes of transactions that wait for their answer.
const MOST_BYTES: usize = 32 * 1024 * 1024;

/// Counts what is out; each takes one place and gives it back when dropped.
#[derive(Clone)]
pub struct Places {
    taken: Rc<Cell<usize>>,
    most: usize,
}

impl Places {
    pub fn new(most: usize) -> Self {
        Places { taken: Rc::default(), most }
    }

    pub fn take(&self, count: usize) -> Option<Place> {
        let taken = self.taken.get() + count;
        if taken > self.most {
            return None;
        }
        self.taken.set(taken);
        Some(Place { taken: self.taken.clone(), count })
    }

    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// At least a quarter is free.
    pub fn roomy(&self) -> bool {
        4 * self.taken.get() <= 3 * self.most
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
    pub open: Places,
    pub bytes: Places,
}

impl Limits {
    pub fn new(sockets: usize) -> Self {
        let rest = sockets.saturating_sub(OWN);
        let servers = rest * SERVERS_TENTHS / 10;
        let turned_away = (rest - servers) * TURNED_AWAY_TENTHS / 10;
        Limits {
            clients: Places::new(rest - servers - turned_away),
            turned_away: Places::new(turned_away),
            servers: Places::new(servers),
            open: Places::new(MOST_OPEN),
            bytes: Places::new(MOST_BYTES),
        }
    }
}
