//! A simulation of acceptors and candidates in virtual time, with a faulty network, faulty disks and inaccurate clocks.
//! After each step it checks that no lease has two holders.

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

pub const SETTINGS: LeaseSettings = LeaseSettings { duration: 2 * SECOND, max_drift_ppm: 20_000 };
/// A random number generator whose seed determines the schedule of a simulation.
pub struct Random(u64);

impl Random {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}

/// An event at a later time. Acceptors are identified by their index.
pub enum Message {
    /// To an acceptor, from a process.
    Request(usize, ProcessId, AcceptorRequest),
    /// To a process, from an acceptor.
    Reply(ProcessId, Name, AcceptorReply),
    /// To an acceptor, from another acceptor.
    PeerReply(usize, Name, AcceptorReply),
    /// The writes of one start of an acceptor are durable up to a number. Fields: acceptor, start, number.
    Synced(usize, u64, u64),
}

/// A fleet in virtual time. Its clocks are up to 1 % fast or slow.
pub struct Simulation {
    pub now: Micros,
    pub random: Random,
    names: Vec<Name>,
    /// The acceptor set that starting acceptors and candidates are configured with.
    pub acceptor_set: AcceptorSet,
    pub disks: Vec<DurableState>,
    /// The pending writes of each acceptor, in order.
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
        let names: Vec<Name> = (0..acceptors).map(|index| format!("v{index}").into()).collect();
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
        (0..acceptors).for_each(|index| simulation.start_acceptor(index));
        (0..candidates).for_each(|index| simulation.start_candidate(index, leases));
        simulation
    }

    pub fn local_time(&self, index: usize) -> Micros {
        (u128::from(self.now) * u128::from(self.clock_rates[index]) / 1_000_000) as Micros
    }

    pub fn start_acceptor(&mut self, index: usize) {
        self.starts += 1;
        let start = ProcessId(self.starts);
        let time = self.local_time(index);
        let acceptor = Acceptor::new(
            &self.names[index],
            start,
            &self.acceptor_set,
            SETTINGS,
            self.disks[index].clone(),
            time,
        );
        self.acceptors[index] = Some((acceptor, self.starts));
        self.writes[index].clear();
    }

    pub fn start_candidate(&mut self, index: usize, leases: &[Name]) {
        self.starts += 1;
        let mut candidate =
            Candidate::new(ProcessId(1_000 + self.starts), &self.acceptor_set, SETTINGS, self.starts);
        let time = self.local_time(self.names.len() + index);
        leases.iter().for_each(|lease| candidate.pursue(time, lease, index as Micros * 10 * MILLISECOND));
        self.candidates[index] = Some(candidate);
    }

    fn send(&mut self, message: Message) {
        let copies = 1 + u64::from(self.random.below(20) == 0 && self.loss_percent > 0);
        if matches!(message, Message::Synced(..)) || self.random.below(100) >= self.loss_percent {
            self.push(message, copies);
        }
    }

    fn push(&mut self, message: Message, copies: u64) {
        let duplicate = match (&message, copies) {
            (Message::Request(to, from, request), 2..) => Some(Message::Request(*to, *from, request.clone())),
            (Message::Reply(to, from, reply), 2..) => Some(Message::Reply(*to, from.clone(), reply.clone())),
            _ => None,
        };
        for message in [Some(message), duplicate].into_iter().flatten() {
            self.sequence += 1;
            let arrival = self.now + 1 + self.random.below(self.max_delay);
            self.in_transit.insert((arrival, self.sequence), message);
        }
    }

    fn index_of(&self, name: &Name) -> usize {
        self.names.iter().position(|known| known == name).expect("the name of an acceptor")
    }

    fn drain_acceptor(&mut self, index: usize) {
        while let Some(output) =
            self.acceptors[index].as_mut().and_then(|(acceptor, _)| acceptor.poll_output())
        {
            let name = self.names[index].clone();
            match output {
                AcceptorOutput::Persist { number, change } => {
                    let start = self.acceptors[index].as_ref().map_or(0, |(_, start)| *start);
                    self.writes[index].push_back((number, change));
                    self.send(Message::Synced(index, start, number));
                }
                AcceptorOutput::Reply { to, reply } => self.send(Message::Reply(to, name, reply)),
                AcceptorOutput::Request { to, request } => {
                    self.send(Message::Request(self.index_of(&to), ProcessId(index as u64), request));
                }
                AcceptorOutput::PeerReply { to, reply } => {
                    self.send(Message::PeerReply(self.index_of(&to), name, reply));
                }
                AcceptorOutput::Event(event) => self.events.push((self.now, event)),
            }
        }
    }

    pub fn drain_candidate(&mut self, index: usize) {
        while let Some(output) = self.candidates[index].as_mut().and_then(Candidate::poll_output) {
            match output {
                CandidateOutput::Request { to, request } => {
                    let process = self.candidates[index].as_ref().expect("the process runs").process();
                    self.send(Message::Request(self.index_of(&to), process, request));
                }
                CandidateOutput::Event(CandidateEvent::Acquired { lease, token }) => {
                    let holder = *self.holders.entry((lease.clone(), token.term)).or_insert(token.process);
                    assert_eq!(holder, token.process, "term {} of {lease} has two holders", token.term);
                    let previous = self.last_token.insert(lease, token);
                    assert!(
                        previous.is_none_or(|previous| previous < token),
                        "{previous:?} before {token:?}"
                    );
                }
                CandidateOutput::Released { .. }
                | CandidateOutput::Offer { .. }
                | CandidateOutput::Event(_) => {}
            }
        }
    }

    /// Runs until `end`. Checks after each step that no lease has two holders, and that effects arrive in the order of
    /// terms.
    pub fn run(&mut self, end: Micros) {
        while self.now < end {
            self.now += MILLISECOND;
            while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let message = entry.remove();
                self.deliver(message);
            }
            (0..self.acceptors.len()).for_each(|index| self.tick_acceptor(index));
            let mut held = BTreeSet::new();
            (0..self.candidates.len()).for_each(|index| self.tick_candidate(index, &mut held));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(to, from, request) => {
                let time = self.local_time(to);
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
            Message::Synced(index, start, number) => self.complete_write(index, start, number),
        }
    }

    fn deliver_reply(&mut self, to: ProcessId, from: &Name, reply: AcceptorReply) {
        let is_target = |candidate: &Option<Candidate>| {
            candidate.as_ref().is_some_and(|candidate| candidate.process() == to)
        };
        let Some(index) = self.candidates.iter().position(is_target) else { return };
        let time = self.local_time(self.names.len() + index);
        if let Some(candidate) = &mut self.candidates[index] {
            candidate.handle_reply(time, from, reply);
        }
        self.drain_candidate(index);
    }

    fn complete_write(&mut self, index: usize, start: u64, number: u64) {
        let time = self.local_time(index);
        let Some((acceptor, current_start)) = &mut self.acceptors[index] else { return };
        if *current_start == start {
            while let Some((_, change)) =
                self.writes[index].pop_front_if(|(write_number, _)| *write_number <= number)
            {
                self.disks[index].apply(&change);
            }
            acceptor.write_completed(time, number, true);
        }
        self.drain_acceptor(index);
    }

    fn tick_acceptor(&mut self, index: usize) {
        let time = self.local_time(index);
        if let Some((acceptor, _)) = &mut self.acceptors[index] {
            acceptor.handle_timeout(time);
        }
        self.drain_acceptor(index);
    }

    fn tick_candidate(&mut self, index: usize, held: &mut BTreeSet<Name>) {
        let time = self.local_time(self.names.len() + index);
        let Some(candidate) = &mut self.candidates[index] else { return };
        if candidate.next_deadline().is_some_and(|deadline| deadline <= time) {
            candidate.handle_timeout(time);
        }
        let held_here: Vec<_> = candidate.lease_status(time).filter(|status| status.held.is_some()).collect();
        for status in held_here {
            let authorization =
                candidate.authorization(time, &status.lease).expect("the candidate holds the lease");
            let token = authorization.token();
            assert!(held.insert(status.lease.clone()), "two hold {} at {} us", status.lease, self.now);
            let decision = self.guard.check(&status.lease, token);
            assert!(!matches!(decision, FencingDecision::Stale(_)), "{token:?} {decision:?}");
        }
        self.drain_candidate(index);
    }

    pub fn are_held(&self, leases: &[Name]) -> bool {
        leases.iter().all(|lease| self.is_held(lease))
    }

    pub fn is_held(&self, lease: &Name) -> bool {
        let count = self.names.len();
        let holds = |(index, candidate): (usize, &Option<Candidate>)| {
            candidate.as_ref().is_some_and(|candidate| {
                candidate.authorization(self.local_time(count + index), lease).is_some()
            })
        };
        self.candidates.iter().enumerate().any(holds)
    }
}
