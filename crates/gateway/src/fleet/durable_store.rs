//! The gateway's store, on a thread of its own: a sync may take seconds on a bad disk, and client requests must not wait
//! for it. Writes that wait together become durable by one sync, in the order in which they were handed in. What is
//! written, and what a failed write means, the callers decide.

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

/// Writes that wait for the thread. A further one completes as not durable.
const MAX_QUEUED_WRITES: usize = 4_096;
/// Writes that become durable by one sync.
const MAX_BATCHES_PER_SYNC: usize = 256;
/// Bytes examined for compaction after a sync.
const COMPACTION_SLICE_BYTES: usize = 64 * 1024;
/// Size of the store on disk and of its index in memory, for some thousand small entries.
const MAX_DISK_BYTES: u64 = 64 * 1024 * 1024;
const MAX_INDEX_BYTES: u64 = 4 * 1024 * 1024;
const MAX_SEGMENT_BYTES: u64 = 1024 * 1024;

/// Faults to inject into the store's files, in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Bytes that the files may hold; no limit without it.
    pub quota_bytes: Option<u64>,
    /// Added to the duration of every sync.
    pub sync_delay: Duration,
    /// Whether every sync fails.
    pub sync_fails: bool,
}

impl StoreFaults {
    fn apply_to(self, injected: &Faults) {
        injected.quota_bytes.set(self.quota_bytes);
        injected.sync_delay.set(self.sync_delay);
        injected.sync_fails.set(self.sync_fails);
    }
}

/// What the thread is to do.
enum Order {
    Write(Batch, Sender<bool>),
    SetFaults(StoreFaults),
}

/// Keys and their values, in the order of the keys.
pub type Entries = Vec<(Vec<u8>, Vec<u8>)>;

/// A handle to the store's thread. Each user of the store has keys with a prefix of its own.
#[derive(Clone)]
pub struct DurableStore {
    orders: mpsc::SyncSender<Order>,
}

impl DurableStore {
    /// Opens the store of a directory and gives all of its entries.
    ///
    /// # Errors
    /// `Locked` while another process has the store; else those of opening and reading it, or of starting the thread.
    pub async fn open(directory: &Path, faults: StoreFaults) -> Result<(DurableStore, Entries), Error> {
        let (orders, mailbox) = mpsc::sync_channel(MAX_QUEUED_WRITES);
        let (opened, opening) = async_channel::bounded(1);
        let directory = PathBuf::from(directory);
        let run = move || {
            let injected = Rc::new(Faults::default());
            faults.apply_to(&injected);
            match open(&directory, &injected) {
                Ok((store, entries)) => {
                    let _ = opened.send_blocking(Ok(entries));
                    serve(store, &injected, &mailbox);
                }
                Err(why) => drop(opened.send_blocking(Err(why))),
            }
        };
        let thread_error = |what| move |why| Error::Io { what, why };
        thread::Builder::new().name("store".into()).spawn(run).map_err(thread_error("its thread"))?;
        let thread_gone = |_| thread_error("its thread")(io::Error::other("it has ended"));
        let entries = opening.recv().await.map_err(thread_gone)??;
        Ok((DurableStore { orders }, entries))
    }

    /// Hands in a batch. The receiver gets one message, whether the batch is durable; it closes without one where the
    /// queue is full or the thread has ended.
    pub fn write(&self, batch: Batch) -> Receiver<bool> {
        let (done, completed) = async_channel::bounded(1);
        // A batch that does not fit is dropped with its sender, which closes the receiver.
        let _ = self.orders.try_send(Order::Write(batch, done));
        completed
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let _ = self.orders.try_send(Order::SetFaults(faults));
    }
}

fn now_ms() -> u64 {
    unix() / 1_000
}

type OpenedStore = (Store<FaultyDirectory<DiskDirectory>>, Entries);

fn open(directory: &Path, injected: &Rc<Faults>) -> Result<OpenedStore, Error> {
    let files = DiskDirectory::new(directory).map_err(|why| Error::Io { what: "the folder", why })?;
    let options = Options {
        max_disk_bytes: MAX_DISK_BYTES,
        max_index_bytes: MAX_INDEX_BYTES,
        max_segment_bytes: MAX_SEGMENT_BYTES,
        ..Options::default()
    };
    let (store, _) = Store::open(FaultyDirectory::new(files, injected), options, now_ms())?;
    let entries = store.scan(b"", None, usize::MAX, now_ms())?;
    Ok((store, entries))
}

/// Handles orders until all handles are dropped, or a sync has failed: whether earlier writes are durable is unknown then.
fn serve<F: Directory>(mut store: Store<F>, injected: &Faults, orders: &mpsc::Receiver<Order>) {
    while let Ok(first) = orders.recv() {
        let mut completions = Vec::new();
        let mut written = Ok(());
        for order in std::iter::once(first).chain(orders.try_iter().take(MAX_BATCHES_PER_SYNC)) {
            match order {
                Order::Write(batch, done) => {
                    completions.push(done);
                    let write = store.write(&batch, Durability::Deferred, now_ms());
                    written = written.and(write.map(drop));
                }
                Order::SetFaults(faults) => faults.apply_to(injected),
            }
        }
        if completions.is_empty() {
            continue;
        }
        let is_durable = written.and_then(|()| store.sync()).is_ok();
        for done in completions {
            let _ = done.send_blocking(is_durable);
        }
        if !is_durable {
            return;
        }
        // Where this fails, the next write fails as well and reports it.
        let _ = store.compact(COMPACTION_SLICE_BYTES, now_ms());
    }
}
