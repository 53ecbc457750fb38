//! Guards the format of stored histories with a recorded head and recorded lines of the kinds of events. Each line is read and
//! written back unchanged, and checking the history gives the recorded result.

use std::path::{Path, PathBuf};

use fernscale_lab::history::{check, Event, Head};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Line {
    at: u64,
    #[serde(flatten)]
    event: Event,
}

fn file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/histories/every-event.jsonl")
}

/// Kinds of events, by their names in the lines.
const KINDS: [&str; 34] = [
    "asked",
    "written",
    "unsent",
    "answered",
    "unanswered",
    "left",
    "stray",
    "harm",
    "box-starts",
    "arrived",
    "ran",
    "over",
    "fell",
    "told",
    "cordoned",
    "added",
    "started",
    "killed",
    "ends",
    "ended",
    "crashed",
    "paused",
    "resumed",
    "clock",
    "link-breaks",
    "link-mends",
    "parts",
    "fault-begins",
    "fault-ends",
    "effect",
    "quiet",
    "record",
    "view",
    "sums",
];

#[test]
fn every_line_is_read_and_written_back_unchanged() {
    let text = std::fs::read_to_string(file()).expect("the file is read");
    let (head, lines) = text.split_once('\n').expect("a head");
    let read: Head = serde_json::from_str(head).expect("the head is read");
    assert_eq!(serde_json::to_string(&read).expect("written"), head);
    for line in lines.lines() {
        let read: Line = serde_json::from_str(line).unwrap_or_else(|why| panic!("{line}: {why}"));
        assert_eq!(serde_json::to_string(&read).expect("written"), line);
    }
    for kind in KINDS {
        assert!(lines.contains(&format!("\"what\":\"{kind}\"")), "no line of '{kind}'");
    }
}

#[test]
fn checking_the_history_gives_the_recorded_result() {
    let (head, recorder) = check(&file()).expect("the history is checked");
    let counts: Vec<String> =
        recorder.rules().iter().map(|(rule, broken)| format!("{rule} {}", broken.count)).collect();
    assert_eq!((head.scenario.as_str(), head.seed, recorder.recorded), ("every-event", 7, 88));
    assert_eq!(
        counts,
        [
            "answers 6",
            "effects 1",
            "drains 0",
            "cold 1",
            "ceilings 0",
            "left 0",
            "members 0",
            "reached 0",
            "counts 0",
            "terms 0",
            "owned 0",
            "cover 0",
            "out 0"
        ]
    );
}
