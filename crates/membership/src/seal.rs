//! Authentication of messages by a shared key, with replay protection. Contents are not encrypted: an observer on the network
//! can read counters and addresses.
//!
//! A sealed message consists of the version (one byte), the key id (four bytes), the sender's instance (eight bytes), the
//! sender's sequence number (eight bytes), the sender's time in Unix microseconds (eight bytes), the content as encoded by
//! `postcard`, and a tag (16 bytes). The tag is the 128-bit SipHash-2-4 (Aumasson, Bernstein, 2012) of all preceding bytes.
//! Numbers are big-endian.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fernscale_shared_counter::pn_counter::Instance;
use fernscale_shared_counter::{Micros, SECOND};
use serde::de::DeserializeOwned;
use serde::Serialize;
use siphasher::sip128::{Hasher128, SipHasher24};

const VERSION: u8 = 1;
const HEADER_BYTES: usize = 1 + 4 + 8 + 8 + 8;
const TAG_BYTES: usize = 16;
/// Maximum difference between a message's time and the receiver's. Gateways' clocks differ by some tenths of a second. The
/// limit rejects old recorded messages that are replayed to a node that started after they were sent.
const MAX_TIME_DIFFERENCE: Micros = 10 * SECOND;
/// Number of sequence numbers up to the highest that are tracked individually, since packets may be reordered.
const REPLAY_WINDOW: u64 = 64;
/// Maximum number of senders whose sequence numbers are tracked. Only senders with a valid key are added to the table.
const MAX_SENDERS: usize = 8_192;

/// A 128-bit secret that all gateways of an installation share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 16]);

impl std::fmt::Debug for Key {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        // The secret must not appear in logs.
        write!(to, "Key({:08x})", self.id())
    }
}

impl Key {
    /// Parses a key from 32 hexadecimal digits. Returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Key> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Key(number.to_be_bytes()))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }

    /// The id of the key in a message. It does not reveal the key.
    fn id(&self) -> u32 {
        let tag = self.tag(b"which key is this");
        u32::from_be_bytes([tag[0], tag[1], tag[2], tag[3]])
    }

    fn verify(&self, bytes: &[u8], tag: &[u8]) -> Result<(), OpenError> {
        // The comparison covers all bytes, so that its duration does not reveal the position of the first difference.
        let difference = self.tag(bytes).iter().zip(tag).fold(0, |bits, (own, other)| bits | (own ^ other));
        if difference == 0 {
            Ok(())
        } else {
            Err(OpenError::InvalidTag)
        }
    }
}

/// The reason why a sealed message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The message has fewer bytes than a header and a tag.
    #[error("the message is too short")]
    TooShort,
    /// The message has an unknown format version.
    #[error("the message has an unknown format version")]
    UnknownVersion,
    /// The message is sealed with a key that is not configured.
    #[error("the message is sealed with a key that is not configured")]
    UnknownKey,
    /// The tag does not match the message and the key.
    #[error("the tag of the message is not valid")]
    InvalidTag,
    /// The message's time differs too much from the receiver's.
    #[error("the time of the message differs too much from the local time")]
    TimeOutOfRange,
    /// The sequence number was received before, or is below the replay window.
    #[error("the message was received before")]
    Replayed,
    /// The sender is new, and the table of senders is full.
    #[error("the table of senders is full")]
    TooManySenders,
    /// The message is authentic, but its content cannot be decoded.
    #[error("the content of the message cannot be decoded")]
    MalformedContent,
}

/// The header of a sealed message.
struct Header {
    key_id: u32,
    sender: Instance,
    sequence_number: u64,
    unix_time: Micros,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        bytes.push(VERSION);
        bytes.extend(self.key_id.to_be_bytes());
        bytes.extend(self.sender.0.to_be_bytes());
        bytes.extend(self.sequence_number.to_be_bytes());
        bytes.extend(self.unix_time.to_be_bytes());
        bytes
    }

    fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<Header, OpenError> {
        if bytes[0] != VERSION {
            return Err(OpenError::UnknownVersion);
        }
        let number = |field: &[u8]| field.iter().fold(0u64, |number, byte| number << 8 | u64::from(*byte));
        Ok(Header {
            key_id: u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]),
            sender: Instance(number(&bytes[5..13])),
            sequence_number: number(&bytes[13..21]),
            unix_time: number(&bytes[21..29]),
        })
    }
}

/// The sequence numbers received from one sender: the highest, and a bitmap of the numbers just below.
#[derive(Clone, Copy, Debug)]
struct SenderHistory {
    highest: u64,
    /// Bit n is set if `highest - n` was received.
    seen: u64,
    last_heard: Micros,
}

