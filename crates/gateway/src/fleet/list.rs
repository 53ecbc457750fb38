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

use super::mesh::Mesh;
use super::owners::Owners;
use crate::protocol::catalog::{self, Refused};
use crate::routing::list::Order;
use crate::routing::{Event, Shared};
use crate::transport::clock::{awake_or_not, until};

/// The job's name.
const JOB: &str = "list";
/// How long a call to discovery may take: another gateway's turn comes soon.
const CALL: Duration = Duration::from_secs(1);
/// The longest sleep: this gateway's place in the order, and who owns the job, may change meanwhile.
const LOOK: Micros = 50_000;

/// What it works with.
pub struct Needs {
    /// How soon each gateway must know of a change.
    pub within: Micros,
    /// The version that was known before the start.
    pub known: Option<u64>,
    pub orders: Sender<Order>,
    pub events: Sender<Event>,
}

struct List {
    shared: Rc<Shared>,
    mesh: Rc<Mesh>,
    owners: Rc<Owners>,
    job: Name,
    needs: Needs,
    told: RefCell<ReplicatedList>,
    /// One carries out what is wanted, in its order; others leave it to that one.
    carrying: Cell<bool>,
    wake: Wake,
}

pub fn start(shared: &Rc<Shared>, mesh: &Rc<Mesh>, owners: &Rc<Owners>, needs: Needs) {
    let job = Name::from(JOB);
    if !owners.can_do(&job) {
        return;
    }
    let told = ReplicatedList::new(&job, needs.within, needs.known, awake_or_not(), rand::random());
    let list = Rc::new(List {
        shared: shared.clone(),
        mesh: mesh.clone(),
        owners: owners.clone(),
        job,
        needs,
        told: RefCell::new(told),
        carrying: Cell::new(false),
        wake: Wake::new(),
    });
    mesh.until_left(list.clone().hear(mesh.takes(Channel::EndpointList)));
    mesh.until_left(list.keep_time());
}

impl List {
    async fn keep_time(self: Rc<Self>) {
        drop(self.needs.orders.send(Order::ByFleet).await);
        loop {
            let woken = self.wake.listen();
            let (now, owns, place) = (awake_or_not(), self.term().is_some(), self.owners.place(&self.job));
            self.told.borrow_mut().handle_timeout(now, owns, place);
            self.carry().await;
            let due = self.told.borrow().next_deadline(owns, place);
            let wait = async {
                Timer::after(until(due.saturating_sub(awake_or_not()).min(LOOK))).await;
            };
            future::or(wait, woken).await;
        }
    }

    /// This gateway's term as the owner, if it is.
    fn term(&self) -> Option<u64> {
        self.owners.effect(&self.job, ()).map(|effect| effect.token().term)
    }

    async fn hear(self: Rc<Self>, came: Receiver<ReceivedPayload>) {
        let mut came = std::pin::pin!(came);
        while let Some(ReceivedPayload { sender: from, body, .. }) = came.next().await {
            match postcard::from_bytes::<ListMessage>(&body) {
                Ok(note) => self.told.borrow_mut().handle_message(awake_or_not(), &from.name.into(), note),
                Err(_) => {
                    let why = "a note about the list that can't be read";
                    warn!(self.shared.log, #"list.unread", "{}", why; "peer" => from.name);
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
            self.shared.list_fresh_until.set(self.told.borrow().fresh_until());
            let output = self.told.borrow_mut().poll_output();
            let Some(output) = output else { break };
            match output {
                Output::Poll { since } => {
                    self.mesh.until_left(self.clone().call(since));
                }
                Output::Broadcast(piece) => {
                    let note = self.signed(piece);
                    for peer in self.mesh.live() {
                        self.send(&peer.name, &note);
                    }
                }
                Output::SendFragment(to, piece) => self.send(&to, &self.signed(piece)),
                Output::SendMessage(to, note) => self.send(&to, &note),
                Output::Updated(answer) => self.learn(answer).await,
                Output::HandOver => {
                    if self.owners.hand_over(&self.job) {
                        info!(self.shared.log, #"list.handed-over", "discovery can't be asked here: another had better");
                    }
                }
                Output::Rejected(highest) => self.owners.refused(&self.job, highest),
            }
        }
        self.carrying.set(false);
    }

    /// With the fence of the owner, if this gateway is it.
    fn signed(&self, piece: Fragment) -> ListMessage {
        match self.owners.effect(&self.job, piece.clone()) {
            Some(effect) => ListMessage::Fragment(Some(effect.token()), effect.content().clone()),
            None => ListMessage::Fragment(None, piece),
        }
    }

    /// A note that can't be sent now is as good as lost on the way.
    fn send(&self, to: &str, note: &ListMessage) {
        let _ = self.mesh.send(to, Channel::EndpointList, postcard::to_stdvec(note).unwrap_or_default());
    }

    async fn call(self: Rc<Self>, since: Option<u64>) {
        let (to, answers) = async_channel::bounded(1);
        drop(self.needs.orders.send(Order::Ask(since, to)).await);
        let answer = async { answers.recv().await.ok().flatten() };
        let late = async {
            Timer::after(CALL).await;
            None
        };
        let answer = future::or(answer, late).await.and_then(|body| read(&body));
        let term = self.term();
        self.told.borrow_mut().poll_completed(awake_or_not(), answer, term);
        self.carry().await;
        self.wake.notify(1);
    }

    async fn learn(&self, answer: SourceReply) {
        let SourceReply { index, is_complete: full, entries } = answer;
        let endpoints = entries.iter().filter_map(|entry| serde_json::from_str::<Value>(&entry.body).ok());
        let body = json!({ "index": index, "snapshot": full, "endpoints": endpoints.collect::<Vec<_>>() });
        match catalog::members(&body, &self.shared.outside) {
            Ok(mut members) => {
                self.shared.reads_list(&mut members);
                info!(self.shared.log, #"discovery.list", "list"; "index" => index, "full" => full,
                    "servers" => members.servers.len(), "by" => "fleet");
                drop(self.needs.events.send(Event::List(members)).await);
            }
            Err(Refused { why, leaving, .. }) => {
                warn!(self.shared.log, #"discovery.failed", "discovery failed"; "why" => why);
                self.shared.left.borrow_mut().leave(&leaving);
                drop(self.needs.events.send(Event::Leaving(leaving)).await);
                drop(self.needs.events.send(Event::ListFailed).await);
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
