//! Decides whether a request gets another attempt, by the retry budget and the rules of its class. Other
//! modules choose the server.

use crate::deadline::DEADLINE_MARGIN;
use crate::event::Micros;
use crate::in_flight::InFlight;
use crate::rejection::RejectReason;
use crate::settings::{Idempotency, KeyScope, RequestClass};

/// Retries added to the budget by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Divisor of the time of an attempt for the part that is kept for another one if the server stalls.
const STALL_DIVISOR: Micros = 6;

/// What is kept beyond the usual latency.
const STALL_MARGIN: Micros = 3 * DEADLINE_MARGIN;

/// Limits the retries of this gateway to a share of its first attempts. Without the limit, the retries of a
/// fleet in trouble multiply its load.
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn full() -> Self {
        RetryBudget { tokens: MAX_SAVED_RETRIES }
    }

    /// Adds the retries that a first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether the budget holds a retry.
    pub fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry from the budget.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Checks whether a request whose attempt has failed may have another attempt.
///
/// # Errors
///
/// The reason for the final answer, if the request may not.
pub fn check(
    in_flight: &InFlight,
    class: &RequestClass,
    usual_latency: f64,
    max_attempts: u32,
    budget: &RetryBudget,
    now: Micros,
) -> Result<(), RejectReason> {
    if in_flight.may_have_run() && class.idempotency == Idempotency::NonIdempotent {
        return Err(RejectReason::NotIdempotent);
    }
    if now + usual_latency as Micros + DEADLINE_MARGIN >= in_flight.deadline {
        return Err(RejectReason::DeadlineTooClose);
    }
    if in_flight.attempts.len() >= max_attempts as usize {
        return Err(RejectReason::AttemptsExhausted);
    }
    if !budget.is_available() {
        return Err(RejectReason::RetryBudgetExhausted);
    }
    Ok(())
}

/// Whether a request that comes again under the same id, after it may have had an effect, may be forwarded. Servers that drop a
/// repeat of its key do so for a while and within their scope only, which the second request may miss.
pub fn may_run_again(class: &RequestClass) -> bool {
    class.idempotency == Idempotency::Idempotent
}

/// After what time an attempt that is made now is given up if its server pauses in the middle of the reply: when just the time
/// for another attempt is left, which takes the usual latency, or a sixth of the time in which it can be made if that is longer.
/// `None` if no other attempt may be made.
pub fn stall_limit(
    in_flight: &InFlight,
    class: &RequestClass,
    usual_latency: f64,
    max_attempts: u32,
    time_limit: Micros,
    now: Micros,
) -> Option<Micros> {
    let retry_time = match class.idempotency {
        Idempotency::Idempotent => time_limit,
        Idempotency::Keyed { retention, .. } => {
            let first = in_flight.attempts.iter().find(|attempt| attempt.may_have_run);
            let elapsed = first.map_or(0, |attempt| now.saturating_sub(attempt.sent_at));
            time_limit.min(retention.saturating_sub(elapsed))
        }
        Idempotency::NonIdempotent => return None,
    };
    let is_last = in_flight.attempts.len() + 1 >= max_attempts as usize;
    let kept = (usual_latency as Micros + STALL_MARGIN).max(retry_time / STALL_DIVISOR);
    (!is_last).then_some(retry_time.saturating_sub(kept))
}

/// Whether the client may safely send the request again after this gateway has given up.
pub fn client_may_retry(in_flight: &InFlight, class: &RequestClass) -> bool {
    match class.idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !in_flight.may_have_run(),
    }
}
