//! The acceptor's state on the disk.

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

/// How often the store is tried while another process of this gateway has it.
const LOCKED_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// And how soon after it has failed: whoever mends a disk need not start the gateway anew.
const REOPEN_INTERVAL: Duration = Duration::from_secs(2);

/// The keys of a voter's space in the store.
const HEAD_KEY: &[u8] = b"owner/head";
const PROMISE_KEY_PREFIX: &[u8] = b"owner/promise/";

/// A write of a voter's, and whether it has become durable.
pub(super) struct PendingWrite {
    number: u64,
    /// Of which opening of the store it is.
    store_opening: u64,
    done: Receiver<bool>,
}

impl Leases {
    /// Opens the store as soon as no other process of this gateway has it, and votes by what it holds.
    pub(super) async fn run_acceptor(self: Rc<Self>) {
        let Some(directory) = self.settings.directory.clone() else { return };
        loop {
            let failed = self.store_failed.listen();
            let pause = match DurableStore::open(&directory, self.store_faults.get()).await {
                Ok((store, entries)) => match promises(entries) {
                    Ok(promises) => {
                        self.start_acceptor(store, promises);
                        failed.await;
                        // What was written last may be on the disk or not: only another start can tell.
                        self.store.take();
                        self.core.borrow_mut().acceptor = None;
                        REOPEN_INTERVAL
                    }
                    Err(reason) => self.store_unusable(&reason.to_string()),
                },
                Err(Error::Locked) => LOCKED_RETRY_INTERVAL,
                Err(reason) => self.store_unusable(&reason.to_string()),
            };
            Timer::after(pause).await;
        }
    }

    fn start_acceptor(&self, store: DurableStore, promises: DurableState) {
        info!(self.host.log(), #"owner.folder", "the folder of promises is open"; "promises" => promises.promises.len(),
            "writes" => promises.write_count);
        self.store.replace(Some(store));
        let (name, acceptors, terms) = (&self.name, &self.settings.acceptors, self.settings.terms);
        let acceptor = Acceptor::new(name, ProcessId(rand::random()), acceptors, terms, promises, boottime());
        self.core.borrow_mut().acceptor = Some(acceptor);
        self.wake.notify(1);
    }

    fn store_unusable(&self, reason: &str) -> Duration {
        warn!(self.host.log(), #"owner.no-folder", "promises can't be kept, and none are made"; "why" => reason);
        REOPEN_INTERVAL
    }

    /// Another trial of the folder from now on.
    pub fn set_store_faults(&self, store_faults: StoreFaults) {
        self.store_faults.set(store_faults);
        if let Some(store) = &*self.store.borrow() {
            store.set_faults(store_faults);
        }
    }

    pub(super) fn persist(&self, number: u64, change: &StateChange) {
        let Some(store) = &*self.store.borrow() else { return };
        let bytes = |content: Result<Vec<u8>, postcard::Error>| content.unwrap_or_default();
        let mut batch = Batch::new().put(HEAD_KEY, &bytes(postcard::to_stdvec(&change.head)));
        for (lease, token) in &change.promises {
            batch = batch.put(
                &[PROMISE_KEY_PREFIX, lease.as_bytes()].concat(),
                &bytes(postcard::to_stdvec(&(lease, token))),
            );
        }
        let _ = self.pending_writes.try_send(PendingWrite {
            number,
            store_opening: self.store_opening.get(),
            done: store.write(batch),
        });
    }

    pub(super) async fn report_completed_writes(self: Rc<Self>, writes: Receiver<PendingWrite>) {
        while let Ok(PendingWrite { number, store_opening, done }) = writes.recv().await {
            let is_durable = done.recv().await.unwrap_or(false);
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

/// What a voter's folder holds.
fn promises(entries: Entries) -> Result<DurableState, postcard::Error> {
    let mut all = DurableState::default();
    for (key, value) in entries {
        if key == HEAD_KEY {
            let head: DurableHead = postcard::from_bytes(&value)?;
            all.apply(&StateChange { head, promises: Vec::new() });
        } else if key.starts_with(PROMISE_KEY_PREFIX) {
            let (lease, token): (Name, FencingToken) = postcard::from_bytes(&value)?;
            all.promises.insert(lease, token);
        }
    }
    Ok(all)
}
