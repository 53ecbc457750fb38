//! The actor of the module: tells it what happened, one event after another, and does what it says.

pub mod action_queue;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender, TrySendError};
use fernscale_policy::Engine;
use fernscale_policy::{
    AttemptCompleted, Endpoint, EndpointState, Id, LoadReport, Micros, Outcome, Settings,
};
use futures_lite::{future, StreamExt};
use slog::{debug, info, warn};

use fernscale_shared_counter::monitor::{AddStep, CallOutcome, CounterMonitor, CounterReply, GossipTotal};

use crate::counter::Add;
use crate::discovery;
use crate::dispatcher::action_queue::{Action, ActionQueue, ActionRecorder};
use crate::fleet::outlier_detection;
use crate::fleet::subsetting::SubsetChange;
use crate::operator;
use crate::operator::metrics::PoolGauges;
use crate::outcome::{self, AttemptFailure, CounterTotal};
use crate::protocol::call::{Call, FinalAnswer, ServerReply};
use crate::protocol::catalog::EndpointUpdate;
use crate::rejection::EarlyRejection;
use crate::shared::{CompletedAttempt, Event, FinalReply, ReceivedRequest, ReplyHandle, Shared};
use crate::transport::clock::{yield_between_slices, DeadlineTimer};
use crate::transport::ending::ConnectionEnd;
use crate::transport::loop_timer::Turn as LoopIteration;
use crate::upstream;

/// Servers of which the module is notified in one loop iteration, where a list says something new of many.
const MAX_CHANGES_PER_ITERATION: usize = 256;

/// A transaction from its arrival until it is answered and no trip is out.
struct RequestInFlight {
    call: Rc<Call>,
    reply: Option<ReplyHandle>,
    deadline: Micros,
    /// The mailboxes of the servers that its trips went to, and how many trips are out.
    mailboxes: Vec<Option<Sender<upstream::Order>>>,
    attempts_in_flight: usize,
}

struct Server {
    /// Its actor, once there was something for it to do.
    orders: Option<Sender<upstream::Order>>,
    address: SocketAddr,
    endpoint: Endpoint,
}

/// What the actor turns to next.
enum NextInput {
    Operator(operator::Order),
    Event(Event),
    Timer,
}

pub use self::Dispatcher as Module;

pub struct Dispatcher {
    shared: Rc<Shared>,
    engine: Engine<ActionRecorder>,
    queue: Rc<RefCell<ActionQueue>>,
    events: Sender<Event>,
    counter: Option<Sender<Add>>,
    /// What is known of counts beside the counter's word; only where gateways know each other.
    monitor: Option<CounterMonitor>,
    list: Sender<discovery::Order>,
    requests: HashMap<Id, RequestInFlight>,
    servers: BTreeMap<Id, Server>,
    timers: BTreeMap<(Micros, u64), Box<str>>,
    timers_set: u64,
    /// Events that follow from performed actions; the engine gets them before anything from the mailbox.
    follow_ups: VecDeque<Event>,
    /// Changes from endpoint lists that the engine has not been given yet, in their order.
    pending_changes: VecDeque<Endpoint>,
}

impl Dispatcher {
    pub fn new(
        shared: &Rc<Shared>,
        settings: Settings,
        events: &Sender<Event>,
        counter: Option<Sender<Add>>,
        list: Sender<discovery::Order>,
    ) -> Self {
        let queue =
            ActionQueue { now: shared.clock.now(), actions: VecDeque::new(), log: shared.log.clone() };
        let queue = Rc::new(RefCell::new(queue));
        Dispatcher {
            engine: Engine::new(settings, ActionRecorder(queue.clone())),
            shared: shared.clone(),
            queue,
            events: events.clone(),
            counter,
            monitor: None,
            list,
            requests: HashMap::new(),
            servers: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            follow_ups: VecDeque::new(),
            pending_changes: VecDeque::new(),
        }
    }

