//! The state that the actors of one gateway share, and the events by which they reach the dispatcher. An actor with a
//! mailbox runs for each server, for discovery, for the shared counter and for the dispatcher, and a task for each client
//! connection. Nothing here decides or does I/O.

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
use crate::fleet::{leases, membership, outlier_detection, subsetting};
use crate::operator::metrics;
use crate::outcome::{AttemptFailure, CounterTotal};
use crate::protocol::call::{Call, FinalAnswer, ServerReply};
use crate::protocol::catalog::EndpointUpdate;
use crate::transport::clock::Clock;
use crate::transport::limits::{Limits, Reservation};
use crate::{counter, hot_restart};

/// Events that wait in a mailbox, which has many senders. A sender of more waits.
pub const MAX_QUEUED_EVENTS: usize = 256;
/// Orders that wait in a mailbox, which has one sender. A sender of more waits.
pub const MAX_QUEUED_ORDERS: usize = 64;

/// The state that all actors of one gateway share.
pub struct Shared {
    /// Where all tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The log.
    pub log: Logger,
    /// The clock of the decision module.
    pub clock: Clock,
    /// Limits on descriptors and memory, with what is reserved of them.
    pub limits: Limits,
    /// Notified when the limits are lowered, so that idle client connections are closed.
    pub limits_lowered: event_listener::Event,
    /// Settings of the protocols and of what lies around the decision module.
    pub platform: PlatformSettings,
    /// Figures for operators.
    pub metrics: metrics::Metrics,
    /// Servers that operators have cordoned: no attempt at one of them begins.
    pub cordoned: RefCell<BTreeSet<Id>>,
    /// Start times of servers by this gateway's clock.
    pub start_times: RefCell<start_times::StartTimes>,
    /// Servers that the endpoint list says are draining: no attempt begins there either.
    pub draining: RefCell<draining::DrainingEndpoints>,
    /// Until when the endpoint list may be used, in microseconds of `boottime`. Later no attempt begins.
    pub endpoints_fresh_until: Cell<Micros>,
    /// Whether servers are known, so that requests can be served.
    pub ready: Cell<bool>,
    /// Whether clients are accepted.
    pub listening: Cell<bool>,
    /// When the graceful shutdown began, if it has.
    pub shutting_down_since: Cell<Option<Instant>>,
    /// From when on a client may get a reply to a protocol error again.
    pub next_protocol_error: Cell<Instant>,
    /// The ticket of the next reply handle.
    pub next_ticket: Cell<u64>,
    /// The exchange with the other processes of this gateway, where the listening socket is inherited.
    pub hot_restart: OnceCell<Rc<hot_restart::Link>>,
    /// Whether membership is configured. It may start late, when another process of this gateway lets its address go.
    pub joins_membership: bool,
    /// Updates of shared counters to deliver when membership starts.
    pub undelivered_updates: RefCell<membership::UndeliveredUpdates>,
    /// Membership, once it runs.
    pub membership: OnceCell<Rc<membership::Membership>>,
    /// Leases of the fleet, once they run.
    pub leases: OnceCell<Rc<leases::Leases>>,
    /// Subsetting, where it is configured and runs.
    pub subsetting: OnceCell<Rc<subsetting::Subsetting>>,
    /// Shared outlier detection, where it is configured and runs.
    pub outlier_detection: OnceCell<Rc<outlier_detection::OutlierDetection>>,
}

impl Shared {
    /// Whether this process serves new clients.
    pub fn is_serving(&self) -> bool {
        self.ready.get() && self.listening.get() && self.shutting_down_since.get().is_none()
    }

    /// Whether another process of this gateway accepts clients from the same socket once this one ends.
    pub fn has_successor(&self) -> bool {
        self.hot_restart.get().is_some_and(|link| link.has_successor())
    }

    /// Applies the start times and draining servers of a list from discovery. They count from now on, also before the
    /// dispatcher handles the list.
    pub fn apply_list(&self, members: &mut EndpointUpdate) {
        let least_age = |unix| self.clock.least_age(unix);
        self.start_times.borrow_mut().apply_new(self.clock.now(), least_age, members);
        self.draining.borrow_mut().apply(members);
    }

