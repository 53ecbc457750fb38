//! Dissemination of shared counters: which contributions are still to be sent, to whom and how often, and their division into
//! datagrams. The counters' values are merged in `PnCounters`; sockets and addresses are the node's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fernscale_shared_counter::pn_counter::{Change, Instance, PnCounters, MAX_KEY_BYTES};
use fernscale_shared_counter::{Micros, MILLISECOND};

use super::datagram_batch::{BatchFull, DatagramBatch};
use super::members::MemberTable;
use crate::packet::{CounterEntry, CounterTotal, MAX_STREAM_BYTES};
use crate::recent_changes::{ContributionKey, RecentChanges};

/// Datagrams to each random member in one round of gossip. What finds no room waits for the next round.
const MAX_GOSSIP_DATAGRAMS: usize = 3;
/// Datagrams to each contributor of a counter in one round. A tenant has few gateways, so this does not grow with the fleet.
const MAX_DIRECT_DATAGRAMS: usize = 2;
/// Pending contributions that are sorted for one round: some times as many as fit into it.
const MAX_CONSIDERED_ENTRIES: usize = 512;
/// Transmissions of a contribution that was known before: of the local node's, and of another's.
const OWN_CHANGE_TRANSMISSIONS: u32 = 2;
const FORWARDED_CHANGE_TRANSMISSIONS: u32 = 1;
/// Transmissions of a dead node's contribution by each that knows it: it may be the only one, and datagrams get lost.
const ORPHAN_TRANSMISSIONS: u32 = 3;
/// Transmissions of a contribution that has stopped changing.
const QUIET_TRANSMISSIONS: u32 = 1;
/// Counters that are known. At the bound a new one is not counted here.
const MAX_COUNTERS: usize = 65_536;
/// Contributions that wait to be sent. At the bound a further one is dropped, and anti-entropy brings it.
const MAX_PENDING_UPDATES: usize = 32_768;
/// Totals in one message over a stream: each takes its key and less than twenty bytes.
const MAX_TOTALS: usize = MAX_STREAM_BYTES / (MAX_KEY_BYTES + 20);

/// A contribution that is to be sent.
#[derive(Clone, Copy)]
struct PendingUpdate {
    remaining_transmissions: u32,
    changes_since_sent: u32,
    /// The older goes first.
    enqueued: u64,
    /// Perhaps no node knows of it: all are to learn of it once, so that the contributors of a counter know each other.
    is_new: bool,
    /// Another node's, which goes straight to the counter's contributors as that node can't send it itself.
    direct: bool,
}

/// What one round of gossip sends.
pub(super) struct GossipRound {
    /// To contributors of the same counters, in the order of their instances.
    pub direct: Vec<(SocketAddr, DatagramBatch)>,
    /// To some random members.
    pub random: DatagramBatch,
}

/// Whether a contribution got into the datagrams that it is for.
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

    /// The local node adds to a counter.
    pub fn add(&mut self, now: Micros, key: &str, amount: f64, lifetime: Micros, members: &MemberTable) {
        let Some(change) = self.counters.add(now, self.local, key, amount, lifetime) else {
            self.dropped_updates += 1;
            return;
        };
        let contribution = ContributionKey { counter: change.key.clone(), instance: self.local };
        self.recent_changes.record(now, contribution);
        self.enqueue_change(change, self.local, members);
    }

    /// Merges contributions that another node sent, and passes on those that were news.
    pub fn merge(&mut self, now: Micros, entries: Vec<CounterEntry>, members: &MemberTable) {
        for entry in entries {
            if entry.instance == self.local {
                // The local contribution is known best here.
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

    /// Sends a contribution at least so many times from now on.
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

    /// Sends a contribution so many times to all contributors of its counter.
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

    /// A counter has a new contributor, which is to learn of the contributions whose nodes are gone.
    ///
    /// Danger: without them a restarted gateway would go by less than the total.
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

    /// A node is gone and can send nothing any more: the contributors of its counters send each other what they know of it.
    pub fn enqueue_contributions_of(&mut self, now: Micros, gone: Instance) {
        let counters: Vec<Arc<str>> = self.counters.keys_of_instance(gone).collect();
        for counter in counters {
            if self.counters.contribution(&counter, self.local).is_some() {
                self.enqueue_orphan(now, ContributionKey { counter, instance: gone });
            }
        }
    }

    /// Sends again what changed while a member may have received nothing, in the counters that it contributes to.
    ///
    /// Danger: a contribution that no longer changes would else be missing there until anti-entropy.
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

    /// Sends again all that changed while others may have received nothing from this node.
    pub fn resend_all(&mut self, since: Micros) {
        let missed: Vec<ContributionKey> = self.recent_changes.since(since).cloned().collect();
        for key in missed {
            self.enqueue_direct(key, OWN_CHANGE_TRANSMISSIONS);
        }
    }

    /// Sends once more what has stopped changing.
    pub fn enqueue_quiet(&mut self, now: Micros) {
        for key in self.recent_changes.take_quiet(now) {
            self.enqueue_direct(key, QUIET_TRANSMISSIONS);
        }
    }

    /// Takes what the next round of gossip sends, or nothing where no contribution is pending.
    ///
    /// Contributions go straight to the contributors of the same counter; new ones, and those of other live nodes, go to
    /// random members.
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
            let has_no_contributor = !placement.placed && !placement.rejected;
            if !own_or_direct || pending.is_new || has_no_contributor {
                placement.record(random.push(&entry, MAX_GOSSIP_DATAGRAMS));
            }
            // What did not fit everywhere stays as it was, and comes first in the next round.
            if placement.is_complete() {
                self.use_up_transmission(&key);
            }
        }
        let addressed = direct
            .into_iter()
            .filter_map(|(instance, batch)| Some((members.get_live(instance)?.peer.address, batch)));
        Some(GossipRound { direct: addressed.collect(), random })
    }

    /// Pending contributions in the order in which they find room: own ones, new ones, others; in each class those that
    /// change most, so that counters in constant use don't wait for counters that were used once; then the oldest.
    fn prioritized(&self) -> Vec<ContributionKey> {
        let class = |key: &ContributionKey, pending: &PendingUpdate| match key.instance == self.local {
            true => 0,
            false if pending.is_new => 1,
            false => 2,
        };
        let mut ranked: Vec<_> = self
            .pending
            .iter()
            .map(|(key, pending)| {
                let rarity = u32::MAX - pending.changes_since_sent;
                (class(key, pending), rarity, pending.enqueued, key.clone())
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

    /// A contribution as it goes over the wire, unless its counter expires within a millisecond.
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

    /// The totals of the first counters by key, as many as fit into one message over a stream.
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