    /// `operators` is what they want of it, and goes before all else: they are owed an answer under any load.
    pub async fn run(
        mut self,
        known: Option<EndpointUpdate>,
        mailbox: Receiver<Event>,
        operators: Receiver<operator::Order>,
    ) {
        let mut mailbox = std::pin::pin!(mailbox);
        if let Some(mut known) = known {
            self.shared.apply_known_list(&mut known);
            self.apply_update(known);
        }
        // Nobody waits for anything yet.
        while !self.pending_changes.is_empty() {
            self.report_changes();
        }
        self.perform_actions().await;
        let mut timer = DeadlineTimer::new();
        loop {
            if !self.pending_changes.is_empty() {
                yield_between_slices().await;
                self.update_clock();
                self.report_changes();
                self.perform_actions().await;
            }
            let next = self.timers.first_key_value().map(|((at, _), _)| self.shared.clock.instant(*at));
            if let Ok(order) = operators.try_recv() {
                self.handle_operator(order);
                self.perform_actions().await;
                continue;
            }
            let input = match mailbox.try_recv() {
                Ok(event) => NextInput::Event(event),
                Err(_) if !self.pending_changes.is_empty() => NextInput::Timer,
                Err(_) => {
                    let timer_expiry = async {
                        timer.wait(next).await;
                        NextInput::Timer
                    };
                    let operate = async {
                        match operators.recv().await {
                            Ok(order) => NextInput::Operator(order),
                            Err(_) => future::pending().await,
                        }
                    };
                    let event = async { mailbox.next().await.map_or(NextInput::Timer, NextInput::Event) };
                    future::or(operate, future::or(event, timer_expiry)).await
                }
            };
            match input {
                NextInput::Operator(order) => self.handle_operator(order),
                NextInput::Event(event) => {
                    let iteration = LoopIteration::begin(event.name());
                    self.handle_event(event);
                    iteration.end(&self.shared.log);
                }
                NextInput::Timer => {}
            }
            self.perform_actions().await;
            self.fire_expired_timers().await;
        }
    }

    /// Tells the module of timers that are due.
    async fn fire_expired_timers(&mut self) {
        let now = self.shared.clock.now();
        while let Some(timer) = self.timers.first_entry().filter(|timer| timer.key().0 <= now) {
            let token = timer.remove();
            self.update_clock();
            let iteration = LoopIteration::begin("alarm");
            self.engine.timer_fired(&token);
            iteration.end(&self.shared.log);
            self.perform_actions().await;
        }
    }

    fn handle_operator(&mut self, order: operator::Order) {
        self.update_clock();
        match order {
            operator::Order::Pool(reply) => {
                let avoided = self.servers.keys().filter(|server| self.engine.is_avoided(server)).count();
                let pool = PoolGauges { size: self.servers.len(), avoided };
                let _ = reply.try_send(pool);
            }
            operator::Order::Cordon { server, on, done } => {
                let out = self.shared.cordoned.borrow().contains(&server);
                let known = out || self.servers.contains_key(&server);
                if known && out != on {
                    let now = self.queue.borrow().now;
                    self.cordon(&server, Some(now).filter(|_| !on));
                }
                let _ = done.try_send(known);
            }
            operator::Order::Heard { server, back } => self.cordon(&server, back),
            operator::Order::Part(part) => self.engine.set_process_share(part),
        }
    }

