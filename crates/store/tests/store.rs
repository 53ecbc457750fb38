//! The store under cuts, flips, crashes, full disks and clocks that go back: always a prefix of the batches, never garbage.

mod shaky;

use std::collections::BTreeMap;

use fernscale_store::frame::{self, FrameBuilder, OperationKind};
use fernscale_store::{Batch, Durability, Error, Options, Store};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shaky::Shaky;

type Map = BTreeMap<Vec<u8>, Vec<u8>>;

fn options() -> Options {
    Options { max_segment_bytes: 400, ..Options::default() }
}

fn state(store: &Store<Shaky>, now: u64) -> Map {
    store.scan(b"", None, usize::MAX, now).expect("read").into_iter().collect()
}

fn open(files: &Shaky, now: u64) -> Result<Store<Shaky>, Error> {
    Store::open(files.clone(), options(), now).map(|(store, _)| store)
}

/// Some batches over several segments; the files, and the state after each batch.
fn written() -> (Shaky, Vec<Map>) {
    let files = Shaky::default();
    let mut store = open(&files, 1).expect("opened");
    let (mut states, mut map) = (vec![Map::new()], Map::new());
    for step in 0..14u8 {
        let (key, value) = (vec![b'k', step % 5], vec![step; 10 + 5 * step as usize]);
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
fn cut_at_any_byte_it_is_at_the_last_whole_batch() {
    let (files, states) = written();
    let names: Vec<String> = files.0.borrow().files.keys().cloned().collect();
    assert!(names.len() >= 3, "several segments: {names:?}");
    let mut before = states.len();
    for (place, name) in names.iter().enumerate().rev() {
        let length = files.0.borrow().files[name].now.len();
        for cut in (0..=length).rev() {
            let left = files.copy();
            {
                let mut disk = left.0.borrow_mut();
                names[place + 1..].iter().for_each(|later| drop(disk.files.remove(later)));
                disk.files.get_mut(name).expect("there").now.truncate(cut);
            }
            let store = open(&left, 1).unwrap_or_else(|why| panic!("{name} cut at {cut}: {why}"));
            let found = state(&store, 1);
            let at = states.iter().rposition(|state| *state == found);
            let at = at.unwrap_or_else(|| panic!("{name} cut at {cut}: no state that ever was: {found:?}"));
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
fn with_any_byte_changed_it_is_refused_or_at_an_earlier_batch() {
    let (files, states) = written();
    let names: Vec<String> = files.0.borrow().files.keys().cloned().collect();
    let last = names.last().expect("some").clone();
    for name in &names {
        let length = files.0.borrow().files[name].now.len();
        for at in 0..length {
            for change in [0x01, 0x80, 0xff] {
                let left = files.copy();
                left.0.borrow_mut().files.get_mut(name).expect("there").now[at] ^= change;
                match open(&left, 1) {
                    Ok(store) => {
                        let found = state(&store, 1);
                        assert!(states.contains(&found), "{name}, byte {at}: a state that never was");
                        assert!(*name == last, "{name}, byte {at}: damage in the middle went unseen");
                    }
                    Err(Error::Damaged { .. } | Error::UnknownFormat { .. }) => {}
                    Err(other) => panic!("{name}, byte {at}: {other}"),
                }
                left.kill();
                // What is left round it is all of values that once were.
                let salvage = Options { salvage: true, ..options() };
                let (store, _) = Store::open(left, salvage, 1).expect("salvaged");
                for (key, value) in state(&store, 1) {
                    let was = states.iter().any(|state| state.get(&key) == Some(&value));
                    assert!(was, "{name}, byte {at}: {key:?} never had that");
                }
            }
        }
    }
}

/// Random writes, syncs, compactions and crashes, beside the states after each batch.
fn life(seed: u64) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let files = Shaky::default();
    let mut store = open(&files, 0).expect("opened");
    // By the number of the batch; compaction's own change nothing.
    let mut states: BTreeMap<u64, Map> = BTreeMap::from([(0, Map::new())]);
    for _ in 0..chance.gen_range(10..120) {
        match chance.gen_range(0..20) {
            0 => {
                let durable = store.sequences().1;
                drop(store);
                files.crash(&mut chance);
                store = open(&files, 0).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
                let (found, last) = (state(&store, 0), store.sequences().0);
                assert!(last >= durable, "seed {seed}: {durable} were durable, {last} are there");
                let (_, expected) = states.range(..=last).next_back().expect("the first");
                assert_eq!(&found, expected, "seed {seed}: not the state after batch {last}");
                states.retain(|number, _| *number <= last);
            }
            1 => store.sync().expect("synced"),
            2..=5 => {
                store.compact(chance.gen_range(1..600), 0).expect("compacted");
            }
            _ => {
                let (_, mut map) =
                    states.last_key_value().map(|(number, map)| (*number, map.clone())).expect("some");
                let mut batch = Batch::new();
                for _ in 0..chance.gen_range(1..4) {
                    let key = vec![chance.gen_range(0..8u8)];
                    if chance.gen_bool(0.3) {
                        batch = batch.delete(&key);
                        map.remove(&key);
                    } else {
                        let value: Vec<u8> = (0..chance.gen_range(0..60)).map(|_| chance.gen()).collect();
                        batch = batch.put(&key, &value);
                        map.insert(key, value);
                    }
                }
                let durability =
                    if chance.gen_bool(0.3) { Durability::Immediate } else { Durability::Deferred };
                let number = store.write(&batch, durability, 0).expect("written");
                states.insert(number, map);
            }
        }
        let (_, expected) = states.last_key_value().expect("some");
        assert_eq!(&state(&store, 0), expected, "seed {seed}");
    }
}

#[test]
fn after_any_life_and_any_crash_it_is_a_prefix_that_has_all_that_was_durable() {
    (0..1500).for_each(life);
}

#[test]
fn compaction_gives_room_back_and_brings_no_deleted_key_back() {
    let files = Shaky::default();
    let mut store = open(&files, 0).expect("opened");
    for step in 0..200u32 {
        let key = (step % 4).to_le_bytes();
        store.write(&Batch::new().put(&key, &[step as u8; 50]), Durability::Deferred, 0).expect("written");
    }
    store.write(&Batch::new().delete(&0u32.to_le_bytes()), Durability::Deferred, 0).expect("deleted");
    let (before, expected) = (store.disk_bytes(), state(&store, 0));
    while store.compact(100, 0).expect("compacted") {}
    assert!(store.disk_bytes() < before / 8, "{before} to {}", store.disk_bytes());
    assert_eq!(state(&store, 0), expected);
    drop(store);
    files.kill();
    assert_eq!(state(&open(&files, 0).expect("opened"), 0), expected);
}

#[test]
fn a_disk_that_is_full_in_the_middle_of_a_batch_keeps_the_one_before() {
    for room in 0..90 {
        let files = Shaky::default();
        let mut store = open(&files, 0).expect("opened");
        store.write(&Batch::new().put(b"a", b"one"), Durability::Immediate, 0).expect("written");
        files.0.borrow_mut().room = Some(room);
        let second =
            store.write(&Batch::new().put(b"a", b"two").put(b"b", &[7; 30]), Durability::Immediate, 0);
        files.0.borrow_mut().room = None;
        let expected: &[u8] = if second.is_ok() { b"two" } else { b"one" };
        assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(expected), "{room}");
        store
            .write(&Batch::new().put(b"c", b"three"), Durability::Immediate, 0)
            .expect("there is room again");
        drop(store);
        files.crash(&mut ChaCha8Rng::seed_from_u64(room));
        let store = open(&files, 0).expect("opened");
        assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(expected), "{room}");
        assert_eq!(store.get(b"c", 0).expect("read").as_deref(), Some(&b"three"[..]), "{room}");
    }
}

#[test]
fn what_could_not_be_made_durable_is_not_taken_for_it() {
    let files = Shaky::default();
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
        "the second try would say what the disk does not know"
    );
    assert_eq!(store.sequences().1, 1);
}

#[test]
fn batches_that_are_to_be_durable_within_a_time_share_one_sync() {
    let files = Shaky::default();
    let mut store = open(&files, 1000).expect("opened");
    let put = |key: &[u8]| Batch::new().put(key, b"1");
    store.write(&put(b"a"), Durability::Within(50), 1000).expect("written");
    store.write(&put(b"b"), Durability::Within(20), 1010).expect("written");
    store.write(&put(b"c"), Durability::Within(500), 1015).expect("written");
    assert_eq!((store.due(), store.sequences()), (Some(1030), (3, 0)));
    store.tick(1029).expect("not yet");
    assert_eq!(store.sequences(), (3, 0));
    store.tick(1030).expect("synced");
    assert_eq!((store.due(), store.sequences()), (None, (3, 3)));
    store.write(&put(b"d"), Durability::Within(5), 900).expect("a clock that went back");
    assert_eq!(store.due(), Some(1035));
}

/// Bytes of any kind, with good frames among them that are cut, joined and changed: none of it panics, and what is read
/// is what was written at that place.
#[test]
fn no_bytes_break_the_reader_of_frames() {
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut builder = FrameBuilder::default();
        for _ in 0..chance.gen_range(0..4) {
            let bytes = |chance: &mut ChaCha8Rng| {
                (0..chance.gen_range(0..20)).map(|_| chance.gen()).collect::<Vec<u8>>()
            };
            let (key, value) = (bytes(&mut chance), bytes(&mut chance));
            builder.push(
                if chance.gen() { OperationKind::Put } else { OperationKind::Delete },
                chance.gen(),
                &key,
                &value,
            );
        }
        let (segment, place) = (chance.gen_range(0..3), chance.gen_range(0..100));
        let whole = builder.frame(segment, place, (7, 6), 5);
        let read = frame::decode(&whole, segment, place).expect("as it was written");
        assert_eq!(
            (read.sequence, read.durable_sequence, read.written_at, read.length),
            (7, 6, 5, whole.len())
        );
        assert_eq!(read.operations().count(), builder.count() as usize);
        assert_eq!(frame::decode(&whole, segment, place + 1), None, "another place");
        assert_eq!(frame::decode(&whole, segment + 1, place), None, "another segment");
        let mut bad = whole.clone();
        match chance.gen_range(0..4) {
            0 => bad.truncate(chance.gen_range(0..whole.len())),
            1 => drop(bad.drain(..chance.gen_range(1..whole.len()))),
            2 => {
                let at = chance.gen_range(0..bad.len());
                bad[at] ^= chance.gen_range(1..=255u8);
            }
            _ => bad[..4].copy_from_slice(&chance.gen::<[u8; 4]>()),
        }
        if bad[..] != whole[..] {
            assert_eq!(frame::decode(&bad, segment, place), None);
        }
    }
}

