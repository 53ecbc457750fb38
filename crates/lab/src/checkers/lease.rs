//! Judges the owners of the fleet's jobs by what comes of them, where effects are taken in.
//!
//! `terms`: no effect of a lower term is taken after one of a higher, no term belongs to two runs, and no run acts again
//! for a job once another has acted by a higher term: so no two owners' effects interleave.
//! `owned`: once nothing has been broken for a stated time, every job is somebody's.
//!
//! It measures as well how long a job was nobody's after its owner was killed or told to end, where a majority of the voters
//! ran and reached each other all the while: a claim of the scenario is the bound on that. An owner that is gone itself before
//! its first effect has come counts by its own word; from its end on the job is measured anew. Of a wait in which another gateway was killed
//! a lease is taken off for each, as voters may have promised that one the job and hold it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::Violations;
use crate::history::{Checker, Event, LinkTraffic};
use crate::{Micros, MILLISECOND, SECOND};

/// Effects come some times in this.
const LATELY: Micros = SECOND;
/// For so long whoever has said that it owns a job may have done nothing for it yet.
const UNACTED: Micros = 200 * MILLISECOND;

/// What the judge must know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseBounds {
    pub gateways: u32,
    #[serde(rename = "voters")]
    pub acceptors: Vec<u32>,
    #[serde(rename = "jobs")]
    pub leases: Vec<String>,
    /// For which a voter holds a job for whoever it has promised it to.
    #[serde(default)]
    pub lease: Micros,
    /// In which every job must have an owner, once nothing is broken any more.
    pub settles: Micros,
}

#[derive(Default)]
struct Job {
    highest: Option<(u64, u64)>,
    /// Who acted last, and when.
    last: Option<(u64, Micros)>,
    /// Its owner went: when, whether it was killed, and what it was.
    lost: Option<(Micros, bool, u64)>,
    /// Gateways that were killed since: voters may have promised it to each, and hold it for that one for a lease.
    more: u32,
    /// Who has said last that it owns the job, and when.
    said: Option<(u64, Micros)>,
}

impl Job {
    /// A run had it, by its own word, and went before it could do anything.
    fn had_and_lost(
        &mut self,
        run: u64,
        said: Micros,
        (at, killed): (Micros, bool),
        lease: Micros,
        times: &mut Times,
    ) {
        let before = self.lost.filter(|(since, _, before)| *before != run && *since <= said);
        let Some((since, was_killed, _)) = before.filter(|_| said + UNACTED >= at) else { return };
        times.add(was_killed, (said - since).saturating_sub(u64::from(self.more) * lease));
        (self.lost, self.more) = (Some((at, killed, run)), 0);
    }
}

#[derive(Default)]
struct Times {
    after_crash: Vec<Micros>,
    after_term: Vec<Micros>,
}

impl Times {
    fn add(&mut self, killed: bool, time: Micros) {
        if killed { &mut self.after_crash } else { &mut self.after_term }.push(time);
    }
}

pub struct LeaseChecker {
    size: LeaseBounds,
    runs: BTreeMap<u64, u32>,
    terms: BTreeMap<(String, u64), u64>,
    jobs: BTreeMap<String, Job>,
    away: BTreeSet<u32>,
    /// When each gateway went the last time, and whether it was killed.
    went: BTreeMap<u32, (Micros, bool)>,
    parted: BTreeMap<(u32, u32), u32>,
    standing: BTreeSet<usize>,
    disturbed: Micros,
    times: Times,
    owners: u64,
    refused: u64,
    broken: [Violations; 2],
}

impl LeaseChecker {
    pub fn new(size: LeaseBounds) -> Self {
        let jobs = size.leases.iter().map(|job| (job.clone(), Job::default())).collect();
        LeaseChecker {
            size,
            runs: BTreeMap::new(),
            terms: BTreeMap::new(),
            jobs,
            away: BTreeSet::new(),
            went: BTreeMap::new(),
            parted: BTreeMap::new(),
            standing: BTreeSet::new(),
            disturbed: 0,
            times: Times::default(),
            owners: 0,
            refused: 0,
            broken: Default::default(),
        }
    }

    fn effect(&mut self, at: Micros, job: &str, term: u64, run: u64, taken: bool) {
        if !taken {
            self.refused += 1;
            return;
        }
        let one = *self.terms.entry((job.to_string(), term)).or_insert(run);
        if one != run {
            self.broken[0]
                .add(at, format!("term {term} of '{job}' belongs to runs {one:016x} and {run:016x}"));
        }
        let own = self.jobs.entry(job.to_string()).or_default();
        if let Some(highest) = own.highest.filter(|highest| *highest > (term, run)) {
            let what =
                format!("an effect of '{job}' by term {term} was taken after one by term {}", highest.0);
            self.broken[0].add(at, what);
        } else if own.highest != Some((term, run)) {
            own.highest = Some((term, run));
            self.owners += 1;
        }
        if let Some((since, killed, _)) = own.lost.filter(|(.., before)| *before != run) {
            let held = u64::from(own.more) * self.size.lease;
            self.times.add(killed, (at - since).saturating_sub(held));
            own.lost = None;
        }
        own.last = Some((run, at));
    }

