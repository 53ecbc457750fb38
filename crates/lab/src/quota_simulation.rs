//! Quotas of a fleet in virtual time, on a quiet day: the decision module of each gateway beside a policy that sees the true state
//! late. The same customers, the same arrivals; servers have room for all, so that quotas alone decide.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

use fernscale_policy::Engine;
use fernscale_policy::RejectReason;
use fernscale_policy::{
    self as module, AttemptCompleted, AttemptLimits, Endpoint, EndpointState, Host, Id, LoadReport, Outcome,
    Request,
};
use serde_json::{json, Value};

use crate::model::clients::{
    ClientModel, ClientRequest, Idempotency, KeyScope, Plan, RequestClass, TenantGroup,
};
use crate::model::counter::{Counter, Reply, Spec};
use crate::{Micros, MILLISECOND as MS, SECOND};

/// The clock at the start, and what is asked until then counts for nothing: names and shares have to be learnt.
const SHARED: Micros = 1_000_000 * SECOND;
const LEARNS: Micros = 5 * SECOND;
/// How late the other policy sees a customer's store, at all gateways alike: as old as word between machines is at the least.
const LATE: Micros = 100 * MS;
const PERIOD: Micros = SECOND;
const TRIP: Micros = 20 * MS;
/// What a nack advises, and how often it is looked who comes again.
const WAIT: Micros = 500 * MS;
const TURN: Micros = MS;
/// Beyond so long a call has no answer.
const CALL: Micros = 50 * MS;
/// Customers: what each asks, in quotas, and how many of ten there are. Most use a part, some nearly all, one asks far more.
const KINDS: [(&str, f64, u32); 3] = [("calm", 0.3, 7), ("full", 0.9, 2), ("heavy", 3.0, 1)];
/// Share of its worth that a transaction costs that is sent on beyond its quota.
const OVER_COST: f64 = 1.0;

#[derive(Clone, Debug)]
pub struct Day {
    pub gateways: u32,
    pub customers: u32,
    pub lasts: Micros,
    /// Calls a second that the counter bears.
    pub calls: f64,
    pub seed: u64,
}

/// What came of one policy.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Worth offered inside quotas, and of that what was passed.
    pub inside: f64,
    pub served: f64,
    /// Worth passed beyond them, by plan, and of it that of customers who had never been at that gateway before.
    pub beyond: BTreeMap<String, f64>,
    pub unseen: f64,
    /// Transactions of customers that ask less than their quota, inside it, and those of them that were refused and not passed
    /// when they came again.
    pub tries: u64,
    pub refused: BTreeSet<u64>,
}

impl Outcomes {
    /// What passing beyond quotas costs, beside all that was offered inside.
    pub fn cost(&self) -> f64 {
        OVER_COST * self.beyond.values().sum::<f64>() / self.inside.max(f64::MIN_POSITIVE)
    }

    pub fn refused_inside(&self) -> f64 {
        self.refused.len() as f64 / self.tries.max(1) as f64
    }

    fn shown(&self) -> Value {
        let share = |worth: f64| worth / self.inside.max(f64::MIN_POSITIVE);
        let beyond: BTreeMap<_, _> = self.beyond.iter().map(|(plan, worth)| (plan, share(*worth))).collect();
        json!({ "cost": self.cost(), "beyond_by_plan": beyond, "beyond_by_unseen": share(self.unseen),
            "refused_inside": self.refused_inside(), "served": share(self.served) })
    }
}

/// The customers' true stores.
struct Truth {
    plans: Vec<Plan>,
    lanes: Vec<RequestClass>,
    stores: BTreeMap<u64, Store>,
    seen: BTreeSet<(u64, u32)>,
    outcomes: Outcomes,
}

struct Store {
    level: f64,
    at: Micros,
    /// What was taken of late.
    taken: VecDeque<(Micros, f64)>,
    /// What was offered in the last period as seen late, and the late policy's draw.
    offered: VecDeque<(Micros, f64)>,
    draw: f64,
}

impl Truth {
    fn new(plans: &[Plan], lanes: &[RequestClass]) -> Self {
        let (plans, lanes) = (plans.to_vec(), lanes.to_vec());
        Truth { plans, lanes, stores: BTreeMap::new(), seen: BTreeSet::new(), outcomes: Outcomes::default() }
    }

