//! Tests of the ranks of gateways for leases.

use std::collections::{BTreeMap, BTreeSet};

use fernscale_lease::ranking::{first_ranked, rank_of, Participant};
use fernscale_lease::Name;

fn leases(count: usize) -> Vec<Name> {
    (0..count).map(|at| format!("job-{at}").into()).collect()
}

fn participants(count: usize) -> Vec<Participant> {
    (0..count).map(|at| Participant { name: format!("gateway-{at}").into(), unwilling: false }).collect()
}

#[test]
fn leases_are_spread_evenly_and_few_move_with_a_gateway() {
    let leases = leases(1_000);
    let participants_before = participants(30);
    let participants_after = participants(29);
    let mut leases_per_gateway: BTreeMap<Name, usize> = BTreeMap::new();
    let mut moved = 0;
    for lease in &leases {
        let first = first_ranked(lease, &participants_before).expect("at least one participant");
        moved +=
            usize::from(first != first_ranked(lease, &participants_after).expect("at least one participant"));
        *leases_per_gateway.entry(first).or_default() += 1;
    }
    // Each gateway ranks first for about 1,000 / 30 leases, with the variance of a hash.
    assert!(
        leases_per_gateway.len() == 30 && leases_per_gateway.values().all(|leases| (15..60).contains(leases)),
        "{leases_per_gateway:?}"
    );
    // Only the leases of the removed gateway move.
    assert!(moved < 60, "{moved} leases moved");
}

#[test]
fn an_unwilling_participant_ranks_last_and_every_rank_is_taken_once() {
    let mut participants = participants(5);
    let chosen = first_ranked("job", &participants).expect("at least one participant");
    participants
        .iter_mut()
        .find(|participant| participant.name == chosen)
        .expect("the participant exists")
        .unwilling = true;
    assert_eq!(rank_of("job", &participants, &chosen), Some(4));
    let ranks: BTreeSet<_> =
        participants.iter().map(|participant| rank_of("job", &participants, &participant.name)).collect();
    assert_eq!(ranks, (0..5).map(Some).collect());
    assert_eq!(rank_of("job", &participants, "stranger"), None);
}
