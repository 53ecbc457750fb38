//! Gateways with subsetting and outlier detection that run as processes: the output of operators' commands while the fleet
//! shrinks.

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
        Gateway { process: command.spawn().expect("the gateway starts"), file, _folder: folder }
    }

    /// The JSON that a command prints about this gateway, or the text of its error.
    fn output(&self, command: &str) -> Result<Value, String> {
        let mut query = Command::new(env!("CARGO_BIN_EXE_fernscale"));
        query.args([command, "--json", "--config"]).arg(&self.file).env_remove("BALANCER_CONFIG");
        let output = query.output().expect("the command runs");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        serde_json::from_slice(&output.stdout).map_err(|_| error)
    }

    fn wait_for(&self, command: &str, is_expected: impl Fn(&Value) -> bool) -> Value {
        let started_at = Instant::now();
        loop {
            let output = self.output(command);
            match output {
                Ok(output) if is_expected(&output) => return output,
                other => assert!(started_at.elapsed() < TIMEOUT, "{command}: {other:?}"),
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn subsets_and_outlier_status_are_shown_while_the_fleet_shrinks() {
    let server = |index: usize| format!("[[server]]\nname = \"s{index}\"\naddress = \"{}\"\n", free());
    let servers: String = (0..9).map(server).collect();
    let more = format!("[subsets]\nleast = 3\n[signals]\n{servers}");
    let mesh_addresses = [free(), free(), free()];
    let start = |index: usize| {
        Gateway::start(["a", "b", "c"][index], mesh_addresses[index], mesh_addresses[0], &more)
    };
    let (first, second, third) = (start(0), start(1), start(2));
    let has_three_gateways = |output: &Value| {
        output["gateways"] == 3 && output["uses"].as_array().is_some_and(|uses| uses.len() > 2)
    };
    let output = first.wait_for("subsets", has_three_gateways);
    let uses = output["uses"].as_array().cloned().unwrap_or_default();
    let sum: f64 = uses.iter().filter_map(|used| used["share"].as_f64()).sum();
    assert!((sum - 1.0).abs() < 1e-6 && output["uncovered"] == 0, "{output}");
    // All gateways compute the same assignment.
    assert_eq!(second.wait_for("subsets", has_three_gateways)["pairs"], output["pairs"]);
    let status =
        first.wait_for("servers", |output| output["servers"].as_array().is_some_and(|all| all.len() == 9));
    assert!(
        status["servers"].as_array().into_iter().flatten().all(|server| server["standing"] == "fine"),
        "{status}"
    );
    assert_eq!(status["out"], 0.0);
    drop(third);
    let fewer = first.wait_for("subsets", |output| output["gateways"] == 2);
    assert!(fewer["uses"].as_array().is_some_and(|now| now.len() >= uses.len()), "{fewer}");
    // A gateway without either section reports that.
    let unconfigured = Gateway::start("d", free(), mesh_addresses[0], &servers);
    for command in ["subsets", "servers"] {
        let error = unconfigured.output(command).expect_err("the section is missing");
        assert!(
            error.contains(&format!("has no [{}]", if command == "subsets" { "subsets" } else { "signals" })),
            "{error}"
        );
    }
}
