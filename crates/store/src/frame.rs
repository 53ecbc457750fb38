//! The encoding of a batch as one frame in a segment. A frame decodes completely or not at all. This module accesses no
//! files.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | length of the content, greater than 0 |
//! | 4 | CRC-32 of the segment's number, the frame's offset and the content |
//! | 8 | sequence number of the batch |
//! | 8 | sequence number of the last batch that was durable when the frame was written: a batch up to this number that is missing proves damage |
//! | 8 | latest time seen when the frame was written, in Unix milliseconds |
//! | 4 | number of operations that follow |
//!
//! An operation consists of its kind (1 byte), the expiry time of the value (8 bytes; 0 means never), the length of the key
//! (4 bytes), the length of the value (4 bytes), the key and the value. All numbers are little-endian. The checksum covers
//! the segment number and the offset, so a copy of a frame at another position is not valid: in the value of another frame,
//! or in a reused file.

/// Maximum length of the content, in bytes. It limits what a reader reads because of a damaged length field.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024 * 1024;
/// Length of the frame header before the content, in bytes.
pub const HEADER_BYTES: usize = 8;
/// Length of the content before the first operation, in bytes.
const CONTENT_HEADER_BYTES: usize = 8 + 8 + 8 + 4;
/// Length of an operation before its key, in bytes.
const OPERATION_HEADER_BYTES: usize = 1 + 8 + 4 + 4;

/// The kind of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Sets the value of a key.
    Put,
    /// Removes a key.
    Delete,
}

/// An operation that borrows from the bytes of its frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation<'b> {
    /// The kind.
    pub kind: OperationKind,
    /// Expiry time of the value, in Unix milliseconds; 0 means never.
    pub expires_at: u64,
    /// The key.
    pub key: &'b [u8],
    /// The value; empty for a deletion.
    pub value: &'b [u8],
    /// Offset of the value from the start of the frame, in bytes.
    pub value_offset: usize,
}

impl Operation<'_> {
    /// Returns the offset of the next operation in the frame's content.
    fn end(&self) -> usize {
        self.value_offset - HEADER_BYTES + self.value.len()
    }
}

/// The description of the batch in a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Sequence number of the last batch that was durable when this one was written.
    pub durable_sequence: u64,
    /// Latest time seen when this batch was written, in Unix milliseconds.
    pub written_at: u64,
}

/// A decoded frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'b> {
    /// The description of the batch.
    pub header: FrameHeader,
    /// Length of the frame, in bytes.
    pub length: usize,
    /// The validated content, which contains only complete operations.
    content: &'b [u8],
}

impl<'b> Frame<'b> {
    /// Returns the operations in order.
    pub fn operations(&self) -> impl Iterator<Item = Operation<'b>> {
        let content = self.content;
        let mut offset = CONTENT_HEADER_BYTES;
        std::iter::from_fn(move || {
            let operation = decode_operation(content, offset)?;
            offset = operation.end();
            Some(operation)
        })
    }
}

/// Collects the operations of a frame.
#[derive(Clone, Debug, Default)]
pub struct FrameBuilder {
    operations: Vec<u8>,
    count: u32,
}

impl FrameBuilder {
    /// Adds an operation. `expires_at` is in Unix milliseconds; 0 means never.
    pub fn push(&mut self, kind: OperationKind, expires_at: u64, key: &[u8], value: &[u8]) {
        let bytes = &mut self.operations;
        bytes.push(u8::from(matches!(kind, OperationKind::Delete)));
        bytes.extend(expires_at.to_le_bytes());
        bytes.extend((key.len() as u32).to_le_bytes());
        bytes.extend((value.len() as u32).to_le_bytes());
        bytes.extend(key);
        bytes.extend(value);
        self.count += 1;
    }

    /// Returns the number of operations.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the length of the encoded frame, in bytes.
    pub fn length(&self) -> usize {
        HEADER_BYTES + CONTENT_HEADER_BYTES + self.operations.len()
    }

    /// Encodes the frame for an offset in a segment.
    pub fn encode(&self, segment: u64, offset: u64, header: FrameHeader) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.length());
        bytes.extend(((CONTENT_HEADER_BYTES + self.operations.len()) as u32).to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(header.sequence.to_le_bytes());
        bytes.extend(header.durable_sequence.to_le_bytes());
        bytes.extend(header.written_at.to_le_bytes());
        bytes.extend(self.count.to_le_bytes());
        bytes.extend(&self.operations);
        let checksum = checksum(segment, offset, &bytes[HEADER_BYTES..]);
        bytes[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }
}

fn checksum(segment: u64, offset: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let bytes = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let bytes = bytes.get(offset..offset + 8)?;
    Some(u64::from_le_bytes(bytes.try_into().ok()?))
}

/// Decodes the frame at the start of `bytes`, which are at `offset` in a segment. Returns `None` if there is no complete
/// frame.
pub fn decode(bytes: &[u8], segment: u64, offset: u64) -> Option<Frame<'_>> {
    let length = read_u32(bytes, 0)? as usize;
    if !(CONTENT_HEADER_BYTES..=MAX_CONTENT_BYTES).contains(&length) {
        return None;
    }
    let content = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if checksum(segment, offset, content) != read_u32(bytes, 4)? {
        return None;
    }
    let header = FrameHeader {
        sequence: read_u64(content, 0)?,
        durable_sequence: read_u64(content, 8)?,
        written_at: read_u64(content, 16)?,
    };
    let count = read_u32(content, 24)?;
    let mut end = CONTENT_HEADER_BYTES;
    for _ in 0..count {
        end = decode_operation(content, end)?.end();
    }
    (end == content.len()).then_some(Frame { header, length: HEADER_BYTES + length, content })
}

/// Decodes the operation at an offset in a frame's content.
fn decode_operation(content: &[u8], offset: usize) -> Option<Operation<'_>> {
    let kind = match content.get(offset)? {
        0 => OperationKind::Put,
        1 => OperationKind::Delete,
        _ => return None,
    };
    let expires_at = read_u64(content, offset + 1)?;
    let key_length = read_u32(content, offset + 9)? as usize;
    let value_length = read_u32(content, offset + 13)? as usize;
    let key_offset = offset + OPERATION_HEADER_BYTES;
    let value_offset = key_offset + key_length;
    let key = content.get(key_offset..value_offset)?;
    let value = content.get(value_offset..value_offset + value_length)?;
    Some(Operation { kind, expires_at, key, value, value_offset: HEADER_BYTES + value_offset })
}
