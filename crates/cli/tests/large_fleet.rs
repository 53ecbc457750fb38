//! Fleets of thousands of servers, for which discovery sends the complete list with every change. The processing of one
//! list must not delay other work. A single listener stands for all servers; each server has its own loopback address, by
//! which requests are counted per server.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// Shared with the other socket tests, which use more of this module.
#[allow(dead_code)]
#[path = "sockets/process.rs"]
mod process;

use process::*;

/// Number of servers in a fleet of common size.
const COMMON_FLEET: usize = 200;
/// Number of servers in the largest supported fleet.
const LARGEST_FLEET: usize = 3_200;
/// More servers than any fleet is expected to have. It distinguishes costs that grow with the list from those that must
/// not.
const OVERSIZED_FLEET: usize = 16_000;
/// Servers in the fleet per gateway. Each gateway uses only some tens of servers.
const SERVERS_PER_GATEWAY: usize = 10;
/// How long after the list is sent a draining server may still receive requests: `drain_grace_ms` of the settings plus
/// slack for socket delays.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Deadline of each client request.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// How long after the deadline an answer counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Processor time of a throttled gateway in each period.
const RUN_TIME: Duration = Duration::from_millis(3);
/// Period of the throttle.
const THROTTLE_PERIOD: Duration = Duration::from_millis(30);

/// Ensures that these tests run one at a time, because they measure time.
fn exclusive_run() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One listener that stands for all servers of a fleet. Each server has its own address.
struct ManyServers {
    port: u16,
    /// The arrival time and server of each request.
    calls: Arc<Mutex<Vec<(Instant, usize)>>>,
}

/// The address of a server with a given number. No other test uses this address range.
fn ip_of(server: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 251, (server / 250) as u8, (server % 250) as u8 + 1)
}

fn server_at(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else { panic!("{ip} is not the address of a server") };
    usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]) - 1
}

impl ManyServers {
    /// Every `silent_interval`-th request is never answered; all others are answered immediately.
    fn start(silent_interval: usize) -> Self {
        let listener = TcpListener::bind("0.0.0.0:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let calls: Arc<Mutex<Vec<_>>> = Arc::default();
        let recorded_calls = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded_calls = recorded_calls.clone();
                thread::spawn(move || ManyServers::serve(&stream, silent_interval, &recorded_calls));
            }
        });
        ManyServers { port, calls }
    }

    fn serve(stream: &TcpStream, silent_interval: usize, calls: &Mutex<Vec<(Instant, usize)>>) {
        let server = server_at(stream.local_addr().expect("an address").ip());
        read_commands(stream, |arguments| {
            let mut calls = calls.lock().expect("calls");
            calls.push((Instant::now(), server));
            let is_silent = calls.len().is_multiple_of(silent_interval);
            drop(calls);
            let mut writer = stream;
            let id = &arguments[2];
            is_silent
                || writer
                    .write_all(format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len()).as_bytes())
                    .is_ok()
        });
    }

    /// A complete list of `servers` servers. The servers in the range `draining` are draining.
    fn list(&self, index: usize, servers: usize, draining: std::ops::Range<usize>) -> String {
        let entry = |server: usize| {
            let status = if draining.contains(&server) { "terminating" } else { "in_service" };
            format!(
                r#"{{"name":"s-{:08x}","address":"{}","zone":"a","type":"m","group":{},"status":"{status}","weight":1.0,"since_ms":0}}"#,
                // The names are not in the order of the numbers.
                (server as u32).wrapping_mul(2_654_435_761),
                SocketAddr::from((ip_of(server), self.port)),
                server % 5
            )
        };
        let entries: Vec<String> = (0..servers).map(entry).collect();
        format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
    }
}

/// A discovery agent that sends complete lists. It answers a call as soon as its newest list differs from the list that the
/// caller knows, or with an empty change at the timeout of the call. It records when it first sent each list.
struct Agent {
    address: SocketAddr,
    newest: Arc<Mutex<(usize, Arc<String>)>>,
    sent_at: Arc<Mutex<HashMap<usize, Instant>>>,
}

