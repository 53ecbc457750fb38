//! The status of the detector for operators. This module only reads the detector's state.

use super::ejections::EjectionScope;
use super::{OutlierDetector, Reporters, Server, MAX_EJECTED_SHARE};
use crate::evidence::Evidence;
use crate::status::{OutlierView, ServerStatus, ServerView};
use crate::trial_permit::Interval;
use crate::{stable_hash, HealthLevel, Micros, MILLISECOND};

impl OutlierDetector {
    /// The status of all servers, for operators. `shared_time` is the time of the clock that all gateways share.
    pub fn status(&self, now: Micros, shared_time: Micros) -> OutlierView {
        let evidence = self.evidence(now, Reporters::All);
        let interval = Interval::at(shared_time);
        let total_weight: f64 = self.servers.iter().map(|server| server.weight).sum();
        let mut ejected_weight = 0.0;
        let mut servers = Vec::new();
        for server in &self.servers {
            ejected_weight += if self.ejections.contains(&server.name) { server.weight } else { 0.0 };
            let evidence = evidence.get(&server.name).cloned().unwrap_or_default();
            servers.push(self.server_view(now, interval, server, evidence));
        }
        OutlierView {
            gateway: self.local.name.clone(),
            ejected_share: if total_weight > 0.0 { ejected_weight / total_weight } else { 0.0 },
            max_ejected_share: MAX_EJECTED_SHARE,
            servers,
        }
    }

    fn server_view(
        &self,
        now: Micros,
        interval: Interval,
        server: &Server,
        evidence: Evidence,
    ) -> ServerView {
        let observed = self.observed.get(&server.name).and_then(|observed| observed.observation.health(now));
        let ejected_since = self.ejections.since(&server.name);
        ServerView {
            server: server.name.clone(),
            status: self.server_status(&server.name, observed),
            observed,
            against: evidence.against,
            in_favor: evidence.in_favor,
            reporters: evidence.reporters.len() as u32,
            ejected_ms: ejected_since.map(|since| now.saturating_sub(since) / MILLISECOND),
            next_trial: ejected_since.and_then(|_| self.first_in_trial_order(&server.name, interval)),
        }
    }

    fn server_status(&self, server: &str, observed: Option<HealthLevel>) -> ServerStatus {
        if let Some(ejection) = self.ejections.get(server) {
            return match (ejection.returns_at, ejection.scope) {
                (Some(_), _) => ServerStatus::Returning,
                (None, EjectionScope::OwnZone) => ServerStatus::EjectedForZone,
                (None, EjectionScope::AllZones) => ServerStatus::EjectedForAll,
            };
        }
        if self.ejections.is_spared(server) {
            ServerStatus::Spared
        } else if observed.is_some_and(HealthLevel::is_outlier) {
            ServerStatus::OutlierHere
        } else {
            ServerStatus::Healthy
        }
    }

    fn first_in_trial_order(&self, server: &str, interval: Interval) -> Option<String> {
        let gateways = self.live.iter().map(|peer| &peer.name).chain([&self.local.name]);
        gateways.min_by_key(|gateway| stable_hash(gateway, server, interval.number)).cloned()
    }
}
