//! The configuration of a gateway: read from an installation's own file, the platform's JSON, or both, the latter over the
//! former, and checked as a whole. It never changes or starts anything.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};

use fernscale_policy::settings::{self, Fields, PlatformSettings};
use fernscale_policy::Settings;
use serde_json::value::RawValue;
use serde_json::Value;

pub use super::file::{self, InstallationConfig, MIN_DESCRIPTORS};
use super::log::LogSettings;
use crate::fleet::{durable_store, leases, membership, outlier_detection, subsetting, trial_leases};
use crate::protocol::catalog::{self, EndpointUpdate, KnownEndpoints, SlicedReader};
use crate::transport::clock::{yield_between_slices, ClockFault};

pub use super::config_error::ConfigError;

/// Environment variable with the path of the platform's file.
const PLATFORM_FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variable with the address for operators, for a file without one.
pub(super) const OPERATOR_VARIABLE: &str = "BALANCER_OPERATOR";
/// Environment variable with the number of the descriptor of an inherited listening socket.
pub const INHERITED_SOCKET_VARIABLE: &str = "BALANCER_PASSED_SOCKET";

/// A checked configuration.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name, unique among the gateways.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the shared counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Address for operators, if there is one.
    pub operator: Option<SocketAddr>,
    /// Descriptor of the listening socket that this process was started with; without one it binds its own.
    pub inherited_socket: Option<RawFd>,
    /// File descriptors that the gateway may open.
    pub max_descriptors: usize,
    /// Memory that the gateway may use, in MiB.
    pub memory_mb: usize,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings of the protocols and of what lies around the decision module.
    pub platform_settings: PlatformSettings,
    /// Format and level of the log.
    pub logging: LogSettings,
    /// Membership among the gateways, if there is one.
    pub membership: Option<membership::Settings>,
    /// Leases of the fleet, if it has any.
    pub leases: Option<leases::Settings>,
    /// Subsetting by the fleet; without it each gateway takes a subset by its number.
    pub subsetting: Option<subsetting::Settings>,
    /// Shared outlier detection; without it each gateway detects outliers alone.
    pub outlier_detection: Option<outlier_detection::Settings>,
    /// Leases for tests of the lease subsystem.
    pub trial_leases: Option<trial_leases::Settings>,
    /// Faults to inject into the store.
    pub store_faults: durable_store::StoreFaults,
    /// Faults to inject into the clocks.
    pub clock_fault: ClockFault,
    /// The fields of the platform's form that only a restart changes.
    pub fixed: Value,
    /// The endpoints known before discovery replies.
    pub known: Option<EndpointUpdate>,
}

/// The files of a configuration. The platform's wins over the other.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// An installation's own file, `fernscale.toml`.
    pub installation: Option<PathBuf>,
    /// The platform's, in JSON.
    pub platform: Option<PathBuf>,
}

impl Source {
    /// The given file of the installation, if any, and the platform's file that the environment names.
    ///
    /// # Errors
    /// There is neither.
    pub fn from_environment(installation: Option<PathBuf>) -> Result<Self, String> {
        let platform = std::env::var_os(PLATFORM_FILE_VARIABLE).map(PathBuf::from);
        if installation.is_none() && platform.is_none() {
            return Err(format!("no configuration: neither --config nor {PLATFORM_FILE_VARIABLE} names one"));
        }
        Ok(Source { installation, platform })
    }

    /// Reads and checks the files.
    ///
    /// # Errors
    /// Every problem that was found, each a line that begins with the file.
    pub fn read(&self) -> Result<Config, Vec<String>> {
        let (config, known) = self.read_without_known_endpoints()?;
        let Some(known) = known else { return Ok(config) };
        let reader = SlicedReader::for_body(known.get().as_bytes());
        let mut reader = reader.map_err(|reason| self.problem(&reason))?;
        while reader.read_slice(&KnownEndpoints::default(), &config.platform_settings) {}
        self.with_known_endpoints(config, reader)
    }

    /// The same in slices, for a gateway that runs: a list of thousands of endpoints must not hold up client requests.
    ///
    /// # Errors
    /// Those of [`Self::read`].
    pub async fn read_in_slices(&self) -> Result<Config, Vec<String>> {
        let (config, known) = self.read_without_known_endpoints()?;
        let Some(known) = known else { return Ok(config) };
        let reader = SlicedReader::for_body(known.get().as_bytes());
        let mut reader = reader.map_err(|reason| self.problem(&reason))?;
        while reader.read_slice(&KnownEndpoints::default(), &config.platform_settings) {
            yield_between_slices().await;
        }
        self.with_known_endpoints(config, reader)
    }

    fn with_known_endpoints(&self, config: Config, reader: SlicedReader) -> Result<Config, Vec<String>> {
        let known =
            reader.end(&mut KnownEndpoints::default()).map_err(|error| self.problem(&error.reason))?;
        Ok(Config { known: Some(known), ..config })
    }

