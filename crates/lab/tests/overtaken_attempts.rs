//! Guards against a false violation of `effects` in the scenario `signals`: a server read an attempt after the next attempt had
//! arrived, though the gateway had cancelled it before, and the ledger counted two attempts in flight. Attempts that the
//! gateway sends while another attempt's connection is open still count.

use std::cell::RefCell;
use std::rc::Rc;

use async_executor::LocalExecutor;
use fernscale_lab::history::{Event, Recorder};
use fernscale_lab::live::relay::{Relay, RouteFault};
use fernscale_lab::live::stream::Stream;
use fernscale_lab::live::{servers, sleep, World};
use fernscale_lab::model::clients::{ClientRequest, Idempotency, KeyScope, Plan, RequestClass};
use fernscale_lab::model::server::{unshared_memories, Server, SlowStart, Spec};
use fernscale_lab::request_ledger::{RequestLedger, RuleBounds};
use fernscale_lab::wire::{self, Call};
use fernscale_lab::{MILLISECOND, SECOND};

const REQUEST: u64 = 7;
/// Delay of the link to the first server.
const DELAY: u64 = 60 * MILLISECOND;
/// Much shorter than the delay.
const SOON: u64 = 10 * MILLISECOND;
/// Work of the request at the second server, longer than the delay.
const WORK: u64 = 200 * MILLISECOND;

fn class() -> RequestClass {
    RequestClass {
        name: "lookup".into(),
        idempotency: Idempotency::Idempotent,
        retention: 0,
        scope: KeyScope::All,
        latency_objective: SECOND,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        work: WORK,
    }
}

fn recorder() -> Recorder {
    let plan = Plan { name: "team".into(), rate: 10.0, burst: 10.0, price: 1.0, ceiling: None };
    let bounds =
        RuleBounds { grace: SECOND, slack: 0, classes: vec![class()], plans: vec![plan], max_units: 1.0 };
    Recorder::with_ledger(RequestLedger::new(bounds))
}

fn server(world: &Rc<World>, name: &str) -> Rc<servers::Host> {
    let cold = SlowStart { share: 1.0, warm_up: 0, multiple: 1e9, window: 1 };
    let spec = Spec {
        cores: 4,
        speed: 1.0,
        queue: 9,
        connections: 9,
        dial_work: 0,
        idle: 9 * SECOND,
        cancels: true,
        reports: false,
        cold,
    };
    let model = Server::new(spec, 0, 0, unshared_memories(), 1);
    let classes = Rc::new(vec![class()]);
    let address = (world.host(), 0).into();
    servers::Host::start(world, name, model, &classes, false, &[address]).expect("a server")
}

fn request() -> ClientRequest {
    ClientRequest {
        at: 0,
        id: REQUEST,
        group: 0,
        tenant: 1,
        plan: 0,
        class: 0,
        units: 1,
        first_gateway: 0,
        gateway_spread: 1,
        gateway: 0,
        key: None,
        work: WORK,
        attempt: 0,
        origin: REQUEST,
    }
}

fn command() -> Vec<u8> {
    let call = Call {
        tenant: format!("{:016x}", 1),
        id: format!("{REQUEST:016x}"),
        class: "lookup".into(),
        plan: "team".into(),
        wait_ms: 2_000.0,
        key: None,
        units: 1.0,
        spread: 1,
        first: 0,
        repeat: false,
        body: None,
    };
    call.write(true)
}

/// When the gateway ends the first attempt's connection.
#[derive(Clone, Copy, PartialEq)]
enum FirstEnds {
    BeforeTheSecond,
    AfterTheSecond,
}

/// Sends an attempt over a slow link and then one to another server, which arrives first. Returns the number of violations of
/// the rule on effects.
fn broken_effects(first_ends: FirstEnds) -> u64 {
    let executor = Rc::new(LocalExecutor::new());
    let main = executor.clone();
    let broken = RefCell::new(None);
    async_io::block_on(main.run(async {
        let world = World::new(executor, recorder());
        let (first, second) = (server(&world, "first"), server(&world, "second"));
        let relay = Relay::start(&world, first.address(0), 1).expect("a relay");
        relay.begin(RouteFault::Delay { by: DELAY, spread: 0 });
        world.happens(Event::RequestCreated { request: request() });
        world.happens(Event::RequestWritten { id: REQUEST, gateway: 0 });
        let cancelled = Stream::dial(relay.address(), SECOND).await.expect("connected");
        cancelled.write(&command()).await.expect("written");
        sleep(SOON).await;
        let mut open = Some(cancelled);
        if first_ends == FirstEnds::BeforeTheSecond {
            open = None;
        }
        let mut retry = Stream::dial(second.address(0), SECOND).await.expect("connected");
        retry.write(&command()).await.expect("written");
        sleep(SOON).await;
        drop(open);
        retry.next(wire::value).await.expect("an answer");
        let ledger = world.ledger();
        assert_eq!(ledger.attempt_count(), 2, "both attempts have arrived");
        let effects = ledger.violations().find(|(rule, _)| *rule == "effects").expect("the rule");
        *broken.borrow_mut() = Some(effects.1.count);
    }));
    broken.take().expect("played")
}

#[test]
fn a_cancelled_attempt_that_was_overtaken_is_not_in_flight() {
    assert_eq!(broken_effects(FirstEnds::BeforeTheSecond), 0);
}

#[test]
fn an_attempt_sent_while_the_overtaken_attempt_is_open_is_a_violation() {
    assert_eq!(broken_effects(FirstEnds::AfterTheSecond), 1);
}
