//! The figures that operators read. Each is counted where its fact becomes true, and nowhere else.

use std::cell::Cell;
use std::fmt::Write;

use crate::protocol::call::FinalAnswer;

/// How a transaction was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseResult {
    Completed,
    Rejected,
    Failed,
}

impl ResponseResult {
    pub fn of(answer: &FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Completed(_) => ResponseResult::Completed,
            FinalAnswer::Rejected(_) => ResponseResult::Rejected,
            FinalAnswer::Failed | FinalAnswer::Malformed(_) => ResponseResult::Failed,
        }
    }
}

/// Counts from the start of this process.
pub struct Metrics {
    classes: Box<[(String, [Cell<u64>; 3])]>,
    attempts: Cell<u64>,
}

/// The servers as the module's actor sees them at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolGauges {
    pub size: usize,
    pub avoided: usize,
}

impl Metrics {
    pub fn new(classes: &[String]) -> Self {
        let classes = classes.iter().map(|class| (class.clone(), Default::default())).collect();
        Metrics { classes, attempts: Cell::new(0) }
    }

    /// The last byte of an answer has been written to the client.
    pub fn request_answered(&self, class: usize, result: ResponseResult) {
        if let Some((_, results)) = self.classes.get(class) {
            let count = &results[result as usize];
            count.set(count.get() + 1);
        }
    }

    /// The last byte of a trip's command has been written to a server.
    pub fn attempt_forwarded(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// All figures, a line each.
    pub fn write(&self, active: usize, pool: PoolGauges) -> String {
        let mut text = String::new();
        let mut line = |name: std::fmt::Arguments, value: u64, kind: char| {
            let _ = writeln!(text, "gateway.{name}:{value}|{kind}");
        };
        for (class, results) in &self.classes {
            for (name, count) in ["ok", "shed", "errors"].iter().zip(results) {
                line(format_args!("responses.{class}.{name}"), count.get(), 'c');
            }
        }
        line(format_args!("tries"), self.attempts.get(), 'c');
        line(format_args!("active"), active as u64, 'g');
        line(format_args!("pool_size"), pool.size as u64, 'g');
        line(format_args!("pool_ejected"), pool.avoided as u64, 'g');
        text
    }
}
