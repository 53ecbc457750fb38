//! Guards what other processes and later versions have to read: every message between gateways and every record that
//! stays on disk, as bytes that were recorded. Each value is encoded to exactly these bytes, and the bytes decode to it.
//!
//! The bytes follow from the order and the types of fields and variants (postcard), or from names (JSON). Renaming a
//! field changes the first kind nowhere and must not change the second.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::Path;

use fernscale_lease::acceptor::{DurableHead, PeerRecord};
use fernscale_lease::message::{
    AcceptorReply, AcceptorRequest, Message, RecoveryReply, RecoveryRequest, Rejection,
};
use fernscale_lease::replicated_list::{Entry, Fragment, ListMessage, Version};
use fernscale_lease::{status as jobs, AcceptorSetId, FencingToken, Name, ProcessId};
use fernscale_membership::packet::{
    CounterEntry, CounterTotal, FullState, MemberState, MemberUpdate, MemberView, MembershipView, Packet,
    PacketBody, Peer, StreamMessage,
};
use fernscale_membership::payload::{Channel, Payload};
use fernscale_membership::seal::{Key, Sealer};
use fernscale_outlier_detection::{status as servers, HealthLevel};
use fernscale_shared_counter::gossip;
use fernscale_shared_counter::pn_counter::{Contribution, Instance};
use fernscale_subsetting::{load_reports, status as subsets};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn recorded(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/encodings").join(name);
    std::fs::read(&path).unwrap_or_else(|why| panic!("{} can't be read: {why}", path.display()))
}

/// The values of a list stand in one file, one behind the other, each after its length.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, values: &[T]) {
    let mut encoded = Vec::new();
    for value in values {
        let bytes = postcard::to_stdvec(value).expect("plain data is encoded");
        let back: T = postcard::from_bytes(&bytes).expect("what was encoded is decoded");
        assert_eq!(back, *value);
        encoded.extend((bytes.len() as u32).to_le_bytes());
        encoded.extend(bytes);
    }
    let recorded = recorded(name);
    assert_eq!(encoded, recorded, "'{name}' is encoded in another way than it was");
    let mut rest = recorded.as_slice();
    for value in values {
        let (length, behind) = rest.split_at(4);
        let (bytes, behind) =
            behind.split_at(u32::from_le_bytes(length.try_into().expect("four bytes")) as usize);
        assert_eq!(
            postcard::from_bytes::<T>(bytes).expect("it is decoded"),
            *value,
            "'{name}' is decoded in another way"
        );
        rest = behind;
    }
    assert!(rest.is_empty());
}

fn peer(number: u64) -> Peer {
    let address = format!("127.0.0.{number}:7{number:03}").parse().expect("an address");
    Peer { name: format!("gateway-{number}"), instance: Instance(0x0102_0304_0506_0700 + number), address }
}

fn news() -> Vec<MemberUpdate> {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    (1..)
        .zip(states)
        .map(|(at, state)| MemberUpdate { peer: peer(at), incarnation: at as u32 * 7, state })
        .collect()
}

fn counts() -> Vec<CounterEntry> {
    let told = |count: &str, plus, minus| {
        let part = Contribution { increments: plus, decrements: minus };
        CounterEntry { key: count.into(), instance: Instance(9), contribution: part, expires_in_ms: 59_000 }
    };
    vec![told("q60000000:tenant-1", 12.25, 0.0), told("o5:tenant-2", 3.0, 2.0)]
}

fn carried(kind: Channel) -> Payload {
    Payload { channel: kind, body: vec![1, 2, 3, 255] }
}

const KINDS: [Channel; 4] =
    [Channel::Lease, Channel::EndpointList, Channel::Subsetting, Channel::OutlierDetection];

fn packets() -> Vec<Packet> {
    let mut words = vec![
        PacketBody::Ping(7),
        PacketBody::Ack(300),
        PacketBody::PingRequest(9, peer(3)),
        PacketBody::Empty,
    ];
    words.extend(KINDS.map(|kind| PacketBody::Payload(carried(kind))));
    let packet =
        |word| Packet { sender: peer(1), incarnation: 2, body: word, updates: news(), counters: counts() };
    words.into_iter().map(packet).collect()
}

