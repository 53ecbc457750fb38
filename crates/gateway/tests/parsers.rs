//! The parsers on every split of their input, on generated input, and on malicious input.

use fernscale_gateway::protocol::call::{self, Command, FinalAnswer};
use fernscale_gateway::protocol::reply::{self, ReceiveStage, ServerReply, ValueEnd};
use fernscale_gateway::protocol::{http, resp, Scanned};
use fernscale_gateway::transport::buffer::Buffer;
use fernscale_gateway::transport::ending::ConnectionEnd;
use fernscale_gateway::transport::limits::Slots;

use fernscale_policy::settings::PlatformSettings;
use fernscale_policy::LoadReport;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use resp::Reply;

/// Checks that no prefix of a message is parsed as a message, and that bytes after the message don't change the result.
fn on_every_split<T: PartialEq + std::fmt::Debug>(input: &[u8], scan: impl Fn(&[u8]) -> Scanned<T>) -> T {
    for end in 0..input.len() {
        assert_eq!(scan(&input[..end]), Ok(None), "{end} bytes of {}", String::from_utf8_lossy(input));
    }
    let (message, length) = scan(input).expect("valid").expect("complete");
    assert_eq!(length, input.len());
    for tail in [&b"*1\r\n$4\r\nPING\r\n"[..], b"\r\n", b"\0garbage"] {
        let (with_tail, length) = scan(&[input, tail].concat()).expect("valid").expect("complete");
        assert_eq!((&with_tail, length), (&message, input.len()));
    }
    message
}

/// A command in a form that outlives its bytes.
fn owned_command(bytes: &[u8]) -> Scanned<Vec<Vec<u8>>> {
    let command = resp::command(bytes)?;
    Ok(command.map(|(arguments, length)| (arguments.into_iter().map(<[u8]>::to_vec).collect(), length)))
}

/// A reply in a form that outlives its bytes.
fn debug_reply(bytes: &[u8]) -> Scanned<String> {
    Ok(resp::reply(bytes)?.map(|(reply, length)| (format!("{reply:?}"), length)))
}

#[test]
fn written_commands_are_parsed_however_they_are_split() {
    fn is_parsed_back(command: Vec<Vec<u8>>) -> bool {
        let command: Vec<_> = command.into_iter().take(9).collect();
        let slices: Vec<&[u8]> = command.iter().map(Vec::as_slice).collect();
        command.is_empty() || on_every_split(&resp::write_command(&slices), owned_command) == command
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(24, 7)).tests(200).quickcheck(is_parsed_back as fn(_) -> _);
}

#[test]
fn replies_are_parsed_however_they_are_split() {
    for (bytes, expected) in [
        (&b"+PONG\r\n"[..], "Simple([80, 79, 78, 71])"),
        (b"-BUSY\r\n", "Error([66, 85, 83, 89])"),
        (b":-12\r\n", "Number(-12)"),
        (b"$-1\r\n", "Bulk(None)"),
        (b"$0\r\n\r\n", "Bulk(Some([]))"),
        (b"$4\r\n\r\n\r\n\r\n", "Bulk(Some([13, 10, 13, 10]))"),
        (b"*-1\r\n", "Array(None)"),
        (b"*0\r\n", "Array(Some([]))"),
        (b"*2\r\n$1\r\nx\r\n*1\r\n$-1\r\n", "Array(Some([Bulk(Some([120])), Array(Some([Bulk(None)]))]))"),
    ] {
        assert_eq!(on_every_split(bytes, debug_reply), expected);
    }
}

#[test]
fn invalid_resp_is_an_error_and_not_an_incomplete_message() {
    let long_line = [&b"*1\r\n$"[..], &[b'1'; 2_000]].concat();
    let commands: [&[u8]; 13] = [
        b"PING\r\n",
        b"\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*17\r\n",
        b"*1000000000\r\n",
        b"*+1\r\n",
        b"*1\n",
        b"*1\rx",
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$1\r\nxy",
    ];
    for invalid in commands.into_iter().chain([&long_line[..], b"*99999999999999999999\r\n"]) {
        assert!(resp::command(invalid).is_err(), "{}", String::from_utf8_lossy(invalid));
    }
    let replies: [&[u8]; 7] = [
        b"?\r\n",
        b"$-2\r\n",
        b"$x\r\n",
        b":1.5\r\n",
        b"*17\r\n",
        b"$1\r\nxy",
        b"*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n",
    ];
    for invalid in replies {
        assert!(resp::reply(invalid).is_err(), "{}", String::from_utf8_lossy(invalid));
    }
    // Two values of maximum size, each valid in itself, are too long for one command.
    let value = [b'x'; resp::MAX_BULK_BYTES];
    assert!(resp::command(&resp::write_command(&[&value, &value])).is_err());
}

