//! A voter: it promises terms, each once, and answers only when that is durable.
//!
//! A voter whose folder lacks promises that it has made must not vote by it. How that is known: each promise it writes down is
//! counted, the others remember the count that they were told, and at its start a voter asks them. One that has forgotten
//! is let in anew by a majority of the others: it takes over the highest term of each job that they have promised, which
//! is at least that of every owner it had a part in, and has another *life* from then on; whoever let it in says so with
//! each of its own promises, so that a claimer counts no promise of the life before.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::message::{AcceptorReply, AcceptorRequest, RecoveryReply, RecoveryRequest, Rejection};
use crate::{
    majority, AcceptorSet, AcceptorSetId, FencingToken, LeaseTerms, Micros, Name, ProcessId, MAX_LEASES,
    MAX_NAME_BYTES, MILLISECOND,
};

/// Writes that wait for the disk at the most: what is claimed beyond that would wait longer than a claim is tried.
const MOST_WAITING: usize = 1_024;
/// Stands for a run in a promise that is nobody's: of that term nothing is promised any more. Runs are drawn from 64 bits.
const NOBODY: ProcessId = ProcessId(0);
/// How often a voter that starts asks the others.
const HELLO: Micros = 100 * MILLISECOND;

/// What a voter keeps in its folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// It has voted, or been let in: an empty folder is not that.
    pub is_initialized: bool,
    pub incarnation: u64,
    /// How often a promise was written down.
    pub write_count: u64,
    /// The highest promise of each job.
    pub promises: BTreeMap<Name, FencingToken>,
    /// What the other voters have told of themselves.
    pub peers: BTreeMap<Name, PeerRecord>,
    /// The voters that it counts by, and the highest number of them for which it promises nothing by earlier ones any more.
    pub acceptors: AcceptorSetId,
    pub frozen_epoch: u32,
}

/// What is to be written down: the head whole, and of the promises those that are new. So what a promise costs does not grow
/// with how many there are.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateChange {
    pub head: DurableHead,
    pub promises: Vec<(Name, FencingToken)>,
}

/// All that a voter keeps beside its promises.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableHead {
    pub is_initialized: bool,
    pub incarnation: u64,
    pub write_count: u64,
    pub peers: BTreeMap<Name, PeerRecord>,
    pub acceptors: AcceptorSetId,
    pub frozen_epoch: u32,
}

impl DurableState {
    /// What the folder holds once a change is in it.
    pub fn apply(&mut self, StateChange { head, promises }: &StateChange) {
        let DurableHead {
            is_initialized: founded,
            incarnation: life,
            write_count: writes,
            peers: others,
            acceptors: set,
            frozen_epoch: frozen,
        } = head.clone();
        (self.acceptors, self.frozen_epoch) = (set, frozen);
        (self.is_initialized, self.incarnation, self.write_count, self.peers) =
            (founded, life, writes, others);
        self.promises.extend(promises.iter().cloned());
    }

    fn head(&self) -> DurableHead {
        let DurableState {
            is_initialized: founded,
            incarnation: life,
            write_count: writes,
            peers: others,
            acceptors: set,
            frozen_epoch: frozen,
            ..
        } = self;
        let (founded, life, writes, others) = (*founded, *life, *writes, others.clone());
        DurableHead {
            is_initialized: founded,
            incarnation: life,
            write_count: writes,
            peers: others,
            acceptors: *set,
            frozen_epoch: *frozen,
        }
    }
}

/// What is remembered of another voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerRecord {
    pub write_count: u64,
    /// The least life of it that counts, and the start of it that was given that life here.
    pub incarnation: u64,
    pub start: Option<ProcessId>,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Make this durable, and call `synced` with the number once it is. Until then nothing that hangs on it is sent.
    Persist {
        number: u64,
        change: StateChange,
    },
    /// Answer a claimer, at the place that it asked from.
    Reply {
        to: ProcessId,
        reply: AcceptorReply,
    },
    /// Tell or ask another voter.
    Request {
        to: Name,
        request: AcceptorRequest,
    },
    PeerReply {
        to: Name,
        reply: AcceptorReply,
    },
    Event(Event),
}

