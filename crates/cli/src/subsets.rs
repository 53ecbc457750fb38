//! Shows which gateway uses which servers: today's picture, asked of a running gateway, or that of a fleet one thinks of.

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

/// More of either than anybody has.
const MOST: usize = 5_000;
/// Figures for 'least' that are shown beside each other, for whoever has to choose one.
const CHOICES: [usize; 5] = [3, 6, 12, 24, 48];

#[derive(Args)]
pub struct Asked {
    /// The installation's own configuration
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// A fleet of so many equal gateways, instead of the one there is
    #[arg(long, requires = "servers")]
    gateways: Option<usize>,
    /// And so many equal servers
    #[arg(long, requires = "gateways")]
    servers: Option<usize>,
    /// Servers of a gateway at the least, instead of the configured
    #[arg(long)]
    least: Option<usize>,
    /// One line of JSON
    #[arg(long)]
    json: bool,
    /// Draw who uses whom, and how much, as a grid
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

type Failed = Vec<String>;

/// A fleet, and how its servers are dealt.
struct Fleet {
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    settings: Settings,
    deal: Assignments,
    /// The gateway that was asked, if it is one that runs.
    own: Option<SubsetView>,
}

impl Fleet {
    fn of(
        gateways: Vec<Gateway>,
        servers: Vec<Server>,
        settings: Settings,
        own: Option<SubsetView>,
    ) -> Fleet {
        let deal = assign(&gateways, &servers, settings);
        Fleet { gateways, servers, settings, deal, own }
    }

    fn thought_of(gateways: usize, servers: usize, least: usize) -> Result<Fleet, Failed> {
        for (count, what) in [(gateways, "gateways"), (servers, "servers")] {
            if !(1..=MOST).contains(&count) {
                return Err(vec![format!("from 1 to {MOST} {what} can be thought of, not {count}")]);
            }
        }
        let gateway = |at| Gateway { name: format!("gateway-{at}"), load: 1.0, zone: 0 };
        let server = |at| Server { name: format!("server-{at}"), weight: 1.0, zone: 0 };
        let settings = Settings { min_servers: least, prefers_own_zone: false };
        let (all, taken) = ((0..gateways).map(gateway), (0..servers).map(server));
        Ok(Fleet::of(all.collect(), taken.collect(), settings, None))
    }

    fn ask(asked: &Asked) -> Result<Fleet, Failed> {
        let config = Source::from_environment(asked.config.clone()).map_err(|why| vec![why])?.read()?;
        if config.subsetting.is_none() {
            return Err(vec![
                "the configuration has no [subsets]: each gateway takes a row by its number".into()
            ]);
        }
        let settings = config.membership.ok_or_else(|| {
            vec!["the configuration has no [mesh]: subsets go by number, see --gateways and --servers"
                .to_string()]
        })?;
        let at = settings.listen;
        let answer = membership::query(at, &settings.keys, Channel::Subsetting, Vec::new())
            .map_err(|error| vec![error.to_string()])?;
        let nothing =
            |_| vec![format!("the gateway at {at} has no subset: it has no [subsets], or has just started")];
        let view: SubsetView = postcard::from_bytes(&answer).map_err(nothing)?;
        let gateways = view.gateways.iter().map(|seen| Gateway {
            name: seen.name.clone(),
            load: seen.load,
            zone: seen.zone,
        });
        let servers = view.servers.iter().map(|taken| Server {
            name: taken.name.clone(),
            weight: taken.weight,
            zone: taken.zone,
        });
        let settings = Settings {
            min_servers: asked.least.unwrap_or(view.min_servers as usize),
            prefers_own_zone: view.prefers_own_zone,
        };
        Ok(Fleet::of(gateways.collect(), servers.collect(), settings, Some(view)))
    }

    /// Part of all pairs that the next change moves: one gateway less, and one server less.
    fn moves(&self) -> (f64, f64) {
        let Fleet { gateways, servers, settings, deal: own, .. } = self;
        let fewer = &gateways[..gateways.len().saturating_sub(1).max(1)];
        let left = &servers[..servers.len().saturating_sub(1).max(1)];
        let by = |all: &[Gateway], taken: &[Server]| {
            moved_share((gateways, servers, own), (all, taken, &assign(all, taken, *settings)))
        };
        (by(fewer, servers), by(gateways, left))
    }

    fn figures(&self) -> Value {
        let picture = evenness(&self.gateways, &self.servers, &self.deal);
        let (by_gateway, by_server) = self.moves();
        let least = |counts: &mut dyn Iterator<Item = usize>| counts.min().unwrap_or(0);
        json!({
            "gateways": self.gateways.len(), "servers": self.servers.len(), "least": self.settings.min_servers,
            "pairs": picture.pairs, "all_pairs": self.gateways.len() * self.servers.len(),
            "busiest": picture.max_load, "idlest": picture.min_load, "uncovered": picture.uncovered,
            "servers_of_a_gateway": [least(&mut self.deal.by_gateway.iter().map(Vec::len)), picture.max_servers_of_gateway],
            "most_gateways_of_a_server": picture.max_gateways_of_server,
            "moved_by_a_gateway": by_gateway, "moved_by_a_server": by_server,
        })
    }

