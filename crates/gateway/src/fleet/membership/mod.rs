//! The mesh on sockets: datagrams one way and the other, streams for exchanges of everything, and who asks who is there.
//! What is said to whom, and what is believed of it, the packages `mesh` and `tally` decide.

mod connection;
mod datagrams;
mod exchanges;
mod log;
mod query;
mod undelivered;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::rc::{Rc, Weak};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use event_listener::Event as Wake;
use fernscale_membership::node::{Config, Node, Output};
use fernscale_membership::packet::{MemberView, MembershipView, Peer, StreamMessage};
use fernscale_membership::payload::{Channel, ReceivedPayload, SendError};
use fernscale_membership::seal::{Key, Sealer};
use fernscale_policy::Micros;
use fernscale_shared_counter::gossip::LivePeer;
use fernscale_shared_counter::monitor;
use fernscale_shared_counter::pn_counter::Instance;
use futures_lite::future;
use slog::{info, warn};

use super::host::HostHandle;
use crate::transport::clock::unix;
use crate::transport::syscall::uninterrupted;

use log::{log_event, process_id};

pub use connection::dial_and_exchange;
pub use query::{query, query_counters, query_members};
pub use undelivered::UndeliveredUpdates;

/// What an installation says of its mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub listen: SocketAddr,
    /// Where others find this gateway, if that is elsewhere: behind an address that is passed on to it.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub keys: Vec<Key>,
}

pub struct Membership {
    /// Itself, for the tasks that it spawns.
    this: Weak<Membership>,
    node: RefCell<Node>,
    sealer: RefCell<Sealer>,
    /// None once this gateway has left: another process of it may listen there.
    socket: RefCell<Option<Rc<Async<UdpSocket>>>>,
    wake: Wake,
    /// Closed when this gateway leaves.
    left: (async_channel::Sender<()>, async_channel::Receiver<()>),
    /// Where streams of this gateway come from: others may know it by that.
    local_ip: IpAddr,
    gateway_count: usize,
    open_exchanges: Rc<Cell<usize>>,
    /// Exchanges that this gateway has begun and that are not over.
    begun_exchanges: Rc<Cell<usize>>,
    open_streams: Rc<Cell<usize>>,
    /// How the counter stood when last looked at, for who asks.
    pub standing: Cell<monitor::CounterHealth>,
    /// Who takes in what is carried for others, and who answers operators' questions about it.
    subscribers: RefCell<BTreeMap<Channel, Sender<ReceivedPayload>>>,
    responders: RefCell<BTreeMap<Channel, Responder>>,
    host: HostHandle,
}

/// Answers an operator's question; nothing where it makes no sense.
pub type Responder = Box<dyn Fn(&[u8]) -> Option<Vec<u8>>>;

/// Messages of a kind that wait for their taker. Beyond it they are lost, as on the way.
const MAX_QUEUED_PAYLOADS: usize = 512;
impl Membership {
    /// Listens, and speaks from now on.
    pub fn start(
        host: &HostHandle,
        name: &str,
        gateway_count: u32,
        settings: &Settings,
    ) -> io::Result<Rc<Membership>> {
        let listener = Async::<TcpListener>::bind(settings.listen)?;
        let address = listener.get_ref().local_addr()?;
        let socket = Async::<UdpSocket>::bind(address)?;
        let advertised = settings.advertise.unwrap_or(address);
        let local = Peer { name: name.into(), instance: Instance(rand::random()), address: advertised };
        let process_id = process_id(&local);
        let sealer = Sealer::new(settings.keys.clone(), local.instance);
        let sealer = sealer.ok_or_else(|| io::Error::other("the mesh has no key"))?;
        let config = Config { local, seeds: settings.seeds.clone() };
        let membership = Rc::new_cyclic(|this| Membership {
            this: this.clone(),
            node: RefCell::new(Node::new(config, rand::random(), host.clock().now())),
            sealer: RefCell::new(sealer),
            socket: RefCell::new(Some(Rc::new(socket))),
            wake: Wake::new(),
            left: async_channel::bounded(1),
            local_ip: address.ip(),
            gateway_count: gateway_count as usize,
            open_exchanges: Rc::default(),
            begun_exchanges: Rc::default(),
            standing: Cell::new(monitor::CounterHealth::Healthy),
            subscribers: RefCell::default(),
            responders: RefCell::default(),
            open_streams: Rc::default(),
            host: host.clone(),
        });
        info!(host.log(), #"mesh.starts", "speaks with other gateways"; "listen" => address.to_string(),
            "advertise" => advertised.to_string(), "run" => process_id, "seeds" => settings.seeds.len());
        membership.spawn_until_left(membership.clone().run_timer());
        membership.spawn_until_left(membership.clone().receive_datagrams());
        membership.spawn_until_left(membership.clone().accept_streams(listener));
        Ok(membership)
    }

    /// Another ring of keys from now on.
    pub fn set_keys(&self, keys: &[Key]) {
        self.sealer.borrow_mut().set_keys(keys.to_vec());
    }

    /// This gateway has added an amount to a count: what all know of it with that.
    pub fn add_to_counter(
        &self,
        counter: &str,
        amount: f64,
        time_to_live: Micros,
    ) -> Option<monitor::GossipTotal> {
        self.node.borrow_mut().add_to_counter(self.host.clock().now(), counter, amount, time_to_live);
        self.gossip_total(counter)
    }

