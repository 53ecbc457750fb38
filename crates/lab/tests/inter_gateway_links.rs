//! Between two gateways each kind of fault bites: on datagrams and on streams, one way and not the other.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use fernscale_lab::history::LinkTraffic;
use fernscale_lab::live::inter_gateway_links::InterGatewayLinks;
use fernscale_lab::live::listener::Listener;
use fernscale_lab::live::route::RouteFault;
use fernscale_lab::live::stream::Stream;
use fernscale_lab::live::{sleep, World};
use fernscale_lab::{Micros, MILLISECOND, SECOND};
use futures_lite::future;

const SOON: Micros = 2 * SECOND;
const NEVER: Micros = 80 * MILLISECOND;

/// Two gateways that only send and listen.
struct Two {
    world: Rc<World>,
    between: Rc<InterGatewayLinks>,
    sockets: Vec<Async<UdpSocket>>,
    _doors: Vec<Rc<Listener>>,
}

impl Two {
    /// What comes to one of them within a time, with where it seems to come from.
    async fn hears(&self, at: usize, time: Micros) -> Option<(Vec<u8>, SocketAddr)> {
        let mut bytes = vec![0; 2_000];
        let came = async {
            let (length, from) = self.sockets[at].recv_from(&mut bytes).await.ok()?;
            Some((length, from))
        };
        let late = async {
            sleep(time).await;
            None
        };
        let (length, from) = future::or(came, late).await?;
        bytes.truncate(length);
        Some((bytes, from))
    }

    fn says(&self, from: usize, bytes: &[u8]) {
        let to = self.between.advertised(1 - from as u32);
        self.sockets[from].get_ref().send_to(bytes, to).expect("sent");
    }

    /// A fault from the first to the second, or on what streams carry there.
    fn breaks(&self, goods: LinkTraffic, ill: RouteFault) -> u64 {
        self.between.route(0, 1, goods).begin(ill)
    }

    fn mends(&self, goods: LinkTraffic, token: u64) -> u64 {
        self.between.route(0, 1, goods).end(token)
    }

    /// A stream from the first to the second, from the first's own address.
    async fn dial(&self) -> std::io::Result<Stream> {
        use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
        let from = self.sockets[0].get_ref().local_addr()?.ip();
        let near = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        bind(&near, &SocketAddr::new(from, 0))?;
        connect(&near, &self.between.advertised(1))?;
        Ok(Stream::new(Async::new(std::net::TcpStream::from(near))?))
    }
}

fn with_two<F: std::future::Future<Output = ()>>(test: impl FnOnce(Two) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    async_io::block_on(main.run(async {
        let world = World::blind(executor);
        let mut sockets = Vec::new();
        let mut doors = Vec::new();
        for _ in 0..2 {
            let echo = |mut stream: Stream| async move {
                while stream.more().await.is_ok() {
                    let bytes = std::mem::take(&mut stream.bytes);
                    if stream.write(&bytes).await.is_err() {
                        return;
                    }
                }
            };
            let door = Listener::open(&world, (world.host(), 0).into(), usize::MAX, echo).expect("a door");
            sockets.push(Async::<UdpSocket>::bind(door.address()).expect("a socket"));
            doors.push(door);
        }
        let real: Vec<SocketAddr> = doors.iter().map(|door| door.address()).collect();
        let between = InterGatewayLinks::start(&world, &real, 1).expect("places");
        test(Two { world, between, sockets, _doors: doors }).await;
    }));
}

#[test]
fn a_datagram_comes_from_the_place_that_its_sender_tells_and_a_strangers_never() {
    with_two(|two| async move {
        two.says(0, b"one");
        assert_eq!(two.hears(1, SOON).await, Some((b"one".to_vec(), two.between.advertised(0))));
        let stranger = UdpSocket::bind((two.world.host(), 0)).expect("a socket");
        stranger.send_to(b"who", two.between.advertised(1)).expect("sent");
        assert_eq!(two.hears(1, NEVER).await, None);
        assert_eq!(two.between.strangers.get(), 1);
    });
}

