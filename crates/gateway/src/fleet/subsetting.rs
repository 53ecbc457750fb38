//! Which servers this gateway uses, as dealt out among all gateways: who is there and what each carries goes over the mesh, what
//! is dealt to whom the package `subset` decides. Without a mesh all gateways are taken to be there, by their numbers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use fernscale_membership::payload::{Channel, ReceivedPayload};
use fernscale_policy::{Endpoint, EndpointState, Id, Micros, Subset};
use fernscale_subsetting::load_reports::{GatewayLoad, LivePeer, LoadReports, Message};
use fernscale_subsetting::status::{GatewayView, ServerView, SubsetView as Shown};
use fernscale_subsetting::subset::{FleetView, SubsetTracker};
use fernscale_subsetting::{Gateway, Server};
use futures_lite::StreamExt;
use slog::{info, warn};

use super::host::{FleetEvent, HostHandle};
use super::membership::Membership;
use crate::transport::clock::{boottime, real_duration};

/// What an installation says of its subsets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Servers of a gateway, and gateways of a server, at the least, or all where there are fewer.
    pub min_servers: usize,
    /// Where this gateway stands, by a name of the list's zones; nothing, zones make no difference to it.
    pub zone: Option<String>,
}

/// Who this gateway is, and what it is given to know of the installation.
pub struct LocalGateway {
    pub name: String,
    pub number: u32,
    pub gateways: u32,
    /// How long after its start a server is cold.
    pub warm_up: Micros,
}

struct Core {
    own: SubsetTracker,
    /// Nothing where gateways have no way to each other.
    loads: Option<LoadReports>,
    /// What was told last, and the servers avoided then.
    used: BTreeSet<String>,
    avoided: BTreeSet<String>,
}

pub struct Subsetting {
    host: HostHandle,
    mesh: Option<Rc<Membership>>,
    settings: Settings,
    me: LocalGateway,
    core: RefCell<Core>,
    trips: Cell<u64>,
}

/// What has changed for the module and the servers' actors.
#[derive(Default)]
pub struct SubsetChange {
    pub subset: Option<Subset>,
    /// To be connected to before there is a trip, and no longer used.
    pub opens: Vec<Id>,
    pub leaves: Vec<Id>,
}

/// A server of the list, and whether this gateway avoids it now.
pub type ServerSlot<'l> = (&'l Endpoint, bool);

