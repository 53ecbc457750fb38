//! Adaptive concurrency limits: how many attempts may be in flight at a server and at the fleet, adjusted by
//! their latency.

use crate::event::Micros;
use crate::latency::ClassLatency;
use crate::numeric::{update_mean, FAST_MEAN_WEIGHT, SECOND, SLOW_MEAN_WEIGHT};

/// Initial limit of a server, for all gateways together: one attempt for each core.
const INITIAL_SERVER_LIMIT: f64 = 4.0;

/// Share of the initial limit for a server in slow start.
const SLOW_START_LIMIT_SHARE: f64 = 0.5;

/// Minimum limit of a server, for all gateways together: so few attempts overload no server.
const MIN_SERVER_LIMIT: f64 = 3.0;

/// Latency, as a ratio to the idle fleet's, above which a server's limit falls instead of rising.
const MAX_GROWTH_LATENCY_RATIO: f64 = 1.15;

/// Latency of all servers, as a ratio to the idle fleet's, above which the sum of limits is scaled down.
const SLOW_FLEET_LATENCY_RATIO: f64 = 1.2;

/// Maximum latency ratio of a response. Without it, one very large request would make its server look slow.
const MAX_LATENCY_RATIO: f64 = 10.0;

/// Time in microseconds within which responses form one batch.
const BATCH_DURATION: Micros = 10_000;

/// The longest pause of a gateway whose limits add up to less than one attempt, in microseconds.
const MAX_SLOT_PAUSE: f64 = SECOND as f64;

/// The attempts in flight at a group of servers, and the limit on them.
#[derive(Clone, Copy)]
pub struct Utilization {
    /// Attempts in flight.
    pub in_flight: f64,
    /// The limit on attempts in flight; it may be below 1.
    pub limit: f64,
}

/// A moving average in which the samples of one batch count as one observation.
///
/// A short stall ends all attempts in flight at once. If each counted by itself, the stall would look like a
/// long time of slow answers.
struct BatchMean {
    mean: f64,
    /// The mean before the current batch.
    mean_before_batch: f64,
    /// When the current batch began.
    batch_started_at: Micros,
    /// The sum and the number of the samples in the current batch.
    sum: f64,
    count: f64,
}

impl BatchMean {
    fn new(mean: f64) -> Self {
        BatchMean { mean, mean_before_batch: mean, batch_started_at: 0, sum: 0.0, count: 0.0 }
    }

    fn record(&mut self, weight: f64, sample: f64, now: Micros) {
        if now >= self.batch_started_at + BATCH_DURATION {
            *self = BatchMean { batch_started_at: now, ..BatchMean::new(self.mean) };
        }
        self.sum += sample;
        self.count += 1.0;
        self.mean = self.mean_before_batch;
        update_mean(&mut self.mean, weight, self.sum / self.count);
    }
}

/// The limit on this gateway's attempts at one server. It may be a fraction of an attempt.
pub struct ServerLimit {
    limit: f64,
    /// Latency as a ratio to the latency of the class on an idle fleet.
    latency_ratio: BatchMean,
    /// Latency as a ratio to the current latency of the class.
    relative_latency: f64,
}

impl Default for ServerLimit {
    fn default() -> Self {
        ServerLimit { limit: 0.0, latency_ratio: BatchMean::new(0.0), relative_latency: 0.0 }
    }
}

impl ServerLimit {
    /// Creates the limit of a server that has just started: not set yet, with the average latency.
    pub fn unset() -> Self {
        ServerLimit { limit: 0.0, latency_ratio: BatchMean::new(1.0), relative_latency: 1.0 }
    }

    /// Whether the limit is not set yet.
    pub fn is_unset(&self) -> bool {
        self.limit == 0.0
    }

    /// The current limit.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// The server's latency as a ratio to that of all servers.
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// Sets the limit, if it is not set yet.
    pub fn initialize(&mut self, fleet: &FleetLimit, warming_up: bool) {
        if self.is_unset() {
            let initial = fleet.initial_limit();
            self.limit = if warming_up { SLOW_START_LIMIT_SHARE * initial } else { initial };
        }
    }

