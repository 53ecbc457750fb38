//! The engine's part for the list of servers: lists, subsets, ejections by peers and the operators' cordons.

use rand::Rng;

use super::Engine;
use crate::deadline::TimerToken;
use crate::event::{Endpoint, Id, Micros, Subset};
use crate::host::Host;
use crate::slow_start::{is_warming_up, SlowStartBudget};
use crate::subset::{self, GatewayPosition};

impl<H: Host> Engine<H> {
    /// A full list of the servers has come, or changes to it.
    pub fn endpoints_updated(&mut self, full: bool, entries: &[Endpoint]) {
        let now = self.host.now();
        self.list_backoff.reset();
        if !full && entries.is_empty() {
            return;
        }
        if full {
            self.servers.clear_ready();
        }
        for entry in entries {
            if self.servers.entry(&entry.server).is_new(entry) {
                // All gateways learn of it at once: budgets that start at random keep them from sending in step.
                let budget = SlowStartBudget::new(self.rng.gen(), now);
                self.servers.reset(&entry.server, entry.started_at, budget);
            }
            self.servers.entry(&entry.server).update(entry);
        }
        self.servers.remove_stale(now);
        self.assign_servers(now);
    }

    /// The endpoint list could not be had, or the watch on it has ended; it is watched again after a backoff.
    pub fn endpoints_unavailable(&mut self) {
        let delay = self.list_backoff.next_delay(self.settings.list_poll_interval, &mut self.rng);
        self.host.set_timer(delay, &TimerToken::Watch.to_string());
    }

    /// The servers that this gateway uses from now on, as assigned among all gateways; without them it uses a stretch
    /// of the ring.
    pub fn set_subset(&mut self, subset: Option<Subset>) {
        self.subset = subset;
        self.assign_servers(self.host.now());
    }

    /// Other gateways have found a server to be an outlier, or no longer: meanwhile no first attempt goes there.
    pub fn set_ejected(&mut self, server: &Id, on: bool) {
        if let Some(server) = self.servers.get_mut(server) {
            server.ejected_by_peers = on;
        }
        self.assign_servers(self.host.now());
    }

    fn assign_servers(&mut self, now: Micros) {
        let gateway =
            GatewayPosition { index: self.settings.gateway_index, count: self.settings.gateway_count };
        let subset = self.subset.as_ref();
        let settings = &self.settings;
        let fleet_limit = &mut self.fleet_limit;
        self.servers.assign(|ring| {
            fleet_limit.set_gateways_per_server(subset::assign(ring, gateway, subset));
            for (_, server) in ring.iter_mut() {
                let warming_up = is_warming_up(server.listed_start(), settings, now);
                server.limit.initialize(fleet_limit, warming_up);
            }
        });
    }

    /// The operators take a server out of use, whatever the list says of it.
    pub fn cordon(&mut self, server: &Id) {
        self.host.close_idle_connections(server);
        self.servers.entry(server).cordon();
    }

    /// The operators took a server back into use at that time. It has started since it was cordoned, though the list
    /// may not say so yet.
    pub fn uncordon(&mut self, server: &Id, at: Micros) {
        let now = self.host.now();
        let retained_until = at + self.settings.slow_start_duration;
        // Some of many gateways serve it at once: operators call all of them at about one time.
        let attempts = self.fleet_limit.initial_limit().max(self.rng.gen()).min(1.0);
        let budget = SlowStartBudget::new(attempts, now);
        self.servers.entry(server).uncordon(at, retained_until, budget, now);
    }

    /// Whether a server is avoided now, as cordoned or as ejected by this gateway.
    pub fn is_avoided(&self, server: &Id) -> bool {
        let now = self.host.now();
        let Some(server) = self.servers.get(server) else { return false };
        server.cordoned || server.ready && server.failures.is_ejected(now)
    }
}
