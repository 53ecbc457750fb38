//! A fleet through time: words by rumour where notes are lost, views that settle, shares that go over in steps.

use std::collections::{BTreeMap, BTreeSet};

use fernscale_subsetting::load_reports::{LivePeer, LoadReport, LoadReports, Message};
use fernscale_subsetting::subset::{FleetView, SubsetTracker};
use fernscale_subsetting::{Gateway, Micros, Server, Settings, MIN_SUBSET_SIZE};

const SECOND: Micros = 1_000_000;
const TURN: Micros = 50_000;

fn gateway(name: &str) -> Gateway {
    Gateway { name: name.into(), load: 1.0, zone: 0 }
}

fn view(gateways: impl Iterator<Item = usize>, servers: impl Iterator<Item = usize>) -> FleetView {
    let server = |at| Server { name: format!("box-{at}"), weight: 1.0, zone: 0 };
    FleetView {
        gateways: gateways.map(|at| gateway(&format!("gateway-{at}"))).collect(),
        servers: servers.map(server).collect(),
    }
}

/// Gateways that each deal for themselves, at one time.
struct Fleet {
    now: Micros,
    all: BTreeMap<usize, SubsetTracker>,
}

impl Fleet {
    fn of(count: usize, servers: usize, least: usize) -> Fleet {
        let mut fleet = Fleet { now: SECOND, all: BTreeMap::new() };
        (0..count).for_each(|at| fleet.joins(at, least));
        fleet.see(&view(0..count, 0..servers), true);
        fleet.pass(SECOND);
        fleet
    }

    fn joins(&mut self, at: usize, least: usize) {
        let own = SubsetTracker::new(
            &format!("gateway-{at}"),
            Settings { min_servers: least, prefers_own_zone: false },
            at as u64,
        );
        self.all.insert(at, own);
    }

    fn see(&mut self, view: &FleetView, whole: bool) {
        let now = self.now;
        self.all.values_mut().for_each(|own| own.fleet_changed(now, view.clone(), whole));
    }

    fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += TURN;
            for own in self.all.values_mut() {
                own.handle_timeout(self.now);
            }
        }
    }

    /// What each server gets, beside the mean of these.
    fn got(&self, servers: usize) -> Vec<f64> {
        let mut got = vec![0.0; servers];
        for (name, share) in self.all.values().flat_map(|own| &own.current().weights) {
            let at: usize = name.trim_start_matches("box-").parse().expect("a number");
            got[at] += share;
        }
        let mean = got.iter().sum::<f64>() / servers as f64;
        got.iter().map(|one| one / mean).collect()
    }

    fn uses(&self, at: usize) -> BTreeSet<&String> {
        self.all[&at].current().weights.keys().collect()
    }
}

fn most(of: &[f64]) -> f64 {
    of.iter().copied().fold(0.0, f64::max)
}

fn least(of: &[f64]) -> f64 {
    of.iter().copied().fold(f64::INFINITY, f64::min)
}

#[test]
fn a_gateway_that_restarts_within_the_time_in_which_views_settle_moves_nothing() {
    let mut fleet = Fleet::of(40, 30, 6);
    let before: Vec<_> = (0..40).map(|at| fleet.all[&at].current().clone()).collect();
    fleet.see(&view((0..40).filter(|at| *at != 7), 0..30), false);
    fleet.pass(2 * SECOND);
    fleet.see(&view(0..40, 0..30), false);
    fleet.pass(10 * SECOND);
    for (at, before) in before.iter().enumerate() {
        assert_eq!(fleet.all[&at].current(), before);
    }
}

#[test]
fn a_server_that_is_lost_is_left_at_once_and_its_part_comes_to_the_others() {
    let mut fleet = Fleet::of(40, 30, 6);
    fleet.see(&view(0..40, 0..27), false);
    fleet.pass(SECOND / 4);
    for own in fleet.all.values() {
        assert!(!own.current().weights.keys().any(|name| ["box-27", "box-28", "box-29"].contains(&&**name)));
    }
    fleet.pass(3 * SECOND);
    let got = fleet.got(27);
    assert!(most(&got) < 1.05 && least(&got) > 0.95, "{got:?}");
}

