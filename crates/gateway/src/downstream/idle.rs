//! The connections that could be evicted, and which of them goes first.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;

/// How long a client's first command may be on its way once it has connected. Danger: a client that is evicted before it has
/// asked comes back, and has another one evicted.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(250);

/// What a connection without a request in flight is doing. The less has come on it, the less likely is another command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleState {
    /// It waits for the permit to be sent an error about its command.
    AwaitsError,
    /// No command has come on it yet.
    NeverAsked,
    /// One command has come.
    AskedOnce,
    /// More than one has come.
    AskedAgain,
    /// It has given up its slot, and is only read until the client closes it, so that what crosses its end meets no reset.
    Lingering,
}

impl IdleState {
    const COUNT: usize = 5;

    /// The state of an idle connection on which so many commands have come.
    pub(super) fn after_commands(count: u64) -> Self {
        match count {
            0 => IdleState::NeverAsked,
            1 => IdleState::AskedOnce,
            _ => IdleState::AskedAgain,
        }
    }
}

/// Since when a connection has been in its state, and the connection's number.
type Key = (Instant, u64);

/// A connection that is to end. It does at its next loop iteration, unless something has come on it meanwhile.
pub(super) struct Eviction {
    notify: Sender<()>,
    pub(super) awaits_error: bool,
}

impl Eviction {
    /// Notifies the connection.
    pub(super) fn request(&self) {
        let _ = self.notify.try_send(());
    }

    /// Waits until the connection has ended or given up its slot.
    pub(super) async fn completed(&self) {
        self.notify.closed().await;
    }
}

/// The senders that notify connections of their eviction, by state.
type NotifiersByState = [BTreeMap<Key, Sender<()>>; IdleState::COUNT];

/// The connections of one listener by state; in each, the one that is longest in it first. Clones are handles to the same table.
#[derive(Clone, Default)]
pub(super) struct IdleConnections(Rc<RefCell<NotifiersByState>>);

/// The presence of a connection in the table; dropped, it takes the connection out.
pub(super) struct IdleEntry {
    table: IdleConnections,
    state: IdleState,
    key: Key,
}

impl Drop for IdleEntry {
    fn drop(&mut self) {
        self.table.0.borrow_mut()[self.state as usize].remove(&self.key);
    }
}

impl IdleConnections {
    /// Enters a connection, which is evicted by a message to `notify`.
    pub(super) fn enter(
        &self,
        state: IdleState,
        since: Instant,
        connection: u64,
        notify: Sender<()>,
    ) -> IdleEntry {
        let key = (since, connection);
        self.0.borrow_mut()[state as usize].insert(key, notify);
        IdleEntry { table: self.clone(), state, key }
    }

    /// Takes out the connection that is to make room for another: one that awaits an error, or one that has not asked for longer than
    /// a first command takes; else one that asked once, else one that has not asked, else the longest idle.
    pub(super) fn take_evictee(&self) -> Option<Eviction> {
        if let Some(eviction) = self.take_first(IdleState::AwaitsError) {
            return Some(eviction);
        }
        if self.longest_in(IdleState::NeverAsked).is_some_and(|idle_for| idle_for >= FIRST_COMMAND_GRACE) {
            return self.take_first(IdleState::NeverAsked);
        }
        self.take_asked_once(0)
            .or_else(|| self.take_first(IdleState::NeverAsked))
            .or_else(|| self.take_first(IdleState::AskedAgain))
    }

    /// Takes out a random one of the connections that asked once, where more than `max_kept` are idle. Danger: connection pools that
    /// use their connections in turn. The longest idle is the next to ask there, so that evicting always that one
    /// keeps every connection of the pool from asking again.
    pub(super) fn take_asked_once(&self, max_kept: usize) -> Option<Eviction> {
        let asked_once = &mut self.0.borrow_mut()[IdleState::AskedOnce as usize];
        if asked_once.len() <= max_kept {
            return None;
        }
        let key = *asked_once.keys().nth(rand::random::<usize>() % asked_once.len())?;
        let notify = asked_once.remove(&key)?;
        Some(Eviction { notify, awaits_error: false })
    }

    /// Takes out the connection that has lingered for longest.
    pub(super) fn take_longest_lingering(&self) -> Option<Eviction> {
        self.take_first(IdleState::Lingering)
    }

    fn take_first(&self, state: IdleState) -> Option<Eviction> {
        let (_, notify) = self.0.borrow_mut()[state as usize].pop_first()?;
        Some(Eviction { notify, awaits_error: state == IdleState::AwaitsError })
    }

    /// For how long the first connection in a state has been in it.
    fn longest_in(&self, state: IdleState) -> Option<Duration> {
        let states = self.0.borrow();
        let ((since, _), _) = states[state as usize].first_key_value()?;
        Some(since.elapsed())
    }
}
