//! The membership checker: for each rule a history that violates it and one that does not; and checking a stored history again
//! gives the same result.

use fernscale_lab::checkers::membership::{MembershipBounds, MembershipChecker};
use fernscale_lab::history::{check, Checker, Event, Head, LinkTraffic, Recorder};
use fernscale_lab::request_ledger::RuleBounds;
use fernscale_lab::{Micros, MILLISECOND, SECOND};
use serde_json::json;

const COUNT: u32 = 5;

fn fleet_bounds() -> MembershipBounds {
    let addresses = (0..COUNT).map(|gateway| format!("127.0.0.{}:1", gateway + 1)).collect();
    MembershipBounds { gateways: COUNT, addresses, settle_time: 10 * SECOND, counter_knows: true }
}

fn views(checker: &mut dyn Checker, at: Micros, running: &[u32], but: impl Fn(u32) -> Vec<u32>) {
    for gateway in running {
        let lacks = but(*gateway);
        let seen = running.iter().filter(|other| *other != gateway && !lacks.contains(other));
        let live = seen.map(|other| fleet_bounds().addresses[*other as usize].clone()).collect();
        checker.observe(at, &Event::MembershipView { gateway: *gateway, live, suspected: Vec::new() });
    }
}

fn started() -> MembershipChecker {
    let mut checker = MembershipChecker::new(fleet_bounds());
    (0..COUNT).for_each(|gateway| checker.observe(0, &Event::Started { gateway }));
    checker
}

fn gone(observer: u32, peer_number: u32) -> Event {
    let peer = format!("gateway-{peer_number} at {}", fleet_bounds().addresses[peer_number as usize]);
    let fields = json!({ "peer": peer });
    Event::Record { gateway: observer, event: "mesh.gone".into(), fields, within: 2 * MILLISECOND }
}

/// Number of violations of `members`, `reached` and `counts`.
fn broken(checker: &dyn Checker) -> Vec<u64> {
    checker.rules().iter().map(|(_, broken)| broken.count).collect()
}

const ALL: [u32; 5] = [0, 1, 2, 3, 4];

#[test]
fn a_missing_member_is_a_violation_only_after_the_settle_time() {
    let mut checker = started();
    checker.observe(2 * SECOND, &Event::Killed { gateway: 4 });
    views(&mut checker, 9 * SECOND, &ALL[..4], |_| vec![2]);
    assert_eq!(broken(&checker), [0, 0, 0]);
    views(&mut checker, 13 * SECOND, &ALL[..4], |gateway| if gateway == 1 { vec![2] } else { Vec::new() });
    checker.finish(14 * SECOND);
    assert_eq!(broken(&checker), [1, 0, 0]);

    // A gateway that is still visible though it has ended, and one whose view was never recorded.
    let mut checker = started();
    checker.observe(2 * SECOND, &Event::Killed { gateway: 4 });
    views(&mut checker, 13 * SECOND, &ALL, |_| Vec::new());
    assert!(broken(&checker)[0] >= 4);
    let mut checker = started();
    views(&mut checker, 13 * SECOND, &ALL[..4], |gateway| if gateway == 4 { Vec::new() } else { vec![4] });
    checker.finish(14 * SECOND);
    assert!(broken(&checker)[0] > 0);
}

#[test]
fn declaring_a_gateway_dead_that_a_majority_reaches_is_a_violation() {
    let cut = |checker: &mut MembershipChecker, at, from, to, on| {
        checker.observe(at, &Event::TrafficBlocked { from, to, traffic: LinkTraffic::Datagrams, on });
    };
    let mut checker = started();
    // One of four links is cut, in one direction.
    cut(&mut checker, SECOND, 0, 1, true);
    checker.observe(10 * SECOND, &gone(0, 1));
    assert_eq!(broken(&checker), [0, 1, 0]);
    // Three of four links are cut: the gateway may be declared dead, also for a while after the cut ends.
    let mut checker = started();
    (0..3).for_each(|other| cut(&mut checker, SECOND, 4, other, true));
    checker.observe(5 * SECOND, &gone(0, 4));
    (0..3).for_each(|other| cut(&mut checker, 6 * SECOND, 4, other, false));
    checker.observe(8 * SECOND, &gone(1, 4));
    assert_eq!(broken(&checker), [0, 0, 0]);
    checker.observe(20 * SECOND, &gone(1, 4));
    assert_eq!(broken(&checker), [0, 1, 0]);
    // A gateway that is cut off from most others may be wrong about any gateway; a paused gateway may be declared dead.
    let mut checker = started();
    (0..4).for_each(|other| cut(&mut checker, SECOND, other, 4, true));
    checker.observe(SECOND, &Event::Paused { gateway: 3 });
    checker.observe(9 * SECOND, &gone(4, 0));
    checker.observe(9 * SECOND, &gone(0, 3));
    assert_eq!(broken(&checker), [0, 0, 0]);
    // Two faults on one link: after the end of one, the other still blocks it.
    let mut checker = started();
    for other in 0..3 {
        cut(&mut checker, SECOND, 4, other, true);
        cut(&mut checker, SECOND, 4, other, true);
        cut(&mut checker, 2 * SECOND, 4, other, false);
    }
    checker.observe(20 * SECOND, &gone(0, 4));
    assert_eq!(broken(&checker), [0, 0, 0]);
}