#[test]
fn a_fleet_that_shrinks_by_half_and_grows_back_stays_even_within_a_bound_at_every_moment() {
    let (mut fleet, mut worst) = (Fleet::of(20, 24, 6), 1.0f64);
    for leaves in (10..20).rev() {
        fleet.all.remove(&leaves);
        fleet.see(&view(0..leaves, 0..24), false);
        fleet.pass(SECOND / 10);
    }
    for turn in 0..40 {
        fleet.pass(SECOND / 4);
        let got = fleet.got(24);
        worst = worst.max(most(&got));
        // What is left was dealt for twice as many, for a second until views settle, and shares go over in two.
        assert!(
            turn < 13 || least(&got) > 0.9,
            "after {turn} quarters a server is left nearly alone: {got:?}"
        );
    }
    let settled = fleet.got(24);
    assert!(most(&settled) < 1.05 && least(&settled) > 0.95, "{settled:?}");
    // Those that come back have been started anew, and see the whole fleet at once.
    for comes in 10..20 {
        fleet.joins(comes, 6);
        fleet.see(&view(0..=comes, 0..24), false);
        fleet.pass(SECOND / 10);
    }
    for _ in 0..48 {
        fleet.pass(SECOND / 4);
        worst = worst.max(most(&fleet.got(24)));
    }
    let settled = fleet.got(24);
    assert!(most(&settled) < 1.05 && least(&settled) > 0.95, "{settled:?}");
    // Until the views have settled, half of the fleet deals as if the other half were there: what is drawn is uneven by so much.
    assert!(worst < 2.5, "{worst}");
}

#[test]
fn shares_go_over_in_steps_and_what_comes_is_opened_ahead_at_different_times() {
    let mut fleet = Fleet::of(30, 20, 6);
    let before = fleet.all[&0].current().clone();
    fleet.see(&view(0..30, 0..24), false);
    let (mut last, mut largest, mut opens) = (before.clone(), 0.0f64, Vec::new());
    for _ in 0..160 {
        fleet.pass(TURN);
        let now = fleet.now;
        opens.push(fleet.all.values_mut().map(|own| own.take_preconnects(now).len()).sum::<usize>());
        let used = fleet.all[&0].current().clone();
        for (name, share) in &used.weights {
            largest = largest.max((share - last.weights.get(name).copied().unwrap_or(0.0)).abs());
        }
        last = used;
    }
    assert_ne!(before, last, "nothing has moved");
    assert!(largest < 0.06, "a share went by {largest} in one step");
    let (sum, at_once) = (opens.iter().sum::<usize>(), opens.iter().max().copied().unwrap_or(0));
    assert!(sum > 20 && at_once * 5 < sum, "{at_once} of {sum} connections were opened in one turn");
}

#[test]
fn a_subset_whose_servers_are_all_bad_is_eked_out_and_a_fleet_that_flees_does_not_flee_to_the_same() {
    let mut fleet = Fleet::of(300, 200, 12);
    // One in six of the servers is bad; some gateways have many of them.
    let bad: BTreeSet<String> = (0..200).filter(|at| at % 6 == 0).map(|at| format!("box-{at}")).collect();
    let ten: BTreeSet<String> = fleet.uses(0).into_iter().cloned().collect();
    let all: BTreeSet<String> = bad.union(&ten).cloned().collect();
    for own in fleet.all.values_mut() {
        own.set_avoided(all.clone());
    }
    fleet.pass(SECOND / 2);
    let used = fleet.uses(0);
    assert!(used.iter().filter(|name| !all.contains(**name)).count() >= MIN_SUBSET_SIZE, "{used:?}");
    let fled: Vec<f64> = fleet.got(200);
    assert!(most(&fled) < 3.0, "{}", most(&fled));
    // Half of the fleet has all of its servers bad, as by a link of its own, and takes others: spread as evenly as by a draw.
    let mut fleet = Fleet::of(300, 200, 12);
    for (at, own) in fleet.all.iter_mut().filter(|(at, _)| **at % 2 == 0) {
        let _ = at;
        let mine: BTreeSet<String> = own.current().weights.keys().cloned().collect();
        own.set_avoided(mine);
    }
    fleet.pass(SECOND / 2);
    let mut by = vec![0usize; 200];
    for (_, own) in fleet.all.iter().filter(|(at, _)| **at % 2 == 0) {
        let mine = own.settled_view();
        assert_eq!(mine.servers.len(), 200);
        for name in own.current().weights.keys() {
            by[name.trim_start_matches("box-").parse::<usize>().expect("a number")] += 1;
        }
    }
    // 150 gateways with some 24 servers each: 18 at a server in the mean.
    assert!(by.iter().max().copied().unwrap_or(0) < 40, "{by:?}");
}

