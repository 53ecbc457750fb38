//! The sections of `fernscale.toml` about this gateway and the services that it calls: `[gateway]`, `[discovery]`,
//! `[counter]`, `[operator]`, `[limits]`, `[clients]`, `[trips]`, `[servers]` and `[log]`.

use serde_json::{json, Map};

use super::super::log::{Level, LogFormat, LogSettings};
use super::super::reader::{Located, Section};
use super::{insert_some, milliseconds, PlatformForm, MAX_TIME, MAX_UNITS, SECOND};

const MIB: u64 = 1024 * 1024;

const MAX_GATEWAYS: u64 = 100_000;
/// The minimum number of descriptors: those that the gateway itself needs, and some for each kind of connection.
pub const MIN_DESCRIPTORS: u64 = 64;
const MAX_DESCRIPTORS: u64 = 1 << 24;
/// The minimum memory: the program and one message.
const MIN_MEMORY_BYTES: u64 = 16 * MIB;
pub(super) const MAX_MEMORY_BYTES: u64 = 1 << 44;
const MAX_ATTEMPTS: u64 = 100;

impl PlatformForm {
    pub(super) fn read_gateway_sections(&mut self, file: &mut Section, is_only_file: bool) {
        if let Some(mut gateway) = section_required_if(is_only_file, file, "gateway") {
            self.read_gateway(&mut gateway);
            gateway.finish();
        }
        if let Some(mut discovery) = section_required_if(is_only_file, file, "discovery") {
            self.read_discovery(&mut discovery);
            discovery.finish();
        }
        file.read_section("counter", |counter| self.read_counter(counter));
        file.read_section("operator", |operator| self.read_address("operator", operator));
        file.read_section("limits", |limits| self.read_limits(limits));
        file.read_section("clients", |clients| self.read_clients(clients));
        file.read_section("trips", |attempts| self.read_attempts(attempts));
        file.read_section("servers", |servers| self.read_servers(servers));
    }

    fn read_gateway(&mut self, gateway: &mut Section) {
        let name = gateway.required("name", Section::text);
        insert_some(&mut self.config, "name", name.map(|name| name.value));
        let listen = gateway.required("listen", Section::address);
        insert_some(&mut self.config, "listen", listen.map(|listen| listen.value.to_string()));
        let gateway_count = gateway.count("gateways", 1..=MAX_GATEWAYS).map_or(1, |count| count.value);
        let number = gateway.count("number", 0..=MAX_GATEWAYS);
        if let Some(number) = number.as_ref().filter(|number| number.value >= gateway_count) {
            gateway.problem(
                number.offset,
                format!(
                    "'gateway.number' is {}; it must be below 'gateway.gateways', which is {gateway_count}",
                    number.value
                ),
            );
        }
        self.settings.insert("balancers".into(), json!(gateway_count));
        self.settings.insert("me".into(), json!(number.map_or(0, |number| number.value)));
        let seed = gateway.text("seed");
        if let Some(seed) = seed.as_ref().filter(|seed| u64::from_str_radix(&seed.value, 16).is_err()) {
            gateway.problem(
                seed.offset,
                format!("'gateway.seed' is '{}', which is not a 64-bit hex number", seed.value),
            );
        }
        insert_some(&mut self.config, "seed", seed.map(|seed| seed.value));
    }

    fn read_discovery(&mut self, discovery: &mut Section) {
        self.read_address("discovery", discovery);
        let on_request = discovery.choice("mode", &[("pushed", false), ("on-request", true)]);
        let on_request = on_request.is_some_and(|mode| mode.value);
        self.settings.insert("discovery".into(), json!(if on_request { "on_request" } else { "pushed" }));
        let poll_interval = discovery.time("ask-within", 0..=MAX_TIME);
        if let Some(interval) = poll_interval.filter(|_| on_request) {
            self.settings.insert("rules".into(), json!({ "askWithinMs": milliseconds(&interval) }));
        }
    }

    fn read_counter(&mut self, counter: &mut Section) {
        self.read_address("counter", counter);
        let wait = counter.time("wait", 1..=10 * SECOND);
        let max_units = counter.number("most-units", f64::MIN_POSITIVE..=MAX_UNITS);
        self.specifics =
            json!({ "sharedCounter": true, "countWaitMs": wait.map_or(50.0, |wait| milliseconds(&wait)) });
        if let Some(max_units) = max_units {
            self.specifics["mostUnits"] = json!(max_units.value);
        }
    }

