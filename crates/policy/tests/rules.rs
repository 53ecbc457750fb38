//! A slow, plain model of the five rules runs beside the module on generated events; the two must agree on
//! what is allowed.

mod common;

use std::collections::BTreeMap;

use common::*;
use fernscale_policy::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

#[derive(Clone, Debug)]
enum Step {
    Ask { tenant: u8, left: u16 },
    End { which: u8, outcome: u8, took: u16 },
    Drop(u8),
    Pass(u16),
    List { server: u8, state: u8, fresh: bool },
    Count { outcome: u8, total: u8 },
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match byte % 32 {
            0..=11 => Step::Ask { tenant: u8::arbitrary(g) % 3, left: u16::arbitrary(g) % 3_000 },
            12..=21 => {
                Step::End { which: u8::arbitrary(g), outcome: u8::arbitrary(g), took: u16::arbitrary(g) }
            }
            22 => Step::Drop(u8::arbitrary(g)),
            23..=26 => Step::Pass(u16::arbitrary(g) % 400),
            27 => Step::List {
                server: u8::arbitrary(g) % 6,
                state: u8::arbitrary(g) % 4,
                fresh: bool::arbitrary(g),
            },
            28..=30 => Step::Count { outcome: u8::arbitrary(g), total: u8::arbitrary(g) },
            _ => Step::Restart,
        }
    }
}

struct Trip {
    server: Id,
    zone: u32,
    sent: Micros,
    live: bool,
    ran: bool,
}

#[derive(Default)]
struct Asked {
    tenant: u8,
    stop: Micros,
    trips: Vec<Trip>,
    answers: u32,
    cancelled: Vec<usize>,
    /// Its client has disconnected.
    left: bool,
}

/// What the rules allow, kept in the plainest way.
struct Model {
    kind: Idempotency,
    now: Micros,
    asked: BTreeMap<Id, Asked>,
    servers: BTreeMap<Id, (u32, bool)>,
    /// When each first attempt for a tenant was made through this gateway.
    firsts: BTreeMap<u8, Vec<Micros>>,
    counts: Vec<String>,
}

impl Model {
    fn check(&mut self, actions: &[Action]) -> Result<(), String> {
        for actions in actions {
            match actions {
                Action::Forward(id, server, _) => self.sent(id, server)?,
                Action::Reject(id, _) => self.answered(id, true)?,
                Action::Fail(id) => self.answered(id, false)?,
                Action::Cancel(id, attempt) => {
                    let asked = self.asked.get_mut(id).ok_or("cancels what it was never given")?;
                    asked.trips.get(*attempt).ok_or("cancels a trip that was never made")?;
                    asked.cancelled.push(*attempt);
                }
                Action::UpdateCounter(name, _) => self.counts.push(name.clone()),
                Action::SetTimer(..) | Action::WatchEndpoints(_) => {}
            }
        }
        Ok(())
    }

    fn sent(&mut self, id: &Id, server: &Id) -> Result<(), String> {
        let asked = self.asked.get_mut(id).ok_or("sends what it was never given")?;
        let (zone, ready) = *self.servers.get(server).ok_or("sends to a server never listed")?;
        if asked.left {
            return Err("sent on for a client that has left".into());
        }
        if asked.answers > 0 {
            return Err("rule 1: sent after the final answer".into());
        }
        if !ready {
            return Err("rule 3: sent to a server that drains or is gone".into());
        }
        if asked.trips.iter().any(|attempt| attempt.live) {
            return Err("rule 2: two trips out at once".into());
        }
        for attempt in asked.trips.iter().filter(|attempt| attempt.ran) {
            match self.kind {
                Idempotency::Idempotent => {}
                Idempotency::Keyed { scope: group, retention: memory } => {
                    if (group == KeyScope::Zone && attempt.zone != zone) || self.now >= attempt.sent + memory
                    {
                        return Err("rule 2: repeat outside the group or its memory".into());
                    }
                }
                Idempotency::NonIdempotent => return Err("rule 2: irreversible sent twice".into()),
            }
        }
        if asked.trips.is_empty() {
            self.firsts.entry(asked.tenant).or_default().push(self.now);
        }
        asked.trips.push(Trip { server: server.clone(), zone, sent: self.now, live: true, ran: true });
        Ok(())
    }