#[test]
fn a_clock_that_goes_back_brings_nothing_back() {
    let files = Shaky::default();
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
fn a_frame_in_anothers_value_is_no_frame() {
    let (files, _) = written();
    let names: Vec<String> = files.0.borrow().files.keys().cloned().collect();
    let inner = files.0.borrow().files[&names[0]].now.clone();
    let other = Shaky::default();
    let mut store = open(&other, 0).expect("opened");
    store.write(&Batch::new().put(b"v", &inner), Durability::Immediate, 0).expect("written");
    let expected = state(&store, 0);
    drop(store);
    other.kill();
    // Damaged in its head, the outer one is not there, and what is in it is not either.
    let name = other.0.borrow().files.keys().next().expect("one").clone();
    other.0.borrow_mut().files.get_mut(&name).expect("there").now[20] ^= 1;
    let store = open(&other, 0).expect("the torn end is cut");
    assert_eq!((state(&store, 0), expected.len()), (Map::new(), 1));
}

#[test]
fn bounds_refuse_and_deleting_is_the_way_out() {
    let bounds = Options { max_disk_bytes: 600, max_index_bytes: 200, ..options() };
    let (mut store, _) = Store::open(Shaky::default(), bounds, 0).expect("opened");
    let put = |key: &[u8], size| Batch::new().put(key, &vec![1; size]);
    store.write(&put(b"a", 10), Durability::Deferred, 0).expect("written");
    store.write(&put(b"b", 10), Durability::Deferred, 0).expect("written");
    assert!(matches!(store.write(&put(b"c", 10), Durability::Deferred, 0), Err(Error::IndexBound { .. })));
    assert!(matches!(store.write(&put(b"a", 900), Durability::Deferred, 0), Err(Error::DiskBound { .. })));
    store.write(&Batch::new().delete(b"b"), Durability::Deferred, 0).expect("deleted");
    store.write(&put(b"c", 10), Durability::Deferred, 0).expect("there is room again");
    let long = Batch::new().put(&vec![0; 100_000], b"");
    assert!(matches!(store.write(&long, Durability::Deferred, 0), Err(Error::TooLong { what: "key", .. })));
    assert_eq!(state(&store, 0).len(), 2);
}

#[test]
fn one_folder_is_one_processes_and_a_real_folder_keeps_what_it_has() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = || fernscale_store::files::DiskDirectory::new(folder.path()).expect("made");
    let (mut store, _) = Store::open(files(), Options::default(), 0).expect("opened");
    store.write(&Batch::new().put(b"a", b"1"), Durability::Immediate, 0).expect("written");
    assert!(matches!(Store::open(files(), Options::default(), 0), Err(Error::Locked)));
    drop(store);
    let (store, report) = Store::open(files(), Options::default(), 0).expect("opened");
    assert_eq!((store.get(b"a", 0).expect("read"), report.batches), (Some(b"1".to_vec()), 1));
}
