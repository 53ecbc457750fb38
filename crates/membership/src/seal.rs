//! Authentication of messages by a shared key, with protection against replay. Contents are not encrypted: counters and
//! addresses are readable on the way.
//!
//! A sealed message is one byte of version, four of the key's id, eight of the sender's instance, eight of its sequence
//! number, eight of its time in Unix microseconds, the content by `postcard`, and 16 bytes of SipHash-2-4 (Aumasson,
//! Bernstein, 2012; 128 bits) over all before it. Numbers are big-endian.

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
/// How far a message's time may be from the receiver's. Gateways' clocks differ by some tenths of a second; beyond this a
/// recorded message can't be replayed to a node that has started since.
const MAX_TIME_DIFFERENCE: Micros = 10 * SECOND;
/// Sequence numbers below the highest one that are still told apart, as packets may be reordered.
const REPLAY_WINDOW: u64 = 64;
/// Senders whose sequence numbers are kept. Only holders of a key get into the table.
const MAX_SENDERS: usize = 8_192;

/// A secret of 128 bits that all gateways of an installation share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 16]);

impl std::fmt::Debug for Key {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        // A secret must not get into a log.
        write!(to, "Key({:08x})", self.id())
    }
}

impl Key {
    /// Reads a key from 32 hexadecimal digits; nothing if the text is anything else.
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

    /// Names the key in a message, and reveals nothing of it.
    fn id(&self) -> u32 {
        let tag = self.tag(b"which key is this");
        u32::from_be_bytes([tag[0], tag[1], tag[2], tag[3]])
    }

    fn verify(&self, bytes: &[u8], tag: &[u8]) -> Result<(), OpenError> {
        // All bytes are compared whichever differs, so that the time taken does not reveal where.
        let difference = self.tag(bytes).iter().zip(tag).fold(0, |bits, (own, other)| bits | (own ^ other));
        if difference == 0 {
            Ok(())
        } else {
            Err(OpenError::InvalidTag)
        }
    }
}

/// Why a sealed message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// It has fewer bytes than a header and a tag.
    #[error("it is too short to be a packet")]
    TooShort,
    /// It has another version of the format.
    #[error("it has another version")]
    UnknownVersion,
    /// Its key is not in the ring.
    #[error("it is sealed with a key that is not in the ring")]
    UnknownKey,
    /// Its tag does not belong to its bytes and the key.
    #[error("its seal is wrong")]
    InvalidTag,
    /// Its time is further from the receiver's than clocks differ.
    #[error("its time is too far off")]
    TimeOutOfRange,
    /// Its sequence number was received before, or is too old to tell.
    #[error("it has come before")]
    Replayed,
    /// It is from a new sender, and the table of senders is full.
    #[error("there are too many senders")]
    TooManySenders,
    /// It is authentic, but its content is of another type.
    #[error("its content can't be read")]
    MalformedContent,
}

/// What a sealed message says before its content.
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

/// The sequence numbers that one sender has used: the highest, and which of those just below it.
#[derive(Clone, Copy, Debug)]
struct SenderHistory {
    highest: u64,
    /// Bit n stands for the number that is n below the highest.
    seen: u64,
    last_heard: Micros,
}

impl SenderHistory {
    /// Accepts each number once.
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

/// Seals the messages of one node and opens those that it receives.
#[derive(Debug)]
pub struct Sealer {
    /// The first one seals, each of them opens. A key is replaced in three steps, each on every gateway before the next: the
    /// new one is appended, it is put first, the old one is removed. So every gateway can open what another seals.
    keys: Vec<Key>,
    instance: Instance,
    last_sequence_number: u64,
    senders: BTreeMap<Instance, SenderHistory>,
}

impl Sealer {
    /// A sealer for the node of this instance, or nothing without a key.
    pub fn new(keys: Vec<Key>, instance: Instance) -> Option<Self> {
        if keys.is_empty() {
            return None;
        }
        Some(Sealer { keys, instance, last_sequence_number: 0, senders: BTreeMap::new() })
    }

    /// Replaces the ring of keys, unless the new one is empty. Sequence numbers of senders are retained.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    /// Seals a message with the first key. The time is the sender's, in Unix microseconds.
    pub fn seal(&mut self, unix_time: Micros, content: &impl Serialize) -> Vec<u8> {
        self.last_sequence_number += 1;
        let key = &self.keys[0];
        let header = Header {
            key_id: key.id(),
            sender: self.instance,
            sequence_number: self.last_sequence_number,
            unix_time,
        };
        // The content is plain data without maps or borrowed parts, whose encoding can't fail.
        let mut bytes = postcard::to_extend(content, header.encode()).unwrap_or_default();
        let tag = key.tag(&bytes);
        bytes.extend(tag);
        bytes
    }

    /// Opens a sealed message and returns its sender and content. The time is the receiver's, in Unix microseconds.
    ///
    /// # Errors
    /// See [`OpenError`]. Only a message that passes authentication changes what is known of its sender.
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

    /// The history of a sender whose message arrives now.
    fn history_of(&mut self, sender: Instance, now: Micros) -> Result<&mut SenderHistory, OpenError> {
        if !self.senders.contains_key(&sender) {
            self.make_room(now)?;
        }
        let unheard = SenderHistory { highest: 0, seen: 0, last_heard: now };
        let history = self.senders.entry(sender).or_insert(unheard);
        history.last_heard = now;
        Ok(history)
    }

    /// Makes room for a sender in the table. One that was silent for long can be removed: its old messages are rejected by
    /// their time.
    fn make_room(&mut self, now: Micros) -> Result<(), OpenError> {
        if self.senders.len() >= MAX_SENDERS {
            self.senders.retain(|_, history| history.last_heard + 2 * MAX_TIME_DIFFERENCE >= now);
        }
        if self.senders.len() >= MAX_SENDERS {
            return Err(OpenError::TooManySenders);
        }
        Ok(())
    }
}
