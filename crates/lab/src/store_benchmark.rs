//! Measures the store on a real folder: writes a second, reads, recovery, the longest slice of a compaction, memory.

use std::path::Path;
use std::time::Instant;

use fernscale_store::files::DiskDirectory;
use fernscale_store::{Batch, Durability, Options, Store};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

/// Bytes of a value: a fraction, a store, a part of a ceiling and a time.
const VALUE: usize = 32;
/// Writes that are each made durable, and reads, to take a mean of.
const SYNCED: u64 = 500;
const READS: u64 = 100_000;
/// Bytes compacted at a time.
const SLICE: usize = 256 * 1024;

fn key(number: u64) -> [u8; 8] {
    number.to_be_bytes()
}

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0
}

pub fn measure(folder: &Path, keys: u64, seed: u64) -> Result<Value, fernscale_store::Error> {
    let options = Options { max_index_bytes: 1 << 36, max_disk_bytes: 1 << 36, ..Options::default() };
    let files =
        || DiskDirectory::new(folder).map_err(|why| fernscale_store::Error::Io { what: "the folder", why });
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let before = resident_mb();
    let (mut store, _) = Store::open(files()?, options.clone(), 0)?;
    let value: [u8; VALUE] = chance.gen();
    let began = Instant::now();
    for number in 0..keys {
        store.write(&Batch::new().put(&key(number), &value), Durability::Deferred, 0)?;
    }
    store.sync()?;
    let puts = keys as f64 / began.elapsed().as_secs_f64();
    let memory = (resident_mb() - before) * 1024.0 * 1024.0 / keys as f64;
    let began = Instant::now();
    for _ in 0..SYNCED {
        let number = chance.gen_range(0..keys);
        store.write(&Batch::new().put(&key(number), &value), Durability::Immediate, 0)?;
    }
    let synced = SYNCED as f64 / began.elapsed().as_secs_f64();
    let began = Instant::now();
    for _ in 0..READS {
        store.get(&key(chance.gen_range(0..keys)), 0)?;
    }
    let read = began.elapsed().as_secs_f64() * 1e6 / READS as f64;
    drop(store);
    let began = Instant::now();
    let (mut store, report) = Store::open(files()?, options, 0)?;
    let recovery = began.elapsed().as_secs_f64();
    // Most are replaced, some are not: the oldest segments have both.
    for number in (0..keys).filter(|number| number % 4 != 0) {
        store.write(&Batch::new().put(&key(number), &value), Durability::Deferred, 0)?;
    }
    let (full, mut longest, mut slices) = (store.disk_bytes(), 0.0f64, 0);
    let began = Instant::now();
    loop {
        let slice = Instant::now();
        if !store.compact(SLICE, 0)? {
            break;
        }
        longest = longest.max(slice.elapsed().as_secs_f64());
        slices += 1;
    }
    Ok(json!({
        "keys": keys, "value_bytes": VALUE, "puts_a_second": puts, "durable_puts_a_second": synced, "read_us": read,
        "memory_a_key": memory, "recovery_s": recovery, "recovered_keys": report.keys, "full_bytes": full,
        "compacted_bytes": store.disk_bytes(), "compaction_s": began.elapsed().as_secs_f64(), "slices": slices,
        "longest_slice_ms": longest * 1000.0,
    }))
}