impl Agent {
    fn start(index: usize, list: String) -> Self {
        let (listener, address) = bind_listener();
        let newest = Arc::new(Mutex::new((index, Arc::new(list))));
        let agent = Agent { address, newest, sent_at: Arc::default() };
        let (newest, sent_at) = (agent.newest.clone(), agent.sent_at.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (newest, sent_at) = (newest.clone(), sent_at.clone());
                thread::spawn(move || Agent::serve(&stream, &newest, &sent_at));
            }
        });
        agent
    }

    fn serve(
        stream: &TcpStream,
        newest: &Mutex<(usize, Arc<String>)>,
        sent_at: &Mutex<HashMap<usize, Instant>>,
    ) {
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        while let Some(request_line) = lines.next() {
            lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
            let parameter = |name: &str| -> Option<usize> {
                let digits = request_line.split_once(name)?.1;
                digits.split(|other: char| !other.is_ascii_digit()).next()?.parse().ok()
            };
            let known_index = parameter("since=");
            let deadline =
                Instant::now() + Duration::from_millis(parameter("timeout_ms=").unwrap_or(0) as u64);
            let (index, list) = loop {
                let (index, list) = newest.lock().expect("the list").clone();
                if known_index != Some(index) {
                    break (index, list);
                }
                if Instant::now() >= deadline {
                    break (
                        index,
                        Arc::new(format!(r#"{{"index":{index},"snapshot":false,"endpoints":[]}}"#)),
                    );
                }
                thread::sleep(Duration::from_millis(1));
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            let mut writer = stream;
            if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(list.as_bytes())).is_err() {
                return;
            }
            sent_at.lock().expect("written").entry(index).or_insert_with(Instant::now);
        }
    }

    fn set_list(&self, index: usize, list: String) {
        *self.newest.lock().expect("the list") = (index, Arc::new(list));
    }

    fn has_sent(&self, index: usize) -> bool {
        self.sent_at.lock().expect("written").contains_key(&index)
    }
}

fn gateway(agent: &Agent, servers: usize) -> Gateway {
    let gateways = format!("\"balancers\":{}", servers / SERVERS_PER_GATEWAY);
    let with_gateways = |config: String| config.replace("\"balancers\":1", &gateways);
    Gateway::start_unready_with(agent.address, NO_SERVERS, 1024, with_gateways).wait_until_ready()
}

/// The processor time that a gateway has used so far.
fn processor_time(gateway: &Gateway) -> Duration {
    processor_time_of(gateway.process.id())()
}

/// Returns a function that reads the processor time used by all threads of a process.
fn processor_time_of(process: u32) -> impl Fn() -> Duration {
    move || {
        let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
        let used = tasks.into_iter().flatten().flatten().map(|task| {
            let schedstat = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            schedstat.split(' ').next().and_then(|used| used.parse().ok()).unwrap_or(0)
        });
        Duration::from_nanos(used.sum())
    }
}

/// Limits a process to a fraction of one core until dropped, by stopping and continuing it with signals.
struct Throttle(Arc<AtomicBool>);

impl Throttle {
    fn on(gateway: &Gateway) -> Self {
        let is_throttled = Arc::new(AtomicBool::new(true));
        let (is_on, process) =
            (is_throttled.clone(), Pid::from_raw(gateway.process.id() as i32).expect("a process"));
        let used = processor_time_of(gateway.process.id());
        thread::spawn(move || {
            while is_on.load(Ordering::SeqCst) {
                let (started_at, used_before) = (Instant::now(), used());
                let _ = kill_process(process, Signal::CONT);
                while started_at.elapsed() < THROTTLE_PERIOD && used().saturating_sub(used_before) < RUN_TIME
                {
                    thread::sleep(RUN_TIME / 10);
                }
                let _ = kill_process(process, Signal::STOP);
                thread::sleep(THROTTLE_PERIOD.saturating_sub(started_at.elapsed()));
            }
            let _ = kill_process(process, Signal::CONT);
        });
        Throttle(is_throttled)
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.0.store(false, Ordering::SeqCst);
    }
}

fn request(number: usize) -> Vec<u8> {
    request_command(&format!("{number:016x}"), "read", DEADLINE.as_millis() as u64)
}

/// Guards against a past incident: a gateway with a fraction of a core receives complete lists one after another, more
/// servers drain with each list, and some requests are never answered.
#[test]
fn answers_are_on_time_and_draining_servers_get_no_requests_while_long_lists_arrive() {
    let _exclusive = exclusive_run();
    const LISTS: usize = 6;
    const DRAINED: usize = 300;
    let servers = ManyServers::start(4);
    let agent = Agent::start(1, servers.list(1, LARGEST_FLEET, 0..0));
    let gateway = gateway(&agent, LARGEST_FLEET);
    let _throttle = Throttle::on(&gateway);
    let (sent, slowest) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Duration::ZERO)));
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..40)
        .map(|index| {
            let (mut client, sent) = (gateway.client(), sent.clone());
            let (slowest, ended) = (slowest.clone(), ended.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(25 * index));
                while !ended.load(Ordering::SeqCst) {
                    let started_at = Instant::now();
                    client.request(&request(sent.fetch_add(1, Ordering::SeqCst)));
                    let took = started_at.elapsed();
                    let mut slowest = slowest.lock().expect("the slowest");
                    *slowest = took.max(*slowest);
                    drop(slowest);
                    thread::sleep(Duration::from_secs(1).saturating_sub(took));
                }
            })
        })
        .collect();
    for list in 2..2 + LISTS {
        agent.set_list(list, servers.list(list, LARGEST_FLEET, 0..DRAINED * (list - 1)));
        let started_at = Instant::now();
        while !agent.has_sent(list) {
            assert!(started_at.elapsed() < 2 * TIMEOUT, "list {list} was not requested");
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(Duration::from_millis(600));
    }
    thread::sleep(DEADLINE + LOST_AFTER);
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let sent_at = agent.sent_at.lock().expect("written");
    // A server is draining from the first list that marks it.
    let draining_since = |server: usize| sent_at.get(&(server / DRAINED + 2)).copied();
    let lateness = |(arrived_at, server): &(Instant, usize)| {
        arrived_at.saturating_duration_since(draining_since(*server)?).checked_sub(DRAIN_GRACE)
    };
    let calls = servers.calls.lock().expect("calls");
    let late: Vec<Duration> = calls.iter().filter_map(lateness).filter(|late| !late.is_zero()).collect();
    let slowest = *slowest.lock().expect("the slowest");
    assert!(calls.len() > 100, "{} requests reached a server", calls.len());
    assert!(
        late.is_empty() && slowest < DEADLINE + LOST_AFTER,
        "the slowest answer took {slowest:?}; requests to draining servers, by time after the grace period: {late:?}"
    );
}

