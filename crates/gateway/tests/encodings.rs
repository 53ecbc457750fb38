//! Guards the encodings that other processes and later versions must be able to read: every message between gateways and
//! every record on disk is compared with recorded bytes. Each value must be encoded to exactly the recorded bytes, and the
//! recorded bytes must be decoded to the value.
//!
//! In postcard, the bytes depend on the order and the types of fields and variants. In JSON, they depend on names. Renaming
//! a field does not change a postcard encoding, and must not change a JSON encoding.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::Path;

use fernscale_lease::acceptor::{DurableHead, PeerRecord};
use fernscale_lease::message::{
    AcceptorReply, AcceptorRequest, Message, RecoveryReply, RecoveryRequest, Rejection,
};
use fernscale_lease::replicated_list::{Entry, Fragment, ListMessage, Version};
use fernscale_lease::{status as lease_status, AcceptorSetId, FencingToken, Name, ProcessId};
use fernscale_membership::packet::{
    CounterEntry, CounterTotal, FullState, MemberState, MemberUpdate, MemberView, MembershipView, Packet,
    PacketBody, Peer, StreamMessage,
};
use fernscale_membership::payload::{Channel, Payload};
use fernscale_membership::seal::{Key, Sealer};
use fernscale_outlier_detection::{status as server_status, HealthLevel};
use fernscale_shared_counter::gossip;
use fernscale_shared_counter::pn_counter::{Contribution, Instance};
use fernscale_subsetting::{load_reports, status as subset_status};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Reads a file of recorded bytes.
fn read_recorded(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/encodings").join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// Checks the encoding and the decoding of values against a recorded file. The file contains the encoded values one after
/// another, each with a length prefix.
fn check_recorded<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, values: &[T]) {
    let mut encoded = Vec::new();
    for value in values {
        let bytes = postcard::to_stdvec(value).expect("the value can be encoded");
        let decoded: T = postcard::from_bytes(&bytes).expect("encoded bytes can be decoded");
        assert_eq!(decoded, *value);
        encoded.extend((bytes.len() as u32).to_le_bytes());
        encoded.extend(bytes);
    }
    let recorded = read_recorded(name);
    assert_eq!(encoded, recorded, "the encoding differs from the recorded file '{name}'");
    let mut remaining = recorded.as_slice();
    for value in values {
        let (length, after_length) = remaining.split_at(4);
        let (bytes, after_bytes) =
            after_length.split_at(u32::from_le_bytes(length.try_into().expect("four bytes")) as usize);
        assert_eq!(
            postcard::from_bytes::<T>(bytes).expect("recorded bytes can be decoded"),
            *value,
            "the recorded file '{name}' is decoded to another value"
        );
        remaining = after_bytes;
    }
    assert!(remaining.is_empty());
}

fn peer(number: u64) -> Peer {
    let address = format!("127.0.0.{number}:7{number:03}").parse().expect("valid address");
    Peer { name: format!("gateway-{number}"), instance: Instance(0x0102_0304_0506_0700 + number), address }
}

fn member_updates() -> Vec<MemberUpdate> {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    (1..)
        .zip(states)
        .map(|(number, state)| MemberUpdate { peer: peer(number), incarnation: number as u32 * 7, state })
        .collect()
}

fn counter_entries() -> Vec<CounterEntry> {
    let entry = |key: &str, increments, decrements| {
        let contribution = Contribution { increments, decrements };
        CounterEntry { key: key.into(), instance: Instance(9), contribution, expires_in_ms: 59_000 }
    };
    vec![entry("q60000000:tenant-1", 12.25, 0.0), entry("o5:tenant-2", 3.0, 2.0)]
}

fn payload(channel: Channel) -> Payload {
    Payload { channel, body: vec![1, 2, 3, 255] }
}

const CHANNELS: [Channel; 4] =
    [Channel::Lease, Channel::EndpointList, Channel::Subsetting, Channel::OutlierDetection];

fn packets() -> Vec<Packet> {
    let mut bodies = vec![
        PacketBody::Ping(7),
        PacketBody::Ack(300),
        PacketBody::PingRequest(9, peer(3)),
        PacketBody::Empty,
    ];
    bodies.extend(CHANNELS.map(|channel| PacketBody::Payload(payload(channel))));
    let packet = |body| Packet {
        sender: peer(1),
        incarnation: 2,
        body,
        updates: member_updates(),
        counters: counter_entries(),
    };
    bodies.into_iter().map(packet).collect()
}

