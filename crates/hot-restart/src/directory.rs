//! The records of a gateway's processes in one directory: `N.json`, and `N.lock`, which the process numbered N holds
//! as long as it lives. A record is replaced whole and begins with its checksum.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use thiserror::Error;

use crate::state::{Generation, OtherProcess, ProcessRecord};

/// Where the records stand in the directory that the processes share.
const DIRECTORY: &str = "fernscale";
/// Longest record that is read, bytes: as many words as there may be, each with a long id.
const MAX_RECORD_BYTES: u64 = 1024 * 1024;
/// Records of processes that are looked at: two live as a rule, and the dead are cleared away.
const MAX_PROCESSES: usize = 64;

#[derive(Debug, Error)]
pub enum Error {
    #[error("'{path}' can't be used: {why}")]
    Io { path: PathBuf, why: io::Error },
    #[error("'{path}' is refused: {why}")]
    Corrupt { path: PathBuf, why: &'static str },
}

/// This process's place among the records.
#[derive(Debug)]
pub struct RecordDirectory {
    directory: PathBuf,
    generation: Generation,
    _lock: File,
}

impl RecordDirectory {
    /// Takes a number greater than that of any process before.
    pub fn open(shared: &Path) -> Result<Self, Error> {
        let directory = shared.join(DIRECTORY);
        let io_error = |why| Error::Io { path: directory.clone(), why };
        fs::create_dir_all(&directory).map_err(io_error)?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_micros() as Generation);
        let newest = generations(&directory).map_err(io_error)?.into_iter().max().unwrap_or(0);
        let mut generation = now.max(newest + 1);
        loop {
            let (path, unnamed_lock) =
                (directory.join(format!("{generation}.lock")), directory.join(format!("new-{generation}")));
            let io_error = |why| Error::Io { path: path.clone(), why };
            match OpenOptions::new().write(true).create_new(true).open(&unnamed_lock) {
                Ok(_) if path.exists() => {
                    fs::remove_file(&unnamed_lock).map_err(io_error)?;
                    generation += 1;
                }
                // Danger: one that looks in between would take an unlocked file for that of a dead process and clear it
                // away, and from then on nobody would see this one. It is locked before it has its name.
                Ok(lock) => {
                    let named = lock.lock().and_then(|()| fs::rename(&unnamed_lock, &path));
                    named.map_err(|why| {
                        // It is tried again, with another number.
                        let _ = fs::remove_file(&unnamed_lock);
                        io_error(why)
                    })?;
                    return Ok(RecordDirectory { directory, generation, _lock: lock });
                }
                Err(why) if why.kind() == io::ErrorKind::AlreadyExists => generation += 1,
                Err(why) => return Err(Error::Io { path: unnamed_lock, why }),
            }
        }
    }

    pub fn generation(&self) -> Generation {
        self.generation
    }

    pub fn write(&self, record: &ProcessRecord) -> Result<(), Error> {
        let path = self.directory.join(format!("{}.json", self.generation));
        let new_record = self.directory.join(format!("{}.fresh", self.generation));
        let text = serde_json::to_string(record).unwrap_or_default();
        let text = format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()));
        let written = fs::write(&new_record, text).and_then(|()| fs::rename(&new_record, &path));
        written.map_err(|why| Error::Io { path, why })
    }

    /// All other processes that left something here, and what of it could not be used.
    pub fn read(&self) -> (Vec<OtherProcess>, Vec<Error>) {
        let (mut others, mut errors) = (Vec::new(), Vec::new());
        let found = match generations(&self.directory) {
            Ok(generations) => generations,
            Err(why) => {
                errors.push(Error::Io { path: self.directory.clone(), why });
                Vec::new()
            }
        };
        for generation in
            found.into_iter().filter(|generation| *generation != self.generation).take(MAX_PROCESSES)
        {
            // Its life is looked at first: a record that is read afterwards is the last one of a process that ended.
            let is_alive = is_locked(&self.directory.join(format!("{generation}.lock")));
            let record = match read(&self.directory.join(format!("{generation}.json"))) {
                Ok(record) => record,
                Err(error) => {
                    errors.push(error);
                    None
                }
            };
            others.push(OtherProcess { generation, is_alive, record });
        }
        (others, errors)
    }

    /// Clears away what a process left that has ended, once its words are known and told here.
    pub fn clear(&self, generation: Generation) {
        for extension in ["json", "fresh", "lock"] {
            let _ = fs::remove_file(self.directory.join(format!("{generation}.{extension}")));
        }
    }
}

/// The numbers of all that have a file here.
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

fn is_locked(lock: &Path) -> bool {
    let Ok(file) = File::open(lock) else { return false };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

fn read(path: &Path) -> Result<Option<ProcessRecord>, Error> {
    let corrupt = |why| Error::Corrupt { path: path.into(), why };
    match fs::metadata(path) {
        Ok(metadata) if metadata.len() > MAX_RECORD_BYTES => return Err(corrupt("it is too long")),
        Ok(_) => {}
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return Err(Error::Io { path: path.into(), why }),
    }
    let text = fs::read(path).map_err(|why| Error::Io { path: path.into(), why })?;
    let text = std::str::from_utf8(&text).map_err(|_| corrupt("it is no text"))?;
    let (checksum, json) = text.trim_end().split_once(' ').ok_or_else(|| corrupt("it is cut short"))?;
    if u32::from_str_radix(checksum, 16).ok() != Some(crc32fast::hash(json.as_bytes())) {
        return Err(corrupt("its checksum is wrong"));
    }
    serde_json::from_str(json).map(Some).map_err(|_| corrupt("it is no record"))
}
