//! Single actors, without a process round them.

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
use fernscale_gateway::outcome::{of_attempt, of_counter_call};
use fernscale_gateway::protocol::call::{self, Command};
use fernscale_gateway::protocol::catalog::{self, EndpointUpdate};
use fernscale_gateway::shared::{Event, Shared};
use fernscale_gateway::transport::buffer::Buffer;
use fernscale_gateway::transport::clock::slew;
use fernscale_gateway::transport::connection::Connection;
use fernscale_gateway::transport::ending::ConnectionEnd;
use fernscale_gateway::upstream::{self, Order};
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::Outcome;

fn shared() -> Rc<Shared> {
    shared_with(false)
}

/// `agent`: the list comes from an agent of the gateway's own.
fn shared_with(agent: bool) -> Rc<Shared> {
    Rc::new(support::shared(PlatformSettings {
        counter_timeout: 50_000,
        connect_timeout: 250_000,
        max_client_wait: 1_000_000,
        max_units: 1e6,
        list_is_pushed: agent,
        ..PlatformSettings::default()
    }))
}

/// A counter that answers the call at each place after so many milliseconds, with these bytes.
fn counter(answers: Vec<(u64, &'static [u8])>) -> SocketAddr {
    counters(vec![answers])
}

/// The same, with other answers on each connection.
fn counters(connections: Vec<Vec<(u64, &'static [u8])>>) -> SocketAddr {
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

fn outcomes(address: SocketAddr, calls: &[&str]) -> Vec<(String, Outcome, f64)> {
    outcomes_after(address, calls, Duration::ZERO)
}

/// What each of the calls came to, in the order in which that was told; a pause stands between two calls.
fn outcomes_after(address: SocketAddr, calls: &[&str], pause: Duration) -> Vec<(String, Outcome, f64)> {
    let shared = shared();
    let (events, told): (Sender<Event>, Receiver<Event>) = async_channel::bounded(16);
    let orders = Counter::start(&shared, &events, address);
    let all = async {
        for count in calls {
            let add = CounterUpdate {
                key: (*count).into(),
                amount: 1.0,
                lifetime: 4_000_000,
                created_at: Instant::now(),
            };
            orders.send(add).await.expect("the actor runs");
            if !pause.is_zero() {
                Timer::after(pause).await;
            }
        }
        // As when the counter is another one from now on: what is out here is still waited for.
        drop(orders);
        let mut all = Vec::new();
        while all.len() < calls.len() {
            if let Event::CounterReplied { key: count, end, .. } = told.recv().await.expect("the actor runs")
            {
                let call = of_counter_call(&end);
                all.push((count.to_string(), call.outcome, call.total));
            }
        }
        all
    };
    async_io::block_on(shared.executor.run(all))
}

fn told(count: &str, outcome: Outcome, total: f64) -> (String, Outcome, f64) {
    (count.into(), outcome, total)
}

#[test]
fn an_answer_that_is_late_is_waited_for_and_one_later_still_answers_no_other_call() {
    // A line that is full takes that long.
    let address = counter(vec![(140, b"$1\r\n7\r\n"), (0, b"$1\r\n8\r\n")]);
    assert_eq!(outcomes(address, &["a"]), [told("a", Outcome::Ok, 7.0)]);
    let address = counter(vec![(400, b"$1\r\n7\r\n$1\r\n8\r\n")]);
    let all = outcomes(address, &["a", "b"]);
    assert_eq!(all, [told("a", Outcome::TimedOut, 0.0), told("b", Outcome::TimedOut, 0.0)]);
}

#[test]
fn calls_that_surely_added_nothing_are_told_from_those_that_may_have() {
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    assert_eq!(outcomes(nobody, &["a"]), [told("a", Outcome::NotConnected, 0.0)]);
    let full = counter(vec![(0, b"-BUSY\r\n-ERR no\r\n")]);
    assert_eq!(
        outcomes(full, &["a", "b"]),
        [told("a", Outcome::Overloaded, 0.0), told("b", Outcome::Overloaded, 0.0)]
    );
    // Each call is told of, also that to which something came that can't be understood.
    let garbled = counter(vec![(30, b"$1\r\nx\r\n")]);
    let all = outcomes(garbled, &["a", "b"]);
    assert_eq!(all, [told("a", Outcome::Error, 0.0), told("b", Outcome::Error, 0.0)]);
}

#[test]
fn an_answer_that_never_ends_keeps_no_other_call_waiting() {
    for torn in [&b"$30\r\n1"[..], b"-what", b"*2\r\n$1\r\n1\r\n", b"$1\r\n7\r\n$"] {
        // The first connection is given up long before a silent one would be, and the next call has another.
        let address = counters(vec![vec![(0, torn)], vec![(0, b"$1\r\n8\r\n")]]);
        let began = Instant::now();
        let all = outcomes_after(address, &["a", "b"], Duration::from_millis(200));
        let first = if torn.starts_with(b"$1\r\n7") { (Outcome::Ok, 7.0) } else { (Outcome::Error, 0.0) };
        assert_eq!(all, [told("a", first.0, first.1), told("b", Outcome::Ok, 8.0)]);
        assert!(began.elapsed() < Duration::from_secs(1));
    }
}

#[test]
fn a_connection_that_falls_silent_loses_no_calls_but_its_own() {
    let address = counters(vec![vec![(0, b"")], vec![(0, b"$1\r\n8\r\n")]]);
    let all = outcomes_after(address, &["a", "b", "c"], Duration::from_millis(300));
    // Where answers came before, silence is the connection's and tells nothing of how much the counter can do.
    assert_eq!(all[..2], [told("a", Outcome::TimedOut, 0.0), told("b", Outcome::Ok, 8.0)]);
    assert_eq!(all[2], told("c", Outcome::Error, 0.0));
}

#[test]
fn a_clock_that_is_set_is_followed_slowly_and_never_back() {
    for (set, steps) in [(3_000_000, 64 * 3), (-3_000_000, 64 * 3), (0, 1)] {
        let (mut ahead, mut since) = (1_000_000_000, 0);
        for step in 1..=steps {
            let before = since + ahead;
            ahead = slew((ahead, since), since + 1_000_000, 1_000_000_000 + set + since + 1_000_000);
            since += 1_000_000;
            let gone = since + ahead - before;
            assert!((980_000..=1_020_000).contains(&gone), "{gone} in a second at step {step}");
        }
        assert_eq!(ahead, 1_000_000_000 + set);
    }
}

/// What a list's actor asks, that knew a version before its start, and the first so many lists that it tells, of a service
/// that takes so long for each of these answers.
fn first_calls(
    known: Option<u64>,
    answers: Vec<(u64, &'static str)>,
    lists: usize,
) -> (Vec<String>, Vec<Option<u64>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (paths, asked) = std::sync::mpsc::channel();
    let count = answers.len();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a gateway");
        let mut part = [0; 1024];
        for (late, body) in answers {
            let length = stream.read(&mut part).expect("a call");
            let path =
                String::from_utf8_lossy(&part[..length]).split(' ').nth(1).expect("a path").to_string();
            paths.send(path).expect("sent");
            thread::sleep(Duration::from_millis(late));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + body).as_bytes()).expect("written");
        }
    });
    let shared = shared();
    let (events, told) = async_channel::bounded(16);
    let (orders, mailbox) = async_channel::bounded(16);
    shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, known).run(mailbox)).detach();
    let all = async {
        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
        let mut all = Vec::new();
        while all.iter().flatten().count() < lists {
            match told.recv().await.expect("the actor runs") {
                Event::EndpointsUpdated(members) => all.push(Some(members.index)),
                Event::EndpointsLate => all.push(None),
                _ => panic!("no list"),
            }
        }
        all
    };
    let all = async_io::block_on(shared.executor.run(all));
    (asked.iter().take(count).collect(), all)
}

