//! Dissemination of shared counters: the queue of pending contributions, their receivers and their remaining transmissions.
//! `PnCounters` merges the counters' values; `Node` and its caller send the datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fernscale_shared_counter::pn_counter::{Change, Instance, PnCounters, MAX_KEY_BYTES};
use fernscale_shared_counter::{Micros, MILLISECOND};

use super::datagram_batch::{BatchFull, DatagramBatch};
use super::members::MemberTable;
use crate::packet::{CounterEntry, CounterTotal, MAX_STREAM_BYTES};
use crate::recent_changes::{ContributionKey, RecentChanges};

/// Maximum number of datagrams to each random member in a gossip round. Entries that do not fit wait for the next round.
const MAX_GOSSIP_DATAGRAMS: usize = 3;
/// Maximum number of datagrams to each contributor of a counter in a round. A tenant uses few gateways, so the traffic does
/// not grow with the fleet.
const MAX_DIRECT_DATAGRAMS: usize = 2;
/// Maximum number of pending contributions that are sorted for a round, several times as many as fit into the round.
const MAX_CONSIDERED_ENTRIES: usize = 512;
/// Transmissions of a change to a known contribution: to the local node's contribution, and to another node's.
const OWN_CHANGE_TRANSMISSIONS: u32 = 2;
const FORWARDED_CHANGE_TRANSMISSIONS: u32 = 1;
/// Transmissions of a dead node's contribution by each node that knows it. This node may be the only one, and datagrams may be
/// lost.
const ORPHAN_TRANSMISSIONS: u32 = 3;
/// Transmissions of a contribution that has stopped changing.
const QUIET_TRANSMISSIONS: u32 = 1;
/// Maximum number of known counters. At the limit this node does not count new ones.
const MAX_COUNTERS: usize = 65_536;
/// Maximum number of pending contributions. At the limit further ones are dropped, and anti-entropy delivers them later.
const MAX_PENDING_UPDATES: usize = 32_768;
/// Maximum number of totals in one stream message. A total takes its key and less than twenty bytes.
const MAX_TOTALS: usize = MAX_STREAM_BYTES / (MAX_KEY_BYTES + 20);

/// The transmission state of a pending contribution.
#[derive(Clone, Copy)]
struct PendingUpdate {
    remaining_transmissions: u32,
    changes_since_sent: u32,
    /// The position in the queue. Older contributions go first.
    enqueued: u64,
    /// Whether other nodes may not know the contribution. Such a contribution goes to all nodes, so that the contributors of a
    /// counter know each other.
    is_new: bool,
    /// Whether the contribution goes directly to the counter's contributors, as the local node's contributions do. This is set
    /// for contributions whose node cannot send them itself, and for retransmissions.
    direct: bool,
}

/// The datagrams of one gossip round.
pub(super) struct GossipRound {
    /// Datagrams to contributors of the same counters, ordered by instance.
    pub direct: Vec<(SocketAddr, DatagramBatch)>,
    /// Datagrams to some random members.
    pub random: DatagramBatch,
}

/// Whether a contribution fit into the datagrams of its receivers.
#[derive(Clone, Copy, Default)]
struct Placement {
    placed: bool,
    rejected: bool,
}

impl Placement {
    fn record(&mut self, result: Result<(), BatchFull>) {
        match result {
            Ok(()) => self.placed = true,
            Err(BatchFull) => self.rejected = true,
        }
    }

    fn is_complete(self) -> bool {
        self.placed && !self.rejected
    }
}

pub(super) struct CounterGossip {
    local: Instance,
    counters: PnCounters,
    pending: BTreeMap<ContributionKey, PendingUpdate>,
    enqueued: u64,
    /// Changes whose transmissions may have been lost.
    recent_changes: RecentChanges,
    dropped_updates: u64,
}

impl CounterGossip {
    pub fn new(local: Instance) -> Self {
        CounterGossip {
            local,
            counters: PnCounters::new(MAX_COUNTERS),
            pending: BTreeMap::new(),
            enqueued: 0,
            recent_changes: RecentChanges::default(),
            dropped_updates: 0,
        }
    }

    pub fn counters(&self) -> &PnCounters {
        &self.counters
    }

    pub fn dropped_updates(&self) -> u64 {
        self.dropped_updates
    }

    pub fn remove_expired(&mut self, now: Micros) {
        self.counters.remove_expired(now);
        self.recent_changes.remove_expired(now);
    }

    /// Adds an amount of the local node to a counter.
    pub fn add(&mut self, now: Micros, key: &str, amount: f64, lifetime: Micros, members: &MemberTable) {
        let Some(change) = self.counters.add(now, self.local, key, amount, lifetime) else {
            self.dropped_updates += 1;
            return;
        };
        let contribution = ContributionKey { counter: change.key.clone(), instance: self.local };
        self.recent_changes.record(now, contribution);
        self.enqueue_change(change, self.local, members);
    }

