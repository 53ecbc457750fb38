//! The durable state of this gateway's acceptor: opens the store, reads the promises in it, and writes changes in the order
//! in which the acceptor requests them. The acceptor alone decides what is promised.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use fernscale_lease::acceptor::{Acceptor, DurableHead, DurableState, StateChange};
use fernscale_lease::{FencingToken, Name, ProcessId};
use fernscale_store::{Batch, Error};
use slog::{info, warn};

use super::Leases;
use crate::fleet::durable_store::{DurableStore, Entries, StoreFaults};
use crate::transport::clock::boottime;

/// Interval between attempts to open a store that another process of this gateway has locked.
const LOCKED_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before reopening a failed store. Reopening makes a restart unnecessary after the disk is repaired.
const REOPEN_INTERVAL: Duration = Duration::from_secs(2);

/// Key of the acceptor's head record.
const HEAD_KEY: &[u8] = b"owner/head";
/// Prefix of the keys of promises. The lease name follows the prefix.
const PROMISE_KEY_PREFIX: &[u8] = b"owner/promise/";

/// A write that has not been reported to the acceptor yet.
pub(super) struct PendingWrite {
    /// The acceptor's number of the write.
    number: u64,
    /// Which opening of the store the write was submitted to; see `Leases::store_opening`.
    store_opening: u64,
    /// Receives whether the write is durable.
    result: Receiver<bool>,
}

impl Leases {
    /// Opens the store as soon as no other process of this gateway has it locked, and starts the acceptor from the stored
    /// state. After a failure of the store, the acceptor is dropped and the store is reopened.
    pub(super) async fn run_acceptor(self: Rc<Self>) {
        let Some(directory) = self.settings.directory.clone() else { return };
        loop {
            let failed = self.store_failed.listen();
            let pause = match DurableStore::open(&directory, self.store_faults.get()).await {
                Ok((store, entries)) => match durable_state(entries) {
                    Ok(state) => {
                        self.start_acceptor(store, state);
                        failed.await;
                        // It is unknown whether the last writes are on the disk. Only reopening the store shows it.
                        self.store.take();
                        self.core.borrow_mut().acceptor = None;
                        REOPEN_INTERVAL
                    }
                    Err(error) => self.log_unusable_store(&error.to_string()),
                },
                Err(Error::Locked) => LOCKED_RETRY_INTERVAL,
                Err(error) => self.log_unusable_store(&error.to_string()),
            };
            Timer::after(pause).await;
        }
    }

    /// Starts the acceptor from the stored state.
    fn start_acceptor(&self, store: DurableStore, state: DurableState) {
        info!(self.host.log(), #"owner.folder", "opened the store of lease promises"; "promises" => state.promises.len(),
            "writes" => state.write_count);
        self.store.replace(Some(store));
        let acceptor = Acceptor::new(
            &self.name,
            ProcessId(rand::random()),
            &self.settings.acceptors,
            self.settings.terms,
            state,
            boottime(),
        );
        self.core.borrow_mut().acceptor = Some(acceptor);
        self.wake.notify(1);
    }

    /// Logs that the store cannot be used, and returns the pause before the next attempt.
    fn log_unusable_store(&self, reason: &str) -> Duration {
        warn!(self.host.log(), #"owner.no-folder", "cannot use the store of lease promises; makes no promises"; "why" => reason);
        REOPEN_INTERVAL
    }

    /// Replaces the injected faults of the store, in the open store and for later openings.
    pub fn set_store_faults(&self, faults: StoreFaults) {
        self.store_faults.set(faults);
        if let Some(store) = &*self.store.borrow() {
            store.set_faults(faults);
        }
    }

    /// Submits a change to the store. [`Self::report_completed_writes`] reports its completion.
    pub(super) fn persist(&self, number: u64, change: &StateChange) {
        let Some(store) = &*self.store.borrow() else { return };
        let bytes = |encoded: Result<Vec<u8>, postcard::Error>| encoded.unwrap_or_default();
        let mut batch = Batch::new().put(HEAD_KEY, &bytes(postcard::to_stdvec(&change.head)));
        for (lease, token) in &change.promises {
            let key = [PROMISE_KEY_PREFIX, lease.as_bytes()].concat();
            batch = batch.put(&key, &bytes(postcard::to_stdvec(&(lease, token))));
        }
        let write =
            PendingWrite { number, store_opening: self.store_opening.get(), result: store.write(batch) };
        let _ = self.pending_writes.try_send(write);
    }

    /// Reports completed writes to the acceptor in order. After a failed write the store is reopened, and the remaining
    /// writes to the failed opening are ignored.
    pub(super) async fn report_completed_writes(self: Rc<Self>, writes: Receiver<PendingWrite>) {
        while let Ok(PendingWrite { number, store_opening, result }) = writes.recv().await {
            let is_durable = result.recv().await.unwrap_or(false);
            if store_opening != self.store_opening.get() {
                continue;
            }
            if let Some(acceptor) = &mut self.core.borrow_mut().acceptor {
                acceptor.write_completed(boottime(), number, is_durable);
            }
            self.drain_outputs();
            if !is_durable {
                self.store_opening.set(store_opening + 1);
                self.store_failed.notify(1);
            }
        }
    }
}

/// Decodes the acceptor's state from the entries of the store. Entries with other keys are ignored.
fn durable_state(entries: Entries) -> Result<DurableState, postcard::Error> {
    let mut state = DurableState::default();
    for (key, value) in entries {
        if key == HEAD_KEY {
            let head: DurableHead = postcard::from_bytes(&value)?;
            state.apply(&StateChange { head, promises: Vec::new() });
        } else if key.starts_with(PROMISE_KEY_PREFIX) {
            let (lease, token): (Name, FencingToken) = postcard::from_bytes(&value)?;
            state.promises.insert(lease, token);
        }
    }
    Ok(state)
}
