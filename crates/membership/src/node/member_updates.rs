//! Dissemination of membership: which claims about members are still to be sent, and how often. It ends with the choice of
//! claims for one datagram; whether a claim is true, the member table decides.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use fernscale_shared_counter::pn_counter::Instance;

use super::members::MemberTable;
use crate::packet::MemberUpdate;

/// Bytes that a claim takes beside the member's name, at the most.
const UPDATE_OVERHEAD_BYTES: usize = 48;

/// Members whose state changed lately, with the transmissions that remain of each.
#[derive(Default)]
pub(super) struct MemberUpdateQueue {
    remaining: BTreeMap<Instance, u32>,
}

impl MemberUpdateQueue {
    /// Sends the state of a member so many times from now on.
    pub fn enqueue(&mut self, instance: Instance, transmissions: u32) {
        self.remaining.insert(instance, transmissions);
    }

    /// The claims that fit into so many bytes, those that were sent least first; one transmission of each is used up.
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