/// The maximum processor time that the gateway uses while a `PING` waits, and the total processor time that it uses, while
/// complete lists arrive that each drain other servers.
fn cost_of_complete_lists(servers: usize) -> (Duration, Duration) {
    const LISTS: usize = 4;
    let all = ManyServers::start(usize::MAX);
    let half = servers / 2;
    let agent = Agent::start(1, all.list(1, servers, 0..0));
    let gateway = gateway(&agent, servers);
    let mut client = gateway.client();
    let (mut longest, before) = (Duration::ZERO, processor_time(&gateway));
    for list in 2..2 + LISTS {
        // The two halves of the fleet drain alternately.
        let draining = if list % 2 == 0 { 0..half } else { half..servers };
        agent.set_list(list, all.list(list, servers, draining));
        let started_at = Instant::now();
        while !agent.has_sent(list) || started_at.elapsed() < Duration::from_millis(500) {
            let used = processor_time(&gateway);
            assert_eq!(client.request(&ping()), "+PONG");
            longest = longest.max(processor_time(&gateway) - used);
        }
    }
    (longest, processor_time(&gateway) - before)
}

#[test]
fn processing_a_long_list_does_not_delay_other_requests() {
    let _exclusive = exclusive_run();
    let (longest, _) = cost_of_complete_lists(LARGEST_FLEET);
    assert!(
        longest < Duration::from_millis(30),
        "a PING waited for {longest:?} of the gateway's processor time"
    );
}

#[test]
fn reloading_a_configuration_with_thousands_of_servers_does_not_delay_requests() {
    let _exclusive = exclusive_run();
    const TIMES: usize = 5;
    let all = ManyServers::start(usize::MAX);
    let list = all.list(1, OVERSIZED_FLEET, 0..0);
    let gateway = gateway(&Agent::start(1, all.list(1, COMMON_FLEET, 0..0)), COMMON_FLEET);
    let config = std::fs::read_to_string(&gateway.file).expect("its configuration");
    std::fs::write(&gateway.file, config.replace(NO_SERVERS, &list)).expect("written");
    let (mut client, mut longest) = (gateway.client(), Duration::ZERO);
    for _ in 0..TIMES {
        gateway.signal("-HUP");
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(300) {
            let used = processor_time(&gateway);
            assert_eq!(client.request(&ping()), "+PONG");
            longest = longest.max(processor_time(&gateway) - used);
        }
    }
    assert!(
        longest < Duration::from_millis(40),
        "a PING waited for {longest:?} of the gateway's processor time"
    );
}

/// The gateway's processor time for a fixed number of requests.
fn cost_of_requests(servers: usize) -> Duration {
    const REQUESTS: usize = 400;
    let all = ManyServers::start(usize::MAX);
    let agent = Agent::start(1, all.list(1, servers, 0..0));
    let gateway = gateway(&agent, servers);
    let mut client = gateway.client();
    // The first requests open the connections to the servers.
    (0..REQUESTS).for_each(|number| drop(client.request(&request(number))));
    let before = processor_time(&gateway);
    (REQUESTS..2 * REQUESTS).for_each(|number| drop(client.request(&request(number))));
    processor_time(&gateway) - before
}

#[test]
fn the_cost_of_a_request_does_not_grow_with_the_number_of_listed_servers() {
    let _exclusive = exclusive_run();
    let (common, oversized) = (cost_of_requests(COMMON_FLEET), cost_of_requests(OVERSIZED_FLEET));
    assert!(
        oversized < common * 3,
        "{oversized:?} at {OVERSIZED_FLEET} servers, {common:?} at {COMMON_FLEET}"
    );
}
