//! HTTP/1.1, as far as a client of the list needs it: a request without a body, and any response.

use super::Scanned;

/// Longest head of a response, and longest body: a list of ten thousand servers.
const MOST_HEAD: usize = 16 * 1024;
const MOST_BODY: usize = 4 * 1024 * 1024;
/// No response is longer, with the sizes of its chunks.
pub const MOST_MESSAGE: usize = 2 * MOST_BODY;

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

enum Length {
    Known(usize),
    Chunks,
    /// All that comes until the connection ends.
    ToEnd,
}

/// The head of a response, and where its body begins.
struct Head {
    status: u16,
    keep: bool,
    length: Length,
    start: usize,
}

/// Reads one response as it comes. What has been understood is not looked at again with the next bytes: a long list may come
/// in thousands of pieces.
#[derive(Default)]
pub struct Reader {
    /// Where the response begins, behind interim ones.
    from: usize,
    head: Option<Head>,
    /// Where the next chunk begins, and what those before it held.
    chunk: usize,
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
            let Some(head) = head(bytes, self.from)? else { return Ok(None) };
            if head.status < 200 {
                // Only an interim word: the response comes after it.
                self.from = head.start;
            } else {
                self.chunk = head.start;
                self.head = Some(head);
            }
        }
        let Some(Head { status, keep, length, start }) = &self.head else { return Ok(None) };
        let (status, keep, start) = (*status, *keep, *start);
        let keep = keep && !matches!(length, Length::ToEnd);
        let (body, end) = match length {
            _ if matches!(status, 204 | 304) => (Vec::new(), start),
            Length::Known(length) => match bytes.get(start..start + length) {
                Some(body) => (body.to_vec(), start + length),
                None => return Ok(None),
            },
            Length::Chunks => match self.chunks(bytes)? {
                Some(end) => (std::mem::take(&mut self.body), end),
                None => return Ok(None),
            },
            Length::ToEnd if ended => (bytes[start..].to_vec(), bytes.len()),
            Length::ToEnd => return Ok(None),
        };
        Ok(Some((Response { status, body, keep }, end)))
    }

    /// Takes the chunks that have come whole; the end of the response, once it is there.
    fn chunks(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        loop {
            let Some(end) = line(bytes, self.chunk)? else { return Ok(None) };
            let size = bytes[self.chunk..end].split(|byte| *byte == b';').next().unwrap_or_default();
            let size = std::str::from_utf8(size).unwrap_or_default().trim();
            if size.is_empty() || !size.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                return Err("a chunk without a size");
            }
            let size = usize::from_str_radix(size, 16).ok();
            let size = size.filter(|size| *size <= MOST_BODY - self.body.len());
            let size = size.ok_or("the body of a response is too long")?;
            let at = end + 2;
            if size == 0 {
                return trailers(bytes, at);
            }
            match bytes.get(at + size..at + size + 2) {
                None => return Ok(None),
                Some(b"\r\n") => self.body.extend_from_slice(&bytes[at..at + size]),
                Some(_) => return Err("a chunk does not end where it should"),
            }
            self.chunk = at + size + 2;
        }
    }
}

/// Where the trailers that begin here end, with an empty line.
fn trailers(bytes: &[u8], mut at: usize) -> Result<Option<usize>, &'static str> {
    loop {
        let Some(end) = line(bytes, at)? else { return Ok(None) };
        let empty = end == at;
        at = end + 2;
        if empty {
            return Ok(Some(at));
        }
    }
}

/// Reads the head of the response that begins at `from`.
fn head(bytes: &[u8], from: usize) -> Result<Option<Head>, &'static str> {
    let bytes = bytes.get(from..).unwrap_or_default();
    let Some(end) = bytes.windows(4).take(MOST_HEAD).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() >= MOST_HEAD { Err("the head of a response is too long") } else { Ok(None) };
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
    let (mut length, mut keep) = (Length::ToEnd, minor == 1);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or("a header without a colon")?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") && !matches!(length, Length::Chunks) {
            if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err("a length that is no number");
            }
            let known = value.parse().ok().filter(|length| *length <= MOST_BODY);
            let known: usize = known.ok_or("the body of a response is too long")?;
            if matches!(length, Length::Known(other) if other != known) {
                return Err("two lengths that differ");
            }
            length = Length::Known(known);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err("an encoding that is not known here");
            }
            length = Length::Chunks;
        } else if name.eq_ignore_ascii_case("connection") {
            let mut options = value.split(',').map(str::trim);
            keep = if minor == 1 {
                !options.any(|option| option.eq_ignore_ascii_case("close"))
            } else {
                options.any(|option| option.eq_ignore_ascii_case("keep-alive"))
            };
        }
    }
    Ok(Some(Head { status, keep, length, start: from + end + 4 }))
}

/// Where the line ends that begins here.
fn line(bytes: &[u8], at: usize) -> Result<Option<usize>, &'static str> {
    let rest = bytes.get(at..).unwrap_or_default();
    match rest.windows(2).take(MOST_HEAD).position(|two| two == b"\r\n") {
        Some(end) => Ok(Some(at + end)),
        None if rest.len() > MOST_HEAD => Err("a line is too long"),
        None => Ok(None),
    }
}