/// Whether a call asks for what is newer than a version, and waits for it for as long as one at a service may.
fn watches(path: &str, index: u32) -> bool {
    let wait = path.strip_prefix(&format!("/catalog/members?since={index}&timeout_ms="));
    wait.and_then(|wait| wait.parse().ok()).is_some_and(|wait: u32| (10_000..=20_000).contains(&wait))
}

#[test]
fn who_knew_a_list_asks_for_what_is_newer_and_a_list_of_another_is_had_whole() {
    const NEWER: &str = r#"{"index":43,"snapshot":false,"endpoints":[]}"#;
    let (asked, _) = first_calls(Some(41), vec![(0, NEWER), (0, NEWER)], 2);
    assert_eq!(asked[0], "/catalog/members?since=41&timeout_ms=0");
    assert!(asked.len() == 2 && watches(&asked[1], 43), "{asked:?}");
    const OTHER: &str = r#"{"index":3,"snapshot":false,"endpoints":[]}"#;
    const WHOLE_AT_9: &str = r#"{"index":9,"snapshot":true,"endpoints":[]}"#;
    const OTHER_AT_9: &str = r#"{"index":9,"snapshot":false,"endpoints":[]}"#;
    // What changed in a list that is behind is told to nobody: it may have a server in use that is known to drain.
    let (asked, told) = first_calls(Some(41), vec![(0, OTHER), (0, WHOLE_AT_9), (0, OTHER_AT_9)], 2);
    assert_eq!(asked[..2], ["/catalog/members?since=41&timeout_ms=0", "/catalog/members"]);
    assert!(asked.len() == 3 && watches(&asked[2], 9), "{asked:?}");
    assert_eq!(told, [Some(9), Some(9)]);
}

