//! The durable state of an acceptor: its promises, and the head that is rewritten with each promise. This module
//! defines the records and applies changes to them. The caller writes them to disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::RecoveryReply;
use crate::{AcceptorSetId, FencingToken, Name, ProcessId};

/// Stands for the process in a promise whose term belongs to no process. Process ids are random numbers of 64 bits.
const NO_PROCESS: ProcessId = ProcessId(0);

/// The complete durable state of an acceptor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Whether the acceptor has voted or was admitted before. An empty store is not initialized.
    pub is_initialized: bool,
    /// Rises each time the acceptor is readmitted after a loss of promises.
    pub incarnation: u64,
    /// Number of writes so far.
    pub write_count: u64,
    /// The highest promise for each lease.
    pub promises: BTreeMap<Name, FencingToken>,
    /// What the other acceptors have announced about themselves.
    pub peers: BTreeMap<Name, PeerRecord>,
    /// The acceptor set under which the acceptor promises.
    pub acceptors: AcceptorSetId,
    /// The acceptor grants nothing under acceptor sets of epochs before this epoch.
    pub frozen_epoch: u32,
}

/// One write: the head and the new promises. The cost of a write does not depend on the number of stored promises.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateChange {
    /// The new head, which replaces the stored head.
    pub head: DurableHead,
    /// The new promises, which replace the stored promises for the same leases.
    pub promises: Vec<(Name, FencingToken)>,
}

/// The durable state without the promises. The fields have the same meaning as in [`DurableState`].
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

/// What an acceptor remembers about another acceptor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Highest known number of durable writes of the other acceptor.
    pub write_count: u64,
    /// Lowest incarnation of the other acceptor whose promises count.
    pub incarnation: u64,
    /// The start of the other acceptor to which this acceptor gave the incarnation.
    pub start: Option<ProcessId>,
}

impl DurableState {
    /// Applies a write. The result equals the state that is read from the store after the write.
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

    /// Whether the state belongs to a later acceptor set, or to another set of the same epoch. A change of the set that
    /// has begun must be finished: nothing may be promised under the previous set any more.
    pub(super) fn conflicts_with(&self, acceptors: AcceptorSetId) -> bool {
        let is_later = self.acceptors.epoch.max(self.frozen_epoch) > acceptors.epoch;
        let differs = self.acceptors.epoch == acceptors.epoch && self.acceptors != acceptors;
        self.is_initialized && (is_later || differs)
    }

    /// Adopts the promises of another acceptor that are higher than the local promises. With `lost_promises` this state
    /// lacks promises that this acceptor has made.
    pub(super) fn adopt(&mut self, reply: &RecoveryReply, lost_promises: bool) {
        for (lease, token) in &reply.promises {
            let own = self.promises.entry(lease.clone()).or_insert(*token);
            if token.term > own.term {
                *own = *token;
            } else if lost_promises && token.term == own.term && token.process != own.process {
                // This acceptor promised the term to one of the two processes, which may hold the lease by that
                // promise, and has lost the record of which process it was. If no promise is lost, the local promise is
                // the valid one.
                own.process = NO_PROCESS;
            }
        }
        self.write_count = self.write_count.max(reply.write_count);
        self.incarnation = self.incarnation.max(reply.incarnation);
    }
}