/// What operators hear of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It votes from now on; `anew` where it had forgotten promises and was let in.
    StartedVoting { recovered: bool },
    /// Its folder lacks promises that it has made: it waits to be let in.
    LostPromises,
    /// Nothing can be made durable: it votes no more until it is started again.
    StorageFailed,
    /// It is no voter any more; it has told those after it what it had promised.
    Retired,
    /// Its folder counts by other voters than its configuration: by a later change of them, or by others of that number.
    DifferentAcceptors(AcceptorSetId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Standing {
    /// It has started, and asks the others.
    Asks {
        forgot: bool,
        known: BTreeMap<Name, RecoveryReply>,
    },
    Votes,
    /// It is among the voters no more.
    Retired,
    /// What it wrote could not be made durable.
    Broken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    fence: FencingToken,
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    me: Name,
    start: ProcessId,
    others: Vec<Name>,
    /// Voters before the last change, but this one; and whether this one was and is among them.
    former: Vec<Name>,
    voters: AcceptorSet,
    set: AcceptorSetId,
    /// It has yet to take over what was promised by the voters before, and has written down that it promises no more by them.
    carries: bool,
    frozen: bool,
    terms: LeaseTerms,
    durable: DurableState,
    standing: Standing,
    leases: BTreeMap<Name, Lease>,
    /// Until then it does not know who holds what it had promised before it started.
    quiet: Micros,
    /// The jobs that is so of, where its folder lacks nothing; else all that were ever promised.
    quiet_for: Option<BTreeSet<Name>>,
    next_hello: Micros,
    writes: u64,
    /// What is to be sent once a write is durable, in the order of the writes.
    waiting: VecDeque<(u64, Vec<Held>)>,
    out: VecDeque<Output>,
}

/// What waits for a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Held {
    Grant {
        to: ProcessId,
        job: Name,
        fence: FencingToken,
        number: u64,
    },
    Answer {
        to: Name,
        say: AcceptorReply,
    },
    Votes {
        anew: bool,
    },
    /// At the very first start.
    Founded,
    Frozen,
}

impl Acceptor {
    /// A process starts with what its folder holds. `voters` are all of them, this one too, unless it was one before their
    /// last change; `start` tells this start from any other.
    pub fn new(
        me: &Name,
        start: ProcessId,
        voters: &AcceptorSet,
        terms: LeaseTerms,
        durable: DurableState,
        now: Micros,
    ) -> Self {
        let but_me = |names: &[Name]| names.iter().filter(|name| *name != me).cloned().collect();
        let set = voters.id();
        let (known, founded) = (durable.acceptors, durable.is_initialized);
        // One that was away for a whole change was no part of what was promised then.
        let forgot = !founded || known.epoch + 1 < set.epoch;
        let carries = founded && known.epoch + 1 == set.epoch;
        let others: Vec<Name> = but_me(&voters.names);
        // What its folder never had it has never promised, and can have no part in.
        let quiet_for = (!forgot && !carries).then(|| durable.promises.keys().cloned().collect());
        let mut voter = Acceptor {
            former: but_me(&voters.previous_names),
            voters: voters.clone(),
            set,
            carries,
            frozen: false,
            me: me.clone(),
            start,
            others,
            terms,
            durable,
            standing: Standing::Asks { forgot, known: BTreeMap::new() },
            leases: BTreeMap::new(),
            quiet: now + terms.duration,
            quiet_for,
            next_hello: now,
            writes: 0,
            waiting: VecDeque::new(),
            out: VecDeque::new(),
        };
        // A change that has begun is to be finished: by the voters before nothing may be promised any more.
        let later = known.epoch.max(voter.durable.frozen_epoch) > set.epoch;
        if founded && (later || known.epoch == set.epoch && known != set) {
            voter.standing = Standing::Broken;
            voter.out.push_back(Output::Event(Event::DifferentAcceptors(known)));
        } else if carries {
            // From now on it promises nothing by the voters before, whatever becomes of the change.
            voter.durable.frozen_epoch = set.epoch;
            voter.durable.write_count += 1;
            voter.write(Vec::new(), vec![Held::Frozen]);
        }
        voter
    }