#[test]
fn the_watches_of_a_fleet_that_began_together_do_not_end_together() {
    const NEWER: &str = r#"{"index":43,"snapshot":false,"endpoints":[]}"#;
    let wait = |_| {
        let (asked, _) = first_calls(Some(41), vec![(0, NEWER), (0, NEWER)], 2);
        asked[1].rsplit('=').next().and_then(|wait| wait.parse().ok()).expect("a wait")
    };
    let waits: Vec<u32> = (0..40).map(wait).collect();
    // The service may take a quarter of a second for each, and what all missed counts 1.5 s after they were asked anew.
    let together =
        waits.iter().map(|one| waits.iter().filter(|other| (*one..one + 250).contains(other)).count());
    assert!(together.max() <= Some(13), "a third of them: {waits:?}");
}

#[test]
fn a_list_whose_turn_comes_late_is_waited_for_and_others_are_not_kept_waiting() {
    const WHOLE: &str = r#"{"index":3,"snapshot":true,"endpoints":[]}"#;
    let (_, told) = first_calls(None, vec![(1_500, WHOLE)], 1);
    assert_eq!(told, [None, Some(3)], "late after a second, and had all the same");
}

/// An agent that answers each call on a connection as `answers` says, which is given the number of the connection and the
/// path; where it gives nothing, the agent stays silent on that connection from then on.
fn agent(
    answers: impl Fn(usize, &str) -> Option<(u64, String)> + Send + Sync + 'static,
) -> (SocketAddr, std::sync::mpsc::Receiver<(Instant, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (paths, asked) = std::sync::mpsc::channel();
    let answers = std::sync::Arc::new(answers);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (paths, answers) = (paths.clone(), answers.clone());
            thread::spawn(move || {
                let (mut stream, mut part, mut silent) = (stream, [0; 1024], false);
                while let Ok(length @ 1..) = stream.read(&mut part) {
                    let call = String::from_utf8_lossy(&part[..length]).into_owned();
                    let path = call.split(' ').nth(1).expect("a path");
                    let _ = paths.send((Instant::now(), path.to_string()));
                    let Some((late, body)) = answers(number, path).filter(|_| !silent) else {
                        silent = true;
                        continue;
                    };
                    thread::sleep(Duration::from_millis(late));
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all((head + &body).as_bytes());
                }
            });
        }
    });
    (address, asked)
}

/// Follows an agent until it has told so many lists, asking anew at once whenever it could not be had.
fn follow_agent(address: SocketAddr, lists: usize) -> Vec<(u64, Instant)> {
    let shared = shared_with(true);
    let (events, told) = async_channel::bounded(16);
    let (orders, mailbox) = async_channel::bounded(16);
    shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, Some(3)).run(mailbox)).detach();
    let all = async {
        let mut all = Vec::new();
        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
        while all.len() < lists {
            match told.recv().await.expect("the actor runs") {
                Event::EndpointsUpdated(members) => all.push((members.index, Instant::now())),
                Event::EndpointsUnavailable => {
                    orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
                }
                _ => {}
            }
        }
        all
    };
    async_io::block_on(shared.executor.run(all))
}

