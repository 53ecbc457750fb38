//! A directory that wraps another directory and injects faults: a quota, slow syncs and failed syncs. Fault tests with it
//! need no privileges. It buffers no data: all writes go to the inner directory, so that they are there when the process is
//! restarted. The quota counts the lengths of the files, like the quota of a file system.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use crate::files::{Directory, FileHandle};

/// The faults to inject. They can be changed while the directory is in use.
#[derive(Debug, Default)]
pub struct Faults {
    /// Maximum total length of all files, in bytes.
    pub quota_bytes: Cell<Option<u64>>,
    /// Additional duration of every sync. The sync blocks the calling thread for this time.
    pub sync_delay: Cell<Duration>,
    /// Whether every sync fails.
    pub sync_fails: Cell<bool>,
    lengths: RefCell<BTreeMap<String, u64>>,
}

impl Faults {
    fn storage_full() -> io::Error {
        io::Error::from(io::ErrorKind::StorageFull)
    }

    /// Records the new length of a file, unless it exceeds the quota.
    fn check_quota(&self, name: &str, length: u64) -> io::Result<()> {
        let mut lengths = self.lengths.borrow_mut();
        let others: u64 = lengths.iter().filter(|(other, _)| *other != name).map(|(_, length)| length).sum();
        let current_length = lengths.get(name).copied().unwrap_or(0);
        if length > current_length && self.quota_bytes.get().is_some_and(|quota| others + length > quota) {
            return Err(Faults::storage_full());
        }
        lengths.insert(name.into(), length);
        Ok(())
    }

    fn check_sync(&self) -> io::Result<()> {
        if !self.sync_delay.get().is_zero() {
            std::thread::sleep(self.sync_delay.get());
        }
        if self.sync_fails.get() {
            return Err(io::Error::other("injected sync failure"));
        }
        Ok(())
    }
}

/// A directory with injected faults.
#[derive(Debug)]
pub struct FaultyDirectory<F> {
    inner: F,
    faults: Rc<Faults>,
}

impl<F> FaultyDirectory<F> {
    /// Wraps a directory.
    pub fn new(inner: F, faults: &Rc<Faults>) -> Self {
        FaultyDirectory { inner, faults: faults.clone() }
    }
}

/// An open file with injected faults.
#[derive(Debug)]
pub struct FaultyFile<H> {
    inner: H,
    name: String,
    faults: Rc<Faults>,
}

impl<F: Directory> Directory for FaultyDirectory<F> {
    type Handle = FaultyFile<F::Handle>;

    fn lock(&mut self) -> io::Result<()> {
        self.inner.lock()
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn open(&mut self, name: &str, create: bool) -> io::Result<Self::Handle> {
        if create && self.faults.quota_bytes.get() == Some(0) {
            return Err(Faults::storage_full());
        }
        let inner = self.inner.open(name, create)?;
        self.faults.lengths.borrow_mut().insert(name.into(), inner.length()?);
        Ok(FaultyFile { inner, name: name.into(), faults: self.faults.clone() })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)?;
        self.faults.lengths.borrow_mut().remove(name);
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.faults.check_sync()?;
        self.inner.sync_names()
    }
}

impl<H: FileHandle> FileHandle for FaultyFile<H> {
    fn length(&self) -> io::Result<u64> {
        self.inner.length()
    }

    fn read(&self, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.inner.read(offset, buffer)
    }

    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let length = self.inner.length()?.max(offset + bytes.len() as u64);
        self.faults.check_quota(&self.name, length)?;
        self.inner.write(offset, bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.inner.truncate(length)?;
        self.faults.lengths.borrow_mut().insert(self.name.clone(), length);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.faults.check_sync()?;
        self.inner.sync()
    }
}
