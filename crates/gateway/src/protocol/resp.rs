//! RESP2: commands as clients write them, replies as servers and the counter do.

use super::Scanned;

/// Longest bulk string that is kept whole.
pub const MAX_BULK_BYTES: usize = 64 * 1024;
/// Longest value, which is passed on as it comes.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Most items in an array, and arrays in arrays: no message has more than half as many.
const MAX_ITEMS: usize = 16;
const MAX_DEPTH: usize = 4;
/// Longest line: an error with a load report takes some two hundred bytes.
const MAX_LINE_BYTES: usize = 1024;
/// No message is longer: one value, and lines for the rest.
pub const MAX_MESSAGE_BYTES: usize = MAX_BULK_BYTES + MAX_ITEMS * MAX_LINE_BYTES;

#[derive(Clone, Debug, PartialEq)]
pub enum Reply<'a> {
    Simple(&'a [u8]),
    Error(&'a [u8]),
    Number(i64),
    Bulk(Option<&'a [u8]>),
    Array(Option<Vec<Reply<'a>>>),
}

/// The words of one command.
pub fn command(bytes: &[u8]) -> Scanned<Vec<&[u8]>> {
    let Some((&first, _)) = bytes.split_first() else { return Ok(None) };
    if first != b'*' {
        return Err("a command is an array of bulk strings");
    }
    let Some((count, mut at)) = length(bytes, 0)? else { return Ok(None) };
    let count = match count {
        Some(count) if (1..=MAX_ITEMS).contains(&count) => count,
        _ => return Err("no command has so many words"),
    };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match bytes.get(at) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err("a word of a command is a bulk string"),
        }
        let Some((word, end)) = bulk(bytes, at)? else { return Ok(None) };
        words.push(word.ok_or("a word of a command is no null")?);
        if end > MAX_MESSAGE_BYTES {
            return Err("the command is too long");
        }
        at = end;
    }
    Ok(Some((words, at)))
}

pub fn reply(bytes: &[u8]) -> Scanned<Reply<'_>> {
    item(bytes, 0, 0)
}

/// The first item of an array, if that is a bulk string, as soon as it has come whole.
pub fn first(bytes: &[u8]) -> Scanned<&[u8]> {
    if !matches!(bytes, [b'*', ..]) {
        return Err("no array");
    }
    let Some((Some(1..), at)) = length(bytes, 0)? else { return Ok(None) };
    match bytes.get(at) {
        // Its head is all that has come yet.
        None => return Ok(None),
        Some(b'$') => {}
        Some(_) => return Err("no bulk string at the front of an array"),
    }
    Ok(bulk(bytes, at)?.and_then(|(value, end)| Some((value?, end))))
}

/// The head of an array whose first item is a bulk string too long to be kept whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongValueHead {
    pub items: usize,
    /// Bytes of the first item.
    pub length: usize,
}

/// Such a head as soon as it has come; where the first item is none, `None` for good.
pub fn long_value_head(bytes: &[u8]) -> Scanned<LongValueHead> {
    if !matches!(bytes, [b'*', ..]) {
        return Ok(None);
    }
    let Some((Some(items @ 1..=MAX_ITEMS), at)) = length(bytes, 0)? else { return Ok(None) };
    if !matches!(bytes.get(at), Some(b'$')) {
        return Ok(None);
    }
    match length(bytes, at)? {
        Some((Some(length @ MAX_BULK_BYTES..=MAX_VALUE_BYTES), start)) if length > MAX_BULK_BYTES => {
            Ok(Some((LongValueHead { items, length }, start)))
        }
        _ => Ok(None),
    }
}

/// So many items that stand one behind another.
pub fn items(bytes: &[u8], count: usize) -> Scanned<Vec<Reply<'_>>> {
    let (mut items, mut at) = (Vec::with_capacity(count.min(MAX_ITEMS)), 0);
    for _ in 0..count {
        let Some((next, end)) = item(bytes, at, 1)? else { return Ok(None) };
        items.push(next);
        at = end;
    }
    Ok(Some((items, at)))
}

