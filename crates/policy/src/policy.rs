//! Every decision of one gateway. The caller makes a [`Engine`] with its settings and a [`Host`], then calls
//! the method named after what happened: `transaction`, `returned`, `counted`, `list`, `alarm`, `cordon` ...
//! The module answers by calling the host, in order, before the method returns. Types: `interface.rs`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::*;
use crate::rejection::RejectReason;
use crate::state::{
    hash_position, Attempt, CounterPacer, EndpointTable, FleetState, InFlight, Server, TenantState,
};

const SECOND: Micros = 1_000_000;
/// Pause while something waits for a server, µs: short beside any agreed time.
const WAIT_POLL_INTERVAL: Micros = 10_000;
/// Answers are given this long before the hard stop, µs: two looks, so that a late one still holds.
const DEADLINE_MARGIN: Micros = 2 * WAIT_POLL_INTERVAL;
/// Least time between two calls for one customer, µs: the shorter, the less of a surge passes.
const MIN_UPDATE_INTERVAL: Micros = 200_000;
/// Calls a second, of all gateways together, at first and at the least: few counters take less.
const INITIAL_CALLS_PER_SECOND: f64 = 400.0;
const MIN_CALLS_PER_SECOND: f64 = 250.0;
/// Growth of that rate in a second, what no answer or a late one leaves, and how late, by the quickest.
const CALL_RATE_GROWTH_PER_SECOND: f64 = 0.4;
const FAILED_CALL_FACTOR: f64 = 0.7;
const SLOW_CALL_FACTOR: f64 = 0.9;
const SLOW_CALL_RATIO: f64 = 2.5;
/// Time of calls saved up, µs: below half of it calls are drawn, and what is told weighs as much more.
const MAX_SAVED_CALL_TIME: Micros = 2 * SECOND;
/// Samples that a count needs in its time where calls are few: they tell the fraction within a third.
const SAMPLES_PER_DECAY_TIME: f64 = 6.0;
/// Age of a customer's word, µs, beyond which the counter is asked first: some spikes last no longer.
const MAX_TOTAL_AGE: Micros = 2 * SECOND;
/// Units that a belief weighs beside as many seen: few transactions must not overturn a fraction.
const PRIOR_UNITS: f64 = 6.0;
/// Time of one name of a count, µs: the counter's longest; less for trips out: lost calls stay in a name.
const MAX_WINDOW: Micros = 60 * SECOND;
const CONCURRENCY_WINDOW: Micros = 5 * SECOND;
/// Fades in a name: by its end a unit weighs so much more, and counters take and tell 1e9 at the most.
const MAX_DECAYS_PER_WINDOW: f64 = 16.0;
/// Time in which what was offered fades, in fills of the store, and the least, µs: longer, spikes hide.
const DECAY_TIME_IN_FILLS: f64 = 0.25;
const MIN_DECAY_TIME: f64 = 1e6;
/// Part of a burst that passes in a period where its even part holds no unit: two periods make one store.
const WINDOW_BURST_SHARE: f64 = 0.5;
/// Share of those decisions that have word, from which what has none is nacked: later it may have one.
const MIN_INFORMED_SHARE: f64 = 0.1;
/// Room for what was offered of late, in refills of that time, as a burst may use the store besides.
const CAPACITY_IN_REFILLS: f64 = 2.2;
/// Fades between two words up to which the store is kept from their difference: beyond, most has faded.
const MAX_DECAYS_BETWEEN_TOTALS: f64 = 2.0;
/// Customers unheard of for this long, µs, are forgotten: any burst has refilled by then.
const TENANT_IDLE_TIMEOUT: Micros = 30 * SECOND;
/// What is as good as none, of units or any other measure; the counter rounds by less.
const NEGLIGIBLE: f64 = 0.01;
/// Weight of the newest in a mean: some ten samples count for a server, fifty for a lane or a plan.
const FAST_MEAN_WEIGHT: f64 = 0.1;
const SLOW_MEAN_WEIGHT: f64 = 0.02;
/// An answer slower than so many times the usual counts as that slow: a monster does not make a slow server.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Gateways to a server, beyond which one trip from each overdrives it, and the fewest servers to a gateway.
const MAX_GATEWAYS_PER_SERVER: usize = 2;
const MIN_SUBSET_SIZE: usize = 8;
/// Trips in flight that a server starts with, from all gateways: one for each core, as far as can be known.
const INITIAL_SERVER_LIMIT: f64 = 4.0;
/// Trips in flight from all at a server below which caps don't fall: with so few none is overdriven.
const MIN_SERVER_LIMIT: f64 = 3.0;
/// Answer time, in times of an idle fleet's, at which a cap stops growing, and the sum of caps shrinks.
const MAX_GROWTH_LATENCY_RATIO: f64 = 1.15;
const SLOW_FLEET_LATENCY_RATIO: f64 = 1.2;
/// Share of its agreed time that a lane is taken to need until answers tell.
const INITIAL_LATENCY_SHARE: f64 = 0.2;
/// How fast the idle answer time may rise, a share for each answer: faster, a jam would pass for the usual.
const IDLE_LATENCY_RISE: f64 = 0.002;
/// Fill of the caps up to which what is beyond its quota, but pays, may be sent on.
const MAX_EXCESS_UTILIZATION: f64 = 0.7;
/// What may wait here, as a share of all caps and at least, and for what share of its agreed time.
const MAX_QUEUE_SHARE: f64 = 0.5;
const MIN_QUEUE_LENGTH: f64 = 2.0;
const MAX_WAIT_SHARE: f64 = 0.25;
/// Share of a cold server's budget that is used: the rest is for what other gateways can't see.
const SLOW_START_BUDGET_SHARE: f64 = 0.4;
/// Share of trips lost from which a server's are given up after so many usual answer times: two in twenty.
const LOSSY_SERVER_SHARE: f64 = 0.08;
const LOSSY_SERVER_TIMEOUT_RATIO: f64 = 7.0;
/// Rest, µs, of a server that lost a trip, times the share it loses: one that fails at once draws in all.
const EJECTION_TIME: Micros = 2 * SECOND;
/// Further trips earned by each first one, and the most that may be saved: a small share of the load.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Times that the pause before a list is asked anew doubles: a crowd must not stay one, nor an agent unheard.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

