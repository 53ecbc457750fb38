//! Recovery of a store when it is opened: replays the segments into the index, truncates a torn end and distinguishes it
//! from damage. Recovery never writes a frame.

use super::Store;
use crate::error::{Error, Result};
use crate::files::{Directory, FileHandle};
use crate::frame;
use crate::segment::{self, Segment, HEADER_BYTES};

/// The result of recovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenReport {
    /// Number of replayed batches.
    pub batches: u64,
    /// Number of keys in the index.
    pub keys: usize,
    /// The truncated torn end: segment number, offset and length in bytes.
    pub truncated: Option<(u64, u64, u64)>,
    /// The skipped damaged ranges: segment number, offset and length in bytes.
    pub skipped: Vec<(u64, u64, u64)>,
}

/// A range of bytes without a valid frame.
struct Gap {
    /// Offset of the next frame, if there is one.
    next: Option<u64>,
    /// A frame after the gap states that a batch in the gap was durable.
    lost_durable_batch: bool,
}

impl<D: Directory> Store<D> {
    /// Replays all segments, in the order of their numbers.
    pub(super) fn recover(&mut self, numbers: &[u64], report: &mut OpenReport) -> Result<()> {
        for (index, number) in numbers.iter().copied().enumerate() {
            let expected = match index.checked_sub(1) {
                Some(previous) => numbers[previous] + 1,
                None => number,
            };
            if number != expected && !self.options.salvage {
                return Err(Error::Missing { segment: expected });
            }
            let is_newest = index + 1 == numbers.len();
            self.recover_segment(number, is_newest, report)?;
        }
        Ok(())
    }

    fn recover_segment(&mut self, number: u64, is_newest: bool, report: &mut OpenReport) -> Result<()> {
        let name = segment::file_name(number);
        let file = self.directory.open(&name, false).map_err(Error::io("a segment"))?;
        let length = file.length().map_err(Error::io("a segment's length"))?;
        if length < HEADER_BYTES && is_newest {
            // A crash interrupted the creation of the segment.
            return self.discard_segment(file, number, length, report);
        }
        let mut bytes = vec![0; length as usize];
        file.read(0, &mut bytes).map_err(Error::io("a segment's content"))?;
        if bytes.get(..HEADER_BYTES as usize) != Some(&segment::header()) {
            if is_newest && bytes.iter().all(|byte| *byte == 0) {
                return self.discard_segment(file, number, length, report);
            }
            if !self.options.salvage {
                return Err(Error::UnknownFormat { segment: number });
            }
        }
        self.segments.insert(number, Segment::new(file, length));
        let end = self.replay(number, &bytes, is_newest, report)?;
        if end < length {
            if let Some(segment) = self.segments.get_mut(&number) {
                segment.file.truncate(end).map_err(Error::io("the torn end of a segment"))?;
                segment.length = end;
            }
        }
        Ok(())
    }

    fn discard_segment(
        &mut self,
        file: D::Handle,
        number: u64,
        length: u64,
        report: &mut OpenReport,
    ) -> Result<()> {
        report.truncated = Some((number, 0, length));
        drop(file);
        self.directory.remove(&segment::file_name(number)).map_err(Error::io("a torn segment"))
    }

    /// Replays the frames of a segment and returns the offset of their end.
    fn replay(&mut self, number: u64, bytes: &[u8], is_newest: bool, report: &mut OpenReport) -> Result<u64> {
        let length = bytes.len() as u64;
        let mut offset = HEADER_BYTES.min(length);
        while offset < length {
            let decoded = frame::decode(&bytes[offset as usize..], number, offset)
                .filter(|frame| frame.header.sequence > self.last_sequence);
            if let Some(frame) = decoded {
                self.last_sequence = frame.header.sequence;
                self.latest_time = self.latest_time.max(frame.header.written_at);
                self.index_frame(number, offset, &frame);
                report.batches += 1;
                offset += frame.length as u64;
                continue;
            }
            let gap = self.gap(number, bytes, offset);
            if is_newest && !gap.lost_durable_batch {
                report.truncated = Some((number, offset, length - offset));
                return Ok(offset);
            }
            let next = gap.next.unwrap_or(length);
            let gap_length = next - offset;
            if !self.options.salvage {
                return Err(Error::Damaged { segment: number, offset, length: gap_length });
            }
            report.skipped.push((number, offset, gap_length));
            offset = next;
        }
        Ok(length)
    }

    /// Examines the bytes from an offset without a valid frame. A later frame proves damage if it states that a missing batch
    /// was durable. A crash may lose any of the batches that were not durable.
    fn gap(&self, number: u64, bytes: &[u8], offset: u64) -> Gap {
        let mut gap = Gap { next: None, lost_durable_batch: false };
        for next in offset + 1..bytes.len() as u64 {
            let decoded = frame::decode(&bytes[next as usize..], number, next)
                .filter(|frame| frame.header.sequence > self.last_sequence);
            if let Some(frame) = decoded {
                gap.next = gap.next.or(Some(next));
                gap.lost_durable_batch |= frame.header.durable_sequence > self.last_sequence;
            }
        }
        gap
    }
}
