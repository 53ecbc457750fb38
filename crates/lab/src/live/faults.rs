//! What is broken in a run, when, and until when. Every fault is told of before it is done, and its end after it, so that no
//! effect of it falls outside.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;

use futures_lite::future;
use serde_json::{json, Value};

use super::play::Run;
use super::route::RouteFault;
use super::{counter, gateway, misbehaving_client, servers, sleep};
use crate::history::{Event, LinkTraffic};
use crate::model::counter::ReplyFault as CounterBad;
use crate::model::discovery::Status;
use crate::request_ledger::Link;
use crate::scenario::*;
use crate::{seed_of, Micros, MILLISECOND, SECOND};

/// From SIGTERM on clients are dealt to a gateway for so long: the front hears of a planned restart a little later.
const HEARD: Micros = 300 * MILLISECOND;
/// Signals of a series before SIGTERM, and the time between two of a series.
const SERIES: usize = 12;
const BETWEEN_SIGNALS: Micros = 8 * MILLISECOND;
/// After which a replaced box is gone for good.
const GONE: Micros = 3 * SECOND;

impl Run {
    /// Brings one fault about, and mends it.
    pub(super) async fn fault(self: Rc<Self>, number: usize, fault: Fault, from: Micros) {
        self.world.until(from + fault.at.0).await;
        if let Some(when) = &fault.when {
            if !self.waits.comes(when).await {
                return self.faults.borrow_mut().never_came(number);
            }
        }
        self.world.happens(Event::FaultBegan { number });
        self.faults.borrow_mut().begun(number, self.world.now());
        let felt = self.clone().harm(&fault).await;
        self.world.happens(Event::FaultEnded { number });
        self.faults.borrow_mut().ended(number, self.world.now(), felt);
    }

    /// Gives how often something met it, or 1 where that is not counted, or 0 where nobody was there.
    async fn harm(self: Rc<Self>, fault: &Fault) -> u64 {
        let for_ = fault.for_.map(|time| time.0);
        match fault {
            Fault { gateway: Some(gateway), .. } => self.clone().harm_gateways(gateway, for_).await,
            Fault { boxes: Some(boxes), .. } => {
                let mut tasks = Vec::new();
                for (at, place) in boxes.which.iter().enumerate() {
                    let run = self.clone();
                    let (place, how, amount, wait) =
                        (*place, boxes.how, boxes.amount, boxes.each.0 * at as u64);
                    tasks.push(self.world.executor.spawn(async move {
                        sleep(wait).await;
                        run.harm_box(place, how, amount, for_).await;
                    }));
                }
                for task in tasks {
                    task.await;
                }
                1
            }
            Fault { counter: Some(ill), .. } => {
                if let Some(counter) = &self.counter {
                    self.harm_counter(ill, counter, for_).await;
                }
                1
            }
            Fault { discovery: Some(discovery), .. } => {
                self.harm_discovery(discovery, for_).await;
                1
            }
            Fault { link: Some(link), .. } => {
                self.harm_links(|own| wanted(link, own), link_ill(link), for_).await
            }
            Fault { between: Some(between), .. } => {
                let ways = self.ways_between(between);
                self.harm_between(ways, between_ill(between), for_).await
            }
            Fault { fleet: Some(fleet), .. } => self.part(fleet, for_).await,
            Fault { clock: Some(clock), .. } => {
                self.set_clocks(clock, clock.offset_us());
                if let Some(time) = for_ {
                    sleep(time).await;
                    self.set_clocks(clock, 0);
                }
                clock.which.iter().filter(|own| self.gateways[**own as usize].runs()).count() as u64
            }
            Fault { folder: Some(folder), .. } => {
                self.set_folders(folder, Some((folder.how, folder.amount)));
                if let Some(time) = for_ {
                    sleep(time).await;
                    self.set_folders(folder, None);
                }
                folder.which.iter().filter(|own| self.gateways[**own as usize].runs()).count() as u64
            }
            Fault { load: Some(load), .. } => {
                self.surge(load, for_).await;
                1
            }
            Fault { hostile: Some(harm), .. } => {
                self.harm_by_clients(harm, for_).await;
                1
            }
            _ => 0,
        }
    }

