//! The sections of `fernscale.toml` about the servers, requests and tenants of a gateway: `[[server]]`, the servers known
//! before discovery replies; `[[lane]]`, the request classes; and `[[plan]]`, the plans of tenants.

use std::collections::BTreeSet;

use serde_json::{json, Value};

use super::super::reader::{Located, Section};
use super::{milliseconds, PlatformForm, MAX_TIME, MAX_UNITS};

impl PlatformForm {
    pub(super) fn read_service_sections(&mut self, file: &mut Section, is_only_file: bool) {
        let zones = self.names("zones");
        let hardware_types = self.names("kinds");
        let endpoints = read_list(file, "server", |server| known_server(server, &zones, &hardware_types));
        self.config.insert("known".into(), json!({ "index": 0, "snapshot": true, "endpoints": endpoints }));
        let request_classes = read_list(file, "lane", request_class);
        self.insert_list(file, "lane", "lanes", request_classes, is_only_file);
        let plans = read_list(file, "plan", plan);
        self.insert_list(file, "plan", "tiersOfService", plans, is_only_file);
    }

    /// Sets a list in the platform's settings. An empty list is a problem unless another file can define it.
    fn insert_list(
        &mut self,
        file: &Section,
        key: &str,
        platform_key: &str,
        list: Vec<Value>,
        is_only_file: bool,
    ) {
        if list.is_empty() && !is_only_file {
            return;
        }
        if list.is_empty() {
            file.problem(file.offset(), format!("no '[[{key}]]' section; at least one is required"));
        }
        self.settings.insert(platform_key.into(), list.into());
    }
}

/// Reads the sections of a list, `[[key]]`, whose names must be unique.
fn read_list(file: &mut Section, key: &'static str, read: impl Fn(&mut Section) -> Value) -> Vec<Value> {
    let mut names = BTreeSet::new();
    file.read_sections(key, |section| {
        let value = read(section);
        if let Some(name) = value.get("name").and_then(Value::as_str) {
            if !names.insert(name.to_string()) {
                section.problem(section.offset(), format!("another {key} already has the name '{name}'"));
            }
        }
        value
    })
}

fn known_server(server: &mut Section, zones: &[String], hardware_types: &[String]) -> Value {
    let name = server.required("name", Section::text).map(|name| name.value);
    let address = server.required("address", Section::address).map(|address| address.value.to_string());
    let weight = server.number("weight", 0.001..=1000.0).map_or(1.0, |weight| weight.value);
    let cell = server.count("cell", 0..=u64::from(u32::MAX)).map_or(0, |cell| cell.value);
    let zone = listed_name(server, "zone", zones);
    let hardware_type = listed_name(server, "kind", hardware_types);
    json!({ "name": name, "address": address, "zone": zone, "type": hardware_type, "group": cell, "weight": weight,
        "status": "in_service", "since_ms": 0 })
}

/// Reads a name that must be listed in `[servers]`.
fn listed_name(server: &mut Section, key: &'static str, listed: &[String]) -> Option<String> {
    let name = server.text(key)?;
    if !listed.contains(&name.value) {
        server.problem(name.offset, format!("'{}' is not listed in 'servers.{key}s'", name.value));
    }
    Some(name.value)
}