pub struct Engine<H: Host> {
    host: H,
    settings: Settings,
    rng: ChaCha8Rng,
    started_at: Micros,
    /// Of this gateway's ceilings and cold budgets, where another process has the rest.
    process_share: f64,
    servers: EndpointTable,
    tenants: BTreeMap<Id, TenantState>,
    requests: HashMap<Id, InFlight>,
    expirations: BTreeSet<(Micros, Id)>,
    queue: BTreeSet<(i64, Micros, Id)>,
    /// Answer time of each lane, µs: the mean of late, and what an idle fleet takes.
    usual_latency: Vec<f64>,
    idle_latency: Vec<f64>,
    fleet: FleetState,
    /// This gateway's servers and its part for each, where others have dealt them; else it takes a row.
    subset: Option<Subset>,
    counter_pacer: CounterPacer,
    /// Times in a row that the list could not be had.
    list_failures: u32,
    /// Share of each plan's transactions that were found inside the quota.
    within_quota_share: Vec<f64>,
}

impl<H: Host> Engine<H> {
    pub fn new(settings: Settings, mut host: H) -> Self {
        let born = host.now();
        let rate = INITIAL_CALLS_PER_SECOND / f64::from(settings.gateway_count.max(1));
        let saved = rate * seconds(MAX_SAVED_CALL_TIME);
        host.set_timer(SECOND, "look");
        if settings.list_poll_interval.is_some() {
            host.watch_endpoints(true);
        }
        Engine {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            started_at: born,
            process_share: 1.0,
            servers: EndpointTable::default(),
            tenants: BTreeMap::new(),
            requests: HashMap::new(),
            expirations: BTreeSet::new(),
            queue: BTreeSet::new(),
            usual_latency: settings
                .classes
                .iter()
                .map(|class| INITIAL_LATENCY_SHARE * class.latency_objective as f64)
                .collect(),
            idle_latency: vec![f64::INFINITY; settings.classes.len()],
            fleet: FleetState::new(born, born + SECOND, MAX_SAVED_RETRIES),
            subset: None,
            counter_pacer: CounterPacer::new(rate, saved, born),
            list_failures: 0,
            within_quota_share: vec![1.0; settings.plans.len()],
            host,
            settings,
        }
    }

    /// A client's transaction has come in.
    pub fn request_received(&mut self, request: Request) {
        let now = self.host.now();
        let (id, deadline) = (request.id.clone(), now + request.time_left);
        let (rank, expires_at) = ((0, now, id.clone()), deadline.saturating_sub(DEADLINE_MARGIN).max(now));
        let within = self.meter(&request, now);
        self.expirations.insert((expires_at, id.clone()));
        let open = InFlight {
            request,
            within_quota: None,
            rank,
            deadline,
            expires_at,
            attempts: Vec::new(),
            answered: false,
        };
        self.requests.insert(id.clone(), open);
        if let Some(within) = within {
            self.admit(&id, within, now);
        }
        self.schedule_wakeup(now);
    }

    /// Lets a transaction wait for a server, or gives it up.
    fn admit(&mut self, id: &Id, within: bool, now: Micros) {
        let (out, caps) = self.utilization();
        let Some(open) = self.requests.get_mut(id) else { return };
        let (asked, tenant) = (&open.request, &self.tenants[&open.request.tenant]);
        let (plan, class) = (&self.settings.plans[asked.plan], &self.settings.classes[asked.class]);
        let pays = within || plan.excess_value > plan.excess_cost;
        let full = !within && (out > MAX_EXCESS_UTILIZATION * caps || !self.queue.is_empty());
        let part = plan.ceiling.is_none() || tenant.ceiling_tokens >= asked.units;
        let late = now + DEADLINE_MARGIN + self.usual_latency[asked.class] as Micros / 2 >= open.deadline;
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
        let worth = plan.priority_factor * class.priority_weight / self.usual_latency[asked.class];
        open.rank = (-(worth * 1e9) as i64, now, id.clone());
        open.within_quota = Some(within);
        self.queue.insert(open.rank.clone());
        let hold = (MAX_WAIT_SHARE * class.latency_objective as f64) as Micros;
        self.expirations.remove(&(open.expires_at, id.clone()));
        open.expires_at = open.expires_at.min(now + hold);
        self.expirations.insert((open.expires_at, id.clone()));
        self.charge(id, 1.0);
        self.forward_queued(now);
        // What can't be served in time is refused at once, the least rewarding first.
        if self.queue.len() as f64 > (MAX_QUEUE_SHARE * caps).max(MIN_QUEUE_LENGTH) {
            if let Some((_, _, last)) = self.queue.pop_last() {
                self.give_up(&last, RejectReason::QueueFull);
            }
        }
    }

    /// An answer has begun to stream.
    pub fn response_started(&mut self, transaction: &Id, attempt: usize) {
        self.complete(transaction, Some(attempt));
    }

    /// A trip has ended.
    pub fn attempt_completed(&mut self, end: AttemptCompleted) {
        let now = self.host.now();
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(end.attempt).filter(|attempt| attempt.running) else {
            return;
        };
        attempt.running = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (tenant_id, class, within) = (open.request.tenant.clone(), open.request.class, open.within_quota);
        let settled = end.units.map_or(0.0, |units| units - open.request.units);
        let finished = open.answered || end.is_final;
        self.learn_from_attempt(&end, class, now);
        if let Some(tenant) = self.tenants.get_mut(&tenant_id) {
            tenant.pending_units += settled;
            tenant.tokens -= if within == Some(true) { settled } else { 0.0 };
        }
        match finished {
            true => self.complete(&end.request, None),
            false => self.retry_or_give_up(&end.request, now),
        }
        self.forward_queued(now);
        self.schedule_wakeup(now);
    }

    /// The client has gone; nothing is owed any more.
    pub fn client_disconnected(&mut self, transaction: &Id) {
        self.complete(transaction, None);
    }

    pub fn timer_fired(&mut self, token: &str) {
        if token == "follow" {
            return self.host.watch_endpoints(true);
        }
        let now = self.host.now();
        if let Some(tenant) = token.strip_prefix("out:") {
            return self.update_concurrency_counter(&Id::from(tenant), now);
        }
        self.fleet.next_wakeup =
            if now >= self.fleet.next_wakeup { Micros::MAX } else { self.fleet.next_wakeup };
        while let Some((_, id)) = self.expirations.first().filter(|(at, _)| *at <= now).cloned() {
            self.expirations.pop_first();
            self.give_up(&id, self.expiry_reason(&id));
        }
        self.forward_queued(now);
        if now >= self.fleet.measured_at + SECOND {
            let warm =
                self.assigned_servers().filter(|server| self.capacity_share(server, now) >= 1.0).count();
            // Where none is warm there is no telling: taken for nothing, it would starve all of them.
            let change = if warm == 0 {
                0.0
            } else {
                f64::from(self.fleet.warm_sent) / warm as f64 - self.fleet.warm_server_rate
            };
            self.fleet.warm_server_rate +=
                if self.fleet.warm_server_rate == 0.0 { change } else { FAST_MEAN_WEIGHT * change };
            (self.fleet.measured_at, self.fleet.warm_sent) = (now, 0);
            self.tenants
                .retain(|_, tenant| tenant.in_flight > 0 || tenant.refilled_at + TENANT_IDLE_TIMEOUT > now);
        }
        self.schedule_wakeup(now);
    }

