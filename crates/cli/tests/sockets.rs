//! The gateway as a process among small servers, a list and a counter: one test for each failure found or feared.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fernscale_gateway::protocol::resp;

const SOON: Duration = Duration::from_secs(5);

/// What a small server does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Does {
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
    /// Begins an answer that never ends.
    Torn,
    /// Adds something to a good answer that does not belong to it: at once, and some thousandths of a second later.
    Behind(&'static str),
    Copy,
    /// Serves the first call of a connection and breaks under the second.
    ServeOnce,
}

struct Server {
    address: SocketAddr,
    does: Arc<Mutex<Does>>,
    /// The calls that came whole, and the connections open now.
    calls: Arc<Mutex<Vec<Vec<String>>>>,
    open: Arc<AtomicUsize>,
}

/// A free address that no other test can get, also once it is let go.
fn listen() -> (TcpListener, SocketAddr) {
    static GIVEN: AtomicUsize = AtomicUsize::new(0);
    let (given, process) = (GIVEN.fetch_add(1, Ordering::SeqCst), std::process::id());
    let ip = [127, (process % 250) as u8 + 1, (given / 250) as u8, (given % 250) as u8 + 1];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads commands off a connection until it ends.
fn commands(mut stream: &TcpStream, mut act: impl FnMut(Vec<String>) -> bool) {
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
    fn start(does: Does) -> Self {
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

    fn serve(stream: &TcpStream, does: &Mutex<Does>, calls: &Mutex<Vec<Vec<String>>>) {
        let mut served_here = 0;
        commands(stream, |words| {
            let value = words[2].clone();
            calls.lock().expect("calls").push(words);
            served_here += 1;
            let mut writer = stream;
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
                Does::Silent => true,
            }
        });
    }

    fn calls(&self) -> usize {
        self.calls.lock().expect("calls").len()
    }
}

/// Answers a call that does not wait with the whole list, and lets watches wait; `known` false: it is silent.
fn discovery(list: String, answers: bool) -> SocketAddr {
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

struct Gateway {
    process: Child,
    file: PathBuf,
    listen: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn members(servers: &[&Server]) -> String {
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

fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, sockets: usize) -> String {
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

fn file(config: &str) -> PathBuf {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let name = format!("fernscale-{}-{}.json", std::process::id(), FILES.fetch_add(1, Ordering::SeqCst));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, config).expect("written");
    file
}

fn process(file: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
    command.env("BALANCER_CONFIG", file).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("the gateway starts")
}

impl Gateway {
    fn unready(discovery: SocketAddr, known: &str, sockets: usize) -> Self {
        // A process that another test starts may hold the address for a moment: then with another one.
        for _ in 0..10 {
            let listen = listen().1;
            let file = file(&config(listen, discovery, known, sockets));
            let mut gateway = Gateway { process: process(&file), file, listen };
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

    fn start(servers: &[&Server]) -> Self {
        Gateway::with_sockets(servers, 1024)
    }

    fn with_sockets(servers: &[&Server], sockets: usize) -> Self {
        let empty = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
        let gateway = Gateway::unready(discovery(members(servers), true), empty, sockets);
        let (mut client, began) = (gateway.client(), Instant::now());
        while client.ask(&ping()) != "+PONG" {
            assert!(began.elapsed() < SOON, "it does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.listen).expect("connected");
        stream.set_read_timeout(Some(SOON)).expect("set");
        Client { stream, bytes: Vec::new() }
    }

    fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    }

    /// Its exit code, within the time given.
    fn code(&mut self, time: Duration) -> Option<i32> {
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

struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
}

fn ping() -> Vec<u8> {
    resp::write_command(&[b"PING"])
}

fn call(id: &str, lane: &str, left: u64) -> Vec<u8> {
    let list = format!("c={lane},t=team,d={left},units=1,spread=1,first=0");
    resp::write_command(&[b"CALL.POST", b"00000000b4d65521", id.as_bytes(), list.as_bytes(), b"BODY"])
}

impl Client {
    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// The next reply: the line of it, or its value. Empty if the connection has ended.
    fn read(&mut self) -> String {
        let mut part = [0; 4096];
        loop {
            if let Some((reply, length)) = resp::reply(&self.bytes).expect("a reply in good form") {
                let text = match reply {
                    resp::Reply::Bulk(Some(value)) => String::from_utf8_lossy(value).into_owned(),
                    _ => String::from_utf8_lossy(&self.bytes[..length - 2]).into_owned(),
                };
                self.bytes.drain(..length);
                return text;
            }
            match self.stream.read(&mut part) {
                Ok(0) => return String::new(),
                Ok(count) => self.bytes.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return String::new(),
                Err(error) => panic!("no reply: {error}"),
            }
        }
    }

    fn ask(&mut self, bytes: &[u8]) -> String {
        self.write(bytes);
        self.read()
    }
}

#[test]
fn a_transaction_is_passed_on_unchanged_and_its_value_comes_back() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&server]);
    assert_eq!(gateway.client().ask(&call("t1", "read", 1_200)), "t1");
    let calls = server.calls.lock().expect("calls");
    assert_eq!((&*calls[0][0], &*calls[0][1], &*calls[0][4]), ("CALL.POST", "00000000b4d65521", "BODY"));
    let left = calls[0][3]
        .strip_prefix("c=read,t=team,d=")
        .and_then(|rest| rest.strip_suffix(",units=1,spread=1,first=0"));
    let left: u64 = left.and_then(|left| left.parse().ok()).expect("the list as it came, but for the time");
    assert!((1_000..=1_200).contains(&left), "{left}");
}

#[test]
fn bytes_that_come_one_by_one_or_all_at_once_are_answered_in_order() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    let many: Vec<u8> =
        (0..50).flat_map(|at| [call(&format!("m{at}"), "read", 1_200), ping()].concat()).collect();
    for byte in &many[..300] {
        client.write(&[*byte]);
    }
    client.write(&many[300..]);
    for at in 0..50 {
        let answer = client.read();
        // What finds no place is nacked, in its turn.
        assert!(answer == format!("m{at}") || answer == "-BUSY 500", "{answer} for m{at}");
        assert_eq!(client.read(), "+PONG");
    }
}

#[test]
fn bad_syntax_gets_one_error_and_a_close_and_nothing_else_does() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    assert!(client.ask(&resp::write_command(&[b"GET", b"x"])).starts_with("-ERR unknown command 'GET'"));
    assert!(client.ask(&call("t1", "nothing", 1_200)).starts_with("-ERR"));
    assert_eq!(client.ask(&resp::write_command(&[b"SELECT", b"0"])), "+OK");
    // What stands before is answered first; what stands behind is not read.
    let bad = [call("t2", "read", 1_200), b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![b'x'; 100_000]].concat();
    assert_eq!(client.ask(&bad), "t2");
    assert!(client.read().starts_with("-ERR bad syntax"));
    assert_eq!(client.read(), "");
}

#[test]
fn only_what_surely_never_ran_is_sent_again_where_nothing_may_run_twice() {
    let (abandoned, nacked) = ("-ERR abandoned", "-BUSY 500");
    for (does, lane, answer, sent) in [
        (Does::Reset, "pay", abandoned, 1),
        (Does::Fail, "pay", abandoned, 1),
        (Does::Garble, "pay", abandoned, 1),
        (Does::Full, "pay", nacked, 2),
        (Does::Reset, "read", nacked, 2),
        (Does::Fail, "read", nacked, 2),
        (Does::Garble, "read", nacked, 2),
        (Does::Torn, "pay", abandoned, 1),
        (Does::Torn, "read", nacked, 2),
    ] {
        let servers = [Server::start(does), Server::start(does)];
        let gateway = Gateway::start(&[&servers[0], &servers[1]]);
        assert_eq!(gateway.client().ask(&call("t1", lane, 1_200)), answer);
        assert_eq!(servers[0].calls() + servers[1].calls(), sent, "in {lane}");
    }
}

#[test]
fn what_a_server_adds_to_a_good_answer_spoils_neither_that_nor_the_next() {
    let more =
        ["$-1\r\n$-1\r\nnoise", "$-1\r\n?noise\r\n", "$-1\r\n$3\r\nlonger than that\r\n", "$-1\r\n$90\r\n"];
    for does in more.into_iter().map(Does::Behind).chain([Does::Copy]) {
        let server = Server::start(does);
        let gateway = Gateway::start(&[&server]);
        let mut client = gateway.client();
        for at in 0..4 {
            assert_eq!(client.ask(&call(&format!("t{at}"), "pay", 1_200)), format!("t{at}"));
        }
        assert_eq!(server.calls(), 4);
    }
}

#[test]
fn the_same_bad_thing_at_full_speed_is_turned_away_slowly_and_harms_nobody() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::with_sockets(&[&server], 69);
    let until = Instant::now() + Duration::from_millis(1_000);
    let mut usual = gateway.client();
    assert_eq!((usual.ask(&ping()), usual.ask(&ping())), ("+PONG".into(), "+PONG".into()));
    let all: Vec<_> = (0..40)
        .map(|at| {
            let gateway = gateway.listen;
            thread::spawn(move || {
                let mut told = 0;
                while Instant::now() < until {
                    let Ok(mut stream) = TcpStream::connect(gateway) else { continue };
                    let bad =
                        if at % 2 == 0 { b"no command\r\n".to_vec() } else { call("t", "nothing", 100) };
                    let mut part = [0; 1024];
                    let _ = stream.set_read_timeout(Some(SOON));
                    let heard = stream.write_all(&bad).is_ok() && stream.read(&mut part).is_ok();
                    told += usize::from(heard);
                }
                told
            })
        })
        .collect();
    let mut at = 0;
    while Instant::now() < until {
        let id = format!("t{at}");
        assert_eq!(usual.ask(&call(&id, "read", 1_200)), id);
        at += 1;
    }
    let told: usize = all.into_iter().map(|client| client.join().expect("it ends")).sum();
    assert!((40..1_000).contains(&told), "{told} told within a second");
}

#[test]
fn connections_that_break_when_used_again_are_not_kept_for_long() {
    let server = Server::start(Does::ServeOnce);
    let gateway = Gateway::start(&[&server]);
    let (mut client, mut lost) = (gateway.client(), 0);
    for at in 0..12 {
        let id = format!("t{at}");
        lost += usize::from(client.ask(&call(&id, "pay", 1_200)) != id);
        thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(lost, 1, "the first to find out is the last for a while");
}

#[test]
fn clients_that_never_ask_are_let_go_in_time_and_keep_no_other_out() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::with_sockets(&[&server], 69);
    let mut usual = gateway.client();
    assert_eq!((usual.ask(&ping()), usual.ask(&ping())), ("+PONG".into(), "+PONG".into()));
    let half = call("half", "read", 1_200);
    let began = Instant::now();
    let mut silent: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let mut halves: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    halves.iter_mut().for_each(|client| client.write(&half[..40]));
    // Who came before them and asked keeps its connection, though it has been idle for longer than they have.
    assert_eq!(usual.ask(&call("t1", "read", 1_200)), "t1");
    silent.iter_mut().for_each(|client| assert_eq!(client.read(), ""));
    halves.iter_mut().for_each(|client| assert!(client.read().starts_with("-ERR bad syntax")));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert_eq!(usual.ask(&call("t2", "read", 1_200)), "t2");
}

#[test]
fn a_server_that_is_not_there_has_run_nothing() {
    let gone = Server {
        address: listen().1,
        does: Arc::new(Mutex::new(Does::Serve)),
        calls: Arc::default(),
        open: Arc::default(),
    };
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&gone, &server]);
    let mut client = gateway.client();
    for at in 0..6 {
        assert_eq!(client.ask(&call(&format!("t{at}"), "pay", 1_200)), format!("t{at}"));
    }
}

