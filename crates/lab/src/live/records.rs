//! Reads gateways' logs as they are written, one JSON object a line, and places each record on the lab's clock.
//!
//! A record was written between the last look and this one. Its own time says more, if the two clocks agree: it is taken
//! where it lies within that span, and only the span is known of it otherwise.

use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::time::UNIX_EPOCH;

use serde_json::Value;

use super::World;
use crate::{Micros, MILLISECOND};

/// To which a record's own time is sure: the writer takes it, then writes.
const WITHIN: Micros = 2 * MILLISECOND;
/// A line longer than this is no record of a gateway's.
const LONGEST: usize = 1 << 20;

pub struct Record {
    pub at: Micros,
    /// It happened up to so much before or after.
    pub within: Micros,
    pub event: String,
    pub fields: Value,
}

pub struct Log {
    file: File,
    rest: Vec<u8>,
    looked: Micros,
}

impl Log {
    pub fn open(file: &Path, now: Micros) -> std::io::Result<Self> {
        Ok(Log { file: File::open(file)?, rest: Vec::new(), looked: now })
    }

    /// The records that were written since the last look. What is no JSON is left out: it is some other program's.
    pub fn more(&mut self, world: &World) -> Vec<Record> {
        let now = world.now();
        // What can't be read now comes with the next look.
        let _ = self.file.read_to_end(&mut self.rest);
        let end = self.rest.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        if end == 0 && self.rest.len() > LONGEST {
            self.rest.clear();
        }
        let whole: Vec<u8> = self.rest.drain(..end).collect();
        let (from, to) = (self.looked, now);
        self.looked = now;
        let record = |line: &[u8]| {
            let fields: Value = serde_json::from_slice(line).ok()?;
            let event = fields.get("event")?.as_str()?.to_string();
            let own = fields.get("time").and_then(Value::as_str).and_then(|text| {
                let time = humantime::parse_rfc3339(text).ok()?.duration_since(UNIX_EPOCH).ok()?;
                (time.as_micros() as Micros).checked_sub(world.start_unix)
            });
            let (at, within) = match own {
                Some(own) if own + WITHIN >= from && own <= to + WITHIN => (own.clamp(from, to), WITHIN),
                _ => (to, to - from),
            };
            Some(Record { at, within, event, fields })
        };
        whole.split(|byte| *byte == b'\n').filter_map(record).collect()
    }
}
