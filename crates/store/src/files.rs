//! File access, as little as the store needs.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};

/// One folder of files. Names have no slashes.
pub trait Directory {
    type Handle: FileHandle;
    /// Takes the folder for this process alone; an error of kind `WouldBlock` if another has it.
    fn lock(&mut self) -> io::Result<()>;
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Opens a file to read and append; with `create` it must not be there yet.
    fn open(&mut self, name: &str, create: bool) -> io::Result<Self::Handle>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names of files durable.
    fn sync_names(&mut self) -> io::Result<()>;
}

pub trait FileHandle {
    fn length(&self) -> io::Result<u64>;
    /// Reads all of a range, or fails.
    fn read(&self, at: u64, into: &mut [u8]) -> io::Result<()>;
    fn write(&mut self, at: u64, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Makes what was written durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    lock: Option<File>,
}

const LOCK: &str = "lock";

impl DiskDirectory {
    /// The folder is made if it is not there.
    pub fn new(path: &Path) -> io::Result<DiskDirectory> {
        std::fs::create_dir_all(path)?;
        Ok(DiskDirectory { path: path.into(), lock: None })
    }
}

impl Directory for DiskDirectory {
    type Handle = File;

    fn lock(&mut self) -> io::Result<()> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK))?;
        // It goes with the process, however that ends.
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        self.lock = Some(file);
        Ok(())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn open(&mut self, name: &str, create: bool) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create_new(create).open(self.path.join(name))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl FileHandle for File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read(&self, at: u64, into: &mut [u8]) -> io::Result<()> {
        self.read_exact_at(into, at)
    }

    fn write(&mut self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_all_at(bytes, at)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
