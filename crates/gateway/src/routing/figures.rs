//! The figures that operators read. Each is counted where its fact becomes true, and nowhere else.

use std::cell::Cell;
use std::fmt::Write;

use crate::protocol::call::Answer;

/// How a transaction was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Result {
    Settled,
    Nacked,
    Failed,
}

impl Result {
    pub fn of(answer: &Answer) -> Self {
        match answer {
            Answer::Settled(_) => Result::Settled,
            Answer::Nacked(_) => Result::Nacked,
            Answer::Abandoned | Answer::Misasked(_) => Result::Failed,
        }
    }
}

/// Counts from the start of this process.
pub struct Figures {
    lanes: Box<[(String, [Cell<u64>; 3])]>,
    tries: Cell<u64>,
}

/// The servers as the module's actor sees them at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    pub size: usize,
    pub avoided: usize,
}

impl Figures {
    pub fn new(lanes: &[String]) -> Self {
        let lanes = lanes.iter().map(|lane| (lane.clone(), Default::default())).collect();
        Figures { lanes, tries: Cell::new(0) }
    }

    /// The last byte of an answer has been written to the client.
    pub fn answered(&self, lane: usize, result: Result) {
        if let Some((_, results)) = self.lanes.get(lane) {
            let count = &results[result as usize];
            count.set(count.get() + 1);
        }
    }

    /// The last byte of a trip's command has been written to a server.
    pub fn tried(&self) {
        self.tries.set(self.tries.get() + 1);
    }

    /// All figures, a line each.
    pub fn write(&self, active: usize, pool: Pool) -> String {
        let mut text = String::new();
        let mut line = |name: std::fmt::Arguments, value: u64, kind: char| {
            let _ = writeln!(text, "gateway.{name}:{value}|{kind}");
        };
        for (lane, results) in &self.lanes {
            for (name, count) in ["ok", "shed", "errors"].iter().zip(results) {
                line(format_args!("responses.{lane}.{name}"), count.get(), 'c');
            }
        }
        line(format_args!("tries"), self.tries.get(), 'c');
        line(format_args!("active"), active as u64, 'g');
        line(format_args!("pool_size"), pool.size as u64, 'g');
        line(format_args!("pool_ejected"), pool.avoided as u64, 'g');
        text
    }
}
