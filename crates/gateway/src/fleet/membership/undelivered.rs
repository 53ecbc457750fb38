//! Updates of counters that wait until there is a way to the others.

use std::collections::BTreeMap;

use fernscale_policy::Micros;

/// Counts that wait for a way to the others: another process of this gateway speaks with them, until it ends.
const MOST_UNTOLD: usize = 16_384;

/// What the others are to be told of, by the count, and until when that lives.
#[derive(Default)]
pub struct UndeliveredUpdates(pub(super) BTreeMap<Box<str>, (f64, Micros)>);

impl UndeliveredUpdates {
    /// At the bound a new count is not told of, as at the mesh's own.
    pub fn add(&mut self, count: &str, amount: f64, ends: Micros) {
        if let Some((untold, _)) = self.0.get_mut(count) {
            *untold += amount;
        } else if self.0.len() < MOST_UNTOLD {
            self.0.insert(count.into(), (amount, ends));
        }
    }
}
