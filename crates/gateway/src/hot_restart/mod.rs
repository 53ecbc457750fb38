//! Hot restart in the gateway: exchanges records with the other processes of this gateway, and applies the resulting changes to
//! this process. The package `hot-restart` interprets the records and divides the limits.

mod seen_requests;

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::Sender;
use async_io::Timer;
use fernscale_hot_restart::directory::{Error, RecordDirectory, Records};
use fernscale_hot_restart::state::{Change, HotRestart, Micros, ProcessRecord, ProcessShare};
use fernscale_policy::{Id, RequestFingerprint};
use slog::{debug, info, warn};

use self::seen_requests::SeenRequests;
use crate::operator::Order;
use crate::shared::Shared;
use crate::transport::clock::micros;

/// Pause between two updates while there are other processes. Together with [`ALONE_UPDATE_INTERVAL`] it lets two processes agree
/// in less than half a second, as an operator's call is answered within one second.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two updates while there is no other process.
const ALONE_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// How long an operator's cordon waits for the other processes to acknowledge it.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Connects this process to the other processes of its gateway.
pub struct Link {
    shared: Rc<Shared>,
    orders: Sender<Order>,
    records: RecordDirectory,
    core: RefCell<HotRestart>,
    /// The record that was last written.
    published: RefCell<Option<ProcessRecord>>,
    seen_requests: RefCell<SeenRequests>,
    /// The fraction of the limits that was last sent to the dispatcher, 1 at first.
    fraction: Cell<f64>,
}

impl Link {
    /// Joins the processes that share a directory, and exchanges records with them from then on. `descriptors` is the number for
    /// the whole gateway. Danger: a process that the others can't see uses the whole of the limits, and so do the others. Joining
    /// is therefore retried until it succeeds, as the directory may be unavailable for a while.
    pub async fn join(shared: Rc<Shared>, directory: PathBuf, descriptors: usize, orders: Sender<Order>) {
        let link = loop {
            match Link::open(&shared, &directory, descriptors, orders.clone()) {
                Ok(link) => break Rc::new(link),
                Err(error) => {
                    warn!(shared.log, #"handover.none", "can't join the other processes of this gateway; continues as the only one and retries";
                        "why" => error.to_string());
                    Timer::after(ALONE_UPDATE_INTERVAL).await;
                }
            }
        };
        let _ = shared.hot_restart.set(link.clone());
        link.run().await;
    }

    fn open(
        shared: &Rc<Shared>,
        directory: &Path,
        descriptors: usize,
        orders: Sender<Order>,
    ) -> Result<Self, Error> {
        let records = RecordDirectory::open(directory)?;
        let core = RefCell::new(HotRestart::new(records.generation(), descriptors));
        let link = Link {
            shared: shared.clone(),
            orders,
            records,
            core,
            published: RefCell::default(),
            seen_requests: RefCell::default(),
            fraction: Cell::new(1.0),
        };
        // The log exists before another process can acknowledge this one, and follows it from then on.
        link.seen_requests.borrow_mut().write(&link.records)?;
        // The record is written before the others are read: of two processes that start at the same time, one sees the other.
        link.publish();
        Ok(link)
    }

    async fn run(self: Rc<Self>) {
        loop {
            self.update_state().await;
            let alone = self.core.borrow().is_alone();
            Timer::after(if alone { ALONE_UPDATE_INTERVAL } else { UPDATE_INTERVAL }).await;
        }
    }

