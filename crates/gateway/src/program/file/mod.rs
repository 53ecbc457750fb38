//! `fernscale.toml`: the configuration of installations that are not the platform. The file is read whole, with every
//! problem in it, and brought into the form of the platform's JSON, so that one reader takes both from there on. Nothing
//! here starts or checks what the configuration leads to.
//!
//! Times and sizes carry their units (`250ms`, `64MiB`), shares are from 0 to 1, units are those of the quotas.

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
/// The longest time that any key may be set to.
const MAX_TIME: Micros = 86_400 * SECOND;
/// The largest number of units that any quota may name; a shared counter could not hold more.
const MAX_UNITS: f64 = 1e9;

/// The content of a file: the part that has a platform's form, and the sections that have none.
#[derive(Debug, Default)]
pub struct InstallationConfig {
    /// The platform's form.
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
    /// The leases of `[trials]`.
    pub trial_leases: Option<trial_leases::Settings>,
    /// The store's faults of `[trials]`.
    pub store_faults: durable_store::StoreFaults,
    /// The clock's faults of `[trials]`.
    pub clock_fault: ClockFault,
}

/// Reads a file. `is_only_file`: no platform's file says who this gateway is and what it serves, so the sections for that
/// are required.
///
/// # Errors
/// Every problem of the file, in its order.
pub fn read(text: &str, is_only_file: bool) -> Result<InstallationConfig, Vec<Problem>> {
    let problems = Problems::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        problems.add(error.span().map_or(0, |span| span.start), error.message().to_string());
    }
    if !errors.is_empty() {
        // Keys that the parser has lost would be reported as missing, though the file may have them.
        return Err(problems.into_sorted());
    }
    let config = read_file(Section::root(table.get_ref(), &problems), is_only_file);
    match problems.into_sorted() {
        found if found.is_empty() => Ok(config),
        found => Err(found),
    }
}

/// The platform's form of a file while its sections are read.
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

    /// Names that `[servers]` lists under a key.
    fn names(&self, key: &str) -> Vec<String> {
        let names = self.settings.get(key).and_then(Value::as_array).into_iter().flatten();
        names.filter_map(|name| name.as_str().map(String::from)).collect()
    }
}

/// Reads all sections. Problems list the known sections in the order in which they are read here.
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

/// Lays the platform's configuration over that of a file: its values win, objects are merged key by key, and lists are
/// replaced whole.
pub fn overlay(file: Value, platform: Value) -> Value {
    match (file, platform) {
        (Value::Object(mut merged), Value::Object(over)) => {
            for (key, value) in over {
                let value = match merged.remove(&key) {
                    Some(below) => overlay(below, value),
                    None => value,
                };
                merged.insert(key, value);
            }
            Value::Object(merged)
        }
        (_, over) => over,
    }
}
