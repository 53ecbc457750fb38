//! `fernscale.toml`: the configuration of installations that are not the platform. It is read whole, with every problem
//! in it, and lowered to the form that the platform's JSON has, so that both go through one reader from there on.
//!
//! Times and sizes carry their units (`250ms`, `64MiB`), shares are from 0 to 1, units are those of the quotas.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use fernscale_lease::{AcceptorSet, LeaseTerms, MAX_ACCEPTORS, MAX_NAME_BYTES};
use fernscale_membership::seal::Key;
use fernscale_policy::Micros;
use serde_json::{json, Map, Value};
use toml::de::DeTable;

use super::log::{Level, LogFormat, LogSettings};
use super::reader::{Located, Problem, Problems, Section};
use crate::fleet::{durable_store, leases, membership, outlier_detection, subsetting, trial_leases};
use crate::transport::clock::ClockFault;

/// What a file says: the platform's form of it, and what that has no words for.
#[derive(Debug, Default)]
pub struct InstallationConfig {
    pub config: Value,
    pub logging: LogSettings,
    pub membership: Option<membership::Settings>,
    pub leases: Option<leases::Settings>,
    pub subsetting: Option<subsetting::Settings>,
    pub outlier_detection: Option<outlier_detection::Settings>,
    pub trial_leases: Option<trial_leases::Settings>,
    pub store_faults: durable_store::StoreFaults,
    /// Clocks that are wrong on purpose, in trials.
    pub clock_fault: ClockFault,
}

const SECOND: Micros = 1_000_000;
/// The longest time that anything here may be set to.
const MAX_TIME: Micros = 86_400 * SECOND;
const MIB: u64 = 1024 * 1024;
/// As many gateways, descriptors and trips as anybody may mean.
const MAX_GATEWAYS: u64 = 100_000;
const MAX_DESCRIPTORS: u64 = 1 << 24;
const MAX_ATTEMPTS: u64 = 100;
/// The least that a gateway can work with: its own descriptors and a few of each kind; the program and one message.
pub const MIN_DESCRIPTORS: u64 = 64;
const MIN_MEMORY_BYTES: u64 = 16 * MIB;
const MAX_MEMORY_BYTES: u64 = 1 << 44;
/// Units that any quota may name; a count could not hold more.
const MAX_UNITS: f64 = 1e9;

/// Reads a file; else all that is wrong in it. `alone`: no other file says who this gateway is and what it serves.
pub fn read(text: &str, is_only_file: bool) -> Result<InstallationConfig, Vec<Problem>> {
    let problems = Problems::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        problems.add(error.span().map_or(0, |span| span.start), error.message().to_string());
    }
    if !errors.is_empty() {
        // What could still be made out would be told as missing or unknown, though the file may have it.
        return Err(problems.into_sorted());
    }
    let config = read_sections(Section::root(table.get_ref(), &problems), is_only_file);
    match problems.into_sorted() {
        found if found.is_empty() => Ok(config),
        found => Err(found),
    }
}

