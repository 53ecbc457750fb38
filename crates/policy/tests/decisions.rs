//! Guards the decisions bit by bit: feeds seeded streams of events of every kind to the decision module, and
//! compares a hash of every call that the module makes on its host, in order, with the recorded hash.
//!
//! The encoding that is hashed is written out here, call by call, so that renaming a type or a field changes
//! nothing. If one of these hashes changes, behaviour has changed: a decision, the order of random draws or the
//! order of arithmetic.

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

/// The hashes recorded for seeds 0 to 7, with a shared counter, cancelling and a pushed endpoint list.
const WITH_COUNTER: [u64; 8] = [
    7049198518250422494,
    2309921060210987066,
    10678192020473116266,
    16886420064434038300,
    2255322755404500323,
    15249465998769224970,
    5875698913797268217,
    16086847132803140218,
];
/// The hashes without a shared counter and without cancelling; the endpoint list is polled.
const WITHOUT_COUNTER: [u64; 8] = [
    4442550953525728461,
    16469252856575047194,
    11310322121212039821,
    5488867202346025056,
    8598327240993368038,
    7334655534536535971,
    18190011486088897263,
    482038144898220478,
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

/// The host's state: what the module has done so far, and which of its calls still need an answer.
struct HostState {
    now: Micros,
    hash: Hash,
    /// The number of calls of each kind.
    calls: [usize; 8],
    /// Attempts in flight: request, number of the attempt, server, time when it was sent.
    attempts: Vec<(Id, usize, Id, Micros)>,
    /// The number of attempts of each request.
    attempt_counts: std::collections::HashMap<Id, usize>,
    open_requests: Vec<Id>,
    pending_updates: Vec<(String, f64, Micros)>,
    timers: Vec<(Micros, String)>,
}

#[derive(Clone)]
struct Recorder(Rc<RefCell<HostState>>);

impl Recorder {
    fn call(&self, kind: usize, texts: &[&str], numbers: &[u64]) {
        let mut host_state = self.0.borrow_mut();
        let now = host_state.now;
        host_state.calls[kind] += 1;
        host_state.hash.number(now);
        host_state.hash.number(kind as u64);
        texts.iter().for_each(|text| host_state.hash.text(text));
        numbers.iter().for_each(|number| host_state.hash.number(*number));
    }

    fn mark_answered(&self, request: &Id) {
        self.0.borrow_mut().open_requests.retain(|open_request| open_request != request);
    }
}

impl Host for Recorder {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn forward(&mut self, request: &Id, server: &Id, limits: AttemptLimits) {
        let numbers: Vec<u64> =
            [limits.announced()].into_iter().chain(limits.send_before).chain(limits.stall_limit).collect();
        self.call(0, &[request, server], &numbers);
        let mut host_state = self.0.borrow_mut();
        let now = host_state.now;
        let number = host_state.attempt_counts.entry(request.clone()).or_default();
        *number += 1;
        let attempt = (request.clone(), *number - 1, server.clone(), now);
        host_state.attempts.push(attempt);
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.call(1, &[request], &[attempt as u64]);
    }

    fn reject(&mut self, request: &Id, retry_after: Micros, reason: RejectReason) {
        self.call(2, &[request, reason.name()], &[retry_after]);
        self.mark_answered(request);
    }

    fn fail(&mut self, request: &Id, reason: RejectReason) {
        self.call(3, &[request, reason.name()], &[]);
        self.mark_answered(request);
    }

    fn set_timer(&mut self, delay: Micros, token: &str) {
        self.call(4, &[token], &[delay]);
        let mut host_state = self.0.borrow_mut();
        let at = host_state.now + delay;
        host_state.timers.push((at, token.into()));
    }

    fn check_health(&mut self, server: &Id) {
        self.call(5, &["probe", server], &[]);
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.call(5, &["close", server], &[]);
    }

    fn update_counter(&mut self, key: &str, amount: f64, lifetime: Micros) {
        self.call(6, &[key], &[amount.to_bits(), lifetime]);
        let mut host_state = self.0.borrow_mut();
        let now = host_state.now;
        host_state.pending_updates.push((key.into(), amount, now));
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
    let keyed = |scope, retention| Idempotency::Keyed { scope, retention };
    let class = |idempotency, latency_objective, priority_weight| RequestClass {
        idempotency,
        latency_objective,
        priority_weight,
    };
    let plan = |rate, burst, max_concurrency, excess_value, ceiling| Plan {
        rate,
        burst,
        max_concurrency,
        priority_factor: 1.0 + excess_value,
        excess_value,
        excess_cost: 0.3,
        ceiling,
    };
    Settings {
        seed,
        gateway_index: (seed % 6) as u32,
        gateway_count: 6,
        classes: vec![
            class(Idempotency::Idempotent, 400 * MS, 1.0),
            class(keyed(KeyScope::All, 900 * MS), 800 * MS, 3.0),
            class(keyed(KeyScope::Zone, 900 * MS), 600 * MS, 2.0),
            class(keyed(KeyScope::Cell, 500 * MS), 600 * MS, 2.0),
            class(Idempotency::NonIdempotent, 700 * MS, 5.0),
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

/// One gateway, its simulated surroundings, and a seeded generator that chooses the next event.
struct Simulation {
    gateway: Engine<Recorder>,
    host_state: Rc<RefCell<HostState>>,
    rng: ChaCha8Rng,
    requests: usize,
    /// The state and the start time of each server.
    servers: Vec<(EndpointState, Option<Micros>)>,
}

impl Simulation {
    fn new(seed: u64, counter: bool) -> Self {
        let now = 3_600_000 * MS;
        let host_state = HostState {
            now,
            hash: Hash(0xcbf2_9ce4_8422_2325),
            calls: [0; 8],
            attempts: Vec::new(),
            attempt_counts: std::collections::HashMap::new(),
            open_requests: Vec::new(),
            pending_updates: Vec::new(),
            timers: Vec::new(),
        };
        let host_state = Rc::new(RefCell::new(host_state));
        let gateway = Engine::new(settings(seed, counter), Recorder(host_state.clone()));
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6465_6369);
        let servers =
            (0..SERVERS).map(|at| (EndpointState::Ready, (at % 3 == 0).then_some(now - MS))).collect();
        let mut simulation = Simulation { gateway, host_state, rng, requests: 0, servers };
        simulation.update_endpoints(true);
        simulation
    }

    fn server(&mut self) -> Id {
        Id::from(format!("server-{}", self.rng.gen_range(0..SERVERS)))
    }

    fn endpoint(&self, at: usize) -> Endpoint {
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

    fn update_endpoints(&mut self, full: bool) {
        let all = 0..SERVERS;
        let changed: Vec<usize> =
            if full { all.collect() } else { all.filter(|_| self.rng.gen_bool(0.1)).collect() };
        let now = self.host_state.borrow().now;
        for at in &changed {
            self.servers[*at] = match self.rng.gen_range(0..20) {
                0 => (EndpointState::Draining, self.servers[*at].1),
                1 => (EndpointState::Removed, self.servers[*at].1),
                2..=4 => (EndpointState::Ready, Some(now.saturating_sub(self.rng.gen_range(0..2_000) * MS))),
                _ => (EndpointState::Ready, self.servers[*at].1),
            };
        }
        let entries: Vec<Endpoint> = changed.iter().map(|at| self.endpoint(*at)).collect();
        self.gateway.endpoints_updated(full, &entries);
    }

    fn send_request(&mut self) {
        self.requests += 1;
        let id = Id::from(format!("request-{}", self.requests));
        self.host_state.borrow_mut().open_requests.push(id.clone());
        // A few tenants send most requests, and each tenant has one plan.
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

    fn end_attempt(&mut self) {
        let count = self.host_state.borrow().attempts.len();
        if count == 0 {
            return self.send_request();
        }
        let at = self.rng.gen_range(0..count);
        let (request, attempt, server, sent_at) = self.host_state.borrow_mut().attempts.swap_remove(at);
        let outcome = outcome(&mut self.rng);
        let is_final = outcome == Outcome::Ok;
        if is_final {
            self.host_state.borrow_mut().open_requests.retain(|open_request| *open_request != request);
        }
        let elapsed = self.host_state.borrow().now - sent_at;
        let units = self.rng.gen_bool(0.2).then(|| self.rng.gen_range(0.5..6.0));
        let load = LoadReport { in_flight: Some(3.0), ..LoadReport::default() };
        self.gateway.attempt_completed(AttemptCompleted {
            request,
            attempt,
            server,
            outcome,
            elapsed,
            read_delay: 0,
            is_final,
            units,
            load,
        });
    }

    fn reply_from_counter(&mut self) {
        let count = self.host_state.borrow().pending_updates.len();
        if count == 0 {
            return self.send_request();
        }
        let at = self.rng.gen_range(0..count);
        let (key, amount, sent_at) = self.host_state.borrow_mut().pending_updates.swap_remove(at);
        let outcome = outcome(&mut self.rng);
        let total = (amount * self.rng.gen_range(0.5..4.0)).max(0.0);
        let elapsed = self.host_state.borrow().now - sent_at;
        self.gateway.counter_replied(&key, outcome, total, elapsed);
    }

    fn set_subset(&mut self) {
        let subset = self.rng.gen_bool(0.6).then(|| {
            let assigned: Vec<Id> = (0..12).map(|_| self.server()).collect();
            let weights = assigned.into_iter().enumerate().map(|(at, id)| (id, at as f64 / 66.0)).collect();
            Subset { weights, gateways_per_server: self.rng.gen_range(1.0..4.0) }
        });
        self.gateway.set_subset(subset);
    }

    /// Advances the clock, and fires the timers that are due.
    fn advance(&mut self) {
        let step = match self.rng.gen_range(0..100) {
            0..=59 => self.rng.gen_range(0..2_000),
            60..=97 => self.rng.gen_range(0..20 * MS),
            _ => self.rng.gen_range(0..1_500 * MS),
        };
        let now = self.host_state.borrow().now + step;
        self.host_state.borrow_mut().now = now;
        loop {
            let due = self.host_state.borrow().timers.iter().position(|(at, _)| *at <= now);
            let Some(due) = due else { return };
            let (_, token) = self.host_state.borrow_mut().timers.swap_remove(due);
            self.gateway.timer_fired(&token);
        }
    }

    fn step(&mut self) {
        self.advance();
        match self.rng.gen_range(0..1_000) {
            0..=429 => self.send_request(),
            430..=759 => self.end_attempt(),
            760..=909 => self.reply_from_counter(),
            910..=919 => self.update_endpoints(false),
            920..=922 => self.update_endpoints(true),
            923..=926 => self.gateway.endpoints_unavailable(),
            927..=929 => self.set_subset(),
            930..=939 => {
                let (server, on) = (self.server(), self.rng.gen_bool(0.4));
                self.gateway.set_ejected(&server, on);
            }
            940..=943 => {
                let server = self.server();
                self.gateway.cordon(&server);
            }
            944..=948 => {
                let (server, now) = (self.server(), self.host_state.borrow().now);
                self.gateway.uncordon(&server, now);
            }
            949..=950 => {
                let share = [0.25, 0.5, 1.0][self.rng.gen_range(0..3)];
                self.gateway.set_process_share(share);
            }
            951..=970 => {
                let server = self.server();
                let is_avoided = self.gateway.is_avoided(&server);
                self.host_state.borrow_mut().hash.number(u64::from(is_avoided));
            }
            971..=985 => self.disconnect_client(),
            _ => self.start_response(),
        }
    }

    fn disconnect_client(&mut self) {
        let count = self.host_state.borrow().open_requests.len();
        if count > 0 {
            let at = self.rng.gen_range(0..count);
            let id = self.host_state.borrow_mut().open_requests.swap_remove(at);
            self.gateway.client_disconnected(&id);
        }
    }

    fn start_response(&mut self) {
        let count = self.host_state.borrow().attempts.len();
        if count > 0 {
            let at = self.rng.gen_range(0..count);
            let (id, number, ..) = self.host_state.borrow().attempts[at].clone();
            self.host_state.borrow_mut().open_requests.retain(|open_request| *open_request != id);
            self.gateway.response_started(&id, number);
        }
    }
}

fn run(seed: u64, counter: bool) -> (u64, [usize; 8]) {
    let mut simulation = Simulation::new(seed, counter);
    for _ in 0..EVENTS {
        simulation.step();
    }
    let host_state = simulation.host_state.borrow();
    (host_state.hash.0, host_state.calls)
}

fn hashes(counter: bool) -> Vec<u64> {
    (0..8).map(|seed| run(seed, counter).0).collect()
}

#[test]
fn decisions_with_a_shared_counter_match_the_recorded_hashes() {
    assert_eq!(
        hashes(true),
        WITH_COUNTER,
        "a decision, a random draw or the order of arithmetic has changed"
    );
}

#[test]
fn decisions_without_a_shared_counter_match_the_recorded_hashes() {
    assert_eq!(
        hashes(false),
        WITHOUT_COUNTER,
        "a decision, a random draw or the order of arithmetic has changed"
    );
}

/// Checks that each stream makes many calls of each kind: the hash would guard nothing of a kind that never
/// occurs.
#[test]
fn every_stream_makes_many_calls_of_each_kind() {
    for (seed, counter) in (0..8).flat_map(|seed| [(seed, true), (seed, false)]) {
        let calls = run(seed, counter).1;
        let [forwards, cancels, rejections, failures, timers, closes, updates, watches] = calls;
        assert!(forwards > 1_000 && rejections > 500 && failures > 20, "{calls:?}");
        assert!(timers > 500 && closes > 10 && watches > 10, "{calls:?}");
        assert_eq!((cancels > 50, updates > 300), (counter, counter), "{calls:?}");
    }
}
