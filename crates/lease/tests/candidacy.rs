//! Tests of which leases a gateway claims, and when and to which gateway it hands a lease over. All acceptors of the
//! fleet are always available.

use std::collections::{BTreeMap, VecDeque};

use fernscale_lease::acceptor::{Acceptor, DurableState, Output as AcceptorOutput};
use fernscale_lease::candidacy::Candidacy;
use fernscale_lease::candidate::{Candidate, Output as CandidateOutput};
use fernscale_lease::message::{AcceptorReply, Message};
use fernscale_lease::ranking::{ranked, Participant};
use fernscale_lease::{AcceptorSet, LeaseSettings, Micros, Name, ProcessId, MILLISECOND, SECOND};

const SETTINGS: LeaseSettings = LeaseSettings { duration: SECOND, max_drift_ppm: 10_000 };
const UPDATE_INTERVAL: Micros = 100 * MILLISECOND;

/// A fleet in virtual time. Messages take one millisecond; writes complete at once.
struct Fleet {
    now: Micros,
    acceptors: Vec<(Name, Acceptor)>,
    gateways: BTreeMap<Name, (Candidate, Candidacy)>,
    unwilling: Vec<Name>,
    in_transit: VecDeque<(Name, Name, Message)>,
    request_count: u64,
}

fn name(index: usize) -> Name {
    format!("gateway-{index}").into()
}

fn lease() -> Name {
    "bills".into()
}

impl Fleet {
    fn new(count: usize, leases: &[Name]) -> Fleet {
        let names: Vec<Name> = (0..3).map(name).collect();
        let acceptor = |gateway: &Name| {
            let acceptor = Acceptor::new(
                gateway,
                ProcessId(900),
                &AcceptorSet::initial(&names),
                SETTINGS,
                DurableState::default(),
                0,
            );
            (gateway.clone(), acceptor)
        };
        let mut fleet = Fleet {
            now: 0,
            acceptors: names.iter().map(acceptor).collect(),
            gateways: BTreeMap::new(),
            unwilling: Vec::new(),
            in_transit: VecDeque::new(),
            request_count: 0,
        };
        (0..count).for_each(|index| fleet.join(index, leases));
        fleet
    }

    fn join(&mut self, index: usize, leases: &[Name]) {
        let names: Vec<Name> = self.acceptors.iter().map(|(gateway, _)| gateway.clone()).collect();
        let candidate =
            Candidate::new(ProcessId(index as u64 + 1), &AcceptorSet::initial(&names), SETTINGS, 7);
        let mut candidacy = Candidacy::new(&name(index), SETTINGS);
        assert!(leases.iter().all(|lease| candidacy.add(lease)));
        self.gateways.insert(name(index), (candidate, candidacy));
    }

    fn participants(&self) -> Vec<Participant> {
        self.gateways.keys().map(|name| Participant { name: name.clone(), unwilling: false }).collect()
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MILLISECOND;
            for (from, to, message) in std::mem::take(&mut self.in_transit) {
                self.deliver(&from, &to, message);
            }
            let participants = self.participants();
            for (gateway, (candidate, candidacy)) in &mut self.gateways {
                if self.now.is_multiple_of(UPDATE_INTERVAL) {
                    // Other gateways do not know that a gateway is unwilling.
                    let mut view = participants.clone();
                    view.iter_mut().for_each(|participant| {
                        participant.unwilling =
                            participant.name == *gateway && self.unwilling.contains(gateway);
                    });
                    candidacy.update(self.now, &view, candidate);
                }
                candidate.handle_timeout(self.now);
            }
            self.acceptors.iter_mut().for_each(|(_, acceptor)| acceptor.handle_timeout(self.now));
            self.drain_outputs();
        }
    }

    fn deliver(&mut self, from: &Name, to: &Name, message: Message) {
        let process = self.gateways.get(from).map_or(ProcessId(0), |(candidate, _)| candidate.process());
        let acceptor = self.acceptors.iter_mut().find(|(gateway, _)| gateway == to);
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
        for index in 0..self.acceptors.len() {
            let gateway = self.acceptors[index].0.clone();
            while let Some(output) = self.acceptors[index].1.poll_output() {
                match output {
                    AcceptorOutput::Persist { number, .. } => {
                        self.acceptors[index].1.write_completed(self.now, number, true);
                    }
                    AcceptorOutput::Reply { to, reply } => {
                        let to = gateway_of(&self.gateways, to);
                        self.in_transit.extend(to.map(|to| (gateway.clone(), to, Message::Reply(reply))));
                    }
                    AcceptorOutput::Request { to, request } => {
                        self.in_transit.push_back((gateway.clone(), to, Message::Request(request)));
                    }
                    AcceptorOutput::PeerReply { to, reply } => {
                        self.in_transit.push_back((gateway.clone(), to, Message::Reply(reply)));
                    }
                    AcceptorOutput::Event(_) => {}
                }
            }
        }
        let mut outputs = Vec::new();
        for (gateway, (candidate, _)) in &mut self.gateways {
            while let Some(output) = candidate.poll_output() {
                outputs.push((gateway.clone(), output));
            }
        }
        for (gateway, output) in outputs {
            match output {
                CandidateOutput::Request { to, request } => {
                    self.in_transit.push_back((gateway, to, Message::Request(request)));
                }
                CandidateOutput::Released { to, lease, token } => {
                    self.in_transit.push_back((gateway, to, Message::Released { lease, token }));
                }
                CandidateOutput::Offer { to, lease } => {
                    let to = gateway_of(&self.gateways, to);
                    self.in_transit.extend(to.map(|to| (gateway, to, Message::Offer { lease })));
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
fn the_first_ranked_gateway_holds_the_lease_and_few_others_claim_it() {
    let mut fleet = Fleet::new(30, &[lease()]);
    fleet.run(4 * SECOND);
    assert_eq!(fleet.holder("bills"), ranked("bills", &fleet.participants()).into_iter().next());
    let before = fleet.request_count;
    fleet.run(10 * SECOND);
    // The holder sends three renewals per second to three acceptors. Two other gateways claim from each acceptor once
    // per lease duration.
    assert!(fleet.request_count - before < 250, "{} requests", fleet.request_count - before);
}

#[test]
fn a_gateway_of_a_better_rank_takes_over_after_the_minimum_tenure_and_not_before() {
    let order = ranked("bills", &Fleet::new(8, &[]).participants());
    let last: usize =
        order[0].strip_prefix("gateway-").and_then(|index| index.parse().ok()).expect("a number");
    let mut fleet = Fleet::new(8, &[lease()]);
    let first = fleet.gateways.remove(&order[0]).expect("the gateway exists");
    drop(first);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[1]));
    fleet.join(last, &[lease()]);
    fleet.run(5 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[1]), "the holder's tenure is below the minimum");
    fleet.run(6 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[0]));
    fleet.run(20 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[0]), "the first rank keeps the lease");
}

