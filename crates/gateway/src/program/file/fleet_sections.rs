//! The sections of `fernscale.toml` without keys in the platform's form: `[mesh]`, `[store]`, `[owner]`, `[subsets]` and
//! `[signals]`, which configure the cooperation of gateways, and `[trials]`, which configures faults to inject in tests.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use fernscale_lease::{AcceptorSet, LeaseSettings, Name, MAX_ACCEPTORS, MAX_NAME_BYTES};
use fernscale_membership::seal::Key;
use fernscale_policy::Micros;

use super::super::reader::{Located, Section};
use super::gateway_sections::MAX_MEMORY_BYTES;
use super::{MAX_TIME, SECOND};
use crate::fleet::durable_store::StoreFaults;
use crate::fleet::{leases, membership, outlier_detection, subsetting, trial_leases};
use crate::transport::clock::ClockFault;

/// Shortest lease: several message round trips on a busy machine.
const MIN_LEASE: Micros = SECOND / 2;
/// Longest lease. A lease whose holder has died can stay without a holder for this long.
const MAX_LEASE: Micros = 600 * SECOND;
const DEFAULT_LEASE: Micros = 3 * SECOND;
/// Default bound on the relative clock drift between two machines: many times the real drift.
const DEFAULT_DRIFT: f64 = 0.01;

const MAX_SUBSET_SIZE: u64 = 10_000;

/// The settings read from these sections.
pub(super) struct FleetSections {
    pub membership: Option<membership::Settings>,
    pub leases: Option<leases::Settings>,
    pub subsetting: Option<subsetting::Settings>,
    pub outlier_detection: Option<outlier_detection::Settings>,
    pub trials: Trials,
}

/// The section `[trials]`.
#[derive(Default)]
pub(super) struct Trials {
    pub clock_fault: ClockFault,
    pub store_faults: StoreFaults,
    pub leases: Option<trial_leases::Settings>,
}

/// Reads the sections. `zones` are the names that `[servers]` lists.
pub(super) fn read(file: &mut Section, zones: &[String]) -> FleetSections {
    let membership = file.read_section("mesh", membership_settings).flatten();
    let directory = file.read_section("store", |store| store.required("folder", Section::text)).flatten();
    let directory = directory.map(|directory| PathBuf::from(directory.value));
    let trials = file.read_section("trials", Trials::read).unwrap_or_default();
    let leases = file
        .read_section("owner", |section| lease_settings(section, directory.as_deref(), trials.store_faults));
    let subsetting = file.read_section("subsets", |section| subsetting_settings(section, zones));
    let outlier_detection = file
        .read_section("signals", |section| outlier_detection::Settings { zone: local_zone(section, zones) });
    FleetSections { membership, leases: leases.flatten(), subsetting, outlier_detection, trials }
}

impl Trials {
    fn read(section: &mut Section) -> Self {
        let store_faults = store_faults(section);
        let leases = trial_leases_settings(section);
        let clock_fault = clock_fault(section);
        Trials { clock_fault, store_faults, leases }
    }
}

fn store_faults(section: &mut Section) -> StoreFaults {
    let quota = section.size("folder-quota", 0..=MAX_MEMORY_BYTES);
    let sync_delay = section.time("folder-slow", 0..=MAX_TIME);
    let sync_fails = section.flag("folder-fails").unwrap_or(false);
    StoreFaults {
        quota_bytes: quota.map(|quota| quota.value),
        sync_delay: Duration::from_micros(sync_delay.map_or(0, |delay| delay.value)),
        sync_fails,
    }
}

fn trial_leases_settings(section: &mut Section) -> Option<trial_leases::Settings> {
    let names = section.names("jobs").unwrap_or_default();
    let interval = section.time("effect-every", 1_000..=MAX_TIME);
    let delay = section.time("effect-pause", 0..=MAX_TIME);
    let address = section.address("effects");
    if let Some(name) = names.first().filter(|_| address.is_none()) {
        section.problem(
            name.offset,
            "'trials.jobs' need 'trials.effects', the address that receives their effects",
        );
    }
    Some(trial_leases::Settings {
        lease_names: lease_names(names),
        effects_address: address?.value,
        effect_interval: interval.map_or(20_000, |interval| interval.value),
        effect_delay: delay.map_or(5_000, |delay| delay.value),
    })
}

fn clock_fault(section: &mut Section) -> ClockFault {
    let ahead = section.time("clock-ahead", 0..=MAX_TIME);
    let behind = section.time("clock-behind", 0..=MAX_TIME);
    if let Some(behind) = behind.as_ref().filter(|_| ahead.is_some()) {
        section.problem(behind.offset, "a clock is ahead or behind, not both: remove one of the two keys");
    }
    let pace = section.number("clock-pace", 0.5..=2.0);
    let signed = |time: Option<Located<Micros>>| time.map_or(0, |time| time.value as i64);
    ClockFault {
        ahead: signed(ahead) - signed(behind),
        pace: pace.map_or(ClockFault::default().pace, |pace| (pace.value * 1e6) as u64),
    }
}

