//! Acceptors and candidates under random schedules of loss, delay, duplication, restarts, lost stores and uneven clocks; and
//! the ranks of gateways.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fernscale_lease::acceptor::{
    Acceptor, DurableState, Event as AcceptorEvent, Output as AcceptorOutput, StateChange,
};
use fernscale_lease::candidate::{Candidate, Event as CandidateEvent, Output as CandidateOutput};
use fernscale_lease::fencing::{FencingDecision, FencingGuard};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest, RecoveryReply, Rejection};
use fernscale_lease::ranking::{first_ranked, rank_of, Participant};
use fernscale_lease::{AcceptorSet, FencingToken, LeaseTerms, Micros, Name, ProcessId, MILLISECOND, SECOND};

const TERMS: LeaseTerms = LeaseTerms { duration: 2 * SECOND, max_drift_ppm: 20_000 };

/// A small generator, so that a seed is a schedule.
struct Random(u64);

impl Random {
    fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % most.max(1)
    }
}

enum Message {
    Request(usize, ProcessId, AcceptorRequest),
    Reply(ProcessId, Name, AcceptorReply),
    PeerReply(usize, Name, AcceptorReply),
    Synced(usize, u64, u64),
}

/// A fleet in virtual time, with clocks that are up to a hundredth too fast or too slow.
struct Simulation {
    now: Micros,
    random: Random,
    names: Vec<Name>,
    /// The configuration of acceptors and candidates that start now.
    acceptor_set: AcceptorSet,
    disks: Vec<DurableState>,
    /// Writes that are not durable yet, in their order.
    writes: Vec<VecDeque<(u64, StateChange)>>,
    acceptors: Vec<Option<(Acceptor, u64)>>,
    candidates: Vec<Option<Candidate>>,
    clock_rates: Vec<u64>,
    starts: u64,
    sequence: u64,
    in_transit: BTreeMap<(Micros, u64), Message>,
    loss_percent: u64,
    max_delay: Micros,
    guard: FencingGuard,
    holders: BTreeMap<(Name, u64), ProcessId>,
    /// The token of the latest holder of each lease.
    last_token: BTreeMap<Name, FencingToken>,
    events: Vec<(Micros, AcceptorEvent)>,
}

impl Simulation {
    fn new(acceptors: usize, candidates: usize, leases: &[Name], seed: u64) -> Simulation {
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

    fn time(&self, at: usize) -> Micros {
        (u128::from(self.now) * u128::from(self.clock_rates[at]) / 1_000_000) as Micros
    }

    fn start_acceptor(&mut self, at: usize) {
        self.starts += 1;
        let (start, time) = (ProcessId(self.starts), self.time(at));
        let acceptor =
            Acceptor::new(&self.names[at], start, &self.acceptor_set, TERMS, self.disks[at].clone(), time);
        self.acceptors[at] = Some((acceptor, self.starts));
        self.writes[at].clear();
    }

    fn start_candidate(&mut self, at: usize, leases: &[Name]) {
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

    fn place(&self, name: &Name) -> usize {
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
                    self.send(Message::Request(self.place(&to), ProcessId(at as u64), request))
                }
                AcceptorOutput::PeerReply { to, reply } => {
                    self.send(Message::PeerReply(self.place(&to), name, reply))
                }
                AcceptorOutput::Event(event) => self.events.push((self.now, event)),
            }
        }
    }

    fn drain_candidate(&mut self, at: usize) {
        while let Some(output) = self.candidates[at].as_mut().and_then(Candidate::poll_output) {
            match output {
                CandidateOutput::Request { to, request } => {
                    let process = self.candidates[at].as_ref().expect("it runs").process();
                    self.send(Message::Request(self.place(&to), process, request));
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
    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += MILLISECOND;
            while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
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
                    Message::Reply(to, from, reply) => {
                        let is_target = |candidate: &Option<Candidate>| {
                            candidate.as_ref().is_some_and(|own| own.process() == to)
                        };
                        let Some(at) = self.candidates.iter().position(is_target) else { continue };
                        let time = self.time(self.names.len() + at);
                        if let Some(candidate) = &mut self.candidates[at] {
                            candidate.handle_reply(time, &from, reply);
                        }
                        self.drain_candidate(at);
                    }
                    Message::Synced(at, start, number) => {
                        let time = self.time(at);
                        let Some((acceptor, own)) = &mut self.acceptors[at] else { continue };
                        if *own == start {
                            while let Some((_, change)) =
                                self.writes[at].pop_front_if(|(own, _)| *own <= number)
                            {
                                self.disks[at].apply(&change);
                            }
                            acceptor.write_completed(time, number, true);
                        }
                        self.drain_acceptor(at);
                    }
                }
            }
            for at in 0..self.acceptors.len() {
                let time = self.time(at);
                if let Some((acceptor, _)) = &mut self.acceptors[at] {
                    acceptor.handle_timeout(time);
                }
                self.drain_acceptor(at);
            }
            let mut held: BTreeSet<Name> = BTreeSet::new();
            for at in 0..self.candidates.len() {
                let time = self.time(self.names.len() + at);
                let Some(candidate) = &mut self.candidates[at] else { continue };
                if candidate.next_deadline().is_some_and(|deadline| deadline <= time) {
                    candidate.handle_timeout(time);
                }
                let held_here: Vec<_> =
                    candidate.lease_status(time).filter(|status| status.held.is_some()).collect();
                for status in held_here {
                    let authorization = candidate.authorization(time, &status.lease).expect("it is held");
                    let token = authorization.token();
                    assert!(
                        held.insert(status.lease.clone()),
                        "two hold {} at {} us",
                        status.lease,
                        self.now
                    );
                    let decision = self.guard.check(&status.lease, token);
                    assert!(!matches!(decision, FencingDecision::Stale(_)), "{token:?} {decision:?}");
                }
                self.drain_candidate(at);
            }
        }
    }

    fn is_held(&self, lease: &Name) -> bool {
        let count = self.names.len();
        let holds = |(at, candidate): (usize, &Option<Candidate>)| {
            candidate
                .as_ref()
                .is_some_and(|candidate| candidate.authorization(self.time(count + at), lease).is_some())
        };
        self.candidates.iter().enumerate().any(holds)
    }
}

