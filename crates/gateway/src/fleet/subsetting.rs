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
use fernscale_subsetting::status::{GatewayView, ServerView, SubsetView};
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
    pub slow_start_duration: Micros,
}

struct Core {
    tracker: SubsetTracker,
    /// Nothing where gateways have no way to each other.
    load_reports: Option<LoadReports>,
    /// What was told last, and the servers avoided then.
    used_servers: BTreeSet<String>,
    avoided_servers: BTreeSet<String>,
}

pub struct Subsetting {
    host: HostHandle,
    membership: Option<Rc<Membership>>,
    settings: Settings,
    local: LocalGateway,
    core: RefCell<Core>,
    forwarded_attempts: Cell<u64>,
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
        membership: Option<&Rc<Membership>>,
        settings: Settings,
        local: LocalGateway,
        events: Sender<E>,
    ) -> Rc<Subsetting> {
        let now = boottime();
        let zone = settings.zone.clone().unwrap_or_default();
        let process = membership.map(|membership| membership.local().instance.0);
        let local_peer = LivePeer { name: local.name.clone(), instance: process.unwrap_or(0) };
        let name = membership.map_or(local.number.to_string(), |_| local.name.clone());
        let settings_of_tracker = fernscale_subsetting::Settings {
            min_servers: settings.min_servers,
            prefers_own_zone: settings.zone.is_some(),
        };
        let core = Core {
            tracker: SubsetTracker::new(&name, settings_of_tracker, rand::random()),
            load_reports: membership.map(|_| LoadReports::new(local_peer, &zone, rand::random(), now)),
            used_servers: BTreeSet::new(),
            avoided_servers: BTreeSet::new(),
        };
        info!(host.log(), #"subset.starts", "uses servers as they are dealt out among all gateways"; "least" => settings.min_servers,
            "zone" => zone, "by" => if membership.is_some() { "mesh" } else { "number" });
        let core = RefCell::new(core);
        let membership = membership.cloned();
        let subsetting = Rc::new(Subsetting {
            host: host.clone(),
            membership,
            settings,
            local,
            core,
            forwarded_attempts: Cell::new(0),
        });
        match &subsetting.membership {
            Some(membership) => {
                let responder = subsetting.clone();
                let respond = move |_: &[u8]| postcard::to_stdvec(&responder.view()).ok();
                membership.set_responder(Channel::Subsetting, Box::new(respond));
                membership.spawn_until_left(
                    subsetting.clone().receive_messages(membership.subscribe(Channel::Subsetting)),
                );
                membership.spawn_until_left(subsetting.clone().run_timer(events));
            }
            None => host.executor().spawn(subsetting.clone().run_timer(events)).detach(),
        }
        subsetting
    }

    /// A trip was sent.
    pub fn attempt_forwarded(&self) {
        self.forwarded_attempts.set(self.forwarded_attempts.get() + 1);
    }

    /// How many gateways use a server, in the mean.
    pub fn gateways_per_server(&self) -> f64 {
        self.core.borrow().tracker.current().gateways_per_server.max(1.0)
    }

    /// This gateway ends, and no other process of it goes on.
    pub fn shut_down(&self) {
        let live_peers = self.live_peers();
        if let Some(load_reports) = &mut self.core.borrow_mut().load_reports {
            load_reports.leave(boottime(), &live_peers);
        }
        self.drain_messages();
    }

    async fn run_timer<E: From<FleetEvent>>(self: Rc<Self>, events: Sender<E>) {
        loop {
            let now = boottime();
            let live_peers = self.live_peers();
            if let Some(load_reports) = &mut self.core.borrow_mut().load_reports {
                load_reports.record_attempts(now, self.forwarded_attempts.take());
                load_reports.handle_timeout(now, &live_peers);
            }
            self.drain_messages();
            if events.send(FleetEvent::SubsettingDue.into()).await.is_err() {
                return;
            }
            let due = {
                let core = self.core.borrow();
                core.load_reports
                    .as_ref()
                    .map_or(Micros::MAX, LoadReports::next_deadline)
                    .min(core.tracker.next_deadline())
            };
            Timer::after(real_duration(due.saturating_sub(boottime()).max(MIN_SLEEP))).await;
        }
    }

    async fn receive_messages(self: Rc<Self>, payloads: Receiver<ReceivedPayload>) {
        let mut payloads = std::pin::pin!(payloads);
        while let Some(ReceivedPayload { sender, body, .. }) = payloads.next().await {
            match postcard::from_bytes::<Message>(&body) {
                Ok(message) => {
                    if let Some(load_reports) = &mut self.core.borrow_mut().load_reports {
                        load_reports.handle_message(boottime(), &sender.name, message);
                    }
                }
                Err(_) => {
                    let reason = "a note about loads that can't be read";
                    warn!(self.host.log(), #"subset.unread", "{}", reason; "peer" => sender.name);
                }
            }
            self.drain_messages();
        }
    }

    fn drain_messages(&self) {
        let Some(membership) = &self.membership else { return };
        loop {
            let message = self.core.borrow_mut().load_reports.as_mut().and_then(LoadReports::poll_message);
            let Some((to, message)) = message else { return };
            // A note that can't be sent now is as good as lost on the way.
            let _ = membership.send_to(
                &to,
                Channel::Subsetting,
                postcard::to_stdvec(&message).unwrap_or_default(),
            );
        }
    }

    /// The others that the mesh takes for live.
    fn live_peers(&self) -> Vec<LivePeer> {
        self.membership.as_ref().map_or(Vec::new(), |membership| membership.live_instances())
    }

    /// Looks at the list of servers and at the fleet: what is to change.
    pub fn update<'l>(&self, endpoints: impl Iterator<Item = ServerSlot<'l>>) -> SubsetChange {
        let (now, shared_now) = (boottime(), self.host.clock().now());
        let (mut servers, mut avoided, mut slow_starting) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        for (endpoint, is_avoided) in endpoints.filter(|(endpoint, _)| endpoint.state == EndpointState::Ready)
        {
            let name = endpoint.server.to_string();
            if is_avoided {
                avoided.insert(name.clone());
            }
            if endpoint.started_at.is_some_and(|at| shared_now < at + self.local.slow_start_duration) {
                slow_starting.insert(name.clone());
            }
            servers.push(Server { name, weight: endpoint.weight, zone: endpoint.zone });
        }
        let live_peers = self.live_peers();
        let core = &mut *self.core.borrow_mut();
        let (gateways, is_complete) = match &core.load_reports {
            Some(load_reports) => (
                self.gateways(load_reports.gateway_loads(&live_peers)),
                live_peers.len() + 1 >= self.local.gateways as usize,
            ),
            None => {
                let zone = self.zone(self.settings.zone.as_deref().unwrap_or_default());
                let by_number = |number: u32| Gateway { name: number.to_string(), load: 1.0, zone };
                ((0..self.local.gateways.max(1)).map(by_number).collect(), true)
            }
        };
        core.tracker.set_avoided(avoided.clone());
        core.avoided_servers = avoided;
        core.tracker.fleet_changed(now, FleetView { gateways, servers }, is_complete);
        let changed = core.tracker.handle_timeout(now);
        let mut change = SubsetChange::default();
        let opens =
            core.tracker.take_preconnects(now).into_iter().filter(|name| !slow_starting.contains(name));
        change.opens = opens.map(Id::from).collect();
        if !changed || core.tracker.current().weights.is_empty() {
            return change;
        }
        let current = core.tracker.current();
        let names: BTreeSet<String> = current.weights.keys().cloned().collect();
        change.leaves = core.used_servers.difference(&names).map(|name| Id::from(&**name)).collect();
        if core.used_servers != names {
            info!(self.host.log(), #"subset.changes", "uses other servers"; "servers" => names.len(),
                "more" => names.difference(&core.used_servers).count(), "fewer" => change.leaves.len(),
                "gateways" => core.tracker.settled_view().gateways.len());
        }
        // Beside the others' mean, as ratings are.
        let server_count = current.weights.len() as f64;
        let weights = current.weights.iter().map(|(name, share)| (Id::from(&**name), share * server_count));
        change.subset =
            Some(Subset { weights: weights.collect(), gateways_per_server: current.gateways_per_server });
        core.used_servers = names;
        change
    }

    fn zone(&self, name: &str) -> u32 {
        let known = self.host.zones().iter().position(|zone| zone == name);
        known.map_or(u32::MAX, |at| at as u32)
    }

    /// The fleet as the deal takes it. Whoever has not told what it carries is taken to carry what the others do.
    fn gateways(&self, known: Vec<GatewayLoad>) -> Vec<Gateway> {
        let known_loads: Vec<f64> =
            known.iter().filter_map(|known| known.load).filter(|load| *load > 0.0).collect();
        let mean = if known_loads.is_empty() {
            1.0
        } else {
            known_loads.iter().sum::<f64>() / known_loads.len() as f64
        };
        let participants =
            known.into_iter().filter(|known| !known.is_leaving || known.name == self.local.name);
        let gateway = |known: GatewayLoad| Gateway {
            zone: self.zone(&known.zone),
            load: known.load.unwrap_or(mean),
            name: known.name,
        };
        participants.map(gateway).collect()
    }

    fn view(&self) -> SubsetView {
        let core = self.core.borrow();
        let FleetView { gateways, servers } = core.tracker.settled_view();
        let gateway_view = |gateway: &Gateway| GatewayView {
            name: gateway.name.clone(),
            load: gateway.load,
            zone: gateway.zone,
        };
        let server_view = |server: &Server| ServerView {
            name: server.name.clone(),
            weight: server.weight,
            zone: server.zone,
        };
        let uses = core.tracker.current().weights.iter().map(|(name, share)| (name.clone(), *share));
        SubsetView {
            gateway: self.local.name.clone(),
            min_servers: self.settings.min_servers as u32,
            prefers_own_zone: self.settings.zone.is_some(),
            gateways: gateways.iter().map(gateway_view).collect(),
            servers: servers.iter().map(server_view).collect(),
            uses: uses.collect(),
            avoids: core.avoided_servers.iter().cloned().collect(),
        }
    }
}

/// The shortest sleep between two looks.
const MIN_SLEEP: Micros = 20_000;
