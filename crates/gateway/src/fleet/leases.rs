//! Jobs of the fleet: this gateway's part in promising them, if it is a voter, and in owning them. Letters go over the
//! mesh, promises to the store; who may own what the package `owner` decides.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use event_listener::Event as Wake;
use fernscale_lease::acceptor::{
    Acceptor, DurableHead, DurableState as Promises, Event as Voted, Output, StateChange,
};
use fernscale_lease::candidacy::Candidacy;
use fernscale_lease::candidate::{AuthorizedEffect, Candidate, Event as Owned, Output as Wants};
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::ranking::Participant;
use fernscale_lease::status::{AcceptorState, HeldLease, LeaseSummary, LeaseView, StatusQuery, StatusReply};
use fernscale_lease::{AcceptorSet, FencingToken, LeaseTerms, Name, ProcessId};
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_policy::Micros;
use fernscale_shared_counter::pn_counter::Instance;
use fernscale_store::{Batch, Error};
use futures_lite::{future, StreamExt};
use slog::{info, warn};

use super::durable_store::{DurableStore, Entries, StoreFaults};
use super::host::HostHandle;
use super::membership::Membership;
use crate::transport::clock::{boottime, micros, real_duration};

/// How often is looked at who is there.
const LOOK: Duration = Duration::from_millis(100);
/// A look that comes so late says that this process gets little of its machine; and for how long it is then taken for slow.
const LATE: Duration = Duration::from_millis(400);
const SLOW_FOR: Micros = 10_000_000;
/// How often the store is tried while another process of this gateway has it.
const AGAIN: Duration = Duration::from_millis(50);

/// And how soon after it has failed: whoever mends a disk need not start the gateway anew.
const REOPENED: Duration = Duration::from_secs(2);

/// The keys of a voter's space in the store.
const HEAD: &[u8] = b"owner/head";
const PROMISE: &[u8] = b"owner/promise/";

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

/// A write of a voter's, and whether it has become durable.
struct Write {
    number: u64,
    /// Of which opening of the store it is.
    of: u64,
    done: Receiver<bool>,
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

    // The disk.