fn leases(count: usize) -> Vec<Name> {
    (0..count).map(|at| format!("job-{at}").into()).collect()
}

#[test]
fn a_term_has_one_holder_under_random_faults_and_every_lease_is_held_after_them() {
    for seed in 0..60 {
        let acceptors = [3, 5, 7][seed as usize % 3];
        let leases = leases(3);
        let mut simulation = Simulation::new(acceptors, 4, &leases, seed + 1);
        // Candidates that claim while the last acceptor is admitted may split the grants of a lease once.
        simulation.run(3 * SECOND + TERMS.duration);
        assert!(
            leases.iter().all(|lease| simulation.is_held(lease)),
            "seed {seed}: no holder after the start"
        );
        (simulation.loss_percent, simulation.max_delay) = (20, 150 * MILLISECOND);
        for _ in 0..10 {
            let until = simulation.now + 200 * MILLISECOND + simulation.random.below(1_500 * MILLISECOND);
            simulation.run(until);
            let acceptor = simulation.random.below(acceptors as u64) as usize;
            let candidate = simulation.random.below(4) as usize;
            let down = simulation
                .acceptors
                .iter()
                .filter(|acceptor| acceptor.as_ref().is_none_or(|(own, _)| !own.is_voting()))
                .count();
            match simulation.random.below(6) {
                // Fewer than a half are down at a time, and at most one has lost its store.
                0 | 1 if 2 * (down + 1) < acceptors => simulation.acceptors[acceptor] = None,
                2 if down == 0 => {
                    simulation.acceptors[acceptor] = None;
                    simulation.disks[acceptor] = DurableState::default();
                    simulation.start_acceptor(acceptor);
                }
                3 => simulation.start_candidate(candidate, &leases),
                4 => simulation.candidates[candidate] = None,
                _ => {}
            }
            for at in 0..acceptors {
                if simulation.acceptors[at].is_none() && simulation.random.below(3) == 0 {
                    simulation.start_acceptor(at);
                }
            }
        }
        (simulation.loss_percent, simulation.max_delay) = (0, 2 * MILLISECOND);
        (0..acceptors)
            .filter(|at| simulation.acceptors[*at].is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|at| {
                simulation.start_acceptor(at);
            });
        (0..4).for_each(|at| {
            if simulation.candidates[at].is_none() {
                simulation.start_candidate(at, &leases);
            }
        });
        simulation.run(simulation.now + 2 * TERMS.duration + 3 * SECOND);
        assert!(leases.iter().all(|lease| simulation.is_held(lease)), "seed {seed}: no holder in the end");
    }
}

