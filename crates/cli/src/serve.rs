//! `fernscale serve`: runs one gateway.

use std::path::PathBuf;

use fernscale_gateway::program::config::Source;
use fernscale_gateway::program::{log, run};

pub fn serve(installation: Option<PathBuf>) -> Result<(), Vec<String>> {
    let source = Source::from_environment(installation).map_err(|error| vec![error])?;
    let config = source.read()?;
    let log = log::start(&config.name, config.logging);
    run::run(source, config, log).map_err(|error| vec![error.to_string()])
}
