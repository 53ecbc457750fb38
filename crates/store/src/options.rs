//! The options of a store.

/// Options for opening a store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Skips damaged ranges instead of returning an error. Keys may be lost, and deleted keys or replaced values may
    /// reappear.
    pub salvage: bool,
    /// Maximum length of a segment, in bytes. A batch that would exceed it starts a new segment.
    pub max_segment_bytes: u64,
    /// Maximum total length of all segments, in bytes.
    pub max_disk_bytes: u64,
    /// Maximum memory of the index, in bytes.
    pub max_index_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        const MIB: u64 = 1024 * 1024;
        Options {
            salvage: false,
            max_segment_bytes: 32 * MIB,
            max_disk_bytes: 4096 * MIB,
            max_index_bytes: 512 * MIB,
        }
    }
}