#[test]
fn membership_packets() {
    check("membership-packets.bin", &packets());
}

#[test]
fn membership_streams() {
    let full = FullState { sender: peer(2), incarnation: 1, updates: news(), counters: counts() };
    let viewed = |news: MemberUpdate| MemberView {
        peer: news.peer,
        state: news.state,
        incarnation: 5,
        last_heard_ms: 250,
    };
    let members = news().into_iter().map(viewed).collect();
    let view = MembershipView {
        local: peer(1),
        members,
        configured_gateways: 3,
        counter_count: 2,
        counter_health: "good".into(),
    };
    let sum = CounterTotal { key: "q1:tenant".into(), total: 17.5, expires_in_ms: 1_000 };
    let mut streams = vec![
        StreamMessage::FullState(full),
        StreamMessage::ListMembers,
        StreamMessage::Members(view),
        StreamMessage::ListCounters,
    ];
    streams.push(StreamMessage::CounterTotals(vec![sum]));
    streams.extend(KINDS.map(|kind| StreamMessage::Payload(peer(1), carried(kind))));
    streams.extend(KINDS.map(|kind| StreamMessage::Query(kind, vec![4, 5])));
    streams.push(StreamMessage::QueryReply(vec![6]));
    check("membership-streams.bin", &streams);
}

#[test]
fn sealed_packets() {
    let key = Key::parse("00112233445566778899aabbccddeeff").expect("a key");
    let (unix, instance) = (1_700_000_000_000_000, Instance(0x1122_3344_5566_7788));
    let mut sealer = Sealer::new(vec![key.clone()], instance).expect("a ring of one key");
    let sealed: Vec<Vec<u8>> = packets().iter().map(|packet| sealer.seal(unix, packet)).collect();
    check("sealed-packets.bin", &sealed);
    let mut opener = Sealer::new(vec![key], Instance(1)).expect("a ring of one key");
    for (bytes, packet) in sealed.iter().zip(packets()) {
        assert_eq!(opener.open::<Packet>(unix, bytes), Ok((instance, packet)));
    }
}

fn fence(term: u64) -> FencingToken {
    FencingToken { term, process: ProcessId(0xfeed_0000 + term) }
}

fn set() -> AcceptorSetId {
    AcceptorSetId { epoch: 3, digest: 0xabcd_ef01_2345 }
}

fn lives() -> BTreeMap<Name, u64> {
    [("gateway-1".into(), 4), ("gateway-2".into(), 700)].into()
}

#[test]
fn lease_messages() {
    let job: Name = "list".into();
    let (of, start): (Name, ProcessId) = ("gateway-3".into(), ProcessId(77));
    let refusals = [
        Rejection::HeldByOther { remaining: 1_500_000, holder: fence(8) },
        Rejection::HigherPromise(fence(9)),
        Rejection::NotVoting,
        Rejection::Overloaded,
        Rejection::CapacityExceeded,
        Rejection::DifferentAcceptors(set()),
    ];
    let granted = AcceptorReply::Granted {
        lease: job.clone(),
        token: fence(5),
        round: 6,
        incarnation: 7,
        incarnations: lives(),
    };
    let known = RecoveryReply {
        acceptor: of.clone(),
        write_count: 12,
        incarnation: 2,
        is_initialized: true,
        lost_promises: false,
        never_promised: true,
        acceptors: set(),
        frozen_epoch: 1,
        promises: [(job.clone(), fence(5)), ("billing".into(), fence(6))].into(),
    };
    let hello = RecoveryRequest {
        acceptor: of.clone(),
        start,
        write_count: 11,
        incarnation: 3,
        lost_promises: true,
        is_empty: false,
    };
    let mut letters = vec![
        Message::Request(AcceptorRequest::Claim {
            lease: job.clone(),
            token: fence(5),
            round: 6,
            acceptors: set(),
        }),
        Message::Request(AcceptorRequest::Release { lease: job.clone(), token: fence(5) }),
        Message::Request(AcceptorRequest::Recover(hello)),
        Message::Request(AcceptorRequest::WriteCount { acceptor: of, write_count: 13, incarnation: 3 }),
        Message::Reply(granted),
        Message::Reply(AcceptorReply::Recovery(known)),
        Message::Released { lease: job.clone(), token: fence(5) },
        Message::Offer { lease: job.clone() },
    ];
    letters.extend(refusals.map(|why| {
        let (job, fence) = (job.clone(), fence(4));
        Message::Reply(AcceptorReply::Rejected { lease: job, token: fence, round: 2, reason: why })
    }));
    check("lease-messages.bin", &letters);
}