    pub fn is_voting(&self) -> bool {
        self.standing == Standing::Votes
    }

    /// It can't make promises durable, and makes none until it is started anew.
    pub fn has_failed(&self) -> bool {
        self.standing == Standing::Broken
    }

    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// Who holds a job as far as this voter knows, and for how long.
    pub fn holder(&self, now: Micros, job: &str) -> Option<(FencingToken, Micros)> {
        let lease = self.leases.get(job).filter(|lease| lease.until > now)?;
        Some((lease.fence, lease.until - now))
    }

    /// All jobs that this voter knows to be held, by whom and for how long.
    pub fn held_leases(&self, now: Micros) -> impl Iterator<Item = (&Name, FencingToken, Micros)> {
        let leases = self.leases.iter().filter(move |(_, lease)| lease.until > now);
        leases.map(move |(job, lease)| (job, lease.fence, lease.until - now))
    }

    pub fn next_deadline(&self) -> Option<Micros> {
        matches!(self.standing, Standing::Asks { .. }).then_some(self.next_hello)
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    pub fn handle_timeout(&mut self, now: Micros) {
        let Standing::Asks { forgot, .. } = &self.standing else { return };
        if now < self.next_hello {
            return;
        }
        self.next_hello = now + HELLO;
        let hello = RecoveryRequest {
            acceptor: self.me.clone(),
            start: self.start,
            write_count: self.durable.write_count,
            incarnation: self.durable.incarnation,
            lost_promises: *forgot && !self.empty(),
            is_empty: self.empty(),
        };
        for to in self.peers() {
            self.out.push_back(Output::Request { to, request: AcceptorRequest::Recover(hello.clone()) });
        }
        // One that is alone asks nobody.
        self.let_in();
    }

    /// All others that vote, or did before the last change.
    fn peers(&self) -> Vec<Name> {
        let mut all: Vec<Name> = self.others.iter().chain(&self.former).cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    fn is_peer(&self, name: &Name) -> bool {
        self.others.contains(name) || self.former.contains(name)
    }

    fn empty(&self) -> bool {
        !self.durable.is_initialized
    }

    /// A claimer, or another voter, asks something.
    pub fn handle_request(&mut self, now: Micros, from: ProcessId, ask: AcceptorRequest) {
        match ask {
            AcceptorRequest::Claim { lease: job, token: fence, round: number, acceptors: set } => {
                if let Err(why) = self.claim(now, from, &job, (fence, number), set) {
                    let say =
                        AcceptorReply::Rejected { lease: job, token: fence, round: number, reason: why };
                    self.out.push_back(Output::Reply { to: from, reply: say });
                }
            }
            AcceptorRequest::Release { lease: job, token: fence } => {
                // Whoever has a later term is not meant.
                if self.leases.get(&job).is_some_and(|lease| lease.fence == fence) {
                    self.leases.remove(&job);
                }
            }
            AcceptorRequest::Recover(hello) => self.hello(hello),
            AcceptorRequest::WriteCount { acceptor: of, write_count: writes, incarnation: life } => {
                self.wrote(&of, writes, life)
            }
        }
    }

    fn claim(
        &mut self,
        now: Micros,
        from: ProcessId,
        job: &Name,
        (fence, number): (FencingToken, u64),
        set: AcceptorSetId,
    ) -> Result<(), Rejection> {
        if !self.is_voting() || fence.process != from {
            return Err(Rejection::NotVoting);
        }
        // Danger: two owners of one term, by majorities of two sets that have nobody in common.
        if set != self.set {
            return Err(Rejection::DifferentAcceptors(self.set));
        }
        let promised = self.durable.promises.get(job).copied();
        match promised {
            Some(promise) if promise == fence => {
                self.grants(now, from, job, fence, number);
                return Ok(());
            }
            // Of one term there is one promise, whoever asks for it later.
            Some(promise) if promise.term >= fence.term => return Err(Rejection::HigherPromise(promise)),
            None if self.durable.promises.len() >= MAX_LEASES
                || job.is_empty()
                || job.len() > MAX_NAME_BYTES =>
            {
                return Err(Rejection::CapacityExceeded)
            }
            _ => {}
        }
        let lease =
            self.leases.get(job).filter(|lease| lease.fence.process != fence.process && lease.until > now);
        // Who held it when this voter started is not known: what it took over from others may be of one who never won.
        let unsure = self.quiet > now && self.quiet_for.as_ref().is_none_or(|jobs| jobs.contains(job));
        let quiet = promised.filter(|_| unsure).map(|promise| (self.quiet, promise));
        let lease = lease.map(|lease| (lease.until, lease.fence));
        if let Some((until, by)) = lease.max(quiet) {
            return Err(Rejection::HeldByOther { remaining: until - now, holder: by });
        }
        if self.waiting.len() >= MOST_WAITING {
            return Err(Rejection::Overloaded);
        }
        self.durable.promises.insert(job.clone(), fence);
        self.durable.write_count += 1;
        let held = Held::Grant { to: from, job: job.clone(), fence, number };
        self.write(vec![(job.clone(), fence)], vec![held]);
        Ok(())
    }

    /// Says yes, after what has to be durable for it; the lease counts from now.
    fn grants(&mut self, now: Micros, to: ProcessId, job: &Name, fence: FencingToken, number: u64) {
        // A write of this very promise may still be under way.
        let pending = self.waiting.iter_mut().find(|(_, held)| {
            held.iter().any(|held| matches!(held, Held::Grant { job: own, fence: its, .. } if own == job && *its == fence))
        });
        if pending.is_some() {
            return;
        }
        self.leases.insert(job.clone(), Lease { fence, until: now + self.terms.duration });
        let lives =
            self.durable.peers.iter().map(|(name, other)| (name.clone(), other.incarnation)).collect();
        let say = AcceptorReply::Granted {
            lease: job.clone(),
            token: fence,
            round: number,
            incarnation: self.durable.incarnation,
            incarnations: lives,
        };
        self.out.push_back(Output::Reply { to, reply: say });
    }

    fn write(&mut self, promises: Vec<(Name, FencingToken)>, held: Vec<Held>) {
        self.writes += 1;
        self.waiting.push_back((self.writes, held));
        let change = StateChange { head: self.durable.head(), promises };
        self.out.push_back(Output::Persist { number: self.writes, change });
    }

    /// All writes up to this number are durable; or they can't be made so.
    pub fn write_completed(&mut self, now: Micros, number: u64, durable: bool) {
        if !durable {
            // What was promised in memory was promised to nobody, but may be on the disk: only a start can tell.
            self.standing = Standing::Broken;
            self.waiting.clear();
            self.out.push_back(Output::Event(Event::StorageFailed));
            return;
        }
        while self.waiting.front().is_some_and(|(own, _)| *own <= number) {
            let Some((_, held)) = self.waiting.pop_front() else { return };
            for held in held {
                match held {
                    // A later promise may have taken its place; then this one is said to nobody.
                    Held::Grant { to, job, fence, number }
                        if self.durable.promises.get(&job) == Some(&fence) =>
                    {
                        self.grants(now, to, &job, fence, number);
                        self.tell_wrote();
                    }
                    Held::Grant { .. } => {}
                    Held::Answer { to, say } => self.out.push_back(Output::PeerReply { to, reply: say }),
                    Held::Frozen => self.frozen = true,
                    Held::Founded => {
                        self.quiet_for = Some(BTreeSet::new());
                        self.standing = Standing::Asks { forgot: false, known: BTreeMap::new() };
                        self.next_hello = now;
                    }
                    Held::Votes { .. } if !self.voters.names.contains(&self.me) => {
                        self.standing = Standing::Retired;
                        self.out.push_back(Output::Event(Event::Retired));
                    }
                    Held::Votes { anew } => {
                        self.standing = Standing::Votes;
                        self.quiet = now + self.terms.duration;
                        self.out.push_back(Output::Event(Event::StartedVoting { recovered: anew }));
                    }
                }
            }
        }
    }

    /// The others are to remember how much this voter has written: so a folder from before is found out.
    fn tell_wrote(&mut self) {
        for to in &self.others {
            let (writes, life) = (self.durable.write_count, self.durable.incarnation);
            let ask = AcceptorRequest::WriteCount {
                acceptor: self.me.clone(),
                write_count: writes,
                incarnation: life,
            };
            self.out.push_back(Output::Request { to: to.clone(), request: ask });
        }
    }

    // Starts.

    /// Another voter starts, and asks what is known here.
    fn hello(&mut self, hello: RecoveryRequest) {
        if !self.is_peer(&hello.acceptor) || self.standing == Standing::Broken {
            return;
        }
        let known = self.durable.peers.get(&hello.acceptor).cloned().unwrap_or_default();
        // Whoever is let in has a life that nobody has counted yet; from now on none before it counts here. One start is given
        // one life, however often it asks.
        let lost =
            (hello.lost_promises || hello.is_empty || known.write_count > hello.write_count) && !self.empty();
        let given = known.start == Some(hello.start);
        let mut next = known.clone();
        next.incarnation = known.incarnation.max(hello.incarnation);
        if lost && !given {
            next.incarnation += 1;
            next.start = Some(hello.start);
        }
        let say = AcceptorReply::Recovery(RecoveryReply {
            incarnation: next.incarnation,
            ..self.known(&hello.acceptor)
        });
        next.write_count = known.write_count.max(hello.write_count);
        let told = self.waiting.iter().any(|(_, held)| {
            held.iter().any(|held| matches!(held, Held::Answer { to, .. } if *to == hello.acceptor))
        });
        if lost && !given {
            // What it is told of its life must outlast this process.
            self.durable.peers.insert(hello.acceptor.clone(), next);
            self.write(Vec::new(), vec![Held::Answer { to: hello.acceptor, say }]);
        } else if !told {
            self.out.push_back(Output::PeerReply { to: hello.acceptor, reply: say });
        }
    }

    /// Another voter has answered, or was heard to have written so often.
    pub fn handle_peer_reply(&mut self, from: &Name, say: AcceptorReply) {
        let AcceptorReply::Recovery(known) = say else { return };
        if known.acceptor != self.me || !self.is_peer(from) {
            return;
        }
        let (writes, founded) = (self.durable.write_count, self.durable.is_initialized);
        let Standing::Asks { forgot, known: all } = &mut self.standing else {
            return self.raise(known.incarnation);
        };
        if founded && known.write_count > writes && !*forgot {
            *forgot = true;
            self.out.push_back(Output::Event(Event::LostPromises));
        }
        all.insert(from.clone(), known);
        self.let_in();
    }

    /// It was given another life while it was let in by others, who counted it for empty still. Its folder lacks nothing, so
    /// that it may be in any life; only what it promises in the latest counts.
    fn raise(&mut self, life: u64) {
        if self.is_voting() && life > self.durable.incarnation {
            self.durable.incarnation = life;
            self.durable.write_count += 1;
            self.write(Vec::new(), Vec::new());
        }
    }

    /// A voter's own word of how often it has written. Where it does not know its latest life it is told.
    fn wrote(&mut self, of: &Name, writes: u64, life: u64) {
        if !self.others.contains(of) {
            return;
        }
        let own = self.durable.peers.entry(of.clone()).or_default();
        own.write_count = own.write_count.max(writes);
        if life < own.incarnation {
            let known = self.known(of);
            self.out.push_back(Output::PeerReply { to: of.clone(), reply: AcceptorReply::Recovery(known) });
        }
    }

    /// What is known here of another voter, and promised.
    fn known(&self, of: &Name) -> RecoveryReply {
        let known = self.durable.peers.get(of).cloned().unwrap_or_default();
        let forgot = matches!(self.standing, Standing::Asks { forgot: true, .. });
        RecoveryReply {
            acceptor: of.clone(),
            write_count: known.write_count,
            incarnation: known.incarnation,
            is_initialized: self.durable.is_initialized
                && !self.waiting.iter().any(|(_, held)| held.iter().any(is_votes)),
            lost_promises: forgot,
            never_promised: self.durable.promises.is_empty(),
            acceptors: self.durable.acceptors,
            frozen_epoch: if self.carries && !self.frozen { 0 } else { self.durable.frozen_epoch },
            promises: self.durable.promises.clone(),
        }
    }

    fn let_in(&mut self) {
        let Standing::Asks { forgot, known } = &self.standing else { return };
        let (all, others) = (self.others.len() + 1, self.others.len());
        let sound = |own: &RecoveryReply| !own.lost_promises && own.is_initialized;
        let count = |wanted: &dyn Fn(&Name, &RecoveryReply) -> bool| {
            known.iter().filter(|(name, own)| wanted(name, own)).count()
        };
        let by_set = |name: &Name, own: &RecoveryReply| {
            self.others.contains(name) && sound(own) && own.acceptors == self.set
        };
        let sound_others = count(&by_set);
        let pristine = count(&|name, own| self.others.contains(name) && own.never_promised);
        // Nobody has ever promised anything: all must say so, as any who is not heard might have.
        let first = self.empty() && self.voters.epoch == 0 && pristine == others;
        // What it was part of, a majority of the others has a part in; or its folder lacks nothing that anybody knows of.
        let taught = sound_others >= majority(others) && others > 0;
        let intact = !*forgot && !self.carries && sound_others + 1 >= majority(all);
        // A majority of the voters before promises nothing by them any more, and says what it had promised: whatever they made
        // an owner of is among that.
        let was = usize::from(self.voters.previous_names.contains(&self.me));
        let frozen = |name: &Name, own: &RecoveryReply| {
            self.former.contains(name) && sound(own) && own.frozen_epoch >= self.set.epoch
        };
        let carried = self.carries
            && self.frozen
            && !*forgot
            && count(&frozen) + was >= majority(self.voters.previous_names.len());
        let intact = intact || carried;
        if !(first || taught || intact) || self.waiting.iter().any(|(_, held)| held.iter().any(is_votes)) {
            return;
        }
        let anew = *forgot;
        if anew {
            self.quiet_for = None;
        }
        (self.durable.acceptors, self.durable.frozen_epoch, self.carries) = (self.set, self.set.epoch, false);
        for known in known.values() {
            for (job, fence) in &known.promises {
                let own = self.durable.promises.entry(job.clone()).or_insert(*fence);
                if fence.term > own.term {
                    *own = *fence;
                } else if anew && fence.term == own.term && fence.process != own.process {
                    // Danger: it gave this term to one of the two, who owns the job by that, and can't know to whom. Where it
                    // has forgotten nothing its own promise is the one that it gave.
                    own.process = NOBODY;
                }
            }
            self.durable.write_count = self.durable.write_count.max(known.write_count);
            self.durable.incarnation = self.durable.incarnation.max(known.incarnation);
        }
        self.durable.is_initialized = true;
        self.durable.write_count += 1;
        let promises = self.durable.promises.clone().into_iter().collect();
        // Danger: one that promises while too few others are founded to let the rest in. It promises nothing before it has
        // heard that a majority is.
        self.write(promises, vec![if first { Held::Founded } else { Held::Votes { anew } }]);
    }
}

fn is_votes(held: &Held) -> bool {
    matches!(held, Held::Votes { .. } | Held::Founded)
}
