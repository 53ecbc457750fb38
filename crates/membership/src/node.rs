//! One node of the mesh. Its caller hands it packets that were believed, calls `tick` when `due` has come, and carries out
//! what `take` gives. Nothing it does takes longer than the members are many.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use fernscale_shared_counter::pn_counter::{Change, Instance, PnCounters, MAX_NAME_BYTES};
use fernscale_shared_counter::{Micros, MILLISECOND, SECOND};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::packet::{
    CounterEntry, CounterTotal, FullState, MemberState, MemberUpdate, Packet, PacketBody, Peer,
    MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES,
};
use crate::payload::{Channel, Payload, ReceivedPayload, SendError, MAX_DATAGRAM_PAYLOAD};
use crate::recent::{PartKey, RecentChanges};

/// Each period one member is probed. A gateway that is gone is known so to its prober within two of these, and to all
/// after the suspicion's time: half the time in which a front notices it, at the least.
const PROBE_PERIOD: Micros = 200 * MILLISECOND;
/// How long an answer may take until others are asked to ask: some times what a pause of a busy machine is.
const ACK_TIMEOUT: Micros = 80 * MILLISECOND;
/// Members that are asked to ask. Three miss a live one only if all its links are bad.
const INDIRECT_PROBES: usize = 3;
/// And in each period for one that is suspected.
const INDIRECT_PROBES_OF_SUSPECT: usize = 2;
/// Periods that a suspicion stands, for each doubling of the members: its refutation travels as far as it did.
const SUSPICION_PERIODS_PER_DOUBLING: u64 = 3;
const MIN_SUSPICION_PERIODS: u64 = 5;
/// What a suspicion's refutation takes to get here, at the least: the suspected one hears of it with somebody's next words.
const MIN_REFUTATION_TIME: Micros = PROBE_PERIOD * MIN_SUSPICION_PERIODS;
/// How often counts are told, while there is something to tell: fractions are judged within a period of a second.
const GOSSIP_INTERVAL: Micros = 50 * MILLISECOND;
/// Members that each telling goes to, and datagrams to each. What is left waits for the next.
const GOSSIP_FANOUT: usize = 3;
const MAX_GOSSIP_DATAGRAMS: usize = 3;
/// Datagrams to each who shares a count: a customer has few gateways, so that this does not grow with the fleet.
const MAX_DIRECT_DATAGRAMS: usize = 2;
/// Parts that are looked at for one telling: some times what finds room in it.
const MAX_CONSIDERED_ENTRIES: usize = 512;
/// Bytes that a part takes beside its name, at the most.
const ENTRY_OVERHEAD_BYTES: usize = 36;
/// How often each piece is told, for each doubling of the members. News must reach everybody with few exceptions, which
/// the full exchange mends.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;
/// How often a part that was known is told: by its owner to those who share the count, and on by them to some.
const OWN_CHANGE_TRANSMISSIONS: u32 = 2;
const FORWARDED_CHANGE_TRANSMISSIONS: u32 = 1;
/// And the part of somebody who can't tell it any more, by each who knows it to all who share the count: he may be the only one,
/// and a telling may be lost.
const ORPHAN_TRANSMISSIONS: u32 = 3;
/// How often a part that has been quiet for a while is told again.
const QUIET_TRANSMISSIONS: u32 = 1;
/// Members to whom a gateway that ends tells all that it knows, over streams: what it added last may be on datagrams that
/// are lost, and nobody could tell it again.
const LEAVE_EXCHANGES: usize = 2;
/// How often somebody who is gone, or a seed, is asked whether it is there: so partitions heal.
const RECONNECT_INTERVAL: Micros = SECOND;
/// How often all is compared with one member, over a stream: what datagrams lost for good is mended so.
const ANTI_ENTROPY_INTERVAL: Micros = 10 * SECOND;
/// How long the dead are kept: by then a partition has healed or the operators know of it.
const DEAD_MEMBER_RETENTION: Micros = 600 * SECOND;
/// Members, dead ones too: several times the largest fleet thought of. Beyond, no stranger is taken in.
pub const MAX_MEMBERS: usize = 4_096;
/// Names of counts that are kept, and parts that wait to be told.
const MAX_COUNTERS: usize = 65_536;
const MAX_PENDING_UPDATES: usize = 32_768;
/// Pings for others that are under way.
const MAX_FORWARDED_PINGS: usize = 256;
/// Sums that are told at once: each takes its name and less than twenty bytes.
const MAX_TOTALS: usize = MAX_STREAM_BYTES / (MAX_NAME_BYTES + 20);
/// Bytes of a datagram that its seal and head take; the rest is for what rides along.
const DATAGRAM_OVERHEAD_BYTES: usize = 220;

#[derive(Clone, Debug)]
pub struct Config {
    pub local: Peer,
    pub seeds: Vec<SocketAddr>,
}

