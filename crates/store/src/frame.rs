//! How a batch stands in a segment: one frame, so that it is there whole or not at all.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of the content, above 0 |
//! | 4 | CRC-32 over the segment's number, the frame's place and the content |
//! | 8 | sequence number of the batch |
//! | 8 | number of the last batch that was durable when this was written: those up to it can be damaged, not missing |
//! | 8 | the latest time known when it was written, Unix milliseconds |
//! | 4 | how many operations follow |
//!
//! An operation: one byte of kind, 8 of the time when the key ends (0: never), 4 and 4 of the lengths of key and value, key,
//! value. All numbers are little-endian. As the place is in the checksum, a frame's bytes that stand in another's value, or
//! in a file that was used before, are no frame there.

/// Longest content: it bounds what a length that was damaged can make anybody read.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024 * 1024;
pub const HEADER_BYTES: usize = 8;
const CONTENT_HEAD: usize = 8 + 8 + 8 + 4;
const OPERATION_HEAD: usize = 1 + 8 + 4 + 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    Put,
    Delete,
}

/// One operation, within the content's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation<'b> {
    pub kind: OperationKind,
    /// When the key ends, Unix milliseconds; 0: never.
    pub expires_at: u64,
    pub key: &'b [u8],
    pub value: &'b [u8],
    /// Where the value stands, from the frame's start.
    pub value_offset: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'b> {
    pub sequence: u64,
    pub durable_sequence: u64,
    pub written_at: u64,
    /// Bytes of the whole frame.
    pub length: usize,
    /// All operations, known to be whole.
    content: &'b [u8],
}

impl<'b> Frame<'b> {
    pub fn operations(&self) -> impl Iterator<Item = Operation<'b>> {
        let (content, mut at) = (self.content, CONTENT_HEAD);
        std::iter::from_fn(move || {
            let operation = operation(content, at)?;
            at = operation.value_offset - HEADER_BYTES + operation.value.len();
            Some(operation)
        })
    }
}

/// Builds the content of a frame.
#[derive(Clone, Debug, Default)]
pub struct FrameBuilder {
    operations: Vec<u8>,
    count: u32,
}

impl FrameBuilder {
    /// Adds an operation, and says where its value will stand, from the frame's start.
    pub fn push(&mut self, kind: OperationKind, ends: u64, key: &[u8], value: &[u8]) -> usize {
        let bytes = &mut self.operations;
        bytes.push(matches!(kind, OperationKind::Delete) as u8);
        bytes.extend(ends.to_le_bytes());
        bytes.extend((key.len() as u32).to_le_bytes());
        bytes.extend((value.len() as u32).to_le_bytes());
        bytes.extend(key);
        let at = HEADER_BYTES + CONTENT_HEAD + bytes.len();
        bytes.extend(value);
        self.count += 1;
        at
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    /// Bytes of the frame that it would make.
    pub fn length(&self) -> usize {
        HEADER_BYTES + CONTENT_HEAD + self.operations.len()
    }

    pub fn frame(&self, segment: u64, place: u64, (number, durable): (u64, u64), time: u64) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.length());
        bytes.extend(((CONTENT_HEAD + self.operations.len()) as u32).to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(number.to_le_bytes());
        bytes.extend(durable.to_le_bytes());
        bytes.extend(time.to_le_bytes());
        bytes.extend(self.count.to_le_bytes());
        bytes.extend(&self.operations);
        let sum = checksum(segment, place, &bytes[HEADER_BYTES..]);
        bytes[4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
        bytes
    }
}

fn checksum(segment: u64, place: u64, content: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&segment.to_le_bytes());
    sum.update(&place.to_le_bytes());
    sum.update(content);
    sum.finalize()
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Reads the frame at the front of some bytes, which stand at a place of a segment; nothing if there is none, whole.
pub fn decode(bytes: &[u8], segment: u64, place: u64) -> Option<Frame<'_>> {
    let length = u32::from_le_bytes(number(bytes, 0)?) as usize;
    if !(CONTENT_HEAD..=MAX_CONTENT_BYTES).contains(&length) {
        return None;
    }
    let content = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if checksum(segment, place, content) != u32::from_le_bytes(number(bytes, 4)?) {
        return None;
    }
    let (batch, durable) = (u64::from_le_bytes(number(content, 0)?), u64::from_le_bytes(number(content, 8)?));
    let time = u64::from_le_bytes(number(content, 16)?);
    let count = u32::from_le_bytes(number(content, 24)?);
    let mut at = CONTENT_HEAD;
    for _ in 0..count {
        let operation = operation(content, at)?;
        at = operation.value_offset - HEADER_BYTES + operation.value.len();
    }
    (at == content.len()).then_some(Frame {
        sequence: batch,
        durable_sequence: durable,
        written_at: time,
        length: HEADER_BYTES + length,
        content,
    })
}

/// The operation that begins at a place of a frame's content.
fn operation(content: &[u8], at: usize) -> Option<Operation<'_>> {
    let kind = match content.get(at)? {
        0 => OperationKind::Put,
        1 => OperationKind::Delete,
        _ => return None,
    };
    let ends = u64::from_le_bytes(number(content, at + 1)?);
    let key = u32::from_le_bytes(number(content, at + 9)?) as usize;
    let value = u32::from_le_bytes(number(content, at + 13)?) as usize;
    let (key_at, value_at) = (at + OPERATION_HEAD, at + OPERATION_HEAD + key);
    let (key, value) = (content.get(key_at..value_at)?, content.get(value_at..value_at + value)?);
    Some(Operation { kind, expires_at: ends, key, value, value_offset: HEADER_BYTES + value_at })
}
