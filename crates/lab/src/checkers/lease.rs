//! Checks the lease holders by their effects, as the stand-in that receives the effects accepts or refuses them.
//!
//! `terms`: no effect of a lower term is accepted after one of a higher term, no term belongs to two runs, and no run acts
//! again for a lease after another run has acted with a higher term. So the effects of two holders never interleave.
//! `owned`: when no fault has been active for a stated time, every lease has a holder.
//!
//! The checker also measures how long a lease had no holder after its holder was killed or asked to shut down, provided that a
//! majority of the acceptors ran and reached each other all the time. A claim of the scenario bounds these times. If the next
//! holder stops before its first effect, its own log record of the acquisition ends the wait, and a new wait begins when it
//! stops. For each other gateway that was killed during a wait, one lease time is subtracted, because acceptors may have
//! promised the lease to that gateway and hold the promise until it expires.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::Violations;
use crate::history::{Checker, Event, LinkTraffic};
use crate::{Micros, MILLISECOND, SECOND};

/// A holder acts several times within this time.
const RECENT_EFFECT: Micros = SECOND;
/// How long a run that has logged an acquisition may take until its first effect.
const MAX_TIME_TO_FIRST_EFFECT: Micros = 200 * MILLISECOND;

/// The leases and acceptors of the scenario, and the time bounds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseBounds {
    pub gateways: u32,
    #[serde(rename = "voters")]
    pub acceptors: Vec<u32>,
    #[serde(rename = "jobs")]
    pub leases: Vec<String>,
    /// How long an acceptor holds a lease for the gateway to which it has promised it.
    #[serde(default)]
    pub lease: Micros,
    /// When no fault is active any more, every lease must have a holder within this time.
    #[serde(rename = "settles")]
    pub settle_time: Micros,
}

#[derive(Default)]
struct LeaseState {
    highest: Option<(u64, u64)>,
    /// The run that acted last, and when.
    last_effect: Option<(u64, Micros)>,
    /// The holder stopped: when, whether it was killed, and its run.
    lost_holder: Option<(Micros, bool, u64)>,
    /// Number of gateways killed since then. Acceptors may have promised the lease to each of them and hold that promise for one
    /// lease time.
    later_kills: u32,
    /// The run that last logged that it holds the lease, and when.
    claimed: Option<(u64, Micros)>,
}

impl LeaseState {
    /// A run logged that it held the lease and stopped before it could act: this ends one wait and begins another.
    fn end_wait_at_claim(
        &mut self,
        run: u64,
        claimed_at: Micros,
        (at, killed): (Micros, bool),
        lease: Micros,
        wait_times: &mut WaitTimes,
    ) {
        let before = self.lost_holder.filter(|(since, _, before)| *before != run && *since <= claimed_at);
        let Some((since, was_killed, _)) = before.filter(|_| claimed_at + MAX_TIME_TO_FIRST_EFFECT >= at)
        else {
            return;
        };
        wait_times.add(was_killed, (claimed_at - since).saturating_sub(u64::from(self.later_kills) * lease));
        (self.lost_holder, self.later_kills) = (Some((at, killed, run)), 0);
    }
}

#[derive(Default)]
struct WaitTimes {
    after_crash: Vec<Micros>,
    after_term: Vec<Micros>,
}

impl WaitTimes {
    fn add(&mut self, killed: bool, time: Micros) {
        if killed { &mut self.after_crash } else { &mut self.after_term }.push(time);
    }
}

pub struct LeaseChecker {
    bounds: LeaseBounds,
    runs: BTreeMap<u64, u32>,
    terms: BTreeMap<(String, u64), u64>,
    leases: BTreeMap<String, LeaseState>,
    stopped: BTreeSet<u32>,
    /// When each gateway stopped last, and whether it was killed.
    last_stop: BTreeMap<u32, (Micros, bool)>,
    blocked_links: BTreeMap<(u32, u32), u32>,
    active_faults: BTreeSet<usize>,
    last_disturbance: Micros,
    wait_times: WaitTimes,
    holder_changes: u64,
    refused_effects: u64,
    violations: [Violations; 2],
}

impl LeaseChecker {
    pub fn new(bounds: LeaseBounds) -> Self {
        let leases = bounds.leases.iter().map(|job| (job.clone(), LeaseState::default())).collect();
        LeaseChecker {
            bounds,
            runs: BTreeMap::new(),
            terms: BTreeMap::new(),
            leases,
            stopped: BTreeSet::new(),
            last_stop: BTreeMap::new(),
            blocked_links: BTreeMap::new(),
            active_faults: BTreeSet::new(),
            last_disturbance: 0,
            wait_times: WaitTimes::default(),
            holder_changes: 0,
            refused_effects: 0,
            violations: Default::default(),
        }
    }

    fn effect(&mut self, at: Micros, job: &str, term: u64, run: u64, taken: bool) {
        if !taken {
            self.refused_effects += 1;
            return;
        }
        let term_run = *self.terms.entry((job.to_string(), term)).or_insert(run);
        if term_run != run {
            self.violations[0]
                .add(at, format!("term {term} of '{job}' belongs to runs {term_run:016x} and {run:016x}"));
        }
        let state = self.leases.entry(job.to_string()).or_default();
        if let Some(highest) = state.highest.filter(|highest| *highest > (term, run)) {
            let what =
                format!("an effect of '{job}' by term {term} was accepted after one by term {}", highest.0);
            self.violations[0].add(at, what);
        } else if state.highest != Some((term, run)) {
            state.highest = Some((term, run));
            self.holder_changes += 1;
        }
        if let Some((since, killed, _)) = state.lost_holder.filter(|(.., before)| *before != run) {
            let promised = u64::from(state.later_kills) * self.bounds.lease;
            self.wait_times.add(killed, (at - since).saturating_sub(promised));
            state.lost_holder = None;
        }
        state.last_effect = Some((run, at));
    }