fn changes(index: u64) -> String {
    format!(r#"{{"index":{index},"snapshot":false,"endpoints":[]}}"#)
}

#[test]
fn a_watch_at_an_agent_that_falls_silent_is_opened_anew_long_before_what_it_missed_counts() {
    // The first connection answers once, and is silent from then on; what it would have told is known on the next.
    let (address, asked) = agent(|number, path| match (number, path.contains("since=3")) {
        (0, true) => Some((0, changes(4))),
        (0, false) => None,
        _ => Some((0, changes(5))),
    });
    let told = follow_agent(address, 2);
    let calls: Vec<(Instant, String)> = asked.iter().take(3).collect();
    let (watch, anew) = (&calls[1], &calls[2]);
    assert_eq!(watch.1, "/catalog/members?since=4&timeout_ms=2000");
    assert_eq!(anew.1, "/catalog/members?since=4&timeout_ms=0", "what it missed, and no wait");
    let (silent, heard) = (anew.0 - watch.0, told[1].1 - watch.0);
    assert!(silent >= Duration::from_millis(2_000), "its wait has to pass first: {silent:?}");
    assert!(heard < Duration::from_millis(4_000), "it counts after 6 s: {heard:?}");
}

#[test]
fn an_agent_that_was_silent_is_heard_within_half_a_second_of_its_return() {
    // It answers nothing that came before its return; at first it speaks, or is silent from the start.
    for speaks_first in [false, true] {
        let began = Instant::now();
        let (quiet, back) = (began + Duration::from_millis(300), began + Duration::from_millis(6_000));
        let (address, asked) = agent(move |_, path| {
            let now = Instant::now();
            let first = speaks_first && now < quiet && path.contains("since=3");
            (first || now >= back).then(|| (0, changes(if first { 4 } else { 5 })))
        });
        let told = follow_agent(address, 1 + usize::from(speaks_first));
        let (index, heard) = *told.last().expect("a list");
        let late = heard.saturating_duration_since(back);
        assert!(index == 5 && heard >= back && late < Duration::from_millis(450), "{late:?} late");
        let calls = asked.try_iter().count();
        assert!((6..=32).contains(&calls), "{calls} calls in six seconds");
    }
}

#[test]
fn an_agent_that_is_slow_with_every_answer_is_heard_all_the_same() {
    let (address, _asked) = agent(|_, _| Some((900, changes(4))));
    let began = Instant::now();
    let told = follow_agent(address, 2);
    assert!(told[1].1 - began < Duration::from_secs(5));
}

/// A list with servers: name, state, start in ms.
fn listed(index: u64, full: bool, moved: bool, servers: &[(&str, &str, u64)]) -> EndpointUpdate {
    let entry = |(name, state, since): &(&str, &str, u64)| {
        format!(r#"{{"name":"{name}","address":"127.0.0.1:1","status":"{state}","since_ms":{since}}}"#)
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    let body = format!(r#"{{"index":{index},"snapshot":{full},"endpoints":[{}]}}"#, entries.join(","));
    let body = serde_json::from_str(&body).expect("a list");
    let members =
        catalog::endpoint_update(&body, &PlatformSettings::default()).expect("a list that is understood");
    EndpointUpdate { moved, ..members }
}

#[test]
fn a_server_that_left_comes_back_only_by_a_newer_word_or_a_newer_start() {
    let (up, drains, gone) = ("in_service", "terminating", "terminated");
    // What was known of s, a list that comes then, and whether s may be used after it.
    let told = [
        listed(10, true, false, &[("s", up, 0), ("t", up, 0)]),
        listed(11, false, false, &[("s", drains, 0)]),
    ];
    let absent =
        [listed(10, true, false, &[("s", up, 5), ("t", up, 0)]), listed(11, true, false, &[("t", up, 0)])];
    let ended = [listed(10, true, false, &[("s", up, 7)]), listed(11, false, false, &[("s", gone, 7)])];
    for (known, next, back) in [
        (&told, listed(12, false, false, &[("s", up, 0)]), true),
        (&told, listed(12, true, false, &[("s", up, 0)]), true),
        (&told, listed(12, false, false, &[("s", up, 9)]), true),
        // Of an agent that is behind; of another discovery, whose versions are of another row; the same with a newer start.
        (&told, listed(9, true, false, &[("s", up, 0)]), false),
        (&told, listed(500, true, true, &[("s", up, 0)]), false),
        (&told, listed(500, true, true, &[("s", up, 9)]), true),
        (&absent, listed(10, true, false, &[("s", up, 5)]), false),
        (&absent, listed(12, false, false, &[("s", up, 5)]), true),
        (&ended, listed(9, true, false, &[("s", up, 7)]), false),
        (&ended, listed(9, true, false, &[("s", up, 8)]), true),
    ] {
        let (mut leavers, s) = (DrainingEndpoints::default(), fernscale_policy::Id::from("s"));
        for members in known {
            leavers.apply(&mut members.clone());
        }
        assert!(leavers.contains(&s));
        let mut next = next;
        leavers.apply(&mut next);
        let usable = next.servers[0].0.state == fernscale_policy::EndpointState::Ready;
        assert_eq!((usable, !leavers.contains(&s)), (back, back), "{next:?}");
        if next.moved && !back {
            // A later whole list there says nothing new of it, a change does.
            for (full, back) in [(true, false), (false, true)] {
                leavers.apply(&mut listed(501 + u64::from(back), full, false, &[("s", up, 0)]));
                assert_eq!(!leavers.contains(&s), back);
            }
        }
    }
}

#[test]
fn a_list_with_two_words_on_one_server_is_refused_whole() {
    let two = r#"{"index":4,"snapshot":false,"endpoints":[
        {"name":"s","address":"127.0.0.1:1","status":"terminating"},
        {"name":"s","address":"127.0.0.1:1","status":"in_service"}]}"#;
    let refused =
        catalog::endpoint_update(&serde_json::from_str(two).expect("json"), &PlatformSettings::default());
    let refused = refused.expect_err("two words");
    assert_eq!(
        (refused.reason.as_str(), &refused.draining[..]),
        ("server 's' comes twice", &["s".into()][..])
    );
}

/// Danger: an answer is refused whole for one entry, and a drain in it counts as told.
#[test]
fn an_answer_with_a_state_that_is_not_known_is_refused_and_what_it_says_to_leave_is_told() {
    let entry = |name: &str, state: &str| {
        format!(r#"{{"name":"{name}","address":"127.0.0.1:1","status":"{state}"}}"#)
    };
    let odd = [
        entry("s", "terminating"),
        entry("t", "warming"),
        entry("u", "terminated"),
        entry("v", "in_service"),
    ];
    let odd = format!(r#"{{"index":5,"snapshot":false,"endpoints":[{}]}}"#, odd.join(","));
    let behind = odd.replace("\"index\":5", "\"index\":2");
    for (first, left) in [(odd, vec!["s", "u"]), (behind, Vec::new())] {
        let calls = std::sync::atomic::AtomicUsize::new(0);
        let (address, asked) = agent(move |_, _| {
            let turn = calls.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            Some((0, if turn == 0 { first.clone() } else { changes(6) }))
        });
        let shared = shared_with(true);
        let (events, told) = async_channel::bounded(16);
        let (orders, mailbox) = async_channel::bounded(16);
        shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, Some(3)).run(mailbox)).detach();
        let all = async {
            orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
            let (mut leaving, mut failed) = (Vec::new(), 0);
            loop {
                match told.recv().await.expect("the actor runs") {
                    Event::EndpointsDraining(servers) => {
                        leaving.extend(servers.iter().map(std::string::ToString::to_string));
                    }
                    Event::EndpointsUnavailable => {
                        failed += 1;
                        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
                    }
                    Event::EndpointsUpdated(members) => return (leaving, failed, members.index),
                    _ => {}
                }
            }
        };
        let (leaving, failed, index) = async_io::block_on(shared.executor.run(all));
        assert_eq!(
            (leaving, failed, index),
            (left.iter().map(std::string::ToString::to_string).collect(), 1, 6)
        );
        let since: Vec<String> = asked.iter().take(2).map(|(_, path)| path).collect();
        assert!(since.iter().all(|path| path.starts_with("/catalog/members?since=3&")), "{since:?}");
    }
}

#[test]
fn an_agent_that_never_waits_is_not_asked_without_end_and_the_watch_goes_on() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a gateway");
        let mut part = [0; 1024];
        while stream.read(&mut part).is_ok_and(|count| count > 0) {
            let full = !String::from_utf8_lossy(&part).contains("since=3");
            let body = format!(r#"{{"index":3,"snapshot":{full},"endpoints":[]}}"#);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).expect("written");
        }
    });
    let shared = shared();
    let (events, told) = async_channel::bounded(16);
    let (orders, mailbox) = async_channel::bounded(16);
    shared.executor.spawn(DiscoveryActor::new(&shared, &events, address, None).run(mailbox)).detach();
    let three = async {
        orders.send(discovery::Order::Watch(true)).await.expect("the actor runs");
        let (mut full, mut gaps) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            let began = Instant::now();
            let Ok(Event::EndpointsUpdated(members)) = told.recv().await else { panic!("no list") };
            full.push(members.full);
            gaps.push(began.elapsed());
        }
        (full, gaps)
    };
    let (full, gaps) = async_io::block_on(shared.executor.run(three));
    assert_eq!(full, [true, false, false]);
    assert!(gaps[2] >= Duration::from_millis(50), "{gaps:?}");
}

