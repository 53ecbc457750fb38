//! The table of known servers and what this gateway has learnt about each. Other modules decide which servers
//! are used, and how much.

use std::collections::BTreeMap;

use rand::Rng;

use crate::concurrency_limit::ServerLimit;
use crate::deadline::QUEUE_POLL_INTERVAL;
use crate::event::{Endpoint, EndpointState, Id, Micros};
use crate::hash::hash_position;
use crate::numeric::SECOND;
use crate::outlier::FailureRecord;
use crate::slow_start::SlowStartBudget;

/// Maximum number of times that the backoff before the next poll of the endpoint list doubles. Without a
/// backoff, gateways that poll at the same time keep doing so; with a long one, they notice too late that
/// discovery has recovered.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// One server and what this gateway knows about it.
#[derive(Default)]
pub struct Server {
    ring_position: u64,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its cell.
    pub cell: u32,
    /// The endpoint list says that the server takes new attempts.
    pub ready: bool,
    /// This gateway uses the server.
    pub assigned: bool,
    /// The operators have taken the server out of use.
    pub cordoned: bool,
    /// When the operators took the server back into use.
    uncordoned_at: Option<Micros>,
    /// Other gateways have ejected the server as an outlier.
    pub ejected_by_peers: bool,
    /// The server stays in the table until this time, whatever the list says.
    retained_until: Micros,
    /// The server's weight in the endpoint list.
    pub listed_weight: f64,
    /// The server's weight in this gateway's traffic.
    pub weight: f64,
    started_at: Option<Micros>,
    /// This gateway's attempts in flight at the server.
    pub in_flight: u32,
    /// The limit on this gateway's attempts in flight.
    pub limit: ServerLimit,
    /// The server's failures and its ejection.
    pub failures: FailureRecord,
    /// The server's credit in weighted round robin.
    pub credit: f64,
    /// The attempts that the server may be sent in slow start.
    pub slow_start: SlowStartBudget,
}

impl Server {
    fn new(id: &Id) -> Self {
        Server { ring_position: hash_position(id, Micros::MAX), ..Server::default() }
    }

    /// The same server after a start. What this gateway learnt is dropped; the attempts in flight and the
    /// decisions of operators and other gateways are kept.
    fn restarted(&self, started_at: Option<Micros>, slow_start: SlowStartBudget) -> Self {
        Server {
            ring_position: self.ring_position,
            in_flight: self.in_flight,
            cordoned: self.cordoned,
            uncordoned_at: self.uncordoned_at,
            ejected_by_peers: self.ejected_by_peers,
            retained_until: self.retained_until,
            started_at,
            limit: ServerLimit::unset(),
            slow_start,
            ..Server::default()
        }
    }

    /// When the server last started, by the list or by the operators' uncordoning.
    pub fn effective_start(&self) -> Option<Micros> {
        self.started_at.max(self.uncordoned_at)
    }

    /// When the server last started, by the list.
    pub fn listed_start(&self) -> Option<Micros> {
        self.started_at
    }

    /// Whether a list entry shows a server that is new or has restarted.
    pub fn is_new(&self, entry: &Endpoint) -> bool {
        self.limit.is_unset() || self.started_at != entry.started_at
    }

    /// Applies a list entry.
    pub fn update(&mut self, entry: &Endpoint) {
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.listed_weight = entry.weight;
        self.ready = entry.state == EndpointState::Ready;
    }

    /// Marks the server as used with this weight, or as not used.
    pub fn assign(&mut self, weight: Option<f64>) {
        self.assigned = weight.is_some();
        self.weight = weight.unwrap_or(self.listed_weight);
    }

    /// Takes the server out of use, whatever the list says.
    pub fn cordon(&mut self) {
        self.cordoned = true;
        self.retained_until = Micros::MAX;
    }

    /// Takes the server back into use. It counts as started at `at`, gets this slow-start budget, and is the
    /// next to be selected.
    pub fn uncordon(&mut self, at: Micros, retained_until: Micros, slow_start: SlowStartBudget, now: Micros) {
        self.cordoned = false;
        self.uncordoned_at = Some(at);
        self.retained_until = retained_until;
        self.slow_start = slow_start;
        self.credit = 1.0;
        self.failures.readmit(now);
    }

    fn is_retained(&self, now: Micros) -> bool {
        self.ready || self.in_flight > 0 || now < self.retained_until
    }
}

/// All known servers.
///
/// An endpoint list names thousands of servers, and a gateway uses some tens of them. The work done for each
/// request therefore uses only [`EndpointTable::assigned`] and lookups by id; only a new list leads to a pass
/// over all servers.
#[derive(Default)]
pub struct EndpointTable {
    /// Each server keeps its slot while it is in the table.
    slots: Vec<(Id, Server)>,
    free: Vec<usize>,
    by_id: BTreeMap<Id, usize>,
    /// Slots of the assigned servers, in the order of their ids.
    assigned: Vec<usize>,
    /// Sum of all servers' shares of failures.
    failure_share_sum: f64,
}

