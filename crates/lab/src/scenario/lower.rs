//! Converts a scenario to the specifications of the models.

use super::{
    ClassSpec, Fault, GatewayFaultKind, KeyGroup, LinkEnd, PartitionFault, Plan, Repeatability, Scenario,
    ServerFaultKind, TenantSpec,
};
use crate::model::clients::{self, Idempotency, KeyScope};
use crate::model::counter::Spec as CounterSpec;
use crate::model::server::{SlowStart, Spec as BoxSpec};

impl Scenario {
    pub fn slow_start(&self) -> SlowStart {
        SlowStart {
            share: self.fleet.cold_share,
            warm_up: self.fleet.warm_up.0,
            multiple: self.fleet.fall_multiple,
            window: self.fleet.fall_window.0,
        }
    }

    pub fn box_spec(&self) -> BoxSpec {
        let fleet = &self.fleet;
        BoxSpec {
            cores: fleet.cores,
            speed: fleet.speed,
            queue: fleet.queue,
            connections: fleet.connections,
            dial_work: fleet.dial_work.0,
            idle: fleet.idle.0,
            cancels: fleet.cancels,
            reports: fleet.reports,
            cold: self.slow_start(),
        }
    }

    pub fn counter_spec(&self) -> Option<CounterSpec> {
        let counter = self.counter.as_ref()?;
        Some(CounterSpec {
            capacity: counter.capacity,
            latency: counter.latency.0,
            queue: counter.queue,
            connections: 32,
        })
    }

    pub fn request_classes(&self) -> Vec<clients::RequestClass> {
        let lane = |lane: &ClassSpec| clients::RequestClass {
            name: lane.name.clone(),
            idempotency: match lane.repeat {
                Repeatability::Redoable => Idempotency::Idempotent,
                Repeatability::Labelled => Idempotency::Keyed,
                Repeatability::Irreversible => Idempotency::NonIdempotent,
            },
            retention: lane.memory.0,
            scope: match lane.group {
                KeyGroup::All => KeyScope::All,
                KeyGroup::Zone => KeyScope::Zone,
                KeyGroup::Cell => KeyScope::Cell,
            },
            latency_objective: lane.agreed.0,
            deadline: lane.hard_stop.0,
            priority_weight: lane.importance,
            work: lane.work.0,
        };
        self.lanes.iter().map(lane).collect()
    }

    pub fn client_plans(&self) -> Vec<clients::Plan> {
        let plan = |plan: &Plan| clients::Plan {
            name: plan.name.clone(),
            rate: plan.rate,
            burst: plan.burst,
            price: plan.price,
            ceiling: plan.ceiling.as_ref().map(|ceiling| (ceiling.rate, ceiling.burst)),
        };
        self.plans.iter().map(plan).collect()
    }

    pub fn tenant_groups(&self) -> Vec<clients::TenantGroup> {
        let lane = |name: &str| self.lanes.iter().position(|lane| lane.name == name).unwrap_or(0);
        let group = |customers: &TenantSpec| clients::TenantGroup {
            name: customers.name.clone(),
            plan: self.plans.iter().position(|plan| plan.name == customers.plan).unwrap_or(0),
            count: customers.count,
            load: customers.load,
            spread: customers.spread,
            first_share: customers.first_share,
            classes: if customers.lanes.is_empty() {
                (0..self.lanes.len()).map(|lane| (lane, 1.0)).collect()
            } else {
                customers.lanes.iter().map(|(name, weight)| (lane(name), *weight)).collect()
            },
            units: customers.units,
            single_use: customers.once,
            retry_share: customers.again,
            max_retries: customers.most_again,
            leave_share: customers.leaves,
        };
        self.customers.iter().map(group).collect()
    }

    pub fn max_request_units(&self) -> f64 {
        f64::from(self.customers.iter().map(|customers| customers.units.1).max().unwrap_or(1))
    }

    /// Whether a fault affects this kind of link of the gateway, so that the link needs a relay.
    pub fn needs_relay(&self, gateway: u32, to: LinkEnd) -> bool {
        let mut links = self.faults.iter().filter_map(|fault| fault.link.as_ref());
        let cuts_off = |fault: &PartitionFault| fault.is_cut_off(gateway, to);
        links.any(|link| link.to == to && link.which.contains(&gateway))
            || self.faults.iter().filter_map(|fault| fault.fleet.as_ref()).any(cuts_off)
    }

    /// Whether the gateways need their own configuration file in addition to the platform's, for settings that the platform's file
    /// cannot express.
    pub fn needs_config_file(&self) -> bool {
        self.fleet.mesh
            || self.fleet.debug_log
            || self.fleet.subsets.is_some()
            || !self.fleet.paces.is_empty()
            || self.faults.iter().any(|fault| fault.when.is_some() || fault.clock.is_some())
    }

    /// Whether a fault uses the gateways' operator address.
    pub fn needs_operator_address(&self) -> bool {
        let cordons =
            |fault: &Fault| fault.boxes.as_ref().is_some_and(|boxes| boxes.how == ServerFaultKind::Cordon);
        self.faults.iter().any(|fault| cordons(fault) || upgrades(fault))
    }

    /// Whether the lab owns this gateway's listening socket and passes it from one process to the next.
    pub fn passes_socket(&self, gateway: u32) -> bool {
        let concerns_gateway =
            |fault: &Fault| fault.gateway.as_ref().is_some_and(|own| own.which.contains(&gateway));
        self.faults.iter().any(|fault| upgrades(fault) && concerns_gateway(fault))
    }

    /// Gateways that run from the start.
    pub fn initial_gateways(&self) -> Vec<u32> {
        (0..self.fleet.gateways).filter(|gateway| !self.fleet.absent.contains(gateway)).collect()
    }

    /// Whether the counter has no faults and every gateway always reaches it.
    pub fn counter_knows(&self) -> bool {
        let spares_counter = |fault: &Fault| {
            fault.counter.is_none()
                && fault.link.as_ref().is_none_or(|link| link.to != LinkEnd::Counter)
                && fault.fleet.as_ref().is_none_or(|fleet| fleet.counter.is_none())
        };
        self.counter.is_some() && self.faults.iter().all(spares_counter)
    }
}

fn upgrades(fault: &Fault) -> bool {
    fault.gateway.as_ref().is_some_and(|gateway| gateway.how == GatewayFaultKind::Upgrade)
}
