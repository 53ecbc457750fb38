//! Starts the gateway as a process, and provides test servers, discovery services, clients and operator requests.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fernscale_gateway::protocol::resp;

pub const TIMEOUT: Duration = Duration::from_secs(5);
/// An endpoint list without servers.
pub const NO_SERVERS: &str = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;

/// How a test server answers an attempt.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    Serve,
    /// Answers, and closes the connection 50 ms later.
    ServeAndClose,
    /// Answers that it is overloaded.
    Overloaded,
    Fail,
    /// Answers with invalid syntax.
    InvalidReply,
    /// Reads the attempt and resets the connection.
    Reset,
    /// Never answers.
    Silent,
    /// Answers after this number of milliseconds.
    Delayed(u64),
    /// Delays the answer until the behavior is changed.
    Hold,
    /// Sends the start of an answer and never completes it.
    PartialReply,
    /// Sends the start of an answer with a valid value, and then these bytes.
    TrailingBytes(&'static str),
    /// Sends a valid answer, and the same answer again 4 ms later.
    DuplicateReply,
    /// Answers with a value of `length` bytes, with a pause in milliseconds in the middle of the value.
    Large {
        length: usize,
        pause: u64,
    },
    /// Answers with a value of `length` bytes: its head, then after `head_pause` milliseconds the value in pieces, with `pause`
    /// milliseconds between them.
    Paced {
        length: usize,
        head_pause: u64,
        piece: usize,
        pause: u64,
    },
    /// Answers with a value of ten bytes, with a pause in milliseconds in the middle of its length.
    SplitHead {
        pause: u64,
    },
    /// Announces a value of `length` bytes but sends only `sent_bytes`. Then closes the connection if at least 1000 bytes were
    /// sent, and keeps it open otherwise.
    Truncated {
        length: usize,
        sent_bytes: usize,
    },
    /// Answers with a value of `length` bytes that is not followed by a line end.
    MissingLineEnd {
        length: usize,
    },
    /// Answers with a value of `length` bytes, announces it as `excess` bytes longer, and sends these items behind it. Then closes
    /// the connection, or keeps it open.
    WrongLength {
        length: usize,
        excess: usize,
        items: &'static str,
        closes: bool,
    },
    /// Answers the first attempt on a connection, and closes the connection on the second.
    ServeOnce,
}

pub struct Server {
    pub address: SocketAddr,
    pub behavior: Arc<Mutex<Behavior>>,
    /// The complete commands that were received.
    pub calls: Arc<Mutex<Vec<Vec<String>>>>,
    /// Number of open connections.
    pub open_connections: Arc<AtomicUsize>,
}

/// Binds a listener to a free address. No other test gets this address, even after the listener is closed.
pub fn bind_listener() -> (TcpListener, SocketAddr) {
    static NEXT_ADDRESS: AtomicUsize = AtomicUsize::new(0);
    let (number, process_id) = (NEXT_ADDRESS.fetch_add(1, Ordering::SeqCst), std::process::id());
    let ip = [127, (process_id % 250) as u8 + 1, (number / 250) as u8, (number % 250) as u8 + 1];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Calls `handle` for each command on a connection, until the connection ends or `handle` returns false.
pub fn read_commands(mut stream: &TcpStream, mut handle: impl FnMut(Vec<String>) -> bool) {
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        while let Some((arguments, length)) = resp::command(&bytes).expect("a valid command") {
            let arguments =
                arguments.iter().map(|argument| String::from_utf8_lossy(argument).into_owned()).collect();
            bytes.drain(..length);
            if !handle(arguments) {
                return;
            }
        }
        match stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => return,
        }
    }
}

