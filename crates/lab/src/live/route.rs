//! What is broken on one way from one party to another. Faults may overlap: each is begun and ended by itself, and what
//! passes meets all that stand at that moment.

use std::cell::{Cell, RefCell};

use event_listener::Event;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{Micros, MILLISECOND, SECOND};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteFault {
    /// Datagrams are lost, streams reset and refused.
    Cut,
    /// Datagrams are lost; what has been written on streams is held until the way is well again, as retransmission would.
    Blackhole,
    /// Each stream is reset once, when half of what is next written has passed.
    Reset,
    /// Everything takes so much longer, datagrams up to `spread` more, each by a draw.
    Delay {
        by: Micros,
        spread: Micros,
    },
    /// Bytes a second.
    Throttle(f64),
    /// This share of the datagrams, or of what is read at once, has one byte changed.
    Corrupt(f64),
    /// This share of the datagrams is lost, comes twice, or is held for so long that others overtake it.
    Lose(f64),
    Double(f64),
    Overtake {
        share: f64,
        by: Micros,
    },
}

/// A link that loses so large a part, passes so few bytes a second, or takes so long on the mean holds nobody to reach
/// the other: a probe's answer would not come back in time, by whichever way it goes.
const HARDLY: f64 = 0.5;
const SLOWEST: f64 = 20_000.0;
const LATEST: Micros = 100 * MILLISECOND;

impl RouteFault {
    /// Whether so little passes that nobody can be held to reach the other.
    pub fn parts(self) -> bool {
        match self {
            RouteFault::Cut | RouteFault::Blackhole => true,
            RouteFault::Lose(share) | RouteFault::Corrupt(share) => share >= HARDLY,
            RouteFault::Throttle(rate) => rate < SLOWEST,
            RouteFault::Delay { by, spread } => by + spread / 2 >= LATEST,
            _ => false,
        }
    }
}

/// Bytes that may wait where a way is throttled; datagrams beyond it are lost, as in a full queue.
const MOST_QUEUED: Micros = SECOND / 2;

struct Standing {
    token: u64,
    ill: RouteFault,
    /// How often something met it.
    felt: u64,
}

#[derive(Default)]
pub struct Route {
    ills: RefCell<Vec<Standing>>,
    next: Cell<u64>,
    /// When what is throttled will have passed.
    free: Cell<Micros>,
    changed: Event,
}

impl Route {
    /// A fault begins; the token ends it.
    pub fn begin(&self, ill: RouteFault) -> u64 {
        let token = self.next.get();
        self.next.set(token + 1);
        self.ills.borrow_mut().push(Standing { token, ill, felt: 0 });
        self.changed.notify(usize::MAX);
        token
    }

    /// It ends; gives how often something met it.
    pub fn end(&self, token: u64) -> u64 {
        let mut ills = self.ills.borrow_mut();
        let at = ills.iter().position(|standing| standing.token == token);
        let felt = at.map_or(0, |at| ills.remove(at).felt);
        drop(ills);
        self.changed.notify(usize::MAX);
        felt
    }

    pub fn is_healthy(&self) -> bool {
        self.ills.borrow().is_empty()
    }

    /// Whether any such fault stands; it has then been met.
    fn met(&self, is: impl Fn(&RouteFault) -> bool) -> bool {
        let mut met = false;
        for standing in self.ills.borrow_mut().iter_mut().filter(|standing| is(&standing.ill)) {
            standing.felt += 1;
            met = true;
        }
        met
    }

    /// By chance, for each such fault that stands: whether any of them strikes.
    fn strikes(&self, chance: &mut ChaCha8Rng, share: impl Fn(&RouteFault) -> Option<f64>) -> bool {
        let mut struck = false;
        for standing in self.ills.borrow_mut().iter_mut() {
            if share(&standing.ill).is_some_and(|share| chance.gen_bool(share)) {
                standing.felt += 1;
                struck = true;
            }
        }
        struck
    }

    pub fn cut(&self) -> bool {
        self.met(|ill| *ill == RouteFault::Cut)
    }

