//! Tests of a single acceptor: its grants after a start, a loss of promises and a change of the acceptor set, and with
//! a slow disk.

use std::collections::BTreeMap;

use fernscale_lease::acceptor::{Acceptor, DurableState, Event, Output};
use fernscale_lease::message::{AcceptorReply, AcceptorRequest, RecoveryReply, Rejection};
use fernscale_lease::{AcceptorSet, FencingToken, LeaseSettings, Micros, Name, ProcessId, SECOND};

const SETTINGS: LeaseSettings = LeaseSettings { duration: 2 * SECOND, max_drift_ppm: 20_000 };

/// Returns all outputs except writes, which complete at once.
fn drain(acceptor: &mut Acceptor, now: Micros) -> Vec<Output> {
    let mut all = Vec::new();
    while let Some(output) = acceptor.poll_output() {
        match output {
            Output::Persist { number, .. } => acceptor.write_completed(now, number, true),
            other => all.push(other),
        }
    }
    all
}

#[test]
fn an_acceptor_that_has_begun_a_change_promises_nothing_under_the_previous_set() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let old = AcceptorSet::initial(&names);
    let durable = DurableState {
        is_initialized: true,
        acceptors: old.id(),
        frozen_epoch: 1,
        ..DurableState::default()
    };
    let mut acceptor = Acceptor::new(&names[0], ProcessId(1), &old, SETTINGS, durable, 0);
    assert_eq!(acceptor.poll_output(), Some(Output::Event(Event::DifferentAcceptors(old.id()))));
    let others = AcceptorSet::initial(&[names[0].clone()]);
    let durable = DurableState { is_initialized: true, acceptors: old.id(), ..DurableState::default() };
    let mut acceptor = Acceptor::new(&names[0], ProcessId(1), &others, SETTINGS, durable, 0);
    assert_eq!(acceptor.poll_output(), Some(Output::Event(Event::DifferentAcceptors(old.id()))));
    let mut acceptor = Acceptor::new(&names[0], ProcessId(1), &old, SETTINGS, DurableState::default(), 0);
    let token = FencingToken { term: 1, process: ProcessId(7) };
    acceptor.handle_request(
        1,
        ProcessId(7),
        AcceptorRequest::Claim { lease: "j".into(), token, round: 1, acceptors: others.id() },
    );
    assert!(matches!(
        acceptor.poll_output(),
        Some(Output::Reply { reply: AcceptorReply::Rejected { .. }, .. })
    ));
}

#[test]
fn promises_of_the_previous_set_are_adopted_once_a_majority_of_it_has_stopped() {
    let names: Vec<Name> = ["a", "b", "c", "d"].into_iter().map(Name::from).collect();
    let old = AcceptorSet::initial(&names[..3]);
    let new = AcceptorSet { epoch: 1, names: names[1..].to_vec(), previous_names: names[..3].to_vec() };
    let durable = DurableState { is_initialized: true, acceptors: old.id(), ..DurableState::default() };
    let mut acceptor = Acceptor::new(&names[1], ProcessId(1), &new, SETTINGS, durable, 0);
    acceptor.handle_timeout(0);
    drain(&mut acceptor, 0);
    let token = FencingToken { term: 4, process: ProcessId(7) };
    let recovery_reply = |frozen: u32| RecoveryReply {
        acceptor: names[1].clone(),
        write_count: 0,
        incarnation: 0,
        is_initialized: true,
        lost_promises: false,
        never_promised: false,
        acceptors: old.id(),
        frozen_epoch: frozen,
        promises: BTreeMap::from([("j".into(), token)]),
    };
    // The first acceptor may still promise the lease under the old set, as part of a majority of that set.
    acceptor.handle_peer_reply(&names[0], AcceptorReply::Recovery(recovery_reply(0)));
    drain(&mut acceptor, 0);
    assert!(!acceptor.is_voting());
    acceptor.handle_peer_reply(&names[0], AcceptorReply::Recovery(recovery_reply(1)));
    let outputs = drain(&mut acceptor, 1);
    assert!(
        acceptor.is_voting() && outputs.contains(&Output::Event(Event::StartedVoting { recovered: false })),
        "{outputs:?}"
    );
    let claim = |term: u64, set| AcceptorRequest::Claim {
        lease: "j".into(),
        token: FencingToken { term, process: ProcessId(9) },
        round: 1,
        acceptors: set,
    };
    acceptor.handle_request(2 * SETTINGS.duration, ProcessId(9), claim(4, new.id()));
    acceptor.handle_request(2 * SETTINGS.duration, ProcessId(9), claim(5, old.id()));
    let rejections: Vec<_> = drain(&mut acceptor, 2 * SETTINGS.duration)
        .into_iter()
        .filter_map(|output| match output {
            Output::Reply { reply: AcceptorReply::Rejected { reason, .. }, .. } => Some(reason),
            _ => None,
        })
        .collect();
    assert_eq!(rejections, [Rejection::HigherPromise(token), Rejection::DifferentAcceptors(new.id())]);
    acceptor.handle_request(2 * SETTINGS.duration, ProcessId(9), claim(5, new.id()));
    let outputs = drain(&mut acceptor, 2 * SETTINGS.duration);
    assert!(
        matches!(outputs[..], [Output::Reply { reply: AcceptorReply::Granted { .. }, .. }, ..]),
        "{outputs:?}"
    );
}