    /// Merges contributions that another node sent, and queues the ones that changed a counter for forwarding.
    pub fn merge(&mut self, now: Micros, entries: Vec<CounterEntry>, members: &MemberTable) {
        for entry in entries {
            if entry.instance == self.local {
                // No other node has a newer version of the local contribution.
                continue;
            }
            let lifetime = Micros::from(entry.expires_in_ms) * MILLISECOND;
            let merged = self.counters.merge(now, &entry.key, entry.instance, entry.contribution, lifetime);
            let Some(change) = merged else { continue };
            if change.is_new {
                self.enqueue_orphans_of(now, &change.key, members);
            }
            self.enqueue_change(change, entry.instance, members);
        }
    }

    fn enqueue_change(&mut self, change: Change, instance: Instance, members: &MemberTable) {
        let transmissions = if change.is_new {
            members.transmission_limit()
        } else if instance == self.local {
            OWN_CHANGE_TRANSMISSIONS
        } else {
            FORWARDED_CHANGE_TRANSMISSIONS
        };
        let key = ContributionKey { counter: change.key, instance };
        self.enqueue(key, change.is_new, transmissions);
    }

    /// Schedules at least the given number of transmissions of a contribution.
    fn enqueue(&mut self, key: ContributionKey, is_new: bool, transmissions: u32) {
        self.enqueued += 1;
        if self.pending.len() >= MAX_PENDING_UPDATES && !self.pending.contains_key(&key) {
            self.dropped_updates += 1;
            return;
        }
        let pending = self.pending.entry(key).or_insert(PendingUpdate {
            remaining_transmissions: transmissions,
            changes_since_sent: 0,
            enqueued: self.enqueued,
            is_new,
            direct: false,
        });
        pending.remaining_transmissions = pending.remaining_transmissions.max(transmissions);
        pending.changes_since_sent += 1;
    }

