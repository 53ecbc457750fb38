//! The ledger's hard cases, one event after the other: whose loss a kill is, what a broken link explains, what it does not.

use fernscale_lab::model::clients::{ClientRequest, Idempotency, KeyScope, Plan, RequestClass};
use fernscale_lab::model::discovery::Status;
use fernscale_lab::model::server::{AttemptEnd, SlowStart};
use fernscale_lab::request_ledger::{Arrival, Fate, Link, RequestLedger, RuleBounds};
use fernscale_lab::wire::Answer;
use fernscale_lab::{Micros, MILLISECOND, SECOND};

const HARD_STOP: Micros = SECOND;
const SLACK: Micros = 100 * MILLISECOND;
const COLD: SlowStart = SlowStart { share: 0.2, warm_up: 10 * SECOND, multiple: 3.0, window: SECOND };

fn ledger(group: KeyScope) -> RequestLedger {
    let lane = |name: &str, kind| RequestClass {
        name: name.into(),
        idempotency: kind,
        retention: 5 * SECOND,
        scope: group,
        latency_objective: HARD_STOP / 2,
        deadline: HARD_STOP,
        priority_weight: 1.0,
        work: MILLISECOND,
    };
    let lanes = vec![
        lane("get", Idempotency::Idempotent),
        lane("book", Idempotency::Keyed),
        lane("pay", Idempotency::NonIdempotent),
    ];
    let plan = Plan { name: "p".into(), rate: 10.0, burst: 10.0, price: 1.0, ceiling: Some((10.0, 20.0)) };
    let terms = RuleBounds { grace: 500 * MILLISECOND, slack: SLACK, lanes, plans: vec![plan], largest: 1.0 };
    let mut ledger = RequestLedger::new(terms);
    for (number, name) in ["a", "b"].into_iter().enumerate() {
        ledger.server_started(name, (&format!("zone-{number}"), number as u32), None, 1.0, COLD);
    }
    ledger
}

fn ask(id: u64, lane: usize, at: Micros) -> ClientRequest {
    ClientRequest {
        at,
        id,
        group: 0,
        tenant: 1,
        plan: 0,
        class: lane,
        units: 1,
        first_gateway: 0,
        gateway_spread: 1,
        gateway: 0,
        key: Some(id),
        work: MILLISECOND,
        attempt: 0,
        origin: id,
    }
}

fn asked(ledger: &mut RequestLedger, id: u64, lane: usize, at: Micros) {
    ledger.request_created(&ask(id, lane, at));
    ledger.written(id, 0, at);
}

fn arrive(ledger: &mut RequestLedger, id: u64, box_: &str, at: Micros) -> usize {
    ledger.arrived(&Arrival { at, began: at, server: box_.into(), gateway: 0, id, work: MILLISECOND })
}

/// A trip that runs and is answered.
fn serve(ledger: &mut RequestLedger, id: u64, box_: &str, at: Micros, end: AttemptEnd) {
    let trip = arrive(ledger, id, box_, at);
    ledger.attempt_ended(trip, end);
    ledger.attempt_closed(trip);
}

fn settled(id: u64, box_: &str) -> Answer {
    Answer::Completed(format!("{id:016x}:{box_}").into_bytes())
}

/// How often the rules were broken, in their order.
fn broken(ledger: &RequestLedger) -> [u64; 6] {
    let counts: Vec<u64> = ledger.broken().map(|(_, rule)| rule.count).collect();
    counts.try_into().expect("six rules")
}

const RAN: AttemptEnd = AttemptEnd::Ran { first: true };

#[test]
fn a_gateway_killed_in_mid_answer_loses_nothing_by_itself() {
    let mut ledger = ledger(KeyScope::All);
    asked(&mut ledger, 1, 0, 0);
    ledger.killed(0, 10 * MILLISECOND);
    ledger.unanswered(1, 10 * MILLISECOND, true);
    // Asked after the kill, of the one that started anew: its own loss.
    asked(&mut ledger, 2, 0, SECOND);
    ledger.unanswered(2, SECOND + MILLISECOND, true);
    assert_eq!(broken(&ledger), [1, 0, 0, 0, 0, 0]);
    let fates: Vec<Fate> = ledger.fates().map(|(_, _, fate, _)| fate).collect();
    assert_eq!(fates, [Fate::Excused, Fate::Lost]);
}

