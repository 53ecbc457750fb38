//! Operators' calls over HTTP/1.1: bytes to meaning and back, one call to a connection.

use fernscale_policy::Id;

/// Longest head of a call, and longest body: an id has some tens of bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_BODY_BYTES: usize = 1024;
/// No call is longer, with the blanks that may stand round its id.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCall {
    /// Whether this gateway serves clients.
    Health,
    /// The metrics.
    Stats,
    /// Take a server out of use.
    Cordon(Id),
    /// Bring a server back into use.
    Uncordon(Id),
}

/// Why a call is rejected: an HTTP status, and a line that names what is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    pub status: u16,
    pub reason: String,
}

impl Rejection {
    fn new(status: u16, reason: impl Into<String>) -> Self {
        Rejection { status, reason: reason.into() }
    }
}

/// The head of a call.
struct Head<'a> {
    method: &'a str,
    /// Without the query.
    path: &'a str,
    content_length: Option<usize>,
}

/// Reads a call; `None` while its end has not come.
///
/// # Errors
///
/// A [`Rejection`] as soon as what has come can't be the beginning of a call.
pub fn parse_call(bytes: &[u8]) -> Result<Option<OperatorCall>, Rejection> {
    // Some clients write line ends before a call.
    let leading_line_ends = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let bytes = &bytes[leading_line_ends..];
    let Some(end) = find_head_end(bytes)? else { return Ok(None) };
    let head = parse_head(&bytes[..end])?;
    let expected_method = match head.path {
        "/admin/health" | "/admin/stats" => "GET",
        "/admin/cordon" | "/admin/uncordon" => "POST",
        _ => {
            let reason = "no such path; there are /admin/health, stats, cordon, uncordon";
            return Err(Rejection::new(404, reason));
        }
    };
    if head.method != expected_method {
        return Err(Rejection::new(405, format!("{} takes {expected_method}", head.path)));
    }
    match head.path {
        "/admin/health" => return Ok(Some(OperatorCall::Health)),
        "/admin/stats" => return Ok(Some(OperatorCall::Stats)),
        _ => {}
    }
    let Some(server) = parse_server(&bytes[end + 4..], head.content_length)? else { return Ok(None) };
    Ok(Some(match head.path {
        "/admin/cordon" => OperatorCall::Cordon(server),
        _ => OperatorCall::Uncordon(server),
    }))
}

/// Where the head ends, before its empty line; `None` while that has not come.
fn find_head_end(bytes: &[u8]) -> Result<Option<usize>, Rejection> {
    if let Some(end) = bytes.windows(4).take(MAX_HEAD_BYTES).position(|window| window == b"\r\n\r\n") {
        return Ok(Some(end));
    }
    // What can't be a call is rejected at once, so that nobody waits for the rest of it.
    let first_line = bytes.split(|byte| *byte == b'\n').next().unwrap_or_default();
    if first_line.iter().any(|byte| !(b' '..=b'~').contains(byte) && *byte != b'\r') {
        return Err(Rejection::new(400, "the first line is no text"));
    }
    if bytes.len() >= MAX_HEAD_BYTES {
        return Err(Rejection::new(431, "the head is too long"));
    }
    Ok(None)
}

fn parse_head(head: &[u8]) -> Result<Head<'_>, Rejection> {
    let head = std::str::from_utf8(head).map_err(|_| Rejection::new(400, "the head is no text"))?;
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let (Some(method), Some(target), Some("HTTP/1.1" | "HTTP/1.0"), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Rejection::new(400, "the first line is not: method, path, HTTP/1.1"));
    };
    let mut content_length = None;
    for line in lines {
        let (name, value) =
            line.split_once(':').ok_or_else(|| Rejection::new(400, "a header without a colon"))?;
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Rejection::new(411, "the body has to have a Content-Length"));
        }
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(value.trim())?;
            if content_length.is_some_and(|other| other != length) {
                return Err(Rejection::new(400, "two Content-Lengths that differ"));
            }
            content_length = Some(length);
        }
    }
    let path = target.split('?').next().unwrap_or_default();
    Ok(Head { method, path, content_length })
}

fn parse_content_length(value: &str) -> Result<usize, Rejection> {
    let is_digits = value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| is_digits);
    length.ok_or_else(|| Rejection::new(400, "Content-Length is no number"))
}

/// The id of a server from the bytes behind the head; `None` while the body has not come complete.
fn parse_server(bytes: &[u8], content_length: Option<usize>) -> Result<Option<Id>, Rejection> {
    let length =
        content_length.ok_or_else(|| Rejection::new(411, "the body has to have a Content-Length"))?;
    if length > MAX_BODY_BYTES {
        return Err(Rejection::new(413, "the body is too long for an id"));
    }
    let Some(body) = bytes.get(..length) else { return Ok(None) };
    let id = std::str::from_utf8(body).map_err(|_| Rejection::new(400, "the id is no text"))?.trim();
    if id.is_empty() {
        return Err(Rejection::new(400, "the body has to be the id of a server, and is empty"));
    }
    if id.chars().any(char::is_control) {
        return Err(Rejection::new(400, "the id has control characters"));
    }
    Ok(Some(Id::from(id)))
}

/// A complete response, after which the connection ends.
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
