//! Replies to operators' queries about leases. The only changes that an operator can make with a query are to release a
//! lease and to cordon this gateway or lift its cordon.

use fernscale_lease::status::{AcceptorState, HeldLease, LeaseSummary, LeaseView, StatusQuery, StatusReply};
use slog::info;

use super::{Core, Leases};
use crate::transport::clock::boottime;

impl Leases {
    /// Returns the encoded reply to an encoded [`StatusQuery`], or `None` if the query cannot be decoded.
    pub(super) fn reply_to_query(&self, query: &[u8]) -> Option<Vec<u8>> {
        let reply = match postcard::from_bytes(query).ok()? {
            StatusQuery::Leases => StatusReply::Leases(self.view()),
            StatusQuery::Release(lease) => StatusReply::Released(self.hand_over(&lease)),
            StatusQuery::Cordon(cordoned) => {
                self.core.borrow_mut().cordoned = cordoned;
                info!(self.host.log(), #"owner.cordon", "an operator set or lifted this gateway's cordon for leases";
                    "out" => cordoned);
                StatusReply::Cordoned(cordoned)
            }
        };
        self.wake.notify(1);
        postcard::to_stdvec(&reply).ok()
    }

    /// The state of all leases, as this gateway knows it.
    fn view(&self) -> LeaseView {
        let core = self.core.borrow();
        let now = boottime();
        let leases = core.candidate.lease_status(now).map(|status| LeaseSummary {
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
        let processes = self.membership.live_peers().into_iter().chain([self.membership.local()]);
        LeaseView {
            gateway: self.name.clone(),
            acceptor: self.acceptor_state(&core),
            cordoned: core.cordoned,
            leases: leases.collect(),
            held: held.collect(),
            processes: processes.map(|peer| (peer.name.into(), peer.instance.0)).collect(),
        }
    }

    /// The state of this gateway's acceptor, or `None` if this gateway is not in the acceptor set.
    fn acceptor_state(&self, core: &Core) -> Option<AcceptorState> {
        if !self.settings.acceptors.names.contains(&self.name) {
            return None;
        }
        Some(match &core.acceptor {
            Some(acceptor) if acceptor.has_failed() || core.has_duplicate_name => AcceptorState::NotVoting,
            Some(acceptor) if acceptor.is_voting() => AcceptorState::Voting,
            _ => AcceptorState::Recovering,
        })
    }
}
