//! The errors of a store. Operators read the texts.

use std::io;

/// Why an operation on a store has failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory is locked by another process.
    #[error("another process has this store")]
    Locked,
    /// File access has failed.
    #[error("{what}: {why}")]
    Io {
        /// What was accessed.
        what: &'static str,
        /// The error of the operating system.
        why: io::Error,
    },
    /// A sync has failed. What was written since the last success may be lost; the store must be opened again.
    #[error("what was written could not be made durable, and nothing more is taken: {0}")]
    Sync(io::Error),
    /// An earlier write or sync has failed in a way that leaves the state of the disk unknown.
    #[error("nothing is taken any more since a write could not be made durable")]
    Failed,
    /// A range of a segment can't be decoded, and is not the torn end of the log.
    #[error(
        "segment {segment:x} is damaged at byte {offset}, {length} bytes long; the rest opens with salvage"
    )]
    Damaged {
        /// Number of the segment.
        segment: u64,
        /// First damaged byte.
        offset: u64,
        /// Bytes up to the next frame, or to the end.
        length: u64,
    },
    /// There are segments before and after this number, and none with it.
    #[error("segment {segment:x} is missing")]
    Missing {
        /// Number of the segment.
        segment: u64,
    },
    /// A segment does not begin with the header of this version.
    #[error("segment {segment:x} is no segment of this version")]
    UnknownFormat {
        /// Number of the segment.
        segment: u64,
    },
    /// A batch would exceed [`Options::max_disk_bytes`](crate::Options::max_disk_bytes).
    #[error("the store may hold {limit} bytes on disk, and this needs {needed}")]
    DiskBound {
        /// Bytes with the batch.
        needed: u64,
        /// The bound, in bytes.
        limit: u64,
    },
    /// A batch would exceed [`Options::max_index_bytes`](crate::Options::max_index_bytes).
    #[error("the index may hold {limit} bytes in memory, and this needs {needed}")]
    IndexBound {
        /// Bytes with the batch.
        needed: u64,
        /// The bound, in bytes.
        limit: u64,
    },
    /// A key, a value or a batch is too long.
    #[error("a {what} of {length} bytes is too long; {limit} are the most")]
    TooLong {
        /// Which of the three.
        what: &'static str,
        /// Its length, in bytes.
        length: usize,
        /// Longest permitted length, in bytes.
        limit: usize,
    },
}

impl Error {
    /// Converts an error of an access to `what`.
    pub(crate) fn io(what: &'static str) -> impl Fn(io::Error) -> Error {
        move |why| Error::Io { what, why }
    }
}

pub(crate) type Result<T> = std::result::Result<T, Error>;
