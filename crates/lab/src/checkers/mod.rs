//! Checkers of the whole fleet: each observes the complete history of a run and has its own rules, in addition to those of the
//! request ledger.

pub mod lease;
pub mod membership;
pub mod outlier_detection;
pub mod subsetting;

use crate::request_ledger::Violations;
use crate::{Micros, SECOND};

/// How many violations of a rule are kept for the report; all are counted.
const MAX_INSTANCES: usize = 20;

impl Violations {
    /// Adds one violation of the rule.
    pub fn add(&mut self, at: Micros, what: String) {
        self.count += 1;
        if self.instances.len() < MAX_INSTANCES {
            self.instances.push(format!("{:.3} s: {what}", at as f64 / SECOND as f64));
        }
    }
}