    fn store(&mut self, ask: &ClientRequest, now: Micros) -> &mut Store {
        let plan = &self.plans[ask.plan];
        let fresh = || Store {
            level: plan.burst,
            at: now,
            taken: VecDeque::new(),
            offered: VecDeque::new(),
            draw: 0.0,
        };
        let store = self.stores.entry(ask.tenant).or_insert_with(fresh);
        store.level = (store.level + plan.rate * (now - store.at) as f64 / SECOND as f64).min(plan.burst);
        store.at = now;
        while store.taken.front().is_some_and(|(at, _)| at + LATE <= now) {
            store.taken.pop_front();
        }
        store
    }

    /// Whether it is inside its quota now, and whether a policy lets it pass that sees the truth late: the store, and what all
    /// gateways were offered in a period. The page's fraction, with all of the sight that a counter could give.
    fn asked(&mut self, ask: &ClientRequest) -> (bool, bool) {
        let (rate, burst) = (self.plans[ask.plan].rate, self.plans[ask.plan].burst);
        let store = self.store(ask, ask.at);
        let level = (store.level + store.taken.iter().map(|(_, units)| units).sum::<f64>()).min(burst);
        while store.offered.front().is_some_and(|(at, _)| at + LATE + PERIOD <= ask.at) {
            store.offered.pop_front();
        }
        let seen = store.offered.iter().filter(|(at, _)| at + LATE <= ask.at);
        let offered = seen.map(|(_, units)| units).sum::<f64>();
        store.offered.push_back((ask.at, f64::from(ask.units)));
        let fraction = ((rate * PERIOD as f64 / SECOND as f64 + level) / offered.max(1.0)).min(1.0);
        store.draw += fraction;
        let passes = store.draw >= 1.0;
        store.draw -= f64::from(u8::from(passes));
        (store.level >= f64::from(ask.units), passes)
    }

    fn worth(&self, ask: &ClientRequest) -> f64 {
        self.lanes[ask.class].priority_weight * self.plans[ask.plan].price * f64::from(ask.units)
    }

    /// A transaction has been sent on, or refused.
    fn decided(&mut self, ask: &ClientRequest, inside_when_asked: bool, passed: bool, now: Micros) {
        let store = self.store(ask, now);
        let units = f64::from(ask.units);
        let inside = store.level >= units;
        if passed && inside {
            store.level -= units;
            store.taken.push_back((now, units));
        }
        let first = self.seen.insert((ask.tenant, ask.gateway));
        if ask.at < LEARNS {
            return;
        }
        let (worth, plan) = (self.worth(ask), self.plans[ask.plan].name.clone());
        let own = &mut self.outcomes;
        if passed {
            own.refused.remove(&ask.origin);
        }
        if inside_when_asked && ask.attempt == 0 {
            own.inside += worth;
            let keeps = KINDS[ask.group % KINDS.len()].1 < 1.0;
            own.tries += u64::from(keeps);
            if keeps && !passed {
                own.refused.insert(ask.origin);
            }
            own.served += if passed { worth } else { 0.0 };
        }
        if passed && !inside {
            *own.beyond.entry(plan).or_default() += worth;
            own.unseen += if first { worth } else { 0.0 };
        }
    }
}

enum Act {
    Send(Id, Id),
    Refuse(Id),
    Alarm(Micros, String),
    Add(String, f64, Micros),
}

#[derive(Clone)]
struct Hands(Rc<RefCell<(Micros, Vec<Act>)>>);

impl Hands {
    fn note(&self, act: Act) {
        self.0.borrow_mut().1.push(act);
    }
}

impl Host for Hands {
    fn now(&self) -> Micros {
        self.0.borrow().0
    }
    fn forward(&mut self, transaction: &Id, server: &Id, _limits: AttemptLimits) {
        self.note(Act::Send(transaction.clone(), server.clone()));
    }
    fn cancel(&mut self, _transaction: &Id, _trip: usize) {}
    fn reject(&mut self, transaction: &Id, _wait: Micros, _why: RejectReason) {
        self.note(Act::Refuse(transaction.clone()));
    }
    fn fail(&mut self, transaction: &Id, _why: RejectReason) {
        self.note(Act::Refuse(transaction.clone()));
    }
    fn set_timer(&mut self, delay: Micros, token: &str) {
        self.note(Act::Alarm(delay, token.into()));
    }
    fn check_health(&mut self, _server: &Id) {}
    fn close_idle_connections(&mut self, _server: &Id) {}
    fn update_counter(&mut self, count: &str, amount: f64, life: Micros) {
        self.note(Act::Add(count.into(), amount, life));
    }
    fn watch_endpoints(&mut self, _on: bool) {}
    fn poll_endpoints(&mut self) {}
    fn send_message(&mut self, _gateway: Option<u32>, _data: &[u8]) {}
    fn log(&mut self, _text: &str) {}
}

