//! RESP2: parses commands and replies, and writes commands.

use super::Scanned;

/// The longest bulk string that is buffered, in bytes.
pub const MAX_BULK_BYTES: usize = 64 * 1024;
/// The longest value, in bytes. A value longer than [`MAX_BULK_BYTES`] is forwarded while it is being received.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of items in an array: no message has more than half as many.
const MAX_ITEMS: usize = 16;
/// The maximum depth of nested arrays: no message has more than half of it.
const MAX_DEPTH: usize = 4;
/// The longest line, in bytes: an error with a load report has about two hundred.
const MAX_LINE_BYTES: usize = 1024;
/// The longest report, in bytes: units and load report, which follow the value of a reply.
pub const MAX_REPORT_BYTES: usize = 2 * MAX_LINE_BYTES;
/// The longest message, in bytes: one value, and lines for the other items.
pub const MAX_MESSAGE_BYTES: usize = MAX_BULK_BYTES + MAX_ITEMS * MAX_LINE_BYTES;
/// What ends a line and a bulk string.
pub const LINE_END: &[u8] = b"\r\n";

/// A parsed reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<'a> {
    Simple(&'a [u8]),
    Error(&'a [u8]),
    Number(i64),
    Bulk(Option<&'a [u8]>),
    Array(Option<Vec<Reply<'a>>>),
}

/// Parses a command into its arguments, the first of which is its name.
pub fn command(bytes: &[u8]) -> Scanned<Vec<&[u8]>> {
    let Some((&first, _)) = bytes.split_first() else { return Ok(None) };
    if first != b'*' {
        return Err("a command is an array of bulk strings");
    }
    let Some((count, mut offset)) = length(bytes, 0)? else { return Ok(None) };
    let count = match count {
        Some(count) if (1..=MAX_ITEMS).contains(&count) => count,
        _ => return Err("no command has so many words"),
    };
    let mut arguments = Vec::with_capacity(count);
    for _ in 0..count {
        match bytes.get(offset) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err("a word of a command is a bulk string"),
        }
        let Some((argument, end)) = bulk(bytes, offset)? else { return Ok(None) };
        arguments.push(argument.ok_or("a word of a command is no null")?);
        if end > MAX_MESSAGE_BYTES {
            return Err("the command is too long");
        }
        offset = end;
    }
    Ok(Some((arguments, offset)))
}

/// Parses a reply.
pub fn reply(bytes: &[u8]) -> Scanned<Reply<'_>> {
    item(bytes, 0, 0)
}

/// The value at the front of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadingValue<'a> {
    /// The first item of the array.
    pub value: &'a [u8],
    /// The number of items that the array announces behind the value.
    pub following_items: usize,
}

/// Parses the head of an array and its first item, which must be a bulk string. The length ends behind that item.
pub fn leading_value(bytes: &[u8]) -> Scanned<LeadingValue<'_>> {
    if !matches!(bytes, [b'*', ..]) {
        return Err("no array");
    }
    let Some((items, offset)) = length(bytes, 0)? else { return Ok(None) };
    let Some(items @ 1..=MAX_ITEMS) = items else { return Err("no reply has so many items") };
    match bytes.get(offset) {
        // Only the head of the array has been received.
        None => return Ok(None),
        Some(b'$') => {}
        Some(_) => return Err("no bulk string at the front of an array"),
    }
    let Some((value, end)) = bulk(bytes, offset)? else { return Ok(None) };
    let value = value.ok_or("a null at the front of an array")?;
    Ok(Some((LeadingValue { value, following_items: items - 1 }, end)))
}

/// The head of an array whose first item is a bulk string too long to be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongValueHead {
    /// The number of items in the array.
    pub items: usize,
    /// The length of the first item, in bytes.
    pub length: usize,
}

/// Parses the head of a reply whose value is too long to be buffered. `None` while the head is incomplete, and for every
/// other reply.
pub fn long_value_head(bytes: &[u8]) -> Scanned<LongValueHead> {
    if !matches!(bytes, [b'*', ..]) {
        return Ok(None);
    }
    let Some((Some(items @ 1..=MAX_ITEMS), offset)) = length(bytes, 0)? else { return Ok(None) };
    if !matches!(bytes.get(offset), Some(b'$')) {
        return Ok(None);
    }
    match length(bytes, offset)? {
        Some((Some(length @ MAX_BULK_BYTES..=MAX_VALUE_BYTES), start)) if length > MAX_BULK_BYTES => {
            Ok(Some((LongValueHead { items, length }, start)))
        }
        _ => Ok(None),
    }
}

