//! Deterministic subsetting: load reports are carried between gateways, and the endpoint list is turned into the subset that
//! this gateway uses. Which server belongs to which gateway, and when a change takes effect, the package `subsetting`
//! decides. Without membership all configured gateways count as live, by their numbers.

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
    /// Least number of servers of a gateway and of gateways of a server, or all where there are fewer.
    pub min_servers: usize,
    /// Name of this gateway's zone; without one zones make no difference.
    pub zone: Option<String>,
}

/// This gateway and what its configuration says of the installation.
pub struct LocalGateway {
    /// Its name, by which it is known where there is membership.
    pub name: String,
    /// Its number, from 0, by which it is known without membership.
    pub number: u32,
    /// Number of gateways in the installation.
    pub gateways: u32,
    /// How long a server is in slow start, in microseconds.
    pub slow_start_duration: Micros,
}

/// What the subsetting package keeps for this gateway.
struct Core {
    tracker: SubsetTracker,
    /// Nothing without membership.
    load_reports: Option<LoadReports>,
    /// Servers of the subset that the dispatcher was given last.
    used_servers: BTreeSet<String>,
    /// Servers that the dispatcher avoided at the last update.
    avoided_servers: BTreeSet<String>,
}

/// The subset of this gateway, with the tasks that keep it up to date.
pub struct Subsetting {
    host: HostHandle,
    membership: Option<Rc<Membership>>,
    settings: Settings,
    local: LocalGateway,
    core: RefCell<Core>,
    /// Attempts since the last load report.
    forwarded_attempts: Cell<u64>,
}

/// What an update changes for the dispatcher and the upstream connections.
#[derive(Default)]
pub struct SubsetChange {
    /// The new subset, if there is one.
    pub subset: Option<Subset>,
    /// Servers to connect to before the first attempt.
    pub servers_to_connect: Vec<Id>,
    /// Servers that this gateway no longer uses.
    pub removed_servers: Vec<Id>,
}

/// An endpoint, and whether the dispatcher avoids it now.
pub type ServerSlot<'l> = (&'l Endpoint, bool);

/// The servers of the endpoint list that are ready, by name.
#[derive(Default)]
struct ReadyServers {
    servers: Vec<Server>,
    avoided: BTreeSet<String>,
    slow_starting: BTreeSet<String>,
}

impl ReadyServers {
    /// `now` and `slow_start_duration` are in microseconds of the gateway's clock.
    fn collect<'l>(
        endpoints: impl Iterator<Item = ServerSlot<'l>>,
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
            if endpoint.started_at.is_some_and(|at| now < at + slow_start_duration) {
                ready.slow_starting.insert(name.clone());
            }
            ready.servers.push(Server { name, weight: endpoint.weight, zone: endpoint.zone });
        }
        ready
    }
}

/// The fleet, and whether all configured gateways are known.
struct FleetState {
    view: FleetView,
    is_complete: bool,
}

impl Subsetting {
    /// Starts the tasks. With membership they run until this gateway leaves it. `events` is the dispatcher's mailbox, which
    /// gets `SubsettingDue`.
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

    /// Counts an attempt towards the load of this gateway.
    pub fn attempt_forwarded(&self) {
        self.forwarded_attempts.set(self.forwarded_attempts.get() + 1);
    }

    /// Mean number of gateways that use a server, 1 at least.
    pub fn gateways_per_server(&self) -> f64 {
        self.core.borrow().tracker.current().gateways_per_server.max(1.0)
    }

    /// Announces that this gateway leaves. Only for a gateway that no other process continues.
    pub fn shut_down(&self) {
        let live_peers = self.live_peers();
        if let Some(load_reports) = &mut self.core.borrow_mut().load_reports {
            load_reports.leave(boottime(), &live_peers);
        }
        self.drain_messages();
    }

    /// Records the load, and asks the dispatcher for the next update.
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
            // A message that can't be sent is lost, as on the network.
            let _ = membership.send_to(
                &to,
                Channel::Subsetting,
                postcard::to_stdvec(&message).unwrap_or_default(),
            );
        }
    }

    /// The other gateways that are live; none without membership.
    fn live_peers(&self) -> Vec<LivePeer> {
        self.membership.as_ref().map_or(Vec::new(), |membership| membership.live_instances())
    }

    /// Updates the subset by the endpoint list and the fleet, and gives what has changed.
    pub fn update<'l>(&self, endpoints: impl Iterator<Item = ServerSlot<'l>>) -> SubsetChange {
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

    /// Takes the tracker's subset as the one in use, and adds to a change what differs from the one before.
    fn apply_subset(&self, core: &mut Core, change: &mut SubsetChange) {
        let current = core.tracker.current();
        let names: BTreeSet<String> = current.weights.keys().cloned().collect();
        change.removed_servers = core.used_servers.difference(&names).map(|name| Id::from(&**name)).collect();
        if core.used_servers != names {
            info!(self.host.log(), #"subset.changes", "uses other servers"; "servers" => names.len(),
                "more" => names.difference(&core.used_servers).count(), "fewer" => change.removed_servers.len(),
                "gateways" => core.tracker.settled_view().gateways.len());
        }
        // Relative to the mean, as the dispatcher's other weights are.
        let server_count = current.weights.len() as f64;
        let weights = current.weights.iter().map(|(name, share)| (Id::from(&**name), share * server_count));
        change.subset =
            Some(Subset { weights: weights.collect(), gateways_per_server: current.gateways_per_server });
        core.used_servers = names;
    }

    /// The fleet as the subset is computed from: by the load reports, or by the configured number of gateways.
    fn fleet_view(
        &self,
        load_reports: Option<&LoadReports>,
        live_peers: &[LivePeer],
        servers: Vec<Server>,
    ) -> FleetState {
        let Some(load_reports) = load_reports else {
            let zone = self.zone(self.settings.zone.as_deref().unwrap_or_default());
            let by_number = |number: u32| Gateway { name: number.to_string(), load: 1.0, zone };
            let gateways = (0..self.local.gateways.max(1)).map(by_number).collect();
            return FleetState { view: FleetView { gateways, servers }, is_complete: true };
        };
        let gateways = self.gateways(load_reports.gateway_loads(live_peers));
        FleetState {
            view: FleetView { gateways, servers },
            is_complete: live_peers.len() + 1 >= self.local.gateways as usize,
        }
    }

    /// Index of a zone in the platform's list.
    fn zone(&self, name: &str) -> u32 {
        let known = self.host.zones().iter().position(|zone| zone == name);
        known.map_or(u32::MAX, |at| at as u32)
    }

    /// The gateways of the fleet with their loads. One without a report counts with the mean of the others.
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
