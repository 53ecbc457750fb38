//! A tenant's quota on requests in flight at once: those here, and what the shared counter tells of the others.

use rand::Rng;

use crate::counter::{CounterReply, MAX_TOTAL_AGE};
use crate::event::{Id, Micros, Outcome};
use crate::hash::hash_position;
use crate::numeric::{update_mean, FAST_MEAN_WEIGHT};

/// Length of a window of this counter. Danger: an update that takes a request off and is lost on its way occupies a
/// slot until the window ends.
const CONCURRENCY_WINDOW: Micros = 5_000_000;

/// An update that the shared counter is to get.
pub struct ConcurrencyUpdate {
    /// The window's number.
    pub window: u64,
    /// What is added; negative where requests have ended.
    pub amount: f64,
    /// The time until the window ends, where what is in flight has to be carried over by then.
    pub carry_over_in: Option<Micros>,
}

/// The requests of a tenant in flight, here and elsewhere.
#[derive(Default)]
pub struct ConcurrencyQuota {
    in_flight: u32,
    /// What the open window holds of them, updates under way included.
    reported: f64,
    /// The amount of the update under way.
    update: Option<f64>,
    window: u64,
    /// What the others had in flight by the last reply, and on average.
    others: f64,
    others_mean: f64,
    replies: f64,
    replied_at: Option<Micros>,
}

impl ConcurrencyQuota {
    /// A request has arrived.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// A request has ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Nothing is in flight here.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// An update is under way.
    pub fn is_update_pending(&self) -> bool {
        self.update.is_some()
    }

    /// A reply has come in the past.
    pub fn is_known(&self) -> bool {
        self.replied_at.is_some()
    }

    /// Whether one more request, already counted as in flight, keeps to the limit.
    ///
    /// `counter_responds` says that the counter has replied recently, `likely` what to assume of a tenant that nothing
    /// is known of.
    pub fn admits(
        &self,
        max_concurrency: u32,
        gateway_spread: f64,
        counter_responds: bool,
        likely: bool,
        now: Micros,
    ) -> bool {
        let limit = f64::from(max_concurrency);
        let here = f64::from(self.in_flight);
        // Where few slots are spread over many gateways only a reply of this moment is a guide.
        if counter_responds && 2.0 * limit < gateway_spread {
            return self.replied_at == Some(now) && here + self.others <= limit;
        }
        match self.replied_at {
            Some(replied_at) if now - replied_at < MAX_TOTAL_AGE => here + self.others <= limit,
            Some(_) => here + self.others_mean.round() <= limit,
            None => here * gateway_spread <= limit || likely,
        }
    }

    /// Prepares the update that brings the shared counter in step, if one is due.
    ///
    /// What has ended, what is still in flight when a window begins and the first of a window are always reported; else
    /// `call_probability` decides.
    pub fn prepare_update(
        &mut self,
        tenant: &Id,
        call_probability: f64,
        rng: &mut impl Rng,
        now: Micros,
    ) -> Option<ConcurrencyUpdate> {
        // Danger: windows of all tenants that begin at one time would bring all updates at one time.
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
        let always = amount < 0.0 || is_new_window || call_probability >= 1.0;
        if !always && rng.gen::<f64>() >= call_probability {
            return None;
        }
        self.reported += amount;
        self.update = Some(amount);
        let window_ends_in = CONCURRENCY_WINDOW - shifted % CONCURRENCY_WINDOW;
        Some(ConcurrencyUpdate { window, amount, carry_over_in: (amount > 0.0).then_some(window_ends_in) })
    }

    /// Ends the update under way, and returns its amount.
    pub fn take_update(&mut self) -> Option<f64> {
        self.update.take()
    }

    /// Takes in the reply to an update of this amount.
    pub fn apply_reply(&mut self, amount: f64, reply: &CounterReply, now: Micros) {
        if reply.outcome == Outcome::Ok {
            self.replied_at = Some(now);
            // A total below what is in flight here has lost some of it, which the next update adds again.
            self.reported = self.reported.min(reply.total.max(0.0));
            self.others = reply.total - self.reported;
            self.replies += 1.0;
            // The mean of the first replies is theirs alone.
            let weight = FAST_MEAN_WEIGHT.max(1.0 / self.replies);
            update_mean(&mut self.others_mean, weight, self.others);
        } else if !reply.may_have_counted() {
            self.reported -= amount;
        }
    }
}
