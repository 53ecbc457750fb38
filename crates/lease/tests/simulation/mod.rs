//! A fleet of acceptors and candidates in virtual time, with a network, disks and clocks that misbehave. It checks at each
//! moment that no lease has two holders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fernscale_lease::acceptor::{
    Acceptor, DurableState, Event as AcceptorEvent, Output as AcceptorOutput, StateChange,
};
use fernscale_lease::candidate::{Candidate, Event as CandidateEvent, Output as CandidateOutput};
use fernscale_lease::fencing::{FencingDecision, FencingGuard};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest};
use fernscale_lease::{
    AcceptorSet, FencingToken, LeaseSettings, Micros, Name, ProcessId, MILLISECOND, SECOND,
};

pub const TERMS: LeaseSettings = LeaseSettings { duration: 2 * SECOND, max_drift_ppm: 20_000 };
/// A small generator, so that a seed is a schedule.
pub struct Random(u64);

impl Random {
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % most.max(1)
    }
}

/// What happens at a later time. Acceptors go by their index.
pub enum Message {
    /// To an acceptor, from a process.
    Request(usize, ProcessId, AcceptorRequest),
    /// To a process, from an acceptor.
    Reply(ProcessId, Name, AcceptorReply),
    /// To an acceptor, from another one.
    PeerReply(usize, Name, AcceptorReply),
    /// The writes of an acceptor's start up to a number are durable.
    Synced(usize, u64, u64),
}

/// A fleet in virtual time, with clocks that are up to a hundredth too fast or too slow.
pub struct Simulation {
    pub now: Micros,
    pub random: Random,
    names: Vec<Name>,
    /// The configuration of acceptors and candidates that start now.
    pub acceptor_set: AcceptorSet,
    pub disks: Vec<DurableState>,
    /// Writes that are not durable yet, in their order.
    writes: Vec<VecDeque<(u64, StateChange)>>,
    pub acceptors: Vec<Option<(Acceptor, u64)>>,
    pub candidates: Vec<Option<Candidate>>,
    pub clock_rates: Vec<u64>,
    starts: u64,
    sequence: u64,
    pub in_transit: BTreeMap<(Micros, u64), Message>,
    pub loss_percent: u64,
    pub max_delay: Micros,
    guard: FencingGuard,
    holders: BTreeMap<(Name, u64), ProcessId>,
    /// The token of the latest holder of each lease.
    pub last_token: BTreeMap<Name, FencingToken>,
    pub events: Vec<(Micros, AcceptorEvent)>,
}

impl Simulation {
    pub fn new(acceptors: usize, candidates: usize, leases: &[Name], seed: u64) -> Simulation {
        let names: Vec<Name> = (0..acceptors).map(|at| format!("v{at}").into()).collect();
        let mut simulation = Simulation {
            now: SECOND,
            random: Random(seed * 0x9e37_79b9 + 1),
            disks: vec![DurableState::default(); acceptors],
            writes: vec![VecDeque::new(); acceptors],
            acceptors: (0..acceptors).map(|_| None).collect(),
            acceptor_set: AcceptorSet::initial(&names),
            names,
            candidates: (0..candidates).map(|_| None).collect(),
            clock_rates: Vec::new(),
            starts: 0,
            sequence: 0,
            in_transit: BTreeMap::new(),
            loss_percent: 0,
            max_delay: 2 * MILLISECOND,
            guard: FencingGuard::default(),
            holders: BTreeMap::new(),
            last_token: BTreeMap::new(),
            events: Vec::new(),
        };
        simulation.clock_rates =
            (0..acceptors + candidates).map(|_| 990_000 + simulation.random.below(20_001)).collect();
        (0..acceptors).for_each(|at| simulation.start_acceptor(at));
        (0..candidates).for_each(|at| simulation.start_candidate(at, leases));
        simulation
    }

    pub fn time(&self, at: usize) -> Micros {
        (u128::from(self.now) * u128::from(self.clock_rates[at]) / 1_000_000) as Micros
    }

    pub fn start_acceptor(&mut self, at: usize) {
        self.starts += 1;
        let start = ProcessId(self.starts);
        let time = self.time(at);
        let acceptor =
            Acceptor::new(&self.names[at], start, &self.acceptor_set, TERMS, self.disks[at].clone(), time);
        self.acceptors[at] = Some((acceptor, self.starts));
        self.writes[at].clear();
    }

    pub fn start_candidate(&mut self, at: usize, leases: &[Name]) {
        self.starts += 1;
        let mut candidate =
            Candidate::new(ProcessId(1_000 + self.starts), &self.acceptor_set, TERMS, self.starts);
        let time = self.time(self.names.len() + at);
        leases.iter().for_each(|lease| candidate.pursue(time, lease, at as Micros * 10 * MILLISECOND));
        self.candidates[at] = Some(candidate);
    }

    fn send(&mut self, message: Message) {
        let copies = 1 + u64::from(self.random.below(20) == 0 && self.loss_percent > 0);
        if matches!(message, Message::Synced(..)) || self.random.below(100) >= self.loss_percent {
            self.push(message, copies);
        }
    }

    fn push(&mut self, message: Message, copies: u64) {
        let again = match (&message, copies) {
            (Message::Request(to, from, request), 2..) => Some(Message::Request(*to, *from, request.clone())),
            (Message::Reply(to, from, reply), 2..) => Some(Message::Reply(*to, from.clone(), reply.clone())),
            _ => None,
        };
        for message in [Some(message), again].into_iter().flatten() {
            self.sequence += 1;
            let at = self.now + 1 + self.random.below(self.max_delay);
            self.in_transit.insert((at, self.sequence), message);
        }
    }

