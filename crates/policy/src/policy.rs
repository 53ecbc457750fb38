//! Every decision of one gateway. The caller makes a [`Engine`] with its settings and a [`Host`], then calls
//! the method named after what happened: `transaction`, `returned`, `counted`, `list`, `alarm`, `cordon` ...
//! The module answers by calling the host, in order, before the method returns. Types: `interface.rs`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::*;
use crate::rejection::RejectReason;
use crate::state::{phase, Calls, Customer, Open, Server, Servers, Trip, Work};

const SECOND: Micros = 1_000_000;
/// Pause while something waits for a server, µs: short beside any agreed time.
const TICK: Micros = 10_000;
/// Answers are given this long before the hard stop, µs: two looks, so that a late one still holds.
const MARGIN: Micros = 2 * TICK;
/// Least time between two calls for one customer, µs: the shorter, the less of a surge passes.
const PERIOD: Micros = 200_000;
/// Calls a second, of all gateways together, at first and at the least: few counters take less.
const FIRST_CALLS: f64 = 400.0;
const LEAST_CALLS: f64 = 250.0;
/// Growth of that rate in a second, what no answer or a late one leaves, and how late, by the quickest.
const MORE_CALLS: f64 = 0.4;
const BACK_OFF: f64 = 0.7;
const SLOWED: f64 = 0.9;
const SLOW_CALL: f64 = 2.5;
/// Time of calls saved up, µs: below half of it calls are drawn, and what is told weighs as much more.
const CALLS_SAVED: Micros = 2 * SECOND;
/// Samples that a count needs in its time where calls are few: they tell the fraction within a third.
const SAMPLES: f64 = 6.0;
/// Age of a customer's word, µs, beyond which the counter is asked first: some spikes last no longer.
const STALE: Micros = 2 * SECOND;
/// Units that a belief weighs beside as many seen: few transactions must not overturn a fraction.
const BELIEF: f64 = 6.0;
/// Time of one name of a count, µs: the counter's longest; less for trips out: lost calls stay in a name.
const SPAN: Micros = 60 * SECOND;
const OUT_SPAN: Micros = 5 * SECOND;
/// Fades in a name: by its end a unit weighs so much more, and counters take and tell 1e9 at the most.
const FADES: f64 = 16.0;
/// Time in which what was offered fades, in fills of the store, and the least, µs: longer, spikes hide.
const FADE: f64 = 0.25;
const LEAST_FADE: f64 = 1e6;
/// Part of a burst that passes in a period where its even part holds no unit: two periods make one store.
const THIN: f64 = 0.5;
/// Share of those decisions that have word, from which what has none is nacked: later it may have one.
const WORDED: f64 = 0.1;
/// Room for what was offered of late, in refills of that time, as a burst may use the store besides.
const ROOM: f64 = 2.2;
/// Fades between two words up to which the store is kept from their difference: beyond, most has faded.
const KEPT: f64 = 2.0;
/// Customers unheard of for this long, µs, are forgotten: any burst has refilled by then.
const QUIET: Micros = 30 * SECOND;
/// What is as good as none, of units or any other measure; the counter rounds by less.
const ROUNDING: f64 = 0.01;
/// Weight of the newest in a mean: some ten samples count for a server, fifty for a lane or a plan.
const NEWEST: f64 = 0.1;
const STEADY: f64 = 0.02;
/// An answer slower than so many times the usual counts as that slow: a monster does not make a slow server.
const MONSTER: f64 = 10.0;
/// Gateways to a server, beyond which one trip from each overdrives it, and the fewest servers to a gateway.
const SHARED_BY: usize = 2;
const FEWEST: usize = 8;
/// Trips in flight that a server starts with, from all gateways: one for each core, as far as can be known.
const FIRST_CAPS: f64 = 4.0;
/// Trips in flight from all at a server below which caps don't fall: with so few none is overdriven.
const LEAST_CAPS: f64 = 3.0;
/// Answer time, in times of an idle fleet's, at which a cap stops growing, and the sum of caps shrinks.
const STRETCH: f64 = 1.15;
const SLOW: f64 = 1.2;
/// Share of its agreed time that a lane is taken to need until answers tell.
const USUAL: f64 = 0.2;
/// How fast the idle answer time may rise, a share for each answer: faster, a jam would pass for the usual.
const RISE: f64 = 0.002;
/// Fill of the caps up to which what is beyond its quota, but pays, may be sent on.
const SPARE: f64 = 0.7;
/// What may wait here, as a share of all caps and at least, and for what share of its agreed time.
const QUEUE: f64 = 0.5;
const LEAST_QUEUE: f64 = 2.0;
const HOLD: f64 = 0.25;
/// Share of a cold server's budget that is used: the rest is for what other gateways can't see.
const COLD_USE: f64 = 0.4;
/// Share of trips lost from which a server's are given up after so many usual answer times: two in twenty.
const LOSSY: f64 = 0.08;
const LOST: f64 = 7.0;
/// Rest, µs, of a server that lost a trip, times the share it loses: one that fails at once draws in all.
const REST: Micros = 2 * SECOND;
/// Further trips earned by each first one, and the most that may be saved: a small share of the load.
const FURTHER_SHARE: f64 = 0.2;
const FURTHER_SAVED: f64 = 10.0;

/// Times that the pause before a list is asked anew doubles: a crowd must not stay one, nor an agent unheard.
const MOST_DOUBLED: u32 = 4;

pub struct Engine<H: Host> {
    host: H,
    settings: Settings,
    chance: ChaCha8Rng,
    born: Micros,
    /// Of this gateway's ceilings and cold budgets, where another process has the rest.
    part: f64,
    servers: Servers,
    customers: BTreeMap<Id, Customer>,
    open: HashMap<Id, Open>,
    dues: BTreeSet<(Micros, Id)>,
    waiting: BTreeSet<(i64, Micros, Id)>,
    /// Answer time of each lane, µs: the mean of late, and what an idle fleet takes.
    usual: Vec<f64>,
    idle: Vec<f64>,
    work: Work,
    /// This gateway's servers and its part for each, where others have dealt them; else it takes a row.
    subset: Option<Subset>,
    calls: Calls,
    /// Times in a row that the list could not be had.
    misses: u32,
    /// Share of each plan's transactions that were found inside the quota.
    inside: Vec<f64>,
}

