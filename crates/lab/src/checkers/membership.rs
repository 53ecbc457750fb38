//! Judges how gateways see each other, and what they know of counts together, from the outside.
//!
//! `members`: once nothing has been broken for a stated time, every gateway sees all that run and nobody else.
//! `reached`: nobody is taken for gone by others while it, and whoever says so, could be reached by a majority, and
//! had been able to for as long as a suspicion lasts.
//! `counts`: in the end all that have added to a count know the same of it, which is what the counter was told; and nobody
//! knows of more.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Violations;
use crate::history::{Checker, Event, LinkTraffic};
use crate::{Micros, MILLISECOND, SECOND};

/// How long whoever is taken for gone, and whoever says so, must have been within reach for it to be wrong: a suspicion
/// stands for up to three seconds in fleets of this size, and its news travels on for a while after its cause has gone.
const WITHIN_REACH: Micros = 6 * SECOND;
/// Seals are refused where two clocks differ by ten seconds; some of that is the lab's own uncertainty.
const CLOCK_OFF: i64 = 9 * SECOND as i64;
/// What a gateway adds in so long before it is killed it may not have told anybody: some spreads' time.
const UNTOLD: Micros = SECOND;
/// The same while other things are broken, or were until so long before: what it told may have been lost each time, and goes
/// out again with the next exchange of everything, at the earliest.
const UNTOLD_IN_TROUBLE: Micros = 30 * SECOND;
const AFTERWARDS: Micros = 15 * SECOND;
/// Names that end within so long of being asked for may have ended at one gateway and not at another.
const LIVES: u32 = 1_500;
/// Totals of a counter are exact to seven digits, and sums of many parts come out as near.
const EXACT: f64 = 1e-5;

/// What the judge must know of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipBounds {
    pub gateways: u32,
    /// Where each is told to be, by which gateways name each other.
    pub addresses: Vec<String>,
    /// In which all must see the same, once nothing is broken any more.
    pub settles: Micros,
    /// The counter is never broken nor out of anybody's reach, so that it knows what was added.
    pub counter_knows: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Away,
    Runs,
    Paused,
}

#[derive(Default)]
struct Count {
    added: f64,
    /// Some of it may be known to the counter alone.
    untold: bool,
    /// When each gateway added to it last.
    by: BTreeMap<u32, Micros>,
}

pub struct MembershipChecker {
    size: MembershipBounds,
    states: Vec<State>,
    started: Vec<Micros>,
    /// The run of each that speaks now, as it said itself.
    runs: BTreeMap<u32, String>,
    clocks: Vec<i64>,
    /// How many faults keep datagrams from one to another.
    parted: BTreeMap<(u32, u32), u32>,
    /// Since when each is within reach of a majority; none while it is not.
    reached: Vec<Option<Micros>>,
    /// Faults that stand, and when anything was broken or mended last.
    standing: BTreeSet<usize>,
    disturbed: Micros,
    /// When a fault ended last.
    mended: Option<Micros>,
    /// Who has been seen to see right since.
    seen: BTreeSet<u32>,
    counts: BTreeMap<String, Count>,
    sums: BTreeMap<u32, BTreeMap<String, (f64, u32)>>,
    broken: [Violations; 3],
}

impl MembershipChecker {
    pub fn new(size: MembershipBounds) -> Self {
        let count = size.gateways as usize;
        MembershipChecker {
            states: vec![State::Away; count],
            started: vec![0; count],
            runs: BTreeMap::new(),
            clocks: vec![0; count],
            parted: BTreeMap::new(),
            reached: vec![None; count],
            standing: BTreeSet::new(),
            disturbed: 0,
            mended: None,
            seen: BTreeSet::new(),
            counts: BTreeMap::new(),
            sums: BTreeMap::new(),
            broken: Default::default(),
            size,
        }
    }

    fn state(&mut self, at: Micros, gateway: u32, state: State) {
        if let Some(own) = self.states.get_mut(gateway as usize) {
            *own = state;
        }
        self.changed(at);
    }

