//! The history of a run as a sequence of events on the lab's clock, the recorder that passes them to the checkers, and how a
//! history is stored and checked again.
//!
//! All observers pass events to the `Recorder`: the simulated clients and servers what they receive, the lab its faults, the
//! readers of the gateways' logs the log records. Each checker observes every event in order. So a checker can be tested on a
//! history that was written by hand, and a stored history gives the same result again.

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

/// The kinds of traffic between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkTraffic {
    Datagrams,
    Streams,
}

/// An event of a run.
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
    /// The client closed the connection before an answer came.
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
    // Servers.
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
    /// Of two attempts of a request, the gateway ended the connection of one before it sent the other, by the times at which
    /// their bytes reached the machine. The two are the next attempt to this server and the earlier attempt with this number.
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
    /// A gateway has confirmed an operator's request to cordon or uncordon a server.
    Cordoned {
        gateway: u32,
        name: String,
        out: bool,
    },
    /// The counter has added an amount for a gateway to a key with this lifetime.
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
    /// A process starts; it knows only what it received at its start.
    Started {
        gateway: u32,
    },
    /// A process was killed.
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
    /// A process ended without a request to do so.
    Crashed {
        gateway: u32,
    },
    Paused {
        gateway: u32,
    },
    Resumed {
        gateway: u32,
    },
    /// A gateway's wall clock is ahead by this number of microseconds from now on.
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
    /// A fault blocks this traffic from one gateway to another completely or almost completely from now on, or ends (`on` is
    /// false).
    #[serde(rename = "parts")]
    TrafficBlocked {
        from: u32,
        to: u32,
        #[serde(rename = "goods")]
        traffic: LinkTraffic,
        on: bool,
    },
    // Faults, by their numbers in the scenario.
    #[serde(rename = "fault-begins")]
    FaultBegan {
        number: usize,
    },
    #[serde(rename = "fault-ends")]
    FaultEnded {
        number: usize,
    },
    /// The stand-in that receives effects has accepted (`taken`) or refused an effect of a lease holder.
    Effect {
        job: String,
        term: u64,
        run: u64,
        number: u64,
        taken: bool,
    },
    /// The last client has received its answer.
    Quiet,
    // What the gateways log and answer.
    /// A record of a gateway's log; its time on the lab's clock is exact to this number of microseconds.
    Record {
        gateway: u32,
        event: String,
        fields: Value,
        within: Micros,
    },
    /// The members that a gateway sees, by their addresses: live and suspected ones.
    #[serde(rename = "view")]
    MembershipView {
        gateway: u32,
        live: Vec<String>,
        suspected: Vec<String>,
    },
    /// A gateway's totals of the counter keys that have not expired: key, total, and remaining lifetime in milliseconds.
    #[serde(rename = "sums")]
    CounterTotals {
        gateway: u32,
        #[serde(rename = "sums")]
        totals: Vec<(String, f64, u32)>,
    },
}

/// Observes every event and checks its own rules.
pub trait Checker {
    fn observe(&mut self, at: Micros, event: &Event);

    /// The history has ended.
    fn finish(&mut self, at: Micros);

    /// The checker's rules by their names in the report, with their violations.
    fn rules(&self) -> Vec<(&'static str, &Violations)>;

    /// The checker's figures, with their name in the report.
    fn figures(&self) -> Option<(&'static str, Value)> {
        None
    }
}

/// The first line of a history: the bounds by which it is checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    pub scenario: String,
    pub seed: u64,
    #[serde(rename = "terms")]
    pub bounds: RuleBounds,
    /// If absent, membership is not checked.
    pub fleet: Option<MembershipBounds>,
    /// If absent, leases are not checked.
    #[serde(default)]
    pub owners: Option<lease::LeaseBounds>,
    /// If absent, subsetting is not checked.
    #[serde(default)]
    pub subsets: Option<subsetting::SubsettingBounds>,
    /// If absent, outlier detection is not checked.
    #[serde(default)]
    pub signals: Option<outlier_detection::OutlierBounds>,
}

#[derive(Serialize, Deserialize)]
struct Line {
    at: Micros,
    #[serde(flatten)]
    event: Event,
}

/// Passes the events of a run to the checkers and writes them to the history file.
pub struct Recorder {
    pub ledger: RequestLedger,
    checkers: Vec<Box<dyn Checker>>,
    out: Option<BufWriter<File>>,
    pub recorded: u64,
    /// Why writing the history failed, if it did; nothing is written after a failure.
    pub write_error: Option<io::Error>,
}

