//! The pairs of gateways and servers that carry the traffic from one zone to another, and the amount of traffic of each
//! pair. Gateways are rows and servers are columns, both identified by their positions. The assigner converts the
//! amounts to weights.

use std::collections::HashMap;

use crate::fitting;
use crate::hashing::{pair_hash, rounding_offset};

/// How the positions of the rows, or of the columns, have changed since the last update.
struct PositionChanges {
    /// The previous position of each current member.
    previous: Vec<Option<usize>>,
    /// The current position of each previous member.
    current: Vec<Option<u32>>,
    /// The current positions of added members.
    added: Vec<usize>,
}

impl PositionChanges {
    fn between(before: &[u64], now: &[u64]) -> PositionChanges {
        if before == now {
            let all = 0..now.len();
            return PositionChanges {
                previous: all.clone().map(Some).collect(),
                current: all.map(|position| Some(position as u32)).collect(),
                added: Vec::new(),
            };
        }
        let positions: HashMap<u64, usize> =
            before.iter().enumerate().map(|(position, hash)| (*hash, position)).collect();
        let previous: Vec<Option<usize>> = now.iter().map(|hash| positions.get(hash).copied()).collect();
        let mut current = vec![None; before.len()];
        for (position, previous) in previous.iter().enumerate() {
            if let Some(previous) = previous {
                current[*previous] = Some(position as u32);
            }
        }
        let added = (0..now.len()).filter(|position| previous[*position].is_none()).collect();
        PositionChanges { previous, current, added }
    }
}

/// The side that chooses. Both sides use the same hash of a pair, with the row's hash as the first argument.
#[derive(Clone, Copy)]
enum Chooser {
    Row,
    Column,
}

impl Chooser {
    fn pair_hash(self, own: u64, other: u64) -> u64 {
        match self {
            Chooser::Row => pair_hash(own, other),
            Chooser::Column => pair_hash(other, own),
        }
    }
}

/// The current members of one side.
struct Members {
    hashes: Vec<u64>,
    /// How many members of the other side each member chooses.
    counts: Vec<usize>,
}

/// The choices of one side's members: each chooses the members of the other side with the lowest pair hashes.
#[derive(Clone, Debug, Default)]
struct Choices {
    hashes: Vec<u64>,
    /// How many members of the other side each member chooses.
    counts: Vec<usize>,
    /// The positions of the members that each member has chosen.
    selected: Vec<Vec<u32>>,
    /// The highest pair hash among each member's choices.
    max_hashes: Vec<u64>,
}

impl Choices {
    /// The choices of the current members. Recomputes only choices that may have changed.
    fn update(
        mut self,
        members: Members,
        own_changes: &PositionChanges,
        others: &[u64],
        other_changes: &PositionChanges,
        chooser: Chooser,
    ) -> Choices {
        let mut updated = Choices {
            selected: Vec::with_capacity(members.hashes.len()),
            max_hashes: Vec::with_capacity(members.hashes.len()),
            ..Choices::default()
        };
        let mut scratch = Vec::new();
        for (position, own_hash) in members.hashes.iter().enumerate() {
            let count = members.counts[position];
            let is_reusable = |previous: &usize| {
                self.counts[*previous] == count
                    && self.is_still_valid(*previous, *own_hash, others, other_changes, chooser)
            };
            if let Some(previous) = own_changes.previous[position].filter(is_reusable) {
                let mut selected = std::mem::take(&mut self.selected[previous]);
                for other in &mut selected {
                    *other = other_changes.current[*other as usize].unwrap_or(0);
                }
                updated.selected.push(selected);
                updated.max_hashes.push(self.max_hashes[previous]);
                continue;
            }
            let chosen = lowest_by_hash(&mut scratch, *own_hash, others, count, chooser);
            updated.max_hashes.push(chosen.iter().map(|(hash, _)| *hash).max().unwrap_or(0));
            updated.selected.push(chosen.iter().map(|(_, other)| *other).collect());
        }
        updated.hashes = members.hashes;
        updated.counts = members.counts;
        updated
    }

    /// Whether a member's previous choices are still valid: all chosen members are present, and no added member has a
    /// lower hash.
    fn is_still_valid(
        &self,
        previous: usize,
        own_hash: u64,
        others: &[u64],
        other_changes: &PositionChanges,
        chooser: Chooser,
    ) -> bool {
        let is_present = |other: &u32| other_changes.current[*other as usize].is_some();
        let max_hash = self.max_hashes[previous];
        self.selected[previous].iter().all(is_present)
            && other_changes.added.iter().all(|added| chooser.pair_hash(own_hash, others[*added]) > max_hash)
    }
}

