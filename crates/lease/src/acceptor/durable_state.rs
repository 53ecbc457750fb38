//! What an acceptor keeps on disk: its promises, and the head that is rewritten with each of them. This module defines the
//! records and how a change applies to them; it never writes anything itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::RecoveryReply;
use crate::{AcceptorSetId, FencingToken, Name, ProcessId};

/// Replaces the process in a promise whose term belongs to nobody. Process ids are random numbers of 64 bits.
const NO_PROCESS: ProcessId = ProcessId(0);

/// All that an acceptor keeps on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// It has voted or was admitted before. An empty store is not initialized.
    pub is_initialized: bool,
    /// Raised each time that it is readmitted after a loss of promises.
    pub incarnation: u64,
    /// Number of writes so far.
    pub write_count: u64,
    /// The highest promise for each lease.
    pub promises: BTreeMap<Name, FencingToken>,
    /// What the other acceptors have announced of themselves.
    pub peers: BTreeMap<Name, PeerRecord>,
    /// The acceptor set under which it promises.
    pub acceptors: AcceptorSetId,
    /// It grants nothing under the acceptor sets of earlier epochs than this.
    pub frozen_epoch: u32,
}

/// One write: the head, and the promises that are new. The cost of a promise does not depend on their number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateChange {
    /// Replaces the head that is stored.
    pub head: DurableHead,
    /// Replace the promises for the same leases.
    pub promises: Vec<(Name, FencingToken)>,
}

/// The durable state without the promises; the fields are those of [`DurableState`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableHead {
    /// As in [`DurableState`].
    pub is_initialized: bool,
    /// As in [`DurableState`].
    pub incarnation: u64,
    /// As in [`DurableState`].
    pub write_count: u64,
    /// As in [`DurableState`].
    pub peers: BTreeMap<Name, PeerRecord>,
    /// As in [`DurableState`].
    pub acceptors: AcceptorSetId,
    /// As in [`DurableState`].
    pub frozen_epoch: u32,
}

/// What an acceptor remembers of another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Highest number of writes that it is known to have made.
    pub write_count: u64,
    /// Lowest incarnation of it whose promises count.
    pub incarnation: u64,
    /// The start of it to which that incarnation was given here.
    pub start: Option<ProcessId>,
}

impl DurableState {
    /// Applies a write, as reading the store after it would.
    pub fn apply(&mut self, change: &StateChange) {
        let head = change.head.clone();
        self.is_initialized = head.is_initialized;
        self.incarnation = head.incarnation;
        self.write_count = head.write_count;
        self.peers = head.peers;
        self.acceptors = head.acceptors;
        self.frozen_epoch = head.frozen_epoch;
        self.promises.extend(change.promises.iter().cloned());
    }

    pub(super) fn head(&self) -> DurableHead {
        DurableHead {
            is_initialized: self.is_initialized,
            incarnation: self.incarnation,
            write_count: self.write_count,
            peers: self.peers.clone(),
            acceptors: self.acceptors,
            frozen_epoch: self.frozen_epoch,
        }
    }

    /// The state belongs to a later acceptor set, or to another one of the same epoch. A change of the set that has begun
    /// must be finished: under the previous set nothing may be promised any more.
    pub(super) fn conflicts_with(&self, acceptors: AcceptorSetId) -> bool {
        let is_later = self.acceptors.epoch.max(self.frozen_epoch) > acceptors.epoch;
        let differs = self.acceptors.epoch == acceptors.epoch && self.acceptors != acceptors;
        self.is_initialized && (is_later || differs)
    }

    /// Adopts the promises of another acceptor where they are higher. With `lost_promises` this state lacks promises that
    /// it has made.
    pub(super) fn adopt(&mut self, reply: &RecoveryReply, lost_promises: bool) {
        for (lease, token) in &reply.promises {
            let own = self.promises.entry(lease.clone()).or_insert(*token);
            if token.term > own.term {
                *own = *token;
            } else if lost_promises && token.term == own.term && token.process != own.process {
                // Danger: this acceptor promised the term to one of the two, which may hold the lease by it, and no longer
                // knows to which one. Where nothing is lost its own promise is the one that it made.
                own.process = NO_PROCESS;
            }
        }
        self.write_count = self.write_count.max(reply.write_count);
        self.incarnation = self.incarnation.max(reply.incarnation);
    }
}
