//! Reads the platform's settings into the module's types. Only this module knows the platform's names and
//! units.

use super::{Ceiling, Fields, Idempotency, KeyScope, Plan, RequestClass, Settings, SettingsError};
use crate::event::{LoadReport, Micros};

/// Default maximum units of a request: a shared counter could not hold more.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// Reads the settings of the decision module.
///
/// # Errors
///
/// Returns the first setting that is missing or invalid.
pub fn policy_settings(fields: &impl Fields) -> Result<Settings, SettingsError> {
    Ok(Settings {
        seed: fields.whole("prng")?,
        gateway_index: fields.whole_or("me", 0)? as u32,
        gateway_count: fields.whole_or("balancers", 1)? as u32,
        classes: indices(fields, "lanes")?
            .map(|index| request_class(fields, index))
            .collect::<Result<_, _>>()?,
        plans: indices(fields, "tiersOfService")?
            .map(|index| plan(fields, index))
            .collect::<Result<_, _>>()?,
        max_attempts: max_attempts(fields)?,
        can_cancel: fields.flag("ceilings.cancel")?,
        max_retry_after: max_retry_after(fields)?,
        has_shared_counter: fields.flag("specifics.sharedCounter")?,
        list_poll_interval: list_poll_interval(fields)?,
        slow_start_share: slow_start_share(fields)?,
        slow_start_duration: fields.time_or("rules.warmUpMs", 0)?,
        overload_factor: fields.amount_or("rules.fallMultiple", 1.0)?,
        overload_window: fields.time_or("rules.fallMs", 0)?,
    })
}

fn indices(fields: &impl Fields, list: &str) -> Result<std::ops::Range<u64>, SettingsError> {
    Ok(0..fields.whole_or(&format!("{list}.count"), 0)?)
}

fn max_attempts(fields: &impl Fields) -> Result<u32, SettingsError> {
    let key = "ceilings.sendCap";
    match fields.whole_or(key, 1)? {
        0 => Err(SettingsError::NoAttempts { key: key.into() }),
        attempts => Ok(attempts.min(u32::MAX.into()) as u32),
    }
}

fn max_retry_after(fields: &impl Fields) -> Result<Micros, SettingsError> {
    if fields.flag("ceilings.retryAfter")? {
        fields.time_or("ceilings.maxRetryAfterMs", 0)
    } else {
        Ok(0)
    }
}

fn list_poll_interval(fields: &impl Fields) -> Result<Option<Micros>, SettingsError> {
    let key = "discovery";
    match fields.field(key) {
        Some("on_request") => Ok(Some(fields.time_or("rules.askWithinMs", 0)?)),
        Some("pushed") | None => Ok(None),
        Some(other) => Err(SettingsError::UnknownDiscovery { key: key.into(), found: other.into() }),
    }
}

fn slow_start_share(fields: &impl Fields) -> Result<f64, SettingsError> {
    let key = "rules.coldFrom";
    let share = fields.amount_or(key, 1.0)?;
    if share > 1.0 {
        return Err(SettingsError::ShareAboveOne { key: key.into(), found: share });
    }
    Ok(share)
}

fn request_class(fields: &impl Fields, index: u64) -> Result<RequestClass, SettingsError> {
    let key = |name: &str| format!("lanes.{index}.{name}");
    Ok(RequestClass {
        idempotency: idempotency(fields, &key)?,
        latency_objective: fields.nonzero_time(&key("onTimeMs"))?,
        priority_weight: fields.number_or(&key("value"), 1.0)?,
    })
}

fn idempotency(fields: &impl Fields, key: &impl Fn(&str) -> String) -> Result<Idempotency, SettingsError> {
    match fields.text(&key("effect"))? {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::Keyed {
            scope: key_scope(fields, key("group"))?,
            retention: fields.time_or(&key("memorySpanMs"), 0)?,
        }),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::UnknownIdempotency { key: key("effect"), found: other.into() }),
    }
}

fn key_scope(fields: &impl Fields, key: String) -> Result<KeyScope, SettingsError> {
    match fields.text(&key)? {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        other => Err(SettingsError::UnknownKeyScope { found: other.into(), key }),
    }
}

