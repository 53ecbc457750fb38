//! Guards compatibility of stored data: this version opens a directory that the first version wrote, with all its data, and
//! writes identical bytes.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use fernscale_store::files::DiskDirectory;
use fernscale_store::{Batch, Durability, Options, Sequences, Store};

const NOW: u64 = 1_700_000_000_000;
const SEGMENTS: usize = 6;

fn recorded_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/first_version")
}

fn options() -> Options {
    Options { max_segment_bytes: 400, ..Options::default() }
}

fn open_store(directory: &Path) -> Store<DiskDirectory> {
    let files = DiskDirectory::new(directory).expect("a directory");
    Store::open(files, options(), NOW).expect("opened").0
}

/// Reads the segments of a directory, by file name.
fn segments(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = std::fs::read_dir(directory).expect("a directory").map(|entry| entry.expect("a file").path());
    let logs = files.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
    let file_name = |path: PathBuf| path.file_name().expect("a name").to_string_lossy().into_owned();
    logs.map(|path| (file_name(path.clone()), std::fs::read(path).expect("read"))).collect()
}

/// Writes lease keys and other keys: values that are replaced, deleted, expired, and not yet expired.
fn write_batches(directory: &Path) {
    let mut store = open_store(directory);
    for step in 0..12u64 {
        let batch = Batch::new()
            .put(b"owner/head", &[step as u8; 20])
            .put(format!("owner/promise/job-{}", step % 5).as_bytes(), &step.to_le_bytes())
            .put_until(format!("span/{step}").as_bytes(), b"ends", NOW + 1_000 * (step % 2) + 1)
            .delete(format!("owner/promise/job-{}", (step + 3) % 5).as_bytes());
        store.write(&batch, Durability::Immediate, NOW + step).expect("written");
    }
}

#[test]
fn a_directory_of_the_first_version_opens_with_all_its_data() {
    let copy = tempfile::tempdir().expect("a directory");
    let segments = segments(&recorded_directory());
    assert_eq!(segments.len(), SEGMENTS);
    for (name, bytes) in &segments {
        std::fs::write(copy.path().join(name), bytes).expect("copied");
    }
    let store = open_store(copy.path());
    assert_eq!((store.sequences(), store.len()), (Sequences { last: 12, durable: 12 }, 15));
    let promise =
        |job: u64| store.get(format!("owner/promise/job-{job}").as_bytes(), NOW + 20).expect("read");
    assert_eq!(store.get(b"owner/head", NOW + 20).expect("read"), Some(vec![11; 20]));
    let promises: Vec<Option<Vec<u8>>> = (0..5).map(promise).collect();
    let written = |step: u64| Some(step.to_le_bytes().to_vec());
    assert_eq!(promises, [written(10), written(11), None, None, None]);
    let spans = store.scan(b"span/", None, usize::MAX, NOW + 20).expect("read");
    assert!(spans.iter().all(|(_, value)| value == b"ends"));
    assert_eq!(spans.len(), 6);
}

#[test]
fn this_version_writes_the_same_bytes_as_the_first_version() {
    let directory = tempfile::tempdir().expect("a directory");
    write_batches(directory.path());
    assert_eq!(segments(directory.path()), segments(&recorded_directory()));
}
