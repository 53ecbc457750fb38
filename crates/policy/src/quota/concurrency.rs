//! A tenant's quota on requests in flight: those at this gateway, and those that the shared counter reports for
//! other gateways.

use rand::Rng;

use crate::counter::{CounterReply, MAX_TOTAL_AGE};
use crate::event::{Id, Micros, Outcome};
use crate::hash::hash_position;
use crate::numeric::{update_mean, FAST_MEAN_WEIGHT};

/// Length of a window of the concurrency counter. If an update that subtracts a request is lost, the request
/// occupies a slot until the window ends.
const CONCURRENCY_WINDOW: Micros = 5_000_000;

/// An update of the shared counter of requests in flight.
pub struct ConcurrencyUpdate {
    /// The window's number.
    pub window: u64,
    /// The amount to add; negative if requests have ended.
    pub amount: f64,
    /// The time until the window ends, if requests in flight then have to be carried over to the next window.
    pub carry_over_in: Option<Micros>,
}

/// The requests of a tenant in flight at this gateway and at others.
#[derive(Default)]
pub struct ConcurrencyQuota {
    in_flight: u32,
    /// How many of this gateway's requests the current window counts, including pending updates.
    reported: f64,
    /// The amount of the pending update.
    update: Option<f64>,
    window: u64,
    /// The requests in flight at other gateways: by the last reply, and on average.
    in_flight_elsewhere: f64,
    mean_in_flight_elsewhere: f64,
    reply_count: f64,
    replied_at: Option<Micros>,
}

impl ConcurrencyQuota {
    /// Counts a request that has arrived.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that has ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether this gateway has none of the tenant's requests in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Whether an update is pending.
    pub fn is_update_pending(&self) -> bool {
        self.update.is_some()
    }

    /// Whether the counter has ever replied.
    pub fn is_known(&self) -> bool {
        self.replied_at.is_some()
    }

    /// Whether a request that is already counted as in flight keeps within the limit.
    ///
    /// `counter_responds` says whether the counter has replied recently. `assumed_within` is the answer assumed
    /// for a tenant without any reply.
    pub fn admits(
        &self,
        max_concurrency: u32,
        gateway_spread: f64,
        counter_responds: bool,
        assumed_within: bool,
        now: Micros,
    ) -> bool {
        let limit = f64::from(max_concurrency);
        let in_flight_here = f64::from(self.in_flight);
        // If few slots are spread over many gateways, only a reply received at this instant is accurate enough.
        if counter_responds && 2.0 * limit < gateway_spread {
            return self.replied_at == Some(now) && in_flight_here + self.in_flight_elsewhere <= limit;
        }
        match self.replied_at {
            Some(replied_at) if now - replied_at < MAX_TOTAL_AGE => {
                in_flight_here + self.in_flight_elsewhere <= limit
            }
            Some(_) => in_flight_here + self.mean_in_flight_elsewhere.round() <= limit,
            None => in_flight_here * gateway_spread <= limit || assumed_within,
        }
    }

    /// Prepares an update that brings the shared counter up to date, if one is due.
    ///
    /// Three kinds of updates are always made: for requests that have ended, for requests still in flight when
    /// a window begins, and for the first request in a window. Other updates are made with `call_probability`.
    pub fn prepare_update(
        &mut self,
        tenant: &Id,
        call_probability: f64,
        rng: &mut impl Rng,
        now: Micros,
    ) -> Option<ConcurrencyUpdate> {
        // If the windows of all tenants began at the same time, all their updates would be sent at that time.
        let shifted = now + hash_position(tenant, CONCURRENCY_WINDOW);
        let window = shifted / CONCURRENCY_WINDOW;
        let is_new_window = self.window != window;
        if is_new_window {
            self.window = window;
            self.reported = 0.0;
        }
        let amount = f64::from(self.in_flight) - self.reported;
        if amount == 0.0 {
            return None;
        }
        let is_required = amount < 0.0 || is_new_window || call_probability >= 1.0;
        if !is_required && rng.gen::<f64>() >= call_probability {
            return None;
        }
        self.reported += amount;
        self.update = Some(amount);
        let window_ends_in = CONCURRENCY_WINDOW - shifted % CONCURRENCY_WINDOW;
        Some(ConcurrencyUpdate { window, amount, carry_over_in: (amount > 0.0).then_some(window_ends_in) })
    }

    /// Ends the pending update and returns its amount.
    pub fn take_update(&mut self) -> Option<f64> {
        self.update.take()
    }

    /// Applies the reply to an update of `amount`.
    pub fn apply_reply(&mut self, amount: f64, reply: &CounterReply, now: Micros) {
        if reply.outcome == Outcome::Ok {
            self.replied_at = Some(now);
            // If the total is below the number in flight here, the counter has lost some requests. The next
            // update adds them again.
            self.reported = self.reported.min(reply.total.max(0.0));
            self.in_flight_elsewhere = reply.total - self.reported;
            self.reply_count += 1.0;
            // For the first replies this weight gives the plain average.
            let weight = FAST_MEAN_WEIGHT.max(1.0 / self.reply_count);
            update_mean(&mut self.mean_in_flight_elsewhere, weight, self.in_flight_elsewhere);
        } else if !reply.may_have_counted() {
            self.reported -= amount;
        }
    }
}
