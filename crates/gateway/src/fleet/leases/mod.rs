//! The leases of the fleet: this gateway's acceptor, if the gateway is in the acceptor set, and its candidate for the
//! registered leases. This module sends messages over the membership, writes promises to the store and runs timers. The
//! lease package decides which gateway holds a lease.

mod acceptor_store;
mod log;
mod messages;
mod status;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use event_listener::Event as Wake;
use fernscale_lease::acceptor::Acceptor;
use fernscale_lease::candidacy::Candidacy;
use fernscale_lease::candidate::{AuthorizedEffect, Candidate};
use fernscale_lease::ranking::Participant;
use fernscale_lease::{AcceptorSet, FencingToken, LeaseSettings, Name, ProcessId};
use fernscale_membership::payload::Channel;
use fernscale_policy::Micros;
use futures_lite::future;
use slog::{info, warn};

use super::durable_store::{DurableStore, StoreFaults};
use super::host::HostHandle;
use super::membership::Membership;
use crate::transport::clock::{boottime, micros, real_duration};

use acceptor_store::PendingWrite;

/// Interval at which the participants are read from the membership.
const PARTICIPANTS_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum delay of a timer. A longer delay shows that the process gets too little CPU time to hold leases.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(400);
/// How long the process counts as slow after a delay above [`MAX_TIMER_DELAY`], in microseconds.
const SLOW_DURATION: Micros = 10_000_000;

/// The section `[owner]` of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The gateways whose promises grant a lease.
    pub acceptors: AcceptorSet,
    /// Duration of a lease, and the clock drift that the lease allows for.
    pub terms: LeaseSettings,
    /// Whether a lease holder polls discovery for the whole fleet.
    pub leases_endpoint_list: bool,
    /// Directory of the acceptor's store. A gateway outside the acceptor set needs none.
    pub directory: Option<PathBuf>,
    /// Faults that tests inject into the store.
    pub store_faults: StoreFaults,
}

/// The state machines of the lease package for this process, and the conditions that make it leave leases to other
/// gateways.
struct Core {
    candidate: Candidate,
    candidacy: Candidacy,
    /// `None` while the store is not open.
    acceptor: Option<Acceptor>,
    /// Time until which this process counts as slow, in microseconds of `boottime`.
    slow_until: Micros,
    /// Whether another gateway has the same name, so that the promises of the two gateways could not be distinguished.
    has_duplicate_name: bool,
    /// Whether an operator has cordoned this gateway: it holds no lease that another gateway can hold.
    cordoned: bool,
}

/// This gateway's acceptor and candidate, and the tasks that drive them.
pub struct Leases {
    name: Name,
    membership: Rc<Membership>,
    host: HostHandle,
    settings: Settings,
    core: RefCell<Core>,
    store: RefCell<Option<DurableStore>>,
    pending_writes: Sender<PendingWrite>,
    /// Number of the current opening of the store. Results of writes to an earlier opening are ignored.
    store_opening: Cell<u64>,
    /// Notified when a write to the store has failed.
    store_failed: Wake,
    store_faults: Cell<StoreFaults>,
    /// Ends the sleep of the timer task.
    wake: Wake,
    is_shutting_down: Cell<bool>,
}

impl Leases {
    /// Starts the tasks of the subsystem, which run until this gateway leaves the membership.
    pub fn start(host: &HostHandle, membership: &Rc<Membership>, settings: Settings) -> Rc<Leases> {
        let peer = membership.local();
        let name = Name::from(peer.name);
        let process = ProcessId(peer.instance.0);
        let core = Core {
            candidate: Candidate::new(process, &settings.acceptors, settings.terms, rand::random()),
            candidacy: Candidacy::new(&name, settings.terms),
            acceptor: None,
            slow_until: 0,
            has_duplicate_name: false,
            cordoned: false,
        };
        let (pending_writes, writes) = async_channel::unbounded();
        let leases = Rc::new(Leases {
            name,
            membership: membership.clone(),
            host: host.clone(),
            core: RefCell::new(core),
            store: RefCell::default(),
            pending_writes,
            store_opening: Cell::new(0),
            store_failed: Wake::new(),
            store_faults: Cell::new(settings.store_faults),
            wake: Wake::new(),
            is_shutting_down: Cell::new(false),
            settings,
        });
        let acceptors = &leases.settings.acceptors;
        let is_acceptor = acceptors.names.contains(&leases.name);
        info!(host.log(), #"owner.starts", "takes part in the fleet's leases"; "votes" => is_acceptor,
            "voters" => acceptors.names.len(), "lease_ms" => leases.settings.terms.duration / 1_000,
            "run" => format!("{:016x}", process.0));
        let responder = leases.clone();
        membership.set_responder(Channel::Lease, Box::new(move |query| responder.reply_to_query(query)));
        if is_acceptor || acceptors.previous_names.contains(&leases.name) {
            membership.spawn_until_left(leases.clone().run_acceptor());
        }
        let payloads = membership.subscribe(Channel::Lease);
        membership.spawn_until_left(leases.clone().receive_messages(payloads));
        membership.spawn_until_left(leases.clone().report_completed_writes(writes));
        membership.spawn_until_left(leases.clone().run_timer());
        leases
    }

