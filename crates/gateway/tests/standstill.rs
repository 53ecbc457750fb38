//! A gateway whose one thread stands still for a while, among servers and clients that don't.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use async_io::{Async, Timer};
use fernscale_gateway::dispatcher::Dispatcher;
use fernscale_gateway::downstream::Listener;
use fernscale_gateway::protocol::call::{self, Command, FinalAnswer};
use fernscale_gateway::protocol::catalog::EndpointUpdate;
use fernscale_gateway::protocol::resp;
use fernscale_gateway::shared::{Event, FinalReply, ReceivedRequest, ReplyHandle, Shared};
use fernscale_gateway::transport::buffer::Buffer;
use fernscale_gateway::transport::connection::Connection;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Endpoint, EndpointState, Id, Idempotency, Plan, RequestClass, Settings};
use futures_lite::future;

const SERVERS: usize = 3;
const CLIENTS: usize = 8;
/// What each server takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// So many calls of each client teach the gateway how fast its servers are.
const ROUNDS_BEFORE: usize = 20;
/// What a client waits.
const CLIENT_TIME: Duration = Duration::from_millis(1_200);
/// Far shorter than a client waits.
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
    Rc::new(support::shared(platform()))
}

/// Servers with a thread of their own for each connection.
#[derive(Clone)]
struct Servers {
    addresses: Vec<SocketAddr>,
    /// The calls that have come to all of them.
    calls: Arc<AtomicUsize>,
    /// What each of them takes for a call, in milliseconds.
    service_time_ms: Arc<AtomicU64>,
    /// The call that came last, as it was written.
    last_call: Arc<Mutex<String>>,
    /// The length of the values that they answer with.
    value_length: usize,
    /// Calls are answered only while this is open.
    gate: Arc<Gate>,
}

/// Holds threads up while it is closed.
#[derive(Default)]
struct Gate {
    closed: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn close(&self) {
        *self.closed.lock().expect("the gate") = true;
    }

    fn open(&self) {
        *self.closed.lock().expect("the gate") = false;
        self.opened.notify_all();
    }

    /// Waits until it is open.
    fn pass(&self) {
        let closed = self.closed.lock().expect("the gate");
        drop(self.opened.wait_while(closed, |closed| *closed).expect("the gate"));
    }
}

impl Servers {
    fn start(count: usize) -> Self {
        Servers::with_values(count, 1)
    }

    fn with_values(count: usize, value_length: usize) -> Self {
        let mut servers = Servers {
            addresses: Vec::new(),
            calls: Arc::default(),
            service_time_ms: Arc::new(AtomicU64::new(SERVICE_TIME.as_millis() as u64)),
            last_call: Arc::default(),
            value_length,
            gate: Arc::default(),
        };
        servers.addresses = (0..count).map(|_| servers.start_one()).collect();
        servers
    }

