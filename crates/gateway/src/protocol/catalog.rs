//! The endpoint list in JSON, as discovery writes it: builds the path of a request, and parses a response.
//!
//! A response is read in one step ([`endpoint_update`]) or in slices ([`SlicedReader`]), with the same result. One entry that
//! can't be parsed makes the whole response invalid, but the servers that the response lists as draining are reported even then.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Endpoint, EndpointState, Id, Micros};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use thiserror::Error;

/// The keys of a response and of its entries, named by the terms of the code.
mod key {
    /// The version of the list.
    pub const INDEX: &str = "index";
    /// Whether the list is complete.
    pub const IS_COMPLETE: &str = "snapshot";
    /// The entries, one for each server.
    pub const ENDPOINTS: &str = "endpoints";
    /// The server's id.
    pub const SERVER: &str = "name";
    /// The address and port at which this gateway reaches the server.
    pub const ADDRESS: &str = "address";
    /// The state, as in [`parse_state`](super::parse_state).
    pub const STATE: &str = "status";
    /// The zone, by its name in the settings.
    pub const ZONE: &str = "zone";
    /// The hardware type, by its name in the settings.
    pub const HARDWARE_TYPE: &str = "type";
    /// The cell, a number.
    pub const CELL: &str = "group";
    /// The server's weight; 1 if the key is missing.
    pub const WEIGHT: &str = "weight";
    /// When the server started, in milliseconds.
    pub const STARTED_AT: &str = "since_ms";
}

/// The path that serves the list.
const LIST_PATH: &str = "/catalog/members";
/// The latest accepted start of a server, in milliseconds: a later start would overflow the clock.
const MAX_START_MS: f64 = 1e14;
/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;
/// Entries that are parsed in one iteration of the event loop; they take some tenths of a millisecond.
const ENTRIES_PER_SLICE: usize = 64;

/// The complete list, or the changes since an earlier version.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The version of the list.
    pub index: u64,
    /// Whether the list is complete: servers missing from a complete list are removed.
    pub full: bool,
    /// Whether this is the first list from another discovery address: its versions belong to another sequence.
    pub moved: bool,
    /// Each server, and the address at which this gateway reaches it.
    pub servers: Vec<(Endpoint, SocketAddr)>,
}

/// Why a response is rejected as a whole. None of its entries is used, but the draining servers that it lists are taken out
/// of service: discovery assumes that this gateway was notified of them, even if the rest of the response can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct ListError {
    /// What is wrong, for the log.
    pub reason: String,
    /// The version of the list, if it could be parsed.
    pub index: Option<u64>,
    /// The servers that the response lists as draining or removed.
    pub draining: Vec<Id>,
}

impl ListError {
    /// The error of a response of which nothing could be parsed.
    pub fn unread(reason: String) -> Self {
        ListError { reason, index: None, draining: Vec::new() }
    }
}

/// What makes a list invalid. The texts are in the log, as [`ListError::reason`].
#[derive(Debug, Error)]
enum InvalidList {
    #[error("a list without 'endpoints'")]
    MissingEndpoints,
    #[error("a list without 'index'")]
    MissingIndex,
    #[error("a list without 'snapshot'")]
    MissingSnapshot,
    /// Two entries for one server: which of them is valid can't be known.
    #[error("server '{0}' comes twice")]
    DuplicateServer(Id),
    #[error(transparent)]
    Entry(#[from] InvalidEntry),
}

/// What makes an entry of a list invalid.
#[derive(Debug, Error)]
enum InvalidEntry {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("a server without 'name'")]
    MissingName,
    #[error("server '{server}' has no 'address' of a socket")]
    InvalidAddress { server: String },
    #[error("server '{server}' has no 'status'")]
    MissingStatus { server: String },
    #[error("server '{server}' has a 'status' that is not known: '{status}'")]
    UnknownStatus { server: String, status: String },
}

/// The path of a request for the complete list, or for the changes since a version; the second number is how many milliseconds
/// the response may wait for a change.
pub fn request_path(since: Option<(u64, u64)>) -> String {
    match since {
        None => LIST_PATH.into(),
        Some((version, wait_ms)) => format!("{LIST_PATH}?since={version}&timeout_ms={wait_ms}"),
    }
}

