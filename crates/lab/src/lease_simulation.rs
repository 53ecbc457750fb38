//! Owners of the fleet's jobs in virtual time, for as many gateways and jobs as one likes: how long it takes to an owner, and what
//! it costs. Letters take up to two milliseconds, syncs as long as is said; membership is given, as its own time is
//! measured elsewhere.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use fernscale_lease::acceptor::{Acceptor, DurableState, Output};
use fernscale_lease::candidacy::Candidacy;
use fernscale_lease::candidate::{Candidate, Output as Wants};
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::ranking::Participant;
use fernscale_lease::{AcceptorSet, LeaseSettings, Name, ProcessId, MILLISECOND, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use crate::Micros;

const LOOK: Micros = 100 * MILLISECOND;
const STEP: Micros = MILLISECOND;

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub gateways: usize,
    pub voters: usize,
    pub jobs: usize,
    pub lease: Micros,
    /// How long a sync takes.
    pub sync: Micros,
    pub seed: u64,
}

#[derive(Default, Clone, Copy)]
struct Cost {
    letters: u64,
    bytes: u64,
    syncs: u64,
}

struct Fleet {
    now: Micros,
    terms: LeaseSettings,
    voters: AcceptorSet,
    jobs: Vec<Name>,
    sync: Micros,
    chance: ChaCha8Rng,
    names: Vec<Name>,
    voting: BTreeMap<usize, Acceptor>,
    gateways: BTreeMap<usize, (Candidate, Candidacy)>,
    due: BTreeMap<(Micros, u64), (usize, usize, Message)>,
    /// Writes that wait for the sync under way, and when that ends.
    writes: BTreeMap<usize, VecDeque<(Micros, u64)>>,
    order: u64,
    cost: Cost,
}

impl Fleet {
    fn new(asked: Asked) -> Fleet {
        let names: Vec<Name> = (0..asked.gateways).map(|at| format!("gateway-{at}").into()).collect();
        let terms = LeaseSettings { duration: asked.lease, max_drift_ppm: 10_000 };
        let voters = AcceptorSet::initial(&names[..asked.voters]);
        let start = |at: usize| {
            Acceptor::new(&names[at], ProcessId(1 << 32), &voters, terms, DurableState::default(), 0)
        };
        let mut fleet = Fleet {
            now: 0,
            terms,
            jobs: (0..asked.jobs).map(|at| format!("job-{at}").into()).collect(),
            sync: asked.sync,
            chance: ChaCha8Rng::seed_from_u64(asked.seed),
            voting: (0..asked.voters).map(|at| (at, start(at))).collect(),
            gateways: BTreeMap::new(),
            due: BTreeMap::new(),
            writes: BTreeMap::new(),
            order: 0,
            cost: Cost::default(),
            voters,
            names,
        };
        (0..asked.gateways).for_each(|at| fleet.joins(at));
        fleet
    }

    fn joins(&mut self, at: usize) {
        let claimer = Candidate::new(ProcessId(at as u64), &self.voters, self.terms, 7);
        let mut roster = Candidacy::new(&self.names[at], self.terms);
        let added = self.jobs.iter().filter(|job| roster.add(job)).count();
        debug_assert_eq!(added, self.jobs.len());
        self.gateways.insert(at, (claimer, roster));
    }

    fn at(&self, name: &Name) -> usize {
        name.strip_prefix("gateway-").and_then(|at| at.parse().ok()).unwrap_or(0)
    }

