//! Iterative proportional fitting (Deming and Stephan, 1940): amounts on given pairs such that each row sums to its load and
//! each column to its part of all by weight.
//!
//! An amount is a row's factor times its column's. The factors in the limit follow from the pairs, loads and weights alone,
//! whatever they were at first, so that gateways with different histories agree.

/// Iterations at the most; on pairs as they are chosen here far fewer reach the tolerance.
const MAX_ITERATIONS: usize = 60;
/// The relative deviation of a column that is accepted; traffic itself is not steadier.
const TOLERANCE: f64 = 1e-3;

/// Fits the factors of columns from where they are, and returns those of rows. `rows` has the columns of each row.
///
/// Rows are exact, columns as nearly as the pairs allow. All row factors are 0 where there is no load or no weight.
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

/// Makes all rows exact, and sums the row factors of each column.
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

/// The greatest relative deviation of a column from its target.
fn max_deviation(sums: &[f64], column_factors: &[f64], targets: &[f64]) -> f64 {
    let amounts = sums.iter().zip(column_factors).map(|(sum, factor)| sum * factor);
    amounts.zip(targets).map(|(amount, target)| (amount / target - 1.0).abs()).fold(0.0, f64::max)
}
