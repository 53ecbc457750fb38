//! Plays a scenario: starts the parties, runs the load and the faults, and gathers the report.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_executor::LocalExecutor;
use serde_json::{json, Value};

use super::faults::{Faults, Waits};
use super::gateway::{MeshPlaces, Places, Program};
use super::inter_gateway_links::InterGatewayLinks;
use super::relay::Relay;
use super::{clients, counter, discovery, effects, gateway, queries, servers, sleep, World};
use crate::checkers::membership::MembershipBounds;
use crate::checkers::{lease, outlier_detection, subsetting};
use crate::history::{Event, Head, Recorder};
use crate::model::clients::{ClientModel, KeyScope, RequestClass};
use crate::model::discovery::{Entry, Status};
use crate::model::server::{KeyMemory, Server};
use crate::report;
use crate::request_ledger::{Link, RuleBounds};
use crate::scenario::*;
use crate::virtual_time;
use crate::{seed_of, Micros, MILLISECOND, SECOND};

pub struct Options {
    pub program: Program,
    /// Configurations and logs are kept here; else they go with the run.
    pub keep: Option<PathBuf>,
    /// All that happens is written here, to be judged again.
    pub history: Option<PathBuf>,
    /// A line on the terminal while it plays.
    pub live: bool,
}

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{what}: {why}")]
    Io { what: &'static str, why: std::io::Error },
    #[error("the gateways are not able to serve within {0} s; their logs are in {1}")]
    NotReady(u64, String),
}

fn failed(what: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |why| Error::Io { what, why }
}

/// In which gateways must be able to serve after their first start.
const READY: Micros = 20 * SECOND;
/// Connections that may wait to be accepted at a socket that is passed on.
const AWAITING: i32 = 1_024;
/// How often the lab's own lateness is measured.
const TURN: Micros = 10 * MILLISECOND;
/// How late those may be, in 99 of 100, where gateways speak with each other through the lab: a quarter of what their
/// probes wait for an answer.
const TURNS: Micros = 20 * MILLISECOND;
/// How often gateways' logs are read, and how often each is asked whom it sees.
const READ: Micros = 20 * MILLISECOND;
const LOOK: Micros = SECOND;
/// How often, and for how long at the most, gateways are asked in the end.
const ASK_AGAIN: Micros = 200 * MILLISECOND;
const ASKED: Micros = 5 * SECOND;
/// How long after the run faults that are to end are waited for.
const OVERDUE: Micros = 10 * SECOND;
/// What was added last is told to those who share the count within this: some times what one telling takes.
const TOLD: Micros = 2 * SECOND;
/// Gateways that are found by the others at first.
const SEEDS: usize = 3;

/// Plays it on this thread, and gives the report.
pub fn play(scenario: &Scenario, options: &Options) -> Result<Value, Error> {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    async_io::block_on(main.run(async {
        let run = Run::start(scenario, options, executor)?;
        run.play(options).await
    }))
}

pub(super) type Memories = BTreeMap<(KeyScope, String), Rc<RefCell<KeyMemory>>>;

pub(super) struct Run {
    pub(super) scenario: Scenario,
    pub(super) world: Rc<World>,
    pub(super) lanes: Rc<Vec<RequestClass>>,
    pub(super) list: Rc<discovery::Host>,
    pub(super) counter: Option<Rc<counter::Host>>,
    /// The boxes by place; one that was replaced or came back is the newest at its place.
    pub(super) boxes: RefCell<Vec<Rc<servers::Host>>>,
    /// All that there ever were.
    every: RefCell<Vec<Rc<servers::Host>>>,
    /// What the racks remember, by who shares it.
    memories: RefCell<Memories>,
    pub(super) relays: RefCell<Vec<(Link, Rc<Relay>)>>,
    pub(super) gateways: Vec<Rc<gateway::Host>>,
    effects: Option<Rc<effects::Host>>,
    pub(super) front: Rc<clients::Host>,
    folder: PathBuf,
    _kept: Option<tempfile::TempDir>,
    pub(super) replaced: Cell<u32>,
    pub(super) between: Option<Rc<InterGatewayLinks>>,
    pub(super) faults: RefCell<Faults>,
    pub(super) waits: Waits,
    /// What the lab itself had taken of the cores when the load began.
    own_cpu: Cell<Micros>,
}

