//! The client connections that owe replies, and what each of them waits for. A shutdown waits for those that make progress.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a connection that owes a reply waits for.
#[derive(Clone, Copy)]
enum Wait {
    /// For more of a value from the server.
    Server,
    /// For the client to read, which last took bytes at this time.
    Client(Instant),
}

/// The connections that are writing replies, by their number. Clones share the same entries.
#[derive(Clone, Default)]
pub struct UnwrittenReplies(Rc<RefCell<HashMap<u64, Wait>>>);

impl UnwrittenReplies {
    /// Whether a reply is still on its way: its server has not given all of it, or its client has taken bytes within `max_pause`.
    pub fn are_progressing(&self, max_pause: Duration) -> bool {
        self.0.borrow().values().any(|wait| match wait {
            Wait::Server => true,
            Wait::Client(read_at) => read_at.elapsed() < max_pause,
        })
    }

    /// Adds the connection with this number, which begins to write replies.
    pub(super) fn enter(&self, connection: u64) -> ReplyProgress {
        let progress = ReplyProgress { connection, replies: self.clone() };
        progress.client_read();
        progress
    }
}

/// Reports the progress of one connection's replies. Removes the connection when it is dropped.
pub(super) struct ReplyProgress {
    connection: u64,
    replies: UnwrittenReplies,
}

impl ReplyProgress {
    /// The next bytes of the reply are awaited from the server.
    pub(super) fn awaits_server(&self) {
        self.set(Wait::Server);
    }

    /// The client has taken bytes, or the next bytes for it have been received.
    pub(super) fn client_read(&self) {
        self.set(Wait::Client(Instant::now()));
    }

    fn set(&self, wait: Wait) {
        self.replies.0.borrow_mut().insert(self.connection, wait);
    }
}

impl Drop for ReplyProgress {
    fn drop(&mut self) {
        self.replies.0.borrow_mut().remove(&self.connection);
    }
}
