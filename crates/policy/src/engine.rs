//! The coordinator: receives events, calls the modules that decide, and acts through the host. It contains no
//! formula of its own.
//!
//! `requests` takes a request from admission to its final answer, `quota` updates the shared counter and
//! handles its replies, and `endpoints` handles the endpoint list and the operators' commands.

mod endpoints;
mod quota;
mod requests;

use std::collections::HashMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::concurrency_limit::{FleetLimit, Utilization};
use crate::counter::CounterPacer;
use crate::deadline::{initial_expiry, Expirations, TimerToken};
use crate::endpoints::{EndpointTable, ListBackoff};
use crate::event::{AttemptCompleted, Id, LoadReport, Micros, Outcome, Request, Subset};
use crate::host::Host;
use crate::in_flight::InFlight;
use crate::latency::ClassLatencies;
use crate::queue::Queue;
use crate::quota::QuotaHistory;
use crate::recent_requests::{RecentRequests, RequestFingerprint};
use crate::rejection::RejectReason;
use crate::retry::{self, RetryBudget};
use crate::settings::Settings;
use crate::slow_start::{SlowStartRules, WarmLoad};
use crate::tenants::Tenants;

/// Makes every decision of one gateway.
///
/// The caller calls the method named after the event that happened; the engine acts through its host before the
/// method returns. Times are by the host's clock, which must not go backwards.
pub struct Engine<H: Host> {
    host: H,
    settings: Settings,
    rng: ChaCha8Rng,
    /// When this process received its current share of the gateway's ceilings.
    process_share_since: Micros,
    /// This process's share of the gateway's ceilings and slow-start budgets. During a hot restart the other
    /// process has the rest.
    process_share: f64,
    servers: EndpointTable,
    /// The servers assigned to this gateway; without an assignment the gateway uses a segment of the hash ring.
    subset: Option<Subset>,
    list_backoff: ListBackoff,
    fleet_limit: FleetLimit,
    warm_load: WarmLoad,
    latencies: ClassLatencies,
    tenants: Tenants,
    quota_history: QuotaHistory,
    counter_pacer: CounterPacer,
    in_flight: HashMap<Id, InFlight>,
    queue: Queue,
    expirations: Expirations,
    retry_budget: RetryBudget,
    recent_requests: RecentRequests,
}

impl<H: Host> Engine<H> {
    /// Creates an engine that knows no servers yet. Sets its first timer, and opens the watch on the endpoint
    /// list if discovery requires polling.
    pub fn new(settings: Settings, mut host: H) -> Self {
        let now = host.now();
        let warm_load = WarmLoad::new(now);
        let first_wakeup = warm_load.next_measurement();
        host.set_timer(first_wakeup - now, &TimerToken::Wakeup.to_string());
        if settings.list_poll_interval.is_some() {
            host.watch_endpoints(true);
        }
        Engine {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            process_share_since: now,
            process_share: 1.0,
            servers: EndpointTable::default(),
            subset: None,
            list_backoff: ListBackoff::default(),
            fleet_limit: FleetLimit::new(now),
            warm_load,
            latencies: ClassLatencies::new(&settings.classes),
            tenants: Tenants::default(),
            quota_history: QuotaHistory::new(&settings.plans),
            counter_pacer: CounterPacer::new(settings.gateway_count, now),
            in_flight: HashMap::new(),
            queue: Queue::default(),
            expirations: Expirations::new(first_wakeup),
            retry_budget: RetryBudget::full(),
            recent_requests: RecentRequests::default(),
            host,
            settings,
        }
    }

    /// Handles a request that a client has sent.
    pub fn request_received(&mut self, request: Request) {
        let now = self.host.now();
        let id = request.id.clone();
        if self.is_repeated(&request, now) {
            return self.host.fail(&id, RejectReason::RepeatedId);
        }
        if !self.admit_tenant(&request, now) {
            return self.host.reject(&id, self.settings.max_retry_after, RejectReason::TooManyTenants);
        }
        let deadline = now + request.time_left;
        let expires_at = initial_expiry(deadline, now);
        let within_quota = self.meter(&request, now);
        self.expirations.insert(expires_at, &id);
        self.in_flight.insert(id.clone(), InFlight::new(request, deadline, expires_at));
        if let Some(within_quota) = within_quota {
            self.admit(&id, within_quota, now);
        }
        self.schedule_wakeup(now);
    }

    /// The fingerprint of a request that must not run twice, for the other processes of this gateway; `None` if it may.
    pub fn fingerprint_to_share(&self, request: &Request) -> Option<RequestFingerprint> {
        let may_run_again = retry::may_run_again(&self.settings.classes[request.class]);
        (!may_run_again).then(|| RequestFingerprint::new(&request.id))
    }

