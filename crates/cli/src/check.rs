//! Says whether a configuration would be taken.

use std::path::PathBuf;

use fernscale_gateway::program::config::Source;

pub fn check(file: PathBuf) -> Result<(), Vec<String>> {
    let shown = file.display().to_string();
    let platform = file.extension().is_some_and(|extension| extension == "json");
    let source = match platform {
        true => Source { installation: None, platform: Some(file) },
        false => Source { installation: Some(file), platform: None },
    };
    let config = source.read()?;
    println!(
        "{shown}: good; gateway '{}' of {}, {} lanes, {} plans, {} servers known",
        config.name,
        config.settings.gateway_count,
        config.settings.classes.len(),
        config.settings.plans.len(),
        config.known.map_or(0, |known| known.servers.len()),
    );
    Ok(())
}
