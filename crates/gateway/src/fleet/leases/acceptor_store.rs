//! The durable state of this gateway's acceptor: opening its store, reading the promises in it, and writing changes in
//! the order in which the acceptor asks for them. It never decides what is promised.

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

/// Pause between two attempts to open a store that another process of this gateway has locked.
const LOCKED_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before the store is opened again after it has failed, so that a repaired disk needs no restart.
const REOPEN_INTERVAL: Duration = Duration::from_secs(2);

/// Key of the head record in the acceptor's part of the store.
const HEAD_KEY: &[u8] = b"owner/head";
/// Prefix of the keys of promises; the lease name follows.
const PROMISE_KEY_PREFIX: &[u8] = b"owner/promise/";

/// A write that the acceptor waits for.
pub(super) struct PendingWrite {
    number: u64,
    /// The opening of the store that the write belongs to.
    store_opening: u64,
    done: Receiver<bool>,
}

impl Leases {
    /// Opens the store as soon as no other process of this gateway has it, and runs the acceptor by its content. After a
    /// failure of the store the acceptor is dropped, and the store is opened again.
    pub(super) async fn run_acceptor(self: Rc<Self>) {
        let Some(directory) = self.settings.directory.clone() else { return };
        loop {
            let failed = self.store_failed.listen();
            let pause = match DurableStore::open(&directory, self.store_faults.get()).await {
                Ok((store, entries)) => match durable_state(entries) {
                    Ok(state) => {
                        self.start_acceptor(store, state);
                        failed.await;
                        // The last writes may be on the disk or not: only opening the store again can tell.
                        self.store.take();
                        self.core.borrow_mut().acceptor = None;
                        REOPEN_INTERVAL
                    }
                    Err(error) => self.store_unusable(&error.to_string()),
                },
                Err(Error::Locked) => LOCKED_RETRY_INTERVAL,
                Err(error) => self.store_unusable(&error.to_string()),
            };
            Timer::after(pause).await;
        }
    }

    fn start_acceptor(&self, store: DurableStore, state: DurableState) {
        info!(self.host.log(), #"owner.folder", "the folder of promises is open"; "promises" => state.promises.len(),
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

    /// Logs that the store can't be used, and gives the pause before the next attempt.
    fn store_unusable(&self, reason: &str) -> Duration {
        warn!(self.host.log(), #"owner.no-folder", "promises can't be kept, and none are made"; "why" => reason);
        REOPEN_INTERVAL
    }

    /// Replaces the injected faults of the store, now and for later openings.
    pub fn set_store_faults(&self, faults: StoreFaults) {
        self.store_faults.set(faults);
        if let Some(store) = &*self.store.borrow() {
            store.set_faults(faults);
        }
    }

    /// Hands a change to the store. Its completion is reported by [`Self::report_completed_writes`].
    pub(super) fn persist(&self, number: u64, change: &StateChange) {
        let Some(store) = &*self.store.borrow() else { return };
        let bytes = |content: Result<Vec<u8>, postcard::Error>| content.unwrap_or_default();
        let mut batch = Batch::new().put(HEAD_KEY, &bytes(postcard::to_stdvec(&change.head)));
        for (lease, token) in &change.promises {
            let key = [PROMISE_KEY_PREFIX, lease.as_bytes()].concat();
            batch = batch.put(&key, &bytes(postcard::to_stdvec(&(lease, token))));
        }
        let write =
            PendingWrite { number, store_opening: self.store_opening.get(), done: store.write(batch) };
        let _ = self.pending_writes.try_send(write);
    }

    /// Reports writes to the acceptor in their order. A failed one ends this opening of the store.
    pub(super) async fn report_completed_writes(self: Rc<Self>, writes: Receiver<PendingWrite>) {
        while let Ok(PendingWrite { number, store_opening, done }) = writes.recv().await {
            let durable = done.recv().await.unwrap_or(false);
            if store_opening != self.store_opening.get() {
                continue;
            }
            if let Some(acceptor) = &mut self.core.borrow_mut().acceptor {
                acceptor.write_completed(boottime(), number, durable);
            }
            self.drain_outputs();
            if !durable {
                self.store_opening.set(store_opening + 1);
                self.store_failed.notify(1);
            }
        }
    }
}

/// The acceptor's state from the entries of its store. Entries of other parts of the store are left out.
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
