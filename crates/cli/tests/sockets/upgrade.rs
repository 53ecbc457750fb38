//! Two processes of one gateway with one inherited socket: upgrades under load, operators at both processes, and faults.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::fs::{RenameFlags, CWD};
use rustix::process::{Pid, Signal};

use super::process::*;

/// A process that inherits the clients' listening socket as descriptor 4, as on the platform.
struct InheritingGateway {
    process: Child,
    operator: SocketAddr,
}

impl Drop for InheritingGateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl InheritingGateway {
    fn start(listener: &TcpListener, directory: &Path, servers: &[&Server]) -> Self {
        InheritingGateway::with_sockets(listener, directory, servers, 1024)
    }

    fn with_sockets(listener: &TcpListener, directory: &Path, servers: &[&Server], sockets: usize) -> Self {
        let listen = listener.local_addr().expect("an address");
        let file = write_temporary_file(&config(
            listen,
            discovery(endpoint_list(servers), true),
            NO_SERVERS,
            sockets,
        ));
        let operator = super::process::bind_listener().1;
        // The shell duplicates the socket to descriptor 4, and then executes the gateway.
        let script = format!("exec {} 4<&{}", env!("CARGO_BIN_EXE_fernscale"), listener.as_raw_fd());
        rustix::io::fcntl_setfd(listener, rustix::io::FdFlags::empty()).expect("inherited");
        let process = Command::new("bash")
            .args(["-c", &script])
            .env("BALANCER_CONFIG", file)
            .env("BALANCER_OPERATOR", operator.to_string())
            .env("BALANCER_PASSED_SOCKET", "4")
            .env("TMPDIR", directory)
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        let gateway = InheritingGateway { process, operator };
        let started_at = Instant::now();
        while !gateway.serves() {
            assert!(started_at.elapsed() < TIMEOUT, "the gateway does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        gateway
    }

    fn serves(&self) -> bool {
        std::net::TcpStream::connect(self.operator).is_ok()
            && operator_request(self.operator, "GET /admin/health HTTP/1.1\r\n\r\n").0 == 200
    }

    fn cordon(&self, command: &str, server: &str) -> u16 {
        let length = server.len();
        operator_request(
            self.operator,
            &format!("POST /admin/{command} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{server}"),
        )
        .0
    }

    fn begin_shutdown(&self) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
    }

    fn shut_down(&mut self) {
        self.begin_shutdown();
        let started_at = Instant::now();
        while self.process.try_wait().expect("waited").is_none() {
            assert!(started_at.elapsed() < TIMEOUT, "the gateway does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Clients that send one request after another. Each client keeps its connection until the gateway closes it.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl Load {
    fn start(address: SocketAddr) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let stop = Arc::new(AtomicBool::new(false));
        let run_client = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let (mut client, mut served, mut crossed) = (Client::connect(address), 0, 0);
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("l{}", NEXT.fetch_add(1, Ordering::SeqCst));
                    // The gateway may have closed the connection between requests.
                    if client.is_closed() {
                        client = Client::connect(address);
                    }
                    match client.try_request(&request_command(&id, "read", 1_200)) {
                        Some(value) => {
                            assert_eq!(value, id);
                            served += 1;
                        }
                        None => {
                            crossed += 1;
                            client = Client::connect(address);
                        }
                    }
                    thread::sleep(Duration::from_millis(10));
                }
                (served, crossed)
            })
        };
        let threads = (0..8).map(run_client).collect();
        Load { stop, threads }
    }

    /// Stops the clients. Returns the number of answered requests, and of requests that crossed the close of their connection.
    fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        let counts = self.threads.into_iter().map(|thread| thread.join().expect("all answers are correct"));
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }
}

