//! `fernscale store`: its commands on intact, torn and damaged stores, and what they print.

use std::path::Path;
use std::process::{Command, Output};

fn store(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fernscale")).arg("store").args(arguments).output().expect("it runs")
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
    let at = folder.path().join("store").display().to_string();
    assert!(fails(&["get", &at, "a"]).contains("is no folder"));
    succeeds(&["put", &at, "a", "one"]);
    succeeds(&["put", &at, "b", "two \"quoted\""]);
    succeeds(&["put", &at, "a", "three"]);
    assert_eq!(succeeds(&["get", &at, "a"]), "three\n");
    let dump = succeeds(&["dump", &at]);
    assert_eq!(
        dump,
        "{\"key\":\"a\",\"value\":\"three\"}\n{\"key\":\"b\",\"value\":\"two \\\"quoted\\\"\"}\n"
    );
    assert_eq!(succeeds(&["dump", &at, "--prefix", "b"]).lines().count(), 1);
    assert!(succeeds(&["verify", &at]).contains("good; 3 batches, 2 keys"));
    succeeds(&["delete", &at, "a"]);
    assert!(fails(&["get", &at, "a"]).contains("no key 'a'"));
    let copy = folder.path().join("copy").display().to_string();
    succeeds(&["snapshot", &at, &copy]);
    assert_eq!(succeeds(&["dump", &copy]), succeeds(&["dump", &at]));
    assert!(fails(&["snapshot", &at, &copy]).contains("is not empty"));
}

#[test]
fn a_torn_end_is_reported_and_a_damaged_store_opens_by_salvage_only() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store");
    let at = path.display().to_string();
    for key in ["a", "b", "c"] {
        succeeds(&["put", &at, key, "value"]);
    }
    let file = segment(&path);
    let whole = std::fs::read(&file).expect("read");
    std::fs::write(&file, &whole[..whole.len() - 3]).expect("cut");
    let output = store(&["dump", &at]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("a torn end was cut: segment 1, byte"));
    assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 2);
    let mut spoilt = whole;
    spoilt[40] ^= 0xff;
    std::fs::write(&file, spoilt).expect("spoilt");
    let why = fails(&["verify", &at]);
    assert!(why.contains("segment 1 is damaged at byte 16"), "{why}");
    let rest = folder.path().join("rest").display().to_string();
    succeeds(&["salvage", &at, &rest]);
    assert_eq!(succeeds(&["dump", &rest]).lines().count(), 2);
}
