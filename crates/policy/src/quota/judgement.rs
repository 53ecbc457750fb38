//! Decides whether a request is within its tenant's quota, from the counter's totals or else from an estimate.
//! The decision changes no other tenant's state.

use rand::Rng;

use super::window::SparseWindow;
use super::TenantState;
use crate::counter::CounterPacer;
use crate::event::{Micros, Request};
use crate::numeric::{update_mean, SLOW_MEAN_WEIGHT};
use crate::settings::Plan;

/// Without a total, a request of a tenant that sends again is admitted only if its value, 1 plus the excess
/// value, exceeds its excess cost by this factor.
const EXCESS_COST_FACTOR: f64 = 1.5;

/// The share of each plan's requests that were within their quota: the estimate for tenants without a total.
pub struct QuotaHistory {
    within_share: Vec<f64>,
}

impl QuotaHistory {
    /// Creates a history that assumes every request to be within its quota.
    pub fn new(plans: &[Plan]) -> Self {
        QuotaHistory { within_share: vec![1.0; plans.len()] }
    }

    /// The probability that a request is within its quota. It is higher for the first request of a tenant than
    /// for later ones: a tenant that sends another request before any reply probably sends many.
    fn probability(&self, plan: usize, is_first: bool) -> f64 {
        let share = self.within_share[plan];
        if is_first {
            (1.0 + share) / 2.0
        } else {
            share * share
        }
    }

    fn record(&mut self, plan: usize, within_quota: bool) {
        update_mean(&mut self.within_share[plan], SLOW_MEAN_WEIGHT, f64::from(u8::from(within_quota)));
    }
}

/// The inputs of a decision besides the tenant's own state.
pub struct JudgeContext<'a, R> {
    /// The plan of the request.
    pub plan: &'a Plan,
    /// Whether the gateways share a counter.
    pub has_shared_counter: bool,
    /// The results of earlier decisions on all tenants.
    pub history: &'a mut QuotaHistory,
    /// The pacer of counter calls, which knows whether the counter replies and how many decisions had a total.
    pub pacer: &'a mut CounterPacer,
    /// The generator of random numbers.
    pub rng: &'a mut R,
    /// The current time.
    pub now: Micros,
}

/// The intermediate state of a decision.
struct Judgement {
    /// The request is within every component of the quota checked so far.
    within_quota: bool,
    /// The decision is based on the counter's totals, not on an estimate.
    is_informed: bool,
    /// The estimate used if there is no total for the tenant.
    assumed_within: bool,
}

impl TenantState {
    /// Decides whether a request is within the quota, from the information available now.
    pub fn judge<R: Rng>(&mut self, request: &Request, context: JudgeContext<R>) -> bool {
        let JudgeContext { plan, has_shared_counter, history, pacer, rng, now } = context;
        self.fraction.count_offered(request.units);
        let is_first = self.fraction.is_first_offer(request.units);
        let assumed_within =
            has_shared_counter && rng.gen::<f64>() < history.probability(request.plan, is_first);
        let mut judgement = Judgement { within_quota: true, is_informed: true, assumed_within };
        if plan.max_concurrency > 0 {
            judgement.within_quota = self.concurrency.admits(
                plan.max_concurrency,
                self.gateway_spread,
                pacer.is_responding(now),
                assumed_within,
                now,
            );
            judgement.is_informed = self.concurrency.is_known();
        }
        if let Some(window) = self.sparse_window(plan) {
            self.judge_sparse(&mut judgement, window, request.units, plan, pacer, now);
        } else if plan.rate > 0.0 && self.units.last_total_at().is_none() && self.is_shared() {
            // Beyond its even share, a tenant without a total is assumed to behave like the other tenants of
            // its plan.
            judgement.within_quota &= !self.needs_total || assumed_within;
            judgement.is_informed = false;
        } else if plan.rate > 0.0 {
            judgement.within_quota =
                judgement.within_quota && self.fraction.admit(request.units, &self.bucket);
        }
        if judgement.is_informed {
            history.record(request.plan, judgement.within_quota);
        }
        judgement.within_quota
    }

    /// Decides for a sparse tenant: from a total received at this instant, or else from an estimate.
    fn judge_sparse(
        &mut self,
        judgement: &mut Judgement,
        window: SparseWindow,
        units: f64,
        plan: &Plan,
        pacer: &mut CounterPacer,
        now: Micros,
    ) {
        let has_total = self.units.last_total_at() == Some(now);
        judgement.is_informed = has_total || self.units.has_reached(window.limit);
        pacer.count_decision(judgement.is_informed);
        if has_total {
            judgement.within_quota &= self.allowance.has(units);
            if judgement.within_quota {
                self.allowance.take(units);
            }
            return;
        }
        // A request that is rejected without a total may be sent again to a gateway that has one; a request
        // that is admitted without a total is not counted anywhere. A tenant that sends again without a total
        // asks far beyond its quota, so the value of its request has to exceed the cost.
        let is_worthwhile = self.fraction.is_first_offer(units)
            || EXCESS_COST_FACTOR * plan.excess_cost < 1.0 + plan.excess_value;
        let may_assume = !pacer.is_responding(now) || is_worthwhile && pacer.is_starved();
        judgement.within_quota &= judgement.assumed_within && may_assume && !judgement.is_informed;
        if !judgement.within_quota {
            self.units.add(-units);
        }
    }
}