fn sleep_ms(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

#[test]
fn upgrades_under_load_lose_no_request() {
    let servers: Vec<Server> = (0..3).map(|_| Server::start(Behavior::Delayed(20))).collect();
    let servers: Vec<&Server> = servers.iter().collect();
    let (listener, address) = bind_listener();
    let directory = tempfile::tempdir().expect("a directory");
    let mut old = InheritingGateway::start(&listener, directory.path(), &servers);
    let load = Load::start(address);
    sleep_ms(300);
    // The second upgrade follows the first immediately.
    for _ in 0..2 {
        let new = InheritingGateway::start(&listener, directory.path(), &servers);
        old.shut_down();
        assert!(new.serves());
        old = new;
    }
    sleep_ms(300);
    let (served, crossed) = load.stop();
    assert!(served > 100, "{served} served");
    // Two requests of each upgrade may cross the close of their connection.
    assert!(crossed <= 4, "{crossed} of {served} crossed");
}

#[test]
fn operators_words_hold_at_both_processes_and_outlive_either() {
    let servers = [Server::start(Behavior::Serve), Server::start(Behavior::Serve)];
    let both: Vec<&Server> = servers.iter().collect();
    let (listener, address) = bind_listener();
    let directory = tempfile::tempdir().expect("a directory");
    let mut old = InheritingGateway::start(&listener, directory.path(), &both);
    assert_eq!(old.cordon("cordon", "s0"), 200);
    let send_requests = |count: usize| {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let mut client = Client::connect(address);
        for _ in 0..count {
            let id = format!("w{}", NEXT.fetch_add(1, Ordering::SeqCst));
            // A server in slow start without other servers takes few requests. The gateway rejects the rest.
            let answer = client.request(&request_command(&id, "read", 1_200));
            assert!(answer == id || answer.starts_with("-BUSY"), "{answer}");
        }
    };
    let new = InheritingGateway::start(&listener, directory.path(), &both);
    // Neither process sends attempts to the cordoned server. A command at one process applies to both as soon as it is
    // confirmed.
    (0..6).for_each(|_| send_requests(5));
    assert_eq!(servers[0].calls(), 0);
    assert_eq!(new.cordon("uncordon", "s0"), 200);
    assert_eq!(old.cordon("cordon", "s1"), 200);
    let before = servers[1].calls();
    (0..6).for_each(|_| send_requests(5));
    assert_eq!(servers[1].calls(), before);
    assert!(servers[0].calls() > 0);
    // The old process is killed. Its cordon stays in force, and the next process knows it, too.
    old.process.kill().expect("killed");
    drop(old);
    let third = InheritingGateway::start(&listener, directory.path(), &both);
    drop(new);
    (0..6).for_each(|_| send_requests(5));
    assert_eq!(servers[1].calls(), before);
    assert_eq!(third.cordon("uncordon", "s1"), 200);
    assert_eq!(third.cordon("uncordon", "nobody"), 404);
}

#[test]
fn unreadable_leftover_files_do_not_prevent_a_start() {
    let server = Server::start(Behavior::Serve);
    let (listener, address) = bind_listener();
    let directory = tempfile::tempdir().expect("a directory");
    let records = directory.path().join("fernscale");
    std::fs::create_dir(&records).expect("made");
    for (name, bytes) in [("7.json", &b"0000"[..]), ("8.json", b"\xff\xff"), ("9.lock", b""), ("what", b"?")]
    {
        std::fs::write(records.join(name), bytes).expect("written");
    }
    let _gateway = InheritingGateway::start(&listener, directory.path(), &[&server]);
    assert_eq!(Client::connect(address).request(&request_command("t1", "read", 1_200)), "t1");
}

#[test]
fn an_inherited_descriptor_that_does_not_listen_is_reported_and_refused() {
    let (listener, address) = bind_listener();
    let stream = std::net::TcpStream::connect(address).expect("connected");
    for (number, descriptor) in [("4", stream.as_raw_fd()), ("9", listener.as_raw_fd()), ("x", 0), ("1", 0)] {
        // Descriptor 9 is closed: otherwise it may be a listener of another test, which starts a process at the same moment.
        let script = format!("exec {} 4<&{descriptor} 9<&-", env!("CARGO_BIN_EXE_fernscale"));
        rustix::io::fcntl_setfd(&stream, rustix::io::FdFlags::empty()).expect("inherited");
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).expect("inherited");
        let output = Command::new("bash")
            .args(["-c", &script])
            .env("BALANCER_CONFIG", write_temporary_file(&config(address, address, NO_SERVERS, 1024)))
            .env("BALANCER_PASSED_SOCKET", number)
            .output()
            .expect("the gateway runs");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("BALANCER_PASSED_SOCKET") && text.lines().count() == 1, "{text}");
    }
}

