//! Tests of a single candidate: its claims, and when it may act.

use std::collections::BTreeMap;

use fernscale_lease::candidate::{Candidate, Output};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest, Rejection};
use fernscale_lease::{AcceptorSet, FencingToken, LeaseSettings, Micros, Name, ProcessId, SECOND};

const SETTINGS: LeaseSettings = LeaseSettings { duration: 2 * SECOND, max_drift_ppm: 20_000 };

/// An acceptor that has promised a higher term to another candidate rejects renewals with the old term. The loss of one
/// more acceptor would then end the lease, although no other candidate claims it any more.
#[test]
fn a_holder_raises_its_term_above_a_promise_to_another_candidate() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let lease = Name::from("j");
    let mut candidate = Candidate::new(ProcessId(7), &AcceptorSet::initial(&names), SETTINGS, 1);
    candidate.pursue(0, &lease, 0);
    let sent_claims = |candidate: &mut Candidate, now: Micros| {
        candidate.handle_timeout(now);
        let mut sent_claims = Vec::new();
        while let Some(output) = candidate.poll_output() {
            if let Output::Request { to, request: AcceptorRequest::Claim { token, round, .. } } = output {
                sent_claims.push((to, token, round));
            }
        }
        sent_claims
    };
    let grant = |token, round| AcceptorReply::Granted {
        lease: lease.clone(),
        token,
        round,
        incarnation: 0,
        incarnations: BTreeMap::new(),
    };
    let [_, _, (_, token, round)] = sent_claims(&mut candidate, 0)[..] else {
        panic!("three claims are sent")
    };
    let other = FencingToken { term: 9, process: ProcessId(8) };
    let rejection = AcceptorReply::Rejected {
        lease: lease.clone(),
        token,
        round,
        reason: Rejection::HigherPromise(other),
    };
    candidate.handle_reply(1, &names[2], rejection);
    candidate.handle_reply(1, &names[0], grant(token, round));
    candidate.handle_reply(1, &names[1], grant(token, round));
    assert_eq!(candidate.authorization(2, "j").map(|authorization| authorization.token()), Some(token));
    let renewal = sent_claims(&mut candidate, SETTINGS.duration / 2);
    let raised = FencingToken { term: 10, process: ProcessId(7) };
    assert!(renewal.len() == 3 && renewal.iter().all(|(_, token, _)| *token == raised), "{renewal:?}");
    // Until a majority has granted the raised term, the first token stays valid. After lost replies the candidate
    // claims the same term again.
    assert_eq!(
        candidate.authorization(SETTINGS.duration / 2, "j").map(|authorization| authorization.token()),
        Some(token)
    );
    let now = SETTINGS.duration / 2 + SETTINGS.duration / 3;
    let resent = sent_claims(&mut candidate, now);
    assert!(resent.iter().all(|(_, token, _)| *token == raised), "{resent:?}");
    for (name, token, round) in resent {
        candidate.handle_reply(now, &name, grant(token, round));
    }
    assert_eq!(candidate.authorization(now, "j").map(|authorization| authorization.token()), Some(raised));
}
