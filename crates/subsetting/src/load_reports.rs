//! The loads of all gateways, disseminated by gossip. A report carries its process and a rising version, and only that process
//! makes one, so that loss, duplication and reordering do no harm.
//!
//! Loads are reported in steps of a quarter, and again only when one has clearly been left: a value that changed with each
//! request would reassign servers all the time. How loads are used is decided elsewhere.

use std::collections::BTreeMap;

pub use fernscale_shared_counter::gossip::LivePeer;
use fernscale_shared_counter::gossip::{self, Gossip, GossipConfig};
use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND};

const GOSSIP: GossipConfig = GossipConfig {
    interval: SECOND / 2,
    full_sync_interval: 10 * SECOND,
    // As many as fit into a datagram. A fleet that starts together has all reports to send, in a few messages to each gateway.
    reports_per_message: 20,
    messages_per_peer: 3,
    // As many as there are members at the most.
    max_reports: 4_096,
    retention: 60 * SECOND,
};
/// The time over which a load is averaged.
const AVERAGING_TIME: Micros = 4 * SECOND;
/// Attempts per second of the first step, and the ratio of each step to the one before.
const FIRST_STEP_RATE: f64 = 0.05;
const STEP_RATIO: f64 = 1.25;
/// A load is reported again when it is so many steps away from the reported one. Above a half, as a load between two steps
/// would otherwise be reported all the time.
const HYSTERESIS_STEPS: f64 = 0.8;
/// The highest step, some 10^9 attempts per second. A report above it is not plausible.
const MAX_STEP: u8 = 108;
/// Bytes of the name of a gateway, and of a zone, at the most.
pub const MAX_NAME_BYTES: usize = 128;

/// What a gateway reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Its configured name.
    pub name: String,
    /// Its process.
    pub instance: u64,
    /// Rises with each report of the process.
    pub version: u32,
    /// The step of its load; 0 for none.
    pub step: u8,
    /// The name of its zone; empty if unknown.
    pub zone: String,
    /// Whether it shuts down, so that the others assign servers without it.
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

/// What is known of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayLoad {
    /// Its configured name.
    pub name: String,
    /// Its attempts per second; nothing if it has not reported.
    pub load: Option<f64>,
    /// The name of its zone; empty if unknown.
    pub zone: String,
    /// Whether it shuts down.
    pub is_leaving: bool,
}

impl GatewayLoad {
    /// Adds another process of the same gateway.
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

/// The load reports that one gateway has, and its own load.
pub struct LoadReports {
    local: LoadReport,
    gossip: Gossip<LoadReport>,
    /// Attempts per second, weighted by their age.
    mean_rate: f64,
    /// The weight of the time since the start, from 0 to 1.
    averaged_fraction: f64,
    last_recorded: Micros,
}

impl LoadReports {
    /// Reports for this gateway, which has no load yet. The seed determines when and to whom gossip goes.
    pub fn new(me: LivePeer, zone: &str, seed: u64, now: Micros) -> Self {
        let gossip = Gossip::new(me.instance, GOSSIP, seed, now);
        let local = LoadReport {
            name: me.name,
            instance: me.instance,
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

    /// So many attempts were made since the last call.
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
        // Soon after the start the mean is over the time since: it would otherwise rise step by step.
        let step = step_of_rate(self.mean_rate / self.averaged_fraction);
        if (step - f64::from(self.local.step)).abs() > HYSTERESIS_STEPS {
            self.local.step = step.round().clamp(0.0, f64::from(MAX_STEP)) as u8;
            self.publish(now);
        }
    }

    /// This gateway shuts down, which is reported at once.
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

    /// A message has arrived from the gateway of a name.
    pub fn handle_message(&mut self, now: Micros, from: &str, message: Message) {
        self.gossip.handle_message(now, from, message);
    }

    /// When `handle_timeout` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.gossip.next_deadline()
    }

    /// Does what is due. `live` are the other gateways that are live members.
    pub fn handle_timeout(&mut self, now: Micros, live: &[LivePeer]) {
        self.gossip.handle_timeout(now, live);
    }

    /// The next message that is to be sent, with the name of the gateway that it goes to.
    pub fn poll_message(&mut self) -> Option<(String, Message)> {
        self.gossip.poll_message()
    }

    /// This gateway and the live others, each name once, in the order of the names.
    ///
    /// Two processes of one name, as in an upgrade or by mistake, count as one gateway that carries the load of both.
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

    /// What a process has reported of itself under its name.
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

/// The step of a number of attempts per second, as a fraction.
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