fn read_sections(mut file: Section, is_only_file: bool) -> InstallationConfig {
    let mut config = Map::new();
    let mut settings = Map::new();
    let mut ceilings = json!({ "cancel": true, "sendCap": 3, "connIdleMs": 15_000, "dialTimeoutMs": 250 });
    let mut specifics = json!({ "sharedCounter": false });
    if let Some(mut gateway) = section_unless_optional(&mut file, "gateway", is_only_file) {
        gateway_section(&mut gateway, &mut config, &mut settings);
        gateway.finish();
    }
    if let Some(mut discovery) = section_unless_optional(&mut file, "discovery", is_only_file) {
        let address = discovery.required("address", Section::address);
        insert_some(&mut config, "discovery", address.map(|address| address.value.to_string()));
        let on_request = discovery.choice("mode", &[("pushed", false), ("on-request", true)]);
        let on_request = on_request.is_some_and(|mode| mode.value);
        settings.insert("discovery".into(), json!(if on_request { "on_request" } else { "pushed" }));
        let within = discovery.time("ask-within", 0..=MAX_TIME);
        if let Some(within) = within.filter(|_| on_request) {
            settings.insert("rules".into(), json!({ "askWithinMs": milliseconds(&within) }));
        }
        discovery.finish();
    }
    if let Some(mut counter) = file.section("counter") {
        let address = counter.required("address", Section::address);
        insert_some(&mut config, "counter", address.map(|address| address.value.to_string()));
        let wait = counter.time("wait", 1..=10 * SECOND);
        let most = counter.number("most-units", f64::MIN_POSITIVE..=MAX_UNITS);
        specifics =
            json!({ "sharedCounter": true, "countWaitMs": wait.map_or(50.0, |wait| milliseconds(&wait)) });
        if let Some(most) = most {
            specifics["mostUnits"] = json!(most.value);
        }
        counter.finish();
    }
    if let Some(mut operator) = file.section("operator") {
        let address = operator.required("address", Section::address);
        insert_some(&mut config, "operator", address.map(|address| address.value.to_string()));
        operator.finish();
    }
    if let Some(mut limits) = file.section("limits") {
        let sockets = limits.count("sockets", MIN_DESCRIPTORS..=MAX_DESCRIPTORS);
        let memory = limits.size("memory", MIN_MEMORY_BYTES..=MAX_MEMORY_BYTES);
        let mut lowered = Map::new();
        insert_some(&mut lowered, "sockets", sockets.map(|sockets| sockets.value));
        insert_some(&mut lowered, "memory_mb", memory.map(|memory| memory.value / MIB));
        config.insert("limits".into(), lowered.into());
        limits.finish();
    }
    if let Some(mut clients) = file.section("clients") {
        if let Some(longest) = clients.time("longest-wait", 0..=MAX_TIME) {
            ceilings["retryAfter"] = json!(longest.value > 0);
            ceilings["maxRetryAfterMs"] = json!(milliseconds(&longest));
        }
        clients.finish();
    }
    if let Some(mut trips) = file.section("trips") {
        if let Some(most) = trips.count("most", 1..=MAX_ATTEMPTS) {
            ceilings["sendCap"] = json!(most.value);
        }
        if let Some(cancel) = trips.flag("cancel") {
            ceilings["cancel"] = json!(cancel);
        }
        trips.finish();
    }
    if let Some(mut servers) = file.section("servers") {
        servers_section(&mut servers, &mut settings, &mut ceilings);
        servers.finish();
    }
    let zones = names_of(&settings, "zones");
    let hardware_types = names_of(&settings, "kinds");
    let mut endpoints = Vec::new();
    let mut seen = BTreeSet::new();
    for mut server in file.sections("server") {
        let lowered = known_server(&mut server, &zones, &hardware_types);
        require_unique_name(&server, lowered.get("name"), &mut seen, "server");
        endpoints.push(lowered);
        server.finish();
    }
    config.insert("known".into(), json!({ "index": 0, "snapshot": true, "endpoints": endpoints }));
    let at_file = file.offset();
    for (list, key, read) in [
        ("lane", "lanes", request_class as fn(&mut Section) -> Value),
        ("plan", "tiersOfService", tenant_plan as fn(&mut Section) -> Value),
    ] {
        let (mut lowered, mut seen) = (Vec::new(), BTreeSet::new());
        for mut section in file.sections(list) {
            let value = read(&mut section);
            require_unique_name(&section, value.get("name"), &mut seen, list);
            lowered.push(value);
            section.finish();
        }
        if lowered.is_empty() && !is_only_file {
            continue;
        }
        if lowered.is_empty() {
            file.problem(at_file, format!("no '[[{list}]]' is there; one at least is needed"));
        }
        settings.insert(key.into(), lowered.into());
    }
    let logging = file.section("log").map_or_else(LogSettings::default, |mut log| {
        let logging = logging(&mut log);
        log.finish();
        logging
    });
    let membership = file.section("mesh").and_then(|mut section| {
        let membership = membership_section(&mut section);
        section.finish();
        membership
    });
    let mut directory = None;
    if let Some(mut section) = file.section("store") {
        directory = section.required("folder", Section::text).map(|directory| PathBuf::from(directory.value));
        section.finish();
    }
    let Trials { clock_fault, directory: store_faults, jobs: trial_leases } =
        file.section("trials").map_or_else(Trials::default, |mut section| {
            let trials = trials_section(&mut section);
            section.finish();
            trials
        });
    let leases = file.section("owner").and_then(|mut section| {
        let leases = leases_section(&mut section, directory.as_deref(), store_faults);
        section.finish();
        leases
    });
    let subsetting = file.section("subsets").map(|mut section| {
        let subsetting = subsetting_section(&mut section, &zones);
        section.finish();
        subsetting
    });
    let outlier_detection = file.section("signals").map(|mut section| {
        let zone = own_zone(&mut section, &zones);
        section.finish();
        outlier_detection::Settings { zone }
    });
    settings.insert("ceilings".into(), ceilings);
    settings.insert("specifics".into(), specifics);
    config.insert("settings".into(), settings.into());
    file.finish();
    InstallationConfig {
        config: config.into(),
        logging,
        membership,
        leases,
        subsetting,
        outlier_detection,
        trial_leases,
        store_faults,
        clock_fault,
    }
}

