//! Voters and claimers under random schedules of loss, delay, doubling, restarts, lost folders and uneven clocks; and the order
//! in which gateways come for jobs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fernscale_lease::acceptor::{Acceptor, DurableState, Event as Told, Output, StateChange};
use fernscale_lease::candidate::{Candidate, Event, Output as Wants};
use fernscale_lease::fencing::{FencingDecision, FencingGuard};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest, RecoveryReply, Rejection};
use fernscale_lease::ranking::{first_ranked, rank_of, Participant};
use fernscale_lease::{AcceptorSet, FencingToken, LeaseTerms, Micros, Name, ProcessId, MILLISECOND, SECOND};

const TERMS: LeaseTerms = LeaseTerms { duration: 2 * SECOND, max_drift_ppm: 20_000 };

/// A small generator, so that a seed is a schedule.
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % most.max(1)
    }
}

enum Message {
    Ask(usize, ProcessId, AcceptorRequest),
    Say(ProcessId, Name, AcceptorReply),
    Answer(usize, Name, AcceptorReply),
    Synced(usize, u64, u64),
}

/// A fleet in virtual time. Clocks run evenly or up to a hundredth too fast or slow.
struct World {
    now: Micros,
    chance: Chance,
    names: Vec<Name>,
    /// By which those that start now count.
    voters_of: AcceptorSet,
    disks: Vec<DurableState>,
    /// What is written and not durable yet, in its order.
    writes: Vec<VecDeque<(u64, StateChange)>>,
    voters: Vec<Option<(Acceptor, u64)>>,
    claimers: Vec<Option<Candidate>>,
    paces: Vec<u64>,
    starts: u64,
    order: u64,
    due: BTreeMap<(Micros, u64), Message>,
    loss: u64,
    longest: Micros,
    guard: FencingGuard,
    owners: BTreeMap<(Name, u64), ProcessId>,
    /// When each job was won last, and by which fence.
    won: BTreeMap<Name, FencingToken>,
    events: Vec<(Micros, Told)>,
}

impl World {
    fn new(voters: usize, claimers: usize, jobs: &[Name], seed: u64) -> World {
        let names: Vec<Name> = (0..voters).map(|at| format!("v{at}").into()).collect();
        let mut world = World {
            now: SECOND,
            chance: Chance(seed * 0x9e37_79b9 + 1),
            disks: vec![DurableState::default(); voters],
            writes: vec![VecDeque::new(); voters],
            voters: (0..voters).map(|_| None).collect(),
            voters_of: AcceptorSet::initial(&names),
            names,
            claimers: (0..claimers).map(|_| None).collect(),
            paces: Vec::new(),
            starts: 0,
            order: 0,
            due: BTreeMap::new(),
            loss: 0,
            longest: 2 * MILLISECOND,
            guard: FencingGuard::default(),
            owners: BTreeMap::new(),
            won: BTreeMap::new(),
            events: Vec::new(),
        };
        world.paces = (0..voters + claimers).map(|_| 990_000 + world.chance.below(20_001)).collect();
        (0..voters).for_each(|at| world.start_voter(at));
        (0..claimers).for_each(|at| world.start_claimer(at, jobs));
        world
    }

    fn time(&self, at: usize) -> Micros {
        (u128::from(self.now) * u128::from(self.paces[at]) / 1_000_000) as Micros
    }

    fn start_voter(&mut self, at: usize) {
        self.starts += 1;
        let (start, time) = (ProcessId(self.starts), self.time(at));
        let voter =
            Acceptor::new(&self.names[at], start, &self.voters_of, TERMS, self.disks[at].clone(), time);
        self.voters[at] = Some((voter, self.starts));
        self.writes[at].clear();
    }

    fn start_claimer(&mut self, at: usize, jobs: &[Name]) {
        self.starts += 1;
        let mut claimer = Candidate::new(ProcessId(1_000 + self.starts), &self.voters_of, TERMS, self.starts);
        let time = self.time(self.names.len() + at);
        jobs.iter().for_each(|job| claimer.pursue(time, job, at as Micros * 10 * MILLISECOND));
        self.claimers[at] = Some(claimer);
    }

    fn send(&mut self, message: Message) {
        let copies = 1 + u64::from(self.chance.below(20) == 0 && self.loss > 0);
        if matches!(message, Message::Synced(..)) || self.chance.below(100) >= self.loss {
            self.push(message, copies);
        }
    }

