//! The idle connections, and the order in which they are evicted.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;

/// How long the first command of a client may take to arrive after the client has connected. Danger: a client that is evicted
/// before its first command connects again, and causes another eviction.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(250);

/// The state of a connection without a request in flight. The fewer commands have arrived on it, the less likely is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleState {
    /// The connection waits for the permit to send an error reply.
    AwaitingErrorPermit,
    /// No command has arrived yet.
    NoCommand,
    /// One command has arrived.
    OneCommand,
    /// More than one command has arrived.
    MoreCommands,
    /// The connection has freed its slot, and is only read until the client closes it, so that the client gets no reset.
    Lingering,
}

impl IdleState {
    const COUNT: usize = 5;

    /// The state of an idle connection on which `count` commands have arrived.
    pub(super) fn after_commands(count: u64) -> Self {
        match count {
            0 => IdleState::NoCommand,
            1 => IdleState::OneCommand,
            _ => IdleState::MoreCommands,
        }
    }
}

/// The time when a connection entered its state, and the connection's number.
type Key = (Instant, u64);

/// A connection to evict. It ends at its next loop iteration, unless bytes have arrived on it meanwhile.
pub(super) struct Eviction {
    notify: Sender<()>,
    pub(super) was_awaiting_error_permit: bool,
}

impl Eviction {
    /// Notifies the connection that it is evicted.
    pub(super) fn request(&self) {
        let _ = self.notify.try_send(());
    }

    /// Waits until the connection has ended or freed its slot.
    pub(super) async fn completed(&self) {
        self.notify.closed().await;
    }
}

/// The senders that notify connections of their eviction, by state.
type NotifiersByState = [BTreeMap<Key, Sender<()>>; IdleState::COUNT];

/// The idle connections of one listener by state, those longest in a state first. Clones are handles to the same table.
#[derive(Clone, Default)]
pub(super) struct IdleConnections(Rc<RefCell<NotifiersByState>>);

/// The entry of a connection in the table. Dropping it removes the connection from the table.
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
    /// Adds a connection, which is evicted by a message to `notify`.
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

    /// Removes the connection to evict next. In order of preference: one that awaits the permit for an error reply; one without a
    /// command for at least [`FIRST_COMMAND_GRACE`]; one with a single command; any other without a command; the longest idle.
    pub(super) fn take_evictee(&self) -> Option<Eviction> {
        if let Some(eviction) = self.take_first(IdleState::AwaitingErrorPermit) {
            return Some(eviction);
        }
        if self.longest_in(IdleState::NoCommand).is_some_and(|idle_for| idle_for >= FIRST_COMMAND_GRACE) {
            return self.take_first(IdleState::NoCommand);
        }
        self.take_after_one_command(0)
            .or_else(|| self.take_first(IdleState::NoCommand))
            .or_else(|| self.take_first(IdleState::MoreCommands))
    }

    /// Removes a random connection with a single command if more than `max_kept` of them are idle. Danger: connection pools that
    /// use their connections in rotation. There the longest idle connection is the next to be used, so always evicting that one
    /// would prevent every connection of the pool from being used again.
    pub(super) fn take_after_one_command(&self, max_kept: usize) -> Option<Eviction> {
        let after_one_command = &mut self.0.borrow_mut()[IdleState::OneCommand as usize];
        if after_one_command.len() <= max_kept {
            return None;
        }
        let key = *after_one_command.keys().nth(rand::random::<usize>() % after_one_command.len())?;
        let notify = after_one_command.remove(&key)?;
        Some(Eviction { notify, was_awaiting_error_permit: false })
    }

    /// Removes the connection that has lingered longest.
    pub(super) fn take_longest_lingering(&self) -> Option<Eviction> {
        self.take_first(IdleState::Lingering)
    }

    fn take_first(&self, state: IdleState) -> Option<Eviction> {
        let (_, notify) = self.0.borrow_mut()[state as usize].pop_first()?;
        Some(Eviction { notify, was_awaiting_error_permit: state == IdleState::AwaitingErrorPermit })
    }

    /// How long the first connection in a state has been in that state.
    fn longest_in(&self, state: IdleState) -> Option<Duration> {
        let states = self.0.borrow();
        let ((since, _), _) = states[state as usize].first_key_value()?;
        Some(since.elapsed())
    }
}
