//! `fernscale members`: the members of the fleet, or the shared counters, as a running gateway knows them.

use std::path::PathBuf;

use fernscale_gateway::fleet::membership;
use fernscale_gateway::program::config::Source;

pub fn members(installation: Option<PathBuf>, counts: bool, json: bool) -> Result<(), Vec<String>> {
    let source = Source::from_environment(installation).map_err(|error| vec![error])?;
    let config = source.read()?;
    let settings = config.membership.ok_or_else(|| vec!["the configuration has no [mesh]".to_string()])?;
    if counts {
        let totals = membership::query_counters(settings.listen, &settings.keys)
            .map_err(|error| vec![error.to_string()])?;
        if json {
            println!("{}", serde_json::to_string(&totals).map_err(|error| vec![error.to_string()])?);
            return Ok(());
        }
        for counter in &totals {
            println!("  {:<40} {:>14.3}, for {} ms more", counter.key, counter.total, counter.expires_in_ms);
        }
        return Ok(());
    }
    let view = membership::query_members(settings.listen, &settings.keys)
        .map_err(|error| vec![error.to_string()])?;
    if json {
        let text = serde_json::to_string(&view).map_err(|error| vec![error.to_string()])?;
        println!("{text}");
        return Ok(());
    }
    let live = view.members.iter().filter(|member| member.is_alive()).count() + 1;
    println!(
        "{} at {}: {live} of {} gateways, {} counts, the counter is {}",
        view.local.name,
        view.local.address,
        view.configured_gateways,
        view.counter_count,
        view.counter_health
    );
    if live < view.configured_gateways as usize {
        println!("not all gateways are live: without the shared counter, this gateway can only estimate the counts");
    }
    for member in &view.members {
        let (peer, state) = (&member.peer, format!("{:?}", member.state).to_lowercase());
        println!(
            "  {:<20} {:<22} {state:<8} heard {} ms ago, run {:016x}",
            peer.name,
            peer.address.to_string(),
            member.last_heard_ms,
            peer.instance.0
        );
    }
    Ok(())
}
