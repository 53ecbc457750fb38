//! Endpoint lists parsed in slices give the same result as lists parsed at once, also if they are invalid. Responses that arrive in
//! pieces are decoded once.

use std::time::{Duration, Instant};

use fernscale_gateway::discovery::draining::DrainingEndpoints;
use fernscale_gateway::protocol::catalog::{endpoint_update, KnownEndpoints, ListError, SlicedReader};
use fernscale_gateway::protocol::http;
use fernscale_policy::settings::PlatformSettings;

const READY: &str = r#"{"name":"a","address":"127.0.0.1:1","zone":"z","group":2,"status":"in_service","weight":2.5,"since_ms":7}"#;
const DRAINING: &str = r#"{ "name" : "b", "address" : "127.0.0.1:2", "status" : "terminating" }"#;
const REMOVED: &str = r#"{"name":"c","address":"127.0.0.1:3","status":"terminated","more":[{}]}"#;

fn platform() -> PlatformSettings {
    PlatformSettings { zones: vec!["z".into()], ..PlatformSettings::default() }
}

fn read_in_slices(body: &str, known: &mut KnownEndpoints) -> Result<String, ListError> {
    let unread = |reason| ListError { reason, index: None, draining: Vec::new() };
    let mut reader = SlicedReader::for_body(body.as_bytes()).map_err(unread)?;
    while reader.read_slice(known, &platform()) {}
    reader.end(known).map(|update| format!("{update:?}"))
}

fn read_at_once(body: &str) -> Result<String, ListError> {
    let unread = |reason| ListError { reason, index: None, draining: Vec::new() };
    let value = serde_json::from_str(body).map_err(|error: serde_json::Error| unread(error.to_string()))?;
    endpoint_update(&value, &platform()).map(|update| format!("{update:?}"))
}

