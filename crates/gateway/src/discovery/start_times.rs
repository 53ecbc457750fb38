//! When servers started, by this gateway's own clock.
//!
//! Discovery tells starts as Unix times. Each is turned into a time of the gateway's clock once, when it is first reported, and
//! stays that: whatever the wall clock is set to later, a server grows older as time goes by.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// A start that is reported so long after it, µs, is not believed to be that old: servers are listed within seconds, and within
/// minutes where discovery is down. The wall clock may have been wrong when this process started.
const MAX_REPORT_DELAY: Micros = 600_000_000;
/// Servers that are remembered. Beyond, those that a whole list does not name are forgotten.
const MAX_REMEMBERED: usize = 16 * 1024;

/// The start of one server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As discovery tells it.
    listed: Micros,
    /// By the gateway's clock.
    local: Micros,
}

/// The starts that are known.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<Id, Start>,
    /// A list of discovery has been read: what is new in the next has started meanwhile.
    has_read_list: bool,
}

impl StartTimes {
    /// Puts times of the gateway's clock in the place of those that a list tells. `least_age` says how long ago a Unix time
    /// was, µs, at the least: a server that is taken for warm too early is overloaded by all gateways, one that is taken for
    /// cold too long is used less for some seconds.
    pub fn read(&mut self, now: Micros, least_age: impl Fn(Micros) -> Micros, update: &mut EndpointUpdate) {
        for (endpoint, _) in &mut update.servers {
            endpoint.started_at = self.of_server(now, &least_age, endpoint);
        }
        if update.full && self.starts.len() > MAX_REMEMBERED {
            let listed: HashSet<&Id> = update.servers.iter().map(|(endpoint, _)| &endpoint.server).collect();
            self.starts.retain(|server, _| listed.contains(server));
        }
    }

    /// The same for a list that discovery has given just now.
    pub fn read_news(
        &mut self,
        now: Micros,
        least_age: impl Fn(Micros) -> Micros,
        update: &mut EndpointUpdate,
    ) {
        self.read(now, least_age, update);
        self.has_read_list |= !update.servers.is_empty();
    }

    fn of_server(
        &mut self,
        now: Micros,
        least_age: impl Fn(Micros) -> Micros,
        endpoint: &Endpoint,
    ) -> Option<Micros> {
        let listed_start = endpoint.listed_start?;
        let known = self.starts.get(&endpoint.server).copied();
        if let Some(known) = known.filter(|known| known.listed == listed_start) {
            return Some(known.local);
        }
        let age = least_age(listed_start);
        // A word on an earlier start than the known one is an old word, and nothing new has started.
        let new = known.map_or(self.has_read_list, |known| listed_start > known.listed);
        let age = if new && age > MAX_REPORT_DELAY { 0 } else { age };
        let local = now.saturating_sub(age);
        self.starts.insert(endpoint.server.clone(), Start { listed: listed_start, local });
        Some(local)
    }
}
