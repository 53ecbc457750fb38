//! Transactions, clients and servers, the list, the start and the end.

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
fn a_transaction_is_passed_on_unchanged_and_its_value_comes_back() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&server]);
    assert_eq!(gateway.client().ask(&call("t1", "read", 1_200)), "t1");
    let calls = server.calls.lock().expect("calls");
    assert_eq!((&*calls[0][0], &*calls[0][1], &*calls[0][4]), ("CALL.POST", "00000000b4d65521", "BODY"));
    let left = calls[0][3]
        .strip_prefix("c=read,t=team,d=")
        .and_then(|rest| rest.strip_suffix(",units=1,spread=1,first=0"));
    let left: u64 = left.and_then(|left| left.parse().ok()).expect("the list as it came, but for the time");
    assert!((1_000..=1_200).contains(&left), "{left}");
}

#[test]
fn bytes_that_come_one_by_one_or_all_at_once_are_answered_in_order() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    let many: Vec<u8> =
        (0..50).flat_map(|at| [call(&format!("m{at}"), "read", 1_200), ping()].concat()).collect();
    for byte in &many[..300] {
        client.write(&[*byte]);
    }
    client.write(&many[300..]);
    for at in 0..50 {
        let answer = client.read();
        // What finds no place is nacked, in its turn.
        assert!(answer == format!("m{at}") || answer == "-BUSY 500", "{answer} for m{at}");
        assert_eq!(client.read(), "+PONG");
    }
}

/// Danger: all that may be under way at once is answered in one go, and nothing more comes that would have the rest looked at.
#[test]
fn commands_behind_all_that_may_be_under_way_are_answered_when_those_before_are_at_once() {
    let server = Server::start(Does::Late(200));
    let gateway = Gateway::start(&[&server]);
    let (mut client, began) = (gateway.client(), Instant::now());
    // The pings are ready at once, and wait for the request before them.
    client.write(&[call("first", "read", 1_200), ping().repeat(31 + 40)].concat());
    assert_eq!(client.read(), "first");
    (0..31 + 40).for_each(|_| assert_eq!(client.read(), "+PONG"));
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

#[test]
fn bad_syntax_gets_one_error_and_a_close_and_nothing_else_does() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    assert!(client.ask(&resp::write_command(&[b"GET", b"x"])).starts_with("-ERR unknown command 'GET'"));
    assert!(client.ask(&call("t1", "nothing", 1_200)).starts_with("-ERR"));
    assert_eq!(client.ask(&resp::write_command(&[b"SELECT", b"0"])), "+OK");
    // What stands before is answered first; what stands behind is not read.
    let bad = [call("t2", "read", 1_200), b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![b'x'; 100_000]].concat();
    assert_eq!(client.ask(&bad), "t2");
    assert!(client.read().starts_with("-ERR bad syntax"));
    assert_eq!(client.read(), "");
}

#[test]
fn only_what_surely_never_ran_is_sent_again_where_nothing_may_run_twice() {
    let (abandoned, nacked) = ("-ERR abandoned", "-BUSY 500");
    for (does, lane, answer, sent) in [
        (Does::Reset, "pay", abandoned, 1),
        (Does::Fail, "pay", abandoned, 1),
        (Does::Garble, "pay", abandoned, 1),
        (Does::Full, "pay", nacked, 2),
        (Does::Reset, "read", nacked, 2),
        (Does::Fail, "read", nacked, 2),
        (Does::Garble, "read", nacked, 2),
        (Does::Torn, "pay", abandoned, 1),
        (Does::Torn, "read", nacked, 2),
    ] {
        let servers = [Server::start(does), Server::start(does)];
        let gateway = Gateway::start(&[&servers[0], &servers[1]]);
        assert_eq!(gateway.client().ask(&call("t1", lane, 1_200)), answer);
        assert_eq!(servers[0].calls() + servers[1].calls(), sent, "in {lane}");
    }
}

