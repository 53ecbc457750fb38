//! The operator address: health, metrics, cordon and uncordon.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);

#[test]
fn health_is_ok_only_while_the_gateway_serves() {
    let server = Server::start(Behavior::Delayed(400));
    let mut gateway = Gateway::start(&[&server]);
    assert_eq!(gateway.operator_request("GET", "/admin/health", "").0, 200);
    let mut client = gateway.client();
    client.write(&request_command("t1", "read", 1_200));
    thread::sleep(Duration::from_millis(50));
    gateway.signal("-TERM");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.operator_request("GET", "/admin/health", "").0, 503);
    assert_eq!(client.read(), "t1");
    assert_eq!(gateway.wait_for_exit(TIMEOUT), Some(0));
    let silent = Gateway::start_unready(discovery(String::new(), false), NO_SERVERS, 1024);
    assert_eq!(silent.operator_request("GET", "/admin/health", "").0, 503);
}

#[test]
fn metrics_count_responses_attempts_and_open_requests() {
    let (good, bad) = (Server::start(Behavior::Serve), Server::start(Behavior::Fail));
    let gateway = Gateway::start(&[&good]);
    let failing = Gateway::start(&[&bad]);
    let mut client = gateway.client();
    for index in 0..5 {
        assert_eq!(
            client.request(&request_command(&format!("t{index}"), "read", 1_200)),
            format!("t{index}")
        );
    }
    assert_eq!(client.request(&request_command("late", "pay", 1)).split(' ').next(), Some("-BUSY"));
    assert_eq!(gateway.metric("responses.read.ok"), 5);
    assert_eq!(gateway.metric("responses.pay.shed"), 1);
    assert_eq!((gateway.metric("tries"), good.calls()), (5, 5));
    assert_eq!((gateway.metric("active"), gateway.metric("pool_size")), (0, 1));
    assert!(failing.client().request(&request_command("p1", "pay", 1_200)).starts_with("-ERR"));
    assert_eq!((failing.metric("responses.pay.errors"), failing.metric("tries")), (1, 1));
    *good.behavior.lock().expect("behavior") = Behavior::Silent;
    client.write(&request_command("open", "read", 1_200));
    while good.calls() < 6 {
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!((gateway.metric("active"), gateway.metric("tries")), (1, 6));
}

#[test]
fn stalled_operator_connections_block_no_other() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut stalled = Vec::new();
    for index in 0..100 {
        let mut stream = TcpStream::connect(gateway.operator).expect("connected");
        stream.write_all(&b"GET /admin/health HT"[..index % 20]).expect("written");
        stalled.push(stream);
        if index % 10 == 9 {
            let started_at = Instant::now();
            assert_eq!(gateway.operator_request("GET", "/admin/health", "").0, 200);
            assert!(started_at.elapsed() < MAX_RESPONSE_TIME);
        }
    }
    // A request that arrives byte by byte is answered, too.
    let mut slow = TcpStream::connect(gateway.operator).expect("connected");
    for byte in b"GET /admin/health HTTP/1.1\r\n\r" {
        slow.write_all(&[*byte]).expect("written");
        thread::sleep(Duration::from_millis(2));
    }
    slow.write_all(b"\n").expect("written");
    let mut status = [0; 12];
    std::io::Read::read_exact(&mut slow, &mut status).expect("an answer");
    assert_eq!(&status, b"HTTP/1.1 200");
}

#[test]
fn an_invalid_operator_request_gets_an_error_with_the_reason() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    let post =
        |body: &str| format!("POST /admin/cordon HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    for (call, status, why) in [
        ("what\r\n\r\n".to_string(), 400, "first line"),
        ("\u{1}\u{2}\u{3}\r\n".to_string(), 400, "no text"),
        ("GET /admin HTTP/1.1\r\n\r\n".to_string(), 404, "no such path"),
        ("POST /admin/stats HTTP/1.1\r\n\r\n".to_string(), 405, "takes GET"),
        ("GET /admin/cordon HTTP/1.1\r\n\r\n".to_string(), 405, "takes POST"),
        ("POST /admin/cordon HTTP/1.1\r\n\r\n".to_string(), 411, "Content-Length"),
        ("POST /admin/cordon HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_string(), 400, "no number"),
        ("POST /admin/cordon HTTP/1.1\r\nContent-Length: 9999\r\n\r\n".to_string(), 413, "too long"),
        (format!("GET /admin/stats HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(9_000)), 431, "too long"),
        (post(""), 400, "empty"),
        (post("s\u{1}"), 400, "control"),
        (post("nobody"), 404, "'nobody'"),
    ] {
        let (actual, text) = operator_request(gateway.operator, &call);
        assert_eq!(actual, status, "{call}");
        assert!(text.contains(why), "{text}");
    }
    assert_eq!(gateway.client().request(&request_command("t1", "read", 1_200)), "t1");
}

#[test]
fn a_cordoned_server_gets_no_attempts_until_it_is_uncordoned() {
    let (one, other) = (Server::start(Behavior::Serve), Server::start(Behavior::Serve));
    let gateway = Gateway::start(&[&one, &other]);
    let mut client = gateway.client();
    let mut ask = |from: usize| {
        (from..from + 20)
            .for_each(|index| drop(client.request(&request_command(&format!("t{index}"), "read", 1_200))));
    };
    ask(0);
    assert!(one.calls() > 0 && other.calls() > 0);
    // One uncordon reverses two cordons.
    assert_eq!(gateway.operator_request("POST", "/admin/cordon", "s0").0, 200);
    assert_eq!(gateway.operator_request("POST", "/admin/cordon", "s0\n").0, 200);
    let (calls, size) = (one.calls(), gateway.metric("pool_size"));
    assert_eq!((size, gateway.metric("pool_ejected")), (2, 1));
    ask(20);
    assert_eq!(one.calls(), calls);
    assert_eq!(gateway.operator_request("POST", "/admin/uncordon", "s0").0, 200);
    assert_eq!(gateway.metric("pool_ejected"), 0);
    ask(40);
    // The uncordoned server gets attempts at once, but few, because it is in slow start.
    assert!(one.calls() > calls && one.calls() < calls + 10, "{} after {calls}", one.calls());
    assert_eq!(gateway.operator_request("POST", "/admin/uncordon", "nobody").0, 404);
}

#[test]
fn operators_are_answered_while_clients_use_all_slots() {
    let server = Server::start(Behavior::Delayed(300));
    // Descriptors: 41 for the gateway itself and operators, 13 for servers, 29 for clients, 3 for rejected clients.
    let gateway = Gateway::with_sockets(&[&server], 86);
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        let _ = client.stream.write_all(&request_command(&format!("t{index}"), "read", 1_400));
    }
    for _ in 0..20 {
        let started_at = Instant::now();
        assert_eq!(gateway.operator_request("GET", "/admin/health", "").0, 200);
        assert!(gateway.metric("active") <= 29);
        assert!(started_at.elapsed() < MAX_RESPONSE_TIME);
        thread::sleep(Duration::from_millis(20));
    }
    let files =
        std::fs::read_dir(format!("/proc/{}/fd", gateway.process.id())).expect("the gateway runs").count();
    assert!(files <= 86, "{files} descriptors");
}
