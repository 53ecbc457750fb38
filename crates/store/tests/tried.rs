//! A real folder that is full, slow or failing on purpose bites, and what was durable before is there afterwards.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fernscale_store::files::Folder;
use fernscale_store::tried::{Tried, Wrong};
use fernscale_store::{Batch, Durability, Options, Store};

fn open(folder: &tempfile::TempDir, wrong: &Rc<Wrong>) -> Store<Tried<Folder>> {
    let files = Tried::new(Folder::new(folder.path()).expect("a folder"), wrong);
    Store::open(files, Options::default(), 0).expect("opened").0
}

#[test]
fn a_full_folder_takes_no_more_until_there_is_room_and_keeps_what_it_has() {
    let folder = tempfile::tempdir().expect("a folder");
    let wrong = Rc::new(Wrong::default());
    let mut store = open(&folder, &wrong);
    store.write(&Batch::new().put(b"a", b"one"), Durability::Now, 0).expect("written");
    wrong.quota.set(Some(store.on_disk() + 10));
    let long = [7; 100];
    assert!(store.write(&Batch::new().put(b"b", &long), Durability::Now, 0).is_err(), "it is full");
    wrong.quota.set(None);
    store.write(&Batch::new().put(b"c", &long), Durability::Now, 0).expect("there is room again");
    drop(store);
    let store = open(&folder, &Rc::default());
    assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(&b"one"[..]));
    assert_eq!(store.get(b"b", 0).expect("read"), None);
    assert_eq!(store.get(b"c", 0).expect("read").as_deref(), Some(&long[..]));
}

#[test]
fn a_sync_that_fails_is_no_yes_and_one_that_is_slow_is_waited_for() {
    let folder = tempfile::tempdir().expect("a folder");
    let wrong = Rc::new(Wrong::default());
    let mut store = open(&folder, &wrong);
    wrong.slow.set(Duration::from_millis(60));
    let began = Instant::now();
    store.write(&Batch::new().put(b"a", b"one"), Durability::Now, 0).expect("written");
    assert!(began.elapsed() >= Duration::from_millis(60));
    wrong.slow.set(Duration::ZERO);
    wrong.fails.set(true);
    assert!(store.write(&Batch::new().put(b"b", b"two"), Durability::Now, 0).is_err());
    drop(store);
    wrong.fails.set(false);
    let store = open(&folder, &wrong);
    assert_eq!(store.get(b"a", 0).expect("read").as_deref(), Some(&b"one"[..]));
}
