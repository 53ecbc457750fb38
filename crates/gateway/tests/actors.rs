//! Tests of single actors without a gateway process.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use fernscale_gateway::counter::{Counter, CounterUpdate};
use fernscale_gateway::discovery::draining::DrainingEndpoints;
use fernscale_gateway::discovery::{self, DiscoveryActor};
use fernscale_gateway::outcome::{attempt_outcome, counter_call_end};
use fernscale_gateway::protocol::call::{self, Call, Command};
use fernscale_gateway::protocol::catalog::{self, EndpointUpdate};
use fernscale_gateway::protocol::reply::ServerReply;
use fernscale_gateway::shared::{Event, Shared};
use fernscale_gateway::transport::buffer::Buffer;
use fernscale_gateway::transport::clock::slew;
use fernscale_gateway::transport::connection::Connection;
use fernscale_gateway::transport::ending::ConnectionEnd;
use fernscale_gateway::upstream::{self, AttemptBounds, AttemptOrder, Order};
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Micros, Outcome};

fn attempt_order(call: Rc<Call>, attempt: usize, limit: Micros) -> Order {
    let bounds = AttemptBounds::until(Instant::now() + Duration::from_micros(limit));
    Order::Attempt(AttemptOrder { call, attempt, bounds, listed_start: None })
}

fn shared() -> Rc<Shared> {
    shared_with(false)
}

/// `is_pushed`: the gateway's own agent provides the endpoint list.
fn shared_with(is_pushed: bool) -> Rc<Shared> {
    Rc::new(support::shared(PlatformSettings {
        counter_timeout: 50_000,
        connect_timeout: 250_000,
        max_client_wait: 1_000_000,
        max_units: 1e6,
        list_is_pushed: is_pushed,
        ..PlatformSettings::default()
    }))
}

/// Starts a counter service. Each answer is a delay in milliseconds, and the bytes that it writes after one read.
fn start_counter(answers: Vec<(u64, &'static [u8])>) -> SocketAddr {
    counter_with_connections(vec![answers])
}

/// As [`start_counter`], with separate answers for each connection.
fn counter_with_connections(connections: Vec<Vec<(u64, &'static [u8])>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut open = Vec::new();
        for answers in connections {
            let (mut stream, _) = listener.accept().expect("a gateway");
            for (wait, bytes) in answers {
                let _ = stream.read(&mut [0; 1]);
                thread::sleep(Duration::from_millis(wait));
                let _ = stream.write_all(bytes);
            }
            open.push(stream);
        }
        thread::sleep(Duration::from_secs(5));
    });
    address
}

fn counter_results(address: SocketAddr, calls: &[&str]) -> Vec<(String, Outcome, f64)> {
    counter_results_with_pauses(address, calls, Duration::ZERO)
}

/// The results of the calls, in the order in which they were reported. Pauses after each call.
fn counter_results_with_pauses(
    address: SocketAddr,
    calls: &[&str],
    pause: Duration,
) -> Vec<(String, Outcome, f64)> {
    let shared = shared();
    let (events, event_mailbox): (Sender<Event>, Receiver<Event>) = async_channel::bounded(16);
    let orders = Counter::start(&shared, &events, address);
    let results = async {
        for counter_key in calls {
            let add = CounterUpdate {
                key: (*counter_key).into(),
                amount: 1.0,
                lifetime: 4_000_000,
                created_at: Instant::now(),
            };
            orders.send(add).await.expect("the actor runs");
            if !pause.is_zero() {
                Timer::after(pause).await;
            }
        }
        // Dropping the sender is what happens when the counter is replaced: the actor still waits for answers to its calls.
        drop(orders);
        let mut results = Vec::new();
        while results.len() < calls.len() {
            if let Event::CounterReplied { key: counter_key, end, .. } =
                event_mailbox.recv().await.expect("the actor runs")
            {
                let call = counter_call_end(&end);
                results.push((counter_key.to_string(), call.outcome, call.total));
            }
        }
        results
    };
    async_io::block_on(shared.executor.run(results))
}

fn call_result(counter_key: &str, outcome: Outcome, total: f64) -> (String, Outcome, f64) {
    (counter_key.into(), outcome, total)
}

#[test]
fn an_answer_that_is_late_is_waited_for_and_one_later_still_answers_no_other_call() {
    // A full queue at the counter delays an answer by this much.
    let address = start_counter(vec![(140, b"$1\r\n7\r\n"), (0, b"$1\r\n8\r\n")]);
    assert_eq!(counter_results(address, &["a"]), [call_result("a", Outcome::Ok, 7.0)]);
    let address = start_counter(vec![(400, b"$1\r\n7\r\n$1\r\n8\r\n")]);
    let results = counter_results(address, &["a", "b"]);
    assert_eq!(results, [call_result("a", Outcome::TimedOut, 0.0), call_result("b", Outcome::TimedOut, 0.0)]);
}

