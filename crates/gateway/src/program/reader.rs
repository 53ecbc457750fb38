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
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "line {}, column {}: {}", self.line, self.column, self.message)
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

    pub fn add(&self, offset: usize, message: String) {
        let before = &self.text[..self.text.floor_char_boundary(offset)];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.found.borrow_mut().push(Problem { line, column, message });
    }

    /// In the order of the file.
    pub fn into_sorted(self) -> Vec<Problem> {
        let mut found = self.found.into_inner();
        found.sort();
        found
    }
}

/// A key's own value, with where it stands.
#[derive(Clone, Debug)]
pub struct Located<T> {
    pub value: T,
    pub offset: usize,
}

impl<T> Located<T> {
    fn new(value: T, offset: usize) -> Self {
        Located { value, offset }
    }
}

/// One table of the file.
pub struct Section<'a> {
    /// As the file would name it; empty for the whole.
    name: String,
    table: &'a DeTable<'a>,
    offset: usize,
    known_keys: Vec<&'static str>,
    problems: &'a Problems<'a>,
}

/// What a value that is something else is called in a problem.
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

/// Letters that may differ between what stands there and the key that was perhaps meant, for each three it has.
const LETTERS_PER_TYPO: usize = 3;

/// The one that was perhaps meant.
pub fn nearest<'n>(given: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let near = known.into_iter().map(|name| (strsim::damerau_levenshtein(given, name), name)).min()?;
    (near.0 <= given.chars().count().div_ceil(LETTERS_PER_TYPO)).then_some(near.1)
}