#[test]
fn membership_packets() {
    check_recorded("membership-packets.bin", &packets());
}

#[test]
fn membership_streams() {
    let full_state =
        FullState { sender: peer(2), incarnation: 1, updates: member_updates(), counters: counter_entries() };
    let member_view = |update: MemberUpdate| MemberView {
        peer: update.peer,
        state: update.state,
        incarnation: 5,
        last_heard_ms: 250,
    };
    let members = member_updates().into_iter().map(member_view).collect();
    let view = MembershipView {
        local: peer(1),
        members,
        configured_gateways: 3,
        counter_count: 2,
        counter_health: "good".into(),
    };
    let total = CounterTotal { key: "q1:tenant".into(), total: 17.5, expires_in_ms: 1_000 };
    let mut messages = vec![
        StreamMessage::FullState(full_state),
        StreamMessage::ListMembers,
        StreamMessage::Members(view),
        StreamMessage::ListCounters,
    ];
    messages.push(StreamMessage::CounterTotals(vec![total]));
    messages.extend(CHANNELS.map(|channel| StreamMessage::Payload(peer(1), payload(channel))));
    messages.extend(CHANNELS.map(|channel| StreamMessage::Query(channel, vec![4, 5])));
    messages.push(StreamMessage::QueryReply(vec![6]));
    check_recorded("membership-streams.bin", &messages);
}

#[test]
fn sealed_packets() {
    let key = Key::parse("00112233445566778899aabbccddeeff").expect("valid key");
    let (unix, instance) = (1_700_000_000_000_000, Instance(0x1122_3344_5566_7788));
    let mut sealer = Sealer::new(vec![key.clone()], instance).expect("one key");
    let sealed: Vec<Vec<u8>> = packets().iter().map(|packet| sealer.seal(unix, packet)).collect();
    check_recorded("sealed-packets.bin", &sealed);
    let mut opener = Sealer::new(vec![key], Instance(1)).expect("one key");
    for (bytes, packet) in sealed.iter().zip(packets()) {
        assert_eq!(opener.open::<Packet>(unix, bytes), Ok((instance, packet)));
    }
}

fn token(term: u64) -> FencingToken {
    FencingToken { term, process: ProcessId(0xfeed_0000 + term) }
}

fn acceptor_set() -> AcceptorSetId {
    AcceptorSetId { epoch: 3, digest: 0xabcd_ef01_2345 }
}

fn incarnations() -> BTreeMap<Name, u64> {
    [("gateway-1".into(), 4), ("gateway-2".into(), 700)].into()
}

#[test]
fn lease_messages() {
    let lease: Name = "list".into();
    let (acceptor, start): (Name, ProcessId) = ("gateway-3".into(), ProcessId(77));
    let reasons = [
        Rejection::HeldByOther { remaining: 1_500_000, holder: token(8) },
        Rejection::HigherPromise(token(9)),
        Rejection::NotVoting,
        Rejection::Overloaded,
        Rejection::CapacityExceeded,
        Rejection::DifferentAcceptors(acceptor_set()),
    ];
    let granted = AcceptorReply::Granted {
        lease: lease.clone(),
        token: token(5),
        round: 6,
        incarnation: 7,
        incarnations: incarnations(),
    };
    let recovery_reply = RecoveryReply {
        acceptor: acceptor.clone(),
        write_count: 12,
        incarnation: 2,
        is_initialized: true,
        lost_promises: false,
        never_promised: true,
        acceptors: acceptor_set(),
        frozen_epoch: 1,
        promises: [(lease.clone(), token(5)), ("billing".into(), token(6))].into(),
    };
    let recovery_request = RecoveryRequest {
        acceptor: acceptor.clone(),
        start,
        write_count: 11,
        incarnation: 3,
        lost_promises: true,
        is_empty: false,
    };
    let mut messages = vec![
        Message::Request(AcceptorRequest::Claim {
            lease: lease.clone(),
            token: token(5),
            round: 6,
            acceptors: acceptor_set(),
        }),
        Message::Request(AcceptorRequest::Release { lease: lease.clone(), token: token(5) }),
        Message::Request(AcceptorRequest::Recover(recovery_request)),
        Message::Request(AcceptorRequest::WriteCount { acceptor, write_count: 13, incarnation: 3 }),
        Message::Reply(granted),
        Message::Reply(AcceptorReply::Recovery(recovery_reply)),
        Message::Released { lease: lease.clone(), token: token(5) },
        Message::Offer { lease: lease.clone() },
    ];
    messages.extend(reasons.map(|reason| {
        let (lease, token) = (lease.clone(), token(4));
        Message::Reply(AcceptorReply::Rejected { lease, token, round: 2, reason })
    }));
    check_recorded("lease-messages.bin", &messages);
}

