//! The log records of one request: its acceptance, each attempt, its answer, and the reason if it failed or was rejected.

use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

/// A gateway that logs all records as JSON objects, and these records.
struct LoggingGateway {
    process: Child,
    client: Client,
    records: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl Drop for LoggingGateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl LoggingGateway {
    fn start(servers: &[&Server]) -> Self {
        let (listen, operator) = (bind_listener().1, bind_listener().1);
        let own_config =
            write_temporary_file("[log]\nform = \"json\"\nlevel = \"debug\"\nmost-a-second = 1000\n");
        let platform =
            write_temporary_file(&config(listen, discovery(endpoint_list(servers), true), NO_SERVERS, 1024));
        let mut process = spawn_gateway_with_own_config(&own_config, &platform, operator);
        let mut lines = BufReader::new(process.stderr.take().expect("piped")).lines().map_while(Result::ok);
        assert!(lines.any(|line| line.contains("gateway.starts")), "the gateway starts");
        let records = Arc::new(Mutex::new(Vec::new()));
        let collected = records.clone();
        thread::spawn(move || {
            let objects = lines.filter_map(|line| serde_json::from_str(&line).ok());
            objects.for_each(|record| collected.lock().expect("records").push(record));
        });
        let mut gateway = LoggingGateway { process, client: Client::connect(listen), records };
        let started_at = Instant::now();
        while gateway.client.request(&ping()) != "+PONG" {
            assert!(started_at.elapsed() < TIMEOUT, "the gateway does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    /// Waits for a record of a request with this event. Returns all events of the request, and the field `why` of the record.
    fn events_and_reason(&self, id: &str, event: &str) -> (Vec<String>, String) {
        let started_at = Instant::now();
        loop {
            let records = self.records.lock().expect("records").clone();
            let request_records: Vec<_> = records.into_iter().filter(|record| record["id"] == id).collect();
            if let Some(record) = request_records.iter().find(|record| record["event"] == event) {
                let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_string();
                return (
                    request_records.iter().map(|record| text(&record["event"])).collect(),
                    text(&record["why"]),
                );
            }
            assert!(started_at.elapsed() < TIMEOUT, "no record '{event}' of request '{id}'");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn the_log_shows_each_attempt_of_a_request_its_answer_and_the_reason() {
    for (class, answer, attempts, why) in
        [("pay", "-ERR abandoned", 1, "not-repeatable"), ("read", "-BUSY 500", 2, "no-server")]
    {
        let servers = [Server::start(Behavior::Fail), Server::start(Behavior::Fail)];
        let mut gateway = LoggingGateway::start(&[&servers[0], &servers[1]]);
        assert_eq!(gateway.client.request(&request_command("t1", class, 1_200)), answer);
        let (events, reason) = gateway.events_and_reason("t1", "request.answered");
        let attempt_events = ["attempt.begun", "attempt.ended"].repeat(attempts);
        assert_eq!(
            events,
            [&["request.accepted"], &attempt_events[..], &["request.answered"]].concat(),
            "in {class}"
        );
        assert_eq!(reason, why, "in {class}");
    }
}

#[test]
fn a_request_with_too_little_time_left_is_rejected_for_that_reason() {
    let server = Server::start(Behavior::Serve);
    let mut gateway = LoggingGateway::start(&[&server]);
    assert_eq!(gateway.client.request(&request_command("t3", "read", 30)), "-BUSY 500");
    assert_eq!(gateway.events_and_reason("t3", "request.answered").1, "no-time");
}

#[test]
fn a_refused_request_is_logged_with_its_reason() {
    let server = Server::start(Behavior::Delayed(300));
    let mut gateway = LoggingGateway::start(&[&server]);
    gateway
        .client
        .write(&[request_command("t1", "read", 1_200), request_command("t1", "read", 1_200)].concat());
    assert_eq!(gateway.events_and_reason("t1", "request.refused").1, "id-in-use");
}

/// Guards against rejections without a known reason: single requests are logged only at the level debug.
#[test]
fn unserved_requests_are_counted_by_reason_in_one_record_per_second() {
    let servers = [Server::start(Behavior::Fail), Server::start(Behavior::Fail)];
    let mut gateway = LoggingGateway::start(&[&servers[0], &servers[1]]);
    for id in ["t1", "t2"] {
        assert_eq!(gateway.client.request(&request_command(id, "pay", 1_200)), "-ERR abandoned");
    }
    let started_at = Instant::now();
    let record = loop {
        let records = gateway.records.lock().expect("records").clone();
        if let Some(record) = records.iter().find(|record| record["event"] == "requests.unserved") {
            break record.clone();
        }
        assert!(started_at.elapsed() < TIMEOUT, "no record");
        thread::sleep(Duration::from_millis(5));
    };
    assert_eq!((&record["level"], &record["requests"]), (&"INFO".into(), &2.into()));
    assert_eq!(record["reasons"], "not-repeatable=2");
    assert!(record["within_us"].as_u64().is_some_and(|period| period >= 1_000_000), "{record}");
}