fn plan(fields: &impl Fields, index: u64) -> Result<Plan, SettingsError> {
    let key = |name: &str| format!("tiersOfService.{index}.{name}");
    let number = |name: &str| fields.amount_or(&key(name), 0.0);
    let max_concurrency = number("maxOut")?;
    if max_concurrency.fract() != 0.0 {
        return Err(SettingsError::NotAWholeNumber {
            key: key("maxOut"),
            found: max_concurrency.to_string(),
        });
    }
    let ceiling = Ceiling { rate: number("capRate")?, burst: number("ceilingBurst")? };
    Ok(Plan {
        rate: number("unitsPerS")?,
        burst: number("burst")?,
        max_concurrency: max_concurrency as u32,
        priority_factor: fields.number_or(&key("valueFactor"), 1.0)?,
        excess_value: number("excessWorth")?,
        excess_cost: number("excessCost")?,
        ceiling: Some(ceiling).filter(|ceiling| ceiling.rate > 0.0),
    })
}

/// The platform's settings that a gateway needs besides [`Settings`]: outer names and the site's limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformSettings {
    /// Names of the request classes, by index.
    pub class_names: Vec<String>,
    /// Names of the plans, by index.
    pub plan_names: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the hardware types, by index.
    pub hardware_types: Vec<String>,
    /// Names of the values in a server's load report, in order.
    pub load_fields: Vec<String>,
    /// Time after which a connection that is not established is given up.
    pub connect_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// The longest wait for a reply of the shared counter.
    pub counter_timeout: Micros,
    /// The longest time that a client of any class waits for an answer.
    pub max_client_wait: Micros,
    /// The longest Retry-After of a rejection.
    pub max_retry_after: Micros,
    /// Whether this gateway's own agent pushes the endpoint list. Otherwise all gateways poll a common service.
    pub list_is_pushed: bool,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// The maximum units of a request.
    pub max_units: f64,
}

/// Reads the gateway's settings other than those of the decision module.
///
/// # Errors
///
/// Returns the first setting that is missing or invalid.
pub fn platform_settings(fields: &impl Fields) -> Result<PlatformSettings, SettingsError> {
    // Read first, because only the first of several invalid settings is reported.
    let max_client_wait = max_client_wait(fields)?;
    Ok(PlatformSettings {
        class_names: unique_names(fields, "lanes")?,
        plan_names: unique_names(fields, "tiersOfService")?,
        zones: fields.names("zones"),
        hardware_types: fields.names("kinds"),
        load_fields: fields.names("telemetry.names"),
        connect_timeout: fields.nonzero_time("ceilings.dialTimeoutMs")?,
        idle_timeout: fields.time("ceilings.connIdleMs")?,
        counter_timeout: fields.time_or("specifics.countWaitMs", 0)?,
        max_client_wait,
        max_retry_after: max_retry_after(fields)?,
        list_is_pushed: fields.field("discovery") != Some("on_request"),
        gateway_count: fields.whole_or("balancers", 1)?.max(1) as u32,
        max_units: fields.number_or("specifics.mostUnits", DEFAULT_MAX_UNITS)?,
    })
}

fn unique_names(fields: &impl Fields, list: &str) -> Result<Vec<String>, SettingsError> {
    let mut names: Vec<String> = Vec::new();
    for index in indices(fields, list)? {
        let key = format!("{list}.{index}.name");
        let name = fields.text(&key)?;
        if names.iter().any(|known| known == name) {
            return Err(SettingsError::DuplicateName { found: name.into(), key });
        }
        names.push(name.into());
    }
    Ok(names)
}

fn max_client_wait(fields: &impl Fields) -> Result<Micros, SettingsError> {
    let mut max_wait = 0;
    for index in indices(fields, "lanes")? {
        max_wait = max_wait.max(fields.nonzero_time(&format!("lanes.{index}.giveUpMs"))?);
    }
    Ok(max_wait)
}

/// Sets one value of a load report; unknown names are ignored.
///
/// # Errors
///
/// The value is not a number.
pub fn parse_load_field(load: &mut LoadReport, name: &str, value: &str) -> Result<(), SettingsError> {
    let Ok(number) = value.parse::<f64>() else {
        return Err(SettingsError::LoadNotANumber { found: value.into() });
    };
    match name {
        "busy_reqs" => load.in_flight = Some(number),
        "pending" => load.queued = Some(number),
        "cpu_share" => load.utilization = Some(number),
        "svc_ms" => load.service_time = Some((number * 1000.0).max(0.0) as Micros),
        _ => {}
    }
    Ok(())
}
