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
const PERIOD: Micros = 200 * MILLISECOND;
/// How long an answer may take until others are asked to ask: some times what a pause of a busy machine is.
const ANSWER: Micros = 80 * MILLISECOND;
/// Members that are asked to ask. Three miss a live one only if all its links are bad.
const ASKED: usize = 3;
/// And in each period for one that is suspected.
const ASKED_OF_SUSPECTS: usize = 2;
/// Periods that a suspicion stands, for each doubling of the members: its refutation travels as far as it did.
const SUSPICION: u64 = 3;
const LEAST_SUSPICION: u64 = 5;
/// What a suspicion's refutation takes to get here, at the least: the suspected one hears of it with somebody's next words.
const REFUTED: Micros = PERIOD * LEAST_SUSPICION;
/// How often counts are told, while there is something to tell: fractions are judged within a period of a second.
const SPREAD: Micros = 50 * MILLISECOND;
/// Members that each telling goes to, and datagrams to each. What is left waits for the next.
const FANOUT: usize = 3;
const MOST_DATAGRAMS: usize = 3;
/// Datagrams to each who shares a count: a customer has few gateways, so that this does not grow with the fleet.
const MOST_DIRECT: usize = 2;
/// Parts that are looked at for one telling: some times what finds room in it.
const CONSIDERED: usize = 512;
/// Bytes that a part takes beside its name, at the most.
const PART: usize = 36;
/// How often each piece is told, for each doubling of the members. News must reach everybody with few exceptions, which
/// the full exchange mends.
const TELLINGS: u32 = 2;
/// How often a part that was known is told: by its owner to those who share the count, and on by them to some.
const CHANGED: u32 = 2;
const RELAYED: u32 = 1;
/// And the part of somebody who can't tell it any more, by each who knows it to all who share the count: he may be the only one,
/// and a telling may be lost.
const LEFT_BEHIND: u32 = 3;
/// How often a part that has been quiet for a while is told again.
const REPEATED: u32 = 1;
/// Members to whom a gateway that ends tells all that it knows, over streams: what it added last may be on datagrams that
/// are lost, and nobody could tell it again.
const HEIRS: usize = 2;
/// How often somebody who is gone, or a seed, is asked whether it is there: so partitions heal.
const REACH: Micros = SECOND;
/// How often all is compared with one member, over a stream: what datagrams lost for good is mended so.
const COMPARE: Micros = 10 * SECOND;
/// How long the dead are kept: by then a partition has healed or the operators know of it.
const REMEMBERED: Micros = 600 * SECOND;
/// Members, dead ones too: several times the largest fleet thought of. Beyond, no stranger is taken in.
pub const MAX_MEMBERS: usize = 4_096;
/// Names of counts that are kept, and parts that wait to be told.
const MOST_COUNTS: usize = 65_536;
const MOST_DIRTY: usize = 32_768;
/// Pings for others that are under way.
const MOST_RELAYED: usize = 256;
/// Sums that are told at once: each takes its name and less than twenty bytes.
const MOST_SUMS: usize = MAX_STREAM_BYTES / (MAX_NAME_BYTES + 20);
/// Bytes of a datagram that its seal and head take; the rest is for what rides along.
const HEAD: usize = 220;

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
    asked_others: bool,
    began: Micros,
}

/// A ping on another's behalf.
struct Relayed {
    to: SocketAddr,
    number: u64,
    until: Micros,
}

