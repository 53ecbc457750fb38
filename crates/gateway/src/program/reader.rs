//! Reads a TOML file key by key and collects every problem with its position, instead of stopping at the first. The reader
//! checks types and bounds; the meaning of keys is up to the caller.
//!
//! A section records the keys that the caller reads. Any other key of the table is unknown, and is reported together with
//! the most similar key that was read. The code that reads a section therefore also defines its allowed keys.

use std::fmt;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use fernscale_policy::Micros;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

use super::problem::suggestion;

pub use super::problem::{nearest, Problem, Problems};

/// A value with its byte offset in the file.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The byte offset.
    pub offset: usize,
}

impl<T> Located<T> {
    fn new(value: T, offset: usize) -> Self {
        Located { value, offset }
    }
}

/// One table of the file.
pub struct Section<'a> {
    /// The section's name, prefixed with the names of the enclosing sections. Empty for the whole file.
    name: String,
    table: &'a DeTable<'a>,
    offset: usize,
    known_keys: Vec<&'static str>,
    problems: &'a Problems<'a>,
}

/// The name of a value's type in messages.
fn type_name(value: &DeValue) -> &'static str {
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

impl<'a> Section<'a> {
    /// The section that stands for the whole file.
    pub fn root(table: &'a DeTable<'a>, problems: &'a Problems<'a>) -> Self {
        Section { name: String::new(), table, offset: 0, known_keys: Vec::new(), problems }
    }

    /// The byte offset at which the section begins.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Adds a problem at a byte offset.
    pub fn problem(&self, offset: usize, message: impl Into<String>) {
        self.problems.add(offset, message.into());
    }

