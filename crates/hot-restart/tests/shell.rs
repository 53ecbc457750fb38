//! Tests of the record directory: locks, replaced records, and truncated or corrupt records.

use std::fs;
use std::path::Path;

use fernscale_hot_restart::directory::{RecordDirectory, Records};
use fernscale_hot_restart::state::{HotRestart, ProcessRecord};

fn record(server: &str) -> ProcessRecord {
    let mut core = HotRestart::new(1, 100);
    core.set_cordon(server, true, 7);
    core.record()
}

fn files_in(directory: &Path) -> Vec<std::path::PathBuf> {
    let mut files: Vec<_> = fs::read_dir(directory.join("fernscale"))
        .expect("a directory")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    files.sort();
    files
}

#[test]
fn a_record_is_read_by_the_other_process_and_a_lock_ends_with_its_owner() {
    let shared = tempfile::tempdir().expect("a directory");
    let old = RecordDirectory::open(shared.path()).expect("opened");
    let new = RecordDirectory::open(shared.path()).expect("opened");
    assert!(new.generation() > old.generation());
    old.write(&record("s0")).expect("written");
    let Records { others, errors } = new.read();
    assert!(errors.is_empty());
    assert_eq!(others.len(), 1);
    assert!(others[0].is_alive && others[0].generation == old.generation());
    assert_eq!(others[0].record, Some(record("s0")));
    let ended_generation = old.generation();
    drop(old);
    let Records { others, .. } = new.read();
    assert!(!others[0].is_alive && others[0].record.is_some());
    new.clear(ended_generation);
    assert!(new.read().others.is_empty());
}

#[test]
fn truncated_or_corrupt_records_are_rejected_whole_and_named() {
    let shared = tempfile::tempdir().expect("a directory");
    let ended = RecordDirectory::open(shared.path()).expect("opened");
    ended.write(&record("s0")).expect("written");
    drop(ended);
    let file =
        files_in(shared.path()).into_iter().find(|file| file.extension().is_some_and(|kind| kind == "json"));
    let file = file.expect("a record");
    let intact = fs::read(&file).expect("read");
    let new = RecordDirectory::open(shared.path()).expect("opened");
    let truncated = (0..intact.len() - 1).map(|length| intact[..length].to_vec());
    let corrupted = (0..intact.len() - 1).map(|at| {
        let mut bytes = intact.clone();
        bytes[at] ^= 0x04;
        bytes
    });
    for bytes in truncated.chain(corrupted).chain([vec![0xff; 64], vec![b'x'; 2_000_000]]) {
        fs::write(&file, &bytes).expect("written");
        let Records { others, errors } = new.read();
        assert!(
            others.iter().all(|other| other.record.is_none()),
            "{:?}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(99)])
        );
        assert!(errors.len() == 1 && errors[0].to_string().contains(".json"));
    }
    fs::write(&file, &intact).expect("written");
    assert_eq!(new.read().others[0].record, Some(record("s0")));
}

#[test]
fn an_unusable_directory_is_an_error_that_names_it() {
    let shared = tempfile::tempdir().expect("a directory");
    let file = shared.path().join("file");
    fs::write(&file, "x").expect("written");
    let error = RecordDirectory::open(&file).expect_err("not a directory");
    assert!(error.to_string().contains("fernscale"), "{error}");
}
