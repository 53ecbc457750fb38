//! Requests, clients and servers, the endpoint list, start and shutdown.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Output;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;
use fernscale_gateway::protocol::resp;

#[test]
fn a_request_is_forwarded_unchanged_and_its_value_is_returned() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    assert_eq!(gateway.client().request(&request_command("t1", "read", 1_200)), "t1");
    let calls = server.calls.lock().expect("calls");
    assert_eq!((&*calls[0][0], &*calls[0][1], &*calls[0][4]), ("CALL.POST", "00000000b4d65521", "BODY"));
    let time_left = calls[0][3]
        .strip_prefix("c=read,t=team,d=")
        .and_then(|rest| rest.strip_suffix(",units=1,spread=1,first=0"));
    let time_left: u64 =
        time_left.and_then(|time_left| time_left.parse().ok()).expect("the same fields, except for the time");
    assert!((1_000..=1_200).contains(&time_left), "{time_left}");
}

#[test]
fn commands_that_arrive_byte_by_byte_or_all_at_once_are_answered_in_order() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    let many: Vec<u8> = (0..50)
        .flat_map(|index| [request_command(&format!("m{index}"), "read", 1_200), ping()].concat())
        .collect();
    for byte in &many[..300] {
        client.write(&[*byte]);
    }
    client.write(&many[300..]);
    for index in 0..50 {
        let answer = client.read();
        // A request without a free slot is rejected, in order.
        assert!(answer == format!("m{index}") || answer == "-BUSY 500", "{answer} for m{index}");
        assert_eq!(client.read(), "+PONG");
    }
}

/// Guards against commands that are never handled: the maximum number of pipelined commands is answered at once, and no
/// further bytes arrive that would make the gateway examine the remaining commands.
#[test]
fn commands_beyond_the_pipelining_limit_are_answered_when_all_before_them_complete_at_once() {
    let server = Server::start(Behavior::Delayed(200));
    let gateway = Gateway::start(&[&server]);
    let (mut client, started_at) = (gateway.client(), Instant::now());
    // The answers to the pings are ready at once, but wait for the answer to the request before them.
    client.write(&[request_command("first", "read", 1_200), ping().repeat(31 + 40)].concat());
    assert_eq!(client.read(), "first");
    (0..31 + 40).for_each(|_| assert_eq!(client.read(), "+PONG"));
    assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
}

#[test]
fn only_a_syntax_error_closes_the_connection_after_one_error() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    assert!(client.request(&resp::write_command(&[b"GET", b"x"])).starts_with("-ERR unknown command 'GET'"));
    assert!(client.request(&request_command("t1", "nothing", 1_200)).starts_with("-ERR"));
    assert_eq!(client.request(&resp::write_command(&[b"SELECT", b"0"])), "+OK");
    // The command before the syntax error is answered first. The bytes after it are not read.
    let bad = [request_command("t2", "read", 1_200), b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![b'x'; 100_000]]
        .concat();
    assert_eq!(client.request(&bad), "t2");
    assert!(client.read().starts_with("-ERR bad syntax"));
    assert_eq!(client.read(), "");
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_the_server_did_not_run_it() {
    let (failed, rejected) = ("-ERR abandoned", "-BUSY 500");
    for (behavior, class, answer, sent) in [
        (Behavior::Reset, "pay", failed, 1),
        (Behavior::Fail, "pay", failed, 1),
        (Behavior::InvalidReply, "pay", failed, 1),
        (Behavior::Overloaded, "pay", rejected, 2),
        (Behavior::Reset, "read", rejected, 2),
        (Behavior::Fail, "read", rejected, 2),
        (Behavior::InvalidReply, "read", rejected, 2),
        (Behavior::PartialReply, "pay", failed, 1),
        (Behavior::PartialReply, "read", rejected, 2),
    ] {
        let servers = [Server::start(behavior), Server::start(behavior)];
        let gateway = Gateway::start(&[&servers[0], &servers[1]]);
        assert_eq!(gateway.client().request(&request_command("t1", class, 1_200)), answer);
        assert_eq!(servers[0].calls() + servers[1].calls(), sent, "in {class}");
    }
}

