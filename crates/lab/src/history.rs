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

use crate::checkers::lease::{self, LeaseChecker};
use crate::checkers::membership::{MembershipBounds, MembershipChecker};
use crate::checkers::outlier_detection::{self, OutlierChecker};
use crate::checkers::subsetting::{self, SubsettingChecker};
use crate::model::clients::ClientRequest;
use crate::model::discovery::Status;
use crate::model::server::{AttemptEnd, SlowStart};
use crate::request_ledger::{Arrival, Link, MisbehaviorOutcome, RequestLedger, RuleBounds, Violations};
use crate::wire::Answer;
use crate::Micros;

/// What goes from one gateway to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkTraffic {
    Datagrams,
    Streams,
}

/// What happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    // Clients.
    #[serde(rename = "asked")]
    RequestCreated {
        #[serde(rename = "ask")]
        request: ClientRequest,
    },
    #[serde(rename = "written")]
    RequestWritten {
        id: u64,
        gateway: u32,
    },
    #[serde(rename = "unsent")]
    RequestUnsent {
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
    #[serde(rename = "left")]
    ClientDisconnected {
        id: u64,
    },
    Stray {
        gateway: u32,
        since: Micros,
        bytes: Vec<u8>,
    },
    #[serde(rename = "harm")]
    MisbehaviorEnded {
        gateway: u32,
        got: MisbehaviorOutcome,
    },
    // Boxes.
    #[serde(rename = "box-starts")]
    ServerStarted {
        name: String,
        zone: String,
        cell: u32,
        started: Option<Micros>,
        power: f64,
        cold: SlowStart,
    },
    #[serde(rename = "arrived")]
    AttemptArrived {
        arrival: Arrival,
    },
    /// Of two attempts of a request, the gateway had ended the connection of one before it sent the other, by when both came to
    /// the machine: the one that comes next to this server, and the one with this number, which has come before.
    #[serde(rename = "apart")]
    AttemptsApart {
        id: u64,
        #[serde(rename = "box_")]
        server: String,
        #[serde(rename = "trip")]
        other: usize,
    },
    #[serde(rename = "ran")]
    AttemptEnded {
        #[serde(rename = "trip")]
        attempt: usize,
        end: AttemptEnd,
    },
    #[serde(rename = "over")]
    AttemptClosed {
        #[serde(rename = "trip")]
        attempt: usize,
    },
    #[serde(rename = "fell")]
    ServerCollapsed {
        name: String,
    },
    // Discovery, operators, the counter.
    #[serde(rename = "told")]
    EndpointNotified {
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
    #[serde(rename = "added")]
    CounterAdded {
        gateway: u32,
        #[serde(rename = "count")]
        key: String,
        amount: f64,
        #[serde(rename = "life")]
        lifetime: Micros,
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
    #[serde(rename = "ends")]
    ShutdownRequested {
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
    #[serde(rename = "clock")]
    ClockStepped {
        gateway: u32,
        ahead: i64,
    },
    // Links.
    #[serde(rename = "link-breaks")]
    LinkBroken {
        link: Link,
    },
    #[serde(rename = "link-mends")]
    LinkRestored {
        link: Link,
    },
    /// Nothing of these goods passes from one gateway to another from now on, or too little to speak of; or it does again.
    #[serde(rename = "parts")]
    TrafficBlocked {
        from: u32,
        to: u32,
        #[serde(rename = "goods")]
        traffic: LinkTraffic,
        on: bool,
    },
    // Faults, as the scenario numbers them.
    #[serde(rename = "fault-begins")]
    FaultBegan {
        number: usize,
    },
    #[serde(rename = "fault-ends")]
    FaultEnded {
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
    #[serde(rename = "view")]
    MembershipView {
        gateway: u32,
        live: Vec<String>,
        suspected: Vec<String>,
    },
    /// What a gateway knows of the counts that live, and the milliseconds they still do.
    #[serde(rename = "sums")]
    CounterTotals {
        gateway: u32,
        #[serde(rename = "sums")]
        totals: Vec<(String, f64, u32)>,
    },
}

/// Someone who hears of everything and judges by rules of its own.
pub trait Checker {
    fn observe(&mut self, at: Micros, event: &Event);

    /// Nothing more will come.
    fn finish(&mut self, at: Micros);

    /// Its rules by the names of the report, and how each was broken.
    fn rules(&self) -> Vec<(&'static str, &Violations)>;

    /// What it has measured, for the report, under a name of its own.
    fn figures(&self) -> Option<(&'static str, Value)> {
        None
    }
}

/// What a history begins with: by which terms it is judged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    pub scenario: String,
    pub seed: u64,
    pub terms: RuleBounds,
    /// Absent, nobody judges how gateways see each other.
    pub fleet: Option<MembershipBounds>,
    /// Absent, nobody judges who owns jobs.
    #[serde(default)]
    pub owners: Option<lease::LeaseBounds>,
    /// Absent, nobody judges how the work comes to the boxes.
    #[serde(default)]
    pub subsets: Option<subsetting::SubsettingBounds>,
    /// Absent, nobody measures what ill boxes cost.
    #[serde(default)]
    pub signals: Option<outlier_detection::OutlierBounds>,
}

#[derive(Serialize, Deserialize)]
struct Line {
    at: Micros,
    #[serde(flatten)]
    event: Event,
}

/// Those who judge a run, and where it is written down.
pub struct Recorder {
    pub ledger: RequestLedger,
    checkers: Vec<Box<dyn Checker>>,
    out: Option<BufWriter<File>>,
    pub recorded: u64,
    /// The history could not be written on.
    pub write_error: Option<io::Error>,
}

impl Recorder {
    /// The five rules alone.
    pub fn with_ledger(ledger: RequestLedger) -> Self {
        Recorder { ledger, checkers: Vec::new(), out: None, recorded: 0, write_error: None }
    }

    /// All who judge by these terms.
    pub fn new(head: &Head) -> Self {
        let mut court = Recorder::with_ledger(RequestLedger::new(head.terms.clone()));
        if let Some(size) = head.fleet.clone() {
            court.checkers.push(Box::new(MembershipChecker::new(size)));
        }
        if let Some(size) = head.owners.clone() {
            court.checkers.push(Box::new(LeaseChecker::new(size)));
        }
        if let Some(size) = head.subsets.clone() {
            court.checkers.push(Box::new(SubsettingChecker::new(size)));
        }
        if let Some(size) = head.signals.clone() {
            court.checkers.push(Box::new(OutlierChecker::new(size)));
        }
        court
    }

    pub fn add_checker(&mut self, judge: Box<dyn Checker>) {
        self.checkers.push(judge);
    }

    /// Writes down all that is heard from now on.
    pub fn write_to(&mut self, file: &Path, head: &Head) -> io::Result<()> {
        let mut out = BufWriter::new(File::create(file)?);
        serde_json::to_writer(&mut out, head)?;
        out.write_all(b"\n")?;
        self.out = Some(out);
        Ok(())
    }

    /// Something has happened. Gives the number of a trip that arrived, by which it is told on.
    pub fn record(&mut self, at: Micros, event: Event) -> usize {
        self.recorded += 1;
        self.ledger.observe(at, &event);
        self.checkers.iter_mut().for_each(|judge| judge.observe(at, &event));
        if let Some(out) = &mut self.out {
            let written = serde_json::to_writer(&mut *out, &Line { at, event }).map_err(io::Error::from);
            if let Err(why) = written.and_then(|()| out.write_all(b"\n")) {
                self.write_error = Some(why);
                self.out = None;
            }
        }
        self.ledger.attempt_count().saturating_sub(1)
    }

    pub fn finish(&mut self, at: Micros) {
        self.ledger.finish(at);
        self.checkers.iter_mut().for_each(|judge| judge.finish(at));
        if let Some(Err(why)) = self.out.take().map(|mut out| out.flush()) {
            self.write_error = Some(why);
        }
    }

    pub fn rules(&self) -> Vec<(&'static str, &Violations)> {
        let others = self.checkers.iter().flat_map(|judge| judge.rules());
        Checker::rules(&self.ledger).into_iter().chain(others).collect()
    }

    /// What the judges have measured.
    pub fn figures(&self) -> Vec<(&'static str, Value)> {
        self.checkers.iter().filter_map(|judge| judge.figures()).collect()
    }

    pub fn violation_count(&self) -> u64 {
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
pub fn check(file: &Path) -> Result<(Head, Recorder), Error> {
    let path = file.display().to_string();
    let unread = |why| Error::Unread { path: path.clone(), why };
    let mut lines = BufReader::new(File::open(file).map_err(unread)?).lines();
    let first = lines.next().ok_or_else(|| Error::Empty { path: path.clone() })?.map_err(unread)?;
    let head: Head =
        serde_json::from_str(&first).map_err(|why| Error::Unclear { path: path.clone(), line: 1, why })?;
    let (mut court, mut last) = (Recorder::new(&head), 0);
    for (number, line) in lines.enumerate() {
        let line = line.map_err(unread)?;
        let Line { at, event } = serde_json::from_str(&line).map_err(|why| Error::Unclear {
            path: path.clone(),
            line: number + 2,
            why,
        })?;
        court.record(at, event);
        last = at;
    }
    court.finish(last);
    Ok((head, court))
}
