//! Shares on given pairs, so that each row comes to its load and each column to its part of all by weight.
//!
//! A share is a row's factor times its column's. Which factors these are in the end follows from the pairs, loads and weights
//! alone, whatever they were at first: so gateways that have seen different things before come to one deal.

/// Turns of scaling, at the most. Each brings what is off down to a part of itself; on pairs as they are dealt, 20 are enough
/// for a thousandth.
const MAX_ITERATIONS: usize = 60;
/// So little off is even: traffic itself is not steadier.
const TOLERANCE: f64 = 1e-3;

/// Fits the factors of columns from where they are, and gives those of rows. `rows`: the columns of each. Rows come out exact; columns as
/// nearly as the pairs allow.
pub fn fit(rows: &[Vec<u32>], loads: &[f64], weights: &[f64], factors: &mut [f64]) -> Vec<f64> {
    let total_load: f64 = loads.iter().sum();
    let total_weight: f64 = weights.iter().sum();
    let mut row_factors = vec![0.0; rows.len()];
    if total_load <= 0.0 || total_weight <= 0.0 {
        return row_factors;
    }
    let targets: Vec<f64> =
        weights.iter().map(|row_factors| row_factors / total_weight * total_load).collect();
    let mut sums = vec![0.0; weights.len()];
    for iteration in 0.. {
        sums.fill(0.0);
        for ((row, load), row_factors) in rows.iter().zip(loads).zip(&mut row_factors) {
            let sum: f64 = row.iter().map(|column| factors[*column as usize]).sum();
            *row_factors = if sum > 0.0 { load / sum } else { 0.0 };
            row.iter().for_each(|column| sums[*column as usize] += *row_factors);
        }
        let column_loads = sums.iter().zip(&*factors).map(|(sum, factor)| sum * factor);
        let deviation = column_loads
            .zip(&targets)
            .map(|(column_loads, targets)| (column_loads / targets - 1.0).abs())
            .fold(0.0, f64::max);
        if deviation <= TOLERANCE || iteration == MAX_ITERATIONS {
            break;
        }
        for ((factor, sum), targets) in factors.iter_mut().zip(&sums).zip(&targets) {
            *factor = if *sum > 0.0 { targets / sum } else { *factor };
        }
    }
    row_factors
}
