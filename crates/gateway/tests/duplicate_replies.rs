//! Replies that a server writes twice: the second one may come when its connection has been taken for the next call.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use async_io::Timer;
use fernscale_gateway::outcome::of_attempt;
use fernscale_gateway::protocol::call::{self, Call, Command, ServerReply};
use fernscale_gateway::protocol::resp;
use fernscale_gateway::shared::{Event, Shared};
use fernscale_gateway::upstream::{self, Order};
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::Outcome;

/// Longer than connections rest after a reply, so that the next call is written on the same one.
const PAUSE: Duration = Duration::from_millis(40);
const LIMIT: Duration = Duration::from_millis(300);
const FIRST: &str = "*3\r\n$5\r\nfirst\r\n$-1\r\n$-1\r\n";
const NEXT: &str = "*3\r\n$4\r\nnext\r\n$-1\r\n$-1\r\n";
const OK: &str = "+OK\r\n";

/// What a server writes when the n-th command on a connection has come, one behind the other; it closes the connection at the
/// command behind the last.
type Script = Vec<Vec<&'static str>>;
/// How a call ended, and the value that it got.
type CallEnd = (Outcome, String);
/// The number of a connection, from 0, and the first word of a command that came on it.
type SeenCommand = (usize, String);

/// A server, and the commands that come to it.
fn server(script: Script) -> (SocketAddr, Receiver<SeenCommand>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, commands) = channel();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (script, sender) = (script.clone(), sender.clone());
            thread::spawn(move || follow_script(stream, &script, number, &sender));
        }
    });
    (address, commands)
}

fn follow_script(mut stream: TcpStream, script: &Script, number: usize, commands: &Sender<SeenCommand>) {
    let (mut bytes, mut part) = (Vec::new(), [0; 1024]);
    for replies in script {
        let command = loop {
            if let Some((words, length)) = resp::command(&bytes).expect("a command in good form") {
                let command = String::from_utf8_lossy(words[0]).into_owned();
                bytes.drain(..length);
                break command;
            }
            match stream.read(&mut part) {
                Ok(count @ 1..) => bytes.extend_from_slice(&part[..count]),
                _ => return,
            }
        };
        let _ = commands.send((number, command));
        if stream.write_all(replies.concat().as_bytes()).is_err() {
            return;
        }
    }
    let _ = stream.read(&mut part);
}

fn platform() -> PlatformSettings {
    PlatformSettings {
        class_names: vec!["read".into()],
        plan_names: vec!["team".into()],
        gateway_count: 1,
        connect_timeout: 250_000,
        idle_timeout: 15_000_000,
        max_client_wait: 9_000_000,
        max_units: 1e6,
        ..PlatformSettings::default()
    }
}

fn a_call(shared: &Shared, id: &str) -> Rc<Call> {
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", id.as_bytes(), b"c=read,t=team,d=9000"];
    let Ok(Command::Call(call)) = call::command(&words, &shared.platform) else { panic!("a call") };
    Rc::new(call)
}

/// How each of so many calls, one after the other, ends at a server with this script; and the commands that came to it.
fn calls(script: Script, count: usize) -> (Vec<CallEnd>, Vec<SeenCommand>) {
    let (address, commands) = server(script);
    let shared = Rc::new(support::shared(platform()));
    let (events, ended) = async_channel::bounded(8);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    let all = async {
        let mut ends = Vec::new();
        for number in 0..count {
            Timer::after(PAUSE).await;
            let call = a_call(&shared, &format!("t{number}"));
            let (limit, created_at) = (LIMIT.as_micros() as u64, Instant::now());
            orders
                .send(Order::Attempt { call, attempt: 0, limit, created_at })
                .await
                .expect("the actor runs");
            ends.push(end_of_call(&ended).await);
        }
        ends
    };
    let ends = async_io::block_on(shared.executor.run(all));
    (ends, commands.try_iter().collect())
}

async fn end_of_call(events: &async_channel::Receiver<Event>) -> CallEnd {
    let mut streamed = 0;
    loop {
        match events.recv().await.expect("the actor runs") {
            Event::ResponseStarted { flow, .. } => {
                while flow.pieces.recv().await.is_ok() {}
                streamed = flow.length;
            }
            Event::AttemptCompleted(completed) => {
                let value = match &completed.end {
                    Ok((ServerReply::Completed { value, .. }, _)) => {
                        String::from_utf8_lossy(value).into_owned()
                    }
                    Ok((ServerReply::Streamed { .. }, _)) => format!("{streamed} bytes"),
                    _ => String::new(),
                };
                return (of_attempt(&completed.end), value);
            }
            _ => panic!("another event"),
        }
    }
}

