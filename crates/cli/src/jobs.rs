//! `fernscale jobs`: the leases of the fleet, as the gateway of the configuration and the acceptors that it sees know
//! them; and the commands to release a lease or to cordon a gateway.

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

/// A line for each problem.
type Problems = Vec<String>;

pub fn run(installation: Option<PathBuf>, json: bool, command: Option<Command>) -> Result<(), Problems> {
    let source = Source::from_environment(installation).map_err(|error| vec![error])?;
    let config = source.read()?;
    if let Some(command @ (Command::Cordon | Command::Uncordon)) = &command {
        return cordon(&config, matches!(command, Command::Cordon));
    }
    let Fleet { views, silent_acceptors, held } = Fleet::query(&config)?;
    match command {
        Some(Command::Release { name }) => release(&config, &views, &held, &name),
        _ if json => {
            println!("{}", to_json(&config, &views, &held));
            Ok(())
        }
        _ => {
            print_summary(&config, &views, &silent_acceptors, &held);
            Ok(())
        }
    }
}

/// A lease that has a holder.
struct GrantedLease {
    token: FencingToken,
    gateway: Option<Name>,
    remaining_ms: u64,
    /// Acceptors that report this holder.
    acceptor_count: usize,
}

/// What the gateways report.
struct Fleet {
    /// The view of the configuration's gateway, then those of the acceptors that have replied.
    views: Vec<(SocketAddr, LeaseView)>,
    /// Acceptors that are not live, or have not replied.
    silent_acceptors: Vec<Name>,
    held: BTreeMap<Name, GrantedLease>,
}

impl Fleet {
    fn query(config: &Config) -> Result<Fleet, Problems> {
        let membership_settings =
            config.membership.as_ref().ok_or_else(|| vec!["the configuration has no [mesh]".into()])?;
        let leases = config.leases.as_ref().ok_or_else(|| vec!["the configuration has no [owner]".into()])?;
        let keys = &membership_settings.keys;
        let membership_view = membership::query_members(membership_settings.listen, keys)
            .map_err(|error| vec![error.to_string()])?;
        let local_view = view(membership_settings.listen, keys).map_err(|error| vec![error])?;
        let (mut views, mut silent_acceptors) = (vec![(membership_settings.listen, local_view)], Vec::new());
        let local_name = views[0].1.gateway.clone();
        for acceptor in leases.acceptors.names.iter().filter(|acceptor| **acceptor != local_name) {
            let live_members = membership_view.members.iter().filter(|member| member.is_alive());
            let mut at = live_members
                .filter(|member| *member.peer.name == **acceptor)
                .map(|member| member.peer.address);
            match at.next_back().map(|at| (at, view(at, keys))) {
                Some((at, Ok(view))) => views.push((at, view)),
                _ => silent_acceptors.push(acceptor.clone()),
            }
        }
        let process_names: BTreeMap<u64, Name> = views
            .iter()
            .flat_map(|(_, view)| view.processes.iter().map(|(name, run)| (*run, name.clone())))
            .collect();
        let mut held: BTreeMap<Name, GrantedLease> = BTreeMap::new();
        for status in views.iter().flat_map(|(_, view)| &view.held) {
            let gateway = process_names.get(&status.holder.process.0).cloned();
            let granted = GrantedLease {
                token: status.holder,
                gateway,
                remaining_ms: status.remaining_ms,
                acceptor_count: 1,
            };
            match held.get_mut(&status.lease) {
                Some(known) if known.token == status.holder => {
                    known.acceptor_count += 1;
                    known.remaining_ms = known.remaining_ms.max(status.remaining_ms);
                }
                Some(known) if known.token > status.holder => {}
                _ => drop(held.insert(status.lease.clone(), granted)),
            }
        }
        // A lease that fewer than a majority have promised has no holder, unless too few acceptors have replied.
        let required_promises =
            majority(leases.acceptors.names.len()).min(leases.acceptors.names.len() - silent_acceptors.len());
        held.retain(|_, granted| granted.acceptor_count >= required_promises.max(1));
        Ok(Fleet { views, silent_acceptors, held })
    }
}

fn query_leases(to: SocketAddr, keys: &[Key], query: &StatusQuery) -> Result<StatusReply, String> {
    let query = postcard::to_stdvec(query).map_err(|error| error.to_string())?;
    let reply = membership::query(to, keys, Channel::Lease, query).map_err(|error| error.to_string())?;
    let no_reply = |_| {
        format!("the gateway at {to} takes no part in owning jobs: it has no [owner], or has just started")
    };
    postcard::from_bytes(&reply).map_err(no_reply)
}

fn view(to: SocketAddr, keys: &[Key]) -> Result<LeaseView, String> {
    match query_leases(to, keys, &StatusQuery::Leases)? {
        StatusReply::Leases(view) => Ok(view),
        _ => Err(format!("the gateway at {to} answers with something else")),
    }
}

