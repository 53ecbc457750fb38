//! The store under truncation, damage, crashes, full disks and clocks that are set back: the store always holds a prefix of
//! the batches.

mod simulated_disk;

use std::collections::BTreeMap;

use fernscale_store::frame::{self, FrameBuilder, FrameHeader, OperationKind};
use fernscale_store::{Batch, Durability, Error, Options, Sequences, Store};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulated_disk::SimulatedDisk;

type Map = BTreeMap<Vec<u8>, Vec<u8>>;

fn options() -> Options {
    Options { max_segment_bytes: 400, ..Options::default() }
}

fn state(store: &Store<SimulatedDisk>, now: u64) -> Map {
    store.scan(b"", None, usize::MAX, now).expect("read").into_iter().collect()
}

fn open(files: &SimulatedDisk, now: u64) -> Result<Store<SimulatedDisk>, Error> {
    Store::open(files.clone(), options(), now).map(|(store, _)| store)
}

/// Writes batches over several segments. Returns the files and the state after each batch.
fn write_batches() -> (SimulatedDisk, Vec<Map>) {
    let files = SimulatedDisk::default();
    let mut store = open(&files, 1).expect("opened");
    let mut states = vec![Map::new()];
    let mut map = Map::new();
    for step in 0..14u8 {
        let key = vec![b'k', step % 5];
        let value = vec![step; 10 + 5 * step as usize];
        let other = vec![b'k', (step + 2) % 5];
        let batch = Batch::new().put(&key, &value).delete(&other).put(&[b'n', step], b"");
        store.write(&batch, Durability::Immediate, 1).expect("written");
        map.insert(key, value);
        map.remove(&other);
        map.insert(vec![b'n', step], Vec::new());
        states.push(map.clone());
    }
    drop(store);
    files.kill();
    (files, states)
}

#[test]
fn a_log_cut_at_any_byte_recovers_to_the_last_complete_batch() {
    let (files, states) = write_batches();
    let names: Vec<String> = files.0.borrow().files.keys().cloned().collect();
    assert!(names.len() >= 3, "several segments: {names:?}");
    let mut before = states.len();
    for (index, name) in names.iter().enumerate().rev() {
        let length = files.0.borrow().files[name].current.len();
        for cut in (0..=length).rev() {
            let copy = files.copy();
            {
                let mut disk = copy.0.borrow_mut();
                names[index + 1..].iter().for_each(|later| drop(disk.files.remove(later)));
                disk.files.get_mut(name).expect("the file exists").current.truncate(cut);
            }
            let store = open(&copy, 1).unwrap_or_else(|error| panic!("{name} cut at {cut}: {error}"));
            let found = state(&store, 1);
            let at = states.iter().rposition(|state| *state == found);
            let at = at.unwrap_or_else(|| panic!("{name} cut at {cut}: no earlier state matches: {found:?}"));
            assert!(
                at <= before && before - at <= 1 || cut == length,
                "{name} cut at {cut}: {before} to {at}"
            );
            before = at;
        }
    }
    assert_eq!(before, 0);
}

#[test]
fn a_log_with_any_byte_changed_is_rejected_or_recovers_to_an_earlier_batch() {
    let (files, states) = write_batches();
    let names: Vec<String> = files.0.borrow().files.keys().cloned().collect();
    let last = names.last().expect("some").clone();
    for name in &names {
        let length = files.0.borrow().files[name].current.len();
        for at in 0..length {
            for change in [0x01, 0x80, 0xff] {
                let copy = files.copy();
                copy.0.borrow_mut().files.get_mut(name).expect("the file exists").current[at] ^= change;
                match open(&copy, 1) {
                    Ok(store) => {
                        let found = state(&store, 1);
                        assert!(states.contains(&found), "{name}, byte {at}: no earlier state matches");
                        assert!(*name == last, "{name}, byte {at}: damage in the middle was not detected");
                    }
                    Err(Error::Damaged { .. } | Error::UnknownFormat { .. }) => {}
                    Err(other) => panic!("{name}, byte {at}: {other}"),
                }
                copy.kill();
                // Salvage returns only values that were written.
                let salvage = Options { salvage: true, ..options() };
                let (store, _) = Store::open(copy, salvage, 1).expect("salvaged");
                for (key, value) in state(&store, 1) {
                    let was_written = states.iter().any(|state| state.get(&key) == Some(&value));
                    assert!(was_written, "{name}, byte {at}: {key:?} never had this value");
                }
            }
        }
    }
}