    fn qualified_name(&self, key: &str) -> String {
        if self.name.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.name)
        }
    }

    fn get(&mut self, key: &'static str) -> Option<(&'a DeValue<'a>, usize)> {
        self.known_keys.push(key);
        let value = self.table.get(key)?;
        let Range { start, .. } = value.span();
        Some((value.get_ref(), start))
    }

    fn wrong_type(&self, key: &str, value: &DeValue, offset: usize, expected: &str) {
        self.problem(
            offset,
            format!("'{}' is {}; expected {expected}", self.qualified_name(key), type_name(value)),
        );
    }

    fn out_of_bounds(
        &self,
        key: &str,
        found: &str,
        offset: usize,
        minimum: &dyn fmt::Display,
        maximum: &dyn fmt::Display,
    ) {
        let key = self.qualified_name(key);
        self.problem(offset, format!("'{key}' is {found}; it must be from {minimum} to {maximum}"));
    }

    /// Whether the section has a key.
    pub fn contains(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Reads a required key. If the key is missing, a problem is reported at the start of the section.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut Self, &'static str) -> Option<T>,
    ) -> Option<T> {
        if !self.contains(key) {
            self.known_keys.push(key);
            self.problem(self.offset, format!("'{}' is missing", self.qualified_name(key)));
            return None;
        }
        read(self, key)
    }

    /// Reads a string that is not empty.
    pub fn text(&mut self, key: &'static str) -> Option<Located<String>> {
        match self.get(key)? {
            (DeValue::String(text), offset) if !text.is_empty() => {
                Some(Located::new(text.to_string(), offset))
            }
            (DeValue::String(_), offset) => {
                self.problem(offset, format!("'{}' is empty", self.qualified_name(key)));
                None
            }
            (other, offset) => {
                self.wrong_type(key, other, offset, "text in quotes");
                None
            }
        }
    }

    /// Reads a boolean.
    pub fn flag(&mut self, key: &'static str) -> Option<bool> {
        match self.get(key)? {
            (DeValue::Boolean(flag), _) => Some(*flag),
            (other, offset) => {
                self.wrong_type(key, other, offset, "true or false");
                None
            }
        }
    }

    /// Reads a number, whole or fractional, within bounds.
    pub fn number(&mut self, key: &'static str, allowed: RangeInclusive<f64>) -> Option<Located<f64>> {
        let (value, offset) = self.get(key)?;
        let text = match value {
            DeValue::Integer(number) if number.radix() == 10 => number.as_str().to_string(),
            DeValue::Float(number) => number.as_str().to_string(),
            other => {
                self.wrong_type(key, other, offset, "a number");
                return None;
            }
        };
        // TOML allows underscores between digits; the parser of the standard library does not.
        match text.replace('_', "").parse::<f64>() {
            Ok(number) if allowed.contains(&number) => Some(Located::new(number, offset)),
            _ => {
                self.out_of_bounds(key, &text, offset, allowed.start(), allowed.end());
                None
            }
        }
    }

    /// Reads a whole number within bounds.
    pub fn count(&mut self, key: &'static str, allowed: RangeInclusive<u64>) -> Option<Located<u64>> {
        let number = self.number(key, *allowed.start() as f64..=*allowed.end() as f64)?;
        if number.value.fract() != 0.0 {
            self.problem(number.offset, format!("'{}' is not a whole number", self.qualified_name(key)));
            return None;
        }
        Some(Located::new(number.value as u64, number.offset))
    }

    /// Reads a duration with its unit, such as `250ms` or `1m 30s`, within bounds.
    pub fn time(&mut self, key: &'static str, allowed: RangeInclusive<Micros>) -> Option<Located<Micros>> {
        let found = self.with_unit(key, "a duration such as \"250ms\"")?;
        match humantime::parse_duration(&found.value).map(|time| time.as_micros()) {
            Ok(time) if (u128::from(*allowed.start())..=u128::from(*allowed.end())).contains(&time) => {
                Some(Located::new(time as Micros, found.offset))
            }
            Ok(_) => {
                let format =
                    |time: &Micros| humantime::format_duration(std::time::Duration::from_micros(*time));
                let minimum = format(allowed.start());
                self.out_of_bounds(key, &found.value, found.offset, &minimum, &format(allowed.end()));
                None
            }
            Err(error) => {
                let (key, text) = (self.qualified_name(key), found.value);
                self.problem(found.offset, format!("'{key}' is '{text}', which is not a duration: {error}"));
                None
            }
        }
    }

    /// Reads a size with its unit, such as `64MiB`, within bounds. The result is in bytes.
    pub fn size(&mut self, key: &'static str, allowed: RangeInclusive<u64>) -> Option<Located<u64>> {
        let found = self.with_unit(key, "a size such as \"64MiB\"")?;
        match found.value.parse::<bytesize::ByteSize>() {
            Ok(size) if allowed.contains(&size.as_u64()) => Some(Located::new(size.as_u64(), found.offset)),
            Ok(_) => {
                let format = |size: &u64| bytesize::ByteSize(*size).to_string();
                let minimum = format(allowed.start());
                self.out_of_bounds(key, &found.value, found.offset, &minimum, &format(allowed.end()));
                None
            }
            Err(_) => {
                let (key, text) = (self.qualified_name(key), found.value);
                self.problem(
                    found.offset,
                    format!("'{key}' is '{text}', which is not a size such as \"64MiB\""),
                );
                None
            }
        }
    }

    fn with_unit(&mut self, key: &'static str, expected: &str) -> Option<Located<String>> {
        match self.get(key)? {
            (DeValue::String(text), offset) => Some(Located::new(text.to_string(), offset)),
            (other, offset) => {
                self.wrong_type(key, other, offset, expected);
                None
            }
        }
    }

    /// Reads an address and port.
    pub fn address(&mut self, key: &'static str) -> Option<Located<SocketAddr>> {
        let text = self.text(key)?;
        match text.value.parse() {
            Ok(address) => Some(Located::new(address, text.offset)),
            Err(_) => {
                let (key, found) = (self.qualified_name(key), text.value);
                let message = format!(
                    "'{key}' is '{found}', which is not an address and port such as \"127.0.0.1:7001\""
                );
                self.problem(text.offset, message);
                None
            }
        }
    }

    /// Reads a string that names one of several choices.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> Option<Located<T>> {
        let text = self.text(key)?;
        match choices.iter().find(|(name, _)| *name == text.value) {
            Some((_, choice)) => Some(Located::new(*choice, text.offset)),
            None => {
                let (qualified_name, found) = (self.qualified_name(key), &text.value);
                let hint = suggestion(found, choices.iter().map(|(name, _)| *name));
                self.problem(
                    text.offset,
                    format!("'{qualified_name}' is '{found}', which is not a valid choice{hint}"),
                );
                None
            }
        }
    }

    /// Reads a list of distinct names.
    pub fn names(&mut self, key: &'static str) -> Option<Vec<Located<String>>> {
        let (value, offset) = self.get(key)?;
        let DeValue::Array(items) = value else {
            self.wrong_type(key, value, offset, "a list of names");
            return None;
        };
        let mut names: Vec<Located<String>> = Vec::new();
        for item in items {
            let offset = item.span().start;
            match item.get_ref() {
                DeValue::String(name) if names.iter().any(|known| known.value == **name) => {
                    self.problem(offset, format!("'{}' names '{name}' twice", self.qualified_name(key)));
                }
                DeValue::String(name) if !name.is_empty() => {
                    names.push(Located::new(name.to_string(), offset));
                }
                other => self.wrong_type(key, other, offset, "a list of names"),
            }
        }
        Some(names)
    }

    /// A subsection. The caller must call [`Self::finish`] on it.
    pub fn section(&mut self, key: &'static str) -> Option<Section<'a>> {
        let (value, offset) = self.get(key)?;
        let DeValue::Table(table) = value else {
            self.wrong_type(key, value, offset, "a section");
            return None;
        };
        Some(Section {
            name: self.qualified_name(key),
            table,
            offset,
            known_keys: Vec::new(),
            problems: self.problems,
        })
    }

    /// Reads a subsection with a function, and reports its unknown keys. Returns `None` if the subsection is missing.
    pub fn read_section<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'a>) -> T,
    ) -> Option<T> {
        let mut section = self.section(key)?;
        let value = read(&mut section);
        section.finish();
        Some(value)
    }

    /// Reads each section of a list, `[[key]]`, like [`Self::read_section`].
    pub fn read_sections<T>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut Section<'a>) -> T,
    ) -> Vec<T> {
        let read_one = |mut section: Section<'a>| {
            let value = read(&mut section);
            section.finish();
            value
        };
        self.sections(key).into_iter().map(read_one).collect()
    }

    fn sections(&mut self, key: &'static str) -> Vec<Section<'a>> {
        let Some((value, offset)) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value else {
            self.wrong_type(key, value, offset, "a list of sections, [[…]]");
            return Vec::new();
        };
        let section = |(index, item): (usize, &'a Spanned<DeValue<'a>>)| {
            let (offset, name) = (item.span().start, format!("{}[{index}]", self.qualified_name(key)));
            let DeValue::Table(table) = item.get_ref() else {
                self.problem(
                    offset,
                    format!("'{name}' is {}; expected a section", type_name(item.get_ref())),
                );
                return None;
            };
            Some(Section { name, table, offset, known_keys: Vec::new(), problems: self.problems })
        };
        items.iter().enumerate().filter_map(section).collect()
    }

    /// Reports every key that was not read as an unknown key.
    pub fn finish(self) {
        for key in self.table.keys() {
            let (name, offset) = (key.get_ref(), key.span().start);
            if !self.known_keys.contains(&&**name) {
                let hint = suggestion(name, self.known_keys.iter().copied());
                self.problem(offset, format!("'{}' is not a known key{hint}", self.qualified_name(name)));
            }
        }
    }
}
