//! Updates of shared counters that are collected until the membership can start, while another process of this gateway
//! has its address bound. The membership delivers them once it has started.

use std::collections::BTreeMap;

use fernscale_policy::Micros;

/// Maximum number of counters with undelivered updates.
const MAX_UNDELIVERED_COUNTERS: usize = 16_384;

/// For each counter key, the sum of the undelivered updates and the time at which the sum expires, in microseconds of the
/// gateway's clock.
#[derive(Default)]
pub struct UndeliveredUpdates(pub(super) BTreeMap<Box<str>, (f64, Micros)>);

impl UndeliveredUpdates {
    /// Adds an update. If the number of counters has reached its maximum, an update of another counter is dropped, as in the
    /// gossip of shared counters.
    pub fn add(&mut self, counter: &str, amount: f64, expires_at: Micros) {
        if let Some((sum, _)) = self.0.get_mut(counter) {
            *sum += amount;
        } else if self.0.len() < MAX_UNDELIVERED_COUNTERS {
            self.0.insert(counter.into(), (amount, expires_at));
        }
    }
}