#[test]
fn what_a_server_adds_to_a_good_answer_spoils_neither_that_nor_the_next() {
    let more =
        ["$-1\r\n$-1\r\nnoise", "$-1\r\n?noise\r\n", "$-1\r\n$3\r\nlonger than that\r\n", "$-1\r\n$90\r\n"];
    for behavior in more.into_iter().map(Behavior::TrailingBytes).chain([Behavior::DuplicateReply]) {
        let server = Server::start(behavior);
        let gateway = Gateway::start(&[&server]);
        let mut client = gateway.client();
        for index in 0..4 {
            assert_eq!(
                client.request(&request_command(&format!("t{index}"), "pay", 1_200)),
                format!("t{index}")
            );
        }
        assert_eq!(server.calls(), 4);
    }
}

#[test]
fn repeated_invalid_commands_are_rejected_at_a_limited_rate_and_harm_no_other_client() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::with_sockets(&[&server], 86);
    let deadline = Instant::now() + Duration::from_millis(1_000);
    let mut regular = gateway.client();
    assert_eq!((regular.request(&ping()), regular.request(&ping())), ("+PONG".into(), "+PONG".into()));
    let invalid_clients: Vec<_> = (0..40)
        .map(|index| {
            let gateway = gateway.listen;
            thread::spawn(move || {
                let mut answered = 0;
                while Instant::now() < deadline {
                    let Ok(mut stream) = TcpStream::connect(gateway) else { continue };
                    let bad = if index % 2 == 0 {
                        b"no command\r\n".to_vec()
                    } else {
                        request_command("t", "nothing", 100)
                    };
                    let mut part = [0; 1024];
                    let _ = stream.set_read_timeout(Some(TIMEOUT));
                    let got_answer = stream.write_all(&bad).is_ok() && stream.read(&mut part).is_ok();
                    answered += usize::from(got_answer);
                }
                answered
            })
        })
        .collect();
    let mut index = 0;
    while Instant::now() < deadline {
        let id = format!("t{index}");
        assert_eq!(regular.request(&request_command(&id, "read", 1_200)), id);
        index += 1;
    }
    let answered: usize =
        invalid_clients.into_iter().map(|client| client.join().expect("the client ends")).sum();
    assert!((40..1_000).contains(&answered), "{answered} answers within a second");
}

#[test]
fn connections_that_break_on_reuse_are_not_kept_for_long() {
    let server = Server::start(Behavior::ServeOnce);
    let gateway = Gateway::start(&[&server]);
    let (mut client, mut lost) = (gateway.client(), 0);
    for index in 0..12 {
        let id = format!("t{index}");
        lost += usize::from(client.request(&request_command(&id, "pay", 1_200)) != id);
        thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(lost, 1, "after the first lost request no connection is reused for a while");
}

#[test]
fn clients_that_send_no_request_are_closed_in_time_and_block_no_other_client() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::with_sockets(&[&server], 69);
    let mut regular = gateway.client();
    assert_eq!((regular.request(&ping()), regular.request(&ping())), ("+PONG".into(), "+PONG".into()));
    let half = request_command("half", "read", 1_200);
    let started_at = Instant::now();
    let mut silent: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let mut halves: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    halves.iter_mut().for_each(|client| client.write(&half[..40]));
    // The earlier client that sent a request keeps its connection, although it has been idle for longer.
    assert_eq!(regular.request(&request_command("t1", "read", 1_200)), "t1");
    silent.iter_mut().for_each(|client| assert_eq!(client.read(), ""));
    halves.iter_mut().for_each(|client| assert!(client.read().starts_with("-ERR bad syntax")));
    assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    assert_eq!(regular.request(&request_command("t2", "read", 1_200)), "t2");
}

#[test]
fn a_non_idempotent_request_is_retried_after_a_failed_connection() {
    let unreachable = Server {
        address: bind_listener().1,
        behavior: Arc::new(Mutex::new(Behavior::Serve)),
        calls: Arc::default(),
        open_connections: Arc::default(),
    };
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&unreachable, &server]);
    let mut client = gateway.client();
    for index in 0..6 {
        assert_eq!(client.request(&request_command(&format!("t{index}"), "pay", 1_200)), format!("t{index}"));
    }
}

