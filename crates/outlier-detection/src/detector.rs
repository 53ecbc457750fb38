//! One gateway's part: what it has met, what it says, what it makes of others' words, and which servers it leaves out of use.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{evaluate, BelievedReport, Evidence};
use crate::observation::{AttemptEnd, Observation, UsualTimes};
use crate::status::{OutlierView, ServerStatus, ServerView};
use crate::trial_permit;
use crate::{chance, drawn, HealthLevel, Message, Micros, ServerReport, MILLISECOND, SECOND};
use fernscale_shared_counter::gossip::{Gossip, GossipConfig, LivePeer};

/// Words go out fast, as each tenth of a second is some trips hurt at a bad server; with at most some ten words for each server
/// of a large list that somebody speaks of.
const MANNER: GossipConfig = GossipConfig {
    interval: 100 * MILLISECOND,
    full_sync_interval: 20 * SECOND,
    reports_per_message: 10,
    messages_per_peer: 2,
    max_reports: 16_384,
    retention: 30 * SECOND,
};
/// The share of the capacity that may be out of use by choice. Danger: gateways that eject half of the servers fell the rest.
pub const MAX_EJECTED_SHARE: f64 = 0.25;
/// So soon after the first word against it nothing is done about a server: whoever knows better is heard first.
const CONTEST: Micros = 500 * MILLISECOND;
/// Those who know better that are to speak, of all who do: more say no more.
const SPEAKERS: f64 = 8.0;
/// The least time between two words of one gateway about one server.
const SPACED: Micros = 200 * MILLISECOND;
/// How long whoever has spoken need not speak again, while nothing has changed.
const SPOKEN: Micros = 3 * SECOND;
/// What was said of a server until so long after it was left is no word of how it is since; and one of which nobody says anything
/// for so long is used again, as nobody can try it.
const OVER: Micros = SECOND;
const FORGOTTEN: Micros = 15 * SECOND;
/// The least time out of use, doubled with each time that a server was bad again soon, up to eight times; and how soon that is.
/// Danger: one that is good and bad by turns is left and taken by all with each of them.
const LEAST_OUT: Micros = 2 * SECOND;
const MOST_DOUBLED: u32 = 3;
const SOON_AGAIN: Micros = 30 * SECOND;
/// Those who come back to a server come at drawn times within this.
const RETURN: Micros = 2 * SECOND;
/// Servers whose sights are kept.
const MOST_SIGHTS: usize = 16_384;

/// A server of the list, as it is now.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub name: String,
    pub weight: f64,
    /// By its name; empty, nobody says.
    pub zone: String,
    pub started: u64,
}

/// Who this gateway is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalGateway {
    pub name: String,
    pub instance: u64,
    pub zone: String,
}

/// How a trip to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered after so long.
    Answered(Micros),
    /// Answered with so much that its time says nothing.
    Forwarded,
    /// Lost, or failed. Not one that was turned away: where all have too much to do, none is bad.
    Failed,
}

#[derive(Clone, Debug, Default)]
struct Own {
    sight: Observation,
    started: u64,
    /// What was said last, and when.
    said: Option<(HealthLevel, Micros)>,
}

#[derive(Clone, Debug)]
struct Out {
    since: Micros,
    standing: ServerStatus,
    /// From when on it may be used again, once it is well.
    back: Option<Micros>,
}

/// How often a server was bad again soon, and when it came back last.
#[derive(Clone, Copy, Debug, Default)]
struct Before {
    times: u32,
    back: Micros,
}

pub struct OutlierDetector {
    me: LocalGateway,
    rumour: Gossip<ServerReport>,
    version: u32,
    usual: UsualTimes,
    own: BTreeMap<String, Own>,
    /// When each word was heard first.
    heard: BTreeMap<(String, u64), Micros>,
    /// Since when somebody speaks against a server.
    accused: BTreeMap<String, Micros>,
    out: BTreeMap<String, Out>,
    spared: BTreeSet<String>,
    before: BTreeMap<String, Before>,
    /// The turn in which this gateway has tried a server, and which it may try now.
    tried: BTreeMap<String, u64>,
    tries: BTreeSet<String>,
    barred: BTreeSet<String>,
    servers: Vec<Server>,
    zones: BTreeMap<u64, String>,
    live: Vec<LivePeer>,
    /// Gateways that use a server, in the mean.
    observers: f64,
}

