//! Model of discovery: the endpoint list with its versions, and the changes since a version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    InService,
    Terminating,
    Terminated,
}

impl Status {
    pub fn as_str(self) -> &'static str {
        match self {
            Status::InService => "in_service",
            Status::Terminating => "terminating",
            Status::Terminated => "terminated",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub status: Status,
    pub weight: f64,
    /// When the server started, from the start of the run; none if it started long before.
    pub started: Option<Micros>,
}

#[derive(Debug, Default)]
pub struct EndpointList {
    index: u64,
    entries: BTreeMap<String, (u64, Entry)>,
}

impl EndpointList {
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Adds an endpoint, or replaces its entry.
    pub fn put(&mut self, name: &str, entry: Entry) {
        self.index += 1;
        self.entries.insert(name.into(), (self.index, entry));
    }

    pub fn set_status(&mut self, name: &str, status: Status) {
        if let Some((version, entry)) = self.entries.get_mut(name).filter(|(_, entry)| entry.status != status)
        {
            self.index += 1;
            (*version, entry.status) = (self.index, status);
        }
    }

    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name).map(|(_, entry)| entry)
    }

    /// The endpoints of the full list; terminated endpoints appear only among changes.
    pub fn complete(&self) -> Vec<(&str, &Entry)> {
        let present = self.entries.iter().filter(|(_, (_, entry))| entry.status != Status::Terminated);
        present.map(|(name, (_, entry))| (&**name, entry)).collect()
    }

    pub fn since(&self, version: u64) -> Vec<(&str, &Entry)> {
        let newer = self.entries.iter().filter(|(_, (changed, _))| *changed > version);
        newer.map(|(name, (_, entry))| (&**name, entry)).collect()
    }
}
