//! The store: segments, the index, batches, recovery and compaction.
//!
//! Segments are numbered without gaps. Only the oldest is ever compacted: what is live in it is written anew at the end,
//! made durable, and then it goes. So a deletion outlives every older value of its key, and goes with the oldest segment;
//! a crash in any step leaves values twice at most, the same ones.

use std::collections::BTreeMap;
use std::io;
use std::ops::Bound;

use crate::files::{Directory, FileHandle};
use crate::frame::{self, FrameBuilder, OperationKind};

const MAGIC: [u8; 8] = *b"fernstor";
const VERSION: u32 = 1;
const HEADER_BYTES: u64 = 16;
/// Longest key, and longest value: a batch of one always fits in a frame.
pub const MAX_KEY_BYTES: usize = 64 * 1024;
pub const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that a key takes in the index beside its own, generously.
const ENTRY_OVERHEAD_BYTES: u64 = 96;
/// A segment is compacted once this part of what is in all of them is of no use any more.
const MAX_WASTE: f64 = 0.5;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("another process has this store")]
    Locked,
    #[error("{what}: {why}")]
    Io { what: &'static str, why: io::Error },
    /// What was written since the last success is not taken for durable; the store is to be opened anew.
    #[error("what was written could not be made durable, and nothing more is taken: {0}")]
    Sync(io::Error),
    #[error("nothing is taken any more since a write could not be made durable")]
    Failed,
    #[error(
        "segment {segment:x} is damaged at byte {offset}, {length} bytes long; the rest opens with salvage"
    )]
    Damaged { segment: u64, offset: u64, length: u64 },
    #[error("segment {segment:x} is missing")]
    Missing { segment: u64 },
    #[error("segment {segment:x} is no segment of this version")]
    UnknownFormat { segment: u64 },
    #[error("the store may hold {limit} bytes on disk, and this needs {needed}")]
    DiskBound { needed: u64, limit: u64 },
    #[error("the index may hold {limit} bytes in memory, and this needs {needed}")]
    IndexBound { needed: u64, limit: u64 },
    #[error("a {what} of {length} bytes is too long; {limit} are the most")]
    TooLong { what: &'static str, length: usize, limit: usize },
}

type Result<T> = std::result::Result<T, Error>;

fn io_error(what: &'static str) -> impl Fn(io::Error) -> Error {
    move |why| Error::Io { what, why }
}

#[derive(Clone, Debug)]
pub struct Options {
    /// Opens what is left round damage. Keys may be lost, and some that were deleted or replaced may be back.
    pub salvage: bool,
    /// A segment that would grow longer is followed by another.
    pub max_segment_bytes: u64,
    /// Bounds, in bytes, of all segments and of the index.
    pub max_disk_bytes: u64,
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

/// When a batch is on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// At some later `sync`, whenever that comes.
    Deferred,
    /// Within so many milliseconds, together with others: at the `tick` that `due` asks for.
    Within(u64),
    /// Before it is acknowledged.
    Immediate,
}

/// What opening found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenReport {
    pub batches: u64,
    pub keys: usize,
    /// A torn end was cut: its segment, where, and how many bytes.
    pub truncated: Option<(u64, u64, u64)>,
    /// Damage that was passed over, likewise.
    pub skipped: Vec<(u64, u64, u64)>,
}

/// A value, and when it ends.
type Value = (Vec<u8>, u64);

/// Changes that happen together or not at all. Of two for one key the later holds.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    changes: Vec<(Vec<u8>, Option<Value>)>,
}

impl Batch {
    pub fn new() -> Self {
        Batch::default()
    }

    pub fn put(self, key: &[u8], value: &[u8]) -> Self {
        self.put_until(key, value, 0)
    }

    /// A value that is there until a time, Unix milliseconds; 0: for ever.
    pub fn put_until(mut self, key: &[u8], value: &[u8], expires_at: u64) -> Self {
        self.changes.push((key.into(), Some((value.into(), expires_at))));
        self
    }