/// What is broken on purpose, and jobs that are there to be broken.
#[derive(Default)]
struct Trials {
    clock_fault: ClockFault,
    directory: durable_store::StoreFaults,
    jobs: Option<trial_leases::Settings>,
}

fn trials_section(section: &mut Section) -> Trials {
    let quota = section.size("folder-quota", 0..=MAX_MEMORY_BYTES);
    let slow = section.time("folder-slow", 0..=MAX_TIME);
    let fails = section.flag("folder-fails").unwrap_or(false);
    let directory = durable_store::StoreFaults {
        quota_bytes: quota.map(|quota| quota.value),
        sync_delay: Duration::from_micros(slow.map_or(0, |slow| slow.value)),
        sync_fails: fails,
    };
    let jobs = section.names("jobs").unwrap_or_default();
    let every = section.time("effect-every", 1_000..=MAX_TIME).map_or(20_000, |every| every.value);
    let pause = section.time("effect-pause", 0..=MAX_TIME).map_or(5_000, |pause| pause.value);
    let effects = section.address("effects");
    if let Some(job) = jobs.first().filter(|_| effects.is_none()) {
        section.problem(job.offset, "'trials.jobs' need 'trials.effects', the address that is told of them");
    }
    let jobs = jobs.into_iter().map(|job| job.value.into()).collect();
    let jobs = effects.map(|effects| trial_leases::Settings {
        lease_names: jobs,
        effects_address: effects.value,
        effect_interval: every,
        effect_delay: pause,
    });
    Trials { clock_fault: clock_section(section), directory, jobs }
}

/// Clocks that are wrong on purpose.
fn clock_section(section: &mut Section) -> ClockFault {
    let ahead = section.time("clock-ahead", 0..=MAX_TIME);
    let behind = section.time("clock-behind", 0..=MAX_TIME);
    if let Some(behind) = behind.as_ref().filter(|_| ahead.is_some()) {
        section.problem(behind.offset, "a clock is ahead or behind, not both: leave one of the two away");
    }
    let pace = section.number("clock-pace", 0.5..=2.0);
    let time = |time: Option<Located<Micros>>| time.map_or(0, |time| time.value as i64);
    let right = ClockFault::default();
    ClockFault {
        ahead: time(ahead) - time(behind),
        pace: pace.map_or(right.pace, |pace| (pace.value * 1e6) as u64),
    }
}

