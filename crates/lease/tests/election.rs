//! Tests of acceptors and candidates under random schedules of message loss, delay, duplication, restarts, lost stores
//! and clocks with different rates.

mod simulation;

use fernscale_lease::acceptor::{Acceptor, DurableState, Event as AcceptorEvent, Output as AcceptorOutput};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest};
use fernscale_lease::{AcceptorSet, FencingToken, Name, ProcessId, MILLISECOND, SECOND};
use simulation::{Message, Simulation, SETTINGS};

fn leases(count: usize) -> Vec<Name> {
    (0..count).map(|index| format!("job-{index}").into()).collect()
}

#[test]
fn a_term_has_one_holder_under_random_faults_and_every_lease_is_held_after_them() {
    for seed in 0..60 {
        let acceptors = [3, 5, 7][seed as usize % 3];
        let leases = leases(3);
        let mut simulation = Simulation::new(acceptors, 4, &leases, seed + 1);
        // Candidates that claim while the last acceptor is being admitted may split the grants of a lease once.
        simulation.run(3 * SECOND + SETTINGS.duration);
        assert!(simulation.are_held(&leases), "seed {seed}: no holder after the start");
        simulation.loss_percent = 20;
        simulation.max_delay = 150 * MILLISECOND;
        for _ in 0..10 {
            let end = simulation.now + 200 * MILLISECOND + simulation.random.below(1_500 * MILLISECOND);
            simulation.run(end);
            let acceptor = simulation.random.below(acceptors as u64) as usize;
            let candidate = simulation.random.below(4) as usize;
            let down = simulation
                .acceptors
                .iter()
                .filter(|acceptor| acceptor.as_ref().is_none_or(|(own, _)| !own.is_voting()))
                .count();
            match simulation.random.below(6) {
                // Fewer than half of the acceptors are down at a time, and at most one acceptor has lost its store.
                0 | 1 if 2 * (down + 1) < acceptors => simulation.acceptors[acceptor] = None,
                2 if down == 0 => {
                    simulation.acceptors[acceptor] = None;
                    simulation.disks[acceptor] = DurableState::default();
                    simulation.start_acceptor(acceptor);
                }
                3 => simulation.start_candidate(candidate, &leases),
                4 => simulation.candidates[candidate] = None,
                _ => {}
            }
            for index in 0..acceptors {
                if simulation.acceptors[index].is_none() && simulation.random.below(3) == 0 {
                    simulation.start_acceptor(index);
                }
            }
        }
        simulation.loss_percent = 0;
        simulation.max_delay = 2 * MILLISECOND;
        for index in 0..acceptors {
            if simulation.acceptors[index].is_none() {
                simulation.start_acceptor(index);
            }
        }
        for index in 0..4 {
            if simulation.candidates[index].is_none() {
                simulation.start_candidate(index, &leases);
            }
        }
        simulation.run(simulation.now + 2 * SETTINGS.duration + 3 * SECOND);
        assert!(simulation.are_held(&leases), "seed {seed}: no holder in the end");
    }
}

#[test]
fn a_lease_is_held_again_within_its_duration_after_a_crash_and_at_once_after_a_release() {
    let leases = leases(20);
    let mut simulation = Simulation::new(3, 3, &leases, 5);
    simulation.run(3 * SECOND);
    let held = |simulation: &Simulation| leases.iter().filter(|lease| simulation.is_held(lease)).count();
    assert_eq!(held(&simulation), 20);
    // The first candidate holds most leases, as it claimed first.
    simulation.candidates[0] = None;
    simulation.run(simulation.now + SETTINGS.duration + SECOND);
    assert_eq!(held(&simulation), 20);
    let release_all = |simulation: &mut Simulation, index: usize| {
        simulation.candidates[index].as_mut().expect("the process runs").release_all();
        simulation.drain_candidate(index);
        simulation.candidates[index] = None;
    };
    simulation.start_candidate(0, &leases);
    simulation.run(simulation.now + SECOND);
    release_all(&mut simulation, 1);
    let start = simulation.now;
    while held(&simulation) < 20 {
        assert!(
            simulation.now < start + SETTINGS.duration + SECOND,
            "other candidates have not acquired the released leases"
        );
        simulation.run(simulation.now + 5 * MILLISECOND);
    }
}

#[test]
fn terms_rise_across_a_crash_of_all_acceptors() {
    let leases = leases(2);
    let mut simulation = Simulation::new(5, 2, &leases, 9);
    simulation.run(3 * SECOND);
    let before = simulation.last_token.clone();
    (0..5).for_each(|index| simulation.acceptors[index] = None);
    simulation.run(simulation.now + SECOND);
    // One acceptor has lost its store.
    simulation.disks[2] = DurableState::default();
    (0..5).for_each(|index| simulation.start_acceptor(index));
    simulation.run(simulation.now + 3 * SETTINGS.duration);
    assert!(simulation.acceptors.iter().flatten().all(|(acceptor, _)| acceptor.is_voting()));
    assert!(simulation.are_held(&leases));
    assert!(leases.iter().all(|lease| simulation.last_token[lease] >= before[lease]));
    assert!(simulation
        .events
        .iter()
        .any(|(_, event)| *event == AcceptorEvent::StartedVoting { recovered: true }));
}