#[test]
fn a_lease_is_held_again_within_its_duration_after_a_crash_and_at_once_after_a_release() {
    let leases = leases(20);
    let mut simulation = Simulation::new(3, 3, &leases, 5);
    simulation.run(3 * SECOND);
    let held = |simulation: &Simulation| leases.iter().filter(|lease| simulation.is_held(lease)).count();
    assert_eq!(held(&simulation), 20);
    // The first candidate holds most leases, as it claimed first.
    simulation.candidates[0] = None;
    simulation.run(simulation.now + TERMS.duration + SECOND);
    assert_eq!(held(&simulation), 20);
    let release_all = |simulation: &mut Simulation, at: usize| {
        simulation.candidates[at].as_mut().expect("it runs").release_all();
        simulation.drain_candidate(at);
        simulation.candidates[at] = None;
    };
    simulation.start_candidate(0, &leases);
    simulation.run(simulation.now + SECOND);
    release_all(&mut simulation, 1);
    let began = simulation.now;
    while held(&simulation) < 20 {
        assert!(simulation.now < began + TERMS.duration + SECOND, "they are not acquired by others");
        simulation.run(simulation.now + 5 * MILLISECOND);
    }
}

#[test]
fn terms_rise_across_a_crash_of_all_acceptors() {
    let leases = leases(2);
    let mut simulation = Simulation::new(5, 2, &leases, 9);
    simulation.run(3 * SECOND);
    let before = simulation.last_token.clone();
    (0..5).for_each(|at| simulation.acceptors[at] = None);
    simulation.run(simulation.now + SECOND);
    // One has lost its store.
    simulation.disks[2] = DurableState::default();
    (0..5).for_each(|at| simulation.start_acceptor(at));
    simulation.run(simulation.now + 3 * TERMS.duration);
    assert!(simulation.acceptors.iter().flatten().all(|(acceptor, _)| acceptor.is_voting()));
    assert!(leases.iter().all(|lease| simulation.is_held(lease)));
    assert!(leases.iter().all(|lease| simulation.last_token[lease] >= before[lease]));
    assert!(simulation
        .events
        .iter()
        .any(|(_, event)| *event == AcceptorEvent::StartedVoting { recovered: true }));
}

/// Danger: at the very first start one acceptor learns that nobody has promised anything, and promises before the others
/// have learnt the same: they would never be admitted.
#[test]
fn acceptors_that_hear_each_other_at_different_times_at_the_first_start_all_vote() {
    for seed in 1..20 {
        let leases = leases(3);
        let mut simulation = Simulation::new(3, 2, &leases, seed);
        // Messages to two of them are lost for a while.
        let until = simulation.now + 2 * SECOND;
        while simulation.now < until {
            simulation.in_transit.retain(|_, message| match message {
                Message::Request(to, ..) | Message::PeerReply(to, ..) => *to == 0,
                _ => true,
            });
            simulation.run(simulation.now + MILLISECOND);
        }
        simulation.run(simulation.now + 4 * TERMS.duration);
        assert!(
            simulation.acceptors.iter().flatten().all(|(acceptor, _)| acceptor.is_voting()),
            "seed {seed}"
        );
        assert!(leases.iter().all(|lease| simulation.is_held(lease)), "seed {seed}");
    }
}

