//! Model of the clients: tenants on plans, which requests they send and when, through which gateways, and whether they retry.
//!
//! Arrivals are open-loop: they do not wait for answers. Each seed gives one fixed sequence of requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{Micros, SECOND};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestClass {
    pub name: String,
    #[serde(rename = "kind")]
    pub idempotency: Idempotency,
    /// Retention and scope of idempotency keys, for a keyed class.
    #[serde(rename = "memory")]
    pub retention: Micros,
    #[serde(rename = "group")]
    pub scope: KeyScope,
    #[serde(rename = "agreed")]
    pub latency_objective: Micros,
    #[serde(rename = "hard_stop")]
    pub deadline: Micros,
    #[serde(rename = "importance")]
    pub priority_weight: f64,
    /// Mean work of a request of one unit. The work is a quarter of the mean plus an exponential time.
    pub work: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    #[serde(rename = "Redoable")]
    Idempotent,
    #[serde(rename = "Labelled")]
    Keyed,
    #[serde(rename = "Irreversible")]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    pub name: String,
    pub rate: f64,
    pub burst: f64,
    pub price: f64,
    pub ceiling: Option<(f64, f64)>,
}

/// Tenants of one kind.
#[derive(Clone, Debug)]
pub struct TenantGroup {
    pub name: String,
    pub plan: usize,
    pub count: u32,
    /// Units offered a second by each, as a multiple of the plan's rate.
    pub load: f64,
    /// Number of gateways that each tenant uses, and the share of its traffic that goes to the first of them; an even share if
    /// absent.
    pub spread: u32,
    pub first_share: Option<f64>,
    /// Request classes with their weights.
    pub classes: Vec<(usize, f64)>,
    /// Minimum and maximum units of a request.
    pub units: (u32, u32),
    /// Each tenant sends a single request, so that every request has its own tenant.
    pub single_use: bool,
    /// Share of rejections and failures that clients retry, and the maximum number of retries.
    pub retry_share: f64,
    pub max_retries: u32,
    /// Share of the requests whose client disconnects within the latency objective if no answer has come by then.
    pub leave_share: f64,
}

/// A request that a client sends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClientRequest {
    pub at: Micros,
    pub id: u64,
    pub group: usize,
    #[serde(rename = "customer")]
    pub tenant: u64,
    pub plan: usize,
    #[serde(rename = "lane")]
    pub class: usize,
    pub units: u32,
    #[serde(rename = "first")]
    pub first_gateway: u32,
    #[serde(rename = "spread")]
    pub gateway_spread: u32,
    /// The gateway to which the client sends the request.
    pub gateway: u32,
    pub key: Option<u64>,
    pub work: Micros,
    /// Number of the client's attempt, from 0, and the id of its original request.
    #[serde(rename = "try_")]
    pub attempt: u32,
    pub origin: u64,
}

pub struct ClientModel {
    classes: Vec<RequestClass>,
    plans: Vec<Plan>,
    groups: Vec<GroupState>,
    gateways: u32,
    rng: ChaCha8Rng,
    next_id: u64,
    next_single_use_tenant: u64,
    /// Due times and ids of the clients' retries.
    retries: BinaryHeap<Reverse<(Micros, u64)>>,
    due_retries: std::collections::BTreeMap<u64, ClientRequest>,
}

struct GroupState {
    tenants: TenantGroup,
    /// Number of the group's first tenant.
    first_tenant: u64,
    /// Multiple of the usual load, and by how many gateways the group's traffic has shifted.
    load_factor: f64,
    gateway_offset: u32,
    next: Micros,
}

impl ClientModel {
    pub fn new(
        classes: Vec<RequestClass>,
        plans: Vec<Plan>,
        groups: Vec<TenantGroup>,
        gateways: u32,
        seed: u64,
    ) -> Self {
        let mut first_tenant = 1;
        let states = groups.into_iter().map(|tenants| {
            let state = GroupState { first_tenant, load_factor: 1.0, gateway_offset: 0, next: 0, tenants };
            first_tenant += if state.tenants.single_use { 0 } else { u64::from(state.tenants.count) };
            state
        });
        let groups = states.collect();
        let mut model = ClientModel {
            classes,
            plans,
            groups,
            gateways,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_id: 1,
            // Far from the other tenants' numbers, and below 2^33.
            next_single_use_tenant: 1 << 32,
            retries: BinaryHeap::new(),
            due_retries: Default::default(),
        };
        for at in 0..model.groups.len() {
            model.groups[at].next = model.next_interval(at);
        }
        model
    }

    /// Delays all future requests so that the load begins at this time.
    pub fn begin(&mut self, at: Micros) {
        self.groups.iter_mut().for_each(|group| group.next = group.next.saturating_add(at));
    }

    pub fn groups(&self) -> impl Iterator<Item = &TenantGroup> {
        self.groups.iter().map(|group| &group.tenants)
    }

    /// Requests a second of a group.
    fn rate(&self, group: usize) -> f64 {
        let GroupState { tenants, load_factor, .. } = &self.groups[group];
        let mean = f64::from(tenants.units.0 + tenants.units.1) / 2.0;
        f64::from(tenants.count) * tenants.load * self.plans[tenants.plan].rate * load_factor / mean
    }