#[test]
fn what_a_server_adds_to_a_good_answer_spoils_neither_that_nor_the_next() {
    let more =
        ["$-1\r\n$-1\r\nnoise", "$-1\r\n?noise\r\n", "$-1\r\n$3\r\nlonger than that\r\n", "$-1\r\n$90\r\n"];
    for does in more.into_iter().map(Does::Behind).chain([Does::Copy]) {
        let server = Server::start(does);
        let gateway = Gateway::start(&[&server]);
        let mut client = gateway.client();
        for at in 0..4 {
            assert_eq!(client.ask(&call(&format!("t{at}"), "pay", 1_200)), format!("t{at}"));
        }
        assert_eq!(server.calls(), 4);
    }
}

#[test]
fn the_same_bad_thing_at_full_speed_is_turned_away_slowly_and_harms_nobody() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::with_sockets(&[&server], 86);
    let until = Instant::now() + Duration::from_millis(1_000);
    let mut usual = gateway.client();
    assert_eq!((usual.ask(&ping()), usual.ask(&ping())), ("+PONG".into(), "+PONG".into()));
    let all: Vec<_> = (0..40)
        .map(|at| {
            let gateway = gateway.listen;
            thread::spawn(move || {
                let mut told = 0;
                while Instant::now() < until {
                    let Ok(mut stream) = TcpStream::connect(gateway) else { continue };
                    let bad =
                        if at % 2 == 0 { b"no command\r\n".to_vec() } else { call("t", "nothing", 100) };
                    let mut part = [0; 1024];
                    let _ = stream.set_read_timeout(Some(SOON));
                    let heard = stream.write_all(&bad).is_ok() && stream.read(&mut part).is_ok();
                    told += usize::from(heard);
                }
                told
            })
        })
        .collect();
    let mut at = 0;
    while Instant::now() < until {
        let id = format!("t{at}");
        assert_eq!(usual.ask(&call(&id, "read", 1_200)), id);
        at += 1;
    }
    let told: usize = all.into_iter().map(|client| client.join().expect("it ends")).sum();
    assert!((40..1_000).contains(&told), "{told} told within a second");
}

#[test]
fn connections_that_break_when_used_again_are_not_kept_for_long() {
    let server = Server::start(Does::ServeOnce);
    let gateway = Gateway::start(&[&server]);
    let (mut client, mut lost) = (gateway.client(), 0);
    for at in 0..12 {
        let id = format!("t{at}");
        lost += usize::from(client.ask(&call(&id, "pay", 1_200)) != id);
        thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(lost, 1, "the first to find out is the last for a while");
}

#[test]
fn clients_that_never_ask_are_let_go_in_time_and_keep_no_other_out() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::with_sockets(&[&server], 69);
    let mut usual = gateway.client();
    assert_eq!((usual.ask(&ping()), usual.ask(&ping())), ("+PONG".into(), "+PONG".into()));
    let half = call("half", "read", 1_200);
    let began = Instant::now();
    let mut silent: Vec<Client> = (0..200).map(|_| gateway.client()).collect();
    let mut halves: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    halves.iter_mut().for_each(|client| client.write(&half[..40]));
    // Who came before them and asked keeps its connection, though it has been idle for longer than they have.
    assert_eq!(usual.ask(&call("t1", "read", 1_200)), "t1");
    silent.iter_mut().for_each(|client| assert_eq!(client.read(), ""));
    halves.iter_mut().for_each(|client| assert!(client.read().starts_with("-ERR bad syntax")));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert_eq!(usual.ask(&call("t2", "read", 1_200)), "t2");
}

#[test]
fn a_server_that_is_not_there_has_run_nothing() {
    let gone = Server {
        address: listen().1,
        does: Arc::new(Mutex::new(Does::Serve)),
        calls: Arc::default(),
        open: Arc::default(),
    };
    let server = Server::start(Does::Serve);
    let gateway = Gateway::start(&[&gone, &server]);
    let mut client = gateway.client();
    for at in 0..6 {
        assert_eq!(client.ask(&call(&format!("t{at}"), "pay", 1_200)), format!("t{at}"));
    }
}

