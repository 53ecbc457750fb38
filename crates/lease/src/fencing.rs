//! Where effects are taken in: the highest fence seen of each job holds, and less is refused.
//!
//! Where the effect lasts, so must what is kept here: a caller writes a [`Admit::Higher`] down before it carries out the
//! effect, and gives what it wrote to [`Guard::restore`] when it starts.

use std::collections::BTreeMap;

use crate::{FencingToken, Name, MAX_LEASES};

/// What becomes of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingDecision {
    /// By the owner that was known.
    Current,
    /// By an owner that was not known yet: its fence is to be written down first.
    Newer,
    /// Its sender is to be told: another owns the job, by this fence or a higher one.
    Stale(FencingToken),
    /// There is no room for another job.
    CapacityExceeded,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<Name, FencingToken>,
}

impl FencingGuard {
    /// What was written down before.
    pub fn restore(highest: BTreeMap<Name, FencingToken>) -> Self {
        FencingGuard { highest }
    }

    pub fn highest(&self, lease: &str) -> Option<FencingToken> {
        self.highest.get(lease).copied()
    }

    /// Somebody acts for the fleet by this fence.
    pub fn check(&mut self, lease: &Name, token: FencingToken) -> FencingDecision {
        match self.highest.get(lease).copied() {
            Some(highest) if highest > token => FencingDecision::Stale(highest),
            Some(highest) if highest == token => FencingDecision::Current,
            None if self.highest.len() >= MAX_LEASES => FencingDecision::CapacityExceeded,
            _ => {
                self.highest.insert(lease.clone(), token);
                FencingDecision::Newer
            }
        }
    }
}
