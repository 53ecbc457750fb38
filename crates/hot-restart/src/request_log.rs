//! The log of requests that must not run twice, which each process of a gateway writes and the others read: a client may leave and
//! come again with the same request at another process.
//!
//! A log is a ring of records of fixed size in a file. A record has a sequence number and a checksum, so a reader finds the end
//! without a header, and notices where the writer has overtaken it.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Number of records in a log, which is how many requests a new process learns of.
const CAPACITY: u64 = 65_536;
const RECORD_BYTES: usize = 24;
/// Number of records that are read at a time.
const READ_BATCH: usize = 64;
/// Makes the checksum of an empty record invalid.
const CHECKSUM_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A record: the fingerprint of a request's id, with its number in the log, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    number: u64,
    fingerprint: u64,
}

impl Record {
    fn checksum(self) -> u64 {
        self.number.rotate_left(32) ^ self.fingerprint ^ CHECKSUM_SALT
    }

    fn offset(number: u64) -> u64 {
        (number - 1) % CAPACITY * RECORD_BYTES as u64
    }

    fn encode(self) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        bytes[..8].copy_from_slice(&self.number.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.fingerprint.to_le_bytes());
        bytes[16..].copy_from_slice(&self.checksum().to_le_bytes());
        bytes
    }

    /// `None` if the record is empty or was written in part.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let field = |index: usize| bytes[8 * index..8 * index + 8].try_into().map(u64::from_le_bytes).ok();
        let record = Record { number: field(0)?, fingerprint: field(1)? };
        (record.number > 0 && field(2)? == record.checksum()).then_some(record)
    }
}

/// Writes the log of this process.
#[derive(Debug)]
pub struct RequestLogWriter {
    file: File,
    next: u64,
}

impl RequestLogWriter {
    /// Creates an empty log.
    ///
    /// # Errors
    /// The file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        Ok(RequestLogWriter { file, next: 1 })
    }

    /// Adds the fingerprint of a request.
    ///
    /// # Errors
    /// The file can't be written. The next call writes to the same place.
    pub fn append(&mut self, fingerprint: u64) -> io::Result<()> {
        let record = Record { number: self.next, fingerprint };
        self.file.write_all_at(&record.encode(), Record::offset(record.number))?;
        self.next += 1;
        Ok(())
    }
}

/// Reads the log of another process.
#[derive(Debug)]
pub struct RequestLogReader {
    file: File,
    /// The number of the next record; none before the log was read for the first time.
    next: Option<u64>,
}

impl RequestLogReader {
    /// Opens a log.
    ///
    /// # Errors
    /// The file does not exist yet, or can't be read.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(RequestLogReader { file: File::open(path)?, next: None })
    }

    /// Reads the fingerprints that were added since the last call; at the first call all that the log has.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read_new(&mut self) -> io::Result<Vec<u64>> {
        match self.next {
            None => self.read_all(),
            Some(next) => self.read_from(next),
        }
    }

    fn read_all(&mut self) -> io::Result<Vec<u64>> {
        let mut records = Vec::new();
        for first in (1..=CAPACITY).step_by(READ_BATCH) {
            let batch = self.read_batch(first)?;
            if batch.is_empty() {
                break;
            }
            records.extend(batch.into_iter().flatten());
        }
        records.sort_unstable_by_key(|record| record.number);
        self.next = Some(records.last().map_or(1, |record| record.number + 1));
        Ok(records.into_iter().map(|record| record.fingerprint).collect())
    }

    fn read_from(&mut self, mut next: u64) -> io::Result<Vec<u64>> {
        let mut fingerprints = Vec::new();
        'batches: loop {
            let batch = self.read_batch(next)?;
            if batch.is_empty() {
                break;
            }
            for record in batch {
                match record {
                    // A greater number: the writer has overtaken this reader by a whole round.
                    Some(record) if record.number >= next => {
                        fingerprints.push(record.fingerprint);
                        next = record.number + 1;
                    }
                    _ => break 'batches,
                }
            }
        }
        self.next = Some(next);
        Ok(fingerprints)
    }

    /// Reads records from the one with this number on, up to the end of the batch, of the ring or of the file.
    fn read_batch(&self, first: u64) -> io::Result<Vec<Option<Record>>> {
        let offset = Record::offset(first);
        let until_ring_end = CAPACITY as usize - (offset as usize / RECORD_BYTES);
        let mut bytes = vec![0; READ_BATCH.min(until_ring_end) * RECORD_BYTES];
        let mut filled = 0;
        while filled < bytes.len() {
            match self.file.read_at(&mut bytes[filled..], offset + filled as u64) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(bytes[..filled].chunks_exact(RECORD_BYTES).map(Record::decode).collect())
    }
}
