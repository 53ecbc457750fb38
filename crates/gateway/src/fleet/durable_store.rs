//! The gateway's store, on its own thread: a sync may take seconds on a faulty disk, and client requests must not wait for
//! it. Queued writes are made durable together by one sync, in the order in which they were submitted. The callers decide
//! what is written and what a failed write means.

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

/// Maximum number of commands that wait for the store's thread. A write beyond it is dropped, and its receiver closes.
const MAX_QUEUED_COMMANDS: usize = 4_096;
/// Maximum number of further queued commands that are handled before the next sync.
const MAX_COMMANDS_PER_SYNC: usize = 256;
/// Number of bytes that are examined for compaction after each sync.
const COMPACTION_SLICE_BYTES: usize = 64 * 1024;
/// Limits on the store's size on disk and on its index in memory, enough for a few thousand small entries.
const MAX_DISK_BYTES: u64 = 64 * 1024 * 1024;
const MAX_INDEX_BYTES: u64 = 4 * 1024 * 1024;
const MAX_SEGMENT_BYTES: u64 = 1024 * 1024;

/// Faults that tests inject into the store's files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Maximum total size of the files in bytes, or `None` for no limit.
    pub quota_bytes: Option<u64>,
    /// Delay that is added to every sync.
    pub sync_delay: Duration,
    /// Whether every sync fails.
    pub sync_fails: bool,
}

impl StoreFaults {
    fn apply_to(self, injected_faults: &Faults) {
        injected_faults.quota_bytes.set(self.quota_bytes);
        injected_faults.sync_delay.set(self.sync_delay);
        injected_faults.sync_fails.set(self.sync_fails);
    }
}

/// A command to the store's thread.
enum Command {
    /// Write a batch, and send whether it is durable.
    Write(Batch, Sender<bool>),
    /// Replace the injected faults.
    SetFaults(StoreFaults),
}

/// Keys and their values, in key order.
pub type Entries = Vec<(Vec<u8>, Vec<u8>)>;

/// A handle to the store's thread. Each user of the store has its own key prefix.
#[derive(Clone)]
pub struct DurableStore {
    commands: mpsc::SyncSender<Command>,
}

impl DurableStore {
    /// Opens the store in a directory and returns it with all of its entries.
    ///
    /// # Errors
    /// `Locked` while another process has the store open. Otherwise the errors of opening and reading the store, or of
    /// starting its thread.
    pub async fn open(directory: &Path, faults: StoreFaults) -> Result<(DurableStore, Entries), Error> {
        let (commands, received_commands) = mpsc::sync_channel(MAX_QUEUED_COMMANDS);
        let (open_result_sender, open_result) = async_channel::bounded(1);
        let directory = PathBuf::from(directory);
        let run = move || {
            let injected_faults = Rc::new(Faults::default());
            faults.apply_to(&injected_faults);
            match open(&directory, &injected_faults) {
                Ok((store, entries)) => {
                    let _ = open_result_sender.send_blocking(Ok(entries));
                    serve(store, &injected_faults, &received_commands);
                }
                Err(why) => drop(open_result_sender.send_blocking(Err(why))),
            }
        };
        let thread_error = |what| move |why| Error::Io { what, why };
        thread::Builder::new().name("store".into()).spawn(run).map_err(thread_error("the store's thread"))?;
        let thread_ended = |_| thread_error("the store's thread")(io::Error::other("the thread has ended"));
        let entries = open_result.recv().await.map_err(thread_ended)??;
        Ok((DurableStore { commands }, entries))
    }

    /// Submits a batch of writes. The receiver gets one message: whether the batch is durable. The receiver closes without
    /// a message if the queue is full or the thread has ended.
    pub fn write(&self, batch: Batch) -> Receiver<bool> {
        let (result_sender, result) = async_channel::bounded(1);
        // If the queue is full, the batch is dropped together with its sender, which closes the receiver.
        let _ = self.commands.try_send(Command::Write(batch, result_sender));
        result
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let _ = self.commands.try_send(Command::SetFaults(faults));
    }
}

fn now_ms() -> u64 {
    unix() / 1_000
}

type OpenedStore = (Store<FaultyDirectory<DiskDirectory>>, Entries);

fn open(directory: &Path, injected_faults: &Rc<Faults>) -> Result<OpenedStore, Error> {
    let files = DiskDirectory::new(directory).map_err(|why| Error::Io { what: "the folder", why })?;
    let options = Options {
        max_disk_bytes: MAX_DISK_BYTES,
        max_index_bytes: MAX_INDEX_BYTES,
        max_segment_bytes: MAX_SEGMENT_BYTES,
        ..Options::default()
    };
    let (store, _) = Store::open(FaultyDirectory::new(files, injected_faults), options, now_ms())?;
    let entries = store.scan(b"", None, usize::MAX, now_ms())?;
    Ok((store, entries))
}

/// Handles commands until all handles are dropped or a sync fails. After a failed sync it is unknown whether earlier
/// writes are durable.
fn serve<F: Directory>(mut store: Store<F>, injected_faults: &Faults, commands: &mpsc::Receiver<Command>) {
    while let Ok(first) = commands.recv() {
        let mut result_senders = Vec::new();
        let mut write_result = Ok(());
        for command in std::iter::once(first).chain(commands.try_iter().take(MAX_COMMANDS_PER_SYNC)) {
            match command {
                Command::Write(batch, result_sender) => {
                    result_senders.push(result_sender);
                    let write = store.write(&batch, Durability::Deferred, now_ms());
                    write_result = write_result.and(write.map(drop));
                }
                Command::SetFaults(faults) => faults.apply_to(injected_faults),
            }
        }
        if result_senders.is_empty() {
            continue;
        }
        let is_durable = write_result.and_then(|()| store.sync()).is_ok();
        for result_sender in result_senders {
            let _ = result_sender.send_blocking(is_durable);
        }
        if !is_durable {
            return;
        }
        // If compaction fails, the next write fails as well and reports the failure.
        let _ = store.compact(COMPACTION_SLICE_BYTES, now_ms());
    }
}
