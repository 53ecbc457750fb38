//! Servers' replies to attempts.

use std::hash::{DefaultHasher, Hasher};

use fernscale_policy::settings;
use fernscale_policy::LoadReport;
use memchr::memmem;

use super::resp::{self, LeadingValue, LongValueHead, Reply, LINE_END};
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

/// Parses a server's complete reply and the load report in it. `ended` says that no further bytes are waited for. A value is then
/// returned without units and load report if items behind it are missing or malformed, provided that its length is confirmed.
pub fn scan_complete_reply(
    bytes: &[u8],
    ended: bool,
    names: &[String],
) -> Scanned<(ServerReply, LoadReport)> {
    if !matches!(bytes, [b'*', ..]) {
        return scan_error_line(bytes, names);
    }
    let Some((LeadingValue { value, following_items }, end)) = resp::leading_value(bytes)? else {
        return Ok(None);
    };
    let from_value = &bytes[end - LINE_END.len() - value.len()..];
    if !confirms_length(from_value, value.len(), following_items, ended)? {
        return Ok(None);
    }
    let (items, length) = match resp::bulks(&bytes[end..], following_items) {
        Ok(Some((items, length))) => (items, end + length),
        _ if ended => (Vec::new(), bytes.len()),
        incomplete_or_malformed => return incomplete_or_malformed.map(|_| None),
    };
    let (units, load) = parse_report(&items, names);
    let completed = ServerReply::Completed { value: value.into(), units };
    Ok(Some(((completed, load), length)))
}

/// Parses an error line, with the load report that may be its last word.
fn scan_error_line(bytes: &[u8], names: &[String]) -> Scanned<(ServerReply, LoadReport)> {
    let (line, length) = match resp::reply(bytes)? {
        Some((Reply::Error(line), length)) => (line, length),
        Some(_) => return Err("the reply is neither an array nor an error"),
        None => return Ok(None),
    };
    let line = std::str::from_utf8(line).unwrap_or_default();
    let (code, rest) = line.split_once(' ').unwrap_or((line, ""));
    let load = load_report(rest.rsplit(' ').next().unwrap_or_default(), names);
    let reply = if code == "BUSY" { ServerReply::Overloaded } else { ServerReply::Failed };
    Ok(Some(((reply, load), length)))
}

/// Whether the bytes behind a value confirm its announced length; false while more bytes are needed. `bytes` holds the last
/// `value_length` bytes of the value, its line end, and what follows. `ended` says that no further bytes are waited for.
///
/// A length that is too large takes the value's own line end, and items behind it, into the value, so that fewer items follow
/// than the array announces. A length that is too small ends at a line end within the value, and the rest of the value follows,
/// which is no item. So a value that contains a line end needs all items behind it, and must not be followed by them from an
/// earlier line end on, too. For any other value it is enough that nothing else than an item follows.
///
/// # Errors
///
/// The length is wrong, or may be.
fn confirms_length(
    bytes: &[u8],
    value_length: usize,
    following_items: usize,
    ended: bool,
) -> Result<bool, &'static str> {
    let (value, following) = (&bytes[..value_length], &bytes[value_length + LINE_END.len()..]);
    if memmem::find(value, LINE_END).is_none() {
        let first_item = resp::bulks(following, following_items.min(1))?;
        return Ok(first_item.is_some() || ended);
    }
    if resp::bulks(following, following_items)?.is_none() {
        return if ended { Err("too few items follow a value") } else { Ok(false) };
    }
    let are_items = |start: usize| matches!(resp::bulks(&bytes[start..], following_items), Ok(Some(_)));
    let mut line_ends = memmem::find_iter(value, LINE_END);
    if following_items > 0 && line_ends.any(|line_end| are_items(line_end + LINE_END.len())) {
        return Err("a value contains its own line end");
    }
    Ok(true)
}

/// The received part of a server's reply.
pub enum ReceivedReply {
    /// The complete reply.
    Complete((ServerReply, LoadReport)),
    /// The head of a reply whose value is too long to be buffered; some bytes of the value follow the head.
    LongValue(LongValueHead),
}

/// What is waited for behind the received bytes of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveStage {
    /// The rest of the reply.
    Open,
    /// The rest, but the time in which another server could serve the request is over.
    Expiring,
    /// Nothing.
    Ended,
}

