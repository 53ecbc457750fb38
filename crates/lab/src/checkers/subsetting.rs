//! Checks how the fleet spreads attempts over the servers, in windows of a few seconds. A window counts for a server that is in
//! service and warm during the whole window.
//!
//! `cover`: no such server is without attempts while the others have some. The checker also measures how even the load is and
//! how many gateways use a server; claims of the scenario bound these figures.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::Violations;
use crate::history::{Checker, Event};
use crate::model::discovery::Status;
use crate::{Micros, SECOND};

/// Long enough to average out random choices, short enough to show the effect of a change.
const WINDOW: Micros = 5 * SECOND;
/// With a smaller mean of attempts a server, a server without any proves nothing.
const MIN_MEAN_ATTEMPTS: f64 = 30.0;

/// When the checker starts to count windows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubsettingBounds {
    /// How long after the first request windows start to count.
    pub settle_in: Micros,
}

/// A server in service, and what it received in the present window.
struct WarmServer {
    warm_at: Micros,
    attempts: u64,
    gateways: BTreeSet<u32>,
}

#[derive(Default)]
struct Means {
    windows: u64,
    busiest: f64,
    worst: f64,
    deviation: f64,
    mean_gateways: f64,
    max_gateways: usize,
}

pub struct SubsettingChecker {
    bounds: SubsettingBounds,
    servers: BTreeMap<String, WarmServer>,
    first_request: Option<Micros>,
    /// When the present window began.
    window_start: Micros,
    means: Means,
    violations: Violations,
}

impl SubsettingChecker {
    pub fn new(bounds: SubsettingBounds) -> Self {
        SubsettingChecker {
            bounds,
            servers: BTreeMap::new(),
            first_request: None,
            window_start: 0,
            means: Means::default(),
            violations: Violations::default(),
        }
    }

    fn end_window(&mut self, at: Micros) {
        let Some(first_request) = self.first_request else { return };
        if at < self.window_start + WINDOW {
            return;
        }
        let is_counted = self.window_start >= first_request + self.bounds.settle_in;
        let warm = self.servers.iter().filter(|(_, server)| server.warm_at <= self.window_start);
        let warm_servers: Vec<(&String, &WarmServer)> = warm.collect();
        let mean = warm_servers.iter().map(|(_, server)| server.attempts).sum::<u64>() as f64
            / warm_servers.len().max(1) as f64;
        if is_counted && mean >= MIN_MEAN_ATTEMPTS {
            for (name, _) in warm_servers.iter().filter(|(_, server)| server.attempts == 0) {
                self.violations
                    .add(at, format!("{name} had no attempt in 5 s, the mean is {mean:.0} a server"));
            }
            let relative_load: Vec<f64> =
                warm_servers.iter().map(|(_, server)| server.attempts as f64 / mean).collect();
            let busiest = relative_load.iter().copied().fold(0.0, f64::max);
            let means = &mut self.means;
            means.windows += 1;
            means.busiest += busiest;
            means.worst = means.worst.max(busiest);
            means.deviation +=
                relative_load.iter().map(|load| (load - 1.0).abs()).sum::<f64>() / relative_load.len() as f64;
            means.mean_gateways +=
                warm_servers.iter().map(|(_, server)| server.gateways.len() as f64).sum::<f64>()
                    / warm_servers.len() as f64;
            let window_max = warm_servers.iter().map(|(_, server)| server.gateways.len()).max().unwrap_or(0);
            means.max_gateways = means.max_gateways.max(window_max);
        }
        self.window_start = at;
        for server in self.servers.values_mut() {
            (server.attempts, server.gateways) = (0, BTreeSet::new());
        }
    }
}

impl Checker for SubsettingChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        self.end_window(at);
        match event {
            Event::RequestCreated { .. } if self.first_request.is_none() => {
                (self.first_request, self.window_start) = (Some(at), at);
            }
            Event::ServerStarted { name, started, cold, .. } => {
                let warm_at = started.map_or(0, |started| started + cold.warm_up);
                self.servers
                    .insert(name.clone(), WarmServer { warm_at, attempts: 0, gateways: BTreeSet::new() });
            }
            // A draining server no longer counts from the first notification of any gateway.
            Event::EndpointNotified { name, status, .. } if *status != Status::InService => {
                self.servers.remove(name);
            }
            Event::ServerCollapsed { name } => drop(self.servers.remove(name)),
            Event::AttemptArrived { arrival } => {
                if let Some(server) = self.servers.get_mut(&arrival.server) {
                    server.attempts += 1;
                    server.gateways.insert(arrival.gateway);
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        self.end_window(at);
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        vec![("cover", &self.violations)]
    }

    fn figures(&self) -> Option<(&'static str, Value)> {
        let Means { windows, busiest, worst, deviation, mean_gateways, max_gateways } = self.means;
        let mean = |sum: f64| if windows == 0 { 0.0 } else { sum / windows as f64 };
        let shown = json!({ "windows": windows, "busiest": mean(busiest), "worst": worst, "off": mean(deviation),
            "users": mean(mean_gateways), "most_users": max_gateways });
        Some(("spread", shown))
    }
}