    /// Sets how many tenants this gateway may remember.
    pub fn set_max_tenants(&mut self, max: usize) {
        self.tenants.set_max(max);
    }

    /// Handles a request that another process of this gateway has received: it may have had an effect there.
    pub fn request_seen_elsewhere(&mut self, request: RequestFingerprint) {
        let now = self.host.now();
        self.recent_requests.insert(request, now);
    }

    /// Handles the start of a response stream: the request has its final answer, from this attempt.
    pub fn response_started(&mut self, request: &Id, attempt: usize) {
        self.complete(request, Some(attempt));
    }

    /// Handles the end of an attempt.
    pub fn attempt_completed(&mut self, end: AttemptCompleted) {
        let now = self.host.now();
        let Some(in_flight) = self.in_flight.get_mut(&end.request) else { return };
        if !in_flight.end_attempt(end.attempt, end.outcome) {
            return;
        }
        let class = in_flight.request.class;
        let tenant = in_flight.request.tenant.clone();
        let within_quota = in_flight.within_quota == Some(true);
        let correction = end.units.map_or(0.0, |units| units - in_flight.request.units);
        let is_answered = in_flight.answered || end.is_final;
        self.learn_from_attempt(&end, class, now);
        if let Some(tenant) = self.tenants.get_mut(&tenant) {
            tenant.correct(correction, within_quota);
        }
        if is_answered {
            self.complete(&end.request, None);
        } else {
            self.retry_or_give_up(&end.request, now);
        }
        self.forward_queued(now);
        self.schedule_wakeup(now);
    }

    /// Handles the disconnection of a client: its request no longer needs an answer.
    pub fn client_disconnected(&mut self, request: &Id) {
        self.complete(request, None);
    }

    /// Handles a timer that the engine has set and that has fired.
    pub fn timer_fired(&mut self, token: &str) {
        match TimerToken::parse(token) {
            TimerToken::Watch => self.host.watch_endpoints(true),
            TimerToken::ConcurrencyWindow(tenant) => {
                let now = self.host.now();
                self.update_concurrency_counter(&tenant, now);
            }
            TimerToken::Wakeup => self.wake_up(),
        }
    }

    fn wake_up(&mut self) {
        let now = self.host.now();
        self.expirations.wakeup_fired(now);
        while let Some(id) = self.expirations.pop_expired(now) {
            if let Some(in_flight) = self.in_flight.get(&id) {
                let reason = in_flight.expiry_reason();
                self.give_up(&id, reason);
            }
        }
        self.forward_queued(now);
        if now >= self.warm_load.next_measurement() {
            let rules = self.slow_start_rules(now);
            let warm = self.servers.in_use().filter(|server| rules.is_warm(server.effective_start())).count();
            self.warm_load.measure(warm, now);
            self.tenants.drop_stale(now);
        }
        self.schedule_wakeup(now);
    }

    fn schedule_wakeup(&mut self, now: Micros) {
        let measurement_at = self.warm_load.next_measurement();
        let has_queued_requests = !self.queue.is_empty();
        if let Some(delay) = self.expirations.schedule_wakeup(measurement_at, has_queued_requests, now) {
            self.host.set_timer(delay, &TimerToken::Wakeup.to_string());
        }
    }

    /// Sets this process's share of its gateway's ceilings and slow-start budgets, from 0 to 1. Whatever the
    /// other process held before counts as used up.
    pub fn set_process_share(&mut self, share: f64) {
        let now = self.host.now();
        for tenant in self.tenants.iter_mut() {
            tenant.refill(&self.settings.plans[tenant.plan()], self.process_share, now);
        }
        self.process_share = share;
        self.process_share_since = now;
    }

    /// Does nothing. Hosts report the end of a health check as they report every event of the protocol, but the
    /// outcomes of attempts are enough to rate a server.
    pub fn health_check_completed(&mut self, _server: &Id, _outcome: Outcome, _load: LoadReport) {}

    /// Does nothing. Hosts report messages of other gateways as they report every event of the protocol, but
    /// gateways share state through the counter alone.
    pub fn message_received(&mut self, _gateway: u32, _data: &[u8]) {}

    fn slow_start_rules(&self, now: Micros) -> SlowStartRules<'_> {
        SlowStartRules {
            settings: &self.settings,
            warm_load: &self.warm_load,
            process_share: self.process_share,
            gateways_per_server: self.fleet_limit.gateways_per_server(),
            now,
        }
    }

    fn utilization(&self) -> Utilization {
        let servers = self.servers.in_use().map(|server| (server.in_flight, server.limit.get()));
        self.fleet_limit.utilization(servers)
    }
}