#[test]
fn calls_that_added_nothing_are_distinguished_from_calls_that_may_have_added() {
    let unused_address = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    assert_eq!(counter_results(unused_address, &["a"]), [call_result("a", Outcome::NotConnected, 0.0)]);
    let rejecting = start_counter(vec![(0, b"-BUSY\r\n-ERR no\r\n")]);
    assert_eq!(
        counter_results(rejecting, &["a", "b"]),
        [call_result("a", Outcome::Overloaded, 0.0), call_result("b", Outcome::Overloaded, 0.0)]
    );
    // Every call is reported, including the call with the malformed answer.
    let malformed = start_counter(vec![(30, b"$1\r\nx\r\n")]);
    let results = counter_results(malformed, &["a", "b"]);
    assert_eq!(results, [call_result("a", Outcome::Error, 0.0), call_result("b", Outcome::Error, 0.0)]);
}

#[test]
fn an_incomplete_answer_does_not_delay_other_calls() {
    for truncated in [&b"$30\r\n1"[..], b"-what", b"*2\r\n$1\r\n1\r\n", b"$1\r\n7\r\n$"] {
        // The first connection is closed long before a silent connection would be, and the next call uses a new one.
        let address = counter_with_connections(vec![vec![(0, truncated)], vec![(0, b"$1\r\n8\r\n")]]);
        let began = Instant::now();
        let results = counter_results_with_pauses(address, &["a", "b"], Duration::from_millis(200));
        let first =
            if truncated.starts_with(b"$1\r\n7") { (Outcome::Ok, 7.0) } else { (Outcome::Error, 0.0) };
        assert_eq!(results, [call_result("a", first.0, first.1), call_result("b", Outcome::Ok, 8.0)]);
        assert!(began.elapsed() < Duration::from_secs(1));
    }
}

#[test]
fn a_silent_connection_loses_only_its_own_calls() {
    let address = counter_with_connections(vec![vec![(0, b"")], vec![(0, b"$1\r\n8\r\n")]]);
    let results = counter_results_with_pauses(address, &["a", "b", "c"], Duration::from_millis(300));
    // After answers on a connection, silence means that the connection has stalled, not that the counter is overloaded.
    assert_eq!(results[..2], [call_result("a", Outcome::TimedOut, 0.0), call_result("b", Outcome::Ok, 8.0)]);
    assert_eq!(results[2], call_result("c", Outcome::Error, 0.0));
}

#[test]
fn the_clock_follows_a_set_wall_clock_slowly_and_never_runs_back() {
    for (set, steps) in [(3_000_000, 64 * 3), (-3_000_000, 64 * 3), (0, 1)] {
        let (mut ahead, mut since) = (1_000_000_000, 0);
        for step in 1..=steps {
            let before = since + ahead;
            ahead = slew((ahead, since), since + 1_000_000, 1_000_000_000 + set + since + 1_000_000);
            since += 1_000_000;
            let advanced = since + ahead - before;
            assert!((980_000..=1_020_000).contains(&advanced), "{advanced} in a second at step {step}");
        }
        assert_eq!(ahead, 1_000_000_000 + set);
    }
}

/// Runs a discovery actor that knows version `known`, at a service that sends each answer after a delay in milliseconds.
/// Returns the paths that the actor requests, and the versions of the first `lists` lists that it reports, with a none for each
/// report that the list is late.
fn watch_discovery(
    known: Option<u64>,
    answers: Vec<(u64, &'static str)>,
    lists: usize,
) -> (Vec<String>, Vec<Option<u64>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (paths, requests) = std::sync::mpsc::channel();
    let count = answers.len();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a gateway");
        let mut buffer = [0; 1024];
        for (delay, body) in answers {
            let length = stream.read(&mut buffer).expect("a call");
            let path =
                String::from_utf8_lossy(&buffer[..length]).split(' ').nth(1).expect("a path").to_string();
            paths.send(path).expect("sent");
            thread::sleep(Duration::from_millis(delay));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + body).as_bytes()).expect("written");
        }
    });
    let shared = shared();
    let (events, event_mailbox) = async_channel::bounded(16);
    let (orders, mailbox) = async_channel::bounded(16);
    shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, known).run(mailbox)).detach();
    let results = async {
        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
        let mut results = Vec::new();
        while results.iter().flatten().count() < lists {
            match event_mailbox.recv().await.expect("the actor runs") {
                Event::EndpointsUpdated(update) => results.push(Some(update.index)),
                Event::EndpointsLate => results.push(None),
                _ => panic!("no list"),
            }
        }
        results
    };
    let results = async_io::block_on(shared.executor.run(results));
    (requests.iter().take(count).collect(), results)
}

