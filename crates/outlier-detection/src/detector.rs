//! The outlier detector of one gateway. It records observations, reports them, evaluates the reports of all gateways and ejects
//! servers. It neither sends messages nor chooses servers for requests.

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
    // About ten reports for each server of a large list that is reported.
    max_reports: 16_384,
    retention: 30 * SECOND,
};
/// Minimum time from the first report against a server to its ejection, so that gateways with contrary observations can report
/// them.
const OBJECTION_TIME: Micros = 500 * MILLISECOND;
/// Reports that arrive within this time after a server's ejection may be based on observations from before the ejection.
const DRAIN_TIME: Micros = SECOND;
/// An ejected server without any reports is used again after this time, since apparently no gateway can try it.
const SILENCE_LIMIT: Micros = 15 * SECOND;
/// Maximum number of observed servers.
const MAX_OBSERVED_SERVERS: usize = 16_384;

/// The name of the server and the reporting instance.
type ReportKey = (String, u64);

/// A server of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's name in the list.
    pub name: String,
    /// The server's capacity relative to other servers.
    pub weight: f64,
    /// The name of the server's zone; empty if unknown.
    pub zone: String,
    /// When the server started according to the list, in microseconds of the shared clock; 0 if that is long past.
    pub started: u64,
}

/// The identity of this gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalGateway {
    /// The gateway's configured name.
    pub name: String,
    /// The gateway's process.
    pub instance: u64,
    /// The name of the gateway's zone; empty if unknown.
    pub zone: String,
}

/// The outcome of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered with this latency.
    Answered(Micros),
    /// Answered with so much data that the latency is not meaningful.
    Forwarded,
    /// Lost or failed. Attempts that the server rejected do not count: if all servers are overloaded, none is an outlier.
    Failed,
}

/// A change that the caller must apply: a server is ejected or used again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    /// The server's name in the list.
    pub server: String,
    /// Whether the server must not receive attempts.
    pub ejected: bool,
}

/// The gateways whose reports an assessment uses.
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
    /// When the current version of each report was received.
    received_at: BTreeMap<ReportKey, Micros>,
    /// When the first report against each suspected server arrived.
    suspected_since: BTreeMap<String, Micros>,
    ejections: Ejections,
    /// The number of the interval in which this gateway last tried an ejected server.
    last_trials: BTreeMap<String, u64>,
    /// Ejected servers that this gateway may try now.
    trial_permits: BTreeSet<String>,
    /// Ejected servers without those that may be tried, as last returned to the caller.
    reported_ejections: BTreeSet<String>,
    servers: Vec<Server>,
    zones: BTreeMap<u64, String>,
    live: Vec<LivePeer>,
    /// The mean number of gateways that use a server.
    observers: f64,
}

impl OutlierDetector {
    /// Creates a detector without observations. The seed determines the times and the receivers of gossip.
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

