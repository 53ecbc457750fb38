//! All that happened in a run, as one line of events on the lab's clock; who judges it; and how it is kept and judged again.
//!
//! Whoever sees something tells the `Court`: the stand-ins what they met, the lab what it breaks, the readers of the
//! gateways' logs what those say. Each judge hears every event in its order, so that a judge can be tried on a history
//! that was written by hand, and a history that was kept gives the same verdict again.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::checkers::lease::{self, Owners};
use crate::checkers::membership::{Fleet, Size};
use crate::checkers::outlier_detection::{self, Signals};
use crate::checkers::subsetting::{self, Cover};
use crate::model::clients::Ask;
use crate::model::discovery::Status;
use crate::model::server::{Cold, End};
use crate::request_ledger::{Arrival, Broken, Harm, Ledger, Link, Terms};
use crate::wire::Answer;
use crate::Micros;

/// What goes from one gateway to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goods {
    Datagrams,
    Streams,
}

/// What happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    // Clients.
    Asked {
        ask: Ask,
    },
    Written {
        id: u64,
        gateway: u32,
    },
    Unsent {
        id: u64,
    },
    Answered {
        id: u64,
        answer: Answer,
    },
    Unanswered {
        id: u64,
        closed: bool,
    },
    /// Its client has closed the connection before anything came.
    Left {
        id: u64,
    },
    Stray {
        gateway: u32,
        since: Micros,
        bytes: Vec<u8>,
    },
    Harm {
        gateway: u32,
        got: Harm,
    },
    // Boxes.
    BoxStarts {
        name: String,
        zone: String,
        cell: u32,
        started: Option<Micros>,
        power: f64,
        cold: Cold,
    },
    Arrived {
        arrival: Arrival,
    },
    Ran {
        trip: usize,
        end: End,
    },
    Over {
        trip: usize,
    },
    Fell {
        name: String,
    },
    // Discovery, operators, the counter.
    Told {
        gateway: u32,
        name: String,
        status: Status,
        started: Option<Micros>,
    },
    /// An operator's word has been answered with yes.
    Cordoned {
        gateway: u32,
        name: String,
        out: bool,
    },
    /// The counter has added an amount for a gateway to a name that lives so long.
    Added {
        gateway: u32,
        count: String,
        amount: f64,
        life: Micros,
    },
    // Gateways' processes.
    /// A process starts; it knows what it was given at the start only.
    Started {
        gateway: u32,
    },
    /// A process was ended at once.
    Killed {
        gateway: u32,
    },
    /// SIGTERM was sent to a gateway's last process.
    Ends {
        gateway: u32,
    },
    Ended {
        gateway: u32,
    },
    /// It ended though nobody had told it to.
    Crashed {
        gateway: u32,
    },
    Paused {
        gateway: u32,
    },
    Resumed {
        gateway: u32,
    },
    /// A gateway's shared clock is so many microseconds ahead from now on.
    Clock {
        gateway: u32,
        ahead: i64,
    },
    // Links.
    LinkBreaks {
        link: Link,
    },
    LinkMends {
        link: Link,
    },
    /// Nothing of these goods passes from one gateway to another from now on, or too little to speak of; or it does again.
    Parts {
        from: u32,
        to: u32,
        goods: Goods,
        on: bool,
    },
    // Faults, as the scenario numbers them.
    FaultBegins {
        number: usize,
    },
    FaultEnds {
        number: usize,
    },
    /// Something done by the owner of a job has come to where it has its effect.
    Effect {
        job: String,
        term: u64,
        run: u64,
        number: u64,
        taken: bool,
    },
    /// The last client has its answer.
    Quiet,
    // What gateways say.
    /// A record of a gateway's log, placed on the lab's clock to within so many microseconds.
    Record {
        gateway: u32,
        event: String,
        fields: Value,
        within: Micros,
    },
    /// Whom a gateway sees, by their names; suspected ones too.
    View {
        gateway: u32,
        live: Vec<String>,
        suspected: Vec<String>,
    },
    /// What a gateway knows of the counts that live, and the milliseconds they still do.
    Sums {
        gateway: u32,
        sums: Vec<(String, f64, u32)>,
    },
}

/// Someone who hears of everything and judges by rules of its own.
pub trait Judge {
    fn hear(&mut self, at: Micros, event: &Event);

    /// Nothing more will come.
    fn end(&mut self, at: Micros);

    /// Its rules by the names of the report, and how each was broken.
    fn rules(&self) -> Vec<(&'static str, &Broken)>;

    /// What it has measured, for the report, under a name of its own.
    fn shown(&self) -> Option<(&'static str, Value)> {
        None
    }
}

/// What a history begins with: by which terms it is judged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    pub scenario: String,
    pub seed: u64,
    pub terms: Terms,
    /// Absent, nobody judges how gateways see each other.
    pub fleet: Option<Size>,
    /// Absent, nobody judges who owns jobs.
    #[serde(default)]
    pub owners: Option<lease::Size>,
    /// Absent, nobody judges how the work comes to the boxes.
    #[serde(default)]
    pub subsets: Option<subsetting::Size>,
    /// Absent, nobody measures what ill boxes cost.
    #[serde(default)]
    pub signals: Option<outlier_detection::Size>,
}

