//! The lines of the wire: splitting, numbers, names.

use std::collections::HashMap;

use fernscale::interface::{Id, Load, Micros, Outcome, Returned, Transaction};

pub type Parsed<T> = Result<T, String>;

/// One line: its name and its `name=value` parts.
pub struct Line<'a> {
    pub name: &'a str,
    pub fields: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Parsed<Self> {
        let mut parts = text.split(' ');
        let name = parts.next().unwrap_or_default();
        let mut fields = HashMap::new();
        for part in parts.filter(|part| !part.is_empty()) {
            let (key, value) = part.split_once('=').ok_or_else(|| format!("no '=' in '{part}'"))?;
            fields.insert(key, value);
        }
        Ok(Line { name, fields })
    }

    pub fn text(&self, key: &str) -> Parsed<&'a str> {
        self.fields.get(key).copied().ok_or_else(|| format!("'{key}' is missing"))
    }

    pub fn id(&self, key: &str) -> Parsed<Id> {
        self.text(key).map(Id::from)
    }

    /// A number, or `None` where the field is absent.
    pub fn maybe(&self, key: &str) -> Parsed<Option<f64>> {
        let Some(text) = self.fields.get(key) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(format!("'{key}={text}' is no number")),
        }
    }

    pub fn number(&self, key: &str) -> Parsed<f64> {
        self.maybe(key)?.ok_or_else(|| format!("'{key}' is missing"))
    }

    pub fn number_or(&self, key: &str, absent: f64) -> Parsed<f64> {
        Ok(self.maybe(key)?.unwrap_or(absent))
    }

    pub fn whole(&self, key: &str) -> Parsed<u64> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("'{key}={text}' is no whole number"))
    }

    pub fn whole_or(&self, key: &str, absent: u64) -> Parsed<u64> {
        if self.fields.contains_key(key) {
            self.whole(key)
        } else {
            Ok(absent)
        }
    }

    /// Milliseconds on the wire, whole microseconds from here on.
    pub fn time(&self, key: &str) -> Parsed<Micros> {
        Ok((self.number(key)? * 1000.0).round().max(0.0) as Micros)
    }

    pub fn time_or(&self, key: &str, absent: Micros) -> Parsed<Micros> {
        if self.fields.contains_key(key) {
            self.time(key)
        } else {
            Ok(absent)
        }
    }

    pub fn flag(&self, key: &str) -> Parsed<bool> {
        match self.fields.get(key).copied() {
            None | Some("0") | Some("false") => Ok(false),
            Some("1") | Some("true") => Ok(true),
            Some(other) => Err(format!("'{key}={other}' is neither yes nor no")),
        }
    }

    pub fn outcome(&self) -> Parsed<Outcome> {
        Ok(match self.text("rc")? {
            "S" => Outcome::Ok,
            "E" => Outcome::Error,
            "F" => Outcome::Full,
            "T" => Outcome::TimedOut,
            "C" => Outcome::NotConnected,
            "R" => Outcome::Reset,
            "X" => Outcome::Cancelled,
            "N" => Outcome::NeverSent,
            other => return Err(format!("'rc={other}' is no outcome")),
        })
    }

    pub fn load(&self, names: &[String]) -> Parsed<Load> {
        let mut load = Load::default();
        let Some(text) = self.fields.get("serverStats") else { return Ok(load) };
        for (name, value) in names.iter().zip(text.split(',')) {
            let value: f64 = value.parse().map_err(|_| format!("'{value}' in a load report is no number"))?;
            match name.as_str() {
                "busy_reqs" => load.in_flight = Some(value),
                "pending" => load.waiting = Some(value),
                "cpu_share" => load.busy = Some(value),
                "svc_ms" => load.service = Some((value * 1000.0).max(0.0) as Micros),
                _ => {}
            }
        }
        Ok(load)
    }

    pub fn transaction(&self) -> Parsed<Transaction> {
        Ok(Transaction {
            id: self.id("tid")?,
            lane: self.whole("service")? as usize,
            plan: self.whole_or("contract", 0)? as usize,
            customer: self.id("caller").unwrap_or_else(|_| Id::from("")),
            units: self.number_or("weight", 1.0)?,
            first: self.whole_or("fromNo", 0)? as u32,
            spread: self.whole_or("doors", 1)? as u32,
            left: self.time("ttlMs")?,
        })
    }

    pub fn returned(&self, names: &[String]) -> Parsed<Returned> {
        Ok(Returned {
            transaction: self.id("tid")?,
            trip: self.whole("go")? as usize,
            server: self.id("server")?,
            outcome: self.outcome()?,
            took: self.time_or("delaySeenMs", 0)?,
            finished: self.flag("doneFlag")?,
            units: self.maybe("cost")?.filter(|units| *units > 0.0),
            load: self.load(names)?,
        })
    }
}

/// Microseconds as the wire writes them: milliseconds with their fraction.
pub fn millis(time: Micros) -> String {
    format!("{}.{:03}", time / 1000, time % 1000)
}

pub fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    if data.is_empty() {
        return "-".into();
    }
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let bits =
            chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Parsed<Vec<u8>> {
    let mut data = Vec::new();
    let (mut bits, mut held) = (0u32, 0);
    for byte in text.trim_end_matches('=').bytes().filter(|_| text != "-") {
        let digit = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => return Err(format!("'{text}' is not base64")),
        };
        bits = bits << 6 | u32::from(digit);
        held += 6;
        if held >= 8 {
            held -= 8;
            data.push((bits >> held) as u8);
        }
    }
    Ok(data)
}