/// Returns `None`, with the problems reported, if the address or the keys are missing or invalid.
fn membership_settings(section: &mut Section) -> Option<membership::Settings> {
    let listen = section.required("listen", Section::address);
    let advertise = section.address("advertise");
    if let Some(address) = advertise.as_ref().filter(|address| address.value.ip().is_unspecified()) {
        section.problem(
            address.offset,
            "'mesh.advertise' is the address at which other gateways reach this one: it can't be unspecified",
        );
    }
    let seeds = seed_addresses(section);
    let keys = keys(section);
    if keys.is_empty() {
        return None;
    }
    let advertise = advertise.map(|address| address.value);
    Some(membership::Settings { listen: listen?.value, advertise, seeds, keys })
}

fn seed_addresses(section: &mut Section) -> Vec<SocketAddr> {
    let seeds = section.names("seeds").unwrap_or_default();
    let address = |seed: Located<String>| {
        let address = seed.value.parse().ok();
        if address.is_none() {
            let problem = format!("'{}' is not an address and port such as \"127.0.0.1:7946\"", seed.value);
            section.problem(seed.offset, problem);
        }
        address
    };
    seeds.into_iter().filter_map(address).collect()
}

fn keys(section: &mut Section) -> Vec<Key> {
    let key_texts = section.required("keys", Section::names).unwrap_or_default();
    if key_texts.is_empty() && section.contains("keys") {
        section.problem(
            section.offset(),
            "'mesh.keys' is empty: the first key authenticates sent messages, all keys are accepted",
        );
    }
    let key = |text: &Located<String>| {
        let key = Key::parse(&text.value);
        if key.is_none() {
            // Danger: problems are logged, so the message must not contain the key.
            section.problem(text.offset, "a key must have 32 hex digits");
        }
        key
    };
    key_texts.iter().filter_map(key).collect()
}

fn lease_settings(
    section: &mut Section,
    directory: Option<&Path>,
    store_faults: StoreFaults,
) -> Option<leases::Settings> {
    let acceptors = section.required("voters", Section::names)?;
    check_acceptors(section, &acceptors);
    let leases_endpoint_list = section.flag("list").unwrap_or(false);
    let duration = section.time("lease", MIN_LEASE..=MAX_LEASE).map_or(DEFAULT_LEASE, |lease| lease.value);
    let drift = section.number("drift", 0.0..=0.2).map_or(DEFAULT_DRIFT, |drift| drift.value);
    let previous = section.names("voters-before").unwrap_or_default();
    let change = section.count("change", 0..=u64::from(u32::MAX));
    let epoch = change.as_ref().map_or(0, |change| change.value as u32);
    if (epoch > 0) == previous.is_empty() {
        let problem = "a change of the voters needs both its number, counted from 1 ('owner.change'), \
             and the voters before the change ('owner.voters-before')";
        section.problem(change.map_or(section.offset(), |change| change.offset), problem);
    }
    Some(leases::Settings {
        acceptors: AcceptorSet {
            epoch,
            names: lease_names(acceptors),
            previous_names: lease_names(previous),
        },
        terms: LeaseSettings { duration, max_drift_ppm: (drift * 1e6) as u64 },
        leases_endpoint_list,
        directory: directory.map(Path::to_path_buf),
        store_faults,
    })
}

fn check_acceptors(section: &Section, acceptors: &[Located<String>]) {
    for acceptor in acceptors.iter().filter(|acceptor| acceptor.value.len() > MAX_NAME_BYTES) {
        section.problem(acceptor.offset, format!("a voter's name must not exceed {MAX_NAME_BYTES} bytes"));
    }
    let found = acceptors.len();
    if found.is_multiple_of(2) || found > MAX_ACCEPTORS {
        section.problem(
            acceptors.first().map_or(section.offset(), |acceptor| acceptor.offset),
            format!(
                "'owner.voters' lists {found} gateways; list 1, 3, 5 or 7, because an even number adds no fault tolerance"
            ),
        );
    }
}

fn lease_names(names: Vec<Located<String>>) -> Vec<Name> {
    names.into_iter().map(|name| name.value.into()).collect()
}

fn subsetting_settings(section: &mut Section, zones: &[String]) -> subsetting::Settings {
    let min_servers = section.count("least", fernscale_subsetting::MIN_SUBSET_SIZE as u64..=MAX_SUBSET_SIZE);
    let default = fernscale_subsetting::Settings::default().min_servers;
    subsetting::Settings {
        min_servers: min_servers.map_or(default, |min_servers| min_servers.value as usize),
        zone: local_zone(section, zones),
    }
}

/// This gateway's zone. If `[servers]` lists no zones, the platform's file may list them; that is checked later.
fn local_zone(section: &mut Section, zones: &[String]) -> Option<String> {
    let zone = section.text("zone")?;
    if !zones.is_empty() && !zones.contains(&zone.value) {
        section.problem(zone.offset, format!("'{}' is not listed in 'servers.zones'", zone.value));
    }
    Some(zone.value)
}
