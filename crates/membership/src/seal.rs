//! Makes packets that only holders of a key can make, and believes no other; and believes each once.
//!
//! A sealed packet: one byte of version, four that tell the key, eight of the sender's instance, eight of its number, eight
//! of its time in Unix microseconds, the content by `postcard`, and 16 bytes of SipHash-2-4 (Aumasson, Bernstein, 2012;
//! 128 bits) over all before it. Contents are not hidden: counts and addresses are readable on the way.

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
/// A packet is believed if its time is no further off: gateways' clocks differ by some tenths of a second, and what was
/// recorded earlier is not to be played again to a node that has started since.
const MAX_TIME_DIFFERENCE: Micros = 10 * SECOND;
/// Numbers behind the highest that are still told apart: packets overtake each other.
const REPLAY_WINDOW: u64 = 64;
/// Senders whose numbers are kept: as many instances as a large fleet starts in a while. Only holders of a key get in.
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
    /// From 32 hex digits.
    pub fn parse(text: &str) -> Option<Key> {
        let hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| hex)?;
        Some(Key(number.to_be_bytes()))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }

    /// By which a packet says whose seal it has; it tells nothing of the key.
    fn id(&self) -> u32 {
        let tag = self.tag(b"which key is this");
        u32::from_be_bytes([tag[0], tag[1], tag[2], tag[3]])
    }
}

/// Why a packet is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    #[error("it is too short to be a packet")]
    TooShort,
    #[error("it has another version")]
    UnknownVersion,
    #[error("it is sealed with a key that is not in the ring")]
    UnknownKey,
    #[error("its seal is wrong")]
    InvalidTag,
    #[error("its time is too far off")]
    TimeOutOfRange,
    #[error("it has come before")]
    Replayed,
    #[error("there are too many senders")]
    TooManySenders,
    #[error("its content can't be read")]
    MalformedContent,
}

/// What has come of one sender: the highest number, and which of those just below it.
#[derive(Clone, Copy, Debug)]
struct SenderHistory {
    highest: u64,
    seen: u64,
    last_heard: Micros,
}

impl SenderHistory {
    /// Whether a number is new; from now on it is not.
    fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            self.seen = if shift >= REPLAY_WINDOW { 0 } else { self.seen << shift };
            (self.highest, self.seen) = (number, self.seen | 1);
            return true;
        }
        let distance = self.highest - number;
        if distance >= REPLAY_WINDOW || self.seen >> distance & 1 == 1 {
            return false;
        }
        self.seen |= 1 << distance;
        true
    }
}

/// Seals what one node says and opens what it hears.
#[derive(Debug)]
pub struct Sealer {
    /// The first seals; all of them open. A new key is added behind on every gateway, then put first on every one, then
    /// the old one is taken away: at no time does one seal what another can't open.
    keys: Vec<Key>,
    instance: Instance,
    last_number: u64,
    senders: BTreeMap<Instance, SenderHistory>,
}

impl Sealer {
    /// Without a key there is nothing to believe by.
    pub fn new(keys: Vec<Key>, own: Instance) -> Option<Self> {
        (!keys.is_empty()).then(|| Sealer { keys, instance: own, last_number: 0, senders: BTreeMap::new() })
    }

    /// Another ring from now on; what was heard stays heard.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.keys = keys;
        }
    }

    pub fn seal(&mut self, unix_time: Micros, content: &impl Serialize) -> Vec<u8> {
        self.last_number += 1;
        let key = &self.keys[0];
        let mut bytes = Vec::with_capacity(256);
        bytes.push(VERSION);
        bytes.extend(key.id().to_be_bytes());
        for number in [self.instance.0, self.last_number, unix_time] {
            bytes.extend(number.to_be_bytes());
        }
        // Plain data without maps or borrowed parts: there is nothing that could fail.
        let mut bytes = postcard::to_extend(content, bytes).unwrap_or_default();
        let tag = key.tag(&bytes);
        bytes.extend(tag);
        bytes
    }

    pub fn open<T: DeserializeOwned>(
        &mut self,
        unix_time: Micros,
        bytes: &[u8],
    ) -> Result<(Instance, T), OpenError> {
        if bytes.len() < HEADER_BYTES + TAG_BYTES {
            return Err(OpenError::TooShort);
        }
        let (sealed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        if sealed[0] != VERSION {
            return Err(OpenError::UnknownVersion);
        }
        let id = u32::from_be_bytes([sealed[1], sealed[2], sealed[3], sealed[4]]);
        let key = self.keys.iter().find(|key| key.id() == id).ok_or(OpenError::UnknownKey)?;
        // All bytes are looked at whichever differs, so that time tells nothing of where.
        let wrong = key.tag(sealed).iter().zip(tag).fold(0, |wrong, (own, its)| wrong | (own ^ its));
        if wrong != 0 {
            return Err(OpenError::InvalidTag);
        }
        let number =
            |at: usize| sealed[at..at + 8].iter().fold(0u64, |number, byte| number << 8 | u64::from(*byte));
        let (sender, number, time) = (Instance(number(5)), number(13), number(21));
        if time.abs_diff(unix_time) > MAX_TIME_DIFFERENCE {
            return Err(OpenError::TimeOutOfRange);
        }
        if !self.senders.contains_key(&sender) {
            self.remove_expired_senders(unix_time)?;
        }
        let history = self.senders.entry(sender).or_insert(SenderHistory {
            highest: 0,
            seen: 0,
            last_heard: unix_time,
        });
        history.last_heard = unix_time;
        if !history.accept(number) {
            return Err(OpenError::Replayed);
        }
        let content =
            postcard::from_bytes(&sealed[HEADER_BYTES..]).map_err(|_| OpenError::MalformedContent)?;
        Ok((sender, content))
    }

    /// Whoever was not heard for longer than a packet is believed can be forgotten: nothing old of it would pass.
    fn remove_expired_senders(&mut self, unix_time: Micros) -> Result<(), OpenError> {
        if self.senders.len() < MAX_SENDERS {
            return Ok(());
        }
        self.senders.retain(|_, history| history.last_heard + 2 * MAX_TIME_DIFFERENCE >= unix_time);
        if self.senders.len() < MAX_SENDERS {
            Ok(())
        } else {
            Err(OpenError::TooManySenders)
        }
    }
}
