//! What the log says of other gateways.

use fernscale_membership::node::Event;
use fernscale_membership::packet::Peer;
use slog::{info, warn, Logger};

/// Tells one run of a gateway from another, in the log.
pub(super) fn process_id(peer: &Peer) -> String {
    format!("{:016x}", peer.instance.0)
}

pub(super) fn log_event(log: &Logger, event: &Event) {
    let named = |peer: &Peer| format!("{} at {}", peer.name, peer.address);
    match event {
        Event::Joined(peer) => {
            info!(log, #"mesh.joined", "a gateway is there"; "peer" => named(peer), "run" => process_id(peer))
        }
        Event::Suspected(peer) => {
            info!(log, #"mesh.suspected", "a gateway does not answer"; "peer" => named(peer), "run" => process_id(peer))
        }
        Event::Refuted(peer) => {
            info!(log, #"mesh.cleared", "a gateway is there after all"; "peer" => named(peer), "run" => process_id(peer))
        }
        Event::Died(peer) => {
            warn!(log, #"mesh.gone", "a gateway is taken for gone"; "peer" => named(peer), "run" => process_id(peer))
        }
        Event::Left(peer) => {
            info!(log, #"mesh.left", "a gateway has left"; "peer" => named(peer), "run" => process_id(peer))
        }
        Event::DuplicateName(one, other) => warn!(log, #"mesh.name-twice", "two gateways go by one name";
            "peer" => named(one), "other" => named(other)),
    }
}
