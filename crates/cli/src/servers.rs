//! Asks a running gateway how the servers stand, as the fleet sees them and as it does itself.

use std::path::PathBuf;

use fernscale_gateway::fleet::membership;
use fernscale_gateway::program::config::Source;
use fernscale_membership::payload::Channel;
use fernscale_outlier_detection::status::{OutlierView, ServerView};
use serde_json::json;

pub fn servers(own: Option<PathBuf>, json: bool) -> Result<(), Vec<String>> {
    let config = Source::from_environment(own).map_err(|why| vec![why])?.read()?;
    if config.outlier_detection.is_none() {
        return Err(vec!["the configuration has no [signals]: each gateway finds out alone".into()]);
    }
    let settings = config.membership.ok_or_else(|| vec!["the configuration has no [mesh]".to_string()])?;
    let at = settings.listen;
    let answer = membership::query(at, &settings.keys, Channel::OutlierDetection, Vec::new())
        .map_err(|error| vec![error.to_string()])?;
    let nothing = |_| vec![format!("the gateway at {at} has no [signals], or has just started")];
    let view: OutlierView = postcard::from_bytes(&answer).map_err(nothing)?;
    if json {
        println!("{}", shown(&view));
    } else {
        print(&view);
    }
    Ok(())
}

fn shown(view: &OutlierView) -> serde_json::Value {
    let server = |seen: &ServerView| {
        json!({ "server": seen.server, "standing": seen.status.description(), "against": seen.against,
            "for_it": seen.in_favor, "by": seen.reporters, "out_ms": seen.ejected_ms, "next": seen.next_trial,
            "here": seen.observed.map(|level| json!({ "bad_eighths": level.failures, "slow_doublings": level.slowness })) })
    };
    json!({ "gateway": view.gateway, "out": view.ejected_share, "most_out": view.max_ejected_share,
        "servers": view.servers.iter().map(server).collect::<Vec<_>>() })
}

fn print(view: &OutlierView) {
    println!(
        "{}: {} servers, {:.1} in 100 of the capacity out of use by choice, {:.0} at the most",
        view.gateway,
        view.servers.len(),
        100.0 * view.ejected_share,
        100.0 * view.max_ejected_share
    );
    for seen in &view.servers {
        let here = seen.observed.map_or(String::new(), |level| {
            let slow = if level.slowness > 0 {
                format!(", {} times as slow", 1u32 << level.slowness)
            } else {
                String::new()
            };
            format!(", here {} of 8 trips lost{slow}", level.failures)
        });
        let said = match seen.reporters {
            0 => String::new(),
            by => format!(", {by} gateways against it ({:.1} to {:.1})", seen.against, seen.in_favor),
        };
        let out = seen.ejected_ms.map_or(String::new(), |ms| format!(", for {:.1} s", ms as f64 / 1e3));
        let next = seen.next_trial.as_ref().map_or(String::new(), |next| format!(", {next} tries it next"));
        println!("  {:<24} {}{out}{said}{here}{next}", seen.server, seen.status.description());
    }
}