#[test]
fn an_unwilling_holder_hands_over_once_and_offers_nothing() {
    let mut fleet = Fleet::new(6, &[lease()]);
    fleet.run(3 * SECOND);
    let order = ranked("bills", &fleet.participants());
    fleet.unwilling = vec![order[0].clone()];
    fleet.run(400 * MILLISECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[1]));
    // The minimum tenure of the second gateway has passed long ago.
    fleet.run(25 * SECOND);
    assert_eq!(fleet.holder("bills").as_ref(), Some(&order[1]));
}

#[test]
fn a_gateway_that_shuts_down_hands_its_leases_over_at_once() {
    let leases: Vec<Name> = (0..40).map(|index| format!("job-{index}").into()).collect();
    let mut fleet = Fleet::new(5, &leases);
    fleet.run(4 * SECOND);
    let held = |fleet: &Fleet| leases.iter().filter(|lease| fleet.holder(lease).is_some()).count();
    assert_eq!(held(&fleet), 40);
    let shut_down = |fleet: &mut Fleet, index: usize| {
        let now = fleet.now;
        let (candidate, candidacy) = fleet.gateways.get_mut(&name(index)).expect("the process runs");
        candidacy.shut_down(now, candidate);
        fleet.drain_outputs();
        fleet.run(5 * MILLISECOND);
        fleet.gateways.remove(&name(index));
    };
    shut_down(&mut fleet, 4);
    fleet.run(250 * MILLISECOND);
    assert_eq!(held(&fleet), 40);
}

/// The notification of a release may arrive during a claim whose rejections were sent before the release. The
/// successors must not wait for the expiry of a lease that no gateway holds.
#[test]
fn a_lease_released_at_any_moment_is_held_by_the_next_at_once() {
    for offset in 0..60 {
        let mut fleet = Fleet::new(5, &[lease()]);
        fleet.run(3 * SECOND + offset * 20 * MILLISECOND);
        let holder = fleet.holder("bills").expect("a gateway holds the lease");
        let now = fleet.now;
        let (candidate, candidacy) = fleet.gateways.get_mut(&holder).expect("the process runs");
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
    let holder = fleet.holder("bills").expect("a gateway holds the lease");
    let now = fleet.now;
    let mut released = Vec::new();
    for (gateway, (candidate, candidacy)) in &mut fleet.gateways {
        released.push((gateway.clone(), candidacy.release(now, &lease(), candidate)));
    }
    assert!(released.iter().all(|(gateway, released)| *released == (*gateway == holder)), "{released:?}");
    fleet.run(300 * MILLISECOND);
    assert!(fleet.holder("bills").is_some_and(|now| now != holder));
    let mut candidacy = Candidacy::new(&name(0), SETTINGS);
    assert!(candidacy.add(&lease()) && !candidacy.add(&lease()), "a lease's name is registered once");
}
