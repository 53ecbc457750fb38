//! Engine methods for servers: endpoint lists, subsets, ejections by other gateways and operators' cordons.

use rand::Rng;

use super::Engine;
use crate::deadline::TimerToken;
use crate::event::{Endpoint, Id, Micros, Subset};
use crate::host::Host;
use crate::slow_start::{is_warming_up, SlowStartBudget};
use crate::subset::{self, GatewayPosition};

impl<H: Host> Engine<H> {
    /// Handles a full endpoint list, or changes to it.
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
                // All gateways learn of a new server at the same time. Random initial budgets keep them from
                // sending to it at the same moment.
                let budget = SlowStartBudget::new(self.rng.gen(), now);
                self.servers.reset(&entry.server, entry.started_at, budget);
            }
            self.servers.entry(&entry.server).update(entry);
        }
        self.servers.remove_stale(now);
        self.assign_servers(now);
    }

    /// Handles a failed request for the endpoint list or the end of the watch on it: sets a timer that opens
    /// the watch again after a backoff.
    pub fn endpoints_unavailable(&mut self) {
        let delay = self.list_backoff.next_delay(self.settings.list_poll_interval, &mut self.rng);
        self.host.set_timer(delay, &TimerToken::Watch.to_string());
    }

    /// Sets the subset of servers assigned to this gateway. Without one, the gateway uses a segment of the hash
    /// ring.
    pub fn set_subset(&mut self, subset: Option<Subset>) {
        self.subset = subset;
        self.assign_servers(self.host.now());
    }

    /// Records whether other gateways have ejected a server as an outlier. While it is ejected it gets no first
    /// attempts.
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

    /// Cordons a server: takes it out of use, whatever the endpoint list says.
    pub fn cordon(&mut self, server: &Id) {
        self.host.close_idle_connections(server);
        self.servers.entry(server).cordon();
    }

    /// Uncordons a server: takes it back into use. The server counts as started at `at`, although the endpoint
    /// list may not say so yet.
    pub fn uncordon(&mut self, server: &Id, at: Micros) {
        let now = self.host.now();
        let retained_until = at + self.settings.slow_start_duration;
        // Operators uncordon a server at all gateways at about the same time. With many gateways, only a random
        // part of them sends an attempt to it immediately.
        let attempts = self.fleet_limit.initial_limit().max(self.rng.gen()).min(1.0);
        let budget = SlowStartBudget::new(attempts, now);
        self.servers.entry(server).uncordon(at, retained_until, budget, now);
    }

    /// Whether this gateway sends nothing to a server now, because it is cordoned or because this gateway has
    /// ejected it.
    pub fn is_avoided(&self, server: &Id) -> bool {
        let now = self.host.now();
        let Some(server) = self.servers.get(server) else { return false };
        server.cordoned || server.ready && server.failures.is_ejected(now)
    }
}
