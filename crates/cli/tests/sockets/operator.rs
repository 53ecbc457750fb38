//! The second address: health, figures, servers taken out of use and called back.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

const LATE: Duration = Duration::from_secs(1);

#[test]
fn health_is_yes_only_while_it_serves() {
    let server = Server::start(Does::Late(400));
    let mut gateway = Gateway::start(&[&server]);
    assert_eq!(gateway.operate("GET", "/admin/health", "").0, 200);
    let mut client = gateway.client();
    client.write(&call("t1", "read", 1_200));
    thread::sleep(Duration::from_millis(50));
    gateway.signal("-TERM");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.operate("GET", "/admin/health", "").0, 503);
    assert_eq!(client.read(), "t1");
    assert_eq!(gateway.code(SOON), Some(0));
    let silent = Gateway::unready(discovery(String::new(), false), NO_SERVERS, 1024);
    assert_eq!(silent.operate("GET", "/admin/health", "").0, 503);
}

#[test]
fn figures_tell_what_was_answered_and_tried_and_what_is_open() {
    let (good, bad) = (Server::start(Does::Serve), Server::start(Does::Fail));
    let gateway = Gateway::start(&[&good]);
    let failing = Gateway::start(&[&bad]);
    let mut client = gateway.client();
    for at in 0..5 {
        assert_eq!(client.ask(&call(&format!("t{at}"), "read", 1_200)), format!("t{at}"));
    }
    assert_eq!(client.ask(&call("late", "pay", 1)).split(' ').next(), Some("-BUSY"));
    assert_eq!(gateway.figure("responses.read.ok"), 5);
    assert_eq!(gateway.figure("responses.pay.shed"), 1);
    assert_eq!((gateway.figure("tries"), good.calls()), (5, 5));
    assert_eq!((gateway.figure("active"), gateway.figure("pool_size")), (0, 1));
    assert!(failing.client().ask(&call("p1", "pay", 1_200)).starts_with("-ERR"));
    assert_eq!((failing.figure("responses.pay.errors"), failing.figure("tries")), (1, 1));
    *good.does.lock().expect("does") = Does::Silent;
    client.write(&call("open", "read", 1_200));
    while good.calls() < 6 {
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!((gateway.figure("active"), gateway.figure("tries")), (1, 6));
}

#[test]
fn callers_that_stall_keep_nobody_out() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut stalled = Vec::new();
    for at in 0..100 {
        let mut stream = TcpStream::connect(gateway.operator).expect("connected");
        stream.write_all(&b"GET /admin/health HT"[..at % 20]).expect("written");
        stalled.push(stream);
        if at % 10 == 9 {
            let began = Instant::now();
            assert_eq!(gateway.operate("GET", "/admin/health", "").0, 200);
            assert!(began.elapsed() < LATE);
        }
    }
    // In pieces it is a call as well.
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
fn a_call_that_makes_no_sense_gets_an_error_that_names_why() {
    let server = Server::start(Does::Serve);
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
        let (told, text) = operate(gateway.operator, &call);
        assert_eq!(told, status, "{call}");
        assert!(text.contains(why), "{text}");
    }
    assert_eq!(gateway.client().ask(&call("t1", "read", 1_200)), "t1");
}

#[test]
fn a_server_out_of_use_gets_nothing_until_it_is_called_back() {
    let (one, other) = (Server::start(Does::Serve), Server::start(Does::Serve));
    let gateway = Gateway::start(&[&one, &other]);
    let mut client = gateway.client();
    let mut ask = |from: usize| {
        (from..from + 20).for_each(|at| drop(client.ask(&call(&format!("t{at}"), "read", 1_200))));
    };
    ask(0);
    assert!(one.calls() > 0 && other.calls() > 0);
    // Twice out, and one call back undoes both.
    assert_eq!(gateway.operate("POST", "/admin/cordon", "s0").0, 200);
    assert_eq!(gateway.operate("POST", "/admin/cordon", "s0\n").0, 200);
    let (calls, size) = (one.calls(), gateway.figure("pool_size"));
    assert_eq!((size, gateway.figure("pool_ejected")), (2, 1));
    ask(20);
    assert_eq!(one.calls(), calls);
    assert_eq!(gateway.operate("POST", "/admin/uncordon", "s0").0, 200);
    assert_eq!(gateway.figure("pool_ejected"), 0);
    ask(40);
    // Cold, it is met at once, and carefully.
    assert!(one.calls() > calls && one.calls() < calls + 10, "{} after {calls}", one.calls());
    assert_eq!(gateway.operate("POST", "/admin/uncordon", "nobody").0, 404);
}

#[test]
fn operators_are_answered_while_clients_have_all_places() {
    let server = Server::start(Does::Late(300));
    // 41 for itself and operators, 13 servers, 29 clients, 3 turned away.
    let gateway = Gateway::with_sockets(&[&server], 86);
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        let _ = client.stream.write_all(&call(&format!("t{at}"), "read", 1_400));
    }
    for _ in 0..20 {
        let began = Instant::now();
        assert_eq!(gateway.operate("GET", "/admin/health", "").0, 200);
        assert!(gateway.figure("active") <= 29);
        assert!(began.elapsed() < LATE);
        thread::sleep(Duration::from_millis(20));
    }
    let files = std::fs::read_dir(format!("/proc/{}/fd", gateway.process.id())).expect("it runs").count();
    assert!(files <= 86, "{files} descriptors");
}