/// Whether a path is a watch for changes after a version, with a wait in the range that is used at a remote service.
fn is_watch(path: &str, index: u32) -> bool {
    let wait = path.strip_prefix(&format!("/catalog/members?since={index}&timeout_ms="));
    wait.and_then(|wait| wait.parse().ok()).is_some_and(|wait: u32| (10_000..=20_000).contains(&wait))
}

#[test]
fn changes_are_requested_for_a_known_list_and_an_older_list_is_requested_whole() {
    const NEWER: &str = r#"{"index":43,"snapshot":false,"endpoints":[]}"#;
    let (requests, _) = watch_discovery(Some(41), vec![(0, NEWER), (0, NEWER)], 2);
    assert_eq!(requests[0], "/catalog/members?since=41&timeout_ms=0");
    assert!(requests.len() == 2 && is_watch(&requests[1], 43), "{requests:?}");
    const OTHER: &str = r#"{"index":3,"snapshot":false,"endpoints":[]}"#;
    const WHOLE_AT_9: &str = r#"{"index":9,"snapshot":true,"endpoints":[]}"#;
    const OTHER_AT_9: &str = r#"{"index":9,"snapshot":false,"endpoints":[]}"#;
    // Changes of an older list are not reported: it may have a server in service that is known to drain.
    let (requests, reported) =
        watch_discovery(Some(41), vec![(0, OTHER), (0, WHOLE_AT_9), (0, OTHER_AT_9)], 2);
    assert_eq!(requests[..2], ["/catalog/members?since=41&timeout_ms=0", "/catalog/members"]);
    assert!(requests.len() == 3 && is_watch(&requests[2], 9), "{requests:?}");
    assert_eq!(reported, [Some(9), Some(9)]);
}

#[test]
fn watches_that_begin_together_end_at_different_times() {
    const NEWER: &str = r#"{"index":43,"snapshot":false,"endpoints":[]}"#;
    let wait = |_| {
        let (requests, _) = watch_discovery(Some(41), vec![(0, NEWER), (0, NEWER)], 2);
        requests[1].rsplit('=').next().and_then(|wait| wait.parse().ok()).expect("a wait")
    };
    let waits: Vec<u32> = (0..40).map(wait).collect();
    // The service may take 250 ms for each request, and a missed change is counted 1.5 s after the watches were renewed.
    let together =
        waits.iter().map(|one| waits.iter().filter(|other| (*one..one + 250).contains(other)).count());
    assert!(together.max() <= Some(13), "more than a third of the watches end within 250 ms: {waits:?}");
}

#[test]
fn a_late_list_is_reported_as_late_and_still_received() {
    const WHOLE: &str = r#"{"index":3,"snapshot":true,"endpoints":[]}"#;
    let (_, reported) = watch_discovery(None, vec![(1_500, WHOLE)], 1);
    assert_eq!(reported, [None, Some(3)], "reported as late after one second, and received later");
}

/// Starts an agent. `answers` maps the number of the connection and the requested path to a delay in milliseconds and a body. If
/// it returns none, the agent is silent on that connection from then on. Returns the address and the received requests.
fn start_agent(
    answers: impl Fn(usize, &str) -> Option<(u64, String)> + Send + Sync + 'static,
) -> (SocketAddr, std::sync::mpsc::Receiver<(Instant, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (paths, requests) = std::sync::mpsc::channel();
    let answers = std::sync::Arc::new(answers);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (paths, answers) = (paths.clone(), answers.clone());
            thread::spawn(move || {
                let (mut stream, mut buffer, mut silent) = (stream, [0; 1024], false);
                while let Ok(length @ 1..) = stream.read(&mut buffer) {
                    let call = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    let path = call.split(' ').nth(1).expect("a path");
                    let _ = paths.send((Instant::now(), path.to_string()));
                    let Some((delay, body)) = answers(number, path).filter(|_| !silent) else {
                        silent = true;
                        continue;
                    };
                    thread::sleep(Duration::from_millis(delay));
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all((head + &body).as_bytes());
                }
            });
        }
    });
    (address, requests)
}

/// Runs a discovery actor at an agent until `lists` lists have been reported. Orders a new watch at once after each failure.
/// Returns the version of each list, and when it was reported.
fn follow_agent(address: SocketAddr, lists: usize) -> Vec<(u64, Instant)> {
    let shared = shared_with(true);
    let (events, event_mailbox) = async_channel::bounded(16);
    let (orders, mailbox) = async_channel::bounded(16);
    shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, Some(3)).run(mailbox)).detach();
    let results = async {
        let mut results = Vec::new();
        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
        while results.len() < lists {
            match event_mailbox.recv().await.expect("the actor runs") {
                Event::EndpointsUpdated(update) => results.push((update.index, Instant::now())),
                Event::EndpointsUnavailable => {
                    orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
                }
                _ => {}
            }
        }
        results
    };
    async_io::block_on(shared.executor.run(results))
}

