//! Lists read slice by slice are what they are when read at once, whatever is wrong with them; and responses that come in pieces
//! are decoded once.

use std::time::{Duration, Instant};

use fernscale_gateway::discovery::draining::DrainingEndpoints;
use fernscale_gateway::protocol::catalog::{endpoint_update, KnownEndpoints, ListError, SlicedReader};
use fernscale_gateway::protocol::http;
use fernscale_policy::settings::PlatformSettings;

const GOOD: &str = r#"{"name":"a","address":"127.0.0.1:1","zone":"z","group":2,"status":"in_service","weight":2.5,"since_ms":7}"#;
const DRAINS: &str = r#"{ "name" : "b", "address" : "127.0.0.1:2", "status" : "terminating" }"#;
const GONE: &str = r#"{"name":"c","address":"127.0.0.1:3","status":"terminated","more":[{}]}"#;

fn outside() -> PlatformSettings {
    PlatformSettings { zones: vec!["z".into()], ..PlatformSettings::default() }
}

fn read_in_slices(body: &str, known: &mut KnownEndpoints) -> Result<String, ListError> {
    let refused = |why| ListError { reason: why, index: None, draining: Vec::new() };
    let mut reader = SlicedReader::for_body(body.as_bytes()).map_err(refused)?;
    while reader.read_slice(known, &outside()) {}
    reader.end(known).map(|members| format!("{members:?}"))
}

fn read_at_once(body: &str) -> Result<String, ListError> {
    let refused = |why| ListError { reason: why, index: None, draining: Vec::new() };
    let value = serde_json::from_str(body).map_err(|error: serde_json::Error| refused(error.to_string()))?;
    endpoint_update(&value, &outside()).map(|members| format!("{members:?}"))
}