/// Parses `count` consecutive bulk strings or nulls.
pub fn bulks(bytes: &[u8], count: usize) -> Scanned<Vec<Option<&[u8]>>> {
    let (mut bulks, mut offset) = (Vec::new(), 0);
    for _ in 0..count {
        match bytes.get(offset) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err("an item is no bulk string"),
        }
        let Some((parsed, end)) = bulk(bytes, offset)? else { return Ok(None) };
        bulks.push(parsed);
        offset = end;
    }
    Ok(Some((bulks, offset)))
}

/// Parses the item at an offset; `depth` is the number of arrays around it.
fn item(bytes: &[u8], offset: usize, depth: usize) -> Scanned<Reply<'_>> {
    let Some(kind) = bytes.get(offset) else { return Ok(None) };
    Ok(match kind {
        b'+' => line(bytes, offset)?.map(|(text, end)| (Reply::Simple(text), end)),
        b'-' => line(bytes, offset)?.map(|(text, end)| (Reply::Error(text), end)),
        b':' => match line(bytes, offset)? {
            Some((text, end)) => Some((Reply::Number(number(text)?), end)),
            None => None,
        },
        b'$' => bulk(bytes, offset)?.map(|(value, end)| (Reply::Bulk(value), end)),
        b'*' => {
            let Some((count, mut offset)) = length(bytes, offset)? else { return Ok(None) };
            let Some(count) = count else { return Ok(Some((Reply::Array(None), offset))) };
            if count > MAX_ITEMS || depth == MAX_DEPTH {
                return Err("an array is too large");
            }
            let mut items = Vec::with_capacity(count);
            for _ in 0..count {
                let Some((parsed, end)) = item(bytes, offset, depth + 1)? else { return Ok(None) };
                items.push(parsed);
                offset = end;
            }
            Some((Reply::Array(Some(items)), offset))
        }
        _ => return Err("no reply begins like this"),
    })
}

/// Parses the bulk string at an offset, `None` for the null; gives the offset behind it.
fn bulk(bytes: &[u8], offset: usize) -> Scanned<Option<&[u8]>> {
    let Some((length, start)) = length(bytes, offset)? else { return Ok(None) };
    let Some(length) = length else { return Ok(Some((None, start))) };
    if length > MAX_BULK_BYTES {
        return Err("a bulk string is too long");
    }
    let end = start + length;
    // Each byte of the line end is checked as soon as it is received.
    match (bytes.get(end), bytes.get(end + 1)) {
        (Some(b'\r'), Some(b'\n')) => Ok(Some((Some(&bytes[start..end]), end + 2))),
        (None, _) | (Some(b'\r'), None) => Ok(None),
        _ => Err("a bulk string does not end where it should"),
    }
}

/// Parses the length in the line at an offset, `None` for the null; gives the offset behind the line.
fn length(bytes: &[u8], offset: usize) -> Scanned<Option<usize>> {
    let Some((text, end)) = line(bytes, offset)? else { return Ok(None) };
    match number(text)? {
        -1 => Ok(Some((None, end))),
        length => Ok(Some((Some(usize::try_from(length).map_err(|_| "a length is negative")?), end))),
    }
}

/// The rest of a line after its first byte, and the offset of the next line.
fn line(bytes: &[u8], offset: usize) -> Scanned<&[u8]> {
    let rest = &bytes[offset + 1..];
    match rest.iter().take(MAX_LINE_BYTES).position(|byte| matches!(byte, b'\r' | b'\n')) {
        Some(end) if rest[end] == b'\n' => Err("a line ends without a carriage return"),
        Some(end) => match rest.get(end + 1) {
            None => Ok(None),
            Some(b'\n') => Ok(Some((&rest[..end], offset + end + 3))),
            Some(_) => Err("a carriage return stands within a line"),
        },
        None if rest.len() >= MAX_LINE_BYTES => Err("a line is too long"),
        None => Ok(None),
    }
}

/// Parses a decimal number with an optional minus sign.
fn number(text: &[u8]) -> Result<i64, &'static str> {
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err("a number has something else than digits");
    }
    let text = std::str::from_utf8(text).map_err(|_| "a number is no text")?;
    text.parse().map_err(|_| "a number is too large")
}

/// Writes a command.
pub fn write_command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut bytes =
        Vec::with_capacity(arguments.iter().map(|argument| argument.len() + 16).sum::<usize>() + 8);
    bytes.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    arguments.iter().for_each(|argument| write_bulk(&mut bytes, argument));
    bytes
}

/// Appends a bulk string.
pub fn write_bulk(bytes: &mut Vec<u8>, value: &[u8]) {
    bytes.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