    fn push(&mut self, message: Message, copies: u64) {
        let again = match (&message, copies) {
            (Message::Ask(to, from, ask), 2..) => Some(Message::Ask(*to, *from, ask.clone())),
            (Message::Say(to, from, say), 2..) => Some(Message::Say(*to, from.clone(), say.clone())),
            _ => None,
        };
        for message in [Some(message), again].into_iter().flatten() {
            self.order += 1;
            let at = self.now + 1 + self.chance.below(self.longest);
            self.due.insert((at, self.order), message);
        }
    }

    fn place(&self, name: &Name) -> usize {
        self.names.iter().position(|own| own == name).expect("a voter")
    }

    fn carry_voter(&mut self, at: usize) {
        while let Some(output) = self.voters[at].as_mut().and_then(|(voter, _)| voter.poll_output()) {
            let name = self.names[at].clone();
            match output {
                Output::Persist { number, change } => {
                    let start = self.voters[at].as_ref().map_or(0, |(_, start)| *start);
                    self.writes[at].push_back((number, change));
                    self.send(Message::Synced(at, start, number));
                }
                Output::Reply { to, reply: say } => self.send(Message::Say(to, name, say)),
                Output::Request { to, request: ask } => {
                    self.send(Message::Ask(self.place(&to), ProcessId(at as u64), ask))
                }
                Output::PeerReply { to, reply: say } => {
                    self.send(Message::Answer(self.place(&to), name, say))
                }
                Output::Event(event) => self.events.push((self.now, event)),
            }
        }
    }

    fn carry_claimer(&mut self, at: usize) {
        while let Some(wanted) = self.claimers[at].as_mut().and_then(Candidate::poll_output) {
            match wanted {
                Wants::Request { to, request: ask } => {
                    let run = self.claimers[at].as_ref().expect("it runs").process();
                    self.send(Message::Ask(self.place(&to), run, ask));
                }
                Wants::Event(Event::Acquired { lease: job, token: fence }) => {
                    let one = *self.owners.entry((job.clone(), fence.term)).or_insert(fence.process);
                    assert_eq!(one, fence.process, "term {} of {job} has two owners", fence.term);
                    let before = self.won.insert(job, fence);
                    assert!(before.is_none_or(|before| before < fence), "{before:?} before {fence:?}");
                }
                Wants::Released { .. } | Wants::Offer { .. } | Wants::Event(_) => {}
            }
        }
    }

    /// Goes on; all the while no two own a job, and what owners do is taken in in the order of their terms.
    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += MILLISECOND;
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
                    Message::Ask(to, from, ask) => {
                        let time = self.time(to);
                        if let Some((voter, _)) = &mut self.voters[to] {
                            voter.handle_request(time, from, ask);
                        }
                        self.carry_voter(to);
                    }
                    Message::Answer(to, from, say) => {
                        if let Some((voter, _)) = &mut self.voters[to] {
                            voter.handle_peer_reply(&from, say);
                        }
                        self.carry_voter(to);
                    }
                    Message::Say(to, from, say) => {
                        let of = |claimer: &Option<Candidate>| {
                            claimer.as_ref().is_some_and(|own| own.process() == to)
                        };
                        let Some(at) = self.claimers.iter().position(of) else { continue };
                        let time = self.time(self.names.len() + at);
                        if let Some(claimer) = &mut self.claimers[at] {
                            claimer.handle_reply(time, &from, say);
                        }
                        self.carry_claimer(at);
                    }
                    Message::Synced(at, start, number) => {
                        let time = self.time(at);
                        let Some((voter, own)) = &mut self.voters[at] else { continue };
                        if *own == start {
                            while let Some((_, change)) =
                                self.writes[at].pop_front_if(|(own, _)| *own <= number)
                            {
                                self.disks[at].apply(&change);
                            }
                            voter.write_completed(time, number, true);
                        }
                        self.carry_voter(at);
                    }
                }
            }
            for at in 0..self.voters.len() {
                let time = self.time(at);
                if let Some((voter, _)) = &mut self.voters[at] {
                    voter.handle_timeout(time);
                }
                self.carry_voter(at);
            }
            let mut owners: BTreeSet<Name> = BTreeSet::new();
            for at in 0..self.claimers.len() {
                let time = self.time(self.names.len() + at);
                let Some(claimer) = &mut self.claimers[at] else { continue };
                if claimer.next_deadline().is_some_and(|due| due <= time) {
                    claimer.handle_timeout(time);
                }
                let owned: Vec<_> = claimer.lease_status(time).filter(|own| own.held.is_some()).collect();
                for own in owned {
                    let warrant = claimer.authorization(time, &own.lease).expect("it owns it");
                    let fence = warrant.token();
                    assert!(owners.insert(own.lease.clone()), "two own {} at {} us", own.lease, self.now);
                    let admitted = self.guard.check(&own.lease, fence);
                    assert!(!matches!(admitted, FencingDecision::Stale(_)), "{fence:?} {admitted:?}");
                }
                self.carry_claimer(at);
            }
        }
    }

    fn owned(&self, job: &Name) -> bool {
        let count = self.names.len();
        let owns = |(at, claimer): (usize, &Option<Candidate>)| {
            claimer
                .as_ref()
                .is_some_and(|claimer| claimer.authorization(self.time(count + at), job).is_some())
        };
        self.claimers.iter().enumerate().any(owns)
    }
}

