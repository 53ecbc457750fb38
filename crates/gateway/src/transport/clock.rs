//! The time that the module is told.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use fernscale_policy::Micros;
use futures_lite::future;

use super::wall_clock::WallClock;

/// Part of the time gone by that the clock may be set forth or back by: intervals come out right to that part.
const SLEW: i64 = 64;

/// What is done to this process's clocks in trials, and nowhere else: how far the shared one is set ahead, in microseconds,
/// and how fast the even one runs, in millionths. It stands for a machine whose clocks are wrong, so it is the process's.
static AHEAD: AtomicI64 = AtomicI64::new(0);
static PACE: AtomicU64 = AtomicU64::new(RIGHT);
const RIGHT: u64 = 1_000_000;

/// Clocks that are wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockFault {
    /// Microseconds that the shared clock is ahead; behind, where it is below 0. It may step while the gateway runs.
    pub ahead: i64,
    /// Millionths of a second that the even clock counts in a true second; it is set once, at the start.
    pub pace: u64,
}

impl Default for ClockFault {
    fn default() -> Self {
        ClockFault { ahead: 0, pace: RIGHT }
    }
}

impl ClockFault {
    /// Sets the clocks of this process.
    pub fn install(self) {
        PACE.store(self.pace, Ordering::Relaxed);
        self.step();
    }

    /// Sets the shared clock alone, as when somebody corrects it.
    pub fn step(self) {
        AHEAD.store(self.ahead, Ordering::Relaxed);
    }
}

/// Time of the even clock, for a true span of time.
fn paced(span: Micros) -> Micros {
    match PACE.load(Ordering::Relaxed) {
        RIGHT => span,
        pace => (u128::from(span) * u128::from(pace) / u128::from(RIGHT)) as Micros,
    }
}

/// And the true span for one of the even clock.
fn true_span(span: Micros) -> Micros {
    match PACE.load(Ordering::Relaxed) {
        RIGHT => span,
        pace => (u128::from(span) * u128::from(RIGHT) / u128::from(pace.max(1))) as Micros,
    }
}

/// Reads as the clock that all machines share, yet goes on evenly: where that one is set to another time, this one
/// follows it slowly, and never runs back, or what is measured in between would stretch or end at once.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// How far this clock was ahead of the time since the start, when last looked at, and that time.
    ahead: Cell<(i64, i64)>,
    /// Where the shared clock stood, by the times that it was set.
    wall: RefCell<WallClock>,
}

impl Clock {
    pub fn start() -> Self {
        let shared = shared();
        let wall = RefCell::new(WallClock::new(0, shared));
        Clock { start: Instant::now(), ahead: Cell::new((shared, 0)), wall }
    }

    pub fn now(&self) -> Micros {
        let (since, shared) = (self.monotonic() as i64, shared());
        self.wall.borrow_mut().look(since as Micros, shared);
        let ahead = slew(self.ahead.get(), since, shared);
        self.ahead.set((ahead, since));
        (since + ahead) as Micros
    }

    /// How long ago a time was that another machine tells by the shared clock, µs: the least that it may be, as that clock may have
    /// been set meanwhile, here or there.
    pub fn min_age(&self, unix: Micros) -> Micros {
        let even = self.monotonic();
        self.wall.borrow_mut().look(even, shared());
        self.wall.borrow().min_age(even, unix)
    }

    /// Time since the start by the even clock alone, which nobody can set.
    pub fn monotonic(&self) -> Micros {
        paced(micros(self.start.elapsed()))
    }

    /// The instant of a time told by this clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.monotonic_instant((at as i64 - self.ahead.get().0).max(0) as u64)
    }

    /// The instant of a time told by the even clock.
    pub fn monotonic_instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(true_span(at))
    }
}

fn shared() -> i64 {
    let told = micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)) as i64;
    told + AHEAD.load(Ordering::Relaxed)
}

/// Time by a clock that nobody can set and that goes on while the machine sleeps. It says nothing but how much has gone by.
pub fn boottime() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    paced(time.tv_sec.unsigned_abs() * 1_000_000 + time.tv_nsec.unsigned_abs() / 1_000)
}

/// The true span for one that was told by that clock.
pub fn real_duration(span: Micros) -> Duration {
    Duration::from_micros(true_span(span))
}

/// The clock that all machines share, as it is read here and now: it may be set to another time at any moment.
pub fn unix() -> Micros {
    shared().max(0) as Micros
}

/// How far ahead the clock is now, by how far it was some time ago and what the shared one says.
pub fn slew((ahead, looked): (i64, i64), since: i64, shared: i64) -> i64 {
    let most = (since - looked) / SLEW;
    ahead + (shared - since - ahead).clamp(-most, most)
}

/// A timer for the earliest of several things, which change more often than they come due. It is not put off, as
/// each setting costs calls to the system: it may ring early, and whoever waits then looks again.
pub struct DeadlineTimer {
    timer: Timer,
    at: Option<Instant>,
}

impl DeadlineTimer {
    pub fn new() -> Self {
        DeadlineTimer { timer: Timer::never(), at: None }
    }

    /// Waits until the time given at the latest; for ever where there is none.
    pub async fn wait(&mut self, by: Option<Instant>) {
        let Some(by) = by else { return future::pending().await };
        if self.at.is_none_or(|at| by < at) {
            self.timer.set_at(by);
            self.at = Some(by);
        }
        (&mut self.timer).await;
        self.at = None;
    }
}

impl Default for DeadlineTimer {
    fn default() -> Self {
        DeadlineTimer::new()
    }
}

/// How long work that is done in slices pauses between two of them: it comes round by the reactor, with all that has
/// happened on sockets meanwhile. A task that only yields is run again before anybody looks at those.
const BETWEEN_SLICES: Duration = Duration::from_micros(100);

/// Lets everything else have its turn.
pub async fn yield_between_slices() {
    Timer::after(BETWEEN_SLICES).await;
}

/// Waits until the tasks that wait for sockets have been woken by what has come on these by now, and have run once.
pub async fn yield_to_arrivals() {
    yield_between_slices().await;
    // Tasks that the same look at the sockets has woken run before this one does again.
    future::yield_now().await;
}

pub fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
