//! Which jobs a gateway wants, when it hands one over, and to whom: rosters of a whole fleet with voters that always answer.

use std::collections::{BTreeMap, VecDeque};

use fernscale_lease::acceptor::{Acceptor, DurableState, Output};
use fernscale_lease::candidacy::Candidacy;
use fernscale_lease::candidate::{Candidate, Output as Wants};
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::ranking::{ranked, Participant};
use fernscale_lease::{AcceptorSet, LeaseTerms, Micros, Name, ProcessId, MILLISECOND, SECOND};

const TERMS: LeaseTerms = LeaseTerms { duration: SECOND, max_drift_ppm: 10_000 };
const LOOK: Micros = 100 * MILLISECOND;

/// Letters take a millisecond; a disk none.
struct Fleet {
    now: Micros,
    voters: Vec<(Name, Acceptor)>,
    gateways: BTreeMap<Name, (Candidate, Candidacy)>,
    unwilling: Vec<Name>,
    letters: VecDeque<(Name, Name, Message)>,
    asked: u64,
}

fn name(at: usize) -> Name {
    format!("gateway-{at}").into()
}

fn job() -> Name {
    "bills".into()
}

impl Fleet {
    fn new(count: usize, jobs: &[Name]) -> Fleet {
        let names: Vec<Name> = (0..3).map(name).collect();
        let voter = |own: &Name| {
            let voter = Acceptor::new(
                own,
                ProcessId(900),
                &AcceptorSet::initial(&names),
                TERMS,
                DurableState::default(),
                0,
            );
            (own.clone(), voter)
        };
        let mut fleet = Fleet {
            now: 0,
            voters: names.iter().map(voter).collect(),
            gateways: BTreeMap::new(),
            unwilling: Vec::new(),
            letters: VecDeque::new(),
            asked: 0,
        };
        (0..count).for_each(|at| fleet.joins(at, jobs));
        fleet
    }

    fn joins(&mut self, at: usize, jobs: &[Name]) {
        let names: Vec<Name> = self.voters.iter().map(|(own, _)| own.clone()).collect();
        let claimer = Candidate::new(ProcessId(at as u64 + 1), &AcceptorSet::initial(&names), TERMS, 7);
        let mut roster = Candidacy::new(&name(at), TERMS);
        assert!(jobs.iter().all(|job| roster.add(job)));
        self.gateways.insert(name(at), (claimer, roster));
    }

    fn candidates(&self) -> Vec<Participant> {
        self.gateways.keys().map(|name| Participant { name: name.clone(), unwilling: false }).collect()
    }

    fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += MILLISECOND;
            for (from, to, letter) in std::mem::take(&mut self.letters) {
                self.deliver(&from, &to, letter);
            }
            let candidates = self.candidates();
            for (own, (claimer, roster)) in &mut self.gateways {
                if self.now.is_multiple_of(LOOK) {
                    // Nobody else hears that one is unwilling.
                    let mut all = candidates.clone();
                    all.iter_mut().for_each(|one| {
                        one.unwilling = one.name == *own && self.unwilling.contains(own);
                    });
                    roster.update(self.now, &all, claimer);
                }
                claimer.handle_timeout(self.now);
            }
            self.voters.iter_mut().for_each(|(_, voter)| voter.handle_timeout(self.now));
            self.carry();
        }
    }

    fn deliver(&mut self, from: &Name, to: &Name, letter: Message) {
        let run = self.gateways.get(from).map_or(ProcessId(0), |(claimer, _)| claimer.process());
        let voter = self.voters.iter_mut().find(|(own, _)| own == to);
        match letter {
            Message::Request(ask) => {
                self.asked += 1;
                if let Some((_, voter)) = voter {
                    voter.handle_request(self.now, run, ask);
                }
            }
            Message::Reply(say @ AcceptorReply::Recovery(_)) => {
                if let Some((_, voter)) = voter {
                    voter.handle_peer_reply(from, say);
                }
            }
            other => {
                let Some((claimer, roster)) = self.gateways.get_mut(to) else { return };
                match other {
                    Message::Reply(say) => claimer.handle_reply(self.now, from, say),
                    Message::Released { lease: job, token: fence } => {
                        claimer.lease_released(self.now, &job, fence)
                    }
                    Message::Offer { lease: job } => roster.offer_received(self.now, &job, from, claimer),
                    Message::Request(_) => {}
                }
            }
        }
    }

    fn carry(&mut self) {
        let by_run = |gateways: &BTreeMap<Name, (Candidate, Candidacy)>, run: ProcessId| {
            gateways.iter().find(|(_, (claimer, _))| claimer.process() == run).map(|(name, _)| name.clone())
        };
        for at in 0..self.voters.len() {
            let own = self.voters[at].0.clone();
            while let Some(output) = self.voters[at].1.poll_output() {
                match output {
                    Output::Persist { number, .. } => {
                        self.voters[at].1.write_completed(self.now, number, true)
                    }
                    Output::Reply { to, reply: say } => {
                        let to = by_run(&self.gateways, to);
                        self.letters.extend(to.map(|to| (own.clone(), to, Message::Reply(say))));
                    }
                    Output::Request { to, request: ask } => {
                        self.letters.push_back((own.clone(), to, Message::Request(ask)))
                    }
                    Output::PeerReply { to, reply: say } => {
                        self.letters.push_back((own.clone(), to, Message::Reply(say)))
                    }
                    Output::Event(_) => {}
                }
            }
        }
        let mut out = Vec::new();
        for (own, (claimer, _)) in &mut self.gateways {
            while let Some(wanted) = claimer.poll_output() {
                out.push((own.clone(), wanted));
            }
        }
        for (own, wanted) in out {
            match wanted {
                Wants::Request { to, request: ask } => {
                    self.letters.push_back((own, to, Message::Request(ask)))
                }
                Wants::Released { to, lease: job, token: fence } => {
                    self.letters.push_back((own, to, Message::Released { lease: job, token: fence }))
                }
                Wants::Offer { to, lease: job } => {
                    let to = by_run(&self.gateways, to);
                    self.letters.extend(to.map(|to| (own, to, Message::Offer { lease: job })));
                }
                Wants::Event(_) => {}
            }
        }
    }

    fn owner(&self, job: &str) -> Option<Name> {
        let owns = |claimer: &Candidate| claimer.authorization(self.now, job).is_some();
        self.gateways.iter().find(|(_, (claimer, _))| owns(claimer)).map(|(name, _)| name.clone())
    }
}