#[test]
fn lease_records_in_the_store() {
    let peer_record = |write_count, incarnation, start: Option<u64>| PeerRecord {
        write_count,
        incarnation,
        start: start.map(ProcessId),
    };
    let peers =
        [("gateway-1".into(), peer_record(1, 2, None)), ("gateway-2".into(), peer_record(3, 4, Some(5)))];
    let head = DurableHead {
        is_initialized: true,
        incarnation: 2,
        write_count: 30,
        peers: peers.into(),
        acceptors: acceptor_set(),
        frozen_epoch: 2,
    };
    check_recorded("lease-heads.bin", &[DurableHead::default(), head]);
    let promises: [(Name, FencingToken); 2] = [("list".into(), token(5)), ("billing".into(), token(600))];
    check_recorded("lease-promises.bin", &promises);
}

#[test]
fn list_fragments() {
    let entry =
        |name: &str, removed| Entry { name: name.into(), removed, body: format!("{{\"name\":\"{name}\"}}") };
    let entries = vec![entry("10.0.0.1:80", false), entry("10.0.0.2:80", true)];
    let version = Version { epoch: 5, index: 1_000 };
    let fragment = Fragment { version, since: Some(900), age_ms: 40, number: 1, count: 3, entries };
    let complete = Fragment { since: None, number: 0, count: 1, entries: Vec::new(), ..fragment.clone() };
    let messages = [
        ListMessage::Fragment(Some(token(5)), fragment),
        ListMessage::Fragment(None, complete),
        ListMessage::RequestComplete,
        ListMessage::Rejected(token(6)),
    ];
    check_recorded("list-fragments.bin", &messages);
}

#[test]
fn lease_queries_and_replies() {
    let queries = [
        lease_status::StatusQuery::Leases,
        lease_status::StatusQuery::Release("list".into()),
        lease_status::StatusQuery::Cordon(true),
        lease_status::StatusQuery::Cordon(false),
    ];
    check_recorded("lease-questions.bin", &queries);
    let lease_summary = |rank, held, last_rejection| lease_status::LeaseSummary {
        lease: "list".into(),
        rank,
        held,
        rejections: 2,
        last_rejection,
    };
    let view = |acceptor| lease_status::LeaseView {
        gateway: "gateway-1".into(),
        acceptor,
        cordoned: true,
        leases: vec![
            lease_summary(0, Some((token(5), 100, 900)), None),
            lease_summary(1, None, Some("no".into())),
        ],
        held: vec![lease_status::HeldLease { lease: "list".into(), holder: token(5), remaining_ms: 800 }],
        processes: vec![("gateway-1".into(), 9)],
    };
    let mut replies =
        vec![lease_status::StatusReply::Released(true), lease_status::StatusReply::Cordoned(false)];
    let acceptor_states = [
        None,
        Some(lease_status::AcceptorState::Voting),
        Some(lease_status::AcceptorState::Recovering),
        Some(lease_status::AcceptorState::NotVoting),
    ];
    replies.extend(acceptor_states.map(|state| lease_status::StatusReply::Leases(view(state))));
    check_recorded("lease-answers.bin", &replies);
}