fn changes(index: u64) -> String {
    format!(r#"{{"index":{index},"snapshot":false,"endpoints":[]}}"#)
}

#[test]
fn a_watch_at_a_silent_agent_is_reopened_long_before_missed_changes_are_counted() {
    // The first connection answers once and is silent from then on. The next connection has the change that was missed.
    let (address, requests) = start_agent(|number, path| match (number, path.contains("since=3")) {
        (0, true) => Some((0, changes(4))),
        (0, false) => None,
        _ => Some((0, changes(5))),
    });
    let reported = follow_agent(address, 2);
    let calls: Vec<(Instant, String)> = requests.iter().take(3).collect();
    let (watch, reopened) = (&calls[1], &calls[2]);
    assert_eq!(watch.1, "/catalog/members?since=4&timeout_ms=2000");
    assert_eq!(
        reopened.1, "/catalog/members?since=4&timeout_ms=0",
        "requests missed changes without waiting"
    );
    let (silent, received) = (reopened.0 - watch.0, reported[1].1 - watch.0);
    assert!(silent >= Duration::from_millis(2_000), "the wait of the watch must have passed: {silent:?}");
    assert!(received < Duration::from_millis(4_000), "a missed change is counted after 6 s: {received:?}");
}

#[test]
fn a_list_is_received_within_half_a_second_of_an_agents_return() {
    // The agent answers no request that it received before its return. It is silent from the start, or after a first answer.
    for answers_first in [false, true] {
        let began = Instant::now();
        let (silent_from, returns_at) =
            (began + Duration::from_millis(300), began + Duration::from_millis(6_000));
        let (address, requests) = start_agent(move |_, path| {
            let now = Instant::now();
            let first = answers_first && now < silent_from && path.contains("since=3");
            (first || now >= returns_at).then(|| (0, changes(if first { 4 } else { 5 })))
        });
        let reported = follow_agent(address, 1 + usize::from(answers_first));
        let (index, received) = *reported.last().expect("a list");
        let delay = received.saturating_duration_since(returns_at);
        assert!(index == 5 && received >= returns_at && delay < Duration::from_millis(450), "{delay:?} late");
        let calls = requests.try_iter().count();
        assert!((6..=32).contains(&calls), "{calls} requests in six seconds");
    }
}

#[test]
fn lists_of_an_agent_that_answers_slowly_are_received() {
    let (address, _requests) = start_agent(|_, _| Some((900, changes(4))));
    let began = Instant::now();
    let reported = follow_agent(address, 2);
    assert!(reported[1].1 - began < Duration::from_secs(5));
}

/// An endpoint list. Each server has a name, a state and a start time in milliseconds.
fn listed(index: u64, full: bool, moved: bool, servers: &[(&str, &str, u64)]) -> EndpointUpdate {
    let entry = |(name, state, since): &(&str, &str, u64)| {
        format!(r#"{{"name":"{name}","address":"127.0.0.1:1","status":"{state}","since_ms":{since}}}"#)
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    let body = format!(r#"{{"index":{index},"snapshot":{full},"endpoints":[{}]}}"#, entries.join(","));
    let body = serde_json::from_str(&body).expect("a list");
    let update = catalog::endpoint_update(&body, &PlatformSettings::default()).expect("a valid list");
    EndpointUpdate { moved, ..update }
}

#[test]
fn a_departed_server_returns_only_by_a_newer_list_or_a_newer_start() {
    let (in_service, terminating, terminated) = ("in_service", "terminating", "terminated");
    // The lists that were applied, the next list, and whether the server s may be used after that list.
    let draining = [
        listed(10, true, false, &[("s", in_service, 0), ("t", in_service, 0)]),
        listed(11, false, false, &[("s", terminating, 0)]),
    ];
    let unlisted = [
        listed(10, true, false, &[("s", in_service, 5), ("t", in_service, 0)]),
        listed(11, true, false, &[("t", in_service, 0)]),
    ];
    let terminated_lists =
        [listed(10, true, false, &[("s", in_service, 7)]), listed(11, false, false, &[("s", terminated, 7)])];
    for (known, next, is_back) in [
        (&draining, listed(12, false, false, &[("s", in_service, 0)]), true),
        (&draining, listed(12, true, false, &[("s", in_service, 0)]), true),
        (&draining, listed(12, false, false, &[("s", in_service, 9)]), true),
        // A list of an agent that is behind; a list of another discovery, with its own sequence of versions; the same with a
        // newer start.
        (&draining, listed(9, true, false, &[("s", in_service, 0)]), false),
        (&draining, listed(500, true, true, &[("s", in_service, 0)]), false),
        (&draining, listed(500, true, true, &[("s", in_service, 9)]), true),
        (&unlisted, listed(10, true, false, &[("s", in_service, 5)]), false),
        (&unlisted, listed(12, false, false, &[("s", in_service, 5)]), true),
        (&terminated_lists, listed(9, true, false, &[("s", in_service, 7)]), false),
        (&terminated_lists, listed(9, true, false, &[("s", in_service, 8)]), true),
    ] {
        let (mut departures, s) = (DrainingEndpoints::default(), fernscale_policy::Id::from("s"));
        for update in known {
            departures.apply(&mut update.clone());
        }
        assert!(departures.contains(&s));
        let mut next = next;
        departures.apply(&mut next);
        let usable = next.servers[0].0.state == fernscale_policy::EndpointState::Ready;
        assert_eq!((usable, !departures.contains(&s)), (is_back, is_back), "{next:?}");
        if next.moved && !is_back {
            // A later complete list of that discovery does not return the server to service, a change does.
            for (full, is_back) in [(true, false), (false, true)] {
                departures.apply(&mut listed(501 + u64::from(is_back), full, false, &[("s", in_service, 0)]));
                assert_eq!(!departures.contains(&s), is_back);
            }
        }
    }
}

#[test]
fn a_list_that_names_a_server_twice_is_rejected_whole() {
    let duplicate = r#"{"index":4,"snapshot":false,"endpoints":[
        {"name":"s","address":"127.0.0.1:1","status":"terminating"},
        {"name":"s","address":"127.0.0.1:1","status":"in_service"}]}"#;
    let rejected = catalog::endpoint_update(
        &serde_json::from_str(duplicate).expect("json"),
        &PlatformSettings::default(),
    );
    let rejected = rejected.expect_err("a server that is named twice");
    assert_eq!(
        (rejected.reason.as_str(), &rejected.draining[..]),
        ("server 's' comes twice", &["s".into()][..])
    );
}

/// Guards against a drain being missed because the list with it is rejected for another entry.
#[test]
fn a_list_with_an_unknown_state_is_rejected_but_its_draining_servers_are_reported() {
    let entry = |name: &str, state: &str| {
        format!(r#"{{"name":"{name}","address":"127.0.0.1:1","status":"{state}"}}"#)
    };
    let unknown_state = [
        entry("s", "terminating"),
        entry("t", "warming"),
        entry("u", "terminated"),
        entry("v", "in_service"),
    ];
    let unknown_state =
        format!(r#"{{"index":5,"snapshot":false,"endpoints":[{}]}}"#, unknown_state.join(","));
    let older = unknown_state.replace("\"index\":5", "\"index\":2");
    for (first, expected) in [(unknown_state, vec!["s", "u"]), (older, Vec::new())] {
        let calls = std::sync::atomic::AtomicUsize::new(0);
        let (address, requests) = start_agent(move |_, _| {
            let call_number = calls.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            Some((0, if call_number == 0 { first.clone() } else { changes(6) }))
        });
        let shared = shared_with(true);
        let (events, event_mailbox) = async_channel::bounded(16);
        let (orders, mailbox) = async_channel::bounded(16);
        shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, Some(3)).run(mailbox)).detach();
        let results = async {
            orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
            let (mut leaving, mut failed) = (Vec::new(), 0);
            loop {
                match event_mailbox.recv().await.expect("the actor runs") {
                    Event::EndpointsDraining(servers) => {
                        leaving.extend(servers.iter().map(std::string::ToString::to_string));
                    }
                    Event::EndpointsUnavailable => {
                        failed += 1;
                        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
                    }
                    Event::EndpointsUpdated(update) => return (leaving, failed, update.index),
                    _ => {}
                }
            }
        };
        let (leaving, failed, index) = async_io::block_on(shared.executor.run(results));
        assert_eq!(
            (leaving, failed, index),
            (expected.iter().map(std::string::ToString::to_string).collect(), 1, 6)
        );
        let paths: Vec<String> = requests.iter().take(2).map(|(_, path)| path).collect();
        assert!(paths.iter().all(|path| path.starts_with("/catalog/members?since=3&")), "{paths:?}");
    }
}

#[test]
fn an_agent_that_answers_watches_at_once_is_not_polled_in_a_busy_loop() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a gateway");
        let mut buffer = [0; 1024];
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
            let full = !String::from_utf8_lossy(&buffer).contains("since=3");
            let body = format!(r#"{{"index":3,"snapshot":{full},"endpoints":[]}}"#);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).expect("written");
        }
    });
    let shared = shared();
    let (events, event_mailbox) = async_channel::bounded(16);
    let (orders, mailbox) = async_channel::bounded(16);
    shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, None).run(mailbox)).detach();
    let three = async {
        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
        let (mut full, mut gaps) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            let began = Instant::now();
            let Ok(Event::EndpointsUpdated(update)) = event_mailbox.recv().await else { panic!("no list") };
            full.push(update.full);
            gaps.push(began.elapsed());
        }
        (full, gaps)
    };
    let (full, gaps) = async_io::block_on(shared.executor.run(three));
    assert_eq!(full, [true, false, false]);
    assert!(gaps[2] >= Duration::from_millis(50), "{gaps:?}");
}