    /// The same for the list that was known before the gateway started.
    pub fn apply_known_list(&self, members: &mut EndpointUpdate) {
        let least_age = |unix| self.clock.least_age(unix);
        self.start_times.borrow_mut().apply(self.clock.now(), least_age, members);
        self.draining.borrow_mut().apply(members);
    }
}

/// What the dispatcher handles.
pub enum Event {
    /// A client has sent a request.
    RequestReceived(ReceivedRequest),
    /// The client of a request, by its id and the ticket of its reply handle, has disconnected.
    ClientDisconnected(Id, u64),
    /// A response has begun that is too long to be buffered whole.
    ResponseStarted {
        /// The id of the request.
        request: Id,
        /// The number of the attempt.
        attempt: usize,
        /// The response as it arrives.
        flow: ResponseStream,
    },
    /// An attempt has a result.
    AttemptCompleted(CompletedAttempt),
    /// A health check has a result.
    HealthCheckCompleted {
        /// The server.
        server: Id,
        /// Its load report, or why there is none.
        end: Result<LoadReport, AttemptFailure>,
    },
    /// A query of the shared counter has a result.
    CounterReplied {
        /// The counter's key.
        key: Box<str>,
        /// The total, or why there is none.
        end: Result<CounterTotal, AttemptFailure>,
        /// How long the query took, in microseconds.
        elapsed: Micros,
    },
    /// The total that the gateways know by gossip, as the shared counter is lost.
    GossipTotalKnown {
        /// The counter's key.
        key: Box<str>,
        /// The total, or why there is none.
        end: Result<CounterTotal, AttemptFailure>,
    },
    /// Queries of the shared counter go to another actor from now on.
    CounterReplaced(Option<Sender<counter::CounterUpdate>>),
    /// There is an update of the endpoint list.
    EndpointsUpdated(EndpointUpdate),
    /// Discovery has given no list that can be used.
    EndpointsUnavailable,
    /// These endpoints are draining by a list that can't be used otherwise.
    EndpointsDraining(Vec<Id>),
    /// The subset of this gateway is to be updated.
    SubsettingDue,
    /// Shared outlier detection is to be updated.
    OutlierDetectionDue,
    /// Discovery has given no list in time after the start.
    EndpointsLate,
}

impl Event {
    /// The log's name for a loop iteration that handles this event.
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

/// A request as it arrives at the dispatcher.
pub struct ReceivedRequest {
    /// What the client wants.
    pub call: Call,
    /// Where the reply goes.
    pub reply: ReplyHandle,
    /// When the request was complete.
    pub received_at: Instant,
}

/// Where the final reply goes, with the limits that the request uses until the reply is written.
pub struct ReplyHandle {
    /// Unique in the gateway, as several clients may use one request id.
    pub ticket: u64,
    /// Position of the request on its connection.
    pub number: u64,
    /// The connection's task.
    pub sender: Sender<(u64, FinalReply, Reservations)>,
    /// Reservations that the request holds.
    pub reservations: Reservations,
}

/// The final reply to a client.
pub enum FinalReply {
    /// It is all there.
    Complete(FinalAnswer),
    /// It is a value that is still arriving.
    Streamed(ResponseStream),
}

/// A value that is forwarded as it arrives. Where the pieces end without [`Piece::End`], the value is incomplete.
pub struct ResponseStream {
    /// Length of the whole value in bytes.
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

/// The reservation of one open request, and that of its bytes.
pub type Reservations = [Reservation; 2];

/// The result of one attempt.
pub struct CompletedAttempt {
    /// The id of the request.
    pub request: Id,
    /// The number of the attempt.
    pub attempt: usize,
    /// The server.
    pub server: Id,
    /// The server's reply and load report, or why there are none.
    pub end: Result<(ServerReply, LoadReport), AttemptFailure>,
    /// How long the attempt took until its end was seen here, in microseconds.
    pub elapsed: Micros,
    /// For how much of that time what had come from the server lay here unread, in microseconds.
    pub read_delay: Micros,
}
