//! The listening socket: accepts connections, assigns slots to them, and evicts idle connections when slots are scarce.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use slog::warn;

use super::connection_task::{ConnectionTask, Context};
use super::idle::IdleConnections;
use super::PROTOCOL_ERROR_INTERVAL;
use crate::shared::{Event, Shared};
use crate::transport::buffer::Buffer;
use crate::transport::connection::{Connection, MAX_READ_AHEAD};
use crate::transport::limits::Reservation;
use crate::transport::syscall::AcceptFailure;

/// Pause before the next attempt to find a slot for a connection.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts clients and starts the tasks of their connections.
pub struct Listener {
    context: Context,
    /// Number of connections accepted so far, which is the number of the latest one.
    accepted: u64,
}

/// What the listener handles next.
enum Input {
    Accepted(std::io::Result<Async<TcpStream>>),
    LimitsLowered,
    /// No more connections are accepted.
    Closed,
}

/// The slot of a connection.
struct Slot {
    reservation: Reservation,
    /// False if there was no slot to serve the connection: then its requests are only rejected.
    is_served: bool,
}

impl Listener {
    /// `shutdown` is closed when this gateway begins to shut down.
    pub fn new(shared: &Rc<Shared>, events: &Sender<Event>, shutdown: Receiver<()>) -> Self {
        let context = Context {
            shared: shared.clone(),
            events: events.clone(),
            idle: IdleConnections::default(),
            shutdown,
        };
        Listener { context, accepted: 0 }
    }

    /// Accepts clients. At the beginning of a shutdown it stops only if a successor of this process accepts on the same socket.
    /// Without a successor it goes on, as no other process would serve clients that still connect.
    pub async fn run(mut self, listener: &Async<TcpListener>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        let shutdown = self.context.shutdown.clone();
        loop {
            let shared = self.context.shared.clone();
            let closed = async {
                if shutdown.recv().await.is_ok() || !shared.has_successor() {
                    future::pending::<()>().await;
                }
                Input::Closed
            };
            let limits_lowered = self.context.shared.limits_lowered.listen();
            let lowered = async {
                limits_lowered.await;
                Input::LimitsLowered
            };
            let accepted = async { incoming.next().await.map_or(Input::Closed, Input::Accepted) };
            match future::or(closed, future::or(lowered, accepted)).await {
                Input::Closed => return,
                Input::LimitsLowered => self.evict_surplus(),
                Input::Accepted(Ok(stream)) => self.accept(stream).await,
                Input::Accepted(Err(error)) => {
                    warn!(self.context.shared.log, #"client.not-accepted", "can't accept a client's connection"; "why" => error.to_string());
                    Timer::after(AcceptFailure::classify(&error).backoff()).await;
                }
            }
        }
    }

    /// Evicts idle connections beyond a lowered limit. Another process of this gateway now has a share of the slots, and uses
    /// them as they become free.
    fn evict_surplus(&self) {
        let clients = &self.context.shared.limits.clients;
        let surplus = clients.used().saturating_sub(clients.capacity());
        for _ in 0..surplus {
            let Some(eviction) = self.context.idle.take_evictee() else { return };
            eviction.request();
        }
    }

    async fn accept(&mut self, stream: Async<TcpStream>) {
        let Slot { reservation, is_served } = self.find_slot().await;
        self.accepted += 1;
        let buffer = Buffer::new(MAX_READ_AHEAD, Some(self.context.shared.limits.from_clients.clone()));
        let connection = Connection::new(stream, buffer, Some(reservation));
        let task = ConnectionTask::new(connection, self.context.clone(), self.accepted, is_served);
        self.context.shared.executor.spawn(task.run()).detach();
        // Many clients may connect in a row, and a connection is known to be idle only after its task has run.
        future::yield_now().await;
    }

    /// Waits for a slot: a free one, one that an evicted connection frees, or else one in which the client is only rejected.
    async fn find_slot(&self) -> Slot {
        loop {
            if let Some(reservation) = self.context.shared.limits.clients.reserve(1) {
                return Slot { reservation, is_served: true };
            }
            if let Some(eviction) = self.context.idle.take_evictee() {
                eviction.request();
                let timeout = async {
                    Timer::after(SLOT_RETRY_INTERVAL).await;
                };
                future::or(eviction.completed(), timeout).await;
                if eviction.was_awaiting_error_permit {
                    // Danger: the client may connect again at once with the same invalid command, and cause another eviction.
                    Timer::after(PROTOCOL_ERROR_INTERVAL).await;
                }
                continue;
            }
            if let Some(reservation) = self.context.shared.limits.rejected.reserve(1) {
                return Slot { reservation, is_served: false };
            }
            if let Some(lingering) = self.context.idle.take_longest_lingering() {
                lingering.request();
            }
            Timer::after(SLOT_RETRY_INTERVAL).await;
        }
    }
}
