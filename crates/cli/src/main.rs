//! The command `fernscale`. Exit codes: 0 done; 1 it could not be done, with a line for each reason on standard error;
//! 2 the call itself is wrong.

mod check;
mod jobs;
mod members;
mod serve;
mod servers;
mod store;
mod subsets;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A front door that meters many customers' use of one shared service through many gateways.
#[derive(Parser)]
#[command(name = "fernscale", version, after_help = CODES, after_long_help = CODES)]
struct Arguments {
    /// The installation's own configuration; without a command, a gateway is run by it
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Exit code for a wrong call.
const EXIT_USAGE: u8 = 2;

const CODES: &str = "\
Without a command it runs one gateway, as `serve` does. BALANCER_CONFIG may name the platform's configuration in JSON; \
what that says wins over the other file.

Exit codes: 0 done; 1 it could not be done, with a line for each reason on standard error; 2 the call is wrong.";

#[derive(Subcommand)]
enum Command {
    /// Run one gateway, until SIGTERM; SIGHUP reads the configuration anew
    Serve {
        /// The installation's own configuration
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Ask a running gateway which others it sees, by the keys of its configuration
    Members {
        /// The installation's own configuration
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// What it knows of all counts, instead
        #[arg(long)]
        counts: bool,
        /// One line of JSON
        #[arg(long)]
        json: bool,
    },
    /// Ask how the jobs of the fleet stand: who owns each, by which term; and whether the voters vote
    Jobs {
        /// The installation's own configuration
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// One line of JSON
        #[arg(long)]
        json: bool,
        #[command(subcommand)]
        command: Option<jobs::Command>,
    },
    /// Ask a running gateway how the servers stand, as the fleet sees them and as it does itself
    Servers {
        /// The installation's own configuration
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// One line of JSON
        #[arg(long)]
        json: bool,
    },
    /// Show which gateway uses which servers, as a running gateway sees it, or for a fleet that you think of
    Subsets(subsets::SubsetsArguments),
    /// Look into a store, or mend it, while no gateway has it
    Store {
        #[command(subcommand)]
        command: store::Command,
    },
    /// Read a configuration and name all that is wrong in it; nothing is started
    Check {
        /// A `fernscale.toml`, or the platform's configuration where the name ends in `.json`
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(help) if !help.use_stderr() => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(usage) => {
            let message = usage.to_string();
            let message = message.lines().next().unwrap_or_default().trim_start_matches("error: ");
            eprintln!("fernscale: {message}; see 'fernscale --help'");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let result = match arguments.command {
        None => serve::serve(arguments.config),
        Some(Command::Serve { config }) => serve::serve(config.or(arguments.config)),
        Some(Command::Members { config, counts, json }) => {
            members::members(config.or(arguments.config), counts, json)
        }
        Some(Command::Jobs { config, json, command }) => {
            jobs::run(config.or(arguments.config), json, command)
        }
        Some(Command::Servers { config, json }) => servers::servers(config.or(arguments.config), json),
        Some(Command::Subsets(mut subsets_arguments)) => {
            subsets_arguments.config = subsets_arguments.config.or(arguments.config);
            subsets::run(subsets_arguments)
        }
        Some(Command::Store { command }) => store::run(command),
        Some(Command::Check { file }) => check::check(file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(reasons) => {
            reasons.iter().for_each(|why| eprintln!("fernscale: {why}"));
            ExitCode::FAILURE
        }
    }
}
