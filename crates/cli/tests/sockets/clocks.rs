//! The wall clock of a running gateway is set forward or back, by seconds or an hour. Servers that have just started are
//! still in slow start, for the usual time.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::process::*;

const WARM_UP: Duration = Duration::from_millis(2_000);
/// The period in which requests are counted. It is much shorter than the warm-up.
const COUNTING_PERIOD: Duration = Duration::from_millis(400);
const HOUR: i64 = 3_600_000;
/// Limits of a server's share, relative to a warm server. Under this load a server in slow start gets about 0.01, and 0.38 if
/// it is wrongly treated as warm. A warm server gets 0.67 to 1 while other tests run, and 0.19 if it is wrongly treated as
/// in slow start.
const MAX_SLOW_START_SHARE: f64 = 0.1;
const MIN_WARM_SHARE: f64 = 0.45;

/// A gateway whose wall clock can be set, three warm servers, and a fourth server that is not listed yet.
struct ClockTest {
    process: Child,
    own_config: PathBuf,
    client: Client,
    servers: [Server; 4],
    list: Arc<Mutex<String>>,
    request_count: usize,
}

impl Drop for ClockTest {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn clock_ahead(milliseconds: i64) -> String {
    let direction = if milliseconds < 0 { "behind" } else { "ahead" };
    format!("[trials]\nclock-{direction} = \"{}ms\"\n", milliseconds.abs())
}

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as i64)
}

impl ClockTest {
    fn start() -> Self {
        let servers: [Server; 4] = std::array::from_fn(|_| Server::start(Behavior::Serve));
        let list = Arc::new(Mutex::new(endpoint_list(&[&servers[0], &servers[1], &servers[2]])));
        let (discovery, _) = changeable_discovery(&list);
        let (listen, operator) = (bind_listener().1, bind_listener().1);
        let platform = config(listen, discovery, NO_SERVERS, 1024);
        let platform = platform.replace("9000.0", &format!("{}.0", WARM_UP.as_millis()));
        let own_config = write_temporary_file(&clock_ahead(0));
        let mut process =
            spawn_gateway_with_own_config(&own_config, &write_temporary_file(&platform), operator);
        let mut log = BufReader::new(process.stderr.take().expect("piped")).lines().map_while(Result::ok);
        assert!(log.any(|line| line.contains("starts")), "the gateway starts");
        thread::spawn(move || log.for_each(drop));
        let mut clock_test = ClockTest {
            process,
            own_config,
            client: Client::connect(listen),
            servers,
            list,
            request_count: 0,
        };
        let started_at = Instant::now();
        while clock_test.client.request(&ping()) != "+PONG" {
            assert!(started_at.elapsed() < TIMEOUT, "the gateway does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        clock_test.load(COUNTING_PERIOD);
        clock_test
    }

    /// Sets the gateway's wall clock.
    fn step(&self, milliseconds: i64) {
        std::fs::write(&self.own_config, clock_ahead(milliseconds)).expect("written");
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &id]).status().expect("kill runs").success());
        thread::sleep(Duration::from_millis(200));
    }

    /// Adds the fourth server to the endpoint list, with the present time of discovery's clock as its start time.
    fn list_fourth_server(&self, clock_ahead: i64) {
        let all: Vec<&Server> = self.servers.iter().collect();
        let list = endpoint_list(&all).replace(r#""index":4"#, r#""index":5"#);
        let (others, fourth) = list.split_once(r#""name":"s3""#).expect("the fourth");
        let since = format!(r#""since_ms":{}"#, unix_ms() + clock_ahead);
        let fourth = fourth.replace(r#""since_ms":0"#, &since);
        *self.list.lock().expect("the list") = format!(r#"{others}"name":"s3"{fourth}"#);
    }

    /// Sends requests for a period. Returns the number of the fourth server's requests divided by the mean of the other servers.
    fn load(&mut self, period: Duration) -> f64 {
        let before = self.servers.each_ref().map(Server::calls);
        let started_at = Instant::now();
        while started_at.elapsed() < period {
            self.request_count += 1;
            self.client.request(&request_command(&format!("t{}", self.request_count), "read", 1_200));
            thread::sleep(Duration::from_millis(1));
        }
        let count = |index: usize| (self.servers[index].calls() - before[index]) as f64;
        count(3) / ((count(0) + count(1) + count(2)) / 3.0).max(1.0)
    }
}

/// Returns the fourth server's share relative to the other servers: right after its start, and after its warm-up.
fn shares(step: i64, discovery_follows: bool) -> (f64, f64) {
    let mut clock_test = ClockTest::start();
    clock_test.step(step);
    let started_at = Instant::now();
    clock_test.list_fourth_server(if discovery_follows { step } else { 0 });
    let slow_start_share = clock_test.load(COUNTING_PERIOD);
    thread::sleep(WARM_UP.saturating_sub(started_at.elapsed()));
    clock_test.load(COUNTING_PERIOD);
    (slow_start_share, clock_test.load(COUNTING_PERIOD))
}

#[test]
fn a_server_is_in_slow_start_for_as_long_as_ever_wherever_the_wall_clock_is_set() {
    let cases = [0, 5_000, -5_000, HOUR, -HOUR].into_iter().flat_map(|step| [(step, true), (step, false)]);
    let runs = cases.map(|(step, follows)| (step, follows, thread::spawn(move || shares(step, follows))));
    let mut failures = Vec::new();
    for (step, follows, run) in runs.collect::<Vec<_>>() {
        let (slow_start_share, warm_share) = run.join().expect("the run ends");
        let case =
            format!("step of {step} ms, discovery's clock too: {follows}: share {slow_start_share:.2}, then {warm_share:.2}");
        if slow_start_share > MAX_SLOW_START_SHARE || warm_share < MIN_WARM_SHARE {
            failures.push(case);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
