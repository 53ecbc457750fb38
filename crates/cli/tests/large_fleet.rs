//! Fleets of thousands of servers, whose list comes whole with every change: what one list costs may not keep anything else
//! waiting. The servers are one listener on many addresses of the loopback range, so that each can be told apart.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// Shared with the other tests on sockets, which use more of it.
#[allow(dead_code)]
#[path = "sockets/process.rs"]
mod process;

use process::*;

/// Servers of a fleet of common size, and of the largest.
const COMMON: usize = 200;
const LARGEST: usize = 3_200;
/// More than any list is meant to have, where what must not grow with it is told apart from what may.
const BEYOND: usize = 16_000;
/// Servers to a gateway: each uses some tens of them only.
const SERVERS_A_GATEWAY: usize = 10;
/// How long after the list has been written a server that drains may still be sent a request (`drain_grace_ms` of the settings,
/// and the slack of sockets).
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// How long a client of these tests waits, and how much later an answer is lost.
const DEADLINE: Duration = Duration::from_millis(1_000);
const LOST_AFTER: Duration = Duration::from_millis(500);
/// What a gateway gets of its core: so much processor time in each such period, or a period whole.
const RUNS: Duration = Duration::from_millis(3);
const PERIOD: Duration = Duration::from_millis(30);

/// These tests measure time, and are played one after another.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One listener that stands for all servers of a fleet, each at an address of its own.
struct ManyServers {
    port: u16,
    /// When each request came, and to which server.
    calls: Arc<Mutex<Vec<(Instant, usize)>>>,
}

/// The address of a server by its number; other tests have no addresses there.
fn ip_of(server: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 251, (server / 250) as u8, (server % 250) as u8 + 1)
}

fn server_at(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else { panic!("{ip} is no address of a server") };
    usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]) - 1
}

impl ManyServers {
    /// One in `silent` requests is never answered; the others are at once.
    fn start(silent: usize) -> Self {
        let listener = TcpListener::bind("0.0.0.0:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let calls: Arc<Mutex<Vec<_>>> = Arc::default();
        let seen = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = seen.clone();
                thread::spawn(move || ManyServers::serve(&stream, silent, &seen));
            }
        });
        ManyServers { port, calls }
    }

    fn serve(stream: &TcpStream, silent: usize, calls: &Mutex<Vec<(Instant, usize)>>) {
        let server = server_at(stream.local_addr().expect("an address").ip());
        read_commands(stream, |words| {
            let mut calls = calls.lock().expect("calls");
            calls.push((Instant::now(), server));
            let silent = calls.len().is_multiple_of(silent);
            drop(calls);
            let mut writer = stream;
            let id = &words[2];
            silent
                || writer
                    .write_all(format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len()).as_bytes())
                    .is_ok()
        });
    }

    /// A whole list of so many servers, of which those in `drains` drain.
    fn list(&self, index: usize, servers: usize, drains: std::ops::Range<usize>) -> String {
        let entry = |server: usize| {
            let status = if drains.contains(&server) { "terminating" } else { "in_service" };
            format!(
                r#"{{"name":"s-{:08x}","address":"{}","zone":"a","type":"m","group":{},"status":"{status}","weight":1.0,"since_ms":0}}"#,
                // Names in no order.
                (server as u32).wrapping_mul(2_654_435_761),
                SocketAddr::from((ip_of(server), self.port)),
                server % 5
            )
        };
        let entries: Vec<String> = (0..servers).map(entry).collect();
        format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
    }
}

/// An agent whose lists are whole. It writes the newest that a call does not know, and notes when.
struct Agent {
    address: SocketAddr,
    newest: Arc<Mutex<(usize, Arc<String>)>>,
    written: Arc<Mutex<HashMap<usize, Instant>>>,
}

