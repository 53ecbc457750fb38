//! The store owns the log and the index. It appends batches, makes them durable and reads values. Segments are numbered
//! without gaps, and only the last segment is written to.

mod compaction;
mod recovery;

use std::collections::BTreeMap;
use std::io;

use crate::batch::{Batch, Durability};
use crate::error::{Error, Result};
use crate::files::{Directory, FileHandle};
use crate::frame::{self, Frame, FrameBuilder, FrameHeader, OperationKind};
use crate::index::{Index, ValueLocation};
use crate::options::Options;
use crate::segment::{self, Segment, HEADER_BYTES};

pub use recovery::OpenReport;

/// An open store in a directory. The directory is locked for this process.
pub struct Store<D: Directory> {
    directory: D,
    options: Options,
    segments: BTreeMap<u64, Segment<D::Handle>>,
    index: Index,
    last_sequence: u64,
    durable_sequence: u64,
    /// The deadline of the next sync, in Unix milliseconds.
    sync_deadline: Option<u64>,
    /// The latest time seen. It keeps expired values expired if the clock is set back.
    latest_time: u64,
    /// The state of the disk is unknown, and all further writes are rejected.
    has_failed: bool,
    /// The offset up to which the oldest segment has been compacted.
    compaction_offset: u64,
}

/// Sequence numbers of batches; 0 if there is no such batch yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sequences {
    /// Sequence number of the last batch.
    pub last: u64,
    /// Sequence number of the last durable batch.
    pub durable: u64,
}

