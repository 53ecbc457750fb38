//! What operators ask, over HTTP/1.1: one call to a connection.

use fernscale_policy::Id;

/// Longest head of a call, and longest body: an id has some tens of bytes.
const MAX_HEAD: usize = 8 * 1024;
const MAX_BODY: usize = 1024;
/// No call is longer, with the blanks that may stand round its id.
pub const MAX_MESSAGE: usize = MAX_HEAD + MAX_BODY;

#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCall {
    Health,
    Stats,
    Cordon(Id),
    Uncordon(Id),
}

/// Why a call gets no yes: a status and a line that names what is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    pub status: u16,
    pub reason: String,
}

fn reject<T>(status: u16, reason: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection { status, reason: reason.into() })
}

/// Reads a call; `None` while its end has not come.
pub fn parse_call(bytes: &[u8]) -> Result<Option<OperatorCall>, Rejection> {
    // Some write line ends before a call.
    let blank = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let bytes = &bytes[blank..];
    let Some(end) = bytes.windows(4).take(MAX_HEAD).position(|four| four == b"\r\n\r\n") else {
        // What can't be a call is told at once, so that nobody waits for the rest of it.
        let first = &bytes[..bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len())];
        if first.iter().any(|byte| !(b' '..=b'~').contains(byte) && *byte != b'\r') {
            return reject(400, "the first line is no text");
        }
        return if bytes.len() >= MAX_HEAD { reject(431, "the head is too long") } else { Ok(None) };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else { return reject(400, "the head is no text") };
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let mut words = first.split(' ');
    let (Some(method), Some(path), Some("HTTP/1.1" | "HTTP/1.0"), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return reject(400, "the first line is not: method, path, HTTP/1.1");
    };
    let mut length = None;
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return reject(400, "a header without a colon");
        };
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return reject(411, "the body has to have a Content-Length");
        }
        if name.eq_ignore_ascii_case("content-length") {
            let number =
                value.parse::<usize>().ok().filter(|_| value.bytes().all(|byte| byte.is_ascii_digit()));
            let Some(number) = number else { return reject(400, "Content-Length is no number") };
            if length.is_some_and(|other| other != number) {
                return reject(400, "two Content-Lengths that differ");
            }
            length = Some(number);
        }
    }
    let path = path.split('?').next().unwrap_or_default();
    let expected_method = match path {
        "/admin/health" | "/admin/stats" => "GET",
        "/admin/cordon" | "/admin/uncordon" => "POST",
        _ => return reject(404, "no such path; there are /admin/health, stats, cordon, uncordon"),
    };
    if method != expected_method {
        return reject(405, format!("{path} takes {expected_method}"));
    }
    match path {
        "/admin/health" => return Ok(Some(OperatorCall::Health)),
        "/admin/stats" => return Ok(Some(OperatorCall::Stats)),
        _ => {}
    }
    let Some(length) = length else { return reject(411, "the body has to have a Content-Length") };
    if length > MAX_BODY {
        return reject(413, "the body is too long for an id");
    }
    let Some(body) = bytes.get(end + 4..end + 4 + length) else { return Ok(None) };
    let Ok(id) = std::str::from_utf8(body).map(str::trim) else { return reject(400, "the id is no text") };
    if id.is_empty() {
        return reject(400, "the body has to be the id of a server, and is empty");
    }
    if id.chars().any(char::is_control) {
        return reject(400, "the id has control characters");
    }
    let server = Id::from(id);
    Ok(Some(if path == "/admin/cordon" {
        OperatorCall::Cordon(server)
    } else {
        OperatorCall::Uncordon(server)
    }))
}

/// A whole answer, after which the connection ends.
pub fn write_response(status: u16, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
