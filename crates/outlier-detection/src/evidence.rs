//! Whom to believe: from the words of several gateways about several servers, which servers are bad.

use std::collections::{BTreeMap, BTreeSet};

use crate::{HealthLevel, Micros, SECOND};

/// Time in which a word loses half of its weight.
const HALF_LIFE: Micros = 3 * SECOND;
/// Weight below which a word says nothing any more.
const MIN_WEIGHT: f64 = 0.05;
/// What must speak against a server, all together: two words that rest on some trips, from two gateways at the least.
const MIN_EVIDENCE_AGAINST: f64 = 1.4;
const MIN_REPORTERS: usize = 2;
/// And the part of all trips that must be bad. They are counted together: where each gateway has met a server once, half of them say
/// that one that loses half is good.
const MIN_SHARE_AGAINST: f64 = 0.2;
/// What must be known of a server that was left, and the part that may be bad, for it to be well.
const MIN_EVIDENCE_OF_RECOVERY: f64 = 1.0;
const MAX_SHARE_AGAINST_RECOVERED: f64 = 0.15;
/// Servers that a gateway is judged by, at the least: with fewer it may be right alone.
const MIN_JUDGED_SERVERS: usize = 3;

/// A word, with how long ago it was heard.
#[derive(Clone, Debug)]
pub struct BelievedReport<'w> {
    pub instance: u64,
    pub server: &'w str,
    /// Where its gateway stands.
    pub zone: &'w str,
    pub health: HealthLevel,
    /// How many it speaks for.
    pub represents: f64,
    pub age: Micros,
}

impl BelievedReport<'_> {
    /// Trips behind it, as far as they still count.
    fn weight(&self) -> f64 {
        let weight = self.health.confidence() * 0.5f64.powf(self.age as f64 / HALF_LIFE as f64);
        if weight < MIN_WEIGHT {
            0.0
        } else {
            weight * self.represents
        }
    }
}

/// What speaks against a server, and for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    pub against: f64,
    pub in_favor: f64,
    /// What those say who are sure, one way and the other.
    pub confident_against: f64,
    pub confident_in_favor: f64,
    /// Gateways that speak against it.
    pub reporters: BTreeSet<u64>,
    /// And where they stand.
    pub zones: BTreeSet<String>,
}

impl Evidence {
    pub fn is_outlier(&self) -> bool {
        let sum = self.against + self.in_favor;
        // Where as many are sure that it is good, it is the way to it that is bad.
        let of_ways = self.confident_in_favor > self.confident_against;
        self.against >= MIN_EVIDENCE_AGAINST
            && self.reporters.len() >= MIN_REPORTERS
            && self.against >= MIN_SHARE_AGAINST * sum
            && !of_ways
    }

    /// Gateways of more than one place speak against it. Danger: a zone that is cut off sees the rest die, and all of it agrees.
    pub fn is_seen_from_several_zones(&self) -> bool {
        self.zones.len() > 1
    }

    /// Of one that was left: what has been met there since speaks for it.
    pub fn is_healthy(&self) -> bool {
        let sum = self.against + self.in_favor;
        sum >= MIN_EVIDENCE_OF_RECOVERY && self.against < MAX_SHARE_AGAINST_RECOVERED * sum
    }

    /// The more, the surer it is bad.
    pub fn severity(&self) -> f64 {
        self.against / (self.against + self.in_favor).max(f64::MIN_POSITIVE)
    }
}

/// How far each gateway is believed: not at all where half of what it says is contradicted by the others together. Danger: one
/// with a bad link of its own says of all servers that they are bad, and is surest of it.
fn credibility(reports: &[BelievedReport]) -> BTreeMap<u64, f64> {
    let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for report in reports {
        let (against, for_it) = sums.entry(report.server).or_default();
        *(if report.health.is_outlier() { against } else { for_it }) += report.weight();
    }
    let mut judged: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for report in reports.iter().filter(|report| report.weight() > 0.0) {
        let (mut against, mut for_it) = sums[report.server];
        *(if report.health.is_outlier() { &mut against } else { &mut for_it }) -= report.weight();
        let (judged, wrong) = judged.entry(report.instance).or_default();
        if against.max(for_it) >= 1.0 && (against - for_it).abs() > 0.5 {
            *judged += 1;
            *wrong += usize::from((against > for_it) != report.health.is_outlier());
        }
    }
    let weight = |(judged, wrong): (usize, usize)| match judged {
        few if few < MIN_JUDGED_SERVERS => 1.0,
        judged => (1.0 - 2.0 * wrong as f64 / judged as f64).max(0.0),
    };
    judged.into_iter().map(|(run, counts)| (run, weight(counts))).collect()
}

/// The case of each server that somebody speaks of.
pub fn evaluate<'w>(reports: &[BelievedReport<'w>]) -> BTreeMap<&'w str, Evidence> {
    let credibility = credibility(reports);
    let mut cases: BTreeMap<&str, Evidence> = BTreeMap::new();
    for report in reports {
        let weight = report.weight() * credibility.get(&report.instance).copied().unwrap_or(1.0);
        if weight <= 0.0 {
            continue;
        }
        let case = cases.entry(report.server).or_default();
        case.against += weight * report.health.severity();
        case.in_favor += weight * (1.0 - report.health.severity());
        let sure = if report.health.is_outlier() {
            &mut case.confident_against
        } else {
            &mut case.confident_in_favor
        };
        *sure += if report.health.is_confident() { weight } else { 0.0 };
        if report.health.is_outlier() {
            case.reporters.insert(report.instance);
            case.zones.insert(report.zone.into());
        }
    }
    cases
}