/// What is to change for one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    pub server: String,
    /// No trip is to go there.
    pub ejected: bool,
}

impl OutlierDetector {
    pub fn new(me: LocalGateway, seed: u64, now: Micros) -> Self {
        OutlierDetector {
            rumour: Gossip::new(me.instance, MANNER, seed, now),
            me,
            version: 0,
            usual: UsualTimes::default(),
            own: BTreeMap::new(),
            heard: BTreeMap::new(),
            accused: BTreeMap::new(),
            out: BTreeMap::new(),
            spared: BTreeSet::new(),
            before: BTreeMap::new(),
            tried: BTreeMap::new(),
            tries: BTreeSet::new(),
            barred: BTreeSet::new(),
            servers: Vec::new(),
            zones: BTreeMap::new(),
            live: Vec::new(),
            observers: 1.0,
        }
    }

    /// A trip to a server has ended. What says nothing of the server, as a trip that was given up for another reason, is not told
    /// here.
    pub fn attempt_completed(&mut self, now: Micros, server: &str, lane: usize, met: AttemptResult) {
        let end = match met {
            AttemptResult::Answered(took) => AttemptEnd::Answered { times: self.usual.slowdown(lane, took) },
            AttemptResult::Forwarded => AttemptEnd::Answered { times: 1.0 },
            AttemptResult::Failed => AttemptEnd::Failed,
        };
        if self.own.len() >= MOST_SIGHTS && !self.own.contains_key(server) {
            return;
        }
        let out = self.out.contains_key(server);
        let own = self.own.entry(server.into()).or_default();
        if out && self.tried.contains_key(server) {
            // What a try shows goes before what was met there earlier.
            own.sight = Observation::default();
            own.said = None;
        }
        own.sight.record(now, end);
        self.look_at_own(now, server, self.speaks(now, server));
    }

    /// A trip goes to a server. True: it was this gateway's turn to try it, which is over with that.
    pub fn may_forward(&mut self, shared: Micros, server: &str) -> bool {
        let tries = self.tries.remove(server);
        if tries {
            self.tried.insert(server.into(), trial_permit::current_interval(shared).1);
            self.barred.insert(server.into());
        }
        tries
    }

    /// A note has come from the gateway of a name.
    pub fn handle_message(&mut self, now: Micros, from: &str, note: Message, observers: f64) {
        let new = self.rumour.handle_message(now, from, note);
        self.observers = observers.max(1.0);
        for key in new {
            if self.rumour.report(&key).is_some_and(|word| word.health.is_outlier()) {
                self.accuse(now, &key.0);
            }
            self.heard.insert(key, now);
        }
    }

    /// Somebody speaks against a server. What was met there before says nothing for it: all who know better speak by what they
    /// meet from now on.
    fn accuse(&mut self, now: Micros, server: &str) {
        if self.accused.contains_key(server) {
            return;
        }
        self.accused.insert(server.into(), now);
        if let Some(own) = self.own.get_mut(server).filter(|own| own.said.is_none()) {
            own.sight = Observation::default();
        }
    }

    /// For how many this gateway speaks where it knows better, if it is among the few who do; others each time.
    fn speaks(&self, now: Micros, server: &str) -> Option<u16> {
        let share = (SPEAKERS / self.observers).min(1.0);
        let drawn = self.accused.contains_key(server) && chance(&self.me.name, server, now / SPOKEN) < share;
        drawn.then_some((1.0 / share) as u16)
    }

