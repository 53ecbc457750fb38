//! The directory with the records of a gateway's processes. Process N writes its record to `N.json` and keeps `N.lock` locked as
//! long as it runs. A record is replaced atomically and begins with its checksum. [`crate::state`] interprets the records.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use thiserror::Error;

use crate::request_log::{RequestLogReader, RequestLogWriter};
use crate::state::{Generation, OtherProcess, ProcessRecord};

/// Name of the subdirectory of the shared directory that holds the records.
const DIRECTORY: &str = "fernscale";
/// Extension of the file with a process's log of requests.
const REQUEST_LOG_EXTENSION: &str = "requests";
/// Maximum size of a record in bytes: enough for the maximum number of cordons, each with a long server name.
const MAX_RECORD_BYTES: u64 = 1024 * 1024;
/// Maximum number of processes whose records are read. Usually two are live, and the records of ended processes are cleared.
const MAX_PROCESSES: usize = 64;

/// An error of the directory or of a record.
#[derive(Debug, Error)]
pub enum Error {
    /// A file operation failed.
    #[error("can't access '{path}': {why}")]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error that the operating system reports.
        why: io::Error,
    },
    /// A record is corrupt.
    #[error("corrupt record '{path}': {why}")]
    Corrupt {
        /// The record's file.
        path: PathBuf,
        /// What is wrong with it.
        why: &'static str,
    },
}

/// The other processes, and the errors of unreadable records.
#[derive(Debug, Default)]
pub struct Records {
    /// The other processes that have a file in the directory.
    pub others: Vec<OtherProcess>,
    /// An error for each unreadable record, and for the directory if it can't be listed.
    pub errors: Vec<Error>,
}

/// The directory, with this process's generation and lock in it.
#[derive(Debug)]
pub struct RecordDirectory {
    directory: PathBuf,
    generation: Generation,
    _lock: File,
}