    /// Opens the store as soon as no other process of this gateway has it, and votes by what it holds.
    async fn vote(self: Rc<Self>) {
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

    fn write(&self, number: u64, change: &StateChange) {
        let Some(durable) = &*self.durable.borrow() else { return };
        let bytes = |content: Result<Vec<u8>, postcard::Error>| content.unwrap_or_default();
        let mut batch = Batch::new().put(HEAD, &bytes(postcard::to_stdvec(&change.head)));
        for (job, fence) in &change.promises {
            batch =
                batch.put(&[PROMISE, job.as_bytes()].concat(), &bytes(postcard::to_stdvec(&(job, fence))));
        }
        let _ = self.synced.try_send(Write { number, of: self.opened.get(), done: durable.write(batch) });
    }

    async fn hear_of_disk(self: Rc<Self>, syncs: Receiver<Write>) {
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

    // Letters.

    async fn hear(self: Rc<Self>, came: Receiver<ReceivedPayload>) {
        let mut came = std::pin::pin!(came);
        while let Some(ReceivedPayload { sender: from, body, .. }) = came.next().await {
            let Ok(letter) = postcard::from_bytes::<Message>(&body) else {
                let why = "a letter about jobs that can't be read";
                warn!(self.host.log(), #"owner.unread", "{}", why; "peer" => &from.name);
                continue;
            };
            let (now, name, run) = (boottime(), Name::from(from.name), ProcessId(from.instance.0));
            let core = &mut *self.core.borrow_mut();
            match letter {
                Message::Request(ask) => {
                    if let Some(voter) = core.voter.as_mut().filter(|_| !core.doubled) {
                        voter.handle_request(now, run, ask);
                    }
                }
                Message::Reply(say @ AcceptorReply::Recovery(_)) => {
                    if let Some(voter) = &mut core.voter {
                        voter.handle_peer_reply(&name, say);
                    }
                }
                Message::Reply(say) => core.claimer.handle_reply(now, &name, say),
                Message::Released { lease: job, token: fence } => {
                    core.claimer.lease_released(now, &job, fence)
                }
                Message::Offer { lease: job } => {
                    core.roster.offer_received(now, &job, &name, &mut core.claimer)
                }
            }
            self.wake.notify(1);
        }
    }

    /// A letter that can't be sent now is as good as lost on the way.
    fn send(&self, to: &Name, letter: &Message) {
        let _ = self.mesh.send_to(to, Channel::Lease, postcard::to_stdvec(letter).unwrap_or_default());
    }

    /// Carries out what voter and claimer want.
    fn carry(&self) {
        let now = boottime();
        let mut events = VecDeque::new();
        loop {
            let core = &mut *self.core.borrow_mut();
            if let Some(output) = core.voter.as_mut().and_then(Acceptor::poll_output) {
                match output {
                    Output::Persist { number, change } => self.write(number, &change),
                    Output::Reply { to, reply: say } if to == core.claimer.process() => {
                        core.claimer.handle_reply(now, &self.me, say)
                    }
                    Output::Reply { to, reply: say } => {
                        let body = postcard::to_stdvec(&Message::Reply(say)).unwrap_or_default();
                        let _ = self.mesh.send_to_instance(Instance(to.0), Channel::Lease, body);
                    }
                    Output::Request { to, request: ask } => self.send(&to, &Message::Request(ask)),
                    Output::PeerReply { to, reply: say } => self.send(&to, &Message::Reply(say)),
                    Output::Event(event) => self.tell_voted(&event),
                }
            } else if let Some(wanted) = core.claimer.poll_output() {
                match wanted {
                    Wants::Request { to, request: ask } if to == self.me => {
                        let run = core.claimer.process();
                        if let Some(voter) = core.voter.as_mut().filter(|_| !core.doubled) {
                            voter.handle_request(now, run, ask);
                        }
                    }
                    Wants::Request { to, request: ask } => self.send(&to, &Message::Request(ask)),
                    Wants::Released { to, lease: job, token: fence } => {
                        self.send(&to, &Message::Released { lease: job, token: fence })
                    }
                    Wants::Offer { to, lease: job } => {
                        let body = postcard::to_stdvec(&Message::Offer { lease: job }).unwrap_or_default();
                        let _ = self.mesh.send_to_instance(Instance(to.0), Channel::Lease, body);
                    }
                    Wants::Event(event) => events.push_back(event),
                }
            } else {
                break;
            }
        }
        events.iter().for_each(|event| self.tell_owned(event));
    }

    fn tell_voted(&self, event: &Voted) {
        let log = self.host.log();
        match event {
            Voted::StartedVoting { recovered: anew } => {
                info!(log, #"owner.votes", "promises jobs from now on"; "anew" => anew)
            }
            Voted::Retired => info!(log, #"owner.retired", "is no voter any more"),
            Voted::DifferentAcceptors(set) => warn!(log, #"owner.other-voters",
                "the folder counts by other voters than the configuration; nothing is promised"; "change" => set.epoch),
            Voted::LostPromises => {
                warn!(log, #"owner.forgot", "the folder lacks promises; waits to be let in anew")
            }
            Voted::StorageFailed => {
                warn!(log, #"owner.broken", "promises can't be made durable; the store is opened anew")
            }
        }
    }

    fn tell_owned(&self, event: &Owned) {
        let log = self.host.log();
        let run = |fence: &FencingToken| format!("{:016x}", fence.process.0);
        match event {
            Owned::Acquired { lease: job, token: fence } => {
                info!(log, #"owner.owns", "owns a job of the fleet";
                "job" => &**job, "term" => fence.term, "run" => run(fence))
            }
            Owned::Lost { lease: job, token: fence } => warn!(log, #"owner.lost", "owns a job no more";
                "job" => &**job, "term" => fence.term, "run" => run(fence)),
            Owned::Released { lease: job, token: fence } => info!(log, #"owner.left", "has given a job back";
                "job" => &**job, "term" => fence.term, "run" => run(fence)),
        }
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

    // Operators.

    fn answer(&self, question: &[u8]) -> Option<Vec<u8>> {
        let answer = match postcard::from_bytes(question).ok()? {
            StatusQuery::Leases => StatusReply::Leases(self.view()),
            StatusQuery::Release(job) => StatusReply::Released(self.hand_over(&job)),
            StatusQuery::Cordon(on) => {
                self.core.borrow_mut().cordoned = on;
                info!(self.host.log(), #"owner.cordon", "an operator has this gateway own nothing, or calls it back"; "out" => on);
                StatusReply::Cordoned(on)
            }
        };
        self.wake.notify(1);
        postcard::to_stdvec(&answer).ok()
    }

    fn view(&self) -> LeaseView {
        let (core, now) = (self.core.borrow(), boottime());
        let is_voter = self.settings.acceptors.names.contains(&self.me);
        let votes = is_voter.then(|| match &core.voter {
            Some(voter) if voter.has_failed() || core.doubled => AcceptorState::NotVoting,
            Some(voter) if voter.is_voting() => AcceptorState::Voting,
            _ => AcceptorState::Recovering,
        });
        let jobs = core.claimer.lease_status(now).map(|own| LeaseSummary {
            rank: core.roster.rank(&own.lease) as u32,
            held: own.held.map(|(fence, since, left)| (fence, (now - since) / 1_000, left / 1_000)),
            rejections: own.rejections,
            last_rejection: own.last_rejection.map(|why| why.to_string()),
            lease: own.lease,
        });
        let held = core.voter.iter().flat_map(|voter| voter.held_leases(now));
        let held = held.map(|(job, by, left)| HeldLease {
            lease: job.clone(),
            holder: by,
            remaining_ms: left / 1_000,
        });
        let me = self.mesh.local();
        let live = self.mesh.live_peers().into_iter().chain([me]);
        LeaseView {
            gateway: self.me.clone(),
            acceptor: votes,
            cordoned: core.cordoned,
            leases: jobs.collect(),
            held: held.collect(),
            processes: live.map(|peer| (peer.name.into(), peer.instance.0)).collect(),
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