#[test]
fn an_idle_connection_that_has_ended_is_not_written_to() {
    let server = Server::start(Does::ServeAndClose);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for at in 0..3 {
        assert_eq!(client.ask(&call(&format!("t{at}"), "pay", 1_200)), format!("t{at}"));
        thread::sleep(Duration::from_millis(120));
    }
}

#[test]
fn who_leaves_is_owed_nothing_and_its_neighbours_lose_nothing() {
    let server = Server::start(Does::Late(300));
    let gateway = Gateway::start(&[&server]);
    let (mut leaves, mut stays) = (gateway.client(), gateway.client());
    leaves.write(&call("t1", "read", 1_200));
    stays.write(&call("t2", "read", 1_200));
    while server.calls() < 2 {
        thread::yield_now();
    }
    drop(leaves);
    assert_eq!(stays.read(), "t2");
    // The trip of the one that left was given up with its connection; the other's is kept for the next.
    let began = Instant::now();
    while server.open.load(Ordering::SeqCst) != 1 {
        assert!(began.elapsed() < SOON, "{} connections", server.open.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.client().ask(&call("t3", "read", 1_200)), "t3");
    assert_eq!(server.open.load(Ordering::SeqCst), 1);
}

#[test]
fn a_silent_server_does_not_keep_a_client_past_its_hard_stop() {
    let server = Server::start(Does::Silent);
    let gateway = Gateway::start(&[&server]);
    let (mut client, began) = (gateway.client(), Instant::now());
    assert_eq!(client.ask(&call("t1", "pay", 500)), "-ERR abandoned");
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1_000), "{took:?}");
    // Its connection has ended with it, so that nothing can still run unseen.
    let began = Instant::now();
    while server.open.load(Ordering::SeqCst) > 0 {
        assert!(began.elapsed() < SOON);
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn an_id_that_is_in_use_is_not_taken_twice() {
    let server = Server::start(Does::Late(200));
    let gateway = Gateway::start(&[&server]);
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.write(&call("t1", "read", 1_200));
    while server.calls() < 1 {
        thread::yield_now();
    }
    assert_eq!(second.ask(&call("t1", "read", 1_200)), "-ERR this id is in use");
    // Who leaves before it hears so must not take the other's answer along.
    for _ in 0..20 {
        let mut third = gateway.client();
        third.write(&[call("t1", "read", 1_200), b"\r\n".to_vec()].concat());
    }
    assert_eq!(first.read(), "t1");
    assert_eq!(server.calls(), 1);
}

#[test]
fn a_gateway_is_ready_when_it_knows_a_server_and_discovery_was_asked() {
    let empty = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let alone = Gateway::unready(discovery(members(&[]), true), empty, 1024);
    thread::sleep(Duration::from_millis(100));
    assert!(alone.client().ask(&ping()).starts_with("-ERR"));
    // Discovery is silent: what was known before will do, after a while.
    let server = Server::start(Does::Serve);
    let gateway = Gateway::unready(discovery(String::new(), false), &members(&[&server]), 1024);
    let (mut client, began) = (gateway.client(), Instant::now());
    while client.ask(&ping()) != "+PONG" {
        assert!(began.elapsed() < SOON, "it does not get ready");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.ask(&call("t1", "read", 1_200)), "t1");
}

#[test]
fn a_planned_end_answers_what_came_and_comes_and_lets_idle_clients_go() {
    let server = Server::start(Does::Late(300));
    let mut gateway = Gateway::start(&[&server]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    assert_eq!(idle.ask(&ping()), "+PONG");
    busy.write(&call("t1", "read", 1_200));
    while server.calls() < 1 {
        thread::yield_now();
    }
    gateway.signal("-TERM");
    assert_eq!(idle.read(), "");
    thread::sleep(Duration::from_millis(100));
    let mut late = gateway.client();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(late.ask(&call("t2", "read", 1_200)), "t2");
    assert_eq!(late.read(), "");
    assert_eq!((busy.read(), busy.read()), ("t1".into(), "".into()));
    assert_eq!(gateway.code(Duration::from_secs(3)), Some(0));
}

#[test]
fn a_planned_end_comes_in_time_while_clients_keep_asking() {
    for _ in 0..4 {
        let server = Server::start(Does::Serve);
        let mut gateway = Gateway::start(&[&server]);
        let asks = |mut client: Client| {
            // Byte by byte, so that something is nearly always on its way when the signal comes.
            thread::spawn(move || {
                let bytes = ping();
                let mut at = 0;
                while client.stream.write_all(&bytes[at..at + 1]).is_ok() {
                    at = (at + 1) % bytes.len();
                }
            })
        };
        let all: Vec<_> = (0..12).map(|_| asks(gateway.client())).collect();
        thread::sleep(Duration::from_millis(50));
        gateway.signal("-TERM");
        assert_eq!(gateway.code(Duration::from_secs(4)), Some(0));
        all.into_iter().for_each(|ask| ask.join().expect("it ends"));
    }
}

#[test]
fn clients_beyond_the_limit_take_the_place_of_idle_ones_or_are_told_to_come_again() {
    let servers: Vec<Server> = (0..6).map(|_| Server::start(Does::Late(200))).collect();
    let servers: Vec<&Server> = servers.iter().collect();
    // Few enough that a test can use them up: 24 for itself, 13 for servers, 29 clients, 3 turned away.
    let gateway = Gateway::with_sockets(&servers, 69);
    // The one that saw it get ready has left.
    thread::sleep(Duration::from_millis(50));
    let clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    thread::sleep(Duration::from_millis(100));
    // Idle ones have made room, and no more of them than was needed.
    let stays = |client: &mut Client| {
        client.stream.set_nonblocking(true).expect("set");
        let stays = client.stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).expect("set");
        stays
    };
    let mut busy: Vec<Client> =
        clients.into_iter().filter_map(|mut client| stays(&mut client).then_some(client)).collect();
    assert_eq!(busy.len(), 29);
    // All of them busy, and then one more.
    for (at, client) in busy.iter_mut().enumerate() {
        client.write(&call(&format!("t{at}"), "read", 1_200));
    }
    thread::sleep(Duration::from_millis(20));
    let mut more = gateway.client();
    assert_eq!(more.ask(&call("more", "read", 1_200)), "-BUSY 500");
    // Whoever waited too long for a server is nacked; all are answered.
    for (at, client) in busy.iter_mut().enumerate() {
        let answer = client.read();
        assert!(answer == format!("t{at}") || answer == "-BUSY 500", "{answer} for t{at}");
    }
}

#[test]
fn a_client_that_has_just_connected_is_not_pushed_out_before_it_can_ask() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::with_sockets(&[&server], 69);
    // Clients that asked once and stay take all places; another one comes, and asks a moment later.
    let stay = |at: usize| {
        let mut client = gateway.client();
        assert_eq!(client.ask(&call(&format!("s{at}"), "read", 1_200)), format!("s{at}"));
        client
    };
    let stayed: Vec<Client> = (0..40).map(stay).collect();
    let mut new: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    thread::sleep(Duration::from_millis(30));
    for (at, client) in new.iter_mut().enumerate() {
        assert_eq!(client.ask(&call(&format!("n{at}"), "read", 1_200)), format!("n{at}"));
    }
    drop(stayed);
}

