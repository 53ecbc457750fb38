//! Leases of gateways that run as processes: their holders, what operators see and do, and invalid configurations.

mod fleet;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use fleet::{config, free};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(15);

/// A recorder that accepts every effect, as long as the test runs.
fn effects_recorder() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut replies = stream.try_clone().expect("a stream");
                for _ in BufReader::new(stream).lines().map_while(Result::ok) {
                    if replies.write_all(b"{\"taken\":1}\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

const KEYS: &[&str] = &["00112233445566778899aabbccddeeff"];

struct Gateway {
    name: String,
    listen: SocketAddr,
    seed: SocketAddr,
    effects_recorder: SocketAddr,
    process: Child,
    file: PathBuf,
    mesh: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Gateway {
    fn start(name: &str, seed: Option<SocketAddr>, effects_recorder: SocketAddr) -> Gateway {
        let (listen, mesh) = (free(), free());
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("fernscale.toml");
        let (name, seed) = (name.to_string(), seed.unwrap_or(mesh));
        let process = Command::new("true").spawn().expect("a process");
        let mut gateway =
            Gateway { name, listen, seed, effects_recorder, process, file, mesh, _folder: folder };
        gateway.restart_with("voters = [\"a\", \"b\", \"c\"]");
        gateway
    }

    /// Kills the process and starts it again with these acceptors.
    fn restart_with(&mut self, acceptors: &str) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let store = self.file.with_file_name("store");
        let section = format!(
            "[store]\nfolder = \"{}\"\n[owner]\n{acceptors}\nlease = \"600ms\"\n\
             [trials]\njobs = [\"bills\"]\neffects = \"{}\"\n",
            store.display(),
            self.effects_recorder
        );
        let text = config(&self.name, self.listen, self.mesh, self.seed, KEYS, &section);
        std::fs::write(&self.file, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        command.arg("--config").arg(&self.file).env_remove("BALANCER_CONFIG").stderr(Stdio::null());
        self.process = command.spawn().expect("it starts");
    }

    fn jobs(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        command.args(["jobs", "--config"]).arg(&self.file).args(arguments).env_remove("BALANCER_CONFIG");
        command.output().expect("it runs")
    }

    fn status(&self) -> Value {
        serde_json::from_slice(&self.jobs(&["--json"]).stdout).unwrap_or_default()
    }

    /// The holder of the lease and its term, once so many acceptors vote and the holder is an expected one.
    fn holder_once(&self, voting_acceptors: usize, is_expected: impl Fn(&str, u64) -> bool) -> (String, u64) {
        let started_at = Instant::now();
        loop {
            let status = self.status();
            let acceptors = status["voters"].as_array().cloned().unwrap_or_default();
            let voting = acceptors.iter().filter(|acceptor| acceptor["state"] == "votes").count();
            let holder = status["jobs"][0]["owner"].as_str().zip(status["jobs"][0]["term"].as_u64());
            if let Some((holder, term)) =
                holder.filter(|(holder, term)| voting == voting_acceptors && is_expected(holder, *term))
            {
                return (holder.to_string(), term);
            }
            assert!(started_at.elapsed() < TIMEOUT, "{status}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn a_lease_has_one_holder_that_operators_see_release_and_cordon_until_it_dies() {
    let effects_recorder = effects_recorder();
    let first = Gateway::start("a", None, effects_recorder);
    let mut gateways = vec![first];
    for name in ["b", "c"] {
        let next = Gateway::start(name, Some(gateways[0].mesh), effects_recorder);
        gateways.push(next);
    }
    let (holder, term) = gateways[0].holder_once(3, |_, _| true);
    let printed = String::from_utf8_lossy(&gateways[1].jobs(&[]).stdout).into_owned();
    assert!(printed.contains("3 of 3 voters vote") && printed.contains("bills"), "{printed}");
    let released = gateways[0].jobs(&["release", "bills"]);
    assert!(released.status.success(), "{released:?}");
    let (next, later) = gateways[0].holder_once(3, |now, _| now != holder);
    assert!(later > term);
    // The holder is cordoned, and uncordoned after that.
    let at = ["a", "b", "c"].iter().position(|name| *name == next).expect("one of them");
    assert!(gateways[at].jobs(&["cordon"]).status.success());
    let (other, later) = gateways[0].holder_once(3, |now, term| now != next && term > later);
    assert!(String::from_utf8_lossy(&gateways[at].jobs(&[]).stdout).contains("is cordoned"));
    assert!(gateways[at].jobs(&["uncordon"]).status.success());
    let next = other;
    let unknown = gateways[0].jobs(&["release", "nothing"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("nobody owns 'nothing' now"));
    // The holder is killed.
    let at = ["a", "b", "c"].iter().position(|name| *name == next).expect("one of them");
    drop(gateways.remove(at));
    let (_, last_term) = gateways[0].holder_once(2, |now, _| now != next);
    assert!(last_term > later);
    drop(gateways.remove(1));
    let started_at = Instant::now();
    loop {
        let printed = String::from_utf8_lossy(&gateways[0].jobs(&[]).stdout).into_owned();
        if printed.contains("no majority votes") && printed.contains("0 jobs have an owner") {
            break;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{printed}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn an_acceptor_is_replaced_by_another_and_terms_keep_rising() {
    let effects_recorder = effects_recorder();
    let mut gateways = vec![Gateway::start("a", None, effects_recorder)];
    for name in ["b", "c"] {
        let next = Gateway::start(name, Some(gateways[0].mesh), effects_recorder);
        gateways.push(next);
    }
    let (_, term) = gateways[0].holder_once(3, |_, _| true);
    let changed = "voters = [\"b\", \"c\", \"d\"]\nchange = 1\nvoters-before = [\"a\", \"b\", \"c\"]";
    let mut next = Gateway::start("d", Some(gateways[1].mesh), effects_recorder);
    next.restart_with(changed);
    gateways.push(next);
    // One by one, as operators do. The seed of the others is the last.
    for at in [1, 2, 0] {
        gateways[at].restart_with(changed);
        std::thread::sleep(Duration::from_millis(300));
    }
    let (_, later) = gateways[1].holder_once(3, |_, _| true);
    assert!(later > term, "{later} after {term}");
    let printed = String::from_utf8_lossy(&gateways[0].jobs(&[]).stdout).into_owned();
    assert!(printed.contains("3 of 3 voters vote") && !printed.contains("voter a"), "{printed}");
}

#[test]
fn problems_of_the_lease_sections_are_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let address = free();
    let store = "[store]\nfolder = \"s\"\n";
    for (section, expected) in [
        ("[owner]\nvoters = [\"a\", \"b\"]", "names 2 gateways; name 1, 3, 5 or 7"),
        ("[owner]\nvoters = [\"a\", \"b\", \"b\"]", "names 'b' twice"),
        ("[owner]\nvoters = [\"a\"]\nlease = \"1ms\"", "lease"),
        ("[owner]\nvoters = [\"a\"]\nleese = \"1s\"", "leese"),
        ("[owner]\nvoters = [\"a\"]", "needs [store]"),
        ("[owner]\nvoters = [\"b\"]\nlist = true", "needs a discovery that is asked"),
        ("[owner]\nvoters = [\"b\"]\nchange = 1", "names those before it"),
        ("[owner]\nvoters = [\"b\"]\nvoters-before = [\"c\"]", "names those before it"),
        ("[trials]\njobs = [\"x\"]", "need 'trials.effects'"),
        ("[store]\n", "folder"),
    ] {
        let file = folder.path().join("fernscale.toml");
        std::fs::write(&file, config("a", address, address, address, KEYS, section)).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        let checked = command.arg("check").arg(&file).output().expect("it runs");
        let printed = String::from_utf8_lossy(&checked.stderr).into_owned();
        assert!(checked.status.code() == Some(1) && printed.contains(expected), "{section}: {printed}");
    }
    let file = folder.path().join("fernscale.toml");
    let valid = format!("{store}[owner]\nvoters = [\"a\", \"b\", \"c\"]\nlease = \"3s\"\ndrift = 0.01\n");
    std::fs::write(&file, config("a", address, address, address, KEYS, &valid)).expect("written");
    let checked = Command::new(env!("CARGO_BIN_EXE_fernscale")).arg("check").arg(&file).output();
    assert!(checked.expect("it runs").status.success());
}
