//! The state of each tenant at this gateway, and the decision whether a request is within its tenant's quota.
//!
//! A tenant's requests arrive through several gateways. Each component of the quota has a module: the token
//! bucket, the admission fraction, the windows of sparse tenants, the requests in flight and the hard ceiling.
//! `judgement` combines them. This module does not call the counter: it prepares updates, which the engine
//! sends.

mod bucket;
mod ceiling;
mod concurrency;
mod fraction;
mod judgement;
mod window;

use rand::Rng;

use crate::admission::AwaitingReply;
use crate::counter::{
    update_probability, CounterKey, CounterReply, Decay, KeyedCounter, UnitsCounter, UnitsUpdate,
    MAX_TOTAL_AGE, MAX_WINDOW, MIN_UPDATE_INTERVAL,
};
use crate::event::{Id, Micros, Outcome, Request};
use crate::numeric::SECOND;
use crate::settings::Plan;

use bucket::TokenBucket;
use ceiling::CeilingShare;
pub use concurrency::ConcurrencyQuota;
use fraction::AdmissionFraction;
pub use judgement::{JudgeContext, QuotaHistory};
use window::{SparseWindow, WindowAllowance};

/// Time without requests after which a tenant's state is dropped: any burst has refilled by then.
const TENANT_IDLE_TIMEOUT: Micros = 30 * SECOND;

/// Time without requests before a tenant's state may be dropped to make room for another tenant.
const MIN_IDLE_TIME: Micros = SECOND;

/// An update of the shared counter.
pub struct CounterUpdate {
    /// The counter's key.
    pub key: String,
    /// The amount to add.
    pub amount: f64,
    /// How long the counter keeps a new key.
    pub lifetime: Micros,
}

/// The state of one tenant.
pub struct TenantState {
    plan: usize,
    /// How many gateways the tenant's requests arrive through.
    gateway_spread: f64,
    bucket: TokenBucket,
    ceiling: CeilingShare,
    fraction: AdmissionFraction,
    allowance: WindowAllowance,
    /// The tenant's requests in flight.
    pub concurrency: ConcurrencyQuota,
    units: UnitsCounter,
    /// The last request can't be decided without a recent total of the shared counter.
    needs_total: bool,
    /// The tenant's requests that wait for a reply of the counter.
    pub awaiting: AwaitingReply,
}

impl TenantState {
    /// Creates the state of a tenant that is new at this gateway. The tenant has its even share of the quota
    /// until a total is known.
    ///
    /// `process_share` is this process's share of the gateway's ceilings, and `age` is the time for which the
    /// process has had it.
    pub fn new(
        request: &Request,
        plan: &Plan,
        gateway_count: u32,
        process_share: f64,
        age: Micros,
        rng: &mut impl Rng,
        now: Micros,
    ) -> Self {
        let gateway_spread = f64::from(request.gateway_spread.clamp(1, gateway_count.max(1)));
        TenantState {
            plan: request.plan,
            gateway_spread,
            bucket: TokenBucket::new(plan.burst / gateway_spread, now),
            ceiling: CeilingShare::new(plan.ceiling, process_share, gateway_spread, age, now),
            fraction: AdmissionFraction::new(rng.gen(), now),
            allowance: WindowAllowance::default(),
            concurrency: ConcurrencyQuota::default(),
            units: UnitsCounter::default(),
            needs_total: false,
            awaiting: AwaitingReply::default(),
        }
    }

    /// Index of the plan that the tenant's first request named.
    pub fn plan(&self) -> usize {
        self.plan
    }

    /// Whether the tenant's requests arrive through other gateways too.
    pub fn is_shared(&self) -> bool {
        self.gateway_spread > 1.0
    }

    /// Whether the tenant's state may be dropped.
    pub fn is_stale(&self, now: Micros) -> bool {
        self.concurrency.is_idle() && self.bucket.refilled_at() + TENANT_IDLE_TIMEOUT <= now
    }

    /// Whether dropping the tenant's state gives it no units: it has made no request for a second, and what it has left is not less
    /// than what a new tenant would get.
    pub fn is_as_new(&mut self, plan: &Plan, process_share: f64, share_age: Micros, now: Micros) -> bool {
        let is_idle =
            self.concurrency.is_idle() && self.awaiting.is_empty() && !self.units.is_update_pending();
        if !is_idle || self.bucket.refilled_at() + MIN_IDLE_TIME > now {
            return false;
        }
        let is_known = self.units.last_total_at().is_some();
        let share = if is_known { 1.0 } else { 1.0 / self.gateway_spread };
        let tokens = self.bucket.tokens_at(plan, share, now);
        let new_tokens = plan.burst / self.gateway_spread;
        let new_ceiling = CeilingShare::new(plan.ceiling, process_share, self.gateway_spread, share_age, now);
        tokens >= new_tokens
            && self.ceiling.covers(new_ceiling, plan.ceiling, process_share, self.gateway_spread, now)
    }

    /// Refills the bucket and the share of the ceiling up to now.
    pub fn refill(&mut self, plan: &Plan, process_share: f64, now: Micros) {
        let is_known = self.units.last_total_at().is_some();
        let share = if is_known { 1.0 } else { 1.0 / self.gateway_spread };
        self.bucket.refill(plan, share, now);
        self.ceiling.refill(plan.ceiling, process_share, self.gateway_spread, now);
    }

    /// Counts a request that has arrived, and records whether deciding it needs a recent total of the shared
    /// counter.
    pub fn begin(&mut self, request: &Request, plan: &Plan, process_share: f64, now: Micros) {
        self.refill(plan, process_share, now);
        self.concurrency.begin();
        self.units.add(request.units);
        self.needs_total = if self.sparse_window(plan).is_some() {
            true
        } else {
            match self.units.last_total_at() {
                Some(at) => now - at >= MAX_TOTAL_AGE,
                None => self.bucket.tokens() < request.units,
            }
        };
        self.awaiting.push(request.id.clone());
    }

