//! The state of one lease that a candidate wants: waiting, claiming or holding, and the transitions between them. It sends
//! nothing: the candidate does, as [`Due`] says.

use super::claim::Claim;
use crate::message::Rejection;
use crate::{FencingToken, LeaseSettings, Micros, ProcessId, MILLISECOND};

/// Backoff after the first failed claim, and the longest. It doubles with each failure, and is spread at random over one to
/// two times its length.
const MIN_BACKOFF: Micros = 40 * MILLISECOND;
const MAX_BACKOFF: Micros = 320 * MILLISECOND;
/// A renewal begins after this fraction of the lease's duration: one in so many.
const RENEWAL_DIVISOR: u64 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// It may be claimed from a time on.
    Waiting {
        until: Micros,
    },
    Claiming(Claim),
    Holding(Holding),
}

/// A lease that is held, by the holder's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holding {
    pub token: FencingToken,
    pub since: Micros,
    pub until: Micros,
    renew_at: Micros,
    renewal: Option<Claim>,
}

/// What a pursuit needs at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    Nothing,
    /// A claim is to be started.
    Claim,
    /// The claim or the renewal under way is to be sent again.
    Resend,
    /// The claim has timed out.
    GiveUp,
    /// A renewal is to be started.
    Renew,
    /// The lease has expired.
    Expire,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pursuit {
    pub state: State,
    /// Failed claims in a row.
    pub failed_claims: u32,
    /// The highest term that was heard of.
    pub highest_term: u64,
    /// How long it waits before it claims a free lease, as others have a better rank.
    pub start_delay: Micros,
    /// The holder when an acceptor last named one.
    pub holder: Option<FencingToken>,
    /// The latest token whose holder has notified this gateway of its release.
    pub released: Option<FencingToken>,
    /// The term to which a holder last raised its own, as an acceptor had promised a higher one.
    raised_term: Option<u64>,
    /// Rejections since the lease was wanted, and the latest.
    pub rejections: u64,
    pub last_rejection: Option<Rejection>,
}

impl Pursuit {
    pub fn new(now: Micros, start_delay: Micros) -> Self {
        Pursuit {
            state: State::Waiting { until: now + start_delay },
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

    /// The lease, where it is held and has not expired.
    pub fn holding(&self, now: Micros) -> Option<&Holding> {
        match &self.state {
            State::Holding(held) if now < held.until => Some(held),
            _ => None,
        }
    }

    /// The claim or the renewal under way.
    pub fn claim_mut(&mut self) -> Option<&mut Claim> {
        match &mut self.state {
            State::Claiming(claim) => Some(claim),
            State::Holding(held) => held.renewal.as_mut(),
            State::Waiting { .. } => None,
        }
    }

    /// The claim under way, if an answer with this token and round belongs to it.
    ///
    /// Danger: an answer to an earlier round that arrives late, while the acceptor's lease counts from that round.
    pub fn answered_claim(&mut self, token: FencingToken, round: u64) -> Option<&mut Claim> {
        self.claim_mut().filter(|claim| claim.token == token && claim.round == round)
    }

    pub fn next_deadline(&self) -> Micros {
        match &self.state {
            State::Waiting { until } => *until,
            State::Claiming(claim) => claim.next_send.min(claim.until),
            State::Holding(held) => {
                let renewal = held.renewal.as_ref().map_or(held.renew_at, |renewal| renewal.next_send);
                renewal.min(held.until)
            }
        }
    }

    pub fn due(&self, now: Micros) -> Due {
        match &self.state {
            State::Waiting { until } if now >= *until => Due::Claim,
            State::Waiting { .. } => Due::Nothing,
            State::Claiming(claim) if now >= claim.until => Due::GiveUp,
            State::Claiming(claim) if now >= claim.next_send => Due::Resend,
            State::Claiming(_) => Due::Nothing,
            State::Holding(held) => held.due(now),
        }
    }

    /// Records that a term is in use.
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

    /// Waits for the start delay from a time on.
    pub fn wait(&mut self, from: Micros) {
        self.state = State::Waiting { until: from + self.start_delay };
    }

    /// Claims again at once, by a higher term. Only the first failure in a row is treated so.
    pub fn claim_again(&mut self, now: Micros) {
        self.failed_claims = 1;
        self.state = State::Waiting { until: now };
    }

    /// Waits after a failed claim for a random time, and at least as long as another holds the lease.
    pub fn back_off(&mut self, now: Micros, remaining: Micros, random: u64) {
        // To wait for a holder is no failure: once that holder is gone the backoff must not begin with the longest.
        self.failed_claims = if remaining > 0 { 0 } else { self.failed_claims + 1 };
        let backoff = (MIN_BACKOFF << self.failed_claims.saturating_sub(1).min(16)).min(MAX_BACKOFF);
        let backoff = backoff + random % backoff;
        let start_delay = if remaining > 0 { self.start_delay } else { 0 };
        self.state = State::Waiting { until: now + remaining + start_delay + backoff };
    }

    /// Starts a claim by a term that was never heard of.
    pub fn start_claim(&mut self, now: Micros, process: ProcessId, round: u64, terms: LeaseSettings) {
        self.highest_term += 1;
        let token = FencingToken { term: self.highest_term, process };
        let claim = Claim::new(now, token, round, terms).with_known_holder(self.holder);
        self.state = State::Claiming(claim);
    }

    /// Starts a renewal, from whose start the lease counts.
    ///
    /// Danger: an acceptor that has promised a higher term to another candidate renews nothing, and the loss of one more
    /// ends a lease that nobody wants. So the holder raises its term above that one, by a claim like any other.
    pub fn start_renewal(&mut self, now: Micros, process: ProcessId, round: u64, terms: LeaseSettings) {
        let State::Holding(held) = &mut self.state else { return };
        if self.highest_term > held.token.term && self.raised_term != Some(self.highest_term) {
            self.highest_term += 1;
            self.raised_term = Some(self.highest_term);
        }
        let token = FencingToken { term: held.token.term.max(self.highest_term), process };
        held.renewal = Some(Claim::new(now, token, round, terms));
    }

    /// Holds the lease by a claim that a majority has granted. Returns whether the token is new.
    pub fn hold(
        &mut self,
        now: Micros,
        token: FencingToken,
        requested_at: Micros,
        terms: LeaseSettings,
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
            until: requested_at + terms.holder_duration(),
            renew_at: requested_at + terms.duration / RENEWAL_DIVISOR,
            renewal: None,
        });
        previous.is_none_or(|(previous, _)| previous != token)
    }
}

impl Holding {
    fn due(&self, now: Micros) -> Due {
        if now >= self.until {
            return Due::Expire;
        }
        match &self.renewal {
            Some(renewal) if now < renewal.until && now >= renewal.next_send => Due::Resend,
            Some(renewal) if now < renewal.until => Due::Nothing,
            // The answers to an earlier renewal may have been lost.
            _ if now >= self.renew_at => Due::Renew,
            _ => Due::Nothing,
        }
    }
}
