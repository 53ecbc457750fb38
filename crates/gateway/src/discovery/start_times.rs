//! When servers started, by this gateway's own clock.
//!
//! Discovery lists starts as Unix times. Each is converted to a time of the gateway's clock once, when it is first listed, and
//! stays that: whatever the wall clock is set to later, a server grows older as time goes by.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// A new start that is listed so much later than it was, in microseconds, is taken for one of this moment: servers are listed within
/// seconds, and within minutes where discovery is down. Danger: the wall clock was wrong when this process started.
const MAX_LISTING_DELAY: Micros = 600_000_000;
/// Servers that are remembered. Beyond it those that a complete list does not have are forgotten.
const MAX_REMEMBERED: usize = 16 * 1024;

/// The start of one server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As discovery lists it.
    listed: Micros,
    /// By the gateway's clock.
    local: Micros,
}

/// The starts that are known.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<Id, Start>,
    /// Discovery has given a list since the start of this process: a server that is new in the next one has started meanwhile.
    has_read_list: bool,
}

impl StartTimes {
    /// Replaces the starts of a list by times of the gateway's clock, which is at `now`. `least_age` says how long ago a Unix time was
    /// at the least, in microseconds: a server that is taken for older than it is gets too much load from all gateways, one taken for
    /// younger gets less load for some seconds.
    pub fn apply(&mut self, now: Micros, least_age: impl Fn(Micros) -> Micros, update: &mut EndpointUpdate) {
        for (endpoint, _) in &mut update.servers {
            endpoint.started_at = self.started_at(now, &least_age, endpoint);
        }
        if update.full && self.starts.len() > MAX_REMEMBERED {
            let listed: HashSet<&Id> = update.servers.iter().map(|(endpoint, _)| &endpoint.server).collect();
            self.starts.retain(|server, _| listed.contains(server));
        }
    }

    /// The same for a list that discovery has given just now.
    pub fn apply_new(
        &mut self,
        now: Micros,
        least_age: impl Fn(Micros) -> Micros,
        update: &mut EndpointUpdate,
    ) {
        self.apply(now, least_age, update);
        self.has_read_list |= !update.servers.is_empty();
    }

    fn started_at(
        &mut self,
        now: Micros,
        least_age: impl Fn(Micros) -> Micros,
        endpoint: &Endpoint,
    ) -> Option<Micros> {
        let listed = endpoint.listed_start?;
        let known = self.starts.get(&endpoint.server).copied();
        if let Some(known) = known.filter(|known| known.listed == listed) {
            return Some(known.local);
        }
        let age = least_age(listed);
        // An earlier start than the known one comes from an old list: nothing new has started.
        let is_new = known.map_or(self.has_read_list, |known| listed > known.listed);
        let age = if is_new && age > MAX_LISTING_DELAY { 0 } else { age };
        let local = now.saturating_sub(age);
        self.starts.insert(endpoint.server.clone(), Start { listed, local });
        Some(local)
    }
}
