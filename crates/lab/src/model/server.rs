//! Model of a server: its cores, its queue, slow start, collapse under overload, draining, and the memory of idempotency keys
//! that servers of one key scope share.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::clients::KeyScope;
use crate::Micros;

/// The properties of a server.
#[derive(Clone, Debug)]
pub struct Spec {
    pub cores: u32,
    /// Work that a core does in a microsecond; 1 for a usual server.
    pub speed: f64,
    /// Attempts that may wait for a core.
    pub queue: usize,
    /// Maximum number of connections; further connections are refused.
    pub connections: usize,
    /// Work to set up a connection, added to the first attempt on it.
    pub dial_work: Micros,
    /// The server closes connections that are idle for this time.
    pub idle: Micros,
    /// Whether the server removes cancelled attempts from its queue.
    pub cancels: bool,
    pub reports: bool,
    pub cold: SlowStart,
}

/// A server's slow start, and the overload that makes it collapse.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SlowStart {
    /// Share of the capacity at the start; it grows linearly.
    pub share: f64,
    pub warm_up: Micros,
    /// A server that receives this multiple of its capacity over `window` collapses and stays down.
    pub multiple: f64,
    pub window: Micros,
}

impl SlowStart {
    /// Share of its capacity that a server has at this time after its start.
    pub fn capacity(&self, age: Micros) -> f64 {
        if age >= self.warm_up {
            return 1.0;
        }
        self.share + (1.0 - self.share) * age as f64 / self.warm_up as f64
    }
}

/// The idempotency keys that servers remember together, each with its expiry.
#[derive(Debug, Default)]
pub struct KeyMemory {
    expiries: BTreeMap<(String, String), Micros>,
    expiry_order: VecDeque<(Micros, (String, String))>,
}

impl KeyMemory {
    /// Remembers a key for the retention. Returns whether the key was unknown.
    fn remember(&mut self, tenant: &str, key: &str, now: Micros, retention: Micros) -> bool {
        while self.expiry_order.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, name)) = self.expiry_order.pop_front() else { break };
            if self.expiries.get(&name).is_some_and(|expiry| *expiry <= now) {
                self.expiries.remove(&name);
            }
        }
        let name = (tenant.to_string(), key.to_string());
        if self.expiries.get(&name).is_some_and(|expiry| *expiry > now) {
            return false;
        }
        self.expiries.insert(name.clone(), now + retention);
        self.expiry_order.push_back((now + retention, name));
        true
    }
}

/// The key memories of a server, one for each key scope.
pub type KeyMemories = [(KeyScope, Rc<RefCell<KeyMemory>>); 3];

/// Key memories that the server shares with no other.
pub fn unshared_memories() -> KeyMemories {
    [KeyScope::All, KeyScope::Zone, KeyScope::Cell].map(|scope| (scope, Rc::default()))
}

/// An attempt that the server has received completely.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifies the attempt among the server's attempts.
    pub ticket: u64,
    pub tenant: String,
    /// The idempotency key with its scope and retention, for a keyed class.
    pub key: Option<(String, KeyScope, Micros)>,
    pub work: Micros,
    /// Whether the attempt is the first on its connection.
    pub is_first_on_connection: bool,
}

/// How an attempt ends at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The attempt ran and has an answer. `first` is false if the key was known, so that the attempt had no second effect.
    Ran { first: bool },
    /// The attempt ran, and its answer is a failure.
    Failed,
    /// The attempt never ran.
    #[serde(rename = "Busy")]
    Rejected,
    /// The attempt was cancelled before it began.
    Dropped,
}

/// The active faults of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerFaults {
    /// Multiple of the usual work.
    pub slow: f64,
    /// Shares of the attempts that run and fail, that are rejected, and whose answer is never sent.
    pub fails: f64,
    pub busy: f64,
    pub silent: f64,
    /// Share of the answers that are malformed.
    pub garbles: f64,
}

