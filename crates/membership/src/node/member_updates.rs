//! Dissemination of membership: the queue of membership updates and their remaining transmissions. It chooses the updates for
//! each datagram. The member table decides which updates are valid.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use fernscale_shared_counter::pn_counter::Instance;

use super::members::MemberTable;
use crate::packet::MemberUpdate;

/// Maximum encoded size of an update without the member's name.
const UPDATE_OVERHEAD_BYTES: usize = 48;

/// Members whose state changed recently, with the remaining transmissions of each.
#[derive(Default)]
pub(super) struct MemberUpdateQueue {
    remaining: BTreeMap<Instance, u32>,
}

impl MemberUpdateQueue {
    /// Schedules the given number of transmissions of a member's state.
    pub fn enqueue(&mut self, instance: Instance, transmissions: u32) {
        self.remaining.insert(instance, transmissions);
    }

    /// Takes the updates that fit into `free_bytes`, the least often sent first, and uses up one transmission of each.
    pub fn take(&mut self, members: &MemberTable, mut free_bytes: usize) -> Vec<MemberUpdate> {
        let mut queued: Vec<(u32, Instance)> =
            self.remaining.iter().map(|(instance, remaining)| (*remaining, *instance)).collect();
        queued.sort_unstable_by_key(|entry| Reverse(*entry));
        let mut updates = Vec::new();
        for (remaining, instance) in queued {
            let Some(member) = members.get(instance) else {
                self.remaining.remove(&instance);
                continue;
            };
            let size = member.peer.name.len() + UPDATE_OVERHEAD_BYTES;
            if size > free_bytes {
                break;
            }
            free_bytes -= size;
            updates.push(member.update());
            if remaining <= 1 {
                self.remaining.remove(&instance);
            } else {
                self.remaining.insert(instance, remaining - 1);
            }
        }
        updates
    }
}