    fn next_interval(&mut self, group: usize) -> Micros {
        let rate = self.rate(group);
        let exponential = -(1.0 - self.rng.gen::<f64>()).ln();
        if rate > 0.0 {
            (exponential / rate * SECOND as f64).min(1e15) as Micros
        } else {
            Micros::MAX / 4
        }
    }

    /// Multiplies the usual load of a group from now on.
    pub fn surge(&mut self, now: Micros, name: &str, factor: f64) {
        for at in self.matching_groups(name) {
            self.groups[at].load_factor = factor;
            self.groups[at].next = now + self.next_interval(at);
        }
    }

    /// Shifts a group's traffic by a number of gateways from now on.
    pub fn shift(&mut self, name: &str, by: u32) {
        for at in self.matching_groups(name) {
            self.groups[at].gateway_offset += by;
        }
    }

    fn matching_groups(&self, name: &str) -> Vec<usize> {
        let is = |at: &usize| name == "all" || self.groups[*at].tenants.name == name;
        (0..self.groups.len()).filter(is).collect()
    }

    /// When the next request is due.
    pub fn next_at(&self) -> Micros {
        let new = self.groups.iter().map(|group| group.next).min().unwrap_or(Micros::MAX);
        let retries = self.retries.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        new.min(retries)
    }

    /// How long the client of a request waits before it disconnects, if it does.
    pub fn leaves_after(&self, request: &ClientRequest) -> Option<Micros> {
        let share = self.groups[request.group].tenants.leave_share;
        let mut rng = ChaCha8Rng::seed_from_u64(request.id);
        let leaves = share > 0.0 && rng.gen_bool(share);
        // Most clients disconnect early, while their requests wait in the queue or for a new connection.
        leaves.then(|| {
            (self.classes[request.class].latency_objective as f64 * rng.gen::<f64>().powi(4)) as Micros
        })
    }

    /// The next request.
    pub fn next_request(&mut self) -> Option<ClientRequest> {
        let at = self.next_at();
        if self.retries.peek().is_some_and(|Reverse((due, _))| *due == at) {
            let Reverse((_, id)) = self.retries.pop()?;
            return self.due_retries.remove(&id);
        }
        let group = (0..self.groups.len()).min_by_key(|group| (self.groups[*group].next, *group))?;
        self.groups[group].next = at.saturating_add(self.next_interval(group));
        let GroupState { tenants, first_tenant, gateway_offset, .. } = &self.groups[group];
        let tenants = tenants.clone();
        let (first_tenant, gateway_offset) = (*first_tenant, *gateway_offset);
        let tenant = if tenants.single_use {
            self.next_single_use_tenant += 1;
            self.next_single_use_tenant
        } else {
            first_tenant + self.rng.gen_range(0..u64::from(tenants.count))
        };
        let spread = tenants.spread.clamp(1, self.gateways);
        // The tenant's number determines its first gateway.
        let first = ((tenant.wrapping_mul(0x9e37_79b9) >> 16) as u32 % self.gateways + gateway_offset)
            % self.gateways;
        let step = match tenants.first_share {
            Some(share) if spread > 1 && !self.rng.gen_bool(share) => self.rng.gen_range(1..spread),
            Some(_) => 0,
            None => self.rng.gen_range(0..spread),
        };
        let class = self.class(&tenants.classes);
        let units = self.rng.gen_range(tenants.units.0..=tenants.units.1);
        let mean = self.classes[class].work as f64 * f64::from(units);
        let exponential = 0.25 + 0.75 * -(1.0 - self.rng.gen::<f64>()).ln();
        let is_keyed = self.classes[class].idempotency == Idempotency::Keyed;
        let id = self.next_id;
        self.next_id += 1;
        Some(ClientRequest {
            at,
            id,
            group,
            tenant,
            plan: tenants.plan,
            class,
            units,
            first_gateway: first,
            gateway_spread: spread,
            gateway: (first + step) % self.gateways,
            key: is_keyed.then(|| self.rng.gen()),
            work: (mean * exponential) as Micros,
            attempt: 0,
            origin: id,
        })
    }

    fn class(&mut self, weights: &[(usize, f64)]) -> usize {
        let all: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.gen::<f64>() * all;
        for (class, weight) in weights {
            remaining -= weight;
            if remaining < 0.0 {
                return *class;
            }
        }
        weights.last().map_or(0, |(class, _)| *class)
    }

    /// A request ended without being served. Its client may retry, with a new id and the same key. `retry_is_harmless`: the
    /// gateway rejected the request, so that a retry is harmless.
    pub fn request_unserved(
        &mut self,
        now: Micros,
        request: &ClientRequest,
        retry_is_harmless: bool,
        wait: Micros,
    ) {
        let tenants = &self.groups[request.group].tenants;
        let may_retry =
            retry_is_harmless || self.classes[request.class].idempotency != Idempotency::NonIdempotent;
        let (retry_share, max_retries) = (tenants.retry_share, tenants.max_retries);
        if !may_retry || request.attempt >= max_retries || !self.rng.gen_bool(retry_share) {
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        // Clients that got the same Retry-After must not all retry at the same moment.
        let at = now + wait + self.rng.gen_range(0..=wait / 4 + SECOND / 100);
        self.retries.push(Reverse((at, id)));
        self.due_retries
            .insert(id, ClientRequest { at, id, attempt: request.attempt + 1, ..request.clone() });
    }

    pub fn classes(&self) -> &[RequestClass] {
        &self.classes
    }

    pub fn plans(&self) -> &[Plan] {
        &self.plans
    }
}