    /// Says how a server does here, if that has changed; or, asked to speak for so many, if it was not said of late.
    fn look_at_own(&mut self, now: Micros, server: &str, asked: Option<u16>) {
        let Some(own) = self.own.get_mut(server) else { return };
        let Some(level) = own.sight.health(now) else { return };
        let said = own.said.filter(|(_, at)| now < at + SPOKEN);
        // One that is good and bad from one trip to the next is not spoken of with each.
        if said.is_some_and(|(_, at)| now < at + SPACED) {
            return;
        }
        let changed = match said {
            None => level.is_outlier() || asked.is_some(),
            Some((said, _)) => {
                // What rests on more is said again, as it weighs more.
                said.is_outlier() != level.is_outlier()
                    || level.is_outlier() && level.samples > said.samples && said.samples < 2
            }
        };
        let of_try = self.tried.contains_key(server) && self.out.contains_key(server) && own.said.is_none();
        if !changed && !of_try {
            return;
        }
        own.said = Some((level, now));
        if level.is_outlier() && !self.accused.contains_key(server) {
            self.accused.insert(server.into(), now);
        }
        let started = own.started;
        self.version += 1;
        let word = ServerReport {
            instance: self.me.instance,
            server: server.into(),
            started_at: started,
            version: self.version,
            zone: self.me.zone.clone(),
            health: level,
            represents: if level.is_outlier() { 1 } else { asked.unwrap_or(1).max(1) },
        };
        self.heard.insert((server.into(), self.me.instance), now);
        self.rumour.publish(now, word);
        self.rumour.schedule_round(now);
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.rumour.next_deadline()
    }

    /// The next note that is to be sent, and to whom.
    pub fn poll_message(&mut self) -> Option<(String, Message)> {
        self.rumour.poll_message()
    }

    /// Looks at everything anew. `live`: the others that the mesh takes for live; `shared`: the time of the clock that all share.
    /// What is to change for the module.
    pub fn handle_timeout(
        &mut self,
        now: Micros,
        shared: Micros,
        live: &[LivePeer],
        servers: Vec<Server>,
    ) -> Vec<EjectionChange> {
        self.live = live.to_vec();
        self.rumour.handle_timeout(now, live);
        for server in &servers {
            let own = self.own.entry(server.name.clone()).or_default();
            if own.started != server.started {
                // It begins anew, and so does what is thought of it.
                *own = Own { started: server.started, ..Own::default() };
                self.out.remove(&server.name);
                self.before.remove(&server.name);
            }
        }
        self.servers = servers;
        let there: BTreeSet<&str> = self.servers.iter().map(|server| &*server.name).collect();
        self.own.retain(|name, _| there.contains(&**name));
        self.out.retain(|name, _| there.contains(&**name));
        self.before.retain(|name, before| there.contains(&**name) && now < before.back + SOON_AGAIN);
        self.judge(now);
        self.try_some(now, shared);
        let barred: BTreeSet<String> =
            self.out.keys().filter(|name| !self.tries.contains(*name)).cloned().collect();
        let changes = barred.symmetric_difference(&self.barred);
        let changes = changes
            .map(|server| EjectionChange { server: server.clone(), ejected: barred.contains(server) })
            .collect();
        self.barred = barred;
        changes
    }

    /// What speaks against servers and for them, by the words that count now: of live runs, about servers as they started last.
    /// `near`: of the own zone's gateways alone.
    fn cases(&self, now: Micros, near: bool) -> BTreeMap<String, Evidence> {
        let live: BTreeSet<u64> =
            self.live.iter().map(|live| live.instance).chain([self.me.instance]).collect();
        let started: BTreeMap<&str, u64> =
            self.servers.iter().map(|server| (&*server.name, server.started)).collect();
        let counts = |word: &&ServerReport| {
            live.contains(&word.instance)
                && (!near || word.zone == self.me.zone)
                && started.get(&*word.server).is_some_and(|own| word.started_at >= *own)
        };
        let mut words: Vec<BelievedReport> = Vec::new();
        for word in self.rumour.reports().filter(counts) {
            let at = self.heard.get(&rumour_key(word)).copied().unwrap_or(0);
            let age = now.saturating_sub(at);
            // Of one that was left only counts what was met since.
            if self.out.get(&word.server).is_some_and(|out| at < out.since + OVER) {
                continue;
            }
            let (run, zone, level) = (word.instance, &*word.zone, word.health);
            // Nobody speaks for more than there are.
            let for_all = f64::from(word.represents).min((self.live.len() as f64 + 1.0) / SPEAKERS).max(1.0);
            words.push(BelievedReport {
                instance: run,
                server: &word.server,
                zone,
                health: level,
                for_all,
                age,
            });
        }
        evaluate(&words).into_iter().map(|(server, case)| (server.to_string(), case)).collect()
    }

