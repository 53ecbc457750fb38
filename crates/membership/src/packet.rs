//! The messages between nodes, and between a node and an operator's tool. A `Packet` is one datagram, a `StreamMessage` is
//! sent over a stream. `postcard` encodes both, so the order and types of fields and variants are the wire format. The
//! module `seal` authenticates the messages; the caller sends them.

use fernscale_shared_counter::pn_counter::{Contribution, Instance};
use serde::{Deserialize, Serialize};

use crate::payload::{Channel, Payload};
pub use crate::peer::Peer;

/// Maximum size of a sealed datagram, so that common links do not fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum size of a sealed stream message: about eighty thousand counter entries.
pub const MAX_STREAM_BYTES: usize = 4 * 1024 * 1024;

/// The state of a member. Within one incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member acknowledges probes.
    Alive,
    /// The member did not acknowledge a probe, and may still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time. A higher incarnation makes it live again.
    Dead,
    /// The member shut down and announced it.
    Left,
}

impl MemberState {
    /// Whether the member is alive or suspected.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// A claim about the state of a member, by the member itself or by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub peer: Peer,
    /// The member's incarnation. Only the member itself raises it, to refute that it is suspect or dead.
    pub incarnation: u32,
    /// The claimed state.
    pub state: MemberState,
}

/// The contribution of an instance to a counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterEntry {
    /// The counter's key.
    pub key: String,
    /// The contributing instance.
    pub instance: Instance,
    /// What the instance has added since the counter was created.
    pub contribution: Contribution,
    /// Milliseconds until the counter expires. It is a duration because the nodes' clocks differ.
    pub expires_in_ms: u32,
}

/// The request or reply of a packet, in SWIM's terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketBody {
    /// A probe. The acknowledgement repeats its sequence number.
    Ping(u64),
    /// The acknowledgement of the ping with this sequence number.
    Ack(u64),
    /// Asks the receiver to ping another node, and to forward the acknowledgement with this sequence number.
    PingRequest(u64, Peer),
    /// No request or reply: the packet contains only updates and counters.
    Empty,
    /// A message of another subsystem.
    Payload(Payload),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sending node.
    pub sender: Peer,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The request or reply.
    pub body: PacketBody,
    /// Membership updates that are being disseminated.
    pub updates: Vec<MemberUpdate>,
    /// Counter contributions that are being disseminated.
    pub counters: Vec<CounterEntry>,
}

/// The complete state of a node, for anti-entropy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FullState {
    /// The node that sends its state.
    pub sender: Peer,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The members that the node knows, without those that left.
    pub updates: Vec<MemberUpdate>,
    /// All counter contributions that the node knows.
    pub counters: Vec<CounterEntry>,
}

/// One message over a stream, in either direction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// A node's state; the receiver replies with its own.
    FullState(FullState),
    /// Request from an operator's tool for the node's view of the membership.
    ListMembers,
    /// The reply to `ListMembers`.
    Members(MembershipView),
    /// Request from an operator's tool for the totals of all counters.
    ListCounters,
    /// The reply to `ListCounters`.
    CounterTotals(Vec<CounterTotal>),
    /// The sender and a payload of another subsystem that is too long for a datagram. It has no reply.
    Payload(Peer, Payload),
    /// Request from an operator's tool to the subsystem of a channel.
    Query(Channel, Vec<u8>),
    /// The reply to `Query`.
    QueryReply(Vec<u8>),
}

/// The total of a counter according to one node.
///
/// Operators' tools print this as JSON, in which the fields keep their older names.
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
/// Operators' tools print this as JSON, in which the fields keep their older names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    /// The node itself.
    #[serde(rename = "me")]
    pub local: Peer,
    /// The other nodes.
    pub members: Vec<MemberView>,
    /// Number of configured gateways.
    #[serde(rename = "gateways")]
    pub configured_gateways: u32,
    /// Number of counters that the node knows.
    #[serde(rename = "counts")]
    pub counter_count: u32,
    /// The health of the shared counter, as one of the names of `CounterHealth`.
    #[serde(rename = "counter")]
    pub counter_health: String,
}

/// One member as a node knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member.
    pub peer: Peer,
    /// The member's state according to the node.
    pub state: MemberState,
    /// The highest incarnation that the node knows.
    pub incarnation: u32,
    /// Milliseconds since the node last received a message from the member.
    #[serde(rename = "heard_ms")]
    pub last_heard_ms: u32,
}

impl MemberView {
    /// Whether the member is alive or suspected.
    pub fn is_alive(&self) -> bool {
        self.state.is_live()
    }
}
