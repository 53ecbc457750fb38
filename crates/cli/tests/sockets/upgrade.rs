//! Two processes of one gateway on one passed socket: an upgrade under load, operators at both, and what goes wrong.

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

/// A process that inherits the clients' listening socket as descriptor 4, as the platform has it.
struct Inherits {
    process: Child,
    operator: SocketAddr,
}

impl Drop for Inherits {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Inherits {
    fn start(listener: &TcpListener, directory: &Path, servers: &[&Server]) -> Self {
        Inherits::with_sockets(listener, directory, servers, 1024)
    }

    fn with_sockets(listener: &TcpListener, directory: &Path, servers: &[&Server], sockets: usize) -> Self {
        let listen = listener.local_addr().expect("an address");
        let file = file(&config(listen, discovery(members(servers), true), NO_SERVERS, sockets));
        let operator = super::process::listen().1;
        // The shell makes the socket descriptor 4 before it becomes the gateway.
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
        let inherits = Inherits { process, operator };
        let began = Instant::now();
        while !inherits.serves() {
            assert!(began.elapsed() < SOON, "it does not get ready");
            thread::sleep(Duration::from_millis(5));
        }
        inherits
    }

    fn serves(&self) -> bool {
        std::net::TcpStream::connect(self.operator).is_ok()
            && operate(self.operator, "GET /admin/health HTTP/1.1\r\n\r\n").0 == 200
    }

    fn cordon(&self, call: &str, server: &str) -> u16 {
        let length = server.len();
        operate(
            self.operator,
            &format!("POST /admin/{call} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{server}"),
        )
        .0
    }

    fn ends(&mut self) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill runs").success());
        let began = Instant::now();
        while self.process.try_wait().expect("waited").is_none() {
            assert!(began.elapsed() < SOON, "it does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Clients that ask one after the other, each on a connection that it keeps until the gateway ends it.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl Load {
    fn start(address: SocketAddr) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let stop = Arc::new(AtomicBool::new(false));
        let ask = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let (mut client, mut served, mut crossed) = (Client::to(address), 0, 0);
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("l{}", NEXT.fetch_add(1, Ordering::SeqCst));
                    // Between requests the gateway may have ended the connection.
                    if client.ended() {
                        client = Client::to(address);
                    }
                    match client.try_ask(&call(&id, "read", 1_200)) {
                        Some(value) => {
                            assert_eq!(value, id);
                            served += 1;
                        }
                        None => {
                            crossed += 1;
                            client = Client::to(address);
                        }
                    }
                    thread::sleep(Duration::from_millis(10));
                }
                (served, crossed)
            })
        };
        let threads = (0..8).map(ask).collect();
        Load { stop, threads }
    }

    /// How many were served, and how many met a connection that was ended under them.
    fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        let ends = self.threads.into_iter().map(|thread| thread.join().expect("all answers are good"));
        ends.fold((0, 0), |sum, end| (sum.0 + end.0, sum.1 + end.1))
    }
}

fn wait(time: u64) {
    thread::sleep(Duration::from_millis(time));
}

#[test]
fn upgrades_under_load_lose_no_request() {
    let servers: Vec<Server> = (0..3).map(|_| Server::start(Does::Late(20))).collect();
    let servers: Vec<&Server> = servers.iter().collect();
    let (listener, address) = listen();
    let directory = tempfile::tempdir().expect("a folder");
    let mut old = Inherits::start(&listener, directory.path(), &servers);
    let load = Load::start(address);
    wait(300);
    // The second comes soon after the first.
    for _ in 0..2 {
        let new = Inherits::start(&listener, directory.path(), &servers);
        old.ends();
        assert!(new.serves());
        old = new;
    }
    wait(300);
    let (served, crossed) = load.stop();
    assert!(served > 100, "{served} served");
    // Two of each upgrade may cross the end of their connection.
    assert!(crossed <= 4, "{crossed} of {served} crossed");
}

#[test]
fn operators_words_hold_at_both_processes_and_outlive_either() {
    let servers = [Server::start(Does::Serve), Server::start(Does::Serve)];
    let both: Vec<&Server> = servers.iter().collect();
    let (listener, address) = listen();
    let directory = tempfile::tempdir().expect("a folder");
    let mut old = Inherits::start(&listener, directory.path(), &both);
    assert_eq!(old.cordon("cordon", "s0"), 200);
    let asks = |count: usize| {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let mut client = Client::to(address);
        for _ in 0..count {
            let id = format!("w{}", NEXT.fetch_add(1, Ordering::SeqCst));
            // A cold server that is alone takes little; what it does not get is turned away.
            let answer = client.ask(&call(&id, "read", 1_200));
            assert!(answer == id || answer.starts_with("-BUSY"), "{answer}");
        }
    };
    let new = Inherits::start(&listener, directory.path(), &both);
    // Whichever takes the client, neither sends to it; a word at one holds at the other from the yes on.
    (0..6).for_each(|_| asks(5));
    assert_eq!(servers[0].calls(), 0);
    assert_eq!(new.cordon("uncordon", "s0"), 200);
    assert_eq!(old.cordon("cordon", "s1"), 200);
    let before = servers[1].calls();
    (0..6).for_each(|_| asks(5));
    assert_eq!(servers[1].calls(), before);
    assert!(servers[0].calls() > 0);
    // The old one is killed outright; what it heard holds on, and another process knows it as well.
    old.process.kill().expect("killed");
    drop(old);
    let third = Inherits::start(&listener, directory.path(), &both);
    drop(new);
    (0..6).for_each(|_| asks(5));
    assert_eq!(servers[1].calls(), before);
    assert_eq!(third.cordon("uncordon", "s1"), 200);
    assert_eq!(third.cordon("uncordon", "nobody"), 404);
}

