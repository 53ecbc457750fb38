//! The state of one lease that a candidate pursues: waiting, claiming or holding, and the transitions between them.
//! This module sends nothing; the candidate acts on the returned [`Due`].

use super::claim::Claim;
use crate::message::Rejection;
use crate::{FencingToken, LeaseSettings, Micros, ProcessId, MILLISECOND};

/// Backoff after the first failed claim. The backoff doubles with each failure up to [`MAX_BACKOFF`]. The actual delay
/// is random, from one to two times the backoff.
const MIN_BACKOFF: Micros = 40 * MILLISECOND;
/// Maximum backoff, before the random part.
const MAX_BACKOFF: Micros = 320 * MILLISECOND;
/// A renewal starts after the lease duration divided by this.
const RENEWAL_DIVISOR: u64 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// The candidate waits until a time before it claims the lease.
    Waiting {
        claim_at: Micros,
    },
    Claiming(Claim),
    Holding(Holding),
}

/// A held lease. Times are of the holder's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holding {
    pub token: FencingToken,
    pub since: Micros,
    pub expires_at: Micros,
    renew_at: Micros,
    renewal: Option<Claim>,
}

/// The action that is due for a pursued lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    Nothing,
    /// Start a claim.
    Claim,
    /// Resend the pending claim or renewal.
    Resend,
    /// Abandon the claim, which has timed out.
    Abandon,
    /// Start a renewal.
    Renew,
    /// Drop the lease, which has expired.
    Expire,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pursuit {
    pub state: State,
    /// Consecutive failed claims.
    pub failed_claims: u32,
    /// The highest known term.
    pub highest_term: u64,
    /// The delay before a claim of a free lease, in which candidates with a better rank claim it.
    pub start_delay: Micros,
    /// The latest holder that an acceptor has named.
    pub holder: Option<FencingToken>,
    /// The latest token whose holder has notified this gateway of its release.
    pub released: Option<FencingToken>,
    /// The term to which this holder last raised its term, because an acceptor had promised a higher term.
    raised_term: Option<u64>,
    /// Rejections since the candidate began to pursue the lease.
    pub rejections: u64,
    pub last_rejection: Option<Rejection>,
}

impl Pursuit {
    pub fn new(now: Micros, start_delay: Micros) -> Self {
        Pursuit {
            state: State::Waiting { claim_at: now + start_delay },
            failed_claims: 0,
            highest_term: 0,
            start_delay,
            holder: None,
            released: None,
            raised_term: None,
            rejections: 0,
            last_rejection: None,
        }
    }

    /// The held lease, if there is one that has not expired.
    pub fn holding(&self, now: Micros) -> Option<&Holding> {
        match &self.state {
            State::Holding(held) if now < held.expires_at => Some(held),
            _ => None,
        }
    }

    /// The pending claim or renewal.
    pub fn claim_mut(&mut self) -> Option<&mut Claim> {
        match &mut self.state {
            State::Claiming(claim) => Some(claim),
            State::Holding(held) => held.renewal.as_mut(),
            State::Waiting { .. } => None,
        }
    }

    /// The pending claim, if a reply with this token and round belongs to it.
    ///
    /// A late reply to an earlier round must not count, as the acceptor's lease started in that earlier round.
    pub fn claim_for_reply(&mut self, token: FencingToken, round: u64) -> Option<&mut Claim> {
        self.claim_mut().filter(|claim| claim.token == token && claim.round == round)
    }

    pub fn next_deadline(&self) -> Micros {
        match &self.state {
            State::Waiting { claim_at } => *claim_at,
            State::Claiming(claim) => claim.next_send.min(claim.deadline),
            State::Holding(held) => {
                let renewal = held.renewal.as_ref().map_or(held.renew_at, |renewal| renewal.next_send);
                renewal.min(held.expires_at)
            }
        }
    }

    pub fn due(&self, now: Micros) -> Due {
        match &self.state {
            State::Waiting { claim_at } if now >= *claim_at => Due::Claim,
            State::Waiting { .. } => Due::Nothing,
            State::Claiming(claim) if now >= claim.deadline => Due::Abandon,
            State::Claiming(claim) if now >= claim.next_send => Due::Resend,
            State::Claiming(_) => Due::Nothing,
            State::Holding(held) => held.due(now),
        }
    }

