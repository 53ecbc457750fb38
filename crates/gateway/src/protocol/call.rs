//! The commands: what clients ask for, what is passed on to servers, and the answers of both.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hasher};
use std::ops::Range;
use std::rc::Rc;

use fernscale_policy::settings::{self, PlatformSettings};
use fernscale_policy::{Id, LoadReport, Micros, Request};

use super::resp::{self, write_bulk, write_command, LongValueHead, Reply};
use super::Scanned;

/// What a client asks of a gateway.
#[derive(Debug)]
pub enum Command {
    Ping,
    /// Something about the connection that needs no more than a yes.
    ConnectionSetup,
    Call(Call),
}

/// A transaction as it came in, kept in the form in which it is passed on.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: Request,
    verb: Box<[u8]>,
    /// The names and values, in two halves: between them stands how long the answer is waited for.
    before: Box<str>,
    after: Box<str>,
    body: Option<Box<[u8]>>,
    /// The client has gone: nothing is begun for it any more.
    pub client_gone: Rc<Cell<bool>>,
}

/// The final answer to a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Completed(Box<[u8]>),
    Rejected(Micros),
    Failed,
    /// It could not be taken as it was asked.
    Malformed(&'static str),
}

/// What a server said to a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerReply {
    Completed {
        value: Box<[u8]>,
        units: Option<f64>,
    },
    /// Its value has been passed on as it came.
    Streamed {
        units: Option<f64>,
    },
    Failed,
    Overloaded,
}

/// A hash of a server's value. Equal values have equal ones; different ones may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueFingerprint(u64);

/// Bytes of a long value that have to be there before any is passed on: more than a spoilt answer of usual size has.
const EVIDENCE: usize = 4 * 1024;
const GET: &[u8] = b"CALL.GET";
const POST: &[u8] = b"CALL.POST";

/// Reads a command; else what is wrong with it, for the client to read.
pub fn command(words: &[&[u8]], outside: &PlatformSettings) -> Result<Command, String> {
    let is = |name: &[u8]| words[0].eq_ignore_ascii_case(name);
    if is(GET) || is(POST) {
        return call(words, outside).map(Command::Call);
    }
    if is(b"PING") {
        return Ok(Command::Ping);
    }
    if is(b"CLIENT") || is(b"SELECT") {
        return Ok(Command::ConnectionSetup);
    }
    Err(format!("unknown command '{}'", shown(words[0])))
}

fn call(words: &[&[u8]], outside: &PlatformSettings) -> Result<Call, String> {
    let (verb, customer, id, list, body) = match *words {
        [verb, customer, id, list] => (verb, customer, id, list, None),
        [verb, customer, id, list, body] => (verb, customer, id, list, Some(body)),
        _ => return Err("a call takes a customer, an id, a list and perhaps a body".into()),
    };
    let customer = text(customer, "the customer")?;
    let number = u64::from_str_radix(customer, 16).ok().filter(|number| *number < 1 << 33);
    if customer.len() != 16 || number.is_none() || customer.starts_with('+') {
        return Err("the customer is no number of 16 hex digits below 2^33".into());
    }
    let (id, list) = (text(id, "the id")?, text(list, "the list")?);
    if id.is_empty() {
        return Err("the id is empty".into());
    }
    let (mut lane, mut plan, mut left, mut place) = (None, None, None, 0..0);
    let (mut units, mut spread, mut first) = (None, None, None);
    let mut at = 0;
    for part in list.split(',') {
        let (name, value) = part.split_once('=').ok_or("a part of the list without '='")?;
        let value_at = at + name.len() + 1;
        at += part.len() + 1;
        let wrong = || format!("'{}' can't be understood", shown(part.as_bytes()));
        let known = |names: &[String]| names.iter().position(|name| name == value);
        // Signs, exponents and words for numbers may be read otherwise elsewhere.
        let plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = || value.parse::<f64>().ok().filter(|number| plain && number.is_finite());
        let whole =
            |range: Range<u32>| value.parse::<u32>().ok().filter(|number| plain && range.contains(number));
        // A name that comes twice would be read here in one way and by servers in the other.
        let again = match name {
            "c" => lane.replace(known(&outside.class_names).ok_or_else(wrong)?).is_some(),
            "t" => plan.replace(known(&outside.plan_names).ok_or_else(wrong)?).is_some(),
            "d" => {
                place = value_at..value_at + value.len();
                let time = number().ok_or_else(wrong)?.min(outside.max_client_wait as f64 / 1000.0);
                left.replace((time * 1000.0) as Micros).is_some()
            }
            "units" => units.replace(number().filter(|units| *units > 0.0).ok_or_else(wrong)?).is_some(),
            "spread" => spread.replace(whole(1..outside.gateway_count + 1).ok_or_else(wrong)?).is_some(),
            "first" => first.replace(whole(0..outside.gateway_count).ok_or_else(wrong)?).is_some(),
            _ => false,
        };
        if again {
            return Err(format!("'{name}' comes twice"));
        }
    }
    let (plan, units) = (plan.ok_or("the list has no 't'")?, units.unwrap_or(1.0));
    // Were it believed, one such command would use up what a customer has for a long time.
    if units > outside.max_units {
        return Err("no transaction takes so many units".into());
    }
    Ok(Call {
        request: Request {
            id: Id::from(id),
            class: lane.ok_or("the list has no 'c'")?,
            plan,
            tenant: Id::from(customer),
            units,
            first_gateway: first.unwrap_or(0),
            gateway_spread: spread.unwrap_or(1),
            time_left: left.ok_or("the list has no 'd'")?,
        },
        verb: verb.into(),
        before: list[..place.start].into(),
        after: list[place.end..].into(),
        body: body.map(Into::into),
        client_gone: Rc::default(),
    })
}