    /// No trip begins at a server from the moment that it is taken out.
    fn cordon(&mut self, server: &Id, back: Option<Micros>) {
        let mut cordoned = self.shared.cordoned.borrow_mut();
        match back {
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

    fn update_clock(&self) {
        self.queue.borrow_mut().now = self.shared.clock.now();
    }

    fn handle_event(&mut self, event: Event) {
        self.update_clock();
        match event {
            Event::RequestReceived(received) => self.request_received(received),
            Event::ClientDisconnected(id, ticket) => {
                // Who used the id of another's must not take that one's answer along.
                let its = |reply: &mut ReplyHandle| reply.ticket == ticket;
                if self.requests.get_mut(&id).is_some_and(|in_flight| in_flight.reply.take_if(its).is_some())
                {
                    debug!(self.shared.log, #"request.cancelled", "its client has left"; "id" => &*id);
                    self.engine.client_disconnected(&id);
                    self.remove_if_completed(&id);
                }
            }
            Event::ResponseStarted { request, attempt, flow } => {
                if let Some(reply) =
                    self.requests.get_mut(&request).and_then(|in_flight| in_flight.reply.take())
                {
                    debug!(self.shared.log, #"request.answered", "served, as it comes"; "id" => &*request, "as" => "served");
                    send_final(reply, FinalReply::Streamed(flow));
                    self.engine.response_started(&request, attempt);
                }
            }
            Event::AttemptCompleted(end) => self.attempt_completed(end),
            Event::HealthCheckCompleted { server, end } => {
                let outcome = outcome::of_health_check(&end);
                self.engine.health_check_completed(&server, outcome, end.unwrap_or_default());
            }
            Event::CounterReplied { key, end, elapsed } => {
                let (outcome, total) =
                    self.counter_call_completed(&key, outcome::of_counter_call(&end), elapsed);
                self.engine.counter_replied(&key, outcome, total, elapsed);
            }
            Event::GossipTotalKnown { key, end } => {
                let (outcome, total) = outcome::of_counter_call(&end);
                self.engine.counter_replied(&key, outcome, total, 0);
            }
            Event::CounterReplaced(counter) => self.counter = counter,
            Event::EndpointsUpdated(members) => {
                self.apply_update(members);
                self.update_readiness();
            }
            Event::EndpointsDraining(servers) => self.mark_draining(&servers),
            Event::SubsettingDue => self.update_subset(),
            Event::OutlierDetectionDue => self.update_ejections(),
            Event::EndpointsLate => self.update_readiness(),
            Event::EndpointsUnavailable => {
                self.update_readiness();
                self.engine.endpoints_unavailable();
            }
        }
    }

    fn request_received(&mut self, received: ReceivedRequest) {
        let ReceivedRequest { call, reply, received_at } = received;
        if self.requests.contains_key(&call.request.id) {
            EarlyRejection::IdInUse.record(&self.shared.log, Some(&call.request.id));
            return answer(reply, FinalAnswer::Malformed("this id is in use"));
        }
        let mut request = call.request.clone();
        let waited = received_at.elapsed().as_micros() as Micros;
        request.time_left = request.time_left.saturating_sub(waited);
        let deadline = self.queue.borrow().now + request.time_left;
        debug!(self.shared.log, #"request.accepted", "a request"; "id" => &*request.id,
            "tenant" => &*request.tenant, "class" => request.class, "left_us" => request.time_left);
        let (call, mailboxes) = (Rc::new(call), Vec::new());
        let in_flight =
            RequestInFlight { call, reply: Some(reply), deadline, mailboxes, attempts_in_flight: 0 };
        self.requests.insert(request.id.clone(), in_flight);
        self.engine.request_received(request);
    }

    fn attempt_completed(&mut self, end: CompletedAttempt) {
        let outcome = outcome::of_attempt(&end.end);
        debug!(self.shared.log, #"attempt.ended", "an attempt has ended"; "id" => &*end.request, "attempt" => end.attempt,
            "server" => &*end.server, "outcome" => ?outcome, "how" => ?end.end.as_ref().err(), "took_us" => end.elapsed);
        let Some(in_flight) = self.requests.get_mut(&end.request) else { return };
        in_flight.attempts_in_flight -= 1;
        let observed = outcome::observed_result(end.elapsed, &end.end);
        let (mut units, mut load) = (None, LoadReport::default());
        if let Ok((reply, load_report)) = end.end {
            load = load_report;
            match reply {
                ServerReply::Completed { value, units: actual_units } => {
                    units = actual_units;
                    if let Some(reply) = in_flight.reply.take() {
                        debug!(self.shared.log, #"request.answered", "served"; "id" => &*end.request, "as" => "served");
                        answer(reply, FinalAnswer::Completed(value));
                    }
                }
                ServerReply::Streamed { units: actual_units } => units = actual_units,
                ServerReply::Failed | ServerReply::Overloaded => {}
            }
        }
        if let (Some(detection), Some(observed)) = (self.shared.outlier_detection.get(), observed) {
            detection.attempt_completed(&end.server, in_flight.call.request.class, observed);
        }
        let finished = in_flight.reply.is_none();
        self.engine.attempt_completed(AttemptCompleted {
            request: end.request.clone(),
            attempt: end.attempt,
            server: end.server,
            outcome,
            elapsed: end.elapsed,
            is_final: finished,
            units,
            load,
        });
        self.remove_if_completed(&end.request);
    }

    /// Forgets a transaction that is over.
    fn remove_if_completed(&mut self, id: &Id) {
        if self
            .requests
            .get(id)
            .is_some_and(|in_flight| in_flight.reply.is_none() && in_flight.attempts_in_flight == 0)
        {
            self.requests.remove(id);
        }
    }

    /// Goes by a list that has come. The engine gets what is new in it, as most of a whole list is not.
    fn apply_update(&mut self, members: EndpointUpdate) {
        let mut changed = if members.full { self.drop_unlisted(&members) } else { Vec::new() };
        for (endpoint, address) in members.servers {
            if endpoint.state == EndpointState::Removed {
                self.servers.remove(&endpoint.server);
                changed.push(endpoint);
            } else if self.update_server(&endpoint, address) {
                changed.push(endpoint);
            }
        }
        // Who leaves comes first: to send there is in vain from now on.
        let (ready, leaving): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|endpoint| endpoint.state == EndpointState::Ready);
        self.pending_changes.extend(leaving.into_iter().chain(ready));
        self.report_changes();
    }

    /// Tells the module the next of what lists have said: so much that a turn stays short.
    fn report_changes(&mut self) {
        let count = self.pending_changes.len().min(MAX_CHANGES_PER_ITERATION);
        let pending_changes: Vec<Endpoint> = self.pending_changes.drain(..count).collect();
        self.engine.endpoints_updated(false, &pending_changes);
    }

    /// Drops the servers that a whole list does not have, and gives the word on each that it has gone.
    fn drop_unlisted(&mut self, members: &EndpointUpdate) -> Vec<Endpoint> {
        let listed: HashSet<&Id> = members.servers.iter().map(|(server, _)| &server.server).collect();
        let mut gone = Vec::new();
        // Trips that are out know their server's mailbox, and are ended as any other.
        self.servers.retain(|id, entry| {
            let stays = listed.contains(id);
            if !stays {
                gone.push(Endpoint { state: EndpointState::Removed, ..entry.endpoint.clone() });
            }
            stays
        });
        gone
    }

    /// Notes what the list says of a server that is there; whether that is new.
    fn update_server(&mut self, endpoint: &Endpoint, address: SocketAddr) -> bool {
        let Some(entry) = self.servers.get_mut(&endpoint.server) else {
            let entry = Server { orders: None, address, endpoint: endpoint.clone() };
            self.servers.insert(endpoint.server.clone(), entry);
            return true;
        };
        if entry.address != address {
            entry.address = address;
            if entry.orders.is_some() {
                let order =
                    Action::Upstream(endpoint.server.clone(), upstream::Order::ChangeAddress(address));
                self.queue.borrow_mut().actions.push_back(order);
            }
        }
        let new = entry.endpoint != *endpoint;
        if new {
            entry.endpoint = endpoint.clone();
        }
        new
    }

    /// The mailbox of a server's actor, which starts with the first order to it: of thousands that are listed some tens are
    /// used.
    fn upstream_mailbox(&mut self, server: &Id) -> Option<Sender<upstream::Order>> {
        let (shared, events) = (&self.shared, &self.events);
        let entry = self.servers.get_mut(server)?;
        let orders =
            entry.orders.get_or_insert_with(|| upstream::start(shared, events, server, entry.address));
        Some(orders.clone())
    }

    /// By an answer that was refused otherwise: until a newer word these take nothing new, and all else is as it was.
    fn mark_draining(&mut self, servers: &[Id]) {
        let index = self.shared.draining.borrow().index();
        let used = servers.iter().filter_map(|id| self.servers.get(id));
        let used = used.filter(|entry| entry.endpoint.state == EndpointState::Ready);
        let drains = |entry: &Server| {
            (Endpoint { state: EndpointState::Draining, ..entry.endpoint.clone() }, entry.address)
        };
        let servers: Vec<_> = used.map(drains).collect();
        // Where all leave already nothing is new, and the pauses before the list is asked anew go on growing.
        if !servers.is_empty() {
            self.apply_update(EndpointUpdate { index, full: false, moved: false, servers });
        }
    }

    /// Which servers this gateway is to use from now on, where they are dealt out among all.
    fn update_subset(&mut self) {
        let Some(subsetting) = self.shared.subsetting.get() else { return };
        let places = self.servers.iter().map(|(id, entry)| (&entry.endpoint, self.engine.is_avoided(id)));
        let SubsetChange { subset, opens, leaves } = subsetting.update(places);
        if subset.is_some() {
            self.engine.set_subset(subset);
        }
        let opens = opens.into_iter().map(|server| Action::Upstream(server, upstream::Order::CheckHealth));
        let leaves = leaves.into_iter().map(|server| Action::Upstream(server, upstream::Order::CloseIdle));
        self.queue.borrow_mut().actions.extend(opens.chain(leaves));
    }

    /// Which servers others have found to be bad, or well again.
    fn update_ejections(&mut self) {
        let Some(detection) = self.shared.outlier_detection.get() else { return };
        for change in detection.update(self.servers.values().map(|entry| &entry.endpoint)) {
            self.engine.set_ejected(&outlier_detection::server_id(&change), change.ejected);
        }
    }

    /// Able to serve once discovery has been asked and a server is known, be it from before the start.
    fn update_readiness(&self) {
        self.shared
            .ready
            .set(self.servers.values().any(|entry| entry.endpoint.state == EndpointState::Ready));
    }

    /// Does what the module has said, and tells it what follows at once.
    async fn perform_actions(&mut self) {
        loop {
            let action = self.queue.borrow_mut().actions.pop_front();
            match (action, self.follow_ups.is_empty()) {
                (Some(action), _) => self.perform(action).await,
                (None, false) => {
                    if let Some(event) = self.follow_ups.pop_front() {
                        self.handle_event(event);
                    }
                }
                (None, true) => return,
            }
        }
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Forward { request, server, limit } => self.forward(request, server, limit).await,
            Action::Cancel { request, attempt } => {
                let mailboxes = self.requests.get(&request).map(|in_flight| &in_flight.mailboxes);
                if let Some(Some(orders)) = mailboxes.and_then(|mailboxes| mailboxes.get(attempt)) {
                    drop(orders.clone().send(upstream::Order::Cancel { request, attempt }).await);
                }
            }
            Action::Answer { request: id, answer: final_answer, reason } => {
                if let Some(reply) = self.requests.get_mut(&id).and_then(|in_flight| in_flight.reply.take()) {
                    debug!(self.shared.log, #"request.answered", "given up"; "id" => &*id, "as" => ?final_answer,
                        "why" => reason.name());
                    answer(reply, final_answer);
                }
                self.remove_if_completed(&id);
            }
            Action::SetTimer(at, token) => {
                self.timers_set += 1;
                self.timers.insert((at, self.timers_set), token);
            }
            Action::Upstream(server, order) => {
                // Nothing is open at a server that was never used.
                let used = self.servers.get(&server).is_some_and(|entry| entry.orders.is_some());
                if used || matches!(order, upstream::Order::CheckHealth) {
                    if let Some(orders) = self.upstream_mailbox(&server) {
                        drop(orders.send(order).await);
                    }
                }
            }
            Action::UpdateCounter(add) => self.update_counter(add),
            Action::Discovery(order) => {
                if self.list.try_send(order).is_err() {
                    self.follow_ups.push_back(Event::EndpointsUnavailable);
                }
            }
        }
    }

    async fn forward(&mut self, request: Id, server: Id, limit: Micros) {
        let now = self.shared.clock.now();
        let orders = self.upstream_mailbox(&server);
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return warn!(self.shared.log, #"trip.not-open", "a trip of what is not open"; "id" => &*request);
        };
        if let Some(subsetting) = self.shared.subsetting.get() {
            subsetting.attempt_forwarded();
        }
        if self.shared.outlier_detection.get().is_some_and(|detection| detection.may_forward(&server)) {
            self.engine.set_ejected(&server, true);
        }
        let attempt = in_flight.mailboxes.len();
        in_flight.mailboxes.push(orders.clone());
        in_flight.attempts_in_flight += 1;
        let left = in_flight.deadline.saturating_sub(now);
        let limit = if limit == 0 { left } else { limit.min(left) };
        debug!(self.shared.log, #"attempt.begun", "an attempt"; "id" => &*request, "attempt" => attempt,
            "server" => &*server, "limit_us" => limit);
        if let (Some(orders), true) = (orders, left > 0) {
            let order = upstream::Order::Attempt {
                call: in_flight.call.clone(),
                attempt,
                limit,
                created_at: Instant::now(),
            };
            if orders.send(order).await.is_ok() {
                return;
            }
        }
        let end = Err(AttemptFailure::unsent(ConnectionEnd::NoSocket));
        self.follow_ups.push_back(Event::AttemptCompleted(CompletedAttempt {
            request,
            attempt,
            server,
            end,
            elapsed: 0,
        }));
    }

    /// An amount for a count: the other gateways are notified, and the counter if there is any use in it.
    fn update_counter(&mut self, mut add: Add) {
        if self.shared.joins_membership {
            let now = self.queue.borrow().now;
            let known = self.gossip_update(now, &add.count, add.amount, add.life);
            let monitor = self.monitor.get_or_insert_with(|| CounterMonitor::new(now));
            match monitor.add(now, &add.count, add.amount, add.life, known) {
                AddStep::Forward(amount) => add.amount = amount,
                AddStep::Reply(total) => {
                    let end = Ok(CounterTotal::Total(total));
                    return self.follow_ups.push_back(Event::GossipTotalKnown { key: add.count, end });
                }
            }
        }
        self.call_counter(add);
    }

    /// Tells the other gateways of an amount, and gives what all know of its count with that. While another process of this
    /// gateway speaks with them the amounts are kept, and gossiped once this one does.
    fn gossip_update(&self, now: Micros, key: &str, amount: f64, window: Micros) -> Option<GossipTotal> {
        match self.shared.membership.get() {
            Some(membership) => membership.add_to_counter(key, amount, window),
            None => {
                self.shared.undelivered_updates.borrow_mut().add(key, amount, now + window);
                None
            }
        }
    }

    /// What the module is to hear of a call's end.
    fn counter_call_completed(
        &mut self,
        key: &str,
        (outcome, total): (Outcome, f64),
        elapsed: Micros,
    ) -> (Outcome, f64) {
        let Some(monitor) = &mut self.monitor else { return (outcome, total) };
        let membership = self.shared.membership.get();
        let end = match outcome {
            Outcome::Ok => CallOutcome::Total(total),
            outcome if outcome.never_ran() => CallOutcome::NotApplied,
            _ => CallOutcome::Unknown,
        };
        let before = monitor.health();
        let now = self.queue.borrow().now;
        let reply = monitor.call_completed(
            now,
            key,
            end,
            elapsed,
            membership.and_then(|membership| membership.gossip_total(key)),
        );
        let health = monitor.health();
        if let Some(membership) = membership {
            membership.standing.set(health);
        }
        if health != before {
            let (from, to) = (before.name(), health.name());
            info!(self.shared.log, #"counter.stands", "the counter stands otherwise"; "from" => from, "to" => to);
        }
        match reply {
            CounterReply::Total(total) => (Outcome::Ok, total),
            CounterReply::NotApplied(amount) => {
                // The module takes it for not added, and adds it again itself: the others must not hear of it twice.
                self.gossip_update(now, key, -amount, 0);
                (outcome, 0.0)
            }
            CounterReply::Unknown => (outcome, 0.0),
        }
    }

    /// The counter's actor waits for this one at times, so this one must not wait for it.
    fn call_counter(&mut self, add: Add) {
        let sent = self.counter.as_ref().map(|counter| counter.try_send(add));
        if let Some(Err(TrySendError::Full(add) | TrySendError::Closed(add))) = sent {
            let counted = Event::CounterReplied { key: add.count, end: Ok(CounterTotal::Full), elapsed: 0 };
            self.follow_ups.push_back(counted);
        }
    }
}

/// A client that has gone by now hears nothing.
fn answer(reply: ReplyHandle, answer: FinalAnswer) {
    send_final(reply, FinalReply::Complete(answer));
}

fn send_final(reply: ReplyHandle, last: FinalReply) {
    let ReplyHandle { number, to, places, .. } = reply;
    let _ = to.try_send((number, last, places));
}