#[test]
fn an_idle_connection_that_has_ended_is_not_written_to() {
    let server = Server::start(Does::ServeAndClose);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for at in 0..3 {
        assert_eq!(client.ask(&call(&format!("t{at}"), "pay", 1_200)), format!("t{at}"));
        thread::sleep(Duration::from_millis(120));
    }
}

#[test]
fn who_leaves_is_owed_nothing_and_its_neighbours_lose_nothing() {
    let server = Server::start(Does::Late(300));
    let gateway = Gateway::start(&[&server]);
    let (mut leaves, mut stays) = (gateway.client(), gateway.client());
    leaves.write(&call("t1", "read", 1_200));
    stays.write(&call("t2", "read", 1_200));
    while server.calls() < 2 {
        thread::yield_now();
    }
    drop(leaves);
    assert_eq!(stays.read(), "t2");
    // The trip of the one that left was given up with its connection; the other's is kept for the next.
    let began = Instant::now();
    while server.open.load(Ordering::SeqCst) != 1 {
        assert!(began.elapsed() < SOON, "{} connections", server.open.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.client().ask(&call("t3", "read", 1_200)), "t3");
    assert_eq!(server.open.load(Ordering::SeqCst), 1);
}

#[test]
fn a_silent_server_does_not_keep_a_client_past_its_hard_stop() {
    let server = Server::start(Does::Silent);
    let gateway = Gateway::start(&[&server]);
    let (mut client, began) = (gateway.client(), Instant::now());
    assert_eq!(client.ask(&call("t1", "pay", 500)), "-ERR abandoned");
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1_000), "{took:?}");
    // Its connection has ended with it, so that nothing can still run unseen.
    let began = Instant::now();
    while server.open.load(Ordering::SeqCst) > 0 {
        assert!(began.elapsed() < SOON);
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn an_id_that_is_in_use_is_not_taken_twice() {
    let server = Server::start(Does::Late(200));
    let gateway = Gateway::start(&[&server]);
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.write(&call("t1", "read", 1_200));
    while server.calls() < 1 {
        thread::yield_now();
    }
    assert_eq!(second.ask(&call("t1", "read", 1_200)), "-ERR this id is in use");
    // Who leaves before it hears so must not take the other's answer along.
    for _ in 0..20 {
        let mut third = gateway.client();
        third.write(&[call("t1", "read", 1_200), b"\r\n".to_vec()].concat());
    }
    assert_eq!(first.read(), "t1");
    assert_eq!(server.calls(), 1);
}

#[test]
fn a_gateway_is_ready_when_it_knows_a_server_and_discovery_was_asked() {
    let empty = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let alone = Gateway::unready(discovery(members(&[]), true), empty, 1024);
    thread::sleep(Duration::from_millis(100));
    assert!(alone.client().ask(&ping()).starts_with("-ERR"));
    // Discovery is silent: what was known before will do, after a while.
    let server = Server::start(Does::Serve);
    let gateway = Gateway::unready(discovery(String::new(), false), &members(&[&server]), 1024);
    let (mut client, began) = (gateway.client(), Instant::now());
    while client.ask(&ping()) != "+PONG" {
        assert!(began.elapsed() < SOON, "it does not get ready");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.ask(&call("t1", "read", 1_200)), "t1");
}

#[test]
fn a_planned_end_answers_what_came_and_comes_and_lets_idle_clients_go() {
    let server = Server::start(Does::Late(300));
    let mut gateway = Gateway::start(&[&server]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    assert_eq!(idle.ask(&ping()), "+PONG");
    busy.write(&call("t1", "read", 1_200));
    while server.calls() < 1 {
        thread::yield_now();
    }
    gateway.signal("-TERM");
    assert_eq!(idle.read(), "");
    thread::sleep(Duration::from_millis(100));
    let mut late = gateway.client();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(late.ask(&call("t2", "read", 1_200)), "t2");
    assert_eq!(late.read(), "");
    assert_eq!((busy.read(), busy.read()), ("t1".into(), String::new()));
    assert_eq!(gateway.code(Duration::from_secs(3)), Some(0));
}

#[test]
fn a_planned_end_comes_in_time_while_clients_keep_asking() {
    for _ in 0..4 {
        let server = Server::start(Does::Serve);
        let mut gateway = Gateway::start(&[&server]);
        let asks = |mut client: Client| {
            // Byte by byte, so that something is nearly always on its way when the signal comes.
            thread::spawn(move || {
                let bytes = ping();
                let mut at = 0;
                while client.stream.write_all(&bytes[at..=at]).is_ok() {
                    at = (at + 1) % bytes.len();
                }
            })
        };
        let all: Vec<_> = (0..12).map(|_| asks(gateway.client())).collect();
        thread::sleep(Duration::from_millis(50));
        gateway.signal("-TERM");
        assert_eq!(gateway.code(Duration::from_secs(4)), Some(0));
        all.into_iter().for_each(|ask| ask.join().expect("it ends"));
    }
}

#[test]
fn clients_beyond_the_limit_take_the_place_of_idle_ones_or_are_told_to_come_again() {
    let servers: Vec<Server> = (0..6).map(|_| Server::start(Does::Late(200))).collect();
    let servers: Vec<&Server> = servers.iter().collect();
    // Few enough that a test can use them up: 41 for itself and operators, 13 servers, 29 clients, 3 turned away.
    let gateway = Gateway::with_sockets(&servers, 86);
    // The one that saw it get ready has left.
    thread::sleep(Duration::from_millis(50));
    let clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    thread::sleep(Duration::from_millis(100));
    // Idle ones have made room, and no more of them than was needed.
    let stays = |client: &mut Client| {
        client.stream.set_nonblocking(true).expect("set");
        let stays = client.stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).expect("set");
        stays
    };
    let mut busy: Vec<Client> =
        clients.into_iter().filter_map(|mut client| stays(&mut client).then_some(client)).collect();
    assert_eq!(busy.len(), 29);
    // All of them busy, and then one more.
    for (at, client) in busy.iter_mut().enumerate() {
        client.write(&call(&format!("t{at}"), "read", 1_200));
    }
    thread::sleep(Duration::from_millis(20));
    let mut more = gateway.client();
    assert_eq!(more.ask(&call("more", "read", 1_200)), "-BUSY 500");
    // Whoever waited too long for a server is nacked; all are answered.
    for (at, client) in busy.iter_mut().enumerate() {
        let answer = client.read();
        assert!(answer == format!("t{at}") || answer == "-BUSY 500", "{answer} for t{at}");
    }
}

#[test]
fn a_client_that_has_just_connected_is_not_pushed_out_before_it_can_ask() {
    let server = Server::start(Does::Serve);
    let gateway = Gateway::with_sockets(&[&server], 69);
    // Clients that asked once and stay take all places; another one comes, and asks a moment later.
    let stay = |at: usize| {
        let mut client = gateway.client();
        assert_eq!(client.ask(&call(&format!("s{at}"), "read", 1_200)), format!("s{at}"));
        client
    };
    let stayed: Vec<Client> = (0..40).map(stay).collect();
    let mut new: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    thread::sleep(Duration::from_millis(30));
    for (at, client) in new.iter_mut().enumerate() {
        assert_eq!(client.ask(&call(&format!("n{at}"), "read", 1_200)), format!("n{at}"));
    }
    drop(stayed);
}

#[test]
fn half_a_command_holds_no_place_and_does_not_put_off_the_end() {
    let server = Server::start(Does::Serve);
    let mut gateway = Gateway::with_sockets(&[&server], 69);
    let half = call("half", "read", 1_200);
    let mut clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| {
        // Those that were let go may refuse it.
        let _ = client.stream.write_all(&half[..40]);
    });
    assert_eq!(gateway.client().ask(&call("t1", "read", 1_200)), "t1");
    assert_eq!(gateway.client().ask(&ping()), "+PONG");
    gateway.signal("-TERM");
    assert_eq!(gateway.code(Duration::from_secs(3)), Some(0));
}