impl<H: Host> Engine<H> {
    pub fn new(settings: Settings, mut host: H) -> Self {
        let born = host.now();
        let rate = FIRST_CALLS / f64::from(settings.gateway_count.max(1));
        let saved = rate * seconds(CALLS_SAVED);
        host.set_timer(SECOND, "look");
        if settings.list_poll_interval.is_some() {
            host.watch_endpoints(true);
        }
        Engine {
            chance: ChaCha8Rng::seed_from_u64(settings.seed),
            born,
            part: 1.0,
            servers: Servers::default(),
            customers: BTreeMap::new(),
            open: HashMap::new(),
            dues: BTreeSet::new(),
            waiting: BTreeSet::new(),
            usual: settings.classes.iter().map(|lane| USUAL * lane.latency_objective as f64).collect(),
            idle: vec![f64::INFINITY; settings.classes.len()],
            work: Work::new(born, born + SECOND, FURTHER_SAVED),
            subset: None,
            calls: Calls::new(rate, saved, born),
            misses: 0,
            inside: vec![1.0; settings.plans.len()],
            host,
            settings,
        }
    }

    /// A client's transaction has come in.
    pub fn request_received(&mut self, asked: Request) {
        let now = self.host.now();
        let (id, hard_stop) = (asked.id.clone(), now + asked.time_left);
        let (rank, due) = ((0, now, id.clone()), hard_stop.saturating_sub(MARGIN).max(now));
        let within = self.meter(&asked, now);
        self.dues.insert((due, id.clone()));
        let open = Open { asked, within: None, rank, hard_stop, due, trips: Vec::new(), answered: false };
        self.open.insert(id.clone(), open);
        if let Some(within) = within {
            self.admit(&id, within, now);
        }
        self.wake(now);
    }

    /// Lets a transaction wait for a server, or gives it up.
    fn admit(&mut self, id: &Id, within: bool, now: Micros) {
        let (out, caps) = self.fill();
        let Some(open) = self.open.get_mut(id) else { return };
        let (asked, customer) = (&open.asked, &self.customers[&open.asked.tenant]);
        let (plan, lane) = (&self.settings.plans[asked.plan], &self.settings.classes[asked.class]);
        let pays = within || plan.excess_value > plan.excess_cost;
        let full = !within && (out > SPARE * caps || !self.waiting.is_empty());
        let part = plan.ceiling.is_none() || customer.ceiling >= asked.units;
        let late = now + MARGIN + self.usual[asked.class] as Micros / 2 >= open.hard_stop;
        let why = match (pays && !full, late, part) {
            (false, ..) => Some(RejectReason::OverQuota),
            (true, true, _) => Some(RejectReason::DeadlineTooClose),
            (true, false, false) => Some(RejectReason::Ceiling),
            (true, false, true) => None,
        };
        if let Some(why) = why {
            return self.give_up(id, why);
        }
        // What earns most for the work it takes goes first.
        let worth = plan.priority_factor * lane.priority_weight / self.usual[asked.class];
        open.rank = (-(worth * 1e9) as i64, now, id.clone());
        open.within = Some(within);
        self.waiting.insert(open.rank.clone());
        let hold = (HOLD * lane.latency_objective as f64) as Micros;
        self.dues.remove(&(open.due, id.clone()));
        open.due = open.due.min(now + hold);
        self.dues.insert((open.due, id.clone()));
        self.charge(id, 1.0);
        self.serve(now);
        // What can't be served in time is refused at once, the least rewarding first.
        if self.waiting.len() as f64 > (QUEUE * caps).max(LEAST_QUEUE) {
            if let Some((_, _, last)) = self.waiting.pop_last() {
                self.give_up(&last, RejectReason::QueueFull);
            }
        }
    }

    /// An answer has begun to stream.
    pub fn response_started(&mut self, transaction: &Id, trip: usize) {
        self.close(transaction, Some(trip));
    }

    /// A trip has ended.
    pub fn attempt_completed(&mut self, end: AttemptCompleted) {
        let now = self.host.now();
        let Some(open) = self.open.get_mut(&end.request) else { return };
        let Some(trip) = open.trips.get_mut(end.attempt).filter(|trip| trip.live) else { return };
        trip.live = false;
        trip.may_have_run = !end.outcome.never_ran();
        let (customer_id, lane, within) = (open.asked.tenant.clone(), open.asked.class, open.within);
        let settled = end.units.map_or(0.0, |units| units - open.asked.units);
        let finished = open.answered || end.is_final;
        self.learn(&end, lane, now);
        if let Some(customer) = self.customers.get_mut(&customer_id) {
            customer.offered += settled;
            customer.store -= if within == Some(true) { settled } else { 0.0 };
        }
        match finished {
            true => self.close(&end.request, None),
            false => self.go_on(&end.request, now),
        }
        self.serve(now);
        self.wake(now);
    }

    /// The client has gone; nothing is owed any more.
    pub fn client_disconnected(&mut self, transaction: &Id) {
        self.close(transaction, None);
    }