#[derive(Serialize, Deserialize)]
struct Line {
    at: Micros,
    #[serde(flatten)]
    event: Event,
}

/// Those who judge a run, and where it is written down.
pub struct Court {
    pub ledger: Ledger,
    judges: Vec<Box<dyn Judge>>,
    out: Option<BufWriter<File>>,
    pub heard: u64,
    /// The history could not be written on.
    pub failed: Option<io::Error>,
}

impl Court {
    /// The five rules alone.
    pub fn of(ledger: Ledger) -> Self {
        Court { ledger, judges: Vec::new(), out: None, heard: 0, failed: None }
    }

    /// All who judge by these terms.
    pub fn new(head: &Head) -> Self {
        let mut court = Court::of(Ledger::new(head.terms.clone()));
        if let Some(size) = head.fleet.clone() {
            court.judges.push(Box::new(Fleet::new(size)));
        }
        if let Some(size) = head.owners.clone() {
            court.judges.push(Box::new(Owners::new(size)));
        }
        if let Some(size) = head.subsets.clone() {
            court.judges.push(Box::new(Cover::new(size)));
        }
        if let Some(size) = head.signals.clone() {
            court.judges.push(Box::new(Signals::new(size)));
        }
        court
    }

    pub fn judged_by(&mut self, judge: Box<dyn Judge>) {
        self.judges.push(judge);
    }

    /// Writes down all that is heard from now on.
    pub fn keep(&mut self, file: &Path, head: &Head) -> io::Result<()> {
        let mut out = BufWriter::new(File::create(file)?);
        serde_json::to_writer(&mut out, head)?;
        out.write_all(b"\n")?;
        self.out = Some(out);
        Ok(())
    }

    /// Something has happened. Gives the number of a trip that arrived, by which it is told on.
    pub fn hear(&mut self, at: Micros, event: Event) -> usize {
        self.heard += 1;
        self.ledger.hear(at, &event);
        self.judges.iter_mut().for_each(|judge| judge.hear(at, &event));
        if let Some(out) = &mut self.out {
            let written = serde_json::to_writer(&mut *out, &Line { at, event }).map_err(io::Error::from);
            if let Err(why) = written.and_then(|()| out.write_all(b"\n")) {
                self.failed = Some(why);
                self.out = None;
            }
        }
        self.ledger.trips().saturating_sub(1)
    }

    pub fn end(&mut self, at: Micros) {
        self.ledger.end(at);
        self.judges.iter_mut().for_each(|judge| judge.end(at));
        if let Some(Err(why)) = self.out.take().map(|mut out| out.flush()) {
            self.failed = Some(why);
        }
    }

    pub fn rules(&self) -> Vec<(&'static str, &Broken)> {
        let others = self.judges.iter().flat_map(|judge| judge.rules());
        Judge::rules(&self.ledger).into_iter().chain(others).collect()
    }

    /// What the judges have measured.
    pub fn shown(&self) -> Vec<(&'static str, Value)> {
        self.judges.iter().filter_map(|judge| judge.shown()).collect()
    }

    pub fn any_broken(&self) -> u64 {
        self.rules().iter().map(|(_, broken)| broken.count).sum()
    }
}

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("'{path}' can't be read: {why}")]
    Unread { path: String, why: io::Error },
    #[error("'{path}', line {line}: {why}")]
    Unclear { path: String, line: usize, why: serde_json::Error },
    #[error("'{path}' is empty: a history begins with the terms that it is judged by")]
    Empty { path: String },
}

/// Judges a history that was kept, from its file alone.
pub fn judge(file: &Path) -> Result<(Head, Court), Error> {
    let path = file.display().to_string();
    let unread = |why| Error::Unread { path: path.clone(), why };
    let mut lines = BufReader::new(File::open(file).map_err(unread)?).lines();
    let first = lines.next().ok_or_else(|| Error::Empty { path: path.clone() })?.map_err(unread)?;
    let head: Head =
        serde_json::from_str(&first).map_err(|why| Error::Unclear { path: path.clone(), line: 1, why })?;
    let (mut court, mut last) = (Court::new(&head), 0);
    for (number, line) in lines.enumerate() {
        let line = line.map_err(unread)?;
        let Line { at, event } = serde_json::from_str(&line).map_err(|why| Error::Unclear {
            path: path.clone(),
            line: number + 2,
            why,
        })?;
        court.hear(at, event);
        last = at;
    }
    court.end(last);
    Ok((head, court))
}
