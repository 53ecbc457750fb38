//! `fernscale jobs`: the leases of the fleet, as reported by the configured gateway and by the live acceptors, and the
//! commands to release a lease and to cordon a gateway.

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
    /// Make the gateway that owns a job release it, so that another gateway takes it over
    Release {
        /// The job's name
        name: String,
    },
    /// Cordon the configured gateway before maintenance: it owns no job that another gateway can own
    Cordon,
    /// Uncordon the configured gateway: it can own jobs again
    Uncordon,
}

/// One line for each problem.
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

/// A lease with its holder.
struct GrantedLease {
    token: FencingToken,
    gateway: Option<Name>,
    remaining_ms: u64,
    /// Number of acceptors that report this holder.
    acceptor_count: usize,
}

/// The state of the fleet's leases, as the gateways report it.
struct Fleet {
    /// The view of the configured gateway, followed by those of the acceptors that replied.
    views: Vec<(SocketAddr, LeaseView)>,
    /// Acceptors that are not live or did not reply.
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
            let mut addresses = live_members
                .filter(|member| *member.peer.name == **acceptor)
                .map(|member| member.peer.address);
            match addresses.next_back().map(|address| (address, view(address, keys))) {
                Some((address, Ok(view))) => views.push((address, view)),
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
        // A lease needs the promises of a majority to have a holder. If fewer acceptors replied, all that replied must
        // agree.
        let required_promises =
            majority(leases.acceptors.names.len()).min(leases.acceptors.names.len() - silent_acceptors.len());
        held.retain(|_, granted| granted.acceptor_count >= required_promises.max(1));
        Ok(Fleet { views, silent_acceptors, held })
    }
}

fn query_leases(gateway: SocketAddr, keys: &[Key], query: &StatusQuery) -> Result<StatusReply, String> {
    let query = postcard::to_stdvec(query).map_err(|error| error.to_string())?;
    let reply = membership::query(gateway, keys, Channel::Lease, query).map_err(|error| error.to_string())?;
    let invalid_reply = |_| {
        format!(
            "the gateway at {gateway} does not take part in leases: it has no [owner], or has just started"
        )
    };
    postcard::from_bytes(&reply).map_err(invalid_reply)
}

fn view(gateway: SocketAddr, keys: &[Key]) -> Result<LeaseView, String> {
    match query_leases(gateway, keys, &StatusQuery::Leases)? {
        StatusReply::Leases(view) => Ok(view),
        _ => Err(format!("the gateway at {gateway} sent an unexpected reply")),
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
                if cordoned {
                    "the gateway is cordoned: it owns no job that another gateway can own"
                } else {
                    "the gateway can own jobs again"
                }
            );
            Ok(())
        }
        _ => Err(vec![format!("the gateway at {} sent an unexpected reply", membership_settings.listen)]),
    }
}

fn release(
    config: &Config,
    views: &[(SocketAddr, LeaseView)],
    held: &BTreeMap<Name, GrantedLease>,
    name: &str,
) -> Result<(), Problems> {
    let Some(membership_settings) = &config.membership else { return Ok(()) };
    let granted = held.get(name).ok_or_else(|| vec![format!("no gateway owns '{name}'")])?;
    let membership_view = membership::query_members(membership_settings.listen, &membership_settings.keys)
        .map_err(|error| vec![error.to_string()])?;
    let member_processes =
        membership_view.members.iter().map(|member| (member.peer.instance.0, member.peer.address));
    let local_process = (membership_view.local.instance.0, views[0].0);
    let holder = member_processes
        .chain([local_process])
        .find(|(process, _)| *process == granted.token.process.0)
        .map(|(_, address)| address);
    let holder = holder
        .ok_or_else(|| vec![format!("the owner of '{name}' can't be reached; the lease will expire")])?;
    match query_leases(holder, &membership_settings.keys, &StatusQuery::Release(name.into()))
        .map_err(|error| vec![error])?
    {
        StatusReply::Released(true) => {
            println!("'{name}' has been released");
            Ok(())
        }
        _ => Err(vec![format!("the gateway at {holder} no longer owns '{name}'")]),
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
    let local_leases = views[0].1.leases.iter().map(|status| {
        json!({ "job": &*status.lease, "place": status.rank, "term": status.held.map(|(token, ..)| token.term),
            "for_ms": status.held.map(|(_, since, _)| since), "refusals": status.rejections, "last": status.last_rejection })
    });
    json!({ "gateway": &*views[0].1.gateway, "jobs": jobs.collect::<Vec<_>>(),
        "voters": acceptors.collect::<Vec<_>>(), "own": local_leases.collect::<Vec<_>>() })
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
            "no majority votes: no gateway can own a job, and each gateway does alone only what is safe"
        );
    }
    if views[0].1.cordoned {
        println!("  {} is cordoned: it owns no job that another gateway can own", &*views[0].1.gateway);
    }
    for (address, view) in views.iter().filter(|(_, view)| view.acceptor.is_some()) {
        println!("  voter {:<20} {:<22} {}", &*view.gateway, address.to_string(), acceptor_state(view));
    }
    silent_acceptors.iter().for_each(|acceptor| println!("  voter {:<20} is not heard", &**acceptor));
    for (lease, GrantedLease { token, gateway, remaining_ms, .. }) in held {
        let holder = gateway.as_deref().unwrap_or("an unknown gateway");
        println!(
            "  {:<24} {holder:<20} term {}, for {remaining_ms} ms more, run {:016x}",
            &**lease, token.term, token.process.0
        );
    }
    for status in &views[0].1.leases {
        let since =
            status.held.map_or(String::new(), |(_, since, _)| format!(", owned for {} s", since / 1_000));
        let last_rejection =
            status.last_rejection.as_deref().map_or(String::new(), |error| format!(", the last: {error}"));
        println!(
            "  {:<24} here place {}{since}, {} refusals{last_rejection}",
            &*status.lease, status.rank, status.rejections
        );
    }
}