/// The outcome of an attempt that waits in the mailbox of a server's actor while the server is `cordoned`, and how often the
/// server received data.
fn attempt_in_mailbox(cordoned: bool) -> (Outcome, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a gateway");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
        let (mut arrived, mut buffer) = (0, [0; 1024]);
        while !matches!(stream.read(&mut buffer), Ok(0) | Err(_)) {
            arrived += 1;
            stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").expect("written");
        }
        arrived
    });
    let shared = shared();
    let settings = PlatformSettings {
        class_names: vec!["read".into()],
        plan_names: vec!["team".into()],
        gateway_count: 1,
        ..shared.platform.clone()
    };
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", b"t1", b"c=read,t=team,d=900"];
    let Ok(Command::Call(call)) = call::command(&words, &settings) else { panic!("a call") };
    let (events, event_mailbox) = async_channel::bounded(4);
    let name: fernscale_policy::Id = "s0".into();
    let orders = upstream::start(&shared, &events, &name, address);
    let order = attempt_order(Rc::new(call), 0, 900_000);
    let outcome = async {
        orders.send(order).await.expect("the actor runs");
        if cordoned {
            shared.cordoned.borrow_mut().insert(name);
        }
        match event_mailbox.recv().await.expect("the actor runs") {
            Event::AttemptCompleted(completed) => attempt_outcome(&completed.end),
            _ => panic!("another event"),
        }
    };
    let outcome = async_io::block_on(shared.executor.run(outcome));
    drop((orders, shared));
    (outcome, server.join().expect("the thread ends"))
}