    fn answered(&mut self, id: &Id, nack: bool) -> Result<(), String> {
        let asked = self.asked.get_mut(id).ok_or("answers what it was never given")?;
        asked.answers += 1;
        if asked.answers > 1 {
            return Err("rule 1: answered twice".into());
        }
        let ran = asked.trips.iter().any(|attempt| attempt.ran);
        let harmless =
            matches!(self.kind, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. });
        if nack && ran && !harmless {
            return Err("rule 2: nacked what may have run".into());
        }
        Ok(())
    }

    /// Rule 1: every request is answered by its deadline.
    fn overdue(&self) -> Result<(), String> {
        if self.asked.values().any(|asked| asked.answers == 0 && self.now > asked.stop) {
            Err("rule 1: no answer by the hard stop".into())
        } else {
            Ok(())
        }
    }

    /// Rule 5: within any stretch of time, first attempts stay under this gateway's even half of the ceiling.
    fn ceilings(&self, ceiling: Ceiling) -> Result<(), String> {
        for firsts in self.firsts.values() {
            for (at, from) in firsts.iter().enumerate() {
                for (count, to) in firsts[at..].iter().enumerate() {
                    let may = ceiling.burst / 2.0 + ceiling.rate / 2.0 * (to - from) as f64 / 1e6;
                    if (count + 1) as f64 > may + 0.01 {
                        return Err(format!("rule 5: {} first trips where {may} are allowed", count + 1));
                    }
                }
            }
        }
        Ok(())
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::NotConnected,
    Outcome::Reset,
    Outcome::NeverSent,
];

