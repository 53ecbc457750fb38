//! Owners of jobs, small enough that every interleaving can be looked at: three voters, two that want one job, a network that
//! reorders, loses and doubles, a voter that ends and starts again with its folder kept or lost, clocks that run unevenly,
//! and effects that come as late as they like. It runs the code that gateways run; what it does wrong on purpose is done
//! around that code, as a shell would do it wrong.

use std::collections::{BTreeMap, VecDeque};

use fernscale_lease::acceptor::{Acceptor, DurableState, Output, StateChange};
use fernscale_lease::candidate::{Candidate, Event, Output as Wants};
use fernscale_lease::fencing::{FencingDecision, FencingGuard};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest};
use fernscale_lease::{
    AcceptorSet, AcceptorSetId, FencingToken, LeaseSettings, Micros, Name, ProcessId, MILLISECOND,
};

use crate::explore::System;

/// A mistake that the explorer must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, clap::ValueEnum)]
pub enum SeededMistake {
    None,
    /// A voter answers before its promise is durable.
    EarlyAnswer,
    /// A voter that has lost its folder votes on.
    Forgets,
    /// A gateway starts again as the run that it was.
    Reused,
    /// Effects are taken in whatever their fence.
    NoFence,
    /// The owner's lease is as long as the voters', though clocks run unevenly.
    NoMargin,
    /// Voters go by a change of them at once, whatever those before have promised and go on to promise.
    NoFreeze,
}

/// What may happen beside messages.
#[derive(Clone, Copy, Debug)]
pub struct FaultBudget {
    /// How much may be out of the usual in one run, all in all: a message that is overtaken, lost or doubled, a voter that
    /// ends, a clock that moves on before all that was sent has come.
    pub odd: u32,
    pub lost: u32,
    pub doubled: u32,
    pub overtaken: u32,
    /// Times that the clock moves on before all has come, or past what is due.
    pub jumps: u32,
    /// Voters that end and start again.
    pub crashes: u32,
    /// They start with an empty folder.
    pub lose_folder: bool,
    /// Times that the clock moves on.
    pub advances: u32,
    /// Effects that each owner sets out to do.
    pub effects: u32,
    /// The last of three voters gives way to a fourth: each of the four starts anew with that in its configuration, in this order,
    /// at any moment. One of those that want the job goes by the voters before to the end, the other by the new ones.
    pub change: Option<[usize; 4]>,
}

/// Three vote; the fourth comes with a change.
const VOTERS: usize = 4;
const CLAIMERS: usize = 2;
/// So short that a claim is given up before it is asked again: what is asked again is only more of the same.
const LEASE: Micros = 240 * MILLISECOND;
/// Voters' clocks run faster than claimers' by this, and the leases' bound on that, in millionths.
const FASTER: u64 = 100_000;
const DRIFT: u64 = 150_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask { to: usize, from: ProcessId, ask: AcceptorRequest },
    Say { to: usize, from: usize, say: AcceptorReply },
    Answer { to: usize, from: usize, say: AcceptorReply },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Deliver(usize),
    Lose(usize),
    Double(usize),
    /// The oldest write of a voter becomes durable.
    Sync(usize),
    /// A voter ends, and starts with the new voters in its configuration.
    Change(usize),
    Crash(usize),
    Restart(usize),
    Advance(Micros),
    /// An owner looks at its lease, and sets out to do something.
    Act(usize),
    /// What it does comes to where it has its effect.
    Comes(usize),
}

