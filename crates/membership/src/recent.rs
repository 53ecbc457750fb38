//! Which parts of counts changed lately, and when: what is told again where a telling may have been lost.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::{Micros, SECOND};

/// A part that has not changed for so long is told once more: both of its tellings may be on datagrams that were lost in one
/// moment, and a part that changes on and on is told with each change anyway.
const QUIET: Micros = SECOND;
/// How long a change is remembered: longer than a member that can't be reached goes by the name of a suspect. Whoever was
/// taken for gone exchanges everything at its return.
const REMEMBERED: Micros = 15 * SECOND;
/// Parts that are remembered. At the bound the oldest gives way.
const MOST_PARTS: usize = 32_768;

/// What one instance has added to one counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContributionKey {
    pub counter: Arc<str>,
    pub instance: Instance,
}

/// Parts by the time of their last change.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changed: BTreeMap<ContributionKey, Micros>,
    by_time: BTreeSet<(Micros, ContributionKey)>,
    /// Those among them that have not been told again since.
    unrepeated: BTreeSet<(Micros, ContributionKey)>,
}

impl RecentChanges {
    /// A part is another one from now on, and is being told.
    pub fn changed(&mut self, now: Micros, part: ContributionKey) {
        self.forget(&part);
        self.changed.insert(part.clone(), now);
        self.by_time.insert((now, part.clone()));
        self.unrepeated.insert((now, part));
        if self.changed.len() > MOST_PARTS {
            self.forget_oldest();
        }
    }

    /// The parts that have been quiet long enough to be told again, each once for a change.
    pub fn take_quiet(&mut self, now: Micros) -> Vec<ContributionKey> {
        let mut quiet = Vec::new();
        while self.unrepeated.first().is_some_and(|(changed, _)| changed + QUIET <= now) {
            quiet.extend(self.unrepeated.pop_first().map(|(_, part)| part));
        }
        quiet
    }

    /// The parts that changed at this time or later.
    pub fn since(&self, from: Micros) -> impl Iterator<Item = &ContributionKey> {
        let earliest: (Micros, ContributionKey) =
            (from, ContributionKey { counter: "".into(), instance: Instance(0) });
        self.by_time.range(earliest..).map(|(_, part)| part)
    }

    /// Forgets what changed too long ago.
    pub fn sweep(&mut self, now: Micros) {
        while self.by_time.first().is_some_and(|(changed, _)| changed + REMEMBERED <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, part)) = self.by_time.first().cloned() {
            self.forget(&part);
        }
    }

    fn forget(&mut self, part: &ContributionKey) {
        if let Some(changed) = self.changed.remove(part) {
            let entry = (changed, part.clone());
            self.by_time.remove(&entry);
            self.unrepeated.remove(&entry);
        }
    }
}
