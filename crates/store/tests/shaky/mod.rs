//! A file system in memory that fails on demand and, in a crash, loses and tears what was not made durable.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use fernscale_store::files::{Directory, FileHandle};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Debug, Default)]
pub struct Content {
    pub now: Vec<u8>,
    durable: Vec<u8>,
    /// What was done since: writes at places, cuts to lengths.
    since: Vec<(u64, Option<Vec<u8>>)>,
    named: bool,
}

#[derive(Debug, Default)]
pub struct Disk {
    pub files: BTreeMap<String, Content>,
    /// Files removed whose removal may not last.
    removed: BTreeMap<String, Content>,
    locked: bool,
    pub fail_sync: bool,
    /// Bytes that may still be written.
    pub room: Option<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct Shaky(pub Rc<RefCell<Disk>>);

fn apply(to: &mut Vec<u8>, at: u64, bytes: Option<&[u8]>) {
    let at = at as usize;
    match bytes {
        None => to.resize(at, 0),
        Some(bytes) => {
            to.resize(to.len().max(at + bytes.len()), 0);
            to[at..at + bytes.len()].copy_from_slice(bytes);
        }
    }
}

impl Shaky {
    /// The power goes. Of what was not durable a random part is there: some writes not, one of them torn.
    pub fn crash(&self, chance: &mut ChaCha8Rng) {
        let mut disk = self.0.borrow_mut();
        disk.locked = false;
        for (name, content) in std::mem::take(&mut disk.removed) {
            if chance.gen_bool(0.5) {
                disk.files.entry(name).or_insert(content);
            }
        }
        disk.files.retain(|_, content| content.named || chance.gen_bool(0.5));
        for content in disk.files.values_mut() {
            let mut left = content.durable.clone();
            for (at, bytes) in std::mem::take(&mut content.since) {
                match (chance.gen_range(0..4), bytes) {
                    (0, _) => {}
                    (1, Some(bytes)) => {
                        let torn = chance.gen_range(0..=bytes.len());
                        apply(&mut left, at, Some(&bytes[..torn]));
                    }
                    (_, bytes) => apply(&mut left, at, bytes.as_deref()),
                }
            }
            *content = Content { now: left.clone(), durable: left, since: Vec::new(), named: true };
        }
    }

    /// The process goes, and the system keeps all.
    pub fn kill(&self) {
        self.0.borrow_mut().locked = false;
    }

    /// The same files, apart from these.
    pub fn copy(&self) -> Shaky {
        let disk = self.0.borrow();
        Shaky(Rc::new(RefCell::new(Disk { files: disk.files.clone(), ..Disk::default() })))
    }
}

impl Directory for Shaky {
    type Handle = Open;

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

    fn open(&mut self, name: &str, create: bool) -> io::Result<Open> {
        let mut disk = self.0.borrow_mut();
        match (disk.files.contains_key(name), create) {
            (true, true) => return Err(io::Error::from(io::ErrorKind::AlreadyExists)),
            (false, false) => return Err(io::Error::from(io::ErrorKind::NotFound)),
            (false, true) => drop(disk.files.insert(name.into(), Content::default())),
            _ => {}
        }
        Ok(Open { disk: self.0.clone(), name: name.into() })
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
        disk.files.values_mut().for_each(|content| content.named = true);
        Ok(())
    }
}

pub struct Open {
    disk: Rc<RefCell<Disk>>,
    name: String,
}

impl Open {
    fn with<T>(&self, act: impl FnOnce(&mut Content) -> T) -> io::Result<T> {
        let mut disk = self.disk.borrow_mut();
        disk.files.get_mut(&self.name).map(act).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl FileHandle for Open {
    fn length(&self) -> io::Result<u64> {
        self.with(|content| content.now.len() as u64)
    }

    fn read(&self, at: u64, into: &mut [u8]) -> io::Result<()> {
        let part =
            self.with(|content| content.now.get(at as usize..at as usize + into.len()).map(<[u8]>::to_vec))?;
        into.copy_from_slice(&part.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn write(&mut self, at: u64, bytes: &[u8]) -> io::Result<()> {
        let room = self.disk.borrow().room;
        let fits = room.map_or(bytes.len(), |room| bytes.len().min(room as usize));
        if let Some(room) = &mut self.disk.borrow_mut().room {
            *room -= fits as u64;
        }
        self.with(|content| {
            apply(&mut content.now, at, Some(&bytes[..fits]));
            content.since.push((at, Some(bytes[..fits].to_vec())));
        })?;
        if fits == bytes.len() {
            Ok(())
        } else {
            Err(io::Error::from(io::ErrorKind::StorageFull))
        }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.with(|content| {
            apply(&mut content.now, length, None);
            content.since.push((length, None));
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.disk.borrow().fail_sync {
            return Err(io::Error::other("the disk says no"));
        }
        self.with(|content| {
            content.durable = content.now.clone();
            content.since.clear();
        })
    }
}