#[test]
fn a_closed_idle_connection_is_not_reused() {
    let server = Server::start(Behavior::ServeAndClose);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for index in 0..3 {
        assert_eq!(client.request(&request_command(&format!("t{index}"), "pay", 1_200)), format!("t{index}"));
        thread::sleep(Duration::from_millis(120));
    }
}

#[test]
fn a_client_that_disconnects_does_not_affect_other_clients() {
    let server = Server::start(Behavior::Delayed(300));
    let gateway = Gateway::start(&[&server]);
    let (mut leaving, mut staying) = (gateway.client(), gateway.client());
    leaving.write(&request_command("t1", "read", 1_200));
    staying.write(&request_command("t2", "read", 1_200));
    while server.calls() < 2 {
        thread::yield_now();
    }
    drop(leaving);
    assert_eq!(staying.read(), "t2");
    // The attempt of the disconnected client was cancelled by closing its connection to the server. The other connection is
    // kept for the next attempt.
    let started_at = Instant::now();
    while server.open_connections.load(Ordering::SeqCst) != 1 {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "{} connections",
            server.open_connections.load(Ordering::SeqCst)
        );
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.client().request(&request_command("t3", "read", 1_200)), "t3");
    assert_eq!(server.open_connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_silent_server_does_not_delay_an_answer_past_the_hard_deadline() {
    let server = Server::start(Behavior::Silent);
    let gateway = Gateway::start(&[&server]);
    let (mut client, started_at) = (gateway.client(), Instant::now());
    assert_eq!(client.request(&request_command("t1", "pay", 500)), "-ERR abandoned");
    let took = started_at.elapsed();
    assert!(took < Duration::from_millis(1_000), "{took:?}");
    // The gateway closed the connection to the server, so that the attempt doesn't continue unobserved.
    let started_at = Instant::now();
    while server.open_connections.load(Ordering::SeqCst) > 0 {
        assert!(started_at.elapsed() < TIMEOUT);
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_request_id_in_use_is_not_accepted_again() {
    let server = Server::start(Behavior::Delayed(200));
    let gateway = Gateway::start(&[&server]);
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.write(&request_command("t1", "read", 1_200));
    while server.calls() < 1 {
        thread::yield_now();
    }
    assert_eq!(second.request(&request_command("t1", "read", 1_200)), "-ERR this id is in use");
    // A client that disconnects before it receives this error must not receive or cancel the other client's answer.
    for _ in 0..20 {
        let mut third = gateway.client();
        third.write(&[request_command("t1", "read", 1_200), b"\r\n".to_vec()].concat());
    }
    assert_eq!(first.read(), "t1");
    assert_eq!(server.calls(), 1);
}

#[test]
fn a_gateway_is_ready_when_it_knows_a_server_and_has_polled_discovery() {
    let empty = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let without_servers = Gateway::start_unready(discovery(endpoint_list(&[]), true), empty, 1024);
    thread::sleep(Duration::from_millis(100));
    assert!(without_servers.client().request(&ping()).starts_with("-ERR"));
    // If discovery doesn't answer, the gateway uses the list in its configuration after a while.
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start_unready(discovery(String::new(), false), &endpoint_list(&[&server]), 1024);
    let (mut client, started_at) = (gateway.client(), Instant::now());
    while client.request(&ping()) != "+PONG" {
        assert!(started_at.elapsed() < TIMEOUT, "the gateway does not get ready");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.request(&request_command("t1", "read", 1_200)), "t1");
}

#[test]
fn a_graceful_shutdown_answers_pending_and_new_requests_and_closes_idle_connections() {
    let server = Server::start(Behavior::Delayed(300));
    let mut gateway = Gateway::start(&[&server]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    assert_eq!(idle.request(&ping()), "+PONG");
    busy.write(&request_command("t1", "read", 1_200));
    while server.calls() < 1 {
        thread::yield_now();
    }
    gateway.signal("-TERM");
    assert_eq!(idle.read(), "");
    thread::sleep(Duration::from_millis(100));
    let mut late = gateway.client();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(late.request(&request_command("t2", "read", 1_200)), "t2");
    assert_eq!(late.read(), "");
    assert_eq!((busy.read(), busy.read()), ("t1".into(), String::new()));
    assert_eq!(gateway.wait_for_exit(Duration::from_secs(3)), Some(0));
}

#[test]
fn a_graceful_shutdown_ends_in_time_while_clients_keep_sending() {
    for _ in 0..4 {
        let server = Server::start(Behavior::Serve);
        let mut gateway = Gateway::start(&[&server]);
        let send_pings = |mut client: Client| {
            // Sends byte by byte, so that a partial command is nearly always in transit when the signal arrives.
            thread::spawn(move || {
                let bytes = ping();
                let mut index = 0;
                while client.stream.write_all(&bytes[index..=index]).is_ok() {
                    index = (index + 1) % bytes.len();
                }
            })
        };
        let senders: Vec<_> = (0..12).map(|_| send_pings(gateway.client())).collect();
        thread::sleep(Duration::from_millis(50));
        gateway.signal("-TERM");
        assert_eq!(gateway.wait_for_exit(Duration::from_secs(4)), Some(0));
        senders.into_iter().for_each(|sender| sender.join().expect("the sender ends"));
    }
}

#[test]
fn clients_beyond_the_limit_replace_idle_connections_or_get_a_retry_after() {
    let servers: Vec<Server> = (0..6).map(|_| Server::start(Behavior::Delayed(200))).collect();
    let servers: Vec<&Server> = servers.iter().collect();
    // A limit that the test can reach. Descriptors: 41 for the gateway itself and operators, 13 for servers, 29 for clients, 3
    // for rejected clients.
    let gateway = Gateway::with_sockets(&servers, 86);
    // Waits until the client that waited for readiness has disconnected.
    thread::sleep(Duration::from_millis(50));
    let clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    thread::sleep(Duration::from_millis(100));
    // The gateway closed idle connections, but no more than necessary.
    let is_open = |client: &mut Client| {
        client.stream.set_nonblocking(true).expect("set");
        let is_open = client.stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).expect("set");
        is_open
    };
    let mut busy: Vec<Client> =
        clients.into_iter().filter_map(|mut client| is_open(&mut client).then_some(client)).collect();
    assert_eq!(busy.len(), 29);
    // All connections have a request in flight when another client connects.
    for (index, client) in busy.iter_mut().enumerate() {
        client.write(&request_command(&format!("t{index}"), "read", 1_200));
    }
    thread::sleep(Duration::from_millis(20));
    let mut extra = gateway.client();
    assert_eq!(extra.request(&request_command("more", "read", 1_200)), "-BUSY 500");
    // Every request is answered. Those that waited too long for a server are rejected.
    for (index, client) in busy.iter_mut().enumerate() {
        let answer = client.read();
        assert!(answer == format!("t{index}") || answer == "-BUSY 500", "{answer} for t{index}");
    }
}

#[test]
fn a_new_connection_is_not_closed_before_its_client_can_send_a_request() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::with_sockets(&[&server], 69);
    // Clients with one request each use all slots. Further clients connect, and send a request a moment later.
    let connect_and_request = |index: usize| {
        let mut client = gateway.client();
        assert_eq!(
            client.request(&request_command(&format!("s{index}"), "read", 1_200)),
            format!("s{index}")
        );
        client
    };
    let idle: Vec<Client> = (0..40).map(connect_and_request).collect();
    let mut new: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    thread::sleep(Duration::from_millis(30));
    for (index, client) in new.iter_mut().enumerate() {
        assert_eq!(
            client.request(&request_command(&format!("n{index}"), "read", 1_200)),
            format!("n{index}")
        );
    }
    drop(idle);
}

#[test]
fn a_partial_command_keeps_no_slot_and_does_not_delay_a_shutdown() {
    let server = Server::start(Behavior::Serve);
    let mut gateway = Gateway::with_sockets(&[&server], 69);
    let half = request_command("half", "read", 1_200);
    let mut clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| {
        // The write fails if the gateway has already closed the connection.
        let _ = client.stream.write_all(&half[..40]);
    });
    assert_eq!(gateway.client().request(&request_command("t1", "read", 1_200)), "t1");
    assert_eq!(gateway.client().request(&ping()), "+PONG");
    gateway.signal("-TERM");
    assert_eq!(gateway.wait_for_exit(Duration::from_secs(3)), Some(0));
}

#[test]
fn a_new_configuration_switches_discovery_and_an_invalid_one_changes_nothing() {
    let (old, new) = (Server::start(Behavior::Delayed(300)), Server::start(Behavior::Serve));
    let gateway = Gateway::start(&[&old]);
    let mut busy = gateway.client();
    busy.write(&request_command("t1", "pay", 1_200));
    while old.calls() < 1 {
        thread::yield_now();
    }
    for bad in ["", "{}", "{\"discovery\":\"nowhere\"}"] {
        std::fs::write(&gateway.file, bad).expect("written");
        gateway.signal("-HUP");
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.client().request(&request_command("t2", "read", 1_200)), "t2");
    assert_eq!(new.calls(), 0);
    // The versions of the new list are independent of the old list's. The gateway polls the full list, not only changes since
    // the old list's version.
    let listed = endpoint_list(&[&new]).replace("s0", "other");
    let config = config(gateway.listen, discovery(listed, true), "null", 1024);
    std::fs::write(&gateway.file, config).expect("written");
    gateway.signal("-HUP");
    let (mut client, started_at) = (gateway.client(), Instant::now());
    for index in 0.. {
        assert!(started_at.elapsed() < TIMEOUT, "the gateway keeps the old list");
        let id = format!("n{index}");
        assert_eq!(client.request(&request_command(&id, "read", 1_200)), id);
        if new.calls() > 0 {
            break;
        }
    }
    let before = old.calls();
    for index in 0..6 {
        let id = format!("l{index}");
        assert_eq!(client.request(&request_command(&id, "read", 1_200)), id);
    }
    assert_eq!(old.calls(), before, "a server that is no longer in the list gets no new attempts");
    assert_eq!(busy.read(), "t1");
}

fn startup_error(config: &str) -> String {
    let Output { status, stderr, .. } = spawn_gateway(&write_temporary_file(config), bind_listener().1)
        .wait_with_output()
        .expect("the gateway ends");
    assert!(!status.success());
    let text = String::from_utf8(stderr).expect("UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn an_invalid_configuration_fails_with_one_message() {
    let (_taken, address) = bind_listener();
    let good = config(address, address, "null", 1024);
    assert!(startup_error("{").contains("EOF"));
    assert!(startup_error("[]").contains('\''));
    assert!(startup_error(&good).contains("can't listen"));
    for (part, replacement, expected) in [
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":"xyz""#, "'seed'"),
        (r#""discovery":"127"#, r#""discovery":"nowhere"#, "'discovery'"),
        (r#""effect":"read_like""#, r#""effect":"odd""#, "'lanes.0.effect=odd'"),
        (r#""dialTimeoutMs":250.0,"#, "", "dialTimeoutMs"),
        (r#""sharedCounter":false"#, r#""sharedCounter":7"#, "sharedCounter"),
        (r#""known":null"#, r#""known":{"index":1}"#, "'endpoints'"),
    ] {
        assert!(good.contains(part), "{part}");
        let why = startup_error(&good.replacen(part, replacement, 1));
        assert!(why.contains(expected), "{why}");
    }
}

#[test]
fn with_few_free_slots_single_request_clients_keep_few_and_repeat_clients_keep_theirs() {
    let server = Server::start(Behavior::Serve);
    // 198 slots are for clients. When two thirds are used, clients with one request keep an eighth of them, which is 24.
    let gateway = Gateway::with_sockets(&[&server], 360);
    let connect_and_request = |prefix: &str, times: usize| -> Vec<Client> {
        let clients = (0..120).map(|index| {
            let mut client = gateway.client();
            for time in 0..times {
                let id = format!("{prefix}{index}-{time}");
                assert_eq!(client.request(&request_command(&id, "read", 1_200)), id);
            }
            client
        });
        clients.collect()
    };
    let repeated = connect_and_request("again", 2);
    let single = connect_and_request("once", 1);
    thread::sleep(Duration::from_millis(50));
    let open = |clients: &[Client]| clients.iter().filter(|client| !client.is_closed()).count();
    // The connections that became idle last may not be closed yet.
    assert_eq!(open(&repeated), 120);
    assert!((24..27).contains(&open(&single)), "{} clients with one request are connected", open(&single));
}
