//! Shares on given pairs, so that each row comes to its load and each column to its part of all by weight.
//!
//! A share is a row's factor times its column's. Which factors these are in the end follows from the pairs, loads and weights
//! alone, whatever they were at first: so gateways that have seen different things before come to one deal.

/// Turns of scaling, at the most. Each brings what is off down to a part of itself; on pairs as they are dealt, 20 are enough
/// for a thousandth.
const TURNS: usize = 60;
/// So little off is even: traffic itself is not steadier.
const EVEN: f64 = 1e-3;

/// Fits the factors of columns from where they are, and gives those of rows. `rows`: the columns of each. Rows come out exact; columns as
/// nearly as the pairs allow.
pub fn fit(rows: &[Vec<u32>], loads: &[f64], weights: &[f64], factors: &mut [f64]) -> Vec<f64> {
    let all: f64 = loads.iter().sum();
    let weight: f64 = weights.iter().sum();
    let mut own = vec![0.0; rows.len()];
    if all <= 0.0 || weight <= 0.0 {
        return own;
    }
    let wanted: Vec<f64> = weights.iter().map(|own| own / weight * all).collect();
    let mut sums = vec![0.0; weights.len()];
    for turn in 0.. {
        sums.fill(0.0);
        for ((row, load), own) in rows.iter().zip(loads).zip(&mut own) {
            let sum: f64 = row.iter().map(|column| factors[*column as usize]).sum();
            *own = if sum > 0.0 { load / sum } else { 0.0 };
            row.iter().for_each(|column| sums[*column as usize] += *own);
        }
        let got = sums.iter().zip(&*factors).map(|(sum, factor)| sum * factor);
        let off = got.zip(&wanted).map(|(got, wanted)| (got / wanted - 1.0).abs()).fold(0.0, f64::max);
        if off <= EVEN || turn == TURNS {
            break;
        }
        for ((factor, sum), wanted) in factors.iter_mut().zip(&sums).zip(&wanted) {
            *factor = if *sum > 0.0 { wanted / sum } else { *factor };
        }
    }
    own
}