#[test]
fn datagrams_are_lost_one_way_and_not_the_other() {
    with_two(|two| async move {
        for ill in [RouteFault::Cut, RouteFault::Blackhole, RouteFault::Lose(1.0)] {
            let token = two.breaks(LinkTraffic::Datagrams, ill);
            two.says(0, b"lost");
            two.says(1, b"back");
            assert_eq!(two.hears(0, SOON).await.map(|came| came.0), Some(b"back".to_vec()));
            assert_eq!(two.hears(1, NEVER).await, None, "{ill:?}");
            assert_eq!(two.mends(LinkTraffic::Datagrams, token), 1);
            two.says(0, b"well");
            assert_eq!(two.hears(1, SOON).await.map(|came| came.0), Some(b"well".to_vec()));
        }
    });
}

#[test]
fn datagrams_are_late_doubled_overtaken_spoilt_and_held_to_a_rate() {
    with_two(|two| async move {
        let token = two.breaks(LinkTraffic::Datagrams, RouteFault::Delay { by: 50 * MILLISECOND, spread: 0 });
        let from = two.world.now();
        two.says(0, b"late");
        assert!(two.hears(1, SOON).await.is_some() && two.world.now() >= from + 50 * MILLISECOND);
        two.mends(LinkTraffic::Datagrams, token);

        let token = two.breaks(LinkTraffic::Datagrams, RouteFault::Double(1.0));
        two.says(0, b"twice");
        assert_eq!(two.hears(1, SOON).await, two.hears(1, SOON).await);
        two.mends(LinkTraffic::Datagrams, token);

        let token =
            two.breaks(LinkTraffic::Datagrams, RouteFault::Overtake { share: 1.0, by: 50 * MILLISECOND });
        two.says(0, b"first");
        sleep(5 * MILLISECOND).await;
        two.mends(LinkTraffic::Datagrams, token);
        two.says(0, b"second");
        assert_eq!(two.hears(1, SOON).await.map(|came| came.0), Some(b"second".to_vec()));
        assert_eq!(two.hears(1, SOON).await.map(|came| came.0), Some(b"first".to_vec()));

        let token = two.breaks(LinkTraffic::Datagrams, RouteFault::Corrupt(1.0));
        two.says(0, b"clean");
        let came = two.hears(1, SOON).await.expect("it comes").0;
        assert_eq!(
            (came.len(), came.iter().zip(b"clean").filter(|(one, other)| one != other).count()),
            (5, 1)
        );
        two.mends(LinkTraffic::Datagrams, token);

        let token = two.breaks(LinkTraffic::Datagrams, RouteFault::Throttle(10_000.0));
        let from = two.world.now();
        two.says(0, &[7; 1_000]);
        assert!(two.hears(1, SOON).await.is_some() && two.world.now() >= from + 100 * MILLISECOND);
        two.mends(LinkTraffic::Datagrams, token);
    });
}

#[test]
fn streams_are_cut_held_broken_in_a_message_and_spoilt() {
    with_two(|two| async move {
        let echoed = async |stream: &mut Stream, bytes: &[u8], time: Micros| {
            stream.write(bytes).await.ok()?;
            let read = async {
                while stream.bytes.len() < bytes.len() {
                    stream.more().await.ok()?;
                }
                Some(std::mem::take(&mut stream.bytes))
            };
            let late = async {
                sleep(time).await;
                None
            };
            future::or(read, late).await
        };
        let mut stream = two.dial().await.expect("up");
        assert_eq!(echoed(&mut stream, b"hello", SOON).await, Some(b"hello".to_vec()));

        let token = two.breaks(LinkTraffic::Streams, RouteFault::Blackhole);
        assert_eq!(echoed(&mut stream, b"held", NEVER).await, None);
        assert!(two.mends(LinkTraffic::Streams, token) > 0);
        while stream.bytes.len() < 4 {
            stream.more().await.expect("it comes");
        }
        stream.bytes.clear();

        let token = two.breaks(LinkTraffic::Streams, RouteFault::Corrupt(1.0));
        assert_ne!(echoed(&mut stream, b"clean", SOON).await.expect("it comes"), b"clean");
        two.mends(LinkTraffic::Streams, token);

        let token = two.breaks(LinkTraffic::Streams, RouteFault::Reset);
        assert_eq!(echoed(&mut stream, b"12345678", SOON).await, None);
        two.mends(LinkTraffic::Streams, token);

        let mut stream = two.dial().await.expect("up");
        assert!(echoed(&mut stream, b"hello", SOON).await.is_some());
        two.breaks(LinkTraffic::Streams, RouteFault::Cut);
        assert!(stream.more().await.is_err(), "it stands, though the way is cut");
        let fresh = two.dial().await;
        assert!(fresh.is_err() || fresh.expect("up").more().await.is_err());
    });
}
