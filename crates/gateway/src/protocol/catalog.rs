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
const MAX_START_MS: f64 = 1e14;

/// The path of a call: for the whole list, or for what is newer than a version, with the time it may wait.
pub fn request_path(since: Option<(u64, u64)>) -> String {
    match since {
        None => "/catalog/members".into(),
        Some((version, wait_ms)) => format!("/catalog/members?since={version}&timeout_ms={wait_ms}"),
    }
}

/// Reads an answer that has been parsed whole.
pub fn endpoint_update(response: &Value, platform: &PlatformSettings) -> Result<EndpointUpdate, ListError> {
    let mut entries_read = EntryReader::default();
    let entries = response.get("endpoints").and_then(Value::as_array);
    match entries {
        Some(entries) => entries.iter().for_each(|entry| entries_read.read(entry, platform)),
        None => entries_read.reject(NO_ENDPOINTS.into()),
    }
    let (index, full) = (response.get("index"), response.get("snapshot"));
    entries_read.finish(index.and_then(Value::as_u64), full.and_then(Value::as_bool))
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
struct EntryReader {
    servers: Vec<Entry>,
    names: HashSet<Id>,
    /// Why the whole is refused: the first entry that can't be read, or else that comes twice.
    invalid: Option<String>,
    duplicate: Option<String>,
    draining: Vec<Id>,
    /// What will be known by its text.
    by_text: HashMap<Box<str>, Entry>,
}

impl EntryReader {
    /// Reads an entry that has been parsed.
    fn read(&mut self, entry: &Value, platform: &PlatformSettings) {
        let text = |name: &str| entry.get(name).and_then(Value::as_str);
        if matches!(text("status"), Some("terminating" | "terminated")) {
            self.draining.extend(text("name").map(Id::from));
        }
        match parse_entry(entry, platform) {
            Ok(entry) => self.add(entry),
            Err(invalid) => self.reject(invalid),
        }
    }

    /// Reads an entry by its text.
    fn read_text(&mut self, text: &RawValue, known: &KnownEndpoints, platform: &PlatformSettings) {
        if let Some(entry) = known.0.get(text.get()).cloned() {
            if entry.0.state != EndpointState::Ready {
                self.draining.push(entry.0.server.clone());
            }
            self.by_text.insert(text.get().into(), entry.clone());
            return self.add(entry);
        }
        match serde_json::from_str::<Value>(text.get()) {
            Ok(entry) => {
                let before = self.servers.len();
                self.read(&entry, platform);
                if let Some(entry) = self.servers.get(before) {
                    self.by_text.insert(text.get().into(), entry.clone());
                }
            }
            Err(error) => self.reject(error.to_string()),
        }
    }

    fn add(&mut self, entry: Entry) {
        // Which of two words on one server holds can't be known.
        if !self.names.insert(entry.0.server.clone()) {
            self.duplicate.get_or_insert_with(|| format!("server '{}' comes twice", entry.0.server));
        }
        self.servers.push(entry);
    }

    fn reject(&mut self, invalid: String) {
        self.invalid.get_or_insert(invalid);
    }

    fn finish(mut self, index: Option<u64>, full: Option<bool>) -> Result<EndpointUpdate, ListError> {
        if let Some(invalid) = self.duplicate.take() {
            self.reject(invalid);
        }
        if index.is_none() {
            self.reject("a list without 'index'".into());
        }
        if full.is_none() {
            self.reject("a list without 'snapshot'".into());
        }
        match (self.invalid, index, full) {
            (None, Some(index), Some(full)) => {
                Ok(EndpointUpdate { index, full, moved: false, servers: self.servers })
            }
            (invalid, index, _) => {
                Err(ListError { reason: invalid.unwrap_or_default(), index, draining: self.draining })
            }
        }
    }
}

/// Entries of a list that are read in one iteration of the event loop: some tenths of a millisecond.
const ENTRIES_PER_SLICE: usize = 64;

/// Reads an answer slice by slice: to read thousands of entries in one turn would hold up all else.
pub struct SlicedReader<'a> {
    outline: Outline<'a>,
    /// The first entry that has not been read.
    next: usize,
    entries_read: EntryReader,
}

impl<'a> SlicedReader<'a> {
    /// Fails where the text is no JSON. One that is of another form has no entries.
    pub fn of(body: &'a [u8]) -> Result<Self, String> {
        let outline = match serde_json::from_slice(body) {
            Err(error) if error.is_data() => Outline::default(),
            other => other.map_err(|error| error.to_string())?,
        };
        Ok(SlicedReader { outline, next: 0, entries_read: EntryReader::default() })
    }

    /// Reads the next entries; whether there are more behind them.
    pub fn read_slice(&mut self, known: &KnownEndpoints, platform: &PlatformSettings) -> bool {
        let entries = self.outline.endpoints.as_deref().unwrap_or_default();
        let rest = entries.get(self.next..).unwrap_or_default();
        let slice = &rest[..rest.len().min(ENTRIES_PER_SLICE)];
        slice.iter().for_each(|text| self.entries_read.read_text(text, known, platform));
        self.next += slice.len();
        self.next < entries.len()
    }

    /// What was read. Of a whole list the texts are known from now on.
    pub fn end(mut self, known: &mut KnownEndpoints) -> Result<EndpointUpdate, ListError> {
        if self.outline.endpoints.is_none() {
            self.entries_read.reject(NO_ENDPOINTS.into());
        }
        let by_text = std::mem::take(&mut self.entries_read.by_text);
        let index = self.outline.index.and_then(|index| serde_json::from_str(index.get()).ok());
        let full = self.outline.snapshot.and_then(|full| serde_json::from_str(full.get()).ok());
        let update = self.entries_read.finish(index, full);
        if update.as_ref().is_ok_and(|update| update.full) {
            known.0 = by_text;
        }
        update
    }
}

fn parse_entry(entry: &Value, platform: &PlatformSettings) -> Result<(Endpoint, SocketAddr), String> {
    let text = |name: &str| entry.get(name).and_then(Value::as_str);
    let server = text("name").filter(|name| !name.is_empty()).ok_or("a server without 'name'")?;
    let address = text("address").and_then(|address| address.parse().ok());
    let address = address.ok_or_else(|| format!("server '{server}' has no 'address' of a socket"))?;
    let position_of = |names: &[String], name: &str| {
        let at = text(name).and_then(|name| names.iter().position(|known| known == name));
        at.unwrap_or(names.len()) as u32
    };
    let started_at = (entry.get("since_ms").and_then(Value::as_f64))
        .filter(|at| *at > 0.0 && *at < MAX_START_MS)
        .map(|at| (at * 1000.0) as u64);
    let endpoint = Endpoint {
        server: Id::from(server),
        zone: position_of(&platform.zones, "zone"),
        hardware_type: position_of(&platform.hardware_types, "type"),
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
        started_at,
        listed_start: started_at,
    };
    Ok((endpoint, address))
}