fn cordon(config: &Config, cordoned: bool) -> Result<(), Problems> {
    let membership_settings =
        config.membership.as_ref().ok_or_else(|| vec!["the configuration has no [mesh]".to_string()])?;
    let reply =
        query_leases(membership_settings.listen, &membership_settings.keys, &StatusQuery::Cordon(cordoned))
            .map_err(|error| vec![error])?;
    match reply {
        StatusReply::Cordoned(is_cordoned) if is_cordoned == cordoned => {
            println!(
                "{}",
                if cordoned { "this gateway owns nothing where another can" } else { "it owns jobs again" }
            );
            Ok(())
        }
        _ => Err(vec![format!("the gateway at {} answers with something else", membership_settings.listen)]),
    }
}

fn release(
    config: &Config,
    views: &[(SocketAddr, LeaseView)],
    held: &BTreeMap<Name, GrantedLease>,
    name: &str,
) -> Result<(), Problems> {
    let Some(membership_settings) = &config.membership else { return Ok(()) };
    let granted = held.get(name).ok_or_else(|| vec![format!("nobody owns '{name}' now")])?;
    let membership_view = membership::query_members(membership_settings.listen, &membership_settings.keys)
        .map_err(|error| vec![error.to_string()])?;
    let of_members =
        membership_view.members.iter().map(|member| (member.peer.instance.0, member.peer.address));
    let own = (membership_view.local.instance.0, views[0].0);
    let at =
        of_members.chain([own]).find(|(process, _)| *process == granted.token.process.0).map(|(_, at)| at);
    let at =
        at.ok_or_else(|| vec![format!("the owner of '{name}' can't be reached; its lease ends by itself")])?;
    match query_leases(at, &membership_settings.keys, &StatusQuery::Release(name.into()))
        .map_err(|error| vec![error])?
    {
        StatusReply::Released(true) => {
            println!("'{name}' is given back");
            Ok(())
        }
        _ => Err(vec![format!("the gateway at {at} does not own '{name}' any more")]),
    }
}

fn acceptor_state(view: &LeaseView) -> &'static str {
    match view.acceptor {
        None => "is no voter",
        Some(AcceptorState::Voting) => "votes",
        Some(AcceptorState::Recovering) => "waits to be let in",
        Some(AcceptorState::NotVoting) => "does not vote: see its log",
    }
}

fn to_json(
    config: &Config,
    views: &[(SocketAddr, LeaseView)],
    held: &BTreeMap<Name, GrantedLease>,
) -> serde_json::Value {
    let jobs = held.iter().map(|(lease, granted)| {
        json!({ "job": &**lease, "owner": granted.gateway.as_deref(), "term": granted.token.term,
            "run": format!("{:016x}", granted.token.process.0), "left_ms": granted.remaining_ms })
    });
    let acceptors = config.leases.iter().flat_map(|leases| &leases.acceptors.names).map(|acceptor| {
        let view =
            views.iter().find(|(_, view)| view.gateway == *acceptor).map(|(_, view)| acceptor_state(view));
        json!({ "voter": &**acceptor, "state": view.unwrap_or("is not heard") })
    });
    let own = views[0].1.leases.iter().map(|status| {
        json!({ "job": &*status.lease, "place": status.rank, "term": status.held.map(|(token, ..)| token.term),
            "for_ms": status.held.map(|(_, since, _)| since), "refusals": status.rejections, "last": status.last_rejection })
    });
    json!({ "gateway": &*views[0].1.gateway, "jobs": jobs.collect::<Vec<_>>(),
        "voters": acceptors.collect::<Vec<_>>(), "own": own.collect::<Vec<_>>() })
}

fn print_summary(
    config: &Config,
    views: &[(SocketAddr, LeaseView)],
    silent_acceptors: &[Name],
    held: &BTreeMap<Name, GrantedLease>,
) {
    let acceptor_count = config.leases.as_ref().map_or(0, |leases| leases.acceptors.names.len());
    let voting = views.iter().filter(|(_, view)| view.acceptor == Some(AcceptorState::Voting)).count();
    println!("{} of {acceptor_count} voters vote, {} jobs have an owner", voting, held.len());
    if voting < majority(acceptor_count) {
        println!(
            "no majority votes: nobody can own anything, and each gateway does what it safely can alone"
        );
    }
    if views[0].1.cordoned {
        println!("  {} is cordoned: it owns nothing where another can", &*views[0].1.gateway);
    }
    for (at, view) in views.iter().filter(|(_, view)| view.acceptor.is_some()) {
        println!("  voter {:<20} {:<22} {}", &*view.gateway, at.to_string(), acceptor_state(view));
    }
    silent_acceptors.iter().for_each(|acceptor| println!("  voter {:<20} is not heard", &**acceptor));
    for (lease, GrantedLease { token, gateway, remaining_ms, .. }) in held {
        let holder = gateway.as_deref().unwrap_or("a gateway that is not there");
        println!(
            "  {:<24} {holder:<20} term {}, for {remaining_ms} ms more, run {:016x}",
            &**lease, token.term, token.process.0
        );
    }
    for status in &views[0].1.leases {
        let since =
            status.held.map_or(String::new(), |(_, since, _)| format!(", owned for {} s", since / 1_000));
        let last =
            status.last_rejection.as_deref().map_or(String::new(), |error| format!(", the last: {error}"));
        println!(
            "  {:<24} here place {}{since}, {} refusals{last}",
            &*status.lease, status.rank, status.rejections
        );
    }
}
