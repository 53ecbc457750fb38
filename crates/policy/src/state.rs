//! What one gateway remembers: records without any decision. `policy.rs` fills and reads them.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::{Id, Micros, Request};

#[derive(Default)]
pub struct Server {
    /// Where it stands in the row of all servers, see [`phase`].
    pub place: u64,
    pub zone: u32,
    pub cell: u32,
    /// Takes new trips, and is among those that this gateway uses.
    pub ready: bool,
    pub mine: bool,
    /// The operators' word: left out of use, or when it was called back, cold.
    pub cordoned: bool,
    pub recalled: Option<Micros>,
    /// Other gateways' word.
    pub barred: bool,
    /// Remembered until then, whatever the list says.
    pub kept: Micros,
    pub rating: f64,
    /// What it is to get from here beside the others: its rating, or what it was dealt.
    pub part: f64,
    pub started: Option<Micros>,
    pub out: u32,
    pub cap: f64,
    /// Answer times: beside what the lane takes on an idle fleet, and beside what it takes on this one now.
    pub pace: f64,
    pub relative: f64,
    /// Share of trips that never came back, and the end of the rest after the last one.
    pub lost: f64,
    pub rests: Micros,
    pub credit: f64,
    /// Trips that it may be sent while cold, at a time.
    pub cold: f64,
    pub cold_at: Micros,
}

impl Server {
    /// One that nothing is known of, whether new or started anew; what is still out there stays so.
    pub fn anew(&self, started: Option<Micros>, cold: f64, now: Micros) -> Self {
        let Server { place, out, cordoned, recalled, barred, kept, .. } = *self;
        let fresh = Server { pace: 1.0, relative: 1.0, cold, cold_at: now, ..Server::default() };
        Server { place, out, cordoned, recalled, barred, kept, started, ..fresh }
    }
}

/// All servers that are known. Lists name thousands of them and a gateway uses some tens: what is done for each request
/// goes by [`Servers::dealt`] and by id, and only a new list is an occasion to look at all.
#[derive(Default)]
pub struct Servers {
    /// Each has its slot as long as it is known.
    slots: Vec<(Id, Server)>,
    free: Vec<usize>,
    by_id: BTreeMap<Id, usize>,
    /// Slots of the servers that are dealt to this gateway, in the order of their ids.
    dealt: Vec<usize>,
    /// Sum of [`Server::lost`] of all.
    lost: f64,
}

impl Servers {
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
        let server = Server { place: phase(id, Micros::MAX), ..Server::default() };
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
    pub fn renew(&mut self, id: &Id, started: Option<Micros>, cold: f64, now: Micros) {
        let server = self.entry(id);
        let lost = server.lost;
        *server = server.anew(started, cold, now);
        self.lost -= lost;
    }

