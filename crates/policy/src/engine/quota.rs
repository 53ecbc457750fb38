//! Engine methods for quotas: metering of requests, updates of the shared counter and its replies.

use super::Engine;
use crate::counter::{CounterKey, CounterReply, CounterTarget, KeyedCounter, MAX_WINDOW};
use crate::deadline::{TimerToken, DEADLINE_MARGIN};
use crate::event::{Id, Micros, Outcome, Request};
use crate::host::Host;
use crate::quota::{JudgeContext, TenantState};

impl<H: Host> Engine<H> {
    /// Remembers the tenant of a request. Returns false if there are too many tenants to remember another one.
    pub(super) fn admit_tenant(&mut self, request: &Request, now: Micros) -> bool {
        if self.tenants.get(&request.tenant).is_some() {
            return true;
        }
        let share_age = now - self.process_share_since;
        if !self.tenants.make_room(&self.settings.plans, self.process_share, share_age, now) {
            return false;
        }
        let plan = &self.settings.plans[request.plan];
        let gateways = self.settings.gateway_count;
        let state =
            TenantState::new(request, plan, gateways, self.process_share, share_age, &mut self.rng, now);
        self.tenants.insert(request.tenant.clone(), state);
        true
    }

    /// Counts the units that a request offers, whose tenant is remembered. Returns whether the request is within its tenant's quota, or
    /// `None` if the decision waits for a reply of the shared counter.
    pub(super) fn meter(&mut self, request: &Request, now: Micros) -> Option<bool> {
        let plan = &self.settings.plans[request.plan];
        let tenant = self.tenants.get_mut(&request.tenant)?;
        tenant.begin(request, plan, self.process_share, now);
        self.update_concurrency_counter(&request.tenant, now);
        self.update_units_counter(&request.tenant, now);
        let tenant = self.tenants.get_mut(&request.tenant)?;
        if tenant.needs_reply() && request.time_left > DEADLINE_MARGIN {
            return None;
        }
        tenant.awaiting.pop();
        Some(self.judge(request, now))
    }

    fn judge(&mut self, request: &Request, now: Micros) -> bool {
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else { return false };
        let context = JudgeContext {
            plan: &self.settings.plans[request.plan],
            has_shared_counter: self.settings.has_shared_counter,
            history: &mut self.quota_history,
            pacer: &mut self.counter_pacer,
            rng: &mut self.rng,
            now,
        };
        tenant.judge(request, context)
    }

    /// Adds a tenant's offered units to the shared counter, if an update is due.
    fn update_units_counter(&mut self, id: &Id, now: Micros) {
        let call_probability = self.counter_pacer.call_probability(now);
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        let plan = &self.settings.plans[tenant.plan()];
        let has_counter = self.settings.has_shared_counter;
        let update = tenant.prepare_units_update(id, plan, call_probability, has_counter, &mut self.rng, now);
        if let Some(update) = update {
            self.counter_pacer.spend();
            self.host.update_counter(&update.key, update.amount, update.lifetime);
        }
    }

    /// Updates the shared counter of a tenant's requests in flight, if an update is due.
    pub(super) fn update_concurrency_counter(&mut self, id: &Id, now: Micros) {
        let call_probability = self.counter_pacer.call_probability(now);
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        let is_limited = self.settings.plans[tenant.plan()].max_concurrency > 0;
        let is_counted = is_limited && self.settings.has_shared_counter && tenant.is_shared();
        if !is_counted || tenant.concurrency.is_update_pending() {
            return;
        }
        let update = tenant.concurrency.prepare_update(id, call_probability, &mut self.rng, now);
        let Some(update) = update else { return };
        if let Some(delay) = update.carry_over_in {
            self.host.set_timer(delay, &TimerToken::ConcurrencyWindow(id.clone()).to_string());
        }
        self.counter_pacer.spend();
        let key = CounterKey { counter: KeyedCounter::Concurrency, window: update.window, tenant: id };
        self.host.update_counter(&key.to_string(), update.amount, MAX_WINDOW);
    }

    /// Handles the end of a call to the shared counter, which took `elapsed`. `total` is valid only if the call
    /// succeeded.
    pub fn counter_replied(&mut self, key: &str, outcome: Outcome, total: f64, elapsed: Micros) {
        let now = self.host.now();
        let reply = CounterReply { outcome, total, elapsed };
        self.counter_pacer.record(&reply, now);
        match CounterTarget::parse(key) {
            None => {}
            Some(CounterTarget::Concurrency(id)) => self.concurrency_counter_replied(&id, &reply, now),
            Some(CounterTarget::Units(id)) => self.units_counter_replied(&id, &reply, now),
        }
    }

    fn concurrency_counter_replied(&mut self, id: &Id, reply: &CounterReply, now: Micros) {
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        let Some(amount) = tenant.concurrency.take_update() else { return };
        tenant.concurrency.apply_reply(amount, reply, now);
        // A counter that rejects calls must not be called again immediately: that would loop without end.
        if reply.outcome == Outcome::Ok {
            self.update_concurrency_counter(id, now);
        }
        self.decide_waiting(id, now);
    }

    fn units_counter_replied(&mut self, id: &Id, reply: &CounterReply, now: Micros) {
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        let Some(update) = tenant.take_units_update() else { return };
        let plan = &self.settings.plans[tenant.plan()];
        tenant.refill(plan, self.process_share, now);
        tenant.apply_units_reply(update, reply, plan, &mut self.rng, now);
        self.decide_waiting(id, now);
    }

    /// Decides the requests that waited for a reply of their tenant's counter.
    fn decide_waiting(&mut self, id: &Id, now: Micros) {
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        for waiting in tenant.awaiting.take_reported() {
            let Some(in_flight) = self.in_flight.get(&waiting) else { continue };
            let request = in_flight.request.clone();
            let within_quota = self.judge(&request, now);
            self.admit(&waiting, within_quota, now);
        }
        // Requests that arrived after the update was sent are not in it. They get an update of their own, or
        // are decided without a reply.
        if !self.tenants.get(id).is_some_and(TenantState::awaits_no_update) {
            return;
        }
        self.update_units_counter(id, now);
        let Some(tenant) = self.tenants.get_mut(id) else { return };
        if tenant.awaits_no_update() {
            tenant.awaiting.mark_all_reported();
            self.decide_waiting(id, now);
        }
    }
}
