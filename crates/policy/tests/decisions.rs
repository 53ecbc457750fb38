//! Guards the decisions bit by bit: seeded streams of events of every kind go through the decision module, and a hash
//! of every call that it makes on its host, in order, is compared with the one recorded.
//!
//! The encoding that is hashed is written out here, call by call, so that renaming a type or a field changes nothing.
//! A change of these hashes is a change of behaviour: of a decision, of the order of draws or of arithmetic.

use std::cell::RefCell;
use std::rc::Rc;

use fernscale_policy::Engine;
use fernscale_policy::RejectReason;
use fernscale_policy::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Micros = 1_000;
const EVENTS: usize = 10_000;
const SERVERS: usize = 40;
const TENANTS: usize = 60;

/// The hashes recorded for seeds 0 to 7, with a shared counter, cancelling and a pushed list.
const WITH_COUNTER: [u64; 8] = [
    2360255862544008223,
    5413328714400195220,
    17991478112596503663,
    11669463410504189365,
    4056405308000550623,
    4809796986101399480,
    5369264010466214791,
    7530968573971608645,
];
/// The same without a counter and without cancelling; the list comes on request.
const WITHOUT_COUNTER: [u64; 8] = [
    8179746256111906859,
    2512050153835298506,
    12609833258653863025,
    11934233408728568792,
    12537492053115446666,
    16934623990097563252,
    12959761735341007899,
    16398342437106463488,
];

/// FNV-1a, 64 bits.
struct Hash(u64);

impl Hash {
    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }
}

/// What the module has done so far, and what of it still has to be answered.
struct World {
    now: Micros,
    hash: Hash,
    /// How many calls of each kind were made.
    calls: [usize; 8],
    /// Attempts under way: request, its number, server, when it was sent.
    attempts: Vec<(Id, usize, Id, Micros)>,
    /// How many attempts each request had.
    sent: std::collections::HashMap<Id, usize>,
    open: Vec<Id>,
    counting: Vec<(String, f64, Micros)>,
    timers: Vec<(Micros, String)>,
}

#[derive(Clone)]
struct Recorder(Rc<RefCell<World>>);

impl Recorder {
    fn call(&self, kind: usize, texts: &[&str], numbers: &[u64]) {
        let mut world = self.0.borrow_mut();
        let now = world.now;
        world.calls[kind] += 1;
        world.hash.number(now);
        world.hash.number(kind as u64);
        texts.iter().for_each(|text| world.hash.text(text));
        numbers.iter().for_each(|number| world.hash.number(*number));
    }

    fn answered(&self, request: &Id) {
        self.0.borrow_mut().open.retain(|open| open != request);
    }
}

impl Host for Recorder {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn forward(&mut self, transaction: &Id, server: &Id, limit: Micros) {
        self.call(0, &[transaction, server], &[limit]);
        let mut world = self.0.borrow_mut();
        let now = world.now;
        let number = world.sent.entry(transaction.clone()).or_default();
        *number += 1;
        let attempt = (transaction.clone(), *number - 1, server.clone(), now);
        world.attempts.push(attempt);
    }

    fn cancel(&mut self, transaction: &Id, trip: usize) {
        self.call(1, &[transaction], &[trip as u64]);
    }

    fn reject(&mut self, transaction: &Id, wait: Micros, why: RejectReason) {
        self.call(2, &[transaction, why.name()], &[wait]);
        self.answered(transaction);
    }

    fn fail(&mut self, transaction: &Id, why: RejectReason) {
        self.call(3, &[transaction, why.name()], &[]);
        self.answered(transaction);
    }

    fn set_timer(&mut self, delay: Micros, token: &str) {
        self.call(4, &[token], &[delay]);
        let mut world = self.0.borrow_mut();
        let at = world.now + delay;
        world.timers.push((at, token.into()));
    }

    fn check_health(&mut self, server: &Id) {
        self.call(5, &["probe", server], &[]);
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.call(5, &["close", server], &[]);
    }