#[test]
fn only_an_earlier_run_of_a_reachable_gateway_may_be_declared_dead() {
    let of_run = |run: &str| {
        let Event::Record { gateway, event, mut fields, within } = gone(0, 1) else { panic!("a record") };
        fields["run"] = json!(run);
        Event::Record { gateway, event, fields, within }
    };
    let mut checker = started();
    let fields = json!({ "run": "b" });
    checker.observe(SECOND, &Event::Record { gateway: 1, event: "mesh.starts".into(), fields, within: 0 });
    checker.observe(20 * SECOND, &of_run("a"));
    assert_eq!(broken(&checker), [0, 0, 0]);
    checker.observe(20 * SECOND, &of_run("b"));
    assert_eq!(broken(&checker), [0, 1, 0]);
}

fn added(gateway: u32, amount: f64) -> Event {
    Event::CounterAdded { gateway, key: "q".into(), amount, lifetime: 60 * SECOND }
}

fn sums(gateway: u32, total: f64) -> Event {
    Event::CounterTotals { gateway, totals: vec![("q".into(), total, 30_000)] }
}

/// The number of violations of `counts`, where three gateways know these totals at the end.
fn counts(events: &[(Micros, Event)], totals: [f64; 3]) -> u64 {
    let mut checker = started();
    for (at, event) in events {
        checker.observe(*at, event);
    }
    for (gateway, total) in totals.into_iter().enumerate() {
        checker.observe(30 * SECOND, &sums(gateway as u32, total));
    }
    checker.finish(30 * SECOND);
    broken(&checker)[2]
}

#[test]
fn a_total_that_is_too_small_or_too_large_is_a_violation() {
    let events = [(SECOND, added(0, 5.0)), (2 * SECOND, added(1, 7.0))];
    assert_eq!(counts(&events, [12.0; 3]), 0);
    // A gateway that adds nothing to the key need not know the whole total, but none may know a larger one.
    assert_eq!(counts(&events, [12.0, 12.0, 5.0]), 0);
    assert!(counts(&events, [12.0, 11.0, 12.0]) > 0);
    assert!(counts(&events, [12.0, 12.0, 13.0]) > 0);
    assert!(counts(&events, [11.0, 11.0, 11.0]) > 0);
    // Amounts that a killed gateway had no time to report are lost with it; amounts that it added earlier are not.
    let killed = (2 * SECOND + 300 * MILLISECOND, Event::Killed { gateway: 1 });
    assert_eq!(counts(&[events.as_slice(), &[killed]].concat(), [5.0, 5.0, 5.0]), 0);
    let killed = (8 * SECOND, Event::Killed { gateway: 1 });
    assert!(counts(&[events.as_slice(), &[killed]].concat(), [5.0, 5.0, 5.0]) > 0);
}

#[test]
fn checking_a_stored_history_again_gives_the_same_result() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("history.jsonl");
    let bounds = RuleBounds { grace: 0, slack: 0, classes: Vec::new(), plans: Vec::new(), max_units: 1.0 };
    let head = Head {
        scenario: "s".into(),
        seed: 7,
        bounds,
        fleet: Some(fleet_bounds()),
        owners: None,
        subsets: None,
        signals: None,
    };
    let mut recorder = Recorder::new(&head);
    recorder.write_to(&file, &head).expect("kept");
    for gateway in ALL {
        recorder.record(0, Event::Started { gateway });
    }
    recorder.record(SECOND, Event::Crashed { gateway: 3 });
    recorder.record(10 * SECOND, gone(0, 1));
    recorder.finish(20 * SECOND);
    let results = |recorder: &Recorder| -> Vec<(String, u64, Vec<String>)> {
        let rule = |(name, broken): (&'static str, &fernscale_lab::request_ledger::Violations)| {
            (name.to_string(), broken.count, broken.instances.clone())
        };
        recorder.rules().into_iter().map(rule).collect()
    };
    let (again, checked) = check(&file).expect("it is read");
    assert_eq!((again.seed, checked.recorded), (7, 7));
    // A stored history ends at its last event, not at a later time.
    let (one, other) = (results(&recorder), results(&checked));
    for (one, other) in one.iter().zip(&other).filter(|(one, _)| one.0 != "members") {
        assert_eq!(one, other);
    }
    assert!(one.iter().any(|(name, count, _)| name == "answers" && *count == 1));
    assert!(one.iter().any(|(name, count, _)| name == "reached" && *count == 1));

    std::fs::write(&file, "").expect("written");
    assert!(check(&file).err().expect("empty").to_string().contains("begins with the bounds"));
    std::fs::write(&file, "{}").expect("written");
    assert!(check(&file).err().expect("unclear").to_string().contains("line 1"));
}