#[test]
fn an_attempt_in_the_mailbox_of_a_cordoned_server_is_never_sent() {
    assert_eq!(attempt_in_mailbox(false), (Outcome::Ok, 1));
    assert_eq!(attempt_in_mailbox(true), (Outcome::NeverSent, 0));
}

/// A call with a deadline of nine seconds.
fn new_call(shared: &Shared) -> Rc<call::Call> {
    let settings = PlatformSettings {
        class_names: vec!["read".into()],
        plan_names: vec!["team".into()],
        gateway_count: 1,
        max_client_wait: 9_000_000,
        ..shared.platform.clone()
    };
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", b"t1", b"c=read,t=team,d=9000"];
    let Ok(Command::Call(call)) = call::command(&words, &settings) else { panic!("a call") };
    Rc::new(call)
}

/// The outcome of an attempt that is still connecting when `interfere` runs, as the backlog of its server is full; and how many
/// bytes the server received after it accepted connections again.
fn attempt_while_connecting(
    interfere: impl FnOnce(&Shared, &call::Call, &Sender<Order>),
) -> (Outcome, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a backlog of 0");
    let address = listener.local_addr().expect("an address");
    let connect = |_: &u32| std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let waiting: Vec<_> = (0..8).map_while(|at| connect(&at)).collect();
    assert!((1..8).contains(&waiting.len()), "a full backlog, so that the attempt waits for its connection");
    let shared = shared();
    let shared = Rc::try_unwrap(shared).unwrap_or_else(|_| panic!("one owner"));
    let settings = PlatformSettings { connect_timeout: 8_000_000, ..shared.platform.clone() };
    let shared = Rc::new(Shared { platform: settings, ..shared });
    let (events, event_mailbox) = async_channel::bounded(4);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    let call = new_call(&shared);
    let order = attempt_order(call.clone(), 0, 8_000_000);
    let outcome = async {
        orders.send(order).await.expect("the actor runs");
        // Lets the actor receive the order, and the attempt begin to connect.
        for _ in 0..20 {
            futures_lite::future::yield_now().await;
        }
        interfere(&shared, &call, &orders);
        for _ in 0..20 {
            futures_lite::future::yield_now().await;
        }
        let server = thread::spawn(move || {
            let accepted =
                listener.incoming().flatten().nth(waiting.len()).expect("the attempt's connection");
            accepted.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
            (&accepted).read(&mut [0; 1024]).expect("the end of the connection, or bytes")
        });
        let Event::AttemptCompleted(completed) = event_mailbox.recv().await.expect("the actor runs") else {
            panic!("another event")
        };
        drop(completed.request);
        let outcome = attempt_outcome(&completed.end);
        // Closes an idle connection, which would otherwise stay open for a while.
        orders.send(Order::CloseIdle).await.expect("the actor runs");
        for _ in 0..20 {
            futures_lite::future::yield_now().await;
        }
        (outcome, server)
    };
    let (outcome, server) = async_io::block_on(shared.executor.run(outcome));
    drop((orders, shared));
    (outcome, server.join().expect("the thread ends"))
}

