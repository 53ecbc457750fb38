//! What one gateway remembers: records without any decision. `policy.rs` fills and reads them.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::{Id, Micros, Request};

#[derive(Default)]
pub struct Server {
    /// Where it stands in the row of all servers, see [`phase`].
    pub ring_position: u64,
    pub zone: u32,
    pub cell: u32,
    /// Takes new trips, and is among those that this gateway uses.
    pub ready: bool,
    pub assigned: bool,
    /// The operators' word: left out of use, or when it was called back, cold.
    pub cordoned: bool,
    pub uncordoned_at: Option<Micros>,
    /// Other gateways' word.
    pub ejected_by_peers: bool,
    /// Remembered until then, whatever the list says.
    pub retained_until: Micros,
    pub listed_weight: f64,
    /// What it is to get from here beside the others: its rating, or what it was dealt.
    pub weight: f64,
    pub started_at: Option<Micros>,
    pub in_flight: u32,
    pub concurrency_limit: f64,
    /// Answer times: beside what the lane takes on an idle fleet, and beside what it takes on this one now.
    pub latency_ratio: f64,
    pub relative_latency: f64,
    /// Share of trips that never came back, and the end of the rest after the last one.
    pub failure_share: f64,
    pub ejected_until: Micros,
    pub credit: f64,
    /// Trips that it may be sent while cold, at a time.
    pub slow_start_budget: f64,
    pub slow_start_budget_at: Micros,
}

impl Server {
    /// One that nothing is known of, whether new or started anew; what is still out there stays so.
    pub fn restarted(&self, started_at: Option<Micros>, slow_start_budget: f64, now: Micros) -> Self {
        let Server {
            ring_position,
            in_flight,
            cordoned,
            uncordoned_at,
            ejected_by_peers,
            retained_until,
            ..
        } = *self;
        let fresh = Server {
            latency_ratio: 1.0,
            relative_latency: 1.0,
            slow_start_budget,
            slow_start_budget_at: now,
            ..Server::default()
        };
        Server {
            ring_position,
            in_flight,
            cordoned,
            uncordoned_at,
            ejected_by_peers,
            retained_until,
            started_at,
            ..fresh
        }
    }
}

/// All servers that are known. Lists name thousands of them and a gateway uses some tens: what is done for each request
/// goes by [`Servers::dealt`] and by id, and only a new list is an occasion to look at all.
#[derive(Default)]
pub struct EndpointTable {
    /// Each has its slot as long as it is known.
    slots: Vec<(Id, Server)>,
    free: Vec<usize>,
    by_id: BTreeMap<Id, usize>,
    /// Slots of the servers that are dealt to this gateway, in the order of their ids.
    dealt: Vec<usize>,
    /// Sum of [`Server::lost`] of all.
    lost: f64,
}

impl EndpointTable {
    pub fn get(&self, id: &Id) -> Option<&Server> {
        self.by_id.get(id).map(|slot| &self.slots[*slot].1)
    }

    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Server> {
        self.by_id.get(id).map(|slot| &mut self.slots[*slot].1)
    }

    /// The server of this id; one that was not known is so from now on, with nothing learnt of it.
    pub fn entry(&mut self, id: &Id) -> &mut Server {
        let slot = match self.by_id.get(id) {
            Some(slot) => *slot,
            None => self.insert(id),
        };
        &mut self.slots[slot].1
    }

    fn insert(&mut self, id: &Id) -> usize {
        let server = Server { ring_position: hash_position(id, Micros::MAX), ..Server::default() };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot] = (id.clone(), server);
                slot
            }
            None => {
                self.slots.push((id.clone(), server));
                self.slots.len() - 1
            }
        };
        self.by_id.insert(id.clone(), slot);
        slot
    }

    /// Forgets what was learnt of a server that is new, or was started anew.
    pub fn reset(&mut self, id: &Id, started_at: Option<Micros>, slow_start_budget: f64, now: Micros) {
        let server = self.entry(id);
        let lost = server.failure_share;
        *server = server.restarted(started_at, slow_start_budget, now);
        self.lost -= lost;
    }

    /// Forgets the servers that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&Server) -> bool) {
        let EndpointTable { slots, free, by_id, lost, .. } = self;
        by_id.retain(|_, slot| {
            let server = &mut slots[*slot].1;
            if keep(server) {
                return true;
            }
            *lost -= server.failure_share;
            *server = Server::default();
            free.push(*slot);
            false
        });
    }

    /// All of them, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Server)> {
        self.by_id.values().map(|slot| self.at(*slot))
    }

    /// All of them, in no order, and free slots with servers that are never ready.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.slots.iter_mut().map(|(_, server)| server)
    }

    /// Those dealt to this gateway, in the order of their ids.
    pub fn assigned(&self) -> impl Iterator<Item = (&Id, &Server)> {
        self.dealt.iter().map(|slot| self.at(*slot))
    }

    fn at(&self, slot: usize) -> (&Id, &Server) {
        let (id, server) = &self.slots[slot];
        (id, server)
    }

    /// Deals servers anew: `choose` is given all that fit, in the order of their places in the row, and sets
    /// [`Server::mine`].
    pub fn assign(&mut self, fits: impl Fn(&Server) -> bool, choose: impl FnOnce(&mut [(&Id, &mut Server)])) {
        let EndpointTable { slots, by_id, dealt, .. } = self;
        let mut row: Vec<(&Id, &mut Server)> = Vec::with_capacity(by_id.len());
        for (id, server) in slots.iter_mut() {
            server.assigned = false;
            if fits(server) {
                row.push((id, server));
            }
        }
        row.sort_unstable_by(|(one, first), (other, second)| {
            first.ring_position.cmp(&second.ring_position).then_with(|| one.cmp(other))
        });
        choose(&mut row);
        dealt.clear();
        dealt.extend(by_id.values().filter(|slot| slots[**slot].1.assigned));
    }

    /// The mean share of trips that servers lose.
    pub fn mean_failure_share(&self) -> f64 {
        self.lost / self.by_id.len().max(1) as f64
    }

    /// Sets the share of its trips that a server loses.
    pub fn set_failure_share(&mut self, id: &Id, share: f64) {
        if let Some(server) = self.get_mut(id) {
            let change = share - server.failure_share;
            server.failure_share = share;
            self.lost += change;
        }
    }
}

