//! An order box: cores that work, a queue, a cold start, a fall under too much, drains, and the memory of keys that the
//! boxes of one rack share.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::clients::KeyScope;
use crate::Micros;

/// What a box is like.
#[derive(Clone, Debug)]
pub struct Spec {
    pub cores: u32,
    /// Work done in a microsecond of a core; 1 is the usual box.
    pub speed: f64,
    /// Transactions that may wait for a core.
    pub queue: usize,
    /// Connections it holds; further ones are refused.
    pub connections: usize,
    /// Work that a new connection costs, borne by the first transaction on it.
    pub dial_work: Micros,
    /// Connections idle for so long are closed from here.
    pub idle: Micros,
    /// A trip that was given up is not begun, or is ended.
    pub cancels: bool,
    pub reports: bool,
    pub cold: SlowStart,
}

/// How a box starts, and what fells it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SlowStart {
    /// Share of its capacity that it has at the start, from which it grows evenly.
    pub share: f64,
    pub warm_up: Micros,
    /// Sent so many times what it can do, for so long, it falls and stays down.
    pub multiple: f64,
    pub window: Micros,
}

impl SlowStart {
    /// Share of its capacity that a box has so long after its start.
    pub fn capacity(&self, age: Micros) -> f64 {
        if age >= self.warm_up {
            return 1.0;
        }
        self.share + (1.0 - self.share) * age as f64 / self.warm_up as f64
    }
}

/// Keys that a rack remembers, each with when its first trip ran.
#[derive(Debug, Default)]
pub struct KeyMemory {
    ran: BTreeMap<(String, String), Micros>,
    forgets: VecDeque<(Micros, (String, String))>,
}

impl KeyMemory {
    /// Whether the key is new here; from now on it is not, for that long.
    fn first(&mut self, customer: &str, key: &str, now: Micros, memory: Micros) -> bool {
        while self.forgets.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, name)) = self.forgets.pop_front() else { break };
            if self.ran.get(&name).is_some_and(|ran| *ran <= now) {
                self.ran.remove(&name);
            }
        }
        let name = (customer.to_string(), key.to_string());
        if self.ran.get(&name).is_some_and(|until| *until > now) {
            return false;
        }
        self.ran.insert(name.clone(), now + memory);
        self.forgets.push_back((now + memory, name));
        true
    }
}

/// What a box remembers of keys, by whom it shares that with: each lane has its group.
pub type KeyMemories = [(KeyScope, Rc<RefCell<KeyMemory>>); 3];

/// Memories that no other box shares.
pub fn unshared_memories() -> KeyMemories {
    [KeyScope::All, KeyScope::Zone, KeyScope::Cell].map(|group| (group, Rc::default()))
}

/// One trip, as it came whole to the box.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Tells trips of one box apart.
    pub ticket: u64,
    pub tenant: String,
    /// The key, by whom it is remembered and for how long, in a labelled lane.
    pub key: Option<(String, KeyScope, Micros)>,
    pub work: Micros,
    /// The first on its connection.
    pub is_first_on_connection: bool,
}

/// How a trip ends at the box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// It ran; its answer is given. `first` is false where the key was known, so that nothing was done again.
    Ran { first: bool },
    /// It ran, and says that it failed.
    Failed,
    /// It never ran.
    #[serde(rename = "Busy")]
    Rejected,
    /// It was given up before it was begun.
    Dropped,
}

/// What a box does to answers, by fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerFaults {
    /// Times as much work as usual.
    pub slow: f64,
    /// Shares of the trips that run and then say that they failed, that are turned away, whose answer never comes.
    pub fails: f64,
    pub busy: f64,
    pub silent: f64,
    /// Share of the answers that are spoilt.
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
    /// Finishes what it has, and turns away what is new.
    Draining,
    /// It fell, was killed or has left: nothing is answered, nothing accepted.
    Down,
}

pub struct Server {
    spec: Spec,
    started: Micros,
    state: ServerState,
    collapsed: bool,
    memory: KeyMemories,
    chance: ChaCha8Rng,
    pub faults: ServerFaults,
    busy_cores: u32,
    waiting: VecDeque<Attempt>,
    /// Ends that are due, the earliest first.
    running: BinaryHeap<Reverse<(Micros, u64)>>,
    trips: BTreeMap<u64, Running>,
    /// Work that reached it within the last window, and its sum.
    pushed: VecDeque<(Micros, Micros)>,
    push: Micros,
    served: u64,
}

struct Running {
    trip: Attempt,
    end: AttemptEnd,
    given_up: bool,
}

