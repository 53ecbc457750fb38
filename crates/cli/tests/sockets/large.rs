//! Values too long to be buffered: the gateway streams them in bounded memory, and truncates a faulty one so that the client
//! detects it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

const MIB: usize = 1024 * 1024;

/// Reads the header of a long value and up to `max_bytes` of the value. Returns the announced length and the number of bytes
/// read.
fn value(stream: &mut TcpStream, max_bytes: usize) -> (usize, usize) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the header of a value");
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let length =
        text.trim_start_matches('$').trim_end().parse().unwrap_or_else(|_| panic!("no value: {text}"));
    (length, read(stream, max_bytes))
}

fn read(stream: &mut TcpStream, max_bytes: usize) -> usize {
    let (mut received, mut part) = (0, vec![0; 64 * 1024]);
    while received < max_bytes {
        let wanted = part.len().min(max_bytes - received);
        match stream.read(&mut part[..wanted]) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                assert!(part[..count].iter().all(|byte| *byte == b'v' || received + count > max_bytes - 2));
                received += count;
            }
        }
    }
    received
}

#[test]
fn a_long_value_is_streamed_and_the_next_answer_follows_it() {
    let server = Server::start(Behavior::Large { length: 4 * MIB, pause: 500 });
    let gateway = Gateway::start(&[&server]);
    let (mut client, started_at) = (gateway.client(), Instant::now());
    client.write(&[request_command("t1", "read", 1_200), ping()].concat());
    let (length, received) = value(&mut client.stream, MIB);
    assert_eq!((length, received), (4 * MIB, MIB));
    assert!(
        started_at.elapsed() < Duration::from_millis(400),
        "the gateway waited for the second half before it forwarded the first"
    );
    assert_eq!(read(&mut client.stream, 3 * MIB), 3 * MIB);
    let mut rest = [0; 9];
    client.stream.read_exact(&mut rest).expect("the end of the value, and the next answer");
    assert_eq!(&rest, b"\r\n+PONG\r\n");
    assert_eq!((gateway.metric("responses.read.ok"), gateway.metric("active")), (1, 0));
    // The connection to the server stays open for another attempt.
    assert_eq!((server.calls(), server.open_connections.load(std::sync::atomic::Ordering::SeqCst)), (1, 1));
}

#[test]
fn many_long_values_for_slow_clients_need_little_memory_and_block_no_other_client() {
    let large: Vec<Server> =
        (0..12).map(|_| Server::start(Behavior::Large { length: 4 * MIB, pause: 0 })).collect();
    let gateway = Gateway::start(&large.iter().collect::<Vec<_>>());
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.write(&request_command(&format!("t{index}"), "read", 1_400));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    assert_eq!(gateway.client().request(&ping()), "+PONG");
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    let served = clients.iter_mut().filter(|client| {
        let mut first = [0];
        client.stream.peek(&mut first).is_ok_and(|count| count == 1) && first[0] == b'$'
    });
    let served = served.count();
    assert!(served >= 30, "only {served} values have started");
    assert!(peak < 24 * 1024, "{peak} kB at its peak with {served} values of 4 MiB");
}

#[test]
fn a_truncated_value_is_not_retried_and_the_client_detects_it() {
    for behavior in [
        Behavior::Truncated { length: 2 * MIB, sent_bytes: MIB },
        Behavior::MissingLineEnd { length: 128 * 1024 },
    ] {
        let server = Server::start(behavior);
        let other = Server::start(behavior);
        let gateway = Gateway::start(&[&server, &other]);
        let mut client = gateway.client();
        client.write(&request_command("t1", "read", 1_200));
        let (length, received) = value(&mut client.stream, usize::MAX);
        assert!(received <= length, "{received} of {length}: a truncated value must not have a line end");
        assert_eq!(server.calls() + other.calls(), 1);
        assert_eq!(gateway.metric("responses.read.errors"), 1);
    }
}

#[test]
fn a_wrong_length_is_detected_before_anything_is_forwarded() {
    let truncated = Server::start(Behavior::Truncated { length: 100_000, sent_bytes: 20 });
    let endless = Server::start(Behavior::Truncated { length: 3_000_000_000, sent_bytes: MIB });
    let good = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&truncated, &endless, &good]);
    for index in 0..12 {
        assert_eq!(
            gateway.client().request(&request_command(&format!("t{index}"), "read", 1_400)),
            format!("t{index}")
        );
    }
    assert!(truncated.calls() > 0 && endless.calls() > 0);
}

#[test]
fn a_client_that_disconnects_during_a_value_cancels_the_attempt() {
    let server = Server::start(Behavior::Large { length: 4 * MIB, pause: 300 });
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.write(&request_command("t1", "read", 1_200));
    assert_eq!(value(&mut client.stream, MIB), (4 * MIB, MIB));
    drop(client);
    let started_at = Instant::now();
    while gateway.metric("active") > 0
        || server.open_connections.load(std::sync::atomic::Ordering::SeqCst) > 0
    {
        assert!(started_at.elapsed() < TIMEOUT, "the attempt continues");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_cordoned_server_completes_the_value_that_it_is_sending() {
    let server = Server::start(Behavior::Large { length: 4 * MIB, pause: 300 });
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.write(&request_command("t1", "read", 1_200));
    assert_eq!(value(&mut client.stream, MIB), (4 * MIB, MIB));
    assert_eq!(gateway.operator_request("POST", "/admin/cordon", "s0").0, 200);
    assert_eq!(read(&mut client.stream, 3 * MIB), 3 * MIB);
    let mut other = gateway.client();
    other.stream.write_all(&request_command("t2", "read", 300)).expect("written");
    assert!(other.read().starts_with("-BUSY"));
    assert_eq!(server.calls(), 1);
}