fn jobs(count: usize) -> Vec<Name> {
    (0..count).map(|at| format!("job-{at}").into()).collect()
}

#[test]
fn whatever_happens_a_term_has_one_owner_and_afterwards_every_job_has_one() {
    for seed in 0..60 {
        let (voters, jobs) = ([3, 5, 7][seed as usize % 3], jobs(3));
        let mut world = World::new(voters, 4, &jobs, seed + 1);
        // Two that claim while the last voter is let in may part the promises of a job once.
        world.run(3 * SECOND + TERMS.duration);
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}: no owner after the start");
        (world.loss, world.longest) = (20, 150 * MILLISECOND);
        for _ in 0..10 {
            let until = world.now + 200 * MILLISECOND + world.chance.below(1_500 * MILLISECOND);
            world.run(until);
            let voter = world.chance.below(voters as u64) as usize;
            let claimer = world.chance.below(4) as usize;
            let down = world
                .voters
                .iter()
                .filter(|voter| voter.as_ref().is_none_or(|(own, _)| !own.is_voting()))
                .count();
            match world.chance.below(6) {
                // Fewer than a half are out at a time, and one at most has lost its folder.
                0 | 1 if 2 * (down + 1) < voters => world.voters[voter] = None,
                2 if down == 0 => {
                    world.voters[voter] = None;
                    world.disks[voter] = DurableState::default();
                    world.start_voter(voter);
                }
                3 => world.start_claimer(claimer, &jobs),
                4 => world.claimers[claimer] = None,
                _ => {}
            }
            for at in 0..voters {
                if world.voters[at].is_none() && world.chance.below(3) == 0 {
                    world.start_voter(at);
                }
            }
        }
        (world.loss, world.longest) = (0, 2 * MILLISECOND);
        (0..voters).filter(|at| world.voters[*at].is_none()).collect::<Vec<_>>().into_iter().for_each(|at| {
            world.start_voter(at);
        });
        (0..4).for_each(|at| {
            if world.claimers[at].is_none() {
                world.start_claimer(at, &jobs);
            }
        });
        world.run(world.now + 2 * TERMS.duration + 3 * SECOND);
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}: no owner in the end");
    }
}

#[test]
fn a_job_has_an_owner_again_within_a_lease_after_a_crash_and_at_once_after_it_is_given_back() {
    let jobs = jobs(20);
    let mut world = World::new(3, 3, &jobs, 5);
    world.run(3 * SECOND);
    let held = |world: &World| jobs.iter().filter(|job| world.owned(job)).count();
    assert_eq!(held(&world), 20);
    // The first owns most, as it came first.
    world.claimers[0] = None;
    world.run(world.now + TERMS.duration + SECOND);
    assert_eq!(held(&world), 20);
    let gives_back = |world: &mut World, at: usize| {
        world.claimers[at].as_mut().expect("it runs").release_all();
        world.carry_claimer(at);
        world.claimers[at] = None;
    };
    world.start_claimer(0, &jobs);
    world.run(world.now + SECOND);
    gives_back(&mut world, 1);
    let began = world.now;
    while held(&world) < 20 {
        assert!(world.now < began + TERMS.duration + SECOND, "they are not taken over");
        world.run(world.now + 5 * MILLISECOND);
    }
}

