//! The fencing check at the receiver of effects. It remembers the highest fencing token seen for each lease and rejects
//! lower tokens. It does not know which process holds a lease now.
//!
//! If an effect is durable, the highest token must be durable too: on [`FencingDecision::Newer`] the caller makes the
//! token durable before it carries the effect out, and it passes the stored tokens to [`FencingGuard::restore`] at its
//! start.

use std::collections::BTreeMap;

use crate::{FencingToken, Name, MAX_LEASES};

/// The decision on an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingDecision {
    /// Carry the effect out: the token equals the highest known token.
    Current,
    /// Store the token, then carry the effect out: the token is higher than any known token.
    Newer,
    /// Reject the effect, and send the sender this higher token.
    Stale(FencingToken),
    /// Reject the effect: there is no capacity for the token of another lease.
    CapacityExceeded,
}

/// The highest token seen for each lease, for at most [`MAX_LEASES`] leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<Name, FencingToken>,
}

impl FencingGuard {
    /// A guard with the tokens that were stored before.
    pub fn restore(highest: BTreeMap<Name, FencingToken>) -> Self {
        FencingGuard { highest }
    }

    /// The highest token seen for a lease.
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
