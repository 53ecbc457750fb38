//! The weights of a subset on their way from one assignment to the next. It does not know why they change.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Micros, SECOND};

/// The time in which weights move. A new server is met by a few requests first, and gateways that reassign at different times
/// compensate each other.
pub(super) const RAMP_TIME: Micros = 2 * SECOND;

#[derive(Clone, Copy, Debug)]
struct Ramp {
    from: f64,
    to: f64,
    /// Whether the server is dropped at the end.
    is_leaving: bool,
}

impl Ramp {
    fn weight(&self, progress: f64) -> f64 {
        self.from + (self.to - self.from) * progress
    }
}

/// The ramps of all servers of a subset, which start together.
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

    /// The servers that stay, with the weights that they are to have.
    pub fn targets(&self) -> impl Iterator<Item = (&String, f64)> {
        let staying = self.ramps.iter().filter(|(_, ramp)| !ramp.is_leaving);
        staying.map(|(name, ramp)| (name, ramp.to))
    }

    /// The weights of all servers at a time.
    pub fn weights(&self, now: Micros) -> BTreeMap<String, f64> {
        let progress = self.progress(now);
        self.ramps.iter().map(|(name, ramp)| (name.clone(), ramp.weight(progress))).collect()
    }

    /// Starts ramps from the present weights to new ones, and returns the servers that were added, in the order of the targets.
    /// Servers without a target leave if they are present. The first targets apply at once, and add none.
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

    /// Drops servers that have left, once the ramps have ended.
    pub fn remove_finished(&mut self, now: Micros) {
        if now >= self.started_at + RAMP_TIME {
            self.ramps.retain(|_, ramp| !ramp.is_leaving);
        }
    }

    /// How far the ramps have come, from 0 to 1.
    fn progress(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.started_at) as f64 / RAMP_TIME as f64).min(1.0)
    }
}