#[test]
fn servers_that_are_good_and_bad_by_turns_are_not_taken_and_left_with_each_turn() {
    let mut fleet = Fleet::of(40, 30, 6);
    let own: BTreeSet<String> = fleet.uses(3).into_iter().cloned().collect();
    let mut changes = 0;
    let mut last = own.clone();
    for turn in 0..20 {
        let bad = if turn % 2 == 0 { own.clone() } else { BTreeSet::new() };
        fleet.all.get_mut(&3).expect("there").set_avoided(bad);
        fleet.pass(SECOND);
        let now: BTreeSet<String> = fleet.uses(3).into_iter().cloned().collect();
        changes += usize::from(now != last);
        last = now;
    }
    assert_eq!(changes, 1, "others were taken once and kept");
}

#[test]
fn a_zone_that_is_gone_and_comes_back_and_all_servers_gone_leave_something_to_use() {
    let mut fleet = Fleet::of(20, 24, 6);
    fleet.see(&view(0..20, 0..4), false);
    fleet.pass(SECOND);
    assert!((0..20).all(|at| fleet.uses(at).len() >= MIN_SUBSET_SIZE), "most servers gone");
    // Nothing at all: what was there is kept, as nothing better is known, and the module knows itself that none is in use.
    fleet.see(&view(0..20, 0..0), false);
    fleet.pass(10 * SECOND);
    assert!((0..20).all(|at| !fleet.uses(at).is_empty()));
    fleet.see(&view(0..20, 0..24), false);
    fleet.pass(12 * SECOND);
    let got = fleet.got(24);
    assert!(most(&got) < 1.05 && least(&got) > 0.95, "{got:?}");
}

#[test]
fn views_that_change_all_the_time_are_settled_in_the_end() {
    let mut fleet = Fleet::of(20, 24, 6);
    for turn in 0..30 {
        fleet.see(&view(0..20 - turn % 2, 0..24 + turn % 3), false);
        fleet.pass(SECOND);
    }
    let servers = fleet.all[&0].settled_view().servers.len();
    assert!(
        servers > 24 || fleet.all[&0].settled_view().gateways.len() < 20,
        "nothing that came was ever taken in"
    );
}

/// Gateways that tell each other what they carry, over a way that loses a fifth of the notes and doubles some.
struct Talk {
    now: Micros,
    all: Vec<(LivePeer, LoadReports)>,
    sent: usize,
    bytes: usize,
}

impl Talk {
    fn of(count: usize) -> Talk {
        let live = |at: usize| LivePeer { name: format!("gateway-{at}"), instance: 1_000 + at as u64 };
        let all = (0..count).map(|at| (live(at), LoadReports::new(live(at), "a", at as u64, SECOND)));
        Talk { now: SECOND, all: all.collect(), sent: 0, bytes: 0 }
    }

    fn others(&self, but: usize) -> Vec<LivePeer> {
        let others = self.all.iter().enumerate().filter(|(at, _)| *at != but);
        others.map(|(_, (live, _))| live.clone()).collect()
    }