    /// Sets an alarm for what is due next, or soon while something waits for a server.
    fn schedule_wakeup(&mut self, now: Micros) {
        let due =
            self.expirations.first().map_or(Micros::MAX, |(at, _)| *at).min(self.fleet.measured_at + SECOND);
        let at = if self.queue.is_empty() { due.max(now) } else { now + WAIT_POLL_INTERVAL };
        if at < self.fleet.next_wakeup {
            self.fleet.next_wakeup = at;
            self.host.set_timer(at - now, "look");
        }
    }

    /// The whole list of servers, or changes to it.
    pub fn endpoints_updated(&mut self, full: bool, entries: &[Endpoint]) {
        let now = self.host.now();
        self.list_failures = 0;
        if !full && entries.is_empty() {
            return;
        }
        if full {
            self.servers.values_mut().for_each(|server| server.ready = false);
        }
        for entry in entries {
            let server = self.servers.entry(&entry.server);
            if server.concurrency_limit == 0.0 || server.started_at != entry.started_at {
                // New, or started anew: what was learnt no longer holds, and all gateways hear of it at once.
                self.servers.reset(&entry.server, entry.started_at, self.rng.gen(), now);
            }
            let server = self.servers.entry(&entry.server);
            (server.zone, server.cell, server.listed_weight) = (entry.zone, entry.cell, entry.weight);
            server.ready = entry.state == EndpointState::Ready;
        }
        self.servers.retain(|server| server.ready || server.in_flight > 0 || now < server.retained_until);
        self.assign_subset(now);
    }

    /// The servers that this gateway uses from now on, as dealt out among all; none: it takes a row.
    pub fn set_subset(&mut self, subset: Option<Subset>) {
        self.subset = subset;
        self.assign_subset(self.host.now());
    }

    /// Others have found a server to be bad, or well again: meanwhile no first trip goes there.
    pub fn set_ejected(&mut self, server: &Id, on: bool) {
        if let Some(server) = self.servers.get_mut(server) {
            server.ejected_by_peers = on;
        }
        self.assign_subset(self.host.now());
    }

    fn assign_subset(&mut self, now: Micros) {
        let (settings, subset, work) = (&self.settings, &self.subset, &mut self.fleet);
        let fits = |server: &Server| server.ready && !server.ejected_by_peers;
        // Each of too many gateways takes a row of servers from its own place, which a new list moves little.
        self.servers.assign(fits, |row| {
            let (all, gateways) = (row.len().max(1), settings.gateway_count.max(1) as usize);
            let part = (all / (gateways / MAX_GATEWAYS_PER_SERVER).max(1)).max(MIN_SUBSET_SIZE).min(all);
            let first = settings.gateway_index as usize % gateways * all / gateways;
            let by_row = ((gateways * part) as f64 / all as f64).max(1.0);
            work.gateways_per_server = subset.as_ref().map_or(by_row, |subset| subset.gateways_per_server);
            let cap = INITIAL_SERVER_LIMIT / work.gateways_per_server;
            work.min_limit = (MIN_SERVER_LIMIT / work.gateways_per_server).min(1.0);
            for (place, (id, server)) in row.iter_mut().enumerate() {
                let rating = Some(server.listed_weight).filter(|_| (place + all - first) % all < part);
                let part = subset.as_ref().map_or(rating, |subset| subset.weights.get(*id).copied());
                (server.assigned, server.weight) = (part.is_some(), part.unwrap_or(server.listed_weight));
                if server.concurrency_limit == 0.0 {
                    let cold = server.started_at.is_some_and(|at| now < at + settings.slow_start_duration);
                    server.concurrency_limit = if cold { 0.5 * cap } else { cap };
                }
            }
        });
    }

    /// The operators leave a server out of use, whatever the list says of it.
    pub fn cordon(&mut self, server: &Id) {
        self.host.close_idle_connections(server);
        let server = self.servers.entry(server);
        (server.cordoned, server.retained_until) = (true, Micros::MAX);
    }

    /// They called it back then: it has been started anew meanwhile, though the list may not say so yet.
    pub fn uncordon(&mut self, server: &Id, at: Micros) {
        let (now, server) = (self.host.now(), self.servers.entry(server));
        (server.cordoned, server.uncordoned_at, server.retained_until) =
            (false, Some(at), at + self.settings.slow_start_duration);
        // It is met at once, by some of many gateways: operators call them all at about one time.
        let met = (INITIAL_SERVER_LIMIT / self.fleet.gateways_per_server).max(self.rng.gen()).min(1.0);
        (server.slow_start_budget, server.slow_start_budget_at, server.credit, server.ejected_until) =
            (met, now, 1.0, now);
    }

    /// This process has so much of its gateway's ceilings and cold budgets; what others had may be used up.
    pub fn set_process_share(&mut self, part: f64) {
        let now = self.host.now();
        for tenant in self.tenants.values_mut() {
            tenant.refill(&self.settings.plans[tenant.plan], self.process_share, now);
        }
        (self.process_share, self.started_at) = (part, now);
    }

    /// Whether a server is avoided now, by the operators' word or for the trips that it lost.
    pub fn is_avoided(&self, server: &Id) -> bool {
        let now = self.host.now();
        self.servers
            .get(server)
            .is_some_and(|server| server.cordoned || server.ready && server.ejected_until > now)
    }