impl EndpointTable {
    /// Returns the server with this id.
    pub fn get(&self, id: &Id) -> Option<&Server> {
        self.by_id.get(id).map(|slot| &self.slots[*slot].1)
    }

    /// Returns the server with this id for modification.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Server> {
        self.by_id.get(id).map(|slot| &mut self.slots[*slot].1)
    }

    /// Returns the server with this id, and adds it if it is unknown.
    pub fn entry(&mut self, id: &Id) -> &mut Server {
        let slot = match self.by_id.get(id) {
            Some(slot) => *slot,
            None => self.insert(id),
        };
        &mut self.slots[slot].1
    }

    fn insert(&mut self, id: &Id) -> usize {
        let server = Server::new(id);
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot] = (id.clone(), server);
                slot
            }
            None => {
                self.slots.push((id.clone(), server));
                self.slots.len() - 1
            }
        };
        self.by_id.insert(id.clone(), slot);
        slot
    }

    /// Drops what was learnt about a server that is new or has restarted.
    pub fn reset(&mut self, id: &Id, started_at: Option<Micros>, slow_start: SlowStartBudget) {
        let server = self.entry(id);
        let failure_share = server.failures.share();
        *server = server.restarted(started_at, slow_start);
        self.failure_share_sum -= failure_share;
    }

    /// Marks all servers as not ready, before a full list is applied.
    pub fn clear_ready(&mut self) {
        self.slots.iter_mut().for_each(|(_, server)| server.ready = false);
    }

    /// Removes the servers that are not ready, have nothing in flight and need not be retained.
    pub fn remove_stale(&mut self, now: Micros) {
        let EndpointTable { slots, free, by_id, failure_share_sum, .. } = self;
        by_id.retain(|_, slot| {
            let server = &mut slots[*slot].1;
            if server.is_retained(now) {
                return true;
            }
            *failure_share_sum -= server.failures.share();
            *server = Server::default();
            free.push(*slot);
            false
        });
    }

    /// All servers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Server)> {
        self.by_id.values().map(|slot| self.at(*slot))
    }

    /// The assigned servers, in the order of their ids.
    pub fn assigned(&self) -> impl Iterator<Item = (&Id, &Server)> {
        self.assigned.iter().map(|slot| self.at(*slot))
    }

    /// The assigned servers that may get first attempts.
    pub fn in_use(&self) -> impl Iterator<Item = &Server> {
        let servers = self.assigned().map(|(_, server)| server);
        servers.filter(|server| server.ready && server.assigned && !server.cordoned)
    }

    fn at(&self, slot: usize) -> (&Id, &Server) {
        let (id, server) = &self.slots[slot];
        (id, server)
    }

    /// Computes the assignment of servers again. `choose` gets all servers that are ready and not ejected by
    /// other gateways, ordered by their positions on the ring, and marks those that are used.
    pub fn assign(&mut self, choose: impl FnOnce(&mut [(&Id, &mut Server)])) {
        let EndpointTable { slots, by_id, assigned, .. } = self;
        let mut ring: Vec<(&Id, &mut Server)> = Vec::with_capacity(by_id.len());
        for (id, server) in slots.iter_mut() {
            server.assigned = false;
            if server.ready && !server.ejected_by_peers {
                ring.push((id, server));
            }
        }
        ring.sort_unstable_by(|(id, server), (other_id, other)| {
            server.ring_position.cmp(&other.ring_position).then_with(|| id.cmp(other_id))
        });
        choose(&mut ring);
        assigned.clear();
        assigned.extend(by_id.values().filter(|slot| slots[**slot].1.assigned));
    }

    /// Records whether an attempt at a server failed, and compares the server with the mean of all servers.
    pub fn record_outcome(&mut self, id: &Id, failed: bool, now: Micros) {
        let fleet_mean = self.failure_share_sum / self.by_id.len().max(1) as f64;
        if let Some(server) = self.get_mut(id) {
            let change = server.failures.record(failed, fleet_mean, now);
            self.failure_share_sum += change;
        }
    }
}

/// The backoff before the endpoint list is polled or watched again.
#[derive(Default)]
pub struct ListBackoff {
    failures: u32,
}

impl ListBackoff {
    /// Resets the backoff, after a list was received.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the wait after a failure: a random time between half and all of a maximum that doubles with each
    /// failure. If the list has to be polled, the maximum is at most `poll_interval`.
    pub fn next_delay(&mut self, poll_interval: Option<Micros>, rng: &mut impl Rng) -> Micros {
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let max_delay = match poll_interval {
            Some(interval) => interval.min(SECOND << self.failures),
            None => (QUEUE_POLL_INTERVAL / 2) << self.failures,
        };
        (max_delay as f64 * rng.gen_range(0.5..1.0)) as Micros
    }
}
