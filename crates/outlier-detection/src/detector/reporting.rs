//! What this gateway observed at each server, and when it reports that. While all servers are healthy nothing is reported; an
//! outlier is, and so is a contrary observation where others report one.

use super::OutlierDetector;
use crate::observation::Observation;
use crate::{stable_fraction, HealthLevel, Micros, ServerReport, MILLISECOND, SECOND};

/// Gateways that are to report a contrary observation, of all that have one: more would add nothing.
pub(super) const DISSENTING_REPORTERS: f64 = 8.0;
/// The shortest time between two reports of one gateway on one server.
const MIN_REPORT_INTERVAL: Micros = 200 * MILLISECOND;
/// How long a report stands without being repeated.
const REPORT_LIFETIME: Micros = 3 * SECOND;

#[derive(Clone, Copy, Debug)]
pub(super) struct PublishedReport {
    health: HealthLevel,
    at: Micros,
}

/// What this gateway knows of a server by itself.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedServer {
    pub observation: Observation,
    pub started_at: u64,
    pub last_report: Option<PublishedReport>,
}

impl ObservedServer {
    /// Whether a level of health differs enough from the last report, or objects to others' reports.
    fn is_news(&self, now: Micros, health: HealthLevel, objects: bool) -> bool {
        let standing = self.last_report.filter(|report| now < report.at + REPORT_LIFETIME);
        let Some(report) = standing else { return health.is_outlier() || objects };
        let last = report.health;
        let has_flipped = last.is_outlier() != health.is_outlier();
        // One that rests on more samples has more weight.
        let is_surer = health.is_outlier() && health.samples > last.samples && last.samples < 2;
        has_flipped || is_surer
    }

    /// Whether the last report is too recent for another: a server may alternate with each attempt.
    fn is_rate_limited(&self, now: Micros) -> bool {
        self.last_report.is_some_and(|report| now < report.at + MIN_REPORT_INTERVAL)
    }
}

impl OutlierDetector {
    /// There is a report against a server. What was observed before does not speak for it: gateways object by what they
    /// observe from now on.
    pub(super) fn suspect(&mut self, now: Micros, server: &str) {
        if self.suspected_since.contains_key(server) {
            return;
        }
        self.suspected_since.insert(server.into(), now);
        if let Some(observed) = self.observed.get_mut(server) {
            if observed.last_report.is_none() {
                observed.observation = Observation::default();
            }
        }
    }

    /// For how many gateways this one reports a contrary observation, if it is among the few that do. They are sampled anew for
    /// each lifetime of a report.
    pub(super) fn dissents_for(&self, now: Micros, server: &str) -> Option<u16> {
        if !self.suspected_since.contains_key(server) {
            return None;
        }
        let share = (DISSENTING_REPORTERS / self.observers).min(1.0);
        let is_sampled = stable_fraction(&self.local.name, server, now / REPORT_LIFETIME) < share;
        is_sampled.then_some((1.0 / share) as u16)
    }

    /// Reports what is observed at a server if that is news, or if it is the result of a trial.
    pub(super) fn report_observation(&mut self, now: Micros, server: &str, dissents_for: Option<u16>) {
        let Some(observed) = self.observed.get_mut(server) else { return };
        let Some(health) = observed.observation.health(now) else { return };
        if observed.is_rate_limited(now) {
            return;
        }
        let is_trial = self.last_trials.contains_key(server)
            && self.ejections.contains(server)
            && observed.last_report.is_none();
        if !is_trial && !observed.is_news(now, health, dissents_for.is_some()) {
            return;
        }
        observed.last_report = Some(PublishedReport { health, at: now });
        let started_at = observed.started_at;
        if health.is_outlier() {
            self.suspected_since.entry(server.into()).or_insert(now);
        }
        self.last_version += 1;
        let report = ServerReport {
            instance: self.local.instance,
            server: server.into(),
            started_at,
            version: self.last_version,
            zone: self.local.zone.clone(),
            health,
            represents: if health.is_outlier() { 1 } else { dissents_for.unwrap_or(1).max(1) },
        };
        self.received_at.insert((server.into(), self.local.instance), now);
        self.gossip.publish(now, report);
        self.gossip.schedule_round(now);
    }
}
