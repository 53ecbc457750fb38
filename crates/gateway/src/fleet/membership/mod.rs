//! The membership's I/O: datagrams between gateways, exchanges of the full state over streams, and the transport for the
//! messages of the fleet's other subsystems. This module owns the sockets and the timer. The packages `membership` and
//! `shared-counter` decide what is sent to which gateway, and which messages are accepted.

mod connection;
mod datagrams;
mod exchanges;
mod log;
mod query;
mod undelivered;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::rc::{Rc, Weak};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use event_listener::Event as Wake;
use fernscale_membership::node::{Config, Member, Node, Output as NodeOutput};
use fernscale_membership::packet::{MemberView, MembershipView, Packet, Peer, StreamMessage};
use fernscale_membership::payload::{Channel, ReceivedPayload, SendError};
use fernscale_membership::seal::{Key, Sealer};
use fernscale_policy::Micros;
use fernscale_shared_counter::gossip::LivePeer;
use fernscale_shared_counter::monitor::{CounterHealth, GossipTotal};
use fernscale_shared_counter::pn_counter::Instance;
use futures_lite::future;
use slog::{info, warn};

use super::host::HostHandle;
use crate::transport::clock::unix;
use crate::transport::syscall::uninterrupted;

use log::{log_event, process_id};

pub use connection::dial_and_exchange;
pub use query::{query, query_counters, query_members, QueryError};
pub use undelivered::UndeliveredUpdates;

/// Maximum number of messages that wait for the subscriber of a channel. Messages beyond it are dropped, like messages lost
/// on the network.
const MAX_QUEUED_PAYLOADS: usize = 512;

/// The section `[mesh]` of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address to listen on for datagrams and streams of other gateways.
    pub listen: SocketAddr,
    /// Address at which the other gateways reach this one, if it differs from `listen`, for example with port forwarding.
    pub advertise: Option<SocketAddr>,
    /// Gateways to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Keys for sealed messages. The first key seals messages; all keys open them.
    pub keys: Vec<Key>,
}

/// Returns the encoded reply to an operator's encoded query, or `None` if the query cannot be decoded.
pub type Responder = Box<dyn Fn(&[u8]) -> Option<Vec<u8>>>;

/// This gateway's membership in the fleet, with its sockets and tasks.
pub struct Membership {
    /// A reference to this value, for the tasks that it spawns.
    weak_self: Weak<Membership>,
    node: RefCell<Node>,
    sealer: RefCell<Sealer>,
    /// `None` once this gateway has left, so that another process of this gateway can bind the address.
    socket: RefCell<Option<Rc<Async<UdpSocket>>>>,
    /// Ends the sleep of the timer task.
    wake: Wake,
    /// Both ends of a channel that carries no messages. Closing it ends the tasks when this gateway leaves.
    leave_signal: (Sender<()>, Receiver<()>),
    /// Source address of outgoing streams, by which other gateways may identify this one.
    local_ip: IpAddr,
    /// Configured number of gateways in the installation.
    gateway_count: usize,
    /// Number of open streams that other gateways and operators have started.
    incoming_exchanges: Rc<Cell<usize>>,
    /// Number of open exchanges that this gateway has started.
    outgoing_exchanges: Rc<Cell<usize>>,
    /// Number of open outgoing streams for messages without a reply.
    outgoing_streams: Rc<Cell<usize>>,
    /// Health of the shared counter as last set by the dispatcher, for operators' queries.
    pub counter_health: Cell<CounterHealth>,
    subscribers: RefCell<BTreeMap<Channel, Sender<ReceivedPayload>>>,
    responders: RefCell<BTreeMap<Channel, Responder>>,
    host: HostHandle,
}