impl Server {
    pub fn start(behavior: Behavior) -> Self {
        let (listener, address) = bind_listener();
        let (behavior, calls, open_connections) =
            (Arc::new(Mutex::new(behavior)), Arc::default(), Arc::default());
        let server = Server { address, behavior, calls, open_connections };
        let (behavior, calls, open_connections) =
            (server.behavior.clone(), server.calls.clone(), server.open_connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behavior, calls, open_connections) =
                    (behavior.clone(), calls.clone(), open_connections.clone());
                open_connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    Server::serve(&stream, &behavior, &calls);
                    open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    pub fn serve(stream: &TcpStream, behavior: &Mutex<Behavior>, calls: &Mutex<Vec<Vec<String>>>) {
        let mut served_on_connection = 0;
        read_commands(stream, |arguments| {
            let value = arguments[2].clone();
            calls.lock().expect("calls").push(arguments);
            served_on_connection += 1;
            let mut writer = stream;
            while *behavior.lock().expect("behavior") == Behavior::Hold {
                thread::sleep(Duration::from_millis(1));
            }
            let behavior = *behavior.lock().expect("behavior");
            let mut write = |bytes: &[u8]| writer.write_all(bytes).is_ok();
            let served = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
            match behavior {
                Behavior::Serve => write(served.as_bytes()),
                Behavior::ServeAndClose => {
                    write(served.as_bytes());
                    thread::sleep(Duration::from_millis(50));
                    false
                }
                Behavior::Delayed(ms) => {
                    thread::sleep(Duration::from_millis(ms));
                    write(served.as_bytes())
                }
                Behavior::ServeOnce => served_on_connection == 1 && write(served.as_bytes()),
                Behavior::Large { length, pause } => {
                    let half = vec![b'v'; length / 2];
                    write(format!("*3\r\n${length}\r\n").as_bytes()) && write(&half) && {
                        thread::sleep(Duration::from_millis(pause));
                        write(&half) && write(b"\r\n$6\r\ncost=1\r\n$-1\r\n")
                    }
                }
                Behavior::Paced { length, head_pause, piece, pause } => {
                    write(format!("*3\r\n${length}\r\n").as_bytes())
                        && (0..length).step_by(piece).all(|start| {
                            let pause = if start == 0 { head_pause } else { pause };
                            thread::sleep(Duration::from_millis(pause));
                            write(&vec![b'v'; piece.min(length - start)])
                        })
                        && write(b"\r\n$6\r\ncost=1\r\n$-1\r\n")
                }
                Behavior::SplitHead { pause } => {
                    write(b"*3\r\n$1") && {
                        thread::sleep(Duration::from_millis(pause));
                        write(b"0\r\nvvvvvvvvvv\r\n$-1\r\n$-1\r\n")
                    }
                }
                Behavior::Truncated { length, sent_bytes } => {
                    write(format!("*3\r\n${length}\r\n").as_bytes());
                    write(&vec![b'v'; sent_bytes]);
                    // After few bytes the connection stays open; after a larger part of the value it is closed.
                    sent_bytes < 1_000
                }
                Behavior::MissingLineEnd { length } => {
                    write(format!("*3\r\n${length}\r\n").as_bytes());
                    write(&vec![b'v'; length]) && write(b"vv$-1\r\n$-1\r\n")
                }
                Behavior::WrongLength { length, excess, items, closes } => {
                    let announced = length + excess;
                    let padding = "v".repeat(length - value.len());
                    let reply = format!("*3\r\n${announced}\r\n{value}{padding}\r\n{items}");
                    write(reply.as_bytes()) && !closes
                }
                Behavior::Overloaded => write(b"-BUSY\r\n"),
                Behavior::Fail => write(b"-ERR failed\r\n"),
                Behavior::InvalidReply => write(b"?what\r\n"),
                Behavior::PartialReply => write(b"*3\r\n$9\r\nhalf"),
                Behavior::TrailingBytes(more) => {
                    write(format!("*3\r\n${}\r\n{value}\r\n{more}", value.len()).as_bytes())
                }
                Behavior::DuplicateReply => {
                    write(served.as_bytes());
                    thread::sleep(Duration::from_millis(4));
                    write(served.as_bytes())
                }
                Behavior::Reset => false,
                Behavior::Silent | Behavior::Hold => true,
            }
        });
    }

    pub fn calls(&self) -> usize {
        self.calls.lock().expect("calls").len()
    }
}

/// Starts a discovery service. It answers each poll with the full list and never answers a watch. If `answers` is false, it
/// never answers at all.
pub fn discovery(list: String, answers: bool) -> SocketAddr {
    let (listener, address) = bind_listener();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
                while let Some(request_line) = lines.next() {
                    lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
                    if answers && (!request_line.contains("since=") || request_line.contains("timeout_ms=0"))
                    {
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                        (&stream).write_all((head + &list).as_bytes()).expect("written");
                    }
                }
            });
        }
    });
    address
}