    async fn harm_discovery(&self, discovery: &DiscoveryFault, for_: Option<Micros>) {
        let late = (discovery.amount * MILLISECOND as f64) as Micros;
        discovery.which.iter().for_each(|gateway| match discovery.how {
            DiscoveryFaultKind::Silent => self.list.silence(*gateway, true),
            DiscoveryFaultKind::Late => self.list.delay(*gateway, late),
            DiscoveryFaultKind::Watches => self.list.silence_watches(*gateway),
        });
        if let Some(time) = for_ {
            sleep(time).await;
            for gateway in &discovery.which {
                self.list.silence(*gateway, false);
                self.list.delay(*gateway, 0);
            }
        }
    }

    async fn surge(&self, load: &LoadFault, for_: Option<Micros>) {
        let now = self.world.now();
        self.front.with(|front| {
            front.shift(&load.customers, load.shift);
            front.surge(now, &load.customers, load.times);
        });
        if let Some(time) = for_ {
            sleep(time).await;
            let now = self.world.now();
            self.front.with(|front| front.surge(now, &load.customers, 1.0));
        }
    }

    async fn harm_by_clients(&self, harm: &MisbehavingClientsFault, for_: Option<Micros>) {
        let usual = misbehaving_client::Usual {
            lane: self.scenario.lanes.first().map(|lane| lane.name.clone()).unwrap_or_default(),
            plan: self.scenario.plans.first().map(|plan| plan.name.clone()).unwrap_or_default(),
        };
        let tasks: Vec<_> = self
            .gateways
            .iter()
            .map(|gateway| {
                let how = misbehaving_client::Harming {
                    a_second: harm.a_second,
                    silent: harm.silent,
                    usual: usual.clone(),
                    seed: seed_of(self.scenario.seed, "hostile") + u64::from(gateway.number),
                    slack: self.scenario.slack.time.0,
                };
                let (number, to) = (gateway.number, gateway.places.listen);
                self.world.executor.spawn(misbehaving_client::harm(self.world.clone(), number, to, how))
            })
            .collect();
        match for_ {
            Some(time) => sleep(time).await,
            None => future::pending().await,
        }
        drop(tasks);
    }

    fn set_clocks(&self, clock: &ClockFault, ahead: i64) {
        for number in &clock.which {
            if let Err(why) = self.gateways[*number as usize].set_clock(ahead) {
                eprintln!("fernscale-lab: the clock of gateway {number} can't be set: {why}");
            }
        }
    }

    fn set_folders(&self, folder: &FolderFault, ill: Option<(FolderFaultKind, f64)>) {
        for number in &folder.which {
            if let Err(why) = self.gateways[*number as usize].set_folder(ill) {
                eprintln!("fernscale-lab: the folder of gateway {number} can't be changed: {why}");
            }
        }
    }