    /// A row for each gateway, a column for each server; the darker, the more of the gateway's traffic goes there.
    fn svg(&self) -> String {
        const CELL: usize = 6;
        let (width, height) = (CELL * self.servers.len(), CELL * self.gateways.len());
        let most =
            self.deal.by_gateway.iter().flatten().map(|part| part.weight).fold(f64::MIN_POSITIVE, f64::max);
        let mut to = String::new();
        let _ = writeln!(
            to,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" width=\"{width}\" height=\"{height}\">\n\
             <rect width=\"{width}\" height=\"{height}\" fill=\"#f6f6f2\"/>"
        );
        for (row, parts) in self.deal.by_gateway.iter().enumerate() {
            for part in parts {
                let dark = 0.15 + 0.85 * part.weight / most;
                let (x, y) = (CELL * part.server, CELL * row);
                let (who, whom) =
                    (escaped(&self.gateways[row].name), escaped(&self.servers[part.server].name));
                let _ = writeln!(
                    to,
                    "<rect x=\"{x}\" y=\"{y}\" width=\"{CELL}\" height=\"{CELL}\" fill=\"#1d4e5f\" fill-opacity=\"{dark:.2}\">\
                     <title>{who}: {whom}, {:.1} in 100</title></rect>",
                    100.0 * part.weight
                );
            }
        }
        to + "</svg>\n"
    }
}

/// Names come from a list that others write.
fn escaped(name: &str) -> String {
    name.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

pub fn run(asked: Asked) -> Result<(), Failed> {
    if let Some(least) = asked.least.filter(|least| *least < MIN_SUBSET_SIZE) {
        return Err(vec![format!(
            "--least is {MIN_SUBSET_SIZE} at the least, not {least}: a gateway must survive losing two"
        )]);
    }
    let usual = Settings::default().min_servers;
    let fleet = match (asked.gateways, asked.servers) {
        (Some(gateways), Some(servers)) => {
            Fleet::thought_of(gateways, servers, asked.least.unwrap_or(usual))?
        }
        _ => Fleet::ask(&asked)?,
    };
    if let Some(file) = &asked.svg {
        let failed = |why| vec![format!("'{}' can't be written: {why}", file.display())];
        std::fs::write(file, fleet.svg()).map_err(failed)?;
    }
    if fleet.deal.by_gateway.is_empty() || fleet.servers.is_empty() {
        return Err(vec!["nothing is dealt yet: the fleet has not settled, or no server is known".into()]);
    }
    let mut figures = fleet.figures();
    if asked.json {
        if let Some(SubsetView { gateway, uses, avoids, .. }) = &fleet.own {
            figures["gateway"] = json!(gateway);
            figures["uses"] =
                uses.iter().map(|(name, share)| json!({ "server": name, "share": share })).collect();
            figures["avoids"] = json!(avoids);
        }
        println!("{figures}");
        return Ok(());
    }
    print(&fleet, &figures);
    if fleet.own.is_none() && asked.least.is_none() {
        choices(&fleet)?;
    }
    Ok(())
}

fn print(fleet: &Fleet, figures: &Value) {
    let number = |name: &str| figures[name].as_f64().unwrap_or(0.0);
    let [fewest, most] = [0, 1].map(|at| figures["servers_of_a_gateway"][at].as_u64().unwrap_or(0));
    println!(
        "{} gateways share {} servers, {} each at the least: {} pairs instead of {}",
        number("gateways"),
        number("servers"),
        number("least"),
        number("pairs"),
        number("all_pairs"),
    );
    println!(
        "  {fewest} to {most} servers a gateway, up to {} gateways a server, {} servers without any",
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
    let Some(SubsetView { gateway, uses, avoids, .. }) = &fleet.own else { return };
    let avoided: BTreeSet<&String> = avoids.iter().collect();
    println!("{gateway} uses {} servers now:", uses.len());
    for (name, share) in uses {
        let avoided = if avoided.contains(name) { ", avoided now" } else { "" };
        println!("  {name:<24} {:>5.1} in 100{avoided}", 100.0 * share);
    }
}

/// What other figures for 'least' would give.
fn choices(fleet: &Fleet) -> Result<(), Failed> {
    println!("  least   pairs  up to a gateway  up to a server  busiest  moved by a gateway  by a server");
    for least in CHOICES {
        let other = Fleet::thought_of(fleet.gateways.len(), fleet.servers.len(), least)?.figures();
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