#[test]
fn lease_records_in_the_store() {
    let other = |writes, life, start: Option<u64>| PeerRecord {
        write_count: writes,
        incarnation: life,
        start: start.map(ProcessId),
    };
    let others = [("gateway-1".into(), other(1, 2, None)), ("gateway-2".into(), other(3, 4, Some(5)))];
    let head = DurableHead {
        is_initialized: true,
        incarnation: 2,
        write_count: 30,
        peers: others.into(),
        acceptors: set(),
        frozen_epoch: 2,
    };
    check("lease-heads.bin", &[DurableHead::default(), head]);
    let promises: [(Name, FencingToken); 2] = [("list".into(), fence(5)), ("billing".into(), fence(600))];
    check("lease-promises.bin", &promises);
}

#[test]
fn list_fragments() {
    let entry = |name: &str, gone| Entry {
        name: name.into(),
        removed: gone,
        body: format!("{{\"name\":\"{name}\"}}"),
    };
    let entries = vec![entry("10.0.0.1:80", false), entry("10.0.0.2:80", true)];
    let version = Version { epoch: 5, index: 1_000 };
    let piece = Fragment { version, since: Some(900), age_ms: 40, number: 1, count: 3, entries };
    let complete = Fragment { since: None, number: 0, count: 1, entries: Vec::new(), ..piece.clone() };
    let notes = [
        ListMessage::Fragment(Some(fence(5)), piece),
        ListMessage::Fragment(None, complete),
        ListMessage::RequestComplete,
        ListMessage::Rejected(fence(6)),
    ];
    check("list-fragments.bin", &notes);
}

#[test]
fn lease_questions_and_answers() {
    let questions = [
        jobs::StatusQuery::Leases,
        jobs::StatusQuery::Release("list".into()),
        jobs::StatusQuery::Cordon(true),
        jobs::StatusQuery::Cordon(false),
    ];
    check("lease-questions.bin", &questions);
    let job = |place, owns, last| jobs::LeaseSummary {
        lease: "list".into(),
        rank: place,
        held: owns,
        rejections: 2,
        last_rejection: last,
    };
    let view = |votes| jobs::LeaseView {
        gateway: "gateway-1".into(),
        acceptor: votes,
        cordoned: true,
        leases: vec![job(0, Some((fence(5), 100, 900)), None), job(1, None, Some("no".into()))],
        held: vec![jobs::HeldLease { lease: "list".into(), holder: fence(5), remaining_ms: 800 }],
        processes: vec![("gateway-1".into(), 9)],
    };
    let mut answers = vec![jobs::StatusReply::Released(true), jobs::StatusReply::Cordoned(false)];
    let votes = [
        None,
        Some(jobs::AcceptorState::Voting),
        Some(jobs::AcceptorState::Recovering),
        Some(jobs::AcceptorState::NotVoting),
    ];
    answers.extend(votes.map(|votes| jobs::StatusReply::Leases(view(votes))));
    check("lease-answers.bin", &answers);
}

#[test]
fn load_reports_for_subsets() {
    let word = |step, leaves| load_reports::LoadReport {
        name: "gateway-1".into(),
        instance: 0x55,
        version: 3,
        step,
        zone: "north".into(),
        is_leaving: leaves,
    };
    check(
        "subset-reports.bin",
        &[
            gossip::GossipMessage::Reports(vec![word(0, false), word(31, true)]),
            gossip::GossipMessage::RequestAll,
        ],
    );
    let view = subsets::SubsetView {
        gateway: "gateway-1".into(),
        min_servers: 12,
        prefers_own_zone: true,
        gateways: vec![subsets::GatewayView { name: "gateway-2".into(), load: 1.5, zone: 1 }],
        servers: vec![subsets::ServerView { name: "10.0.0.1:80".into(), weight: 2.0, zone: 0 }],
        uses: vec![("10.0.0.1:80".into(), 0.75)],
        avoids: vec!["10.0.0.2:80".into()],
    };
    check("subset-views.bin", &[view]);
}

