//! Reads a TOML file key by key and keeps every problem found, each with its place, instead of ending at the first.
//!
//! A section knows which keys it was asked for; what is left when it ends is unknown, and the nearest asked one is
//! named. So the code that reads a section is also the list of its keys.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use fernscale_policy::Micros;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One thing that is wrong in a file, and where: line and column from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "line {}, column {}: {}", self.line, self.column, self.what)
    }
}

/// A text and what is wrong in it.
pub struct Problems<'t> {
    text: &'t str,
    found: RefCell<Vec<Problem>>,
}

impl<'t> Problems<'t> {
    pub fn new(text: &'t str) -> Self {
        Problems { text, found: RefCell::default() }
    }

    pub fn add(&self, at: usize, what: String) {
        let before = &self.text[..self.text.floor_char_boundary(at)];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.found.borrow_mut().push(Problem { line, column, what });
    }

    /// In the order of the file.
    pub fn into_found(self) -> Vec<Problem> {
        let mut found = self.found.into_inner();
        found.sort();
        found
    }
}

/// A key's own value, with where it stands.
#[derive(Clone, Debug)]
pub struct At<T> {
    pub value: T,
    pub at: usize,
}

impl<T> At<T> {
    fn new(value: T, at: usize) -> Self {
        At { value, at }
    }
}

/// One table of the file.
pub struct Section<'a> {
    /// As the file would name it; empty for the whole.
    name: String,
    table: &'a DeTable<'a>,
    at: usize,
    asked: Vec<&'static str>,
    problems: &'a Problems<'a>,
}

/// What a value that is something else is called in a problem.
fn kind(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a section",
    }
}

/// Letters that may differ between what stands there and the key that was perhaps meant, for each three it has.
const LETTERS_A_SLIP: usize = 3;

/// The one that was perhaps meant.
pub fn nearest<'n>(given: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let near = known.into_iter().map(|name| (strsim::damerau_levenshtein(given, name), name)).min()?;
    (near.0 <= given.chars().count().div_ceil(LETTERS_A_SLIP)).then_some(near.1)
}

fn meant<'n>(given: &str, known: impl IntoIterator<Item = &'n str> + Clone) -> String {
    match nearest(given, known.clone()) {
        Some(name) => format!("; '{name}' is perhaps meant"),
        None => {
            let all: Vec<_> = known.into_iter().map(|name| format!("'{name}'")).collect();
            if all.is_empty() {
                String::new()
            } else {
                format!("; known here: {}", all.join(", "))
            }
        }
    }
}

impl<'a> Section<'a> {
    /// The whole of a file.
    pub fn whole(table: &'a DeTable<'a>, problems: &'a Problems<'a>) -> Self {
        Section { name: String::new(), table, at: 0, asked: Vec::new(), problems }
    }

    pub fn at(&self) -> usize {
        self.at
    }

    pub fn problem(&self, at: usize, what: impl Into<String>) {
        self.problems.add(at, what.into());
    }

