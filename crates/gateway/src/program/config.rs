//! The configuration: an installation's own file, the platform's JSON, or both, the latter over the former.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};

use fernscale_policy::settings::{self, Fields, PlatformSettings};
use fernscale_policy::Settings;
use serde_json::value::RawValue;
use serde_json::Value;

use super::file::{self, InstallationConfig, MIN_DESCRIPTORS};
use super::log::LogSettings;
use crate::fleet::{durable_store, leases, membership, outlier_detection, subsetting, trial_leases};
use crate::protocol::catalog::{self, EndpointUpdate, KnownEndpoints, SlicedReader};
use crate::transport::clock::{yield_between_slices, ClockFault};

/// Names the platform's file.
const PLATFORM_FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// The second address, where the file has none.
const OPERATOR_VARIABLE: &str = "BALANCER_OPERATOR";
/// The number of the descriptor that is the clients' listening socket.
pub const INHERITED_SOCKET_VARIABLE: &str = "BALANCER_PASSED_SOCKET";

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// Where operators call; absent, nobody does.
    pub operator: Option<SocketAddr>,
    /// The descriptor of the listening socket that this process was started with; absent, it binds its own.
    pub inherited_socket: Option<RawFd>,
    pub max_descriptors: usize,
    pub memory_mb: usize,
    pub settings: Settings,
    pub platform_settings: PlatformSettings,
    pub logging: LogSettings,
    /// The way to other gateways; absent, there is none.
    pub membership: Option<membership::Settings>,
    /// Jobs of the fleet; absent, it has none.
    pub leases: Option<leases::Settings>,
    /// Servers are dealt out among the gateways; absent, each takes a row by its number.
    pub subsetting: Option<subsetting::Settings>,
    /// Gateways tell each other what servers are like; absent, each finds out alone.
    pub outlier_detection: Option<outlier_detection::Settings>,
    /// Jobs of trials, and what is wrong with the store's folder in trials.
    pub trial_leases: Option<trial_leases::Settings>,
    pub store_faults: durable_store::StoreFaults,
    /// Clocks that are wrong on purpose, in trials.
    pub clock_fault: ClockFault,
    /// All that holds until the next start, whatever a later configuration says.
    pub fixed: Value,
    /// The servers as this gateway last knew them.
    pub known: Option<EndpointUpdate>,
}

/// Where the configuration comes from. What the platform's file says wins over the other.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// An installation's own file, `fernscale.toml`.
    pub installation: Option<PathBuf>,
    /// The platform's, in JSON.
    pub platform: Option<PathBuf>,
}

impl Source {
    /// The file given, if any, and the one that the environment names.
    pub fn from_environment(installation: Option<PathBuf>) -> Result<Self, String> {
        let platform = std::env::var_os(PLATFORM_FILE_VARIABLE).map(PathBuf::from);
        if installation.is_none() && platform.is_none() {
            return Err(format!("no configuration: neither --config nor {PLATFORM_FILE_VARIABLE} names one"));
        }
        Ok(Source { installation, platform })
    }

    /// Reads all anew; else every problem that can be told, each a line that begins with the file.
    pub fn read(&self) -> Result<Config, Vec<String>> {
        let (config, known) = self.read_without_known_endpoints()?;
        let Some(known) = known else { return Ok(config) };
        let reader = SlicedReader::of(known.get().as_bytes());
        let mut reader = reader.map_err(|reason| self.problem(&reason))?;
        while reader.read_slice(&KnownEndpoints::default(), &config.platform_settings) {}
        self.with_known_endpoints(config, reader)
    }

