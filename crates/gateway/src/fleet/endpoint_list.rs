//! The list of servers, asked for by one gateway for all: calls to discovery, notes between gateways, and what is new for the
//! module. Who asks when, and what is believed, the package `owner` decides.

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

/// The job's name.
const JOB: &str = "list";
/// How long a call to discovery may take: another gateway's turn comes soon.
const CALL: Duration = Duration::from_secs(1);
/// The longest sleep: this gateway's place in the order, and who owns the job, may change meanwhile.
const LOOK: Micros = 50_000;

/// What it works with.
pub struct EndpointListConfig<E, R> {
    /// How soon each gateway must know of a change.
    pub poll_interval: Micros,
    /// The version that was known before the start.
    pub known_index: Option<u64>,
    pub orders: Sender<R>,
    pub events: Sender<E>,
}

struct List<E, R> {
    host: Rc<dyn EndpointTable>,
    mesh: Rc<Membership>,
    owners: Rc<Leases>,
    job: Name,
    needs: EndpointListConfig<E, R>,
    told: RefCell<ReplicatedList>,
    /// One carries out what is wanted, in its order; others leave it to that one.
    carrying: Cell<bool>,
    wake: Wake,
}

pub fn start<E: From<FleetEvent> + 'static, R: From<DiscoveryRequest> + 'static>(
    host: Rc<dyn EndpointTable>,
    mesh: &Rc<Membership>,
    owners: &Rc<Leases>,
    needs: EndpointListConfig<E, R>,
) {
    let job = Name::from(JOB);
    if !owners.register(&job) {
        return;
    }
    let told = ReplicatedList::new(&job, needs.poll_interval, needs.known_index, boottime(), rand::random());
    let list = Rc::new(List {
        host,
        mesh: mesh.clone(),
        owners: owners.clone(),
        job,
        needs,
        told: RefCell::new(told),
        carrying: Cell::new(false),
        wake: Wake::new(),
    });
    mesh.spawn_until_left(list.clone().hear(mesh.subscribe(Channel::EndpointList)));
    mesh.spawn_until_left(list.keep_time());
}

impl<E: From<FleetEvent> + 'static, R: From<DiscoveryRequest> + 'static> List<E, R> {
    async fn keep_time(self: Rc<Self>) {
        drop(self.needs.orders.send(DiscoveryRequest::DelegateToFleet.into()).await);
        loop {
            let woken = self.wake.listen();
            let (now, owns, place) = (boottime(), self.term().is_some(), self.owners.rank(&self.job));
            self.told.borrow_mut().handle_timeout(now, owns, place);
            self.carry().await;
            let due = self.told.borrow().next_deadline(owns, place);
            let wait = async {
                Timer::after(real_duration(due.saturating_sub(boottime()).min(LOOK))).await;
            };
            future::or(wait, woken).await;
        }
    }

    /// This gateway's term as the owner, if it is.
    fn term(&self) -> Option<u64> {
        self.owners.authorize(&self.job, ()).map(|effect| effect.token().term)
    }

    async fn hear(self: Rc<Self>, came: Receiver<ReceivedPayload>) {
        let mut came = std::pin::pin!(came);
        while let Some(ReceivedPayload { sender: from, body, .. }) = came.next().await {
            match postcard::from_bytes::<ListMessage>(&body) {
                Ok(note) => self.told.borrow_mut().handle_message(boottime(), &from.name.into(), note),
                Err(_) => {
                    let why = "a note about the list that can't be read";
                    warn!(self.host.log(), #"list.unread", "{}", why; "peer" => from.name);
                }
            }
            self.carry().await;
            self.wake.notify(1);
        }
    }

    /// Carries out what is wanted. Calls run beside it.
    async fn carry(self: &Rc<Self>) {
        if self.carrying.replace(true) {
            return;
        }
        loop {
            self.host.set_fresh_until(self.told.borrow().fresh_until());
            let output = self.told.borrow_mut().poll_output();
            let Some(output) = output else { break };
            match output {
                Output::Poll { since } => {
                    self.mesh.spawn_until_left(self.clone().call(since));
                }
                Output::Broadcast(piece) => {
                    let note = self.signed(piece);
                    for peer in self.mesh.live_peers() {
                        self.send(&peer.name, &note);
                    }
                }
                Output::SendFragment(to, piece) => self.send(&to, &self.signed(piece)),
                Output::SendMessage(to, note) => self.send(&to, &note),
                Output::Updated(answer) => self.learn(answer).await,
                Output::HandOver => {
                    if self.owners.hand_over(&self.job) {
                        info!(self.host.log(), #"list.handed-over", "discovery can't be asked here: another had better");
                    }
                }
                Output::Rejected(highest) => self.owners.effect_rejected(&self.job, highest),
            }
        }
        self.carrying.set(false);
    }

    /// With the fence of the owner, if this gateway is it.
    fn signed(&self, piece: Fragment) -> ListMessage {
        match self.owners.authorize(&self.job, piece.clone()) {
            Some(effect) => ListMessage::Fragment(Some(effect.token()), effect.content().clone()),
            None => ListMessage::Fragment(None, piece),
        }
    }

    /// A note that can't be sent now is as good as lost on the way.
    fn send(&self, to: &str, note: &ListMessage) {
        let _ = self.mesh.send_to(to, Channel::EndpointList, postcard::to_stdvec(note).unwrap_or_default());
    }

    async fn call(self: Rc<Self>, since: Option<u64>) {
        let (to, answers) = async_channel::bounded(1);
        drop(self.needs.orders.send(DiscoveryRequest::Poll { since, reply: to }.into()).await);
        let answer = async { answers.recv().await.ok().flatten() };
        let late = async {
            Timer::after(CALL).await;
            None
        };
        let answer = future::or(answer, late).await.and_then(|body| read(&body));
        let term = self.term();
        self.told.borrow_mut().poll_completed(boottime(), answer, term);
        self.carry().await;
        self.wake.notify(1);
    }

    async fn learn(&self, answer: SourceReply) {
        let SourceReply { index, is_complete: full, entries } = answer;
        let endpoints = entries.iter().filter_map(|entry| serde_json::from_str::<Value>(&entry.body).ok());
        let body = json!({ "index": index, "snapshot": full, "endpoints": endpoints.collect::<Vec<_>>() });
        match catalog::endpoint_update(&body, self.host.platform()) {
            Ok(mut members) => {
                self.host.apply_list(&mut members);
                info!(self.host.log(), #"discovery.list", "list"; "index" => index, "full" => full,
                    "servers" => members.servers.len(), "by" => "fleet");
                drop(self.needs.events.send(FleetEvent::EndpointsUpdated(members).into()).await);
            }
            Err(ListError { reason: why, draining: leaving, .. }) => {
                warn!(self.host.log(), #"discovery.failed", "discovery failed"; "why" => why);
                self.host.start_draining(&leaving);
                drop(self.needs.events.send(FleetEvent::EndpointsDraining(leaving).into()).await);
                drop(self.needs.events.send(FleetEvent::EndpointsUnavailable.into()).await);
            }
        }
    }
}

/// An answer of discovery's; nothing where it makes no sense.
fn read(body: &Value) -> Option<SourceReply> {
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
