//! The figures that operators read. Each is counted where its fact becomes true, and nowhere else.

use std::cell::Cell;
use std::fmt::Write;

use crate::protocol::call::FinalAnswer;

/// How a transaction was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Result {
    Settled,
    Nacked,
    Failed,
}

impl Result {
    pub fn of(answer: &FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Completed(_) => Result::Settled,
            FinalAnswer::Rejected(_) => Result::Nacked,
            FinalAnswer::Failed | FinalAnswer::Malformed(_) => Result::Failed,
        }
    }
}

/// Counts from the start of this process.
pub struct Metrics {
    lanes: Box<[(String, [Cell<u64>; 3])]>,
    tries: Cell<u64>,
}

/// The servers as the module's actor sees them at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolGauges {
    pub size: usize,
    pub avoided: usize,
}

impl Metrics {
    pub fn new(lanes: &[String]) -> Self {
        let lanes = lanes.iter().map(|lane| (lane.clone(), Default::default())).collect();
        Metrics { lanes, tries: Cell::new(0) }
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
    pub fn write(&self, active: usize, pool: PoolGauges) -> String {
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
