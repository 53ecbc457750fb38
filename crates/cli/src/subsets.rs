//! `fernscale subsets`: which gateway uses which servers, as a running gateway knows it or for a hypothetical fleet.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::PathBuf;

use clap::Args;
use fernscale_gateway::fleet::membership;
use fernscale_gateway::program::config::Source;
use fernscale_membership::payload::Channel;
use fernscale_subsetting::status::SubsetView;
use fernscale_subsetting::{
    assign, evenness, moved_share, Assignments, Gateway, Server, Settings, MIN_SUBSET_SIZE,
};
use serde_json::{json, Value};

/// Maximum number of gateways, and of servers, in a hypothetical fleet.
const MAX_MEMBERS: usize = 5_000;
/// Values of `--least` that the summary compares.
const MIN_SERVERS_CHOICES: [usize; 5] = [3, 6, 12, 24, 48];

#[derive(Args)]
pub struct SubsetsArguments {
    /// The installation's configuration file
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Number of equal gateways of a hypothetical fleet, shown instead of the running fleet
    #[arg(long, requires = "servers")]
    gateways: Option<usize>,
    /// Number of equal servers of the hypothetical fleet
    #[arg(long, requires = "gateways")]
    servers: Option<usize>,
    /// Minimum number of servers of a gateway, instead of the configured minimum
    #[arg(long)]
    least: Option<usize>,
    /// Print one line of JSON
    #[arg(long)]
    json: bool,
    /// Draw a grid that shows the share of traffic from each gateway to each server
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// One line for each problem.
type Problems = Vec<String>;

/// A fleet and the assignment of its servers to gateways.
struct Fleet {
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    settings: Settings,
    assignments: Assignments,
    /// The reply of the queried gateway; `None` for a hypothetical fleet.
    gateway_view: Option<SubsetView>,
}

impl Fleet {
    fn of(
        gateways: Vec<Gateway>,
        servers: Vec<Server>,
        settings: Settings,
        gateway_view: Option<SubsetView>,
    ) -> Fleet {
        let assignments = assign(&gateways, &servers, settings);
        Fleet { gateways, servers, settings, assignments, gateway_view }
    }

    fn hypothetical(gateways: usize, servers: usize, min_servers: usize) -> Result<Fleet, Problems> {
        for (count, kind) in [(gateways, "gateways"), (servers, "servers")] {
            if !(1..=MAX_MEMBERS).contains(&count) {
                return Err(vec![format!(
                    "a hypothetical fleet has from 1 to {MAX_MEMBERS} {kind}, not {count}"
                )]);
            }
        }
        let gateway = |index| Gateway { name: format!("gateway-{index}"), load: 1.0, zone: 0 };
        let server = |index| Server { name: format!("server-{index}"), weight: 1.0, zone: 0 };
        let settings = Settings { min_servers, prefers_own_zone: false };
        let (gateways, servers) = ((0..gateways).map(gateway), (0..servers).map(server));
        Ok(Fleet::of(gateways.collect(), servers.collect(), settings, None))
    }

    fn query(arguments: &SubsetsArguments) -> Result<Fleet, Problems> {
        let config =
            Source::from_environment(arguments.config.clone()).map_err(|error| vec![error])?.read()?;
        if config.subsetting.is_none() {
            return Err(vec![
                "the configuration has no [subsets]: each gateway takes the subset given by its number"
                    .into(),
            ]);
        }
        let settings = config.membership.ok_or_else(|| {
            vec!["the configuration has no [mesh]: subsets depend on gateway numbers; see --gateways and --servers"
                .to_string()]
        })?;
        let gateway_address = settings.listen;
        let reply = membership::query(gateway_address, &settings.keys, Channel::Subsetting, Vec::new())
            .map_err(|error| vec![error.to_string()])?;
        let invalid_reply = |_| {
            vec![format!(
                "the gateway at {gateway_address} has no subset: it has no [subsets], or has just started"
            )]
        };
        let view: SubsetView = postcard::from_bytes(&reply).map_err(invalid_reply)?;
        let gateways = view.gateways.iter().map(|gateway| Gateway {
            name: gateway.name.clone(),
            load: gateway.load,
            zone: gateway.zone,
        });
        let servers = view.servers.iter().map(|server| Server {
            name: server.name.clone(),
            weight: server.weight,
            zone: server.zone,
        });
        let settings = Settings {
            min_servers: arguments.least.unwrap_or(view.min_servers as usize),
            prefers_own_zone: view.prefers_own_zone,
        };
        Ok(Fleet::of(gateways.collect(), servers.collect(), settings, Some(view)))
    }