/// A section that must be there unless another file says it all.
fn section_unless_optional<'a>(
    file: &mut Section<'a>,
    key: &'static str,
    is_only_file: bool,
) -> Option<Section<'a>> {
    match is_only_file {
        true => file.required(key, Section::section),
        false => file.section(key),
    }
}

fn gateway_section(
    gateway: &mut Section,
    config: &mut Map<String, Value>,
    settings: &mut Map<String, Value>,
) {
    let name = gateway.required("name", Section::text);
    insert_some(config, "name", name.map(|name| name.value));
    let listen = gateway.required("listen", Section::address);
    insert_some(config, "listen", listen.map(|listen| listen.value.to_string()));
    let all = gateway.count("gateways", 1..=MAX_GATEWAYS);
    let all = all.map_or(1, |all| all.value);
    let number = gateway.count("number", 0..=MAX_GATEWAYS);
    if let Some(number) = number.as_ref().filter(|number| number.value >= all) {
        gateway.problem(
            number.offset,
            format!("'gateway.number' is {}, of {all} gateways counted from 0", number.value),
        );
    }
    settings.insert("balancers".into(), json!(all));
    settings.insert("me".into(), json!(number.map_or(0, |number| number.value)));
    let seed = gateway.text("seed");
    if let Some(seed) = seed.as_ref().filter(|seed| u64::from_str_radix(&seed.value, 16).is_err()) {
        gateway.problem(
            seed.offset,
            format!("'gateway.seed' is '{}', which is no hex number of 64 bits", seed.value),
        );
    }
    insert_some(config, "seed", seed.map(|seed| seed.value));
}

fn membership_section(section: &mut Section) -> Option<membership::Settings> {
    let listen = section.required("listen", Section::address);
    let advertise = section.address("advertise");
    if let Some(told) = advertise.as_ref().filter(|told| told.value.ip().is_unspecified()) {
        section.problem(
            told.offset,
            "'mesh.advertise' is where others find this gateway: name an address of its own",
        );
    }
    let advertise = advertise.map(|told| told.value);
    let seeds = section.names("seeds").unwrap_or_default();
    let seeds = seeds.into_iter().filter_map(|seed| match seed.value.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            section.problem(
                seed.offset,
                format!("'{}' is no address and port as in \"127.0.0.1:7946\"", seed.value),
            );
            None
        }
    });
    let seeds = seeds.collect();
    let given = section.required("keys", Section::names).unwrap_or_default();
    let keys: Vec<Key> = given
        .iter()
        .filter_map(|key| {
            let parsed = Key::parse(&key.value);
            if parsed.is_none() {
                // The key itself must not get into a log.
                section.problem(key.offset, "a key is 32 hex digits");
            }
            parsed
        })
        .collect();
    if given.is_empty() && section.contains("keys") {
        section.problem(section.offset(), "'mesh.keys' holds no key: the first seals, all of them open");
    }
    let listen = listen.filter(|_| !keys.is_empty());
    listen.map(|listen| membership::Settings { listen: listen.value, advertise, seeds, keys })
}

/// The least lease: some times what a letter there and back takes on a busy machine. And the longest that anybody would wait
/// for an owner.
const MIN_LEASE: Micros = SECOND / 2;
const MAX_LEASE: Micros = 600 * SECOND;
const DEFAULT_LEASE: Micros = 3 * SECOND;
/// A hundredth: many times what clocks of machines are off.
const DEFAULT_DRIFT: f64 = 0.01;

