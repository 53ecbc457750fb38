//! Deals again and again, where little changes from one time to the next: what was drawn is kept as far as it holds, and factors
//! of shares are fitted from where they were. Who uses whom comes out the same as if all were dealt anew; shares differ by no
//! more than what is taken for even.

use std::collections::{BTreeMap, HashMap};

use crate::{
    effective_load, fitting, name_hash, pair_hash, preference_order, zones, Assignment, Assignments, Gateway,
    Server, Settings, MIN_SUBSET_SIZE, ROUNDING_SALT,
};

/// What is kept of the last deal, for each flow from a zone to a zone.
#[derive(Clone, Debug, Default)]
pub struct Assigner {
    flows: BTreeMap<(u32, u32), Flow>,
}

/// One side's choices among the other's: the first so many of each one's own order.
#[derive(Clone, Debug, Default)]
struct Choices {
    keys: Vec<u64>,
    /// How many each needs, whom it has chosen, by place, and the highest number drawn among those.
    counts: Vec<usize>,
    selected: Vec<Vec<u32>>,
    max_hashes: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    rows: Choices,
    columns: Choices,
    /// For each row the columns that it uses, in their order.
    pairs: Vec<Vec<u32>>,
    /// Of rows and of columns: a share is the product of both.
    factors: [Vec<f64>; 2],
}

/// Where those who were there before stand now.
struct PositionChanges {
    /// For each place now the one before.
    from: Vec<Option<usize>>,
    /// For each place before the one now.
    to: Vec<Option<u32>>,
    /// Those who were not there.
    added: Vec<usize>,
}

impl PositionChanges {
    fn between(before: &[u64], now: &[u64]) -> PositionChanges {
        if before == now {
            let all = 0..now.len();
            return PositionChanges {
                from: all.clone().map(Some).collect(),
                to: all.map(|at| Some(at as u32)).collect(),
                added: Vec::new(),
            };
        }
        let places: HashMap<u64, usize> =
            before.iter().enumerate().map(|(at, name_hash)| (*name_hash, at)).collect();
        let from: Vec<Option<usize>> = now.iter().map(|name_hash| places.get(name_hash).copied()).collect();
        let mut to = vec![None; before.len()];
        for (at, from) in from.iter().enumerate() {
            if let Some(from) = from {
                to[*from] = Some(at as u32);
            }
        }
        let added = (0..now.len()).filter(|at| from[*at].is_none()).collect();
        PositionChanges { from, to, added }
    }
}

impl Choices {
    /// This side as it is now: those whose choice may have changed choose anew. `rows`: this side's numbers come first in a draw.
    fn updated(
        mut self,
        keys: Vec<u64>,
        counts: Vec<usize>,
        own: &PositionChanges,
        others: &[u64],
        other_changes: &PositionChanges,
        rows: bool,
    ) -> Choices {
        let drawn = |own: u64, other: u64| if rows { pair_hash(own, other) } else { pair_hash(other, own) };
        let mut now = Choices {
            selected: Vec::with_capacity(keys.len()),
            max_hashes: Vec::with_capacity(keys.len()),
            ..Choices::default()
        };
        let mut scratch: Vec<(u64, u32)> = Vec::new();
        for (at, own_key) in keys.iter().enumerate() {
            let kept = own.from[at].filter(|from| self.counts[*from] == counts[at]).filter(|from| {
                let all_there =
                    self.selected[*from].iter().all(|other| other_changes.to[*other as usize].is_some());
                let max_hashes = self.max_hashes[*from];
                all_there
                    && other_changes.added.iter().all(|added| drawn(*own_key, others[*added]) > max_hashes)
            });
            if let Some(from) = kept {
                let mut selected = std::mem::take(&mut self.selected[from]);
                selected.iter_mut().for_each(|other| *other = other_changes.to[*other as usize].unwrap_or(0));
                now.selected.push(selected);
                now.max_hashes.push(self.max_hashes[from]);
                continue;
            }
            scratch.clear();
            scratch.extend(others.iter().enumerate().map(|(at, other)| (drawn(*own_key, *other), at as u32)));
            let most = counts[at];
            if most > 0 && most < scratch.len() {
                scratch.select_nth_unstable(most - 1);
            }
            let usable = &scratch[..most.min(scratch.len())];
            now.max_hashes.push(usable.iter().map(|(drawn, _)| *drawn).max().unwrap_or(0));
            now.selected.push(usable.iter().map(|(_, other)| *other).collect());
        }
        (now.keys, now.counts) = (keys, counts);
        now
    }
}

/// How many each needs: so many that they have room for what it carries, or enough of what it weighs; twice what would do if each
/// were dealt to one alone, as they are shared. What is no whole number is rounded by a draw of the name. Danger: all of a
/// size would need one more at the same moment, and one gateway less would move a tenth of the pairs.
fn selection_counts(keys: &[u64], parts: &[f64], of: usize, min_count: usize) -> Vec<usize> {
    let sum: f64 = parts.iter().sum();
    let counts = |(name_hash, part): (&u64, &f64)| {
        let drawn = (pair_hash(*name_hash, ROUNDING_SALT) >> 11) as f64 / (1u64 << 53) as f64;
        min_count.max((2.0 * part / sum * of as f64 + drawn).floor() as usize).min(of)
    };
    keys.iter().zip(parts).map(counts).collect()
}

