//! Asks a running gateway how the servers stand, as the fleet sees them and as it does itself.

use std::path::PathBuf;

use fernscale_gateway::fleet::mesh;
use fernscale_gateway::program::config::Source;
use fernscale_membership::payload::Channel;
use fernscale_outlier_detection::view::{Seen, View};
use serde_json::json;

pub fn servers(own: Option<PathBuf>, json: bool) -> Result<(), Vec<String>> {
    let config = Source::from_environment(own).map_err(|why| vec![why])?.read()?;
    if config.signals.is_none() {
        return Err(vec!["the configuration has no [signals]: each gateway finds out alone".into()]);
    }
    let settings = config.mesh.ok_or_else(|| vec!["the configuration has no [mesh]".to_string()])?;
    let at = settings.listen;
    let answer =
        mesh::question(at, &settings.keys, Channel::OutlierDetection, Vec::new()).map_err(|why| vec![why])?;
    let nothing = |_| vec![format!("the gateway at {at} has no [signals], or has just started")];
    let view: View = postcard::from_bytes(&answer).map_err(nothing)?;
    if json {
        println!("{}", shown(&view));
    } else {
        print(&view);
    }
    Ok(())
}

fn shown(view: &View) -> serde_json::Value {
    let server = |seen: &Seen| {
        json!({ "server": seen.server, "standing": seen.standing.told(), "against": seen.against,
            "for_it": seen.for_it, "by": seen.by, "out_ms": seen.out_ms, "next": seen.next,
            "here": seen.here.map(|level| json!({ "bad_eighths": level.bad, "slow_doublings": level.slow })) })
    };
    json!({ "gateway": view.gateway, "out": view.out, "most_out": view.most_out,
        "servers": view.servers.iter().map(server).collect::<Vec<_>>() })
}

fn print(view: &View) {
    println!(
        "{}: {} servers, {:.1} in 100 of the capacity out of use by choice, {:.0} at the most",
        view.gateway,
        view.servers.len(),
        100.0 * view.out,
        100.0 * view.most_out
    );
    for seen in &view.servers {
        let here = seen.here.map_or(String::new(), |level| {
            let slow = if level.slow > 0 {
                format!(", {} times as slow", 1u32 << level.slow)
            } else {
                String::new()
            };
            format!(", here {} of 8 trips lost{slow}", level.bad)
        });
        let said = match seen.by {
            0 => String::new(),
            by => format!(", {by} gateways against it ({:.1} to {:.1})", seen.against, seen.for_it),
        };
        let out = seen.out_ms.map_or(String::new(), |ms| format!(", for {:.1} s", ms as f64 / 1e3));
        let next = seen.next.as_ref().map_or(String::new(), |next| format!(", {next} tries it next"));
        println!("  {:<24} {}{out}{said}{here}{next}", seen.server, seen.standing.told());
    }
}