    /// Whether the last request has to wait for a reply of the counter.
    pub fn needs_reply(&self) -> bool {
        self.concurrency.is_update_pending() || self.needs_total && self.units.is_update_pending()
    }

    /// Whether requests wait for a reply while no update of units is pending.
    pub fn awaits_no_update(&self) -> bool {
        !self.awaiting.is_empty() && !self.units.is_update_pending()
    }

    /// Whether this gateway's share of the ceiling has enough tokens for `units`.
    pub fn within_ceiling(&self, plan: &Plan, units: f64) -> bool {
        plan.ceiling.is_none() || self.ceiling.has(units)
    }

    /// Takes the units of a request that is queued for a server.
    pub fn reserve(&mut self, units: f64, within_quota: bool) {
        self.ceiling.reserve(units);
        if within_quota {
            self.bucket.take(units);
            self.fraction.count_admitted(units);
        }
    }

    /// Returns the units of a request that was never forwarded.
    pub fn release(&mut self, units: f64, within_quota: bool) {
        self.ceiling.release(units);
        if within_quota {
            self.bucket.take(-units);
            self.fraction.count_admitted(-units);
        }
    }

    /// Records that a request was forwarded for the first time.
    pub fn commit(&mut self, units: f64) {
        self.ceiling.commit(units);
    }

    /// Adds a correction to the units of a request.
    pub fn correct(&mut self, units: f64, within_quota: bool) {
        self.units.add(units);
        if within_quota {
            self.bucket.take(units);
        }
    }

    fn sparse_window(&self, plan: &Plan) -> Option<SparseWindow> {
        SparseWindow::for_plan(plan, self.gateway_spread)
    }

    /// Prepares an update of this tenant's offered units, if one is due.
    pub fn prepare_units_update(
        &mut self,
        id: &Id,
        plan: &Plan,
        call_probability: f64,
        has_shared_counter: bool,
        rng: &mut impl Rng,
        now: Micros,
    ) -> Option<CounterUpdate> {
        if self.units.is_update_pending() {
            return None;
        }
        self.awaiting.mark_all_reported();
        if let Some(window) = self.sparse_window(plan) {
            let number = window.number(id, now);
            self.units.enter_window(number);
            if !has_shared_counter || self.units.has_reached(window.limit) {
                return None;
            }
            if call_probability < 1.0 && rng.gen::<f64>() >= call_probability {
                return None;
            }
            return Some(self.begin_sparse_update(id, number, window.period));
        }
        let is_due = now >= self.units.updated_at() + MIN_UPDATE_INTERVAL && plan.rate > 0.0;
        if !is_due || !has_shared_counter || !self.is_shared() {
            return None;
        }
        let decay = Decay::for_plan(plan);
        let window = decay.window_start(now);
        self.units.enter_window(window);
        self.units.record_update_time(now);
        self.fraction.age_recent();
        let pending = self.units.take_pending();
        let demand = self.fraction.demand();
        let probability = update_probability(call_probability, pending, demand, decay, self.needs_total);
        if probability < 1.0 && rng.gen::<f64>() >= probability {
            self.extrapolate(pending, plan, now);
            return None;
        }
        let update = self.units.begin_update(pending, probability, decay, now);
        let key = CounterKey { counter: KeyedCounter::Units, window, tenant: id };
        Some(CounterUpdate { key: key.to_string(), amount: update.amount, lifetime: MAX_WINDOW })
    }

    fn begin_sparse_update(&mut self, id: &Id, window: u64, period: Micros) -> CounterUpdate {
        let pending = self.units.take_pending();
        let update = self.units.begin_sparse_update(pending);
        let key = CounterKey { counter: KeyedCounter::SparseUnits, window, tenant: id };
        CounterUpdate { key: key.to_string(), amount: update.amount, lifetime: period }
    }

    /// Ends the pending update of units and returns it.
    pub fn take_units_update(&mut self) -> Option<UnitsUpdate> {
        self.units.take_update()
    }

    /// Applies the reply to an update of units. The bucket must have been refilled up to now.
    pub fn apply_units_reply(
        &mut self,
        update: UnitsUpdate,
        reply: &CounterReply,
        plan: &Plan,
        rng: &mut impl Rng,
        now: Micros,
    ) {
        let succeeded = reply.outcome == Outcome::Ok;
        if let Some(window) = self.sparse_window(plan) {
            if succeeded {
                self.allowance.apply_total(window, reply.total, update.pending, rng);
                self.units.record_total(reply.total, now);
            } else {
                self.units.add(update.pending);
            }
            return;
        }
        let decay = Decay::for_plan(plan);
        let remaining = decay.remaining(now - self.fraction.computed_at());
        self.units.settle_update(reply.may_have_counted(), update.pending, remaining);
        if succeeded {
            let reading = self.units.read_total(reply.total, update.amount, decay, now);
            self.fraction.apply_reading(&reading, update.pending, &mut self.bucket, plan, now);
            return;
        }
        if reply.may_have_counted() {
            self.units.assume_counted(update.amount);
        }
        self.extrapolate(update.pending, plan, now);
    }

    /// Extrapolates the admission fraction when no new total is available, if one was known before.
    fn extrapolate(&mut self, pending: f64, plan: &Plan, now: Micros) {
        if self.units.last_total_at().is_some() {
            self.fraction.extrapolate(pending, self.gateway_spread, &mut self.bucket, plan, now);
        }
    }
}
