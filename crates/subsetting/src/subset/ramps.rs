//! Ramps that move the weights of a subset from one assignment to the next. The callers decide on the new weights.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Micros, SECOND};

/// The duration of a ramp. A new server gets only few requests at first, and gateways that reassign at different times
/// compensate each other.
pub(super) const RAMP_TIME: Micros = 2 * SECOND;

#[derive(Clone, Copy, Debug)]
struct Ramp {
    from: f64,
    to: f64,
    /// Whether the server is removed at the end of the ramp.
    is_leaving: bool,
}

impl Ramp {
    fn weight(&self, progress: f64) -> f64 {
        self.from + (self.to - self.from) * progress
    }
}

/// The ramps of all servers of a subset. All ramps start at the same time.
#[derive(Default)]
pub(super) struct Ramps {
    ramps: BTreeMap<String, Ramp>,
    started_at: Micros,
}

impl Ramps {
    pub fn len(&self) -> usize {
        self.ramps.len()
    }

    pub fn contains(&self, server: &str) -> bool {
        self.ramps.contains_key(server)
    }

    /// The servers that stay in the subset, with the weights at the end of their ramps.
    pub fn targets(&self) -> impl Iterator<Item = (&String, f64)> {
        let staying = self.ramps.iter().filter(|(_, ramp)| !ramp.is_leaving);
        staying.map(|(name, ramp)| (name, ramp.to))
    }

    /// The weights of all servers at a time.
    pub fn weights(&self, now: Micros) -> BTreeMap<String, f64> {
        let progress = self.progress(now);
        self.ramps.iter().map(|(name, ramp)| (name.clone(), ramp.weight(progress))).collect()
    }

    /// Starts ramps from the current weights to new weights, and returns the added servers in the order of the targets.
    /// Servers without a target ramp down if they are `present`, and are removed at once otherwise. The first targets
    /// apply at once, and no server counts as added.
    pub fn retarget<'n>(
        &mut self,
        now: Micros,
        targets: impl Iterator<Item = (&'n str, f64)>,
        present: &BTreeSet<&str>,
    ) -> Vec<String> {
        let is_first = self.ramps.is_empty();
        let mut current = self.weights(now);
        let mut ramps = BTreeMap::new();
        let mut added = Vec::new();
        for (name, to) in targets {
            let known = current.remove(name);
            if known.is_none() && !is_first {
                added.push(name.to_string());
            }
            let from = known.unwrap_or(if is_first { to } else { 0.0 });
            ramps.insert(name.to_string(), Ramp { from, to, is_leaving: false });
        }
        for (name, from) in current {
            if present.contains(&*name) && from > 0.0 {
                ramps.insert(name, Ramp { from, to: 0.0, is_leaving: true });
            }
        }
        self.ramps = ramps;
        self.started_at = now;
        added
    }

    /// Removes the leaving servers once the ramps have ended.
    pub fn remove_finished(&mut self, now: Micros) {
        if now >= self.started_at + RAMP_TIME {
            self.ramps.retain(|_, ramp| !ramp.is_leaving);
        }
    }

    /// The progress of the ramps, from 0 to 1.
    fn progress(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.started_at) as f64 / RAMP_TIME as f64).min(1.0)
    }
}