    /// A gateway goes: what it owned is to be another's soon.
    fn goes(&mut self, at: Micros, gateway: u32, killed: bool) {
        self.away.insert(gateway);
        self.went.insert(gateway, (at, killed));
        if !self.agrees() {
            return;
        }
        for job in self.jobs.values_mut() {
            let said = job.said.filter(|(run, _)| self.runs.get(run) == Some(&gateway));
            if let Some((run, said)) = said {
                job.had_and_lost(run, said, (at, killed), self.size.lease, &mut self.times);
            }
            let last = job.last.filter(|(_, last)| *last + LATELY > at);
            let owner = last.filter(|(run, _)| self.runs.get(run) == Some(&gateway));
            match (job.lost, owner) {
                (None, Some((run, _))) => (job.lost, job.more) = (Some((at, killed, run)), 0),
                (Some((since, ..)), _) if killed && since < at => job.more += 1,
                _ => {}
            }
        }
    }

    /// A run says that it owns a job from now on, or no more.
    fn says(&mut self, at: Micros, gateway: u32, event: &str, fields: &Value) {
        let run = fields.get("run").and_then(Value::as_str);
        let Some(run) = run.and_then(|run| u64::from_str_radix(run, 16).ok()) else { return };
        if event == "owner.starts" {
            self.runs.insert(run, gateway);
        }
        let job = fields.get("job").and_then(Value::as_str).and_then(|job| self.jobs.get_mut(job));
        let Some(job) = job else { return };
        match event {
            "owner.owns" => {
                job.said = Some((run, at));
                // Its log may be read after its end is known.
                let went = self.went.get(&gateway).filter(|(went, _)| *went >= at);
                if let (Some(went), true) = (went, self.runs.get(&run) == Some(&gateway)) {
                    job.had_and_lost(run, at, *went, self.size.lease, &mut self.times);
                }
            }
            "owner.lost" | "owner.left" => job.said = job.said.filter(|(own, _)| *own != run),
            _ => {}
        }
    }

    /// Whether a majority of the voters run and nobody is parted from anybody; where not, nothing is measured.
    fn agrees(&self) -> bool {
        let run = self.size.acceptors.iter().filter(|voter| !self.away.contains(voter)).count();
        2 * run > self.size.acceptors.len() && self.parted.is_empty()
    }

    fn changed(&mut self, at: Micros) {
        self.disturbed = at;
        if !self.agrees() {
            self.jobs.values_mut().for_each(|job| job.lost = None);
        }
    }

    /// For the report.
    pub fn shown(&self) -> Value {
        let most =
            |times: &[Micros]| times.iter().max().map_or(0.0, |time| *time as f64 / MILLISECOND as f64);
        json!({
            "owners": self.owners, "refused": self.refused,
            "after_crash": { "count": self.times.after_crash.len(), "most_ms": most(&self.times.after_crash) },
            "after_term": { "count": self.times.after_term.len(), "most_ms": most(&self.times.after_term) },
        })
    }
}

impl Checker for LeaseChecker {
    fn observe(&mut self, at: Micros, event: &Event) {
        match event {
            Event::Effect { job, term, run, taken, .. } => self.effect(at, job, *term, *run, *taken),
            Event::Record { gateway, event, fields, .. } => self.says(at, *gateway, event, fields),
            Event::Started { gateway } | Event::Resumed { gateway } => {
                self.away.remove(gateway);
                self.changed(at);
            }
            Event::Killed { gateway } | Event::Crashed { gateway } => {
                self.goes(at, *gateway, true);
                self.changed(at);
            }
            Event::ShutdownRequested { gateway } => {
                self.goes(at, *gateway, false);
                self.changed(at);
            }
            Event::Paused { gateway } => {
                self.away.insert(*gateway);
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
                self.disturbed = at;
            }
            Event::FaultEnded { number } => {
                self.standing.remove(number);
                self.disturbed = at;
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Micros) {
        if !self.standing.is_empty() || at < self.disturbed + self.size.settles || !self.agrees() {
            return;
        }
        for (name, job) in &self.jobs {
            if job.last.is_none_or(|(_, last)| last + LATELY < at) {
                self.broken[1].add(at, format!("nobody owns '{name}' in the end"));
            }
        }
    }

    fn rules(&self) -> Vec<(&'static str, &Violations)> {
        ["terms", "owned"].into_iter().zip(&self.broken).collect()
    }

    fn figures(&self) -> Option<(&'static str, Value)> {
        Some(("owner", LeaseChecker::shown(self)))
    }
}
