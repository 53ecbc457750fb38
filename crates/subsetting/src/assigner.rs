//! Deals again and again, where little changes from one time to the next: what was drawn is kept as far as it holds, and factors
//! of shares are fitted from where they were. Who uses whom comes out the same as if all were dealt anew; shares differ by no
//! more than what is taken for even.

use std::collections::{BTreeMap, HashMap};

use crate::{
    fitting, key, load, mixed, order_of, zones, Assignment, Assignments, Gateway, Server, Settings,
    MIN_SUBSET_SIZE, NEEDS,
};

/// What is kept of the last deal, for each flow from a zone to a zone.
#[derive(Clone, Debug, Default)]
pub struct Assigner {
    flows: BTreeMap<(u32, u32), Flow>,
}

/// One side's choices among the other's: the first so many of each one's own order.
#[derive(Clone, Debug, Default)]
struct Side {
    keys: Vec<u64>,
    /// How many each needs, whom it has chosen, by place, and the highest number drawn among those.
    needed: Vec<usize>,
    chosen: Vec<Vec<u32>>,
    last: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    rows: Side,
    columns: Side,
    /// For each row the columns that it uses, in their order.
    pairs: Vec<Vec<u32>>,
    /// Of rows and of columns: a share is the product of both.
    factors: [Vec<f64>; 2],
}

/// Where those who were there before stand now.
struct Moves {
    /// For each place now the one before.
    from: Vec<Option<usize>>,
    /// For each place before the one now.
    to: Vec<Option<u32>>,
    /// Those who were not there.
    fresh: Vec<usize>,
}

impl Moves {
    fn of(before: &[u64], now: &[u64]) -> Moves {
        if before == now {
            let all = 0..now.len();
            return Moves {
                from: all.clone().map(Some).collect(),
                to: all.map(|at| Some(at as u32)).collect(),
                fresh: Vec::new(),
            };
        }
        let places: HashMap<u64, usize> = before.iter().enumerate().map(|(at, key)| (*key, at)).collect();
        let from: Vec<Option<usize>> = now.iter().map(|key| places.get(key).copied()).collect();
        let mut to = vec![None; before.len()];
        for (at, from) in from.iter().enumerate() {
            if let Some(from) = from {
                to[*from] = Some(at as u32);
            }
        }
        let fresh = (0..now.len()).filter(|at| from[*at].is_none()).collect();
        Moves { from, to, fresh }
    }
}

impl Side {
    /// This side as it is now: those whose choice may have changed choose anew. `rows`: this side's numbers come first in a draw.
    fn turned(
        mut self,
        keys: Vec<u64>,
        needed: Vec<usize>,
        own: &Moves,
        others: &[u64],
        theirs: &Moves,
        rows: bool,
    ) -> Side {
        let drawn = |own: u64, other: u64| if rows { mixed(own, other) } else { mixed(other, own) };
        let mut now = Side {
            chosen: Vec::with_capacity(keys.len()),
            last: Vec::with_capacity(keys.len()),
            ..Side::default()
        };
        let mut scratch: Vec<(u64, u32)> = Vec::new();
        for (at, own_key) in keys.iter().enumerate() {
            let kept = own.from[at].filter(|from| self.needed[*from] == needed[at]).filter(|from| {
                let all_there = self.chosen[*from].iter().all(|other| theirs.to[*other as usize].is_some());
                let last = self.last[*from];
                all_there && theirs.fresh.iter().all(|fresh| drawn(*own_key, others[*fresh]) > last)
            });
            if let Some(from) = kept {
                let mut chosen = std::mem::take(&mut self.chosen[from]);
                chosen.iter_mut().for_each(|other| *other = theirs.to[*other as usize].unwrap_or(0));
                now.chosen.push(chosen);
                now.last.push(self.last[from]);
                continue;
            }
            scratch.clear();
            scratch.extend(others.iter().enumerate().map(|(at, other)| (drawn(*own_key, *other), at as u32)));
            let most = needed[at];
            if most > 0 && most < scratch.len() {
                scratch.select_nth_unstable(most - 1);
            }
            let taken = &scratch[..most.min(scratch.len())];
            now.last.push(taken.iter().map(|(drawn, _)| *drawn).max().unwrap_or(0));
            now.chosen.push(taken.iter().map(|(_, other)| *other).collect());
        }
        (now.keys, now.needed) = (keys, needed);
        now
    }
}

/// How many each needs: so many that they have room for what it carries, or enough of what it weighs; twice what would do if each
/// were dealt to one alone, as they are shared. What is no whole number is rounded by a draw of the name. Danger: all of a
/// size would need one more at the same moment, and one gateway less would move a tenth of the pairs.
fn needs(keys: &[u64], parts: &[f64], of: usize, least: usize) -> Vec<usize> {
    let sum: f64 = parts.iter().sum();
    let needed = |(key, part): (&u64, &f64)| {
        let drawn = (mixed(*key, NEEDS) >> 11) as f64 / (1u64 << 53) as f64;
        least.max((2.0 * part / sum * of as f64 + drawn).floor() as usize).min(of)
    };
    keys.iter().zip(parts).map(needed).collect()
}

