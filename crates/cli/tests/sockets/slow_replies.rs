//! Replies that their servers write slowly: as long as bytes come, only the client's deadline ends the wait for them.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

use super::process::*;

/// The client's wait. The settings allow connecting a tenth of it.
const TIME_LEFT_MS: u64 = 2_500;

fn with_long_waits(config: String) -> String {
    config.replace("\"giveUpMs\":1500.0", "\"giveUpMs\":2500.0")
}

/// Starts two servers with this behavior. Returns the length of the value that a client is served, or the other answer, and how
/// many attempts were made.
fn request(behavior: Behavior, class: &str, time_left_ms: u64) -> (Result<usize, String>, usize) {
    let servers = [Server::start(behavior), Server::start(behavior)];
    let gateway = Gateway::start_with(&[&servers[0], &servers[1]], 1024, with_long_waits);
    let mut client = gateway.client();
    client.write(&request_command("slow", class, time_left_ms));
    let served = read_value(&mut client.stream);
    (served, servers[0].calls() + servers[1].calls())
}

/// Reads a value of any length, and gives its length; or the line of another answer, or what was received before the end.
fn read_value(stream: &mut TcpStream) -> Result<usize, String> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line");
    let length = line.trim_end().strip_prefix('$').and_then(|length| length.parse().ok());
    let length: usize = length.ok_or_else(|| line.trim_end().to_string())?;
    let mut value = vec![0; length + 2];
    reader.read_exact(&mut value).map_err(|error| format!("the head, then {error}"))?;
    let is_sound = value[..length].iter().all(|byte| *byte == b'v') && value.ends_with(b"\r\n");
    is_sound.then_some(length).ok_or_else(|| "another value".into())
}

/// Guards against attempts that are cut off because a limit on the whole reply, and not on a pause in it, has passed.
#[test]
fn a_reply_that_is_written_slowly_is_served_from_its_first_attempt() {
    for (length, head_pause, piece, pause) in [
        // The value is late behind its head.
        (250_000, 950, 250_000, 0),
        // A part of a short value is late.
        (600, 0, 300, 600),
        // Pieces that come one by one.
        (40_000, 0, 1_000, 40),
        // The first bytes of a long value come slowly, and its last bytes after the client's deadline.
        (80_000, 100, 500, 20),
    ] {
        let behavior = Behavior::Paced { length, head_pause, piece, pause };
        for class in ["read", "pay"] {
            let (served, attempts) = request(behavior, class, TIME_LEFT_MS);
            assert_eq!(
                (served, attempts),
                (Ok(length), 1),
                "{class}: {length} bytes, pauses {head_pause}, {pause}"
            );
        }
    }
}

/// Guards against the same cut at the client's deadline: of a long value the first bytes have to come in time, not the last.
#[test]
fn a_long_value_whose_head_has_come_is_served_beyond_the_deadline() {
    let behavior = Behavior::Paced { length: 100_000, head_pause: 1_000, piece: 50_000, pause: 200 };
    assert_eq!(request(behavior, "pay", 800), (Ok(100_000), 1));
}

/// Guards against a reply that is cut off between the pieces of its first line.
#[test]
fn a_reply_whose_first_line_comes_in_two_pieces_is_served_from_its_first_attempt() {
    assert_eq!(request(Behavior::SplitHead { pause: 600 }, "read", TIME_LEFT_MS), (Ok(10), 1));
}