    /// The list could not be had, or follows no longer.
    pub fn endpoints_unavailable(&mut self) {
        self.list_failures = (self.list_failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let asked = self.settings.list_poll_interval;
        let most = asked.map_or((WAIT_POLL_INTERVAL / 2) << self.list_failures, |within| {
            within.min(SECOND << self.list_failures)
        });
        self.host.set_timer((most as f64 * self.rng.gen_range(0.5..1.0)) as Micros, "follow");
    }

    pub fn health_check_completed(&mut self, _server: &Id, _outcome: Outcome, _load: LoadReport) {}

    pub fn message_received(&mut self, _gateway: u32, _data: &[u8]) {}

    /// A call to the shared counter has ended.
    pub fn counter_replied(&mut self, count: &str, outcome: Outcome, total: f64, took: Micros) {
        let now = self.host.now();
        let calls = &mut self.counter_pacer;
        calls.heard_at = if outcome == Outcome::Ok { now } else { calls.heard_at };
        calls.quickest = calls.quickest.min(if outcome == Outcome::Ok { took } else { Micros::MAX });
        if outcome == Outcome::Ok && took as f64 <= SLOW_CALL_RATIO * calls.quickest as f64 {
            // A rate that is not used up proves nothing, and must not grow to a flood.
            if 2.0 * calls.saved < calls.rate * seconds(MAX_SAVED_CALL_TIME) {
                calls.rate *= 1.0 + CALL_RATE_GROWTH_PER_SECOND * seconds(now - calls.good_at).min(2.0);
            }
            calls.good_at = now;
        } else if outcome != Outcome::Error && now >= calls.cut_at + MIN_UPDATE_INTERVAL {
            let least = MIN_CALLS_PER_SECOND / f64::from(self.settings.gateway_count.max(1));
            calls.rate = (calls.rate
                * if outcome == Outcome::Ok { SLOW_CALL_FACTOR } else { FAILED_CALL_FACTOR })
            .max(least);
            calls.cut_at = now;
        }
        let Some((kind, id)) = count.split_once(':').map(|(kind, id)| (kind, Id::from(id))) else { return };
        let Some(tenant) = self.tenants.get_mut(&id) else { return };
        if kind.starts_with('o') {
            let Some(amount) = tenant.in_flight_update.take() else { return };
            if outcome == Outcome::Ok {
                tenant.others_replied_at = Some(now);
                // A total below what is out from here was lost; the next call adds it again.
                tenant.in_flight_reported = tenant.in_flight_reported.min(total.max(0.0));
                tenant.others_in_flight = total - tenant.in_flight_reported;
                tenant.others_replies += 1.0;
                // The mean of few words is these, not what it began with.
                let weight = FAST_MEAN_WEIGHT.max(1.0 / tenant.others_replies);
                tenant.others_in_flight_mean +=
                    weight * (tenant.others_in_flight - tenant.others_in_flight_mean);
                self.update_concurrency_counter(&id, now);
            } else if !matches!(outcome, Outcome::TimedOut | Outcome::Error) {
                // A counter that turns calls away must not be asked again at once, or without end.
                tenant.in_flight_reported -= amount;
            }
            return self.decide_waiting(&id, now);
        }
        let Some((amount, new)) = tenant.update.take() else { return };
        let plan = &self.settings.plans[tenant.plan];
        tenant.refill(plan, self.process_share, now);
        if let Some((_, limit)) = tenant.sparse_window(plan) {
            // Of the units offered in this period the first pass, as many as the quota gives in it.
            if outcome == Outcome::Ok {
                let passed = (total - new).max(0.0);
                let large = passed < NEGLIGIBLE && self.rng.gen::<f64>() * new < limit;
                tenant.window_allowance = if large { limit.max(new) } else { limit - passed };
                (tenant.last_total, tenant.last_total_at) = (total, Some(now));
            } else {
                tenant.pending_units += new;
            }
            return self.decide_waiting(&id, now);
        }
        let may_be = matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Error);
        // What was not added must not stay untold, or each gateway takes itself for all; but it fades.
        let faded = (-((now - tenant.fraction_at) as f64) / plan.decay(now, now).1).exp();
        tenant.undelivered_units = if may_be { 0.0 } else { tenant.undelivered_units * faded + new };
        if outcome != Outcome::Ok {
            tenant.last_total += if may_be { amount } else { 0.0 };
            tenant.extrapolate(new, plan, now);
            return self.decide_waiting(&id, now);
        }
        let (grown, fade, _) = plan.decay(tenant.window, now);
        let others = (total - tenant.last_total - amount).max(0.0) / grown;
        // A young name has not heard of all that would count.
        let heard = (1.0 - (-((now - tenant.window) as f64) / fade).exp()).max(NEGLIGIBLE);
        let all = total / grown / heard;
        let told = tenant.last_total_at.unwrap_or(0).max(tenant.window);
        let gap = (now - told) as f64 / fade;
        (tenant.last_total, tenant.last_total_at) = (total, Some(now));
        if gap < MAX_DECAYS_BETWEEN_TOTALS {
            // What was guessed since is taken already; others let as many pass as left here.
            let untaken = (now - tenant.fraction_at.max(told)) as f64 / (now - told).max(1) as f64;
            let others = others * gap / (1.0 - (-gap).exp()).max(NEGLIGIBLE);
            let passing =
                ((tenant.recent_forwarded + tenant.fraction) / (tenant.recent_offered + 1.0)).clamp(0.0, 1.0);
            tenant.tokens = (tenant.tokens - others * untaken * passing).max(0.0);
            let period = (now - told).max(MIN_UPDATE_INTERVAL) as f64;
            tenant.set_fraction(all * period / fade, period, plan, now);
            tenant.period_refill = 0.0;
        } else {
            let room = CAPACITY_IN_REFILLS * plan.rate * fade / SECOND as f64 - all;
            tenant.tokens = (heard * room + new).clamp(0.0, plan.burst);
            tenant.set_fraction(all, fade, plan, now);
        }
        self.decide_waiting(&id, now);
    }

    /// Decides what waited for its customer's word.
    fn decide_waiting(&mut self, id: &Id, now: Micros) {
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        let told = tenant.waiting_requests.len().min(tenant.covered_by_update);
        for asked in tenant.waiting_requests.drain(..told).collect::<Vec<Id>>() {
            if let Some(open) = self.requests.remove(&asked) {
                let within = self.judge(&open.request, now);
                self.requests.insert(asked.clone(), open);
                self.admit(&asked, within, now);
            }
        }
        // What came after the call was not told with it: it has a call of its own, or goes without word.
        let free = |tenant: &&mut TenantState| !tenant.waiting_requests.is_empty() && tenant.update.is_none();
        if self.tenants.get_mut(id).filter(free).is_some() {
            self.update_quota_counter(id, now);
            if let Some(tenant) = self.tenants.get_mut(id).filter(free) {
                tenant.covered_by_update = usize::MAX;
                self.decide_waiting(id, now);
            }
        }
    }