fn item(bytes: &[u8], at: usize, depth: usize) -> Scanned<Reply<'_>> {
    let Some(kind) = bytes.get(at) else { return Ok(None) };
    Ok(match kind {
        b'+' => line(bytes, at)?.map(|(text, end)| (Reply::Simple(text), end)),
        b'-' => line(bytes, at)?.map(|(text, end)| (Reply::Error(text), end)),
        b':' => match line(bytes, at)? {
            Some((text, end)) => Some((Reply::Number(number(text)?), end)),
            None => None,
        },
        b'$' => bulk(bytes, at)?.map(|(value, end)| (Reply::Bulk(value), end)),
        b'*' => {
            let Some((count, mut at)) = length(bytes, at)? else { return Ok(None) };
            let Some(count) = count else { return Ok(Some((Reply::Array(None), at))) };
            if count > MAX_ITEMS || depth == MAX_DEPTH {
                return Err("an array is too large");
            }
            let mut items = Vec::with_capacity(count);
            for _ in 0..count {
                let Some((next, end)) = item(bytes, at, depth + 1)? else { return Ok(None) };
                items.push(next);
                at = end;
            }
            Some((Reply::Array(Some(items)), at))
        }
        _ => return Err("no reply begins like this"),
    })
}

fn bulk(bytes: &[u8], at: usize) -> Scanned<Option<&[u8]>> {
    let Some((length, start)) = length(bytes, at)? else { return Ok(None) };
    let Some(length) = length else { return Ok(Some((None, start))) };
    if length > MAX_BULK_BYTES {
        return Err("a bulk string is too long");
    }
    let end = start + length;
    // What stands in the place of the end is looked at as soon as it is there.
    match (bytes.get(end), bytes.get(end + 1)) {
        (Some(b'\r'), Some(b'\n')) => Ok(Some((Some(&bytes[start..end]), end + 2))),
        (None, _) | (Some(b'\r'), None) => Ok(None),
        _ => Err("a bulk string does not end where it should"),
    }
}

/// A length, `None` for the null, and where the line ends.
fn length(bytes: &[u8], at: usize) -> Scanned<Option<usize>> {
    let Some((text, end)) = line(bytes, at)? else { return Ok(None) };
    match number(text)? {
        -1 => Ok(Some((None, end))),
        length => Ok(Some((Some(usize::try_from(length).map_err(|_| "a length is negative")?), end))),
    }
}

/// The rest of a line after its first byte, and where the next begins.
fn line(bytes: &[u8], at: usize) -> Scanned<&[u8]> {
    let rest = &bytes[at + 1..];
    match rest.iter().take(MAX_LINE_BYTES).position(|byte| matches!(byte, b'\r' | b'\n')) {
        Some(end) if rest[end] == b'\n' => Err("a line ends without a carriage return"),
        Some(end) => match rest.get(end + 1) {
            None => Ok(None),
            Some(b'\n') => Ok(Some((&rest[..end], at + end + 3))),
            Some(_) => Err("a carriage return stands within a line"),
        },
        None if rest.len() >= MAX_LINE_BYTES => Err("a line is too long"),
        None => Ok(None),
    }
}

fn number(text: &[u8]) -> Result<i64, &'static str> {
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err("a number has something else than digits");
    }
    let text = std::str::from_utf8(text).map_err(|_| "a number is no text")?;
    text.parse().map_err(|_| "a number is too large")
}

/// A command, as a client writes it.
pub fn write_command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(words.iter().map(|word| word.len() + 16).sum::<usize>() + 8);
    bytes.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    words.iter().for_each(|word| write_bulk(&mut bytes, word));
    bytes
}

pub fn write_bulk(bytes: &mut Vec<u8>, value: &[u8]) {
    bytes.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
