//! Quotas of sparse tenants, of whom each gateway sees too little for a fraction: windows in which the first units
//! pass, by the order of the shared counter.

use rand::Rng;

use crate::event::{Id, Micros};
use crate::hash::hash_position;
use crate::numeric::{NEGLIGIBLE, SECOND};
use crate::settings::Plan;

/// Part of a burst that passes in a window, so that two windows make one bucket.
const WINDOW_BURST_SHARE: f64 = 0.5;

/// Bursts for which a gateway must have one even part to see enough of a tenant.
const SPARSE_BURST_FACTOR: f64 = 2.0;

/// The windows of a sparse tenant.
#[derive(Clone, Copy)]
pub struct SparseWindow {
    /// The length of a window.
    pub period: Micros,
    /// The units that pass in a window.
    pub limit: f64,
}

impl SparseWindow {
    /// The windows of a tenant whose requests come through so many gateways; none where each sees enough of it.
    pub fn of(plan: &Plan, gateway_spread: f64) -> Option<Self> {
        let is_sparse =
            plan.rate > 0.0 && gateway_spread > 1.0 && SPARSE_BURST_FACTOR * plan.burst < gateway_spread;
        if !is_sparse {
            return None;
        }
        let limit = (WINDOW_BURST_SHARE * plan.burst).round().max(1.0);
        Some(SparseWindow { period: (limit / plan.rate * SECOND as f64) as Micros, limit })
    }

    /// The number of the window that is open now; windows of tenants begin at different times.
    pub fn number(&self, tenant: &Id, now: Micros) -> u64 {
        (now + hash_position(tenant, self.period)) / self.period
    }
}

/// The units that may pass by the last total of a window.
#[derive(Default)]
pub struct WindowAllowance {
    units: f64,
}

impl WindowAllowance {
    /// Takes in a total, of which `pending` units were new: what came before them has passed.
    ///
    /// Units larger than a window's limit would never pass: the first of a window do so, as often as the quota allows.
    pub fn apply_total(&mut self, window: SparseWindow, total: f64, pending: f64, rng: &mut impl Rng) {
        let passed = (total - pending).max(0.0);
        let admits_large = passed < NEGLIGIBLE && rng.gen::<f64>() * pending < window.limit;
        self.units = if admits_large { window.limit.max(pending) } else { window.limit - passed };
    }

    /// Whether so many units may pass.
    pub fn has(&self, units: f64) -> bool {
        self.units + NEGLIGIBLE >= units
    }

    /// Takes units that pass.
    pub fn take(&mut self, units: f64) {
        self.units -= units;
    }
}