/// Three acceptors are replaced by three of which one is new, then by three that have none in common with the first, while
/// holders come and go: the promises of the first set bind the last.
#[test]
fn a_term_keeps_its_holder_across_changes_of_the_acceptor_set() {
    for seed in 1..20 {
        let leases = leases(3);
        let mut simulation = Simulation::new(5, 0, &leases, seed);
        (3..5).for_each(|at| simulation.acceptors[at] = None);
        let three =
            |from: usize| -> Vec<Name> { (from..from + 3).map(|at| format!("v{at}").into()).collect() };
        simulation.acceptor_set = AcceptorSet::initial(&three(0));
        (0..3).for_each(|at| simulation.disks[at] = DurableState::default());
        (0..3).for_each(|at| simulation.start_acceptor(at));
        simulation.candidates = (0..4).map(|_| None).collect();
        simulation.clock_rates.resize(9, 1_000_000);
        (0..4).for_each(|at| simulation.start_candidate(at, &leases));
        simulation.run(simulation.now + 3 * SECOND);
        assert!(leases.iter().all(|lease| simulation.is_held(lease)), "seed {seed}: at first");
        (simulation.loss_percent, simulation.max_delay) = (10, 60 * MILLISECOND);
        for number in 1..3 {
            let before = simulation.acceptor_set.names.clone();
            simulation.acceptor_set =
                AcceptorSet { epoch: number as u32, names: three(number), previous_names: before };
            // The previous members and the new one restart in some order, and candidates in between.
            let mut sequence: Vec<usize> = (number - 1..number + 3).collect();
            for at in (1..sequence.len()).rev() {
                sequence.swap(at, simulation.random.below(at as u64 + 1) as usize);
            }
            for at in sequence {
                simulation.start_acceptor(at);
                let candidate = simulation.random.below(4) as usize;
                simulation.start_candidate(candidate, &leases);
                let until = simulation.now + simulation.random.below(900 * MILLISECOND);
                simulation.run(until);
            }
            (0..4).for_each(|at| simulation.start_candidate(at, &leases));
            simulation.run(simulation.now + 3 * TERMS.duration + 3 * SECOND);
            assert!(
                leases.iter().all(|lease| simulation.is_held(lease)),
                "seed {seed}: after change {number}"
            );
            let voting = |at: &usize| {
                simulation.acceptors[*at].as_ref().is_some_and(|(acceptor, _)| acceptor.is_voting())
            };
            assert_eq!((0..5).filter(voting).collect::<Vec<_>>(), (number..number + 3).collect::<Vec<_>>());
        }
        assert!(simulation.events.iter().any(|(_, event)| *event == AcceptorEvent::Retired));
    }
}

#[test]
fn an_acceptor_that_has_begun_a_change_promises_nothing_under_the_previous_set() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let old = AcceptorSet::initial(&names);
    let durable = DurableState {
        is_initialized: true,
        acceptors: old.id(),
        frozen_epoch: 1,
        ..DurableState::default()
    };
    let mut acceptor = Acceptor::new(&names[0], ProcessId(1), &old, TERMS, durable, 0);
    assert_eq!(
        acceptor.poll_output(),
        Some(AcceptorOutput::Event(AcceptorEvent::DifferentAcceptors(old.id())))
    );
    let others = AcceptorSet::initial(&[names[0].clone()]);
    let durable = DurableState { is_initialized: true, acceptors: old.id(), ..DurableState::default() };
    let mut acceptor = Acceptor::new(&names[0], ProcessId(1), &others, TERMS, durable, 0);
    assert_eq!(
        acceptor.poll_output(),
        Some(AcceptorOutput::Event(AcceptorEvent::DifferentAcceptors(old.id())))
    );
    let mut acceptor = Acceptor::new(&names[0], ProcessId(1), &old, TERMS, DurableState::default(), 0);
    let token = FencingToken { term: 1, process: ProcessId(7) };
    acceptor.handle_request(
        1,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token, round: 1, acceptors: others.id() },
    );
    assert!(matches!(
        acceptor.poll_output(),
        Some(AcceptorOutput::Reply { reply: AcceptorReply::Rejected { .. }, .. })
    ));
}

/// All outputs of an acceptor whose disk takes no time.
fn drain(acceptor: &mut Acceptor, now: Micros) -> Vec<AcceptorOutput> {
    let mut all = Vec::new();
    while let Some(output) = acceptor.poll_output() {
        match output {
            AcceptorOutput::Persist { number, .. } => acceptor.write_completed(now, number, true),
            other => all.push(other),
        }
    }
    all
}