fn leases_section(
    section: &mut Section,
    directory: Option<&Path>,
    store_faults: durable_store::StoreFaults,
) -> Option<leases::Settings> {
    let acceptors = section.required("voters", Section::names)?;
    for acceptor in acceptors.iter().filter(|acceptor| acceptor.value.len() > MAX_NAME_BYTES) {
        section.problem(acceptor.offset, format!("a voter's name has {MAX_NAME_BYTES} bytes at the most"));
    }
    if acceptors.len().is_multiple_of(2) || acceptors.len() > MAX_ACCEPTORS {
        let found = acceptors.len();
        section.problem(
            acceptors.first().map_or(section.offset(), |acceptor| acceptor.offset),
            format!(
                "'owner.voters' names {found} gateways; name 1, 3, 5 or 7, as an even one more saves nothing"
            ),
        );
    }
    let list = section.flag("list").unwrap_or(false);
    let lease = section.time("lease", MIN_LEASE..=MAX_LEASE).map_or(DEFAULT_LEASE, |lease| lease.value);
    let drift = section.number("drift", 0.0..=0.2).map_or(DEFAULT_DRIFT, |drift| drift.value);
    let before = section.names("voters-before").unwrap_or_default();
    let change = section.count("change", 0..=u64::from(u32::MAX));
    let number = change.as_ref().map_or(0, |change| change.value as u32);
    if (number > 0) == before.is_empty() {
        let why = "a change of the voters has a number, counted from 1 ('owner.change'), and names those before it ('owner.voters-before')";
        section.problem(change.map_or(section.offset(), |change| change.offset), why);
    }
    let names = |names: Vec<Located<String>>| names.into_iter().map(|name| name.value.into()).collect();
    let acceptors = AcceptorSet { epoch: number, names: names(acceptors), previous_names: names(before) };
    let terms = LeaseTerms { duration: lease, max_drift_ppm: (drift * 1e6) as u64 };
    Some(leases::Settings {
        acceptors,
        terms,
        leases_endpoint_list: list,
        directory: directory.map(Path::to_path_buf),
        store_faults,
    })
}

/// A server in the most subsets that anybody may mean.
const MAX_SUBSET_SIZE: u64 = 10_000;

fn subsetting_section(section: &mut Section, zones: &[String]) -> subsetting::Settings {
    let default = fernscale_subsetting::Settings::default().min_servers;
    let least = section.count("least", fernscale_subsetting::MIN_SUBSET_SIZE as u64..=MAX_SUBSET_SIZE);
    let least = least.map_or(default, |least| least.value as usize);
    subsetting::Settings { min_servers: least, zone: own_zone(section, zones) }
}

/// Where this gateway stands.
fn own_zone(section: &mut Section, zones: &[String]) -> Option<String> {
    let zone = section.text("zone")?;
    // Where the platform's file names the zones they are looked up there.
    if !zones.is_empty() && !zones.contains(&zone.value) {
        section.problem(zone.offset, format!("'{}' is not among 'servers.zones'", zone.value));
    }
    Some(zone.value)
}

fn servers_section(servers: &mut Section, settings: &mut Map<String, Value>, ceilings: &mut Value) {
    for (key, lowered) in [("idle", "connIdleMs"), ("dial", "dialTimeoutMs")] {
        if let Some(time) = servers.time(key, 1000..=MAX_TIME) {
            ceilings[lowered] = json!(milliseconds(&time));
        }
    }
    for (key, lowered) in [("zones", "zones"), ("kinds", "kinds")] {
        let names = servers.names(key).unwrap_or_default();
        for name in names.iter().filter(|name| name.value.contains(',')) {
            servers.problem(name.offset, format!("'{}' has a comma, which names can't have", name.value));
        }
        settings.insert(lowered.into(), json!(names.into_iter().map(|name| name.value).collect::<Vec<_>>()));
    }
    let rules = settings.entry("rules").or_insert_with(|| json!({}));
    let share = servers.number("cold-share", 0.01..=1.0);
    let multiple = servers.number("fall-multiple", 1.0..=1000.0);
    if let Some(share) = share {
        rules["coldFrom"] = json!(share.value);
    }
    if let Some(multiple) = multiple {
        rules["fallMultiple"] = json!(multiple.value);
    }
    for (key, lowered) in [("warm-up", "warmUpMs"), ("fall-window", "fallMs")] {
        if let Some(time) = servers.time(key, 0..=MAX_TIME) {
            rules[lowered] = json!(milliseconds(&time));
        }
    }
    if let Some(names) = servers.names("load-report") {
        let names: Vec<_> = names.into_iter().map(|name| name.value).collect();
        settings.insert("telemetry".into(), json!({ "names": names }));
    }
}