impl RecordDirectory {
    /// Joins the processes of the directory with a generation greater than any earlier one. Creates `fernscale` in the shared
    /// directory if it is missing.
    ///
    /// # Errors
    /// A file can't be created or locked. The caller may retry.
    pub fn open(shared: &Path) -> Result<Self, Error> {
        let directory = shared.join(DIRECTORY);
        let io_error = |why| Error::Io { path: directory.clone(), why };
        fs::create_dir_all(&directory).map_err(io_error)?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_micros() as Generation);
        let newest = generations(&directory).map_err(io_error)?.into_iter().max().unwrap_or(0);
        let mut generation = now.max(newest + 1);
        loop {
            let (path, temporary_lock) =
                (directory.join(format!("{generation}.lock")), directory.join(format!("new-{generation}")));
            let io_error = |why| Error::Io { path: path.clone(), why };
            match OpenOptions::new().write(true).create_new(true).open(&temporary_lock) {
                Ok(_) if path.exists() => {
                    fs::remove_file(&temporary_lock).map_err(io_error)?;
                    generation += 1;
                }
                // Danger: another process would clear an unlocked file, as if its process had ended, and no process would see
                // this one from then on. So the file is locked before it gets its final name.
                Ok(lock) => {
                    let named = lock.lock().and_then(|()| fs::rename(&temporary_lock, &path));
                    named.map_err(|why| {
                        // The next attempt uses another generation.
                        let _ = fs::remove_file(&temporary_lock);
                        io_error(why)
                    })?;
                    return Ok(RecordDirectory { directory, generation, _lock: lock });
                }
                Err(why) if why.kind() == io::ErrorKind::AlreadyExists => generation += 1,
                Err(why) => return Err(Error::Io { path: temporary_lock, why }),
            }
        }
    }

    /// This process's generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Replaces this process's record.
    ///
    /// # Errors
    /// The file can't be written or renamed. The previous record is then unchanged.
    pub fn write(&self, record: &ProcessRecord) -> Result<(), Error> {
        let path = self.directory.join(format!("{}.json", self.generation));
        let new_record = self.directory.join(format!("{}.fresh", self.generation));
        let text = serde_json::to_string(record).unwrap_or_default();
        let text = format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()));
        let written = fs::write(&new_record, text).and_then(|()| fs::rename(&new_record, &path));
        written.map_err(|why| Error::Io { path, why })
    }

    /// Reads the records of the other processes. An unreadable record adds an error and does not affect the others.
    pub fn read(&self) -> Records {
        let mut records = Records::default();
        let found = match generations(&self.directory) {
            Ok(generations) => generations,
            Err(why) => {
                records.errors.push(Error::Io { path: self.directory.clone(), why });
                Vec::new()
            }
        };
        for generation in
            found.into_iter().filter(|generation| *generation != self.generation).take(MAX_PROCESSES)
        {
            // The lock is checked first: if the process has ended, the record read afterwards is its last one.
            let is_alive = is_locked(&self.directory.join(format!("{generation}.lock")));
            let record = match read(&self.directory.join(format!("{generation}.json"))) {
                Ok(record) => record,
                Err(error) => {
                    records.errors.push(error);
                    None
                }
            };
            records.others.push(OtherProcess { generation, is_alive, record });
        }
        records
    }

    /// Creates this process's log of requests.
    ///
    /// # Errors
    /// The file can't be created.
    pub fn create_request_log(&self) -> Result<RequestLogWriter, Error> {
        let path = self.request_log_path(self.generation);
        RequestLogWriter::create(&path).map_err(|why| Error::Io { path, why })
    }

    /// Opens the log of requests of another process; none if it has not created one.
    ///
    /// # Errors
    /// The file can't be opened.
    pub fn open_request_log(&self, generation: Generation) -> Result<Option<RequestLogReader>, Error> {
        let path = self.request_log_path(generation);
        match RequestLogReader::open(&path) {
            Ok(reader) => Ok(Some(reader)),
            Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(why) => Err(Error::Io { path, why }),
        }
    }

    /// The error of an operation on a log that is open.
    pub fn request_log_error(&self, why: io::Error) -> Error {
        Error::Io { path: self.directory.clone(), why }
    }

    fn request_log_path(&self, generation: Generation) -> PathBuf {
        self.directory.join(format!("{generation}.{REQUEST_LOG_EXTENSION}"))
    }

    /// Removes the files of a process that has ended. Call it only after its cordons have been written in this process's record.
    pub fn clear(&self, generation: Generation) {
        for extension in ["json", "fresh", REQUEST_LOG_EXTENSION, "lock"] {
            let _ = fs::remove_file(self.directory.join(format!("{generation}.{extension}")));
        }
    }
}

/// The generations of all processes that have a file in the directory, in ascending order.
fn generations(directory: &Path) -> io::Result<Vec<Generation>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory)? {
        let name = entry?.file_name();
        let generation: Option<Generation> = name
            .to_str()
            .and_then(|name| name.split_once('.'))
            .and_then(|(generation, _)| generation.parse().ok());
        found.extend(generation);
    }
    found.sort_unstable();
    found.dedup();
    Ok(found)
}

/// Whether a process holds the lock.
fn is_locked(lock: &Path) -> bool {
    let Ok(file) = File::open(lock) else { return false };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

/// Reads the record in a file. `None` if the file does not exist.
fn read(path: &Path) -> Result<Option<ProcessRecord>, Error> {
    let corrupt = |why| Error::Corrupt { path: path.into(), why };
    match fs::metadata(path) {
        Ok(metadata) if metadata.len() > MAX_RECORD_BYTES => return Err(corrupt("the file is too long")),
        Ok(_) => {}
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return Err(Error::Io { path: path.into(), why }),
    }
    let text = fs::read(path).map_err(|why| Error::Io { path: path.into(), why })?;
    let text = std::str::from_utf8(&text).map_err(|_| corrupt("the file is not UTF-8"))?;
    let (checksum, json) = text.trim_end().split_once(' ').ok_or_else(|| corrupt("the file is truncated"))?;
    if u32::from_str_radix(checksum, 16).ok() != Some(crc32fast::hash(json.as_bytes())) {
        return Err(corrupt("the checksum does not match"));
    }
    serde_json::from_str(json).map(Some).map_err(|_| corrupt("the content is not a valid record"))
}
