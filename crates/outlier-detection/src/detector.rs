//! The outlier detector of one gateway: what it observed, what it reports, how it judges the reports of all, and which servers
//! it ejects. It neither sends messages nor chooses servers for requests.

mod ejections;
mod reporting;
mod view;

use std::collections::{BTreeMap, BTreeSet};

use fernscale_shared_counter::gossip::{Gossip, GossipConfig, LivePeer, Report};

use self::ejections::{EjectionScope, Ejections, Outlier};
use self::reporting::{ObservedServer, DISSENTING_REPORTERS};
use crate::evidence::{evaluate, BelievedReport, Evidence};
use crate::observation::{AttemptEnd, Observation, UsualLatencies};
use crate::trial_permit::{self, Interval};
use crate::{Message, Micros, ServerReport, MILLISECOND, SECOND};

pub use self::ejections::MAX_EJECTED_SHARE;

const GOSSIP: GossipConfig = GossipConfig {
    interval: 100 * MILLISECOND,
    full_sync_interval: 20 * SECOND,
    reports_per_message: 10,
    messages_per_peer: 2,
    // Some ten for each server of a large list that is reported at all.
    max_reports: 16_384,
    retention: 30 * SECOND,
};
/// A server is not ejected so soon after the first report against it, so that gateways that observe otherwise report first.
const OBJECTION_TIME: Micros = 500 * MILLISECOND;
/// Reports on a server that arrived until so long after its ejection may rest on what was observed before.
const DRAIN_TIME: Micros = SECOND;
/// Without any report an ejected server is used again after so long, as nobody can try it.
const SILENCE_LIMIT: Micros = 15 * SECOND;
/// Servers that are observed.
const MAX_OBSERVED_SERVERS: usize = 16_384;

/// The server and the instance that reports on it.
type ReportKey = (String, u64);

/// A server of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name in the list.
    pub name: String,
    /// Its capacity relative to other servers.
    pub weight: f64,
    /// The name of its zone; empty if unknown.
    pub zone: String,
    /// When it started, in microseconds of the shared clock, as far as the list says; 0 where that is long past.
    pub started: u64,
}

/// This gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalGateway {
    /// Its configured name.
    pub name: String,
    /// Its process.
    pub instance: u64,
    /// The name of its zone; empty if unknown.
    pub zone: String,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered after so long.
    Answered(Micros),
    /// Answered with so much data that the latency says nothing.
    Forwarded,
    /// Lost or failed. Not one that the server rejected: where all are overloaded, none is an outlier.
    Failed,
}

/// A server is to be ejected or used again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    /// Its name in the list.
    pub server: String,
    /// Whether no attempt is to go there.
    pub ejected: bool,
}

/// Which reports an assessment rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reporters {
    All,
    OwnZone,
}

/// The outlier detector of one gateway.
pub struct OutlierDetector {
    local: LocalGateway,
    gossip: Gossip<ServerReport>,
    last_version: u32,
    usual_latencies: UsualLatencies,
    observed: BTreeMap<String, ObservedServer>,
    /// When each report was received first.
    received_at: BTreeMap<ReportKey, Micros>,
    /// Since when there are reports against a server.
    suspected_since: BTreeMap<String, Micros>,
    ejections: Ejections,
    /// The number of the interval in which this gateway last tried an ejected server.
    last_trials: BTreeMap<String, u64>,
    /// Ejected servers that this gateway may try now.
    trial_permits: BTreeSet<String>,
    /// Ejected servers without those that may be tried, as the caller knows them.
    reported_ejections: BTreeSet<String>,
    servers: Vec<Server>,
    zones: BTreeMap<u64, String>,
    live: Vec<LivePeer>,
    /// The mean number of gateways that use a server.
    observers: f64,
}

impl OutlierDetector {
    /// A detector that has observed nothing. The seed determines when and to whom gossip goes.
    pub fn new(local: LocalGateway, seed: u64, now: Micros) -> Self {
        OutlierDetector {
            gossip: Gossip::new(local.instance, GOSSIP, seed, now),
            local,
            last_version: 0,
            usual_latencies: UsualLatencies::default(),
            observed: BTreeMap::new(),
            received_at: BTreeMap::new(),
            suspected_since: BTreeMap::new(),
            ejections: Ejections::default(),
            last_trials: BTreeMap::new(),
            trial_permits: BTreeSet::new(),
            reported_ejections: BTreeSet::new(),
            servers: Vec::new(),
            zones: BTreeMap::new(),
            live: Vec::new(),
            observers: 1.0,
        }
    }

