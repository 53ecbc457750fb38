//! The actor round the decision engine.
//!
//! It owns the [`Engine`] and what the engine's decisions act on: the requests in flight, the table of servers, the timers
//! and the calls to the shared counter. It hands the engine one event after another (`events`) and performs the actions that
//! the engine queues (`actions`). It decides nothing itself, and does no I/O: connections are the business of
//! [`upstream`](crate::upstream) and [`downstream`](crate::downstream).

mod action_queue;
mod actions;
mod counter_calls;
mod events;
mod requests;
mod servers;
mod timers;

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use fernscale_policy::{Engine, Host, Id, Micros, Settings};
use futures_lite::{future, StreamExt};

use self::action_queue::ActionQueue;
use self::counter_calls::CounterCalls;
use self::requests::RequestsInFlight;
use self::servers::ServerTable;
use self::timers::Timers;
use crate::counter::CounterUpdate;
use crate::discovery;
use crate::operator;
use crate::operator::metrics::PoolGauges;
use crate::protocol::catalog::EndpointUpdate;
use crate::shared::{Event, Shared, MAX_QUEUED_EVENTS};
use crate::transport::clock::{yield_between_slices, yield_to_arrivals, DeadlineTimer};
use crate::transport::loop_timer::LoopIteration;

/// The actor. [`Dispatcher::run`] serves it for the life of the process.
pub struct Dispatcher {
    shared: Rc<Shared>,
    engine: Engine<ActionQueue>,
    /// What the engine wants done.
    actions: ActionQueue,
    counter: CounterCalls,
    discovery: Sender<discovery::Order>,
    requests: RequestsInFlight,
    servers: ServerTable,
    timers: Timers,
    /// Events that follow from performed actions; the engine gets them before anything from the mailbox.
    follow_ups: VecDeque<Event>,
}

/// Lateness of a timer, in microseconds, from which this process is taken to have stood still.
const STALL_LATENESS: Micros = 20_000;

/// What the actor handles next.
enum Input {
    Operator(operator::Order),
    Event(Event),
    /// Nothing but what is done after every input: timers and pending changes.
    Timer,
}

impl Dispatcher {
    /// An actor that has handled nothing yet. `events` is the sending end of its own mailbox, for the upstream actors that it
    /// starts; `counter` the mailbox of the counter actor, if there is one; `discovery` that of the discovery actor.
    pub fn new(
        shared: &Rc<Shared>,
        settings: Settings,
        events: &Sender<Event>,
        counter: Option<Sender<CounterUpdate>>,
        discovery: Sender<discovery::Order>,
    ) -> Self {
        let actions = ActionQueue::new(shared.clock.now(), shared.log.clone());
        Dispatcher {
            engine: Engine::new(settings, actions.clone()),
            actions,
            counter: CounterCalls::new(shared.clone(), counter),
            discovery,
            requests: RequestsInFlight::default(),
            servers: ServerTable::new(shared.clone(), events.clone()),
            timers: Timers::default(),
            follow_ups: VecDeque::new(),
            shared: shared.clone(),
        }
    }

    /// Handles what comes, for ever. `known` is the endpoint list from before the start, if there is one. Orders of `operators`
    /// go before all else, as operators are owed an answer under any load.
    pub async fn run(
        mut self,
        known: Option<EndpointUpdate>,
        events: Receiver<Event>,
        operators: Receiver<operator::Order>,
    ) {
        let mut events = std::pin::pin!(events);
        self.apply_known_list(known).await;
        let mut timer = DeadlineTimer::new();
        loop {
            if self.servers.has_pending_changes() {
                yield_between_slices().await;
                self.update_clock();
                self.report_changes();
                self.perform_actions().await;
            }
            let deadline = self.timers.next_deadline().map(|at| self.shared.clock.instant(at));
            if let Ok(order) = operators.try_recv() {
                self.handle_operator(order);
                self.perform_actions().await;
                continue;
            }
            let input = match events.try_recv() {
                Ok(event) => Input::Event(event),
                Err(_) if self.servers.has_pending_changes() => Input::Timer,
                Err(_) => next_input(&operators, events.as_mut(), &mut timer, deadline).await,
            };
            match input {
                Input::Operator(order) => self.handle_operator(order),
                Input::Event(event) => self.handle_timed_event(event),
                Input::Timer => {}
            }
            self.perform_actions().await;
            if self.timers.lateness(self.shared.clock.now()) >= STALL_LATENESS {
                self.catch_up(events.as_mut()).await;
            }
            self.fire_expired_timers().await;
            self.shared.metrics.unserved.write_if_due(&self.shared.log);
        }
    }

