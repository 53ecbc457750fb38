//! Hashes of names that are the same at every gateway, and the orders that follow from them (rendezvous hashing, Thaler and
//! Ravishankar, 1998). No state.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Mixed with a name's hash for its rounding, so that this is independent of the name's pairs.
const ROUNDING_SALT: u64 = 0x6e65_6564_7321_7321;

pub(crate) fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7375_6273, 0x6574);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A hash of two names by their hashes, much quicker than one of the names (the finalizer of splitmix64, Steele, Lea and
/// Flood, 2014). The order of the two matters.
pub(crate) fn pair_hash(one: u64, other: u64) -> u64 {
    let mut number = one ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A number from 0 up to 1 by a name's hash, with which fractions are rounded.
pub(crate) fn rounding_offset(name_hash: u64) -> f64 {
    (pair_hash(name_hash, ROUNDING_SALT) >> 11) as f64 / (1u64 << 53) as f64
}

/// Servers in a gateway's own order of preference.
pub(crate) fn preference_order<'n>(gateway: &str, servers: impl Iterator<Item = &'n str>) -> Vec<&'n str> {
    let gateway = name_hash(gateway);
    let mut ranked: Vec<(u64, &str)> =
        servers.map(|server| (pair_hash(gateway, name_hash(server)), server)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, server)| server).collect()
}