/// At the first start, one acceptor learns before the others that no acceptor has promised anything. If it promised at
/// once, the others could never be admitted.
#[test]
fn acceptors_that_hear_each_other_at_different_times_at_the_first_start_all_vote() {
    for seed in 1..20 {
        let leases = leases(3);
        let mut simulation = Simulation::new(3, 2, &leases, seed);
        // Messages to two of the acceptors are lost for two seconds.
        let end = simulation.now + 2 * SECOND;
        while simulation.now < end {
            simulation.in_transit.retain(|_, message| match message {
                Message::Request(to, ..) | Message::PeerReply(to, ..) => *to == 0,
                _ => true,
            });
            simulation.run(simulation.now + MILLISECOND);
        }
        simulation.run(simulation.now + 4 * SETTINGS.duration);
        assert!(
            simulation.acceptors.iter().flatten().all(|(acceptor, _)| acceptor.is_voting()),
            "seed {seed}"
        );
        assert!(simulation.are_held(&leases), "seed {seed}");
    }
}

/// The set of three acceptors changes twice while holders change: each change replaces one acceptor. Promises of the
/// first set bind the last set.
#[test]
fn a_term_keeps_its_holder_across_changes_of_the_acceptor_set() {
    for seed in 1..20 {
        let leases = leases(3);
        let mut simulation = Simulation::new(5, 0, &leases, seed);
        (3..5).for_each(|index| simulation.acceptors[index] = None);
        let three_acceptors =
            |from: usize| -> Vec<Name> { (from..from + 3).map(|index| format!("v{index}").into()).collect() };
        simulation.acceptor_set = AcceptorSet::initial(&three_acceptors(0));
        (0..3).for_each(|index| simulation.disks[index] = DurableState::default());
        (0..3).for_each(|index| simulation.start_acceptor(index));
        simulation.candidates = (0..4).map(|_| None).collect();
        simulation.clock_rates.resize(9, 1_000_000);
        (0..4).for_each(|index| simulation.start_candidate(index, &leases));
        simulation.run(simulation.now + 3 * SECOND);
        assert!(simulation.are_held(&leases), "seed {seed}: at first");
        simulation.loss_percent = 10;
        simulation.max_delay = 60 * MILLISECOND;
        for number in 1..3 {
            let before = simulation.acceptor_set.names.clone();
            simulation.acceptor_set =
                AcceptorSet { epoch: number as u32, names: three_acceptors(number), previous_names: before };
            // The previous members and the new member restart in a random order, and candidates restart in between.
            let mut sequence: Vec<usize> = (number - 1..number + 3).collect();
            for index in (1..sequence.len()).rev() {
                sequence.swap(index, simulation.random.below(index as u64 + 1) as usize);
            }
            for index in sequence {
                simulation.start_acceptor(index);
                let candidate = simulation.random.below(4) as usize;
                simulation.start_candidate(candidate, &leases);
                let end = simulation.now + simulation.random.below(900 * MILLISECOND);
                simulation.run(end);
            }
            (0..4).for_each(|index| simulation.start_candidate(index, &leases));
            simulation.run(simulation.now + 3 * SETTINGS.duration + 3 * SECOND);
            assert!(simulation.are_held(&leases), "seed {seed}: after change {number}");
            let voting = |index: &usize| {
                simulation.acceptors[*index].as_ref().is_some_and(|(acceptor, _)| acceptor.is_voting())
            };
            assert_eq!((0..5).filter(voting).collect::<Vec<_>>(), (number..number + 3).collect::<Vec<_>>());
        }
        assert!(simulation.events.iter().any(|(_, event)| *event == AcceptorEvent::Retired));
    }
}

/// Two candidates that claim at once each get the grant of one acceptor. Neither candidate must wait for the expiry of
/// the other's grant, as the other candidate abandons its claim too.
#[test]
fn candidates_that_split_the_acceptors_do_not_wait_for_each_others_grants() {
    for seed in 1..25 {
        let leases = leases(6);
        let mut simulation = Simulation::new(3, 3, &leases, seed);
        simulation.run(3 * SECOND + SETTINGS.duration);
        // Messages take longer than the start delay between candidates, and one acceptor's disk has failed.
        simulation.max_delay = 12 * MILLISECOND;
        let time = simulation.local_time(2);
        simulation.acceptors[2].as_mut().expect("the process runs").0.write_completed(time, 0, false);
        simulation.run(simulation.now + SECOND);
        assert!(simulation.are_held(&leases), "seed {seed}");
        simulation.candidates[1] = None;
        simulation.run(simulation.now + SETTINGS.duration + SECOND);
        assert!(simulation.are_held(&leases), "seed {seed}: not held after a lease duration and a second");
    }
}

