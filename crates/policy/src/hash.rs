//! Positions derived from ids, which every gateway computes alike.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::event::Id;

/// The prime of the 64-bit hash FNV-1a.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// A position below `span`, spread evenly over ids and the same at every gateway.
///
/// It staggers the windows of tenants' counters, so that they don't all change at one time, and orders servers on the
/// ring that subsets are cut from.
pub fn hash_position(id: &Id, span: u64) -> u64 {
    let seed = id.bytes().fold(FNV_PRIME, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    ChaCha8Rng::seed_from_u64(seed).gen_range(0..span)
}