impl Agent {
    fn start(index: usize, list: String) -> Self {
        let (listener, address) = bind_listener();
        let newest = Arc::new(Mutex::new((index, Arc::new(list))));
        let agent = Agent { address, newest, written: Arc::default() };
        let (newest, written) = (agent.newest.clone(), agent.written.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (newest, written) = (newest.clone(), written.clone());
                thread::spawn(move || Agent::serve(&stream, &newest, &written));
            }
        });
        agent
    }

    fn serve(
        stream: &TcpStream,
        newest: &Mutex<(usize, Arc<String>)>,
        written: &Mutex<HashMap<usize, Instant>>,
    ) {
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        while let Some(first) = lines.next() {
            lines.by_ref().take_while(|line| !line.is_empty()).for_each(drop);
            let number = |name: &str| -> Option<usize> {
                let digits = first.split_once(name)?.1;
                digits.split(|other: char| !other.is_ascii_digit()).next()?.parse().ok()
            };
            let known = number("since=");
            let until = Instant::now() + Duration::from_millis(number("timeout_ms=").unwrap_or(0) as u64);
            let (index, list) = loop {
                let (index, list) = newest.lock().expect("the list").clone();
                if known != Some(index) {
                    break (index, list);
                }
                if Instant::now() >= until {
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
            written.lock().expect("written").entry(index).or_insert_with(Instant::now);
        }
    }

    fn has(&self, index: usize, list: String) {
        *self.newest.lock().expect("the list") = (index, Arc::new(list));
    }

    fn has_written(&self, index: usize) -> bool {
        self.written.lock().expect("written").contains_key(&index)
    }
}

fn gateway(agent: &Agent, servers: usize) -> Gateway {
    let gateways = format!("\"balancers\":{}", servers / SERVERS_A_GATEWAY);
    let many = |config: String| config.replace("\"balancers\":1", &gateways);
    Gateway::start_unready_with(agent.address, NO_SERVERS, 1024, many).wait_until_ready()
}

/// Processor time that a gateway has used.
fn processor_time(gateway: &Gateway) -> Duration {
    processor_time_of(gateway.process.id())()
}

/// Reads what a process has used, by all its threads.
fn processor_time_of(process: u32) -> impl Fn() -> Duration {
    move || {
        let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
        let used = tasks.into_iter().flatten().flatten().map(|task| {
            let told = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            told.split(' ').next().and_then(|used| used.parse().ok()).unwrap_or(0)
        });
        Duration::from_nanos(used.sum())
    }
}

/// Gives a process a part of its core only, until dropped: it is stopped and goes on by signals.
struct Throttle(Arc<AtomicBool>);

impl Throttle {
    fn on(gateway: &Gateway) -> Self {
        let throttled = Arc::new(AtomicBool::new(true));
        let (on, process) =
            (throttled.clone(), Pid::from_raw(gateway.process.id() as i32).expect("a process"));
        let used = processor_time_of(gateway.process.id());
        thread::spawn(move || {
            while on.load(Ordering::SeqCst) {
                let (began, before) = (Instant::now(), used());
                let _ = kill_process(process, Signal::CONT);
                while began.elapsed() < PERIOD && used().saturating_sub(before) < RUNS {
                    thread::sleep(RUNS / 10);
                }
                let _ = kill_process(process, Signal::STOP);
                thread::sleep(PERIOD.saturating_sub(began.elapsed()));
            }
            let _ = kill_process(process, Signal::CONT);
        });
        Throttle(throttled)
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

/// The incident: a gateway with a part of a core, lists that come whole one after another, servers that drain with each, and
/// some that never answer.
#[test]
fn while_long_lists_come_whole_answers_are_in_time_and_drains_are_kept() {
    let _alone = alone();
    const LISTS: usize = 6;
    const DRAINED: usize = 300;
    let servers = ManyServers::start(4);
    let agent = Agent::start(1, servers.list(1, LARGEST, 0..0));
    let gateway = gateway(&agent, LARGEST);
    let _throttle = Throttle::on(&gateway);
    let (sent, latest) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Duration::ZERO)));
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..40)
        .map(|at| {
            let (mut client, sent) = (gateway.client(), sent.clone());
            let (latest, over) = (latest.clone(), over.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(25 * at));
                while !over.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    client.request(&request(sent.fetch_add(1, Ordering::SeqCst)));
                    let took = began.elapsed();
                    let mut latest = latest.lock().expect("latest");
                    *latest = took.max(*latest);
                    drop(latest);
                    thread::sleep(Duration::from_secs(1).saturating_sub(took));
                }
            })
        })
        .collect();
    for list in 2..2 + LISTS {
        agent.has(list, servers.list(list, LARGEST, 0..DRAINED * (list - 1)));
        let began = Instant::now();
        while !agent.has_written(list) {
            assert!(began.elapsed() < 2 * TIMEOUT, "list {list} is not asked for");
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(Duration::from_millis(600));
    }
    thread::sleep(DEADLINE + LOST_AFTER);
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let written = agent.written.lock().expect("written");
    // A server drains from the first list on that says so.
    let drains = |server: usize| written.get(&(server / DRAINED + 2)).copied();
    let late = |(at, server): &(Instant, usize)| {
        at.saturating_duration_since(drains(*server)?).checked_sub(DRAIN_GRACE)
    };
    let calls = servers.calls.lock().expect("calls");
    let late: Vec<Duration> = calls.iter().filter_map(late).filter(|late| !late.is_zero()).collect();
    let latest = *latest.lock().expect("latest");
    assert!(calls.len() > 100, "{} requests reached a server", calls.len());
    assert!(
        late.is_empty() && latest < DEADLINE + LOST_AFTER,
        "the latest answer took {latest:?}; sent to servers that drain, so long after the grace: {late:?}"
    );
}