enum Due {
    Ask,
    Alarm(usize, String),
    Counted(usize, String, Outcome, f64, Micros),
    Returned(usize, Id, Id),
}

struct Fleet {
    now: Micros,
    gateways: Vec<(Engine<Hands>, Hands)>,
    counter: Counter,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Due>,
    open: BTreeMap<Id, (ClientRequest, bool)>,
    front: ClientModel,
    truth: Truth,
}

impl Fleet {
    fn at(&mut self, at: Micros, due: Due) {
        let number = self.events.last_key_value().map_or(0, |(number, _)| number + 1);
        self.due.push(Reverse((at, number)));
        self.events.insert(number, due);
    }

    /// Tells one gateway something, and does what it says.
    fn tell(&mut self, gateway: usize, event: impl FnOnce(&mut Engine<Hands>)) {
        let (module, hands) = &mut self.gateways[gateway];
        hands.0.borrow_mut().0 = SHARED + self.now;
        event(module);
        let acts = std::mem::take(&mut hands.0.borrow_mut().1);
        let now = self.now;
        for act in acts {
            match act {
                Act::Send(id, server) => {
                    if let Some((ask, inside)) = self.open.remove(&id) {
                        self.truth.decided(&ask, inside, true, now);
                    }
                    self.at(now + TRIP, Due::Returned(gateway, id, server));
                }
                Act::Refuse(id) => {
                    if let Some((ask, inside)) = self.open.remove(&id) {
                        self.truth.decided(&ask, inside, false, now);
                        self.front.request_unserved(now, &ask, true, WAIT);
                    }
                }
                Act::Alarm(delay, token) => self.at(now + delay, Due::Alarm(gateway, token)),
                Act::Add(count, amount, life) => {
                    let (said, at) = self.counter.add(now, &count, amount, life);
                    let (outcome, total) = match said {
                        Reply::Total(total) if at <= now + CALL => (Outcome::Ok, total),
                        Reply::Busy => (Outcome::Overloaded, 0.0),
                        _ => (Outcome::TimedOut, 0.0),
                    };
                    let at = at.min(now + CALL);
                    self.at(at, Due::Counted(gateway, count, outcome, total, at - now));
                }
            }
        }
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Ask => {
                // Those that come again may have come in between.
                let due = self.front.next_at() <= self.now;
                let ask = if due { self.front.next_request() } else { None };
                let next = self.front.next_at().min(self.now + TURN);
                self.at(next.max(self.now), Due::Ask);
                let Some(ask) = ask else { return };
                let (inside, _) = self.truth.asked(&ask);
                let id = Id::from(format!("{:x}", ask.id));
                let asked = Request {
                    id: id.clone(),
                    class: ask.class,
                    plan: ask.plan,
                    tenant: Id::from(format!("{:x}", ask.tenant)),
                    units: f64::from(ask.units),
                    first_gateway: ask.first_gateway,
                    gateway_spread: ask.gateway_spread,
                    time_left: self.truth.lanes[ask.class].deadline,
                };
                let gateway = ask.gateway as usize;
                self.open.insert(id, (ask, inside));
                self.tell(gateway, |module| module.request_received(asked));
            }
            Due::Alarm(gateway, token) => self.tell(gateway, |module| module.timer_fired(&token)),
            Due::Counted(gateway, count, outcome, total, took) => {
                self.tell(gateway, |module| module.counter_replied(&count, outcome, total, took));
            }
            Due::Returned(gateway, transaction, server) => {
                let end = AttemptCompleted {
                    request: transaction,
                    attempt: 0,
                    server,
                    outcome: Outcome::Ok,
                    elapsed: TRIP,
                    read_delay: 0,
                    is_final: true,
                    units: None,
                    load: LoadReport::default(),
                };
                self.tell(gateway, |module| module.attempt_completed(end));
            }
        }
    }
}

/// Plans as such sites have: a small one, one for most, and a large one.
fn plans() -> Vec<Plan> {
    let plan = |name: &str, rate: f64, burst: f64, price: f64| Plan {
        name: name.into(),
        rate,
        burst,
        price,
        ceiling: None,
    };
    vec![plan("small", 0.8, 4.0, 0.6), plan("usual", 2.5, 9.0, 0.8), plan("large", 15.0, 28.0, 1.4)]
}

