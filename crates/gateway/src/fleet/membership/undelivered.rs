//! Updates of shared counters that wait until membership can start, while another process of this gateway has its
//! address. It only collects them; delivering them is the membership's work.

use std::collections::BTreeMap;

use fernscale_policy::Micros;

/// Counters with an update that waits.
const MAX_UNDELIVERED_COUNTERS: usize = 16_384;

/// The sum of the updates that wait, and when it expires in microseconds of the gateway's clock, by the counter's key.
#[derive(Default)]
pub struct UndeliveredUpdates(pub(super) BTreeMap<Box<str>, (f64, Micros)>);

impl UndeliveredUpdates {
    /// Adds an update. Beyond the bound an update of a counter without one is dropped, as the gossip of counters does.
    pub fn add(&mut self, counter: &str, amount: f64, expires_at: Micros) {
        if let Some((sum, _)) = self.0.get_mut(counter) {
            *sum += amount;
        } else if self.0.len() < MAX_UNDELIVERED_COUNTERS {
            self.0.insert(counter.into(), (amount, expires_at));
        }
    }
}