/// Reads a request class into the platform's form.
fn request_class(class: &mut Section) -> Value {
    let name = class.required("name", delimiter_free_name);
    let idempotency = class.required("repeat", |class, key| {
        let choices =
            [("redoable", "read_like"), ("labelled", "idempotency_key"), ("irreversible", "non_idempotent")];
        class.choice(key, &choices)
    });
    let is_keyed = idempotency.as_ref().is_some_and(|idempotency| idempotency.value == "idempotency_key");
    let scope = class.choice("group", &[("all", "all"), ("zone", "zone"), ("cell", "cell")]);
    let retention = if is_keyed {
        class.required("memory", |class, key| class.time(key, 0..=MAX_TIME))
    } else {
        class.time("memory", 0..=MAX_TIME)
    };
    if let Some(idempotency) = idempotency.as_ref().filter(|_| !is_keyed) {
        if scope.is_some() || retention.is_some() {
            class.problem(
                idempotency.offset,
                "'group' and 'memory' are allowed for labelled lanes only".to_string(),
            );
        }
    }
    let objective = class.required("agreed", |class, key| class.time(key, 1000..=MAX_TIME));
    let deadline = class.required("hard-stop", |class, key| class.time(key, 1000..=MAX_TIME));
    if let (Some(objective), Some(deadline)) = (&objective, &deadline) {
        if deadline.value < objective.value {
            class.problem(deadline.offset, "'hard-stop' is shorter than 'agreed'".to_string());
        }
    }
    let priority_weight = class.number("importance", 0.0..=1e6).map_or(1.0, |weight| weight.value);
    json!({
        "name": name.map(|name| name.value),
        "effect": idempotency.map(|idempotency| idempotency.value),
        "group": scope.map_or("all", |scope| scope.value),
        "memorySpanMs": retention.as_ref().map_or(0.0, milliseconds),
        "onTimeMs": objective.as_ref().map(milliseconds),
        "giveUpMs": deadline.as_ref().map(milliseconds),
        "value": priority_weight,
    })
}

/// Reads a plan into the platform's form.
fn plan(plan: &mut Section) -> Value {
    let name = plan.required("name", delimiter_free_name);
    let units = |plan: &mut Section, key| plan.number(key, 0.0..=MAX_UNITS);
    let rate = units(plan, "rate");
    let burst = if rate.as_ref().is_some_and(|rate| rate.value > 0.0) {
        plan.required("burst", units)
    } else {
        units(plan, "burst")
    };
    let max_in_flight = plan.count("most-out", 0..=u64::from(u32::MAX));
    let priority_weight = plan.number("price", 0.0..=1e6).map_or(1.0, |price| price.value);
    let excess_weight = plan.number("over-worth", 0.0..=1e6).map_or(0.0, |worth| worth.value);
    let excess_cost = plan.number("over-cost", 0.0..=1e6).map_or(1.0, |cost| cost.value);
    let ceiling = plan.read_section("ceiling", |section| Ceiling::read(section, rate.as_ref()));
    let ceiling = ceiling.unwrap_or_default();
    json!({
        "name": name.map(|name| name.value),
        "unitsPerS": rate.map_or(0.0, |rate| rate.value),
        "burst": burst.map_or(0.0, |burst| burst.value),
        "maxOut": max_in_flight.map_or(0, |max| max.value),
        "valueFactor": priority_weight,
        "excessWorth": excess_weight,
        "excessCost": excess_cost,
        "capRate": ceiling.rate,
        "ceilingBurst": ceiling.burst,
    })
}

/// The hard ceiling of a plan: its rate in units per second, and its burst in units.
#[derive(Default)]
struct Ceiling {
    rate: f64,
    burst: f64,
}

impl Ceiling {
    /// Reads a ceiling. Its rate must not be below the plan's own rate.
    fn read(ceiling: &mut Section, plan_rate: Option<&Located<f64>>) -> Self {
        let rate =
            ceiling.required("rate", |ceiling, key| ceiling.number(key, f64::MIN_POSITIVE..=MAX_UNITS));
        let burst = ceiling.required("burst", |ceiling, key| ceiling.number(key, 0.0..=MAX_UNITS));
        if let (Some(rate), Some(plan_rate)) = (&rate, plan_rate) {
            if rate.value < plan_rate.value {
                ceiling.problem(rate.offset, "the ceiling's rate is below the plan's rate".to_string());
            }
        }
        Ceiling { rate: rate.map_or(0.0, |rate| rate.value), burst: burst.map_or(0.0, |burst| burst.value) }
    }
}

/// Reads a name that must not contain the characters that delimit names in command arguments.
fn delimiter_free_name(section: &mut Section, key: &'static str) -> Option<Located<String>> {
    let name = section.text(key)?;
    if name.value.contains([',', '=']) || name.value.chars().any(char::is_control) {
        section.problem(
            name.offset,
            format!("'{}' is not a valid name: it contains ',', '=' or a control character", name.value),
        );
    }
    Some(name)
}
