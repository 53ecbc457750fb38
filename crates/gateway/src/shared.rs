//! Who does what: an actor with a mailbox for each server, for the list, for the counter and for the module, and
//! a task for each client's connection.

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

/// Orders or events that wait in a mailbox at most; who sends more is held back until there is room. Events come
/// from many, orders from one.
pub const MAX_QUEUED_EVENTS: usize = 256;
pub const MAX_QUEUED_ORDERS: usize = 64;

/// What all parts of one gateway share.
pub struct Shared {
    pub executor: Rc<LocalExecutor<'static>>,
    pub log: Logger,
    pub clock: Clock,
    pub limits: Limits,
    /// There are fewer places than before: idle clients make room.
    pub limits_lowered: event_listener::Event,
    pub platform: PlatformSettings,
    pub metrics: metrics::Metrics,
    /// Servers that the operators have taken out of use: no trip to one of them begins.
    pub cordoned: RefCell<BTreeSet<Id>>,
    /// When servers started, by this gateway's clock.
    pub start_times: RefCell<start_times::StartTimes>,
    /// Servers that the list says to leave: none begins there either.
    pub draining: RefCell<draining::DrainingEndpoints>,
    /// Until when what is known of the servers may be used, by the clock of the fleet's jobs: older, no trip begins.
    pub endpoints_fresh_until: Cell<Micros>,
    /// Servers are known, so that transactions can be served.
    pub ready: Cell<bool>,
    /// Clients are accepted.
    pub listening: Cell<bool>,
    /// Since when this gateway ends: answers what has come and still comes, and takes leave of clients.
    pub shutting_down_since: Cell<Option<Instant>>,
    /// From when on a client may be told that it asked wrongly.
    pub next_protocol_error: Cell<Instant>,
    /// Tickets given out.
    pub next_ticket: Cell<u64>,
    /// The way to the other processes of this gateway, where the clients' listening socket is passed on.
    pub hot_restart: OnceCell<Rc<hot_restart::Link>>,
    /// There is to be a way to other gateways: at once, or when another process of this one has let it go.
    pub joins_membership: bool,
    /// What they are to be told as soon as there is.
    pub undelivered_updates: RefCell<membership::UndeliveredUpdates>,
    /// The way to other gateways, where there is one.
    pub membership: OnceCell<Rc<membership::Membership>>,
    /// Jobs of the fleet, where it has any.
    pub leases: OnceCell<Rc<leases::Leases>>,
    /// Which servers this gateway uses, where they are dealt out among all.
    pub subsetting: OnceCell<Rc<subsetting::Subsetting>>,
    /// What gateways tell each other of servers, where they do.
    pub outlier_detection: OnceCell<Rc<outlier_detection::OutlierDetection>>,
}

impl Shared {
    /// Whether this process serves clients that come now.
    pub fn is_serving(&self) -> bool {
        self.ready.get() && self.listening.get() && self.shutting_down_since.get().is_none()
    }

    /// Goes by a list that discovery has given: when servers started, and who leaves, counts from this moment on, also while
    /// the module has not heard of it.
    pub fn apply_list(&self, members: &mut EndpointUpdate) {
        let least_age = |unix| self.clock.least_age(unix);
        self.start_times.borrow_mut().read_news(self.clock.now(), least_age, members);
        self.draining.borrow_mut().read(members);
    }

    /// The same for the list that was known before the start.
    pub fn apply_known_list(&self, members: &mut EndpointUpdate) {
        let least_age = |unix| self.clock.least_age(unix);
        self.start_times.borrow_mut().read(self.clock.now(), least_age, members);
        self.draining.borrow_mut().read(members);
    }
}

/// What happens, for the module.
pub enum Event {
    RequestReceived(ReceivedRequest),
    /// The client has gone that asked for this under this ticket.
    ClientDisconnected(Id, u64),
    /// The answer has begun to come, and is too long to be kept whole.
    ResponseStarted {
        request: Id,
        attempt: usize,
        flow: ResponseStream,
    },
    AttemptCompleted(CompletedAttempt),
    HealthCheckCompleted {
        server: Id,
        end: Result<LoadReport, AttemptFailure>,
    },
    CounterReplied {
        key: Box<str>,
        end: Result<CounterTotal, AttemptFailure>,
        elapsed: Micros,
    },
    /// What the gateways know of a count together, as the counter is lost.
    GossipTotalKnown {
        key: Box<str>,
        end: Result<CounterTotal, AttemptFailure>,
    },
    /// From now on calls to the counter go to this actor.
    CounterReplaced(Option<Sender<counter::Add>>),
    EndpointsUpdated(EndpointUpdate),
    EndpointsUnavailable,
    /// An answer was refused, and these are what it says to leave.
    EndpointsDraining(Vec<Id>),
    /// It is time to look at which servers this gateway is to use.
    SubsettingDue,
    /// It is time to look at what other gateways say of servers.
    OutlierDetectionDue,
    /// Discovery has not answered for a while after the start.
    EndpointsLate,
}

impl Event {
    /// What the log calls a turn that handles this.
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

pub struct ReceivedRequest {
    pub call: Call,
    pub reply: ReplyHandle,
    pub received_at: Instant,
}

/// Where the final answer goes, and the places that the transaction takes until it is written.
pub struct ReplyHandle {
    /// Tells apart those who use one id, as only one of them has it.
    pub ticket: u64,
    pub number: u64,
    pub to: Sender<(u64, FinalReply, Reservations)>,
    pub places: Reservations,
}

/// The final answer to a client.
pub enum FinalReply {
    Complete(FinalAnswer),
    Streamed(ResponseStream),
}

/// A value that is passed on as it comes. Where its pieces end without the last word, it has broken off.
pub struct ResponseStream {
    pub length: usize,
    pub pieces: Receiver<Piece>,
}

pub enum Piece {
    Bytes(Vec<u8>),
    /// The value has come whole.
    End,
}

/// A place among the transactions that are open, and one for the bytes of it.
pub type Reservations = [Reservation; 2];

/// The end of one trip.
pub struct CompletedAttempt {
    pub request: Id,
    pub attempt: usize,
    pub server: Id,
    pub end: Result<(ServerReply, LoadReport), AttemptFailure>,
    pub elapsed: Micros,
}
