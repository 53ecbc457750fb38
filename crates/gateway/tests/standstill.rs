//! A gateway whose single thread is stalled for a while, with servers and clients that keep running.

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
use fernscale_gateway::shared::{Event, FinalReply, ReceivedRequest, ReplyHandle, Reservations, Shared};
use fernscale_gateway::transport::buffer::Buffer;
use fernscale_gateway::transport::connection::Connection;
use fernscale_gateway::transport::reply_memory::ReplyShare;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Endpoint, EndpointState, Id, Idempotency, Plan, RequestClass, Settings};
use futures_lite::future;

const SERVERS: usize = 3;
const CLIENTS: usize = 8;
/// How long each server takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Calls of each client before a stall. From these the gateway learns the latency of its servers.
const ROUNDS_BEFORE: usize = 20;
/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The length of a stall, far shorter than [`CLIENT_TIMEOUT`].
const STALL: Duration = Duration::from_millis(300);
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

/// Servers with one thread for each connection.
#[derive(Clone)]
struct Servers {
    addresses: Vec<SocketAddr>,
    /// The number of calls that all servers have received.
    calls: Arc<AtomicUsize>,
    /// How long each server takes for a call, in milliseconds.
    service_time_ms: Arc<AtomicU64>,
    /// The bytes of the call that was received last.
    last_call: Arc<Mutex<String>>,
    /// The length of the values in replies.
    value_length: usize,
    /// While the gate is closed, calls are not answered.
    gate: Arc<Gate>,
}

