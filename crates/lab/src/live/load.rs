//! A load on one gateway that runs already, for measuring it: open-loop, as clients are, or closed-loop, as benches often
//! are. It judges nothing; times of the open loop count from when a transaction was due.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use super::clients::histogram;
use super::stream::Stream;
use super::{gateway, sleep, World};
use crate::report::quantiles;
use crate::wire::{self, Answer, Call};
use crate::{Micros, MILLISECOND, SECOND};

#[derive(Clone, Debug)]
pub struct Load {
    pub to: SocketAddr,
    /// Transactions a second, open-loop; or so many clients that ask as soon as they are answered.
    pub pace: Pace,
    pub lasts: Micros,
    pub lane: String,
    pub plan: String,
    pub redoable: bool,
    pub wait: Micros,
    /// Customers that are drawn from; 0: each transaction has one of its own.
    pub customers: u64,
    pub body: usize,
    /// The gateway's process, whose use of the machine is measured.
    pub pid: Option<i32>,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum Pace {
    Open(f64),
    Closed(u32),
}

/// A load that was later than this at p99 is void: its figures would be the load's own.
const BEHIND: Micros = 10 * MILLISECOND;
const DIAL: Micros = SECOND;

struct State {
    world: Rc<World>,
    load: Load,
    idle: RefCell<Vec<Stream>>,
    chance: RefCell<ChaCha8Rng>,
    took: RefCell<Histogram<u64>>,
    behind: RefCell<Histogram<u64>>,
    counts: [Cell<u64>; 4],
    open: Cell<u64>,
    next: Cell<u64>,
}

pub fn run(load: Load) -> Value {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    async_io::block_on(main.run(async {
        let state = Rc::new(State {
            world: World::blind(executor),
            idle: RefCell::default(),
            chance: RefCell::new(ChaCha8Rng::seed_from_u64(load.seed)),
            took: RefCell::new(histogram()),
            behind: RefCell::new(histogram()),
            counts: Default::default(),
            open: Cell::new(0),
            next: Cell::new(load.seed << 32),
            load,
        });
        state.measure().await
    }))
}

impl State {
    async fn measure(self: Rc<Self>) -> Value {
        let pid = self.load.pid.and_then(std::num::NonZeroI32::new);
        let cpu_before = pid.map(gateway::cpu_of);
        let from = self.world.now();
        let until = from + self.load.lasts;
        match self.load.pace {
            Pace::Open(rate) => {
                let mut due = from as f64;
                loop {
                    due += -(1.0 - self.chance.borrow_mut().gen::<f64>()).ln() / rate * SECOND as f64;
                    if due as Micros >= until {
                        break;
                    }
                    if due as Micros > self.world.now() {
                        self.world.until(due as Micros).await;
                    }
                    let own = self.clone();
                    self.open.set(self.open.get() + 1);
                    self.world.spawn(async move {
                        own.one(due as Micros).await;
                        own.open.set(own.open.get() - 1);
                    });
                }
            }
            Pace::Closed(clients) => {
                for _ in 0..clients {
                    let own = self.clone();
                    self.open.set(self.open.get() + 1);
                    self.world.spawn(async move {
                        while own.world.now() < until {
                            own.one(own.world.now()).await;
                        }
                        own.open.set(own.open.get() - 1);
                    });
                }
            }
        }
        while self.open.get() > 0 {
            sleep(MILLISECOND).await;
        }
        let played = self.world.now() - from;
        let [settled, nacked, abandoned, lost] = [0, 1, 2, 3].map(|at: usize| self.counts[at].get());
        let all = settled + nacked + abandoned + lost;
        let cpu = pid.map(gateway::cpu_of).zip(cpu_before).map(|(after, before)| after - before);
        let behind = self.behind.borrow();
        let late = behind.value_at_quantile(0.99);
        let void =
            (late > BEHIND).then(|| format!("the load was {:.1} ms late at p99", late as f64 / 1000.0));
        json!({
            "transactions": { "sent": all, "settled": settled, "nacked": nacked, "abandoned": abandoned, "lost": lost },
            "rate": all as f64 * SECOND as f64 / played as f64,
            "latency": quantiles(&self.took.borrow()),
            "behind": quantiles(&behind),
            "cpu_us_a_transaction": cpu.map(|cpu| cpu as f64 / all.max(1) as f64),
            "peak_mb": pid.and_then(|pid| peak(pid.get())),
            "void": void,
        })
    }

    async fn one(&self, due: Micros) {
        let number = self.next.get();
        self.next.set(number + 1);
        let customer = match self.load.customers {
            0 => number & 0xffff_ffff,
            all => self.chance.borrow_mut().gen_range(0..all),
        };
        let call = Call {
            tenant: format!("{customer:016x}"),
            id: format!("{number:016x}"),
            class: self.load.lane.clone(),
            plan: self.load.plan.clone(),
            wait_ms: self.load.wait as f64 / MILLISECOND as f64,
            key: None,
            units: 1.0,
            spread: 1,
            first: 0,
            repeat: false,
            body: (self.load.body > 0).then(|| vec![b'x'; self.load.body]),
        };
        let command = call.write(self.load.redoable);
        let answer = self.ask(&command, due).await;
        let at = match answer {
            Ok(Answer::Completed(_)) => {
                let _ = self.took.borrow_mut().record((self.world.now() - due).max(1));
                0
            }
            Ok(Answer::Rejected { .. }) => 1,
            Ok(Answer::Failed) => 2,
            Err(_) => 3,
        };
        self.counts[at].set(self.counts[at].get() + 1);
    }

    async fn ask(&self, command: &[u8], due: Micros) -> io::Result<Answer> {
        let idle = self.idle.borrow_mut().pop();
        let mut stream = match idle.filter(|stream| stream.look() == (0, true)) {
            Some(stream) => stream,
            None => Stream::dial(self.load.to, DIAL).await?,
        };
        stream.write(command).await?;
        let _ = self.behind.borrow_mut().record((self.world.now() - due).max(1));
        let value = stream.next(wire::value).await?;
        self.idle.borrow_mut().push(stream);
        Ok(Answer::from_value(value))
    }
}

/// The most memory that a process has had, in MB.
fn peak(pid: i32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    peak.trim().trim_end_matches(" kB").parse::<f64>().ok().map(|kib| kib / 1024.0)
}