    fn start_one(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let servers = self.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let servers = servers.clone();
                thread::spawn(move || servers.answer(&mut stream));
            }
        });
        address
    }

    /// Answers the commands of a connection in their order, `SELECT` at once, until it ends.
    fn answer(&self, stream: &mut TcpStream) {
        let (mut bytes, mut part) = (Vec::new(), [0; 1024]);
        while let Ok(count @ 1..) = stream.read(&mut part) {
            bytes.extend_from_slice(&part[..count]);
            while let Some((words, length)) = resp::command(&bytes).expect("a command in good form") {
                // All values are equal here, so that the gateway has it answered behind each call.
                let is_select = words[0] == b"SELECT";
                let command: Vec<u8> = bytes.drain(..length).collect();
                let answer = if is_select { "+OK\r\n".into() } else { self.answer_call(&command) };
                let _ = stream.write_all(answer.as_bytes());
            }
        }
    }

    fn answer_call(&self, call: &[u8]) -> String {
        *self.last_call.lock().expect("the last call") = String::from_utf8_lossy(call).into_owned();
        self.calls.fetch_add(1, Ordering::SeqCst);
        self.gate.pass();
        thread::sleep(Duration::from_millis(self.service_time_ms.load(Ordering::SeqCst)));
        let (length, value) = (self.value_length, "v".repeat(self.value_length));
        format!("*3\r\n${length}\r\n{value}\r\n$-1\r\n$-1\r\n")
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
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

/// A gateway on this thread: where the thread sleeps, all of its tasks stand still.
struct Gateway {
    shared: Rc<Shared>,
    events: Sender<Event>,
}

impl Gateway {
    /// Runs some work beside a gateway of these servers.
    fn run<T>(servers: &Servers, work: impl AsyncFnOnce(Gateway) -> T) -> T {
        let shared = shared();
        let (events, mailbox) = async_channel::bounded(256);
        let (_operators, operator_mailbox) = async_channel::bounded(1);
        let (discovery, _discovery_mailbox) = async_channel::bounded(1);
        let dispatcher = Dispatcher::new(&shared, settings(), &events, None, discovery);
        let list = list(&servers.addresses);
        shared.executor.spawn(dispatcher.run(Some(list), mailbox, operator_mailbox)).detach();
        let gateway = Gateway { shared: shared.clone(), events };
        async_io::block_on(shared.executor.run(work(gateway)))
    }

    /// Has so many clients ask at once that wait so long.
    fn ask(&self, clients: usize, client_time: Duration) -> Vec<Task<FinalAnswer>> {
        let ask = |_| self.shared.executor.spawn(ask(self.shared.clone(), self.events.clone(), client_time));
        (0..clients).map(ask).collect()
    }

    /// Has all clients ask so often, all at once each time; how many were not served.
    async fn rounds(&self, rounds: usize) -> usize {
        let mut refusals = 0;
        for _ in 0..rounds {
            refusals += refused(self.ask(CLIENTS, CLIENT_TIME)).await;
        }
        refusals
    }

    /// Stands still once so many calls have come to the servers in all. Calls that they held up are answered from then on.
    async fn stand_still(&self, servers: &Servers, calls: usize, time: Duration) {
        while servers.calls() < calls {
            Timer::after(POLL_INTERVAL).await;
        }
        servers.gate.open();
        thread::sleep(time);
    }
}

/// What a client that waits so long is answered.
async fn ask(shared: Rc<Shared>, events: Sender<Event>, client_time: Duration) -> FinalAnswer {
    let ticket = shared.next_ticket.get();
    shared.next_ticket.set(ticket + 1);
    let (id, list) = (format!("t{ticket}"), format!("c=read,t=team,d={}", client_time.as_millis()));
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", id.as_bytes(), list.as_bytes()];
    let Ok(Command::Call(call)) = call::command(&words, &shared.platform) else { panic!("a call") };
    let (sender, replies) = async_channel::bounded(1);
    let reservations = [&shared.limits.open, &shared.limits.bytes].map(|slots| slots.reserve(1).expect("a slot"));
    let reply = ReplyHandle { ticket, number: 0, sender, reservations };
    let received = ReceivedRequest { call, reply, received_at: Instant::now() };
    events.send(Event::RequestReceived(received)).await.expect("the dispatcher runs");
    match replies.recv().await.expect("an answer").1 {
        FinalReply::Complete(answer) => answer,
        FinalReply::Streamed(_) => panic!("a value that short is not streamed"),
    }
}

/// How many were not served.
async fn refused(asked: Vec<Task<FinalAnswer>>) -> usize {
    let mut refused = 0;
    for answer in asked {
        refused += usize::from(!matches!(answer.await, FinalAnswer::Completed(_)));
    }
    refused
}

/// How many were refused before, during and after a standstill under a round of calls.
fn refused_around(standstill: Duration, rounds_before: usize) -> [usize; 3] {
    let servers = Servers::start(SERVERS);
    Gateway::run(&servers, async |gateway| {
        let before = gateway.rounds(rounds_before).await;
        let during = gateway.ask(CLIENTS, CLIENT_TIME);
        gateway.stand_still(&servers, (rounds_before + 1) * CLIENTS, standstill).await;
        [before, refused(during).await, gateway.rounds(10).await]
    })
}

/// Guards against requests shed after a short standstill of the gateway, which it took for overload of its servers.
#[test]
fn a_gateway_that_stood_still_for_a_moment_serves_what_it_served_before() {
    assert_eq!(
        refused_around(STANDSTILL, ROUNDS_BEFORE),
        [0, 0, 0],
        "refused before, during and after the standstill"
    );
}

/// The same for standstills of an eighth to three quarters of what clients wait.
#[test]
fn a_gateway_that_stood_still_for_less_than_its_clients_wait_serves_what_it_served_before() {
    for standstill in [150, 600, 900].map(Duration::from_millis) {
        assert_eq!(refused_around(standstill, ROUNDS_BEFORE), [0, 0, 0], "a standstill of {standstill:?}");
    }
}

/// The same where nothing is known of the servers yet.
#[test]
fn a_gateway_that_stands_still_right_after_its_start_serves_all() {
    assert_eq!(refused_around(STANDSTILL, 0), [0, 0, 0]);
}

/// The same where it happens on and on, for half of the time.
#[test]
fn a_gateway_that_stands_still_again_and_again_serves_all() {
    let servers = Servers::start(SERVERS);
    let standstill = Duration::from_millis(50);
    let refusals = Gateway::run(&servers, async |gateway| {
        let mut refusals = gateway.rounds(ROUNDS_BEFORE).await;
        for _ in 0..20 {
            let during = gateway.ask(CLIENTS, CLIENT_TIME);
            gateway.stand_still(&servers, servers.calls() + CLIENTS, standstill).await;
            refusals += refused(during).await;
            Timer::after(standstill).await;
        }
        refusals
    });
    assert_eq!(refusals, 0);
}

/// Guards against an answer that came in time, and is read late, losing to the timer that gives its request up.
#[test]
fn an_answer_that_came_in_time_reaches_its_client_though_its_timer_has_expired() {
    // Values that one read of the gateway's takes, and values that take several.
    for value_length in [1, 4_000, 40_000] {
        let servers = Servers::with_values(SERVERS, value_length);
        let refusals = Gateway::run(&servers, async |gateway| {
            let before = gateway.rounds(ROUNDS_BEFORE).await;
            let during = gateway.ask(CLIENTS, Duration::from_millis(300));
            gateway.stand_still(&servers, (ROUNDS_BEFORE + 1) * CLIENTS, Duration::from_millis(400)).await;
            [before, refused(during).await]
        });
        assert_eq!(refusals, [0, 0], "values of {value_length} bytes");
    }
}

/// Guards against a request that waited through a standstill beyond its time being sent all the same, with an endless limit.
#[test]
fn a_request_whose_time_ran_out_in_a_standstill_is_sent_to_no_server() {
    for (client_time, standstill) in [(300, 400), (200, 230), (200, 195)] {
        let servers = Servers::start(1);
        // Danger: an answer that is read before the standstill makes room for a call that waits.
        servers.gate.close();
        let (client_time, standstill) =
            (Duration::from_millis(client_time), Duration::from_millis(standstill));
        let refusals = Gateway::run(&servers, async |gateway| {
            let during = gateway.ask(6, client_time);
            gateway.stand_still(&servers, 4, standstill).await;
            let refusals = refused(during).await;
            Timer::after(5 * SERVICE_TIME).await;
            refusals
        });
        assert_eq!(
            (refusals, servers.calls()),
            (2, 4),
            "{client_time:?} left, a standstill of {standstill:?}"
        );
    }
}

/// Guards against requests that waited for a server through a standstill being given up for that wait, with servers free.
#[test]
fn a_request_that_waited_through_a_standstill_is_served_where_servers_are_free() {
    // A server that nothing is known of gets four; two more wait, for a quarter of the latency objective at the most.
    let servers = Servers::start(1);
    servers.gate.close();
    let refusals = Gateway::run(&servers, async |gateway| {
        let during = gateway.ask(6, CLIENT_TIME);
        gateway.stand_still(&servers, 4, Duration::from_millis(270)).await;
        refused(during).await
    });
    assert_eq!(refusals, 0);
}

/// Guards against one moment in which all servers stand still counting as a long time of slow answers, one for each attempt that
/// it held up: requests were rejected that idle servers could have answered.
#[test]
fn a_moment_in_which_all_servers_stand_still_costs_no_request_its_answer() {
    for standstill in [150, 300].map(Duration::from_millis) {
        let servers = Servers::start(SERVERS);
        let refusals = Gateway::run(&servers, async |gateway| {
            let before = gateway.rounds(ROUNDS_BEFORE).await;
            servers.service_time_ms.store(standstill.as_millis() as u64, Ordering::SeqCst);
            let during = gateway.rounds(1).await;
            servers.service_time_ms.store(SERVICE_TIME.as_millis() as u64, Ordering::SeqCst);
            [before, during, gateway.rounds(10).await]
        });
        assert_eq!(refusals, [0, 0, 0], "servers that stood still for {standstill:?}");
    }
}

/// What a client is answered that asks a second time while the gateway stands still, and the time in milliseconds that the server
/// was told to have. Something may happen right before the standstill.
fn asked_in_a_standstill(standstill: Duration, before: impl FnOnce(&Shared, Sender<()>)) -> (String, u64) {
    let servers = Servers::start(1);
    let answer = Gateway::run(&servers, async |gateway| {
        let (stop_accepting, shutdown) = async_channel::bounded(1);
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let address = listener.get_ref().local_addr().expect("an address");
        let accepts = Listener::new(&gateway.shared, &gateway.events, shutdown);
        gateway.shared.executor.spawn(async move { accepts.run(&listener).await }).detach();
        let (go_on, may_go_on) = mpsc::channel();
        let (asked, answers) = async_channel::bounded(2);
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("connected");
            let mut answer = [0; 1024];
            for id in [&b"t1"[..], b"t2"] {
                let words = [&b"CALL.GET"[..], b"00000000b4d65521", id, b"c=read,t=team,d=1200"];
                stream.write_all(&resp::write_command(&words)).expect("written");
                let count = stream.read(&mut answer).expect("an answer");
                let text = String::from_utf8_lossy(&answer[..count]).into_owned();
                asked.send_blocking(text).expect("heard");
                let _ = may_go_on.recv();
            }
        });
        answers.recv().await.expect("the first answer");
        before(&gateway.shared, stop_accepting);
        go_on.send(()).expect("the client waits");
        thread::sleep(standstill);
        let answer = answers.recv().await.expect("the second answer");
        drop(go_on);
        client.join().expect("it ends");
        answer
    });
    let call = servers.last_call.lock().expect("the last call").clone();
    let told = call.split("d=").nth(1).and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
    (answer, told.and_then(|told| told.parse().ok()).expect("a time"))
}

