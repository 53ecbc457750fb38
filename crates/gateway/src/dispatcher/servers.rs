//! The servers of the endpoint list, the mailboxes of their upstream actors, and the changes that the engine has not been
//! notified of.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use fernscale_policy::{Endpoint, EndpointState, Id};

use super::action_queue::{Action, ActionQueue};
use crate::protocol::catalog::EndpointUpdate;
use crate::shared::{Event, Shared};
use crate::upstream;

/// The most changes that the engine is notified of in one loop iteration. A list may change many endpoints.
const MAX_CHANGES_PER_ITERATION: usize = 256;

struct Server {
    /// The mailbox of the upstream actor; none until the actor is started by the first order.
    mailbox: Option<Sender<upstream::Order>>,
    address: SocketAddr,
    endpoint: Endpoint,
}

/// The servers that the endpoint lists have added and not removed.
pub(super) struct ServerTable {
    shared: Rc<Shared>,
    events: Sender<Event>,
    servers: BTreeMap<Id, Server>,
    /// Changes that the engine has not been notified of, in order.
    pending_changes: VecDeque<Endpoint>,
}

impl ServerTable {
    pub(super) fn new(shared: Rc<Shared>, events: Sender<Event>) -> Self {
        ServerTable { shared, events, servers: BTreeMap::new(), pending_changes: VecDeque::new() }
    }

    /// Applies a list. Only changed endpoints become pending, as most entries of a complete list have not changed. Upstream
    /// actors get a new address through `actions`.
    pub(super) fn apply(&mut self, update: EndpointUpdate, actions: &ActionQueue) {
        let mut changed = if update.full { self.remove_unlisted(&update) } else { Vec::new() };
        for (endpoint, address) in update.servers {
            if endpoint.state == EndpointState::Removed {
                self.servers.remove(&endpoint.server);
                changed.push(endpoint);
            } else if self.upsert(&endpoint, address, actions) {
                changed.push(endpoint);
            }
        }
        // Servers that are no longer ready come first, as attempts there fail from now on.
        let (ready, others): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|endpoint| endpoint.state == EndpointState::Ready);
        self.pending_changes.extend(others);
        self.pending_changes.extend(ready);
    }

    /// Removes the servers that are missing from a complete list, and returns a change for each.
    fn remove_unlisted(&mut self, update: &EndpointUpdate) -> Vec<Endpoint> {
        let listed: HashSet<&Id> = update.servers.iter().map(|(endpoint, _)| &endpoint.server).collect();
        let mut removed = Vec::new();
        // Requests keep the mailboxes of their attempts, so attempts in flight at a removed server end as usual.
        self.servers.retain(|id, server| {
            let is_listed = listed.contains(id);
            if !is_listed {
                removed.push(Endpoint { state: EndpointState::Removed, ..server.endpoint.clone() });
            }
            is_listed
        });
        removed
    }

    /// Adds or updates a server. Returns whether anything but the address has changed.
    fn upsert(&mut self, endpoint: &Endpoint, address: SocketAddr, actions: &ActionQueue) -> bool {
        let Some(server) = self.servers.get_mut(&endpoint.server) else {
            let server = Server { mailbox: None, address, endpoint: endpoint.clone() };
            self.servers.insert(endpoint.server.clone(), server);
            return true;
        };
        if server.address != address {
            server.address = address;
            if server.mailbox.is_some() {
                let order = upstream::Order::ChangeAddress(address);
                actions.push(Action::Upstream { server: endpoint.server.clone(), order });
            }
        }
        let is_changed = server.endpoint != *endpoint;
        if is_changed {
            server.endpoint = endpoint.clone();
        }
        is_changed
    }

    pub(super) fn has_pending_changes(&self) -> bool {
        !self.pending_changes.is_empty()
    }

    /// Takes the pending changes for one loop iteration.
    pub(super) fn take_changes(&mut self) -> Vec<Endpoint> {
        let count = self.pending_changes.len().min(MAX_CHANGES_PER_ITERATION);
        self.pending_changes.drain(..count).collect()
    }

    /// The mailbox of a server's upstream actor. Starts the actor if it does not run: a gateway uses only a few of the listed
    /// servers, so actors are started by their first order.
    pub(super) fn mailbox(&mut self, id: &Id) -> Option<Sender<upstream::Order>> {
        let server = self.servers.get_mut(id)?;
        let mailbox = server
            .mailbox
            .get_or_insert_with(|| upstream::start(&self.shared, &self.events, id, server.address));
        Some(mailbox.clone())
    }

    /// Whether the upstream actor of a server has been started.
    pub(super) fn is_started(&self, id: &Id) -> bool {
        self.servers.get(id).is_some_and(|server| server.mailbox.is_some())
    }

    /// An update that marks those of the given servers as draining that are ready; none if none of them is ready.
    pub(super) fn draining_update(&self, ids: &[Id], index: u64) -> Option<EndpointUpdate> {
        let ready = ids
            .iter()
            .filter_map(|id| self.servers.get(id))
            .filter(|server| server.endpoint.state == EndpointState::Ready);
        let servers: Vec<_> = ready
            .map(|server| {
                let draining = Endpoint { state: EndpointState::Draining, ..server.endpoint.clone() };
                (draining, server.address)
            })
            .collect();
        (!servers.is_empty()).then_some(EndpointUpdate { index, full: false, moved: false, servers })
    }

    pub(super) fn contains(&self, id: &Id) -> bool {
        self.servers.contains_key(id)
    }

    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    /// The servers in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Id, &Endpoint)> {
        self.servers.iter().map(|(id, server)| (id, &server.endpoint))
    }

    pub(super) fn has_ready(&self) -> bool {
        self.servers.values().any(|server| server.endpoint.state == EndpointState::Ready)
    }
}
