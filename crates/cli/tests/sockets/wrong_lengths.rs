//! Replies in which the announced length of the value is wrong.

use std::io::Read;

use super::process::*;

/// A reply without units and load report.
const NO_REPORT: &str = "$-1\r\n$-1\r\n";
/// A reply with units and a load report.
const REPORT: &str = "$6\r\ncost=1\r\n$9\r\npending=7\r\n";
/// The length of a value that is streamed.
const LONG: usize = 100_000;

/// All bytes that a client gets for one request, until the gateway has answered a PING behind it or ended the connection.
fn received_bytes(gateway: &Gateway, class: &str) -> String {
    let mut client = gateway.client();
    client.write(&[request_command("t1", class, 1_200), ping()].concat());
    let mut received = Vec::new();
    let mut part = [0; 64 * 1024];
    while !received.ends_with(b"+PONG\r\n") {
        match client.stream.read(&mut part) {
            Ok(count @ 1..) => received.extend_from_slice(&part[..count]),
            _ => break,
        }
    }
    String::from_utf8(received).expect("text")
}

/// Guards against serving a client, as a part of its value, what the server wrote behind the value.
#[test]
fn a_value_with_a_wrong_length_is_never_served() {
    for (excess, items) in
        [(5, NO_REPORT), (10, NO_REPORT), (4, REPORT), (12, REPORT), (16, REPORT), (27, REPORT)]
    {
        for closes in [false, true] {
            let wrong = Server::start(Behavior::WrongLength { length: 2, excess, items, closes });
            let gateway = Gateway::start(&[&wrong]);
            let received = received_bytes(&gateway, "pay");
            assert_eq!(received, "-ERR abandoned\r\n+PONG\r\n", "{excess} bytes too long, closes: {closes}");
        }
    }
}

#[test]
fn a_value_with_a_wrong_length_is_replaced_by_that_of_another_server() {
    let wrong =
        Server::start(Behavior::WrongLength { length: 2, excess: 5, items: NO_REPORT, closes: false });
    let good = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&wrong, &good]);
    while wrong.calls() == 0 {
        assert_eq!(received_bytes(&gateway, "read"), "$2\r\nt1\r\n+PONG\r\n");
    }
}

/// Guards against ending a streamed value with a line end although its length is wrong: the client could not tell.
#[test]
fn a_long_value_with_a_wrong_length_is_truncated() {
    for (excess, items) in [(5, NO_REPORT), (10, NO_REPORT), (4, REPORT), (27, REPORT)] {
        for closes in [false, true] {
            let wrong = Server::start(Behavior::WrongLength { length: LONG, excess, items, closes });
            let gateway = Gateway::start(&[&wrong]);
            let received = received_bytes(&gateway, "read");
            let head = format!("${}\r\n", LONG + excess);
            assert!(received.starts_with(&head), "{:?}", &received[..20.min(received.len())]);
            assert_eq!(
                received.len(),
                head.len() + LONG + excess,
                "{excess} bytes too long, closes: {closes}"
            );
            assert_eq!(wrong.calls(), 1);
        }
    }
}