#[test]
fn leftovers_that_can_not_be_read_keep_nobody_from_starting() {
    let server = Server::start(Does::Serve);
    let (listener, address) = listen();
    let directory = tempfile::tempdir().expect("a folder");
    let records = directory.path().join("fernscale");
    std::fs::create_dir(&records).expect("made");
    for (name, bytes) in [("7.json", &b"0000"[..]), ("8.json", b"\xff\xff"), ("9.lock", b""), ("what", b"?")]
    {
        std::fs::write(records.join(name), bytes).expect("written");
    }
    let _gateway = Inherits::start(&listener, directory.path(), &[&server]);
    assert_eq!(Client::to(address).ask(&call("t1", "read", 1_200)), "t1");
}

#[test]
fn a_passed_descriptor_that_does_not_listen_is_named_and_refused() {
    let (listener, address) = listen();
    let stream = std::net::TcpStream::connect(address).expect("connected");
    for (number, descriptor) in [("4", stream.as_raw_fd()), ("9", listener.as_raw_fd()), ("x", 0), ("1", 0)] {
        let script = format!("exec {} 4<&{descriptor}", env!("CARGO_BIN_EXE_fernscale"));
        rustix::io::fcntl_setfd(&stream, rustix::io::FdFlags::empty()).expect("inherited");
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).expect("inherited");
        let output = Command::new("bash")
            .args(["-c", &script])
            .env("BALANCER_CONFIG", file(&config(address, address, NO_SERVERS, 1024)))
            .env("BALANCER_PASSED_SOCKET", number)
            .output()
            .expect("it runs");
        assert_eq!(output.status.code(), Some(1));
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(told.contains("BALANCER_PASSED_SOCKET") && told.lines().count() == 1, "{told}");
    }
}

#[test]
fn idle_clients_make_room_for_the_process_that_comes() {
    let server = Server::start(Does::Serve);
    let (listener, address) = listen();
    let directory = tempfile::tempdir().expect("a folder");
    let old = Inherits::with_sockets(&listener, directory.path(), &[&server], 200);
    // More than a half of all have asked twice, and stay.
    let mut clients: Vec<Client> = (0..95).map(|_| Client::to(address)).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.ask(&call(&format!("t{at}"), "read", 1_200)), format!("t{at}"));
        assert_eq!(client.ask(&ping()), "+PONG");
    }
    let new = Inherits::with_sockets(&listener, directory.path(), &[&server], 200);
    let began = Instant::now();
    loop {
        let held = [&old, &new].map(|gateway| {
            std::fs::read_dir(format!("/proc/{}/fd", gateway.process.id())).expect("it runs").count()
        });
        if held[0] <= 100 && clients.iter().filter(|client| !client.ended()).count() >= 30 {
            break;
        }
        assert!(began.elapsed() < SOON, "{held:?} descriptors");
        wait(10);
    }
}

/// Guards against clients left in the queue of a passed socket: a process that ends without a successor took none of them, and
/// they waited without an answer until another process came.
#[test]
fn clients_that_connect_right_after_sigterm_are_served_where_no_other_process_is() {
    let server = Server::start(Does::Serve);
    let (listener, address) = listen();
    let directory = tempfile::tempdir().expect("a folder");
    let mut gateway = Inherits::start(&listener, directory.path(), &[&server]);
    rustix::process::kill_process(Pid::from_child(&gateway.process), Signal::TERM).expect("signalled");
    for (at, pause) in [50, 150, 150].into_iter().enumerate() {
        wait(pause);
        let id = format!("t{at}");
        assert_eq!(Client::to(address).ask(&call(&id, "read", 1_200)), id);
    }
    let began = Instant::now();
    while gateway.process.try_wait().expect("waited").is_none() {
        assert!(began.elapsed() < SOON, "it does not end");
        wait(5);
    }
}

/// Danger: a process that can't be seen has the whole of its gateway's ceilings and cold budgets, and so has the other.
#[test]
fn a_folder_that_can_not_be_used_for_a_moment_does_not_keep_two_processes_apart() {
    let directory = tempfile::tempdir().expect("a directory");
    let (listener, _) = listen();
    let server = Server::start(Does::Serve);
    let _first = Inherits::start(&listener, directory.path(), &[&server]);
    let (records, away) = (directory.path().join("fernscale"), directory.path().join("away"));
    std::fs::rename(&records, &away).expect("away");
    std::fs::write(&records, "no directory").expect("written");
    let back = (records.clone(), away.clone());
    let mends = thread::spawn(move || {
        thread::sleep(Duration::from_millis(500));
        // At once: the second process makes the directory as soon as nothing stands in its place.
        let flags = RenameFlags::EXCHANGE;
        rustix::fs::renameat_with(CWD, &back.1, CWD, &back.0, flags).expect("back");
    });
    let second = Inherits::start(&listener, directory.path(), &[&server]);
    mends.join().expect("mended");
    // The first hears of it, which it can only if it sees the second.
    let began = Instant::now();
    let locks = || {
        let entries = std::fs::read_dir(&records).into_iter().flatten().flatten();
        entries.filter(|entry| entry.path().extension().is_some_and(|kind| kind == "lock")).count()
    };
    while locks() < 2 {
        assert!(began.elapsed() < SOON, "the second is not seen");
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(second.cordon("cordon", "s0"), 200);
}
