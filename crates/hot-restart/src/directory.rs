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
const MOST_RECORD: u64 = 1024 * 1024;
/// Records of processes that are looked at: two live as a rule, and the dead are cleared away.
const MOST_PROCESSES: usize = 64;

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
        let unusable = |why| Error::Io { path: directory.clone(), why };
        fs::create_dir_all(&directory).map_err(unusable)?;
        let time =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as Generation);
        let newest = numbers(&directory).map_err(unusable)?.into_iter().max().unwrap_or(0);
        let mut me = time.max(newest + 1);
        loop {
            let (path, fresh) = (directory.join(format!("{me}.lock")), directory.join(format!("new-{me}")));
            let unusable = |why| Error::Io { path: path.clone(), why };
            match OpenOptions::new().write(true).create_new(true).open(&fresh) {
                Ok(_) if path.exists() => {
                    fs::remove_file(&fresh).map_err(unusable)?;
                    me += 1;
                }
                // Danger: one that looks in between would take an unlocked file for that of a dead process and clear it
                // away, and from then on nobody would see this one. It is locked before it has its name.
                Ok(lock) => {
                    let named = lock.lock().and_then(|()| fs::rename(&fresh, &path));
                    named.map_err(|why| {
                        // It is tried again, with another number.
                        let _ = fs::remove_file(&fresh);
                        unusable(why)
                    })?;
                    return Ok(RecordDirectory { directory, generation: me, _lock: lock });
                }
                Err(why) if why.kind() == io::ErrorKind::AlreadyExists => me += 1,
                Err(why) => return Err(Error::Io { path: fresh, why }),
            }
        }
    }

    pub fn generation(&self) -> Generation {
        self.generation
    }

    pub fn write(&self, record: &ProcessRecord) -> Result<(), Error> {
        let path = self.directory.join(format!("{}.json", self.generation));
        let fresh = self.directory.join(format!("{}.fresh", self.generation));
        let text = serde_json::to_string(record).unwrap_or_default();
        let text = format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()));
        let done = fs::write(&fresh, text).and_then(|()| fs::rename(&fresh, &path));
        done.map_err(|why| Error::Io { path, why })
    }

    /// All other processes that left something here, and what of it could not be used.
    pub fn read(&self) -> (Vec<OtherProcess>, Vec<Error>) {
        let (mut others, mut errors) = (Vec::new(), Vec::new());
        let numbers = match numbers(&self.directory) {
            Ok(numbers) => numbers,
            Err(why) => {
                errors.push(Error::Io { path: self.directory.clone(), why });
                Vec::new()
            }
        };
        for generation in numbers.into_iter().filter(|number| *number != self.generation).take(MOST_PROCESSES)
        {
            // Its life is looked at first: a record that is read afterwards is the last one of a process that ended.
            let lives = lives(&self.directory.join(format!("{generation}.lock")));
            let record = match read(&self.directory.join(format!("{generation}.json"))) {
                Ok(record) => record,
                Err(error) => {
                    errors.push(error);
                    None
                }
            };
            others.push(OtherProcess { generation, is_alive: lives, record });
        }
        (others, errors)
    }

    /// Clears away what a process left that has ended, once its words are known and told here.
    pub fn clear(&self, generation: Generation) {
        for kind in ["json", "fresh", "lock"] {
            let _ = fs::remove_file(self.directory.join(format!("{generation}.{kind}")));
        }
    }
}

/// The numbers of all that have a file here.
fn numbers(directory: &Path) -> io::Result<Vec<Generation>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(directory)? {
        let name = entry?.file_name();
        let number: Option<Generation> =
            name.to_str().and_then(|name| name.split_once('.')).and_then(|(number, _)| number.parse().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    numbers.dedup();
    Ok(numbers)
}

fn lives(lock: &Path) -> bool {
    let Ok(file) = File::open(lock) else { return false };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

fn read(path: &Path) -> Result<Option<ProcessRecord>, Error> {
    let spoilt = |why| Error::Corrupt { path: path.into(), why };
    match fs::metadata(path) {
        Ok(about) if about.len() > MOST_RECORD => return Err(spoilt("it is too long")),
        Ok(_) => {}
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return Err(Error::Io { path: path.into(), why }),
    }
    let text = fs::read(path).map_err(|why| Error::Io { path: path.into(), why })?;
    let text = std::str::from_utf8(&text).map_err(|_| spoilt("it is no text"))?;
    let (sum, json) = text.trim_end().split_once(' ').ok_or_else(|| spoilt("it is cut short"))?;
    if u32::from_str_radix(sum, 16).ok() != Some(crc32fast::hash(json.as_bytes())) {
        return Err(spoilt("its checksum is wrong"));
    }
    serde_json::from_str(json).map(Some).map_err(|_| spoilt("it is no record"))
}