    pub fn delete(mut self, key: &[u8]) -> Self {
        self.changes.push((key.into(), None));
        self
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ValueLocation {
    segment: u64,
    offset: u64,
    length: u32,
    expires_at: u64,
}

struct Segment<H> {
    file: H,
    length: u64,
    /// Bytes of values and keys that the index points at.
    live: u64,
}

pub struct Store<F: Directory> {
    directory: F,
    options: Options,
    segments: BTreeMap<u64, Segment<F::Handle>>,
    index: BTreeMap<Box<[u8]>, ValueLocation>,
    index_bytes: u64,
    /// Number of the last batch, and of the last that is durable.
    last_sequence: u64,
    durable_sequence: u64,
    /// When what was written is to be durable at the latest, Unix milliseconds.
    sync_deadline: Option<u64>,
    /// The latest time known: a clock that goes back brings back nothing that has ended.
    latest_time: u64,
    has_failed: bool,
    /// How far the oldest segment has been compacted.
    compaction_offset: u64,
}

fn segment_file_name(segment: u64) -> String {
    format!("{segment:016x}.log")
}

fn segment_header() -> [u8; HEADER_BYTES as usize] {
    let mut header = [0; HEADER_BYTES as usize];
    header[..8].copy_from_slice(&MAGIC);
    header[8..12].copy_from_slice(&VERSION.to_le_bytes());
    header
}

impl<F: Directory> Store<F> {
    /// Opens a store, and an empty one where there is none.
    pub fn open(mut directory: F, options: Options, now: u64) -> Result<(Self, OpenReport)> {
        directory.lock().map_err(|why| match why.kind() {
            io::ErrorKind::WouldBlock => Error::Locked,
            _ => Error::Io { what: "the folder's lock", why },
        })?;
        let names = directory.list().map_err(io_error("the folder"))?;
        let mut numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| {
                let digits = name.strip_suffix(".log").filter(|digits| digits.len() == 16)?;
                u64::from_str_radix(digits, 16).ok()
            })
            .collect();
        numbers.sort_unstable();
        let mut store = Store {
            directory,
            options,
            segments: BTreeMap::new(),
            index: BTreeMap::new(),
            index_bytes: 0,
            last_sequence: 0,
            durable_sequence: 0,
            sync_deadline: None,
            latest_time: now,
            has_failed: false,
            compaction_offset: 0,
        };
        let mut report = OpenReport::default();
        for (offset, number) in numbers.iter().copied().enumerate() {
            let expected = offset.checked_sub(1).map(|before| numbers[before] + 1);
            if let Some(segment) = expected.filter(|expected| *expected != number && !store.options.salvage) {
                return Err(Error::Missing { segment });
            }
            store.recover_segment(number, offset + 1 == numbers.len(), &mut report)?;
        }
        if store.segments.is_empty() {
            // Where all were cut away a number that was used must not come again: places are part of checksums.
            let number = numbers.last().map_or(1, |last| last + 1);
            store.add_segment(number)?;
        }
        // What is there now has survived; it must not be lost by the next crash either.
        store.sync()?;
        (report.keys, store.compaction_offset) = (store.index.len(), HEADER_BYTES);
        Ok((store, report))
    }

    fn recover_segment(&mut self, number: u64, is_newest: bool, report: &mut OpenReport) -> Result<()> {
        let file = self.directory.open(&segment_file_name(number), false).map_err(io_error("a segment"))?;
        let length = file.length().map_err(io_error("a segment's length"))?;
        if length < HEADER_BYTES && is_newest {
            // It was just being made.
            report.truncated = Some((number, 0, length));
            drop(file);
            return self.directory.remove(&segment_file_name(number)).map_err(io_error("a torn segment"));
        }
        let mut bytes = vec![0; length as usize];
        file.read(0, &mut bytes).map_err(io_error("a segment's content"))?;
        if bytes.get(..HEADER_BYTES as usize) != Some(&segment_header()) {
            if is_newest && bytes.iter().all(|byte| *byte == 0) {
                report.truncated = Some((number, 0, length));
                drop(file);
                return self.directory.remove(&segment_file_name(number)).map_err(io_error("a torn segment"));
            }
            if !self.options.salvage {
                return Err(Error::UnknownFormat { segment: number });
            }
        }
        let mut offset = HEADER_BYTES.min(length);
        let mut end = length;
        self.segments.insert(number, Segment { file, length, live: 0 });
        while offset < length {
            let decoded = frame::decode(&bytes[offset as usize..], number, offset)
                .filter(|frame| frame.sequence > self.last_sequence);
            if let Some(frame) = decoded {
                (self.last_sequence, self.latest_time) =
                    (frame.sequence, self.latest_time.max(frame.written_at));
                for operation in frame.operations() {
                    let value = ValueLocation {
                        segment: number,
                        offset: offset + operation.value_offset as u64,
                        length: operation.value.len() as u32,
                        expires_at: operation.expires_at,
                    };
                    self.update_index(operation.key, (operation.kind == OperationKind::Put).then_some(value));
                }
                report.batches += 1;
                offset += frame.length as u64;
                continue;
            }
            // Whole frames behind it tell damage from an end that was being written, if they knew that what is missing
            // was durable: of what was not, a crash may lose any part.
            let frame_at = |next: u64| {
                let frame = frame::decode(&bytes[next as usize..], number, next)?;
                (frame.sequence > self.last_sequence).then_some((next, frame.durable_sequence))
            };
            let found: Vec<_> = (offset + 1..length).filter_map(frame_at).collect();
            let next = found.first().map(|(next, _)| *next);
            let lost = found.iter().any(|(_, durable)| *durable > self.last_sequence);
            match next {
                _ if is_newest && !lost => {
                    report.truncated = Some((number, offset, length - offset));
                    end = offset;
                    break;
                }
                _ if !self.options.salvage => {
                    let length = next.unwrap_or(length) - offset;
                    return Err(Error::Damaged { segment: number, offset, length });
                }
                next => {
                    let next = next.unwrap_or(length);
                    report.skipped.push((number, offset, next - offset));
                    offset = next;
                }
            }
        }
        if end < length {
            if let Some(segment) = self.segments.get_mut(&number) {
                segment.file.truncate(end).map_err(io_error("the torn end of a segment"))?;
                segment.length = end;
            }
        }
        Ok(())
    }

    /// Points the index at a value, or at none.
    fn update_index(&mut self, key: &[u8], value: Option<ValueLocation>) {
        let weight = |location: &ValueLocation| u64::from(location.length) + key.len() as u64;
        let old = match value {
            Some(location) => self.index.insert(key.into(), location),
            None => self.index.remove(key),
        };
        if let Some(old) = &old {
            if let Some(segment) = self.segments.get_mut(&old.segment) {
                segment.live -= weight(old);
            }
        }
        if let Some(location) = &value {
            if let Some(segment) = self.segments.get_mut(&location.segment) {
                segment.live += weight(location);
            }
        }
        let entry = key.len() as u64 + ENTRY_OVERHEAD_BYTES;
        match (old.is_some(), value.is_some()) {
            (false, true) => self.index_bytes += entry,
            (true, false) => self.index_bytes -= entry,
            _ => {}
        }
    }

    fn add_segment(&mut self, number: u64) -> Result<()> {
        let mut file =
            self.directory.open(&segment_file_name(number), true).map_err(io_error("a new segment"))?;
        file.write(0, &segment_header()).map_err(io_error("a new segment's header"))?;
        file.sync().map_err(Error::Sync)?;
        self.directory.sync_names().map_err(Error::Sync)?;
        self.segments.insert(number, Segment { file, length: HEADER_BYTES, live: 0 });
        Ok(())
    }

    /// Bytes of all segments.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Numbers of the last batch and of the last that is durable.
    pub fn sequences(&self) -> (u64, u64) {
        (self.last_sequence, self.durable_sequence)
    }

    /// Writes a batch, whole or not at all, and gives its number.
    pub fn write(&mut self, batch: &Batch, durability: Durability, now: u64) -> Result<u64> {
        self.latest_time = self.latest_time.max(now);
        let mut builder = FrameBuilder::default();
        let mut index_growth = 0;
        for (key, change) in &batch.changes {
            let value = change.as_ref().map_or(&[][..], |(value, _)| value);
            for (what, length, limit) in
                [("key", key.len(), MAX_KEY_BYTES), ("value", value.len(), MAX_VALUE_BYTES)]
            {
                if length > limit {
                    return Err(Error::TooLong { what, length, limit });
                }
            }
            let kind = if change.is_some() { OperationKind::Put } else { OperationKind::Delete };
            builder.push(kind, change.as_ref().map_or(0, |(_, expires_at)| *expires_at), key, value);
            if change.is_some() && !self.index.contains_key(&key[..]) {
                index_growth += key.len() as u64 + ENTRY_OVERHEAD_BYTES;
            }
        }
        // What only deletes must be taken at the bounds: it is the way out.
        let deletes = batch.changes.iter().all(|(_, change)| change.is_none());
        let (needed, limit) = (self.index_bytes + index_growth, self.options.max_index_bytes);
        if needed > limit && index_growth > 0 {
            return Err(Error::IndexBound { needed, limit });
        }
        let (needed, limit) = (self.disk_bytes() + builder.length() as u64, self.options.max_disk_bytes);
        if needed > limit && !deletes {
            return Err(Error::DiskBound { needed, limit });
        }
        let number = self.append(builder)?;
        match durability {
            Durability::Deferred => {}
            Durability::Within(delay) => {
                let deadline = self.latest_time.saturating_add(delay);
                self.sync_deadline =
                    Some(self.sync_deadline.map_or(deadline, |earlier| earlier.min(deadline)));
            }
            Durability::Immediate => self.sync()?,
        }
        Ok(number)
    }

    /// Appends a frame, and points the index at what is in it.
    fn append(&mut self, builder: FrameBuilder) -> Result<u64> {
        if self.has_failed {
            return Err(Error::Failed);
        }
        let length = builder.length();
        if length - frame::HEADER_BYTES > frame::MAX_CONTENT_BYTES {
            return Err(Error::TooLong { what: "batch", length, limit: frame::MAX_CONTENT_BYTES });
        }
        let active = self.segments.last_key_value().map(|(number, segment)| (*number, segment.length));
        let (mut segment, mut offset) = active.ok_or(Error::Failed)?;
        if offset > HEADER_BYTES && offset + length as u64 > self.options.max_segment_bytes {
            // What stands in the new one must not outlive what stands here.
            self.sync()?;
            segment += 1;
            self.add_segment(segment).inspect_err(|_| self.has_failed = true)?;
            offset = HEADER_BYTES;
        }
        let number = self.last_sequence + 1;
        let bytes = builder.frame(segment, offset, (number, self.durable_sequence), self.latest_time);
        let active_segment = self.segments.get_mut(&segment).ok_or(Error::Failed)?;
        if let Err(why) = active_segment.file.write(offset, &bytes) {
            // The half that may be there must not be found whole after a crash, when it was said to have failed.
            if active_segment.file.truncate(offset).is_err() {
                self.has_failed = true;
            }
            return Err(Error::Io { what: "a batch", why });
        }
        active_segment.length = offset + bytes.len() as u64;
        self.last_sequence = number;
        let written = frame::decode(&bytes, segment, offset).ok_or(Error::Failed)?;
        for operation in written.operations() {
            let value = ValueLocation {
                segment,
                offset: offset + operation.value_offset as u64,
                length: operation.value.len() as u32,
                expires_at: operation.expires_at,
            };
            self.update_index(operation.key, (operation.kind == OperationKind::Put).then_some(value));
        }
        Ok(number)
    }

    /// When `tick` is to be called, for what is to be durable by then.
    pub fn sync_deadline(&self) -> Option<u64> {
        self.sync_deadline
    }

    /// Makes what is due durable.
    pub fn handle_timeout(&mut self, now: u64) -> Result<()> {
        self.latest_time = self.latest_time.max(now);
        match self.sync_deadline {
            Some(due) if due <= self.latest_time => self.sync(),
            _ => Ok(()),
        }
    }

    /// Makes all that was written durable. Where that fails nobody knows what the disk has: nothing more is taken.
    pub fn sync(&mut self) -> Result<()> {
        if self.has_failed {
            return Err(Error::Failed);
        }
        let Some(mut active) = self.segments.last_entry() else { return Ok(()) };
        if let Err(why) = active.get_mut().file.sync() {
            self.has_failed = true;
            return Err(Error::Sync(why));
        }
        (self.durable_sequence, self.sync_deadline) = (self.last_sequence, None);
        Ok(())
    }

    fn is_live(&self, location: &ValueLocation, now: u64) -> bool {
        location.expires_at == 0 || location.expires_at > now.max(self.latest_time)
    }

    fn read_value(&self, location: &ValueLocation) -> Result<Vec<u8>> {
        let mut value = vec![0; location.length as usize];
        let segment =
            self.segments.get(&location.segment).ok_or(Error::Missing { segment: location.segment })?;
        segment.file.read(location.offset, &mut value).map_err(io_error("a value"))?;
        Ok(value)
    }

    /// When a key's value ends; 0: never.
    pub fn expires_at(&self, key: &[u8]) -> Option<u64> {
        self.index.get(key).map(|location| location.expires_at)
    }

    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        let location = self.index.get(key).filter(|location| self.is_live(location, now));
        location.map(|location| self.read_value(location)).transpose()
    }

