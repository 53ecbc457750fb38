//! RESP2 for the simulated clients and servers: commands are arrays of bulk strings, answers are any values.

use std::fmt::Write;

/// Longest message that a simulated client or server accepts: a value of 64 KiB with the other arguments.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Most arguments of a command, and most values in an array.
const MAX_ITEMS: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Simple(String),
    Error(String),
    Number(i64),
    Bulk(Option<Vec<u8>>),
    Array(Option<Vec<Value>>),
}

/// The result of parsing a prefix of the bytes: `None` if it is incomplete, otherwise the parsed item and its length.
pub type Scanned<T> = Result<Option<(T, usize)>, &'static str>;

fn split_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    Some((&bytes[..end], end + 2))
}

fn number(text: &[u8]) -> Result<i64, &'static str> {
    std::str::from_utf8(text).ok().and_then(|text| text.parse().ok()).ok_or("a length that is not a number")
}

pub fn value(bytes: &[u8]) -> Scanned<Value> {
    let Some(kind) = bytes.first() else { return Ok(None) };
    if !b"+-:$*".contains(kind) {
        return Err("not a RESP2 value");
    }
    let Some((text, mut used)) = split_line(&bytes[1..]) else {
        return if bytes.len() > MAX_MESSAGE_BYTES { Err("a line without an end") } else { Ok(None) };
    };
    used += 1;
    let text_of_line = || String::from_utf8_lossy(text).into_owned();
    let value = match kind {
        b'+' => Value::Simple(text_of_line()),
        b'-' => Value::Error(text_of_line()),
        b':' => Value::Number(number(text)?),
        b'$' => match number(text)? {
            -1 => Value::Bulk(None),
            length if (0..=MAX_MESSAGE_BYTES as i64).contains(&length) => {
                let length = length as usize;
                let Some(body) = bytes.get(used..used + length + 2) else { return Ok(None) };
                if &body[length..] != b"\r\n" {
                    return Err("a bulk string whose length does not match");
                }
                used += length + 2;
                Value::Bulk(Some(body[..length].to_vec()))
            }
            _ => return Err("a bulk string of an impossible length"),
        },
        _ => match number(text)? {
            -1 => Value::Array(None),
            count if (0..=MAX_ITEMS as i64).contains(&count) => {
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

/// Parses a command: an array of at least one bulk string.
pub fn command(bytes: &[u8]) -> Scanned<Vec<Vec<u8>>> {
    if bytes.first().is_some_and(|first| *first != b'*') {
        return Err("not a command");
    }
    let Some((Value::Array(Some(items)), used)) = value(bytes)? else { return Ok(None) };
    let arguments = items.into_iter().map(|item| match item {
        Value::Bulk(Some(argument)) => Ok(argument),
        _ => Err("a command with an argument that is not a bulk string"),
    });
    let arguments: Vec<_> = arguments.collect::<Result<_, _>>()?;
    if arguments.is_empty() {
        Err("an empty command")
    } else {
        Ok(Some((arguments, used)))
    }
}

pub fn write_command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    arguments.iter().for_each(|argument| bulk(&mut bytes, argument));
    bytes
}

pub fn bulk(buffer: &mut Vec<u8>, argument: &[u8]) {
    buffer.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
    buffer.extend_from_slice(argument);
    buffer.extend_from_slice(b"\r\n");
}

/// A request as a client sends it, or an attempt as a server receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub tenant: String,
    pub id: String,
    pub class: String,
    pub plan: String,
    /// Milliseconds that the sender waits for the answer.
    pub wait_ms: f64,
    pub key: Option<String>,
    pub units: f64,
    pub spread: u32,
    pub first: u32,
    pub repeat: bool,
    pub body: Option<Vec<u8>>,
}

impl Call {
    pub fn write(&self, is_idempotent: bool) -> Vec<u8> {
        let mut parameters = format!("c={},t={},d={}", self.class, self.plan, self.wait_ms);
        if let Some(key) = &self.key {
            let _ = write!(parameters, ",k={key}");
        }
        if self.repeat {
            parameters.push_str(",r=1");
        }
        let _ = write!(parameters, ",units={},spread={},first={}", self.units, self.spread, self.first);
        let command_name: &[u8] = if is_idempotent { b"CALL.GET" } else { b"CALL.POST" };
        let mut arguments =
            vec![command_name, self.tenant.as_bytes(), self.id.as_bytes(), parameters.as_bytes()];
        arguments.extend(self.body.as_deref());
        write_command(&arguments)
    }

    /// Reads the arguments of a command; `None` if it is not a call, or in a form that no client sends.
    pub fn read(arguments: &[Vec<u8>]) -> Option<Call> {
        let (command_name, tenant, id, parameters, body) = match arguments {
            [command_name, tenant, id, parameters] => (command_name, tenant, id, parameters, None),
            [command_name, tenant, id, parameters, body] => {
                (command_name, tenant, id, parameters, Some(body.clone()))
            }
            _ => return None,
        };
        if command_name != b"CALL.GET" && command_name != b"CALL.POST" {
            return None;
        }
        let text = |argument: &[u8]| String::from_utf8(argument.to_vec()).ok();
        let mut call = Call {
            tenant: text(tenant)?,
            id: text(id)?,
            class: String::new(),
            plan: String::new(),
            wait_ms: -1.0,
            key: None,
            units: 1.0,
            spread: 1,
            first: 0,
            repeat: false,
            body,
        };
        for part in text(parameters)?.split(',') {
            let (name, value) = part.split_once('=')?;
            match name {
                "c" => call.class = value.into(),
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
        (call.wait_ms >= 0.0 && !call.class.is_empty()).then_some(call)
    }
}

/// A client's interpretation of a gateway's answer.
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
    pub fn from_value(value: Value) -> Answer {
        match value {
            Value::Bulk(Some(value)) => Answer::Completed(value),
            Value::Array(Some(items)) => match items.into_iter().next() {
                Some(Value::Bulk(Some(value))) => Answer::Completed(value),
                _ => Answer::Failed,
            },
            Value::Error(message) => {
                let mut parts = message.split(' ');
                match parts.next() {
                    Some("BUSY") => Answer::Rejected { wait_ms: parts.next().and_then(|ms| ms.parse().ok()) },
                    _ => Answer::Failed,
                }
            }
            _ => Answer::Failed,
        }
    }
}
