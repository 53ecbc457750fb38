//! Division of counter entries into datagrams that stay below the packet size. It neither chooses nor sends them.

use crate::packet::{CounterEntry, MAX_DATAGRAM_BYTES};

/// Bytes that the seal, the sender and the head of a packet take at the most; the rest is for what it carries.
pub(super) const DATAGRAM_OVERHEAD_BYTES: usize = 220;
/// Bytes that an entry takes beside its key, at the most.
const ENTRY_OVERHEAD_BYTES: usize = 36;

/// The batch has as many datagrams as it may have, and the last one is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all datagrams of the batch are full")]
pub(super) struct BatchFull;

/// Entries for one receiver, by datagram.
#[derive(Clone, Default)]
pub(super) struct DatagramBatch {
    datagrams: Vec<Vec<CounterEntry>>,
    free_bytes: usize,
}

impl DatagramBatch {
    /// Adds an entry to the last datagram, or to a further one while there are fewer than so many.
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