#[test]
fn all_voters_killed_at_once_come_back_and_terms_rise_over_it() {
    let jobs = jobs(2);
    let mut world = World::new(5, 2, &jobs, 9);
    world.run(3 * SECOND);
    let before = world.won.clone();
    (0..5).for_each(|at| world.voters[at] = None);
    world.run(world.now + SECOND);
    // One has lost its folder.
    world.disks[2] = DurableState::default();
    (0..5).for_each(|at| world.start_voter(at));
    world.run(world.now + 3 * TERMS.duration);
    assert!(world.voters.iter().flatten().all(|(voter, _)| voter.is_voting()));
    assert!(jobs.iter().all(|job| world.owned(job)));
    assert!(jobs.iter().all(|job| world.won[job] >= before[job]));
    assert!(world.events.iter().any(|(_, event)| *event == Told::StartedVoting { recovered: true }));
}

/// Danger: at the very first start one hears that nobody has promised anything, and promises before the others have heard
/// the same: they would never be let in.
#[test]
fn voters_that_hear_each_other_at_different_times_at_the_first_start_all_vote() {
    for seed in 1..20 {
        let jobs = jobs(3);
        let mut world = World::new(3, 2, &jobs, seed);
        // What goes to two of them is lost for a while.
        let until = world.now + 2 * SECOND;
        while world.now < until {
            world.due.retain(|_, message| match message {
                Message::Ask(to, ..) | Message::Answer(to, ..) => *to == 0,
                _ => true,
            });
            world.run(world.now + MILLISECOND);
        }
        world.run(world.now + 4 * TERMS.duration);
        assert!(world.voters.iter().flatten().all(|(voter, _)| voter.is_voting()), "seed {seed}");
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}");
    }
}

/// Three voters give way to three of whom one is new, then to three who have nobody in common with the first, while owners
/// come and go: what the first have promised holds for the last.
#[test]
fn voters_change_while_owners_come_and_go_and_a_term_keeps_its_owner() {
    for seed in 1..20 {
        let jobs = jobs(3);
        let mut world = World::new(5, 0, &jobs, seed);
        (3..5).for_each(|at| world.voters[at] = None);
        let three =
            |from: usize| -> Vec<Name> { (from..from + 3).map(|at| format!("v{at}").into()).collect() };
        world.voters_of = AcceptorSet::initial(&three(0));
        (0..3).for_each(|at| world.disks[at] = DurableState::default());
        (0..3).for_each(|at| world.start_voter(at));
        world.claimers = (0..4).map(|_| None).collect();
        world.paces.resize(9, 1_000_000);
        (0..4).for_each(|at| world.start_claimer(at, &jobs));
        world.run(world.now + 3 * SECOND);
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}: at first");
        (world.loss, world.longest) = (10, 60 * MILLISECOND);
        for number in 1..3 {
            let before = world.voters_of.names.clone();
            world.voters_of =
                AcceptorSet { epoch: number as u32, names: three(number), previous_names: before };
            // Those that were, and the one that comes, in some order; claimers in between.
            let mut order: Vec<usize> = (number - 1..number + 3).collect();
            for at in (1..order.len()).rev() {
                order.swap(at, world.chance.below(at as u64 + 1) as usize);
            }
            for at in order {
                world.start_voter(at);
                let claimer = world.chance.below(4) as usize;
                world.start_claimer(claimer, &jobs);
                let until = world.now + world.chance.below(900 * MILLISECOND);
                world.run(until);
            }
            (0..4).for_each(|at| world.start_claimer(at, &jobs));
            world.run(world.now + 3 * TERMS.duration + 3 * SECOND);
            assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}: after change {number}");
            let voting = |at: &usize| world.voters[*at].as_ref().is_some_and(|(voter, _)| voter.is_voting());
            assert_eq!((0..5).filter(voting).collect::<Vec<_>>(), (number..number + 3).collect::<Vec<_>>());
        }
        assert!(world.events.iter().any(|(_, event)| *event == Told::Retired));
    }
}

