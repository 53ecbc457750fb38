//! Series of signals: no signal is lost or delayed by the signals before it.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use super::process::*;

/// More signals than the system queues for a process that is still handling an earlier one.
const RELOADS: usize = 3_000;
/// The system merges signals that arrive at the same time. This interval keeps them separate.
const SIGNAL_INTERVAL: Duration = Duration::from_micros(100);
/// With this many servers a reload of the configuration takes some milliseconds.
const SERVER_COUNT: usize = 3_000;
/// A shutdown without clients takes 0.7 s, and may have to wait for a reload.
const MAX_SHUTDOWN: Duration = Duration::from_secs(3);

fn large_endpoint_list() -> String {
    let server = |number: usize| {
        format!(
            r#"{{"name":"s{number}","address":"127.0.0.1:1","zone":"a","type":"m","group":0,
                "status":"in_service","weight":1.0,"since_ms":0}}"#
        )
    };
    let servers: Vec<String> = (0..SERVER_COUNT).map(server).collect();
    format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, servers.join(","))
}

/// Guards against a SIGTERM that is lost, or handled seconds late, after a series of SIGHUP. The SIGKILL that follows an
/// overdue shutdown would abort requests in flight.
#[test]
fn a_gateway_shuts_down_in_time_after_a_series_of_reloads() {
    let list = large_endpoint_list();
    let mut gateway = Gateway::start_unready(discovery(list.clone(), true), &list, 1024).wait_until_ready();
    let process = Pid::from_child(&gateway.process);
    for _ in 0..RELOADS {
        kill_process(process, Signal::HUP).expect("signalled");
        thread::sleep(SIGNAL_INTERVAL);
    }
    kill_process(process, Signal::TERM).expect("signalled");
    let started_at = Instant::now();
    assert_eq!(gateway.wait_for_exit(Duration::from_secs(20)), Some(0));
    let took = started_at.elapsed();
    assert!(took < MAX_SHUTDOWN, "the shutdown took {took:?}");
}
