//! The servers that the endpoint list has taken out of service, and the versions of the list that did so.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, EndpointState, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// The maximum number of remembered departures: a discovery that lists new names without end would fill the memory. The departures
/// of the oldest versions are forgotten first.
const MAX_REMEMBERED: usize = 16 * 1024;

/// Servers that are draining or have been removed. No attempt is sent to these servers, and only a newer version of the list or a
/// newer start of the server returns it to service. This guards against versions out of order: an agent that is behind, another
/// discovery or a list from before the start of this process may list a draining server as in service.
#[derive(Default)]
pub struct DrainingEndpoints {
    /// The version of the newest list.
    index: u64,
    /// The servers in service, and when each started.
    in_service: HashMap<Id, Option<Micros>>,
    departures: HashMap<Id, Departure>,
}

/// How a server was taken out of service.
#[derive(Clone, Copy, Default)]
struct Departure {
    /// When the server that departed had started.
    started_at: Option<Micros>,
    /// The version that took the server out of service, or the first version of another sequence that came after it.
    index: u64,
    /// Whether the departure is known only from another sequence of versions, and not from the present sequence.
    is_other_sequence: bool,
}

impl DrainingEndpoints {
    /// Applies a list. A server that the list has in service becomes draining in it if its departure is newer.
    pub fn apply(&mut self, update: &mut EndpointUpdate) {
        if update.moved || update.index < self.index {
            // This is another sequence of versions. A server that the list has in service may still be draining: the list is not
            // known to be newer than the departure.
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

    /// Takes out of service the servers that are missing from a complete list.
    fn depart_unlisted(&mut self, update: &EndpointUpdate) {
        let listed: HashSet<&Id> = update.servers.iter().map(|(endpoint, _)| &endpoint.server).collect();
        let removed: Vec<Id> = self.in_service.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in removed {
            self.depart(&id, None);
        }
    }

    /// Takes out of service the servers that a rejected response lists as draining.
    pub fn mark_draining(&mut self, servers: &[Id]) {
        for id in servers {
            if self.in_service.contains_key(id) {
                self.depart(id, None);
            }
        }
    }

    /// Forgets an eighth of the departures at once: a search for the oldest departure on each list would cost more than
    /// applying the list.
    fn forget_oldest(&mut self) {
        let mut indexes: Vec<u64> = self.departures.values().map(|departure| departure.index).collect();
        indexes.sort_unstable();
        let newest_forgotten = indexes[indexes.len() - MAX_REMEMBERED + MAX_REMEMBERED / 8 - 1];
        self.departures.retain(|_, departure| departure.index > newest_forgotten);
    }

    /// Takes a server out of service with the present version.
    fn depart(&mut self, id: &Id, started_at: Option<Micros>) {
        let previous_start = self.departures.get(id).and_then(|departure| departure.started_at);
        let started_at = started_at.max(self.in_service.remove(id).flatten()).max(previous_start);
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
    /// Whether an entry in a list of this version returns the server to service. A complete list repeats known entries, while a
    /// list of changes has only new ones.
    fn is_superseded_by(&self, endpoint: &Endpoint, index: u64, is_full: bool) -> bool {
        endpoint.started_at > self.started_at || index > self.index && !(is_full && self.is_other_sequence)
    }
}
