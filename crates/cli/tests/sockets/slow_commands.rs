//! Commands that their clients write slowly.

use std::thread;
use std::time::{Duration, Instant};

use fernscale_gateway::protocol::resp;

use super::process::*;

fn long_command(id: &str, body_length: usize) -> Vec<u8> {
    let body = vec![b'b'; body_length];
    resp::write_command(&[
        b"CALL.POST",
        b"00000000b4d65521",
        id.as_bytes(),
        b"c=read,t=team,d=1400,units=1,spread=1,first=0",
        &body,
    ])
}

/// Guards against a client that is cut off in the middle of a command because the command as a whole takes long.
#[test]
fn a_long_command_that_is_written_slowly_is_served() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    // Four seconds, which no pause in them comes near.
    for piece in long_command("slow", 60_000).chunks(3_000) {
        client.write(piece);
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(client.read(), "slow");
}

/// Guards against clients that keep a connection for ever with a byte now and then, or that stop.
#[test]
fn a_command_that_hardly_makes_progress_or_stops_gets_an_error() {
    let server = Server::start(Behavior::Serve);
    let gateway = Gateway::start(&[&server]);
    let command = long_command("stopped", 20_000);
    for (pieces, pause) in [(1, 0), (40, 300)] {
        let (mut client, began_at) = (gateway.client(), Instant::now());
        for piece in command[..40].chunks(40 / pieces) {
            client.write(piece);
            thread::sleep(Duration::from_millis(pause));
            if client.is_closed() {
                break;
            }
        }
        assert!(client.read().starts_with("-ERR bad syntax"), "{pieces} pieces");
        assert!(began_at.elapsed() < Duration::from_millis(3_000 + pause), "{:?}", began_at.elapsed());
    }
}
