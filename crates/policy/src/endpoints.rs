//! The table of known servers and what was learnt of each; it decides neither who is used nor by how much.

use std::collections::BTreeMap;

use rand::Rng;

use crate::concurrency_limit::ServerLimit;
use crate::deadline::QUEUE_POLL_INTERVAL;
use crate::event::{Endpoint, EndpointState, Id, Micros};
use crate::hash::hash_position;
use crate::numeric::SECOND;
use crate::outlier::FailureRecord;
use crate::slow_start::SlowStartBudget;

/// How often the backoff before the next poll of the endpoint list doubles. Danger: without backoff a crowd of
/// gateways stays one; with a long one a discovery that is back stays unheard.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// One server and what this gateway knows of it.
#[derive(Default)]
pub struct Server {
    ring_position: u64,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its cell.
    pub cell: u32,
    /// The list has it as taking new attempts.
    pub ready: bool,
    /// It is among those that this gateway uses.
    pub assigned: bool,
    /// The operators have taken it out of use.
    pub cordoned: bool,
    /// When the operators took it back into use.
    uncordoned_at: Option<Micros>,
    /// Other gateways have found it to be an outlier.
    pub ejected_by_peers: bool,
    /// Until then it is retained, whatever the list says.
    retained_until: Micros,
    /// Its weight in the list.
    pub listed_weight: f64,
    /// Its weight in this gateway's traffic.
    pub weight: f64,
    started_at: Option<Micros>,
    /// Attempts in flight from here.
    pub in_flight: u32,
    /// The limit on them.
    pub limit: ServerLimit,
    /// Its failures.
    pub failures: FailureRecord,
    /// Its credit in weighted round robin.
    pub credit: f64,
    /// The attempts that it may be sent in slow start.
    pub slow_start: SlowStartBudget,
}

impl Server {
    fn new(id: &Id) -> Self {
        Server { ring_position: hash_position(id, Micros::MAX), ..Server::default() }
    }

    /// The same server after a start: nothing learnt of it holds, but what others decided and what is in flight does.
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

    /// When it last started, by the list or by the operators.
    pub fn effective_start(&self) -> Option<Micros> {
        self.started_at.max(self.uncordoned_at)
    }

    /// When it last started, by the list.
    pub fn listed_start(&self) -> Option<Micros> {
        self.started_at
    }

    /// Whether an entry of the list is of a server that is new, or has started since.
    pub fn is_new(&self, entry: &Endpoint) -> bool {
        self.limit.is_unset() || self.started_at != entry.started_at
    }

    /// Takes in an entry of the list.
    pub fn update(&mut self, entry: &Endpoint) {
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.listed_weight = entry.weight;
        self.ready = entry.state == EndpointState::Ready;
    }

    /// Marks it as used with this weight, or as not used.
    pub fn assign(&mut self, weight: Option<f64>) {
        self.assigned = weight.is_some();
        self.weight = weight.unwrap_or(self.listed_weight);
    }

    /// Takes it out of use, whatever the list says.
    pub fn cordon(&mut self) {
        self.cordoned = true;
        self.retained_until = Micros::MAX;
    }

    /// Takes it back into use, as started at that time, and serves it next with this budget.
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
/// Lists name thousands of servers and a gateway uses some tens: what is done for each request goes by
/// [`EndpointTable::assigned`] and by id, and only a new list is an occasion to look at all.
#[derive(Default)]
pub struct EndpointTable {
    /// Each server keeps its slot as long as it is known.
    slots: Vec<(Id, Server)>,
    free: Vec<usize>,
    by_id: BTreeMap<Id, usize>,
    /// Slots of the assigned servers, in the order of their ids.
    assigned: Vec<usize>,
    /// Sum of the failure shares of all servers.
    failure_share_sum: f64,
}

impl EndpointTable {
    /// The server of this id.
    pub fn get(&self, id: &Id) -> Option<&Server> {
        self.by_id.get(id).map(|slot| &self.slots[*slot].1)
    }

    /// The server of this id, to be changed.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Server> {
        self.by_id.get(id).map(|slot| &mut self.slots[*slot].1)
    }

    /// The server of this id; one that was not known is added.
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

    /// Forgets what was learnt of a server that is new or has started since.
    pub fn reset(&mut self, id: &Id, started_at: Option<Micros>, slow_start: SlowStartBudget) {
        let server = self.entry(id);
        let failure_share = server.failures.share();
        *server = server.restarted(started_at, slow_start);
        self.failure_share_sum -= failure_share;
    }

    /// Marks all servers as not ready, before a full list.
    pub fn clear_ready(&mut self) {
        self.slots.iter_mut().for_each(|(_, server)| server.ready = false);
    }

    /// Removes the servers that no list names, that have nothing in flight and need not be retained.
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

    /// The assigned servers that first attempts may go to.
    pub fn in_use(&self) -> impl Iterator<Item = &Server> {
        let servers = self.assigned().map(|(_, server)| server);
        servers.filter(|server| server.ready && server.assigned && !server.cordoned)
    }

    fn at(&self, slot: usize) -> (&Id, &Server) {
        let (id, server) = &self.slots[slot];
        (id, server)
    }

    /// Assigns servers again: `choose` gets all that are ready and not ejected by peers, in the order of their
    /// positions on the ring, and marks those that are used.
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

    /// Takes in whether an attempt at a server failed, as compared with the mean of all servers.
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
    /// A list has come.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The list could not be had; how long to wait, at random between half and all of a time that doubles, and within
    /// `poll_interval` where the list has to be polled.
    pub fn next_delay(&mut self, poll_interval: Option<Micros>, rng: &mut impl Rng) -> Micros {
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let longest = match poll_interval {
            Some(interval) => interval.min(SECOND << self.failures),
            None => (QUEUE_POLL_INTERVAL / 2) << self.failures,
        };
        (longest as f64 * rng.gen_range(0.5..1.0)) as Micros
    }
}
