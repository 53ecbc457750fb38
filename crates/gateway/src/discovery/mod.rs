//! The actor of the list: one call to discovery after another, each for what is newer than the last.

pub mod draining;
pub mod start_times;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{future, StreamExt};
use serde_json::Value;
use slog::{info, warn};

use crate::protocol::catalog::{self, EndpointUpdate, KnownEndpoints, ListError, SlicedReader};
use crate::protocol::http;
use crate::shared::{Event, Shared};
use crate::transport::buffer::Buffer;
use crate::transport::clock::yield_between_slices;
use crate::transport::connection::{within, Connection};
use crate::transport::ending::ConnectionEnd;
use crate::transport::loop_timer::Turn as LoopIteration;

/// How long a call may wait for something new, at least and at most, and how much later its answer is given up, where a
/// service has the list that all gateways ask: each call costs it work, and one that takes a second more has nothing to say.
/// Danger: all watches fall silent at one time. Each is opened anew when its wait is over, what it missed counts two seconds
/// later, and the service answers one call after another: the waits of a fleet must not end together.
const MIN_WATCH: Duration = Duration::from_secs(10);
const MAX_WATCH: Duration = Duration::from_secs(20);
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// The same at an agent of this gateway's own, whose answers cost nothing and come at once. Danger: a watch that falls
/// silent. Servers drain meanwhile, and all that the agent knows of it counts as told some seconds later.
const AGENT_WATCH: Duration = Duration::from_secs(2);
const AGENT_WATCH_GRACE: Duration = Duration::from_millis(250);

/// How long the whole list is waited for: where all gateways ask for it at once, calls wait in turn, and one given up
/// early is served for nobody and asked again. A gateway that knows servers from before does not wait for it. An agent
/// is asked again meanwhile, on another connection, and whichever answers first is heard.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after an answer with nothing new that did not wait for any: an agent that never waits would be asked
/// without end. The next call still comes soon enough to go on with the watch.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

pub enum Order {
    Follow(bool),
    Fetch,
    /// Discovery is at another address now.
    Move(SocketAddr),
    /// From now on the gateways ask for each other: nothing is followed here, only what they want is asked.
    ByFleet,
    /// Ask for what is newer than this, or for all, and give the answer as it is.
    Ask(Option<u64>, Sender<Option<Value>>),
}

pub struct List {
    pub shared: Rc<Shared>,
    pub events: Sender<Event>,
    discovery: SocketAddr,
    connection: Option<Connection>,
    /// An agent has not answered on this one in time, and may yet, until then: one that is slow must not go unheard.
    late_connection: Option<(Connection, Instant)>,
    is_watching: bool,
    is_led_by_fleet: bool,
    /// The version that the next call starts from.
    index: Option<u64>,
    /// No answer has come yet, or none to the last call: the next asks for no wait, as whoever speaks again has news.
    must_poll: bool,
    /// None has come from where discovery is now.
    has_moved: bool,
    known: KnownEndpoints,
}

impl List {
    /// With the version of the list that was known before the start, if there was one.
    pub fn new(
        shared: &Rc<Shared>,
        events: &Sender<Event>,
        discovery: SocketAddr,
        index: Option<u64>,
    ) -> Self {
        List {
            shared: shared.clone(),
            events: events.clone(),
            discovery,
            connection: None,
            late_connection: None,
            is_watching: false,
            is_led_by_fleet: false,
            index,
            must_poll: true,
            has_moved: false,
            known: KnownEndpoints::default(),
        }
    }