    fn update_counter(&mut self, count: &str, amount: f64, life: Micros) {
        self.call(6, &[count], &[amount.to_bits(), life]);
        let mut world = self.0.borrow_mut();
        let now = world.now;
        world.counting.push((count.into(), amount, now));
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.call(7, &["follow"], &[u64::from(on)]);
    }

    fn poll_endpoints(&mut self) {
        self.call(7, &["fetch"], &[]);
    }

    fn send_message(&mut self, gateway: Option<u32>, data: &[u8]) {
        self.call(7, &["tell"], &[gateway.map_or(u64::MAX, u64::from), data.len() as u64]);
    }

    fn log(&mut self, text: &str) {
        self.call(7, &["report", text], &[]);
    }
}

fn settings(seed: u64, counter: bool) -> Settings {
    let labelled = |group, memory| Idempotency::Keyed { scope: group, retention: memory };
    let lane = |kind, agreed, importance| RequestClass {
        idempotency: kind,
        latency_objective: agreed,
        priority_weight: importance,
    };
    let plan = |rate, burst, most_out, over_worth, ceiling| Plan {
        rate,
        burst,
        max_concurrency: most_out,
        priority_factor: 1.0 + over_worth,
        excess_value: over_worth,
        excess_cost: 0.3,
        ceiling,
    };
    Settings {
        seed,
        gateway_index: (seed % 6) as u32,
        gateway_count: 6,
        classes: vec![
            lane(Idempotency::Idempotent, 400 * MS, 1.0),
            lane(labelled(KeyScope::All, 900 * MS), 800 * MS, 3.0),
            lane(labelled(KeyScope::Zone, 900 * MS), 600 * MS, 2.0),
            lane(labelled(KeyScope::Cell, 500 * MS), 600 * MS, 2.0),
            lane(Idempotency::NonIdempotent, 700 * MS, 5.0),
        ],
        plans: vec![
            plan(1e5, 1e5, 0, 0.0, None),
            plan(8.0, 20.0, 0, 0.5, None),
            plan(3.0, 2.0, 0, 0.0, None),
            plan(0.0, 0.0, 4, 0.0, None),
            plan(20.0, 20.0, 2, 0.4, Some(Ceiling { rate: 40.0, burst: 25.0 })),
        ],
        max_attempts: if counter { 3 } else { 2 },
        can_cancel: counter,
        max_retry_after: if counter { 500 * MS } else { 0 },
        has_shared_counter: counter,
        list_poll_interval: (!counter).then_some(700 * MS),
        slow_start_share: 0.2,
        slow_start_duration: 6_000 * MS,
        overload_factor: 2.5,
        overload_window: 500 * MS,
    }
}

fn outcome(rng: &mut ChaCha8Rng) -> Outcome {
    match rng.gen_range(0..100) {
        0..=69 => Outcome::Ok,
        70..=75 => Outcome::Error,
        76..=80 => Outcome::Overloaded,
        81..=85 => Outcome::TimedOut,
        86..=89 => Outcome::NotConnected,
        90..=93 => Outcome::Reset,
        94..=96 => Outcome::Cancelled,
        _ => Outcome::NeverSent,
    }
}

/// One gateway, the world around it, and a seeded choice of what happens next.
struct Play {
    gateway: Engine<Recorder>,
    world: Rc<RefCell<World>>,
    rng: ChaCha8Rng,
    requests: usize,
    /// The state of each server and when it started.
    servers: Vec<(EndpointState, Option<Micros>)>,
}

