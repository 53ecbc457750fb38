//! Who does what: an actor with a mailbox for each server, for the list, for the counter and for the module, and
//! a task for each client's connection.

pub mod client;
pub mod counter;
pub mod figures;
pub mod handover;
pub mod host;
pub mod leavers;
pub mod list;
pub mod module;
mod not_taken;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod starts;
pub mod turns;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Id, LoadReport, Micros};
use slog::Logger;

use crate::fleet::{mesh, owners, signals, subsets};
use crate::protocol::call::{Answer, Call, Said};
use crate::protocol::catalog::Members;
use crate::transport::clock::Clock;
use crate::transport::limits::{Limits, Place};
use outcome::{Lost, Told};

/// Orders or events that wait in a mailbox at most; who sends more is held back until there is room. Events come
/// from many, orders from one.
pub const MOST_EVENTS: usize = 256;
pub const MOST_ORDERS: usize = 64;

/// What all parts of one gateway share.
pub struct Shared {
    pub executor: Rc<LocalExecutor<'static>>,
    pub log: Logger,
    pub clock: Clock,
    pub limits: Limits,
    /// There are fewer places than before: idle clients make room.
    pub tightened: event_listener::Event,
    pub outside: PlatformSettings,
    pub figures: figures::Figures,
    /// Servers that the operators have taken out of use: no trip to one of them begins.
    pub cordoned: RefCell<BTreeSet<Id>>,
    /// When servers started, by this gateway's clock.
    pub starts: RefCell<starts::StartTimes>,
    /// Servers that the list says to leave: none begins there either.
    pub left: RefCell<leavers::Leavers>,
    /// Until when what is known of the servers may be used, by the clock of the fleet's jobs: older, no trip begins.
    pub list_fresh_until: Cell<Micros>,
    /// Servers are known, so that transactions can be served.
    pub ready: Cell<bool>,
    /// Clients are accepted.
    pub listening: Cell<bool>,
    /// Since when this gateway ends: answers what has come and still comes, and takes leave of clients.
    pub stopping: Cell<Option<Instant>>,
    /// From when on a client may be told that it asked wrongly.
    pub next_wrong: Cell<Instant>,
    /// Tickets given out.
    pub tickets: Cell<u64>,
    /// The way to the other processes of this gateway, where the clients' listening socket is passed on.
    pub handover: OnceCell<Rc<handover::Link>>,
    /// There is to be a way to other gateways: at once, or when another process of this one has let it go.
    pub speaks: bool,
    /// What they are to be told as soon as there is.
    pub untold: RefCell<mesh::Untold>,
    /// The way to other gateways, where there is one.
    pub mesh: OnceCell<Rc<mesh::Mesh>>,
    /// Jobs of the fleet, where it has any.
    pub owners: OnceCell<Rc<owners::Owners>>,
    /// Which servers this gateway uses, where they are dealt out among all.
    pub subsets: OnceCell<Rc<subsets::Subsets>>,
    /// What gateways tell each other of servers, where they do.
    pub signals: OnceCell<Rc<signals::Signals>>,
}

impl Shared {
    /// Whether this process serves clients that come now.
    pub fn serves(&self) -> bool {
        self.ready.get() && self.listening.get() && self.stopping.get().is_none()
    }

    /// Goes by a list that discovery has given: when servers started, and who leaves, counts from this moment on, also while
    /// the module has not heard of it.
    pub fn reads_list(&self, members: &mut Members) {
        let least_age = |unix| self.clock.least_age(unix);
        self.starts.borrow_mut().read_news(self.clock.now(), least_age, members);
        self.left.borrow_mut().read(members);
    }

    /// The same for the list that was known before the start.
    pub fn reads_known(&self, members: &mut Members) {
        let least_age = |unix| self.clock.least_age(unix);
        self.starts.borrow_mut().read(self.clock.now(), least_age, members);
        self.left.borrow_mut().read(members);
    }
}

/// What happens, for the module.
pub enum Event {
    Asked(Asked),
    /// The client has gone that asked for this under this ticket.
    Dropped(Id, u64),
    /// The answer has begun to come, and is too long to be kept whole.
    Flowing {
        transaction: Id,
        trip: usize,
        flow: Flow,
    },
    Returned(Return),
    Probed {
        server: Id,
        end: Result<LoadReport, Lost>,
    },
    Counted {
        count: Box<str>,
        end: Result<Told, Lost>,
        took: Micros,
    },
    /// What the gateways know of a count together, as the counter is lost.
    Known {
        count: Box<str>,
        end: Result<Told, Lost>,
    },
    /// From now on calls to the counter go to this actor.
    Counter(Option<Sender<counter::Add>>),
    List(Members),
    ListFailed,
    /// An answer was refused, and these are what it says to leave.
    Leaving(Vec<Id>),
    /// It is time to look at which servers this gateway is to use.
    Subsets,
    /// It is time to look at what other gateways say of servers.
    Signals,
    /// Discovery has not answered for a while after the start.
    ListLate,
}

impl Event {
    /// What the log calls a turn that handles this.
    pub fn name(&self) -> &'static str {
        match self {
            Event::Asked(_) => "request",
            Event::Dropped(..) => "cancel",
            Event::Flowing { .. } => "streaming answer",
            Event::Returned(_) => "attempt's end",
            Event::Probed { .. } => "probe's end",
            Event::Counted { .. } | Event::Known { .. } => "shared counter",
            Event::Counter(_) => "new counter",
            Event::List(_) => "server list",
            Event::ListFailed | Event::ListLate => "failed server list",
            Event::Leaving(_) => "refused server list",
            Event::Subsets => "subsets",
            Event::Signals => "signals",
        }
    }
}

pub struct Asked {
    pub call: Call,
    pub reply: Reply,
    pub came: Instant,
}

/// Where the final answer goes, and the places that the transaction takes until it is written.
pub struct Reply {
    /// Tells apart those who use one id, as only one of them has it.
    pub ticket: u64,
    pub number: u64,
    pub to: Sender<(u64, Final, Places)>,
    pub places: Places,
}

/// The final answer to a client.
pub enum Final {
    Whole(Answer),
    Flow(Flow),
}

/// A value that is passed on as it comes. Where its pieces end without the last word, it has broken off.
pub struct Flow {
    pub length: usize,
    pub pieces: Receiver<Piece>,
}

pub enum Piece {
    Bytes(Vec<u8>),
    /// The value has come whole.
    End,
}

/// A place among the transactions that are open, and one for the bytes of it.
pub type Places = [Place; 2];

/// The end of one trip.
pub struct Return {
    pub transaction: Id,
    pub trip: usize,
    pub server: Id,
    pub end: Result<(Said, LoadReport), Lost>,
    pub took: Micros,
}