    pub async fn run(mut self, mailbox: Receiver<Order>) {
        let events = self.events.clone();
        let late = async move {
            Timer::after(WATCH_GRACE).await;
            drop(events.send(Event::EndpointsLate).await);
        };
        self.shared.executor.spawn(late).detach();
        let mut mailbox = std::pin::pin!(mailbox);
        loop {
            let (is_watching, began) = (self.is_watching, Instant::now());
            let fetch = async {
                if !is_watching {
                    future::pending::<()>().await;
                }
                Input::Fetched(self.fetch(self.index).await)
            };
            // An order ends the call that is under way, and its connection with it; few ever come.
            let order = async { Input::Order(mailbox.next().await) };
            match future::or(fetch, order).await {
                Input::Order(Some(Order::Follow(on))) => self.is_watching = on && !self.is_led_by_fleet,
                Input::Order(Some(Order::ByFleet)) => {
                    (self.is_led_by_fleet, self.is_watching) = (true, false)
                }
                Input::Order(Some(Order::Ask(since, to))) => {
                    let answer = self.request(since, Duration::ZERO).await;
                    let answer = answer.and_then(|body| {
                        serde_json::from_slice::<Value>(&body).map_err(|error| error.to_string())
                    });
                    if let Err(why) = &answer {
                        warn!(self.shared.log, #"discovery.failed", "discovery failed"; "why" => why);
                    }
                    drop(to.send(answer.ok()).await);
                }
                Input::Order(Some(Order::Fetch)) => {
                    self.connection = None;
                    let fetched = self.fetch(None).await;
                    self.report(fetched).await;
                }
                Input::Order(Some(Order::Move(discovery))) => {
                    // Versions are another's there. Its whole list drops what has gone meanwhile.
                    (self.discovery, self.connection, self.late_connection, self.index) =
                        (discovery, None, None, None);
                    self.has_moved = true;
                }
                Input::Order(None) => return,
                Input::Fetched(fetched) => {
                    self.is_watching &= fetched.is_ok();
                    let idle = fetched.as_ref().is_ok_and(|update| !update.full && update.servers.is_empty());
                    self.report(fetched).await;
                    if idle && began.elapsed() < self.min_watch_duration() {
                        Timer::after(MIN_POLL_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// How long the next call may wait for something new, and how much longer for its answer.
    fn watch_duration(&self) -> Duration {
        let spread = if self.shared.platform.list_is_pushed { Duration::ZERO } else { MAX_WATCH - MIN_WATCH };
        self.min_watch_duration() + spread.mul_f64(rand::random())
    }

    fn min_watch_duration(&self) -> Duration {
        if self.shared.platform.list_is_pushed {
            AGENT_WATCH
        } else {
            MIN_WATCH
        }
    }

    fn grace(&self) -> Duration {
        if self.shared.platform.list_is_pushed {
            AGENT_WATCH_GRACE
        } else {
            WATCH_GRACE
        }
    }

    async fn report(&mut self, fetched: Result<EndpointUpdate, ListError>) {
        let event = match fetched {
            // A version older than the one asked from is another list's, or of one that is behind: changes to it say nothing
            // of what is known here, and only the whole of it will do.
            Ok(update) if !update.full && self.index.is_some_and(|index| update.index < index) => {
                let (index, known) = (update.index, self.index.take());
                warn!(self.shared.log, #"discovery.older", "older than what is known"; "index" => index, "known" => known);
                self.must_poll = false;
                return;
            }
            Ok(mut update) => {
                update.moved = std::mem::take(&mut self.has_moved);
                self.shared.apply_list(&mut update);
                (self.index, self.must_poll) = (Some(update.index), false);
                Event::EndpointsUpdated(update)
            }
            Err(ListError { reason: why, index, draining: leaving }) => {
                self.must_poll = true;
                warn!(self.shared.log, #"discovery.failed", "discovery failed"; "why" => why);
                // One that is behind says nothing new of anybody.
                if !leaving.is_empty() && index >= self.index {
                    self.shared.draining.borrow_mut().leave(&leaving);
                    drop(self.events.send(Event::EndpointsDraining(leaving)).await);
                }
                Event::EndpointsUnavailable
            }
        };
        drop(self.events.send(event).await);
    }

    async fn fetch(&mut self, since: Option<u64>) -> Result<EndpointUpdate, ListError> {
        // The first is asked for what is new, and answered at once: a list from before the start may be old.
        let wait = if since.is_some() && !self.must_poll { self.watch_duration() } else { Duration::ZERO };
        let body = match self.request(since, wait).await {
            // A watch that broke or fell silent is opened anew at once, and what it missed is asked for.
            Err(why) if !wait.is_zero() => {
                warn!(self.shared.log, #"discovery.failed", "a watch broke"; "why" => why);
                self.request(since, Duration::ZERO).await
            }
            other => other,
        };
        let body = body.map_err(|why| ListError { reason: why, index: None, draining: Vec::new() })?;
        let update = self.parse(&body).await?;
        if update.full || !update.servers.is_empty() {
            let (index, full) = (update.index, update.full);
            info!(self.shared.log, #"discovery.list", "list"; "index" => index, "full" => full, "servers" => update.servers.len());
        }
        Ok(update)
    }

    /// Reads an answer slice by slice: lists of thousands of servers must not hold up what clients are owed.
    async fn parse(&mut self, body: &[u8]) -> Result<EndpointUpdate, ListError> {
        let rejected = |why| ListError { reason: why, index: None, draining: Vec::new() };
        let iteration = LoopIteration::begin("outline of a server list");
        let reader = SlicedReader::of(body);
        iteration.end(&self.shared.log);
        let mut reader = reader.map_err(rejected)?;
        while reader.read_slice(&self.known, &self.shared.platform) {
            yield_between_slices().await;
        }
        reader.end(&mut self.known)
    }

    /// Asks, and gives the body of the answer.
    async fn request(&mut self, since: Option<u64>, wait: Duration) -> Result<Vec<u8>, String> {
        let path = catalog::path(since.map(|since| (since, wait.as_millis() as u64)));
        let request = http::get(&self.discovery.to_string(), &path);
        let poll_timeout = if self.shared.platform.list_is_pushed { AGENT_WATCH_GRACE } else { POLL_TIMEOUT };
        let until = Instant::now() + if wait.is_zero() { poll_timeout } else { wait + self.grace() };
        let reused = self.connection.is_some();
        let mut response = self.exchange(&request, until).await;
        if reused && response.is_err() && Instant::now() < until {
            // The idle connection had ended; to ask again does no harm.
            response = self.exchange(&request, until).await;
        }
        let response = response.map_err(|how| format!("{how:?}"))?;
        if response.status != 200 {
            return Err(format!("status {}", response.status));
        }
        Ok(response.body)
    }

    /// The answer to a call, or to one that an agent has been late with: nothing has been heard since.
    async fn exchange(&mut self, request: &[u8], until: Instant) -> Result<http::Response, ConnectionEnd> {
        let mut late = self.late_connection.take();
        let before = async {
            if let Some((connection, until)) = &mut late {
                if let Ok(response) = answer(connection, *until).await {
                    return Ok(response);
                }
                late = None;
            }
            future::pending().await
        };
        let response = future::or(self.exchange_on_connection(request, until), before).await;
        match response {
            Ok(_) => self.late_connection = None,
            Err(_) => {
                self.late_connection =
                    late.filter(|(_, until)| Instant::now() < *until).or(self.late_connection.take())
            }
        }
        response
    }

    async fn exchange_on_connection(
        &mut self,
        request: &[u8],
        until: Instant,
    ) -> Result<http::Response, ConnectionEnd> {
        let mut connection = match self.connection.take().filter(Connection::has_no_input) {
            Some(connection) => connection,
            None => {
                let buffer = Buffer::new(http::MOST_MESSAGE, None);
                Connection::connect(self.discovery, self.grace(), buffer, None).await?
            }
        };
        within(until, ConnectionEnd::Silent, connection.write(request)).await?;
        let response = answer(&mut connection, until).await;
        match &response {
            Ok(response) => self.connection = Some(connection).filter(|_| response.keep),
            Err(ConnectionEnd::Silent) if self.shared.platform.list_is_pushed => {
                self.late_connection = Some((connection, Instant::now() + POLL_TIMEOUT));
            }
            Err(_) => {}
        }
        response
    }
}

async fn answer(connection: &mut Connection, until: Instant) -> Result<http::Response, ConnectionEnd> {
    let mut reader = http::Reader::default();
    match connection.message(|bytes| reader.read(bytes, false), until, WATCH_GRACE).await {
        Err(ConnectionEnd::Closed) => match reader.read(connection.buffer.filled(), true) {
            Ok(Some((response, _))) => Ok(response),
            _ => Err(ConnectionEnd::Closed),
        },
        other => other,
    }
}

enum Input {
    Order(Option<Order>),
    Fetched(Result<EndpointUpdate, ListError>),
}
