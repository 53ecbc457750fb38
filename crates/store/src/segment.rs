//! A segment, which is one file of the log: its name, its header and the number of its live bytes. [`crate::frame`] encodes
//! the frames that follow the header.

const MAGIC: [u8; 8] = *b"fernstor";
const VERSION: u32 = 1;
/// Length of the segment header, in bytes: the magic number, the version and four zero bytes.
pub(crate) const HEADER_BYTES: u64 = 16;

pub(crate) struct Segment<H> {
    pub file: H,
    /// Length including the header, in bytes.
    pub length: u64,
    /// Bytes of the keys and values in this segment that the index refers to.
    pub live_bytes: u64,
}

impl<H> Segment<H> {
    pub fn new(file: H, length: u64) -> Self {
        Segment { file, length, live_bytes: 0 }
    }
}

pub(crate) fn file_name(segment: u64) -> String {
    format!("{segment:016x}.log")
}

/// Parses the segment number in a file name. Returns `None` if the file is not a segment.
pub(crate) fn number(file_name: &str) -> Option<u64> {
    let digits = file_name.strip_suffix(".log").filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

pub(crate) fn header() -> [u8; HEADER_BYTES as usize] {
    let mut header = [0; HEADER_BYTES as usize];
    header[..8].copy_from_slice(&MAGIC);
    header[8..12].copy_from_slice(&VERSION.to_le_bytes());
    header
}