impl Subsetting {
    /// Takes part from now on. `events`: the module's, who is asked to look at its servers now and then.
    pub fn start<E: From<FleetEvent> + 'static>(
        host: &HostHandle,
        mesh: Option<&Rc<Membership>>,
        settings: Settings,
        me: LocalGateway,
        events: Sender<E>,
    ) -> Rc<Subsetting> {
        let now = boottime();
        let zone = settings.zone.clone().unwrap_or_default();
        let run = mesh.map(|mesh| mesh.local().instance.0);
        let own = LivePeer { name: me.name.clone(), instance: run.unwrap_or(0) };
        let name = mesh.map_or(me.number.to_string(), |_| me.name.clone());
        let dealt = fernscale_subsetting::Settings {
            min_servers: settings.min_servers,
            prefers_own_zone: settings.zone.is_some(),
        };
        let core = Core {
            own: SubsetTracker::new(&name, dealt, rand::random()),
            loads: mesh.map(|_| LoadReports::new(own, &zone, rand::random(), now)),
            used: BTreeSet::new(),
            avoided: BTreeSet::new(),
        };
        info!(host.log(), #"subset.starts", "uses servers as they are dealt out among all gateways"; "least" => settings.min_servers,
            "zone" => zone, "by" => if mesh.is_some() { "mesh" } else { "number" });
        let core = RefCell::new(core);
        let mesh = mesh.cloned();
        let subsets =
            Rc::new(Subsetting { host: host.clone(), mesh, settings, me, core, trips: Cell::new(0) });
        match &subsets.mesh {
            Some(mesh) => {
                let answers = subsets.clone();
                let answer = move |_: &[u8]| postcard::to_stdvec(&answers.shown()).ok();
                mesh.set_responder(Channel::Subsetting, Box::new(answer));
                mesh.spawn_until_left(subsets.clone().hear(mesh.subscribe(Channel::Subsetting)));
                mesh.spawn_until_left(subsets.clone().keep_time(events));
            }
            None => host.executor().spawn(subsets.clone().keep_time(events)).detach(),
        }
        subsets
    }

    /// A trip was sent.
    pub fn attempt_forwarded(&self) {
        self.trips.set(self.trips.get() + 1);
    }

    /// How many gateways use a server, in the mean.
    pub fn gateways_per_server(&self) -> f64 {
        self.core.borrow().own.current().gateways_per_server.max(1.0)
    }

    /// This gateway ends, and no other process of it goes on.
    pub fn shut_down(&self) {
        let live = self.live();
        if let Some(loads) = &mut self.core.borrow_mut().loads {
            loads.leave(boottime(), &live);
        }
        self.carry();
    }

    async fn keep_time<E: From<FleetEvent>>(self: Rc<Self>, events: Sender<E>) {
        loop {
            let now = boottime();
            let live = self.live();
            if let Some(loads) = &mut self.core.borrow_mut().loads {
                loads.record_attempts(now, self.trips.take());
                loads.handle_timeout(now, &live);
            }
            self.carry();
            if events.send(FleetEvent::SubsettingDue.into()).await.is_err() {
                return;
            }
            let due = {
                let core = self.core.borrow();
                core.loads
                    .as_ref()
                    .map_or(Micros::MAX, LoadReports::next_deadline)
                    .min(core.own.next_deadline())
            };
            Timer::after(real_duration(due.saturating_sub(boottime()).max(LEAST))).await;
        }
    }

    async fn hear(self: Rc<Self>, came: Receiver<ReceivedPayload>) {
        let mut came = std::pin::pin!(came);
        while let Some(ReceivedPayload { sender: from, body, .. }) = came.next().await {
            match postcard::from_bytes::<Message>(&body) {
                Ok(note) => {
                    if let Some(loads) = &mut self.core.borrow_mut().loads {
                        loads.handle_message(boottime(), &from.name, note);
                    }
                }
                Err(_) => {
                    let why = "a note about loads that can't be read";
                    warn!(self.host.log(), #"subset.unread", "{}", why; "peer" => from.name);
                }
            }
            self.carry();
        }
    }

    fn carry(&self) {
        let Some(mesh) = &self.mesh else { return };
        loop {
            let note = self.core.borrow_mut().loads.as_mut().and_then(LoadReports::poll_message);
            let Some((to, note)) = note else { return };
            // A note that can't be sent now is as good as lost on the way.
            let _ = mesh.send_to(&to, Channel::Subsetting, postcard::to_stdvec(&note).unwrap_or_default());
        }
    }

    /// The others that the mesh takes for live.
    fn live(&self) -> Vec<LivePeer> {
        self.mesh.as_ref().map_or(Vec::new(), |mesh| mesh.live_instances())
    }

    /// Looks at the list of servers and at the fleet: what is to change.
    pub fn update<'l>(&self, places: impl Iterator<Item = ServerSlot<'l>>) -> SubsetChange {
        let (now, shared_now) = (boottime(), self.host.clock().now());
        let (mut servers, mut avoided, mut cold) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        for (listed, avoids) in places.filter(|(listed, _)| listed.state == EndpointState::Ready) {
            let name = listed.server.to_string();
            if avoids {
                avoided.insert(name.clone());
            }
            if listed.started_at.is_some_and(|at| shared_now < at + self.me.warm_up) {
                cold.insert(name.clone());
            }
            servers.push(Server { name, weight: listed.weight, zone: listed.zone });
        }
        let live = self.live();
        let core = &mut *self.core.borrow_mut();
        let (gateways, whole) = match &core.loads {
            Some(loads) => {
                (self.gateways(loads.gateway_loads(&live)), live.len() + 1 >= self.me.gateways as usize)
            }
            None => {
                let zone = self.zone(self.settings.zone.as_deref().unwrap_or_default());
                let one = |number: u32| Gateway { name: number.to_string(), load: 1.0, zone };
                ((0..self.me.gateways.max(1)).map(one).collect(), true)
            }
        };
        core.own.set_avoided(avoided.clone());
        core.avoided = avoided;
        core.own.fleet_changed(now, FleetView { gateways, servers }, whole);
        let changed = core.own.handle_timeout(now);
        let mut change = SubsetChange::default();
        let opens = core.own.take_preconnects(now).into_iter().filter(|name| !cold.contains(name));
        change.opens = opens.map(Id::from).collect();
        if !changed || core.own.current().weights.is_empty() {
            return change;
        }
        let used = core.own.current();
        let names: BTreeSet<String> = used.weights.keys().cloned().collect();
        change.leaves = core.used.difference(&names).map(|name| Id::from(&**name)).collect();
        if core.used != names {
            info!(self.host.log(), #"subset.changes", "uses other servers"; "servers" => names.len(),
                "more" => names.difference(&core.used).count(), "fewer" => change.leaves.len(),
                "gateways" => core.own.settled_view().gateways.len());
        }
        // Beside the others' mean, as ratings are.
        let count = used.weights.len() as f64;
        let parts = used.weights.iter().map(|(name, share)| (Id::from(&**name), share * count));
        change.subset =
            Some(Subset { weights: parts.collect(), gateways_per_server: used.gateways_per_server });
        core.used = names;
        change
    }

    fn zone(&self, name: &str) -> u32 {
        let known = self.host.zones().iter().position(|zone| zone == name);
        known.map_or(u32::MAX, |at| at as u32)
    }

    /// The fleet as the deal takes it. Whoever has not told what it carries is taken to carry what the others do.
    fn gateways(&self, known: Vec<GatewayLoad>) -> Vec<Gateway> {
        let told: Vec<f64> = known.iter().filter_map(|known| known.load).filter(|load| *load > 0.0).collect();
        let mean = if told.is_empty() { 1.0 } else { told.iter().sum::<f64>() / told.len() as f64 };
        let there = known.into_iter().filter(|known| !known.is_leaving || known.name == self.me.name);
        let gateway = |known: GatewayLoad| Gateway {
            zone: self.zone(&known.zone),
            load: known.load.unwrap_or(mean),
            name: known.name,
        };
        there.map(gateway).collect()
    }

    fn shown(&self) -> Shown {
        let core = self.core.borrow();
        let FleetView { gateways, servers } = core.own.settled_view();
        let seen = |gateway: &Gateway| GatewayView {
            name: gateway.name.clone(),
            load: gateway.load,
            zone: gateway.zone,
        };
        let taken = |server: &Server| ServerView {
            name: server.name.clone(),
            weight: server.weight,
            zone: server.zone,
        };
        let uses = core.own.current().weights.iter().map(|(name, share)| (name.clone(), *share));
        Shown {
            gateway: self.me.name.clone(),
            min_servers: self.settings.min_servers as u32,
            prefers_own_zone: self.settings.zone.is_some(),
            gateways: gateways.iter().map(seen).collect(),
            servers: servers.iter().map(taken).collect(),
            uses: uses.collect(),
            avoids: core.avoided.iter().cloned().collect(),
        }
    }
}

/// The shortest sleep between two looks.
const LEAST: Micros = 20_000;