    /// The shares of all gateway-server pairs that move when the fleet loses a gateway and when it loses a server.
    fn moved_shares(&self) -> (f64, f64) {
        let Fleet { gateways, servers, settings, assignments, .. } = self;
        let fewer_gateways = &gateways[..gateways.len().saturating_sub(1).max(1)];
        let fewer_servers = &servers[..servers.len().saturating_sub(1).max(1)];
        let moved = |new_gateways: &[Gateway], new_servers: &[Server]| {
            moved_share(
                (gateways, servers, assignments),
                (new_gateways, new_servers, &assign(new_gateways, new_servers, *settings)),
            )
        };
        (moved(fewer_gateways, servers), moved(gateways, fewer_servers))
    }

    fn figures(&self) -> Value {
        let balance = evenness(&self.gateways, &self.servers, &self.assignments);
        let (by_gateway, by_server) = self.moved_shares();
        let min = |counts: &mut dyn Iterator<Item = usize>| counts.min().unwrap_or(0);
        json!({
            "gateways": self.gateways.len(), "servers": self.servers.len(), "least": self.settings.min_servers,
            "pairs": balance.pairs, "all_pairs": self.gateways.len() * self.servers.len(),
            "busiest": balance.max_load, "idlest": balance.min_load, "uncovered": balance.uncovered,
            "servers_of_a_gateway": [min(&mut self.assignments.by_gateway.iter().map(Vec::len)), balance.max_servers_of_gateway],
            "most_gateways_of_a_server": balance.max_gateways_of_server,
            "moved_by_a_gateway": by_gateway, "moved_by_a_server": by_server,
        })
    }