/// What the caller is to do.
#[derive(Clone, Debug)]
pub enum Output {
    SendDatagram {
        to: SocketAddr,
        packet: Packet,
    },
    /// Exchange all with this address, over a stream.
    ExchangeState {
        to: SocketAddr,
    },
    /// Send this message over a stream.
    SendStream {
        to: SocketAddr,
        carried: Payload,
    },
    /// A message for others than the mesh has come.
    Received(ReceivedPayload),
    Event(Event),
}

/// What operators hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Joined(Peer),
    Suspected(Peer),
    /// It answered after all.
    Refuted(Peer),
    Died(Peer),
    Left(Peer),
    /// Two live gateways go by one name.
    DuplicateName(Peer, Peer),
}

#[derive(Clone, Debug)]
pub struct Member {
    pub peer: Peer,
    pub incarnation: u32,
    pub state: MemberState,
    /// When it came to that state.
    pub state_since: Micros,
    /// When anything of its own came.
    pub last_heard: Micros,
}

struct Probe {
    of: Instance,
    number: u64,
    indirect: bool,
    started_at: Micros,
}

/// A ping on another's behalf.
struct ForwardedPing {
    to: SocketAddr,
    number: u64,
    until: Micros,
}

/// A part that is to be told: how often it still is, how often it changed since it was told last, and since when.
#[derive(Clone, Copy)]
struct PendingUpdate {
    left: u32,
    changes: u32,
    order: u64,
    /// Nobody may have heard of it yet: everybody is to, once, so that those who share the count know of each other.
    fresh: bool,
    /// Another's part, which it can't tell those who share the count itself.
    direct: bool,
}

/// Parts for one address, in datagrams that are not too large.
#[derive(Clone, Default)]
struct DatagramBatch {
    all: Vec<Vec<CounterEntry>>,
    room: usize,
}

impl DatagramBatch {
    /// False where so many are full.
    fn push(&mut self, told: &CounterEntry, most: usize) -> bool {
        let size = told.key.len() + ENTRY_OVERHEAD_BYTES;
        if size > self.room {
            if self.all.len() == most {
                return false;
            }
            self.all.push(Vec::new());
            self.room = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES;
        }
        self.room -= size;
        if let Some(datagram) = self.all.last_mut() {
            datagram.push(told.clone());
        }
        true
    }
}

pub struct Node {
    local: Peer,
    incarnation: u32,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    members: BTreeMap<Instance, Member>,
    /// Members in the order in which they are probed; shuffled anew with each round.
    probe_order: Vec<Instance>,
    probe: Option<Probe>,
    forwarded_pings: BTreeMap<u64, ForwardedPing>,
    sequence_number: u64,
    /// Members of whom there is news, and how often it is still to be told.
    member_updates: BTreeMap<Instance, u32>,
    counters: PnCounters,
    counter_updates: BTreeMap<PartKey, PendingUpdate>,
    enqueued: u64,
    /// Changes whose tellings may have been lost.
    recent_changes: RecentChanges,
    next_probe: Micros,
    next_gossip: Micros,
    next_reconnect: Micros,
    next_anti_entropy: Micros,
    has_left: bool,
    outputs: VecDeque<Output>,
    /// Parts that could not be kept or told, as a bound was reached.
    pub dropped_updates: u64,
}

