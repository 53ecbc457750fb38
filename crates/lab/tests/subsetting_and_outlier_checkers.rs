//! The judges of how work comes to boxes: for each of their rules a history that breaks it, and one that nearly does.

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

fn starts(name: &str, started: Option<Micros>) -> Event {
    let cold = SlowStart { share: 0.2, warm_up: 4 * SECOND, multiple: 3.0, window: SECOND };
    Event::ServerStarted { name: name.into(), zone: "a".into(), cell: 0, started, power: 2.0, cold }
}

fn asked() -> Event {
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

fn arrives(judge: &mut dyn Checker, at: Micros, box_: &str, gateway: u32) {
    let arrival = Arrival { at, began: at, server: box_.into(), gateway, id: 1, work: 1 };
    judge.observe(at, &Event::AttemptArrived { arrival });
}

/// Three boxes for eleven seconds, of which the last gets work in these windows only.
fn cover(last: &[bool; 2], event: Option<(Micros, Event)>) -> (u64, serde_json::Value) {
    let mut judge = SubsettingChecker::new(subsetting::SubsettingBounds { settle_in: 0 });
    ["a", "b", "c"].iter().for_each(|name| judge.observe(0, &starts(name, None)));
    judge.observe(0, &asked());
    let mut event = event;
    for turn in 0..220u64 {
        let at = turn * 50 * MILLISECOND;
        if let Some((_, event)) = event.take_if(|(due, _)| *due <= at) {
            judge.observe(at, &event);
        }
        arrives(&mut judge, at, "a", turn as u32 % 4);
        arrives(&mut judge, at, "b", 1);
        if last[usize::from(at >= 5 * SECOND)] {
            arrives(&mut judge, at, "c", 2);
        }
    }
    judge.finish(11 * SECOND);
    (judge.rules()[0].1.count, judge.figures().expect("measured").1)
}

#[test]
fn a_box_that_is_left_without_work_is_caught_and_one_that_goes_or_is_cold_is_not() {
    let (broken, shown) = cover(&[true, true], None);
    assert_eq!((broken, &shown["most_users"], &shown["windows"]), (0, &json!(4), &json!(2)));
    assert!(shown["busiest"].as_f64().is_some_and(|busiest| (busiest - 1.0).abs() < 0.05), "{shown}");
    let (broken, shown) = cover(&[true, false], None);
    assert_eq!(broken, 1);
    assert!(shown["worst"].as_f64().is_some_and(|worst| worst > 1.4), "{shown}");
    // It drains, or falls, and no longer counts.
    let drains =
        Event::EndpointNotified { gateway: 0, name: "c".into(), status: Status::Terminating, started: None };
    assert_eq!(cover(&[true, false], Some((5 * SECOND, drains))).0, 0);
    assert_eq!(cover(&[true, false], Some((5 * SECOND, Event::ServerCollapsed { name: "c".into() }))).0, 0);
    // It has just come, and is cold until the window is nearly over.
    assert_eq!(cover(&[true, false], Some((5 * SECOND, starts("c", Some(5 * SECOND))))).0, 0);
}

fn left(judge: &mut dyn Checker, at: Micros, gateway: u32, server: &str, out: bool) {
    let fields = json!({ "server": server, "out": out });
    judge
        .observe(at, &Event::Record { gateway, event: "signals.server".into(), fields, within: MILLISECOND });
}

fn ill(boxes: u32) -> OutlierChecker {
    let (ill, links) = (BTreeMap::from([(0, vec!["c".to_string()])]), BTreeMap::from([(1, vec![3])]));
    OutlierChecker::new(outlier_detection::OutlierBounds { servers: boxes, faulty: ill, links })
}

#[test]
fn a_gateway_that_leaves_out_more_than_it_may_is_caught() {
    let mut judge = ill(8);
    for (server, out) in [("a", true), ("b", true), ("a", false), ("c", true)] {
        left(&mut judge, SECOND, 0, server, out);
    }
    // Another's are another's, and a process that starts anew leaves nothing out.
    left(&mut judge, SECOND, 1, "a", true);
    left(&mut judge, SECOND, 1, "b", true);
    judge.observe(2 * SECOND, &Event::Started { gateway: 1 });
    left(&mut judge, 3 * SECOND, 1, "c", true);
    assert_eq!(judge.rules()[0].1.count, 0);
    left(&mut judge, 3 * SECOND, 0, "d", true);
    assert_eq!(judge.rules()[0].1.count, 1);
    // Of three one may always be out, of two none.
    for (boxes, broken) in [(3, 0), (2, 1)] {
        let mut judge = ill(boxes);
        left(&mut judge, SECOND, 0, "a", true);
        assert_eq!(judge.rules()[0].1.count, broken);
    }
}

#[test]
fn trips_to_ill_boxes_and_those_who_are_moved_by_anothers_link_are_counted() {
    let mut judge = ill(8);
    arrives(&mut judge, SECOND, "c", 0);
    judge.observe(2 * SECOND, &Event::FaultBegan { number: 0 });
    arrives(&mut judge, 2 * SECOND, "c", 0);
    arrives(&mut judge, 2 * SECOND, "a", 0);
    arrives(&mut judge, 5 * SECOND, "c", 1);
    judge.observe(6 * SECOND, &Event::FaultEnded { number: 0 });
    arrives(&mut judge, 7 * SECOND, "c", 1);
    judge.observe(8 * SECOND, &Event::FaultBegan { number: 1 });
    left(&mut judge, 9 * SECOND, 3, "a", true);
    left(&mut judge, 9 * SECOND, 2, "b", true);
    judge.observe(10 * SECOND, &Event::FaultEnded { number: 1 });
    left(&mut judge, 12 * SECOND, 2, "d", true);
    judge.finish(13 * SECOND);
    let shown = judge.figures().expect("measured").1;
    assert_eq!((&shown["trips_to_ill"], &shown["moved_by_links"]), (&json!(2), &json!(1)), "{shown}");
    assert_eq!(shown["each"][0]["later"], json!(1));
}