    /// Anything that others may have to notice.
    fn changed(&mut self, at: Micros) {
        self.disturbed = at;
        self.seen.clear();
        let all = self.size.gateways;
        let runs = |gateway: u32| self.states[gateway as usize] == State::Runs;
        let near = |one: u32, other: u32| {
            one == other
                || !self.parted.contains_key(&(one, other))
                    && !self.parted.contains_key(&(other, one))
                    && (self.clocks[one as usize] - self.clocks[other as usize]).abs() < CLOCK_OFF
        };
        let there = (0..all).filter(|gateway| self.states[*gateway as usize] != State::Away).count();
        let reached: Vec<bool> = (0..all)
            .map(|gateway| {
                let those = (0..all).filter(|other| runs(*other) && near(gateway, *other)).count();
                runs(gateway) && 2 * those > there
            })
            .collect();
        for (since, now) in self.reached.iter_mut().zip(reached) {
            *since = match (now, *since) {
                (false, _) => None,
                (true, None) => Some(at),
                (true, since) => since,
            };
        }
    }

    fn gone(&mut self, at: Micros, teller: u32, fields: &serde_json::Value, within: Micros) {
        let peer = fields.get("peer").and_then(serde_json::Value::as_str).unwrap_or_default();
        let address = peer.rsplit(' ').next().unwrap_or_default();
        let Some(of) = self.size.addresses.iter().position(|own| own == address) else { return };
        let of = of as u32;
        // One that has started again is another, and its earlier run has ended.
        let run = fields.get("run").and_then(serde_json::Value::as_str);
        if run.zip(self.runs.get(&of)).is_some_and(|(run, now)| run != now) {
            return;
        }
        let long = |since: Option<Micros>| since.is_some_and(|since| since + WITHIN_REACH + within <= at);
        if long(self.reached[of as usize]) && long(self.reached[teller as usize]) {
            let what = format!("gateway {teller} took gateway {of} for gone, which a majority could reach");
            self.broken[1].add(at, what);
        }
    }

    fn view(&mut self, at: Micros, gateway: u32, live: &[String], suspected: &[String]) {
        if !self.standing.is_empty() || at < self.disturbed + self.size.settles {
            return;
        }
        let runs = (0..self.size.gateways).filter(|other| self.states[*other as usize] == State::Runs);
        let address = |other: u32| self.size.addresses[other as usize].clone();
        let all: BTreeSet<String> = runs.filter(|other| *other != gateway).map(address).collect();
        let sees: BTreeSet<String> = live.iter().chain(suspected).cloned().collect();
        // One that is suspected for a moment is still seen; a busy machine brings that about at any time.
        if all == sees && sees.len() == live.len() + suspected.len() {
            self.seen.insert(gateway);
            return;
        }
        let lacks: Vec<_> = all.difference(&sees).cloned().collect();
        let more: Vec<_> = sees.difference(&all).cloned().collect();
        let long = (at - self.disturbed) / MILLISECOND;
        let what =
            format!("{long} ms after the last fault gateway {gateway} lacks {lacks:?} and has {more:?}");
        self.broken[0].add(at, what);
    }

