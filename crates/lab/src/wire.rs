//! RESP2 as the parties speak it: commands of bulk strings one way, any value the other.

use std::fmt::Write;

/// Longest message that a stand-in takes: a value of 64 KiB with its words.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Most words of a command, and most values of an answer.
const MOST_WORDS: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Simple(String),
    Error(String),
    Number(i64),
    Bulk(Option<Vec<u8>>),
    Array(Option<Vec<Value>>),
}

/// What stands at the front of some bytes: nothing whole yet, or a thing and its length.
pub type Scanned<T> = Result<Option<(T, usize)>, &'static str>;

fn line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    Some((&bytes[..end], end + 2))
}

fn number(text: &[u8]) -> Result<i64, &'static str> {
    std::str::from_utf8(text).ok().and_then(|text| text.parse().ok()).ok_or("a length that is no number")
}

pub fn value(bytes: &[u8]) -> Scanned<Value> {
    let Some(kind) = bytes.first() else { return Ok(None) };
    if !b"+-:$*".contains(kind) {
        return Err("no RESP2 value");
    }
    let Some((text, mut used)) = line(&bytes[1..]) else {
        return if bytes.len() > MAX_MESSAGE_BYTES { Err("a line without an end") } else { Ok(None) };
    };
    used += 1;
    let words = || String::from_utf8_lossy(text).into_owned();
    let value = match kind {
        b'+' => Value::Simple(words()),
        b'-' => Value::Error(words()),
        b':' => Value::Number(number(text)?),
        b'$' => match number(text)? {
            -1 => Value::Bulk(None),
            length if (0..=MAX_MESSAGE_BYTES as i64).contains(&length) => {
                let length = length as usize;
                let Some(body) = bytes.get(used..used + length + 2) else { return Ok(None) };
                if &body[length..] != b"\r\n" {
                    return Err("a bulk string with another length");
                }
                used += length + 2;
                Value::Bulk(Some(body[..length].to_vec()))
            }
            _ => return Err("a bulk string of an impossible length"),
        },
        _ => match number(text)? {
            -1 => Value::Array(None),
            count if (0..=MOST_WORDS as i64).contains(&count) => {
                let mut items = Vec::new();
                for _ in 0..count {
                    let Some((item, length)) = value(&bytes[used..])? else { return Ok(None) };
                    items.push(item);
                    used += length;
                }
                Value::Array(Some(items))
            }
            _ => return Err("an array of an impossible length"),
        },
    };
    Ok(Some((value, used)))
}

/// A command: an array of bulk strings, one at least.
pub fn command(bytes: &[u8]) -> Scanned<Vec<Vec<u8>>> {
    if bytes.first().is_some_and(|first| *first != b'*') {
        return Err("no command");
    }
    let Some((Value::Array(Some(items)), used)) = value(bytes)? else { return Ok(None) };
    let words = items.into_iter().map(|item| match item {
        Value::Bulk(Some(word)) => Ok(word),
        _ => Err("a command with something else than words"),
    });
    let words: Vec<_> = words.collect::<Result<_, _>>()?;
    if words.is_empty() {
        Err("an empty command")
    } else {
        Ok(Some((words, used)))
    }
}

pub fn write_command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    words.iter().for_each(|word| bulk(&mut bytes, word));
    bytes
}

pub fn bulk(to: &mut Vec<u8>, word: &[u8]) {
    to.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
    to.extend_from_slice(word);
    to.extend_from_slice(b"\r\n");
}

/// A transaction as a client asks it or a box gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub customer: String,
    pub id: String,
    pub lane: String,
    pub plan: String,
    /// Milliseconds that the asker will wait.
    pub wait_ms: f64,
    pub key: Option<String>,
    pub units: f64,
    pub spread: u32,
    pub first: u32,
    pub repeat: bool,
    pub body: Option<Vec<u8>>,
}

impl Call {
    pub fn write(&self, redoable: bool) -> Vec<u8> {
        let mut list = format!("c={},t={},d={}", self.lane, self.plan, self.wait_ms);
        if let Some(key) = &self.key {
            let _ = write!(list, ",k={key}");
        }
        if self.repeat {
            list.push_str(",r=1");
        }
        let _ = write!(list, ",units={},spread={},first={}", self.units, self.spread, self.first);
        let verb: &[u8] = if redoable { b"CALL.GET" } else { b"CALL.POST" };
        let mut words = vec![verb, self.customer.as_bytes(), self.id.as_bytes(), list.as_bytes()];
        words.extend(self.body.as_deref());
        write_command(&words)
    }

    /// Reads the words of a command; `None` where it is no call, or one in a form that no client sends.
    pub fn read(words: &[Vec<u8>]) -> Option<Call> {
        let (verb, customer, id, list, body) = match words {
            [verb, customer, id, list] => (verb, customer, id, list, None),
            [verb, customer, id, list, body] => (verb, customer, id, list, Some(body.clone())),
            _ => return None,
        };
        if verb != b"CALL.GET" && verb != b"CALL.POST" {
            return None;
        }
        let text = |word: &[u8]| String::from_utf8(word.to_vec()).ok();
        let mut call = Call {
            customer: text(customer)?,
            id: text(id)?,
            lane: String::new(),
            plan: String::new(),
            wait_ms: -1.0,
            key: None,
            units: 1.0,
            spread: 1,
            first: 0,
            repeat: false,
            body,
        };
        for part in text(list)?.split(',') {
            let (name, value) = part.split_once('=')?;
            match name {
                "c" => call.lane = value.into(),
                "t" => call.plan = value.into(),
                "d" => call.wait_ms = value.parse().ok()?,
                "k" => call.key = Some(value.into()),
                "units" => call.units = value.parse().ok()?,
                "spread" => call.spread = value.parse().ok()?,
                "first" => call.first = value.parse().ok()?,
                "r" => call.repeat = value == "1",
                _ => return None,
            }
        }
        (call.wait_ms >= 0.0 && !call.lane.is_empty()).then_some(call)
    }
}

/// What a client makes of a gateway's answer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    #[serde(rename = "Settled")]
    Completed(Vec<u8>),
    #[serde(rename = "Nacked")]
    Rejected { wait_ms: Option<u64> },
    #[serde(rename = "Abandoned")]
    Failed,
}

impl Answer {
    pub fn of(value: Value) -> Answer {
        match value {
            Value::Bulk(Some(value)) => Answer::Completed(value),
            Value::Array(Some(items)) => match items.into_iter().next() {
                Some(Value::Bulk(Some(value))) => Answer::Completed(value),
                _ => Answer::Failed,
            },
            Value::Error(line) => {
                let mut words = line.split(' ');
                match words.next() {
                    Some("BUSY") => Answer::Rejected { wait_ms: words.next().and_then(|ms| ms.parse().ok()) },
                    _ => Answer::Failed,
                }
            }
            _ => Answer::Failed,
        }
    }
}