    /// Records a known term.
    pub fn observe_term(&mut self, term: u64) {
        self.highest_term = self.highest_term.max(term);
    }

    pub fn observe_rejection(&mut self, reason: Rejection) {
        match &reason {
            Rejection::HigherPromise(higher) => self.observe_term(higher.term),
            Rejection::HeldByOther { holder, .. } => self.holder = self.holder.max(Some(*holder)),
            _ => {}
        }
        self.rejections += 1;
        self.last_rejection = Some(reason);
    }

    /// Waits from a time for the start delay.
    pub fn wait(&mut self, from: Micros) {
        self.state = State::Waiting { claim_at: from + self.start_delay };
    }

    /// Claims again at once, with a higher term. Only the first of consecutive failures skips the backoff.
    pub fn claim_again(&mut self, now: Micros) {
        self.failed_claims = 1;
        self.state = State::Waiting { claim_at: now };
    }

    /// Waits for a random time after a failed claim, and at least for the `remaining` time of another holder's lease.
    pub fn back_off(&mut self, now: Micros, remaining: Micros, random: u64) {
        // Waiting for a holder is not a failure: after the holder ends, the backoff must not start at its maximum.
        self.failed_claims = if remaining > 0 { 0 } else { self.failed_claims + 1 };
        let backoff = (MIN_BACKOFF << self.failed_claims.saturating_sub(1).min(16)).min(MAX_BACKOFF);
        let backoff = backoff + random % backoff;
        let start_delay = if remaining > 0 { self.start_delay } else { 0 };
        self.state = State::Waiting { claim_at: now + remaining + start_delay + backoff };
    }

    /// Starts a claim with a term above the highest known term.
    pub fn start_claim(&mut self, now: Micros, process: ProcessId, round: u64, settings: LeaseSettings) {
        self.highest_term += 1;
        let token = FencingToken { term: self.highest_term, process };
        let claim = Claim::new(now, token, round, settings).with_known_holder(self.holder);
        self.state = State::Claiming(claim);
    }

    /// Starts a renewal. The renewed lease counts from now.
    ///
    /// An acceptor that has promised a higher term to another candidate rejects renewals with the old term. The loss of
    /// one more acceptor would then end the lease, although no other candidate claims it any more. To prevent this, the
    /// holder claims a term above the promised term.
    pub fn start_renewal(&mut self, now: Micros, process: ProcessId, round: u64, settings: LeaseSettings) {
        let State::Holding(held) = &mut self.state else { return };
        if self.highest_term > held.token.term && self.raised_term != Some(self.highest_term) {
            self.highest_term += 1;
            self.raised_term = Some(self.highest_term);
        }
        let token = FencingToken { term: held.token.term.max(self.highest_term), process };
        held.renewal = Some(Claim::new(now, token, round, settings));
    }

    /// Holds the lease with the token of a claim that a majority has granted. Returns whether the token is new.
    pub fn hold(
        &mut self,
        now: Micros,
        token: FencingToken,
        requested_at: Micros,
        settings: LeaseSettings,
    ) -> bool {
        let previous = match &self.state {
            State::Holding(held) => Some((held.token, held.since)),
            State::Waiting { .. } | State::Claiming(_) => None,
        };
        self.failed_claims = 0;
        self.holder = Some(token);
        self.state = State::Holding(Holding {
            token,
            since: previous.map_or(now, |(_, since)| since),
            expires_at: requested_at + settings.holder_duration(),
            renew_at: requested_at + settings.duration / RENEWAL_DIVISOR,
            renewal: None,
        });
        previous.is_none_or(|(previous, _)| previous != token)
    }
}

impl Holding {
    fn due(&self, now: Micros) -> Due {
        if now >= self.expires_at {
            return Due::Expire;
        }
        match &self.renewal {
            Some(renewal) if now < renewal.deadline && now >= renewal.next_send => Due::Resend,
            Some(renewal) if now < renewal.deadline => Due::Nothing,
            // The replies to an earlier renewal may have been lost.
            _ if now >= self.renew_at => Due::Renew,
            _ => Due::Nothing,
        }
    }
}
