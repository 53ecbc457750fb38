//! Batches of changes, and how soon they are to be durable. A batch knows nothing of the store that it is written to.

use crate::error::{Error, Result};
use crate::frame::{FrameBuilder, OperationKind};

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 64 * 1024;
/// Longest value, in bytes: a batch of one key always fits in a frame.
pub const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;

/// When a batch is to be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// With a later sync, whenever that comes.
    Deferred,
    /// Within so many milliseconds, together with others: by [`Store::sync_deadline`](crate::Store::sync_deadline).
    Within(u64),
    /// Before the write returns.
    Immediate,
}

/// Changes that are applied together or not at all. Of two for one key the later one holds.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub(crate) changes: Vec<Change>,
}

#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub key: Vec<u8>,
    /// The new value; the key is deleted, if none.
    pub value: Option<Value>,
}

#[derive(Clone, Debug)]
pub(crate) struct Value {
    bytes: Vec<u8>,
    /// Unix milliseconds; 0: never.
    expires_at: u64,
}

impl Batch {
    /// A batch without changes.
    pub fn new() -> Self {
        Batch::default()
    }

    /// Adds a value that does not expire.
    pub fn put(self, key: &[u8], value: &[u8]) -> Self {
        self.put_until(key, value, 0)
    }

    /// Adds a value that expires at a time, in Unix milliseconds; 0: never.
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