impl Play {
    fn new(seed: u64, counter: bool) -> Self {
        let now = 3_600_000 * MS;
        let world = World {
            now,
            hash: Hash(0xcbf2_9ce4_8422_2325),
            calls: [0; 8],
            attempts: Vec::new(),
            sent: std::collections::HashMap::new(),
            open: Vec::new(),
            counting: Vec::new(),
            timers: Vec::new(),
        };
        let world = Rc::new(RefCell::new(world));
        let gateway = Engine::new(settings(seed, counter), Recorder(world.clone()));
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6465_6369);
        let servers =
            (0..SERVERS).map(|at| (EndpointState::Ready, (at % 3 == 0).then_some(now - MS))).collect();
        let mut play = Play { gateway, world, rng, requests: 0, servers };
        play.list(true);
        play
    }

    fn server(&mut self) -> Id {
        Id::from(format!("server-{}", self.rng.gen_range(0..SERVERS)))
    }

    fn listed(&self, at: usize) -> Endpoint {
        let (state, started) = self.servers[at];
        Endpoint {
            server: Id::from(format!("server-{at}")),
            zone: at as u32 % 3,
            hardware_type: at as u32 % 2,
            cell: at as u32 % 5,
            state,
            weight: 0.5 + at as f64 / SERVERS as f64,
            started_at: started,
            listed_start: started,
        }
    }

    fn list(&mut self, full: bool) {
        let all = 0..SERVERS;
        let named: Vec<usize> =
            if full { all.collect() } else { all.filter(|_| self.rng.gen_bool(0.1)).collect() };
        let now = self.world.borrow().now;
        for at in &named {
            self.servers[*at] = match self.rng.gen_range(0..20) {
                0 => (EndpointState::Draining, self.servers[*at].1),
                1 => (EndpointState::Removed, self.servers[*at].1),
                2..=4 => (EndpointState::Ready, Some(now.saturating_sub(self.rng.gen_range(0..2_000) * MS))),
                _ => (EndpointState::Ready, self.servers[*at].1),
            };
        }
        let entries: Vec<Endpoint> = named.iter().map(|at| self.listed(*at)).collect();
        self.gateway.endpoints_updated(full, &entries);
    }

    fn request(&mut self) {
        self.requests += 1;
        let id = Id::from(format!("request-{}", self.requests));
        self.world.borrow_mut().open.push(id.clone());
        // Few tenants ask most, and each has one plan.
        let tenant = (self.rng.gen::<f64>().powi(2) * TENANTS as f64) as usize;
        self.gateway.request_received(Request {
            id,
            class: self.rng.gen_range(0..5),
            plan: tenant % 5,
            tenant: Id::from(format!("tenant-{tenant}")),
            units: [1.0, 1.0, 1.0, 2.5, 7.0][self.rng.gen_range(0..5)],
            first_gateway: tenant as u32 % 6,
            gateway_spread: [1, 2, 6][tenant % 3],
            time_left: [5, 30, 200, 700, 2_500][self.rng.gen_range(0..5)] * MS,
        });
    }

    fn attempt_ends(&mut self) {
        let out = self.world.borrow().attempts.len();
        if out == 0 {
            return self.request();
        }
        let at = self.rng.gen_range(0..out);
        let (transaction, trip, server, sent) = self.world.borrow_mut().attempts.swap_remove(at);
        let outcome = outcome(&mut self.rng);
        let finished = outcome == Outcome::Ok;
        if finished {
            self.world.borrow_mut().open.retain(|open| *open != transaction);
        }
        let took = self.world.borrow().now - sent;
        let units = self.rng.gen_bool(0.2).then(|| self.rng.gen_range(0.5..6.0));
        let load = LoadReport { in_flight: Some(3.0), ..LoadReport::default() };
        self.gateway.attempt_completed(AttemptCompleted {
            request: transaction,
            attempt: trip,
            server,
            outcome,
            elapsed: took,
            read_delay: 0,
            is_final: finished,
            units,
            load,
        });
    }

    fn counter_answers(&mut self) {
        let out = self.world.borrow().counting.len();
        if out == 0 {
            return self.request();
        }
        let at = self.rng.gen_range(0..out);
        let (name, amount, posted) = self.world.borrow_mut().counting.swap_remove(at);
        let outcome = outcome(&mut self.rng);
        let total = (amount * self.rng.gen_range(0.5..4.0)).max(0.0);
        let took = self.world.borrow().now - posted;
        self.gateway.counter_replied(&name, outcome, total, took);
    }

    fn subset(&mut self) {
        let subset = self.rng.gen_bool(0.6).then(|| {
            let named: Vec<Id> = (0..12).map(|_| self.server()).collect();
            let parts = named.into_iter().enumerate().map(|(at, id)| (id, at as f64 / 66.0)).collect();
            Subset { weights: parts, gateways_per_server: self.rng.gen_range(1.0..4.0) }
        });
        self.gateway.set_subset(subset);
    }

    /// Lets time pass, and timers ring that are due.
    fn pass(&mut self) {
        let step = match self.rng.gen_range(0..100) {
            0..=59 => self.rng.gen_range(0..2_000),
            60..=97 => self.rng.gen_range(0..20 * MS),
            _ => self.rng.gen_range(0..1_500 * MS),
        };
        let now = self.world.borrow().now + step;
        self.world.borrow_mut().now = now;
        loop {
            let due = self.world.borrow().timers.iter().position(|(at, _)| *at <= now);
            let Some(due) = due else { return };
            let (_, token) = self.world.borrow_mut().timers.swap_remove(due);
            self.gateway.timer_fired(&token);
        }
    }

    fn step(&mut self) {
        self.pass();
        match self.rng.gen_range(0..1_000) {
            0..=429 => self.request(),
            430..=759 => self.attempt_ends(),
            760..=909 => self.counter_answers(),
            910..=919 => self.list(false),
            920..=922 => self.list(true),
            923..=926 => self.gateway.endpoints_unavailable(),
            927..=929 => self.subset(),
            930..=939 => {
                let (server, on) = (self.server(), self.rng.gen_bool(0.4));
                self.gateway.set_ejected(&server, on);
            }
            940..=943 => {
                let server = self.server();
                self.gateway.cordon(&server);
            }
            944..=948 => {
                let (server, now) = (self.server(), self.world.borrow().now);
                self.gateway.uncordon(&server, now);
            }
            949..=950 => {
                let part = [0.25, 0.5, 1.0][self.rng.gen_range(0..3)];
                self.gateway.set_process_share(part);
            }
            951..=970 => {
                let server = self.server();
                let avoids = self.gateway.is_avoided(&server);
                self.world.borrow_mut().hash.number(u64::from(avoids));
            }
            971..=985 => self.client_leaves(),
            _ => self.answer_begins(),
        }
    }

    fn client_leaves(&mut self) {
        let open = self.world.borrow().open.len();
        if open > 0 {
            let at = self.rng.gen_range(0..open);
            let id = self.world.borrow_mut().open.swap_remove(at);
            self.gateway.client_disconnected(&id);
        }
    }

    fn answer_begins(&mut self) {
        let out = self.world.borrow().attempts.len();
        if out > 0 {
            let at = self.rng.gen_range(0..out);
            let (id, number, ..) = self.world.borrow().attempts[at].clone();
            self.world.borrow_mut().open.retain(|open| *open != id);
            self.gateway.response_started(&id, number);
        }
    }
}