/// Starts a discovery service whose list can be changed. It answers a watch as soon as the list changes. Returns the address
/// and the number of received requests.
pub fn changeable_discovery(list: &Arc<Mutex<String>>) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = bind_listener();
    let (list, request_count) = (list.clone(), Arc::new(AtomicUsize::new(0)));
    let count = request_count.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, request_count) = (list.clone(), request_count.clone());
            thread::spawn(move || {
                let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
                while let Some(request_line) = lines.next() {
                    lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
                    request_count.fetch_add(1, Ordering::SeqCst);
                    let current = || list.lock().expect("the list").clone();
                    let (known, waits) = (
                        current(),
                        request_line.contains("since=") && !request_line.contains("timeout_ms=0"),
                    );
                    while waits && current() == known {
                        thread::sleep(Duration::from_millis(1));
                    }
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", current().len());
                    if (&stream).write_all((head + &current()).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, count)
}

pub struct Gateway {
    pub process: Child,
    pub file: PathBuf,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn endpoint_list(servers: &[&Server]) -> String {
    let server = |(index, server): (usize, &&Server)| {
        format!(
            r#"{{"name":"s{index}","address":"{}","zone":"a","type":"m","group":0,"status":"in_service",
                "weight":1.0,"since_ms":0,"unknown":[{{}}]}}"#,
            server.address
        )
    };
    let servers: Vec<_> = servers.iter().enumerate().map(server).collect();
    format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, servers.join(","))
}

pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","memorySpanMs":5000.0,"onTimeMs":1000.0,
                "giveUpMs":1500.0,"value":1.0,"lateWorth":0.0,"stream":false}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"counter":"127.0.0.1:1",
            "known":{known},"unknown":null,
            "settings":{{"balancers":1,"me":0,"discovery":"pushed","zones":["a"],"kinds":["m"],"new":{{"x":[1]}},
                "ceilings":{{"cancel":true,"connIdleMs":15000.0,"dialTimeoutMs":250.0,"maxRetryAfterMs":500.0,
                    "retryAfter":true,"sendCap":3}},
                "rules":{{"coldFrom":0.2,"warmUpMs":9000.0,"fallMultiple":3.0,"fallMs":1000.0}},
                "specifics":{{"sharedCounter":false,"countWaitMs":50.0}},"telemetry":{{"how":"none","names":[]}},
                "lanes":[{},{}],
                "tiersOfService":[{{"name":"team","unitsPerS":1e6,"burst":1e6,"excessCost":1.0}}]}}}}"#,
        class("read", "read_like"),
        class("pay", "non_idempotent")
    )
}

pub fn write_temporary_file(config: &str) -> PathBuf {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let name = format!("fernscale-{}-{}.json", std::process::id(), FILES.fetch_add(1, Ordering::SeqCst));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, config).expect("written");
    file
}

pub fn spawn_gateway(file: &Path, operator: SocketAddr) -> Child {
    spawn_with_arguments(&[], file, operator)
}

/// Starts the gateway with the installation's own configuration file in addition to the platform's.
pub fn spawn_gateway_with_own_config(own_config: &Path, file: &Path, operator: SocketAddr) -> Child {
    spawn_with_arguments(&["--config".as_ref(), own_config.as_os_str()], file, operator)
}

fn spawn_with_arguments(arguments: &[&OsStr], file: &Path, operator: SocketAddr) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
    command
        .args(arguments)
        .env("BALANCER_CONFIG", file)
        .env("BALANCER_OPERATOR", operator.to_string())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command.spawn().expect("the gateway starts")
}

impl Gateway {
    pub fn start_unready(discovery: SocketAddr, known: &str, sockets: usize) -> Self {
        Gateway::start_unready_with(discovery, known, sockets, |config| config)
    }