/// Runs random writes, syncs, compactions and crashes, and compares the store with the expected state after each step.
fn run_random_operations(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let files = SimulatedDisk::default();
    let mut store = open(&files, 0).expect("opened");
    // The expected states by sequence number. Batches written by compaction change no state.
    let mut states: BTreeMap<u64, Map> = BTreeMap::from([(0, Map::new())]);
    for _ in 0..random.gen_range(10..120) {
        match random.gen_range(0..20) {
            0 => {
                let durable = store.sequences().durable;
                drop(store);
                files.crash(&mut random);
                store = open(&files, 0).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                let found = state(&store, 0);
                let last = store.sequences().last;
                assert!(
                    last >= durable,
                    "seed {seed}: batch {durable} was durable, but the last batch is {last}"
                );
                let (_, expected) = states.range(..=last).next_back().expect("the first");
                assert_eq!(&found, expected, "seed {seed}: not the state after batch {last}");
                states.retain(|number, _| *number <= last);
            }
            1 => store.sync().expect("synced"),
            2..=5 => {
                store.compact(random.gen_range(1..600), 0).expect("compacted");
            }
            _ => {
                let (_, mut map) =
                    states.last_key_value().map(|(number, map)| (*number, map.clone())).expect("some");
                let mut batch = Batch::new();
                for _ in 0..random.gen_range(1..4) {
                    let key = vec![random.gen_range(0..8u8)];
                    if random.gen_bool(0.3) {
                        batch = batch.delete(&key);
                        map.remove(&key);
                    } else {
                        let value: Vec<u8> = (0..random.gen_range(0..60)).map(|_| random.gen()).collect();
                        batch = batch.put(&key, &value);
                        map.insert(key, value);
                    }
                }
                let durability =
                    if random.gen_bool(0.3) { Durability::Immediate } else { Durability::Deferred };
                let number = store.write(&batch, durability, 0).expect("written");
                states.insert(number, map);
            }
        }
        let (_, expected) = states.last_key_value().expect("some");
        assert_eq!(&state(&store, 0), expected, "seed {seed}");
    }
}

#[test]
fn after_any_crash_the_store_is_a_prefix_with_all_durable_batches() {
    (0..1500).for_each(run_random_operations);
}

#[test]
fn compaction_frees_space_and_restores_no_deleted_key() {
    let files = SimulatedDisk::default();
    let mut store = open(&files, 0).expect("opened");
    for step in 0..200u32 {
        let key = (step % 4).to_le_bytes();
        store.write(&Batch::new().put(&key, &[step as u8; 50]), Durability::Deferred, 0).expect("written");
    }
    store.write(&Batch::new().delete(&0u32.to_le_bytes()), Durability::Deferred, 0).expect("deleted");
    let before = store.disk_bytes();
    let expected = state(&store, 0);
    while store.compact(100, 0).expect("compacted") {}
    assert!(store.disk_bytes() < before / 8, "{before} to {}", store.disk_bytes());
    assert_eq!(state(&store, 0), expected);
    drop(store);
    files.kill();
    assert_eq!(state(&open(&files, 0).expect("opened"), 0), expected);
}

