//! Which servers the list has said to leave, and which word on a server is the newest.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, EndpointState, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// Servers that are remembered after they have left, at most: the lists of a discovery that brings new names without end
/// must not fill the memory. The one whose word is oldest goes first.
const MAX_REMEMBERED: usize = 16 * 1024;

/// Servers that leave, or have left. Nothing begins at one of them, and one comes back only by a newer word, or with a newer
/// start. Danger: words out of order. An agent that is behind, another discovery or a list from before the start may still
/// have a server in service that drains.
#[derive(Default)]
pub struct DrainingEndpoints {
    /// The version of the newest list.
    index: u64,
    /// Those in use, and when each started.
    in_service: HashMap<Id, Option<Micros>>,
    departures: HashMap<Id, Departure>,
}

/// The word that a server leaves.
#[derive(Clone, Copy, Default)]
struct Departure {
    /// When it had started.
    started_at: Option<Micros>,
    /// The version that said so, or the first of another row: then nothing in that row has said so.
    index: u64,
    is_other_sequence: bool,
}

impl DrainingEndpoints {
    /// Goes by a list that has come, and puts right in it what is older than what is known.
    pub fn read(&mut self, update: &mut EndpointUpdate) {
        if update.moved || update.index < self.index {
            // Another row of versions. That one still has a server in it is no newer word than that it leaves.
            let restart = |departure: &mut Departure| {
                (departure.index, departure.is_other_sequence) = (update.index, true)
            };
            self.departures.values_mut().for_each(restart);
        }
        self.index = update.index;
        if update.full {
            let listed: HashSet<&Id> = update.servers.iter().map(|(endpoint, _)| &endpoint.server).collect();
            let gone: Vec<Id> = self.in_service.keys().filter(|id| !listed.contains(id)).cloned().collect();
            gone.into_iter().for_each(|id| self.depart(&id, None));
        }
        for (endpoint, _) in &mut update.servers {
            if endpoint.state != EndpointState::Ready {
                self.depart(&endpoint.server, endpoint.started_at);
            } else if self
                .departures
                .get(&endpoint.server)
                .is_some_and(|departure| !departure.is_superseded_by(endpoint, self.index, update.full))
            {
                endpoint.state = EndpointState::Draining;
            } else {
                self.departures.remove(&endpoint.server);
                self.in_service.insert(endpoint.server.clone(), endpoint.started_at);
            }
        }
        if self.departures.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    /// Goes by an answer that was refused, of which only this is taken: that these leave.
    pub fn leave(&mut self, servers: &[Id]) {
        for id in servers {
            if self.in_service.contains_key(id) {
                self.depart(id, None);
            }
        }
    }

    /// Forgets an eighth of those that have left: to look for the oldest each time would cost more than all the list.
    fn forget_oldest(&mut self) {
        let mut indexes: Vec<u64> = self.departures.values().map(|departure| departure.index).collect();
        indexes.sort_unstable();
        let newest_forgotten = indexes[indexes.len() - MAX_REMEMBERED + MAX_REMEMBERED / 8 - 1];
        self.departures.retain(|_, departure| departure.index > newest_forgotten);
    }

    fn depart(&mut self, id: &Id, started_at: Option<Micros>) {
        let before = self.departures.get(id).and_then(|departure| departure.started_at);
        let started_at = started_at.max(self.in_service.remove(id).flatten()).max(before);
        self.departures
            .insert(id.clone(), Departure { started_at, index: self.index, is_other_sequence: false });
    }

    /// The version of the newest list.
    pub fn index(&self) -> u64 {
        self.index
    }

    pub fn contains(&self, server: &Id) -> bool {
        self.departures.contains_key(server)
    }
}

impl Departure {
    /// Whether a list of this version has the server back. A whole list repeats old words, changes are new ones.
    fn is_superseded_by(&self, endpoint: &Endpoint, index: u64, full: bool) -> bool {
        endpoint.started_at > self.started_at || index > self.index && !(full && self.is_other_sequence)
    }
}
