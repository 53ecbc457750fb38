//! The actor of discovery: it watches the endpoint list, polls it when the engine wants that, and reports each list.
//!
//! It owns the version that it has come to. Which servers are used, and when a list that could not be had is polled again, is decided
//! by the engine.

mod client;
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

use self::client::{Client, RequestError};
use crate::protocol::catalog::{EndpointUpdate, KnownEndpoints, ListError, SlicedReader};
use crate::shared::{Event, Shared};
use crate::transport::clock::yield_between_slices;
use crate::transport::loop_timer::LoopIteration;

/// How long after the start a gateway that knows servers from before waits for discovery before it is ready without it.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a watch that ended early with nothing new. Danger: an agent that never waits would be polled without end.
const EARLY_END_PAUSE: Duration = Duration::from_millis(50);

/// An order to the actor. It ends the request under way.
pub enum Order {
    /// Watch the list, or stop watching.
    Watch(bool),
    /// Poll the complete list once.
    Poll,
    /// Discovery has another address from now on.
    ChangeAddress(SocketAddr),
    /// From now on one gateway polls for all: nothing is watched here, and only what the fleet orders is requested.
    LedByFleet,
    /// Request what is newer than this version, or the complete list, and give the response as it is; none where there is none.
    Request(Option<u64>, Sender<Option<Value>>),
}

/// The actor. [`DiscoveryActor::run`] serves it.
pub struct DiscoveryActor {
    shared: Rc<Shared>,
    events: Sender<Event>,
    client: Client,
    is_watching: bool,
    is_led_by_fleet: bool,
    /// The version of the last list, from which the next request starts.
    index: Option<u64>,
    /// There has been no response yet, or none to the last request: the next one does not wait for something new, as
    /// discovery has news once it responds again.
    must_poll: bool,
    /// No list has come from the present address yet.
    has_moved: bool,
    known: KnownEndpoints,
}

/// What the actor handles next.
enum Input {
    Order(Order),
    Fetched(Result<EndpointUpdate, ListError>),
    /// No more orders will come.
    Closed,
}

impl DiscoveryActor {
    /// `index` is the version of the list that was known before the start, if there was one.
    pub fn new(shared: &Rc<Shared>, events: &Sender<Event>, address: SocketAddr, index: Option<u64>) -> Self {
        DiscoveryActor {
            shared: shared.clone(),
            events: events.clone(),
            client: Client::new(shared.clone(), address),
            is_watching: false,
            is_led_by_fleet: false,
            index,
            must_poll: true,
            has_moved: false,
            known: KnownEndpoints::default(),
        }
    }

    /// Handles orders until the mailbox is closed.
    pub async fn run(mut self, mailbox: Receiver<Order>) {
        self.report_late_start();
        let mut mailbox = std::pin::pin!(mailbox);
        loop {
            let is_watching = self.is_watching;
            let began = Instant::now();
            let watch = async {
                if !is_watching {
                    future::pending::<()>().await;
                }
                Input::Fetched(self.fetch(self.index).await)
            };
            let order = async { mailbox.next().await.map_or(Input::Closed, Input::Order) };
            match future::or(watch, order).await {
                Input::Order(order) => self.handle_order(order).await,
                Input::Fetched(fetched) => self.watch_ended(fetched, began).await,
                Input::Closed => return,
            }
        }
    }

    /// Reports after a while that discovery may be late.
    fn report_late_start(&self) {
        let events = self.events.clone();
        let late = async move {
            Timer::after(START_TIMEOUT).await;
            drop(events.send(Event::EndpointsLate).await);
        };
        self.shared.executor.spawn(late).detach();
    }

