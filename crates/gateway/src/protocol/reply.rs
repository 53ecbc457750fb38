//! Servers' replies to attempts.

use std::hash::{DefaultHasher, Hasher};

use fernscale_policy::settings;
use fernscale_policy::LoadReport;

use super::resp::{self, LongValueHead, Reply};
use super::Scanned;

/// A server's reply to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerReply {
    Completed {
        value: Box<[u8]>,
        units: Option<f64>,
    },
    /// The value has been forwarded to the client while it was being received.
    Streamed {
        units: Option<f64>,
    },
    Failed,
    Overloaded,
}

/// A hash of a server's value. Equal values have equal hashes; different values may have equal hashes too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueFingerprint(u64);

/// The bytes of a long value that must be received before any of them is forwarded: more than a corrupted reply of usual
/// size has.
const MIN_LONG_VALUE_BYTES: usize = 4 * 1024;

impl ServerReply {
    /// The fingerprint of the value; `None` if the reply has no value, or the value was streamed.
    pub fn fingerprint(&self) -> Option<ValueFingerprint> {
        let ServerReply::Completed { value, .. } = self else { return None };
        let mut hasher = DefaultHasher::new();
        hasher.write(value);
        Some(ValueFingerprint(hasher.finish()))
    }
}

/// Parses a server's complete reply and the load report in it. `ended` says that no more bytes will be received. Once the
/// connection has ended, a complete value is valid even if the items behind it are missing or can't be parsed: the value is
/// returned without units and load report.
pub fn scan_complete_reply(
    bytes: &[u8],
    ended: bool,
    names: &[String],
) -> Scanned<(ServerReply, LoadReport)> {
    match resp::reply(bytes) {
        Ok(Some((reply, length))) => Ok(Some((parse_reply(&reply, names)?, length))),
        Ok(None) if !ended && bytes.starts_with(b"*") => Ok(resp::first_bulk(bytes)?.and(None)),
        Ok(None) if !ended => Ok(None),
        other => match resp::first_bulk(bytes)? {
            Some((value, _)) if ended => {
                let completed = ServerReply::Completed { value: value.into(), units: None };
                Ok(Some(((completed, LoadReport::default()), bytes.len())))
            }
            _ => other.map(|_| None),
        },
    }
}

/// The received part of a server's reply.
pub enum ReceivedReply {
    /// The complete reply.
    Complete((ServerReply, LoadReport)),
    /// The head of a reply whose value is too long to be buffered; some bytes of the value follow the head.
    LongValue(LongValueHead),
}

/// As [`scan_complete_reply`], but of a reply whose value is too long to be buffered, the head and some bytes of the value
/// are enough. The bytes guard against a corrupted length: as soon as a value is being forwarded, the request can't be
/// retried at another server.
pub fn scan_reply(bytes: &[u8], ended: bool, names: &[String]) -> Scanned<ReceivedReply> {
    match resp::long_value_head(bytes)? {
        Some((head, start)) if bytes.len() >= start + MIN_LONG_VALUE_BYTES => {
            Ok(Some((ReceivedReply::LongValue(head), start)))
        }
        Some(_) => Ok(None),
        None => {
            let reply = scan_complete_reply(bytes, ended, names)?;
            Ok(reply.map(|(reply, length)| (ReceivedReply::Complete(reply), length)))
        }
    }
}

/// Parses what follows a forwarded value: its line end and the `rest` remaining items of the array. If only the line end can
/// be parsed, the reply has neither units nor load report.
pub fn scan_after_value(
    bytes: &[u8],
    rest: usize,
    ended: bool,
    names: &[String],
) -> Scanned<(ServerReply, LoadReport)> {
    let without_report = (ServerReply::Streamed { units: None }, LoadReport::default());
    match bytes {
        [b'\r', b'\n', following @ ..] => match resp::items(following, rest) {
            Ok(Some((items, length))) => {
                let (units, load) = parse_report(&items, names);
                Ok(Some(((ServerReply::Streamed { units }, load), length + 2)))
            }
            Ok(None) if !ended => Ok(None),
            _ => Ok(Some((without_report, bytes.len()))),
        },
        [] | [b'\r'] if !ended => Ok(None),
        _ => Err("no line end after a value"),
    }
}

/// The units and the load report in the items that follow a value.
fn parse_report(items: &[Reply], names: &[String]) -> (Option<f64>, LoadReport) {
    let text = |index: usize| match items.get(index) {
        Some(Reply::Bulk(Some(text))) => std::str::from_utf8(text).unwrap_or_default(),
        _ => "",
    };
    let cost = fields(text(0)).find(|(name, _)| *name == "cost");
    let units = cost.and_then(|(_, value)| value.parse().ok()).filter(|units| *units > 0.0);
    (units, load_report(text(1), names))
}

/// The meaning of a complete RESP2 reply.
fn parse_reply(reply: &Reply, names: &[String]) -> Result<(ServerReply, LoadReport), &'static str> {
    match reply {
        Reply::Array(Some(items)) => {
            let Some(Reply::Bulk(Some(value))) = items.first() else {
                return Err("the first item of the reply is not a value");
            };
            let (units, load) = parse_report(&items[1..], names);
            Ok((ServerReply::Completed { value: (*value).into(), units }, load))
        }
        Reply::Error(line) => {
            let line = std::str::from_utf8(line).unwrap_or_default();
            let (code, rest) = line.split_once(' ').unwrap_or((line, ""));
            let load = load_report(rest.rsplit(' ').next().unwrap_or_default(), names);
            Ok((if code == "BUSY" { ServerReply::Overloaded } else { ServerReply::Failed }, load))
        }
        _ => Err("the reply is neither an array nor an error"),
    }
}

/// Parses the fields of a load report that the settings name; fields that can't be parsed are ignored.
pub fn load_report(text: &str, names: &[String]) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in fields(text).filter(|(name, _)| names.iter().any(|known| known == name)) {
        let _ = settings::parse_load_field(&mut report, name, value);
    }
    report
}

/// The fields of a text of the form `name=value,name=value`.
fn fields(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(',').filter_map(|field| field.split_once('='))
}
