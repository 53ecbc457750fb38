//! Slow start: limits the attempts at a server that has just started, so that all gateways together don't make
//! it collapse.

use crate::event::Micros;
use crate::numeric::{seconds, update_mean, FAST_MEAN_WEIGHT, SECOND};
use crate::settings::Settings;

/// Share of a server's slow-start budget that gateways use. The rest is a margin for what they can't see of
/// each other.
const BUDGET_USE_SHARE: f64 = 0.4;

/// Minimum number of attempts that all gateways together send to a server in an overload window.
const MIN_ATTEMPTS_PER_WINDOW: f64 = 0.5;

/// How often the load of warm servers is measured.
const MEASUREMENT_INTERVAL: Micros = SECOND;

/// The attempts that one server in slow start may be sent, accumulated over time.
#[derive(Default)]
pub struct SlowStartBudget {
    attempts: f64,
    updated_at: Micros,
}

impl SlowStartBudget {
    /// Creates a budget that holds `attempts` now.
    pub fn new(attempts: f64, now: Micros) -> Self {
        SlowStartBudget { attempts, updated_at: now }
    }
}

/// The attempts per second that this gateway sends to a warm server, measured once a second.
pub struct WarmLoad {
    attempts_per_second: f64,
    sent: u32,
    measured_at: Micros,
}

impl WarmLoad {
    /// Creates a state without any measurement.
    pub fn new(now: Micros) -> Self {
        WarmLoad { attempts_per_second: 0.0, sent: 0, measured_at: now }
    }

    /// Counts an attempt at a warm server.
    pub fn count_attempt(&mut self) {
        self.sent += 1;
    }

    /// When the next measurement is due.
    pub fn next_measurement(&self) -> Micros {
        self.measured_at + MEASUREMENT_INTERVAL
    }

    /// Ends a measurement over `warm_servers`.
    ///
    /// If no server is warm, the last figure is kept: a figure of 0 would starve all servers.
    pub fn measure(&mut self, warm_servers: usize, now: Micros) {
        if warm_servers > 0 {
            let sample = f64::from(self.sent) / warm_servers as f64;
            let weight = if self.attempts_per_second == 0.0 { 1.0 } else { FAST_MEAN_WEIGHT };
            update_mean(&mut self.attempts_per_second, weight, sample);
        }
        self.measured_at = now;
        self.sent = 0;
    }
}

/// The rules of slow start at one moment.
pub struct SlowStartRules<'a> {
    /// The settings of slow start.
    pub settings: &'a Settings,
    /// The measured load of a warm server.
    pub warm_load: &'a WarmLoad,
    /// This process's share of the gateway's slow-start budgets.
    pub process_share: f64,
    /// How many gateways use a server.
    pub gateways_per_server: f64,
    /// The current time.
    pub now: Micros,
}

impl SlowStartRules<'_> {
    /// The share of its full capacity that a server certainly has, by the time since its start.
    pub fn capacity_share(&self, started_at: Option<Micros>) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let duration = self.settings.slow_start_duration.max(1) as f64;
        let progress = self.now.saturating_sub(started_at) as f64 / duration;
        let initial = self.settings.slow_start_share;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// Whether a server has its full capacity.
    pub fn is_warm(&self, started_at: Option<Micros>) -> bool {
        self.capacity_share(started_at) >= 1.0
    }

    /// The attempts that a server in slow start may be sent now. Below 1 the server gets none yet.
    ///
    /// Each gateway keeps to its share of the server's certain capacity. With many gateways this share is less
    /// than one attempt at a time.
    pub fn budget(&self, started_at: Option<Micros>, saved: &SlowStartBudget) -> f64 {
        let window = self.settings.overload_window;
        let capacity = self.capacity_share(started_at) * self.warm_load.attempts_per_second * seconds(window);
        let per_window = self.process_share
            * (BUDGET_USE_SHARE * self.settings.overload_factor * capacity)
                .max(MIN_ATTEMPTS_PER_WINDOW / self.gateways_per_server);
        let windows = (self.now - saved.updated_at) as f64 / window.max(1) as f64;
        (saved.attempts + per_window * windows).min(per_window.max(1.0))
    }
}

/// Whether a server with this start time is in slow start, according to the endpoint list alone.
pub fn is_warming_up(started_at: Option<Micros>, settings: &Settings, now: Micros) -> bool {
    started_at.is_some_and(|at| now < at + settings.slow_start_duration)
}
