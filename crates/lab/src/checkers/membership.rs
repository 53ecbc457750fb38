//! Checks from outside how the gateways see each other, and what they know of the shared counter's keys.
//!
//! `members`: when no fault has been active for a stated time, every gateway sees all running gateways and no others.
//! `reached`: no gateway is declared dead while it and the gateway that declares it dead are reachable by a majority, and have
//! been for as long as a suspicion lasts.
//! `counts`: at the end all gateways that have added to a counter key know the same total, which is the total that the counter
//! received; no gateway knows of a larger total.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Violations;
use crate::history::{Checker, Event, LinkTraffic};
use crate::{Micros, MILLISECOND, SECOND};

/// How long a gateway that is declared dead, and the gateway that declares it dead, must have been reachable for that to be a
/// violation. A suspicion lasts up to three seconds in fleets of this size, and its reports spread for a while after its cause
/// has ended.
const MIN_REACHABLE_TIME: Micros = 6 * SECOND;
/// Gateways refuse sealed messages if their clocks differ by ten seconds; the difference to that covers the lab's uncertainty.
const MAX_CLOCK_DIFFERENCE: i64 = 9 * SECOND as i64;
/// A gateway that is killed may not have reported amounts that it added in the last second: that is the time of a few gossip
/// rounds.
const REPORT_DELAY: Micros = SECOND;
/// The same while other faults are active, or ended less than `AFTER_FAULT` ago: each report may have been lost, and the next
/// anti-entropy exchange is the earliest to repeat it.
const REPORT_DELAY_DURING_FAULTS: Micros = 30 * SECOND;
const AFTER_FAULT: Micros = 15 * SECOND;
/// Keys with a shorter remaining lifetime may have expired at one gateway and not at another.
const MIN_REMAINING_LIFETIME_MS: u32 = 1_500;
/// Totals of a counter are exact to seven digits, and rounding in sums of many amounts is of the same order.
const RELATIVE_ERROR: f64 = 1e-5;

/// The fleet of the scenario, and the time bounds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipBounds {
    pub gateways: u32,
    /// The advertised address of each gateway; gateways name each other by it.
    pub addresses: Vec<String>,
    /// When no fault is active any more, all gateways must agree within this time.
    #[serde(rename = "settles")]
    pub settle_time: Micros,
    /// The counter has no faults and every gateway always reaches it, so that it knows all amounts that were added.
    pub counter_knows: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Stopped,
    Running,
    Paused,
}

#[derive(Default)]
struct CounterKey {
    added: f64,
    /// Whether some amounts may be known to the counter alone.
    unreported: bool,
    /// When each gateway last added to the key.
    last_added: BTreeMap<u32, Micros>,
}

pub struct MembershipChecker {
    bounds: MembershipBounds,
    states: Vec<State>,
    started: Vec<Micros>,
    /// The present run id of each gateway, from its own log.
    run_ids: BTreeMap<u32, String>,
    clocks: Vec<i64>,
    /// Number of faults that block datagrams from one gateway to another.
    blocked_links: BTreeMap<(u32, u32), u32>,
    /// Since when each gateway has been reachable by a majority; none while it is not.
    reachable_since: Vec<Option<Micros>>,
    /// The active faults, and when a fault last began or ended.
    active_faults: BTreeSet<usize>,
    last_disturbance: Micros,
    /// When a fault last ended.
    last_fault_end: Option<Micros>,
    /// Gateways whose view has been correct since the last disturbance.
    agreed: BTreeSet<u32>,
    keys: BTreeMap<String, CounterKey>,
    totals: BTreeMap<u32, BTreeMap<String, (f64, u32)>>,
    violations: [Violations; 3],
}

impl MembershipChecker {
    pub fn new(bounds: MembershipBounds) -> Self {
        let count = bounds.gateways as usize;
        MembershipChecker {
            states: vec![State::Stopped; count],
            started: vec![0; count],
            run_ids: BTreeMap::new(),
            clocks: vec![0; count],
            blocked_links: BTreeMap::new(),
            reachable_since: vec![None; count],
            active_faults: BTreeSet::new(),
            last_disturbance: 0,
            last_fault_end: None,
            agreed: BTreeSet::new(),
            keys: BTreeMap::new(),
            totals: BTreeMap::new(),
            violations: Default::default(),
            bounds,
        }
    }

    fn set_state(&mut self, at: Micros, gateway: u32, state: State) {
        if let Some(own) = self.states.get_mut(gateway as usize) {
            *own = state;
        }
        self.note_disturbance(at);
    }