/// What becomes of a trip that was on its way to a server's actor when the server was `cordoned`, and how often
/// something came there.
fn trip_under_way(cordoned: bool) -> (Outcome, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a gateway");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
        let (mut came, mut part) = (0, [0; 1024]);
        while !matches!(stream.read(&mut part), Ok(0) | Err(_)) {
            came += 1;
            stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n").expect("written");
        }
        came
    });
    let shared = shared();
    let outside = PlatformSettings {
        class_names: vec!["read".into()],
        plan_names: vec!["team".into()],
        gateway_count: 1,
        ..shared.platform.clone()
    };
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", b"t1", b"c=read,t=team,d=900"];
    let Ok(Command::Call(call)) = call::command(&words, &outside) else { panic!("a call") };
    let (events, told) = async_channel::bounded(4);
    let name: fernscale_policy::Id = "s0".into();
    let orders = upstream::start(&shared, &events, &name, address);
    let order =
        Order::Attempt { call: Rc::new(call), attempt: 0, limit: 900_000, created_at: Instant::now() };
    let outcome = async {
        orders.send(order).await.expect("the actor runs");
        if cordoned {
            shared.cordoned.borrow_mut().insert(name);
        }
        match told.recv().await.expect("the actor runs") {
            Event::AttemptCompleted(returned) => of_attempt(&returned.end),
            _ => panic!("another event"),
        }
    };
    let outcome = async_io::block_on(shared.executor.run(outcome));
    drop((orders, shared));
    (outcome, server.join().expect("it ends"))
}

