//! The part of HTTP/1.1 that a client of the endpoint list needs: writes requests without a body, and parses responses.

use super::Scanned;

/// The longest head of a response, and the longest line in a chunked body, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest body of a response, in bytes: a list of ten thousand servers fits.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The longest response, in bytes, including the sizes of its chunks.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_BODY_BYTES;

const LINE_END: &[u8] = b"\r\n";
/// The line end of the last header, and the empty line that follows.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body, without the sizes of its chunks.
    pub body: Vec<u8>,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
}

/// Writes a GET request.
pub fn get(host: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// Parses a response; `ended` says that no more bytes will be received.
///
/// # Errors
///
/// Those of [`Reader::read`].
pub fn parse_response(bytes: &[u8], ended: bool) -> Scanned<Response> {
    Reader::default().read(bytes, ended)
}

/// How the end of a body is determined.
#[derive(Clone, Copy)]
enum BodyLength {
    /// By its length in bytes.
    Known(usize),
    /// By a chunk of size 0.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// The head of a response.
#[derive(Clone, Copy)]
struct Head {
    status: u16,
    keep_alive: bool,
    body_length: BodyLength,
    /// The offset of the body.
    body_start: usize,
}

impl Head {
    /// Whether the final response to the request is still to follow.
    fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Whether the status rules out a body, whatever the headers say.
    fn has_no_body(&self) -> bool {
        matches!(self.status, 204 | 304)
    }
}

/// Parses one response while it is being received. Parsed bytes are not parsed again when more bytes arrive: a long list may
/// arrive in thousands of pieces.
#[derive(Default)]
pub struct Reader {
    /// The offset of the final response, after interim responses.
    start: usize,
    head: Option<Head>,
    /// The offset of the next chunk.
    next_chunk: usize,
    /// The content of the chunks before that offset.
    body: Vec<u8>,
}

impl Reader {
    /// Parses a response; gives it with its length. `bytes` are all bytes received so far, and `ended` says that no more will
    /// be received.
    ///
    /// # Errors
    ///
    /// A text that says why the bytes can't be a response, or that the response is too long.
    pub fn read(&mut self, bytes: &[u8], ended: bool) -> Scanned<Response> {
        let Some(head) = self.read_head(bytes)? else { return Ok(None) };
        let Some((body, end)) = self.read_body(&head, bytes, ended)? else { return Ok(None) };
        let keep_alive = head.keep_alive && !matches!(head.body_length, BodyLength::UntilClose);
        Ok(Some((Response { status: head.status, body, keep_alive }, end)))
    }

    /// Parses the head of the final response, after interim responses.
    fn read_head(&mut self, bytes: &[u8]) -> Result<Option<Head>, &'static str> {
        while self.head.is_none() {
            let Some(head) = parse_head(bytes, self.start)? else { return Ok(None) };
            if head.is_interim() {
                self.start = head.body_start;
            } else {
                self.next_chunk = head.body_start;
                self.head = Some(head);
            }
        }
        Ok(self.head)
    }

    /// Parses the body; gives it with the offset behind it.
    fn read_body(&mut self, head: &Head, bytes: &[u8], ended: bool) -> Scanned<Vec<u8>> {
        let start = head.body_start;
        if head.has_no_body() {
            return Ok(Some((Vec::new(), start)));
        }
        match head.body_length {
            BodyLength::Known(length) => {
                let end = start + length;
                Ok(bytes.get(start..end).map(|body| (body.to_vec(), end)))
            }
            BodyLength::Chunked => {
                let end = self.read_chunks(bytes)?;
                Ok(end.map(|end| (std::mem::take(&mut self.body), end)))
            }
            BodyLength::UntilClose if ended => Ok(Some((bytes[start..].to_vec(), bytes.len()))),
            BodyLength::UntilClose => Ok(None),
        }
    }

    /// Parses the complete chunks; gives the end of the response once it has been received.
    fn read_chunks(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        loop {
            let Some(line_end) = find_line_end(bytes, self.next_chunk)? else { return Ok(None) };
            let size = parse_chunk_size(&bytes[self.next_chunk..line_end])?;
            if size > MAX_BODY_BYTES - self.body.len() {
                return Err("the body of a response is too long");
            }
            let start = line_end + LINE_END.len();
            if size == 0 {
                return find_trailers_end(bytes, start);
            }
            let end = start + size;
            match bytes.get(end..end + LINE_END.len()) {
                None => return Ok(None),
                Some(LINE_END) => self.body.extend_from_slice(&bytes[start..end]),
                Some(_) => return Err("no line end after a chunk"),
            }
            self.next_chunk = end + LINE_END.len();
        }
    }
}

/// The size in the first line of a chunk; extensions may follow the size.
fn parse_chunk_size(line: &[u8]) -> Result<usize, &'static str> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size).unwrap_or_default().trim();
    if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err("a chunk has no valid size");
    }
    usize::from_str_radix(size, 16).map_err(|_| "the body of a response is too long")
}