impl SenderHistory {
    /// Accepts each sequence number once.
    fn accept(&mut self, number: u64) -> Result<(), OpenError> {
        if number > self.highest {
            let shift = number - self.highest;
            let earlier = if shift >= REPLAY_WINDOW { 0 } else { self.seen << shift };
            self.highest = number;
            self.seen = earlier | 1;
            return Ok(());
        }
        let distance = self.highest - number;
        if distance >= REPLAY_WINDOW || self.seen >> distance & 1 == 1 {
            return Err(OpenError::Replayed);
        }
        self.seen |= 1 << distance;
        Ok(())
    }
}

/// Seals the messages of one node, and opens the messages that the node receives.
#[derive(Debug)]
pub struct Sealer {
    /// The first key seals messages, and every key opens them. A key is replaced in three steps: the new key is appended, it is
    /// moved to the front, and the old key is removed. Each step is completed on all gateways before the next step begins,
    /// so that every gateway can open the messages of every other.
    keys: Vec<Key>,
    instance: Instance,
    last_sequence_number: u64,
    senders: BTreeMap<Instance, SenderHistory>,
}

impl Sealer {
    /// Creates a sealer for the node with this instance, or returns `None` if there is no key.
    pub fn new(keys: Vec<Key>, instance: Instance) -> Option<Self> {
        if keys.is_empty() {
            return None;
        }
        Some(Sealer { keys, instance, last_sequence_number: 0, senders: BTreeMap::new() })
    }

    /// Replaces the keys, unless the new list is empty. Sequence numbers of senders are retained.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    /// Seals a message with the first key. `unix_time` is the sender's time in Unix microseconds.
    pub fn seal(&mut self, unix_time: Micros, content: &impl Serialize) -> Vec<u8> {
        self.last_sequence_number += 1;
        let key = &self.keys[0];
        let header = Header {
            key_id: key.id(),
            sender: self.instance,
            sequence_number: self.last_sequence_number,
            unix_time,
        };
        // Encoding cannot fail, since the content is plain data without maps or borrowed parts.
        let mut bytes = postcard::to_extend(content, header.encode()).unwrap_or_default();
        let tag = key.tag(&bytes);
        bytes.extend(tag);
        bytes
    }

    /// Opens a sealed message and returns its sender and content. `unix_time` is the receiver's time in Unix microseconds.
    ///
    /// # Errors
    /// See [`OpenError`]. Only an authentic message changes the history of its sender.
    pub fn open<T: DeserializeOwned>(
        &mut self,
        unix_time: Micros,
        bytes: &[u8],
    ) -> Result<(Instance, T), OpenError> {
        if bytes.len() < HEADER_BYTES + TAG_BYTES {
            return Err(OpenError::TooShort);
        }
        let (sealed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let (header, content) = sealed.split_first_chunk::<HEADER_BYTES>().ok_or(OpenError::TooShort)?;
        let header = Header::decode(header)?;
        let key = self.keys.iter().find(|key| key.id() == header.key_id).ok_or(OpenError::UnknownKey)?;
        key.verify(sealed, tag)?;
        if header.unix_time.abs_diff(unix_time) > MAX_TIME_DIFFERENCE {
            return Err(OpenError::TimeOutOfRange);
        }
        self.history_of(header.sender, unix_time)?.accept(header.sequence_number)?;
        let content = postcard::from_bytes(content).map_err(|_| OpenError::MalformedContent)?;
        Ok((header.sender, content))
    }

    /// Returns the history of a sender from which a message arrives now.
    fn history_of(&mut self, sender: Instance, now: Micros) -> Result<&mut SenderHistory, OpenError> {
        if !self.senders.contains_key(&sender) {
            self.remove_silent_senders(now)?;
        }
        let new_history = SenderHistory { highest: 0, seen: 0, last_heard: now };
        let history = self.senders.entry(sender).or_insert(new_history);
        history.last_heard = now;
        Ok(history)
    }

    /// Ensures that the table has room for another sender. Senders that have been silent for a long time can be removed, since
    /// their old messages are rejected by their time.
    fn remove_silent_senders(&mut self, now: Micros) -> Result<(), OpenError> {
        if self.senders.len() >= MAX_SENDERS {
            self.senders.retain(|_, history| history.last_heard + 2 * MAX_TIME_DIFFERENCE >= now);
        }
        if self.senders.len() >= MAX_SENDERS {
            return Err(OpenError::TooManySenders);
        }
        Ok(())
    }
}
