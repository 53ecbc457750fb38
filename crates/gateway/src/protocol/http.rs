//! HTTP/1.1, as far as a client of the list needs it: a request without a body, and any response.

use super::Scanned;

/// Longest head of a response, and longest body: a list of ten thousand servers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// No response is longer, with the sizes of its chunks.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_BODY_BYTES;

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the connection may be used again.
    pub keep: bool,
}

pub fn get(host: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

enum BodyLength {
    Known(usize),
    Chunked,
    /// All that comes until the connection ends.
    UntilClose,
}

/// The head of a response, and where its body begins.
struct Head {
    status: u16,
    keep: bool,
    length: BodyLength,
    body_start: usize,
}

/// Reads one response as it comes. What has been understood is not looked at again with the next bytes: a long list may come
/// in thousands of pieces.
#[derive(Default)]
pub struct Reader {
    /// Where the response begins, behind interim ones.
    start: usize,
    head: Option<Head>,
    /// Where the next chunk begins, and what those before it held.
    next_chunk: usize,
    body: Vec<u8>,
}

/// Reads a response; `ended` says that no more bytes will come.
pub fn response(bytes: &[u8], ended: bool) -> Scanned<Response> {
    Reader::default().read(bytes, ended)
}

impl Reader {
    /// `bytes`: all that have come of the response so far; `ended`: no more will.
    pub fn read(&mut self, bytes: &[u8], ended: bool) -> Scanned<Response> {
        while self.head.is_none() {
            let Some(head) = parse_head(bytes, self.start)? else { return Ok(None) };
            if head.status < 200 {
                // Only an interim word: the response comes after it.
                self.start = head.body_start;
            } else {
                self.next_chunk = head.body_start;
                self.head = Some(head);
            }
        }
        let Some(Head { status, keep, length, body_start }) = &self.head else { return Ok(None) };
        let (status, keep, start) = (*status, *keep, *body_start);
        let keep = keep && !matches!(length, BodyLength::UntilClose);
        let (body, end) = match length {
            _ if matches!(status, 204 | 304) => (Vec::new(), start),
            BodyLength::Known(length) => match bytes.get(start..start + length) {
                Some(body) => (body.to_vec(), start + length),
                None => return Ok(None),
            },
            BodyLength::Chunked => match self.read_chunks(bytes)? {
                Some(end) => (std::mem::take(&mut self.body), end),
                None => return Ok(None),
            },
            BodyLength::UntilClose if ended => (bytes[start..].to_vec(), bytes.len()),
            BodyLength::UntilClose => return Ok(None),
        };
        Ok(Some((Response { status, body, keep }, end)))
    }

    /// Takes the chunks that have come whole; the end of the response, once it is there.
    fn read_chunks(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        loop {
            let Some(end) = find_line_end(bytes, self.next_chunk)? else { return Ok(None) };
            let size = bytes[self.next_chunk..end].split(|byte| *byte == b';').next().unwrap_or_default();
            let size = std::str::from_utf8(size).unwrap_or_default().trim();
            if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                return Err("a chunk without a size");
            }
            let size = usize::from_str_radix(size, 16).ok();
            let size = size.filter(|size| *size <= MAX_BODY_BYTES - self.body.len());
            let size = size.ok_or("the body of a response is too long")?;
            let at = end + 2;
            if size == 0 {
                return find_trailers_end(bytes, at);
            }
            match bytes.get(at + size..at + size + 2) {
                None => return Ok(None),
                Some(b"\r\n") => self.body.extend_from_slice(&bytes[at..at + size]),
                Some(_) => return Err("a chunk does not end where it should"),
            }
            self.next_chunk = at + size + 2;
        }
    }
}

/// Where the trailers that begin here end, with an empty line.
fn find_trailers_end(bytes: &[u8], mut at: usize) -> Result<Option<usize>, &'static str> {
    loop {
        let Some(end) = find_line_end(bytes, at)? else { return Ok(None) };
        let empty = end == at;
        at = end + 2;
        if empty {
            return Ok(Some(at));
        }
    }
}

/// Reads the head of the response that begins at `from`.
fn parse_head(bytes: &[u8], from: usize) -> Result<Option<Head>, &'static str> {
    let bytes = bytes.get(from..).unwrap_or_default();
    let Some(end) = bytes.windows(4).take(MAX_HEAD_BYTES).position(|window| window == b"\r\n\r\n") else {
        return if bytes.len() >= MAX_HEAD_BYTES {
            Err("the head of a response is too long")
        } else {
            Ok(None)
        };
    };
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| "the head of a response is no text")?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().splitn(3, ' ');
    let minor = match first.next() {
        Some("HTTP/1.1") => 1,
        Some("HTTP/1.0") => 0,
        _ => return Err("no response of HTTP/1"),
    };
    let status =
        first.next().filter(|text| text.len() == 3 && text.bytes().all(|byte| byte.is_ascii_digit()));
    let status: u16 = status.and_then(|text| text.parse().ok()).ok_or("a response without a status")?;
    let (mut length, mut keep) = (BodyLength::UntilClose, minor == 1);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or("a header without a colon")?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") && !matches!(length, BodyLength::Chunked) {
            if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err("a length that is no number");
            }
            let known = value.parse().ok().filter(|length| *length <= MAX_BODY_BYTES);
            let known: usize = known.ok_or("the body of a response is too long")?;
            if matches!(length, BodyLength::Known(other) if other != known) {
                return Err("two lengths that differ");
            }
            length = BodyLength::Known(known);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err("an encoding that is not known here");
            }
            length = BodyLength::Chunked;
        } else if name.eq_ignore_ascii_case("connection") {
            let mut options = value.split(',').map(str::trim);
            keep = if minor == 1 {
                !options.any(|option| option.eq_ignore_ascii_case("close"))
            } else {
                options.any(|option| option.eq_ignore_ascii_case("keep-alive"))
            };
        }
    }
    Ok(Some(Head { status, keep, length, body_start: from + end + 4 }))
}

/// Where the line ends that begins here.
fn find_line_end(bytes: &[u8], at: usize) -> Result<Option<usize>, &'static str> {
    let rest = bytes.get(at..).unwrap_or_default();
    match rest.windows(2).take(MAX_HEAD_BYTES).position(|window| window == b"\r\n") {
        Some(end) => Ok(Some(at + end)),
        None if rest.len() > MAX_HEAD_BYTES => Err("a line is too long"),
        None => Ok(None),
    }
}
