//! A scenario's faults on the mesh in virtual time, before the judge that hears of processes as well: what is true of the one
//! must be true of the other. Each gateway adds to counts that some share; clocks and what waits for a record are left out.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use fernscale_membership::node::Event as Told;
use fernscale_membership::packet::MemberState;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::checkers::membership::{MembershipBounds, MembershipChecker};
use crate::history::{Checker, Event, LinkTraffic};
use crate::live::faults::between_ill;
use crate::live::route::RouteFault;
use crate::membership_simulation::{address, LinkFaults, SimulatedFleet};
use crate::scenario::{Fault, GatewayFaultKind, Scenario};
use crate::{Micros, MILLISECOND, SECOND};

/// How often each gateway adds to some count, and by which gateways a count is shared.
const ADDS: Micros = 50 * MILLISECOND;
const SPREAD: usize = 3;
const LIFE: Micros = 600 * SECOND;
/// Until all have met at first, as the processes have when the load begins.
const MET: Micros = 3 * SECOND;
/// From SIGTERM until a process has left the others.
const ENDS: Micros = 700 * MILLISECOND;
/// After the last addition, until everybody is asked.
const TOLD: Micros = 2 * SECOND;

enum Act {
    Begin(usize),
    End(usize),
    Stop(u32, GatewayFaultKind),
    /// What a stop is followed by.
    Again(u32, GatewayFaultKind),
    /// One that was told to end is gone.
    Gone(u32),
}

/// One run of it.
struct Run<'s> {
    scenario: &'s Scenario,
    mesh: SimulatedFleet,
    judge: MembershipChecker,
    chance: ChaCha8Rng,
    tokens: Vec<Vec<(usize, usize, LinkTraffic, u64)>>,
    plan: BinaryHeap<Reverse<(Micros, usize)>>,
    acts: Vec<Act>,
    left_out: u32,
    /// Those that have been told to end.
    ends: BTreeSet<usize>,
}

