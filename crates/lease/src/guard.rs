//! Where effects are taken in: the highest fence seen of each job holds, and less is refused.
//!
//! Where the effect lasts, so must what is kept here: a caller writes a [`Admit::Higher`] down before it carries out the
//! effect, and gives what it wrote to [`Guard::restore`] when it starts.

use std::collections::BTreeMap;

use crate::{Fence, Name, MOST_JOBS};

/// What becomes of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// By the owner that was known.
    Known,
    /// By an owner that was not known yet: its fence is to be written down first.
    Higher,
    /// Its sender is to be told: another owns the job, by this fence or a higher one.
    Refused(Fence),
    /// There is no room for another job.
    Full,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guard {
    highest: BTreeMap<Name, Fence>,
}

impl Guard {
    /// What was written down before.
    pub fn restore(highest: BTreeMap<Name, Fence>) -> Self {
        Guard { highest }
    }

    pub fn highest(&self, job: &str) -> Option<Fence> {
        self.highest.get(job).copied()
    }

    /// Somebody acts for the fleet by this fence.
    pub fn admit(&mut self, job: &Name, fence: Fence) -> Admit {
        match self.highest.get(job).copied() {
            Some(highest) if highest > fence => Admit::Refused(highest),
            Some(highest) if highest == fence => Admit::Known,
            None if self.highest.len() >= MOST_JOBS => Admit::Full,
            _ => {
                self.highest.insert(job.clone(), fence);
                Admit::Higher
            }
        }
    }
}
