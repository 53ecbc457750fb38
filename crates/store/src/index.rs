//! The index maps each key to the location of its value in the log. It contains expired keys until they are removed, and
//! never reads a value.

use std::collections::BTreeMap;
use std::ops::Bound;

/// Upper estimate of the memory that an entry needs in addition to its key, in bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 96;

/// The location of a value in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ValueLocation {
    pub segment: u64,
    pub offset: u64,
    pub length: u32,
    /// Unix milliseconds; 0 means that the value never expires.
    pub expires_at: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Index {
    locations: BTreeMap<Box<[u8]>, ValueLocation>,
    bytes: u64,
}

impl Index {
    /// Returns the memory that the entry of a key needs, in bytes.
    pub fn entry_bytes(key: &[u8]) -> u64 {
        key.len() as u64 + ENTRY_OVERHEAD_BYTES
    }

    /// Returns the memory that the index needs, in bytes.
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

    /// Sets the location of a key and returns the previous one.
    pub fn insert(&mut self, key: &[u8], location: ValueLocation) -> Option<ValueLocation> {
        let previous = self.locations.insert(key.into(), location);
        if previous.is_none() {
            self.bytes += Index::entry_bytes(key);
        }
        previous
    }

    /// Removes a key and returns its location.
    pub fn remove(&mut self, key: &[u8]) -> Option<ValueLocation> {
        let previous = self.locations.remove(key)?;
        self.bytes -= Index::entry_bytes(key);
        Some(previous)
    }

    /// Iterates in order over the keys with a prefix that are greater than `after`.
    pub fn scan<'i>(
        &'i self,
        prefix: &'i [u8],
        after: Option<&[u8]>,
    ) -> impl Iterator<Item = (&'i [u8], ValueLocation)> {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let entries = self.locations.range::<[u8], _>((start, Bound::Unbounded));
        let entries = entries.map(|(key, location)| (&**key, *location));
        entries.take_while(move |(key, _)| key.starts_with(prefix))
    }
}