    /// Chance that a call may be made: one while enough are saved up, less as they run out.
    fn call_probability(&mut self, now: Micros) -> f64 {
        let (time, calls) = (seconds(now - self.counter_pacer.saved_at), &mut self.counter_pacer);
        let most = (calls.rate * seconds(MAX_SAVED_CALL_TIME)).max(1.0);
        (calls.saved, calls.saved_at) = ((calls.saved + calls.rate * time).min(most), now);
        (2.0 * calls.saved / most).clamp(0.0, 1.0)
    }

    /// Counts what is offered. True if the customer's quota has room for it, none while the counter is asked.
    fn meter(&mut self, arrived: &Request, now: Micros) -> Option<bool> {
        let (plan, chance) = (&self.settings.plans[arrived.plan], &mut self.rng);
        let (age, gateways) = (now - self.started_at, self.settings.gateway_count.max(1));
        let tenant = self.tenants.entry(arrived.tenant.clone()).or_insert_with(|| {
            let (gateway_spread, admission_credit) =
                (f64::from(arrived.gateway_spread.clamp(1, gateways)), chance.gen());
            // Kept alone, by the even part: empty at first, as a gateway that was killed may have used it up.
            let rate = plan.ceiling.map_or(0.0, |ceiling| self.process_share * ceiling.rate / gateway_spread);
            let ceiling_tokens = rate * seconds(age.min(TENANT_IDLE_TIMEOUT));
            // A new customer has its even share until a total is known, and its first transaction.
            let fresh = TenantState {
                refilled_at: now,
                fraction_at: now,
                fraction: 1.0,
                admission_credit,
                ..TenantState::default()
            };
            TenantState {
                plan: arrived.plan,
                gateway_spread,
                tokens: plan.burst / gateway_spread,
                ceiling_tokens,
                ..fresh
            }
        });
        tenant.refill(plan, self.process_share, now);
        tenant.in_flight += 1;
        tenant.pending_units += arrived.units;
        tenant.in_doubt = match tenant.last_total_at {
            _ if tenant.sparse_window(plan).is_some() => true,
            Some(told) => now - told >= MAX_TOTAL_AGE,
            None => tenant.tokens < arrived.units,
        };
        tenant.waiting_requests.push(arrived.id.clone());
        self.update_concurrency_counter(&arrived.tenant, now);
        self.update_quota_counter(&arrived.tenant, now);
        let tenant = self.tenants.get_mut(&arrived.tenant)?;
        let wait = tenant.in_flight_update.is_some() || tenant.in_doubt && tenant.update.is_some();
        // Of a customer seen here now and then, what is known is no guide by the next time.
        if wait && arrived.time_left > DEADLINE_MARGIN {
            return None;
        }
        tenant.waiting_requests.pop();
        Some(self.judge(arrived, now))
    }

    /// Whether the customer's quota has room, by what is known of it.
    fn judge(&mut self, arrived: &Request, now: Micros) -> bool {
        let plan = &self.settings.plans[arrived.plan];
        let Some(tenant) = self.tenants.get_mut(&arrived.tenant) else { return false };
        tenant.recent_offered += arrived.units;
        let inside = &mut self.within_quota_share[arrived.plan];
        let (mut within, mut known) = (true, true);
        // Who comes here again before any word of it asks much; the first is likelier inside than the rest.
        let likely =
            if tenant.recent_offered <= arrived.units { (1.0 + *inside) / 2.0 } else { *inside * *inside };
        let mut likely = self.settings.has_shared_counter && self.rng.gen::<f64>() < likely;
        if plan.max_concurrency > 0 {
            let (most, out) = (f64::from(plan.max_concurrency), f64::from(tenant.in_flight));
            // With few of them for many gateways, what is not fresh is no guide; nacked, it comes again.
            let few = now < self.counter_pacer.heard_at + MAX_TOTAL_AGE && 2.0 * most < tenant.gateway_spread;
            within = match tenant.others_replied_at {
                told if few => told == Some(now) && out + tenant.others_in_flight <= most,
                Some(told) if now - told < MAX_TOTAL_AGE => out + tenant.others_in_flight <= most,
                // What others usually have out; of one never heard of, what its plan's others are.
                Some(_) => out + tenant.others_in_flight_mean.round() <= most,
                None => out * tenant.gateway_spread <= most || likely,
            };
            known = tenant.others_replied_at.is_some();
        }
        if let Some((_, limit)) = tenant.sparse_window(plan) {
            let word = tenant.last_total_at == Some(now);
            known = word || tenant.last_total + NEGLIGIBLE >= limit;
            self.counter_pacer.informed_share +=
                SLOW_MEAN_WEIGHT * (f64::from(u8::from(known)) - self.counter_pacer.informed_share);
            // Nacked without word it comes again where there may be one; let in, it is in no count. Who is
            // here again asks far beyond its quota, two fifths inside: it must earn more than it costs.
            let pays =
                tenant.recent_offered <= arrived.units || 1.5 * plan.excess_cost < 1.0 + plan.excess_value;
            likely &= now >= self.counter_pacer.heard_at + MAX_TOTAL_AGE
                || pays && self.counter_pacer.informed_share < MIN_INFORMED_SHARE;
            within &=
                if word { tenant.window_allowance + NEGLIGIBLE >= arrived.units } else { likely && !known };
            tenant.window_allowance -= if word && within { arrived.units } else { 0.0 };
            tenant.pending_units -= if word || within { 0.0 } else { arrived.units };
        } else if plan.rate > 0.0 && tenant.last_total_at.is_none() && tenant.gateway_spread > 1.0 {
            // Beyond its even share, one that nothing is known of is taken to be as its plan's others are.
            (within, known) = (within && (!tenant.in_doubt || likely), false);
        } else if plan.rate > 0.0 {
            // The surge: what comes within a period can't use more than the store and its refill.
            within &= arrived.units <= tenant.tokens + tenant.period_refill + NEGLIGIBLE;
            if within && tenant.fraction < 1.0 {
                tenant.admission_credit += tenant.fraction;
                within = tenant.admission_credit >= 1.0;
                tenant.admission_credit -= f64::from(u8::from(within));
            }
        }
        if known {
            *inside += SLOW_MEAN_WEIGHT * (f64::from(u8::from(within)) - *inside);
        }
        within
    }