#[test]
fn an_acceptor_that_has_started_withholds_only_the_leases_in_its_store_for_one_duration() {
    let names = [Name::from("a")];
    let set = AcceptorSet::initial(&names).id();
    let lease = Name::from("j");
    let token = FencingToken { term: 3, process: ProcessId(7) };
    let promises = BTreeMap::from([(lease.clone(), token)]);
    let durable = DurableState { is_initialized: true, acceptors: set, promises, ..DurableState::default() };
    let mut acceptor =
        Acceptor::new(&names[0], ProcessId(1), &AcceptorSet::initial(&names), SETTINGS, durable, SECOND);
    acceptor.handle_timeout(SECOND);
    drain(&mut acceptor, SECOND);
    let mut try_claim = |now: Micros, lease: &str, process: u64, term: u64| {
        let token = FencingToken { term, process: ProcessId(process) };
        acceptor.handle_request(
            now,
            ProcessId(process),
            AcceptorRequest::Claim { lease: lease.into(), token, round: term, acceptors: set },
        );
        let outputs = drain(&mut acceptor, now);
        outputs
            .iter()
            .any(|output| matches!(output, Output::Reply { reply: AcceptorReply::Granted { .. }, .. }))
    };
    assert!(!try_claim(SECOND, "j", 9, 4), "the holder from before the start may still hold the lease");
    assert!(try_claim(SECOND, "other", 8, 1) && !try_claim(SECOND, "other", 9, 2));
    assert!(try_claim(SECOND + SETTINGS.duration, "j", 9, 5));
}

#[test]
fn an_acceptor_with_a_blocked_disk_rejects_claims_beyond_its_limit() {
    let names = [Name::from("a")];
    let set = AcceptorSet::initial(&names).id();
    let durable = DurableState { is_initialized: true, acceptors: set, ..DurableState::default() };
    let mut acceptor =
        Acceptor::new(&names[0], ProcessId(1), &AcceptorSet::initial(&names), SETTINGS, durable, 0);
    acceptor.handle_timeout(0);
    drain(&mut acceptor, 0);
    let token = FencingToken { term: 1, process: ProcessId(7) };
    for lease in 0..3_000 {
        let lease = format!("j{lease}").into();
        acceptor.handle_request(
            1,
            ProcessId(7),
            AcceptorRequest::Claim { lease, token, round: 1, acceptors: set },
        );
    }
    let mut writes = 0;
    let mut overloaded = 0;
    while let Some(output) = acceptor.poll_output() {
        match output {
            Output::Persist { .. } => writes += 1,
            Output::Reply {
                reply: AcceptorReply::Rejected { reason: Rejection::Overloaded, .. }, ..
            } => overloaded += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(writes + overloaded == 3_000 && writes <= 1_024, "{writes} and {overloaded}");
    assert_eq!(acceptor.durable_state().promises.len(), writes);
}

/// Two processes claim the same term, and one of them holds the lease by a promise that this acceptor has lost. If the
/// acceptor adopted a peer's promise to the other process, that process could become a second holder.
#[test]
fn an_acceptor_that_lost_promises_grants_a_disputed_term_to_neither_process() {
    let names: Vec<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    let acceptors = AcceptorSet::initial(&names);
    let (holder, other) =
        (FencingToken { term: 4, process: ProcessId(7) }, FencingToken { term: 4, process: ProcessId(8) });
    for [token_of_b, token_of_c] in [[holder, other], [other, holder]] {
        let mut acceptor =
            Acceptor::new(&names[0], ProcessId(1), &acceptors, SETTINGS, DurableState::default(), 0);
        acceptor.handle_timeout(0);
        drain(&mut acceptor, 0);
        for (from, token) in [(&names[1], token_of_b), (&names[2], token_of_c)] {
            let recovery_reply = RecoveryReply {
                acceptor: names[0].clone(),
                write_count: 5,
                incarnation: 1,
                is_initialized: true,
                lost_promises: false,
                never_promised: false,
                acceptors: acceptors.id(),
                frozen_epoch: 0,
                promises: BTreeMap::from([("j".into(), token)]),
            };
            acceptor.handle_peer_reply(from, AcceptorReply::Recovery(recovery_reply));
        }
        let outputs = drain(&mut acceptor, 0);
        assert!(outputs.contains(&Output::Event(Event::StartedVoting { recovered: true })), "{outputs:?}");
        let mut is_granted = |now: Micros, token: FencingToken| {
            let request =
                AcceptorRequest::Claim { lease: "j".into(), token, round: 1, acceptors: acceptors.id() };
            acceptor.handle_request(now, token.process, request);
            let outputs = drain(&mut acceptor, now);
            outputs
                .iter()
                .any(|output| matches!(output, Output::Reply { reply: AcceptorReply::Granted { .. }, .. }))
        };
        assert!(!is_granted(1, holder) && !is_granted(1, other), "{token_of_b:?} and {token_of_c:?}");
        assert!(is_granted(SETTINGS.duration + 1, FencingToken { term: 5, process: ProcessId(9) }));
    }
}
