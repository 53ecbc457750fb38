//! The state that the actors of one gateway share, and the events that they send to the dispatcher.
//!
//! The dispatcher, discovery, the shared counter and each server have an actor with a mailbox. Each client connection has a
//! task. This module makes no decisions and does no I/O.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Id, LoadReport, Micros};
use slog::Logger;

use crate::discovery::{draining, start_times};
use crate::downstream::UnwrittenReplies;
use crate::fleet::{leases, membership, outlier_detection, subsetting};
use crate::operator::metrics;
use crate::outcome::{AttemptFailure, CounterAnswer};
use crate::protocol::call::{Call, FinalAnswer};
use crate::protocol::catalog::EndpointUpdate;
use crate::protocol::reply::ServerReply;
use crate::transport::clock::Clock;
use crate::transport::limits::{Limits, Reservation};
use crate::transport::reply_memory::ReplyReservation;
use crate::{counter, hot_restart};

/// Capacity of a mailbox for events, which has many senders. A sender waits while the mailbox is full.
pub const MAX_QUEUED_EVENTS: usize = 256;
/// Capacity of a mailbox for orders, which has one sender. The sender waits while the mailbox is full.
pub const MAX_QUEUED_ORDERS: usize = 64;

/// The state that all actors of one gateway share.
pub struct Shared {
    /// Runs all tasks of the gateway.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The log.
    pub log: Logger,
    /// The clock of the decision module.
    pub clock: Clock,
    /// Limits on descriptors and memory, and the current reservations.
    pub limits: Limits,
    /// Notified when the limits are lowered, so that idle client connections are closed.
    pub limits_lowered: event_listener::Event,
    /// Settings of the protocols and the actors, outside the decision module.
    pub platform: PlatformSettings,
    /// Metrics for operators.
    pub metrics: metrics::Metrics,
    /// Servers that operators have cordoned. No attempt begins there.
    pub cordoned: RefCell<BTreeSet<Id>>,
    /// Start times of servers by this gateway's clock.
    pub start_times: RefCell<start_times::StartTimes>,
    /// Servers that drain or were removed according to the endpoint list. No attempt begins there.
    pub draining: RefCell<draining::DrainingEndpoints>,
    /// When the endpoint list expires, in microseconds of `boottime`. After that no attempt begins.
    pub endpoints_fresh_until: Cell<Micros>,
    /// Whether a server is ready, so that requests can be served.
    pub ready: Cell<bool>,
    /// Whether the gateway accepts client connections.
    pub listening: Cell<bool>,
    /// The replies that are being written to clients.
    pub unwritten_replies: UnwrittenReplies,
    /// When the graceful shutdown began; none before that.
    pub shutting_down_since: Cell<Option<Instant>>,
    /// The earliest time of the next reply to a protocol error. Limits the rate of these replies.
    pub next_protocol_error: Cell<Instant>,
    /// The ticket of the next reply handle.
    pub next_ticket: Cell<u64>,
    /// The link to the other processes of this gateway, if the listening socket is inherited.
    pub hot_restart: OnceCell<Rc<hot_restart::Link>>,
    /// Whether membership is configured. It may start late, once another process of this gateway releases the address.
    pub joins_membership: bool,
    /// Updates of shared counters that are gossiped once membership starts.
    pub undelivered_updates: RefCell<membership::UndeliveredUpdates>,
    /// Membership, once it runs.
    pub membership: OnceCell<Rc<membership::Membership>>,
    /// Leases of the fleet, once they run.
    pub leases: OnceCell<Rc<leases::Leases>>,
    /// Subsetting, if it is configured and runs.
    pub subsetting: OnceCell<Rc<subsetting::Subsetting>>,
    /// Shared outlier detection, if it is configured and runs.
    pub outlier_detection: OnceCell<Rc<outlier_detection::OutlierDetection>>,
}

impl Shared {
    /// Whether this process serves new clients.
    pub fn is_serving(&self) -> bool {
        self.ready.get() && self.listening.get() && self.shutting_down_since.get().is_none()
    }

    /// Whether another process of this gateway accepts clients from the same socket after this process ends.
    pub fn has_successor(&self) -> bool {
        self.hot_restart.get().is_some_and(|link| link.has_successor())
    }

    /// Applies the start times and draining servers of a list from discovery. They take effect at once, before the dispatcher
    /// handles the list.
    pub fn apply_list(&self, update: &mut EndpointUpdate) {
        let min_age = |unix| self.clock.min_age(unix);
        self.start_times.borrow_mut().apply_new(self.clock.now(), min_age, update);
        self.draining.borrow_mut().apply(update);
    }

    /// As [`Shared::apply_list`], for the endpoint list from the configuration, which is known before discovery replies.
    pub fn apply_known_list(&self, update: &mut EndpointUpdate) {
        let min_age = |unix| self.clock.min_age(unix);
        self.start_times.borrow_mut().apply(self.clock.now(), min_age, update);
        self.draining.borrow_mut().apply(update);
    }
}

