//! This gateway's share of a tenant's hard ceiling. It depends neither on the shared counter nor on other
//! gateways.

use super::TENANT_IDLE_TIMEOUT;
use crate::event::Micros;
use crate::numeric::seconds;
use crate::settings::Ceiling;

/// A token bucket with this gateway's even share of the ceiling.
pub struct CeilingShare {
    tokens: f64,
    /// Units taken for requests that are still queued here.
    reserved_units: f64,
    refilled_at: Micros,
}

impl CeilingShare {
    /// Creates the share for a tenant that is new at this gateway. `share` is this process's share of the
    /// ceiling, and `age` is the time for which the process has had it.
    ///
    /// At age zero the bucket is empty, because a gateway process that was killed may have used up its share.
    pub fn new(ceiling: Option<Ceiling>, share: f64, gateway_spread: f64, age: Micros, now: Micros) -> Self {
        let rate = ceiling.map_or(0.0, |ceiling| share * ceiling.rate / gateway_spread);
        let tokens = rate * seconds(age.min(TENANT_IDLE_TIMEOUT));
        CeilingShare { tokens, reserved_units: 0.0, refilled_at: now }
    }

    /// Refills the bucket up to now.
    ///
    /// Reserved units reduce the burst. Otherwise the bucket could fill up while requests are queued, and a
    /// full burst could leave together with them.
    pub fn refill(&mut self, ceiling: Option<Ceiling>, share: f64, gateway_spread: f64, now: Micros) {
        if let Some(Ceiling { rate, burst }) = ceiling {
            let elapsed = seconds(now - self.refilled_at);
            let share = share / gateway_spread;
            self.tokens = (self.tokens + share * rate * elapsed).min(share * burst - self.reserved_units);
        }
        self.refilled_at = now;
    }

    /// Whether this share, refilled up to now, holds no less than `new`, the share of a tenant that is new at this gateway.
    pub fn covers(
        &mut self,
        mut new: CeilingShare,
        ceiling: Option<Ceiling>,
        share: f64,
        gateway_spread: f64,
        now: Micros,
    ) -> bool {
        if ceiling.is_none() {
            return true;
        }
        self.refill(ceiling, share, gateway_spread, now);
        new.refill(ceiling, share, gateway_spread, now);
        self.reserved_units == 0.0 && self.tokens >= new.tokens
    }

    /// Whether the bucket holds `units`.
    pub fn has(&self, units: f64) -> bool {
        self.tokens >= units
    }

    /// Reserves units for a request that is queued.
    pub fn reserve(&mut self, units: f64) {
        self.reserved_units += units;
        self.tokens -= units;
    }

    /// Returns the units of a request that was never forwarded.
    pub fn release(&mut self, units: f64) {
        self.reserved_units -= units;
        self.tokens += units;
    }

    /// Records that a queued request was forwarded.
    pub fn commit(&mut self, units: f64) {
        self.reserved_units -= units;
    }
}
