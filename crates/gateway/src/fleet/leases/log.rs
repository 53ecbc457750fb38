//! Log records of the lease subsystem, one for each event of the acceptor and the candidate. Operators' tools search for the
//! event names and field names, so these names must not change.

use fernscale_lease::acceptor::Event as AcceptorEvent;
use fernscale_lease::candidate::Event as CandidateEvent;
use fernscale_lease::FencingToken;
use slog::{info, warn, Logger};

/// Logs an event of the acceptor.
pub(super) fn log_acceptor_event(log: &Logger, event: &AcceptorEvent) {
    match event {
        AcceptorEvent::StartedVoting { recovered } => {
            info!(log, #"owner.votes", "the acceptor grants leases from now on"; "anew" => recovered);
        }
        AcceptorEvent::Retired => info!(log, #"owner.retired", "this gateway is no longer an acceptor"),
        AcceptorEvent::DifferentAcceptors(set) => warn!(log, #"owner.other-voters",
            "the store has another acceptor set than the configuration; the acceptor grants no leases"; "change" => set.epoch),
        AcceptorEvent::LostPromises => {
            warn!(log, #"owner.forgot", "the store lacks promises; waits to be readmitted by the other acceptors");
        }
        AcceptorEvent::StorageFailed => {
            warn!(log, #"owner.broken", "cannot make promises durable; reopens the store");
        }
    }
}

/// Logs an event of the candidate.
pub(super) fn log_candidate_event(log: &Logger, event: &CandidateEvent) {
    let process_id = |token: &FencingToken| format!("{:016x}", token.process.0);
    match event {
        CandidateEvent::Acquired { lease, token } => info!(log, #"owner.owns", "acquired a lease";
            "job" => &**lease, "term" => token.term, "run" => process_id(token)),
        CandidateEvent::Lost { lease, token } => warn!(log, #"owner.lost", "lost a lease";
            "job" => &**lease, "term" => token.term, "run" => process_id(token)),
        CandidateEvent::Released { lease, token } => info!(log, #"owner.left", "released a lease";
            "job" => &**lease, "term" => token.term, "run" => process_id(token)),
    }
}