    pub fn held(&self) -> bool {
        self.ills.borrow().iter().any(|standing| standing.ill == RouteFault::Blackhole)
    }

    /// Waits until streams are to be reset at once.
    pub async fn until_cut(&self) {
        loop {
            let changed = self.changed.listen();
            if self.cut() {
                return;
            }
            changed.await;
        }
    }

    /// Waits while nothing passes on streams.
    pub async fn until_open(&self) {
        loop {
            let changed = self.changed.listen();
            if !self.met(|ill| *ill == RouteFault::Blackhole) {
                return;
            }
            changed.await;
        }
    }

    pub fn resets(&self) -> bool {
        self.met(|ill| *ill == RouteFault::Reset)
    }

    fn delay(&self, chance: &mut ChaCha8Rng, spreads: bool) -> Micros {
        let mut sum = 0;
        for standing in self.ills.borrow_mut().iter_mut() {
            if let RouteFault::Delay { by, spread } = standing.ill {
                standing.felt += 1;
                sum += by + if spreads && spread > 0 { chance.gen_range(0..=spread) } else { 0 };
            }
        }
        sum
    }

    /// How long bytes of a stream are under way; their order stays.
    pub fn stream_delay(&self, chance: &mut ChaCha8Rng) -> Micros {
        self.delay(chance, false)
    }

    /// The time that so many bytes take, where the way is throttled.
    pub fn takes(&self, bytes: usize) -> Option<Micros> {
        let mut least: Option<f64> = None;
        for standing in self.ills.borrow_mut().iter_mut() {
            if let RouteFault::Throttle(rate) = standing.ill {
                standing.felt += 1;
                least = Some(least.map_or(rate, |least| least.min(rate)));
            }
        }
        least.map(|rate| (bytes as f64 / rate * SECOND as f64) as Micros)
    }

    /// Changes a byte, by chance.
    pub fn spoil(&self, bytes: &mut [u8], chance: &mut ChaCha8Rng) {
        let share = |ill: &RouteFault| match ill {
            RouteFault::Corrupt(share) => Some(*share),
            _ => None,
        };
        if !bytes.is_empty() && self.strikes(chance, share) {
            let at = chance.gen_range(0..bytes.len());
            bytes[at] = bytes[at].wrapping_add(chance.gen_range(1..=255));
        }
    }

    /// What becomes of a datagram: when it comes, none, once or twice. No two are kept in order by this.
    pub fn datagram(
        &self,
        now: Micros,
        mut bytes: Vec<u8>,
        chance: &mut ChaCha8Rng,
    ) -> Vec<(Micros, Vec<u8>)> {
        if self.is_healthy() {
            return vec![(now, bytes)];
        }
        let lost = |ill: &RouteFault| match ill {
            RouteFault::Cut | RouteFault::Blackhole => Some(1.0),
            RouteFault::Lose(share) => Some(*share),
            _ => None,
        };
        if self.strikes(chance, lost) {
            return Vec::new();
        }
        let mut due = now;
        if let Some(takes) = self.takes(bytes.len()) {
            due = self.free.get().max(now) + takes;
            if due > now + MOST_QUEUED {
                return Vec::new();
            }
            self.free.set(due);
        }
        self.spoil(&mut bytes, chance);
        let twice = |ill: &RouteFault| match ill {
            RouteFault::Double(share) => Some(*share),
            _ => None,
        };
        let copies = 1 + usize::from(self.strikes(chance, twice));
        let mut one = || {
            let mut at = due + self.delay(chance, true);
            for standing in self.ills.borrow_mut().iter_mut() {
                if let RouteFault::Overtake { share, by } = standing.ill {
                    if chance.gen_bool(share) {
                        standing.felt += 1;
                        at += by;
                    }
                }
            }
            at
        };
        let times: Vec<Micros> = (0..copies).map(|_| one()).collect();
        times.into_iter().map(|at| (at, bytes.clone())).collect()
    }
}
