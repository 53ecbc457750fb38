//! Reads the settings, in one place for all who are given them. Names and units are the outside's.

use crate::interface::{Ceiling, Idempotency, KeyScope, LoadReport, Micros, Plan, RequestClass, Settings};

pub type Parsed<T> = Result<T, String>;

/// Named values, however they came in; `lanes.0.value` is the value of the first lane.
pub trait Fields {
    fn field(&self, key: &str) -> Option<&str>;

    fn text(&self, key: &str) -> Parsed<&str> {
        self.field(key).ok_or_else(|| format!("'{key}' is missing"))
    }

    /// A number, or `None` where the field is absent.
    fn maybe(&self, key: &str) -> Parsed<Option<f64>> {
        let Some(text) = self.field(key) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(format!("'{key}={text}' is no number")),
        }
    }

    fn number(&self, key: &str) -> Parsed<f64> {
        self.maybe(key)?.ok_or_else(|| format!("'{key}' is missing"))
    }

    fn number_or(&self, key: &str, absent: f64) -> Parsed<f64> {
        Ok(self.maybe(key)?.unwrap_or(absent))
    }

    fn whole(&self, key: &str) -> Parsed<u64> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("'{key}={text}' is no whole number"))
    }

    fn whole_or(&self, key: &str, absent: u64) -> Parsed<u64> {
        self.field(key).map_or(Ok(absent), |_| self.whole(key))
    }

    /// A number that is not below none.
    fn amount_or(&self, key: &str, absent: f64) -> Parsed<f64> {
        let number = self.number_or(key, absent)?;
        if number < 0.0 {
            return Err(format!("'{key}={number}' is below 0"));
        }
        Ok(number)
    }

    /// Milliseconds outside, whole microseconds from here on.
    fn time(&self, key: &str) -> Parsed<Micros> {
        self.number(key)?;
        Ok((self.amount_or(key, 0.0)? * 1000.0).round() as Micros)
    }

    /// The same of a time in which something has to be done.
    fn some_time(&self, key: &str) -> Parsed<Micros> {
        match self.time(key)? {
            0 => Err(format!("'{key}={}' leaves no time", self.text(key)?)),
            time => Ok(time),
        }
    }

    fn time_or(&self, key: &str, absent: Micros) -> Parsed<Micros> {
        self.field(key).map_or(Ok(absent), |_| self.time(key))
    }

    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.field(key) {
            None | Some("0") | Some("false") => Ok(false),
            Some("1") | Some("true") => Ok(true),
            Some(other) => Err(format!("'{key}={other}' is neither yes nor no")),
        }
    }

    /// Names in a row, with commas between them.
    fn names(&self, key: &str) -> Vec<String> {
        let names = self.field(key).unwrap_or_default().split(',');
        names.filter(|name| !name.is_empty()).map(String::from).collect()
    }
}

/// What the module goes by.
pub fn policy_settings(from: &impl Fields) -> Parsed<Settings> {
    Ok(Settings {
        seed: from.whole("prng")?,
        gateway_index: from.whole_or("me", 0)? as u32,
        gateway_count: from.whole_or("balancers", 1)? as u32,
        classes: (0..from.whole_or("lanes.count", 0)?).map(|at| lane(from, at)).collect::<Parsed<_>>()?,
        plans: (0..from.whole_or("tiersOfService.count", 0)?)
            .map(|at| plan(from, at))
            .collect::<Parsed<_>>()?,
        max_attempts: match from.whole_or("ceilings.sendCap", 1)? {
            0 => return Err("'ceilings.sendCap=0': nothing could be sent".into()),
            most => most.min(u32::MAX.into()) as u32,
        },
        can_cancel: from.flag("ceilings.cancel")?,
        max_retry_after: longest_wait(from)?,
        has_shared_counter: from.flag("specifics.sharedCounter")?,
        list_poll_interval: match from.field("discovery") {
            Some("on_request") => Some(from.time_or("rules.askWithinMs", 0)?),
            Some("pushed") | None => None,
            Some(other) => return Err(format!("'discovery={other}' is neither 'pushed' nor 'on_request'")),
        },
        slow_start_share: match from.amount_or("rules.coldFrom", 1.0)? {
            share if share > 1.0 => return Err(format!("'rules.coldFrom={share}' is more than all")),
            share => share,
        },
        slow_start_duration: from.time_or("rules.warmUpMs", 0)?,
        overload_factor: from.amount_or("rules.fallMultiple", 1.0)?,
        overload_window: from.time_or("rules.fallMs", 0)?,
    })
}

fn longest_wait(from: &impl Fields) -> Parsed<Micros> {
    match from.flag("ceilings.retryAfter")? {
        true => from.time_or("ceilings.maxRetryAfterMs", 0),
        false => Ok(0),
    }
}

