//! Hashes of names that are the same at every gateway, and preference orders by these hashes (rendezvous hashing,
//! Thaler and Ravishankar, 1998).

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Mixed with a name's hash for rounding, so that the rounding is independent of the hashes of the name's pairs.
const ROUNDING_SALT: u64 = 0x6e65_6564_7321_7321;

pub(crate) fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7375_6273, 0x6574);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Combines the hashes of two names with the finalizer of splitmix64 (Steele, Lea and Flood, 2014), which is much
/// faster than hashing both names. The order of the two arguments matters.
pub(crate) fn pair_hash(one: u64, other: u64) -> u64 {
    let mut number = one ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A number from 0 (inclusive) to 1 (exclusive), derived from a name's hash, that is added to fractions before rounding
/// down.
pub(crate) fn rounding_offset(name_hash: u64) -> f64 {
    (pair_hash(name_hash, ROUNDING_SALT) >> 11) as f64 / (1u64 << 53) as f64
}

/// Sorts servers by a gateway's own preference.
pub(crate) fn preference_order<'n>(gateway: &str, servers: impl Iterator<Item = &'n str>) -> Vec<&'n str> {
    let gateway = name_hash(gateway);
    let mut ranked: Vec<(u64, &str)> =
        servers.map(|server| (pair_hash(gateway, name_hash(server)), server)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, server)| server).collect()
}