    async fn update_state(&self) {
        let Records { others, errors } = self.records.read();
        for error in errors {
            warn!(self.shared.log, #"handover.refused", "can't use the record of another process"; "why" => error.to_string());
        }
        self.log_unseen(self.seen_requests.borrow_mut().follow(&self.records, &others));
        let held_descriptors = self.shared.limits.used_descriptors();
        let changes = self.core.borrow_mut().update(&others, held_descriptors, now());
        for change in changes {
            match change {
                Change::Cordoned(server) => self.send_cordon_order(&server, None).await,
                Change::Uncordoned(server, at) => self.send_cordon_order(&server, Some(at)).await,
                Change::Share(share) => self.apply_share(share).await,
            }
        }
        if self.publish() {
            // This process's record now contains the cordons of the processes that have ended.
            others
                .iter()
                .filter(|other| !other.is_alive)
                .for_each(|other| self.records.clear(other.generation));
        }
    }

    async fn send_cordon_order(&self, server: &str, uncordoned_at: Option<Micros>) {
        let cordoned = uncordoned_at.is_none();
        // The other process took the time from the wall clock, which may have been set since.
        let clock = &self.shared.clock;
        let uncordoned_at = uncordoned_at.map(|at| clock.now().saturating_sub(clock.min_age(at)));
        info!(self.shared.log, #"handover.word", "an operator has changed a cordon at another process"; "server" => server, "out" => cordoned);
        let _ = self
            .orders
            .send(Order::CordonFromProcess { server: Id::from(server), lifted_at: uncordoned_at })
            .await;
    }

    async fn apply_share(&self, share: ProcessShare) {
        let ProcessShare { fraction, processes, descriptors } = share;
        debug!(self.shared.log, #"handover.part", "share of the gateway's limits for this process"; "of_all" => fraction, "processes" => processes, "sockets" => descriptors);
        self.shared.limits.set_process_share(descriptors, processes);
        self.shared.limits_lowered.notify(1);
        // The number of descriptors changes all the time. The fraction is sent only if it has changed, as the dispatcher treats
        // each fraction that it receives as a new share.
        if self.fraction.replace(fraction) != fraction {
            let _ = self.orders.send(Order::ProcessShare(fraction)).await;
        }
    }

    /// Tells the other processes that a request has come that must not run twice, and returns the requests that have come to
    /// them since the last call. The request is written before theirs are read: of two processes that receive it at the same
    /// time, at least one knows of the other.
    pub fn announce_request(&self, request: RequestFingerprint) -> Vec<RequestFingerprint> {
        let mut seen_requests = self.seen_requests.borrow_mut();
        let written = seen_requests.add(&self.records, request);
        let (requests, errors) = seen_requests.take_new(&self.records);
        self.log_unseen(written.err().into_iter().chain(errors));
        requests
    }

    /// Logs that requests of this or another process are not known to the other yet.
    fn log_unseen(&self, errors: impl IntoIterator<Item = Error>) {
        for error in errors {
            warn!(self.shared.log, #"handover.unseen", "requests of one process are not known to another"; "why" => error.to_string());
        }
    }

    /// Writes this process's record if it has changed. Returns false, and logs the error, if it can't be written.
    fn publish(&self) -> bool {
        let record = self.core.borrow().record();
        if self.published.borrow().as_ref() == Some(&record) {
            return true;
        }
        match self.records.write(&record) {
            Ok(()) => {
                *self.published.borrow_mut() = Some(record);
                true
            }
            Err(error) => {
                warn!(self.shared.log, #"handover.untold", "can't write the record for the other processes"; "why" => error.to_string());
                false
            }
        }
    }

    /// Cordons or uncordons a server in all processes, and waits until they have acknowledged it. Returns false if they have not
    /// acknowledged it in time.
    pub async fn set_cordon(&self, server: &Id, cordoned: bool) -> bool {
        self.core.borrow_mut().set_cordon(server, cordoned, now());
        let (version, deadline) = (self.core.borrow().version(), Instant::now() + ACKNOWLEDGE_TIMEOUT);
        while !self.publish() || !self.core.borrow().is_acknowledged(version) {
            if Instant::now() >= deadline {
                return false;
            }
            Timer::after(UPDATE_INTERVAL).await;
        }
        true
    }

    /// Whether another process continues to run this gateway after this one ends.
    pub fn has_successor(&self) -> bool {
        self.core.borrow().has_successor()
    }

    /// Whether the other processes have acknowledged this one.
    pub fn is_settled(&self) -> bool {
        self.core.borrow().is_settled()
    }

    /// Publishes that this process accepts no more clients.
    pub fn begin_shutdown(&self) {
        self.core.borrow_mut().begin_shutdown();
        self.publish();
    }
}

fn now() -> Micros {
    micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
