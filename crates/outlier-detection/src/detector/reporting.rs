//! This gateway's observations of each server, and the decision when to report them. While all servers are healthy, nothing is
//! reported. A gateway reports an outlier, and it reports a healthy server if other gateways report that server as an outlier.

use super::OutlierDetector;
use crate::observation::Observation;
use crate::{stable_fraction, HealthLevel, Micros, ServerReport, MILLISECOND, SECOND};

/// Expected number of gateways that report a contrary observation of a server. More reports would add no information.
pub(super) const DISSENTING_REPORTERS: f64 = 8.0;
/// Minimum time between two reports of one gateway on the same server.
const MIN_REPORT_INTERVAL: Micros = 200 * MILLISECOND;
/// How long a report stays valid without being repeated.
const REPORT_LIFETIME: Micros = 3 * SECOND;

#[derive(Clone, Copy, Debug)]
pub(super) struct PublishedReport {
    health: HealthLevel,
    at: Micros,
}

/// This gateway's own observations of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedServer {
    pub observation: Observation,
    pub started_at: u64,
    pub last_report: Option<PublishedReport>,
}

impl ObservedServer {
    /// Whether the health differs enough from the last report to be reported. Without a valid report, this is the case if the
    /// server is an outlier, or if this gateway dissents from the reports of others.
    fn is_reportable(&self, now: Micros, health: HealthLevel, dissents: bool) -> bool {
        let valid_report = self.last_report.filter(|report| now < report.at + REPORT_LIFETIME);
        let Some(report) = valid_report else { return health.is_outlier() || dissents };
        let last = report.health;
        let has_flipped = last.is_outlier() != health.is_outlier();
        // A report with more samples has more weight.
        let gains_confidence = health.is_outlier() && health.samples > last.samples && last.samples < 2;
        has_flipped || gains_confidence
    }

    /// Whether the last report is too recent for another one. The health of a server may change with each attempt.
    fn is_rate_limited(&self, now: Micros) -> bool {
        self.last_report.is_some_and(|report| now < report.at + MIN_REPORT_INTERVAL)
    }
}

impl OutlierDetector {
    /// Records that there is a report against a server. Unless this gateway has reported on the server, it discards its
    /// earlier observations, so that only observations from now on can contradict the report.
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

    /// The number of gateways that this one represents with a contrary observation, or `None` if it is not sampled to report
    /// one. The sample changes with each report lifetime.
    pub(super) fn represented_dissenters(&self, now: Micros, server: &str) -> Option<u16> {
        if !self.suspected_since.contains_key(server) {
            return None;
        }
        let share = (DISSENTING_REPORTERS / self.observers).min(1.0);
        let is_sampled = stable_fraction(&self.local.name, server, now / REPORT_LIFETIME) < share;
        is_sampled.then_some((1.0 / share) as u16)
    }

    /// Reports the observed health of a server if it is reportable, or if it is the result of a trial.
    pub(super) fn report_observation(
        &mut self,
        now: Micros,
        server: &str,
        represented_dissenters: Option<u16>,
    ) {
        let Some(observed) = self.observed.get_mut(server) else { return };
        let Some(health) = observed.observation.health(now) else { return };
        if observed.is_rate_limited(now) {
            return;
        }
        let is_trial = self.last_trials.contains_key(server)
            && self.ejections.contains(server)
            && observed.last_report.is_none();
        if !is_trial && !observed.is_reportable(now, health, represented_dissenters.is_some()) {
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
            represents: if health.is_outlier() { 1 } else { represented_dissenters.unwrap_or(1).max(1) },
        };
        self.received_at.insert((server.into(), self.local.instance), now);
        self.gossip.publish(now, report);
        self.gossip.schedule_round(now);
    }
}
