//! Which servers the endpoint list has taken out of service, and which version said so last.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, EndpointState, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// Servers that are remembered after their departure. Danger: a discovery that lists new names without end would fill the memory. Those
/// whose departure is of the oldest version go first.
const MAX_REMEMBERED: usize = 16 * 1024;

/// Servers that drain or have been removed. No attempt begins at one of them, and one returns only by a newer version, or with a
/// newer start. Danger: versions out of order. An agent that is behind, another discovery or a list from before the start may have a
/// server in service that drains.
#[derive(Default)]
pub struct DrainingEndpoints {
    /// The version of the newest list.
    index: u64,
    /// Those in service, and when each started.
    in_service: HashMap<Id, Option<Micros>>,
    departures: HashMap<Id, Departure>,
}

/// How a server was taken out of service.
#[derive(Clone, Copy, Default)]
struct Departure {
    /// When the server had started.
    started_at: Option<Micros>,
    /// The version that said so, or the first one of another sequence of versions.
    index: u64,
    /// The departure was known from another sequence of versions: nothing in the present one has said so.
    is_other_sequence: bool,
}

impl DrainingEndpoints {
    /// Applies a list. Servers that it has in service against something newer become draining in it.
    pub fn apply(&mut self, update: &mut EndpointUpdate) {
        if update.moved || update.index < self.index {
            // Another sequence of versions. That it still lists a server says nothing newer than that the server drains.
            for departure in self.departures.values_mut() {
                departure.index = update.index;
                departure.is_other_sequence = true;
            }
        }
        self.index = update.index;
        if update.full {
            self.depart_unlisted(update);
        }
        for (endpoint, _) in &mut update.servers {
            let departure = self.departures.get(&endpoint.server);
            if endpoint.state != EndpointState::Ready {
                self.depart(&endpoint.server, endpoint.started_at);
            } else if departure
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

    /// Takes out of service what a complete list does not have.
    fn depart_unlisted(&mut self, update: &EndpointUpdate) {
        let listed: HashSet<&Id> = update.servers.iter().map(|(endpoint, _)| &endpoint.server).collect();
        let removed: Vec<Id> = self.in_service.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in removed {
            self.depart(&id, None);
        }
    }

    /// Takes servers out of service that a rejected response names as draining.
    pub fn mark_draining(&mut self, servers: &[Id]) {
        for id in servers {
            if self.in_service.contains_key(id) {
                self.depart(id, None);
            }
        }
    }

    /// Forgets an eighth of the departures at once: a search for the oldest at each list would cost more than the list.
    fn forget_oldest(&mut self) {
        let mut indexes: Vec<u64> = self.departures.values().map(|departure| departure.index).collect();
        indexes.sort_unstable();
        let newest_forgotten = indexes[indexes.len() - MAX_REMEMBERED + MAX_REMEMBERED / 8 - 1];
        self.departures.retain(|_, departure| departure.index > newest_forgotten);
    }

    fn depart(&mut self, id: &Id, started_at: Option<Micros>) {
        let before = self.departures.get(id).and_then(|departure| departure.started_at);
        let started_at = started_at.max(self.in_service.remove(id).flatten()).max(before);
        let departure = Departure { started_at, index: self.index, is_other_sequence: false };
        self.departures.insert(id.clone(), departure);
    }

    /// The version of the newest list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether a server is out of service.
    pub fn contains(&self, server: &Id) -> bool {
        self.departures.contains_key(server)
    }
}

impl Departure {
    /// Whether a list of this version has the server in service again. A complete list repeats what was known, changes are new.
    fn is_superseded_by(&self, endpoint: &Endpoint, index: u64, is_full: bool) -> bool {
        endpoint.started_at > self.started_at || index > self.index && !(is_full && self.is_other_sequence)
    }
}
