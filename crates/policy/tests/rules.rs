//! Runs a simple model of the five rules beside the decision module on generated events, and checks that every
//! action of the module is one that the model allows.

mod common;

use std::collections::BTreeMap;

use common::*;
use fernscale_policy::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

#[derive(Clone, Debug)]
enum Step {
    Request { tenant: u8, time_left: u16 },
    EndAttempt { which: u8, outcome: u8, elapsed: u16 },
    Disconnect(u8),
    Advance(u16),
    List { server: u8, state: u8, restarted: bool },
    CounterReply { outcome: u8, total: u8 },
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match byte % 32 {
            0..=11 => Step::Request { tenant: u8::arbitrary(g) % 3, time_left: u16::arbitrary(g) % 3_000 },
            12..=21 => Step::EndAttempt {
                which: u8::arbitrary(g),
                outcome: u8::arbitrary(g),
                elapsed: u16::arbitrary(g),
            },
            22 => Step::Disconnect(u8::arbitrary(g)),
            23..=26 => Step::Advance(u16::arbitrary(g) % 400),
            27 => Step::List {
                server: u8::arbitrary(g) % 6,
                state: u8::arbitrary(g) % 4,
                restarted: bool::arbitrary(g),
            },
            28..=30 => Step::CounterReply { outcome: u8::arbitrary(g), total: u8::arbitrary(g) },
            _ => Step::Restart,
        }
    }
}

struct ModelAttempt {
    server: Id,
    zone: u32,
    sent_at: Micros,
    running: bool,
    may_have_run: bool,
}

#[derive(Default)]
struct ModelRequest {
    tenant: u8,
    deadline: Micros,
    attempts: Vec<ModelAttempt>,
    answers: u32,
    cancelled: Vec<usize>,
    /// The client has disconnected.
    disconnected: bool,
}

/// What the rules allow, tracked in the simplest way.
struct Model {
    idempotency: Idempotency,
    now: Micros,
    requests: BTreeMap<Id, ModelRequest>,
    servers: BTreeMap<Id, (u32, bool)>,
    /// When the first attempt of each request of a tenant was made through this gateway.
    first_attempts: BTreeMap<u8, Vec<Micros>>,
    pending_updates: Vec<String>,
}