#[derive(Clone, Hash)]
pub struct LeaseSystem {
    seeded: SeededMistake,
    /// How many things may still be out of the usual.
    odd: u32,
    left: [u32; 6],
    lose_folder: bool,
    effects: [u32; CLAIMERS],
    now: Micros,
    voters: Vec<Option<Acceptor>>,
    disks: Vec<DurableState>,
    writes: Vec<VecDeque<(u64, StateChange)>>,
    starts: u64,
    /// Those whose configuration has the old voters, in the order in which they get the new ones.
    old: VecDeque<usize>,
    changes: bool,
    claimers: Vec<Candidate>,
    net: Vec<Message>,
    /// Effects on their way: they come as late as they like.
    acts: Vec<FencingToken>,
    guard: FencingGuard,
    /// The highest effect that was taken in, and what went wrong.
    done: Option<FencingToken>,
    owners: BTreeMap<u64, ProcessId>,
    gained: Vec<FencingToken>,
    wrong: Option<String>,
}

fn names() -> [Name; VOTERS] {
    ["a", "b", "c", "d"].map(Name::from)
}

/// The voters at first, and after their change.
fn sets() -> [AcceptorSet; 2] {
    let [a, b, c, d] = names();
    let first = AcceptorSet::initial(&[a.clone(), b.clone(), c]);
    let second = AcceptorSet { epoch: 1, names: vec![a, b, d], previous_names: first.names.clone() };
    [first, second]
}

fn job() -> Name {
    "job".into()
}

impl LeaseSystem {
    pub fn new(seeded: SeededMistake, trouble: FaultBudget) -> Self {
        let mut owners = LeaseSystem {
            seeded,
            odd: trouble.odd,
            left: [
                trouble.lost,
                trouble.doubled,
                trouble.crashes,
                trouble.advances,
                trouble.overtaken,
                trouble.jumps,
            ],
            lose_folder: trouble.lose_folder,
            effects: [trouble.effects; CLAIMERS],
            now: 0,
            voters: vec![None; VOTERS],
            disks: vec![DurableState::default(); VOTERS],
            writes: vec![VecDeque::new(); VOTERS],
            starts: 0,
            old: trouble.change.iter().flatten().copied().collect(),
            changes: trouble.change.is_some(),
            claimers: Vec::new(),
            net: Vec::new(),
            acts: Vec::new(),
            guard: FencingGuard::default(),
            done: None,
            owners: BTreeMap::new(),
            gained: Vec::new(),
            wrong: None,
        };
        // They are let in at first, all together, and long before anybody wants anything.
        (0..VOTERS - 1).for_each(|at| owners.start(at));
        while !owners.voters.iter().flatten().all(Acceptor::is_voting) {
            owners.tick();
            while !owners.net.is_empty() {
                owners.take(&Step::Deliver(0));
            }
            while let Some(Step::Sync(at)) = owners.usual() {
                owners.take(&Step::Sync(at));
            }
            owners.now += 100 * MILLISECOND;
        }
        owners.now += 10 * LEASE;
        for at in 0..CLAIMERS {
            let terms = LeaseSettings {
                duration: LEASE,
                max_drift_ppm: if seeded == SeededMistake::NoMargin { 0 } else { DRIFT },
            };
            let voters = &sets()[usize::from(trouble.change.is_some() && at > 0)];
            let mut claimer = Candidate::new(ProcessId(100 + at as u64), voters, terms, 7);
            claimer.pursue(owners.now, &job(), 0);
            owners.claimers.push(claimer);
        }
        owners.tick();
        owners.odd = trouble.odd;
        owners
    }

    fn voter_time(&self) -> Micros {
        self.now + self.now * FASTER / 1_000_000
    }

    fn start(&mut self, at: usize) {
        self.starts += 1;
        let terms = LeaseSettings { duration: LEASE, max_drift_ppm: DRIFT };
        let voters = &sets()[usize::from(self.changed(at))];
        if self.seeded == SeededMistake::NoFreeze && self.changed(at) {
            (self.disks[at].acceptors, self.disks[at].is_initialized) = (voters.id(), true);
        }
        let (run, folder) = (ProcessId(self.starts), self.disks[at].clone());
        let voter = Acceptor::new(&names()[at], run, voters, terms, folder, self.voter_time());
        self.voters[at] = Some(voter);
        self.writes[at].clear();
    }