impl Flow {
    fn turn(&mut self, rows: Vec<u64>, columns: Vec<u64>, loads: &[f64], weights: &[f64], least: usize) {
        let (own, theirs) = (Moves::of(&self.rows.keys, &rows), Moves::of(&self.columns.keys, &columns));
        let needed = needs(&rows, loads, columns.len(), least);
        let before = std::mem::take(self);
        self.rows = before.rows.turned(rows.clone(), needed, &own, &columns, &theirs, true);
        let needed = needs(&columns, weights, rows.len(), least);
        self.columns = before.columns.turned(columns, needed, &theirs, &rows, &own, false);
        self.pairs = self.rows.chosen.clone();
        for (column, chosen) in self.columns.chosen.iter().enumerate() {
            chosen.iter().for_each(|row| self.pairs[*row as usize].push(column as u32));
        }
        for uses in &mut self.pairs {
            uses.sort_unstable();
            uses.dedup();
        }
        // By weight at first, as a gateway would that knew of no other; and whoever comes, as those who were there do in the mean.
        let known = |at: usize| theirs.from[at].map(|from| before.factors[1][from]);
        let (mut sum, mut weight) = (0.0, 0.0);
        for (at, own) in weights.iter().enumerate() {
            if let Some(factor) = known(at) {
                (sum, weight) = (sum + factor, weight + own);
            }
        }
        let mean = if sum > 0.0 { sum / weight } else { 1.0 };
        let factor = |(at, own): (usize, &f64)| known(at).filter(|known| *known > 0.0).unwrap_or(own * mean);
        let mut columns: Vec<f64> = weights.iter().enumerate().map(factor).collect();
        let rows = fitting::fit(&self.pairs, loads, weights, &mut columns);
        self.factors = [rows, columns];
    }
}

impl Assigner {
    /// Deals the servers to the gateways.
    pub fn assign(&mut self, gateways: &[Gateway], servers: &[Server], settings: Settings) -> Assignments {
        // Sums of fractions differ by the order in which they are added: gateways that were told alike must come to one deal.
        let mut by_name: Vec<usize> = (0..gateways.len()).collect();
        by_name.sort_by(|one, other| gateways[*one].name.cmp(&gateways[*other].name));
        let mut taken: Vec<usize> = (0..servers.len()).collect();
        taken.sort_by(|one, other| servers[*one].name.cmp(&servers[*other].name));
        taken.retain(|at| usable(&servers[*at]));
        let mut deal = Assignments { by_gateway: vec![Vec::new(); gateways.len()] };
        let mut before = std::mem::take(&mut self.flows);
        for zones::ZoneFlow { from, to, share } in
            zones::zone_flows(gateways, servers, settings.prefers_own_zone)
        {
            let rows: Vec<usize> = by_name.iter().copied().filter(|at| gateways[*at].zone == from).collect();
            let columns: Vec<usize> = taken.iter().copied().filter(|at| servers[*at].zone == to).collect();
            // Of a flow that is a small part of its gateways' traffic each needs few servers, but no fewer than survive two losses.
            let least = ((settings.min_servers as f64 * share).ceil() as usize)
                .max(MIN_SUBSET_SIZE)
                .min(settings.min_servers.max(MIN_SUBSET_SIZE));
            let loads: Vec<f64> = rows.iter().map(|at| load(&gateways[*at])).collect();
            let weights: Vec<f64> = columns.iter().map(|at| servers[*at].weight).collect();
            let row_keys = rows.iter().map(|at| key(&gateways[*at].name)).collect();
            let column_keys = columns.iter().map(|at| key(&servers[*at].name)).collect();
            let mut flow = before.remove(&(from, to)).unwrap_or_default();
            flow.turn(row_keys, column_keys, &loads, &weights, least);
            for (row, pairs) in flow.pairs.iter().enumerate() {
                let [of_rows, of_columns] = &flow.factors;
                let own = |column: &u32| Assignment {
                    server: columns[*column as usize],
                    weight: of_rows[row] * of_columns[*column as usize] / loads[row] * share,
                };
                deal.by_gateway[rows[row]].extend(pairs.iter().map(own));
            }
            self.flows.insert((from, to), flow);
        }
        reserve(gateways, servers, &taken, &mut deal);
        for parts in &mut deal.by_gateway {
            parts.sort_unstable_by_key(|part| part.server);
            let sum: f64 = parts.iter().map(|part| part.weight).sum();
            parts.iter_mut().filter(|_| sum > 0.0).for_each(|part| part.weight /= sum);
        }
        deal
    }
}

fn usable(server: &Server) -> bool {
    server.weight > 0.0 && server.weight.is_finite()
}

/// Whoever has fewer servers than the floor, as its zone has no more, is given the first others of its order with no share, for
/// when those it has are lost; likewise a server that nobody uses, as no flow to its zone is worth a connection.
fn reserve(gateways: &[Gateway], servers: &[Server], there: &[usize], deal: &mut Assignments) {
    let floor = MIN_SUBSET_SIZE.min(there.len());
    for (row, gateway) in gateways.iter().enumerate() {
        let short = floor.saturating_sub(deal.by_gateway[row].len());
        if short == 0 {
            continue;
        }
        let has = |at: &usize| deal.by_gateway[row].iter().any(|part| part.server == *at);
        let others = there.iter().filter(|at| !has(at));
        let names: BTreeMap<&str, usize> = others.map(|at| (&*servers[*at].name, *at)).collect();
        let first = order_of(&gateway.name, names.keys().copied()).into_iter().take(short);
        let taken: Vec<usize> = first.map(|name| names[name]).collect();
        deal.by_gateway[row].extend(taken.into_iter().map(|server| Assignment { server, weight: 0.0 }));
    }
    let mut used = vec![false; servers.len()];
    deal.by_gateway.iter().flatten().for_each(|part| used[part.server] = true);
    for server in there.iter().copied().filter(|at| !used[*at]) {
        let own = key(&servers[server].name);
        let mut rows: Vec<usize> = (0..gateways.len()).collect();
        rows.sort_by_key(|row| mixed(key(&gateways[*row].name), own));
        for row in rows.into_iter().take(MIN_SUBSET_SIZE) {
            deal.by_gateway[row].push(Assignment { server, weight: 0.0 });
        }
    }
}
