//! The errors of a store. Operators read their texts.

use std::io;

/// The error of a failed operation on a store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory is locked by another process.
    #[error("another process has locked this store")]
    Locked,
    /// A file operation failed.
    #[error("{what}: {why}")]
    Io {
        /// The object of the file operation.
        what: &'static str,
        /// The error of the operating system.
        why: io::Error,
    },
    /// A sync failed. Batches written since the last successful sync may be lost. The store must be reopened.
    #[error("a sync failed, and the store rejects all further writes: {0}")]
    Sync(io::Error),
    /// An earlier write or sync failed and left the state of the disk unknown.
    #[error("the store rejects all writes since an earlier write or sync failed")]
    Failed,
    /// A range of a segment can't be decoded and is not the torn end of the log.
    #[error(
        "segment {segment:x} is damaged at byte {offset}, {length} bytes long; the remaining data opens with salvage"
    )]
    Damaged {
        /// The number of the segment.
        segment: u64,
        /// Offset of the first damaged byte.
        offset: u64,
        /// Length up to the next frame or the end of the segment, in bytes.
        length: u64,
    },
    /// A segment is missing between two existing segments.
    #[error("segment {segment:x} is missing")]
    Missing {
        /// The number of the segment.
        segment: u64,
    },
    /// A segment does not start with the header of this format version.
    #[error("segment {segment:x} does not start with the header of this format version")]
    UnknownFormat {
        /// The number of the segment.
        segment: u64,
    },
    /// A batch would exceed [`Options::max_disk_bytes`](crate::Options::max_disk_bytes).
    #[error("the store needs {needed} bytes on disk with this batch; the limit is {limit}")]
    DiskBound {
        /// Required size including the batch, in bytes.
        needed: u64,
        /// The limit, in bytes.
        limit: u64,
    },
    /// A batch would exceed [`Options::max_index_bytes`](crate::Options::max_index_bytes).
    #[error("the index needs {needed} bytes of memory with this batch; the limit is {limit}")]
    IndexBound {
        /// Required size including the batch, in bytes.
        needed: u64,
        /// The limit, in bytes.
        limit: u64,
    },
    /// A key, a value or a batch is too long.
    #[error("a {what} of {length} bytes is too long; the limit is {limit} bytes")]
    TooLong {
        /// The item that is too long: `key`, `value` or `batch`.
        what: &'static str,
        /// Its length, in bytes.
        length: usize,
        /// The maximum length, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns a function that converts an I/O error on the object `what`.
    pub(crate) fn io(what: &'static str) -> impl Fn(io::Error) -> Error {
        move |why| Error::Io { what, why }
    }
}

pub(crate) type Result<T> = std::result::Result<T, Error>;
