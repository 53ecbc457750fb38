//! The list of servers, as discovery words it.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Endpoint, EndpointState, Id};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

/// The whole list, or what changed in it.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    pub index: u64,
    pub full: bool,
    /// The first from another discovery than the one before: its versions are of another row.
    pub moved: bool,
    /// Each server, and where this gateway finds it.
    pub servers: Vec<(Endpoint, SocketAddr)>,
}

/// Why an answer is refused whole: nothing in it is taken for known. But what it says to leave is left all the same. Danger: a
/// drain in an answer that can't be read otherwise counts as told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    pub reason: String,
    pub index: Option<u64>,
    pub draining: Vec<Id>,
}

impl ListError {
    /// The error of a response of which nothing could be read.
    pub fn unread(reason: String) -> Self {
        ListError { reason, index: None, draining: Vec::new() }
    }
}

/// Latest time of a start that is believed, in milliseconds: later ones would run over the clock.
const LATEST: f64 = 1e14;

/// The path of a call: for the whole list, or for what is newer than a version, with the time it may wait.
pub fn path(newer: Option<(u64, u64)>) -> String {
    match newer {
        None => "/catalog/members".into(),
        Some((since, wait_ms)) => format!("/catalog/members?since={since}&timeout_ms={wait_ms}"),
    }
}

/// Reads an answer that has been parsed whole.
pub fn endpoint_update(from: &Value, outside: &PlatformSettings) -> Result<EndpointUpdate, ListError> {
    let mut reading = Reading::default();
    let entries = from.get("endpoints").and_then(Value::as_array);
    match entries {
        Some(entries) => entries.iter().for_each(|entry| reading.take(entry, outside)),
        None => reading.refuse(NO_ENDPOINTS.into()),
    }
    let (index, full) = (from.get("index"), from.get("snapshot"));
    reading.end(index.and_then(Value::as_u64), full.and_then(Value::as_bool))
}

const NO_ENDPOINTS: &str = "a list without 'endpoints'";

/// The outline of an answer, its entries unread.
#[derive(Default, Deserialize)]
struct Outline<'a> {
    #[serde(borrow)]
    index: Option<&'a RawValue>,
    #[serde(borrow)]
    snapshot: Option<&'a RawValue>,
    #[serde(borrow)]
    endpoints: Option<Vec<&'a RawValue>>,
}

/// A server as an entry told of it.
type Entry = (Endpoint, SocketAddr);

/// Entries of the last whole list by their texts: most of the next one are the same to the letter, and are not parsed again.
#[derive(Default)]
pub struct KnownEndpoints(HashMap<Box<str>, Entry>);

/// What has been read of an answer.
#[derive(Default)]
struct Reading {
    servers: Vec<Entry>,
    named: HashSet<Id>,
    /// Why the whole is refused: the first entry that can't be read, or else that comes twice.
    why: Option<String>,
    twice: Option<String>,
    leaving: Vec<Id>,
    /// What will be known by its text.
    texts: HashMap<Box<str>, Entry>,
}

impl Reading {
    /// Reads an entry that has been parsed.
    fn take(&mut self, entry: &Value, outside: &PlatformSettings) {
        let text = |name: &str| entry.get(name).and_then(Value::as_str);
        if matches!(text("status"), Some("terminating" | "terminated")) {
            self.leaving.extend(text("name").map(Id::from));
        }
        match server(entry, outside) {
            Ok(entry) => self.add(entry),
            Err(why) => self.refuse(why),
        }
    }

    /// Reads an entry by its text.
    fn take_text(&mut self, text: &RawValue, known: &KnownEndpoints, outside: &PlatformSettings) {
        if let Some(entry) = known.0.get(text.get()).cloned() {
            if entry.0.state != EndpointState::Ready {
                self.leaving.push(entry.0.server.clone());
            }
            self.texts.insert(text.get().into(), entry.clone());
            return self.add(entry);
        }
        match serde_json::from_str::<Value>(text.get()) {
            Ok(entry) => {
                let before = self.servers.len();
                self.take(&entry, outside);
                if let Some(entry) = self.servers.get(before) {
                    self.texts.insert(text.get().into(), entry.clone());
                }
            }
            Err(error) => self.refuse(error.to_string()),
        }
    }

    fn add(&mut self, entry: Entry) {
        // Which of two words on one server holds can't be known.
        if !self.named.insert(entry.0.server.clone()) {
            self.twice.get_or_insert_with(|| format!("server '{}' comes twice", entry.0.server));
        }
        self.servers.push(entry);
    }