#[test]
fn promises_of_the_previous_set_are_adopted_once_a_majority_of_it_has_stopped() {
    let names: Vec<Name> = ["a", "b", "c", "d"].into_iter().map(Name::from).collect();
    let old = AcceptorSet::initial(&names[..3]);
    let new = AcceptorSet { epoch: 1, names: names[1..].to_vec(), previous_names: names[..3].to_vec() };
    let durable = DurableState { is_initialized: true, acceptors: old.id(), ..DurableState::default() };
    let mut acceptor = Acceptor::new(&names[1], ProcessId(1), &new, TERMS, durable, 0);
    acceptor.handle_timeout(0);
    drain(&mut acceptor, 0);
    let token = FencingToken { term: 4, process: ProcessId(7) };
    let recovery_reply = |frozen: u32| RecoveryReply {
        acceptor: names[1].clone(),
        write_count: 0,
        incarnation: 0,
        is_initialized: true,
        lost_promises: false,
        never_promised: false,
        acceptors: old.id(),
        frozen_epoch: frozen,
        promises: BTreeMap::from([("j".into(), token)]),
    };
    // The first acceptor may still promise the lease under the old set, as part of a majority of it.
    acceptor.handle_peer_reply(&names[0], AcceptorReply::Recovery(recovery_reply(0)));
    drain(&mut acceptor, 0);
    assert!(!acceptor.is_voting());
    acceptor.handle_peer_reply(&names[0], AcceptorReply::Recovery(recovery_reply(1)));
    let outputs = drain(&mut acceptor, 1);
    assert!(
        acceptor.is_voting()
            && outputs.contains(&AcceptorOutput::Event(AcceptorEvent::StartedVoting { recovered: false })),
        "{outputs:?}"
    );
    let claim = |term: u64, set| AcceptorRequest::Claim {
        lease: "j".into(),
        token: FencingToken { term, process: ProcessId(9) },
        round: 1,
        acceptors: set,
    };
    acceptor.handle_request(2 * TERMS.duration, ProcessId(9), claim(4, new.id()));
    acceptor.handle_request(2 * TERMS.duration, ProcessId(9), claim(5, old.id()));
    let rejections: Vec<_> = drain(&mut acceptor, 2 * TERMS.duration)
        .into_iter()
        .filter_map(|output| match output {
            AcceptorOutput::Reply { reply: AcceptorReply::Rejected { reason, .. }, .. } => Some(reason),
            _ => None,
        })
        .collect();
    assert_eq!(rejections, [Rejection::HigherPromise(token), Rejection::DifferentAcceptors(new.id())]);
    acceptor.handle_request(2 * TERMS.duration, ProcessId(9), claim(5, new.id()));
    let outputs = drain(&mut acceptor, 2 * TERMS.duration);
    assert!(
        matches!(outputs[..], [AcceptorOutput::Reply { reply: AcceptorReply::Granted { .. }, .. }, ..]),
        "{outputs:?}"
    );
}

#[test]
fn an_acceptor_that_has_started_withholds_only_the_leases_in_its_store_for_one_duration() {
    let names = [Name::from("a")];
    let set = AcceptorSet::initial(&names).id();
    let (lease, token) = (Name::from("j"), FencingToken { term: 3, process: ProcessId(7) });
    let promises = BTreeMap::from([(lease.clone(), token)]);
    let durable = DurableState { is_initialized: true, acceptors: set, promises, ..DurableState::default() };
    let mut acceptor =
        Acceptor::new(&names[0], ProcessId(1), &AcceptorSet::initial(&names), TERMS, durable, SECOND);
    acceptor.handle_timeout(SECOND);
    drain(&mut acceptor, SECOND);
    let mut try_claim = |now: Micros, lease: &str, run: u64, term: u64| {
        let token = FencingToken { term, process: ProcessId(run) };
        acceptor.handle_request(
            now,
            ProcessId(run),
            AcceptorRequest::Claim { lease: lease.into(), token, round: term, acceptors: set },
        );
        let outputs = drain(&mut acceptor, now);
        outputs
            .iter()
            .any(|out| matches!(out, AcceptorOutput::Reply { reply: AcceptorReply::Granted { .. }, .. }))
    };
    assert!(!try_claim(SECOND, "j", 9, 4), "its holder may hold it still");
    assert!(try_claim(SECOND, "other", 8, 1) && !try_claim(SECOND, "other", 9, 2));
    assert!(try_claim(SECOND + TERMS.duration, "j", 9, 5));
}

