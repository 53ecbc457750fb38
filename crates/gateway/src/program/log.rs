//! The log: lines on standard error, as text or as JSON. Every record has a stable event name, which is its tag, and
//! fields. Outsiders can cause some records at will, so each event has a maximum number of records a second; those left
//! out are counted and reported with the next one that passes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Stderr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{b, o, record, Drain, FnValue, LevelFilter, Logger, OwnedKVList, PushFnValue, Record};
use slog_term::{FullFormat, PlainSyncDecorator};

/// Form of the lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One object a line.
    Json,
}

pub use slog::Level;

/// The section `[log]` of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: Level,
    /// Records of one event that are written in a second.
    pub max_records_per_second: u32,
}

impl Default for LogSettings {
    /// Records of single connections and requests are at the level `debug`, as writing them costs more than serving.
    fn default() -> Self {
        LogSettings { format: LogFormat::Text, level: Level::Info, max_records_per_second: 20 }
    }
}

/// The logger of a gateway. Every record carries the gateway's name.
pub fn start(name: &str, logging: LogSettings) -> Logger {
    let root = o!("gateway" => name.to_string());
    match logging.format {
        LogFormat::Text => {
            let text = FullFormat::new(PlainSyncDecorator::new(io::stderr()));
            let text = text.use_custom_header_print(|time, to, record, _| {
                time(to)?;
                write!(to, " {} {} {}", record.level().as_short_str(), record.tag(), record.msg())?;
                Ok(true)
            });
            root_logger(text.build().ignore_res(), logging, root)
        }
        LogFormat::Json => root_logger(json(io::stderr()).ignore_res(), logging, root),
    }
}

fn json(to: Stderr) -> Mutex<slog_json::Json<Stderr>> {
    let fields = o!(
        "message" => PushFnValue(|record: &Record, to| to.emit(record.msg())),
        "event" => FnValue(|record: &Record| record.tag().to_string()),
        "level" => FnValue(|record: &Record| record.level().as_str()),
        "time" => FnValue(|_: &Record| humantime::format_rfc3339_micros(std::time::SystemTime::now()).to_string()),
    );
    Mutex::new(slog_json::Json::new(to).add_key_value(fields).build())
}

fn root_logger(
    drain: impl Drain<Ok = (), Err = slog::Never> + Send + 'static,
    logging: LogSettings,
    fields: slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + 'static>,
) -> Logger {
    let rate_limited = RateLimited::new(drain, logging.max_records_per_second);
    Logger::root(Mutex::new(LevelFilter::new(rate_limited, logging.level)).fuse(), fields)
}

/// Passes a maximum number of records of each event in a second. Danger: without it, a client that can cause records takes
/// the core and fills the log.
pub struct RateLimited<D> {
    inner: D,
    max_per_second: u32,
    events: RefCell<BTreeMap<String, EventWindow>>,
}

/// The records of one event in the current second.
struct EventWindow {
    began_at: Instant,
    passed: u32,
    left_out: u32,
}

/// Length of the window in which records are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What is to be done with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Whether it is written.
    pub is_admitted: bool,
    /// Earlier records of the event that were left out and are to be reported now.
    pub left_out: u32,
}

impl<D> RateLimited<D> {
    /// Passes at most `max_per_second` records of each event to a drain.
    pub fn new(inner: D, max_per_second: u32) -> Self {
        RateLimited { inner, max_per_second, events: RefCell::default() }
    }

    /// Counts a record of an event and decides on it.
    pub fn admit(&self, event: &str, now: Instant) -> Admission {
        let mut events = self.events.borrow_mut();
        // Bounded: the names of events are constants of the code.
        if !events.contains_key(event) {
            events.insert(event.into(), EventWindow { began_at: now, passed: 0, left_out: 0 });
        }
        let Some(window) = events.get_mut(event) else {
            return Admission { is_admitted: true, left_out: 0 };
        };
        let mut left_out = 0;
        if now.duration_since(window.began_at) >= WINDOW {
            left_out = window.left_out;
            *window = EventWindow { began_at: now, passed: 0, left_out: 0 };
        }
        let is_admitted = window.passed < self.max_per_second;
        window.passed += u32::from(is_admitted);
        window.left_out += u32::from(!is_admitted);
        Admission { is_admitted, left_out }
    }
}

impl<D: Drain<Ok = ()>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record, fields: &OwnedKVList) -> Result<(), D::Err> {
        let Admission { is_admitted, left_out } = self.admit(record.tag(), Instant::now());
        if left_out > 0 {
            let event = record.tag();
            let message = format_args!("records were left out");
            let more = b!("of" => event, "records" => left_out);
            self.inner.log(&record!(Level::Warning, "log.left-out", &message, more), fields)?;
        }
        if is_admitted {
            self.inner.log(record, fields)
        } else {
            Ok(())
        }
    }
}
