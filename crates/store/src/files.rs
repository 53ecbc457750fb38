//! The file operations that a store needs: traits and their implementation for the file system.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};

/// A directory of files. File names contain no slashes.
pub trait Directory {
    /// An open file.
    type Handle: FileHandle;
    /// Locks the directory for this process. Returns an error of kind `WouldBlock` if another process has locked it.
    fn lock(&mut self) -> io::Result<()>;
    /// Returns the names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Opens a file for reading and writing. The file must not exist if `create` is true, and must exist otherwise.
    fn open(&mut self, name: &str, create: bool) -> io::Result<Self::Handle>;
    /// Removes a file. Open handles to the file stay usable.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the creation and removal of files durable.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// An open file. Offsets and lengths are in bytes.
pub trait FileHandle {
    /// Returns the length of the file.
    fn length(&self) -> io::Result<u64>;
    /// Fills the buffer from `offset`. Returns an error if the file is too short.
    fn read(&self, offset: u64, buffer: &mut [u8]) -> io::Result<()>;
    /// Writes all bytes at `offset`. If it returns an error, some of the bytes may have been written.
    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length of the file.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Makes all writes to the file durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    lock: Option<File>,
}

const LOCK_FILE: &str = "lock";

impl DiskDirectory {
    /// Creates the directory, with its parents, if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the error of creating the directory.
    pub fn new(path: &Path) -> io::Result<DiskDirectory> {
        std::fs::create_dir_all(path)?;
        Ok(DiskDirectory { path: path.into(), lock: None })
    }
}

impl Directory for DiskDirectory {
    type Handle = File;

    fn lock(&mut self) -> io::Result<()> {
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK_FILE))?;
        // The operating system releases the lock when the process ends.
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

    fn read(&self, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.read_exact_at(buffer, offset)
    }

    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_all_at(bytes, offset)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
