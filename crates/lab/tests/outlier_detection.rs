//! Fleets that tell each other what servers are like: what is learnt serves all, whom to believe, how much may be out, turns.

use fernscale_lab::outlier_simulation::{Does, Fleet};
use fernscale_lab::SECOND;
use fernscale_outlier_detection::detector::MAX_EJECTED_SHARE;

#[test]
fn while_all_is_well_nobody_says_anything() {
    let mut fleet = Fleet::of(30, 20, 1);
    fleet.pass(3 * SECOND);
    let began = fleet.notes;
    fleet.pass(10 * SECOND);
    assert_eq!((0..20).map(|server| fleet.leave_out(server)).sum::<usize>(), 0);
    assert!(fleet.notes - began < 10, "{} notes", fleet.notes - began);
}

/// What a bad server costs does not grow with the fleet as it does where each learns alone.
#[test]
fn a_bad_server_is_left_by_all_after_few_are_hurt_and_is_used_again_once_it_is_well() {
    let mut hurt = Vec::new();
    for gateways in [10, 40, 120] {
        let mut fleet = Fleet::of(gateways, 40, 1);
        // The same load on the server whatever the fleet's size.
        fleet.rate = 4_000.0 / gateways as f64;
        fleet.does = Box::new(|now, _, server| match server {
            3 if (5 * SECOND..15 * SECOND).contains(&now) => Does::Fails(0.5),
            _ => Does::Well,
        });
        fleet.pass(7 * SECOND);
        let known = fleet.leave_out(3);
        assert!(known + 2 >= gateways, "{known} of {gateways} know after 2 s");
        fleet.pass(7 * SECOND);
        assert!((0..40).filter(|server| *server != 3).all(|server| fleet.leave_out(server) == 0));
        hurt.push(fleet.hurt[&3]);
        println!(
            "{gateways}: hurt {}, changes {}, tries {:?}, notes {}",
            fleet.hurt[&3], fleet.changes, fleet.tries, fleet.notes
        );
        fleet.pass(16 * SECOND);
        assert_eq!(fleet.leave_out(3), 0, "it is well for 15 s");
    }
    // Of some 100 trips a second there, half of them lost.
    assert!(hurt.iter().all(|hurt| *hurt < 80), "{hurt:?}");
    assert!(hurt[2] < 2 * hurt[0].max(25), "{hurt:?}");
}

#[test]
fn a_slow_server_is_left_as_well() {
    let mut fleet = Fleet::of(16, 12, 1);
    fleet.does = Box::new(|_, _, server| if server == 5 { Does::Slow(8) } else { Does::Well });
    fleet.pass(8 * SECOND);
    assert!(fleet.leave_out(5) >= 14, "{} of 16", fleet.leave_out(5));
    assert!((0..12).filter(|server| *server != 5).all(|server| fleet.leave_out(server) == 0));
}

#[test]
fn a_gateway_with_a_bad_link_of_its_own_moves_nobody_else() {
    let mut fleet = Fleet::of(16, 12, 1);
    fleet.does = Box::new(|_, gateway, _| if gateway == 4 { Does::Fails(0.6) } else { Does::Well });
    fleet.pass(12 * SECOND);
    assert_eq!((0..12).map(|server| fleet.leave_out(server)).sum::<usize>(), 0);
    // Nor does one whose link to one server alone is bad.
    let mut fleet = Fleet::of(16, 12, 1);
    fleet.does = Box::new(
        |_, gateway, server| if (gateway, server) == (4, 7) { Does::Fails(0.9) } else { Does::Well },
    );
    fleet.pass(12 * SECOND);
    assert_eq!(fleet.leave_out(7), 0);
}

#[test]
fn what_is_bad_for_a_zone_is_left_by_that_zone_alone() {
    let mut fleet = Fleet::of(18, 24, 3);
    // Zone 0 can't reach two boxes of zone 1.
    fleet.does = Box::new(|_, gateway, server| match (gateway % 3, server) {
        (0, 1 | 4) => Does::Fails(0.95),
        _ => Does::Well,
    });
    fleet.pass(10 * SECOND);
    assert!(
        fleet.leave_out(1) >= 4 && fleet.leave_out(4) >= 4,
        "{} {}",
        fleet.leave_out(1),
        fleet.leave_out(4)
    );
    assert!(fleet.leave_out(1) <= 6 && fleet.leave_out(4) <= 6, "others leave it too");
}

#[test]
fn a_zone_that_is_cut_off_moves_nobody_in_the_others() {
    let mut fleet = Fleet::of(18, 24, 3);
    fleet.does = Box::new(
        |_, gateway, server| if gateway % 3 == 0 && server % 3 != 0 { Does::Fails(1.0) } else { Does::Well },
    );
    // The gateways of that zone still talk with the others: they see the rest of the servers die, and say so.
    for _ in 0..50 {
        fleet.pass(SECOND / 5);
        // By zone, what is out at any gateway of the others is nothing.
        let in_others: usize = (0..24).map(|server| fleet.leave_out(server).saturating_sub(6)).sum();
        assert_eq!(in_others, 0);
        assert!(fleet.most_out() <= MAX_EJECTED_SHARE + 1e-9);
    }
}