fn names_of(settings: &Map<String, Value>, key: &str) -> Vec<String> {
    let names = settings.get(key).and_then(Value::as_array).into_iter().flatten();
    names.filter_map(|name| name.as_str().map(String::from)).collect()
}

fn known_server(server: &mut Section, zones: &[String], hardware_types: &[String]) -> Value {
    let name = server.required("name", Section::text).map(|name| name.value);
    let address = server.required("address", Section::address).map(|address| address.value.to_string());
    let weight = server.number("weight", 0.001..=1000.0).map_or(1.0, |weight| weight.value);
    let cell = server.count("cell", 0..=u32::MAX as u64).map_or(0, |cell| cell.value);
    let mut place = |key, known: &[String]| {
        let given: Located<String> = server.text(key)?;
        if !known.contains(&given.value) {
            server.problem(given.offset, format!("'{}' is not among 'servers.{key}s'", given.value));
        }
        Some(given.value)
    };
    let (zone, kind) = (place("zone", zones), place("kind", hardware_types));
    json!({ "name": name, "address": address, "zone": zone, "type": kind, "group": cell, "weight": weight,
        "status": "in_service", "since_ms": 0 })
}

fn request_class(request_class: &mut Section) -> Value {
    let name = request_class.required("name", list_name);
    let repeat = request_class.required("repeat", |request_class, key| {
        let choices =
            [("redoable", "read_like"), ("labelled", "idempotency_key"), ("irreversible", "non_idempotent")];
        request_class.choice(key, &choices)
    });
    let labelled = repeat.as_ref().is_some_and(|repeat| repeat.value == "idempotency_key");
    let group = request_class.choice("group", &[("all", "all"), ("zone", "zone"), ("cell", "cell")]);
    let memory = if labelled {
        request_class.required("memory", |request_class, key| request_class.time(key, 0..=MAX_TIME))
    } else {
        request_class.time("memory", 0..=MAX_TIME)
    };
    if let (Some(repeat), true) = (&repeat, !labelled && (group.is_some() || memory.is_some())) {
        request_class.problem(repeat.offset, "'group' and 'memory' are of labelled lanes only".to_string());
    }
    let agreed =
        request_class.required("agreed", |request_class, key| request_class.time(key, 1000..=MAX_TIME));
    let hard_stop =
        request_class.required("hard-stop", |request_class, key| request_class.time(key, 1000..=MAX_TIME));
    if let (Some(agreed), Some(stop)) = (&agreed, &hard_stop) {
        if stop.value < agreed.value {
            request_class.problem(stop.offset, "'hard-stop' comes before the agreed time".to_string());
        }
    }
    let importance = request_class.number("importance", 0.0..=1e6).map_or(1.0, |importance| importance.value);
    json!({
        "name": name.map(|name| name.value),
        "effect": repeat.map(|repeat| repeat.value),
        "group": group.map_or("all", |group| group.value),
        "memorySpanMs": memory.as_ref().map_or(0.0, milliseconds),
        "onTimeMs": agreed.as_ref().map(milliseconds),
        "giveUpMs": hard_stop.as_ref().map(milliseconds),
        "value": importance,
    })
}