#[test]
fn a_batch_that_fills_the_disk_leaves_the_previous_one() {
    for remaining_bytes in 0..90 {
        let files = SimulatedDisk::default();
        let mut store = open(&files, 0).expect("opened");
        store.write(&Batch::new().put(b"a", b"one"), Durability::Immediate, 0).expect("written");
        files.0.borrow_mut().remaining_bytes = Some(remaining_bytes);
        let second =
            store.write(&Batch::new().put(b"a", b"two").put(b"b", &[7; 30]), Durability::Immediate, 0);
        files.0.borrow_mut().remaining_bytes = None;
        let expected: &[u8] = if second.is_ok() { b"two" } else { b"one" };
        assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(expected), "{remaining_bytes}");
        store
            .write(&Batch::new().put(b"c", b"three"), Durability::Immediate, 0)
            .expect("there is space again");
        drop(store);
        files.crash(&mut ChaCha8Rng::seed_from_u64(remaining_bytes));
        let store = open(&files, 0).expect("opened");
        assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(expected), "{remaining_bytes}");
        assert_eq!(store.get(b"c", 0).expect("read").as_deref(), Some(&b"three"[..]), "{remaining_bytes}");
    }
}

#[test]
fn after_a_failed_sync_nothing_is_reported_as_durable() {
    let files = SimulatedDisk::default();
    let mut store = open(&files, 0).expect("opened");
    store.write(&Batch::new().put(b"a", b"1"), Durability::Immediate, 0).expect("written");
    files.0.borrow_mut().fail_sync = true;
    assert!(matches!(
        store.write(&Batch::new().put(b"b", b"2"), Durability::Immediate, 0),
        Err(Error::Sync(_))
    ));
    files.0.borrow_mut().fail_sync = false;
    assert!(matches!(
        store.write(&Batch::new().put(b"c", b"3"), Durability::Immediate, 0),
        Err(Error::Failed)
    ));
    assert!(
        matches!(store.sync(), Err(Error::Failed)),
        "a second sync would report as durable what the disk may have lost"
    );
    assert_eq!(store.sequences().durable, 1);
}

#[test]
fn batches_with_a_sync_deadline_share_one_sync() {
    let files = SimulatedDisk::default();
    let mut store = open(&files, 1000).expect("opened");
    let put = |key: &[u8]| Batch::new().put(key, b"1");
    store.write(&put(b"a"), Durability::Within(50), 1000).expect("written");
    store.write(&put(b"b"), Durability::Within(20), 1010).expect("written");
    store.write(&put(b"c"), Durability::Within(500), 1015).expect("written");
    assert_eq!((store.sync_deadline(), store.sequences()), (Some(1030), Sequences { last: 3, durable: 0 }));
    store.handle_timeout(1029).expect("not yet");
    assert_eq!(store.sequences(), Sequences { last: 3, durable: 0 });
    store.handle_timeout(1030).expect("synced");
    assert_eq!((store.sync_deadline(), store.sequences()), (None, Sequences { last: 3, durable: 3 }));
    store.write(&put(b"d"), Durability::Within(5), 900).expect("written with a clock that was set back");
    assert_eq!(store.sync_deadline(), Some(1035));
}

/// Decoding truncated, shifted and changed frames never panics, and returns a frame only at the offset it was encoded for.
#[test]
fn arbitrary_bytes_do_not_break_the_frame_decoder() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut builder = FrameBuilder::default();
        for _ in 0..random.gen_range(0..4) {
            let bytes = |random: &mut ChaCha8Rng| {
                (0..random.gen_range(0..20)).map(|_| random.gen()).collect::<Vec<u8>>()
            };
            let key = bytes(&mut random);
            let value = bytes(&mut random);
            builder.push(
                if random.gen() { OperationKind::Put } else { OperationKind::Delete },
                random.gen(),
                &key,
                &value,
            );
        }
        let segment = random.gen_range(0..3);
        let offset = random.gen_range(0..100);
        let header = FrameHeader { sequence: 7, durable_sequence: 6, written_at: 5 };
        let encoded = builder.encode(segment, offset, header);
        let read = frame::decode(&encoded, segment, offset).expect("decoded");
        assert_eq!((read.header, read.length), (header, encoded.len()));
        assert_eq!(read.operations().count(), builder.count() as usize);
        assert_eq!(frame::decode(&encoded, segment, offset + 1), None, "another offset");
        assert_eq!(frame::decode(&encoded, segment + 1, offset), None, "another segment");
        let mut damaged = encoded.clone();
        match random.gen_range(0..4) {
            0 => damaged.truncate(random.gen_range(0..encoded.len())),
            1 => drop(damaged.drain(..random.gen_range(1..encoded.len()))),
            2 => {
                let at = random.gen_range(0..damaged.len());
                damaged[at] ^= random.gen_range(1..=255u8);
            }
            _ => damaged[..4].copy_from_slice(&random.gen::<[u8; 4]>()),
        }
        if damaged[..] != encoded[..] {
            assert_eq!(frame::decode(&damaged, segment, offset), None);
        }
    }
}

