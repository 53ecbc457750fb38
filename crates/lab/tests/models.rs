//! The models of the parties, without sockets or clocks.

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

fn trip(ticket: u64, key: Option<&str>, work: Micros) -> Attempt {
    let key = key.map(|key| (key.to_string(), KeyScope::Zone, 2 * SECOND));
    Attempt { ticket, tenant: "c".into(), key, work, is_first_on_connection: false }
}

#[test]
fn a_cold_box_works_slowly_and_is_warm_in_time() {
    for (age, took) in [(0, 40), (4 * SECOND, 10)] {
        let now = 100 * SECOND;
        let mut model = Server::new(spec(), age, now, unshared_memories(), 1);
        assert_eq!(model.arrive(now, trip(1, None, 10 * MILLISECOND)), None);
        assert_eq!(model.due(), Some(now + took * MILLISECOND));
        assert_eq!(model.take_ended(now + took * MILLISECOND), [(1, AttemptEnd::Ran { first: true }, true)]);
    }
}

#[test]
fn a_cold_box_falls_under_too_much_and_a_warm_one_only_turns_away() {
    let mut cold = Server::new(spec(), 0, SECOND, unshared_memories(), 1);
    let mut warm = Server::new(spec(), 4 * SECOND, SECOND, unshared_memories(), 1);
    // Twice a quarter of a second's work within a second is what it bears.
    for ticket in 0..6 {
        cold.arrive(SECOND + ticket, trip(ticket, None, 100 * MILLISECOND));
        warm.arrive(SECOND + ticket, trip(ticket, None, 100 * MILLISECOND));
        assert_eq!(cold.collapsed(), ticket >= 5);
    }
    assert_eq!((cold.state(), warm.state()), (ServerState::Down, ServerState::Serving));
}

#[test]
fn one_works_one_waits_and_more_are_turned_away() {
    let mut model = Server::new(spec(), 4 * SECOND, SECOND, unshared_memories(), 1);
    let arrivals = [1, 2, 3].map(|ticket| model.arrive(SECOND, trip(ticket, None, 10 * MILLISECOND)));
    assert_eq!(arrivals, [None, None, Some(AttemptEnd::Rejected)]);
    assert_eq!(model.cancel(2), Some(AttemptEnd::Dropped));
    assert_eq!(model.cancel(1), None, "it works on that one, which may have run");
    assert_eq!(model.take_ended(2 * SECOND), [(1, AttemptEnd::Ran { first: true }, false)]);
}

#[test]
fn a_rack_knows_a_key_for_its_memory_and_no_longer() {
    let memory = unshared_memories();
    let mut racked = [1, 2].map(|seed| Server::new(spec(), 4 * SECOND, 0, memory.clone(), seed));
    let mut ran = |which: usize, ticket, at| {
        racked[which].arrive(at, trip(ticket, Some("k"), MILLISECOND));
        racked[which].take_ended(at + MILLISECOND)[0].1
    };
    assert_eq!(ran(0, 1, 0), AttemptEnd::Ran { first: true });
    assert_eq!(ran(1, 2, SECOND), AttemptEnd::Ran { first: false });
    assert_eq!(ran(1, 3, 2 * SECOND), AttemptEnd::Ran { first: true });
    assert_eq!(
        ran(0, 4, 3 * SECOND),
        AttemptEnd::Ran { first: false },
        "the second effect is remembered anew"
    );
}

fn counter() -> Counter {
    Counter::new(counter::Spec { capacity: 1000.0, latency: 100, queue: 5.0, connections: 32 }, 1)
}

#[test]
fn a_counter_adds_forgets_and_turns_away_what_it_has_no_time_for() {
    let mut model = counter();
    assert_eq!(model.add(0, "n", 2.5, SECOND).0, Reply::Total(2.5));
    assert_eq!(model.add(SECOND / 2, "n", -1.0, SECOND).0, Reply::Total(1.5));
    assert_eq!(model.add(3 * SECOND, "n", 1.0, SECOND).0, Reply::Total(1.0), "its life was over");
    let said: Vec<_> = (0..8).map(|_| model.add(4 * SECOND, "m", 1.0, SECOND).0).collect();
    assert_eq!(said.iter().filter(|said| **said == Reply::Busy).count(), 2, "{said:?}");
}