    async fn handle_order(&mut self, order: Order) {
        match order {
            Order::Watch(on) => self.is_watching = on && !self.is_led_by_fleet,
            Order::LedByFleet => {
                self.is_led_by_fleet = true;
                self.is_watching = false;
            }
            Order::Request(since, reply) => {
                let response = self.request_json(since).await;
                if let Err(error) = &response {
                    warn!(self.shared.log, #"discovery.failed", "discovery failed"; "why" => error.to_string());
                }
                drop(reply.send(response.ok()).await);
            }
            Order::Poll => {
                self.client.disconnect();
                let fetched = self.fetch(None).await;
                self.report(fetched).await;
            }
            Order::ChangeAddress(address) => {
                // Versions there are another sequence, and its complete list drops what has been removed meanwhile.
                self.client.change_address(address);
                self.index = None;
                self.has_moved = true;
            }
        }
    }

    async fn watch_ended(&mut self, fetched: Result<EndpointUpdate, ListError>, began: Instant) {
        self.is_watching &= fetched.is_ok();
        let is_unchanged = fetched.as_ref().is_ok_and(|update| !update.full && update.servers.is_empty());
        self.report(fetched).await;
        if is_unchanged && began.elapsed() < self.client.min_watch() {
            Timer::after(EARLY_END_PAUSE).await;
        }
    }

    /// Reports a list, or why there is none, to the dispatcher.
    async fn report(&mut self, fetched: Result<EndpointUpdate, ListError>) {
        match fetched {
            // A version older than the one that the request started from belongs to another list, or to a discovery that is
            // behind: its changes say nothing of what is known here, and the complete list is needed.
            Ok(update) if !update.full && self.index.is_some_and(|index| update.index < index) => {
                let known = self.index.take();
                warn!(self.shared.log, #"discovery.older", "older than what is known"; "index" => update.index, "known" => known);
                self.must_poll = false;
            }
            Ok(mut update) => {
                update.moved = std::mem::take(&mut self.has_moved);
                self.shared.apply_list(&mut update);
                self.index = Some(update.index);
                self.must_poll = false;
                drop(self.events.send(Event::EndpointsUpdated(update)).await);
            }
            Err(error) => self.report_failure(error).await,
        }
    }

    async fn report_failure(&mut self, error: ListError) {
        let ListError { reason, index, draining } = error;
        self.must_poll = true;
        warn!(self.shared.log, #"discovery.failed", "discovery failed"; "why" => reason);
        // A response that is behind says nothing new of any server.
        if !draining.is_empty() && index >= self.index {
            self.shared.draining.borrow_mut().mark_draining(&draining);
            drop(self.events.send(Event::EndpointsDraining(draining)).await);
        }
        drop(self.events.send(Event::EndpointsUnavailable).await);
    }

    /// Fetches the complete list, or what is newer than a version: then the request is a watch, unless news is certain.
    async fn fetch(&mut self, since: Option<u64>) -> Result<EndpointUpdate, ListError> {
        let is_watch = since.is_some() && !self.must_poll;
        let watch = if is_watch { self.client.watch_duration() } else { Duration::ZERO };
        let body = match self.client.request(since, watch).await {
            // A watch that broke or fell silent is followed at once by a poll for what it missed.
            Err(error) if !watch.is_zero() => {
                warn!(self.shared.log, #"discovery.failed", "a watch broke"; "why" => error.to_string());
                self.client.request(since, Duration::ZERO).await
            }
            other => other,
        };
        let body = body.map_err(|error| ListError::unread(error.to_string()))?;
        let update = self.parse(&body).await?;
        if update.full || !update.servers.is_empty() {
            info!(self.shared.log, #"discovery.list", "list";
                "index" => update.index, "full" => update.full, "servers" => update.servers.len());
        }
        Ok(update)
    }

    async fn request_json(&mut self, since: Option<u64>) -> Result<Value, RequestError> {
        let body = self.client.request(since, Duration::ZERO).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Parses a response slice by slice: a list of thousands of servers must not hold the event loop.
    async fn parse(&mut self, body: &[u8]) -> Result<EndpointUpdate, ListError> {
        let iteration = LoopIteration::begin("outline of a server list");
        let reader = SlicedReader::for_body(body);
        iteration.end(&self.shared.log);
        let mut reader = reader.map_err(ListError::unread)?;
        while reader.read_slice(&self.known, &self.shared.platform) {
            yield_between_slices().await;
        }
        reader.end(&mut self.known)
    }
}
