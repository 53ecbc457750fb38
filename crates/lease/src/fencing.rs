//! Where effects arrive: the highest fencing token of each lease that was seen, by which lower ones are rejected. It never
//! knows who holds a lease now.
//!
//! Where an effect is durable the highest token must be, too: a caller writes the token of a [`FencingDecision::Newer`] down
//! before it carries the effect out, and passes what it has written to [`FencingGuard::restore`] when it starts.

use std::collections::BTreeMap;

use crate::{FencingToken, Name, MAX_LEASES};

/// What is to be done with an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingDecision {
    /// Carry it out: the token is the highest one known.
    Current,
    /// Carry it out: the token is higher than any known before, and is to be written down first.
    Newer,
    /// Reject it, and tell the sender that the lease belongs to this token or a higher one.
    Stale(FencingToken),
    /// Reject it: there is no capacity for the token of another lease.
    CapacityExceeded,
}

/// The highest tokens seen, at most [`MAX_LEASES`] of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<Name, FencingToken>,
}

impl FencingGuard {
    /// A guard with the tokens that were written down before.
    pub fn restore(highest: BTreeMap<Name, FencingToken>) -> Self {
        FencingGuard { highest }
    }

    /// The highest token seen of a lease.
    pub fn highest(&self, lease: &str) -> Option<FencingToken> {
        self.highest.get(lease).copied()
    }

    /// Decides on an effect with this token.
    pub fn check(&mut self, lease: &Name, token: FencingToken) -> FencingDecision {
        match self.highest(lease) {
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
