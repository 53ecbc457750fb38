//! Leases of gateways that run as processes: lease holders, operators' commands and invalid configurations.

mod fleet;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use fleet::{config, free};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(15);

/// A recorder that accepts every effect while the test runs.
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

    /// Kills the process and starts it again with another acceptor section.
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
        self.process = command.spawn().expect("the gateway starts");
    }

    fn jobs(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        command.args(["jobs", "--config"]).arg(&self.file).args(arguments).env_remove("BALANCER_CONFIG");
        command.output().expect("the command runs")
    }

    fn status(&self) -> Value {
        serde_json::from_slice(&self.jobs(&["--json"]).stdout).unwrap_or_default()
    }

    /// Waits until the given number of acceptors vote and the holder is an expected one. Returns the holder and its term.
    fn wait_for_holder(
        &self,
        voting_acceptors: usize,
        is_expected: impl Fn(&str, u64) -> bool,
    ) -> (String, u64) {
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
    let (holder, term) = gateways[0].wait_for_holder(3, |_, _| true);
    let printed = String::from_utf8_lossy(&gateways[1].jobs(&[]).stdout).into_owned();
    assert!(printed.contains("3 of 3 voters vote") && printed.contains("bills"), "{printed}");
    let released = gateways[0].jobs(&["release", "bills"]);
    assert!(released.status.success(), "{released:?}");
    let (second_holder, second_term) = gateways[0].wait_for_holder(3, |now, _| now != holder);
    assert!(second_term > term);
    // The holder is cordoned and then uncordoned.
    let index = ["a", "b", "c"].iter().position(|name| *name == second_holder).expect("one of them");
    assert!(gateways[index].jobs(&["cordon"]).status.success());
    let (third_holder, third_term) =
        gateways[0].wait_for_holder(3, |now, term| now != second_holder && term > second_term);
    assert!(String::from_utf8_lossy(&gateways[index].jobs(&[]).stdout).contains("is cordoned"));
    assert!(gateways[index].jobs(&["uncordon"]).status.success());
    let killed_holder = third_holder;
    let unknown = gateways[0].jobs(&["release", "nothing"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("no gateway owns 'nothing'"));
    // The holder is killed.
    let index = ["a", "b", "c"].iter().position(|name| *name == killed_holder).expect("one of them");
    drop(gateways.remove(index));
    let (_, last_term) = gateways[0].wait_for_holder(2, |now, _| now != killed_holder);
    assert!(last_term > third_term);
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
    let (_, term) = gateways[0].wait_for_holder(3, |_, _| true);
    let new_acceptors = "voters = [\"b\", \"c\", \"d\"]\nchange = 1\nvoters-before = [\"a\", \"b\", \"c\"]";
    let mut replacement = Gateway::start("d", Some(gateways[1].mesh), effects_recorder);
    replacement.restart_with(new_acceptors);
    gateways.push(replacement);
    // A rolling restart, as operators do it. The gateway that is the others' seed restarts last.
    for index in [1, 2, 0] {
        gateways[index].restart_with(new_acceptors);
        std::thread::sleep(Duration::from_millis(300));
    }
    let (_, new_term) = gateways[1].wait_for_holder(3, |_, _| true);
    assert!(new_term > term, "{new_term} after {term}");
    let printed = String::from_utf8_lossy(&gateways[0].jobs(&[]).stdout).into_owned();
    assert!(printed.contains("3 of 3 voters vote") && !printed.contains("voter a"), "{printed}");
}

#[test]
fn problems_of_the_lease_sections_are_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let address = free();
    let store = "[store]\nfolder = \"s\"\n";
    for (section, expected) in [
        ("[owner]\nvoters = [\"a\", \"b\"]", "lists 2 gateways; list 1, 3, 5 or 7"),
        ("[owner]\nvoters = [\"a\", \"b\", \"b\"]", "names 'b' twice"),
        ("[owner]\nvoters = [\"a\"]\nlease = \"1ms\"", "lease"),
        ("[owner]\nvoters = [\"a\"]\nleese = \"1s\"", "leese"),
        ("[owner]\nvoters = [\"a\"]", "needs [store]"),
        ("[owner]\nvoters = [\"b\"]\nlist = true", "needs polled discovery"),
        ("[owner]\nvoters = [\"b\"]\nchange = 1", "and the voters before the change"),
        ("[owner]\nvoters = [\"b\"]\nvoters-before = [\"c\"]", "and the voters before the change"),
        ("[trials]\njobs = [\"x\"]", "need 'trials.effects'"),
        ("[store]\n", "folder"),
    ] {
        let file = folder.path().join("fernscale.toml");
        std::fs::write(&file, config("a", address, address, address, KEYS, section)).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        let checked = command.arg("check").arg(&file).output().expect("the command runs");
        let printed = String::from_utf8_lossy(&checked.stderr).into_owned();
        assert!(checked.status.code() == Some(1) && printed.contains(expected), "{section}: {printed}");
    }
    let file = folder.path().join("fernscale.toml");
    let valid = format!("{store}[owner]\nvoters = [\"a\", \"b\", \"c\"]\nlease = \"3s\"\ndrift = 0.01\n");
    std::fs::write(&file, config("a", address, address, address, KEYS, &valid)).expect("written");
    let checked = Command::new(env!("CARGO_BIN_EXE_fernscale")).arg("check").arg(&file).output();
    assert!(checked.expect("the command runs").status.success());
}
