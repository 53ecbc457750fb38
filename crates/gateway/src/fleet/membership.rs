//! The mesh on sockets: datagrams one way and the other, streams for exchanges of everything, and who asks who is there.
//! What is said to whom, and what is believed of it, the packages `mesh` and `tally` decide.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use event_listener::Event as Wake;
use fernscale_membership::node::{Config, Event, Node, Output};
use fernscale_membership::packet::{
    CounterTotal, MemberView, MembershipView, Packet, Peer, StreamMessage, MAX_DATAGRAM_BYTES,
    MAX_STREAM_BYTES,
};
use fernscale_membership::payload::{Channel, ReceivedPayload, SendError};
use fernscale_membership::seal::{Key, Sealer};
use fernscale_policy::Micros;
use fernscale_shared_counter::gossip::LivePeer;
use fernscale_shared_counter::monitor;
use fernscale_shared_counter::pn_counter::Instance;
use futures_lite::{future, StreamExt};
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use slog::{info, warn, Logger};

use super::host::HostHandle;
use crate::transport::clock::unix;
use crate::transport::stream::{read_exact, write_all};
use crate::transport::syscall::{dialled, uninterrupted};

/// Datagrams taken in a row: a flood of them must leave the core to those who are served.
const IN_A_ROW: usize = 64;
/// And the pause after so many, by which a flood is held to some 60,000 a second.
const PAUSE: Duration = Duration::from_millis(1);
/// Bytes that tell a stream's length.
const HEAD: usize = 4;
/// Exchanges that others may have under way here. What is read of each before its seal is looked at has a bound, so that
/// strangers can't take more memory than all of them times that.
const EXCHANGES: usize = 4;
/// In which an exchange must be over.
const EXCHANGE: Duration = Duration::from_secs(2);

/// What an installation says of its mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub listen: SocketAddr,
    /// Where others find this gateway, if that is elsewhere: behind an address that is passed on to it.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub keys: Vec<Key>,
}

/// Counts that wait for a way to the others: another process of this gateway speaks with them, until it ends.
const MOST_UNTOLD: usize = 16_384;

/// What the others are to be told of, by the count, and until when that lives.
#[derive(Default)]
pub struct UndeliveredUpdates(BTreeMap<Box<str>, (f64, Micros)>);

impl UndeliveredUpdates {
    /// At the bound a new count is not told of, as at the mesh's own.
    pub fn add(&mut self, count: &str, amount: f64, ends: Micros) {
        if let Some((untold, _)) = self.0.get_mut(count) {
            *untold += amount;
        } else if self.0.len() < MOST_UNTOLD {
            self.0.insert(count.into(), (amount, ends));
        }
    }
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
    from: IpAddr,
    gateways: usize,
    exchanges: Cell<usize>,
    /// Exchanges that this gateway has begun and that are not over.
    begun: Cell<usize>,
    streams: Cell<usize>,
    /// How the counter stood when last looked at, for who asks.
    pub standing: Cell<monitor::CounterHealth>,
    /// Who takes in what is carried for others, and who answers operators' questions about it.
    takers: RefCell<BTreeMap<Channel, Sender<ReceivedPayload>>>,
    answerers: RefCell<BTreeMap<Channel, Answerer>>,
    host: HostHandle,
}

/// Answers an operator's question; nothing where it makes no sense.
pub type Answerer = Box<dyn Fn(&[u8]) -> Option<Vec<u8>>>;

/// Messages of a kind that wait for their taker. Beyond it they are lost, as on the way.
const MOST_WAITING: usize = 512;
/// Messages that are on their way over streams at once, and likewise.
const STREAMS: usize = 16;

impl Membership {
    /// Listens, and speaks from now on.
    pub fn start(
        host: &HostHandle,
        name: &str,
        gateways: u32,
        settings: &Settings,
    ) -> io::Result<Rc<Membership>> {
        let listener = Async::<TcpListener>::bind(settings.listen)?;
        let address = listener.get_ref().local_addr()?;
        let socket = Async::<UdpSocket>::bind(address)?;
        let told = settings.advertise.unwrap_or(address);
        let me = Peer { name: name.into(), instance: Instance(rand::random()), address: told };
        let run = run(&me);
        let sealer = Sealer::new(settings.keys.clone(), me.instance);
        let sealer = sealer.ok_or_else(|| io::Error::other("the mesh has no key"))?;
        let config = Config { local: me, seeds: settings.seeds.clone() };
        let mesh = Rc::new_cyclic(|this| Membership {
            this: this.clone(),
            node: RefCell::new(Node::new(config, rand::random(), host.clock().now())),
            sealer: RefCell::new(sealer),
            socket: RefCell::new(Some(Rc::new(socket))),
            wake: Wake::new(),
            left: async_channel::bounded(1),
            from: address.ip(),
            gateways: gateways as usize,
            exchanges: Cell::new(0),
            begun: Cell::new(0),
            standing: Cell::new(monitor::CounterHealth::Healthy),
            takers: RefCell::default(),
            answerers: RefCell::default(),
            streams: Cell::new(0),
            host: host.clone(),
        });
        info!(host.log(), #"mesh.starts", "speaks with other gateways"; "listen" => address.to_string(),
            "advertise" => told.to_string(), "run" => run, "seeds" => settings.seeds.len());
        mesh.spawn_until_left(mesh.clone().keep_time());
        mesh.spawn_until_left(mesh.clone().hear());
        mesh.spawn_until_left(mesh.clone().exchanges(listener));
        Ok(mesh)
    }

