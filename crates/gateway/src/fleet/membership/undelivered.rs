//! Updates of counters that wait until there is a way to the others.

use std::collections::BTreeMap;

use fernscale_policy::Micros;

/// Counts that wait for a way to the others: another process of this gateway speaks with them, until it ends.
const MAX_UNDELIVERED_COUNTERS: usize = 16_384;

/// What the others are to be told of, by the count, and until when that lives.
#[derive(Default)]
pub struct UndeliveredUpdates(pub(super) BTreeMap<Box<str>, (f64, Micros)>);

impl UndeliveredUpdates {
    /// At the bound a new count is not told of, as at the mesh's own.
    pub fn add(&mut self, counter: &str, amount: f64, expires_at: Micros) {
        if let Some((undelivered, _)) = self.0.get_mut(counter) {
            *undelivered += amount;
        } else if self.0.len() < MAX_UNDELIVERED_COUNTERS {
            self.0.insert(counter.into(), (amount, expires_at));
        }
    }
}