    fn refuse(&mut self, why: String) {
        self.why.get_or_insert(why);
    }

    fn end(mut self, index: Option<u64>, full: Option<bool>) -> Result<EndpointUpdate, ListError> {
        if let Some(why) = self.twice.take() {
            self.refuse(why);
        }
        if index.is_none() {
            self.refuse("a list without 'index'".into());
        }
        if full.is_none() {
            self.refuse("a list without 'snapshot'".into());
        }
        match (self.why, index, full) {
            (None, Some(index), Some(full)) => {
                Ok(EndpointUpdate { index, full, moved: false, servers: self.servers })
            }
            (why, index, _) => {
                Err(ListError { reason: why.unwrap_or_default(), index, draining: self.leaving })
            }
        }
    }
}

/// Entries of a list that are read in one turn: some tenths of a millisecond.
const ENTRIES_A_SLICE: usize = 64;

/// Reads an answer slice by slice: to read thousands of entries in one turn would hold up all else.
pub struct SlicedReader<'a> {
    outline: Outline<'a>,
    /// The first entry that has not been read.
    next: usize,
    reading: Reading,
}

impl<'a> SlicedReader<'a> {
    /// Fails where the text is no JSON. One that is of another form has no entries.
    pub fn of(body: &'a [u8]) -> Result<Self, String> {
        let outline = match serde_json::from_slice(body) {
            Err(error) if error.is_data() => Outline::default(),
            other => other.map_err(|error| error.to_string())?,
        };
        Ok(SlicedReader { outline, next: 0, reading: Reading::default() })
    }

    /// Reads the next entries; whether there are more behind them.
    pub fn read_slice(&mut self, known: &KnownEndpoints, outside: &PlatformSettings) -> bool {
        let entries = self.outline.endpoints.as_deref().unwrap_or_default();
        let rest = entries.get(self.next..).unwrap_or_default();
        let slice = &rest[..rest.len().min(ENTRIES_A_SLICE)];
        slice.iter().for_each(|text| self.reading.take_text(text, known, outside));
        self.next += slice.len();
        self.next < entries.len()
    }

    /// What was read. Of a whole list the texts are known from now on.
    pub fn end(mut self, known: &mut KnownEndpoints) -> Result<EndpointUpdate, ListError> {
        if self.outline.endpoints.is_none() {
            self.reading.refuse(NO_ENDPOINTS.into());
        }
        let texts = std::mem::take(&mut self.reading.texts);
        let index = self.outline.index.and_then(|index| serde_json::from_str(index.get()).ok());
        let full = self.outline.snapshot.and_then(|full| serde_json::from_str(full.get()).ok());
        let members = self.reading.end(index, full);
        if members.as_ref().is_ok_and(|members| members.full) {
            known.0 = texts;
        }
        members
    }
}

fn server(entry: &Value, outside: &PlatformSettings) -> Result<(Endpoint, SocketAddr), String> {
    let text = |name: &str| entry.get(name).and_then(Value::as_str);
    let server = text("name").filter(|name| !name.is_empty()).ok_or("a server without 'name'")?;
    let address = text("address").and_then(|address| address.parse().ok());
    let address = address.ok_or_else(|| format!("server '{server}' has no 'address' of a socket"))?;
    let place = |names: &[String], name: &str| {
        let at = text(name).and_then(|name| names.iter().position(|known| known == name));
        at.unwrap_or(names.len()) as u32
    };
    let told_start = (entry.get("since_ms").and_then(Value::as_f64))
        .filter(|at| *at > 0.0 && *at < LATEST)
        .map(|at| (at * 1000.0) as u64);
    let listed = Endpoint {
        server: Id::from(server),
        zone: place(&outside.zones, "zone"),
        hardware_type: place(&outside.hardware_types, "type"),
        cell: entry.get("group").and_then(Value::as_u64).unwrap_or(0) as u32,
        state: match text("status") {
            Some("in_service") => EndpointState::Ready,
            Some("terminating") => EndpointState::Draining,
            Some("terminated") => EndpointState::Removed,
            Some(other) => {
                return Err(format!("server '{server}' has a 'status' that is not known: '{other}'"))
            }
            None => return Err(format!("server '{server}' has no 'status'")),
        },
        weight: entry.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        started_at: told_start,
        listed_start: told_start,
    };
    Ok((listed, address))
}
