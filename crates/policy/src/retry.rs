//! Whether a request gets another attempt: the retry budget and the rules of the class; not which server gets it.

use crate::deadline::DEADLINE_MARGIN;
use crate::event::Micros;
use crate::in_flight::InFlight;
use crate::rejection::RejectReason;
use crate::settings::{Idempotency, KeyScope, RequestClass};

/// Retries earned by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// The most retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The retries that this gateway may make, as a share of its first attempts. Danger: without it the retries of a fleet
/// in trouble multiply its load.
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn full() -> Self {
        RetryBudget { tokens: MAX_SAVED_RETRIES }
    }

    /// Adds what a first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether a retry may be made.
    pub fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Whether a request whose attempt has failed may have another.
///
/// # Errors
///
/// The reason of the final answer, where it may not.
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

/// Whether the client may safely send the request again after this gateway gave it up.
pub fn client_may_repeat(in_flight: &InFlight, class: &RequestClass) -> bool {
    match class.idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !in_flight.may_have_run(),
    }
}