    /// The ordered pairs that a fault between gateways is about, with the goods.
    fn ways_between(&self, fault: &GatewayLinkFault) -> BTreeSet<(u32, u32, LinkTraffic)> {
        let all: Vec<u32> = (0..self.scenario.fleet.gateways).collect();
        let to = if fault.to.is_empty() { &all } else { &fault.to };
        let mut ways = BTreeSet::new();
        for goods in [LinkTraffic::Datagrams, LinkTraffic::Streams] {
            if fault.goods.is_some_and(|own| own != goods) {
                continue;
            }
            for (from, to) in fault.from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
                ways.extend((from != to).then_some((from, to, goods)));
                ways.extend((from != to && fault.both).then_some((to, from, goods)));
            }
        }
        ways
    }

    async fn harm_between(
        &self,
        ways: BTreeSet<(u32, u32, LinkTraffic)>,
        ill: RouteFault,
        for_: Option<Micros>,
    ) -> u64 {
        let Some(between) = &self.between else { return 0 };
        let parts = ill.parts();
        let tell = |on: bool| {
            for (from, to, goods) in ways.iter().filter(|_| parts) {
                self.world.happens(Event::TrafficBlocked { from: *from, to: *to, traffic: *goods, on });
            }
        };
        tell(true);
        let begun: Vec<_> = ways
            .iter()
            .map(|(from, to, goods)| {
                let way = between.route(*from, *to, *goods);
                let token = way.begin(ill);
                (way, token)
            })
            .collect();
        match for_ {
            Some(time) => sleep(time).await,
            None => self.world.until(Micros::MAX / 4).await,
        }
        let felt = begun.into_iter().map(|(way, token)| way.end(token)).sum();
        tell(false);
        felt
    }

    /// The fleet falls apart; the counter and discovery stand on one of the sides.
    async fn part(self: Rc<Self>, fleet: &PartitionFault, for_: Option<Micros>) -> u64 {
        let all = 0..self.scenario.fleet.gateways;
        let pairs = all.clone().flat_map(|one| all.clone().map(move |other| (one, other)));
        let ways = pairs.filter(|(one, other)| one != other && !fleet.connects(*one, *other)).flat_map(
            |(one, other)| [LinkTraffic::Datagrams, LinkTraffic::Streams].map(|goods| (one, other, goods)),
        );
        let far = |link: &Link| match link {
            Link::Counter(own) => fleet.is_cut_off(*own, LinkEnd::Counter),
            Link::List(own) => fleet.is_cut_off(*own, LinkEnd::Discovery),
            _ => false,
        };
        let links = self.harm_links(far, RouteFault::Blackhole, for_);
        let (felt, _) =
            future::zip(self.harm_between(ways.collect(), RouteFault::Blackhole, for_), links).await;
        felt
    }

    async fn harm_gateways(self: Rc<Self>, fault: &GatewayFault, for_: Option<Micros>) -> u64 {
        let mut tasks = Vec::new();
        for (at, number) in fault.which.iter().enumerate() {
            let (run, number, wait) = (self.clone(), *number, fault.each.0 * at as u64);
            let (how, folder) = (fault.how, fault.folder);
            tasks.push(self.world.executor.spawn(async move {
                sleep(wait).await;
                let there = run.gateways[number as usize].runs();
                run.stop_gateway(number, how, folder, for_).await;
                u64::from(there != (how == GatewayFaultKind::Start))
            }));
        }
        let mut felt = 0;
        for task in tasks {
            felt += task.await;
        }
        felt
    }

    async fn stop_gateway(
        &self,
        number: u32,
        how: GatewayFaultKind,
        folder: RestartFolder,
        for_: Option<Micros>,
    ) {
        let gateway = &self.gateways[number as usize];
        let stays = self.scenario.fleet.clients_stay;
        let occupied = gateway.occupy();
        if stays && occupied.is_none() {
            return;
        }
        let longest = self.lanes.iter().map(|lane| lane.deadline).max().unwrap_or(0);
        let said = |what: &str, done: io::Result<()>| {
            if let Err(why) = done {
                eprintln!("fernscale-lab: gateway {number} {what}: {why}");
            }
        };
        let starts = || async {
            said("can't have its folder so", gateway.mend_folder(folder));
            said("does not start", gateway.start(&self.scenario, &self.list).await);
            self.front.leave(number);
        };
        match how {
            GatewayFaultKind::Pause if gateway.runs() => {
                gateway.pause(true);
                sleep(for_.unwrap_or(SECOND)).await;
                gateway.pause(false);
            }
            GatewayFaultKind::Kill if gateway.runs() => {
                self.world.happens(Event::Killed { gateway: number });
                gateway.kill();
                self.front.leave(number);
                let Some(time) = for_ else { return };
                sleep(time).await;
                if !gateway.runs() {
                    starts().await;
                }
            }
            GatewayFaultKind::Restart | GatewayFaultKind::Leave | GatewayFaultKind::Series
                if gateway.runs() =>
            {
                if how == GatewayFaultKind::Series {
                    for _ in 0..SERIES {
                        gateway.reload();
                        sleep(BETWEEN_SIGNALS).await;
                    }
                    self.world.spawn(signal_on(self.gateways[number as usize].clone()));
                }
                let (world, front) = (self.world.clone(), self.front.clone());
                let own = world.clone();
                world.spawn(async move {
                    own.until(own.now() + HEARD).await;
                    if stays {
                        front.retire(number);
                    } else {
                        front.leave(number);
                    }
                });
                gateway.end(longest, !stays).await;
                self.world.happens(Event::Ended { gateway: number });
                if how != GatewayFaultKind::Leave {
                    sleep(for_.unwrap_or(0)).await;
                    starts().await;
                }
            }
            GatewayFaultKind::Start if !gateway.runs() => starts().await,
            GatewayFaultKind::Upgrade if gateway.runs() => {
                said("is not upgraded", gateway.upgrade(&self.scenario, &self.list, longest).await);
            }
            GatewayFaultKind::Keep => said("can't have its folder kept by", gateway.keep_folder()),
            // Nobody is there to feel it.
            _ => {}
        }
    }

    async fn harm_box(self: Rc<Self>, place: u32, how: ServerFaultKind, amount: f64, for_: Option<Micros>) {
        let host = self.boxes.borrow()[place as usize].clone();
        let mend = |host: &servers::Host, amount: f64| {
            host.with(|model| match how {
                ServerFaultKind::Slow => model.faults.slow = amount,
                ServerFaultKind::Fail => model.faults.fails = amount,
                ServerFaultKind::Busy => model.faults.busy = amount,
                ServerFaultKind::Silent => model.faults.silent = amount,
                ServerFaultKind::Garble => model.faults.garbles = amount,
                _ => {}
            });
        };
        match how {
            ServerFaultKind::Drain => {
                self.list.list.borrow_mut().set_status(&host.name, Status::Terminating);
                host.with(super::super::model::server::Server::drain);
                let Some(time) = for_ else { return };
                sleep(time).await;
                self.list.list.borrow_mut().set_status(&host.name, Status::InService);
                host.with(super::super::model::server::Server::serve_again);
            }
            ServerFaultKind::Replace => {
                self.list.list.borrow_mut().set_status(&host.name, Status::Terminating);
                host.with(super::super::model::server::Server::drain);
                self.replaced.set(self.replaced.get() + 1);
                let name = format!("box-{place}-{}", self.replaced.get());
                match self.new_box(place, &name, Some(self.world.now()), &[]) {
                    Ok(fresh) => self.boxes.borrow_mut()[place as usize] = fresh,
                    Err(why) => eprintln!("fernscale-lab: {name} does not start: {why}"),
                }
                sleep(GONE).await;
                self.list.list.borrow_mut().set_status(&host.name, Status::Terminated);
                host.kill();
            }
            ServerFaultKind::Kill => {
                host.kill();
                let Some(time) = for_ else { return };
                sleep(time).await;
                let at: Vec<_> =
                    (0..self.scenario.fleet.gateways).map(|gateway| host.address(gateway)).collect();
                match self.new_box(place, &host.name, Some(self.world.now()), &at) {
                    Ok(fresh) => self.boxes.borrow_mut()[place as usize] = fresh,
                    Err(why) => eprintln!("fernscale-lab: {} does not start again: {why}", host.name),
                }
            }
            ServerFaultKind::Cordon => {
                self.cordon(&host.name, true).await;
                let Some(time) = for_ else { return };
                sleep(time).await;
                self.cordon(&host.name, false).await;
            }
            _ => {
                mend(&host, amount);
                let Some(time) = for_ else { return };
                sleep(time).await;
                mend(&host, if how == ServerFaultKind::Slow { 1.0 } else { 0.0 });
            }
        }
    }

    async fn harm_counter(&self, fault: &CounterFault, counter: &Rc<counter::Host>, for_: Option<Micros>) {
        let ill = match fault.how {
            CounterFaultKind::Busy => Some(CounterBad::Busy),
            CounterFaultKind::Silent => Some(CounterBad::Silent),
            CounterFaultKind::Deaf => Some(CounterBad::Deaf),
            CounterFaultKind::Slow => Some(CounterBad::Slow(fault.amount)),
            CounterFaultKind::Old => Some(CounterBad::Old((fault.amount * MILLISECOND as f64) as Micros)),
            CounterFaultKind::Garble => Some(CounterBad::Garbled),
            _ => None,
        };
        match fault.how {
            CounterFaultKind::Refuse => counter.shut(),
            CounterFaultKind::Kill => {
                counter.shut();
                counter.each(super::super::model::counter::Counter::empty);
            }
            CounterFaultKind::Empty => counter.each(super::super::model::counter::Counter::empty),
            CounterFaultKind::Swap => counter.swap(),
            CounterFaultKind::Split => counter.split(&fault.which),
            _ => {}
        }
        if let Some(ill) = ill {
            counter.each(|model| model.fault = ill);
        }
        let Some(time) = for_ else { return };
        sleep(time).await;
        counter.each(|model| model.fault = CounterBad::Healthy);
        counter.heal();
        if let Err(why) = counter.reopen().await {
            eprintln!("fernscale-lab: the counter does not come back: {why}");
        }
    }

    /// The operators' word, at every gateway that runs.
    async fn cordon(&self, name: &str, out: bool) {
        for gateway in self.gateways.iter().filter(|gateway| gateway.runs()) {
            if !gateway.cordon(name, out).await {
                eprintln!("fernscale-lab: gateway {} does not take the word on {name}", gateway.number);
            }
        }
    }

    async fn harm_links(&self, wanted: impl Fn(&Link) -> bool, ill: RouteFault, for_: Option<Micros>) -> u64 {
        let relays: Vec<_> = self.relays.borrow().iter().filter(|(link, _)| wanted(link)).cloned().collect();
        let mut begun = Vec::new();
        for (link, relay) in relays {
            self.world.happens(Event::LinkBroken { link: link.clone() });
            let token = relay.begin(ill);
            begun.push((link, relay, token));
        }
        let Some(time) = for_ else { return 1 };
        sleep(time).await;
        let mut felt = 0;
        for (link, relay, token) in begun {
            match relay.end(token).await {
                Ok(count) => felt += count,
                Err(why) => eprintln!("fernscale-lab: a link does not come back: {why}"),
            }
            self.world.happens(Event::LinkRestored { link });
        }
        felt
    }
}