    pub fn timer_fired(&mut self, token: &str) {
        if token == "follow" {
            return self.host.watch_endpoints(true);
        }
        let now = self.host.now();
        if let Some(customer) = token.strip_prefix("out:") {
            return self.post_out(&Id::from(customer), now);
        }
        self.work.awake = if now >= self.work.awake { Micros::MAX } else { self.work.awake };
        while let Some((_, id)) = self.dues.first().filter(|(at, _)| *at <= now).cloned() {
            self.dues.pop_first();
            self.give_up(&id, self.overdue(&id));
        }
        self.serve(now);
        if now >= self.work.looked + SECOND {
            let warm = self.used().filter(|server| self.share(server, now) >= 1.0).count();
            // Where none is warm there is no telling: taken for nothing, it would starve all of them.
            let change =
                if warm == 0 { 0.0 } else { f64::from(self.work.sent) / warm as f64 - self.work.carried };
            self.work.carried += if self.work.carried == 0.0 { change } else { NEWEST * change };
            (self.work.looked, self.work.sent) = (now, 0);
            self.customers.retain(|_, customer| customer.out > 0 || customer.filled + QUIET > now);
        }
        self.wake(now);
    }

    /// Sets an alarm for what is due next, or soon while something waits for a server.
    fn wake(&mut self, now: Micros) {
        let due = self.dues.first().map_or(Micros::MAX, |(at, _)| *at).min(self.work.looked + SECOND);
        let at = if self.waiting.is_empty() { due.max(now) } else { now + TICK };
        if at < self.work.awake {
            self.work.awake = at;
            self.host.set_timer(at - now, "look");
        }
    }

    /// The whole list of servers, or changes to it.
    pub fn endpoints_updated(&mut self, full: bool, entries: &[Endpoint]) {
        let now = self.host.now();
        self.misses = 0;
        if !full && entries.is_empty() {
            return;
        }
        if full {
            self.servers.values_mut().for_each(|server| server.ready = false);
        }
        for entry in entries {
            let server = self.servers.entry(&entry.server);
            if server.cap == 0.0 || server.started != entry.started_at {
                // New, or started anew: what was learnt no longer holds, and all gateways hear of it at once.
                self.servers.renew(&entry.server, entry.started_at, self.chance.gen(), now);
            }
            let server = self.servers.entry(&entry.server);
            (server.zone, server.cell, server.rating) = (entry.zone, entry.cell, entry.weight);
            server.ready = entry.state == EndpointState::Ready;
        }
        self.servers.retain(|server| server.ready || server.out > 0 || now < server.kept);
        self.deal(now);
    }

    /// The servers that this gateway uses from now on, as dealt out among all; none: it takes a row.
    pub fn set_subset(&mut self, subset: Option<Subset>) {
        self.subset = subset;
        self.deal(self.host.now());
    }

    /// Others have found a server to be bad, or well again: meanwhile no first trip goes there.
    pub fn set_ejected(&mut self, server: &Id, on: bool) {
        if let Some(server) = self.servers.get_mut(server) {
            server.barred = on;
        }
        self.deal(self.host.now());
    }

    fn deal(&mut self, now: Micros) {
        let (settings, subset, work) = (&self.settings, &self.subset, &mut self.work);
        let fits = |server: &Server| server.ready && !server.barred;
        // Each of too many gateways takes a row of servers from its own place, which a new list moves little.
        self.servers.deal(fits, |row| {
            let (all, gateways) = (row.len().max(1), settings.gateway_count.max(1) as usize);
            let part = (all / (gateways / SHARED_BY).max(1)).max(FEWEST).min(all);
            let first = settings.gateway_index as usize % gateways * all / gateways;
            let by_row = ((gateways * part) as f64 / all as f64).max(1.0);
            work.shared = subset.as_ref().map_or(by_row, |subset| subset.gateways_per_server);
            let cap = FIRST_CAPS / work.shared;
            work.least = (LEAST_CAPS / work.shared).min(1.0);
            for (place, (id, server)) in row.iter_mut().enumerate() {
                let rating = Some(server.rating).filter(|_| (place + all - first) % all < part);
                let part = subset.as_ref().map_or(rating, |subset| subset.weights.get(*id).copied());
                (server.mine, server.part) = (part.is_some(), part.unwrap_or(server.rating));
                if server.cap == 0.0 {
                    let cold = server.started.is_some_and(|at| now < at + settings.slow_start_duration);
                    server.cap = if cold { 0.5 * cap } else { cap };
                }
            }
        });
    }

    /// The operators leave a server out of use, whatever the list says of it.
    pub fn cordon(&mut self, server: &Id) {
        self.host.close_idle_connections(server);
        let server = self.servers.entry(server);
        (server.cordoned, server.kept) = (true, Micros::MAX);
    }

    /// They called it back then: it has been started anew meanwhile, though the list may not say so yet.
    pub fn uncordon(&mut self, server: &Id, at: Micros) {
        let (now, server) = (self.host.now(), self.servers.entry(server));
        (server.cordoned, server.recalled, server.kept) =
            (false, Some(at), at + self.settings.slow_start_duration);
        // It is met at once, by some of many gateways: operators call them all at about one time.
        let met = (FIRST_CAPS / self.work.shared).max(self.chance.gen()).min(1.0);
        (server.cold, server.cold_at, server.credit, server.rests) = (met, now, 1.0, now);
    }

    /// This process has so much of its gateway's ceilings and cold budgets; what others had may be used up.
    pub fn set_process_share(&mut self, part: f64) {
        let now = self.host.now();
        for customer in self.customers.values_mut() {
            customer.fill(&self.settings.plans[customer.plan], self.part, now);
        }
        (self.part, self.born) = (part, now);
    }

    /// Whether a server is avoided now, by the operators' word or for the trips that it lost.
    pub fn is_avoided(&self, server: &Id) -> bool {
        let now = self.host.now();
        self.servers.get(server).is_some_and(|server| server.cordoned || server.ready && server.rests > now)
    }

    /// The list could not be had, or follows no longer.
    pub fn endpoints_unavailable(&mut self) {
        self.misses = (self.misses + 1).min(MOST_DOUBLED);
        let asked = self.settings.list_poll_interval;
        let most = asked.map_or((TICK / 2) << self.misses, |within| within.min(SECOND << self.misses));
        self.host.set_timer((most as f64 * self.chance.gen_range(0.5..1.0)) as Micros, "follow");
    }