    pub fn start_unready_with(
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        change: impl Fn(String) -> String,
    ) -> Self {
        // A process of another test may use the address for a moment. The start is retried with another address.
        for _ in 0..10 {
            let (listen, operator) = (bind_listener().1, bind_listener().1);
            let file = write_temporary_file(&change(config(listen, discovery, known, sockets)));
            let mut gateway = Gateway { process: spawn_gateway(&file, operator), file, listen, operator };
            // Waits for the log record. Connecting until the gateway listens could connect a socket of this address range to
            // itself.
            let mut log =
                BufReader::new(gateway.process.stderr.take().expect("piped")).lines().map_while(Result::ok);
            let started = log.any(|line| line.contains("starts"));
            thread::spawn(move || log.for_each(drop));
            if started {
                return gateway;
            }
        }
        panic!("the gateway does not start");
    }

    pub fn start(servers: &[&Server]) -> Self {
        Gateway::with_sockets(servers, 1024)
    }

    pub fn with_sockets(servers: &[&Server], sockets: usize) -> Self {
        Gateway::start_with(servers, sockets, |config| config)
    }

    /// Starts a ready gateway with a changed configuration.
    pub fn start_with(servers: &[&Server], sockets: usize, change: impl Fn(String) -> String) -> Self {
        Gateway::start_unready_with(discovery(endpoint_list(servers), true), NO_SERVERS, sockets, change)
            .wait_until_ready()
    }

    /// Waits until the gateway is ready.
    pub fn wait_until_ready(self) -> Self {
        let gateway = self;
        let (mut client, started_at) = (gateway.client(), Instant::now());
        while client.request(&ping()) != "+PONG" {
            assert!(started_at.elapsed() < TIMEOUT, "the gateway does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    pub fn client(&self) -> Client {
        Client::connect(self.listen)
    }

    /// Sends an operator's request. Returns the status and the body of the response.
    pub fn operator_request(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let length = body.len();
        operator_request(
            self.operator,
            &format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"),
        )
    }

    /// One of the figures.
    pub fn metric(&self, name: &str) -> u64 {
        let (_, metrics) = self.operator_request("GET", "/admin/stats", "");
        let line = metrics.lines().find_map(|line| line.strip_prefix(&format!("gateway.{name}:")));
        let value = line.and_then(|line| line.split('|').next()).expect("the metric exists");
        value.parse().expect("a number")
    }

    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("waited") {
                return status.code();
            }
            assert!(started_at.elapsed() < timeout, "the gateway does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Sends these bytes to the operator address. Returns the status and the body of the response.
pub fn operator_request(address: SocketAddr, bytes: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    stream.write_all(bytes.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("a response and the end of the connection");
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    (status, answer.split_once("\r\n\r\n").expect("a head").1.into())
}

pub struct Client {
    pub stream: TcpStream,
    pub bytes: Vec<u8>,
}

pub fn ping() -> Vec<u8> {
    resp::write_command(&[b"PING"])
}

pub fn request_command(id: &str, class: &str, time_left_ms: u64) -> Vec<u8> {
    let fields = format!("c={class},t=team,d={time_left_ms},units=1,spread=1,first=0");
    resp::write_command(&[b"CALL.POST", b"00000000b4d65521", id.as_bytes(), fields.as_bytes(), b"BODY"])
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        Client { stream, bytes: Vec::new() }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// Reads the next reply and returns its value or its line. Returns an empty string if the connection has ended.
    pub fn read(&mut self) -> String {
        self.try_read().unwrap_or_default()
    }

    /// Like `read`, but returns `None` if the connection has ended.
    fn try_read(&mut self) -> Option<String> {
        let mut part = [0; 4096];
        loop {
            if let Some((reply, length)) = resp::reply(&self.bytes).expect("a valid reply") {
                let text = match reply {
                    resp::Reply::Bulk(Some(value)) => String::from_utf8_lossy(value).into_owned(),
                    _ => String::from_utf8_lossy(&self.bytes[..length - 2]).into_owned(),
                };
                self.bytes.drain(..length);
                return Some(text);
            }
            match self.stream.read(&mut part) {
                Ok(0) => return None,
                Ok(count) => self.bytes.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no reply: {error}"),
            }
        }
    }

    /// Sends a command and returns the reply. Returns `None` if the connection ends before the reply.
    pub fn try_request(&mut self, bytes: &[u8]) -> Option<String> {
        self.stream.write_all(bytes).ok()?;
        self.try_read()
    }

    /// Returns whether the gateway has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let result = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("set");
        !matches!(result, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    pub fn request(&mut self, bytes: &[u8]) -> String {
        self.write(bytes);
        self.read()
    }
}
