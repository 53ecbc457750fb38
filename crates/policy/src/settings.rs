//! Reads the settings, in one place for all who are given them. Names and units are the outside's.

use crate::interface::{Ceiling, Group, Kind, Lane, Load, Micros, Plan, Settings};

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
pub fn settings(from: &impl Fields) -> Parsed<Settings> {
    Ok(Settings {
        seed: from.whole("prng")?,
        me: from.whole_or("me", 0)? as u32,
        gateways: from.whole_or("balancers", 1)? as u32,
        lanes: (0..from.whole_or("lanes.count", 0)?).map(|at| lane(from, at)).collect::<Parsed<_>>()?,
        plans: (0..from.whole_or("tiersOfService.count", 0)?)
            .map(|at| plan(from, at))
            .collect::<Parsed<_>>()?,
        most_trips: match from.whole_or("ceilings.sendCap", 1)? {
            0 => return Err("'ceilings.sendCap=0': nothing could be sent".into()),
            most => most.min(u32::MAX.into()) as u32,
        },
        may_cancel: from.flag("ceilings.cancel")?,
        longest_wait: longest_wait(from)?,
        counter: from.flag("specifics.sharedCounter")?,
        list_on_request: match from.field("discovery") {
            Some("on_request") => Some(from.time_or("rules.askWithinMs", 0)?),
            Some("pushed") | None => None,
            Some(other) => return Err(format!("'discovery={other}' is neither 'pushed' nor 'on_request'")),
        },
        cold_share: match from.amount_or("rules.coldFrom", 1.0)? {
            share if share > 1.0 => return Err(format!("'rules.coldFrom={share}' is more than all")),
            share => share,
        },
        warm_up: from.time_or("rules.warmUpMs", 0)?,
        fall_multiple: from.amount_or("rules.fallMultiple", 1.0)?,
        fall_window: from.time_or("rules.fallMs", 0)?,
    })
}

fn longest_wait(from: &impl Fields) -> Parsed<Micros> {
    match from.flag("ceilings.retryAfter")? {
        true => from.time_or("ceilings.maxRetryAfterMs", 0),
        false => Ok(0),
    }
}

fn lane(from: &impl Fields, at: u64) -> Parsed<Lane> {
    let key = |name: &str| format!("lanes.{at}.{name}");
    let kind = match from.text(&key("effect"))? {
        "read_like" => Kind::Redoable,
        "idempotency_key" => Kind::Labelled {
            group: match from.text(&key("group"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("'{}={other}' is no group", key("group"))),
            },
            memory: from.time_or(&key("memorySpanMs"), 0)?,
        },
        "non_idempotent" => Kind::Irreversible,
        other => return Err(format!("'{}={other}' is no effect", key("effect"))),
    };
    Ok(Lane {
        kind,
        agreed: from.some_time(&key("onTimeMs"))?,
        importance: from.number_or(&key("value"), 1.0)?,
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
        most_out: most_out as u32,
        price: from.number_or(&format!("tiersOfService.{at}.valueFactor"), 1.0)?,
        over_worth: number("excessWorth")?,
        over_cost: number("excessCost")?,
        ceiling: Some(ceiling).filter(|ceiling| ceiling.rate > 0.0),
    })
}

/// What a gateway needs besides, to speak with the outside: the names in use there, and the site's times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outside {
    pub lanes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub load: Vec<String>,
    /// A connection that is not up by then never comes up; one idle for so long ends; so does a call's wait.
    pub dial: Micros,
    pub idle: Micros,
    pub call: Micros,
    /// The longest that any client waits, and the longest wait that one may be advised.
    pub longest: Micros,
    pub wait: Micros,
    /// The list of servers comes from an agent of this gateway's own, which has all as soon as it is told; else from a service that
    /// all gateways ask by turns.
    pub agent: bool,
    /// How many gateways there are, and the most units that a transaction may take.
    pub gateways: u32,
    pub units: f64,
}

/// What nobody means: a count could not hold more, where the settings don't name the most.
const MOST_UNITS: f64 = 1e6;

pub fn outside(from: &impl Fields) -> Parsed<Outside> {
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
    Ok(Outside {
        lanes: all("lanes")?,
        plans: all("tiersOfService")?,
        zones: from.names("zones"),
        kinds: from.names("kinds"),
        load: from.names("telemetry.names"),
        dial: from.some_time("ceilings.dialTimeoutMs")?,
        idle: from.time("ceilings.connIdleMs")?,
        call: from.time_or("specifics.countWaitMs", 0)?,
        longest: waits.into_iter().max().unwrap_or(0),
        wait: longest_wait(from)?,
        agent: from.field("discovery") != Some("on_request"),
        gateways: from.whole_or("balancers", 1)?.max(1) as u32,
        units: from.number_or("specifics.mostUnits", MOST_UNITS)?,
    })
}

/// One value of a load report.
pub fn load(load: &mut Load, name: &str, value: &str) -> Parsed<()> {
    let value: f64 = value.parse().map_err(|_| format!("'{value}' in a load report is no number"))?;
    match name {
        "busy_reqs" => load.in_flight = Some(value),
        "pending" => load.waiting = Some(value),
        "cpu_share" => load.busy = Some(value),
        "svc_ms" => load.service = Some((value * 1000.0).max(0.0) as Micros),
        _ => {}
    }
    Ok(())
}
