//! Operators' questions.

use fernscale_lease::status::{AcceptorState, HeldLease, LeaseSummary, LeaseView, StatusQuery, StatusReply};
use slog::info;

use super::Leases;
use crate::transport::clock::boottime;

impl Leases {
    pub(super) fn answer(&self, question: &[u8]) -> Option<Vec<u8>> {
        let answer = match postcard::from_bytes(question).ok()? {
            StatusQuery::Leases => StatusReply::Leases(self.view()),
            StatusQuery::Release(job) => StatusReply::Released(self.hand_over(&job)),
            StatusQuery::Cordon(on) => {
                self.core.borrow_mut().cordoned = on;
                info!(self.host.log(), #"owner.cordon", "an operator has this gateway own nothing, or calls it back"; "out" => on);
                StatusReply::Cordoned(on)
            }
        };
        self.wake.notify(1);
        postcard::to_stdvec(&answer).ok()
    }

    fn view(&self) -> LeaseView {
        let (core, now) = (self.core.borrow(), boottime());
        let is_voter = self.settings.acceptors.names.contains(&self.me);
        let votes = is_voter.then(|| match &core.voter {
            Some(voter) if voter.has_failed() || core.doubled => AcceptorState::NotVoting,
            Some(voter) if voter.is_voting() => AcceptorState::Voting,
            _ => AcceptorState::Recovering,
        });
        let jobs = core.claimer.lease_status(now).map(|own| LeaseSummary {
            rank: core.roster.rank(&own.lease) as u32,
            held: own.held.map(|(fence, since, left)| (fence, (now - since) / 1_000, left / 1_000)),
            rejections: own.rejections,
            last_rejection: own.last_rejection.map(|why| why.to_string()),
            lease: own.lease,
        });
        let held = core.voter.iter().flat_map(|voter| voter.held_leases(now));
        let held = held.map(|(job, by, left)| HeldLease {
            lease: job.clone(),
            holder: by,
            remaining_ms: left / 1_000,
        });
        let me = self.mesh.local();
        let live = self.mesh.live_peers().into_iter().chain([me]);
        LeaseView {
            gateway: self.me.clone(),
            acceptor: votes,
            cordoned: core.cordoned,
            leases: jobs.collect(),
            held: held.collect(),
            processes: live.map(|peer| (peer.name.into(), peer.instance.0)).collect(),
        }
    }
}