#[test]
fn never_more_than_a_share_is_out_whatever_everybody_sees() {
    for bad in [4, 12, 20, 24] {
        let mut fleet = Fleet::of(20, 24, 1);
        fleet.does = Box::new(move |_, _, server| if server < bad { Does::Fails(0.8) } else { Does::Well });
        for _ in 0..60 {
            fleet.pass(SECOND / 5);
            assert!(
                fleet.most_out() <= MAX_EJECTED_SHARE + 1e-9,
                "{bad} of 24 are bad: {} out",
                fleet.most_out()
            );
        }
        let out = (0..24).filter(|server| fleet.leave_out(*server) > 10).count();
        assert!(out >= 4.min(bad), "{bad} are bad, {out} are out");
    }
    // Of three one may be out, of two none.
    for (servers, most) in [(3, 1), (2, 0)] {
        let mut fleet = Fleet::of(8, servers, 1);
        fleet.does = Box::new(|_, _, server| if server == 0 { Does::Fails(0.9) } else { Does::Well });
        fleet.pass(6 * SECOND);
        assert_eq!(usize::from(fleet.leave_out(0) > 4), most);
    }
}

/// As many tries a second whatever the size of the fleet; and some though the gateway whose turn it is stands still.
#[test]
fn a_server_that_is_out_is_tried_by_turns() {
    for gateways in [5, 30, 120] {
        let mut fleet = Fleet::of(gateways, 20, 1);
        fleet.rate = 3_000.0 / gateways as f64;
        fleet.does = Box::new(|_, _, server| if server == 2 { Does::Fails(0.9) } else { Does::Well });
        fleet.pass(5 * SECOND);
        fleet.tries.clear();
        if gateways > 5 {
            fleet.paused.extend([1, 3, 5]);
        }
        fleet.pass(20 * SECOND);
        let tries = fleet.tries.get(&2).copied().unwrap_or(0);
        assert!((12..=34).contains(&tries), "{gateways} gateways tried {tries} times in 20 s");
    }
}

#[test]
fn one_that_is_good_and_bad_by_turns_is_not_left_and_taken_with_each() {
    let mut fleet = Fleet::of(20, 20, 1);
    let bad = |now: u64| (now / SECOND).is_multiple_of(2);
    fleet.does =
        Box::new(move |now, _, server| if server == 2 && bad(now) { Does::Fails(0.9) } else { Does::Well });
    fleet.pass(60 * SECOND);
    // Thirty times bad: what each gateway does about it beside its tries.
    let tries = fleet.tries.get(&2).copied().unwrap_or(0);
    let changes = fleet.changes.saturating_sub(2 * tries) as f64 / 20.0;
    assert!(changes < 24.0, "{changes} changes at each gateway in 60 s");
}

#[test]
fn two_liars_of_twenty_do_little_harm() {
    let goodput = |liars: &[usize]| {
        let mut fleet = Fleet::of(20, 20, 1);
        fleet.liars.extend(liars);
        fleet.does = Box::new(|_, _, server| if server == 2 { Does::Fails(0.5) } else { Does::Well });
        fleet.pass(5 * SECOND);
        let (mut out, mut knows) = (0, 0);
        for _ in 0..50 {
            fleet.pass(SECOND / 2);
            out += (0..20).filter(|server| *server != 2).map(|server| fleet.leave_out(server)).sum::<usize>();
            knows += fleet.leave_out(2);
        }
        let hurt: u64 = fleet.hurt.values().sum();
        (1.0 - hurt as f64 / fleet.sent as f64, out as f64 / 50.0, knows as f64 / 50.0)
    };
    let ((without, ..), (with, out, knows)) = (goodput(&[]), goodput(&[6, 13]));
    assert!(with > 0.95 * without, "{with} beside {without}");
    // Of 380 pairs of a gateway and a good server, few are out by lies; and the truth about the bad one is found.
    assert!(out < 38.0 && knows > 12.0, "{out} out, {knows} know");
}

#[test]
fn a_fleet_in_which_each_sees_little_of_a_server_learns_it_together() {
    let mut fleet = Fleet::of(100, 50, 1);
    // Each sees one answer of a server in ten seconds.
    fleet.rate = 5.0;
    fleet.does = Box::new(
        |now, _, server| if server == 9 && now > 5 * SECOND { Does::Fails(0.9) } else { Does::Well },
    );
    fleet.pass(11 * SECOND);
    assert!(fleet.leave_out(9) >= 90, "{} of 100 know after 7 s", fleet.leave_out(9));
    assert!(fleet.hurt[&9] < 60, "{}", fleet.hurt[&9]);
}

#[test]
fn a_server_that_starts_anew_is_met_without_what_was_said_before() {
    let mut fleet = Fleet::of(12, 12, 1);
    fleet.does = Box::new(
        |now, _, server| if server == 3 && now < 8 * SECOND { Does::Fails(1.0) } else { Does::Well },
    );
    fleet.pass(7 * SECOND);
    assert!(fleet.leave_out(3) >= 11);
    fleet.pass(SECOND);
    fleet.servers[3].started = 42;
    fleet.pass(SECOND / 5);
    assert_eq!(fleet.leave_out(3), 0);
    fleet.pass(3 * SECOND);
    assert_eq!(fleet.leave_out(3), 0);
}
