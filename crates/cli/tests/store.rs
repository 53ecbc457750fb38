//! `fernscale store`: its commands and their output, on intact, torn and damaged stores.

use std::path::Path;
use std::process::{Command, Output};

fn store(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fernscale"))
        .arg("store")
        .args(arguments)
        .output()
        .expect("the command runs")
}

fn succeeds(arguments: &[&str]) -> String {
    let output = store(arguments);
    assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

fn fails(arguments: &[&str]) -> String {
    let output = store(arguments);
    assert_eq!(output.status.code(), Some(1), "{arguments:?}");
    String::from_utf8(output.stderr).expect("text")
}

fn segment(folder: &Path) -> std::path::PathBuf {
    let mut files: Vec<_> =
        std::fs::read_dir(folder).expect("a folder").flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "log"));
    files.into_iter().max().expect("a segment")
}

#[test]
fn a_value_is_readable_until_it_is_deleted() {
    let folder = tempfile::tempdir().expect("a folder");
    let store_path = folder.path().join("store").display().to_string();
    assert!(fails(&["get", &store_path, "a"]).contains("is not a folder"));
    succeeds(&["put", &store_path, "a", "one"]);
    succeeds(&["put", &store_path, "b", "two \"quoted\""]);
    succeeds(&["put", &store_path, "a", "three"]);
    assert_eq!(succeeds(&["get", &store_path, "a"]), "three\n");
    let dump = succeeds(&["dump", &store_path]);
    assert_eq!(
        dump,
        "{\"key\":\"a\",\"value\":\"three\"}\n{\"key\":\"b\",\"value\":\"two \\\"quoted\\\"\"}\n"
    );
    assert_eq!(succeeds(&["dump", &store_path, "--prefix", "b"]).lines().count(), 1);
    assert!(succeeds(&["verify", &store_path]).contains("good; 3 batches, 2 keys"));
    succeeds(&["delete", &store_path, "a"]);
    assert!(fails(&["get", &store_path, "a"]).contains("no key 'a'"));
    let copy = folder.path().join("copy").display().to_string();
    succeeds(&["snapshot", &store_path, &copy]);
    assert_eq!(succeeds(&["dump", &copy]), succeeds(&["dump", &store_path]));
    assert!(fails(&["snapshot", &store_path, &copy]).contains("is not empty"));
}

#[test]
fn a_torn_end_is_reported_and_a_damaged_store_opens_by_salvage_only() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store");
    let store_path = path.display().to_string();
    for key in ["a", "b", "c"] {
        succeeds(&["put", &store_path, key, "value"]);
    }
    let file = segment(&path);
    let whole = std::fs::read(&file).expect("read");
    std::fs::write(&file, &whole[..whole.len() - 3]).expect("cut");
    let output = store(&["dump", &store_path]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("a torn end was cut: segment 1, byte"));
    assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 2);
    let mut damaged = whole;
    damaged[40] ^= 0xff;
    std::fs::write(&file, damaged).expect("damaged");
    let error = fails(&["verify", &store_path]);
    assert!(error.contains("segment 1 is damaged at byte 16"), "{error}");
    let salvaged = folder.path().join("salvaged").display().to_string();
    succeeds(&["salvage", &store_path, &salvaged]);
    assert_eq!(succeeds(&["dump", &salvaged]).lines().count(), 2);
}
