//! One gateway's part: what it has met, what it says, what it makes of others' words, and which servers it leaves out of use.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{evaluate, BelievedReport, Evidence};
use crate::observation::{AttemptEnd, Observation, UsualLatencies};
use crate::status::{OutlierView, ServerStatus, ServerView};
use crate::trial_permit;
use crate::{stable_fraction, stable_hash, HealthLevel, Message, Micros, ServerReport, MILLISECOND, SECOND};
use fernscale_shared_counter::gossip::{Gossip, GossipConfig, LivePeer};

/// Words go out fast, as each tenth of a second is some trips hurt at a bad server; with at most some ten words for each server
/// of a large list that somebody speaks of.
const GOSSIP: GossipConfig = GossipConfig {
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
const OBJECTION_TIME: Micros = 500 * MILLISECOND;
/// Those who know better that are to speak, of all who do: more say no more.
const DISSENTING_REPORTERS: f64 = 8.0;
/// The least time between two words of one gateway about one server.
const MIN_REPORT_INTERVAL: Micros = 200 * MILLISECOND;
/// How long whoever has spoken need not speak again, while nothing has changed.
const REPORT_LIFETIME: Micros = 3 * SECOND;
/// What was said of a server until so long after it was left is no word of how it is since; and one of which nobody says anything
/// for so long is used again, as nobody can try it.
const DRAIN_TIME: Micros = SECOND;
const SILENCE_LIMIT: Micros = 15 * SECOND;
/// The least time out of use, doubled with each time that a server was bad again soon, up to eight times; and how soon that is.
/// Danger: one that is good and bad by turns is left and taken by all with each of them.
const MIN_EJECTION_TIME: Micros = 2 * SECOND;
const MAX_DOUBLINGS: u32 = 3;
const RELAPSE_TIME: Micros = 30 * SECOND;
/// Those who come back to a server come at drawn times within this.
const RETURN_SPREAD: Micros = 2 * SECOND;
/// Servers whose sights are kept.
const MAX_OBSERVED_SERVERS: usize = 16_384;

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
struct ObservedServer {
    observation: Observation,
    started_at: u64,
    /// What was said last, and when.
    last_report: Option<(HealthLevel, Micros)>,
}

#[derive(Clone, Debug)]
struct Ejection {
    since: Micros,
    status: ServerStatus,
    /// From when on it may be used again, once it is well.
    returns_at: Option<Micros>,
}

/// How often a server was bad again soon, and when it came back last.
#[derive(Clone, Copy, Debug, Default)]
struct EjectionHistory {
    times: u32,
    returns_at: Micros,
}

pub struct OutlierDetector {
    local: LocalGateway,
    gossip: Gossip<ServerReport>,
    version: u32,
    usual_latencies: UsualLatencies,
    observed: BTreeMap<String, ObservedServer>,
    /// When each word was heard first.
    heard_at: BTreeMap<(String, u64), Micros>,
    /// Since when somebody speaks against a server.
    suspected_since: BTreeMap<String, Micros>,
    ejections: BTreeMap<String, Ejection>,
    spared: BTreeSet<String>,
    history: BTreeMap<String, EjectionHistory>,
    /// The turn in which this gateway has tried a server, and which it may try now.
    last_trials: BTreeMap<String, u64>,
    trial_permits: BTreeSet<String>,
    reported_ejections: BTreeSet<String>,
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
    pub fn new(local: LocalGateway, seed: u64, now: Micros) -> Self {
        OutlierDetector {
            gossip: Gossip::new(local.instance, GOSSIP, seed, now),
            local,
            version: 0,
            usual_latencies: UsualLatencies::default(),
            observed: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            suspected_since: BTreeMap::new(),
            ejections: BTreeMap::new(),
            spared: BTreeSet::new(),
            history: BTreeMap::new(),
            last_trials: BTreeMap::new(),
            trial_permits: BTreeSet::new(),
            reported_ejections: BTreeSet::new(),
            servers: Vec::new(),
            zones: BTreeMap::new(),
            live: Vec::new(),
            observers: 1.0,
        }
    }

    /// A trip to a server has ended. What says nothing of the server, as a trip that was given up for another reason, is not told
    /// here.
    pub fn attempt_completed(
        &mut self,
        now: Micros,
        server: &str,
        request_class: usize,
        result: AttemptResult,
    ) {
        let end = match result {
            AttemptResult::Answered(latency) => {
                AttemptEnd::Answered { times: self.usual_latencies.slowdown(request_class, latency) }
            }
            AttemptResult::Forwarded => AttemptEnd::Answered { times: 1.0 },
            AttemptResult::Failed => AttemptEnd::Failed,
        };
        if self.observed.len() >= MAX_OBSERVED_SERVERS && !self.observed.contains_key(server) {
            return;
        }
        let out = self.ejections.contains_key(server);
        let own = self.observed.entry(server.into()).or_default();
        if out && self.last_trials.contains_key(server) {
            // What a try shows goes before what was met there earlier.
            own.observation = Observation::default();
            own.last_report = None;
        }
        own.observation.record(now, end);
        self.report_observation(now, server, self.dissents_for(now, server));
    }

    /// A trip goes to a server. True: it was this gateway's turn to try it, which is over with that.
    pub fn may_forward(&mut self, shared: Micros, server: &str) -> bool {
        let tries = self.trial_permits.remove(server);
        if tries {
            self.last_trials.insert(server.into(), trial_permit::current_interval(shared).1);
            self.reported_ejections.insert(server.into());
        }
        tries
    }

    /// A note has come from the gateway of a name.
    pub fn handle_message(&mut self, now: Micros, from: &str, message: Message, observers: f64) {
        let new = self.gossip.handle_message(now, from, message);
        self.observers = observers.max(1.0);
        for key in new {
            if self.gossip.report(&key).is_some_and(|report| report.health.is_outlier()) {
                self.suspect(now, &key.0);
            }
            self.heard_at.insert(key, now);
        }
    }

    /// Somebody speaks against a server. What was met there before says nothing for it: all who know better speak by what they
    /// meet from now on.
    fn suspect(&mut self, now: Micros, server: &str) {
        if self.suspected_since.contains_key(server) {
            return;
        }
        self.suspected_since.insert(server.into(), now);
        if let Some(own) = self.observed.get_mut(server).filter(|own| own.last_report.is_none()) {
            own.observation = Observation::default();
        }
    }

    /// For how many this gateway speaks where it knows better, if it is among the few who do; others each time.
    fn dissents_for(&self, now: Micros, server: &str) -> Option<u16> {
        let share = (DISSENTING_REPORTERS / self.observers).min(1.0);
        let hash = self.suspected_since.contains_key(server)
            && stable_fraction(&self.local.name, server, now / REPORT_LIFETIME) < share;
        hash.then_some((1.0 / share) as u16)
    }

    /// Says how a server does here, if that has changed; or, asked to speak for so many, if it was not said of late.
    fn report_observation(&mut self, now: Micros, server: &str, asked: Option<u16>) {
        let Some(own) = self.observed.get_mut(server) else { return };
        let Some(level) = own.observation.health(now) else { return };
        let last_report = own.last_report.filter(|(_, at)| now < at + REPORT_LIFETIME);
        // One that is good and bad from one trip to the next is not spoken of with each.
        if last_report.is_some_and(|(_, at)| now < at + MIN_REPORT_INTERVAL) {
            return;
        }
        let changed = match last_report {
            None => level.is_outlier() || asked.is_some(),
            Some((last_report, _)) => {
                // What rests on more is said again, as it weighs more.
                last_report.is_outlier() != level.is_outlier()
                    || level.is_outlier() && level.samples > last_report.samples && last_report.samples < 2
            }
        };
        let of_try = self.last_trials.contains_key(server)
            && self.ejections.contains_key(server)
            && own.last_report.is_none();
        if !changed && !of_try {
            return;
        }
        own.last_report = Some((level, now));
        if level.is_outlier() && !self.suspected_since.contains_key(server) {
            self.suspected_since.insert(server.into(), now);
        }
        let started_at = own.started_at;
        self.version += 1;
        let report = ServerReport {
            instance: self.local.instance,
            server: server.into(),
            started_at,
            version: self.version,
            zone: self.local.zone.clone(),
            health: level,
            represents: if level.is_outlier() { 1 } else { asked.unwrap_or(1).max(1) },
        };
        self.heard_at.insert((server.into(), self.local.instance), now);
        self.gossip.publish(now, report);
        self.gossip.schedule_round(now);
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.gossip.next_deadline()
    }

    /// The next note that is to be sent, and to whom.
    pub fn poll_message(&mut self) -> Option<(String, Message)> {
        self.gossip.poll_message()
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
        self.gossip.handle_timeout(now, live);
        for server in &servers {
            let own = self.observed.entry(server.name.clone()).or_default();
            if own.started_at != server.started {
                // It begins anew, and so does what is thought of it.
                *own = ObservedServer { started_at: server.started, ..ObservedServer::default() };
                self.ejections.remove(&server.name);
                self.history.remove(&server.name);
            }
        }
        self.servers = servers;
        let there: BTreeSet<&str> = self.servers.iter().map(|server| &*server.name).collect();
        self.observed.retain(|name, _| there.contains(&**name));
        self.ejections.retain(|name, _| there.contains(&**name));
        self.history.retain(|name, before| there.contains(&**name) && now < before.returns_at + RELAPSE_TIME);
        self.update_ejections(now);
        self.update_trial_permits(now, shared);
        let barred: BTreeSet<String> =
            self.ejections.keys().filter(|name| !self.trial_permits.contains(*name)).cloned().collect();
        let changes = barred.symmetric_difference(&self.reported_ejections);
        let changes = changes
            .map(|server| EjectionChange { server: server.clone(), ejected: barred.contains(server) })
            .collect();
        self.reported_ejections = barred;
        changes
    }

    /// What speaks against servers and for them, by the words that count now: of live runs, about servers as they started last.
    /// `near`: of the own zone's gateways alone.
    fn evidence(&self, now: Micros, near: bool) -> BTreeMap<String, Evidence> {
        let live: BTreeSet<u64> =
            self.live.iter().map(|live| live.instance).chain([self.local.instance]).collect();
        let started_at: BTreeMap<&str, u64> =
            self.servers.iter().map(|server| (&*server.name, server.started)).collect();
        let counts = |report: &&ServerReport| {
            live.contains(&report.instance)
                && (!near || report.zone == self.local.zone)
                && started_at.get(&*report.server).is_some_and(|own| report.started_at >= *own)
        };
        let mut reports: Vec<BelievedReport> = Vec::new();
        for report in self.gossip.reports().filter(counts) {
            let at = self.heard_at.get(&report_key(report)).copied().unwrap_or(0);
            let age = now.saturating_sub(at);
            // Of one that was left only counts what was met since.
            if self.ejections.get(&report.server).is_some_and(|out| at < out.since + DRAIN_TIME) {
                continue;
            }
            let (run, zone, level) = (report.instance, &*report.zone, report.health);
            // Nobody speaks for more than there are.
            let represents = f64::from(report.represents)
                .min((self.live.len() as f64 + 1.0) / DISSENTING_REPORTERS)
                .max(1.0);
            reports.push(BelievedReport {
                instance: run,
                server: &report.server,
                zone,
                health: level,
                represents,
                age,
            });
        }
        evaluate(&reports).into_iter().map(|(server, case)| (server.to_string(), case)).collect()
    }

    fn update_ejections(&mut self, now: Micros) {
        self.zones = self.gossip.reports().map(|report| (report.instance, report.zone.clone())).collect();
        let (represents, for_zone) = (self.evidence(now, false), self.evidence(now, true));
        let alone = self.local.zone.is_empty();
        // Who is bad, and how surely; worst first.
        let mut bad: Vec<(f64, u64, String, ServerStatus)> = Vec::new();
        for server in &self.servers {
            let contested =
                self.suspected_since.get(&server.name).is_some_and(|since| now < since + OBJECTION_TIME);
            let (all, zone) = (represents.get(&server.name), for_zone.get(&server.name).filter(|_| !alone));
            let was_out = self.ejections.contains_key(&server.name);
            let is_bad =
                |case: &&Evidence| if was_out { !case.is_healthy() } else { case.is_outlier() && !contested };
            if let Some(known) = self.ejections.get(&server.name).filter(|_| all.is_none()) {
                // Nothing has been said since: it stays as it is for a while.
                if now < known.since + SILENCE_LIMIT {
                    bad.push((1.0, stable_hash(&server.name, "", 0), server.name.clone(), known.status));
                    continue;
                }
            }
            let apart = |case: &&Evidence| alone || was_out || case.is_seen_from_several_zones();
            let found = all.filter(is_bad).filter(apart).map(|case| (case, ServerStatus::EjectedForAll));
            let found =
                found.or_else(|| zone.filter(is_bad).map(|case| (case, ServerStatus::EjectedForZone)));
            if let Some((case, status)) = found {
                bad.push((case.severity(), stable_hash(&server.name, "", 0), server.name.clone(), status));
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
        let returning = self.ejections.keys().filter(|name| !bad.iter().any(|(.., other, _)| other == *name));
        let (mut out, mut now_bad) = (returning.map(|name| weight[&**name]).sum::<f64>(), BTreeMap::new());
        self.spared.clear();
        for (_, _, name, status) in bad {
            let own = weight[&*name];
            if out + own <= most + 1e-9 {
                out += own;
                now_bad.insert(name, status);
            } else {
                self.spared.insert(name);
            }
        }
        for (name, status) in &now_bad {
            match self.ejections.get_mut(name) {
                Some(known) => (known.status, known.returns_at) = (*status, None),
                None => {
                    let before = self.history.entry(name.clone()).or_default();
                    before.times =
                        if before.returns_at > 0 { (before.times + 1).min(MAX_DOUBLINGS) } else { 0 };
                    self.ejections
                        .insert(name.clone(), Ejection { since: now, status: *status, returns_at: None });
                }
            }
        }
        let spared = self.spared.clone();
        for (name, known) in self.ejections.iter_mut().filter(|(name, _)| !now_bad.contains_key(*name)) {
            let times = self.history.get(name).map_or(0, |before| before.times);
            let least = known.since + (MIN_EJECTION_TIME << times);
            // One that is spared is needed at once; the others come back at drawn times, not all together.
            let hash = stable_hash(&self.local.name, name, known.since) % RETURN_SPREAD;
            match spared.contains(name) {
                true => known.returns_at = Some(now),
                false => drop(known.returns_at.get_or_insert(least.max(now) + hash)),
            }
        }
        let returns_at: Vec<String> = self
            .ejections
            .iter()
            .filter(|(_, known)| known.returns_at.is_some_and(|at| now >= at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in returns_at {
            self.ejections.remove(&name);
            self.last_trials.remove(&name);
            let before = self.history.entry(name.clone()).or_default();
            before.returns_at = now;
            // What was met there before it was left says nothing of it any more.
            if let Some(own) = self.observed.get_mut(&name) {
                *own = ObservedServer { started_at: own.started_at, ..ObservedServer::default() };
            }
        }
        let spoken: BTreeSet<&String> = represents.keys().collect();
        self.suspected_since.retain(|name, since| spoken.contains(name) || now < *since + OBJECTION_TIME);
        let known: BTreeSet<(String, u64)> = self.gossip.reports().map(report_key).collect();
        self.heard_at.retain(|key, _| known.contains(key));
    }

    /// Which of the servers that are out it is this gateway's turn to try.
    fn update_trial_permits(&mut self, now: Micros, shared: Micros) {
        let (began, number) = trial_permit::current_interval(shared);
        let names: Vec<&str> = self.live.iter().map(|live| &*live.name).collect();
        let zones: BTreeMap<&str, &str> = self
            .live
            .iter()
            .filter_map(|live| Some((&*live.name, &**self.zones.get(&live.instance)?)))
            .collect();
        let mut tries = BTreeSet::new();
        for server in &self.servers {
            let Some(_) = self.ejections.get(&server.name) else { continue };
            let tried = self.last_trials.get(&server.name) == Some(&number);
            let near = |name: &str| {
                let zone =
                    if name == self.local.name { Some(&*self.local.zone) } else { zones.get(name).copied() };
                !server.zone.is_empty() && zone == Some(&*server.zone)
            };
            // Whoever has tried it in this turn has said so.
            let told = self.reported_since(&server.name, now.saturating_sub(shared - began));
            if !tried
                && !told
                && trial_permit::is_granted(shared, &self.local.name, &server.name, &names, near)
            {
                tries.insert(server.name.clone());
            }
        }
        self.trial_permits = tries;
    }

    /// Another has spoken of a server since then.
    fn reported_since(&self, server: &str, since: Micros) -> bool {
        let (from, to) = ((server.to_string(), 0), (server.to_string(), u64::MAX));
        self.heard_at.range(from..=to).any(|((_, run), at)| *run != self.local.instance && *at >= since)
    }

    /// Servers that are left out of use.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejections.keys().map(|name| &**name)
    }

    /// For operators.
    pub fn status(&self, now: Micros, shared: Micros) -> OutlierView {
        let evidence = self.evidence(now, false);
        let sum: f64 = self.servers.iter().map(|server| server.weight).sum();
        let mut names: Vec<&str> = self.live.iter().map(|live| &*live.name).collect();
        names.push(&self.local.name);
        let number = trial_permit::current_interval(shared).1;
        let mut out = 0.0;
        let servers = self.servers.iter().map(|server| {
            let here = self.observed.get(&server.name).and_then(|own| own.observation.health(now));
            let known = self.ejections.get(&server.name);
            out += known.map_or(0.0, |_| server.weight);
            let status = match known {
                Some(Ejection { returns_at: Some(_), .. }) => ServerStatus::Returning,
                Some(known) => known.status,
                None if self.spared.contains(&server.name) => ServerStatus::Spared,
                None if here.is_some_and(HealthLevel::is_outlier) => ServerStatus::OutlierHere,
                None => ServerStatus::Healthy,
            };
            let case = evidence.get(&server.name).cloned().unwrap_or_default();
            let first = names.iter().min_by_key(|name| stable_hash(name, &server.name, number));
            ServerView {
                server: server.name.clone(),
                status,
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
            gateway: self.local.name.clone(),
            ejected_share: out,
            max_ejected_share: MAX_EJECTED_SHARE,
            servers,
        }
    }
}

fn report_key(report: &ServerReport) -> (String, u64) {
    (report.server.clone(), report.instance)
}