#[test]
fn an_attempt_whose_server_departs_or_moves_or_whose_client_disconnects_while_it_connects_is_never_sent() {
    let in_service = [("s0", "in_service", 0), ("s1", "in_service", 0)];
    let known =
        move |shared: &Shared| shared.draining.borrow_mut().apply(&mut listed(1, true, false, &in_service));
    let (outcome, bytes) = attempt_while_connecting(|shared, _, _| known(shared));
    assert!(
        bytes > 0 && outcome != Outcome::NeverSent,
        "without interference the attempt is sent: {outcome:?}"
    );
    for state in ["terminating", "terminated"] {
        let (outcome, bytes) = attempt_while_connecting(|shared, _, _| {
            known(shared);
            shared.draining.borrow_mut().apply(&mut listed(2, false, false, &[("s0", state, 0)]));
        });
        assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "{state}");
    }
    let (outcome, bytes) = attempt_while_connecting(|shared, _, _| {
        known(shared);
        shared.draining.borrow_mut().apply(&mut listed(2, true, false, &in_service[1..]));
    });
    assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "the server is no longer in the list");
    let new_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let (outcome, bytes) = attempt_while_connecting(|_, _, orders| {
        orders.try_send(Order::ChangeAddress(new_address)).expect("there is room");
    });
    assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "another server may use the address by now");
    let (outcome, bytes) = attempt_while_connecting(|_, call, _| call.client_gone.set(true));
    assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "the client has disconnected");
}

/// The outcomes of two attempts, one after the other, at a server. The reply to the first attempt and what `interfere` does are
/// both pending when the gateway goes on, so that they race.
fn attempts_racing_a_reply(limit: u64, interfere: impl FnOnce(&Sender<Order>)) -> [Vec<Outcome>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (arrived, calls) = std::sync::mpsc::channel();
    let (answer, values) = std::sync::mpsc::channel::<&'static str>();
    let values = std::sync::Arc::new(std::sync::Mutex::new(values));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (arrived, values) = (arrived.clone(), values.clone());
            thread::spawn(move || {
                let (mut stream, mut buffer) = (stream, [0; 1024]);
                while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
                    let _ = arrived.send(());
                    let Ok(value) = values.lock().expect("the values").recv() else { return };
                    let _ = stream.write_all(format!("*3\r\n$5\r\n{value}\r\n$-1\r\n$-1\r\n").as_bytes());
                }
            });
        }
    });
    let shared = shared();
    let (events, event_mailbox) = async_channel::bounded(8);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    let order = |number, limit| attempt_order(new_call(&shared), number, limit);
    let results = async {
        orders.send(order(0, limit)).await.expect("the actor runs");
        // Waits until the server has received the command.
        while calls.try_recv().is_err() {
            Timer::after(Duration::from_millis(1)).await;
        }
        answer.send("first").expect("the server runs");
        // Blocks the gateway's thread until both are pending.
        thread::sleep(Duration::from_millis(100));
        interfere(&orders);
        let mut ends = [Vec::new(), Vec::new()];
        let mut next = |event| match event {
            Event::AttemptCompleted(end) => {
                let value = end.end.as_ref().ok().map(|(reply, _)| match reply {
                    ServerReply::Completed { value, .. } => String::from_utf8_lossy(value).into_owned(),
                    _ => "another".into(),
                });
                ends[end.attempt].push((attempt_outcome(&end.end), value));
            }
            _ => panic!("another event"),
        };
        next(event_mailbox.recv().await.expect("the actor runs"));
        // Longer than a connection must be idle before it is reused, so that the second attempt would reuse this connection if
        // the pool had kept it.
        Timer::after(Duration::from_millis(60)).await;
        orders.send(order(1, 5_000_000)).await.expect("the actor runs");
        answer.send("later").expect("the server runs");
        next(event_mailbox.recv().await.expect("the actor runs"));
        Timer::after(Duration::from_millis(60)).await;
        while let Ok(event) = event_mailbox.try_recv() {
            next(event);
        }
        for (end, value) in ends[0].iter().filter(|(end, _)| *end == Outcome::Ok) {
            assert!(value.as_deref().is_some_and(|value| value.contains("first")), "{end:?}: {value:?}");
        }
        assert!(ends[1]
            .iter()
            .all(|(_, value)| value.as_deref().is_some_and(|value| value.contains("later"))));
        ends.map(|ends| ends.into_iter().map(|(end, _)| end).collect())
    };
    async_io::block_on(shared.executor.run(results))
}