    /// It goes by the new voters.
    fn changed(&self, at: usize) -> bool {
        self.changes && !self.old.contains(&at)
    }

    /// Ended for now: it is to start again. The fourth is not there before the change has come to it.
    fn down(&self, at: usize) -> bool {
        self.voters[at].is_none() && (at < VOTERS - 1 || self.changed(at))
    }

    fn place(name: &Name) -> usize {
        names().iter().position(|own| own == name).unwrap_or(0)
    }

    fn send(&mut self, message: Message) {
        self.net.push(message);
    }

    /// All that is due now.
    fn tick(&mut self) {
        let time = self.voter_time();
        for at in 0..VOTERS {
            if let Some(voter) = &mut self.voters[at] {
                voter.handle_timeout(time);
            }
            self.carry_voter(at);
        }
        for at in 0..self.claimers.len() {
            self.claimers[at].handle_timeout(self.now);
            self.carry_claimer(at);
        }
    }

    fn carry_voter(&mut self, at: usize) {
        while let Some(output) = self.voters[at].as_mut().and_then(Acceptor::poll_output) {
            match output {
                Output::Persist { number, change } => {
                    self.writes[at].push_back((number, change));
                    if self.seeded == SeededMistake::EarlyAnswer {
                        let time = self.voter_time();
                        if let Some(voter) = &mut self.voters[at] {
                            voter.write_completed(time, number, true);
                        }
                    }
                }
                Output::Reply { to, reply: say } => {
                    let of = self.claimers.iter().position(|claimer| claimer.process() == to);
                    if let Some(to) = of {
                        self.send(Message::Say { to, from: at, say });
                    }
                }
                // What voters tell each other of their writes matters only to a folder from before.
                Output::Request { request: AcceptorRequest::WriteCount { .. }, .. } => {}
                Output::Request { to, request: ask } => {
                    self.send(Message::Ask { to: LeaseSystem::place(&to), from: ProcessId(at as u64), ask });
                }
                Output::PeerReply { to, reply: say } => {
                    self.send(Message::Answer { to: LeaseSystem::place(&to), from: at, say });
                }
                Output::Event(_) => {}
            }
        }
    }

    fn carry_claimer(&mut self, at: usize) {
        while let Some(wanted) = self.claimers[at].poll_output() {
            match wanted {
                Wants::Request { to, request: ask } => {
                    let from = self.claimers[at].process();
                    self.send(Message::Ask { to: LeaseSystem::place(&to), from, ask });
                }
                Wants::Event(Event::Acquired { token: fence, .. }) => self.owns(fence),
                // Nobody hands over here.
                Wants::Released { .. } | Wants::Offer { .. } | Wants::Event(_) => {}
            }
        }
    }

    fn owns(&mut self, fence: FencingToken) {
        if *self.owners.entry(fence.term).or_insert(fence.process) != fence.process {
            self.wrong = Some(format!("term {} has two owners", fence.term));
        }
        if let Some(before) = self.gained.iter().max().filter(|before| **before >= fence) {
            self.wrong = Some(format!("term {} was won after term {}", fence.term, before.term));
        }
        self.gained.push(fence);
    }

    fn deliver(&mut self, message: Message) {
        let time = self.voter_time();
        match message {
            Message::Ask { to, from, ask } => {
                if let Some(voter) = &mut self.voters[to] {
                    voter.handle_request(time, from, ask);
                }
                self.carry_voter(to);
            }
            Message::Answer { to, from, say } => {
                if let Some(voter) = &mut self.voters[to] {
                    voter.handle_peer_reply(&names()[from], say);
                }
                self.carry_voter(to);
            }
            Message::Say { to, from, say } => {
                self.claimers[to].handle_reply(self.now, &names()[from], say);
                self.carry_claimer(to);
            }
        }
    }

