//! Which leases a gateway wants, when it hands one over, and to whom: the candidacies of a fleet whose acceptors always answer.

use std::collections::{BTreeMap, VecDeque};

use fernscale_lease::acceptor::{Acceptor, DurableState, Output as AcceptorOutput};
use fernscale_lease::candidacy::Candidacy;
use fernscale_lease::candidate::{Candidate, Output as CandidateOutput};
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::ranking::{ranked, Participant};
use fernscale_lease::{AcceptorSet, LeaseSettings, Micros, Name, ProcessId, MILLISECOND, SECOND};

const TERMS: LeaseSettings = LeaseSettings { duration: SECOND, max_drift_ppm: 10_000 };
const UPDATE_INTERVAL: Micros = 100 * MILLISECOND;

/// A fleet in virtual time. Messages take a millisecond, and writes no time.
struct Fleet {
    now: Micros,
    acceptors: Vec<(Name, Acceptor)>,
    gateways: BTreeMap<Name, (Candidate, Candidacy)>,
    unwilling: Vec<Name>,
    in_transit: VecDeque<(Name, Name, Message)>,
    request_count: u64,
}

fn name(at: usize) -> Name {
    format!("gateway-{at}").into()
}

fn lease() -> Name {
    "bills".into()
}

impl Fleet {
    fn new(count: usize, leases: &[Name]) -> Fleet {
        let names: Vec<Name> = (0..3).map(name).collect();
        let acceptor = |own: &Name| {
            let acceptor = Acceptor::new(
                own,
                ProcessId(900),
                &AcceptorSet::initial(&names),
                TERMS,
                DurableState::default(),
                0,
            );
            (own.clone(), acceptor)
        };
        let mut fleet = Fleet {
            now: 0,
            acceptors: names.iter().map(acceptor).collect(),
            gateways: BTreeMap::new(),
            unwilling: Vec::new(),
            in_transit: VecDeque::new(),
            request_count: 0,
        };
        (0..count).for_each(|at| fleet.join(at, leases));
        fleet
    }

    fn join(&mut self, at: usize, leases: &[Name]) {
        let names: Vec<Name> = self.acceptors.iter().map(|(own, _)| own.clone()).collect();
        let candidate = Candidate::new(ProcessId(at as u64 + 1), &AcceptorSet::initial(&names), TERMS, 7);
        let mut candidacy = Candidacy::new(&name(at), TERMS);
        assert!(leases.iter().all(|lease| candidacy.add(lease)));
        self.gateways.insert(name(at), (candidate, candidacy));
    }

    fn participants(&self) -> Vec<Participant> {
        self.gateways.keys().map(|name| Participant { name: name.clone(), unwilling: false }).collect()
    }

    fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += MILLISECOND;
            for (from, to, message) in std::mem::take(&mut self.in_transit) {
                self.deliver(&from, &to, message);
            }
            let participants = self.participants();
            for (own, (candidate, candidacy)) in &mut self.gateways {
                if self.now.is_multiple_of(UPDATE_INTERVAL) {
                    // The others are not notified that one is unwilling.
                    let mut all = participants.clone();
                    all.iter_mut().for_each(|one| {
                        one.unwilling = one.name == *own && self.unwilling.contains(own);
                    });
                    candidacy.update(self.now, &all, candidate);
                }
                candidate.handle_timeout(self.now);
            }
            self.acceptors.iter_mut().for_each(|(_, acceptor)| acceptor.handle_timeout(self.now));
            self.drain_outputs();
        }
    }

    fn deliver(&mut self, from: &Name, to: &Name, message: Message) {
        let process = self.gateways.get(from).map_or(ProcessId(0), |(candidate, _)| candidate.process());
        let acceptor = self.acceptors.iter_mut().find(|(own, _)| own == to);
        match message {
            Message::Request(request) => {
                self.request_count += 1;
                if let Some((_, acceptor)) = acceptor {
                    acceptor.handle_request(self.now, process, request);
                }
            }
            Message::Reply(reply @ AcceptorReply::Recovery(_)) => {
                if let Some((_, acceptor)) = acceptor {
                    acceptor.handle_peer_reply(from, reply);
                }
            }
            other => {
                let Some((candidate, candidacy)) = self.gateways.get_mut(to) else { return };
                match other {
                    Message::Reply(reply) => candidate.handle_reply(self.now, from, reply),
                    Message::Released { lease, token } => candidate.lease_released(self.now, &lease, token),
                    Message::Offer { lease } => candidacy.offer_received(self.now, &lease, from, candidate),
                    Message::Request(_) => {}
                }
            }
        }
    }

    fn drain_outputs(&mut self) {
        let gateway_of = |gateways: &BTreeMap<Name, (Candidate, Candidacy)>, process: ProcessId| {
            gateways
                .iter()
                .find(|(_, (candidate, _))| candidate.process() == process)
                .map(|(name, _)| name.clone())
        };
        for at in 0..self.acceptors.len() {
            let own = self.acceptors[at].0.clone();
            while let Some(output) = self.acceptors[at].1.poll_output() {
                match output {
                    AcceptorOutput::Persist { number, .. } => {
                        self.acceptors[at].1.write_completed(self.now, number, true);
                    }
                    AcceptorOutput::Reply { to, reply } => {
                        let to = gateway_of(&self.gateways, to);
                        self.in_transit.extend(to.map(|to| (own.clone(), to, Message::Reply(reply))));
                    }
                    AcceptorOutput::Request { to, request } => {
                        self.in_transit.push_back((own.clone(), to, Message::Request(request)));
                    }
                    AcceptorOutput::PeerReply { to, reply } => {
                        self.in_transit.push_back((own.clone(), to, Message::Reply(reply)));
                    }
                    AcceptorOutput::Event(_) => {}
                }
            }
        }
        let mut outputs = Vec::new();
        for (own, (candidate, _)) in &mut self.gateways {
            while let Some(output) = candidate.poll_output() {
                outputs.push((own.clone(), output));
            }
        }
        for (own, output) in outputs {
            match output {
                CandidateOutput::Request { to, request } => {
                    self.in_transit.push_back((own, to, Message::Request(request)));
                }
                CandidateOutput::Released { to, lease, token } => {
                    self.in_transit.push_back((own, to, Message::Released { lease, token }));
                }
                CandidateOutput::Offer { to, lease } => {
                    let to = gateway_of(&self.gateways, to);
                    self.in_transit.extend(to.map(|to| (own, to, Message::Offer { lease })));
                }
                CandidateOutput::Event(_) => {}
            }
        }
    }

    fn holder(&self, lease: &str) -> Option<Name> {
        let holds = |candidate: &Candidate| candidate.authorization(self.now, lease).is_some();
        self.gateways.iter().find(|(_, (candidate, _))| holds(candidate)).map(|(name, _)| name.clone())
    }
}