    fn pass(&mut self, time: Micros, trips: impl Fn(usize) -> u64) {
        let until = self.now + time;
        let others: Vec<_> = (0..self.all.len()).map(|at| self.others(at)).collect();
        while self.now < until {
            self.now += TURN;
            let mut notes = Vec::new();
            for (at, (live, loads)) in self.all.iter_mut().enumerate() {
                loads.record_attempts(self.now, trips(at));
                loads.handle_timeout(self.now, &others[at]);
                while let Some((to, note)) = loads.poll_message() {
                    notes.push((live.name.clone(), to, note));
                }
            }
            for (from, to, note) in notes {
                self.sent += 1;
                if let Message::Reports(words) = &note {
                    assert!(words.len() <= 20);
                    self.bytes += words.len() * 30;
                }
                let copies = [1, 1, 1, 0, 2][self.sent % 5];
                let to: usize = to.trim_start_matches("gateway-").parse().expect("a number");
                for _ in 0..copies {
                    self.all[to].1.handle_message(self.now, &from, note.clone());
                }
            }
        }
    }
}

#[test]
fn all_know_what_all_carry_though_notes_are_lost_and_doubled() {
    let mut talk = Talk::of(100);
    talk.pass(20 * SECOND, |at| [1, 2, 4, 8][at % 4]);
    let known = talk.all[0].1.gateway_loads(&talk.others(0));
    for at in 1..100 {
        assert_eq!(talk.all[at].1.gateway_loads(&talk.others(at)), known, "gateway {at} knows otherwise");
    }
    let load = |at: usize| {
        let name = format!("gateway-{at}");
        known.iter().find(|known| known.name == name).and_then(|known| known.load).expect("told")
    };
    // Twenty turns a second, in steps of a quarter.
    for at in 0..4 {
        let carried = [20.0, 40.0, 80.0, 160.0][at];
        assert!((0.75..1.34).contains(&(load(at) / carried)), "{} for {carried}", load(at));
    }
    // What stands says little: for each gateway some notes a second.
    let (sent, from) = (talk.sent, talk.now);
    talk.pass(10 * SECOND, |at| [1, 2, 4, 8][at % 4]);
    let a_second = (talk.sent - sent) as f64 / ((talk.now - from) / SECOND) as f64 / 100.0;
    assert!(a_second < 4.0, "{a_second} notes a second from each");
}

#[test]
fn nobody_is_believed_about_another_and_nonsense_is_left_out() {
    let mut talk = Talk::of(3);
    talk.pass(10 * SECOND, |_| 1);
    let others = talk.others(0);
    let before = talk.all[0].1.gateway_loads(&others);
    let word = |name: &str, run, step| LoadReport {
        name: name.into(),
        instance: run,
        version: 9_000,
        step,
        zone: String::new(),
        is_leaving: false,
    };
    let now = talk.now;
    let lies = vec![
        // Of this gateway itself, which knows better.
        word("gateway-0", 1_000, 90),
        // A step that nobody can have, a run that is not there, and another's run under this one's name.
        word("gateway-1", 1_001, 255),
        word("gateway-1", 77, 90),
        word("", 1_002, 90),
    ];
    talk.all[0].1.handle_message(now, "gateway-2", Message::Reports(lies));
    assert_eq!(talk.all[0].1.gateway_loads(&others), before);
}

#[test]
fn two_runs_of_one_name_are_one_gateway_and_one_that_leaves_says_so_at_once() {
    let mut talk = Talk::of(3);
    talk.all[1].0.name = "gateway-0".into();
    let live = talk.all[1].0.clone();
    talk.all[1].1 = LoadReports::new(live, "a", 9, talk.now);
    talk.pass(15 * SECOND, |_| 2);
    let known = talk.all[2].1.gateway_loads(&talk.others(2));
    assert_eq!(known.len(), 2);
    let of = |name: &str| known.iter().find(|known| known.name == name).and_then(|known| known.load);
    let (both, one) = (of("gateway-0").expect("told"), of("gateway-2").expect("told"));
    assert!((1.5..2.7).contains(&(both / one)), "{both} and {one}");
    let (now, others) = (talk.now, talk.others(2));
    talk.all[2].1.leave(now, &others);
    let told = std::iter::from_fn(|| talk.all[2].1.poll_message()).filter(|(_, note)| {
        matches!(note, Message::Reports(words) if words.iter().any(|word| word.instance == 1_002 && word.is_leaving))
    });
    assert!(told.count() >= 2, "it ends and nobody hears");
}