    fn comes(&mut self, fence: FencingToken) {
        let admitted = match self.seeded {
            SeededMistake::NoFence => true,
            _ => matches!(self.guard.check(&job(), fence), FencingDecision::Current | FencingDecision::Newer),
        };
        if admitted {
            if self.done.is_some_and(|done| done > fence) {
                self.wrong = Some(format!("an effect of term {} came after a later one's", fence.term));
            }
            self.done = self.done.max(Some(fence));
        }
    }

    /// What comes next where nothing is out of the usual: what was written is durable, messages come in their order, and
    /// where there are none, time goes on to what is due next.
    fn usual(&self) -> Option<Step> {
        if let Some(at) = (0..VOTERS).find(|at| !self.writes[*at].is_empty()) {
            return Some(Step::Sync(at));
        }
        if !self.net.is_empty() {
            return Some(Step::Deliver(0));
        }
        if let Some(at) = (0..VOTERS).find(|at| self.down(*at)) {
            return Some(Step::Restart(at));
        }
        let first = self.dues().into_iter().min()?;
        (self.left[3] > 0).then_some(Step::Advance(first))
    }

    /// Times to which the clock may move: past some of them, as if everybody had stood still.
    fn dues(&self) -> std::collections::BTreeSet<Micros> {
        let claimers = self.claimers.iter().filter_map(Candidate::next_deadline);
        // When the first voter may promise it anew, by the claimers' clock.
        let held = self.voters.iter().flatten().filter_map(|voter| voter.holder(self.voter_time(), "job"));
        let held = held.map(|(_, left)| self.now + left * 1_000_000 / (1_000_000 + FASTER) + 1);
        let hellos = self.voters.iter().flatten().filter_map(Acceptor::next_deadline);
        let hellos = hellos.map(|at| at * 1_000_000 / (1_000_000 + FASTER) + 1);
        claimers.chain(held).chain(hellos).map(|at| at.max(self.now + 1)).collect()
    }
}

impl LeaseSystem {
    /// Who owns the job now, if anybody does.
    pub fn owner(&self) -> Option<ProcessId> {
        let owns = |claimer: &&Candidate| claimer.authorization(self.now, "job").is_some();
        self.claimers.iter().find(owns).map(Candidate::process)
    }

    /// A run told step by step, for people: what each step was about, and who owned the job after it.
    pub fn told(mut self, steps: &[Step]) -> Vec<String> {
        let mut told = Vec::new();
        for step in steps {
            let about = match step {
                Step::Deliver(at) | Step::Lose(at) | Step::Double(at) => format!("{:?}", self.net[*at]),
                _ => String::new(),
            };
            self.take(step);
            let owners: Vec<u64> = self
                .claimers
                .iter()
                .filter_map(|claimer| {
                    claimer.authorization(self.now, "job").map(|warrant| warrant.token().term)
                })
                .collect();
            told.push(format!("{} us, terms {owners:?}: {step:?} {about}", self.now));
        }
        told
    }
}

