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
const MAX_PENDING_WRITES: usize = 1_024;
/// Stands for a run in a promise that is nobody's: of that term nothing is promised any more. Runs are drawn from 64 bits.
const NO_PROCESS: ProcessId = ProcessId(0);
/// How often a voter that starts asks the others.
const RECOVERY_INTERVAL: Micros = 100 * MILLISECOND;

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
        let DurableHead { is_initialized, incarnation, write_count, peers, acceptors, frozen_epoch } =
            head.clone();
        (self.acceptors, self.frozen_epoch) = (acceptors, frozen_epoch);
        (self.is_initialized, self.incarnation, self.write_count, self.peers) =
            (is_initialized, incarnation, write_count, peers);
        self.promises.extend(promises.iter().cloned());
    }

    fn head(&self) -> DurableHead {
        let DurableState { is_initialized, incarnation, write_count, peers, acceptors, frozen_epoch, .. } =
            self;
        let (is_initialized, incarnation, write_count, peers) =
            (*is_initialized, *incarnation, *write_count, peers.clone());
        DurableHead {
            is_initialized,
            incarnation,
            write_count,
            peers,
            acceptors: *acceptors,
            frozen_epoch: *frozen_epoch,
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
enum State {
    /// It has started, and asks the others.
    Recovering {
        lost_promises: bool,
        known: BTreeMap<Name, RecoveryReply>,
    },
    Voting,
    /// It is among the voters no more.
    Retired,
    /// What it wrote could not be made durable.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    token: FencingToken,
    expires_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    name: Name,
    start: ProcessId,
    others: Vec<Name>,
    /// Voters before the last change, but this one; and whether this one was and is among them.
    previous: Vec<Name>,
    acceptors: AcceptorSet,
    acceptor_set: AcceptorSetId,
    /// It has yet to take over what was promised by the voters before, and has written down that it promises no more by them.
    adopts_previous: bool,
    previous_epoch_stopped: bool,
    terms: LeaseTerms,
    durable: DurableState,
    state: State,
    leases: BTreeMap<Name, GrantedLease>,
    /// Until then it does not know who holds what it had promised before it started.
    uncertain_until: Micros,
    /// The jobs that is so of, where its folder lacks nothing; else all that were ever promised.
    uncertain_leases: Option<BTreeSet<Name>>,
    next_recovery_request: Micros,
    write_number: u64,
    /// What is to be sent once a write is durable, in the order of the writes.
    pending_writes: VecDeque<(u64, Vec<Deferred>)>,
    outputs: VecDeque<Output>,
}

/// What waits for a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Deferred {
    Grant {
        to: ProcessId,
        lease: Name,
        token: FencingToken,
        round: u64,
    },
    PeerReply {
        to: Name,
        reply: AcceptorReply,
    },
    StartVoting {
        recovered: bool,
    },
    /// At the very first start.
    Initialized,
    StopPreviousEpoch,
}

impl Acceptor {
    /// A process starts with what its folder holds. `voters` are all of them, this one too, unless it was one before their
    /// last change; `start` tells this start from any other.
    pub fn new(
        name: &Name,
        start: ProcessId,
        acceptors: &AcceptorSet,
        terms: LeaseTerms,
        durable: DurableState,
        now: Micros,
    ) -> Self {
        let without_self = |names: &[Name]| names.iter().filter(|other| *other != name).cloned().collect();
        let acceptor_set = acceptors.id();
        let (known, is_initialized) = (durable.acceptors, durable.is_initialized);
        // One that was away for a whole change was no part of what was promised then.
        let lost_promises = !is_initialized || known.epoch + 1 < acceptor_set.epoch;
        let adopts_previous = is_initialized && known.epoch + 1 == acceptor_set.epoch;
        let peers: Vec<Name> = without_self(&acceptors.names);
        // What its folder never had it has never promised, and can have no part in.
        let uncertain_leases =
            (!lost_promises && !adopts_previous).then(|| durable.promises.keys().cloned().collect());
        let mut acceptor = Acceptor {
            previous: without_self(&acceptors.previous_names),
            acceptors: acceptors.clone(),
            acceptor_set,
            adopts_previous,
            previous_epoch_stopped: false,
            name: name.clone(),
            start,
            others: peers,
            terms,
            durable,
            state: State::Recovering { lost_promises, known: BTreeMap::new() },
            leases: BTreeMap::new(),
            uncertain_until: now + terms.duration,
            uncertain_leases,
            next_recovery_request: now,
            write_number: 0,
            pending_writes: VecDeque::new(),
            outputs: VecDeque::new(),
        };
        // A change that has begun is to be finished: by the voters before nothing may be promised any more.
        let later = known.epoch.max(acceptor.durable.frozen_epoch) > acceptor_set.epoch;
        if is_initialized && (later || known.epoch == acceptor_set.epoch && known != acceptor_set) {
            acceptor.state = State::Failed;
            acceptor.outputs.push_back(Output::Event(Event::DifferentAcceptors(known)));
        } else if adopts_previous {
            // From now on it promises nothing by the voters before, whatever becomes of the change.
            acceptor.durable.frozen_epoch = acceptor_set.epoch;
            acceptor.durable.write_count += 1;
            acceptor.persist(Vec::new(), vec![Deferred::StopPreviousEpoch]);
        }
        acceptor
    }

    pub fn is_voting(&self) -> bool {
        self.state == State::Voting
    }

    /// It can't make promises durable, and makes none until it is started anew.
    pub fn has_failed(&self) -> bool {
        self.state == State::Failed
    }

    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// Who holds a job as far as this voter knows, and for how long.
    pub fn holder(&self, now: Micros, lease: &str) -> Option<(FencingToken, Micros)> {
        let granted = self.leases.get(lease).filter(|granted| granted.expires_at > now)?;
        Some((granted.token, granted.expires_at - now))
    }

    /// All jobs that this voter knows to be held, by whom and for how long.
    pub fn held_leases(&self, now: Micros) -> impl Iterator<Item = (&Name, FencingToken, Micros)> {
        let leases = self.leases.iter().filter(move |(_, granted)| granted.expires_at > now);
        leases.map(move |(lease, granted)| (lease, granted.token, granted.expires_at - now))
    }

    pub fn next_deadline(&self) -> Option<Micros> {
        matches!(self.state, State::Recovering { .. }).then_some(self.next_recovery_request)
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    pub fn handle_timeout(&mut self, now: Micros) {
        let State::Recovering { lost_promises, .. } = &self.state else { return };
        if now < self.next_recovery_request {
            return;
        }
        self.next_recovery_request = now + RECOVERY_INTERVAL;
        let request = RecoveryRequest {
            acceptor: self.name.clone(),
            start: self.start,
            write_count: self.durable.write_count,
            incarnation: self.durable.incarnation,
            lost_promises: *lost_promises && !self.is_empty(),
            is_empty: self.is_empty(),
        };
        for to in self.peers() {
            self.outputs
                .push_back(Output::Request { to, request: AcceptorRequest::Recover(request.clone()) });
        }
        // One that is alone asks nobody.
        self.try_start_voting();
    }

    /// All others that vote, or did before the last change.
    fn peers(&self) -> Vec<Name> {
        let mut all: Vec<Name> = self.others.iter().chain(&self.previous).cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    fn is_peer(&self, name: &Name) -> bool {
        self.others.contains(name) || self.previous.contains(name)
    }

    fn is_empty(&self) -> bool {
        !self.durable.is_initialized
    }

    /// A claimer, or another voter, asks something.
    pub fn handle_request(&mut self, now: Micros, from: ProcessId, request: AcceptorRequest) {
        match request {
            AcceptorRequest::Claim { lease, token, round, acceptors: acceptor_set } => {
                if let Err(reason) = self.handle_claim(now, from, &lease, (token, round), acceptor_set) {
                    let reply = AcceptorReply::Rejected { lease, token, round, reason };
                    self.outputs.push_back(Output::Reply { to: from, reply });
                }
            }
            AcceptorRequest::Release { lease, token } => {
                // Whoever has a later term is not meant.
                if self.leases.get(&lease).is_some_and(|granted| granted.token == token) {
                    self.leases.remove(&lease);
                }
            }
            AcceptorRequest::Recover(request) => self.handle_recovery_request(request),
            AcceptorRequest::WriteCount { acceptor: of, write_count, incarnation } => {
                self.handle_write_count(&of, write_count, incarnation)
            }
        }
    }

    fn handle_claim(
        &mut self,
        now: Micros,
        from: ProcessId,
        lease: &Name,
        (token, round): (FencingToken, u64),
        acceptor_set: AcceptorSetId,
    ) -> Result<(), Rejection> {
        if !self.is_voting() || token.process != from {
            return Err(Rejection::NotVoting);
        }
        // Danger: two owners of one term, by majorities of two sets that have nobody in common.
        if acceptor_set != self.acceptor_set {
            return Err(Rejection::DifferentAcceptors(self.acceptor_set));
        }
        let promised = self.durable.promises.get(lease).copied();
        match promised {
            Some(promise) if promise == token => {
                self.grant(now, from, lease, token, round);
                return Ok(());
            }
            // Of one term there is one promise, whoever asks for it later.
            Some(promise) if promise.term >= token.term => return Err(Rejection::HigherPromise(promise)),
            None if self.durable.promises.len() >= MAX_LEASES
                || lease.is_empty()
                || lease.len() > MAX_NAME_BYTES =>
            {
                return Err(Rejection::CapacityExceeded)
            }
            _ => {}
        }
        let other_holder = self
            .leases
            .get(lease)
            .filter(|granted| granted.token.process != token.process && granted.expires_at > now);
        // Who held it when this voter started is not known: what it took over from others may be of one who never won.
        let unsure = self.uncertain_until > now
            && self.uncertain_leases.as_ref().is_none_or(|leases| leases.contains(lease));
        let uncertain = promised.filter(|_| unsure).map(|promise| (self.uncertain_until, promise));
        let other_holder = other_holder.map(|granted| (granted.expires_at, granted.token));
        if let Some((until, by)) = other_holder.max(uncertain) {
            return Err(Rejection::HeldByOther { remaining: until - now, holder: by });
        }
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            return Err(Rejection::Overloaded);
        }
        self.durable.promises.insert(lease.clone(), token);
        self.durable.write_count += 1;
        let deferred = Deferred::Grant { to: from, lease: lease.clone(), token, round };
        self.persist(vec![(lease.clone(), token)], vec![deferred]);
        Ok(())
    }

    /// Says yes, after what has to be durable for it; the lease counts from now.
    fn grant(&mut self, now: Micros, to: ProcessId, lease: &Name, token: FencingToken, round: u64) {
        // A write of this very promise may still be under way.
        let under_way = self.pending_writes.iter_mut().find(|(_, deferred)| {
            deferred.iter().any(|deferred| matches!(deferred, Deferred::Grant { lease: own, token: pending, .. } if own == lease && *pending == token))
        });
        if under_way.is_some() {
            return;
        }
        self.leases.insert(lease.clone(), GrantedLease { token, expires_at: now + self.terms.duration });
        let incarnations =
            self.durable.peers.iter().map(|(name, other)| (name.clone(), other.incarnation)).collect();
        let reply = AcceptorReply::Granted {
            lease: lease.clone(),
            token,
            round,
            incarnation: self.durable.incarnation,
            incarnations,
        };
        self.outputs.push_back(Output::Reply { to, reply });
    }

    fn persist(&mut self, promises: Vec<(Name, FencingToken)>, deferred: Vec<Deferred>) {
        self.write_number += 1;
        self.pending_writes.push_back((self.write_number, deferred));
        let change = StateChange { head: self.durable.head(), promises };
        self.outputs.push_back(Output::Persist { number: self.write_number, change });
    }

    /// All writes up to this number are durable; or they can't be made so.
    pub fn write_completed(&mut self, now: Micros, number: u64, durable: bool) {
        if !durable {
            // What was promised in memory was promised to nobody, but may be on the disk: only a start can tell.
            self.state = State::Failed;
            self.pending_writes.clear();
            self.outputs.push_back(Output::Event(Event::StorageFailed));
            return;
        }
        while self.pending_writes.front().is_some_and(|(own, _)| *own <= number) {
            let Some((_, deferred)) = self.pending_writes.pop_front() else { return };
            for deferred in deferred {
                match deferred {
                    // A later promise may have taken its place; then this one is said to nobody.
                    Deferred::Grant { to, lease, token, round }
                        if self.durable.promises.get(&lease) == Some(&token) =>
                    {
                        self.grant(now, to, &lease, token, round);
                        self.announce_write_count();
                    }
                    Deferred::Grant { .. } => {}
                    Deferred::PeerReply { to, reply } => {
                        self.outputs.push_back(Output::PeerReply { to, reply })
                    }
                    Deferred::StopPreviousEpoch => self.previous_epoch_stopped = true,
                    Deferred::Initialized => {
                        self.uncertain_leases = Some(BTreeSet::new());
                        self.state = State::Recovering { lost_promises: false, known: BTreeMap::new() };
                        self.next_recovery_request = now;
                    }
                    Deferred::StartVoting { .. } if !self.acceptors.names.contains(&self.name) => {
                        self.state = State::Retired;
                        self.outputs.push_back(Output::Event(Event::Retired));
                    }
                    Deferred::StartVoting { recovered } => {
                        self.state = State::Voting;
                        self.uncertain_until = now + self.terms.duration;
                        self.outputs.push_back(Output::Event(Event::StartedVoting { recovered }));
                    }
                }
            }
        }
    }

    /// The others are to remember how much this voter has written: so a folder from before is found out.
    fn announce_write_count(&mut self) {
        for to in &self.others {
            let (write_count, incarnation) = (self.durable.write_count, self.durable.incarnation);
            let request =
                AcceptorRequest::WriteCount { acceptor: self.name.clone(), write_count, incarnation };
            self.outputs.push_back(Output::Request { to: to.clone(), request });
        }
    }

    // Starts.

    /// Another voter starts, and asks what is known here.
    fn handle_recovery_request(&mut self, request: RecoveryRequest) {
        if !self.is_peer(&request.acceptor) || self.state == State::Failed {
            return;
        }
        let known = self.durable.peers.get(&request.acceptor).cloned().unwrap_or_default();
        // Whoever is let in has a life that nobody has counted yet; from now on none before it counts here. One start is given
        // one life, however often it asks.
        let lost = (request.lost_promises || request.is_empty || known.write_count > request.write_count)
            && !self.is_empty();
        let given = known.start == Some(request.start);
        let mut next = known.clone();
        next.incarnation = known.incarnation.max(request.incarnation);
        if lost && !given {
            next.incarnation += 1;
            next.start = Some(request.start);
        }
        let reply = AcceptorReply::Recovery(RecoveryReply {
            incarnation: next.incarnation,
            ..self.recovery_reply(&request.acceptor)
        });
        next.write_count = known.write_count.max(request.write_count);
        let told = self.pending_writes.iter().any(|(_, deferred)| {
            deferred
                .iter()
                .any(|deferred| matches!(deferred, Deferred::PeerReply { to, .. } if *to == request.acceptor))
        });
        if lost && !given {
            // What it is told of its life must outlast this process.
            self.durable.peers.insert(request.acceptor.clone(), next);
            self.persist(Vec::new(), vec![Deferred::PeerReply { to: request.acceptor, reply }]);
        } else if !told {
            self.outputs.push_back(Output::PeerReply { to: request.acceptor, reply });
        }
    }

    /// Another voter has answered, or was heard to have written so often.
    pub fn handle_peer_reply(&mut self, from: &Name, reply: AcceptorReply) {
        let AcceptorReply::Recovery(known) = reply else { return };
        if known.acceptor != self.name || !self.is_peer(from) {
            return;
        }
        let (write_count, is_initialized) = (self.durable.write_count, self.durable.is_initialized);
        let State::Recovering { lost_promises, known: all } = &mut self.state else {
            return self.raise_incarnation(known.incarnation);
        };
        if is_initialized && known.write_count > write_count && !*lost_promises {
            *lost_promises = true;
            self.outputs.push_back(Output::Event(Event::LostPromises));
        }
        all.insert(from.clone(), known);
        self.try_start_voting();
    }

    /// It was given another life while it was let in by others, who counted it for empty still. Its folder lacks nothing, so
    /// that it may be in any life; only what it promises in the latest counts.
    fn raise_incarnation(&mut self, incarnation: u64) {
        if self.is_voting() && incarnation > self.durable.incarnation {
            self.durable.incarnation = incarnation;
            self.durable.write_count += 1;
            self.persist(Vec::new(), Vec::new());
        }
    }

    /// A voter's own word of how often it has written. Where it does not know its latest life it is told.
    fn handle_write_count(&mut self, of: &Name, write_count: u64, incarnation: u64) {
        if !self.others.contains(of) {
            return;
        }
        let own = self.durable.peers.entry(of.clone()).or_default();
        own.write_count = own.write_count.max(write_count);
        if incarnation < own.incarnation {
            let known = self.recovery_reply(of);
            self.outputs
                .push_back(Output::PeerReply { to: of.clone(), reply: AcceptorReply::Recovery(known) });
        }
    }

    /// What is known here of another voter, and promised.
    fn recovery_reply(&self, of: &Name) -> RecoveryReply {
        let known = self.durable.peers.get(of).cloned().unwrap_or_default();
        let lost_promises = matches!(self.state, State::Recovering { lost_promises: true, .. });
        RecoveryReply {
            acceptor: of.clone(),
            write_count: known.write_count,
            incarnation: known.incarnation,
            is_initialized: self.durable.is_initialized
                && !self.pending_writes.iter().any(|(_, deferred)| deferred.iter().any(is_votes)),
            lost_promises,
            never_promised: self.durable.promises.is_empty(),
            acceptors: self.durable.acceptors,
            frozen_epoch: if self.adopts_previous && !self.previous_epoch_stopped {
                0
            } else {
                self.durable.frozen_epoch
            },
            promises: self.durable.promises.clone(),
        }
    }

    fn try_start_voting(&mut self) {
        let State::Recovering { lost_promises, known } = &self.state else { return };
        let (all, others) = (self.others.len() + 1, self.others.len());
        let sound = |own: &RecoveryReply| !own.lost_promises && own.is_initialized;
        let count = |wanted: &dyn Fn(&Name, &RecoveryReply) -> bool| {
            known.iter().filter(|(name, own)| wanted(name, own)).count()
        };
        let by_set = |name: &Name, own: &RecoveryReply| {
            self.others.contains(name) && sound(own) && own.acceptors == self.acceptor_set
        };
        let sound_others = count(&by_set);
        let pristine = count(&|name, own| self.others.contains(name) && own.never_promised);
        // Nobody has ever promised anything: all must say so, as any who is not heard might have.
        let first = self.is_empty() && self.acceptors.epoch == 0 && pristine == others;
        // What it was part of, a majority of the others has a part in; or its folder lacks nothing that anybody knows of.
        let taught = sound_others >= majority(others) && others > 0;
        let intact = !*lost_promises && !self.adopts_previous && sound_others + 1 >= majority(all);
        // A majority of the voters before promises nothing by them any more, and says what it had promised: whatever they made
        // an owner of is among that.
        let was = usize::from(self.acceptors.previous_names.contains(&self.name));
        let previous_epoch_stopped = |name: &Name, own: &RecoveryReply| {
            self.previous.contains(name) && sound(own) && own.frozen_epoch >= self.acceptor_set.epoch
        };
        let carried = self.adopts_previous
            && self.previous_epoch_stopped
            && !*lost_promises
            && count(&previous_epoch_stopped) + was >= majority(self.acceptors.previous_names.len());
        let intact = intact || carried;
        if !(first || taught || intact)
            || self.pending_writes.iter().any(|(_, deferred)| deferred.iter().any(is_votes))
        {
            return;
        }
        let recovered = *lost_promises;
        if recovered {
            self.uncertain_leases = None;
        }
        (self.durable.acceptors, self.durable.frozen_epoch, self.adopts_previous) =
            (self.acceptor_set, self.acceptor_set.epoch, false);
        for known in known.values() {
            for (lease, token) in &known.promises {
                let own = self.durable.promises.entry(lease.clone()).or_insert(*token);
                if token.term > own.term {
                    *own = *token;
                } else if recovered && token.term == own.term && token.process != own.process {
                    // Danger: it gave this term to one of the two, who owns the job by that, and can't know to whom. Where it
                    // has forgotten nothing its own promise is the one that it gave.
                    own.process = NO_PROCESS;
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
        self.persist(
            promises,
            vec![if first { Deferred::Initialized } else { Deferred::StartVoting { recovered } }],
        );
    }
}

fn is_votes(deferred: &Deferred) -> bool {
    matches!(deferred, Deferred::StartVoting { .. } | Deferred::Initialized)
}
