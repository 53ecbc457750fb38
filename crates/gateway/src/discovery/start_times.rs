//! When servers started, by this gateway's own clock.
//!
//! Discovery tells starts as Unix times. Each is turned into a time of the gateway's clock once, when it is first told, and
//! stays that: whatever the wall clock is set to later, a server grows older as time goes by.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// A start that is told so long after it, µs, is not believed to be that old: servers are listed within seconds, and within
/// minutes where discovery is down. The wall clock may have been wrong when this process started.
const LONGEST_UNTOLD: Micros = 600_000_000;
/// Servers that are remembered. Beyond, those that a whole list does not name are forgotten.
const MOST_SERVERS: usize = 16 * 1024;

/// The start of one server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As discovery tells it.
    told: Micros,
    /// By the gateway's clock.
    own: Micros,
}

/// The starts that are known.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<Id, Start>,
    /// A list of discovery has been read: what is new in the next has started meanwhile.
    listed: bool,
}

impl StartTimes {
    /// Puts times of the gateway's clock in the place of those that a list tells. `least_age` says how long ago a Unix time
    /// was, µs, at the least: a server that is taken for warm too early is overloaded by all gateways, one that is taken for
    /// cold too long is used less for some seconds.
    pub fn read(&mut self, now: Micros, least_age: impl Fn(Micros) -> Micros, members: &mut EndpointUpdate) {
        for (listed, _) in &mut members.servers {
            listed.started_at = self.of_server(now, &least_age, listed);
        }
        if members.full && self.starts.len() > MOST_SERVERS {
            let named: HashSet<&Id> = members.servers.iter().map(|(listed, _)| &listed.server).collect();
            self.starts.retain(|server, _| named.contains(server));
        }
    }

    /// The same for a list that discovery has given just now.
    pub fn read_news(
        &mut self,
        now: Micros,
        least_age: impl Fn(Micros) -> Micros,
        members: &mut EndpointUpdate,
    ) {
        self.read(now, least_age, members);
        self.listed |= !members.servers.is_empty();
    }

    fn of_server(
        &mut self,
        now: Micros,
        least_age: impl Fn(Micros) -> Micros,
        listed: &Endpoint,
    ) -> Option<Micros> {
        let told = listed.listed_start?;
        let known = self.starts.get(&listed.server).copied();
        if let Some(known) = known.filter(|known| known.told == told) {
            return Some(known.own);
        }
        let age = least_age(told);
        // A word on an earlier start than the known one is an old word, and nothing new has started.
        let new = known.map_or(self.listed, |known| told > known.told);
        let age = if new && age > LONGEST_UNTOLD { 0 } else { age };
        let own = now.saturating_sub(age);
        self.starts.insert(listed.server.clone(), Start { told, own });
        Some(own)
    }
}