/// As [`scan_complete_reply`], but of a reply whose value is too long to be buffered, the head and some bytes of the value
/// are enough. The bytes guard against a corrupted length: as soon as a value is being forwarded, the request can't be
/// retried at another server. When it can't be retried anyway, the head is enough.
pub fn scan_reply(bytes: &[u8], stage: ReceiveStage, names: &[String]) -> Scanned<ReceivedReply> {
    let min_value_bytes = if stage == ReceiveStage::Expiring { 0 } else { MIN_LONG_VALUE_BYTES };
    match resp::long_value_head(bytes)? {
        Some((head, start)) if bytes.len() >= start + min_value_bytes => {
            Ok(Some((ReceivedReply::LongValue(head), start)))
        }
        Some(_) => Ok(None),
        None if stage == ReceiveStage::Expiring => Ok(None),
        None => {
            let reply = scan_complete_reply(bytes, stage == ReceiveStage::Ended, names)?;
            Ok(reply.map(|(reply, length)| (ReceivedReply::Complete(reply), length)))
        }
    }
}

/// The last bytes of a value that is forwarded in pieces, as far as a length that is too large can reach into what follows the
/// value.
#[derive(Default)]
pub struct ValueEnd(Vec<u8>);

impl ValueEnd {
    /// Adds the next piece of the value.
    pub fn add(&mut self, piece: &[u8]) {
        self.0.extend_from_slice(&piece[piece.len().saturating_sub(resp::MAX_REPORT_BYTES)..]);
        let surplus = self.0.len().saturating_sub(resp::MAX_REPORT_BYTES);
        self.0.drain(..surplus);
    }
}

/// Waits for the line end of a forwarded value. Consumes nothing.
pub fn scan_line_end(bytes: &[u8]) -> Scanned<()> {
    Ok(skip_line_end(bytes, false)?.map(|_| ((), 0)))
}

/// Waits for the bytes that confirm the length of a forwarded value. They begin with the value's line end. Consumes nothing.
/// `ended` says that no further bytes are waited for.
///
/// # Errors
///
/// The length is wrong, or may be.
pub fn scan_length_confirmation(
    bytes: &[u8],
    value_end: &ValueEnd,
    following_items: usize,
    ended: bool,
) -> Scanned<()> {
    if skip_line_end(bytes, ended)?.is_none() {
        return Ok(None);
    }
    let from_value_end = [&value_end.0, bytes].concat();
    let is_confirmed = confirms_length(&from_value_end, value_end.0.len(), following_items, ended)?;
    Ok(is_confirmed.then_some(((), 0)))
}

/// Parses what follows a forwarded value of confirmed length: its line end and the remaining items of the array. If the items
/// are incomplete at the end, or malformed, the reply has neither units nor load report.
pub fn scan_after_value(
    bytes: &[u8],
    following_items: usize,
    ended: bool,
    names: &[String],
) -> Scanned<(ServerReply, LoadReport)> {
    let Some(following) = skip_line_end(bytes, ended)? else { return Ok(None) };
    match resp::bulks(following, following_items) {
        Ok(Some((items, length))) => {
            let (units, load) = parse_report(&items, names);
            Ok(Some(((ServerReply::Streamed { units }, load), LINE_END.len() + length)))
        }
        Ok(None) if !ended => Ok(None),
        _ => Ok(Some(((ServerReply::Streamed { units: None }, LoadReport::default()), bytes.len()))),
    }
}

/// The bytes behind the line end of a value; `None` while the line end is incomplete.
fn skip_line_end(bytes: &[u8], ended: bool) -> Result<Option<&[u8]>, &'static str> {
    match bytes {
        [b'\r', b'\n', following @ ..] => Ok(Some(following)),
        [] | [b'\r'] if !ended => Ok(None),
        _ => Err("no line end after a value"),
    }
}

/// The units and the load report in the items that follow a value.
fn parse_report(items: &[Option<&[u8]>], names: &[String]) -> (Option<f64>, LoadReport) {
    let text = |index: usize| {
        let item = items.get(index).copied().flatten().unwrap_or_default();
        std::str::from_utf8(item).unwrap_or_default()
    };
    let cost = fields(text(0)).find(|(name, _)| *name == "cost");
    let units = cost.and_then(|(_, value)| value.parse().ok()).filter(|units| *units > 0.0);
    (units, load_report(text(1), names))
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