    fn shown(&self, key: &str) -> String {
        if self.name.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.name)
        }
    }

    fn get(&mut self, key: &'static str) -> Option<(&'a DeValue<'a>, usize)> {
        self.asked.push(key);
        let value = self.table.get(key)?;
        let Range { start, .. } = value.span();
        Some((value.get_ref(), start))
    }

    fn no(&self, key: &str, value: &DeValue, at: usize, meant: &str) {
        self.problem(at, format!("'{}' is {}, and {meant} is meant", self.shown(key), kind(value)));
    }

    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// What must stand there; its lack is a problem of the section.
    pub fn needed<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut Self, &'static str) -> Option<T>,
    ) -> Option<T> {
        if !self.has(key) {
            self.asked.push(key);
            self.problem(self.at, format!("'{}' is missing", self.shown(key)));
            return None;
        }
        read(self, key)
    }

    pub fn text(&mut self, key: &'static str) -> Option<At<String>> {
        match self.get(key)? {
            (DeValue::String(text), at) if !text.is_empty() => Some(At::new(text.to_string(), at)),
            (DeValue::String(_), at) => {
                self.problem(at, format!("'{}' is empty", self.shown(key)));
                None
            }
            (other, at) => {
                self.no(key, other, at, "text in quotes");
                None
            }
        }
    }

    pub fn flag(&mut self, key: &'static str) -> Option<bool> {
        match self.get(key)? {
            (DeValue::Boolean(on), _) => Some(*on),
            (other, at) => {
                self.no(key, other, at, "true or false");
                None
            }
        }
    }

    /// A number, whole or not, within bounds.
    pub fn number(&mut self, key: &'static str, within: RangeInclusive<f64>) -> Option<At<f64>> {
        let (value, at) = self.get(key)?;
        let text = match value {
            DeValue::Integer(number) if number.radix() == 10 => number.as_str().to_string(),
            DeValue::Float(number) => number.as_str().to_string(),
            other => {
                self.no(key, other, at, "a number");
                return None;
            }
        };
        // Underscores between digits are allowed there and not here.
        match text.replace('_', "").parse::<f64>() {
            Ok(number) if within.contains(&number) => Some(At::new(number, at)),
            _ => {
                let (least, most) = (within.start(), within.end());
                let key = self.shown(key);
                self.problem(at, format!("'{key}' is {text}; from {least} to {most} is allowed"));
                None
            }
        }
    }

    pub fn count(&mut self, key: &'static str, within: RangeInclusive<u64>) -> Option<At<u64>> {
        let number = self.number(key, *within.start() as f64..=*within.end() as f64)?;
        if number.value.fract() != 0.0 {
            self.problem(number.at, format!("'{}' is no whole number", self.shown(key)));
            return None;
        }
        Some(At::new(number.value as u64, number.at))
    }

    /// A time with its unit, as in `250ms` or `1m 30s`.
    pub fn time(&mut self, key: &'static str, within: RangeInclusive<Micros>) -> Option<At<Micros>> {
        let found = self.with_unit(key, "a time as in \"250ms\"")?;
        match humantime::parse_duration(&found.value).map(|time| time.as_micros()) {
            Ok(time) if (*within.start() as u128..=*within.end() as u128).contains(&time) => {
                Some(At::new(time as Micros, found.at))
            }
            Ok(_) => {
                let show =
                    |time: &Micros| humantime::format_duration(std::time::Duration::from_micros(*time));
                let (least, most) = (show(within.start()), show(within.end()));
                let (key, given) = (self.shown(key), found.value);
                self.problem(found.at, format!("'{key}' is {given}; from {least} to {most} is allowed"));
                None
            }
            Err(why) => {
                let (key, given) = (self.shown(key), found.value);
                self.problem(found.at, format!("'{key}' is '{given}', which is no time: {why}"));
                None
            }
        }
    }

    /// A size in bytes with its unit, as in `64MiB`.
    pub fn size(&mut self, key: &'static str, within: RangeInclusive<u64>) -> Option<At<u64>> {
        let found = self.with_unit(key, "a size as in \"64MiB\"")?;
        match found.value.parse::<bytesize::ByteSize>() {
            Ok(size) if within.contains(&size.as_u64()) => Some(At::new(size.as_u64(), found.at)),
            Ok(_) => {
                let show = |size: &u64| bytesize::ByteSize(*size).to_string();
                let (key, given) = (self.shown(key), found.value);
                let (least, most) = (show(within.start()), show(within.end()));
                self.problem(found.at, format!("'{key}' is {given}; from {least} to {most} is allowed"));
                None
            }
            Err(_) => {
                let (key, given) = (self.shown(key), found.value);
                self.problem(found.at, format!("'{key}' is '{given}', which is no size as in \"64MiB\""));
                None
            }
        }
    }

    fn with_unit(&mut self, key: &'static str, meant: &str) -> Option<At<String>> {
        match self.get(key)? {
            (DeValue::String(text), at) => Some(At::new(text.to_string(), at)),
            (other, at) => {
                self.no(key, other, at, meant);
                None
            }
        }
    }

    pub fn address(&mut self, key: &'static str) -> Option<At<SocketAddr>> {
        let text = self.text(key)?;
        match text.value.parse() {
            Ok(address) => Some(At::new(address, text.at)),
            Err(_) => {
                let (key, given) = (self.shown(key), text.value);
                let what =
                    format!("'{key}' is '{given}', which is no address and port as in \"127.0.0.1:7001\"");
                self.problem(text.at, what);
                None
            }
        }
    }

    /// One of several words.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> Option<At<T>> {
        let text = self.text(key)?;
        match choices.iter().find(|(word, _)| *word == text.value) {
            Some((_, choice)) => Some(At::new(*choice, text.at)),
            None => {
                let (shown, given) = (self.shown(key), &text.value);
                let hint = meant(given, choices.iter().map(|(word, _)| *word));
                self.problem(text.at, format!("'{shown}' is '{given}'{hint}"));
                None
            }
        }
    }

    /// Names in a list, none twice.
    pub fn names(&mut self, key: &'static str) -> Option<Vec<At<String>>> {
        let (value, at) = self.get(key)?;
        let DeValue::Array(items) = value else {
            self.no(key, value, at, "a list of names");
            return None;
        };
        let mut names: Vec<At<String>> = Vec::new();
        for item in items.iter() {
            let at = item.span().start;
            match item.get_ref() {
                DeValue::String(name) if names.iter().any(|known| known.value == **name) => {
                    self.problem(at, format!("'{}' names '{name}' twice", self.shown(key)));
                }
                DeValue::String(name) if !name.is_empty() => names.push(At::new(name.to_string(), at)),
                other => self.no(key, other, at, "a list of names"),
            }
        }
        Some(names)
    }

    pub fn section(&mut self, key: &'static str) -> Option<Section<'a>> {
        let (value, at) = self.get(key)?;
        let DeValue::Table(table) = value else {
            self.no(key, value, at, "a section");
            return None;
        };
        Some(Section { name: self.shown(key), table, at, asked: Vec::new(), problems: self.problems })
    }

    /// The tables of a list, `[[key]]`.
    pub fn sections(&mut self, key: &'static str) -> Vec<Section<'a>> {
        let Some((value, at)) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value else {
            self.no(key, value, at, "a list of sections, [[…]],");
            return Vec::new();
        };
        let section = |(place, item): (usize, &'a Spanned<DeValue<'a>>)| {
            let (at, name) = (item.span().start, format!("{}[{place}]", self.shown(key)));
            let DeValue::Table(table) = item.get_ref() else {
                self.problem(at, format!("'{name}' is {}, and a section is meant", kind(item.get_ref())));
                return None;
            };
            Some(Section { name, table, at, asked: Vec::new(), problems: self.problems })
        };
        items.iter().enumerate().filter_map(section).collect()
    }

    /// Every key that was never asked for is a problem.
    pub fn end(self) {
        for key in self.table.keys() {
            let (name, at) = (key.get_ref(), key.span().start);
            if !self.asked.contains(&&**name) {
                let hint = meant(name, self.asked.iter().copied());
                self.problem(at, format!("'{}' is no known key{hint}", self.shown(name)));
            }
        }
    }
}
