//! A new process at the address of one that has gone.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::late_listener::LateListener;
use super::process::*;

const REQUESTS: usize = 3;

fn with_long_connecting(config: String) -> String {
    config
        .replace("\"giveUpMs\":1500.0", "\"giveUpMs\":6000.0")
        .replace("\"dialTimeoutMs\":250.0", "\"dialTimeoutMs\":1500.0")
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against attempts that were chosen for a warm server, wait for their connections, and reach the cold process that has taken
/// its address and name meanwhile.
#[test]
fn attempts_that_wait_for_a_connection_do_not_reach_a_new_process_of_the_server() {
    let (server, calls) = (Arc::new(LateListener::start()), Arc::new(AtomicUsize::new(0)));
    let (accepting, counted) = (server.clone(), calls.clone());
    thread::spawn(move || loop {
        let (stream, calls) = (accepting.accept(), counted.clone());
        // Each connection ends after a call, so that every attempt needs a new one.
        thread::spawn(move || {
            read_commands(&stream, |arguments| {
                calls.fetch_add(1, Ordering::SeqCst);
                let id = &arguments[2];
                let reply = format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len());
                let _ = (&stream).write_all(reply.as_bytes());
                false
            });
        });
    });
    let list = |index: u64, since_ms: u128| {
        let address = server.address;
        format!(
            r#"{{"index":{index},"snapshot":true,"endpoints":[{{"name":"s0","address":"{address}","status":"in_service","since_ms":{since_ms}}}]}}"#
        )
    };
    let endpoints = Arc::new(Mutex::new(list(4, 1_000)));
    let (discovery, polls) = changeable_discovery(&endpoints);
    let gateway =
        Gateway::start_unready_with(discovery, NO_SERVERS, 1024, with_long_connecting).wait_until_ready();
    assert_eq!(gateway.client().request(&request_command("first", "read", 5_000)), "first");
    // The process ends, and connections don't come up until its successor listens.
    let filler = server.fill_queue();
    let mut clients: Vec<Client> = (0..REQUESTS).map(|_| gateway.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.write(&request_command(&format!("waits{index}"), "read", 5_000));
    }
    thread::sleep(Duration::from_millis(200));
    let polls_before = polls.load(Ordering::SeqCst);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
    *endpoints.lock().expect("the list") = list(5, now);
    wait_until("the gateway has the new start", || polls.load(Ordering::SeqCst) > polls_before);
    thread::sleep(Duration::from_millis(100));
    drop(filler);
    server.reopen();
    let answers: Vec<String> = clients.iter_mut().map(Client::read).collect();
    assert_eq!(
        calls.load(Ordering::SeqCst),
        1,
        "calls of the old process at the new one, answered {answers:?}"
    );
}
