//! The index: for each key where its value is in the log. It lists every key that is there, expired or not, and never reads
//! a value.

use std::collections::BTreeMap;
use std::ops::Bound;

/// Bytes that an entry takes in memory beside its key: an upper estimate.
const ENTRY_OVERHEAD_BYTES: u64 = 96;

/// Where a value is in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ValueLocation {
    pub segment: u64,
    pub offset: u64,
    pub length: u32,
    /// Unix milliseconds; 0: never.
    pub expires_at: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Index {
    locations: BTreeMap<Box<[u8]>, ValueLocation>,
    bytes: u64,
}

impl Index {
    /// Bytes that the entry of a key takes in memory.
    pub fn entry_bytes(key: &[u8]) -> u64 {
        key.len() as u64 + ENTRY_OVERHEAD_BYTES
    }

    /// Bytes that the index takes in memory.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn len(&self) -> usize {
        self.locations.len()
    }

    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    pub fn contains(&self, key: &[u8]) -> bool {
        self.locations.contains_key(key)
    }

    pub fn get(&self, key: &[u8]) -> Option<ValueLocation> {
        self.locations.get(key).copied()
    }

    /// Returns the location that is replaced.
    pub fn insert(&mut self, key: &[u8], location: ValueLocation) -> Option<ValueLocation> {
        let previous = self.locations.insert(key.into(), location);
        if previous.is_none() {
            self.bytes += Index::entry_bytes(key);
        }
        previous
    }

    /// Returns the location that is removed.
    pub fn remove(&mut self, key: &[u8]) -> Option<ValueLocation> {
        let previous = self.locations.remove(key)?;
        self.bytes -= Index::entry_bytes(key);
        Some(previous)
    }

    /// The keys with a prefix, in order, from behind the key `after` on.
    pub fn scan<'i>(
        &'i self,
        prefix: &'i [u8],
        after: Option<&[u8]>,
    ) -> impl Iterator<Item = (&'i [u8], ValueLocation)> {
        let from = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let entries = self.locations.range::<[u8], _>((from, Bound::Unbounded));
        let entries = entries.map(|(key, location)| (&**key, *location));
        entries.take_while(move |(key, _)| key.starts_with(prefix))
    }
}
