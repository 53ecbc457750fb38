//! Deterministic subsetting. This module exchanges load reports with the other gateways and derives from the endpoint list
//! the subset of servers that this gateway uses. The package `subsetting` decides which servers a gateway uses and when a
//! change takes effect. Without membership, all configured gateways count as live and are identified by their numbers.

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

/// Shortest sleep between two updates, in microseconds.
const MIN_SLEEP: Micros = 20_000;

/// The section `[subsets]` of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Minimum number of servers per gateway and of gateways per server. If there are fewer, all of them are used.
    pub min_servers: usize,
    /// Name of this gateway's zone. If it is not set, zones have no effect.
    pub zone: Option<String>,
}

/// This gateway, and the configured facts about the installation.
pub struct LocalGateway {
    /// Name of this gateway, which identifies it in the membership.
    pub name: String,
    /// Number of this gateway, starting at 0, which identifies it if there is no membership.
    pub number: u32,
    /// Number of gateways in the installation.
    pub gateways: u32,
    /// Duration of a server's slow start, in microseconds.
    pub slow_start_duration: Micros,
}

/// The state machines of the subsetting package, and the result of the last update.
struct Core {
    tracker: SubsetTracker,
    /// `None` without membership.
    load_reports: Option<LoadReports>,
    /// Servers of the subset that the dispatcher received last.
    used_servers: BTreeSet<String>,
    /// Servers that the dispatcher avoided at the last update.
    avoided_servers: BTreeSet<String>,
}

/// The subset of this gateway, and the tasks that update it.
pub struct Subsetting {
    host: HostHandle,
    membership: Option<Rc<Membership>>,
    settings: Settings,
    local: LocalGateway,
    core: RefCell<Core>,
    /// Number of attempts since the load was last recorded.
    forwarded_attempts: Cell<u64>,
}

/// The changes of an update that affect the dispatcher and the upstream connections.
#[derive(Default)]
pub struct SubsetChange {
    /// The new subset, or `None` if the subset has not changed.
    pub subset: Option<Subset>,
    /// Servers to connect to before the first attempt is forwarded to them.
    pub servers_to_connect: Vec<Id>,
    /// Servers that this gateway no longer uses.
    pub removed_servers: Vec<Id>,
}

/// An endpoint, and whether the dispatcher currently avoids it.
pub type AvoidableEndpoint<'l> = (&'l Endpoint, bool);

/// The servers of the endpoint list that are ready for attempts.
#[derive(Default)]
struct ReadyServers {
    servers: Vec<Server>,
    /// Names of the ready servers that the dispatcher avoids.
    avoided: BTreeSet<String>,
    /// Names of the ready servers that are in slow start.
    slow_starting: BTreeSet<String>,
}

impl ReadyServers {
    /// Collects the ready servers among `endpoints`. `now` is in microseconds of the gateway's clock, and
    /// `slow_start_duration` is in microseconds.
    fn collect<'l>(
        endpoints: impl Iterator<Item = AvoidableEndpoint<'l>>,
        now: Micros,
        slow_start_duration: Micros,
    ) -> Self {
        let mut ready = ReadyServers::default();
        for (endpoint, is_avoided) in endpoints.filter(|(endpoint, _)| endpoint.state == EndpointState::Ready)
        {
            let name = endpoint.server.to_string();
            if is_avoided {
                ready.avoided.insert(name.clone());
            }
            if endpoint.started_at.is_some_and(|started_at| now < started_at + slow_start_duration) {
                ready.slow_starting.insert(name.clone());
            }
            ready.servers.push(Server { name, weight: endpoint.weight, zone: endpoint.zone });
        }
        ready
    }
}

/// The gateways and servers that the subset is computed from.
struct FleetState {
    view: FleetView,
    /// Whether all configured gateways are known.
    is_complete: bool,
}

