//! Signals in series: none is lost, and none waits for those before it.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use super::process::*;

/// More than the system queues for a process that is busy with the one before.
const RELOADS: usize = 3_000;
/// Signals that come together are one; these come apart.
const BETWEEN: Duration = Duration::from_micros(100);
/// Reading the configuration again takes some milliseconds with so many servers.
const SERVERS: usize = 3_000;
/// A shutdown without clients takes 0.7 s, and may find a reload under way.
const ENDS_WITHIN: Duration = Duration::from_secs(3);

fn large_list() -> String {
    let server = |number: usize| {
        format!(
            r#"{{"name":"s{number}","address":"127.0.0.1:1","zone":"a","type":"m","group":0,
                "status":"in_service","weight":1.0,"since_ms":0}}"#
        )
    };
    let servers: Vec<String> = (0..SERVERS).map(server).collect();
    format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, servers.join(","))
}

/// Guards against a SIGTERM that is lost, or heard seconds later, behind a series of SIGHUP: the kill that follows it would
/// meet requests in flight.
#[test]
fn a_gateway_ends_in_time_after_a_series_of_reloads() {
    let list = large_list();
    let mut gateway = Gateway::unready(discovery(list.clone(), true), &list, 1024).ready();
    let process = Pid::from_child(&gateway.process);
    for _ in 0..RELOADS {
        kill_process(process, Signal::HUP).expect("signalled");
        thread::sleep(BETWEEN);
    }
    kill_process(process, Signal::TERM).expect("signalled");
    let began = Instant::now();
    assert_eq!(gateway.code(Duration::from_secs(20)), Some(0));
    let took = began.elapsed();
    assert!(took < ENDS_WITHIN, "it took {took:?} to end");
}