    fn index_of(&self, name: &Name) -> usize {
        self.names.iter().position(|own| own == name).expect("an acceptor")
    }

    fn drain_acceptor(&mut self, at: usize) {
        while let Some(output) = self.acceptors[at].as_mut().and_then(|(acceptor, _)| acceptor.poll_output())
        {
            let name = self.names[at].clone();
            match output {
                AcceptorOutput::Persist { number, change } => {
                    let start = self.acceptors[at].as_ref().map_or(0, |(_, start)| *start);
                    self.writes[at].push_back((number, change));
                    self.send(Message::Synced(at, start, number));
                }
                AcceptorOutput::Reply { to, reply } => self.send(Message::Reply(to, name, reply)),
                AcceptorOutput::Request { to, request } => {
                    self.send(Message::Request(self.index_of(&to), ProcessId(at as u64), request));
                }
                AcceptorOutput::PeerReply { to, reply } => {
                    self.send(Message::PeerReply(self.index_of(&to), name, reply));
                }
                AcceptorOutput::Event(event) => self.events.push((self.now, event)),
            }
        }
    }

    pub fn drain_candidate(&mut self, at: usize) {
        while let Some(output) = self.candidates[at].as_mut().and_then(Candidate::poll_output) {
            match output {
                CandidateOutput::Request { to, request } => {
                    let process = self.candidates[at].as_ref().expect("it runs").process();
                    self.send(Message::Request(self.index_of(&to), process, request));
                }
                CandidateOutput::Event(CandidateEvent::Acquired { lease, token }) => {
                    let holder = *self.holders.entry((lease.clone(), token.term)).or_insert(token.process);
                    assert_eq!(holder, token.process, "term {} of {lease} has two holders", token.term);
                    let before = self.last_token.insert(lease, token);
                    assert!(before.is_none_or(|before| before < token), "{before:?} before {token:?}");
                }
                CandidateOutput::Released { .. }
                | CandidateOutput::Offer { .. }
                | CandidateOutput::Event(_) => {}
            }
        }
    }

    /// Advances the time. At no moment has a lease two holders, and the effects of holders arrive in the order of their terms.
    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += MILLISECOND;
            while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let message = entry.remove();
                self.deliver(message);
            }
            (0..self.acceptors.len()).for_each(|at| self.tick_acceptor(at));
            let mut held = BTreeSet::new();
            (0..self.candidates.len()).for_each(|at| self.tick_candidate(at, &mut held));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(to, from, request) => {
                let time = self.time(to);
                if let Some((acceptor, _)) = &mut self.acceptors[to] {
                    acceptor.handle_request(time, from, request);
                }
                self.drain_acceptor(to);
            }
            Message::PeerReply(to, from, reply) => {
                if let Some((acceptor, _)) = &mut self.acceptors[to] {
                    acceptor.handle_peer_reply(&from, reply);
                }
                self.drain_acceptor(to);
            }
            Message::Reply(to, from, reply) => self.deliver_reply(to, &from, reply),
            Message::Synced(at, start, number) => self.complete_write(at, start, number),
        }
    }

    fn deliver_reply(&mut self, to: ProcessId, from: &Name, reply: AcceptorReply) {
        let is_target =
            |candidate: &Option<Candidate>| candidate.as_ref().is_some_and(|own| own.process() == to);
        let Some(at) = self.candidates.iter().position(is_target) else { return };
        let time = self.time(self.names.len() + at);
        if let Some(candidate) = &mut self.candidates[at] {
            candidate.handle_reply(time, from, reply);
        }
        self.drain_candidate(at);
    }

    fn complete_write(&mut self, at: usize, start: u64, number: u64) {
        let time = self.time(at);
        let Some((acceptor, current_start)) = &mut self.acceptors[at] else { return };
        if *current_start == start {
            while let Some((_, change)) = self.writes[at].pop_front_if(|(own, _)| *own <= number) {
                self.disks[at].apply(&change);
            }
            acceptor.write_completed(time, number, true);
        }
        self.drain_acceptor(at);
    }

    fn tick_acceptor(&mut self, at: usize) {
        let time = self.time(at);
        if let Some((acceptor, _)) = &mut self.acceptors[at] {
            acceptor.handle_timeout(time);
        }
        self.drain_acceptor(at);
    }

    fn tick_candidate(&mut self, at: usize, held: &mut BTreeSet<Name>) {
        let time = self.time(self.names.len() + at);
        let Some(candidate) = &mut self.candidates[at] else { return };
        if candidate.next_deadline().is_some_and(|deadline| deadline <= time) {
            candidate.handle_timeout(time);
        }
        let held_here: Vec<_> = candidate.lease_status(time).filter(|status| status.held.is_some()).collect();
        for status in held_here {
            let authorization = candidate.authorization(time, &status.lease).expect("it is held");
            let token = authorization.token();
            assert!(held.insert(status.lease.clone()), "two hold {} at {} us", status.lease, self.now);
            let decision = self.guard.check(&status.lease, token);
            assert!(!matches!(decision, FencingDecision::Stale(_)), "{token:?} {decision:?}");
        }
        self.drain_candidate(at);
    }

    pub fn are_held(&self, leases: &[Name]) -> bool {
        leases.iter().all(|lease| self.is_held(lease))
    }

    pub fn is_held(&self, lease: &Name) -> bool {
        let count = self.names.len();
        let holds = |(at, candidate): (usize, &Option<Candidate>)| {
            candidate
                .as_ref()
                .is_some_and(|candidate| candidate.authorization(self.time(count + at), lease).is_some())
        };
        self.candidates.iter().enumerate().any(holds)
    }
}
