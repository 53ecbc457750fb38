//! The weighing of reports: which servers are outliers by the reports of several gateways, and how far each gateway is
//! credible. Pure functions of the reports that count; which those are is the detector's.

use std::collections::{BTreeMap, BTreeSet};

use crate::{HealthLevel, Micros, SECOND};

/// The time in which a report loses half of its weight.
const HALF_LIFE: Micros = 3 * SECOND;
/// Reports with less weight are ignored.
const MIN_WEIGHT: f64 = 0.05;
/// The weight against an outlier: two reports that rest on some attempts, from two gateways at the least.
const MIN_EVIDENCE_AGAINST: f64 = 1.4;
const MIN_REPORTERS: usize = 2;
/// The share of all weight that is against an outlier. Where each gateway has made one attempt, half of them report well of a
/// server that loses half.
const MIN_SHARE_AGAINST: f64 = 0.2;
/// The weight of reports on an ejected server, and the share against it, with which it has recovered.
const MIN_EVIDENCE_OF_RECOVERY: f64 = 1.0;
const MAX_SHARE_AGAINST_RECOVERED: f64 = 0.15;
/// Servers by which a gateway's credibility is judged. With fewer it may be right alone.
const MIN_JUDGED_SERVERS: usize = 3;

/// A report that counts.
#[derive(Clone, Debug)]
pub(crate) struct BelievedReport<'r> {
    pub instance: u64,
    pub server: &'r str,
    /// The zone of the reporting gateway.
    pub zone: &'r str,
    pub health: HealthLevel,
    /// Number of gateways that it stands for.
    pub represents: f64,
    /// Time since it was received.
    pub age: Micros,
}

impl BelievedReport<'_> {
    /// The attempts behind it, as far as they still count.
    fn weight(&self) -> f64 {
        let weight = self.health.confidence() * 0.5f64.powf(self.age as f64 / HALF_LIFE as f64);
        if weight < MIN_WEIGHT {
            0.0
        } else {
            weight * self.represents
        }
    }
}

/// The evidence on one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Evidence {
    pub against: f64,
    pub in_favor: f64,
    /// The weight of confident reports, either way.
    confident_against: f64,
    confident_in_favor: f64,
    /// Instances that report it as an outlier.
    pub reporters: BTreeSet<u64>,
    /// Zones of those gateways.
    zones: BTreeSet<String>,
}

impl Evidence {
    pub fn is_outlier(&self) -> bool {
        let total = self.against + self.in_favor;
        // Where more are confident that it is healthy, the network path to it is at fault.
        let is_path_fault = self.confident_in_favor > self.confident_against;
        self.against >= MIN_EVIDENCE_AGAINST
            && self.reporters.len() >= MIN_REPORTERS
            && self.against >= MIN_SHARE_AGAINST * total
            && !is_path_fault
    }

    /// Whether gateways of several zones report it.
    ///
    /// Danger: all gateways of a zone that is cut off agree that the servers of the others are dead.
    pub fn is_seen_from_several_zones(&self) -> bool {
        self.zones.len() > 1
    }

    /// Whether an ejected server has recovered, by what was observed since.
    pub fn is_healthy(&self) -> bool {
        let total = self.against + self.in_favor;
        total >= MIN_EVIDENCE_OF_RECOVERY && self.against < MAX_SHARE_AGAINST_RECOVERED * total
    }

    /// The share of the weight that is against it.
    pub fn severity(&self) -> f64 {
        self.against / (self.against + self.in_favor).max(f64::MIN_POSITIVE)
    }

    fn add(&mut self, report: &BelievedReport, weight: f64) {
        let severity = report.health.severity();
        self.against += weight * severity;
        self.in_favor += weight * (1.0 - severity);
        let confident_weight = if report.health.is_confident() { weight } else { 0.0 };
        if report.health.is_outlier() {
            self.confident_against += confident_weight;
            self.reporters.insert(report.instance);
            self.zones.insert(report.zone.into());
        } else {
            self.confident_in_favor += confident_weight;
        }
    }
}

/// The weight of reports on one server, by what they say.
#[derive(Clone, Copy, Default)]
struct Votes {
    against: f64,
    in_favor: f64,
}

impl Votes {
    fn side_of(&mut self, report: &BelievedReport) -> &mut f64 {
        if report.health.is_outlier() {
            &mut self.against
        } else {
            &mut self.in_favor
        }
    }

    /// Whether it is an outlier, if the votes are clear.
    fn verdict(&self) -> Option<bool> {
        let is_clear = self.against.max(self.in_favor) >= 1.0 && (self.against - self.in_favor).abs() > 0.5;
        is_clear.then_some(self.against > self.in_favor)
    }
}

/// How often a gateway's reports were judged by those of the others.
#[derive(Clone, Copy, Default)]
struct TrackRecord {
    judged: usize,
    contradicted: usize,
}

impl TrackRecord {
    /// From 1, fully credible, to 0 where half of the reports are contradicted.
    fn credibility(self) -> f64 {
        if self.judged < MIN_JUDGED_SERVERS {
            return 1.0;
        }
        (1.0 - 2.0 * self.contradicted as f64 / self.judged as f64).max(0.0)
    }
}

/// The credibility of each gateway, by how often the others together contradict it.
///
/// Danger: a gateway with a bad network path of its own reports all servers as outliers, and confidently.
fn credibility(reports: &[BelievedReport]) -> BTreeMap<u64, f64> {
    let mut votes: BTreeMap<&str, Votes> = BTreeMap::new();
    for report in reports {
        *votes.entry(report.server).or_default().side_of(report) += report.weight();
    }
    let mut records: BTreeMap<u64, TrackRecord> = BTreeMap::new();
    for report in reports.iter().filter(|report| report.weight() > 0.0) {
        let mut others = votes[report.server];
        *others.side_of(report) -= report.weight();
        let record = records.entry(report.instance).or_default();
        if let Some(is_outlier) = others.verdict() {
            record.judged += 1;
            record.contradicted += usize::from(is_outlier != report.health.is_outlier());
        }
    }
    records.into_iter().map(|(instance, record)| (instance, record.credibility())).collect()
}

/// The evidence on each server that is reported.
pub(crate) fn evaluate<'r>(reports: &[BelievedReport<'r>]) -> BTreeMap<&'r str, Evidence> {
    let credibility = credibility(reports);
    let mut evidence: BTreeMap<&str, Evidence> = BTreeMap::new();
    for report in reports {
        let weight = report.weight() * credibility.get(&report.instance).copied().unwrap_or(1.0);
        if weight > 0.0 {
            evidence.entry(report.server).or_default().add(report, weight);
        }
    }
    evidence
}