    /// Adds what a customer offered to its count, as far as there are calls: else what is told weighs more.
    fn update_quota_counter(&mut self, id: &Id, now: Micros) {
        let share = self.call_probability(now);
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        let plan = &self.settings.plans[tenant.plan];
        tenant.covered_by_update =
            if tenant.update.is_none() { tenant.waiting_requests.len() } else { tenant.covered_by_update };
        if let Some((period, limit)) = tenant.sparse_window(plan).filter(|_| tenant.update.is_none()) {
            let span = (now + hash_position(id, period)) / period;
            tenant.last_total = if tenant.window == span { tenant.last_total } else { 0.0 };
            tenant.window = span;
            let asks = self.settings.has_shared_counter && tenant.last_total + NEGLIGIBLE < limit;
            if asks && (share >= 1.0 || self.rng.gen::<f64>() < share) {
                let new = std::mem::take(&mut tenant.pending_units);
                tenant.update = Some((new, new));
                self.counter_pacer.saved -= 1.0;
                self.host.update_counter(&format!("p{span}:{id}"), new, period);
            }
            return;
        }
        let span = now - now % plan.decay(now, now).2;
        let free =
            tenant.update.is_none() && now >= tenant.updated_at + MIN_UPDATE_INTERVAL && plan.rate > 0.0;
        if !free || !self.settings.has_shared_counter || tenant.gateway_spread <= 1.0 {
            return;
        }
        if tenant.window != span {
            (tenant.window, tenant.last_total) = (span, 0.0);
        }
        let new = std::mem::take(&mut tenant.pending_units);
        (tenant.updated_at, tenant.recent_forwarded, tenant.recent_offered) =
            (now, tenant.recent_forwarded / 2.0, tenant.recent_offered / 2.0);
        // Few calls are for those whose quota is in doubt, and no more of them than a count needs.
        let (grown, fade, _) = plan.decay(span, now);
        let enough = (SAMPLES_PER_DECAY_TIME * new.abs() / (tenant.demand * fade).max(NEGLIGIBLE)).min(1.0);
        let told = enough * if tenant.in_doubt { share } else { share * share };
        let share = if share >= 1.0 { 1.0 } else { told };
        if share < 1.0 && self.rng.gen::<f64>() >= share {
            return tenant.extrapolate(new, plan, now);
        }
        let amount = (new + tenant.undelivered_units) / share * grown;
        tenant.update = Some((amount, new));
        self.counter_pacer.saved -= 1.0;
        self.host.update_counter(&format!("q{span}:{id}"), amount, MAX_WINDOW);
    }

    /// Keeps the shared count of a customer's trips out in step with those from here.
    fn update_concurrency_counter(&mut self, id: &Id, now: Micros) {
        let share = self.call_probability(now);
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        let capped = self.settings.plans[tenant.plan].max_concurrency > 0;
        if !capped
            || !self.settings.has_shared_counter
            || tenant.in_flight_update.is_some()
            || tenant.gateway_spread <= 1.0
        {
            return;
        }
        // Names of all customers that change at one time would bring all calls at one time.
        let shifted = now + hash_position(id, CONCURRENCY_WINDOW);
        let (span, left) = (shifted / CONCURRENCY_WINDOW, CONCURRENCY_WINDOW - shifted % CONCURRENCY_WINDOW);
        let moves = tenant.in_flight_window != span;
        if moves {
            (tenant.in_flight_window, tenant.in_flight_reported) = (span, 0.0);
        }
        let amount = f64::from(tenant.in_flight) - tenant.in_flight_reported;
        // Always told is what came back, what is still out to the next name, and the first in a name.
        let told = amount < 0.0 || moves || share >= 1.0;
        if amount != 0.0 && (told || self.rng.gen::<f64>() < share) {
            if amount > 0.0 {
                self.host.set_timer(left, &format!("out:{id}"));
            }
            tenant.in_flight_reported += amount;
            tenant.in_flight_update = Some(amount);
            self.counter_pacer.saved -= 1.0;
            self.host.update_counter(&format!("o{span}:{id}"), amount, MAX_WINDOW);
        }
    }

    /// The servers that first trips may go to.
    fn assigned_servers(&self) -> impl Iterator<Item = &Server> {
        let dealt = self.servers.assigned().map(|(_, server)| server);
        dealt.filter(|server| server.ready && server.assigned && !server.cordoned)
    }

    /// The share of its capacity that a server surely has, by the time since its start.
    fn capacity_share(&self, server: &Server, now: Micros) -> f64 {
        let Some(started) = server.started_at.max(server.uncordoned_at) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.settings.slow_start_duration.max(1) as f64;
        (self.settings.slow_start_share + (1.0 - self.settings.slow_start_share) * age).min(1.0)
    }

    /// Trips that a cold server may be sent now: it falls over when all gateways push it. Each keeps to its
    /// part of what the server surely can do, with many gateways less than one trip at a time.
    fn slow_start_budget(&self, server: &Server, now: Micros) -> f64 {
        let can = self.capacity_share(server, now)
            * self.fleet.warm_server_rate
            * seconds(self.settings.overload_window);
        let part = self.process_share
            * (SLOW_START_BUDGET_SHARE * self.settings.overload_factor * can)
                .max(0.5 / self.fleet.gateways_per_server);
        let windows =
            (now - server.slow_start_budget_at) as f64 / self.settings.overload_window.max(1) as f64;
        (server.slow_start_budget + part * windows).min(part.max(1.0))
    }

    /// Trips out at the servers in use, and how many may be: the sum of caps, or less while all are slow.
    fn utilization(&self) -> (f64, f64) {
        let sum = |sum: (f64, f64), server: &Server| {
            (sum.0 + f64::from(server.in_flight), sum.1 + server.concurrency_limit)
        };
        let (least, (out, caps)) = (
            self.assigned_servers().count() as f64 * self.fleet.min_limit,
            self.assigned_servers().fold((0.0, 0.0), sum),
        );
        // Many gateways see few answers each: what all servers show is learnt long before what each one does.
        (out, (caps * (SLOW_FLEET_LATENCY_RATIO / self.fleet.latency_ratio).min(1.0)).max(least))
    }