fn front(day: &Day, lanes: &[RequestClass], plans: &[Plan]) -> ClientModel {
    let spread = (day.gateways * 3 / 4).max(2).min(day.gateways);
    let groups = (0..plans.len()).flat_map(|plan| {
        KINDS.map(|(name, load, tenths)| TenantGroup {
            name: format!("{name} {}", plans[plan].name),
            plan,
            count: (day.customers * tenths / 30).max(1),
            load,
            spread,
            first_share: None,
            classes: vec![(0, 1.0)],
            units: (1, 1),
            single_use: false,
            retry_share: 0.7,
            max_retries: 2,
            leave_share: 0.0,
        })
    });
    ClientModel::new(lanes.to_vec(), plans.to_vec(), groups.collect(), day.gateways, day.seed)
}

/// What the module of each gateway makes of a day, and the policy that sees late.
pub fn play(day: &Day) -> (Outcomes, Outcomes) {
    let plans = plans();
    let lanes = vec![RequestClass {
        name: "read".into(),
        idempotency: Idempotency::Idempotent,
        retention: 0,
        scope: KeyScope::All,
        latency_objective: 750 * MS,
        deadline: 2_500 * MS,
        priority_weight: 1.0,
        work: TRIP,
    }];
    let mut late = Truth::new(&plans, &lanes);
    let mut asks = front(day, &lanes, &plans);
    while let Some(ask) = asks.next_request().filter(|ask| ask.at < day.lasts) {
        let (inside, seems) = late.asked(&ask);
        late.decided(&ask, inside, seems, ask.at);
        if !seems {
            asks.request_unserved(ask.at, &ask, true, WAIT);
        }
    }

    let spec = Spec { capacity: day.calls, latency: MS, queue: day.calls * 0.1, connections: usize::MAX };
    let gateway = |me: u32| {
        let settings = module::Settings {
            seed: crate::seed_of(day.seed, &me.to_string()),
            gateway_index: me,
            gateway_count: day.gateways,
            classes: vec![module::RequestClass {
                idempotency: module::Idempotency::Idempotent,
                latency_objective: lanes[0].latency_objective,
                priority_weight: 1.0,
            }],
            plans: plans.iter().map(module_plan).collect(),
            max_attempts: 6,
            can_cancel: true,
            max_retry_after: 500 * MS,
            has_shared_counter: true,
            list_poll_interval: None,
            slow_start_share: 0.3,
            slow_start_duration: 10 * SECOND,
            overload_factor: 3.0,
            overload_window: 1_500 * MS,
        };
        let hands = Hands(Rc::new(RefCell::new((SHARED, Vec::new()))));
        (Engine::new(settings, hands.clone()), hands)
    };
    let mut fleet = Fleet {
        now: 0,
        gateways: (0..day.gateways).map(gateway).collect(),
        counter: Counter::new(spec, day.seed),
        due: BinaryHeap::new(),
        events: BTreeMap::new(),
        open: BTreeMap::new(),
        front: front(day, &lanes, &plans),
        truth: Truth::new(&plans, &lanes),
    };
    let servers = (day.gateways * 2 / 3).max(12);
    let listed = |number: u32| Endpoint {
        server: Id::from(format!("s{number}")),
        zone: 0,
        hardware_type: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
        listed_start: None,
    };
    let list: Vec<Endpoint> = (0..servers).map(listed).collect();
    (0..day.gateways as usize)
        .for_each(|gateway| fleet.tell(gateway, |module| module.endpoints_updated(true, &list)));
    fleet.at(0, Due::Ask);
    while let Some(Reverse((at, number))) = fleet.due.pop().filter(|Reverse((at, _))| *at < day.lasts) {
        fleet.now = at;
        if let Some(due) = fleet.events.remove(&number) {
            fleet.happens(due);
        }
    }
    (fleet.truth.outcomes, late.outcomes)
}

fn module_plan(plan: &Plan) -> module::Plan {
    module::Plan {
        rate: plan.rate,
        burst: plan.burst,
        priority_factor: plan.price,
        excess_cost: OVER_COST,
        ..module::Plan::default()
    }
}

/// One line for a day.
pub fn measure(day: &Day) -> Value {
    let (ours, late) = play(day);
    json!({ "gateways": day.gateways, "customers": day.customers, "calls_a_second": day.calls, "seed": day.seed,
        "ours": ours.shown(), "late_seeing": late.shown(), "costs_more": ours.cost() - late.cost() })
}
