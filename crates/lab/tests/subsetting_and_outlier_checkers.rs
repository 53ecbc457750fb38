//! The checkers of subsetting and outlier detection: for each rule a history that violates it, and one that almost does.

use std::collections::BTreeMap;

use fernscale_lab::checkers::outlier_detection::{self, OutlierChecker};
use fernscale_lab::checkers::subsetting::{self, SubsettingChecker};
use fernscale_lab::history::{Checker, Event};
use fernscale_lab::model::clients::ClientRequest;
use fernscale_lab::model::discovery::Status;
use fernscale_lab::model::server::SlowStart;
use fernscale_lab::request_ledger::Arrival;
use fernscale_lab::{Micros, MILLISECOND, SECOND};
use serde_json::json;

fn server_starts(name: &str, started: Option<Micros>) -> Event {
    let cold = SlowStart { share: 0.2, warm_up: 4 * SECOND, multiple: 3.0, window: SECOND };
    Event::ServerStarted { name: name.into(), zone: "a".into(), cell: 0, started, power: 2.0, cold }
}

fn request_created() -> Event {
    let ask = ClientRequest {
        at: 0,
        id: 1,
        group: 0,
        tenant: 1,
        plan: 0,
        class: 0,
        units: 1,
        first_gateway: 0,
        gateway_spread: 1,
        gateway: 0,
        key: None,
        work: 1,
        attempt: 0,
        origin: 1,
    };
    Event::RequestCreated { request: ask }
}

fn attempt_arrives(checker: &mut dyn Checker, at: Micros, server: &str, gateway: u32) {
    let arrival = Arrival { at, began: at, server: server.into(), gateway, id: 1, work: 1 };
    checker.observe(at, &Event::AttemptArrived { arrival });
}

/// Three servers for eleven seconds, the last of which gets attempts in the windows given by `last` only.
fn cover(last: &[bool; 2], event: Option<(Micros, Event)>) -> (u64, serde_json::Value) {
    let mut checker = SubsettingChecker::new(subsetting::SubsettingBounds { settle_in: 0 });
    ["a", "b", "c"].iter().for_each(|name| checker.observe(0, &server_starts(name, None)));
    checker.observe(0, &request_created());
    let mut event = event;
    for step in 0..220u64 {
        let at = step * 50 * MILLISECOND;
        if let Some((_, event)) = event.take_if(|(due, _)| *due <= at) {
            checker.observe(at, &event);
        }
        attempt_arrives(&mut checker, at, "a", step as u32 % 4);
        attempt_arrives(&mut checker, at, "b", 1);
        if last[usize::from(at >= 5 * SECOND)] {
            attempt_arrives(&mut checker, at, "c", 2);
        }
    }
    checker.finish(11 * SECOND);
    (checker.rules()[0].1.count, checker.figures().expect("measured").1)
}

#[test]
fn a_server_without_attempts_is_a_violation_unless_it_leaves_or_is_in_slow_start() {
    let (broken, figures) = cover(&[true, true], None);
    assert_eq!((broken, &figures["most_users"], &figures["windows"]), (0, &json!(4), &json!(2)));
    assert!(figures["busiest"].as_f64().is_some_and(|busiest| (busiest - 1.0).abs() < 0.05), "{figures}");
    let (broken, figures) = cover(&[true, false], None);
    assert_eq!(broken, 1);
    assert!(figures["worst"].as_f64().is_some_and(|worst| worst > 1.4), "{figures}");
    // The server drains or collapses, and no longer counts.
    let drains =
        Event::EndpointNotified { gateway: 0, name: "c".into(), status: Status::Terminating, started: None };
    assert_eq!(cover(&[true, false], Some((5 * SECOND, drains))).0, 0);
    assert_eq!(cover(&[true, false], Some((5 * SECOND, Event::ServerCollapsed { name: "c".into() }))).0, 0);
    // The server has just started and is in slow start until the window is almost over.
    assert_eq!(cover(&[true, false], Some((5 * SECOND, server_starts("c", Some(5 * SECOND))))).0, 0);
}

fn ejection_record(checker: &mut dyn Checker, at: Micros, gateway: u32, server: &str, out: bool) {
    let fields = json!({ "server": server, "out": out });
    checker
        .observe(at, &Event::Record { gateway, event: "signals.server".into(), fields, within: MILLISECOND });
}

fn outlier_checker(servers: u32) -> OutlierChecker {
    let (faulty, links) = (BTreeMap::from([(0, vec!["c".to_string()])]), BTreeMap::from([(1, vec![3])]));
    OutlierChecker::new(outlier_detection::OutlierBounds { servers, faulty, links })
}

#[test]
fn a_gateway_that_ejects_more_servers_than_allowed_is_a_violation() {
    let mut checker = outlier_checker(8);
    for (server, out) in [("a", true), ("b", true), ("a", false), ("c", true)] {
        ejection_record(&mut checker, SECOND, 0, server, out);
    }
    // Gateways count separately, and a restarted process ejects no servers.
    ejection_record(&mut checker, SECOND, 1, "a", true);
    ejection_record(&mut checker, SECOND, 1, "b", true);
    checker.observe(2 * SECOND, &Event::Started { gateway: 1 });
    ejection_record(&mut checker, 3 * SECOND, 1, "c", true);
    assert_eq!(checker.rules()[0].1.count, 0);
    ejection_record(&mut checker, 3 * SECOND, 0, "d", true);
    assert_eq!(checker.rules()[0].1.count, 1);
    // One of three servers may always be ejected, none of two.
    for (servers, broken) in [(3, 0), (2, 1)] {
        let mut checker = outlier_checker(servers);
        ejection_record(&mut checker, SECOND, 0, "a", true);
        assert_eq!(checker.rules()[0].1.count, broken);
    }
}

#[test]
fn attempts_to_faulty_servers_and_ejections_due_to_other_gateways_links_are_counted() {
    let mut checker = outlier_checker(8);
    attempt_arrives(&mut checker, SECOND, "c", 0);
    checker.observe(2 * SECOND, &Event::FaultBegan { number: 0 });
    attempt_arrives(&mut checker, 2 * SECOND, "c", 0);
    attempt_arrives(&mut checker, 2 * SECOND, "a", 0);
    attempt_arrives(&mut checker, 5 * SECOND, "c", 1);
    checker.observe(6 * SECOND, &Event::FaultEnded { number: 0 });
    attempt_arrives(&mut checker, 7 * SECOND, "c", 1);
    checker.observe(8 * SECOND, &Event::FaultBegan { number: 1 });
    ejection_record(&mut checker, 9 * SECOND, 3, "a", true);
    ejection_record(&mut checker, 9 * SECOND, 2, "b", true);
    checker.observe(10 * SECOND, &Event::FaultEnded { number: 1 });
    ejection_record(&mut checker, 12 * SECOND, 2, "d", true);
    checker.finish(13 * SECOND);
    let figures = checker.figures().expect("measured").1;
    assert_eq!((&figures["trips_to_ill"], &figures["moved_by_links"]), (&json!(2), &json!(1)), "{figures}");
    assert_eq!(figures["each"][0]["later"], json!(1));
}
