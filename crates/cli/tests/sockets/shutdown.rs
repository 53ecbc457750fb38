//! What a gateway that was told to end still owes: replies whose bytes are on their way.

use std::io::Read;
use std::thread;
use std::time::Duration;

use super::process::*;

const MIB: usize = 1024 * 1024;

/// Reads values of `length` bytes, in steps with a pause after each, and returns how many of them were complete.
fn complete_values(client: &mut Client, count: usize, length: usize, pause: Duration) -> usize {
    let reply = format!("${length}\r\n").len() + length + 2;
    let (mut received, mut part) = (0, vec![0; MIB / 4]);
    while received < count * reply {
        match client.stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(bytes) => received += bytes,
        }
        thread::sleep(pause);
    }
    received / reply
}

/// Guards against values that are cut off because the gateway ends when the longest client's deadline has passed.
#[test]
fn a_shutdown_completes_a_value_that_its_server_still_gives() {
    // The last piece comes 4.5 s after the first. The longest deadline is 1.5 s.
    let length = 400_000;
    let server = Server::start(Behavior::Paced { length, head_pause: 0, piece: 100_000, pause: 1_500 });
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.write(&request_command("long", "read", 1_400));
    assert!(client.stream.peek(&mut [0]).is_ok(), "the value begins");
    gateway.signal("-TERM");
    assert_eq!(complete_values(&mut client, 1, length, Duration::ZERO), 1);
    drop(client);
    assert_eq!(gateway.wait_for_exit(TIMEOUT), Some(0));
}

/// Guards against values that are cut off at the same moment because their client takes long to read them.
#[test]
fn a_shutdown_completes_the_values_that_a_client_still_reads() {
    // Longer than all buffers on the path, and read in 6 s.
    let (count, length) = (6, 4 * MIB);
    let servers: Vec<Server> =
        (0..count).map(|_| Server::start(Behavior::Large { length, pause: 0 })).collect();
    let mut gateway = Gateway::start(&servers.iter().collect::<Vec<_>>());
    let mut client = gateway.client();
    (0..count).for_each(|index| client.write(&request_command(&format!("long{index}"), "read", 1_400)));
    assert!(client.stream.peek(&mut [0]).is_ok(), "the first value begins");
    thread::sleep(Duration::from_millis(200));
    gateway.signal("-TERM");
    assert_eq!(complete_values(&mut client, count, length, Duration::from_millis(60)), count);
    drop(client);
    assert_eq!(gateway.wait_for_exit(TIMEOUT), Some(0));
}