fn text<'a>(word: &'a [u8], what: &str) -> Result<&'a str, String> {
    let text = std::str::from_utf8(word).map_err(|_| format!("{what} is no text"))?;
    if text.chars().any(char::is_control) {
        return Err(format!("{what} has control characters"));
    }
    Ok(text)
}

/// What a client wrote, fit for an error line.
fn shown(word: &[u8]) -> String {
    let text = String::from_utf8_lossy(&word[..word.len().min(32)]);
    text.chars().map(|letter| if letter.is_control() { '.' } else { letter }).collect()
}

impl Call {
    /// The command for a server, with how long its answer is waited for.
    pub fn command(&self, limit: Micros) -> Vec<u8> {
        let list = format!("{}{}{}", self.before, limit.div_ceil(1000).max(1), self.after);
        let asked = &self.request;
        let mut words = vec![&*self.verb, asked.tenant.as_bytes(), asked.id.as_bytes(), list.as_bytes()];
        words.extend(self.body.as_deref());
        write_command(&words)
    }

    /// Bytes that it holds.
    pub fn memory_bytes(&self) -> usize {
        let body = self.body.as_ref().map_or(0, |body| body.len());
        body + self.before.len() + self.after.len() + self.request.id.len()
    }
}

impl ServerReply {
    /// The fingerprint of its value; none where it has none, or it was passed on as it came.
    pub fn fingerprint(&self) -> Option<ValueFingerprint> {
        let ServerReply::Completed { value, .. } = self else { return None };
        let mut hasher = DefaultHasher::new();
        hasher.write(value);
        Some(ValueFingerprint(hasher.finish()))
    }
}

impl FinalAnswer {
    pub fn write(&self) -> Vec<u8> {
        match self {
            FinalAnswer::Completed(value) => {
                let mut bytes = Vec::with_capacity(value.len() + 16);
                write_bulk(&mut bytes, value);
                bytes
            }
            FinalAnswer::Rejected(wait) if *wait >= 1000 => format!("-BUSY {}\r\n", wait / 1000).into_bytes(),
            FinalAnswer::Rejected(_) => b"-BUSY\r\n".to_vec(),
            FinalAnswer::Failed => error("abandoned"),
            FinalAnswer::Malformed(why) => error(why),
        }
    }
}

/// An error for the client; the text is ours.
pub fn error(text: &str) -> Vec<u8> {
    format!("-ERR {text}\r\n").into_bytes()
}