impl Membership {
    /// Binds the sockets and starts the tasks. `gateway_count` is the number of gateways in the installation.
    ///
    /// # Errors
    /// The errors of binding the address (`AddrInUse` while another process of this gateway has it bound), and an error if
    /// the settings contain no key.
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
        let sealer = sealer.ok_or_else(|| io::Error::other("no mesh key is configured"))?;
        let config = Config { local, seeds: settings.seeds.clone() };
        let membership = Rc::new_cyclic(|weak_self| Membership {
            weak_self: weak_self.clone(),
            node: RefCell::new(Node::new(config, rand::random(), host.clock().now())),
            sealer: RefCell::new(sealer),
            socket: RefCell::new(Some(Rc::new(socket))),
            wake: Wake::new(),
            leave_signal: async_channel::bounded(1),
            local_ip: address.ip(),
            gateway_count: gateway_count as usize,
            incoming_exchanges: Rc::default(),
            outgoing_exchanges: Rc::default(),
            outgoing_streams: Rc::default(),
            counter_health: Cell::new(CounterHealth::Healthy),
            subscribers: RefCell::default(),
            responders: RefCell::default(),
            host: host.clone(),
        });
        info!(host.log(), #"mesh.starts", "started the membership"; "listen" => address.to_string(),
            "advertise" => advertised.to_string(), "run" => process_id, "seeds" => settings.seeds.len());
        membership.spawn_until_left(membership.clone().run_timer());
        membership.spawn_until_left(membership.clone().receive_datagrams());
        membership.spawn_until_left(membership.clone().accept_streams(listener));
        Ok(membership)
    }

    /// Replaces the keys that seal and open messages.
    pub fn set_keys(&self, keys: &[Key]) {
        self.sealer.borrow_mut().set_keys(keys.to_vec());
    }

    /// Adds to a shared counter an amount that expires after `time_to_live` microseconds. Returns the counter's total among
    /// the gateways.
    pub fn add_to_counter(&self, counter: &str, amount: f64, time_to_live: Micros) -> Option<GossipTotal> {
        self.node.borrow_mut().add_to_counter(self.host.clock().now(), counter, amount, time_to_live);
        self.gossip_total(counter)
    }

    /// Adds the updates of shared counters that were collected before the membership could start.
    pub fn deliver(&self, undelivered: UndeliveredUpdates) {
        let now = self.host.clock().now();
        for (counter, (amount, expires_at)) in undelivered.0 {
            self.node.borrow_mut().add_to_counter(now, &counter, amount, expires_at.saturating_sub(now));
        }
    }

    /// The total of a shared counter among the gateways, and whether all configured gateways are live. `None` for a counter
    /// without updates.
    pub fn gossip_total(&self, counter: &str) -> Option<GossipTotal> {
        let node = self.node.borrow();
        let total = node.counter_total(self.host.clock().now(), counter)?;
        let is_complete = node.live_members().count() + 1 >= self.gateway_count;
        Some(GossipTotal { total, is_complete })
    }

    /// Announces to some members that this gateway leaves, ends the tasks of the membership and closes its sockets.
    pub fn leave(&self) {
        self.node.borrow_mut().leave(self.host.clock().now());
        self.drain_outputs();
        self.leave_signal.0.close();
        self.socket.take();
    }

    /// Whether all exchanges that this gateway started have completed. As far as this gateway can know, its state has then
    /// reached the other gateways.
    pub fn has_completed_exchanges(&self) -> bool {
        self.outgoing_exchanges.get() == 0
    }

    /// Subscribes to the messages of a channel. The new subscriber replaces an earlier one.
    pub fn subscribe(&self, channel: Channel) -> Receiver<ReceivedPayload> {
        let (sender, payloads) = async_channel::bounded(MAX_QUEUED_PAYLOADS);
        self.subscribers.borrow_mut().insert(channel, sender);
        payloads
    }

    /// Sets the responder to operators' queries of a channel.
    pub fn set_responder(&self, channel: Channel, responder: Responder) {
        self.responders.borrow_mut().insert(channel, responder);
    }

    /// Sends a message to the live gateway of a name. The message may be lost.
    ///
    /// # Errors
    /// The errors of [`Node::send_to`]. The message was not sent.
    pub fn send_to(&self, to: &str, channel: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let sent = self.node.borrow_mut().send_to(to, channel, body);
        self.drain_outputs();
        sent
    }

    /// Sends a message to one process of a gateway. The message may be lost.
    ///
    /// # Errors
    /// The errors of [`Node::send_to_instance`]. The message was not sent.
    pub fn send_to_instance(&self, to: Instance, channel: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let sent = self.node.borrow_mut().send_to_instance(to, channel, body);
        self.drain_outputs();
        sent
    }

    /// This gateway as the other gateways know it.
    pub fn local(&self) -> Peer {
        self.node.borrow().local().clone()
    }

    /// The other gateways that are not considered dead.
    pub fn live_peers(&self) -> Vec<Peer> {
        self.node.borrow().live_members().map(|member| member.peer.clone()).collect()
    }

    /// The live peers by name and process, as the other subsystems' gossip identifies them.
    pub fn live_instances(&self) -> Vec<LivePeer> {
        let live_peer = |peer: Peer| LivePeer { name: peer.name, instance: peer.instance.0 };
        self.live_peers().into_iter().map(live_peer).collect()
    }

    /// Runs a task until this gateway leaves. The task and the sockets that it owns are then dropped.
    pub fn spawn_until_left(&self, task: impl Future<Output = ()> + 'static) {
        let leave_signal = self.leave_signal.1.clone();
        let left = async move {
            let _ = leave_signal.recv().await;
        };
        self.host.executor().spawn(future::or(left, task)).detach();
    }

    /// Handles the node's timeouts.
    async fn run_timer(self: Rc<Self>) {
        loop {
            let woken = self.wake.listen();
            let deadline = self.node.borrow().next_deadline();
            let sleep = async {
                if deadline == Micros::MAX {
                    future::pending::<()>().await;
                }
                Timer::at(self.host.clock().instant(deadline)).await;
            };
            future::or(sleep, woken).await;
            let now = self.host.clock().now();
            if now >= self.node.borrow().next_deadline() {
                self.node.borrow_mut().handle_timeout(now);
            }
            self.drain_outputs();
        }
    }

    /// Processes the outputs of the node until it has none.
    fn drain_outputs(&self) {
        loop {
            let Some(output) = self.node.borrow_mut().poll_output() else { return };
            match output {
                NodeOutput::SendDatagram { to, packet } => self.send_datagram(to, &packet),
                NodeOutput::ExchangeState { to } => self.begin_exchange(to),
                NodeOutput::SendStream { to, payload } => {
                    let message = StreamMessage::Payload(self.local(), payload);
                    self.send_stream(to, self.sealer.borrow_mut().seal(unix(), &message));
                }
                NodeOutput::Received(payload) => self.publish(payload),
                NodeOutput::Event(event) => log_event(self.host.log(), &event),
            }
        }
    }

    /// Sends a sealed packet. A packet that cannot be sent is dropped, like one lost on the network.
    fn send_datagram(&self, to: SocketAddr, packet: &Packet) {
        let bytes = self.sealer.borrow_mut().seal(unix(), packet);
        if let Some(socket) = &*self.socket.borrow() {
            let _ = uninterrupted(|| socket.get_ref().send_to(&bytes, to));
        }
    }

    /// Passes a message to the subscriber of its channel. The message is dropped if there is no subscriber or its queue is
    /// full.
    fn publish(&self, payload: ReceivedPayload) {
        let subscriber = self.subscribers.borrow().get(&payload.channel).cloned();
        if let Some(subscriber) = subscriber {
            let _ = subscriber.try_send(payload);
        }
    }

    fn log_rejected(&self, sender: SocketAddr, reason: &str) {
        warn!(self.host.log(), #"mesh.refused", "rejected a message"; "from" => sender.to_string(), "why" => reason);
    }

    /// The reply to an operator's query about the members.
    fn view(&self) -> MembershipView {
        let node = self.node.borrow();
        let now = self.host.clock().now();
        let member_view = |member: &Member| MemberView {
            peer: member.peer.clone(),
            state: member.state,
            incarnation: member.incarnation,
            last_heard_ms: (now.saturating_sub(member.last_heard) / 1000) as u32,
        };
        MembershipView {
            local: node.local().clone(),
            members: node.members().map(member_view).collect(),
            configured_gateways: self.gateway_count as u32,
            counter_count: node.counters().len() as u32,
            counter_health: self.counter_health.get().name().into(),
        }
    }
}
