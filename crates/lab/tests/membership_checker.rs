//! The judge of a fleet: for each of its rules a history that breaks it, and one that does not; and a history that was kept
//! gives the same verdict again.

use fernscale_lab::checkers::membership::{MembershipBounds, MembershipChecker};
use fernscale_lab::history::{check, Checker, Event, Head, LinkTraffic, Recorder};
use fernscale_lab::request_ledger::RuleBounds;
use fernscale_lab::{Micros, MILLISECOND, SECOND};
use serde_json::json;

const COUNT: u32 = 5;

fn size() -> MembershipBounds {
    let addresses = (0..COUNT).map(|gateway| format!("127.0.0.{}:1", gateway + 1)).collect();
    MembershipBounds { gateways: COUNT, addresses, settles: 10 * SECOND, counter_knows: true }
}

fn views(judge: &mut dyn Checker, at: Micros, running: &[u32], but: impl Fn(u32) -> Vec<u32>) {
    for gateway in running {
        let lacks = but(*gateway);
        let seen = running.iter().filter(|other| *other != gateway && !lacks.contains(other));
        let live = seen.map(|other| size().addresses[*other as usize].clone()).collect();
        judge.observe(at, &Event::MembershipView { gateway: *gateway, live, suspected: Vec::new() });
    }
}

fn started() -> MembershipChecker {
    let mut judge = MembershipChecker::new(size());
    (0..COUNT).for_each(|gateway| judge.observe(0, &Event::Started { gateway }));
    judge
}

fn gone(teller: u32, of: u32) -> Event {
    let peer = format!("gateway-{of} at {}", size().addresses[of as usize]);
    let fields = json!({ "peer": peer });
    Event::Record { gateway: teller, event: "mesh.gone".into(), fields, within: 2 * MILLISECOND }
}

/// How often members, reached and counts were broken.
fn broken(judge: &dyn Checker) -> Vec<u64> {
    judge.rules().iter().map(|(_, broken)| broken.count).collect()
}

const ALL: [u32; 5] = [0, 1, 2, 3, 4];

#[test]
fn a_member_that_is_lacking_too_long_after_the_last_fault_is_caught_and_not_before() {
    let mut judge = started();
    judge.observe(2 * SECOND, &Event::Killed { gateway: 4 });
    views(&mut judge, 9 * SECOND, &ALL[..4], |_| vec![2]);
    assert_eq!(broken(&judge), [0, 0, 0]);
    views(&mut judge, 13 * SECOND, &ALL[..4], |gateway| if gateway == 1 { vec![2] } else { Vec::new() });
    judge.finish(14 * SECOND);
    assert_eq!(broken(&judge), [1, 0, 0]);

    // One that is still seen though it has ended, and one that nobody ever asked.
    let mut judge = started();
    judge.observe(2 * SECOND, &Event::Killed { gateway: 4 });
    views(&mut judge, 13 * SECOND, &ALL, |_| Vec::new());
    assert!(broken(&judge)[0] >= 4);
    let mut judge = started();
    views(&mut judge, 13 * SECOND, &ALL[..4], |gateway| if gateway == 4 { Vec::new() } else { vec![4] });
    judge.finish(14 * SECOND);
    assert!(broken(&judge)[0] > 0);
}

#[test]
fn whoever_a_majority_can_reach_must_not_be_taken_for_gone() {
    let cut = |judge: &mut MembershipChecker, at, from, to, on| {
        judge.observe(at, &Event::TrafficBlocked { from, to, traffic: LinkTraffic::Datagrams, on });
    };
    let mut judge = started();
    // One link of four is cut, one way.
    cut(&mut judge, SECOND, 0, 1, true);
    judge.observe(10 * SECOND, &gone(0, 1));
    assert_eq!(broken(&judge), [0, 1, 0]);
    // Three of four are: it may be taken for gone, and for a while after they are mended.
    let mut judge = started();
    (0..3).for_each(|other| cut(&mut judge, SECOND, 4, other, true));
    judge.observe(5 * SECOND, &gone(0, 4));
    (0..3).for_each(|other| cut(&mut judge, 6 * SECOND, 4, other, false));
    judge.observe(8 * SECOND, &gone(1, 4));
    assert_eq!(broken(&judge), [0, 0, 0]);
    judge.observe(20 * SECOND, &gone(1, 4));
    assert_eq!(broken(&judge), [0, 1, 0]);
    // Whoever is parted from most itself may be wrong about anybody; so may all while one is paused.
    let mut judge = started();
    (0..4).for_each(|other| cut(&mut judge, SECOND, other, 4, true));
    judge.observe(SECOND, &Event::Paused { gateway: 3 });
    judge.observe(9 * SECOND, &gone(4, 0));
    judge.observe(9 * SECOND, &gone(0, 3));
    assert_eq!(broken(&judge), [0, 0, 0]);
    // Two faults on one link: the end of one mends nothing.
    let mut judge = started();
    for other in 0..3 {
        cut(&mut judge, SECOND, 4, other, true);
        cut(&mut judge, SECOND, 4, other, true);
        cut(&mut judge, 2 * SECOND, 4, other, false);
    }
    judge.observe(20 * SECOND, &gone(0, 4));
    assert_eq!(broken(&judge), [0, 0, 0]);
}