    /// This gateway has added all this before it could speak.
    pub fn deliver(&self, undelivered: UndeliveredUpdates) {
        let now = self.host.clock().now();
        for (counter, (amount, ends)) in undelivered.0 {
            self.node.borrow_mut().add_to_counter(now, &counter, amount, ends.saturating_sub(now));
        }
    }

    pub fn gossip_total(&self, counter: &str) -> Option<monitor::GossipTotal> {
        let node = self.node.borrow();
        let total = node.counter_total(self.host.clock().now(), counter)?;
        Some(monitor::GossipTotal {
            total,
            is_complete: node.live_members().count() + 1 >= self.gateway_count,
        })
    }

    /// Tells some that this gateway goes, and listens no more.
    pub fn leave(&self) {
        self.node.borrow_mut().leave(self.host.clock().now());
        self.drain_outputs();
        self.left.0.close();
        self.socket.take();
    }

    /// Nothing that this gateway says is on its way any more, as far as it can tell.
    pub fn is_fully_told(&self) -> bool {
        self.begun_exchanges.get() == 0
    }

    // For others.

    /// What is carried of this kind comes here from now on.
    pub fn subscribe(&self, channel: Channel) -> Receiver<ReceivedPayload> {
        let (to, payloads) = async_channel::bounded(MAX_QUEUED_PAYLOADS);
        self.subscribers.borrow_mut().insert(channel, to);
        payloads
    }

    /// Operators' questions of this kind are answered so.
    pub fn set_responder(&self, channel: Channel, responder: Responder) {
        self.responders.borrow_mut().insert(channel, responder);
    }

    /// Sends a message to the live gateway of a name; it may be lost.
    pub fn send_to(&self, to: &str, channel: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let sent = self.node.borrow_mut().send_to(to, channel, body);
        self.drain_outputs();
        sent
    }

    /// Sends a message to one run of a gateway.
    pub fn send_to_instance(&self, to: Instance, channel: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let sent = self.node.borrow_mut().send_to_instance(to, channel, body);
        self.drain_outputs();
        sent
    }

    pub fn local(&self) -> Peer {
        self.node.borrow().local().clone()
    }

    /// Other gateways that are not taken for gone.
    pub fn live_peers(&self) -> Vec<Peer> {
        self.node.borrow().live_members().map(|member| member.peer.clone()).collect()
    }

    /// The same, as rumours know them.
    pub fn live_instances(&self) -> Vec<LivePeer> {
        self.live_peers()
            .into_iter()
            .map(|peer| LivePeer { name: peer.name, instance: peer.instance.0 })
            .collect()
    }

    /// Works at something until this gateway leaves; then it is dropped, with the sockets that it has.
    pub fn spawn_until_left(&self, work: impl std::future::Future<Output = ()> + 'static) {
        let left = self.left.1.clone();
        let left = async move {
            let _ = left.recv().await;
        };
        self.host.executor().spawn(future::or(left, work)).detach();
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let woken = self.wake.listen();
            let due = self.node.borrow().next_deadline();
            let wait = async {
                if due == Micros::MAX {
                    future::pending::<()>().await;
                }
                Timer::at(self.host.clock().instant(due)).await;
            };
            future::or(wait, woken).await;
            let now = self.host.clock().now();
            if now >= self.node.borrow().next_deadline() {
                self.node.borrow_mut().handle_timeout(now);
            }
            self.drain_outputs();
        }
    }

    /// Carries out what the node wants.
    fn drain_outputs(&self) {
        loop {
            let Some(output) = self.node.borrow_mut().poll_output() else { return };
            match output {
                Output::SendDatagram { to, packet } => {
                    let bytes = self.sealer.borrow_mut().seal(unix(), &packet);
                    // A datagram that can't be sent now is as good as lost on the way.
                    if let Some(socket) = &*self.socket.borrow() {
                        let _ = uninterrupted(|| socket.get_ref().send_to(&bytes, to));
                    }
                }
                Output::ExchangeState { to } => self.begin_exchange(to),
                Output::SendStream { to, carried } => {
                    let stream = StreamMessage::Payload(self.local(), carried);
                    self.send_stream(to, self.sealer.borrow_mut().seal(unix(), &stream));
                }
                Output::Received(payload) => {
                    let subscriber = self.subscribers.borrow().get(&payload.channel).cloned();
                    if let Some(subscriber) = subscriber {
                        let _ = subscriber.try_send(payload);
                    }
                }
                Output::Event(event) => log_event(self.host.log(), &event),
            }
        }
    }

    fn log_rejected(&self, sender: SocketAddr, reason: &str) {
        warn!(self.host.log(), #"mesh.refused", "a packet was not believed"; "from" => sender.to_string(), "why" => reason);
    }

    fn view(&self) -> MembershipView {
        let (node, now) = (self.node.borrow(), self.host.clock().now());
        let member = |member: &fernscale_membership::node::Member| MemberView {
            peer: member.peer.clone(),
            state: member.state,
            incarnation: member.incarnation,
            last_heard_ms: (now.saturating_sub(member.last_heard) / 1000) as u32,
        };
        MembershipView {
            local: node.local().clone(),
            members: node.members().map(member).collect(),
            configured_gateways: self.gateway_count as u32,
            counter_count: node.counters().len() as u32,
            counter_health: self.standing.get().name().into(),
        }
    }
}
