//! Which servers the list has said to leave, and which word on a server is the newest.

use std::collections::{HashMap, HashSet};

use fernscale_policy::{Endpoint, EndpointState, Id, Micros};

use crate::protocol::catalog::EndpointUpdate;

/// Servers that are remembered after they have left, at most: the lists of a discovery that brings new names without end
/// must not fill the memory. The one whose word is oldest goes first.
const MOST_LEFT: usize = 16 * 1024;

/// Servers that leave, or have left. Nothing begins at one of them, and one comes back only by a newer word, or with a newer
/// start. Danger: words out of order. An agent that is behind, another discovery or a list from before the start may still
/// have a server in service that drains.
#[derive(Default)]
pub struct DrainingEndpoints {
    /// The version of the newest list.
    index: u64,
    /// Those in use, and when each started.
    used: HashMap<Id, Option<Micros>>,
    left: HashMap<Id, Left>,
}

/// The word that a server leaves.
#[derive(Clone, Copy, Default)]
struct Left {
    /// When it had started.
    started: Option<Micros>,
    /// The version that said so, or the first of another row: then nothing in that row has said so.
    index: u64,
    elsewhere: bool,
}

impl DrainingEndpoints {
    /// Goes by a list that has come, and puts right in it what is older than what is known.
    pub fn read(&mut self, members: &mut EndpointUpdate) {
        if members.moved || members.index < self.index {
            // Another row of versions. That one still has a server in it is no newer word than that it leaves.
            let anew = |left: &mut Left| (left.index, left.elsewhere) = (members.index, true);
            self.left.values_mut().for_each(anew);
        }
        self.index = members.index;
        if members.full {
            let listed: HashSet<&Id> = members.servers.iter().map(|(listed, _)| &listed.server).collect();
            let gone: Vec<Id> = self.used.keys().filter(|id| !listed.contains(id)).cloned().collect();
            gone.into_iter().for_each(|id| self.leaves(&id, None));
        }
        for (listed, _) in &mut members.servers {
            if listed.state != EndpointState::Ready {
                self.leaves(&listed.server, listed.started_at);
            } else if self
                .left
                .get(&listed.server)
                .is_some_and(|left| !left.returns(listed, self.index, members.full))
            {
                listed.state = EndpointState::Draining;
            } else {
                self.left.remove(&listed.server);
                self.used.insert(listed.server.clone(), listed.started_at);
            }
        }
        if self.left.len() > MOST_LEFT {
            self.forget_oldest();
        }
    }

    /// Goes by an answer that was refused, of which only this is taken: that these leave.
    pub fn leave(&mut self, servers: &[Id]) {
        for id in servers {
            if self.used.contains_key(id) {
                self.leaves(id, None);
            }
        }
    }

    /// Forgets an eighth of those that have left: to look for the oldest each time would cost more than all the list.
    fn forget_oldest(&mut self) {
        let mut words: Vec<u64> = self.left.values().map(|left| left.index).collect();
        words.sort_unstable();
        let newest_forgotten = words[words.len() - MOST_LEFT + MOST_LEFT / 8 - 1];
        self.left.retain(|_, left| left.index > newest_forgotten);
    }

    fn leaves(&mut self, id: &Id, started: Option<Micros>) {
        let before = self.left.get(id).and_then(|left| left.started);
        let started = started.max(self.used.remove(id).flatten()).max(before);
        self.left.insert(id.clone(), Left { started, index: self.index, elsewhere: false });
    }

    /// The version of the newest list.
    pub fn index(&self) -> u64 {
        self.index
    }

    pub fn contains(&self, server: &Id) -> bool {
        self.left.contains_key(server)
    }
}

impl Left {
    /// Whether a list of this version has the server back. A whole list repeats old words, changes are new ones.
    fn returns(&self, listed: &Endpoint, index: u64, full: bool) -> bool {
        listed.started_at > self.started || index > self.index && !(full && self.elsewhere)
    }
}