/// Reads a response that has been parsed as JSON.
///
/// # Errors
///
/// A [`ListError`] if a part of the list is missing, an entry can't be parsed, or two entries are for one server.
pub fn endpoint_update(response: &Value, platform: &PlatformSettings) -> Result<EndpointUpdate, ListError> {
    let mut entries_read = EntryReader::default();
    match response.get(key::ENDPOINTS).and_then(Value::as_array) {
        Some(entries) => entries.iter().for_each(|entry| entries_read.read(entry, platform)),
        None => entries_read.reject(InvalidList::MissingEndpoints),
    }
    let index = response.get(key::INDEX).and_then(Value::as_u64);
    let is_complete = response.get(key::IS_COMPLETE).and_then(Value::as_bool);
    entries_read.finish(index, is_complete)
}

/// A server and its address, as an entry lists them.
type Entry = (Endpoint, SocketAddr);

/// The entries of the last complete list by their texts. Most entries of the next list are equal byte for byte, and are not
/// parsed again.
#[derive(Default)]
pub struct KnownEndpoints(HashMap<Box<str>, Entry>);

/// Parses the entries of one response, and collects the results.
#[derive(Default)]
struct EntryReader {
    servers: Vec<Entry>,
    /// The names of these servers.
    names: HashSet<Id>,
    /// The first problem other than a duplicate. Duplicates are reported only if there is no other problem.
    invalid: Option<InvalidList>,
    /// The first duplicate.
    duplicate: Option<InvalidList>,
    /// The servers listed as draining or removed.
    draining: Vec<Id>,
    /// The entries that were parsed from their texts, by text.
    by_text: HashMap<Box<str>, Entry>,
}

impl EntryReader {
    /// Reads an entry from parsed JSON.
    fn read(&mut self, entry: &Value, platform: &PlatformSettings) {
        if string_field(entry, key::STATE).and_then(parse_state).is_some_and(is_out_of_service) {
            self.draining.extend(string_field(entry, key::SERVER).map(Id::from));
        }
        match parse_entry(entry, platform) {
            Ok(entry) => self.add(entry),
            Err(error) => self.reject(error.into()),
        }
    }

    /// Reads an entry from its text, or copies the entry with the same text from `known`.
    fn read_text(&mut self, text: &RawValue, known: &KnownEndpoints, platform: &PlatformSettings) {
        if let Some(entry) = known.0.get(text.get()) {
            return self.add_known(text, entry.clone());
        }
        let entry: Value = match serde_json::from_str(text.get()) {
            Ok(entry) => entry,
            Err(error) => return self.reject(InvalidEntry::Json(error).into()),
        };
        let count_before = self.servers.len();
        self.read(&entry, platform);
        if let Some(entry) = self.servers.get(count_before) {
            self.by_text.insert(text.get().into(), entry.clone());
        }
    }

    /// Adds an entry whose text was in the last complete list.
    fn add_known(&mut self, text: &RawValue, entry: Entry) {
        if is_out_of_service(entry.0.state) {
            self.draining.push(entry.0.server.clone());
        }
        self.by_text.insert(text.get().into(), entry.clone());
        self.add(entry);
    }

    fn add(&mut self, entry: Entry) {
        let server = &entry.0.server;
        if !self.names.insert(server.clone()) {
            self.duplicate.get_or_insert_with(|| InvalidList::DuplicateServer(server.clone()));
        }
        self.servers.push(entry);
    }

    /// Makes the list invalid. Only the first problem is reported.
    fn reject(&mut self, problem: InvalidList) {
        self.invalid.get_or_insert(problem);
    }

    /// The list, after all entries have been read.
    fn finish(self, index: Option<u64>, is_complete: Option<bool>) -> Result<EndpointUpdate, ListError> {
        let update = match (self.invalid.or(self.duplicate), index, is_complete) {
            (Some(problem), _, _) => Err(problem),
            (None, None, _) => Err(InvalidList::MissingIndex),
            (None, Some(_), None) => Err(InvalidList::MissingSnapshot),
            (None, Some(index), Some(full)) => {
                Ok(EndpointUpdate { index, full, moved: false, servers: self.servers })
            }
        };
        update.map_err(|problem| ListError { reason: problem.to_string(), index, draining: self.draining })
    }
}

/// The parts of a response as JSON texts; the entries are not parsed yet.
#[derive(Default, Deserialize)]
struct Outline<'a> {
    #[serde(borrow)]
    index: Option<&'a RawValue>,
    #[serde(borrow)]
    snapshot: Option<&'a RawValue>,
    #[serde(borrow)]
    endpoints: Option<Vec<&'a RawValue>>,
}

/// Reads a response in slices: thousands of entries in one iteration would block the event loop.
pub struct SlicedReader<'a> {
    outline: Outline<'a>,
    /// The position of the first entry that has not been read.
    next_entry: usize,
    entries_read: EntryReader,
}