    pub fn health_check_completed(&mut self, _server: &Id, _outcome: Outcome, _load: LoadReport) {}

    pub fn message_received(&mut self, _gateway: u32, _data: &[u8]) {}

    /// A call to the shared counter has ended.
    pub fn counter_replied(&mut self, count: &str, outcome: Outcome, total: f64, took: Micros) {
        let now = self.host.now();
        let calls = &mut self.calls;
        calls.heard = if outcome == Outcome::Ok { now } else { calls.heard };
        calls.quickest = calls.quickest.min(if outcome == Outcome::Ok { took } else { Micros::MAX });
        if outcome == Outcome::Ok && took as f64 <= SLOW_CALL * calls.quickest as f64 {
            // A rate that is not used up proves nothing, and must not grow to a flood.
            if 2.0 * calls.saved < calls.rate * seconds(CALLS_SAVED) {
                calls.rate *= 1.0 + MORE_CALLS * seconds(now - calls.good).min(2.0);
            }
            calls.good = now;
        } else if outcome != Outcome::Error && now >= calls.cut + PERIOD {
            let least = LEAST_CALLS / f64::from(self.settings.gateway_count.max(1));
            calls.rate = (calls.rate * if outcome == Outcome::Ok { SLOWED } else { BACK_OFF }).max(least);
            calls.cut = now;
        }
        let Some((kind, id)) = count.split_once(':').map(|(kind, id)| (kind, Id::from(id))) else { return };
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if kind.starts_with('o') {
            let Some(amount) = customer.out_adding.take() else { return };
            if outcome == Outcome::Ok {
                customer.out_told = Some(now);
                // A total below what is out from here was lost; the next call adds it again.
                customer.out_added = customer.out_added.min(total.max(0.0));
                customer.out_others = total - customer.out_added;
                customer.out_heard += 1.0;
                // The mean of few words is these, not what it began with.
                let weight = NEWEST.max(1.0 / customer.out_heard);
                customer.out_usual += weight * (customer.out_others - customer.out_usual);
                self.post_out(&id, now);
            } else if !matches!(outcome, Outcome::TimedOut | Outcome::Error) {
                // A counter that turns calls away must not be asked again at once, or without end.
                customer.out_added -= amount;
            }
            return self.decide(&id, now);
        }
        let Some((amount, new)) = customer.adding.take() else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.fill(plan, self.part, now);
        if let Some((_, limit)) = customer.thin(plan) {
            // Of the units offered in this period the first pass, as many as the quota gives in it.
            if outcome == Outcome::Ok {
                let passed = (total - new).max(0.0);
                let large = passed < ROUNDING && self.chance.gen::<f64>() * new < limit;
                customer.passing = if large { limit.max(new) } else { limit - passed };
                (customer.known, customer.told) = (total, Some(now));
            } else {
                customer.offered += new;
            }
            return self.decide(&id, now);
        }
        let may_be = matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Error);
        // What was not added must not stay untold, or each gateway takes itself for all; but it fades.
        let faded = (-((now - customer.judged) as f64) / plan.grown(now, now).1).exp();
        customer.untold = if may_be { 0.0 } else { customer.untold * faded + new };
        if outcome != Outcome::Ok {
            customer.known += if may_be { amount } else { 0.0 };
            customer.guess(new, plan, now);
            return self.decide(&id, now);
        }
        let (grown, fade, _) = plan.grown(customer.span, now);
        let others = (total - customer.known - amount).max(0.0) / grown;
        // A young name has not heard of all that would count.
        let heard = (1.0 - (-((now - customer.span) as f64) / fade).exp()).max(ROUNDING);
        let all = total / grown / heard;
        let told = customer.told.unwrap_or(0).max(customer.span);
        let gap = (now - told) as f64 / fade;
        (customer.known, customer.told) = (total, Some(now));
        if gap < KEPT {
            // What was guessed since is taken already; others let as many pass as left here.
            let untaken = (now - customer.judged.max(told)) as f64 / (now - told).max(1) as f64;
            let others = others * gap / (1.0 - (-gap).exp()).max(ROUNDING);
            let passing = ((customer.left + customer.fraction) / (customer.seen + 1.0)).clamp(0.0, 1.0);
            customer.store = (customer.store - others * untaken * passing).max(0.0);
            let period = (now - told).max(PERIOD) as f64;
            customer.judge(all * period / fade, period, plan, now);
            customer.refill = 0.0;
        } else {
            let room = ROOM * plan.rate * fade / SECOND as f64 - all;
            customer.store = (heard * room + new).clamp(0.0, plan.burst);
            customer.judge(all, fade, plan, now);
        }
        self.decide(&id, now);
    }

    /// Decides what waited for its customer's word.
    fn decide(&mut self, id: &Id, now: Micros) {
        let Some(customer) = self.customers.get_mut(id) else { return };
        let told = customer.asking.len().min(customer.covered);
        for asked in customer.asking.drain(..told).collect::<Vec<Id>>() {
            if let Some(open) = self.open.remove(&asked) {
                let within = self.judge(&open.asked, now);
                self.open.insert(asked.clone(), open);
                self.admit(&asked, within, now);
            }
        }
        // What came after the call was not told with it: it has a call of its own, or goes without word.
        let free = |customer: &&mut Customer| !customer.asking.is_empty() && customer.adding.is_none();
        if self.customers.get_mut(id).filter(free).is_some() {
            self.post(id, now);
            if let Some(customer) = self.customers.get_mut(id).filter(free) {
                customer.covered = usize::MAX;
                self.decide(id, now);
            }
        }
    }

    /// Chance that a call may be made: one while enough are saved up, less as they run out.
    fn chance_of_call(&mut self, now: Micros) -> f64 {
        let (time, calls) = (seconds(now - self.calls.at), &mut self.calls);
        let most = (calls.rate * seconds(CALLS_SAVED)).max(1.0);
        (calls.saved, calls.at) = ((calls.saved + calls.rate * time).min(most), now);
        (2.0 * calls.saved / most).clamp(0.0, 1.0)
    }

    /// Counts what is offered. True if the customer's quota has room for it, none while the counter is asked.
    fn meter(&mut self, arrived: &Request, now: Micros) -> Option<bool> {
        let (plan, chance) = (&self.settings.plans[arrived.plan], &mut self.chance);
        let (age, gateways) = (now - self.born, self.settings.gateway_count.max(1));
        let customer = self.customers.entry(arrived.tenant.clone()).or_insert_with(|| {
            let (spread, draw) = (f64::from(arrived.gateway_spread.clamp(1, gateways)), chance.gen());
            // Kept alone, by the even part: empty at first, as a gateway that was killed may have used it up.
            let rate = plan.ceiling.map_or(0.0, |ceiling| self.part * ceiling.rate / spread);
            let ceiling = rate * seconds(age.min(QUIET));
            // A new customer has its even share until a total is known, and its first transaction.
            let fresh = Customer { filled: now, judged: now, fraction: 1.0, draw, ..Customer::default() };
            Customer { plan: arrived.plan, spread, store: plan.burst / spread, ceiling, ..fresh }
        });
        customer.fill(plan, self.part, now);
        customer.out += 1;
        customer.offered += arrived.units;
        customer.doubt = match customer.told {
            _ if customer.thin(plan).is_some() => true,
            Some(told) => now - told >= STALE,
            None => customer.store < arrived.units,
        };
        customer.asking.push(arrived.id.clone());
        self.post_out(&arrived.tenant, now);
        self.post(&arrived.tenant, now);
        let customer = self.customers.get_mut(&arrived.tenant)?;
        let wait = customer.out_adding.is_some() || customer.doubt && customer.adding.is_some();
        // Of a customer seen here now and then, what is known is no guide by the next time.
        if wait && arrived.time_left > MARGIN {
            return None;
        }
        customer.asking.pop();
        Some(self.judge(arrived, now))
    }

    /// Whether the customer's quota has room, by what is known of it.
    fn judge(&mut self, arrived: &Request, now: Micros) -> bool {
        let plan = &self.settings.plans[arrived.plan];
        let Some(customer) = self.customers.get_mut(&arrived.tenant) else { return false };
        customer.seen += arrived.units;
        let inside = &mut self.inside[arrived.plan];
        let (mut within, mut known) = (true, true);
        // Who comes here again before any word of it asks much; the first is likelier inside than the rest.
        let likely = if customer.seen <= arrived.units { (1.0 + *inside) / 2.0 } else { *inside * *inside };
        let mut likely = self.settings.has_shared_counter && self.chance.gen::<f64>() < likely;
        if plan.max_concurrency > 0 {
            let (most, out) = (f64::from(plan.max_concurrency), f64::from(customer.out));
            // With few of them for many gateways, what is not fresh is no guide; nacked, it comes again.
            let few = now < self.calls.heard + STALE && 2.0 * most < customer.spread;
            within = match customer.out_told {
                told if few => told == Some(now) && out + customer.out_others <= most,
                Some(told) if now - told < STALE => out + customer.out_others <= most,
                // What others usually have out; of one never heard of, what its plan's others are.
                Some(_) => out + customer.out_usual.round() <= most,
                None => out * customer.spread <= most || likely,
            };
            known = customer.out_told.is_some();
        }
        if let Some((_, limit)) = customer.thin(plan) {
            let word = customer.told == Some(now);
            known = word || customer.known + ROUNDING >= limit;
            self.calls.worded += STEADY * (f64::from(u8::from(known)) - self.calls.worded);
            // Nacked without word it comes again where there may be one; let in, it is in no count. Who is
            // here again asks far beyond its quota, two fifths inside: it must earn more than it costs.
            let pays = customer.seen <= arrived.units || 1.5 * plan.excess_cost < 1.0 + plan.excess_value;
            likely &= now >= self.calls.heard + STALE || pays && self.calls.worded < WORDED;
            within &= if word { customer.passing + ROUNDING >= arrived.units } else { likely && !known };
            customer.passing -= if word && within { arrived.units } else { 0.0 };
            customer.offered -= if word || within { 0.0 } else { arrived.units };
        } else if plan.rate > 0.0 && customer.told.is_none() && customer.spread > 1.0 {
            // Beyond its even share, one that nothing is known of is taken to be as its plan's others are.
            (within, known) = (within && (!customer.doubt || likely), false);
        } else if plan.rate > 0.0 {
            // The surge: what comes within a period can't use more than the store and its refill.
            within &= arrived.units <= customer.store + customer.refill + ROUNDING;
            if within && customer.fraction < 1.0 {
                customer.draw += customer.fraction;
                within = customer.draw >= 1.0;
                customer.draw -= f64::from(u8::from(within));
            }
        }
        if known {
            *inside += STEADY * (f64::from(u8::from(within)) - *inside);
        }
        within
    }

    /// Adds what a customer offered to its count, as far as there are calls: else what is told weighs more.
    fn post(&mut self, id: &Id, now: Micros) {
        let share = self.chance_of_call(now);
        let Some(customer) = self.customers.get_mut(id) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.covered = if customer.adding.is_none() { customer.asking.len() } else { customer.covered };
        if let Some((period, limit)) = customer.thin(plan).filter(|_| customer.adding.is_none()) {
            let span = (now + phase(id, period)) / period;
            customer.known = if customer.span == span { customer.known } else { 0.0 };
            customer.span = span;
            let asks = self.settings.has_shared_counter && customer.known + ROUNDING < limit;
            if asks && (share >= 1.0 || self.chance.gen::<f64>() < share) {
                let new = std::mem::take(&mut customer.offered);
                customer.adding = Some((new, new));
                self.calls.saved -= 1.0;
                self.host.update_counter(&format!("p{span}:{id}"), new, period);
            }
            return;
        }
        let span = now - now % plan.grown(now, now).2;
        let free = customer.adding.is_none() && now >= customer.called + PERIOD && plan.rate > 0.0;
        if !free || !self.settings.has_shared_counter || customer.spread <= 1.0 {
            return;
        }
        if customer.span != span {
            (customer.span, customer.known) = (span, 0.0);
        }
        let new = std::mem::take(&mut customer.offered);
        (customer.called, customer.left, customer.seen) = (now, customer.left / 2.0, customer.seen / 2.0);
        // Few calls are for those whose quota is in doubt, and no more of them than a count needs.
        let (grown, fade, _) = plan.grown(span, now);
        let enough = (SAMPLES * new.abs() / (customer.demand * fade).max(ROUNDING)).min(1.0);
        let told = enough * if customer.doubt { share } else { share * share };
        let share = if share >= 1.0 { 1.0 } else { told };
        if share < 1.0 && self.chance.gen::<f64>() >= share {
            return customer.guess(new, plan, now);
        }
        let amount = (new + customer.untold) / share * grown;
        customer.adding = Some((amount, new));
        self.calls.saved -= 1.0;
        self.host.update_counter(&format!("q{span}:{id}"), amount, SPAN);
    }

    /// Keeps the shared count of a customer's trips out in step with those from here.
    fn post_out(&mut self, id: &Id, now: Micros) {
        let share = self.chance_of_call(now);
        let Some(customer) = self.customers.get_mut(id) else { return };
        let capped = self.settings.plans[customer.plan].max_concurrency > 0;
        if !capped
            || !self.settings.has_shared_counter
            || customer.out_adding.is_some()
            || customer.spread <= 1.0
        {
            return;
        }
        // Names of all customers that change at one time would bring all calls at one time.
        let shifted = now + phase(id, OUT_SPAN);
        let (span, left) = (shifted / OUT_SPAN, OUT_SPAN - shifted % OUT_SPAN);
        let moves = customer.out_span != span;
        if moves {
            (customer.out_span, customer.out_added) = (span, 0.0);
        }
        let amount = f64::from(customer.out) - customer.out_added;
        // Always told is what came back, what is still out to the next name, and the first in a name.
        let told = amount < 0.0 || moves || share >= 1.0;
        if amount != 0.0 && (told || self.chance.gen::<f64>() < share) {
            if amount > 0.0 {
                self.host.set_timer(left, &format!("out:{id}"));
            }
            customer.out_added += amount;
            customer.out_adding = Some(amount);
            self.calls.saved -= 1.0;
            self.host.update_counter(&format!("o{span}:{id}"), amount, SPAN);
        }
    }

    /// The servers that first trips may go to.
    fn used(&self) -> impl Iterator<Item = &Server> {
        let dealt = self.servers.dealt().map(|(_, server)| server);
        dealt.filter(|server| server.ready && server.mine && !server.cordoned)
    }

    /// The share of its capacity that a server surely has, by the time since its start.
    fn share(&self, server: &Server, now: Micros) -> f64 {
        let Some(started) = server.started.max(server.recalled) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.settings.slow_start_duration.max(1) as f64;
        (self.settings.slow_start_share + (1.0 - self.settings.slow_start_share) * age).min(1.0)
    }

    /// Trips that a cold server may be sent now: it falls over when all gateways push it. Each keeps to its
    /// part of what the server surely can do, with many gateways less than one trip at a time.
    fn budget(&self, server: &Server, now: Micros) -> f64 {
        let can = self.share(server, now) * self.work.carried * seconds(self.settings.overload_window);
        let part = self.part * (COLD_USE * self.settings.overload_factor * can).max(0.5 / self.work.shared);
        let windows = (now - server.cold_at) as f64 / self.settings.overload_window.max(1) as f64;
        (server.cold + part * windows).min(part.max(1.0))
    }

    /// Trips out at the servers in use, and how many may be: the sum of caps, or less while all are slow.
    fn fill(&self) -> (f64, f64) {
        let sum = |sum: (f64, f64), server: &Server| (sum.0 + f64::from(server.out), sum.1 + server.cap);
        let (least, (out, caps)) =
            (self.used().count() as f64 * self.work.least, self.used().fold((0.0, 0.0), sum));
        // Many gateways see few answers each: what all servers show is learnt long before what each one does.
        (out, (caps * (SLOW / self.work.pace).min(1.0)).max(least))
    }

    /// The next server by weighted rotation among those that may have this transaction and have room.
    fn pick(&mut self, lane: usize, trips: &[Trip], now: Micros) -> Option<Id> {
        let (bound, (out, caps)) = (self.bound(lane, trips), self.fill());
        // Many gateways with a place for each server would together overdrive all servers.
        if out >= caps.max(1.0) || now < self.work.free && bound.is_none() {
            return None;
        }
        let fits = |(id, server): &(&Id, &Server)| {
            server.ready
                && !server.cordoned
                && (server.mine || bound.is_some())
                && bound.is_none_or(|(group, until)| now < until && group == self.group(lane, server))
                && f64::from(server.out) < server.cap.max(1.0)
                && server.rests <= now
                && (self.share(server, now) >= 1.0 || self.budget(server, now) >= 1.0)
                && !trips.iter().any(|trip| trip.server == **id)
        };
        let weigh = |(id, server): (&Id, &Server)| {
            let speed = server.part.max(ROUNDING) * self.share(server, now) / server.relative;
            // Where a cap is a share of one trip, it can't keep a server from its turn that serves little.
            (id.clone(), speed * server.cap.min(1.0) * (1.0 - server.lost))
        };
        let chosen: Vec<(Id, f64)> = match bound {
            None => self.servers.dealt().filter(fits).map(weigh).collect(),
            Some(_) => self.servers.iter().filter(fits).map(weigh).collect(),
        };
        let sum = chosen.iter().map(|(_, weight)| weight).sum::<f64>().max(f64::MIN_POSITIVE);
        for (id, weight) in &chosen {
            self.servers.get_mut(id).expect("chosen from these").credit += weight / sum;
        }
        let credit = |id: &Id| self.servers.get(id).map_or(0.0, |server| server.credit);
        chosen.into_iter().map(|(id, _)| id).rev().max_by(|one, other| credit(one).total_cmp(&credit(other)))
    }

    /// The servers among which a repeat of this lane is dropped.
    fn group(&self, lane: usize, server: &Server) -> Option<u32> {
        match self.settings.classes[lane].idempotency {
            Idempotency::Keyed { scope: KeyScope::Zone, .. } => Some(server.zone),
            Idempotency::Keyed { scope: KeyScope::Cell, .. } => Some(server.cell),
            _ => None,
        }
    }

    /// The group that a labelled transaction is bound to, and until when, once a trip may have run.
    fn bound(&self, lane: usize, trips: &[Trip]) -> Option<(Option<u32>, Micros)> {
        let Idempotency::Keyed { retention: memory, .. } = self.settings.classes[lane].idempotency else {
            return None;
        };
        let first = trips.iter().find(|trip| trip.may_have_run)?;
        // A server that has left the list takes the word of its group with it: then no other will do.
        let server = self.servers.get(&first.server);
        let until = server.map_or(0, |_| first.sent + memory);
        Some((server.and_then(|server| self.group(lane, server)), until))
    }

    /// What one trip's end tells of its server.
    fn learn(&mut self, end: &AttemptCompleted, lane: usize, now: Micros) {
        let mean = self.servers.mean_lost();
        let (took, caps, least) = (end.elapsed as f64, self.fill().1, self.work.least);
        // A gateway that has less than one place uses it for a part of the time.
        self.work.free = now + (took * (1.0 / caps.min(1.0) - 1.0)).min(SECOND as f64) as Micros;
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        server.out = server.out.saturating_sub(1);
        // A trip cancelled early tells nothing of what becomes of those that are waited for.
        let overdue = end.outcome != Outcome::Cancelled || took > MONSTER * self.usual[lane];
        if overdue && end.outcome != Outcome::NeverSent {
            let lost = if end.outcome == Outcome::Ok { 0.0 } else { 1.0 };
            let share = server.lost + NEWEST * (lost - server.lost);
            // Where all lose as many the fault is elsewhere, and none is cast out.
            let worse = (share - mean).max(0.0);
            server.rests = now + (REST as f64 * lost * worse) as Micros;
            self.servers.loses(&end.server, share);
        }
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        if end.outcome == Outcome::Ok {
            let most = 2.0 * self.settings.classes[lane].latency_objective as f64;
            self.usual[lane] += STEADY * (took.min(most) - self.usual[lane]);
            let (idle, usual) = (&mut self.idle[lane], self.usual[lane]);
            *idle = if usual < *idle { usual } else { *idle + RISE * (usual - *idle) };
            self.work.pace += NEWEST * ((took / *idle).min(MONSTER) - self.work.pace);
            server.pace += NEWEST * ((took / *idle).min(MONSTER) - server.pace);
            server.relative += STEADY * ((took / usual).min(MONSTER) - server.relative);
            // A slow machine is not an overdriven one: it is measured by its own speed.
            let change = (1.0 - server.pace / server.relative / STRETCH).max(-1.0);
            if change < 0.0 || f64::from(server.out) + 2.0 > server.cap {
                server.cap = (server.cap + change * least / server.cap).max(least);
            }
        }
    }

    /// Takes a transaction's units from its customer, or gives them back.
    fn charge(&mut self, id: &Id, times: f64) {
        let open = &self.open[id];
        let Some(customer) = self.customers.get_mut(&open.asked.tenant) else { return };
        let units = times * open.asked.units;
        customer.held += units;
        customer.ceiling -= units;
        if open.within == Some(true) {
            customer.store -= units;
            customer.left += units;
        }
    }

    /// Sends what waits, the most rewarding first, as far as servers have room.
    fn serve(&mut self, now: Micros) {
        while let Some((_, _, id)) = self.waiting.first().cloned() {
            let Some(server) = self.pick(self.open[&id].asked.class, &[], now) else { return };
            self.waiting.pop_first();
            self.send(&id, server, now);
        }
    }

    fn send(&mut self, id: &Id, to: Id, now: Micros) {
        let server = self.servers.get(&to).expect("picked from these");
        let cold = (self.share(server, now) < 1.0).then(|| self.budget(server, now) - 1.0);
        let server = self.servers.get_mut(&to).expect("picked from these");
        let lossy = server.lost > LOSSY && self.work.further >= 1.0;
        server.out += 1;
        server.credit -= 1.0;
        match cold {
            Some(left) => (server.cold, server.cold_at) = (left, now),
            None => self.work.sent += 1,
        }
        let open = self.open.get_mut(id).expect("open");
        let first = open.trips.is_empty();
        if first {
            self.work.further = (self.work.further + FURTHER_SHARE).min(FURTHER_SAVED);
            self.dues.remove(&(open.due, id.clone()));
            open.due = open.hard_stop - MARGIN;
            self.dues.insert((open.due, id.clone()));
        }
        let mut limit = open.hard_stop - MARGIN / 2 - now;
        // A lost answer would hold its place, and its client, until the hard stop.
        if lossy && self.settings.classes[open.asked.class].idempotency != Idempotency::NonIdempotent {
            limit = limit.min((LOST * self.usual[open.asked.class]) as Micros);
        }
        open.trips.push(Trip { server: to.clone(), sent: now, live: true, may_have_run: true });
        self.host.forward(id, &to, limit);
        if let Some(customer) = self.customers.get_mut(&open.asked.tenant) {
            customer.fill(&self.settings.plans[customer.plan], self.part, now);
            customer.held -= if first { open.asked.units } else { 0.0 };
        }
    }

    /// After a trip that did not succeed: another where the lane and the time allow it, else the end.
    fn go_on(&mut self, id: &Id, now: Micros) {
        let Some(open) = self.open.get_mut(id) else { return };
        let may = !open.trips.iter().any(|trip| trip.may_have_run)
            || self.settings.classes[open.asked.class].idempotency != Idempotency::NonIdempotent;
        let soon = now + self.usual[open.asked.class] as Micros + MARGIN < open.hard_stop;
        let more = open.trips.len() < self.settings.max_attempts as usize;
        let why = match (may, soon, more, self.work.further >= 1.0) {
            (false, ..) => RejectReason::NotIdempotent,
            (true, false, ..) => RejectReason::DeadlineTooClose,
            (true, true, false, _) => RejectReason::AttemptsExhausted,
            (true, true, true, false) => RejectReason::RetryBudgetExhausted,
            (true, true, true, true) => {
                let (lane, trips) = (open.asked.class, open.trips.clone());
                if let Some(server) = self.pick(lane, &trips, now) {
                    self.work.further -= 1.0;
                    return self.send(id, server, now);
                }
                RejectReason::NoServer
            }
        };
        self.give_up(id, why);
    }

    /// What a transaction whose time here is over has waited for.
    fn overdue(&self, id: &Id) -> RejectReason {
        match self.open.get(id) {
            Some(open) if open.within.is_none() => RejectReason::CounterTimeout,
            Some(open) if !open.trips.is_empty() => RejectReason::AttemptUnfinished,
            _ => RejectReason::NoServer,
        }
    }

    /// The final answer to what is given up: a nack where a repeat is harmless, else an abandonment.
    fn give_up(&mut self, id: &Id, why: RejectReason) {
        let Some(open) = self.open.get(id).filter(|open| !open.answered) else { return };
        let kind = self.settings.classes[open.asked.class].idempotency;
        let harmless =
            matches!(kind, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. })
                || !open.trips.iter().any(|trip| trip.may_have_run);
        match harmless {
            true => self.host.reject(id, self.settings.max_retry_after, why),
            false => self.host.fail(id, why),
        }
        self.close(id, None);
    }

    /// Marks a transaction as answered, ends trips that nobody waits for, and forgets it once none is out.
    fn close(&mut self, id: &Id, kept: Option<usize>) {
        let Some(open) = self.open.get_mut(id) else { return };
        let live = open.trips.iter().rposition(|trip| trip.live);
        let cancels = self.settings.can_cancel && !open.answered;
        if let Some(trip) = live.filter(|trip| cancels && Some(*trip) != kept) {
            self.host.cancel(id, trip);
        }
        open.answered = true;
        self.dues.remove(&(open.due, id.clone()));
        self.waiting.remove(&open.rank);
        if live.is_none() {
            if open.trips.is_empty() && open.within.is_some() {
                self.charge(id, -1.0);
            }
            let customer_id = self.open.remove(id).expect("open").asked.tenant;
            let customer = self.customers.entry(customer_id.clone());
            customer.and_modify(|customer| customer.out = customer.out.saturating_sub(1));
            self.post_out(&customer_id, self.host.now());
        }
    }
}

