//! The gateway as a process among small servers, a list and a counter.

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

pub const SOON: Duration = Duration::from_secs(5);
/// A list without servers.
pub const NO_SERVERS: &str = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;

/// What a small server does with a call.
#[derive(Clone, Copy, PartialEq)]
pub enum Does {
    Serve,
    /// Answers, and closes the connection some time later.
    ServeAndClose,
    Full,
    Fail,
    Garble,
    /// Reads the call and resets the connection.
    Reset,
    Silent,
    /// Answers after so many milliseconds.
    Late(u64),
    /// Answers once it does something else.
    Hold,
    /// Begins an answer that never ends.
    Torn,
    /// Adds something to a good answer that does not belong to it: at once, and some thousandths of a second later.
    Behind(&'static str),
    Copy,
    /// A value of so many bytes, with a pause in ms in its middle.
    Large {
        length: usize,
        pause: u64,
    },
    /// A value said to have so many bytes that breaks off, or stops, there.
    Cut {
        length: usize,
        at: usize,
    },
    /// A value with something else than a line end behind it.
    LineEnd {
        length: usize,
    },
    /// Serves the first call of a connection and breaks under the second.
    ServeOnce,
}

pub struct Server {
    pub address: SocketAddr,
    pub does: Arc<Mutex<Does>>,
    /// The calls that came whole, and the connections open now.
    pub calls: Arc<Mutex<Vec<Vec<String>>>>,
    pub open: Arc<AtomicUsize>,
}

/// A free address that no other test can get, also once it is let go.
pub fn listen() -> (TcpListener, SocketAddr) {
    static GIVEN: AtomicUsize = AtomicUsize::new(0);
    let (given, process) = (GIVEN.fetch_add(1, Ordering::SeqCst), std::process::id());
    let ip = [127, (process % 250) as u8 + 1, (given / 250) as u8, (given % 250) as u8 + 1];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads commands off a connection until it ends.
pub fn commands(mut stream: &TcpStream, mut act: impl FnMut(Vec<String>) -> bool) {
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        while let Some((words, length)) = resp::command(&bytes).expect("a command in good form") {
            let words = words.iter().map(|word| String::from_utf8_lossy(word).into_owned()).collect();
            bytes.drain(..length);
            if !act(words) {
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
    pub fn start(does: Does) -> Self {
        let (listener, address) = listen();
        let (does, calls, open) = (Arc::new(Mutex::new(does)), Arc::default(), Arc::default());
        let server = Server { address, does, calls, open };
        let (does, calls, open) = (server.does.clone(), server.calls.clone(), server.open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (does, calls, open) = (does.clone(), calls.clone(), open.clone());
                open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    Server::serve(&stream, &does, &calls);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    pub fn serve(stream: &TcpStream, does: &Mutex<Does>, calls: &Mutex<Vec<Vec<String>>>) {
        let mut served_here = 0;
        commands(stream, |words| {
            let value = words[2].clone();
            calls.lock().expect("calls").push(words);
            served_here += 1;
            let mut writer = stream;
            while *does.lock().expect("does") == Does::Hold {
                thread::sleep(Duration::from_millis(1));
            }
            let does = *does.lock().expect("does");
            let mut write = |bytes: &[u8]| writer.write_all(bytes).is_ok();
            let served = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
            match does {
                Does::Serve => write(served.as_bytes()),
                Does::ServeAndClose => {
                    write(served.as_bytes());
                    thread::sleep(Duration::from_millis(50));
                    false
                }
                Does::Late(ms) => {
                    thread::sleep(Duration::from_millis(ms));
                    write(served.as_bytes())
                }
                Does::ServeOnce => served_here == 1 && write(served.as_bytes()),
                Does::Large { length, pause } => {
                    let half = vec![b'v'; length / 2];
                    write(format!("*3\r\n${length}\r\n").as_bytes()) && write(&half) && {
                        thread::sleep(Duration::from_millis(pause));
                        write(&half) && write(b"\r\n$6\r\ncost=1\r\n$-1\r\n")
                    }
                }
                Does::Cut { length, at } => {
                    write(format!("*3\r\n${length}\r\n").as_bytes());
                    write(&vec![b'v'; at]);
                    // What has hardly begun stays open; a part of a value ends.
                    at < 1_000
                }
                Does::LineEnd { length } => {
                    write(format!("*3\r\n${length}\r\n").as_bytes());
                    write(&vec![b'v'; length]) && write(b"vv$-1\r\n$-1\r\n")
                }
                Does::Full => write(b"-BUSY\r\n"),
                Does::Fail => write(b"-ERR failed\r\n"),
                Does::Garble => write(b"?what\r\n"),
                Does::Torn => write(b"*3\r\n$9\r\nhalf"),
                Does::Behind(more) => {
                    write(format!("*3\r\n${}\r\n{value}\r\n{more}", value.len()).as_bytes())
                }
                Does::Copy => {
                    write(served.as_bytes());
                    thread::sleep(Duration::from_millis(4));
                    write(served.as_bytes())
                }
                Does::Reset => false,
                Does::Silent | Does::Hold => true,
            }
        });
    }

    pub fn calls(&self) -> usize {
        self.calls.lock().expect("calls").len()
    }
}

/// Answers a call that does not wait with the whole list, and lets watches wait; `known` false: it is silent.
pub fn discovery(list: String, answers: bool) -> SocketAddr {
    let (listener, address) = listen();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
                while let Some(first) = lines.next() {
                    lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
                    if answers && (!first.contains("since=") || first.contains("timeout_ms=0")) {
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                        (&stream).write_all((head + &list).as_bytes()).expect("written");
                    }
                }
            });
        }
    });
    address
}

/// An agent with a list that can be changed: a watch is answered once it has been. And how often it was asked.
pub fn agent(list: &Arc<Mutex<String>>) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = listen();
    let (list, asked) = (list.clone(), Arc::new(AtomicUsize::new(0)));
    let count = asked.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, asked) = (list.clone(), asked.clone());
            thread::spawn(move || {
                let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
                while let Some(first) = lines.next() {
                    lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
                    asked.fetch_add(1, Ordering::SeqCst);
                    let now = || list.lock().expect("the list").clone();
                    let (known, waits) = (now(), first.contains("since=") && !first.contains("timeout_ms=0"));
                    while waits && now() == known {
                        thread::sleep(Duration::from_millis(1));
                    }
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", now().len());
                    if (&stream).write_all((head + &now()).as_bytes()).is_err() {
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

pub fn members(servers: &[&Server]) -> String {
    let server = |(at, server): (usize, &&Server)| {
        format!(
            r#"{{"name":"s{at}","address":"{}","zone":"a","type":"m","group":0,"status":"in_service",
                "weight":1.0,"since_ms":0,"unknown":[{{}}]}}"#,
            server.address
        )
    };
    let servers: Vec<_> = servers.iter().enumerate().map(server).collect();
    format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, servers.join(","))
}

pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, sockets: usize) -> String {
    let lane = |name: &str, effect: &str| {
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
        lane("read", "read_like"),
        lane("pay", "non_idempotent")
    )
}

