//! Remembers the requests that may have had an effect after they have ended, so that none runs again under the same id. Other
//! modules decide whether a class may run twice.

use std::collections::{HashSet, VecDeque};

use crate::event::{Id, Micros};

/// How long an id is remembered: longer than any client waits for its answer, over all its attempts.
const REPEAT_WINDOW: Micros = 60_000_000;

/// Maximum number of ids that are remembered. Beyond it the oldest is forgotten, which is still older than a client's wait at
/// several thousand such requests a second.
const MAX_REMEMBERED: usize = 65_536;

/// Start value and prime of the 64-bit hash FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash of a request's id, which is the same at all processes of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// The fingerprint of an id.
    pub fn new(id: &Id) -> Self {
        let hash = id.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        RequestFingerprint(hash)
    }
}

/// The ids of ended requests that may have had an effect.
#[derive(Default)]
pub struct RecentRequests {
    known: HashSet<RequestFingerprint>,
    /// The same requests in the order in which they became known, with the time of that.
    by_age: VecDeque<(Micros, RequestFingerprint)>,
}

impl RecentRequests {
    /// Remembers a request from now on.
    pub fn insert(&mut self, request: RequestFingerprint, now: Micros) {
        self.expire(now);
        if !self.known.insert(request) {
            return;
        }
        self.by_age.push_back((now, request));
        if self.by_age.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    /// Whether a request with this id may have had an effect.
    pub fn contains(&mut self, request: RequestFingerprint, now: Micros) -> bool {
        self.expire(now);
        self.known.contains(&request)
    }

    fn expire(&mut self, now: Micros) {
        while self.by_age.front().is_some_and(|(known_at, _)| known_at + REPEAT_WINDOW <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, request)) = self.by_age.pop_front() {
            self.known.remove(&request);
        }
    }
}