impl Flow {
    fn update(
        &mut self,
        rows: Vec<u64>,
        columns: Vec<u64>,
        loads: &[f64],
        weights: &[f64],
        min_count: usize,
    ) {
        let (own, other_changes) = (
            PositionChanges::between(&self.rows.keys, &rows),
            PositionChanges::between(&self.columns.keys, &columns),
        );
        let counts = selection_counts(&rows, loads, columns.len(), min_count);
        let before = std::mem::take(self);
        self.rows = before.rows.updated(rows.clone(), counts, &own, &columns, &other_changes, true);
        let counts = selection_counts(&columns, weights, rows.len(), min_count);
        self.columns = before.columns.updated(columns, counts, &other_changes, &rows, &own, false);
        self.pairs = self.rows.selected.clone();
        for (column, selected) in self.columns.selected.iter().enumerate() {
            selected.iter().for_each(|row| self.pairs[*row as usize].push(column as u32));
        }
        for uses in &mut self.pairs {
            uses.sort_unstable();
            uses.dedup();
        }
        // By weight at first, as a gateway would that knew of no other; and whoever comes, as those who were there do in the mean.
        let known = |at: usize| other_changes.from[at].map(|from| before.factors[1][from]);
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
        let mut usable: Vec<usize> = (0..servers.len()).collect();
        usable.sort_by(|one, other| servers[*one].name.cmp(&servers[*other].name));
        usable.retain(|at| is_usable(&servers[*at]));
        let mut assignments = Assignments { by_gateway: vec![Vec::new(); gateways.len()] };
        let mut before = std::mem::take(&mut self.flows);
        for zones::ZoneFlow { from, to, share } in
            zones::zone_flows(gateways, servers, settings.prefers_own_zone)
        {
            let rows: Vec<usize> = by_name.iter().copied().filter(|at| gateways[*at].zone == from).collect();
            let columns: Vec<usize> = usable.iter().copied().filter(|at| servers[*at].zone == to).collect();
            // Of a flow that is a small part of its gateways' traffic each needs few servers, but no fewer than survive two losses.
            let min_count = ((settings.min_servers as f64 * share).ceil() as usize)
                .max(MIN_SUBSET_SIZE)
                .min(settings.min_servers.max(MIN_SUBSET_SIZE));
            let loads: Vec<f64> = rows.iter().map(|at| effective_load(&gateways[*at])).collect();
            let weights: Vec<f64> = columns.iter().map(|at| servers[*at].weight).collect();
            let row_keys = rows.iter().map(|at| name_hash(&gateways[*at].name)).collect();
            let column_keys = columns.iter().map(|at| name_hash(&servers[*at].name)).collect();
            let mut flow = before.remove(&(from, to)).unwrap_or_default();
            flow.update(row_keys, column_keys, &loads, &weights, min_count);
            for (row, pairs) in flow.pairs.iter().enumerate() {
                let [of_rows, of_columns] = &flow.factors;
                let own = |column: &u32| Assignment {
                    server: columns[*column as usize],
                    weight: of_rows[row] * of_columns[*column as usize] / loads[row] * share,
                };
                assignments.by_gateway[rows[row]].extend(pairs.iter().map(own));
            }
            self.flows.insert((from, to), flow);
        }
        add_spare_servers(gateways, servers, &usable, &mut assignments);
        for parts in &mut assignments.by_gateway {
            parts.sort_unstable_by_key(|part| part.server);
            let sum: f64 = parts.iter().map(|part| part.weight).sum();
            parts.iter_mut().filter(|_| sum > 0.0).for_each(|part| part.weight /= sum);
        }
        assignments
    }
}

fn is_usable(server: &Server) -> bool {
    server.weight > 0.0 && server.weight.is_finite()
}

/// Whoever has fewer servers than the floor, as its zone has no more, is given the first others of its order with no share, for
/// when those it has are lost; likewise a server that nobody uses, as no flow to its zone is worth a connection.
fn add_spare_servers(
    gateways: &[Gateway],
    servers: &[Server],
    there: &[usize],
    assignments: &mut Assignments,
) {
    let floor = MIN_SUBSET_SIZE.min(there.len());
    for (row, gateway) in gateways.iter().enumerate() {
        let short = floor.saturating_sub(assignments.by_gateway[row].len());
        if short == 0 {
            continue;
        }
        let has = |at: &usize| assignments.by_gateway[row].iter().any(|part| part.server == *at);
        let others = there.iter().filter(|at| !has(at));
        let names: BTreeMap<&str, usize> = others.map(|at| (&*servers[*at].name, *at)).collect();
        let first = preference_order(&gateway.name, names.keys().copied()).into_iter().take(short);
        let usable: Vec<usize> = first.map(|name| names[name]).collect();
        assignments.by_gateway[row]
            .extend(usable.into_iter().map(|server| Assignment { server, weight: 0.0 }));
    }
    let mut used = vec![false; servers.len()];
    assignments.by_gateway.iter().flatten().for_each(|part| used[part.server] = true);
    for server in there.iter().copied().filter(|at| !used[*at]) {
        let own = name_hash(&servers[server].name);
        let mut rows: Vec<usize> = (0..gateways.len()).collect();
        rows.sort_by_key(|row| pair_hash(name_hash(&gateways[*row].name), own));
        for row in rows.into_iter().take(MIN_SUBSET_SIZE) {
            assignments.by_gateway[row].push(Assignment { server, weight: 0.0 });
        }
    }
}
