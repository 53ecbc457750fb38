//! What each gateway carries, told to all by rumour: every half second each tells a few others the words that it has told
//! least. A word has its gateway's run and a number that only rises, and only that gateway makes one, so that loss,
//! doubling and overtaking do no harm, and a word that comes back to who said it says nothing new.
//!
//! Loads are told in steps of a quarter, and anew only when one has clearly been left: what changes with every
//! transaction would deal the servers anew all the time.

use std::collections::BTreeMap;

pub use fernscale_shared_counter::gossip::LivePeer;
use fernscale_shared_counter::gossip::{self, Gossip, GossipConfig};
use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND};

/// A fleet that starts together has all words to tell: up to three notes to each, of as many words as go on one datagram. There are
/// as many words as members of the mesh at the most.
const GOSSIP: GossipConfig = GossipConfig {
    interval: SECOND / 2,
    full_sync_interval: 10 * SECOND,
    reports_per_message: 20,
    messages_per_peer: 3,
    max_reports: 4_096,
    retention: 60 * SECOND,
};
/// Time in which what a gateway carries is averaged: shorter, a burst would deal the servers anew.
const AVERAGING_TIME: Micros = 4 * SECOND;
/// Trips a second of the first step, and what each step has more than the one before.
const FIRST_STEP_RATE: f64 = 0.05;
const STEP_RATIO: f64 = 1.25;
/// So far from its step, in steps, a load is told anew: at half, one on the edge between two would be told all the time.
const HYSTERESIS_STEPS: f64 = 0.8;
/// The highest step, some 10^9 trips a second: a word beyond it is nonsense.
const MAX_STEP: u8 = 108;
/// The longest name of a gateway, and of a zone.
pub const MAX_NAME_BYTES: usize = 128;

/// What a gateway says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub name: String,
    pub instance: u64,
    pub version: u32,
    /// The step of its load; 0: it carries nothing.
    pub step: u8,
    /// Where it stands; empty, nobody says.
    pub zone: String,
    /// It ends, and others do without it from now on.
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

pub type Message = gossip::GossipMessage<LoadReport>;

/// A gateway with what is known of it.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayLoad {
    pub name: String,
    /// Trips a second beside others'; nothing where it has not told.
    pub load: Option<f64>,
    pub zone: String,
    pub is_leaving: bool,
}

pub struct LoadReports {
    local: LoadReport,
    gossip: Gossip<LoadReport>,
    /// Trips a second of late, and how much of the time that is averaged over has gone by.
    mean_rate: f64,
    averaged_fraction: f64,
    last_recorded: Micros,
}

impl LoadReports {
    pub fn new(local: LivePeer, zone: &str, seed: u64, now: Micros) -> Self {
        let gossip = Gossip::new(local.instance, GOSSIP, seed, now);
        let local = LoadReport {
            name: local.name,
            instance: local.instance,
            version: 1,
            step: 0,
            zone: zone.into(),
            is_leaving: false,
        };
        let mut loads =
            LoadReports { local, gossip, mean_rate: 0.0, averaged_fraction: 0.0, last_recorded: now };
        loads.publish(now);
        loads
    }

    /// So many trips were sent since the last call.
    pub fn record_attempts(&mut self, now: Micros, attempts: u64) {
        let time = now.saturating_sub(self.last_recorded);
        if time == 0 {
            return;
        }
        self.last_recorded = now;
        let kept = (-(time as f64) / AVERAGING_TIME as f64).exp();
        let rate = attempts as f64 * SECOND as f64 / time as f64;
        self.mean_rate = self.mean_rate * kept + rate * (1.0 - kept);
        self.averaged_fraction = self.averaged_fraction * kept + (1.0 - kept);
        // Soon after the start the mean of the little time there was is what is known, else each step would be passed by one.
        let mean_rate = self.mean_rate / self.averaged_fraction;
        let at = if mean_rate < FIRST_STEP_RATE {
            0.0
        } else {
            1.0 + (mean_rate / FIRST_STEP_RATE).ln() / STEP_RATIO.ln()
        };
        if (at - f64::from(self.local.step)).abs() > HYSTERESIS_STEPS {
            self.local.step = at.round().clamp(0.0, f64::from(MAX_STEP)) as u8;
            self.publish(now);
        }
    }

    /// This gateway ends: that is told at once.
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

    /// A note has come from the gateway of a name.
    pub fn handle_message(&mut self, now: Micros, from: &str, message: Message) {
        self.gossip.handle_message(now, from, message);
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.gossip.next_deadline()
    }

    /// `live`: the others that the mesh takes for live.
    pub fn handle_timeout(&mut self, now: Micros, live: &[LivePeer]) {
        self.gossip.handle_timeout(now, live);
    }

    /// The next note that is to be sent, and to whom.
    pub fn poll_message(&mut self) -> Option<(String, Message)> {
        self.gossip.poll_message()
    }

    /// This gateway and the live others, each name once, with what they say. Two runs of one name, as in an upgrade or by mistake,
    /// are one gateway that carries what both do.
    pub fn gateway_loads(&self, live: &[LivePeer]) -> Vec<GatewayLoad> {
        let own = LivePeer { name: self.local.name.clone(), instance: self.local.instance };
        let mut known: BTreeMap<&str, GatewayLoad> = BTreeMap::new();
        for LivePeer { name, instance: run } in live.iter().chain([&own]) {
            let report = self.gossip.report(run).filter(|report| report.name == *name);
            let load = report.map(|report| rate_of_step(report.step));
            let zone = report.map_or(String::new(), |report| report.zone.clone());
            let leaves = report.is_some_and(|report| report.is_leaving);
            let this = GatewayLoad { name: name.clone(), load, zone, is_leaving: leaves };
            match known.get_mut(&**name) {
                None => drop(known.insert(name, this)),
                Some(other) => {
                    other.load =
                        other.load.zip(this.load).map(|(one, two)| one + two).or(this.load).or(other.load);
                    other.is_leaving &= this.is_leaving;
                    if other.zone.is_empty() {
                        other.zone = this.zone;
                    }
                }
            }
        }
        known.into_values().collect()
    }
}

/// Trips a second of a step.
fn rate_of_step(step: u8) -> f64 {
    match step {
        0 => 0.0,
        step => FIRST_STEP_RATE * STEP_RATIO.powi(i32::from(step) - 1),
    }
}
