//! The leases of the fleet: this gateway's acceptor, where it is in the acceptor set, and its candidate for each lease
//! that a part of it registers. This module carries messages over membership, writes promises to the store and keeps the
//! time; it never decides who holds a lease, which is the lease package's work.

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
use fernscale_lease::{AcceptorSet, FencingToken, LeaseTerms, Name, ProcessId};
use fernscale_membership::payload::Channel;
use fernscale_policy::Micros;
use futures_lite::future;
use slog::{info, warn};

use super::durable_store::{DurableStore, StoreFaults};
use super::host::HostHandle;
use super::membership::Membership;
use crate::transport::clock::{boottime, micros, real_duration};

use acceptor_store::PendingWrite;

/// Interval at which the participants are read from membership.
const PARTICIPANTS_INTERVAL: Duration = Duration::from_millis(100);
/// A timer that fires later than this shows that the process gets too little of its machine to hold leases.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(400);
/// How long a process counts as slow after such a delay, in microseconds.
const SLOW_DURATION: Micros = 10_000_000;

/// The section `[owner]` of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Names of the gateways whose promises grant a lease.
    pub acceptors: AcceptorSet,
    /// Duration of a lease and the clock drift that it allows for.
    pub terms: LeaseTerms,
    /// Whether one lease holder polls discovery for the whole fleet.
    pub leases_endpoint_list: bool,
    /// Directory of the acceptor's store; a gateway outside the acceptor set needs none.
    pub directory: Option<PathBuf>,
    /// Faults to inject into that store.
    pub store_faults: StoreFaults,
}

/// What the lease package keeps for this process.
struct Core {
    candidate: Candidate,
    candidacy: Candidacy,
    /// Nothing while the store is not open.
    acceptor: Option<Acceptor>,
    /// Until when this process counts as slow, in microseconds of `boottime`.
    slow_until: Micros,
    /// Whether another gateway has this one's name, so that the promises of the two could not be distinguished.
    name_is_taken: bool,
    /// Whether an operator wants this gateway to hold no lease where another can.
    cordoned: bool,
}

/// This gateway's acceptor and candidate, with the tasks that serve them.
pub struct Leases {
    name: Name,
    membership: Rc<Membership>,
    host: HostHandle,
    settings: Settings,
    core: RefCell<Core>,
    store: RefCell<Option<DurableStore>>,
    pending_writes: Sender<PendingWrite>,
    /// Counts openings of the store, so that a late write of an earlier one is left out.
    store_opening: Cell<u64>,
    store_failed: Wake,
    store_faults: Cell<StoreFaults>,
    /// Ends the sleep of the timer task.
    wake: Wake,
    is_shutting_down: Cell<bool>,
}

impl Leases {
    /// Starts the tasks of the subsystem. They run until this gateway leaves the membership.
    pub fn start(host: &HostHandle, membership: &Rc<Membership>, settings: Settings) -> Rc<Leases> {
        let peer = membership.local();
        let name = Name::from(peer.name);
        let process = ProcessId(peer.instance.0);
        let core = Core {
            candidate: Candidate::new(process, &settings.acceptors, settings.terms, rand::random()),
            candidacy: Candidacy::new(&name, settings.terms),
            acceptor: None,
            slow_until: 0,
            name_is_taken: false,
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
        info!(host.log(), #"owner.starts", "takes part in owning the fleet's jobs"; "votes" => is_acceptor,
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

    /// Makes this gateway a candidate for a lease from now on. False, with a log record, where another part of the gateway
    /// has registered the same name.
    pub fn register(&self, lease: &Name) -> bool {
        let is_new = self.core.borrow_mut().candidacy.add(lease);
        if !is_new {
            warn!(self.host.log(), #"owner.job-twice", "two parts of this gateway have a job of one name"; "job" => &**lease);
        }
        self.wake.notify(1);
        is_new
    }

    /// Joins an effect with the fencing token under which this gateway may carry it out; nothing where it does not hold
    /// the lease now.
    pub fn authorize<T>(&self, lease: &Name, effect: T) -> Option<AuthorizedEffect<T>> {
        let core = self.core.borrow();
        Some(core.candidate.authorization(boottime(), lease)?.authorize(effect))
    }

    /// Records that the receiver of an effect has rejected it, as it knows of a higher fencing token.
    pub fn effect_rejected(&self, lease: &Name, highest: FencingToken) {
        self.core.borrow_mut().candidate.effect_rejected(boottime(), lease, highest);
        self.drain_outputs();
    }

    /// Releases a lease in favour of the next candidates. False where this gateway does not hold it.
    pub fn hand_over(&self, lease: &Name) -> bool {
        let released = {
            let core = &mut *self.core.borrow_mut();
            core.candidacy.release(boottime(), lease, &mut core.candidate)
        };
        self.drain_outputs();
        released
    }

    /// This gateway's rank among the candidates for a lease, from 0.
    pub fn rank(&self, lease: &Name) -> usize {
        self.core.borrow().candidacy.rank(lease)
    }

    /// Releases all leases, so that others can hold them at once.
    pub fn shut_down(&self) {
        if !self.is_shutting_down.replace(true) {
            let core = &mut *self.core.borrow_mut();
            core.candidacy.shut_down(boottime(), &mut core.candidate);
        }
        self.drain_outputs();
    }

    async fn run_timer(self: Rc<Self>) {
        let mut next_update = boottime();
        loop {
            let woken = self.wake.listen();
            let deadline = self.core.borrow().next_deadline().map_or(next_update, |at| at.min(next_update));
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

    /// Reads from membership who takes part, and whether this gateway should leave the leases to others. `delay` is how
    /// late, in microseconds, the update runs.
    fn update_participants(&self, now: Micros, delay: Micros) {
        let live = self.membership.live_peers();
        let core = &mut *self.core.borrow_mut();
        if delay > micros(MAX_TIMER_DELAY) {
            core.slow_until = now + SLOW_DURATION;
        }
        let local = self.membership.local();
        let name_is_taken = live.iter().any(|peer| peer.name == local.name && peer.address != local.address);
        if name_is_taken && !core.name_is_taken {
            let reason = "another gateway goes by this one's name, and neither may vote by it";
            warn!(self.host.log(), #"owner.name-twice", "{}", reason; "name" => local.name);
        }
        core.name_is_taken = name_is_taken;
        let unwilling = core.cordoned || now < core.slow_until || self.host.is_shutting_down();
        let mut participants: Vec<Participant> = live
            .into_iter()
            .filter(|peer| *peer.name != *self.name)
            .map(|peer| Participant { name: peer.name.into(), unwilling: false })
            .collect();
        participants.push(Participant { name: self.name.clone(), unwilling });
        participants.sort_by(|one, other| one.name.cmp(&other.name));
        participants.dedup_by(|one, other| one.name == other.name);
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
