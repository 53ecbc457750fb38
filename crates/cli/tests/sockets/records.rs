//! What the log tells of one request: that it was taken, each attempt, its answer, and why it was given up or not taken.

use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::process::*;

/// A gateway that writes all its records, as objects, and what it has written.
struct Recorded {
    process: Child,
    client: Client,
    records: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl Drop for Recorded {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Recorded {
    fn start(servers: &[&Server]) -> Self {
        let (listen, operator) = (listen().1, listen().1);
        let own = file("[log]\nform = \"json\"\nlevel = \"debug\"\nmost-a-second = 1000\n");
        let platform = file(&config(listen, discovery(members(servers), true), NO_SERVERS, 1024));
        let mut process = process_by_own(&own, &platform, operator);
        let mut lines = BufReader::new(process.stderr.take().expect("piped")).lines().map_while(Result::ok);
        assert!(lines.any(|line| line.contains("gateway.starts")), "it starts");
        let records = Arc::new(Mutex::new(Vec::new()));
        let told = records.clone();
        thread::spawn(move || {
            let objects = lines.filter_map(|line| serde_json::from_str(&line).ok());
            objects.for_each(|record| told.lock().expect("records").push(record));
        });
        let mut recorded = Recorded { process, client: Client::to(listen), records };
        let began = Instant::now();
        while recorded.client.ask(&ping()) != "+PONG" {
            assert!(began.elapsed() < SOON, "it does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        recorded
    }

    /// The records of a request, as soon as there is one of this event: the events, and its `why`.
    fn told(&self, id: &str, event: &str) -> (Vec<String>, String) {
        let began = Instant::now();
        loop {
            let records = self.records.lock().expect("records").clone();
            let its: Vec<_> = records.into_iter().filter(|record| record["id"] == id).collect();
            if let Some(last) = its.iter().find(|record| record["event"] == event) {
                let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_string();
                return (its.iter().map(|record| text(&record["event"])).collect(), text(&last["why"]));
            }
            assert!(began.elapsed() < SOON, "no '{event}' of '{id}'");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn one_request_can_be_followed_through_its_attempts_to_its_answer_and_the_reason_of_it() {
    for (lane, answer, attempts, why) in
        [("pay", "-ERR abandoned", 1, "not-repeatable"), ("read", "-BUSY 500", 2, "no-server")]
    {
        let servers = [Server::start(Does::Fail), Server::start(Does::Fail)];
        let mut gateway = Recorded::start(&[&servers[0], &servers[1]]);
        assert_eq!(gateway.client.ask(&call("t1", lane, 1_200)), answer);
        let (events, told) = gateway.told("t1", "request.answered");
        let tries = ["attempt.begun", "attempt.ended"].repeat(attempts);
        assert_eq!(events, [&["request.accepted"], &tries[..], &["request.answered"]].concat(), "in {lane}");
        assert_eq!(told, why, "in {lane}");
    }
}

#[test]
fn a_request_with_hardly_any_time_is_given_up_for_that() {
    let server = Server::start(Does::Serve);
    let mut gateway = Recorded::start(&[&server]);
    assert_eq!(gateway.client.ask(&call("t3", "read", 30)), "-BUSY 500");
    assert_eq!(gateway.told("t3", "request.answered").1, "no-time");
}

#[test]
fn a_request_that_is_not_taken_is_told_with_its_reason() {
    let server = Server::start(Does::Late(300));
    let mut gateway = Recorded::start(&[&server]);
    gateway.client.write(&[call("t1", "read", 1_200), call("t1", "read", 1_200)].concat());
    assert_eq!(gateway.told("t1", "request.refused").1, "id-in-use");
}

/// Guards against rejections whose reason nobody can tell afterwards, as single requests are recorded at the level debug alone.
#[test]
fn requests_that_no_server_answered_are_counted_by_reason_in_one_record_a_second() {
    let servers = [Server::start(Does::Fail), Server::start(Does::Fail)];
    let mut gateway = Recorded::start(&[&servers[0], &servers[1]]);
    for id in ["t1", "t2"] {
        assert_eq!(gateway.client.ask(&call(id, "pay", 1_200)), "-ERR abandoned");
    }
    let began = Instant::now();
    let record = loop {
        let records = gateway.records.lock().expect("records").clone();
        if let Some(record) = records.iter().find(|record| record["event"] == "requests.unserved") {
            break record.clone();
        }
        assert!(began.elapsed() < SOON, "no record");
        thread::sleep(Duration::from_millis(5));
    };
    assert_eq!((&record["level"], &record["requests"]), (&"INFO".into(), &2.into()));
    assert_eq!(record["reasons"], "not-repeatable=2");
    assert!(record["within_us"].as_u64().is_some_and(|within| within >= 1_000_000), "{record}");
}