/// Danger: an acceptor that has promised a higher term to another candidate renews nothing, so that the loss of one more ends
/// a lease that nobody wants.
#[test]
fn a_holder_raises_its_term_above_a_promise_to_another_candidate() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let lease = Name::from("j");
    let mut candidate = Candidate::new(ProcessId(7), &AcceptorSet::initial(&names), TERMS, 1);
    candidate.pursue(0, &lease, 0);
    let sent_claims = |candidate: &mut Candidate, now: Micros| {
        candidate.handle_timeout(now);
        let mut sent_claims = Vec::new();
        while let Some(output) = candidate.poll_output() {
            if let CandidateOutput::Request {
                to,
                request: AcceptorRequest::Claim { token, round: number, .. },
            } = output
            {
                sent_claims.push((to, token, number));
            }
        }
        sent_claims
    };
    let grant = |token, number| AcceptorReply::Granted {
        lease: lease.clone(),
        token,
        round: number,
        incarnation: 0,
        incarnations: BTreeMap::new(),
    };
    let [_, _, (_, token, number)] = sent_claims(&mut candidate, 0)[..] else {
        panic!("three claims are sent")
    };
    let other = FencingToken { term: 9, process: ProcessId(8) };
    let rejection = AcceptorReply::Rejected {
        lease: lease.clone(),
        token,
        round: number,
        reason: Rejection::HigherPromise(other),
    };
    candidate.handle_reply(1, &names[2], rejection);
    candidate.handle_reply(1, &names[0], grant(token, number));
    candidate.handle_reply(1, &names[1], grant(token, number));
    assert_eq!(candidate.authorization(2, "j").map(|authorization| authorization.token()), Some(token));
    let renewal = sent_claims(&mut candidate, TERMS.duration / 2);
    let raised = FencingToken { term: 10, process: ProcessId(7) };
    assert!(renewal.len() == 3 && renewal.iter().all(|(_, token, _)| *token == raised), "{renewal:?}");
    // Until a majority has granted that, the first token is valid; after a loss the same term is claimed again.
    assert_eq!(
        candidate.authorization(TERMS.duration / 2, "j").map(|authorization| authorization.token()),
        Some(token)
    );
    let now = TERMS.duration / 2 + TERMS.duration / 3;
    let again = sent_claims(&mut candidate, now);
    assert!(again.iter().all(|(_, token, _)| *token == raised), "{again:?}");
    for (name, token, number) in again {
        candidate.handle_reply(now, &name, grant(token, number));
    }
    assert_eq!(candidate.authorization(now, "j").map(|authorization| authorization.token()), Some(raised));
}

