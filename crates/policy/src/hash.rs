//! Positions derived from ids, which are equal at every gateway.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::event::Id;

/// The prime of the 64-bit hash FNV-1a.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Maps an id to a position below `span`. Positions are spread evenly over ids and are the same at every
/// gateway.
///
/// They stagger the windows of tenants' counters, so that the windows don't all change at one time. They also
/// order servers on the hash ring from which subsets are cut.
pub fn hash_position(id: &Id, span: u64) -> u64 {
    let seed = id.bytes().fold(FNV_PRIME, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    ChaCha8Rng::seed_from_u64(seed).gen_range(0..span)
}