#[test]
fn a_voter_that_has_begun_a_change_promises_nothing_by_the_voters_before() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let old = AcceptorSet::initial(&names);
    let durable = DurableState {
        is_initialized: true,
        acceptors: old.id(),
        frozen_epoch: 1,
        ..DurableState::default()
    };
    let mut voter = Acceptor::new(&names[0], ProcessId(1), &old, TERMS, durable, 0);
    assert_eq!(voter.poll_output(), Some(Output::Event(Told::DifferentAcceptors(old.id()))));
    let others = AcceptorSet::initial(&[names[0].clone()]);
    let durable = DurableState { is_initialized: true, acceptors: old.id(), ..DurableState::default() };
    let mut voter = Acceptor::new(&names[0], ProcessId(1), &others, TERMS, durable, 0);
    assert_eq!(voter.poll_output(), Some(Output::Event(Told::DifferentAcceptors(old.id()))));
    let mut voter = Acceptor::new(&names[0], ProcessId(1), &old, TERMS, DurableState::default(), 0);
    let fence = FencingToken { term: 1, process: ProcessId(7) };
    voter.handle_request(
        1,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token: fence, round: 1, acceptors: others.id() },
    );
    assert!(matches!(voter.poll_output(), Some(Output::Reply { reply: AcceptorReply::Rejected { .. }, .. })));
}

/// A voter whose disk takes no time: all that it says.
fn said(voter: &mut Acceptor, now: Micros) -> Vec<Output> {
    let mut all = Vec::new();
    while let Some(output) = voter.poll_output() {
        match output {
            Output::Persist { number, .. } => voter.write_completed(now, number, true),
            other => all.push(other),
        }
    }
    all
}

#[test]
fn what_the_voters_before_had_promised_is_taken_over_only_once_a_majority_of_them_promises_no_more() {
    let names: Vec<Name> = ["a", "b", "c", "d"].into_iter().map(Name::from).collect();
    let old = AcceptorSet::initial(&names[..3]);
    let new = AcceptorSet { epoch: 1, names: names[1..].to_vec(), previous_names: names[..3].to_vec() };
    let durable = DurableState { is_initialized: true, acceptors: old.id(), ..DurableState::default() };
    let mut voter = Acceptor::new(&names[1], ProcessId(1), &new, TERMS, durable, 0);
    voter.handle_timeout(0);
    said(&mut voter, 0);
    let fence = FencingToken { term: 4, process: ProcessId(7) };
    let known = |frozen: u32| RecoveryReply {
        acceptor: names[1].clone(),
        write_count: 0,
        incarnation: 0,
        is_initialized: true,
        lost_promises: false,
        never_promised: false,
        acceptors: old.id(),
        frozen_epoch: frozen,
        promises: BTreeMap::from([("j".into(), fence)]),
    };
    // The first may still promise the job to another by the old set, and be part of a majority of it.
    voter.handle_peer_reply(&names[0], AcceptorReply::Recovery(known(0)));
    said(&mut voter, 0);
    assert!(!voter.is_voting());
    voter.handle_peer_reply(&names[0], AcceptorReply::Recovery(known(1)));
    let told = said(&mut voter, 1);
    assert!(
        voter.is_voting() && told.contains(&Output::Event(Told::StartedVoting { recovered: false })),
        "{told:?}"
    );
    let claim = |term: u64, set| AcceptorRequest::Claim {
        lease: "j".into(),
        token: FencingToken { term, process: ProcessId(9) },
        round: 1,
        acceptors: set,
    };
    voter.handle_request(2 * TERMS.duration, ProcessId(9), claim(4, new.id()));
    voter.handle_request(2 * TERMS.duration, ProcessId(9), claim(5, old.id()));
    let refused: Vec<_> = said(&mut voter, 2 * TERMS.duration)
        .into_iter()
        .filter_map(|output| match output {
            Output::Reply { reply: AcceptorReply::Rejected { reason: why, .. }, .. } => Some(why),
            _ => None,
        })
        .collect();
    assert_eq!(refused, [Rejection::HigherPromise(fence), Rejection::DifferentAcceptors(new.id())]);
    voter.handle_request(2 * TERMS.duration, ProcessId(9), claim(5, new.id()));
    let told = said(&mut voter, 2 * TERMS.duration);
    assert!(matches!(told[..], [Output::Reply { reply: AcceptorReply::Granted { .. }, .. }, ..]), "{told:?}");
}

