//! The messages between nodes, and between a node and an operator's tool. A `Packet` is one datagram, a `StreamMessage` goes
//! over a stream. They are encoded by `postcard`, so the order and types of fields and variants are the wire format. Sealing
//! and sending happen elsewhere.

use fernscale_shared_counter::pn_counter::{Contribution, Instance};
use serde::{Deserialize, Serialize};

use crate::payload::{Channel, Payload};
pub use crate::peer::Peer;

/// Bytes of a sealed datagram at the most, so that no usual link fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes of a sealed message over a stream at the most: some eighty thousand counter entries.
pub const MAX_STREAM_BYTES: usize = 4 * 1024 * 1024;

/// What a member is taken for. Within one incarnation the later variant overrides the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It acknowledges probes.
    Alive,
    /// It did not acknowledge a probe and may still refute the suspicion.
    Suspect,
    /// It did not refute a suspicion in time. A higher incarnation brings it back.
    Dead,
    /// It has shut down and announced that.
    Left,
}

impl MemberState {
    /// Whether the member is alive or only suspected.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// A claim about a member, by itself or by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub peer: Peer,
    /// Raised by the member alone, to refute that it is suspect or dead.
    pub incarnation: u32,
    /// What it is taken for.
    pub state: MemberState,
}

/// All that an instance has added to a counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterEntry {
    /// The counter's key.
    pub key: String,
    /// Who added.
    pub instance: Instance,
    /// What it has added since the counter began.
    pub contribution: Contribution,
    /// Milliseconds until the counter expires. A duration, as the nodes' clocks differ.
    pub expires_in_ms: u32,
}

/// What a packet asks for or answers, in SWIM's terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketBody {
    /// A probe, with the sequence number that the acknowledgement repeats.
    Ping(u64),
    /// The acknowledgement of the ping with this sequence number.
    Ack(u64),
    /// Asks the receiver to ping another node, and to pass on its acknowledgement with this sequence number.
    PingRequest(u64, Peer),
    /// Nothing but updates and counters.
    Empty,
    /// A message of another subsystem.
    Payload(Payload),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The node that sends it.
    pub sender: Peer,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// What it asks for or answers.
    pub body: PacketBody,
    /// Claims about members that are being disseminated.
    pub updates: Vec<MemberUpdate>,
    /// Counter contributions that are being disseminated.
    pub counters: Vec<CounterEntry>,
}

/// All that a node knows, for anti-entropy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FullState {
    /// The node whose state it is.
    pub sender: Peer,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The members that it knows, without those that left.
    pub updates: Vec<MemberUpdate>,
    /// All contributions to all counters that it knows.
    pub counters: Vec<CounterEntry>,
}

/// One message over a stream, from either side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// A node's state; the receiver replies with its own.
    FullState(FullState),
    /// Request of an operator's tool for the node's view of the membership.
    ListMembers,
    /// The reply to `ListMembers`.
    Members(MembershipView),
    /// Request of an operator's tool for the totals of all counters.
    ListCounters,
    /// The reply to `ListCounters`.
    CounterTotals(Vec<CounterTotal>),
    /// A message of another subsystem that is too long for a datagram, with its sender. It has no reply.
    Payload(Peer, Payload),
    /// Request of an operator's tool to the subsystem of a channel.
    Query(Channel, Vec<u8>),
    /// The reply to `Query`.
    QueryReply(Vec<u8>),
}

/// What all gateways together have added to a counter, as far as one of them knows.
///
/// Operators are shown it as JSON, where the older names are the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterTotal {
    /// The counter's key.
    #[serde(rename = "count")]
    pub key: String,
    /// The sum of all contributions that the node knows.
    pub total: f64,
    /// Milliseconds until the counter expires.
    #[serde(rename = "left_ms")]
    pub expires_in_ms: u32,
}

/// A node's view of the membership.
///
/// Operators are shown it as JSON, where the older names are the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    /// The node itself.
    #[serde(rename = "me")]
    pub local: Peer,
    /// The other nodes.
    pub members: Vec<MemberView>,
    /// Number of gateways that are configured.
    #[serde(rename = "gateways")]
    pub configured_gateways: u32,
    /// Number of counters that are known.
    #[serde(rename = "counts")]
    pub counter_count: u32,
    /// The state of the shared counter, in one word.
    #[serde(rename = "counter")]
    pub counter_health: String,
}

/// One member as a node knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member.
    pub peer: Peer,
    /// What it is taken for.
    pub state: MemberState,
    /// The highest incarnation that the node knows of.
    pub incarnation: u32,
    /// Milliseconds since a message of its own last arrived.
    #[serde(rename = "heard_ms")]
    pub last_heard_ms: u32,
}

impl MemberView {
    /// Whether the member is alive or only suspected.
    pub fn is_alive(&self) -> bool {
        self.state.is_live()
    }
}