#[test]
fn a_trip_on_its_way_when_its_server_is_taken_out_of_use_is_never_sent() {
    assert_eq!(trip_under_way(false), (Outcome::Ok, 1));
    assert_eq!(trip_under_way(true), (Outcome::NeverSent, 0));
}

/// A call for one second.
fn one_call(shared: &Shared) -> Rc<call::Call> {
    let outside = PlatformSettings {
        class_names: vec!["read".into()],
        plan_names: vec!["team".into()],
        gateway_count: 1,
        max_client_wait: 9_000_000,
        ..shared.platform.clone()
    };
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", b"t1", b"c=read,t=team,d=9000"];
    let Ok(Command::Call(call)) = call::command(&words, &outside) else { panic!("a call") };
    Rc::new(call)
}

/// What becomes of a trip that dials, as its server has no room for another connection to wait in, when something
/// happens; and whether any byte came to the server once it took connections again.
fn crossed_while_dialling(crosses: impl FnOnce(&Shared, &call::Call, &Sender<Order>)) -> (Outcome, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("hardly any room to wait in");
    let address = listener.local_addr().expect("an address");
    let full = |_: &u32| std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let waiting: Vec<_> = (0..8).map_while(|at| full(&at)).collect();
    assert!((1..8).contains(&waiting.len()), "the dial has to wait");
    let shared = shared();
    let shared = Rc::try_unwrap(shared).unwrap_or_else(|_| panic!("one owner"));
    let outside = PlatformSettings { connect_timeout: 8_000_000, ..shared.platform.clone() };
    let shared = Rc::new(Shared { platform: outside, ..shared });
    let (events, told) = async_channel::bounded(4);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    let call = one_call(&shared);
    let order =
        Order::Attempt { call: call.clone(), attempt: 0, limit: 8_000_000, created_at: Instant::now() };
    let outcome = async {
        orders.send(order).await.expect("the actor runs");
        // The actor takes it, and its trip dials.
        for _ in 0..20 {
            futures_lite::future::yield_now().await;
        }
        crosses(&shared, &call, &orders);
        for _ in 0..20 {
            futures_lite::future::yield_now().await;
        }
        let server = thread::spawn(move || {
            let dialled = listener.incoming().flatten().nth(waiting.len()).expect("the trip's");
            dialled.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
            (&dialled).read(&mut [0; 1024]).expect("its end, or bytes")
        });
        let Event::AttemptCompleted(returned) = told.recv().await.expect("the actor runs") else {
            panic!("another")
        };
        drop(returned.request);
        let outcome = of_attempt(&returned.end);
        // An idle connection is not closed at once.
        orders.send(Order::CloseIdle).await.expect("the actor runs");
        for _ in 0..20 {
            futures_lite::future::yield_now().await;
        }
        (outcome, server)
    };
    let (outcome, server) = async_io::block_on(shared.executor.run(outcome));
    drop((orders, shared));
    (outcome, server.join().expect("it ends"))
}