#[test]
fn the_first_in_order_owns_and_only_a_few_ask() {
    let mut fleet = Fleet::new(30, &[job()]);
    fleet.run(4 * SECOND);
    assert_eq!(fleet.owner("bills"), ranked("bills", &fleet.candidates()).into_iter().next());
    let before = fleet.asked;
    fleet.run(10 * SECOND);
    // Three renewals a second at three voters, and two others that ask each of them once a lease.
    assert!(fleet.asked - before < 250, "{} letters", fleet.asked - before);
}

#[test]
fn whoever_comes_first_by_now_takes_over_after_the_least_stay_and_not_before() {
    let order = ranked("bills", &Fleet::new(8, &[]).candidates());
    let last: usize = order[0].strip_prefix("gateway-").and_then(|at| at.parse().ok()).expect("a number");
    let mut fleet = Fleet::new(8, &[job()]);
    let first = fleet.gateways.remove(&order[0]).expect("it is there");
    drop(first);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.owner("bills").as_ref(), Some(&order[1]));
    fleet.joins(last, &[job()]);
    fleet.run(5 * SECOND);
    assert_eq!(fleet.owner("bills").as_ref(), Some(&order[1]), "it has had it for less than its stay");
    fleet.run(6 * SECOND);
    assert_eq!(fleet.owner("bills").as_ref(), Some(&order[0]));
    fleet.run(20 * SECOND);
    assert_eq!(fleet.owner("bills").as_ref(), Some(&order[0]), "it stays");
}

#[test]
fn an_owner_that_had_better_not_hands_over_once_and_offers_nothing() {
    let mut fleet = Fleet::new(6, &[job()]);
    fleet.run(3 * SECOND);
    let order = ranked("bills", &fleet.candidates());
    fleet.unwilling = vec![order[0].clone()];
    fleet.run(400 * MILLISECOND);
    assert_eq!(fleet.owner("bills").as_ref(), Some(&order[1]));
    // Long after the stay of the second.
    fleet.run(25 * SECOND);
    assert_eq!(fleet.owner("bills").as_ref(), Some(&order[1]));
}

#[test]
fn a_gateway_that_ends_leaves_its_jobs_to_the_next_at_once() {
    let jobs: Vec<Name> = (0..40).map(|at| format!("job-{at}").into()).collect();
    let mut fleet = Fleet::new(5, &jobs);
    fleet.run(4 * SECOND);
    let owned = |fleet: &Fleet| jobs.iter().filter(|job| fleet.owner(job).is_some()).count();
    assert_eq!(owned(&fleet), 40);
    let end = |fleet: &mut Fleet, at: usize| {
        let now = fleet.now;
        let (claimer, roster) = fleet.gateways.get_mut(&name(at)).expect("it runs");
        roster.shut_down(now, claimer);
        fleet.carry();
        fleet.run(5 * MILLISECOND);
        fleet.gateways.remove(&name(at));
    };
    end(&mut fleet, 4);
    fleet.run(250 * MILLISECOND);
    assert_eq!(owned(&fleet), 40);
}

/// Danger: the word that a job is free comes while a claim is under way, whose refusals are from before it, and the next ones
/// wait for the end of a lease that nobody has.
#[test]
fn a_job_that_is_given_back_at_any_moment_is_the_next_ones_at_once() {
    for offset in 0..60 {
        let mut fleet = Fleet::new(5, &[job()]);
        fleet.run(3 * SECOND + offset * 20 * MILLISECOND);
        let owner = fleet.owner("bills").expect("somebody owns it");
        let now = fleet.now;
        let (claimer, roster) = fleet.gateways.get_mut(&owner).expect("it runs");
        assert!(roster.release(now, &job(), claimer));
        fleet.carry();
        fleet.run(300 * MILLISECOND);
        let next = fleet.owner("bills");
        assert!(next.as_ref().is_some_and(|next| *next != owner), "{offset}: {next:?} after {owner}");
    }
}

#[test]
fn operators_release_a_job_only_where_it_is_owned() {
    let mut fleet = Fleet::new(4, &[job()]);
    fleet.run(3 * SECOND);
    let owner = fleet.owner("bills").expect("somebody owns it");
    let now = fleet.now;
    let mut released = Vec::new();
    for (own, (claimer, roster)) in &mut fleet.gateways {
        released.push((own.clone(), roster.release(now, &job(), claimer)));
    }
    assert!(released.iter().all(|(own, released)| *released == (*own == owner)), "{released:?}");
    fleet.run(300 * MILLISECOND);
    assert!(fleet.owner("bills").is_some_and(|now| now != owner));
    let mut roster = Candidacy::new(&name(0), TERMS);
    assert!(roster.add(&job()) && !roster.add(&job()), "a job's name is taken once");
}
