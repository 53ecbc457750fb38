//! What the log says of leases.

use fernscale_lease::acceptor::Event as Voted;
use fernscale_lease::candidate::Event as Owned;
use fernscale_lease::FencingToken;
use slog::{info, warn};

use super::Leases;

impl Leases {
    pub(super) fn tell_voted(&self, event: &Voted) {
        let log = self.host.log();
        match event {
            Voted::StartedVoting { recovered: anew } => {
                info!(log, #"owner.votes", "promises jobs from now on"; "anew" => anew)
            }
            Voted::Retired => info!(log, #"owner.retired", "is no voter any more"),
            Voted::DifferentAcceptors(set) => warn!(log, #"owner.other-voters",
                "the folder counts by other voters than the configuration; nothing is promised"; "change" => set.epoch),
            Voted::LostPromises => {
                warn!(log, #"owner.forgot", "the folder lacks promises; waits to be let in anew")
            }
            Voted::StorageFailed => {
                warn!(log, #"owner.broken", "promises can't be made durable; the store is opened anew")
            }
        }
    }

    pub(super) fn tell_owned(&self, event: &Owned) {
        let log = self.host.log();
        let run = |fence: &FencingToken| format!("{:016x}", fence.process.0);
        match event {
            Owned::Acquired { lease: job, token: fence } => {
                info!(log, #"owner.owns", "owns a job of the fleet";
                "job" => &**job, "term" => fence.term, "run" => run(fence))
            }
            Owned::Lost { lease: job, token: fence } => warn!(log, #"owner.lost", "owns a job no more";
                "job" => &**job, "term" => fence.term, "run" => run(fence)),
            Owned::Released { lease: job, token: fence } => info!(log, #"owner.left", "has given a job back";
                "job" => &**job, "term" => fence.term, "run" => run(fence)),
        }
    }
}