/// More signals of both kinds while a gateway ends.
async fn signal_on(gateway: Rc<gateway::Host>) {
    for _ in 0..SERIES {
        sleep(BETWEEN_SIGNALS).await;
        gateway.reload();
        gateway.terminate_again();
    }
}

fn wanted(fault: &LinkFault, link: &Link) -> bool {
    let end = match link {
        Link::Clients(_) => LinkEnd::Clients,
        Link::Server(..) => LinkEnd::Servers,
        Link::List(_) => LinkEnd::Discovery,
        Link::Counter(_) => LinkEnd::Counter,
    };
    end == fault.to && fault.which.contains(&link.gateway())
}

fn ms(amount: f64) -> Micros {
    (amount * MILLISECOND as f64) as Micros
}

fn link_ill(fault: &LinkFault) -> RouteFault {
    match fault.how {
        LinkFaultKind::Cut => RouteFault::Cut,
        LinkFaultKind::Blackhole => RouteFault::Blackhole,
        LinkFaultKind::Reset => RouteFault::Reset,
        LinkFaultKind::Delay => RouteFault::Delay { by: ms(fault.amount), spread: 0 },
        LinkFaultKind::Throttle => RouteFault::Throttle(fault.amount),
        LinkFaultKind::Corrupt => RouteFault::Corrupt(fault.amount.clamp(0.0, 1.0)),
    }
}

