//! Starts the fleet subsystems and connects them to the gateway. This module implements the traits through which they use
//! the gateway, and converts their events and requests into those of the dispatcher and of discovery. It keeps no state
//! after the subsystems have started.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Id, Micros};
use slog::{warn, Logger};

use crate::discovery;
use crate::fleet::endpoint_list::{self, EndpointListConfig};
use crate::fleet::host::{DiscoveryRequest, EndpointTable, FleetEvent, Host, HostHandle};
use crate::fleet::leases::{self, Leases};
use crate::fleet::membership::{self, Membership};
use crate::fleet::outlier_detection::{self, OutlierDetection};
use crate::fleet::subsetting::{self, Subsetting};
use crate::fleet::trial_leases;
use crate::protocol::catalog::EndpointUpdate;
use crate::shared::{Event, Shared};
use crate::transport::clock::Clock;

/// Pause between two attempts to bind the membership address while another process of this gateway holds it.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// The configured fleet subsystems before their start.
pub struct Fleet {
    pub leases: Option<leases::Settings>,
    pub trial_leases: Option<trial_leases::Settings>,
    pub outlier_detection: Option<outlier_detection::Settings>,
    pub subsetting: Option<(subsetting::Settings, subsetting::LocalGateway)>,
    pub events: Sender<Event>,
    pub endpoint_list: EndpointListConfig<Event, discovery::Order>,
}

impl Fleet {
    /// Starts all configured subsystems on a running membership. Each subsystem is set in `shared` before the next one
    /// starts.
    pub fn start(self, shared: &Rc<Shared>, membership: Rc<Membership>) {
        let host: HostHandle = shared.clone();
        let _ = shared.membership.set(membership.clone());
        if let Some((settings, local)) = self.subsetting {
            let subsetting =
                Subsetting::start(&host, Some(&membership), settings, local, self.events.clone());
            let _ = shared.subsetting.set(subsetting);
        }
        if let Some(settings) = self.outlier_detection {
            let subsetting = shared.subsetting.get().cloned();
            let detection = OutlierDetection::start(&host, &membership, subsetting, settings, self.events);
            let _ = shared.outlier_detection.set(detection);
        }
        let Some(settings) = self.leases else { return };
        let leases_endpoint_list = settings.leases_endpoint_list;
        let leases = Leases::start(&host, &membership, settings);
        let _ = shared.leases.set(leases.clone());
        if leases_endpoint_list {
            endpoint_list::start(shared.clone(), &membership, &leases, self.endpoint_list);
        }
        if let Some(settings) = &self.trial_leases {
            trial_leases::start(&host, &leases, settings);
        }
    }

    /// Starts the only subsystem that works without membership: subsetting by the gateway's number.
    pub fn start_without_membership(self, shared: &Rc<Shared>) {
        let host: HostHandle = shared.clone();
        if let Some((settings, local)) = self.subsetting {
            let _ = shared.subsetting.set(Subsetting::start(&host, None, settings, local, self.events));
        }
    }

    /// Starts all subsystems as soon as the previous process of this gateway has released the membership address. Updates
    /// of shared counters that were collected during the wait are delivered first.
    pub async fn start_when_address_is_free(
        self,
        shared: Rc<Shared>,
        name: String,
        gateway_count: u32,
        settings: membership::Settings,
    ) {
        let host: HostHandle = shared.clone();
        loop {
            Timer::after(REBIND_INTERVAL).await;
            match Membership::start(&host, &name, gateway_count, &settings) {
                Ok(membership) => {
                    membership.deliver(shared.undelivered_updates.take());
                    return self.start(&shared, membership);
                }
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => {
                    let reason = error.to_string();
                    warn!(shared.log, #"mesh.none", "running without membership"; "why" => reason);
                    return;
                }
            }
        }
    }
}

impl Host for Shared {
    fn executor(&self) -> &LocalExecutor<'static> {
        &self.executor
    }

    fn log(&self) -> &Logger {
        &self.log
    }

    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn zones(&self) -> &[String] {
        &self.platform.zones
    }

    fn is_shutting_down(&self) -> bool {
        self.shutting_down_since.get().is_some()
    }
}

impl EndpointTable for Shared {
    fn platform(&self) -> &PlatformSettings {
        &self.platform
    }

    fn set_fresh_until(&self, expires_at: Micros) {
        self.endpoints_fresh_until.set(expires_at);
    }

    fn apply_list(&self, update: &mut EndpointUpdate) {
        Shared::apply_list(self, update);
    }

    fn start_draining(&self, endpoints: &[Id]) {
        self.draining.borrow_mut().mark_draining(endpoints);
    }
}

impl From<FleetEvent> for Event {
    fn from(event: FleetEvent) -> Self {
        match event {
            FleetEvent::SubsettingDue => Event::SubsettingDue,
            FleetEvent::OutlierDetectionDue => Event::OutlierDetectionDue,
            FleetEvent::EndpointsUpdated(update) => Event::EndpointsUpdated(update),
            FleetEvent::EndpointsUnavailable => Event::EndpointsUnavailable,
            FleetEvent::EndpointsDraining(endpoints) => Event::EndpointsDraining(endpoints),
        }
    }
}

impl From<DiscoveryRequest> for discovery::Order {
    fn from(request: DiscoveryRequest) -> Self {
        match request {
            DiscoveryRequest::DelegateToFleet => discovery::Order::LedByFleet,
            DiscoveryRequest::Poll { since, reply } => discovery::Order::Request(since, reply),
        }
    }
}
