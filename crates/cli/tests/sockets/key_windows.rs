//! Retries of keyed requests: none reaches a server after the servers may have forgotten the key.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fernscale_gateway::protocol::resp;

use super::late_listener::LateListener;
use super::process::*;

/// How long the servers remember a key, counted from the first call with it.
const RETENTION: Duration = Duration::from_millis(1_500);
/// How long the first server works on the call until it breaks the connection.
const RESET_AFTER: Duration = Duration::from_millis(550);
/// When connections to the other server come up again, counted from the first call. The kernel repeats the beginning of a
/// connection after a second, so the connection of a retry comes up 1.55 s after the first call.
const REOPEN_AFTER: Duration = Duration::from_millis(1_200);

/// When each call has come, to any of the servers.
type Calls = Arc<Mutex<Vec<Instant>>>;

/// Starts two servers that share one memory of keys. The one that gets the first call breaks the connection, and the other one
/// takes no new connection for a while. Returns their addresses, and the calls.
fn start_servers() -> ([SocketAddr; 2], Calls) {
    let calls = Calls::default();
    let servers = Arc::new([LateListener::start(), LateListener::start()]);
    for index in 0..2 {
        let (servers, calls) = (servers.clone(), calls.clone());
        thread::spawn(move || loop {
            let stream = servers[index].accept();
            let (servers, calls) = (servers.clone(), calls.clone());
            thread::spawn(move || serve(stream, &servers[1 - index], &calls));
        });
    }
    ([servers[0].address, servers[1].address], calls)
}

fn serve(stream: TcpStream, other: &LateListener, calls: &Calls) {
    read_commands(&stream, |arguments| {
        let is_first = {
            let mut calls = calls.lock().expect("calls");
            calls.push(Instant::now());
            calls.len() == 1
        };
        if !is_first {
            let id = &arguments[2];
            let reply = format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len());
            return (&stream).write_all(reply.as_bytes()).is_ok();
        }
        let first_call_at = Instant::now();
        let filler = other.fill_queue();
        thread::sleep(RESET_AFTER.saturating_sub(first_call_at.elapsed()));
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
        let _ = stream.shutdown(std::net::Shutdown::Both);
        thread::sleep(REOPEN_AFTER.saturating_sub(first_call_at.elapsed()));
        drop(filler);
        other.reopen();
        false
    });
}

fn keyed_command(id: &str, time_left_ms: u64) -> Vec<u8> {
    let fields = format!("c=pay,t=team,d={time_left_ms},k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0");
    resp::write_command(&[b"CALL.POST", b"00000000b4d65521", id.as_bytes(), fields.as_bytes(), b"BODY"])
}

fn with_keyed_class(config: String) -> String {
    let retention = format!("\"memorySpanMs\":{}", RETENTION.as_millis());
    config
        .replace("non_idempotent", "idempotency_key")
        .replace("\"memorySpanMs\":5000.0", &retention)
        .replace("\"giveUpMs\":1500.0", "\"giveUpMs\":6000.0")
        .replace("\"dialTimeoutMs\":250.0", "\"dialTimeoutMs\":1500.0")
}

/// Guards against an order that runs twice: its retry is chosen while the servers remember its key, and its connection comes up
/// when they have forgotten it.
#[test]
fn a_retry_whose_connection_comes_up_after_the_window_of_its_key_is_not_sent() {
    let (addresses, calls) = start_servers();
    let server = |index: usize| {
        format!(
            r#"{{"name":"s{index}","address":"{}","status":"in_service","since_ms":0}}"#,
            addresses[index]
        )
    };
    let list = format!(r#"{{"index":4,"snapshot":true,"endpoints":[{},{}]}}"#, server(0), server(1));
    let gateway = Gateway::start_unready_with(discovery(list, true), NO_SERVERS, 1024, with_keyed_class)
        .wait_until_ready();
    let (mut client, sent_at) = (gateway.client(), Instant::now());
    let answer = client.request(&keyed_command("order", 6_000));
    let answered_after = sent_at.elapsed();
    // A connection that comes up late would bring the second call by now.
    thread::sleep(Duration::from_secs(2));
    let calls = calls.lock().expect("calls");
    let offsets: Vec<Duration> = calls.iter().map(|at| *at - calls[0]).collect();
    assert!(offsets.iter().all(|offset| *offset < RETENTION), "calls at {offsets:?}, answered {answer}");
    assert!(answer.starts_with('-'), "answered {answer}");
    assert!(answered_after < RETENTION + Duration::from_millis(300), "answered after {answered_after:?}");
}
