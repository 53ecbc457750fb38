//! Replies that a server writes twice. The duplicate may arrive after the connection was reused for the next call.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use async_io::Timer;
use fernscale_gateway::outcome::attempt_outcome;
use fernscale_gateway::protocol::call::{self, Call, Command};
use fernscale_gateway::protocol::reply::ServerReply;
use fernscale_gateway::protocol::resp;
use fernscale_gateway::shared::{Event, Shared};
use fernscale_gateway::upstream::{self, AttemptBounds, AttemptOrder, Order};
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::Outcome;

/// Longer than a connection must be idle before it is reused, so that the next call uses the same connection.
const PAUSE: Duration = Duration::from_millis(40);
/// The time limit of each attempt.
const LIMIT: Duration = Duration::from_millis(300);
const FIRST: &str = "*3\r\n$5\r\nfirst\r\n$-1\r\n$-1\r\n";
const NEXT: &str = "*3\r\n$4\r\nnext\r\n$-1\r\n$-1\r\n";
const OK: &str = "+OK\r\n";

/// The replies that a server writes, one after the other, after the n-th command on a connection. After the commands of the
/// script it waits for one more, and closes the connection.
type Script = Vec<Vec<&'static str>>;
/// The outcome of a call, and the value in its reply.
type CallEnd = (Outcome, String);
/// The number of a connection, from 0, and the name of a command that the server received on it.
type SeenCommand = (usize, String);

/// Starts a server, and returns its address and the commands that it receives.
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
    let (mut bytes, mut chunk) = (Vec::new(), [0; 1024]);
    for replies in script {
        let command = loop {
            if let Some((words, length)) = resp::command(&bytes).expect("a valid command") {
                let command = String::from_utf8_lossy(words[0]).into_owned();
                bytes.drain(..length);
                break command;
            }
            match stream.read(&mut chunk) {
                Ok(count @ 1..) => bytes.extend_from_slice(&chunk[..count]),
                _ => return,
            }
        };
        let _ = commands.send((number, command));
        if stream.write_all(replies.concat().as_bytes()).is_err() {
            return;
        }
    }
    let _ = stream.read(&mut chunk);
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

fn new_call(shared: &Shared, id: &str) -> Rc<Call> {
    let words = [&b"CALL.GET"[..], b"00000000b4d65521", id.as_bytes(), b"c=read,t=team,d=9000"];
    let Ok(Command::Call(call)) = call::command(&words, &shared.platform) else { panic!("a call") };
    Rc::new(call)
}

/// Makes `count` calls, one after the other, to a server with this script. Returns the end of each call, and the commands that
/// the server received.
fn calls(script: Script, count: usize) -> (Vec<CallEnd>, Vec<SeenCommand>) {
    let (address, commands) = server(script);
    let shared = Rc::new(support::shared(platform()));
    let (events, ended) = async_channel::bounded(8);
    let orders = upstream::start(&shared, &events, &"s0".into(), address);
    let all = async {
        let mut ends = Vec::new();
        for number in 0..count {
            Timer::after(PAUSE).await;
            let call = new_call(&shared, &format!("t{number}"));
            let bounds = AttemptBounds::until(Instant::now() + LIMIT);
            let order = AttemptOrder { call, attempt: 0, bounds, listed_start: None };
            orders.send(Order::Attempt(order)).await.expect("the actor runs");
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
            Event::ResponseStarted { response, .. } => {
                while response.pieces.recv().await.is_ok() {}
                streamed = response.length;
            }
            Event::AttemptCompleted(completed) => {
                let value = match &completed.end {
                    Ok((ServerReply::Completed { value, .. }, _)) => {
                        String::from_utf8_lossy(value).into_owned()
                    }
                    Ok((ServerReply::Streamed { .. }, _)) => format!("{streamed} bytes"),
                    _ => String::new(),
                };
                return (attempt_outcome(&completed.end), value);
            }
            _ => panic!("another event"),
        }
    }
}

/// The end of the second call. The server writes `replies` after that call, and `next_replies` after the command that follows.
fn second_call(replies: Vec<&'static str>, next_replies: Vec<&'static str>) -> CallEnd {
    let (mut ends, _) = calls(vec![vec![FIRST], replies, next_replies], 2);
    assert_eq!(ends[0], (Outcome::Ok, "first".into()));
    ends.remove(1)
}

fn commands_on_one_connection(commands: &[&str]) -> Vec<SeenCommand> {
    commands.iter().map(|command| (0, (*command).into())).collect()
}

