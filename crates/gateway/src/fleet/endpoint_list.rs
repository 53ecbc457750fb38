//! The endpoint list that one gateway polls on behalf of the whole fleet. This module calls discovery, exchanges messages
//! with the other gateways and sends updates to the dispatcher. The replicated list of the lease package decides which
//! gateway polls when, and which messages are accepted.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use event_listener::Event as Wake;
use fernscale_lease::replicated_list::{Entry, Fragment, ListMessage, Output, ReplicatedList, SourceReply};
use fernscale_lease::Name;
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_policy::Micros;
use futures_lite::{future, StreamExt};
use serde_json::{json, Value};
use slog::{info, warn};

use super::host::{DiscoveryRequest, EndpointTable, FleetEvent};
use super::leases::Leases;
use super::membership::Membership;
use crate::protocol::catalog::{self, ListError};
use crate::transport::clock::{boottime, real_duration};

/// Name of the lease whose holder polls discovery.
const LEASE_NAME: &str = "list";
/// Time limit of a poll. After it the poll counts as failed, and the gateway of the next rank may poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest sleep of the timer task, in microseconds. It is bounded because a change of rank or lease holder does not wake
/// the timer task.
const MAX_SLEEP: Micros = 50_000;

/// Settings of the endpoint list, and the channels to discovery and to the dispatcher.
pub struct EndpointListConfig<E, R> {
    /// Time within which every gateway must learn of a change, in microseconds.
    pub poll_interval: Micros,
    /// Version of the list that was known before this process started.
    pub known_index: Option<u64>,
    /// Channel to the actor that calls discovery.
    pub orders: Sender<R>,
    /// Channel to the dispatcher.
    pub events: Sender<E>,
}

/// The state that the endpoint list's tasks share.
struct ListTask<E, R> {
    host: Rc<dyn EndpointTable>,
    membership: Rc<Membership>,
    leases: Rc<Leases>,
    lease: Name,
    config: EndpointListConfig<E, R>,
    replica: RefCell<ReplicatedList>,
    /// Whether a task is processing outputs now. Other tasks leave their outputs to that task, which keeps the outputs in
    /// order.
    is_draining_outputs: Cell<bool>,
    wake: Wake,
}

/// Registers the lease and starts the tasks, which run until this gateway leaves the membership. From this call on, the
/// discovery actor makes no calls of its own. Does nothing if the lease is already registered.
pub fn start<E: From<FleetEvent> + 'static, R: From<DiscoveryRequest> + 'static>(
    host: Rc<dyn EndpointTable>,
    membership: &Rc<Membership>,
    leases: &Rc<Leases>,
    config: EndpointListConfig<E, R>,
) {
    let lease = Name::from(LEASE_NAME);
    if !leases.register(&lease) {
        return;
    }
    let replica =
        ReplicatedList::new(&lease, config.poll_interval, config.known_index, boottime(), rand::random());
    let list = Rc::new(ListTask {
        host,
        membership: membership.clone(),
        leases: leases.clone(),
        lease,
        config,
        replica: RefCell::new(replica),
        is_draining_outputs: Cell::new(false),
        wake: Wake::new(),
    });
    membership.spawn_until_left(list.clone().receive_messages(membership.subscribe(Channel::EndpointList)));
    membership.spawn_until_left(list.run_timer());
}

impl<E: From<FleetEvent> + 'static, R: From<DiscoveryRequest> + 'static> ListTask<E, R> {
    /// Polls discovery when a poll is due.
    async fn run_timer(self: Rc<Self>) {
        drop(self.config.orders.send(DiscoveryRequest::DelegateToFleet.into()).await);
        loop {
            let woken = self.wake.listen();
            let now = boottime();
            let holds_lease = self.term().is_some();
            let rank = self.leases.rank(&self.lease);
            self.replica.borrow_mut().handle_timeout(now, holds_lease, rank);
            self.drain_outputs().await;
            let deadline = self.replica.borrow().next_deadline(holds_lease, rank);
            let sleep = async {
                Timer::after(real_duration(deadline.saturating_sub(boottime()).min(MAX_SLEEP))).await;
            };
            future::or(sleep, woken).await;
        }
    }

    /// The term under which this gateway holds the lease, or `None` if it does not hold the lease.
    fn term(&self) -> Option<u64> {
        self.leases.authorize(&self.lease, ()).map(|effect| effect.token().term)
    }