#[test]
fn a_voter_that_has_just_started_holds_what_its_folder_has_for_a_lease_and_nothing_else() {
    let names = [Name::from("a")];
    let set = AcceptorSet::initial(&names).id();
    let (job, fence) = (Name::from("j"), FencingToken { term: 3, process: ProcessId(7) });
    let promises = BTreeMap::from([(job.clone(), fence)]);
    let durable = DurableState { is_initialized: true, acceptors: set, promises, ..DurableState::default() };
    let mut voter =
        Acceptor::new(&names[0], ProcessId(1), &AcceptorSet::initial(&names), TERMS, durable, SECOND);
    voter.handle_timeout(SECOND);
    said(&mut voter, SECOND);
    let mut claims = |now: Micros, job: &str, run: u64, term: u64| {
        let fence = FencingToken { term, process: ProcessId(run) };
        voter.handle_request(
            now,
            ProcessId(run),
            AcceptorRequest::Claim { lease: job.into(), token: fence, round: term, acceptors: set },
        );
        let told = said(&mut voter, now);
        told.iter().any(|out| matches!(out, Output::Reply { reply: AcceptorReply::Granted { .. }, .. }))
    };
    assert!(!claims(SECOND, "j", 9, 4), "whoever had it may hold it still");
    assert!(claims(SECOND, "other", 8, 1) && !claims(SECOND, "other", 9, 2));
    assert!(claims(SECOND + TERMS.duration, "j", 9, 5));
}

/// Danger: a voter that has promised a loser more than the owner's term renews nothing, so that one more that is lost ends a
/// lease that nobody wants.
#[test]
fn an_owner_goes_above_what_a_voter_has_promised_a_loser() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let job = Name::from("j");
    let mut claimer = Candidate::new(ProcessId(7), &AcceptorSet::initial(&names), TERMS, 1);
    claimer.pursue(0, &job, 0);
    let asked = |claimer: &mut Candidate, now: Micros| {
        claimer.handle_timeout(now);
        let mut asked = Vec::new();
        while let Some(wanted) = claimer.poll_output() {
            if let Wants::Request {
                to,
                request: AcceptorRequest::Claim { token: fence, round: number, .. },
            } = wanted
            {
                asked.push((to, fence, number));
            }
        }
        asked
    };
    let grant = |fence, number| AcceptorReply::Granted {
        lease: job.clone(),
        token: fence,
        round: number,
        incarnation: 0,
        incarnations: BTreeMap::new(),
    };
    let [_, _, (_, fence, number)] = asked(&mut claimer, 0)[..] else { panic!("three are asked") };
    let loser = FencingToken { term: 9, process: ProcessId(8) };
    let refused = AcceptorReply::Rejected {
        lease: job.clone(),
        token: fence,
        round: number,
        reason: Rejection::HigherPromise(loser),
    };
    claimer.handle_reply(1, &names[2], refused);
    claimer.handle_reply(1, &names[0], grant(fence, number));
    claimer.handle_reply(1, &names[1], grant(fence, number));
    assert_eq!(claimer.authorization(2, "j").map(|warrant| warrant.token()), Some(fence));
    let renewal = asked(&mut claimer, TERMS.duration / 2);
    let lifted = FencingToken { term: 10, process: ProcessId(7) };
    assert!(renewal.len() == 3 && renewal.iter().all(|(_, fence, _)| *fence == lifted), "{renewal:?}");
    // Until a majority has granted that, the first holds; what is lost on the way is asked again by the same term.
    assert_eq!(claimer.authorization(TERMS.duration / 2, "j").map(|warrant| warrant.token()), Some(fence));
    let now = TERMS.duration / 2 + TERMS.duration / 3;
    let again = asked(&mut claimer, now);
    assert!(again.iter().all(|(_, fence, _)| *fence == lifted), "{again:?}");
    for (name, fence, number) in again {
        claimer.handle_reply(now, &name, grant(fence, number));
    }
    assert_eq!(claimer.authorization(now, "j").map(|warrant| warrant.token()), Some(lifted));
}