impl Subsetting {
    /// Starts the tasks. With membership, they run until this gateway leaves it. `events` is the channel to the dispatcher,
    /// which receives `SubsettingDue`.
    pub fn start<E: From<FleetEvent> + 'static>(
        host: &HostHandle,
        membership: Option<&Rc<Membership>>,
        settings: Settings,
        local: LocalGateway,
        events: Sender<E>,
    ) -> Rc<Subsetting> {
        let now = boottime();
        let zone = settings.zone.clone().unwrap_or_default();
        let instance = membership.map(|membership| membership.local().instance.0);
        let local_peer = LivePeer { name: local.name.clone(), instance: instance.unwrap_or(0) };
        let name = membership.map_or(local.number.to_string(), |_| local.name.clone());
        let tracker_settings = fernscale_subsetting::Settings {
            min_servers: settings.min_servers,
            prefers_own_zone: settings.zone.is_some(),
        };
        let core = Core {
            tracker: SubsetTracker::new(&name, tracker_settings, rand::random()),
            load_reports: membership.map(|_| LoadReports::new(local_peer, &zone, rand::random(), now)),
            used_servers: BTreeSet::new(),
            avoided_servers: BTreeSet::new(),
        };
        info!(host.log(), #"subset.starts", "each gateway uses a subset of the servers"; "least" => settings.min_servers,
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

    /// Counts a forwarded attempt as load of this gateway.
    pub fn attempt_forwarded(&self) {
        self.forwarded_attempts.set(self.forwarded_attempts.get() + 1);
    }

    /// Mean number of gateways that use a server, at least 1.
    pub fn gateways_per_server(&self) -> f64 {
        self.core.borrow().tracker.current().gateways_per_server.max(1.0)
    }

    /// Announces to the other gateways that this gateway leaves. Must not be called if another process of this gateway
    /// continues after a hot restart.
    pub fn shut_down(&self) {
        let live_peers = self.live_peers();
        if let Some(load_reports) = &mut self.core.borrow_mut().load_reports {
            load_reports.leave(boottime(), &live_peers);
        }
        self.drain_messages();
    }

    /// Records the load, sends load reports, and requests updates from the dispatcher.
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
            let deadline = {
                let core = self.core.borrow();
                core.load_reports
                    .as_ref()
                    .map_or(Micros::MAX, LoadReports::next_deadline)
                    .min(core.tracker.next_deadline())
            };
            Timer::after(real_duration(deadline.saturating_sub(boottime()).max(MIN_SLEEP))).await;
        }
    }

    /// Handles load reports of other gateways.
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
                    let reason = "cannot decode a message about gateway loads";
                    warn!(self.host.log(), #"subset.unread", "{}", reason; "peer" => sender.name);
                }
            }
            self.drain_messages();
        }
    }

    /// Sends the pending messages of the load reports.
    fn drain_messages(&self) {
        let Some(membership) = &self.membership else { return };
        loop {
            let message = self.core.borrow_mut().load_reports.as_mut().and_then(LoadReports::poll_message);
            let Some((to, message)) = message else { return };
            // A message that cannot be sent is dropped, like one lost on the network.
            let _ = membership.send_to(
                &to,
                Channel::Subsetting,
                postcard::to_stdvec(&message).unwrap_or_default(),
            );
        }
    }

    /// The other gateways that are live. Empty without membership.
    fn live_peers(&self) -> Vec<LivePeer> {
        self.membership.as_ref().map_or(Vec::new(), |membership| membership.live_instances())
    }

    /// Updates the subset from the endpoint list and the live gateways, and returns the changes.
    pub fn update<'l>(&self, endpoints: impl Iterator<Item = AvoidableEndpoint<'l>>) -> SubsetChange {
        let now = boottime();
        let slow_start_duration = self.local.slow_start_duration;
        let ready = ReadyServers::collect(endpoints, self.host.clock().now(), slow_start_duration);
        let live_peers = self.live_peers();
        let core = &mut *self.core.borrow_mut();
        let fleet = self.fleet_view(core.load_reports.as_ref(), &live_peers, ready.servers);
        core.tracker.set_avoided(ready.avoided.clone());
        core.avoided_servers = ready.avoided;
        core.tracker.fleet_changed(now, fleet.view, fleet.is_complete);
        let has_changed = core.tracker.handle_timeout(now);
        let preconnects = core.tracker.take_preconnects(now).into_iter();
        let servers_to_connect =
            preconnects.filter(|name| !ready.slow_starting.contains(name)).map(Id::from).collect();
        let mut change = SubsetChange { servers_to_connect, ..SubsetChange::default() };
        if has_changed && !core.tracker.current().weights.is_empty() {
            self.apply_subset(core, &mut change);
        }
        change
    }

    /// Puts the tracker's current subset into use, and adds its differences from the previous subset to `change`.
    fn apply_subset(&self, core: &mut Core, change: &mut SubsetChange) {
        let current = core.tracker.current();
        let names: BTreeSet<String> = current.weights.keys().cloned().collect();
        change.removed_servers = core.used_servers.difference(&names).map(|name| Id::from(&**name)).collect();
        if core.used_servers != names {
            info!(self.host.log(), #"subset.changes", "the subset of servers changed"; "servers" => names.len(),
                "more" => names.difference(&core.used_servers).count(), "fewer" => change.removed_servers.len(),
                "gateways" => core.tracker.settled_view().gateways.len());
        }
        // The dispatcher's weights are relative to the mean weight.
        let server_count = current.weights.len() as f64;
        let weights = current.weights.iter().map(|(name, share)| (Id::from(&**name), share * server_count));
        change.subset =
            Some(Subset { weights: weights.collect(), gateways_per_server: current.gateways_per_server });
        core.used_servers = names;
    }

    /// The gateways and servers to compute the subset from. The gateways come from the load reports, or from the configured
    /// number of gateways if there is no membership.
    fn fleet_view(
        &self,
        load_reports: Option<&LoadReports>,
        live_peers: &[LivePeer],
        servers: Vec<Server>,
    ) -> FleetState {
        let Some(load_reports) = load_reports else {
            let zone = self.zone(self.settings.zone.as_deref().unwrap_or_default());
            let numbered_gateway = |number: u32| Gateway { name: number.to_string(), load: 1.0, zone };
            let gateways = (0..self.local.gateways.max(1)).map(numbered_gateway).collect();
            return FleetState { view: FleetView { gateways, servers }, is_complete: true };
        };
        let gateways = self.gateways(load_reports.gateway_loads(live_peers));
        FleetState {
            view: FleetView { gateways, servers },
            is_complete: live_peers.len() + 1 >= self.local.gateways as usize,
        }
    }

    /// Index of a zone in the platform's list, or `u32::MAX` for an unknown zone.
    fn zone(&self, name: &str) -> u32 {
        let index = self.host.zones().iter().position(|zone| zone == name);
        index.map_or(u32::MAX, |index| index as u32)
    }

    /// The participating gateways with their loads. A gateway without a load report gets the mean load of the others.
    fn gateways(&self, gateway_loads: Vec<GatewayLoad>) -> Vec<Gateway> {
        let known_loads: Vec<f64> =
            gateway_loads.iter().filter_map(|gateway| gateway.load).filter(|load| *load > 0.0).collect();
        let mean_load = if known_loads.is_empty() {
            1.0
        } else {
            known_loads.iter().sum::<f64>() / known_loads.len() as f64
        };
        let participants = gateway_loads
            .into_iter()
            .filter(|gateway| !gateway.is_leaving || gateway.name == self.local.name);
        let with_load = |gateway: GatewayLoad| Gateway {
            zone: self.zone(&gateway.zone),
            load: gateway.load.unwrap_or(mean_load),
            name: gateway.name,
        };
        participants.map(with_load).collect()
    }

    /// The reply to an operator's query about this gateway's subset.
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
