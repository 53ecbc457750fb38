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
const CONTENT_HEADER_BYTES: usize = 8 + 8 + 8 + 4;
const OPERATION_HEADER_BYTES: usize = 1 + 8 + 4 + 4;

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
        let (content, mut at) = (self.content, CONTENT_HEADER_BYTES);
        std::iter::from_fn(move || {
            let operation = decode_operation(content, at)?;
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
    pub fn push(&mut self, kind: OperationKind, expires_at: u64, key: &[u8], value: &[u8]) -> usize {
        let bytes = &mut self.operations;
        bytes.push(matches!(kind, OperationKind::Delete) as u8);
        bytes.extend(expires_at.to_le_bytes());
        bytes.extend((key.len() as u32).to_le_bytes());
        bytes.extend((value.len() as u32).to_le_bytes());
        bytes.extend(key);
        let at = HEADER_BYTES + CONTENT_HEADER_BYTES + bytes.len();
        bytes.extend(value);
        self.count += 1;
        at
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    /// Bytes of the frame that it would make.
    pub fn length(&self) -> usize {
        HEADER_BYTES + CONTENT_HEADER_BYTES + self.operations.len()
    }

    pub fn frame(
        &self,
        segment: u64,
        offset: u64,
        (sequence, durable_sequence): (u64, u64),
        written_at: u64,
    ) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.length());
        bytes.extend(((CONTENT_HEADER_BYTES + self.operations.len()) as u32).to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(sequence.to_le_bytes());
        bytes.extend(durable_sequence.to_le_bytes());
        bytes.extend(written_at.to_le_bytes());
        bytes.extend(self.count.to_le_bytes());
        bytes.extend(&self.operations);
        let sum = checksum(segment, offset, &bytes[HEADER_BYTES..]);
        bytes[4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
        bytes
    }
}

fn checksum(segment: u64, offset: u64, content: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&segment.to_le_bytes());
    sum.update(&offset.to_le_bytes());
    sum.update(content);
    sum.finalize()
}

fn read_bytes<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Reads the frame at the front of some bytes, which stand at a place of a segment; nothing if there is none, whole.
pub fn decode(bytes: &[u8], segment: u64, offset: u64) -> Option<Frame<'_>> {
    let length = u32::from_le_bytes(read_bytes(bytes, 0)?) as usize;
    if !(CONTENT_HEADER_BYTES..=MAX_CONTENT_BYTES).contains(&length) {
        return None;
    }
    let content = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if checksum(segment, offset, content) != u32::from_le_bytes(read_bytes(bytes, 4)?) {
        return None;
    }
    let (sequence, durable_sequence) =
        (u64::from_le_bytes(read_bytes(content, 0)?), u64::from_le_bytes(read_bytes(content, 8)?));
    let written_at = u64::from_le_bytes(read_bytes(content, 16)?);
    let count = u32::from_le_bytes(read_bytes(content, 24)?);
    let mut at = CONTENT_HEADER_BYTES;
    for _ in 0..count {
        let operation = decode_operation(content, at)?;
        at = operation.value_offset - HEADER_BYTES + operation.value.len();
    }
    (at == content.len()).then_some(Frame {
        sequence,
        durable_sequence,
        written_at,
        length: HEADER_BYTES + length,
        content,
    })
}

/// The operation that begins at a place of a frame's content.
fn decode_operation(content: &[u8], at: usize) -> Option<Operation<'_>> {
    let kind = match content.get(at)? {
        0 => OperationKind::Put,
        1 => OperationKind::Delete,
        _ => return None,
    };
    let expires_at = u64::from_le_bytes(read_bytes(content, at + 1)?);
    let key = u32::from_le_bytes(read_bytes(content, at + 9)?) as usize;
    let value = u32::from_le_bytes(read_bytes(content, at + 13)?) as usize;
    let (key_offset, value_offset) = (at + OPERATION_HEADER_BYTES, at + OPERATION_HEADER_BYTES + key);
    let (key, value) =
        (content.get(key_offset..value_offset)?, content.get(value_offset..value_offset + value)?);
    Some(Operation { kind, expires_at, key, value, value_offset: HEADER_BYTES + value_offset })
}