    /// Another ring of keys from now on.
    pub fn set_keys(&self, keys: &[Key]) {
        self.sealer.borrow_mut().set_keys(keys.to_vec());
    }

    /// This gateway has added an amount to a count: what all know of it with that.
    pub fn add_to_counter(&self, count: &str, amount: f64, life: Micros) -> Option<monitor::GossipTotal> {
        self.node.borrow_mut().add_to_counter(self.host.clock().now(), count, amount, life);
        self.gossip_total(count)
    }

    /// This gateway has added all this before it could speak.
    pub fn deliver(&self, untold: UndeliveredUpdates) {
        let now = self.host.clock().now();
        for (count, (amount, ends)) in untold.0 {
            self.node.borrow_mut().add_to_counter(now, &count, amount, ends.saturating_sub(now));
        }
    }

    pub fn gossip_total(&self, count: &str) -> Option<monitor::GossipTotal> {
        let node = self.node.borrow();
        let total = node.counter_total(self.host.clock().now(), count)?;
        Some(monitor::GossipTotal { total, is_complete: node.live_members().count() + 1 >= self.gateways })
    }

    /// Tells some that this gateway goes, and listens no more.
    pub fn leave(&self) {
        self.node.borrow_mut().leave(self.host.clock().now());
        self.carry();
        self.left.0.close();
        self.socket.take();
    }

    /// Nothing that this gateway says is on its way any more, as far as it can tell.
    pub fn is_fully_told(&self) -> bool {
        self.begun.get() == 0
    }

    // For others.

    /// What is carried of this kind comes here from now on.
    pub fn subscribe(&self, kind: Channel) -> Receiver<ReceivedPayload> {
        let (to, taken) = async_channel::bounded(MOST_WAITING);
        self.takers.borrow_mut().insert(kind, to);
        taken
    }

    /// Operators' questions of this kind are answered so.
    pub fn set_responder(&self, kind: Channel, answerer: Answerer) {
        self.answerers.borrow_mut().insert(kind, answerer);
    }

    /// Sends a message to the live gateway of a name; it may be lost.
    pub fn send_to(&self, to: &str, kind: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let sent = self.node.borrow_mut().send_to(to, kind, body);
        self.carry();
        sent
    }

    /// Sends a message to one run of a gateway.
    pub fn send_to_instance(&self, to: Instance, kind: Channel, body: Vec<u8>) -> Result<(), SendError> {
        let sent = self.node.borrow_mut().send_to_instance(to, kind, body);
        self.carry();
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

    async fn keep_time(self: Rc<Self>) {
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
            self.carry();
        }
    }

