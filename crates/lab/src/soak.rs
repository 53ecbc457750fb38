//! Plays many days of faults, each drawn by its seed and played once, and keeps what is needed to look into those on which a rule
//! breaks. A day is an ordinary scenario: its seed draws it again, and its file plays it again.

use std::fmt;
use std::io;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

use crate::fault_schedule::{self, FaultDistribution};
use crate::live::gateway::Program;
use crate::live::play::{self, play, Options};
use crate::report;
use crate::scenario::Scenario;

/// What is played.
pub struct Plan {
    /// What the days have in common, with the distribution that their faults are drawn from.
    pub base: Scenario,
    /// A day each.
    pub seeds: RangeInclusive<u64>,
    /// Where scenarios and histories of days on which a rule breaks are kept.
    pub folder: PathBuf,
    /// What is run as a gateway.
    pub program: Program,
    /// How many days are played at once.
    pub side_by_side: usize,
}

/// How one day went.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its seed.
    pub seed: u64,
    /// Faults that were drawn.
    pub faults: usize,
    /// Requests that clients sent.
    pub requests: u64,
    /// The rules that broke and the claims that did not hold, a line each.
    pub broken: Vec<String>,
    /// Why its figures say nothing, where they don't. A broken rule counts all the same.
    pub void: Option<String>,
}

impl fmt::Display for Day {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let verdict = if self.broken.is_empty() { "kept" } else { "BROKEN" };
        write!(
            formatter,
            "seed {}: {verdict}, {} faults, {} requests",
            self.seed, self.faults, self.requests
        )?;
        if let Some(why) = &self.void {
            write!(formatter, ", void: {why}")?;
        }
        self.broken.iter().try_for_each(|line| write!(formatter, "\n  {line}"))
    }
}

/// How all days went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Days that were played.
    pub days: usize,
    /// Faults of all days.
    pub faults: usize,
    /// Requests of all days.
    pub requests: u64,
    /// Days on which a rule broke.
    pub broken: usize,
    /// Days without a broken rule whose figures say nothing.
    pub void: usize,
}

impl Summary {
    /// The sum of these days.
    pub fn of(days: &[Day]) -> Self {
        Summary {
            days: days.len(),
            faults: days.iter().map(|day| day.faults).sum(),
            requests: days.iter().map(|day| day.requests).sum(),
            broken: days.iter().filter(|day| !day.broken.is_empty()).count(),
            void: days.iter().filter(|day| day.broken.is_empty() && day.void.is_some()).count(),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Summary { days, faults, requests, broken, void } = self;
        write!(
            formatter,
            "soak: {days} days, {faults} faults, {requests} requests; {broken} broken, {void} void"
        )
    }
}

/// Why a soak could not be played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The scenario has nothing that faults could be drawn from.
    #[error("the scenario has no [storm] to draw faults from")]
    NoDistribution,
    /// The folder can't be used.
    #[error("'{path}': {why}")]
    Folder {
        /// Where.
        path: String,
        /// What the system reports.
        why: io::Error,
    },
    /// A day can't be written as a scenario.
    #[error("seed {seed}: {why}")]
    Scenario {
        /// Of which day.
        seed: u64,
        /// What can't be written.
        why: toml::ser::Error,
    },
    /// A day could not be played.
    #[error("seed {seed}: {why}")]
    Play {
        /// Of which day.
        seed: u64,
        /// Why.
        why: play::Error,
    },
}

/// Plays all days, and gives them in the order of their seeds.
///
/// # Errors
///
/// The first reason for which a day could not be played.
pub fn play_all(plan: &Plan) -> Result<Vec<Day>, Error> {
    let distribution = plan.base.storm.clone().ok_or(Error::NoDistribution)?;
    std::fs::create_dir_all(&plan.folder).map_err(|why| folder_error(&plan.folder, why))?;
    let next = AtomicU64::new(*plan.seeds.start());
    let played = Mutex::new(Vec::new());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if !plan.seeds.contains(&seed) {
            return;
        }
        let day = play_day(plan, &distribution, seed);
        played.lock().expect("no day panics while it is added").push(day);
    };
    thread::scope(|scope| {
        for _ in 0..plan.side_by_side.max(1) {
            scope.spawn(work);
        }
    });
    let played = played.into_inner().expect("no day panics while it is added");
    let mut days = played.into_iter().collect::<Result<Vec<Day>, Error>>()?;
    days.sort_by_key(|day| day.seed);
    Ok(days)
}

fn play_day(plan: &Plan, distribution: &FaultDistribution, seed: u64) -> Result<Day, Error> {
    let scenario = fault_schedule::draw(&plan.base, distribution, seed);
    let file = |end: &str| plan.folder.join(format!("soak-{seed}.{end}"));
    let (description, history) = (file("toml"), file("jsonl"));
    let text = toml::to_string(&scenario).map_err(|why| Error::Scenario { seed, why })?;
    std::fs::write(&description, text).map_err(|why| folder_error(&description, why))?;
    let options =
        Options { program: plan.program.clone(), keep: None, history: Some(history.clone()), live: false };
    let report = play(&scenario, &options).map_err(|why| Error::Play { seed, why })?;
    let day = Day {
        seed,
        faults: scenario.faults.len(),
        requests: report["transactions"]["sent"].as_u64().unwrap_or(0),
        broken: report::broken(&report),
        void: report["void"].as_str().map(String::from),
    };
    if day.broken.is_empty() {
        for kept in [description, history] {
            std::fs::remove_file(&kept).map_err(|why| folder_error(&kept, why))?;
        }
    }
    Ok(day)
}

fn folder_error(path: &Path, why: io::Error) -> Error {
    Error::Folder { path: path.display().to_string(), why }
}
