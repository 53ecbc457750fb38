//! The command `fernscale`. Exit codes: 0 success; 1 failure, with one line for each reason on standard error; 2 invalid
//! arguments.

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

/// A fleet of gateways that enforce the quotas of many tenants of one shared service.
#[derive(Parser)]
#[command(name = "fernscale", version, after_help = EXIT_CODES_HELP, after_long_help = EXIT_CODES_HELP)]
struct Arguments {
    /// The installation's configuration file; without a command, a gateway runs with it
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

const EXIT_CODES_HELP: &str = "\
Without a command, one gateway runs, as with `serve`. The environment variable BALANCER_CONFIG can name the platform's \
configuration file in JSON; its values override those of the installation's file.

Exit codes: 0 success; 1 failure, with one line for each reason on standard error; 2 invalid arguments.";

#[derive(Subcommand)]
enum Command {
    /// Run one gateway until SIGTERM; SIGHUP reloads the configuration
    Serve {
        /// The installation's configuration file
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Show the members of the fleet as a running gateway sees them; the query uses the keys of its configuration
    Members {
        /// The installation's configuration file
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Show the shared counts that the gateway knows instead of the members
        #[arg(long)]
        counts: bool,
        /// Print one line of JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the jobs of the fleet, with the owner and term of each, and whether the voters vote
    Jobs {
        /// The installation's configuration file
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Print one line of JSON
        #[arg(long)]
        json: bool,
        #[command(subcommand)]
        command: Option<jobs::Command>,
    },
    /// Show the status of the servers as the fleet and a running gateway see it
    Servers {
        /// The installation's configuration file
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Print one line of JSON
        #[arg(long)]
        json: bool,
    },
    /// Show which gateway uses which servers, as a running gateway sees it or for a hypothetical fleet
    Subsets(subsets::SubsetsArguments),
    /// Read, change, verify or repair a store that no gateway has open
    Store {
        #[command(subcommand)]
        command: store::Command,
    },
    /// Check a configuration and report all its problems, without starting anything
    Check {
        /// A `fernscale.toml`, or the platform's configuration if the file name ends in `.json`
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
            reasons.iter().for_each(|reason| eprintln!("fernscale: {reason}"));
            ExitCode::FAILURE
        }
    }
}
