//! The clients: customers on plans, what they ask and when, by which gateways, and whether they try again.
//!
//! Arrivals are open-loop: they come when they come, however slowly answers do. One seed gives one sequence.

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
    /// How long a key is remembered, and by whom, in a labelled lane.
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
    /// Work of a transaction of one unit: the mean of an exponential time, with a floor of a quarter of it.
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

/// Customers of one kind.
#[derive(Clone, Debug)]
pub struct TenantGroup {
    pub name: String,
    pub plan: usize,
    pub count: u32,
    /// Units offered a second by each, as a multiple of the plan's rate.
    pub load: f64,
    /// Gateways that each comes through, and the part of its traffic that comes through the first of them; none: even.
    pub spread: u32,
    pub first_share: Option<f64>,
    /// Lanes by weight.
    pub lanes: Vec<(usize, f64)>,
    /// Least and most units of a transaction.
    pub units: (u32, u32),
    /// Each comes once and never again, so that every transaction has a customer of its own.
    pub once: bool,
    /// Share of nacks and failures that are tried again, and how often at the most.
    pub again: f64,
    pub most_again: u32,
    /// Share of the transactions whose client closes its connection within the agreed time, if nothing has come by then.
    pub leaves: f64,
}

/// One transaction that a client asks for.
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
    /// The gateway that it is dealt to.
    pub gateway: u32,
    pub key: Option<u64>,
    pub work: Micros,
    /// Which try it is, from 0, and the first one's id.
    #[serde(rename = "try_")]
    pub attempt: u32,
    pub origin: u64,
}

pub struct ClientModel {
    classes: Vec<RequestClass>,
    plans: Vec<Plan>,
    groups: Vec<State>,
    gateways: u32,
    chance: ChaCha8Rng,
    next_id: u64,
    next_once: u64,
    /// Tries again that are due, by time and id.
    again: BinaryHeap<Reverse<(Micros, u64)>>,
    asked_again: std::collections::BTreeMap<u64, ClientRequest>,
}

struct State {
    customers: TenantGroup,
    /// Number of the first of them.
    from: u64,
    /// Times the usual load, and how far their gateways have moved.
    surge: f64,
    moved: u32,
    next: Micros,
}

impl ClientModel {
    pub fn new(
        lanes: Vec<RequestClass>,
        plans: Vec<Plan>,
        groups: Vec<TenantGroup>,
        gateways: u32,
        seed: u64,
    ) -> Self {
        let mut from = 1;
        let states = groups.into_iter().map(|customers| {
            let state = State { from, surge: 1.0, moved: 0, next: 0, customers };
            from += if state.customers.once { 0 } else { u64::from(state.customers.count) };
            state
        });
        let groups = states.collect();
        let mut front = ClientModel {
            classes: lanes,
            plans,
            groups,
            gateways,
            chance: ChaCha8Rng::seed_from_u64(seed),
            next_id: 1,
            // Far from the others, below 2^33.
            next_once: 1 << 32,
            again: BinaryHeap::new(),
            asked_again: Default::default(),
        };
        for at in 0..front.groups.len() {
            front.groups[at].next = front.gap(at);
        }
        front
    }

    /// Everything that is to come begins at this time.
    pub fn begin(&mut self, at: Micros) {
        self.groups.iter_mut().for_each(|group| group.next = group.next.saturating_add(at));
    }

    pub fn groups(&self) -> impl Iterator<Item = &TenantGroup> {
        self.groups.iter().map(|group| &group.customers)
    }

    /// Transactions a second that a group asks.
    fn rate(&self, group: usize) -> f64 {
        let State { customers, surge, .. } = &self.groups[group];
        let mean = f64::from(customers.units.0 + customers.units.1) / 2.0;
        f64::from(customers.count) * customers.load * self.plans[customers.plan].rate * surge / mean
    }

    fn gap(&mut self, group: usize) -> Micros {
        let rate = self.rate(group);
        let drawn = -(1.0 - self.chance.gen::<f64>()).ln();
        if rate > 0.0 {
            (drawn / rate * SECOND as f64).min(1e15) as Micros
        } else {
            Micros::MAX / 4
        }
    }

    /// From now on a group asks so many times as much as usual.
    pub fn surge(&mut self, now: Micros, name: &str, factor: f64) {
        for at in self.named(name) {
            self.groups[at].surge = factor;
            self.groups[at].next = now + self.gap(at);
        }
    }

    /// From now on a group comes through other gateways, so many further on.
    pub fn shift(&mut self, name: &str, by: u32) {
        for at in self.named(name) {
            self.groups[at].moved += by;
        }
    }

