//! Operators' questions.

use fernscale_lease::status::{AcceptorState, HeldLease, LeaseSummary, LeaseView, StatusQuery, StatusReply};
use slog::info;

use super::Leases;
use crate::transport::clock::boottime;

impl Leases {
    pub(super) fn reply_to_query(&self, query: &[u8]) -> Option<Vec<u8>> {
        let reply_to_query = match postcard::from_bytes(query).ok()? {
            StatusQuery::Leases => StatusReply::Leases(self.view()),
            StatusQuery::Release(lease) => StatusReply::Released(self.hand_over(&lease)),
            StatusQuery::Cordon(cordoned) => {
                self.core.borrow_mut().cordoned = cordoned;
                info!(self.host.log(), #"owner.cordon", "an operator has this gateway own nothing, or calls it back"; "out" => cordoned);
                StatusReply::Cordoned(cordoned)
            }
        };
        self.wake.notify(1);
        postcard::to_stdvec(&reply_to_query).ok()
    }

    fn view(&self) -> LeaseView {
        let (core, now) = (self.core.borrow(), boottime());
        let is_voter = self.settings.acceptors.names.contains(&self.name);
        let acceptor_state = is_voter.then(|| match &core.acceptor {
            Some(acceptor) if acceptor.has_failed() || core.name_is_taken => AcceptorState::NotVoting,
            Some(acceptor) if acceptor.is_voting() => AcceptorState::Voting,
            _ => AcceptorState::Recovering,
        });
        let jobs = core.candidate.lease_status(now).map(|status| LeaseSummary {
            rank: core.candidacy.rank(&status.lease) as u32,
            held: status
                .held
                .map(|(token, since, remaining)| (token, (now - since) / 1_000, remaining / 1_000)),
            rejections: status.rejections,
            last_rejection: status.last_rejection.map(|reason| reason.to_string()),
            lease: status.lease,
        });
        let held = core.acceptor.iter().flat_map(|acceptor| acceptor.held_leases(now));
        let held = held.map(|(lease, holder, remaining)| HeldLease {
            lease: lease.clone(),
            holder,
            remaining_ms: remaining / 1_000,
        });
        let name = self.membership.local();
        let live = self.membership.live_peers().into_iter().chain([name]);
        LeaseView {
            gateway: self.name.clone(),
            acceptor: acceptor_state,
            cordoned: core.cordoned,
            leases: jobs.collect(),
            held: held.collect(),
            processes: live.map(|peer| (peer.name.into(), peer.instance.0)).collect(),
        }
    }
}
