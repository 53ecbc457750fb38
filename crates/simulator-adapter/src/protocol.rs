//! The lines of the wire: splitting, numbers, names.

use std::collections::HashMap;

use fernscale_policy::settings::{self, Fields};
use fernscale_policy::{AttemptCompleted, Id, LoadReport, Micros, Outcome, Request};

/// A parsed value, or what is wrong with it.
pub type Parsed<T> = Result<T, String>;

/// One line: its name and its `name=value` parts.
pub struct Line<'a> {
    pub name: &'a str,
    pub fields: HashMap<&'a str, &'a str>,
}

impl Fields for Line<'_> {
    fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).copied()
    }
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

    pub fn id(&self, key: &str) -> Parsed<Id> {
        Ok(Id::from(self.text(key)?))
    }

    pub fn outcome(&self) -> Parsed<Outcome> {
        Ok(match self.text("rc")? {
            "S" => Outcome::Ok,
            "E" => Outcome::Error,
            "F" => Outcome::Overloaded,
            "T" => Outcome::TimedOut,
            "C" => Outcome::NotConnected,
            "R" => Outcome::Reset,
            "X" => Outcome::Cancelled,
            "N" => Outcome::NeverSent,
            other => return Err(format!("'rc={other}' is no outcome")),
        })
    }

    pub fn load(&self, names: &[String]) -> Parsed<LoadReport> {
        let mut load = LoadReport::default();
        let Some(text) = self.fields.get("serverStats") else { return Ok(load) };
        for (name, value) in names.iter().zip(text.split(',')) {
            settings::parse_load_field(&mut load, name, value)?;
        }
        Ok(load)
    }

    pub fn request(&self) -> Parsed<Request> {
        Ok(Request {
            id: self.id("tid")?,
            class: self.whole("service")? as usize,
            plan: self.whole_or("contract", 0)? as usize,
            tenant: self.id("caller").unwrap_or_else(|_| Id::from("")),
            units: self.number_or("weight", 1.0)?,
            first_gateway: self.whole_or("fromNo", 0)? as u32,
            gateway_spread: self.whole_or("doors", 1)? as u32,
            time_left: self.time("ttlMs")?,
        })
    }

    pub fn attempt_completed(&self, names: &[String]) -> Parsed<AttemptCompleted> {
        Ok(AttemptCompleted {
            request: self.id("tid")?,
            attempt: self.whole("go")? as usize,
            server: self.id("server")?,
            outcome: self.outcome()?,
            elapsed: self.time_or("delaySeenMs", 0)?,
            is_final: self.flag("doneFlag")?,
            units: self.maybe("cost")?.filter(|units| *units > 0.0),
            load: self.load(names)?,
        })
    }
}

/// Microseconds as the wire writes them: milliseconds with their fraction.
pub fn milliseconds(time: Micros) -> String {
    format!("{}.{:03}", time / 1000, time % 1000)
}

pub fn base64_encode(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    if data.is_empty() {
        return "-".into();
    }
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let bits =
            chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn base64_decode(text: &str) -> Parsed<Vec<u8>> {
    let mut data = Vec::new();
    let (mut bits, mut bit_count) = (0u32, 0);
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
        bit_count += 6;
        if bit_count >= 8 {
            bit_count -= 8;
            data.push((bits >> bit_count) as u8);
        }
    }
    Ok(data)
}