/// What a server's reply says, and the load it reports. A value that has come whole is good, whatever stands behind
/// it: where that can't be read, or `ended` says that it won't come, the value goes without.
pub fn scan_complete_reply(
    bytes: &[u8],
    ended: bool,
    names: &[String],
) -> Scanned<(ServerReply, LoadReport)> {
    match resp::reply(bytes) {
        Ok(Some((reply, length))) => Ok(Some((meaning(&reply, names)?, length))),
        Ok(None) if !ended && bytes.starts_with(b"*") => Ok(resp::first(bytes)?.and(None)),
        Ok(None) if !ended => Ok(None),
        other => match resp::first(bytes)? {
            Some((value, _)) if ended => {
                let settled = ServerReply::Completed { value: value.into(), units: None };
                Ok(Some(((settled, LoadReport::default()), bytes.len())))
            }
            _ => other.map(|_| None),
        },
    }
}

/// What has been received of a server's reply.
pub enum ReceivedReply {
    /// All of it.
    Complete((ServerReply, LoadReport)),
    /// The head of a value too long to be kept complete, and some of the value.
    LongValue(LongValueHead),
}

/// As [`scan_complete_reply`]; of a value too long to be kept whole the head is enough, once some of the value is there too. Danger: a
/// spoilt length. Once a value is being passed on, nobody else can be asked for it.
pub fn scan_reply(bytes: &[u8], ended: bool, names: &[String]) -> Scanned<ReceivedReply> {
    match resp::long_value_head(bytes)? {
        Some((opening, start)) if bytes.len() >= start + EVIDENCE => {
            Ok(Some((ReceivedReply::LongValue(opening), start)))
        }
        Some(_) => Ok(None),
        None => {
            let reply = scan_complete_reply(bytes, ended, names)?;
            Ok(reply.map(|(reply, length)| (ReceivedReply::Complete(reply), length)))
        }
    }
}

/// What stands behind a value that has been passed on: its line end, and the rest of the array. Where only the former
/// can be read, the value goes without the rest.
pub fn scan_after_value(
    bytes: &[u8],
    rest: usize,
    ended: bool,
    names: &[String],
) -> Scanned<(ServerReply, LoadReport)> {
    let plain = (ServerReply::Streamed { units: None }, LoadReport::default());
    match bytes {
        [b'\r', b'\n', behind @ ..] => match resp::items(behind, rest) {
            Ok(Some((items, length))) => {
                let (units, load) = report(&items, names);
                Ok(Some(((ServerReply::Streamed { units }, load), length + 2)))
            }
            Ok(None) if !ended => Ok(None),
            _ => Ok(Some((plain, bytes.len()))),
        },
        [] | [b'\r'] if !ended => Ok(None),
        _ => Err("a value does not end where it should"),
    }
}

/// The units and the load, from what stands behind a value.
fn report(items: &[Reply], names: &[String]) -> (Option<f64>, LoadReport) {
    let text = |at: usize| match items.get(at) {
        Some(Reply::Bulk(Some(text))) => std::str::from_utf8(text).unwrap_or_default(),
        _ => "",
    };
    let cost = fields(text(0)).find(|(name, _)| *name == "cost");
    let units = cost.and_then(|(_, value)| value.parse().ok()).filter(|units| *units > 0.0);
    (units, load(text(1), names))
}

fn meaning(reply: &Reply, names: &[String]) -> Result<(ServerReply, LoadReport), &'static str> {
    match reply {
        Reply::Array(Some(items)) => {
            let Some(Reply::Bulk(Some(value))) = items.first() else { return Err("no value in an answer") };
            let (units, load) = report(&items[1..], names);
            Ok((ServerReply::Completed { value: (*value).into(), units }, load))
        }
        Reply::Error(line) => {
            let line = std::str::from_utf8(line).unwrap_or_default();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            let report = load(rest.rsplit(' ').next().unwrap_or_default(), names);
            Ok((if word == "BUSY" { ServerReply::Overloaded } else { ServerReply::Failed }, report))
        }
        _ => Err("neither an answer nor an error"),
    }
}

/// A load report in the fields that the settings name; what can't be read is left out.
pub fn load(text: &str, names: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in fields(text).filter(|(name, _)| names.iter().any(|known| known == name)) {
        let _ = settings::parse_load_field(&mut load, name, value);
    }
    load
}

fn fields(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(',').filter_map(|part| part.split_once('='))
}
