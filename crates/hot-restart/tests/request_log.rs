//! The log of requests that the processes of a gateway share.

use fernscale_hot_restart::request_log::{RequestLogReader, RequestLogWriter};

#[test]
fn a_reader_gets_each_request_once_and_a_late_one_gets_the_latest() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("log");
    let mut writer = RequestLogWriter::create(&path).expect("created");
    let mut reader = RequestLogReader::open(&path).expect("opened");
    assert!(reader.read_new().expect("read").is_empty());
    // More than two rounds of the ring, read in steps that cross its end.
    for first in (0..150_000).step_by(1_000) {
        (first..first + 1_000).for_each(|request| writer.append(request).expect("written"));
        assert_eq!(reader.read_new().expect("read"), (first..first + 1_000).collect::<Vec<u64>>());
    }
    let latest = RequestLogReader::open(&path).expect("opened").read_new().expect("read");
    assert_eq!(latest, (150_000 - 65_536..150_000).collect::<Vec<u64>>());
}

#[test]
fn a_reader_that_was_overtaken_goes_on_with_what_is_left_and_a_partial_record_is_not_read() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("log");
    let mut writer = RequestLogWriter::create(&path).expect("created");
    let mut reader = RequestLogReader::open(&path).expect("opened");
    writer.append(1).expect("written");
    assert_eq!(reader.read_new().expect("read"), [1]);
    (2..70_000).for_each(|request| writer.append(request).expect("written"));
    let read = reader.read_new().expect("read");
    assert!(read.ends_with(&[69_998, 69_999]), "{} requests", read.len());
    writer.append(70_000).expect("written");
    assert_eq!(reader.read_new().expect("read"), [70_000]);
    let mut bytes = std::fs::read(&path).expect("the file");
    let place = (70_000 - 65_536) * 24;
    bytes[place..place + 12].copy_from_slice(&[7; 12]);
    std::fs::write(&path, bytes).expect("written");
    assert!(reader.read_new().expect("read").is_empty());
}
