//! The options of a store.

/// What may be chosen when a store is opened.
#[derive(Clone, Debug)]
pub struct Options {
    /// Opens what is left around damage. Keys may be lost, and some that were deleted or replaced may reappear.
    pub salvage: bool,
    /// A segment that would grow longer is followed by another.
    pub max_segment_bytes: u64,
    /// Bound of all segments together, in bytes.
    pub max_disk_bytes: u64,
    /// Bound of the index, in bytes.
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
