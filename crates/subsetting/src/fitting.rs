//! Iterative proportional fitting (Deming and Stephan, 1940): finds amounts for given pairs such that each row sums to
//! its load, and each column to its share of the total load by weight.
//!
//! The amount of a pair is the product of its row factor and its column factor. The limit of the factors depends only
//! on the pairs, loads and weights, not on the initial factors, so gateways with different histories agree.

/// Maximum number of iterations. The pairs that this package chooses need far fewer to reach the tolerance.
const MAX_ITERATIONS: usize = 60;
/// Accepted relative deviation of a column from its target. Traffic itself varies by more.
const TOLERANCE: f64 = 1e-3;

/// Fits the column factors, starting from the given ones, and returns the row factors. `rows` lists the columns of each
/// row.
///
/// Row sums are exact; column sums are as close as the pairs allow. All row factors are 0 if the total load or weight
/// is 0.
pub(crate) fn fit(rows: &[Vec<u32>], loads: &[f64], weights: &[f64], column_factors: &mut [f64]) -> Vec<f64> {
    let total_load: f64 = loads.iter().sum();
    let total_weight: f64 = weights.iter().sum();
    let mut row_factors = vec![0.0; rows.len()];
    if total_load <= 0.0 || total_weight <= 0.0 {
        return row_factors;
    }
    let targets: Vec<f64> = weights.iter().map(|weight| weight / total_weight * total_load).collect();
    let mut sums = vec![0.0; weights.len()];
    for iteration in 0.. {
        fit_rows(rows, loads, column_factors, &mut row_factors, &mut sums);
        let is_last = iteration == MAX_ITERATIONS;
        if is_last || max_deviation(&sums, column_factors, &targets) <= TOLERANCE {
            break;
        }
        for ((factor, sum), target) in column_factors.iter_mut().zip(&sums).zip(&targets) {
            if *sum > 0.0 {
                *factor = target / sum;
            }
        }
    }
    row_factors
}

/// Makes all row sums exact, and sums the row factors of each column.
fn fit_rows(
    rows: &[Vec<u32>],
    loads: &[f64],
    column_factors: &[f64],
    row_factors: &mut [f64],
    sums: &mut [f64],
) {
    sums.fill(0.0);
    for ((columns, load), row_factor) in rows.iter().zip(loads).zip(row_factors) {
        let sum: f64 = columns.iter().map(|column| column_factors[*column as usize]).sum();
        *row_factor = if sum > 0.0 { load / sum } else { 0.0 };
        for column in columns {
            sums[*column as usize] += *row_factor;
        }
    }
}

/// The maximum relative deviation of a column from its target.
fn max_deviation(sums: &[f64], column_factors: &[f64], targets: &[f64]) -> f64 {
    let amounts = sums.iter().zip(column_factors).map(|(sum, factor)| sum * factor);
    amounts.zip(targets).map(|(amount, target)| (amount / target - 1.0).abs()).fold(0.0, f64::max)
}
