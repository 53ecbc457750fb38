//! The configuration of a gateway. It is read from the installation's file, the platform's JSON file, or both, and then
//! checked as a whole. Values of the platform's file override those of the installation's file. Reading a configuration
//! changes and starts nothing.

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

/// Environment variable that holds the path of the platform's file.
const PLATFORM_FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variable that holds the operator address. It is used if no file sets one.
pub(super) const OPERATOR_VARIABLE: &str = "BALANCER_OPERATOR";
/// Environment variable that holds the descriptor number of an inherited listening socket.
pub const INHERITED_SOCKET_VARIABLE: &str = "BALANCER_PASSED_SOCKET";

/// A checked configuration.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name, unique among the gateways.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the shared counter, if it is configured.
    pub counter: Option<SocketAddr>,
    /// Address on which operators connect, if it is configured.
    pub operator: Option<SocketAddr>,
    /// Descriptor of the inherited listening socket. `None`: the process binds its own socket.
    pub inherited_socket: Option<RawFd>,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Maximum memory use in MiB.
    pub memory_mb: usize,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings of the protocols and of all other code outside the decision module.
    pub platform_settings: PlatformSettings,
    /// Format and level of the log.
    pub logging: LogSettings,
    /// Settings of the membership of gateways. `None`: the gateway runs without membership.
    pub membership: Option<membership::Settings>,
    /// Settings of the fleet's leases. `None`: the gateway takes no part in leases.
    pub leases: Option<leases::Settings>,
    /// Settings of subsetting by the fleet. `None`: the gateway takes the subset given by its number.
    pub subsetting: Option<subsetting::Settings>,
    /// Settings of shared outlier detection. `None`: the gateway detects outliers alone.
    pub outlier_detection: Option<outlier_detection::Settings>,
    /// Leases that tests of the lease subsystem use.
    pub trial_leases: Option<trial_leases::Settings>,
    /// Faults to inject into the store.
    pub store_faults: durable_store::StoreFaults,
    /// Faults to inject into the clocks.
    pub clock_fault: ClockFault,
    /// The fields of the platform's form that only a restart can change.
    pub restart_only_fields: Value,
    /// The endpoints that are used until discovery replies.
    pub known_endpoints: Option<EndpointUpdate>,
}

/// The files of a configuration. Values of the platform's file override those of the installation's file.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// The installation's file, `fernscale.toml`.
    pub installation: Option<PathBuf>,
    /// The platform's file, in JSON.
    pub platform: Option<PathBuf>,
}

impl Source {
    /// The given installation file, if any, and the platform's file if the environment names one.
    ///
    /// # Errors
    /// Neither file is given.
    pub fn from_environment(installation: Option<PathBuf>) -> Result<Self, String> {
        let platform = std::env::var_os(PLATFORM_FILE_VARIABLE).map(PathBuf::from);
        if installation.is_none() && platform.is_none() {
            return Err(format!(
                "no configuration: neither --config nor {PLATFORM_FILE_VARIABLE} names a file"
            ));
        }
        Ok(Source { installation, platform })
    }

    /// Reads and checks the files.
    ///
    /// # Errors
    /// All problems found. Each is one line that begins with the path of the file.
    pub fn read(&self) -> Result<Config, Vec<String>> {
        let (config, endpoints_json) = self.read_without_known_endpoints()?;
        let Some(endpoints_json) = endpoints_json else { return Ok(config) };
        let reader = SlicedReader::for_body(endpoints_json.get().as_bytes());
        let mut reader = reader.map_err(|reason| self.problem(&reason))?;
        while reader.read_slice(&KnownEndpoints::default(), &config.platform_settings) {}
        self.with_known_endpoints(config, reader)
    }

    /// Reads and checks the files like [`Self::read`], and yields between slices of the endpoint list. A running gateway
    /// uses this, because parsing thousands of endpoints at once would delay client requests.
    ///
    /// # Errors
    /// The same as for [`Self::read`].
    pub async fn read_in_slices(&self) -> Result<Config, Vec<String>> {
        let (config, endpoints_json) = self.read_without_known_endpoints()?;
        let Some(endpoints_json) = endpoints_json else { return Ok(config) };
        let reader = SlicedReader::for_body(endpoints_json.get().as_bytes());
        let mut reader = reader.map_err(|reason| self.problem(&reason))?;
        while reader.read_slice(&KnownEndpoints::default(), &config.platform_settings) {
            yield_between_slices().await;
        }
        self.with_known_endpoints(config, reader)
    }

    fn with_known_endpoints(&self, config: Config, reader: SlicedReader) -> Result<Config, Vec<String>> {
        let known_endpoints =
            reader.end(&mut KnownEndpoints::default()).map_err(|error| self.problem(&error.reason))?;
        Ok(Config { known_endpoints: Some(known_endpoints), ..config })
    }

    /// A problem of the merged configuration. It is reported under the platform's file if there is one.
    fn problem(&self, reason: &dyn std::fmt::Display) -> Vec<String> {
        let path = self.platform.as_deref().or(self.installation.as_deref());
        vec![in_file(path.unwrap_or(Path::new("configuration")), reason)]
    }

