//! What the models are made from.

use super::{BoxIll, Customers, Fault, FleetFault, Lane, LinkEnd, Plan, Repeat, Scenario, Stop, Who};
use crate::model::clients::{self, Idempotency, KeyScope};
use crate::model::counter::Spec as CounterSpec;
use crate::model::server::{SlowStart, Spec as BoxSpec};

impl Scenario {
    pub fn cold(&self) -> SlowStart {
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
            cold: self.cold(),
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

    pub fn front_lanes(&self) -> Vec<clients::RequestClass> {
        let lane = |lane: &Lane| clients::RequestClass {
            name: lane.name.clone(),
            idempotency: match lane.repeat {
                Repeat::Redoable => Idempotency::Idempotent,
                Repeat::Labelled => Idempotency::Keyed,
                Repeat::Irreversible => Idempotency::NonIdempotent,
            },
            retention: lane.memory.0,
            scope: match lane.group {
                Who::All => KeyScope::All,
                Who::Zone => KeyScope::Zone,
                Who::Cell => KeyScope::Cell,
            },
            latency_objective: lane.agreed.0,
            deadline: lane.hard_stop.0,
            priority_weight: lane.importance,
            work: lane.work.0,
        };
        self.lanes.iter().map(lane).collect()
    }

    pub fn front_plans(&self) -> Vec<clients::Plan> {
        let plan = |plan: &Plan| clients::Plan {
            name: plan.name.clone(),
            rate: plan.rate,
            burst: plan.burst,
            price: plan.price,
            ceiling: plan.ceiling.as_ref().map(|ceiling| (ceiling.rate, ceiling.burst)),
        };
        self.plans.iter().map(plan).collect()
    }

    pub fn front_customers(&self) -> Vec<clients::TenantGroup> {
        let lane = |name: &str| self.lanes.iter().position(|lane| lane.name == name).unwrap_or(0);
        let group = |customers: &Customers| clients::TenantGroup {
            name: customers.name.clone(),
            plan: self.plans.iter().position(|plan| plan.name == customers.plan).unwrap_or(0),
            count: customers.count,
            load: customers.load,
            spread: customers.spread,
            first_share: customers.first_share,
            lanes: if customers.lanes.is_empty() {
                (0..self.lanes.len()).map(|lane| (lane, 1.0)).collect()
            } else {
                customers.lanes.iter().map(|(name, weight)| (lane(name), *weight)).collect()
            },
            units: customers.units,
            once: customers.once,
            again: customers.again,
            most_again: customers.most_again,
            leaves: customers.leaves,
        };
        self.customers.iter().map(group).collect()
    }

    pub fn largest(&self) -> f64 {
        f64::from(self.customers.iter().map(|customers| customers.units.1).max().unwrap_or(1))
    }

    /// Whether anything is broken on this kind of link, so that it goes by a relay.
    pub fn relayed(&self, gateway: u32, to: LinkEnd) -> bool {
        let mut links = self.faults.iter().filter_map(|fault| fault.link.as_ref());
        let parted = |fault: &FleetFault| fault.out_of_reach(gateway, to);
        links.any(|link| link.to == to && link.which.contains(&gateway))
            || self.faults.iter().filter_map(|fault| fault.fleet.as_ref()).any(parted)
    }

    /// Whether the gateways need a file of their own beside the platform's: it says what the platform's has no words for.
    pub fn own_file(&self) -> bool {
        self.fleet.mesh
            || self.fleet.debug_log
            || self.fleet.subsets.is_some()
            || !self.fleet.paces.is_empty()
            || self.faults.iter().any(|fault| fault.when.is_some() || fault.clock.is_some())
    }

    /// Whether anybody calls the gateways as their operators do.
    pub fn operated(&self) -> bool {
        let cordons = |fault: &Fault| fault.boxes.as_ref().is_some_and(|boxes| boxes.how == BoxIll::Cordon);
        self.faults.iter().any(|fault| cordons(fault) || upgrades(fault))
    }

    /// Whether this gateway's listening socket is the lab's, and passed on from one process to the next.
    pub fn passed(&self, gateway: u32) -> bool {
        let of = |fault: &Fault| fault.gateway.as_ref().is_some_and(|own| own.which.contains(&gateway));
        self.faults.iter().any(|fault| upgrades(fault) && of(fault))
    }

    /// Gateways that are there from the start.
    pub fn first(&self) -> Vec<u32> {
        (0..self.fleet.gateways).filter(|gateway| !self.fleet.absent.contains(gateway)).collect()
    }

    /// The counter is never broken, nor out of any gateway's reach.
    pub fn counter_knows(&self) -> bool {
        let kept = |fault: &Fault| {
            fault.counter.is_none()
                && fault.link.as_ref().is_none_or(|link| link.to != LinkEnd::Counter)
                && fault.fleet.as_ref().is_none_or(|fleet| fleet.counter.is_none())
        };
        self.counter.is_some() && self.faults.iter().all(kept)
    }
}

fn upgrades(fault: &Fault) -> bool {
    fault.gateway.as_ref().is_some_and(|gateway| gateway.how == Stop::Upgrade)
}