#[test]
fn an_acceptor_with_a_blocked_disk_rejects_claims_beyond_its_limit() {
    let names = [Name::from("a")];
    let set = AcceptorSet::initial(&names).id();
    let durable = DurableState { is_initialized: true, acceptors: set, ..DurableState::default() };
    let mut acceptor =
        Acceptor::new(&names[0], ProcessId(1), &AcceptorSet::initial(&names), TERMS, durable, 0);
    acceptor.handle_timeout(0);
    drain(&mut acceptor, 0);
    let token = FencingToken { term: 1, process: ProcessId(7) };
    for lease in 0..3_000 {
        let lease = format!("j{lease}").into();
        acceptor.handle_request(
            1,
            ProcessId(7),
            AcceptorRequest::Claim { lease, token, round: 1, acceptors: set },
        );
    }
    let (mut writes, mut overloaded) = (0, 0);
    while let Some(output) = acceptor.poll_output() {
        match output {
            AcceptorOutput::Persist { .. } => writes += 1,
            AcceptorOutput::Reply {
                reply: AcceptorReply::Rejected { reason: Rejection::Overloaded, .. },
                ..
            } => overloaded += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(writes + overloaded == 3_000 && writes <= 1_024, "{writes} and {overloaded}");
    assert_eq!(acceptor.durable_state().promises.len(), writes);
}

/// Danger: of two that claim at once each has one acceptor's grant, and each waits until the other's has expired, which nobody
/// wants any more.
#[test]
fn candidates_that_split_the_acceptors_do_not_wait_for_each_others_grants() {
    for seed in 1..25 {
        let leases = leases(6);
        let mut simulation = Simulation::new(3, 3, &leases, seed);
        simulation.run(3 * SECOND + TERMS.duration);
        // Messages take longer than the start delay between candidates, and one acceptor's disk has failed.
        simulation.max_delay = 12 * MILLISECOND;
        let time = simulation.time(2);
        simulation.acceptors[2].as_mut().expect("it runs").0.write_completed(time, 0, false);
        simulation.run(simulation.now + SECOND);
        assert!(leases.iter().all(|lease| simulation.is_held(lease)), "seed {seed}");
        simulation.candidates[1] = None;
        simulation.run(simulation.now + TERMS.duration + SECOND);
        assert!(
            leases.iter().all(|lease| simulation.is_held(lease)),
            "seed {seed}: not within a lease and a second"
        );
    }
}

/// Danger: a holder crashes together with an acceptor, and two claim its leases at once. The restarted acceptor does not know
/// for one duration who holds them: a candidate that takes that for a holder's lease leaves them to nobody for as long again.
#[test]
fn an_acceptor_that_restarts_does_not_withhold_the_lease_of_a_crashed_holder_twice() {
    for seed in 1..40 {
        let leases = leases(6);
        let mut simulation = Simulation::new(3, 3, &leases, seed);
        simulation.run(3 * SECOND + TERMS.duration);
        assert!(leases.iter().all(|lease| simulation.is_held(lease)), "seed {seed}");
        simulation.max_delay = 12 * MILLISECOND;
        let earlier = simulation.disks[0].clone();
        // A renewal by a higher term, which the store that is restored does not have.
        simulation.start_candidate(0, &leases);
        simulation.run(simulation.now + TERMS.duration + SECOND);
        assert!(
            leases.iter().all(|lease| simulation.is_held(lease)),
            "seed {seed}: not within a lease and a second"
        );
        (simulation.acceptors[0], simulation.candidates[1]) = (None, None);
        simulation.run(simulation.now + SECOND);
        if seed % 2 == 0 {
            simulation.disks[0] = earlier;
        }
        simulation.start_acceptor(0);
        simulation.run(simulation.now + TERMS.duration);
        let without: Vec<_> = leases.iter().filter(|lease| !simulation.is_held(lease)).collect();
        assert!(without.is_empty(), "seed {seed}: {without:?} have no holder after a lease and a second");
    }
}

#[test]
fn an_outdated_store_is_detected_and_readmitted() {
    let leases = leases(1);
    let mut simulation = Simulation::new(3, 2, &leases, 11);
    simulation.run(2 * SECOND);
    let earlier = simulation.disks[0].clone();
    // The holder ends, so that another term is promised after this.
    let holder = (0..2).find(|at| {
        let candidate = simulation.candidates[*at].as_ref().expect("it runs");
        candidate.authorization(simulation.time(3 + at), &leases[0]).is_some()
    });
    simulation.candidates[holder.expect("one holds it")] = None;
    simulation.run(simulation.now + TERMS.duration + SECOND);
    assert!(simulation.disks[0].write_count > earlier.write_count, "it has promised nothing since");
    simulation.disks[0] = earlier;
    simulation.start_acceptor(0);
    simulation.run(simulation.now + SECOND);
    let outputs: Vec<_> = simulation.events.iter().map(|(_, event)| event.clone()).collect();
    assert!(
        outputs.contains(&AcceptorEvent::LostPromises)
            && outputs.contains(&AcceptorEvent::StartedVoting { recovered: true }),
        "{outputs:?}"
    );
    assert_eq!(simulation.disks[0].promises, simulation.disks[1].promises);
}

/// Danger: of two processes with one term, one holds the lease by the very promise that this acceptor has lost. To adopt the
/// promise to the other would make that one a holder as well.
#[test]
fn an_acceptor_that_lost_promises_grants_a_disputed_term_to_neither_process() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let acceptors = AcceptorSet::initial(&names);
    let (holder, other) =
        (FencingToken { term: 4, process: ProcessId(7) }, FencingToken { term: 4, process: ProcessId(8) });
    for [of_b, of_c] in [[holder, other], [other, holder]] {
        let mut acceptor =
            Acceptor::new(&names[0], ProcessId(1), &acceptors, TERMS, DurableState::default(), 0);
        acceptor.handle_timeout(0);
        drain(&mut acceptor, 0);
        for (from, token) in [(&names[1], of_b), (&names[2], of_c)] {
            let recovery_reply = RecoveryReply {
                acceptor: names[0].clone(),
                write_count: 5,
                incarnation: 1,
                is_initialized: true,
                lost_promises: false,
                never_promised: false,
                acceptors: acceptors.id(),
                frozen_epoch: 0,
                promises: BTreeMap::from([("j".into(), token)]),
            };
            acceptor.handle_peer_reply(from, AcceptorReply::Recovery(recovery_reply));
        }
        let outputs = drain(&mut acceptor, 0);
        assert!(
            outputs.contains(&AcceptorOutput::Event(AcceptorEvent::StartedVoting { recovered: true })),
            "{outputs:?}"
        );
        let mut is_granted = |now: Micros, token: FencingToken| {
            let request =
                AcceptorRequest::Claim { lease: "j".into(), token, round: 1, acceptors: acceptors.id() };
            acceptor.handle_request(now, token.process, request);
            let outputs = drain(&mut acceptor, now);
            outputs
                .iter()
                .any(|out| matches!(out, AcceptorOutput::Reply { reply: AcceptorReply::Granted { .. }, .. }))
        };
        assert!(!is_granted(1, holder) && !is_granted(1, other), "{of_b:?} and {of_c:?}");
        assert!(is_granted(TERMS.duration + 1, FencingToken { term: 5, process: ProcessId(9) }));
    }
}

#[test]
fn without_a_majority_no_lease_is_held_and_a_failed_disk_makes_no_promise() {
    let leases = leases(1);
    let mut simulation = Simulation::new(3, 2, &leases, 3);
    simulation.run(2 * SECOND);
    (0..2).for_each(|at| simulation.acceptors[at] = None);
    simulation.run(simulation.now + TERMS.duration + 100 * MILLISECOND);
    assert!(!simulation.is_held(&leases[0]));
    let mut acceptor = Acceptor::new(
        &"a".into(),
        ProcessId(1),
        &AcceptorSet::initial(&["a".into()]),
        TERMS,
        DurableState::default(),
        0,
    );
    let mut number = 0;
    // It initializes its store first, and votes once a majority has.
    for now in [0, 1] {
        acceptor.handle_timeout(now);
        while let Some(output) = acceptor.poll_output() {
            if let AcceptorOutput::Persist { number: own, .. } = output {
                number = own;
            }
        }
        acceptor.write_completed(now, number, true);
    }
    assert!(acceptor.is_voting());
    let token = FencingToken { term: 1, process: ProcessId(7) };
    let set = AcceptorSet::initial(&["a".into()]).id();
    acceptor.handle_request(
        2,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token, round: 1, acceptors: set },
    );
    acceptor.write_completed(3, number + 1, false);
    acceptor.handle_request(
        4,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token, round: 2, acceptors: set },
    );
    let mut outputs = Vec::new();
    while let Some(output) = acceptor.poll_output() {
        outputs.push(output);
    }
    assert!(
        !outputs.iter().any(|output| matches!(
            output,
            AcceptorOutput::Reply { reply: AcceptorReply::Granted { .. }, .. }
        )),
        "{outputs:?}"
    );
    assert!(outputs.contains(&AcceptorOutput::Event(AcceptorEvent::StorageFailed)) && !acceptor.is_voting());
}

