//! The log: lines on standard error, as text or as JSON. Every record has fields and a stable event name, which is its
//! slog tag. Clients can cause some records at will, so each event has a maximum number of records per second. Suppressed
//! records are counted, and the count is logged before the event's first record of a later second.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Stderr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{b, o, record, Drain, FnValue, LevelFilter, Logger, OwnedKVList, PushFnValue, Record};
use slog_term::{FullFormat, PlainSyncDecorator};

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

pub use slog::Level;

/// The settings of the log, from the configuration section `[log]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: Level,
    /// Maximum number of records of one event per second.
    pub max_records_per_second: u32,
}

impl Default for LogSettings {
    /// Text at the level `info`. Records of single connections and requests have the level `debug`, because writing them
    /// costs more than serving the requests.
    fn default() -> Self {
        LogSettings { format: LogFormat::Text, level: Level::Info, max_records_per_second: 20 }
    }
}

/// Creates the logger of a gateway. Every record contains the gateway's name.
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

/// A drain that limits the records of each event per second. Danger: without the limit, a client that causes records can
/// use up the processor core and fill the log.
pub struct RateLimited<D> {
    inner: D,
    max_per_second: u32,
    events: RefCell<BTreeMap<String, EventWindow>>,
}

/// The record counts of one event in the current window.
struct EventWindow {
    started_at: Instant,
    written: u32,
    suppressed: u32,
}

/// Length of the window over which records are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The rate limiter's decision on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Whether the record is written.
    pub is_admitted: bool,
    /// Number of suppressed records of the event in the previous window, to be reported now.
    pub suppressed: u32,
}

impl<D> RateLimited<D> {
    /// A drain that passes at most `max_per_second` records of each event per second to `inner`.
    pub fn new(inner: D, max_per_second: u32) -> Self {
        RateLimited { inner, max_per_second, events: RefCell::default() }
    }

    /// Counts a record of an event and decides whether it is written.
    pub fn admit(&self, event: &str, now: Instant) -> Admission {
        let mut events = self.events.borrow_mut();
        // The map is bounded, because event names are constants of the code.
        if !events.contains_key(event) {
            events.insert(event.into(), EventWindow { started_at: now, written: 0, suppressed: 0 });
        }
        let Some(window) = events.get_mut(event) else {
            return Admission { is_admitted: true, suppressed: 0 };
        };
        let mut suppressed = 0;
        if now.duration_since(window.started_at) >= WINDOW {
            suppressed = window.suppressed;
            *window = EventWindow { started_at: now, written: 0, suppressed: 0 };
        }
        let is_admitted = window.written < self.max_per_second;
        window.written += u32::from(is_admitted);
        window.suppressed += u32::from(!is_admitted);
        Admission { is_admitted, suppressed }
    }
}

impl<D: Drain<Ok = ()>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record, fields: &OwnedKVList) -> Result<(), D::Err> {
        let Admission { is_admitted, suppressed } = self.admit(record.tag(), Instant::now());
        if suppressed > 0 {
            let event = record.tag();
            let message = format_args!("records were suppressed by the rate limit");
            let more = b!("of" => event, "records" => suppressed);
            self.inner.log(&record!(Level::Warning, "log.left-out", &message, more), fields)?;
        }
        if is_admitted {
            self.inner.log(record, fields)
        } else {
            Ok(())
        }
    }
}