    /// An attempt at a server has ended. One whose end says nothing of the server, such as a cancelled one, is not reported
    /// here. Request classes are numbered from 0, each with its own usual latency.
    pub fn attempt_completed(
        &mut self,
        now: Micros,
        server: &str,
        request_class: usize,
        result: AttemptResult,
    ) {
        let end = match result {
            AttemptResult::Answered(latency) => {
                AttemptEnd::Answered { slowdown: self.usual_latencies.slowdown(request_class, latency) }
            }
            AttemptResult::Forwarded => AttemptEnd::Answered { slowdown: 1.0 },
            AttemptResult::Failed => AttemptEnd::Failed,
        };
        if self.observed.len() >= MAX_OBSERVED_SERVERS && !self.observed.contains_key(server) {
            return;
        }
        let is_trial = self.ejections.contains(server) && self.last_trials.contains_key(server);
        let observed = self.observed.entry(server.into()).or_default();
        if is_trial {
            // What a trial shows replaces what was observed before the ejection.
            observed.observation = Observation::default();
            observed.last_report = None;
        }
        observed.observation.record(now, end);
        self.report_observation(now, server, self.dissents_for(now, server));
    }

    /// An attempt goes to a server. Returns whether it used up this gateway's permit to try an ejected one.
    pub fn use_trial_permit(&mut self, shared: Micros, server: &str) -> bool {
        let was_permitted = self.trial_permits.remove(server);
        if was_permitted {
            self.last_trials.insert(server.into(), Interval::at(shared).number);
            self.reported_ejections.insert(server.into());
        }
        was_permitted
    }

    /// A message has arrived from the gateway of a name. `observers` is the mean number of gateways that use a server.
    pub fn handle_message(&mut self, now: Micros, from: &str, message: Message, observers: f64) {
        let new = self.gossip.handle_message(now, from, message);
        self.observers = observers.max(1.0);
        for key in new {
            if self.gossip.report(&key).is_some_and(|report| report.health.is_outlier()) {
                self.suspect(now, &key.0);
            }
            self.received_at.insert(key, now);
        }
    }

