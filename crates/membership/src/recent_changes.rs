//! Which contributions changed lately, and when: what is sent again where a transmission may have been lost. It holds no
//! values and sends nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::{Micros, SECOND};

/// A contribution that has not changed for so long is sent once more: the datagrams of both transmissions may have been lost
/// in one burst. One that keeps changing is sent with each change anyway.
const QUIET_AFTER: Micros = SECOND;
/// How long a change is retained: longer than an unreachable member stays suspect. A member that was dead exchanges its
/// complete state when it returns.
const RETENTION: Micros = 15 * SECOND;
/// Contributions that are retained. At the bound the oldest is removed.
const MAX_CONTRIBUTIONS: usize = 32_768;

/// What one instance has added to one counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContributionKey {
    pub counter: Arc<str>,
    pub instance: Instance,
}

/// Contributions by the time of their last change.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changed_at: BTreeMap<ContributionKey, Micros>,
    by_time: BTreeSet<(Micros, ContributionKey)>,
    /// Those that have not been sent again since they stopped changing.
    unrepeated: BTreeSet<(Micros, ContributionKey)>,
}

impl RecentChanges {
    /// A contribution changes now, and is being sent.
    pub fn record(&mut self, now: Micros, key: ContributionKey) {
        self.remove(&key);
        self.changed_at.insert(key.clone(), now);
        self.by_time.insert((now, key.clone()));
        self.unrepeated.insert((now, key));
        if self.changed_at.len() > MAX_CONTRIBUTIONS {
            self.remove_oldest();
        }
    }

    /// The contributions that are to be sent again as they stopped changing; each once after a change.
    pub fn take_quiet(&mut self, now: Micros) -> Vec<ContributionKey> {
        let mut quiet = Vec::new();
        while self.unrepeated.first().is_some_and(|(changed, _)| changed + QUIET_AFTER <= now) {
            quiet.extend(self.unrepeated.pop_first().map(|(_, key)| key));
        }
        quiet
    }

    /// The contributions that changed at this time or later.
    pub fn since(&self, from: Micros) -> impl Iterator<Item = &ContributionKey> {
        let earliest: (Micros, ContributionKey) =
            (from, ContributionKey { counter: "".into(), instance: Instance(0) });
        self.by_time.range(earliest..).map(|(_, key)| key)
    }

    /// Removes what changed too long ago.
    pub fn remove_expired(&mut self, now: Micros) {
        while self.by_time.first().is_some_and(|(changed, _)| changed + RETENTION <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.by_time.first().cloned() {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &ContributionKey) {
        if let Some(changed) = self.changed_at.remove(key) {
            let entry = (changed, key.clone());
            self.by_time.remove(&entry);
            self.unrepeated.remove(&entry);
        }
    }
}
