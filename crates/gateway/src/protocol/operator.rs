//! What operators ask, over HTTP/1.1: one call to a connection.

use fernscale_policy::Id;

/// Longest head of a call, and longest body: an id has some tens of bytes.
const MOST_HEAD: usize = 8 * 1024;
const MOST_BODY: usize = 1024;
/// No call is longer, with the blanks that may stand round its id.
pub const MOST_MESSAGE: usize = MOST_HEAD + MOST_BODY;

#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    Health,
    Stats,
    Cordon(Id),
    Uncordon(Id),
}

/// Why a call gets no yes: a status and a line that names what is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    pub status: u16,
    pub why: String,
}

fn refused<T>(status: u16, why: impl Into<String>) -> Result<T, Refused> {
    Err(Refused { status, why: why.into() })
}

/// Reads a call; `None` while its end has not come.
pub fn call(bytes: &[u8]) -> Result<Option<Call>, Refused> {
    // Some write line ends before a call.
    let blank = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let bytes = &bytes[blank..];
    let Some(end) = bytes.windows(4).take(MOST_HEAD).position(|four| four == b"\r\n\r\n") else {
        // What can't be a call is told at once, so that nobody waits for the rest of it.
        let first = &bytes[..bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len())];
        if first.iter().any(|byte| !(b' '..=b'~').contains(byte) && *byte != b'\r') {
            return refused(400, "the first line is no text");
        }
        return if bytes.len() >= MOST_HEAD { refused(431, "the head is too long") } else { Ok(None) };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else { return refused(400, "the head is no text") };
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let mut words = first.split(' ');
    let (Some(method), Some(path), Some("HTTP/1.1" | "HTTP/1.0"), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return refused(400, "the first line is not: method, path, HTTP/1.1");
    };
    let mut length = None;
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return refused(400, "a header without a colon");
        };
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return refused(411, "the body has to have a Content-Length");
        }
        if name.eq_ignore_ascii_case("content-length") {
            let number =
                value.parse::<usize>().ok().filter(|_| value.bytes().all(|byte| byte.is_ascii_digit()));
            let Some(number) = number else { return refused(400, "Content-Length is no number") };
            if length.is_some_and(|other| other != number) {
                return refused(400, "two Content-Lengths that differ");
            }
            length = Some(number);
        }
    }
    let path = path.split('?').next().unwrap_or_default();
    let wanted = match path {
        "/admin/health" | "/admin/stats" => "GET",
        "/admin/cordon" | "/admin/uncordon" => "POST",
        _ => return refused(404, "no such path; there are /admin/health, stats, cordon, uncordon"),
    };
    if method != wanted {
        return refused(405, format!("{path} takes {wanted}"));
    }
    match path {
        "/admin/health" => return Ok(Some(Call::Health)),
        "/admin/stats" => return Ok(Some(Call::Stats)),
        _ => {}
    }
    let Some(length) = length else { return refused(411, "the body has to have a Content-Length") };
    if length > MOST_BODY {
        return refused(413, "the body is too long for an id");
    }
    let Some(body) = bytes.get(end + 4..end + 4 + length) else { return Ok(None) };
    let Ok(id) = std::str::from_utf8(body).map(str::trim) else { return refused(400, "the id is no text") };
    if id.is_empty() {
        return refused(400, "the body has to be the id of a server, and is empty");
    }
    if id.chars().any(char::is_control) {
        return refused(400, "the id has control characters");
    }
    let server = Id::from(id);
    Ok(Some(if path == "/admin/cordon" { Call::Cordon(server) } else { Call::Uncordon(server) }))
}

/// A whole answer, after which the connection ends.
pub fn answer(status: u16, body: &str) -> Vec<u8> {
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
