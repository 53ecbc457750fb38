//! Engine methods for one request: admission, forwarding, retries and the final answer.

use super::Engine;
use crate::admission::AdmissionCheck;
use crate::deadline::{attempt_expiry, attempt_time_limit, is_too_late_for_attempt};
use crate::event::{AttemptCompleted, Id, Micros, Outcome, Request};
use crate::host::{AttemptLimits, Host};
use crate::in_flight::Attempt;
use crate::latency::service_time;
use crate::outlier;
use crate::queue::{max_wait, QueueRank};
use crate::recent_requests::RequestFingerprint;
use crate::rejection::RejectReason;
use crate::retry;
use crate::selection::{KeyBinding, Selection};
use crate::slow_start::{SlowStartBudget, SlowStartRules};

impl<H: Host> Engine<H> {
    /// Queues a request for a server, or rejects it.
    pub(super) fn admit(&mut self, id: &Id, within_quota: bool, now: Micros) {
        let utilization = self.utilization();
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let request = &in_flight.request;
        let tenant = self.tenants.get_mut(&request.tenant).expect("a request in flight keeps its tenant");
        let plan = &self.settings.plans[request.plan];
        let class = &self.settings.classes[request.class];
        let usual_latency = self.latencies.usual(request.class);
        let check = AdmissionCheck {
            plan,
            within_quota,
            within_ceiling: tenant.within_ceiling(plan, request.units),
            utilization,
            has_queued_requests: !self.queue.is_empty(),
            usual_latency,
            deadline: in_flight.deadline,
            now,
        };
        if let Err(reason) = check.decide() {
            return self.give_up(id, reason);
        }
        let rank = QueueRank::new(id, plan, class, usual_latency, now);
        in_flight.rank = Some(rank.clone());
        in_flight.within_quota = Some(within_quota);
        self.queue.insert(rank, class, usual_latency);
        let expires_at = in_flight.expires_at.min(now + max_wait(class));
        self.expirations.reschedule(&mut in_flight.expires_at, expires_at, id);
        tenant.reserve(request.units, within_quota);
        self.forward_queued(now);
        let slowdown = self.fleet_limit.slowdown();
        if let Some(excess) = self.queue.pop_excess(utilization.limit, slowdown) {
            self.give_up(&excess, RejectReason::QueueFull);
        }
    }

    /// Forwards queued requests, highest priority first, while servers have capacity.
    pub(super) fn forward_queued(&mut self, now: Micros) {
        while let Some(id) = self.queue.first().cloned() {
            let in_flight = &self.in_flight[&id];
            // A host that was delayed may report the ends of attempts before the timers that expired meanwhile.
            if is_too_late_for_attempt(in_flight.deadline, now) {
                self.give_up(&id, RejectReason::NoServer);
                continue;
            }
            let class = in_flight.request.class;
            let Some(server) = self.select_server(class, &[], now) else { return };
            self.queue.pop_first();
            self.forward(&id, server, now);
        }
    }

    fn select_server(&mut self, class: usize, attempts: &[Attempt], now: Micros) -> Option<Id> {
        let class = &self.settings.classes[class];
        let binding = KeyBinding::from_attempts(class, attempts, &self.servers);
        let utilization = self.utilization();
        // Without this limit, many gateways with one slot at each server would together overload all servers.
        if utilization.in_flight >= utilization.limit.max(1.0) {
            return None;
        }
        if binding.is_none() && self.fleet_limit.is_paused(now) {
            return None;
        }
        let slow_start = SlowStartRules {
            settings: &self.settings,
            warm_load: &self.warm_load,
            process_share: self.process_share,
            gateways_per_server: self.fleet_limit.gateways_per_server(),
            now,
        };
        Selection { class, attempts, binding, slow_start }.choose(&mut self.servers)
    }

    fn forward(&mut self, id: &Id, to: Id, now: Micros) {
        let remaining_budget = self.slow_start_budget_after_attempt(&to, now);
        let in_flight = self.in_flight.get_mut(id).expect("only a request in flight is forwarded");
        let class = in_flight.request.class;
        let server = self.servers.get_mut(&to).expect("a selected server is in the table");
        server.in_flight += 1;
        server.credit -= 1.0;
        match remaining_budget {
            Some(attempts) => server.slow_start = SlowStartBudget::new(attempts, now),
            None => self.warm_load.count_attempt(),
        }
        let rules = &self.settings.classes[class];
        let time_limit = attempt_time_limit(in_flight.deadline, now);
        let first_byte_limit = server.failures.first_byte_limit(rules, self.latencies.usual(class));
        let first_byte_limit = first_byte_limit.filter(|_| self.retry_budget.is_available());
        let binding = KeyBinding::from_attempts(rules, &in_flight.attempts, &self.servers);
        let send_before = binding.map(|binding| binding.send_before());
        let usual_latency = self.latencies.usual(class);
        let max_attempts = self.settings.max_attempts;
        let stall_limit = retry::stall_limit(in_flight, rules, usual_latency, max_attempts, time_limit, now);
        let is_first = in_flight.attempts.is_empty();
        if is_first {
            self.retry_budget.earn();
            let expires_at = attempt_expiry(in_flight.deadline);
            self.expirations.reschedule(&mut in_flight.expires_at, expires_at, id);
        }
        in_flight.attempts.push(Attempt::start(to.clone(), now));
        self.host.forward(id, &to, AttemptLimits { time_limit, first_byte_limit, stall_limit, send_before });
        if let Some(tenant) = self.tenants.get_mut(&in_flight.request.tenant) {
            tenant.refill(&self.settings.plans[tenant.plan()], self.process_share, now);
            if is_first {
                tenant.commit(in_flight.request.units);
            }
        }
    }