#[test]
fn a_counter_fails_in_the_way_it_is_told_to() {
    for (ill, said, added) in [
        (ReplyFault::Silent, Reply::Nothing, 3.0),
        (ReplyFault::Garbled, Reply::Spoilt, 3.0),
        (ReplyFault::Deaf, Reply::Nothing, 2.0),
        (ReplyFault::Busy, Reply::Busy, 2.0),
    ] {
        let mut model = counter();
        model.add(0, "n", 1.0, 60 * SECOND);
        model.ill = ill;
        assert_eq!(model.add(SECOND, "n", 1.0, 60 * SECOND).0, said);
        model.ill = ReplyFault::Well;
        assert_eq!(model.add(2 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(added), "{ill:?}");
    }
    let mut model = counter();
    model.add(0, "n", 1.0, 60 * SECOND);
    model.ill = ReplyFault::Old(SECOND);
    assert_eq!(model.add(10 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(1.0));
    assert_eq!(model.add(11 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(2.0));
    let mut other = model.split(2);
    model.ill = ReplyFault::Well;
    model.add(12 * SECOND, "n", 5.0, 60 * SECOND);
    assert_eq!(
        other.add(12 * SECOND, "n", 1.0, 60 * SECOND).0,
        Reply::Total(4.0),
        "a split goes on by itself"
    );
    model.empty();
    assert_eq!(model.add(13 * SECOND, "n", 1.0, 60 * SECOND).0, Reply::Total(1.0));
}

fn front(seed: u64) -> ClientModel {
    let lane = RequestClass {
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
        lanes: vec![(0, 1.0)],
        units: (1, 3),
        once: false,
        again: 1.0,
        most_again: 1,
        leaves: 0.0,
    };
    ClientModel::new(vec![lane], vec![plan], vec![group], 4, seed)
}

#[test]
fn one_seed_gives_one_load_at_its_rate_and_spread() {
    let asks = |seed| {
        let mut front = front(seed);
        (0..5000)
            .filter_map(move |_| front.next_request())
            .map(|ask| (ask.at, ask.tenant, ask.gateway, ask.work, ask.first_gateway))
    };
    let (one, same, other): (Vec<_>, Vec<_>, Vec<_>) =
        (asks(1).collect(), asks(1).collect(), asks(2).collect());
    assert_eq!(one, same);
    assert_ne!(one, other);
    // 20 customers of 10 units a second, 2 units each: 100 a second.
    let seconds = one.last().expect("some").0 as f64 / SECOND as f64;
    assert!((45.0..55.0).contains(&seconds), "{seconds}");
    let first = one.iter().filter(|ask| ask.2 == ask.4).count() as f64 / 5000.0;
    assert!((0.72..0.78).contains(&first), "{first}");
    assert!(one.iter().all(|ask| (ask.2 + 4 - ask.4) % 4 < 2), "by their own gateways only");
}

#[test]
fn who_tries_again_has_a_new_id_the_old_key_and_an_end() {
    let mut front = front(1);
    let ask = front.next_request().expect("one");
    front.unserved(ask.at, &ask, true, 0);
    let again = std::iter::from_fn(|| front.next_request()).find(|next| next.attempt == 1).expect("again");
    assert_eq!((again.key, again.origin, again.tenant), (ask.key, ask.id, ask.tenant));
    assert_ne!(again.id, ask.id);
    front.unserved(again.at, &again, true, 0);
    let later: Vec<_> = (0..200).filter_map(|_| front.next_request()).collect();
    assert!(later.iter().all(|next| next.origin != ask.id), "once is the most");
}

#[test]
fn what_is_written_is_read_however_it_is_split() {
    let call = Call {
        customer: "00000000000000ff".into(),
        id: "1".into(),
        lane: "book".into(),
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
    let answer = |bytes: &str| Answer::of(wire::value(bytes.as_bytes()).expect("good").expect("whole").0);
    assert_eq!(answer("-BUSY 250\r\n"), Answer::Rejected { wait_ms: Some(250) });
    assert_eq!(answer("-BUSYBODY\r\n"), Answer::Failed);
    assert_eq!(Answer::of(Value::Bulk(None)), Answer::Failed);
}

#[test]
fn a_scenario_that_does_not_fit_together_is_refused_with_its_place() {
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
    for (from, to, meant) in [
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
        let told = parse("f", &good.replace(from, to)).expect_err(to).to_string();
        assert!(told.contains(meant), "{told}");
    }
}
