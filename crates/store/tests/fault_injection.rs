//! The store in a real directory with injected faults: a quota, slow syncs and failed syncs. Durable batches survive them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fernscale_store::fault_injection::{Faults, FaultyDirectory};
use fernscale_store::files::DiskDirectory;
use fernscale_store::{Batch, Durability, Options, Store};

fn open(directory: &tempfile::TempDir, faults: &Rc<Faults>) -> Store<FaultyDirectory<DiskDirectory>> {
    let files = FaultyDirectory::new(DiskDirectory::new(directory.path()).expect("a directory"), faults);
    Store::open(files, Options::default(), 0).expect("opened").0
}

#[test]
fn a_full_directory_rejects_writes_until_there_is_space_and_keeps_its_data() {
    let directory = tempfile::tempdir().expect("a directory");
    let faults = Rc::new(Faults::default());
    let mut store = open(&directory, &faults);
    store.write(&Batch::new().put(b"a", b"one"), Durability::Immediate, 0).expect("written");
    faults.quota_bytes.set(Some(store.disk_bytes() + 10));
    let long = [7; 100];
    assert!(
        store.write(&Batch::new().put(b"b", &long), Durability::Immediate, 0).is_err(),
        "the directory is full"
    );
    faults.quota_bytes.set(None);
    store.write(&Batch::new().put(b"c", &long), Durability::Immediate, 0).expect("there is space again");
    drop(store);
    let store = open(&directory, &Rc::default());
    assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(&b"one"[..]));
    assert_eq!(store.get(b"b", 0).expect("read"), None);
    assert_eq!(store.get(b"c", 0).expect("read").as_deref(), Some(&long[..]));
}

#[test]
fn a_failed_sync_is_an_error_and_a_slow_one_is_awaited() {
    let directory = tempfile::tempdir().expect("a directory");
    let faults = Rc::new(Faults::default());
    let mut store = open(&directory, &faults);
    faults.sync_delay.set(Duration::from_millis(60));
    let started = Instant::now();
    store.write(&Batch::new().put(b"a", b"one"), Durability::Immediate, 0).expect("written");
    assert!(started.elapsed() >= Duration::from_millis(60));
    faults.sync_delay.set(Duration::ZERO);
    faults.sync_fails.set(true);
    assert!(store.write(&Batch::new().put(b"b", b"two"), Durability::Immediate, 0).is_err());
    drop(store);
    faults.sync_fails.set(false);
    let store = open(&directory, &faults);
    assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(&b"one"[..]));
}