    /// Adjusts the limit to one response, after which `in_flight` attempts remain at the server.
    ///
    /// The server is compared with its own usual speed, because a slow machine is not an overloaded one.
    pub fn record(&mut self, elapsed: f64, class: ClassLatency, in_flight: u32, min_limit: f64, now: Micros) {
        self.latency_ratio.record(FAST_MEAN_WEIGHT, bounded_ratio(elapsed, class.idle), now);
        update_mean(&mut self.relative_latency, SLOW_MEAN_WEIGHT, bounded_ratio(elapsed, class.usual));
        let change =
            (1.0 - self.latency_ratio.mean / self.relative_latency / MAX_GROWTH_LATENCY_RATIO).max(-1.0);
        // A limit that is not used must not grow.
        if change < 0.0 || f64::from(in_flight) + 2.0 > self.limit {
            self.limit = (self.limit + change * min_limit / self.limit).max(min_limit);
        }
    }
}

/// The limit on this gateway's attempts at all assigned servers together.
pub struct FleetLimit {
    gateways_per_server: f64,
    min_limit: f64,
    latency_ratio: BatchMean,
    next_slot_at: Micros,
}

impl FleetLimit {
    /// Creates the state before any response.
    pub fn new(now: Micros) -> Self {
        FleetLimit {
            gateways_per_server: 1.0,
            min_limit: 1.0,
            latency_ratio: BatchMean::new(1.0),
            next_slot_at: now,
        }
    }

    /// How many gateways use a server.
    pub fn gateways_per_server(&self) -> f64 {
        self.gateways_per_server
    }

    /// Sets how many gateways use a server.
    pub fn set_gateways_per_server(&mut self, gateways: f64) {
        self.gateways_per_server = gateways;
        self.min_limit = (MIN_SERVER_LIMIT / gateways).min(1.0);
    }

    /// The minimum limit of one server for this gateway.
    pub fn min_limit(&self) -> f64 {
        self.min_limit
    }

    /// The initial limit of a server for this gateway.
    pub fn initial_limit(&self) -> f64 {
        INITIAL_SERVER_LIMIT / self.gateways_per_server
    }

    /// Sums up servers, each given by its attempts in flight and its limit.
    ///
    /// With many gateways, each gateway sees few responses, and learns about all servers together long before
    /// it learns about each one. The sum is therefore scaled down as soon as all servers are slow.
    pub fn utilization(&self, servers: impl Iterator<Item = (u32, f64)>) -> Utilization {
        let mut count = 0usize;
        let mut in_flight = 0.0;
        let mut limits = 0.0;
        for (attempts, limit) in servers {
            count += 1;
            in_flight += f64::from(attempts);
            limits += limit;
        }
        let floor = count as f64 * self.min_limit;
        let limit = (limits * (SLOW_FLEET_LATENCY_RATIO / self.latency_ratio.mean).min(1.0)).max(floor);
        Utilization { in_flight, limit }
    }

    /// The current latency of all servers as a ratio to the idle fleet's latency; at least 1.
    pub fn slowdown(&self) -> f64 {
        self.latency_ratio.mean.max(1.0)
    }

    /// Records the latency of one response.
    pub fn record(&mut self, elapsed: f64, class: ClassLatency, now: Micros) {
        self.latency_ratio.record(FAST_MEAN_WEIGHT, bounded_ratio(elapsed, class.idle), now);
    }

    /// Starts a pause after an attempt if the limit is below 1, so that the single slot is in use for that
    /// share of the time.
    pub fn pause(&mut self, elapsed: f64, limit: f64, now: Micros) {
        let pause = elapsed * (1.0 / limit.min(1.0) - 1.0);
        self.next_slot_at = now + pause.min(MAX_SLOT_PAUSE) as Micros;
    }

    /// Whether the gateway is in such a pause.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.next_slot_at
    }
}

fn bounded_ratio(elapsed: f64, latency: f64) -> f64 {
    (elapsed / latency).min(MAX_LATENCY_RATIO)
}
