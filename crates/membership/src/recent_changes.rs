//! The contributions that changed recently and the times of their changes, so that they can be resent if a transmission may
//! have been lost. This module stores no values and sends nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::{Micros, SECOND};

/// A contribution that has not changed for this time is sent once more, since the datagrams of both transmissions may have been
/// lost in one burst. A contribution that keeps changing is sent with each change anyway.
const QUIET_AFTER: Micros = SECOND;
/// How long a change is retained. It is longer than an unreachable member stays suspect; a member that was dead exchanges its
/// complete state when it returns.
const RETENTION: Micros = 15 * SECOND;
/// Maximum number of retained contributions. At the limit the oldest is removed.
const MAX_CONTRIBUTIONS: usize = 32_768;

/// Identifies the contribution of one instance to one counter.
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
    /// The contributions that have not been resent since their last change.
    not_resent: BTreeSet<(Micros, ContributionKey)>,
}

impl RecentChanges {
    /// Records that a contribution changes now and is queued for transmission.
    pub fn record(&mut self, now: Micros, key: ContributionKey) {
        self.remove(&key);
        self.changed_at.insert(key.clone(), now);
        self.by_time.insert((now, key.clone()));
        self.not_resent.insert((now, key));
        if self.changed_at.len() > MAX_CONTRIBUTIONS {
            self.remove_oldest();
        }
    }

    /// Takes the contributions that have stopped changing and must be resent. Each is returned once after its last change.
    pub fn take_quiet(&mut self, now: Micros) -> Vec<ContributionKey> {
        let mut quiet = Vec::new();
        while self.not_resent.first().is_some_and(|(changed, _)| changed + QUIET_AFTER <= now) {
            quiet.extend(self.not_resent.pop_first().map(|(_, key)| key));
        }
        quiet
    }

    /// The contributions that changed at this time or later.
    pub fn since(&self, from: Micros) -> impl Iterator<Item = &ContributionKey> {
        let earliest: (Micros, ContributionKey) =
            (from, ContributionKey { counter: "".into(), instance: Instance(0) });
        self.by_time.range(earliest..).map(|(_, key)| key)
    }

    /// Removes the contributions whose last change is older than `RETENTION`.
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
            self.not_resent.remove(&entry);
        }
    }
}