    /// Passes messages of other gateways to the replicated list.
    async fn receive_messages(self: Rc<Self>, payloads: Receiver<ReceivedPayload>) {
        let mut payloads = std::pin::pin!(payloads);
        while let Some(ReceivedPayload { sender, body, .. }) = payloads.next().await {
            match postcard::from_bytes::<ListMessage>(&body) {
                Ok(message) => {
                    self.replica.borrow_mut().handle_message(boottime(), &sender.name.into(), message);
                }
                Err(_) => {
                    let reason = "cannot decode a message about the endpoint list";
                    warn!(self.host.log(), #"list.unread", "{}", reason; "peer" => sender.name);
                }
            }
            self.drain_outputs().await;
            self.wake.notify(1);
        }
    }

    /// Processes the outputs of the replicated list until it has none. Each poll runs in its own task.
    async fn drain_outputs(self: &Rc<Self>) {
        if self.is_draining_outputs.replace(true) {
            return;
        }
        loop {
            self.host.set_fresh_until(self.replica.borrow().fresh_until());
            let output = self.replica.borrow_mut().poll_output();
            let Some(output) = output else { break };
            match output {
                Output::Poll { since } => {
                    self.membership.spawn_until_left(self.clone().poll(since));
                }
                Output::Broadcast(fragment) => {
                    let message = self.with_token(fragment);
                    for peer in self.membership.live_peers() {
                        self.send(&peer.name, &message);
                    }
                }
                Output::SendFragment(to, fragment) => self.send(&to, &self.with_token(fragment)),
                Output::SendMessage(to, message) => self.send(&to, &message),
                Output::Updated(reply) => self.publish_update(reply).await,
                Output::HandOver => {
                    if self.leases.hand_over(&self.lease) {
                        info!(self.host.log(), #"list.handed-over",
                            "polling discovery fails here; released the endpoint list's lease to another gateway");
                    }
                }
                Output::Rejected(highest) => self.leases.effect_rejected(&self.lease, highest),
            }
        }
        self.is_draining_outputs.set(false);
    }

    /// Wraps a fragment in a message. The message contains the fencing token if this gateway holds the lease.
    fn with_token(&self, fragment: Fragment) -> ListMessage {
        match self.leases.authorize(&self.lease, fragment.clone()) {
            Some(effect) => ListMessage::Fragment(Some(effect.token()), effect.content().clone()),
            None => ListMessage::Fragment(None, fragment),
        }
    }

    /// Sends a message to the gateway of a name. A message that cannot be sent is dropped, like one lost on the network.
    fn send(&self, to: &str, message: &ListMessage) {
        let _ = self.membership.send_to(
            to,
            Channel::EndpointList,
            postcard::to_stdvec(message).unwrap_or_default(),
        );
    }

    /// Polls discovery for changes since a version and passes the result to the replicated list.
    async fn poll(self: Rc<Self>, since: Option<u64>) {
        let (reply_sender, reply_receiver) = async_channel::bounded(1);
        drop(self.config.orders.send(DiscoveryRequest::Poll { since, reply: reply_sender }.into()).await);
        let reply = async { reply_receiver.recv().await.ok().flatten() };
        let timeout = async {
            Timer::after(POLL_TIMEOUT).await;
            None
        };
        let reply = future::or(reply, timeout).await.and_then(|body| parse_reply(&body));
        let term = self.term();
        self.replica.borrow_mut().poll_completed(boottime(), reply, term);
        self.drain_outputs().await;
        self.wake.notify(1);
    }

    /// Parses an update like a reply of discovery and sends the result to the dispatcher.
    async fn publish_update(&self, reply: SourceReply) {
        let SourceReply { index, is_complete, entries } = reply;
        let endpoints = entries.iter().filter_map(|entry| serde_json::from_str::<Value>(&entry.body).ok());
        let body =
            json!({ "index": index, "snapshot": is_complete, "endpoints": endpoints.collect::<Vec<_>>() });
        match catalog::endpoint_update(&body, self.host.platform()) {
            Ok(mut update) => {
                self.host.apply_list(&mut update);
                info!(self.host.log(), #"discovery.list", "received an update of the endpoint list";
                    "index" => index, "full" => is_complete, "servers" => update.servers.len(), "by" => "fleet");
                drop(self.config.events.send(FleetEvent::EndpointsUpdated(update).into()).await);
            }
            Err(ListError { reason, draining, .. }) => {
                warn!(self.host.log(), #"discovery.failed", "an update of the endpoint list is invalid"; "why" => reason);
                self.host.start_draining(&draining);
                drop(self.config.events.send(FleetEvent::EndpointsDraining(draining).into()).await);
                drop(self.config.events.send(FleetEvent::EndpointsUnavailable.into()).await);
            }
        }
    }
}

/// Parses a reply of discovery. Returns `None` if a field is missing or has the wrong type.
fn parse_reply(body: &Value) -> Option<SourceReply> {
    let entry = |entry: &Value| {
        Some(Entry {
            name: entry.get("name")?.as_str()?.into(),
            removed: entry.get("status").and_then(Value::as_str) == Some("terminated"),
            body: entry.to_string(),
        })
    };
    Some(SourceReply {
        index: body.get("index")?.as_u64()?,
        is_complete: body.get("snapshot")?.as_bool()?,
        entries: body.get("endpoints")?.as_array()?.iter().map(entry).collect::<Option<_>>()?,
    })
}