#[test]
fn a_try_written_in_the_same_millisecond_as_a_cut_is_the_cuts() {
    let mut ledger = ledger(KeyScope::All);
    asked(&mut ledger, 1, 0, 1000);
    ledger.link_broken(Link::Clients(0), 1000);
    ledger.unanswered(1, 1000, true);
    ledger.link_restored(&Link::Clients(0), 2000);
    // Written at the moment of the mend; and after it.
    asked(&mut ledger, 2, 0, 2000);
    ledger.unanswered(2, 3000, true);
    assert_eq!(broken(&ledger), [0; 6]);
    asked(&mut ledger, 3, 0, 2001);
    ledger.unanswered(3, 3000, true);
    assert_eq!(broken(&ledger)[0], 1);
}

#[test]
fn another_gateways_fault_excuses_nobody() {
    let mut ledger = ledger(KeyScope::All);
    ledger.link_broken(Link::Clients(1), 0);
    ledger.killed(1, 5);
    asked(&mut ledger, 1, 0, 1);
    ledger.unanswered(1, 10, true);
    assert_eq!(broken(&ledger)[0], 1);
}

#[test]
fn an_answer_is_in_time_up_to_the_slack_and_late_beyond_it() {
    let mut ledger = ledger(KeyScope::All);
    let last = HARD_STOP + 50 * MILLISECOND + SLACK;
    for (id, took) in [(1, last), (2, last + 1)] {
        asked(&mut ledger, id, 0, 0);
        ledger.answered(id, took, &Answer::Failed);
    }
    assert_eq!(broken(&ledger), [1, 0, 0, 0, 0, 0]);
}

#[test]
fn a_value_must_be_of_this_transaction_and_of_a_box_that_ran_it() {
    for (answer, end, wrong) in [
        (settled(1, "a"), RAN, 0),
        (settled(1, "b"), RAN, 1),
        (settled(2, "a"), RAN, 1),
        (settled(1, "a"), AttemptEnd::Rejected, 1),
    ] {
        let mut ledger = ledger(KeyScope::All);
        asked(&mut ledger, 1, 0, 0);
        serve(&mut ledger, 1, "a", 10, end);
        ledger.answered(1, 20, &answer);
        assert_eq!(broken(&ledger), [wrong, 0, 0, 0, 0, 0], "{answer:?}");
    }
}

#[test]
fn what_never_ran_may_go_again_and_what_may_have_run_by_its_lane_only() {
    for (lane, end, wrong) in [
        (0, RAN, 0),
        (0, AttemptEnd::Rejected, 0),
        (1, RAN, 0),
        (2, AttemptEnd::Rejected, 0),
        (2, AttemptEnd::Failed, 1),
        (2, AttemptEnd::Dropped, 1),
        (2, RAN, 1),
    ] {
        let mut ledger = ledger(KeyScope::All);
        asked(&mut ledger, 1, lane, 0);
        serve(&mut ledger, 1, "a", 10, end);
        serve(&mut ledger, 1, "b", 20, RAN);
        assert_eq!(broken(&ledger), [0, wrong, 0, 0, 0, 0], "lane {lane}, {end:?}");
    }
}

#[test]
fn a_labelled_one_stays_in_its_group_while_the_group_remembers() {
    for (group, box_, at, wrong) in [
        (KeyScope::Cell, "a", SECOND, 0),
        (KeyScope::Cell, "b", SECOND, 1),
        (KeyScope::Zone, "b", SECOND, 1),
        (KeyScope::All, "b", SECOND, 0),
        (KeyScope::All, "b", 5 * SECOND + SLACK + 1, 0),
        (KeyScope::All, "b", 5 * SECOND + SLACK + 11, 1),
    ] {
        let mut ledger = ledger(group);
        asked(&mut ledger, 1, 1, 0);
        serve(&mut ledger, 1, "a", 10, AttemptEnd::Failed);
        serve(&mut ledger, 1, box_, at, RAN);
        assert_eq!(broken(&ledger), [0, wrong, 0, 0, 0, 0], "{group:?} {box_} {at}");
    }
}

#[test]
fn a_nack_after_a_trip_that_may_have_run_is_a_break_where_a_repeat_would_harm() {
    for (group, lane, end, wrong) in [
        (KeyScope::All, 0, RAN, 0),
        (KeyScope::All, 1, RAN, 0),
        (KeyScope::Cell, 1, RAN, 1),
        (KeyScope::Cell, 1, AttemptEnd::Rejected, 0),
        (KeyScope::All, 2, RAN, 1),
        (KeyScope::All, 2, AttemptEnd::Rejected, 0),
    ] {
        let mut ledger = ledger(group);
        asked(&mut ledger, 1, lane, 0);
        serve(&mut ledger, 1, "a", 10, end);
        ledger.answered(1, 20, &Answer::Rejected { wait_ms: None });
        assert_eq!(broken(&ledger), [0, wrong, 0, 0, 0, 0], "{group:?} lane {lane} {end:?}");
    }
}