impl<'a> SlicedReader<'a> {
    /// A reader of a response. JSON of another form counts as a response without entries.
    ///
    /// # Errors
    ///
    /// The text of the parser's error if the body is not JSON.
    pub fn for_body(body: &'a [u8]) -> Result<Self, String> {
        let outline = match serde_json::from_slice(body) {
            Ok(outline) => outline,
            Err(error) if error.is_data() => Outline::default(),
            Err(error) => return Err(error.to_string()),
        };
        Ok(SlicedReader { outline, next_entry: 0, entries_read: EntryReader::default() })
    }

    /// Reads the next slice of entries, and returns whether more entries follow.
    pub fn read_slice(&mut self, known: &KnownEndpoints, platform: &PlatformSettings) -> bool {
        let entries = self.outline.endpoints.as_deref().unwrap_or_default();
        let end = entries.len().min(self.next_entry + ENTRIES_PER_SLICE);
        for text in &entries[self.next_entry..end] {
            self.entries_read.read_text(text, known, platform);
        }
        self.next_entry = end;
        end < entries.len()
    }

    /// The list, after all slices have been read. The entries of a complete list replace those in `known`.
    ///
    /// # Errors
    ///
    /// Those of [`endpoint_update`].
    pub fn end(mut self, known: &mut KnownEndpoints) -> Result<EndpointUpdate, ListError> {
        if self.outline.endpoints.is_none() {
            self.entries_read.reject(InvalidList::MissingEndpoints);
        }
        let by_text = std::mem::take(&mut self.entries_read.by_text);
        let index = self.outline.index.and_then(|text| serde_json::from_str(text.get()).ok());
        let is_complete = self.outline.snapshot.and_then(|text| serde_json::from_str(text.get()).ok());
        let update = self.entries_read.finish(index, is_complete)?;
        if update.full {
            known.0 = by_text;
        }
        Ok(update)
    }
}

/// The value of a field that is a string.
fn string_field<'v>(entry: &'v Value, key: &str) -> Option<&'v str> {
    entry.get(key)?.as_str()
}

/// Parses an entry; the address is the one at which this gateway reaches the server.
fn parse_entry(entry: &Value, platform: &PlatformSettings) -> Result<Entry, InvalidEntry> {
    let server =
        string_field(entry, key::SERVER).filter(|name| !name.is_empty()).ok_or(InvalidEntry::MissingName)?;
    let address = string_field(entry, key::ADDRESS)
        .and_then(|address| address.parse().ok())
        .ok_or_else(|| InvalidEntry::InvalidAddress { server: server.into() })?;
    let status = string_field(entry, key::STATE)
        .ok_or_else(|| InvalidEntry::MissingStatus { server: server.into() })?;
    let state = parse_state(status)
        .ok_or_else(|| InvalidEntry::UnknownStatus { server: server.into(), status: status.into() })?;
    let started_at = parse_start(entry);
    let endpoint = Endpoint {
        server: Id::from(server),
        zone: position(&platform.zones, string_field(entry, key::ZONE)),
        hardware_type: position(&platform.hardware_types, string_field(entry, key::HARDWARE_TYPE)),
        cell: entry.get(key::CELL).and_then(Value::as_u64).unwrap_or(0) as u32,
        state,
        weight: entry.get(key::WEIGHT).and_then(Value::as_f64).unwrap_or(1.0),
        started_at,
        listed_start: started_at,
    };
    Ok((endpoint, address))
}

/// The states of servers, as discovery names them.
fn parse_state(status: &str) -> Option<EndpointState> {
    match status {
        "in_service" => Some(EndpointState::Ready),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Removed),
        _ => None,
    }
}

fn is_out_of_service(state: EndpointState) -> bool {
    state != EndpointState::Ready
}

/// When the server of an entry started, if the entry has an accepted start.
fn parse_start(entry: &Value) -> Option<Micros> {
    let start_ms = entry.get(key::STARTED_AT)?.as_f64()?;
    let is_accepted = start_ms > 0.0 && start_ms < MAX_START_MS;
    is_accepted.then_some((start_ms * MICROS_PER_MS) as Micros)
}

/// The position of a name among the names of the settings; the number of names if it is unknown.
fn position(names: &[String], name: Option<&str>) -> u32 {
    let position = name.and_then(|name| names.iter().position(|known| known == name));
    position.unwrap_or(names.len()) as u32
}
