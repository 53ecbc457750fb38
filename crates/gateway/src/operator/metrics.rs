//! The metrics for operators. Each metric is counted in one place: where the counted event happens.

use std::cell::Cell;
use std::fmt::{Arguments, Write};

use super::unserved::UnservedRequests;
use crate::protocol::call::FinalAnswer;

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseResult {
    Completed,
    Rejected,
    Failed,
}

impl ResponseResult {
    /// The names of the variants in the metrics, in the order of the variants.
    const NAMES: [&'static str; 3] = ["ok", "shed", "errors"];

    /// The result as which a final answer is counted.
    pub fn from_answer(answer: &FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Completed(_) => ResponseResult::Completed,
            FinalAnswer::Rejected(_) => ResponseResult::Rejected,
            FinalAnswer::Failed | FinalAnswer::Malformed(_) => ResponseResult::Failed,
        }
    }
}

/// The responses of one request class.
struct ClassCounters {
    class: String,
    /// The number of responses, indexed by [`ResponseResult`].
    responses: [Cell<u64>; ResponseResult::NAMES.len()],
}

/// The counters since the start of this process.
pub struct Metrics {
    classes: Box<[ClassCounters]>,
    attempts: Cell<u64>,
    /// The requests that no server answered, by reason.
    pub unserved: UnservedRequests,
}

/// The servers as the dispatcher sees them at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolGauges {
    /// Servers in the endpoint list.
    pub size: usize,
    /// Servers in the endpoint list that the engine avoids.
    pub avoided: usize,
}

impl Metrics {
    /// Counters for the named request classes, in the order of their indexes.
    pub fn new(classes: &[String]) -> Self {
        let counters = |class: &String| ClassCounters { class: class.clone(), responses: Default::default() };
        Metrics {
            classes: classes.iter().map(counters).collect(),
            attempts: Cell::new(0),
            unserved: UnservedRequests::default(),
        }
    }

    /// Counts a response whose last byte has been written to the client. Responses of an unknown class are not counted.
    pub fn request_answered(&self, class: usize, result: ResponseResult) {
        if let Some(counters) = self.classes.get(class) {
            increment(&counters.responses[result as usize]);
        }
    }

    /// Counts an attempt whose last byte has been written to a server.
    pub fn attempt_forwarded(&self) {
        increment(&self.attempts);
    }

    /// All metrics, one per line. `active` is the number of open requests.
    pub fn write(&self, active: usize, pool: PoolGauges) -> String {
        let mut text = String::new();
        for ClassCounters { class, responses } in &self.classes {
            for (name, count) in ResponseResult::NAMES.iter().zip(responses) {
                write_line(&mut text, format_args!("responses.{class}.{name}"), count.get(), 'c');
            }
        }
        write_line(&mut text, format_args!("tries"), self.attempts.get(), 'c');
        write_line(&mut text, format_args!("active"), active as u64, 'g');
        write_line(&mut text, format_args!("pool_size"), pool.size as u64, 'g');
        write_line(&mut text, format_args!("pool_ejected"), pool.avoided as u64, 'g');
        text
    }
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Writes one metric; `kind` is `c` for a counter, `g` for a gauge.
fn write_line(text: &mut String, name: Arguments, value: u64, kind: char) {
    let _ = writeln!(text, "gateway.{name}:{value}|{kind}");
}