    /// The next server by weighted rotation among those that may have this transaction and have room.
    fn select_server(&mut self, class: usize, attempts: &[Attempt], now: Micros) -> Option<Id> {
        let (bound, (out, caps)) = (self.idempotency_binding(class, attempts), self.utilization());
        // Many gateways with a place for each server would together overdrive all servers.
        if out >= caps.max(1.0) || now < self.fleet.next_slot_at && bound.is_none() {
            return None;
        }
        let fits = |(id, server): &(&Id, &Server)| {
            server.ready
                && !server.cordoned
                && (server.assigned || bound.is_some())
                && bound.is_none_or(|(group, until)| {
                    now < until && group == self.idempotency_group(class, server)
                })
                && f64::from(server.in_flight) < server.concurrency_limit.max(1.0)
                && server.ejected_until <= now
                && (self.capacity_share(server, now) >= 1.0 || self.slow_start_budget(server, now) >= 1.0)
                && !attempts.iter().any(|attempt| attempt.server == **id)
        };
        let weigh = |(id, server): (&Id, &Server)| {
            let speed =
                server.weight.max(NEGLIGIBLE) * self.capacity_share(server, now) / server.relative_latency;
            // Where a cap is a share of one trip, it can't keep a server from its turn that serves little.
            (id.clone(), speed * server.concurrency_limit.min(1.0) * (1.0 - server.failure_share))
        };
        let chosen: Vec<(Id, f64)> = match bound {
            None => self.servers.assigned().filter(fits).map(weigh).collect(),
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
    fn idempotency_group(&self, class: usize, server: &Server) -> Option<u32> {
        match self.settings.classes[class].idempotency {
            Idempotency::Keyed { scope: KeyScope::Zone, .. } => Some(server.zone),
            Idempotency::Keyed { scope: KeyScope::Cell, .. } => Some(server.cell),
            _ => None,
        }
    }

    /// The group that a labelled transaction is bound to, and until when, once a trip may have run.
    fn idempotency_binding(&self, class: usize, attempts: &[Attempt]) -> Option<(Option<u32>, Micros)> {
        let Idempotency::Keyed { retention: memory, .. } = self.settings.classes[class].idempotency else {
            return None;
        };
        let first = attempts.iter().find(|attempt| attempt.may_have_run)?;
        // A server that has left the list takes the word of its group with it: then no other will do.
        let server = self.servers.get(&first.server);
        let until = server.map_or(0, |_| first.sent_at + memory);
        Some((server.and_then(|server| self.idempotency_group(class, server)), until))
    }

    /// What one trip's end tells of its server.
    fn learn_from_attempt(&mut self, end: &AttemptCompleted, class: usize, now: Micros) {
        let mean = self.servers.mean_failure_share();
        let (took, caps, least) = (end.elapsed as f64, self.utilization().1, self.fleet.min_limit);
        // A gateway that has less than one place uses it for a part of the time.
        self.fleet.next_slot_at = now + (took * (1.0 / caps.min(1.0) - 1.0)).min(SECOND as f64) as Micros;
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        // A trip cancelled early tells nothing of what becomes of those that are waited for.
        let overdue =
            end.outcome != Outcome::Cancelled || took > MAX_LATENCY_RATIO * self.usual_latency[class];
        if overdue && end.outcome != Outcome::NeverSent {
            let lost = if end.outcome == Outcome::Ok { 0.0 } else { 1.0 };
            let share = server.failure_share + FAST_MEAN_WEIGHT * (lost - server.failure_share);
            // Where all lose as many the fault is elsewhere, and none is cast out.
            let worse = (share - mean).max(0.0);
            server.ejected_until = now + (EJECTION_TIME as f64 * lost * worse) as Micros;
            self.servers.set_failure_share(&end.server, share);
        }
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        if end.outcome == Outcome::Ok {
            let most = 2.0 * self.settings.classes[class].latency_objective as f64;
            self.usual_latency[class] += SLOW_MEAN_WEIGHT * (took.min(most) - self.usual_latency[class]);
            let (idle, usual) = (&mut self.idle_latency[class], self.usual_latency[class]);
            *idle = if usual < *idle { usual } else { *idle + IDLE_LATENCY_RISE * (usual - *idle) };
            self.fleet.latency_ratio +=
                FAST_MEAN_WEIGHT * ((took / *idle).min(MAX_LATENCY_RATIO) - self.fleet.latency_ratio);
            server.latency_ratio +=
                FAST_MEAN_WEIGHT * ((took / *idle).min(MAX_LATENCY_RATIO) - server.latency_ratio);
            server.relative_latency +=
                SLOW_MEAN_WEIGHT * ((took / usual).min(MAX_LATENCY_RATIO) - server.relative_latency);
            // A slow machine is not an overdriven one: it is measured by its own speed.
            let change =
                (1.0 - server.latency_ratio / server.relative_latency / MAX_GROWTH_LATENCY_RATIO).max(-1.0);
            if change < 0.0 || f64::from(server.in_flight) + 2.0 > server.concurrency_limit {
                server.concurrency_limit =
                    (server.concurrency_limit + change * least / server.concurrency_limit).max(least);
            }
        }
    }

    /// Takes a transaction's units from its customer, or gives them back.
    fn charge(&mut self, id: &Id, times: f64) {
        let open = &self.requests[id];
        let Some(tenant) = self.tenants.get_mut(&open.request.tenant) else { return };
        let units = times * open.request.units;
        tenant.reserved_units += units;
        tenant.ceiling_tokens -= units;
        if open.within_quota == Some(true) {
            tenant.tokens -= units;
            tenant.recent_forwarded += units;
        }
    }

    /// Sends what waits, the most rewarding first, as far as servers have room.
    fn forward_queued(&mut self, now: Micros) {
        while let Some((_, _, id)) = self.queue.first().cloned() {
            let Some(server) = self.select_server(self.requests[&id].request.class, &[], now) else { return };
            self.queue.pop_first();
            self.forward(&id, server, now);
        }
    }

    fn forward(&mut self, id: &Id, to: Id, now: Micros) {
        let server = self.servers.get(&to).expect("picked from these");
        let cold =
            (self.capacity_share(server, now) < 1.0).then(|| self.slow_start_budget(server, now) - 1.0);
        let server = self.servers.get_mut(&to).expect("picked from these");
        let lossy = server.failure_share > LOSSY_SERVER_SHARE && self.fleet.retry_tokens >= 1.0;
        server.in_flight += 1;
        server.credit -= 1.0;
        match cold {
            Some(left) => (server.slow_start_budget, server.slow_start_budget_at) = (left, now),
            None => self.fleet.warm_sent += 1,
        }
        let open = self.requests.get_mut(id).expect("open");
        let first = open.attempts.is_empty();
        if first {
            self.fleet.retry_tokens = (self.fleet.retry_tokens + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
            self.expirations.remove(&(open.expires_at, id.clone()));
            open.expires_at = open.deadline - DEADLINE_MARGIN;
            self.expirations.insert((open.expires_at, id.clone()));
        }
        let mut limit = open.deadline - DEADLINE_MARGIN / 2 - now;
        // A lost answer would hold its place, and its client, until the hard stop.
        if lossy && self.settings.classes[open.request.class].idempotency != Idempotency::NonIdempotent {
            limit =
                limit.min((LOSSY_SERVER_TIMEOUT_RATIO * self.usual_latency[open.request.class]) as Micros);
        }
        open.attempts.push(Attempt { server: to.clone(), sent_at: now, running: true, may_have_run: true });
        self.host.forward(id, &to, limit);
        if let Some(tenant) = self.tenants.get_mut(&open.request.tenant) {
            tenant.refill(&self.settings.plans[tenant.plan], self.process_share, now);
            tenant.reserved_units -= if first { open.request.units } else { 0.0 };
        }
    }

    /// After a trip that did not succeed: another where the lane and the time allow it, else the end.
    fn retry_or_give_up(&mut self, id: &Id, now: Micros) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let may = !open.attempts.iter().any(|attempt| attempt.may_have_run)
            || self.settings.classes[open.request.class].idempotency != Idempotency::NonIdempotent;
        let soon = now + self.usual_latency[open.request.class] as Micros + DEADLINE_MARGIN < open.deadline;
        let more = open.attempts.len() < self.settings.max_attempts as usize;
        let why = match (may, soon, more, self.fleet.retry_tokens >= 1.0) {
            (false, ..) => RejectReason::NotIdempotent,
            (true, false, ..) => RejectReason::DeadlineTooClose,
            (true, true, false, _) => RejectReason::AttemptsExhausted,
            (true, true, true, false) => RejectReason::RetryBudgetExhausted,
            (true, true, true, true) => {
                let (class, attempts) = (open.request.class, open.attempts.clone());
                if let Some(server) = self.select_server(class, &attempts, now) {
                    self.fleet.retry_tokens -= 1.0;
                    return self.forward(id, server, now);
                }
                RejectReason::NoServer
            }
        };
        self.give_up(id, why);
    }

    /// What a transaction whose time here is over has waited for.
    fn expiry_reason(&self, id: &Id) -> RejectReason {
        match self.requests.get(id) {
            Some(open) if open.within_quota.is_none() => RejectReason::CounterTimeout,
            Some(open) if !open.attempts.is_empty() => RejectReason::AttemptUnfinished,
            _ => RejectReason::NoServer,
        }
    }

    /// The final answer to what is given up: a nack where a repeat is harmless, else an abandonment.
    fn give_up(&mut self, id: &Id, why: RejectReason) {
        let Some(open) = self.requests.get(id).filter(|open| !open.answered) else { return };
        let kind = self.settings.classes[open.request.class].idempotency;
        let harmless =
            matches!(kind, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. })
                || !open.attempts.iter().any(|attempt| attempt.may_have_run);
        match harmless {
            true => self.host.reject(id, self.settings.max_retry_after, why),
            false => self.host.fail(id, why),
        }
        self.complete(id, None);
    }

    /// Marks a transaction as answered, ends trips that nobody waits for, and forgets it once none is out.
    fn complete(&mut self, id: &Id, kept: Option<usize>) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let live = open.attempts.iter().rposition(|attempt| attempt.running);
        let cancels = self.settings.can_cancel && !open.answered;
        if let Some(attempt) = live.filter(|attempt| cancels && Some(*attempt) != kept) {
            self.host.cancel(id, attempt);
        }
        open.answered = true;
        self.expirations.remove(&(open.expires_at, id.clone()));
        self.queue.remove(&open.rank);
        if live.is_none() {
            if open.attempts.is_empty() && open.within_quota.is_some() {
                self.charge(id, -1.0);
            }
            let tenant_id = self.requests.remove(id).expect("open").request.tenant;
            let tenant = self.tenants.entry(tenant_id.clone());
            tenant.and_modify(|tenant| tenant.in_flight = tenant.in_flight.saturating_sub(1));
            self.update_concurrency_counter(&tenant_id, self.host.now());
        }
    }
}