/// The `count` members of the other side with the lowest pair hashes, in any order, with these hashes.
fn lowest_by_hash<'s>(
    scratch: &'s mut Vec<(u64, u32)>,
    own_hash: u64,
    others: &[u64],
    count: usize,
    chooser: Chooser,
) -> &'s [(u64, u32)] {
    scratch.clear();
    let hashed = others.iter().enumerate();
    scratch.extend(hashed.map(|(position, other)| (chooser.pair_hash(own_hash, *other), position as u32)));
    if count > 0 && count < scratch.len() {
        scratch.select_nth_unstable(count - 1);
    }
    &scratch[..count.min(scratch.len())]
}

/// How many members of the other side each member chooses: twice its share of the total, as the chosen members are
/// shared.
///
/// A hash of the name determines how fractions are rounded. Otherwise all members of the same size would need one more
/// at the same moment, and the loss of one gateway would move a tenth of the pairs.
fn choice_counts(hashes: &[u64], amounts: &[f64], others: usize, min_count: usize) -> Vec<usize> {
    let total: f64 = amounts.iter().sum();
    let count = |(hash, amount): (&u64, &f64)| {
        let target = 2.0 * amount / total * others as f64 + rounding_offset(*hash);
        min_count.max(target.floor() as usize).min(others)
    };
    hashes.iter().zip(amounts).map(count).collect()
}

/// The pairs between the gateways of one zone and the servers of one zone, with their amounts.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    rows: Choices,
    columns: Choices,
    /// The columns that each row uses, sorted.
    pairs: Vec<Vec<u32>>,
    /// The amount of a pair is the product of its row factor and its column factor.
    row_factors: Vec<f64>,
    column_factors: Vec<f64>,
}

impl Flow {
    /// Chooses the pairs for gateways with the given loads and servers with the given weights, and fits the amounts.
    pub fn update(
        &mut self,
        row_hashes: Vec<u64>,
        column_hashes: Vec<u64>,
        loads: &[f64],
        weights: &[f64],
        min_count: usize,
    ) {
        let row_changes = PositionChanges::between(&self.rows.hashes, &row_hashes);
        let column_changes = PositionChanges::between(&self.columns.hashes, &column_hashes);
        let row_counts = choice_counts(&row_hashes, loads, column_hashes.len(), min_count);
        let column_counts = choice_counts(&column_hashes, weights, row_hashes.len(), min_count);
        let previous = std::mem::take(self);
        let rows = Members { hashes: row_hashes.clone(), counts: row_counts };
        self.rows = previous.rows.update(rows, &row_changes, &column_hashes, &column_changes, Chooser::Row);
        let columns = Members { hashes: column_hashes, counts: column_counts };
        self.columns =
            previous.columns.update(columns, &column_changes, &row_hashes, &row_changes, Chooser::Column);
        self.pairs = self.chosen_pairs();
        self.column_factors = initial_factors(&previous.column_factors, &column_changes, weights);
        self.row_factors = fitting::fit(&self.pairs, loads, weights, &mut self.column_factors);
    }

    /// The columns that a row uses, with the amount of each.
    pub fn row(&self, row: usize) -> impl Iterator<Item = (usize, f64)> + '_ {
        let row_factor = self.row_factors[row];
        let columns = self.pairs[row].iter().map(|column| *column as usize);
        columns.map(move |column| (column, row_factor * self.column_factors[column]))
    }

    /// The pairs that at least one side has chosen.
    fn chosen_pairs(&self) -> Vec<Vec<u32>> {
        let mut pairs = self.rows.selected.clone();
        for (column, selected) in self.columns.selected.iter().enumerate() {
            for row in selected {
                pairs[*row as usize].push(column as u32);
            }
        }
        for columns in &mut pairs {
            columns.sort_unstable();
            columns.dedup();
        }
        pairs
    }
}

/// The initial column factors of the fitting: the previous factors, and for added columns their weight times the mean
/// factor per weight. Without previous factors, the factors equal the weights, as for a gateway that knows no other
/// gateway.
fn initial_factors(previous: &[f64], changes: &PositionChanges, weights: &[f64]) -> Vec<f64> {
    let known = |column: usize| changes.previous[column].map(|position| previous[position]);
    let mut factor_sum = 0.0;
    let mut weight_sum = 0.0;
    for (column, weight) in weights.iter().enumerate() {
        if let Some(factor) = known(column) {
            factor_sum += factor;
            weight_sum += weight;
        }
    }
    let mean = if factor_sum > 0.0 { factor_sum / weight_sum } else { 1.0 };
    let initial = |(column, weight): (usize, &f64)| {
        known(column).filter(|factor| *factor > 0.0).unwrap_or(weight * mean)
    };
    weights.iter().enumerate().map(initial).collect()
}