    /// Schedules the given number of transmissions of a contribution to all contributors of its counter.
    fn enqueue_direct(&mut self, key: ContributionKey, transmissions: u32) {
        self.enqueue(key.clone(), false, transmissions);
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.direct = true;
        }
    }

    fn enqueue_orphan(&mut self, now: Micros, key: ContributionKey) {
        self.enqueue_direct(key.clone(), ORPHAN_TRANSMISSIONS);
        self.recent_changes.record(now, key);
    }

    /// Sends the contributions of nodes that are not live to the contributors of a counter, after a new one has joined them.
    ///
    /// Without these contributions a restarted gateway would see less than the total.
    fn enqueue_orphans_of(&mut self, now: Micros, counter: &Arc<str>, members: &MemberTable) {
        if self.counters.contribution(counter, self.local).is_none() {
            return;
        }
        let contributors = self.counters.contributors(counter);
        let orphans: Vec<Instance> =
            contributors.filter(|instance| members.get_live(*instance).is_none()).collect();
        for instance in orphans {
            self.enqueue_orphan(now, ContributionKey { counter: counter.clone(), instance });
        }
    }

    /// Sends the contributions of a node that is no longer live to the other contributors of its counters. That node cannot
    /// send them itself, so all contributors of the counters do.
    pub fn enqueue_contributions_of(&mut self, now: Micros, gone: Instance) {
        let counters: Vec<Arc<str>> = self.counters.keys_of_instance(gone).collect();
        for counter in counters {
            if self.counters.contribution(&counter, self.local).is_some() {
                self.enqueue_orphan(now, ContributionKey { counter, instance: gone });
            }
        }
    }

    /// Resends changes that a returned member may have missed while it was unreachable, in the counters that it contributes to.
    ///
    /// Otherwise the member would lack contributions that no longer change until anti-entropy delivers them.
    pub fn resend_to_returned(&mut self, returned: Instance, since: Micros) {
        let recent = self.recent_changes.since(since);
        let missed: Vec<ContributionKey> = recent
            .filter(|key| self.counters.contribution(&key.counter, returned).is_some())
            .cloned()
            .collect();
        for key in missed {
            self.enqueue_direct(key, OWN_CHANGE_TRANSMISSIONS);
        }
    }

    /// Resends all changes that other nodes may have missed while this node was unreachable.
    pub fn resend_all(&mut self, since: Micros) {
        let missed: Vec<ContributionKey> = self.recent_changes.since(since).cloned().collect();
        for key in missed {
            self.enqueue_direct(key, OWN_CHANGE_TRANSMISSIONS);
        }
    }

    /// Resends contributions that have stopped changing.
    pub fn enqueue_quiet(&mut self, now: Micros) {
        for key in self.recent_changes.take_quiet(now) {
            self.enqueue_direct(key, QUIET_TRANSMISSIONS);
        }
    }

    /// Takes the datagrams of the next gossip round, or `None` if no contribution is pending.
    ///
    /// The local node's contributions and those marked `direct` go to the contributors of the same counter. New
    /// contributions, those of other nodes, and those without a live contributor to send to go to random members.
    pub fn take_round(&mut self, now: Micros, members: &MemberTable) -> Option<GossipRound> {
        if self.pending.is_empty() {
            return None;
        }
        let mut direct: BTreeMap<Instance, DatagramBatch> = BTreeMap::new();
        let mut random = DatagramBatch::default();
        for key in self.prioritized() {
            let Some(entry) = self.entry(now, &key) else {
                self.pending.remove(&key);
                continue;
            };
            let Some(pending) = self.pending.get(&key) else { continue };
            let own_or_direct = key.instance == self.local || pending.direct;
            let mut placement = Placement::default();
            if own_or_direct {
                let contributors = self.counters.contributors(&key.counter);
                for contributor in contributors.filter(|instance| members.get_live(*instance).is_some()) {
                    let batch = direct.entry(contributor).or_default();
                    placement.record(batch.push(&entry, MAX_DIRECT_DATAGRAMS));
                }
            }
            let has_no_receiver = !placement.placed && !placement.rejected;
            if !own_or_direct || pending.is_new || has_no_receiver {
                placement.record(random.push(&entry, MAX_GOSSIP_DATAGRAMS));
            }
            // A contribution that did not fit everywhere stays pending with all of its remaining transmissions.
            if placement.is_complete() {
                self.use_up_transmission(&key);
            }
        }
        let addressed = direct
            .into_iter()
            .filter_map(|(instance, batch)| Some((members.get_live(instance)?.peer.address, batch)));
        Some(GossipRound { direct: addressed.collect(), random })
    }

    /// Pending contributions by priority: the local node's, then new ones, then others. Within each class the contributions
    /// with the most changes come first, so that counters in constant use don't wait for counters that were used once. The
    /// oldest come first among equals.
    fn prioritized(&self) -> Vec<ContributionKey> {
        let priority_class = |key: &ContributionKey, pending: &PendingUpdate| match key.instance == self.local
        {
            true => 0,
            false if pending.is_new => 1,
            false => 2,
        };
        let mut ranked: Vec<_> = self
            .pending
            .iter()
            .map(|(key, pending)| {
                let rarity = u32::MAX - pending.changes_since_sent;
                (priority_class(key, pending), rarity, pending.enqueued, key.clone())
            })
            .collect();
        if ranked.len() > MAX_CONSIDERED_ENTRIES {
            ranked.select_nth_unstable(MAX_CONSIDERED_ENTRIES);
            ranked.truncate(MAX_CONSIDERED_ENTRIES);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., key)| key).collect()
    }

    fn use_up_transmission(&mut self, key: &ContributionKey) {
        let Some(pending) = self.pending.get_mut(key) else { return };
        pending.remaining_transmissions = pending.remaining_transmissions.saturating_sub(1);
        pending.changes_since_sent = 0;
        if pending.remaining_transmissions == 0 {
            self.pending.remove(key);
        }
    }

    /// The wire format of a contribution, or `None` if its counter expires within a millisecond.
    fn entry(&self, now: Micros, key: &ContributionKey) -> Option<CounterEntry> {
        let contribution = self.counters.contribution(&key.counter, key.instance)?;
        let expires_in_ms = (self.counters.expires_in(now, &key.counter)? / MILLISECOND) as u32;
        (expires_in_ms > 0).then(|| CounterEntry {
            key: key.counter.to_string(),
            instance: key.instance,
            contribution,
            expires_in_ms,
        })
    }

    /// All contributions to all counters, for anti-entropy.
    pub fn entries(&self, now: Micros) -> Vec<CounterEntry> {
        let entries = self.counters.entries(now).map(|known| CounterEntry {
            key: known.key.to_string(),
            instance: known.instance,
            contribution: known.contribution,
            expires_in_ms: (known.expires_in / MILLISECOND) as u32,
        });
        entries.collect()
    }

    /// The totals of the counters, ordered by key, as many as fit into one stream message.
    pub fn totals(&self, now: Micros) -> Vec<CounterTotal> {
        let mut totals: Vec<CounterTotal> = Vec::new();
        for known in self.counters.entries(now) {
            if let Some(last) = totals.last_mut().filter(|last| *last.key == **known.key) {
                last.total += known.contribution.net();
                continue;
            }
            if totals.len() >= MAX_TOTALS {
                break;
            }
            totals.push(CounterTotal {
                key: known.key.to_string(),
                total: known.contribution.net(),
                expires_in_ms: (known.expires_in / MILLISECOND) as u32,
            });
        }
        totals
    }
}
