//! Until when an exchange with a server may go on, at each of its stages.

use std::time::{Duration, Instant};

use crate::transport::connection::MessageLimits;
use crate::transport::ending::ConnectionEnd;

/// How long a server may pause in the middle of a reply that is not forwarded yet.
const MAX_REPLY_PAUSE: Duration = Duration::from_secs(2);
/// How long before the deadline a long value that has begun is forwarded, however little of it has been received: its client has
/// to get the first bytes in time, and before the engine gives the request up.
const STREAM_MARGIN: Duration = Duration::from_millis(30);

/// The times that bound an exchange.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBounds {
    /// When the exchange ends without a reply.
    pub deadline: Instant,
    /// When the first byte of the reply must have been received; `None` if only the deadline bounds it.
    pub first_byte_by: Option<Instant>,
    /// From when on a server that pauses in the middle of its reply is given up; `None` if it may pause as long as before.
    pub stalled_from: Option<Instant>,
    /// When the last byte of the command must have been written; `None` if only the deadline bounds it.
    pub send_before: Option<Instant>,
}

impl AttemptBounds {
    /// Bounds by a deadline alone.
    pub fn until(deadline: Instant) -> Self {
        AttemptBounds { deadline, first_byte_by: None, stalled_from: None, send_before: None }
    }

    /// How long the server can count on this gateway's waiting.
    pub(super) fn announced_time(&self) -> Duration {
        self.reply_begins_by().saturating_duration_since(Instant::now())
    }

    fn reply_begins_by(&self) -> Instant {
        self.first_byte_by.map_or(self.deadline, |first_byte_by| first_byte_by.min(self.deadline))
    }

    /// When the whole command must have been written, and the end of an exchange that misses it: `late` after the deadline.
    pub(super) fn send_deadline(&self, late: ConnectionEnd) -> (Instant, ConnectionEnd) {
        let reply_by = self.reply_begins_by();
        match self.send_before {
            Some(send_before) if send_before < reply_by => (send_before, ConnectionEnd::KeyExpired),
            _ => (reply_by, late),
        }
    }

    /// When a long value is forwarded with what has been received of it.
    pub(super) fn stream_at(&self) -> Instant {
        self.deadline.checked_sub(STREAM_MARGIN).unwrap_or(self.deadline)
    }

    /// When a server whose last bytes were received at `paused_since` is given up.
    pub(super) fn give_up_at(&self, paused_since: Instant) -> Instant {
        let longest = paused_since + MAX_REPLY_PAUSE;
        self.stalled_from.map_or(longest, |stalled_from| longest.min(stalled_from))
    }

    /// The limits of the wait for a message until `deadline`, which ends early when the server pauses for `max_pause`.
    pub(super) fn message_limits(&self, deadline: Instant, max_pause: Duration) -> MessageLimits {
        let begin_by = self.reply_begins_by().min(deadline);
        MessageLimits { begin_by, ..MessageLimits::new(deadline, max_pause) }
    }
}