fn tenant_plan(tenant_plan: &mut Section) -> Value {
    let name = tenant_plan.required("name", list_name);
    let units = |tenant_plan: &mut Section, key| tenant_plan.number(key, 0.0..=MAX_UNITS);
    let rate = units(tenant_plan, "rate");
    let burst = if rate.as_ref().is_some_and(|rate| rate.value > 0.0) {
        tenant_plan.required("burst", units)
    } else {
        units(tenant_plan, "burst")
    };
    let most_out = tenant_plan.count("most-out", 0..=u32::MAX as u64);
    let price = tenant_plan.number("price", 0.0..=1e6).map_or(1.0, |price| price.value);
    let over_worth = tenant_plan.number("over-worth", 0.0..=1e6).map_or(0.0, |worth| worth.value);
    let over_cost = tenant_plan.number("over-cost", 0.0..=1e6).map_or(1.0, |cost| cost.value);
    let (mut ceiling_rate, mut ceiling_burst) = (0.0, 0.0);
    if let Some(mut ceiling) = tenant_plan.section("ceiling") {
        let above =
            ceiling.required("rate", |ceiling, key| ceiling.number(key, f64::MIN_POSITIVE..=MAX_UNITS));
        let at_once = ceiling.required("burst", |ceiling, key| ceiling.number(key, 0.0..=MAX_UNITS));
        if let (Some(above), Some(rate)) = (&above, &rate) {
            if above.value < rate.value {
                ceiling.problem(above.offset, "the ceiling's rate is below the plan's own".to_string());
            }
        }
        (ceiling_rate, ceiling_burst) =
            (above.map_or(0.0, |rate| rate.value), at_once.map_or(0.0, |burst| burst.value));
        ceiling.finish();
    }
    json!({
        "name": name.map(|name| name.value),
        "unitsPerS": rate.map_or(0.0, |rate| rate.value),
        "burst": burst.map_or(0.0, |burst| burst.value),
        "maxOut": most_out.map_or(0, |most| most.value),
        "valueFactor": price,
        "excessWorth": over_worth,
        "excessCost": over_cost,
        "capRate": ceiling_rate,
        "ceilingBurst": ceiling_burst,
    })
}

/// A name that stands in a command's list, where commas and `=` part.
fn list_name(section: &mut Section, key: &'static str) -> Option<Located<String>> {
    let name = section.text(key)?;
    if name.value.contains([',', '=']) || name.value.chars().any(char::is_control) {
        section.problem(
            name.offset,
            format!("'{}' can't be a name: it has ',', '=' or a control character", name.value),
        );
    }
    Some(name)
}

fn logging(log: &mut Section) -> LogSettings {
    let mut logging = LogSettings::default();
    if let Some(form) = log.choice("form", &[("text", LogFormat::Text), ("json", LogFormat::Json)]) {
        logging.format = form.value;
    }
    let levels = [("warning", Level::Warning), ("info", Level::Info), ("debug", Level::Debug)];
    if let Some(level) = log.choice("level", &levels) {
        logging.level = level.value;
    }
    if let Some(each) = log.count("most-a-second", 1..=1_000_000) {
        logging.max_records_per_second = each.value as u32;
    }
    logging
}

fn require_unique_name(section: &Section, name: Option<&Value>, seen: &mut BTreeSet<String>, what: &str) {
    if let Some(name) = name.and_then(Value::as_str) {
        if !seen.insert(name.into()) {
            section.problem(section.offset(), format!("another {what} is named '{name}' already"));
        }
    }
}

fn insert_some(into: &mut Map<String, Value>, key: &str, value: Option<impl Into<Value>>) {
    if let Some(value) = value {
        into.insert(key.into(), value.into());
    }
}

/// Milliseconds, as the platform counts them.
fn milliseconds(time: &Located<Micros>) -> f64 {
    time.value as f64 / 1000.0
}

/// What the platform says wins over what the file says: sections key by key, lists whole.
pub fn overlay(file: Value, platform: Value) -> Value {
    match (file, platform) {
        (Value::Object(mut under), Value::Object(over)) => {
            for (key, value) in over {
                let merged = match under.remove(&key) {
                    Some(below) => overlay(below, value),
                    None => value,
                };
                under.insert(key, merged);
            }
            Value::Object(under)
        }
        (_, over) => over,
    }
}