    /// A problem of the files together.
    fn problem(&self, reason: &dyn std::fmt::Display) -> Vec<String> {
        let named = self.platform.as_deref().or(self.installation.as_deref());
        vec![in_file(named.unwrap_or(Path::new("configuration")), reason)]
    }

    /// Everything but the platform's list of known endpoints, and the text of that list.
    fn read_without_known_endpoints(&self) -> Result<(Config, Option<Box<RawValue>>), Vec<String>> {
        let mut installation = InstallationConfig::default();
        if let Some(path) = &self.installation {
            installation = file::read(&content(path)?, self.platform.is_none())
                .map_err(|found| found.iter().map(|problem| in_file(path, problem)).collect::<Vec<_>>())?;
            if let Some(fields) = installation.config.as_object_mut() {
                fields.entry("seed").or_insert_with(|| format!("{:016x}", rand::random::<u64>()).into());
            }
        }
        let mut config = std::mem::take(&mut installation.config);
        let mut known = None;
        if let Some(path) = &self.platform {
            let (over, servers) = platform(&content(path)?).map_err(|error| vec![in_file(path, &error)])?;
            config = file::overlay(config, over);
            known = servers;
        }
        if let Some(fields) = config.as_object_mut().filter(|_| known.is_some()) {
            fields.remove("known");
        }
        let read = from_value(&config, InstallationConfig { config: Value::Null, ..installation });
        Ok((read.map_err(|reason| self.problem(&reason))?, known))
    }
}

/// The platform's file, and apart from it the text of its list of known endpoints, if it has one.
fn platform(text: &str) -> Result<(Value, Option<Box<RawValue>>), serde_json::Error> {
    let fields: BTreeMap<String, &RawValue> = match serde_json::from_str(text) {
        // Anything but an object is rejected later, for its missing fields.
        Err(error) if error.is_data() => return Ok((serde_json::from_str(text)?, None)),
        other => other?,
    };
    let mut known = None;
    let mut config = serde_json::Map::new();
    for (name, value) in fields {
        if name == "known" && value.get() != "null" {
            known = Some(value.to_owned());
        } else {
            config.insert(name, serde_json::from_str(value.get())?);
        }
    }
    Ok((Value::Object(config), known))
}

fn content(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path).map_err(|error| vec![in_file(path, &format!("can't be read: {error}"))])
}

fn in_file(path: &Path, what: &dyn std::fmt::Display) -> String {
    format!("'{}': {what}", path.display())
}

/// The top level of the platform's form.
struct PlatformForm<'c>(&'c Value);

impl PlatformForm<'_> {
    fn text(&self, name: &str) -> Result<&str, ConfigError> {
        let text = self.0.get(name).and_then(Value::as_str);
        text.ok_or_else(|| ConfigError::MissingText { key: name.into() })
    }

    fn address(&self, name: &str) -> Result<SocketAddr, ConfigError> {
        let text = self.text(name)?;
        text.parse().map_err(|_| ConfigError::InvalidAddress { key: name.into(), found: text.into() })
    }

    fn limit(&self, name: &str, default: u64) -> usize {
        let configured = self.0.pointer(&format!("/limits/{name}")).and_then(Value::as_f64);
        configured.map_or(default, |configured| configured as u64) as usize
    }

    /// The settings under flat names, with the seed of the random generator.
    fn flat_settings(&self) -> Result<FlatFields, ConfigError> {
        let seed = self.text("seed")?;
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidSeed { found: seed.into() })?;
        let mut flat = FlatFields(HashMap::from([("prng".into(), seed.to_string())]));
        let settings = self.0.get("settings").filter(|settings| settings.is_object());
        flat.flatten("", settings.ok_or(ConfigError::MissingSettings)?);
        Ok(flat)
    }

    /// Address for operators: that of the form, else that of the environment, else none.
    fn operator_address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        if self.0.get("operator").is_some() {
            return self.address("operator").map(Some);
        }
        let Ok(text) = std::env::var(OPERATOR_VARIABLE) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| ConfigError::InvalidOperatorVariable { found: text })
    }

    /// The fields that a running gateway can't take from a new configuration.
    fn fixed_fields(&self) -> Value {
        let is_reloadable = |name: &str| ["discovery", "counter", "known", "seed"].contains(&name);
        let fields = self.0.as_object().into_iter().flatten().filter(|(name, _)| !is_reloadable(name));
        fields.map(|(name, value)| (name.clone(), value.clone())).collect()
    }
}

/// The descriptor of the listening socket that the environment names, if it does.
fn inherited_socket() -> Result<Option<RawFd>, ConfigError> {
    let Ok(text) = std::env::var(INHERITED_SOCKET_VARIABLE) else { return Ok(None) };
    // The first three are the standard streams.
    let number = text.parse().ok().filter(|number| *number > 2);
    number.map(Some).ok_or(ConfigError::InvalidSocketVariable { found: text })
}