#[test]
fn a_new_configuration_turns_to_another_list_and_a_bad_one_to_nothing() {
    let (old, new) = (Server::start(Does::Late(300)), Server::start(Does::Serve));
    let gateway = Gateway::start(&[&old]);
    let mut busy = gateway.client();
    busy.write(&call("t1", "pay", 1_200));
    while old.calls() < 1 {
        thread::yield_now();
    }
    for bad in ["", "{}", "{\"discovery\":\"nowhere\"}"] {
        std::fs::write(&gateway.file, bad).expect("written");
        gateway.signal("-HUP");
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(gateway.client().ask(&call("t2", "read", 1_200)), "t2");
    assert_eq!(new.calls(), 0);
    // The other list's versions are its own: it is asked for all, not for what is newer than the old one's.
    let listed = members(&[&new]).replace("s0", "other");
    let config = config(gateway.listen, discovery(listed, true), "null", 1024);
    std::fs::write(&gateway.file, config).expect("written");
    gateway.signal("-HUP");
    let (mut client, began) = (gateway.client(), Instant::now());
    for at in 0.. {
        assert!(began.elapsed() < SOON, "it keeps to the old list");
        let id = format!("n{at}");
        assert_eq!(client.ask(&call(&id, "read", 1_200)), id);
        if new.calls() > 0 {
            break;
        }
    }
    let before = old.calls();
    for at in 0..6 {
        let id = format!("l{at}");
        assert_eq!(client.ask(&call(&id, "read", 1_200)), id);
    }
    assert_eq!(old.calls(), before, "the server that has gone from the list gets nothing new");
    assert_eq!(busy.read(), "t1");
}

fn refused(config: &str) -> String {
    let Output { status, stderr, .. } =
        process(&file(config), listen().1).wait_with_output().expect("it ends");
    assert!(!status.success());
    let text = String::from_utf8(stderr).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn a_bad_configuration_gets_one_message_and_a_failure() {
    let (_taken, address) = listen();
    let good = config(address, address, "null", 1024);
    assert!(refused("{").contains("EOF"));
    assert!(refused("[]").contains('\''));
    assert!(refused(&good).contains("can't listen"));
    for (part, other, about) in [
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":"xyz""#, "'seed'"),
        (r#""discovery":"127"#, r#""discovery":"nowhere"#, "'discovery'"),
        (r#""effect":"read_like""#, r#""effect":"odd""#, "'lanes.0.effect=odd'"),
        (r#""dialTimeoutMs":250.0,"#, "", "dialTimeoutMs"),
        (r#""sharedCounter":false"#, r#""sharedCounter":7"#, "sharedCounter"),
        (r#""known":null"#, r#""known":{"index":1}"#, "'endpoints'"),
    ] {
        assert!(good.contains(part), "{part}");
        let why = refused(&good.replacen(part, other, 1));
        assert!(why.contains(about), "{why}");
    }
}

#[test]
fn where_places_are_short_those_who_ask_once_hold_few_and_those_who_ask_again_keep_theirs() {
    let server = Server::start(Does::Serve);
    // Clients have 198 places; those who ask once have an eighth of them, 24, once two thirds are taken.
    let gateway = Gateway::with_sockets(&[&server], 360);
    let ask = |prefix: &str, times: usize| -> Vec<Client> {
        let clients = (0..120).map(|at| {
            let mut client = gateway.client();
            for time in 0..times {
                let id = format!("{prefix}{at}-{time}");
                assert_eq!(client.ask(&call(&id, "read", 1_200)), id);
            }
            client
        });
        clients.collect()
    };
    let again = ask("again", 2);
    let once = ask("once", 1);
    thread::sleep(Duration::from_millis(50));
    let open = |clients: &[Client]| clients.iter().filter(|client| !client.ended()).count();
    // The last to fall idle may be a place away from it still.
    assert_eq!(open(&again), 120);
    assert!((24..27).contains(&open(&once)), "{} of those who asked once", open(&once));
}