    /// Forgets the servers that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&Server) -> bool) {
        let Servers { slots, free, by_id, lost, .. } = self;
        by_id.retain(|_, slot| {
            let server = &mut slots[*slot].1;
            if keep(server) {
                return true;
            }
            *lost -= server.lost;
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
    pub fn dealt(&self) -> impl Iterator<Item = (&Id, &Server)> {
        self.dealt.iter().map(|slot| self.at(*slot))
    }

    fn at(&self, slot: usize) -> (&Id, &Server) {
        let (id, server) = &self.slots[slot];
        (id, server)
    }

    /// Deals servers anew: `choose` is given all that fit, in the order of their places in the row, and sets
    /// [`Server::mine`].
    pub fn deal(&mut self, fits: impl Fn(&Server) -> bool, choose: impl FnOnce(&mut [(&Id, &mut Server)])) {
        let Servers { slots, by_id, dealt, .. } = self;
        let mut row: Vec<(&Id, &mut Server)> = Vec::with_capacity(by_id.len());
        for (id, server) in slots.iter_mut() {
            server.mine = false;
            if fits(server) {
                row.push((id, server));
            }
        }
        row.sort_unstable_by(|(one, first), (other, second)| {
            first.place.cmp(&second.place).then_with(|| one.cmp(other))
        });
        choose(&mut row);
        dealt.clear();
        dealt.extend(by_id.values().filter(|slot| slots[**slot].1.mine));
    }

    /// The mean share of trips that servers lose.
    pub fn mean_lost(&self) -> f64 {
        self.lost / self.by_id.len().max(1) as f64
    }

    /// Sets the share of its trips that a server loses.
    pub fn loses(&mut self, id: &Id, share: f64) {
        if let Some(server) = self.get_mut(id) {
            let change = share - server.lost;
            server.lost = share;
            self.lost += change;
        }
    }
}

#[derive(Default)]
pub struct Customer {
    pub plan: usize,
    /// How many gateways share this customer.
    pub spread: f64,
    pub store: f64,
    pub filled: Micros,
    pub fraction: f64,
    /// What the quota gains in a period of the last fraction.
    pub refill: f64,
    pub draw: f64,
    /// Of the units decided on here those that left, both halved with each call: others let as many pass.
    pub left: f64,
    pub seen: f64,
    /// Units offered here that no call has told of, and the call under way: all its units, and the new ones.
    pub offered: f64,
    /// What earlier calls surely did not add, as far as it still counts.
    pub untold: f64,
    pub adding: Option<(f64, f64)>,
    /// Whether what is known here, or else the even share, is too little to decide by.
    pub doubt: bool,
    /// Transactions that wait for the answer.
    pub asking: Vec<Id>,
    /// How many of them the call under way tells of, and the units that may pass by its answer.
    pub covered: usize,
    pub passing: f64,
    pub called: Micros,
    pub span: u64,
    pub known: f64,
    /// Units offered to all in a microsecond.
    pub demand: f64,
    pub told: Option<Micros>,
    pub judged: Micros,
    /// Transactions under way here, what the shared count holds of them; what others had out, and when.
    pub out: u32,
    pub out_added: f64,
    pub out_adding: Option<f64>,
    pub out_span: u64,
    pub out_others: f64,
    pub out_usual: f64,
    pub out_heard: f64,
    pub out_told: Option<Micros>,
    /// What is left of this gateway's part of the ceiling, and units taken from it that still wait here.
    pub ceiling: f64,
    pub held: f64,
}

#[derive(Clone)]
pub struct Trip {
    pub server: Id,
    pub sent: Micros,
    pub live: bool,
    pub may_have_run: bool,
}

pub struct Open {
    pub asked: Request,
    /// Inside its quota; unknown while the counter is asked.
    pub within: Option<bool>,
    pub rank: (i64, Micros, Id),
    pub hard_stop: Micros,
    pub due: Micros,
    pub trips: Vec<Trip>,
    pub answered: bool,
}

/// What is known of the servers in use together.
#[derive(Default)]
pub struct Work {
    /// Gateways that use a server, and the least cap of one.
    pub shared: f64,
    pub least: f64,
    /// Answer times beside an idle fleet's, and when a place is free again.
    pub pace: f64,
    pub free: Micros,
    /// Trips a second that a warm server gets from here, those sent since the last look at it, and when that was.
    pub carried: f64,
    pub sent: u32,
    pub looked: Micros,
    /// When the next alarm comes.
    pub awake: Micros,
    /// Further trips that may be made.
    pub further: f64,
}

impl Work {
    pub fn new(born: Micros, awake: Micros, further: f64) -> Self {
        let free = Work { shared: 1.0, least: 1.0, pace: 1.0, free: born, ..Work::default() };
        Work { looked: born, awake, further, ..free }
    }
}

/// How often the counter may be asked.
pub struct Calls {
    /// Calls a second that it stands, those saved up, and as of when.
    pub rate: f64,
    pub saved: f64,
    pub at: Micros,
    /// When the rate was last cut, when the last good answer came, and how long the quickest took.
    pub cut: Micros,
    pub good: Micros,
    pub heard: Micros,
    pub quickest: Micros,
    /// Share of decisions with word on customers of whom a gateway sees little.
    pub worded: f64,
}

impl Calls {
    pub fn new(rate: f64, saved: f64, born: Micros) -> Self {
        let (heard, quickest) = (0, Micros::MAX);
        Calls { rate, saved, at: born, cut: born, good: born, heard, quickest, worded: 0.5 }
    }
}

/// Factor that mixes the bytes of an id: the prime of the hash FNV-1a.
const MIX: u64 = 0x100_0000_01b3;

/// A place below `span` for an id, spread evenly, that every gateway works out alike: when a customer's names change,
/// or where a server stands in the row.
pub fn phase(id: &Id, span: Micros) -> Micros {
    let mixed = id.bytes().fold(MIX, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(MIX));
    ChaCha8Rng::seed_from_u64(mixed).gen_range(0..span)
}
