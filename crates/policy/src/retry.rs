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

/// Whether the client may safely send the request again after this gateway has given up.
pub fn client_may_retry(in_flight: &InFlight, class: &RequestClass) -> bool {
    match class.idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !in_flight.may_have_run(),
    }
}
