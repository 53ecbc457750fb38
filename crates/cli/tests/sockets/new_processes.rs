//! A new process at the address of one that has gone.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
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

/// A discovery service whose watches wait for a version above the one that they name, and whose process can be replaced.
struct VersionedDiscovery {
    state: Mutex<(u64, String)>,
    connections: Mutex<Vec<TcpStream>>,
}

impl VersionedDiscovery {
    fn start(version: u64, list: String) -> (SocketAddr, Arc<Self>) {
        let (listener, address) = bind_listener();
        let state = Mutex::new((version, list));
        let discovery = Arc::new(VersionedDiscovery { state, connections: Mutex::default() });
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = stream.try_clone().expect("a handle");
                service.connections.lock().expect("connections").push(handle);
                let service = service.clone();
                thread::spawn(move || service.serve(&stream));
            }
        });
        (address, discovery)
    }

    fn serve(&self, mut stream: &TcpStream) {
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        while let Some(request_line) = lines.next() {
            lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
            let since = request_line.split_once("since=").map(|(_, rest)| {
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
            });
            let has_news = || since.is_none_or(|since: u64| since < self.state.lock().expect("state").0);
            while !has_news() && !request_line.contains("timeout_ms=0") {
                thread::sleep(Duration::from_millis(5));
            }
            let (version, list) = self.state.lock().expect("state").clone();
            let body = if has_news() {
                list
            } else {
                format!(r#"{{"index":{version},"snapshot":false,"endpoints":[]}}"#)
            };
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Another process takes the address: the connections end, and versions begin anew.
    fn replace(&self, version: u64, list: String) {
        *self.state.lock().expect("state") = (version, list);
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Guards against a watch that is sent again to another process of discovery, whose versions are lower, and waits there for a
/// version that never comes.
#[test]
fn a_list_of_a_new_process_of_discovery_is_taken_in_although_its_versions_are_lower() {
    let servers = [Server::start(Behavior::Serve), Server::start(Behavior::Serve)];
    let list = |index: u64, status: &str| {
        let entry = |name: &str, server: &Server, status: &str| {
            let address = server.address;
            format!(r#"{{"name":"{name}","address":"{address}","status":"{status}","since_ms":0}}"#)
        };
        let entries = [entry("s0", &servers[0], status), entry("s1", &servers[1], "in_service")];
        format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
    };
    let (address, discovery) = VersionedDiscovery::start(500, list(500, "in_service"));
    let with_polling = |config: String| config.replace("\"pushed\"", "\"on_request\"");
    let gateway = Gateway::start_unready_with(address, NO_SERVERS, 1024, with_polling).wait_until_ready();
    let mut client = gateway.client();
    assert_eq!(client.request(&request_command("before", "read", 1_000)), "before");
    // The gateway has opened its watch, on a connection that has been used.
    thread::sleep(Duration::from_millis(500));
    discovery.replace(41, list(41, "terminating"));
    // From then on a change counts as known: 6 s after discovery had it, and the grace of 2 s.
    thread::sleep(Duration::from_secs(8));
    let calls = servers[0].calls();
    for index in 0..20 {
        let id = format!("after{index}");
        assert_eq!(client.request(&request_command(&id, "read", 1_000)), id);
    }
    assert_eq!(servers[0].calls() - calls, 0, "calls to a server that has drained for 8 s");
}
