//! What nodes say to each other. A packet is one datagram; a `Full` goes over a stream.

use fernscale_shared_counter::pn_counter::{Contribution, Instance};
use serde::{Deserialize, Serialize};

use crate::payload::{Channel, Payload};
pub use crate::peer::Peer;

/// A datagram holds no more bytes, sealed: it must pass every usual link in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// What goes over a stream holds no more: some eighty thousand parts.
pub const MAX_STREAM_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    /// Taken for gone.
    Dead,
    /// It said itself that it goes.
    Left,
}

impl MemberState {
    /// Whether the member is alive or only suspected.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// What is said of a member, by itself or by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub peer: Peer,
    /// Raised by the member alone, to say that it is there after all.
    pub incarnation: u32,
    pub state: MemberState,
}

/// What an instance has added to a count, all in all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterEntry {
    pub key: String,
    pub instance: Instance,
    pub contribution: Contribution,
    /// Milliseconds that the count's name still lives: clocks differ, and spans don't.
    pub expires_in_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Are you there? With a number that the answer names.
    Ping(u64),
    Ack(u64),
    /// Ask another for me, and tell me if it answers.
    PingRequest(u64, Peer),
    /// Only what rides along.
    Empty,
    /// A message for others than the mesh.
    Payload(Payload),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    pub sender: Peer,
    pub incarnation: u32,
    pub body: PacketBody,
    pub updates: Vec<MemberUpdate>,
    pub counters: Vec<CounterEntry>,
}

/// All that a node knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FullState {
    pub sender: Peer,
    pub incarnation: u32,
    pub updates: Vec<MemberUpdate>,
    pub counters: Vec<CounterEntry>,
}

/// What is said over a stream, by either side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamMessage {
    FullState(FullState),
    /// Who is there? By an operator's tool that has the key.
    ListMembers,
    Members(MembershipView),
    /// What is known of all counts? By an operator's tool, too.
    ListCounters,
    CounterTotals(Vec<CounterTotal>),
    /// A message for others than the mesh, too long for a datagram; nothing is answered.
    Payload(Peer, Payload),
    /// A question by an operator's tool to those whom a kind concerns, and their answer.
    Query(Channel, Vec<u8>),
    QueryReply(Vec<u8>),
}

/// What all gateways together have added to a counter, as far as one of them knows.
///
/// Operators are shown it as JSON, where the older names are the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterTotal {
    #[serde(rename = "count")]
    pub key: String,
    pub total: f64,
    /// Milliseconds that the count's name still lives.
    #[serde(rename = "left_ms")]
    pub expires_in_ms: u32,
}

/// What a node sees, for people; as JSON too, where the older names are the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    #[serde(rename = "me")]
    pub local: Peer,
    pub members: Vec<MemberView>,
    /// Gateways that are configured.
    #[serde(rename = "gateways")]
    pub configured_gateways: u32,
    /// Counts that are known.
    #[serde(rename = "counts")]
    pub counter_count: u32,
    /// How the shared counter stands, in a word.
    #[serde(rename = "counter")]
    pub counter_health: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    pub peer: Peer,
    pub state: MemberState,
    pub incarnation: u32,
    /// Milliseconds since anything of its own came.
    #[serde(rename = "heard_ms")]
    pub last_heard_ms: u32,
}

impl MemberView {
    /// It is not taken for gone.
    pub fn is_alive(&self) -> bool {
        self.state.is_live()
    }
}
