//! The interface between the fleet's subsystems and the gateway that runs them. The gateway implements these traits, so
//! `fleet` does not depend on the gateway's shared state, its dispatcher or its discovery client.

use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::{Id, Micros};
use serde_json::Value;
use slog::Logger;

use crate::protocol::catalog::EndpointUpdate;
use crate::transport::clock::Clock;

/// The gateway process that runs a subsystem.
pub trait Host {
    /// The executor for the subsystem's tasks.
    fn executor(&self) -> &LocalExecutor<'static>;

    /// The gateway's log.
    fn log(&self) -> &Logger;

    /// The clock of the decision module, which follows the wall clock. Timing that must not follow the wall clock uses
    /// `boottime` instead.
    fn clock(&self) -> &Clock;

    /// Names of the zones. An endpoint's zone is an index into this list.
    fn zones(&self) -> &[String];

    /// Whether the gateway is shutting down: it finishes its current requests and accepts no new ones.
    fn is_shutting_down(&self) -> bool;
}

/// The gateway's table of endpoints, which the fleet's endpoint list updates.
pub trait EndpointTable: Host {
    /// The platform's settings, which reading an endpoint list depends on.
    fn platform(&self) -> &PlatformSettings;

    /// Sets the time, in microseconds of `boottime`, after which the table is stale and no new attempt may start.
    fn set_fresh_until(&self, deadline: Micros);

    /// Records the start times and draining endpoints of an update, before the dispatcher handles the update.
    fn apply_list(&self, update: &mut EndpointUpdate);

    /// Marks endpoints as draining. Used for the draining endpoints of an update that is otherwise invalid.
    fn start_draining(&self, endpoints: &[Id]);
}

/// An event from the fleet's subsystems to the dispatcher. The dispatcher's own event type implements `From` for this type.
pub enum FleetEvent {
    /// This gateway's subset is due for an update.
    SubsettingDue,
    /// The ejections that the gateways agree on are due for an update.
    OutlierDetectionDue,
    /// The endpoint list has changed.
    EndpointsUpdated(EndpointUpdate),
    /// An update of the endpoint list was invalid.
    EndpointsUnavailable,
    /// These endpoints are draining, according to an update that is otherwise invalid.
    EndpointsDraining(Vec<Id>),
}

/// A request from the endpoint list to the actor that calls discovery. The actor's own order type implements `From` for
/// this type.
pub enum DiscoveryRequest {
    /// The fleet polls discovery from now on. The actor stops making calls of its own.
    DelegateToFleet,
    /// Call discovery once, without waiting for changes.
    Poll {
        /// The version to request changes since, or `None` for the complete list.
        since: Option<u64>,
        /// Receives the body of the reply, or `None` if the call failed.
        reply: Sender<Option<Value>>,
    },
}

/// A shared reference to the host, as the subsystems hold it.
pub type HostHandle = Rc<dyn Host>;
