//! The clocks of the gateway: the time that the decision module is given, the time since boot, and timers.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use fernscale_policy::Micros;
use futures_lite::future;

use super::wall_clock::WallClock;

/// Divisor of the elapsed time for the largest correction of the clock: measured intervals are exact to 1/64.
const SLEW_DIVISOR: i64 = 64;

/// Faults that trials inject into the clocks of this process, to simulate a machine whose clocks are wrong: how far the wall
/// clock is ahead, in microseconds, and how fast the monotonic clock runs, in millionths. They belong to the process, as they
/// stand for the clocks of its machine.
static WALL_CLOCK_AHEAD: AtomicI64 = AtomicI64::new(0);
static MONOTONIC_RATE: AtomicU64 = AtomicU64::new(NOMINAL_RATE);
const NOMINAL_RATE: u64 = 1_000_000;

/// An injected fault of the clocks of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockFault {
    /// Microseconds that the wall clock is ahead, or behind if negative. It may change while the gateway runs.
    pub ahead: i64,
    /// Microseconds that the monotonic clock counts in a real second. It is set once, when the process starts.
    pub pace: u64,
}

impl Default for ClockFault {
    fn default() -> Self {
        ClockFault { ahead: 0, pace: NOMINAL_RATE }
    }
}

impl ClockFault {
    /// Applies the fault to both clocks of this process.
    pub fn install(self) {
        MONOTONIC_RATE.store(self.pace, Ordering::Relaxed);
        self.step();
    }

    /// Applies the fault to the wall clock alone, as if an administrator had set it.
    pub fn step(self) {
        WALL_CLOCK_AHEAD.store(self.ahead, Ordering::Relaxed);
    }
}

/// Converts a span of real time to the span that the monotonic clock counts.
fn clock_span(span: Micros) -> Micros {
    match MONOTONIC_RATE.load(Ordering::Relaxed) {
        NOMINAL_RATE => span,
        pace => (u128::from(span) * u128::from(pace) / u128::from(NOMINAL_RATE)) as Micros,
    }
}

/// Converts a span that the monotonic clock counts to a span of real time.
fn real_span(span: Micros) -> Micros {
    match MONOTONIC_RATE.load(Ordering::Relaxed) {
        NOMINAL_RATE => span,
        pace => (u128::from(span) * u128::from(NOMINAL_RATE) / u128::from(pace.max(1))) as Micros,
    }
}

/// A clock that shows the wall clock's time and is monotonic. When the wall clock is set to another time, this clock is slewed
/// towards it and never runs backwards. Otherwise intervals that are being measured would stretch or end at once.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// How far this clock was ahead of the time since the start when it was last read, and that time since the start.
    ahead: Cell<(i64, i64)>,
    /// The offsets of the wall clock before and after each time that it was set.
    wall: RefCell<WallClock>,
}

impl Clock {
    pub fn start() -> Self {
        let wall_time = wall_time();
        let wall = RefCell::new(WallClock::new(0, wall_time));
        Clock { start: Instant::now(), ahead: Cell::new((wall_time, 0)), wall }
    }

    pub fn now(&self) -> Micros {
        let (since_start, wall_time) = (self.monotonic() as i64, wall_time());
        self.wall.borrow_mut().observe(since_start as Micros, wall_time);
        let ahead = slew(self.ahead.get(), since_start, wall_time);
        self.ahead.set((ahead, since_start));
        (since_start + ahead) as Micros
    }

    /// The minimum age, in microseconds, of a Unix time that another machine has reported. The exact age is unknown, as the wall
    /// clock may have been set meanwhile on either machine.
    pub fn min_age(&self, unix: Micros) -> Micros {
        let monotonic_now = self.monotonic();
        self.wall.borrow_mut().observe(monotonic_now, wall_time());
        self.wall.borrow().min_age(monotonic_now, unix)
    }

    /// Time since the start by the monotonic clock alone, which can't be set.
    pub fn monotonic(&self) -> Micros {
        clock_span(micros(self.start.elapsed()))
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.monotonic_instant((at as i64 - self.ahead.get().0).max(0) as u64)
    }

    /// Converts a time of the monotonic clock to an instant.
    pub fn monotonic_instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(real_span(at))
    }
}

fn wall_time() -> i64 {
    let system_time = micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)) as i64;
    system_time + WALL_CLOCK_AHEAD.load(Ordering::Relaxed)
}

/// Time since boot, including the time that the machine is suspended. This clock can't be set. Only differences between two of
/// its readings have a meaning.
pub fn boottime() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    clock_span(time.tv_sec.unsigned_abs() * 1_000_000 + time.tv_nsec.unsigned_abs() / 1_000)
}

/// Converts a span measured by [`boottime`] to a span of real time.
pub fn real_duration(span: Micros) -> Duration {
    Duration::from_micros(real_span(span))
}

/// Unix time in microseconds by the wall clock, which may be set to another time at any moment.
pub fn unix() -> Micros {
    wall_time().max(0) as Micros
}

/// How far the clock is ahead of the time since the start, given how far it was when it was last read and the wall clock's time
/// now.
pub fn slew((ahead, last_since_start): (i64, i64), since_start: i64, wall_time: i64) -> i64 {
    let max_change = (since_start - last_since_start) / SLEW_DIVISOR;
    ahead + (wall_time - since_start - ahead).clamp(-max_change, max_change)
}

/// A timer for the earliest of several deadlines, which change more often than they expire. Each setting costs system calls, so
/// the timer is not set again for a later deadline: it may fire early, and the caller then checks its deadlines again.
pub struct DeadlineTimer {
    timer: Timer,
    at: Option<Instant>,
}

impl DeadlineTimer {
    pub fn new() -> Self {
        DeadlineTimer { timer: Timer::never(), at: None }
    }

    /// Waits until the deadline at the latest, or forever if there is none.
    pub async fn wait(&mut self, deadline: Option<Instant>) {
        let Some(deadline) = deadline else { return future::pending().await };
        if self.at.is_none_or(|at| deadline < at) {
            self.timer.set_at(deadline);
            self.at = Some(deadline);
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

/// Pause between two slices of long work. The timer makes the executor poll the reactor, so that tasks that wait for sockets run
/// meanwhile. A task that only yields runs again before the reactor polls the sockets.
const SLICE_PAUSE: Duration = Duration::from_micros(100);

/// Lets all other tasks run, including those that wait for sockets.
pub async fn yield_between_slices() {
    Timer::after(SLICE_PAUSE).await;
}

/// Waits until the tasks whose sockets are ready by now have been woken and have run once.
pub async fn yield_to_arrivals() {
    yield_between_slices().await;
    // Tasks that the same poll of the reactor has woken run before this task runs again.
    future::yield_now().await;
}

pub fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
