//! Judges of what is the fleet's: each hears the whole history of a run, and has rules of its own beside the five.

pub mod lease;
pub mod membership;
pub mod outlier_detection;
pub mod subsetting;

use crate::request_ledger::Violations;
use crate::{Micros, SECOND};

/// Instances of a broken rule that are kept to be shown; all are counted.
const KEPT: usize = 20;

impl Violations {
    /// The rule was broken once more.
    pub fn add(&mut self, at: Micros, what: String) {
        self.count += 1;
        if self.instances.len() < KEPT {
            self.instances.push(format!("{:.3} s: {what}", at as f64 / SECOND as f64));
        }
    }
}