    /// The slow-start budget that remains at a server after one more attempt, or `None` for a warm server.
    fn slow_start_budget_after_attempt(&self, server: &Id, now: Micros) -> Option<f64> {
        let server = self.servers.get(server).expect("a selected server is in the table");
        let rules = self.slow_start_rules(now);
        let started_at = server.effective_start();
        (!rules.is_warm(started_at)).then(|| rules.budget(started_at, &server.slow_start) - 1.0)
    }

    /// Updates latencies, limits and failure rates from the end of an attempt.
    pub(super) fn learn_from_attempt(&mut self, end: &AttemptCompleted, class: usize, now: Micros) {
        let usual_latency = self.latencies.usual(class);
        let service_time = service_time(end.elapsed, end.read_delay, usual_latency);
        let limit = self.utilization().limit;
        self.fleet_limit.pause(service_time, limit, now);
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        let succeeded = end.outcome == Outcome::Ok;
        if outlier::is_conclusive(end.outcome, service_time, usual_latency) {
            self.servers.record_outcome(&end.server, !succeeded, now);
        }
        if !succeeded {
            return;
        }
        let objective = self.settings.classes[class].latency_objective;
        let latency = self.latencies.record(class, objective, service_time);
        self.fleet_limit.record(service_time, latency, now);
        if let Some(server) = self.servers.get_mut(&end.server) {
            server.limit.record(service_time, latency, server.in_flight, self.fleet_limit.min_limit(), now);
        }
    }

    /// Handles a failed attempt: makes another attempt if the rules allow one, else gives the final answer.
    pub(super) fn retry_or_give_up(&mut self, id: &Id, now: Micros) {
        let Some(in_flight) = self.in_flight.get(id) else { return };
        let class = in_flight.request.class;
        let allowed = retry::check(
            in_flight,
            &self.settings.classes[class],
            self.latencies.usual(class),
            self.settings.max_attempts,
            &self.retry_budget,
            now,
        );
        if let Err(reason) = allowed {
            return self.give_up(id, reason);
        }
        let attempts = in_flight.attempts.clone();
        match self.select_server(class, &attempts, now) {
            Some(server) => {
                self.retry_budget.spend();
                self.forward(id, server, now);
            }
            None => self.give_up(id, RejectReason::NoServer),
        }
    }

    /// Gives the final answer: a rejection if the client may safely send the request again, else a failure.
    pub(super) fn give_up(&mut self, id: &Id, reason: RejectReason) {
        let Some(in_flight) = self.in_flight.get(id).filter(|in_flight| !in_flight.answered) else { return };
        let class = &self.settings.classes[in_flight.request.class];
        if retry::client_may_retry(in_flight, class) {
            self.host.reject(id, self.settings.max_retry_after, reason);
        } else {
            self.host.fail(id, reason);
        }
        self.complete(id, None);
    }

    /// Marks a request as answered and cancels its running attempt, unless the answer comes from that attempt.
    /// Removes the request when no attempt is running.
    pub(super) fn complete(&mut self, id: &Id, answering_attempt: Option<usize>) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let running = in_flight.running_attempt();
        let may_cancel = self.settings.can_cancel && !in_flight.answered;
        if let Some(attempt) = running.filter(|attempt| may_cancel && Some(*attempt) != answering_attempt) {
            self.host.cancel(id, attempt);
        }
        in_flight.answered = true;
        self.expirations.remove(in_flight.expires_at, id);
        if let Some(rank) = &in_flight.rank {
            self.queue.remove(rank);
        }
        if running.is_none() {
            self.forget(id);
        }
    }

    /// Whether a request may have had an effect under this id, and must not have another one.
    pub(super) fn is_repeated(&mut self, request: &Request, now: Micros) -> bool {
        let fingerprint = RequestFingerprint::new(&request.id);
        !retry::may_run_again(&self.settings.classes[request.class])
            && self.recent_requests.contains(fingerprint, now)
    }

    fn forget(&mut self, id: &Id) {
        let Some(in_flight) = self.in_flight.remove(id) else { return };
        if in_flight.may_have_run() && !retry::may_run_again(&self.settings.classes[in_flight.request.class])
        {
            let fingerprint = RequestFingerprint::new(id);
            self.recent_requests.insert(fingerprint, self.host.now());
        }
        let request = in_flight.request;
        if let Some(tenant) = self.tenants.get_mut(&request.tenant) {
            if let Some(within_quota) = in_flight.within_quota.filter(|_| in_flight.attempts.is_empty()) {
                tenant.release(request.units, within_quota);
            }
            tenant.concurrency.end();
        }
        self.update_concurrency_counter(&request.tenant, self.host.now());
    }
}