impl<D: Directory> Store<D> {
    /// Opens the store in a directory, or creates an empty store. `now` and all other times are in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] if another process has opened the store; [`Error::Damaged`], [`Error::Missing`] or
    /// [`Error::UnknownFormat`] if the store can be opened only with [`Options::salvage`].
    pub fn open(mut directory: D, options: Options, now: u64) -> Result<(Self, OpenReport)> {
        directory.lock().map_err(|why| match why.kind() {
            io::ErrorKind::WouldBlock => Error::Locked,
            _ => Error::Io { what: "the directory's lock", why },
        })?;
        let names = directory.list().map_err(Error::io("the directory"))?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|name| segment::number(name)).collect();
        numbers.sort_unstable();
        let mut store = Store {
            directory,
            options,
            segments: BTreeMap::new(),
            index: Index::default(),
            last_sequence: 0,
            durable_sequence: 0,
            sync_deadline: None,
            latest_time: now,
            has_failed: false,
            compaction_offset: HEADER_BYTES,
        };
        let mut report = OpenReport::default();
        store.recover(&numbers, &mut report)?;
        if store.segments.is_empty() {
            // If recovery discarded all segments, their numbers must not be reused: a checksum covers the segment number, so
            // an old frame would be valid in a new segment with the same number.
            let number = numbers.last().map_or(1, |last| last + 1);
            store.add_segment(number)?;
        }
        // Recovered batches must survive the next crash, too.
        store.sync()?;
        report.keys = store.index.len();
        Ok((store, report))
    }

    fn add_segment(&mut self, number: u64) -> Result<()> {
        let name = segment::file_name(number);
        let mut file = self.directory.open(&name, true).map_err(Error::io("a new segment"))?;
        file.write(0, &segment::header()).map_err(Error::io("a new segment's header"))?;
        file.sync().map_err(Error::Sync)?;
        self.directory.sync_names().map_err(Error::Sync)?;
        self.segments.insert(number, Segment::new(file, HEADER_BYTES));
        Ok(())
    }

    /// Returns the total length of all segments, in bytes.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Returns the number of keys, including expired keys that are not removed yet.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the sequence numbers of the last batch and of the last durable batch.
    pub fn sequences(&self) -> Sequences {
        Sequences { last: self.last_sequence, durable: self.durable_sequence }
    }

    /// Writes a batch atomically and returns its sequence number.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`], [`Error::IndexBound`] and [`Error::DiskBound`] leave the store unchanged. After
    /// [`Error::Sync`] and [`Error::Failed`] the store rejects all writes until it is reopened.
    pub fn write(&mut self, batch: &Batch, durability: Durability, now: u64) -> Result<u64> {
        self.latest_time = self.latest_time.max(now);
        let builder = batch.encode()?;
        self.check_bounds(batch, builder.length())?;
        let sequence = self.append(builder)?;
        match durability {
            Durability::Deferred => {}
            Durability::Within(delay) => {
                let deadline = self.latest_time.saturating_add(delay);
                let earliest = self.sync_deadline.map_or(deadline, |earlier| earlier.min(deadline));
                self.sync_deadline = Some(earliest);
            }
            Durability::Immediate => self.sync()?,
        }
        Ok(sequence)
    }

    fn check_bounds(&self, batch: &Batch, frame_length: usize) -> Result<()> {
        let adds_key = |key: &[u8]| !self.index.contains(key);
        let puts = batch.changes.iter().filter(|change| change.value.is_some());
        let new_keys = puts.filter(|change| adds_key(&change.key));
        let index_growth: u64 = new_keys.map(|change| Index::entry_bytes(&change.key)).sum();
        let needed = self.index.bytes() + index_growth;
        let limit = self.options.max_index_bytes;
        if needed > limit && index_growth > 0 {
            return Err(Error::IndexBound { needed, limit });
        }
        let needed = self.disk_bytes() + frame_length as u64;
        let limit = self.options.max_disk_bytes;
        // Deletions are accepted at the limit, because they are how a caller gets below the limit.
        if needed > limit && !batch.only_deletes() {
            return Err(Error::DiskBound { needed, limit });
        }
        Ok(())
    }

    /// Appends a frame, adds its values to the index and returns its sequence number.
    fn append(&mut self, builder: FrameBuilder) -> Result<u64> {
        if self.has_failed {
            return Err(Error::Failed);
        }
        let length = builder.length();
        if length - frame::HEADER_BYTES > frame::MAX_CONTENT_BYTES {
            return Err(Error::TooLong { what: "batch", length, limit: frame::MAX_CONTENT_BYTES });
        }
        let number = self.segment_for(length)?;
        let sequence = self.last_sequence + 1;
        let header =
            FrameHeader { sequence, durable_sequence: self.durable_sequence, written_at: self.latest_time };
        let segment = self.segments.get_mut(&number).ok_or(Error::Failed)?;
        let offset = segment.length;
        let bytes = builder.encode(number, offset, header);
        if let Err(why) = segment.file.write(offset, &bytes) {
            // Removes the partial frame: the write is reported as failed, so recovery must not find a complete frame.
            if segment.file.truncate(offset).is_err() {
                self.has_failed = true;
            }
            return Err(Error::Io { what: "a batch", why });
        }
        segment.length = offset + bytes.len() as u64;
        self.last_sequence = sequence;
        let frame = frame::decode(&bytes, number, offset).ok_or(Error::Failed)?;
        self.index_frame(number, offset, &frame);
        Ok(sequence)
    }

    /// Returns the number of the segment for a frame of this length: the last segment, or a new segment if the frame would
    /// make the last one too long.
    fn segment_for(&mut self, frame_length: usize) -> Result<u64> {
        let (number, segment) = self.segments.last_key_value().ok_or(Error::Failed)?;
        let number = *number;
        let is_empty = segment.length <= HEADER_BYTES;
        if is_empty || segment.length + frame_length as u64 <= self.options.max_segment_bytes {
            return Ok(number);
        }
        // A crash must not lose batches of this segment and keep later ones in the new segment.
        self.sync()?;
        self.add_segment(number + 1).inspect_err(|_| self.has_failed = true)?;
        Ok(number + 1)
    }

    /// Updates the index with the operations of a frame.
    fn index_frame(&mut self, segment: u64, offset: u64, frame: &Frame<'_>) {
        for operation in frame.operations() {
            let location = ValueLocation {
                segment,
                offset: offset + operation.value_offset as u64,
                length: operation.value.len() as u32,
                expires_at: operation.expires_at,
            };
            let is_put = operation.kind == OperationKind::Put;
            self.update_index(operation.key, is_put.then_some(location));
        }
    }

    /// Sets the location of a key in the index, or removes the key, and updates the live bytes of the segments.
    fn update_index(&mut self, key: &[u8], location: Option<ValueLocation>) {
        let live_bytes = |location: ValueLocation| u64::from(location.length) + key.len() as u64;
        let previous = match location {
            Some(location) => self.index.insert(key, location),
            None => self.index.remove(key),
        };
        if let Some(previous) = previous {
            if let Some(segment) = self.segments.get_mut(&previous.segment) {
                segment.live_bytes -= live_bytes(previous);
            }
        }
        if let Some(location) = location {
            if let Some(segment) = self.segments.get_mut(&location.segment) {
                segment.live_bytes += live_bytes(location);
            }
        }
    }

    /// Returns the time at which the caller must call [`Store::handle_timeout`] to make pending batches durable.
    pub fn sync_deadline(&self) -> Option<u64> {
        self.sync_deadline
    }

    /// Syncs if the sync deadline has passed.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::sync`].
    pub fn handle_timeout(&mut self, now: u64) -> Result<()> {
        self.latest_time = self.latest_time.max(now);
        match self.sync_deadline {
            Some(deadline) if deadline <= self.latest_time => self.sync(),
            _ => Ok(()),
        }
    }

    /// Makes all written batches durable.
    ///
    /// # Errors
    ///
    /// [`Error::Sync`] for the first failed sync, and [`Error::Failed`] afterwards: the content of the disk is unknown after
    /// a failed sync, so the store rejects all further writes.
    pub fn sync(&mut self) -> Result<()> {
        if self.has_failed {
            return Err(Error::Failed);
        }
        let Some(mut active) = self.segments.last_entry() else { return Ok(()) };
        if let Err(why) = active.get_mut().file.sync() {
            self.has_failed = true;
            return Err(Error::Sync(why));
        }
        self.durable_sequence = self.last_sequence;
        self.sync_deadline = None;
        Ok(())
    }

    fn is_live(&self, location: ValueLocation, now: u64) -> bool {
        location.expires_at == 0 || location.expires_at > now.max(self.latest_time)
    }

    fn read_value(&self, location: ValueLocation) -> Result<Vec<u8>> {
        let missing = Error::Missing { segment: location.segment };
        let segment = self.segments.get(&location.segment).ok_or(missing)?;
        let mut value = vec![0; location.length as usize];
        segment.file.read(location.offset, &mut value).map_err(Error::io("a value"))?;
        Ok(value)
    }

    /// Returns the expiry time of a key, in Unix milliseconds; 0 means never. Returns `None` if the key does not exist.
    pub fn expires_at(&self, key: &[u8]) -> Option<u64> {
        self.index.get(key).map(|location| location.expires_at)
    }

    /// Returns the value of a key, or `None` if the key does not exist or has expired.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if the value can't be read.
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        let location = self.index.get(key).filter(|location| self.is_live(*location, now));
        location.map(|location| self.read_value(location)).transpose()
    }

    /// Returns up to `limit` keys with a prefix that are greater than `after`, and their values, in the order of the keys.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if a value can't be read.
    pub fn scan(
        &self,
        prefix: &[u8],
        after: Option<&[u8]>,
        limit: usize,
        now: u64,
    ) -> Result<Vec<(Vec<u8>, Vec<u8>)>> {
        let live = self.index.scan(prefix, after).filter(|(_, location)| self.is_live(*location, now));
        live.take(limit).map(|(key, location)| Ok((key.to_vec(), self.read_value(location)?))).collect()
    }
}