    fn named(&self, name: &str) -> Vec<usize> {
        let is = |at: &usize| name == "all" || self.groups[*at].customers.name == name;
        (0..self.groups.len()).filter(is).collect()
    }

    /// When the next one asks.
    pub fn next_at(&self) -> Micros {
        let new = self.groups.iter().map(|group| group.next).min().unwrap_or(Micros::MAX);
        let again = self.again.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        new.min(again)
    }

    /// How long the client of a transaction waits before it leaves for good, if it does.
    pub fn leaves_after(&self, ask: &ClientRequest) -> Option<Micros> {
        let share = self.groups[ask.group].customers.leaves;
        let mut chance = ChaCha8Rng::seed_from_u64(ask.id);
        let leaves = share > 0.0 && chance.gen_bool(share);
        // Most go early, while their transactions wait or dial.
        leaves.then(|| {
            (self.classes[ask.class].latency_objective as f64 * chance.gen::<f64>().powi(4)) as Micros
        })
    }

    /// The next that asks.
    pub fn next_request(&mut self) -> Option<ClientRequest> {
        let at = self.next_at();
        if self.again.peek().is_some_and(|Reverse((due, _))| *due == at) {
            let Reverse((_, id)) = self.again.pop()?;
            return self.asked_again.remove(&id);
        }
        let group = (0..self.groups.len()).min_by_key(|group| (self.groups[*group].next, *group))?;
        self.groups[group].next = at.saturating_add(self.gap(group));
        let State { customers, from, moved, .. } = &self.groups[group];
        let customers = customers.clone();
        let (from, moved) = (*from, *moved);
        let customer = if customers.once {
            self.next_once += 1;
            self.next_once
        } else {
            from + self.chance.gen_range(0..u64::from(customers.count))
        };
        let spread = customers.spread.clamp(1, self.gateways);
        // Customers stand on the ring of gateways where their numbers put them.
        let first =
            ((customer.wrapping_mul(0x9e37_79b9) >> 16) as u32 % self.gateways + moved) % self.gateways;
        let step = match customers.first_share {
            Some(share) if spread > 1 && !self.chance.gen_bool(share) => self.chance.gen_range(1..spread),
            Some(_) => 0,
            None => self.chance.gen_range(0..spread),
        };
        let lane = self.lane(&customers.lanes);
        let units = self.chance.gen_range(customers.units.0..=customers.units.1);
        let mean = self.classes[lane].work as f64 * f64::from(units);
        let drawn = 0.25 + 0.75 * -(1.0 - self.chance.gen::<f64>()).ln();
        let labelled = self.classes[lane].idempotency == Idempotency::Keyed;
        let id = self.next_id;
        self.next_id += 1;
        Some(ClientRequest {
            at,
            id,
            group,
            tenant: customer,
            plan: customers.plan,
            class: lane,
            units,
            first_gateway: first,
            gateway_spread: spread,
            gateway: (first + step) % self.gateways,
            key: labelled.then(|| self.chance.gen()),
            work: (mean * drawn) as Micros,
            attempt: 0,
            origin: id,
        })
    }

    fn lane(&mut self, weights: &[(usize, f64)]) -> usize {
        let all: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.chance.gen::<f64>() * all;
        for (lane, weight) in weights {
            drawn -= weight;
            if drawn < 0.0 {
                return *lane;
            }
        }
        weights.last().map_or(0, |(lane, _)| *lane)
    }

    /// An ask ended without being served: perhaps its client tries again, under a new id and the old key, while its
    /// first try's hard stop has not come. `harmless`: it was told so.
    pub fn unserved(&mut self, now: Micros, ask: &ClientRequest, harmless: bool, wait: Micros) {
        let customers = &self.groups[ask.group].customers;
        let may = harmless || self.classes[ask.class].idempotency != Idempotency::NonIdempotent;
        let (again, most) = (customers.again, customers.most_again);
        if !may || ask.attempt >= most || !self.chance.gen_bool(again) {
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        // Clients that were told the same time do not all come back in the same instant.
        let at = now + wait + self.chance.gen_range(0..=wait / 4 + SECOND / 100);
        self.again.push(Reverse((at, id)));
        self.asked_again.insert(id, ClientRequest { at, id, attempt: ask.attempt + 1, ..ask.clone() });
    }

    pub fn classes(&self) -> &[RequestClass] {
        &self.classes
    }

    pub fn plans(&self) -> &[Plan] {
        &self.plans
    }
}
