//! Batches of changes and their durability. A batch is independent of the store to which it is written.

use crate::error::{Error, Result};
use crate::frame::{FrameBuilder, OperationKind};

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 64 * 1024;
/// Maximum length of a value, in bytes. A batch with one key always fits into a frame.
pub const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;

/// When a batch becomes durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// At the next sync. The batch itself sets no deadline for the sync.
    Deferred,
    /// Within this number of milliseconds. Batches share a sync, which is due at
    /// [`Store::sync_deadline`](crate::Store::sync_deadline).
    Within(u64),
    /// Before the write returns.
    Immediate,
}

/// Changes that are applied atomically. If a batch changes a key twice, the later change takes effect.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub(crate) changes: Vec<Change>,
}

#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub key: Vec<u8>,
    /// The new value; `None` deletes the key.
    pub value: Option<Value>,
}

#[derive(Clone, Debug)]
pub(crate) struct Value {
    bytes: Vec<u8>,
    /// Unix milliseconds; 0 means that the value never expires.
    expires_at: u64,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Self {
        Batch::default()
    }

    /// Adds a value that never expires.
    pub fn put(self, key: &[u8], value: &[u8]) -> Self {
        self.put_until(key, value, 0)
    }

    /// Adds a value that expires at `expires_at`, in Unix milliseconds; 0 means never.
    pub fn put_until(mut self, key: &[u8], value: &[u8], expires_at: u64) -> Self {
        let value = Value { bytes: value.into(), expires_at };
        self.changes.push(Change { key: key.into(), value: Some(value) });
        self
    }

    /// Adds the deletion of a key.
    pub fn delete(mut self, key: &[u8]) -> Self {
        self.changes.push(Change { key: key.into(), value: None });
        self
    }

    pub(crate) fn only_deletes(&self) -> bool {
        self.changes.iter().all(|change| change.value.is_none())
    }

    pub(crate) fn encode(&self) -> Result<FrameBuilder> {
        let mut builder = FrameBuilder::default();
        for change in &self.changes {
            check_length("key", change.key.len(), MAX_KEY_BYTES)?;
            match &change.value {
                Some(value) => {
                    check_length("value", value.bytes.len(), MAX_VALUE_BYTES)?;
                    builder.push(OperationKind::Put, value.expires_at, &change.key, &value.bytes);
                }
                None => {
                    builder.push(OperationKind::Delete, 0, &change.key, &[]);
                }
            }
        }
        Ok(builder)
    }
}

fn check_length(what: &'static str, length: usize, limit: usize) -> Result<()> {
    if length > limit {
        return Err(Error::TooLong { what, length, limit });
    }
    Ok(())
}
