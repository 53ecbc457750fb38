//! `fernscale servers`: the outlier status of each server, as a running gateway knows it.

use std::path::PathBuf;

use fernscale_gateway::fleet::membership;
use fernscale_gateway::program::config::Source;
use fernscale_membership::payload::Channel;
use fernscale_outlier_detection::status::{OutlierView, ServerView};
use serde_json::json;

pub fn servers(installation: Option<PathBuf>, json: bool) -> Result<(), Vec<String>> {
    let config = Source::from_environment(installation).map_err(|error| vec![error])?.read()?;
    if config.outlier_detection.is_none() {
        return Err(vec!["the configuration has no [signals]: each gateway detects outliers alone".into()]);
    }
    let settings = config.membership.ok_or_else(|| vec!["the configuration has no [mesh]".to_string()])?;
    let gateway = settings.listen;
    let reply = membership::query(gateway, &settings.keys, Channel::OutlierDetection, Vec::new())
        .map_err(|error| vec![error.to_string()])?;
    let invalid_reply = |_| vec![format!("the gateway at {gateway} has no [signals], or has just started")];
    let view: OutlierView = postcard::from_bytes(&reply).map_err(invalid_reply)?;
    if json {
        println!("{}", to_json(&view));
    } else {
        print(&view);
    }
    Ok(())
}

fn to_json(view: &OutlierView) -> serde_json::Value {
    let server_json = |server: &ServerView| {
        json!({ "server": server.server, "standing": server.status.description(), "against": server.against,
            "for_it": server.in_favor, "by": server.reporters, "out_ms": server.ejected_ms, "next": server.next_trial,
            "here": server.observed.map(|observation| json!({ "bad_eighths": observation.failures, "slow_doublings": observation.slowness })) })
    };
    json!({ "gateway": view.gateway, "out": view.ejected_share, "most_out": view.max_ejected_share,
        "servers": view.servers.iter().map(server_json).collect::<Vec<_>>() })
}

fn print(view: &OutlierView) {
    println!(
        "{}: {} servers, {:.1} in 100 of the capacity out of use by choice, {:.0} at the most",
        view.gateway,
        view.servers.len(),
        100.0 * view.ejected_share,
        100.0 * view.max_ejected_share
    );
    for server in &view.servers {
        let local_observation = server.observed.map_or(String::new(), |observation| {
            let slowness = if observation.slowness > 0 {
                format!(", {} times as slow", 1u32 << observation.slowness)
            } else {
                String::new()
            };
            format!(", here {} of 8 trips lost{slowness}", observation.failures)
        });
        let reporters = match server.reporters {
            0 => String::new(),
            count => {
                format!(", {count} gateways against it ({:.1} to {:.1})", server.against, server.in_favor)
            }
        };
        let ejected = server.ejected_ms.map_or(String::new(), |ms| format!(", for {:.1} s", ms as f64 / 1e3));
        let next_trial = server
            .next_trial
            .as_ref()
            .map_or(String::new(), |next_trial| format!(", {next_trial} tries it next"));
        println!(
            "  {:<24} {}{ejected}{reporters}{local_observation}{next_trial}",
            server.server,
            server.status.description()
        );
    }
}