impl Customer {
    /// Lets the store and the part of the ceiling refill up to now.
    fn fill(&mut self, plan: &Plan, part: f64, now: Micros) {
        let time = seconds(now - self.filled);
        let shared = if self.told.is_some() { 1.0 } else { 1.0 / self.spread };
        self.store = (self.store + plan.rate * shared * time).min(plan.burst);
        if let Some(Ceiling { rate, burst }) = plan.ceiling {
            // What waits leaves later: were its part to fill up meanwhile, both could leave at once.
            let part = part / self.spread;
            self.ceiling = (self.ceiling + part * rate * time).min(part * burst - self.held);
        }
        self.filled = now;
    }

    /// The page's fraction, from what all were offered in a period.
    fn judge(&mut self, all: f64, period: f64, plan: &Plan, now: Micros) {
        self.demand = all / period;
        let refill = plan.rate * period / SECOND as f64;
        self.fraction = ((refill + self.store) / all.max(ROUNDING)).min(1.0);
        self.refill = if self.fraction < 1.0 { refill } else { 0.0 };
        self.judged = now;
    }

    /// A period, and the units that pass in it, for a customer of whom a gateway sees too little.
    fn thin(&self, plan: &Plan) -> Option<(Micros, f64)> {
        let limit = (THIN * plan.burst).round().max(1.0);
        let thin = plan.rate > 0.0 && self.spread > 1.0 && 2.0 * plan.burst < self.spread;
        thin.then(|| ((limit / plan.rate * SECOND as f64) as Micros, limit))
    }

    /// Without word: all are taken to be offered what they were, as far as what came here bears that out.
    fn guess(&mut self, new: f64, plan: &Plan, now: Micros) {
        let period = (now - self.judged) as f64;
        if self.told.is_some() && period > 0.0 {
            let usual = self.demand * period;
            let all = usual * (new + BELIEF) / (usual / self.spread + BELIEF);
            self.store = (self.store - (all - new).max(0.0) * self.fraction).max(0.0);
            self.judge(all, period, plan, now);
        }
    }
}

impl Plan {
    /// What a unit weighs beside one at its name's start, the time in which units fade, and that of a name.
    fn grown(&self, start: Micros, now: Micros) -> (f64, f64, Micros) {
        let fade = (FADE * self.burst / self.rate.max(ROUNDING) * SECOND as f64).max(LEAST_FADE);
        ((now.saturating_sub(start) as f64 / fade).exp(), fade, SPAN.min((FADES * fade) as Micros))
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