#[test]
fn two_trips_out_at_once_are_a_break_unless_a_link_held_the_first_back() {
    for held in [false, true] {
        let mut ledger = ledger(KeyScope::All);
        asked(&mut ledger, 1, 0, 0);
        if held {
            ledger.link_broken(Link::Server(0, "a".into()), 5);
        }
        arrive(&mut ledger, 1, "a", 10);
        arrive(&mut ledger, 1, "b", 20);
        assert_eq!(broken(&ledger), [0, u64::from(!held), 0, 0, 0, 0]);
    }
}

#[test]
fn a_drain_counts_from_when_this_gateway_was_first_told() {
    let mut ledger = ledger(KeyScope::All);
    let until = 500 * MILLISECOND + SLACK;
    ledger.endpoint_notified(0, "a", Status::Terminating, None, 0);
    ledger.endpoint_notified(0, "a", Status::Terminated, None, 400 * MILLISECOND);
    ledger.endpoint_notified(1, "b", Status::Terminating, None, 0);
    arrive(&mut ledger, 1, "a", until);
    arrive(&mut ledger, 2, "b", until + 1);
    assert_eq!(broken(&ledger), [0; 6]);
    arrive(&mut ledger, 3, "a", until + 1);
    assert_eq!(broken(&ledger), [0, 0, 1, 0, 0, 0]);
    ledger.endpoint_notified(0, "a", Status::InService, None, 2 * SECOND);
    arrive(&mut ledger, 4, "a", 2 * SECOND + 1);
    assert_eq!(broken(&ledger), [0, 0, 1, 0, 0, 0], "in service again");
}

#[test]
fn a_cold_box_is_pushed_over_only_by_those_who_knew() {
    for (told, wrong) in [(false, 0), (true, 1)] {
        let mut ledger = ledger(KeyScope::All);
        ledger.server_started("new", ("zone-0", 0), Some(0), 1.0, COLD);
        if told {
            ledger.endpoint_notified(0, "new", Status::InService, Some(0), 0);
        }
        // It can do a fifth of a second of work in a second, and falls at three times that.
        for at in 0..80 {
            let (at, work) = (at * 10 * MILLISECOND, 10 * MILLISECOND);
            ledger.arrived(&Arrival { at, began: at, server: "new".into(), gateway: 0, id: 1000 + at, work });
        }
        assert_eq!(broken(&ledger), [0, 0, 0, wrong, 0, 0]);
    }
}

#[test]
fn a_ceiling_counts_first_trips_only() {
    let mut ledger = ledger(KeyScope::All);
    // A burst of 20; two units of slack, and 10 a second in a quarter of one.
    for id in 0..24 {
        asked(&mut ledger, id, 0, 0);
        serve(&mut ledger, id, "a", 0, AttemptEnd::Rejected);
        serve(&mut ledger, id, "b", 0, RAN);
    }
    assert_eq!(broken(&ledger), [0; 6]);
    for id in 24..25 {
        asked(&mut ledger, id, 0, 0);
        serve(&mut ledger, id, "a", 0, RAN);
    }
    assert_eq!(broken(&ledger), [0, 0, 0, 0, 1, 0]);
}

#[test]
fn a_key_with_two_effects_is_counted_whatever_ids_it_came_under() {
    let mut ledger = ledger(KeyScope::Cell);
    for (id, box_) in [(1, "a"), (2, "b")] {
        let again = ClientRequest { key: Some(77), attempt: id as u32 - 1, origin: 1, ..ask(id, 1, id) };
        ledger.request_created(&again);
        ledger.written(id, 0, id);
        serve(&mut ledger, id, box_, id, RAN);
    }
    assert_eq!(ledger.doubled_keys(), 1);
    assert_eq!(broken(&ledger), [0; 6], "each transaction has kept to its own group");
}

#[test]
fn what_is_sent_on_for_a_client_that_left_is_a_break_beyond_the_slack() {
    // 300 ms, 50 of sockets, and the slack.
    for (after, wrong) in [(0, 0), (440, 0), (460, 1)] {
        let mut ledger = ledger(KeyScope::All);
        asked(&mut ledger, 1, 0, SECOND);
        ledger.client_disconnected(1, SECOND);
        arrive(&mut ledger, 1, "a", SECOND + after * MILLISECOND);
        assert_eq!(broken(&ledger), [0, 0, 0, 0, 0, wrong], "{after} ms after");
    }
}