#[test]
fn the_first_rank_holds_and_only_few_claim() {
    let mut fleet = Fleet::new(30, &[lease()]);
    fleet.run(4 * SECOND);
    assert_eq!(fleet.holder("bills"), ranked("bills", &fleet.participants()).into_iter().next());
    let before = fleet.request_count;
    fleet.run(10 * SECOND);
    // Three renewals a second at three acceptors, and two others that claim from each once in a duration.
    assert!(fleet.request_count - before < 250, "{} requests", fleet.request_count - before);
}

#[test]
fn a_gateway_of_a_better_rank_takes_over_after_the_minimum_tenure_and_not_before() {
    let order = ranked("bills", &Fleet::new(8, &[]).participants());
    let last: usize = order[0].strip_prefix("gateway-").and_then(|at| at.parse().ok()).expect("a number");
    let mut fleet = Fleet::new(8, &[lease()]);
    let first = fleet.gateways.remove(&order[0]).expect("it is there");
    drop(first);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[1]));
    fleet.join(last, &[lease()]);
    fleet.run(5 * SECOND);
    assert_eq!(
        fleet.holder("bills").as_ref(),
        Some(&order[1]),
        "it has held it for less than the minimum tenure"
    );
    fleet.run(6 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[0]));
    fleet.run(20 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[0]), "it stays");
}

#[test]
fn an_unwilling_holder_hands_over_once_and_offers_nothing() {
    let mut fleet = Fleet::new(6, &[lease()]);
    fleet.run(3 * SECOND);
    let order = ranked("bills", &fleet.participants());
    fleet.unwilling = vec![order[0].clone()];
    fleet.run(400 * MILLISECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[1]));
    // Long after the minimum tenure of the second.
    fleet.run(25 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[1]));
}

#[test]
fn a_gateway_that_shuts_down_hands_its_leases_over_at_once() {
    let leases: Vec<Name> = (0..40).map(|at| format!("job-{at}").into()).collect();
    let mut fleet = Fleet::new(5, &leases);
    fleet.run(4 * SECOND);
    let held = |fleet: &Fleet| leases.iter().filter(|lease| fleet.holder(lease).is_some()).count();
    assert_eq!(held(&fleet), 40);
    let shut_down = |fleet: &mut Fleet, at: usize| {
        let now = fleet.now;
        let (candidate, candidacy) = fleet.gateways.get_mut(&name(at)).expect("it runs");
        candidacy.shut_down(now, candidate);
        fleet.drain_outputs();
        fleet.run(5 * MILLISECOND);
        fleet.gateways.remove(&name(at));
    };
    shut_down(&mut fleet, 4);
    fleet.run(250 * MILLISECOND);
    assert_eq!(held(&fleet), 40);
}

/// Danger: the notification that a lease was released arrives while a claim is under way whose rejections are from before it,
/// and the next gateways wait for the end of a lease that nobody holds.
#[test]
fn a_lease_released_at_any_moment_is_held_by_the_next_at_once() {
    for offset in 0..60 {
        let mut fleet = Fleet::new(5, &[lease()]);
        fleet.run(3 * SECOND + offset * 20 * MILLISECOND);
        let holder = fleet.holder("bills").expect("somebody holds it");
        let now = fleet.now;
        let (candidate, candidacy) = fleet.gateways.get_mut(&holder).expect("it runs");
        assert!(candidacy.release(now, &lease(), candidate));
        fleet.drain_outputs();
        fleet.run(300 * MILLISECOND);
        let next = fleet.holder("bills");
        assert!(next.as_ref().is_some_and(|next| *next != holder), "{offset}: {next:?} after {holder}");
    }
}

#[test]
fn operators_release_a_lease_only_where_it_is_held() {
    let mut fleet = Fleet::new(4, &[lease()]);
    fleet.run(3 * SECOND);
    let holder = fleet.holder("bills").expect("somebody holds it");
    let now = fleet.now;
    let mut released = Vec::new();
    for (own, (candidate, candidacy)) in &mut fleet.gateways {
        released.push((own.clone(), candidacy.release(now, &lease(), candidate)));
    }
    assert!(released.iter().all(|(own, released)| *released == (*own == holder)), "{released:?}");
    fleet.run(300 * MILLISECOND);
    assert!(fleet.holder("bills").is_some_and(|now| now != holder));
    let mut candidacy = Candidacy::new(&name(0), TERMS);
    assert!(candidacy.add(&lease()) && !candidacy.add(&lease()), "a lease's name is registered once");
}
