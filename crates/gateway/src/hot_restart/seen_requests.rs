//! Tells the other processes of this gateway which requests have come here, and learns which have come there.

use std::collections::{HashMap, HashSet, VecDeque};

use fernscale_hot_restart::directory::{Error, RecordDirectory};
use fernscale_hot_restart::request_log::{RequestLogReader, RequestLogWriter};
use fernscale_hot_restart::state::{Generation, OtherProcess};
use fernscale_policy::RequestFingerprint;

/// Maximum number of requests that wait to be written while the directory is unavailable.
const MAX_UNWRITTEN: usize = 4_096;

/// Maximum number of requests that were read and wait for the next one to be reported with: as many as a log holds.
const MAX_UNREPORTED: usize = 65_536;

/// The logs of requests of all processes.
#[derive(Default)]
pub(super) struct SeenRequests {
    writer: Option<RequestLogWriter>,
    /// Requests that could not be written yet, oldest first.
    unwritten: Vec<RequestFingerprint>,
    readers: HashMap<Generation, RequestLogReader>,
    /// Processes that have ended and whose logs were read to the end. Their files may stay while the directory is unavailable.
    ended: HashSet<Generation>,
    /// Requests that were read and are not reported yet, oldest first.
    unreported: VecDeque<RequestFingerprint>,
}

impl SeenRequests {
    /// Adds a request of this process to its log. While that fails, it is tried again with each later one.
    ///
    /// # Errors
    ///
    /// The log can't be written, so that other processes do not know the request yet.
    pub(super) fn add(
        &mut self,
        records: &RecordDirectory,
        request: RequestFingerprint,
    ) -> Result<(), Error> {
        if self.unwritten.len() < MAX_UNWRITTEN {
            self.unwritten.push(request);
        }
        self.write(records)
    }

    /// Creates the log, and writes what could not be written before.
    ///
    /// # Errors
    ///
    /// The log can't be created or written.
    pub(super) fn write(&mut self, records: &RecordDirectory) -> Result<(), Error> {
        let writer = match &mut self.writer {
            Some(writer) => writer,
            empty => empty.insert(records.create_request_log()?),
        };
        while let Some(request) = self.unwritten.first() {
            writer.append(request.0).map_err(|why| records.request_log_error(why))?;
            self.unwritten.remove(0);
        }
        Ok(())
    }

    /// Follows the logs of these processes from now on, and reads the rest of those that have ended.
    pub(super) fn follow(&mut self, records: &RecordDirectory, others: &[OtherProcess]) -> Vec<Error> {
        let mut errors = Vec::new();
        for other in others {
            if self.readers.contains_key(&other.generation) || self.ended.contains(&other.generation) {
                continue;
            }
            match records.open_request_log(other.generation) {
                Ok(Some(reader)) => drop(self.readers.insert(other.generation, reader)),
                Ok(None) => {}
                Err(error) => errors.push(error),
            }
        }
        self.read(records, &mut errors);
        let is_alive =
            |generation| others.iter().any(|other| other.generation == generation && other.is_alive);
        let ended = self.readers.extract_if(|generation, _| !is_alive(*generation));
        self.ended.extend(ended.map(|(generation, _)| generation));
        self.ended.retain(|generation| others.iter().any(|other| other.generation == *generation));
        errors
    }

    /// The requests that other processes have received since the last call.
    pub(super) fn take_new(&mut self, records: &RecordDirectory) -> (Vec<RequestFingerprint>, Vec<Error>) {
        let mut errors = Vec::new();
        self.read(records, &mut errors);
        (std::mem::take(&mut self.unreported).into(), errors)
    }

    fn read(&mut self, records: &RecordDirectory, errors: &mut Vec<Error>) {
        for reader in self.readers.values_mut() {
            match reader.read_new() {
                Ok(fingerprints) => self.unreported.extend(fingerprints.into_iter().map(RequestFingerprint)),
                Err(why) => errors.push(records.request_log_error(why)),
            }
        }
        let surplus = self.unreported.len().saturating_sub(MAX_UNREPORTED);
        self.unreported.drain(..surplus);
    }
}