/// A holder and an acceptor crash, and two candidates claim the holder's leases at once. For one lease duration the
/// restarted acceptor does not know the holders. If a candidate treated this as a lease of a live holder, the leases
/// would have no holder for a second duration.
#[test]
fn an_acceptor_that_restarts_does_not_withhold_the_lease_of_a_crashed_holder_twice() {
    for seed in 1..40 {
        let leases = leases(6);
        let mut simulation = Simulation::new(3, 3, &leases, seed);
        simulation.run(3 * SECOND + SETTINGS.duration);
        assert!(simulation.are_held(&leases), "seed {seed}");
        simulation.max_delay = 12 * MILLISECOND;
        let outdated_state = simulation.disks[0].clone();
        // The leases are acquired with higher terms, which the outdated store lacks.
        simulation.start_candidate(0, &leases);
        simulation.run(simulation.now + SETTINGS.duration + SECOND);
        assert!(simulation.are_held(&leases), "seed {seed}: not held after a lease duration and a second");
        simulation.acceptors[0] = None;
        simulation.candidates[1] = None;
        simulation.run(simulation.now + SECOND);
        if seed % 2 == 0 {
            simulation.disks[0] = outdated_state;
        }
        simulation.start_acceptor(0);
        simulation.run(simulation.now + SETTINGS.duration);
        let without: Vec<_> = leases.iter().filter(|lease| !simulation.is_held(lease)).collect();
        assert!(
            without.is_empty(),
            "seed {seed}: {without:?} have no holder after a lease duration and a second"
        );
    }
}

#[test]
fn an_outdated_store_is_detected_and_readmitted() {
    let leases = leases(1);
    let mut simulation = Simulation::new(3, 2, &leases, 11);
    simulation.run(2 * SECOND);
    let outdated_state = simulation.disks[0].clone();
    // The holder ends, so that the acceptors promise another term.
    let holder = (0..2).find(|index| {
        let candidate = simulation.candidates[*index].as_ref().expect("the process runs");
        candidate.authorization(simulation.local_time(3 + index), &leases[0]).is_some()
    });
    simulation.candidates[holder.expect("a candidate holds the lease")] = None;
    simulation.run(simulation.now + SETTINGS.duration + SECOND);
    assert!(
        simulation.disks[0].write_count > outdated_state.write_count,
        "the acceptor has promised nothing since the copy"
    );
    simulation.disks[0] = outdated_state;
    simulation.start_acceptor(0);
    simulation.run(simulation.now + SECOND);
    let outputs: Vec<_> = simulation.events.iter().map(|(_, event)| event.clone()).collect();
    assert!(
        outputs.contains(&AcceptorEvent::LostPromises)
            && outputs.contains(&AcceptorEvent::StartedVoting { recovered: true }),
        "{outputs:?}"
    );
    assert_eq!(simulation.disks[0].promises, simulation.disks[1].promises);
}

#[test]
fn without_a_majority_no_lease_is_held_and_a_failed_disk_makes_no_promise() {
    let leases = leases(1);
    let mut simulation = Simulation::new(3, 2, &leases, 3);
    simulation.run(2 * SECOND);
    (0..2).for_each(|index| simulation.acceptors[index] = None);
    simulation.run(simulation.now + SETTINGS.duration + 100 * MILLISECOND);
    assert!(!simulation.is_held(&leases[0]));
    let mut acceptor = Acceptor::new(
        &"a".into(),
        ProcessId(1),
        &AcceptorSet::initial(&["a".into()]),
        SETTINGS,
        DurableState::default(),
        0,
    );
    let mut number = 0;
    // The acceptor first initializes its store, and votes once a majority of the set has initialized its stores.
    for now in [0, 1] {
        acceptor.handle_timeout(now);
        while let Some(output) = acceptor.poll_output() {
            if let AcceptorOutput::Persist { number: own, .. } = output {
                number = own;
            }
        }
        acceptor.write_completed(now, number, true);
    }
    assert!(acceptor.is_voting());
    let token = FencingToken { term: 1, process: ProcessId(7) };
    let set = AcceptorSet::initial(&["a".into()]).id();
    acceptor.handle_request(
        2,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token, round: 1, acceptors: set },
    );
    acceptor.write_completed(3, number + 1, false);
    acceptor.handle_request(
        4,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token, round: 2, acceptors: set },
    );
    let mut outputs = Vec::new();
    while let Some(output) = acceptor.poll_output() {
        outputs.push(output);
    }
    assert!(
        !outputs.iter().any(|output| matches!(
            output,
            AcceptorOutput::Reply { reply: AcceptorReply::Granted { .. }, .. }
        )),
        "{outputs:?}"
    );
    assert!(outputs.contains(&AcceptorOutput::Event(AcceptorEvent::StorageFailed)) && !acceptor.is_voting());
}
