//! Scenario files: a fleet, a load, a timeline of faults, and claims on the figures at the end. `faults` defines the faults,
//! `check` checks that the parts are consistent, `lower` converts a scenario to the specifications of the models.

mod check;
mod faults;
mod lower;

use std::path::Path;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub use faults::*;

use crate::fault_schedule::FaultDistribution;
use crate::{Micros, MILLISECOND, SECOND};

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("'{path}' can't be read: {why}")]
    ReadError { path: String, why: std::io::Error },
    #[error("'{path}': {why}")]
    ParseError { path: String, why: String },
    #[error("'{path}': {place}: {why}")]
    Invalid { path: String, place: String, why: String },
}

/// A duration, written with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub Micros);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let time = humantime::parse_duration(&text).map_err(serde::de::Error::custom)?;
        Ok(Time(time.as_micros() as Micros))
    }
}

impl Serialize for Time {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        humantime::format_duration(std::time::Duration::from_micros(self.0)).to_string().serialize(to)
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    pub name: String,
    /// What the scenario demonstrates, for the report.
    pub about: String,
    pub lasts: Time,
    /// Requests before this time do not count in the figures; the rules hold from the start.
    #[serde(default)]
    pub settle_in: Time,
    #[serde(default = "one_u64")]
    pub seed: u64,
    pub fleet: Fleet,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<Counter>,
    #[serde(default)]
    pub slack: Slack,
    pub lanes: Vec<ClassSpec>,
    pub plans: Vec<Plan>,
    pub customers: Vec<TenantSpec>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Distribution from which random fault schedules are drawn.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub storm: Option<FaultDistribution>,
    #[serde(default)]
    pub claims: Vec<Claim>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    pub gateways: u32,
    pub boxes: u32,
    #[serde(default = "two_u32")]
    pub cores: u32,
    #[serde(default = "one_f64")]
    pub speed: f64,
    #[serde(default = "queue")]
    pub queue: usize,
    #[serde(default = "connections")]
    pub connections: usize,
    #[serde(default = "dial_work")]
    pub dial_work: Time,
    #[serde(default = "idle")]
    pub idle: Time,
    #[serde(default = "enabled")]
    pub cancels: bool,
    #[serde(default)]
    pub reports: bool,
    /// Answers report the true units, from half to one and a half of the estimate.
    #[serde(default)]
    pub settles: bool,
    #[serde(default = "one_u32")]
    pub zones: u32,
    #[serde(default = "one_u32")]
    pub cells: u32,
    /// The gateways communicate with each other.
    #[serde(default)]
    pub mesh: bool,
    /// When no fault is active any more, all gateways must see the same members within this time.
    #[serde(default = "agree_within")]
    pub agree_within: Time,
    /// Pace of each gateway's monotonic clock, in the order of the gateways; 1 for gateways that are not named.
    #[serde(default)]
    pub paces: Vec<f64>,
    /// Discovery answers only polls, and immediately; if absent, it pushes changes to watches.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on_request: Option<OnRequest>,
    /// Leases that one gateway at a time holds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub owners: Option<Owners>,
    /// Each gateway uses a subset of the servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub subsets: Option<Subsets>,
    /// Gateways share load reports about servers. With several zones, gateways are assigned to zones round-robin, as servers are.
    #[serde(default)]
    pub signals: bool,
    /// The gateways log each request and attempt; the history contains these records.
    #[serde(default)]
    pub debug_log: bool,
    /// Clients keep sending on their open connections to a gateway that shuts down, until the gateway is killed after the longest
    /// deadline and 0.7 s; requests without an answer are lost then. If false, clients disconnect before.
    #[serde(default)]
    pub clients_stay: bool,
    /// Gateways that do not run at the start.
    #[serde(default)]
    pub absent: Vec<u32>,
    /// Gateways that are all configured with the name of the first of them, by mistake.
    #[serde(default)]
    pub same_name: Vec<u32>,
    #[serde(default = "grace")]
    pub grace: Time,
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    #[serde(default = "warm_up")]
    pub warm_up: Time,
    #[serde(default = "fall_multiple")]
    pub fall_multiple: f64,
    #[serde(default = "fall_window")]
    pub fall_window: Time,
    #[serde(default = "attempts")]
    pub trips: u32,
    #[serde(default = "longest_wait")]
    pub longest_wait: Time,
    #[serde(default = "sockets")]
    pub sockets: u32,
    #[serde(default = "memory")]
    pub memory_mb: u32,
}

/// Discovery with a limited number of calls. A gateway counts as notified of a change after `within`, whether it polled or not.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct OnRequest {
    pub within: Time,
    /// Calls a second; further calls are rejected.
    pub capacity: f64,
}

/// Leases of the fleet, and the stand-in that receives the effects of their holders.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Owners {
    pub voters: Vec<u32>,
    #[serde(default = "lease")]
    pub lease: Time,
    /// Maximum drift between any two of the gateways' clocks, as configured.
    #[serde(default = "drift")]
    pub drift: f64,
    #[serde(default)]
    pub jobs: Vec<String>,
    /// Time between two effects of one lease.
    #[serde(default = "every")]
    pub every: Time,
    /// Time between the check of the lease and the effect.
    #[serde(default = "every")]
    pub pause: Time,
    /// The gateways find each other through discovery.
    #[serde(default)]
    pub list: bool,
    /// The stand-in that receives effects refuses terms below the highest (fencing check).
    #[serde(default = "enabled")]
    pub fenced: bool,
}