/// Checks what the sections of an installation's file need of each other and of the platform's form.
fn check_fleet_sections(
    installation: &InstallationConfig,
    form: &PlatformForm,
    platform_settings: &PlatformSettings,
    settings: &Settings,
) -> Result<(), ConfigError> {
    if let Some(leases) = &installation.leases {
        if installation.membership.is_none() {
            return Err(ConfigError::NeedsMembership { section: "owner" });
        }
        check_leases(leases, form, settings)?;
    }
    let subsetting_zone = installation.subsetting.as_ref().and_then(|settings| settings.zone.as_ref());
    let detection_zone = installation.outlier_detection.as_ref().and_then(|settings| settings.zone.as_ref());
    for (section, zone) in [("subsets", subsetting_zone), ("signals", detection_zone)] {
        if let Some(zone) = zone.filter(|zone| !platform_settings.zones.contains(zone)) {
            return Err(ConfigError::UnknownZone { section, zone: zone.clone() });
        }
    }
    if installation.outlier_detection.is_some() && installation.membership.is_none() {
        return Err(ConfigError::NeedsMembership { section: "signals" });
    }
    Ok(())
}

fn check_leases(
    leases: &leases::Settings,
    form: &PlatformForm,
    settings: &Settings,
) -> Result<(), ConfigError> {
    if leases.leases_endpoint_list && settings.list_poll_interval.unwrap_or(0) == 0 {
        return Err(ConfigError::ListNeedsPolling);
    }
    let mut acceptors = leases.acceptors.names.iter().chain(&leases.acceptors.previous_names);
    let name = form.text("name").unwrap_or_default();
    if acceptors.any(|acceptor| **acceptor == *name) && leases.directory.is_none() {
        return Err(ConfigError::AcceptorNeedsStore { name: form.text("name")?.into() });
    }
    Ok(())
}

fn from_value(config: &Value, installation: InstallationConfig) -> Result<Config, ConfigError> {
    let form = PlatformForm(config);
    let flat = form.flat_settings()?;
    let platform_settings = settings::platform_settings(&flat)?;
    let settings = settings::policy_settings(&flat)?;
    if settings.classes.is_empty() || settings.plans.is_empty() {
        return Err(ConfigError::NothingToServe);
    }
    let operator = form.operator_address()?;
    let inherited_socket = inherited_socket()?;
    check_fleet_sections(&installation, &form, &platform_settings, &settings)?;
    let max_descriptors = form.limit("sockets", DEFAULT_DESCRIPTORS);
    if max_descriptors < MIN_DESCRIPTORS as usize {
        return Err(ConfigError::TooFewDescriptors { found: max_descriptors, minimum: MIN_DESCRIPTORS });
    }
    let known = config.get("known").filter(|known| !known.is_null());
    Ok(Config {
        fixed: form.fixed_fields(),
        name: form.text("name")?.into(),
        listen: form.address("listen")?,
        discovery: form.address("discovery")?,
        counter: if settings.has_shared_counter { Some(form.address("counter")?) } else { None },
        operator,
        inherited_socket,
        max_descriptors,
        memory_mb: form.limit("memory_mb", DEFAULT_MEMORY_MB),
        settings,
        logging: installation.logging,
        membership: installation.membership,
        leases: installation.leases,
        subsetting: installation.subsetting,
        outlier_detection: installation.outlier_detection,
        trial_leases: installation.trial_leases,
        store_faults: installation.store_faults,
        clock_fault: installation.clock_fault,
        known: known
            .map(|known| catalog::endpoint_update(known, &platform_settings))
            .transpose()
            .map_err(|error| ConfigError::KnownEndpoints(error.reason))?,
        platform_settings,
    })
}

/// File descriptors without a configured limit: what systems commonly allow.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Memory without a configured limit, in MiB: what the smallest machines have.
const DEFAULT_MEMORY_MB: u64 = 192;

/// Nested settings under the flat names that settings are read by: `lanes.0.value`, `lanes.count`.
struct FlatFields(HashMap<String, String>);

impl FlatFields {
    fn flatten(&mut self, key: &str, value: &Value) {
        let nested_key = |name: &str| if key.is_empty() { name.into() } else { format!("{key}.{name}") };
        match value {
            Value::Null => {}
            Value::Bool(on) => drop(self.0.insert(key.into(), on.to_string())),
            Value::Number(number) => drop(self.0.insert(key.into(), number.to_string())),
            Value::String(text) => drop(self.0.insert(key.into(), text.clone())),
            Value::Object(fields) => {
                fields.iter().for_each(|(name, value)| self.flatten(&nested_key(name), value));
            }
            Value::Array(items) if items.iter().all(Value::is_string) => {
                let names: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
                self.0.insert(key.into(), names.join(","));
            }
            Value::Array(items) => {
                self.0.insert(nested_key("count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.flatten(&nested_key(&index.to_string()), item);
                }
            }
        }
    }
}

impl Fields for FlatFields {
    fn field(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
}