    /// Reads everything except the platform's list of known endpoints, which is returned as JSON text.
    fn read_without_known_endpoints(&self) -> Result<(Config, Option<Box<RawValue>>), Vec<String>> {
        let mut installation = InstallationConfig::default();
        if let Some(path) = &self.installation {
            installation = file::read(&read_text(path)?, self.platform.is_none()).map_err(|problems| {
                problems.iter().map(|problem| in_file(path, problem)).collect::<Vec<_>>()
            })?;
            if let Some(fields) = installation.config.as_object_mut() {
                fields.entry("seed").or_insert_with(|| format!("{:016x}", rand::random::<u64>()).into());
            }
        }
        let mut config = std::mem::take(&mut installation.config);
        let mut endpoints_json = None;
        if let Some(path) = &self.platform {
            let (platform_config, platform_endpoints) =
                parse_platform_file(&read_text(path)?).map_err(|error| vec![in_file(path, &error)])?;
            config = file::overlay(config, platform_config);
            endpoints_json = platform_endpoints;
        }
        if let Some(fields) = config.as_object_mut().filter(|_| endpoints_json.is_some()) {
            fields.remove("known");
        }
        let checked = from_value(&config, InstallationConfig { config: Value::Null, ..installation });
        Ok((checked.map_err(|reason| self.problem(&reason))?, endpoints_json))
    }
}

/// Parses the platform's file. Its list of known endpoints, if any, is returned separately as JSON text.
fn parse_platform_file(text: &str) -> Result<(Value, Option<Box<RawValue>>), serde_json::Error> {
    let fields: BTreeMap<String, &RawValue> = match serde_json::from_str(text) {
        // A value that is not an object is rejected later, because required fields are missing.
        Err(error) if error.is_data() => return Ok((serde_json::from_str(text)?, None)),
        other => other?,
    };
    let mut endpoints_json = None;
    let mut config = serde_json::Map::new();
    for (name, value) in fields {
        if name == "known" && value.get() != "null" {
            endpoints_json = Some(value.to_owned());
        } else {
            config.insert(name, serde_json::from_str(value.get())?);
        }
    }
    Ok((Value::Object(config), endpoints_json))
}

fn read_text(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path).map_err(|error| vec![in_file(path, &format!("can't be read: {error}"))])
}

fn in_file(path: &Path, reason: &dyn std::fmt::Display) -> String {
    format!("'{}': {reason}", path.display())
}

/// The top-level object of the platform's form.
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

    /// The settings under flat names, together with the seed of the random number generator.
    fn flat_settings(&self) -> Result<FlatFields, ConfigError> {
        let seed = self.text("seed")?;
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidSeed { found: seed.into() })?;
        let mut flat = FlatFields(HashMap::from([("prng".into(), seed.to_string())]));
        let settings = self.0.get("settings").filter(|settings| settings.is_object());
        flat.flatten("", settings.ok_or(ConfigError::MissingSettings)?);
        Ok(flat)
    }

    /// Operator address: from the form, else from the environment, else none.
    fn operator_address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        if self.0.get("operator").is_some() {
            return self.address("operator").map(Some);
        }
        let Ok(text) = std::env::var(OPERATOR_VARIABLE) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| ConfigError::InvalidOperatorVariable { found: text })
    }

    /// The fields that a running gateway does not apply from a new configuration.
    fn restart_only_fields(&self) -> Value {
        let is_reloadable = |name: &str| ["discovery", "counter", "known", "seed"].contains(&name);
        let fields = self.0.as_object().into_iter().flatten().filter(|(name, _)| !is_reloadable(name));
        fields.map(|(name, value)| (name.clone(), value.clone())).collect()
    }
}

/// The descriptor of the inherited listening socket, if the environment names one.
fn inherited_socket() -> Result<Option<RawFd>, ConfigError> {
    let Ok(text) = std::env::var(INHERITED_SOCKET_VARIABLE) else { return Ok(None) };
    // Descriptors 0 to 2 are the standard streams.
    let descriptor = text.parse().ok().filter(|descriptor| *descriptor > 2);
    descriptor.map(Some).ok_or(ConfigError::InvalidSocketVariable { found: text })
}

/// Checks the dependencies of the installation file's sections on each other and on the platform's form.
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
    let known_endpoints = config.get("known").filter(|endpoints| !endpoints.is_null());
    Ok(Config {
        restart_only_fields: form.restart_only_fields(),
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
        known_endpoints: known_endpoints
            .map(|endpoints| catalog::endpoint_update(endpoints, &platform_settings))
            .transpose()
            .map_err(|error| ConfigError::KnownEndpoints(error.reason))?,
        platform_settings,
    })
}

/// Default limit on file descriptors: the common default of operating systems.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Default limit on memory in MiB: the memory of the smallest supported machines.
const DEFAULT_MEMORY_MB: u64 = 192;

/// Nested settings under flat names such as `lanes.0.value` and `lanes.count`, by which the settings are read.
struct FlatFields(HashMap<String, String>);

impl FlatFields {
    fn flatten(&mut self, key: &str, value: &Value) {
        let nested_key = |name: &str| if key.is_empty() { name.into() } else { format!("{key}.{name}") };
        match value {
            Value::Null => {}
            Value::Bool(flag) => drop(self.0.insert(key.into(), flag.to_string())),
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