#[test]
fn a_trip_that_dials_while_its_server_leaves_or_moves_or_its_client_leaves_is_never_sent() {
    let up = [("s0", "in_service", 0), ("s1", "in_service", 0)];
    let known = move |shared: &Shared| shared.draining.borrow_mut().apply(&mut listed(1, true, false, &up));
    let (outcome, bytes) = crossed_while_dialling(|shared, _, _| known(shared));
    assert!(bytes > 0 && outcome != Outcome::NeverSent, "nothing has happened: {outcome:?}");
    for state in ["terminating", "terminated"] {
        let (outcome, bytes) = crossed_while_dialling(|shared, _, _| {
            known(shared);
            shared.draining.borrow_mut().apply(&mut listed(2, false, false, &[("s0", state, 0)]));
        });
        assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "{state}");
    }
    let (outcome, bytes) = crossed_while_dialling(|shared, _, _| {
        known(shared);
        shared.draining.borrow_mut().apply(&mut listed(2, true, false, &up[1..]));
    });
    assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "it is not in the list any more");
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let (outcome, bytes) = crossed_while_dialling(|_, _, orders| {
        orders.try_send(Order::ChangeAddress(elsewhere)).expect("there is room");
    });
    assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "another may be at that address by now");
    let (outcome, bytes) = crossed_while_dialling(|_, call, _| call.client_gone.set(true));
    assert_eq!((outcome, bytes), (Outcome::NeverSent, 0), "its client has gone");
}

/// Two trips one after the other at a server that answers the first when something happens, and what became of each. Only when
/// both the answer and what `crosses` it are there does the gateway go on.
fn crossed_by_the_answer(limit: u64, crosses: impl FnOnce(&Sender<Order>)) -> [Vec<Outcome>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (came, calls) = std::sync::mpsc::channel();
    let (answer, may) = std::sync::mpsc::channel::<&'static str>();
    let may = std::sync::Arc::new(std::sync::Mutex::new(may));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (came, may) = (came.clone(), may.clone());
            thread::spawn(move || {
                let (mut stream, mut part) = (stream, [0; 1024]);
                while stream.read(&mut part).is_ok_and(|count| count > 0) {
                    let _ = came.send(());
                    let Ok(value) = may.lock().expect("one asks").recv() else { return };
                    let _ = stream.write_all(format!("*3\r\n$5\r\n{value}\r\n$-1\r\n$-1\r\n").as_bytes());
                }
            });
        }
    });
    let shared = shared();
    let (events, told) = async_channel::bounded(8);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    let trip = |number, limit| Order::Attempt {
        call: one_call(&shared),
        attempt: number,
        limit,
        created_at: Instant::now(),
    };
    let all = async {
        orders.send(trip(0, limit)).await.expect("the actor runs");
        // Its last byte has come to the server.
        while calls.try_recv().is_err() {
            Timer::after(Duration::from_millis(1)).await;
        }
        answer.send("first").expect("the server runs");
        // From here on nothing of the gateway runs until both are there.
        thread::sleep(Duration::from_millis(100));
        crosses(&orders);
        let mut ends = [Vec::new(), Vec::new()];
        let mut next = |event| match event {
            Event::AttemptCompleted(end) => {
                let value = end.end.as_ref().ok().map(|(said, _)| match said {
                    call::ServerReply::Completed { value, .. } => String::from_utf8_lossy(value).into_owned(),
                    _ => "another".into(),
                });
                ends[end.attempt].push((of_attempt(&end.end), value));
            }
            _ => panic!("another event"),
        };
        next(told.recv().await.expect("the actor runs"));
        // Longer than connections rest after an answer, so that this one would be used again if it were kept.
        Timer::after(Duration::from_millis(60)).await;
        orders.send(trip(1, 5_000_000)).await.expect("the actor runs");
        answer.send("later").expect("the server runs");
        next(told.recv().await.expect("the actor runs"));
        Timer::after(Duration::from_millis(60)).await;
        while let Ok(event) = told.try_recv() {
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
    async_io::block_on(shared.executor.run(all))
}

/// Danger: a trip is told of twice, or its answer is taken for the next one's.
#[test]
fn a_trip_whose_cancel_or_limit_crosses_its_answer_ends_once_and_its_answer_is_nobody_elses() {
    assert_eq!(crossed_by_the_answer(5_000_000, |_| {}), [[Outcome::Ok], [Outcome::Ok]]);
    let cancel = |orders: &Sender<Order>| {
        let order = Order::Cancel { request: "t1".into(), attempt: 0 };
        orders.try_send(order).expect("there is room");
    };
    for _ in 0..5 {
        let [first, next] = crossed_by_the_answer(5_000_000, cancel);
        assert!(first == [Outcome::Ok] || first == [Outcome::Cancelled], "{first:?}");
        assert_eq!(next, [Outcome::Ok]);
        // The limit runs out while the answer lies there, unread.
        let [first, next] = crossed_by_the_answer(50_000, |_| {});
        assert!(first == [Outcome::Ok] || first == [Outcome::TimedOut], "{first:?}");
        assert_eq!(next, [Outcome::Ok]);
    }
}

/// What comes by a channel within this time, while the actors run.
async fn received_within<T>(channel: &std::sync::mpsc::Receiver<T>, time: Duration) -> Option<T> {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if let Ok(message) = channel.try_recv() {
            return Some(message);
        }
        Timer::after(Duration::from_millis(1)).await;
    }
    None
}

