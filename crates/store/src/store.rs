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
const HEADER: u64 = 16;
/// Longest key, and longest value: a batch of one always fits in a frame.
pub const MAX_KEY_BYTES: usize = 64 * 1024;
pub const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that a key takes in the index beside its own, generously.
const ENTRY: u64 = 96;
/// A segment is compacted once this part of what is in all of them is of no use any more.
const WASTE: f64 = 0.5;

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
    #[error("segment {segment:x} is damaged at byte {at}, {length} bytes long; the rest opens with salvage")]
    Damaged { segment: u64, at: u64, length: u64 },
    #[error("segment {segment:x} is missing")]
    Missing { segment: u64 },
    #[error("segment {segment:x} is no segment of this version")]
    UnknownFormat { segment: u64 },
    #[error("the store may hold {most} bytes on disk, and this needs {needed}")]
    DiskBound { needed: u64, most: u64 },
    #[error("the index may hold {most} bytes in memory, and this needs {needed}")]
    IndexBound { needed: u64, most: u64 },
    #[error("a {what} of {length} bytes is too long; {most} are the most")]
    TooLong { what: &'static str, length: usize, most: usize },
}

type Done<T> = Result<T, Error>;

fn at(what: &'static str) -> impl Fn(io::Error) -> Error {
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
    pub fn put_until(mut self, key: &[u8], value: &[u8], ends: u64) -> Self {
        self.changes.push((key.into(), Some((value.into(), ends))));
        self
    }

    pub fn delete(mut self, key: &[u8]) -> Self {
        self.changes.push((key.into(), None));
        self
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    segment: u64,
    at: u64,
    length: u32,
    ends: u64,
}

struct Segment<H> {
    file: H,
    length: u64,
    /// Bytes of values and keys that the index points at.
    live: u64,
}

pub struct Store<F: Directory> {
    files: F,
    options: Options,
    segments: BTreeMap<u64, Segment<F::Handle>>,
    index: BTreeMap<Box<[u8]>, Place>,
    memory: u64,
    /// Number of the last batch, and of the last that is durable.
    last: u64,
    durable: u64,
    /// When what was written is to be durable at the latest, Unix milliseconds.
    due: Option<u64>,
    /// The latest time known: a clock that goes back brings back nothing that has ended.
    time: u64,
    stuck: bool,
    /// How far the oldest segment has been compacted.
    cursor: u64,
}

fn name(segment: u64) -> String {
    format!("{segment:016x}.log")
}

fn header() -> [u8; HEADER as usize] {
    let mut header = [0; HEADER as usize];
    header[..8].copy_from_slice(&MAGIC);
    header[8..12].copy_from_slice(&VERSION.to_le_bytes());
    header
}

impl<F: Directory> Store<F> {
    /// Opens a store, and an empty one where there is none.
    pub fn open(mut files: F, options: Options, now: u64) -> Done<(Self, OpenReport)> {
        files.lock().map_err(|why| match why.kind() {
            io::ErrorKind::WouldBlock => Error::Locked,
            _ => Error::Io { what: "the folder's lock", why },
        })?;
        let names = files.list().map_err(at("the folder"))?;
        let mut numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| {
                let digits = name.strip_suffix(".log").filter(|digits| digits.len() == 16)?;
                u64::from_str_radix(digits, 16).ok()
            })
            .collect();
        numbers.sort_unstable();
        let mut store = Store {
            files,
            options,
            segments: BTreeMap::new(),
            index: BTreeMap::new(),
            memory: 0,
            last: 0,
            durable: 0,
            due: None,
            time: now,
            stuck: false,
            cursor: 0,
        };
        let mut report = OpenReport::default();
        for (place, number) in numbers.iter().copied().enumerate() {
            let expected = place.checked_sub(1).map(|before| numbers[before] + 1);
            if let Some(segment) = expected.filter(|expected| *expected != number && !store.options.salvage) {
                return Err(Error::Missing { segment });
            }
            store.recover(number, place + 1 == numbers.len(), &mut report)?;
        }
        if store.segments.is_empty() {
            // Where all were cut away a number that was used must not come again: places are part of checksums.
            let number = numbers.last().map_or(1, |last| last + 1);
            store.add_segment(number)?;
        }
        // What is there now has survived; it must not be lost by the next crash either.
        store.sync()?;
        (report.keys, store.cursor) = (store.index.len(), HEADER);
        Ok((store, report))
    }

    fn recover(&mut self, number: u64, last: bool, report: &mut OpenReport) -> Done<()> {
        let file = self.files.open(&name(number), false).map_err(at("a segment"))?;
        let length = file.length().map_err(at("a segment's length"))?;
        if length < HEADER && last {
            // It was just being made.
            report.truncated = Some((number, 0, length));
            drop(file);
            return self.files.remove(&name(number)).map_err(at("a torn segment"));
        }
        let mut bytes = vec![0; length as usize];
        file.read(0, &mut bytes).map_err(at("a segment's content"))?;
        if bytes.get(..HEADER as usize) != Some(&header()) {
            if last && bytes.iter().all(|byte| *byte == 0) {
                report.truncated = Some((number, 0, length));
                drop(file);
                return self.files.remove(&name(number)).map_err(at("a torn segment"));
            }
            if !self.options.salvage {
                return Err(Error::UnknownFormat { segment: number });
            }
        }
        let mut place = HEADER.min(length);
        let mut end = length;
        self.segments.insert(number, Segment { file, length, live: 0 });
        while place < length {
            let read = frame::decode(&bytes[place as usize..], number, place)
                .filter(|frame| frame.sequence > self.last);
            if let Some(frame) = read {
                (self.last, self.time) = (frame.sequence, self.time.max(frame.written_at));
                for operation in frame.operations() {
                    let value = Place {
                        segment: number,
                        at: place + operation.value_offset as u64,
                        length: operation.value.len() as u32,
                        ends: operation.expires_at,
                    };
                    self.point(operation.key, (operation.kind == OperationKind::Put).then_some(value));
                }
                report.batches += 1;
                place += frame.length as u64;
                continue;
            }
            // Whole frames behind it tell damage from an end that was being written, if they knew that what is missing
            // was durable: of what was not, a crash may lose any part.
            let behind = |next: u64| {
                let frame = frame::decode(&bytes[next as usize..], number, next)?;
                (frame.sequence > self.last).then_some((next, frame.durable_sequence))
            };
            let found: Vec<_> = (place + 1..length).filter_map(behind).collect();
            let next = found.first().map(|(next, _)| *next);
            let lost = found.iter().any(|(_, durable)| *durable > self.last);
            match next {
                _ if last && !lost => {
                    report.truncated = Some((number, place, length - place));
                    end = place;
                    break;
                }
                _ if !self.options.salvage => {
                    let length = next.unwrap_or(length) - place;
                    return Err(Error::Damaged { segment: number, at: place, length });
                }
                next => {
                    let next = next.unwrap_or(length);
                    report.skipped.push((number, place, next - place));
                    place = next;
                }
            }
        }
        if end < length {
            if let Some(segment) = self.segments.get_mut(&number) {
                segment.file.truncate(end).map_err(at("the torn end of a segment"))?;
                segment.length = end;
            }
        }
        Ok(())
    }

    /// Points the index at a value, or at none.
    fn point(&mut self, key: &[u8], value: Option<Place>) {
        let weight = |place: &Place| u64::from(place.length) + key.len() as u64;
        let old = match value {
            Some(place) => self.index.insert(key.into(), place),
            None => self.index.remove(key),
        };
        if let Some(old) = &old {
            if let Some(segment) = self.segments.get_mut(&old.segment) {
                segment.live -= weight(old);
            }
        }
        if let Some(place) = &value {
            if let Some(segment) = self.segments.get_mut(&place.segment) {
                segment.live += weight(place);
            }
        }
        let entry = key.len() as u64 + ENTRY;
        match (old.is_some(), value.is_some()) {
            (false, true) => self.memory += entry,
            (true, false) => self.memory -= entry,
            _ => {}
        }
    }

    fn add_segment(&mut self, number: u64) -> Done<()> {
        let mut file = self.files.open(&name(number), true).map_err(at("a new segment"))?;
        file.write(0, &header()).map_err(at("a new segment's header"))?;
        file.sync().map_err(Error::Sync)?;
        self.files.sync_names().map_err(Error::Sync)?;
        self.segments.insert(number, Segment { file, length: HEADER, live: 0 });
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
        (self.last, self.durable)
    }

    /// Writes a batch, whole or not at all, and gives its number.
    pub fn write(&mut self, batch: &Batch, durability: Durability, now: u64) -> Done<u64> {
        self.time = self.time.max(now);
        let mut builder = FrameBuilder::default();
        let mut grows = 0;
        for (key, change) in &batch.changes {
            let value = change.as_ref().map_or(&[][..], |(value, _)| value);
            for (what, length, most) in
                [("key", key.len(), MAX_KEY_BYTES), ("value", value.len(), MAX_VALUE_BYTES)]
            {
                if length > most {
                    return Err(Error::TooLong { what, length, most });
                }
            }
            let kind = if change.is_some() { OperationKind::Put } else { OperationKind::Delete };
            builder.push(kind, change.as_ref().map_or(0, |(_, ends)| *ends), key, value);
            if change.is_some() && !self.index.contains_key(&key[..]) {
                grows += key.len() as u64 + ENTRY;
            }
        }
        // What only deletes must be taken at the bounds: it is the way out.
        let deletes = batch.changes.iter().all(|(_, change)| change.is_none());
        let (needed, most) = (self.memory + grows, self.options.max_index_bytes);
        if needed > most && grows > 0 {
            return Err(Error::IndexBound { needed, most });
        }
        let (needed, most) = (self.disk_bytes() + builder.length() as u64, self.options.max_disk_bytes);
        if needed > most && !deletes {
            return Err(Error::DiskBound { needed, most });
        }
        let number = self.append(builder)?;
        match durability {
            Durability::Deferred => {}
            Durability::Within(time) => {
                let by = self.time.saturating_add(time);
                self.due = Some(self.due.map_or(by, |due| due.min(by)));
            }
            Durability::Immediate => self.sync()?,
        }
        Ok(number)
    }

    /// Appends a frame, and points the index at what is in it.
    fn append(&mut self, builder: FrameBuilder) -> Done<u64> {
        if self.stuck {
            return Err(Error::Failed);
        }
        let length = builder.length();
        if length - frame::HEADER_BYTES > frame::MAX_CONTENT_BYTES {
            return Err(Error::TooLong { what: "batch", length, most: frame::MAX_CONTENT_BYTES });
        }
        let active = self.segments.last_key_value().map(|(number, segment)| (*number, segment.length));
        let (mut segment, mut place) = active.ok_or(Error::Failed)?;
        if place > HEADER && place + length as u64 > self.options.max_segment_bytes {
            // What stands in the new one must not outlive what stands here.
            self.sync()?;
            segment += 1;
            self.add_segment(segment).inspect_err(|_| self.stuck = true)?;
            place = HEADER;
        }
        let number = self.last + 1;
        let bytes = builder.frame(segment, place, (number, self.durable), self.time);
        let own = self.segments.get_mut(&segment).ok_or(Error::Failed)?;
        if let Err(why) = own.file.write(place, &bytes) {
            // The half that may be there must not be found whole after a crash, when it was said to have failed.
            if own.file.truncate(place).is_err() {
                self.stuck = true;
            }
            return Err(Error::Io { what: "a batch", why });
        }
        own.length = place + bytes.len() as u64;
        self.last = number;
        let written = frame::decode(&bytes, segment, place).ok_or(Error::Failed)?;
        for operation in written.operations() {
            let value = Place {
                segment,
                at: place + operation.value_offset as u64,
                length: operation.value.len() as u32,
                ends: operation.expires_at,
            };
            self.point(operation.key, (operation.kind == OperationKind::Put).then_some(value));
        }
        Ok(number)
    }

    /// When `tick` is to be called, for what is to be durable by then.
    pub fn due(&self) -> Option<u64> {
        self.due
    }

    /// Makes what is due durable.
    pub fn tick(&mut self, now: u64) -> Done<()> {
        self.time = self.time.max(now);
        match self.due {
            Some(due) if due <= self.time => self.sync(),
            _ => Ok(()),
        }
    }

    /// Makes all that was written durable. Where that fails nobody knows what the disk has: nothing more is taken.
    pub fn sync(&mut self) -> Done<()> {
        if self.stuck {
            return Err(Error::Failed);
        }
        let Some(mut active) = self.segments.last_entry() else { return Ok(()) };
        if let Err(why) = active.get_mut().file.sync() {
            self.stuck = true;
            return Err(Error::Sync(why));
        }
        (self.durable, self.due) = (self.last, None);
        Ok(())
    }

    fn live(&self, place: &Place, now: u64) -> bool {
        place.ends == 0 || place.ends > now.max(self.time)
    }

    fn value(&self, place: &Place) -> Done<Vec<u8>> {
        let mut value = vec![0; place.length as usize];
        let segment = self.segments.get(&place.segment).ok_or(Error::Missing { segment: place.segment })?;
        segment.file.read(place.at, &mut value).map_err(at("a value"))?;
        Ok(value)
    }

    /// When a key's value ends; 0: never.
    pub fn expires_at(&self, key: &[u8]) -> Option<u64> {
        self.index.get(key).map(|place| place.ends)
    }

    pub fn get(&self, key: &[u8], now: u64) -> Done<Option<Vec<u8>>> {
        let place = self.index.get(key).filter(|place| self.live(place, now));
        place.map(|place| self.value(place)).transpose()
    }

    /// Up to `most` keys and values in order, from behind a key on, whose keys begin with `prefix`.
    pub fn scan(
        &self,
        prefix: &[u8],
        behind: Option<&[u8]>,
        most: usize,
        now: u64,
    ) -> Done<Vec<(Vec<u8>, Vec<u8>)>> {
        let from = match behind {
            Some(behind) if behind >= prefix => Bound::Excluded(behind),
            _ => Bound::Included(prefix),
        };
        let keys = self.index.range::<[u8], _>((from, Bound::Unbounded));
        let keys =
            keys.take_while(|(key, _)| key.starts_with(prefix)).filter(|(_, place)| self.live(place, now));
        keys.take(most).map(|(key, place)| Ok((key.to_vec(), self.value(place)?))).collect()
    }

    /// Goes on with compaction for so many bytes, if there is enough to be won. False: there is nothing to do.
    pub fn compact(&mut self, budget: usize, now: u64) -> Done<bool> {
        self.time = self.time.max(now);
        let used: u64 = self.segments.values().map(|segment| segment.live).sum();
        let all = self.disk_bytes();
        let (oldest, length) = match (self.segments.first_key_value(), self.segments.last_key_value()) {
            (Some((oldest, segment)), Some((active, _))) if oldest != active => (*oldest, segment.length),
            _ => return Ok(false),
        };
        if self.cursor <= HEADER && (all - used) as f64 <= WASTE * all as f64 {
            return Ok(false);
        }
        let mut moved = FrameBuilder::default();
        let until = length.min(self.cursor + budget as u64);
        while self.cursor < until {
            let Some(bytes) = self.frame_at(oldest, self.cursor, length)? else {
                // Damage that salvage passed over: what lies behind it is found as it was at the start.
                self.cursor += 1;
                continue;
            };
            let Some(frame) = frame::decode(&bytes, oldest, self.cursor) else {
                self.cursor += 1;
                continue;
            };
            for operation in frame.operations().filter(|operation| operation.kind == OperationKind::Put) {
                let here = self.cursor + operation.value_offset as u64;
                let known = self.index.get(operation.key).copied();
                let Some(place) = known.filter(|place| place.segment == oldest && place.at == here) else {
                    continue;
                };
                if self.live(&place, now) {
                    moved.push(OperationKind::Put, operation.expires_at, operation.key, operation.value);
                } else {
                    self.point(operation.key, None);
                }
            }
            self.cursor += frame.length as u64;
        }
        if moved.count() > 0 {
            self.append(moved)?;
        }
        if self.cursor >= length {
            // All that is live in it stands elsewhere too: durable there before it goes here.
            self.sync()?;
            self.segments.remove(&oldest);
            self.cursor = HEADER;
            self.files.remove(&name(oldest)).map_err(at("a compacted segment"))?;
            self.files.sync_names().map_err(at("the folder"))?;
        }
        Ok(true)
    }

    fn frame_at(&self, segment: u64, place: u64, length: u64) -> Done<Option<Vec<u8>>> {
        let Some(own) = self.segments.get(&segment) else { return Ok(None) };
        let mut head = [0; 4];
        if place + frame::HEADER_BYTES as u64 > length {
            return Ok(None);
        }
        own.file.read(place, &mut head).map_err(at("a frame's length"))?;
        let whole = frame::HEADER_BYTES as u64 + u64::from(u32::from_le_bytes(head));
        if whole > frame::MAX_CONTENT_BYTES as u64 || place + whole > length {
            return Ok(None);
        }
        let mut bytes = vec![0; whole as usize];
        own.file.read(place, &mut bytes).map_err(at("a frame"))?;
        Ok(Some(bytes))
    }
}