/// Guards against a server being told more time than its client has left: more than 0.15 s over breaks the platform's rule.
#[test]
fn a_server_is_told_what_the_client_has_left_though_its_request_was_read_late() {
    let (answer, told) = asked_in_a_standstill(Duration::from_millis(500), |_, _| {});
    assert_eq!(answer, "$1\r\nv\r\n");
    assert!(told <= 1_200 - 500 + 150, "{told} ms");
}

/// Guards against a request rejected as too late in a shutdown that came at its very beginning, and was read after a standstill.
#[test]
fn a_request_that_came_early_in_a_shutdown_is_served_though_it_is_read_late() {
    let (answer, _) = asked_in_a_standstill(Duration::from_millis(900), |shared, stop_accepting| {
        shared.shutting_down_since.set(Some(Instant::now()));
        stop_accepting.close();
    });
    assert_eq!(answer, "$1\r\nv\r\n");
}

/// Guards against a dial that was answered while the gateway stood still passing for one that nobody answered.
#[test]
fn a_connection_that_was_established_in_a_standstill_is_used() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let limit = Duration::from_millis(50);
    let connected = async_io::block_on(async {
        // Danger: after a standstill another thread looks at the sockets, and the dial is told of its end one look late.
        Timer::after(POLL_INTERVAL).await;
        thread::sleep(2 * limit);
        let mut dial = pin!(Connection::connect(address, limit, Buffer::new(1_024, None), None));
        assert!(future::poll_once(&mut dial).await.is_none(), "a dial takes a turn of the event loop");
        thread::sleep(2 * limit);
        dial.await.is_ok()
    });
    assert!(connected);
}