#[test]
fn a_duplicate_is_not_taken_for_the_reply_to_the_next_call() {
    let next = (Outcome::Ok, "next".into());
    assert_eq!(second_call(vec![FIRST, NEXT], vec![OK]), next, "duplicate and reply arrive together");
    assert_eq!(second_call(vec![FIRST], vec![NEXT, OK]), next, "the reply arrives later");
    assert_eq!(second_call(vec![FIRST, FIRST, NEXT], vec![OK]), next, "two duplicates");
    assert_eq!(second_call(vec![FIRST, FIRST], vec![FIRST, NEXT, OK]), next, "three duplicates");
    // Once a different value has arrived, no further message is awaited.
    assert_eq!(second_call(vec![FIRST, NEXT], vec![]), next, "the server falls silent");
}

#[test]
fn a_long_value_after_a_duplicate_is_streamed() {
    let value: &'static str = format!("*3\r\n$80000\r\n{}\r\n$-1\r\n$-1\r\n", "v".repeat(80_000)).leak();
    assert_eq!(second_call(vec![FIRST, value], vec![OK]), (Outcome::Ok, "80000 bytes".into()));
}

/// Guards against a call that may have been executed being reported as not executed, and against serving another call's value.
#[test]
fn a_call_whose_reply_can_not_be_distinguished_from_a_duplicate_may_have_been_executed() {
    let ends = |replies, next_replies| second_call(replies, next_replies).0;
    assert_eq!(ends(vec![FIRST], vec!["-BUSY\r\n", OK]), Outcome::Error);
    assert_eq!(ends(vec![FIRST], vec!["-ERR failed\r\n", OK]), Outcome::Error);
    assert_eq!(ends(vec![FIRST, "?noise\r\n"], vec![OK]), Outcome::Error);
    assert_eq!(ends(vec![FIRST], vec![]), Outcome::TimedOut, "the server falls silent");
    let (closed, _) = calls(vec![vec![FIRST], vec![FIRST]], 2);
    let reset = closed[1].0;
    assert!(reset == Outcome::Reset, "the server closes the connection: {reset:?}");
}

#[test]
fn equal_values_of_several_calls_are_all_served_on_one_connection() {
    let equal =
        vec![vec![FIRST], vec![FIRST], vec![OK], vec![FIRST], vec![OK], vec![NEXT], vec![OK], vec![FIRST]];
    let (ends, received) = calls(equal, 5);
    let values: Vec<&str> = ends.iter().map(|(_, value)| value.as_str()).collect();
    assert_eq!(values, ["first", "first", "first", "next", "first"]);
    let (call, fence) = ("CALL.GET", "SELECT");
    assert_eq!(received, commands_on_one_connection(&[call, call, fence, call, fence, call, fence, call]));
}

/// A fence that is written only after the value has arrived would double the latency of a slow server.
#[test]
fn a_fence_is_written_with_the_call_if_the_previous_values_were_equal() {
    // The server answers the third call only after it has received the next command.
    let (ends, _) = calls(vec![vec![FIRST], vec![FIRST], vec![OK], vec![], vec![FIRST, OK]], 3);
    assert_eq!(ends[2], (Outcome::Ok, "first".into()));
}

/// Guards against serving a value of a wrong length, whose reply lacks an item, because the reply to the fence follows it.
#[test]
fn the_reply_to_a_fence_does_not_complete_a_reply_whose_value_has_a_wrong_length() {
    const TOO_LONG_BY_5: &str = "*3\r\n$10\r\nthird\r\n$-1\r\n$-1\r\n";
    // The fence is written together with the third call, as the two values before were equal.
    let (ends, received) = calls(vec![vec![FIRST], vec![FIRST], vec![OK], vec![TOO_LONG_BY_5], vec![OK]], 3);
    assert_eq!(ends[2], (Outcome::Error, String::new()));
    let (call, fence) = ("CALL.GET", "SELECT");
    assert_eq!(received, commands_on_one_connection(&[call, call, fence, call, fence]));
}

#[test]
fn different_values_need_no_fence_and_a_duplicate_does_not_close_the_connection() {
    let (_, received) = calls(vec![vec![FIRST], vec![NEXT], vec![FIRST]], 3);
    assert_eq!(received, commands_on_one_connection(&["CALL.GET"; 3]));
    let (ends, received) = calls(vec![vec![FIRST], vec![FIRST, NEXT], vec![OK], vec![FIRST]], 3);
    assert_eq!(ends[2], (Outcome::Ok, "first".into()));
    assert_eq!(received, commands_on_one_connection(&["CALL.GET", "CALL.GET", "SELECT", "CALL.GET"]));
}

#[test]
fn a_connection_with_an_unexpected_message_before_the_fence_reply_is_not_reused() {
    let (_, received) = calls(vec![vec![FIRST], vec![FIRST, NEXT], vec![NEXT, OK]], 3);
    assert_eq!(received.last(), Some(&(1, "CALL.GET".into())));
}
