//! A server's second answer to a call, which comes when the next call on its connection has.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::process::*;

/// Longer than the gateway leaves a connection alone after a reply.
const PAUSE: Duration = Duration::from_millis(40);

/// Answers each call, and writes the answer to the call before it once more in front of that.
fn answer_twice(stream: &TcpStream) {
    use std::io::Write;
    let mut last_answer = String::new();
    commands(stream, |words| {
        let mut writer = stream;
        if words[0] == "SELECT" {
            return writer.write_all(b"+OK\r\n").is_ok();
        }
        let value = &words[2];
        let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
        let both = std::mem::replace(&mut last_answer, answer.clone()) + &answer;
        writer.write_all(both.as_bytes()).is_ok()
    });
}

fn server_that_answers_twice() -> Server {
    let (listener, address) = listen();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_twice(&stream));
        }
    });
    Server { address, does: Arc::new(Mutex::new(Does::Copy)), calls: Arc::default(), open: Arc::default() }
}

/// Danger: a client gets what was made for another's request.
#[test]
fn a_second_answer_that_comes_with_the_next_call_answers_nobody() {
    let server = server_that_answers_twice();
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for at in 0..6 {
        assert_eq!(client.ask(&call(&format!("t{at}"), "pay", 1_200)), format!("t{at}"));
        thread::sleep(PAUSE);
    }
}
