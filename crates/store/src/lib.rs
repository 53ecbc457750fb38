//! A small embedded key-value store for state that must survive a restart. It has the design of Bitcask: an append-only log
//! of segments, with an index in memory. Batches are atomic. After any crash the store holds a prefix of the batches, in
//! order, that contains every batch that was acknowledged as durable.
//!
//! All file access goes through the traits in [`files`], so that tests can fail, tear and lose writes. [`frame`] is the
//! encoding of a batch in the log. [`Store`] has no thread and no clock: the caller passes the current time, in Unix
//! milliseconds, and runs compaction in slices.

#![warn(missing_docs)]

mod batch;
mod error;
pub mod fault_injection;
pub mod files;
pub mod frame;
mod index;
mod options;
mod segment;
mod store;

pub use batch::{Batch, Durability, MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use error::Error;
pub use options::Options;

pub use store::{OpenReport, Sequences, Store};
