//! Values too long to be kept whole: passed on as they come, in bounded memory, and cut off where the client can tell.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

const MIB: usize = 1024 * 1024;

/// Reads the head of a long value and then `most` bytes of it at most: its length, and how many came.
fn value(stream: &mut TcpStream, most: usize) -> (usize, usize) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the head of a value");
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let length =
        text.trim_start_matches('$').trim_end().parse().unwrap_or_else(|_| panic!("no value: {text}"));
    (length, read(stream, most))
}

fn read(stream: &mut TcpStream, most: usize) -> usize {
    let (mut came, mut part) = (0, vec![0; 64 * 1024]);
    while came < most {
        let room = part.len().min(most - came);
        match stream.read(&mut part[..room]) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                assert!(part[..count].iter().all(|byte| *byte == b'v' || came + count > most - 2));
                came += count;
            }
        }
    }
    came
}

#[test]
fn a_long_value_comes_as_the_server_gives_it_and_the_next_answer_behind_it() {
    let server = Server::start(Does::Large { length: 4 * MIB, pause: 500 });
    let gateway = Gateway::start(&[&server]);
    let (mut client, began) = (gateway.client(), Instant::now());
    client.write(&[call("t1", "read", 1_200), ping()].concat());
    let (length, came) = value(&mut client.stream, MIB);
    assert_eq!((length, came), (4 * MIB, MIB));
    assert!(began.elapsed() < Duration::from_millis(400), "its first half is not waited for");
    assert_eq!(read(&mut client.stream, 3 * MIB), 3 * MIB);
    let mut behind = [0; 9];
    client.stream.read_exact(&mut behind).expect("the end of the value, and the next answer");
    assert_eq!(&behind, b"\r\n+PONG\r\n");
    assert_eq!((gateway.figure("responses.read.ok"), gateway.figure("active")), (1, 0));
    // The connection to the server is good for another.
    assert_eq!((server.calls(), server.open.load(std::sync::atomic::Ordering::SeqCst)), (1, 1));
}

#[test]
fn many_long_values_at_slow_clients_take_little_memory_and_keep_no_other_waiting() {
    let large: Vec<Server> =
        (0..12).map(|_| Server::start(Does::Large { length: 4 * MIB, pause: 0 })).collect();
    let gateway = Gateway::start(&large.iter().collect::<Vec<_>>());
    let mut clients: Vec<Client> = (0..60).map(|_| gateway.client()).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        client.write(&call(&format!("t{at}"), "read", 1_400));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    assert_eq!(gateway.client().ask(&ping()), "+PONG");
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    let served = clients.iter_mut().filter(|client| {
        let mut first = [0];
        client.stream.peek(&mut first).is_ok_and(|count| count == 1) && first[0] == b'$'
    });
    let served = served.count();
    assert!(served >= 30, "{served} values have begun");
    assert!(peak < 24 * 1024, "{peak} kB at its peak with {served} values of 4 MiB");
}

#[test]
fn a_value_that_breaks_off_is_not_asked_for_again_and_the_client_can_tell() {
    for does in [Does::Cut { length: 2 * MIB, at: MIB }, Does::LineEnd { length: 128 * 1024 }] {
        let server = Server::start(does);
        let other = Server::start(does);
        let gateway = Gateway::start(&[&server, &other]);
        let mut client = gateway.client();
        client.write(&call("t1", "read", 1_200));
        let (length, came) = value(&mut client.stream, usize::MAX);
        assert!(came <= length, "{came} of {length}: no line end, as it did not come whole");
        assert_eq!(server.calls() + other.calls(), 1);
        assert_eq!(gateway.figure("responses.read.errors"), 1);
    }
}

#[test]
fn a_spoilt_length_is_found_out_before_anything_is_passed_on() {
    let spoilt = Server::start(Does::Cut { length: 100_000, at: 20 });
    let endless = Server::start(Does::Cut { length: 3_000_000_000, at: MIB });
    let good = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&spoilt, &endless, &good]);
    for at in 0..12 {
        assert_eq!(gateway.client().ask(&call(&format!("t{at}"), "read", 1_400)), format!("t{at}"));
    }
    assert!(spoilt.calls() > 0 && endless.calls() > 0);
}

#[test]
fn a_client_that_leaves_half_way_ends_the_trip() {
    let server = Server::start(Does::Large { length: 4 * MIB, pause: 300 });
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.write(&call("t1", "read", 1_200));
    assert_eq!(value(&mut client.stream, MIB), (4 * MIB, MIB));
    drop(client);
    let began = Instant::now();
    while gateway.figure("active") > 0 || server.open.load(std::sync::atomic::Ordering::SeqCst) > 0 {
        assert!(began.elapsed() < SOON, "it goes on");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_server_taken_out_of_use_finishes_the_value_that_it_gives() {
    let server = Server::start(Does::Large { length: 4 * MIB, pause: 300 });
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.write(&call("t1", "read", 1_200));
    assert_eq!(value(&mut client.stream, MIB), (4 * MIB, MIB));
    assert_eq!(gateway.operate("POST", "/admin/cordon", "s0").0, 200);
    assert_eq!(read(&mut client.stream, 3 * MIB), 3 * MIB);
    let mut other = gateway.client();
    other.stream.write_all(&call("t2", "read", 300)).expect("written");
    assert!(other.read().starts_with("-BUSY"));
    assert_eq!(server.calls(), 1);
}
