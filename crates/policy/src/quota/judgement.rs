//! Whether a request is within its tenant's quota, by what is known or else by a guess; it changes no other tenant.

use rand::Rng;

use super::window::SparseWindow;
use super::TenantState;
use crate::counter::CounterPacer;
use crate::event::{Micros, Request};
use crate::numeric::{update_mean, SLOW_MEAN_WEIGHT};
use crate::settings::Plan;

/// How many times what it may earn beyond the quota a request has to exceed its cost, to be admitted without a total.
const EXCESS_COST_FACTOR: f64 = 1.5;

/// The share of each plan's requests that were found within their quota, as a guess of those that nothing is known of.
pub struct QuotaHistory {
    within_share: Vec<f64>,
}

impl QuotaHistory {
    /// All are taken to be within their quota.
    pub fn new(plans: &[Plan]) -> Self {
        QuotaHistory { within_share: vec![1.0; plans.len()] }
    }

    /// The probability that a request is within its quota. The first of a tenant is likelier so than those after it:
    /// who comes again before any reply asks for much.
    fn probability(&self, plan: usize, is_first: bool) -> f64 {
        let share = self.within_share[plan];
        if is_first {
            (1.0 + share) / 2.0
        } else {
            share * share
        }
    }

    fn record(&mut self, plan: usize, within: bool) {
        update_mean(&mut self.within_share[plan], SLOW_MEAN_WEIGHT, f64::from(u8::from(within)));
    }
}

/// What a judgement goes by beside the tenant's own state.
pub struct JudgeContext<'a, R> {
    /// The plan that the request names.
    pub plan: &'a Plan,
    /// The gateways share a counter.
    pub has_shared_counter: bool,
    /// What was found of other tenants.
    pub history: &'a mut QuotaHistory,
    /// How the counter replies.
    pub pacer: &'a mut CounterPacer,
    /// Random numbers.
    pub rng: &'a mut R,
    /// The time.
    pub now: Micros,
}

/// A judgement under way.
struct Judgement {
    /// The request is within the quota, as far as was looked at.
    within: bool,
    /// The counter's totals say so, not a guess.
    known: bool,
    /// A guess for tenants that nothing is known of.
    likely: bool,
}

impl TenantState {
    /// Whether a request is within the quota, by what is known now.
    pub fn judge<R: Rng>(&mut self, request: &Request, context: JudgeContext<R>) -> bool {
        let JudgeContext { plan, has_shared_counter, history, pacer, rng, now } = context;
        self.fraction.count_offered(request.units);
        let is_first = self.fraction.is_first_offer(request.units);
        let likely = has_shared_counter && rng.gen::<f64>() < history.probability(request.plan, is_first);
        let mut judgement = Judgement { within: true, known: true, likely };
        if plan.max_concurrency > 0 {
            judgement.within = self.concurrency.admits(
                plan.max_concurrency,
                self.gateway_spread,
                pacer.is_responding(now),
                likely,
                now,
            );
            judgement.known = self.concurrency.is_known();
        }
        if let Some(window) = self.sparse_window(plan) {
            self.judge_sparse(&mut judgement, window, request.units, plan, pacer, now);
        } else if plan.rate > 0.0 && self.units.last_total_at().is_none() && self.is_shared() {
            // Beyond its even share, a tenant that nothing is known of is taken to be as the others of its plan.
            judgement.within &= !self.in_doubt || likely;
            judgement.known = false;
        } else if plan.rate > 0.0 {
            judgement.within = judgement.within && self.fraction.admit(request.units, &self.bucket);
        }
        if judgement.known {
            history.record(request.plan, judgement.within);
        }
        judgement.within
    }

    /// The judgement on a sparse tenant: by a total of this moment, or else by a guess.
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
        judgement.known = has_total || self.units.has_reached(window.limit);
        pacer.count_decision(judgement.known);
        if has_total {
            judgement.within &= self.allowance.has(units);
            if judgement.within {
                self.allowance.take(units);
            }
            return;
        }
        // Rejected without a total, a request comes again where there may be one; admitted, it is in no count. A
        // tenant that is here again asks far beyond its quota: what it earns has to exceed what it costs.
        let pays = self.fraction.is_first_offer(units)
            || EXCESS_COST_FACTOR * plan.excess_cost < 1.0 + plan.excess_value;
        let guesses = !pacer.is_responding(now) || pays && pacer.is_starved();
        judgement.within &= judgement.likely && guesses && !judgement.known;
        if !judgement.within {
            self.units.add(-units);
        }
    }
}
