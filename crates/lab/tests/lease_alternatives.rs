//! Two ways to own a job that were weighed and are not taken, and how each gives a job to two: a lock at the counter, and
//! membership alone. And what the mesh carries for those that are.

use std::collections::BTreeSet;

use fernscale_lab::membership_simulation::SimulatedFleet;
use fernscale_lab::model::counter::{Counter, Reply, Spec};
use fernscale_lab::{Micros, MILLISECOND, SECOND};
use fernscale_lease::ranking::{first_ranked, Participant};
use fernscale_membership::node::{Config, Node, Output};
use fernscale_membership::packet::{MemberState, PacketBody, Peer};
use fernscale_membership::payload::{Channel, SendError, MAX_DATAGRAM_PAYLOAD};
use fernscale_shared_counter::pn_counter::Instance;

/// Whoever adds the first one to a term's name has the lock of that term.
fn locks(counter: &mut Counter, now: Micros, term: u64) -> bool {
    let (said, _) = counter.add(now, &format!("lock:bills:{term}"), 1.0, 60 * SECOND);
    said == Reply::Total(1.0)
}

#[test]
fn a_lock_at_the_counter_gives_one_term_to_two_once_it_is_emptied_or_split_or_its_name_ends() {
    let spec = Spec { capacity: 1_000.0, latency: MILLISECOND, queue: 100.0, connections: 4 };
    let mut counter = Counter::new(spec.clone(), 1);
    assert!(locks(&mut counter, SECOND, 1));
    assert!(!locks(&mut counter, 2 * SECOND, 1));
    counter.empty();
    assert!(locks(&mut counter, 3 * SECOND, 1), "two owners of one term");

    let mut counter = Counter::new(spec.clone(), 1);
    let mut other = counter.split(2);
    assert!(locks(&mut counter, SECOND, 1) && locks(&mut other, SECOND, 1));

    let mut counter = Counter::new(spec, 1);
    assert!(locks(&mut counter, SECOND, 1));
    assert!(locks(&mut counter, 70 * SECOND, 1));
}

#[test]
fn by_membership_alone_a_parted_fleet_has_two_owners() {
    let mut mesh = SimulatedFleet::new(7, 3);
    mesh.run(5 * SECOND);
    let owners = |mesh: &SimulatedFleet| -> BTreeSet<String> {
        let views = (0..7).filter_map(|at| mesh.node(at));
        let first = views.filter_map(|node| {
            let live =
                node.live_members().map(|member| member.peer.name.clone()).chain([node.local().name.clone()]);
            let all: Vec<_> = live.map(|name| Participant { name: name.into(), unwilling: false }).collect();
            first_ranked("bills", &all).filter(|first| **first == *node.local().name)
        });
        first.map(|name| name.to_string()).collect()
    };
    assert_eq!(owners(&mesh).len(), 1);
    for (one, other) in (0..7).flat_map(|one| (0..7).map(move |other| (one, other))) {
        if (one < 3) != (other < 3) {
            mesh.cut(one, other);
        }
    }
    mesh.run(mesh.now + 15 * SECOND);
    assert_eq!(owners(&mesh).len(), 2, "each takes itself for the one");
}

fn peer(number: u64) -> Peer {
    let address = ([127, 0, 0, 1], 1_000 + number as u16).into();
    Peer { name: format!("gateway-{number}"), instance: Instance(number), address }
}

#[test]
fn messages_go_to_live_gateways_only_short_ones_by_datagrams_and_none_beyond_its_kinds_bound() {
    let (mut one, mut other) = (
        Node::new(Config { local: peer(1), seeds: vec![peer(2).address] }, 1, 0),
        Node::new(Config { local: peer(2), seeds: vec![] }, 2, 0),
    );
    let mut meet = || {
        for now in (0..3).map(|second| second * SECOND) {
            one.handle_timeout(now);
            while let Some(output) = one.poll_output() {
                if let Output::SendDatagram { packet, .. } = output {
                    other.handle_packet(now, peer(1).address, packet);
                }
            }
            while let Some(output) = other.poll_output() {
                if let Output::SendDatagram { packet, .. } = output {
                    one.handle_packet(now, peer(2).address, packet);
                }
            }
        }
    };
    meet();
    while one.poll_output().is_some() {}
    let mut send = |to: &str, length: usize| one.send_to(to, Channel::Lease, vec![7; length]);
    assert_eq!(send("gateway-9", 1), Err(SendError::UnknownGateway));
    assert_eq!(send("gateway-2", Channel::Lease.max_bytes() + 1), Err(SendError::TooLong));
    assert_eq!(send("gateway-2", MAX_DATAGRAM_PAYLOAD), Ok(()));
    assert_eq!(send("gateway-2", MAX_DATAGRAM_PAYLOAD + 1), Ok(()));
    assert_eq!(one.send_to_instance(Instance(9), Channel::Lease, vec![]), Err(SendError::UnknownGateway));
    let Some(Output::SendDatagram { to, packet }) = one.poll_output() else { panic!("no datagram") };
    assert!(to == peer(2).address && matches!(packet.body, PacketBody::Payload(_)));
    assert!(matches!(one.poll_output(), Some(Output::SendStream { .. })));
    while other.poll_output().is_some() {}
    other.handle_packet(3 * SECOND, peer(1).address, packet);
    let came = std::iter::from_fn(|| other.poll_output()).find_map(|output| match output {
        Output::Received(came) => Some(came),
        _ => None,
    });
    assert!(came.is_some_and(|came| came.sender == peer(1) && came.body.len() == MAX_DATAGRAM_PAYLOAD));
    assert!(other.members().all(|member| member.state == MemberState::Alive));
    one.leave(4 * SECOND);
    assert_eq!(one.send_to("gateway-2", Channel::EndpointList, vec![1]), Err(SendError::NodeLeft));
}
