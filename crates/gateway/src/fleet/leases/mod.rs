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

use acceptor_store::Write;

/// How often is looked at who is there.
const LOOK: Duration = Duration::from_millis(100);
/// A look that comes so late says that this process gets little of its machine; and for how long it is then taken for slow.
const LATE: Duration = Duration::from_millis(400);
const SLOW_FOR: Micros = 10_000_000;
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
    claimer: Candidate,
    roster: Candidacy,
    voter: Option<Acceptor>,
    /// Since when this process is slow, if it is.
    slow_until: Micros,
    /// Another gateway goes by this one's name, so that this one's promises would pass for the other's.
    doubled: bool,
    /// Its operators want it to own nothing.
    cordoned: bool,
}

pub struct Leases {
    me: Name,
    mesh: Rc<Membership>,
    host: HostHandle,
    settings: Settings,
    core: RefCell<Core>,
    durable: RefCell<Option<DurableStore>>,
    /// Numbers of writes, in their order, and whether each is durable.
    synced: Sender<Write>,
    /// How often the store was opened, or has failed.
    opened: Cell<u64>,
    disk_failed: Wake,
    trial: Cell<StoreFaults>,
    wake: Wake,
    ends: Cell<bool>,
}

impl Leases {
    /// Takes part from now on.
    pub fn start(host: &HostHandle, mesh: &Rc<Membership>, settings: Settings) -> Rc<Leases> {
        let peer = mesh.local();
        let (me, run) = (Name::from(peer.name), ProcessId(peer.instance.0));
        let claimer = Candidate::new(run, &settings.acceptors, settings.terms, rand::random());
        let roster = Candidacy::new(&me, settings.terms);
        let core = Core { claimer, roster, voter: None, slow_until: 0, doubled: false, cordoned: false };
        let (synced, syncs) = async_channel::unbounded();
        let owners = Rc::new(Leases {
            me,
            mesh: mesh.clone(),
            host: host.clone(),
            core: RefCell::new(core),
            durable: RefCell::default(),
            synced,
            opened: Cell::new(0),
            disk_failed: Wake::new(),
            trial: Cell::new(settings.store_faults),
            wake: Wake::new(),
            ends: Cell::new(false),
            settings,
        });
        let votes = owners.settings.acceptors.names.contains(&owners.me);
        info!(host.log(), #"owner.starts", "takes part in owning the fleet's jobs"; "votes" => votes,
            "voters" => owners.settings.acceptors.names.len(), "lease_ms" => owners.settings.terms.duration / 1_000,
            "run" => format!("{:016x}", run.0));
        let answers = owners.clone();
        mesh.set_responder(Channel::Lease, Box::new(move |question| answers.answer(question)));
        if votes || owners.settings.acceptors.previous_names.contains(&owners.me) {
            mesh.spawn_until_left(owners.clone().vote());
        }
        mesh.spawn_until_left(owners.clone().hear(mesh.subscribe(Channel::Lease)));
        mesh.spawn_until_left(owners.clone().hear_of_disk(syncs));
        mesh.spawn_until_left(owners.clone().keep_time());
        owners
    }

    // For those who do jobs.

    /// This gateway can do a job from now on. False: something else here does one of that name.
    pub fn register(&self, job: &Name) -> bool {
        let fresh = self.core.borrow_mut().roster.add(job);
        if !fresh {
            warn!(self.host.log(), #"owner.job-twice", "two parts of this gateway have a job of one name"; "job" => &**job);
        }
        self.wake.notify(1);
        fresh
    }

    /// Something to be done for the fleet, with the right to it; nothing where this gateway does not own the job now.
    pub fn authorize<T>(&self, job: &Name, what: T) -> Option<AuthorizedEffect<T>> {
        let core = self.core.borrow();
        Some(core.claimer.authorization(boottime(), job)?.authorize(what))
    }

    /// An effect was refused where it was to be taken in, as another owns the job by this fence.
    pub fn effect_rejected(&self, job: &Name, highest: FencingToken) {
        self.core.borrow_mut().claimer.effect_rejected(boottime(), job, highest);
        self.carry();
    }

    /// Another had better do this job: it goes to the next ones, if this gateway owns it.
    pub fn hand_over(&self, job: &Name) -> bool {
        let handed = {
            let core = &mut *self.core.borrow_mut();
            core.roster.release(boottime(), job, &mut core.claimer)
        };
        self.carry();
        handed
    }

    /// This gateway's place in a job's order.
    pub fn rank(&self, job: &Name) -> usize {
        self.core.borrow().roster.rank(job)
    }

    /// This gateway ends: others may have its jobs at once.
    pub fn shut_down(&self) {
        if !self.ends.replace(true) {
            let core = &mut *self.core.borrow_mut();
            core.roster.shut_down(boottime(), &mut core.claimer);
        }
        self.carry();
    }

    // Time.

    async fn keep_time(self: Rc<Self>) {
        let mut look = boottime();
        loop {
            let woken = self.wake.listen();
            let due = {
                let core = self.core.borrow();
                let voter = core.voter.as_ref().and_then(Acceptor::next_deadline);
                [voter, core.claimer.next_deadline()].into_iter().flatten().fold(look, Micros::min)
            };
            let wait = async {
                Timer::after(real_duration(due.saturating_sub(boottime()))).await;
            };
            future::or(wait, woken).await;
            let now = boottime();
            if now >= look {
                self.look(now, now - look);
                look = now + micros(LOOK);
            }
            {
                let core = &mut *self.core.borrow_mut();
                if let Some(voter) = &mut core.voter {
                    voter.handle_timeout(now);
                }
                core.claimer.handle_timeout(now);
            }
            self.carry();
        }
    }

    /// Who is there now, and whether this one had better leave the jobs to others.
    fn look(&self, now: Micros, late: Micros) {
        let live = self.mesh.live_peers();
        let core = &mut *self.core.borrow_mut();
        if late > micros(LATE) {
            core.slow_until = now + SLOW_FOR;
        }
        let own = self.mesh.local();
        let doubled = live.iter().any(|peer| peer.name == own.name && peer.address != own.address);
        if doubled && !core.doubled {
            let why = "another gateway goes by this one's name, and neither may vote by it";
            warn!(self.host.log(), #"owner.name-twice", "{}", why; "name" => own.name);
        }
        core.doubled = doubled;
        let unwilling = core.cordoned || now < core.slow_until || self.host.is_shutting_down();
        let mut all: Vec<Participant> = live
            .into_iter()
            .filter(|peer| *peer.name != *self.me)
            .map(|peer| Participant { name: peer.name.into(), unwilling: false })
            .collect();
        all.push(Participant { name: self.me.clone(), unwilling });
        all.sort_by(|one, other| one.name.cmp(&other.name));
        all.dedup_by(|one, other| one.name == other.name);
        core.roster.update(now, &all, &mut core.claimer);
    }
}