    /// Makes this gateway a candidate for a lease. If another part of the gateway has registered the same lease name, logs a
    /// warning and returns false.
    pub fn register(&self, lease: &Name) -> bool {
        let is_new = self.core.borrow_mut().candidacy.add(lease);
        if !is_new {
            warn!(self.host.log(), #"owner.job-twice", "two parts of this gateway registered a lease of the same name"; "job" => &**lease);
        }
        self.wake.notify(1);
        is_new
    }

    /// Combines an effect with the fencing token that authorizes it. Returns `None` if this gateway does not hold the lease.
    pub fn authorize<T>(&self, lease: &Name, effect: T) -> Option<AuthorizedEffect<T>> {
        let core = self.core.borrow();
        Some(core.candidate.authorization(boottime(), lease)?.authorize(effect))
    }

    /// Records that the receiver of an effect rejected the effect because it knows a higher fencing token.
    pub fn effect_rejected(&self, lease: &Name, highest: FencingToken) {
        self.core.borrow_mut().candidate.effect_rejected(boottime(), lease, highest);
        self.drain_outputs();
    }

    /// Releases a lease in favour of the next candidates. Returns false if this gateway does not hold the lease.
    pub fn hand_over(&self, lease: &Name) -> bool {
        let released = {
            let core = &mut *self.core.borrow_mut();
            core.candidacy.release(boottime(), lease, &mut core.candidate)
        };
        self.drain_outputs();
        released
    }

    /// This gateway's rank among the candidates for a lease, starting at 0.
    pub fn rank(&self, lease: &Name) -> usize {
        self.core.borrow().candidacy.rank(lease)
    }

    /// Releases all leases, so that other gateways can hold them without waiting for them to expire.
    pub fn shut_down(&self) {
        if !self.is_shutting_down.replace(true) {
            let core = &mut *self.core.borrow_mut();
            core.candidacy.shut_down(boottime(), &mut core.candidate);
        }
        self.drain_outputs();
    }

    /// Handles timeouts and updates the participants.
    async fn run_timer(self: Rc<Self>) {
        let mut next_update = boottime();
        loop {
            let woken = self.wake.listen();
            let deadline =
                self.core.borrow().next_deadline().map_or(next_update, |deadline| deadline.min(next_update));
            let sleep = async {
                Timer::after(real_duration(deadline.saturating_sub(boottime()))).await;
            };
            future::or(sleep, woken).await;
            let now = boottime();
            if now >= next_update {
                self.update_participants(now, now - next_update);
                next_update = now + micros(PARTICIPANTS_INTERVAL);
            }
            self.core.borrow_mut().handle_timeout(now);
            self.drain_outputs();
        }
    }

    /// Reads the participants from the membership, and determines whether this gateway should leave the leases to other
    /// gateways. `delay` is the delay of this update, in microseconds.
    fn update_participants(&self, now: Micros, delay: Micros) {
        let live_peers = self.membership.live_peers();
        let core = &mut *self.core.borrow_mut();
        if delay > micros(MAX_TIMER_DELAY) {
            core.slow_until = now + SLOW_DURATION;
        }
        let local = self.membership.local();
        let has_duplicate_name =
            live_peers.iter().any(|peer| peer.name == local.name && peer.address != local.address);
        if has_duplicate_name && !core.has_duplicate_name {
            let reason = "another gateway has the same name; neither acceptor may vote";
            warn!(self.host.log(), #"owner.name-twice", "{}", reason; "name" => local.name);
        }
        core.has_duplicate_name = has_duplicate_name;
        let unwilling = core.cordoned || now < core.slow_until || self.host.is_shutting_down();
        let mut participants: Vec<Participant> = live_peers
            .into_iter()
            .filter(|peer| *peer.name != *self.name)
            .map(|peer| Participant { name: peer.name.into(), unwilling: false })
            .collect();
        participants.push(Participant { name: self.name.clone(), unwilling });
        participants.sort_by(|first, second| first.name.cmp(&second.name));
        participants.dedup_by(|first, second| first.name == second.name);
        core.candidacy.update(now, &participants, &mut core.candidate);
    }
}

impl Core {
    fn next_deadline(&self) -> Option<Micros> {
        let acceptor = self.acceptor.as_ref().and_then(Acceptor::next_deadline);
        [acceptor, self.candidate.next_deadline()].into_iter().flatten().min()
    }

    fn handle_timeout(&mut self, now: Micros) {
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.handle_timeout(now);
        }
        self.candidate.handle_timeout(now);
    }
}
