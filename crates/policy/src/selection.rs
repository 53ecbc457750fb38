//! Selects a server for an attempt by weighted round robin. Other modules decide whether the request is sent at
//! all.

use crate::deadline::DEADLINE_MARGIN;
use crate::endpoints::{EndpointTable, Server};
use crate::event::{Id, Micros};
use crate::in_flight::Attempt;
use crate::numeric::NEGLIGIBLE;
use crate::settings::{Idempotency, KeyScope, RequestClass};
use crate::slow_start::SlowStartRules;

/// Restricts a request with an idempotency key to the servers that remember the key, once an attempt may have
/// run.
pub struct KeyBinding {
    /// The zone or cell, if the key's scope is one.
    group: Option<u32>,
    /// When the servers forget the key.
    expires_at: Micros,
}

impl KeyBinding {
    /// The binding of a request with these attempts; `None` if the class has no idempotency key or no attempt
    /// may have run.
    ///
    /// If the server of the first such attempt has left the table, its group is unknown and no server is
    /// eligible.
    pub fn from_attempts(
        class: &RequestClass,
        attempts: &[Attempt],
        servers: &EndpointTable,
    ) -> Option<Self> {
        let Idempotency::Keyed { retention, .. } = class.idempotency else { return None };
        let first = attempts.iter().find(|attempt| attempt.may_have_run)?;
        let Some(server) = servers.get(&first.server) else {
            return Some(KeyBinding { group: None, expires_at: 0 });
        };
        Some(KeyBinding { group: scope_group(class, server), expires_at: first.sent_at + retention })
    }

    /// The time by which another attempt must have been sent in full. The margin covers its way to the server.
    pub fn send_before(&self) -> Micros {
        self.expires_at.saturating_sub(DEADLINE_MARGIN)
    }

    fn admits(&self, class: &RequestClass, server: &Server, now: Micros) -> bool {
        now < self.expires_at && self.group == scope_group(class, server)
    }
}

/// The zone or cell whose servers share their memory of keys; `None` if all servers share it.
fn scope_group(class: &RequestClass, server: &Server) -> Option<u32> {
    match class.idempotency {
        Idempotency::Keyed { scope: KeyScope::Zone, .. } => Some(server.zone),
        Idempotency::Keyed { scope: KeyScope::Cell, .. } => Some(server.cell),
        _ => None,
    }
}

/// The inputs of one selection.
pub struct Selection<'a> {
    /// The request's class.
    pub class: &'a RequestClass,
    /// The attempts already made for the request.
    pub attempts: &'a [Attempt],
    /// The binding to the servers that remember its idempotency key.
    pub binding: Option<KeyBinding>,
    /// The rules for servers in slow start.
    pub slow_start: SlowStartRules<'a>,
}

impl Selection<'_> {
    /// Selects the next server, or returns `None` if no server has capacity for the request.
    pub fn choose(&self, servers: &mut EndpointTable) -> Option<Id> {
        let is_eligible = |(id, server): &(&Id, &Server)| self.is_eligible(id, server);
        let with_weight = |(id, server): (&Id, &Server)| (id.clone(), self.weight(server));
        let candidates: Vec<(Id, f64)> = match self.binding {
            None => servers.assigned().filter(is_eligible).map(with_weight).collect(),
            Some(_) => servers.iter().filter(is_eligible).map(with_weight).collect(),
        };
        let sum = candidates.iter().map(|(_, weight)| weight).sum::<f64>().max(f64::MIN_POSITIVE);
        for (id, weight) in &candidates {
            servers.get_mut(id).expect("a candidate is in the table").credit += weight / sum;
        }
        let credit = |id: &Id| servers.get(id).map_or(0.0, |server| server.credit);
        // Reversed because `max_by` returns the last of equal maxima, and the first is needed.
        let ids = candidates.into_iter().map(|(id, _)| id).rev();
        ids.max_by(|id, other| credit(id).total_cmp(&credit(other)))
    }

    fn is_eligible(&self, id: &Id, server: &Server) -> bool {
        let now = self.slow_start.now;
        let usable = match &self.binding {
            None => server.assigned,
            Some(binding) => binding.admits(self.class, server, now),
        };
        usable
            && server.ready
            && !server.cordoned
            && f64::from(server.in_flight) < server.limit.get().max(1.0)
            && !server.failures.is_ejected(now)
            && self.has_slow_start_budget(server)
            && !self.attempts.iter().any(|attempt| attempt.server == *id)
    }

    fn has_slow_start_budget(&self, server: &Server) -> bool {
        let started_at = server.effective_start();
        self.slow_start.is_warm(started_at) || self.slow_start.budget(started_at, &server.slow_start) >= 1.0
    }

    fn weight(&self, server: &Server) -> f64 {
        let capacity = self.slow_start.capacity_share(server.effective_start());
        let speed = server.weight.max(NEGLIGIBLE) * capacity / server.limit.relative_latency();
        // A limit below 1 never excludes a server, because a server may always have one attempt. It reduces the
        // weight instead.
        speed * server.limit.get().min(1.0) * (1.0 - server.failures.share())
    }
}