    fn counts_judged(&mut self, at: Micros) {
        let mut wrong = Vec::new();
        let slack = |one: f64, other: f64| EXACT * (one.abs() + other.abs()).max(1.0);
        let names: BTreeSet<&String> = self.sums.values().flat_map(BTreeMap::keys).collect();
        for count in names {
            let known: Vec<(u32, f64, u32)> = self
                .sums
                .iter()
                .filter(|(own, _)| self.states[**own as usize] == State::Runs)
                .filter_map(|(own, sums)| sums.get(count).map(|(total, left)| (*own, *total, *left)))
                .collect();
            let Some(told) = self.counts.get(count).filter(|_| known.iter().all(|(.., left)| *left >= LIVES))
            else {
                continue;
            };
            // Whoever runs since before it added last has told the others itself.
            let adds = |own: u32| told.by.get(&own).is_some_and(|last| *last >= self.started[own as usize]);
            let most = known.iter().map(|(_, total, _)| *total).fold(f64::MIN, f64::max);
            for (own, total, _) in known.iter().filter(|(own, ..)| adds(*own)) {
                if most - total > slack(most, *total) {
                    wrong.push(format!(
                        "gateway {own} adds to '{count}' and knows of {total}, another of {most}"
                    ));
                }
            }
            if !self.size.counter_knows {
                continue;
            }
            let added = told.added;
            for (own, total, _) in &known {
                let lacks = adds(*own) && !told.untold && added - total > slack(added, *total);
                if lacks || total - added > slack(added, *total) {
                    wrong.push(format!("'{count}' is {total} for gateway {own}, and {added} were added"));
                }
            }
        }
        wrong.into_iter().for_each(|what| self.broken[2].add(at, what));
    }
}

impl Checker for MembershipChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::Started { gateway } => {
                self.started[*gateway as usize] = at;
                self.state(at, *gateway, State::Runs);
            }
            Event::Resumed { gateway } => self.state(at, *gateway, State::Runs),
            Event::Paused { gateway } => self.state(at, *gateway, State::Paused),
            Event::Killed { gateway } | Event::Crashed { gateway } => {
                let trouble =
                    self.standing.len() > 1 || self.mended.is_some_and(|mended| at < mended + AFTERWARDS);
                let untold = if trouble { UNTOLD_IN_TROUBLE } else { UNTOLD };
                for count in self.counts.values_mut() {
                    count.untold |= count.by.get(gateway).is_some_and(|last| last + untold >= at);
                }
                self.state(at, *gateway, State::Away);
            }
            Event::ShutdownRequested { gateway } | Event::Ended { gateway } => {
                self.state(at, *gateway, State::Away);
            }
            Event::ClockStepped { gateway, ahead } => {
                self.clocks[*gateway as usize] = *ahead;
                self.changed(at);
            }
            Event::TrafficBlocked { from, to, traffic: LinkTraffic::Datagrams, on } => {
                let faults = self.parted.entry((*from, *to)).or_default();
                *faults = if *on { *faults + 1 } else { faults.saturating_sub(1) };
                self.parted.retain(|_, faults| *faults > 0);
                self.changed(at);
            }
            Event::FaultBegan { number } => {
                self.standing.insert(*number);
                self.changed(at);
            }
            Event::FaultEnded { number } => {
                self.standing.remove(number);
                self.mended = Some(at);
                self.changed(at);
            }
            Event::Record { gateway, event, fields, .. } if event == "mesh.starts" => {
                let run = fields.get("run").and_then(serde_json::Value::as_str);
                self.runs.extend(run.map(|run| (*gateway, run.to_string())));
            }
            Event::Record { gateway, event, fields, within } if event == "mesh.gone" => {
                self.gone(at, *gateway, fields, *within);
            }
            Event::MembershipView { gateway, live, suspected } => self.view(at, *gateway, live, suspected),
            Event::CounterAdded { gateway, key: count, amount, .. } => {
                let count = self.counts.entry(count.clone()).or_default();
                count.added += amount;
                count.by.insert(*gateway, at);
            }
            Event::CounterTotals { gateway, totals: sums } => {
                let sums = sums.iter().map(|(count, total, left)| (count.clone(), (*total, *left)));
                self.sums.insert(*gateway, sums.collect());
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        let runs = (0..self.size.gateways).filter(|own| self.states[*own as usize] == State::Runs);
        let unseen: Vec<u32> = runs.filter(|own| !self.seen.contains(own)).collect();
        if self.broken[0].count == 0 {
            for gateway in unseen {
                let what = format!("gateway {gateway} was not seen to see all after the last fault");
                self.broken[0].add(at, what);
            }
        }
        if !self.sums.is_empty() {
            self.counts_judged(at);
        }
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        ["members", "reached", "counts"].into_iter().zip(&self.broken).collect()
    }
}