#[test]
fn a_voter_whose_disk_stands_still_takes_so_many_claims_and_no_more() {
    let names = [Name::from("a")];
    let set = AcceptorSet::initial(&names).id();
    let durable = DurableState { is_initialized: true, acceptors: set, ..DurableState::default() };
    let mut voter = Acceptor::new(&names[0], ProcessId(1), &AcceptorSet::initial(&names), TERMS, durable, 0);
    voter.handle_timeout(0);
    said(&mut voter, 0);
    let fence = FencingToken { term: 1, process: ProcessId(7) };
    for job in 0..3_000 {
        let job = format!("j{job}").into();
        voter.handle_request(
            1,
            ProcessId(7),
            AcceptorRequest::Claim { lease: job, token: fence, round: 1, acceptors: set },
        );
    }
    let (mut writes, mut busy) = (0, 0);
    while let Some(output) = voter.poll_output() {
        match output {
            Output::Persist { .. } => writes += 1,
            Output::Reply {
                reply: AcceptorReply::Rejected { reason: Rejection::Overloaded, .. }, ..
            } => busy += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(writes + busy == 3_000 && writes <= 1_024, "{writes} and {busy}");
    assert_eq!(voter.durable_state().promises.len(), writes);
}

/// Danger: of two that claim at once each has a voter's promise, and each waits for the end of the other's lease, which nobody
/// wants any more.
#[test]
fn those_who_part_the_voters_between_them_do_not_wait_for_each_others_leases() {
    for seed in 1..25 {
        let jobs = jobs(6);
        let mut world = World::new(3, 3, &jobs, seed);
        world.run(3 * SECOND + TERMS.duration);
        // Letters take longer than those who come next wait for each other, and one voter's disk has failed.
        world.longest = 12 * MILLISECOND;
        let time = world.time(2);
        world.voters[2].as_mut().expect("it runs").0.write_completed(time, 0, false);
        world.run(world.now + SECOND);
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}");
        world.claimers[1] = None;
        world.run(world.now + TERMS.duration + SECOND);
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}: not within a lease and a second");
    }
}

/// Danger: an owner goes together with a voter, and two claim what it had at once. The voter that is back does not know for a
/// lease who holds the job: whoever takes that for an owner's lease leaves the job to nobody for as long again.
#[test]
fn a_voter_that_comes_back_does_not_hold_the_job_of_an_owner_that_is_gone_for_a_second_lease() {
    for seed in 1..40 {
        let jobs = jobs(6);
        let mut world = World::new(3, 3, &jobs, seed);
        world.run(3 * SECOND + TERMS.duration);
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}");
        world.longest = 12 * MILLISECOND;
        let earlier = world.disks[0].clone();
        // A renewal by a higher term, which the folder that comes back does not have.
        world.start_claimer(0, &jobs);
        world.run(world.now + TERMS.duration + SECOND);
        assert!(jobs.iter().all(|job| world.owned(job)), "seed {seed}: not within a lease and a second");
        (world.voters[0], world.claimers[1]) = (None, None);
        world.run(world.now + SECOND);
        if seed % 2 == 0 {
            world.disks[0] = earlier;
        }
        world.start_voter(0);
        world.run(world.now + TERMS.duration);
        let without: Vec<_> = jobs.iter().filter(|job| !world.owned(job)).collect();
        assert!(without.is_empty(), "seed {seed}: {without:?} have no owner after a lease and a second");
    }
}

#[test]
fn a_folder_from_before_is_found_out_and_let_in_anew() {
    let jobs = jobs(1);
    let mut world = World::new(3, 2, &jobs, 11);
    world.run(2 * SECOND);
    let earlier = world.disks[0].clone();
    // The owner ends, so that another term is promised after this.
    let owner = (0..2).find(|at| {
        let claimer = world.claimers[*at].as_ref().expect("it runs");
        claimer.authorization(world.time(3 + at), &jobs[0]).is_some()
    });
    world.claimers[owner.expect("one owns it")] = None;
    world.run(world.now + TERMS.duration + SECOND);
    assert!(world.disks[0].write_count > earlier.write_count, "it has promised nothing since");
    world.disks[0] = earlier;
    world.start_voter(0);
    world.run(world.now + SECOND);
    let told: Vec<_> = world.events.iter().map(|(_, event)| event.clone()).collect();
    assert!(
        told.contains(&Told::LostPromises) && told.contains(&Told::StartedVoting { recovered: true }),
        "{told:?}"
    );
    assert_eq!(world.disks[0].promises, world.disks[1].promises);
}

