//! A small embedded store for what must survive a restart: keys and values in an append-only log of segments, with an index
//! in memory. Batches are atomic; after any crash the store is a prefix of the batches, in order, that contains all that
//! were acknowledged as durable.
//!
//! `files` is all the file access there is, behind a trait, so that tests can fail, tear and lose writes. `frame` is how a
//! batch stands in the log. `store` is the rest. There is no thread and no clock: times are handed in, in milliseconds of
//! Unix time, and compaction is done in slices by the caller.

pub mod fault_injection;
pub mod files;
pub mod frame;
pub mod store;

pub use store::{Batch, Durability, Error, OpenReport, Options, Store};
