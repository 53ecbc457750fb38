//! Splits a list into fragments and reassembles it. Whether a list is accepted is decided in the parent module.

use std::collections::BTreeMap;

use super::{Entry, Fragment, Version};
use crate::{FencingToken, Micros, Name};

/// Maximum size of the entries in one fragment, in bytes.
const MAX_FRAGMENT_BYTES: usize = 32 * 1024;
/// Encoded size of an entry without its name and body, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Maximum number of fragments of one transmission.
pub(super) const MAX_FRAGMENTS: usize = 256;

/// Identifies the transmission that a fragment belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Transmission {
    pub from: Name,
    pub token: Option<FencingToken>,
    pub version: Version,
    pub since: Option<u64>,
    pub count: u16,
}

/// A transmission with only some of its fragments received.
#[derive(Clone, Debug)]
pub(super) struct PartialList {
    transmission: Transmission,
    received: BTreeMap<u16, Vec<Entry>>,
}

impl PartialList {
    pub fn new(transmission: Transmission) -> Self {
        PartialList { transmission, received: BTreeMap::new() }
    }

    pub fn belongs_to(&self, transmission: &Transmission) -> bool {
        self.transmission == *transmission
    }

    pub fn insert(&mut self, number: u16, entries: Vec<Entry>) {
        self.received.insert(number, entries);
    }

    pub fn is_complete(&self) -> bool {
        self.received.len() >= usize::from(self.transmission.count)
    }

    pub fn into_entries(self) -> Vec<Entry> {
        self.received.into_values().flatten().collect()
    }
}

/// Splits entries into fragments. Without entries there is one empty fragment, which reports that nothing has changed.
pub(super) fn fragments(
    version: Version,
    since: Option<u64>,
    age: Micros,
    entries: Vec<Entry>,
) -> Vec<Fragment> {
    let mut parts: Vec<Vec<Entry>> = vec![Vec::new()];
    let mut remaining_bytes = MAX_FRAGMENT_BYTES;
    for entry in entries {
        let size = entry.name.len() + entry.body.len() + ENTRY_OVERHEAD_BYTES;
        if size > remaining_bytes {
            parts.push(Vec::new());
            remaining_bytes = MAX_FRAGMENT_BYTES;
        }
        remaining_bytes = remaining_bytes.saturating_sub(size);
        if let Some(last) = parts.last_mut() {
            last.push(entry);
        }
    }
    let count = parts.len().min(MAX_FRAGMENTS) as u16;
    let age_ms = (age / 1_000).min(u64::from(u32::MAX)) as u32;
    let fragment =
        |(number, entries)| Fragment { version, since, age_ms, number: number as u16, count, entries };
    parts.into_iter().enumerate().map(fragment).collect()
}