#[test]
fn half_a_command_holds_no_place_and_does_not_put_off_the_end() {
    let server = Server::start(Does::Serve);
    let mut gateway = Gateway::with_sockets(&[&server], 69);
    let half = call("half", "read", 1_200);
    let mut clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| {
        // Those that were let go may refuse it.
        let _ = client.stream.write_all(&half[..40]);
    });
    assert_eq!(gateway.client().ask(&call("t1", "read", 1_200)), "t1");
    assert_eq!(gateway.client().ask(&ping()), "+PONG");
    gateway.signal("-TERM");
    assert_eq!(gateway.code(Duration::from_secs(3)), Some(0));
}

#[test]
fn a_new_configuration_turns_to_another_list_and_a_bad_one_to_nothing() {
    let (old, new) = (Server::start(Does::Late(300)), Server::start(Does::Serve));
    let gateway = Gateway::start(&[&old]);
    let mut busy = gateway.client();
    busy.write(&call("t1", "pay", 1_200));
    while old.calls() < 1 {
        thread::yield_now();
    }
    for bad in ["", "{}", "{\"discovery\":\"nowhere\"}"] {
        std::fs::write(&gateway.file, bad).expect("written");
        gateway.signal("-HUP");
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.client().ask(&call("t2", "read", 1_200)), "t2");
    assert_eq!(new.calls(), 0);
    // The other list's versions are its own: it is asked for all, not for what is newer than the old one's.
    let listed = members(&[&new]).replace("s0", "other");
    let config = config(gateway.listen, discovery(listed, true), "null", 1024);
    std::fs::write(&gateway.file, config).expect("written");
    gateway.signal("-HUP");
    let (mut client, began) = (gateway.client(), Instant::now());
    for at in 0.. {
        assert!(began.elapsed() < SOON, "it keeps to the old list");
        let id = format!("n{at}");
        assert_eq!(client.ask(&call(&id, "read", 1_200)), id);
        if new.calls() > 0 {
            break;
        }
    }
    let before = old.calls();
    for at in 0..6 {
        let id = format!("l{at}");
        assert_eq!(client.ask(&call(&id, "read", 1_200)), id);
    }
    assert_eq!(old.calls(), before, "the server that has gone from the list gets nothing new");
    assert_eq!(busy.read(), "t1");
}

fn refused(config: &str) -> String {
    let Output { status, stderr, .. } = process(&file(config)).wait_with_output().expect("it ends");
    assert!(!status.success());
    let text = String::from_utf8(stderr).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn a_bad_configuration_gets_one_message_and_a_failure() {
    let (_taken, address) = listen();
    let good = config(address, address, "null", 1024);
    assert!(refused("{").contains("EOF"));
    assert!(refused("[]").contains("'"));
    assert!(refused(&good).contains("can't listen"));
    for (part, other, about) in [
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":"xyz""#, "'seed'"),
        (r#""discovery":"127"#, r#""discovery":"nowhere"#, "'discovery'"),
        (r#""effect":"read_like""#, r#""effect":"odd""#, "'odd'"),
        (r#""dialTimeoutMs":250.0,"#, "", "dialTimeoutMs"),
        (r#""sharedCounter":false"#, r#""sharedCounter":7"#, "sharedCounter"),
        (r#""known":null"#, r#""known":{"index":1}"#, "'endpoints'"),
    ] {
        assert!(good.contains(part), "{part}");
        let why = refused(&good.replacen(part, other, 1));
        assert!(why.contains(about), "{why}");
    }
}