impl System for LeaseSystem {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let usual = self.usual();
        let mut steps: Vec<Step> = usual.clone().into_iter().collect();
        for at in 0..self.claimers.len() {
            if self.effects[at] > 0 && self.claimers[at].authorization(self.now, "job").is_some() {
                steps.push(Step::Act(at));
            }
        }
        steps.extend((0..self.acts.len()).map(Step::Comes));
        steps.extend(self.old.front().copied().map(Step::Change));
        for at in 0..VOTERS {
            if self.down(at) && !matches!(usual, Some(Step::Restart(_))) {
                steps.push(Step::Restart(at));
            }
        }
        if self.odd == 0 {
            return steps;
        }
        for at in 0..self.net.len() {
            if self.left[4] > 0 {
                steps.push(Step::Deliver(at));
            }
            if self.left[0] > 0 {
                steps.push(Step::Lose(at));
            }
            if self.left[1] > 0 {
                steps.push(Step::Double(at));
            }
        }
        for at in 0..VOTERS {
            if !self.writes[at].is_empty() && self.left[4] > 0 {
                steps.push(Step::Sync(at));
            }
            if self.voters[at].is_some() && self.left[2] > 0 {
                steps.push(Step::Crash(at));
            }
        }
        if self.left[3] > 0 && self.left[5] > 0 {
            steps.extend(self.dues().into_iter().map(Step::Advance));
        }
        steps.retain(|step| !matches!((step, &usual), (Step::Deliver(0), Some(Step::Deliver(0)))));
        steps.extend(usual.filter(|usual| matches!(usual, Step::Deliver(0))));
        steps
    }

    fn take(&mut self, step: &Step) {
        let free = matches!(step, Step::Act(_) | Step::Comes(_) | Step::Restart(_) | Step::Change(_))
            || self.usual().as_ref() == Some(step);
        if !free {
            self.odd = self.odd.saturating_sub(1);
            match step {
                Step::Deliver(_) | Step::Sync(_) => self.left[4] = self.left[4].saturating_sub(1),
                Step::Advance(_) => self.left[5] = self.left[5].saturating_sub(1),
                _ => {}
            }
        }
        match step {
            Step::Deliver(at) => {
                let message = self.net.remove(*at);
                self.deliver(message);
            }
            Step::Lose(at) => {
                self.net.remove(*at);
                self.left[0] -= 1;
            }
            Step::Double(at) => {
                let message = self.net[*at].clone();
                self.left[1] -= 1;
                self.send(message);
            }
            Step::Sync(at) => {
                if let Some((number, change)) = self.writes[*at].pop_front() {
                    self.disks[*at].apply(&change);
                    let time = self.voter_time();
                    if let Some(voter) =
                        self.voters[*at].as_mut().filter(|_| self.seeded != SeededMistake::EarlyAnswer)
                    {
                        voter.write_completed(time, number, true);
                    }
                    self.carry_voter(*at);
                }
            }
            Step::Crash(at) => {
                self.left[2] -= 1;
                self.voters[*at] = None;
                self.writes[*at].clear();
                if self.lose_folder {
                    let founded = self.seeded == SeededMistake::Forgets;
                    // One that forgets believes that it votes as before.
                    let set = if founded { self.disks[*at].acceptors } else { AcceptorSetId::default() };
                    self.disks[*at] =
                        DurableState { is_initialized: founded, acceptors: set, ..DurableState::default() };
                }
                if self.seeded == SeededMistake::Reused {
                    // A claimer ends as well, and comes back as who it was.
                    let run = self.claimers[0].process();
                    let mut claimer = Candidate::new(
                        run,
                        &sets()[0],
                        LeaseSettings { duration: LEASE, max_drift_ppm: DRIFT },
                        7,
                    );
                    claimer.pursue(self.now, &job(), 0);
                    self.claimers[0] = claimer;
                }
            }
            Step::Comes(at) => {
                let fence = self.acts.remove(*at);
                self.comes(fence);
            }
            Step::Change(at) => {
                // Whatever it had not made durable is gone, as with any end.
                self.old.retain(|own| own != at);
                self.start(*at);
                self.tick();
            }
            Step::Restart(at) => {
                self.start(*at);
                self.tick();
            }
            Step::Advance(to) => {
                self.left[3] -= 1;
                self.now = *to;
                self.tick();
            }
            Step::Act(at) => {
                self.effects[*at] -= 1;
                let fence = self.claimers[*at].authorization(self.now, "job").map(|warrant| warrant.token());
                if let Some(fence) = fence {
                    self.acts.push(fence);
                }
            }
        }
    }

    fn wrong(&self) -> Option<String> {
        let owns = |claimer: &&Candidate| claimer.authorization(self.now, "job").is_some();
        if self.claimers.iter().filter(owns).count() > 1 {
            return Some("two own the job at one moment".into());
        }
        self.wrong.clone()
    }
}
