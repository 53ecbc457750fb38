//! Requests that come again under the same id.

use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

/// How long the server works on a request.
const WORK_MS: u64 = 400;

fn wait_for_calls(server: &Server, count: usize) {
    let started_at = Instant::now();
    while server.calls() < count {
        assert!(started_at.elapsed() < TIMEOUT, "call {count} does not come");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a request that runs twice, as it is forgotten as soon as its client has left.
#[test]
fn a_request_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    let server = Server::start(Behavior::Delayed(WORK_MS));
    let gateway = Gateway::start(&[&server]);
    for (round, pause) in [0, 50, 300, 1_200].into_iter().enumerate() {
        let command = request_command(&format!("order{round}"), "pay", 1_400);
        let mut client = gateway.client();
        client.write(&command);
        wait_for_calls(&server, round + 1);
        drop(client);
        thread::sleep(Duration::from_millis(pause));
        let answer = gateway.client().request(&command);
        assert_eq!(server.calls(), round + 1, "{pause} ms later it ran again, and was answered {answer}");
        assert!(answer.starts_with("-ERR"), "{pause} ms later: {answer}");
    }
}

/// Guards against the same for a request that has been answered, and against refusing what may run again.
#[test]
fn an_answered_request_does_not_run_again_unless_it_is_idempotent() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    for (class, second) in [("pay", "-ERR abandoned"), ("read", "id-read")] {
        let id = format!("id-{class}");
        let command = request_command(&id, class, 1_400);
        assert_eq!(gateway.client().request(&command), id);
        assert_eq!(gateway.client().request(&command), second);
    }
}