/// Subsetting of the servers, and the check of how the load spreads over them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Subsets {
    /// Minimum number of servers of a gateway, and of gateways of a server.
    pub least: u32,
    /// Gateways are assigned to zones round-robin, as servers are, and prefer servers of their own zone.
    #[serde(default)]
    pub zones: bool,
    /// If false, the load is checked all the same, and each gateway uses servers by its number.
    #[serde(default = "enabled")]
    pub on: bool,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Counter {
    pub capacity: f64,
    #[serde(default = "latency")]
    pub latency: Time,
    #[serde(default = "counter_queue")]
    pub queue: f64,
    #[serde(default = "call_wait")]
    pub wait: Time,
}

/// Allowances for a busy machine, and the limit beyond which a run is void.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Slack {
    /// Added to every bound of the rules that is a time.
    pub time: Time,
    /// Allowed lateness of the load for 99 of 100 requests; beyond it the run is void.
    pub behind: Time,
}

impl Default for Slack {
    fn default() -> Self {
        Slack { time: Time(250 * MILLISECOND), behind: Time(25 * MILLISECOND) }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    Redoable,
    Labelled,
    Irreversible,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum KeyGroup {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClassSpec {
    pub name: String,
    pub repeat: Repeatability,
    #[serde(default)]
    pub group: KeyGroup,
    #[serde(default)]
    pub memory: Time,
    pub agreed: Time,
    pub hard_stop: Time,
    #[serde(default = "one_f64")]
    pub importance: f64,
    /// Mean work of one unit.
    pub work: Time,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    pub name: String,
    pub rate: f64,
    pub burst: f64,
    #[serde(default = "one_f64")]
    pub price: f64,
    #[serde(default = "one_f64")]
    pub over_cost: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ceiling: Option<Ceiling>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ceiling {
    pub rate: f64,
    pub burst: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TenantSpec {
    pub name: String,
    pub plan: String,
    pub count: u32,
    /// Units offered by each tenant, as a multiple of the plan's rate.
    pub load: f64,
    #[serde(default = "one_u32")]
    pub spread: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_share: Option<f64>,
    /// Request classes and their weights; equal weights for all classes if empty.
    #[serde(default)]
    pub lanes: std::collections::BTreeMap<String, f64>,
    #[serde(default = "units")]
    pub units: (u32, u32),
    #[serde(default)]
    pub once: bool,
    #[serde(default)]
    pub again: f64,
    #[serde(default = "two_u32")]
    pub most_again: u32,
    /// Share of the requests whose client disconnects within the latency objective.
    #[serde(default)]
    pub leaves: f64,
}

/// A bound on a figure of the report, which is named by its path, as in `transactions.lost`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    pub name: String,
    pub figure: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

fn one_u64() -> u64 {
    1
}
fn one_u32() -> u32 {
    1
}
fn two_u32() -> u32 {
    2
}
fn one_f64() -> f64 {
    1.0
}
fn enabled() -> bool {
    true
}
fn queue() -> usize {
    20
}
fn connections() -> usize {
    200
}
fn dial_work() -> Time {
    Time(500)
}
fn idle() -> Time {
    Time(15 * SECOND)
}
fn lease() -> Time {
    Time(SECOND)
}
fn drift() -> f64 {
    0.01
}
fn every() -> Time {
    Time(20 * MILLISECOND)
}
fn agree_within() -> Time {
    Time(10 * SECOND)
}
fn grace() -> Time {
    Time(500 * MILLISECOND)
}
fn cold_share() -> f64 {
    0.2
}
fn warm_up() -> Time {
    Time(8 * SECOND)
}
fn fall_multiple() -> f64 {
    3.0
}
fn fall_window() -> Time {
    Time(1500 * MILLISECOND)
}
fn attempts() -> u32 {
    3
}
fn longest_wait() -> Time {
    Time(500 * MILLISECOND)
}
fn sockets() -> u32 {
    1024
}
fn memory() -> u32 {
    192
}
fn latency() -> Time {
    Time(MILLISECOND)
}
fn counter_queue() -> f64 {
    200.0
}
fn call_wait() -> Time {
    Time(50 * MILLISECOND)
}
fn units() -> (u32, u32) {
    (1, 1)
}

pub fn read(path: &Path) -> Result<Scenario, Error> {
    let path_text = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|why| Error::ReadError { path: path_text.clone(), why })?;
    parse(&path_text, &text)
}

/// Parses a scenario's text, and checks that its parts are consistent.
pub fn parse(path: &str, text: &str) -> Result<Scenario, Error> {
    let scenario: Scenario = toml::from_str(text).map_err(|why| {
        let at = why.span().map_or(0, |span| span.start).min(text.len());
        let line = text[..at].matches('\n').count() + 1;
        Error::ParseError { path: path.into(), why: format!("line {line}: {}", why.message()) }
    })?;
    scenario.check(path, text)?;
    Ok(scenario)
}