#[test]
fn lists_read_in_slices_are_what_they_are_when_read_at_once() {
    let list =
        |entries: &[&str]| format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
    let indented =
        format!("{{\n  \"index\": 4,\n  \"snapshot\": false,\n  \"endpoints\": [\n    {GOOD}\n  ]\n}}\n");
    let many: Vec<String> = (0..200).map(|at| GOOD.replace("\"a\"", &format!("\"m{at}\""))).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let bodies = [
        list(&[]),
        list(&many),
        list(&[&many[..], &[DRAINS, GOOD, GONE, GOOD]].concat()),
        list(&[GOOD, DRAINS, GONE]),
        indented,
        list(&[GOOD, DRAINS, GOOD]),
        list(&[DRAINS, GONE, r#"{"name":"d","address":"127.0.0.1:4","status":"odd"}"#]),
        list(&[GOOD, DRAINS, "5", "{}"]),
        list(&[DRAINS, r#"{"name":"d","address":"nowhere","status":"terminating"}"#]),
        list(&[DRAINS, r#"{"name":7,"address":"127.0.0.1:4","status":"terminating"}"#]),
        format!(r#"{{"snapshot":true,"endpoints":[{GOOD},{DRAINS}]}}"#),
        format!(r#"{{"index":-4,"snapshot":1,"endpoints":[{DRAINS}]}}"#),
        format!(r#"{{"index":4,"endpoints":[{DRAINS}]}}"#),
        r#"{"index":4,"snapshot":true}"#.into(),
        r#"{"index":4,"snapshot":true,"endpoints":null}"#.into(),
        r#"{"index":4,"snapshot":true,"endpoints":{}}"#.into(),
        "[1]".into(),
        "{".into(),
        String::new(),
    ];
    // A list that comes again, and one behind another list, meets entries that are known by their texts.
    let mut known = KnownEndpoints::default();
    for body in bodies.iter().flat_map(|body| [body, body]) {
        let (sliced, whole) = (read_in_slices(body, &mut known), read_at_once(body));
        match (&sliced, &whole) {
            // Where it is no JSON the parser's words may name another place.
            (Err(one), Err(other)) if serde_json::from_str::<serde_json::Value>(body).is_err() => {
                assert_eq!(one.draining, other.draining);
            }
            // What an answer without entries has for an index is of no use.
            (Err(one), Err(other)) => {
                assert_eq!((&one.reason, &one.draining), (&other.reason, &other.draining), "{body}");
            }
            _ => assert_eq!(sliced, whole, "{body}"),
        }
    }
}

/// Chunks of one entry each, as a service writes them that streams its list.
fn in_chunks(chunks: usize) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..chunks {
        bytes.extend_from_slice(format!("{:x}\r\n{GOOD}\r\n", GOOD.len()).as_bytes());
    }
    bytes.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
    bytes
}

#[test]
fn a_response_that_comes_in_pieces_is_the_same_as_at_once() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
    let known = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc".to_vec();
    for bytes in
        [known.clone(), in_chunks(3), [interim.clone(), known].concat(), [interim, in_chunks(2)].concat()]
    {
        let whole = http::parse_response(&bytes, false).expect("good").expect("whole");
        let mut reader = http::Reader::default();
        for end in 0..bytes.len() {
            assert_eq!(reader.read(&bytes[..end], false), Ok(None), "{end} bytes");
        }
        assert_eq!(reader.read(&bytes, false), Ok(Some(whole)));
    }
}

/// The time that the fastest of three plays takes.
fn fastest(play: impl Fn()) -> Duration {
    let timed = || {
        let began = Instant::now();
        play();
        began.elapsed()
    };
    (0..3).map(|_| timed()).min().expect("three plays")
}

/// Eight times as much may cost some sixteen times as much, but not sixty-four times.
fn in_proportion(small: Duration, eightfold: Duration) {
    assert!(eightfold < small * 24, "{small:?}, and {eightfold:?} for eight times as much");
}

#[test]
fn chunks_are_decoded_once_however_many_pieces_they_come_in() {
    let read = |chunks: usize| {
        let bytes = in_chunks(chunks);
        fastest(|| {
            let mut reader = http::Reader::default();
            let ends = (0..bytes.len()).step_by(GOOD.len()).chain([bytes.len()]);
            let responses: Vec<_> =
                ends.filter_map(|end| reader.read(&bytes[..end], false).expect("good")).collect();
            assert_eq!(responses[0].0.body.len(), chunks * GOOD.len());
        })
    };
    in_proportion(read(500), read(4_000));
}

#[test]
fn a_whole_list_costs_in_proportion_to_its_length() {
    let list = |servers: usize| {
        let entries: Vec<String> = (0..servers)
            .map(|at| format!(r#"{{"name":"s{at}","address":"127.0.0.1:1","status":"in_service"}}"#))
            .collect();
        let body = format!(r#"{{"index":4,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        endpoint_update(&serde_json::from_str(&body).expect("json"), &outside()).expect("a list")
    };
    let apply = |servers: usize| {
        let members = list(servers);
        fastest(|| {
            let mut leavers = DrainingEndpoints::default();
            (0..4).for_each(|_| leavers.apply(&mut members.clone()));
        })
    };
    in_proportion(apply(500), apply(4_000));
}

#[test]
fn whoever_left_long_ago_is_forgotten_beyond_a_bound_and_the_latest_are_not() {
    let mut leavers = DrainingEndpoints::default();
    let leave = |index: usize| {
        let entry = format!(r#"{{"name":"s{index}","address":"127.0.0.1:1","status":"terminated"}}"#);
        let body = format!(r#"{{"index":{index},"snapshot":false,"endpoints":[{entry}]}}"#);
        endpoint_update(&serde_json::from_str(&body).expect("json"), &outside()).expect("a list")
    };
    const MANY: usize = 20_000;
    (0..MANY).for_each(|index| leavers.apply(&mut leave(index)));
    let left = |index: usize| leavers.contains(&format!("s{index}").as_str().into());
    assert!(!left(0) && (MANY - 10_000..MANY).all(left));
}

/// Danger: a size near the largest number, which overflows when it is added to what came before, would end the gateway.
#[test]
fn a_chunk_whose_size_overflows_behind_another_is_an_error() {
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

/// The texts are in the log, where operators and their alerts look for them. Danger: a change of the errors' shape changes one.
#[test]
fn each_problem_of_a_list_has_its_text_and_the_first_one_is_reported() {
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
        (list(&[GOOD, DRAINS, GOOD, DRAINS].join(",")), "server 'a' comes twice"),
        // A duplicate counts only where all entries can be read, and before what is missing around them.
        (list(&[GOOD, GOOD, unknown].join(",")), "server 'd' has a 'status' that is not known: 'odd'"),
        (list(&["{}", unknown].join(",")), "a server without 'name'"),
        (format!(r#"{{"endpoints":[{GOOD},{GOOD}]}}"#), "server 'a' comes twice"),
    ] {
        let whole = read_at_once(&body).expect_err(&body);
        let sliced = read_in_slices(&body, &mut KnownEndpoints::default()).expect_err(&body);
        assert_eq!((whole.reason.as_str(), sliced.reason.as_str()), (text, text), "{body}");
    }
}