/// How much processor time passes at most while a `PING` waits, and all that is used, as whole lists come that each bring other
/// servers.
fn cost_of_whole_lists(servers: usize) -> (Duration, Duration) {
    const LISTS: usize = 4;
    let all = ManyServers::start(usize::MAX);
    let half = servers / 2;
    let agent = Agent::start(1, all.list(1, servers, 0..0));
    let gateway = gateway(&agent, servers);
    let mut client = gateway.client();
    let (mut longest, before) = (Duration::ZERO, processor_time(&gateway));
    for list in 2..2 + LISTS {
        // By turns one half of them drains.
        let drains = if list % 2 == 0 { 0..half } else { half..servers };
        agent.has(list, all.list(list, servers, drains));
        let began = Instant::now();
        while !agent.has_written(list) || began.elapsed() < Duration::from_millis(500) {
            let used = processor_time(&gateway);
            assert_eq!(client.request(&ping()), "+PONG");
            longest = longest.max(processor_time(&gateway) - used);
        }
    }
    (longest, processor_time(&gateway) - before)
}

#[test]
fn a_long_list_holds_up_nothing_else() {
    let _alone = alone();
    let (longest, _) = cost_of_whole_lists(LARGEST);
    assert!(
        longest < Duration::from_millis(30),
        "a PING waited for {longest:?} of the gateway's processor time"
    );
}

#[test]
fn a_new_configuration_that_knows_thousands_of_servers_holds_up_nothing_else() {
    let _alone = alone();
    const TIMES: usize = 5;
    let all = ManyServers::start(usize::MAX);
    let list = all.list(1, BEYOND, 0..0);
    let gateway = gateway(&Agent::start(1, all.list(1, COMMON, 0..0)), COMMON);
    let config = std::fs::read_to_string(&gateway.file).expect("its configuration");
    std::fs::write(&gateway.file, config.replace(NO_SERVERS, &list)).expect("written");
    let (mut client, mut longest) = (gateway.client(), Duration::ZERO);
    for _ in 0..TIMES {
        gateway.signal("-HUP");
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(300) {
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

/// Processor time of the gateway for so many requests.
fn cost_of_requests(servers: usize) -> Duration {
    const REQUESTS: usize = 400;
    let all = ManyServers::start(usize::MAX);
    let agent = Agent::start(1, all.list(1, servers, 0..0));
    let gateway = gateway(&agent, servers);
    let mut client = gateway.client();
    // The first ones dial.
    (0..REQUESTS).for_each(|number| drop(client.request(&request(number))));
    let before = processor_time(&gateway);
    (REQUESTS..2 * REQUESTS).for_each(|number| drop(client.request(&request(number))));
    processor_time(&gateway) - before
}

#[test]
fn a_request_costs_no_more_where_thousands_of_servers_are_listed() {
    let _alone = alone();
    let (common, largest) = (cost_of_requests(COMMON), cost_of_requests(BEYOND));
    assert!(largest < common * 3, "{largest:?} at {BEYOND} servers, {common:?} at {COMMON}");
}
