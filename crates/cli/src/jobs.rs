//! Asks gateways how the fleet's jobs stand: the one of the configuration, and the voters that it sees.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Subcommand;
use fernscale_gateway::fleet::membership;
use fernscale_gateway::program::config::{Config, Source};
use fernscale_lease::status::{AcceptorState, LeaseView, StatusQuery, StatusReply};
use fernscale_lease::{majority, FencingToken, Name};
use fernscale_membership::payload::Channel;
use fernscale_membership::seal::Key;
use serde_json::json;

#[derive(Subcommand)]
pub enum Command {
    /// Have a job given back by the gateway that owns it, so that another does it
    Release {
        /// The job's name
        name: String,
    },
    /// Have the gateway of this configuration own nothing where another can, before work on it
    Cordon,
    /// And let it own jobs again
    Uncordon,
}

type Failed = Vec<String>;

pub fn run(own: Option<PathBuf>, json: bool, command: Option<Command>) -> Result<(), Failed> {
    let source = Source::from_environment(own).map_err(|why| vec![why])?;
    let config = source.read()?;
    if let Some(on @ (Command::Cordon | Command::Uncordon)) = &command {
        return cordon(&config, matches!(on, Command::Cordon));
    }
    let Fleet { views, unheard, held } = Fleet::ask(&config)?;
    match command {
        Some(Command::Release { name }) => release(&config, &views, &held, &name),
        _ if json => {
            println!("{}", shown(&config, &views, &held));
            Ok(())
        }
        _ => {
            print(&config, &views, &unheard, &held);
            Ok(())
        }
    }
}

/// A job that is held: by whom, and for how long.
struct Holding {
    by: FencingToken,
    gateway: Option<Name>,
    left_ms: u64,
    /// Voters that say so.
    voters: usize,
}

struct Fleet {
    /// The gateway of the configuration first, then the voters.
    views: Vec<(SocketAddr, LeaseView)>,
    /// Voters that did not answer, or are not there.
    unheard: Vec<Name>,
    held: BTreeMap<Name, Holding>,
}

impl Fleet {
    fn ask(config: &Config) -> Result<Fleet, Failed> {
        let settings =
            config.membership.as_ref().ok_or_else(|| vec!["the configuration has no [mesh]".into()])?;
        let owner = config.leases.as_ref().ok_or_else(|| vec!["the configuration has no [owner]".into()])?;
        let keys = &settings.keys;
        let seen =
            membership::query_members(settings.listen, keys).map_err(|error| vec![error.to_string()])?;
        let own = view(settings.listen, keys).map_err(|why| vec![why])?;
        let (mut views, mut unheard) = (vec![(settings.listen, own)], Vec::new());
        let me = views[0].1.gateway.clone();
        for voter in owner.acceptors.names.iter().filter(|voter| **voter != me) {
            let there = seen.members.iter().filter(|member| member.is_alive());
            let mut at =
                there.filter(|member| *member.peer.name == **voter).map(|member| member.peer.address);
            match at.next_back().map(|at| (at, view(at, keys))) {
                Some((at, Ok(view))) => views.push((at, view)),
                _ => unheard.push(voter.clone()),
            }
        }
        let runs: BTreeMap<u64, Name> = views
            .iter()
            .flat_map(|(_, view)| view.processes.iter().map(|(name, run)| (*run, name.clone())))
            .collect();
        let mut held: BTreeMap<Name, Holding> = BTreeMap::new();
        for own in views.iter().flat_map(|(_, view)| &view.held) {
            let gateway = runs.get(&own.holder.process.0).cloned();
            let holding = Holding { by: own.holder, gateway, left_ms: own.remaining_ms, voters: 1 };
            match held.get_mut(&own.lease) {
                Some(known) if known.by == own.holder => {
                    known.voters += 1;
                    known.left_ms = known.left_ms.max(own.remaining_ms);
                }
                Some(known) if known.by > own.holder => {}
                _ => drop(held.insert(own.lease.clone(), holding)),
            }
        }
        // What fewer than a majority have promised nobody owns, or they could not all be asked.
        let enough = majority(owner.acceptors.names.len()).min(owner.acceptors.names.len() - unheard.len());
        held.retain(|_, holding| holding.voters >= enough.max(1));
        Ok(Fleet { views, unheard, held })
    }
}

fn asked(to: SocketAddr, keys: &[Key], question: &StatusQuery) -> Result<StatusReply, String> {
    let question = postcard::to_stdvec(question).map_err(|why| why.to_string())?;
    let answer = membership::query(to, keys, Channel::Lease, question).map_err(|error| error.to_string())?;
    let nothing = |_| {
        format!("the gateway at {to} takes no part in owning jobs: it has no [owner], or has just started")
    };
    postcard::from_bytes(&answer).map_err(nothing)
}

fn view(to: SocketAddr, keys: &[Key]) -> Result<LeaseView, String> {
    match asked(to, keys, &StatusQuery::Leases)? {
        StatusReply::Leases(view) => Ok(view),
        _ => Err(format!("the gateway at {to} answers with something else")),
    }
}

