//! Keys of the shared counter. The counter stores them, so their prefix letters are part of the protocol.

use std::fmt;

use crate::event::Id;

const UNITS_PREFIX: char = 'q';
const SPARSE_UNITS_PREFIX: char = 'p';
const CONCURRENCY_PREFIX: char = 'o';

/// What a counter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedCounter {
    /// Units offered, which decay over time.
    Units,
    /// Units offered in one window of a sparse tenant.
    SparseUnits,
    /// Requests in flight.
    Concurrency,
}

/// The key of one tenant's counter in one window.
pub struct CounterKey<'a> {
    /// What the key counts.
    pub counter: KeyedCounter,
    /// The window's number or start time.
    pub window: u64,
    /// The tenant.
    pub tenant: &'a Id,
}

/// The counter of a tenant that a reply belongs to.
pub enum CounterTarget {
    /// Units offered, whether they decay or not.
    Units(Id),
    /// Requests in flight.
    Concurrency(Id),
}

impl CounterTarget {
    /// Parses a key; `None` if it names no tenant.
    pub fn parse(key: &str) -> Option<Self> {
        let (kind, tenant) = key.split_once(':')?;
        let tenant = Id::from(tenant);
        let is_concurrency = kind.starts_with(CONCURRENCY_PREFIX);
        Some(if is_concurrency { CounterTarget::Concurrency(tenant) } else { CounterTarget::Units(tenant) })
    }
}

impl fmt::Display for CounterKey<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let prefix = match self.counter {
            KeyedCounter::Units => UNITS_PREFIX,
            KeyedCounter::SparseUnits => SPARSE_UNITS_PREFIX,
            KeyedCounter::Concurrency => CONCURRENCY_PREFIX,
        };
        write!(formatter, "{prefix}{}:{}", self.window, self.tenant)
    }
}