    /// When `handle_timeout` is to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.gossip.next_deadline()
    }

    /// The next message that is to be sent, with the name of the gateway that it goes to.
    pub fn poll_message(&mut self) -> Option<(String, Message)> {
        self.gossip.poll_message()
    }

    /// Assesses all servers of the list, and returns what is to change.
    ///
    /// `shared` is the time of the clock that all gateways share, `live` are the other gateways that are live members.
    pub fn handle_timeout(
        &mut self,
        now: Micros,
        shared: Micros,
        live: &[LivePeer],
        servers: Vec<Server>,
    ) -> Vec<EjectionChange> {
        self.live = live.to_vec();
        self.gossip.handle_timeout(now, live);
        self.set_servers(now, servers);
        self.zones = self.gossip.reports().map(|report| (report.instance, report.zone.clone())).collect();
        self.update_ejections(now);
        self.update_trial_permits(now, shared);
        let ejected: BTreeSet<String> =
            self.ejected().filter(|name| !self.trial_permits.contains(*name)).map(String::from).collect();
        let changed = ejected.symmetric_difference(&self.reported_ejections);
        let changes = changed
            .map(|server| EjectionChange { server: server.clone(), ejected: ejected.contains(server) })
            .collect();
        self.reported_ejections = ejected;
        changes
    }

    /// Servers that are ejected, in the order of their names.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejections.names()
    }

    fn set_servers(&mut self, now: Micros, servers: Vec<Server>) {
        for server in &servers {
            let observed = self.observed.entry(server.name.clone()).or_default();
            if observed.started_at != server.started {
                // It has started again, so that nothing known before holds.
                *observed = ObservedServer { started_at: server.started, ..ObservedServer::default() };
                self.ejections.forget(&server.name);
            }
        }
        self.servers = servers;
        let listed: BTreeSet<&str> = self.servers.iter().map(|server| &*server.name).collect();
        self.observed.retain(|name, _| listed.contains(&**name));
        self.ejections.retain_listed(now, &listed);
    }

    /// The evidence on each server by the reports that count: of live instances, about servers since their last start.
    fn evidence(&self, now: Micros, reporters: Reporters) -> BTreeMap<String, Evidence> {
        let live: BTreeSet<u64> =
            self.live.iter().map(|peer| peer.instance).chain([self.local.instance]).collect();
        let started: BTreeMap<&str, u64> =
            self.servers.iter().map(|server| (&*server.name, server.started)).collect();
        let counts = |report: &&ServerReport| {
            live.contains(&report.instance)
                && (reporters == Reporters::All || report.zone == self.local.zone)
                && started.get(&*report.server).is_some_and(|started| report.started_at >= *started)
        };
        let reports: Vec<BelievedReport> =
            self.gossip.reports().filter(counts).filter_map(|report| self.believed(now, report)).collect();
        let evidence = evaluate(&reports).into_iter();
        evidence.map(|(server, evidence)| (server.to_string(), evidence)).collect()
    }

    /// A report as evidence, unless it may rest on what was observed before the server's ejection.
    fn believed<'r>(&self, now: Micros, report: &'r ServerReport) -> Option<BelievedReport<'r>> {
        let received_at = self.received_at.get(&report.key()).copied().unwrap_or(0);
        let ejected_since = self.ejections.since(&report.server);
        if ejected_since.is_some_and(|since| received_at < since + DRAIN_TIME) {
            return None;
        }
        // No gateway represents more than there are.
        let max_represented = (self.live.len() as f64 + 1.0) / DISSENTING_REPORTERS;
        Some(BelievedReport {
            instance: report.instance,
            server: &report.server,
            zone: &report.zone,
            health: report.health,
            represents: f64::from(report.represents).min(max_represented).max(1.0),
            age: now.saturating_sub(received_at),
        })
    }

    fn update_ejections(&mut self, now: Micros) {
        let by_all = self.evidence(now, Reporters::All);
        let by_own_zone = self.evidence(now, Reporters::OwnZone);
        let outliers = self.servers.iter().filter_map(|server| {
            self.assess(now, server, by_all.get(&server.name), by_own_zone.get(&server.name))
        });
        let outliers: Vec<Outlier> = outliers.collect();
        let returned = self.ejections.update(now, &self.local.name, &self.servers, outliers);
        for name in returned {
            self.last_trials.remove(&name);
            // What was observed before the ejection says nothing any more.
            if let Some(observed) = self.observed.get_mut(&name) {
                let started_at = observed.started_at;
                *observed = ObservedServer { started_at, ..ObservedServer::default() };
            }
        }
        self.suspected_since.retain(|name, since| by_all.contains_key(name) || now < *since + OBJECTION_TIME);
        let known: BTreeSet<ReportKey> = self.gossip.reports().map(Report::key).collect();
        self.received_at.retain(|key, _| known.contains(key));
    }

    /// Whether a server is an outlier, or still one if it is ejected.
    fn assess(
        &self,
        now: Micros,
        server: &Server,
        by_all: Option<&Evidence>,
        by_own_zone: Option<&Evidence>,
    ) -> Option<Outlier> {
        let outlier = |severity, scope| Outlier { server: server.name.clone(), severity, scope };
        let ejected = self.ejections.get(&server.name);
        if let Some(ejection) = ejected.filter(|_| by_all.is_none()) {
            // There are no reports since: it stays ejected for a while.
            if now < ejection.since + SILENCE_LIMIT {
                return Some(outlier(1.0, ejection.scope));
            }
        }
        let is_ejected = ejected.is_some();
        let suspected_since = self.suspected_since.get(&server.name);
        let may_be_contested = suspected_since.is_some_and(|since| now < since + OBJECTION_TIME);
        let is_outlier = |evidence: &&Evidence| {
            if is_ejected {
                !evidence.is_healthy()
            } else {
                evidence.is_outlier() && !may_be_contested
            }
        };
        let has_no_zone = self.local.zone.is_empty();
        let holds_for_all =
            |evidence: &&Evidence| has_no_zone || is_ejected || evidence.is_seen_from_several_zones();
        if let Some(evidence) = by_all.filter(is_outlier).filter(holds_for_all) {
            return Some(outlier(evidence.severity(), EjectionScope::AllZones));
        }
        let evidence = by_own_zone.filter(|_| !has_no_zone).filter(is_outlier)?;
        Some(outlier(evidence.severity(), EjectionScope::OwnZone))
    }

    /// Determines which ejected servers this gateway may try now.
    fn update_trial_permits(&mut self, now: Micros, shared: Micros) {
        let interval = Interval::at(shared);
        let interval_began = now.saturating_sub(shared - interval.started_at);
        let others: Vec<&str> = self.live.iter().map(|peer| &*peer.name).collect();
        let zones = self.zones_by_gateway();
        let permits = self.servers.iter().filter(|server| {
            let was_tried = self.last_trials.get(&server.name) == Some(&interval.number);
            let is_near = |gateway: &str| {
                !server.zone.is_empty() && zones.get(gateway).is_some_and(|zone| *zone == server.zone)
            };
            self.ejections.contains(&server.name)
                && !was_tried
                // A gateway that has tried it in this interval has reported that.
                && !self.is_reported_since(&server.name, interval_began)
                && trial_permit::is_granted(shared, &self.local.name, &server.name, &others, is_near)
        });
        self.trial_permits = permits.map(|server| server.name.clone()).collect();
    }

    /// The zones of this gateway and of live ones, as far as they are known.
    fn zones_by_gateway(&self) -> BTreeMap<&str, &str> {
        let zone_of = |peer: &LivePeer| self.zones.get(&peer.instance).map(String::as_str);
        let others = self.live.iter().filter_map(|peer| Some((&*peer.name, zone_of(peer)?)));
        others.chain([(&*self.local.name, &*self.local.zone)]).collect()
    }

    /// Whether another gateway has reported on a server since then.
    fn is_reported_since(&self, server: &str, since: Micros) -> bool {
        let first = (server.to_string(), 0);
        let last = (server.to_string(), u64::MAX);
        let mut reports = self.received_at.range(first..=last);
        reports.any(|((_, instance), at)| *instance != self.local.instance && *at >= since)
    }
}
