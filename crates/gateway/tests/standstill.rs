//! A gateway whose one thread stands still for a while, among servers and clients that don't.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use fernscale_gateway::dispatcher::Dispatcher;
use fernscale_gateway::operator::metrics::Metrics;
use fernscale_gateway::protocol::call::{self, Command, FinalAnswer};
use fernscale_gateway::protocol::catalog::EndpointUpdate;
use fernscale_gateway::shared::{Event, FinalReply, ReceivedRequest, ReplyHandle, Shared};
use fernscale_gateway::transport::clock::Clock;
use fernscale_gateway::transport::limits::Limits;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Endpoint, EndpointState, Id, Idempotency, Plan, RequestClass, Settings};

const SERVERS: usize = 3;
const CLIENTS: usize = 8;
/// What each server takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// So many calls of each client teach the gateway how fast its servers are.
const ROUNDS_BEFORE: usize = 20;
/// Far shorter than the 1.2 s that a client waits.
const STANDSTILL: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

fn platform() -> PlatformSettings {
    PlatformSettings {
        class_names: vec!["read".into()],
        plan_names: vec!["team".into()],
        gateway_count: 1,
        connect_timeout: 250_000,
        idle_timeout: 15_000_000,
        max_client_wait: 1_500_000,
        max_units: 1e6,
        list_is_pushed: true,
        ..PlatformSettings::default()
    }
}

fn settings() -> Settings {
    Settings {
        seed: 7,
        gateway_index: 0,
        gateway_count: 1,
        classes: vec![RequestClass {
            idempotency: Idempotency::Idempotent,
            latency_objective: 1_000_000,
            priority_weight: 1.0,
        }],
        plans: vec![Plan {
            rate: 1e6,
            burst: 1e6,
            priority_factor: 1.0,
            excess_cost: 1.0,
            ..Plan::default()
        }],
        max_attempts: 3,
        can_cancel: true,
        max_retry_after: 500_000,
        has_shared_counter: false,
        list_poll_interval: None,
        slow_start_share: 0.2,
        slow_start_duration: 9_000_000,
        overload_factor: 3.0,
        overload_window: 1_000_000,
    }
}

fn shared() -> Rc<Shared> {
    Rc::new(Shared {
        executor: Rc::new(LocalExecutor::new()),
        log: slog::Logger::root(slog::Discard, slog::o!()),
        clock: Clock::start(),
        limits: Limits::new(1024, 192, 0),
        platform: platform(),
        metrics: Metrics::new(&["read".into()]),
        cordoned: RefCell::default(),
        start_times: RefCell::default(),
        draining: RefCell::default(),
        limits_lowered: Default::default(),
        endpoints_fresh_until: Cell::new(u64::MAX),
        ready: Cell::new(true),
        listening: Cell::new(true),
        shutting_down_since: Cell::new(None),
        next_protocol_error: Cell::new(Instant::now()),
        next_ticket: Cell::new(0),
        hot_restart: Default::default(),
        joins_membership: false,
        undelivered_updates: Default::default(),
        membership: Default::default(),
        leases: Default::default(),
        subsetting: Default::default(),
        outlier_detection: Default::default(),
    })
}

/// A server with a thread of its own for each connection, which counts the calls that have come.
fn server(calls: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let calls = calls.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let calls = calls.clone();
            thread::spawn(move || {
                while let Ok(1..) = stream.read(&mut [0; 1024]) {
                    calls.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(SERVICE_TIME);
                    let _ = stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n");
                }
            });
        }
    });
    address
}

fn list(addresses: &[SocketAddr]) -> EndpointUpdate {
    let listed = |(at, address): (usize, &SocketAddr)| {
        let endpoint = Endpoint {
            server: Id::from(format!("s{at}")),
            zone: 0,
            hardware_type: 0,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: None,
            listed_start: None,
        };
        (endpoint, *address)
    };
    let servers = addresses.iter().enumerate().map(listed).collect();
    EndpointUpdate { index: 1, full: true, moved: false, servers }
}

/// What a client that waits 1.2 s is answered.
async fn ask(shared: Rc<Shared>, events: Sender<Event>) -> FinalAnswer {
    let ticket = shared.next_ticket.get();
    shared.next_ticket.set(ticket + 1);
    let id = format!("t{ticket}");
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", id.as_bytes(), b"c=read,t=team,d=1200"];
    let Ok(Command::Call(call)) = call::command(&words, &shared.platform) else { panic!("a call") };
    let (to, replies) = async_channel::bounded(1);
    let places = [&shared.limits.open, &shared.limits.bytes].map(|slots| slots.reserve(1).expect("a slot"));
    let reply = ReplyHandle { ticket, number: 0, to, places };
    let received = ReceivedRequest { call, reply, received_at: Instant::now() };
    events.send(Event::RequestReceived(received)).await.expect("the dispatcher runs");
    match replies.recv().await.expect("an answer").1 {
        FinalReply::Complete(answer) => answer,
        FinalReply::Streamed(_) => panic!("a value that short is not streamed"),
    }
}

/// Has all clients ask at once.
fn ask_all(shared: &Rc<Shared>, events: &Sender<Event>) -> Vec<Task<FinalAnswer>> {
    let ask = |_| shared.executor.spawn(ask(shared.clone(), events.clone()));
    (0..CLIENTS).map(ask).collect()
}

/// How many were not served.
async fn refused(asked: Vec<Task<FinalAnswer>>) -> usize {
    let mut refused = 0;
    for answer in asked {
        refused += usize::from(!matches!(answer.await, FinalAnswer::Completed(_)));
    }
    refused
}

/// Guards against requests shed after a short standstill of the gateway, which it took for overload of its servers.
#[test]
fn a_gateway_that_stood_still_for_a_moment_serves_what_it_served_before() {
    let calls = Arc::new(AtomicUsize::new(0));
    let addresses: Vec<SocketAddr> = (0..SERVERS).map(|_| server(&calls)).collect();
    let shared = shared();
    let (events, mailbox) = async_channel::bounded(256);
    let (_operators, operator_mailbox) = async_channel::bounded(1);
    let (discovery, _discovery_mailbox) = async_channel::bounded(1);
    let dispatcher = Dispatcher::new(&shared, settings(), &events, None, discovery);
    shared.executor.spawn(dispatcher.run(Some(list(&addresses)), mailbox, operator_mailbox)).detach();
    let refusals = async {
        let mut before = 0;
        for _ in 0..ROUNDS_BEFORE {
            before += refused(ask_all(&shared, &events)).await;
        }
        let during = ask_all(&shared, &events);
        while calls.load(Ordering::SeqCst) < (ROUNDS_BEFORE + 1) * CLIENTS {
            Timer::after(POLL_INTERVAL).await;
        }
        // All tasks of the gateway run on this thread.
        thread::sleep(STANDSTILL);
        [before, refused(during).await, refused(ask_all(&shared, &events)).await]
    };
    let refusals = async_io::block_on(shared.executor.run(refusals));
    assert_eq!(refusals, [0, 0, 0], "refused before, during and after the standstill");
}