/// Blocks threads while it is closed.
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

    /// Waits until the gate is open.
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
        servers.addresses = (0..count).map(|_| servers.start_server()).collect();
        servers
    }

    fn start_server(&self) -> SocketAddr {
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

    /// Answers the commands on a connection in order until the connection ends. Answers `SELECT`, the fence, without delay.
    fn answer(&self, stream: &mut TcpStream) {
        let (mut bytes, mut chunk) = (Vec::new(), [0; 1024]);
        while let Ok(count @ 1..) = stream.read(&mut chunk) {
            bytes.extend_from_slice(&chunk[..count]);
            while let Some((words, length)) = resp::command(&bytes).expect("a valid command") {
                // All values are equal here, so the gateway writes a fence after each call.
                let is_fence = words[0] == b"SELECT";
                let command: Vec<u8> = bytes.drain(..length).collect();
                let answer = if is_fence { "+OK\r\n".into() } else { self.answer_call(&command) };
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

fn endpoint_list(addresses: &[SocketAddr]) -> EndpointUpdate {
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

/// A gateway on this thread. While the thread sleeps, all tasks of the gateway are stalled.
struct Gateway {
    shared: Rc<Shared>,
    events: Sender<Event>,
}

impl Gateway {
    /// Runs `work` with a gateway that uses these servers.
    fn run<T>(servers: &Servers, work: impl AsyncFnOnce(Gateway) -> T) -> T {
        let shared = shared();
        let (events, mailbox) = async_channel::bounded(256);
        let (_operators, operator_mailbox) = async_channel::bounded(1);
        let (discovery, _discovery_mailbox) = async_channel::bounded(1);
        let dispatcher = Dispatcher::new(&shared, settings(), &events, None, discovery);
        let list = endpoint_list(&servers.addresses);
        shared.executor.spawn(dispatcher.run(Some(list), mailbox, operator_mailbox)).detach();
        let gateway = Gateway { shared: shared.clone(), events };
        async_io::block_on(shared.executor.run(work(gateway)))
    }

    /// Sends a request from each of `clients` clients at once. Each waits for `client_timeout`.
    fn send_requests(&self, clients: usize, client_timeout: Duration) -> Vec<Task<FinalAnswer>> {
        let request = |_| {
            self.shared.executor.spawn(send_request(self.shared.clone(), self.events.clone(), client_timeout))
        };
        (0..clients).map(request).collect()
    }

    /// Sends requests from all clients at once, `rounds` times. Returns how many were not served.
    async fn rounds(&self, rounds: usize) -> usize {
        let mut unserved = 0;
        for _ in 0..rounds {
            unserved += count_unserved(self.send_requests(CLIENTS, CLIENT_TIMEOUT)).await;
        }
        unserved
    }

    /// Waits until the servers have received `calls` calls in all, opens their gate, and stalls the gateway for `time`.
    async fn stall_after(&self, servers: &Servers, calls: usize, time: Duration) {
        while servers.calls() < calls {
            Timer::after(POLL_INTERVAL).await;
        }
        servers.gate.open();
        thread::sleep(time);
    }
}

/// Sends a request of a client that waits for `client_timeout`, and returns the answer.
async fn send_request(shared: Rc<Shared>, events: Sender<Event>, client_timeout: Duration) -> FinalAnswer {
    let ticket = shared.next_ticket.get();
    shared.next_ticket.set(ticket + 1);
    let (id, list) = (format!("t{ticket}"), format!("c=read,t=team,d={}", client_timeout.as_millis()));
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", id.as_bytes(), list.as_bytes()];
    let Ok(Command::Call(call)) = call::command(&words, &shared.platform) else { panic!("a call") };
    let (sender, replies) = async_channel::bounded(1);
    let [open, bytes] =
        [&shared.limits.open, &shared.limits.bytes].map(|slots| slots.reserve(1).expect("a slot"));
    let reply = ReplyShare::new(&shared.limits.replies).reserve().expect("memory");
    let reservations = Reservations { open, bytes, reply };
    let reply = ReplyHandle { ticket, number: 0, sender, reservations };
    let received = ReceivedRequest { call, reply, received_at: Instant::now() };
    events.send(Event::RequestReceived(received)).await.expect("the dispatcher runs");
    match replies.recv().await.expect("an answer").1 {
        FinalReply::Complete(answer) => answer,
        FinalReply::Streamed(_) => panic!("a short value is not streamed"),
    }
}

/// How many of the requests were not served.
async fn count_unserved(asked: Vec<Task<FinalAnswer>>) -> usize {
    let mut unserved = 0;
    for answer in asked {
        unserved += usize::from(!matches!(answer.await, FinalAnswer::Completed(_)));
    }
    unserved
}

/// How many requests were not served before, during and after a stall in the middle of a round of requests.
fn unserved_around_stall(stall: Duration, rounds_before: usize) -> [usize; 3] {
    let servers = Servers::start(SERVERS);
    Gateway::run(&servers, async |gateway| {
        let before = gateway.rounds(rounds_before).await;
        let during = gateway.send_requests(CLIENTS, CLIENT_TIMEOUT);
        gateway.stall_after(&servers, (rounds_before + 1) * CLIENTS, stall).await;
        [before, count_unserved(during).await, gateway.rounds(10).await]
    })
}

/// Guards against shedding requests after a short stall of the gateway, because the gateway takes the stall for overload of its
/// servers.
#[test]
fn a_short_stall_costs_no_request_its_answer() {
    assert_eq!(
        unserved_around_stall(STALL, ROUNDS_BEFORE),
        [0, 0, 0],
        "not served before, during and after the stall"
    );
}

/// The same for stalls of an eighth to three quarters of the time that clients wait.
#[test]
fn a_stall_that_is_shorter_than_the_client_timeout_costs_no_request_its_answer() {
    for stall in [150, 600, 900].map(Duration::from_millis) {
        assert_eq!(unserved_around_stall(stall, ROUNDS_BEFORE), [0, 0, 0], "a stall of {stall:?}");
    }
}

/// The same before the gateway has measured its servers.
#[test]
fn a_stall_right_after_the_start_costs_no_request_its_answer() {
    assert_eq!(unserved_around_stall(STALL, 0), [0, 0, 0]);
}

/// The same for repeated stalls that take half of the time.
#[test]
fn repeated_stalls_cost_no_request_its_answer() {
    let servers = Servers::start(SERVERS);
    let stall = Duration::from_millis(50);
    let unserved = Gateway::run(&servers, async |gateway| {
        let mut unserved = gateway.rounds(ROUNDS_BEFORE).await;
        for _ in 0..20 {
            let during = gateway.send_requests(CLIENTS, CLIENT_TIMEOUT);
            gateway.stall_after(&servers, servers.calls() + CLIENTS, stall).await;
            unserved += count_unserved(during).await;
            Timer::after(stall).await;
        }
        unserved
    });
    assert_eq!(unserved, 0);
}

/// Guards against a reply that arrived in time, but is read late, losing to the timer that fails its request.
#[test]
fn a_reply_that_arrived_in_time_reaches_its_client_although_the_timer_has_expired() {
    // Values that the gateway reads in one piece, and values that take several reads.
    for value_length in [1, 4_000, 40_000] {
        let servers = Servers::with_values(SERVERS, value_length);
        let unserved = Gateway::run(&servers, async |gateway| {
            let before = gateway.rounds(ROUNDS_BEFORE).await;
            let during = gateway.send_requests(CLIENTS, Duration::from_millis(300));
            gateway.stall_after(&servers, (ROUNDS_BEFORE + 1) * CLIENTS, Duration::from_millis(400)).await;
            [before, count_unserved(during).await]
        });
        assert_eq!(unserved, [0, 0], "values of {value_length} bytes");
    }
}

/// Guards against forwarding a request whose deadline passed during a stall, without a time limit.
#[test]
fn a_request_whose_deadline_passed_during_a_stall_is_sent_to_no_server() {
    for (client_timeout, stall) in [(300, 400), (200, 230), (200, 195)] {
        let servers = Servers::start(1);
        // Otherwise a reply that is read before the stall would let a queued request through.
        servers.gate.close();
        let (client_timeout, stall) = (Duration::from_millis(client_timeout), Duration::from_millis(stall));
        let unserved = Gateway::run(&servers, async |gateway| {
            let during = gateway.send_requests(6, client_timeout);
            gateway.stall_after(&servers, 4, stall).await;
            let unserved = count_unserved(during).await;
            Timer::after(5 * SERVICE_TIME).await;
            unserved
        });
        assert_eq!(
            (unserved, servers.calls()),
            (2, 4),
            "a client timeout of {client_timeout:?}, a stall of {stall:?}"
        );
    }
}

/// Guards against rejecting requests for the time that they were queued during a stall, although servers are free.
#[test]
fn a_request_that_was_queued_during_a_stall_is_served_if_servers_are_free() {
    // An unmeasured server gets four attempts. Two more requests are queued, for at most a quarter of the latency objective.
    let servers = Servers::start(1);
    servers.gate.close();
    let unserved = Gateway::run(&servers, async |gateway| {
        let during = gateway.send_requests(6, CLIENT_TIMEOUT);
        gateway.stall_after(&servers, 4, Duration::from_millis(270)).await;
        count_unserved(during).await
    });
    assert_eq!(unserved, 0);
}

/// Guards against counting one stall of all servers as a long period of slow replies, once for each attempt that it delayed.
/// Requests were rejected then that idle servers could have served.
#[test]
fn a_short_stall_of_all_servers_costs_no_request_its_answer() {
    for stall in [150, 300].map(Duration::from_millis) {
        let servers = Servers::start(SERVERS);
        let unserved = Gateway::run(&servers, async |gateway| {
            let before = gateway.rounds(ROUNDS_BEFORE).await;
            servers.service_time_ms.store(stall.as_millis() as u64, Ordering::SeqCst);
            let during = gateway.rounds(1).await;
            servers.service_time_ms.store(SERVICE_TIME.as_millis() as u64, Ordering::SeqCst);
            [before, during, gateway.rounds(10).await]
        });
        assert_eq!(unserved, [0, 0, 0], "servers that were stalled for {stall:?}");
    }
}

/// Sends a client's second request while the gateway is stalled. Returns the answer, and the time limit in milliseconds that the
/// server was told. `before` runs right before the stall.
fn ask_during_stall(stall: Duration, before: impl FnOnce(&Shared, Sender<()>)) -> (String, u64) {
    let servers = Servers::start(1);
    let answer = Gateway::run(&servers, async |gateway| {
        let (stop_accepting, shutdown) = async_channel::bounded(1);
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let address = listener.get_ref().local_addr().expect("an address");
        let accepts = Listener::new(&gateway.shared, &gateway.events, shutdown);
        gateway.shared.executor.spawn(async move { accepts.run(&listener).await }).detach();
        let (continue_sender, continue_receiver) = mpsc::channel();
        let (asked, answers) = async_channel::bounded(2);
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("connected");
            let mut answer = [0; 1024];
            for id in [&b"t1"[..], b"t2"] {
                let words = [&b"CALL.GET"[..], b"00000000b4d65521", id, b"c=read,t=team,d=1200"];
                stream.write_all(&resp::write_command(&words)).expect("written");
                let count = stream.read(&mut answer).expect("an answer");
                let text = String::from_utf8_lossy(&answer[..count]).into_owned();
                asked.send_blocking(text).expect("the test waits");
                let _ = continue_receiver.recv();
            }
        });
        answers.recv().await.expect("the first answer");
        before(&gateway.shared, stop_accepting);
        continue_sender.send(()).expect("the client waits");
        thread::sleep(stall);
        let answer = answers.recv().await.expect("the second answer");
        drop(continue_sender);
        client.join().expect("the client ends");
        answer
    });
    let call = servers.last_call.lock().expect("the last call").clone();
    let told_ms = call.split("d=").nth(1).and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
    (answer, told_ms.and_then(|told_ms| told_ms.parse().ok()).expect("a time"))
}

/// Guards against telling a server a longer time limit than its client has left. The platform's rule allows 0.15 s more.
#[test]
fn a_server_is_told_the_clients_remaining_time_although_the_request_was_read_late() {
    let (answer, told_ms) = ask_during_stall(Duration::from_millis(500), |_, _| {});
    assert_eq!(answer, "$1\r\nv\r\n");
    assert!(told_ms <= 1_200 - 500 + 150, "{told_ms} ms");
}

/// Guards against rejecting a request as too late in a graceful shutdown, although it arrived at the shutdown's beginning and was
/// only read late, after a stall.
#[test]
fn a_request_that_arrived_early_in_a_shutdown_is_served_although_it_is_read_late() {
    let (answer, _) = ask_during_stall(Duration::from_millis(900), |shared, stop_accepting| {
        shared.shutting_down_since.set(Some(Instant::now()));
        stop_accepting.close();
    });
    assert_eq!(answer, "$1\r\nv\r\n");
}

/// Guards against treating a connection that was established during a stall as a connect timeout.
#[test]
fn a_connection_that_was_established_during_a_stall_is_used() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let limit = Duration::from_millis(50);
    let connected = async_io::block_on(async {
        // Waits once first: otherwise another thread polls the sockets after the stall, and the dial is notified one poll late.
        Timer::after(POLL_INTERVAL).await;
        thread::sleep(2 * limit);
        let mut dial = pin!(Connection::connect(address, limit, Buffer::new(1_024, None), None));
        assert!(
            future::poll_once(&mut dial).await.is_none(),
            "connecting takes an iteration of the event loop"
        );
        thread::sleep(2 * limit);
        dial.await.is_ok()
    });
    assert!(connected);
}