    /// The same while a gateway runs: it knows thousands of servers, and clients wait meanwhile.
    pub async fn read_in_slices(&self) -> Result<Config, Vec<String>> {
        let (config, known) = self.read_without_known_endpoints()?;
        let Some(known) = known else { return Ok(config) };
        let reader = SlicedReader::of(known.get().as_bytes());
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

    /// A problem of what both files say together.
    fn problem(&self, reason: &dyn std::fmt::Display) -> Vec<String> {
        let named = self.platform.as_deref().or(self.installation.as_deref());
        vec![in_file(named.unwrap_or(Path::new("configuration")), reason)]
    }

    /// All but the platform's list of known servers, and that as it stands.
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

/// The platform's file, and apart from it the list of known servers, if it has one.
fn platform(text: &str) -> Result<(Value, Option<Box<RawValue>>), serde_json::Error> {
    let fields: BTreeMap<String, &RawValue> = match serde_json::from_str(text) {
        // What is no object is refused for what it lacks.
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

/// Reads the platform's form from a text.
pub fn read(text: &str) -> Result<Config, String> {
    let config: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    from_value(&config, InstallationConfig::default())
}

fn from_value(config: &Value, installation: InstallationConfig) -> Result<Config, String> {
    let text = |name: &str| {
        let text = config.get(name).and_then(Value::as_str);
        text.ok_or_else(|| format!("'{name}' is missing, or no text"))
    };
    let address = |name: &str| {
        let text = text(name)?;
        text.parse().map_err(|_| format!("'{name}' is '{text}', which is no address of a socket"))
    };
    let seed = text("seed")?;
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("'seed' is '{seed}', which is no hex number"))?;
    let mut flat = FlatFields(HashMap::from([("prng".into(), seed.to_string())]));
    let nested = config.get("settings").filter(|settings| settings.is_object());
    flat.flatten("", nested.ok_or("'settings' is missing, or no object")?);
    let platform_settings = settings::platform_settings(&flat)?;
    let settings = settings::policy_settings(&flat)?;
    if settings.classes.is_empty() || settings.plans.is_empty() {
        return Err("'settings' has no 'lanes' or no 'tiersOfService'".into());
    }
    let operator = match (config.get("operator"), std::env::var(OPERATOR_VARIABLE)) {
        (Some(_), _) => Some(address("operator")?),
        (None, Ok(text)) => {
            let invalid = |_| format!("{OPERATOR_VARIABLE} is '{text}', which is no address of a socket");
            Some(text.parse().map_err(invalid)?)
        }
        (None, Err(_)) => None,
    };
    let inherited_socket = match std::env::var(INHERITED_SOCKET_VARIABLE) {
        Ok(text) => {
            let number = text.parse().ok().filter(|number| *number > 2);
            Some(number.ok_or_else(|| {
                format!("{INHERITED_SOCKET_VARIABLE} is '{text}', which is no descriptor of a socket")
            })?)
        }
        Err(_) => None,
    };
    if let Some(leases) = &installation.leases {
        let is_acceptor = leases
            .acceptors
            .names
            .iter()
            .chain(&leases.acceptors.previous_names)
            .any(|acceptor| **acceptor == *text("name").unwrap_or_default());
        if installation.membership.is_none() {
            return Err("[owner] needs [mesh], by which gateways speak with each other".into());
        }
        if leases.leases_endpoint_list && settings.list_poll_interval.unwrap_or(0) == 0 {
            return Err(
                "'owner.list' needs a discovery that is asked: mode 'on-request', with 'ask-within'".into()
            );
        }
        if is_acceptor && leases.directory.is_none() {
            let name = text("name")?;
            return Err(format!(
                "'{name}' is among 'owner.voters': it needs [store], where promises are kept"
            ));
        }
    }
    let zones = [
        ("subsets", installation.subsetting.as_ref().and_then(|subsetting| subsetting.zone.as_ref())),
        (
            "signals",
            installation
                .outlier_detection
                .as_ref()
                .and_then(|outlier_detection| outlier_detection.zone.as_ref()),
        ),
    ];
    for (section, zone) in zones {
        if let Some(zone) = zone.filter(|zone| !platform_settings.zones.contains(zone)) {
            return Err(format!("'{section}.zone' is '{zone}', which is none of the zones"));
        }
    }
    if installation.outlier_detection.is_some() && installation.membership.is_none() {
        return Err("[signals] needs [mesh], by which gateways speak with each other".into());
    }
    let limit = |name: &str, absent: u64| {
        let configured = config.pointer(&format!("/limits/{name}")).and_then(Value::as_f64);
        configured.map_or(absent, |configured| configured as u64) as usize
    };
    let max_descriptors = limit("sockets", DEFAULT_DESCRIPTORS);
    if max_descriptors < MIN_DESCRIPTORS as usize {
        return Err(format!(
            "'limits.sockets={max_descriptors}' is below {MIN_DESCRIPTORS}: nobody could be let in"
        ));
    }
    let known = config.get("known").filter(|known| !known.is_null());
    let changes = |name: &str| ["discovery", "counter", "known", "seed"].contains(&name);
    let fields = config.as_object().into_iter().flatten().filter(|(name, _)| !changes(name));
    let fixed = fields.map(|(name, value)| (name.clone(), value.clone())).collect();
    Ok(Config {
        fixed,
        name: text("name")?.into(),
        listen: address("listen")?,
        discovery: address("discovery")?,
        counter: if settings.has_shared_counter { Some(address("counter")?) } else { None },
        operator,
        inherited_socket,
        max_descriptors,
        memory_mb: limit("memory_mb", DEFAULT_MEMORY_MB),
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
            .map_err(|error| error.reason)?,
        platform_settings,
    })
}

/// Descriptors that may be had where the configuration does not say: what systems commonly allow.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// And memory: what the smallest of machines have.
const DEFAULT_MEMORY_MB: u64 = 192;

/// Nested settings under the names that all settings are read by: `lanes.0.value`, `lanes.count`.
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