#[test]
fn an_earlier_run_of_a_gateway_may_be_taken_for_gone_and_its_present_one_not() {
    let of_run = |run: &str| {
        let Event::Record { gateway, event, mut fields, within } = gone(0, 1) else { panic!("a record") };
        fields["run"] = json!(run);
        Event::Record { gateway, event, fields, within }
    };
    let mut judge = started();
    let fields = json!({ "run": "b" });
    judge.observe(SECOND, &Event::Record { gateway: 1, event: "mesh.starts".into(), fields, within: 0 });
    judge.observe(20 * SECOND, &of_run("a"));
    assert_eq!(broken(&judge), [0, 0, 0]);
    judge.observe(20 * SECOND, &of_run("b"));
    assert_eq!(broken(&judge), [0, 1, 0]);
}

fn added(gateway: u32, amount: f64) -> Event {
    Event::CounterAdded { gateway, key: "q".into(), amount, lifetime: 60 * SECOND }
}

fn sums(gateway: u32, total: f64) -> Event {
    Event::CounterTotals { gateway, totals: vec![("q".into(), total, 30_000)] }
}

/// The verdict on counts, where three gateways run and these totals are known in the end.
fn counts(events: &[(Micros, Event)], totals: [f64; 3]) -> u64 {
    let mut judge = started();
    for (at, event) in events {
        judge.observe(*at, event);
    }
    for (gateway, total) in totals.into_iter().enumerate() {
        judge.observe(30 * SECOND, &sums(gateway as u32, total));
    }
    judge.finish(30 * SECOND);
    broken(&judge)[2]
}

#[test]
fn a_count_that_lacks_some_or_has_too_much_is_caught() {
    let events = [(SECOND, added(0, 5.0)), (2 * SECOND, added(1, 7.0))];
    assert_eq!(counts(&events, [12.0; 3]), 0);
    // Who adds nothing to it need not know of it all, but nobody may know of more.
    assert_eq!(counts(&events, [12.0, 12.0, 5.0]), 0);
    assert!(counts(&events, [12.0, 11.0, 12.0]) > 0);
    assert!(counts(&events, [12.0, 12.0, 13.0]) > 0);
    assert!(counts(&events, [11.0, 11.0, 11.0]) > 0);
    // What a killed one had no time to tell is lost with it; what it had added a while before is not.
    let killed = (2 * SECOND + 300 * MILLISECOND, Event::Killed { gateway: 1 });
    assert_eq!(counts(&[events.as_slice(), &[killed]].concat(), [5.0, 5.0, 5.0]), 0);
    let killed = (8 * SECOND, Event::Killed { gateway: 1 });
    assert!(counts(&[events.as_slice(), &[killed]].concat(), [5.0, 5.0, 5.0]) > 0);
}

#[test]
fn a_kept_history_is_judged_the_same_from_its_file_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("history.jsonl");
    let terms = RuleBounds { grace: 0, slack: 0, lanes: Vec::new(), plans: Vec::new(), largest: 1.0 };
    let head = Head {
        scenario: "s".into(),
        seed: 7,
        terms,
        fleet: Some(size()),
        owners: None,
        subsets: None,
        signals: None,
    };
    let mut court = Recorder::new(&head);
    court.write_to(&file, &head).expect("kept");
    for gateway in ALL {
        court.record(0, Event::Started { gateway });
    }
    court.record(SECOND, Event::Crashed { gateway: 3 });
    court.record(10 * SECOND, gone(0, 1));
    court.finish(20 * SECOND);
    let told = |court: &Recorder| -> Vec<(String, u64, Vec<String>)> {
        let rule = |(name, broken): (&'static str, &fernscale_lab::request_ledger::Violations)| {
            (name.to_string(), broken.count, broken.instances.clone())
        };
        court.rules().into_iter().map(rule).collect()
    };
    let (again, judged) = check(&file).expect("it is read");
    assert_eq!((again.seed, judged.recorded), (7, 7));
    // The end of a kept history is its last event, not a later time.
    let (one, other) = (told(&court), told(&judged));
    for (one, other) in one.iter().zip(&other).filter(|(one, _)| one.0 != "members") {
        assert_eq!(one, other);
    }
    assert!(one.iter().any(|(name, count, _)| name == "answers" && *count == 1));
    assert!(one.iter().any(|(name, count, _)| name == "reached" && *count == 1));

    std::fs::write(&file, "").expect("written");
    assert!(check(&file).err().expect("empty").to_string().contains("begins with the terms"));
    std::fs::write(&file, "{}").expect("written");
    assert!(check(&file).err().expect("unclear").to_string().contains("line 1"));
}