/// The end of the trailers that begin at `start`, including their empty line.
fn find_trailers_end(bytes: &[u8], mut start: usize) -> Result<Option<usize>, &'static str> {
    loop {
        let Some(line_end) = find_line_end(bytes, start)? else { return Ok(None) };
        let is_empty = line_end == start;
        start = line_end + LINE_END.len();
        if is_empty {
            return Ok(Some(start));
        }
    }
}

/// The end of the line that begins at `start`.
fn find_line_end(bytes: &[u8], start: usize) -> Result<Option<usize>, &'static str> {
    let rest = bytes.get(start..).unwrap_or_default();
    match rest.windows(LINE_END.len()).take(MAX_HEAD_BYTES).position(|window| window == LINE_END) {
        Some(length) => Ok(Some(start + length)),
        None if rest.len() > MAX_HEAD_BYTES => Err("a line is too long"),
        None => Ok(None),
    }
}

/// Parses the head of the response that begins at `start`.
fn parse_head(bytes: &[u8], start: usize) -> Result<Option<Head>, &'static str> {
    let bytes = bytes.get(start..).unwrap_or_default();
    let end = bytes.windows(HEAD_END.len()).take(MAX_HEAD_BYTES).position(|window| window == HEAD_END);
    let Some(end) = end else {
        if bytes.len() >= MAX_HEAD_BYTES {
            return Err("the head of the response is too long");
        }
        return Ok(None);
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| "the head of the response is not UTF-8")?;
    let mut lines = text.split("\r\n");
    let (version, status) = parse_status_line(lines.next().unwrap_or_default())?;
    let mut headers = Headers::new(version);
    for line in lines {
        headers.apply(line)?;
    }
    let Headers { keep_alive, body_length, .. } = headers;
    Ok(Some(Head { status, keep_alive, body_length, body_start: start + end + HEAD_END.len() }))
}

/// The HTTP version of a response.
#[derive(Clone, Copy, PartialEq)]
enum Version {
    Http10,
    Http11,
}

fn parse_status_line(line: &str) -> Result<(Version, u16), &'static str> {
    let mut parts = line.splitn(3, ' ');
    let version = match parts.next() {
        Some("HTTP/1.1") => Version::Http11,
        Some("HTTP/1.0") => Version::Http10,
        _ => return Err("not a response of HTTP/1"),
    };
    let status = parts.next().filter(|status| status.len() == 3 && is_decimal(status));
    let status = status.and_then(|status| status.parse().ok()).ok_or("the response has no valid status")?;
    Ok((version, status))
}

/// What the parsed headers of a response say.
struct Headers {
    version: Version,
    keep_alive: bool,
    body_length: BodyLength,
}

impl Headers {
    fn new(version: Version) -> Self {
        Headers { version, keep_alive: version == Version::Http11, body_length: BodyLength::UntilClose }
    }

    /// Applies one header line.
    fn apply(&mut self, line: &str) -> Result<(), &'static str> {
        let (name, value) = line.split_once(':').ok_or("a header without a colon")?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            self.apply_content_length(value)
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.apply_transfer_encoding(value)
        } else {
            if name.eq_ignore_ascii_case("connection") {
                self.apply_connection(value);
            }
            Ok(())
        }
    }

    /// Content-Length is ignored after a Transfer-Encoding.
    fn apply_content_length(&mut self, value: &str) -> Result<(), &'static str> {
        if matches!(self.body_length, BodyLength::Chunked) {
            return Ok(());
        }
        if !is_decimal(value) {
            return Err("Content-Length is not a number");
        }
        let length = value.parse().ok().filter(|length| *length <= MAX_BODY_BYTES);
        let length = length.ok_or("the body of a response is too long")?;
        if matches!(self.body_length, BodyLength::Known(other) if other != length) {
            return Err("two different Content-Lengths");
        }
        self.body_length = BodyLength::Known(length);
        Ok(())
    }

    fn apply_transfer_encoding(&mut self, value: &str) -> Result<(), &'static str> {
        if !value.eq_ignore_ascii_case("chunked") {
            return Err("unsupported Transfer-Encoding");
        }
        self.body_length = BodyLength::Chunked;
        Ok(())
    }

    fn apply_connection(&mut self, value: &str) {
        let has_option = |name: &str| value.split(',').any(|option| option.trim().eq_ignore_ascii_case(name));
        self.keep_alive = match self.version {
            Version::Http11 => !has_option("close"),
            Version::Http10 => has_option("keep-alive"),
        };
    }
}

/// Whether a text is a decimal number without a sign.
fn is_decimal(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}
