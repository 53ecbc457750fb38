//! One candidate: what it claims, and when it may act.

use std::collections::BTreeMap;

use fernscale_lease::candidate::{Candidate, Output};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest, Rejection};
use fernscale_lease::{AcceptorSet, FencingToken, LeaseSettings, Micros, Name, ProcessId, SECOND};

const TERMS: LeaseSettings = LeaseSettings { duration: 2 * SECOND, max_drift_ppm: 20_000 };

/// Danger: an acceptor that has promised a higher term to another candidate renews nothing, so that the loss of one more ends
/// a lease that nobody wants.
#[test]
fn a_holder_raises_its_term_above_a_promise_to_another_candidate() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let lease = Name::from("j");
    let mut candidate = Candidate::new(ProcessId(7), &AcceptorSet::initial(&names), TERMS, 1);
    candidate.pursue(0, &lease, 0);
    let sent_claims = |candidate: &mut Candidate, now: Micros| {
        candidate.handle_timeout(now);
        let mut sent_claims = Vec::new();
        while let Some(output) = candidate.poll_output() {
            if let Output::Request { to, request: AcceptorRequest::Claim { token, round: number, .. } } =
                output
            {
                sent_claims.push((to, token, number));
            }
        }
        sent_claims
    };
    let grant = |token, number| AcceptorReply::Granted {
        lease: lease.clone(),
        token,
        round: number,
        incarnation: 0,
        incarnations: BTreeMap::new(),
    };
    let [_, _, (_, token, number)] = sent_claims(&mut candidate, 0)[..] else {
        panic!("three claims are sent")
    };
    let other = FencingToken { term: 9, process: ProcessId(8) };
    let rejection = AcceptorReply::Rejected {
        lease: lease.clone(),
        token,
        round: number,
        reason: Rejection::HigherPromise(other),
    };
    candidate.handle_reply(1, &names[2], rejection);
    candidate.handle_reply(1, &names[0], grant(token, number));
    candidate.handle_reply(1, &names[1], grant(token, number));
    assert_eq!(candidate.authorization(2, "j").map(|authorization| authorization.token()), Some(token));
    let renewal = sent_claims(&mut candidate, TERMS.duration / 2);
    let raised = FencingToken { term: 10, process: ProcessId(7) };
    assert!(renewal.len() == 3 && renewal.iter().all(|(_, token, _)| *token == raised), "{renewal:?}");
    // Until a majority has granted that, the first token is valid; after a loss the same term is claimed again.
    assert_eq!(
        candidate.authorization(TERMS.duration / 2, "j").map(|authorization| authorization.token()),
        Some(token)
    );
    let now = TERMS.duration / 2 + TERMS.duration / 3;
    let again = sent_claims(&mut candidate, now);
    assert!(again.iter().all(|(_, token, _)| *token == raised), "{again:?}");
    for (name, token, number) in again {
        candidate.handle_reply(now, &name, grant(token, number));
    }
    assert_eq!(candidate.authorization(now, "j").map(|authorization| authorization.token()), Some(raised));
}
