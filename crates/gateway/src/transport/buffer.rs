//! The read buffer of a connection.

use std::time::Instant;

use super::ending::ConnectionEnd;
use super::limits::{Reservation, Slots};
use crate::protocol::resp::MAX_MESSAGE_BYTES;

/// Size in bytes of a new buffer, and of a buffer that has been emptied. Most messages fit.
const INITIAL_SIZE: usize = 1024;

/// Received bytes that are not consumed yet.
///
/// The buffer moves its contents to the front when the end is reached, and doubles its size as needed up to a limit. A size above
/// the initial one is reserved from the bytes that all connections of the same kind share. A size above that of one message is for
/// reading ahead, and leaves a quarter of these bytes to others.
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_size: usize,
    message_began_at: Instant,
    last_received_at: Instant,
    /// The bytes that all connections of the same kind share.
    slots: Option<Slots>,
    reservation: Option<Reservation>,
}

impl Buffer {
    /// Creates an empty buffer that grows to at most `max_size` bytes and reserves them from `slots`.
    pub fn new(max_size: usize, slots: Option<Slots>) -> Self {
        Buffer {
            bytes: Vec::new(),
            start: 0,
            end: 0,
            max_size,
            message_began_at: Instant::now(),
            last_received_at: Instant::now(),
            slots,
            reservation: None,
        }
    }

    /// The bytes that have been received and not consumed.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether all received bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Whether the last received bytes filled all the spare space.
    pub fn is_full(&self) -> bool {
        self.end == self.bytes.len() && !self.is_empty()
    }

    /// When the first bytes of the message at the front were received. `None` if the buffer is empty.
    pub fn message_began_at(&self) -> Option<Instant> {
        (!self.is_empty()).then_some(self.message_began_at)
    }

    /// When the last bytes were received. `None` if the buffer is empty.
    pub fn last_received_at(&self) -> Option<Instant> {
        (!self.is_empty()).then_some(self.last_received_at)
    }

    /// Removes `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.message_began_at = Instant::now();
        self.start += count;
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection must not keep the memory of its largest message.
            if self.bytes.len() > INITIAL_SIZE {
                self.bytes = Vec::new();
                self.reservation = None;
            }
        }
    }

    /// The free space behind the filled bytes, into which more bytes can be received. It is never empty.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::Malformed`] if the message is longer than the limit, [`ConnectionEnd::OutOfMemory`] if too few slots are
    /// free.
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
        if size > MAX_MESSAGE_BYTES && !self.slots.as_ref().is_none_or(Slots::has_quarter_free) {
            self.reserve(self.bytes.len());
            return Err(ConnectionEnd::OutOfMemory);
        }
        self.bytes.resize(size, 0);
        Ok(())
    }

    /// Reserves `size` bytes for this buffer in total. Returns false if too few are free.
    fn reserve(&mut self, size: usize) -> bool {
        let Some(slots) = &self.slots else { return true };
        if let Some(reservation) = &mut self.reservation {
            return slots.resize(reservation, size);
        }
        self.reservation = slots.reserve(size);
        self.reservation.is_some()
    }

    /// Marks the first `count` bytes of the spare space as received.
    pub fn advance(&mut self, count: usize) {
        self.last_received_at = Instant::now();
        if self.is_empty() {
            self.message_began_at = self.last_received_at;
        }
        self.end += count;
    }
}