    /// Carries out what the node wants.
    fn carry(&self) {
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
                Output::ExchangeState { to } => {
                    let seal = self.sealed_full();
                    let work = dial_and_exchange(Some(self.from), to, seal);
                    let Some(mesh) = self.this.upgrade() else { continue };
                    self.begun.set(self.begun.get() + 1);
                    self.host
                        .executor()
                        .spawn(async move {
                            if let Ok(answer) = work.await {
                                mesh.full_came(&answer);
                            }
                            mesh.begun.set(mesh.begun.get() - 1);
                        })
                        .detach();
                }
                Output::SendStream { to, carried } => {
                    let stream = StreamMessage::Payload(self.local(), carried);
                    self.stream(to, self.sealer.borrow_mut().seal(unix(), &stream));
                }
                Output::Received(came) => {
                    let taker = self.takers.borrow().get(&came.channel).cloned();
                    if let Some(taker) = taker {
                        let _ = taker.try_send(came);
                    }
                }
                Output::Event(event) => tell(self.host.log(), &event),
            }
        }
    }

    /// Sends sealed bytes that nobody answers.
    fn stream(&self, to: SocketAddr, sealed: Vec<u8>) {
        let Some(mesh) = self.this.upgrade().filter(|_| self.streams.get() < STREAMS) else {
            return;
        };
        self.streams.set(self.streams.get() + 1);
        let work = async move {
            let send = async {
                let stream = connect(Some(mesh.from), to).await?;
                write(&stream, &sealed).await?;
                // Until the other has read it all: what is not read yet goes with a connection that is let go.
                let _ = read(&stream).await;
                Ok(())
            };
            let late = async {
                Timer::after(EXCHANGE).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            let _ = future::or(send, late).await;
            mesh.streams.set(mesh.streams.get() - 1);
        };
        self.host.executor().spawn(work).detach();
    }

    fn sealed_full(&self) -> Vec<u8> {
        let full = self.node.borrow().full_state(self.host.clock().now());
        self.sealer.borrow_mut().seal(unix(), &StreamMessage::FullState(full))
    }

    async fn hear(self: Rc<Self>) {
        let mut bytes = [0; 2 * MAX_DATAGRAM_BYTES];
        let Some(socket) = self.socket.borrow().clone() else { return };
        loop {
            for _ in 0..IN_A_ROW {
                let Ok((length, from)) = socket.recv_from(&mut bytes).await else { break };
                let opened = self.sealer.borrow_mut().open::<Packet>(unix(), &bytes[..length]);
                match opened {
                    Ok((sealed_by, packet)) if sealed_by == packet.sender.instance => {
                        let now = self.host.clock().now();
                        self.node.borrow_mut().handle_packet(now, from, packet);
                        self.carry();
                        self.wake.notify(1);
                    }
                    Ok(_) => self.refused(from, "it speaks in another's name"),
                    Err(why) => self.refused(from, &why.to_string()),
                }
            }
            Timer::after(PAUSE).await;
        }
    }

    fn refused(&self, from: SocketAddr, why: &str) {
        warn!(self.host.log(), #"mesh.refused", "a packet was not believed"; "from" => from.to_string(), "why" => why);
    }

    async fn exchanges(self: Rc<Self>, listener: Async<TcpListener>) {
        let mut incoming = std::pin::pin!(listener.incoming());
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                Timer::after(PAUSE).await;
                continue;
            };
            if self.exchanges.get() >= EXCHANGES {
                continue;
            }
            self.exchanges.set(self.exchanges.get() + 1);
            let mesh = self.clone();
            self.host
                .executor()
                .spawn(async move {
                    let work = mesh.exchange(stream);
                    let late = async {
                        Timer::after(EXCHANGE).await;
                        Err(io::Error::from(io::ErrorKind::TimedOut))
                    };
                    let _ = future::or(work, late).await;
                    mesh.exchanges.set(mesh.exchanges.get() - 1);
                })
                .detach();
        }
    }

    /// Somebody asks for all that is known here, and tells what it knows; or only asks who is there.
    async fn exchange(&self, stream: Async<TcpStream>) -> io::Result<()> {
        let bytes = read(&stream).await?;
        let opened = self.sealer.borrow_mut().open::<StreamMessage>(unix(), &bytes);
        let answer = match opened {
            Ok((sealed_by, StreamMessage::FullState(full))) if sealed_by == full.sender.instance => {
                self.node.borrow_mut().handle_full_state(self.host.clock().now(), full);
                self.carry();
                self.wake.notify(1);
                self.sealed_full()
            }
            Ok((_, StreamMessage::ListMembers)) => {
                let view = StreamMessage::Members(self.view());
                self.sealer.borrow_mut().seal(unix(), &view)
            }
            Ok((_, StreamMessage::ListCounters)) => {
                let sums =
                    StreamMessage::CounterTotals(self.node.borrow().counter_totals(self.host.clock().now()));
                self.sealer.borrow_mut().seal(unix(), &sums)
            }
            Ok((sealed_by, StreamMessage::Payload(from, carried))) if sealed_by == from.instance => {
                self.node.borrow_mut().handle_payload(self.host.clock().now(), from, carried);
                self.carry();
                return Ok(());
            }
            Ok((_, StreamMessage::Query(kind, question))) => {
                let answer = self.answerers.borrow().get(&kind).and_then(|answers| answers(&question));
                let answer = StreamMessage::QueryReply(answer.unwrap_or_default());
                self.sealer.borrow_mut().seal(unix(), &answer)
            }
            other => {
                let why = other.err().map_or("it makes no sense here".into(), |why| why.to_string());
                self.refused(stream.get_ref().peer_addr()?, &why);
                return Ok(());
            }
        };
        write(&stream, &answer).await
    }

    fn full_came(&self, bytes: &[u8]) {
        let opened = self.sealer.borrow_mut().open::<StreamMessage>(unix(), bytes);
        if let Ok((sealed_by, StreamMessage::FullState(full))) = opened {
            if sealed_by == full.sender.instance {
                self.node.borrow_mut().handle_full_state(self.host.clock().now(), full);
                self.carry();
                self.wake.notify(1);
            }
        }
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
            configured_gateways: self.gateways as u32,
            counter_count: node.counters().len() as u32,
            counter_health: self.standing.get().name().into(),
        }
    }
}

