//! Log records of the lease subsystem: one for each event of the acceptor and the candidate. Event names and keys are
//! those that operators' tools search for, so they stay as they are.

use fernscale_lease::acceptor::Event as AcceptorEvent;
use fernscale_lease::candidate::Event as CandidateEvent;
use fernscale_lease::FencingToken;
use slog::{info, warn, Logger};

pub(super) fn log_acceptor_event(log: &Logger, event: &AcceptorEvent) {
    match event {
        AcceptorEvent::StartedVoting { recovered } => {
            info!(log, #"owner.votes", "promises jobs from now on"; "anew" => recovered);
        }
        AcceptorEvent::Retired => info!(log, #"owner.retired", "is no voter any more"),
        AcceptorEvent::DifferentAcceptors(set) => warn!(log, #"owner.other-voters",
            "the folder counts by other voters than the configuration; nothing is promised"; "change" => set.epoch),
        AcceptorEvent::LostPromises => {
            warn!(log, #"owner.forgot", "the folder lacks promises; waits to be let in anew");
        }
        AcceptorEvent::StorageFailed => {
            warn!(log, #"owner.broken", "promises can't be made durable; the store is opened anew");
        }
    }
}

pub(super) fn log_candidate_event(log: &Logger, event: &CandidateEvent) {
    let process = |token: &FencingToken| format!("{:016x}", token.process.0);
    match event {
        CandidateEvent::Acquired { lease, token } => info!(log, #"owner.owns", "owns a job of the fleet";
            "job" => &**lease, "term" => token.term, "run" => process(token)),
        CandidateEvent::Lost { lease, token } => warn!(log, #"owner.lost", "owns a job no more";
            "job" => &**lease, "term" => token.term, "run" => process(token)),
        CandidateEvent::Released { lease, token } => info!(log, #"owner.left", "has given a job back";
            "job" => &**lease, "term" => token.term, "run" => process(token)),
    }
}
