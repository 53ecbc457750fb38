//! A directory in memory that fails on demand. A crash loses or tears writes that are not durable.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use fernscale_store::files::{Directory, FileHandle};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Debug, Default)]
pub struct Content {
    pub current: Vec<u8>,
    durable: Vec<u8>,
    /// Operations since the last sync: writes at offsets, truncations to lengths.
    unsynced: Vec<(u64, Option<Vec<u8>>)>,
    name_is_durable: bool,
}

#[derive(Debug, Default)]
pub struct DiskState {
    pub files: BTreeMap<String, Content>,
    /// Removed files whose removal is not durable yet.
    removed: BTreeMap<String, Content>,
    locked: bool,
    pub fail_sync: bool,
    /// Free space in bytes; `None` if unlimited.
    pub remaining_bytes: Option<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(pub Rc<RefCell<DiskState>>);

fn apply(content: &mut Vec<u8>, offset: u64, bytes: Option<&[u8]>) {
    let offset = offset as usize;
    match bytes {
        None => content.resize(offset, 0),
        Some(bytes) => {
            content.resize(content.len().max(offset + bytes.len()), 0);
            content[offset..offset + bytes.len()].copy_from_slice(bytes);
        }
    }
}

impl SimulatedDisk {
    /// Simulates a power failure. A random part of the operations that are not durable survives; some writes are torn.
    pub fn crash(&self, random: &mut ChaCha8Rng) {
        let mut disk = self.0.borrow_mut();
        disk.locked = false;
        for (name, content) in std::mem::take(&mut disk.removed) {
            if random.gen_bool(0.5) {
                disk.files.entry(name).or_insert(content);
            }
        }
        disk.files.retain(|_, content| content.name_is_durable || random.gen_bool(0.5));
        for content in disk.files.values_mut() {
            let mut remaining = content.durable.clone();
            for (offset, bytes) in std::mem::take(&mut content.unsynced) {
                match (random.gen_range(0..4), bytes) {
                    (0, _) => {}
                    (1, Some(bytes)) => {
                        let torn = random.gen_range(0..=bytes.len());
                        apply(&mut remaining, offset, Some(&bytes[..torn]));
                    }
                    (_, bytes) => apply(&mut remaining, offset, bytes.as_deref()),
                }
            }
            *content = Content {
                current: remaining.clone(),
                durable: remaining,
                unsynced: Vec::new(),
                name_is_durable: true,
            };
        }
    }

    /// Simulates the end of the process. The operating system keeps all writes.
    pub fn kill(&self) {
        self.0.borrow_mut().locked = false;
    }

    /// Returns an independent copy of the files.
    pub fn copy(&self) -> SimulatedDisk {
        let disk = self.0.borrow();
        SimulatedDisk(Rc::new(RefCell::new(DiskState { files: disk.files.clone(), ..DiskState::default() })))
    }
}

impl Directory for SimulatedDisk {
    type Handle = OpenFile;

    fn lock(&mut self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.locked {
            return Err(io::Error::from(io::ErrorKind::WouldBlock));
        }
        disk.locked = true;
        Ok(())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn open(&mut self, name: &str, create: bool) -> io::Result<OpenFile> {
        let mut disk = self.0.borrow_mut();
        match (disk.files.contains_key(name), create) {
            (true, true) => return Err(io::Error::from(io::ErrorKind::AlreadyExists)),
            (false, false) => return Err(io::Error::from(io::ErrorKind::NotFound)),
            (false, true) => drop(disk.files.insert(name.into(), Content::default())),
            _ => {}
        }
        Ok(OpenFile { disk: self.0.clone(), name: name.into() })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let content = disk.files.remove(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        disk.removed.insert(name.into(), content);
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.removed.clear();
        disk.files.values_mut().for_each(|content| content.name_is_durable = true);
        Ok(())
    }
}

pub struct OpenFile {
    disk: Rc<RefCell<DiskState>>,
    name: String,
}

impl OpenFile {
    fn with_content<T>(&self, operation: impl FnOnce(&mut Content) -> T) -> io::Result<T> {
        let mut disk = self.disk.borrow_mut();
        disk.files.get_mut(&self.name).map(operation).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl FileHandle for OpenFile {
    fn length(&self) -> io::Result<u64> {
        self.with_content(|content| content.current.len() as u64)
    }

    fn read(&self, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        let bytes = self.with_content(|content| {
            content.current.get(offset as usize..offset as usize + buffer.len()).map(<[u8]>::to_vec)
        })?;
        buffer.copy_from_slice(&bytes.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let remaining_bytes = self.disk.borrow().remaining_bytes;
        let fits =
            remaining_bytes.map_or(bytes.len(), |remaining_bytes| bytes.len().min(remaining_bytes as usize));
        if let Some(remaining_bytes) = &mut self.disk.borrow_mut().remaining_bytes {
            *remaining_bytes -= fits as u64;
        }
        self.with_content(|content| {
            apply(&mut content.current, offset, Some(&bytes[..fits]));
            content.unsynced.push((offset, Some(bytes[..fits].to_vec())));
        })?;
        if fits == bytes.len() {
            Ok(())
        } else {
            Err(io::Error::from(io::ErrorKind::StorageFull))
        }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.with_content(|content| {
            apply(&mut content.current, length, None);
            content.unsynced.push((length, None));
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.disk.borrow().fail_sync {
            return Err(io::Error::other("injected sync failure"));
        }
        self.with_content(|content| {
            content.durable = content.current.clone();
            content.unsynced.clear();
        })
    }
}