impl Server {
    /// `started` in the past by more than its warm-up: warm.
    pub fn new(spec: Spec, age: Micros, now: Micros, memory: KeyMemories, seed: u64) -> Self {
        Server {
            started: now.saturating_sub(age),
            state: ServerState::Serving,
            collapsed: false,
            memory,
            chance: ChaCha8Rng::seed_from_u64(seed),
            faults: ServerFaults::default(),
            busy_cores: 0,
            waiting: VecDeque::new(),
            running: BinaryHeap::new(),
            trips: BTreeMap::new(),
            pushed: VecDeque::new(),
            push: 0,
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

    /// It was pushed over.
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

    /// Everything that it had is gone.
    pub fn take_down(&mut self) {
        self.state = ServerState::Down;
        self.waiting.clear();
        self.running.clear();
        self.trips.clear();
        self.busy_cores = 0;
    }

    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cold.capacity(now.saturating_sub(self.started))
    }

    /// A trip has come whole. Its end follows from `due` unless it is given here.
    pub fn arrive(&mut self, now: Micros, mut trip: Attempt) -> Option<AttemptEnd> {
        if trip.is_first_on_connection {
            trip.work += self.spec.dial_work;
        }
        self.pushed(now, trip.work);
        if self.state != ServerState::Serving || self.chance.gen_bool(self.faults.busy) {
            return Some(AttemptEnd::Rejected);
        }
        if self.busy_cores < self.spec.cores {
            self.begin(now, trip);
            None
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back(trip);
            None
        } else {
            Some(AttemptEnd::Rejected)
        }
    }

    /// All that reaches it counts, also what it turns away.
    fn pushed(&mut self, now: Micros, work: Micros) {
        let SlowStart { warm_up, multiple, window, .. } = self.spec.cold;
        let age = now.saturating_sub(self.started);
        if warm_up == 0 || age >= warm_up || self.state == ServerState::Down {
            return;
        }
        self.pushed.push_back((now, work));
        self.push += work;
        while self.pushed.front().is_some_and(|(at, _)| at + window <= now) {
            self.push -= self.pushed.pop_front().map_or(0, |(_, work)| work);
        }
        let can = self.capacity(now) * f64::from(self.spec.cores) * self.spec.speed * window as f64;
        if self.push as f64 > multiple * can {
            self.collapsed = true;
            self.take_down();
        }
    }

    fn begin(&mut self, now: Micros, trip: Attempt) {
        let first = match &trip.key {
            Some((key, group, memory)) => {
                let shared = self.memory.iter().find(|(own, _)| own == group);
                shared.is_none_or(|(_, shared)| shared.borrow_mut().first(&trip.tenant, key, now, *memory))
            }
            None => true,
        };
        let end = if self.chance.gen_bool(self.faults.fails) {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Ran { first }
        };
        let took = trip.work as f64 * self.faults.slow / (self.spec.speed * self.capacity(now));
        self.busy_cores += 1;
        self.running.push(Reverse((now + took as Micros, trip.ticket)));
        self.trips.insert(trip.ticket, Running { trip, end, given_up: false });
    }

    /// Nobody waits for this trip any more.
    pub fn cancel(&mut self, ticket: u64) -> Option<AttemptEnd> {
        if let Some(running) = self.trips.get_mut(&ticket) {
            running.given_up = true;
            return None;
        }
        if !self.spec.cancels {
            return None;
        }
        let at = self.waiting.iter().position(|trip| trip.ticket == ticket)?;
        self.waiting.remove(at);
        Some(AttemptEnd::Dropped)
    }

    pub fn due(&self) -> Option<Micros> {
        self.running.peek().map(|Reverse((at, _))| *at)
    }

    /// The trips that have ended by now, with whether anybody is to be answered.
    pub fn take_ended(&mut self, now: Micros) -> Vec<(u64, AttemptEnd, bool)> {
        let mut ended = Vec::new();
        while let Some(Reverse((at, ticket))) =
            self.running.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.running.pop();
            self.busy_cores -= 1;
            self.served += 1;
            if let Some(Running { trip, end, given_up }) = self.trips.remove(&ticket) {
                ended.push((trip.ticket, end, !given_up));
            }
            if let Some(next) = self.waiting.pop_front() {
                self.begin(at, next);
            }
        }
        ended
    }

    /// What becomes of an answer: spoilt or kept back, by the ills of the moment.
    pub fn answer(&mut self) -> AnswerFault {
        if self.chance.gen_bool(self.faults.silent) {
            AnswerFault::Nothing
        } else if self.chance.gen_bool(self.faults.garbles) {
            AnswerFault::Spoilt(self.chance.gen_range(0..4))
        } else {
            AnswerFault::Well
        }
    }

    /// In flight, waiting, share of cores at work.
    pub fn load(&self) -> (u32, usize, f64) {
        (self.busy_cores, self.waiting.len(), f64::from(self.busy_cores) / f64::from(self.spec.cores))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    Well,
    Nothing,
    /// In one of several ways.
    Spoilt(u8),
}