pub fn between_ill(fault: &GatewayLinkFault) -> RouteFault {
    match fault.how {
        GatewayLinkFaultKind::Cut => RouteFault::Cut,
        GatewayLinkFaultKind::Blackhole => RouteFault::Blackhole,
        GatewayLinkFaultKind::Reset => RouteFault::Reset,
        GatewayLinkFaultKind::Lose => RouteFault::Lose(fault.amount),
        GatewayLinkFaultKind::Delay => RouteFault::Delay { by: ms(fault.amount), spread: ms(fault.spread) },
        GatewayLinkFaultKind::Double => RouteFault::Double(fault.amount),
        GatewayLinkFaultKind::Overtake => RouteFault::Overtake { share: fault.amount, by: ms(fault.spread) },
        GatewayLinkFaultKind::Corrupt => RouteFault::Corrupt(fault.amount),
        GatewayLinkFaultKind::Throttle => RouteFault::Throttle(fault.amount),
    }
}

/// How the faults of a run went.
pub(super) struct Faults(Vec<One>);

struct One {
    what: String,
    lasts: Option<Micros>,
    begun: Option<Micros>,
    ended: Option<Micros>,
    felt: u64,
    never: bool,
}

impl Faults {
    pub(super) fn of(scenario: &Scenario) -> Self {
        let one = |fault: &Fault| One {
            what: fault.kind().into(),
            lasts: fault.for_.map(|time| time.0),
            begun: None,
            ended: None,
            felt: 0,
            never: false,
        };
        Faults(scenario.faults.iter().map(one).collect())
    }

