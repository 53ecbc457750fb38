//! The tenants that this gateway remembers, within a bound.
//!
//! A tenant is dropped when it has made no request for a while. At the bound one is dropped earlier, but only where that gives it
//! no units: its bucket and its share of the ceiling hold what a new tenant would get.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::event::{Id, Micros};
use crate::quota::TenantState;
use crate::settings::Plan;

/// How many tenants are looked at, for one that may be dropped, when a new one needs a place.
const EXAMINED_PER_TENANT: usize = 8;

/// The states of the tenants, by their ids.
pub struct Tenants {
    states: BTreeMap<Id, TenantState>,
    max: usize,
    /// The tenant that was examined last.
    cursor: Option<Id>,
}

impl Default for Tenants {
    fn default() -> Self {
        Tenants { states: BTreeMap::new(), max: usize::MAX, cursor: None }
    }
}

impl Tenants {
    /// Sets how many tenants may be remembered. More stay until they may be dropped.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// The state of a tenant, if it is remembered.
    pub fn get(&self, id: &Id) -> Option<&TenantState> {
        self.states.get(id)
    }

    /// As [`Tenants::get`], to be changed.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut TenantState> {
        self.states.get_mut(id)
    }

    /// All states, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut TenantState> {
        self.states.values_mut()
    }

    /// Remembers a tenant from now on.
    pub fn insert(&mut self, id: Id, state: TenantState) {
        self.states.insert(id, state);
    }

    /// Drops the tenants that have made no request for a while.
    pub fn drop_stale(&mut self, now: Micros) {
        self.states.retain(|_, tenant| !tenant.is_stale(now));
    }

    /// Whether a new tenant can be remembered. At the bound some tenants are examined, and dropped where that gives them nothing.
    pub fn make_room(&mut self, plans: &[Plan], process_share: f64, share_age: Micros, now: Micros) -> bool {
        for _ in 0..EXAMINED_PER_TENANT {
            if self.states.len() < self.max {
                return true;
            }
            let Some((id, state)) = self.next_examined() else { return false };
            let plan = &plans[state.plan()];
            if state.is_as_new(plan, process_share, share_age, now) {
                self.states.remove(&id);
            }
            self.cursor = Some(id);
        }
        self.states.len() < self.max
    }

    /// The tenant behind the one examined last, counted round.
    fn next_examined(&mut self) -> Option<(Id, &mut TenantState)> {
        let after = self.cursor.take().map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.states.range((after, Bound::Unbounded)).next().map(|(id, _)| id.clone());
        let id = next.or_else(|| self.states.first_key_value().map(|(id, _)| id.clone()))?;
        let state = self.states.get_mut(&id)?;
        Some((id, state))
    }
}
