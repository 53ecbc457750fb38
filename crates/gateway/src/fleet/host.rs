//! What the subsystems of the fleet need of the gateway that they run in. It holds no state and decides nothing: the
//! gateway implements it, so that nothing in `fleet` knows the gateway's shared state, its dispatcher or its discovery.

use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Id, Micros};
use serde_json::Value;
use slog::Logger;

use crate::protocol::catalog::EndpointUpdate;
use crate::transport::clock::Clock;

/// The process that a subsystem runs in.
pub trait Host {
    /// Where its tasks run.
    fn executor(&self) -> &LocalExecutor<'static>;

    /// The gateway's log.
    fn log(&self) -> &Logger;

    /// The clock of the decision module. Whatever must not follow the wall clock uses `boottime` instead.
    fn clock(&self) -> &Clock;

    /// Names of the zones; an endpoint's zone is an index into them.
    fn zones(&self) -> &[String];

    /// Whether the gateway finishes what it has and takes nothing new.
    fn is_shutting_down(&self) -> bool;
}

/// The gateway's table of endpoints, as the endpoint list of the fleet fills it.
pub trait EndpointTable: Host {
    /// What the platform sets for reading an endpoint list.
    fn platform(&self) -> &PlatformSettings;

    /// Until when the table may be used, in microseconds of `boottime`. Later no attempt begins.
    fn set_fresh_until(&self, until: Micros);

    /// Takes start times and draining endpoints from an update, before the dispatcher handles it.
    fn apply_list(&self, update: &mut EndpointUpdate);

    /// Marks endpoints as draining that an update which can't be used names as such.
    fn start_draining(&self, endpoints: &[Id]);
}

/// What the fleet's subsystems let the dispatcher know. Its own event type is made `From` it.
pub enum FleetEvent {
    /// The subset of this gateway is to be looked at.
    SubsettingDue,
    /// The ejections that the gateways agree on are to be looked at.
    OutlierDetectionDue,
    /// The endpoint list has changed.
    EndpointsUpdated(EndpointUpdate),
    /// An update can't be used.
    EndpointsUnavailable,
    /// These endpoints are draining by an update that can't be used otherwise.
    EndpointsDraining(Vec<Id>),
}

/// What the endpoint list wants of the actor that calls discovery. Its own order type is made `From` it.
pub enum DiscoveryRequest {
    /// The fleet polls from now on; the actor makes no calls of its own.
    DelegateToFleet,
    /// One call, without waiting for news.
    Poll {
        /// The version to start from, or nothing for the whole list.
        since: Option<u64>,
        /// Gets the body of the reply, or nothing where the call failed.
        reply: Sender<Option<Value>>,
    },
}

/// The process, as the subsystems hold it.
pub type HostHandle = Rc<dyn Host>;