    fn begun(&mut self, number: usize, at: Micros) {
        self.0[number].begun = Some(at);
    }

    fn ended(&mut self, number: usize, at: Micros, felt: u64) {
        (self.0[number].ended, self.0[number].felt) = (Some(at), felt);
    }

    fn never_came(&mut self, number: usize) {
        self.0[number].never = true;
    }

    /// When the last of those that have begun has ended, or is to.
    pub(super) fn last_end(&self) -> Micros {
        let ends = self.0.iter().filter_map(|one| {
            let begun = one.begun?;
            one.ended.or(Some(begun + one.lasts.unwrap_or(0)))
        });
        ends.max().unwrap_or(0)
    }

    /// Some that have begun are to end, and have not yet: a restart takes its time before it counts what it is to last.
    pub(super) fn some_are_to_end(&self) -> bool {
        self.0.iter().any(|one| one.begun.is_some() && one.ended.is_none() && one.lasts.is_some())
    }

    pub(super) fn shown(&self) -> Value {
        let each = self.0.iter().map(|one| {
            json!({ "what": one.what, "begun_us": one.begun, "ended_us": one.ended, "felt": one.felt,
                "never_came": one.never })
        });
        json!({
            "each": each.collect::<Vec<_>>(),
            // Nobody was there to feel these, so that they prove nothing.
            "unfelt": self.0.iter().filter(|one| one.ended.is_some() && one.felt == 0).count(),
            // What these wait for was never said.
            "never_came": self.0.iter().filter(|one| one.never).count(),
        })
    }
}

/// Who waits for a record of which event.
#[derive(Default)]
pub(super) struct Waits(RefCell<Vec<(FaultTrigger, async_channel::Sender<()>)>>);

impl Waits {
    /// Whether a record comes within the time that is waited for it.
    async fn comes(&self, when: &FaultTrigger) -> bool {
        let (heard, hears) = async_channel::bounded(1);
        self.0.borrow_mut().push((when.clone(), heard));
        let came = async { hears.recv().await.is_ok() };
        let late = async {
            sleep(when.within.0).await;
            false
        };
        future::or(came, late).await
    }

    pub(super) fn heard(&self, gateway: u32, event: &str) {
        self.0.borrow_mut().retain(|(when, heard)| {
            let meant = when.event == event && when.gateway.is_none_or(|own| own == gateway);
            if meant {
                let _ = heard.try_send(());
            }
            !meant && !heard.is_closed()
        });
    }
}