/// Danger: a trip whose last byte has been written passes for one that surely never ran, and goes to another server.
#[test]
fn a_trip_whose_limit_runs_out_just_as_its_last_byte_is_written_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (came, calls) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (mut stream, mut part, came) = (stream, [0; 1024], came.clone());
            thread::spawn(move || came.send(stream.read(&mut part).is_ok_and(|count| count > 0)));
        }
    });
    let shared = shared();
    let (events, told) = async_channel::bounded(8);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    // The dial is over and the process stands still until the limit is: the write and the clock are due in one turn.
    for still in [0, 30, 60] {
        let order =
            Order::Attempt { call: one_call(&shared), attempt: 0, limit: 30_000, created_at: Instant::now() };
        let end = async {
            orders.send(order).await.expect("the actor runs");
            for _ in 0..20 {
                futures_lite::future::yield_now().await;
            }
            thread::sleep(Duration::from_millis(still));
            let Event::AttemptCompleted(returned) = told.recv().await.expect("the actor runs") else {
                panic!("another")
            };
            // A connection that was up too late to be written on is kept: it has to end for the server to say that nothing came.
            orders.send(Order::CloseIdle).await.expect("the actor runs");
            (of_attempt(&returned.end), received_within(&calls, Duration::from_secs(5)).await)
        };
        let (outcome, came) = async_io::block_on(shared.executor.run(end));
        let came = came.expect("a connection and its end");
        assert_eq!(outcome.never_ran(), !came, "{outcome:?} after {still} ms, and the call came: {came}");
    }
}

/// Danger: a client that takes nothing and leaves is seen to have left only once it has had its time to read; till then what
/// it asked besides is sent on.
#[test]
fn a_write_that_the_other_side_does_not_take_ends_as_soon_as_that_side_does() {
    for reset in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let other =
            std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        let own = async_io::Async::new(listener.accept().expect("it comes").0).expect("a socket");
        let mut connection = Connection::new(own, Buffer::new(1024, None), None);
        // More than the system takes for both sides.
        let bytes = vec![b'v'; 64 << 20];
        let ends = thread::spawn(move || {
            thread::sleep(Duration::from_millis(300));
            let at = Instant::now();
            if reset {
                drop(other);
            } else {
                other.shutdown(std::net::Shutdown::Write).expect("shut");
                // Kept open.
                std::mem::forget(other);
            }
            at
        });
        let end =
            futures_lite::future::or(async { Some(connection.write_unless_closed(&bytes).await) }, async {
                Timer::after(Duration::from_secs(3)).await;
                None
            });
        let end = async_io::block_on(end);
        let late = ends.join().expect("it ends").elapsed();
        assert!(matches!(end, Some(Err(ConnectionEnd::Closed | ConnectionEnd::IoError))), "{end:?}");
        assert!(late < Duration::from_millis(300), "seen {late:?} later");
    }
}
