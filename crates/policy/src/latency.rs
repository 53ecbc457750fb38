//! The latency of each request class, as it usually is and as it is on an idle fleet; it decides nothing by them.

use crate::event::Micros;
use crate::numeric::{update_mean, SLOW_MEAN_WEIGHT};
use crate::settings::RequestClass;

/// Latency assumed of a class until responses tell, as a share of its objective.
const INITIAL_LATENCY_SHARE: f64 = 0.2;

/// A response counts for at most so many times the objective.
const MAX_LATENCY_OBJECTIVES: f64 = 2.0;

/// Part of the way to the usual latency that the idle latency rises with each response. Danger: rising fast, it would
/// take an overloaded fleet for an idle one.
const IDLE_LATENCY_RISE: f64 = 0.002;

/// The time that a server took, in microseconds, by the time that this gateway saw and for how much of it the answer lay unread.
///
/// Danger: a gateway that stood still would take its servers for slow. How long an answer lay unread is known less exactly than
/// the rest, so that of the times that are possible the one next to the usual latency counts.
pub fn service_time(elapsed: Micros, read_delay: Micros, usual_latency: f64) -> f64 {
    let longest = elapsed as f64;
    let shortest = elapsed.saturating_sub(read_delay) as f64;
    usual_latency.clamp(shortest, longest)
}

/// Latencies of one class in microseconds.
#[derive(Clone, Copy)]
pub struct ClassLatency {
    /// The mean of recent responses.
    pub usual: f64,
    /// The mean when the fleet is idle.
    pub idle: f64,
}

/// The latencies of all classes.
pub struct ClassLatencies {
    classes: Vec<ClassLatency>,
}

impl ClassLatencies {
    /// What is assumed before any response.
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

    /// Takes in one response, and returns the latencies with it.
    pub fn record(&mut self, class: usize, objective: Micros, elapsed: f64) -> ClassLatency {
        let latency = &mut self.classes[class];
        let longest = MAX_LATENCY_OBJECTIVES * objective as f64;
        update_mean(&mut latency.usual, SLOW_MEAN_WEIGHT, elapsed.min(longest));
        if latency.usual < latency.idle {
            latency.idle = latency.usual;
        } else {
            update_mean(&mut latency.idle, IDLE_LATENCY_RISE, latency.usual);
        }
        *latency
    }
}
