//! The actor that runs the decision engine.
//!
//! The dispatcher owns the [`Engine`] and the state that the engine's decisions act on: the requests in flight, the server
//! table, the timers and the calls to the shared counter. It notifies the engine of one event after another (`events`) and
//! performs the actions that the engine queues (`actions`). It makes no decisions and does no I/O:
//! [`upstream`](crate::upstream) and [`downstream`](crate::downstream) own the connections.

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

/// The actor. [`Dispatcher::run`] runs until the process ends.
pub struct Dispatcher {
    shared: Rc<Shared>,
    engine: Engine<ActionQueue>,
    /// The actions that the engine has queued.
    actions: ActionQueue,
    counter: CounterCalls,
    discovery: Sender<discovery::Order>,
    requests: RequestsInFlight,
    servers: ServerTable,
    timers: Timers,
    /// Events that result from performed actions. They are handled before events from the mailbox.
    follow_ups: VecDeque<Event>,
}

/// If a timer is at least this late, in microseconds, the process was stalled.
const STALL_LATENESS: Micros = 20_000;

/// The next input of the actor.
enum Input {
    Operator(operator::Order),
    Event(Event),
    /// No input of its own. Timers and pending changes are handled after every input.
    Timer,
}

impl Dispatcher {
    /// Creates the actor. `events` is the sender of its own mailbox, which it hands to the upstream actors that it starts.
    /// `counter` and `discovery` are the mailboxes of those actors.
    pub fn new(
        shared: &Rc<Shared>,
        settings: Settings,
        events: &Sender<Event>,
        counter: Option<Sender<CounterUpdate>>,
        discovery: Sender<discovery::Order>,
    ) -> Self {
        let actions = ActionQueue::new(shared.clock.now(), shared.log.clone());
        let mut engine = Engine::new(settings, actions.clone());
        engine.set_max_tenants(shared.limits.max_tenants.get());
        Dispatcher {
            engine,
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

    /// Handles inputs forever. `known_list` is the endpoint list from the configuration, if there is one. Orders of operators
    /// take precedence over all other inputs, as operators must get an answer under any load.
    pub async fn run(
        mut self,
        known_list: Option<EndpointUpdate>,
        events: Receiver<Event>,
        operators: Receiver<operator::Order>,
    ) {
        let mut events = std::pin::pin!(events);
        self.apply_known_list(known_list).await;
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
                self.handle_operator_order(order);
                self.perform_actions().await;
                continue;
            }
            let input = match events.try_recv() {
                Ok(event) => Input::Event(event),
                Err(_) if self.servers.has_pending_changes() => Input::Timer,
                Err(_) => next_input(&operators, events.as_mut(), &mut timer, deadline).await,
            };
            match input {
                Input::Operator(order) => self.handle_operator_order(order),
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

    /// Applies the endpoint list from the configuration. All its changes are reported to the engine at once, as no request waits yet.
    async fn apply_known_list(&mut self, known_list: Option<EndpointUpdate>) {
        if let Some(mut known_list) = known_list {
            self.shared.apply_known_list(&mut known_list);
            self.apply_update(known_list);
        }
        while self.servers.has_pending_changes() {
            self.report_changes();
        }
        self.perform_actions().await;
    }

    /// Handles the events that arrived while this process was stalled, before expired timers fire. Otherwise a reply that
    /// arrived in time could lose to a timer that expired during the same stall.
    async fn catch_up(&mut self, events: Pin<&mut Receiver<Event>>) {
        yield_to_arrivals().await;
        for _ in 0..MAX_QUEUED_EVENTS {
            let Ok(event) = events.try_recv() else { return };
            self.handle_timed_event(event);
            self.perform_actions().await;
        }
    }

    /// Handles an event, and logs the event's name if that blocks the event loop for long.
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

    /// Sets the time that the engine reads to the current time.
    fn update_clock(&self) {
        self.actions.set_now(self.shared.clock.now());
    }

    fn handle_operator_order(&mut self, order: operator::Order) {
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
            operator::Order::CordonFromProcess { server, lifted_at: at } => self.set_cordon(&server, at),
            operator::Order::ProcessShare(share) => {
                self.engine.set_max_tenants(self.shared.limits.max_tenants.get());
                self.engine.set_process_share(share);
            }
        }
    }

    /// Cordons a server, or uncordons it as of `lifted_at`. From the moment of the cordon no attempt begins at the server.
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

/// Waits for an operator's order, an event or the deadline. If several are ready, the precedence is in this order.
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
