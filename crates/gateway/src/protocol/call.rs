//! The commands of clients, the commands forwarded to servers, and the answers to clients.

use std::cell::Cell;
use std::ops::Range;
use std::rc::Rc;

use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Id, Micros, Request};

use super::resp::{write_bulk, write_command};

/// A command that a client sends to the gateway.
#[derive(Debug)]
pub enum Command {
    Ping,
    /// A command that sets up the connection, such as `CLIENT` or `SELECT`; the gateway only acknowledges it.
    ConnectionSetup,
    Call(Call),
}

/// A client's request, kept in the form in which it is forwarded to servers.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: Request,
    /// The name of the command, as the client wrote it.
    command_name: Box<[u8]>,
    /// The list of fields (`name=value`, separated by commas) up to the value of `d`, the time that the client waits.
    list_before_wait: Box<str>,
    /// The rest of the list, from the end of the value of `d`.
    list_after_wait: Box<str>,
    body: Option<Box<[u8]>>,
    /// Whether the client has disconnected. No further attempt is started for the request then.
    pub client_gone: Rc<Cell<bool>>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Completed(Box<[u8]>),
    Rejected(Micros),
    Failed,
    /// The request is invalid; the text names the error.
    Malformed(&'static str),
}

const GET: &[u8] = b"CALL.GET";
const POST: &[u8] = b"CALL.POST";

/// Parses a command.
///
/// # Errors
///
/// What is wrong with the command, for the client to read.
pub fn command(arguments: &[&[u8]], platform: &PlatformSettings) -> Result<Command, String> {
    let is_named = |name: &[u8]| arguments[0].eq_ignore_ascii_case(name);
    if is_named(GET) || is_named(POST) {
        return call(arguments, platform).map(Command::Call);
    }
    if is_named(b"PING") {
        return Ok(Command::Ping);
    }
    if is_named(b"CLIENT") || is_named(b"SELECT") {
        return Ok(Command::ConnectionSetup);
    }
    Err(format!("unknown command '{}'", printable(arguments[0])))
}

fn call(arguments: &[&[u8]], platform: &PlatformSettings) -> Result<Call, String> {
    let (command_name, tenant, id, list, body) = match *arguments {
        [command_name, tenant, id, list] => (command_name, tenant, id, list, None),
        [command_name, tenant, id, list, body] => (command_name, tenant, id, list, Some(body)),
        _ => return Err("a call takes a customer, an id, a list and perhaps a body".into()),
    };
    let tenant = parse_text(tenant, "the customer")?;
    let number = u64::from_str_radix(tenant, 16).ok().filter(|number| *number < 1 << 33);
    if tenant.len() != 16 || number.is_none() || tenant.starts_with('+') {
        return Err("the customer is no number of 16 hex digits below 2^33".into());
    }
    let (id, list) = (parse_text(id, "the id")?, parse_text(list, "the list")?);
    if id.is_empty() {
        return Err("the id is empty".into());
    }
    let (mut class, mut plan, mut time_left, mut wait_range) = (None, None, None, 0..0);
    let (mut units, mut gateway_spread, mut first_gateway) = (None, None, None);
    let mut offset = 0;
    for field in list.split(',') {
        let (name, value) = field.split_once('=').ok_or("a part of the list without '='")?;
        let value_start = offset + name.len() + 1;
        offset += field.len() + 1;
        let invalid = || format!("'{}' can't be understood", printable(field.as_bytes()));
        let position_in = |names: &[String]| names.iter().position(|name| name == value);
        // Servers may parse signs, exponents and names of numbers such as `inf` in another way.
        let is_plain_number = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let parse_number =
            || value.parse::<f64>().ok().filter(|number| is_plain_number && number.is_finite());
        let parse_integer = |range: Range<u32>| {
            value.parse::<u32>().ok().filter(|number| is_plain_number && range.contains(number))
        };
        // Of a repeated field the gateway might use one value and a server the other.
        let is_repeated = match name {
            "c" => class.replace(position_in(&platform.class_names).ok_or_else(invalid)?).is_some(),
            "t" => plan.replace(position_in(&platform.plan_names).ok_or_else(invalid)?).is_some(),
            "d" => {
                wait_range = value_start..value_start + value.len();
                let wait_ms =
                    parse_number().ok_or_else(invalid)?.min(platform.max_client_wait as f64 / 1000.0);
                time_left.replace((wait_ms * 1000.0) as Micros).is_some()
            }
            "units" => {
                units.replace(parse_number().filter(|units| *units > 0.0).ok_or_else(invalid)?).is_some()
            }
            "spread" => gateway_spread
                .replace(parse_integer(1..platform.gateway_count + 1).ok_or_else(invalid)?)
                .is_some(),
            "first" => {
                first_gateway.replace(parse_integer(0..platform.gateway_count).ok_or_else(invalid)?).is_some()
            }
            _ => false,
        };
        if is_repeated {
            return Err(format!("'{name}' comes twice"));
        }
    }
    let (plan, units) = (plan.ok_or("the list has no 't'")?, units.unwrap_or(1.0));
    // Without this limit, one command could use up the tenant's quota for a long time.
    if units > platform.max_units {
        return Err("no transaction takes so many units".into());
    }
    Ok(Call {
        request: Request {
            id: Id::from(id),
            class: class.ok_or("the list has no 'c'")?,
            plan,
            tenant: Id::from(tenant),
            units,
            first_gateway: first_gateway.unwrap_or(0),
            gateway_spread: gateway_spread.unwrap_or(1),
            time_left: time_left.ok_or("the list has no 'd'")?,
        },
        command_name: command_name.into(),
        list_before_wait: list[..wait_range.start].into(),
        list_after_wait: list[wait_range.end..].into(),
        body: body.map(Into::into),
        client_gone: Rc::default(),
    })
}

/// An argument of a command as text; `what` names the argument in errors.
fn parse_text<'a>(argument: &'a [u8], what: &str) -> Result<&'a str, String> {
    let text = std::str::from_utf8(argument).map_err(|_| format!("{what} is no text"))?;
    if text.chars().any(char::is_control) {
        return Err(format!("{what} has control characters"));
    }
    Ok(text)
}

/// The first bytes of a client's argument in a form that can be part of an error line.
fn printable(argument: &[u8]) -> String {
    let text = String::from_utf8_lossy(&argument[..argument.len().min(32)]);
    text.chars().map(|character| if character.is_control() { '.' } else { character }).collect()
}

impl Call {
    /// The command for a server. `timeout` is how long the gateway waits for the server's reply.
    pub fn command(&self, timeout: Micros) -> Vec<u8> {
        let list =
            format!("{}{}{}", self.list_before_wait, timeout.div_ceil(1000).max(1), self.list_after_wait);
        let request = &self.request;
        let mut arguments =
            vec![&*self.command_name, request.tenant.as_bytes(), request.id.as_bytes(), list.as_bytes()];
        arguments.extend(self.body.as_deref());
        write_command(&arguments)
    }

    /// The memory that the call takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let body = self.body.as_ref().map_or(0, |body| body.len());
        body + self.list_before_wait.len() + self.list_after_wait.len() + self.request.id.len()
    }
}

impl FinalAnswer {
    /// Writes the answer as a RESP2 reply.
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

/// An error reply to the client with this text.
pub fn error(text: &str) -> Vec<u8> {
    format!("-ERR {text}\r\n").into_bytes()
}