#[test]
fn lists_read_in_slices_equal_lists_read_at_once() {
    let list =
        |entries: &[&str]| format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
    let indented =
        format!("{{\n  \"index\": 4,\n  \"snapshot\": false,\n  \"endpoints\": [\n    {READY}\n  ]\n}}\n");
    let many: Vec<String> = (0..200).map(|index| READY.replace("\"a\"", &format!("\"m{index}\""))).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let bodies = [
        list(&[]),
        list(&many),
        list(&[&many[..], &[DRAINING, READY, REMOVED, READY]].concat()),
        list(&[READY, DRAINING, REMOVED]),
        indented,
        list(&[READY, DRAINING, READY]),
        list(&[DRAINING, REMOVED, r#"{"name":"d","address":"127.0.0.1:4","status":"odd"}"#]),
        list(&[READY, DRAINING, "5", "{}"]),
        list(&[DRAINING, r#"{"name":"d","address":"nowhere","status":"terminating"}"#]),
        list(&[DRAINING, r#"{"name":7,"address":"127.0.0.1:4","status":"terminating"}"#]),
        format!(r#"{{"snapshot":true,"endpoints":[{READY},{DRAINING}]}}"#),
        format!(r#"{{"index":-4,"snapshot":1,"endpoints":[{DRAINING}]}}"#),
        format!(r#"{{"index":4,"endpoints":[{DRAINING}]}}"#),
        r#"{"index":4,"snapshot":true}"#.into(),
        r#"{"index":4,"snapshot":true,"endpoints":null}"#.into(),
        r#"{"index":4,"snapshot":true,"endpoints":{}}"#.into(),
        "[1]".into(),
        "{".into(),
        String::new(),
    ];
    // Each list is read twice, and after other lists, so that some of its entries are already known by their texts.
    let mut known = KnownEndpoints::default();
    for body in bodies.iter().flat_map(|body| [body, body]) {
        let (sliced, at_once) = (read_in_slices(body, &mut known), read_at_once(body));
        match (&sliced, &at_once) {
            // If the body is not JSON, the parser's errors may name different positions.
            (Err(sliced), Err(at_once)) if serde_json::from_str::<serde_json::Value>(body).is_err() => {
                assert_eq!(sliced.draining, at_once.draining);
            }
            // The index of a response without entries is not used, and may differ.
            (Err(sliced), Err(at_once)) => {
                assert_eq!(
                    (&sliced.reason, &sliced.draining),
                    (&at_once.reason, &at_once.draining),
                    "{body}"
                );
            }
            _ => assert_eq!(sliced, at_once, "{body}"),
        }
    }
}

/// A response with one entry in each chunk, like that of a service that streams its list.
fn in_chunks(chunks: usize) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..chunks {
        bytes.extend_from_slice(format!("{:x}\r\n{READY}\r\n", READY.len()).as_bytes());
    }
    bytes.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
    bytes
}

#[test]
fn a_response_received_in_pieces_equals_the_one_received_at_once() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
    let known_length = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc".to_vec();
    for bytes in [
        known_length.clone(),
        in_chunks(3),
        [interim.clone(), known_length].concat(),
        [interim, in_chunks(2)].concat(),
    ] {
        let response = http::parse_response(&bytes, false).expect("valid").expect("complete");
        let mut reader = http::Reader::default();
        for end in 0..bytes.len() {
            assert_eq!(reader.read(&bytes[..end], false), Ok(None), "{end} bytes");
        }
        assert_eq!(reader.read(&bytes, false), Ok(Some(response)));
    }
}

/// The time of the fastest of three runs.
fn fastest(run: impl Fn()) -> Duration {
    let timed = || {
        let began_at = Instant::now();
        run();
        began_at.elapsed()
    };
    (0..3).map(|_| timed()).min().expect("three runs")
}

/// Checks that the cost of eight times the input is nearly linear: some sixteen times the cost pass, sixty-four times fail.
fn assert_nearly_linear(small: Duration, eightfold: Duration) {
    assert!(eightfold < small * 24, "{small:?}, but {eightfold:?} for eight times the input");
}

#[test]
fn chunks_are_decoded_once_however_many_pieces_they_arrive_in() {
    let read = |chunks: usize| {
        let bytes = in_chunks(chunks);
        fastest(|| {
            let mut reader = http::Reader::default();
            let ends = (0..bytes.len()).step_by(READY.len()).chain([bytes.len()]);
            let responses: Vec<_> =
                ends.filter_map(|end| reader.read(&bytes[..end], false).expect("valid")).collect();
            assert_eq!(responses[0].0.body.len(), chunks * READY.len());
        })
    };
    assert_nearly_linear(read(500), read(4_000));
}

#[test]
fn the_cost_of_a_complete_list_grows_linearly() {
    let list = |servers: usize| {
        let entries: Vec<String> = (0..servers)
            .map(|index| format!(r#"{{"name":"s{index}","address":"127.0.0.1:1","status":"in_service"}}"#))
            .collect();
        let body = format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        endpoint_update(&serde_json::from_str(&body).expect("json"), &platform()).expect("a list")
    };
    let apply = |servers: usize| {
        let update = list(servers);
        fastest(|| {
            let mut draining = DrainingEndpoints::default();
            (0..4).for_each(|_| draining.apply(&mut update.clone()));
        })
    };
    assert_nearly_linear(apply(500), apply(4_000));
}

#[test]
fn only_the_oldest_departures_are_forgotten_beyond_a_maximum() {
    let mut draining = DrainingEndpoints::default();
    let removal = |index: usize| {
        let entry = format!(r#"{{"name":"s{index}","address":"127.0.0.1:1","status":"terminated"}}"#);
        let body = format!(r#"{{"index":{index},"snapshot":false,"endpoints":[{entry}]}}"#);
        endpoint_update(&serde_json::from_str(&body).expect("json"), &platform()).expect("a list")
    };
    const REMOVALS: usize = 20_000;
    (0..REMOVALS).for_each(|index| draining.apply(&mut removal(index)));
    let is_remembered = |index: usize| draining.contains(&format!("s{index}").as_str().into());
    assert!(!is_remembered(0) && (REMOVALS - 10_000..REMOVALS).all(is_remembered));
}

/// A chunk size near the largest integer overflows when it is added to an offset or length, which would crash the gateway.
#[test]
fn a_chunk_whose_size_overflows_after_another_chunk_is_an_error() {
    for size in ["ffffffffffffffff", "fffffffffffffffe", "fffffffffffffffd"] {
        let bytes = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n{size}\r\nxyz\r\n0\r\n\r\n"
        );
        assert_eq!(
            http::parse_response(bytes.as_bytes(), false),
            Err("the body of a response is too long"),
            "{size}"
        );
    }
}

/// The texts are written to the log, and alerts of operators match them. The test guards against a change of the error types that
/// changes a text.
#[test]
fn each_problem_of_a_list_has_its_text_and_the_first_problem_is_reported() {
    let list = |entries: &str| format!(r#"{{"index":4,"snapshot":true,"endpoints":[{entries}]}}"#);
    let unknown = r#"{"name":"d","address":"127.0.0.1:4","status":"odd"}"#;
    for (body, text) in [
        (r#"{"index":4,"snapshot":true}"#.into(), "a list without 'endpoints'"),
        (r#"{"snapshot":true,"endpoints":[]}"#.into(), "a list without 'index'"),
        (r#"{"index":4,"endpoints":[]}"#.into(), "a list without 'snapshot'"),
        (r#"{"endpoints":[]}"#.into(), "a list without 'index'"),
        ("{}".into(), "a list without 'endpoints'"),
        (list("{}"), "a server without 'name'"),
        (list(r#"{"name":""}"#), "a server without 'name'"),
        (list(r#"{"name":"d"}"#), "server 'd' has no 'address' of a socket"),
        (list(r#"{"name":"d","address":"127.0.0.1:4"}"#), "server 'd' has no 'status'"),
        (list(unknown), "server 'd' has a 'status' that is not known: 'odd'"),
        (list(&[READY, DRAINING, READY, DRAINING].join(",")), "server 'a' comes twice"),
        // A duplicate is reported only if all entries can be parsed, and before fields missing from the list itself.
        (list(&[READY, READY, unknown].join(",")), "server 'd' has a 'status' that is not known: 'odd'"),
        (list(&["{}", unknown].join(",")), "a server without 'name'"),
        (format!(r#"{{"endpoints":[{READY},{READY}]}}"#), "server 'a' comes twice"),
    ] {
        let at_once = read_at_once(&body).expect_err(&body);
        let sliced = read_in_slices(&body, &mut KnownEndpoints::default()).expect_err(&body);
        assert_eq!((at_once.reason.as_str(), sliced.reason.as_str()), (text, text), "{body}");
    }
}
