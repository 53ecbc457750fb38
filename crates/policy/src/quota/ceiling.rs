//! This gateway's part of a tenant's hard ceiling; it depends on no counter and no other gateway.

use super::TENANT_IDLE_TIMEOUT;
use crate::event::Micros;
use crate::numeric::seconds;
use crate::settings::Ceiling;

/// A token bucket that is this gateway's even part of the ceiling.
pub struct CeilingShare {
    tokens: f64,
    /// Units taken for requests that still wait here.
    reserved_units: f64,
    refilled_at: Micros,
}

impl CeilingShare {
    /// The part of a tenant that is new here, where `share` is this process's part of the ceiling and `age` the time
    /// that it has had it for.
    ///
    /// Danger: a gateway that was killed may have used its part up, so that the part is empty at age zero.
    pub fn new(ceiling: Option<Ceiling>, share: f64, gateway_spread: f64, age: Micros, now: Micros) -> Self {
        let rate = ceiling.map_or(0.0, |ceiling| share * ceiling.rate / gateway_spread);
        let tokens = rate * seconds(age.min(TENANT_IDLE_TIMEOUT));
        CeilingShare { tokens, reserved_units: 0.0, refilled_at: now }
    }

    /// Refills it up to now.
    ///
    /// What waits here is kept out of the burst. Danger: were the part to fill up meanwhile, both could leave at once.
    pub fn refill(&mut self, ceiling: Option<Ceiling>, share: f64, gateway_spread: f64, now: Micros) {
        if let Some(Ceiling { rate, burst }) = ceiling {
            let elapsed = seconds(now - self.refilled_at);
            let share = share / gateway_spread;
            self.tokens = (self.tokens + share * rate * elapsed).min(share * burst - self.reserved_units);
        }
        self.refilled_at = now;
    }

    /// Whether so many units are left.
    pub fn has(&self, units: f64) -> bool {
        self.tokens >= units
    }

    /// Takes units for a request that waits from now on.
    pub fn reserve(&mut self, units: f64) {
        self.reserved_units += units;
        self.tokens -= units;
    }

    /// Gives back the units of a request that was never forwarded.
    pub fn release(&mut self, units: f64) {
        self.reserved_units -= units;
        self.tokens += units;
    }

    /// Notes that a request which waited has been forwarded.
    pub fn settle(&mut self, units: f64) {
        self.reserved_units -= units;
    }
}