    /// Applies the list from before the start, at once and complete: no request waits yet.
    async fn apply_known_list(&mut self, known: Option<EndpointUpdate>) {
        if let Some(mut known) = known {
            self.shared.apply_known_list(&mut known);
            self.apply_update(known);
        }
        while self.servers.has_pending_changes() {
            self.report_changes();
        }
        self.perform_actions().await;
    }

    /// Handles what has come while this process stood still. Danger: an answer that came in time would lose to a timer that is
    /// as late as the answer is read.
    async fn catch_up(&mut self, events: Pin<&mut Receiver<Event>>) {
        yield_to_arrivals().await;
        for _ in 0..MAX_QUEUED_EVENTS {
            let Ok(event) = events.try_recv() else { return };
            self.handle_timed_event(event);
            self.perform_actions().await;
        }
    }

    /// Handles an event, and records it if that holds the loop for long.
    fn handle_timed_event(&mut self, event: Event) {
        let iteration = LoopIteration::begin(event.name());
        self.handle_event(event);
        iteration.end(&self.shared.log);
    }

    async fn fire_expired_timers(&mut self) {
        let now = self.shared.clock.now();
        while let Some(token) = self.timers.pop_expired(now) {
            self.update_clock();
            let iteration = LoopIteration::begin("alarm");
            self.engine.timer_fired(&token);
            iteration.end(&self.shared.log);
            self.perform_actions().await;
        }
    }

    /// Sets the time that the engine reads to the present one.
    fn update_clock(&self) {
        self.actions.set_now(self.shared.clock.now());
    }

    fn handle_operator(&mut self, order: operator::Order) {
        self.update_clock();
        match order {
            operator::Order::QueryPool(reply) => {
                let avoided = self.servers.iter().filter(|(id, _)| self.engine.is_avoided(id)).count();
                let _ = reply.try_send(PoolGauges { size: self.servers.len(), avoided });
            }
            operator::Order::Cordon { server, on, done } => {
                let is_cordoned = self.shared.cordoned.borrow().contains(&server);
                let is_known = is_cordoned || self.servers.contains(&server);
                if is_known && is_cordoned != on {
                    let now = self.actions.now();
                    self.set_cordon(&server, (!on).then_some(now));
                }
                let _ = done.try_send(is_known);
            }
            operator::Order::CordonFromProcess { server, lifted_at: back } => self.set_cordon(&server, back),
            operator::Order::ProcessShare(part) => self.engine.set_process_share(part),
        }
    }

    /// Cordons a server, or lifts the cordon as of the time given. No attempt begins at a server from the moment that it is
    /// cordoned.
    fn set_cordon(&mut self, server: &Id, lifted_at: Option<Micros>) {
        let mut cordoned = self.shared.cordoned.borrow_mut();
        match lifted_at {
            None => {
                cordoned.insert(server.clone());
                self.engine.cordon(server);
            }
            Some(at) => {
                cordoned.remove(server);
                self.engine.uncordon(server, at);
            }
        }
    }
}

/// Waits for the first of an operator's order, an event and the deadline, in this order of precedence.
async fn next_input(
    operators: &Receiver<operator::Order>,
    mut events: Pin<&mut Receiver<Event>>,
    timer: &mut DeadlineTimer,
    deadline: Option<Instant>,
) -> Input {
    let expiry = async {
        timer.wait(deadline).await;
        Input::Timer
    };
    let order = async {
        match operators.recv().await {
            Ok(order) => Input::Operator(order),
            Err(_) => future::pending().await,
        }
    };
    let event = async { events.next().await.map_or(Input::Timer, Input::Event) };
    future::or(order, future::or(event, expiry)).await
}
