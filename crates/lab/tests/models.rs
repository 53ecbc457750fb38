//! The models of clients, servers and the counter, without sockets or clocks.

use fernscale_lab::model::clients::{ClientModel, Idempotency, KeyScope, Plan, RequestClass, TenantGroup};
use fernscale_lab::model::counter::{self, Counter, Reply, ReplyFault};
use fernscale_lab::model::server::{
    unshared_memories, Attempt, AttemptEnd, Server, ServerState, SlowStart, Spec,
};
use fernscale_lab::scenario::parse;
use fernscale_lab::wire::{self, Answer, Call, Value};
use fernscale_lab::{Micros, MILLISECOND, SECOND};

fn spec() -> Spec {
    Spec {
        cores: 1,
        speed: 1.0,
        queue: 1,
        connections: 10,
        dial_work: 0,
        idle: SECOND,
        cancels: true,
        reports: false,
        cold: SlowStart { share: 0.25, warm_up: 4 * SECOND, multiple: 2.0, window: SECOND },
    }
}

fn attempt(ticket: u64, key: Option<&str>, work: Micros) -> Attempt {
    let key = key.map(|key| (key.to_string(), KeyScope::Zone, 2 * SECOND));
    Attempt { ticket, tenant: "c".into(), key, work, is_first_on_connection: false }
}

#[test]
fn a_server_works_slowly_in_slow_start_and_at_full_speed_after_it() {
    for (age, took) in [(0, 40), (4 * SECOND, 10)] {
        let now = 100 * SECOND;
        let mut model = Server::new(spec(), age, now, unshared_memories(), 1);
        assert_eq!(model.arrive(now, attempt(1, None, 10 * MILLISECOND)), None);
        assert_eq!(model.due(), Some(now + took * MILLISECOND));
        assert_eq!(model.take_ended(now + took * MILLISECOND), [(1, AttemptEnd::Ran { first: true }, true)]);
    }
}

#[test]
fn overload_collapses_a_server_in_slow_start_and_a_warm_server_only_rejects() {
    let mut cold = Server::new(spec(), 0, SECOND, unshared_memories(), 1);
    let mut warm = Server::new(spec(), 4 * SECOND, SECOND, unshared_memories(), 1);
    // The limit is twice the capacity, which is a quarter of a second's work within a second.
    for ticket in 0..6 {
        cold.arrive(SECOND + ticket, attempt(ticket, None, 100 * MILLISECOND));
        warm.arrive(SECOND + ticket, attempt(ticket, None, 100 * MILLISECOND));
        assert_eq!(cold.collapsed(), ticket >= 5);
    }
    assert_eq!((cold.state(), warm.state()), (ServerState::Down, ServerState::Serving));
}

#[test]
fn a_server_runs_one_attempt_queues_one_and_rejects_more() {
    let mut model = Server::new(spec(), 4 * SECOND, SECOND, unshared_memories(), 1);
    let arrivals = [1, 2, 3].map(|ticket| model.arrive(SECOND, attempt(ticket, None, 10 * MILLISECOND)));
    assert_eq!(arrivals, [None, None, Some(AttemptEnd::Rejected)]);
    assert_eq!(model.cancel(2), Some(AttemptEnd::Dropped));
    assert_eq!(model.cancel(1), None, "the attempt is running, so it may have had its effect");
    assert_eq!(model.take_ended(2 * SECOND), [(1, AttemptEnd::Ran { first: true }, false)]);
}

#[test]
fn servers_of_a_scope_remember_a_key_for_its_retention_and_no_longer() {
    let memories = unshared_memories();
    let mut servers = [1, 2].map(|seed| Server::new(spec(), 4 * SECOND, 0, memories.clone(), seed));
    let mut ran = |which: usize, ticket, at| {
        servers[which].arrive(at, attempt(ticket, Some("k"), MILLISECOND));
        servers[which].take_ended(at + MILLISECOND)[0].1
    };
    assert_eq!(ran(0, 1, 0), AttemptEnd::Ran { first: true });
    assert_eq!(ran(1, 2, SECOND), AttemptEnd::Ran { first: false });
    assert_eq!(ran(1, 3, 2 * SECOND), AttemptEnd::Ran { first: true });
    assert_eq!(
        ran(0, 4, 3 * SECOND),
        AttemptEnd::Ran { first: false },
        "the second effect starts a new retention"
    );
}

