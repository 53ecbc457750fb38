//! Races with pending requests: clients that disconnect while their requests wait, and a shutdown during requests.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;
use fernscale_gateway::protocol::resp;

/// The maximum time until the gateway notices that a client has disconnected. It stops sending attempts of the client within
/// 0.3 s; the rest allows for a busy machine. A gateway that doesn't check notices the end seconds later, or only when a
/// server answers.
const MAX_DISCONNECT_DELAY: Duration = Duration::from_millis(1_000);

/// Changes a configuration to long latency objectives, so that requests keep waiting for a server, and to no cancelled
/// attempts.
fn with_long_objectives(config: String) -> String {
    let config = config.replace("\"onTimeMs\":1000.0", "\"onTimeMs\":9000.0");
    let config = config.replace("\"giveUpMs\":1500.0", "\"giveUpMs\":9500.0");
    config.replace("\"cancel\":true", "\"cancel\":false")
}

fn wait_for(condition_text: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < timeout, "not in time: {condition_text}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Starts a server that holds all answers, and uses all its slots for requests of one client.
fn all_slots_used(calls: usize) -> (Server, Gateway, Client) {
    let server = Server::start(Behavior::Hold);
    let gateway = Gateway::start_with(&[&server], 1024, with_long_objectives);
    let mut client = gateway.client();
    (0..calls).for_each(|index| client.write(&request_command(&format!("held{index}"), "read", 9_000)));
    wait_for("the server receives the attempts", TIMEOUT, || server.calls() == calls);
    (server, gateway, client)
}

fn received_ids(server: &Server) -> Vec<String> {
    server.calls.lock().expect("calls").iter().map(|arguments| arguments[2].clone()).collect()
}

/// Lets the server answer, and checks that it received no other attempts than those that it held.
fn assert_nothing_else_is_sent(server: &Server, gateway: &Gateway, mut held: Client, calls: usize) {
    *server.behavior.lock().expect("behavior") = Behavior::Serve;
    (0..calls).for_each(|index| assert_eq!(held.read(), format!("held{index}")));
    // Slots are free now, and this request gets one. Any request that waited before it would have been sent, too.
    assert_eq!(gateway.client().request(&request_command("after", "read", 9_000)), "after");
    let all = (0..calls).map(|index| format!("held{index}")).chain(["after".into()]);
    let (mut received, mut expected) = (received_ids(server), all.collect::<Vec<_>>());
    received.sort();
    expected.sort();
    assert_eq!(received, expected);
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_with_commands_beyond_the_pipelining_limit() {
    let (server, gateway, held) = all_slots_used(1);
    // The first request is in flight, the pings wait for its answer, and one more command is not read yet.
    let mut client = gateway.client();
    *server.behavior.lock().expect("behavior") = Behavior::Hold;
    let many: Vec<u8> = [request_command("first", "read", 9_000)]
        .into_iter()
        .chain((0..31).map(|_| ping()))
        .flatten()
        .collect();
    client.write(&many);
    wait_for("the first request is sent", TIMEOUT, || server.calls() == 2);
    client.write(&request_command("late", "read", 9_000));
    // The client only shuts down its sending side, so that answers to it cause no reset.
    client.stream.shutdown(Shutdown::Write).expect("shut");
    let started_at = Instant::now();
    // The gateway closes the connection as soon as it notices the client's end.
    let mut rest = Vec::new();
    client.stream.read_to_end(&mut rest).expect("the end");
    assert!(
        started_at.elapsed() < MAX_DISCONNECT_DELAY && rest.is_empty(),
        "{:?}, {rest:?}",
        started_at.elapsed()
    );
    *server.behavior.lock().expect("behavior") = Behavior::Serve;
    drop(held);
    assert_eq!(gateway.client().request(&request_command("after", "read", 9_000)), "after");
    assert_eq!(received_ids(&server), ["held0", "first", "after"]);
}

/// Guards against commands that are sent on after their client has left, as its end can't be seen behind what is unread.
#[test]
fn nothing_is_sent_for_a_client_that_closed_behind_many_unread_commands() {
    let server = Server::start(Behavior::Delayed(150));
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    // Many times what one connection may have in flight.
    let commands = (0..3_000).flat_map(|index| request_command(&format!("c{index}"), "read", 9_000));
    client.write(&commands.collect::<Vec<u8>>());
    wait_for("the first requests are sent", TIMEOUT, || server.calls() > 0);
    thread::sleep(Duration::from_millis(400));
    client.stream.shutdown(Shutdown::Write).expect("shut");
    // Within this time after a client's end attempts may still begin.
    thread::sleep(Duration::from_millis(100));
    let calls = server.calls();
    thread::sleep(Duration::from_millis(800));
    assert_eq!(server.calls() - calls, 0, "calls after the client's end");
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_after_an_invalid_command() {
    for reset in [false, true] {
        let (server, gateway, held) = all_slots_used(4);
        let mut client = gateway.client();
        client.write(&request_command("waits", "read", 9_000));
        wait_for("the request waits for a slot", TIMEOUT, || gateway.metric("active") == 5);
        client.write(b"no command\r\n");
        if reset {
            // Unread bytes end the connection with a reset, and so does a close with a linger time of zero.
            client.write(&ping());
            rustix::net::sockopt::set_socket_linger(&client.stream, Some(Duration::ZERO)).expect("set");
        }
        drop(client);
        wait_for("the gateway notices the disconnect", MAX_DISCONNECT_DELAY, || {
            gateway.metric("active") == 4
        });
        assert_nothing_else_is_sent(&server, &gateway, held, 4);
    }
}

#[test]
fn nothing_is_sent_for_clients_that_disconnect_together_while_they_wait_for_their_errors() {
    let (server, gateway, held) = all_slots_used(4);
    // The gateway sends these errors one after the other, and the last one only after 0.8 s.
    let invalid = resp::write_command(&[b"WHAT"]);
    let earlier_clients: Vec<Client> = (0..400)
        .map(|_| {
            let mut client = gateway.client();
            client.write(&invalid);
            client
        })
        .collect();
    let mut clients: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.write(&[request_command(&format!("waits{index}"), "read", 9_000), invalid.clone()].concat());
    }
    wait_for("the requests wait for a slot", TIMEOUT, || gateway.metric("active") == 6);
    drop(clients);
    wait_for(
        "the gateway notices the disconnects before it sends the errors",
        MAX_DISCONNECT_DELAY * 6 / 10,
        || gateway.metric("active") == 4,
    );
    drop(earlier_clients);
    assert_nothing_else_is_sent(&server, &gateway, held, 4);
}

#[test]
fn a_client_that_disconnects_during_a_long_value_is_noticed_before_the_value_continues() {
    let server = Server::start(Behavior::Large { length: 200_000, pause: 4_000 });
    let gateway = Gateway::start_with(&[&server], 1024, with_long_objectives);
    let mut client = gateway.client();
    client.write(&request_command("large", "read", 9_000));
    // The client reads all available bytes, so that the gateway has nothing to write until more arrive.
    let mut half = vec![0; "$200000\r\n".len() + 100_000];
    client.stream.read_exact(&mut half).expect("the first half");
    drop(client);
    wait_for("the gateway notices the disconnect", MAX_DISCONNECT_DELAY, || gateway.metric("active") == 0);
}

#[test]
fn a_request_that_crosses_the_close_of_a_silent_connection_gets_no_reset() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut clients: Vec<Client> = (0..5).map(|_| gateway.client()).collect();
    for client in &clients {
        wait_for("the gateway closes the silent connection", TIMEOUT, || client.is_closed());
    }
    for round in 0..3 {
        for (index, client) in clients.iter_mut().enumerate() {
            let written =
                client.stream.write_all(&request_command(&format!("x{index}-{round}"), "read", 1_000));
            assert!(written.is_ok(), "a reset in round {round}");
        }
        thread::sleep(Duration::from_millis(50));
    }
    for client in &mut clients {
        let mut rest = Vec::new();
        client.stream.read_to_end(&mut rest).expect("an end without a reset");
        assert!(rest.is_empty(), "{rest:?}");
    }
    assert_eq!(server.calls(), 0);
}

fn entries(list_version: u64, servers: &[(&Server, &str)]) -> String {
    let entry = |(index, (server, state)): (usize, &(&Server, &str))| {
        format!(r#"{{"name":"s{index}","address":"{}","status":"{state}","since_ms":0}}"#, server.address)
    };
    let entries: Vec<String> = servers.iter().enumerate().map(entry).collect();
    format!(r#"{{"index":{list_version},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Guards against a drain that is ignored because the whole list is refused for one invalid entry.
#[test]
fn a_refused_endpoint_list_changes_nothing_except_that_its_draining_servers_are_drained() {
    let servers =
        [Server::start(Behavior::Serve), Server::start(Behavior::Serve), Server::start(Behavior::Serve)];
    let [one, two, third] = &servers;
    let up = "in_service";
    let list = std::sync::Arc::new(std::sync::Mutex::new(entries(4, &[(one, up), (two, up)])));
    let (discovery, request_count) = changeable_discovery(&list);
    let gateway = Gateway::start_unready(discovery, NO_SERVERS, 1024).wait_until_ready();
    let mut client = gateway.client();
    let mut servers_used = |name: &str| {
        let before: Vec<usize> = servers.iter().map(Server::calls).collect();
        (0..12).for_each(|index| {
            let id = format!("{name}{index}");
            assert_eq!(client.request(&request_command(&id, "read", 1_000)), id);
        });
        servers.iter().zip(before).map(|(server, before)| server.calls() - before > 0).collect::<Vec<_>>()
    };
    assert_eq!(servers_used("a"), [true, true, false]);
    let wait_for_polls = |count: usize| {
        let before = request_count.load(std::sync::atomic::Ordering::SeqCst);
        wait_for("the gateway polls discovery again", TIMEOUT, || {
            request_count.load(std::sync::atomic::Ordering::SeqCst) >= before + count
        });
    };
    // An unknown state or an invalid address: the other server keeps its known state, and no new server is used.
    for (index, refused) in [
        (5, entries(5, &[(one, "terminating"), (two, "resting"), (third, up)])),
        (
            6,
            entries(6, &[(one, "terminating"), (two, up), (third, up)])
                .replace(&third.address.to_string(), "nowhere"),
        ),
    ] {
        *list.lock().expect("the list") = refused;
        wait_for_polls(3);
        assert_eq!(servers_used(&format!("b{index}")), [false, true, false]);
    }
    let before = request_count.load(std::sync::atomic::Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    let polls_in_a_second = request_count.load(std::sync::atomic::Ordering::SeqCst) - before;
    assert!((1..60).contains(&polls_in_a_second), "{polls_in_a_second} polls in a second");
    // A newer, valid list.
    *list.lock().expect("the list") = entries(7, &[(one, up), (two, "terminating"), (third, up)]);
    wait_for_polls(2);
    assert_eq!(servers_used("c"), [true, false, true]);
}

#[test]
fn a_shutdown_answers_connections_that_were_not_accepted_yet() {
    let server = Server::start(Behavior::Serve);
    for _ in 0..3 {
        let mut gateway = Gateway::start(&[&server]);
        gateway.signal("-TERM");
        let started_at = Instant::now();
        thread::sleep(Duration::from_millis(400));
        // SIGSTOP pauses the gateway past the end of its shutdown, while new connections wait in its queue.
        gateway.signal("-STOP");
        let mut clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
        clients
            .iter_mut()
            .enumerate()
            .for_each(|(index, client)| client.write(&request_command(&format!("t{index}"), "read", 9_000)));
        thread::sleep(Duration::from_millis(1_000).saturating_sub(started_at.elapsed()));
        gateway.signal("-CONT");
        for (index, client) in clients.iter_mut().enumerate() {
            let answer = client.read();
            assert!(answer == format!("t{index}") || answer == "-BUSY 500", "{answer:?} for {index}");
        }
        drop(clients);
        assert_eq!(gateway.wait_for_exit(TIMEOUT), Some(0));
    }
}

#[test]
fn a_command_partly_received_at_shutdown_is_answered() {
    let server = Server::start(Behavior::Serve);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    assert_eq!(client.request(&request_command("t0", "read", 1_000)), "t0");
    let bytes = request_command("t1", "read", 1_000);
    client.write(&bytes[..20]);
    // The answer on another connection shows that the gateway has read the earlier bytes on this one.
    assert_eq!(gateway.client().request(&ping()), "+PONG");
    gateway.signal("-TERM");
    gateway.signal("-TERM");
    wait_for("the gateway is shutting down", TIMEOUT, || {
        gateway.operator_request("GET", "/admin/health", "").0 != 200
    });
    client.write(&bytes[20..]);
    assert_eq!(client.read(), "t1");
    assert_eq!(client.read(), "", "the connection must end after the answer");
    drop(client);
    assert_eq!(gateway.wait_for_exit(TIMEOUT), Some(0));
}

#[test]
fn a_request_that_crosses_a_shutdown_gets_no_reset_and_the_process_waits_for_the_client() {
    let server = Server::start(Behavior::Serve);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    assert_eq!(client.request(&request_command("t0", "read", 1_000)), "t0");
    gateway.signal("-TERM");
    wait_for("the gateway closes its side of the connection", TIMEOUT, || client.is_closed());
    // The client hasn't noticed the close. It continues to send requests for longer than the process would take to end.
    for index in 0..4 {
        thread::sleep(Duration::from_millis(200));
        assert!(
            client.stream.write_all(&request_command(&format!("x{index}"), "read", 1_000)).is_ok(),
            "a reset after {index}"
        );
    }
    assert_eq!(client.read(), "");
    assert!(
        gateway.process.try_wait().expect("waited").is_none(),
        "the process must wait for the client's end"
    );
    drop(client);
    assert_eq!(gateway.wait_for_exit(TIMEOUT), Some(0));
    assert_eq!(received_ids(&server), ["t0"]);
}

#[test]
fn a_shutdown_without_a_list_or_during_reloads_or_with_slow_readers_is_graceful() {
    // Discovery doesn't answer, so the gateway never gets ready.
    let mut unready = Gateway::start_unready(discovery(String::new(), false), NO_SERVERS, 1024);
    unready.signal("-TERM");
    assert_eq!(unready.wait_for_exit(TIMEOUT), Some(0));
    let server = Server::start(Behavior::Large { length: 3_000_000, pause: 0 });
    let mut gateway = Gateway::start(&[&server]);
    // Each client reads only the first bytes of a value that is longer than all buffers on the path.
    let mut slow: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    for (index, client) in slow.iter_mut().enumerate() {
        client.write(&request_command(&format!("large{index}"), "read", 1_200));
        assert!(client.stream.read(&mut [0; 64]).expect("the first bytes") > 0);
    }
    for _ in 0..20 {
        gateway.signal("-HUP");
    }
    gateway.signal("-TERM");
    gateway.signal("-HUP");
    gateway.signal("-TERM");
    // The process ends after the longest hard deadline and the time for clients to notice. It doesn't wait until the clients
    // have read everything.
    assert_eq!(gateway.wait_for_exit(Duration::from_secs(4)), Some(0));
}

#[test]
fn an_answer_that_arrives_as_its_client_disconnects_goes_to_no_other_client() {
    let server = Server::start(Behavior::Hold);
    let gateway = Gateway::start(&[&server]);
    for round in 0..6 {
        let (left, next) = (format!("left{round}"), format!("next{round}"));
        let mut client = gateway.client();
        client.write(&request_command(&left, "pay", 1_400));
        wait_for("the request is sent", TIMEOUT, || server.calls() == 2 * round + 1);
        // SIGSTOP pauses the gateway, so that it gets the answer and the end of the answer's client at the same time.
        gateway.signal("-STOP");
        *server.behavior.lock().expect("behavior") = Behavior::Serve;
        drop(client);
        thread::sleep(Duration::from_millis(20));
        gateway.signal("-CONT");
        wait_for("no request is open", MAX_DISCONNECT_DELAY, || gateway.metric("active") == 0);
        assert_eq!(gateway.client().request(&request_command(&next, "pay", 1_400)), next);
        *server.behavior.lock().expect("behavior") = Behavior::Hold;
    }
    let expected: Vec<String> =
        (0..6).flat_map(|round| [format!("left{round}"), format!("next{round}")]).collect();
    assert_eq!(received_ids(&server), expected, "each request once, in order");
}

#[test]
fn a_command_that_arrives_while_an_answer_is_written_is_handled_right_after_it() {
    let server = Server::start(Behavior::Large { length: 3_000_000, pause: 0 });
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.write(&request_command("large", "read", 1_400));
    let mut head = vec![0; "$3000000\r\n".len()];
    client.stream.read_exact(&mut head).expect("the header of the value");
    // The value is longer than all buffers on the path. The gateway is still writing it, and reads the next command meanwhile.
    client.write(&ping());
    wait_for("the gateway reads the command", TIMEOUT, || unread_bytes(&gateway) == 0);
    let mut value = vec![0; 3_000_002];
    client.stream.read_exact(&mut value).expect("the value");
    let started_at = Instant::now();
    assert_eq!(client.read(), "+PONG");
    assert!(
        started_at.elapsed() < Duration::from_millis(1_500),
        "the answer to the command took {:?}",
        started_at.elapsed()
    );
}

/// Returns the number of bytes that the gateway has not read from its client connections, by the kernel's connection table.
fn unread_bytes(gateway: &Gateway) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let port = format!(":{:04X}", gateway.listen.port());
    let lines = table
        .lines()
        .filter(|line| line.split_whitespace().nth(1).is_some_and(|local| local.ends_with(&port)));
    let established = lines.filter(|line| line.split_whitespace().nth(3) == Some("01"));
    let queued = |line: &str| {
        let queues = line.split_whitespace().nth(4)?;
        u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
    };
    established.filter_map(queued).sum()
}
