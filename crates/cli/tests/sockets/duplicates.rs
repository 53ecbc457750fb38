//! A server that repeats an answer when it receives the next attempt on the connection.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::process::*;

/// Longer than the time for which the gateway doesn't reuse a connection after a reply.
const PAUSE: Duration = Duration::from_millis(40);

/// Answers each attempt. Repeats the previous answer before the new one.
fn repeat_previous_answer(stream: &TcpStream) {
    use std::io::Write;
    let mut last_answer = String::new();
    read_commands(stream, |arguments| {
        let mut writer = stream;
        if arguments[0] == "SELECT" {
            return writer.write_all(b"+OK\r\n").is_ok();
        }
        let value = &arguments[2];
        let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
        let both = std::mem::replace(&mut last_answer, answer.clone()) + &answer;
        writer.write_all(both.as_bytes()).is_ok()
    });
}

fn server_that_repeats_answers() -> Server {
    let (listener, address) = bind_listener();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || repeat_previous_answer(&stream));
        }
    });
    Server {
        address,
        behavior: Arc::new(Mutex::new(Behavior::DuplicateReply)),
        calls: Arc::default(),
        open_connections: Arc::default(),
    }
}

/// Guards against a client that receives the answer to another client's request.
#[test]
fn a_repeated_answer_that_arrives_with_the_next_attempt_is_not_forwarded() {
    let server = server_that_repeats_answers();
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for index in 0..6 {
        assert_eq!(client.request(&request_command(&format!("t{index}"), "pay", 1_200)), format!("t{index}"));
        thread::sleep(PAUSE);
    }
}