/// Guards against an attempt being reported twice, or its reply being taken for the reply to the next attempt.
#[test]
fn an_attempt_whose_cancellation_or_limit_races_its_reply_ends_once_and_its_reply_answers_no_other() {
    assert_eq!(attempts_racing_a_reply(5_000_000, |_| {}), [[Outcome::Ok], [Outcome::Ok]]);
    let cancel = |orders: &Sender<Order>| {
        let order = Order::Cancel { request: "t1".into(), attempt: 0 };
        orders.try_send(order).expect("there is room");
    };
    for _ in 0..5 {
        let [first, next] = attempts_racing_a_reply(5_000_000, cancel);
        assert!(first == [Outcome::Ok] || first == [Outcome::Cancelled], "{first:?}");
        assert_eq!(next, [Outcome::Ok]);
        // The limit expires while the reply is received but unread.
        let [first, next] = attempts_racing_a_reply(50_000, |_| {});
        assert!(first == [Outcome::Ok] || first == [Outcome::TimedOut], "{first:?}");
        assert_eq!(next, [Outcome::Ok]);
    }
}

/// The next message of a channel within `timeout`, while the actors run.
async fn received_within<T>(channel: &std::sync::mpsc::Receiver<T>, timeout: Duration) -> Option<T> {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if let Ok(message) = channel.try_recv() {
            return Some(message);
        }
        Timer::after(Duration::from_millis(1)).await;
    }
    None
}

/// Guards against an attempt whose last byte was written being reported as never sent, and so being retried at another server.
#[test]
fn an_attempt_whose_limit_expires_while_its_last_byte_is_written_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (arrived, calls) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (mut stream, mut buffer, arrived) = (stream, [0; 1024], arrived.clone());
            thread::spawn(move || arrived.send(stream.read(&mut buffer).is_ok_and(|count| count > 0)));
        }
    });
    let shared = shared();
    let (events, event_mailbox) = async_channel::bounded(8);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    // The connection is established and the thread stalls until the limit has passed: the write and the timer are due in the same
    // loop iteration.
    for stall_ms in [0, 30, 60] {
        let order = attempt_order(new_call(&shared), 0, 30_000);
        let end = async {
            orders.send(order).await.expect("the actor runs");
            for _ in 0..20 {
                futures_lite::future::yield_now().await;
            }
            thread::sleep(Duration::from_millis(stall_ms));
            let Event::AttemptCompleted(completed) = event_mailbox.recv().await.expect("the actor runs")
            else {
                panic!("another event")
            };
            // A connection that was established too late for the attempt is kept idle. It is closed so that the server sees that
            // it received nothing.
            orders.send(Order::CloseIdle).await.expect("the actor runs");
            (attempt_outcome(&completed.end), received_within(&calls, Duration::from_secs(5)).await)
        };
        let (outcome, arrived) = async_io::block_on(shared.executor.run(end));
        let arrived = arrived.expect("a connection and its end");
        assert_eq!(
            outcome.never_ran(),
            !arrived,
            "{outcome:?} after a stall of {stall_ms} ms, command received: {arrived}"
        );
    }
}

/// Guards against the disconnection of a client that reads nothing being noticed only after the write timeout, while its other
/// requests are still forwarded.
#[test]
fn a_blocked_write_ends_as_soon_as_the_other_side_closes() {
    for reset in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let other =
            std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        let own = async_io::Async::new(listener.accept().expect("a connection").0).expect("a socket");
        let mut connection = Connection::new(own, Buffer::new(1024, None), None);
        // More than the socket buffers of both sides hold.
        let bytes = vec![b'v'; 64 << 20];
        let ends = thread::spawn(move || {
            thread::sleep(Duration::from_millis(300));
            let at = Instant::now();
            if reset {
                drop(other);
            } else {
                other.shutdown(std::net::Shutdown::Write).expect("shut");
                // Keeps the socket open.
                std::mem::forget(other);
            }
            at
        });
        let end = futures_lite::future::or(
            async { Some(connection.write_unless_closed(&bytes, Duration::from_secs(10), || {}).await) },
            async {
                Timer::after(Duration::from_secs(3)).await;
                None
            },
        );
        let end = async_io::block_on(end);
        let delay = ends.join().expect("the thread ends").elapsed();
        assert!(matches!(end, Some(Err(ConnectionEnd::Closed | ConnectionEnd::IoError))), "{end:?}");
        assert!(delay < Duration::from_millis(300), "noticed after {delay:?}");
    }
}
