//! Packing of counter entries into datagrams of limited size. This module neither chooses nor sends the entries.

use crate::packet::{CounterEntry, MAX_DATAGRAM_BYTES};

/// Maximum size of the seal, the sender and the packet header. The rest of a datagram is available for updates and entries.
pub(super) const DATAGRAM_OVERHEAD_BYTES: usize = 220;
/// Maximum encoded size of an entry without its key.
const ENTRY_OVERHEAD_BYTES: usize = 36;

/// The batch has the maximum number of datagrams, and the last datagram is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all datagrams of the batch are full")]
pub(super) struct BatchFull;

/// Entries for one receiver, grouped by datagram.
#[derive(Clone, Default)]
pub(super) struct DatagramBatch {
    datagrams: Vec<Vec<CounterEntry>>,
    free_bytes: usize,
}

impl DatagramBatch {
    /// Adds an entry to the last datagram. If that is full, adds a datagram unless the batch has `max_datagrams` already.
    pub fn push(&mut self, entry: &CounterEntry, max_datagrams: usize) -> Result<(), BatchFull> {
        let size = entry.key.len() + ENTRY_OVERHEAD_BYTES;
        if size > self.free_bytes {
            if self.datagrams.len() == max_datagrams {
                return Err(BatchFull);
            }
            self.datagrams.push(Vec::new());
            self.free_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES;
        }
        self.free_bytes -= size;
        if let Some(datagram) = self.datagrams.last_mut() {
            datagram.push(entry.clone());
        }
        Ok(())
    }

    pub fn into_datagrams(self) -> Vec<Vec<CounterEntry>> {
        self.datagrams
    }
}
