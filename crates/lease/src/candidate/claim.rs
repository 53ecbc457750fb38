//! One round of asking all acceptors for a lease, and what its answers amount to. It sends nothing and does not know who
//! the acceptors are, only how many.

use std::collections::BTreeMap;

use crate::message::Rejection;
use crate::{majority, FencingToken, LeaseSettings, Micros, Name, MILLISECOND};

/// Interval at which acceptors that have not granted a claim are asked again.
const RESEND_INTERVAL: Micros = 100 * MILLISECOND;
/// A claim is given up after this fraction of the lease's duration: one in so many.
const TIMEOUT_DIVISOR: u64 = 3;

/// A claim or a renewal under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Claim {
    pub token: FencingToken,
    /// Distinguishes this round from others with the same token. The acceptors' leases count from after it began.
    pub round: u64,
    /// The holder's lease counts from before it asked.
    pub requested_at: Micros,
    pub next_send: Micros,
    pub until: Micros,
    /// Who has granted it, in which incarnation.
    grants: BTreeMap<Name, u64>,
    /// The lowest incarnation of each acceptor that counts, by what other acceptors have announced.
    incarnations: BTreeMap<Name, u64>,
    rejections: BTreeMap<Name, Rejection>,
    /// The holder that was known before the claim.
    known_holder: Option<FencingToken>,
}

impl Claim {
    pub fn new(now: Micros, token: FencingToken, round: u64, terms: LeaseSettings) -> Self {
        Claim {
            token,
            round,
            requested_at: now,
            next_send: now,
            until: now + terms.duration / TIMEOUT_DIVISOR,
            grants: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            rejections: BTreeMap::new(),
            known_holder: None,
        }
    }

    pub fn with_known_holder(self, known_holder: Option<FencingToken>) -> Self {
        Claim { known_holder, ..self }
    }

    pub fn sent(&mut self, now: Micros) {
        self.next_send = now + RESEND_INTERVAL;
    }

    pub fn is_granted_by(&self, acceptor: &Name) -> bool {
        self.grants.contains_key(acceptor)
    }

    pub fn record_grant(&mut self, from: &Name, incarnation: u64, incarnations: BTreeMap<Name, u64>) {
        self.rejections.remove(from);
        self.grants.insert(from.clone(), incarnation);
        for (name, lowest) in incarnations {
            let known = self.incarnations.entry(name).or_default();
            *known = (*known).max(lowest);
        }
    }

    pub fn record_rejection(&mut self, from: &Name, reason: Rejection) {
        self.rejections.insert(from.clone(), reason);
    }

    /// Whether a majority has granted the claim, by grants of incarnations that count.
    pub fn has_majority(&self, acceptors: usize) -> bool {
        let counts = |(name, incarnation): &(&Name, &u64)| {
            self.incarnations.get(*name).is_none_or(|lowest| **incarnation >= *lowest)
        };
        self.grants.iter().filter(counts).count() >= majority(acceptors)
    }

    /// Whether a majority has not rejected the claim yet.
    pub fn can_win(&self, acceptors: usize) -> bool {
        acceptors - self.rejections.len() >= majority(acceptors)
    }

    /// Whether an acceptor has promised a higher term.
    pub fn is_outbid(&self) -> bool {
        self.rejections.values().any(|reason| matches!(reason, Rejection::HigherPromise(_)))
    }

    /// How long it takes until a majority can be free, in microseconds; 0 where no holder is known.
    ///
    /// Danger: the notification that a lease was released arrives while a claim is under way whose rejections are from
    /// before it; so rejections in favour of the token `released` do not count.
    ///
    /// Danger: one acceptor that has started lately, and holds for the duration of a lease what it had promised to a
    /// process that is gone, would leave the lease to nobody for a second duration; so the longest times are passed over.
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

    /// Whether a token that acceptors name is probably that of a holder. One that fewer than a majority name, and that was
    /// not known before, may be another candidate that gives up as this one does: to wait for its lease to expire would
    /// leave the lease to nobody for that long.
    fn is_holder(&self, token: FencingToken, acceptors: usize) -> bool {
        let names_it =
            |reason: &&Rejection| matches!(reason, Rejection::HeldByOther { holder, .. } if *holder == token);
        let named_by = self.rejections.values().filter(names_it).count();
        named_by >= majority(acceptors) || Some(token) == self.known_holder
    }
}