    /// Notes a change that other gateways have to detect.
    fn note_disturbance(&mut self, at: Micros) {
        self.last_disturbance = at;
        self.agreed.clear();
        let all = self.bounds.gateways;
        let is_running = |gateway: u32| self.states[gateway as usize] == State::Running;
        let is_reachable = |one: u32, other: u32| {
            one == other
                || !self.blocked_links.contains_key(&(one, other))
                    && !self.blocked_links.contains_key(&(other, one))
                    && (self.clocks[one as usize] - self.clocks[other as usize]).abs() < MAX_CLOCK_DIFFERENCE
        };
        let present = (0..all).filter(|gateway| self.states[*gateway as usize] != State::Stopped).count();
        let reachable: Vec<bool> = (0..all)
            .map(|gateway| {
                let reachable =
                    (0..all).filter(|other| is_running(*other) && is_reachable(gateway, *other)).count();
                is_running(gateway) && 2 * reachable > present
            })
            .collect();
        for (since, now) in self.reachable_since.iter_mut().zip(reachable) {
            *since = match (now, *since) {
                (false, _) => None,
                (true, None) => Some(at),
                (true, since) => since,
            };
        }
    }

    fn check_declared_dead(&mut self, at: Micros, observer: u32, fields: &serde_json::Value, within: Micros) {
        let peer = fields.get("peer").and_then(serde_json::Value::as_str).unwrap_or_default();
        let address = peer.rsplit(' ').next().unwrap_or_default();
        let Some(peer_index) = self.bounds.addresses.iter().position(|own| own == address) else { return };
        let peer = peer_index as u32;
        // The record is about an earlier run, which has ended: the gateway has restarted since.
        let run = fields.get("run").and_then(serde_json::Value::as_str);
        if run.zip(self.run_ids.get(&peer)).is_some_and(|(run, now)| run != now) {
            return;
        }
        let was_long_reachable =
            |since: Option<Micros>| since.is_some_and(|since| since + MIN_REACHABLE_TIME + within <= at);
        if was_long_reachable(self.reachable_since[peer as usize])
            && was_long_reachable(self.reachable_since[observer as usize])
        {
            let what =
                format!("gateway {observer} declared gateway {peer} dead, which a majority could reach");
            self.violations[1].add(at, what);
        }
    }

    fn check_view(&mut self, at: Micros, gateway: u32, live: &[String], suspected: &[String]) {
        if !self.active_faults.is_empty() || at < self.last_disturbance + self.bounds.settle_time {
            return;
        }
        let running =
            (0..self.bounds.gateways).filter(|other| self.states[*other as usize] == State::Running);
        let address = |other: u32| self.bounds.addresses[other as usize].clone();
        let expected: BTreeSet<String> = running.filter(|other| *other != gateway).map(address).collect();
        let visible: BTreeSet<String> = live.iter().chain(suspected).cloned().collect();
        // A suspected gateway still counts as visible: a busy machine causes short suspicions at any time.
        if expected == visible && visible.len() == live.len() + suspected.len() {
            self.agreed.insert(gateway);
            return;
        }
        let missing: Vec<_> = expected.difference(&visible).cloned().collect();
        let unexpected: Vec<_> = visible.difference(&expected).cloned().collect();
        let elapsed_ms = (at - self.last_disturbance) / MILLISECOND;
        let what =
            format!("{elapsed_ms} ms after the last fault gateway {gateway} does not see {missing:?} and sees {unexpected:?} wrongly");
        self.violations[0].add(at, what);
    }