fn lane(from: &impl Fields, at: u64) -> Parsed<RequestClass> {
    let key = |name: &str| format!("lanes.{at}.{name}");
    let kind = match from.text(&key("effect"))? {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::Keyed {
            scope: match from.text(&key("group"))? {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::Cell,
                other => return Err(format!("'{}={other}' is no group", key("group"))),
            },
            retention: from.time_or(&key("memorySpanMs"), 0)?,
        },
        "non_idempotent" => Idempotency::NonIdempotent,
        other => return Err(format!("'{}={other}' is no effect", key("effect"))),
    };
    Ok(RequestClass {
        idempotency: kind,
        latency_objective: from.some_time(&key("onTimeMs"))?,
        priority_weight: from.number_or(&key("value"), 1.0)?,
    })
}

fn plan(from: &impl Fields, at: u64) -> Parsed<Plan> {
    let number = |name: &str| from.amount_or(&format!("tiersOfService.{at}.{name}"), 0.0);
    let most_out = number("maxOut")?;
    if most_out.fract() != 0.0 {
        return Err(format!("'tiersOfService.{at}.maxOut={most_out}' is no whole number"));
    }
    let ceiling = Ceiling { rate: number("capRate")?, burst: number("ceilingBurst")? };
    Ok(Plan {
        rate: number("unitsPerS")?,
        burst: number("burst")?,
        max_concurrency: most_out as u32,
        priority_factor: from.number_or(&format!("tiersOfService.{at}.valueFactor"), 1.0)?,
        excess_value: number("excessWorth")?,
        excess_cost: number("excessCost")?,
        ceiling: Some(ceiling).filter(|ceiling| ceiling.rate > 0.0),
    })
}

/// What a gateway needs besides, to speak with the outside: the names in use there, and the site's times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformSettings {
    pub class_names: Vec<String>,
    pub plan_names: Vec<String>,
    pub zones: Vec<String>,
    pub hardware_types: Vec<String>,
    pub load_fields: Vec<String>,
    /// A connection that is not up by then never comes up; one idle for so long ends; so does a call's wait.
    pub connect_timeout: Micros,
    pub idle_timeout: Micros,
    pub counter_timeout: Micros,
    /// The longest that any client waits, and the longest wait that one may be advised.
    pub max_client_wait: Micros,
    pub max_retry_after: Micros,
    /// The list of servers comes from an agent of this gateway's own, which has all as soon as it is told; else from a service that
    /// all gateways ask by turns.
    pub list_is_pushed: bool,
    /// How many gateways there are, and the most units that a transaction may take.
    pub gateway_count: u32,
    pub max_units: f64,
}

/// What nobody means: a count could not hold more, where the settings don't name the most.
const MOST_UNITS: f64 = 1e6;

pub fn platform_settings(from: &impl Fields) -> Parsed<PlatformSettings> {
    let all = |list: &str| -> Parsed<Vec<String>> {
        let mut names: Vec<String> = Vec::new();
        for at in 0..from.whole_or(&format!("{list}.count"), 0)? {
            let key = format!("{list}.{at}.name");
            let name = from.text(&key)?;
            // Which of the two a client means can't be known.
            if names.iter().any(|known| known == name) {
                return Err(format!("'{key}={name}' comes twice"));
            }
            names.push(name.into());
        }
        Ok(names)
    };
    let give_up = |at| from.some_time(&format!("lanes.{at}.giveUpMs"));
    let waits = (0..from.whole_or("lanes.count", 0)?).map(give_up).collect::<Parsed<Vec<_>>>()?;
    Ok(PlatformSettings {
        class_names: all("lanes")?,
        plan_names: all("tiersOfService")?,
        zones: from.names("zones"),
        hardware_types: from.names("kinds"),
        load_fields: from.names("telemetry.names"),
        connect_timeout: from.some_time("ceilings.dialTimeoutMs")?,
        idle_timeout: from.time("ceilings.connIdleMs")?,
        counter_timeout: from.time_or("specifics.countWaitMs", 0)?,
        max_client_wait: waits.into_iter().max().unwrap_or(0),
        max_retry_after: longest_wait(from)?,
        list_is_pushed: from.field("discovery") != Some("on_request"),
        gateway_count: from.whole_or("balancers", 1)?.max(1) as u32,
        max_units: from.number_or("specifics.mostUnits", MOST_UNITS)?,
    })
}

/// One value of a load report.
pub fn parse_load_field(load: &mut LoadReport, name: &str, value: &str) -> Parsed<()> {
    let value: f64 = value.parse().map_err(|_| format!("'{value}' in a load report is no number"))?;
    match name {
        "busy_reqs" => load.in_flight = Some(value),
        "pending" => load.queued = Some(value),
        "cpu_share" => load.utilization = Some(value),
        "svc_ms" => load.service_time = Some((value * 1000.0).max(0.0) as Micros),
        _ => {}
    }
    Ok(())
}
