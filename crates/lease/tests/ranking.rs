//! The ranks of gateways for leases.

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
    let all = participants(30);
    let fewer = participants(29);
    let mut each: BTreeMap<Name, usize> = BTreeMap::new();
    let mut moved = 0;
    for lease in &leases {
        let first = first_ranked(lease, &all).expect("there are some");
        moved += usize::from(first != first_ranked(lease, &fewer).expect("there are some"));
        *each.entry(first).or_default() += 1;
    }
    // A thirtieth of a thousand each, with the variance of a hash.
    assert!(each.len() == 30 && each.values().all(|leases| (15..60).contains(leases)), "{each:?}");
    // Only those of the gateway that is gone.
    assert!(moved < 60, "{moved} moved");
}

#[test]
fn an_unwilling_participant_ranks_last_and_every_rank_is_taken_once() {
    let mut all = participants(5);
    let chosen = first_ranked("job", &all).expect("there are some");
    all.iter_mut().find(|own| own.name == chosen).expect("it is there").unwilling = true;
    assert_eq!(rank_of("job", &all, &chosen), Some(4));
    let ranks: BTreeSet<_> = all.iter().map(|own| rank_of("job", &all, &own.name)).collect();
    assert_eq!(ranks, (0..5).map(Some).collect());
    assert_eq!(rank_of("job", &all, "stranger"), None);
}
