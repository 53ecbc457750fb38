//! Base64 in the protocol's form: the standard alphabet with padding, and `-` for an empty byte string.

use crate::error::ProtocolError;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
const EMPTY: &str = "-";

/// Encodes bytes.
pub fn encode(data: &[u8]) -> String {
    if data.is_empty() {
        return EMPTY.into();
    }
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let padding = 3 - chunk.len();
        let bits = chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * padding);
        for position in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Decodes a text. Ignores trailing bits that do not fill a byte.
///
/// # Errors
///
/// [`ProtocolError::NotBase64`] if the text contains another character.
pub fn decode(text: &str) -> Result<Vec<u8>, ProtocolError> {
    let mut data = Vec::new();
    if text == EMPTY {
        return Ok(data);
    }
    let mut bits = 0u32;
    let mut bit_count = 0;
    for byte in text.trim_end_matches('=').bytes() {
        let Some(digit) = digit_value(byte) else {
            return Err(ProtocolError::NotBase64 { found: text.into() });
        };
        bits = bits << 6 | u32::from(digit);
        bit_count += 6;
        if bit_count >= 8 {
            bit_count -= 8;
            data.push((bits >> bit_count) as u8);
        }
    }
    Ok(data)
}

fn digit_value(byte: u8) -> Option<u8> {
    match byte {
        b'A'..=b'Z' => Some(byte - b'A'),
        b'a'..=b'z' => Some(byte - b'a' + 26),
        b'0'..=b'9' => Some(byte - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    }
}
