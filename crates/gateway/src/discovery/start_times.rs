//! The times at which servers started, by this gateway's own clock.
//!
//! Discovery lists starts as Unix times. Each start is converted to a time of the gateway's clock once, when it is first listed.
//! Later changes of the wall clock therefore do not change the age of a server.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// The maximum age of a new start, in microseconds. Servers are listed within seconds of their start, and within minutes if
/// discovery is down. An older new start means that the wall clock was wrong when this process started; the server is then assumed
/// to have started now.
const MAX_LISTING_DELAY: Micros = 600_000_000;
/// The number of remembered servers beyond which those missing from a complete list are forgotten.
const MAX_REMEMBERED: usize = 16 * 1024;

/// The start of one server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// The start that discovery lists, a Unix time.
    listed: Micros,
    /// The start by the gateway's clock.
    local: Micros,
}

/// The known starts of servers.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: HashMap<Id, Start>,
    /// Whether discovery has given a list since the start of this process. If so, a server that is new in a later list has started
    /// in the meantime.
    has_read_list: bool,
}

impl StartTimes {
    /// Replaces the starts in a list by times of the gateway's clock, whose present time is `now`. `min_age` gives the minimum age of
    /// a Unix time, in microseconds. The minimum is the safe choice: a server considered older than it is gets too much load from
    /// all gateways, while a server considered younger gets less load for some seconds.
    pub fn apply(&mut self, now: Micros, min_age: impl Fn(Micros) -> Micros, update: &mut EndpointUpdate) {
        for (endpoint, _) in &mut update.servers {
            endpoint.started_at = self.started_at(now, &min_age, endpoint);
        }
        if update.full && self.starts.len() > MAX_REMEMBERED {
            let listed: HashSet<&Id> = update.servers.iter().map(|(endpoint, _)| &endpoint.server).collect();
            self.starts.retain(|server, _| listed.contains(server));
        }
    }

    /// Like [`apply`](Self::apply), for a list that was just received from discovery.
    pub fn apply_new(
        &mut self,
        now: Micros,
        min_age: impl Fn(Micros) -> Micros,
        update: &mut EndpointUpdate,
    ) {
        self.apply(now, min_age, update);
        self.has_read_list |= !update.servers.is_empty();
    }

    /// The start that discovery lists for a server, which tells its processes apart; `None` if it lists none.
    pub fn listed(&self, server: &Id) -> Option<Micros> {
        self.starts.get(server).map(|start| start.listed)
    }

    /// When the server started by the gateway's clock; `None` if its start is not listed.
    fn started_at(
        &mut self,
        now: Micros,
        min_age: impl Fn(Micros) -> Micros,
        endpoint: &Endpoint,
    ) -> Option<Micros> {
        let listed = endpoint.listed_start?;
        let known = self.starts.get(&endpoint.server).copied();
        if let Some(known) = known.filter(|known| known.listed == listed) {
            return Some(known.local);
        }
        let age = min_age(listed);
        // A start earlier than the known one comes from an old list: the server has not restarted.
        let is_new = known.map_or(self.has_read_list, |known| listed > known.listed);
        let age = if is_new && age > MAX_LISTING_DELAY { 0 } else { age };
        let local = now.saturating_sub(age);
        self.starts.insert(endpoint.server.clone(), Start { listed, local });
        Some(local)
    }
}