impl Recorder {
    /// A recorder with the request ledger as its only checker.
    pub fn with_ledger(ledger: RequestLedger) -> Self {
        Recorder { ledger, checkers: Vec::new(), out: None, recorded: 0, write_error: None }
    }

    /// A recorder with all checkers for which the head has bounds.
    pub fn new(head: &Head) -> Self {
        let mut recorder = Recorder::with_ledger(RequestLedger::new(head.bounds.clone()));
        if let Some(bounds) = head.fleet.clone() {
            recorder.checkers.push(Box::new(MembershipChecker::new(bounds)));
        }
        if let Some(bounds) = head.owners.clone() {
            recorder.checkers.push(Box::new(LeaseChecker::new(bounds)));
        }
        if let Some(bounds) = head.subsets.clone() {
            recorder.checkers.push(Box::new(SubsettingChecker::new(bounds)));
        }
        if let Some(bounds) = head.signals.clone() {
            recorder.checkers.push(Box::new(OutlierChecker::new(bounds)));
        }
        recorder
    }

    pub fn add_checker(&mut self, checker: Box<dyn Checker>) {
        self.checkers.push(checker);
    }

    /// Writes all further events to a file.
    pub fn write_to(&mut self, file: &Path, head: &Head) -> io::Result<()> {
        let mut out = BufWriter::new(File::create(file)?);
        serde_json::to_writer(&mut out, head)?;
        out.write_all(b"\n")?;
        self.out = Some(out);
        Ok(())
    }

    /// Records an event. Returns the number of the attempt that arrived last, by which later events refer to it.
    pub fn record(&mut self, at: Micros, event: Event) -> usize {
        self.recorded += 1;
        self.ledger.observe(at, &event);
        self.checkers.iter_mut().for_each(|checker| checker.observe(at, &event));
        if let Some(out) = &mut self.out {
            let written = serde_json::to_writer(&mut *out, &Line { at, event }).map_err(io::Error::from);
            if let Err(cause) = written.and_then(|()| out.write_all(b"\n")) {
                self.write_error = Some(cause);
                self.out = None;
            }
        }
        self.ledger.attempt_count().saturating_sub(1)
    }

    pub fn finish(&mut self, at: Micros) {
        self.ledger.finish(at);
        self.checkers.iter_mut().for_each(|checker| checker.finish(at));
        if let Some(Err(cause)) = self.out.take().map(|mut out| out.flush()) {
            self.write_error = Some(cause);
        }
    }

    pub fn rules(&self) -> Vec<(&'static str, &Violations)> {
        let others = self.checkers.iter().flat_map(|checker| checker.rules());
        Checker::rules(&self.ledger).into_iter().chain(others).collect()
    }

    /// The figures of all checkers.
    pub fn figures(&self) -> Vec<(&'static str, Value)> {
        self.checkers.iter().filter_map(|checker| checker.figures()).collect()
    }

    pub fn violation_count(&self) -> u64 {
        self.rules().iter().map(|(_, violations)| violations.count).sum()
    }
}

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("'{path}' can't be read: {cause}")]
    ReadError { path: String, cause: io::Error },
    #[error("'{path}', line {line}: {cause}")]
    ParseError { path: String, line: usize, cause: serde_json::Error },
    #[error("'{path}' is empty: a history begins with the bounds that it is checked by")]
    Empty { path: String },
}

/// Checks a stored history from its file alone.
pub fn check(file: &Path) -> Result<(Head, Recorder), Error> {
    let path = file.display().to_string();
    let read_error = |cause| Error::ReadError { path: path.clone(), cause };
    let mut lines = BufReader::new(File::open(file).map_err(read_error)?).lines();
    let first = lines.next().ok_or_else(|| Error::Empty { path: path.clone() })?.map_err(read_error)?;
    let head: Head = serde_json::from_str(&first).map_err(|cause| Error::ParseError {
        path: path.clone(),
        line: 1,
        cause,
    })?;
    let (mut recorder, mut last) = (Recorder::new(&head), 0);
    for (number, line) in lines.enumerate() {
        let line = line.map_err(read_error)?;
        let Line { at, event } = serde_json::from_str(&line).map_err(|cause| Error::ParseError {
            path: path.clone(),
            line: number + 2,
            cause,
        })?;
        recorder.record(at, event);
        last = at;
    }
    recorder.finish(last);
    Ok((head, recorder))
}
