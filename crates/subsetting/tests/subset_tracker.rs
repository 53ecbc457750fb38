//! Tests of the subsets of a fleet through time: settling of views, weight ramps and avoided servers.

use std::collections::{BTreeMap, BTreeSet};

use fernscale_subsetting::subset::{FleetView, SubsetTracker};
use fernscale_subsetting::{Gateway, Micros, Server, Settings, MIN_SUBSET_SIZE};

const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;

fn gateway(name: &str) -> Gateway {
    Gateway { name: name.into(), load: 1.0, zone: 0 }
}

fn view(gateways: impl Iterator<Item = usize>, servers: impl Iterator<Item = usize>) -> FleetView {
    let server = |index| Server { name: format!("box-{index}"), weight: 1.0, zone: 0 };
    FleetView {
        gateways: gateways.map(|index| gateway(&format!("gateway-{index}"))).collect(),
        servers: servers.map(server).collect(),
    }
}

/// Gateways that each track their own subset, with a shared clock.
struct Fleet {
    now: Micros,
    trackers: BTreeMap<usize, SubsetTracker>,
}

impl Fleet {
    fn new(count: usize, servers: usize, min: usize) -> Fleet {
        let mut fleet = Fleet { now: SECOND, trackers: BTreeMap::new() };
        (0..count).for_each(|index| fleet.add(index, min));
        fleet.set_view(&view(0..count, 0..servers), true);
        fleet.advance(SECOND);
        fleet
    }

    fn add(&mut self, index: usize, min: usize) {
        let tracker = SubsetTracker::new(
            &format!("gateway-{index}"),
            Settings { min_servers: min, prefers_own_zone: false },
            index as u64,
        );
        self.trackers.insert(index, tracker);
    }

    fn set_view(&mut self, view: &FleetView, is_complete: bool) {
        let now = self.now;
        self.trackers.values_mut().for_each(|tracker| tracker.fleet_changed(now, view.clone(), is_complete));
    }

    fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for tracker in self.trackers.values_mut() {
                tracker.handle_timeout(self.now);
            }
        }
    }

    /// The load of each server, relative to the mean load of all servers.
    fn relative_loads(&self, servers: usize) -> Vec<f64> {
        let mut relative_loads = vec![0.0; servers];
        for (name, share) in self.trackers.values().flat_map(|tracker| &tracker.current().weights) {
            let index: usize = name.trim_start_matches("box-").parse().expect("a number");
            relative_loads[index] += share;
        }
        let mean = relative_loads.iter().sum::<f64>() / servers as f64;
        relative_loads.iter().map(|one| one / mean).collect()
    }

    fn subset_of(&self, index: usize) -> BTreeSet<&String> {
        self.trackers[&index].current().weights.keys().collect()
    }
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn min(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

#[test]
fn a_restart_within_the_settling_time_changes_no_subset() {
    let mut fleet = Fleet::new(40, 30, 6);
    let before: Vec<_> = (0..40).map(|index| fleet.trackers[&index].current().clone()).collect();
    fleet.set_view(&view((0..40).filter(|index| *index != 7), 0..30), false);
    fleet.advance(2 * SECOND);
    fleet.set_view(&view(0..40, 0..30), false);
    fleet.advance(10 * SECOND);
    for (index, before) in before.iter().enumerate() {
        assert_eq!(fleet.trackers[&index].current(), before);
    }
}

#[test]
fn a_missing_server_is_removed_at_once_and_the_other_servers_get_its_load() {
    let mut fleet = Fleet::new(40, 30, 6);
    fleet.set_view(&view(0..40, 0..27), false);
    fleet.advance(SECOND / 4);
    for tracker in fleet.trackers.values() {
        assert!(!tracker
            .current()
            .weights
            .keys()
            .any(|name| ["box-27", "box-28", "box-29"].contains(&&**name)));
    }
    fleet.advance(3 * SECOND);
    let relative_loads = fleet.relative_loads(27);
    assert!(max(&relative_loads) < 1.05 && min(&relative_loads) > 0.95, "{relative_loads:?}");
}

#[test]
fn a_fleet_that_halves_and_doubles_stays_even_within_bounds_throughout() {
    let (mut fleet, mut max_relative_load) = (Fleet::new(20, 24, 6), 1.0f64);
    for leaving in (10..20).rev() {
        fleet.trackers.remove(&leaving);
        fleet.set_view(&view(0..leaving, 0..24), false);
        fleet.advance(SECOND / 10);
    }
    for step in 0..40 {
        fleet.advance(SECOND / 4);
        let relative_loads = fleet.relative_loads(24);
        max_relative_load = max_relative_load.max(max(&relative_loads));
        // Until the views settle after one second, the assignment is for twice as many gateways. The weights then ramp
        // for two seconds.
        assert!(
            step < 13 || min(&relative_loads) > 0.9,
            "after {step} quarters of a second a server has too little load: {relative_loads:?}"
        );
    }
    let settled = fleet.relative_loads(24);
    assert!(max(&settled) < 1.05 && min(&settled) > 0.95, "{settled:?}");
    // The returning gateways have been restarted, and see the whole fleet at once.
    for returning in 10..20 {
        fleet.add(returning, 6);
        fleet.set_view(&view(0..=returning, 0..24), false);
        fleet.advance(SECOND / 10);
    }
    for _ in 0..48 {
        fleet.advance(SECOND / 4);
        max_relative_load = max_relative_load.max(max(&fleet.relative_loads(24)));
    }
    let settled = fleet.relative_loads(24);
    assert!(max(&settled) < 1.05 && min(&settled) > 0.95, "{settled:?}");
    // Until the views have settled, half of the fleet assigns servers as if the other half still took part.
    assert!(max_relative_load < 2.5, "{max_relative_load}");
}

#[test]
fn weights_ramp_in_steps_and_preconnects_are_spread_over_time() {
    let mut fleet = Fleet::new(30, 20, 6);
    let before = fleet.trackers[&0].current().clone();
    fleet.set_view(&view(0..30, 0..24), false);
    let (mut last, mut largest, mut preconnects) = (before.clone(), 0.0f64, Vec::new());
    for _ in 0..160 {
        fleet.advance(STEP);
        let now = fleet.now;
        preconnects.push(
            fleet.trackers.values_mut().map(|tracker| tracker.take_preconnects(now).len()).sum::<usize>(),
        );
        let subset = fleet.trackers[&0].current().clone();
        for (name, share) in &subset.weights {
            largest = largest.max((share - last.weights.get(name).copied().unwrap_or(0.0)).abs());
        }
        last = subset;
    }
    assert_ne!(before, last, "nothing has moved");
    assert!(largest < 0.06, "a weight changed by {largest} in one step");
    let (sum, at_once) = (preconnects.iter().sum::<usize>(), preconnects.iter().max().copied().unwrap_or(0));
    assert!(sum > 20 && at_once * 5 < sum, "{at_once} of {sum} preconnects are in one step");
}

#[test]
fn supplements_of_avoided_subsets_are_spread_over_the_servers() {
    let mut fleet = Fleet::new(300, 200, 12);
    // One in six servers is avoided; some gateways use many avoided servers.
    let avoided: BTreeSet<String> =
        (0..200).filter(|index| index % 6 == 0).map(|index| format!("box-{index}")).collect();
    let ten: BTreeSet<String> = fleet.subset_of(0).into_iter().cloned().collect();
    let all: BTreeSet<String> = avoided.union(&ten).cloned().collect();
    for tracker in fleet.trackers.values_mut() {
        tracker.set_avoided(all.clone());
    }
    fleet.advance(SECOND / 2);
    let subset = fleet.subset_of(0);
    assert!(subset.iter().filter(|name| !all.contains(**name)).count() >= MIN_SUBSET_SIZE, "{subset:?}");
    let loads: Vec<f64> = fleet.relative_loads(200);
    assert!(max(&loads) < 3.0, "{}", max(&loads));
    // Half of the gateways avoid all of their servers, as with a bad network path. Their supplements must be spread
    // evenly.
    let mut fleet = Fleet::new(300, 200, 12);
    for (index, tracker) in fleet.trackers.iter_mut().filter(|(index, _)| **index % 2 == 0) {
        let _ = index;
        let own_servers: BTreeSet<String> = tracker.current().weights.keys().cloned().collect();
        tracker.set_avoided(own_servers);
    }
    fleet.advance(SECOND / 2);
    let mut gateways_of = vec![0usize; 200];
    for (_, tracker) in fleet.trackers.iter().filter(|(index, _)| **index % 2 == 0) {
        let settled_view = tracker.settled_view();
        assert_eq!(settled_view.servers.len(), 200);
        for name in tracker.current().weights.keys() {
            gateways_of[name.trim_start_matches("box-").parse::<usize>().expect("a number")] += 1;
        }
    }
    // 150 gateways with about 24 servers each are 18 gateways per server on average.
    assert!(gateways_of.iter().max().copied().unwrap_or(0) < 40, "{gateways_of:?}");
}

#[test]
fn supplements_for_flapping_servers_are_retained() {
    let mut fleet = Fleet::new(40, 30, 6);
    let assigned_servers: BTreeSet<String> = fleet.subset_of(3).into_iter().cloned().collect();
    let mut changes = 0;
    let mut last = assigned_servers.clone();
    for step in 0..20 {
        let avoided = if step % 2 == 0 { assigned_servers.clone() } else { BTreeSet::new() };
        fleet.trackers.get_mut(&3).expect("the tracker exists").set_avoided(avoided);
        fleet.advance(SECOND);
        let now: BTreeSet<String> = fleet.subset_of(3).into_iter().cloned().collect();
        changes += usize::from(now != last);
        last = now;
    }
    assert_eq!(changes, 1, "the subset is supplemented once, and keeps the supplements");
}

#[test]
fn subsets_survive_the_loss_of_most_and_of_all_servers() {
    let mut fleet = Fleet::new(20, 24, 6);
    fleet.set_view(&view(0..20, 0..4), false);
    fleet.advance(SECOND);
    assert!((0..20).all(|index| fleet.subset_of(index).len() >= MIN_SUBSET_SIZE), "most servers are gone");
    // Without any servers the subset is retained. The policy itself knows that no server is in use.
    fleet.set_view(&view(0..20, 0..0), false);
    fleet.advance(10 * SECOND);
    assert!((0..20).all(|index| !fleet.subset_of(index).is_empty()));
    fleet.set_view(&view(0..20, 0..24), false);
    fleet.advance(12 * SECOND);
    let relative_loads = fleet.relative_loads(24);
    assert!(max(&relative_loads) < 1.05 && min(&relative_loads) > 0.95, "{relative_loads:?}");
}

#[test]
fn a_view_that_keeps_changing_settles_after_the_maximum_time() {
    let mut fleet = Fleet::new(20, 24, 6);
    for step in 0..30 {
        fleet.set_view(&view(0..20 - step % 2, 0..24 + step % 3), false);
        fleet.advance(SECOND);
    }
    let servers = fleet.trackers[&0].settled_view().servers.len();
    assert!(
        servers > 24 || fleet.trackers[&0].settled_view().gateways.len() < 20,
        "no change was ever settled"
    );
}
