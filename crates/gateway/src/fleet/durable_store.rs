//! The gateway's store, on a thread of its own: a sync may take seconds on a bad disk, and those who are served must not
//! wait for it. Writes that wait together become durable by one sync, in the order in which they were handed in.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use fernscale_store::fault_injection::{Faults, FaultyDirectory};
use fernscale_store::files::{Directory, DiskDirectory};
use fernscale_store::{Batch, Durability, Error, Options, Store};

use crate::transport::clock::unix;

/// Writes that wait at the most; beyond it a write is refused as not durable.
const MOST_WAITING: usize = 4_096;
/// Writes that become durable by one sync.
const TOGETHER: usize = 256;
/// Bytes that are looked at for compaction after a sync.
const SLICE: usize = 64 * 1024;
/// Bounds of the whole, on disk and in memory: what a gateway keeps for the fleet is some thousand small things.
const MOST_DISK: u64 = 64 * 1024 * 1024;
const MOST_INDEX: u64 = 4 * 1024 * 1024;
const SEGMENT: u64 = 1024 * 1024;

/// What is wrong with the folder, in trials.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Bytes that its files may hold.
    pub quota_bytes: Option<u64>,
    /// Every sync takes so much longer.
    pub sync_delay: Duration,
    /// Every sync fails.
    pub sync_fails: bool,
}

impl StoreFaults {
    fn sets(self, wrong: &Faults) {
        wrong.quota_bytes.set(self.quota_bytes);
        wrong.sync_delay.set(self.sync_delay);
        wrong.sync_fails.set(self.sync_fails);
    }
}

enum Order {
    Write(Batch, Sender<bool>),
    Trial(StoreFaults),
}

/// Keys and their values, in the order of the keys.
pub type Entries = Vec<(Vec<u8>, Vec<u8>)>;

/// The way to the store. Spaces are told apart by the first part of their keys.
#[derive(Clone)]
pub struct DurableStore {
    orders: mpsc::SyncSender<Order>,
}

impl DurableStore {
    /// Opens the store of a folder, and gives all that is in it. Fails with `Locked` while another process has it.
    pub async fn open(folder: &Path, trial: StoreFaults) -> Result<(DurableStore, Entries), Error> {
        let (orders, ordered) = mpsc::sync_channel(MOST_WAITING);
        let (opened, opens) = async_channel::bounded(1);
        let folder = PathBuf::from(folder);
        let work = move || {
            let wrong = Rc::new(Faults::default());
            trial.sets(&wrong);
            match open(&folder, &wrong) {
                Ok((store, entries)) => {
                    let _ = opened.send_blocking(Ok(entries));
                    serve(store, &wrong, &ordered);
                }
                Err(why) => drop(opened.send_blocking(Err(why))),
            }
        };
        let failed = |what| move |why| Error::Io { what, why };
        thread::Builder::new().name("store".into()).spawn(work).map_err(failed("its thread"))?;
        let gone = |_| failed("its thread")(io::Error::other("it has ended"));
        let entries = opens.recv().await.map_err(gone)??;
        Ok((DurableStore { orders }, entries))
    }

    /// Hands a batch in. What comes says once whether it is durable; nothing does where the store has ended.
    pub fn write(&self, batch: Batch) -> Receiver<bool> {
        let (done, doing) = async_channel::bounded(1);
        // Where there is no room the sender goes, and whoever waits is told so.
        let _ = self.orders.try_send(Order::Write(batch, done));
        doing
    }

    /// Another trial of the folder from now on.
    pub fn set_faults(&self, trial: StoreFaults) {
        let _ = self.orders.try_send(Order::Trial(trial));
    }
}

fn now() -> u64 {
    unix() / 1_000
}

type Opened = (Store<FaultyDirectory<DiskDirectory>>, Entries);

fn open(folder: &Path, wrong: &Rc<Faults>) -> Result<Opened, Error> {
    let files = DiskDirectory::new(folder).map_err(|why| Error::Io { what: "the folder", why })?;
    let options = Options {
        max_disk_bytes: MOST_DISK,
        max_index_bytes: MOST_INDEX,
        max_segment_bytes: SEGMENT,
        ..Options::default()
    };
    let (store, _) = Store::open(FaultyDirectory::new(files, wrong), options, now())?;
    let entries = store.scan(b"", None, usize::MAX, now())?;
    Ok((store, entries))
}

/// Writes until nobody is left who could hand anything in, or nothing can be made durable any more.
fn serve<F: Directory>(mut store: Store<F>, wrong: &Faults, orders: &mpsc::Receiver<Order>) {
    while let Ok(first) = orders.recv() {
        let mut waiting = Vec::new();
        let mut written = Ok(());
        for order in std::iter::once(first).chain(orders.try_iter().take(TOGETHER)) {
            match order {
                Order::Write(batch, done) => {
                    waiting.push(done);
                    let write = store.write(&batch, Durability::Deferred, now());
                    written = written.and(write.map(drop));
                }
                Order::Trial(trial) => trial.sets(wrong),
            }
        }
        if waiting.is_empty() {
            continue;
        }
        let durable = written.and_then(|()| store.sync()).is_ok();
        for done in waiting {
            let _ = done.send_blocking(durable);
        }
        if !durable {
            return;
        }
        // A slice that fails is told of by the next write.
        let _ = store.compact(SLICE, now());
    }
}
