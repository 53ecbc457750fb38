//! `fernscale.toml`: the configuration of installations outside the platform. The file is read as a whole, and every
//! problem is reported. It is converted into the form of the platform's JSON, so that the same code reads both. This
//! module starts nothing, and does not check the configuration as a whole.
//!
//! Times and sizes have units (`250ms`, `64MiB`), shares are from 0 to 1, and units are the units of quotas.

mod fleet_sections;
mod gateway_sections;
mod service_sections;

use fernscale_policy::Micros;
use serde_json::{json, Map, Value};
use toml::de::DeTable;

use super::log::LogSettings;
use super::reader::{Located, Problem, Problems, Section};
use crate::fleet::{durable_store, leases, membership, outlier_detection, subsetting, trial_leases};
use crate::transport::clock::ClockFault;

pub use gateway_sections::MIN_DESCRIPTORS;

/// One second in microseconds.
const SECOND: Micros = 1_000_000;
/// The longest time that a key can be set to.
const MAX_TIME: Micros = 86_400 * SECOND;
/// The largest number of units of a quota. A shared counter could not hold more.
const MAX_UNITS: f64 = 1e9;

/// The content of a file: the part in the platform's form, and the sections that have no equivalent in that form.
#[derive(Debug, Default)]
pub struct InstallationConfig {
    /// The part in the platform's form.
    pub config: Value,
    /// `[log]`.
    pub logging: LogSettings,
    /// `[mesh]`.
    pub membership: Option<membership::Settings>,
    /// `[owner]`.
    pub leases: Option<leases::Settings>,
    /// `[subsets]`.
    pub subsetting: Option<subsetting::Settings>,
    /// `[signals]`.
    pub outlier_detection: Option<outlier_detection::Settings>,
    /// The trial leases of `[trials]`.
    pub trial_leases: Option<trial_leases::Settings>,
    /// The faults of the store in `[trials]`.
    pub store_faults: durable_store::StoreFaults,
    /// The fault of the clock in `[trials]`.
    pub clock_fault: ClockFault,
}

/// Reads a file. If `is_only_file` is set, there is no platform's file, and the sections that define the gateway and its
/// service are required.
///
/// # Errors
/// All problems of the file, ordered by position.
pub fn read(text: &str, is_only_file: bool) -> Result<InstallationConfig, Vec<Problem>> {
    let problems = Problems::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        problems.add(error.span().map_or(0, |span| span.start), error.message().to_string());
    }
    if !errors.is_empty() {
        // The parser may have dropped keys that the file has; they would be reported as missing.
        return Err(problems.into_sorted());
    }
    let config = read_file(Section::root(table.get_ref(), &problems), is_only_file);
    match problems.into_sorted() {
        found if found.is_empty() => Ok(config),
        found => Err(found),
    }
}

/// The platform's form of a file, built while the sections are read.
struct PlatformForm {
    config: Map<String, Value>,
    settings: Map<String, Value>,
    /// `settings.ceilings`.
    ceilings: Value,
    /// `settings.specifics`.
    specifics: Value,
}

impl PlatformForm {
    fn new() -> Self {
        PlatformForm {
            config: Map::new(),
            settings: Map::new(),
            ceilings: json!({ "cancel": true, "sendCap": 3, "connIdleMs": 15_000, "dialTimeoutMs": 250 }),
            specifics: json!({ "sharedCounter": false }),
        }
    }

    fn into_config(mut self) -> Value {
        self.settings.insert("ceilings".into(), self.ceilings);
        self.settings.insert("specifics".into(), self.specifics);
        self.config.insert("settings".into(), self.settings.into());
        self.config.into()
    }

    /// The names that `[servers]` lists under a key.
    fn names(&self, key: &str) -> Vec<String> {
        let names = self.settings.get(key).and_then(Value::as_array).into_iter().flatten();
        names.filter_map(|name| name.as_str().map(String::from)).collect()
    }
}

/// Reads all sections. The message on an unknown section lists the known sections in the order in which they are read here.
fn read_file(mut file: Section, is_only_file: bool) -> InstallationConfig {
    let mut form = PlatformForm::new();
    form.read_gateway_sections(&mut file, is_only_file);
    form.read_service_sections(&mut file, is_only_file);
    let zones = form.names("zones");
    let logging = file.read_section("log", gateway_sections::logging).unwrap_or_default();
    let fleet = fleet_sections::read(&mut file, &zones);
    file.finish();
    InstallationConfig {
        config: form.into_config(),
        logging,
        membership: fleet.membership,
        leases: fleet.leases,
        subsetting: fleet.subsetting,
        outlier_detection: fleet.outlier_detection,
        trial_leases: fleet.trials.leases,
        store_faults: fleet.trials.store_faults,
        clock_fault: fleet.trials.clock_fault,
    }
}

fn insert_some(into: &mut Map<String, Value>, key: &str, value: Option<impl Into<Value>>) {
    if let Some(value) = value {
        into.insert(key.into(), value.into());
    }
}

/// A time in milliseconds, the platform's unit.
fn milliseconds(time: &Located<Micros>) -> f64 {
    time.value as f64 / 1000.0
}

/// Merges the platform's configuration into that of the installation's file. The platform's values take precedence. Objects
/// are merged key by key; lists are replaced as a whole.
pub fn overlay(file: Value, platform: Value) -> Value {
    match (file, platform) {
        (Value::Object(mut merged), Value::Object(overrides)) => {
            for (key, value) in overrides {
                let value = match merged.remove(&key) {
                    Some(overridden) => overlay(overridden, value),
                    None => value,
                };
                merged.insert(key, value);
            }
            Value::Object(merged)
        }
        (_, platform) => platform,
    }
}