impl TenantState {
    /// Lets the store and the part of the ceiling refill up to now.
    fn refill(&mut self, plan: &Plan, part: f64, now: Micros) {
        let time = seconds(now - self.refilled_at);
        let shared = if self.last_total_at.is_some() { 1.0 } else { 1.0 / self.gateway_spread };
        self.tokens = (self.tokens + plan.rate * shared * time).min(plan.burst);
        if let Some(Ceiling { rate, burst }) = plan.ceiling {
            // What waits leaves later: were its part to fill up meanwhile, both could leave at once.
            let part = part / self.gateway_spread;
            self.ceiling_tokens =
                (self.ceiling_tokens + part * rate * time).min(part * burst - self.reserved_units);
        }
        self.refilled_at = now;
    }

    /// The page's fraction, from what all were offered in a period.
    fn set_fraction(&mut self, all: f64, period: f64, plan: &Plan, now: Micros) {
        self.demand = all / period;
        let refill = plan.rate * period / SECOND as f64;
        self.fraction = ((refill + self.tokens) / all.max(NEGLIGIBLE)).min(1.0);
        self.period_refill = if self.fraction < 1.0 { refill } else { 0.0 };
        self.fraction_at = now;
    }

    /// A period, and the units that pass in it, for a customer of whom a gateway sees too little.
    fn sparse_window(&self, plan: &Plan) -> Option<(Micros, f64)> {
        let limit = (WINDOW_BURST_SHARE * plan.burst).round().max(1.0);
        let thin = plan.rate > 0.0 && self.gateway_spread > 1.0 && 2.0 * plan.burst < self.gateway_spread;
        thin.then(|| ((limit / plan.rate * SECOND as f64) as Micros, limit))
    }

    /// Without word: all are taken to be offered what they were, as far as what came here bears that out.
    fn extrapolate(&mut self, new: f64, plan: &Plan, now: Micros) {
        let period = (now - self.fraction_at) as f64;
        if self.last_total_at.is_some() && period > 0.0 {
            let usual = self.demand * period;
            let all = usual * (new + PRIOR_UNITS) / (usual / self.gateway_spread + PRIOR_UNITS);
            self.tokens = (self.tokens - (all - new).max(0.0) * self.fraction).max(0.0);
            self.set_fraction(all, period, plan, now);
        }
    }
}

impl Plan {
    /// What a unit weighs beside one at its name's start, the time in which units fade, and that of a name.
    fn decay(&self, start: Micros, now: Micros) -> (f64, f64, Micros) {
        let fade = (DECAY_TIME_IN_FILLS * self.burst / self.rate.max(NEGLIGIBLE) * SECOND as f64)
            .max(MIN_DECAY_TIME);
        (
            (now.saturating_sub(start) as f64 / fade).exp(),
            fade,
            MAX_WINDOW.min((MAX_DECAYS_PER_WINDOW * fade) as Micros),
        )
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