impl Default for ServerFaults {
    fn default() -> Self {
        ServerFaults { slow: 1.0, fails: 0.0, busy: 0.0, silent: 0.0, garbles: 0.0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Serving,
    /// Finishes the attempts it has and rejects new ones.
    Draining,
    /// Collapsed, killed or terminated: accepts and answers nothing.
    Down,
}

pub struct Server {
    spec: Spec,
    started: Micros,
    state: ServerState,
    collapsed: bool,
    key_memories: KeyMemories,
    rng: ChaCha8Rng,
    pub faults: ServerFaults,
    busy_cores: u32,
    waiting: VecDeque<Attempt>,
    /// Due times of the running attempts, the earliest first.
    running: BinaryHeap<Reverse<(Micros, u64)>>,
    attempts: BTreeMap<u64, Running>,
    /// Work that arrived within the last window, and its sum.
    recent_work: VecDeque<(Micros, Micros)>,
    window_work: Micros,
    served: u64,
}

struct Running {
    attempt: Attempt,
    end: AttemptEnd,
    is_cancelled: bool,
}

impl Server {
    /// Creates a server of this age; it is warm if its age is at least the warm-up time.
    pub fn new(spec: Spec, age: Micros, now: Micros, key_memories: KeyMemories, seed: u64) -> Self {
        Server {
            started: now.saturating_sub(age),
            state: ServerState::Serving,
            collapsed: false,
            key_memories,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: ServerFaults::default(),
            busy_cores: 0,
            waiting: VecDeque::new(),
            running: BinaryHeap::new(),
            attempts: BTreeMap::new(),
            recent_work: VecDeque::new(),
            window_work: 0,
            served: 0,
            spec: if age >= spec.cold.warm_up {
                Spec { cold: SlowStart { warm_up: 0, ..spec.cold }, ..spec }
            } else {
                spec
            },
        }
    }

    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Whether the server collapsed under overload.
    pub fn collapsed(&self) -> bool {
        self.collapsed
    }

    pub fn drain(&mut self) {
        if self.state == ServerState::Serving {
            self.state = ServerState::Draining;
        }
    }

    pub fn serve_again(&mut self) {
        if self.state == ServerState::Draining {
            self.state = ServerState::Serving;
        }
    }

    /// Takes the server down; it loses all its attempts.
    pub fn take_down(&mut self) {
        self.state = ServerState::Down;
        self.waiting.clear();
        self.running.clear();
        self.attempts.clear();
        self.busy_cores = 0;
    }

    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cold.capacity(now.saturating_sub(self.started))
    }

    /// Receives an attempt completely. Returns its end if it is rejected at once; otherwise it ends at a time given by `due`.
    pub fn arrive(&mut self, now: Micros, mut attempt: Attempt) -> Option<AttemptEnd> {
        if attempt.is_first_on_connection {
            attempt.work += self.spec.dial_work;
        }
        self.note_work(now, attempt.work);
        if self.state != ServerState::Serving || self.rng.gen_bool(self.faults.busy) {
            return Some(AttemptEnd::Rejected);
        }
        if self.busy_cores < self.spec.cores {
            self.begin(now, attempt);
            None
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back(attempt);
            None
        } else {
            Some(AttemptEnd::Rejected)
        }
    }

    /// Adds work to the window, also that of attempts that the server rejects, and collapses under too much.
    fn note_work(&mut self, now: Micros, work: Micros) {
        let SlowStart { warm_up, multiple, window, .. } = self.spec.cold;
        let age = now.saturating_sub(self.started);
        if warm_up == 0 || age >= warm_up || self.state == ServerState::Down {
            return;
        }
        self.recent_work.push_back((now, work));
        self.window_work += work;
        while self.recent_work.front().is_some_and(|(at, _)| at + window <= now) {
            self.window_work -= self.recent_work.pop_front().map_or(0, |(_, work)| work);
        }
        let window_capacity =
            self.capacity(now) * f64::from(self.spec.cores) * self.spec.speed * window as f64;
        if self.window_work as f64 > multiple * window_capacity {
            self.collapsed = true;
            self.take_down();
        }
    }

    fn begin(&mut self, now: Micros, attempt: Attempt) {
        let first = match &attempt.key {
            Some((key, scope, retention)) => {
                let shared = self.key_memories.iter().find(|(owned_scope, _)| owned_scope == scope);
                shared.is_none_or(|(_, shared)| {
                    shared.borrow_mut().remember(&attempt.tenant, key, now, *retention)
                })
            }
            None => true,
        };
        let end =
            if self.rng.gen_bool(self.faults.fails) { AttemptEnd::Failed } else { AttemptEnd::Ran { first } };
        let duration = attempt.work as f64 * self.faults.slow / (self.spec.speed * self.capacity(now));
        self.busy_cores += 1;
        self.running.push(Reverse((now + duration as Micros, attempt.ticket)));
        self.attempts.insert(attempt.ticket, Running { attempt, end, is_cancelled: false });
    }

    /// The gateway has cancelled this attempt.
    pub fn cancel(&mut self, ticket: u64) -> Option<AttemptEnd> {
        if let Some(running) = self.attempts.get_mut(&ticket) {
            running.is_cancelled = true;
            return None;
        }
        if !self.spec.cancels {
            return None;
        }
        let at = self.waiting.iter().position(|attempt| attempt.ticket == ticket)?;
        self.waiting.remove(at);
        Some(AttemptEnd::Dropped)
    }

    pub fn due(&self) -> Option<Micros> {
        self.running.peek().map(|Reverse((at, _))| *at)
    }

    /// The attempts that have ended by now, with whether the gateway still waits for the answer.
    pub fn take_ended(&mut self, now: Micros) -> Vec<(u64, AttemptEnd, bool)> {
        let mut ended = Vec::new();
        while let Some(Reverse((at, ticket))) =
            self.running.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.running.pop();
            self.busy_cores -= 1;
            self.served += 1;
            if let Some(Running { attempt, end, is_cancelled }) = self.attempts.remove(&ticket) {
                ended.push((attempt.ticket, end, !is_cancelled));
            }
            if let Some(next) = self.waiting.pop_front() {
                self.begin(at, next);
            }
        }
        ended
    }

    /// Draws the fault of an answer from the active faults: malformed, missing or none.
    pub fn answer(&mut self) -> AnswerFault {
        if self.rng.gen_bool(self.faults.silent) {
            AnswerFault::Nothing
        } else if self.rng.gen_bool(self.faults.garbles) {
            AnswerFault::Malformed(self.rng.gen_range(0..MALFORMED_REPLIES))
        } else {
            AnswerFault::Intact
        }
    }

    /// Number of running and waiting attempts, and the share of busy cores.
    pub fn load(&self) -> (u32, usize, f64) {
        (self.busy_cores, self.waiting.len(), f64::from(self.busy_cores) / f64::from(self.spec.cores))
    }
}

/// The number of ways in which an answer can be malformed.
pub const MALFORMED_REPLIES: u8 = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    Intact,
    Nothing,
    /// In one of [`MALFORMED_REPLIES`] ways.
    Malformed(u8),
}