/// How the second call ends where the server writes this when it has come, and that when the command behind it has.
fn second_call(replies: Vec<&'static str>, behind: Vec<&'static str>) -> CallEnd {
    let (mut ends, _) = calls(vec![vec![FIRST], replies, behind], 2);
    assert_eq!(ends[0], (Outcome::Ok, "first".into()));
    ends.remove(1)
}

fn on_one_connection(commands: &[&str]) -> Vec<SeenCommand> {
    commands.iter().map(|command| (0, (*command).into())).collect()
}

#[test]
fn a_duplicate_that_crosses_the_next_call_is_not_taken_for_its_reply() {
    let next = (Outcome::Ok, "next".into());
    assert_eq!(second_call(vec![FIRST, NEXT], vec![OK]), next, "both are there at once");
    assert_eq!(second_call(vec![FIRST], vec![NEXT, OK]), next, "the reply is still to come");
    assert_eq!(second_call(vec![FIRST, FIRST, NEXT], vec![OK]), next, "two duplicates");
    assert_eq!(second_call(vec![FIRST, FIRST], vec![FIRST, NEXT, OK]), next, "three");
    // Nothing behind the reply is waited for.
    assert_eq!(second_call(vec![FIRST, NEXT], vec![]), next, "the server falls silent");
}

#[test]
fn a_long_value_behind_a_duplicate_is_passed_on() {
    let value: &'static str = format!("*3\r\n$80000\r\n{}\r\n$-1\r\n$-1\r\n", "v".repeat(80_000)).leak();
    assert_eq!(second_call(vec![FIRST, value], vec![OK]), (Outcome::Ok, "80000 bytes".into()));
}

/// Danger: what may have been executed passes for what was not, or another call's value is served.
#[test]
fn a_call_whose_reply_is_not_told_from_a_duplicate_may_have_been_executed() {
    let ends = |replies, behind| second_call(replies, behind).0;
    assert_eq!(ends(vec![FIRST], vec!["-BUSY\r\n", OK]), Outcome::Error);
    assert_eq!(ends(vec![FIRST], vec!["-ERR failed\r\n", OK]), Outcome::Error);
    assert_eq!(ends(vec![FIRST, "?noise\r\n"], vec![OK]), Outcome::Error);
    assert_eq!(ends(vec![FIRST], vec![]), Outcome::TimedOut, "the server falls silent");
    let (closed, _) = calls(vec![vec![FIRST], vec![FIRST]], 2);
    let reset = closed[1].0;
    assert!(reset == Outcome::Reset, "the connection ends: {reset:?}");
}

#[test]
fn equal_values_of_several_calls_are_all_served_on_one_connection() {
    let equal =
        vec![vec![FIRST], vec![FIRST], vec![OK], vec![FIRST], vec![OK], vec![NEXT], vec![OK], vec![FIRST]];
    let (ends, came) = calls(equal, 5);
    let values: Vec<&str> = ends.iter().map(|(_, value)| value.as_str()).collect();
    assert_eq!(values, ["first", "first", "first", "next", "first"]);
    let (call, fence) = ("CALL.GET", "SELECT");
    assert_eq!(came, on_one_connection(&[call, call, fence, call, fence, call, fence, call]));
}

/// A fence that is written once a value has come would take a server that is slow to answer it as long again.
#[test]
fn a_fence_is_written_with_the_call_where_values_have_been_equal() {
    // The third call is answered only when the command behind it is there.
    let (ends, _) = calls(vec![vec![FIRST], vec![FIRST], vec![OK], vec![], vec![FIRST, OK]], 3);
    assert_eq!(ends[2], (Outcome::Ok, "first".into()));
}

#[test]
fn different_values_need_no_fence_and_a_duplicate_costs_no_connection() {
    let (_, came) = calls(vec![vec![FIRST], vec![NEXT], vec![FIRST]], 3);
    assert_eq!(came, on_one_connection(&["CALL.GET"; 3]));
    let (ends, came) = calls(vec![vec![FIRST], vec![FIRST, NEXT], vec![OK], vec![FIRST]], 3);
    assert_eq!(ends[2], (Outcome::Ok, "first".into()));
    assert_eq!(came, on_one_connection(&["CALL.GET", "CALL.GET", "SELECT", "CALL.GET"]));
}

#[test]
fn a_connection_on_which_more_comes_than_the_reply_to_a_fence_is_not_used_again() {
    let (_, came) = calls(vec![vec![FIRST], vec![FIRST, NEXT], vec![NEXT, OK]], 3);
    assert_eq!(came.last(), Some(&(1, "CALL.GET".into())));
}
