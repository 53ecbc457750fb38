//! What nodes say to each other. A packet is one datagram; a `Full` goes over a stream.

use std::net::SocketAddr;

use fernscale_shared_counter::vectors::{Instance, Part};
use serde::{Deserialize, Serialize};

use crate::carry::{Carried, Kind};

/// A datagram holds no more bytes, sealed: it must pass every usual link in one piece.
pub const MOST_BYTES: usize = 1_200;
/// What goes over a stream holds no more: some eighty thousand parts.
pub const MOST_FULL: usize = 4 * 1024 * 1024;

/// Who a node is: its configured name, this run of it, and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    pub name: String,
    pub instance: Instance,
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    /// Taken for gone.
    Dead,
    /// It said itself that it goes.
    Left,
}

/// What is said of a member, by itself or by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub of: Peer,
    /// Raised by the member alone, to say that it is there after all.
    pub incarnation: u32,
    pub state: State,
}

/// What an instance has added to a count, all in all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub count: String,
    pub of: Instance,
    pub part: Part,
    /// Milliseconds that the count's name still lives: clocks differ, and spans don't.
    pub left_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Are you there? With a number that the answer names.
    Ping(u64),
    Ack(u64),
    /// Ask another for me, and tell me if it answers.
    PingFor(u64, Peer),
    /// Only what rides along.
    Nothing,
    /// A message for others than the mesh.
    Carry(Carried),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    pub from: Peer,
    pub incarnation: u32,
    pub word: Word,
    pub news: Vec<News>,
    pub counts: Vec<Told>,
}

/// All that a node knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Full {
    pub from: Peer,
    pub incarnation: u32,
    pub news: Vec<News>,
    pub counts: Vec<Told>,
}

/// What is said over a stream, by either side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stream {
    Full(Full),
    /// Who is there? By an operator's tool that has the key.
    Who,
    View(View),
    /// What is known of all counts? By an operator's tool, too.
    Counts,
    Sums(Vec<Sum>),
    /// A message for others than the mesh, too long for a datagram; nothing is answered.
    Carry(Peer, Carried),
    /// A question by an operator's tool to those whom a kind concerns, and their answer.
    Ask(Kind, Vec<u8>),
    Answer(Vec<u8>),
}

/// What all gateways together have added to a count, as far as one of them knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    pub count: String,
    pub total: f64,
    /// Milliseconds that the count's name still lives.
    pub left_ms: u32,
}

/// What a node sees, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub me: Peer,
    pub members: Vec<Viewed>,
    /// Gateways that are configured.
    pub gateways: u32,
    /// Counts that are known.
    pub counts: u32,
    /// How the shared counter stands, in a word.
    pub counter: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Viewed {
    pub peer: Peer,
    pub state: State,
    pub incarnation: u32,
    /// Milliseconds since anything of its own came.
    pub heard_ms: u32,
}

impl Viewed {
    /// It is not taken for gone.
    pub fn alive(&self) -> bool {
        self.state <= State::Suspect
    }
}