pub fn file(config: &str) -> PathBuf {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let name = format!("fernscale-{}-{}.json", std::process::id(), FILES.fetch_add(1, Ordering::SeqCst));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, config).expect("written");
    file
}

pub fn process(file: &Path, operator: SocketAddr) -> Child {
    process_with(&[], file, operator)
}

/// By an installation's own file beside the platform's.
pub fn process_by_own(own: &Path, file: &Path, operator: SocketAddr) -> Child {
    process_with(&["--config".as_ref(), own.as_os_str()], file, operator)
}

fn process_with(arguments: &[&OsStr], file: &Path, operator: SocketAddr) -> Child {
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
    pub fn unready(discovery: SocketAddr, known: &str, sockets: usize) -> Self {
        Gateway::unready_with(discovery, known, sockets, |config| config)
    }

    pub fn unready_with(
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        change: impl Fn(String) -> String,
    ) -> Self {
        // A process that another test starts may hold the address for a moment: then with another one.
        for _ in 0..10 {
            let (listen, operator) = (listen().1, listen().1);
            let file = file(&change(config(listen, discovery, known, sockets)));
            let mut gateway = Gateway { process: process(&file, operator), file, listen, operator };
            // To try until it listens would in the end connect a socket of this range with itself.
            let mut log =
                BufReader::new(gateway.process.stderr.take().expect("piped")).lines().map_while(Result::ok);
            let started = log.any(|line| line.contains("starts"));
            thread::spawn(move || log.for_each(drop));
            if started {
                return gateway;
            }
        }
        panic!("it does not start");
    }

    pub fn start(servers: &[&Server]) -> Self {
        Gateway::with_sockets(servers, 1024)
    }

    pub fn with_sockets(servers: &[&Server], sockets: usize) -> Self {
        Gateway::with(servers, sockets, |config| config)
    }

    /// With its configuration changed.
    pub fn with(servers: &[&Server], sockets: usize, change: impl Fn(String) -> String) -> Self {
        Gateway::unready_with(discovery(members(servers), true), NO_SERVERS, sockets, change).ready()
    }

    /// As soon as it is able to serve.
    pub fn ready(self) -> Self {
        let gateway = self;
        let (mut client, began) = (gateway.client(), Instant::now());
        while client.ask(&ping()) != "+PONG" {
            assert!(began.elapsed() < SOON, "it does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    pub fn client(&self) -> Client {
        Client::to(self.listen)
    }

    /// An operator's call: the status and the body of the answer.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let length = body.len();
        operate(self.operator, &format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"))
    }

    /// One of the figures.
    pub fn figure(&self, name: &str) -> u64 {
        let (_, figures) = self.operate("GET", "/admin/stats", "");
        let line = figures.lines().find_map(|line| line.strip_prefix(&format!("gateway.{name}:")));
        let value = line.and_then(|line| line.split('|').next()).expect("the figure is there");
        value.parse().expect("a number")
    }

    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    }

    /// Its exit code, within the time given.
    pub fn code(&mut self, time: Duration) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("waited") {
                return status.code();
            }
            assert!(began.elapsed() < time, "it does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// What is answered to these bytes at the second address, read to its end.
pub fn operate(address: SocketAddr, bytes: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(SOON)).expect("set");
    stream.write_all(bytes.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer and an end");
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

pub fn call(id: &str, lane: &str, left: u64) -> Vec<u8> {
    let list = format!("c={lane},t=team,d={left},units=1,spread=1,first=0");
    resp::write_command(&[b"CALL.POST", b"00000000b4d65521", id.as_bytes(), list.as_bytes(), b"BODY"])
}

impl Client {
    pub fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connected");
        stream.set_read_timeout(Some(SOON)).expect("set");
        Client { stream, bytes: Vec::new() }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// The next reply: the line of it, or its value. Empty if the connection has ended.
    pub fn read(&mut self) -> String {
        self.try_read().unwrap_or_default()
    }

    /// The same; none if the connection has ended.
    fn try_read(&mut self) -> Option<String> {
        let mut part = [0; 4096];
        loop {
            if let Some((reply, length)) = resp::reply(&self.bytes).expect("a reply in good form") {
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

    /// The answer; none if the connection ends under the command.
    pub fn try_ask(&mut self, bytes: &[u8]) -> Option<String> {
        self.stream.write_all(bytes).ok()?;
        self.try_read()
    }

    /// Whether the gateway has ended the connection.
    pub fn ended(&self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let looked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("set");
        !matches!(looked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    pub fn ask(&mut self, bytes: &[u8]) -> String {
        self.write(bytes);
        self.read()
    }
}