    fn send(&mut self, from: usize, to: usize, letter: Message) {
        self.order += 1;
        if from != to {
            self.cost.letters += 1;
            self.cost.bytes += postcard::to_stdvec(&letter).map_or(0, |bytes| bytes.len() as u64);
        }
        let at = self.now + if from == to { 0 } else { self.chance.gen_range(200..2_000) };
        self.due.insert((at, self.order), (from, to, letter));
    }

    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
                let (from, to, letter) = first.remove();
                self.deliver(from, to, letter);
            }
            let done: Vec<_> = self
                .writes
                .iter_mut()
                .filter_map(|(at, writes)| {
                    let count = writes.iter().take_while(|(ends, _)| *ends <= now).count();
                    writes.drain(..count).next_back().map(|(_, number)| (*at, number))
                })
                .collect();
            for (at, number) in done {
                if let Some(voter) = self.voting.get_mut(&at) {
                    voter.write_completed(now, number, true);
                }
                self.carry(at);
            }
            if now.is_multiple_of(LOOK) {
                let there = self.gateways.keys().map(|at| self.names[*at].clone());
                let all: Vec<_> = there.map(|name| Participant { name, unwilling: false }).collect();
                for (claimer, roster) in self.gateways.values_mut() {
                    roster.update(now, &all, claimer);
                }
            }
            let all: BTreeSet<usize> = self.gateways.keys().copied().collect();
            for at in all {
                if let Some(voter) = self.voting.get_mut(&at) {
                    voter.handle_timeout(now);
                }
                let due = self.gateways.get(&at).and_then(|(claimer, _)| claimer.next_deadline());
                if let Some((claimer, _)) =
                    self.gateways.get_mut(&at).filter(|_| due.is_some_and(|due| due <= now))
                {
                    claimer.handle_timeout(now);
                }
                self.carry(at);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, letter: Message) {
        let (now, name, run) = (self.now, self.names[from].clone(), ProcessId(from as u64));
        match letter {
            Message::Request(ask) => {
                if let Some(voter) = self.voting.get_mut(&to) {
                    voter.handle_request(now, run, ask);
                }
            }
            Message::Reply(say @ AcceptorReply::Recovery(_)) => {
                if let Some(voter) = self.voting.get_mut(&to) {
                    voter.handle_peer_reply(&name, say);
                }
            }
            other => {
                if let Some((claimer, roster)) = self.gateways.get_mut(&to) {
                    match other {
                        Message::Reply(say) => claimer.handle_reply(now, &name, say),
                        Message::Released { lease: job, token: fence } => {
                            claimer.lease_released(now, &job, fence);
                        }
                        Message::Offer { lease: job } => roster.offer_received(now, &job, &name, claimer),
                        Message::Request(_) => {}
                    }
                }
            }
        }
        self.carry(to);
    }

    fn carry(&mut self, at: usize) {
        while let Some(output) = self.voting.get_mut(&at).and_then(Acceptor::poll_output) {
            match output {
                Output::Persist { number, .. } => {
                    // Those that come while a sync is under way become durable together by the next.
                    let (now, sync) = (self.now, self.sync);
                    let writes = self.writes.entry(at).or_default();
                    let ends = match writes.back() {
                        Some((ends, _)) if *ends > now + sync => *ends,
                        Some((ends, _)) => {
                            self.cost.syncs += 1;
                            *ends + sync
                        }
                        None => {
                            self.cost.syncs += 1;
                            now + sync
                        }
                    };
                    writes.push_back((ends, number));
                }
                Output::Reply { to, reply: say } => self.send(at, to.0 as usize, Message::Reply(say)),
                Output::Request { to, request: ask } => self.send(at, self.at(&to), Message::Request(ask)),
                Output::PeerReply { to, reply: say } => self.send(at, self.at(&to), Message::Reply(say)),
                Output::Event(_) => {}
            }
        }
        while let Some(wanted) = self.gateways.get_mut(&at).and_then(|(claimer, _)| claimer.poll_output()) {
            match wanted {
                Wants::Request { to, request: ask } => self.send(at, self.at(&to), Message::Request(ask)),
                Wants::Released { to, lease: job, token: fence } => {
                    self.send(at, self.at(&to), Message::Released { lease: job, token: fence });
                }
                Wants::Offer { to, lease: job } => {
                    self.send(at, to.0 as usize, Message::Offer { lease: job });
                }
                Wants::Event(_) => {}
            }
        }
    }

    fn owners(&self) -> Vec<Option<usize>> {
        let mut owners: BTreeMap<&Name, usize> = BTreeMap::new();
        for (at, (claimer, _)) in &self.gateways {
            let owned = self.jobs.iter().filter(|job| claimer.authorization(self.now, job).is_some());
            owners.extend(owned.map(|job| (job, *at)));
        }
        self.jobs.iter().map(|job| owners.get(job).copied()).collect()
    }

    /// How long until all jobs have an owner.
    fn until_owned(&mut self, most: Micros) -> Option<Micros> {
        let began = self.now;
        while self.now < began + most {
            self.run(self.now + 5 * MILLISECOND);
            if self.owners().iter().all(Option::is_some) {
                return Some(self.now - began);
            }
        }
        None
    }
}

/// Times and costs of one fleet.
pub fn measure(asked: Asked) -> Value {
    let began = Instant::now();
    let mut fleet = Fleet::new(asked);
    let ms = |time: Option<Micros>| time.map(|time| time as f64 / MILLISECOND as f64);
    let first = fleet.until_owned(30 * SECOND);
    let at_first = fleet.cost;
    fleet.run(fleet.now + 3 * asked.lease);
    let mut each: BTreeMap<usize, usize> = BTreeMap::new();
    fleet.owners().into_iter().flatten().for_each(|at| *each.entry(at).or_default() += 1);
    let before = fleet.cost;
    fleet.run(fleet.now + 10 * SECOND);
    let after = fleet.cost;
    let a_second = |one: u64, other: u64| (one - other) as f64 / 10.0;
    // Of those that own most, no voter: one ends, then another is killed.
    let mut busy: Vec<_> =
        each.iter().filter(|(at, _)| **at >= asked.voters || asked.gateways <= asked.voters).collect();
    busy.sort_by_key(|(_, jobs)| std::cmp::Reverse(**jobs));
    let busy: Vec<usize> = busy.into_iter().map(|(at, _)| *at).take(2).collect();
    let ended = busy.first().map(|at| {
        let now = fleet.now;
        if let Some((claimer, roster)) = fleet.gateways.get_mut(at) {
            roster.shut_down(now, claimer);
        }
        fleet.carry(*at);
        fleet.gateways.remove(at);
        fleet.until_owned(30 * SECOND)
    });
    fleet.run(fleet.now + 3 * SECOND);
    let killed = busy.get(1).map(|at| {
        fleet.gateways.remove(at);
        fleet.until_owned(30 * SECOND)
    });
    json!({
        "gateways": asked.gateways, "voters": asked.voters, "jobs": asked.jobs, "lease_ms": ms(Some(asked.lease)),
        "sync_ms": ms(Some(asked.sync)),
        "first_owners_ms": ms(first), "letters_to_first_owners": at_first.letters, "syncs_to_first_owners": at_first.syncs,
        "owners": each.len(), "most_jobs_of_one": each.values().max(), "fewest_jobs_of_an_owner": each.values().min(),
        "letters_a_second": a_second(after.letters, before.letters),
        "bytes_a_second": a_second(after.bytes, before.bytes),
        "syncs_a_second": a_second(after.syncs, before.syncs),
        "bytes_a_second_a_job": a_second(after.bytes, before.bytes) / asked.jobs.max(1) as f64,
        "after_sigterm_ms": ended.map(ms), "after_a_kill_ms": killed.map(ms),
        "took_s": began.elapsed().as_secs_f64(),
    })
}
