//! Load reports of all gateways, disseminated by gossip. A report carries the id of its process and a rising version,
//! and only this process creates its reports. So loss, duplication and reordering of messages do no harm.
//!
//! Loads are reported in steps of a quarter. A new step is reported only when the load has clearly left the reported
//! step: a value that changed with each request would reassign servers all the time. The uses of the loads are decided
//! elsewhere.

use std::collections::BTreeMap;

pub use fernscale_shared_counter::gossip::LivePeer;
use fernscale_shared_counter::gossip::{self, Gossip, GossipConfig};
use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND};

const GOSSIP: GossipConfig = GossipConfig {
    interval: SECOND / 2,
    full_sync_interval: 10 * SECOND,
    // Limited by the size of a datagram. When a fleet starts, all reports are sent, in a few messages to each gateway.
    reports_per_message: 20,
    messages_per_peer: 3,
    // The maximum number of members.
    max_reports: 4_096,
    retention: 60 * SECOND,
};
/// Time constant of the moving average of a load.
const AVERAGING_TIME: Micros = 4 * SECOND;
/// Attempts per second of the first step.
const FIRST_STEP_RATE: f64 = 0.05;
/// Ratio between the rates of two successive steps.
const STEP_RATIO: f64 = 1.25;
/// A load is reported again when it differs from the reported step by more than this. The value is above one half, as a
/// load between two steps would otherwise be reported all the time.
const HYSTERESIS_STEPS: f64 = 0.8;
/// The highest step, about 10^9 attempts per second. A report with a higher step is not plausible.
const MAX_STEP: u8 = 108;
/// Maximum length of the names of a gateway and a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The load report of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateway's configured name.
    pub name: String,
    /// The id of the gateway's process.
    pub instance: u64,
    /// Rises with each report of the process.
    pub version: u32,
    /// The step of the load; 0 without load.
    pub step: u8,
    /// The name of the gateway's zone; empty if unknown.
    pub zone: String,
    /// Whether the gateway is shutting down, so that the other gateways assign servers without it.
    pub is_leaving: bool,
}

impl gossip::Report for LoadReport {
    type Key = u64;

    fn key(&self) -> u64 {
        self.instance
    }

    fn version(&self) -> u64 {
        self.version.into()
    }

    fn origin(&self) -> u64 {
        self.instance
    }

    fn is_plausible(&self) -> bool {
        self.step <= MAX_STEP
            && (1..=MAX_NAME_BYTES).contains(&self.name.len())
            && self.zone.len() <= MAX_NAME_BYTES
    }
}

/// A message between two gateways.
pub type Message = gossip::GossipMessage<LoadReport>;

/// The known load of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayLoad {
    /// The gateway's configured name.
    pub name: String,
    /// The gateway's attempts per second; `None` if it has not reported its load.
    pub load: Option<f64>,
    /// The name of the gateway's zone; empty if unknown.
    pub zone: String,
    /// Whether the gateway is shutting down.
    pub is_leaving: bool,
}

impl GatewayLoad {
    /// Adds the load of another process of the same gateway.
    fn add(&mut self, other: GatewayLoad) {
        self.load = match (self.load, other.load) {
            (Some(load), Some(other)) => Some(load + other),
            (load, other) => other.or(load),
        };
        self.is_leaving &= other.is_leaving;
        if self.zone.is_empty() {
            self.zone = other.zone;
        }
    }
}

/// The load reports that one gateway has received, and the gateway's own load.
pub struct LoadReports {
    local: LoadReport,
    gossip: Gossip<LoadReport>,
    /// Exponential moving average of the attempts per second.
    mean_rate: f64,
    /// The weight of the time since the start in the moving average, from 0 to 1.
    averaged_fraction: f64,
    last_recorded: Micros,
}

impl LoadReports {
    /// Load reports of this gateway, which has no load yet. The seed determines the times and the targets of gossip.
    pub fn new(peer: LivePeer, zone: &str, seed: u64, now: Micros) -> Self {
        let gossip = Gossip::new(peer.instance, GOSSIP, seed, now);
        let local = LoadReport {
            name: peer.name,
            instance: peer.instance,
            version: 1,
            step: 0,
            zone: zone.into(),
            is_leaving: false,
        };
        let mut reports =
            LoadReports { local, gossip, mean_rate: 0.0, averaged_fraction: 0.0, last_recorded: now };
        reports.publish(now);
        reports
    }