    /// Records the result of an attempt at a server. The caller does not record attempts whose result is not caused by the
    /// server, such as cancelled ones. Request classes are numbered from 0, and each has its own usual latency.
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
            // The result of a trial replaces the observations from before the ejection.
            observed.observation = Observation::default();
            observed.last_report = None;
        }
        observed.observation.record(now, end);
        self.report_observation(now, server, self.represented_dissenters(now, server));
    }

    /// Records that an attempt is forwarded to a server. If this gateway has a trial permit for the server, uses up the permit
    /// and returns true.
    pub fn use_trial_permit(&mut self, shared_time: Micros, server: &str) -> bool {
        let had_permit = self.trial_permits.remove(server);
        if had_permit {
            self.last_trials.insert(server.into(), Interval::at(shared_time).number);
            self.reported_ejections.insert(server.into());
        }
        had_permit
    }

    /// Handles a message from the gateway with the name `from`. `observers` is the mean number of gateways that use a server.
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

    /// When the caller must call `handle_timeout` next.
    pub fn next_deadline(&self) -> Micros {
        self.gossip.next_deadline()
    }

    /// The next message to send, with the name of the receiving gateway.
    pub fn poll_message(&mut self) -> Option<(String, Message)> {
        self.gossip.poll_message()
    }

    /// Assesses all servers of the list, and returns the changes that the caller must apply.
    ///
    /// `shared_time` is the time of the clock that all gateways share. `live` contains the other gateways that are live
    /// members.
    pub fn handle_timeout(
        &mut self,
        now: Micros,
        shared_time: Micros,
        live: &[LivePeer],
        servers: Vec<Server>,
    ) -> Vec<EjectionChange> {
        self.live = live.to_vec();
        self.gossip.handle_timeout(now, live);
        self.set_servers(now, servers);
        self.zones = self.gossip.reports().map(|report| (report.instance, report.zone.clone())).collect();
        self.update_ejections(now);
        self.update_trial_permits(now, shared_time);
        let ejected: BTreeSet<String> =
            self.ejected().filter(|name| !self.trial_permits.contains(*name)).map(String::from).collect();
        let changed = ejected.symmetric_difference(&self.reported_ejections);
        let changes = changed
            .map(|server| EjectionChange { server: server.clone(), ejected: ejected.contains(server) })
            .collect();
        self.reported_ejections = ejected;
        changes
    }

    /// The ejected servers, ordered by name.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejections.names()
    }

    fn set_servers(&mut self, now: Micros, servers: Vec<Server>) {
        for server in &servers {
            let observed = self.observed.entry(server.name.clone()).or_default();
            if observed.started_at != server.started {
                // The server has restarted, so earlier observations are no longer valid.
                *observed = ObservedServer { started_at: server.started, ..ObservedServer::default() };
                self.ejections.forget(&server.name);
            }
        }
        self.servers = servers;
        let listed: BTreeSet<&str> = self.servers.iter().map(|server| &*server.name).collect();
        self.observed.retain(|name, _| listed.contains(&**name));
        self.ejections.retain_listed(now, &listed);
    }

    /// The evidence on each server, from the reports of live instances on servers since their last start.
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

    /// Converts a report to evidence. Returns `None` if the report may be based on observations from before the server's ejection.
    fn believed<'r>(&self, now: Micros, report: &'r ServerReport) -> Option<BelievedReport<'r>> {
        let received_at = self.received_at.get(&report.key()).copied().unwrap_or(0);
        let ejected_since = self.ejections.since(&report.server);
        if ejected_since.is_some_and(|since| received_at < since + DRAIN_TIME) {
            return None;
        }
        // The represented gateways of all dissenting reports together cannot exceed the number of gateways.
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
            // Observations from before the ejection are no longer valid.
            if let Some(observed) = self.observed.get_mut(&name) {
                let started_at = observed.started_at;
                *observed = ObservedServer { started_at, ..ObservedServer::default() };
            }
        }
        self.suspected_since.retain(|name, since| by_all.contains_key(name) || now < *since + OBJECTION_TIME);
        let known: BTreeSet<ReportKey> = self.gossip.reports().map(Report::key).collect();
        self.received_at.retain(|key, _| known.contains(key));
    }

    /// Assesses whether a server is an outlier. An ejected server stays an outlier until it has recovered.
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
            // Without reports since the ejection, the server stays ejected until the silence limit.
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
            |evidence: &&Evidence| has_no_zone || is_ejected || evidence.is_reported_by_several_zones();
        if let Some(evidence) = by_all.filter(is_outlier).filter(holds_for_all) {
            return Some(outlier(evidence.severity(), EjectionScope::AllZones));
        }
        let evidence = by_own_zone.filter(|_| !has_no_zone).filter(is_outlier)?;
        Some(outlier(evidence.severity(), EjectionScope::OwnZone))
    }

    /// Determines which ejected servers this gateway may try now.
    fn update_trial_permits(&mut self, now: Micros, shared_time: Micros) {
        let interval = Interval::at(shared_time);
        let interval_start = now.saturating_sub(shared_time - interval.started_at);
        let others: Vec<&str> = self.live.iter().map(|peer| &*peer.name).collect();
        let zones = self.zones_by_gateway();
        let permits = self.servers.iter().filter(|server| {
            let was_tried = self.last_trials.get(&server.name) == Some(&interval.number);
            let is_in_zone_of_server = |gateway: &str| {
                !server.zone.is_empty() && zones.get(gateway).is_some_and(|zone| *zone == server.zone)
            };
            self.ejections.contains(&server.name)
                && !was_tried
                // A gateway that tried the server in this interval has reported the result.
                && !self.is_reported_since(&server.name, interval_start)
                && trial_permit::is_granted(shared_time, &self.local.name, &server.name, &others, is_in_zone_of_server)
        });
        self.trial_permits = permits.map(|server| server.name.clone()).collect();
    }

    /// The known zones of this gateway and of the live ones.
    fn zones_by_gateway(&self) -> BTreeMap<&str, &str> {
        let zone_of = |peer: &LivePeer| self.zones.get(&peer.instance).map(String::as_str);
        let others = self.live.iter().filter_map(|peer| Some((&*peer.name, zone_of(peer)?)));
        others.chain([(&*self.local.name, &*self.local.zone)]).collect()
    }

    /// Whether a report of another gateway on a server has arrived since a time.
    fn is_reported_since(&self, server: &str, since: Micros) -> bool {
        let first = (server.to_string(), 0);
        let last = (server.to_string(), u64::MAX);
        let mut reports = self.received_at.range(first..=last);
        reports.any(|((_, instance), at)| *instance != self.local.instance && *at >= since)
    }
}