/// Tells one run of a gateway from another, in the log.
fn run(peer: &Peer) -> String {
    format!("{:016x}", peer.instance.0)
}

fn tell(log: &Logger, event: &Event) {
    let of = |peer: &Peer| format!("{} at {}", peer.name, peer.address);
    match event {
        Event::Joined(peer) => {
            info!(log, #"mesh.joined", "a gateway is there"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Suspected(peer) => {
            info!(log, #"mesh.suspected", "a gateway does not answer"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Refuted(peer) => {
            info!(log, #"mesh.cleared", "a gateway is there after all"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Died(peer) => {
            warn!(log, #"mesh.gone", "a gateway is taken for gone"; "peer" => of(peer), "run" => run(peer))
        }
        Event::Left(peer) => {
            info!(log, #"mesh.left", "a gateway has left"; "peer" => of(peer), "run" => run(peer))
        }
        Event::DuplicateName(one, other) => warn!(log, #"mesh.name-twice", "two gateways go by one name";
            "peer" => of(one), "other" => of(other)),
    }
}

async fn read(stream: &Async<TcpStream>) -> io::Result<Vec<u8>> {
    let head = read_exact(stream, HEAD).await?;
    let length = head.iter().fold(0, |length, byte| length << u8::BITS | usize::from(*byte));
    if length > MAX_STREAM_BYTES {
        return Err(io::Error::other("too long"));
    }
    read_exact(stream, length).await
}

async fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    write_all(stream, &(bytes.len() as u32).to_be_bytes()).await?;
    write_all(stream, bytes).await
}

/// A connection from this address, where it leads there.
async fn connect(from: Option<IpAddr>, to: SocketAddr) -> io::Result<Async<TcpStream>> {
    let leads = |from: &IpAddr| {
        !from.is_unspecified()
            && from.is_ipv4() == to.is_ipv4()
            && from.is_loopback() == to.ip().is_loopback()
    };
    let Some(from) = from.filter(leads) else { return dialled(|| Async::<TcpStream>::connect(to)).await };
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    rustix::net::bind(&socket, &SocketAddr::new(from, 0))?;
    match rustix::net::connect(&socket, &to) {
        // One that a signal interrupts goes on all the same.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Sends sealed bytes to a gateway, from an address of this machine if one is given, and gives its sealed answer.
pub async fn dial_and_exchange(from: Option<IpAddr>, to: SocketAddr, sealed: Vec<u8>) -> io::Result<Vec<u8>> {
    let work = async {
        let stream = connect(from, to).await?;
        write(&stream, &sealed).await?;
        read(&stream).await
    };
    let late = async {
        Timer::at(Instant::now() + EXCHANGE).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    future::or(work, late).await
}

/// Asks a gateway of this installation something, by its keys.
fn ask(to: SocketAddr, keys: &[Key], what: &StreamMessage) -> Result<StreamMessage, String> {
    let sealer = Sealer::new(keys.to_vec(), Instance(rand::random()));
    let mut sealer = sealer.ok_or("there is no key to ask with")?;
    let sealed = sealer.seal(unix(), what);
    let answer = async_io::block_on(dial_and_exchange(None, to, sealed));
    let answer = answer.map_err(|error| format!("the gateway at {to} does not answer: {error}"))?;
    let opened = sealer.open::<StreamMessage>(unix(), &answer);
    opened
        .map(|(_, said)| said)
        .map_err(|why| format!("the gateway at {to} gives an answer that is not believed: {why}"))
}

fn something_else(to: SocketAddr) -> String {
    format!("the gateway at {to} answers with something else")
}

/// Who is there, as a gateway sees it.
pub fn query_members(to: SocketAddr, keys: &[Key]) -> Result<MembershipView, String> {
    match ask(to, keys, &StreamMessage::ListMembers)? {
        StreamMessage::Members(view) => Ok(view),
        _ => Err(something_else(to)),
    }
}

/// A question about something that the mesh only carries; the answer is empty where the gateway has nothing to say of it.
pub fn query(to: SocketAddr, keys: &[Key], kind: Channel, question: Vec<u8>) -> Result<Vec<u8>, String> {
    match ask(to, keys, &StreamMessage::Query(kind, question))? {
        StreamMessage::QueryReply(answer) => Ok(answer),
        _ => Err(something_else(to)),
    }
}

/// What a gateway knows of all counts.
pub fn query_counters(to: SocketAddr, keys: &[Key]) -> Result<Vec<CounterTotal>, String> {
    match ask(to, keys, &StreamMessage::ListCounters)? {
        StreamMessage::CounterTotals(sums) => Ok(sums),
        _ => Err(something_else(to)),
    }
}