/// What a rule of the judge came to: its name, how often it was broken, and some of the times.
pub type Rule = (&'static str, u64, Vec<String>);

/// What it comes to: each rule of the judge, and how many faults have no sense here.
pub fn play(scenario: &Scenario) -> (Vec<Rule>, u32) {
    let count = scenario.fleet.gateways;
    let size = MembershipBounds {
        gateways: count,
        addresses: (0..count).map(|at| address(at as usize).to_string()).collect(),
        settle_time: scenario.fleet.agree_within.0,
        counter_knows: true,
    };
    let mut run = Run {
        scenario,
        mesh: SimulatedFleet::new(count as usize, scenario.seed),
        judge: MembershipChecker::new(size),
        chance: ChaCha8Rng::seed_from_u64(scenario.seed ^ 2),
        tokens: scenario.faults.iter().map(|_| Vec::new()).collect(),
        plan: BinaryHeap::new(),
        acts: Vec::new(),
        left_out: 0,
        ends: BTreeSet::new(),
    };
    run.mesh.weather = LinkFaults::FAIR;
    run.all();
    let rules = run.judge.rules().into_iter();
    let rules = rules.map(|(name, broken)| (name, broken.count, broken.instances.clone()));
    (rules.collect(), run.left_out)
}

impl Run<'_> {
    fn all(&mut self) {
        for gateway in 0..self.scenario.fleet.gateways {
            if self.scenario.fleet.absent.contains(&gateway) {
                self.mesh.kill(gateway as usize);
            } else {
                self.tell(Event::Started { gateway });
                self.says_run(gateway);
            }
        }
        self.go(MET, false);
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.planned(number, fault);
        }
        let end = MET + self.scenario.lasts.0;
        let mut last = 0;
        while let Some(Reverse((at, act))) = self.plan.pop() {
            self.go(at, at < end);
            last = self.mesh.now;
            self.act(act);
        }
        self.go(end, true);
        self.go((last + self.scenario.fleet.agree_within.0 + SECOND).max(end + TOLD), false);
        for gateway in 0..self.scenario.fleet.gateways {
            self.view(gateway);
            let Some(node) = self.mesh.node(gateway as usize) else { continue };
            let sums = node
                .counter_totals(self.mesh.now)
                .into_iter()
                .map(|sum| (sum.key, sum.total, sum.expires_in_ms));
            let sums = sums.collect();
            self.tell(Event::CounterTotals { gateway, totals: sums });
        }
        self.judge.finish(self.mesh.now);
    }

    fn tell(&mut self, event: Event) {
        self.judge.observe(self.mesh.now, &event);
    }

    fn plans(&mut self, at: Micros, act: Act) {
        self.plan.push(Reverse((MET + at, self.acts.len())));
        self.acts.push(act);
    }

    fn planned(&mut self, number: usize, fault: &Fault) {
        let (at, lasts) = (fault.at.0, fault.for_.map(|time| time.0));
        match fault {
            Fault { when: Some(_), .. } | Fault { clock: Some(_), .. } => self.left_out += 1,
            Fault { between: Some(_), .. } | Fault { fleet: Some(_), .. } => {
                self.plans(at, Act::Begin(number));
                if let Some(lasts) = lasts {
                    self.plans(at + lasts, Act::End(number));
                }
            }
            Fault { gateway: Some(gateway), .. } => {
                for (place, which) in gateway.which.iter().enumerate() {
                    let at = at + gateway.each.0 * place as u64;
                    self.plans(at, Act::Stop(*which, gateway.how));
                    match (gateway.how, lasts) {
                        (GatewayFaultKind::Pause, lasts) => {
                            self.plans(at + lasts.unwrap_or(SECOND), Act::Again(*which, gateway.how));
                        }
                        (GatewayFaultKind::Kill, Some(lasts)) => {
                            self.plans(at + lasts, Act::Again(*which, gateway.how));
                        }
                        (GatewayFaultKind::Restart, lasts) => {
                            self.plans(at + lasts.unwrap_or(0) + SECOND, Act::Again(*which, gateway.how));
                        }
                        _ => {}
                    }
                }
            }
            // Nothing of the mesh is broken by these.
            _ => {}
        }
    }

    fn act(&mut self, act: usize) {
        match self.acts[act] {
            Act::Begin(number) => {
                self.tell(Event::FaultBegan { number });
                self.begin(number);
            }
            Act::End(number) => {
                for (from, to, goods, token) in std::mem::take(&mut self.tokens[number]) {
                    self.mesh.way(from, to, goods).end(token);
                    let (from, to) = (from as u32, to as u32);
                    self.tell(Event::TrafficBlocked { from, to, traffic: goods, on: false });
                }
                self.tell(Event::FaultEnded { number });
            }
            Act::Stop(gateway, how) => {
                let at = gateway as usize;
                let runs = self.mesh.node(at).is_some();
                match how {
                    GatewayFaultKind::Pause if runs => {
                        self.tell(Event::Paused { gateway });
                        self.mesh.pause(at);
                    }
                    GatewayFaultKind::Kill if runs => {
                        self.tell(Event::Killed { gateway });
                        self.mesh.kill(at);
                    }
                    GatewayFaultKind::Leave | GatewayFaultKind::Restart if runs => {
                        // It adds nothing more, and leaves a while later, as a process does.
                        self.tell(Event::ShutdownRequested { gateway });
                        self.ends.insert(at);
                        let after = self.mesh.now + ENDS - MET;
                        self.plans(after, Act::Gone(gateway));
                    }
                    GatewayFaultKind::Start if !runs => self.start(gateway),
                    _ => {}
                }
            }
            Act::Gone(gateway) => {
                self.mesh.leave(gateway as usize);
                self.ends.remove(&(gateway as usize));
            }
            Act::Again(gateway, GatewayFaultKind::Pause) => {
                if self.mesh.node(gateway as usize).is_some() {
                    self.mesh.resume(gateway as usize);
                    self.tell(Event::Resumed { gateway });
                }
            }
            Act::Again(gateway, _) => {
                if self.mesh.node(gateway as usize).is_none() {
                    self.start(gateway);
                }
            }
        }
    }

    fn start(&mut self, gateway: u32) {
        self.tell(Event::Started { gateway });
        self.mesh.start(gateway as usize);
        self.says_run(gateway);
    }

    fn says_run(&mut self, gateway: u32) {
        let Some(node) = self.mesh.node(gateway as usize) else { return };
        let fields = json!({ "run": format!("{:016x}", node.local().instance.0) });
        self.tell(Event::Record { gateway, event: "mesh.starts".into(), fields, within: 0 });
    }

    fn begin(&mut self, number: usize) {
        let fault = &self.scenario.faults[number];
        let all: Vec<u32> = (0..self.scenario.fleet.gateways).collect();
        let pairs = all.iter().flat_map(|one| all.iter().map(move |other| (*one, *other)));
        let pairs = pairs.filter(|(one, other)| one != other);
        let (ill, pairs, goods): (RouteFault, Vec<(u32, u32)>, Option<LinkTraffic>) = match fault {
            Fault { fleet: Some(fleet), .. } => (
                RouteFault::Blackhole,
                pairs.filter(|(one, other)| !fleet.connects(*one, *other)).collect(),
                None,
            ),
            Fault { between: Some(between), .. } => {
                let to = |other: &u32| between.to.is_empty() || between.to.contains(other);
                let meant = |(one, other): &(u32, u32)| {
                    between.from.contains(one) && to(other)
                        || between.both && between.from.contains(other) && to(one)
                };
                (between_ill(between), pairs.filter(meant).collect(), between.goods)
            }
            _ => return,
        };
        let parts = ill.parts();
        for (one, other) in pairs {
            for own in [LinkTraffic::Datagrams, LinkTraffic::Streams] {
                if goods.is_none_or(|goods| goods == own) {
                    let token = self.mesh.way(one as usize, other as usize, own).begin(ill);
                    self.tokens[number].push((one as usize, other as usize, own, token));
                    if parts {
                        self.tell(Event::TrafficBlocked { from: one, to: other, traffic: own, on: true });
                    }
                }
            }
        }
    }

    /// Goes on until then: gateways add to counts, and are asked whom they see.
    fn go(&mut self, until: Micros, adds: bool) {
        while self.mesh.now < until {
            let next = (self.mesh.now + ADDS).min(until);
            self.mesh.run(next);
            let events = std::mem::take(&mut self.mesh.events);
            for (at, teller, event) in events {
                if let Told::Died(peer) = event {
                    let run = format!("{:016x}", peer.instance.0);
                    let fields = json!({ "peer": format!("{} at {}", peer.name, peer.address), "run": run });
                    let event = "mesh.gone".into();
                    self.judge
                        .observe(at, &Event::Record { gateway: teller as u32, event, fields, within: 0 });
                }
            }
            let count = self.mesh.count();
            for at in 0..count {
                if adds && self.mesh.runs(at) && !self.ends.contains(&at) {
                    // Those who share it are some in a row.
                    let first = (at + count - self.chance.gen_range(0..SPREAD.min(count))) % count;
                    let name = format!("q:{first:016x}");
                    self.mesh.add(at, &name, 1.0, LIFE);
                    let (gateway, count) = (at as u32, name);
                    self.tell(Event::CounterAdded { gateway, key: count, amount: 1.0, lifetime: LIFE });
                }
            }
            if self.mesh.now / SECOND != (self.mesh.now - ADDS.min(self.mesh.now)) / SECOND {
                (0..count as u32).for_each(|gateway| self.view(gateway));
            }
        }
    }

    fn view(&mut self, gateway: u32) {
        let Some(node) = self.mesh.node(gateway as usize).filter(|_| self.mesh.runs(gateway as usize)) else {
            return;
        };
        let of = |state| {
            let those = node.members().filter(move |member| member.state == state);
            those.map(|member| member.peer.address.to_string()).collect()
        };
        let (live, suspected) = (of(MemberState::Alive), of(MemberState::Suspect));
        self.tell(Event::MembershipView { gateway, live, suspected });
    }
}