#[test]
fn a_clock_that_is_set_back_restores_no_expired_value() {
    let files = SimulatedDisk::default();
    let mut store = open(&files, 1000).expect("opened");
    store
        .write(&Batch::new().put_until(b"a", b"1", 2000).put(b"b", b"2"), Durability::Immediate, 1000)
        .expect("written");
    assert!(store.get(b"a", 1999).expect("read").is_some());
    assert!(store.get(b"a", 2000).expect("read").is_none());
    store.write(&Batch::new().put(b"c", b"3"), Durability::Immediate, 2000).expect("written");
    drop(store);
    files.kill();
    let store = open(&files, 500).expect("opened");
    assert!(store.get(b"a", 500).expect("read").is_none());
    assert_eq!(state(&store, 500).len(), 2);
}

#[test]
fn a_frame_within_a_value_is_not_decoded() {
    let (files, _) = write_batches();
    let names: Vec<String> = files.0.borrow().files.keys().cloned().collect();
    let inner = files.0.borrow().files[&names[0]].current.clone();
    let other = SimulatedDisk::default();
    let mut store = open(&other, 0).expect("opened");
    store.write(&Batch::new().put(b"v", &inner), Durability::Immediate, 0).expect("written");
    let expected = state(&store, 0);
    drop(store);
    other.kill();
    // The damaged header makes the outer frame invalid. The frames in its value must not be decoded instead.
    let name = other.0.borrow().files.keys().next().expect("one").clone();
    other.0.borrow_mut().files.get_mut(&name).expect("the file exists").current[20] ^= 1;
    let store = open(&other, 0).expect("the torn end is truncated");
    assert_eq!((state(&store, 0), expected.len()), (Map::new(), 1));
}

#[test]
fn writes_beyond_the_limits_are_rejected_and_deletions_are_accepted() {
    let limits = Options { max_disk_bytes: 600, max_index_bytes: 200, ..options() };
    let (mut store, _) = Store::open(SimulatedDisk::default(), limits, 0).expect("opened");
    let put = |key: &[u8], size| Batch::new().put(key, &vec![1; size]);
    store.write(&put(b"a", 10), Durability::Deferred, 0).expect("written");
    store.write(&put(b"b", 10), Durability::Deferred, 0).expect("written");
    assert!(matches!(store.write(&put(b"c", 10), Durability::Deferred, 0), Err(Error::IndexBound { .. })));
    assert!(matches!(store.write(&put(b"a", 900), Durability::Deferred, 0), Err(Error::DiskBound { .. })));
    store.write(&Batch::new().delete(b"b"), Durability::Deferred, 0).expect("deleted");
    store.write(&put(b"c", 10), Durability::Deferred, 0).expect("there is space again");
    let long = Batch::new().put(&vec![0; 100_000], b"");
    assert!(matches!(store.write(&long, Durability::Deferred, 0), Err(Error::TooLong { what: "key", .. })));
    assert_eq!(state(&store, 0).len(), 2);
}

#[test]
fn a_directory_is_locked_by_one_process_and_keeps_its_data() {
    let directory = tempfile::tempdir().expect("a directory");
    let files = || fernscale_store::files::DiskDirectory::new(directory.path()).expect("made");
    let (mut store, _) = Store::open(files(), Options::default(), 0).expect("opened");
    store.write(&Batch::new().put(b"a", b"1"), Durability::Immediate, 0).expect("written");
    assert!(matches!(Store::open(files(), Options::default(), 0), Err(Error::Locked)));
    drop(store);
    let (store, report) = Store::open(files(), Options::default(), 0).expect("opened");
    assert_eq!((store.get(b"a", 0).expect("read"), report.batches), (Some(b"1".to_vec()), 1));
}
