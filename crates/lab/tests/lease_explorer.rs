//! Every interleaving, within stated bounds, of three voters and two that want one job: nothing is ever wrong, and each mistake
//! that is made on purpose is found within the same bounds.

use fernscale_lab::explore::{explore, Bounds, Found, System};
use fernscale_lab::lease_explorer::{FaultBudget, LeaseSystem, SeededMistake, Step};

const BOUNDS: Bounds = Bounds { depth: 200, states: 400_000 };

/// Whatever one thing out of the usual does: a message lost, doubled or overtaken, a voter that ends, time that jumps.
const ONE: FaultBudget = FaultBudget {
    odd: 1,
    lost: 1,
    doubled: 1,
    overtaken: 1,
    jumps: 1,
    crashes: 1,
    lose_folder: false,
    advances: 6,
    effects: 1,
    change: None,
};

/// A voter that ends while messages are lost and overtaken.
const CRASH: FaultBudget =
    FaultBudget { odd: 5, lost: 2, doubled: 0, overtaken: 2, jumps: 0, advances: 3, effects: 0, ..ONE };

/// Clocks that run unevenly, and processes that stand still.
const CLOCKS: FaultBudget =
    FaultBudget { odd: 2, doubled: 0, crashes: 0, overtaken: 2, jumps: 2, effects: 0, ..ONE };

/// The voters change, each at any moment of what goes on: whoever gets the new configuration first or last.
const CHANGE: FaultBudget =
    FaultBudget { odd: 0, doubled: 0, crashes: 0, effects: 0, change: Some([3, 0, 1, 2]), ..ONE };

fn played(seeded: SeededMistake, trouble: FaultBudget) -> Found<Step> {
    explore(LeaseSystem::new(seeded, trouble), BOUNDS)
}

fn right(trouble: FaultBudget) {
    let found = played(SeededMistake::None, trouble);
    assert!(found.wrong.is_none() && found.whole, "{:?} after {} states", found.wrong, found.states);
}

fn found(seeded: SeededMistake, trouble: FaultBudget, what: &str) {
    let found = played(seeded, trouble);
    let (wrong, steps) = found.wrong.expect("it is found");
    assert!(wrong.contains(what), "{wrong}");
    // The steps lead there.
    let told = LeaseSystem::new(seeded, trouble).told(&steps);
    assert_eq!(told.len(), steps.len());
}

#[test]
fn one_thing_out_of_the_usual_is_never_wrong() {
    right(ONE);
    right(FaultBudget { lose_folder: true, ..ONE });
}

#[test]
fn a_voter_that_ends_while_messages_are_lost_is_never_wrong() {
    right(FaultBudget { lose_folder: true, ..CRASH });
}

#[test]
fn uneven_clocks_are_never_wrong() {
    right(CLOCKS);
}

#[test]
fn voters_that_change_under_two_who_want_the_job_are_never_wrong() {
    right(CHANGE);
    right(FaultBudget { change: Some([0, 3, 2, 1]), ..CHANGE });
}

/// What is explored is no change that never comes about: in the end who goes by the new voters owns the job.
#[test]
fn the_new_voters_make_an_owner() {
    let mut owners = LeaseSystem::new(SeededMistake::None, FaultBudget { advances: 60, ..CHANGE });
    [3, 0, 1, 2].into_iter().for_each(|at| owners.take(&Step::Change(at)));
    while owners.owner().is_none_or(|owner| owner.0 != 101) {
        let step = owners.steps().first().cloned().expect("it goes on until then");
        owners.take(&step);
    }
}

#[test]
fn voters_that_go_by_a_change_at_once_are_found() {
    found(SeededMistake::NoFreeze, CHANGE, "two own the job");
}

#[test]
fn an_answer_before_the_promise_is_durable_is_found() {
    found(SeededMistake::EarlyAnswer, CRASH, "two own the job");
}

#[test]
fn a_voter_that_forgets_and_votes_on_is_found() {
    found(SeededMistake::Forgets, FaultBudget { lose_folder: true, ..CRASH }, "two own the job");
}

#[test]
fn a_run_that_comes_back_under_its_old_name_is_found() {
    found(SeededMistake::Reused, ONE, "was won after term");
}

#[test]
fn an_effect_without_its_fence_is_found() {
    found(SeededMistake::NoFence, FaultBudget { crashes: 0, lost: 0, ..ONE }, "came after a later one's");
}

#[test]
fn a_lease_without_its_margin_is_found() {
    found(SeededMistake::NoMargin, CLOCKS, "two own the job");
}
