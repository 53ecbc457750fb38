//! Membership of gateways that run as processes: live members, authentication of messages, and rotation of keys.

mod fleet;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fleet::{config, free};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(10);
const OLD_KEY: &str = "00112233445566778899aabbccddeeff";
const NEW_KEY: &str = "ffeeddccbbaa99887766554433221100";

struct Gateway {
    process: Child,
    file: PathBuf,
    listen: SocketAddr,
    mesh: SocketAddr,
    seed: SocketAddr,
    name: String,
    _folder: tempfile::TempDir,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Gateway {
    fn start(name: &str, seed: Option<&Gateway>, keys: &[&str]) -> Gateway {
        let (listen, mesh) = (free(), free());
        let seed = seed.map_or(mesh, |seed| seed.mesh);
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("fernscale.toml");
        std::fs::write(&file, config(name, listen, mesh, seed, keys, "")).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        command.arg("--config").arg(&file).env_remove("BALANCER_CONFIG").stderr(Stdio::null());
        let process = command.spawn().expect("the gateway starts");
        Gateway { process, file, listen, mesh, seed, name: name.into(), _folder: folder }
    }

    fn members(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        command.args(["members", "--config"]).arg(&self.file).args(arguments).env_remove("BALANCER_CONFIG");
        command.output().expect("the command runs")
    }

    /// The sorted names of the other gateways that this gateway considers live.
    fn live_members(&self) -> Vec<String> {
        let view: Value = serde_json::from_slice(&self.members(&["--json"]).stdout).unwrap_or_default();
        let members = view["members"].as_array().cloned().unwrap_or_default();
        let live = members.iter().filter(|member| member["state"] == "Alive");
        let mut names: Vec<_> =
            live.map(|member| member["peer"]["name"].as_str().unwrap_or("?").to_string()).collect();
        names.sort();
        names
    }

    fn wait_until_live(&self, names: &[&str]) {
        let started_at = Instant::now();
        while self.live_members() != names {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "{} sees {:?}, not {names:?}",
                self.name,
                self.live_members()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn wait_until_printed(&self, text: &str) {
        let started_at = Instant::now();
        loop {
            let printed = String::from_utf8_lossy(&self.members(&[]).stdout).into_owned();
            if printed.contains(text) {
                return;
            }
            assert!(started_at.elapsed() < TIMEOUT, "{printed}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Reloads the configuration with other keys.
    fn set_keys(&self, keys: &[&str]) {
        self.reload(&config(&self.name, self.listen, self.mesh, self.seed, keys, ""));
    }

    fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).expect("written");
        let signal = Command::new("kill").args(["-HUP", &self.process.id().to_string()]).status();
        assert!(signal.expect("sent").success());
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn gateways_find_each_other_and_notice_one_that_dies() {
    let first = Gateway::start("a", None, &[OLD_KEY]);
    let second = Gateway::start("b", Some(&first), &[OLD_KEY]);
    let third = Gateway::start("c", Some(&first), &[OLD_KEY]);
    first.wait_until_live(&["b", "c"]);
    second.wait_until_live(&["a", "c"]);
    third.wait_until_live(&["a", "b"]);
    first.wait_until_printed("3 of 3 gateways");
    drop(third);
    first.wait_until_printed("2 of 3 gateways");
    first.wait_until_printed("dead");
}

#[test]
fn messages_are_rejected_while_the_senders_clock_is_too_far_off() {
    let first = Gateway::start("a", None, &[OLD_KEY]);
    let second = Gateway::start("b", Some(&first), &[OLD_KEY]);
    first.wait_until_live(&["b"]);
    let correct = config("b", second.listen, second.mesh, second.seed, &[OLD_KEY], "");
    second.reload(&format!("{correct}\n[trials]\nclock-ahead = \"20s\"\n"));
    first.wait_until_live(&[]);
    second.reload(&correct);
    first.wait_until_live(&["b"]);
    // A clock error of a few seconds is tolerated.
    second.reload(&format!("{correct}\n[trials]\nclock-behind = \"5s\"\n"));
    std::thread::sleep(Duration::from_secs(2));
    first.wait_until_live(&["b"]);
}

#[test]
fn other_gateways_know_and_use_the_advertised_address_only() {
    let first = Gateway::start("a", None, &[OLD_KEY]);
    let (real, advertised) = (free(), free());
    // Datagrams to the advertised address are forwarded to the real address, which no other gateway knows.
    let forwarder = UdpSocket::bind(advertised).expect("a socket");
    std::thread::spawn(move || {
        let mut bytes = [0; 2_000];
        while let Ok((length, _)) = forwarder.recv_from(&mut bytes) {
            let _ = forwarder.send_to(&bytes[..length], real);
        }
    });
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("fernscale.toml");
    let text = config("b", free(), real, first.mesh, &[OLD_KEY], "");
    let listen = format!("listen = \"{real}\"");
    std::fs::write(&file, text.replace(&listen, &format!("{listen}\nadvertise = \"{advertised}\"")))
        .expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
    command.arg("--config").arg(&file).env_remove("BALANCER_CONFIG").stderr(Stdio::null());
    let process = command.spawn().expect("the gateway starts");
    let second = Gateway {
        process,
        file,
        listen: real,
        mesh: real,
        seed: first.mesh,
        name: "b".into(),
        _folder: folder,
    };
    first.wait_until_live(&["b"]);
    let view = String::from_utf8_lossy(&first.members(&["--json"]).stdout).into_owned();
    assert!(view.contains(&advertised.to_string()) && !view.contains(&real.to_string()), "{view}");
    second.wait_until_live(&["a"]);
}

#[test]
fn a_gateway_with_another_key_learns_nothing_and_changes_nothing() {
    let first = Gateway::start("a", None, &[OLD_KEY]);
    let second = Gateway::start("b", Some(&first), &[OLD_KEY]);
    let stranger = Gateway::start("x", Some(&first), &[NEW_KEY]);
    first.wait_until_live(&["b"]);
    second.wait_until_live(&["a"]);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!((first.live_members(), stranger.live_members()), (vec!["b".to_string()], Vec::new()));
    // The stranger can't query the members either.
    std::fs::write(&stranger.file, config("x", stranger.listen, first.mesh, first.mesh, &[NEW_KEY], ""))
        .expect("written");
    let reply = stranger.members(&[]);
    assert_eq!((reply.status.code(), reply.stdout.len()), (Some(1), 0));
}

#[test]
fn members_stay_live_during_a_flood_of_forged_datagrams() {
    let first = Gateway::start("a", None, &[OLD_KEY]);
    let second = Gateway::start("b", Some(&first), &[OLD_KEY]);
    first.wait_until_live(&["b"]);
    let socket = UdpSocket::bind((first.mesh.ip(), 0)).expect("a socket");
    let mut forged = [7u8; 600];
    forged[0] = 1;
    let (target, flood_ends) = (first.mesh, AtomicBool::new(false));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !flood_ends.load(Ordering::Relaxed) {
                for _ in 0..200 {
                    let _ = socket.send_to(&forged, target);
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        // During the flood, a busy machine may drop valid datagrams, but only for a short time.
        std::thread::sleep(Duration::from_millis(1500));
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            first.wait_until_live(&["b"]);
            second.wait_until_live(&["a"]);
        }));
        flood_ends.store(true, Ordering::Relaxed);
        assert!(result.is_ok(), "the members are not live during the flood");
    });
}

#[test]
fn keys_are_rotated_while_membership_goes_on() {
    let first = Gateway::start("a", None, &[OLD_KEY]);
    let second = Gateway::start("b", Some(&first), &[OLD_KEY]);
    first.wait_until_live(&["b"]);
    for keys in [&[OLD_KEY, NEW_KEY][..], &[NEW_KEY, OLD_KEY], &[NEW_KEY]] {
        for gateway in [&first, &second] {
            gateway.set_keys(keys);
            first.wait_until_live(&["b"]);
            second.wait_until_live(&["a"]);
        }
    }
    let third = Gateway::start("c", Some(&first), &[NEW_KEY]);
    third.wait_until_live(&["a", "b"]);
    let old_key_gateway = Gateway::start("d", Some(&first), &[OLD_KEY]);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(old_key_gateway.live_members(), Vec::<String>::new());
}