#[test]
fn idle_connections_are_closed_to_free_slots_for_the_new_process() {
    let server = Server::start(Behavior::Serve);
    let (listener, address) = bind_listener();
    let directory = tempfile::tempdir().expect("a directory");
    let old = InheritingGateway::with_sockets(&listener, directory.path(), &[&server], 200);
    // More than half of all connection slots are used by clients that sent two requests and stay connected.
    let mut clients: Vec<Client> = (0..95).map(|_| Client::connect(address)).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.request(&request_command(&format!("t{index}"), "read", 1_200)),
            format!("t{index}")
        );
        assert_eq!(client.request(&ping()), "+PONG");
    }
    let new = InheritingGateway::with_sockets(&listener, directory.path(), &[&server], 200);
    let started_at = Instant::now();
    loop {
        let held = [&old, &new].map(|gateway| {
            std::fs::read_dir(format!("/proc/{}/fd", gateway.process.id())).expect("the gateway runs").count()
        });
        if held[0] <= 100 && clients.iter().filter(|client| !client.is_closed()).count() >= 30 {
            break;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{held:?} descriptors");
        sleep_ms(10);
    }
}

/// Guards against clients left in the accept queue of an inherited socket. A process that shut down without a successor
/// accepted none of them, and they waited without an answer until another process started.
#[test]
fn clients_that_connect_right_after_sigterm_are_served_if_there_is_no_other_process() {
    let server = Server::start(Behavior::Serve);
    let (listener, address) = bind_listener();
    let directory = tempfile::tempdir().expect("a directory");
    let mut gateway = InheritingGateway::start(&listener, directory.path(), &[&server]);
    rustix::process::kill_process(Pid::from_child(&gateway.process), Signal::TERM).expect("signalled");
    for (index, pause) in [50, 150, 150].into_iter().enumerate() {
        sleep_ms(pause);
        let id = format!("t{index}");
        assert_eq!(Client::connect(address).request(&request_command(&id, "read", 1_200)), id);
    }
    let started_at = Instant::now();
    while gateway.process.try_wait().expect("waited").is_none() {
        assert!(started_at.elapsed() < TIMEOUT, "the gateway does not end");
        sleep_ms(5);
    }
}

/// Guards against two processes that don't see each other: each would use the whole hard ceilings and slow-start budgets of
/// the gateway.
#[test]
fn a_directory_that_is_briefly_unusable_does_not_hide_two_processes_from_each_other() {
    let directory = tempfile::tempdir().expect("a directory");
    let (listener, _) = bind_listener();
    let server = Server::start(Behavior::Serve);
    let _first = InheritingGateway::start(&listener, directory.path(), &[&server]);
    let (records, away) = (directory.path().join("fernscale"), directory.path().join("away"));
    std::fs::rename(&records, &away).expect("renamed");
    std::fs::write(&records, "no directory").expect("written");
    let paths = (records.clone(), away.clone());
    let repair = thread::spawn(move || {
        thread::sleep(Duration::from_millis(500));
        // The exchange is atomic, because the second process creates the directory as soon as nothing has its name.
        let flags = RenameFlags::EXCHANGE;
        rustix::fs::renameat_with(CWD, &paths.1, CWD, &paths.0, flags).expect("restored");
    });
    let second = InheritingGateway::start(&listener, directory.path(), &[&server]);
    repair.join().expect("the directory is restored");
    // Waits until the directory has the lock files of both processes: only then does the first process see the second.
    let started_at = Instant::now();
    let locks = || {
        let entries = std::fs::read_dir(&records).into_iter().flatten().flatten();
        entries.filter(|entry| entry.path().extension().is_some_and(|kind| kind == "lock")).count()
    };
    while locks() < 2 {
        assert!(started_at.elapsed() < TIMEOUT, "the first process does not see the second");
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(second.cordon("cordon", "s0"), 200);
}

/// Guards against a request that runs twice, as its client leaves the old process and comes again at the new one.
#[test]
fn a_request_that_comes_again_at_the_other_process_does_not_run_twice() {
    let server = Server::start(Behavior::Delayed(800));
    let (listener, address) = bind_listener();
    let directory = tempfile::tempdir().expect("a directory");
    let old = InheritingGateway::start(&listener, directory.path(), &[&server]);
    let mut client = Client::connect(address);
    assert_eq!(client.request(&ping()), "+PONG");
    let _new = InheritingGateway::start(&listener, directory.path(), &[&server]);
    let order = request_command("order", "pay", 1_400);
    client.write(&order);
    let started_at = Instant::now();
    while server.calls() == 0 {
        assert!(started_at.elapsed() < TIMEOUT, "the old process does not forward the order");
        sleep_ms(1);
    }
    // From now on the new process alone accepts connections.
    old.begin_shutdown();
    sleep_ms(100);
    drop(client);
    let answer = Client::connect(address).request(&order);
    assert_eq!(server.calls(), 1, "it ran again at the new process, and was answered {answer}");
    assert!(answer.starts_with("-ERR"), "{answer}");
}