fn played(seed: u64, counter: bool) -> (u64, [usize; 8]) {
    let mut play = Play::new(seed, counter);
    for _ in 0..EVENTS {
        play.step();
    }
    let world = play.world.borrow();
    (world.hash.0, world.calls)
}

fn hashes(counter: bool) -> Vec<u64> {
    (0..8).map(|seed| played(seed, counter).0).collect()
}

#[test]
fn decisions_with_a_shared_counter_are_the_recorded_ones() {
    assert_eq!(hashes(true), WITH_COUNTER, "a decision, a draw or the order of arithmetic has changed");
}

#[test]
fn decisions_without_a_counter_are_the_recorded_ones() {
    assert_eq!(hashes(false), WITHOUT_COUNTER, "a decision, a draw or the order of arithmetic has changed");
}

/// A stream that brought about none of a kind of call would guard nothing of it.
#[test]
fn every_stream_brings_about_many_calls_of_each_kind() {
    for (seed, counter) in (0..8).flat_map(|seed| [(seed, true), (seed, false)]) {
        let calls = played(seed, counter).1;
        let [sent, cancelled, rejected, failed, timers, closed, added, followed] = calls;
        assert!(sent > 1_000 && rejected > 500 && failed > 20, "{calls:?}");
        assert!(timers > 500 && closed > 10 && followed > 10, "{calls:?}");
        assert_eq!((cancelled > 50, added > 300), (counter, counter), "{calls:?}");
    }
}
