//! The acceptor's state on the disk.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use fernscale_lease::acceptor::{Acceptor, DurableHead, DurableState as Promises, StateChange};
use fernscale_lease::{FencingToken, Name, ProcessId};
use fernscale_store::{Batch, Error};
use slog::{info, warn};

use super::Leases;
use crate::fleet::durable_store::{DurableStore, Entries, StoreFaults};
use crate::transport::clock::boottime;

/// How often the store is tried while another process of this gateway has it.
const AGAIN: Duration = Duration::from_millis(50);

/// And how soon after it has failed: whoever mends a disk need not start the gateway anew.
const REOPENED: Duration = Duration::from_secs(2);

/// The keys of a voter's space in the store.
const HEAD: &[u8] = b"owner/head";
const PROMISE: &[u8] = b"owner/promise/";

/// A write of a voter's, and whether it has become durable.
pub(super) struct Write {
    number: u64,
    /// Of which opening of the store it is.
    of: u64,
    done: Receiver<bool>,
}

impl Leases {
    /// Opens the store as soon as no other process of this gateway has it, and votes by what it holds.
    pub(super) async fn vote(self: Rc<Self>) {
        let Some(folder) = self.settings.directory.clone() else { return };
        loop {
            let failed = self.disk_failed.listen();
            let pause = match DurableStore::open(&folder, self.trial.get()).await {
                Ok((durable, entries)) => match promises(entries) {
                    Ok(promises) => {
                        self.votes_by(durable, promises);
                        failed.await;
                        // What was written last may be on the disk or not: only another start can tell.
                        self.durable.take();
                        self.core.borrow_mut().voter = None;
                        REOPENED
                    }
                    Err(why) => self.no_folder(&why.to_string()),
                },
                Err(Error::Locked) => AGAIN,
                Err(why) => self.no_folder(&why.to_string()),
            };
            Timer::after(pause).await;
        }
    }

    fn votes_by(&self, durable: DurableStore, promises: Promises) {
        info!(self.host.log(), #"owner.folder", "the folder of promises is open"; "promises" => promises.promises.len(),
            "writes" => promises.write_count);
        self.durable.replace(Some(durable));
        let (me, voters, terms) = (&self.me, &self.settings.acceptors, self.settings.terms);
        let voter = Acceptor::new(me, ProcessId(rand::random()), voters, terms, promises, boottime());
        self.core.borrow_mut().voter = Some(voter);
        self.wake.notify(1);
    }

    fn no_folder(&self, why: &str) -> Duration {
        warn!(self.host.log(), #"owner.no-folder", "promises can't be kept, and none are made"; "why" => why);
        REOPENED
    }

    /// Another trial of the folder from now on.
    pub fn set_store_faults(&self, trial: StoreFaults) {
        self.trial.set(trial);
        if let Some(durable) = &*self.durable.borrow() {
            durable.set_faults(trial);
        }
    }

    pub(super) fn write(&self, number: u64, change: &StateChange) {
        let Some(durable) = &*self.durable.borrow() else { return };
        let bytes = |content: Result<Vec<u8>, postcard::Error>| content.unwrap_or_default();
        let mut batch = Batch::new().put(HEAD, &bytes(postcard::to_stdvec(&change.head)));
        for (job, fence) in &change.promises {
            batch =
                batch.put(&[PROMISE, job.as_bytes()].concat(), &bytes(postcard::to_stdvec(&(job, fence))));
        }
        let _ = self.synced.try_send(Write { number, of: self.opened.get(), done: durable.write(batch) });
    }

    pub(super) async fn hear_of_disk(self: Rc<Self>, syncs: Receiver<Write>) {
        while let Ok(Write { number, of, done }) = syncs.recv().await {
            let durable = done.recv().await.unwrap_or(false);
            if of != self.opened.get() {
                continue;
            }
            if let Some(voter) = &mut self.core.borrow_mut().voter {
                voter.write_completed(boottime(), number, durable);
            }
            self.carry();
            if !durable {
                self.opened.set(of + 1);
                self.disk_failed.notify(1);
            }
        }
    }
}

/// What a voter's folder holds.
fn promises(entries: Entries) -> Result<Promises, postcard::Error> {
    let mut all = Promises::default();
    for (key, value) in entries {
        if key == HEAD {
            let head: DurableHead = postcard::from_bytes(&value)?;
            all.apply(&StateChange { head, promises: Vec::new() });
        } else if key.starts_with(PROMISE) {
            let (job, fence): (Name, FencingToken) = postcard::from_bytes(&value)?;
            all.promises.insert(job, fence);
        }
    }
    Ok(all)
}