/// An event for the dispatcher.
pub enum Event {
    /// A client sent a request.
    RequestReceived(ReceivedRequest),
    /// The client of a request disconnected. The request is given by its id and the ticket of its reply handle.
    ClientDisconnected(Id, u64),
    /// A response that is too long to be buffered whole has begun to arrive.
    ResponseStarted {
        /// The id of the request.
        request: Id,
        /// The number of the attempt.
        attempt: usize,
        /// The response as it arrives.
        response: ResponseStream,
    },
    /// An attempt ended.
    AttemptCompleted(CompletedAttempt),
    /// A health check ended.
    HealthCheckCompleted {
        /// The server.
        server: Id,
        /// The server's load report, or why there is none.
        end: Result<LoadReport, AttemptFailure>,
    },
    /// A call to the shared counter ended.
    CounterReplied {
        /// The counter's key.
        key: Box<str>,
        /// The total, or why there is none.
        end: Result<CounterAnswer, AttemptFailure>,
        /// How long the call took, in microseconds.
        elapsed: Micros,
    },
    /// The total that the gateways have gossiped, in place of a reply of the shared counter, which is lost.
    GossipTotalKnown {
        /// The counter's key.
        key: Box<str>,
        /// The total, or why there is none.
        end: Result<CounterAnswer, AttemptFailure>,
    },
    /// From now on calls to the shared counter go to this actor, or to none.
    CounterReplaced(Option<Sender<counter::CounterUpdate>>),
    /// The endpoint list was updated.
    EndpointsUpdated(EndpointUpdate),
    /// Discovery returned no usable list.
    EndpointsUnavailable,
    /// These endpoints are draining according to a list that was otherwise rejected.
    EndpointsDraining(Vec<Id>),
    /// The subset of this gateway is to be updated.
    SubsettingDue,
    /// Shared outlier detection is to be updated.
    OutlierDetectionDue,
    /// Discovery returned no list in time after the start of the gateway.
    EndpointsLate,
}

impl Event {
    /// The name that log records have for a loop iteration that handles this event.
    pub fn name(&self) -> &'static str {
        match self {
            Event::RequestReceived(_) => "request",
            Event::ClientDisconnected(..) => "cancel",
            Event::ResponseStarted { .. } => "streaming answer",
            Event::AttemptCompleted(_) => "attempt's end",
            Event::HealthCheckCompleted { .. } => "probe's end",
            Event::CounterReplied { .. } | Event::GossipTotalKnown { .. } => "shared counter",
            Event::CounterReplaced(_) => "new counter",
            Event::EndpointsUpdated(_) => "server list",
            Event::EndpointsUnavailable | Event::EndpointsLate => "failed server list",
            Event::EndpointsDraining(_) => "refused server list",
            Event::SubsettingDue => "subsets",
            Event::OutlierDetectionDue => "signals",
        }
    }
}

/// A request on its way to the dispatcher.
pub struct ReceivedRequest {
    /// The request as the client sent it.
    pub call: Call,
    /// Receives the final reply.
    pub reply: ReplyHandle,
    /// When the last byte of the request was received.
    pub received_at: Instant,
}

/// Sends the final reply to the client's connection task. Holds the request's reservations until the reply is written.
pub struct ReplyHandle {
    /// Identifies the handle in this gateway. The request id does not, as several clients may use the same one.
    pub ticket: u64,
    /// The number of the request on its connection.
    pub number: u64,
    /// The mailbox of the connection's task.
    pub sender: Sender<(u64, FinalReply, Reservations)>,
    /// Reservations that the request holds.
    pub reservations: Reservations,
}

/// The final reply to a client.
pub enum FinalReply {
    /// The whole reply.
    Complete(FinalAnswer),
    /// A value that is still arriving from the server.
    Streamed(ResponseStream),
}

/// A value that is forwarded while it arrives. If the channel closes before [`Piece::End`], the value is incomplete.
pub struct ResponseStream {
    /// The length of the whole value in bytes.
    pub length: usize,
    /// The value in pieces.
    pub pieces: Receiver<Piece>,
}

/// A piece of a value.
pub enum Piece {
    /// The next bytes.
    Bytes(Vec<u8>),
    /// The value is complete.
    End,
}

/// What a request in flight reserves until its reply is written.
pub struct Reservations {
    /// One of the requests that may be open.
    pub open: Reservation,
    /// The request's bytes.
    pub bytes: Reservation,
    /// The bytes of its reply.
    pub reply: ReplyReservation,
}

/// How one attempt ended.
pub struct CompletedAttempt {
    /// The id of the request.
    pub request: Id,
    /// The number of the attempt.
    pub attempt: usize,
    /// The server.
    pub server: Id,
    /// The server's reply and load report, or why there are none.
    pub end: Result<(ServerReply, LoadReport), AttemptFailure>,
    /// How long the attempt took until this process noticed its end, in microseconds.
    pub elapsed: Micros,
    /// For how long of that time data from the server waited unread in this process, in microseconds.
    pub read_delay: Micros,
}
