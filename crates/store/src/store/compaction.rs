//! Compaction appends the live values of the oldest segment to the log again, makes them durable and removes the segment.
//! Only the oldest segment is compacted: a deletion therefore outlives every older value of its key, and is removed with the
//! oldest segment. After a crash at any step a value is at most twice in the log, with the same content.

use super::Store;
use crate::error::{Error, Result};
use crate::files::{Directory, FileHandle};
use crate::frame::{self, FrameBuilder, OperationKind};
use crate::segment::{self, HEADER_BYTES};

/// Compaction of a segment starts when more than this fraction of the log is not live.
const MAX_WASTE: f64 = 0.5;

impl<D: Directory> Store<D> {
    /// Compacts the next `budget` bytes if compaction is under way or enough of the log is not live. Returns whether there
    /// was anything to compact.
    pub fn compact(&mut self, budget: usize, now: u64) -> Result<bool> {
        self.latest_time = self.latest_time.max(now);
        let Some(oldest) = self.compactable_segment() else { return Ok(false) };
        let length = self.segments.get(&oldest).map_or(0, |segment| segment.length);
        let end = length.min(self.compaction_offset + budget as u64);
        let live = self.collect_live(oldest, length, end, now)?;
        if live.count() > 0 {
            self.append(live)?;
        }
        if self.compaction_offset >= length {
            self.remove_compacted(oldest)?;
        }
        Ok(true)
    }

    /// Returns the oldest segment if its compaction is under way or if the log exceeds [`MAX_WASTE`].
    fn compactable_segment(&self) -> Option<u64> {
        let (oldest, _) = self.segments.first_key_value()?;
        let (active, _) = self.segments.last_key_value()?;
        if oldest == active {
            return None;
        }
        let live_bytes: u64 = self.segments.values().map(|segment| segment.live_bytes).sum();
        let disk_bytes = self.disk_bytes();
        let is_under_way = self.compaction_offset > HEADER_BYTES;
        let is_wasteful = (disk_bytes - live_bytes) as f64 > MAX_WASTE * disk_bytes as f64;
        (is_under_way || is_wasteful).then_some(*oldest)
    }

    /// Returns the live values of the oldest segment between `compaction_offset` and `end`, and advances `compaction_offset`.
    /// Removes expired keys from the index.
    fn collect_live(&mut self, oldest: u64, length: u64, end: u64, now: u64) -> Result<FrameBuilder> {
        let mut live = FrameBuilder::default();
        while self.compaction_offset < end {
            let frame_offset = self.compaction_offset;
            let bytes = self.read_frame(oldest, frame_offset, length)?;
            let frame = bytes.as_deref().and_then(|bytes| frame::decode(bytes, oldest, frame_offset));
            let Some(frame) = frame else {
                // Salvage skipped damage here. Recovery searched for the next frame byte by byte, and so does compaction.
                self.compaction_offset += 1;
                continue;
            };
            for operation in frame.operations().filter(|operation| operation.kind == OperationKind::Put) {
                let value_offset = frame_offset + operation.value_offset as u64;
                let current = self
                    .index
                    .get(operation.key)
                    .filter(|location| location.segment == oldest && location.offset == value_offset);
                let Some(location) = current else { continue };
                if self.is_live(location, now) {
                    live.push(OperationKind::Put, operation.expires_at, operation.key, operation.value);
                } else {
                    self.update_index(operation.key, None);
                }
            }
            self.compaction_offset += frame.length as u64;
        }
        Ok(live)
    }

    /// Makes the live values of the oldest segment durable in the last segment, then removes the oldest segment.
    fn remove_compacted(&mut self, oldest: u64) -> Result<()> {
        self.sync()?;
        self.segments.remove(&oldest);
        self.compaction_offset = HEADER_BYTES;
        self.directory.remove(&segment::file_name(oldest)).map_err(Error::io("a compacted segment"))?;
        self.directory.sync_names().map_err(Error::io("the directory"))
    }

    /// Reads the bytes of a frame at an offset, as its length field states. Returns `None` if the frame would extend beyond
    /// the end of the segment.
    fn read_frame(&self, segment: u64, offset: u64, length: u64) -> Result<Option<Vec<u8>>> {
        let Some(segment) = self.segments.get(&segment) else { return Ok(None) };
        if offset + frame::HEADER_BYTES as u64 > length {
            return Ok(None);
        }
        let mut content_length = [0; 4];
        segment.file.read(offset, &mut content_length).map_err(Error::io("a frame's length"))?;
        let frame_length = frame::HEADER_BYTES as u64 + u64::from(u32::from_le_bytes(content_length));
        if frame_length > frame::MAX_CONTENT_BYTES as u64 || offset + frame_length > length {
            return Ok(None);
        }
        let mut bytes = vec![0; frame_length as usize];
        segment.file.read(offset, &mut bytes).map_err(Error::io("a frame"))?;
        Ok(Some(bytes))
    }
}
