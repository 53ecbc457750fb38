//! Jobs of the fleet: this gateway's part in promising them, if it is a voter, and in owning them. Letters go over the
//! mesh, promises to the store; who may own what the package `owner` decides.

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

/// How often is looked at who is there.
const PARTICIPANTS_INTERVAL: Duration = Duration::from_millis(100);
/// A look that comes so late says that this process gets little of its machine; and for how long it is then taken for slow.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(400);
const SLOW_DURATION: Micros = 10_000_000;
/// What an installation says of its jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The gateways whose promises make an owner, by their names.
    pub acceptors: AcceptorSet,
    pub terms: LeaseTerms,
    /// The list of servers is asked for by one.
    pub leases_endpoint_list: bool,
    /// Where a voter keeps its promises, and what is wrong there in trials.
    pub directory: Option<PathBuf>,
    pub store_faults: StoreFaults,
}

struct Core {
    candidate: Candidate,
    candidacy: Candidacy,
    acceptor: Option<Acceptor>,
    /// Since when this process is slow, if it is.
    slow_until: Micros,
    /// Another gateway goes by this one's name, so that this one's promises would pass for the other's.
    name_is_taken: bool,
    /// Its operators want it to own nothing.
    cordoned: bool,
}

pub struct Leases {
    name: Name,
    membership: Rc<Membership>,
    host: HostHandle,
    settings: Settings,
    core: RefCell<Core>,
    store: RefCell<Option<DurableStore>>,
    /// Numbers of writes, in their order, and whether each is durable.
    pending_writes: Sender<PendingWrite>,
    /// How often the store was opened, or has failed.
    store_opening: Cell<u64>,
    store_failed: Wake,
    store_faults: Cell<StoreFaults>,
    wake: Wake,
    is_shutting_down: Cell<bool>,
}

impl Leases {
    /// Takes part from now on.
    pub fn start(host: &HostHandle, membership: &Rc<Membership>, settings: Settings) -> Rc<Leases> {
        let peer = membership.local();
        let (name, process) = (Name::from(peer.name), ProcessId(peer.instance.0));
        let candidate = Candidate::new(process, &settings.acceptors, settings.terms, rand::random());
        let candidacy = Candidacy::new(&name, settings.terms);
        let core = Core {
            candidate,
            candidacy,
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
        let is_acceptor = leases.settings.acceptors.names.contains(&leases.name);
        info!(host.log(), #"owner.starts", "takes part in owning the fleet's jobs"; "votes" => is_acceptor,
            "voters" => leases.settings.acceptors.names.len(), "lease_ms" => leases.settings.terms.duration / 1_000,
            "run" => format!("{:016x}", process.0));
        let answers = leases.clone();
        membership.set_responder(Channel::Lease, Box::new(move |question| answers.reply_to_query(question)));
        if is_acceptor || leases.settings.acceptors.previous_names.contains(&leases.name) {
            membership.spawn_until_left(leases.clone().run_acceptor());
        }
        membership.spawn_until_left(leases.clone().receive_messages(membership.subscribe(Channel::Lease)));
        membership.spawn_until_left(leases.clone().report_completed_writes(writes));
        membership.spawn_until_left(leases.clone().run_timer());
        leases
    }

    // For those who do jobs.

    /// This gateway can do a job from now on. False: something else here does one of that name.
    pub fn register(&self, lease: &Name) -> bool {
        let fresh = self.core.borrow_mut().candidacy.add(lease);
        if !fresh {
            warn!(self.host.log(), #"owner.job-twice", "two parts of this gateway have a job of one name"; "job" => &**lease);
        }
        self.wake.notify(1);
        fresh
    }

    /// Something to be done for the fleet, with the right to it; nothing where this gateway does not own the job now.
    pub fn authorize<T>(&self, lease: &Name, effect: T) -> Option<AuthorizedEffect<T>> {
        let core = self.core.borrow();
        Some(core.candidate.authorization(boottime(), lease)?.authorize(effect))
    }

    /// An effect was refused where it was to be taken in, as another owns the job by this fence.
    pub fn effect_rejected(&self, lease: &Name, highest: FencingToken) {
        self.core.borrow_mut().candidate.effect_rejected(boottime(), lease, highest);
        self.drain_outputs();
    }

    /// Another had better do this job: it goes to the next ones, if this gateway owns it.
    pub fn hand_over(&self, lease: &Name) -> bool {
        let handed = {
            let core = &mut *self.core.borrow_mut();
            core.candidacy.release(boottime(), lease, &mut core.candidate)
        };
        self.drain_outputs();
        handed
    }

    /// This gateway's place in a job's order.
    pub fn rank(&self, lease: &Name) -> usize {
        self.core.borrow().candidacy.rank(lease)
    }

    /// This gateway ends: others may have its jobs at once.
    pub fn shut_down(&self) {
        if !self.is_shutting_down.replace(true) {
            let core = &mut *self.core.borrow_mut();
            core.candidacy.shut_down(boottime(), &mut core.candidate);
        }
        self.drain_outputs();
    }

    // Time.

    async fn run_timer(self: Rc<Self>) {
        let mut next_update = boottime();
        loop {
            let woken = self.wake.listen();
            let due = {
                let core = self.core.borrow();
                let acceptor = core.acceptor.as_ref().and_then(Acceptor::next_deadline);
                [acceptor, core.candidate.next_deadline()]
                    .into_iter()
                    .flatten()
                    .fold(next_update, Micros::min)
            };
            let wait = async {
                Timer::after(real_duration(due.saturating_sub(boottime()))).await;
            };
            future::or(wait, woken).await;
            let now = boottime();
            if now >= next_update {
                self.update_participants(now, now - next_update);
                next_update = now + micros(PARTICIPANTS_INTERVAL);
            }
            {
                let core = &mut *self.core.borrow_mut();
                if let Some(acceptor) = &mut core.acceptor {
                    acceptor.handle_timeout(now);
                }
                core.candidate.handle_timeout(now);
            }
            self.drain_outputs();
        }
    }

    /// Who is there now, and whether this one had better leave the jobs to others.
    fn update_participants(&self, now: Micros, late: Micros) {
        let live = self.membership.live_peers();
        let core = &mut *self.core.borrow_mut();
        if late > micros(MAX_TIMER_DELAY) {
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
        let mut all: Vec<Participant> = live
            .into_iter()
            .filter(|peer| *peer.name != *self.name)
            .map(|peer| Participant { name: peer.name.into(), unwilling: false })
            .collect();
        all.push(Participant { name: self.name.clone(), unwilling });
        all.sort_by(|one, other| one.name.cmp(&other.name));
        all.dedup_by(|one, other| one.name == other.name);
        core.candidacy.update(now, &all, &mut core.candidate);
    }
}
