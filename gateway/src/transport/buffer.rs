//! The one buffer of a connection.

/// First size, and the size kept while nothing is in it: most messages fit.
const BASE: usize = 1024;

/// Bytes that came in and are not read yet. It doubles as it needs to, up to a limit, and moves what is left to
/// its front when the end is reached.
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    most: usize,
}

impl Buffer {
    pub fn new(most: usize) -> Self {
        Buffer { bytes: Vec::new(), start: 0, end: 0, most }
    }

    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Takes so many bytes off the front.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection must not keep the room of its largest message.
            if self.bytes.len() > BASE {
                self.bytes = Vec::new();
            }
        }
    }

    /// Room for more at the end; none once the limit is reached.
    pub fn room(&mut self) -> &mut [u8] {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            let size = (2 * self.bytes.len()).max(BASE).min(self.most);
            self.bytes.resize(size, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// Says that so many bytes of the room have been written.
    pub fn filled_up(&mut self, count: usize) {
        self.end += count;
    }
}
