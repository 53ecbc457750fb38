//! One round of claim requests to all acceptors, and the evaluation of their replies. This module sends nothing; it
//! knows the number of acceptors but not their names.

use std::collections::BTreeMap;

use crate::message::Rejection;
use crate::{majority, FencingToken, LeaseSettings, Micros, Name, MILLISECOND};

/// Interval at which a claim is resent to acceptors that have not granted it.
const RESEND_INTERVAL: Micros = 100 * MILLISECOND;
/// A claim times out after the lease duration divided by this.
const CLAIM_TIMEOUT_DIVISOR: u64 = 3;

/// A pending claim or renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Claim {
    pub token: FencingToken,
    /// Distinguishes this round from other rounds with the same token. The acceptors' leases start after the round
    /// began.
    pub round: u64,
    /// When the round began. The holder's lease starts at this time, before the first request was sent.
    pub requested_at: Micros,
    pub next_send: Micros,
    pub deadline: Micros,
    /// The acceptors that have granted the claim, with the incarnation of each grant.
    grants: BTreeMap<Name, u64>,
    /// The lowest incarnation of each acceptor whose grants count, as announced by other acceptors.
    incarnations: BTreeMap<Name, u64>,
    rejections: BTreeMap<Name, Rejection>,
    /// The holder that was known before the claim.
    known_holder: Option<FencingToken>,
}

impl Claim {
    pub fn new(now: Micros, token: FencingToken, round: u64, settings: LeaseSettings) -> Self {
        Claim {
            token,
            round,
            requested_at: now,
            next_send: now,
            deadline: now + settings.duration / CLAIM_TIMEOUT_DIVISOR,
            grants: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            rejections: BTreeMap::new(),
            known_holder: None,
        }
    }

    pub fn with_known_holder(self, known_holder: Option<FencingToken>) -> Self {
        Claim { known_holder, ..self }
    }

    pub fn record_send(&mut self, now: Micros) {
        self.next_send = now + RESEND_INTERVAL;
    }

    pub fn is_granted_by(&self, acceptor: &Name) -> bool {
        self.grants.contains_key(acceptor)
    }

    pub fn record_grant(&mut self, from: &Name, incarnation: u64, incarnations: BTreeMap<Name, u64>) {
        self.rejections.remove(from);
        self.grants.insert(from.clone(), incarnation);
        for (name, min_incarnation) in incarnations {
            let known = self.incarnations.entry(name).or_default();
            *known = (*known).max(min_incarnation);
        }
    }

    pub fn record_rejection(&mut self, from: &Name, reason: Rejection) {
        self.rejections.insert(from.clone(), reason);
    }

    /// Whether a majority has granted the claim, counting only grants of valid incarnations.
    pub fn has_majority(&self, acceptors: usize) -> bool {
        let is_valid = |(name, incarnation): &(&Name, &u64)| {
            self.incarnations.get(*name).is_none_or(|min_incarnation| **incarnation >= *min_incarnation)
        };
        self.grants.iter().filter(is_valid).count() >= majority(acceptors)
    }

    /// Whether the acceptors that have not rejected the claim are still a majority.
    pub fn can_win(&self, acceptors: usize) -> bool {
        acceptors - self.rejections.len() >= majority(acceptors)
    }

    /// Whether an acceptor has promised a higher term.
    pub fn is_outbid(&self) -> bool {
        self.rejections.values().any(|reason| matches!(reason, Rejection::HigherPromise(_)))
    }

    /// Microseconds until a majority of the acceptors may grant the lease; 0 if no holder is known.
    ///
    /// Rejections that name the token `released` as the holder do not count: the notification of the release may arrive
    /// during a claim whose rejections were sent before the release.
    ///
    /// The longest times are skipped, as a majority does not need those acceptors. An acceptor that has just started
    /// reserves a lease for a full duration, even if the process that it promised the lease to has ended. Waiting for
    /// that acceptor would leave the lease without a holder for a second duration.
    pub fn remaining_until_free(&self, acceptors: usize, released: Option<FencingToken>) -> Micros {
        let mut remaining_times = Vec::new();
        for reason in self.rejections.values() {
            if let Rejection::HeldByOther { remaining, holder } = reason {
                if Some(*holder) != released && self.is_holder(*holder, acceptors) {
                    remaining_times.push(*remaining);
                }
            }
        }
        remaining_times.sort_unstable_by(|one, other| other.cmp(one));
        remaining_times.get(acceptors - majority(acceptors)).copied().unwrap_or(0)
    }

    /// Whether a token that acceptors name in rejections is probably the token of a holder. A token that was unknown
    /// before the claim and that less than a majority names may belong to another candidate, which also abandons its
    /// claim. Waiting for that candidate's grants to expire would leave the lease without a holder for that time.
    fn is_holder(&self, token: FencingToken, acceptors: usize) -> bool {
        let names_token =
            |reason: &&Rejection| matches!(reason, Rejection::HeldByOther { holder, .. } if *holder == token);
        let naming_acceptors = self.rejections.values().filter(names_token).count();
        naming_acceptors >= majority(acceptors) || Some(token) == self.known_holder
    }
}