#[test]
fn load_reports_and_subset_views() {
    let load_report = |step, is_leaving| load_reports::LoadReport {
        name: "gateway-1".into(),
        instance: 0x55,
        version: 3,
        step,
        zone: "north".into(),
        is_leaving,
    };
    check_recorded(
        "subset-reports.bin",
        &[
            gossip::GossipMessage::Reports(vec![load_report(0, false), load_report(31, true)]),
            gossip::GossipMessage::RequestAll,
        ],
    );
    let view = subset_status::SubsetView {
        gateway: "gateway-1".into(),
        min_servers: 12,
        prefers_own_zone: true,
        gateways: vec![subset_status::GatewayView { name: "gateway-2".into(), load: 1.5, zone: 1 }],
        servers: vec![subset_status::ServerView { name: "10.0.0.1:80".into(), weight: 2.0, zone: 0 }],
        uses: vec![("10.0.0.1:80".into(), 0.75)],
        avoids: vec!["10.0.0.2:80".into()],
    };
    check_recorded("subset-views.bin", &[view]);
}

#[test]
fn outlier_reports_and_views() {
    let health = HealthLevel { failures: 3, slowness: 1, samples: 4 };
    let report = fernscale_outlier_detection::ServerReport {
        instance: 0x66,
        server: "10.0.0.1:80".into(),
        started_at: 1_700_000_000_000_000,
        version: 2,
        zone: String::new(),
        health,
        represents: 5,
    };
    check_recorded(
        "outlier-reports.bin",
        &[
            fernscale_outlier_detection::Message::Reports(vec![report]),
            fernscale_outlier_detection::Message::RequestAll,
        ],
    );
    let statuses = [
        server_status::ServerStatus::Healthy,
        server_status::ServerStatus::OutlierHere,
        server_status::ServerStatus::EjectedForZone,
        server_status::ServerStatus::EjectedForAll,
        server_status::ServerStatus::Spared,
        server_status::ServerStatus::Returning,
    ];
    let server_view = |status| server_status::ServerView {
        server: "10.0.0.1:80".into(),
        status,
        observed: Some(health),
        against: 2.5,
        in_favor: 1.0,
        reporters: 3,
        ejected_ms: Some(1_200),
        next_trial: Some("gateway-2".into()),
    };
    let views = statuses.map(server_view).to_vec();
    check_recorded(
        "outlier-views.bin",
        &[server_status::OutlierView {
            gateway: "gateway-1".into(),
            ejected_share: 0.1,
            max_ejected_share: 0.25,
            servers: views,
        }],
    );
}

/// In JSON, the names of fields are part of the encoding.
#[test]
fn hot_restart_records() {
    use fernscale_hot_restart::state::{CordonRecord, ProcessRecord};
    let cordon = |stamp, cordoned| CordonRecord {
        stamp,
        by: 1_700_000_000_000_001,
        at: 1_700_000_000_000_002,
        cordoned,
    };
    let record = ProcessRecord {
        version: 3,
        cordons: [("10.0.0.1:80".into(), cordon(2, true)), ("10.0.0.2:80".into(), cordon(3, false))].into(),
        acknowledged: [(1_700_000_000_000_001, 2)].into(),
        descriptors: 400,
    };
    let recorded = read_recorded("process-record.json");
    assert_eq!(serde_json::to_string(&record).expect("the record can be encoded").as_bytes(), recorded);
    assert_eq!(
        serde_json::from_slice::<ProcessRecord>(&recorded).expect("the record can be decoded"),
        record
    );
}

/// The JSON output of `fernscale members --json`, in which the names of fields are part of the encoding too.
#[test]
fn json_views_for_operators() {
    let member_view = |update: MemberUpdate| MemberView {
        peer: update.peer,
        state: update.state,
        incarnation: 5,
        last_heard_ms: 250,
    };
    let members = member_updates().into_iter().map(member_view).collect();
    let view = MembershipView {
        local: peer(1),
        members,
        configured_gateways: 3,
        counter_count: 2,
        counter_health: "good".into(),
    };
    let totals = vec![CounterTotal { key: "q1:tenant".into(), total: 17.5, expires_in_ms: 1_000 }];
    let encoded_views = serde_json::json!({ "view": view, "sums": totals });
    assert_eq!(
        encoded_views,
        serde_json::from_slice::<serde_json::Value>(&read_recorded("members.json"))
            .expect("the recorded view can be parsed")
    );
}

#[test]
fn counter_health_has_its_recorded_names() {
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