    fn judge(&mut self, now: Micros) {
        self.zones = self.rumour.reports().map(|word| (word.instance, word.zone.clone())).collect();
        let (for_all, for_zone) = (self.cases(now, false), self.cases(now, true));
        let alone = self.me.zone.is_empty();
        // Who is bad, and how surely; worst first.
        let mut bad: Vec<(f64, u64, String, ServerStatus)> = Vec::new();
        for server in &self.servers {
            let contested = self.accused.get(&server.name).is_some_and(|since| now < since + CONTEST);
            let (all, zone) = (for_all.get(&server.name), for_zone.get(&server.name).filter(|_| !alone));
            let was_out = self.out.contains_key(&server.name);
            let is_bad =
                |case: &&Evidence| if was_out { !case.is_healthy() } else { case.is_outlier() && !contested };
            if let Some(known) = self.out.get(&server.name).filter(|_| all.is_none()) {
                // Nothing has been said since: it stays as it is for a while.
                if now < known.since + FORGOTTEN {
                    bad.push((1.0, drawn(&server.name, "", 0), server.name.clone(), known.standing));
                    continue;
                }
            }
            let apart = |case: &&Evidence| alone || was_out || case.is_known_apart();
            let found = all.filter(is_bad).filter(apart).map(|case| (case, ServerStatus::EjectedForAll));
            let found =
                found.or_else(|| zone.filter(is_bad).map(|case| (case, ServerStatus::EjectedForZone)));
            if let Some((case, standing)) = found {
                bad.push((case.severity(), drawn(&server.name, "", 0), server.name.clone(), standing));
            }
        }
        bad.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(&other.1)));
        let weight: BTreeMap<&str, f64> =
            self.servers.iter().map(|server| (&*server.name, server.weight)).collect();
        let sum: f64 = weight.values().sum();
        // One of three or more may always be out: with so few a share of them is none.
        let most = (MAX_EJECTED_SHARE * sum).max(if weight.len() >= 3 {
            weight.values().copied().fold(0.0, f64::max)
        } else {
            0.0
        });
        // Those that are well again and not back yet are out as well.
        let returning = self.out.keys().filter(|name| !bad.iter().any(|(.., other, _)| other == *name));
        let (mut out, mut now_bad) = (returning.map(|name| weight[&**name]).sum::<f64>(), BTreeMap::new());
        self.spared.clear();
        for (_, _, name, standing) in bad {
            let own = weight[&*name];
            if out + own <= most + 1e-9 {
                out += own;
                now_bad.insert(name, standing);
            } else {
                self.spared.insert(name);
            }
        }
        for (name, standing) in &now_bad {
            match self.out.get_mut(name) {
                Some(known) => (known.standing, known.back) = (*standing, None),
                None => {
                    let before = self.before.entry(name.clone()).or_default();
                    before.times = if before.back > 0 { (before.times + 1).min(MOST_DOUBLED) } else { 0 };
                    self.out.insert(name.clone(), Out { since: now, standing: *standing, back: None });
                }
            }
        }
        let spared = self.spared.clone();
        for (name, known) in self.out.iter_mut().filter(|(name, _)| !now_bad.contains_key(*name)) {
            let times = self.before.get(name).map_or(0, |before| before.times);
            let least = known.since + (LEAST_OUT << times);
            // One that is spared is needed at once; the others come back at drawn times, not all together.
            let drawn = drawn(&self.me.name, name, known.since) % RETURN;
            match spared.contains(name) {
                true => known.back = Some(now),
                false => drop(known.back.get_or_insert(least.max(now) + drawn)),
            }
        }
        let back: Vec<String> = self
            .out
            .iter()
            .filter(|(_, known)| known.back.is_some_and(|at| now >= at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in back {
            self.out.remove(&name);
            self.tried.remove(&name);
            let before = self.before.entry(name.clone()).or_default();
            before.back = now;
            // What was met there before it was left says nothing of it any more.
            if let Some(own) = self.own.get_mut(&name) {
                *own = Own { started: own.started, ..Own::default() };
            }
        }
        let spoken: BTreeSet<&String> = for_all.keys().collect();
        self.accused.retain(|name, since| spoken.contains(name) || now < *since + CONTEST);
        let known: BTreeSet<(String, u64)> = self.rumour.reports().map(rumour_key).collect();
        self.heard.retain(|key, _| known.contains(key));
    }

    /// Which of the servers that are out it is this gateway's turn to try.
    fn try_some(&mut self, now: Micros, shared: Micros) {
        let (began, number) = trial_permit::current_interval(shared);
        let names: Vec<&str> = self.live.iter().map(|live| &*live.name).collect();
        let zones: BTreeMap<&str, &str> = self
            .live
            .iter()
            .filter_map(|live| Some((&*live.name, &**self.zones.get(&live.instance)?)))
            .collect();
        let mut tries = BTreeSet::new();
        for server in &self.servers {
            let Some(_) = self.out.get(&server.name) else { continue };
            let tried = self.tried.get(&server.name) == Some(&number);
            let near = |name: &str| {
                let zone = if name == self.me.name { Some(&*self.me.zone) } else { zones.get(name).copied() };
                !server.zone.is_empty() && zone == Some(&*server.zone)
            };
            // Whoever has tried it in this turn has said so.
            let told = self.told_since(&server.name, now.saturating_sub(shared - began));
            if !tried && !told && trial_permit::is_granted(shared, &self.me.name, &server.name, &names, near)
            {
                tries.insert(server.name.clone());
            }
        }
        self.tries = tries;
    }

    /// Another has spoken of a server since then.
    fn told_since(&self, server: &str, since: Micros) -> bool {
        let (from, to) = ((server.to_string(), 0), (server.to_string(), u64::MAX));
        self.heard.range(from..=to).any(|((_, run), at)| *run != self.me.instance && *at >= since)
    }

    /// Servers that are left out of use.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.out.keys().map(|name| &**name)
    }

    /// For operators.
    pub fn status(&self, now: Micros, shared: Micros) -> OutlierView {
        let cases = self.cases(now, false);
        let sum: f64 = self.servers.iter().map(|server| server.weight).sum();
        let mut names: Vec<&str> = self.live.iter().map(|live| &*live.name).collect();
        names.push(&self.me.name);
        let number = trial_permit::current_interval(shared).1;
        let mut out = 0.0;
        let servers = self.servers.iter().map(|server| {
            let here = self.own.get(&server.name).and_then(|own| own.sight.health(now));
            let known = self.out.get(&server.name);
            out += known.map_or(0.0, |_| server.weight);
            let standing = match known {
                Some(Out { back: Some(_), .. }) => ServerStatus::Returning,
                Some(known) => known.standing,
                None if self.spared.contains(&server.name) => ServerStatus::Spared,
                None if here.is_some_and(HealthLevel::is_outlier) => ServerStatus::OutlierHere,
                None => ServerStatus::Healthy,
            };
            let case = cases.get(&server.name).cloned().unwrap_or_default();
            let first = names.iter().min_by_key(|name| drawn(name, &server.name, number));
            ServerView {
                server: server.name.clone(),
                status: standing,
                observed: here,
                against: case.against,
                in_favor: case.in_favor,
                reporters: case.reporters.len() as u32,
                ejected_ms: known.map(|known| now.saturating_sub(known.since) / MILLISECOND),
                next_trial: known.and(first).map(|name| name.to_string()),
            }
        });
        let servers = servers.collect();
        let out = if sum > 0.0 { out / sum } else { 0.0 };
        OutlierView {
            gateway: self.me.name.clone(),
            ejected_share: out,
            max_ejected_share: MAX_EJECTED_SHARE,
            servers,
        }
    }
}

fn rumour_key(word: &ServerReport) -> (String, u64) {
    (word.server.clone(), word.instance)
}