impl Node {
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Nodes that start together must not all speak in the same instants.
        let mut soon = |within: Micros| now + rng.gen_range(1..=within);
        let times =
            [soon(PROBE_PERIOD), soon(GOSSIP_INTERVAL), soon(MILLISECOND), soon(ANTI_ENTROPY_INTERVAL)];
        Node {
            local: config.local,
            incarnation: 1,
            seeds: config.seeds,
            rng,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            forwarded_pings: BTreeMap::new(),
            sequence_number: 0,
            member_updates: BTreeMap::new(),
            counters: PnCounters::new(MAX_COUNTERS),
            counter_updates: BTreeMap::new(),
            enqueued: 0,
            recent_changes: RecentChanges::default(),
            next_probe: times[0],
            next_gossip: times[1],
            next_reconnect: times[2],
            next_anti_entropy: times[3],
            has_left: false,
            outputs: VecDeque::new(),
            dropped_updates: 0,
        }
    }

    pub fn local(&self) -> &Peer {
        &self.local
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Others that are not taken for gone.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state <= MemberState::Suspect)
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        let answer =
            self.probe.as_ref().filter(|probe| !probe.indirect).map(|probe| probe.started_at + ACK_TIMEOUT);
        let all = [self.next_probe, self.next_gossip, self.next_reconnect, self.next_anti_entropy];
        all.into_iter().chain(answer).min().unwrap_or(self.next_probe)
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    // Counts.

    /// This gateway has added an amount to a count whose name lives so long.
    pub fn add_to_counter(&mut self, now: Micros, count: &str, amount: f64, life: Micros) {
        match self.counters.add(now, self.local.instance, count, amount, life) {
            Some(change) => {
                self.recent_changes.changed(now, (change.name.clone(), self.local.instance));
                self.queue_change(change, self.local.instance);
            }
            None => self.dropped_updates += 1,
        }
    }

    /// What all gateways have added, as far as it is known here.
    pub fn counter_total(&self, now: Micros, count: &str) -> Option<f64> {
        self.counters.total(now, count)
    }

    pub fn counters(&self) -> &PnCounters {
        &self.counters
    }

    /// The totals of all counts that live, in the order of their names; as many as go over a stream with certainty.
    pub fn counter_totals(&self, now: Micros) -> Vec<CounterTotal> {
        let mut sums: Vec<CounterTotal> = Vec::new();
        for (name, left, _, part) in self.counters.entries(now) {
            let room = sums.len() < MAX_TOTALS;
            match sums.last_mut() {
                Some(sum) if *sum.key == **name => sum.total += part.net(),
                _ if room => {
                    let left_ms = (left / MILLISECOND) as u32;
                    sums.push(CounterTotal {
                        key: name.to_string(),
                        total: part.net(),
                        expires_in_ms: left_ms,
                    });
                }
                _ => break,
            }
        }
        sums
    }

    fn queue_change(&mut self, Change { name, is_new: fresh }: Change, of: Instance) {
        // What changes all the time is told anew before it could be told often.
        let left = match (fresh, of == self.local.instance) {
            (true, _) => self.transmission_limit(),
            (false, true) => OWN_CHANGE_TRANSMISSIONS,
            (false, false) => FORWARDED_CHANGE_TRANSMISSIONS,
        };
        self.queue_update(Change { name, is_new: fresh }, of, left);
    }

    /// Tells a part so many times, and those that are still owed of it before.
    fn queue_update(&mut self, Change { name, is_new: fresh }: Change, of: Instance, left: u32) {
        self.enqueued += 1;
        let order = self.enqueued;
        if self.counter_updates.len() >= MAX_PENDING_UPDATES
            && !self.counter_updates.contains_key(&(name.clone(), of))
        {
            self.dropped_updates += 1;
            return;
        }
        let pending = self.counter_updates.entry((name, of)).or_insert(PendingUpdate {
            left,
            changes: 0,
            order,
            fresh,
            direct: false,
        });
        (pending.left, pending.changes) = (pending.left.max(left), pending.changes + 1);
    }

    /// How often a piece is told so that it reaches everybody with few exceptions.
    fn transmission_limit(&self) -> u32 {
        let all = self.members.len() as u32 + 2;
        (TRANSMISSIONS_PER_DOUBLING * (u32::BITS - all.leading_zeros())).div_ceil(GOSSIP_FANOUT as u32) + 1
    }

    fn merge_entries(&mut self, now: Micros, told: Vec<CounterEntry>) {
        for CounterEntry { key: count, instance: of, contribution: part, expires_in_ms: left_ms } in told {
            let life = Micros::from(left_ms) * MILLISECOND;
            if of == self.local.instance {
                // Nobody knows better what was added here.
                continue;
            }
            if let Some(change) = self.counters.merge(now, &count, of, part, life) {
                if change.is_new {
                    self.queue_orphans_for_newcomer(now, &change.name);
                }
                self.queue_change(change, of);
            }
        }
    }

    /// Somebody new adds to a count: it is to hear of the part of this gateway, which may not change any more, and of the
    /// parts of those who can't tell it themselves. Danger: whoever starts again would go by less than the total.
    fn queue_orphans_for_newcomer(&mut self, now: Micros, count: &Arc<str>) {
        let me = self.local.instance;
        if self.counters.contribution(count, me).is_none() {
            return;
        }
        let live =
            |of: &Instance| self.members.get(of).is_some_and(|member| member.state <= MemberState::Suspect);
        let silent: Vec<_> = self.counters.contributors(count).filter(|of| !live(of)).collect();
        for of in silent {
            self.queue_orphan(now, count.clone(), of);
        }
    }

    /// A part is told once to all who have one of that count, by whoever has one itself.
    fn queue_orphan(&mut self, now: Micros, name: Arc<str>, of: Instance) {
        let part = (name, of);
        self.queue_direct(&part, ORPHAN_TRANSMISSIONS);
        self.recent_changes.changed(now, part);
    }

    /// A part is told so many times to all who have one of that count.
    fn queue_direct(&mut self, part: &PartKey, times: u32) {
        self.queue_update(Change { name: part.0.clone(), is_new: false }, part.1, times);
        if let Some(pending) = self.counter_updates.get_mut(part) {
            pending.direct = true;
        }
    }

    /// What changed in a time in which a member may have heard nothing is told again to those who share a count with it.
    /// Danger: a part that does not change any more is else lost to it until all that is known is compared.
    fn resend_to_returned(&mut self, returned: Instance, from: Micros) {
        let shared = |part: &&PartKey| self.counters.contribution(&part.0, returned).is_some();
        let missed: Vec<PartKey> = self.recent_changes.since(from).filter(shared).cloned().collect();
        missed.iter().for_each(|part| self.queue_direct(part, OWN_CHANGE_TRANSMISSIONS));
    }

    /// The same where it is this one that others could not hear, whoever of them that was.
    fn resend_all_recent(&mut self, from: Micros) {
        let unheard: Vec<PartKey> = self.recent_changes.since(from).cloned().collect();
        unheard.iter().for_each(|part| self.queue_direct(part, OWN_CHANGE_TRANSMISSIONS));
    }

    // Time.

    pub fn handle_timeout(&mut self, now: Micros) {
        if self.has_left {
            (self.next_probe, self.next_gossip) = (Micros::MAX, Micros::MAX);
            (self.next_reconnect, self.next_anti_entropy, self.probe) = (Micros::MAX, Micros::MAX, None);
            return;
        }
        self.probe_indirectly(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.expire(now);
            self.probe_next(now);
            self.probe_suspects(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            for part in self.recent_changes.take_quiet(now) {
                self.queue_direct(&part, QUIET_TRANSMISSIONS);
            }
            self.gossip_counters(now);
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + RECONNECT_INTERVAL;
            self.reconnect(now);
        }
        if now >= self.next_anti_entropy {
            self.next_anti_entropy =
                now + ANTI_ENTROPY_INTERVAL / 2 + self.rng.gen_range(0..ANTI_ENTROPY_INTERVAL);
            let live = self.random_live_addresses(1, None);
            self.outputs.extend(live.into_iter().map(|to| Output::ExchangeState { to }));
        }
    }

    fn probe_indirectly(&mut self, now: Micros) {
        let Some(probe) =
            self.probe.as_mut().filter(|probe| !probe.indirect && now >= probe.started_at + ACK_TIMEOUT)
        else {
            return;
        };
        probe.indirect = true;
        let (of, number) = (probe.of, probe.number);
        let Some(peer) = self.members.get(&of).map(|member| member.peer.clone()) else { return };
        for to in self.random_live_addresses(INDIRECT_PROBES, Some(of)) {
            self.send(now, to, PacketBody::PingRequest(number, peer.clone()));
        }
    }

    /// Suspicions that nobody refuted, and members long gone.
    fn expire(&mut self, now: Micros) {
        if let Some(probe) = self.probe.take() {
            self.suspect(now, probe.of);
        }
        self.forwarded_pings.retain(|_, relayed| relayed.until > now);
        self.counters.remove_expired(now);
        self.recent_changes.sweep(now);
        let suspicion_timeout = self.suspicion_timeout();
        let gone: Vec<_> = self
            .members
            .values()
            .filter(|member| {
                member.state == MemberState::Suspect && now >= member.state_since + suspicion_timeout
            })
            .map(|member| (member.peer.clone(), member.incarnation))
            .collect();
        for (of, incarnation) in gone {
            self.apply_update(now, MemberUpdate { peer: of, incarnation, state: MemberState::Dead });
        }
        self.members.retain(|_, member| {
            member.state <= MemberState::Suspect || now < member.state_since + DEAD_MEMBER_RETENTION
        });
    }

    /// How long a suspicion stands before its member is taken for gone.
    fn suspicion_timeout(&self) -> Micros {
        let doublings = u64::from(u64::BITS - (self.members.len() as u64 + 1).leading_zeros());
        PROBE_PERIOD * (SUSPICION_PERIODS_PER_DOUBLING * doublings).max(MIN_SUSPICION_PERIODS)
    }

    /// How long before a member came to its state it may have heard nothing, or nobody have heard it: nobody notices at once.
    fn detection_delay(&self) -> Micros {
        self.suspicion_timeout() + MIN_REFUTATION_TIME
    }

    fn suspect(&mut self, now: Micros, of: Instance) {
        let Some(member) = self.members.get(&of).filter(|member| member.state == MemberState::Alive) else {
            return;
        };
        let (of, incarnation) = (member.peer.clone(), member.incarnation);
        self.apply_update(now, MemberUpdate { peer: of, incarnation, state: MemberState::Suspect });
    }

    fn probe_next(&mut self, now: Micros) {
        for _ in 0..=self.members.len() {
            if self.probe_order.is_empty() {
                self.probe_order = self.live_members().map(|member| member.peer.instance).collect();
                self.probe_order.shuffle(&mut self.rng);
            }
            let Some(of) = self.probe_order.pop() else { return };
            let live = self.members.get(&of).filter(|member| member.state <= MemberState::Suspect);
            let Some(to) = live.map(|member| member.peer.address) else { continue };
            let number = self.next_sequence_number();
            self.probe = Some(Probe { of, number, indirect: false, started_at: now });
            return self.send(now, to, PacketBody::Ping(number));
        }
    }

    /// Whoever is suspected is asked itself, and so told that it is. Danger: its refutation goes round by others' words, and
    /// where some of those are lost one may miss it, and take a live gateway for gone. Some others are asked to ask as well,
    /// each time others: of a parted fleet perhaps only one sees both sides.
    fn probe_suspects(&mut self, now: Micros) {
        let suspects = self.members.values().filter(|member| member.state == MemberState::Suspect);
        let suspects: Vec<_> = suspects.map(|member| member.peer.clone()).collect();
        let some: Vec<_> = suspects.choose_multiple(&mut self.rng, INDIRECT_PROBES).cloned().collect();
        for peer in some {
            let number = self.next_sequence_number();
            self.send(now, peer.address, PacketBody::Ping(number));
            for to in self.random_live_addresses(INDIRECT_PROBES_OF_SUSPECT, Some(peer.instance)) {
                self.send(now, to, PacketBody::PingRequest(number, peer.clone()));
            }
        }
    }

    fn next_sequence_number(&mut self) -> u64 {
        self.sequence_number += 1;
        self.sequence_number
    }

    /// Asks somebody who is gone, or a seed that is no member, whether it is there.
    fn reconnect(&mut self, now: Micros) {
        let known: Vec<SocketAddr> = self.live_members().map(|member| member.peer.address).collect();
        let gone = self
            .members
            .values()
            .filter(|member| member.state == MemberState::Dead)
            .map(|member| member.peer.address);
        let mut others: Vec<SocketAddr> = gone.chain(self.seeds.iter().copied()).collect();
        others.retain(|address| *address != self.local.address && !known.contains(address));
        others.sort();
        others.dedup();
        if known.is_empty() {
            // Alone: every seed is asked, as the first may be down.
            for to in others {
                let number = self.next_sequence_number();
                self.send(now, to, PacketBody::Ping(number));
            }
        } else if let Some(to) = others.choose(&mut self.rng).copied() {
            let number = self.next_sequence_number();
            self.send(now, to, PacketBody::Ping(number));
        }
    }

    fn random_live_addresses(&mut self, count: usize, but: Option<Instance>) -> Vec<SocketAddr> {
        let others = self
            .members
            .values()
            .filter(|member| member.state <= MemberState::Suspect && Some(member.peer.instance) != but);
        let live: Vec<_> = others.map(|member| member.peer.address).collect();
        live.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// Tells what changed: own parts to those who add to the same count, new ones to some whom it may concern, and
    /// with the room that is left what others told.
    fn gossip_counters(&mut self, now: Micros) {
        if self.counter_updates.is_empty() {
            return;
        }
        let me = self.local.instance;
        let priority =
            |pending: &PendingUpdate, of: Instance| if of == me { 0 } else { 2 - pending.fresh as u32 };
        let of_dirty = |(key, pending): (&(Arc<str>, Instance), &PendingUpdate)| {
            (priority(pending, key.1), u32::MAX - pending.changes, pending.order, key.clone())
        };
        let mut all: Vec<_> = self.counter_updates.iter().map(of_dirty).collect();
        // What one customer asked once waits for what many ask all the time; among equals, the oldest first. Of very many
        // only so many are put in order as may find room.
        if all.len() > MAX_CONSIDERED_ENTRIES {
            all.select_nth_unstable(MAX_CONSIDERED_ENTRIES);
            all.truncate(MAX_CONSIDERED_ENTRIES);
        }
        all.sort_unstable();
        let live: BTreeMap<Instance, SocketAddr> =
            self.live_members().map(|member| (member.peer.instance, member.peer.address)).collect();
        let mut direct: BTreeMap<Instance, DatagramBatch> = BTreeMap::new();
        let mut some = DatagramBatch::default();
        for (.., key) in all {
            let Some(told) = self.told(now, &key) else {
                self.counter_updates.remove(&key);
                continue;
            };
            let Some(pending) = self.counter_updates.get(&key).copied() else { continue };
            let (mut out, mut full) = (false, false);
            if key.1 == me || pending.direct {
                let sharing: Vec<_> =
                    self.counters.contributors(&key.0).filter(|of| live.contains_key(of)).collect();
                for of in sharing {
                    let sent = direct.entry(of).or_default().push(&told, MAX_DIRECT_DATAGRAMS);
                    (out, full) = (out | sent, full | !sent);
                }
            }
            if key.1 != me && !pending.direct || pending.fresh || !out && !full {
                let sent = some.push(&told, MAX_GOSSIP_DATAGRAMS);
                (out, full) = (out | sent, full | !sent);
            }
            // What had no room for all it is for stays as it was, and comes first the next time.
            if let Some(pending) = self.counter_updates.get_mut(&key).filter(|_| out && !full) {
                (pending.left, pending.changes) = (pending.left.saturating_sub(1), 0);
                if pending.left == 0 {
                    self.counter_updates.remove(&key);
                }
            }
        }
        for (of, datagrams) in direct {
            let Some(to) = live.get(&of).copied() else { continue };
            self.send_counts(to, datagrams);
        }
        for to in self.random_live_addresses(GOSSIP_FANOUT, None) {
            self.send_counts(to, some.clone());
        }
    }

    fn send_counts(&mut self, to: SocketAddr, datagrams: DatagramBatch) {
        for counts in datagrams.all {
            let packet = self.packet(PacketBody::Empty, Vec::new(), counts);
            self.outputs.push_back(Output::SendDatagram { to, packet });
        }
    }

    fn told(&self, now: Micros, (name, of): &(Arc<str>, Instance)) -> Option<CounterEntry> {
        let (part, left) = (self.counters.contribution(name, *of)?, self.counters.expires_in(now, name)?);
        let left_ms = (left / MILLISECOND) as u32;
        (left_ms > 0).then(|| CounterEntry {
            key: name.to_string(),
            instance: *of,
            contribution: part,
            expires_in_ms: left_ms,
        })
    }

    fn packet(&self, word: PacketBody, news: Vec<MemberUpdate>, counts: Vec<CounterEntry>) -> Packet {
        Packet {
            sender: self.local.clone(),
            incarnation: self.incarnation,
            body: word,
            updates: news,
            counters: counts,
        }
    }

    /// Sends a word, with the news that was told least.
    fn send(&mut self, now: Micros, to: SocketAddr, word: PacketBody) {
        let mut room = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES;
        let mut least: Vec<_> = self.member_updates.iter().map(|(of, left)| (*left, *of)).collect();
        least.sort_unstable_by(|one, other| other.cmp(one));
        let mut news = Vec::new();
        for (_, of) in least {
            let Some(member) = self.members.get(&of) else {
                self.member_updates.remove(&of);
                continue;
            };
            let size = member.peer.name.len() + 48;
            if size > room {
                break;
            }
            room -= size;
            news.push(MemberUpdate {
                peer: member.peer.clone(),
                incarnation: member.incarnation,
                state: member.state,
            });
            if let Some(left) = self.member_updates.get_mut(&of) {
                *left -= 1;
                if *left == 0 {
                    self.member_updates.remove(&of);
                }
            }
        }
        // To whoever is suspected it is said so, whatever else there is: only it can refute that. And to whoever is to ask it.
        let meant = |member: &&Member| match &word {
            PacketBody::PingRequest(_, peer) => member.peer.instance == peer.instance,
            _ => member.peer.address == to,
        };
        let about = self.members.values().filter(meant).find(|member| member.state != MemberState::Alive);
        if let Some(member) = about.filter(|member| !news.iter().any(|own| own.peer == member.peer)) {
            let (of, state) = (member.peer.clone(), member.state);
            news.push(MemberUpdate { peer: of, incarnation: member.incarnation, state });
        }
        let _ = now;
        let packet = self.packet(word, news, Vec::new());
        self.outputs.push_back(Output::SendDatagram { to, packet });
    }

    // What comes.

    /// A packet that was believed has come from an address.
    pub fn handle_packet(&mut self, now: Micros, from: SocketAddr, packet: Packet) {
        let Packet { sender, incarnation, body: word, updates: news, counters: counts } = packet;
        if sender.instance == self.local.instance || self.has_left {
            return;
        }
        let stranger = !self.members.contains_key(&sender.instance);
        self.apply_update(now, MemberUpdate { peer: sender.clone(), incarnation, state: MemberState::Alive });
        if let Some(member) = self.members.get_mut(&sender.instance) {
            member.last_heard = now;
        }
        if stranger && self.members.contains_key(&sender.instance) {
            // It may know much that was never told here.
            self.outputs.push_back(Output::ExchangeState { to: sender.address });
        }
        news.into_iter().for_each(|news| self.apply_gossip(now, news));
        self.merge_entries(now, counts);
        match word {
            PacketBody::Ping(number) => self.send(now, from, PacketBody::Ack(number)),
            PacketBody::Ack(number) => self.handle_ack(now, &sender, number),
            PacketBody::PingRequest(number, peer) => {
                if self.forwarded_pings.len() < MAX_FORWARDED_PINGS {
                    let own = self.next_sequence_number();
                    self.forwarded_pings
                        .insert(own, ForwardedPing { to: from, number, until: now + PROBE_PERIOD });
                    self.send(now, peer.address, PacketBody::Ping(own));
                }
            }
            PacketBody::Empty => {}
            PacketBody::Payload(carried) => self.receive_payload(sender, carried),
        }
    }

    // For others.

    /// A message for the live gateway of this name: if several go by it, the one heard last.
    pub fn send_to(&mut self, name: &str, kind: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let named = self.live_members().filter(|member| member.peer.name == name);
        let to = named.max_by_key(|member| member.last_heard).map(|member| member.peer.address);
        self.send_payload(to, kind, body)
    }

    /// A message for one run of a gateway and no other.
    pub fn send_to_instance(&mut self, run: Instance, kind: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let member = self.members.get(&run).filter(|member| member.state <= MemberState::Suspect);
        let to = member.map(|member| member.peer.address);
        self.send_payload(to, kind, body)
    }

    fn send_payload(
        &mut self,
        to: Option<SocketAddr>,
        kind: Channel,
        body: Vec<u8>,
    ) -> Result<(), SendError> {
        if self.has_left {
            return Err(SendError::NodeLeft);
        }
        let to = to.ok_or(SendError::UnknownGateway)?;
        if body.len() > kind.max_bytes() {
            return Err(SendError::TooLong);
        }
        let carried = Payload { channel: kind, body };
        self.outputs.push_back(if carried.body.len() <= MAX_DATAGRAM_PAYLOAD {
            Output::SendDatagram {
                to,
                packet: self.packet(PacketBody::Payload(carried), Vec::new(), Vec::new()),
            }
        } else {
            Output::SendStream { to, carried }
        });
        Ok(())
    }

    /// A message that came over a stream, from a sender that was believed.
    pub fn handle_payload(&mut self, now: Micros, from: Peer, carried: Payload) {
        if from.instance == self.local.instance || self.has_left {
            return;
        }
        if let Some(member) = self.members.get_mut(&from.instance) {
            member.last_heard = now;
        }
        self.receive_payload(from, carried);
    }

    fn receive_payload(&mut self, from: Peer, Payload { channel: kind, body }: Payload) {
        if body.len() <= kind.max_bytes() {
            self.outputs.push_back(Output::Received(ReceivedPayload { sender: from, channel: kind, body }));
        }
    }

    fn handle_ack(&mut self, now: Micros, sender: &Peer, number: u64) {
        if let Some(relayed) = self.forwarded_pings.remove(&number) {
            // Told on in its own name: whoever asked must know which instance it was that answered.
            let mut packet = self.packet(PacketBody::Ack(relayed.number), Vec::new(), Vec::new());
            packet.updates.push(MemberUpdate {
                peer: sender.clone(),
                incarnation: self.incarnation_of(sender),
                state: MemberState::Alive,
            });
            self.outputs.push_back(Output::SendDatagram { to: relayed.to, packet });
            return;
        }
        let Some(probe) = self.probe.take_if(|probe| probe.number == number) else { return };
        let probed = self.members.get(&probe.of);
        let Some(member) = probed.filter(|member| member.peer.address == sender.address) else { return };
        if member.peer.instance != sender.instance {
            // Another run answers at its address: the one that was asked has ended.
            let (of, incarnation) = (member.peer.clone(), member.incarnation);
            self.apply_update(now, MemberUpdate { peer: of, incarnation, state: MemberState::Dead });
        }
    }

    fn incarnation_of(&self, peer: &Peer) -> u32 {
        self.members.get(&peer.instance).map_or(0, |member| member.incarnation)
    }

    /// What others say of a member: that it is gone is taken for a suspicion until that has stood here for a while. Danger:
    /// who can be heard by nobody takes all others for gone, and once it is heard again all would believe it.
    fn apply_gossip(&mut self, now: Micros, mut news: MemberUpdate) {
        let known = self.members.get(&news.peer.instance);
        let doubted = known.is_some_and(|known| match known.state {
            MemberState::Alive => true,
            MemberState::Suspect => now < known.state_since + MIN_REFUTATION_TIME,
            MemberState::Dead | MemberState::Left => false,
        });
        if news.state == MemberState::Dead && doubted && news.peer.instance != self.local.instance {
            news.state = MemberState::Suspect;
        }
        self.apply_update(now, news);
    }

    /// Takes in what is so of a member, if it is newer than what is known.
    fn apply_update(&mut self, now: Micros, news: MemberUpdate) {
        let MemberUpdate { peer: of, incarnation, state } = news;
        if of.instance == self.local.instance {
            if state != MemberState::Alive && incarnation >= self.incarnation && !self.has_left {
                // I am here. Danger: a partition or a pause would else have it gone for good.
                self.incarnation = incarnation.saturating_add(1);
                self.resend_all_recent(now.saturating_sub(self.detection_delay()));
                let alive = MemberUpdate {
                    peer: self.local.clone(),
                    incarnation: self.incarnation,
                    state: MemberState::Alive,
                };
                for to in self.random_live_addresses(GOSSIP_FANOUT, None) {
                    let packet = self.packet(PacketBody::Empty, vec![alive.clone()], Vec::new());
                    self.outputs.push_back(Output::SendDatagram { to, packet });
                }
            }
            return;
        }
        let Some(known) = self.members.get(&of.instance) else {
            if state <= MemberState::Suspect && self.members.len() < MAX_MEMBERS {
                self.add_member(now, of, incarnation, state);
            }
            return;
        };
        let newer = match (known.state, state) {
            (MemberState::Left, _) => false,
            // The later incarnation holds, and within one the worse: only the member itself can raise it.
            _ => (incarnation, state) > (known.incarnation, known.state),
        };
        if !newer {
            return;
        }
        let (was, unheard) = (known.state, known.state_since.saturating_sub(self.detection_delay()));
        let member =
            Member { peer: of.clone(), incarnation, state, state_since: now, last_heard: known.last_heard };
        self.members.insert(of.instance, member);
        let left = self.transmission_limit();
        self.member_updates.insert(of.instance, left);
        if was == MemberState::Dead {
            // It comes back, as when a partition heals: both sides know what the other was not told.
            self.outputs.push_back(Output::ExchangeState { to: of.address });
        }
        if was > MemberState::Alive && state == MemberState::Alive {
            self.resend_to_returned(of.instance, unheard);
        }
        if state > MemberState::Suspect {
            self.queue_contributions_of(now, of.instance);
        }
        let event = match (was, state) {
            (MemberState::Dead, MemberState::Alive | MemberState::Suspect) => Some(Event::Joined(of)),
            (MemberState::Suspect, MemberState::Alive) => Some(Event::Refuted(of)),
            (MemberState::Alive, MemberState::Suspect) => Some(Event::Suspected(of)),
            (MemberState::Alive | MemberState::Suspect, MemberState::Dead) => Some(Event::Died(of)),
            (_, MemberState::Left) => Some(Event::Left(of)),
            _ => None,
        };
        self.outputs.extend(event.map(Output::Event));
    }

    /// Whoever is gone can tell nothing any more: those who share a count with it tell each other what they know of its part.
    fn queue_contributions_of(&mut self, now: Micros, gone: Instance) {
        let me = self.local.instance;
        let names: Vec<_> = self.counters.names_of_instance(gone).collect();
        for name in names {
            if self.counters.contribution(&name, me).is_some() {
                self.queue_orphan(now, name, gone);
            }
        }
    }

    fn add_member(&mut self, now: Micros, of: Peer, incarnation: u32, state: MemberState) {
        let same_name = self
            .live_members()
            .find(|member| member.peer.name == of.name && member.peer.address != of.address);
        if let Some(other) = same_name.map(|member| member.peer.clone()).or_else(|| {
            (of.name == self.local.name && of.address != self.local.address).then(|| self.local.clone())
        }) {
            self.outputs.push_back(Output::Event(Event::DuplicateName(other, of.clone())));
        }
        // An earlier run at the same address has ended, or this one could not listen there.
        let earlier: Vec<_> =
            self.live_members().filter(|member| member.peer.address == of.address).cloned().collect();
        self.members.insert(
            of.instance,
            Member { peer: of.clone(), incarnation, state, state_since: now, last_heard: now },
        );
        let left = self.transmission_limit();
        self.member_updates.insert(of.instance, left);
        self.outputs.push_back(Output::Event(Event::Joined(of)));
        for Member { peer, incarnation, .. } in earlier {
            self.apply_update(now, MemberUpdate { peer, incarnation, state: MemberState::Dead });
        }
    }

    // All at once.

    /// All that is known here, for an exchange over a stream.
    pub fn full_state(&self, now: Micros) -> FullState {
        let members = self.members.values().filter(|member| member.state != MemberState::Left);
        let news = members.map(|member| MemberUpdate {
            peer: member.peer.clone(),
            incarnation: member.incarnation,
            state: member.state,
        });
        let counts = self.counters.entries(now).map(|(name, left, of, part)| CounterEntry {
            key: name.to_string(),
            instance: of,
            contribution: part,
            expires_in_ms: (left / MILLISECOND) as u32,
        });
        FullState {
            sender: self.local.clone(),
            incarnation: self.incarnation,
            updates: news.collect(),
            counters: counts.collect(),
        }
    }

    /// Another's all has come.
    pub fn handle_full_state(&mut self, now: Micros, full: FullState) {
        let FullState { sender: from, incarnation, updates: news, counters: counts } = full;
        if from.instance == self.local.instance || self.has_left {
            return;
        }
        self.apply_update(now, MemberUpdate { peer: from, incarnation, state: MemberState::Alive });
        news.into_iter().for_each(|news| self.apply_gossip(now, news));
        self.merge_entries(now, counts);
    }

    /// This gateway ends: some are told, two of them all that it knows, and nothing more is said.
    pub fn leave(&mut self, now: Micros) {
        self.gossip_counters(now);
        let left = MemberUpdate {
            peer: self.local.clone(),
            incarnation: self.incarnation,
            state: MemberState::Left,
        };
        for to in self.random_live_addresses(2 * GOSSIP_FANOUT, None) {
            let packet = self.packet(PacketBody::Empty, vec![left.clone()], Vec::new());
            self.outputs.push_back(Output::SendDatagram { to, packet });
        }
        let heirs = self.random_live_addresses(LEAVE_EXCHANGES, None);
        self.outputs.extend(heirs.into_iter().map(|to| Output::ExchangeState { to }));
        self.has_left = true;
    }
}
