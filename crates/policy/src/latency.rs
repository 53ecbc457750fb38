//! The latency of each request class: its usual latency, and its latency on an idle fleet.

use crate::event::Micros;
use crate::numeric::{update_mean, SLOW_MEAN_WEIGHT};
use crate::settings::RequestClass;

/// Latency assumed for a class before any response, as a share of its latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.2;

/// Maximum latency with which a response counts, as a multiple of the objective.
const MAX_LATENCY_OBJECTIVES: f64 = 2.0;

/// Weight with which each response raises the idle latency towards the usual latency. If it rose fast, an
/// overloaded fleet would look idle.
const IDLE_LATENCY_RISE: f64 = 0.002;

/// Estimates the time that a server took, in microseconds. `elapsed` is the time that this gateway saw, and
/// `read_delay` is the time for which the answer lay unread here.
///
/// If `elapsed` counted alone, a gateway that stalled would take its servers for slow. The read delay is less
/// exact than the elapsed time, so the function returns the possible time that is closest to the usual latency.
pub fn service_time(elapsed: Micros, read_delay: Micros, usual_latency: f64) -> f64 {
    let max_latency = elapsed as f64;
    let min_latency = elapsed.saturating_sub(read_delay) as f64;
    usual_latency.clamp(min_latency, max_latency)
}

/// The latencies of one class, in microseconds.
#[derive(Clone, Copy)]
pub struct ClassLatency {
    /// The mean latency of recent responses.
    pub usual: f64,
    /// The mean latency when the fleet is idle.
    pub idle: f64,
}

/// The latencies of all classes.
pub struct ClassLatencies {
    classes: Vec<ClassLatency>,
}

impl ClassLatencies {
    /// Creates the latencies that are assumed before any response.
    pub fn new(classes: &[RequestClass]) -> Self {
        let assumed = |class: &RequestClass| ClassLatency {
            usual: INITIAL_LATENCY_SHARE * class.latency_objective as f64,
            idle: f64::INFINITY,
        };
        ClassLatencies { classes: classes.iter().map(assumed).collect() }
    }

    /// The usual latency of a class, in microseconds.
    pub fn usual(&self, class: usize) -> f64 {
        self.classes[class].usual
    }

    /// Records one response, and returns the updated latencies.
    pub fn record(&mut self, class: usize, objective: Micros, elapsed: f64) -> ClassLatency {
        let latency = &mut self.classes[class];
        let max_latency = MAX_LATENCY_OBJECTIVES * objective as f64;
        update_mean(&mut latency.usual, SLOW_MEAN_WEIGHT, elapsed.min(max_latency));
        if latency.usual < latency.idle {
            latency.idle = latency.usual;
        } else {
            update_mean(&mut latency.idle, IDLE_LATENCY_RISE, latency.usual);
        }
        *latency
    }
}
