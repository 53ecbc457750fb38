//! A real folder that is full, slow or failing on purpose bites, and what was durable before is there afterwards.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fernscale_store::fault_injection::{Faults, FaultyDirectory};
use fernscale_store::files::DiskDirectory;
use fernscale_store::{Batch, Durability, Options, Store};

fn open(folder: &tempfile::TempDir, wrong: &Rc<Faults>) -> Store<FaultyDirectory<DiskDirectory>> {
    let files = FaultyDirectory::new(DiskDirectory::new(folder.path()).expect("a folder"), wrong);
    Store::open(files, Options::default(), 0).expect("opened").0
}

#[test]
fn a_full_folder_takes_no_more_until_there_is_room_and_keeps_what_it_has() {
    let folder = tempfile::tempdir().expect("a folder");
    let wrong = Rc::new(Faults::default());
    let mut store = open(&folder, &wrong);
    store.write(&Batch::new().put(b"a", b"one"), Durability::Immediate, 0).expect("written");
    wrong.quota_bytes.set(Some(store.disk_bytes() + 10));
    let long = [7; 100];
    assert!(store.write(&Batch::new().put(b"b", &long), Durability::Immediate, 0).is_err(), "it is full");
    wrong.quota_bytes.set(None);
    store.write(&Batch::new().put(b"c", &long), Durability::Immediate, 0).expect("there is room again");
    drop(store);
    let store = open(&folder, &Rc::default());
    assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(&b"one"[..]));
    assert_eq!(store.get(b"b", 0).expect("read"), None);
    assert_eq!(store.get(b"c", 0).expect("read").as_deref(), Some(&long[..]));
}

#[test]
fn a_sync_that_fails_is_no_yes_and_one_that_is_slow_is_waited_for() {
    let folder = tempfile::tempdir().expect("a folder");
    let wrong = Rc::new(Faults::default());
    let mut store = open(&folder, &wrong);
    wrong.sync_delay.set(Duration::from_millis(60));
    let began = Instant::now();
    store.write(&Batch::new().put(b"a", b"one"), Durability::Immediate, 0).expect("written");
    assert!(began.elapsed() >= Duration::from_millis(60));
    wrong.sync_delay.set(Duration::ZERO);
    wrong.sync_fails.set(true);
    assert!(store.write(&Batch::new().put(b"b", b"two"), Durability::Immediate, 0).is_err());
    drop(store);
    wrong.sync_fails.set(false);
    let store = open(&folder, &wrong);
    assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(&b"one"[..]));
}