    /// Up to `most` keys and values in order, from behind a key on, whose keys begin with `prefix`.
    pub fn scan(
        &self,
        prefix: &[u8],
        after: Option<&[u8]>,
        limit: usize,
        now: u64,
    ) -> Result<Vec<(Vec<u8>, Vec<u8>)>> {
        let from = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let keys = self.index.range::<[u8], _>((from, Bound::Unbounded));
        let keys = keys
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, location)| self.is_live(location, now));
        keys.take(limit).map(|(key, location)| Ok((key.to_vec(), self.read_value(location)?))).collect()
    }

    /// Goes on with compaction for so many bytes, if there is enough to be won. False: there is nothing to do.
    pub fn compact(&mut self, budget: usize, now: u64) -> Result<bool> {
        self.latest_time = self.latest_time.max(now);
        let live_bytes: u64 = self.segments.values().map(|segment| segment.live).sum();
        let disk_bytes = self.disk_bytes();
        let (oldest, length) = match (self.segments.first_key_value(), self.segments.last_key_value()) {
            (Some((oldest, segment)), Some((active, _))) if oldest != active => (*oldest, segment.length),
            _ => return Ok(false),
        };
        if self.compaction_offset <= HEADER_BYTES
            && (disk_bytes - live_bytes) as f64 <= MAX_WASTE * disk_bytes as f64
        {
            return Ok(false);
        }
        let mut live_frame = FrameBuilder::default();
        let until = length.min(self.compaction_offset + budget as u64);
        while self.compaction_offset < until {
            let Some(bytes) = self.read_frame(oldest, self.compaction_offset, length)? else {
                // Damage that salvage passed over: what lies behind it is found as it was at the start.
                self.compaction_offset += 1;
                continue;
            };
            let Some(frame) = frame::decode(&bytes, oldest, self.compaction_offset) else {
                self.compaction_offset += 1;
                continue;
            };
            for operation in frame.operations().filter(|operation| operation.kind == OperationKind::Put) {
                let offset = self.compaction_offset + operation.value_offset as u64;
                let known = self.index.get(operation.key).copied();
                let Some(location) =
                    known.filter(|location| location.segment == oldest && location.offset == offset)
                else {
                    continue;
                };
                if self.is_live(&location, now) {
                    live_frame.push(OperationKind::Put, operation.expires_at, operation.key, operation.value);
                } else {
                    self.update_index(operation.key, None);
                }
            }
            self.compaction_offset += frame.length as u64;
        }
        if live_frame.count() > 0 {
            self.append(live_frame)?;
        }
        if self.compaction_offset >= length {
            // All that is live in it stands elsewhere too: durable there before it goes here.
            self.sync()?;
            self.segments.remove(&oldest);
            self.compaction_offset = HEADER_BYTES;
            self.directory.remove(&segment_file_name(oldest)).map_err(io_error("a compacted segment"))?;
            self.directory.sync_names().map_err(io_error("the folder"))?;
        }
        Ok(true)
    }

    fn read_frame(&self, segment: u64, offset: u64, length: u64) -> Result<Option<Vec<u8>>> {
        let Some(active_segment) = self.segments.get(&segment) else { return Ok(None) };
        let mut head = [0; 4];
        if offset + frame::HEADER_BYTES as u64 > length {
            return Ok(None);
        }
        active_segment.file.read(offset, &mut head).map_err(io_error("a frame's length"))?;
        let whole = frame::HEADER_BYTES as u64 + u64::from(u32::from_le_bytes(head));
        if whole > frame::MAX_CONTENT_BYTES as u64 || offset + whole > length {
            return Ok(None);
        }
        let mut bytes = vec![0; whole as usize];
        active_segment.file.read(offset, &mut bytes).map_err(io_error("a frame"))?;
        Ok(Some(bytes))
    }
}