/// A part that is to be told: how often it still is, how often it changed since it was told last, and since when.
#[derive(Clone, Copy)]
struct Dirty {
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
struct Datagrams {
    all: Vec<Vec<CounterEntry>>,
    room: usize,
}

impl Datagrams {
    /// False where so many are full.
    fn push(&mut self, told: &CounterEntry, most: usize) -> bool {
        let size = told.key.len() + PART;
        if size > self.room {
            if self.all.len() == most {
                return false;
            }
            self.all.push(Vec::new());
            self.room = MAX_DATAGRAM_BYTES - HEAD;
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
    chance: ChaCha8Rng,
    members: BTreeMap<Instance, Member>,
    /// Members in the order in which they are probed; shuffled anew with each round.
    round: Vec<Instance>,
    probe: Option<Probe>,
    relayed: BTreeMap<u64, Relayed>,
    next_number: u64,
    /// Members of whom there is news, and how often it is still to be told.
    news: BTreeMap<Instance, u32>,
    counters: PnCounters,
    dirty: BTreeMap<PartKey, Dirty>,
    orders: u64,
    /// Changes whose tellings may have been lost.
    recent: RecentChanges,
    next_period: Micros,
    next_spread: Micros,
    next_reach: Micros,
    next_compare: Micros,
    leaving: bool,
    out: VecDeque<Output>,
    /// Parts that could not be kept or told, as a bound was reached.
    pub rejected_packets: u64,
}

impl Node {
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        // Nodes that start together must not all speak in the same instants.
        let mut soon = |within: Micros| now + chance.gen_range(1..=within);
        let times = [soon(PERIOD), soon(SPREAD), soon(MILLISECOND), soon(COMPARE)];
        Node {
            local: config.local,
            incarnation: 1,
            seeds: config.seeds,
            chance,
            members: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            relayed: BTreeMap::new(),
            next_number: 0,
            news: BTreeMap::new(),
            counters: PnCounters::new(MOST_COUNTS),
            dirty: BTreeMap::new(),
            orders: 0,
            recent: RecentChanges::default(),
            next_period: times[0],
            next_spread: times[1],
            next_reach: times[2],
            next_compare: times[3],
            leaving: false,
            out: VecDeque::new(),
            rejected_packets: 0,
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
            self.probe.as_ref().filter(|probe| !probe.asked_others).map(|probe| probe.began + ANSWER);
        let all = [self.next_period, self.next_spread, self.next_reach, self.next_compare];
        all.into_iter().chain(answer).min().unwrap_or(self.next_period)
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    // Counts.

    /// This gateway has added an amount to a count whose name lives so long.
    pub fn add_to_counter(&mut self, now: Micros, count: &str, amount: f64, life: Micros) {
        match self.counters.add(now, self.local.instance, count, amount, life) {
            Some(change) => {
                self.recent.changed(now, (change.name.clone(), self.local.instance));
                self.tell(change, self.local.instance);
            }
            None => self.rejected_packets += 1,
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
            let room = sums.len() < MOST_SUMS;
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

    fn tell(&mut self, Change { name, is_new: fresh }: Change, of: Instance) {
        // What changes all the time is told anew before it could be told often.
        let left = match (fresh, of == self.local.instance) {
            (true, _) => self.tellings(),
            (false, true) => CHANGED,
            (false, false) => RELAYED,
        };
        self.tell_times(Change { name, is_new: fresh }, of, left);
    }

    /// Tells a part so many times, and those that are still owed of it before.
    fn tell_times(&mut self, Change { name, is_new: fresh }: Change, of: Instance, left: u32) {
        self.orders += 1;
        let order = self.orders;
        if self.dirty.len() >= MOST_DIRTY && !self.dirty.contains_key(&(name.clone(), of)) {
            self.rejected_packets += 1;
            return;
        }
        let dirty =
            self.dirty.entry((name, of)).or_insert(Dirty { left, changes: 0, order, fresh, direct: false });
        (dirty.left, dirty.changes) = (dirty.left.max(left), dirty.changes + 1);
    }

    /// How often a piece is told so that it reaches everybody with few exceptions.
    fn tellings(&self) -> u32 {
        let all = self.members.len() as u32 + 2;
        (TELLINGS * (u32::BITS - all.leading_zeros())).div_ceil(FANOUT as u32) + 1
    }

    fn hear(&mut self, now: Micros, told: Vec<CounterEntry>) {
        for CounterEntry { key: count, instance: of, contribution: part, expires_in_ms: left_ms } in told {
            let life = Micros::from(left_ms) * MILLISECOND;
            if of == self.local.instance {
                // Nobody knows better what was added here.
                continue;
            }
            if let Some(change) = self.counters.merge(now, &count, of, part, life) {
                if change.is_new {
                    self.tell_newcomer(now, &change.name);
                }
                self.tell(change, of);
            }
        }
    }

    /// Somebody new adds to a count: it is to hear of the part of this gateway, which may not change any more, and of the
    /// parts of those who can't tell it themselves. Danger: whoever starts again would go by less than the total.
    fn tell_newcomer(&mut self, now: Micros, count: &Arc<str>) {
        let me = self.local.instance;
        if self.counters.contribution(count, me).is_none() {
            return;
        }
        let live =
            |of: &Instance| self.members.get(of).is_some_and(|member| member.state <= MemberState::Suspect);
        let silent: Vec<_> = self.counters.contributors(count).filter(|of| !live(of)).collect();
        for of in silent {
            self.tell_holders(now, count.clone(), of);
        }
    }

    /// A part is told once to all who have one of that count, by whoever has one itself.
    fn tell_holders(&mut self, now: Micros, name: Arc<str>, of: Instance) {
        let part = (name, of);
        self.tell_directly(&part, LEFT_BEHIND);
        self.recent.changed(now, part);
    }

    /// A part is told so many times to all who have one of that count.
    fn tell_directly(&mut self, part: &PartKey, times: u32) {
        self.tell_times(Change { name: part.0.clone(), is_new: false }, part.1, times);
        if let Some(dirty) = self.dirty.get_mut(part) {
            dirty.direct = true;
        }
    }

    /// What changed in a time in which a member may have heard nothing is told again to those who share a count with it.
    /// Danger: a part that does not change any more is else lost to it until all that is known is compared.
    fn tell_returned(&mut self, returned: Instance, from: Micros) {
        let shared = |part: &&PartKey| self.counters.contribution(&part.0, returned).is_some();
        let missed: Vec<PartKey> = self.recent.since(from).filter(shared).cloned().collect();
        missed.iter().for_each(|part| self.tell_directly(part, CHANGED));
    }

    /// The same where it is this one that others could not hear, whoever of them that was.
    fn tell_all_recent(&mut self, from: Micros) {
        let unheard: Vec<PartKey> = self.recent.since(from).cloned().collect();
        unheard.iter().for_each(|part| self.tell_directly(part, CHANGED));
    }

    // Time.

    pub fn handle_timeout(&mut self, now: Micros) {
        if self.leaving {
            (self.next_period, self.next_spread) = (Micros::MAX, Micros::MAX);
            (self.next_reach, self.next_compare, self.probe) = (Micros::MAX, Micros::MAX, None);
            return;
        }
        self.unanswered(now);
        if now >= self.next_period {
            self.next_period = now + PERIOD;
            self.age(now);
            self.probe_next(now);
            self.ask_suspects(now);
        }
        if now >= self.next_spread {
            self.next_spread = now + SPREAD;
            for part in self.recent.take_quiet(now) {
                self.tell_directly(&part, REPEATED);
            }
            self.spread(now);
        }
        if now >= self.next_reach {
            self.next_reach = now + REACH;
            self.reach(now);
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE / 2 + self.chance.gen_range(0..COMPARE);
            let live = self.some_live(1, None);
            self.out.extend(live.into_iter().map(|to| Output::ExchangeState { to }));
        }
    }

    fn unanswered(&mut self, now: Micros) {
        let Some(probe) =
            self.probe.as_mut().filter(|probe| !probe.asked_others && now >= probe.began + ANSWER)
        else {
            return;
        };
        probe.asked_others = true;
        let (of, number) = (probe.of, probe.number);
        let Some(peer) = self.members.get(&of).map(|member| member.peer.clone()) else { return };
        for to in self.some_live(ASKED, Some(of)) {
            self.send(now, to, PacketBody::PingRequest(number, peer.clone()));
        }
    }

    /// Suspicions that nobody refuted, and members long gone.
    fn age(&mut self, now: Micros) {
        if let Some(probe) = self.probe.take() {
            self.suspect(now, probe.of);
        }
        self.relayed.retain(|_, relayed| relayed.until > now);
        self.counters.remove_expired(now);
        self.recent.sweep(now);
        let patience = self.patience();
        let gone: Vec<_> = self
            .members
            .values()
            .filter(|member| member.state == MemberState::Suspect && now >= member.state_since + patience)
            .map(|member| (member.peer.clone(), member.incarnation))
            .collect();
        for (of, incarnation) in gone {
            self.learn(now, MemberUpdate { peer: of, incarnation, state: MemberState::Dead });
        }
        self.members.retain(|_, member| {
            member.state <= MemberState::Suspect || now < member.state_since + REMEMBERED
        });
    }

    /// How long a suspicion stands before its member is taken for gone.
    fn patience(&self) -> Micros {
        let doublings = u64::from(u64::BITS - (self.members.len() as u64 + 1).leading_zeros());
        PERIOD * (SUSPICION * doublings).max(LEAST_SUSPICION)
    }

    /// How long before a member came to its state it may have heard nothing, or nobody have heard it: nobody notices at once.
    fn unnoticed(&self) -> Micros {
        self.patience() + REFUTED
    }

    fn suspect(&mut self, now: Micros, of: Instance) {
        let Some(member) = self.members.get(&of).filter(|member| member.state == MemberState::Alive) else {
            return;
        };
        let (of, incarnation) = (member.peer.clone(), member.incarnation);
        self.learn(now, MemberUpdate { peer: of, incarnation, state: MemberState::Suspect });
    }

    fn probe_next(&mut self, now: Micros) {
        for _ in 0..=self.members.len() {
            if self.round.is_empty() {
                self.round = self.live_members().map(|member| member.peer.instance).collect();
                self.round.shuffle(&mut self.chance);
            }
            let Some(of) = self.round.pop() else { return };
            let live = self.members.get(&of).filter(|member| member.state <= MemberState::Suspect);
            let Some(to) = live.map(|member| member.peer.address) else { continue };
            let number = self.number();
            self.probe = Some(Probe { of, number, asked_others: false, began: now });
            return self.send(now, to, PacketBody::Ping(number));
        }
    }

    /// Whoever is suspected is asked itself, and so told that it is. Danger: its refutation goes round by others' words, and
    /// where some of those are lost one may miss it, and take a live gateway for gone. Some others are asked to ask as well,
    /// each time others: of a parted fleet perhaps only one sees both sides.
    fn ask_suspects(&mut self, now: Micros) {
        let suspects = self.members.values().filter(|member| member.state == MemberState::Suspect);
        let suspects: Vec<_> = suspects.map(|member| member.peer.clone()).collect();
        let some: Vec<_> = suspects.choose_multiple(&mut self.chance, ASKED).cloned().collect();
        for peer in some {
            let number = self.number();
            self.send(now, peer.address, PacketBody::Ping(number));
            for to in self.some_live(ASKED_OF_SUSPECTS, Some(peer.instance)) {
                self.send(now, to, PacketBody::PingRequest(number, peer.clone()));
            }
        }
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Asks somebody who is gone, or a seed that is no member, whether it is there.
    fn reach(&mut self, now: Micros) {
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
                let number = self.number();
                self.send(now, to, PacketBody::Ping(number));
            }
        } else if let Some(to) = others.choose(&mut self.chance).copied() {
            let number = self.number();
            self.send(now, to, PacketBody::Ping(number));
        }
    }

    fn some_live(&mut self, count: usize, but: Option<Instance>) -> Vec<SocketAddr> {
        let others = self
            .members
            .values()
            .filter(|member| member.state <= MemberState::Suspect && Some(member.peer.instance) != but);
        let live: Vec<_> = others.map(|member| member.peer.address).collect();
        live.choose_multiple(&mut self.chance, count).copied().collect()
    }

    /// Tells what changed: own parts to those who add to the same count, new ones to some whom it may concern, and
    /// with the room that is left what others told.
    fn spread(&mut self, now: Micros) {
        if self.dirty.is_empty() {
            return;
        }
        let me = self.local.instance;
        let class = |dirty: &Dirty, of: Instance| if of == me { 0 } else { 2 - dirty.fresh as u32 };
        let of_dirty = |(key, dirty): (&(Arc<str>, Instance), &Dirty)| {
            (class(dirty, key.1), u32::MAX - dirty.changes, dirty.order, key.clone())
        };
        let mut all: Vec<_> = self.dirty.iter().map(of_dirty).collect();
        // What one customer asked once waits for what many ask all the time; among equals, the oldest first. Of very many
        // only so many are put in order as may find room.
        if all.len() > CONSIDERED {
            all.select_nth_unstable(CONSIDERED);
            all.truncate(CONSIDERED);
        }
        all.sort_unstable();
        let live: BTreeMap<Instance, SocketAddr> =
            self.live_members().map(|member| (member.peer.instance, member.peer.address)).collect();
        let mut direct: BTreeMap<Instance, Datagrams> = BTreeMap::new();
        let mut some = Datagrams::default();
        for (.., key) in all {
            let Some(told) = self.told(now, &key) else {
                self.dirty.remove(&key);
                continue;
            };
            let Some(dirty) = self.dirty.get(&key).copied() else { continue };
            let (mut out, mut full) = (false, false);
            if key.1 == me || dirty.direct {
                let sharing: Vec<_> =
                    self.counters.contributors(&key.0).filter(|of| live.contains_key(of)).collect();
                for of in sharing {
                    let sent = direct.entry(of).or_default().push(&told, MOST_DIRECT);
                    (out, full) = (out | sent, full | !sent);
                }
            }
            if key.1 != me && !dirty.direct || dirty.fresh || !out && !full {
                let sent = some.push(&told, MOST_DATAGRAMS);
                (out, full) = (out | sent, full | !sent);
            }
            // What had no room for all it is for stays as it was, and comes first the next time.
            if let Some(dirty) = self.dirty.get_mut(&key).filter(|_| out && !full) {
                (dirty.left, dirty.changes) = (dirty.left.saturating_sub(1), 0);
                if dirty.left == 0 {
                    self.dirty.remove(&key);
                }
            }
        }
        for (of, datagrams) in direct {
            let Some(to) = live.get(&of).copied() else { continue };
            self.send_counts(to, datagrams);
        }
        for to in self.some_live(FANOUT, None) {
            self.send_counts(to, some.clone());
        }
    }

    fn send_counts(&mut self, to: SocketAddr, datagrams: Datagrams) {
        for counts in datagrams.all {
            let packet = self.packet(PacketBody::Empty, Vec::new(), counts);
            self.out.push_back(Output::SendDatagram { to, packet });
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
        let mut room = MAX_DATAGRAM_BYTES - HEAD;
        let mut least: Vec<_> = self.news.iter().map(|(of, left)| (*left, *of)).collect();
        least.sort_unstable_by(|one, other| other.cmp(one));
        let mut news = Vec::new();
        for (_, of) in least {
            let Some(member) = self.members.get(&of) else {
                self.news.remove(&of);
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
            if let Some(left) = self.news.get_mut(&of) {
                *left -= 1;
                if *left == 0 {
                    self.news.remove(&of);
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
        self.out.push_back(Output::SendDatagram { to, packet });
    }

    // What comes.

    /// A packet that was believed has come from an address.
    pub fn handle_packet(&mut self, now: Micros, from: SocketAddr, packet: Packet) {
        let Packet { sender, incarnation, body: word, updates: news, counters: counts } = packet;
        if sender.instance == self.local.instance || self.leaving {
            return;
        }
        let stranger = !self.members.contains_key(&sender.instance);
        self.learn(now, MemberUpdate { peer: sender.clone(), incarnation, state: MemberState::Alive });
        if let Some(member) = self.members.get_mut(&sender.instance) {
            member.last_heard = now;
        }
        if stranger && self.members.contains_key(&sender.instance) {
            // It may know much that was never told here.
            self.out.push_back(Output::ExchangeState { to: sender.address });
        }
        news.into_iter().for_each(|news| self.told_of(now, news));
        self.hear(now, counts);
        match word {
            PacketBody::Ping(number) => self.send(now, from, PacketBody::Ack(number)),
            PacketBody::Ack(number) => self.answered(now, &sender, number),
            PacketBody::PingRequest(number, peer) => {
                if self.relayed.len() < MOST_RELAYED {
                    let own = self.number();
                    self.relayed.insert(own, Relayed { to: from, number, until: now + PERIOD });
                    self.send(now, peer.address, PacketBody::Ping(own));
                }
            }
            PacketBody::Empty => {}
            PacketBody::Payload(carried) => self.came(sender, carried),
        }
    }

    // For others.

    /// A message for the live gateway of this name: if several go by it, the one heard last.
    pub fn send_to(&mut self, name: &str, kind: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let named = self.live_members().filter(|member| member.peer.name == name);
        let to = named.max_by_key(|member| member.last_heard).map(|member| member.peer.address);
        self.carry(to, kind, body)
    }

    /// A message for one run of a gateway and no other.
    pub fn send_to_instance(&mut self, run: Instance, kind: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let member = self.members.get(&run).filter(|member| member.state <= MemberState::Suspect);
        let to = member.map(|member| member.peer.address);
        self.carry(to, kind, body)
    }

    fn carry(&mut self, to: Option<SocketAddr>, kind: Channel, body: Vec<u8>) -> Result<(), SendError> {
        if self.leaving {
            return Err(SendError::NodeLeft);
        }
        let to = to.ok_or(SendError::UnknownGateway)?;
        if body.len() > kind.max_bytes() {
            return Err(SendError::TooLong);
        }
        let carried = Payload { channel: kind, body };
        self.out.push_back(if carried.body.len() <= MAX_DATAGRAM_PAYLOAD {
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
        if from.instance == self.local.instance || self.leaving {
            return;
        }
        if let Some(member) = self.members.get_mut(&from.instance) {
            member.last_heard = now;
        }
        self.came(from, carried);
    }

    fn came(&mut self, from: Peer, Payload { channel: kind, body }: Payload) {
        if body.len() <= kind.max_bytes() {
            self.out.push_back(Output::Received(ReceivedPayload { sender: from, channel: kind, body }));
        }
    }

    fn answered(&mut self, now: Micros, sender: &Peer, number: u64) {
        if let Some(relayed) = self.relayed.remove(&number) {
            // Told on in its own name: whoever asked must know which instance it was that answered.
            let mut packet = self.packet(PacketBody::Ack(relayed.number), Vec::new(), Vec::new());
            packet.updates.push(MemberUpdate {
                peer: sender.clone(),
                incarnation: self.incarnation_of(sender),
                state: MemberState::Alive,
            });
            self.out.push_back(Output::SendDatagram { to: relayed.to, packet });
            return;
        }
        let Some(probe) = self.probe.take_if(|probe| probe.number == number) else { return };
        let probed = self.members.get(&probe.of);
        let Some(member) = probed.filter(|member| member.peer.address == sender.address) else { return };
        if member.peer.instance != sender.instance {
            // Another run answers at its address: the one that was asked has ended.
            let (of, incarnation) = (member.peer.clone(), member.incarnation);
            self.learn(now, MemberUpdate { peer: of, incarnation, state: MemberState::Dead });
        }
    }

    fn incarnation_of(&self, peer: &Peer) -> u32 {
        self.members.get(&peer.instance).map_or(0, |member| member.incarnation)
    }

    /// What others say of a member: that it is gone is taken for a suspicion until that has stood here for a while. Danger:
    /// who can be heard by nobody takes all others for gone, and once it is heard again all would believe it.
    fn told_of(&mut self, now: Micros, mut news: MemberUpdate) {
        let known = self.members.get(&news.peer.instance);
        let doubted = known.is_some_and(|known| match known.state {
            MemberState::Alive => true,
            MemberState::Suspect => now < known.state_since + REFUTED,
            MemberState::Dead | MemberState::Left => false,
        });
        if news.state == MemberState::Dead && doubted && news.peer.instance != self.local.instance {
            news.state = MemberState::Suspect;
        }
        self.learn(now, news);
    }

    /// Takes in what is so of a member, if it is newer than what is known.
    fn learn(&mut self, now: Micros, news: MemberUpdate) {
        let MemberUpdate { peer: of, incarnation, state } = news;
        if of.instance == self.local.instance {
            if state != MemberState::Alive && incarnation >= self.incarnation && !self.leaving {
                // I am here. Danger: a partition or a pause would else have it gone for good.
                self.incarnation = incarnation.saturating_add(1);
                self.tell_all_recent(now.saturating_sub(self.unnoticed()));
                let alive = MemberUpdate {
                    peer: self.local.clone(),
                    incarnation: self.incarnation,
                    state: MemberState::Alive,
                };
                for to in self.some_live(FANOUT, None) {
                    let packet = self.packet(PacketBody::Empty, vec![alive.clone()], Vec::new());
                    self.out.push_back(Output::SendDatagram { to, packet });
                }
            }
            return;
        }
        let Some(known) = self.members.get(&of.instance) else {
            if state <= MemberState::Suspect && self.members.len() < MAX_MEMBERS {
                self.take_in(now, of, incarnation, state);
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
        let (was, unheard) = (known.state, known.state_since.saturating_sub(self.unnoticed()));
        let member =
            Member { peer: of.clone(), incarnation, state, state_since: now, last_heard: known.last_heard };
        self.members.insert(of.instance, member);
        let left = self.tellings();
        self.news.insert(of.instance, left);
        if was == MemberState::Dead {
            // It comes back, as when a partition heals: both sides know what the other was not told.
            self.out.push_back(Output::ExchangeState { to: of.address });
        }
        if was > MemberState::Alive && state == MemberState::Alive {
            self.tell_returned(of.instance, unheard);
        }
        if state > MemberState::Suspect {
            self.tell_for(now, of.instance);
        }
        let event = match (was, state) {
            (MemberState::Dead, MemberState::Alive | MemberState::Suspect) => Some(Event::Joined(of)),
            (MemberState::Suspect, MemberState::Alive) => Some(Event::Refuted(of)),
            (MemberState::Alive, MemberState::Suspect) => Some(Event::Suspected(of)),
            (MemberState::Alive | MemberState::Suspect, MemberState::Dead) => Some(Event::Died(of)),
            (_, MemberState::Left) => Some(Event::Left(of)),
            _ => None,
        };
        self.out.extend(event.map(Output::Event));
    }

    /// Whoever is gone can tell nothing any more: those who share a count with it tell each other what they know of its part.
    fn tell_for(&mut self, now: Micros, gone: Instance) {
        let me = self.local.instance;
        let names: Vec<_> = self.counters.names_of_instance(gone).collect();
        for name in names {
            if self.counters.contribution(&name, me).is_some() {
                self.tell_holders(now, name, gone);
            }
        }
    }

    fn take_in(&mut self, now: Micros, of: Peer, incarnation: u32, state: MemberState) {
        let same_name = self
            .live_members()
            .find(|member| member.peer.name == of.name && member.peer.address != of.address);
        if let Some(other) = same_name.map(|member| member.peer.clone()).or_else(|| {
            (of.name == self.local.name && of.address != self.local.address).then(|| self.local.clone())
        }) {
            self.out.push_back(Output::Event(Event::DuplicateName(other, of.clone())));
        }
        // An earlier run at the same address has ended, or this one could not listen there.
        let earlier: Vec<_> =
            self.live_members().filter(|member| member.peer.address == of.address).cloned().collect();
        self.members.insert(
            of.instance,
            Member { peer: of.clone(), incarnation, state, state_since: now, last_heard: now },
        );
        let left = self.tellings();
        self.news.insert(of.instance, left);
        self.out.push_back(Output::Event(Event::Joined(of)));
        for Member { peer, incarnation, .. } in earlier {
            self.learn(now, MemberUpdate { peer, incarnation, state: MemberState::Dead });
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
        if from.instance == self.local.instance || self.leaving {
            return;
        }
        self.learn(now, MemberUpdate { peer: from, incarnation, state: MemberState::Alive });
        news.into_iter().for_each(|news| self.told_of(now, news));
        self.hear(now, counts);
    }

    /// This gateway ends: some are told, two of them all that it knows, and nothing more is said.
    pub fn leave(&mut self, now: Micros) {
        self.spread(now);
        let left = MemberUpdate {
            peer: self.local.clone(),
            incarnation: self.incarnation,
            state: MemberState::Left,
        };
        for to in self.some_live(2 * FANOUT, None) {
            let packet = self.packet(PacketBody::Empty, vec![left.clone()], Vec::new());
            self.out.push_back(Output::SendDatagram { to, packet });
        }
        let heirs = self.some_live(HEIRS, None);
        self.out.extend(heirs.into_iter().map(|to| Output::ExchangeState { to }));
        self.leaving = true;
    }
}
