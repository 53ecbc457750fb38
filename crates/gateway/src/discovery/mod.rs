//! The actor of discovery: it watches the endpoint list, polls the list on order of the engine, and reports each list.
//!
//! The actor owns the version of the last list. The engine decides which servers are used, and when the list is polled again
//! after a failure.

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

/// How long a gateway that knows servers from an earlier run waits for discovery before it becomes ready without a new list.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a watch that ended early without a change: an agent that responds at once would be polled in a busy loop.
const EARLY_END_PAUSE: Duration = Duration::from_millis(50);

/// An order to the actor. An order cancels the watch in progress.
pub enum Order {
    /// Watch the list, or stop watching.
    Watch(bool),
    /// Poll the complete list once.
    Poll,
    /// Use another address of discovery from now on.
    ChangeAddress(SocketAddr),
    /// From now on one gateway polls for the fleet: this gateway watches nothing, and requests only what the fleet orders.
    LedByFleet,
    /// Request the changes since this version, or the complete list, and send the response as parsed JSON; `None` if the request
    /// fails.
    Request(Option<u64>, Sender<Option<Value>>),
}

/// The actor of discovery. [`DiscoveryActor::run`] runs it.
pub struct DiscoveryActor {
    shared: Rc<Shared>,
    events: Sender<Event>,
    client: Client,
    is_watching: bool,
    is_led_by_fleet: bool,
    /// The version of the last list; the next request asks for changes since this version.
    index: Option<u64>,
    /// Whether the next request is a poll. This is so until the first response and after a failed request: when discovery
    /// responds again, it is likely to have changes, so there is nothing to wait for.
    must_poll: bool,
    /// Whether the address has changed and no list has been received from the new address yet.
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
    /// `index` is the version of the list known from before the start, if any.
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
            let began_at = Instant::now();
            let watch = async {
                if !is_watching {
                    future::pending::<()>().await;
                }
                Input::Fetched(self.fetch(self.index).await)
            };
            let order = async { mailbox.next().await.map_or(Input::Closed, Input::Order) };
            match future::or(watch, order).await {
                Input::Order(order) => self.handle_order(order).await,
                Input::Fetched(fetched) => self.watch_ended(fetched, began_at).await,
                Input::Closed => return,
            }
        }
    }

    /// Reports after [`START_TIMEOUT`] that discovery may be late.
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
                    warn!(self.shared.log, #"discovery.failed", "could not get the endpoint list"; "why" => error.to_string());
                }
                drop(reply.send(response.ok()).await);
            }
            Order::Poll => {
                self.client.disconnect();
                let fetched = self.fetch(None).await;
                self.report(fetched).await;
            }
            Order::ChangeAddress(address) => {
                // Versions at the new address are another sequence. The complete list from there removes the servers that
                // were removed in the meantime.
                self.client.change_address(address);
                self.index = None;
                self.has_moved = true;
            }
        }
    }

    async fn watch_ended(&mut self, fetched: Result<EndpointUpdate, ListError>, began_at: Instant) {
        self.is_watching &= fetched.is_ok();
        let is_unchanged = fetched.as_ref().is_ok_and(|update| !update.full && update.servers.is_empty());
        self.report(fetched).await;
        if is_unchanged && began_at.elapsed() < self.client.min_watch() {
            Timer::after(EARLY_END_PAUSE).await;
        }
    }

    /// Reports a list, or the failure to fetch one, to the dispatcher.
    async fn report(&mut self, fetched: Result<EndpointUpdate, ListError>) {
        match fetched {
            // Changes with a version older than the known one belong to another list, or come from a discovery that is behind.
            // They can't be applied to the known list, so the complete list is requested next.
            Ok(update) if !update.full && self.index.is_some_and(|index| update.index < index) => {
                let known = self.index.take();
                warn!(self.shared.log, #"discovery.older", "received a version of the endpoint list older than the known one"; "index" => update.index, "known" => known);
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
        warn!(self.shared.log, #"discovery.failed", "could not get the endpoint list"; "why" => reason);
        // A response older than the known list has no new information on any server.
        if !draining.is_empty() && index >= self.index {
            self.shared.draining.borrow_mut().mark_draining(&draining);
            drop(self.events.send(Event::EndpointsDraining(draining)).await);
        }
        drop(self.events.send(Event::EndpointsUnavailable).await);
    }

    /// Fetches the complete list, or the changes since a version: the latter request is a watch, unless a poll is due.
    async fn fetch(&mut self, since: Option<u64>) -> Result<EndpointUpdate, ListError> {
        let is_watch = since.is_some() && !self.must_poll;
        let watch = if is_watch { self.client.watch_duration() } else { Duration::ZERO };
        let body = match self.client.request(since, watch).await {
            // After a watch that failed or fell silent, a poll gets at once the changes that the watch missed.
            Err(error) if !watch.is_zero() => {
                warn!(self.shared.log, #"discovery.failed", "a watch of the endpoint list failed; polling"; "why" => error.to_string());
                self.client.request(since, Duration::ZERO).await
            }
            other => other,
        };
        let body = body.map_err(|error| ListError::unread(error.to_string()))?;
        let update = self.parse(&body).await?;
        if update.full || !update.servers.is_empty() {
            info!(self.shared.log, #"discovery.list", "received the endpoint list";
                "index" => update.index, "full" => update.full, "servers" => update.servers.len());
        }
        Ok(update)
    }

    async fn request_json(&mut self, since: Option<u64>) -> Result<Value, RequestError> {
        let body = self.client.request(since, Duration::ZERO).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Parses a response in slices: a list of thousands of servers must not block the event loop.
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