    /// Records the number of attempts since the last call.
    pub fn record_attempts(&mut self, now: Micros, attempts: u64) {
        let elapsed = now.saturating_sub(self.last_recorded);
        if elapsed == 0 {
            return;
        }
        self.last_recorded = now;
        let decay = (-(elapsed as f64) / AVERAGING_TIME as f64).exp();
        let rate = attempts as f64 * SECOND as f64 / elapsed as f64;
        self.mean_rate = self.mean_rate * decay + rate * (1.0 - decay);
        self.averaged_fraction = self.averaged_fraction * decay + (1.0 - decay);
        // Shortly after the start the average covers only the time since the start: it would otherwise rise step by
        // step.
        let step = step_of_rate(self.mean_rate / self.averaged_fraction);
        if (step - f64::from(self.local.step)).abs() > HYSTERESIS_STEPS {
            self.local.step = step.round().clamp(0.0, f64::from(MAX_STEP)) as u8;
            self.publish(now);
        }
    }

    /// Reports at once that this gateway is shutting down.
    pub fn leave(&mut self, now: Micros, live: &[LivePeer]) {
        if !self.local.is_leaving {
            self.local.is_leaving = true;
            self.publish(now);
            self.gossip.schedule_round(now);
            self.gossip.handle_timeout(now, live);
        }
    }

    fn publish(&mut self, now: Micros) {
        self.local.version += 1;
        self.gossip.publish(now, self.local.clone());
    }

    /// Handles a message from the gateway named `from`.
    pub fn handle_message(&mut self, now: Micros, from: &str, message: Message) {
        self.gossip.handle_message(now, from, message);
    }

    /// When to call `handle_timeout` next.
    pub fn next_deadline(&self) -> Micros {
        self.gossip.next_deadline()
    }

    /// Runs a gossip round if one is due. `live` lists the other live gateways.
    pub fn handle_timeout(&mut self, now: Micros, live: &[LivePeer]) {
        self.gossip.handle_timeout(now, live);
    }

    /// Returns the next message to send, with the name of the receiving gateway.
    pub fn poll_message(&mut self) -> Option<(String, Message)> {
        self.gossip.poll_message()
    }

    /// The loads of this gateway and the other live gateways, sorted by name without duplicates.
    ///
    /// Two processes with the same name, as in a hot restart or by mistake, count as one gateway with the load of both.
    pub fn gateway_loads(&self, live: &[LivePeer]) -> Vec<GatewayLoad> {
        let local = LivePeer { name: self.local.name.clone(), instance: self.local.instance };
        let mut gateways: BTreeMap<&str, GatewayLoad> = BTreeMap::new();
        for peer in live.iter().chain([&local]) {
            let load = self.load_of(peer);
            match gateways.get_mut(&*peer.name) {
                Some(gateway) => gateway.add(load),
                None => {
                    gateways.insert(&peer.name, load);
                }
            }
        }
        gateways.into_values().collect()
    }

    /// The load that a process has reported under its name.
    fn load_of(&self, peer: &LivePeer) -> GatewayLoad {
        let report = self.gossip.report(&peer.instance).filter(|report| report.name == peer.name);
        GatewayLoad {
            name: peer.name.clone(),
            load: report.map(|report| rate_of_step(report.step)),
            zone: report.map_or(String::new(), |report| report.zone.clone()),
            is_leaving: report.is_some_and(|report| report.is_leaving),
        }
    }
}

/// The fractional step of a rate in attempts per second.
fn step_of_rate(rate: f64) -> f64 {
    if rate < FIRST_STEP_RATE {
        0.0
    } else {
        1.0 + (rate / FIRST_STEP_RATE).ln() / STEP_RATIO.ln()
    }
}

/// Attempts per second of a step.
fn rate_of_step(step: u8) -> f64 {
    match step {
        0 => 0.0,
        step => FIRST_STEP_RATE * STEP_RATIO.powi(i32::from(step) - 1),
    }
}