#[derive(Default)]
pub struct TenantState {
    pub plan: usize,
    /// How many gateways share this customer.
    pub gateway_spread: f64,
    pub tokens: f64,
    pub refilled_at: Micros,
    pub fraction: f64,
    /// What the quota gains in a period of the last fraction.
    pub period_refill: f64,
    pub admission_credit: f64,
    /// Of the units decided on here those that left, both halved with each call: others let as many pass.
    pub recent_forwarded: f64,
    pub recent_offered: f64,
    /// Units offered here that no call has told of, and the call under way: all its units, and the new ones.
    pub pending_units: f64,
    /// What earlier calls surely did not add, as far as it still counts.
    pub undelivered_units: f64,
    pub update: Option<(f64, f64)>,
    /// Whether what is known here, or else the even share, is too little to decide by.
    pub in_doubt: bool,
    /// Transactions that wait for the answer.
    pub waiting_requests: Vec<Id>,
    /// How many of them the call under way tells of, and the units that may pass by its answer.
    pub covered_by_update: usize,
    pub window_allowance: f64,
    pub updated_at: Micros,
    pub window: u64,
    pub last_total: f64,
    /// Units offered to all in a microsecond.
    pub demand: f64,
    pub last_total_at: Option<Micros>,
    pub fraction_at: Micros,
    /// Transactions under way here, what the shared count holds of them; what others had out, and when.
    pub in_flight: u32,
    pub in_flight_reported: f64,
    pub in_flight_update: Option<f64>,
    pub in_flight_window: u64,
    pub others_in_flight: f64,
    pub others_in_flight_mean: f64,
    pub others_replies: f64,
    pub others_replied_at: Option<Micros>,
    /// What is left of this gateway's part of the ceiling, and units taken from it that still wait here.
    pub ceiling_tokens: f64,
    pub reserved_units: f64,
}

#[derive(Clone)]
pub struct Attempt {
    pub server: Id,
    pub sent_at: Micros,
    pub running: bool,
    pub may_have_run: bool,
}

pub struct InFlight {
    pub request: Request,
    /// Inside its quota; unknown while the counter is asked.
    pub within_quota: Option<bool>,
    pub rank: (i64, Micros, Id),
    pub deadline: Micros,
    pub expires_at: Micros,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
}

/// What is known of the servers in use together.
#[derive(Default)]
pub struct FleetState {
    /// Gateways that use a server, and the least cap of one.
    pub gateways_per_server: f64,
    pub min_limit: f64,
    /// Answer times beside an idle fleet's, and when a place is free again.
    pub latency_ratio: f64,
    pub next_slot_at: Micros,
    /// Trips a second that a warm server gets from here, those sent since the last look at it, and when that was.
    pub warm_server_rate: f64,
    pub warm_sent: u32,
    pub measured_at: Micros,
    /// When the next alarm comes.
    pub next_wakeup: Micros,
    /// Further trips that may be made.
    pub retry_tokens: f64,
}

impl FleetState {
    pub fn new(born: Micros, next_wakeup: Micros, retry_tokens: f64) -> Self {
        let free = FleetState {
            gateways_per_server: 1.0,
            min_limit: 1.0,
            latency_ratio: 1.0,
            next_slot_at: born,
            ..FleetState::default()
        };
        FleetState { measured_at: born, next_wakeup, retry_tokens, ..free }
    }
}

/// How often the counter may be asked.
pub struct CounterPacer {
    /// Calls a second that it stands, those saved up, and as of when.
    pub rate: f64,
    pub saved: f64,
    pub saved_at: Micros,
    /// When the rate was last cut, when the last good answer came, and how long the quickest took.
    pub cut_at: Micros,
    pub good_at: Micros,
    pub heard_at: Micros,
    pub quickest: Micros,
    /// Share of decisions with word on customers of whom a gateway sees little.
    pub informed_share: f64,
}

impl CounterPacer {
    pub fn new(rate: f64, saved: f64, born: Micros) -> Self {
        let (heard_at, quickest) = (0, Micros::MAX);
        CounterPacer {
            rate,
            saved,
            saved_at: born,
            cut_at: born,
            good_at: born,
            heard_at,
            quickest,
            informed_share: 0.5,
        }
    }
}

/// Factor that mixes the bytes of an id: the prime of the hash FNV-1a.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// A place below `span` for an id, spread evenly, that every gateway works out alike: when a customer's names change,
/// or where a server stands in the row.
pub fn hash_position(id: &Id, span: Micros) -> Micros {
    let mixed = id.bytes().fold(FNV_PRIME, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    ChaCha8Rng::seed_from_u64(mixed).gen_range(0..span)
}
