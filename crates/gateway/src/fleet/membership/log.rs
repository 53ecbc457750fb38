//! Log records of the membership, one for each event of the node. Operators' tools search for the event names and field
//! names, so these names must not change.

use fernscale_membership::node::Event;
use fernscale_membership::packet::Peer;
use slog::{info, warn, Logger};

/// The id of a gateway's process in the log. A restarted gateway has a new id.
pub(super) fn process_id(peer: &Peer) -> String {
    format!("{:016x}", peer.instance.0)
}

/// Logs an event of the membership node.
pub(super) fn log_event(log: &Logger, event: &Event) {
    let name_and_address = |peer: &Peer| format!("{} at {}", peer.name, peer.address);
    match event {
        Event::Joined(peer) => {
            info!(log, #"mesh.joined", "a gateway joined"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Suspected(peer) => {
            info!(log, #"mesh.suspected", "a gateway does not reply and is suspected"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Refuted(peer) => {
            info!(log, #"mesh.cleared", "a suspected gateway is alive"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Died(peer) => {
            warn!(log, #"mesh.gone", "a gateway is considered dead"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Left(peer) => {
            info!(log, #"mesh.left", "a gateway left"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::DuplicateName(first, second) => warn!(log, #"mesh.name-twice", "two gateways share a name";
            "peer" => name_and_address(first), "other" => name_and_address(second)),
    }
}
