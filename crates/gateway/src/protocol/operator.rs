//! Operators' calls over HTTP/1.1, one on each connection: parses calls, and writes responses.

use fernscale_policy::Id;

/// The longest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body of a call, in bytes: a server's id has some tens.
const MAX_BODY_BYTES: usize = 1024;
/// The longest call, in bytes, including white space around the id.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// The line end of the last header, and the empty line that follows.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCall {
    /// Ask whether this gateway serves clients.
    Health,
    /// Get the metrics.
    Stats,
    /// Cordon a server.
    Cordon(Id),
    /// Lift the cordon of a server.
    Uncordon(Id),
}

/// Why a call is rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The HTTP status of the response.
    pub status: u16,
    /// What is wrong, in one line.
    pub reason: String,
}

impl Rejection {
    fn new(status: u16, reason: impl Into<String>) -> Self {
        Rejection { status, reason: reason.into() }
    }
}

/// The paths that are served.
#[derive(Clone, Copy)]
enum Route {
    Health,
    Stats,
    Cordon,
    Uncordon,
}

impl Route {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/admin/health" => Some(Route::Health),
            "/admin/stats" => Some(Route::Stats),
            "/admin/cordon" => Some(Route::Cordon),
            "/admin/uncordon" => Some(Route::Uncordon),
            _ => None,
        }
    }

    fn method(self) -> &'static str {
        match self {
            Route::Health | Route::Stats => "GET",
            Route::Cordon | Route::Uncordon => "POST",
        }
    }
}

/// The head of a call.
struct Head<'a> {
    method: &'a str,
    /// The path without the query.
    path: &'a str,
    content_length: Option<usize>,
}

/// Parses a call; `None` while the call is incomplete.
///
/// # Errors
///
/// A [`Rejection`] as soon as the received bytes can't be the beginning of a call.
pub fn parse_call(bytes: &[u8]) -> Result<Option<OperatorCall>, Rejection> {
    // Some clients send line ends before a call.
    let leading_line_ends = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let bytes = &bytes[leading_line_ends..];
    let Some(end) = find_head_end(bytes)? else { return Ok(None) };
    let head = parse_head(&bytes[..end])?;
    let route = parse_route(&head)?;
    let body = &bytes[end + HEAD_END.len()..];
    let server = || parse_server(body, head.content_length);
    Ok(match route {
        Route::Health => Some(OperatorCall::Health),
        Route::Stats => Some(OperatorCall::Stats),
        Route::Cordon => server()?.map(OperatorCall::Cordon),
        Route::Uncordon => server()?.map(OperatorCall::Uncordon),
    })
}

fn parse_route(head: &Head) -> Result<Route, Rejection> {
    let Some(route) = Route::from_path(head.path) else {
        return Err(Rejection::new(404, "no such path; there are /admin/health, stats, cordon, uncordon"));
    };
    if head.method != route.method() {
        return Err(Rejection::new(405, format!("{} takes {}", head.path, route.method())));
    }
    Ok(route)
}

/// The end of the last header; `None` while the head is incomplete.
fn find_head_end(bytes: &[u8]) -> Result<Option<usize>, Rejection> {
    if let Some(end) =
        bytes.windows(HEAD_END.len()).take(MAX_HEAD_BYTES).position(|window| window == HEAD_END)
    {
        return Ok(Some(end));
    }
    // Bytes that can't begin a call are rejected at once, so that the caller does not wait for a timeout.
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
    let mut parts = lines.next().unwrap_or_default().split(' ');
    let (Some(method), Some(target), Some("HTTP/1.1" | "HTTP/1.0"), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
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

/// The id of a server in the bytes that follow the head; `None` while the body is incomplete.
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

/// Writes a complete response; the connection is closed after the response.
pub fn write_response(status: u16, body: &str) -> Vec<u8> {
    let reason = reason_phrase(status);
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}