fn play(kind: Idempotency, may_cancel: bool, steps: &[Step]) -> Result<(), String> {
    let ceiling = Ceiling { rate: 20.0, burst: 8.0 };
    let plan =
        Plan { rate: 60.0, burst: 60.0, priority_factor: 1.0, ceiling: Some(ceiling), ..Plan::default() };
    let mut fixture = Fixture::new(Settings { can_cancel: may_cancel, ..settings(kind, plan.clone()) }, 6);
    let servers = (0..6).map(|at| (id(format!("s{at}")), (at as u32 % 2, true))).collect();
    let mut model = Model {
        kind,
        now: fixture.now(),
        asked: BTreeMap::new(),
        servers,
        firsts: BTreeMap::new(),
        counts: Vec::new(),
    };
    for step in steps {
        model.now = fixture.now();
        match step {
            Step::Ask { tenant, left } => {
                let left = Micros::from(*left) * MS + MS;
                let next = id(format!("t{}", model.asked.len() + 1));
                let asked = Asked { tenant: *tenant, stop: model.now + left, ..Asked::default() };
                model.asked.insert(next.clone(), asked);
                let given = fixture.request(&format!("c{tenant}"), left);
                assert_eq!(given, next);
            }
            Step::End { which, outcome, took } => {
                let out: Vec<(Id, usize, Id)> = model
                    .asked
                    .iter()
                    .flat_map(|(id, asked)| {
                        let live = asked.trips.iter().enumerate().filter(|(_, attempt)| attempt.live);
                        live.map(|(at, attempt)| (id.clone(), at, attempt.server.clone()))
                    })
                    .collect();
                let Some((id, at, server)) = out.get(usize::from(*which) % out.len().max(1)).cloned() else {
                    continue;
                };
                let asked = model.asked.get_mut(&id).unwrap();
                let cancelled = asked.cancelled.contains(&at);
                let outcome = if cancelled {
                    Outcome::Cancelled
                } else {
                    OUTCOMES[usize::from(*outcome) % OUTCOMES.len()]
                };
                asked.trips[at].live = false;
                asked.trips[at].ran = !outcome.never_ran();
                asked.answers += u32::from(outcome == Outcome::Ok && asked.answers == 0);
                fixture.end(&id, at, &server, outcome, Micros::from(*took) * 20);
            }
            Step::Drop(which) => {
                let ids: Vec<Id> = model.asked.keys().cloned().collect();
                let Some(id) = ids.get(usize::from(*which) % ids.len().max(1)) else { continue };
                let asked = model.asked.get_mut(id).unwrap();
                (asked.answers, asked.left) = (1, true);
                fixture.gateway.client_disconnected(id);
            }
            Step::Pass(time) => {
                for _ in 0..time / 10 {
                    fixture.pass(10 * MS);
                    model.now = fixture.now();
                    model.check(&fixture.take_actions())?;
                    model.overdue()?;
                }
            }
            Step::List { server, state, fresh } => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][usize::from(*state)];
                let name = format!("s{server}");
                let started = Some(model.now).filter(|_| *fresh);
                model.servers.insert(id(&name), (u32::from(*server) % 2, state == EndpointState::Ready));
                fixture
                    .gateway
                    .endpoints_updated(false, &[listed(&name, u32::from(*server) % 2, state, started)]);
            }
            Step::Count { outcome, total } => {
                if let Some(name) = model.counts.pop() {
                    let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Overloaded, Outcome::TimedOut]
                        [usize::from(*outcome) % 4];
                    fixture.gateway.counter_replied(&name, outcome, f64::from(*total), MS);
                }
            }
            Step::Restart => {
                let asked = model.asked.len();
                let now = fixture.now();
                fixture =
                    Fixture::new(Settings { can_cancel: may_cancel, ..settings(kind, plan.clone()) }, 6);
                fixture.host.0.borrow_mut().now = now;
                fixture.gateway = fernscale_policy::Engine::new(
                    Settings { can_cancel: may_cancel, ..settings(kind, plan.clone()) },
                    fixture.host.clone(),
                );
                let entries: Vec<Endpoint> = model
                    .servers
                    .iter()
                    .map(|(id, (zone, ready))| {
                        listed(
                            id,
                            *zone,
                            if *ready { EndpointState::Ready } else { EndpointState::Draining },
                            None,
                        )
                    })
                    .collect();
                fixture.gateway.endpoints_updated(true, &entries);
                fixture.asked = asked;
                for asked in model.asked.values_mut() {
                    asked.answers = 1;
                    asked.trips.clear();
                }
                model.counts.clear();
            }
        }
        model.check(&fixture.take_actions())?;
    }
    for _ in 0..400 {
        fixture.pass(10 * MS);
        model.now = fixture.now();
        model.check(&fixture.take_actions())?;
        model.overdue()?;
    }
    model.ceilings(ceiling)
}

fn agree(check: fn(Vec<Step>) -> TestResult) {
    let gen = Gen::from_size_and_seed(400, 20_261_201);
    QuickCheck::new().rng(gen).tests(200).quickcheck(check);
}

fn judge(kind: Idempotency, steps: &[Step]) -> TestResult {
    let both = play(kind, true, steps).and_then(|()| play(kind, false, steps));
    both.map_or_else(TestResult::error, |()| TestResult::passed())
}

#[test]
fn idempotent_requests_keep_the_rules() {
    agree(|steps| judge(Idempotency::Idempotent, &steps));
}

#[test]
fn requests_keyed_for_all_servers_keep_the_rules() {
    agree(|steps| judge(Idempotency::Keyed { scope: KeyScope::All, retention: 700 * MS }, &steps));
}

#[test]
fn requests_keyed_for_a_zone_keep_the_rules() {
    agree(|steps| judge(Idempotency::Keyed { scope: KeyScope::Zone, retention: 700 * MS }, &steps));
}

#[test]
fn non_idempotent_requests_keep_the_rules() {
    agree(|steps| judge(Idempotency::NonIdempotent, &steps));
}