#[test]
fn outlier_reports() {
    let level = HealthLevel { failures: 3, slowness: 1, samples: 4 };
    let word = fernscale_outlier_detection::ServerReport {
        instance: 0x66,
        server: "10.0.0.1:80".into(),
        started_at: 1_700_000_000_000_000,
        version: 2,
        zone: String::new(),
        health: level,
        represents: 5,
    };
    check(
        "outlier-reports.bin",
        &[
            fernscale_outlier_detection::Message::Reports(vec![word]),
            fernscale_outlier_detection::Message::RequestAll,
        ],
    );
    let standings = [
        servers::ServerStatus::Healthy,
        servers::ServerStatus::OutlierHere,
        servers::ServerStatus::EjectedForZone,
        servers::ServerStatus::EjectedForAll,
        servers::ServerStatus::Spared,
        servers::ServerStatus::Returning,
    ];
    let seen = |standing| servers::ServerView {
        server: "10.0.0.1:80".into(),
        status: standing,
        observed: Some(level),
        against: 2.5,
        in_favor: 1.0,
        reporters: 3,
        ejected_ms: Some(1_200),
        next_trial: Some("gateway-2".into()),
    };
    let seen = standings.map(seen).to_vec();
    check(
        "outlier-views.bin",
        &[servers::OutlierView {
            gateway: "gateway-1".into(),
            ejected_share: 0.1,
            max_ejected_share: 0.25,
            servers: seen,
        }],
    );
}

/// JSON: here names are the encoding.
#[test]
fn records_that_two_processes_share() {
    use fernscale_hot_restart::state::{CordonRecord, ProcessRecord};
    let word = |stamp, out| CordonRecord {
        stamp,
        by: 1_700_000_000_000_001,
        at: 1_700_000_000_000_002,
        cordoned: out,
    };
    let record = ProcessRecord {
        version: 3,
        cordons: [("10.0.0.1:80".into(), word(2, true)), ("10.0.0.2:80".into(), word(3, false))].into(),
        acknowledged: [(1_700_000_000_000_001, 2)].into(),
        descriptors: 400,
    };
    let recorded = recorded("process-record.json");
    assert_eq!(serde_json::to_string(&record).expect("it is encoded").as_bytes(), recorded);
    assert_eq!(serde_json::from_slice::<ProcessRecord>(&recorded).expect("it is decoded"), record);
}

/// What `fernscale members --json` prints: here names are the encoding too.
#[test]
fn views_that_operators_are_shown() {
    let viewed = |news: MemberUpdate| MemberView {
        peer: news.peer,
        state: news.state,
        incarnation: 5,
        last_heard_ms: 250,
    };
    let members = news().into_iter().map(viewed).collect();
    let view = MembershipView {
        local: peer(1),
        members,
        configured_gateways: 3,
        counter_count: 2,
        counter_health: "good".into(),
    };
    let sums = vec![CounterTotal { key: "q1:tenant".into(), total: 17.5, expires_in_ms: 1_000 }];
    let shown = serde_json::json!({ "view": view, "sums": sums });
    assert_eq!(
        shown,
        serde_json::from_slice::<serde_json::Value>(&recorded("members.json")).expect("it is read")
    );
}

#[test]
fn the_states_of_the_counter_have_the_names_that_logs_tell() {
    use fernscale_shared_counter::monitor::CounterHealth;
    let states = [
        CounterHealth::Healthy,
        CounterHealth::Slow,
        CounterHealth::Lost,
        CounterHealth::Reset,
        CounterHealth::Stale,
        CounterHealth::Partitioned,
    ];
    assert_eq!(states.map(CounterHealth::name), ["good", "slow", "lost", "emptied", "old", "apart"]);
}