impl Model {
    fn check(&mut self, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            match action {
                Action::Forward(id, server, _) => self.check_forward(id, server)?,
                Action::Reject(id, _) => self.check_answer(id, true)?,
                Action::Fail(id) => self.check_answer(id, false)?,
                Action::Cancel(id, attempt) => {
                    let request = self.requests.get_mut(id).ok_or("cancels an unknown request")?;
                    request.attempts.get(*attempt).ok_or("cancels an attempt that was never made")?;
                    request.cancelled.push(*attempt);
                }
                Action::UpdateCounter(name, _) => self.pending_updates.push(name.clone()),
                Action::SetTimer(..) | Action::WatchEndpoints(_) => {}
            }
        }
        Ok(())
    }

    fn check_forward(&mut self, id: &Id, server: &Id) -> Result<(), String> {
        let request = self.requests.get_mut(id).ok_or("forwards an unknown request")?;
        let (zone, ready) = *self.servers.get(server).ok_or("forwards to a server that was never listed")?;
        if request.disconnected {
            return Err("forwarded for a client that has disconnected".into());
        }
        if request.answers > 0 {
            return Err("rule 1: forwarded after the final answer".into());
        }
        if !ready {
            return Err("rule 3: forwarded to a server that is draining or removed".into());
        }
        if request.attempts.iter().any(|attempt| attempt.running) {
            return Err("rule 2: two attempts in flight at once".into());
        }
        for attempt in request.attempts.iter().filter(|attempt| attempt.may_have_run) {
            match self.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::Keyed { scope, retention } => {
                    if (scope == KeyScope::Zone && attempt.zone != zone)
                        || self.now >= attempt.sent_at + retention
                    {
                        return Err("rule 2: retried outside the key's scope or retention".into());
                    }
                }
                Idempotency::NonIdempotent => {
                    return Err("rule 2: non-idempotent request forwarded twice".into())
                }
            }
        }
        if request.attempts.is_empty() {
            self.first_attempts.entry(request.tenant).or_default().push(self.now);
        }
        request.attempts.push(ModelAttempt {
            server: server.clone(),
            zone,
            sent_at: self.now,
            running: true,
            may_have_run: true,
        });
        Ok(())
    }

    fn check_answer(&mut self, id: &Id, is_rejection: bool) -> Result<(), String> {
        let request = self.requests.get_mut(id).ok_or("answers an unknown request")?;
        request.answers += 1;
        if request.answers > 1 {
            return Err("rule 1: answered twice".into());
        }
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let is_repeatable = matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. }
        );
        if is_rejection && may_have_run && !is_repeatable {
            return Err("rule 2: rejected a request that may have run".into());
        }
        Ok(())
    }

    /// Rule 1: every request is answered by its deadline.
    fn check_deadlines(&self) -> Result<(), String> {
        if self.requests.values().any(|request| request.answers == 0 && self.now > request.deadline) {
            Err("rule 1: no answer by the deadline".into())
        } else {
            Ok(())
        }
    }

    /// Rule 5: within any period, first attempts stay within this gateway's even half of the ceiling.
    fn check_ceiling(&self, ceiling: Ceiling) -> Result<(), String> {
        for first_attempts in self.first_attempts.values() {
            for (at, from) in first_attempts.iter().enumerate() {
                for (count, to) in first_attempts[at..].iter().enumerate() {
                    let allowed = ceiling.burst / 2.0 + ceiling.rate / 2.0 * (to - from) as f64 / 1e6;
                    if (count + 1) as f64 > allowed + 0.01 {
                        return Err(format!("rule 5: {} first attempts, {allowed} are allowed", count + 1));
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

fn run_steps(idempotency: Idempotency, may_cancel: bool, steps: &[Step]) -> Result<(), String> {
    let ceiling = Ceiling { rate: 20.0, burst: 8.0 };
    let plan =
        Plan { rate: 60.0, burst: 60.0, priority_factor: 1.0, ceiling: Some(ceiling), ..Plan::default() };
    let mut fixture =
        Fixture::new(Settings { can_cancel: may_cancel, ..settings(idempotency, plan.clone()) }, 6);
    let servers = (0..6).map(|at| (id(format!("s{at}")), (at as u32 % 2, true))).collect();
    let mut model = Model {
        idempotency,
        now: fixture.now(),
        requests: BTreeMap::new(),
        servers,
        first_attempts: BTreeMap::new(),
        pending_updates: Vec::new(),
    };
    for step in steps {
        model.now = fixture.now();
        match step {
            Step::Request { tenant, time_left } => {
                let time_left = Micros::from(*time_left) * MS + MS;
                let request_id = id(format!("t{}", model.requests.len() + 1));
                let request = ModelRequest {
                    tenant: *tenant,
                    deadline: model.now + time_left,
                    ..ModelRequest::default()
                };
                model.requests.insert(request_id.clone(), request);
                let returned_id = fixture.request(&format!("c{tenant}"), time_left);
                assert_eq!(returned_id, request_id);
            }
            Step::EndAttempt { which, outcome, elapsed } => {
                let running_attempts: Vec<(Id, usize, Id)> = model
                    .requests
                    .iter()
                    .flat_map(|(id, request)| {
                        let running =
                            request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.running);
                        running.map(|(at, attempt)| (id.clone(), at, attempt.server.clone()))
                    })
                    .collect();
                let Some((id, at, server)) =
                    running_attempts.get(usize::from(*which) % running_attempts.len().max(1)).cloned()
                else {
                    continue;
                };
                let request = model.requests.get_mut(&id).unwrap();
                let cancelled = request.cancelled.contains(&at);
                let outcome = if cancelled {
                    Outcome::Cancelled
                } else {
                    OUTCOMES[usize::from(*outcome) % OUTCOMES.len()]
                };
                request.attempts[at].running = false;
                request.attempts[at].may_have_run = !outcome.never_ran();
                request.answers += u32::from(outcome == Outcome::Ok && request.answers == 0);
                fixture.complete_attempt(&id, at, &server, outcome, Micros::from(*elapsed) * 20);
            }
            Step::Disconnect(which) => {
                let ids: Vec<Id> = model.requests.keys().cloned().collect();
                let Some(id) = ids.get(usize::from(*which) % ids.len().max(1)) else { continue };
                let request = model.requests.get_mut(id).unwrap();
                (request.answers, request.disconnected) = (1, true);
                fixture.gateway.client_disconnected(id);
            }
            Step::Advance(time) => {
                for _ in 0..time / 10 {
                    fixture.advance(10 * MS);
                    model.now = fixture.now();
                    model.check(&fixture.take_actions())?;
                    model.check_deadlines()?;
                }
            }
            Step::List { server, state, restarted } => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][usize::from(*state)];
                let name = format!("s{server}");
                let started = Some(model.now).filter(|_| *restarted);
                model.servers.insert(id(&name), (u32::from(*server) % 2, state == EndpointState::Ready));
                fixture
                    .gateway
                    .endpoints_updated(false, &[endpoint(&name, u32::from(*server) % 2, state, started)]);
            }
            Step::CounterReply { outcome, total } => {
                if let Some(name) = model.pending_updates.pop() {
                    let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Overloaded, Outcome::TimedOut]
                        [usize::from(*outcome) % 4];
                    fixture.gateway.counter_replied(&name, outcome, f64::from(*total), MS);
                }
            }
            Step::Restart => {
                let request_count = model.requests.len();
                let now = fixture.now();
                fixture = Fixture::new(
                    Settings { can_cancel: may_cancel, ..settings(idempotency, plan.clone()) },
                    6,
                );
                fixture.host.0.borrow_mut().now = now;
                fixture.gateway = fernscale_policy::Engine::new(
                    Settings { can_cancel: may_cancel, ..settings(idempotency, plan.clone()) },
                    fixture.host.clone(),
                );
                let entries: Vec<Endpoint> = model
                    .servers
                    .iter()
                    .map(|(id, (zone, ready))| {
                        endpoint(
                            id,
                            *zone,
                            if *ready { EndpointState::Ready } else { EndpointState::Draining },
                            None,
                        )
                    })
                    .collect();
                fixture.gateway.endpoints_updated(true, &entries);
                fixture.request_count = request_count;
                for request in model.requests.values_mut() {
                    request.answers = 1;
                    request.attempts.clear();
                }
                model.pending_updates.clear();
            }
        }
        model.check(&fixture.take_actions())?;
    }
    for _ in 0..400 {
        fixture.advance(10 * MS);
        model.now = fixture.now();
        model.check(&fixture.take_actions())?;
        model.check_deadlines()?;
    }
    model.check_ceiling(ceiling)
}

fn run_property(check: fn(Vec<Step>) -> TestResult) {
    let gen = Gen::from_size_and_seed(400, 20_261_201);
    QuickCheck::new().rng(gen).tests(200).quickcheck(check);
}

fn check_steps(idempotency: Idempotency, steps: &[Step]) -> TestResult {
    let both = run_steps(idempotency, true, steps).and_then(|()| run_steps(idempotency, false, steps));
    both.map_or_else(TestResult::error, |()| TestResult::passed())
}

#[test]
fn idempotent_requests_keep_the_rules() {
    run_property(|steps| check_steps(Idempotency::Idempotent, &steps));
}

#[test]
fn requests_keyed_for_all_servers_keep_the_rules() {
    run_property(|steps| {
        check_steps(Idempotency::Keyed { scope: KeyScope::All, retention: 700 * MS }, &steps)
    });
}

#[test]
fn requests_keyed_for_a_zone_keep_the_rules() {
    run_property(|steps| {
        check_steps(Idempotency::Keyed { scope: KeyScope::Zone, retention: 700 * MS }, &steps)
    });
}

#[test]
fn non_idempotent_requests_keep_the_rules() {
    run_property(|steps| check_steps(Idempotency::NonIdempotent, &steps));
}
