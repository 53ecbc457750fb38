//! Gateways with subsetting and outlier detection, as processes: what operators see while the fleet shrinks.

mod fleet;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fleet::{config, free};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(15);
const KEY: &str = "00112233445566778899aabbccddeeff";

struct Gateway {
    process: Child,
    file: PathBuf,
    _folder: tempfile::TempDir,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Gateway {
    fn start(name: &str, mesh: SocketAddr, seed: SocketAddr, more: &str) -> Gateway {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("fernscale.toml");
        std::fs::write(&file, config(name, free(), mesh, seed, &[KEY], more)).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        command.arg("--config").arg(&file).env_remove("BALANCER_CONFIG").stderr(Stdio::null());
        Gateway { process: command.spawn().expect("it starts"), file, _folder: folder }
    }

    /// The JSON that a command prints of this gateway, or its first error.
    fn output(&self, command: &str) -> Result<Value, String> {
        let mut asked = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        asked.args([command, "--json", "--config"]).arg(&self.file).env_remove("BALANCER_CONFIG");
        let output = asked.output().expect("it runs");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        serde_json::from_slice(&output.stdout).map_err(|_| error)
    }

    fn wait_for(&self, command: &str, what: impl Fn(&Value) -> bool) -> Value {
        let began = Instant::now();
        loop {
            let output = self.output(command);
            match output {
                Ok(output) if what(&output) => return output,
                other => assert!(began.elapsed() < TIMEOUT, "{command}: {other:?}"),
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn subsets_and_outlier_status_are_shown_while_the_fleet_shrinks() {
    let server = |at: usize| format!("[[server]]\nname = \"s{at}\"\naddress = \"{}\"\n", free());
    let servers: String = (0..9).map(server).collect();
    let more = format!("[subsets]\nleast = 3\n[signals]\n{servers}");
    let meshes = [free(), free(), free()];
    let start = |at: usize| Gateway::start(["a", "b", "c"][at], meshes[at], meshes[0], &more);
    let (first, second, third) = (start(0), start(1), start(2));
    let of_three = |output: &Value| {
        output["gateways"] == 3 && output["uses"].as_array().is_some_and(|uses| uses.len() > 2)
    };
    let output = first.wait_for("subsets", of_three);
    let uses = output["uses"].as_array().cloned().unwrap_or_default();
    let sum: f64 = uses.iter().filter_map(|used| used["share"].as_f64()).sum();
    assert!((sum - 1.0).abs() < 1e-6 && output["uncovered"] == 0, "{output}");
    // All come to one deal, of the same pairs.
    assert_eq!(second.wait_for("subsets", of_three)["pairs"], output["pairs"]);
    let stand =
        first.wait_for("servers", |output| output["servers"].as_array().is_some_and(|all| all.len() == 9));
    assert!(
        stand["servers"].as_array().into_iter().flatten().all(|server| server["standing"] == "fine"),
        "{stand}"
    );
    assert_eq!(stand["out"], 0.0);
    drop(third);
    let fewer = first.wait_for("subsets", |output| output["gateways"] == 2);
    assert!(fewer["uses"].as_array().is_some_and(|now| now.len() >= uses.len()), "{fewer}");
    // Who has neither says so.
    let alone = Gateway::start("d", free(), meshes[0], &servers);
    for command in ["subsets", "servers"] {
        let told = alone.output(command).expect_err("it has none");
        assert!(
            told.contains(&format!("has no [{}]", if command == "subsets" { "subsets" } else { "signals" })),
            "{told}"
        );
    }
}
