//! Evaluation of reports: which servers are outliers according to the reports of several gateways, and how credible each gateway
//! is. The functions are pure; the detector selects the reports.

use std::collections::{BTreeMap, BTreeSet};

use crate::{HealthLevel, Micros, SECOND};

/// The time in which a report loses half of its weight.
const HALF_LIFE: Micros = 3 * SECOND;
/// Minimum weight of a report. Reports below it are ignored.
const MIN_WEIGHT: f64 = 0.05;
/// Minimum weight against an outlier: two reports that each cover several attempts, from at least two gateways.
const MIN_EVIDENCE_AGAINST: f64 = 1.4;
const MIN_REPORTERS: usize = 2;
/// Minimum share of the total weight that is against an outlier. If each gateway made one attempt at a server that fails half of
/// them, half of the gateways report that the server is healthy.
const MIN_SHARE_AGAINST: f64 = 0.2;
/// An ejected server has recovered if its reports have at least this weight, and the share against it is below the maximum.
const MIN_EVIDENCE_OF_RECOVERY: f64 = 1.0;
const MAX_SHARE_AGAINST_RECOVERED: f64 = 0.15;
/// Minimum number of servers for judging a gateway's credibility. With fewer, the gateway may be right although all others
/// contradict it.
const MIN_JUDGED_SERVERS: usize = 3;

/// A report that is used as evidence.
#[derive(Clone, Debug)]
pub(crate) struct BelievedReport<'r> {
    pub instance: u64,
    pub server: &'r str,
    /// The zone of the reporting gateway.
    pub zone: &'r str,
    pub health: HealthLevel,
    /// Number of gateways that the report represents.
    pub represents: f64,
    /// Time since the report was received.
    pub age: Micros,
}

impl BelievedReport<'_> {
    /// The weight of the report by its confidence, its age and the number of represented gateways.
    fn weight(&self) -> f64 {
        let weight = self.health.confidence() * 0.5f64.powf(self.age as f64 / HALF_LIFE as f64);
        if weight < MIN_WEIGHT {
            0.0
        } else {
            weight * self.represents
        }
    }
}

/// The evidence for and against one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Evidence {
    pub against: f64,
    pub in_favor: f64,
    /// The weight of confident reports for and against the server.
    confident_against: f64,
    confident_in_favor: f64,
    /// Instances that report the server as an outlier.
    pub reporters: BTreeSet<u64>,
    /// Zones of the gateways that report the server as an outlier.
    zones: BTreeSet<String>,
}

impl Evidence {
    pub fn is_outlier(&self) -> bool {
        let total = self.against + self.in_favor;
        // If the confident reports mostly say that the server is healthy, the network path from the other gateways is faulty.
        let is_path_fault = self.confident_in_favor > self.confident_against;
        self.against >= MIN_EVIDENCE_AGAINST
            && self.reporters.len() >= MIN_REPORTERS
            && self.against >= MIN_SHARE_AGAINST * total
            && !is_path_fault
    }

    /// Whether gateways of several zones report the server as an outlier.
    ///
    /// All gateways of a partitioned zone agree that the servers of the other zones are dead, so one zone is not enough.
    pub fn is_reported_by_several_zones(&self) -> bool {
        self.zones.len() > 1
    }

    /// Whether an ejected server has recovered according to the observations since its ejection.
    pub fn is_healthy(&self) -> bool {
        let total = self.against + self.in_favor;
        total >= MIN_EVIDENCE_OF_RECOVERY && self.against < MAX_SHARE_AGAINST_RECOVERED * total
    }

    /// The share of the weight that is against the server.
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

/// The weight of the reports for and against one server.
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

    /// Whether the server is an outlier, or `None` if the votes are not clear.
    fn verdict(&self) -> Option<bool> {
        let is_clear = self.against.max(self.in_favor) >= 1.0 && (self.against - self.in_favor).abs() > 0.5;
        is_clear.then_some(self.against > self.in_favor)
    }
}

/// How often a gateway's reports were compared with those of the others, and how often the others contradicted them.
#[derive(Clone, Copy, Default)]
struct TrackRecord {
    judged: usize,
    contradicted: usize,
}

impl TrackRecord {
    /// The credibility, from 1 without contradictions to 0 if at least half of the reports are contradicted.
    fn credibility(self) -> f64 {
        if self.judged < MIN_JUDGED_SERVERS {
            return 1.0;
        }
        (1.0 - 2.0 * self.contradicted as f64 / self.judged as f64).max(0.0)
    }
}

/// The credibility of each gateway, by how often the others together contradict it.
///
/// A gateway with a faulty network path confidently reports all servers as outliers, so confidence alone is not enough.
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

/// The evidence on each server that has reports.
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