    fn check_totals(&mut self, at: Micros) {
        let mut wrong = Vec::new();
        let slack = |one: f64, other: f64| RELATIVE_ERROR * (one.abs() + other.abs()).max(1.0);
        let key_names: BTreeSet<&String> = self.totals.values().flat_map(BTreeMap::keys).collect();
        for key in key_names {
            let known_totals: Vec<(u32, f64, u32)> = self
                .totals
                .iter()
                .filter(|(own, _)| self.states[**own as usize] == State::Running)
                .filter_map(|(own, totals)| {
                    totals.get(key).map(|(total, remaining_ms)| (*own, *total, *remaining_ms))
                })
                .collect();
            let Some(key_state) = self.keys.get(key).filter(|_| {
                known_totals.iter().all(|(.., remaining_ms)| *remaining_ms >= MIN_REMAINING_LIFETIME_MS)
            }) else {
                continue;
            };
            // A gateway that has run since before its last addition has reported its amounts to the others itself.
            let is_contributor = |own: u32| {
                key_state.last_added.get(&own).is_some_and(|last| *last >= self.started[own as usize])
            };
            let max_total = known_totals.iter().map(|(_, total, _)| *total).fold(f64::MIN, f64::max);
            for (own, total, _) in known_totals.iter().filter(|(own, ..)| is_contributor(*own)) {
                if max_total - total > slack(max_total, *total) {
                    wrong.push(format!(
                        "gateway {own} adds to '{key}' and knows of {total}, another of {max_total}"
                    ));
                }
            }
            if !self.bounds.counter_knows {
                continue;
            }
            let added = key_state.added;
            for (own, total, _) in &known_totals {
                let lacks_amounts =
                    is_contributor(*own) && !key_state.unreported && added - total > slack(added, *total);
                if lacks_amounts || total - added > slack(added, *total) {
                    wrong.push(format!("'{key}' is {total} for gateway {own}, and {added} were added"));
                }
            }
        }
        wrong.into_iter().for_each(|what| self.violations[2].add(at, what));
    }
}

impl Checker for MembershipChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::Started { gateway } => {
                self.started[*gateway as usize] = at;
                self.set_state(at, *gateway, State::Running);
            }
            Event::Resumed { gateway } => self.set_state(at, *gateway, State::Running),
            Event::Paused { gateway } => self.set_state(at, *gateway, State::Paused),
            Event::Killed { gateway } | Event::Crashed { gateway } => {
                let during_faults = self.active_faults.len() > 1
                    || self.last_fault_end.is_some_and(|last_fault_end| at < last_fault_end + AFTER_FAULT);
                let report_delay = if during_faults { REPORT_DELAY_DURING_FAULTS } else { REPORT_DELAY };
                for key in self.keys.values_mut() {
                    key.unreported |=
                        key.last_added.get(gateway).is_some_and(|last| last + report_delay >= at);
                }
                self.set_state(at, *gateway, State::Stopped);
            }
            Event::ShutdownRequested { gateway } | Event::Ended { gateway } => {
                self.set_state(at, *gateway, State::Stopped);
            }
            Event::ClockStepped { gateway, ahead } => {
                self.clocks[*gateway as usize] = *ahead;
                self.note_disturbance(at);
            }
            Event::TrafficBlocked { from, to, traffic: LinkTraffic::Datagrams, on } => {
                let faults = self.blocked_links.entry((*from, *to)).or_default();
                *faults = if *on { *faults + 1 } else { faults.saturating_sub(1) };
                self.blocked_links.retain(|_, faults| *faults > 0);
                self.note_disturbance(at);
            }
            Event::FaultBegan { number } => {
                self.active_faults.insert(*number);
                self.note_disturbance(at);
            }
            Event::FaultEnded { number } => {
                self.active_faults.remove(number);
                self.last_fault_end = Some(at);
                self.note_disturbance(at);
            }
            Event::Record { gateway, event, fields, .. } if event == "mesh.starts" => {
                let run = fields.get("run").and_then(serde_json::Value::as_str);
                self.run_ids.extend(run.map(|run| (*gateway, run.to_string())));
            }
            Event::Record { gateway, event, fields, within } if event == "mesh.gone" => {
                self.check_declared_dead(at, *gateway, fields, *within);
            }
            Event::MembershipView { gateway, live, suspected } => {
                self.check_view(at, *gateway, live, suspected);
            }
            Event::CounterAdded { gateway, key: name, amount, .. } => {
                let key = self.keys.entry(name.clone()).or_default();
                key.added += amount;
                key.last_added.insert(*gateway, at);
            }
            Event::CounterTotals { gateway, totals } => {
                let totals = totals
                    .iter()
                    .map(|(count, total, remaining_ms)| (count.clone(), (*total, *remaining_ms)));
                self.totals.insert(*gateway, totals.collect());
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        let running = (0..self.bounds.gateways).filter(|own| self.states[*own as usize] == State::Running);
        let without_agreement: Vec<u32> = running.filter(|own| !self.agreed.contains(own)).collect();
        if self.violations[0].count == 0 {
            for gateway in without_agreement {
                let what = format!("gateway {gateway} had no correct view after the last fault");
                self.violations[0].add(at, what);
            }
        }
        if !self.totals.is_empty() {
            self.check_totals(at);
        }
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        ["members", "reached", "counts"].into_iter().zip(&self.violations).collect()
    }
}