    /// An SVG drawing with a row for each gateway and a column for each server. The larger the share of the gateway's
    /// traffic that goes to the server, the darker the cell.
    fn svg(&self) -> String {
        const CELL_PIXELS: usize = 6;
        let (width, height) = (CELL_PIXELS * self.servers.len(), CELL_PIXELS * self.gateways.len());
        let max_weight = self
            .assignments
            .by_gateway
            .iter()
            .flatten()
            .map(|assigned| assigned.weight)
            .fold(f64::MIN_POSITIVE, f64::max);
        let mut svg = String::new();
        let _ = writeln!(
            svg,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" width=\"{width}\" height=\"{height}\">\n\
             <rect width=\"{width}\" height=\"{height}\" fill=\"#f6f6f2\"/>"
        );
        for (row, subset) in self.assignments.by_gateway.iter().enumerate() {
            for assigned in subset {
                let opacity = 0.15 + 0.85 * assigned.weight / max_weight;
                let (x, y) = (CELL_PIXELS * assigned.server, CELL_PIXELS * row);
                let (gateway, server) =
                    (escaped(&self.gateways[row].name), escaped(&self.servers[assigned.server].name));
                let _ = writeln!(
                    svg,
                    "<rect x=\"{x}\" y=\"{y}\" width=\"{CELL_PIXELS}\" height=\"{CELL_PIXELS}\" fill=\"#1d4e5f\" fill-opacity=\"{opacity:.2}\">\
                     <title>{gateway}: {server}, {:.1} in 100</title></rect>",
                    100.0 * assigned.weight
                );
            }
        }
        svg + "</svg>\n"
    }
}

/// Escapes a name for XML. Names come from the endpoint list and can contain any character.
fn escaped(name: &str) -> String {
    name.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

pub fn run(arguments: SubsetsArguments) -> Result<(), Problems> {
    if let Some(least) = arguments.least.filter(|least| *least < MIN_SUBSET_SIZE) {
        return Err(vec![format!(
            "--least must be at least {MIN_SUBSET_SIZE}, not {least}: a gateway must survive the loss of two servers"
        )]);
    }
    let default_min_servers = Settings::default().min_servers;
    let fleet = match (arguments.gateways, arguments.servers) {
        (Some(gateways), Some(servers)) => {
            Fleet::hypothetical(gateways, servers, arguments.least.unwrap_or(default_min_servers))?
        }
        _ => Fleet::query(&arguments)?,
    };
    if let Some(file) = &arguments.svg {
        let failed = |error| vec![format!("'{}' can't be written: {error}", file.display())];
        std::fs::write(file, fleet.svg()).map_err(failed)?;
    }
    if fleet.assignments.by_gateway.is_empty() || fleet.servers.is_empty() {
        return Err(vec![
            "no servers are assigned yet: the membership has not settled, or no server is known".into(),
        ]);
    }
    let mut figures = fleet.figures();
    if arguments.json {
        if let Some(SubsetView { gateway, uses, avoids, .. }) = &fleet.gateway_view {
            figures["gateway"] = json!(gateway);
            figures["uses"] =
                uses.iter().map(|(name, share)| json!({ "server": name, "share": share })).collect();
            figures["avoids"] = json!(avoids);
        }
        println!("{figures}");
        return Ok(());
    }
    print_summary(&fleet, &figures);
    if fleet.gateway_view.is_none() && arguments.least.is_none() {
        print_choices(&fleet)?;
    }
    Ok(())
}

fn print_summary(fleet: &Fleet, figures: &Value) {
    let number = |name: &str| figures[name].as_f64().unwrap_or(0.0);
    let [min_servers, max_servers] =
        [0, 1].map(|index| figures["servers_of_a_gateway"][index].as_u64().unwrap_or(0));
    println!(
        "{} gateways share {} servers, {} each at the least: {} pairs instead of {}",
        number("gateways"),
        number("servers"),
        number("least"),
        number("pairs"),
        number("all_pairs"),
    );
    println!(
        "  {min_servers} to {max_servers} servers a gateway, up to {} gateways a server, {} servers without any",
        number("most_gateways_of_a_server"),
        number("uncovered"),
    );
    println!(
        "  the busiest server gets {:.4} of its part, the idlest {:.4}; one gateway less moves {:.2} in 100 pairs, one \
         server less {:.2}",
        number("busiest"),
        number("idlest"),
        100.0 * number("moved_by_a_gateway"),
        100.0 * number("moved_by_a_server"),
    );
    let Some(SubsetView { gateway, uses, avoids, .. }) = &fleet.gateway_view else { return };
    let avoided: BTreeSet<&String> = avoids.iter().collect();
    println!("{gateway} uses {} servers now:", uses.len());
    for (name, share) in uses {
        let avoided = if avoided.contains(name) { ", avoided now" } else { "" };
        println!("  {name:<24} {:>5.1} in 100{avoided}", 100.0 * share);
    }
}

/// Prints the figures for other values of `--least`.
fn print_choices(fleet: &Fleet) -> Result<(), Problems> {
    println!("  least   pairs  up to a gateway  up to a server  busiest  moved by a gateway  by a server");
    for least in MIN_SERVERS_CHOICES {
        let other = Fleet::hypothetical(fleet.gateways.len(), fleet.servers.len(), least)?.figures();
        let number = |name: &str| other[name].as_f64().unwrap_or(0.0);
        println!(
            "  {least:>5} {:>7} {:>16} {:>15} {:>8.4} {:>18.2}% {:>10.2}%",
            number("pairs"),
            other["servers_of_a_gateway"][1],
            number("most_gateways_of_a_server"),
            number("busiest"),
            100.0 * number("moved_by_a_gateway"),
            100.0 * number("moved_by_a_server"),
        );
    }
    Ok(())
}