fn participants(count: usize) -> Vec<Participant> {
    (0..count).map(|at| Participant { name: format!("gateway-{at}").into(), unwilling: false }).collect()
}

#[test]
fn leases_are_spread_evenly_and_few_move_with_a_gateway() {
    let leases = leases(1_000);
    let (all, fewer) = (participants(30), participants(29));
    let mut each: BTreeMap<Name, usize> = BTreeMap::new();
    let mut moved = 0;
    for lease in &leases {
        let own = first_ranked(lease, &all).expect("there are some");
        moved += usize::from(own != first_ranked(lease, &fewer).expect("there are some"));
        *each.entry(own).or_default() += 1;
    }
    // A thirtieth of a thousand each, with the variance of a hash.
    assert!(each.len() == 30 && each.values().all(|leases| (15..60).contains(leases)), "{each:?}");
    // Only those of the gateway that is gone.
    assert!(moved < 60, "{moved} moved");
}

#[test]
fn an_unwilling_participant_ranks_last_and_every_rank_is_taken_once() {
    let mut all = participants(5);
    let chosen = first_ranked("job", &all).expect("there are some");
    all.iter_mut().find(|own| own.name == chosen).expect("it is there").unwilling = true;
    assert_eq!(rank_of("job", &all, &chosen), Some(4));
    let places: BTreeSet<_> = all.iter().map(|own| rank_of("job", &all, &own.name)).collect();
    assert_eq!(places, (0..5).map(Some).collect());
    assert_eq!(rank_of("job", &all, "stranger"), None);
}
