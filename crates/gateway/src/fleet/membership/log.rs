//! What the log says of other gateways.

use fernscale_membership::node::Event;
use fernscale_membership::packet::Peer;
use slog::{info, warn, Logger};

/// Tells one run of a gateway from another, in the log.
pub(super) fn run(peer: &Peer) -> String {
    format!("{:016x}", peer.instance.0)
}

pub(super) fn tell(log: &Logger, event: &Event) {
    let of = |peer: &Peer| format!("{} at {}", peer.name, peer.address);
    match event {
        Event::Joined(peer) => {
            info!(log, #"mesh.joined", "a gateway is there"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Suspected(peer) => {
            info!(log, #"mesh.suspected", "a gateway does not answer"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Refuted(peer) => {
            info!(log, #"mesh.cleared", "a gateway is there after all"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Died(peer) => {
            warn!(log, #"mesh.gone", "a gateway is taken for gone"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Left(peer) => {
            info!(log, #"mesh.left", "a gateway has left"; "peer" => of(peer), "run" => run(peer))
        }
        Event::DuplicateName(one, other) => warn!(log, #"mesh.name-twice", "two gateways go by one name";
            "peer" => of(one), "other" => of(other)),
    }
}