/// Danger: two of one term, of whom one is the owner by the very promise that this voter has forgotten. To go on with the other's would
/// make that one an owner as well.
#[test]
fn a_voter_that_has_forgotten_gives_a_term_to_none_of_two_whom_others_have_promised_it() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let voters = AcceptorSet::initial(&names);
    let (owner, loser) =
        (FencingToken { term: 4, process: ProcessId(7) }, FencingToken { term: 4, process: ProcessId(8) });
    for [of_b, of_c] in [[owner, loser], [loser, owner]] {
        let mut voter = Acceptor::new(&names[0], ProcessId(1), &voters, TERMS, DurableState::default(), 0);
        voter.handle_timeout(0);
        said(&mut voter, 0);
        for (from, fence) in [(&names[1], of_b), (&names[2], of_c)] {
            let known = RecoveryReply {
                acceptor: names[0].clone(),
                write_count: 5,
                incarnation: 1,
                is_initialized: true,
                lost_promises: false,
                never_promised: false,
                acceptors: voters.id(),
                frozen_epoch: 0,
                promises: BTreeMap::from([("j".into(), fence)]),
            };
            voter.handle_peer_reply(from, AcceptorReply::Recovery(known));
        }
        let told = said(&mut voter, 0);
        assert!(told.contains(&Output::Event(Told::StartedVoting { recovered: true })), "{told:?}");
        let mut granted = |now: Micros, fence: FencingToken| {
            let ask =
                AcceptorRequest::Claim { lease: "j".into(), token: fence, round: 1, acceptors: voters.id() };
            voter.handle_request(now, fence.process, ask);
            let told = said(&mut voter, now);
            told.iter().any(|out| matches!(out, Output::Reply { reply: AcceptorReply::Granted { .. }, .. }))
        };
        assert!(!granted(1, owner) && !granted(1, loser), "{of_b:?} and {of_c:?}");
        assert!(granted(TERMS.duration + 1, FencingToken { term: 5, process: ProcessId(9) }));
    }
}

#[test]
fn without_a_majority_nobody_owns_and_a_disk_that_fails_makes_no_promise() {
    let jobs = jobs(1);
    let mut world = World::new(3, 2, &jobs, 3);
    world.run(2 * SECOND);
    (0..2).for_each(|at| world.voters[at] = None);
    world.run(world.now + TERMS.duration + 100 * MILLISECOND);
    assert!(!world.owned(&jobs[0]));
    let mut voter = Acceptor::new(
        &"a".into(),
        ProcessId(1),
        &AcceptorSet::initial(&["a".into()]),
        TERMS,
        DurableState::default(),
        0,
    );
    let mut number = 0;
    // It is founded first, and votes once a majority is.
    for now in [0, 1] {
        voter.handle_timeout(now);
        while let Some(output) = voter.poll_output() {
            if let Output::Persist { number: own, .. } = output {
                number = own;
            }
        }
        voter.write_completed(now, number, true);
    }
    assert!(voter.is_voting());
    let fence = FencingToken { term: 1, process: ProcessId(7) };
    let set = AcceptorSet::initial(&["a".into()]).id();
    voter.handle_request(
        2,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token: fence, round: 1, acceptors: set },
    );
    voter.write_completed(3, number + 1, false);
    voter.handle_request(
        4,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token: fence, round: 2, acceptors: set },
    );
    let mut said = Vec::new();
    while let Some(output) = voter.poll_output() {
        said.push(output);
    }
    assert!(
        !said
            .iter()
            .any(|output| matches!(output, Output::Reply { reply: AcceptorReply::Granted { .. }, .. })),
        "{said:?}"
    );
    assert!(said.contains(&Output::Event(Told::StorageFailed)) && !voter.is_voting());
}

fn candidates(count: usize) -> Vec<Participant> {
    (0..count).map(|at| Participant { name: format!("gateway-{at}").into(), unwilling: false }).collect()
}

#[test]
fn jobs_are_spread_evenly_and_few_move_with_a_gateway() {
    let jobs = jobs(1_000);
    let (all, fewer) = (candidates(30), candidates(29));
    let mut each: BTreeMap<Name, usize> = BTreeMap::new();
    let mut moved = 0;
    for job in &jobs {
        let own = first_ranked(job, &all).expect("there are some");
        moved += usize::from(own != first_ranked(job, &fewer).expect("there are some"));
        *each.entry(own).or_default() += 1;
    }
    // A thirtieth of a thousand each, give or take some of what chance does.
    assert!(each.len() == 30 && each.values().all(|jobs| (15..60).contains(jobs)), "{each:?}");
    // Only those of the one that is gone.
    assert!(moved < 60, "{moved} moved");
}

#[test]
fn whoever_had_better_not_comes_last_and_everybody_has_a_place_of_its_own() {
    let mut all = candidates(5);
    let chosen = first_ranked("job", &all).expect("there are some");
    all.iter_mut().find(|own| own.name == chosen).expect("it is there").unwilling = true;
    assert_eq!(rank_of("job", &all, &chosen), Some(4));
    let places: BTreeSet<_> = all.iter().map(|own| rank_of("job", &all, &own.name)).collect();
    assert_eq!(places, (0..5).map(Some).collect());
    assert_eq!(rank_of("job", &all, "stranger"), None);
}