#[test]
fn no_input_makes_a_parser_panic_or_return_a_wrong_length() {
    #[derive(Clone, Debug)]
    struct Bytes(Vec<u8>);
    impl Arbitrary for Bytes {
        fn arbitrary(generator: &mut Gen) -> Self {
            let fragments: [&[u8]; 12] = [
                b"*",
                b"$",
                b"-",
                b":",
                b"3",
                b"1",
                b"\r\n",
                b"\r",
                b"HTTP/1.1 200 OK",
                b"Content-Length: 2",
                b"Transfer-Encoding: chunked",
                b"\0\xff",
            ];
            let length = usize::arbitrary(generator) % 20;
            Bytes(
                (0..length)
                    .flat_map(|_| generator.choose(&fragments).expect("a fragment").to_vec())
                    .collect(),
            )
        }
    }
    fn lengths_are_valid(Bytes(bytes): Bytes) -> bool {
        let is_valid =
            |length: Option<usize>| length.is_none_or(|length| length > 0 && length <= bytes.len());
        is_valid(resp::command(&bytes).ok().flatten().map(|(_, length)| length))
            && is_valid(resp::reply(&bytes).ok().flatten().map(|(_, length)| length))
            && is_valid(http::parse_response(&bytes, true).ok().flatten().map(|(_, length)| length))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(20_000)
        .quickcheck(lengths_are_valid as fn(_) -> _);
}

#[test]
fn responses_are_parsed_however_they_are_split() {
    let scan = |bytes: &[u8]| http::parse_response(bytes, false);
    let parse = |bytes: &[u8]| {
        let response = on_every_split(bytes, scan);
        (response.status, String::from_utf8(response.body).expect("text"), response.keep_alive)
    };
    let known_length = b"HTTP/1.1 200 OK\r\nContent-Type: a\r\ncontent-length: 4\r\n\r\n{}\r\n";
    assert_eq!(parse(known_length), (200, "{}\r\n".into(), true));
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n{\"\r\nB\r\na\":\"b\r\n\"}..\r\n0\r\nT: x\r\n\r\n";
    assert_eq!(parse(chunked), (200, "{\"a\":\"b\r\n\"}..".into(), true));
    let closing = b"HTTP/1.1 503 Busy\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(parse(closing), (503, String::new(), false));
    let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    assert_eq!(parse(interim), (200, "x".into(), true));
    // Without a length, the body ends with the connection.
    let until_close = b"HTTP/1.0 200 OK\r\n\r\nall of it";
    assert_eq!(http::parse_response(until_close, false), Ok(None));
    let (response, length) = http::parse_response(until_close, true).expect("valid").expect("complete");
    assert_eq!(
        (&response.body[..], response.keep_alive, length),
        (&b"all of it"[..], false, until_close.len())
    );
}

#[test]
fn an_invalid_response_is_an_error() {
    for invalid in [
        "SSH-2.0-x\r\n\r\n",
        "HTTP/1.1 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxyz\r\n",
        &"x".repeat(20_000),
    ] {
        assert!(http::parse_response(invalid.as_bytes(), false).is_err(), "{invalid:.60}");
    }
}

fn platform() -> PlatformSettings {
    let names = |names: &[&str]| names.iter().map(std::string::ToString::to_string).collect();
    PlatformSettings {
        class_names: names(&["lookup", "order"]),
        plan_names: names(&["team"]),
        max_client_wait: 3_000_000,
        gateway_count: 3,
        max_units: 10.0,
        ..PlatformSettings::default()
    }
}

/// Parses a command with this list of fields.
fn parse_call(list: &str) -> Result<Command, String> {
    call::command(&[b"CALL.GET", b"00000000b4d65521", b"9b1f", list.as_bytes()], &platform())
}

#[test]
fn a_call_is_forwarded_unchanged_except_for_the_time() {
    let list = "c=order,x=unknown,t=team,d=480,k=5c0f,units=2,spread=3,first=1";
    let arguments: [&[u8]; 5] =
        [b"CALL.POST", b"00000000b4d65521", b"9b1f03aa5c7e2d41", list.as_bytes(), b"BO\r\nDY"];
    let Ok(Command::Call(call)) = call::command(&arguments, &platform()) else { panic!("no call") };
    let request = &call.request;
    assert_eq!((request.class, request.plan, request.time_left), (1, 0, 480_000));
    assert_eq!((request.units, request.gateway_spread, request.first_gateway), (2.0, 3, 1));
    let forwarded = call.command(77_001);
    let (forwarded, _) = resp::command(&forwarded).expect("valid").expect("complete");
    assert_eq!(forwarded[3], list.replace("d=480", "d=78").as_bytes());
    assert_eq!(
        [forwarded[0], forwarded[1], forwarded[2], forwarded[4]],
        [arguments[0], arguments[1], arguments[2], arguments[4]]
    );
}

#[test]
fn invalid_calls_get_an_error() {
    assert!(matches!(parse_call("c=lookup,t=team,d=480"), Ok(Command::Call(_))));
    // A wait longer than the maximum is shortened: it would overflow the clock, and the request would stay open for ever.
    let Ok(Command::Call(call)) = parse_call("c=lookup,t=team,d=99999999999999999999") else {
        panic!("no call")
    };
    assert_eq!(call.request.time_left, 3_000_000);
    for list in [
        "t=team,d=480",
        "c=lookup,d=480",
        "c=lookup,t=team",
        "c=other,t=team,d=480",
        "c=lookup,t=other,d=480",
        "c=lookup,t=team,d=soon",
        "c=lookup,t=team,d=-1",
        "c=lookup,t=team,d=NaN",
        "c=lookup,t=team,d=1e3",
        "c=lookup,t=team,d=inf",
        "c=lookup,t=team,d=480,d=490",
        "c=lookup,c=order,t=team,d=480",
        "c=lookup,t=team,d=480,units=-1",
        "c=lookup,t=team,d=480,units=0",
        "c=lookup,t=team,d=480,units=11",
        "c=lookup,t=team,d=480,units=NaN",
        "c=lookup,t=team,d=480,units=1e0",
        "c=lookup,t=team,d=480,spread=x",
        "c=lookup,t=team,d=480,spread=0",
        "c=lookup,t=team,d=480,spread=4",
        "c=lookup,t=team,d=480,spread=+1",
        "c=lookup,t=team,d=480,first=3",
        "c=lookup;t=team",
        "",
        "c=lookup,t=team,d=480\r\n",
    ] {
        let error = parse_call(list).expect_err(list);
        assert!(!call::error(&error)[..].windows(2).rev().skip(1).any(|pair| pair == b"\r\n"), "{error}");
    }
    for tenant in ["b4d65521", "+0000000b4d65521", "0000000200000000", "00000000b4d6552g"] {
        let arguments: [&[u8]; 4] = [b"CALL.GET", tenant.as_bytes(), b"9b1f", b"c=lookup,t=team,d=480"];
        assert!(call::command(&arguments, &platform()).is_err(), "{tenant}");
    }
}

#[test]
fn replies_of_servers_are_parsed_as_the_protocol_says() {
    let names = vec!["busy_reqs".to_string()];
    let parse =
        |bytes: &[u8]| Ok::<_, &str>(reply::scan_complete_reply(bytes, false, &names)?.expect("complete").0);
    let (completed, load) =
        parse(b"*3\r\n$2\r\nok\r\n$14\r\nused=86,cost=3\r\n$11\r\nbusy_reqs=7\r\n").expect("an answer");
    assert_eq!(completed, ServerReply::Completed { value: b"ok"[..].into(), units: Some(3.0) });
    assert_eq!(load.in_flight, Some(7.0));
    assert_eq!(
        parse(b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n").expect("an answer").0,
        ServerReply::Completed { value: [].into(), units: None }
    );
    assert_eq!(parse(b"-ERR failed\r\n").expect("an error").0, ServerReply::Failed);
    let (overloaded, load) = parse(b"-BUSY busy_reqs=9\r\n").expect("an error");
    assert_eq!((overloaded, load.in_flight), (ServerReply::Overloaded, Some(9.0)));
    for invalid in [&b"+OK\r\n"[..], b"$2\r\nok\r\n", b"*0\r\n", b"*1\r\n$-1\r\n", b"*-1\r\n"] {
        assert!(parse(invalid).is_err());
    }
    // Once no further bytes are waited for, a complete value is valid although the items behind it can't be parsed, unless
    // something else than an item follows it: then the value may be longer than announced.
    let value = ServerReply::Completed { value: b"ok"[..].into(), units: None };
    for (following, is_valid) in [
        ("", true),
        ("$-1\r\n", true),
        ("$-1\r\n$20\r\nbusy", true),
        ("$-1\r\n$3\r\nbusy_reqs=1\r\n", true),
        ("$-1\r\n?what\r\n", true),
        ("$-1\r\n$99999999\r\n", true),
        ("?what\r\n", false),
        ("$99999999\r\n", false),
    ] {
        let reply = format!("*3\r\n$2\r\nok\r\n{following}");
        assert!(
            !matches!(reply::scan_complete_reply(reply.as_bytes(), false, &names), Ok(Some(_))),
            "{reply}"
        );
        match reply::scan_complete_reply(reply.as_bytes(), true, &names) {
            Ok(Some(((completed, _), _))) => assert!(is_valid && completed == value, "{reply}"),
            other => assert!(!is_valid && other.is_err(), "{reply}"),
        }
    }
    assert!(
        reply::scan_complete_reply(b"*3\r\n*3\r\n", false, &names).is_err(),
        "the first item is no value"
    );
    for corrupted in ["*3\r\n$2\r\no", "*3\r\n$1\r\nok\r\n", "*3\r\n$3000000000\r\nok", "*-7\r\n", "*3", "x"]
    {
        assert!(
            !matches!(reply::scan_complete_reply(corrupted.as_bytes(), true, &names), Ok(Some(_))),
            "{corrupted}"
        );
    }
    assert_eq!(FinalAnswer::Rejected(500_000).write(), b"-BUSY 500\r\n");
    assert_eq!(FinalAnswer::Rejected(0).write(), b"-BUSY\r\n");
    assert_eq!(
        on_every_split(&FinalAnswer::Completed(b"v"[..].into()).write(), debug_reply),
        "Bulk(Some([118]))"
    );
    assert!(matches!(resp::reply(&FinalAnswer::Failed.write()), Ok(Some((Reply::Error(_), _)))));
}

#[test]
fn a_buffer_keeps_its_bytes_however_it_is_filled_and_consumed() {
    fn matches_model(steps: Vec<(u8, u8)>) -> bool {
        let (mut buffer, mut model, mut next_byte) = (Buffer::new(5_000, None), Vec::new(), 0u8);
        for (fills, consumed) in steps {
            for _ in 0..fills {
                let Ok(spare) = buffer.spare() else { break };
                let count = spare.len().min(37);
                for byte in &mut spare[..count] {
                    *byte = next_byte;
                    model.push(next_byte);
                    next_byte = next_byte.wrapping_add(1);
                }
                buffer.advance(count);
            }
            let count = model.len().min(16 * usize::from(consumed));
            buffer.consume(count);
            model.drain(..count);
            if buffer.filled() != model || model.len() > 5_000 || buffer.is_empty() != model.is_empty() {
                return false;
            }
        }
        true
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 7)).tests(300).quickcheck(matches_model as fn(_) -> _);
    // A full buffer takes no more bytes: a message beyond the maximum length, or beyond the shared memory, is an error.
    let fill = |buffer: &mut Buffer| loop {
        match buffer.spare().map(|spare| spare.len()) {
            Ok(count) => buffer.advance(count),
            Err(end) => break end,
        }
    };
    let (mut single, shared_memory) = (Buffer::new(5_000, None), Slots::new(9_000));
    assert_eq!((fill(&mut single), single.filled().len()), (ConnectionEnd::Malformed, 5_000));
    let mut both =
        [Buffer::new(5_000, Some(shared_memory.clone())), Buffer::new(5_000, Some(shared_memory.clone()))];
    assert_eq!(
        (fill(&mut both[0]), fill(&mut both[1])),
        (ConnectionEnd::Malformed, ConnectionEnd::OutOfMemory)
    );
    assert_eq!((shared_memory.used(), both[1].filled().len()), (7_048, 2_048));
    both[0].consume(5_000);
    assert_eq!((fill(&mut both[1]), shared_memory.used()), (ConnectionEnd::Malformed, 5_000));
}

/// The head of a long value is recognized wherever the received bytes end. The items behind the value are parsed, or left out if they
/// are incomplete or invalid at the end of the connection.
#[test]
fn the_head_and_the_end_of_a_long_value_are_parsed_wherever_they_are_cut() {
    let head = b"*3\r\n$70000\r\n";
    for cut in 0..head.len() {
        assert_eq!(resp::long_value_head(&head[..cut]), Ok(None), "{cut}");
    }
    let parsed_head = resp::LongValueHead { items: 3, length: 70_000 };
    assert_eq!(resp::long_value_head(head), Ok(Some((parsed_head, head.len()))));
    for other in [
        "*3\r\n$65536\r\n",
        "*3\r\n$4194305\r\n",
        "*3\r\n$3000000000\r\n",
        "$70000\r\n",
        "-BUSY\r\n",
        "*99\r\n$70000\r\n",
    ] {
        assert_eq!(resp::long_value_head(other.as_bytes()), Ok(None), "{other}");
    }
    let names = ["pending".to_string()];
    let end = b"\r\n$8\r\ncost=2.5\r\n$9\r\npending=7\r\n";
    for cut in 0..end.len() {
        assert_eq!(reply::scan_after_value(&end[..cut], 2, false, &names), Ok(None), "{cut}");
        let ended = reply::scan_after_value(&end[..cut], 2, true, &names);
        match cut {
            0 | 1 => assert!(ended.is_err()),
            _ => assert_eq!(
                ended,
                Ok(Some(((ServerReply::Streamed { units: None }, LoadReport::default()), cut)))
            ),
        }
    }
    let load = LoadReport { queued: Some(7.0), ..LoadReport::default() };
    let with_report = (ServerReply::Streamed { units: Some(2.5) }, load);
    assert_eq!(reply::scan_after_value(end, 2, false, &names), Ok(Some((with_report, end.len()))));
    assert!(reply::scan_after_value(b"vv$-1\r\n$-1\r\n", 2, false, &names).is_err());
    assert!(matches!(
        reply::scan_after_value(b"\r\n?what\r\n", 2, false, &names),
        Ok(Some(((ServerReply::Streamed { units: None }, _), 9)))
    ));
}

/// A short read or a packet boundary can cut a reply anywhere. A valid reply must not be rejected because its rest has not been
/// received yet.
#[test]
fn the_rest_of_a_valid_reply_is_waited_for_wherever_it_is_cut() {
    let long = format!("*3\r\n${}\r\n{}\r\n$6\r\ncost=2\r\n$4\r\nlen=\r\n", 70_000, "x".repeat(70_000));
    let replies =
        ["*3\r\n$5\r\nvalue\r\n$6\r\ncost=2\r\n$4\r\nlen=\r\n", "-BUSY 20\r\n", "-ERR no\r\n", &long];
    for reply in replies.map(str::as_bytes) {
        let cuts = (0..reply.len()).filter(|cut| *cut < 100 || reply.len() - cut < 100);
        for cut in cuts {
            let scanned = reply::scan_reply(&reply[..cut], ReceiveStage::Open, &[]);
            assert!(
                scanned.is_ok(),
                "{:?}, cut after {cut}: {:?}",
                &reply[..reply.len().min(40)],
                scanned.err()
            );
        }
        assert!(matches!(reply::scan_reply(reply, ReceiveStage::Open, &[]), Ok(Some(_))));
    }
}

/// Guards against taking what a server wrote behind a value for a part of it, or a part of a value for the whole.
#[test]
fn no_value_is_parsed_from_a_reply_whose_length_is_wrong() {
    let values = ["value", "", "two\r\nlines", "three\r\n\r\nlines\r\n", "[1,\r\n 2]", "\r", "\n"];
    let reports = [
        ("$-1\r\n$-1\r\n", false),
        ("$6\r\ncost=2\r\n$-1\r\n", false),
        ("$-1\r\n$11\r\nbusy_reqs=7\r\n", false),
        ("$6\r\ncost=2\r\n$11\r\nbusy_reqs=7\r\n", false),
        ("$6\r\ncost=2\r\n?what\r\n", true),
        ("$6\r\ncost=2\r\n$90\r\n", true),
    ];
    // What a server may write behind its reply: nothing, the reply to a fence, noise, or another reply.
    let rests =
        ["", "+OK\r\n", "+OK\r\n+OK\r\n", "noise\r\n", "-BUSY\r\n", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"];
    for value in values {
        for (report, is_malformed) in reports {
            // A malformed report can't be told from a part of the value if another reply follows.
            for rest in rests.iter().filter(|rest| !is_malformed || !rest.starts_with('*')) {
                let reply = format!("{value}\r\n{report}{rest}");
                assert_no_value_with_wrong_length(&reply, value);
            }
        }
    }
}

/// `reply` begins with the value; its head is added with each wrong length.
fn assert_no_value_with_wrong_length(reply: &str, value: &str) {
    for announced in (0..60).filter(|announced| *announced != value.len()) {
        let reply = format!("*3\r\n${announced}\r\n{reply}");
        for ended in [false, true] {
            let scanned = reply::scan_complete_reply(reply.as_bytes(), ended, &[]);
            assert!(!matches!(scanned, Ok(Some(_))), "{reply:?}, ended: {ended}");
        }
    }
}

/// The same for a value that is forwarded in pieces, whose line end is written to the client once its length is confirmed.
#[test]
fn the_length_of_a_forwarded_value_is_confirmed_by_what_follows() {
    let confirm = |value: &str, following: &str, ended| {
        let confirmations = [1, 7, 4_096].map(|size| {
            let mut value_end = ValueEnd::default();
            value.as_bytes().chunks(size).for_each(|piece| value_end.add(piece));
            reply::scan_length_confirmation(following.as_bytes(), &value_end, 2, ended)
        });
        assert!(confirmations.iter().all(|confirmation| *confirmation == confirmations[0]), "{value:?}");
        confirmations[0]
    };
    let confirmed = Ok(Some(((), 0)));
    for ended in [false, true] {
        assert_eq!(confirm("value", "\r\n$-1\r\n", ended), confirmed);
        assert_eq!(confirm("two\r\nlines", "\r\n$-1\r\n$-1\r\n", ended), confirmed);
        for following in ["", "\r", "\r\n$-1\r\n+OK\r\n", "\r\n$-1\r\n", "vv"] {
            assert_ne!(confirm("value\r\n$-1", following, ended), confirmed, "{following:?}");
        }
        assert!(confirm("two", "\r\nlines\r\n$-1\r\n$-1\r\n", ended).is_err());
    }
    for beginning in ["\r\n", "\r\n$", "\r\n$-1", "\r\n$3\r\nco"] {
        assert_eq!(confirm("value", beginning, false), Ok(None));
        assert_eq!(confirm("value", beginning, true), confirmed);
    }
    let long = "v".repeat(70_000);
    assert_eq!(confirm(&long, "\r\n$-1\r\n", false), confirmed);
    assert_eq!(confirm(&format!("{long}\r\n$-1"), "\r\n$-1\r\n", false), Ok(None));
    // A line end far from the end of a value is no sign of a length that is too large.
    assert_eq!(confirm(&format!("a\r\n{long}"), "\r\n$-1\r\n", false), confirmed);
    let with_next_reply = format!("{long}\r\n$-1\r\n$-1\r\n*3");
    assert!(confirm(&with_next_reply, "\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n", false).is_err());
}