impl Run {
    fn start(
        scenario: &Scenario,
        options: &Options,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<Rc<Run>, Error> {
        let (folder, kept) = match &options.keep {
            Some(folder) => {
                std::fs::create_dir_all(folder).map_err(failed("the folder to keep logs in"))?;
                (folder.clone(), None)
            }
            None => {
                let temporary = tempfile::tempdir().map_err(failed("a folder for the run"))?;
                (temporary.path().to_path_buf(), Some(temporary))
            }
        };
        let lanes = Rc::new(scenario.request_classes());
        let bounds = RuleBounds {
            grace: scenario.fleet.grace.0,
            slack: scenario.slack.time.0,
            classes: scenario.request_classes(),
            plans: scenario.client_plans(),
            max_units: scenario.max_request_units(),
        };
        descriptors();
        let count = scenario.fleet.gateways;
        let mut head = Head {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            bounds,
            fleet: None,
            owners: None,
            subsets: None,
            signals: None,
        };
        let world = World::new(executor, Recorder::new(&head));
        // Hosts that nobody else has, so that addresses that are let go stay free.
        let mut listens = Vec::new();
        for _ in 0..if scenario.fleet.mesh { count } else { 0 } {
            listens.push(world.reserve().map_err(failed("an address for a gateway"))?);
        }
        let between = if scenario.fleet.mesh {
            let between = InterGatewayLinks::start(&world, &listens, seed_of(scenario.seed, "between"));
            Some(between.map_err(failed("the links between gateways"))?)
        } else {
            None
        };
        let settle_in = scenario.settle_in.0;
        head.subsets = scenario.fleet.subsets.as_ref().map(|_| subsetting::SubsettingBounds { settle_in });
        head.signals = measures_signals(scenario);
        *world.court.borrow_mut() = Recorder::new(&head);
        if let Some(between) = &between {
            head.fleet = Some(MembershipBounds {
                gateways: count,
                addresses: (0..count).map(|number| between.advertised(number).to_string()).collect(),
                settle_time: scenario.fleet.agree_within.0,
                counter_knows: scenario.counter_knows(),
            });
            head.owners = scenario.fleet.owners.as_ref().map(|owners| lease::LeaseBounds {
                gateways: count,
                acceptors: owners.voters.clone(),
                leases: owners.jobs.clone(),
                lease: owners.lease.0,
                settle_time: scenario.fleet.agree_within.0,
            });
            *world.court.borrow_mut() = Recorder::new(&head);
        }
        if let Some(file) = &options.history {
            let kept = world.court.borrow_mut().write_to(file, &head);
            kept.map_err(failed("the history"))?;
        }
        let list = discovery::Host::start(&world, count, scenario.fleet.on_request.clone());
        let list = list.map_err(failed("discovery"))?;
        let owners = scenario.fleet.owners.as_ref();
        let effects = owners.map(|owners| effects::Host::start(&world, owners.fenced)).transpose();
        let effects = effects.map_err(failed("the stand-in for effects"))?;
        let seed = seed_of(scenario.seed, "counter");
        let counter = scenario.counter_spec().map(|spec| counter::Host::start(&world, spec, count, seed));
        let counter = counter.transpose().map_err(failed("the counter"))?;
        let mut relays = Vec::new();
        let mut by = |number: u32, end: LinkEnd, link: Link, to: SocketAddr| -> Result<SocketAddr, Error> {
            if !scenario.needs_relay(number, end) {
                return Ok(to);
            }
            let relay = Relay::start(&world, to, seed_of(scenario.seed, "relay") + relays.len() as u64);
            let relay = relay.map_err(failed("a relay"))?;
            let address = relay.address();
            relays.push((link, relay));
            Ok(address)
        };
        let (mut gateways, mut doors) = (Vec::new(), Vec::new());
        let seeds: Vec<SocketAddr> = between
            .iter()
            .flat_map(|between| {
                scenario.initial_gateways().into_iter().take(SEEDS).map(|number| between.advertised(number))
            })
            .collect();
        for number in 0..count {
            let passed = if scenario.passes_socket(number) {
                let listener = TcpListener::bind((world.host(), 0)).map_err(failed("a socket to pass on"))?;
                rustix::net::listen(&listener, AWAITING)
                    .map_err(|why| failed("a socket to pass on")(why.into()))?;
                Some(listener)
            } else {
                None
            };
            let listen = match &passed {
                Some(listener) => listener.local_addr(),
                None => world.reserve(),
            };
            let listen = listen.map_err(failed("an address for a gateway"))?;
            doors.push(by(number, LinkEnd::Clients, Link::Clients(number), listen)?);
            let discovery = by(number, LinkEnd::Discovery, Link::List(number), list.address(number))?;
            let counter = match &counter {
                Some(counter) => {
                    Some(by(number, LinkEnd::Counter, Link::Counter(number), counter.address(number))?)
                }
                None => None,
            };
            let mesh = between.as_ref().map(|between| MeshPlaces {
                listen: listens[number as usize],
                told: between.advertised(number),
                seeds: seeds.clone(),
            });
            let places = Places { listen, discovery, counter, mesh };
            let jobs =
                gateway::jobs(scenario, number, effects.as_ref().and_then(|effects| effects.address()));
            let host = gateway::Host::new(&world, number, &options.program, &folder, places, passed, jobs);
            // What an earlier run has left in a folder that is kept is no part of this one.
            let _ = std::fs::remove_dir_all(host.own_folder());
            gateways.push(host);
        }
        let (lanes_, plans, groups) =
            (scenario.request_classes(), scenario.client_plans(), scenario.tenant_groups());
        let front = ClientModel::new(lanes_, plans, groups, count, seed_of(scenario.seed, "front"));
        let run = Rc::new(Run {
            scenario: scenario.clone(),
            front: clients::Host::new(&world, front, &doors, scenario.slack.time.0),
            world,
            lanes,
            list,
            counter,
            boxes: RefCell::default(),
            every: RefCell::default(),
            memories: RefCell::default(),
            relays: RefCell::new(relays),
            gateways,
            effects,
            folder,
            _kept: kept,
            replaced: Cell::new(0),
            between,
            faults: RefCell::new(Faults::of(scenario)),
            waits: Waits::default(),
            own_cpu: Cell::new(0),
        });
        for place in 0..scenario.fleet.boxes {
            let host = run.new_box(place, &format!("box-{place}"), None, &[])?;
            run.boxes.borrow_mut().push(host);
        }
        Ok(run)
    }

    fn place(&self, place: u32) -> (String, u32) {
        let fleet = &self.scenario.fleet;
        (format!("zone-{}", place % fleet.zones), place % fleet.cells)
    }

    /// A box, warm or just started; at the addresses of one that was there before, if any.
    pub(super) fn new_box(
        &self,
        place: u32,
        name: &str,
        started: Option<Micros>,
        at: &[SocketAddr],
    ) -> Result<Rc<servers::Host>, Error> {
        let (zone, cell) = self.place(place);
        // A key is known to all who share its lane's memory, and a box remembers for each such group.
        let memory = |group: KeyScope| {
            let who = match group {
                KeyScope::All => String::new(),
                KeyScope::Zone => zone.clone(),
                KeyScope::Cell => format!("{cell}"),
            };
            self.memories.borrow_mut().entry((group, who)).or_default().clone()
        };
        let memory = [KeyScope::All, KeyScope::Zone, KeyScope::Cell].map(|group| (group, memory(group)));
        let (spec, now) = (self.scenario.box_spec(), self.world.now());
        let age = if started.is_some() { 0 } else { spec.cold.warm_up };
        let (power, cold) = (f64::from(spec.cores) * spec.speed, spec.cold);
        let model = Server::new(spec, age, now, memory, seed_of(self.scenario.seed, name));
        let doors: Vec<SocketAddr> = match at {
            [] => (0..self.scenario.fleet.gateways).map(|_| SocketAddr::new(self.world.host(), 0)).collect(),
            known => known.to_vec(),
        };
        let settles = self.scenario.fleet.settles;
        let host = servers::Host::start(&self.world, name, model, &self.lanes, settles, &doors);
        let host = host.map_err(failed("a box"))?;
        // Where gateways tell each other the list, a box has one address for all.
        let common = self.scenario.fleet.owners.as_ref().is_some_and(|owners| owners.list);
        host.by_client.set(common);
        for gateway in 0..self.scenario.fleet.gateways {
            let mut address = host.address(if common { 0 } else { gateway });
            if self.scenario.needs_relay(gateway, LinkEnd::Servers) {
                let link = Link::Server(gateway, name.to_string());
                let seed = seed_of(self.scenario.seed, name) + u64::from(gateway);
                let known =
                    self.relays.borrow().iter().find(|(own, _)| *own == link).map(|(_, relay)| relay.clone());
                let relay = match known {
                    Some(relay) => relay,
                    None => {
                        let relay = Relay::start(&self.world, address, seed).map_err(failed("a relay"))?;
                        self.relays.borrow_mut().push((link, relay.clone()));
                        relay
                    }
                };
                address = relay.address();
            }
            self.list.addresses.borrow_mut().insert((gateway, name.to_string()), address);
        }
        let (own_name, own_zone) = (name.to_string(), zone.clone());
        self.world.happens(Event::ServerStarted {
            name: own_name,
            zone: own_zone,
            cell,
            started,
            power,
            cold,
        });
        let entry = Entry { zone, kind: "box".into(), cell, status: Status::InService, weight: 1.0, started };
        self.list.list.borrow_mut().put(name, entry);
        self.every.borrow_mut().push(host.clone());
        Ok(host)
    }

    async fn play(self: Rc<Self>, options: &Options) -> Result<Value, Error> {
        let first = self.scenario.initial_gateways();
        for number in &first {
            let gateway = &self.gateways[*number as usize];
            gateway.start(&self.scenario, &self.list).await.map_err(failed("a gateway"))?;
            self.front.leave(gateway.number);
        }
        while !self.front.all_serve(&first) {
            if self.world.now() > READY {
                return Err(Error::NotReady(READY / SECOND, self.folder.display().to_string()));
            }
            sleep(MILLISECOND).await;
        }
        let from = self.world.now();
        self.own_cpu.set(own_cpu());
        self.front.with(|front| front.begin(from));
        for (number, fault) in self.scenario.faults.clone().into_iter().enumerate() {
            self.world.spawn(self.clone().fault(number, fault, from));
        }
        let turns = Rc::new(RefCell::new(clients::histogram()));
        self.world.spawn(turns_late(self.world.clone(), turns.clone()));
        if options.live && std::io::stderr().is_terminal() {
            self.world.spawn(self.clone().live_line(from));
        }
        self.world.spawn(self.clone().watch());
        self.world.spawn(self.clone().listen());
        if self.between.is_some() {
            self.world.spawn(self.clone().look());
        }
        let until = from + self.scenario.lasts.0;
        self.front.clone().run(until).await;
        self.front.finish().await;
        let cpu = own_cpu().saturating_sub(self.own_cpu.get());
        self.world.happens(Event::Quiet);
        if self.between.is_some() {
            self.ask_all().await;
        }
        self.read();
        let now = self.world.now();
        self.world.court.borrow_mut().finish(now);
        Ok(self.report(from, cpu, turns).await)
    }

    /// Reads what the gateways have logged since the last look.
    fn read(&self) {
        for gateway in &self.gateways {
            for record in gateway.records() {
                self.waits.heard(gateway.number, &record.event);
                let (gateway, within) = (gateway.number, record.within);
                let (event, fields) = (record.event, record.fields);
                self.world.happened(record.at, Event::Record { gateway, event, fields, within });
            }
        }
    }

    async fn listen(self: Rc<Self>) {
        loop {
            self.read();
            sleep(READ).await;
        }
    }

    /// Asks each gateway now and then whom it sees.
    async fn look(self: Rc<Self>) {
        let count = self.gateways.len() as u64;
        loop {
            for gateway in &self.gateways {
                sleep(LOOK / count).await;
                self.world.spawn(view(self.world.clone(), gateway.clone()));
            }
        }
    }

    /// Waits until all must see the same, and asks each gateway for all that it knows.
    async fn ask_all(&self) {
        let began = self.world.now();
        while self.faults.borrow().some_are_to_end() && self.world.now() < began + OVERDUE {
            sleep(ASK_AGAIN).await;
        }
        let last = self.faults.borrow().last_end().max(self.last_start());
        self.world.until((last + self.scenario.fleet.agree_within.0 + LOOK).max(began + TOLD)).await;
        let until = self.world.now() + ASKED;
        for gateway in self.gateways.iter().filter(|gateway| gateway.runs()) {
            let Some(mesh) = &gateway.places.mesh else { continue };
            view(self.world.clone(), gateway.clone()).await;
            loop {
                match queries::sums(&self.world, mesh.listen, gateway.ahead.get()).await {
                    Ok(sums) => {
                        self.world.happens(Event::CounterTotals { gateway: gateway.number, totals: sums });
                        break;
                    }
                    Err(_) if self.world.now() < until => sleep(ASK_AGAIN).await,
                    Err(_) => break,
                }
            }
        }
    }

    /// The same faults in virtual time, and whether the verdicts agree.
    fn virtually(&self) -> Value {
        let (rules, left_out) = virtual_time::play(&self.scenario);
        let court = self.world.court.borrow();
        let here = court.rules();
        let here = |name: &str| here.iter().find(|(own, _)| *own == name).map_or(0, |(_, own)| own.count);
        let differ = rules.iter().filter(|(name, count, _)| (*count > 0) != (here(name) > 0)).count();
        let mut shown = json!({ "differ": differ, "left_out": left_out });
        rules.into_iter().for_each(|(name, count, _)| shown[name] = json!(count));
        shown
    }

    fn last_start(&self) -> Micros {
        self.gateways.iter().map(|gateway| gateway.started.get()).max().unwrap_or(0)
    }

    /// Notices gateways that end by themselves, and looks at what they take.
    async fn watch(self: Rc<Self>) {
        loop {
            self.gateways.iter().for_each(|gateway| {
                gateway.look();
                gateway.watch();
            });
            sleep(SECOND / 10).await;
        }
    }

    async fn live_line(self: Rc<Self>, from: Micros) {
        loop {
            let (asked, open, settled, nacked) = self.front.standing();
            let broken = self.world.court.borrow().violation_count();
            let at = (self.world.now() - from) as f64 / SECOND as f64;
            eprint!("\r{at:6.1} s  {asked} asked, {open} open, {settled} settled, {nacked} nacked, {broken} breaks ");
            sleep(SECOND / 2).await;
        }
    }

    async fn report(
        &self,
        from: Micros,
        own: Micros,
        turns: Rc<RefCell<hdrhistogram::Histogram<u64>>>,
    ) -> Value {
        let played = self.world.now() - from;
        let longest = self.lanes.iter().map(|lane| lane.deadline).max().unwrap_or(0);
        let (mut each, mut cpu, mut peak, mut starts, mut crashes) = (Vec::new(), 0, 0, 0, 0);
        for gateway in &self.gateways {
            gateway.watch();
            let (own_cpu, own_peak) = gateway.taken();
            each.push(json!({ "number": gateway.number, "cpu_s": own_cpu as f64 / SECOND as f64,
                "peak_mb": own_peak as f64 / 1024.0, "starts": gateway.starts.get(),
                "crashes": gateway.crashes.get() }));
            cpu += own_cpu;
            peak = peak.max(own_peak);
            starts += gateway.starts.get();
            crashes += gateway.crashes.get();
        }
        let ends = self
            .gateways
            .iter()
            .cloned()
            .map(|gateway| self.world.executor.spawn(async move { gateway.end(longest, true).await }));
        for end in ends.collect::<Vec<_>>() {
            end.await;
        }
        let ledger = self.world.ledger();
        let counts_from = from + self.scenario.settle_in.0;
        let late = self.front.late.borrow();
        let late = |id: u64| late.get(&id).copied().unwrap_or(false);
        let mut report = report::transactions(&ledger, &self.scenario, &late, counts_from);
        let asked = self.front.asked.get();
        let every = self.every.borrow();
        let sum = |of: &dyn Fn(&servers::Host) -> u64| every.iter().map(|host| of(host)).sum::<u64>();
        let misworded = sum(&|host| host.misworded.get());
        let behind = self.front.behind.borrow();
        let took = self.front.took.borrow();
        let latency =
            self.lanes.iter().zip(&*took).map(|(lane, took)| (lane.name.clone(), report::quantiles(took)));
        if let Some(effects) = &self.effects {
            report["effects"] = json!({ "taken": effects.taken.get(), "refused": effects.refused.get() });
        }
        let own = json!({
            "scenario": self.scenario.name,
            "about": self.scenario.about,
            "seed": self.scenario.seed,
            "played_us": played,
            "rules": report::rules(&self.world.court.borrow()),
            "latency": Value::Object(latency.collect()),
            "gateways": { "each": each, "cpu_us_a_transaction": cpu as f64 / asked.max(1) as f64,
                "peak_mb": peak as f64 / 1024.0, "starts": starts, "crashes": crashes },
            "boxes": {
                "trips": ledger.attempt_count(),
                "fell": sum(&|host| u64::from(host.with(|model| model.collapsed()))),
                "most_connections": every.iter().map(|host| host.most_open.get()).max(),
                "connections_opened": sum(&|host| host.opened.get()),
                "misworded": misworded,
                "doubled_keys": ledger.doubled_keys(),
                "overtaken": ledger.overtaken,
            },
            "discovery": self.list.shown(played),
            "counter": self.counter.as_ref().map(|counter| {
                let (calls, turned_away) = counter.calls();
                json!({ "calls": calls, "turned_away": turned_away,
                    "calls_a_second": calls as f64 * SECOND as f64 / played as f64 })
            }),
            "hostile": { "sent": ledger.hostile.sent, "told": ledger.hostile.answered,
                "ignored": ledger.hostile.ignored, "served": ledger.hostile.served,
                "share_told": if ledger.hostile.sent == 0 { 1.0 } else {
                    ledger.hostile.answered as f64 / ledger.hostile.sent as f64 } },
            "faults": self.faults.borrow().shown(),
            "between": self.between.as_ref().map(|between| json!({
                "datagrams_a_second": between.passed.get() as f64 * SECOND as f64 / played as f64,
                "bytes_a_second": between.bytes.get() as f64 * SECOND as f64 / played as f64,
                "strangers": between.strangers.get(),
                "late": report::quantiles(&between.late.borrow()),
            })),
            "lab": { "behind": report::quantiles(&behind), "turns": report::quantiles(&turns.borrow()),
                "cpu_share": own as f64 / played as f64, "events": self.world.court.borrow().recorded,
                "descriptors": std::fs::read_dir("/proc/self/fd").map_or(0, std::iter::Iterator::count) },
        });
        for (key, value) in own.as_object().into_iter().flatten() {
            report[key] = value.clone();
        }
        if self.between.is_some() {
            report["virtual"] = self.virtually();
        }
        for (name, shown) in self.world.court.borrow().figures() {
            report[name] = shown;
        }
        report["claims"] = report::claims(&report, &self.scenario.claims);
        let most = self.scenario.slack.behind.0;
        let late = behind.value_at_quantile(0.99);
        let held = turns.borrow().value_at_quantile(0.99);
        report["void"] = match () {
            () if asked == 0 => "nothing was asked".into(),
            () if late > most => {
                let (late, most) = (late as f64 / 1000.0, most as f64 / 1000.0);
                format!("the load was {late:.1} ms late at p99, {most:.1} allowed: this machine could not play it").into()
            }
            // What the gateways say to each other goes through the lab: it must not be what makes them doubt each other.
            () if self.between.is_some() && held > TURNS => {
                format!("the lab was {:.1} ms late with its own turns at p99", held as f64 / 1000.0).into()
            }
            () if self.world.court.borrow().write_error.is_some() => {
                "the history could not be written".into()
            }
            () if misworded > 0 => {
                format!("{misworded} commands reached boxes in a form that no client sent").into()
            }
            () => Value::Null,
        };
        report
    }
}

/// Asks a gateway whom it sees; one that does not answer is asked again with the next turn.
async fn view(world: Rc<World>, gateway: Rc<gateway::Host>) {
    let Some(mesh) = gateway.places.mesh.as_ref().filter(|_| gateway.runs()) else { return };
    if let Ok((live, suspected)) = queries::view(&world, mesh.listen, gateway.ahead.get()).await {
        world.happens(Event::MembershipView { gateway: gateway.number, live, suspected });
    }
}

/// What is measured of ill boxes, where gateways may tell each other of them.
fn measures_signals(scenario: &Scenario) -> Option<outlier_detection::OutlierBounds> {
    use ServerFaultKind::{Fail, Garble, Kill, Silent, Slow};
    let faults = || scenario.faults.iter().enumerate();
    let ill = faults().filter_map(|(number, fault)| {
        let boxes = fault.boxes.as_ref()?;
        let ill = matches!(boxes.how, Fail | Garble | Kill | Silent | Slow);
        ill.then(|| (number, boxes.which.iter().map(|place| format!("box-{place}")).collect()))
    });
    let links = faults().filter_map(|(number, fault)| {
        let link = fault.link.as_ref().filter(|link| link.to == LinkEnd::Servers)?;
        Some((number, link.which.clone()))
    });
    let size = outlier_detection::OutlierBounds {
        servers: scenario.fleet.boxes,
        faulty: ill.collect(),
        links: links.collect(),
    };
    scenario.fleet.mesh.then_some(size)
}

/// As many descriptors as may be had: each gateway has a door at each box.
fn descriptors() {
    let mut limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current = limit.maximum;
    // Where it can't be raised, what needs more says so itself.
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, limit);
}

/// Time that this process has had of the cores.
fn own_cpu() -> Micros {
    std::num::NonZeroI32::new(std::process::id() as i32).map_or(0, gateway::cpu_of)
}

/// How late the lab's own turns are: what it measures is late by as much.
async fn turns_late(world: Rc<World>, into: Rc<RefCell<hdrhistogram::Histogram<u64>>>) {
    loop {
        let at = world.now() + TURN;
        world.until(at).await;
        let _ = into.borrow_mut().record((world.now() - at).max(1));
    }
}

/// The gateway's program beside this one, as cargo leaves them.
pub fn beside_this(name: &str) -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let mut folder = own.parent();
    while let Some(at) = folder {
        let program: PathBuf = Path::new(at).join(name);
        if program.is_file() {
            return Some(program);
        }
        // Tests stand one folder below.
        folder = if at.ends_with("deps") { at.parent() } else { None };
    }
    None
}