fn cordon(config: &Config, on: bool) -> Result<(), Failed> {
    let settings =
        config.membership.as_ref().ok_or_else(|| vec!["the configuration has no [mesh]".to_string()])?;
    let answer = asked(settings.listen, &settings.keys, &StatusQuery::Cordon(on)).map_err(|why| vec![why])?;
    match answer {
        StatusReply::Cordoned(now) if now == on => {
            println!(
                "{}",
                if on { "this gateway owns nothing where another can" } else { "it owns jobs again" }
            );
            Ok(())
        }
        _ => Err(vec![format!("the gateway at {} answers with something else", settings.listen)]),
    }
}

fn release(
    config: &Config,
    views: &[(SocketAddr, LeaseView)],
    held: &BTreeMap<Name, Holding>,
    name: &str,
) -> Result<(), Failed> {
    let Some(settings) = &config.membership else { return Ok(()) };
    let holding = held.get(name).ok_or_else(|| vec![format!("nobody owns '{name}' now")])?;
    let seen = membership::query_members(settings.listen, &settings.keys)
        .map_err(|error| vec![error.to_string()])?;
    let of_members = seen.members.iter().map(|member| (member.peer.instance.0, member.peer.address));
    let own = (seen.local.instance.0, views[0].0);
    let at = of_members.chain([own]).find(|(run, _)| *run == holding.by.process.0).map(|(_, at)| at);
    let at =
        at.ok_or_else(|| vec![format!("the owner of '{name}' can't be reached; its lease ends by itself")])?;
    match asked(at, &settings.keys, &StatusQuery::Release(name.into())).map_err(|why| vec![why])? {
        StatusReply::Released(true) => {
            println!("'{name}' is given back");
            Ok(())
        }
        _ => Err(vec![format!("the gateway at {at} does not own '{name}' any more")]),
    }
}

fn votes(view: &LeaseView) -> &'static str {
    match view.acceptor {
        None => "is no voter",
        Some(AcceptorState::Voting) => "votes",
        Some(AcceptorState::Recovering) => "waits to be let in",
        Some(AcceptorState::NotVoting) => "does not vote: see its log",
    }
}

fn shown(
    config: &Config,
    views: &[(SocketAddr, LeaseView)],
    held: &BTreeMap<Name, Holding>,
) -> serde_json::Value {
    let jobs = held.iter().map(|(job, holding)| {
        json!({ "job": &**job, "owner": holding.gateway.as_deref(), "term": holding.by.term,
            "run": format!("{:016x}", holding.by.process.0), "left_ms": holding.left_ms })
    });
    let voters = config.leases.iter().flat_map(|owner| &owner.acceptors.names).map(|voter| {
        let view = views.iter().find(|(_, view)| view.gateway == *voter).map(|(_, view)| votes(view));
        json!({ "voter": &**voter, "state": view.unwrap_or("is not heard") })
    });
    let own = views[0].1.leases.iter().map(|own| {
        json!({ "job": &*own.lease, "place": own.rank, "term": own.held.map(|(fence, ..)| fence.term),
            "for_ms": own.held.map(|(_, since, _)| since), "refusals": own.rejections, "last": own.last_rejection })
    });
    json!({ "gateway": &*views[0].1.gateway, "jobs": jobs.collect::<Vec<_>>(),
        "voters": voters.collect::<Vec<_>>(), "own": own.collect::<Vec<_>>() })
}

fn print(
    config: &Config,
    views: &[(SocketAddr, LeaseView)],
    unheard: &[Name],
    held: &BTreeMap<Name, Holding>,
) {
    let all = config.leases.as_ref().map_or(0, |owner| owner.acceptors.names.len());
    let voting = views.iter().filter(|(_, view)| view.acceptor == Some(AcceptorState::Voting)).count();
    println!("{} of {all} voters vote, {} jobs have an owner", voting, held.len());
    if voting < majority(all) {
        println!(
            "no majority votes: nobody can own anything, and each gateway does what it safely can alone"
        );
    }
    if views[0].1.cordoned {
        println!("  {} is cordoned: it owns nothing where another can", &*views[0].1.gateway);
    }
    for (at, view) in views.iter().filter(|(_, view)| view.acceptor.is_some()) {
        println!("  voter {:<20} {:<22} {}", &*view.gateway, at.to_string(), votes(view));
    }
    unheard.iter().for_each(|voter| println!("  voter {:<20} is not heard", &**voter));
    for (job, Holding { by, gateway, left_ms, .. }) in held {
        let who = gateway.as_deref().unwrap_or("a gateway that is not there");
        println!(
            "  {:<24} {who:<20} term {}, for {left_ms} ms more, run {:016x}",
            &**job, by.term, by.process.0
        );
    }
    for own in &views[0].1.leases {
        let since =
            own.held.map_or(String::new(), |(_, since, _)| format!(", owned for {} s", since / 1_000));
        let last = own.last_rejection.as_deref().map_or(String::new(), |why| format!(", the last: {why}"));
        println!("  {:<24} here place {}{since}, {} refusals{last}", &*own.lease, own.rank, own.rejections);
    }
}
