//! The one buffer of a connection.

use std::time::Instant;

use super::ending::ConnectionEnd;
use super::limits::{Reservation, Slots};

/// First size, and the size kept while nothing is in it: most messages fit.
const BASE: usize = 1024;

/// Bytes that came in and are not read yet. It doubles as it needs to, up to a limit, and moves what is left to
/// its front when the end is reached. What it takes beyond the first size has a place among the bytes of its kind.
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    most: usize,
    since: Instant,
    all: Option<Slots>,
    place: Option<Reservation>,
}

impl Buffer {
    pub fn new(most: usize, all: Option<Slots>) -> Self {
        Buffer { bytes: Vec::new(), start: 0, end: 0, most, since: Instant::now(), all, place: None }
    }

    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Whether the last bytes that came took all the room that there was.
    pub fn is_full(&self) -> bool {
        self.end == self.bytes.len() && !self.is_empty()
    }

    /// Since when the message at the front has been coming; none if none has begun.
    pub fn since(&self) -> Option<Instant> {
        (!self.is_empty()).then_some(self.since)
    }

    /// Takes so many bytes off the front.
    pub fn consume(&mut self, count: usize) {
        self.since = Instant::now();
        self.start += count;
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection must not keep the room of its largest message.
            if self.bytes.len() > BASE {
                self.bytes = Vec::new();
                self.place = None;
            }
        }
    }

    /// Room for more at the end; none once a limit is reached.
    pub fn spare(&mut self) -> Result<&mut [u8], ConnectionEnd> {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            let size = (2 * self.bytes.len()).max(BASE).min(self.most);
            if size == self.bytes.len() {
                return Err(ConnectionEnd::Garbled);
            }
            if let Some(all) = self.all.as_ref().filter(|_| size > BASE) {
                let grown = match &mut self.place {
                    Some(place) => all.resize(place, size),
                    none => {
                        *none = all.reserve(size);
                        none.is_some()
                    }
                };
                if !grown {
                    return Err(ConnectionEnd::NoMemory);
                }
            }
            self.bytes.resize(size, 0);
        }
        Ok(&mut self.bytes[self.end..])
    }

    /// Says that so many bytes of the room have been written.
    pub fn advance(&mut self, count: usize) {
        if self.is_empty() {
            self.since = Instant::now();
        }
        self.end += count;
    }
}
