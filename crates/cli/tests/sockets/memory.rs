//! The memory of a gateway stays within its limit, whatever clients do.

use std::io::{Read, Write};
use std::thread;
use std::time::Duration;

use fernscale_gateway::protocol::resp;

use super::process::*;

const MEMORY_MB: usize = 32;
/// More tenants than that memory could hold.
const TENANTS: usize = 120_000;

fn with_little_memory(config: String) -> String {
    config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
}

/// The most memory that the gateway has had so far, in MiB.
fn peak_memory(gateway: &Gateway) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let kilobytes: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes / 1024
}

/// Guards against a gateway that remembers each of the tenants that a client makes up.
#[test]
fn ever_new_tenants_take_no_more_than_their_part_of_the_memory() {
    let servers: Vec<Server> = (0..4).map(|_| Server::start(Behavior::Serve)).collect();
    let gateway = Gateway::start_with(&servers.iter().collect::<Vec<_>>(), 1024, with_little_memory);
    let client = gateway.client();
    let mut reader = client.stream.try_clone().expect("a handle");
    let answers = thread::spawn(move || {
        let mut part = vec![0; 64 * 1024];
        while reader.read(&mut part).is_ok_and(|count| count > 0) {}
    });
    let mut writer = client;
    for first in (0..TENANTS).step_by(100) {
        let commands = (first..first + 100).flat_map(|number| {
            let (tenant, id) = (format!("{number:016x}"), format!("n{number}"));
            let fields = b"c=read,t=team,d=1400,units=1,spread=1,first=0";
            resp::write_command(&[b"CALL.GET", tenant.as_bytes(), id.as_bytes(), fields])
        });
        writer.write(&commands.collect::<Vec<u8>>());
    }
    let peak = peak_memory(&gateway);
    drop(writer);
    answers.join().expect("the reader ends");
    assert!(peak < MEMORY_MB, "{peak} MiB after {TENANTS} tenants");
    // One of those tenants can be forgotten now.
    thread::sleep(Duration::from_millis(1_100));
    assert_eq!(gateway.client().request(&request_command("usual", "read", 1_400)), "usual");
}

/// Guards against replies that pile up without a bound while their clients read slowly.
#[test]
fn replies_to_clients_that_read_slowly_take_no_more_than_their_part_of_the_memory() {
    let servers: Vec<Server> =
        (0..90).map(|_| Server::start(Behavior::Large { length: 64_000, pause: 0 })).collect();
    let gateway = Gateway::start_with(&servers.iter().collect::<Vec<_>>(), 1024, with_little_memory);
    let mut slow: Vec<Client> = (0..45).map(|_| gateway.client()).collect();
    for (number, client) in slow.iter().enumerate() {
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 4 * 1024).expect("set");
        let (mut writer, stream) = (client.stream.try_clone().expect("a handle"), client.stream.try_clone());
        let mut stream = stream.expect("a handle");
        // Reads 20 KB a second.
        thread::spawn(move || {
            while stream.read(&mut [0; 2_000]).is_ok_and(|count| count > 0) {
                thread::sleep(Duration::from_millis(100));
            }
        });
        thread::spawn(move || {
            // Their replies fill the kernel's buffers first.
            for index in 0..250 {
                if writer
                    .write_all(&request_command(&format!("slow-{number}-{index}"), "read", 1_400))
                    .is_err()
                {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }
    let mut usual = gateway.client();
    for index in 0..30 {
        let answer = usual.request(&request_command(&format!("usual{index}"), "read", 1_400));
        assert!(answer.len() == 64_000 || answer.starts_with("-BUSY"), "{} bytes", answer.len());
        thread::sleep(Duration::from_millis(200));
    }
    let peak = peak_memory(&gateway);
    slow.clear();
    assert!(peak < MEMORY_MB, "{peak} MiB beside clients that read slowly");
}