    /// Reads the required address of a section into the platform's key with the section's name.
    fn read_address(&mut self, key: &str, section: &mut Section) {
        let address = section.required("address", Section::address);
        insert_some(&mut self.config, key, address.map(|address| address.value.to_string()));
    }

    fn read_limits(&mut self, limits: &mut Section) {
        let descriptors = limits.count("sockets", MIN_DESCRIPTORS..=MAX_DESCRIPTORS);
        let memory = limits.size("memory", MIN_MEMORY_BYTES..=MAX_MEMORY_BYTES);
        let mut form = Map::new();
        insert_some(&mut form, "sockets", descriptors.map(|descriptors| descriptors.value));
        insert_some(&mut form, "memory_mb", memory.map(|memory| memory.value / MIB));
        self.config.insert("limits".into(), form.into());
    }

    fn read_clients(&mut self, clients: &mut Section) {
        if let Some(max_wait) = clients.time("longest-wait", 0..=MAX_TIME) {
            self.ceilings["retryAfter"] = json!(max_wait.value > 0);
            self.ceilings["maxRetryAfterMs"] = json!(milliseconds(&max_wait));
        }
    }

    fn read_attempts(&mut self, attempts: &mut Section) {
        if let Some(max_attempts) = attempts.count("most", 1..=MAX_ATTEMPTS) {
            self.ceilings["sendCap"] = json!(max_attempts.value);
        }
        if let Some(cancel) = attempts.flag("cancel") {
            self.ceilings["cancel"] = json!(cancel);
        }
    }

    fn read_servers(&mut self, servers: &mut Section) {
        for (key, platform_key) in [("idle", "connIdleMs"), ("dial", "dialTimeoutMs")] {
            if let Some(time) = servers.time(key, 1000..=MAX_TIME) {
                self.ceilings[platform_key] = json!(milliseconds(&time));
            }
        }
        for key in ["zones", "kinds"] {
            let names = servers.names(key).unwrap_or_default();
            for name in names.iter().filter(|name| name.value.contains(',')) {
                let problem = format!("'{}' contains a comma, which is not allowed in names", name.value);
                servers.problem(name.offset, problem);
            }
            self.settings.insert(key.into(), json!(values(names)));
        }
        let rules = self.settings.entry("rules").or_insert_with(|| json!({}));
        for (key, allowed, platform_key) in
            [("cold-share", 0.01..=1.0, "coldFrom"), ("fall-multiple", 1.0..=1000.0, "fallMultiple")]
        {
            if let Some(number) = servers.number(key, allowed) {
                rules[platform_key] = json!(number.value);
            }
        }
        for (key, platform_key) in [("warm-up", "warmUpMs"), ("fall-window", "fallMs")] {
            if let Some(time) = servers.time(key, 0..=MAX_TIME) {
                rules[platform_key] = json!(milliseconds(&time));
            }
        }
        if let Some(names) = servers.names("load-report") {
            self.settings.insert("telemetry".into(), json!({ "names": values(names) }));
        }
    }
}

fn values(names: Vec<Located<String>>) -> Vec<String> {
    names.into_iter().map(|name| name.value).collect()
}

/// The section with a key. If it is required and missing, a problem is reported.
fn section_required_if<'a>(
    is_required: bool,
    file: &mut Section<'a>,
    key: &'static str,
) -> Option<Section<'a>> {
    if is_required {
        file.required(key, Section::section)
    } else {
        file.section(key)
    }
}

pub(super) fn logging(log: &mut Section) -> LogSettings {
    let mut logging = LogSettings::default();
    if let Some(format) = log.choice("form", &[("text", LogFormat::Text), ("json", LogFormat::Json)]) {
        logging.format = format.value;
    }
    let levels = [("warning", Level::Warning), ("info", Level::Info), ("debug", Level::Debug)];
    if let Some(level) = log.choice("level", &levels) {
        logging.level = level.value;
    }
    if let Some(max_records) = log.count("most-a-second", 1..=1_000_000) {
        logging.max_records_per_second = max_records.value as u32;
    }
    logging
}