    /// A gateway stops: other gateways must acquire the leases that it held.
    fn gateway_stopped(&mut self, at: Micros, gateway: u32, killed: bool) {
        self.stopped.insert(gateway);
        self.last_stop.insert(gateway, (at, killed));
        if !self.has_connected_majority() {
            return;
        }
        for state in self.leases.values_mut() {
            let claim = state.claimed.filter(|(run, _)| self.runs.get(run) == Some(&gateway));
            if let Some((run, claimed_at)) = claim {
                state.end_wait_at_claim(
                    run,
                    claimed_at,
                    (at, killed),
                    self.bounds.lease,
                    &mut self.wait_times,
                );
            }
            let last_effect = state.last_effect.filter(|(_, last_effect)| *last_effect + RECENT_EFFECT > at);
            let holder = last_effect.filter(|(run, _)| self.runs.get(run) == Some(&gateway));
            match (state.lost_holder, holder) {
                (None, Some((run, _))) => {
                    (state.lost_holder, state.later_kills) = (Some((at, killed, run)), 0);
                }
                (Some((since, ..)), _) if killed && since < at => state.later_kills += 1,
                _ => {}
            }
        }
    }

    /// A log record says that a run has acquired, lost or released a lease.
    fn lease_record(&mut self, at: Micros, gateway: u32, event: &str, fields: &Value) {
        let run = fields.get("run").and_then(Value::as_str);
        let Some(run) = run.and_then(|run| u64::from_str_radix(run, 16).ok()) else { return };
        if event == "owner.starts" {
            self.runs.insert(run, gateway);
        }
        let job = fields.get("job").and_then(Value::as_str).and_then(|job| self.leases.get_mut(job));
        let Some(state) = job else { return };
        match event {
            "owner.owns" => {
                state.claimed = Some((run, at));
                // The log may be read after the lab has recorded the gateway's end.
                let last_stop = self.last_stop.get(&gateway).filter(|(last_stop, _)| *last_stop >= at);
                if let (Some(last_stop), true) = (last_stop, self.runs.get(&run) == Some(&gateway)) {
                    state.end_wait_at_claim(run, at, *last_stop, self.bounds.lease, &mut self.wait_times);
                }
            }
            "owner.lost" | "owner.left" => state.claimed = state.claimed.filter(|(holder, _)| *holder != run),
            _ => {}
        }
    }

    /// Whether a majority of the acceptors runs and no link is blocked; otherwise no wait is measured.
    fn has_connected_majority(&self) -> bool {
        let running =
            self.bounds.acceptors.iter().filter(|acceptor| !self.stopped.contains(acceptor)).count();
        2 * running > self.bounds.acceptors.len() && self.blocked_links.is_empty()
    }

    fn note_disturbance(&mut self, at: Micros) {
        self.last_disturbance = at;
        if !self.has_connected_majority() {
            self.leases.values_mut().for_each(|state| state.lost_holder = None);
        }
    }

    /// The measured times and counts for the report.
    pub fn report(&self) -> Value {
        let max_ms = |wait_times: &[Micros]| {
            wait_times.iter().max().map_or(0.0, |time| *time as f64 / MILLISECOND as f64)
        };
        json!({
            "owners": self.holder_changes, "refused": self.refused_effects,
            "after_crash": { "count": self.wait_times.after_crash.len(), "most_ms": max_ms(&self.wait_times.after_crash) },
            "after_term": { "count": self.wait_times.after_term.len(), "most_ms": max_ms(&self.wait_times.after_term) },
        })
    }
}

impl Checker for LeaseChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::Effect { job, term, run, taken, .. } => self.effect(at, job, *term, *run, *taken),
            Event::Record { gateway, event, fields, .. } => self.lease_record(at, *gateway, event, fields),
            Event::Started { gateway } | Event::Resumed { gateway } => {
                self.stopped.remove(gateway);
                self.note_disturbance(at);
            }
            Event::Killed { gateway } | Event::Crashed { gateway } => {
                self.gateway_stopped(at, *gateway, true);
                self.note_disturbance(at);
            }
            Event::ShutdownRequested { gateway } => {
                self.gateway_stopped(at, *gateway, false);
                self.note_disturbance(at);
            }
            Event::Paused { gateway } => {
                self.stopped.insert(*gateway);
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
                self.last_disturbance = at;
            }
            Event::FaultEnded { number } => {
                self.active_faults.remove(number);
                self.last_disturbance = at;
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        if !self.active_faults.is_empty()
            || at < self.last_disturbance + self.bounds.settle_time
            || !self.has_connected_majority()
        {
            return;
        }
        for (name, state) in &self.leases {
            if state.last_effect.is_none_or(|(_, last_effect)| last_effect + RECENT_EFFECT < at) {
                self.violations[1].add(at, format!("'{name}' has no holder at the end of the run"));
            }
        }
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        ["terms", "owned"].into_iter().zip(&self.violations).collect()
    }

    fn figures(&self) -> Option<(&'static str, Value)> {
        Some(("owner", LeaseChecker::report(self)))
    }
}
