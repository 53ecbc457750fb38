//! Scenario files: a fleet, a load, a timeline of faults, and claims on the figures at the end. `faults` has what can be
//! broken, `check` whether the parts fit each other, `lower` what the models are made from.

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
    Unread { path: String, why: std::io::Error },
    #[error("'{path}': {why}")]
    Unclear { path: String, why: String },
    #[error("'{path}': {place}: {why}")]
    Wrong { path: String, place: String, why: String },
}

/// A time with its unit.
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
    /// What it is to show, for the report.
    pub about: String,
    pub lasts: Time,
    /// Until then nothing counts for the figures; the rules hold from the first moment.
    #[serde(default)]
    pub settle_in: Time,
    #[serde(default = "one")]
    pub seed: u64,
    pub fleet: Fleet,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<Counter>,
    #[serde(default)]
    pub slack: Slack,
    pub lanes: Vec<Lane>,
    pub plans: Vec<Plan>,
    pub customers: Vec<Customers>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What storms are drawn from.
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
    #[serde(default = "two")]
    pub cores: u32,
    #[serde(default = "whole")]
    pub speed: f64,
    #[serde(default = "queue")]
    pub queue: usize,
    #[serde(default = "connections")]
    pub connections: usize,
    #[serde(default = "dial_work")]
    pub dial_work: Time,
    #[serde(default = "idle")]
    pub idle: Time,
    #[serde(default = "yes")]
    pub cancels: bool,
    #[serde(default)]
    pub reports: bool,
    /// The answer tells the true units, from half to one and a half of the guess.
    #[serde(default)]
    pub settles: bool,
    #[serde(default = "one_u32")]
    pub zones: u32,
    #[serde(default = "one_u32")]
    pub cells: u32,
    /// The gateways speak with each other.
    #[serde(default)]
    pub mesh: bool,
    /// In which all must see the same members, once nothing is broken any more.
    #[serde(default = "agree_within")]
    pub agree_within: Time,
    /// How unevenly each gateway's even clock runs, in the order of the gateways; true where none is named.
    #[serde(default)]
    pub paces: Vec<f64>,
    /// Discovery answers only when it is asked, and at once; absent, it pushes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on_request: Option<OnRequest>,
    /// Jobs that one gateway at a time does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub owners: Option<Owners>,
    /// Servers are dealt out among the gateways.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub subsets: Option<Subsets>,
    /// Gateways tell each other what boxes are like. With several zones they stand in them by turns, as boxes do.
    #[serde(default)]
    pub signals: bool,
    /// The gateways log each request and attempt, which is kept in the history.
    #[serde(default)]
    pub debug_log: bool,
    /// Clients send on the connections that stay open until a gateway that was told to end is killed, which is when the
    /// longest deadline and 0.7 s are over; what the kill finds unanswered is lost. Without, they leave it before.
    #[serde(default)]
    pub clients_stay: bool,
    /// Gateways that are not there at first.
    #[serde(default)]
    pub absent: Vec<u32>,
    /// Gateways that go by the name of the first of them, by mistake.
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
    #[serde(default = "trips")]
    pub trips: u32,
    #[serde(default = "longest_wait")]
    pub longest_wait: Time,
    #[serde(default = "sockets")]
    pub sockets: u32,
    #[serde(default = "memory")]
    pub memory_mb: u32,
}

/// A discovery that bears few calls. Gateways are taken for told of a change so long after it, whether they asked or not.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct OnRequest {
    pub within: Time,
    /// Calls a second; more are turned away.
    pub capacity: f64,
}

/// Jobs of the fleet, and the stand-in that takes in what their owners do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Owners {
    pub voters: Vec<u32>,
    #[serde(default = "lease")]
    pub lease: Time,
    /// How unevenly any two of their clocks run at the most, as they are told.
    #[serde(default = "drift")]
    pub drift: f64,
    #[serde(default)]
    pub jobs: Vec<String>,
    /// Between two effects of one job.
    #[serde(default = "every")]
    pub every: Time,
    /// Between the look at the lease and the effect.
    #[serde(default = "every")]
    pub pause: Time,
    /// The gateways ask discovery for each other.
    #[serde(default)]
    pub list: bool,
    /// Where effects are taken in, less than the highest term is refused.
    #[serde(default = "yes")]
    pub fenced: bool,
}

/// How boxes are dealt out; and how the work comes to them is judged.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Subsets {
    /// Boxes of a gateway, and gateways of a box, at the least.
    pub least: u32,
    /// Gateways stand in the zones by turns, as boxes do, and have their own first.
    #[serde(default)]
    pub zones: bool,
    /// Without, the work is judged all the same, and each gateway takes a row by its number.
    #[serde(default = "yes")]
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

/// What a busy machine may do to times, and when a run says nothing.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Slack {
    /// On every bound of the rules that is a time.
    pub time: Time,
    /// The load may be so late, in 99 of 100 transactions; beyond it the run is void.
    pub behind: Time,
}

impl Default for Slack {
    fn default() -> Self {
        Slack { time: Time(250 * MILLISECOND), behind: Time(25 * MILLISECOND) }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Redoable,
    Labelled,
    Irreversible,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Who {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Lane {
    pub name: String,
    pub repeat: Repeat,
    #[serde(default)]
    pub group: Who,
    #[serde(default)]
    pub memory: Time,
    pub agreed: Time,
    pub hard_stop: Time,
    #[serde(default = "whole")]
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
    #[serde(default = "whole")]
    pub price: f64,
    #[serde(default = "whole")]
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
pub struct Customers {
    pub name: String,
    pub plan: String,
    pub count: u32,
    /// Units offered by each, as a multiple of the plan's rate.
    pub load: f64,
    #[serde(default = "one_u32")]
    pub spread: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_share: Option<f64>,
    /// Lanes and their weights; none: all alike.
    #[serde(default)]
    pub lanes: std::collections::BTreeMap<String, f64>,
    #[serde(default = "units")]
    pub units: (u32, u32),
    #[serde(default)]
    pub once: bool,
    #[serde(default)]
    pub again: f64,
    #[serde(default = "two")]
    pub most_again: u32,
    /// Share of the transactions whose client closes its connection within the agreed time.
    #[serde(default)]
    pub leaves: f64,
}

/// A bound on a figure of the report, by its place there as in `transactions.lost`.
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

fn one() -> u64 {
    1
}
fn one_u32() -> u32 {
    1
}
fn two() -> u32 {
    2
}
fn whole() -> f64 {
    1.0
}
fn yes() -> bool {
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
fn trips() -> u32 {
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
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|why| Error::Unread { path: shown.clone(), why })?;
    parse(&shown, &text)
}

/// Reads a scenario's text, and checks that its parts fit each other.
pub fn parse(path: &str, text: &str) -> Result<Scenario, Error> {
    let scenario: Scenario = toml::from_str(text).map_err(|why| {
        let at = why.span().map_or(0, |span| span.start).min(text.len());
        let line = text[..at].matches('\n').count() + 1;
        Error::Unclear { path: path.into(), why: format!("line {line}: {}", why.message()) }
    })?;
    scenario.check(path, text)?;
    Ok(scenario)
}