fn suggestion<'n>(given: &str, known: impl IntoIterator<Item = &'n str> + Clone) -> String {
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
    pub fn root(table: &'a DeTable<'a>, problems: &'a Problems<'a>) -> Self {
        Section { name: String::new(), table, offset: 0, known_keys: Vec::new(), problems }
    }

    pub fn offset(&self) -> usize {
        self.offset
    }

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

    fn wrong_type(&self, key: &str, value: &DeValue, offset: usize, suggestion: &str) {
        self.problem(
            offset,
            format!("'{}' is {}, and {suggestion} is meant", self.qualified_name(key), type_name(value)),
        );
    }

    pub fn contains(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// What must stand there; its lack is a problem of the section.
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

    pub fn flag(&mut self, key: &'static str) -> Option<bool> {
        match self.get(key)? {
            (DeValue::Boolean(on), _) => Some(*on),
            (other, offset) => {
                self.wrong_type(key, other, offset, "true or false");
                None
            }
        }
    }

    /// A number, whole or not, within bounds.
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
        // Underscores between digits are allowed there and not here.
        match text.replace('_', "").parse::<f64>() {
            Ok(number) if allowed.contains(&number) => Some(Located::new(number, offset)),
            _ => {
                let (minimum, maximum) = (allowed.start(), allowed.end());
                let key = self.qualified_name(key);
                self.problem(offset, format!("'{key}' is {text}; from {minimum} to {maximum} is allowed"));
                None
            }
        }
    }

    pub fn count(&mut self, key: &'static str, allowed: RangeInclusive<u64>) -> Option<Located<u64>> {
        let number = self.number(key, *allowed.start() as f64..=*allowed.end() as f64)?;
        if number.value.fract() != 0.0 {
            self.problem(number.offset, format!("'{}' is no whole number", self.qualified_name(key)));
            return None;
        }
        Some(Located::new(number.value as u64, number.offset))
    }

    /// A time with its unit, as in `250ms` or `1m 30s`.
    pub fn time(&mut self, key: &'static str, allowed: RangeInclusive<Micros>) -> Option<Located<Micros>> {
        let found = self.with_unit(key, "a time as in \"250ms\"")?;
        match humantime::parse_duration(&found.value).map(|time| time.as_micros()) {
            Ok(time) if (*allowed.start() as u128..=*allowed.end() as u128).contains(&time) => {
                Some(Located::new(time as Micros, found.offset))
            }
            Ok(_) => {
                let show =
                    |time: &Micros| humantime::format_duration(std::time::Duration::from_micros(*time));
                let (minimum, maximum) = (show(allowed.start()), show(allowed.end()));
                let (key, given) = (self.qualified_name(key), found.value);
                self.problem(
                    found.offset,
                    format!("'{key}' is {given}; from {minimum} to {maximum} is allowed"),
                );
                None
            }
            Err(error) => {
                let (key, given) = (self.qualified_name(key), found.value);
                self.problem(found.offset, format!("'{key}' is '{given}', which is no time: {error}"));
                None
            }
        }
    }

    /// A size in bytes with its unit, as in `64MiB`.
    pub fn size(&mut self, key: &'static str, allowed: RangeInclusive<u64>) -> Option<Located<u64>> {
        let found = self.with_unit(key, "a size as in \"64MiB\"")?;
        match found.value.parse::<bytesize::ByteSize>() {
            Ok(size) if allowed.contains(&size.as_u64()) => Some(Located::new(size.as_u64(), found.offset)),
            Ok(_) => {
                let show = |size: &u64| bytesize::ByteSize(*size).to_string();
                let (key, given) = (self.qualified_name(key), found.value);
                let (minimum, maximum) = (show(allowed.start()), show(allowed.end()));
                self.problem(
                    found.offset,
                    format!("'{key}' is {given}; from {minimum} to {maximum} is allowed"),
                );
                None
            }
            Err(_) => {
                let (key, given) = (self.qualified_name(key), found.value);
                self.problem(found.offset, format!("'{key}' is '{given}', which is no size as in \"64MiB\""));
                None
            }
        }
    }

    fn with_unit(&mut self, key: &'static str, suggestion: &str) -> Option<Located<String>> {
        match self.get(key)? {
            (DeValue::String(text), offset) => Some(Located::new(text.to_string(), offset)),
            (other, offset) => {
                self.wrong_type(key, other, offset, suggestion);
                None
            }
        }
    }

    pub fn address(&mut self, key: &'static str) -> Option<Located<SocketAddr>> {
        let text = self.text(key)?;
        match text.value.parse() {
            Ok(address) => Some(Located::new(address, text.offset)),
            Err(_) => {
                let (key, given) = (self.qualified_name(key), text.value);
                let message =
                    format!("'{key}' is '{given}', which is no address and port as in \"127.0.0.1:7001\"");
                self.problem(text.offset, message);
                None
            }
        }
    }

    /// One of several words.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> Option<Located<T>> {
        let text = self.text(key)?;
        match choices.iter().find(|(word, _)| *word == text.value) {
            Some((_, choice)) => Some(Located::new(*choice, text.offset)),
            None => {
                let (qualified_name, given) = (self.qualified_name(key), &text.value);
                let hint = suggestion(given, choices.iter().map(|(word, _)| *word));
                self.problem(text.offset, format!("'{qualified_name}' is '{given}'{hint}"));
                None
            }
        }
    }

    /// Names in a list, none twice.
    pub fn names(&mut self, key: &'static str) -> Option<Vec<Located<String>>> {
        let (value, offset) = self.get(key)?;
        let DeValue::Array(items) = value else {
            self.wrong_type(key, value, offset, "a list of names");
            return None;
        };
        let mut names: Vec<Located<String>> = Vec::new();
        for item in items.iter() {
            let offset = item.span().start;
            match item.get_ref() {
                DeValue::String(name) if names.iter().any(|known| known.value == **name) => {
                    self.problem(offset, format!("'{}' names '{name}' twice", self.qualified_name(key)));
                }
                DeValue::String(name) if !name.is_empty() => {
                    names.push(Located::new(name.to_string(), offset))
                }
                other => self.wrong_type(key, other, offset, "a list of names"),
            }
        }
        Some(names)
    }

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

    /// The tables of a list, `[[key]]`.
    pub fn sections(&mut self, key: &'static str) -> Vec<Section<'a>> {
        let Some((value, offset)) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value else {
            self.wrong_type(key, value, offset, "a list of sections, [[…]],");
            return Vec::new();
        };
        let section = |(index, item): (usize, &'a Spanned<DeValue<'a>>)| {
            let (offset, name) = (item.span().start, format!("{}[{index}]", self.qualified_name(key)));
            let DeValue::Table(table) = item.get_ref() else {
                self.problem(
                    offset,
                    format!("'{name}' is {}, and a section is meant", type_name(item.get_ref())),
                );
                return None;
            };
            Some(Section { name, table, offset, known_keys: Vec::new(), problems: self.problems })
        };
        items.iter().enumerate().filter_map(section).collect()
    }

    /// Every key that was never asked for is a problem.
    pub fn finish(self) {
        for key in self.table.keys() {
            let (name, offset) = (key.get_ref(), key.span().start);
            if !self.known_keys.contains(&&**name) {
                let hint = suggestion(name, self.known_keys.iter().copied());
                self.problem(offset, format!("'{}' is no known key{hint}", self.qualified_name(name)));
            }
        }
    }
}
