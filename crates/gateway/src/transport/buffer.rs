//! The read buffer of a connection.

use std::time::Instant;

use super::ending::ConnectionEnd;
use super::limits::{Reservation, Slots};

/// Size in bytes that a buffer begins with, and has again once it is empty: most messages fit.
const INITIAL_SIZE: usize = 1024;

/// Received bytes that are not consumed yet.
///
/// It doubles as needed, up to a limit, and moves its contents to the front when the end is reached. A larger size than the initial
/// one is reserved among the bytes of all connections of its kind.
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_size: usize,
    message_began_at: Instant,
    /// The bytes of all connections of its kind.
    slots: Option<Slots>,
    reservation: Option<Reservation>,
}

impl Buffer {
    /// An empty buffer that grows to so many bytes at most, in these slots.
    pub fn new(max_size: usize, slots: Option<Slots>) -> Self {
        Buffer {
            bytes: Vec::new(),
            start: 0,
            end: 0,
            max_size,
            message_began_at: Instant::now(),
            slots,
            reservation: None,
        }
    }

    /// What has been received and not consumed.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether nothing has been received that is not consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Whether the last bytes that came took all the room that there was.
    pub fn is_full(&self) -> bool {
        self.end == self.bytes.len() && !self.is_empty()
    }

    /// When the first bytes of the message at the front came; none if none has begun.
    pub fn message_began_at(&self) -> Option<Instant> {
        (!self.is_empty()).then_some(self.message_began_at)
    }

    /// Removes so many bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.message_began_at = Instant::now();
        self.start += count;
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection must not keep the size of its largest message.
            if self.bytes.len() > INITIAL_SIZE {
                self.bytes = Vec::new();
                self.reservation = None;
            }
        }
    }

    /// Free space behind what is filled, for more to be received into.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::Malformed`] where the message is longer than the limit, [`ConnectionEnd::OutOfMemory`] where the
    /// slots are used up.
    pub fn spare(&mut self) -> Result<&mut [u8], ConnectionEnd> {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            self.grow()?;
        }
        Ok(&mut self.bytes[self.end..])
    }

    fn grow(&mut self) -> Result<(), ConnectionEnd> {
        let size = (2 * self.bytes.len()).max(INITIAL_SIZE).min(self.max_size);
        if size == self.bytes.len() {
            return Err(ConnectionEnd::Malformed);
        }
        if size > INITIAL_SIZE && !self.reserve(size) {
            return Err(ConnectionEnd::OutOfMemory);
        }
        self.bytes.resize(size, 0);
        Ok(())
    }

    /// Whether so many bytes could be reserved for it.
    fn reserve(&mut self, size: usize) -> bool {
        let Some(slots) = &self.slots else { return true };
        if let Some(reservation) = &mut self.reservation {
            return slots.resize(reservation, size);
        }
        self.reservation = slots.reserve(size);
        self.reservation.is_some()
    }

    /// Notes that so many bytes of the spare space have been received.
    pub fn advance(&mut self, count: usize) {
        if self.is_empty() {
            self.message_began_at = Instant::now();
        }
        self.end += count;
    }
}
