//! `fernscale check`: reads a configuration and reports its problems, without starting anything.

use std::path::PathBuf;

use fernscale_gateway::program::config::Source;

pub fn check(file: PathBuf) -> Result<(), Vec<String>> {
    let file_name = file.display().to_string();
    let is_platform_form = file.extension().is_some_and(|extension| extension == "json");
    let source = if is_platform_form {
        Source { installation: None, platform: Some(file) }
    } else {
        Source { installation: Some(file), platform: None }
    };
    let config = source.read()?;
    println!(
        "{file_name}: good; gateway '{}' of {}, {} lanes, {} plans, {} servers known",
        config.name,
        config.settings.gateway_count,
        config.settings.classes.len(),
        config.settings.plans.len(),
        config.known_endpoints.map_or(0, |known| known.servers.len()),
    );
    Ok(())
}
