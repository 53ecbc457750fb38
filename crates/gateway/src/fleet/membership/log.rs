//! Log records of membership: one for each event of the node. Event names and keys are those that operators' tools search
//! for, so they stay as they are.

use fernscale_membership::node::Event;
use fernscale_membership::packet::Peer;
use slog::{info, warn, Logger};

/// The process of a gateway as the log shows it, which a restart changes.
pub(super) fn process_id(peer: &Peer) -> String {
    format!("{:016x}", peer.instance.0)
}

pub(super) fn log_event(log: &Logger, event: &Event) {
    let name_and_address = |peer: &Peer| format!("{} at {}", peer.name, peer.address);
    match event {
        Event::Joined(peer) => {
            info!(log, #"mesh.joined", "a gateway is there"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Suspected(peer) => {
            info!(log, #"mesh.suspected", "a gateway does not answer"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Refuted(peer) => {
            info!(log, #"mesh.cleared", "a gateway is there after all"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Died(peer) => {
            warn!(log, #"mesh.gone", "a gateway is taken for gone"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::Left(peer) => {
            info!(log, #"mesh.left", "a gateway has left"; "peer" => name_and_address(peer), "run" => process_id(peer));
        }
        Event::DuplicateName(one, other) => warn!(log, #"mesh.name-twice", "two gateways go by one name";
            "peer" => name_and_address(one), "other" => name_and_address(other)),
    }
}