fn counter() -> Counter {
    Counter::new(counter::Spec { capacity: 1000.0, latency: 100, queue: 5.0, connections: 32 }, 1)
}

#[test]
fn a_counter_adds_expires_keys_and_rejects_calls_beyond_its_queue() {
    let mut model = counter();
    assert_eq!(model.add(0, "n", 2.5, SECOND).0, Reply::Total(2.5));
    assert_eq!(model.add(SECOND / 2, "n", -1.0, SECOND).0, Reply::Total(1.5));
    assert_eq!(model.add(3 * SECOND, "n", 1.0, SECOND).0, Reply::Total(1.0), "the key had expired");
    let replies: Vec<_> = (0..8).map(|_| model.add(4 * SECOND, "m", 1.0, SECOND).0).collect();
    assert_eq!(replies.iter().filter(|reply| **reply == Reply::Busy).count(), 2, "{replies:?}");
}

#[test]
fn a_counter_fails_as_its_fault_says() {
    for (fault, reply, added) in [
        (ReplyFault::Silent, Reply::Nothing, 3.0),
        (ReplyFault::Garbled, Reply::Malformed, 3.0),
        (ReplyFault::Deaf, Reply::Nothing, 2.0),
        (ReplyFault::Busy, Reply::Busy, 2.0),
    ] {
        let mut model = counter();
        model.add(0, "n", 1.0, 60 * SECOND);
        model.fault = fault;
        assert_eq!(model.add(SECOND, "n", 1.0, 60 * SECOND).0, reply);
        model.fault = ReplyFault::Healthy;
        assert_eq!(model.add(2 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(added), "{fault:?}");
    }
    let mut model = counter();
    model.add(0, "n", 1.0, 60 * SECOND);
    model.fault = ReplyFault::Old(SECOND);
    assert_eq!(model.add(10 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(1.0));
    assert_eq!(model.add(11 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(2.0));
    let mut other = model.split(2);
    model.fault = ReplyFault::Healthy;
    model.add(12 * SECOND, "n", 5.0, 60 * SECOND);
    assert_eq!(
        other.add(12 * SECOND, "n", 1.0, 60 * SECOND).0,
        Reply::Total(4.0),
        "the copy of a split is independent"
    );
    model.empty();
    assert_eq!(model.add(13 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(1.0));
}

fn client_model(seed: u64) -> ClientModel {
    let class = RequestClass {
        name: "book".into(),
        idempotency: Idempotency::Keyed,
        retention: SECOND,
        scope: KeyScope::All,
        latency_objective: SECOND,
        deadline: SECOND,
        priority_weight: 1.0,
        work: MILLISECOND,
    };
    let plan = Plan { name: "p".into(), rate: 10.0, burst: 10.0, price: 1.0, ceiling: None };
    let group = TenantGroup {
        name: "all".into(),
        plan: 0,
        count: 20,
        load: 1.0,
        spread: 2,
        first_share: Some(0.75),
        classes: vec![(0, 1.0)],
        units: (1, 3),
        single_use: false,
        retry_share: 1.0,
        max_retries: 1,
        leave_share: 0.0,
    };
    ClientModel::new(vec![class], vec![plan], vec![group], 4, seed)
}

#[test]
fn a_seed_gives_a_fixed_load_at_the_configured_rate_and_spread() {
    let requests = |seed| {
        let mut client_model = client_model(seed);
        (0..5000)
            .filter_map(move |_| client_model.next_request())
            .map(|request| (request.at, request.tenant, request.gateway, request.work, request.first_gateway))
    };
    let (one, same, other): (Vec<_>, Vec<_>, Vec<_>) =
        (requests(1).collect(), requests(1).collect(), requests(2).collect());
    assert_eq!(one, same);
    assert_ne!(one, other);
    // 20 tenants with 10 units a second and 2 units a request: 100 requests a second.
    let seconds = one.last().expect("some").0 as f64 / SECOND as f64;
    assert!((45.0..55.0).contains(&seconds), "{seconds}");
    let first = one.iter().filter(|request| request.2 == request.4).count() as f64 / 5000.0;
    assert!((0.72..0.78).contains(&first), "{first}");
    assert!(
        one.iter().all(|request| (request.2 + 4 - request.4) % 4 < 2),
        "each tenant uses its own gateways only"
    );
}

#[test]
fn a_retry_has_a_new_id_and_the_same_key_and_retries_are_limited() {
    let mut client_model = client_model(1);
    let request = client_model.next_request().expect("one");
    client_model.request_unserved(request.at, &request, true, 0);
    let retry =
        std::iter::from_fn(|| client_model.next_request()).find(|next| next.attempt == 1).expect("again");
    assert_eq!((retry.key, retry.origin, retry.tenant), (request.key, request.id, request.tenant));
    assert_ne!(retry.id, request.id);
    client_model.request_unserved(retry.at, &retry, true, 0);
    let later: Vec<_> = (0..200).filter_map(|_| client_model.next_request()).collect();
    assert!(later.iter().all(|next| next.origin != request.id), "at most one retry");
}

#[test]
fn a_written_command_is_parsed_back_and_every_prefix_is_incomplete() {
    let call = Call {
        tenant: "00000000000000ff".into(),
        id: "1".into(),
        class: "book".into(),
        plan: "p".into(),
        wait_ms: 480.5,
        key: Some("ab".into()),
        units: 2.0,
        spread: 3,
        first: 1,
        repeat: true,
        body: Some(b"\r\n$-1\r\n".to_vec()),
    };
    let bytes = call.write(false);
    for end in 0..bytes.len() {
        assert_eq!(wire::command(&bytes[..end]), Ok(None), "{end}");
    }
    let (words, used) = wire::command(&bytes).expect("good").expect("whole");
    assert_eq!((Call::read(&words), used), (Some(call), bytes.len()));
    for bad in
        ["$3\r\nabc\r\n", "*1\r\n$-5\r\n", "*1\r\n:1\r\n", "*0\r\n", "*9999\r\n", "*1\r\n$2\r\nabc\r\n"]
    {
        assert!(wire::command(bad.as_bytes()).is_err(), "{bad:?}");
    }
    let answer =
        |bytes: &str| Answer::from_value(wire::value(bytes.as_bytes()).expect("good").expect("whole").0);
    assert_eq!(answer("-BUSY 250\r\n"), Answer::Rejected { wait_ms: Some(250) });
    assert_eq!(answer("-BUSYBODY\r\n"), Answer::Failed);
    assert_eq!(Answer::from_value(Value::Bulk(None)), Answer::Failed);
}

#[test]
fn an_inconsistent_scenario_is_rejected_with_the_place_of_the_error() {
    let good = r#"
        name = "n"
        about = "a"
        lasts = "3s"
        claims = [{ name = "c", figure = "transactions.lost", most = 0 }]
        fleet = { gateways = 2, boxes = 2 }
        lanes = [{ name = "l", repeat = "redoable", agreed = "1s", hard-stop = "1s", work = "1ms" }]
        plans = [{ name = "p", rate = 1, burst = 1 }]
        customers = [{ name = "c", plan = "p", count = 1, load = 1.0 }]
        faults = [{ at = "1s", gateway = { which = [1], how = "kill" } }]
    "#;
    assert!(parse("f", good).is_ok(), "{:?}", parse("f", good).err());
    for (from, to, expected) in [
        ("which = [1]", "which = [2]", "faults[0]: there is no gateway 2"),
        ("plan = \"p\"", "plan = \"q\"", "there is no plan 'q'"),
        ("gateway = { which = [1], how = \"kill\" }", "counter = { how = \"busy\" }", "there is no counter"),
        ("how = \"kill\"", "how = \"krill\"", "line 10"),
        ("most = 0", "least-of-all = 0", "line 5"),
        (", most = 0", "", "neither 'least' nor 'most'"),
        ("at = \"1s\", ", "at = \"1s\", load = { customers = \"all\" }, ", "one thing to break"),
        ("lasts = \"3s\"", "lasts = \"3\"", "line 4"),
    ] {
        assert!(good.contains(from), "{from}");
        let message = parse("f", &good.replace(from, to)).expect_err(to).to_string();
        assert!(message.contains(expected), "{message}");
    }
}
