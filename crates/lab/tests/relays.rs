//! The relay and the doors do to a link what they are told to.

use std::rc::Rc;

use async_executor::LocalExecutor;
use fernscale_lab::live::listener::Listener;
use fernscale_lab::live::relay::{Relay, RouteFault};
use fernscale_lab::live::stream::Stream;
use fernscale_lab::live::{sleep, World};
use fernscale_lab::{MILLISECOND, SECOND};
use futures_lite::future;

const WAIT: u64 = 2 * SECOND;
const SHORT: u64 = 60 * MILLISECOND;

struct Link {
    world: Rc<World>,
    relay: Rc<Relay>,
    _echo: Rc<Listener>,
}

/// What came for some bytes, within a time.
async fn echoed(stream: &mut Stream, bytes: &[u8], time: u64) -> Option<Vec<u8>> {
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
}

impl Link {
    /// A relay before a party that says back what it hears.
    async fn open(world: &Rc<World>) -> Link {
        let serve = |mut stream: Stream| async move {
            while stream.more().await.is_ok() {
                let bytes = std::mem::take(&mut stream.bytes);
                if stream.write(&bytes).await.is_err() {
                    return;
                }
            }
        };
        let echo = Listener::open(world, (world.host(), 0).into(), usize::MAX, serve).expect("a door");
        let relay = Relay::start(world, echo.address(), 1).expect("a relay");
        Link { world: world.clone(), relay, _echo: echo }
    }

    async fn dial(&self) -> Stream {
        Stream::dial(self.relay.address(), WAIT).await.expect("connected")
    }
}

fn with_link<F: std::future::Future<Output = ()>>(test: impl FnOnce(Link) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    async_io::block_on(main.run(async {
        let world = World::blind(executor);
        test(Link::open(&world).await).await;
    }));
}

#[test]
fn a_link_that_is_well_passes_everything_and_one_that_is_cut_refuses() {
    with_link(|link| async move {
        let mut stream = link.dial().await;
        let long = vec![7; 100_000];
        assert_eq!(echoed(&mut stream, &long, WAIT).await, Some(long));
        let cut = link.relay.begin(RouteFault::Cut);
        assert_eq!(echoed(&mut stream, b"x", WAIT).await, None);
        assert!(Stream::dial(link.relay.address(), WAIT).await.is_err());
        link.relay.end(cut).await.expect("mended");
        assert_eq!(echoed(&mut link.dial().await, b"y", WAIT).await, Some(b"y".to_vec()));
    });
}

#[test]
fn a_black_hole_holds_what_is_written_and_gives_it_back_when_it_heals() {
    with_link(|link| async move {
        let mut stream = link.dial().await;
        let held = link.relay.begin(RouteFault::Blackhole);
        assert_eq!(echoed(&mut stream, b"held", SHORT).await, None);
        assert!(link.relay.end(held).await.expect("mended") > 0, "it met nobody");
        while stream.bytes.len() < 4 {
            stream.more().await.expect("it comes");
        }
        assert_eq!(stream.bytes, b"held");
    });
}

#[test]
fn a_reset_comes_in_the_middle_of_a_message() {
    with_link(|link| async move {
        let mut stream = link.dial().await;
        link.relay.begin(RouteFault::Reset);
        assert_eq!(echoed(&mut stream, b"12345678", WAIT).await, None);
        assert!(stream.bytes.len() < 8);
    });
}

#[test]
fn delay_and_throttle_take_their_time_and_corruption_changes_a_byte() {
    with_link(|link| async move {
        let mut stream = link.dial().await;
        for ill in [RouteFault::Delay { by: 30 * MILLISECOND, spread: 0 }, RouteFault::Throttle(1000.0)] {
            let token = link.relay.begin(ill);
            let from = link.world.now();
            assert_eq!(echoed(&mut stream, &[1; 30], WAIT).await, Some(vec![1; 30]));
            let took = link.world.now() - from;
            assert!(took >= SHORT, "{ill:?}: 30 ms each way, {took} us");
            link.relay.end(token).await.expect("mended");
        }
        link.relay.begin(RouteFault::Corrupt(1.0));
        let got = echoed(&mut stream, &[1; 30], WAIT).await.expect("it comes");
        assert_ne!(got, [1; 30]);
    });
}

#[test]
fn a_fault_that_ends_while_another_stands_mends_nothing_of_it() {
    with_link(|link| async move {
        let (one, other) = (link.relay.begin(RouteFault::Cut), link.relay.begin(RouteFault::Cut));
        link.relay.end(one).await.expect("mended");
        assert!(Stream::dial(link.relay.address(), WAIT).await.is_err());
        link.relay.end(other).await.expect("mended");
        let mut stream = link.dial().await;
        let (one, other) = (link.relay.begin(RouteFault::Blackhole), link.relay.begin(RouteFault::Blackhole));
        link.relay.end(one).await.expect("mended");
        assert_eq!(echoed(&mut stream, b"held", SHORT).await, None);
        link.relay.end(other).await.expect("mended");
        while stream.bytes.len() < 4 {
            stream.more().await.expect("it comes");
        }
    });
}

#[test]
fn a_door_lets_in_as_many_as_it_may() {
    with_link(|link| async move {
        let serve = |mut stream: Stream| async move { while stream.more().await.is_ok() {} };
        let door = Listener::open(&link.world, (link.world.host(), 0).into(), 2, serve).expect("a door");
        let mut held = Vec::new();
        for _ in 0..2 {
            held.push(Stream::dial(door.address(), WAIT).await.expect("connected"));
        }
        while door.count() < 2 {
            sleep(MILLISECOND).await;
        }
        // The reset may come before the connection is seen to be up.
        let third = Stream::dial(door.address(), WAIT).await;
        assert!(third.is_err() || third.expect("up").more().await.is_err());
        assert_eq!(door.count(), 2);
        drop(held.remove(0));
        while door.count() > 1 {
            sleep(MILLISECOND).await;
        }
    });
}
