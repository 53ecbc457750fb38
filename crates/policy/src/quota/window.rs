//! Quotas of sparse tenants. Each gateway sees too few of a sparse tenant's requests to compute a fraction, so
//! the first units in each window are admitted, in the order in which the shared counter counts them.

use rand::Rng;

use crate::event::{Id, Micros};
use crate::hash::hash_position;
use crate::numeric::{NEGLIGIBLE, SECOND};
use crate::settings::Plan;

/// Share of a burst that is admitted in one window, so that two windows admit one burst.
const WINDOW_BURST_SHARE: f64 = 0.5;

/// A tenant is sparse if its plan's burst times this factor is less than one unit for each gateway.
const SPARSE_BURST_FACTOR: f64 = 2.0;

/// The windows of a sparse tenant.
#[derive(Clone, Copy)]
pub struct SparseWindow {
    /// The length of a window.
    pub period: Micros,
    /// The units admitted in a window.
    pub limit: f64,
}

impl SparseWindow {
    /// The windows of a tenant whose requests arrive through `gateway_spread` gateways, or `None` if the tenant
    /// is not sparse.
    pub fn for_plan(plan: &Plan, gateway_spread: f64) -> Option<Self> {
        let is_sparse =
            plan.rate > 0.0 && gateway_spread > 1.0 && SPARSE_BURST_FACTOR * plan.burst < gateway_spread;
        if !is_sparse {
            return None;
        }
        let limit = (WINDOW_BURST_SHARE * plan.burst).round().max(1.0);
        Some(SparseWindow { period: (limit / plan.rate * SECOND as f64) as Micros, limit })
    }

    /// The number of the current window. Windows of different tenants begin at different times.
    pub fn number(&self, tenant: &Id, now: Micros) -> u64 {
        (now + hash_position(tenant, self.period)) / self.period
    }
}

/// The units that may still be admitted in a window, by its last total.
#[derive(Default)]
pub struct WindowAllowance {
    units: f64,
}

impl WindowAllowance {
    /// Applies a total, of which `pending` units are new: the units counted before them were admitted.
    ///
    /// Units larger than a window's limit would never be admitted. The first such units in a window are
    /// admitted as often as the quota allows.
    pub fn apply_total(&mut self, window: SparseWindow, total: f64, pending: f64, rng: &mut impl Rng) {
        let passed = (total - pending).max(0.0);
        let admits_large = passed < NEGLIGIBLE && rng.gen::<f64>() * pending < window.limit;
        self.units = if admits_large { window.limit.max(pending) } else { window.limit - passed };
    }

    /// Whether `units` may be admitted.
    pub fn has(&self, units: f64) -> bool {
        self.units + NEGLIGIBLE >= units
    }

    /// Takes units that are admitted.
    pub fn take(&mut self, units: f64) {
        self.units -= units;
    }
}
