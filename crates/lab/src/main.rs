//! The command `fernscale-lab`. Exit codes: 0 done, and all held; 1 a rule was broken or a claim did not hold; 2 the call
//! is wrong, or it could not be played; 3 the run is void and says nothing.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use clap::{Args, Parser, Subcommand};
use fernscale_lab::explore::{explore, Bounds};
use fernscale_lab::lease_explorer::{FaultBudget, LeaseSystem, SeededMistake};
use fernscale_lab::live::gateway::Program;
use fernscale_lab::live::load::{Load, Pace};
use fernscale_lab::live::play::{beside_this, play, Options};
use fernscale_lab::live::{counter, discovery, load, misbehaving_gateway, servers, World};
use fernscale_lab::model::clients::{Idempotency, KeyScope, RequestClass};
use fernscale_lab::model::discovery::{Entry, Status};
use fernscale_lab::model::server::{unshared_memories, Server, SlowStart, Spec};
use fernscale_lab::scenario::Scenario;
use fernscale_lab::{
    fault_schedule, history, lease_simulation, outlier_simulation, quota_simulation, report, scenario, soak,
    subsetting_comparison, virtual_time, Micros, SECOND,
};

/// Tries gateways: stand-ins for all they meet, a load, faults, and a ledger of the five rules.
#[derive(Parser)]
#[command(name = "fernscale-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario with real gateway processes, and judge it
    Run(Run),
    /// Put a load on one gateway that runs already, and measure it
    Load(Asked),
    /// Servers, discovery and a counter to try a gateway with, until Ctrl-C
    StandIns(StandIns),
    /// Play a scenario's faults on the mesh in virtual time, for as many gateways as one likes
    Virtual {
        scenario: PathBuf,
        #[arg(long)]
        gateways: Option<u32>,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Play storms of faults that are drawn from a scenario's menu, and make those that fail smaller
    Storm(Storm),
    /// Play days of faults drawn by seed, each once, and keep the history of those on which a rule breaks
    Soak(Soak),
    /// Judge a history that was kept, from its file alone
    Judge { history: PathBuf },
    /// Check scenario files without playing them
    Check { files: Vec<PathBuf> },
    /// Look at every interleaving of three voters and two that want a job, within bounds
    Explore(Explore),
    /// Measure the mesh in virtual time, for so many gateways
    Mesh {
        #[arg(long, default_values_t = [3, 30, 300])]
        gateways: Vec<usize>,
        #[arg(long, default_value_t = 500)]
        customers: usize,
        /// Additions that each gateway makes in a second
        #[arg(long, default_value_t = 100.0)]
        adds: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure in virtual time what a bad server costs fleets that tell each other, and such that don't
    Signals {
        #[arg(long, default_values_t = [3, 30, 300])]
        gateways: Vec<usize>,
    },
    /// Measure what passes beyond quotas on a quiet day, beside a policy that sees the true state late
    Quotas {
        #[arg(long, default_values_t = [3, 30, 300])]
        gateways: Vec<u32>,
        /// Customers to each gateway
        #[arg(long, default_value_t = 3)]
        customers: u32,
        /// Calls a second that the counter bears
        #[arg(long, default_value_t = 1_000.0)]
        calls: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure how servers are dealt to gateways, beside other ways
    Subsets {
        #[arg(long, default_value_t = 300)]
        gateways: usize,
        #[arg(long, default_value_t = 200)]
        servers: usize,
        /// Servers of a gateway, and gateways of a server, at the least
        #[arg(long, default_value_t = 12)]
        least: usize,
    },
    /// Measure owners of the fleet's jobs in virtual time, for so many gateways
    Owners {
        #[arg(long, default_values_t = [3, 30, 300])]
        gateways: Vec<usize>,
        #[arg(long, default_value_t = 3)]
        voters: usize,
        #[arg(long, default_value_t = 10)]
        jobs: usize,
        /// The lease, in milliseconds
        #[arg(long, default_value_t = 3_000)]
        lease: u64,
        /// How long a sync of a voter's disk takes, in microseconds
        #[arg(long, default_value_t = 1_000)]
        sync: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure the store on a folder, which must be empty
    Store {
        folder: PathBuf,
        #[arg(long, default_value_t = 1_000_000)]
        keys: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A gateway that breaks a rule on purpose, to see that the ledger catches it
    Rogue {
        breaks: misbehaving_gateway::Break,
        /// Not read: gateways are called with it
        #[arg(long)]
        config: Option<PathBuf>,
    },
}

#[derive(Args)]
struct Run {
    scenario: PathBuf,
    /// Write the report as JSON; - for standard output
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// As many gateways instead of the scenario's
    #[arg(long)]
    gateways: Option<u32>,
    #[arg(long)]
    seed: Option<u64>,
    /// Keep configurations and logs of the gateways here
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Write down all that happened, a line of JSON each, to be judged again
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Have the gateways log each request and attempt, and keep these records in the history
    #[arg(long)]
    debug_log: bool,
    /// The gateway's program with its arguments; the `fernscale` beside this program otherwise
    #[arg(long, value_name = "COMMAND")]
    gateway: Option<String>,
    /// Play a void run again, so many times at the most
    #[arg(long, default_value_t = 0)]
    again: u32,
}

#[derive(Args)]
struct Explore {
    /// A mistake that is to be found
    #[arg(long, default_value = "none")]
    seeded: SeededMistake,
    /// How much may be out of the usual in one run, all in all
    #[arg(long, default_value_t = 3)]
    odd: u32,
    /// Messages that are lost, and doubled; voters that end and start again; moves of the clock; effects of each owner
    #[arg(long, default_value_t = 1)]
    lost: u32,
    #[arg(long, default_value_t = 1)]
    doubled: u32,
    #[arg(long, default_value_t = 9)]
    overtaken: u32,
    #[arg(long, default_value_t = 9)]
    jumps: u32,
    #[arg(long, default_value_t = 1)]
    crashes: u32,
    #[arg(long, default_value_t = 6)]
    advances: u32,
    #[arg(long, default_value_t = 1)]
    effects: u32,
    /// Whoever starts again has lost its folder
    #[arg(long)]
    lose_folder: bool,
    /// The last of three voters gives way to a fourth; the four get the new configuration in this order, as in 3,0,1,2
    #[arg(long, value_name = "ORDER", value_parser = order)]
    change: Option<[usize; 4]>,
    #[arg(long, default_value_t = 200)]
    depth: usize,
    #[arg(long, default_value_t = 5_000_000)]
    states: usize,
}

#[derive(Args)]
struct Storm {
    scenario: PathBuf,
    /// The first seed, and the last, as in 1..20
    #[arg(long, default_value = "1..20", value_parser = seeds)]
    seeds: (u64, u64),
    /// Where each storm's scenario and outcome are kept; those that are there are not played again
    #[arg(long, value_name = "DIR")]
    folder: PathBuf,
    /// The gateway's program with its arguments; the `fernscale` beside this program otherwise
    #[arg(long, value_name = "COMMAND")]
    gateway: Option<String>,
}

#[derive(Args)]
struct Soak {
    scenario: PathBuf,
    /// The first seed, and the last, as in 1..50
    #[arg(long, default_value = "1..50", value_parser = seeds)]
    seeds: (u64, u64),
    /// Where the scenarios and histories of days on which a rule breaks are kept
    #[arg(long, value_name = "DIR")]
    folder: PathBuf,
    /// Days that are played side by side
    #[arg(long, default_value_t = 2)]
    side_by_side: usize,
    /// The gateway's program with its arguments; the `fernscale` beside this program otherwise
    #[arg(long, value_name = "COMMAND")]
    gateway: Option<String>,
}

#[derive(Args)]
struct Asked {
    /// Where the gateway listens
    #[arg(long)]
    to: SocketAddr,
    /// Transactions a second, open-loop
    #[arg(long, conflicts_with = "clients", required_unless_present = "clients")]
    rate: Option<f64>,
    /// Clients that ask as soon as they are answered
    #[arg(long)]
    clients: Option<u32>,
    #[arg(long, default_value = "10s", value_parser = time)]
    lasts: Micros,
    #[arg(long, default_value = "lookup")]
    lane: String,
    #[arg(long, default_value = "team")]
    plan: String,
    /// The lane's transactions can't be done again
    #[arg(long)]
    post: bool,
    /// The client's hard stop
    #[arg(long, default_value = "1500ms", value_parser = time)]
    wait: Micros,
    /// Customers to draw from; 0: each transaction has one of its own
    #[arg(long, default_value_t = 1000)]
    customers: u64,
    /// Bytes of a body
    #[arg(long, default_value_t = 0)]
    body: usize,
    /// The gateway's process, to measure what it takes
    #[arg(long)]
    pid: Option<i32>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Args)]
struct StandIns {
    /// How many servers, on the ports from 7011
    #[arg(long, default_value_t = 3)]
    boxes: u16,
    /// Time that a transaction of one unit takes
    #[arg(long, default_value = "20ms", value_parser = time)]
    work: Micros,
    /// Transactions that a server works on at once
    #[arg(long, default_value_t = 64)]
    cores: u32,
    /// Calls a second that the counter bears
    #[arg(long, default_value_t = 20_000.0)]
    calls: f64,
}

fn time(text: &str) -> Result<Micros, String> {
    humantime::parse_duration(text).map(|time| time.as_micros() as Micros).map_err(|why| why.to_string())
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").ok_or("two seeds are meant, as in 1..20")?;
    let seed = |text: &str| text.parse::<u64>().map_err(|why| format!("'{text}': {why}"));
    let (first, last) = (seed(first)?, seed(last)?);
    (first <= last).then_some((first, last)).ok_or("the last seed is before the first".into())
}

const NOT_HELD: u8 = 1;
const NOT_PLAYED: u8 = 2;
const VOID: u8 = 3;

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run(run) => run_scenario(run),
        Command::Load(asked) => put_load(asked),
        Command::StandIns(asked) => stand_ins(asked),
        Command::Virtual { scenario, gateways, seed } => play_virtually(&scenario, gateways, seed),
        Command::Storm(storm) => play_storms(storm),
        Command::Soak(soak) => play_soak(soak),
        Command::Explore(asked) => Ok(look(&asked)),
        Command::Judge { history } => judge(&history),
        Command::Check { files } => check(&files),
        Command::Mesh { gateways, customers, adds, seed } => {
            for count in gateways {
                println!("{}", fernscale_lab::membership_simulation::measure(count, customers, adds, seed));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Owners { gateways, voters, jobs, lease, sync, seed } => {
            for count in gateways {
                let voters = voters.clamp(1, count.max(1));
                let asked = lease_simulation::Asked {
                    gateways: count,
                    voters,
                    jobs,
                    lease: lease * 1_000,
                    sync,
                    seed,
                };
                println!("{}", lease_simulation::measure(asked));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Signals { gateways } => {
            for count in gateways {
                [false, true]
                    .iter()
                    .for_each(|alone| println!("{}", outlier_simulation::measure(count, *alone)));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Quotas { gateways, customers, calls, seed } => {
            for count in gateways {
                let day = quota_simulation::Day {
                    gateways: count,
                    customers: count * customers,
                    lasts: 25 * SECOND,
                    calls,
                    seed,
                };
                println!("{}", quota_simulation::measure(&day));
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Subsets { gateways, servers, least } => {
            subsetting_comparison::measure(gateways, servers, least).iter().for_each(|way| println!("{way}"));
            Ok(ExitCode::SUCCESS)
        }
        Command::Store { folder, keys, seed } => fernscale_lab::store_benchmark::measure(&folder, keys, seed)
            .map_err(|why| why.to_string())
            .map(|report| {
                println!("{report}");
                ExitCode::SUCCESS
            }),
        Command::Rogue { breaks, .. } => misbehaving_gateway::run(breaks).map(|()| ExitCode::SUCCESS),
    };
    done.unwrap_or_else(|why| {
        eprintln!("fernscale-lab: {why}");
        ExitCode::from(NOT_PLAYED)
    })
}

/// What is run as a gateway.
fn program(command: Option<String>) -> Result<Program, String> {
    if let Some(command) = command {
        let mut words = command.split_whitespace().map(String::from);
        let path = words.next().ok_or("--gateway names no program")?.into();
        return Ok(Program { path, arguments: words.collect() });
    }
    let path = beside_this("fernscale").ok_or("there is no program 'fernscale' beside this one")?;
    Ok(Program { path, arguments: Vec::new() })
}

fn run_scenario(run: Run) -> Result<ExitCode, String> {
    let mut scenario = scenario::read(&run.scenario).map_err(|why| why.to_string())?;
    scenario.seed = run.seed.unwrap_or(scenario.seed);
    if let Some(gateways) = run.gateways {
        scenario.fleet.gateways = gateways;
        scenario.check("--gateways", "").map_err(|why| why.to_string())?;
    }
    scenario.fleet.debug_log |= run.debug_log;
    let program = program(run.gateway)?;
    let options = Options { program, keep: run.keep, history: run.history, live: true };
    let mut left = run.again;
    let report = loop {
        let report = play(&scenario, &options).map_err(|why| why.to_string())?;
        if report["void"].is_null() || left == 0 {
            break report;
        }
        left -= 1;
        eprintln!("fernscale-lab: void: {}; it is played again", report["void"].as_str().unwrap_or_default());
    };
    match &run.json {
        Some(file) if file.as_os_str() == "-" => println!("{report:#}"),
        Some(file) => {
            std::fs::write(file, format!("{report:#}\n"))
                .map_err(|why| format!("'{}': {why}", file.display()))?;
            println!("{}", report::table(&report));
        }
        None => println!("{}", report::table(&report)),
    }
    // A broken rule is one on any machine; claims on a void run say nothing.
    Ok(match () {
        () if report["rules"]["broken"] != 0 => ExitCode::from(NOT_HELD),
        () if !report["void"].is_null() => ExitCode::from(VOID),
        () if report::holds(&report) => ExitCode::SUCCESS,
        () => ExitCode::from(NOT_HELD),
    })
}

fn play_virtually(file: &Path, gateways: Option<u32>, seed: Option<u64>) -> Result<ExitCode, String> {
    let mut scenario = scenario::read(file).map_err(|why| why.to_string())?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    scenario.fleet.gateways = gateways.unwrap_or(scenario.fleet.gateways);
    scenario.check("--gateways", "").map_err(|why| why.to_string())?;
    let (rules, left_out) = virtual_time::play(&scenario);
    println!("{}: {} gateways, {left_out} faults left out", scenario.name, scenario.fleet.gateways);
    for (name, broken, instances) in &rules {
        let told = if *broken == 0 { "kept".into() } else { format!("BROKEN {broken} times") };
        println!("  rule {name:<10} {told}");
        instances.iter().for_each(|instance| println!("    {instance}"));
    }
    let kept = rules.iter().all(|(_, broken, _)| *broken == 0);
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::from(NOT_HELD) })
}

fn play_soak(asked: Soak) -> Result<ExitCode, String> {
    let base = scenario::read(&asked.scenario).map_err(|why| why.to_string())?;
    let (first, last) = asked.seeds;
    let plan = soak::Plan {
        base,
        seeds: first..=last,
        folder: asked.folder,
        program: program(asked.gateway)?,
        side_by_side: asked.side_by_side,
    };
    let days = soak::play_all(&plan).map_err(|why| why.to_string())?;
    days.iter().for_each(|day| println!("{day}"));
    println!("{}", soak::Summary::of(&days));
    let broken = days.iter().any(|day| !day.broken.is_empty());
    let void = days.iter().all(|day| day.void.is_some());
    Ok(match () {
        () if broken => ExitCode::from(NOT_HELD),
        () if void => ExitCode::from(VOID),
        () => ExitCode::SUCCESS,
    })
}

/// Plays of a storm that failed once, and how many of them must fail for it to count.
const AGAIN: u32 = 3;
const MOST: u32 = 2;

fn play_storms(asked: Storm) -> Result<ExitCode, String> {
    let base = scenario::read(&asked.scenario).map_err(|why| why.to_string())?;
    let menu = base.storm.clone().ok_or("the scenario has no [storm] to draw from")?;
    std::fs::create_dir_all(&asked.folder).map_err(|why| why.to_string())?;
    let options = Options { program: program(asked.gateway)?, keep: None, history: None, live: false };
    let (first, last) = asked.seeds;
    let bar = indicatif::ProgressBar::new(last - first + 1);
    let style = indicatif::ProgressStyle::with_template("{pos} of {len} storms, {eta} left; {msg}");
    bar.set_style(style.map_err(|why| why.to_string())?);
    let (mut failed, mut unfelt, mut faults) = (Vec::new(), 0, 0);
    for seed in first..=last {
        let own = fault_schedule::draw(&base, &menu, seed);
        faults += own.faults.len() as u64;
        let outcome = one_storm(&asked.folder, &own, &options, &bar)?;
        unfelt += outcome.unfelt;
        if outcome.failed {
            failed.push(format!("seed {seed}: {}", outcome.broken.first().cloned().unwrap_or_default()));
        }
        bar.set_message(format!("{} failed", failed.len()));
        bar.inc(1);
    }
    bar.finish_and_clear();
    let all = last - first + 1;
    println!("{all} storms, {faults} faults, {unfelt} that nobody felt; {} storms failed", failed.len());
    failed.iter().for_each(|told| println!("  {told}"));
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(NOT_HELD) })
}

/// Plays one storm, unless its outcome is there already.
fn one_storm(
    folder: &Path,
    own: &Scenario,
    options: &Options,
    bar: &indicatif::ProgressBar,
) -> Result<fault_schedule::Outcome, String> {
    let told = |why: std::io::Error| why.to_string();
    let file = |end: &str| folder.join(format!("storm-{}{end}", own.seed));
    if let Ok(kept) = std::fs::read_to_string(file(".json")) {
        if let Ok(outcome) = serde_json::from_str(&kept) {
            return Ok(outcome);
        }
    }
    let text = |scenario: &Scenario| toml::to_string(scenario).map_err(|why| why.to_string());
    std::fs::write(file(".toml"), text(own)?).map_err(told)?;
    let report = play(own, options).map_err(|why| why.to_string())?;
    let mut outcome = fault_schedule::Outcome {
        seed: own.seed,
        failed: !report::holds(&report),
        broken: report::broken(&report),
        unfelt: report["faults"]["unfelt"].as_u64().unwrap_or(0),
        again: None,
        least: None,
        void: !report["void"].is_null(),
    };
    // Claims on a void run say nothing; a broken rule is one on any machine.
    outcome.failed &= !outcome.void || report["rules"]["broken"] != 0;
    if outcome.failed {
        let fails = |scenario: &Scenario, plays: u32, enough: u32| {
            let mut failed = 0;
            for play_ in 0..plays {
                bar.set_message(format!("seed {}: {} faults, play {play_}", own.seed, scenario.faults.len()));
                failed += u32::from(play(scenario, options).is_ok_and(|report| !report::holds(&report)));
                if failed >= enough {
                    break;
                }
            }
            failed
        };
        let again = fails(own, AGAIN, AGAIN);
        outcome.again = Some((AGAIN, again));
        if again >= MOST {
            let least = fault_schedule::least(own, |fewer| fails(fewer, AGAIN, MOST) >= MOST);
            outcome.least = Some(least.faults.len());
            std::fs::write(file("-least.toml"), text(&least)?).map_err(told)?;
        }
    }
    let kept = serde_json::to_string_pretty(&outcome).map_err(|why| why.to_string())?;
    std::fs::write(file(".json"), kept).map_err(told)?;
    Ok(outcome)
}

/// The numbers from 0 to 3, each once, in some order.
fn order(text: &str) -> Result<[usize; 4], String> {
    let numbers: Vec<usize> = text.split(',').filter_map(|number| number.trim().parse().ok()).collect();
    let all = (0..4).all(|number| numbers.contains(&number));
    let order = <[usize; 4]>::try_from(numbers).ok().filter(|_| all);
    order.ok_or_else(|| format!("'{text}' does not name 0, 1, 2 and 3 once each, as in 3,0,1,2"))
}

fn look(asked: &Explore) -> ExitCode {
    let Explore {
        odd, lost, doubled, overtaken, jumps, crashes, advances, effects, lose_folder, change, ..
    } = *asked;
    let trouble =
        FaultBudget { odd, lost, doubled, overtaken, jumps, crashes, lose_folder, advances, effects, change };
    let start = LeaseSystem::new(asked.seeded, trouble);
    let found = explore(start, Bounds { depth: asked.depth, states: asked.states });
    let a_second = found.states as f64 / found.seconds.max(1e-9);
    let whole = if found.whole { "all of them" } else { "not all of them" };
    println!("{} states, {whole}, {a_second:.0} a second, {:.1} s", found.states, found.seconds);
    let Some((wrong, steps)) = found.wrong else { return ExitCode::SUCCESS };
    println!("wrong: {wrong}, after {} steps", steps.len());
    LeaseSystem::new(asked.seeded, trouble).told(&steps).iter().for_each(|step| println!("  {step}"));
    ExitCode::from(NOT_HELD)
}

fn judge(file: &Path) -> Result<ExitCode, String> {
    let (head, court) = history::check(file).map_err(|why| why.to_string())?;
    println!("{}, seed {}: {} events", head.scenario, head.seed, court.recorded);
    for (name, broken) in court.rules() {
        let told = if broken.count == 0 { "kept".into() } else { format!("BROKEN {} times", broken.count) };
        println!("  rule {name:<10} {told}");
        broken.instances.iter().for_each(|instance| println!("    {instance}"));
    }
    Ok(if court.violation_count() == 0 { ExitCode::SUCCESS } else { ExitCode::from(NOT_HELD) })
}

fn put_load(asked: Asked) -> Result<ExitCode, String> {
    let pace = match (asked.rate, asked.clients) {
        (Some(rate), _) if rate > 0.0 => Pace::Open(rate),
        (_, Some(clients)) if clients > 0 => Pace::Closed(clients),
        _ => return Err("the rate and the clients are above 0".into()),
    };
    let report = load::run(Load {
        to: asked.to,
        pace,
        lasts: asked.lasts,
        lane: asked.lane,
        plan: asked.plan,
        redoable: !asked.post,
        wait: asked.wait,
        customers: asked.customers,
        body: asked.body,
        pid: asked.pid,
        seed: asked.seed,
    });
    println!("{report:#}");
    Ok(if report["void"].is_null() { ExitCode::SUCCESS } else { ExitCode::from(VOID) })
}

fn check(files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut wrong = Vec::new();
    for file in files {
        match scenario::read(file) {
            Ok(scenario) => println!("{}: good; {}", file.display(), scenario.about),
            Err(why) => wrong.push(why.to_string()),
        }
    }
    if wrong.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Err(wrong.join("\nfernscale-lab: "))
    }
}

/// Where the stand-ins listen, as `examples/` has it.
const DISCOVERY: &str = "127.0.0.1:7002";
const COUNTER: &str = "127.0.0.1:7003";
const FIRST_BOX: u16 = 7011;

fn stand_ins(asked: StandIns) -> Result<ExitCode, String> {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    let lane = |name: &str, kind| RequestClass {
        name: name.into(),
        idempotency: kind,
        retention: 5_000_000,
        scope: KeyScope::All,
        latency_objective: 400_000,
        deadline: 1_500_000,
        priority_weight: 1.0,
        work: asked.work,
    };
    let lanes = Rc::new(vec![lane("lookup", Idempotency::Idempotent), lane("order", Idempotency::Keyed)]);
    let spec = Spec {
        cores: asked.cores,
        speed: 1.0,
        queue: 10_000,
        connections: 10_000,
        dial_work: 0,
        idle: 60_000_000,
        cancels: true,
        reports: false,
        cold: SlowStart { share: 1.0, warm_up: 0, multiple: 1e9, window: 1 },
    };
    let told = |why: std::io::Error| why.to_string();
    let work = async {
        let world = World::blind(executor);
        let list = discovery::Host::start_at(&world, &[address(DISCOVERY)]).map_err(told)?;
        let calls = fernscale_lab::model::counter::Spec {
            capacity: asked.calls,
            latency: 300,
            queue: 1000.0,
            connections: 32,
        };
        let _counter = counter::Host::start_at(&world, calls, &[address(COUNTER)], 1).map_err(told)?;
        let mut hosts = Vec::new();
        for number in 0..asked.boxes {
            let name = format!("box-{number}");
            let model = Server::new(spec.clone(), 0, 0, unshared_memories(), u64::from(number));
            let at = SocketAddr::from(([127, 0, 0, 1], FIRST_BOX + number));
            hosts.push(servers::Host::start(&world, &name, model, &lanes, false, &[at]).map_err(told)?);
            list.addresses.borrow_mut().insert((0, name.clone()), at);
            let (zone, kind) = ("here".to_string(), "small".to_string());
            let entry = Entry { zone, kind, cell: 0, status: Status::InService, weight: 1.0, started: None };
            list.list.borrow_mut().put(&name, entry);
        }
        println!(
            "{} servers from 127.0.0.1:{FIRST_BOX} on, discovery on {DISCOVERY}, a counter on {COUNTER}; ends with Ctrl-C",
            asked.boxes
        );
        futures_lite::future::pending::<Result<ExitCode, String>>().await
    };
    async_io::block_on(main.run(work))
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address that is written here")
}
